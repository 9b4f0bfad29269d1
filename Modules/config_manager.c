/*
 * The operators' configuration at a node.
 *
 * A few nodes of a region, chosen by rank, read the store at intervals.
 * A newer revision is announced to some VMs at once and rides on every
 * heartbeat; the fleet of a node that hears of one asks that peer for the
 * text.  A lower revision is never applied, from wherever it comes.
 *
 * A change is a compare-and-swap that carries a change id.  When its
 * answer is lost, the key is read back: the id tells whether it took
 * effect.
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
#define BACKOFF_FIRST (1 * CARO_SECOND)
#define BACKOFF_MOST (16 * CARO_SECOND)
/* As long as a caller of a command waits without a doubt. */
#define REFRESH_MOST (3 * CARO_SECOND)

enum { READERS_PER_REGION = 2, CHANGE_TRIES = 4 };

struct CaroConfigManager {
    CaroCommon common;
    CaroConfigApplied applied;
    void *context;
    CaroStore *store;
    CaroConfig *config; /* NULL before the first. */
    char file[sizeof(((CaroSettings *)0)->platform_config_file)]; /* To fill an
                                               embedded store from; empty
                                               when done. */
    bool is_reading;
    CaroTime next_read;
    CaroTime backoff;
    CaroTime heard;          /* Last good answer of the store. */
    bool has_unknown_change; /* The store may hold one made here. */
};

CaroConfigManager *
CaroConfigManager_Create(const CaroCommon *common, CaroConfigApplied applied,
                         void *context, CaroTime now)
{
    CaroConfigManager *k = calloc(1, sizeof(*k));
    if (k == NULL) {
        return NULL;
    }
    k->common = *common;
    k->applied = applied;
    k->context = context;
    k->heard = now;
    CARO_COPY(k->file, common->settings->platform_config_file);
    k->store = common->settings->is_platform_embedded
                   ? CaroStore_CreateEmbedded(common->base)
                   : CaroStore_CreateClient(common->base,
                                            common->settings->platform_store);
    if (k->store == NULL) {
        free(k);
        return NULL;
    }
    return k;
}

void
CaroConfigManager_Destroy(CaroConfigManager *k)
{
    if (k != NULL) {
        CaroStore_Destroy(k->store);
        CaroConfig_Destroy(k->config);
        free(k);
    }
}

const CaroConfig *
CaroConfigManager_Get(const CaroConfigManager *k)
{
    return k->config;
}

uint64_t
CaroConfigManager_Revision(const CaroConfigManager *k)
{
    return k->config == NULL ? 0 : k->config->revision;
}

bool
CaroConfigManager_IsStoreUnavailable(const CaroConfigManager *k)
{
    return k->backoff != 0;
}

static void
apply_upstreams(CaroConfigManager *k)
{
    CaroUpstreams_BeginUpdate(k->common.upstreams);
    for (int i = 0; i < k->config->n_upstreams; i++) {
        const CaroUpstream *u = &k->config->upstreams[i];
        if (CaroUpstreams_Put(k->common.upstreams, u) == CARO_NO_HANDLE) {
            CaroLog_Error("config", "The upstream table is full. name=%s",
                          u->name);
        }
    }
    CaroUpstreams_EndUpdate(k->common.upstreams);
}

static int
apply(CaroConfigManager *k, const char *text, size_t size, uint64_t revision,
      CaroError *err)
{
    if (revision <= CaroConfigManager_Revision(k)) {
        return 0;
    }
    CaroConfig *c = CaroConfig_Parse(text, size, revision, err);
    if (c == NULL) {
        return CARO_ERR_INPUT;
    }
    CaroConfig_Destroy(k->config);
    k->config = c;
    apply_upstreams(k);
    CaroCounters_Add(k->common.counters, CARO_COUNT_CONFIG_APPLIED, 1);
    CaroLog_Info("config",
                 "A configuration is in force. revision=%" PRIu64
                 " upstreams=%d accounts=%d",
                 revision, c->n_upstreams, c->n_accounts);
    CaroDecisions_Add(
        k->common.decisions, CaroClock_WallMs(), "config", "config", "applied",
        "revision %" PRIu64 ", change %.32s", revision, c->change);
    k->applied(k->context, c, CaroClock_Now());
    return 0;
}

void
CaroConfigManager_Apply(CaroConfigManager *k, const char *text, size_t size,
                        uint64_t revision)
{
    CaroError err;
    char line[400];
    if (apply(k, text, size, revision, &err) < 0) {
        CaroLog_Error("config",
                      "A configuration was refused. revision=%" PRIu64
                      " error=\"%s\"",
                      revision, CaroError_Format(&err, line, sizeof(line)));
    }
}

/* Doubles the wait, and spreads the nodes over it. */
static void
back_off(CaroConfigManager *k, CaroTime now)
{
    k->backoff = k->backoff == 0 ? BACKOFF_FIRST : 2 * k->backoff;
    if (k->backoff > BACKOFF_MOST) {
        k->backoff = BACKOFF_MOST;
    }
    CaroTime half = k->backoff / 2;
    k->next_read =
        now + half +
        (CaroTime)(CaroRandom_Next(k->common.rng) % (uint64_t)(half + 1));
}

static void
on_store_read(void *context, const CaroStoreResult *result)
{
    CaroConfigManager *k = context;
    CaroTime now = CaroClock_Now();
    k->is_reading = false;
    if (result->code < 0 && result->code != CARO_ERR_NOT_FOUND) {
        CaroCounters_Add(k->common.counters, CARO_COUNT_STORE_FAILURES, 1);
        if (k->backoff == 0) {
            CaroLog_Warn("store", "The store does not answer. error=\"%s\"",
                         CaroError_Name(result->code));
        }
        back_off(k, now);
        return;
    }
    if (k->backoff != 0) {
        CaroLog_Info("store", "The store answers again. away_ms=%lld",
                     (long long)((now - k->heard) / CARO_MS));
    }
    k->backoff = 0;
    k->heard = now;
    k->next_read = now + READ_INTERVAL;
    if (result->code == 0) {
        CaroConfigManager_Apply(k, result->value, result->size,
                                result->revision);
        k->has_unknown_change = false;
    }
}

/* A read that a change waits for. */
typedef struct {
    CaroConfigManager *keeper;
    CaroTime until;
    CaroRefreshDone done;
    void *context;
} Refresh;

static void
on_refreshed(void *context, const CaroStoreResult *result)
{
    Refresh *r = context;
    CaroConfigManager *k = r->keeper;
    if (result->code < 0 && CaroClock_Now() < r->until) {
        CaroCounters_Add(k->common.counters, CARO_COUNT_STORE_CALLS, 1);
        CaroStore_Get(k->store, CONFIG_KEY, on_refreshed, r);
        return;
    }
    if (result->code == 0) {
        CaroConfigManager_Apply(k, result->value, result->size,
                                result->revision);
        k->has_unknown_change = false;
    }
    r->done(r->context, result->code == 0 ? 0 : CARO_ERR_TIMEOUT);
    free(r);
}

void
CaroConfigManager_Refresh(CaroConfigManager *k, CaroRefreshDone done,
                          void *context)
{
    Refresh *r = k->has_unknown_change ? calloc(1, sizeof(*r)) : NULL;
    if (r == NULL) {
        done(context, k->has_unknown_change ? CARO_ERR_TIMEOUT : 0);
        return;
    }
    r->keeper = k;
    r->until = CaroClock_Now() + REFRESH_MOST;
    r->done = done;
    r->context = context;
    CaroCounters_Add(k->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Get(k->store, CONFIG_KEY, on_refreshed, r);
}

static void
on_filled(void *context, const CaroStoreResult *result)
{
    CaroConfigManager *k = context;
    k->next_read = 0;
    if (result->code < 0) {
        CaroLog_Error("store", "The embedded store was not filled.");
    }
}

/* Fills an embedded store from the file that the settings name. */
static void
fill_embedded(CaroConfigManager *k)
{
    if (!k->common.settings->is_platform_embedded || k->file[0] == '\0') {
        return;
    }
    json_error_t at;
    json_t *root = json_load_file(k->file, 0, &at);
    char *text = json_dumps(root, JSON_COMPACT);
    if (text == NULL) {
        CaroLog_Error("config", "The file is not JSON. file=%s line=%d",
                      k->file, at.line);
    }
    else {
        CaroStore_Put(k->store, CONFIG_KEY, text, strlen(text), 0, 0,
                      on_filled, k);
    }
    free(text);
    json_decref(root);
    k->file[0] = '\0';
}

void
CaroConfigManager_Tick(CaroConfigManager *k, CaroTime now)
{
    fill_embedded(k);
    if (now < k->next_read || k->is_reading) {
        return;
    }
    bool is_reader = CaroMembership_IsChosen(k->common.membership, "config",
                                             READERS_PER_REGION);
    if (!is_reader && k->config != NULL) {
        return;
    }
    k->is_reading = true;
    CaroCounters_Add(k->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Get(k->store, CONFIG_KEY, on_store_read, k);
}

/* A change on its way. */
typedef struct {
    CaroConfigManager *keeper;
    char id[65];
    char *text;
    uint64_t expected; /* Revision that the change replaces. */
    int tries;
    CaroConfigWriteDone done;
    void *context;
} Change;

static void
end_change(Change *c, int code, uint64_t revision, const char *why)
{
    if (code == 0) {
        CaroConfigManager_Apply(c->keeper, c->text, strlen(c->text), revision);
    }
    else if (code == CARO_ERR_TIMEOUT) {
        c->keeper->has_unknown_change = true;
    }
    c->done(c->context, code, revision, why);
    free(c->text);
    free(c);
}

static void write_change(Change *c);

static void
on_read_back(void *context, const CaroStoreResult *result)
{
    Change *c = context;
    bool is_away = result->code < 0 && result->code != CARO_ERR_NOT_FOUND;
    bool is_still = !is_away && result->revision == c->expected;
    if ((is_away || is_still) && c->tries < CHANGE_TRIES) {
        /* The lost write may yet arrive.  The same write once more either
           wins and bars the first, or finds the first in its place. */
        write_change(c);
        return;
    }
    if (is_away || is_still) {
        end_change(c, CARO_ERR_TIMEOUT, 0,
                   "the store does not answer; the change may take effect");
        return;
    }
    bool is_ours =
        result->value != NULL && strstr(result->value, c->id) != NULL;
    if (is_ours) {
        end_change(c, 0, result->revision, "");
        return;
    }
    if (c->tries > 1) {
        end_change(c, CARO_ERR_TIMEOUT, 0,
                   "another change stands now; ours may have come before "
                   "it");
        return;
    }
    end_change(c, CARO_ERR_STATE, 0,
               "another operator's change came first; look and try again");
}

static void
read_back(Change *c)
{
    CaroCounters_Add(c->keeper->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Get(c->keeper->store, CONFIG_KEY, on_read_back, c);
}

static void
on_change_written(void *context, const CaroStoreResult *result)
{
    Change *c = context;
    if (result->code == 0) {
        end_change(c, 0, result->revision, "");
        return;
    }
    /* Either another change came first, or the answer of our own write
       was lost; the change id in the value tells. */
    read_back(c);
}

static void
write_change(Change *c)
{
    CaroConfigManager *k = c->keeper;
    c->tries++;
    CaroCounters_Add(k->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Put(k->store, CONFIG_KEY, c->text, strlen(c->text), c->expected,
                  0, on_change_written, c);
}

void
CaroConfigManager_Write(CaroConfigManager *k, json_t *root, const char *by,
                        CaroConfigWriteDone done, void *context)
{
    CaroError err;
    char id[65];
    (void)snprintf(id, sizeof(id), "%s-%016" PRIx64, by,
                   CaroRandom_Next(k->common.rng));
    json_object_set_new(root, "change", json_string(id));
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
    Change *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        free(text);
        done(context, CARO_ERR_NOMEM, 0, "no memory");
        return;
    }
    c->keeper = k;
    c->text = text;
    c->done = done;
    c->context = context;
    CARO_COPY(c->id, id);
    c->expected = CaroConfigManager_Revision(k);
    write_change(c);
}
