/* A VM's share of the deployment's retry budget. */
#include "internal/caro_retry_budget.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A window is SLICES slices of time and a part of the present one. */
enum { SLICES = 10, SERVICES_MAX = 64 };
/* The retries of other VMs are not known here.  A fifth of the budget is left
   because their windows begin at other times. */
#define BUDGET_FRACTION 0.8

/* Counts of one service in a ring of time slices. */
typedef struct {
    char service[CARO_NAME_SIZE];
    int64_t slices[SLICES + 1]; /* Slice number that each position holds. */
    int requests[SLICES + 1];
    int retries[SLICES + 1];
} ServiceCounts;

struct CaroRetryBudget {
    double ratio;
    double slack;
    CaroTime slice_duration;
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
        b->slice_duration = window / SLICES;
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

/* Returns the position of the present slice, and clears its counts if they
   belong to an older slice. */
static int
find_position(const CaroRetryBudget *b, ServiceCounts *c, CaroTime now)
{
    int64_t slice = now / b->slice_duration;
    int at = (int)(slice % (SLICES + 1));
    if (c->slices[at] != slice) {
        c->slices[at] = slice;
        c->requests[at] = 0;
        c->retries[at] = 0;
    }
    return at;
}

void
CaroRetryBudget_RecordRequest(CaroRetryBudget *b, const char *service,
                              CaroTime now)
{
    ServiceCounts *c = get_or_create_counts(b, service);
    c->requests[find_position(b, c, now)]++;
}

void
CaroRetryBudget_RecordRetry(CaroRetryBudget *b, const char *service,
                            CaroTime now)
{
    ServiceCounts *c = get_or_create_counts(b, service);
    c->retries[find_position(b, c, now)]++;
}

bool
CaroRetryBudget_AllowsRetry(CaroRetryBudget *b, const char *service, int vms,
                            CaroTime now)
{
    ServiceCounts *c = get_or_create_counts(b, service);
    (void)find_position(b, c, now);
    int64_t oldest = now / b->slice_duration - SLICES;
    int requests = 0;
    int retries = 0;
    for (int i = 0; i <= SLICES; i++) {
        if (c->slices[i] >= oldest) {
            requests += c->requests[i];
            retries += c->retries[i];
        }
    }
    double retries_max = BUDGET_FRACTION * (b->ratio * requests +
                                            b->slack / (vms > 0 ? vms : 1));
    return retries + 1 <= retries_max;
}
