/*
 * NAME
 *     caro_fleet - the other VMs of the gateway
 *
 * Carries the membership over the network: finds the others through seeds
 * and addresses that the registry knows, sends probes, and tells in each
 * answer which configuration this VM has proven to be the newest.
 */
#ifndef CARO_FLEET_H
#define CARO_FLEET_H

#include "caro_error.h"
#include "internal/caro_membership.h"
#include "internal/caro_proof.h"

#include <event2/event.h>
#include <gsl/gsl_rng.h>

typedef struct CaroFleet CaroFleet;

typedef struct {
    /* What this VM has proven; copied. */
    CaroProof (*get_proof)(void *context);
    /* A peer, asked at "asked", has a proof of that age. */
    void (*on_proof)(void *context, int64_t revision, CaroTime age,
                     CaroTime asked);
    /* The configuration in force; false before the first. */
    bool (*get_config)(void *context, const char **bytes, size_t *size,
                       int64_t *revision);
    /* A peer sent a newer configuration. */
    void (*on_config)(void *context, const char *bytes, size_t size,
                      int64_t revision);
    /* A peer tells what it has in flight; borrowed. */
    void (*on_loads)(void *context, const caro_load_news *news);
} CaroFleetHandlers;

/* "self" is copied; the generator is borrowed. */
CaroFleet *CaroFleet_Create(struct event_base *base, const CaroVm *self,
                            gsl_rng *rng, const CaroFleetHandlers *handlers,
                            void *context, CaroTime now, CaroError *err);
void CaroFleet_Destroy(CaroFleet *f);

/* Another VM may be reached at the address ("ip:port"). */
void CaroFleet_AddAddress(CaroFleet *f, const char *peer);

void CaroFleet_Tick(CaroFleet *f, CaroTime now);

/* Tells the others that this VM leaves. */
void CaroFleet_Leave(CaroFleet *f, CaroTime now);

/*
 * Tells what this VM has in flight: to all others in a small deployment,
 * to those of its own domain, where it places most, in a large one.
 */
void CaroFleet_SpreadLoads(CaroFleet *f, const caro_load_news *news);

/* Borrowed; for the directory and for reports. */
const CaroMembership *CaroFleet_Membership(const CaroFleet *f);

/* Others were asked and answered, or there was time enough for it. */
bool CaroFleet_IsJoined(const CaroFleet *f, CaroTime now);

#endif
