/*
 * Moves of traffic between versions.
 *
 * The test is a bet.  Let p be an upper bound for the old version's rate
 * of bad samples, from its own samples so far.  A stake starts at 1 and is
 * multiplied by 1 + L * (x - p) for each sample x (1 bad, 0 good) of the
 * new version.  While the new version is no worse than p, the stake does
 * not grow on the mean, and by Ville's inequality it ever exceeds 1 / a
 * with a chance of at most a.  The mean of several such stakes, with small
 * L for small differences and large L for plain failures, is one as well.
 *
 * Each route has its own stakes, and all routes together have theirs; the
 * alarm is divided among them.  Stakes of VMs on different samples multiply,
 * so VMs exchange their logarithms and add them.
 *
 * A fault of engines or network may hit both versions.  A new sample is
 * therefore held until some old ones of the fleet have come behind it, and
 * is dropped when the old ones before or behind it did badly as well.
 * Dropping by the old samples alone leaves the test sound.
 */
#include "internal/caro_rollout.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    BETS = CARO_CANARY_GROUPS_MAX + 1,
    ALL = CARO_CANARY_GROUPS_MAX,
    NEAR = 32,     /* Old samples of the fleet on either side of a new one. */
    NEAR_BAD = 3,  /* So many bad ones among them are no chance. */
    WAITING = 256, /* New samples that wait for the old ones behind them. */
    PEERS = 1024
};

/* Fractions of the stake's limit that are bet. */
static const double fractions[CARO_CANARY_STATISTICS_MAX] = {0.05, 0.15, 0.4,
                                                             0.8};

/* The old version's rate is taken as so much worse than it was seen. */
#define MARGIN_RATE 0.005
#define MARGIN_FACTOR 1.25
#define PRIOR_BAD 0.5
#define PRIOR_SAMPLES 25.0
/* Few samples of the old version leave its rate uncertain. */
#define DEVIATIONS 2.0
#define RATE_MOST 0.9

/* A new sample waits no longer for old ones behind it. */
#define HOLD_MS 60000

#define NODE_SHARE                                                            \
    0.25 /* Of a VM's requests, while few VMs bear the share.                 \
          */

/* The rest goes to the old version until the end, as the measure. */
#define SHARE_MOST 0.95

const CaroRolloutPace CARO_PACE_CAREFUL = {
    .canary = 0.005, .canary_fraction = 0.35, .full_fraction = 0.85};
const CaroRolloutPace CARO_PACE_QUICK = {
    .canary = 0.01, .canary_fraction = 0.20, .full_fraction = 0.70};

/* One bet; stakes are kept as logarithms. */
typedef struct {
    double old_bad;
    double old_all;
    double new_bad;
    double new_all;
    double logs[CARO_CANARY_STATISTICS_MAX];
} Bet;

/* Old samples of the fleet: all and bad. */
typedef struct {
    double all;
    double bad;
} Count;

/* A new sample that waits for the old ones behind it. */
typedef struct {
    uint64_t route;
    bool is_bad;
    bool is_in_trouble; /* The old ones before it were bad as well. */
    Count old;          /* Old samples when it came. */
    int64_t came_ms;
} Held;

/* What another VM exported last. */
typedef struct {
    float logs[CARO_CANARY_STATISTICS_MAX];
    Count old;
} Peer;

struct CaroCanaryTest {
    Bet bets[BETS];
    Held held[WAITING];
    int first_held;
    int n_held;
    Count marks[2]; /* Counts some time ago; the older is in [0]. */
    Peer peers[PEERS];
    double peer_sums[CARO_CANARY_STATISTICS_MAX];
    Count peer_old;
    bool is_bad;
};

CaroCanaryTest *
CaroCanaryTest_Create(void)
{
    CaroCanaryTest *r = calloc(1, sizeof(*r));
    if (r != NULL) {
        CaroCanaryTest_Reset(r);
    }
    return r;
}

void
CaroCanaryTest_Destroy(CaroCanaryTest *r)
{
    free(r);
}

void
CaroCanaryTest_Reset(CaroCanaryTest *r)
{
    memset(r, 0, sizeof(*r));
}

static Count
old_count(const CaroCanaryTest *r)
{
    Count c = {.all = r->bets[ALL].old_all + r->peer_old.all,
               .bad = r->bets[ALL].old_bad + r->peer_old.bad};
    return c;
}

/* Upper bound for the old version's rate of bad samples. */
static double
old_rate(const CaroCanaryTest *r, const Bet *b)
{
    Count c = {.all = b->old_all, .bad = b->old_bad};
    if (b == &r->bets[ALL]) {
        c = old_count(r);
    }
    double n = c.all + PRIOR_SAMPLES;
    double p = (c.bad + PRIOR_BAD) / n;
    double bound = p + DEVIATIONS * sqrt(p * (1.0 - p) / n);
    bound = bound * MARGIN_FACTOR + MARGIN_RATE;
    return bound < RATE_MOST ? bound : RATE_MOST;
}

/* Whether the old version did badly between two counts, by more than
   chance and its usual rate explain. */
static bool
is_trouble(const CaroCanaryTest *r, Count from, Count to)
{
    Count all = old_count(r);
    double usual = (all.bad - (to.bad - from.bad) + PRIOR_BAD) /
                   (all.all - (to.all - from.all) + PRIOR_SAMPLES);
    double expected = usual * (to.all - from.all);
    return to.bad - from.bad >= NEAR_BAD + 3.0 * expected;
}

/* Whether the mean of the stakes, and of others' with them, is too high. */
static bool
is_over(const CaroCanaryTest *r, const Bet *b)
{
    double limit = BETS / CARO_CANARY_FALSE_POSITIVE_RATE;
    double sum = 0.0;
    for (int i = 0; i < CARO_CANARY_STATISTICS_MAX; i++) {
        double log_stake = b->logs[i];
        if (b == &r->bets[ALL]) {
            log_stake += r->peer_sums[i];
        }
        sum += exp(log_stake < 50.0 ? log_stake : 50.0);
    }
    return sum / CARO_CANARY_STATISTICS_MAX >= limit;
}

static void
place(CaroCanaryTest *r, Bet *b, bool is_bad)
{
    double p = old_rate(r, b);
    b->new_all += 1.0;
    b->new_bad += is_bad;
    for (int i = 0; i < CARO_CANARY_STATISTICS_MAX; i++) {
        b->logs[i] += log1p(fractions[i] / p * ((is_bad ? 1.0 : 0.0) - p));
    }
    r->is_bad = r->is_bad || is_over(r, b);
}

static void
settle_oldest(CaroCanaryTest *r)
{
    const Held *h = &r->held[r->first_held];
    if (!h->is_in_trouble && !is_trouble(r, h->old, old_count(r))) {
        place(r, &r->bets[h->route % CARO_CANARY_GROUPS_MAX], h->is_bad);
        place(r, &r->bets[ALL], h->is_bad);
    }
    r->first_held = (r->first_held + 1) % WAITING;
    r->n_held--;
}

/* Moves the marks, so that the older one lies NEAR to 2 * NEAR back. */
static void
move_marks(CaroCanaryTest *r)
{
    Count now = old_count(r);
    if (now.all - r->marks[1].all >= NEAR) {
        r->marks[0] = r->marks[1];
        r->marks[1] = now;
    }
}

static void
take_old(CaroCanaryTest *r, uint64_t route, bool is_bad)
{
    Bet *one = &r->bets[route % CARO_CANARY_GROUPS_MAX];
    Bet *all = &r->bets[ALL];
    one->old_all += 1.0;
    one->old_bad += is_bad;
    all->old_all += 1.0;
    all->old_bad += is_bad;
}

void
CaroCanaryTest_AddSample(CaroCanaryTest *r, bool is_new, uint64_t route,
                         bool is_bad, int64_t now_ms)
{
    move_marks(r);
    if (!is_new) {
        take_old(r, route, is_bad);
        return;
    }
    if (r->n_held == WAITING) {
        settle_oldest(r);
    }
    Held *h = &r->held[(r->first_held + r->n_held) % WAITING];
    h->route = route;
    h->is_bad = is_bad;
    h->old = old_count(r);
    h->is_in_trouble = is_trouble(r, r->marks[0], h->old);
    h->came_ms = now_ms;
    r->n_held++;
}

void
CaroCanaryTest_Tick(CaroCanaryTest *r, int64_t now_ms)
{
    double all = old_count(r).all;
    move_marks(r);
    while (r->n_held > 0) {
        const Held *h = &r->held[r->first_held];
        if (all - h->old.all < NEAR && now_ms - h->came_ms < HOLD_MS) {
            return;
        }
        settle_oldest(r);
    }
}

void
CaroCanaryTest_Export(const CaroCanaryTest *r, CaroCanaryStatistics *out)
{
    for (int i = 0; i < CARO_CANARY_STATISTICS_MAX; i++) {
        out->logs[i] = (int32_t)(r->bets[ALL].logs[i] * 1000.0);
    }
    out->old_all = (uint32_t)r->bets[ALL].old_all;
    out->old_bad = (uint32_t)r->bets[ALL].old_bad;
}

void
CaroCanaryTest_Import(CaroCanaryTest *r, int vm,
                      const CaroCanaryStatistics *in)
{
    if (vm < 0 || vm >= PEERS) {
        return;
    }
    Peer *p = &r->peers[vm];
    for (int i = 0; i < CARO_CANARY_STATISTICS_MAX; i++) {
        float value = (float)in->logs[i] / 1000.0F;
        r->peer_sums[i] += (double)value - (double)p->logs[i];
        p->logs[i] = value;
    }
    r->peer_old.all += (double)in->old_all - p->old.all;
    r->peer_old.bad += (double)in->old_bad - p->old.bad;
    p->old.all = in->old_all;
    p->old.bad = in->old_bad;
    r->is_bad = r->is_bad || is_over(r, &r->bets[ALL]);
}

bool
CaroCanaryTest_IsBad(const CaroCanaryTest *r)
{
    return r->is_bad;
}

void
CaroCanaryTest_MarkBad(CaroCanaryTest *r)
{
    r->is_bad = true;
}

const char *
CaroCanaryTest_FormatEvidence(const CaroCanaryTest *r, char *buf, size_t size)
{
    const Bet *b = &r->bets[ALL];
    (void)snprintf(buf, size, "bad new %.0f of %.0f, old %.0f of %.0f",
                   b->new_bad, b->new_all, b->old_bad, b->old_all);
    return buf;
}

double
CaroRolloutPlan_Share(const CaroRolloutPlan *plan, const CaroRolloutPace *pace,
                      int64_t now_ms)
{
    if (plan->state == CARO_ROLLOUT_DONE) {
        return 1.0;
    }
    if (plan->state != CARO_ROLLOUT_RUNNING || now_ms < plan->start_ms) {
        return 0.0;
    }
    double length = (double)(plan->end_ms - plan->start_ms);
    double part =
        length <= 0.0 ? 1.0 : (double)(now_ms - plan->start_ms) / length;
    if (part >= pace->full_fraction) {
        return SHARE_MOST;
    }
    if (part <= pace->canary_fraction) {
        return pace->canary;
    }
    /* The share grows by the same factor in the same time. */
    double x = (part - pace->canary_fraction) /
               (pace->full_fraction - pace->canary_fraction);
    return pace->canary * pow(SHARE_MOST / pace->canary, x);
}

double
CaroRolloutPlan_VmShare(double share, int rank, int vms)
{
    if (vms < 1 || share >= NODE_SHARE) {
        return share;
    }
    double bearers = ceil(share * vms / NODE_SHARE);
    if (rank >= (int)bearers) {
        return 0.0;
    }
    double own = share * vms / bearers;
    return own < 1.0 ? own : 1.0;
}
