/*
 * The driver of the decision functions on a virtual clock.
 *
 * Events wait in a binary heap by time.  An engine is a batch of streams
 * whose steps take longer with more streams and more uncached prompt, as
 * the stand-in engine's do.  A token on its way is an event, so tokens of
 * two engines can cross, and those of a cut engine arrive late.
 */
#include "decisions.h"

#include "internal/caro_engine.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS CARO_MS
#define STEP_BASE (18 * MS)
#define STEP_SEQUENCE 250 /* Microseconds a running sequence adds. */
#define STEP_PREFILL 20   /* Microseconds a prompt token adds. */
#define NODE_TICK (20 * MS)
#define RETRY_WAIT (50 * MS)
#define FLUSH_WAIT (2 * MS)
#define CALLER_PATIENCE (3 * CARO_SECOND)
#define PATIENCE (2 * CARO_SECOND)
#define TAKE_TIMEOUT (400 * MS)
#define FROZEN_TIME (10 * CARO_SECOND)
#define CUT_TIME (20 * CARO_SECOND)
#define DEAD_TIME (30 * CARO_SECOND)
#define STANDBY_MAX 8.0
#define STANDBY_PER_TICK 0.04

enum {
    BATCH = 32,
    PREFILL_PER_STEP = 2048, /* Keeps a full step below 68 ms. */
    HEADS = 48,              /* Prompts that share a head. */
    HEAD_TOKENS = 400,
    HEADS_CACHED = 8, /* Heads an engine keeps. */
    TAIL_TOKENS = 200,
    ANSWER_TOKENS = 200,
    LONG_TOKENS = 3000,
    STREAMS_MAX = 512,
    ATTEMPTS_MAX = 12
};

#define LONG_SHARE 0.04

typedef enum {
    EVENT_ARRIVAL,
    EVENT_STEP,   /* Of an engine. */
    EVENT_TOKEN,  /* Reaches its node. */
    EVENT_CLOSED, /* A stream's end reaches its node. */
    EVENT_TICK,   /* Of a node. */
    EVENT_FAULT,
    EVENT_HEAL,
    EVENT_RECONNECT /* A caller reaches another node. */
} EventKind;

typedef struct {
    CaroTime at;
    uint64_t order; /* Ties are broken by age. */
    EventKind kind;
    int who;          /* Engine, node or fault. */
    uint32_t attempt; /* For TOKEN and CLOSED. */
    uint32_t nonce;
    uint32_t index;
    bool is_whole;
    long generation;
    int epoch; /* Of the generation, when the words were sent. */
} Event;

/* A stream at an engine. */
typedef struct {
    long generation;
    uint32_t attempt;
    uint32_t nonce;
    uint32_t next;
    uint32_t most;
    int prefill;
    int priority;
    bool is_running;
    bool is_extra; /* What it reads is read because of a loss. */
} Stream;

typedef struct {
    int domain;
    CaroTime down_until; /* Dead or frozen: no steps. */
    CaroTime cut_until;  /* Its words arrive after that. */
    bool is_step_due;
    Stream streams[STREAMS_MAX];
    int n;
    int heads[HEADS_CACHED]; /* Most recent first. */
    int n_heads;
    int boot; /* Rises with each loss of its memory. */
    double load_sum;
    long load_count;
} Engine;

typedef struct {
    int domain;
    char name[CARO_NAME_SIZE];
    CaroUpstreams *upstreams;
    CaroAdmission *admission;
    CaroTime down_until;
    double standby_budget;
    uint64_t rng;
} Node;

typedef struct {
    CaroGeneration *g; /* NULL before admission and after the end. */
    int node;
    int head;
    int tail;
    uint32_t tokens;
    uint32_t count;
    uint32_t nonce;
    int epoch; /* Rises when another node takes it over. */
    bool is_over;
    bool is_resumed;
    CaroHandle warm; /* Engine that caches it, or no handle. */
    int warm_boot;
    CaroTime arrived;
    CaroTime last_token;
    CaroTime lost_at; /* -1 when nothing is lost. */
    FaultKind lost_by;
    int64_t prefill[ATTEMPTS_MAX + 1]; /* Sent to be read, by attempt. */
} Generation;

typedef struct {
    const DriveOptions *o;
    DriveResult *r;
    gsl_rng *rng;
    gsl_rng *fault_rng; /* So that policies meet the same faults. */
    Event *heap;
    long n_heap;
    long heap_capacity;
    uint64_t order;
    CaroTime now;
    Engine engines[DRIVE_ENGINES_MAX];
    Node nodes[DRIVE_NODES_MAX];
    Generation *generations;
    long n_generations;
    long *open; /* Generations in work. */
    long n_open;
    double mean_tokens;
    double window_tokens;
    long window_refused;
    CaroTime window_end;
    CaroTime settled_at;
} Drive;

const char *
Fault_Name(FaultKind kind)
{
    static const char *const names[FAULTS] = {
        "engine killed", "engine frozen", "engine cut", "node killed",
        "node frozen",   "engine+node",   "domain cut"};
    return names[kind];
}

static bool
is_before(const Event *a, const Event *b)
{
    return a->at < b->at || (a->at == b->at && a->order < b->order);
}

static void
push(Drive *d, Event e)
{
    if (d->n_heap == d->heap_capacity) {
        d->heap_capacity = d->heap_capacity == 0 ? 4096 : 2 * d->heap_capacity;
        d->heap = realloc(d->heap, (size_t)d->heap_capacity * sizeof(Event));
        if (d->heap == NULL) {
            abort();
        }
    }
    e.order = d->order++;
    long i = d->n_heap++;
    while (i > 0 && is_before(&e, &d->heap[(i - 1) / 2])) {
        d->heap[i] = d->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    d->heap[i] = e;
}

static Event
pop(Drive *d)
{
    Event top = d->heap[0];
    Event last = d->heap[--d->n_heap];
    long i = 0;
    while (2 * i + 1 < d->n_heap) {
        long child = 2 * i + 1;
        if (child + 1 < d->n_heap &&
            is_before(&d->heap[child + 1], &d->heap[child])) {
            child++;
        }
        if (!is_before(&d->heap[child], &last)) {
            break;
        }
        d->heap[i] = d->heap[child];
        i = child;
    }
    d->heap[i] = last;
    return top;
}

static CaroTime
delay(const Drive *d, int domain_a, int domain_b)
{
    return domain_a == domain_b ? 100 : d->o->one_way;
}

static bool
is_capacity_left(const Engine *e)
{
    return e->n < STREAMS_MAX;
}

static void
schedule_step(Drive *d, int engine, CaroTime wait)
{
    Engine *e = &d->engines[engine];
    if (!e->is_step_due) {
        e->is_step_due = true;
        push(d,
             (Event){.at = d->now + wait, .kind = EVENT_STEP, .who = engine});
    }
}

/* Uncached tokens of a prompt; the head becomes the most recent. */
static int
read_prompt(Engine *e, int head, int tail)
{
    int at = 0;
    while (at < e->n_heads && e->heads[at] != head) {
        at++;
    }
    bool is_cached = at < e->n_heads;
    if (!is_cached && e->n_heads < HEADS_CACHED) {
        e->n_heads++;
    }
    if (at >= HEADS_CACHED) {
        at = HEADS_CACHED - 1;
    }
    memmove(&e->heads[1], &e->heads[0], (size_t)at * sizeof(int));
    e->heads[0] = head;
    return tail + (is_cached ? 0 : HEAD_TOKENS);
}

static void
open_stream(Drive *d, long id, uint32_t attempt, int engine, bool is_resume)
{
    Engine *e = &d->engines[engine];
    Generation *g = &d->generations[id];
    Stream *s = &e->streams[e->n++];
    int uncached = read_prompt(e, g->head, g->tail);
    d->r->prompt_read += uncached;
    d->r->prompt_all += HEAD_TOKENS + g->tail;
    *s = (Stream){.generation = id,
                  .attempt = attempt,
                  .next = g->count,
                  .most = g->tokens,
                  .is_extra = is_resume};
    s->nonce = g->count > 0 ? g->nonce : (uint32_t)gsl_rng_get(d->rng);
    bool is_warm = g->warm == engine && g->warm_boot == e->boot;
    s->prefill = is_warm ? 1 : uncached + (int)g->count;
    s->priority = CARO_PRIORITY_INTERACTIVE;
    if (is_resume) {
        s->priority = s->prefill < CARO_LONG_RESUME_TOKENS
                          ? CARO_PRIORITY_SHORT_RESUME
                          : CARO_PRIORITY_LONG_RESUME;
    }
    schedule_step(d, engine, STEP_BASE);
}

static void
cancel_stream(Drive *d, int engine, long id, uint32_t attempt)
{
    Engine *e = &d->engines[engine];
    (void)d;
    for (int i = 0; i < e->n; i++) {
        if (e->streams[i].generation == id &&
            e->streams[i].attempt == attempt) {
            e->streams[i] = e->streams[--e->n];
            return;
        }
    }
}

static void
remove_open(Drive *d, long id)
{
    for (long i = 0; i < d->n_open; i++) {
        if (d->open[i] == id) {
            d->open[i] = d->open[--d->n_open];
            return;
        }
    }
}

static void
end_generation(Drive *d, long id, bool is_whole)
{
    Generation *g = &d->generations[id];
    Node *n = &d->nodes[g->node];
    CaroAdmission_Release(n->admission, g->tokens + HEAD_TOKENS, d->now);
    CaroGeneration_Destroy(g->g);
    g->g = NULL;
    g->is_over = true;
    remove_open(d, id);
    if (is_whole) {
        d->r->whole++;
        if (g->count != g->tokens) {
            d->r->wrong++;
        }
    }
    else {
        d->r->failed++;
    }
}

/* The attempt read its prompt, or was given up. */
static void
settle_prefill(Drive *d, Generation *g, uint32_t attempt)
{
    CaroHandle h = CaroGeneration_UpstreamOf(g->g, attempt);
    if (h != CARO_NO_HANDLE) {
        CaroUpstreams_AddPrefill(d->nodes[g->node].upstreams, h,
                                 -g->prefill[attempt]);
        g->prefill[attempt] = 0;
    }
}

static void
start_attempt(Drive *d, long id, const CaroAction *a)
{
    Generation *g = &d->generations[id];
    Node *n = &d->nodes[g->node];
    CaroRouteQuery q = {.policy = d->o->policy,
                        .deployment = "chat",
                        .vm = n->name,
                        .subset = 24,
                        .prefix_hash = (uint64_t)g->head * 2654435761U,
                        .warm = g->warm,
                        .leaves_domain = CaroGeneration_IsLossSilent(g->g),
                        .is_resume = a->u.start.is_resume || g->is_resumed};
    q.n_avoid = CaroGeneration_Avoid(g->g, q.avoid);
    CaroHandle h = CaroRouter_Choose(n->upstreams, &q, d->now, &n->rng);
    if (h == CARO_NO_HANDLE || !is_capacity_left(&d->engines[h])) {
        CaroGeneration_Deferred(g->g, d->now + RETRY_WAIT);
        return;
    }
    CaroGeneration_Started(
        g->g, a->u.start.attempt, h,
        CaroUpstreams_SilenceAfter(n->upstreams, h, 300 * MS, 1200 * MS),
        CaroUpstreams_FirstTokenAfter(n->upstreams, h, 1200 * MS, 4000 * MS),
        d->now, d->now);
    CaroUpstreams_Started(n->upstreams, h);
    g->prefill[a->u.start.attempt] = HEAD_TOKENS + g->tail + g->count;
    CaroUpstreams_AddPrefill(n->upstreams, h, g->prefill[a->u.start.attempt]);
    if (a->u.start.is_standby) {
        n->standby_budget -= 1.0;
        CaroUpstreams_Doubt(n->upstreams, a->u.start.silent, d->now);
    }
    Engine *e = &d->engines[h];
    bool is_dead = e->down_until == INT64_MAX;
    if (is_dead) {
        /* The connection is refused. */
        push(d, (Event){.at = d->now + 2 * delay(d, n->domain, e->domain),
                        .kind = EVENT_CLOSED,
                        .who = h,
                        .attempt = a->u.start.attempt,
                        .generation = id,
                        .epoch = g->epoch});
        return;
    }
    if (d->now >= e->cut_until) {
        CaroUpstreams_Report(n->upstreams, h, e->n < BATCH ? e->n : BATCH,
                             e->n > BATCH ? e->n - BATCH : 0, BATCH, d->now);
    }
    open_stream(d, id, a->u.start.attempt, h,
                a->u.start.is_resume || g->is_resumed);
}

static void
advance(Drive *d, long id)
{
    enum { ACTIONS_MAX = 16 };
    for (int i = 0; i < ACTIONS_MAX; i++) {
        Generation *g = &d->generations[id];
        if (g->g == NULL) {
            return;
        }
        Node *n = &d->nodes[g->node];
        CaroAction a = CaroGeneration_Decide(g->g, n->standby_budget >= 1.0,
                                             d->now, d->now);
        switch (a.kind) {
        case CARO_ACT_NONE:
            return;
        case CARO_ACT_START:
            start_attempt(d, id, &a);
            break;
        case CARO_ACT_CANCEL:
            if (a.u.cancel.is_lost) {
                CaroUpstreams_Failed(n->upstreams, a.u.cancel.upstream,
                                     d->now);
            }
            settle_prefill(d, g, a.u.cancel.attempt);
            CaroUpstreams_Done(n->upstreams, a.u.cancel.upstream);
            cancel_stream(d, a.u.cancel.upstream, id, a.u.cancel.attempt);
            CaroGeneration_Cancelled(g->g, a.u.cancel.attempt);
            break;
        case CARO_ACT_END:
            end_generation(d, id, true);
            return;
        case CARO_ACT_FAIL:
            end_generation(d, id, false);
            return;
        }
    }
}

static void
admit(Drive *d, long id)
{
    static const CaroGenerationLimits limits = {.silence_floor = 300 * MS,
                                                .silence_ceiling = 1200 * MS,
                                                .first_token = 4000 * MS,
                                                .attempts_max = ATTEMPTS_MAX};
    Generation *g = &d->generations[id];
    g->g =
        CaroGeneration_Create(&limits, g->count, g->tokens, INT64_MAX, d->now);
    if (g->g == NULL) {
        abort();
    }
    advance(d, id);
}

static double
rate_now(const Drive *d)
{
    double capacity =
        d->o->engines * (double)BATCH /
        ((double)(STEP_BASE + BATCH * STEP_SEQUENCE) / (double)CARO_SECOND);
    double rate = d->o->load * capacity / d->mean_tokens;
    bool is_burst = d->now >= d->o->burst_from && d->now < d->o->burst_to;
    return is_burst ? rate * d->o->burst : rate;
}

static void
on_arrival(Drive *d)
{
    if (d->n_generations >= d->o->generations) {
        return;
    }
    long id = d->n_generations++;
    Generation *g = &d->generations[id];
    bool is_long = gsl_rng_uniform(d->rng) < LONG_SHARE;
    int nodes = d->o->nodes;
    do {
        g->node = (int)gsl_rng_uniform_int(d->rng, (unsigned)nodes);
    } while (d->now < d->nodes[g->node].down_until);
    g->head = (int)gsl_rng_uniform_int(d->rng, HEADS);
    g->tail = 1 + (int)gsl_ran_exponential(d->rng, TAIL_TOKENS);
    g->tokens = 2 + (uint32_t)gsl_ran_exponential(
                        d->rng, is_long ? LONG_TOKENS : ANSWER_TOKENS);
    g->arrived = d->now;
    g->lost_at = -1;
    g->warm = CARO_NO_HANDLE;
    d->r->started++;
    d->open[d->n_open++] = id;
    char account[CARO_NAME_SIZE];
    (void)snprintf(account, sizeof(account), "a%lu",
                   gsl_rng_uniform_int(d->rng, 10));
    CaroOffer offer = {.id = (uint64_t)id,
                       .account = account,
                       .class = CARO_CLASS_INTERACTIVE,
                       .cost = g->tokens + HEAD_TOKENS,
                       .patience = PATIENCE};
    CaroVerdict v =
        CaroAdmission_Offer(d->nodes[g->node].admission, &offer, d->now);
    if (v.kind == CARO_REFUSED) {
        d->r->refused++;
        d->window_refused++;
        g->is_over = true;
        remove_open(d, id);
    }
    else if (v.kind == CARO_ADMITTED) {
        admit(d, id);
    }
    double wait = gsl_ran_exponential(d->rng, 1.0 / rate_now(d));
    push(d, (Event){.at = d->now + 1 + (CaroTime)(wait * CARO_SECOND),
                    .kind = EVENT_ARRIVAL});
}

/* When the words that an engine says now reach a node. */
static CaroTime
arrival_time(const Drive *d, const Engine *e, int node)
{
    CaroTime at = d->now > e->cut_until ? d->now : e->cut_until;
    return at + delay(d, e->domain, d->nodes[node].domain);
}

static void
give_token(Drive *d, int engine, Stream *s)
{
    Engine *e = &d->engines[engine];
    const Generation *g = &d->generations[s->generation];
    Event event = {.at = arrival_time(d, e, g->node),
                   .kind = EVENT_TOKEN,
                   .who = engine,
                   .attempt = s->attempt,
                   .nonce = s->nonce,
                   .index = s->next++,
                   .generation = s->generation,
                   .epoch = g->epoch};
    d->r->tokens_computed += 1.0;
    push(d, event);
    if (s->next >= s->most) {
        event.kind = EVENT_CLOSED;
        event.is_whole = true;
        push(d, event);
    }
}

static void
admit_streams(Engine *e)
{
    int running = 0;
    for (int i = 0; i < e->n; i++) {
        running += e->streams[i].is_running;
    }
    for (int priority = 0; priority < CARO_PRIORITIES; priority++) {
        for (int i = 0; i < e->n && running < BATCH; i++) {
            Stream *s = &e->streams[i];
            if (!s->is_running && s->priority == priority) {
                s->is_running = true;
                running++;
            }
        }
    }
}

/* Reads prompts of a priority up to the budget; returns how much. */
static int
read_some(Drive *d, Engine *e, int priority, int budget)
{
    int left = budget;
    for (int i = 0; i < e->n; i++) {
        Stream *s = &e->streams[i];
        if (!s->is_running || s->priority != priority) {
            continue;
        }
        int n = s->prefill < left ? s->prefill : left;
        s->prefill -= n;
        left -= n;
        d->r->tokens_computed += n;
        d->r->tokens_extra += s->is_extra ? n : 0;
    }
    return budget - left;
}

static void
on_step(Drive *d, int engine)
{
    Engine *e = &d->engines[engine];
    e->is_step_due = false;
    if (e->down_until == INT64_MAX) {
        return;
    }
    if (d->now < e->down_until) {
        schedule_step(d, engine, e->down_until - d->now);
        return;
    }
    admit_streams(e);
    int budget = PREFILL_PER_STEP;
    int running = 0;
    for (int i = 0; i < e->n; i++) {
        Stream *s = &e->streams[i];
        running += s->is_running;
        if (s->is_running && s->prefill == 0) {
            give_token(d, engine, s);
        }
    }
    for (int priority = 0; priority < CARO_PRIORITIES; priority++) {
        budget -= read_some(d, e, priority, budget);
    }
    for (int i = e->n - 1; i >= 0; i--) {
        if (e->streams[i].next >= e->streams[i].most) {
            e->streams[i] = e->streams[--e->n];
        }
    }
    e->load_sum += (double)running / BATCH;
    e->load_count++;
    if (e->n > 0) {
        schedule_step(d, engine,
                      STEP_BASE + running * STEP_SEQUENCE +
                          (CaroTime)(PREFILL_PER_STEP - budget) *
                              STEP_PREFILL);
    }
}

static void
note_resumed(Drive *d, Generation *g)
{
    if (g->lost_at >= 0) {
        Samples_Add(&d->r->resume_ms[g->lost_by],
                    (double)(d->now - g->lost_at) / MS);
        g->lost_at = -1;
    }
}

static void
on_token(Drive *d, const Event *e)
{
    Generation *g = &d->generations[e->generation];
    if (g->g == NULL || e->epoch != g->epoch ||
        d->now < d->nodes[g->node].down_until) {
        d->r->tokens_extra += 1.0;
        return;
    }
    Node *n = &d->nodes[g->node];
    CaroHandle h = CaroGeneration_UpstreamOf(g->g, e->attempt);
    if (h != e->who ||
        !CaroGeneration_OnToken(g->g, e->attempt, e->index, d->now, d->now)) {
        d->r->tokens_extra += 1.0;
        advance(d, e->generation);
        return;
    }
    if (g->count == 0) {
        g->nonce = e->nonce;
        Samples_Add(&d->r->first_ms, (double)(d->now - g->arrived) / MS);
    }
    else {
        Samples_Add(&d->r->gap_ms, (double)(d->now - g->last_token) / MS);
    }
    /* The check of the promise: one nonce, every index once, in order. */
    if (e->nonce != g->nonce || e->index != g->count) {
        d->r->wrong++;
    }
    g->warm = h;
    g->warm_boot = d->engines[h].boot;
    g->count++;
    g->last_token = d->now;
    d->r->tokens_delivered += 1.0;
    d->window_tokens += 1.0;
    note_resumed(d, g);
    CaroUpstreams_Heard(n->upstreams, h, d->now);
    CaroTime gap = CaroGeneration_LastGap(g->g, e->attempt);
    if (gap >= 0) {
        CaroUpstreams_ObserveGap(n->upstreams, h, gap);
    }
    else {
        settle_prefill(d, g, e->attempt);
        CaroUpstreams_ObserveFirst(n->upstreams, h, d->now - g->arrived);
        CaroUpstreams_Succeeded(n->upstreams, h);
    }
    advance(d, e->generation);
}

static void
on_closed(Drive *d, const Event *e)
{
    Generation *g = &d->generations[e->generation];
    if (g->g == NULL || e->epoch != g->epoch ||
        d->now < d->nodes[g->node].down_until ||
        CaroGeneration_UpstreamOf(g->g, e->attempt) != e->who) {
        return;
    }
    Node *n = &d->nodes[g->node];
    settle_prefill(d, g, e->attempt);
    CaroUpstreams_Done(n->upstreams, e->who);
    if (!e->is_whole) {
        CaroUpstreams_Failed(n->upstreams, e->who, d->now);
    }
    CaroGeneration_OnClosed(g->g, e->attempt, e->is_whole, d->now);
    advance(d, e->generation);
}

/* Silence of an upstream towards one generation warns the others. */
static void
suspect(Drive *d, Generation *g)
{
    Node *n = &d->nodes[g->node];
    for (uint32_t a = 1; a <= CaroGeneration_Stats(g->g)->attempts; a++) {
        CaroHandle h = CaroGeneration_UpstreamOf(g->g, a);
        if (h != CARO_NO_HANDLE &&
            CaroUpstreams_IsDoubted(n->upstreams, h, d->now)) {
            CaroGeneration_Suspect(g->g, a);
        }
    }
}

/* Asks failed upstreams for a sign of life, as the load polls do. */
static void
probe_upstreams(Drive *d, Node *n)
{
    for (CaroHandle h = 0; h < d->o->engines; h++) {
        const Engine *e = &d->engines[h];
        if (!CaroUpstreams_NeedsProbe(n->upstreams, h, d->now)) {
            continue;
        }
        if (d->now >= e->down_until && d->now >= e->cut_until) {
            CaroUpstreams_Probed(n->upstreams, h);
        }
        else {
            CaroUpstreams_Failed(n->upstreams, h, d->now);
        }
    }
}

static void
on_tick(Drive *d, int node)
{
    Node *n = &d->nodes[node];
    push(d,
         (Event){.at = d->now + NODE_TICK, .kind = EVENT_TICK, .who = node});
    if (d->now < n->down_until) {
        return;
    }
    probe_upstreams(d, n);
    n->standby_budget += STANDBY_PER_TICK;
    if (n->standby_budget > STANDBY_MAX) {
        n->standby_budget = STANDBY_MAX;
    }
    CaroAdmission_SetLimit(n->admission,
                           CaroLimits_Of(n->upstreams, "chat",
                                         CaroAdmission_Running(n->admission),
                                         d->o->nodes, d->now));
    for (long i = d->n_open - 1; i >= 0; i--) {
        long id = i < d->n_open ? d->open[i] : -1;
        if (id >= 0 && d->generations[id].node == node &&
            d->generations[id].g != NULL) {
            suspect(d, &d->generations[id]);
            advance(d, id);
        }
    }
    uint64_t id;
    while (CaroAdmission_Next(n->admission, &id, d->now)) {
        admit(d, (long)id);
    }
}

static void
mark_lost(Drive *d, long id, FaultKind kind)
{
    Generation *g = &d->generations[id];
    if (g->count > 0 && g->lost_at < 0) {
        g->lost_at = d->now;
        g->lost_by = kind;
    }
}

/* Marks the generations that an engine serves as lost by the fault. */
static void
mark_streams(Drive *d, int engine, FaultKind kind)
{
    Engine *e = &d->engines[engine];
    for (int i = 0; i < e->n; i++) {
        mark_lost(d, e->streams[i].generation, kind);
    }
}

static void
kill_engine(Drive *d, int engine, FaultKind kind)
{
    Engine *e = &d->engines[engine];
    mark_streams(d, engine, kind);
    for (int i = 0; i < e->n; i++) {
        const Stream *s = &e->streams[i];
        int node = d->generations[s->generation].node;
        push(d, (Event){.at = arrival_time(d, e, node),
                        .kind = EVENT_CLOSED,
                        .who = engine,
                        .attempt = s->attempt,
                        .generation = s->generation,
                        .epoch = d->generations[s->generation].epoch});
    }
    e->n = 0;
    e->n_heads = 0;
    e->boot++;
    e->down_until = INT64_MAX;
    push(d,
         (Event){.at = d->now + DEAD_TIME, .kind = EVENT_HEAL, .who = engine});
}

/* A node is gone: its callers come to others, which take the journals. */
static void
lose_node(Drive *d, int node, FaultKind kind, CaroTime notice)
{
    Node *n = &d->nodes[node];
    n->down_until = d->now + DEAD_TIME;
    for (long i = d->n_open - 1; i >= 0; i--) {
        long id = d->open[i];
        Generation *g = &d->generations[id];
        if (g->node != node) {
            continue;
        }
        mark_lost(d, id, kind);
        push(d, (Event){.at = d->now + notice,
                        .kind = EVENT_RECONNECT,
                        .generation = id});
    }
}

static void
on_reconnect(Drive *d, long id)
{
    Generation *g = &d->generations[id];
    if (g->is_over) {
        return;
    }
    Node *old = &d->nodes[g->node];
    bool was_running = g->g != NULL;
    if (was_running) {
        for (uint32_t a = 1; a <= CaroGeneration_Stats(g->g)->attempts; a++) {
            CaroHandle h = CaroGeneration_UpstreamOf(g->g, a);
            if (h != CARO_NO_HANDLE) {
                settle_prefill(d, g, a);
                CaroUpstreams_Done(old->upstreams, h);
                cancel_stream(d, h, id, a);
            }
        }
        CaroGeneration_Destroy(g->g);
        g->g = NULL;
        CaroAdmission_Release(old->admission, 0.0, d->now);
    }
    else {
        CaroAdmission_Withdraw(old->admission, (uint64_t)id);
    }
    do {
        g->node = (int)gsl_rng_uniform_int(d->rng, (unsigned)d->o->nodes);
    } while (d->now < d->nodes[g->node].down_until);
    g->is_resumed = g->count > 0;
    g->epoch++;
    /* A resumed generation is served at once, whatever the limit. */
    CaroOffer offer = {.id = (uint64_t)id,
                       .account = "resumed",
                       .class = CARO_CLASS_RESUME,
                       .cost = g->tokens,
                       .patience = 60 * CARO_SECOND};
    if (CaroAdmission_Offer(d->nodes[g->node].admission, &offer, d->now)
            .kind != CARO_QUEUED) {
        admit(d, id);
    }
}

static int
random_engine(Drive *d)
{
    return (int)gsl_rng_uniform_int(d->fault_rng, (unsigned)d->o->engines);
}

static int
random_node(Drive *d)
{
    return (int)gsl_rng_uniform_int(d->fault_rng, (unsigned)d->o->nodes);
}

/* Time until a caller of a dead node is served by another: it sees the
   reset, connects, and the new node asks the owner and the backup. */
static CaroTime
takeover_time(const Drive *d)
{
    return 4 * d->o->client + 10 * MS + 4 * d->o->one_way;
}

static void
cut_domain(Drive *d, int domain)
{
    for (int i = 0; i < d->o->engines; i++) {
        if (d->engines[i].domain == domain) {
            mark_streams(d, i, FAULT_DOMAIN_CUT);
            d->engines[i].cut_until = d->now + CUT_TIME;
        }
    }
}

static void
on_fault(Drive *d)
{
    FaultKind kind =
        d->o->fault_only >= 0
            ? (FaultKind)d->o->fault_only
            : (FaultKind)gsl_rng_uniform_int(d->fault_rng, FAULT_DOMAIN_CUT);
    int engine = random_engine(d);
    int node = random_node(d);
    d->r->losses[kind]++;
    switch (kind) {
    case FAULT_ENGINE_KILLED:
        kill_engine(d, engine, kind);
        break;
    case FAULT_ENGINE_FROZEN:
        mark_streams(d, engine, kind);
        d->engines[engine].down_until = d->now + FROZEN_TIME;
        break;
    case FAULT_ENGINE_CUT:
        mark_streams(d, engine, kind);
        d->engines[engine].cut_until = d->now + CUT_TIME;
        break;
    case FAULT_NODE_KILLED:
        lose_node(d, node, kind, takeover_time(d));
        break;
    case FAULT_NODE_FROZEN:
        lose_node(d, node, kind,
                  CALLER_PATIENCE + TAKE_TIMEOUT + takeover_time(d));
        break;
    case FAULT_BOTH_KILLED:
        lose_node(d, node, kind, takeover_time(d));
        kill_engine(d, engine, kind);
        break;
    default:
        cut_domain(d, (int)gsl_rng_uniform_int(d->fault_rng, DRIVE_DOMAINS));
        break;
    }
    push(d, (Event){.at = d->now + d->o->fault_every, .kind = EVENT_FAULT});
}

/* Goodput before, in and after a burst, and when it has recovered. */
static void
close_window(Drive *d)
{
    const DriveOptions *o = d->o;
    if (o->burst_to == 0 || d->now < d->window_end) {
        return;
    }
    double seconds = 1.0;
    double rate = d->window_tokens / seconds;
    CaroTime middle = d->window_end - CARO_SECOND / 2;
    if (middle < o->burst_from && middle > o->burst_from / 2) {
        d->r->goodput[0] += rate;
    }
    else if (middle >= o->burst_from + 10 * CARO_SECOND &&
             middle < o->burst_to) {
        d->r->goodput[1] += rate;
    }
    if (middle > o->burst_to && d->window_refused > 0) {
        d->settled_at = d->now;
    }
    d->window_tokens = 0.0;
    d->window_refused = 0;
    d->window_end += CARO_SECOND;
}

static void
handle(Drive *d, const Event *e)
{
    switch (e->kind) {
    case EVENT_ARRIVAL:
        on_arrival(d);
        break;
    case EVENT_STEP:
        on_step(d, e->who);
        break;
    case EVENT_TOKEN:
        on_token(d, e);
        break;
    case EVENT_CLOSED:
        on_closed(d, e);
        break;
    case EVENT_TICK:
        on_tick(d, e->who);
        break;
    case EVENT_FAULT:
        on_fault(d);
        break;
    case EVENT_HEAL:
        d->engines[e->who].down_until = 0;
        break;
    case EVENT_RECONNECT:
        on_reconnect(d, e->generation);
        break;
    }
}

static void
create_node(Drive *d, int i)
{
    Node *n = &d->nodes[i];
    n->domain = i % DRIVE_DOMAINS;
    n->standby_budget = STANDBY_MAX;
    n->rng = d->o->seed * 1000 + (uint64_t)i;
    (void)snprintf(n->name, sizeof(n->name), "n%d", i);
    n->upstreams = CaroUpstreams_Create();
    n->admission = CaroAdmission_Create(512);
    for (int j = 0; j < d->o->engines; j++) {
        CaroUpstream u = {.kind = CARO_UPSTREAM_MODEL};
        (void)snprintf(u.name, sizeof(u.name), "e%d", j);
        (void)snprintf(u.domain, sizeof(u.domain), "d%d", j % DRIVE_DOMAINS);
        CARO_COPY(u.deployment, "chat");
        (void)CaroUpstreams_Put(n->upstreams, &u);
    }
    CaroAdmission_SetLimit(n->admission, 64);
    push(d, (Event){.at = i * 1000, .kind = EVENT_TICK, .who = i});
}

static void
take_loads(Drive *d)
{
    double sum = 0.0;
    for (int i = 0; i < d->o->engines; i++) {
        const Engine *e = &d->engines[i];
        double mean =
            e->load_count == 0 ? 0.0 : e->load_sum / (double)e->load_count;
        sum += mean;
        if (mean > d->r->worst_load) {
            d->r->worst_load = mean;
        }
    }
    d->r->mean_load = sum / d->o->engines;
}

void
Drive_Run(const DriveOptions *options, DriveResult *result)
{
    Drive *d = calloc(1, sizeof(*d));
    if (d == NULL) {
        abort();
    }
    memset(result, 0, sizeof(*result));
    d->o = options;
    d->r = result;
    d->rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(d->rng, options->seed);
    d->fault_rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(d->fault_rng, options->seed + 1);
    d->mean_tokens =
        LONG_SHARE * LONG_TOKENS + (1.0 - LONG_SHARE) * ANSWER_TOKENS;
    d->generations =
        calloc((size_t)options->generations, sizeof(*d->generations));
    d->open = calloc((size_t)options->generations, sizeof(*d->open));
    d->window_end = CARO_SECOND;
    for (int i = 0; i < options->engines; i++) {
        d->engines[i].domain = i % DRIVE_DOMAINS;
    }
    for (int i = 0; i < options->nodes; i++) {
        create_node(d, i);
    }
    push(d, (Event){.at = 1, .kind = EVENT_ARRIVAL});
    if (options->fault_every > 0) {
        push(d, (Event){.at = options->fault_every, .kind = EVENT_FAULT});
    }
    while (d->n_heap > 0 &&
           (d->n_open > 0 || d->n_generations < options->generations)) {
        Event e = pop(d);
        d->now = e.at;
        close_window(d);
        handle(d, &e);
    }
    take_loads(d);
    if (options->burst_to > 0) {
        double before = (double)(options->burst_from / 2) / CARO_SECOND;
        double in =
            (double)(options->burst_to - options->burst_from) / CARO_SECOND -
            10.0;
        result->goodput[0] /= before;
        result->goodput[1] /= in;
        result->recovery_s =
            d->settled_at == 0
                ? 0.0
                : (double)(d->settled_at - options->burst_to) / CARO_SECOND;
    }
    for (int i = 0; i < options->nodes; i++) {
        CaroUpstreams_Destroy(d->nodes[i].upstreams);
        CaroAdmission_Destroy(d->nodes[i].admission);
    }
    for (long i = 0; i < d->n_generations; i++) {
        CaroGeneration_Destroy(d->generations[i].g);
    }
    free(d->generations);
    free(d->open);
    free(d->heap);
    gsl_rng_free(d->rng);
    gsl_rng_free(d->fault_rng);
    free(d);
}
