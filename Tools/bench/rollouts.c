/*
 * "carobench rollouts": many moves of each kind, on a virtual clock with
 * drawn samples and fixed seeds, beside a baseline of fixed steps.
 */
#include "bench.h"

#include "internal/caro_rollout.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

enum {
    ROLLOUTS = 1000,
    ROLLOUTS_COMPARED = 200,
    LENGTH_S = 1800,
    VMS = 13,
    SPREAD_S = 1 /* A flag is everywhere after. */
};

#define BASE_BAD 0.005 /* Rate of bad samples of a good version. */
#define DAY_RATE 20.0  /* Requests a second. */
#define NIGHT_RATE 0.2

typedef enum {
    KIND_GOOD,
    KIND_GOOD_NIGHT,
    KIND_GOOD_SHARED_FAULT, /* Old and new alike fail for two minutes. */
    KIND_FAILS_ALL,
    KIND_FAILS_SOME,
    KIND_SLOW,
    KIND_LATE,
    KIND_UNDER_LOAD,
    KIND_ONE_ROUTE,
    KIND_SLIGHT,
    KIND_FAILS_NIGHT,
    KINDS
} Kind;

static const char *const kind_names[KINDS] = {
    "good",         "good, at night",   "good, fault of both",
    "fails always", "fails 30%",        "slow 50%",
    "fails late",   "fails under load", "fails on one route",
    "fails 5%",     "fails, at night"};

/* What a kind's new version does at a time, share and route. */
static double
bad_rate(Kind kind, double part, double share, uint64_t route)
{
    switch (kind) {
    case KIND_FAILS_ALL:
        return 1.0;
    case KIND_FAILS_SOME:
    case KIND_FAILS_NIGHT:
        return 0.3;
    case KIND_SLOW:
        return 0.5;
    case KIND_LATE:
        return part > 0.6 ? 0.3 : BASE_BAD;
    case KIND_UNDER_LOAD:
        return share > 0.3 ? 0.3 : BASE_BAD;
    case KIND_ONE_ROUTE:
        return route == 3 ? 0.6 : BASE_BAD;
    case KIND_SLIGHT:
        return 0.05 + BASE_BAD;
    default:
        return BASE_BAD;
    }
}

static bool
is_good_kind(Kind kind)
{
    return kind <= KIND_GOOD_SHARED_FAULT;
}

typedef struct {
    long taken_back;
    long late;       /* Good ones that were not done in time. */
    double met;      /* Requests that met the fault of a bad version. */
    double all;      /* All requests of the moves. */
    double after;    /* Requests sent there after the flag was spread. */
    Samples seconds; /* From the fault's start to no share. */
} Outcome;

typedef enum { TEST_SEQUENTIAL, TEST_FIXED_STEPS } TestKind;

/* The baseline: 5, 25, 50, 100 in 100 in four equal steps, taken back when
   20 samples show twice the old rate and two in 100 more. */
typedef struct {
    double old_bad;
    double old_all;
    double new_bad;
    double new_all;
} Baseline;

static bool
baseline_is_bad(const Baseline *b)
{
    if (b->new_all < 20.0) {
        return false;
    }
    double old = b->old_all > 0.0 ? b->old_bad / b->old_all : 0.0;
    return b->new_bad / b->new_all > 2.0 * old + 0.02;
}

static double
baseline_share(double part)
{
    static const double steps[] = {0.05, 0.25, 0.5, 1.0};
    int i = (int)(part * 4.0);
    return steps[i > 3 ? 3 : i];
}

/* Heartbeats: each VM hears about 5 others a second. */
static void
exchange(gsl_rng *rng, CaroCanaryTest **nodes, double seconds, int vms)
{
    unsigned int n = gsl_ran_poisson(rng, seconds * 5.0 * vms);
    for (unsigned int i = 0; i < n; i++) {
        CaroCanaryStatistics stakes;
        int from = (int)gsl_rng_uniform_int(rng, (unsigned)vms);
        int to = (int)gsl_rng_uniform_int(rng, (unsigned)vms);
        if (from != to) {
            CaroCanaryTest_Export(nodes[from], &stakes);
            CaroCanaryTest_Import(nodes[to], from, &stakes);
        }
    }
}

/* One move; returns the time of the flag in seconds, or -1. */
static double
run_one(Kind kind, TestKind test, const CaroRolloutPace *pace, gsl_rng *rng,
        CaroCanaryTest **nodes, Outcome *out)
{
    CaroRolloutPlan plan = {.state = CARO_ROLLOUT_RUNNING,
                            .end_ms = (int64_t)LENGTH_S * 1000};
    Baseline base = {0};
    bool is_night = kind == KIND_GOOD_NIGHT || kind == KIND_FAILS_NIGHT;
    double rate = is_night ? NIGHT_RATE : DAY_RATE;
    double flag_at = -1.0;
    double last = 0.0;
    double fault_at = kind == KIND_LATE ? 0.6 * LENGTH_S : -1.0;
    double fault_from = gsl_rng_uniform(rng) * LENGTH_S;
    for (int i = 0; i < VMS; i++) {
        CaroCanaryTest_Reset(nodes[i]);
    }
    double t = 0.0;
    while (true) {
        t += gsl_ran_exponential(rng, 1.0 / rate);
        if (t >= LENGTH_S) {
            break;
        }
        if (flag_at >= 0.0 && t > flag_at + 2 * SPREAD_S &&
            test == TEST_SEQUENTIAL) {
            /* The rest of the move is on the old version. */
            out->all += rate * (LENGTH_S - t);
            break;
        }
        double part = t / LENGTH_S;
        double share =
            test == TEST_SEQUENTIAL
                ? CaroRolloutPlan_Share(&plan, pace, (int64_t)(t * 1000.0))
                : baseline_share(part);
        int node = (int)gsl_rng_uniform_int(rng, VMS);
        uint64_t route = gsl_rng_uniform_int(rng, CARO_CANARY_GROUPS_MAX);
        bool is_flagged = flag_at >= 0.0 && t > flag_at + SPREAD_S;
        double own = test == TEST_SEQUENTIAL
                         ? CaroRolloutPlan_VmShare(share, node, VMS)
                         : share;
        bool is_new = !is_flagged && gsl_rng_uniform(rng) < own;
        double p = is_new ? bad_rate(kind, part, share, route) : BASE_BAD;
        bool is_shared = kind == KIND_GOOD_SHARED_FAULT && t > fault_from &&
                         t < fault_from + 120.0;
        p = is_shared ? 0.25 : p;
        bool is_bad = gsl_rng_uniform(rng) < p;
        out->all += 1.0;
        if (is_new && p > BASE_BAD && !is_good_kind(kind)) {
            out->met += 1.0;
            fault_at = fault_at < 0.0 ? t : fault_at;
        }
        bool is_alarm = false;
        exchange(rng, nodes, t - last, VMS);
        last = t;
        if (test == TEST_SEQUENTIAL) {
            int64_t now_ms = (int64_t)(t * 1000.0);
            CaroCanaryTest_AddSample(nodes[node], is_new, route, is_bad,
                                     now_ms);
            for (int i = 0; i < VMS && !is_alarm; i++) {
                CaroCanaryTest_Tick(nodes[i], now_ms);
                is_alarm = CaroCanaryTest_IsBad(nodes[i]);
            }
        }
        else {
            base.old_all += !is_new;
            base.old_bad += !is_new && is_bad;
            base.new_all += is_new;
            base.new_bad += is_new && is_bad;
            is_alarm = baseline_is_bad(&base);
        }
        if (is_alarm && flag_at < 0.0) {
            flag_at = t;
        }
        out->after += is_flagged && is_new;
    }
    if (flag_at >= 0.0 && !is_good_kind(kind) && fault_at >= 0.0) {
        Samples_Add(&out->seconds, flag_at + SPREAD_S - fault_at);
    }
    return flag_at;
}

static void
run_kind(Kind kind, TestKind test, const CaroRolloutPace *pace,
         CaroCanaryTest **nodes, bool is_checked)
{
    Outcome out;
    memset(&out, 0, sizeof(out));
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(rng, 1000 + (unsigned long)kind);
    int rollouts = is_checked ? ROLLOUTS : ROLLOUTS_COMPARED;
    for (int i = 0; i < rollouts; i++) {
        out.taken_back += run_one(kind, test, pace, rng, nodes, &out) >= 0.0;
    }
    gsl_rng_free(rng);
    double back = 100.0 * (double)out.taken_back / rollouts;
    double met = 100.0 * out.met / out.all;
    if (is_good_kind(kind)) {
        (void)printf("  %-20s done in time %6.2f%%, false rollbacks %5.2f%%\n",
                     kind_names[kind], 100.0 - back, back);
    }
    else {
        (void)printf("  %-20s taken back %6.2f%%, requests that met it "
                     "%6.3f%%, fault to zero p50 %.0f p99 %.0f s\n",
                     kind_names[kind], back, met,
                     Samples_Quantile(&out.seconds, 0.5),
                     Samples_Quantile(&out.seconds, 0.99));
    }
    if (is_checked && is_good_kind(kind)) {
        Bench_Check(back <= 0.1, "false rollbacks above 0.1%");
    }
    if (is_checked && !is_good_kind(kind)) {
        Bench_Check(back >= 100.0, "a bad version was not taken back");
        Bench_Check(met < 1.0, "1% of requests or more met a bad version");
    }
    Bench_Check(out.after == 0.0, "traffic after the flag");
    Samples_Free(&out.seconds);
}

static void
run_pace(const char *title, TestKind test, const CaroRolloutPace *pace,
         CaroCanaryTest **nodes)
{
    (void)printf("%s\n", title);
    for (int kind = 0; kind < KINDS; kind++) {
        run_kind((Kind)kind, test, pace, nodes, false);
    }
}

int
Bench_RunRollouts(int argc, char **argv)
{
    const char *part = argc > 1 ? argv[1] : "day";
    CaroCanaryTest *nodes[VMS];
    for (int i = 0; i < VMS; i++) {
        nodes[i] = CaroCanaryTest_Create();
    }
    if (strcmp(part, "compare") == 0) {
        run_pace("quick pace", TEST_SEQUENTIAL, &CARO_PACE_QUICK, nodes);
        run_pace("baseline of fixed steps", TEST_FIXED_STEPS, NULL, nodes);
    }
    else {
        bool is_night = strcmp(part, "night") == 0;
        (void)printf("%d moves a kind, %d s, %d VMs, careful pace\n", ROLLOUTS,
                     LENGTH_S, VMS);
        for (int kind = 0; kind < KINDS; kind++) {
            if ((kind == KIND_FAILS_NIGHT) == is_night) {
                run_kind((Kind)kind, TEST_SEQUENTIAL, &CARO_PACE_CAREFUL,
                         nodes, true);
            }
        }
    }
    for (int i = 0; i < VMS; i++) {
        CaroCanaryTest_Destroy(nodes[i]);
    }
    return Bench_Verdict();
}
