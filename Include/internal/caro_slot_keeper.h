/*
 * NAME
 *     caro_slot_keeper - permits for requests to brittle upstreams
 *
 * The upstreams of a service may announce that they fall over when they have
 * to reject more than a few requests a second.  Then one VM, the keeper, gives
 * out a permit for each request to them, as a semaphore with a count for each
 * upstream, so that all VMs together never have more there than run at once.
 * A request waits for a permit in the order of arrival.  Times are by
 * CaroClock_Now.
 */
#ifndef CARO_SLOT_KEEPER_H
#define CARO_SLOT_KEEPER_H

#include "internal/caro_targets.h"

typedef struct CaroSlotKeeper CaroSlotKeeper;

typedef enum {
    CARO_PERMIT_GRANTED,
    CARO_PERMIT_QUEUED, /* The outcome follows from CaroSlotKeeper_Next. */
    CARO_PERMIT_DENIED
} CaroPermitOutcome;

typedef struct {
    uint64_t id;        /* Chosen by the VM that asks, unique. */
    uint32_t service;   /* Hash of the service's name. */
    CaroTime wait_max;  /* It is denied rather than wait for longer. */
    CaroTime ttl;       /* It counts as returned this long after. */
    int rejections_max; /* That an upstream bears a second; 0: unknown. */
    void *waiter;       /* Returned by CaroSlotKeeper_Next; opaque. */
} CaroPermitRequest;

typedef struct {
    CaroPermitOutcome outcome;
    uint64_t id;
    uint32_t start_hash;  /* Of the upstream, when granted. */
    CaroTime retry_after; /* When denied. */
    void *waiter;
} CaroPermit;

/* "targets" is borrowed.  Returns NULL when out of memory.  Destroy accepts
   NULL; waiters are not released. */
CaroSlotKeeper *CaroSlotKeeper_Create(const CaroTargets *targets);
void CaroSlotKeeper_Destroy(CaroSlotKeeper *k);

/* Decides on a request; one that is repeated with the same id gets the same
   permit. */
CaroPermit CaroSlotKeeper_Request(CaroSlotKeeper *k,
                                  const CaroPermitRequest *q, CaroTime now);

/* The request with the permit has ended, or waits no longer. */
void CaroSlotKeeper_Return(CaroSlotKeeper *k, uint64_t id, bool was_rejected,
                           CaroTime now);

/* Fills *out with the next outcome of a queued request; returns false when
   there is none now.  To be called after Return and several times a second. */
bool CaroSlotKeeper_Next(CaroSlotKeeper *k, CaroPermit *out, CaroTime now);

/* Returns the permits that are out, and the requests that wait. */
int CaroSlotKeeper_CountPermits(const CaroSlotKeeper *k);
int CaroSlotKeeper_CountWaiting(const CaroSlotKeeper *k);

#endif
