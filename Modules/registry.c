/*
 * The state of the platform's store, kept up to date.
 *
 * Three loops, each with at most one call in progress: a list followed by
 * watches from its revision; reads of the configuration at a fixed
 * interval; and the registration of this VM with its lease.  When the store
 * no longer has the history that a watch asks for, a new list is read.
 */
#include "internal/caro_registry.h"

#include "internal/caro_clock.h"
#include "internal/caro_lease_grace.h"
#include "internal/caro_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The first calls of VMs that start together are spread over this time.
   20 VMs make 60 calls; the store accepts 2,000 a second.  Calls of a
   larger fleet beyond that are refused and retried after a backoff. */
#define START_JITTER_MAX (40 * CARO_MS)
/* Two fifths of the 5 s within which a revoked key has to be refused. */
#define CONFIG_READ_INTERVAL (2 * CARO_SECOND)
/* Wait after a watch that returned changes, so that changes close together
   are fetched by one call; a fifth of the 2 s within which a change has to
   take effect. */
#define WATCH_BATCH_DELAY (400 * CARO_MS)
/* Wait between reads until there is a configuration; no request is served
   before. */
#define CONFIG_INITIAL_DELAY (150 * CARO_MS)
/* The store responds in 4 ms, or in some hundred ms when it is slow. */
#define CALL_TIMEOUT (1 * CARO_SECOND)
/* Time for which the store holds a watch without changes, and the margin
   after which a watch without a response has failed.  One whose response was
   lost at the end of an outage has to fail, and the next one to be answered
   (after BACKOFF_MAX at most), in 5 s: a VM counts as in touch 3 s after the
   outage, and may then use a leaving upstream for 2 s. */
#define WATCH_WAIT (3 * CARO_SECOND)
#define WATCH_SLACK (700 * CARO_MS)
#define BACKOFF_MIN (100 * CARO_MS)
#define BACKOFF_MAX (800 * CARO_MS)
/* The registration is only used by VMs that start, to find other VMs. */
#define LEASE_TTL (60 * CARO_SECOND)
#define LEASE_RENEW_INTERVAL (20 * CARO_SECOND)

struct CaroRegistry {
    CaroStoreClient *client;
    CaroTargets *targets;
    CaroCounters *counters;
    gsl_rng *rng;
    const CaroRegistryHandlers *handlers;
    void *context;

    bool is_listing;
    bool is_loaded;
    bool needs_list;
    bool is_watching;
    int64_t list_revision;  /* Revision of the list's first page. */
    int64_t watch_revision; /* The next watch asks for later changes. */
    uint32_t list_sequence;
    /* Sequence number of the last list that contained the target. */
    uint32_t last_list[CARO_TARGETS_MAX];
    CaroTime next_watch;
    CaroTime watch_backoff;
    int64_t malformed_revision; /* Highest of a malformed registration. */
    int64_t logged_revision;    /* Of those that an earlier response had. */
    bool has_missing;           /* False only if no target is missing. */

    bool is_reading_config;
    CaroTime next_config_read;
    CaroTime config_backoff;
    int64_t config_revision;

    CaroTime unavailable_since; /* 0 while reads of this VM succeed. */
    CaroLeaseGrace lease_grace;

    char name[CARO_NAME_SIZE];
    char peer[CARO_ADDRESS_SIZE];
    int64_t lease; /* 0 while none is held. */
    bool is_registered;
    bool is_registering;
    CaroTime next_register;
};

CaroRegistry *
CaroRegistry_Create(CaroStoreClient *client, CaroTargets *targets,
                    CaroCounters *counters, gsl_rng *rng,
                    const CaroRegistryHandlers *handlers, void *context,
                    CaroTime now)
{
    CaroRegistry *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return NULL;
    }
    r->client = client;
    r->targets = targets;
    r->counters = counters;
    r->rng = rng;
    r->handlers = handlers;
    r->context = context;
    r->needs_list = true;
    r->watch_backoff = BACKOFF_MIN;
    r->config_backoff = BACKOFF_MIN;
    CaroTime start =
        now + (CaroTime)(gsl_rng_uniform(rng) * (double)START_JITTER_MAX);
    r->next_watch = start;
    r->next_config_read = start;
    r->next_register = start + START_JITTER_MAX;
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

/* Returns when to retry, with a jitter of up to half the backoff, and doubles
   the backoff. */
static CaroTime
back_off(CaroRegistry *r, CaroTime *backoff, CaroTime now)
{
    double factor = 0.5 + 0.5 * gsl_rng_uniform(r->rng);
    CaroTime retry_at = now + (CaroTime)((double)*backoff * factor);
    *backoff = *backoff * 2 < BACKOFF_MAX ? *backoff * 2 : BACKOFF_MAX;
    return retry_at;
}

static void
record_store_failure(CaroRegistry *r, const char *call, int code, int status,
                     CaroTime now)
{
    if (r->unavailable_since == 0) {
        r->unavailable_since = now;
        CaroLog_Warn("registry",
                     "The store is unavailable. call=%s code=%d status=%d",
                     call, code, status);
    }
}

/* A read or a list has succeeded. */
static void
record_store_response(CaroRegistry *r, CaroTime now)
{
    CaroLeaseGrace_RecordResponse(&r->lease_grace, now, now);
    if (r->unavailable_since != 0) {
        CaroLog_Info("registry", "The store is available again. away_ms=%lld",
                     (long long)((now - r->unavailable_since) / CARO_MS));
        r->unavailable_since = 0;
    }
}

static void
remove_target(CaroRegistry *r, CaroHandle h, const char *cause)
{
    CaroLog_Info("registry", "An upstream was removed. id=%s cause=\"%s\"",
                 CaroTargets_GetConst(r->targets, h)->entry.id, cause);
    CaroTargets_Get(r->targets, h)->is_present = false;
    r->handlers->on_target(r->context, h);
    CaroTargets_Remove(r->targets, h);
}

/* An entry that cannot be read names no upstream, also in the place of one
   that did.  It is logged once for each change of it. */
static void
handle_malformed_target(CaroRegistry *r, const char *id,
                        const CaroStoreItem *item, const CaroError *err)
{
    if (item->revision > r->logged_revision) {
        CaroLog_Warn("registry",
                     "The registration of an upstream is malformed. id=%.*s "
                     "revision=%lld at=%s reason=\"%s\"",
                     CARO_TARGET_ID_SIZE, id, (long long)item->revision,
                     err->peer, err->detail);
    }
    if (item->revision > r->malformed_revision) {
        r->malformed_revision = item->revision;
    }
    CaroHandle h = CaroTargets_Find(r->targets, id);
    if (h != CARO_NO_HANDLE) {
        remove_target(r, h, "its registration is malformed");
    }
}

static void
apply_target(CaroRegistry *r, const char *id, const CaroStoreItem *item)
{
    CaroTargetEntry entry;
    CaroError err;
    if (CaroPlatform_ReadTarget(id, item->value, item->size, &entry, &err) <
        0) {
        handle_malformed_target(r, id, item, &err);
        return;
    }
    CaroHandle old = CaroTargets_Find(r->targets, id);
    if (old != CARO_NO_HANDLE &&
        !CaroTargetEntry_IsSameStart(
            &CaroTargets_GetConst(r->targets, old)->entry, &entry)) {
        remove_target(r, old, "it restarted under the same id");
    }
    CaroHandle h = CaroTargets_Put(r->targets, &entry, CaroClock_Now());
    if (h == CARO_NO_HANDLE) {
        CaroHandle replaced =
            CaroTargets_FindReplaceable(r->targets, entry.service);
        CaroCounters_Add(r->counters, CARO_COUNT_TARGETS_LEFT_OUT, 1);
        if (replaced != CARO_NO_HANDLE) {
            remove_target(r, replaced,
                          "the table is full and another service has fewer");
            h = CaroTargets_Put(r->targets, &entry, CaroClock_Now());
        }
    }
    if (h == CARO_NO_HANDLE) {
        CaroLog_Error("registry", "The upstream table is full. id=%s most=%d",
                      id, CARO_TARGETS_MAX);
        return;
    }
    r->last_list[h] = r->list_sequence;
    r->handlers->on_target(r->context, h);
}

/* Removes a target whose registration is missing, or marks it as missing
   during an outage of the store and for the grace period after it. */
static void
handle_missing_target(CaroRegistry *r, CaroHandle h, const char *cause,
                      CaroTime now)
{
    CaroTarget *target = CaroTargets_Get(r->targets, h);
    const CaroLeaseGrace *g = &r->lease_grace;
    if (!CaroLeaseGrace_Keeps(g, now)) {
        remove_target(r, h, cause);
    }
    else if (!target->is_missing) {
        target->is_missing = true;
        r->has_missing = true;
        CaroLog_Info(
            "registry",
            "The lease of an upstream expired in an outage of the store. "
            "id=%s away_ms=%lld responded_ms=%lld own_away_ms=%lld",
            target->entry.id,
            (long long)((g->outage_end - g->outage_start) / CARO_MS),
            (long long)((now - g->responded_at) / CARO_MS),
            (long long)(r->unavailable_since == 0
                            ? 0
                            : (now - r->unavailable_since) / CARO_MS));
    }
}

/* Removes missing targets that did not register again within the grace
   period, or whose outage turned out to be none. */
static void
remove_expired_targets(CaroRegistry *r, CaroTime now)
{
    bool has_missing = false;
    for (CaroHandle h = 0; r->has_missing && h < CaroTargets_Count(r->targets);
         h++) {
        const CaroTarget *target = CaroTargets_GetConst(r->targets, h);
        if (target->is_used && target->is_present && target->is_missing) {
            handle_missing_target(
                r, h, "it did not register again after an outage", now);
            has_missing |= target->is_present;
        }
    }
    r->has_missing = has_missing;
}

static void
apply_config(CaroRegistry *r, const CaroStoreItem *item)
{
    if (item->value != NULL && item->revision > r->config_revision &&
        r->handlers->on_config(r->context, item->value, item->size,
                               item->revision) == 0) {
        r->config_revision = item->revision;
    }
}

static void
apply_item(CaroRegistry *r, const CaroStoreItem *item, CaroTime now)
{
    const char *rest;
    switch (CaroPlatform_KeyKind(item->key, &rest)) {
    case CARO_KEY_CONFIG:
        apply_config(r, item);
        break;
    case CARO_KEY_TARGET:
        if (item->value != NULL) {
            apply_target(r, rest, item);
        }
        else {
            CaroHandle h = CaroTargets_Find(r->targets, rest);
            if (h != CARO_NO_HANDLE) {
                handle_missing_target(r, h, "its registration was deleted",
                                      now);
            }
        }
        break;
    case CARO_KEY_ROLLOUT_REQUEST:
        r->handlers->on_rollout_request(r->context, rest, item->value,
                                        item->size, item->revision);
        break;
    case CARO_KEY_ROLLOUT_OUTCOME:
        r->handlers->on_rollout_outcome(r->context, rest, item->value,
                                        item->size, item->revision);
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
    case CARO_KEY_QUARANTINE:
        r->handlers->on_quarantine(r->context, item->value, item->size);
        break;
    case CARO_KEY_OTHER:
        break;
    }
}

/* Applies all items of a response.  A list repeats what was read before. */
static void
apply_items(CaroRegistry *r, const CaroStoreResponse *response, CaroTime now)
{
    for (int i = 0; i < response->n_items; i++) {
        apply_item(r, &response->items[i], now);
    }
    if (response->n_unreadable > 0) {
        CaroLog_Warn("registry",
                     "Entries of the store without a key were left out. "
                     "entries=%d revision=%lld",
                     response->n_unreadable, (long long)response->revision);
    }
}

static void on_list_page(void *context, int code, int status,
                         const CaroStoreResponse *response, CaroTime sent_at);

/* Reads the next page of a list: the keys after "after". */
static void
read_list_page(CaroRegistry *r, const char *after)
{
    CaroStoreCall call;
    if (CaroPlatform_CallRange(&call, "", after) < 0) {
        CaroLog_Error("registry", "Out of memory reading a list. after=%s",
                      after);
        r->is_listing = false;
        return;
    }
    CaroStoreClient_Call(r->client, &call, CALL_TIMEOUT, on_list_page, r);
}

static void
finish_list(CaroRegistry *r, CaroTime now)
{
    int n = 0;
    r->is_listing = false;
    r->is_loaded = true;
    r->needs_list = false;
    r->logged_revision = r->malformed_revision;
    r->watch_revision = r->list_revision;
    r->watch_backoff = BACKOFF_MIN;
    r->next_watch = now;
    for (CaroHandle h = 0; h < CaroTargets_Count(r->targets); h++) {
        const CaroTarget *target = CaroTargets_GetConst(r->targets, h);
        if (target->is_used && target->is_present) {
            n++;
            if (r->last_list[h] != r->list_sequence) {
                handle_missing_target(r, h, "it is absent from a new list",
                                      now);
            }
        }
    }
    CaroLog_Info("registry", "A list was read. upstreams=%d revision=%lld", n,
                 (long long)r->list_revision);
}

static void
on_list_page(void *context, int code, int status,
             const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    (void)sent_at;
    if (code < 0 || status != 200 || !response->has_list) {
        /* Without the list nothing is known; with an empty one, all upstreams
           would be gone. */
        record_store_failure(r, "list", code, status, now);
        r->is_listing = false;
        r->next_watch = back_off(r, &r->watch_backoff, now);
        return;
    }
    record_store_response(r, now);
    if (r->list_revision == 0) {
        r->list_revision = response->revision;
    }
    apply_items(r, response, now);
    if (response->has_more && response->n_items == 0 &&
        response->n_unreadable > 0) {
        /* The list cannot be continued, and what it lacks is not gone. */
        r->is_listing = false;
        r->next_watch = back_off(r, &r->watch_backoff, now);
        return;
    }
    if (response->has_more && response->n_items > 0) {
        read_list_page(r, response->items[response->n_items - 1].key);
        return;
    }
    finish_list(r, now);
}

static void
on_watch_response(void *context, int code, int status,
                  const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    (void)sent_at;
    r->is_watching = false;
    if (code == 0 && status == 410) {
        CaroLog_Warn("registry",
                     "The store no longer has the history of a watch. at=%lld",
                     (long long)r->watch_revision);
        r->needs_list = true;
        r->next_watch = now;
        return;
    }
    if (code < 0 || status != 200 || !response->has_list) {
        /* A waiting watch may be closed without an outage, so outages are
           detected by the reads alone. */
        CaroLog_Info("registry", "A watch failed. code=%d status=%d", code,
                     status);
        r->next_watch = back_off(r, &r->watch_backoff, now);
        CaroRegistry_ReadConfigNow(r, now);
        return;
    }
    CaroLeaseGrace_RecordResponse(&r->lease_grace, now, now);
    apply_items(r, response, now);
    r->logged_revision = r->malformed_revision;
    if (response->revision > r->watch_revision) {
        r->watch_revision = response->revision;
    }
    r->watch_backoff = BACKOFF_MIN;
    r->next_watch = response->n_items > 0 ? now + WATCH_BATCH_DELAY : now;
}

static void
list_or_watch(CaroRegistry *r)
{
    CaroStoreCall call;
    if (r->needs_list) {
        r->is_listing = true;
        r->list_revision = 0;
        r->list_sequence++;
        read_list_page(r, "");
        return;
    }
    if (CaroPlatform_CallWatch(&call, "", r->watch_revision, WATCH_WAIT) < 0) {
        CaroLog_Error("registry", "Out of memory starting a watch.");
        return;
    }
    r->is_watching = true;
    CaroStoreClient_Call(r->client, &call, WATCH_WAIT + WATCH_SLACK,
                         on_watch_response, r);
}

static void
on_config_read(void *context, int code, int status,
               const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    r->is_reading_config = false;
    if (code < 0 || (status != 200 && status != 404)) {
        record_store_failure(r, "read", code, status, now);
        r->next_config_read = back_off(r, &r->config_backoff, now);
        return;
    }
    record_store_response(r, now);
    r->config_backoff = BACKOFF_MIN;
    r->next_config_read =
        now + (r->config_revision == 0 ? CONFIG_INITIAL_DELAY
                                       : CONFIG_READ_INTERVAL);
    if (status == 200 && response->n_items == 1) {
        apply_config(r, &response->items[0]);
        if (response->items[0].revision == r->config_revision) {
            r->handlers->on_config_confirmed(r->context, r->config_revision,
                                             sent_at);
        }
    }
}

static void
read_config(CaroRegistry *r)
{
    char key[CARO_STORE_KEY_SIZE];
    CaroStoreCall call;
    CaroPlatform_WriteKey(key, sizeof(key), CARO_KEY_CONFIG, "");
    if (CaroPlatform_CallGet(&call, key) < 0) {
        CaroLog_Error("registry", "Out of memory reading the configuration.");
        return;
    }
    r->is_reading_config = true;
    CaroStoreClient_Call(r->client, &call, CALL_TIMEOUT, on_config_read, r);
}

static void
on_registered(void *context, int code, int status,
              const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    (void)response;
    (void)sent_at;
    r->is_registering = false;
    r->is_registered = code == 0 && status == 200;
    if (code == 0 && status == 404) {
        r->lease = 0; /* It expired; the next attempt requests a new one. */
    }
    r->next_register =
        now + (r->is_registered ? LEASE_RENEW_INTERVAL : CONFIG_READ_INTERVAL);
}

static void
on_lease_granted(void *context, int code, int status,
                 const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroRegistry *r = context;
    (void)sent_at;
    r->is_registering = false;
    r->next_register = CaroClock_Now();
    if (code == 0 && status == 200 && response->lease != 0) {
        r->lease = response->lease;
    }
    else {
        r->next_register += CONFIG_READ_INTERVAL;
    }
}

/* Makes the next call of the registration: requests a lease, then writes the
   key of this VM under it, then renews the lease. */
static void
register_self(CaroRegistry *r)
{
    CaroStoreCall call;
    CaroStoreClientDone done = on_registered;
    int rc;
    if (r->lease == 0) {
        done = on_lease_granted;
        rc = CaroPlatform_CallLease(&call, LEASE_TTL);
    }
    else if (!r->is_registered) {
        char key[CARO_STORE_KEY_SIZE];
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
        CaroLog_Error("registry", "Out of memory registering this VM.");
        r->next_register += CONFIG_READ_INTERVAL;
        return;
    }
    r->is_registering = true;
    CaroStoreClient_Call(r->client, &call, CALL_TIMEOUT, done, r);
}

void
CaroRegistry_Tick(CaroRegistry *r, CaroTime now)
{
    if (!r->is_listing && !r->is_watching && now >= r->next_watch) {
        list_or_watch(r);
    }
    if (!r->is_reading_config && now >= r->next_config_read) {
        read_config(r);
    }
    if (!r->is_registering && now >= r->next_register && r->name[0] != '\0') {
        register_self(r);
    }
    remove_expired_targets(r, now);
}

void
CaroRegistry_ReadConfigNow(CaroRegistry *r, CaroTime now)
{
    if (r->unavailable_since == 0 && r->next_config_read > now) {
        r->next_config_read = now;
    }
}

void
CaroRegistry_RecordPeerResponse(CaroRegistry *r, CaroTime at, CaroTime now)
{
    CaroLeaseGrace_RecordResponse(&r->lease_grace, at, now);
}

bool
CaroRegistry_IsLoaded(const CaroRegistry *r)
{
    return r->is_loaded;
}
