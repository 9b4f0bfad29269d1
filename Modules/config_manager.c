/*
 * The operators' configuration at a VM.
 *
 * READERS_PER_REGION VMs of a region, chosen by rank, read the store at
 * intervals.  The number of a newer revision is announced to some VMs at
 * once and sent with every heartbeat; a VM that receives it requests the
 * text from the sender.  A lower revision is never applied, whatever its
 * source.
 *
 * A change is written by a compare-and-swap and contains a change id.  When
 * the response is lost, the key is read back, and the id shows whether the
 * write took effect.
 */
#include "internal/caro_config_manager.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"
#include "internal/caro_router.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONFIG_KEY "carobloft/config"
#define READ_INTERVAL (1 * CARO_SECOND)
#define BACKOFF_MIN (1 * CARO_SECOND)
#define BACKOFF_MAX (16 * CARO_SECOND)
/* The caller of a command waits at least this long for its answer. */
#define REFRESH_TIMEOUT (3 * CARO_SECOND)

enum { READERS_PER_REGION = 2, WRITE_ATTEMPTS_MAX = 4 };

struct CaroConfigManager {
    CaroCommon common;
    CaroConfigApplied applied;
    void *context;
    CaroStore *store;
    CaroConfig *config; /* NULL until one is applied. */
    /* File from which an embedded store is seeded; empty when done. */
    char seed_file[sizeof(((CaroSettings *)0)->platform_config_file)];
    bool is_reading;
    CaroTime next_read_at;
    CaroTime backoff;            /* 0 while the store is available. */
    CaroTime store_responded_at; /* Last valid response of the store. */
    /* A write of this VM may have taken effect without its response. */
    bool has_unconfirmed_write;
};

CaroConfigManager *
CaroConfigManager_Create(const CaroCommon *common, CaroConfigApplied applied,
                         void *context, CaroTime now)
{
    CaroConfigManager *m = calloc(1, sizeof(*m));
    if (m == NULL) {
        return NULL;
    }
    m->common = *common;
    m->applied = applied;
    m->context = context;
    m->store_responded_at = now;
    CARO_COPY(m->seed_file, common->settings->platform_config_file);
    m->store = common->settings->is_platform_embedded
                   ? CaroStore_CreateEmbedded(common->base)
                   : CaroStore_CreateClient(common->base,
                                            common->settings->platform_store);
    if (m->store == NULL) {
        free(m);
        return NULL;
    }
    return m;
}

void
CaroConfigManager_Destroy(CaroConfigManager *m)
{
    if (m != NULL) {
        CaroStore_Destroy(m->store);
        CaroConfig_Destroy(m->config);
        free(m);
    }
}

const CaroConfig *
CaroConfigManager_Get(const CaroConfigManager *m)
{
    return m->config;
}

uint64_t
CaroConfigManager_Revision(const CaroConfigManager *m)
{
    return m->config == NULL ? 0 : m->config->revision;
}

bool
CaroConfigManager_IsStoreUnavailable(const CaroConfigManager *m)
{
    return m->backoff != 0;
}

static void
apply_upstreams(CaroConfigManager *m)
{
    CaroUpstreams_BeginUpdate(m->common.upstreams);
    for (int i = 0; i < m->config->n_upstreams; i++) {
        const CaroUpstream *u = &m->config->upstreams[i];
        if (CaroUpstreams_Put(m->common.upstreams, u) == CARO_NO_HANDLE) {
            CaroLog_Error("config", "The upstream table is full. name=%s",
                          u->name);
        }
    }
    CaroUpstreams_EndUpdate(m->common.upstreams);
}

static int
apply(CaroConfigManager *m, const char *text, size_t size, uint64_t revision,
      CaroError *err)
{
    if (revision <= CaroConfigManager_Revision(m)) {
        return 0;
    }
    CaroConfig *c = CaroConfig_Parse(text, size, revision, err);
    if (c == NULL) {
        return CARO_ERR_INPUT;
    }
    CaroConfig_Destroy(m->config);
    m->config = c;
    apply_upstreams(m);
    CaroCounters_Add(m->common.counters, CARO_COUNT_CONFIG_APPLIED, 1);
    CaroLog_Info("config",
                 "A configuration was applied. revision=%" PRIu64
                 " upstreams=%d accounts=%d",
                 revision, c->n_upstreams, c->n_accounts);
    CaroDecisions_Add(
        m->common.decisions, CaroClock_WallMs(), "config", "config", "applied",
        "revision %" PRIu64 ", change %.32s", revision, c->change);
    m->applied(m->context, c, CaroClock_Now());
    return 0;
}

void
CaroConfigManager_Apply(CaroConfigManager *m, const char *text, size_t size,
                        uint64_t revision)
{
    CaroError err;
    char line[400];
    if (apply(m, text, size, revision, &err) < 0) {
        CaroLog_Error("config",
                      "A configuration was rejected. revision=%" PRIu64
                      " error=\"%s\"",
                      revision, CaroError_Format(&err, line, sizeof(line)));
    }
}

/* Doubles the wait before the next read, up to BACKOFF_MAX; a jitter of half
   of it spreads the reads of several VMs. */
static void
back_off(CaroConfigManager *m, CaroTime now)
{
    m->backoff = m->backoff == 0 ? BACKOFF_MIN : 2 * m->backoff;
    if (m->backoff > BACKOFF_MAX) {
        m->backoff = BACKOFF_MAX;
    }
    CaroTime half = m->backoff / 2;
    m->next_read_at =
        now + half +
        (CaroTime)(CaroRandom_Next(m->common.rng) % (uint64_t)(half + 1));
}

static void
on_config_read(void *context, const CaroStoreResult *result)
{
    CaroConfigManager *m = context;
    CaroTime now = CaroClock_Now();
    m->is_reading = false;
    if (result->code < 0 && result->code != CARO_ERR_NOT_FOUND) {
        CaroCounters_Add(m->common.counters, CARO_COUNT_STORE_FAILURES, 1);
        if (m->backoff == 0) {
            CaroLog_Warn("store", "The store is unavailable. error=\"%s\"",
                         CaroError_Name(result->code));
        }
        back_off(m, now);
        return;
    }
    if (m->backoff != 0) {
        CaroLog_Info("store", "The store is available again. away_ms=%lld",
                     (long long)((now - m->store_responded_at) / CARO_MS));
    }
    m->backoff = 0;
    m->store_responded_at = now;
    m->next_read_at = now + READ_INTERVAL;
    if (result->code == 0) {
        CaroConfigManager_Apply(m, result->value, result->size,
                                result->revision);
        m->has_unconfirmed_write = false;
    }
}

/* A read of the store before a change; it is repeated until the deadline. */
typedef struct {
    CaroConfigManager *manager;
    CaroTime deadline;
    CaroRefreshDone done;
    void *context;
} Refresh;

static void
on_refreshed(void *context, const CaroStoreResult *result)
{
    Refresh *r = context;
    CaroConfigManager *m = r->manager;
    if (result->code < 0 && CaroClock_Now() < r->deadline) {
        CaroCounters_Add(m->common.counters, CARO_COUNT_STORE_CALLS, 1);
        CaroStore_Get(m->store, CONFIG_KEY, on_refreshed, r);
        return;
    }
    if (result->code == 0) {
        CaroConfigManager_Apply(m, result->value, result->size,
                                result->revision);
        m->has_unconfirmed_write = false;
    }
    r->done(r->context, result->code == 0 ? 0 : CARO_ERR_TIMEOUT);
    free(r);
}

void
CaroConfigManager_Refresh(CaroConfigManager *m, CaroRefreshDone done,
                          void *context)
{
    Refresh *r = m->has_unconfirmed_write ? calloc(1, sizeof(*r)) : NULL;
    if (r == NULL) {
        done(context, m->has_unconfirmed_write ? CARO_ERR_TIMEOUT : 0);
        return;
    }
    r->manager = m;
    r->deadline = CaroClock_Now() + REFRESH_TIMEOUT;
    r->done = done;
    r->context = context;
    CaroCounters_Add(m->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Get(m->store, CONFIG_KEY, on_refreshed, r);
}

static void
on_embedded_seeded(void *context, const CaroStoreResult *result)
{
    CaroConfigManager *m = context;
    m->next_read_at = 0;
    if (result->code < 0) {
        CaroLog_Error("store", "The embedded store could not be seeded.");
    }
}

/* Writes the file that the settings name to an embedded store, once. */
static void
seed_embedded_store(CaroConfigManager *m)
{
    if (!m->common.settings->is_platform_embedded || m->seed_file[0] == '\0') {
        return;
    }
    json_error_t at;
    json_t *root = json_load_file(m->seed_file, 0, &at);
    char *text = json_dumps(root, JSON_COMPACT);
    if (text == NULL) {
        CaroLog_Error(
            "config",
            "The configuration file is not valid JSON. file=%s line=%d",
            m->seed_file, at.line);
    }
    else {
        CaroStore_Put(m->store, CONFIG_KEY, text, strlen(text), 0, 0,
                      on_embedded_seeded, m);
    }
    free(text);
    json_decref(root);
    m->seed_file[0] = '\0';
}

void
CaroConfigManager_Tick(CaroConfigManager *m, CaroTime now)
{
    seed_embedded_store(m);
    if (now < m->next_read_at || m->is_reading) {
        return;
    }
    bool is_reader = CaroMembership_IsChosen(m->common.membership, "config",
                                             READERS_PER_REGION);
    if (!is_reader && m->config != NULL) {
        return;
    }
    m->is_reading = true;
    CaroCounters_Add(m->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Get(m->store, CONFIG_KEY, on_config_read, m);
}

/* A write in progress. */
typedef struct {
    CaroConfigManager *manager;
    char change_id[65];
    char *text;
    uint64_t expected_revision; /* Revision that the write replaces. */
    int attempts;
    CaroConfigWriteDone done;
    void *context;
} ConfigWrite;

static void
finish_write(ConfigWrite *w, int code, uint64_t revision, const char *why)
{
    if (code == 0) {
        CaroConfigManager_Apply(w->manager, w->text, strlen(w->text),
                                revision);
    }
    else if (code == CARO_ERR_TIMEOUT) {
        w->manager->has_unconfirmed_write = true;
    }
    w->done(w->context, code, revision, why);
    free(w->text);
    free(w);
}

static void send_write(ConfigWrite *w);

static void
on_read_back(void *context, const CaroStoreResult *result)
{
    ConfigWrite *w = context;
    bool is_unavailable =
        result->code < 0 && result->code != CARO_ERR_NOT_FOUND;
    bool is_unchanged =
        !is_unavailable && result->revision == w->expected_revision;
    if ((is_unavailable || is_unchanged) && w->attempts < WRITE_ATTEMPTS_MAX) {
        /* The lost write may still arrive.  Either its retry takes effect and
           the first can no longer do so, or the retry fails because the first
           has taken effect. */
        send_write(w);
        return;
    }
    if (is_unavailable || is_unchanged) {
        finish_write(w, CARO_ERR_TIMEOUT, 0,
                     "the store does not answer; the change may take effect");
        return;
    }
    bool is_ours =
        result->value != NULL && strstr(result->value, w->change_id) != NULL;
    if (is_ours) {
        finish_write(w, 0, result->revision, "");
        return;
    }
    if (w->attempts > 1) {
        finish_write(
            w, CARO_ERR_TIMEOUT, 0,
            "another change stands now; ours may have come before it");
        return;
    }
    finish_write(w, CARO_ERR_STATE, 0,
                 "another operator's change came first; look and try again");
}

static void
read_back(ConfigWrite *w)
{
    CaroCounters_Add(w->manager->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Get(w->manager->store, CONFIG_KEY, on_read_back, w);
}

static void
on_write_response(void *context, const CaroStoreResult *result)
{
    ConfigWrite *w = context;
    if (result->code == 0) {
        finish_write(w, 0, result->revision, "");
        return;
    }
    /* Either another change was written first, or the response to this write
       was lost; the change id in the value shows which. */
    read_back(w);
}

static void
send_write(ConfigWrite *w)
{
    CaroConfigManager *m = w->manager;
    w->attempts++;
    CaroCounters_Add(m->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Put(m->store, CONFIG_KEY, w->text, strlen(w->text),
                  w->expected_revision, 0, on_write_response, w);
}

void
CaroConfigManager_Write(CaroConfigManager *m, json_t *root, const char *by,
                        CaroConfigWriteDone done, void *context)
{
    CaroError err;
    char change_id[65];
    (void)snprintf(change_id, sizeof(change_id), "%s-%016" PRIx64, by,
                   CaroRandom_Next(m->common.rng));
    json_object_set_new(root, "change", json_string(change_id));
    char *text = json_dumps(root, JSON_COMPACT);
    CaroConfig *checked =
        text == NULL ? NULL : CaroConfig_Parse(text, strlen(text), 1, &err);
    if (checked == NULL) {
        char line[400];
        done(context, CARO_ERR_INPUT, 0,
             text == NULL ? "the change is not JSON"
                          : CaroError_Format(&err, line, sizeof(line)));
        free(text);
        return;
    }
    CaroConfig_Destroy(checked);
    ConfigWrite *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        free(text);
        done(context, CARO_ERR_NOMEM, 0, "no memory");
        return;
    }
    w->manager = m;
    w->text = text;
    w->done = done;
    w->context = context;
    CARO_COPY(w->change_id, change_id);
    w->expected_revision = CaroConfigManager_Revision(m);
    send_write(w);
}
