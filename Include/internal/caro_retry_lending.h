/*
 * NAME
 *     caro_retry_lending - loans of retries between the VMs
 *
 * Asks other VMs for retries while streams of this VM wait for budget, and
 * answers the calls of others.
 */
#ifndef CARO_RETRY_LENDING_H
#define CARO_RETRY_LENDING_H

#include "internal/caro_counters.h"
#include "internal/caro_fleet.h"
#include "internal/caro_retry_budget.h"

#include <gsl/gsl_rng.h>

typedef struct CaroRetryLending CaroRetryLending;

/* Budget, counters, generator and "name", which is this VM's, are borrowed.
   Returns NULL when out of memory. */
CaroRetryLending *CaroRetryLending_Create(CaroRetryBudget *budget,
                                          CaroCounters *counters, gsl_rng *rng,
                                          const char *name);

/* To be destroyed after the fleet, which ends the open calls. */
void CaroRetryLending_Destroy(CaroRetryLending *l);

/* The fleet is borrowed; without one nothing is asked. */
void CaroRetryLending_SetFleet(CaroRetryLending *l, CaroFleet *fleet);

/* Updates the share of the allowance of the retry budget and the counters, and
   returns the number of VMs by which the allowance is divided. */
int CaroRetryLending_Tick(CaroRetryLending *l, CaroTime now);

/* A stream waits for the budget of the service; to be called at each try. */
void CaroRetryLending_Request(CaroRetryLending *l, const char *service,
                              CaroTime now);

/* Answers a call of another VM. */
void CaroRetryLending_OnCall(CaroRetryLending *l, CaroRpcRequest *request,
                             const caro_retry_loan *args, CaroTime now);

#endif
