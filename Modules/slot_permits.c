/* Permits for requests to brittle upstreams, at a VM. */
#include "internal/caro_slot_permits.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* A service counts as brittle for this long after an upstream said so, unless
   a later response does not. */
#define BRITTLE_TTL (10 * CARO_SECOND)
/* Responses that were under way when the upstreams began to say so. */
#define END_DELAY (500 * CARO_MS)
#define NOTICE_INTERVAL (500 * CARO_MS)
/* A keeper replies in some milliseconds, or after the wait. */
#define KEEPER_TIMEOUT (80 * CARO_MS)
/* A keeper that did not reply is passed over for this long. */
#define KEEPER_REST_TIME (2 * CARO_SECOND)

enum { SERVICES_MAX = CARO_BRITTLE_MAX, KEEPERS = 3, CALLS_MAX = 4 };

typedef struct {
    uint32_t hash;
    int rejections_max;
    CaroTime said_at;  /* By an upstream, to any VM; 0 for never. */
    CaroTime ended_at; /* Response to this VM that did not say so. */
    bool is_brittle;   /* As was logged. */
} Service;

/* A permit that this VM has, waits for, or returns. */
typedef struct Permit {
    CaroSlotPermits *permits;
    uint64_t id;
    uint32_t service;
    void *owner; /* NULL once it was released. */
    bool is_granted;
    bool is_calling;
    bool was_rejected;
    CaroHandle keeper; /* CARO_SELF, or the VM that was called. */
    int calls;
    CaroTime wait_max;
    CaroTime ttl;
    UT_hash_handle hh;
} Permit;

/* Who waits at this keeper. */
typedef struct {
    CaroRpcRequest *request; /* Of another VM, or NULL: */
    uint64_t id;             /* a permit of this VM. */
} Waiter;

struct CaroSlotPermits {
    const CaroTargets *targets;
    CaroCounters *counters;
    CaroSlotPermitsDone done;
    CaroFleet *fleet;
    char name[CARO_NAME_SIZE];
    CaroSlotKeeper *keeper;
    Service services[SERVICES_MAX];
    int n_services;
    Permit *all;
    uint64_t next_id;
    CaroTime next_notice;
    CaroTime rest_until[CARO_VMS_MAX]; /* Of VMs as keepers. */
};

static void call_keeper(Permit *permit, CaroTime now);

CaroSlotPermits *
CaroSlotPermits_Create(const CaroTargets *targets, CaroCounters *counters,
                       CaroSlotPermitsDone done)
{
    CaroSlotPermits *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        return NULL;
    }
    p->targets = targets;
    p->counters = counters;
    p->done = done;
    p->next_id = CaroClock_Random();
    p->keeper = CaroSlotKeeper_Create(targets);
    if (p->keeper == NULL) {
        free(p);
        return NULL;
    }
    return p;
}

void
CaroSlotPermits_Destroy(CaroSlotPermits *p)
{
    Permit *permit;
    Permit *next;
    if (p == NULL) {
        return;
    }
    HASH_ITER(hh, p->all, permit, next)
    {
        HASH_DEL(p->all, permit);
        free(permit);
    }
    CaroSlotKeeper_Destroy(p->keeper);
    free(p);
}

void
CaroSlotPermits_SetFleet(CaroSlotPermits *p, CaroFleet *fleet,
                         const char *name)
{
    p->fleet = fleet;
    CARO_COPY(p->name, name);
}

static uint32_t
hash_service(const char *service)
{
    return XXH32(service, strlen(service), 0);
}

static Service *
find_service(CaroSlotPermits *p, uint32_t hash, bool is_new)
{
    for (int i = 0; i < p->n_services; i++) {
        if (p->services[i].hash == hash) {
            return &p->services[i];
        }
    }
    if (!is_new || p->n_services == SERVICES_MAX) {
        return NULL;
    }
    Service *s = &p->services[p->n_services++];
    *s = (Service){.hash = hash};
    return s;
}

static bool
is_brittle(const Service *s, CaroTime now)
{
    return s->said_at != 0 && s->said_at > s->ended_at &&
           now - s->said_at < BRITTLE_TTL;
}

static void
log_change(Service *s, const char *service, CaroTime now)
{
    if (is_brittle(s, now) != s->is_brittle) {
        s->is_brittle = !s->is_brittle;
        CaroLog_Info("permits", "%s service=%s rejections_max=%d",
                     s->is_brittle
                         ? "The upstreams of a service are brittle; requests "
                           "to them need permits."
                         : "The upstreams of a service are no longer brittle.",
                     service, s->rejections_max);
    }
}

void
CaroSlotPermits_RecordResponse(CaroSlotPermits *p, const char *service,
                               int rejections_max, CaroTime now)
{
    Service *s = find_service(p, hash_service(service), rejections_max >= 0);
    if (s == NULL) {
        return;
    }
    if (rejections_max >= 0) {
        s->said_at = now;
        s->rejections_max = rejections_max;
    }
    else if (now - s->said_at >= END_DELAY) {
        s->ended_at = now;
    }
    log_change(s, service, now);
}

/* Another VM reported what an upstream had said before. */
static void
record_said(CaroSlotPermits *p, uint32_t hash, uint32_t rejections_max,
            uint32_t age_ms, CaroTime now)
{
    Service *s = find_service(p, hash, true);
    CaroTime said_at = now - age_ms * CARO_MS;
    if (s != NULL && said_at > s->said_at) {
        s->said_at = said_at;
        s->rejections_max = (int)rejections_max;
    }
}

bool
CaroSlotPermits_IsNeeded(const CaroSlotPermits *p, const char *service,
                         CaroTime now)
{
    uint32_t hash = p->n_services == 0 ? 0 : hash_service(service);
    for (int i = 0; i < p->n_services; i++) {
        if (p->services[i].hash == hash) {
            return is_brittle(&p->services[i], now);
        }
    }
    return false;
}

/* Returns the VM that keeps the permits of the service, as far as this VM
   knows; CARO_SELF without others. */
static CaroHandle
choose_keeper(const CaroSlotPermits *p, uint32_t service, CaroTime now)
{
    CaroHandle ranked[KEEPERS];
    char role[24];
    if (p->fleet == NULL) {
        return CARO_SELF;
    }
    (void)snprintf(role, sizeof(role), "permits-%08x", service);
    int n = CaroMembership_ChooseOfAll(CaroFleet_GetMembershipConst(p->fleet),
                                       role, ranked, KEEPERS);
    for (int i = 0; i < n; i++) {
        if (now >= p->rest_until[ranked[i]]) {
            return ranked[i];
        }
    }
    return n > 0 ? ranked[0] : CARO_SELF;
}

static void
free_permit(Permit *permit)
{
    HASH_DEL(permit->permits->all, permit);
    free(permit);
}

static Permit *
find_permit(CaroSlotPermits *p, uint64_t id)
{
    Permit *permit;
    HASH_FIND(hh, p->all, &id, sizeof(id), permit);
    return permit;
}

static CaroHandle
find_target(const CaroSlotPermits *p, uint32_t start_hash)
{
    return CaroTargets_FindByStart(p->targets, start_hash);
}

/* Tells the owner the outcome of a permit that it waits for. */
static void
report(Permit *permit, bool is_granted, uint32_t start_hash,
       CaroTime retry_after)
{
    CaroSlotPermits *p = permit->permits;
    uint64_t id = permit->id;
    void *owner = permit->owner;
    CaroHandle target =
        is_granted ? find_target(p, start_hash) : CARO_NO_HANDLE;
    permit->is_granted = is_granted;
    if (!is_granted) {
        free_permit(permit);
    }
    CaroCounters_Add(p->counters,
                     is_granted ? CARO_COUNT_PERMITS_GRANTED
                                : CARO_COUNT_PERMITS_DENIED,
                     1);
    p->done(owner, id, target, retry_after);
}

/* Passes on the outcomes of requests that wait at this keeper. */
static void
serve_waiting(CaroSlotPermits *p, CaroTime now)
{
    CaroPermit out;
    while (CaroSlotKeeper_Next(p->keeper, &out, now)) {
        Waiter *waiter = out.waiter;
        bool is_granted = out.outcome == CARO_PERMIT_GRANTED;
        if (waiter->request != NULL) {
            caro_permit reply = {.is_granted = is_granted,
                                 .upstream = out.start_hash,
                                 .retry_after_ms =
                                     (u_int)(out.retry_after / CARO_MS)};
            CaroRpc_Reply(waiter->request, &reply);
        }
        else {
            Permit *permit = find_permit(p, waiter->id);
            if (permit != NULL && permit->owner != NULL) {
                report(permit, is_granted, out.start_hash, out.retry_after);
            }
        }
        free(waiter);
    }
}

static void
on_permit(void *context, int code, const void *result)
{
    Permit *permit = context;
    CaroSlotPermits *p = permit->permits;
    const caro_permit *reply = result;
    CaroTime now = CaroClock_Now();
    permit->is_calling = false;
    if (permit->owner == NULL) {
        /* It was released meanwhile; a grant has to be returned. */
        if (permit->calls < CALLS_MAX && (code < 0 || !permit->is_granted)) {
            permit->is_granted = true;
            call_keeper(permit, now);
            return;
        }
        free_permit(permit);
        return;
    }
    if (code == 0) {
        report(permit, reply->is_granted, reply->upstream,
               reply->retry_after_ms * CARO_MS);
        return;
    }
    if (permit->calls >= 2) {
        p->rest_until[permit->keeper] = now + KEEPER_REST_TIME;
        permit->keeper = choose_keeper(p, permit->service, now);
        CaroCounters_Add(p->counters, CARO_COUNT_PERMIT_KEEPERS_LOST, 1);
    }
    if (permit->calls < CALLS_MAX && permit->keeper != CARO_SELF) {
        call_keeper(permit, now);
    }
    else {
        report(permit, false, 0, KEEPER_REST_TIME);
    }
}

static int
rejections_max(CaroSlotPermits *p, uint32_t hash)
{
    const Service *s = find_service(p, hash, false);
    return s == NULL ? 0 : s->rejections_max;
}

static uint32_t
said_age_ms(CaroSlotPermits *p, uint32_t hash, CaroTime now)
{
    const Service *s = find_service(p, hash, false);
    CaroTime age = s == NULL ? BRITTLE_TTL : now - s->said_at;
    return (uint32_t)((age < BRITTLE_TTL ? age : BRITTLE_TTL) / CARO_MS);
}

/* Asks the keeper for the permit, or returns it. */
static void
call_keeper(Permit *permit, CaroTime now)
{
    CaroSlotPermits *p = permit->permits;
    bool is_return = permit->owner == NULL;
    caro_permit_args args = {
        .sender = p->name,
        .id = permit->id,
        .service = permit->service,
        .rejections_max = (u_int)rejections_max(p, permit->service),
        .said_age_ms = said_age_ms(p, permit->service, now),
        .wait_ms = (u_int)(permit->wait_max / CARO_MS),
        .ttl_ms = (u_int)(permit->ttl / CARO_MS),
        .is_return = is_return,
        .was_rejected = permit->was_rejected};
    const CaroMembership *m = CaroFleet_GetMembershipConst(p->fleet);
    permit->is_calling = true;
    permit->calls++;
    CaroRpc_Call(CaroFleet_Rpc(p->fleet),
                 CaroMembership_Get(m, permit->keeper)->peer, CARO_RPC_UDP,
                 CARO_SLOT_PERMIT, &args,
                 KEEPER_TIMEOUT + (is_return ? 0 : permit->wait_max),
                 on_permit, permit);
}

/* Asks this VM's own keeper. */
static CaroPermit
ask_own_keeper(CaroSlotPermits *p, const CaroPermitRequest *q,
               CaroRpcRequest *request, CaroTime now)
{
    CaroPermitRequest with_waiter = *q;
    Waiter *waiter = calloc(1, sizeof(*waiter));
    if (waiter == NULL) {
        abort(); /* The request could not be answered. */
    }
    *waiter = (Waiter){.request = request, .id = q->id};
    with_waiter.waiter = waiter;
    CaroPermit out = CaroSlotKeeper_Request(p->keeper, &with_waiter, now);
    if (out.outcome != CARO_PERMIT_QUEUED) {
        free(waiter);
    }
    return out;
}

CaroPermitOutcome
CaroSlotPermits_Acquire(CaroSlotPermits *p, const char *service, void *owner,
                        CaroTime wait_max, CaroTime ttl, uint64_t *id,
                        CaroHandle *target, CaroTime *retry_after,
                        CaroTime now)
{
    Permit *permit = calloc(1, sizeof(*permit));
    *target = CARO_NO_HANDLE;
    *retry_after = KEEPER_REST_TIME;
    if (permit == NULL) {
        return CARO_PERMIT_DENIED;
    }
    p->next_id += p->next_id + 1 == 0 ? 2 : 1;
    *id = p->next_id;
    *permit = (Permit){.permits = p,
                       .id = *id,
                       .service = hash_service(service),
                       .owner = owner,
                       .wait_max = wait_max,
                       .ttl = ttl};
    HASH_ADD(hh, p->all, id, sizeof(permit->id), permit);
    permit->keeper = choose_keeper(p, permit->service, now);
    if (permit->keeper != CARO_SELF) {
        call_keeper(permit, now);
        return CARO_PERMIT_QUEUED;
    }
    CaroPermitRequest q = {.id = *id,
                           .service = permit->service,
                           .wait_max = wait_max,
                           .ttl = ttl,
                           .rejections_max =
                               rejections_max(p, permit->service)};
    CaroPermit out = ask_own_keeper(p, &q, NULL, now);
    switch (out.outcome) {
    case CARO_PERMIT_GRANTED:
        permit->is_granted = true;
        *target = find_target(p, out.start_hash);
        CaroCounters_Add(p->counters, CARO_COUNT_PERMITS_GRANTED, 1);
        break;
    case CARO_PERMIT_DENIED:
        *retry_after = out.retry_after;
        free_permit(permit);
        CaroCounters_Add(p->counters, CARO_COUNT_PERMITS_DENIED, 1);
        break;
    case CARO_PERMIT_QUEUED:
        break;
    }
    return out.outcome;
}

void
CaroSlotPermits_Release(CaroSlotPermits *p, uint64_t id, bool was_rejected,
                        CaroTime now)
{
    Permit *permit = find_permit(p, id);
    if (permit == NULL) {
        return;
    }
    permit->owner = NULL;
    permit->was_rejected = was_rejected;
    if (permit->keeper == CARO_SELF) {
        free_permit(permit);
        CaroSlotKeeper_Return(p->keeper, id, was_rejected, now);
        return; /* Those that wait are served at the next tick. */
    }
    if (!permit->is_calling) {
        permit->calls = 0;
        permit->is_granted = true;
        call_keeper(permit, now);
    }
}

static void
send_notices(CaroSlotPermits *p, CaroTime now)
{
    caro_brittle_service services[SERVICES_MAX];
    caro_brittle_notice notice = {.sender = p->name};
    int n = 0;
    p->next_notice = now + NOTICE_INTERVAL;
    for (int i = 0; i < p->n_services; i++) {
        const Service *s = &p->services[i];
        if (is_brittle(s, now) &&
            choose_keeper(p, s->hash, now) == CARO_SELF) {
            services[n++] = (caro_brittle_service){
                .service = s->hash,
                .rejections_max = (u_int)s->rejections_max,
                .age_ms = (u_int)((now - s->said_at) / CARO_MS)};
        }
    }
    if (n > 0) {
        notice.services.services_val = services;
        notice.services.services_len = (u_int)n;
        CaroFleet_SendBrittleNotice(p->fleet, &notice);
    }
}

void
CaroSlotPermits_Tick(CaroSlotPermits *p, CaroTime now)
{
    if (p->n_services > 0 && p->fleet != NULL && now >= p->next_notice) {
        send_notices(p, now);
    }
    serve_waiting(p, now);
}

void
CaroSlotPermits_OnCall(CaroSlotPermits *p, CaroRpcRequest *request,
                       const caro_permit_args *args, CaroTime now)
{
    caro_permit reply = {.is_granted = false};
    if (args->is_return) {
        CaroSlotKeeper_Return(p->keeper, args->id, args->was_rejected, now);
        CaroRpc_Reply(request, &reply);
        serve_waiting(p, now);
        return;
    }
    record_said(p, args->service, args->rejections_max, args->said_age_ms,
                now);
    CaroPermitRequest q = {.id = args->id,
                           .service = args->service,
                           .wait_max = args->wait_ms * CARO_MS,
                           .ttl = args->ttl_ms * CARO_MS,
                           .rejections_max = (int)args->rejections_max};
    CaroPermit out = ask_own_keeper(p, &q, request, now);
    if (out.outcome != CARO_PERMIT_QUEUED) {
        reply.is_granted = out.outcome == CARO_PERMIT_GRANTED;
        reply.upstream = out.start_hash;
        reply.retry_after_ms = (u_int)(out.retry_after / CARO_MS);
        CaroRpc_Reply(request, &reply);
    }
}

void
CaroSlotPermits_ApplyNotice(CaroSlotPermits *p,
                            const caro_brittle_notice *notice, CaroTime now)
{
    for (u_int i = 0; i < notice->services.services_len; i++) {
        const caro_brittle_service *in = &notice->services.services_val[i];
        record_said(p, in->service, in->rejections_max, in->age_ms, now);
    }
}
