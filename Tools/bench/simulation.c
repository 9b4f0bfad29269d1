/*
 * The event loop of the simulator, and its generations and VMs.
 *
 * Pending events are in a heap, ordered by time.  Each token in transit is
 * an event, so tokens of two engines can overtake each other, and those of a
 * partitioned engine arrive late.
 */
#include "simulation.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
remove_unfinished(Simulation *sim, long id)
{
    for (long i = 0; i < sim->n_unfinished; i++) {
        if (sim->unfinished[i] == id) {
            sim->unfinished[i] = sim->unfinished[--sim->n_unfinished];
            return;
        }
    }
}

static void
finish_generation(Simulation *sim, long id, bool is_complete)
{
    Generation *g = &sim->generations[id];
    Vm *vm = &sim->vms[g->vm];
    CaroAdmission_Release(vm->admission, g->tokens + PREFIX_TOKENS, sim->now);
    CaroGeneration_Destroy(g->decisions);
    g->decisions = NULL;
    g->is_finished = true;
    remove_unfinished(sim, id);
    if (is_complete) {
        sim->result->whole++;
        if (g->tokens_received != g->tokens) {
            sim->result->wrong_tokens++;
        }
    }
    else {
        sim->result->failed++;
    }
}

void
Simulation_FinishPrefill(Simulation *sim, Generation *g, uint32_t attempt)
{
    CaroHandle h = CaroGeneration_GetUpstream(g->decisions, attempt);
    if (h != CARO_NO_HANDLE) {
        CaroUpstreams_AddPrefill(sim->vms[g->vm].upstreams, h,
                                 -g->prefill_sent[attempt]);
        g->prefill_sent[attempt] = 0;
    }
}

static void
start_attempt(Simulation *sim, long id, const CaroAction *a)
{
    Generation *g = &sim->generations[id];
    Vm *vm = &sim->vms[g->vm];
    CaroRouterQuery q = {.policy = sim->options->policy,
                         .deployment = "chat",
                         .vm = vm->name,
                         .subset = 24,
                         .prefix_hash = (uint64_t)g->prefix * 2654435761U,
                         .warm = g->warm,
                         .prefers_other_domains =
                             CaroGeneration_IsLastLossSilence(g->decisions),
                         .is_resume = a->u.start.is_resume || g->is_resumed};
    q.n_avoid = CaroGeneration_GetAvoided(g->decisions, q.avoid);
    CaroHandle h = CaroRouter_Choose(vm->upstreams, &q, sim->now, &vm->rng);
    if (h == CARO_NO_HANDLE || !Simulation_HasRoom(&sim->engines[h])) {
        CaroGeneration_OnDeferred(g->decisions, sim->now + START_RETRY_DELAY);
        return;
    }
    CaroGeneration_OnStarted(
        g->decisions, a->u.start.attempt, h,
        CaroUpstreams_SilenceTimeout(vm->upstreams, h, 300 * MS, 1200 * MS),
        CaroUpstreams_FirstTokenTimeout(vm->upstreams, h, 1200 * MS,
                                        4000 * MS),
        sim->now, sim->now);
    CaroUpstreams_BeginAttempt(vm->upstreams, h);
    g->prefill_sent[a->u.start.attempt] =
        PREFIX_TOKENS + g->suffix_tokens + g->tokens_received;
    CaroUpstreams_AddPrefill(vm->upstreams, h,
                             g->prefill_sent[a->u.start.attempt]);
    if (a->u.start.is_standby) {
        vm->standby_budget -= 1.0;
        CaroUpstreams_Suspect(vm->upstreams, a->u.start.silent, sim->now);
    }
    Engine *e = &sim->engines[h];
    bool is_dead = e->down_until == INT64_MAX;
    if (is_dead) {
        /* A killed engine refuses the connection. */
        Simulation_PushEvent(
            sim, (Event){.at = sim->now + 2 * Simulation_NetworkDelay(
                                                  sim, vm->domain, e->domain),
                         .kind = EVENT_STREAM_CLOSED,
                         .subject = h,
                         .attempt = a->u.start.attempt,
                         .generation = id,
                         .epoch = g->epoch});
        return;
    }
    if (sim->now >= e->partitioned_until) {
        CaroUpstreams_RecordLoad(
            vm->upstreams, h,
            e->n_streams < BATCH_MAX ? e->n_streams : BATCH_MAX,
            e->n_streams > BATCH_MAX ? e->n_streams - BATCH_MAX : 0, BATCH_MAX,
            sim->now);
    }
    Simulation_OpenStream(sim, id, a->u.start.attempt, h,
                          a->u.start.is_resume || g->is_resumed);
}

static void
run_decisions(Simulation *sim, long id)
{
    enum { ACTIONS_MAX = 16 };
    for (int i = 0; i < ACTIONS_MAX; i++) {
        Generation *g = &sim->generations[id];
        if (g->decisions == NULL) {
            return;
        }
        Vm *vm = &sim->vms[g->vm];
        CaroAction a = CaroGeneration_Decide(
            g->decisions, vm->standby_budget >= 1.0, sim->now, sim->now);
        switch (a.kind) {
        case CARO_ACT_NONE:
            return;
        case CARO_ACT_START:
            start_attempt(sim, id, &a);
            break;
        case CARO_ACT_CANCEL:
            if (a.u.cancel.is_lost) {
                CaroUpstreams_RecordFailure(vm->upstreams, a.u.cancel.upstream,
                                            sim->now);
            }
            Simulation_FinishPrefill(sim, g, a.u.cancel.attempt);
            CaroUpstreams_EndAttempt(vm->upstreams, a.u.cancel.upstream);
            Simulation_CancelStream(sim, a.u.cancel.upstream, id,
                                    a.u.cancel.attempt);
            CaroGeneration_OnCancelled(g->decisions, a.u.cancel.attempt);
            break;
        case CARO_ACT_END:
            finish_generation(sim, id, true);
            return;
        case CARO_ACT_FAIL:
            finish_generation(sim, id, false);
            return;
        }
    }
}

void
Simulation_Admit(Simulation *sim, long id)
{
    static const CaroGenerationLimits limits = {.silence_floor = 300 * MS,
                                                .silence_ceiling = 1200 * MS,
                                                .first_token_ceiling =
                                                    4000 * MS,
                                                .attempts_max = ATTEMPTS_MAX};
    Generation *g = &sim->generations[id];
    g->decisions = CaroGeneration_Create(&limits, g->tokens_received,
                                         g->tokens, INT64_MAX, sim->now);
    if (g->decisions == NULL) {
        abort();
    }
    run_decisions(sim, id);
}

static double
arrival_rate(const Simulation *sim)
{
    double capacity =
        sim->options->engines * (double)BATCH_MAX /
        ((double)(STEP_BASE_TIME + BATCH_MAX * STEP_TIME_PER_SEQUENCE) /
         (double)CARO_SECOND);
    double rate = sim->options->load * capacity / sim->mean_tokens;
    bool is_burst = sim->now >= sim->options->burst_start &&
                    sim->now < sim->options->burst_end;
    return is_burst ? rate * sim->options->burst_factor : rate;
}

static void
on_arrival(Simulation *sim)
{
    if (sim->n_generations >= sim->options->generations) {
        return;
    }
    long id = sim->n_generations++;
    Generation *g = &sim->generations[id];
    bool is_long = gsl_rng_uniform(sim->rng) < LONG_RESPONSE_FRACTION;
    int vms = sim->options->vms;
    do {
        g->vm = (int)gsl_rng_uniform_int(sim->rng, (unsigned)vms);
    } while (sim->now < sim->vms[g->vm].down_until);
    g->prefix = (int)gsl_rng_uniform_int(sim->rng, PROMPT_PREFIXES);
    g->suffix_tokens =
        1 + (int)gsl_ran_exponential(sim->rng, SUFFIX_TOKENS_MEAN);
    g->tokens = 2 + (uint32_t)gsl_ran_exponential(
                        sim->rng, is_long ? LONG_RESPONSE_TOKENS_MEAN
                                          : RESPONSE_TOKENS_MEAN);
    g->arrived_at = sim->now;
    g->interrupted_at = -1;
    g->warm = CARO_NO_HANDLE;
    sim->result->started++;
    sim->unfinished[sim->n_unfinished++] = id;
    char account[CARO_NAME_SIZE];
    (void)snprintf(account, sizeof(account), "a%lu",
                   gsl_rng_uniform_int(sim->rng, 10));
    CaroAdmissionRequest request = {.id = (uint64_t)id,
                                    .account = account,
                                    .class = CARO_CLASS_INTERACTIVE,
                                    .cost = g->tokens + PREFIX_TOKENS,
                                    .max_wait = QUEUE_WAIT_MAX};
    CaroAdmissionResult admission =
        CaroAdmission_Request(sim->vms[g->vm].admission, &request, sim->now);
    if (admission.kind == CARO_REFUSED) {
        sim->result->refused++;
        sim->window_refused++;
        g->is_finished = true;
        remove_unfinished(sim, id);
    }
    else if (admission.kind == CARO_ADMITTED) {
        Simulation_Admit(sim, id);
    }
    double wait = gsl_ran_exponential(sim->rng, 1.0 / arrival_rate(sim));
    Simulation_PushEvent(
        sim, (Event){.at = sim->now + 1 + (CaroTime)(wait * CARO_SECOND),
                     .kind = EVENT_ARRIVAL});
}

static void
record_resumption(Simulation *sim, Generation *g)
{
    if (g->interrupted_at >= 0) {
        Samples_Add(&sim->result->resume_ms[g->interrupted_by],
                    (double)(sim->now - g->interrupted_at) / MS);
        g->interrupted_at = -1;
    }
}

static void
on_token(Simulation *sim, const Event *e)
{
    Generation *g = &sim->generations[e->generation];
    if (g->decisions == NULL || e->epoch != g->epoch ||
        sim->now < sim->vms[g->vm].down_until) {
        sim->result->tokens_extra += 1.0;
        return;
    }
    Vm *vm = &sim->vms[g->vm];
    CaroHandle h = CaroGeneration_GetUpstream(g->decisions, e->attempt);
    if (h != e->subject ||
        !CaroGeneration_OnToken(g->decisions, e->attempt, e->index, sim->now,
                                sim->now)) {
        sim->result->tokens_extra += 1.0;
        run_decisions(sim, e->generation);
        return;
    }
    if (g->tokens_received == 0) {
        g->nonce = e->nonce;
        Samples_Add(&sim->result->first_ms,
                    (double)(sim->now - g->arrived_at) / MS);
    }
    else {
        Samples_Add(&sim->result->gap_ms,
                    (double)(sim->now - g->last_token_at) / MS);
    }
    /* All tokens have one nonce, and each index comes once, in order. */
    if (e->nonce != g->nonce || e->index != g->tokens_received) {
        sim->result->wrong_tokens++;
    }
    g->warm = h;
    g->warm_boot_id = sim->engines[h].boot_id;
    g->tokens_received++;
    g->last_token_at = sim->now;
    sim->result->tokens_delivered += 1.0;
    sim->window_tokens += 1.0;
    record_resumption(sim, g);
    CaroUpstreams_RecordHeard(vm->upstreams, h, sim->now);
    CaroTime gap = CaroGeneration_LastGap(g->decisions, e->attempt);
    if (gap >= 0) {
        CaroUpstreams_RecordTokenGap(vm->upstreams, h, gap);
    }
    else {
        Simulation_FinishPrefill(sim, g, e->attempt);
        CaroUpstreams_RecordFirstToken(vm->upstreams, h,
                                       sim->now - g->arrived_at);
        CaroUpstreams_RecordSuccess(vm->upstreams, h);
    }
    run_decisions(sim, e->generation);
}

static void
on_stream_closed(Simulation *sim, const Event *e)
{
    Generation *g = &sim->generations[e->generation];
    if (g->decisions == NULL || e->epoch != g->epoch ||
        sim->now < sim->vms[g->vm].down_until ||
        CaroGeneration_GetUpstream(g->decisions, e->attempt) != e->subject) {
        return;
    }
    Vm *vm = &sim->vms[g->vm];
    Simulation_FinishPrefill(sim, g, e->attempt);
    CaroUpstreams_EndAttempt(vm->upstreams, e->subject);
    if (!e->is_complete) {
        CaroUpstreams_RecordFailure(vm->upstreams, e->subject, sim->now);
    }
    CaroGeneration_OnClosed(g->decisions, e->attempt, e->is_complete,
                            sim->now);
    run_decisions(sim, e->generation);
}

/* When an upstream is silent for one generation, the attempts of other
   generations there are suspected, too. */
static void
suspect_attempts(Simulation *sim, Generation *g)
{
    Vm *vm = &sim->vms[g->vm];
    for (uint32_t a = 1; a <= CaroGeneration_Stats(g->decisions)->attempts;
         a++) {
        CaroHandle h = CaroGeneration_GetUpstream(g->decisions, a);
        if (h != CARO_NO_HANDLE &&
            CaroUpstreams_IsSuspected(vm->upstreams, h, sim->now)) {
            CaroGeneration_Suspect(g->decisions, a);
        }
    }
}

/* Probes failed upstreams, as the load polls of a VM do. */
static void
probe_upstreams(Simulation *sim, Vm *vm)
{
    for (CaroHandle h = 0; h < sim->options->engines; h++) {
        const Engine *e = &sim->engines[h];
        if (!CaroUpstreams_NeedsProbe(vm->upstreams, h, sim->now)) {
            continue;
        }
        if (sim->now >= e->down_until && sim->now >= e->partitioned_until) {
            CaroUpstreams_RecordProbe(vm->upstreams, h);
        }
        else {
            CaroUpstreams_RecordFailure(vm->upstreams, h, sim->now);
        }
    }
}

static void
on_vm_tick(Simulation *sim, int index)
{
    Vm *vm = &sim->vms[index];
    Simulation_PushEvent(sim, (Event){.at = sim->now + VM_TICK_INTERVAL,
                                      .kind = EVENT_VM_TICK,
                                      .subject = index});
    if (sim->now < vm->down_until) {
        return;
    }
    probe_upstreams(sim, vm);
    vm->standby_budget += STANDBY_BUDGET_PER_TICK;
    if (vm->standby_budget > STANDBY_BUDGET_MAX) {
        vm->standby_budget = STANDBY_BUDGET_MAX;
    }
    CaroAdmission_SetLimit(vm->admission,
                           CaroLimits_Get(vm->upstreams, "chat",
                                          CaroAdmission_Running(vm->admission),
                                          sim->options->vms, sim->now));
    for (long i = sim->n_unfinished - 1; i >= 0; i--) {
        long id = i < sim->n_unfinished ? sim->unfinished[i] : -1;
        if (id >= 0 && sim->generations[id].vm == index &&
            sim->generations[id].decisions != NULL) {
            suspect_attempts(sim, &sim->generations[id]);
            run_decisions(sim, id);
        }
    }
    uint64_t id;
    while (CaroAdmission_Next(vm->admission, &id, sim->now)) {
        Simulation_Admit(sim, (long)id);
    }
}

/* At the end of each second, adds its goodput to the sum before or during
   the burst, and records refusals after the burst. */
static void
finish_window(Simulation *sim)
{
    const SimulationOptions *o = sim->options;
    if (o->burst_end == 0 || sim->now < sim->window_end) {
        return;
    }
    double seconds = 1.0;
    double rate = sim->window_tokens / seconds;
    CaroTime middle = sim->window_end - CARO_SECOND / 2;
    if (middle < o->burst_start && middle > o->burst_start / 2) {
        sim->result->goodput[0] += rate;
    }
    else if (middle >= o->burst_start + 10 * CARO_SECOND &&
             middle < o->burst_end) {
        sim->result->goodput[1] += rate;
    }
    if (middle > o->burst_end && sim->window_refused > 0) {
        sim->last_refusal_at = sim->now;
    }
    sim->window_tokens = 0.0;
    sim->window_refused = 0;
    sim->window_end += CARO_SECOND;
}

static void
handle_event(Simulation *sim, const Event *e)
{
    switch (e->kind) {
    case EVENT_ARRIVAL:
        on_arrival(sim);
        break;
    case EVENT_ENGINE_STEP:
        Simulation_OnEngineStep(sim, e->subject);
        break;
    case EVENT_TOKEN:
        on_token(sim, e);
        break;
    case EVENT_STREAM_CLOSED:
        on_stream_closed(sim, e);
        break;
    case EVENT_VM_TICK:
        on_vm_tick(sim, e->subject);
        break;
    case EVENT_FAULT:
        Simulation_OnFault(sim);
        break;
    case EVENT_ENGINE_RESTART:
        sim->engines[e->subject].down_until = 0;
        break;
    case EVENT_CALLER_RECONNECT:
        Simulation_OnCallerReconnect(sim, e->generation);
        break;
    }
}

static void
create_vm(Simulation *sim, int i)
{
    Vm *vm = &sim->vms[i];
    vm->domain = i % SIMULATION_DOMAINS;
    vm->standby_budget = STANDBY_BUDGET_MAX;
    vm->rng = sim->options->seed * 1000 + (uint64_t)i;
    (void)snprintf(vm->name, sizeof(vm->name), "n%d", i);
    vm->upstreams = CaroUpstreams_Create();
    vm->admission = CaroAdmission_Create(512);
    for (int j = 0; j < sim->options->engines; j++) {
        CaroUpstream u = {.kind = CARO_UPSTREAM_MODEL};
        (void)snprintf(u.name, sizeof(u.name), "e%d", j);
        (void)snprintf(u.domain, sizeof(u.domain), "d%d",
                       j % SIMULATION_DOMAINS);
        CARO_COPY(u.deployment, "chat");
        (void)CaroUpstreams_Put(vm->upstreams, &u);
    }
    CaroAdmission_SetLimit(vm->admission, 64);
    Simulation_PushEvent(
        sim, (Event){.at = i * 1000, .kind = EVENT_VM_TICK, .subject = i});
}

static void
compute_engine_loads(Simulation *sim)
{
    double sum = 0.0;
    for (int i = 0; i < sim->options->engines; i++) {
        const Engine *e = &sim->engines[i];
        double mean =
            e->load_samples == 0 ? 0.0 : e->load_sum / (double)e->load_samples;
        sum += mean;
        if (mean > sim->result->engine_load_max) {
            sim->result->engine_load_max = mean;
        }
    }
    sim->result->engine_load_mean = sum / sim->options->engines;
}

void
Simulation_Run(const SimulationOptions *options, SimulationResult *result)
{
    Simulation *sim = calloc(1, sizeof(*sim));
    if (sim == NULL) {
        abort();
    }
    memset(result, 0, sizeof(*result));
    sim->options = options;
    sim->result = result;
    sim->rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(sim->rng, options->seed);
    sim->fault_rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(sim->fault_rng, options->seed + 1);
    sim->mean_tokens = LONG_RESPONSE_FRACTION * LONG_RESPONSE_TOKENS_MEAN +
                       (1.0 - LONG_RESPONSE_FRACTION) * RESPONSE_TOKENS_MEAN;
    sim->generations =
        calloc((size_t)options->generations, sizeof(*sim->generations));
    sim->unfinished =
        calloc((size_t)options->generations, sizeof(*sim->unfinished));
    sim->window_end = CARO_SECOND;
    for (int i = 0; i < options->engines; i++) {
        sim->engines[i].domain = i % SIMULATION_DOMAINS;
    }
    for (int i = 0; i < options->vms; i++) {
        create_vm(sim, i);
    }
    Simulation_PushEvent(sim, (Event){.at = 1, .kind = EVENT_ARRIVAL});
    if (options->fault_interval > 0) {
        Simulation_PushEvent(
            sim, (Event){.at = options->fault_interval, .kind = EVENT_FAULT});
    }
    while (sim->heap_size > 0 && (sim->n_unfinished > 0 ||
                                  sim->n_generations < options->generations)) {
        Event e = Simulation_PopEvent(sim);
        sim->now = e.at;
        finish_window(sim);
        handle_event(sim, &e);
    }
    compute_engine_loads(sim);
    if (options->burst_end > 0) {
        double before_s = (double)options->burst_start / 2.0 / CARO_SECOND;
        double burst_s =
            (double)(options->burst_end - options->burst_start) / CARO_SECOND -
            10.0;
        result->goodput[0] /= before_s;
        result->goodput[1] /= burst_s;
        result->recovery_s =
            sim->last_refusal_at == 0
                ? 0.0
                : (double)(sim->last_refusal_at - options->burst_end) /
                      CARO_SECOND;
    }
    for (int i = 0; i < options->vms; i++) {
        CaroUpstreams_Destroy(sim->vms[i].upstreams);
        CaroAdmission_Destroy(sim->vms[i].admission);
    }
    for (long i = 0; i < sim->n_generations; i++) {
        CaroGeneration_Destroy(sim->generations[i].decisions);
    }
    free(sim->generations);
    free(sim->unfinished);
    free(sim->heap);
    gsl_rng_free(sim->rng);
    gsl_rng_free(sim->fault_rng);
    free(sim);
}
