/*
 * NAME
 *     caro_latency - latency histograms, as seen by callers
 *
 * The bins range from 1 ms to 100 s, each 20 % wider than the one before.
 * Samples outside this range count in the nearest bin.
 */
#ifndef CARO_LATENCY_H
#define CARO_LATENCY_H

#include "internal/caro_types.h"

#include <event2/buffer.h>

/* Latencies measured at the caller's side of the gateway. */
typedef enum {
    CARO_LATENCY_PLAIN,       /* Plain response, since the complete request. */
    CARO_LATENCY_FIRST_EVENT, /* First event of a stream. */
    CARO_LATENCY_GAP,         /* Time between two events of one upstream. */
    CARO_LATENCY_UPSTREAM_CHANGE, /* Time between events of two upstreams. */
    CARO_LATENCIES
} CaroLatencyKind;

typedef struct CaroLatency CaroLatency;

/* Creates empty histograms, or returns NULL.  Destroy accepts NULL. */
CaroLatency *CaroLatency_Create(void);
void CaroLatency_Destroy(CaroLatency *l);

/* Adds one sample. */
void CaroLatency_Add(CaroLatency *l, CaroLatencyKind kind, CaroTime latency);

/* Returns the upper bound in ms of the bin that holds the quantile; 0 without
   samples. */
double CaroLatency_Quantile(const CaroLatency *l, CaroLatencyKind kind,
                            double q);

/* Appends lines "NAME_ms_le_BOUND COUNT" with cumulative counts of the bins
   that are not empty, and "NAME_ms_count COUNT". */
void CaroLatency_Write(const CaroLatency *l, struct evbuffer *out);

#endif
