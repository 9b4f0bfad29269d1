/*
 * Start-time fair queueing of requests over accounts.
 *
 * Each account has one queue a class.  A request's start tag is the
 * greater of the virtual time and its account's last finish tag; its
 * finish tag adds cost / weight.  The request of the least start tag in
 * the first non-empty class runs next, and the virtual time becomes its
 * start tag.
 */
#include "internal/caro_admission.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

/* Weight of a new sample in the measured rate of service. */
#define RATE_ALPHA 0.1
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
    double cost_rate; /* Cost served a second, smoothed; 0 unknown. */
    double cost_window;
    int window_most; /* Most that ran at once in the window. */
    CaroTime window_start;
};

static Account *
get_account(CaroAdmission *a, const char *name)
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
    Account *acc = get_account(a, account);
    if (acc != NULL && weight > 0.0) {
        acc->weight = weight;
    }
}

/* Wait until all that is served before a new request of the account. */
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
take_tag(CaroAdmission *a, Account *acc, double cost)
{
    double tag =
        acc->finish_tag > a->virtual_time ? acc->finish_tag : a->virtual_time;
    acc->finish_tag = tag + cost / acc->weight;
    return tag;
}

static int
enqueue(CaroAdmission *a, Account *acc, const CaroAdmissionRequest *offer)
{
    Waiter *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        return -1;
    }
    w->id = offer->id;
    w->cost = offer->cost;
    w->class = offer->class;
    w->account = acc;
    w->start_tag = take_tag(a, acc, offer->cost);
    DL_APPEND(acc->queues[offer->class], w);
    HASH_ADD(hh, a->waiters, id, sizeof(w->id), w);
    a->n_waiting++;
    return 0;
}

static void
start_running(CaroAdmission *a)
{
    a->n_running++;
    if (a->n_running > a->window_most) {
        a->window_most = a->n_running;
    }
}

CaroAdmissionResult
CaroAdmission_Request(CaroAdmission *a, const CaroAdmissionRequest *offer,
                      CaroTime now)
{
    (void)now;
    CaroAdmissionResult v = {.kind = CARO_REFUSED};
    Account *acc = get_account(a, offer->account);
    if (acc == NULL) {
        return v;
    }
    if (a->n_running < a->limit && a->n_waiting == 0) {
        double tag = take_tag(a, acc, offer->cost);
        if (tag > a->virtual_time) {
            a->virtual_time = tag;
        }
        start_running(a);
        v.kind = CARO_ADMITTED;
        return v;
    }
    v.expected_wait = expected_wait(a, acc, offer->class);
    if (a->limit == 0 || a->n_waiting >= a->queue_max ||
        v.expected_wait > offer->patience) {
        return v;
    }
    if (enqueue(a, acc, offer) == 0) {
        v.kind = CARO_QUEUED;
    }
    return v;
}

/*
 * The rate of service at the full limit.  A window in which less ran is
 * scaled up, so that a quiet time does not make the next rush look slow.
 */
static void
close_window(CaroAdmission *a, CaroTime passed)
{
    double seconds = (double)passed / (double)CARO_SECOND;
    if (a->window_most > 0 && a->cost_window > 0.0) {
        double full = a->limit > a->window_most
                          ? (double)a->limit / a->window_most
                          : 1.0;
        double rate = a->cost_window / seconds * full;
        a->cost_rate = a->cost_rate <= 0.0
                           ? rate
                           : a->cost_rate + RATE_ALPHA * (rate - a->cost_rate);
    }
    a->cost_window = 0.0;
    a->window_most = a->n_running;
}

void
CaroAdmission_Release(CaroAdmission *a, double cost, CaroTime now)
{
    if (a->n_running > 0) {
        a->n_running--;
    }
    a->cost_window += cost;
    CaroTime passed = now - a->window_start;
    if (passed >= RATE_WINDOW) {
        close_window(a, passed);
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
first_of_class(const CaroAdmission *a, int class)
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
        Waiter *w = first_of_class(a, class);
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
