/* Load-weighted choice of the target for a request or a KV copy. */
#include "internal/caro_placement.h"

#include <string.h>

/* Members of a group that are all looked at; of a larger one a sample is.
   Among more targets than this, a few that are chosen at random are as good as
   the best by reports that are out of date, and far cheaper. */
enum { SCANNED_MAX = 128, SAMPLE = 64 };

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
is_domain_failing(const CaroTargets *t, CaroHandle candidate, CaroTime now)
{
    CaroTargetGroups *groups = CaroTargets_Groups(t);
    int group = CaroTargets_GroupOf(t, candidate);
    int all = CaroTargetGroups_Get(groups, group).n;
    int failing = (all + FAILING_DIVISOR - 1) / FAILING_DIVISOR;
    CaroTime at = CaroTargetGroups_FailureOfRank(
        groups, group, failing > FAILING_MIN ? failing : FAILING_MIN, now);
    return at >= 0 && at >= CaroTargets_GetConst(t, candidate)->registered_at;
}

/* The members of a group that are looked at: all, or a sample. */
typedef struct {
    CaroTargetGroup group;
    int first;
    int step;
    int n;
} Candidates;

static Candidates
all_of(const CaroTargets *t, int group)
{
    Candidates c = {.group =
                        CaroTargetGroups_Get(CaroTargets_Groups(t), group),
                    .step = 1};
    c.n = c.group.n;
    return c;
}

static Candidates
sample_of(const CaroTargets *t, int group, gsl_rng *rng)
{
    Candidates c = all_of(t, group);
    if (c.n > SCANNED_MAX) {
        c.first = (int)gsl_rng_uniform_int(rng, (unsigned long)c.n);
        c.step = c.n / SAMPLE;
        c.n = SAMPLE;
    }
    return c;
}

static CaroHandle
candidate_at(const Candidates *c, int i)
{
    return c->group.members[(c->first + i * c->step) % c->group.n];
}

/* Returns the next group of the service from *group on, and sets *group to the
   one after it; false when there is none. */
static bool
next_group(const CaroTargets *t, const char *service, int *next, int *group)
{
    const CaroTargetGroups *groups = CaroTargets_Groups(t);
    while (*next < CaroTargetGroups_Count(groups)) {
        *group = (*next)++;
        CaroTargetGroup found = CaroTargetGroups_Get(groups, *group);
        if (found.n > 0 && strcmp(found.service, service) == 0) {
            return true;
        }
    }
    return false;
}

/* What choosing any target of the group costs beside the target's load. */
static double
group_cost(const CaroTargetGroup *group, const CaroPlacementQuery *q)
{
    double cost = 0.0;
    if (strcmp(group->domain, q->domain) != 0) {
        cost += q->is_stream ? CROSS_DOMAIN_STREAM_PENALTY
                             : CROSS_DOMAIN_PLAIN_PENALTY;
    }
    if (q->failed_domain != NULL &&
        strcmp(group->domain, q->failed_domain) == 0) {
        cost += FAILED_DOMAIN_PENALTY;
    }
    return cost;
}

static double
cost_of(const CaroTargets *t, CaroHandle h, const CaroPlacementQuery *q,
        gsl_rng *rng, CaroTime now)
{
    double cost = load_of(CaroTargets_GetConst(t, h), now) +
                  RANDOM_TERM_MAX * gsl_rng_uniform(rng);
    if (q->is_stream && is_domain_failing(t, h, now)) {
        cost += FAILED_DOMAIN_PENALTY;
    }
    return cost;
}

/* The target runs what the query asks for. */
static bool
is_match(const CaroTarget *target, const CaroPlacementQuery *q)
{
    return target->is_present &&
           (q->version == NULL || (strcmp(target->entry.version, q->version) ==
                                   0) != q->excludes_version);
}

static bool
is_usable_match(const CaroTargets *t, CaroHandle h,
                const CaroPlacementQuery *q, CaroTime now)
{
    const CaroTarget *target = CaroTargets_GetConst(t, h);
    return is_match(target, q) && !is_tried(q, h) &&
           CaroTarget_IsUsable(target, now) && !CaroTarget_IsFull(target, now);
}

bool
CaroPlacement_HasUsable(const CaroTargets *t, const CaroPlacementQuery *q,
                        CaroTime now)
{
    int group;
    for (int next = 0; next_group(t, q->service, &next, &group);) {
        Candidates c = all_of(t, group);
        for (int i = 0; i < c.n; i++) {
            if (is_usable_match(t, candidate_at(&c, i), q, now)) {
                return true;
            }
        }
    }
    return false;
}

bool
CaroPlacement_HasFull(const CaroTargets *t, const CaroPlacementQuery *q,
                      CaroTime now)
{
    int group;
    for (int next = 0; next_group(t, q->service, &next, &group);) {
        Candidates c = all_of(t, group);
        for (int i = 0; i < c.n; i++) {
            const CaroTarget *target =
                CaroTargets_GetConst(t, candidate_at(&c, i));
            if (is_match(target, q) && CaroTarget_IsOpen(target, now) &&
                CaroTarget_IsFull(target, now)) {
                return true;
            }
        }
    }
    return false;
}

CaroTime
CaroPlacement_AvailableAt(const CaroTargets *t, const CaroPlacementQuery *q,
                          CaroTime now)
{
    CaroTime earliest = 0;
    int group;
    for (int next = 0; next_group(t, q->service, &next, &group);) {
        Candidates c = all_of(t, group);
        for (int i = 0; i < c.n; i++) {
            const CaroTarget *target =
                CaroTargets_GetConst(t, candidate_at(&c, i));
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
    }
    return earliest;
}

/* The best target found so far, and those to fall back on: of the avoided
   ones the one with the oldest failure, and a doubtful one. */
typedef struct {
    CaroHandle best;
    double best_cost;
    CaroHandle avoided;
    CaroHandle doubtful;
} Choice;

static void
consider(Choice *choice, const CaroTargets *t, CaroHandle h,
         const CaroPlacementQuery *q, double extra_cost, gsl_rng *rng,
         CaroTime now)
{
    const CaroTarget *target = CaroTargets_GetConst(t, h);
    if (!is_match(target, q) || is_tried(q, h) ||
        CaroTarget_IsFull(target, now)) {
        return;
    }
    if (!CaroTarget_IsOpen(target, now)) {
        if (CaroTarget_IsDoubtful(target, now)) {
            choice->doubtful = h;
        }
        return;
    }
    if (!CaroTarget_IsUsable(target, now)) {
        if (choice->avoided == CARO_NO_HANDLE ||
            target->avoided_until <
                CaroTargets_GetConst(t, choice->avoided)->avoided_until) {
            choice->avoided = h;
        }
        return;
    }
    double cost = extra_cost + cost_of(t, h, q, rng, now);
    if (choice->best == CARO_NO_HANDLE || cost < choice->best_cost) {
        choice->best = h;
        choice->best_cost = cost;
    }
}

CaroHandle
CaroPlacement_Choose(const CaroTargets *t, const CaroPlacementQuery *q,
                     gsl_rng *rng, CaroTime now)
{
    Choice choice = {.best = CARO_NO_HANDLE,
                     .avoided = CARO_NO_HANDLE,
                     .doubtful = CARO_NO_HANDLE};
    bool is_complete = false;
    /* A sample without any usable target does not show that there is none. */
    for (int pass = 0;
         pass < 2 && choice.best == CARO_NO_HANDLE && !is_complete; pass++) {
        int group;
        is_complete = true;
        for (int next = 0; next_group(t, q->service, &next, &group);) {
            Candidates c =
                pass == 0 ? sample_of(t, group, rng) : all_of(t, group);
            double extra_cost = group_cost(&c.group, q);
            is_complete = is_complete && c.n == c.group.n;
            for (int i = 0; i < c.n; i++) {
                consider(&choice, t, candidate_at(&c, i), q, extra_cost, rng,
                         now);
            }
        }
    }
    return choice.best != CARO_NO_HANDLE      ? choice.best
           : choice.avoided != CARO_NO_HANDLE ? choice.avoided
                                              : choice.doubtful;
}

/* Suspected targets are penalized here: a lost request is noticed at once,
   but a lost copy only when it is needed. */
static double
kv_copy_cost_of(const CaroTargets *t, CaroHandle h, gsl_rng *rng, CaroTime now)
{
    const CaroTarget *target = CaroTargets_GetConst(t, h);
    double cost = target->streams + target->peer_streams + target->kv_copies +
                  target->peer_kv_copies +
                  RANDOM_TERM_MAX * gsl_rng_uniform(rng);
    if (is_domain_failing(t, h, now)) {
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
    int group;
    for (int next = 0; next_group(t, from->service, &next, &group);) {
        Candidates c = sample_of(t, group, rng);
        if (strcmp(c.group.domain, from->domain) == 0) {
            continue;
        }
        for (int i = 0; i < c.n; i++) {
            CaroHandle h = candidate_at(&c, i);
            const CaroTarget *target = CaroTargets_GetConst(t, h);
            if (!CaroTarget_IsUsable(target, now) ||
                strcmp(target->entry.version, from->version) != 0) {
                continue;
            }
            double cost = kv_copy_cost_of(t, h, rng, now);
            if (best == CARO_NO_HANDLE || cost < best_cost) {
                best = h;
                best_cost = cost;
            }
        }
    }
    return best;
}
