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

/* The prediction.  Of its costs, those above apply with PREFILL_WEIGHT running
   requests as the usual prefill time of one prompt. */

/* Each running stream lengthens a prefill by this fraction, as its steps take
   a part of the engine's. */
#define RUNNING_DELAY_FRACTION 0.02
/* Largest random difference, in usual prefill times of a prompt: for each
   member of a group, and at most.  VMs whose reports are the same choose among
   all idle engines, although the estimates differ by some percent; with 0.2,
   7% of prompts met another, with 0.8 2.7% (Test/test_predicted_placement.c).
   It is below the difference between a slow engine and others, and in a small
   group below the cost of crossing domains. */
#define PREDICTED_RANDOM_PER_MEMBER 0.08
#define PREDICTED_RANDOM_MAX 0.8
/* A work_percent changes many times per second. */
#define WORK_PERCENT_TTL (400 * CARO_MS)
/* A load report of a peer has its full weight until the next is due, and none
   when the reports of a lost VM are removed. */
#define PEER_LOAD_FULL_AGE (1500 * CARO_MS)
#define PEER_LOAD_TTL (5 * CARO_SECOND)
/* Part of its time that a stream of a VM which sends no reports here spends in
   prefill: about 1 s of 5 s. */
#define PREFILL_TIME_FRACTION 0.2
/* Tokens of another VM's stream or KV copy, of which reports tell the number
   alone: the mean prompt of 8,200 and its response. */
#define PEER_HELD_TOKENS 9100.0
/* A part of the memory is left free, as the sizes of peers' prompts and of
   responses are estimates. */
#define MEMORY_FRACTION 0.9
/* Running streams free an engine's memory in about this time. */
#define STREAM_MS 5000.0
/* A preempted stream repeats its prefill. */
#define PREEMPTION_PREFILLS 1.0
/* An engine may hold more than this VM knows: KV copies come from other
   domains, whose VMs send no reports here in large fleets.  The expected wait
   for that is the square of the used part of the memory, times so many prefill
   times. */
#define PRESSURE_PREFILLS 0.5
/* KV copies: cost of an engine that takes twice the usual time, and of one
   without free memory, in streams. */
#define SLOW_COPY_WEIGHT 2.0
#define NO_MEMORY_COPY_PENALTY 100.0

enum {
    /* Prompts are shorter; with the bound, sums over requests are in range. */
    PROMPT_TOKENS_MAX = 1 << 20,
    /* Expected tokens of a response: streams have 600 to 1,170 (120 events of
       5 tokens, 130 of 9). */
    RESPONSE_TOKENS = 900
};

void
CaroPlacementQuery_SetPrompt(CaroPlacementQuery *q, int64_t tokens)
{
    q->prompt_tokens =
        tokens < PROMPT_TOKENS_MAX ? (int)tokens : PROMPT_TOKENS_MAX;
    q->held_tokens = q->prompt_tokens + RESPONSE_TOKENS;
}

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

static CaroTime
load_age(const CaroTarget *target, CaroTime now)
{
    CaroTime at = target->reported_at > target->peer_loaded_at
                      ? target->reported_at
                      : target->peer_loaded_at;
    return at == 0 ? -1 : now - at;
}

CaroLoadTerms
CaroPlacement_LoadTerms(const CaroTarget *target, CaroTime now)
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
    CaroLoadTerms l = {
        .requests = load,
        .prefill = PREFILL_WEIGHT * prefill / PREFILL_UNIT_TOKENS,
        .kv_copies =
            KV_COPY_WEIGHT * (target->kv_copies + target->peer_kv_copies),
        .load_age = load_age(target, now)};
    l.load = l.requests + l.prefill + l.kv_copies;
    return l;
}

static double
fraction_left(CaroTime age, CaroTime full, CaroTime end)
{
    return age <= full  ? 1.0
           : age >= end ? 0.0
                        : (double)(end - age) / (double)(end - full);
}

/* Momentary factor of the processing time that the target reported. */
static double
work_factor(const CaroTarget *target, CaroTime now)
{
    if (target->reported_at == 0 || target->reported_work_percent == 0) {
        return 1.0;
    }
    double weight =
        fraction_left(now - target->reported_at, 0, WORK_PERCENT_TTL);
    return 1.0 + weight * (target->reported_work_percent / 100.0 - 1.0);
}

/* What is in progress at a target, as far as this VM knows. */
typedef struct {
    double streams;
    double queued_tokens;
    double held_tokens;
} Progress;

static Progress
progress_of(const CaroTarget *target, CaroTime now)
{
    double peers = fraction_left(now - target->peer_loaded_at,
                                 PEER_LOAD_FULL_AGE, PEER_LOAD_TTL);
    double peer_streams = peers * target->peer_streams;
    Progress p = {.streams = target->streams + peer_streams,
                  .queued_tokens = target->prefill_tokens +
                                   peers * target->peer_prefill_tokens,
                  .held_tokens =
                      target->held_tokens +
                      PEER_HELD_TOKENS *
                          (peer_streams + peers * target->peer_kv_copies)};
    if (target->reported_at == 0) {
        return p;
    }
    /* Streams of VMs that send no reports here, from the target's own. */
    double weight = fraction_left(now - target->reported_at, 0, REPORT_TTL);
    double running = weight * target->reported_running - p.streams;
    double waiting = weight * target->reported_waiting -
                     p.queued_tokens / PREFILL_UNIT_TOKENS;
    running = running > 0.0 ? running : 0.0;
    waiting = waiting > 0.0 ? waiting : 0.0;
    p.streams += running;
    p.queued_tokens +=
        PREFILL_UNIT_TOKENS * (waiting + PREFILL_TIME_FRACTION * running);
    p.held_tokens += PEER_HELD_TOKENS * running;
    return p;
}

/* Prefill time of one prompt at a usual engine, in ms. */
static double
usual_prefill_ms(const CaroPaceEstimate *pace)
{
    return PREFILL_UNIT_TOKENS * pace->usual_us / 1000.0;
}

/* Expected wait for memory, in ms: until enough streams have ended for the
   tokens to fit, with what a preemption costs, and less while they seem to
   fit. */
static double
memory_wait_ms(const CaroPaceEstimate *pace, double held, double tokens)
{
    double used = (held + tokens) / pace->memory;
    double excess = held + tokens - MEMORY_FRACTION * pace->memory;
    double unit_ms = usual_prefill_ms(pace);
    double pressure = held <= 0.0  ? 0.0
                      : used < 1.0 ? PRESSURE_PREFILLS * used * used
                                   : PRESSURE_PREFILLS;
    if (excess <= 0.0 || held <= 0.0) {
        return pressure * unit_ms;
    }
    return STREAM_MS * (excess < held ? excess / held : 1.0) +
           (pressure + PREEMPTION_PREFILLS) * unit_ms;
}

CaroPrediction
CaroPlacement_Predict(const CaroTargets *t, CaroHandle h,
                      const CaroPlacementQuery *q, CaroTime now)
{
    const CaroTarget *target = CaroTargets_GetConst(t, h);
    Progress progress = progress_of(target, now);
    CaroPrediction p = {.pace = CaroEnginePace_Get(q->pace, target, now),
                        .queued_tokens = progress.queued_tokens,
                        .held_tokens = progress.held_tokens,
                        .work_factor = work_factor(target, now),
                        .load_age = load_age(target, now)};
    double token_ms = p.work_factor * p.pace.prefill_us / 1000.0;
    p.queue_ms = p.queued_tokens * token_ms;
    p.prefill_ms = q->prompt_tokens * token_ms;
    p.running_ms = RUNNING_DELAY_FRACTION * progress.streams *
                   (p.queue_ms + p.prefill_ms);
    p.memory_ms = memory_wait_ms(&p.pace, p.held_tokens, q->held_tokens);
    p.has_memory =
        p.held_tokens + q->held_tokens <= MEMORY_FRACTION * p.pace.memory;
    p.event_ms = p.pace.event_us / 1000.0;
    p.retained_tokens =
        CaroRetainedPrompts_Expect(q->retained, target, q->parts, now);
    if (p.retained_tokens > q->prompt_tokens) {
        p.retained_tokens = q->prompt_tokens;
    }
    p.saved_ms = p.retained_tokens * token_ms;
    p.first_event_ms =
        p.queue_ms + p.prefill_ms + p.running_ms + p.memory_ms - p.saved_ms;
    return p;
}

double
CaroPlacement_HeldTokens(const CaroTargets *t, CaroHandle h, CaroTime now)
{
    return progress_of(CaroTargets_GetConst(t, h), now).held_tokens;
}

bool
CaroPlacement_IsPredicted(const CaroTargets *t, const CaroPlacementQuery *q)
{
    return q->is_stream && CaroTargets_IsAdaptive(t, q->service);
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

static CaroPlacementCost
cost_of(const CaroTargets *t, CaroHandle h, const CaroPlacementQuery *q,
        double extra_cost, gsl_rng *rng, CaroTime now)
{
    CaroPlacementCost c = {
        .load = CaroPlacement_LoadTerms(CaroTargets_GetConst(t, h), now),
        .domain = extra_cost,
        .random = RANDOM_TERM_MAX * gsl_rng_uniform(rng)};
    if (q->is_stream && is_domain_failing(t, h, now)) {
        c.failing = FAILED_DOMAIN_PENALTY;
    }
    c.cost = c.domain + (c.load.load + c.random + c.failing);
    return c;
}

/* The cost in ms.  The pace after the first event counts as one event more.
   repeat_tokens are as of CaroRetainedPrompts_RepeatTokens. */
static CaroPlacementCost
predicted_cost_of(const CaroTargets *t, CaroHandle h,
                  const CaroPlacementQuery *q, double repeat_tokens,
                  double extra_cost, gsl_rng *rng, CaroTime now)
{
    CaroPlacementCost c = {.is_predicted = true,
                           .prediction = CaroPlacement_Predict(t, h, q, now)};
    double unit_ms = usual_prefill_ms(&c.prediction.pace);
    double penalty_ms = unit_ms / PREFILL_WEIGHT;
    int members =
        CaroTargetGroups_Get(CaroTargets_Groups(t), CaroTargets_GroupOf(t, h))
            .n;
    double random = PREDICTED_RANDOM_PER_MEMBER * members;
    random = random < PREDICTED_RANDOM_MAX ? random : PREDICTED_RANDOM_MAX;
    c.domain = extra_cost * penalty_ms;
    if (is_domain_failing(t, h, now)) {
        c.failing = FAILED_DOMAIN_PENALTY * penalty_ms;
    }
    if (repeat_tokens > 0.0) {
        c.repeat = -repeat_tokens * c.prediction.pace.prefill_us / 1000.0 *
                   CaroRetainedPrompts_Preference(CaroTargets_GetConst(t, h),
                                                  q->parts, members);
    }
    c.random = random * unit_ms * gsl_rng_uniform(rng);
    c.cost = c.prediction.first_event_ms + c.prediction.event_ms + c.domain +
             c.failing + c.repeat + c.random;
    return c;
}

static bool
is_full(const CaroTargets *t, CaroHandle h, const CaroPlacementQuery *q,
        CaroTime now)
{
    return q->full != NULL
               ? q->full[h]
               : CaroTarget_IsFull(CaroTargets_GetConst(t, h), now);
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
           CaroTarget_IsUsable(target, now) && !is_full(t, h, q, now);
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
            CaroHandle h = candidate_at(&c, i);
            const CaroTarget *target = CaroTargets_GetConst(t, h);
            if (is_match(target, q) && CaroTarget_IsOpen(target, now) &&
                is_full(t, h, q, now)) {
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
    bool is_predicted;
    double repeat_tokens;
    CaroPlacementTrace *trace; /* NULL for none. */
} Choice;

CaroCandidateState
CaroPlacement_Judge(const CaroTargets *t, CaroHandle h,
                    const CaroPlacementQuery *q, CaroTime now)
{
    const CaroTarget *target = CaroTargets_GetConst(t, h);
    return !is_match(target, q)                 ? target->is_present
                                                      ? CARO_CANDIDATE_OTHER_VERSION
                                                      : CARO_CANDIDATE_UNREGISTERED
           : is_tried(q, h)                     ? CARO_CANDIDATE_TRIED
           : is_full(t, h, q, now)              ? CARO_CANDIDATE_FULL
           : CaroTarget_IsUsable(target, now)   ? CARO_CANDIDATE_USABLE
           : CaroTarget_IsOpen(target, now)     ? CARO_CANDIDATE_AVOIDED
           : CaroTarget_IsDoubtful(target, now) ? CARO_CANDIDATE_DOUBTFUL
           : target->entry.is_leaving ||
                   target->notice.leaving != CARO_LEAVING_UNKNOWN
               ? CARO_CANDIDATE_LEAVING
               : CARO_CANDIDATE_UNAVAILABLE;
}

static void
add_to_trace(CaroPlacementTrace *trace, const CaroCandidate *c)
{
    if (trace == NULL) {
        return;
    }
    if (trace->n < CARO_CANDIDATES_MAX) {
        trace->all[trace->n++] = *c;
    }
    else {
        trace->n_omitted++;
    }
}

static void
consider(Choice *choice, const CaroTargets *t, CaroHandle h,
         const CaroPlacementQuery *q, double extra_cost, gsl_rng *rng,
         CaroTime now)
{
    CaroCandidate c = {.target = h,
                       .state = CaroPlacement_Judge(t, h, q, now)};
    if (c.state == CARO_CANDIDATE_DOUBTFUL) {
        choice->doubtful = h;
    }
    if (c.state == CARO_CANDIDATE_AVOIDED &&
        (choice->avoided == CARO_NO_HANDLE ||
         CaroTargets_GetConst(t, h)->avoided_until <
             CaroTargets_GetConst(t, choice->avoided)->avoided_until)) {
        choice->avoided = h;
    }
    if (c.state == CARO_CANDIDATE_USABLE) {
        c.cost = choice->is_predicted
                     ? predicted_cost_of(t, h, q, choice->repeat_tokens,
                                         extra_cost, rng, now)
                     : cost_of(t, h, q, extra_cost, rng, now);
        if (choice->best == CARO_NO_HANDLE ||
            c.cost.cost < choice->best_cost) {
            choice->best = h;
            choice->best_cost = c.cost.cost;
        }
    }
    add_to_trace(choice->trace, &c);
}

CaroHandle
CaroPlacement_Choose(const CaroTargets *t, const CaroPlacementQuery *q,
                     gsl_rng *rng, CaroTime now)
{
    return CaroPlacement_ChooseTraced(t, q, rng, now, NULL);
}

CaroHandle
CaroPlacement_ChooseTraced(const CaroTargets *t, const CaroPlacementQuery *q,
                           gsl_rng *rng, CaroTime now,
                           CaroPlacementTrace *trace)
{
    Choice choice = {.best = CARO_NO_HANDLE,
                     .avoided = CARO_NO_HANDLE,
                     .doubtful = CARO_NO_HANDLE,
                     .is_predicted = CaroPlacement_IsPredicted(t, q),
                     .trace = trace};
    bool is_complete = false;
    if (choice.is_predicted) {
        choice.repeat_tokens =
            CaroRetainedPrompts_RepeatTokens(q->retained, q->parts, now);
    }
    /* A sample without any usable target does not show that there is none. */
    for (int pass = 0;
         pass < 2 && choice.best == CARO_NO_HANDLE && !is_complete; pass++) {
        int group;
        is_complete = true;
        if (trace != NULL) {
            trace->n = trace->n_omitted = trace->n_unsampled = 0;
        }
        for (int next = 0; next_group(t, q->service, &next, &group);) {
            Candidates c =
                pass == 0 ? sample_of(t, group, rng) : all_of(t, group);
            double extra_cost = group_cost(&c.group, q);
            is_complete = is_complete && c.n == c.group.n;
            if (trace != NULL) {
                trace->n_unsampled += c.group.n - c.n;
            }
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

/* What the speed and the memory of a target add to the cost of a KV copy
   there. A stream is resumed where its copy is. */
static double
kv_copy_pace_cost(const CaroTargets *t, CaroHandle h,
                  const CaroPlacementQuery *q, CaroTime now)
{
    CaroPrediction p = CaroPlacement_Predict(t, h, q, now);
    double slowness = p.pace.prefill_us / p.pace.usual_us - 1.0;
    double cost = slowness > 0.0 ? SLOW_COPY_WEIGHT * slowness : 0.0;
    return p.has_memory ? cost : cost + NO_MEMORY_COPY_PENALTY;
}

CaroHandle
CaroPlacement_ChooseKvCopy(const CaroTargets *t, CaroHandle source,
                           gsl_rng *rng, CaroTime now)
{
    CaroPlacementQuery q = {0};
    return CaroPlacement_ChooseKvCopyFor(t, source, &q, rng, now);
}

CaroHandle
CaroPlacement_ChooseKvCopyFor(const CaroTargets *t, CaroHandle source,
                              const CaroPlacementQuery *q, gsl_rng *rng,
                              CaroTime now)
{
    const CaroTargetEntry *from = &CaroTargets_GetConst(t, source)->entry;
    CaroHandle best = CARO_NO_HANDLE;
    double best_cost = 0.0;
    bool is_predicted = q->service != NULL && CaroPlacement_IsPredicted(t, q);
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
            if (is_predicted) {
                cost += kv_copy_pace_cost(t, h, q, now);
            }
            if (best == CARO_NO_HANDLE || cost < best_cost) {
                best = h;
                best_cost = cost;
            }
        }
    }
    return best;
}
