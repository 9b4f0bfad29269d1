/*
 * NAME
 *     caro_stream_pass - a stream's events on their way to the caller
 *
 * Passes whole events only, over any number of runs, each of which has to
 * begin behind the last event of the one before.
 */
#ifndef CARO_STREAM_PASS_H
#define CARO_STREAM_PASS_H

#include "internal/caro_front.h"
#include "internal/caro_latency.h"

typedef struct CaroStreamPass CaroStreamPass;

/* The histograms are borrowed. */
CaroStreamPass *CaroStreamPass_Create(CaroLatency *latency, CaroTime started);
void CaroStreamPass_Destroy(CaroStreamPass *s);

/* The caller has events up to this id from before. */
void CaroStreamPass_SetLastId(CaroStreamPass *s, int64_t id);

/* Another run begins; what the last one left of an event is dropped. */
void CaroStreamPass_BeginRun(CaroStreamPass *s);

/*
 * Takes bytes of the present run and sends the whole events in them.
 * Returns their count, CARO_ERR_INPUT when the run does not begin where the
 * last one ended, or CARO_ERR_FULL when an event is too long.
 */
int CaroStreamPass_Feed(CaroStreamPass *s, CaroCall *call, CaroText bytes,
                        CaroTime now);

/* The present run has ended, or broken off, within an event. */
bool CaroStreamPass_IsInside(const CaroStreamPass *s);

/* The present run has given an event. */
bool CaroStreamPass_HasEvents(const CaroStreamPass *s);

/* Id of the last event that the caller has; -1 none. */
int64_t CaroStreamPass_LastId(const CaroStreamPass *s);

/* The caller's wait for its first event; -1 before it. */
CaroTime CaroStreamPass_First(const CaroStreamPass *s);

/* Its longest wait from one event to the next. */
CaroTime CaroStreamPass_LongestPause(const CaroStreamPass *s);

#endif
