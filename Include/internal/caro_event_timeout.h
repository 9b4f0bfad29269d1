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

    /* The targets of the service report their processing time; if not, the
       following is not used, and the timeouts are constant. */
    bool is_adaptive;
    bool has_kv_copy;          /* A usable target has a KV copy. */
    bool is_kv_holder_busy;    /* Prompts await prefill there. */
    bool is_preempted;         /* See CaroEventTimeout_IsOvertaken. */
    CaroTime longest_interval; /* See CaroEventPace_LongestInterval. */
    bool has_prefill;          /* Prompts await prefill at the upstream now. */
    int prompt_tokens;         /* Of the request. */
    int tokens_ahead;          /* Prompt tokens that were queued at the
                                  upstream when the attempt started. */
    double us_per_token;       /* See CaroEventPace_PrefillTime. */
} CaroEventTimeoutQuery;

/* What a timeout follows from. */
typedef enum {
    CARO_TIMEOUT_CONSTANT,          /* The route's objectives alone. */
    CARO_TIMEOUT_SUSPECTED,         /* Another stream found the target
                                       silent. */
    CARO_TIMEOUT_PREEMPTED,         /* Others at the target advanced. */
    CARO_TIMEOUT_NO_KV_COPY,        /* Another target would repeat the
                                       prefill. */
    CARO_TIMEOUT_PREFILL_OF_OTHERS, /* Prompts await prefill at the target, or
                                       its pace is unknown. */
    CARO_TIMEOUT_INTERVALS,         /* Its recent intervals. */
    CARO_TIMEOUT_OWN_PREFILL        /* The predicted time of the prefill. */
} CaroEventTimeoutRule;

CaroEventTimeoutRule CaroEventTimeout_Rule(const CaroEventTimeoutQuery *q);
const char *CaroEventTimeoutRule_Name(CaroEventTimeoutRule rule);

/* Returns the shortest timeout between two events of a stream. */
CaroTime CaroEventTimeout_Shortest(const CaroRoute *route);

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
 * Tells whether other streams of this VM at the same upstream advanced without
 * this one.  An engine decodes all streams in each step, so that one of the
 * others can have more than one event since the last of this stream only when
 * this one was preempted.  "events" counts those of the others since then,
 * "streams" the streams there with this one.
 */
bool CaroEventTimeout_IsOvertaken(uint32_t events, int streams);

/*
 * Tells whether the upstream of a silent stream still serves other streams:
 * it has then preempted this one, as engines do when their memory is full.
 */
bool CaroEventTimeout_IsPreempted(CaroTime last_event, CaroTime last_heard_at,
                                  CaroTime now);

#endif
