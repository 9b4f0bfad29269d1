/*
 * Emulated engines.  An engine runs a batch of streams in steps; a step takes
 * longer with more running streams and more prompt tokens to compute, as in
 * the stand-in engine of Tools/fake.
 */
#include "simulation.h"

#include <string.h>

CaroTime
Simulation_NetworkDelay(const Simulation *sim, int domain_a, int domain_b)
{
    return domain_a == domain_b ? 100 : sim->options->domain_delay;
}

bool
Simulation_HasRoom(const Engine *e)
{
    return e->n_streams < STREAMS_MAX;
}

static void
schedule_step(Simulation *sim, int engine, CaroTime wait)
{
    Engine *e = &sim->engines[engine];
    if (!e->is_step_scheduled) {
        e->is_step_scheduled = true;
        Simulation_PushEvent(sim, (Event){.at = sim->now + wait,
                                          .kind = EVENT_ENGINE_STEP,
                                          .subject = engine});
    }
}

/* Makes the prefix the most recently used one of the engine's cache;
   returns the number of prompt tokens that were not cached. */
static int
cache_prefix(Engine *e, int prefix, int suffix_tokens)
{
    int at = 0;
    while (at < e->n_cached_prefixes && e->cached_prefixes[at] != prefix) {
        at++;
    }
    bool is_cached = at < e->n_cached_prefixes;
    if (!is_cached && e->n_cached_prefixes < CACHED_PREFIXES_MAX) {
        e->n_cached_prefixes++;
    }
    if (at >= CACHED_PREFIXES_MAX) {
        at = CACHED_PREFIXES_MAX - 1;
    }
    memmove(&e->cached_prefixes[1], &e->cached_prefixes[0],
            (size_t)at * sizeof(int));
    e->cached_prefixes[0] = prefix;
    return suffix_tokens + (is_cached ? 0 : PREFIX_TOKENS);
}

void
Simulation_OpenStream(Simulation *sim, long id, uint32_t attempt, int engine,
                      bool is_resume)
{
    Engine *e = &sim->engines[engine];
    Generation *g = &sim->generations[id];
    Stream *s = &e->streams[e->n_streams++];
    int uncached = cache_prefix(e, g->prefix, g->suffix_tokens);
    sim->result->prompt_tokens_uncached += uncached;
    sim->result->prompt_tokens += PREFIX_TOKENS + g->suffix_tokens;
    *s = (Stream){.generation = id,
                  .attempt = attempt,
                  .next_token = g->tokens_received,
                  .tokens_max = g->tokens,
                  .is_extra = is_resume};
    s->nonce =
        g->tokens_received > 0 ? g->nonce : (uint32_t)gsl_rng_get(sim->rng);
    bool is_warm = g->warm == engine && g->warm_boot_id == e->boot_id;
    s->prefill_tokens = is_warm ? 1 : uncached + (int)g->tokens_received;
    s->priority = CARO_PRIORITY_INTERACTIVE;
    if (is_resume) {
        s->priority = s->prefill_tokens < CARO_LONG_RESUME_TOKENS_MIN
                          ? CARO_PRIORITY_SHORT_RESUME
                          : CARO_PRIORITY_LONG_RESUME;
    }
    schedule_step(sim, engine, STEP_BASE_TIME);
}

void
Simulation_CancelStream(Simulation *sim, int engine, long id, uint32_t attempt)
{
    Engine *e = &sim->engines[engine];
    (void)sim;
    for (int i = 0; i < e->n_streams; i++) {
        if (e->streams[i].generation == id &&
            e->streams[i].attempt == attempt) {
            e->streams[i] = e->streams[--e->n_streams];
            return;
        }
    }
}

CaroTime
Simulation_ArrivalTime(const Simulation *sim, const Engine *e, int vm)
{
    CaroTime at =
        sim->now > e->partitioned_until ? sim->now : e->partitioned_until;
    return at + Simulation_NetworkDelay(sim, e->domain, sim->vms[vm].domain);
}

static void
emit_token(Simulation *sim, int engine, Stream *s)
{
    Engine *e = &sim->engines[engine];
    const Generation *g = &sim->generations[s->generation];
    Event event = {.at = Simulation_ArrivalTime(sim, e, g->vm),
                   .kind = EVENT_TOKEN,
                   .subject = engine,
                   .attempt = s->attempt,
                   .nonce = s->nonce,
                   .index = s->next_token++,
                   .generation = s->generation,
                   .epoch = g->epoch};
    sim->result->tokens_computed += 1.0;
    Simulation_PushEvent(sim, event);
    if (s->next_token >= s->tokens_max) {
        event.kind = EVENT_STREAM_CLOSED;
        event.is_complete = true;
        Simulation_PushEvent(sim, event);
    }
}

static void
admit_streams(Engine *e)
{
    int running = 0;
    for (int i = 0; i < e->n_streams; i++) {
        running += e->streams[i].is_running;
    }
    for (int priority = 0; priority < CARO_PRIORITIES; priority++) {
        for (int i = 0; i < e->n_streams && running < BATCH_MAX; i++) {
            Stream *s = &e->streams[i];
            if (!s->is_running && s->priority == priority) {
                s->is_running = true;
                running++;
            }
        }
    }
}

/* Computes up to budget prompt tokens of the running streams with the
   priority; returns how many it computed. */
static int
run_prefill(Simulation *sim, Engine *e, int priority, int budget)
{
    int left = budget;
    for (int i = 0; i < e->n_streams; i++) {
        Stream *s = &e->streams[i];
        if (!s->is_running || s->priority != priority) {
            continue;
        }
        int n = s->prefill_tokens < left ? s->prefill_tokens : left;
        s->prefill_tokens -= n;
        left -= n;
        sim->result->tokens_computed += n;
        sim->result->tokens_extra += s->is_extra ? n : 0;
    }
    return budget - left;
}

void
Simulation_OnEngineStep(Simulation *sim, int engine)
{
    Engine *e = &sim->engines[engine];
    e->is_step_scheduled = false;
    if (e->down_until == INT64_MAX) {
        return;
    }
    if (sim->now < e->down_until) {
        schedule_step(sim, engine, e->down_until - sim->now);
        return;
    }
    admit_streams(e);
    int budget = STEP_PREFILL_TOKENS_MAX;
    int running = 0;
    for (int i = 0; i < e->n_streams; i++) {
        Stream *s = &e->streams[i];
        running += s->is_running;
        if (s->is_running && s->prefill_tokens == 0) {
            emit_token(sim, engine, s);
        }
    }
    for (int priority = 0; priority < CARO_PRIORITIES; priority++) {
        budget -= run_prefill(sim, e, priority, budget);
    }
    for (int i = e->n_streams - 1; i >= 0; i--) {
        if (e->streams[i].next_token >= e->streams[i].tokens_max) {
            e->streams[i] = e->streams[--e->n_streams];
        }
    }
    e->load_sum += (double)running / BATCH_MAX;
    e->load_samples++;
    if (e->n_streams > 0) {
        schedule_step(sim, engine,
                      STEP_BASE_TIME + running * STEP_TIME_PER_SEQUENCE +
                          (CaroTime)(STEP_PREFILL_TOKENS_MAX - budget) *
                              STEP_TIME_PER_PREFILL_TOKEN);
    }
}
