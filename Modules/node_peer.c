/*
 * What a node says to other VMs and hears from them: heartbeats, the
 * start of its membership, and the dispatch of all peer calls.
 */
#include "internal/caro_node_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JOIN_TIMEOUT (1 * CARO_SECOND)

/* What a heartbeat's answer belongs to. */
typedef struct {
    CaroNode *node;
    CaroRpcRequest *relay; /* Request of the VM that asked us to probe. */
} Probe;

static void
fill_heartbeat(CaroNode *n, CaroHandle to, caro_heartbeat *h,
               caro_member_update *updates)
{
    /* One loop on one thread: a heartbeat is encoded before the next. */
    static caro_move_news moves[CARO_MOVES_MAX];
    h->moves.moves_val = moves;
    h->moves.moves_len = (u_int)CaroVersionMoves_Fill(n->moves, moves);
    h->sender = (char *)n->common.settings->vm;
    h->config_revision = CaroConfigKeeper_Revision(n->keeper);
    h->proof_age = -1; /* This interface serves no revocable keys. */
    h->updates.updates_val = updates;
    h->updates.updates_len =
        (u_int)CaroMembership_Gossip(n->common.membership, to, updates);
}

static void
take_heartbeat(CaroNode *n, const caro_heartbeat *h, CaroTime now)
{
    for (u_int i = 0; i < h->updates.updates_len; i++) {
        (void)CaroMembership_Apply(n->common.membership,
                                   &h->updates.updates_val[i], now);
    }
    CaroMembership_Heard(n->common.membership, h->sender, now);
    CaroHandle vm = CaroMembership_Find(n->common.membership, h->sender);
    if (vm > 0) {
        CaroVersionMoves_Take(n->moves, vm, h->moves.moves_val,
                              (int)h->moves.moves_len);
    }
    if (vm > 0 && h->config_revision > CaroConfigKeeper_Revision(n->keeper)) {
        CaroConfigKeeper_Fetch(n->keeper, vm);
    }
}

static void
answer_heartbeat(CaroNode *n, CaroRpcRequest *request, const char *to)
{
    caro_member_update updates[CARO_UPDATES_MAX];
    caro_heartbeat reply;
    fill_heartbeat(n, CaroMembership_Find(n->common.membership, to), &reply,
                   updates);
    CaroRpc_Reply(request, &reply);
}

static void
on_probe_answer(void *context, int code, const void *result)
{
    Probe *p = context;
    CaroNode *n = p->node;
    if (code == 0) {
        take_heartbeat(n, result, CaroClock_Now());
        CaroNode_SendMembershipEvents(n);
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
new_probe(CaroNode *n, CaroRpcRequest *relay)
{
    Probe *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort(); /* A node without memory for a probe cannot go on. */
    }
    p->node = n;
    p->relay = relay;
    return p;
}

static void
send_probe(CaroNode *n, CaroHandle vm, CaroRpcRequest *relay)
{
    caro_member_update updates[CARO_UPDATES_MAX];
    caro_heartbeat h;
    fill_heartbeat(n, vm, &h, updates);
    CaroCounters_Add(n->common.counters, CARO_COUNT_HEARTBEATS, 1);
    CaroRpc_Call(n->common.rpc,
                 CaroMembership_Get(n->common.membership, vm)->peer,
                 CARO_RPC_UDP, CARO_HEARTBEAT, &h,
                 n->common.settings->heartbeat_ms * CARO_MS * 4,
                 on_probe_answer, new_probe(n, relay));
}

static void
send_indirect(CaroNode *n, CaroHandle helper, CaroHandle target)
{
    caro_member_update updates[CARO_UPDATES_MAX];
    caro_indirect args;
    args.target =
        (char *)CaroMembership_Get(n->common.membership, target)->name;
    fill_heartbeat(n, helper, &args.heartbeat, updates);
    CaroRpc_Call(n->common.rpc,
                 CaroMembership_Get(n->common.membership, helper)->peer,
                 CARO_RPC_UDP, CARO_INDIRECT, &args,
                 n->common.settings->heartbeat_ms * CARO_MS * 4,
                 on_probe_answer, new_probe(n, NULL));
}

static const char *
state_name(caro_member_state state)
{
    static const char *const names[] = {"alive", "suspect", "leaving", "dead"};
    return names[state];
}

static void
on_member_changed(CaroNode *n, const CaroMembershipEvent *event)
{
    const CaroVm *vm = CaroMembership_Get(n->common.membership, event->vm);
    if (vm->state == event->before) {
        return;
    }
    CaroLog_Info("member", "A VM changed state. vm=%s from=%s to=%s", vm->name,
                 state_name(event->before), state_name(vm->state));
    CaroDecisions_Add(n->common.decisions, CaroClock_WallMs(), "member",
                      vm->name, state_name(vm->state),
                      "was %s, incarnation %llu", state_name(event->before),
                      (unsigned long long)vm->incarnation);
}

void
CaroNode_SendMembershipEvents(CaroNode *n)
{
    CaroMembershipEvent event;
    while (CaroMembership_Next(n->common.membership, &event)) {
        switch (event.kind) {
        case CARO_SEND_PROBE:
            send_probe(n, event.vm, NULL);
            break;
        case CARO_SEND_INDIRECT:
            send_indirect(n, event.vm, event.target);
            break;
        case CARO_CHANGED:
            on_member_changed(n, &event);
            break;
        }
    }
}

void
CaroNode_Announce(CaroNode *n, int fanout)
{
    int count = CaroMembership_Count(n->common.membership);
    for (int tries = 0; tries < 8 * fanout && fanout > 0; tries++) {
        CaroHandle vm =
            (CaroHandle)(CaroRandom_Next(n->common.rng) % (uint64_t)count);
        if (vm != CARO_SELF &&
            CaroMembership_IsUsable(n->common.membership, vm)) {
            send_probe(n, vm, NULL);
            fanout--;
        }
    }
}

static void
on_members(void *context, int code, const void *result)
{
    CaroNode *n = context;
    CaroTime now = CaroClock_Now();
    if (code < 0) {
        return;
    }
    const caro_members *all = result;
    for (u_int i = 0; i < all->members.members_len; i++) {
        CaroMembership_Learn(n->common.membership,
                             &all->members.members_val[i], now);
    }
    CaroNode_SendMembershipEvents(n);
}

/* Asks a few seeds for all members and tells them that we are here. */
void
CaroNode_JoinSeeds(CaroNode *n)
{
    enum { JOIN_ASKED = 3 };
    CaroTime now = CaroClock_Now();
    for (int i = 0; i < n->common.settings->n_seeds; i++) {
        const CaroSeed *seed = &n->common.settings->seeds[i];
        CaroVm vm;
        memset(&vm, 0, sizeof(vm));
        CARO_COPY(vm.name, seed->name);
        CARO_COPY(vm.http, seed->http);
        CARO_COPY(vm.peer, seed->peer);
        CARO_COPY(vm.domain, seed->domain);
        CARO_COPY(vm.region, seed->region);
        CaroMembership_AddSeed(n->common.membership, &vm, now);
    }
    int count = CaroMembership_Count(n->common.membership);
    for (int i = 0; i < JOIN_ASKED && count > 1; i++) {
        CaroHandle vm = 1 + (CaroHandle)(CaroRandom_Next(n->common.rng) %
                                         (uint64_t)(count - 1));
        caro_member_update updates[CARO_UPDATES_MAX];
        caro_heartbeat h;
        fill_heartbeat(n, vm, &h, updates);
        CaroRpc_Call(
            n->common.rpc, CaroMembership_Get(n->common.membership, vm)->peer,
            CARO_RPC_TCP, CARO_MEMBERS, &h, JOIN_TIMEOUT, on_members, n);
    }
}

static void
answer_members(CaroNode *n, CaroRpcRequest *request)
{
    caro_member_update *updates =
        calloc(CARO_VMS_MAX, sizeof(caro_member_update));
    if (updates == NULL) {
        CaroRpc_Ignore(request);
        return;
    }
    caro_members reply;
    reply.members.members_val = updates;
    reply.members.members_len =
        (u_int)CaroMembership_All(n->common.membership, updates, CARO_VMS_MAX);
    CaroRpc_Reply(request, &reply);
    free(updates);
}

static void
on_indirect(CaroNode *n, CaroRpcRequest *request, const caro_indirect *args,
            CaroTime now)
{
    take_heartbeat(n, &args->heartbeat, now);
    CaroHandle vm = CaroMembership_Find(n->common.membership, args->target);
    if (vm <= 0) {
        CaroRpc_Ignore(request);
        return;
    }
    send_probe(n, vm, request);
}

static void
answer_journal(CaroNode *n, CaroRpcRequest *request,
               const caro_journal_batch *batch, CaroTime now)
{
    caro_journal_acks acks;
    acks.acks.acks_len = batch->entries.entries_len;
    acks.acks.acks_val =
        calloc(batch->entries.entries_len + 1, sizeof(caro_journal_ack));
    if (acks.acks.acks_val == NULL) {
        CaroRpc_Ignore(request);
        return;
    }
    CaroSessions_TakeBatch(n->sessions, batch, &acks, now);
    CaroRpc_Reply(request, &acks);
    free(acks.acks.acks_val);
}

void
CaroNode_OnPeerCall(void *context, CaroRpcRequest *request, uint32_t procedure,
                    void *args)
{
    CaroNode *n = context;
    CaroTime now = CaroClock_Now();
    caro_order_outcome outcome;
    caro_take_reply take;
    memset(&outcome, 0, sizeof(outcome));
    memset(&take, 0, sizeof(take));
    take.upstream = "";
    outcome.key = "";
    switch (procedure) {
    case CARO_HEARTBEAT:
        take_heartbeat(n, args, now);
        answer_heartbeat(n, request, ((caro_heartbeat *)args)->sender);
        break;
    case CARO_INDIRECT:
        on_indirect(n, request, args, now);
        break;
    case CARO_MEMBERS:
        take_heartbeat(n, args, now);
        answer_members(n, request);
        break;
    case CARO_JOURNAL:
        answer_journal(n, request, args, now);
        break;
    case CARO_TAKE:
        CaroSessions_TakeOver(n->sessions, ((caro_take_args *)args)->id,
                              &take);
        CaroRpc_Reply(request, &take);
        break;
    case CARO_INTENT:
        CaroOrderDesk_OnIntent(n->orders, args, &outcome, now);
        CaroRpc_Reply(request, &outcome);
        break;
    case CARO_OUTCOME:
        CaroOrderDesk_OnOutcome(n->orders, args, now);
        CaroRpc_Reply(request, &outcome);
        break;
    case CARO_FORWARD:
        CaroOrderDesk_OnForward(n->orders, request, args, now);
        break;
    case CARO_DECIDE:
        CaroOrderDesk_OnDecide(n->orders, args, &outcome, now);
        CaroRpc_Reply(request, &outcome);
        break;
    case CARO_CONFIG:
        CaroConfigKeeper_Answer(n->keeper, request);
        break;
    case CARO_DRAIN:
        CaroNode_Drain(n);
        answer_heartbeat(n, request, ((caro_heartbeat *)args)->sender);
        break;
    case CARO_WHY:
        CaroNode_OnWhy(n, request, args);
        break;
    default:
        CaroRpc_Ignore(request);
        break;
    }
    CaroNode_SendMembershipEvents(n);
}
