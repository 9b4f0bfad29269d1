/* The parts of prompts that engines probably hold. */
#include "internal/caro_retained_prompts.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* The probability that a part is still held decreases by e in this time: at 27
   streams of 8,200 tokens per second, 120 engines of 88,000 tokens take in as
   many tokens as they hold in about 48 s. */
#define RETENTION_AGE_SCALE (60 * CARO_SECOND)
#define RETENTION_TTL (180 * CARO_SECOND)
/* Tokens that an engine holds while nothing else is known of it, as in
   Controllers/engine_pace.c. */
#define DEFAULT_MEMORY 88000.0
/* A pair that is used again is reported again after this time. */
#define REPEATED_REPORT_INTERVAL (10 * CARO_SECOND)
/* Weight of a prompt in the fraction of first parts that were seen before. */
#define REPEAT_WEIGHT (1.0 / 16.0)

enum {
    ENGINES_MAX = 1280,
    ENGINE_PARTS_MAX = 48,
    SIGHTINGS = 8192, /* A power of two. */
    WAYS = 4,         /* Places of a part among the sightings. */
    QUEUE_MAX = 96,   /* Pairs that wait for a report. */
    /* Reports that have a pair. */
    PAIR_REPORTS = 2,
    /* A part is reported when it was seen so often, or is so large. */
    REPORTED_SEEN_MIN = 2,
    REPORTED_TOKENS_MIN = 1000,
    /* Engines that are preferred for a part that none is known to hold. */
    PREFERRED_ENGINES = 3,
    TOKENS_MAX = 1 << 20
};

typedef struct {
    uint32_t part;
    uint32_t tokens;
    CaroTime used_at;
    CaroTime reported_at; /* 0 for never. */
} Held;

typedef struct Engine {
    uint32_t start;
    int n;
    double memory;
    Held held[ENGINE_PARTS_MAX];
    UT_hash_handle hh; /* In the order of the last use. */
} Engine;

/* A part that this VM has seen, in a prompt or a report. */
typedef struct {
    uint32_t part;
    uint32_t seen;
    CaroTime at;
} Sighting;

typedef struct {
    caro_retained_part pair; /* Its age is set when it is sent. */
    CaroTime at;
    int reports_left;
} Queued;

struct CaroRetainedPrompts {
    Engine *engines;
    int n_pairs;
    double repeat_fraction;
    Sighting sightings[SIGHTINGS];
    Queued queue[QUEUE_MAX]; /* Oldest first. */
    int n_queued;
};

CaroRetainedPrompts *
CaroRetainedPrompts_Create(void)
{
    return calloc(1, sizeof(CaroRetainedPrompts));
}

static void
remove_engine(CaroRetainedPrompts *t, Engine *e)
{
    t->n_pairs -= e->n;
    HASH_DEL(t->engines, e);
    free(e);
}

void
CaroRetainedPrompts_Destroy(CaroRetainedPrompts *t)
{
    if (t == NULL) {
        return;
    }
    while (t->engines != NULL) {
        remove_engine(t, t->engines);
    }
    free(t);
}

static uint32_t
part_key(uint64_t id)
{
    return (uint32_t)id;
}

static Engine *
find_engine(const CaroRetainedPrompts *t, uint32_t start)
{
    Engine *e;
    HASH_FIND(hh, t->engines, &start, sizeof(start), e);
    return e;
}

/* Returns the engine as the one used last.  When the table is full it takes
   the place of the one that was not used for longest. */
static Engine *
use_engine(CaroRetainedPrompts *t, uint32_t start)
{
    Engine *e = find_engine(t, start);
    if (e != NULL) {
        HASH_DEL(t->engines, e);
    }
    else {
        if (HASH_COUNT(t->engines) >= ENGINES_MAX) {
            remove_engine(t, t->engines);
        }
        if ((e = calloc(1, sizeof(*e))) == NULL) {
            return NULL;
        }
        e->start = start;
        e->memory = DEFAULT_MEMORY;
    }
    HASH_ADD(hh, t->engines, start, sizeof(e->start), e);
    return e;
}

static Held *
find_held(Engine *e, uint32_t part)
{
    for (int i = 0; i < e->n; i++) {
        if (e->held[i].part == part) {
            return &e->held[i];
        }
    }
    return NULL;
}

static int
least_recent(const Engine *e)
{
    int least = 0;
    for (int i = 1; i < e->n; i++) {
        if (e->held[i].used_at < e->held[least].used_at) {
            least = i;
        }
    }
    return least;
}

static void
remove_held(CaroRetainedPrompts *t, Engine *e, int i)
{
    e->held[i] = e->held[--e->n];
    t->n_pairs--;
}

/* Removes what has expired, and the least recently used beyond the memory. */
static void
trim_engine(CaroRetainedPrompts *t, Engine *e, CaroTime now)
{
    double tokens = 0.0;
    for (int i = e->n - 1; i >= 0; i--) {
        if (now - e->held[i].used_at > RETENTION_TTL) {
            remove_held(t, e, i);
        }
        else {
            tokens += e->held[i].tokens;
        }
    }
    while (tokens > e->memory && e->n > 0) {
        int least = least_recent(e);
        tokens -= e->held[least].tokens;
        remove_held(t, e, least);
    }
}

static Held *
use_part(CaroRetainedPrompts *t, Engine *e, uint32_t part, uint32_t tokens,
         CaroTime at)
{
    Held *held = find_held(e, part);
    if (held == NULL) {
        if (e->n == ENGINE_PARTS_MAX) {
            remove_held(t, e, least_recent(e));
        }
        held = &e->held[e->n++];
        *held = (Held){.part = part, .used_at = at};
        t->n_pairs++;
    }
    held->tokens = tokens;
    held->used_at = at > held->used_at ? at : held->used_at;
    return held;
}

static Sighting *
find_sighting(const CaroRetainedPrompts *t, uint32_t part)
{
    const Sighting *first = &t->sightings[part & (SIGHTINGS - WAYS)];
    for (int i = 0; i < WAYS; i++) {
        if (first[i].seen > 0 && first[i].part == part) {
            return (Sighting *)&first[i];
        }
    }
    return NULL;
}

/* Counts that a part was seen.  Returns how often it was. */
static uint32_t
see_part(CaroRetainedPrompts *t, uint32_t part, CaroTime at)
{
    Sighting *s = find_sighting(t, part);
    if (s == NULL) {
        Sighting *first = &t->sightings[part & (SIGHTINGS - WAYS)];
        s = first;
        for (int i = 1; i < WAYS; i++) {
            s = first[i].at < s->at ? &first[i] : s;
        }
        *s = (Sighting){.part = part};
    }
    s->at = at > s->at ? at : s->at;
    return ++s->seen;
}

static void
queue_pair(CaroRetainedPrompts *t, uint32_t start, Held *held, CaroTime now)
{
    if (held->reported_at != 0 &&
        now - held->reported_at < REPEATED_REPORT_INTERVAL) {
        return;
    }
    held->reported_at = now;
    if (t->n_queued == QUEUE_MAX) {
        memmove(&t->queue[0], &t->queue[1],
                (QUEUE_MAX - 1) * sizeof(t->queue[0]));
        t->n_queued--;
    }
    t->queue[t->n_queued++] = (Queued){
        .pair = {.target = start, .part = held->part, .tokens = held->tokens},
        .at = now,
        .reports_left = PAIR_REPORTS};
}

void
CaroRetainedPrompts_Record(CaroRetainedPrompts *t, const CaroTarget *target,
                           const CaroSizedParts *parts, double memory,
                           CaroTime now)
{
    if (t == NULL || parts->n == 0) {
        return;
    }
    Engine *e = use_engine(t, target->start_hash);
    if (e == NULL) {
        return;
    }
    bool is_repeat = find_sighting(t, part_key(parts->ids[0])) != NULL;
    t->repeat_fraction +=
        REPEAT_WEIGHT * ((is_repeat ? 1.0 : 0.0) - t->repeat_fraction);
    e->memory = memory;
    for (int i = 0; i < parts->n; i++) {
        /* Of the parts of a prompt the later ones are dropped first, as the
           first are needed by more prompts. */
        CaroTime at = now + parts->n - 1 - i;
        uint32_t part = part_key(parts->ids[i]);
        Held *held = use_part(t, e, part, (uint32_t)parts->tokens[i], at);
        if (see_part(t, part, now) >= REPORTED_SEEN_MIN ||
            parts->tokens[i] >= REPORTED_TOKENS_MIN) {
            queue_pair(t, e->start, held, now);
        }
    }
    trim_engine(t, e, now);
}

double
CaroRetainedPrompts_Expect(const CaroRetainedPrompts *t,
                           const CaroTarget *target,
                           const CaroSizedParts *parts, CaroTime now)
{
    if (t == NULL || parts == NULL || parts->n == 0) {
        return 0.0;
    }
    Engine *e = find_engine(t, target->start_hash);
    if (e == NULL) {
        return 0.0;
    }
    double tokens = 0.0;
    CaroTime age = 0;
    for (int i = 0; i < parts->n; i++) {
        const Held *held = find_held(e, part_key(parts->ids[i]));
        if (held == NULL || now - held->used_at > RETENTION_TTL) {
            break;
        }
        age = now - held->used_at > age ? now - held->used_at : age;
        /* A session's last part may have grown since. */
        int n = (int)held->tokens < parts->tokens[i] ? (int)held->tokens
                                                     : parts->tokens[i];
        tokens += n * exp(-(double)age / (double)RETENTION_AGE_SCALE);
        if (n < parts->tokens[i]) {
            break;
        }
    }
    return tokens;
}

double
CaroRetainedPrompts_RepeatTokens(const CaroRetainedPrompts *t,
                                 const CaroSizedParts *parts, CaroTime now)
{
    if (t == NULL || parts == NULL || parts->n == 0) {
        return 0.0;
    }
    const Sighting *s = find_sighting(t, part_key(parts->ids[0]));
    bool is_held = s != NULL && now - s->at <= RETENTION_TTL;
    return is_held ? 0.0 : parts->tokens[0] * t->repeat_fraction;
}

double
CaroRetainedPrompts_Preference(const CaroTarget *target,
                               const CaroSizedParts *parts, int n)
{
    uint64_t key[] = {parts->ids[0], target->start_hash};
    double below = (double)XXH64(key, sizeof(key), 0) / (double)UINT64_MAX;
    double preference = 1.0 - below * n / PREFERRED_ENGINES;
    return preference > 0.0 ? preference : 0.0;
}

int
CaroRetainedPrompts_Count(const CaroRetainedPrompts *t)
{
    return t->n_pairs;
}

bool
CaroRetainedPrompts_Collect(CaroRetainedPrompts *t, CaroRetentionReport *out,
                            CaroTime now)
{
    u_int n = 0;
    int left = 0;
    for (int i = 0; i < t->n_queued; i++) {
        Queued *q = &t->queue[i];
        if (n < CARO_RETAINED_PARTS_MAX) {
            out->parts[n] = q->pair;
            out->parts[n++].age_ms = (u_int)((now - q->at) / CARO_MS);
            q->reports_left--;
        }
        if (q->reports_left > 0) {
            t->queue[left++] = *q;
        }
    }
    t->n_queued = left;
    out->report = (caro_retention_report){.sender = NULL};
    out->report.parts.parts_val = out->parts;
    out->report.parts.parts_len = n;
    return n > 0;
}

int
CaroRetainedPrompts_Apply(CaroRetainedPrompts *t, const CaroTargets *targets,
                          const caro_retention_report *report, CaroTime now)
{
    int n = 0;
    for (u_int i = 0; i < report->parts.parts_len; i++) {
        const caro_retained_part *pair = &report->parts.parts_val[i];
        if (pair->tokens == 0 || pair->tokens > TOKENS_MAX ||
            pair->age_ms > RETENTION_TTL / CARO_MS ||
            CaroTargets_FindByStart(targets, pair->target) == CARO_NO_HANDLE) {
            continue;
        }
        Engine *e = use_engine(t, pair->target);
        if (e == NULL) {
            break;
        }
        CaroTime at = now - pair->age_ms * CARO_MS;
        (void)use_part(t, e, pair->part, pair->tokens, at);
        (void)see_part(t, pair->part, at);
        trim_engine(t, e, now);
        n++;
    }
    return n;
}
