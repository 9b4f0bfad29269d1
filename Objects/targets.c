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

/* Longer than a notice or a failure is reported to other VMs. */
#define RECENT_TTL (5 * CARO_SECOND)

enum { BUCKETS = 4096, WORK_SERVICES = 1024 };

/* What the table itself keeps of a slot. */
typedef struct {
    CaroHandle next_by_id; /* The next one of the bucket. */
    CaroHandle next_by_start;
    int group; /* Of a registered target, else CARO_NO_HANDLE. */
    bool is_recent;
    CaroTime used_at; /* Last use or notice by this VM. */
} Links;

struct CaroTargets {
    CaroTarget all[CARO_TARGETS_MAX];
    Links links[CARO_TARGETS_MAX];
    CaroHandle count;
    CaroHandle first_free; /* No slot below it is free. */
    /* First registered target of each hash of ids and of starts. */
    CaroHandle by_id[BUCKETS];
    CaroHandle by_start[BUCKETS];
    CaroTargetGroups *groups;
    CaroHandle recent[CARO_TARGETS_MAX];
    int n_recent;
    CaroTargetNotices *notices; /* Of starts that are not registered. */
    /* Hashes of the services whose targets report their processing time, in
       open addressing; 0 for a free slot. */
    uint64_t work_services[WORK_SERVICES];
    bool is_adaptive; /* All services are. */
};

CaroTargets *
CaroTargets_Create(void)
{
    CaroTargets *t = calloc(1, sizeof(*t));
    if (t == NULL) {
        return NULL;
    }
    for (int i = 0; i < BUCKETS; i++) {
        t->by_id[i] = CARO_NO_HANDLE;
        t->by_start[i] = CARO_NO_HANDLE;
    }
    t->notices = CaroTargetNotices_Create();
    t->groups = CaroTargetGroups_Create();
    if (t->notices == NULL || t->groups == NULL) {
        CaroTargets_Destroy(t);
        return NULL;
    }
    return t;
}

void
CaroTargets_Destroy(CaroTargets *t)
{
    if (t != NULL) {
        CaroTargetNotices_Destroy(t->notices);
        CaroTargetGroups_Destroy(t->groups);
        free(t);
    }
}

static uint32_t
hash_id(const char *id)
{
    return XXH32(id, strlen(id), 0);
}

/* Returns the first registered target of the bucket from h on that has the
   hash, or CARO_NO_HANDLE. */
static CaroHandle
find_id_hash(const CaroTargets *t, CaroHandle h, uint32_t id_hash)
{
    while (h != CARO_NO_HANDLE &&
           (t->all[h].id_hash != id_hash || !t->all[h].is_present)) {
        h = t->links[h].next_by_id;
    }
    return h;
}

CaroHandle
CaroTargets_Find(const CaroTargets *t, const char *id)
{
    uint32_t id_hash = hash_id(id);
    CaroHandle h = find_id_hash(t, t->by_id[id_hash % BUCKETS], id_hash);
    while (h != CARO_NO_HANDLE && strcmp(t->all[h].entry.id, id) != 0) {
        h = find_id_hash(t, t->links[h].next_by_id, id_hash);
    }
    return h;
}

CaroHandle
CaroTargets_FindByHash(const CaroTargets *t, uint32_t id_hash)
{
    return find_id_hash(t, t->by_id[id_hash % BUCKETS], id_hash);
}

CaroHandle
CaroTargets_FindByStart(const CaroTargets *t, uint32_t start_hash)
{
    CaroHandle h = t->by_start[start_hash % BUCKETS];
    while (h != CARO_NO_HANDLE &&
           (t->all[h].start_hash != start_hash || !t->all[h].is_present)) {
        h = t->links[h].next_by_start;
    }
    return h;
}

static uint32_t
hash_start(const CaroTargetEntry *e)
{
    char text[CARO_TARGET_ID_SIZE + CARO_ADDRESS_SIZE + 24];
    int n = snprintf(text, sizeof(text), "%s\n%s\n%lld", e->id, e->address,
                     (long long)e->started_at_ms);
    return XXH32(text, (size_t)n, 0);
}

/* Returns a free slot, or CARO_NO_HANDLE.  It is taken when it is used. */
static CaroHandle
find_free(CaroTargets *t)
{
    while (t->first_free < CARO_TARGETS_MAX && t->all[t->first_free].is_used) {
        t->first_free++;
    }
    if (t->first_free == CARO_TARGETS_MAX) {
        return CARO_NO_HANDLE;
    }
    if (t->first_free >= t->count) {
        t->count = t->first_free + 1;
    }
    return t->first_free;
}

/* Adds a registered target to the buckets and to its group.  Returns false
   without memory. */
static bool
link_target(CaroTargets *t, CaroHandle h)
{
    const CaroTarget *target = &t->all[h];
    Links *links = &t->links[h];
    CaroHandle *by_id = &t->by_id[target->id_hash % BUCKETS];
    CaroHandle *by_start = &t->by_start[target->start_hash % BUCKETS];
    links->group = CaroTargetGroups_Add(t->groups, target->entry.service,
                                        target->entry.domain, h);
    if (links->group == CARO_NO_HANDLE) {
        return false;
    }
    links->next_by_id = *by_id;
    *by_id = h;
    links->next_by_start = *by_start;
    *by_start = h;
    return true;
}

/* Takes a registered target out of the buckets and of its group. */
static void
unlink_target(CaroTargets *t, CaroHandle h)
{
    const CaroTarget *target = &t->all[h];
    Links *links = &t->links[h];
    CaroHandle *at = &t->by_id[target->id_hash % BUCKETS];
    if (links->group == CARO_NO_HANDLE) {
        return;
    }
    CaroTargetGroups_Remove(t->groups, links->group, h);
    links->group = CARO_NO_HANDLE;
    while (*at != h) {
        at = &t->links[*at].next_by_id;
    }
    *at = links->next_by_id;
    at = &t->by_start[target->start_hash % BUCKETS];
    while (*at != h) {
        at = &t->links[*at].next_by_start;
    }
    *at = links->next_by_start;
}

/* Adds the target to the recent ones. */
static void
add_recent(CaroTargets *t, CaroHandle h, CaroTime now)
{
    Links *links = &t->links[h];
    links->used_at = now > links->used_at ? now : links->used_at;
    if (!links->is_recent) {
        links->is_recent = true;
        t->recent[t->n_recent++] = h;
    }
}

bool
CaroTargetEntry_IsSameStart(const CaroTargetEntry *a, const CaroTargetEntry *b)
{
    bool is_restarted = a->started_at_ms != 0 && b->started_at_ms != 0 &&
                        a->started_at_ms != b->started_at_ms;
    return !is_restarted && strcmp(a->address, b->address) == 0 &&
           strcmp(a->service, b->service) == 0;
}

/* Frees the slot of a removed target without requests and KV copies. */
static void
free_if_unused(CaroTargets *t, CaroHandle h)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    if (!target->is_present && target->in_flight == 0 &&
        target->kv_copies == 0) {
        target->is_used = false;
        t->first_free = h < t->first_free ? h : t->first_free;
        while (t->count > 0 && !t->all[t->count - 1].is_used) {
            t->count--;
        }
    }
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
        t->links[h].group = CARO_NO_HANDLE;
        t->all[h].is_used = true;
        t->all[h].registered_at = now;
    }
    else {
        unlink_target(t, h);
    }
    t->all[h].entry = *entry;
    if (entry->cold_time > 0) {
        t->all[h].cold_until = now + entry->cold_time;
    }
    t->all[h].id_hash = hash_id(entry->id);
    t->all[h].start_hash = hash_start(entry);
    if (!link_target(t, h)) {
        t->all[h].is_present = false;
        free_if_unused(t, h);
        return CARO_NO_HANDLE;
    }
    CaroTargetNotice kept =
        CaroTargetNotices_Take(t->notices, t->all[h].start_hash);
    CaroTargetNotice_Merge(&t->all[h].notice, &kept);
    t->all[h].is_present = true;
    t->all[h].is_missing = false;
    return h;
}

void
CaroTargets_Remove(CaroTargets *t, CaroHandle h)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    target->is_present = false;
    unlink_target(t, h);
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

CaroTargetGroups *
CaroTargets_Groups(const CaroTargets *t)
{
    return t->groups;
}

int
CaroTargets_GroupOf(const CaroTargets *t, CaroHandle h)
{
    return t->links[h].group;
}

CaroHandle
CaroTargets_FindReplaceable(const CaroTargets *t, const char *service)
{
    CaroHandle h = CaroTargetGroups_GetFromLargest(t->groups);
    if (h == CARO_NO_HANDLE) {
        return h;
    }
    const char *largest = t->all[h].entry.service;
    return CaroTargetGroups_CountService(t->groups, service) + 1 <
                   CaroTargetGroups_CountService(t->groups, largest)
               ? h
               : CARO_NO_HANDLE;
}

const CaroHandle *
CaroTargets_Recent(CaroTargets *t, CaroTime now, int *n)
{
    for (int i = 0; i < t->n_recent;) {
        CaroHandle h = t->recent[i];
        const CaroTarget *target = &t->all[h];
        if (target->in_flight == 0 && target->kv_copies == 0 &&
            now - t->links[h].used_at >= RECENT_TTL) {
            t->links[h].is_recent = false;
            t->recent[i] = t->recent[--t->n_recent];
            continue;
        }
        i++;
    }
    *n = t->n_recent;
    return t->recent;
}

void
CaroTargets_Begin(CaroTargets *t, CaroHandle h, bool is_stream)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    add_recent(t, h, 0);
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
    add_recent(t, h, 0);
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

static uint64_t
hash_service(const char *service)
{
    uint64_t hash = XXH64(service, strlen(service), 0);
    return hash != 0 ? hash : 1;
}

/* Returns the slot of the service, else the free one that it would take, or
   WORK_SERVICES when all are taken by others. */
static int
find_work_service(const CaroTargets *t, uint64_t hash)
{
    for (int i = 0; i < WORK_SERVICES; i++) {
        int at = (int)((hash + (uint64_t)i) % WORK_SERVICES);
        if (t->work_services[at] == hash || t->work_services[at] == 0) {
            return at;
        }
    }
    return WORK_SERVICES;
}

void
CaroTargets_SetAdaptive(CaroTargets *t, bool is_adaptive)
{
    t->is_adaptive = is_adaptive;
}

bool
CaroTargets_IsAdaptive(const CaroTargets *t, const char *service)
{
    if (t->is_adaptive) {
        return true;
    }
    uint64_t hash = hash_service(service);
    int at = find_work_service(t, hash);
    return at < WORK_SERVICES && t->work_services[at] == hash;
}

void
CaroTargets_AddHeld(CaroTargets *t, CaroHandle h, int tokens)
{
    CaroTargets_Get(t, h)->held_tokens += tokens;
}

void
CaroTargets_RecordLoad(CaroTargets *t, CaroHandle h, int running, int waiting,
                       int work_percent, CaroTime now)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    if (work_percent > 0) {
        uint64_t hash = hash_service(target->entry.service);
        int at = find_work_service(t, hash);
        if (at < WORK_SERVICES) {
            t->work_services[at] = hash;
        }
    }
    target->reported_running = running;
    target->reported_waiting = waiting;
    target->reported_work_percent = work_percent;
    target->reported_at = now;
}

void
CaroTargets_RecordFailure(CaroTargets *t, CaroHandle h,
                          CaroTargetFailure failure, CaroTime now)
{
    CaroTarget *target = CaroTargets_Get(t, h);
    target->own_failure = failure;
    target->own_failure_at = now;
    add_recent(t, h, now);
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
    add_recent(t, h, now);
}

/* Records what another VM learned of a start, which need not be registered.
   Returns its handle if it was not known to leave. */
static CaroHandle
record_leaving(CaroTargets *t, uint32_t start_hash, CaroLeavingSource source,
               CaroTime now)
{
    CaroTargetNotice notice = {.leaving = source, .leaving_at = now};
    CaroHandle h = CaroTargets_FindByStart(t, start_hash);
    if (h != CARO_NO_HANDLE) {
        bool is_new = t->all[h].notice.leaving == CARO_LEAVING_UNKNOWN;
        add_notice(t, h, &notice);
        return is_new ? h : CARO_NO_HANDLE;
    }
    CaroTargetNotices_Add(t->notices, start_hash, &notice);
    return CARO_NO_HANDLE;
}

CaroHandle
CaroTargets_RecordLeavingByPeer(CaroTargets *t, uint32_t start_hash,
                                CaroTime now)
{
    return record_leaving(t, start_hash, CARO_LEAVING_BY_PEER, now);
}

CaroHandle
CaroTargets_RecordLeavingInStore(CaroTargets *t, uint32_t start_hash,
                                 CaroTime now)
{
    return record_leaving(t, start_hash, CARO_LEAVING_IN_STORE, now);
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
    if (target->avoided_until != 0 && t->links[h].group != CARO_NO_HANDLE) {
        CaroTargetGroups_ClearFailure(t->groups, t->links[h].group, h);
    }
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
    if (t->links[h].group != CARO_NO_HANDLE) {
        CaroTargetGroups_RecordFailure(t->groups, t->links[h].group, h, now,
                                       target->avoided_until);
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

void
CaroTargets_ForgetFailures(CaroTargets *t)
{
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        if (t->all[h].is_used && t->all[h].avoided_until != 0) {
            CaroTargets_RecordSuccess(t, h);
        }
    }
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
