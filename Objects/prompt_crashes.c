/* Evidence on parts of prompts that crash upstreams. */
#include "internal/caro_prompt_crashes.h"

#include <stdlib.h>
#include <string.h>

/* Parts are kept in a cache of sets of four entries by their hash. */
enum { PART_SETS = 512, PART_WAYS = 4 };

/* Progress that another VM reports replaces the known one when it is newer by
   more than this, so that the time in transit is not added up from VM to
   VM. */
#define PROGRESS_STEP_MIN (1 * CARO_SECOND)
/* Interval at which further progress of a suspected part is passed on. */
#define PROGRESS_REPORT_INTERVAL (2 * CARO_SECOND)
/* A shorter response counts again as the farthest after this time. */
#define PROGRESS_TTL (10 * CARO_SECOND)

#define LIFTED_TTL (60 * CARO_SECOND)
#define DISPROVED_TTL (20 * CARO_SECOND)
/* Crashes without parts only tell how many there were. */
#define BARE_CRASH_TTL (600 * CARO_SECOND)

/* The counts of requests are halved at this interval. */
#define REQUESTS_INTERVAL (60 * CARO_SECOND)
enum { REQUESTS_MIN = 4, COMMON_DIVISOR = 2 };

typedef struct {
    uint64_t part;
    bool is_used;
    CaroTime finished_at; /* CARO_NEVER_PASSED for never; likewise below. */
    uint32_t events;
    CaroTime events_at;
    CaroTime reported_at;
    uint32_t requests;
} Part;

struct CaroPromptCrashes {
    CaroPromptCrash crashes[CARO_PROMPT_CRASHES_MAX];
    int n_crashes;
    CaroQuarantine quarantines[CARO_QUARANTINES_KEPT_MAX];
    int n_quarantines;
    Part parts[PART_SETS][PART_WAYS];
    uint32_t requests;
    CaroTime next_halving;
    bool has_unsent_change;
    bool has_new_quarantine;
    bool has_new_evidence;
};

CaroPromptCrashes *
CaroPromptCrashes_Create(void)
{
    return calloc(1, sizeof(CaroPromptCrashes));
}

void
CaroPromptCrashes_Destroy(CaroPromptCrashes *t)
{
    free(t);
}

static const Part *
find_part(const CaroPromptCrashes *t, uint64_t part)
{
    const Part *set = t->parts[part % PART_SETS];
    for (int i = 0; i < PART_WAYS; i++) {
        if (set[i].is_used && set[i].part == part) {
            return &set[i];
        }
    }
    return NULL;
}

static CaroTime
later(CaroTime a, CaroTime b)
{
    return a > b ? a : b;
}

/* Returns whether the entry of "a" may rather be replaced: it passed longer
   ago, or neither did and it is requested less. */
static bool
is_less_used(const Part *a, const Part *b)
{
    CaroTime a_at = later(a->finished_at, a->events_at);
    CaroTime b_at = later(b->finished_at, b->events_at);
    return a->is_used != b->is_used
               ? !a->is_used
               : a_at < b_at || (a_at == b_at && a->requests < b->requests);
}

/* Returns the entry of the part, or a new one in the place of the least
   used. */
static Part *
get_part(CaroPromptCrashes *t, uint64_t part)
{
    Part *set = t->parts[part % PART_SETS];
    Part *entry = (Part *)find_part(t, part);
    if (entry == NULL) {
        entry = &set[0];
        for (int i = 1; i < PART_WAYS; i++) {
            entry = is_less_used(&set[i], entry) ? &set[i] : entry;
        }
        *entry = (Part){.part = part,
                        .is_used = true,
                        .finished_at = CARO_NEVER_PASSED,
                        .events_at = CARO_NEVER_PASSED};
    }
    return entry;
}

/* Other VMs wait for the progress of the part: it is in a quarantine or in the
   crashes of several upstreams. */
static bool
is_suspected(const CaroPromptCrashes *t, uint64_t part)
{
    const CaroPromptCrash *first = NULL;
    for (int i = 0; i < t->n_crashes; i++) {
        const CaroPromptCrash *c = &t->crashes[i];
        if (CaroPromptParts_Has(&c->parts, part)) {
            if (first != NULL && c->upstream != first->upstream) {
                return true;
            }
            first = c;
        }
    }
    for (int i = 0; i < t->n_quarantines; i++) {
        if (CaroPromptParts_Has(&t->quarantines[i].parts, part)) {
            return true;
        }
    }
    return false;
}

static void
mark_progress(CaroPromptCrashes *t, Part *entry, CaroTime now)
{
    if ((entry->reported_at == 0 ||
         now - entry->reported_at >= PROGRESS_REPORT_INTERVAL) &&
        is_suspected(t, entry->part)) {
        entry->reported_at = now;
        t->has_unsent_change = true;
    }
}

static void
set_events(Part *entry, uint32_t events, CaroTime at)
{
    if (events >= entry->events || at - entry->events_at > PROGRESS_TTL) {
        entry->events = events;
        entry->events_at = at;
    }
}

void
CaroPromptCrashes_RecordEvents(CaroPromptCrashes *t,
                               const CaroPromptParts *parts, uint32_t events,
                               CaroTime now)
{
    for (int i = 0; i < parts->n; i++) {
        Part *entry = get_part(t, parts->ids[i]);
        set_events(entry, events, now);
        mark_progress(t, entry, now);
    }
}

void
CaroPromptCrashes_RecordFinish(CaroPromptCrashes *t,
                               const CaroPromptParts *parts, CaroTime now)
{
    for (int i = 0; i < parts->n; i++) {
        Part *entry = get_part(t, parts->ids[i]);
        entry->finished_at = now;
        mark_progress(t, entry, now);
    }
}

void
CaroPromptCrashes_MergeProgress(CaroPromptCrashes *t, uint64_t part,
                                CaroTime finished_at, uint32_t events,
                                CaroTime events_at, CaroTime now)
{
    Part *entry = get_part(t, part);
    bool is_new = false;
    if (finished_at != CARO_NEVER_PASSED &&
        (entry->finished_at == CARO_NEVER_PASSED ||
         finished_at > entry->finished_at + PROGRESS_STEP_MIN)) {
        entry->finished_at = finished_at;
        is_new = true;
    }
    if (events > 0 && events_at != CARO_NEVER_PASSED &&
        (entry->events_at == CARO_NEVER_PASSED || events > entry->events ||
         events_at > entry->events_at + PROGRESS_STEP_MIN)) {
        set_events(entry, events, events_at);
        is_new = true;
    }
    if (is_new) {
        mark_progress(t, entry, now);
    }
}

bool
CaroPromptCrashes_GetProgress(const CaroPromptCrashes *t, uint64_t part,
                              CaroTime *finished_at, uint32_t *events,
                              CaroTime *events_at)
{
    const Part *entry = find_part(t, part);
    if (entry == NULL || (entry->finished_at == CARO_NEVER_PASSED &&
                          entry->events_at == CARO_NEVER_PASSED)) {
        return false;
    }
    *finished_at = entry->finished_at;
    *events = entry->events;
    *events_at = entry->events_at;
    return true;
}

CaroTime
CaroPromptCrashes_PassedAt(const CaroPromptCrashes *t, uint64_t part,
                           uint32_t events)
{
    const Part *entry = find_part(t, part);
    if (entry == NULL) {
        return CARO_NEVER_PASSED;
    }
    bool has_passed = entry->events_at != CARO_NEVER_PASSED &&
                      (uint64_t)entry->events > 2 * (uint64_t)events + 4;
    return has_passed ? later(entry->finished_at, entry->events_at)
                      : entry->finished_at;
}

/* Halves all counts of requests, so that recent ones weigh most. */
static void
halve_requests(CaroPromptCrashes *t, CaroTime now)
{
    t->next_halving = now + REQUESTS_INTERVAL;
    t->requests /= 2;
    for (int i = 0; i < PART_SETS * PART_WAYS; i++) {
        t->parts[i / PART_WAYS][i % PART_WAYS].requests /= 2;
    }
}

void
CaroPromptCrashes_RecordRequest(CaroPromptCrashes *t,
                                const CaroPromptParts *parts, CaroTime now)
{
    if (now >= t->next_halving) {
        halve_requests(t, now);
    }
    t->requests++;
    for (int i = 0; i < parts->n; i++) {
        get_part(t, parts->ids[i])->requests++;
    }
}

bool
CaroPromptCrashes_IsCommon(const CaroPromptCrashes *t, uint64_t part)
{
    const Part *entry = find_part(t, part);
    uint32_t requests = entry == NULL ? 0 : entry->requests;
    return t->requests < REQUESTS_MIN ||
           requests * COMMON_DIVISOR >= t->requests;
}

const CaroPromptCrash *
CaroPromptCrashes_List(const CaroPromptCrashes *t, int *n)
{
    *n = t->n_crashes;
    return t->crashes;
}

const CaroQuarantine *
CaroPromptCrashes_FindQuarantine(const CaroPromptCrashes *t,
                                 const CaroPromptParts *parts, CaroTime now)
{
    for (int i = 0; i < t->n_quarantines; i++) {
        const CaroQuarantine *q = &t->quarantines[i];
        if (!q->is_lifted && now < q->expires_at &&
            CaroPromptParts_Contain(parts, &q->parts)) {
            return q;
        }
    }
    return NULL;
}

/* All parts of the crash have passed since.  For a while it is kept, so that
   reports have that. */
static bool
is_settled(const CaroPromptCrashes *t, const CaroPromptCrash *c, CaroTime now)
{
    for (int i = 0; i < c->parts.n; i++) {
        if (CaroPromptCrashes_PassedAt(t, c->parts.ids[i], c->events) <=
            c->at) {
            return false;
        }
    }
    return now - c->at >= (c->parts.n == 0 ? BARE_CRASH_TTL : DISPROVED_TTL);
}

/* Returns the index of the crash, or -1.  Requests with the same parts at one
   upstream are one. */
static int
find_crash(const CaroPromptCrashes *t, const CaroPromptCrash *crash)
{
    for (int i = 0; i < t->n_crashes; i++) {
        const CaroPromptCrash *c = &t->crashes[i];
        if (c->upstream == crash->upstream &&
            (c->request == crash->request ||
             CaroPromptParts_Equal(&c->parts, &crash->parts))) {
            return i;
        }
    }
    return -1;
}

static void
remove_crash(CaroPromptCrashes *t, int i)
{
    t->n_crashes--;
    memmove(&t->crashes[i], &t->crashes[i + 1],
            (size_t)(t->n_crashes - i) * sizeof(t->crashes[0]));
}

/* Adds the crash in the order of the times. */
static void
insert_crash(CaroPromptCrashes *t, const CaroPromptCrash *crash)
{
    int i = t->n_crashes++;
    for (; i > 0 && t->crashes[i - 1].at > crash->at; i--) {
        t->crashes[i] = t->crashes[i - 1];
    }
    t->crashes[i] = *crash;
}

/* Merges what another report tells of a known crash. */
static void
merge_crash(CaroPromptCrashes *t, int known, const CaroPromptCrash *crash)
{
    CaroPromptCrash *c = &t->crashes[known];
    c->events = crash->events < c->events ? crash->events : c->events;
    if (c->service == 0) { /* Reports of earlier versions lack these. */
        c->service = crash->service;
        c->domain = crash->domain;
        c->is_domain_lost = crash->is_domain_lost;
        c->has_head = crash->has_head;
    }
    /* The earliest of the reported times was the least in transit. */
    if (crash->at < c->at) {
        CaroPromptCrash merged = *c;
        merged.at = crash->at;
        remove_crash(t, known);
        insert_crash(t, &merged);
    }
}

void
CaroPromptCrashes_Record(CaroPromptCrashes *t, const CaroPromptCrash *crash,
                         CaroTime now)
{
    if (now - crash->at >= CARO_PROMPT_CRASH_TTL ||
        is_settled(t, crash, now)) {
        return;
    }
    int known = find_crash(t, crash);
    if (known >= 0) {
        merge_crash(t, known, crash);
        return;
    }
    if (t->n_crashes == CARO_PROMPT_CRASHES_MAX) {
        if (crash->at <= t->crashes[0].at) {
            return;
        }
        remove_crash(t, 0);
    }
    CaroPromptCrash added = *crash;
    added.received_at = now;
    insert_crash(t, &added);
    /* One without parts is sent with the next one that has some. */
    t->has_unsent_change |= added.parts.n > 0;
    t->has_new_evidence = true;
}

void
CaroPromptCrashes_Refute(CaroPromptCrashes *t, uint64_t upstream)
{
    for (int i = t->n_crashes - 1; i >= 0; i--) {
        if (t->crashes[i].upstream == upstream) {
            remove_crash(t, i);
            t->has_new_evidence = true;
        }
    }
}

static void
remove_quarantine(CaroPromptCrashes *t, int i)
{
    t->n_quarantines--;
    memmove(&t->quarantines[i], &t->quarantines[i + 1],
            (size_t)(t->n_quarantines - i) * sizeof(t->quarantines[0]));
}

/* All of the parts passed about when or after they were put into quarantine.
   The time of a quarantine of another VM is late by its time in transit. */
static bool
is_disproved(const CaroPromptCrashes *t, const CaroQuarantine *q)
{
    for (int i = 0; i < q->parts.n; i++) {
        CaroTime passed_at =
            CaroPromptCrashes_PassedAt(t, q->parts.ids[i], q->events);
        if (passed_at == CARO_NEVER_PASSED ||
            passed_at + PROGRESS_STEP_MIN <= q->at) {
            return false;
        }
    }
    return true;
}

/* Takes over a failed probe that this VM did not know. */
static void
merge_probes(CaroPromptCrashes *t, CaroQuarantine *known,
             const CaroQuarantine *q)
{
    if (q->probes > known->probes) {
        known->probes = q->probes;
        known->at = later(known->at, q->at);
        known->expires_at = known->at + CARO_QUARANTINE_TTL;
        known->stored_until = 0;
        t->has_unsent_change = true;
    }
}

CaroQuarantine *
CaroPromptCrashes_AddQuarantine(CaroPromptCrashes *t, const CaroQuarantine *q,
                                CaroTime now)
{
    CaroTime expires_at =
        q->expires_at != 0 ? q->expires_at : q->at + CARO_QUARANTINE_TTL;
    if (q->parts.n == 0 || expires_at <= now || is_disproved(t, q)) {
        return NULL;
    }
    for (int i = t->n_quarantines - 1; i >= 0; i--) {
        CaroQuarantine *known = &t->quarantines[i];
        if (!known->is_lifted && now < known->expires_at &&
            CaroPromptParts_Contain(&q->parts, &known->parts)) {
            if (q->parts.n == known->parts.n) {
                known->expires_at = later(known->expires_at, expires_at);
                merge_probes(t, known, q);
            }
            return NULL;
        }
        if (CaroPromptParts_Contain(&known->parts, &q->parts)) {
            remove_quarantine(t, i);
        }
    }
    if (t->n_quarantines == CARO_QUARANTINES_KEPT_MAX) {
        remove_quarantine(t, 0);
    }
    CaroQuarantine *added = &t->quarantines[t->n_quarantines++];
    *added = (CaroQuarantine){.parts = q->parts,
                              .at = q->at,
                              .probes = q->probes,
                              .events = q->events,
                              .expires_at = expires_at,
                              .received_at = now};
    t->has_unsent_change = true;
    t->has_new_quarantine = true;
    t->has_new_evidence = true;
    return added;
}

void
CaroPromptCrashes_FailProbe(CaroPromptCrashes *t, const CaroPromptParts *parts,
                            CaroTime now)
{
    for (int i = 0; i < t->n_quarantines; i++) {
        CaroQuarantine *q = &t->quarantines[i];
        if (!q->is_lifted && CaroPromptParts_Equal(&q->parts, parts)) {
            q->probes++;
            q->at = now;
            q->expires_at = now + CARO_QUARANTINE_TTL;
            q->stored_until = 0;
            t->has_unsent_change = true;
        }
    }
}

bool
CaroPromptCrashes_ConsumeQuarantine(CaroPromptCrashes *t)
{
    bool has_new = t->has_new_quarantine;
    t->has_new_quarantine = false;
    return has_new;
}

CaroQuarantine *
CaroPromptCrashes_Quarantines(CaroPromptCrashes *t, int *n)
{
    *n = t->n_quarantines;
    return t->quarantines;
}

const CaroQuarantine *
CaroPromptCrashes_QuarantinesConst(const CaroPromptCrashes *t, int *n)
{
    *n = t->n_quarantines;
    return t->quarantines;
}

/* Takes the parts that have passed since out of the quarantine, unless all
   have. */
static void
refine_quarantine(CaroPromptCrashes *t, CaroQuarantine *q, CaroTime now)
{
    CaroPromptParts rest = {.n = 0};
    for (int i = 0; i < q->parts.n; i++) {
        if (CaroPromptCrashes_PassedAt(t, q->parts.ids[i], q->events) <=
            q->at) {
            CaroPromptParts_Add(&rest, q->parts.ids[i]);
        }
    }
    if (rest.n > 0) {
        q->stored_until = rest.n == q->parts.n ? q->stored_until : 0;
        q->parts = rest;
    }
    else if (!q->is_lifted) {
        /* Kept for a while, so that reports have the progress of its parts. */
        q->is_lifted = true;
        q->expires_at = now + LIFTED_TTL < q->expires_at ? now + LIFTED_TTL
                                                         : q->expires_at;
    }
}

void
CaroPromptCrashes_Tick(CaroPromptCrashes *t, CaroTime now)
{
    for (int i = t->n_crashes - 1; i >= 0; i--) {
        const CaroPromptCrash *c = &t->crashes[i];
        if (now - c->at >= CARO_PROMPT_CRASH_TTL || is_settled(t, c, now)) {
            remove_crash(t, i);
        }
    }
    for (int i = t->n_quarantines - 1; i >= 0; i--) {
        refine_quarantine(t, &t->quarantines[i], now);
        if (now >= t->quarantines[i].expires_at) {
            remove_quarantine(t, i);
        }
    }
}

bool
CaroPromptCrashes_ConsumeChange(CaroPromptCrashes *t)
{
    bool has_change = t->has_unsent_change;
    t->has_unsent_change = false;
    return has_change;
}

bool
CaroPromptCrashes_ConsumeEvidence(CaroPromptCrashes *t)
{
    bool has_new = t->has_new_evidence;
    t->has_new_evidence = false;
    return has_new;
}
