/*
 * NAME
 *     caro_request_allowance - one VM's part of a request limit
 *
 * With hundreds of VMs the part of each is far below one request a second.  A
 * token bucket that may hold a whole request would let all VMs send at once
 * after a pause.  Here each of the VM's requests brings a part of a token, the
 * limit's ratio to the requests of all VMs, so that the parts need not be
 * divided between VMs.  What is not used in about a second is lost.  A request
 * that wants to be sent takes all parts there are; what was taken adds up, and
 * each whole unit of it sends one request.  The sum begins at random, so that
 * the VMs reach whole units at different times.
 */
#ifndef CARO_REQUEST_ALLOWANCE_H
#define CARO_REQUEST_ALLOWANCE_H

#include "internal/caro_types.h"

#include <stdbool.h>

/* Amounts are in requests. */
typedef struct {
    double accrued; /* Not yet taken. */
    double taken;   /* Below 0 after requests that were sent anyway. */
    CaroTime accrued_at;
} CaroRequestAllowance;

/* Starts an empty allowance; "phase" is a random number in [0, 1). */
void CaroRequestAllowance_Start(CaroRequestAllowance *a, double phase,
                                CaroTime now);

/* Adds the part of a request that has come in, at most 1. */
void CaroRequestAllowance_Add(CaroRequestAllowance *a, double part,
                              CaroTime now);

/* Tells whether a request may be sent, and takes it from the allowance. */
bool CaroRequestAllowance_Take(CaroRequestAllowance *a, CaroTime now);

/* Takes a request that is sent in any case. */
void CaroRequestAllowance_Overdraw(CaroRequestAllowance *a);

#endif
