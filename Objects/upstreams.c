/*
 * The table of upstreams.
 *
 * Gaps are kept in log-spaced histograms that are halved when they have
 * seen enough, so that an upstream's judgement follows its recent
 * behaviour.  The percentile is computed at intervals, not on each token.
 */
#include "internal/caro_upstreams.h"

#include <assert.h>
#include <gsl/gsl_histogram.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    GAP_BINS = 48,
    GAP_REFRESH = 64,      /* Observations between two percentiles. */
    CAPACITY_ASSUMED = 16, /* Of an engine that has not reported. */
    GAP_HALVE_AT = 4096    /* Observations after which counts are halved. */
};

/* Pending prompt tokens that weigh as much as a full batch. */
#define PREFILL_FULL 8192.0

#define GAP_LOW_US 1000.0
#define GAP_HIGH_US 20000000.0
#define GAP_PERCENTILE 0.99
#define GAP_FACTOR 4.0
#define FIRST_FACTOR 3.0
#define REPORT_OLD (6 * CARO_SECOND)
#define REPORT_FADE (4 * CARO_SECOND)
#define AVOID_FIRST (500 * CARO_MS)
#define AVOID_MOST (30 * CARO_SECOND)
#define DOUBT_TIME (2 * CARO_SECOND)
#define DOMAIN_WINDOW (3 * CARO_SECOND)

typedef struct {
    gsl_histogram *bins;
    uint32_t seen;
    CaroTime high; /* The percentile, or 0 before the first. */
} GapModel;

typedef struct {
    CaroUpstream u;
    GapModel gaps;
    GapModel firsts;
    CaroTime failed_at;
    CaroTime doubted_until; /* A stream fell silent. */
    CaroTime doubted_at;
    CaroTime last_heard_at; /* Last token of any stream. */
    bool is_kept;           /* Named by the configuration being applied. */
} Entry;

struct CaroUpstreams {
    Entry entries[CARO_UPSTREAMS_MAX];
    int n;
};

static bool
gap_model_init(GapModel *m)
{
    double edges[GAP_BINS + 1];
    double ratio = pow(GAP_HIGH_US / GAP_LOW_US, 1.0 / (GAP_BINS - 1));
    edges[0] = 0.0;
    double edge = GAP_LOW_US;
    for (int i = 1; i <= GAP_BINS; i++) {
        edges[i] = edge;
        edge *= ratio;
    }
    m->bins = gsl_histogram_alloc(GAP_BINS);
    if (m->bins == NULL) {
        return false;
    }
    gsl_histogram_set_ranges(m->bins, edges, GAP_BINS + 1);
    return true;
}

static void
gap_model_refresh(GapModel *m)
{
    double total = gsl_histogram_sum(m->bins);
    double sum = 0.0;
    for (size_t i = 0; i < GAP_BINS; i++) {
        sum += gsl_histogram_get(m->bins, i);
        if (sum >= total * GAP_PERCENTILE) {
            double low;
            double high;
            gsl_histogram_get_range(m->bins, i, &low, &high);
            m->high = (CaroTime)high;
            return;
        }
    }
}

static void
gap_model_add(GapModel *m, CaroTime gap)
{
    double us = gap < 0 ? 0.0 : (double)gap;
    if (us >= GAP_HIGH_US) {
        us = GAP_HIGH_US * 0.999;
    }
    gsl_histogram_increment(m->bins, us);
    m->seen++;
    if (m->seen % GAP_REFRESH == 0) {
        gap_model_refresh(m);
    }
    if (m->seen >= GAP_HALVE_AT) {
        gsl_histogram_scale(m->bins, 0.5);
        m->seen /= 2;
    }
}

static CaroTime
gap_model_limit(const GapModel *m, double factor, CaroTime floor,
                CaroTime ceiling)
{
    if (m->high == 0) {
        return ceiling;
    }
    CaroTime limit = (CaroTime)((double)m->high * factor);
    if (limit < floor) {
        return floor;
    }
    return limit > ceiling ? ceiling : limit;
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
        gsl_histogram_free(t->entries[i].firsts.bins);
    }
    free(t);
}

/* An entry that the configuration dropped and nothing uses, or NULL. */
static Entry *
find_unused(CaroUpstreams *t)
{
    for (int i = 0; i < t->n; i++) {
        Entry *e = &t->entries[i];
        if (e->u.is_leaving && !e->is_kept && e->u.in_flight == 0) {
            return e;
        }
    }
    return NULL;
}

/* A full table takes over an entry that is not used any more. */
static Entry *
reuse_entry(CaroUpstreams *t)
{
    Entry *e = find_unused(t);
    if (e == NULL) {
        return NULL;
    }
    GapModel gaps = e->gaps;
    GapModel firsts = e->firsts;
    gsl_histogram_reset(gaps.bins);
    gsl_histogram_reset(firsts.bins);
    memset(e, 0, sizeof(*e));
    e->gaps.bins = gaps.bins;
    e->firsts.bins = firsts.bins;
    return e;
}

static void
start_entry(Entry *e)
{
    e->u.reported_at = -REPORT_FADE;
    e->failed_at = -DOMAIN_WINDOW;
    e->doubted_at = -DOMAIN_WINDOW;
    e->last_heard_at = -1;
}

static Entry *
add_entry(CaroUpstreams *t)
{
    if (t->n == CARO_UPSTREAMS_MAX) {
        Entry *old = reuse_entry(t);
        if (old != NULL) {
            start_entry(old);
        }
        return old;
    }
    Entry *e = &t->entries[t->n];
    memset(e, 0, sizeof(*e));
    if (!gap_model_init(&e->gaps)) {
        return NULL;
    }
    if (!gap_model_init(&e->firsts)) {
        gsl_histogram_free(e->gaps.bins);
        return NULL;
    }
    start_entry(e);
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
    e->is_kept = true;
    return (CaroHandle)(e - t->entries);
}

void
CaroUpstreams_BeginUpdate(CaroUpstreams *t)
{
    for (int i = 0; i < t->n; i++) {
        t->entries[i].is_kept = false;
    }
}

void
CaroUpstreams_EndUpdate(CaroUpstreams *t)
{
    for (int i = 0; i < t->n; i++) {
        if (!t->entries[i].is_kept) {
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
    CaroTime wait = AVOID_FIRST;
    for (int i = 0; i < e->u.failures && wait < AVOID_MOST; i++) {
        wait *= 2;
    }
    /* Streams of one loss fail together and count as one failure. */
    e->u.is_probed = false;
    if (now >= e->u.avoided_until) {
        e->u.failures++;
        e->u.avoided_until = now + (wait > AVOID_MOST ? AVOID_MOST : wait);
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
    t->entries[h].doubted_until = now + DOUBT_TIME;
    t->entries[h].doubted_at = now;
}

void
CaroUpstreams_RecordHeard(CaroUpstreams *t, CaroHandle h, CaroTime now)
{
    t->entries[h].doubted_until = 0;
    t->entries[h].last_heard_at = now;
}

bool
CaroUpstreams_IsSuspected(const CaroUpstreams *t, CaroHandle h, CaroTime now)
{
    return now < t->entries[h].doubted_until;
}

double
CaroUpstreams_Load(const CaroUpstreams *t, CaroHandle h, CaroTime now)
{
    const CaroUpstream *u = &t->entries[h].u;
    CaroTime age = now - u->reported_at;
    double weight = 0.0;
    if (age < REPORT_FADE) {
        weight = 1.0 - (double)age / (double)REPORT_FADE;
    }
    double others = u->reported_running + u->reported_waiting - u->in_flight;
    if (others < 0.0) {
        others = 0.0;
    }
    double load = u->in_flight + weight * others;
    int capacity = u->capacity > 0 ? u->capacity : CAPACITY_ASSUMED;
    return load / capacity + (double)u->prefill_pending / PREFILL_FULL;
}

int
CaroUpstreams_AvailableSlots(const CaroUpstreams *t, CaroHandle h,
                             CaroTime now)
{
    const CaroUpstream *u = &t->entries[h].u;
    if (now - u->reported_at > REPORT_OLD) {
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

/* Time of the upstream's newest bad sign within the window, or -1. */
static CaroTime
bad_sign(const Entry *e, CaroTime now)
{
    CaroTime at = e->failed_at > e->doubted_at ? e->failed_at : e->doubted_at;
    return now - at < DOMAIN_WINDOW && at > e->last_heard_at ? at : -1;
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
        CaroTime at = bad_sign(e, now);
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
    gap_model_add(&t->entries[h].gaps, gap);
}

void
CaroUpstreams_RecordFirstToken(CaroUpstreams *t, CaroHandle h, CaroTime wait)
{
    gap_model_add(&t->entries[h].firsts, wait);
}

CaroTime
CaroUpstreams_SilenceTimeout(const CaroUpstreams *t, CaroHandle h,
                             CaroTime floor, CaroTime ceiling)
{
    return gap_model_limit(&t->entries[h].gaps, GAP_FACTOR, floor, ceiling);
}

CaroTime
CaroUpstreams_FirstTokenTimeout(const CaroUpstreams *t, CaroHandle h,
                                CaroTime floor, CaroTime ceiling)
{
    return gap_model_limit(&t->entries[h].firsts, FIRST_FACTOR, floor,
                           ceiling);
}
