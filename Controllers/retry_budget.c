/* A VM's share of the deployment's retry budget. */
#include "internal/caro_retry_budget.h"

#include "internal/caro_window_count.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { SERVICES_MAX = 64 };
/* The retries of other VMs are not known here.  A fifth of the budget is left
   because their windows begin at other times. */
#define BUDGET_FRACTION 0.8

typedef struct {
    char service[CARO_NAME_SIZE];
    CaroWindowCount requests;
    CaroWindowCount retries;
} ServiceCounts;

struct CaroRetryBudget {
    double ratio;
    double slack;
    CaroTime window;
    ServiceCounts services[SERVICES_MAX];
    int n;
};

CaroRetryBudget *
CaroRetryBudget_Create(double ratio, double slack, CaroTime window)
{
    CaroRetryBudget *b = calloc(1, sizeof(*b));
    if (b != NULL) {
        b->ratio = ratio;
        b->slack = slack;
        b->window = window;
    }
    return b;
}

void
CaroRetryBudget_Destroy(CaroRetryBudget *b)
{
    free(b);
}

/* Returns the counts of the service.  Services beyond SERVICES_MAX share the
   last entry. */
static ServiceCounts *
get_or_create_counts(CaroRetryBudget *b, const char *service)
{
    for (int i = 0; i < b->n; i++) {
        if (strcmp(b->services[i].service, service) == 0) {
            return &b->services[i];
        }
    }
    if (b->n == SERVICES_MAX) {
        return &b->services[SERVICES_MAX - 1];
    }
    ServiceCounts *c = &b->services[b->n++];
    CARO_COPY(c->service, service);
    return c;
}

void
CaroRetryBudget_RecordRequest(CaroRetryBudget *b, const char *service,
                              CaroTime now)
{
    ServiceCounts *c = get_or_create_counts(b, service);
    CaroWindowCount_Add(&c->requests, b->window, now);
}

void
CaroRetryBudget_RecordRetry(CaroRetryBudget *b, const char *service,
                            CaroTime now)
{
    ServiceCounts *c = get_or_create_counts(b, service);
    CaroWindowCount_Add(&c->retries, b->window, now);
}

bool
CaroRetryBudget_AllowsRetry(CaroRetryBudget *b, const char *service, int vms,
                            CaroTime now)
{
    ServiceCounts *c = get_or_create_counts(b, service);
    int requests = CaroWindowCount_Sum(&c->requests, b->window, now);
    int retries = CaroWindowCount_Sum(&c->retries, b->window, now);
    double retries_max = BUDGET_FRACTION * (b->ratio * requests +
                                            b->slack / (vms > 0 ? vms : 1));
    return retries + 1 <= retries_max;
}
