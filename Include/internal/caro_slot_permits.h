/*
 * NAME
 *     caro_slot_permits - permits for requests to brittle upstreams, at a VM
 *
 * Knows which services are brittle, from responses to this VM and from notices
 * of the keepers; asks the keeper of a service for permits, and is the keeper
 * of those for which the membership chooses it (caro_slot_keeper.h).
 */
#ifndef CARO_SLOT_PERMITS_H
#define CARO_SLOT_PERMITS_H

#include "internal/caro_counters.h"
#include "internal/caro_fleet.h"
#include "internal/caro_slot_keeper.h"

typedef struct CaroSlotPermits CaroSlotPermits;

/* The outcome of a request for a permit that had to wait.  "target" is
   CARO_NO_HANDLE if it was denied; the caller of the request may come back
   after "retry_after". */
typedef void (*CaroSlotPermitsDone)(void *owner, uint64_t id,
                                    CaroHandle target, CaroTime retry_after);

/* Borrowed.  Returns NULL without memory.  Destroy accepts NULL. */
CaroSlotPermits *CaroSlotPermits_Create(const CaroTargets *targets,
                                        CaroCounters *counters,
                                        CaroSlotPermitsDone done);
void CaroSlotPermits_Destroy(CaroSlotPermits *p);

/* Sets the fleet, which is borrowed; "name" is this VM's. */
void CaroSlotPermits_SetFleet(CaroSlotPermits *p, CaroFleet *fleet,
                              const char *name);

/* A response of an upstream of the service said that it bears so many
   rejections a second, or with -1 nothing. */
void CaroSlotPermits_RecordResponse(CaroSlotPermits *p, const char *service,
                                    int rejections_max, CaroTime now);

/* Returns whether requests for the service need a permit. */
bool CaroSlotPermits_IsNeeded(const CaroSlotPermits *p, const char *service,
                              CaroTime now);

/*
 * Asks for a permit for a request.  Returns the outcome; when it is QUEUED,
 * "done" is called with the owner later, unless the request is cancelled by
 * Release.  *id names the permit; *target is the upstream if it was GRANTED.
 */
CaroPermitOutcome CaroSlotPermits_Acquire(CaroSlotPermits *p,
                                          const char *service, void *owner,
                                          CaroTime wait_max, CaroTime ttl,
                                          uint64_t *id, CaroHandle *target,
                                          CaroTime *retry_after, CaroTime now);

/* Returns a permit, or cancels the request for it. */
void CaroSlotPermits_Release(CaroSlotPermits *p, uint64_t id,
                             bool was_rejected, CaroTime now);

/* Sends the notices that are due and ends waits; to be called many times a
   second. */
void CaroSlotPermits_Tick(CaroSlotPermits *p, CaroTime now);

/* Handles the call of another VM, which is replied to at once or later. */
void CaroSlotPermits_OnCall(CaroSlotPermits *p, CaroRpcRequest *request,
                            const caro_permit_args *args, CaroTime now);

/* Applies a notice of another VM. */
void CaroSlotPermits_ApplyNotice(CaroSlotPermits *p,
                                 const caro_brittle_notice *notice,
                                 CaroTime now);

#endif
