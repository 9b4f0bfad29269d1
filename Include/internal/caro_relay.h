/*
 * NAME
 *     caro_relay - forwarding of callers' requests to upstreams
 *
 * A relay is one request, from the time it has been read until its
 * response has ended.  It makes as many attempts at upstreams as the rules
 * of caro_attempt.h allow.
 */
#ifndef CARO_RELAY_H
#define CARO_RELAY_H

#include "internal/caro_channel_pool.h"
#include "internal/caro_counters.h"
#include "internal/caro_http_server.h"
#include "internal/caro_latency.h"
#include "internal/caro_placement.h"
#include "internal/caro_prompt_guard.h"
#include "internal/caro_request_limits.h"
#include "internal/caro_retry_budget.h"
#include "internal/caro_retry_lending.h"
#include "internal/caro_routes.h"
#include "internal/caro_service_rollouts.h"
#include "internal/caro_service_room.h"
#include "internal/caro_slot_permits.h"

typedef struct CaroRelays CaroRelays;

/* Objects of the VM that relays use; all are borrowed. */
typedef struct {
    struct event_base *base;
    CaroTargets *targets;
    CaroChannelPool *pool;
    CaroRetryBudget *budget;
    CaroRetryLending *lending; /* NULL: the VM borrows no retries. */
    CaroServiceRollouts *rollouts;
    CaroCounters *counters;
    CaroLatency *latency;
    CaroPromptGuard *guard;
    CaroRequestLimits *limits;
    CaroEnginePace *pace;
    CaroServiceRoom *room; /* NULL: all plain requests are sent at once. */
    CaroRetainedPrompts *retained;
    CaroSlotPermits *permits; /* NULL: none are needed. */
    gsl_rng *rng;
    const char *domain;        /* Failure domain of this VM. */
    size_t response_bytes_max; /* Of responses that callers have not taken, of
                                  all requests together. */
} CaroRelayDeps;

/*
 * Creates an empty set of relays.  The structure is copied, the objects it
 * refers to have to outlive the set.  Returns NULL without memory.
 */
CaroRelays *CaroRelays_Create(const CaroRelayDeps *deps);
void CaroRelays_Destroy(CaroRelays *relays);

/* The outcome of a wait for a permit; a CaroSlotPermitsDone. */
void CaroRelays_OnPermit(void *owner, uint64_t id, CaroHandle target,
                         CaroTime retry_after);

/* Number of VMs in the deployment; they share the retry budget. */
void CaroRelays_SetVms(CaroRelays *relays, int vms);

/*
 * Accepts an authorized call and begins the first attempt.  The route and
 * the account (NULL on a public route) are copied.
 */
void CaroRelays_Accept(CaroRelays *relays, CaroCall *call,
                       const CaroRoute *route,
                       const CaroClientAccount *account, CaroTime now);

/* The caller disconnected, or has read the pending bytes.  Both are without
   effect on a call that has no relay. */
void CaroRelays_OnCallerDisconnected(CaroCall *call, CaroTime now);
void CaroRelays_OnCallerDrained(CaroCall *call, CaroTime now);

/*
 * Another stream found the upstream silent.  Streams that wait for their
 * first event there use the shorter timeout of later events from now on.
 */
void CaroRelays_OnTargetSuspected(CaroRelays *relays, CaroHandle target,
                                  CaroTime now);

/*
 * The target announced to this VM that it accepts no more requests.  Requests
 * that were chosen for it and not sent go elsewhere; those that were sent run
 * to their end.
 */
void CaroRelays_OnTargetClosed(CaroRelays *relays, CaroHandle target,
                               CaroTime now);

/* Reports attempts that take longer than usual to the rollouts; to be called
   several times a second. */
void CaroRelays_CheckOverdue(CaroRelays *relays, CaroTime now);

/* Returns whether the streams in flight, their prefill or their failures
   changed since the last call, and clears the mark. */
bool CaroRelays_ConsumeChange(CaroRelays *relays);

/* Ends all resumable streams after a complete event, before the VM stops;
   their callers resume them at another VM. */
void CaroRelays_CutStreams(CaroRelays *relays, CaroTime now);

/* Ends all requests, with status 502 where no response has begun, before the
   VM closes its connections. */
void CaroRelays_CutAll(CaroRelays *relays, CaroTime now);

/* Ends the requests in quarantine whose responses have not begun, so that
   their upstreams do not begin them. */
void CaroRelays_EndQuarantined(CaroRelays *relays, CaroTime now);

/* Number of requests in progress. */
int CaroRelays_Count(const CaroRelays *relays);

/*
 * Responds to a call without an upstream, with an empty body.  The header
 * Retry-After is sent when "retry_after_s" is above 0.  The call is over.
 */
void CaroRelay_Refuse(CaroCall *call, int status, double retry_after_s);

#endif
