/*
 * NAME
 *     caro_retry_loans - when to ask other VMs for retries, and for how many
 *
 * Limits the calls for loans, which would otherwise grow with the streams of a
 * lost failure domain.  The first request of a second asks one VM for one
 * retry.  Requests that come while the call is open are asked for together, of
 * more VMs.
 */
#ifndef CARO_RETRY_LOANS_H
#define CARO_RETRY_LOANS_H

#include "internal/caro_types.h"

typedef struct CaroRetryLoans CaroRetryLoans;

/* What to ask for now. */
typedef struct {
    int vms;     /* VMs to ask, chosen at random; 0 for none. */
    int retries; /* To ask each of them for. */
    uint32_t id; /* For CaroRetryLoans_RecordAnswer. */
} CaroLoanRound;

/* Returns NULL when out of memory. */
CaroRetryLoans *CaroRetryLoans_Create(void);
void CaroRetryLoans_Destroy(CaroRetryLoans *l);

/* A stream waits for the budget of the service; to be called at each try. */
CaroLoanRound CaroRetryLoans_Request(CaroRetryLoans *l, const char *service,
                                     CaroTime now);

/* A VM that was asked has answered, or cannot be asked. */
void CaroRetryLoans_RecordAnswer(CaroRetryLoans *l, const char *service,
                                 uint32_t id);

#endif
