/*
 * NAME
 *     caro_retry_budget - a VM's part of the deployment's retry budget
 *
 * Answers the load of retries that grow while upstreams fail.  In a
 * sliding window, repeats to a service stay below a share of its requests
 * and a fixed amount; the fixed amount is split among the VMs.
 */
#ifndef CARO_RETRY_BUDGET_H
#define CARO_RETRY_BUDGET_H

#include "internal/caro_types.h"

typedef struct CaroRetryBudget CaroRetryBudget;

/* "ratio" of the requests and "slack" more may repeat in "window". */
CaroRetryBudget *CaroRetryBudget_Create(double ratio, double slack,
                                        CaroTime window);
void CaroRetryBudget_Destroy(CaroRetryBudget *b);

/* A request for the service came in. */
void CaroRetryBudget_RecordRequest(CaroRetryBudget *b, const char *service,
                                   CaroTime now);

/* May one more be repeated, with so many VMs in the deployment? */
bool CaroRetryBudget_AllowsRetry(CaroRetryBudget *b, const char *service,
                                 int vms, CaroTime now);

/* A request is sent once more. */
void CaroRetryBudget_RecordRetry(CaroRetryBudget *b, const char *service,
                                 CaroTime now);

#endif
