/*
 * The operators' configuration at a node.
 *
 * A few nodes of a region, chosen by rank, read the store at intervals.
 * A newer revision is announced to some VMs at once and rides on every
 * heartbeat; a node that hears of one fetches the text from that peer.  A
 * lower revision is never applied, from wherever it comes.
 *
 * A change is a compare-and-swap that carries a change id.  When its
 * answer is lost, the key is read back: the id tells whether it took
 * effect.
 */
#include "internal/caro_node_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONFIG_KEY "carobloft/config"
#define READ_INTERVAL (1 * CARO_SECOND)
#define BACKOFF_FIRST (1 * CARO_SECOND)
#define BACKOFF_MOST (16 * CARO_SECOND)
#define FETCH_TIMEOUT (1 * CARO_SECOND)
/* As long as a caller of a command waits without a doubt. */
#define REFRESH_MOST (3 * CARO_SECOND)

enum { READERS_PER_REGION = 2, ANNOUNCE_FANOUT = 4, CHANGE_TRIES = 4 };

uint64_t
CaroNode_ConfigRevision(const CaroNode *n)
{
    return n->config == NULL ? 0 : n->config->revision;
}

static void
apply_upstreams(CaroNode *n)
{
    CaroUpstreams_BeginUpdate(n->common.upstreams);
    for (int i = 0; i < n->config->n_upstreams; i++) {
        const CaroUpstream *u = &n->config->upstreams[i];
        if (CaroUpstreams_Put(n->common.upstreams, u) == CARO_NO_HANDLE) {
            CaroLog_Error("config", "The upstream table is full. name=%s",
                          u->name);
        }
    }
    CaroUpstreams_EndUpdate(n->common.upstreams);
}

int
CaroNode_ApplyConfig(CaroNode *n, const char *text, size_t size,
                     uint64_t revision, CaroError *err)
{
    if (revision <= CaroNode_ConfigRevision(n)) {
        return 0;
    }
    CaroConfig *c = CaroConfig_Parse(text, size, revision, err);
    if (c == NULL) {
        return CARO_ERR_INPUT;
    }
    CaroConfig_Destroy(n->config);
    n->config = c;
    apply_upstreams(n);
    CaroAdmissions_SetWeights(n->admissions, c);
    CaroNode_ApplyMoves(n);
    CaroCounters_Add(n->common.counters, CARO_COUNT_CONFIG_APPLIED, 1);
    CaroLog_Info("config",
                 "A configuration is in force. revision=%" PRIu64
                 " upstreams=%d accounts=%d",
                 revision, c->n_upstreams, c->n_accounts);
    CaroDecisions_Add(
        n->common.decisions, CaroClock_WallMs(), "config", "config", "applied",
        "revision %" PRIu64 ", change %.32s", revision, c->change);
    CaroAdmissions_UpdateLimits(
        n->admissions, n->common.upstreams,
        CaroMembership_CountUsable(n->common.membership), CaroClock_Now());
    CaroNode_Announce(n, ANNOUNCE_FANOUT);
    return 0;
}

static void
apply_or_log(CaroNode *n, const char *text, size_t size, uint64_t revision)
{
    CaroError err;
    char line[400];
    if (CaroNode_ApplyConfig(n, text, size, revision, &err) < 0) {
        CaroLog_Error("config",
                      "A configuration was refused. revision=%" PRIu64
                      " error=\"%s\"",
                      revision, CaroError_Format(&err, line, sizeof(line)));
    }
}

static void
on_fetched(void *context, int code, const void *result)
{
    CaroNode *n = context;
    n->is_fetching_config = false;
    const caro_config *c = result;
    if (code == 0 && c->revision > 0) {
        apply_or_log(n, c->text.text_val, c->text.text_len, c->revision);
    }
}

void
CaroNode_FetchConfig(CaroNode *n, CaroHandle vm)
{
    if (n->is_fetching_config) {
        return;
    }
    n->is_fetching_config = true;
    caro_heartbeat h;
    memset(&h, 0, sizeof(h));
    h.sender = (char *)n->common.settings->vm;
    h.config_revision = CaroNode_ConfigRevision(n);
    CaroRpc_Call(n->common.rpc,
                 CaroMembership_Get(n->common.membership, vm)->peer,
                 CARO_RPC_TCP, CARO_CONFIG, &h, FETCH_TIMEOUT, on_fetched, n);
}

/* Doubles the wait, and spreads the nodes over it. */
static void
back_off(CaroNode *n, CaroTime now)
{
    n->store_backoff =
        n->store_backoff == 0 ? BACKOFF_FIRST : 2 * n->store_backoff;
    if (n->store_backoff > BACKOFF_MOST) {
        n->store_backoff = BACKOFF_MOST;
    }
    CaroTime half = n->store_backoff / 2;
    n->next_store_read =
        now + half +
        (CaroTime)(CaroRandom_Next(n->common.rng) % (uint64_t)(half + 1));
}

static void
on_store_read(void *context, const CaroStoreResult *result)
{
    CaroNode *n = context;
    CaroTime now = CaroClock_Now();
    n->is_reading_store = false;
    if (result->code < 0 && result->code != CARO_ERR_GONE) {
        CaroCounters_Add(n->common.counters, CARO_COUNT_STORE_FAILURES, 1);
        if (n->store_backoff == 0) {
            CaroLog_Warn("store", "The store does not answer. error=\"%s\"",
                         CaroError_Name(result->code));
        }
        back_off(n, now);
        return;
    }
    if (n->store_backoff != 0) {
        CaroLog_Info("store", "The store answers again. away_ms=%lld",
                     (long long)((now - n->store_heard) / CARO_MS));
    }
    n->store_backoff = 0;
    n->store_heard = now;
    n->next_store_read = now + READ_INTERVAL;
    if (result->code == 0) {
        apply_or_log(n, result->value, result->size, result->revision);
        n->has_unknown_change = false;
    }
}

/* A read that a change waits for. */
typedef struct {
    CaroNode *node;
    CaroTime until;
    CaroRefreshDone done;
    void *context;
} Refresh;

static void
on_refreshed(void *context, const CaroStoreResult *result)
{
    Refresh *r = context;
    CaroNode *n = r->node;
    if (result->code < 0 && CaroClock_Now() < r->until) {
        CaroCounters_Add(n->common.counters, CARO_COUNT_STORE_CALLS, 1);
        CaroStore_Get(n->store, CONFIG_KEY, on_refreshed, r);
        return;
    }
    if (result->code == 0) {
        apply_or_log(n, result->value, result->size, result->revision);
        n->has_unknown_change = false;
    }
    r->done(r->context, result->code == 0 ? 0 : CARO_ERR_TIMEOUT);
    free(r);
}

void
CaroNode_RefreshConfig(CaroNode *n, CaroRefreshDone done, void *context)
{
    Refresh *r = n->has_unknown_change ? calloc(1, sizeof(*r)) : NULL;
    if (r == NULL) {
        done(context, n->has_unknown_change ? CARO_ERR_TIMEOUT : 0);
        return;
    }
    r->node = n;
    r->until = CaroClock_Now() + REFRESH_MOST;
    r->done = done;
    r->context = context;
    CaroCounters_Add(n->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Get(n->store, CONFIG_KEY, on_refreshed, r);
}

static void
on_filled(void *context, const CaroStoreResult *result)
{
    CaroNode *n = context;
    n->next_store_read = 0;
    if (result->code < 0) {
        CaroLog_Error("store", "The embedded store was not filled.");
    }
}

/* Fills an embedded store from the file that the settings name. */
static void
fill_embedded(CaroNode *n)
{
    if (!n->common.settings->platform_embedded ||
        n->common.settings->platform_config[0] == '\0') {
        return;
    }
    json_error_t at;
    json_t *root = json_load_file(n->common.settings->platform_config, 0, &at);
    char *text = json_dumps(root, JSON_COMPACT);
    if (text == NULL) {
        CaroLog_Error("config", "The file is not JSON. file=%s line=%d",
                      n->common.settings->platform_config, at.line);
    }
    else {
        CaroStore_Put(n->store, CONFIG_KEY, text, strlen(text), 0, 0,
                      on_filled, n);
    }
    free(text);
    json_decref(root);
    n->settings.platform_config[0] = '\0';
}

void
CaroNode_TickConfig(CaroNode *n, CaroTime now)
{
    fill_embedded(n);
    if (now < n->next_store_read || n->is_reading_store) {
        return;
    }
    bool is_reader = CaroMembership_IsChosen(n->common.membership, "config",
                                             READERS_PER_REGION);
    if (!is_reader && n->config != NULL) {
        return;
    }
    n->is_reading_store = true;
    CaroCounters_Add(n->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Get(n->store, CONFIG_KEY, on_store_read, n);
}

/* A change on its way. */
typedef struct {
    CaroNode *node;
    char id[65];
    char *text;
    uint64_t expected; /* Revision that the change replaces. */
    int tries;
    CaroChangeDone done;
    void *context;
} Change;

static void
end_change(Change *c, int code, uint64_t revision, const char *why)
{
    if (code == 0) {
        apply_or_log(c->node, c->text, strlen(c->text), revision);
    }
    else if (code == CARO_ERR_TIMEOUT) {
        c->node->has_unknown_change = true;
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
    bool is_away = result->code < 0 && result->code != CARO_ERR_GONE;
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
    CaroCounters_Add(c->node->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Get(c->node->store, CONFIG_KEY, on_read_back, c);
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
    CaroNode *n = c->node;
    c->tries++;
    CaroCounters_Add(n->common.counters, CARO_COUNT_STORE_CALLS, 1);
    CaroStore_Put(n->store, CONFIG_KEY, c->text, strlen(c->text), c->expected,
                  0, on_change_written, c);
}

void
CaroNode_ChangeConfig(CaroNode *n, json_t *root, const char *by,
                      CaroChangeDone done, void *context)
{
    CaroError err;
    char id[65];
    (void)snprintf(id, sizeof(id), "%s-%016" PRIx64, by,
                   CaroRandom_Next(n->common.rng));
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
    c->node = n;
    c->text = text;
    c->done = done;
    c->context = context;
    CARO_COPY(c->id, id);
    c->expected = CaroNode_ConfigRevision(n);
    write_change(c);
}
