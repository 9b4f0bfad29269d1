/* Which parts of prompts crash upstreams. */
#include "internal/caro_prompt_quarantine.h"

/* Crashes of different requests closer than this are one event.  The
   connections to a domain that fails close within some milliseconds; the times
   that other VMs report are late by their time in transit, which may be some
   hops through busy VMs. */
#define EVENT_INTERVAL_MIN (300 * CARO_MS)
/* Time in which the other VMs report that a part has begun there. */
#define SETTLE_DELAY (500 * CARO_MS)
/* Events after which a part that has never begun is chosen. */
#define EVENTS_MIN 3
/* Events for which a quarantine of several parts counts with each of them. */
#define QUARANTINE_EVENTS 1
/* Events, and time without a begin, after which one that has begun is. */
#define BEGUN_EVENTS_MIN 5
#define BEGUN_SILENCE_MIN (2 * CARO_SECOND)

/* What part of the crashes a part is a suspect of. */
typedef enum {
    SUSPECT_NEVER_BEGUN, /* No response with the part has ever begun. */
    SUSPECT_BEGUN_BEFORE /* The last one began before the crash. */
} SuspectKind;

typedef struct {
    int n;
    CaroTime first_at;
    CaroTime settled_at; /* When the last event that is needed was learned. */
} Events;

static bool
is_suspect(const CaroPromptCrashes *t, const CaroPromptCrash *crash,
           uint64_t part, SuspectKind kind)
{
    CaroTime begun_at = CaroPromptCrashes_BegunAt(t, part);
    bool is_kind = kind == SUSPECT_NEVER_BEGUN
                       ? begun_at == CARO_NEVER_BEGUN
                       : begun_at != CARO_NEVER_BEGUN && begun_at < crash->at;
    return is_kind && CaroPromptParts_Has(&crash->parts, part);
}

/* The quarantine has the part among others.  One of its parts crashed
   upstreams, and it is not known which. */
static bool
is_ambiguous(const CaroQuarantine *q, uint64_t part)
{
    return !q->is_lifted && q->parts.n > 1 &&
           CaroPromptParts_Has(&q->parts, part);
}

static int
count_quarantines(const CaroPromptCrashes *t, uint64_t part)
{
    int n;
    int count = 0;
    const CaroQuarantine *all = CaroPromptCrashes_QuarantinesConst(t, &n);
    for (int i = 0; i < n; i++) {
        count += is_ambiguous(&all[i], part);
    }
    return count;
}

/* Counts the events of which the part is a suspect, each upstream once. */
static Events
count_events(const CaroPromptCrashes *t, uint64_t part, SuspectKind kind,
             int needed)
{
    int n;
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(t, &n);
    const CaroPromptCrash *last = NULL;
    Events events = {.n = 0};
    if (kind == SUSPECT_NEVER_BEGUN) {
        events.n = QUARANTINE_EVENTS * count_quarantines(t, part);
    }
    for (int i = 0; i < n; i++) {
        const CaroPromptCrash *c = &crashes[i];
        if (!is_suspect(t, c, part, kind)) {
            continue;
        }
        bool is_event = last == NULL || c->request == last->request ||
                        c->at - last->at >= EVENT_INTERVAL_MIN;
        for (int j = 0; j < i && is_event; j++) {
            is_event = crashes[j].upstream != c->upstream ||
                       !is_suspect(t, &crashes[j], part, kind);
        }
        if (!is_event) {
            continue;
        }
        last = c;
        events.first_at = events.n == 0 ? c->at : events.first_at;
        if (events.n < needed && c->received_at > events.settled_at) {
            events.settled_at = c->received_at;
        }
        events.n++;
    }
    return events;
}

/* Keeps the parts that stand in the other set as well. */
static void
intersect(CaroPromptParts *parts, const CaroPromptParts *other)
{
    CaroPromptParts kept = {.n = 0};
    for (int i = 0; i < parts->n; i++) {
        if (CaroPromptParts_Has(other, parts->ids[i])) {
            CaroPromptParts_Add(&kept, parts->ids[i]);
        }
    }
    *parts = kept;
}

/* Keeps the suspects that occur in each crash of which the part is one, and in
   the quarantines that are counted for it. */
static void
find_common_suspects(const CaroPromptCrashes *t, uint64_t part,
                     SuspectKind kind, CaroPromptParts *parts)
{
    int n;
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(t, &n);
    bool is_first = true;
    parts->n = 0;
    for (int i = 0; i < n; i++) {
        const CaroPromptCrash *c = &crashes[i];
        if (!is_suspect(t, c, part, kind)) {
            continue;
        }
        CaroPromptParts kept = {.n = 0};
        const CaroPromptParts *from = is_first ? &c->parts : parts;
        for (int j = 0; j < from->n; j++) {
            if (is_suspect(t, c, from->ids[j], kind)) {
                CaroPromptParts_Add(&kept, from->ids[j]);
            }
        }
        *parts = kept;
        is_first = false;
    }
    const CaroQuarantine *all = CaroPromptCrashes_QuarantinesConst(t, &n);
    for (int i = 0; i < n && kind == SUSPECT_NEVER_BEGUN; i++) {
        if (is_ambiguous(&all[i], part)) {
            intersect(parts, &all[i].parts);
        }
    }
}

/* The part is a suspect of an earlier crash of the list. */
static bool
is_counted(const CaroPromptCrashes *t, int before, uint64_t part,
           SuspectKind kind)
{
    int n;
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(t, &n);
    for (int i = 0; i < before; i++) {
        if (CaroPromptParts_Has(&crashes[i].parts, part) &&
            is_suspect(t, &crashes[i], part, kind)) {
            return true;
        }
    }
    return false;
}

/* Returns the suspect with most events among those that have enough, and
   raises *most to the number of events of any. */
static bool
choose_suspect(const CaroPromptCrashes *t, SuspectKind kind, int needed,
               CaroTime now, uint64_t *chosen, int *most)
{
    int n;
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(t, &n);
    bool is_found = false;
    *most = 0;
    for (int i = 0; i < n; i++) {
        for (int j = 0; j < crashes[i].parts.n; j++) {
            uint64_t part = crashes[i].parts.ids[j];
            if (!is_suspect(t, &crashes[i], part, kind) ||
                is_counted(t, i, part, kind)) {
                continue;
            }
            Events events = count_events(t, part, kind, needed);
            if (events.n <= *most) {
                continue;
            }
            *most = events.n;
            bool is_silent = kind == SUSPECT_NEVER_BEGUN ||
                             now - events.first_at >= BEGUN_SILENCE_MIN;
            is_found = events.n >= needed && is_silent &&
                       now - events.settled_at >= SETTLE_DELAY;
            *chosen = part;
        }
    }
    return is_found;
}

bool
CaroPromptQuarantine_Choose(const CaroPromptCrashes *t, CaroTime now,
                            CaroPromptParts *parts)
{
    uint64_t part = 0;
    int most;
    SuspectKind kind = SUSPECT_NEVER_BEGUN;
    bool is_found = choose_suspect(t, kind, EVENTS_MIN, now, &part, &most);
    if (!is_found && most < 2) {
        kind = SUSPECT_BEGUN_BEFORE;
        is_found =
            choose_suspect(t, kind, BEGUN_EVENTS_MIN, now, &part, &most);
    }
    if (is_found) {
        find_common_suspects(t, part, kind, parts);
    }
    return is_found;
}
