/* Latency histograms, as seen by callers. */
#include "internal/caro_latency.h"

#include <assert.h>
#include <gsl/gsl_histogram.h>
#include <math.h>
#include <stdlib.h>

#define LATENCY_MS_MIN 1.0
#define LATENCY_MS_MAX 100000.0
#define BIN_GROWTH_FACTOR 1.2
enum { BINS = 64 }; /* log(MAX / MIN) / log(BIN_GROWTH_FACTOR), rounded up. */

static const char *const names[CARO_LATENCIES] = {
    [CARO_LATENCY_PLAIN] = "plain_answer",
    [CARO_LATENCY_FIRST_EVENT] = "stream_first_event",
    [CARO_LATENCY_GAP] = "stream_gap",
    [CARO_LATENCY_UPSTREAM_CHANGE] = "stream_gap_over_change_of_upstream",
};

struct CaroLatency {
    gsl_histogram *histograms[CARO_LATENCIES];
};

CaroLatency *
CaroLatency_Create(void)
{
    double bounds[BINS + 1];
    CaroLatency *l = calloc(1, sizeof(*l));
    if (l == NULL) {
        return NULL;
    }
    for (int i = 0; i <= BINS; i++) {
        bounds[i] = LATENCY_MS_MIN * pow(BIN_GROWTH_FACTOR, i);
    }
    bounds[0] = 0.0;
    for (int i = 0; i < CARO_LATENCIES; i++) {
        l->histograms[i] = gsl_histogram_alloc(BINS);
        if (l->histograms[i] == NULL) {
            CaroLatency_Destroy(l);
            return NULL;
        }
        (void)gsl_histogram_set_ranges(l->histograms[i], bounds, BINS + 1);
    }
    return l;
}

void
CaroLatency_Destroy(CaroLatency *l)
{
    if (l == NULL) {
        return;
    }
    for (int i = 0; i < CARO_LATENCIES; i++) {
        if (l->histograms[i] != NULL) {
            gsl_histogram_free(l->histograms[i]);
        }
    }
    free(l);
}

void
CaroLatency_Add(CaroLatency *l, CaroLatencyKind kind, CaroTime latency)
{
    double ms = (double)latency / (double)CARO_MS;
    assert(kind >= 0 && kind < CARO_LATENCIES);
    ms = ms < 0.0 ? 0.0 : ms > LATENCY_MS_MAX ? LATENCY_MS_MAX : ms;
    (void)gsl_histogram_increment(l->histograms[kind], ms);
}

double
CaroLatency_Quantile(const CaroLatency *l, CaroLatencyKind kind, double q)
{
    const gsl_histogram *h = l->histograms[kind];
    double remaining = q * gsl_histogram_sum(h);
    double lower;
    double upper = 0.0;
    if (remaining <= 0.0) {
        return 0.0;
    }
    for (size_t i = 0; i < BINS && remaining > 0.0; i++) {
        remaining -= gsl_histogram_get(h, i);
        (void)gsl_histogram_get_range(h, i, &lower, &upper);
    }
    return upper;
}

void
CaroLatency_Write(const CaroLatency *l, struct evbuffer *out)
{
    for (int kind = 0; kind < CARO_LATENCIES; kind++) {
        const gsl_histogram *h = l->histograms[kind];
        double sum = 0.0;
        for (size_t i = 0; i < BINS; i++) {
            double lower;
            double upper;
            double n = gsl_histogram_get(h, i);
            (void)gsl_histogram_get_range(h, i, &lower, &upper);
            sum += n;
            if (n > 0.0) {
                evbuffer_add_printf(out, "%s_ms_le_%.0f %.0f\n", names[kind],
                                    upper, sum);
            }
        }
        evbuffer_add_printf(out, "%s_ms_count %.0f\n", names[kind], sum);
    }
}
