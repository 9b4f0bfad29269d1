/* A VM's share of the deployment's retry budget. */
#include "internal/caro_retry_budget.h"

#include "internal/caro_window_count.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { SERVICES_MAX = 64, LOANS_MAX = 16 };
/* The retries of other VMs are not known here.  A fifth of the budget is left
   because their windows begin at other times. */
#define BUDGET_FRACTION 0.8
/* Fraction of the slack for a VM that has just started: BUDGET_FRACTION was
   used before it crashed, if it did. */
#define START_SLACK_FRACTION 0.2
/* Part of the budget that only streams that have begun may take, and that is
   not lent. */
#define RESERVE_FRACTION 0.2

/* Borrowed retries that were not used. */
typedef struct {
    int retries;
    CaroTime expires_at;
} Loan;

typedef struct {
    char service[CARO_NAME_SIZE];
    uint32_t hash;
    CaroWindowCount requests;
    CaroWindowCount retries; /* Without those made with borrowed ones. */
    /* Retries lent; counted for CARO_RETRY_LOAN_TTL longer, as another VM may
       use them so much later. */
    CaroWindowCount lent;
    Loan loans[LOANS_MAX];
    int n_loans;
} ServiceCounts;

struct CaroRetryBudget {
    double ratio;
    double slack;
    CaroTime window;
    CaroTime started_until; /* The VM counts as just started until then. */
    /* Largest number of VMs in this hold time and in the one before. */
    int held_vms;
    int previous_vms;
    CaroTime hold_started_at;
    int expired; /* See CaroRetryBudget_ConsumeExpired. */
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
    c->hash = CaroRetryBudget_HashService(service);
    return c;
}

void
CaroRetryBudget_RecordRequest(CaroRetryBudget *b, const char *service,
                              CaroTime now)
{
    ServiceCounts *c = get_or_create_counts(b, service);
    CaroWindowCount_Add(&c->requests, b->window, now);
}

/* Removes the loans that were used up or have expired. */
static void
remove_old_loans(CaroRetryBudget *b, ServiceCounts *c, CaroTime now)
{
    int kept = 0;
    for (int i = 0; i < c->n_loans; i++) {
        if (now >= c->loans[i].expires_at) {
            b->expired += c->loans[i].retries;
        }
        else if (c->loans[i].retries > 0) {
            c->loans[kept++] = c->loans[i];
        }
    }
    c->n_loans = kept;
}

void
CaroRetryBudget_RecordRetry(CaroRetryBudget *b, const char *service,
                            CaroTime now)
{
    ServiceCounts *c = get_or_create_counts(b, service);
    remove_old_loans(b, c, now);
    if (c->n_loans > 0) {
        /* The lender has counted it. */
        c->loans[0].retries--;
        return;
    }
    CaroWindowCount_Add(&c->retries, b->window, now);
}

/* Returns the retries that this VM's own share allows in a window. */
static double
own_retries_max(const CaroRetryBudget *b, const ServiceCounts *c, int vms,
                CaroTime now)
{
    int requests = CaroWindowCount_Sum(&c->requests, b->window, now);
    double slack = b->slack / (vms > 0 ? vms : 1);
    double slack_fraction =
        now < b->started_until ? START_SLACK_FRACTION : BUDGET_FRACTION;
    return BUDGET_FRACTION * b->ratio * requests + slack_fraction * slack;
}

/* Returns how many of them are left, which may be negative. */
static double
own_retries_left(const CaroRetryBudget *b, const ServiceCounts *c, int vms,
                 CaroTime now)
{
    return own_retries_max(b, c, vms, now) -
           CaroWindowCount_Sum(&c->retries, b->window, now) -
           CaroWindowCount_Sum(&c->lent, b->window + CARO_RETRY_LOAN_TTL, now);
}

bool
CaroRetryBudget_AllowsRetry(CaroRetryBudget *b, const char *service, int vms,
                            CaroTime now)
{
    ServiceCounts *c = get_or_create_counts(b, service);
    remove_old_loans(b, c, now);
    return c->n_loans > 0 || own_retries_left(b, c, vms, now) >= 1;
}

bool
CaroRetryBudget_AllowsUnbegun(CaroRetryBudget *b, const char *service, int vms,
                              CaroTime now)
{
    const ServiceCounts *c = get_or_create_counts(b, service);
    double reserve = RESERVE_FRACTION * own_retries_max(b, c, vms, now);
    return own_retries_left(b, c, vms, now) - reserve >= 1;
}

uint32_t
CaroRetryBudget_HashService(const char *service)
{
    return XXH32(service, strlen(service), 0);
}

int
CaroRetryBudget_Lend(CaroRetryBudget *b, uint32_t service_hash, int retries,
                     int vms, CaroTime now)
{
    ServiceCounts *c = NULL;
    for (int i = 0; i < b->n && c == NULL; i++) {
        c = b->services[i].hash == service_hash ? &b->services[i] : NULL;
    }
    if (c == NULL) {
        return 0;
    }
    double reserve = RESERVE_FRACTION * own_retries_max(b, c, vms, now);
    double most =
        own_retries_left(b, c, vms, now) - (reserve > 1 ? reserve : 1);
    int granted = 0;
    while (granted < retries && granted + 1 <= most) {
        CaroWindowCount_Add(&c->lent, b->window + CARO_RETRY_LOAN_TTL, now);
        granted++;
    }
    return granted;
}

void
CaroRetryBudget_Borrow(CaroRetryBudget *b, const char *service, int retries,
                       CaroTime asked_at, CaroTime now)
{
    ServiceCounts *c = get_or_create_counts(b, service);
    remove_old_loans(b, c, now);
    CaroTime expires_at = asked_at + CARO_RETRY_LOAN_TTL;
    if (retries <= 0) {
        return;
    }
    if (now >= expires_at || c->n_loans == LOANS_MAX) {
        b->expired += retries;
        return;
    }
    c->loans[c->n_loans++] =
        (Loan){.retries = retries, .expires_at = expires_at};
}

int
CaroRetryBudget_ConsumeExpired(CaroRetryBudget *b, CaroTime now)
{
    for (int i = 0; i < b->n; i++) {
        remove_old_loans(b, &b->services[i], now);
    }
    int expired = b->expired;
    b->expired = 0;
    return expired;
}

/* Time after which a retry that was allowed counts nowhere any more: the
   window, a slice of it, and the life of a loan. */
static CaroTime
hold_time(const CaroRetryBudget *b)
{
    return b->window + b->window / CARO_WINDOW_SLICES +
           2 * CARO_RETRY_LOAN_TTL;
}

void
CaroRetryBudget_Start(CaroRetryBudget *b, CaroTime now)
{
    b->started_until = now + hold_time(b);
}

int
CaroRetryBudget_HoldVms(CaroRetryBudget *b, int vms, CaroTime now)
{
    if (now - b->hold_started_at >= hold_time(b)) {
        b->previous_vms = b->held_vms;
        b->held_vms = 0;
        b->hold_started_at = now;
    }
    if (vms > b->held_vms) {
        b->held_vms = vms;
    }
    return b->held_vms > b->previous_vms ? b->held_vms : b->previous_vms;
}
