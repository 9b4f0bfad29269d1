/*
 * NAME
 *     caro_event_timeout - how long an attempt waits for its next event
 *
 * Detects engines that stop sending events without closing the connection.
 * The timeout leaves enough of the route's gap objective (CaroRoute.gap) for
 * another engine to resume the stream.  It does not give up an engine that is
 * only busy, because a second attempt adds to the load.
 */
#ifndef CARO_EVENT_TIMEOUT_H
#define CARO_EVENT_TIMEOUT_H

#include "internal/caro_routes.h"

/* The state of one attempt. */
typedef struct {
    const CaroRoute *route;    /* Borrowed. */
    bool has_events;           /* The attempt has received an event. */
    bool is_target_suspected;  /* Its target stopped sending to another VM. */
    bool is_from_kv_copy;      /* It resumes from a copy of the KV memory. */
    bool has_prefill_ahead;    /* Other prompts were queued for prefill at the
                                  upstream when the attempt started. */
    bool is_first_run;         /* False if an earlier attempt may have run. */
    bool has_forwarded_events; /* The caller has received events. */
} CaroEventTimeoutQuery;

/* Returns the longest wait of the attempt for its next event. */
CaroTime CaroEventTimeout_Get(const CaroEventTimeoutQuery *q);

/*
 * Returns the time at which the attempt counts as silent.  "last_event" is
 * the time of its last event, or of its start.  Engines prefill prompts one
 * after the other: until a stream has its first event, any event of the
 * upstream, for whatever request, restarts the wait.  "last_heard_at" is the
 * time of the last one.
 */
CaroTime CaroEventTimeout_Deadline(const CaroEventTimeoutQuery *q,
                                   CaroTime last_event,
                                   CaroTime last_heard_at);

/*
 * Tells whether the upstream of a silent stream still serves other streams:
 * it has then preempted this one, as engines do when their memory is full.
 */
bool CaroEventTimeout_IsPreempted(CaroTime last_event, CaroTime last_heard_at,
                                  CaroTime now);

#endif
