/* Which parts of prompts crash upstreams. */
#include "internal/caro_prompt_quarantine.h"

#include <string.h>

/* Crashes of different requests in one domain closer than this are one event.
   The connections to a domain that fails close within some milliseconds; the
   times that other VMs report are late by their time in transit, which may be
   some hops through busy VMs. */
#define EVENT_INTERVAL_MIN (300 * CARO_MS)
/* A domain that is lost once more after this time was not lost to a failure of
   power. */
#define DOMAIN_LOSS_INTERVAL_MIN (1 * CARO_SECOND)
/* Time in which the other VMs report that a response got further there. */
#define SETTLE_DELAY (500 * CARO_MS)
/* Time without such a response, for a part that had some before. */
#define PASSED_SILENCE_MIN (2 * CARO_SECOND)

enum {
    /* Events after which a part is chosen with which no response ever got
       further, and one with which some did.  Each doubt adds one. */
    EVENTS_MIN = 3,
    PASSED_EVENTS_MIN = 5,
    /* Events that settle a tie of parts that no request has both of. */
    TIE_EVENTS_MIN = 5,
    /* Of the crashes of its service, a suspect that is in less than one in
       COVERAGE_DIVISOR is in doubt, and one that is in less than one in
       COVERAGE_DIVISOR_MAX is none, unless it has so many events. */
    COVERAGE_DIVISOR = 2,
    COVERAGE_DIVISOR_MAX = 4,
    COVERAGE_EVENTS_MIN = 8,
    /* Crashes after a quarantine of several parts that tell which it is. */
    AMBIGUOUS_CRASHES_MIN = 1,
    DOUBTS_MAX = 4,
    DOMAINS_MAX = 16,
    CANDIDATES_MAX = 4096
};

/* What part of the crashes a part is a suspect of. */
typedef enum {
    SUSPECT_NEVER_PASSED, /* No response with the part ever got further. */
    SUSPECT_PASSED_BEFORE /* The last one did before the crash. */
} SuspectKind;

/* The crashes with what does not depend on the suspect. */
typedef struct {
    const CaroPromptCrashes *table;
    const CaroPromptCrash *crashes;
    int n;
    int upstream[CARO_PROMPT_CRASHES_MAX]; /* Number of the upstream. */
    int n_upstreams;
    /* By the number of the upstream: the quarantine that explains its crash,
       or NULL. */
    const CaroQuarantine *explained_by[CARO_PROMPT_CRASHES_MAX];
} Evidence;

/* Domains that were lost under a suspect, and when first. */
typedef struct {
    uint32_t ids[DOMAINS_MAX];
    CaroTime first_at[DOMAINS_MAX];
    int n;
} LostDomains;

/* The last event in a domain. */
typedef struct {
    uint32_t ids[DOMAINS_MAX];
    CaroTime last_at[DOMAINS_MAX];
    int n;
} DomainEvents;

static void
read_evidence(Evidence *e, const CaroPromptCrashes *t, CaroTime now)
{
    e->table = t;
    e->crashes = CaroPromptCrashes_List(t, &e->n);
    e->n_upstreams = 0;
    for (int i = 0; i < e->n; i++) {
        const CaroPromptCrash *c = &e->crashes[i];
        int number = -1;
        for (int j = 0; j < i && number < 0; j++) {
            number =
                e->crashes[j].upstream == c->upstream ? e->upstream[j] : -1;
        }
        if (number < 0) {
            number = e->n_upstreams++;
            e->explained_by[number] = NULL;
        }
        e->upstream[i] = number;
        if (c->parts.n > 0 && e->explained_by[number] == NULL) {
            e->explained_by[number] =
                CaroPromptCrashes_FindQuarantine(t, &c->parts, now);
        }
    }
}

static bool
is_suspect(const CaroPromptCrashes *t, const CaroPromptCrash *crash,
           uint64_t part, SuspectKind kind)
{
    if (!CaroPromptParts_Has(&crash->parts, part)) {
        return false;
    }
    CaroTime passed_at = CaroPromptCrashes_PassedAt(t, part, crash->events);
    return kind == SUSPECT_NEVER_PASSED
               ? passed_at == CARO_NEVER_PASSED
               : passed_at != CARO_NEVER_PASSED && passed_at < crash->at;
}

/* Returns whether the crash counts for the part.  One that a quarantine
   explains does only if the quarantine has the part among others, and it is
   not known which of them it was. */
static bool
counts_for(const Evidence *e, int i, uint64_t part)
{
    const CaroQuarantine *q = e->explained_by[e->upstream[i]];
    return q == NULL ||
           (q->parts.n > 1 && CaroPromptParts_Has(&q->parts, part));
}

/* Returns whether the loss of a domain may be due to the part.  One that
   nearly all requests have is in all losses, whatever caused them; but power
   does not fail again at once. */
static bool
counts_as_domain_loss(const CaroPromptCrash *c, bool is_common,
                      LostDomains *lost)
{
    if (!is_common) {
        return true;
    }
    for (int i = 0; i < lost->n; i++) {
        if (lost->ids[i] == c->domain) {
            return c->at - lost->first_at[i] >= DOMAIN_LOSS_INTERVAL_MIN;
        }
    }
    if (lost->n < DOMAINS_MAX) {
        lost->ids[lost->n] = c->domain;
        lost->first_at[lost->n++] = c->at;
    }
    return false;
}

/* Returns whether the crash is another event than those before it.  For a part
   that nearly all requests have, all domains are one. */
static bool
is_separate(const CaroPromptCrash *c, const CaroPromptCrash *last,
            bool is_common, DomainEvents *events)
{
    uint32_t domain = is_common ? 0 : c->domain;
    int i = 0;
    while (i < events->n && events->ids[i] != domain) {
        i++;
    }
    bool is_first = i == events->n;
    bool is_separate = (last != NULL && c->request == last->request) ||
                       is_first ||
                       c->at - events->last_at[i] >= EVENT_INTERVAL_MIN;
    if (is_first && i < DOMAINS_MAX) {
        events->ids[events->n++] = domain;
    }
    if (is_separate && i < DOMAINS_MAX) {
        events->last_at[i] = c->at;
    }
    return is_separate;
}

/* Counts the crashes of other upstreams of the service in the time of those of
   the choice. */
static int
count_others(const Evidence *e, const CaroPromptChoice *choice,
             uint32_t service, CaroTime last_at, const bool *is_covered)
{
    bool is_counted[CARO_PROMPT_CRASHES_MAX] = {false};
    int count = 0;
    for (int i = 0; i < e->n; i++) {
        const CaroPromptCrash *c = &e->crashes[i];
        int u = e->upstream[i];
        bool is_in_time = c->at >= choice->first_at - EVENT_INTERVAL_MIN &&
                          c->at <= last_at + EVENT_INTERVAL_MIN;
        bool is_of_service =
            c->service == service || c->service == 0 || service == 0;
        if (is_in_time && is_of_service && !is_covered[u] && !is_counted[u] &&
            counts_for(e, i, choice->suspect)) {
            is_counted[u] = true;
            count++;
        }
    }
    return count;
}

/* Returns whether all responses ended at about the same point. */
static bool
is_consistent(const CaroPromptChoice *c)
{
    return c->progress_max <= c->progress_min + c->progress_min / 4 + 2;
}

/* The number of doubts about the suspect.  A prompt crashes upstreams at about
   the same point, and rarely late in a response. */
static int
count_doubts(const CaroPromptChoice *c)
{
    bool is_single = c->requests < 2 && !c->has_heads;
    bool is_late = c->progress_min >= CARO_PROMPT_PROGRESS_MIN;
    bool is_covering =
        c->crashes * COVERAGE_DIVISOR >= c->crashes + c->other_crashes;
    return is_single + !is_consistent(c) + is_late + !is_covering;
}

/* What was seen of a suspect, crash by crash. */
typedef struct {
    CaroPromptChoice *choice;
    bool is_common;
    bool is_covered[CARO_PROMPT_CRASHES_MAX];   /* By the upstream. */
    uint32_t progress[CARO_PROMPT_CRASHES_MAX]; /* Least of the upstream. */
    CaroTime learned[PASSED_EVENTS_MIN + DOUBTS_MAX]; /* By the event. */
    const CaroPromptCrash *first;
    const CaroPromptCrash *last_event;
    CaroTime last_at;
    int n_unexplained; /* Crashes that no quarantine explains. */
    LostDomains lost;
    DomainEvents domain_events;
} Examination;

static void
count_event(Examination *x, const CaroPromptCrash *c)
{
    bool counts =
        (!c->is_domain_lost ||
         counts_as_domain_loss(c, x->is_common, &x->lost)) &&
        is_separate(c, x->last_event, x->is_common, &x->domain_events);
    if (counts) {
        int n = x->choice->events++;
        x->last_event = c;
        if (n < (int)(sizeof(x->learned) / sizeof(x->learned[0]))) {
            x->learned[n] = c->received_at;
        }
    }
}

static void
count_crash(const Evidence *e, Examination *x, int i)
{
    const CaroPromptCrash *c = &e->crashes[i];
    CaroPromptChoice *choice = x->choice;
    int u = e->upstream[i];
    if (x->first == NULL) {
        x->first = c;
        choice->requests = 1;
        choice->has_heads = true;
        choice->first_at = c->at;
    }
    else if (c->request != x->first->request) {
        choice->requests = 2;
    }
    choice->has_heads &= c->has_head && c->events == 0;
    x->last_at = c->at;
    if (x->is_covered[u]) {
        x->progress[u] =
            c->events < x->progress[u] ? c->events : x->progress[u];
        return;
    }
    x->is_covered[u] = true;
    x->progress[u] = c->events;
    choice->crashes++;
    x->n_unexplained += e->explained_by[u] == NULL;
    count_event(x, c);
}

static void
set_progress(const Evidence *e, const Examination *x)
{
    CaroPromptChoice *choice = x->choice;
    choice->progress_min = UINT32_MAX;
    for (int u = 0; u < e->n_upstreams; u++) {
        uint32_t p = x->progress[u];
        if (x->is_covered[u]) {
            choice->progress_min =
                p < choice->progress_min ? p : choice->progress_min;
            choice->progress_max =
                p > choice->progress_max ? p : choice->progress_max;
        }
    }
}

/* Returns whether the part is none of the causes, however many events it
   has. */
static bool
is_excluded(const Examination *x)
{
    const CaroPromptChoice *c = x->choice;
    bool is_rare =
        c->crashes * COVERAGE_DIVISOR_MAX < c->crashes + c->other_crashes &&
        c->events < COVERAGE_EVENTS_MIN;
    bool is_bystander = c->has_passed && !is_consistent(c);
    bool is_explained = x->n_unexplained < c->crashes &&
                        x->n_unexplained < AMBIGUOUS_CRASHES_MIN;
    return is_rare || is_bystander || is_explained;
}

/* Examines the crashes under the suspect.  Returns false if it has none. */
static bool
examine(const Evidence *e, SuspectKind kind, int needed,
        CaroPromptChoice *choice)
{
    Examination x = {
        .choice = choice,
        .is_common = CaroPromptCrashes_IsCommon(e->table, choice->suspect)};
    for (int i = 0; i < e->n; i++) {
        if (is_suspect(e->table, &e->crashes[i], choice->suspect, kind) &&
            counts_for(e, i, choice->suspect)) {
            count_crash(e, &x, i);
        }
    }
    if (x.first == NULL) {
        return false;
    }
    choice->has_passed = kind == SUSPECT_PASSED_BEFORE;
    set_progress(e, &x);
    choice->other_crashes =
        count_others(e, choice, x.first->service, x.last_at, x.is_covered);
    if (is_excluded(&x)) {
        choice->needed = choice->events + 1;
        return true;
    }
    choice->needed = needed + count_doubts(choice);
    for (int i = 0; i < choice->needed && i < choice->events; i++) {
        choice->settled_at = x.learned[i] > choice->settled_at
                                 ? x.learned[i]
                                 : choice->settled_at;
    }
    return true;
}

/* Parts that were examined, or occur in the crashes of one upstream only. */
typedef struct {
    uint64_t part;
    int upstream; /* Number + 1 of the first; 0: the entry is free. */
    bool has_several;
    bool is_examined;
} Candidate;

static Candidate *
get_candidate(Candidate *all, uint64_t part)
{
    size_t i = part % CANDIDATES_MAX;
    for (int tries = 0; tries < CANDIDATES_MAX; tries++) {
        if (all[i].upstream == 0 || all[i].part == part) {
            return &all[i];
        }
        i = (i + 1) % CANDIDATES_MAX;
    }
    return NULL;
}

/* Marks the parts that occur in crashes of several upstreams. */
static void
find_candidates(const Evidence *e, Candidate *all)
{
    for (int i = 0; i < e->n; i++) {
        for (int j = 0; j < e->crashes[i].parts.n; j++) {
            uint64_t part = e->crashes[i].parts.ids[j];
            Candidate *c = get_candidate(all, part);
            if (c == NULL) {
                return;
            }
            if (c->upstream == 0) {
                *c = (Candidate){.part = part, .upstream = e->upstream[i] + 1};
            }
            c->has_several |= c->upstream != e->upstream[i] + 1;
        }
    }
}

/* Keeps the suspects that occur in each crash of which the part is one. */
static void
find_common_suspects(const Evidence *e, SuspectKind kind,
                     CaroPromptChoice *choice)
{
    bool is_first = true;
    choice->parts.n = 0;
    for (int i = 0; i < e->n; i++) {
        const CaroPromptCrash *c = &e->crashes[i];
        if (!is_suspect(e->table, c, choice->suspect, kind) ||
            !counts_for(e, i, choice->suspect)) {
            continue;
        }
        CaroPromptParts kept = {.n = 0};
        CaroPromptParts from = is_first ? c->parts : choice->parts;
        for (int j = 0; j < from.n; j++) {
            if (is_suspect(e->table, c, from.ids[j], kind)) {
                CaroPromptParts_Add(&kept, from.ids[j]);
            }
        }
        choice->parts = kept;
        is_first = false;
    }
}

/* Returns whether the evidence speaks more against "a". */
static bool
is_stronger(const CaroPromptChoice *a, const CaroPromptChoice *b)
{
    return a->events != b->events ? a->events > b->events
                                  : a->progress_max < b->progress_max;
}

/* Chooses the suspect of most events.  Returns the number of events of any. */
static int
choose_suspect(const Evidence *e, SuspectKind kind, int needed,
               CaroPromptChoice *best)
{
    static Candidate candidates[CANDIDATES_MAX];
    CaroPromptChoice rival = {.events = 0};
    memset(best, 0, sizeof(*best));
    memset(candidates, 0, sizeof(candidates));
    find_candidates(e, candidates);
    for (int i = 0; i < e->n; i++) {
        for (int j = 0; j < e->crashes[i].parts.n; j++) {
            uint64_t part = e->crashes[i].parts.ids[j];
            Candidate *c = get_candidate(candidates, part);
            if (c == NULL || !c->has_several || c->is_examined ||
                !is_suspect(e->table, &e->crashes[i], part, kind)) {
                continue;
            }
            CaroPromptChoice choice = {.suspect = part};
            c->is_examined = true;
            if (!examine(e, kind, needed, &choice)) {
                continue;
            }
            if (is_stronger(&choice, best)) {
                rival = *best;
                *best = choice;
            }
            else if (is_stronger(&choice, &rival)) {
                rival = choice;
            }
        }
    }
    if (best->events == 0) {
        return 0;
    }
    find_common_suspects(e, kind, best);
    bool is_tie = rival.events == best->events &&
                  rival.progress_max == best->progress_max &&
                  !CaroPromptParts_Has(&best->parts, rival.suspect);
    if (is_tie && best->needed < TIE_EVENTS_MIN) {
        best->needed = TIE_EVENTS_MIN;
    }
    return best->events;
}

CaroPromptVerdict
CaroPromptQuarantine_Choose(const CaroPromptCrashes *t,
                            CaroPromptChoice *choice, CaroTime now)
{
    static Evidence evidence;
    read_evidence(&evidence, t, now);
    int most =
        choose_suspect(&evidence, SUSPECT_NEVER_PASSED, EVENTS_MIN, choice);
    if (most < 2) {
        most = choose_suspect(&evidence, SUSPECT_PASSED_BEFORE,
                              PASSED_EVENTS_MIN, choice);
        if (now - choice->first_at < PASSED_SILENCE_MIN) {
            return CARO_VERDICT_NONE;
        }
    }
    if (most == 0 || choice->events < choice->needed) {
        return CARO_VERDICT_NONE;
    }
    return now - choice->settled_at >= SETTLE_DELAY ? CARO_VERDICT_QUARANTINE
                                                    : CARO_VERDICT_PENDING;
}

int
CaroPromptQuarantine_CountCrashes(const CaroPromptCrashes *t, uint64_t part)
{
    int n;
    int count = 0;
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(t, &n);
    for (int i = 0; i < n; i++) {
        bool is_counted =
            !is_suspect(t, &crashes[i], part, SUSPECT_NEVER_PASSED);
        for (int j = 0; j < i && !is_counted; j++) {
            is_counted = crashes[j].upstream == crashes[i].upstream &&
                         CaroPromptParts_Has(&crashes[j].parts, part);
        }
        count += !is_counted;
    }
    return count;
}
