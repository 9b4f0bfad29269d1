/*
 * The other VMs.
 *
 * Until another VM is known, and now and then after it, one of the known
 * addresses is asked for all members: two parts of a fleet that lost each
 * other thus meet again.
 */
#include "internal/caro_fleet.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    ADDRESSES_MAX = 64,
    LEAVE_FANOUT = 64,
    ASKED_AT_ONCE = 3,
    LOADS_FANOUT = 40 /* A domain of the largest deployment known. */
};
/* A probe's answer may be as late as the next two probes. */
#define PROBE_PERIODS 3
#define JOIN_TIMEOUT (700 * CARO_MS)
/* Until another VM is known. */
#define JOIN_EAGER (300 * CARO_MS)
/* A VM that heard of no other by then counts as the only one. */
#define JOIN_MOST (1500 * CARO_MS)
#define CONFIG_TIMEOUT (1 * CARO_SECOND)
/* News are not answered; the call is only forgotten after it. */
#define LOADS_TIMEOUT (20 * CARO_MS)

struct CaroFleet {
    CaroRpc *rpc;
    CaroMembership *membership;
    CaroFleetOptions options;
    gsl_rng *rng;
    const CaroFleetHandlers *handlers;
    void *context;
    char name[CARO_NAME_SIZE];
    char peer[CARO_ADDRESS_SIZE];
    char addresses[ADDRESSES_MAX][CARO_ADDRESS_SIZE];
    int n_addresses;
    int at_address;
    CaroTime next_join;
    CaroTime created;
    bool is_answered; /* Another VM sent its list. */
    bool is_fetching; /* A configuration from a peer. */
};

/* What the answer to a probe belongs to. */
typedef struct {
    CaroFleet *fleet;
    CaroRpcRequest *relay; /* Of the VM that asked us to probe, or NULL. */
    CaroTime asked;        /* On the clock that counts suspensions. */
    CaroHandle vm;
} Probe;

static void send_events(CaroFleet *f);

static void
fill_heartbeat(CaroFleet *f, CaroHandle to, caro_heartbeat *h,
               caro_member_update *updates)
{
    /* One loop on one thread: a heartbeat is encoded before the next. */
    static caro_rollout_evidence moves[CARO_ROLLOUTS_MAX];
    CaroConfigFreshness proof = f->handlers->get_config_freshness(f->context);
    memset(h, 0, sizeof(*h));
    if (f->handlers->collect_evidence != NULL) {
        h->evidence.evidence_val = moves;
        h->evidence.evidence_len =
            (u_int)f->handlers->collect_evidence(f->context, moves);
    }
    h->sender = f->name;
    h->config_revision = (uint64_t)proof.revision;
    h->config_age = CaroConfigFreshness_Age(&proof, CaroClock_BootTime());
    h->updates.updates_val = updates;
    h->updates.updates_len =
        (u_int)CaroMembership_CollectGossip(f->membership, to, updates);
}

static void
on_config(void *context, int code, const void *result)
{
    CaroFleet *f = context;
    const caro_config *config = result;
    f->is_fetching = false;
    if (code == 0 && config->text.text_len > 0) {
        f->handlers->on_config(f->context, config->text.text_val,
                               config->text.text_len,
                               (int64_t)config->revision);
    }
}

/* Asks a peer for the configuration that it has and this VM has not. */
static void
fetch_config(CaroFleet *f, CaroHandle vm)
{
    caro_member_update updates[CARO_UPDATES_MAX];
    caro_heartbeat h;
    if (f->is_fetching) {
        return;
    }
    f->is_fetching = true;
    fill_heartbeat(f, vm, &h, updates);
    CaroRpc_Call(f->rpc, CaroMembership_Get(f->membership, vm)->peer,
                 CARO_RPC_TCP, CARO_CONFIG, &h, CONFIG_TIMEOUT, on_config, f);
}

static void
take_heartbeat(CaroFleet *f, const caro_heartbeat *h, CaroTime now)
{
    for (u_int i = 0; i < h->updates.updates_len; i++) {
        (void)CaroMembership_Apply(f->membership, &h->updates.updates_val[i],
                                   now);
    }
    CaroMembership_RecordHeard(f->membership, h->sender, now);
    CaroHandle vm = CaroMembership_Find(f->membership, h->sender);
    CaroConfigFreshness proof = f->handlers->get_config_freshness(f->context);
    if (vm > 0 && f->handlers->on_evidence != NULL) {
        f->handlers->on_evidence(f->context, vm, h->evidence.evidence_val,
                                 (int)h->evidence.evidence_len);
    }
    if (vm > 0 && (int64_t)h->config_revision > proof.revision) {
        fetch_config(f, vm);
    }
}

static void
on_probe_answer(void *context, int code, const void *result)
{
    Probe *p = context;
    CaroFleet *f = p->fleet;
    if (code == 0) {
        const caro_heartbeat *h = result;
        take_heartbeat(f, h, CaroClock_Now());
        if (f->handlers->on_proof != NULL) {
            f->handlers->on_proof(f->context, (int64_t)h->config_revision,
                                  h->config_age, p->asked);
        }
        send_events(f);
    }
    if (p->relay != NULL) {
        if (code == 0) {
            /* The target's own words go back to the VM that asked. */
            CaroRpc_Reply(p->relay, result);
        }
        else {
            CaroRpc_Ignore(p->relay);
        }
    }
    free(p);
}

static Probe *
create_probe(CaroFleet *f, CaroHandle vm, CaroRpcRequest *relay)
{
    Probe *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort(); /* A VM without memory for a probe cannot go on. */
    }
    p->fleet = f;
    p->relay = relay;
    p->vm = vm;
    p->asked = CaroClock_BootTime();
    return p;
}

static void
send_probe(CaroFleet *f, CaroHandle vm, CaroRpcRequest *relay)
{
    caro_member_update updates[CARO_UPDATES_MAX];
    caro_heartbeat h;
    fill_heartbeat(f, vm, &h, updates);
    CaroCounters_Add(f->options.counters, CARO_COUNT_HEARTBEATS, 1);
    CaroRpc_Call(f->rpc, CaroMembership_Get(f->membership, vm)->peer,
                 CARO_RPC_UDP, CARO_HEARTBEAT, &h,
                 PROBE_PERIODS * f->options.heartbeat, on_probe_answer,
                 create_probe(f, vm, relay));
}

static void
send_indirect(CaroFleet *f, CaroHandle helper, CaroHandle target)
{
    caro_member_update updates[CARO_UPDATES_MAX];
    caro_indirect_probe args;
    args.target = (char *)CaroMembership_Get(f->membership, target)->name;
    fill_heartbeat(f, helper, &args.heartbeat, updates);
    CaroRpc_Call(f->rpc, CaroMembership_Get(f->membership, helper)->peer,
                 CARO_RPC_UDP, CARO_INDIRECT_PROBE, &args,
                 PROBE_PERIODS * f->options.heartbeat, on_probe_answer,
                 create_probe(f, target, NULL));
}

static void
on_changed(CaroFleet *f, const CaroMembershipEvent *event)
{
    const CaroVm *vm = CaroMembership_Get(f->membership, event->vm);
    if (vm->state == event->before) {
        return;
    }
    CaroLog_Info("fleet",
                 "A VM changed state. vm=%s from=%s to=%s incarnation=%llu",
                 vm->name, CaroMembership_StateName(event->before),
                 CaroMembership_StateName(vm->state),
                 (unsigned long long)vm->incarnation);
    if (f->handlers->on_changed != NULL) {
        f->handlers->on_changed(f->context, vm, event->before);
    }
}

static void
send_events(CaroFleet *f)
{
    CaroMembershipEvent event;
    while (CaroMembership_Next(f->membership, &event)) {
        switch (event.kind) {
        case CARO_SEND_PROBE:
            send_probe(f, event.vm, NULL);
            break;
        case CARO_SEND_INDIRECT_PROBE:
            send_indirect(f, event.vm, event.target);
            break;
        case CARO_MEMBER_CHANGED:
            on_changed(f, &event);
            break;
        }
    }
}

static void
on_members(void *context, int code, const void *result)
{
    CaroFleet *f = context;
    if (code < 0) {
        return;
    }
    const caro_members *all = result;
    CaroTime now = CaroClock_Now();
    f->is_answered = true;
    for (u_int i = 0; i < all->members.members_len; i++) {
        CaroMembership_ApplyWithoutGossip(f->membership,
                                          &all->members.members_val[i], now);
    }
    send_events(f);
}

/* Asks some of the known addresses, in turn, for all members. */
static void
join(CaroFleet *f)
{
    for (int i = 0; i < ASKED_AT_ONCE && i < f->n_addresses; i++) {
        caro_member_update updates[CARO_UPDATES_MAX];
        caro_heartbeat h;
        const char *peer = f->addresses[f->at_address++ % f->n_addresses];
        fill_heartbeat(f, CARO_SELF, &h, updates);
        CaroRpc_Call(f->rpc, peer, CARO_RPC_TCP, CARO_MEMBERS, &h,
                     JOIN_TIMEOUT, on_members, f);
    }
}

void
CaroFleet_ReplyWithHeartbeat(CaroFleet *f, CaroRpcRequest *request,
                             const char *to)
{
    caro_member_update updates[CARO_UPDATES_MAX];
    caro_heartbeat reply;
    fill_heartbeat(f, CaroMembership_Find(f->membership, to), &reply, updates);
    CaroRpc_Reply(request, &reply);
}

static void
answer_members(CaroFleet *f, CaroRpcRequest *request)
{
    caro_members reply;
    caro_member_update *updates =
        calloc(CARO_VMS_MAX, sizeof(caro_member_update));
    if (updates == NULL) {
        CaroRpc_Ignore(request);
        return;
    }
    reply.members.members_val = updates;
    reply.members.members_len =
        (u_int)CaroMembership_CollectAll(f->membership, updates, CARO_VMS_MAX);
    CaroRpc_Reply(request, &reply);
    free(updates);
}

static void
answer_config(CaroFleet *f, CaroRpcRequest *request)
{
    caro_config reply;
    const char *bytes;
    size_t size;
    int64_t revision;
    memset(&reply, 0, sizeof(reply));
    if (f->handlers->get_config(f->context, &bytes, &size, &revision)) {
        reply.revision = (uint64_t)revision;
        reply.text.text_val = (char *)bytes;
        reply.text.text_len = (u_int)size;
    }
    CaroRpc_Reply(request, &reply);
}

static void
on_call(void *context, CaroRpcRequest *request, uint32_t procedure, void *args)
{
    CaroFleet *f = context;
    CaroTime now = CaroClock_Now();
    switch (procedure) {
    case CARO_HEARTBEAT:
        take_heartbeat(f, args, now);
        CaroFleet_ReplyWithHeartbeat(f, request,
                                     ((caro_heartbeat *)args)->sender);
        break;
    case CARO_INDIRECT_PROBE: {
        const caro_indirect_probe *in = args;
        take_heartbeat(f, &in->heartbeat, now);
        CaroHandle vm = CaroMembership_Find(f->membership, in->target);
        if (vm > 0) {
            send_probe(f, vm, request);
        }
        else {
            CaroRpc_Ignore(request);
        }
        break;
    }
    case CARO_MEMBERS:
        take_heartbeat(f, args, now);
        answer_members(f, request);
        break;
    case CARO_CONFIG:
        answer_config(f, request);
        break;
    case CARO_LOAD_REPORT:
        if (f->handlers->on_load_report != NULL) {
            f->handlers->on_load_report(f->context, args);
        }
        CaroRpc_Ignore(request);
        break;
    default:
        if (f->handlers->on_call != NULL) {
            f->handlers->on_call(f->context, request, procedure, args);
        }
        else {
            CaroRpc_Ignore(request);
        }
        break;
    }
    send_events(f);
}

CaroFleet *
CaroFleet_Create(struct event_base *base, const CaroVm *self,
                 const CaroFleetOptions *options, gsl_rng *rng,
                 const CaroFleetHandlers *handlers, void *context,
                 CaroTime now, CaroError *err)
{
    CaroFleet *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "fleet", self->name,
                            "no memory");
        return NULL;
    }
    f->options = *options;
    f->rng = rng;
    /* VMs that start together with the same seeds ask different ones. */
    f->at_address = (int)gsl_rng_uniform_int(rng, ADDRESSES_MAX);
    f->handlers = handlers;
    f->context = context;
    f->created = now;
    CARO_COPY(f->name, self->name);
    CARO_COPY(f->peer, self->peer);
    f->membership =
        CaroMembership_Create(self, options->heartbeat, gsl_rng_get(rng), now);
    f->rpc = CaroRpc_Create(base, self->peer, on_call, f, err);
    if (f->membership == NULL || f->rpc == NULL) {
        CaroFleet_Destroy(f);
        return NULL;
    }
    return f;
}

void
CaroFleet_Destroy(CaroFleet *f)
{
    if (f != NULL) {
        CaroRpc_Destroy(f->rpc);
        CaroMembership_Destroy(f->membership);
        free(f);
    }
}

void
CaroFleet_AddSeed(CaroFleet *f, const CaroVm *vm, CaroTime now)
{
    CaroMembership_AddSeed(f->membership, vm, now);
    CaroFleet_AddAddress(f, vm->peer);
}

void
CaroFleet_AddAddress(CaroFleet *f, const char *peer)
{
    if (strcmp(peer, f->peer) == 0) {
        return;
    }
    for (int i = 0; i < f->n_addresses; i++) {
        if (strcmp(f->addresses[i], peer) == 0) {
            return;
        }
    }
    /* A full table forgets its oldest addresses in turn. */
    int at = f->n_addresses < ADDRESSES_MAX
                 ? f->n_addresses++
                 : (int)gsl_rng_uniform_int(f->rng, ADDRESSES_MAX);
    CARO_COPY(f->addresses[at], peer);
}

void
CaroFleet_Tick(CaroFleet *f, CaroTime now)
{
    CaroMembership_Tick(f->membership, now);
    send_events(f);
    if (now >= f->next_join) {
        bool is_alone = CaroMembership_CountUsable(f->membership) <= 1;
        f->next_join =
            now + (is_alone ? JOIN_EAGER : f->options.rejoin_interval);
        if (is_alone || f->options.rejoin_interval > 0) {
            join(f);
        }
    }
}

void
CaroFleet_Leave(CaroFleet *f, CaroTime now)
{
    CaroMembership_Leave(f->membership, now);
    int count = CaroMembership_Count(f->membership);
    int sent = 0;
    for (CaroHandle vm = 1; vm < count && sent < LEAVE_FANOUT; vm++) {
        if (CaroMembership_IsUsable(f->membership, vm)) {
            send_probe(f, vm, NULL);
            sent++;
        }
    }
    send_events(f);
}

void
CaroFleet_SendLoadReport(CaroFleet *f, const caro_load_report *news)
{
    int count = CaroMembership_Count(f->membership);
    bool is_large =
        CaroMembership_CountUsable(f->membership) > LOADS_FANOUT + 1;
    const char *domain = CaroMembership_Get(f->membership, CARO_SELF)->domain;
    /* The start turns, so that in a large domain each is told in turn. */
    int sent = 0;
    for (int i = 0; i < count && sent < LOADS_FANOUT; i++) {
        CaroHandle vm =
            (CaroHandle)((news->sequence + (u_int)i) % (u_int)count);
        const CaroVm *v = CaroMembership_Get(f->membership, vm);
        if (vm != CARO_SELF && CaroMembership_IsUsable(f->membership, vm) &&
            (!is_large || strcmp(v->domain, domain) == 0)) {
            CaroRpc_Call(f->rpc, v->peer, CARO_RPC_UDP, CARO_LOAD_REPORT, news,
                         LOADS_TIMEOUT, NULL, NULL);
            sent++;
        }
    }
}

const CaroMembership *
CaroFleet_GetMembershipConst(const CaroFleet *f)
{
    return f->membership;
}

bool
CaroFleet_IsJoined(const CaroFleet *f, CaroTime now)
{
    return f->is_answered || now - f->created >= JOIN_MOST;
}

void
CaroFleet_Announce(CaroFleet *f, int fanout)
{
    int count = CaroMembership_Count(f->membership);
    for (int tries = 0; tries < 8 * fanout && fanout > 0; tries++) {
        CaroHandle vm =
            (CaroHandle)gsl_rng_uniform_int(f->rng, (unsigned long)count);
        if (vm != CARO_SELF && CaroMembership_IsUsable(f->membership, vm)) {
            send_probe(f, vm, NULL);
            fanout--;
        }
    }
}

CaroRpc *
CaroFleet_Rpc(CaroFleet *f)
{
    return f->rpc;
}

CaroMembership *
CaroFleet_GetMembership(CaroFleet *f)
{
    return f->membership;
}
