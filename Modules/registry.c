/*
 * What the platform's store says, kept in step.
 *
 * Three loops, each with one call at a time: the list and then the watch
 * behind it; the configuration, read at a steady pace; the entry of this
 * VM.  A watch that lost its history lists again.
 */
#include "internal/caro_registry.h"

#include "internal/caro_clock.h"
#include "internal/caro_lease_grace.h"
#include "internal/caro_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A fleet's first reads come at once; they are spread over this.  20 VMs
   make 60 calls, of 2,000 a second that the store takes; what a larger
   fleet makes too many is refused and comes again behind a backoff. */
#define START_SPREAD (40 * CARO_MS)
/* Two fifths of the 5 s that the sites allow a revoked key. */
#define CONFIG_PERIOD (2 * CARO_SECOND)
/* Changes that come close together are fetched by one call; a fifth of the
   2 s that the sites allow a change to take. */
#define WATCH_PAUSE (400 * CARO_MS)
/* Before the first configuration, which traffic waits for. */
#define CONFIG_EAGER (150 * CARO_MS)
/* The store answers in 4 ms; under its slow-down in some hundred. */
#define CALL_TIMEOUT (1 * CARO_SECOND)
/* A watch that is silent for longer than it asked for is dead. */
#define WATCH_WAIT (5 * CARO_SECOND)
#define WATCH_SLACK (700 * CARO_MS)
#define BACKOFF_FIRST (100 * CARO_MS)
#define BACKOFF_MOST (800 * CARO_MS)
/* The entry only helps VMs that start to find others. */
#define LEASE_TTL (60 * CARO_SECOND)
#define LEASE_RENEW (20 * CARO_SECOND)

struct CaroRegistry {
    CaroStoreClient *client;
    CaroTargets *targets;
    gsl_rng *rng;
    const CaroRegistryHandlers *handlers;
    void *context;

    bool is_listing;
    bool is_listed;
    bool is_list_wanted;
    bool is_watching;
    int64_t list_at;  /* Revision of the list's first page. */
    int64_t watch_at; /* The watch goes on behind it. */
    uint32_t list_number;
    uint32_t listed[CARO_TARGETS_MAX];  /* Last list that had the target. */
    CaroTime gone_at[CARO_TARGETS_MAX]; /* Of missing targets. */
    CaroTime next_watch;
    CaroTime watch_backoff;

    bool is_reading;
    CaroTime next_read;
    CaroTime read_backoff;
    int64_t config_revision;

    CaroTime away_since; /* 0 while the store answers. */
    CaroTime regained_at;

    char name[CARO_NAME_SIZE];
    char peer[CARO_ADDRESS_SIZE];
    int64_t lease;
    bool is_registered;
    bool is_registering;
    CaroTime next_register;
};

CaroRegistry *
CaroRegistry_Create(CaroStoreClient *client, CaroTargets *targets,
                    gsl_rng *rng, const CaroRegistryHandlers *handlers,
                    void *context, CaroTime now)
{
    CaroRegistry *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return NULL;
    }
    r->client = client;
    r->targets = targets;
    r->rng = rng;
    r->handlers = handlers;
    r->context = context;
    r->is_list_wanted = true;
    r->watch_backoff = BACKOFF_FIRST;
    r->read_backoff = BACKOFF_FIRST;
    CaroTime start =
        now + (CaroTime)(gsl_rng_uniform(rng) * (double)START_SPREAD);
    r->next_watch = start;
    r->next_read = start;
    r->next_register = start + START_SPREAD;
    return r;
}

void
CaroRegistry_Destroy(CaroRegistry *r)
{
    free(r);
}

void
CaroRegistry_SetSelf(CaroRegistry *r, const char *name, const char *peer)
{
    CARO_COPY(r->name, name);
    CARO_COPY(r->peer, peer);
}

/* Doubles a backoff and returns when to try again, spread by a half. */
static CaroTime
back_off(CaroRegistry *r, CaroTime *backoff, CaroTime now)
{
    double part = 0.5 + 0.5 * gsl_rng_uniform(r->rng);
    CaroTime at = now + (CaroTime)((double)*backoff * part);
    *backoff = *backoff * 2 < BACKOFF_MOST ? *backoff * 2 : BACKOFF_MOST;
    return at;
}

static void
note_failure(CaroRegistry *r, const char *call, int code, int status,
             CaroTime now)
{
    if (r->away_since == 0) {
        r->away_since = now;
        CaroLog_Warn("registry",
                     "The store does not answer. call=%s code=%d status=%d",
                     call, code, status);
    }
}

static void
note_answer(CaroRegistry *r, CaroTime now)
{
    if (r->away_since != 0) {
        CaroLog_Info("registry", "The store answers again. away_ms=%lld",
                     (long long)((now - r->away_since) / CARO_MS));
        r->away_since = 0;
        r->regained_at = now;
    }
}

static void
drop_target(CaroRegistry *r, CaroHandle h, const char *cause)
{
    CaroLog_Info("registry", "An upstream is gone. id=%s cause=\"%s\"",
                 CaroTargets_GetConst(r->targets, h)->entry.id, cause);
    CaroTargets_Get(r->targets, h)->is_present = false;
    r->handlers->on_target(r->context, h);
    CaroTargets_Remove(r->targets, h);
}

static void
take_target(CaroRegistry *r, const char *id, const CaroStoreItem *item)
{
    CaroTargetEntry entry;
    CaroError err;
    if (CaroPlatform_ReadTarget(id, item->value, item->size, &entry, &err) <
        0) {
        CaroLog_Warn("registry",
                     "An entry names no upstream. id=%s reason=\"%s\"", id,
                     err.detail);
        return;
    }
    CaroHandle old = CaroTargets_Find(r->targets, id);
    if (old != CARO_NO_HANDLE &&
        !CaroTargetEntry_IsSameStart(
            &CaroTargets_GetConst(r->targets, old)->entry, &entry)) {
        drop_target(r, old, "it started anew under its id");
    }
    CaroHandle h = CaroTargets_Put(r->targets, &entry, CaroClock_Now());
    if (h == CARO_NO_HANDLE) {
        CaroLog_Error("registry", "No room for an upstream. id=%s most=%d", id,
                      CARO_TARGETS_MAX);
        return;
    }
    r->listed[h] = r->list_number;
    r->handlers->on_target(r->context, h);
}

/* An entry is not there: drop it, or wait for it behind an outage. */
static void
miss_target(CaroRegistry *r, CaroHandle h, const char *cause, CaroTime now)
{
    CaroTarget *target = CaroTargets_Get(r->targets, h);
    CaroTime at =
        CaroLeaseGrace_ExpiresAt(r->away_since != 0, r->regained_at, now);
    if (at <= now) {
        drop_target(r, h, cause);
    }
    else if (!target->is_missing) {
        target->is_missing = true;
        r->gone_at[h] = at;
        CaroLog_Info("registry",
                     "An upstream's entry lapsed in an outage. id=%s ms=%lld",
                     target->entry.id, (long long)((at - now) / CARO_MS));
    }
}

/* Missing entries that did not come back. */
static void
sweep_missing(CaroRegistry *r, CaroTime now)
{
    for (CaroHandle h = 0; h < CaroTargets_Count(r->targets); h++) {
        const CaroTarget *target = CaroTargets_GetConst(r->targets, h);
        if (target->is_used && target->is_present && target->is_missing &&
            now >= r->gone_at[h]) {
            miss_target(r, h, "it is still missing after an outage", now);
        }
    }
}

static void
take_config(CaroRegistry *r, const CaroStoreItem *item)
{
    if (item->value != NULL && item->revision > r->config_revision &&
        r->handlers->on_config(r->context, item->value, item->size,
                               item->revision) == 0) {
        r->config_revision = item->revision;
    }
}

static void
take_item(CaroRegistry *r, const CaroStoreItem *item, CaroTime now)
{
    const char *rest;
    switch (CaroPlatform_KeyKind(item->key, &rest)) {
    case CARO_KEY_CONFIG:
        take_config(r, item);
        break;
    case CARO_KEY_TARGET:
        if (item->value != NULL) {
            take_target(r, rest, item);
        }
        else {
            CaroHandle h = CaroTargets_Find(r->targets, rest);
            if (h != CARO_NO_HANDLE) {
                miss_target(r, h, "its entry was removed", now);
            }
        }
        break;
    case CARO_KEY_ROLLOUT_REQUEST:
        r->handlers->on_order(r->context, rest, item->value, item->size,
                              item->revision);
        break;
    case CARO_KEY_ROLLOUT_OUTCOME:
        r->handlers->on_outcome(r->context, rest, item->value, item->size,
                                item->revision);
        break;
    case CARO_KEY_VM: {
        char peer[CARO_ADDRESS_SIZE];
        if (item->value != NULL &&
            CaroPlatform_ReadVm(item->value, item->size, peer) == 0 &&
            strcmp(peer, r->peer) != 0) {
            r->handlers->on_vm(r->context, peer);
        }
        break;
    }
    case CARO_KEY_OTHER:
        break;
    }
}

static void on_page(void *context, int code, int status,
                    const CaroStoreResponse *answer, CaroTime sent);

/* Reads the next page of everything behind the key. */
static void
read_page(CaroRegistry *r, const char *after)
{
    CaroStoreCall call;
    if (CaroPlatform_CallRange(&call, "", after) < 0) {
        CaroLog_Error("registry", "No memory for a list. after=%s", after);
        r->is_listing = false;
        return;
    }
    CaroStoreClient_Call(r->client, &call, CALL_TIMEOUT, on_page, r);
}

static void
end_list(CaroRegistry *r, CaroTime now)
{
    int n = 0;
    r->is_listing = false;
    r->is_listed = true;
    r->is_list_wanted = false;
    r->watch_at = r->list_at;
    r->watch_backoff = BACKOFF_FIRST;
    r->next_watch = now;
    for (CaroHandle h = 0; h < CaroTargets_Count(r->targets); h++) {
        const CaroTarget *target = CaroTargets_GetConst(r->targets, h);
        if (target->is_used && target->is_present) {
            n++;
            if (r->listed[h] != r->list_number) {
                miss_target(r, h, "a new list lacks it", now);
            }
        }
    }
    CaroLog_Info("registry", "Listed. upstreams=%d revision=%lld", n,
                 (long long)r->list_at);
}

static void
on_page(void *context, int code, int status, const CaroStoreResponse *answer,
        CaroTime sent)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    (void)sent;
    if (code < 0 || status != 200) {
        note_failure(r, "list", code, status, now);
        r->is_listing = false;
        r->next_watch = back_off(r, &r->watch_backoff, now);
        return;
    }
    note_answer(r, now);
    if (r->list_at == 0) {
        r->list_at = answer->at;
    }
    for (int i = 0; i < answer->n_items; i++) {
        take_item(r, &answer->items[i], now);
    }
    if (answer->has_more && answer->n_items > 0) {
        read_page(r, answer->items[answer->n_items - 1].key);
        return;
    }
    end_list(r, now);
}

static void
on_watched(void *context, int code, int status,
           const CaroStoreResponse *answer, CaroTime sent)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    (void)sent;
    r->is_watching = false;
    if (code == 0 && status == 410) {
        CaroLog_Warn("registry", "The store lost its history. at=%lld",
                     (long long)r->watch_at);
        r->is_list_wanted = true;
        r->next_watch = now;
        return;
    }
    if (code < 0 || status != 200) {
        /* A waiting watch may be cut; the reads tell of an outage. */
        CaroLog_Info("registry", "A watch ended. code=%d status=%d", code,
                     status);
        r->next_watch = back_off(r, &r->watch_backoff, now);
        CaroRegistry_ReadConfigNow(r, now);
        return;
    }
    for (int i = 0; i < answer->n_items; i++) {
        take_item(r, &answer->items[i], now);
    }
    if (answer->at > r->watch_at) {
        r->watch_at = answer->at;
    }
    r->watch_backoff = BACKOFF_FIRST;
    r->next_watch = answer->n_items > 0 ? now + WATCH_PAUSE : now;
}

static void
go_on_watching(CaroRegistry *r)
{
    CaroStoreCall call;
    if (r->is_list_wanted) {
        r->is_listing = true;
        r->list_at = 0;
        r->list_number++;
        read_page(r, "");
        return;
    }
    if (CaroPlatform_CallWatch(&call, "", r->watch_at, WATCH_WAIT) < 0) {
        CaroLog_Error("registry", "No memory for a watch.");
        return;
    }
    r->is_watching = true;
    CaroStoreClient_Call(r->client, &call, WATCH_WAIT + WATCH_SLACK,
                         on_watched, r);
}

static void
on_read(void *context, int code, int status, const CaroStoreResponse *answer,
        CaroTime sent)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    r->is_reading = false;
    if (code < 0 || (status != 200 && status != 404)) {
        note_failure(r, "read", code, status, now);
        r->next_read = back_off(r, &r->read_backoff, now);
        return;
    }
    note_answer(r, now);
    r->read_backoff = BACKOFF_FIRST;
    r->next_read =
        now + (r->config_revision == 0 ? CONFIG_EAGER : CONFIG_PERIOD);
    if (status == 200 && answer->n_items == 1) {
        take_config(r, &answer->items[0]);
        if (answer->items[0].revision == r->config_revision) {
            r->handlers->on_proof(r->context, r->config_revision, sent);
        }
    }
}

static void
read_config(CaroRegistry *r)
{
    char key[CARO_KEY_SIZE];
    CaroStoreCall call;
    CaroPlatform_WriteKey(key, sizeof(key), CARO_KEY_CONFIG, "");
    if (CaroPlatform_CallGet(&call, key) < 0) {
        CaroLog_Error("registry", "No memory for a read.");
        return;
    }
    r->is_reading = true;
    CaroStoreClient_Call(r->client, &call, CALL_TIMEOUT, on_read, r);
}

static void
on_registered(void *context, int code, int status,
              const CaroStoreResponse *answer, CaroTime sent)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    (void)answer;
    (void)sent;
    r->is_registering = false;
    r->is_registered = code == 0 && status == 200;
    if (code == 0 && status == 404) {
        r->lease = 0; /* It ended; the next try asks for another. */
    }
    r->next_register = now + (r->is_registered ? LEASE_RENEW : CONFIG_PERIOD);
}

static void
on_leased(void *context, int code, int status, const CaroStoreResponse *answer,
          CaroTime sent)
{
    CaroRegistry *r = context;
    (void)sent;
    r->is_registering = false;
    r->next_register = CaroClock_Now();
    if (code == 0 && status == 200) {
        r->lease = answer->lease;
    }
    else {
        r->next_register += CONFIG_PERIOD;
    }
}

/* A lease, then the entry, then renewals. */
static void
register_self(CaroRegistry *r)
{
    CaroStoreCall call;
    CaroStoreClientDone done = on_registered;
    int rc;
    if (r->lease == 0) {
        done = on_leased;
        rc = CaroPlatform_CallLease(&call, LEASE_TTL);
    }
    else if (!r->is_registered) {
        char key[CARO_KEY_SIZE];
        char *value = CaroPlatform_WriteVm(r->peer);
        CaroPlatform_WriteKey(key, sizeof(key), CARO_KEY_VM, r->name);
        rc = value == NULL
                 ? CARO_ERR_NOMEM
                 : CaroPlatform_CallPut(&call, key, value, -1, r->lease);
        free(value);
    }
    else {
        rc = CaroPlatform_CallKeepAlive(&call, r->lease);
    }
    if (rc < 0) {
        CaroLog_Error("registry", "No memory for the entry of this VM.");
        r->next_register += CONFIG_PERIOD;
        return;
    }
    r->is_registering = true;
    CaroStoreClient_Call(r->client, &call, CALL_TIMEOUT, done, r);
}

void
CaroRegistry_Tick(CaroRegistry *r, CaroTime now)
{
    if (!r->is_listing && !r->is_watching && now >= r->next_watch) {
        go_on_watching(r);
    }
    if (!r->is_reading && now >= r->next_read) {
        read_config(r);
    }
    if (!r->is_registering && now >= r->next_register && r->name[0] != '\0') {
        register_self(r);
    }
    sweep_missing(r, now);
}

void
CaroRegistry_ReadConfigNow(CaroRegistry *r, CaroTime now)
{
    if (r->away_since == 0 && r->next_read > now) {
        r->next_read = now;
    }
}

CaroTime
CaroRegistry_UnavailableSince(const CaroRegistry *r)
{
    return r->away_since;
}

bool
CaroRegistry_IsLoaded(const CaroRegistry *r)
{
    return r->is_listed;
}
