/*
 * NAME
 *     caro_retry_budget - a VM's share of the deployment's retry budget
 *
 * Limits the load of retries, which grow while upstreams fail.  In a sliding
 * window, retries to a service stay below a fraction of its requests plus a
 * fixed allowance.  The allowance is divided equally among the VMs.
 */
#ifndef CARO_RETRY_BUDGET_H
#define CARO_RETRY_BUDGET_H

#include "internal/caro_types.h"

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

/* Tells whether one more retry fits; "vms" is the size of the deployment. */
bool CaroRetryBudget_AllowsRetry(CaroRetryBudget *b, const char *service,
                                 int vms, CaroTime now);

/* Records that a request was retried. */
void CaroRetryBudget_RecordRetry(CaroRetryBudget *b, const char *service,
                                 CaroTime now);

#endif
