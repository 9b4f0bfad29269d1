/* The upstream for a request, and for a copy of it. */
#include "internal/caro_placement.h"

#include <string.h>

/* A report says little once the requests it counted have ended. */
#define REPORT_LIFE (2 * CARO_SECOND)
/* Requests that a crossing between domains weighs: its bytes cost about a
   hundredth of what a stream pays, and a queued neighbour far more. */
#define CROSSING_STREAM 0.8
#define CROSSING_PLAIN 2.0
/* A domain that just lost an upstream is likely to lose the next. */
#define LOST_DOMAIN 3.0
/* More than any load: only for want of another. */
#define DOUBTFUL 1000.0
/* A prompt that waits to be read delays the next one by its whole reading,
   where a stream that runs only shares the steps. */
#define READING_WEIGHT 2.0
#define READING_UNIT 8192.0 /* Tokens. */
/* A domain is failing with this many, and this part, of its upstreams. */
#define FAILING_MIN 2
#define FAILING_PART 3 /* One in three. */
/* Memory that a copy takes, against a running request. */
#define COPY_WEIGHT 0.25
/* Below the weight of one request: it only decides among equals. */
#define RANDOM_PART 0.9

static bool
is_tried(const CaroPlacementQuery *q, CaroHandle h)
{
    for (int i = 0; i < q->n_tried; i++) {
        if (q->tried[i] == h) {
            return true;
        }
    }
    return false;
}

/* Requests at the upstream, as far as this VM can tell. */
static double
load_of(const CaroTarget *target, CaroTime now)
{
    double load = target->in_flight + target->peer_streams;
    if (target->reported_at != 0 && now - target->reported_at < REPORT_LIFE) {
        double age = (double)(now - target->reported_at) / (double)REPORT_LIFE;
        double told = (target->running + target->waiting) * (1.0 - age);
        load = told > load ? told : load;
    }
    double reading = target->reading + target->peer_prefill_tokens;
    return load + READING_WEIGHT * reading / READING_UNIT +
           COPY_WEIGHT * (target->copies + target->peer_kv_copies);
}

/* Many upstreams of the domain have failed since this one was known: it is
   likely to be found dead, too.  One that started later is not. */
static bool
is_domain_failing(const CaroTargets *t, const CaroTarget *of, CaroTime now)
{
    int all = 0;
    int failing = 0;
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        const CaroTarget *target = CaroTargets_GetConst(t, h);
        if (target->is_used && target->is_present &&
            strcmp(target->entry.domain, of->entry.domain) == 0 &&
            strcmp(target->entry.service, of->entry.service) == 0) {
            all++;
            failing += now < target->avoided_until &&
                       target->failed_at >= of->registered_at;
        }
    }
    return failing >= FAILING_MIN && failing * FAILING_PART >= all;
}

static double
weigh(const CaroTargets *t, const CaroTarget *target,
      const CaroPlacementQuery *q, gsl_rng *rng, CaroTime now)
{
    double weight = load_of(target, now) + RANDOM_PART * gsl_rng_uniform(rng);
    if (strcmp(target->entry.domain, q->domain) != 0) {
        weight += q->is_stream ? CROSSING_STREAM : CROSSING_PLAIN;
    }
    if (q->failed_domain != NULL &&
        strcmp(target->entry.domain, q->failed_domain) == 0) {
        weight += LOST_DOMAIN;
    }
    if (q->is_stream && is_domain_failing(t, target, now)) {
        weight += LOST_DOMAIN;
    }
    return weight;
}

static bool
is_candidate(const CaroTarget *target, const CaroPlacementQuery *q)
{
    return target->is_used && target->is_present &&
           !target->entry.is_leaving &&
           strcmp(target->entry.service, q->service) == 0 &&
           (q->version == NULL || (strcmp(target->entry.version, q->version) ==
                                   0) != q->excludes_version);
}

CaroHandle
CaroPlacement_Choose(const CaroTargets *t, const CaroPlacementQuery *q,
                     gsl_rng *rng, CaroTime now)
{
    CaroHandle best = CARO_NO_HANDLE;
    CaroHandle avoided = CARO_NO_HANDLE;
    double best_weight = 0.0;
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        const CaroTarget *target = CaroTargets_GetConst(t, h);
        if (!is_candidate(target, q) || is_tried(q, h)) {
            continue;
        }
        if (!CaroTarget_IsUsable(target, now)) {
            /* With all avoided, the one whose failure is the oldest. */
            if (avoided == CARO_NO_HANDLE ||
                target->avoided_until <
                    CaroTargets_GetConst(t, avoided)->avoided_until) {
                avoided = h;
            }
            continue;
        }
        double weight = weigh(t, target, q, rng, now);
        if (best == CARO_NO_HANDLE || weight < best_weight) {
            best = h;
            best_weight = weight;
        }
    }
    return best != CARO_NO_HANDLE ? best : avoided;
}

/* Unlike a request, a copy finds out only when it is needed. */
static double
weigh_copy(const CaroTargets *t, const CaroTarget *target, gsl_rng *rng,
           CaroTime now)
{
    double weight = target->streams + target->peer_streams + target->copies +
                    target->peer_kv_copies +
                    RANDOM_PART * gsl_rng_uniform(rng);
    if (is_domain_failing(t, target, now)) {
        weight += LOST_DOMAIN;
    }
    if (CaroTarget_IsSuspected(target, now)) {
        weight += DOUBTFUL;
    }
    return weight;
}

CaroHandle
CaroPlacement_ChooseKvCopy(const CaroTargets *t, CaroHandle runs_at,
                           gsl_rng *rng, CaroTime now)
{
    const CaroTargetEntry *from = &CaroTargets_GetConst(t, runs_at)->entry;
    CaroHandle best = CARO_NO_HANDLE;
    double best_weight = 0.0;
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        const CaroTarget *target = CaroTargets_GetConst(t, h);
        if (h == runs_at || !CaroTarget_IsUsable(target, now) ||
            strcmp(target->entry.service, from->service) != 0 ||
            strcmp(target->entry.version, from->version) != 0 ||
            strcmp(target->entry.domain, from->domain) == 0) {
            continue;
        }
        double weight = weigh_copy(t, target, rng, now);
        if (best == CARO_NO_HANDLE || weight < best_weight) {
            best = h;
            best_weight = weight;
        }
    }
    return best;
}
