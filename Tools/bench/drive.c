/*
 * The driver of the decision functions on a virtual clock.
 *
 * Events wait in a heap by time.  A token on its way is an event, so tokens
 * of two engines can cross, and those of a cut engine arrive late.
 */
#include "drive.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
void
Drive_SettlePrefill(Drive *d, Generation *g, uint32_t attempt)
{
    CaroHandle h = CaroGeneration_GetUpstream(g->g, attempt);
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
    CaroRouterQuery q = {.policy = d->o->policy,
                         .deployment = "chat",
                         .vm = n->name,
                         .subset = 24,
                         .prefix_hash = (uint64_t)g->head * 2654435761U,
                         .warm = g->warm,
                         .prefers_other_domains =
                             CaroGeneration_IsLastLossSilence(g->g),
                         .is_resume = a->u.start.is_resume || g->is_resumed};
    q.n_avoid = CaroGeneration_GetAvoided(g->g, q.avoid);
    CaroHandle h = CaroRouter_Choose(n->upstreams, &q, d->now, &n->rng);
    if (h == CARO_NO_HANDLE || !Drive_HasRoom(&d->engines[h])) {
        CaroGeneration_OnDeferred(g->g, d->now + RETRY_WAIT);
        return;
    }
    CaroGeneration_OnStarted(
        g->g, a->u.start.attempt, h,
        CaroUpstreams_SilenceTimeout(n->upstreams, h, 300 * MS, 1200 * MS),
        CaroUpstreams_FirstTokenTimeout(n->upstreams, h, 1200 * MS, 4000 * MS),
        d->now, d->now);
    CaroUpstreams_BeginAttempt(n->upstreams, h);
    g->prefill[a->u.start.attempt] = HEAD_TOKENS + g->tail + g->count;
    CaroUpstreams_AddPrefill(n->upstreams, h, g->prefill[a->u.start.attempt]);
    if (a->u.start.is_standby) {
        n->standby_budget -= 1.0;
        CaroUpstreams_Suspect(n->upstreams, a->u.start.silent, d->now);
    }
    Engine *e = &d->engines[h];
    bool is_dead = e->down_until == INT64_MAX;
    if (is_dead) {
        /* The connection is refused. */
        Drive_Push(
            d, (Event){.at = d->now + 2 * Drive_Delay(d, n->domain, e->domain),
                       .kind = EVENT_CLOSED,
                       .who = h,
                       .attempt = a->u.start.attempt,
                       .generation = id,
                       .epoch = g->epoch});
        return;
    }
    if (d->now >= e->cut_until) {
        CaroUpstreams_RecordLoad(n->upstreams, h, e->n < BATCH ? e->n : BATCH,
                                 e->n > BATCH ? e->n - BATCH : 0, BATCH,
                                 d->now);
    }
    Drive_OpenStream(d, id, a->u.start.attempt, h,
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
                CaroUpstreams_RecordFailure(n->upstreams, a.u.cancel.upstream,
                                            d->now);
            }
            Drive_SettlePrefill(d, g, a.u.cancel.attempt);
            CaroUpstreams_EndAttempt(n->upstreams, a.u.cancel.upstream);
            Drive_CancelStream(d, a.u.cancel.upstream, id, a.u.cancel.attempt);
            CaroGeneration_OnCancelled(g->g, a.u.cancel.attempt);
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

void
Drive_Admit(Drive *d, long id)
{
    static const CaroGenerationLimits limits = {.silence_floor = 300 * MS,
                                                .silence_ceiling = 1200 * MS,
                                                .first_token_ceiling =
                                                    4000 * MS,
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
    CaroAdmissionRequest offer = {.id = (uint64_t)id,
                                  .account = account,
                                  .class = CARO_CLASS_INTERACTIVE,
                                  .cost = g->tokens + HEAD_TOKENS,
                                  .patience = PATIENCE};
    CaroAdmissionResult v =
        CaroAdmission_Request(d->nodes[g->node].admission, &offer, d->now);
    if (v.kind == CARO_REFUSED) {
        d->r->refused++;
        d->window_refused++;
        g->is_over = true;
        remove_open(d, id);
    }
    else if (v.kind == CARO_ADMITTED) {
        Drive_Admit(d, id);
    }
    double wait = gsl_ran_exponential(d->rng, 1.0 / rate_now(d));
    Drive_Push(d, (Event){.at = d->now + 1 + (CaroTime)(wait * CARO_SECOND),
                          .kind = EVENT_ARRIVAL});
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
    CaroHandle h = CaroGeneration_GetUpstream(g->g, e->attempt);
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
    g->warm_boot = d->engines[h].boot_id;
    g->count++;
    g->last_token = d->now;
    d->r->tokens_delivered += 1.0;
    d->window_tokens += 1.0;
    note_resumed(d, g);
    CaroUpstreams_RecordHeard(n->upstreams, h, d->now);
    CaroTime gap = CaroGeneration_LastGap(g->g, e->attempt);
    if (gap >= 0) {
        CaroUpstreams_RecordTokenGap(n->upstreams, h, gap);
    }
    else {
        Drive_SettlePrefill(d, g, e->attempt);
        CaroUpstreams_RecordFirstToken(n->upstreams, h, d->now - g->arrived);
        CaroUpstreams_RecordSuccess(n->upstreams, h);
    }
    advance(d, e->generation);
}

static void
on_closed(Drive *d, const Event *e)
{
    Generation *g = &d->generations[e->generation];
    if (g->g == NULL || e->epoch != g->epoch ||
        d->now < d->nodes[g->node].down_until ||
        CaroGeneration_GetUpstream(g->g, e->attempt) != e->who) {
        return;
    }
    Node *n = &d->nodes[g->node];
    Drive_SettlePrefill(d, g, e->attempt);
    CaroUpstreams_EndAttempt(n->upstreams, e->who);
    if (!e->is_whole) {
        CaroUpstreams_RecordFailure(n->upstreams, e->who, d->now);
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
        CaroHandle h = CaroGeneration_GetUpstream(g->g, a);
        if (h != CARO_NO_HANDLE &&
            CaroUpstreams_IsSuspected(n->upstreams, h, d->now)) {
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
            CaroUpstreams_RecordProbe(n->upstreams, h);
        }
        else {
            CaroUpstreams_RecordFailure(n->upstreams, h, d->now);
        }
    }
}

static void
on_tick(Drive *d, int node)
{
    Node *n = &d->nodes[node];
    Drive_Push(
        d, (Event){.at = d->now + NODE_TICK, .kind = EVENT_TICK, .who = node});
    if (d->now < n->down_until) {
        return;
    }
    probe_upstreams(d, n);
    n->standby_budget += STANDBY_PER_TICK;
    if (n->standby_budget > STANDBY_MAX) {
        n->standby_budget = STANDBY_MAX;
    }
    CaroAdmission_SetLimit(n->admission,
                           CaroLimits_Get(n->upstreams, "chat",
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
        Drive_Admit(d, (long)id);
    }
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
        Drive_OnStep(d, e->who);
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
        Drive_OnFault(d);
        break;
    case EVENT_HEAL:
        d->engines[e->who].down_until = 0;
        break;
    case EVENT_RECONNECT:
        Drive_OnReconnect(d, e->generation);
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
    Drive_Push(d, (Event){.at = i * 1000, .kind = EVENT_TICK, .who = i});
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
    Drive_Push(d, (Event){.at = 1, .kind = EVENT_ARRIVAL});
    if (options->fault_every > 0) {
        Drive_Push(d,
                   (Event){.at = options->fault_every, .kind = EVENT_FAULT});
    }
    while (d->n_heap > 0 &&
           (d->n_open > 0 || d->n_generations < options->generations)) {
        Event e = Drive_Pop(d);
        d->now = e.at;
        close_window(d);
        handle(d, &e);
    }
    take_loads(d);
    if (options->burst_to > 0) {
        double before = (double)options->burst_from / 2.0 / CARO_SECOND;
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
