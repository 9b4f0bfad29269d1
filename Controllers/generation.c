/*
 * Attempts, standbys and resumes of one generation.
 *
 * Invariants:
 *   - A token is accepted only from a live attempt and only when its index
 *     equals the count of tokens so far.  Since an attempt continues the
 *     prefix it was started with, and both live attempts were started with
 *     prefixes of the same journal, no token is missing or repeated.
 *   - When one of two live attempts delivers a token, it supersedes the
 *     other, whose tokens would continue another prefix.  The other is
 *     cancelled and its later tokens are dropped, so that the output of two
 *     attempts is never mixed.
 *   - An upstream that failed a generation is not used for it again, as
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
    SLOT_SUPERSEDED, /* Another attempt delivered first; to be cancelled. */
    SLOT_LOST        /* Silent beyond the ceiling; to be cancelled. */
} SlotState;

typedef struct {
    SlotState state;
    uint32_t number;
    CaroHandle upstream;
    bool has_token;
    bool is_suspected;      /* Other streams of its upstream are silent. */
    CaroTime last_heard_at; /* Its last token or start, on the awake clock. */
    CaroTime last_gap;
    CaroTime silence_timeout;
    CaroTime first_token_timeout;
} Slot;

struct CaroGeneration {
    CaroGenerationLimits limits;
    Slot slots[ATTEMPT_SLOTS];
    uint32_t count;
    uint32_t tokens_max;
    uint32_t next_attempt;
    bool is_complete;
    CaroTime deadline;
    CaroTime retry_at;
    CaroHandle avoid[CARO_AVOID_MAX];
    int n_avoid;
    bool is_last_loss_silence;
    bool is_replaceable; /* See CaroGeneration_SetReplaceable. */
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
find_free_slot(CaroGeneration *g)
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
record_failure(CaroGeneration *g, CaroHandle upstream)
{
    if (g->n_avoid == CARO_AVOID_MAX) {
        memmove(g->avoid, g->avoid + 1, sizeof(g->avoid) - sizeof(*g->avoid));
        g->n_avoid--;
    }
    g->avoid[g->n_avoid++] = upstream;
}

static CaroTime
timeout_of(const Slot *s)
{
    return s->has_token ? s->silence_timeout : s->first_token_timeout;
}

/* Returns the silence after which the attempt is lost.  It is shorter for an
   attempt whose upstream is silent for other streams too. */
static CaroTime
ceiling_of(const CaroGeneration *g, const Slot *s)
{
    CaroTime ceiling = s->has_token ? g->limits.silence_ceiling
                                    : g->limits.first_token_ceiling;
    /* A caller that already has tokens notices the gap while a resume waits
       for its first token, so that this wait is shorter as well. */
    bool is_urgent = s->is_suspected || (!s->has_token && g->count > 0);
    CaroTime shorter = timeout_of(s) + timeout_of(s) / 2;
    return is_urgent && shorter < ceiling ? shorter : ceiling;
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
    g->is_complete = count >= tokens_max;
    g->deadline = deadline;
    g->next_attempt = 1;
    g->is_replaceable = true;
    return g;
}

void
CaroGeneration_Destroy(CaroGeneration *g)
{
    free(g);
}

void
CaroGeneration_OnStarted(CaroGeneration *g, uint32_t attempt,
                         CaroHandle upstream, CaroTime silence_timeout,
                         CaroTime first_token_timeout, CaroTime now,
                         CaroTime awake)
{
    (void)now;
    Slot *s = find_free_slot(g);
    assert(s != NULL && attempt == g->next_attempt);
    memset(s, 0, sizeof(*s));
    s->state = SLOT_LIVE;
    s->number = attempt;
    s->upstream = upstream;
    s->last_heard_at = awake;
    s->last_gap = -1;
    s->silence_timeout = silence_timeout;
    s->first_token_timeout = first_token_timeout;
    g->next_attempt++;
    g->stats.attempts++;
}

void
CaroGeneration_OnDeferred(CaroGeneration *g, CaroTime retry_at)
{
    g->retry_at = retry_at;
}

/* Marks every live attempt but the one that delivered as superseded. */
static void
supersede_others(CaroGeneration *g, const Slot *delivered)
{
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        Slot *s = &g->slots[i];
        if (s != delivered && s->state == SLOT_LIVE) {
            s->state = SLOT_SUPERSEDED;
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
    s->last_gap = s->has_token ? awake - s->last_heard_at : -1;
    s->has_token = true;
    s->is_suspected = false;
    s->last_heard_at = awake;
    supersede_others(g, s);
    g->count++;
    return true;
}

void
CaroGeneration_OnClosed(CaroGeneration *g, uint32_t attempt, bool is_complete,
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
    if (is_complete) {
        g->is_complete = true;
        supersede_others(g, NULL);
        return;
    }
    record_failure(g, s->upstream);
    g->is_last_loss_silence = false;
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

static bool
has_attempts_left(const CaroGeneration *g)
{
    return g->next_attempt <= (uint32_t)g->limits.attempts_max;
}

static bool
is_beyond_ceiling(const CaroGeneration *g, const Slot *s, CaroTime awake)
{
    return s->state == SLOT_LIVE &&
           awake - s->last_heard_at >= ceiling_of(g, s);
}

bool
CaroGeneration_HasSilentBeyondCeiling(const CaroGeneration *g, CaroTime awake)
{
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        if (is_beyond_ceiling(g, &g->slots[i], awake)) {
            return true;
        }
    }
    return false;
}

void
CaroGeneration_SetReplaceable(CaroGeneration *g, bool is_replaceable)
{
    g->is_replaceable = is_replaceable;
}

/* Marks live attempts as lost whose silence has reached the ceiling.  The only
   one is kept when nothing can replace it, since it may still deliver. */
static void
expire_silent_attempts(CaroGeneration *g, CaroTime awake)
{
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        Slot *s = &g->slots[i];
        bool is_kept = count_live(g) == 1 &&
                       (!has_attempts_left(g) || !g->is_replaceable);
        if (is_kept || !is_beyond_ceiling(g, s, awake)) {
            continue;
        }
        s->state = SLOT_LOST;
        record_failure(g, s->upstream);
        g->is_last_loss_silence = true;
        g->retry_at = 0;
    }
}

/* Returns the live slot that counts as silent, or NULL. */
static const Slot *
find_silent(const CaroGeneration *g, CaroTime awake)
{
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        const Slot *s = &g->slots[i];
        bool is_silent = awake - s->last_heard_at >= timeout_of(s) ||
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
    expire_silent_attempts(g, awake);
    for (int i = 0; i < ATTEMPT_SLOTS; i++) {
        Slot *s = &g->slots[i];
        if (s->state == SLOT_SUPERSEDED || s->state == SLOT_LOST) {
            CaroAction a = {.kind = CARO_ACT_CANCEL};
            a.u.cancel.attempt = s->number;
            a.u.cancel.upstream = s->upstream;
            a.u.cancel.is_lost = s->state == SLOT_LOST;
            return a;
        }
    }
    if (g->is_complete) {
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
    bool has_attempts = has_attempts_left(g);
    if (live == 0) {
        return has_attempts ? start_action(g, NULL)
                            : fail_action(CARO_ERR_NOT_FOUND);
    }
    const Slot *silent = find_silent(g, awake);
    if (live == 1 && has_attempts && has_standby_budget && silent != NULL) {
        g->is_last_loss_silence = true;
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
    return g->is_last_loss_silence;
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
