/* Permits for requests to brittle upstreams. */
#include "internal/caro_slot_keeper.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

enum { PERMITS_MAX = 4096, WAITING_MAX = 512, SERVICES_MAX = 16 };

/* A keeper that did not hear of a service for this long does not know what an
   earlier one gave out, and begins with half of the places. */
#define IDLE_TIME (5 * CARO_SECOND)
#define WARM_UP_TIME (500 * CARO_MS)
#define REJECTION_WINDOW (1 * CARO_SECOND)
/* After a rejection an upstream gets one request less for this long. */
#define CAUTION_TIME (5 * CARO_SECOND)
/* Of the rejections that an upstream bears, after which it gets nothing for
   the rest of the window. */
#define REJECTIONS_FRACTION 0.5
/* A permit is out for this long before the first was returned. */
#define HOLD_TIME_FIRST (100 * CARO_MS)
#define HOLD_TIME_WEIGHT 0.1
#define RETRY_AFTER_MIN (200 * CARO_MS)
#define RETRY_AFTER_MAX (2 * CARO_SECOND)

typedef struct {
    uint64_t id; /* 0 for a free place. */
    uint32_t service;
    CaroHandle target;
    uint32_t start_hash;
    CaroTime granted_at;
    CaroTime expires_at;
} Permit;

typedef struct {
    CaroPermitRequest request;
    CaroTime asked_at;
} Waiting;

typedef struct {
    uint32_t hash;
    CaroTime used_at;
    CaroTime began_at;
    double hold_time; /* Mean, in microseconds. */
    int rejections_max;
} Service;

typedef struct {
    uint32_t start_hash;
    int n_out;
    int rejections; /* Since window_at. */
    CaroTime window_at;
    CaroTime rejected_at; /* The last one; 0 for none. */
} Places;

struct CaroSlotKeeper {
    const CaroTargets *targets;
    Permit permits[PERMITS_MAX];
    int n_permits; /* Places below it may be free. */
    int n_out;
    Waiting waiting[WAITING_MAX]; /* The earliest first. */
    int n_waiting;
    Service services[SERVICES_MAX];
    int n_services;
    Places places[CARO_TARGETS_MAX];
};

CaroSlotKeeper *
CaroSlotKeeper_Create(const CaroTargets *targets)
{
    CaroSlotKeeper *k = calloc(1, sizeof(*k));
    if (k != NULL) {
        k->targets = targets;
    }
    return k;
}

void
CaroSlotKeeper_Destroy(CaroSlotKeeper *k)
{
    free(k);
}

/* Returns the service's entry; a new one replaces that which was not used for
   the longest time. */
static Service *
get_service(CaroSlotKeeper *k, uint32_t hash, CaroTime now)
{
    Service *s = &k->services[0];
    for (int i = 0; i < k->n_services; i++) {
        if (k->services[i].hash == hash) {
            s = &k->services[i];
            break;
        }
        s = k->services[i].used_at < s->used_at ? &k->services[i] : s;
    }
    if (k->n_services == 0 || s->hash != hash) {
        s = k->n_services < SERVICES_MAX ? &k->services[k->n_services++] : s;
        *s = (Service){.hash = hash, .hold_time = (double)HOLD_TIME_FIRST};
    }
    if (s->used_at == 0 || now - s->used_at > IDLE_TIME) {
        s->began_at = now;
    }
    s->used_at = now;
    return s;
}

static Places *
get_places(CaroSlotKeeper *k, CaroHandle h)
{
    uint32_t start = CaroTargets_GetConst(k->targets, h)->start_hash;
    Places *p = &k->places[h];
    if (p->start_hash != start) {
        *p = (Places){.start_hash = start};
    }
    return p;
}

/* Returns how many more requests the upstream may get now. */
static int
count_free(CaroSlotKeeper *k, const Service *s, CaroHandle h, CaroTime now)
{
    const Places *p = get_places(k, h);
    int64_t slots = CaroTargets_GetConst(k->targets, h)->entry.slots;
    /* Connections and probes may hold a slot. */
    bool is_cautious =
        p->rejected_at != 0 && now - p->rejected_at < CAUTION_TIME;
    int places = slots > 1 && is_cautious ? (int)slots - 1
                 : slots > 0              ? (int)slots
                                          : 1;
    if (now - s->began_at < WARM_UP_TIME) {
        places = places > 1 ? places / 2 : 1;
    }
    bool is_resting =
        now - p->window_at < REJECTION_WINDOW &&
        p->rejections > REJECTIONS_FRACTION * (double)s->rejections_max;
    return is_resting ? 0 : places - p->n_out;
}

/* Returns the upstream of the service with the most free places, or
   CARO_NO_HANDLE; *all is set to the number of those of all. */
static CaroHandle
choose_target(CaroSlotKeeper *k, const Service *s, int *all, CaroTime now)
{
    CaroHandle chosen = CARO_NO_HANDLE;
    int most = 0;
    *all = 0;
    for (CaroHandle h = 0; h < CaroTargets_Count(k->targets); h++) {
        const CaroTarget *t = CaroTargets_GetConst(k->targets, h);
        if (!t->is_used || !CaroTarget_IsUsable(t, now) ||
            XXH32(t->entry.service, strlen(t->entry.service), 0) != s->hash) {
            continue;
        }
        int n = count_free(k, s, h, now);
        *all += t->entry.slots > 0 ? (int)t->entry.slots : 1;
        if (n > most) {
            most = n;
            chosen = h;
        }
    }
    return chosen;
}

static Permit *
find_permit(CaroSlotKeeper *k, uint64_t id)
{
    for (int i = 0; i < k->n_permits; i++) {
        if (k->permits[i].id == id) {
            return &k->permits[i];
        }
    }
    return NULL;
}

static void
release(CaroSlotKeeper *k, Permit *p)
{
    Places *places = &k->places[p->target];
    if (places->start_hash == p->start_hash && places->n_out > 0) {
        places->n_out--;
    }
    p->id = 0;
    k->n_out--;
    while (k->n_permits > 0 && k->permits[k->n_permits - 1].id == 0) {
        k->n_permits--;
    }
}

static void
drop_expired(CaroSlotKeeper *k, CaroTime now)
{
    for (int i = k->n_permits - 1; i >= 0; i--) {
        if (k->permits[i].id != 0 && now >= k->permits[i].expires_at) {
            release(k, &k->permits[i]);
        }
    }
}

static CaroPermit
grant(CaroSlotKeeper *k, const CaroPermitRequest *q, CaroHandle target,
      CaroTime now)
{
    Permit *p = find_permit(k, 0);
    if (p == NULL && k->n_permits == PERMITS_MAX) {
        return (CaroPermit){.outcome = CARO_PERMIT_DENIED,
                            .id = q->id,
                            .retry_after = RETRY_AFTER_MAX,
                            .waiter = q->waiter};
    }
    p = p == NULL ? &k->permits[k->n_permits++] : p;
    Places *places = get_places(k, target);
    *p = (Permit){.id = q->id,
                  .service = q->service,
                  .target = target,
                  .start_hash = places->start_hash,
                  .granted_at = now,
                  .expires_at = now + q->ttl};
    places->n_out++;
    k->n_out++;
    return (CaroPermit){.outcome = CARO_PERMIT_GRANTED,
                        .id = q->id,
                        .start_hash = p->start_hash,
                        .waiter = q->waiter};
}

static CaroPermit
deny(const CaroPermitRequest *q, CaroTime wait)
{
    CaroTime after = wait > RETRY_AFTER_MIN ? wait : RETRY_AFTER_MIN;
    return (CaroPermit){.outcome = CARO_PERMIT_DENIED,
                        .id = q->id,
                        .retry_after =
                            after < RETRY_AFTER_MAX ? after : RETRY_AFTER_MAX,
                        .waiter = q->waiter};
}

static int
count_waiting(const CaroSlotKeeper *k, const Service *s)
{
    int n = 0;
    for (int i = 0; i < k->n_waiting; i++) {
        n += k->waiting[i].request.service == s->hash;
    }
    return n;
}

/* Returns the time after which a request behind those that wait for the
   service gets a permit. */
static CaroTime
expected_wait(const CaroSlotKeeper *k, const Service *s, int places)
{
    int ahead = count_waiting(k, s) + 1;
    return places == 0 ? RETRY_AFTER_MAX
                       : (CaroTime)(s->hold_time * ahead / places);
}

CaroPermit
CaroSlotKeeper_Request(CaroSlotKeeper *k, const CaroPermitRequest *q,
                       CaroTime now)
{
    int places;
    drop_expired(k, now);
    const Permit *known = find_permit(k, q->id);
    if (known != NULL) {
        return (CaroPermit){.outcome = CARO_PERMIT_GRANTED,
                            .id = q->id,
                            .start_hash = known->start_hash,
                            .waiter = q->waiter};
    }
    Service *s = get_service(k, q->service, now);
    s->rejections_max =
        q->rejections_max > 0 ? q->rejections_max : s->rejections_max;
    CaroHandle target = choose_target(k, s, &places, now);
    CaroTime wait = expected_wait(k, s, places);
    if (target != CARO_NO_HANDLE && count_waiting(k, s) == 0) {
        return grant(k, q, target, now);
    }
    if (wait > q->wait_max || k->n_waiting == WAITING_MAX) {
        return deny(q, wait);
    }
    k->waiting[k->n_waiting++] = (Waiting){.request = *q, .asked_at = now};
    return (CaroPermit){.outcome = CARO_PERMIT_QUEUED, .id = q->id};
}

static void
remove_waiting(CaroSlotKeeper *k, int at)
{
    k->n_waiting--;
    memmove(&k->waiting[at], &k->waiting[at + 1],
            (size_t)(k->n_waiting - at) * sizeof(Waiting));
}

void
CaroSlotKeeper_Return(CaroSlotKeeper *k, uint64_t id, bool was_rejected,
                      CaroTime now)
{
    for (int i = 0; i < k->n_waiting; i++) {
        if (k->waiting[i].request.id == id) {
            remove_waiting(k, i);
            return;
        }
    }
    Permit *p = id == 0 ? NULL : find_permit(k, id);
    if (p == NULL) {
        return;
    }
    Places *places = get_places(k, p->target);
    if (was_rejected && places->start_hash == p->start_hash) {
        if (now - places->window_at >= REJECTION_WINDOW) {
            places->window_at = now;
            places->rejections = 0;
        }
        places->rejections++;
        places->rejected_at = now;
    }
    Service *s = get_service(k, p->service, now);
    s->hold_time +=
        HOLD_TIME_WEIGHT * ((double)(now - p->granted_at) - s->hold_time);
    release(k, p);
}

bool
CaroSlotKeeper_Next(CaroSlotKeeper *k, CaroPermit *out, CaroTime now)
{
    int places;
    drop_expired(k, now);
    for (int i = 0; i < k->n_waiting; i++) {
        CaroPermitRequest q = k->waiting[i].request;
        Service *s = get_service(k, q.service, now);
        CaroHandle target = choose_target(k, s, &places, now);
        if (target != CARO_NO_HANDLE) {
            remove_waiting(k, i);
            *out = grant(k, &q, target, now);
            return true;
        }
        if (now - k->waiting[i].asked_at >= q.wait_max) {
            remove_waiting(k, i);
            *out = deny(&q, expected_wait(k, s, places));
            return true;
        }
    }
    return false;
}

int
CaroSlotKeeper_CountPermits(const CaroSlotKeeper *k)
{
    return k->n_out;
}

int
CaroSlotKeeper_CountWaiting(const CaroSlotKeeper *k)
{
    return k->n_waiting;
}
