/* A VM's part of the deployment's retry budget. */
#include "internal/caro_retry_budget.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { PARTS = 10, SERVICES_MAX = 64 };
/* What other VMs spend is not known here; a fifth is left for windows that
   lie differently at them. */
#define SAFETY 0.8

typedef struct {
    char service[CARO_NAME_SIZE];
    int64_t slices[PARTS + 1]; /* Which slice of time each part holds. */
    int requests[PARTS + 1];
    int repeats[PARTS + 1];
} Ledger;

struct CaroRetryBudget {
    double ratio;
    double slack;
    CaroTime slice;
    Ledger ledgers[SERVICES_MAX];
    int n;
};

CaroRetryBudget *
CaroRetryBudget_Create(double ratio, double slack, CaroTime window)
{
    CaroRetryBudget *b = calloc(1, sizeof(*b));
    if (b != NULL) {
        b->ratio = ratio;
        b->slack = slack;
        b->slice = window / PARTS;
    }
    return b;
}

void
CaroRetryBudget_Destroy(CaroRetryBudget *b)
{
    free(b);
}

/* The service's ledger; past the last, services share one. */
static Ledger *
find_ledger(CaroRetryBudget *b, const char *service)
{
    for (int i = 0; i < b->n; i++) {
        if (strcmp(b->ledgers[i].service, service) == 0) {
            return &b->ledgers[i];
        }
    }
    if (b->n == SERVICES_MAX) {
        return &b->ledgers[SERVICES_MAX - 1];
    }
    Ledger *l = &b->ledgers[b->n++];
    CARO_COPY(l->service, service);
    return l;
}

/* The part of the present slice, emptied when it held an older one. */
static int
find_part(const CaroRetryBudget *b, Ledger *l, CaroTime now)
{
    int64_t slice = now / b->slice;
    int part = (int)(slice % (PARTS + 1));
    if (l->slices[part] != slice) {
        l->slices[part] = slice;
        l->requests[part] = 0;
        l->repeats[part] = 0;
    }
    return part;
}

void
CaroRetryBudget_RecordRequest(CaroRetryBudget *b, const char *service,
                              CaroTime now)
{
    Ledger *l = find_ledger(b, service);
    l->requests[find_part(b, l, now)]++;
}

void
CaroRetryBudget_RecordRetry(CaroRetryBudget *b, const char *service,
                            CaroTime now)
{
    Ledger *l = find_ledger(b, service);
    l->repeats[find_part(b, l, now)]++;
}

bool
CaroRetryBudget_AllowsRetry(CaroRetryBudget *b, const char *service, int vms,
                            CaroTime now)
{
    Ledger *l = find_ledger(b, service);
    (void)find_part(b, l, now);
    int64_t oldest = now / b->slice - PARTS;
    int requests = 0;
    int repeats = 0;
    for (int i = 0; i <= PARTS; i++) {
        if (l->slices[i] >= oldest) {
            requests += l->requests[i];
            repeats += l->repeats[i];
        }
    }
    double most =
        SAFETY * (b->ratio * requests + b->slack / (vms > 0 ? vms : 1));
    return repeats + 1 <= most;
}
