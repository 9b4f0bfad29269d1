/* Load-weighted choice of the target for a request or a KV copy. */
#include "internal/caro_placement.h"

#include <string.h>

/* Costs, weights and penalties are in running requests. */

/* A load report is worthless once the requests it counted have ended. */
#define REPORT_TTL (2 * CARO_SECOND)
/* Cost of crossing failure domains.  The transferred bytes cost about a
   hundredth of the revenue of a stream; one more queued request costs far
   more. */
#define CROSS_DOMAIN_STREAM_PENALTY 0.8
#define CROSS_DOMAIN_PLAIN_PENALTY 2.0
/* A domain that has just lost a target is likely to lose the next. */
#define FAILED_DOMAIN_PENALTY 3.0
/* Exceeds any load, so that such a target is chosen only if there is no
   other. */
#define SUSPECTED_PENALTY 1000.0
/* A prompt that waits for prefill delays the next one by its whole prefill,
   whereas a running stream only shares the engine's steps. */
#define PREFILL_WEIGHT 2.0
#define PREFILL_UNIT_TOKENS 8192.0
/* A domain is failing when at least FAILING_MIN, and at least one in
   FAILING_DIVISOR, of its targets have failed. */
#define FAILING_MIN 2
#define FAILING_DIVISOR 3
/* Memory of a KV copy relative to that of a running request. */
#define KV_COPY_WEIGHT 0.25
/* Below the cost of one request, so that the random term only decides
   among targets of equal load. */
#define RANDOM_TERM_MAX 0.9

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

/* Estimates the load of the target, in running requests. */
static double
load_of(const CaroTarget *target, CaroTime now)
{
    double load = target->in_flight + target->peer_streams;
    if (target->reported_at != 0 && now - target->reported_at < REPORT_TTL) {
        double age = (double)(now - target->reported_at) / (double)REPORT_TTL;
        double reported =
            (target->reported_running + target->reported_waiting) *
            (1.0 - age);
        load = reported > load ? reported : load;
    }
    double prefill = target->prefill_tokens + target->peer_prefill_tokens;
    return load + PREFILL_WEIGHT * prefill / PREFILL_UNIT_TOKENS +
           KV_COPY_WEIGHT * (target->kv_copies + target->peer_kv_copies);
}

/* Tells whether many targets of the candidate's domain have failed since it
   was registered.  It has then probably crashed with them, unlike a target
   that was registered after the failures. */
static bool
is_domain_failing(const CaroTargets *t, const CaroTarget *candidate,
                  CaroTime now)
{
    int all = 0;
    int failing = 0;
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        const CaroTarget *target = CaroTargets_GetConst(t, h);
        if (target->is_used && target->is_present &&
            strcmp(target->entry.domain, candidate->entry.domain) == 0 &&
            strcmp(target->entry.service, candidate->entry.service) == 0) {
            all++;
            failing += now < target->avoided_until &&
                       target->failed_at >= candidate->registered_at;
        }
    }
    return failing >= FAILING_MIN && failing * FAILING_DIVISOR >= all;
}

static double
cost_of(const CaroTargets *t, const CaroTarget *target,
        const CaroPlacementQuery *q, gsl_rng *rng, CaroTime now)
{
    double cost =
        load_of(target, now) + RANDOM_TERM_MAX * gsl_rng_uniform(rng);
    if (strcmp(target->entry.domain, q->domain) != 0) {
        cost += q->is_stream ? CROSS_DOMAIN_STREAM_PENALTY
                             : CROSS_DOMAIN_PLAIN_PENALTY;
    }
    if (q->failed_domain != NULL &&
        strcmp(target->entry.domain, q->failed_domain) == 0) {
        cost += FAILED_DOMAIN_PENALTY;
    }
    if (q->is_stream && is_domain_failing(t, target, now)) {
        cost += FAILED_DOMAIN_PENALTY;
    }
    return cost;
}

/* The target runs what the query asks for. */
static bool
is_match(const CaroTarget *target, const CaroPlacementQuery *q)
{
    return target->is_used && target->is_present &&
           strcmp(target->entry.service, q->service) == 0 &&
           (q->version == NULL || (strcmp(target->entry.version, q->version) ==
                                   0) != q->excludes_version);
}

bool
CaroPlacement_HasUsable(const CaroTargets *t, const CaroPlacementQuery *q,
                        CaroTime now)
{
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        const CaroTarget *target = CaroTargets_GetConst(t, h);
        if (is_match(target, q) && !is_tried(q, h) &&
            CaroTarget_IsUsable(target, now) &&
            !CaroTarget_IsFull(target, now)) {
            return true;
        }
    }
    return false;
}

bool
CaroPlacement_HasFull(const CaroTargets *t, const CaroPlacementQuery *q,
                      CaroTime now)
{
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        const CaroTarget *target = CaroTargets_GetConst(t, h);
        if (is_match(target, q) && CaroTarget_IsOpen(target, now) &&
            CaroTarget_IsFull(target, now)) {
            return true;
        }
    }
    return false;
}

CaroTime
CaroPlacement_AvailableAt(const CaroTargets *t, const CaroPlacementQuery *q,
                          CaroTime now)
{
    CaroTime earliest = 0;
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        const CaroTarget *target = CaroTargets_GetConst(t, h);
        if (!is_match(target, q) || target->entry.is_leaving ||
            target->notice.leaving != CARO_LEAVING_UNKNOWN) {
            continue;
        }
        CaroTime at = target->notice.unavailable_until;
        if (at <= now) {
            return 0;
        }
        earliest = earliest == 0 || at < earliest ? at : earliest;
    }
    return earliest;
}

CaroHandle
CaroPlacement_Choose(const CaroTargets *t, const CaroPlacementQuery *q,
                     gsl_rng *rng, CaroTime now)
{
    CaroHandle best = CARO_NO_HANDLE;
    CaroHandle avoided = CARO_NO_HANDLE;
    CaroHandle doubtful = CARO_NO_HANDLE;
    double best_cost = 0.0;
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        const CaroTarget *target = CaroTargets_GetConst(t, h);
        if (!is_match(target, q) || is_tried(q, h) ||
            CaroTarget_IsFull(target, now)) {
            continue;
        }
        if (!CaroTarget_IsOpen(target, now)) {
            if (CaroTarget_IsDoubtful(target, now)) {
                doubtful = h;
            }
            continue;
        }
        if (!CaroTarget_IsUsable(target, now)) {
            /* If all are avoided, the one with the oldest failure is
               chosen. */
            if (avoided == CARO_NO_HANDLE ||
                target->avoided_until <
                    CaroTargets_GetConst(t, avoided)->avoided_until) {
                avoided = h;
            }
            continue;
        }
        double cost = cost_of(t, target, q, rng, now);
        if (best == CARO_NO_HANDLE || cost < best_cost) {
            best = h;
            best_cost = cost;
        }
    }
    return best != CARO_NO_HANDLE      ? best
           : avoided != CARO_NO_HANDLE ? avoided
                                       : doubtful;
}

/* Suspected targets are penalized here: a lost request is noticed at once,
   but a lost copy only when it is needed. */
static double
kv_copy_cost_of(const CaroTargets *t, const CaroTarget *target, gsl_rng *rng,
                CaroTime now)
{
    double cost = target->streams + target->peer_streams + target->kv_copies +
                  target->peer_kv_copies +
                  RANDOM_TERM_MAX * gsl_rng_uniform(rng);
    if (is_domain_failing(t, target, now)) {
        cost += FAILED_DOMAIN_PENALTY;
    }
    if (CaroTarget_IsSuspected(target, now)) {
        cost += SUSPECTED_PENALTY;
    }
    return cost;
}

CaroHandle
CaroPlacement_ChooseKvCopy(const CaroTargets *t, CaroHandle source,
                           gsl_rng *rng, CaroTime now)
{
    const CaroTargetEntry *from = &CaroTargets_GetConst(t, source)->entry;
    CaroHandle best = CARO_NO_HANDLE;
    double best_cost = 0.0;
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        const CaroTarget *target = CaroTargets_GetConst(t, h);
        if (h == source || !CaroTarget_IsUsable(target, now) ||
            strcmp(target->entry.service, from->service) != 0 ||
            strcmp(target->entry.version, from->version) != 0 ||
            strcmp(target->entry.domain, from->domain) == 0) {
            continue;
        }
        double cost = kv_copy_cost_of(t, target, rng, now);
        if (best == CARO_NO_HANDLE || cost < best_cost) {
            best = h;
            best_cost = cost;
        }
    }
    return best;
}
