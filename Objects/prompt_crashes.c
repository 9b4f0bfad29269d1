/* Evidence on parts of prompts that crash upstreams. */
#include "internal/caro_prompt_crashes.h"

#include <stdlib.h>
#include <string.h>

/* The begins are a cache of sets of four entries by the hash of the part. */
enum { BEGIN_SETS = 512, BEGIN_WAYS = 4 };

/* A begin that another VM reports replaces the known one when it is newer by
   more than this, so that the time in transit is not added up from VM to
   VM. */
#define BEGIN_STEP_MIN (1 * CARO_SECOND)
/* Interval at which further begins of a suspected part are passed on. */
#define BEGIN_REPORT_INTERVAL (2 * CARO_SECOND)

#define LIFTED_TTL (60 * CARO_SECOND)
#define DISPROVED_TTL (20 * CARO_SECOND)

/* Longest age in a report, an hour. */
enum { AGE_MS_MAX = 3600000 };

typedef struct {
    uint64_t part;
    CaroTime at; /* CARO_NEVER_BEGUN: the entry is free. */
    CaroTime reported_at;
} Begin;

struct CaroPromptCrashes {
    CaroPromptCrash crashes[CARO_PROMPT_CRASHES_MAX];
    int n_crashes;
    CaroQuarantine quarantines[CARO_PROMPT_QUARANTINES_MAX];
    int n_quarantines;
    Begin begins[BEGIN_SETS][BEGIN_WAYS];
    bool has_unsent_change;
    bool has_new_quarantine;
};

CaroPromptCrashes *
CaroPromptCrashes_Create(void)
{
    CaroPromptCrashes *t = calloc(1, sizeof(*t));
    for (int i = 0; t != NULL && i < BEGIN_SETS * BEGIN_WAYS; i++) {
        t->begins[i / BEGIN_WAYS][i % BEGIN_WAYS].at = CARO_NEVER_BEGUN;
    }
    return t;
}

void
CaroPromptCrashes_Destroy(CaroPromptCrashes *t)
{
    free(t);
}

static Begin *
find_begin(const CaroPromptCrashes *t, uint64_t part)
{
    const Begin *set = t->begins[part % BEGIN_SETS];
    for (int i = 0; i < BEGIN_WAYS; i++) {
        if (set[i].at != CARO_NEVER_BEGUN && set[i].part == part) {
            return (Begin *)&set[i];
        }
    }
    return NULL;
}

/* Returns the entry of the part, or a free one or that of the least recent
   begin in its place. */
static Begin *
get_begin(CaroPromptCrashes *t, uint64_t part)
{
    Begin *set = t->begins[part % BEGIN_SETS];
    Begin *entry = find_begin(t, part);
    if (entry == NULL) {
        entry = &set[0];
        for (int i = 1; i < BEGIN_WAYS; i++) {
            entry = set[i].at < entry->at ? &set[i] : entry;
        }
        *entry = (Begin){.part = part, .at = CARO_NEVER_BEGUN};
    }
    return entry;
}

/* The part is in a crash or a quarantine. */
static bool
is_suspected(const CaroPromptCrashes *t, uint64_t part)
{
    for (int i = 0; i < t->n_crashes; i++) {
        if (CaroPromptParts_Has(&t->crashes[i].parts, part)) {
            return true;
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
record_begin(CaroPromptCrashes *t, uint64_t part, CaroTime at, CaroTime now)
{
    Begin *entry = get_begin(t, part);
    entry->at = at;
    if ((entry->reported_at == 0 ||
         now - entry->reported_at >= BEGIN_REPORT_INTERVAL) &&
        is_suspected(t, part)) {
        entry->reported_at = now;
        t->has_unsent_change = true;
    }
}

CaroTime
CaroPromptCrashes_BegunAt(const CaroPromptCrashes *t, uint64_t part)
{
    const Begin *entry = find_begin(t, part);
    return entry == NULL ? CARO_NEVER_BEGUN : entry->at;
}

void
CaroPromptCrashes_RecordBegin(CaroPromptCrashes *t,
                              const CaroPromptParts *parts, CaroTime now)
{
    for (int i = 0; i < parts->n; i++) {
        record_begin(t, parts->ids[i], now, now);
    }
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

/* All parts of the crash have begun since.  For a while it is kept, so that
   reports have these begins. */
static bool
is_settled(const CaroPromptCrashes *t, const CaroPromptParts *parts,
           CaroTime at, CaroTime now)
{
    for (int i = 0; i < parts->n; i++) {
        if (CaroPromptCrashes_BegunAt(t, parts->ids[i]) <= at) {
            return false;
        }
    }
    return now - at >= DISPROVED_TTL;
}

/* Returns the index of the crash, or -1. */
static int
find_crash(const CaroPromptCrashes *t, uint64_t upstream, uint64_t request)
{
    for (int i = 0; i < t->n_crashes; i++) {
        if (t->crashes[i].upstream == upstream &&
            t->crashes[i].request == request) {
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

void
CaroPromptCrashes_Record(CaroPromptCrashes *t, uint64_t upstream,
                         uint64_t request, const CaroPromptParts *parts,
                         CaroTime at, CaroTime now)
{
    if (parts->n == 0 || now - at >= CARO_PROMPT_CRASH_TTL ||
        is_settled(t, parts, at, now) ||
        CaroPromptCrashes_FindQuarantine(t, parts, now) != NULL) {
        return;
    }
    int known = find_crash(t, upstream, request);
    if (known >= 0) {
        /* The earliest of the reported times was the least in transit. */
        CaroPromptCrash crash = t->crashes[known];
        if (at < crash.at) {
            crash.at = at;
            remove_crash(t, known);
            insert_crash(t, &crash);
        }
        return;
    }
    if (t->n_crashes == CARO_PROMPT_CRASHES_MAX) {
        if (at <= t->crashes[0].at) {
            return;
        }
        remove_crash(t, 0);
    }
    CaroPromptCrash crash = {.upstream = upstream,
                             .request = request,
                             .parts = *parts,
                             .at = at,
                             .received_at = now};
    insert_crash(t, &crash);
    t->has_unsent_change = true;
}

static void
remove_quarantine(CaroPromptCrashes *t, int i)
{
    t->n_quarantines--;
    memmove(&t->quarantines[i], &t->quarantines[i + 1],
            (size_t)(t->n_quarantines - i) * sizeof(t->quarantines[0]));
}

/* Removes the crashes that the quarantines explain. */
static void
remove_explained_crashes(CaroPromptCrashes *t, CaroTime now)
{
    for (int i = t->n_crashes - 1; i >= 0; i--) {
        if (CaroPromptCrashes_FindQuarantine(t, &t->crashes[i].parts, now) !=
            NULL) {
            remove_crash(t, i);
        }
    }
}

/* All of the parts began about when or after they were put into quarantine.
   The time of a quarantine of another VM is late by its time in transit. */
static bool
is_disproved(const CaroPromptCrashes *t, const CaroPromptParts *parts,
             CaroTime at)
{
    for (int i = 0; i < parts->n; i++) {
        CaroTime begun_at = CaroPromptCrashes_BegunAt(t, parts->ids[i]);
        if (begun_at == CARO_NEVER_BEGUN || begun_at + BEGIN_STEP_MIN <= at) {
            return false;
        }
    }
    return true;
}

CaroQuarantine *
CaroPromptCrashes_AddQuarantine(CaroPromptCrashes *t,
                                const CaroPromptParts *parts, CaroTime at,
                                CaroTime expires_at, CaroTime now)
{
    if (parts->n == 0 || expires_at <= now || is_disproved(t, parts, at)) {
        return NULL;
    }
    for (int i = t->n_quarantines - 1; i >= 0; i--) {
        const CaroQuarantine *q = &t->quarantines[i];
        if (!q->is_lifted && CaroPromptParts_Contain(parts, &q->parts)) {
            return NULL;
        }
        if (CaroPromptParts_Contain(&q->parts, parts)) {
            remove_quarantine(t, i);
        }
    }
    if (t->n_quarantines == CARO_PROMPT_QUARANTINES_MAX) {
        remove_quarantine(t, 0);
    }
    CaroQuarantine *q = &t->quarantines[t->n_quarantines++];
    *q = (CaroQuarantine){.parts = *parts,
                          .at = at,
                          .expires_at = expires_at,
                          .received_at = now};
    remove_explained_crashes(t, now);
    t->has_unsent_change = true;
    t->has_new_quarantine = true;
    return q;
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

/* Takes the parts that have begun since out of the quarantine, unless all
   have. */
static void
refine_quarantine(const CaroPromptCrashes *t, CaroQuarantine *q, CaroTime now)
{
    CaroPromptParts rest = {.n = 0};
    for (int i = 0; i < q->parts.n; i++) {
        if (CaroPromptCrashes_BegunAt(t, q->parts.ids[i]) <= q->at) {
            CaroPromptParts_Add(&rest, q->parts.ids[i]);
        }
    }
    if (rest.n > 0) {
        q->parts = rest;
    }
    else if (!q->is_lifted) {
        /* Kept for a while, so that reports have the begins of its parts. */
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
        if (now - c->at >= CARO_PROMPT_CRASH_TTL ||
            is_settled(t, &c->parts, c->at, now)) {
            remove_crash(t, i);
        }
    }
    for (int i = t->n_quarantines - 1; i >= 0; i--) {
        refine_quarantine(t, &t->quarantines[i], now);
        if (now >= t->quarantines[i].expires_at) {
            remove_quarantine(t, i);
        }
    }
    remove_explained_crashes(t, now);
}

static u_int
age_ms(CaroTime at, CaroTime now)
{
    CaroTime ms = (now - at) / CARO_MS;
    return ms < 0 ? 0 : ms < AGE_MS_MAX ? (u_int)ms : AGE_MS_MAX;
}

static void
collect_begins(const CaroPromptCrashes *t, const CaroPromptParts *parts,
               CaroPromptReport *out, CaroTime now)
{
    for (int i = 0; i < parts->n; i++) {
        u_int *n = &out->report.begins.begins_len;
        CaroTime at = CaroPromptCrashes_BegunAt(t, parts->ids[i]);
        bool is_listed = at == CARO_NEVER_BEGUN || *n == CARO_BEGINS_MAX;
        for (u_int j = 0; j < *n && !is_listed; j++) {
            is_listed = out->begins[j].part == parts->ids[i];
        }
        if (!is_listed) {
            out->begins[(*n)++] = (caro_prompt_begin){
                .part = parts->ids[i], .age_ms = age_ms(at, now)};
        }
    }
}

bool
CaroPromptCrashes_Collect(CaroPromptCrashes *t, CaroPromptReport *out,
                          CaroTime now)
{
    caro_prompt_report *r = &out->report;
    memset(r, 0, sizeof(*r));
    r->crashes.crashes_val = out->crashes;
    r->begins.begins_val = out->begins;
    r->quarantines.quarantines_val = out->quarantines;
    for (int i = 0; i < t->n_quarantines; i++) {
        CaroQuarantine *q = &t->quarantines[i];
        if (!q->is_lifted) {
            caro_quarantine *to =
                &out->quarantines[r->quarantines.quarantines_len++];
            to->parts.parts_val = q->parts.ids;
            to->parts.parts_len = (u_int)q->parts.n;
            to->age_ms = age_ms(q->at, now);
            to->left_ms = age_ms(now, q->expires_at);
        }
        collect_begins(t, &q->parts, out, now);
    }
    for (int i = t->n_crashes - 1;
         i >= 0 && r->crashes.crashes_len < CARO_CRASHES_MAX; i--) {
        CaroPromptCrash *c = &t->crashes[i];
        caro_prompt_crash *to = &out->crashes[r->crashes.crashes_len++];
        to->upstream = c->upstream;
        to->request = c->request;
        to->age_ms = age_ms(c->at, now);
        to->parts.parts_val = c->parts.ids;
        to->parts.parts_len = (u_int)c->parts.n;
        collect_begins(t, &c->parts, out, now);
    }
    return r->crashes.crashes_len > 0 || r->quarantines.quarantines_len > 0 ||
           r->begins.begins_len > 0;
}

static void
read_parts(const u_quad_t *ids, u_int n, CaroPromptParts *parts)
{
    parts->n = 0;
    for (u_int i = 0; i < n; i++) {
        CaroPromptParts_Add(parts, ids[i]);
    }
}

void
CaroPromptCrashes_Apply(CaroPromptCrashes *t, const caro_prompt_report *report,
                        CaroTime now)
{
    CaroPromptParts parts;
    for (u_int i = 0; i < report->begins.begins_len; i++) {
        const caro_prompt_begin *b = &report->begins.begins_val[i];
        CaroTime at = now - (CaroTime)b->age_ms * CARO_MS;
        CaroTime known_at = CaroPromptCrashes_BegunAt(t, b->part);
        if (known_at == CARO_NEVER_BEGUN || at > known_at + BEGIN_STEP_MIN) {
            record_begin(t, b->part, at, now);
        }
    }
    for (u_int i = 0; i < report->quarantines.quarantines_len; i++) {
        const caro_quarantine *q = &report->quarantines.quarantines_val[i];
        CaroTime left = (CaroTime)q->left_ms * CARO_MS;
        read_parts(q->parts.parts_val, q->parts.parts_len, &parts);
        (void)CaroPromptCrashes_AddQuarantine(
            t, &parts, now - (CaroTime)q->age_ms * CARO_MS,
            now + (left < CARO_QUARANTINE_TTL ? left : CARO_QUARANTINE_TTL),
            now);
    }
    for (u_int i = 0; i < report->crashes.crashes_len; i++) {
        const caro_prompt_crash *c = &report->crashes.crashes_val[i];
        read_parts(c->parts.parts_val, c->parts.parts_len, &parts);
        CaroPromptCrashes_Record(t, c->upstream, c->request, &parts,
                                 now - (CaroTime)c->age_ms * CARO_MS, now);
    }
}

bool
CaroPromptCrashes_ConsumeChange(CaroPromptCrashes *t)
{
    bool has_change = t->has_unsent_change;
    t->has_unsent_change = false;
    return has_change;
}
