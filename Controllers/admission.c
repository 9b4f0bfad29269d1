/*
 * Start-time fair queueing of requests over accounts.
 *
 * Each account has one queue per class.  A request's start tag is the
 * greater of the virtual time and its account's last finish tag; its
 * finish tag is the start tag plus cost / weight.  The request with the
 * smallest start tag in the first non-empty class runs next, and the virtual
 * time advances to its start tag.
 */
#include "internal/caro_admission.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

/* Weight of a new sample in the moving average of the service rate. */
#define RATE_ALPHA 0.1
/* Time over which one sample of the service rate is taken. */
#define RATE_WINDOW (500 * CARO_MS)

typedef struct Waiter {
    uint64_t id;
    double cost;
    double start_tag;
    CaroClass class;
    struct Account *account;
    struct Waiter *prev;
    struct Waiter *next;
    UT_hash_handle hh;
} Waiter;

typedef struct Account {
    char name[CARO_NAME_SIZE];
    double weight;
    double finish_tag;
    Waiter *queues[CARO_CLASSES];
    UT_hash_handle hh;
} Account;

struct CaroAdmission {
    Account *accounts;
    Waiter *waiters;
    int queue_max;
    int n_waiting;
    int n_running;
    int limit;
    double virtual_time;
    double cost_rate;   /* Average cost served per second; 0 if unknown. */
    double cost_window; /* Cost served in the present window. */
    int window_running_max;
    CaroTime window_start;
};

static Account *
get_or_create_account(CaroAdmission *a, const char *name)
{
    Account *acc;
    HASH_FIND_STR(a->accounts, name, acc);
    if (acc != NULL) {
        return acc;
    }
    acc = calloc(1, sizeof(*acc));
    if (acc == NULL) {
        return NULL;
    }
    CARO_COPY(acc->name, name);
    acc->weight = 1.0;
    HASH_ADD_STR(a->accounts, name, acc);
    return acc;
}

CaroAdmission *
CaroAdmission_Create(int queue_max)
{
    CaroAdmission *a = calloc(1, sizeof(*a));
    if (a != NULL) {
        a->queue_max = queue_max;
    }
    return a;
}

void
CaroAdmission_Destroy(CaroAdmission *a)
{
    if (a == NULL) {
        return;
    }
    Waiter *w;
    Waiter *next_waiter;
    HASH_ITER(hh, a->waiters, w, next_waiter)
    {
        HASH_DEL(a->waiters, w);
        free(w);
    }
    Account *acc;
    Account *next;
    HASH_ITER(hh, a->accounts, acc, next)
    {
        HASH_DEL(a->accounts, acc);
        free(acc);
    }
    free(a);
}

void
CaroAdmission_SetLimit(CaroAdmission *a, int limit)
{
    a->limit = limit;
}

int
CaroAdmission_Limit(const CaroAdmission *a)
{
    return a->limit;
}

void
CaroAdmission_SetWeight(CaroAdmission *a, const char *account, double weight)
{
    Account *acc = get_or_create_account(a, account);
    if (acc != NULL && weight > 0.0) {
        acc->weight = weight;
    }
}

/* Estimates the wait of a new request of the account, from the cost of all
   that would be served before it. */
static CaroTime
expected_wait(const CaroAdmission *a, const Account *acc, CaroClass class)
{
    double tag =
        acc->finish_tag > a->virtual_time ? acc->finish_tag : a->virtual_time;
    double before = 0.0;
    Waiter *w;
    Waiter *next;
    HASH_ITER(hh, a->waiters, w, next)
    {
        if (w->class < class || (w->class == class && w->start_tag <= tag)) {
            before += w->cost;
        }
    }
    if (before <= 0.0 || a->cost_rate <= 0.0) {
        return 0;
    }
    return (CaroTime)(before / a->cost_rate * (double)CARO_SECOND);
}

static double
assign_start_tag(CaroAdmission *a, Account *acc, double cost)
{
    double tag =
        acc->finish_tag > a->virtual_time ? acc->finish_tag : a->virtual_time;
    acc->finish_tag = tag + cost / acc->weight;
    return tag;
}

static int
enqueue(CaroAdmission *a, Account *acc, const CaroAdmissionRequest *r)
{
    Waiter *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        return -1;
    }
    w->id = r->id;
    w->cost = r->cost;
    w->class = r->class;
    w->account = acc;
    w->start_tag = assign_start_tag(a, acc, r->cost);
    DL_APPEND(acc->queues[r->class], w);
    HASH_ADD(hh, a->waiters, id, sizeof(w->id), w);
    a->n_waiting++;
    return 0;
}

static void
start_running(CaroAdmission *a)
{
    a->n_running++;
    if (a->n_running > a->window_running_max) {
        a->window_running_max = a->n_running;
    }
}

CaroAdmissionResult
CaroAdmission_Request(CaroAdmission *a, const CaroAdmissionRequest *r,
                      CaroTime now)
{
    (void)now;
    CaroAdmissionResult v = {.kind = CARO_REFUSED};
    Account *acc = get_or_create_account(a, r->account);
    if (acc == NULL) {
        return v;
    }
    if (a->n_running < a->limit && a->n_waiting == 0) {
        double tag = assign_start_tag(a, acc, r->cost);
        if (tag > a->virtual_time) {
            a->virtual_time = tag;
        }
        start_running(a);
        v.kind = CARO_ADMITTED;
        return v;
    }
    v.expected_wait = expected_wait(a, acc, r->class);
    if (a->limit == 0 || a->n_waiting >= a->queue_max ||
        v.expected_wait > r->max_wait) {
        return v;
    }
    if (enqueue(a, acc, r) == 0) {
        v.kind = CARO_QUEUED;
    }
    return v;
}

/*
 * Updates the service rate, which is that of a VM running at its limit.  A
 * window in which fewer requests ran is scaled up, so that the rate is not
 * underestimated when the load rises after a time of low load.
 */
static void
close_window(CaroAdmission *a, CaroTime duration)
{
    double seconds = (double)duration / (double)CARO_SECOND;
    if (a->window_running_max > 0 && a->cost_window > 0.0) {
        double full = a->limit > a->window_running_max
                          ? (double)a->limit / a->window_running_max
                          : 1.0;
        double rate = a->cost_window / seconds * full;
        a->cost_rate = a->cost_rate <= 0.0
                           ? rate
                           : a->cost_rate + RATE_ALPHA * (rate - a->cost_rate);
    }
    a->cost_window = 0.0;
    a->window_running_max = a->n_running;
}

void
CaroAdmission_Release(CaroAdmission *a, double cost, CaroTime now)
{
    if (a->n_running > 0) {
        a->n_running--;
    }
    a->cost_window += cost;
    CaroTime duration = now - a->window_start;
    if (duration >= RATE_WINDOW) {
        close_window(a, duration);
        a->window_start = now;
    }
}

static void
remove_waiter(CaroAdmission *a, Waiter *w)
{
    DL_DELETE(w->account->queues[w->class], w);
    HASH_DEL(a->waiters, w);
    a->n_waiting--;
    free(w);
}

void
CaroAdmission_Withdraw(CaroAdmission *a, uint64_t id)
{
    Waiter *w;
    HASH_FIND(hh, a->waiters, &id, sizeof(id), w);
    if (w != NULL) {
        remove_waiter(a, w);
    }
}

static Waiter *
find_first_of_class(const CaroAdmission *a, int class)
{
    Waiter *best = NULL;
    Account *acc;
    Account *next;
    HASH_ITER(hh, a->accounts, acc, next)
    {
        Waiter *w = acc->queues[class];
        if (w != NULL && (best == NULL || w->start_tag < best->start_tag)) {
            best = w;
        }
    }
    return best;
}

bool
CaroAdmission_Next(CaroAdmission *a, uint64_t *id, CaroTime now)
{
    (void)now;
    if (a->n_running >= a->limit || a->n_waiting == 0) {
        return false;
    }
    for (int class = 0; class < CARO_CLASSES; class ++) {
        Waiter *w = find_first_of_class(a, class);
        if (w == NULL) {
            continue;
        }
        *id = w->id;
        if (w->start_tag > a->virtual_time) {
            a->virtual_time = w->start_tag;
        }
        remove_waiter(a, w);
        start_running(a);
        return true;
    }
    return false;
}

int
CaroAdmission_Running(const CaroAdmission *a)
{
    return a->n_running;
}

int
CaroAdmission_Waiting(const CaroAdmission *a)
{
    return a->n_waiting;
}
