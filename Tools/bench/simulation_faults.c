/* Faults that the simulator injects. */
#include "simulation.h"

#include <stdlib.h>

const char *
FaultKind_Name(FaultKind kind)
{
    static const char *const names[FAULT_KINDS] = {
        "engine killed", "engine frozen", "engine cut", "node killed",
        "node frozen",   "engine+node",   "domain cut"};
    return names[kind];
}

static void
mark_interrupted(Simulation *sim, long id, FaultKind kind)
{
    Generation *g = &sim->generations[id];
    if (g->tokens_received > 0 && g->interrupted_at < 0) {
        g->interrupted_at = sim->now;
        g->interrupted_by = kind;
    }
}

/* Marks the generations that an engine serves as interrupted. */
static void
mark_streams_interrupted(Simulation *sim, int engine, FaultKind kind)
{
    Engine *e = &sim->engines[engine];
    for (int i = 0; i < e->n_streams; i++) {
        mark_interrupted(sim, e->streams[i].generation, kind);
    }
}

static void
kill_engine(Simulation *sim, int engine, FaultKind kind)
{
    Engine *e = &sim->engines[engine];
    mark_streams_interrupted(sim, engine, kind);
    for (int i = 0; i < e->n_streams; i++) {
        const Stream *s = &e->streams[i];
        int vm = sim->generations[s->generation].vm;
        Simulation_PushEvent(
            sim, (Event){.at = Simulation_ArrivalTime(sim, e, vm),
                         .kind = EVENT_STREAM_CLOSED,
                         .subject = engine,
                         .attempt = s->attempt,
                         .generation = s->generation,
                         .epoch = sim->generations[s->generation].epoch});
    }
    e->n_streams = 0;
    e->n_cached_prefixes = 0;
    e->boot_id++;
    e->down_until = INT64_MAX;
    Simulation_PushEvent(sim, (Event){.at = sim->now + RESTART_DELAY,
                                      .kind = EVENT_ENGINE_RESTART,
                                      .subject = engine});
}

/* Kills or freezes a VM.  Its callers reconnect to other VMs after the delay,
   and these take the generations over from the journals. */
static void
fail_vm(Simulation *sim, int index, FaultKind kind, CaroTime reconnect_delay)
{
    Vm *vm = &sim->vms[index];
    vm->down_until = sim->now + RESTART_DELAY;
    for (long i = sim->n_unfinished - 1; i >= 0; i--) {
        long id = sim->unfinished[i];
        Generation *g = &sim->generations[id];
        if (g->vm != index) {
            continue;
        }
        mark_interrupted(sim, id, kind);
        Simulation_PushEvent(sim, (Event){.at = sim->now + reconnect_delay,
                                          .kind = EVENT_CALLER_RECONNECT,
                                          .generation = id});
    }
}

void
Simulation_OnCallerReconnect(Simulation *sim, long id)
{
    Generation *g = &sim->generations[id];
    if (g->is_finished) {
        return;
    }
    Vm *old = &sim->vms[g->vm];
    bool was_running = g->decisions != NULL;
    if (was_running) {
        for (uint32_t a = 1; a <= CaroGeneration_Stats(g->decisions)->attempts;
             a++) {
            CaroHandle h = CaroGeneration_GetUpstream(g->decisions, a);
            if (h != CARO_NO_HANDLE) {
                Simulation_FinishPrefill(sim, g, a);
                CaroUpstreams_EndAttempt(old->upstreams, h);
                Simulation_CancelStream(sim, h, id, a);
            }
        }
        CaroGeneration_Destroy(g->decisions);
        g->decisions = NULL;
        CaroAdmission_Release(old->admission, 0.0, sim->now);
    }
    else {
        CaroAdmission_Withdraw(old->admission, (uint64_t)id);
    }
    do {
        g->vm =
            (int)gsl_rng_uniform_int(sim->rng, (unsigned)sim->options->vms);
    } while (sim->now < sim->vms[g->vm].down_until);
    g->is_resumed = g->tokens_received > 0;
    g->epoch++;
    /* Resumed generations are admitted above the limit. */
    CaroAdmissionRequest request = {.id = (uint64_t)id,
                                    .account = "resumed",
                                    .class = CARO_CLASS_RESUME,
                                    .cost = g->tokens,
                                    .max_wait = 60 * CARO_SECOND};
    if (CaroAdmission_Request(sim->vms[g->vm].admission, &request, sim->now)
            .kind != CARO_QUEUED) {
        Simulation_Admit(sim, id);
    }
}

static int
random_engine(Simulation *sim)
{
    return (int)gsl_rng_uniform_int(sim->fault_rng,
                                    (unsigned)sim->options->engines);
}

static int
random_vm(Simulation *sim)
{
    return (int)gsl_rng_uniform_int(sim->fault_rng,
                                    (unsigned)sim->options->vms);
}

/* Time until another VM serves the caller of a killed one: the caller sees
   the reset and connects, and the other VM asks the owner and the backup. */
static CaroTime
takeover_time(const Simulation *sim)
{
    return 4 * sim->options->caller_delay + 10 * MS +
           4 * sim->options->domain_delay;
}

static void
partition_domain(Simulation *sim, int domain)
{
    for (int i = 0; i < sim->options->engines; i++) {
        if (sim->engines[i].domain == domain) {
            mark_streams_interrupted(sim, i, FAULT_DOMAIN_PARTITIONED);
            sim->engines[i].partitioned_until = sim->now + PARTITION_DURATION;
        }
    }
}

void
Simulation_OnFault(Simulation *sim)
{
    FaultKind kind = sim->options->only_fault >= 0
                         ? (FaultKind)sim->options->only_fault
                         : (FaultKind)gsl_rng_uniform_int(
                               sim->fault_rng, FAULT_DOMAIN_PARTITIONED);
    int engine = random_engine(sim);
    int vm = random_vm(sim);
    sim->result->fault_counts[kind]++;
    switch (kind) {
    case FAULT_ENGINE_KILLED:
        kill_engine(sim, engine, kind);
        break;
    case FAULT_ENGINE_FROZEN:
        mark_streams_interrupted(sim, engine, kind);
        sim->engines[engine].down_until = sim->now + FREEZE_DURATION;
        break;
    case FAULT_ENGINE_PARTITIONED:
        mark_streams_interrupted(sim, engine, kind);
        sim->engines[engine].partitioned_until = sim->now + PARTITION_DURATION;
        break;
    case FAULT_VM_KILLED:
        fail_vm(sim, vm, kind, takeover_time(sim));
        break;
    case FAULT_VM_FROZEN:
        fail_vm(sim, vm, kind,
                CALLER_EVENT_TIMEOUT + TAKEOVER_TIMEOUT + takeover_time(sim));
        break;
    case FAULT_BOTH_KILLED:
        fail_vm(sim, vm, kind, takeover_time(sim));
        kill_engine(sim, engine, kind);
        break;
    default:
        partition_domain(
            sim, (int)gsl_rng_uniform_int(sim->fault_rng, SIMULATION_DOMAINS));
        break;
    }
    Simulation_PushEvent(sim,
                         (Event){.at = sim->now + sim->options->fault_interval,
                                 .kind = EVENT_FAULT});
}
