/*
 * The life of one generation.
 *
 * Invariants:
 *   - A token is accepted only from a live attempt and only when its index
 *     equals the count of tokens so far.  Since an attempt continues the
 *     prefix it was started with, and both live attempts were started with
 *     prefixes of the same journal, no token is missing or repeated.
 *   - When one of two live attempts delivers, the other is outrun: its
 *     tokens would continue another prefix.  It is cancelled and all it
 *     still says is dropped, so two generations are never mixed.
 *   - An upstream that failed a generation is not tried again by it, as
 *     long as the list of failures has room.
 */
#include "internal/caro_generation.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

enum { ATTEMPT_SLOTS = 2 };

typedef enum {
    SLOT_FREE,
    SLOT_LIVE,
    SLOT_OUTRUN, /* Another attempt delivered first; to be cancelled. */
    SLOT_LOST    /* Silent beyond the ceiling; to be cancelled. */
} SlotState;

typedef struct {
    SlotState state;
    uint32_t number;
    CaroHandle upstream;
    bool has_token;
    bool is_suspected;    /* Its upstream is silent for others. */
    CaroTime quiet_since; /* On the awake clock. */
    CaroTime last_gap;
    CaroTime silence_after;
    CaroTime first_after;
} Slot;

struct CaroGeneration {
    CaroGenerationLimits limits;
    Slot slots[ATTEMPT_SLOTS];
    uint32_t count;
    uint32_t tokens_max;
    uint32_t next_attempt;
    bool is_whole;
    CaroTime deadline;
    CaroTime retry_at;
    CaroHandle avoid[CARO_AVOID_MAX];
    int n_avoid;
    bool is_loss_silent; /* The newest loss was a silence. */
    CaroGenerationStats stats;
};

static Slot *
find_slot(CaroGeneration *g, uint32_t attempt)
{
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        if (g->slots[i].state != SLOT_FREE && g->slots[i].number == attempt) {
            return &g->slots[i];
        }
    }
    return NULL;
}

static Slot *
free_slot(CaroGeneration *g)
{
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        if (g->slots[i].state == SLOT_FREE) {
            return &g->slots[i];
        }
    }
    return NULL;
}

static int
count_live(const CaroGeneration *g)
{
    int n = 0;
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        n += g->slots[i].state == SLOT_LIVE;
    }
    return n;
}

static void
remember_failure(CaroGeneration *g, CaroHandle upstream)
{
    if (g->n_avoid == CARO_AVOID_MAX) {
        memmove(g->avoid, g->avoid + 1, sizeof(g->avoid) - sizeof(*g->avoid));
        g->n_avoid--;
    }
    g->avoid[g->n_avoid++] = upstream;
}

static CaroTime
limit_of(const Slot *s)
{
    return s->has_token ? s->silence_after : s->first_after;
}

/* A stream whose upstream is silent for others too is given up sooner. */
static CaroTime
ceiling_of(const CaroGeneration *g, const Slot *s)
{
    CaroTime ceiling = s->has_token ? g->limits.silence_ceiling
                                    : g->limits.first_token_ceiling;
    /* A caller in the middle of its answer waits less for a first token. */
    bool is_urgent = s->is_suspected || (!s->has_token && g->count > 0);
    CaroTime sooner = limit_of(s) + limit_of(s) / 2;
    return is_urgent && sooner < ceiling ? sooner : ceiling;
}

CaroGeneration *
CaroGeneration_Create(const CaroGenerationLimits *limits, uint32_t count,
                      uint32_t tokens_max, CaroTime deadline, CaroTime now)
{
    (void)now;
    CaroGeneration *g = calloc(1, sizeof(*g));
    if (g == NULL) {
        return NULL;
    }
    g->limits = *limits;
    g->count = count;
    g->tokens_max = tokens_max;
    g->is_whole = count >= tokens_max;
    g->deadline = deadline;
    g->next_attempt = 1;
    return g;
}

void
CaroGeneration_Destroy(CaroGeneration *g)
{
    free(g);
}

void
CaroGeneration_OnStarted(CaroGeneration *g, uint32_t attempt,
                         CaroHandle upstream, CaroTime silence_after,
                         CaroTime first_after, CaroTime now, CaroTime awake)
{
    (void)now;
    Slot *s = free_slot(g);
    assert(s != NULL && attempt == g->next_attempt);
    memset(s, 0, sizeof(*s));
    s->state = SLOT_LIVE;
    s->number = attempt;
    s->upstream = upstream;
    s->quiet_since = awake;
    s->last_gap = -1;
    s->silence_after = silence_after;
    s->first_after = first_after;
    g->next_attempt++;
    g->stats.attempts++;
}

void
CaroGeneration_OnDeferred(CaroGeneration *g, CaroTime retry_at)
{
    g->retry_at = retry_at;
}

/* The attempt delivered: every other live attempt is outrun. */
static void
outrun_others(CaroGeneration *g, const Slot *winner)
{
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        Slot *s = &g->slots[i];
        if (s != winner && s->state == SLOT_LIVE) {
            s->state = SLOT_OUTRUN;
        }
    }
}

bool
CaroGeneration_OnToken(CaroGeneration *g, uint32_t attempt, uint32_t index,
                       CaroTime now, CaroTime awake)
{
    (void)now;
    Slot *s = find_slot(g, attempt);
    if (s == NULL || s->state != SLOT_LIVE || index != g->count ||
        g->count >= g->tokens_max) {
        return false;
    }
    s->last_gap = s->has_token ? awake - s->quiet_since : -1;
    s->has_token = true;
    s->is_suspected = false;
    s->quiet_since = awake;
    outrun_others(g, s);
    g->count++;
    return true;
}

void
CaroGeneration_OnClosed(CaroGeneration *g, uint32_t attempt, bool is_whole,
                        CaroTime now)
{
    (void)now;
    Slot *s = find_slot(g, attempt);
    if (s == NULL) {
        return;
    }
    bool was_live = s->state == SLOT_LIVE;
    s->state = SLOT_FREE;
    if (!was_live) {
        return;
    }
    if (is_whole) {
        g->is_whole = true;
        outrun_others(g, NULL);
        return;
    }
    remember_failure(g, s->upstream);
    g->is_loss_silent = false;
    g->retry_at = 0;
}

void
CaroGeneration_Suspect(CaroGeneration *g, uint32_t attempt)
{
    Slot *s = find_slot(g, attempt);
    if (s != NULL) {
        s->is_suspected = true;
    }
}

void
CaroGeneration_OnCancelled(CaroGeneration *g, uint32_t attempt)
{
    Slot *s = find_slot(g, attempt);
    if (s != NULL) {
        s->state = SLOT_FREE;
    }
}

/* Marks live attempts lost whose silence passed the ceiling. */
static void
judge_silence(CaroGeneration *g, CaroTime awake)
{
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        Slot *s = &g->slots[i];
        if (s->state != SLOT_LIVE ||
            awake - s->quiet_since < ceiling_of(g, s)) {
            continue;
        }
        s->state = SLOT_LOST;
        remember_failure(g, s->upstream);
        g->is_loss_silent = true;
        g->retry_at = 0;
    }
}

/* The live slot that fell silent, or NULL. */
static const Slot *
find_silent(const CaroGeneration *g, CaroTime awake)
{
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        const Slot *s = &g->slots[i];
        bool is_silent = awake - s->quiet_since >= limit_of(s) ||
                         (s->is_suspected && !s->has_token);
        if (s->state == SLOT_LIVE && is_silent) {
            return s;
        }
    }
    return NULL;
}

static CaroAction
start_action(CaroGeneration *g, const Slot *silent)
{
    CaroAction a = {.kind = CARO_ACT_START};
    a.u.start.attempt = g->next_attempt;
    a.u.start.is_standby = silent != NULL;
    a.u.start.silent = silent == NULL ? CARO_NO_HANDLE : silent->upstream;
    a.u.start.is_resume = g->next_attempt > 1;
    return a;
}

static CaroAction
fail_action(int code)
{
    CaroAction a = {.kind = CARO_ACT_FAIL};
    a.u.fail.code = code;
    return a;
}

CaroAction
CaroGeneration_Decide(CaroGeneration *g, bool has_standby_budget, CaroTime now,
                      CaroTime awake)
{
    CaroAction none = {.kind = CARO_ACT_NONE};
    judge_silence(g, awake);
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        Slot *s = &g->slots[i];
        if (s->state == SLOT_OUTRUN || s->state == SLOT_LOST) {
            CaroAction a = {.kind = CARO_ACT_CANCEL};
            a.u.cancel.attempt = s->number;
            a.u.cancel.upstream = s->upstream;
            a.u.cancel.is_lost = s->state == SLOT_LOST;
            return a;
        }
    }
    if (g->is_whole) {
        CaroAction a = {.kind = CARO_ACT_END};
        return a;
    }
    if (now >= g->deadline) {
        return fail_action(CARO_ERR_TIMEOUT);
    }
    if (now < g->retry_at) {
        return none;
    }
    int live = count_live(g);
    bool has_attempts = g->next_attempt <= (uint32_t)g->limits.attempts_max;
    if (live == 0) {
        return has_attempts ? start_action(g, NULL)
                            : fail_action(CARO_ERR_NOT_FOUND);
    }
    const Slot *silent = find_silent(g, awake);
    if (live == 1 && has_attempts && has_standby_budget && silent != NULL) {
        g->is_loss_silent = true;
        return start_action(g, silent);
    }
    return none;
}

int
CaroGeneration_GetAvoided(const CaroGeneration *g,
                          CaroHandle avoid[CARO_AVOID_MAX])
{
    int n = 0;
    for (int i = 0; i < g->n_avoid; i++) {
        avoid[n++] = g->avoid[i];
    }
    for (int i = 0; i < ATTEMPT_SLOTS && n < CARO_AVOID_MAX; i++) {
        if (g->slots[i].state != SLOT_FREE) {
            avoid[n++] = g->slots[i].upstream;
        }
    }
    return n;
}

bool
CaroGeneration_IsLastLossSilence(const CaroGeneration *g)
{
    return g->is_loss_silent;
}

CaroHandle
CaroGeneration_GetUpstream(const CaroGeneration *g, uint32_t attempt)
{
    Slot *s = find_slot((CaroGeneration *)g, attempt);
    return s == NULL ? CARO_NO_HANDLE : s->upstream;
}

CaroTime
CaroGeneration_LastGap(const CaroGeneration *g, uint32_t attempt)
{
    Slot *s = find_slot((CaroGeneration *)g, attempt);
    return s == NULL ? -1 : s->last_gap;
}

const CaroGenerationStats *
CaroGeneration_Stats(const CaroGeneration *g)
{
    return &g->stats;
}
