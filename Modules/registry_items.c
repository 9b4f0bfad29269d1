/* Applies what was read from the store: upstreams, the configuration, rollouts
   and quarantines. */
#include "internal/caro_registry_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"

#include <string.h>

/* Longer than the lease of a registration, three heartbeats of 1.2 s. */
#define DEPARTED_REST_TIME (5 * CARO_SECOND)

static void
remove_target(CaroRegistry *r, CaroHandle h, const char *cause)
{
    CaroLog_Info("registry", "An upstream was removed. id=%s cause=\"%s\"",
                 CaroTargets_GetConst(r->targets, h)->entry.id, cause);
    CaroTargets_Get(r->targets, h)->is_present = false;
    r->handlers->on_target(r->context, h);
    CaroTargets_Remove(r->targets, h);
}

static void
report_left(const CaroRegistry *r, CaroHandle h, bool is_gone)
{
    if (r->handlers->on_target_left != NULL) {
        r->handlers->on_target_left(
            r->context, CaroTargets_GetConst(r->targets, h)->start_hash,
            is_gone);
    }
}

static void
record_departure(CaroRegistry *r, CaroHandle h)
{
    r->departed[r->n_departed++ % CARO_REGISTRY_DEPARTED] =
        CaroTargets_GetConst(r->targets, h)->start_hash;
}

static bool
has_departed(const CaroRegistry *r, CaroHandle h)
{
    uint32_t n = r->n_departed < CARO_REGISTRY_DEPARTED
                     ? r->n_departed
                     : CARO_REGISTRY_DEPARTED;
    for (uint32_t i = 0; i < n; i++) {
        if (r->departed[i] ==
            CaroTargets_GetConst(r->targets, h)->start_hash) {
            return true;
        }
    }
    return false;
}

/* Returns whether an entry may have been copied before the store was restored,
   and is not known to have been written since. */
static bool
may_be_copied(const CaroRegistry *r, CaroRevision revision)
{
    return revision <= r->restored_revision &&
           CaroRevision_IsSameTimeline(revision, r->restored_revision);
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
                     CARO_TARGET_ID_SIZE, id,
                     (long long)CaroRevision_Number(item->revision), err->peer,
                     err->detail);
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
    else if (old != CARO_NO_HANDLE && may_be_copied(r, item->revision) &&
             CaroTargets_GetConst(r->targets, old)->entry.is_leaving) {
        entry.is_leaving = true;
    }
    bool was_leaving = old != CARO_NO_HANDLE &&
                       CaroTargets_GetConst(r->targets, old)->entry.is_leaving;
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
    if (old == CARO_NO_HANDLE && may_be_copied(r, item->revision) &&
        has_departed(r, h)) {
        CaroLog_Info("registry",
                     "An upstream that had left is registered in the restored "
                     "store; it gets no requests until its lease has been "
                     "renewed. id=%s",
                     id);
        CaroTargets_Get(r->targets, h)->notice.unavailable_until =
            CaroClock_Now() + DEPARTED_REST_TIME;
    }
    r->last_list[h] = r->list_sequence;
    if (entry.is_leaving && !was_leaving && r->is_loaded) {
        report_left(r, h, false);
    }
    r->handlers->on_target(r->context, h);
}

void
CaroRegistry_HandleMissingTarget(CaroRegistry *r, CaroHandle h,
                                 const char *cause, CaroTime now)
{
    CaroTarget *target = CaroTargets_Get(r->targets, h);
    const CaroLeaseGrace *g = &r->lease_grace;
    if (!CaroLeaseGrace_Keeps(g, now)) {
        record_departure(r, h);
        report_left(r, h, true);
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

void
CaroRegistry_RemoveExpiredTargets(CaroRegistry *r, CaroTime now)
{
    bool has_missing = false;
    for (CaroHandle h = 0; r->has_missing && h < CaroTargets_Count(r->targets);
         h++) {
        const CaroTarget *target = CaroTargets_GetConst(r->targets, h);
        if (target->is_used && target->is_present && target->is_missing) {
            CaroRegistry_HandleMissingTarget(
                r, h, "it did not register again after an outage", now);
            has_missing |= target->is_present;
        }
    }
    r->has_missing = has_missing;
}

void
CaroRegistry_ApplyConfig(CaroRegistry *r, const CaroStoreItem *item)
{
    if (item->value != NULL) {
        r->config_bytes = item->size;
    }
    if (item->value != NULL && item->revision > r->config_revision &&
        r->handlers->on_config(r->context, item->value, item->size,
                               item->revision) == 0) {
        r->config_revision = item->revision;
    }
}

void
CaroRegistry_RecordLoggedConfig(CaroRegistry *r, CaroRevision revision)
{
    if (revision > r->logged_config) {
        r->logged_config = revision;
    }
}

static void
apply_item(CaroRegistry *r, const CaroStoreItem *item, CaroTime now)
{
    const char *rest;
    CaroKeyKind kind = CaroPlatform_KeyKind(item->key, &rest);
    if (kind == CARO_KEY_CONFIG) {
        CaroRegistry_RecordLoggedConfig(r, item->revision);
    }
    if (item->is_omitted) {
        return;
    }
    switch (kind) {
    case CARO_KEY_CONFIG:
        CaroRegistry_ApplyConfig(r, item);
        break;
    case CARO_KEY_TARGET:
        if (item->value != NULL) {
            apply_target(r, rest, item);
        }
        else {
            CaroHandle h = CaroTargets_Find(r->targets, rest);
            if (h != CARO_NO_HANDLE) {
                CaroRegistry_HandleMissingTarget(
                    r, h, "its registration was deleted", now);
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

void
CaroRegistry_ApplyItems(CaroRegistry *r, const CaroStoreResponse *response,
                        CaroTime now)
{
    for (int i = 0; i < response->n_items; i++) {
        apply_item(r, &response->items[i], now);
    }
    if (response->n_unreadable > 0) {
        CaroLog_Warn("registry",
                     "Entries of the store without a key were left out. "
                     "entries=%d revision=%lld",
                     response->n_unreadable,
                     (long long)CaroRevision_Number(response->revision));
    }
}
