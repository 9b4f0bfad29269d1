/*
 * "carobench decisions": the measurement of the decision functions, and
 * the bounds that the target sets.
 */
#include "decisions.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

/* Bounds from the stated target, in milliseconds. */
#define RESUME_AFTER_CLOSE_MS 500.0
#define RESUME_AFTER_SILENCE_MS 2000.0
#define RESUME_MOST_MS 5000.0
#define TAIL_SEED 212
#define EXTRA_TOKENS_MOST 0.03
#define OVERLOAD_LEAST 0.9
#define RECOVERY_MOST_S 10.0

static DriveOptions
deployment(bool is_krovograd)
{
    DriveOptions fiaccole = {.name = "fiaccole",
                             .engines = 20,
                             .nodes = 13,
                             .one_way = 500,
                             .client = 1000,
                             .load = 0.6,
                             .burst = 1.0,
                             .generations = 60000,
                             .fault_every = 60 * CARO_SECOND,
                             .fault_only = -1,
                             .seed = 7};
    DriveOptions krovograd = fiaccole;
    krovograd.name = "krovograd";
    krovograd.engines = 25;
    krovograd.nodes = 20;
    krovograd.one_way = 1500;
    krovograd.client = 3000;
    krovograd.seed = 11;
    return is_krovograd ? krovograd : fiaccole;
}

static void
free_result(DriveResult *r)
{
    for (int i = 0; i < FAULTS; i++) {
        Samples_Free(&r->resume_ms[i]);
    }
    Samples_Free(&r->first_ms);
    Samples_Free(&r->gap_ms);
}

static double
bound_of(FaultKind kind)
{
    switch (kind) {
    case FAULT_ENGINE_KILLED:
    case FAULT_NODE_KILLED:
    case FAULT_BOTH_KILLED:
        return RESUME_AFTER_CLOSE_MS;
    case FAULT_NODE_FROZEN:
        /* The caller's own patience of 3 s is part of it. */
        return RESUME_MOST_MS;
    default:
        return RESUME_AFTER_SILENCE_MS;
    }
}

static void
report_faults(const DriveOptions *o, DriveResult *r)
{
    (void)printf("%s: %d engines, %d nodes, one fault a %lld s\n", o->name,
                 o->engines, o->nodes,
                 (long long)(o->fault_every / CARO_SECOND));
    (void)printf("  generations %ld, whole %ld, refused %ld, failed %ld, "
                 "wrong tokens %ld\n",
                 r->started, r->whole, r->refused, r->failed, r->wrong);
    for (int i = 0; i < FAULTS; i++) {
        Samples *s = &r->resume_ms[i];
        if (r->losses[i] == 0) {
            continue;
        }
        double p99 = Samples_Quantile(s, 0.99);
        double most = Samples_Quantile(s, 1.0);
        (void)printf("  resume %-14s faults %3ld n %5zu p50 %7.1f p99 %7.1f "
                     "max %7.1f ms\n",
                     Fault_Name((FaultKind)i), r->losses[i], s->n,
                     Samples_Quantile(s, 0.5), p99, most);
        Bench_Check(p99 <= bound_of((FaultKind)i), Fault_Name((FaultKind)i));
        Bench_Check(most <= RESUME_MOST_MS, "resume above 5 s");
    }
    double extra = r->tokens_extra / r->tokens_computed;
    (void)printf("  tokens computed %.0f, extra %.2f%%\n", r->tokens_computed,
                 100.0 * extra);
    (void)printf("  first token p95 %.1f ms, between tokens p95 %.1f ms\n",
                 Samples_Quantile(&r->first_ms, 0.95),
                 Samples_Quantile(&r->gap_ms, 0.95));
    Bench_Check(r->wrong == 0, "a token was missing, repeated or mixed");
    Bench_Check(r->failed == 0, "a generation failed");
    /* The bound speaks of one loss of a machine a minute. */
    bool is_bound = o->fault_every == 60 * CARO_SECOND;
    Bench_Check(extra <= EXTRA_TOKENS_MOST || !is_bound, "extra tokens");
}

static void
run_faults(void)
{
    for (int i = 0; i < 2; i++) {
        DriveOptions o = deployment(i == 1);
        DriveResult r;
        Drive_Run(&o, &r);
        report_faults(&o, &r);
        free_result(&r);
        /* More faults give the resume times more samples. */
        o.fault_every = 15 * CARO_SECOND;
        o.seed++;
        Drive_Run(&o, &r);
        report_faults(&o, &r);
        free_result(&r);
        o.fault_only = FAULT_DOMAIN_CUT;
        o.fault_every = 240 * CARO_SECOND;
        Drive_Run(&o, &r);
        report_faults(&o, &r);
        free_result(&r);
    }
}

/* The load at which a resume after an engine's end took four seconds. */
static void
run_tail(void)
{
    DriveOptions o = deployment(true);
    DriveResult r;
    o.fault_every = 15 * CARO_SECOND;
    o.seed = TAIL_SEED;
    Drive_Run(&o, &r);
    report_faults(&o, &r);
    free_result(&r);
}

static void
run_routing(void)
{
    static const char *const names[] = {"bounded affinity", "random",
                                        "least loaded", "affinity alone"};
    (void)printf("routing (fiaccole, no faults, load 0.7)\n");
    for (int policy = 0; policy < 4; policy++) {
        DriveOptions o = deployment(false);
        DriveResult r;
        o.policy = (CaroRouterPolicy)policy;
        o.fault_every = 0;
        o.load = 0.7;
        o.generations = 15000;
        Drive_Run(&o, &r);
        (void)printf("  %-17s first p50 %6.1f p95 %7.1f ms, cached %4.1f%%, "
                     "load worst %.2f mean %.2f, refused %ld\n",
                     names[policy], Samples_Quantile(&r.first_ms, 0.5),
                     Samples_Quantile(&r.first_ms, 0.95),
                     100.0 * (1.0 - r.prompt_read / r.prompt_all),
                     r.worst_load, r.mean_load, r.refused);
        free_result(&r);
    }
}

/* Goodput at capacity, then a burst of twice the capacity on an ordinary
   load, and what is left of it afterwards. */
static void
run_overload(void)
{
    DriveOptions o = deployment(false);
    DriveResult full;
    DriveResult r;
    o.fault_every = 0;
    o.burst_from = 240 * CARO_SECOND;
    o.burst_to = 360 * CARO_SECOND;
    o.load = 1.0;
    o.generations = 30000;
    Drive_Run(&o, &full);
    o.load = 0.7;
    o.burst = 2.0 / o.load;
    o.generations = 50000;
    Drive_Run(&o, &r);
    double kept = r.goodput[1] / full.goodput[1];
    (void)printf("overload (fiaccole): at capacity %.0f tokens/s, at twice "
                 "%.0f (%.1f%%), refused %ld of %ld, last refusal %.0f s "
                 "after, first token p95 %.0f ms\n",
                 full.goodput[1], r.goodput[1], 100.0 * kept, r.refused,
                 r.started, r.recovery_s, Samples_Quantile(&r.first_ms, 0.95));
    Bench_Check(kept >= OVERLOAD_LEAST, "answered work under overload");
    Bench_Check(r.refused > 0, "a load of twice the capacity was not refused");
    Bench_Check(r.recovery_s <= RECOVERY_MOST_S, "recovery after overload");
    free_result(&full);
    free_result(&r);
}

int
Bench_RunDecisions(int argc, char **argv)
{
    const char *part = argc > 1 ? argv[1] : "all";
    bool is_all = strcmp(part, "all") == 0;
    if (is_all || strcmp(part, "faults") == 0) {
        run_faults();
    }
    if (strcmp(part, "tail") == 0) {
        run_tail();
    }
    if (is_all || strcmp(part, "routing") == 0) {
        run_routing();
    }
    if (is_all || strcmp(part, "overload") == 0) {
        run_overload();
    }
    return Bench_Verdict();
}
