/*
 * NAME
 *     caro_usual_times - usual response times of the routes of each service,
 *     and whether an attempt takes several times as long
 *
 * Of a stream, the wait for the first event and the pace of the events after
 * it are measured separately, so that a slow one is noticed before it ends.
 * The wait is measured for each prompt token, since prompts differ in length
 * and an engine reads them one after the other.
 */
#ifndef CARO_USUAL_TIMES_H
#define CARO_USUAL_TIMES_H

#include "internal/caro_types.h"

#include <stdbool.h>

/* Successive events whose time is the pace of a stream. */
enum { CARO_PACE_EVENTS = 8 };

/* What is measured of an attempt. */
typedef enum {
    CARO_MEASURE_RESPONSE, /* Plain request: the whole response. */
    CARO_MEASURE_WAIT,     /* Stream: until the first event. */
    CARO_MEASURE_PACE      /* Stream: the fastest CARO_PACE_EVENTS events. */
} CaroMeasure;

/* The work of an attempt; the names are borrowed. */
typedef struct {
    const char *service;
    const char *route;
    int prompt_tokens; /* At least 1 for CARO_MEASURE_WAIT. */
    int tokens_ahead;  /* Prompts that the upstream had to read first. */
} CaroWork;

typedef struct CaroUsualTimes CaroUsualTimes;

/* Creates an empty table, or returns NULL.  Destroy accepts NULL. */
CaroUsualTimes *CaroUsualTimes_Create(void);
void CaroUsualTimes_Destroy(CaroUsualTimes *t);

/* Adds an attempt that took "duration". */
void CaroUsualTimes_Add(CaroUsualTimes *t, CaroMeasure measure,
                        const CaroWork *work, CaroTime duration);

/*
 * Returns the duration above which such an attempt is slow: a multiple of
 * what is usual on its route or, if nothing is known of the route, for its
 * service; 0 when unknown.
 */
CaroTime CaroUsualTimes_Limit(const CaroUsualTimes *t, CaroMeasure measure,
                              const CaroWork *work);

#endif
