/* Estimates of the speed and the memory of each start of an engine. */
#include "internal/caro_engine_pace.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Used while no engine of a service has a sample: 8 tokens per ms. */
#define DEFAULT_PREFILL_US 125.0
#define DEFAULT_EVENT_US 30000.0
/* Tokens that an engine is taken to hold until one of its service has rejected
   a prompt. */
#define DEFAULT_MEMORY 88000.0
/* The weight of a sample decreases by e in this time. */
#define SAMPLE_AGE_SCALE (300 * CARO_SECOND)
/* An entry without a sample for so long is removed. */
#define ENTRY_TTL (900 * CARO_SECOND)
#define MEMORY_TTL (600 * CARO_SECOND)
#define SWEEP_INTERVAL (60 * CARO_SECOND)
#define MEDIAN_INTERVAL (2 * CARO_SECOND)
/* Weight of the prior relative to that of a new sample. */
#define PRIOR_WEIGHT 0.5
/* Samples of less weight together, as a single one, count as at most this
   factor from the prior. */
#define FIRM_WEIGHT 1.2
#define SINGLE_FACTOR_MAX 2.0
/* A shorter prompt says little, since its prefill takes hardly longer than
   the messages. */
#define SAMPLE_TOKENS_MIN 512
/* Messages between the VM and the engine until the first event, in us. */
#define MESSAGES_US 5000.0
/* An engine that rejects while it holds less than about two prompts does so
   for another reason than its memory. */
#define REJECTION_TOKENS_MIN 16384.0

enum {
    SAMPLES = 8,
    MEDIAN_ENTRIES_MAX = 512,
    /* Engines after which the others of the service are taken to hold as many
       tokens. */
    MEMORY_ENGINES_MIN = 3,
    /* Reports that have a sample. */
    SAMPLE_REPORTS = 3,
    /* Bounds of what is believed. */
    PREFILL_NS_MIN = 1000,
    PREFILL_NS_MAX = 100000000,
    EVENT_US_MAX = 60000000,
    MEMORY_MAX = 1 << 28,
    AGE_MS_MAX = 3600000
};

typedef struct Service {
    char name[CARO_NAME_SIZE];
    double prefill_us; /* Medians over its engines. */
    double event_us;
    double memory; /* Median of what was learned of its engines. */
    int n_memory;  /* Engines of which something was learned. */
    CaroTime median_at;
    bool is_median_known;
    UT_hash_handle hh;
} Service;

typedef struct {
    double us;
    CaroTime at;
} Sample;

typedef struct Entry {
    uint32_t start;
    Service *service;
    Sample prefill[SAMPLES];
    Sample events[SAMPLES];
    int n_prefill; /* Samples so far, of which the last SAMPLES are kept. */
    int n_events;
    double memory; /* Learned from rejections; 0 for none. */
    CaroTime memory_at;
    CaroTime used_at;
    UT_hash_handle hh;
} Entry;

/* Samples of another VM up to next were taken in. */
typedef struct Sender {
    char name[CARO_NAME_SIZE];
    uint64_t boot_id;
    uint32_t next;
    CaroTime used_at;
    UT_hash_handle hh;
} Sender;

typedef struct {
    caro_pace_sample sample;
    CaroTime at;
    int reports_left;
} Outgoing;

struct CaroEnginePace {
    Service *services;
    Entry *entries;
    Sender *senders;
    Outgoing outgoing[CARO_PACE_SAMPLES_MAX];
    uint32_t next; /* Number of the next own sample. */
    CaroTime swept_at;
};

CaroEnginePace *
CaroEnginePace_Create(void)
{
    return calloc(1, sizeof(CaroEnginePace));
}

static void
remove_old(CaroEnginePace *p, CaroTime before)
{
    Entry *e;
    Entry *next_entry;
    Sender *s;
    Sender *next_sender;
    HASH_ITER(hh, p->entries, e, next_entry)
    {
        if (e->used_at < before) {
            HASH_DEL(p->entries, e);
            free(e);
        }
    }
    HASH_ITER(hh, p->senders, s, next_sender)
    {
        if (s->used_at < before) {
            HASH_DEL(p->senders, s);
            free(s);
        }
    }
}

void
CaroEnginePace_Destroy(CaroEnginePace *p)
{
    Service *s;
    Service *next;
    if (p == NULL) {
        return;
    }
    remove_old(p, INT64_MAX);
    HASH_ITER(hh, p->services, s, next)
    {
        HASH_DEL(p->services, s);
        free(s);
    }
    free(p);
}

static Service *
find_service(const CaroEnginePace *p, const char *name)
{
    Service *s;
    HASH_FIND(hh, p->services, name, strlen(name), s);
    return s;
}

static Entry *
find_entry(const CaroEnginePace *p, uint32_t start)
{
    Entry *e;
    HASH_FIND(hh, p->entries, &start, sizeof(start), e);
    return e;
}

static Service *
get_or_create_service(CaroEnginePace *p, const char *name)
{
    Service *s = find_service(p, name);
    if (s == NULL && (s = calloc(1, sizeof(*s))) != NULL) {
        CARO_COPY(s->name, name);
        s->prefill_us = DEFAULT_PREFILL_US;
        s->event_us = DEFAULT_EVENT_US;
        HASH_ADD_KEYPTR(hh, p->services, s->name, strlen(s->name), s);
    }
    return s;
}

/* Returns NULL without memory, or when there are as many entries as targets.
 */
static Entry *
get_or_create_entry(CaroEnginePace *p, const CaroTarget *target, CaroTime now)
{
    if (now - p->swept_at >= SWEEP_INTERVAL) {
        p->swept_at = now;
        remove_old(p, now - ENTRY_TTL);
    }
    Entry *e = find_entry(p, target->start_hash);
    if (e == NULL) {
        Service *s = get_or_create_service(p, target->entry.service);
        if (s == NULL || HASH_COUNT(p->entries) >= CARO_TARGETS_MAX ||
            (e = calloc(1, sizeof(*e))) == NULL) {
            return NULL;
        }
        e->start = target->start_hash;
        e->service = s;
        HASH_ADD(hh, p->entries, start, sizeof(e->start), e);
    }
    e->used_at = now > e->used_at ? now : e->used_at;
    return e;
}

/* --- estimates --- */

static int
compare_us(const void *a, const void *b)
{
    double us_a = ((const Sample *)a)->us;
    double us_b = ((const Sample *)b)->us;
    return (us_a > us_b) - (us_a < us_b);
}

static double
weight_of(const Sample *s, CaroTime now)
{
    return exp(-(double)(now - s->at) / (double)SAMPLE_AGE_SCALE);
}

/* Returns the lower weighted median of the samples, and their weight in
 *weight; 0 for none. */
static double
median_of(const Sample *samples, int n, double *weight, CaroTime now)
{
    Sample sorted[SAMPLES];
    double all = 0.0;
    n = n < SAMPLES ? n : SAMPLES;
    for (int i = 0; i < n; i++) {
        sorted[i] = samples[i];
        all += weight_of(&samples[i], now);
    }
    *weight = all;
    if (n == 0) {
        return 0.0;
    }
    qsort(sorted, (size_t)n, sizeof(Sample), compare_us);
    double sum = 0.0;
    int i = 0;
    while (i < n - 1 && (sum += weight_of(&sorted[i], now)) < all / 2.0) {
        i++;
    }
    return sorted[i].us;
}

/* Averages the samples' median with the prior. */
static double
estimate(const Sample *samples, int n, double prior, CaroTime now)
{
    double weight;
    double us = median_of(samples, n, &weight, now);
    if (us <= 0.0) {
        return prior;
    }
    double ratio = us / prior;
    if (weight < FIRM_WEIGHT) {
        ratio = ratio > SINGLE_FACTOR_MAX         ? SINGLE_FACTOR_MAX
                : ratio < 1.0 / SINGLE_FACTOR_MAX ? 1.0 / SINGLE_FACTOR_MAX
                                                  : ratio;
    }
    return prior * pow(ratio, weight / (weight + PRIOR_WEIGHT));
}

static double
middle(Sample *all, int n, double fallback)
{
    if (n == 0) {
        return fallback;
    }
    qsort(all, (size_t)n, sizeof(Sample), compare_us);
    return all[n / 2].us;
}

static bool
is_memory_known(const Entry *e, CaroTime now)
{
    return e->memory > 0.0 && now - e->memory_at < MEMORY_TTL;
}

/* Updates the medians over the engines of the service. */
static void
refresh_medians(CaroEnginePace *p, Service *s, CaroTime now)
{
    Sample prefill[MEDIAN_ENTRIES_MAX];
    Sample events[MEDIAN_ENTRIES_MAX];
    Sample memory[MEDIAN_ENTRIES_MAX];
    int n_memory = 0;
    int n_prefill = 0;
    int n_events = 0;
    double weight;
    if (s->is_median_known && now - s->median_at < MEDIAN_INTERVAL) {
        return;
    }
    s->is_median_known = true;
    s->median_at = now;
    for (const Entry *e = p->entries;
         e != NULL && n_prefill < MEDIAN_ENTRIES_MAX &&
         n_events < MEDIAN_ENTRIES_MAX && n_memory < MEDIAN_ENTRIES_MAX;
         e = e->hh.next) {
        if (e->service == s && e->n_prefill > 0) {
            prefill[n_prefill++].us =
                median_of(e->prefill, e->n_prefill, &weight, now);
        }
        if (e->service == s && e->n_events > 0) {
            events[n_events++].us =
                median_of(e->events, e->n_events, &weight, now);
        }
        if (e->service == s && is_memory_known(e, now)) {
            memory[n_memory++].us = e->memory;
        }
    }
    s->prefill_us = middle(prefill, n_prefill, s->prefill_us);
    s->event_us = middle(events, n_events, s->event_us);
    s->memory = middle(memory, n_memory, DEFAULT_MEMORY);
    s->n_memory = n_memory;
}

static CaroTime
latest(const Sample *samples, int n)
{
    CaroTime at = 0;
    for (int i = 0; i < n && i < SAMPLES; i++) {
        at = samples[i].at > at ? samples[i].at : at;
    }
    return at;
}

CaroPaceEstimate
CaroEnginePace_Get(CaroEnginePace *p, const CaroTarget *target, CaroTime now)
{
    CaroPaceEstimate out = {.prefill_us = DEFAULT_PREFILL_US,
                            .event_us = DEFAULT_EVENT_US,
                            .usual_us = DEFAULT_PREFILL_US,
                            .usual_event_us = DEFAULT_EVENT_US,
                            .age = -1,
                            .memory = DEFAULT_MEMORY};
    Service *s = p == NULL ? NULL : find_service(p, target->entry.service);
    if (s == NULL) {
        return out;
    }
    refresh_medians(p, s, now);
    out.prefill_us = out.usual_us = s->prefill_us;
    out.event_us = out.usual_event_us = s->event_us;
    out.has_memory = s->n_memory >= MEMORY_ENGINES_MIN;
    if (out.has_memory) {
        out.memory = s->memory;
    }
    const Entry *e = find_entry(p, target->start_hash);
    if (e == NULL) {
        return out;
    }
    out.prefill_us = estimate(e->prefill, e->n_prefill, s->prefill_us, now);
    out.event_us = estimate(e->events, e->n_events, s->event_us, now);
    out.samples = e->n_prefill < SAMPLES ? e->n_prefill : SAMPLES;
    out.age = out.samples > 0 ? now - latest(e->prefill, out.samples) : -1;
    if (is_memory_known(e, now)) {
        out.has_memory = true;
        out.memory = e->memory;
    }
    return out;
}

CaroPaceMedians
CaroEnginePace_SaveMedians(const CaroEnginePace *p, const char *service)
{
    const Service *s = p == NULL ? NULL : find_service(p, service);
    return s == NULL ? (CaroPaceMedians){0}
                     : (CaroPaceMedians){.is_known = true,
                                         .is_median_known = s->is_median_known,
                                         .prefill_us = s->prefill_us,
                                         .event_us = s->event_us,
                                         .memory = s->memory,
                                         .n_memory = s->n_memory,
                                         .median_at = s->median_at};
}

void
CaroEnginePace_RestoreMedians(CaroEnginePace *p, const char *service,
                              const CaroPaceMedians *saved)
{
    Service *s = p == NULL ? NULL : find_service(p, service);
    if (s != NULL && saved->is_known) {
        s->is_median_known = saved->is_median_known;
        s->prefill_us = saved->prefill_us;
        s->event_us = saved->event_us;
        s->memory = saved->memory;
        s->n_memory = saved->n_memory;
        s->median_at = saved->median_at;
    }
}

/* --- samples --- */

static void
add_sample(Sample *samples, int *n, double us, CaroTime at)
{
    samples[*n % SAMPLES] = (Sample){.us = us, .at = at};
    /* Keeps the number of samples in range, and the place of the next. */
    *n = *n + 1 < 2 * SAMPLES ? *n + 1 : SAMPLES;
}

/* Moves what the engine is taken to hold half of the way to a number of tokens
   at which it rejected a prompt or began one.  That number lacks the streams
   and KV copies of VMs that send no reports here, so that a single rejection
   may come far below the limit. */
static void
learn_memory(CaroEnginePace *p, const CaroTarget *target, Entry *e,
             double tokens, CaroTime at, CaroTime now)
{
    e->memory = (CaroEnginePace_Get(p, target, now).memory + tokens) / 2.0;
    e->memory_at = at > e->memory_at ? at : e->memory_at;
}

static void
report_sample(CaroEnginePace *p, caro_pace_sample sample, CaroTime now)
{
    p->outgoing[p->next++ % CARO_PACE_SAMPLES_MAX] = (Outgoing){
        .sample = sample, .at = now, .reports_left = SAMPLE_REPORTS};
}

bool
CaroEnginePace_RecordFirstEvent(CaroEnginePace *p, const CaroTarget *target,
                                int tokens, CaroTime wait, CaroTime now)
{
    if (tokens < SAMPLE_TOKENS_MIN) {
        return false;
    }
    /* The first event is generated after the prefill, as any other. */
    double event_us = CaroEnginePace_Get(p, target, now).event_us;
    double us = ((double)wait - MESSAGES_US - event_us) / (double)tokens;
    Entry *e = get_or_create_entry(p, target, now);
    if (e == NULL || us * 1000.0 < PREFILL_NS_MIN ||
        us * 1000.0 > PREFILL_NS_MAX) {
        return false;
    }
    add_sample(e->prefill, &e->n_prefill, us, now);
    report_sample(p,
                  (caro_pace_sample){.target = target->start_hash,
                                     .prefill_ns = (u_int)(us * 1000.0)},
                  now);
    return true;
}

void
CaroEnginePace_RecordEvents(CaroEnginePace *p, const CaroTarget *target,
                            CaroTime interval, CaroTime now)
{
    Entry *e = get_or_create_entry(p, target, now);
    if (e == NULL || interval <= 0 || interval > EVENT_US_MAX) {
        return;
    }
    add_sample(e->events, &e->n_events, (double)interval, now);
    report_sample(p,
                  (caro_pace_sample){.target = target->start_hash,
                                     .event_us = (u_int)interval},
                  now);
}

void
CaroEnginePace_RecordHeld(CaroEnginePace *p, const CaroTarget *target,
                          double tokens, CaroTime now)
{
    Entry *e = get_or_create_entry(p, target, now);
    if (e == NULL || tokens > MEMORY_MAX) {
        return;
    }
    if (tokens > CaroEnginePace_Get(p, target, now).memory) {
        learn_memory(p, target, e, tokens, now, now);
    }
}

bool
CaroEnginePace_RecordRejection(CaroEnginePace *p, const CaroTarget *target,
                               double tokens, CaroTime now)
{
    Entry *e = get_or_create_entry(p, target, now);
    if (e == NULL || tokens < REJECTION_TOKENS_MIN || tokens > MEMORY_MAX) {
        return false;
    }
    if (tokens < CaroEnginePace_Get(p, target, now).memory) {
        learn_memory(p, target, e, tokens, now, now);
    }
    report_sample(p,
                  (caro_pace_sample){.target = target->start_hash,
                                     .memory_tokens = (u_int)tokens},
                  now);
    return true;
}

/* --- reports --- */

bool
CaroEnginePace_Collect(CaroEnginePace *p, CaroPaceReport *out, CaroTime now)
{
    uint32_t first =
        p->next < CARO_PACE_SAMPLES_MAX ? 0 : p->next - CARO_PACE_SAMPLES_MAX;
    while (first < p->next &&
           p->outgoing[first % CARO_PACE_SAMPLES_MAX].reports_left == 0) {
        first++;
    }
    memset(&out->report, 0, sizeof(out->report));
    out->report.first = first;
    out->report.samples.samples_val = out->samples;
    for (uint32_t i = first; i < p->next; i++) {
        Outgoing *o = &p->outgoing[i % CARO_PACE_SAMPLES_MAX];
        o->reports_left--;
        o->sample.age_ms = (u_int)((now - o->at) / CARO_MS);
        out->samples[out->report.samples.samples_len++] = o->sample;
    }
    return out->report.samples.samples_len > 0;
}

/* Returns whether the sample is of a registered target and plausible. */
static bool
apply_sample(CaroEnginePace *p, const CaroTargets *targets,
             const caro_pace_sample *sample, CaroTime now)
{
    CaroHandle h = CaroTargets_FindByStart(targets, sample->target);
    if (h == CARO_NO_HANDLE || sample->age_ms > AGE_MS_MAX) {
        return false;
    }
    CaroTime at = now - sample->age_ms * CARO_MS;
    const CaroTarget *target = CaroTargets_GetConst(targets, h);
    Entry *e = get_or_create_entry(p, target, now);
    if (e == NULL) {
        return false;
    }
    if (sample->prefill_ns >= PREFILL_NS_MIN &&
        sample->prefill_ns <= PREFILL_NS_MAX) {
        add_sample(e->prefill, &e->n_prefill, sample->prefill_ns / 1000.0, at);
    }
    if (sample->event_us > 0 && sample->event_us <= EVENT_US_MAX) {
        add_sample(e->events, &e->n_events, sample->event_us, at);
    }
    if (sample->memory_tokens >= REJECTION_TOKENS_MIN &&
        sample->memory_tokens < CaroEnginePace_Get(p, target, now).memory) {
        learn_memory(p, target, e, sample->memory_tokens, at, now);
    }
    return true;
}

int
CaroEnginePace_Apply(CaroEnginePace *p, const CaroTargets *targets,
                     const caro_pace_report *report, CaroTime now)
{
    Sender *s;
    int n = 0;
    HASH_FIND(hh, p->senders, report->sender, strlen(report->sender), s);
    if (s == NULL) {
        if ((s = calloc(1, sizeof(*s))) == NULL) {
            return 0;
        }
        CARO_COPY(s->name, report->sender);
        s->boot_id = report->boot_id;
        HASH_ADD_KEYPTR(hh, p->senders, s->name, strlen(s->name), s);
    }
    if (s->boot_id != report->boot_id) {
        s->boot_id = report->boot_id;
        s->next = 0;
    }
    s->used_at = now;
    for (u_int i = 0; i < report->samples.samples_len; i++) {
        if (report->first + i >= s->next) {
            s->next = report->first + i + 1;
            n +=
                apply_sample(p, targets, &report->samples.samples_val[i], now);
        }
    }
    return n;
}
