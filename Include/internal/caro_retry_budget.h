/*
 * NAME
 *     caro_retry_budget - a VM's share of the deployment's retry budget
 *
 * Limits the load of retries, which grow while upstreams fail.  In a sliding
 * window, retries to a service stay below a fraction of its requests plus a
 * fixed allowance.  The allowance is divided equally among the VMs, and a VM
 * without budget may borrow from others (docs/design/retry-budget.md).
 */
#ifndef CARO_RETRY_BUDGET_H
#define CARO_RETRY_BUDGET_H

#include "internal/caro_types.h"

/* A borrowed retry can be used for this long after it was asked for. */
#define CARO_RETRY_LOAN_TTL (1 * CARO_SECOND)

typedef struct CaroRetryBudget CaroRetryBudget;

/*
 * In each "window" the deployment may retry "ratio" of its requests to a
 * service and "slack" more.  Returns NULL when out of memory.
 */
CaroRetryBudget *CaroRetryBudget_Create(double ratio, double slack,
                                        CaroTime window);
void CaroRetryBudget_Destroy(CaroRetryBudget *b);

/* Records that a request for the service came in. */
void CaroRetryBudget_RecordRequest(CaroRetryBudget *b, const char *service,
                                   CaroTime now);

/* Tells whether one more retry fits the VM's share or was borrowed; "vms" is
   the size of the deployment. */
bool CaroRetryBudget_AllowsRetry(CaroRetryBudget *b, const char *service,
                                 int vms, CaroTime now);

/* The same for a stream that has not begun: it may not take the last part of
   the share, nor borrowed retries. */
bool CaroRetryBudget_AllowsUnbegun(CaroRetryBudget *b, const char *service,
                                   int vms, CaroTime now);

/* Records that a request was retried.  A borrowed retry is used first. */
void CaroRetryBudget_RecordRetry(CaroRetryBudget *b, const char *service,
                                 CaroTime now);

/* Returns the hash by which VMs name a service to each other. */
uint32_t CaroRetryBudget_HashService(const char *service);

/*
 * Lends at most "retries" to another VM and returns how many.  They count at
 * once as retries of this VM, and as long as the other VM's use of them
 * counts.  A reserve is not lent, nor are borrowed retries.
 */
int CaroRetryBudget_Lend(CaroRetryBudget *b, uint32_t service_hash,
                         int retries, int vms, CaroTime now);

/* Adds retries that another VM has lent in reply to a call sent at
   "asked_at". */
void CaroRetryBudget_Borrow(CaroRetryBudget *b, const char *service,
                            int retries, CaroTime asked_at, CaroTime now);

/* Returns how many borrowed retries expired since the last call. */
int CaroRetryBudget_ConsumeExpired(CaroRetryBudget *b, CaroTime now);

/*
 * The VM starts and may have crashed shortly before.  For longer than a window
 * it takes only the part of its allowance that it cannot have used before.
 */
void CaroRetryBudget_Start(CaroRetryBudget *b, CaroTime now);

/*
 * Returns the number of VMs by which to divide the allowance: the largest that
 * was passed for longer than a window, since VMs that left may have used their
 * shares in it.  "vms" counts the VMs that are not reached, which may be cut
 * off and use theirs.
 */
int CaroRetryBudget_HoldVms(CaroRetryBudget *b, int vms, CaroTime now);

#endif
