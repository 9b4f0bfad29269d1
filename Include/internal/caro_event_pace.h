/*
 * NAME
 *     caro_event_pace - what streams of an upstream showed lately
 *
 * Keeps, for each start of an upstream, the longest recent interval between
 * two events of a stream of this VM, and the prefill time of a prompt token.
 * All streams of an engine advance by the same steps, so that the intervals of
 * one hold for the others.  The memory is bounded: the start that was observed
 * longest ago gives way to a new one.
 */
#ifndef CARO_EVENT_PACE_H
#define CARO_EVENT_PACE_H

#include "internal/caro_types.h"

typedef struct CaroEventPace CaroEventPace;

/* Returns NULL without memory.  Destroy accepts NULL. */
CaroEventPace *CaroEventPace_Create(void);
void CaroEventPace_Destroy(CaroEventPace *p);

/* Records the interval between two events of a stream at the start. */
void CaroEventPace_RecordInterval(CaroEventPace *p, uint32_t start_hash,
                                  CaroTime interval, CaroTime now);

/* Records the time to the first event of a prompt that did not queue behind
   others, for the start and for its service.  Prompts too short to show the
   rate are ignored. */
void CaroEventPace_RecordPrefill(CaroEventPace *p, uint32_t start_hash,
                                 const char *service, int tokens,
                                 CaroTime wait, CaroTime now);

/*
 * Returns the longest interval recorded for the start, which halves every
 * second that no longer one is recorded; 0 if none was recorded for ten
 * seconds.
 */
CaroTime CaroEventPace_LongestInterval(const CaroEventPace *p,
                                       uint32_t start_hash, CaroTime now);

/* Returns the microseconds per prompt token at the start, else the mean of the
   service, or 0 if neither is known. */
double CaroEventPace_PrefillTime(const CaroEventPace *p, uint32_t start_hash,
                                 const char *service);

/* Returns the number of intervals recorded for the start; it may return to 0
   when the start is recorded anew. */
uint32_t CaroEventPace_Count(const CaroEventPace *p, uint32_t start_hash);

#endif
