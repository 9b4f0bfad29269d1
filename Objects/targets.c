/* The table of registered upstream instances. */
#include "internal/caro_targets.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Delay after a first failure: a third of the 1.2 s that a crashed instance
   is typically down. */
#define AVOID_DELAY_MIN (400 * CARO_MS)
/* Each consecutive failure doubles a delay that is below this; the longest
   delay is therefore 3.2 s. */
#define AVOID_DELAY_DOUBLING_MAX (2 * CARO_SECOND)
/* Longer than a lease, which expires after three heartbeats of 1.2 s. */
#define AVOID_DELAY_GONE (8 * CARO_SECOND)

struct CaroTargets {
    CaroTarget all[CARO_TARGETS_MAX];
    CaroHandle count;
    CaroTargetNotices *notices; /* Of starts that are not registered. */
};

CaroTargets *
CaroTargets_Create(void)
{
    CaroTargets *t = calloc(1, sizeof(*t));
    if (t != NULL && (t->notices = CaroTargetNotices_Create()) == NULL) {
        free(t);
        t = NULL;
    }
    return t;
}

void
CaroTargets_Destroy(CaroTargets *t)
{
    if (t != NULL) {
        CaroTargetNotices_Destroy(t->notices);
        free(t);
    }
}

CaroHandle
CaroTargets_Find(const CaroTargets *t, const char *id)
{
    for (CaroHandle h = 0; h < t->count; h++) {
        const CaroTarget *target = &t->all[h];
        if (target->is_used && target->is_present &&
            strcmp(target->entry.id, id) == 0) {
            return h;
        }
    }
    return CARO_NO_HANDLE;
}

CaroHandle
CaroTargets_FindByHash(const CaroTargets *t, uint32_t id_hash)
{
    for (CaroHandle h = 0; h < t->count; h++) {
        const CaroTarget *target = &t->all[h];
        if (target->is_used && target->is_present &&
            target->id_hash == id_hash) {
            return h;
        }
    }
    return CARO_NO_HANDLE;
}

static uint32_t
hash_start(const CaroTargetEntry *e)
{
    char text[CARO_TARGET_ID_SIZE + CARO_ADDRESS_SIZE + 24];
    int n = snprintf(text, sizeof(text), "%s\n%s\n%lld", e->id, e->address,
                     (long long)e->started_at_ms);
    return XXH32(text, (size_t)n, 0);
}

static CaroHandle
find_free(CaroTargets *t)
{
    for (CaroHandle h = 0; h < CARO_TARGETS_MAX; h++) {
        if (!t->all[h].is_used) {
            if (h >= t->count) {
                t->count = h + 1;
            }
            return h;
        }
    }
    return CARO_NO_HANDLE;
}

bool
CaroTargetEntry_IsSameStart(const CaroTargetEntry *a, const CaroTargetEntry *b)
{
    bool is_restarted = a->started_at_ms != 0 && b->started_at_ms != 0 &&
                        a->started_at_ms != b->started_at_ms;
    return !is_restarted && strcmp(a->address, b->address) == 0 &&
           strcmp(a->service, b->service) == 0;
}

CaroHandle
CaroTargets_Put(CaroTargets *t, const CaroTargetEntry *entry, CaroTime now)
{
    CaroHandle h = CaroTargets_Find(t, entry->id);
    if (h != CARO_NO_HANDLE &&
        !CaroTargetEntry_IsSameStart(&t->all[h].entry, entry)) {
        CaroTargets_Remove(t, h);
        h = CARO_NO_HANDLE;
    }
    if (h == CARO_NO_HANDLE) {
        h = find_free(t);
        if (h == CARO_NO_HANDLE) {
            return h;
        }
        memset(&t->all[h], 0, sizeof(t->all[h]));
        t->all[h].is_used = true;
        t->all[h].registered_at = now;
    }
    t->all[h].entry = *entry;
    if (entry->cold_time > 0) {
        t->all[h].cold_until = now + entry->cold_time;
    }
    t->all[h].id_hash = XXH32(entry->id, strlen(entry->id), 0);
    t->all[h].start_hash = hash_start(entry);
    CaroTargetNotice kept =
        CaroTargetNotices_Take(t->notices, t->all[h].start_hash);
    CaroTargetNotice_Merge(&t->all[h].notice, &kept);
    t->all[h].is_present = true;
    t->all[h].is_missing = false;
    return h;
}

/* Frees the slot of a removed target without requests and KV copies. */
static void
free_if_unused(CaroTargets *t, CaroHandle h)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    if (!target->is_present && target->in_flight == 0 &&
        target->kv_copies == 0) {
        target->is_used = false;
        while (t->count > 0 && !t->all[t->count - 1].is_used) {
            t->count--;
        }
    }
}

void
CaroTargets_Remove(CaroTargets *t, CaroHandle h)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    target->is_present = false;
    CaroTargetNotices_Add(t->notices, target->start_hash, &target->notice);
    free_if_unused(t, h);
}

CaroTarget *
CaroTargets_Get(CaroTargets *t, CaroHandle h)
{
    assert(h >= 0 && h < CARO_TARGETS_MAX);
    return &t->all[h];
}

const CaroTarget *
CaroTargets_GetConst(const CaroTargets *t, CaroHandle h)
{
    assert(h >= 0 && h < CARO_TARGETS_MAX);
    return &t->all[h];
}

CaroHandle
CaroTargets_Count(const CaroTargets *t)
{
    return t->count;
}

void
CaroTargets_Begin(CaroTargets *t, CaroHandle h, bool is_stream)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    target->in_flight++;
    target->streams += is_stream;
}

void
CaroTargets_End(CaroTargets *t, CaroHandle h, bool is_stream)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    assert(target->in_flight > 0);
    target->in_flight--;
    target->streams -= is_stream;
    free_if_unused(t, h);
}

void
CaroTargets_BeginKvCopy(CaroTargets *t, CaroHandle h)
{
    CaroTargets_Get(t, h)->kv_copies++;
}

void
CaroTargets_EndKvCopy(CaroTargets *t, CaroHandle h)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    assert(target->kv_copies > 0);
    target->kv_copies--;
    free_if_unused(t, h);
}

void
CaroTargets_AddPrefill(CaroTargets *t, CaroHandle h, int tokens)
{
    CaroTargets_Get(t, h)->prefill_tokens += tokens;
}

void
CaroTargets_RecordLoad(CaroTargets *t, CaroHandle h, int running, int waiting,
                       CaroTime now)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    target->reported_running = running;
    target->reported_waiting = waiting;
    target->reported_at = now;
}

void
CaroTargets_RecordFailure(CaroTargets *t, CaroHandle h,
                          CaroTargetFailure failure, CaroTime now)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    target->own_failure = failure;
    target->own_failure_at = now;
}

void
CaroTargets_RecordHeard(CaroTargets *t, CaroHandle h, CaroTime at)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    if (at > target->last_heard_at) {
        target->last_heard_at = at;
    }
}

/* A target that is no longer registered may be listed again. */
static void
add_notice(CaroTargets *t, CaroHandle h, const CaroTargetNotice *notice)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    CaroTargetNotice_Merge(&target->notice, notice);
    if (!target->is_present) {
        CaroTargetNotices_Add(t->notices, target->start_hash, notice);
    }
}

void
CaroTargets_RecordLeaving(CaroTargets *t, CaroHandle h, CaroTime now)
{
    CaroTargetNotice notice = {.leaving = CARO_LEAVING_BY_SELF,
                               .leaving_at = now};
    add_notice(t, h, &notice);
}

CaroHandle
CaroTargets_RecordLeavingByPeer(CaroTargets *t, uint32_t start_hash,
                                CaroTime now)
{
    CaroTargetNotice notice = {.leaving = CARO_LEAVING_BY_PEER,
                               .leaving_at = now};
    for (CaroHandle h = 0; h < t->count; h++) {
        const CaroTarget *target = &t->all[h];
        if (target->is_used && target->is_present &&
            target->start_hash == start_hash) {
            bool is_new = target->notice.leaving == CARO_LEAVING_UNKNOWN;
            add_notice(t, h, &notice);
            return is_new ? h : CARO_NO_HANDLE;
        }
    }
    CaroTargetNotices_Add(t->notices, start_hash, &notice);
    return CARO_NO_HANDLE;
}

void
CaroTargets_RecordUnavailable(CaroTargets *t, CaroHandle h, CaroTime until)
{
    CaroTargetNotice notice = {.unavailable_until = until};
    add_notice(t, h, &notice);
}

void
CaroTargets_RecordSuccess(CaroTargets *t, CaroHandle h)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    target->failures = 0;
    target->avoided_until = 0;
}

void
CaroTargets_Avoid(CaroTargets *t, CaroHandle h, CaroTargetFailure failure,
                  CaroTime now)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    CaroTime delay = AVOID_DELAY_MIN;
    for (int i = 0; i < target->failures && delay < AVOID_DELAY_DOUBLING_MAX;
         i++) {
        delay *= 2;
    }
    if (failure == CARO_TARGET_GONE) {
        delay = AVOID_DELAY_GONE;
    }
    target->failures++;
    target->failed_at = now;
    if (now + delay > target->avoided_until) {
        target->avoided_until = now + delay;
    }
}

/* Registered, not draining, and not unavailable. */
static bool
is_registered_to_serve(const CaroTarget *target, CaroTime now)
{
    return target->is_used && target->is_present &&
           !target->entry.is_leaving &&
           now >= target->notice.unavailable_until;
}

bool
CaroTarget_IsOpen(const CaroTarget *target, CaroTime now)
{
    return is_registered_to_serve(target, now) &&
           target->notice.leaving == CARO_LEAVING_UNKNOWN;
}

bool
CaroTarget_IsDoubtful(const CaroTarget *target, CaroTime now)
{
    return is_registered_to_serve(target, now) &&
           CaroTargetNotice_IsDoubtful(&target->notice, now);
}

bool
CaroTarget_IsUsable(const CaroTarget *target, CaroTime now)
{
    return CaroTarget_IsOpen(target, now) && now >= target->avoided_until;
}

bool
CaroTarget_IsFull(const CaroTarget *target, CaroTime now)
{
    return now == target->full_at;
}

bool
CaroTarget_IsSuspected(const CaroTarget *target, CaroTime now)
{
    return target->failed_at > target->last_heard_at &&
           now - target->failed_at < AVOID_DELAY_GONE;
}
