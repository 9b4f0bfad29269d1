/*
 * NAME
 *     caro_latency - histograms of what callers wait for
 *
 * Bins grow by a fifth from 1 ms to 100 s; what lies outside counts in the
 * nearest bin.  The histograms are GSL's.
 */
#ifndef CARO_LATENCY_H
#define CARO_LATENCY_H

#include "internal/caro_types.h"

#include <event2/buffer.h>

typedef enum {
    CARO_LATENCY_PLAIN,       /* A plain answer, from the whole request on. */
    CARO_LATENCY_FIRST_EVENT, /* The first event of a stream. */
    CARO_LATENCY_GAP,         /* Between two events of one upstream. */
    CARO_LATENCY_UPSTREAM_CHANGE, /* Between two events of two upstreams. */
    CARO_LATENCIES
} CaroLatencyKind;

typedef struct CaroLatency CaroLatency;

CaroLatency *CaroLatency_Create(void);
void CaroLatency_Destroy(CaroLatency *l);

void CaroLatency_Add(CaroLatency *l, CaroLatencyKind kind, CaroTime wait);

/* Upper end of the bin that holds the quantile, in ms; 0 without samples. */
double CaroLatency_Quantile(const CaroLatency *l, CaroLatencyKind kind,
                            double q);

/* Lines "NAME_ms_le_BOUND COUNT", cumulative, and NAME_ms_count. */
void CaroLatency_Write(const CaroLatency *l, struct evbuffer *out);

#endif
