/*
 * Configured upstreams with their load and health.
 *
 * Token waits are kept in histograms with logarithmic bins.  The counts are
 * halved at a limit, so that the percentile follows the recent behaviour of
 * an upstream.  The percentile is recomputed every few samples instead of on
 * each token.
 */
#include "internal/caro_upstreams.h"

#include <assert.h>
#include <gsl/gsl_histogram.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    WAIT_BINS = 48,
    REFRESH_SAMPLES = 64,  /* Samples between two percentile updates. */
    CAPACITY_DEFAULT = 16, /* Sequences, before the first load report. */
    HALVE_SAMPLES = 4096   /* Samples at which the counts are halved. */
};

/* Prompt tokens awaiting prefill that count as much as a full batch. */
#define PREFILL_TOKENS_FULL 8192.0

#define WAIT_US_MIN 1000.0
#define WAIT_US_MAX 20000000.0
#define WAIT_QUANTILE 0.99
/* Timeouts as multiples of the quantile. */
#define SILENCE_FACTOR 4.0
#define FIRST_TOKEN_FACTOR 3.0
/* A load report older than this says nothing about available slots.  Its
   weight in the load falls to zero over REPORT_DECAY_TIME. */
#define REPORT_AGE_MAX (6 * CARO_SECOND)
#define REPORT_DECAY_TIME (4 * CARO_SECOND)
/* Delay before the probe of a failed upstream. */
#define AVOID_DELAY_MIN (500 * CARO_MS)
#define AVOID_DELAY_MAX (30 * CARO_SECOND)
/* A suspicion ends after this time if no token ends it before. */
#define SUSPECT_TTL (2 * CARO_SECOND)
/* Failures within this time count towards the failure of a domain. */
#define DOMAIN_FAILURE_WINDOW (3 * CARO_SECOND)

/* Distribution of the waits for a token. */
typedef struct {
    gsl_histogram *bins;
    uint32_t samples;
    CaroTime p99; /* The 99th percentile; 0 before the first update. */
} WaitHistogram;

typedef struct {
    CaroUpstream u;
    WaitHistogram gaps;
    WaitHistogram first_tokens;
    CaroTime failed_at;
    CaroTime suspected_until; /* Set when a stream becomes silent. */
    CaroTime suspected_at;
    CaroTime last_heard_at; /* Last token of any stream. */
    bool is_configured;     /* Present in the configuration being applied. */
} Entry;

struct CaroUpstreams {
    Entry entries[CARO_UPSTREAMS_MAX];
    int n;
};

static bool
wait_histogram_init(WaitHistogram *m)
{
    double edges[WAIT_BINS + 1];
    double ratio = pow(WAIT_US_MAX / WAIT_US_MIN, 1.0 / (WAIT_BINS - 1));
    edges[0] = 0.0;
    double edge = WAIT_US_MIN;
    for (int i = 1; i <= WAIT_BINS; i++) {
        edges[i] = edge;
        edge *= ratio;
    }
    m->bins = gsl_histogram_alloc(WAIT_BINS);
    if (m->bins == NULL) {
        return false;
    }
    gsl_histogram_set_ranges(m->bins, edges, WAIT_BINS + 1);
    return true;
}

static void
wait_histogram_refresh(WaitHistogram *m)
{
    double total = gsl_histogram_sum(m->bins);
    double sum = 0.0;
    for (size_t i = 0; i < WAIT_BINS; i++) {
        sum += gsl_histogram_get(m->bins, i);
        if (sum >= total * WAIT_QUANTILE) {
            double low;
            double high;
            gsl_histogram_get_range(m->bins, i, &low, &high);
            m->p99 = (CaroTime)high;
            return;
        }
    }
}

static void
wait_histogram_add(WaitHistogram *m, CaroTime wait)
{
    double us = wait < 0 ? 0.0 : (double)wait;
    if (us >= WAIT_US_MAX) {
        us = WAIT_US_MAX * 0.999;
    }
    gsl_histogram_increment(m->bins, us);
    m->samples++;
    if (m->samples % REFRESH_SAMPLES == 0) {
        wait_histogram_refresh(m);
    }
    if (m->samples >= HALVE_SAMPLES) {
        gsl_histogram_scale(m->bins, 0.5);
        m->samples /= 2;
    }
}

static CaroTime
wait_histogram_timeout(const WaitHistogram *m, double factor, CaroTime floor,
                       CaroTime ceiling)
{
    if (m->p99 == 0) {
        return ceiling;
    }
    CaroTime timeout = (CaroTime)((double)m->p99 * factor);
    if (timeout < floor) {
        return floor;
    }
    return timeout > ceiling ? ceiling : timeout;
}

CaroUpstreams *
CaroUpstreams_Create(void)
{
    return calloc(1, sizeof(CaroUpstreams));
}

void
CaroUpstreams_Destroy(CaroUpstreams *t)
{
    if (t == NULL) {
        return;
    }
    for (int i = 0; i < t->n; i++) {
        gsl_histogram_free(t->entries[i].gaps.bins);
        gsl_histogram_free(t->entries[i].first_tokens.bins);
    }
    free(t);
}

/* Returns an entry that is not configured and has no requests, or NULL. */
static Entry *
find_unused(CaroUpstreams *t)
{
    for (int i = 0; i < t->n; i++) {
        Entry *e = &t->entries[i];
        if (e->u.is_leaving && !e->is_configured && e->u.in_flight == 0) {
            return e;
        }
    }
    return NULL;
}

/* Clears an unused entry of a full table for another upstream; NULL if there
   is none. */
static Entry *
reuse_entry(CaroUpstreams *t)
{
    Entry *e = find_unused(t);
    if (e == NULL) {
        return NULL;
    }
    WaitHistogram gaps = e->gaps;
    WaitHistogram first_tokens = e->first_tokens;
    gsl_histogram_reset(gaps.bins);
    gsl_histogram_reset(first_tokens.bins);
    memset(e, 0, sizeof(*e));
    e->gaps.bins = gaps.bins;
    e->first_tokens.bins = first_tokens.bins;
    return e;
}

static void
init_entry(Entry *e)
{
    e->u.reported_at = -REPORT_DECAY_TIME;
    e->failed_at = -DOMAIN_FAILURE_WINDOW;
    e->suspected_at = -DOMAIN_FAILURE_WINDOW;
    e->last_heard_at = -1;
}

static Entry *
add_entry(CaroUpstreams *t)
{
    if (t->n == CARO_UPSTREAMS_MAX) {
        Entry *old = reuse_entry(t);
        if (old != NULL) {
            init_entry(old);
        }
        return old;
    }
    Entry *e = &t->entries[t->n];
    memset(e, 0, sizeof(*e));
    if (!wait_histogram_init(&e->gaps)) {
        return NULL;
    }
    if (!wait_histogram_init(&e->first_tokens)) {
        gsl_histogram_free(e->gaps.bins);
        return NULL;
    }
    init_entry(e);
    t->n++;
    return e;
}

CaroHandle
CaroUpstreams_Put(CaroUpstreams *t, const CaroUpstream *u)
{
    CaroHandle h = CaroUpstreams_Find(t, u->name);
    Entry *e = h == CARO_NO_HANDLE ? add_entry(t) : &t->entries[h];
    if (e == NULL) {
        return CARO_NO_HANDLE;
    }
    CARO_COPY(e->u.name, u->name);
    CARO_COPY(e->u.address, u->address);
    CARO_COPY(e->u.domain, u->domain);
    CARO_COPY(e->u.deployment, u->deployment);
    CARO_COPY(e->u.version, u->version);
    e->u.kind = u->kind;
    e->u.is_leaving = u->is_leaving;
    e->is_configured = true;
    return (CaroHandle)(e - t->entries);
}

void
CaroUpstreams_BeginUpdate(CaroUpstreams *t)
{
    for (int i = 0; i < t->n; i++) {
        t->entries[i].is_configured = false;
    }
}

void
CaroUpstreams_EndUpdate(CaroUpstreams *t)
{
    for (int i = 0; i < t->n; i++) {
        if (!t->entries[i].is_configured) {
            t->entries[i].u.is_leaving = true;
        }
    }
}

CaroUpstream *
CaroUpstreams_Get(CaroUpstreams *t, CaroHandle h)
{
    assert(h >= 0 && h < t->n);
    return &t->entries[h].u;
}

int
CaroUpstreams_Count(const CaroUpstreams *t)
{
    return t->n;
}

CaroHandle
CaroUpstreams_Find(const CaroUpstreams *t, const char *name)
{
    for (int i = 0; i < t->n; i++) {
        if (strcmp(t->entries[i].u.name, name) == 0) {
            return i;
        }
    }
    return CARO_NO_HANDLE;
}

void
CaroUpstreams_BeginAttempt(CaroUpstreams *t, CaroHandle h)
{
    t->entries[h].u.in_flight++;
    t->entries[h].u.started_since++;
    t->entries[h].u.requests_total++;
}

void
CaroUpstreams_EndAttempt(CaroUpstreams *t, CaroHandle h)
{
    assert(t->entries[h].u.in_flight > 0);
    t->entries[h].u.in_flight--;
}

void
CaroUpstreams_RecordLoad(CaroUpstreams *t, CaroHandle h, int running,
                         int waiting, int capacity, CaroTime now)
{
    CaroUpstream *u = &t->entries[h].u;
    u->reported_running = running;
    u->reported_waiting = waiting;
    u->capacity = capacity;
    u->reported_at = now;
    u->started_since = 0;
}

void
CaroUpstreams_RecordFailure(CaroUpstreams *t, CaroHandle h, CaroTime now)
{
    Entry *e = &t->entries[h];
    CaroTime delay = AVOID_DELAY_MIN;
    for (int i = 0; i < e->u.failures && delay < AVOID_DELAY_MAX; i++) {
        delay *= 2;
    }
    /* Streams that fail together, for one cause, count as one failure. */
    e->u.is_probed = false;
    if (now >= e->u.avoided_until) {
        e->u.failures++;
        e->u.avoided_until =
            now + (delay > AVOID_DELAY_MAX ? AVOID_DELAY_MAX : delay);
    }
    e->u.failures_total++;
    e->failed_at = now;
}

void
CaroUpstreams_RecordProbe(CaroUpstreams *t, CaroHandle h)
{
    t->entries[h].u.is_probed = true;
}

bool
CaroUpstreams_NeedsProbe(const CaroUpstreams *t, CaroHandle h, CaroTime now)
{
    const CaroUpstream *u = &t->entries[h].u;
    return !u->is_leaving && u->failures > 0 && !u->is_probed &&
           now >= u->avoided_until;
}

void
CaroUpstreams_AddPrefill(CaroUpstreams *t, CaroHandle h, int64_t tokens)
{
    t->entries[h].u.prefill_pending += tokens;
    assert(t->entries[h].u.prefill_pending >= 0);
}

void
CaroUpstreams_RecordSuccess(CaroUpstreams *t, CaroHandle h)
{
    t->entries[h].u.failures = 0;
    t->entries[h].u.avoided_until = 0;
}

void
CaroUpstreams_Suspect(CaroUpstreams *t, CaroHandle h, CaroTime now)
{
    t->entries[h].suspected_until = now + SUSPECT_TTL;
    t->entries[h].suspected_at = now;
}

void
CaroUpstreams_RecordHeard(CaroUpstreams *t, CaroHandle h, CaroTime now)
{
    t->entries[h].suspected_until = 0;
    t->entries[h].last_heard_at = now;
}

bool
CaroUpstreams_IsSuspected(const CaroUpstreams *t, CaroHandle h, CaroTime now)
{
    return now < t->entries[h].suspected_until;
}

double
CaroUpstreams_Load(const CaroUpstreams *t, CaroHandle h, CaroTime now)
{
    const CaroUpstream *u = &t->entries[h].u;
    CaroTime age = now - u->reported_at;
    double weight = 0.0;
    if (age < REPORT_DECAY_TIME) {
        weight = 1.0 - (double)age / (double)REPORT_DECAY_TIME;
    }
    double others = u->reported_running + u->reported_waiting - u->in_flight;
    if (others < 0.0) {
        others = 0.0;
    }
    double load = u->in_flight + weight * others;
    int capacity = u->capacity > 0 ? u->capacity : CAPACITY_DEFAULT;
    return load / capacity + (double)u->prefill_pending / PREFILL_TOKENS_FULL;
}

int
CaroUpstreams_AvailableSlots(const CaroUpstreams *t, CaroHandle h,
                             CaroTime now)
{
    const CaroUpstream *u = &t->entries[h].u;
    if (now - u->reported_at > REPORT_AGE_MAX) {
        return 0;
    }
    int used = u->reported_running + u->reported_waiting + u->started_since;
    return used < u->capacity ? u->capacity - used : 0;
}

bool
CaroUpstreams_IsUsable(const CaroUpstreams *t, CaroHandle h, CaroTime now)
{
    const CaroUpstream *u = &t->entries[h].u;
    bool is_trusted = u->failures == 0 || u->is_probed;
    return !u->is_leaving && now >= u->avoided_until && is_trusted &&
           !CaroUpstreams_IsSuspected(t, h, now);
}

/* Time of the last failure or suspicion, when it is within the window and no
   token has arrived since; else -1. */
static CaroTime
recent_failure_at(const Entry *e, CaroTime now)
{
    CaroTime at =
        e->failed_at > e->suspected_at ? e->failed_at : e->suspected_at;
    return now - at < DOMAIN_FAILURE_WINDOW && at > e->last_heard_at ? at : -1;
}

bool
CaroUpstreams_IsDomainSuspected(const CaroUpstreams *t, const char *domain,
                                CaroTime now)
{
    int bad = 0;
    CaroTime first_bad = now;
    CaroTime last_heard = -1;
    for (int i = 0; i < t->n; i++) {
        const Entry *e = &t->entries[i];
        if (strcmp(e->u.domain, domain) != 0 || e->u.is_leaving) {
            continue;
        }
        CaroTime at = recent_failure_at(e, now);
        if (at >= 0) {
            bad++;
            first_bad = at < first_bad ? at : first_bad;
        }
        else if (e->last_heard_at > last_heard) {
            last_heard = e->last_heard_at;
        }
    }
    return bad >= 2 && last_heard < first_bad;
}

void
CaroUpstreams_RecordTokenGap(CaroUpstreams *t, CaroHandle h, CaroTime gap)
{
    wait_histogram_add(&t->entries[h].gaps, gap);
}

void
CaroUpstreams_RecordFirstToken(CaroUpstreams *t, CaroHandle h, CaroTime wait)
{
    wait_histogram_add(&t->entries[h].first_tokens, wait);
}

CaroTime
CaroUpstreams_SilenceTimeout(const CaroUpstreams *t, CaroHandle h,
                             CaroTime floor, CaroTime ceiling)
{
    return wait_histogram_timeout(&t->entries[h].gaps, SILENCE_FACTOR, floor,
                                  ceiling);
}

CaroTime
CaroUpstreams_FirstTokenTimeout(const CaroUpstreams *t, CaroHandle h,
                                CaroTime floor, CaroTime ceiling)
{
    return wait_histogram_timeout(&t->entries[h].first_tokens,
                                  FIRST_TOKEN_FACTOR, floor, ceiling);
}
