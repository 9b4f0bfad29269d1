/* Timeouts for the next event of an attempt. */
#include "internal/caro_event_timeout.h"

/* Fraction of the route's gap objective.  The rest of the gap is left for
   another engine to resume the stream. */
#define SILENCE_TIMEOUT_FRACTION 0.45
/* Fraction of the gap objective for the first event of a stream resumed from a
   KV copy: a connection, the rest of the prompt and five tokens. */
#define KV_COPY_TIMEOUT_FRACTION 0.9
/* Gap objective of a route that configures none. */
#define GAP_DEFAULT (2 * CARO_SECOND)
/* Fraction of the response time objective when no other prompt was queued
   for prefill: a second upstream can still meet the objective.  With prompts
   ahead the wait may be the time of their prefill. */
#define FIRST_EVENT_TIMEOUT_FRACTION 0.6
/* An engine that prefills a prompt while it streams sends each stream an
   event about every 155 ms, and other VMs report it within one hop. */
#define PREEMPTION_GAP_MAX (200 * CARO_MS)
/* Ratio to the response time objective.  An idempotent request that has missed
   its objective is retried, since a late response of the first upstream has
   little value. */
#define PLAIN_TIMEOUT_RATIO 1.2

/* Ratio of the timeout to the longest recent interval of the engine.  Work
   becomes up to 2.5 times slower for fractions of a second, and more streams
   lengthen the steps. */
#define INTERVAL_RATIO 3.0
/* Time for a resume from a KV copy: a connection and the tokens of an event.
 */
#define RESUME_TIME (150 * CARO_MS)
/* Likewise at an engine that processes prompts between its steps; 250 ms at
   the 95th percentile. */
#define BUSY_RESUME_TIME (370 * CARO_MS)
/* Ratio of the timeout to the predicted time of the prefill.  Engines differ
   by a factor of 2.2, and a prediction may be the mean of the service. */
#define PREFILL_RATIO 2.5
/* Likewise after another stream found the engine silent. */
#define SUSPECTED_PREFILL_RATIO 2.0
/* Likewise for the prefill at another engine, which may be slower or busy. */
#define REPEATED_PREFILL_RATIO 1.5

static CaroTime
fraction_of(double fraction, CaroTime whole)
{
    return (CaroTime)(fraction * (double)whole);
}

static CaroTime
gap_of(const CaroEventTimeoutQuery *q)
{
    return q->route->gap > 0 ? q->route->gap : GAP_DEFAULT;
}

/* Returns "min" when the range is empty. */
static CaroTime
clamp(CaroTime value, CaroTime min, CaroTime max)
{
    return value < min || max < min ? min : value > max ? max : value;
}

CaroTime
CaroEventTimeout_Shortest(const CaroRoute *route)
{
    CaroEventTimeoutQuery q = {.route = route};
    return fraction_of(SILENCE_TIMEOUT_FRACTION, gap_of(&q));
}

/* Time that the prefills at the upstream take, and that of the request at
   another one. */
static CaroTime
predicted_prefill(const CaroEventTimeoutQuery *q)
{
    return (CaroTime)(q->us_per_token *
                      ((double)q->tokens_ahead + (double)q->prompt_tokens));
}

static CaroTime
repeated_prefill(const CaroEventTimeoutQuery *q)
{
    return (CaroTime)(REPEATED_PREFILL_RATIO * q->us_per_token *
                      q->prompt_tokens);
}

static CaroEventTimeoutRule
rule_between_events(const CaroEventTimeoutQuery *q)
{
    if (!q->is_adaptive) {
        return CARO_TIMEOUT_CONSTANT;
    }
    if (q->is_target_suspected) {
        return CARO_TIMEOUT_SUSPECTED;
    }
    /* A preempted stream waits at its engine for memory and then for a
       prefill, which another engine can begin at once. */
    if (q->is_preempted) {
        return CARO_TIMEOUT_PREEMPTED;
    }
    if (!q->has_kv_copy) {
        return CARO_TIMEOUT_NO_KV_COPY;
    }
    return q->has_prefill || q->longest_interval == 0
               ? CARO_TIMEOUT_PREFILL_OF_OTHERS
               : CARO_TIMEOUT_INTERVALS;
}

CaroEventTimeoutRule
CaroEventTimeout_Rule(const CaroEventTimeoutQuery *q)
{
    if (q->route->kind != CARO_ROUTE_STREAM) {
        return CARO_TIMEOUT_CONSTANT;
    }
    if (q->has_events) {
        return rule_between_events(q);
    }
    if (!q->is_adaptive) {
        return CARO_TIMEOUT_CONSTANT;
    }
    if (q->is_target_suspected) {
        return CARO_TIMEOUT_SUSPECTED;
    }
    if (q->is_from_kv_copy) {
        return CARO_TIMEOUT_NO_KV_COPY;
    }
    bool is_constant = q->us_per_token == 0.0 ||
                       (!q->is_first_run && !q->has_forwarded_events);
    return is_constant ? CARO_TIMEOUT_CONSTANT : CARO_TIMEOUT_OWN_PREFILL;
}

const char *
CaroEventTimeoutRule_Name(CaroEventTimeoutRule rule)
{
    static const char *const names[] = {
        [CARO_TIMEOUT_CONSTANT] = "constant",
        [CARO_TIMEOUT_SUSPECTED] = "suspected",
        [CARO_TIMEOUT_PREEMPTED] = "preempted",
        [CARO_TIMEOUT_NO_KV_COPY] = "no-copy",
        [CARO_TIMEOUT_PREFILL_OF_OTHERS] = "prefill-of-others",
        [CARO_TIMEOUT_INTERVALS] = "intervals",
        [CARO_TIMEOUT_OWN_PREFILL] = "own-prefill"};
    return names[rule];
}

static CaroTime
constant_timeout(const CaroEventTimeoutQuery *q)
{
    CaroTime gap = gap_of(q);
    if (q->has_events || q->is_target_suspected) {
        return fraction_of(SILENCE_TIMEOUT_FRACTION, gap);
    }
    if (q->is_from_kv_copy) {
        return fraction_of(KV_COPY_TIMEOUT_FRACTION, gap);
    }
    if (!q->is_first_run && !q->has_forwarded_events) {
        return q->route->timeout;
    }
    return q->has_prefill_ahead ? q->route->objective
                                : fraction_of(FIRST_EVENT_TIMEOUT_FRACTION,
                                              q->route->objective);
}

/* The timeout for the first event of a run with a prefill.  It leaves the time
   that another engine needs for the same prefill.  Where even the shortest one
   does not, the first event of another engine is late in any case. */
static CaroTime
own_prefill_timeout(const CaroEventTimeoutQuery *q)
{
    CaroTime objective = q->route->objective;
    CaroTime min = fraction_of(FIRST_EVENT_TIMEOUT_FRACTION, objective);
    CaroTime latest = objective - repeated_prefill(q);
    if (min > latest) {
        return objective;
    }
    return clamp(fraction_of(PREFILL_RATIO, predicted_prefill(q)), min,
                 latest);
}

static CaroTime
stream_timeout(const CaroEventTimeoutQuery *q)
{
    CaroTime gap = gap_of(q);
    CaroTime min = fraction_of(SILENCE_TIMEOUT_FRACTION, gap);
    CaroTime max =
        gap - (q->is_kv_holder_busy ? BUSY_RESUME_TIME : RESUME_TIME);
    CaroTime intervals = fraction_of(INTERVAL_RATIO, q->longest_interval);
    switch (CaroEventTimeout_Rule(q)) {
    case CARO_TIMEOUT_CONSTANT:
        break;
    case CARO_TIMEOUT_SUSPECTED:
        return q->has_events ? min : gap;
    case CARO_TIMEOUT_PREEMPTED:
        return min;
    case CARO_TIMEOUT_NO_KV_COPY:
        /* Another engine repeats the prefill, so that the gap misses its
           objective in any case. */
        return gap;
    case CARO_TIMEOUT_PREFILL_OF_OTHERS:
        /* Each step has a part of a prompt and takes several times as long as
           the last steps may have taken. */
        return clamp(q->longest_interval == 0 ? max : intervals,
                     gap - BUSY_RESUME_TIME, max);
    case CARO_TIMEOUT_INTERVALS:
        return clamp(intervals, min, max);
    case CARO_TIMEOUT_OWN_PREFILL:
        return own_prefill_timeout(q);
    }
    return constant_timeout(q);
}

CaroTime
CaroEventTimeout_Get(const CaroEventTimeoutQuery *q)
{
    switch (q->route->kind) {
    case CARO_ROUTE_STREAM:
        return stream_timeout(q);
    case CARO_ROUTE_IDEMPOTENT:
        return q->is_first_run
                   ? fraction_of(PLAIN_TIMEOUT_RATIO, q->route->objective)
                   : q->route->timeout;
    default:
        return q->route->timeout;
    }
}

/* The wait, from its start, of a run with a prefill at an engine that another
   stream found silent.  Prefill of this prompt may have been the reason, and
   the streams that would show that the engine works have left it.  The run
   ends when its prefill is overdue, and not before another engine would just
   meet the objective. */
static CaroTime
suspected_prefill_wait(const CaroEventTimeoutQuery *q)
{
    CaroTime objective = q->route->objective;
    return clamp(fraction_of(SUSPECTED_PREFILL_RATIO, predicted_prefill(q)),
                 objective - repeated_prefill(q), objective);
}

CaroTime
CaroEventTimeout_Deadline(const CaroEventTimeoutQuery *q, CaroTime last_event,
                          CaroTime last_heard_at)
{
    bool awaits_first_event =
        q->route->kind == CARO_ROUTE_STREAM && !q->has_events;
    CaroTime from = awaits_first_event && last_heard_at > last_event
                        ? last_heard_at
                        : last_event;
    CaroTime at = from + CaroEventTimeout_Get(q);
    bool has_prefill = awaits_first_event && !q->is_from_kv_copy;
    if (has_prefill && q->us_per_token > 0.0 &&
        CaroEventTimeout_Rule(q) == CARO_TIMEOUT_SUSPECTED) {
        CaroTime overdue = last_event + suspected_prefill_wait(q);
        return at > overdue ? at : overdue;
    }
    return at;
}

bool
CaroEventTimeout_IsOvertaken(uint32_t events, int streams)
{
    return streams > 1 && events > (uint32_t)(streams - 1);
}

bool
CaroEventTimeout_IsPreempted(CaroTime last_event, CaroTime last_heard_at,
                             CaroTime now)
{
    return last_heard_at > last_event &&
           now - last_heard_at < PREEMPTION_GAP_MAX;
}
