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

static CaroTime
fraction_of(double fraction, CaroTime whole)
{
    return (CaroTime)(fraction * (double)whole);
}

static CaroTime
stream_timeout(const CaroEventTimeoutQuery *q)
{
    CaroTime gap = q->route->gap > 0 ? q->route->gap : GAP_DEFAULT;
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

CaroTime
CaroEventTimeout_Deadline(const CaroEventTimeoutQuery *q, CaroTime last_event,
                          CaroTime last_heard_at)
{
    bool awaits_first_event =
        q->route->kind == CARO_ROUTE_STREAM && !q->has_events;
    CaroTime from = awaits_first_event && last_heard_at > last_event
                        ? last_heard_at
                        : last_event;
    return from + CaroEventTimeout_Get(q);
}

bool
CaroEventTimeout_IsPreempted(CaroTime last_event, CaroTime last_heard_at,
                             CaroTime now)
{
    return last_heard_at > last_event &&
           now - last_heard_at < PREEMPTION_GAP_MAX;
}
