/*
 * Changes of the store that a reader passes on to other VMs.
 *
 * A follower applies the changes of a reply in their order and takes over the
 * ages, which it dates from the sending of its own call: what a reader learned
 * "age" before its reply was no less recent than that.
 */
#include "internal/caro_registry_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"

#include <stdlib.h>
#include <string.h>

/* Delay of the list of a VM whose reader's log does not reach back, as all VMs
   of a fleet may need one at the same time. */
#define GAP_LIST_JITTER_MAX (500 * CARO_MS)
/* Time for a configuration to arrive from a peer. */
#define PEER_CONFIG_TIMEOUT (500 * CARO_MS)

static CaroRevision
known_config(const CaroRegistry *r)
{
    CaroRevision known = r->config_revision;
    known = r->peer_config > known ? r->peer_config : known;
    return r->seen_config > known ? r->seen_config : known;
}

CaroTime
CaroRegistry_ConfigLackingTime(const CaroRegistry *r, CaroTime now)
{
    return r->wanted_config > known_config(r) ? now - r->wanted_since : 0;
}

bool
CaroRegistry_LacksConfig(const CaroRegistry *r, CaroTime now)
{
    return r->readers.role == CARO_STORE_FOLLOWER &&
           CaroRegistry_ConfigLackingTime(r, now) >= PEER_CONFIG_TIMEOUT;
}

static long long
age_ms(CaroTime age)
{
    return age < 0 ? -1 : (long long)(age / CARO_MS);
}

static void
log_role(const CaroRegistry *r, CaroStoreRole before)
{
    const CaroStoreReaders *s = &r->readers;
    CaroTime complete_at = CaroStoreLog_CompleteAt(r->log);
    const char *text =
        s->role == CARO_STORE_READER ? "This VM became a reader of the store."
        : before == CARO_STORE_READER
            ? "This VM is no longer a reader of the store."
        : s->role == CARO_STORE_FALLBACK && before == CARO_STORE_FOLLOWER
            ? "This VM falls back to the store."
            : "The source of the store's changes has changed.";
    CaroLog_Info("registry",
                 "%s role=%s before=%s vms=%d complete_ms=%lld "
                 "reader_answer_ms=%lld reader_log_ms=%lld reason=\"%s\"",
                 text, CaroStoreRole_Name(s->role), CaroStoreRole_Name(before),
                 r->view.n_vms,
                 complete_at == 0 ? -1
                                  : age_ms(CaroClock_BootTime() - complete_at),
                 age_ms(s->last_answer_age), age_ms(s->last_log_age),
                 CaroStoreRoleCause_Name(s->cause));
}

/* Makes the calls due that the new role needs, or ends those that it does not
   need. */
static void
change_role(CaroRegistry *r, CaroStoreRole before, CaroTime now)
{
    log_role(r, before);
    if (r->readers.role == CARO_STORE_FOLLOWER) {
        r->watch = NULL; /* Its response, if any, will be too old. */
        r->unavailable_since = 0;
        return;
    }
    if (before == CARO_STORE_FOLLOWER ||
        r->readers.role == CARO_STORE_READER) {
        r->next_watch = r->next_watch < now ? r->next_watch : now;
        r->next_config_read =
            r->next_config_read < now ? r->next_config_read : now;
    }
}

void
CaroRegistry_UpdateRole(CaroRegistry *r, CaroTime now)
{
    CaroStoreRole before = r->readers.role;
    CaroStoreReadersView view = r->view;
    view.is_ready = view.is_ready && r->is_loaded && known_config(r) > 0;
    if (CaroStoreReaders_Update(&r->readers, &view,
                                CaroStoreLog_CompleteAt(r->log),
                                CaroClock_BootTime())) {
        change_role(r, before, now);
    }
}

void
CaroRegistry_SetView(CaroRegistry *r, const CaroStoreReadersView *view)
{
    r->view = *view;
}

CaroStoreRole
CaroRegistry_Role(const CaroRegistry *r)
{
    return r->readers.role;
}

CaroHandle
CaroRegistry_NextReader(CaroRegistry *r)
{
    /* A list and changes that are applied at the same time could put an older
       value in the place of a newer one. */
    return r->is_listing
               ? CARO_NO_HANDLE
               : CaroStoreReaders_NextCall(&r->readers, CaroClock_BootTime());
}

CaroRevision
CaroRegistry_Revision(const CaroRegistry *r)
{
    return r->watch_revision;
}

void
CaroRegistry_RecordPeerConfig(CaroRegistry *r, CaroRevision revision)
{
    if (r->timeline < 0) {
        /* A later one shows that the store was restored meanwhile. */
        r->timeline = CaroRevision_Timeline(revision);
    }
    if (revision > r->peer_config) {
        r->peer_config = revision;
    }
}

void
CaroRegistry_RecordConfigInForce(CaroRegistry *r, CaroRevision revision,
                                 size_t size)
{
    if (revision > r->config_revision) {
        /* config_confirmed_at holds: nothing newer existed then. */
        r->config_revision = revision;
        r->config_bytes = size;
    }
}

static CaroTime
age_of(CaroTime at, CaroTime now)
{
    return at == 0 ? -1 : now - at;
}

bool
CaroRegistry_CollectChanges(CaroRegistry *r, CaroRevision after,
                            caro_store_change changes[CARO_CHANGES_MAX],
                            caro_store_changes *reply)
{
    CaroTime now = CaroClock_BootTime();
    if (!r->is_loaded || r->needs_list ||
        !CaroStoreRole_ReadsStore(r->readers.role)) {
        return false;
    }
    if (after > r->watch_revision && r->readers.role == CARO_STORE_READER &&
        r->watch_backoff == BACKOFF_MIN) {
        /* The other VM knows a later change, which the pause of the watch
           keeps from this one. */
        r->next_watch = CaroClock_Now();
    }
    CaroStoreLog_Collect(r->log, after, changes, reply);
    reply->config_revision = (uint64_t)r->config_revision;
    reply->config_age = age_of(r->config_confirmed_at, now);
    reply->answer_age = age_of(r->answered_at, now);
    reply->log_age = age_of(CaroStoreLog_CompleteAt(r->log), now);
    return true;
}

/* Returns what is wrong with a reply, or NULL. */
static const char *
find_fault(const caro_store_changes *reply, CaroRevision asked)
{
    uint64_t last = (uint64_t)asked + 1;
    if (reply->revision < (uint64_t)asked || reply->revision > INT64_MAX ||
        reply->config_revision > INT64_MAX) {
        return "its revision is below the requested one, or too large";
    }
    if (reply->config_age < -1 || reply->answer_age < -1 ||
        reply->log_age < -1) {
        return "an age is negative";
    }
    if (!reply->reaches_back && reply->changes.changes_len > 0) {
        return "it has changes after a gap";
    }
    for (u_int i = 0; i < reply->changes.changes_len; i++) {
        uint64_t revision = reply->changes.changes_val[i].revision;
        if (revision < last || revision > reply->revision) {
            return "its changes are out of order";
        }
        last = revision;
    }
    return NULL;
}

/* Reads the whole store soon, as changes are missing. */
static void
request_list(CaroRegistry *r, CaroTime now)
{
    if (r->readers.role != CARO_STORE_FOLLOWER || r->needs_list ||
        r->is_listing) {
        return;
    }
    r->needs_list = true;
    r->next_watch = now + (CaroTime)(gsl_rng_uniform(r->rng) *
                                     (double)GAP_LIST_JITTER_MAX);
    CaroCounters_Add(r->counters, CARO_COUNT_STORE_GAPS, 1);
    CaroLog_Info("registry",
                 "A reader cannot pass on all changes; the store is listed. "
                 "revision=%lld",
                 (long long)CaroRevision_Number(r->watch_revision));
}

static void
want_config(CaroRegistry *r, CaroRevision revision, CaroTime now)
{
    if (revision > r->wanted_config && revision > known_config(r)) {
        if (r->wanted_config <= known_config(r)) {
            r->wanted_since = now;
        }
        r->wanted_config = revision;
        r->next_config_read = now;
    }
}

/* Fills the items that are later than what this VM knows; the values are
   copied, as an item's value is terminated.  Returns their number, or -1
   without memory. */
static int
copy_items(const CaroRegistry *r, const caro_store_changes *reply,
           CaroStoreItem *items)
{
    int n = 0;
    for (u_int i = 0; i < reply->changes.changes_len; i++) {
        const caro_store_change *c = &reply->changes.changes_val[i];
        if ((int64_t)c->revision <= r->watch_revision) {
            continue;
        }
        CaroStoreItem *item = &items[n++];
        *item = (CaroStoreItem){.key = c->key,
                                .size = c->value.value_len,
                                .revision = (int64_t)c->revision,
                                .is_omitted = c->is_omitted};
        if (c->is_deleted || c->is_omitted) {
            continue;
        }
        item->value = calloc(1, item->size + 1);
        if (item->value == NULL) {
            return -1;
        }
        if (item->size > 0) {
            memcpy(item->value, c->value.value_val, item->size);
        }
    }
    return n;
}

/* Handles the changes without their values. */
static void
handle_omitted(CaroRegistry *r, const caro_store_changes *reply,
               bool *needs_list, CaroTime now)
{
    const char *rest;
    for (u_int i = 0; i < reply->changes.changes_len; i++) {
        const caro_store_change *c = &reply->changes.changes_val[i];
        if (!c->is_omitted || (int64_t)c->revision <= r->watch_revision) {
            continue;
        }
        if (CaroPlatform_KeyKind(c->key, &rest) == CARO_KEY_CONFIG) {
            want_config(r, (int64_t)c->revision, now);
        }
        else {
            *needs_list = true;
        }
    }
}

/* Applies the changes that this VM does not know.  Returns whether it has all
   changes up to the revision of the reply. */
static bool
apply_changes(CaroRegistry *r, const caro_store_changes *reply, CaroTime now)
{
    CaroStoreItem items[CARO_CHANGES_MAX] = {0};
    bool needs_list = false;
    CaroRevision revision = (CaroRevision)reply->revision;
    handle_omitted(r, reply, &needs_list, now);
    if (needs_list && r->readers.role != CARO_STORE_FOLLOWER) {
        return false; /* Its own watch returns the values. */
    }
    CaroStoreResponse response = {.items = items};
    response.n_items = copy_items(r, reply, items);
    bool is_copied = response.n_items >= 0;
    if (is_copied && revision > r->watch_revision) {
        CaroCounters_Add(r->counters, CARO_COUNT_STORE_CHANGES_RECEIVED,
                         (uint64_t)response.n_items);
        CaroRegistry_ApplyItems(r, &response, now);
        r->logged_revision = r->malformed_revision;
        r->watch_revision = revision;
        CaroStoreLog_Append(r->log, items, response.n_items, revision);
    }
    for (int i = 0; i < CARO_CHANGES_MAX; i++) {
        free(items[i].value);
    }
    if (needs_list) {
        request_list(r, now);
    }
    return is_copied && !needs_list;
}

static int
fail_call(CaroRegistry *r, CaroHandle reader, CaroTime now)
{
    CaroStoreRole before = r->readers.role;
    CaroCounters_Add(r->counters, CARO_COUNT_STORE_READER_FAILURES, 1);
    if (CaroStoreReaders_OnFailure(&r->readers, reader,
                                   CaroClock_BootTime())) {
        change_role(r, before, now);
    }
    return CARO_ERR_INPUT;
}

int
CaroRegistry_ApplyChanges(CaroRegistry *r, CaroHandle reader,
                          CaroRevision asked, CaroTime sent_at,
                          const caro_store_changes *reply)
{
    CaroTime now = CaroClock_Now();
    CaroTime boot = CaroClock_BootTime();
    CaroStoreRole before = r->readers.role;
    bool is_recent = false;
    const char *fault = reply == NULL ? "" : find_fault(reply, asked);
    if (fault != NULL) {
        if (reply != NULL) {
            CaroLog_Info("registry",
                         "The reply of a reader of the store was dropped. "
                         "asked=%lld revision=%llu reason=\"%s\"",
                         (long long)asked, (unsigned long long)reply->revision,
                         fault);
        }
        return fail_call(r, reader, now);
    }
    if (reply->answer_age >= 0) {
        CaroLeaseGrace_RecordResponse(
            &r->lease_grace, now - (boot - sent_at) - reply->answer_age, now);
    }
    bool is_applied = false;
    (void)CaroRegistry_ObserveTimeline(
        r, CaroRevision_Timeline((CaroRevision)reply->revision), now);
    if (!reply->reaches_back) {
        request_list(r, now);
    }
    else if (!r->is_listing &&
             CaroRevision_IsSameTimeline((CaroRevision)reply->revision,
                                         r->watch_revision)) {
        is_applied = apply_changes(r, reply, now);
    }
    if (is_applied && !reply->has_more && !r->needs_list &&
        reply->log_age >= 0) {
        CaroStoreLog_RecordComplete(r->log, sent_at - reply->log_age);
    }
    want_config(r, (int64_t)reply->config_revision, now);
    CaroStoreReaderReply result = {.sent_at = sent_at,
                                   .answer_age = reply->answer_age,
                                   .log_age = reply->log_age,
                                   .is_complete = is_applied,
                                   .has_more = reply->has_more};
    if (CaroStoreReaders_OnReply(&r->readers, reader, &result, &is_recent,
                                 boot)) {
        change_role(r, before, now);
    }
    if (!is_recent) {
        CaroCounters_Add(r->counters, CARO_COUNT_STORE_READER_FAILURES, 1);
    }
    return r->wanted_config > known_config(r);
}
