/*
 * NAME
 *     caro_event_forwarder - forwards the events of a stream to the caller
 *
 * Only complete events are forwarded.  The stream may be assembled from
 * several attempts at upstreams, each of which has to begin after the last
 * event of the one before.
 */
#ifndef CARO_EVENT_FORWARDER_H
#define CARO_EVENT_FORWARDER_H

#include "internal/caro_http_server.h"
#include "internal/caro_latency.h"

typedef struct CaroEventForwarder CaroEventForwarder;

/* The histograms are borrowed; the request began at "started_at".  With
   "needs_ids", of a stream that may be resumed, comments and events without
   an id are sent but do not count.  Returns NULL without memory. */
CaroEventForwarder *CaroEventForwarder_Create(CaroLatency *latency,
                                              bool needs_ids,
                                              CaroTime started_at);
void CaroEventForwarder_Destroy(CaroEventForwarder *f);

/* The caller already has the events up to this id. */
void CaroEventForwarder_SetLastId(CaroEventForwarder *f, int64_t id);

/* A new attempt begins; a partial event of the last one is dropped. */
void CaroEventForwarder_BeginAttempt(CaroEventForwarder *f);

/*
 * Consumes bytes of the current attempt and sends the events that they
 * complete.  Where an attempt goes on behind events of another, its first
 * event has to have an id; comments before it are dropped.  Returns the number
 * of events that count, CARO_ERR_INPUT when an id is not above the last one or
 * is missing there, CARO_ERR_FULL when an event is too long, or
 * CARO_ERR_NOMEM.
 */
int CaroEventForwarder_Feed(CaroEventForwarder *f, CaroCall *call,
                            CaroText bytes, CaroTime now);

/* The bytes consumed so far end within an event. */
bool CaroEventForwarder_HasPartialEvent(const CaroEventForwarder *f);

/* An event that counts was forwarded in the current attempt. */
bool CaroEventForwarder_HasEvents(const CaroEventForwarder *f);

/* Id of the last event that the caller has; -1 for none. */
int64_t CaroEventForwarder_LastId(const CaroEventForwarder *f);

/* Time from the start of the request to the first event; -1 before it. */
CaroTime CaroEventForwarder_FirstWait(const CaroEventForwarder *f);

/* Longest time between two events, also of different attempts. */
CaroTime CaroEventForwarder_LongestGap(const CaroEventForwarder *f);

#endif
