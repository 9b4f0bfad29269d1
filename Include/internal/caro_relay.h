/*
 * NAME
 *     caro_relay - callers' requests, forwarded to upstreams
 *
 * A relay is one request from the time it was read until its answer has
 * ended.  What it needs of the VM stands in CaroRelayDeps; the parts are
 * the assembler's.
 */
#ifndef CARO_RELAY_H
#define CARO_RELAY_H

#include "internal/caro_channel_pool.h"
#include "internal/caro_counters.h"
#include "internal/caro_http_server.h"
#include "internal/caro_latency.h"
#include "internal/caro_service_rollouts.h"
#include "internal/caro_placement.h"
#include "internal/caro_retry_budget.h"
#include "internal/caro_routes.h"

typedef struct CaroRelays CaroRelays;

typedef struct {
    struct event_base *base;
    CaroTargets *targets;
    CaroChannelPool *pool;
    CaroRetryBudget *budget;
    CaroServiceRollouts *moves;
    CaroCounters *counters;
    CaroLatency *latency;
    gsl_rng *rng;
    const char *domain; /* Of this VM. */
} CaroRelayDeps;

/* The parts are borrowed. */
CaroRelays *CaroRelays_Create(const CaroRelayDeps *parts);
void CaroRelays_Destroy(CaroRelays *all);

/* VMs of the deployment, which share the retry budget. */
void CaroRelays_SetVms(CaroRelays *all, int vms);

/*
 * Takes a call that may be served: its route and its account (NULL on a
 * public route) are copied.
 */
void CaroRelays_Accept(CaroRelays *all, CaroCall *call, const CaroRoute *route,
                       const CaroClientAccount *account, CaroTime now);

/* The caller left, or takes bytes again. */
void CaroRelays_OnCallerDisconnected(CaroCall *call, CaroTime now);
void CaroRelays_OnCallerDrained(CaroCall *call, CaroTime now);

/* An upstream was found silent elsewhere: those who wait there for a first
   event wait no longer than for any other event. */
void CaroRelays_OnTargetSuspected(CaroRelays *all, CaroHandle target,
                                  CaroTime now);

/* The streams in flight changed since the last call. */
bool CaroRelays_ConsumeChange(CaroRelays *all);

/* Cuts streams behind a whole event; their callers go on elsewhere. */
void CaroRelays_CutStreams(CaroRelays *all, CaroTime now);

/* Requests that are being served. */
int CaroRelays_Count(const CaroRelays *all);

/* Answers a call here, without an upstream. */
void CaroRelay_Refuse(CaroCall *call, int status, double retry_after_s);

#endif
