/* How long an attempt may go without its next event. */
#include "internal/caro_event_timeout.h"

/* Of a route's longest pause on time; the rest is for another engine. */
#define SILENCE_PART 0.45
/* The same for the first event of a run that goes on from a copy: a
   connection, the rest of the prompt and five tokens. */
#define COPY_PART 0.9
/* Of a route that names no longest pause. */
#define GAP_DEFAULT (2 * CARO_SECOND)
/* Of the objective, when no other prompt was to be read there: a second
   upstream can still meet it.  Behind others the wait may be their reading. */
#define FIRST_EVENT_PART 0.6
/* An engine that reads a prompt beside its streams gives each of them an
   event in about 155 ms, which others tell within a hop. */
#define OTHERS_GAP (200 * CARO_MS)
/* An idempotent request that is late by its objective is asked for again;
   it would earn little at the first upstream. */
#define PLAIN_PART 1.2

static CaroTime
part_of(double part, CaroTime whole)
{
    return (CaroTime)(part * (double)whole);
}

static CaroTime
of_stream(const CaroEventTimeoutQuery *q)
{
    CaroTime gap = q->route->gap > 0 ? q->route->gap : GAP_DEFAULT;
    if (q->has_events || q->is_target_suspected) {
        return part_of(SILENCE_PART, gap);
    }
    if (q->is_from_kv_copy) {
        return part_of(COPY_PART, gap);
    }
    if (!q->is_first && !q->has_forwarded_events) {
        return q->route->timeout;
    }
    return q->has_prefill_ahead
               ? q->route->objective
               : part_of(FIRST_EVENT_PART, q->route->objective);
}

CaroTime
CaroEventTimeout_Get(const CaroEventTimeoutQuery *q)
{
    switch (q->route->kind) {
    case CARO_ROUTE_STREAM:
        return of_stream(q);
    case CARO_ROUTE_IDEMPOTENT:
        return q->is_first ? part_of(PLAIN_PART, q->route->objective)
                           : q->route->timeout;
    default:
        return q->route->timeout;
    }
}

CaroTime
CaroEventTimeout_Deadline(const CaroEventTimeoutQuery *q, CaroTime last_event,
                          CaroTime last_heard_at)
{
    bool is_waiting = q->route->kind == CARO_ROUTE_STREAM && !q->has_events;
    CaroTime from =
        is_waiting && last_heard_at > last_event ? last_heard_at : last_event;
    return from + CaroEventTimeout_Get(q);
}

bool
CaroEventTimeout_IsPreempted(CaroTime last_event, CaroTime last_heard_at,
                             CaroTime now)
{
    return last_heard_at > last_event && now - last_heard_at < OTHERS_GAP;
}
