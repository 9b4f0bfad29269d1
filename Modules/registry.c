/*
 * The state of the platform's store, kept up to date.
 *
 * Three loops, each with at most one call in progress: a list followed by
 * watches from its revision; reads of the configuration at a fixed
 * interval; and the registration of this VM with its lease.  When the store
 * no longer has the history that a watch asks for, a new list is read.  In
 * a large fleet a few VMs watch and read (Controllers/store_readers.c); the
 * others take the changes from them.
 */
#include "internal/caro_registry_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The first calls of VMs that start together are spread over this time.
   20 VMs make 60 calls; the store accepts 2,000 a second.  Calls of a
   larger fleet beyond that are refused and retried after a backoff. */
#define START_JITTER_MAX (40 * CARO_MS)
/* A watch whose answer lacks a revision that a read reported this long before
   is replaced: the store answers in some hundred ms at most. */
#define WATCH_LAG_MAX (500 * CARO_MS)
/* Time for which the store holds a watch that is known to be behind: it has
   changes to return at once, unless the revision increased without one. */
#define BEHIND_WATCH_WAIT (200 * CARO_MS)
/* Wait between reads until there is a configuration; no request is served
   before. */
#define CONFIG_INITIAL_DELAY (150 * CARO_MS)
/* Interval of reads while this VM lacks a configuration that it knows of. */
#define MISSING_CONFIG_INTERVAL (500 * CARO_MS)
/* A configuration from this size on is not read again to confirm it: the
   revision of the whole store, and the log, tell that it has not changed. */
#define LARGE_CONFIG_BYTES 32768
/* The store responds in 4 ms, or in some hundred ms when it is slow. */
#define CALL_TIMEOUT (1 * CARO_SECOND)
/* Time for which the store holds a watch without changes, and the margin
   after which a watch without a response has failed.  One whose response was
   lost at the end of an outage has to fail, and the next one to be answered
   (after BACKOFF_MAX at most), in 5 s: a VM counts as in touch 3 s after the
   outage, and may then use a leaving upstream for 2 s. */
#define WATCH_WAIT (3 * CARO_SECOND)
#define WATCH_SLACK (700 * CARO_MS)
#define BACKOFF_MAX (800 * CARO_MS)
/* The registration is only used by VMs that start, to find other VMs. */
#define LEASE_TTL (60 * CARO_SECOND)
#define LEASE_RENEW_INTERVAL (20 * CARO_SECOND)
#define LEASE_RETRY_INTERVAL (2 * CARO_SECOND)

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
    r->log = CaroStoreLog_Create();
    if (r->log == NULL) {
        free(r);
        return NULL;
    }
    for (int i = 0; i < CARO_REGISTRY_WATCHES; i++) {
        r->watches[i].registry = r;
    }
    CaroStoreReaders_Init(&r->readers, gsl_rng_get(rng));
    r->client = client;
    r->targets = targets;
    r->counters = counters;
    r->rng = rng;
    r->handlers = handlers;
    r->context = context;
    r->needs_list = true;
    r->timeline = -1;
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
    if (r != NULL) {
        CaroStoreLog_Destroy(r->log);
        free(r);
    }
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
        CaroRegistry_OnStoreReturn(r);
    }
}

/* Confirms a large configuration by the log: it was complete at some time and
   has no later one. */
static void
confirm_by_log(CaroRegistry *r)
{
    CaroTime at = CaroStoreLog_CompleteAt(r->log);
    if (r->config_bytes < LARGE_CONFIG_BYTES || r->logged_config == 0 ||
        r->logged_config != r->config_revision ||
        !CaroRevision_IsSameTimeline(r->logged_config, r->watch_revision) ||
        at <= r->config_confirmed_at || CaroRegistry_SettleDelay(r, at) > 0) {
        return;
    }
    r->config_confirmed_at = at;
    r->handlers->on_config_confirmed(r->context, r->config_revision, at);
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
    CaroStoreLog_Reset(r->log, r->list_revision);
    CaroStoreLog_RecordComplete(r->log, r->list_sent_at);
    r->watch_backoff = BACKOFF_MIN;
    r->next_watch = now;
    for (CaroHandle h = 0; h < CaroTargets_Count(r->targets); h++) {
        const CaroTarget *target = CaroTargets_GetConst(r->targets, h);
        if (target->is_used && target->is_present) {
            n++;
            if (r->last_list[h] != r->list_sequence) {
                CaroRegistry_HandleMissingTarget(
                    r, h, "it is absent from a new list", now);
            }
        }
    }
    confirm_by_log(r);
    CaroLog_Info("registry",
                 "A list was read. upstreams=%d revision=%lld timeline=%lld",
                 n, (long long)CaroRevision_Number(r->list_revision),
                 (long long)r->timeline);
    if (r->handlers->on_listed != NULL) {
        r->handlers->on_listed(r->context, r->list_revision);
    }
}

static void
on_list_page(void *context, int code, int status,
             const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    if (code < 0 || status != 200 || !response->has_list) {
        /* Without the list nothing is known; with an empty one, all upstreams
           would be gone. */
        record_store_failure(r, "list", code, status, now);
        r->is_listing = false;
        r->next_watch = back_off(r, &r->watch_backoff, now);
        return;
    }
    record_store_response(r, now);
    if (!CaroRegistry_ObserveTimeline(r, response->timeline, now) ||
        (r->list_revision != 0 &&
         !CaroRevision_IsSameTimeline(r->list_revision, response->revision))) {
        r->is_listing = false;
        r->next_watch = now;
        return;
    }
    if (r->list_revision == 0) {
        r->list_revision = response->revision;
        r->list_sent_at = sent_at;
        if (r->restored_at != 0 &&
            CaroRevision_Timeline(r->restored_revision) < r->timeline) {
            r->restored_revision = r->list_revision;
        }
    }
    if (r->readers.role != CARO_STORE_DIRECT &&
        r->list_revision < r->watch_revision) {
        /* A replica of the store may be behind what this VM has applied. */
        CaroLog_Warn("registry",
                     "A list of the store is older than what is known. "
                     "revision=%lld known=%lld",
                     (long long)CaroRevision_Number(r->list_revision),
                     (long long)CaroRevision_Number(r->watch_revision));
        r->is_listing = false;
        r->next_watch = back_off(r, &r->watch_backoff, now);
        return;
    }
    CaroRegistry_ApplyItems(r, response, now);
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
    CaroRegistryWatch *w = context;
    CaroRegistry *r = w->registry;
    CaroTime now = CaroClock_Now();
    (void)sent_at;
    bool is_current = w == r->watch;
    w->is_open = false;
    if (is_current) {
        r->watch = NULL;
    }
    else if (code < 0 || status != 200) {
        return; /* Another one took its place. */
    }
    if (code == 0 &&
        (!CaroRegistry_ObserveTimeline(r, response->timeline, now) ||
         response->timeline != CaroRevision_Timeline(w->revision))) {
        /* The number that it asked from means another change now. */
        r->next_watch = is_current && !r->needs_list ? now : r->next_watch;
        return;
    }
    if (code == 0 && status == 410) {
        CaroLog_Warn("registry",
                     "The store no longer has the history of a watch. at=%lld",
                     (long long)CaroRevision_Number(r->watch_revision));
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
    if (w->revision != r->watch_revision || r->is_listing) {
        /* Later changes were read while it was open. */
        r->next_watch = is_current ? now : r->next_watch;
        return;
    }
    CaroRegistry_ApplyItems(r, response, now);
    r->logged_revision = r->malformed_revision;
    if (response->revision > r->watch_revision) {
        r->watch_revision = response->revision;
        CaroStoreLog_Append(r->log, response->items, response->n_items,
                            response->revision);
        confirm_by_log(r);
    }
    r->watch_backoff = BACKOFF_MIN;
    r->next_watch = response->n_items > 0
                        ? now + CaroStoreRole_WatchDelay(r->readers.role)
                        : now;
}

static void
read_list(CaroRegistry *r)
{
    r->is_listing = true;
    r->watch = NULL;
    r->list_revision = 0;
    r->list_sequence++;
    read_list_page(r, "");
}

static void
start_watch(CaroRegistry *r)
{
    CaroStoreCall call;
    CaroRegistryWatch *w = NULL;
    for (int i = 0; i < CARO_REGISTRY_WATCHES; i++) {
        w = r->watches[i].is_open ? w : &r->watches[i];
    }
    if (w == NULL) {
        return; /* The oldest of them times out in some seconds. */
    }
    bool is_behind = CaroStoreLog_BehindSince(r->log) != 0;
    CaroTime wait = is_behind ? BEHIND_WATCH_WAIT : WATCH_WAIT;
    if (CaroPlatform_CallWatch(&call, "", r->watch_revision, wait) < 0) {
        CaroLog_Error("registry", "Out of memory starting a watch.");
        return;
    }
    w->is_open = true;
    w->revision = r->watch_revision;
    w->started_at = CaroClock_BootTime();
    r->watch = w;
    CaroStoreClient_Call(r->client, &call, wait + WATCH_SLACK,
                         on_watch_response, w);
}

/* Replaces a watch that does not return the changes that a read has reported,
   and ends the pause of one that is behind, unless this VM reads the store
   only for some seconds and its log confirms nothing. */
static void
check_watch(CaroRegistry *r, CaroTime now)
{
    CaroTime behind_since = CaroStoreLog_BehindSince(r->log);
    if (behind_since == 0) {
        return;
    }
    CaroTime boot = CaroClock_BootTime();
    if (r->watch != NULL && boot - behind_since > WATCH_LAG_MAX &&
        boot - r->watch->started_at > WATCH_LAG_MAX) {
        CaroLog_Warn("registry",
                     "A watch did not return changes that a read reported. "
                     "revision=%lld",
                     (long long)CaroRevision_Number(r->watch_revision));
        r->watch = NULL;
        r->next_watch = now;
    }
    bool is_pause_short = r->readers.role != CARO_STORE_FALLBACK ||
                          r->config_bytes >= LARGE_CONFIG_BYTES;
    if (is_pause_short && r->watch == NULL &&
        r->watch_backoff == BACKOFF_MIN) {
        r->next_watch = now;
    }
}

/* Returns when the configuration is to be read again. */
static CaroTime
next_read(const CaroRegistry *r, CaroTime sent_at, CaroTime now)
{
    return now + (r->config_revision == 0
                      ? CONFIG_INITIAL_DELAY
                      : CaroStoreRole_ConfigDelay(
                            r->readers.role, CaroClock_BootTime() - sent_at));
}

/* Records when this VM's log and configuration were known to be up to date. */
static void
record_read(CaroRegistry *r, const CaroStoreResponse *response,
            CaroTime sent_at)
{
    r->answered_at = sent_at;
    if (r->readers.role == CARO_STORE_DIRECT ||
        !CaroStoreRole_ReadsStore(r->readers.role)) {
        return;
    }
    if (response->has_store_revision) {
        CaroStoreLog_RecordRead(r->log, response->revision, sent_at);
    }
    else {
        /* Nothing tells what the watch lacks. */
        CaroStoreLog_RecordComplete(r->log, sent_at);
    }
}

/* Handles what the responses to both kinds of reads have in common.  Returns
   whether the response can be used. */
static bool
handle_read(CaroRegistry *r, int code, int status,
            const CaroStoreResponse *response, CaroTime now)
{
    r->is_reading_config = false;
    if (code < 0 || (status != 200 && status != 404)) {
        record_store_failure(r, "read", code, status, now);
        r->next_config_read = back_off(r, &r->config_backoff, now);
        return false;
    }
    record_store_response(r, now);
    r->config_backoff = BACKOFF_MIN;
    if (!CaroRegistry_ObserveTimeline(r, response->timeline, now)) {
        r->next_config_read = now + CONFIG_INITIAL_DELAY;
        return false;
    }
    return true;
}

static void
on_config_read(void *context, int code, int status,
               const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    if (!handle_read(r, code, status, response, now)) {
        return;
    }
    record_read(r, response, sent_at);
    r->next_config_read = next_read(r, sent_at, now);
    if (status == 200 && response->n_items == 1) {
        const CaroStoreItem *item = &response->items[0];
        CaroRegistry_ApplyConfig(r, item);
        if (item->revision > r->seen_config) {
            r->seen_config = item->revision;
        }
        if (item->revision == r->config_revision &&
            CaroRegistry_SettleDelay(r, sent_at) == 0) {
            r->config_confirmed_at = sent_at;
            r->handlers->on_config_confirmed(r->context, r->config_revision,
                                             sent_at);
        }
    }
    if (CaroRegistry_SettleDelay(r, sent_at) > 0) {
        r->next_config_read = now + CaroRegistry_SettleDelay(r, sent_at);
    }
    else if (CaroRegistry_ConfigLackingTime(r, now) > 0) {
        /* It was sent before the configuration was written. */
        r->next_config_read = now + MISSING_CONFIG_INTERVAL;
    }
    check_watch(r, now);
}

static void
on_revision_read(void *context, int code, int status,
                 const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    if (!handle_read(r, code, status, response, now)) {
        return;
    }
    r->answered_at = sent_at;
    r->next_config_read = next_read(r, sent_at, now);
    if (response->has_store_revision) {
        CaroStoreLog_RecordRead(r->log, response->revision, sent_at);
        confirm_by_log(r);
    }
    check_watch(r, now);
}

/* Returns whether the revision of the store is enough to tell whether the
   configuration has changed. */
static bool
is_revision_enough(const CaroRegistry *r, CaroTime now)
{
    return r->config_bytes >= LARGE_CONFIG_BYTES && r->is_loaded &&
           !r->needs_list && r->logged_config != 0 &&
           r->logged_config == r->config_revision &&
           CaroRegistry_ConfigLackingTime(r, now) == 0 &&
           CaroRegistry_SettleDelay(r, CaroClock_BootTime()) == 0;
}

static void
read_config(CaroRegistry *r, CaroTime now)
{
    char key[CARO_STORE_KEY_SIZE];
    CaroStoreCall call;
    bool is_short = is_revision_enough(r, now);
    CaroPlatform_WriteKey(key, sizeof(key), CARO_KEY_CONFIG, "");
    int rc = is_short ? CaroPlatform_CallRevision(&call)
                      : CaroPlatform_CallGet(&call, key);
    if (rc < 0) {
        CaroLog_Error("registry", "Out of memory reading the configuration.");
        return;
    }
    if (CaroRegistry_LacksConfig(r, now)) {
        CaroLog_Info(
            "registry",
            "A configuration did not arrive from another VM; the "
            "store is read. revision=%lld lacking_ms=%lld",
            (long long)CaroRevision_Number(r->wanted_config),
            (long long)(CaroRegistry_ConfigLackingTime(r, now) / CARO_MS));
    }
    r->is_reading_config = true;
    CaroStoreClient_Call(r->client, &call, CALL_TIMEOUT,
                         is_short ? on_revision_read : on_config_read, r);
}

static void
on_registered(void *context, int code, int status,
              const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    (void)sent_at;
    r->is_registering = false;
    if (code == 0 &&
        (!CaroRegistry_ObserveTimeline(r, response->timeline, now) ||
         r->lease == 0)) {
        return; /* The key and its lease may be gone. */
    }
    r->is_registered = code == 0 && status == 200;
    if (code == 0 && status == 404) {
        r->lease = 0; /* It expired; the next attempt requests a new one. */
    }
    r->next_register =
        now + (r->is_registered ? LEASE_RENEW_INTERVAL : LEASE_RETRY_INTERVAL);
}

static void
on_lease_granted(void *context, int code, int status,
                 const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroRegistry *r = context;
    CaroTime now = CaroClock_Now();
    (void)sent_at;
    r->is_registering = false;
    r->next_register = now;
    if (code == 0 &&
        !CaroRegistry_ObserveTimeline(r, response->timeline, now)) {
        return;
    }
    if (code == 0 && status == 200 && response->lease != 0) {
        r->lease = response->lease;
    }
    else {
        r->next_register += LEASE_RETRY_INTERVAL;
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
        r->next_register += LEASE_RETRY_INTERVAL;
        return;
    }
    r->is_registering = true;
    CaroStoreClient_Call(r->client, &call, CALL_TIMEOUT, done, r);
}

void
CaroRegistry_Tick(CaroRegistry *r, CaroTime now)
{
    CaroRegistry_UpdateRole(r, now);
    bool reads_store = CaroStoreRole_ReadsStore(r->readers.role);
    if (reads_store) {
        check_watch(r, now);
    }
    if (!r->is_listing && r->watch == NULL && now >= r->next_watch) {
        if (r->needs_list) {
            read_list(r);
        }
        else if (reads_store) {
            start_watch(r);
        }
    }
    if (!r->is_reading_config && now >= r->next_config_read &&
        (reads_store || CaroRegistry_LacksConfig(r, now))) {
        read_config(r, now);
    }
    if (!r->is_registering && now >= r->next_register && r->name[0] != '\0') {
        register_self(r);
    }
    CaroRegistry_RemoveExpiredTargets(r, now);
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
