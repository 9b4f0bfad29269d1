/*
 * VMs on virtual time that lend each other retries, with messages that are
 * delayed and lost.
 */
#ifndef RETRY_LOANS_FIXTURE_H
#define RETRY_LOANS_FIXTURE_H

#include "test.h"

#include "internal/caro_retry_budget.h"
#include "internal/caro_retry_loans.h"

#include <gsl/gsl_rng.h>
#include <string.h>

enum { FLEET_VMS_MAX = 410, FLEET_MESSAGES_MAX = 65536 };

#define FLEET_SERVICE "pool"
#define FLEET_RATIO 0.8
#define FLEET_WINDOW (10 * CARO_SECOND)
/* One way; the longest is that of a VM with a tenth of a core. */
#define FLEET_DELAY_MIN (1 * CARO_MS)
#define FLEET_DELAY_MAX (60 * CARO_MS)

typedef struct {
    CaroRetryBudget *budget;
    CaroRetryLoans *loans;
    int starts; /* Starts of the process; a reply to an earlier is lost. */
    int side;   /* VMs reach those of the same side only. */
    bool is_up;
    int vms; /* Size of the deployment as the VM knows it. */
} FleetVm;

/* A call for a loan, or its reply. */
typedef struct {
    CaroTime at;
    bool is_reply;
    int from;
    int to;
    int starts; /* Of the VM that asks. */
    uint32_t round;
    int retries;
    CaroTime sent_at; /* The call. */
} FleetMessage;

typedef struct {
    FleetVm vms[FLEET_VMS_MAX];
    int n_vms;
    double slack;
    double loss; /* Probability that a message is lost. */
    gsl_rng *rng;
    FleetMessage messages[FLEET_MESSAGES_MAX];
    int n_messages;
    long calls;
    long granted;
} Fleet;

static inline void
Fleet_StartVm(Fleet *f, int vm)
{
    FleetVm *v = &f->vms[vm];
    CaroRetryBudget_Destroy(v->budget);
    CaroRetryLoans_Destroy(v->loans);
    v->budget = CaroRetryBudget_Create(FLEET_RATIO, f->slack, FLEET_WINDOW);
    v->loans = CaroRetryLoans_Create();
    assert_non_null(v->budget);
    assert_non_null(v->loans);
    v->starts++;
    v->is_up = true;
}

static inline void
Fleet_Create(Fleet *f, int vms, double slack, double loss, unsigned long seed)
{
    memset(f, 0, sizeof(*f));
    f->n_vms = vms;
    f->slack = slack;
    f->loss = loss;
    f->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(f->rng, seed);
    for (int i = 0; i < vms; i++) {
        Fleet_StartVm(f, i);
        f->vms[i].vms = vms;
    }
}

static inline void
Fleet_Destroy(Fleet *f)
{
    for (int i = 0; i < f->n_vms; i++) {
        CaroRetryBudget_Destroy(f->vms[i].budget);
        CaroRetryLoans_Destroy(f->vms[i].loans);
    }
    gsl_rng_free(f->rng);
}

static inline void
Fleet_Send(Fleet *f, FleetMessage m, CaroTime now)
{
    if (gsl_rng_uniform(f->rng) < f->loss ||
        f->vms[m.from].side != f->vms[m.to].side) {
        return;
    }
    assert_true(f->n_messages < FLEET_MESSAGES_MAX);
    m.at = now + FLEET_DELAY_MIN +
           (CaroTime)(gsl_rng_uniform(f->rng) *
                      (double)(FLEET_DELAY_MAX - FLEET_DELAY_MIN));
    f->messages[f->n_messages++] = m;
}

/* A stream of the VM waits for budget. */
static inline void
Fleet_Request(Fleet *f, int vm, CaroTime now)
{
    CaroLoanRound round =
        CaroRetryLoans_Request(f->vms[vm].loans, FLEET_SERVICE, now);
    for (int i = 0; i < round.vms && f->n_vms > 1; i++) {
        int to = (int)gsl_rng_uniform_int(f->rng, (unsigned long)f->n_vms - 1);
        FleetMessage m = {.from = vm,
                          .to = to + (to >= vm),
                          .starts = f->vms[vm].starts,
                          .round = round.id,
                          .retries = round.retries,
                          .sent_at = now};
        f->calls++;
        Fleet_Send(f, m, now);
    }
}

static inline void
Fleet_Receive(Fleet *f, FleetMessage m, CaroTime now)
{
    FleetVm *v = &f->vms[m.to];
    if (!v->is_up) {
        return;
    }
    if (m.is_reply) {
        if (m.starts == v->starts) {
            CaroRetryLoans_RecordAnswer(v->loans, FLEET_SERVICE, m.round);
            CaroRetryBudget_Borrow(v->budget, FLEET_SERVICE, m.retries,
                                   m.sent_at, now);
        }
        return;
    }
    int from = m.from;
    m.retries = CaroRetryBudget_Lend(
        v->budget, CaroRetryBudget_HashService(FLEET_SERVICE), m.retries,
        v->vms, now);
    f->granted += m.retries;
    m.is_reply = true;
    m.from = m.to;
    m.to = from;
    Fleet_Send(f, m, now);
}

/* Delivers the messages that have arrived by now. */
static inline void
Fleet_Deliver(Fleet *f, CaroTime now)
{
    for (int i = 0; i < f->n_messages;) {
        FleetMessage m = f->messages[i];
        if (m.at > now) {
            i++;
            continue;
        }
        f->messages[i] = f->messages[--f->n_messages];
        Fleet_Receive(f, m, now);
    }
}

#endif
