/*
 * Share and canary test of a rollout.
 *
 * The canary test is a test martingale.  Let p be an upper bound of the old
 * version's rate of bad samples, from its own samples so far.  A statistic
 * starts at 1 and is multiplied by 1 + L * (x - p) for each sample x (1 bad,
 * 0 good) of the new version.  If the new version is no worse than p, the
 * expected value of the statistic does not grow, and by Ville's inequality
 * the probability that it ever exceeds 1 / a is at most a.  The same holds
 * for the mean of several such statistics, with small L to detect small
 * differences and large L to detect plain failures.
 *
 * Each group of accounts has its own statistics, and all groups together
 * have theirs; the false positive rate is divided among these tests.
 * Statistics of VMs are on different samples and therefore multiply, so VMs
 * exchange the logarithms and add them.
 *
 * A fault of engines or of the network may affect both versions.  A sample of
 * the new version is therefore held until the fleet has taken some samples of
 * the old version after it, and is dropped when the old version was bad
 * before or after it as well.  The decision uses samples of the old version
 * only, so it does not invalidate the test.
 */
#include "internal/caro_rollout.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    TESTS = CARO_CANARY_GROUPS_MAX + 1,
    ALL_GROUPS = CARO_CANARY_GROUPS_MAX, /* Index of the test of all groups. */
    NEIGHBOURS_MIN = 32,  /* Old samples before and after a new one. */
    INCIDENT_BAD_MIN = 3, /* Bad ones among them that are not by chance. */
    OLD_RATE_MIN = 16,    /* Old samples that show the rate of requests. */
    HELD_MAX = 256,       /* New samples held until there are old ones. */
    PEERS_MAX = 1024,
    PEER_STARTS_MAX = 2
};

/* L of the statistics, as fractions of its largest value 1 / p. */
static const double lambda_fractions[CARO_CANARY_STATISTICS_MAX] = {0.05, 0.15,
                                                                    0.4, 0.8};

/* Margins of the upper bound above the observed rate of the old version. */
#define MARGIN_RATE 0.005
#define MARGIN_FACTOR 1.25
/* Samples that the rate assumes before any is taken. */
#define PRIOR_BAD 0.5
#define PRIOR_SAMPLES 25.0
/* Standard deviations added to the old version's rate, which is uncertain
   after few samples. */
#define STANDARD_DEVIATIONS 2.0
#define RATE_MAX 0.9

/* Longest time that a sample of the new version is held, unless set. */
#define HOLD_MAX_MS 60000

/* Largest share at one VM while only some VMs use the new version. */
#define VM_SHARE_MAX 0.25

/* The rest goes to the old version until the end, for comparison. */
#define SHARE_MAX 0.95

const CaroRolloutPace CARO_PACE_CAREFUL = {
    .canary_share = 0.005, .canary_fraction = 0.35, .full_fraction = 0.85};
const CaroRolloutPace CARO_PACE_QUICK = {
    .canary_share = 0.01, .canary_fraction = 0.20, .full_fraction = 0.70};

/* The test of one group, or of all.  Counts are of samples. */
typedef struct {
    double old_bad;
    double old_all;
    double new_bad;
    double new_all;
    double log_statistics[CARO_CANARY_STATISTICS_MAX];
} GroupTest;

/* Samples of the old version in the whole fleet: all and bad. */
typedef struct {
    double all;
    double bad;
} SampleCount;

/* A sample of the new version that is held. */
typedef struct {
    uint64_t group;
    bool is_bad;
    bool is_in_incident; /* The old version was bad before it as well. */
    SampleCount old;     /* Old samples when it was taken. */
    int64_t taken_ms;
} HeldSample;

/* What one start of another VM exported last. */
typedef struct {
    uint64_t boot_id;
    float log_statistics[CARO_CANARY_STATISTICS_MAX];
    SampleCount old;
} PeerStart;

/* The last starts of another VM that are known.  A datagram of an earlier one
   may arrive after those of the next. */
typedef struct {
    PeerStart starts[PEER_STARTS_MAX];
    int n_starts;
    int newest;
} Peer;

struct CaroCanaryTest {
    GroupTest tests[TESTS];
    HeldSample held[HELD_MAX]; /* A ring. */
    int first_held;
    int n_held;
    int64_t hold_max_ms;
    SampleCount checkpoints[2]; /* Earlier counts; the older is in [0]. */
    Peer peers[PEERS_MAX];
    double peer_log_sums[CARO_CANARY_STATISTICS_MAX];
    SampleCount peer_old;
    int n_peers; /* Peers that are known. */
    bool is_bad;
};

CaroCanaryTest *
CaroCanaryTest_Create(void)
{
    CaroCanaryTest *t = calloc(1, sizeof(*t));
    if (t != NULL) {
        CaroCanaryTest_Reset(t);
    }
    return t;
}

void
CaroCanaryTest_Destroy(CaroCanaryTest *t)
{
    free(t);
}

void
CaroCanaryTest_Reset(CaroCanaryTest *t)
{
    memset(t, 0, sizeof(*t));
    t->hold_max_ms = HOLD_MAX_MS;
}

void
CaroCanaryTest_SetHoldMax(CaroCanaryTest *t, int64_t hold_max_ms)
{
    t->hold_max_ms = hold_max_ms < HOLD_MAX_MS ? hold_max_ms : HOLD_MAX_MS;
}

static SampleCount
old_count(const CaroCanaryTest *t)
{
    SampleCount c = {.all = t->tests[ALL_GROUPS].old_all + t->peer_old.all,
                     .bad = t->tests[ALL_GROUPS].old_bad + t->peer_old.bad};
    return c;
}

/* Returns an upper bound of the old version's rate of bad samples. */
static double
old_rate(const CaroCanaryTest *t, const GroupTest *g)
{
    SampleCount c = {.all = g->old_all, .bad = g->old_bad};
    if (g == &t->tests[ALL_GROUPS]) {
        c = old_count(t);
    }
    double n = c.all + PRIOR_SAMPLES;
    double p = (c.bad + PRIOR_BAD) / n;
    double bound = p + STANDARD_DEVIATIONS * sqrt(p * (1.0 - p) / n);
    bound = bound * MARGIN_FACTOR + MARGIN_RATE;
    return bound < RATE_MAX ? bound : RATE_MAX;
}

/* Tells whether the old version had more bad samples between two counts than
   its rate outside of them and chance explain. */
static bool
is_incident(const CaroCanaryTest *t, SampleCount from, SampleCount to)
{
    SampleCount all = old_count(t);
    double rate = (all.bad - (to.bad - from.bad) + PRIOR_BAD) /
                  (all.all - (to.all - from.all) + PRIOR_SAMPLES);
    double expected = rate * (to.all - from.all);
    return to.bad - from.bad >= INCIDENT_BAD_MIN + 3.0 * expected;
}

/* Returns the logarithm of the mean of the statistics, including those of
   other VMs for the test of all groups. */
static double
log_mean_statistic(const CaroCanaryTest *t, const GroupTest *g)
{
    double sum = 0.0;
    for (int i = 0; i < CARO_CANARY_STATISTICS_MAX; i++) {
        double log_statistic = g->log_statistics[i];
        if (g == &t->tests[ALL_GROUPS]) {
            log_statistic += t->peer_log_sums[i];
        }
        sum += exp(log_statistic < 50.0 ? log_statistic : 50.0);
    }
    return log(sum / CARO_CANARY_STATISTICS_MAX);
}

static bool
exceeds_threshold(const CaroCanaryTest *t, const GroupTest *g)
{
    return log_mean_statistic(t, g) >=
           log(TESTS / CARO_CANARY_FALSE_POSITIVE_RATE);
}

static void
add_to_test(CaroCanaryTest *t, GroupTest *g, bool is_bad)
{
    double p = old_rate(t, g);
    g->new_all += 1.0;
    g->new_bad += is_bad;
    for (int i = 0; i < CARO_CANARY_STATISTICS_MAX; i++) {
        g->log_statistics[i] +=
            log1p(lambda_fractions[i] / p * ((is_bad ? 1.0 : 0.0) - p));
    }
    t->is_bad = t->is_bad || exceeds_threshold(t, g);
}

static void
finish_oldest(CaroCanaryTest *t)
{
    const HeldSample *h = &t->held[t->first_held];
    if (!h->is_in_incident && !is_incident(t, h->old, old_count(t))) {
        add_to_test(t, &t->tests[h->group % CARO_CANARY_GROUPS_MAX],
                    h->is_bad);
        add_to_test(t, &t->tests[ALL_GROUPS], h->is_bad);
    }
    t->first_held = (t->first_held + 1) % HELD_MAX;
    t->n_held--;
}

/* Advances the checkpoints, so that the older one is NEIGHBOURS_MIN to
   2 * NEIGHBOURS_MIN samples back. */
static void
advance_checkpoints(CaroCanaryTest *t)
{
    SampleCount now = old_count(t);
    if (now.all - t->checkpoints[1].all >= NEIGHBOURS_MIN) {
        t->checkpoints[0] = t->checkpoints[1];
        t->checkpoints[1] = now;
    }
}

static void
add_old_sample(CaroCanaryTest *t, uint64_t group, bool is_bad)
{
    GroupTest *one = &t->tests[group % CARO_CANARY_GROUPS_MAX];
    GroupTest *all = &t->tests[ALL_GROUPS];
    one->old_all += 1.0;
    one->old_bad += is_bad;
    all->old_all += 1.0;
    all->old_bad += is_bad;
}

void
CaroCanaryTest_AddSample(CaroCanaryTest *t, bool is_new, uint64_t group,
                         bool is_bad, int64_t now_ms)
{
    advance_checkpoints(t);
    if (!is_new) {
        add_old_sample(t, group, is_bad);
        return;
    }
    if (t->n_held == HELD_MAX) {
        finish_oldest(t);
    }
    HeldSample *h = &t->held[(t->first_held + t->n_held) % HELD_MAX];
    h->group = group;
    h->is_bad = is_bad;
    h->old = old_count(t);
    h->is_in_incident = is_incident(t, t->checkpoints[0], h->old);
    h->taken_ms = now_ms;
    t->n_held++;
}

bool
CaroCanaryTest_Tick(CaroCanaryTest *t, int64_t now_ms)
{
    double all = old_count(t).all;
    bool has_evaluated = false;
    advance_checkpoints(t);
    while (t->n_held > 0) {
        const HeldSample *h = &t->held[t->first_held];
        if (all - h->old.all < NEIGHBOURS_MIN &&
            now_ms - h->taken_ms < t->hold_max_ms) {
            break;
        }
        finish_oldest(t);
        has_evaluated = true;
    }
    return has_evaluated;
}

void
CaroCanaryTest_Export(const CaroCanaryTest *t, CaroCanaryStatistics *out)
{
    for (int i = 0; i < CARO_CANARY_STATISTICS_MAX; i++) {
        out->logs[i] =
            (int32_t)(t->tests[ALL_GROUPS].log_statistics[i] * 1000.0);
    }
    out->old_all = (uint32_t)t->tests[ALL_GROUPS].old_all;
    out->old_bad = (uint32_t)t->tests[ALL_GROUPS].old_bad;
}

/* Returns the entry of the start, which replaces the oldest when it is new.
   What a replaced start had exported stays in the sums. */
static PeerStart *
get_start(Peer *p, uint64_t boot_id)
{
    for (int i = 0; i < p->n_starts; i++) {
        if (p->starts[i].boot_id == boot_id) {
            return &p->starts[i];
        }
    }
    p->newest = p->n_starts < PEER_STARTS_MAX
                    ? p->n_starts++
                    : (p->newest + 1) % PEER_STARTS_MAX;
    p->starts[p->newest] = (PeerStart){.boot_id = boot_id};
    return &p->starts[p->newest];
}

void
CaroCanaryTest_Import(CaroCanaryTest *t, int vm, uint64_t boot_id,
                      const CaroCanaryStatistics *in)
{
    if (vm < 0 || vm >= PEERS_MAX) {
        return;
    }
    t->n_peers += t->peers[vm].n_starts == 0;
    PeerStart *s = get_start(&t->peers[vm], boot_id);
    for (int i = 0; i < CARO_CANARY_STATISTICS_MAX; i++) {
        float value = (float)in->logs[i] / 1000.0F;
        t->peer_log_sums[i] += (double)value - (double)s->log_statistics[i];
        s->log_statistics[i] = value;
    }
    t->peer_old.all += (double)in->old_all - s->old.all;
    t->peer_old.bad += (double)in->old_bad - s->old.bad;
    s->old.all = in->old_all;
    s->old.bad = in->old_bad;
    t->is_bad = t->is_bad || exceeds_threshold(t, &t->tests[ALL_GROUPS]);
}

double
CaroCanaryTest_OldSamplesPerVm(const CaroCanaryTest *t)
{
    double all = old_count(t).all;
    return all < OLD_RATE_MIN ? -1.0 : all / (1.0 + t->n_peers);
}

bool
CaroCanaryTest_IsSupported(const CaroCanaryTest *t)
{
    double evidence = log_mean_statistic(t, &t->tests[ALL_GROUPS]);
    return evidence < 0.0 ||
           (evidence <= 0.0 && old_count(t).all < NEIGHBOURS_MIN);
}

bool
CaroCanaryTest_IsBad(const CaroCanaryTest *t)
{
    return t->is_bad;
}

void
CaroCanaryTest_MarkBad(CaroCanaryTest *t)
{
    t->is_bad = true;
}

const char *
CaroCanaryTest_FormatEvidence(const CaroCanaryTest *t, char *buf, size_t size)
{
    const GroupTest *g = &t->tests[ALL_GROUPS];
    SampleCount old = old_count(t);
    (void)snprintf(buf, size,
                   "bad new %.0f of %.0f, old %.0f of %.0f; held %d; all VMs: "
                   "old %.0f of %.0f, log %.1f",
                   g->new_bad, g->new_all, g->old_bad, g->old_all, t->n_held,
                   old.bad, old.all, log_mean_statistic(t, g));
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
    double fraction =
        length <= 0.0 ? 1.0 : (double)(now_ms - plan->start_ms) / length;
    if (fraction >= pace->full_fraction) {
        return SHARE_MAX;
    }
    if (fraction <= pace->canary_fraction) {
        return pace->canary_share;
    }
    /* The share grows exponentially. */
    double x = (fraction - pace->canary_fraction) /
               (pace->full_fraction - pace->canary_fraction);
    return pace->canary_share * pow(SHARE_MAX / pace->canary_share, x);
}

double
CaroRolloutPlan_VmShare(double share, int rank, int vms)
{
    if (vms < 1 || share >= VM_SHARE_MAX) {
        return share;
    }
    double active_vms = ceil(share * vms / VM_SHARE_MAX);
    if (rank >= (int)active_vms) {
        return 0.0;
    }
    double own = share * vms / active_vms;
    return own < 1.0 ? own : 1.0;
}
