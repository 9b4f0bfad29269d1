/* The losses that the driver brings about. */
#include "drive.h"

#include <stdlib.h>

const char *
Fault_Name(FaultKind kind)
{
    static const char *const names[FAULTS] = {
        "engine killed", "engine frozen", "engine cut", "node killed",
        "node frozen",   "engine+node",   "domain cut"};
    return names[kind];
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
        Drive_Push(d, (Event){.at = Drive_ArrivalTime(d, e, node),
                              .kind = EVENT_CLOSED,
                              .who = engine,
                              .attempt = s->attempt,
                              .generation = s->generation,
                              .epoch = d->generations[s->generation].epoch});
    }
    e->n = 0;
    e->n_heads = 0;
    e->boot_id++;
    e->down_until = INT64_MAX;
    Drive_Push(
        d,
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
        Drive_Push(d, (Event){.at = d->now + notice,
                              .kind = EVENT_RECONNECT,
                              .generation = id});
    }
}

void
Drive_OnReconnect(Drive *d, long id)
{
    Generation *g = &d->generations[id];
    if (g->is_over) {
        return;
    }
    Node *old = &d->nodes[g->node];
    bool was_running = g->g != NULL;
    if (was_running) {
        for (uint32_t a = 1; a <= CaroGeneration_Stats(g->g)->attempts; a++) {
            CaroHandle h = CaroGeneration_GetUpstream(g->g, a);
            if (h != CARO_NO_HANDLE) {
                Drive_SettlePrefill(d, g, a);
                CaroUpstreams_EndAttempt(old->upstreams, h);
                Drive_CancelStream(d, h, id, a);
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
    CaroAdmissionRequest offer = {.id = (uint64_t)id,
                                  .account = "resumed",
                                  .class = CARO_CLASS_RESUME,
                                  .cost = g->tokens,
                                  .patience = 60 * CARO_SECOND};
    if (CaroAdmission_Request(d->nodes[g->node].admission, &offer, d->now)
            .kind != CARO_QUEUED) {
        Drive_Admit(d, id);
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

void
Drive_OnFault(Drive *d)
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
    Drive_Push(d,
               (Event){.at = d->now + d->o->fault_every, .kind = EVENT_FAULT});
}
