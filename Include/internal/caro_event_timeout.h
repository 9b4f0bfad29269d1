/*
 * NAME
 *     caro_event_timeout - how long an attempt may go without its next event
 *
 * Answers engines that fall silent without closing: what is left of the
 * longest pause on time has to suffice for another engine to go on, and an
 * engine that is only busy must not be left, because that adds to the load.
 */
#ifndef CARO_EVENT_TIMEOUT_H
#define CARO_EVENT_TIMEOUT_H

#include "internal/caro_routes.h"

typedef struct {
    const CaroRoute *route;
    bool has_events;           /* The attempt has given one. */
    bool is_target_suspected;  /* Others found its upstream silent. */
    bool is_from_kv_copy;      /* It goes on from a copy of memory. */
    bool has_prefill_ahead;    /* Other prompts were to be read there first. */
    bool is_first;             /* No upstream has failed the request yet. */
    bool has_forwarded_events; /* The caller has events of it. */
} CaroEventTimeoutQuery;

CaroTime CaroEventTimeout_Get(const CaroEventTimeoutQuery *q);

/*
 * When an attempt counts as silent whose last event, or whose start, was at
 * "last_event".  Prompts are read one after the other: before its first
 * event any sign of life of the upstream ("last_heard_at", of whatever
 * request) counts as its own.
 */
CaroTime CaroEventTimeout_Deadline(const CaroEventTimeoutQuery *q,
                                   CaroTime last_event,
                                   CaroTime last_heard_at);

/*
 * Whether the upstream of a stream that fell silent serves others: it has
 * set this one aside, as engines do when their memory is full.
 */
bool CaroEventTimeout_IsPreempted(CaroTime last_event, CaroTime last_heard_at,
                                  CaroTime now);

#endif
