/*
 * NAME
 *     caro_fleet - the other VMs
 *
 * Carries the membership over the network: finds the others through seeds
 * and addresses that the registry knows, sends probes, and tells in each
 * answer which configuration this VM has proven to be the newest.  Both
 * interfaces, the product's own and the platform's, use it.
 */
#ifndef CARO_FLEET_H
#define CARO_FLEET_H

#include "caro_error.h"
#include "internal/caro_counters.h"
#include "internal/caro_membership.h"
#include "internal/caro_config_freshness.h"
#include "internal/caro_rpc.h"

#include <event2/event.h>
#include <gsl/gsl_rng.h>

typedef struct CaroFleet CaroFleet;

typedef struct {
    CaroTime heartbeat;       /* Probes of one VM follow each other at it. */
    CaroTime rejoin_interval; /* From one question for all members to the next,
                            once they are known; 0 for never. */
    CaroCounters *counters;   /* Borrowed. */
} CaroFleetOptions;

/* Those below the line may be NULL. */
typedef struct {
    /* What this VM has proven; copied. */
    CaroConfigFreshness (*get_config_freshness)(void *context);
    /* The configuration in force; false before the first. */
    bool (*get_config)(void *context, const char **bytes, size_t *size,
                       int64_t *revision);
    /* A peer sent a newer configuration. */
    void (*on_config)(void *context, const char *bytes, size_t size,
                      int64_t revision);
    /* --- */
    /* A peer has a proof of that age, as it said when asked at "asked". */
    void (*on_proof)(void *context, int64_t revision, CaroTime age,
                     CaroTime asked);
    /* A peer tells what it has in flight; borrowed. */
    void (*on_load_report)(void *context, const caro_load_report *news);
    /* Evidence of moves for a heartbeat; returns the count. */
    int (*collect_evidence)(void *context,
                            caro_rollout_evidence news[CARO_ROLLOUTS_MAX]);
    void (*on_evidence)(void *context, CaroHandle vm,
                        const caro_rollout_evidence *news, int count);
    /* A VM is in another state than before. */
    void (*on_changed)(void *context, const CaroVm *vm,
                       caro_member_state before);
    /* A call that is not the fleet's; it has to be answered or ignored. */
    void (*on_call)(void *context, CaroRpcRequest *request, uint32_t procedure,
                    void *args);
} CaroFleetHandlers;

/* "self" and the options are copied; the generator is borrowed. */
CaroFleet *CaroFleet_Create(struct event_base *base, const CaroVm *self,
                            const CaroFleetOptions *options, gsl_rng *rng,
                            const CaroFleetHandlers *handlers, void *context,
                            CaroTime now, CaroError *err);
void CaroFleet_Destroy(CaroFleet *f);

/* A VM from the settings that may or may not run. */
void CaroFleet_AddSeed(CaroFleet *f, const CaroVm *vm, CaroTime now);

/* Another VM may be reached at the address ("ip:port"). */
void CaroFleet_AddAddress(CaroFleet *f, const char *peer);

void CaroFleet_Tick(CaroFleet *f, CaroTime now);

/* Tells the others that this VM leaves. */
void CaroFleet_Leave(CaroFleet *f, CaroTime now);

/*
 * Tells what this VM has in flight: to all others in a small deployment,
 * to those of its own domain, where it places most, in a large one.
 */
void CaroFleet_SendLoadReport(CaroFleet *f, const caro_load_report *news);

/* Tells some of the others, chosen at random, what is new. */
void CaroFleet_Announce(CaroFleet *f, int fanout);

/* Answers a call with a heartbeat. */
void CaroFleet_ReplyWithHeartbeat(CaroFleet *f, CaroRpcRequest *request,
                                  const char *to);

/* Borrowed, for parts that call other VMs or doubt one. */
CaroRpc *CaroFleet_Rpc(CaroFleet *f);
CaroMembership *CaroFleet_GetMembership(CaroFleet *f);

/* Borrowed; for the directory and for reports. */
const CaroMembership *CaroFleet_GetMembershipConst(const CaroFleet *f);

/* Others were asked and answered, or there was time enough for it. */
bool CaroFleet_IsJoined(const CaroFleet *f, CaroTime now);

#endif
