/*
 * Emulated engines: a batch of streams whose steps take longer with more
 * streams and more uncached prompt, as the stand-in engine's do.
 */
#include "drive.h"

#include <string.h>

CaroTime
Drive_Delay(const Drive *d, int domain_a, int domain_b)
{
    return domain_a == domain_b ? 100 : d->o->one_way;
}

bool
Drive_HasRoom(const Engine *e)
{
    return e->n < STREAMS_MAX;
}

static void
schedule_step(Drive *d, int engine, CaroTime wait)
{
    Engine *e = &d->engines[engine];
    if (!e->is_step_due) {
        e->is_step_due = true;
        Drive_Push(
            d,
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

void
Drive_OpenStream(Drive *d, long id, uint32_t attempt, int engine,
                 bool is_resume)
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
    bool is_warm = g->warm == engine && g->warm_boot == e->boot_id;
    s->prefill = is_warm ? 1 : uncached + (int)g->count;
    s->priority = CARO_PRIORITY_INTERACTIVE;
    if (is_resume) {
        s->priority = s->prefill < CARO_LONG_RESUME_TOKENS_MIN
                          ? CARO_PRIORITY_SHORT_RESUME
                          : CARO_PRIORITY_LONG_RESUME;
    }
    schedule_step(d, engine, STEP_BASE);
}

void
Drive_CancelStream(Drive *d, int engine, long id, uint32_t attempt)
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

/* When the words that an engine says now reach a node. */
CaroTime
Drive_ArrivalTime(const Drive *d, const Engine *e, int node)
{
    CaroTime at = d->now > e->cut_until ? d->now : e->cut_until;
    return at + Drive_Delay(d, e->domain, d->nodes[node].domain);
}

static void
give_token(Drive *d, int engine, Stream *s)
{
    Engine *e = &d->engines[engine];
    const Generation *g = &d->generations[s->generation];
    Event event = {.at = Drive_ArrivalTime(d, e, g->node),
                   .kind = EVENT_TOKEN,
                   .who = engine,
                   .attempt = s->attempt,
                   .nonce = s->nonce,
                   .index = s->next++,
                   .generation = s->generation,
                   .epoch = g->epoch};
    d->r->tokens_computed += 1.0;
    Drive_Push(d, event);
    if (s->next >= s->most) {
        event.kind = EVENT_CLOSED;
        event.is_whole = true;
        Drive_Push(d, event);
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

void
Drive_OnStep(Drive *d, int engine)
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
