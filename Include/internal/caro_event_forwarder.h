/*
 * NAME
 *     caro_event_forwarder - a stream's events on their way to the caller
 *
 * Passes whole events only, over any number of runs, each of which has to
 * begin behind the last event of the one before.
 */
#ifndef CARO_EVENT_FORWARDER_H
#define CARO_EVENT_FORWARDER_H

#include "internal/caro_http_server.h"
#include "internal/caro_latency.h"

typedef struct CaroEventForwarder CaroEventForwarder;

/* The histograms are borrowed. */
CaroEventForwarder *CaroEventForwarder_Create(CaroLatency *latency,
                                              CaroTime started);
void CaroEventForwarder_Destroy(CaroEventForwarder *s);

/* The caller has events up to this id from before. */
void CaroEventForwarder_SetLastId(CaroEventForwarder *s, int64_t id);

/* Another run begins; what the last one left of an event is dropped. */
void CaroEventForwarder_BeginRun(CaroEventForwarder *s);

/*
 * Takes bytes of the present run and sends the whole events in them.
 * Returns their count, CARO_ERR_INPUT when the run does not begin where the
 * last one ended, or CARO_ERR_FULL when an event is too long.
 */
int CaroEventForwarder_Feed(CaroEventForwarder *s, CaroCall *call,
                            CaroText bytes, CaroTime now);

/* The present run has ended, or broken off, within an event. */
bool CaroEventForwarder_IsInside(const CaroEventForwarder *s);

/* The present run has given an event. */
bool CaroEventForwarder_HasEvents(const CaroEventForwarder *s);

/* Id of the last event that the caller has; -1 none. */
int64_t CaroEventForwarder_LastId(const CaroEventForwarder *s);

/* The caller's wait for its first event; -1 before it. */
CaroTime CaroEventForwarder_First(const CaroEventForwarder *s);

/* Its longest wait from one event to the next. */
CaroTime CaroEventForwarder_LongestPause(const CaroEventForwarder *s);

#endif
