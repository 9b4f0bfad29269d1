/*
 * Messages between the VMs.
 *
 * Until another VM is known, and at a longer interval after that, some of
 * the known addresses are asked for their member lists, so that two parts of
 * a partitioned fleet find each other again.
 */
#include "internal/caro_fleet.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* A VM that starts learns from them how many share the retry budget. */
    ADDRESSES_MAX = CARO_VMS_MAX,
    LEAVE_FANOUT = 64,
    JOIN_FANOUT = 3,
    /* VMs in one failure domain of the largest known deployment. */
    LOAD_REPORT_FANOUT = 40
};
/* Timeout of a probe in heartbeat intervals: a response may arrive as late as
   the next two probes are sent. */
#define PROBE_TIMEOUT_FACTOR 3
#define JOIN_TIMEOUT (700 * CARO_MS)
/* Interval between requests for the member list until another VM is known. */
#define JOIN_RETRY_INTERVAL (300 * CARO_MS)
/* A VM that has received no member list by then counts as the only one. */
#define JOIN_WAIT_MAX (1500 * CARO_MS)
#define CONFIG_TIMEOUT (1 * CARO_SECOND)
/* Load reports are not replied to; the call's state is freed after this. */
#define LOAD_REPORT_TIMEOUT (20 * CARO_MS)
#define PROMPT_QUERY_TIMEOUT (500 * CARO_MS)

/* How a VM sends its configuration; those of earlier versions send it plain
   and do not reply to a call for the packed form. */
typedef enum { CONFIG_UNKNOWN, CONFIG_PACKED, CONFIG_PLAIN } ConfigForm;

/* VMs that get a message chosen at random, and that are asked for evidence on
   prompts. */
enum { FANOUT_MAX = 8, PROMPT_QUERIES = 3 };

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
    int next_address;
    CaroTime next_join;
    CaroTime created_at;
    bool has_member_list;    /* Another VM has sent its member list. */
    bool is_fetching_config; /* A call for a peer's configuration is open. */
    CaroHandle config_vm;    /* The VM called, and when. */
    CaroTime config_called_at;
    /* By VM: the form of its last reply, or PLAIN after a call for the packed
       form to a VM that never sent it had no reply. */
    ConfigForm config_forms[CARO_VMS_MAX];
    bool wants_whole_config; /* The last one could not be unpacked. */
};

/* A probe in progress. */
typedef struct {
    CaroFleet *fleet;
    /* Call of the VM that requested an indirect probe; NULL for a probe of
       this VM's own. */
    CaroRpcRequest *requester;
    CaroTime sent_at; /* By CaroClock_BootTime. */
    CaroHandle vm;
} Probe;

static void process_events(CaroFleet *f);

static void
fill_heartbeat(CaroFleet *f, CaroHandle to, caro_heartbeat *h,
               caro_member_update *updates)
{
    /* Static, as the heartbeat points to it; there is one thread, and a
       heartbeat is encoded before the next is filled. */
    static caro_rollout_evidence evidence[CARO_ROLLOUTS_MAX];
    CaroConfigFreshness freshness =
        f->handlers->get_config_freshness(f->context);
    memset(h, 0, sizeof(*h));
    if (f->handlers->collect_evidence != NULL) {
        h->evidence.evidence_val = evidence;
        h->evidence.evidence_len =
            (u_int)f->handlers->collect_evidence(f->context, evidence);
    }
    h->sender = f->name;
    h->config_revision = (uint64_t)freshness.revision;
    h->config_age = CaroConfigFreshness_Age(&freshness, CaroClock_BootTime());
    h->updates.updates_val = updates;
    h->updates.updates_len =
        (u_int)CaroMembership_CollectGossip(f->membership, to, updates);
}

/* Ends the call for a configuration; logs a failure. */
static void
finish_fetch(CaroFleet *f, int code)
{
    f->is_fetching_config = false;
    if (code < 0) {
        CaroCounters_Add(f->options.counters, CARO_COUNT_CONFIG_FETCH_FAILURES,
                         1);
        CaroLog_Warn(
            "fleet",
            "A configuration could not be fetched from a VM. vm=%s "
            "elapsed_ms=%lld error=\"%s\"",
            CaroMembership_Get(f->membership, f->config_vm)->name,
            (long long)((CaroClock_Now() - f->config_called_at) / CARO_MS),
            CaroError_Name(code));
    }
}

static void
on_config(void *context, int code, const void *result)
{
    CaroFleet *f = context;
    const caro_config *config = result;
    if (code < 0) {
        /* It may have been upgraded meanwhile. */
        f->config_forms[f->config_vm] = CONFIG_UNKNOWN;
    }
    finish_fetch(f, code);
    if (code == 0 && config->text.text_len > 0) {
        f->handlers->on_config(f->context, config->text.text_val,
                               config->text.text_len,
                               (CaroRevision)config->revision);
    }
}

static void
on_packed_config(void *context, int code, const void *result)
{
    CaroFleet *f = context;
    const caro_packed_config *packed = result;
    ConfigForm *form = &f->config_forms[f->config_vm];
    if (code == 0) {
        *form = CONFIG_PACKED;
    }
    else if (code == CARO_ERR_TIMEOUT && *form == CONFIG_UNKNOWN) {
        *form = CONFIG_PLAIN;
    }
    if (code == 0 && packed->frame.frame_len > 0) {
        code = f->handlers->on_packed_config(f->context, packed);
        f->wants_whole_config = code < 0;
    }
    finish_fetch(f, code);
}

void
CaroFleet_FetchConfig(CaroFleet *f, CaroHandle vm)
{
    const char *peer = CaroMembership_Get(f->membership, vm)->peer;
    if (f->is_fetching_config) {
        return;
    }
    f->is_fetching_config = true;
    f->config_vm = vm;
    f->config_called_at = CaroClock_Now();
    if (f->handlers->on_packed_config == NULL ||
        f->config_forms[vm] == CONFIG_PLAIN) {
        caro_member_update updates[CARO_UPDATES_MAX];
        caro_heartbeat h;
        fill_heartbeat(f, vm, &h, updates);
        CaroRpc_Call(f->rpc, peer, CARO_RPC_TCP, CARO_CONFIG, &h,
                     CONFIG_TIMEOUT, on_config, f);
        return;
    }
    CaroConfigFreshness freshness =
        f->handlers->get_config_freshness(f->context);
    caro_config_args args = {
        .sender = f->name,
        .revision = f->wants_whole_config ? 0 : (uint64_t)freshness.revision};
    CaroRpc_Call(f->rpc, peer, CARO_RPC_TCP, CARO_PACKED_CONFIG, &args,
                 CONFIG_TIMEOUT, on_packed_config, f);
}

/* Returns whether the configuration of another VM is to be fetched. */
static bool
wants_config(const CaroFleet *f, CaroRevision revision)
{
    return f->handlers->wants_config != NULL
               ? f->handlers->wants_config(f->context, revision)
               : revision >
                     f->handlers->get_config_freshness(f->context).revision;
}

static void
apply_heartbeat(CaroFleet *f, const caro_heartbeat *h, CaroTime now)
{
    for (u_int i = 0; i < h->updates.updates_len; i++) {
        (void)CaroMembership_Apply(f->membership, &h->updates.updates_val[i],
                                   now);
    }
    CaroMembership_RecordHeard(f->membership, h->sender, now);
    CaroHandle vm = CaroMembership_Find(f->membership, h->sender);
    if (vm > 0 && f->handlers->on_evidence != NULL) {
        f->handlers->on_evidence(f->context, vm, h->evidence.evidence_val,
                                 (int)h->evidence.evidence_len);
    }
    if (vm > 0 && wants_config(f, (CaroRevision)h->config_revision)) {
        CaroFleet_FetchConfig(f, vm);
    }
}

static void
on_probe_response(void *context, int code, const void *result)
{
    Probe *p = context;
    CaroFleet *f = p->fleet;
    if (code == 0) {
        const caro_heartbeat *h = result;
        apply_heartbeat(f, h, CaroClock_Now());
        if (f->handlers->on_peer_freshness != NULL) {
            f->handlers->on_peer_freshness(f->context,
                                           (CaroRevision)h->config_revision,
                                           h->config_age, p->sent_at);
        }
        process_events(f);
    }
    if (p->requester != NULL) {
        if (code == 0) {
            /* The target's heartbeat is returned unchanged. */
            CaroRpc_Reply(p->requester, result);
        }
        else {
            CaroRpc_Ignore(p->requester);
        }
    }
    free(p);
}

static Probe *
create_probe(CaroFleet *f, CaroHandle vm, CaroRpcRequest *requester)
{
    Probe *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        abort(); /* A VM without memory for a probe cannot take part. */
    }
    p->fleet = f;
    p->requester = requester;
    p->vm = vm;
    p->sent_at = CaroClock_BootTime();
    return p;
}

static void
send_probe(CaroFleet *f, CaroHandle vm, CaroRpcRequest *requester)
{
    caro_member_update updates[CARO_UPDATES_MAX];
    caro_heartbeat h;
    fill_heartbeat(f, vm, &h, updates);
    CaroCounters_Add(f->options.counters, CARO_COUNT_HEARTBEATS, 1);
    CaroRpc_Call(f->rpc, CaroMembership_Get(f->membership, vm)->peer,
                 CARO_RPC_UDP, CARO_HEARTBEAT, &h,
                 PROBE_TIMEOUT_FACTOR * f->options.heartbeat_interval,
                 on_probe_response, create_probe(f, vm, requester));
}

static void
send_indirect_probe(CaroFleet *f, CaroHandle prober, CaroHandle target)
{
    caro_member_update updates[CARO_UPDATES_MAX];
    caro_indirect_probe args;
    args.target = (char *)CaroMembership_Get(f->membership, target)->name;
    fill_heartbeat(f, prober, &args.heartbeat, updates);
    CaroRpc_Call(f->rpc, CaroMembership_Get(f->membership, prober)->peer,
                 CARO_RPC_UDP, CARO_INDIRECT_PROBE, &args,
                 PROBE_TIMEOUT_FACTOR * f->options.heartbeat_interval,
                 on_probe_response, create_probe(f, target, NULL));
}

static void
on_changed(CaroFleet *f, const CaroMembershipEvent *event)
{
    const CaroVm *vm = CaroMembership_Get(f->membership, event->vm);
    if (vm->state == event->before) {
        return;
    }
    CaroLog_Info("fleet",
                 "The state of a VM changed. vm=%s from=%s to=%s "
                 "incarnation=%llu",
                 vm->name, CaroMembership_StateName(event->before),
                 CaroMembership_StateName(vm->state),
                 (unsigned long long)vm->incarnation);
    if (f->handlers->on_changed != NULL) {
        f->handlers->on_changed(f->context, vm, event->before);
    }
}

static void
process_events(CaroFleet *f)
{
    CaroMembershipEvent event;
    while (CaroMembership_Next(f->membership, &event)) {
        switch (event.kind) {
        case CARO_SEND_PROBE:
            send_probe(f, event.vm, NULL);
            break;
        case CARO_SEND_INDIRECT_PROBE:
            send_indirect_probe(f, event.vm, event.target);
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
    f->has_member_list = true;
    for (u_int i = 0; i < all->members.members_len; i++) {
        CaroMembership_ApplyWithoutGossip(f->membership,
                                          &all->members.members_val[i], now);
    }
    process_events(f);
}

/* Requests the member lists of JOIN_FANOUT known addresses, in turn. */
static void
request_members(CaroFleet *f)
{
    for (int i = 0; i < JOIN_FANOUT && i < f->n_addresses; i++) {
        caro_member_update updates[CARO_UPDATES_MAX];
        caro_heartbeat h;
        const char *peer = f->addresses[f->next_address++ % f->n_addresses];
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
reply_members(CaroFleet *f, CaroRpcRequest *request)
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
reply_config(CaroFleet *f, CaroRpcRequest *request)
{
    caro_config reply;
    const char *bytes;
    size_t size;
    CaroRevision revision;
    memset(&reply, 0, sizeof(reply));
    if (f->handlers->get_config(f->context, &bytes, &size, &revision)) {
        reply.revision = (uint64_t)revision;
        reply.text.text_val = (char *)bytes;
        reply.text.text_len = (u_int)size;
    }
    CaroRpc_Reply(request, &reply);
}

static void
reply_packed_config(CaroFleet *f, CaroRpcRequest *request,
                    const caro_config_args *args)
{
    caro_packed_config reply;
    memset(&reply, 0, sizeof(reply));
    if (f->handlers->pack_config == NULL) {
        CaroRpc_Ignore(request);
        return;
    }
    (void)f->handlers->pack_config(f->context, (CaroRevision)args->revision,
                                   &reply);
    CaroRpc_Reply(request, &reply);
}

static void
reply_store_changes(CaroFleet *f, CaroRpcRequest *request,
                    const caro_store_changes_args *args)
{
    caro_store_change changes[CARO_CHANGES_MAX];
    caro_store_changes reply;
    memset(&reply, 0, sizeof(reply));
    if (f->handlers->collect_store_changes != NULL &&
        args->revision <= INT64_MAX &&
        f->handlers->collect_store_changes(
            f->context, (CaroRevision)args->revision, changes, &reply)) {
        CaroRpc_Reply(request, &reply);
    }
    else {
        CaroRpc_Ignore(request);
    }
}

static void
on_call(void *context, CaroRpcRequest *request, uint32_t procedure, void *args)
{
    CaroFleet *f = context;
    CaroTime now = CaroClock_Now();
    switch (procedure) {
    case CARO_HEARTBEAT:
        apply_heartbeat(f, args, now);
        CaroFleet_ReplyWithHeartbeat(f, request,
                                     ((caro_heartbeat *)args)->sender);
        break;
    case CARO_INDIRECT_PROBE: {
        const caro_indirect_probe *in = args;
        apply_heartbeat(f, &in->heartbeat, now);
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
        apply_heartbeat(f, args, now);
        reply_members(f, request);
        break;
    case CARO_CONFIG:
        reply_config(f, request);
        break;
    case CARO_PACKED_CONFIG:
        reply_packed_config(f, request, args);
        break;
    case CARO_STORE_CHANGES:
        reply_store_changes(f, request, args);
        break;
    case CARO_LOAD_REPORT:
        if (f->handlers->on_load_report != NULL) {
            f->handlers->on_load_report(f->context, args);
        }
        CaroRpc_Ignore(request);
        break;
    case CARO_PROMPT_REPORT:
        if (f->handlers->on_prompt_report != NULL) {
            f->handlers->on_prompt_report(f->context, args);
        }
        CaroRpc_Ignore(request);
        break;
    case CARO_STORE_NOTICES:
        if (f->handlers->on_store_notices != NULL) {
            f->handlers->on_store_notices(f->context, args);
        }
        CaroRpc_Ignore(request);
        break;
    case CARO_TUNNEL_LEASE:
        if (f->handlers->on_tunnel_lease != NULL) {
            f->handlers->on_tunnel_lease(f->context, args);
        }
        CaroRpc_Ignore(request);
        break;
    case CARO_PROMPT_EVIDENCE:
        if (f->handlers->on_prompt_evidence != NULL) {
            f->handlers->on_prompt_evidence(f->context, args);
        }
        CaroRpc_Ignore(request);
        break;
    case CARO_PROMPT_QUERY:
        if (f->handlers->on_prompt_query != NULL) {
            f->handlers->on_prompt_query(f->context, request);
        }
        else {
            CaroRpc_Ignore(request);
        }
        break;
    case CARO_RETRY_LOAN:
        if (f->handlers->on_retry_loan != NULL) {
            f->handlers->on_retry_loan(f->context, request, args);
        }
        else {
            CaroRpc_Ignore(request);
        }
        break;
    case CARO_PACE_REPORT:
        if (f->handlers->on_pace_report != NULL) {
            f->handlers->on_pace_report(f->context, args);
        }
        CaroRpc_Ignore(request);
        break;
    case CARO_PROMPT_RETENTION:
        if (f->handlers->on_retention_report != NULL) {
            f->handlers->on_retention_report(f->context, args);
        }
        CaroRpc_Ignore(request);
        break;
    case CARO_LIMIT_REPORT:
        if (f->handlers->on_limit_report != NULL) {
            f->handlers->on_limit_report(f->context, args);
        }
        CaroRpc_Ignore(request);
        break;
    case CARO_ROOM_REPORT:
        if (f->handlers->on_room_report != NULL) {
            f->handlers->on_room_report(f->context, args);
        }
        CaroRpc_Ignore(request);
        break;
    case CARO_SLOT_PERMIT:
        if (f->handlers->on_permit_call != NULL) {
            f->handlers->on_permit_call(f->context, request, args);
        }
        else {
            CaroRpc_Ignore(request);
        }
        break;
    case CARO_BRITTLE_NOTICE:
        if (f->handlers->on_brittle_notice != NULL) {
            f->handlers->on_brittle_notice(f->context, args);
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
    process_events(f);
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
    /* A random start, so that VMs that start together with the same seeds ask
       different ones first. */
    f->next_address = (int)gsl_rng_uniform_int(rng, ADDRESSES_MAX);
    f->handlers = handlers;
    f->context = context;
    f->created_at = now;
    CARO_COPY(f->name, self->name);
    CARO_COPY(f->peer, self->peer);
    f->membership = CaroMembership_Create(self, options->heartbeat_interval,
                                          gsl_rng_get(rng), now);
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
    /* When the table is full, a random address is replaced. */
    int at = f->n_addresses < ADDRESSES_MAX
                 ? f->n_addresses++
                 : (int)gsl_rng_uniform_int(f->rng, ADDRESSES_MAX);
    CARO_COPY(f->addresses[at], peer);
}

void
CaroFleet_Tick(CaroFleet *f, CaroTime now)
{
    CaroMembership_Tick(f->membership, now);
    process_events(f);
    if (now >= f->next_join) {
        bool is_alone = CaroMembership_CountUsable(f->membership) <= 1;
        f->next_join = now + (is_alone ? JOIN_RETRY_INTERVAL
                                       : f->options.rejoin_interval);
        if (is_alone || f->options.rejoin_interval > 0) {
            request_members(f);
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
    process_events(f);
}

/* Sends a message to the VMs that get the load report with the sequence
   number. */
static void
send_with_load(CaroFleet *f, uint32_t procedure, const void *message,
               uint32_t sequence)
{
    int count = CaroMembership_Count(f->membership);
    bool is_large =
        CaroMembership_CountUsable(f->membership) > LOAD_REPORT_FANOUT + 1;
    const char *domain = CaroMembership_Get(f->membership, CARO_SELF)->domain;
    /* The first receiver advances with each report, so that all VMs of a
       domain that is larger than the fanout receive some reports. */
    int sent = 0;
    for (int i = 0; i < count && sent < LOAD_REPORT_FANOUT; i++) {
        CaroHandle vm = (CaroHandle)((sequence + (u_int)i) % (u_int)count);
        const CaroVm *v = CaroMembership_Get(f->membership, vm);
        if (vm != CARO_SELF && CaroMembership_IsUsable(f->membership, vm) &&
            (!is_large || strcmp(v->domain, domain) == 0)) {
            CaroRpc_Call(f->rpc, v->peer, CARO_RPC_UDP, procedure, message,
                         LOAD_REPORT_TIMEOUT, NULL, NULL);
            sent++;
        }
    }
}

void
CaroFleet_SendLoadReport(CaroFleet *f, const caro_load_report *report)
{
    send_with_load(f, CARO_LOAD_REPORT, report, report->sequence);
}

void
CaroFleet_SendPaceReport(CaroFleet *f, const caro_pace_report *report,
                         uint32_t sequence)
{
    send_with_load(f, CARO_PACE_REPORT, report, sequence);
}

void
CaroFleet_SendRetentionReport(CaroFleet *f,
                              const caro_retention_report *report,
                              uint32_t sequence)
{
    send_with_load(f, CARO_PROMPT_RETENTION, report, sequence);
}

static void
send_to_all(CaroFleet *f, uint32_t procedure, const void *report)
{
    int count = CaroMembership_Count(f->membership);
    for (CaroHandle vm = 0; vm < count; vm++) {
        if (vm != CARO_SELF && CaroMembership_IsUsable(f->membership, vm)) {
            CaroRpc_Call(f->rpc, CaroMembership_Get(f->membership, vm)->peer,
                         CARO_RPC_UDP, procedure, report, LOAD_REPORT_TIMEOUT,
                         NULL, NULL);
        }
    }
}

void
CaroFleet_SendLimitReport(CaroFleet *f, const caro_limit_report *report)
{
    send_to_all(f, CARO_LIMIT_REPORT, report);
}

void
CaroFleet_SendRoomReport(CaroFleet *f, const caro_room_report *report)
{
    send_to_all(f, CARO_ROOM_REPORT, report);
}

void
CaroFleet_SendBrittleNotice(CaroFleet *f, const caro_brittle_notice *notice)
{
    send_to_all(f, CARO_BRITTLE_NOTICE, notice);
}

/* Returns whether a message may go to the VM; a local one stays in the failure
   domain, as bytes between domains cost. */
static bool
is_wanted_peer(const CaroFleet *f, CaroHandle vm, bool is_local)
{
    const CaroMembership *m = f->membership;
    return vm != CARO_SELF && CaroMembership_IsUsable(m, vm) &&
           (!is_local ||
            strcmp(CaroMembership_Get(m, vm)->domain,
                   CaroMembership_Get(m, CARO_SELF)->domain) == 0);
}

/* Chooses up to "most" different usable VMs at random, three of four in the
   own domain as long as some are found; returns their number. */
static int
choose_peers(CaroFleet *f, CaroHandle *peers, int most)
{
    enum { LOCAL_DIVISOR = 4, TRIES_PER_PEER = 8 };
    int count = CaroMembership_Count(f->membership);
    int n = 0;
    unsigned long turn = gsl_rng_uniform_int(f->rng, LOCAL_DIVISOR);
    for (int tries = 0; tries < 2 * TRIES_PER_PEER * most && n < most;
         tries++) {
        CaroHandle vm =
            (CaroHandle)gsl_rng_uniform_int(f->rng, (unsigned long)count);
        bool is_local = (turn + (unsigned long)n) % LOCAL_DIVISOR != 0 &&
                        tries < TRIES_PER_PEER * most;
        bool is_chosen = is_wanted_peer(f, vm, is_local);
        for (int i = 0; i < n && is_chosen; i++) {
            is_chosen = peers[i] != vm;
        }
        if (is_chosen) {
            peers[n++] = vm;
        }
    }
    return n;
}

void
CaroFleet_SendStoreNotices(CaroFleet *f, caro_store_notices *notices,
                           int fanout)
{
    CaroHandle peers[FANOUT_MAX];
    int n = choose_peers(f, peers, fanout < FANOUT_MAX ? fanout : FANOUT_MAX);
    notices->sender = f->name;
    for (int i = 0; i < n; i++) {
        CaroRpc_Call(f->rpc, CaroMembership_Get(f->membership, peers[i])->peer,
                     CARO_RPC_UDP, CARO_STORE_NOTICES, notices,
                     LOAD_REPORT_TIMEOUT, NULL, NULL);
    }
}

void
CaroFleet_SendTunnelLease(CaroFleet *f, CaroHandle vm,
                          caro_tunnel_lease *lease)
{
    lease->sender = f->name;
    CaroRpc_Call(f->rpc, CaroMembership_Get(f->membership, vm)->peer,
                 CARO_RPC_UDP, CARO_TUNNEL_LEASE, lease, LOAD_REPORT_TIMEOUT,
                 NULL, NULL);
}

void
CaroFleet_SendPromptEvidence(CaroFleet *f,
                             const caro_prompt_evidence *evidence,
                             const caro_prompt_report *old, int fanout)
{
    CaroHandle peers[FANOUT_MAX];
    int n = choose_peers(f, peers, fanout < FANOUT_MAX ? fanout : FANOUT_MAX);
    for (int i = 0; i < n; i++) {
        const char *peer = CaroMembership_Get(f->membership, peers[i])->peer;
        CaroRpc_Call(f->rpc, peer, CARO_RPC_UDP, CARO_PROMPT_EVIDENCE,
                     evidence, LOAD_REPORT_TIMEOUT, NULL, NULL);
        if (old != NULL) {
            CaroRpc_Call(f->rpc, peer, CARO_RPC_UDP, CARO_PROMPT_REPORT, old,
                         LOAD_REPORT_TIMEOUT, NULL, NULL);
        }
    }
}

static void
on_prompt_reply(void *context, int code, const void *result)
{
    CaroFleet *f = context;
    if (code == 0 && f->handlers->on_prompt_reply != NULL) {
        f->handlers->on_prompt_reply(f->context, result);
    }
}

void
CaroFleet_QueryPrompts(CaroFleet *f)
{
    CaroHandle peers[PROMPT_QUERIES];
    caro_prompt_query query = {.sender = f->name};
    int n = choose_peers(f, peers, PROMPT_QUERIES);
    for (int i = 0; i < n; i++) {
        CaroRpc_Call(f->rpc, CaroMembership_Get(f->membership, peers[i])->peer,
                     CARO_RPC_UDP, CARO_PROMPT_QUERY, &query,
                     PROMPT_QUERY_TIMEOUT, on_prompt_reply, f);
    }
}

/* A call for changes of the store in progress. */
typedef struct {
    CaroFleet *fleet;
    CaroHandle vm;
    CaroRevision asked;
    CaroTime sent_at; /* By CaroClock_BootTime. */
} ChangesCall;

static void
on_changes(void *context, int code, const void *result)
{
    ChangesCall *c = context;
    c->fleet->handlers->on_store_changes(c->fleet->context, c->vm, c->asked,
                                         c->sent_at,
                                         code == 0 ? result : NULL);
    free(c);
}

void
CaroFleet_RequestStoreChanges(CaroFleet *f, CaroHandle vm,
                              CaroRevision revision, CaroTime timeout)
{
    caro_store_changes_args args = {.sender = f->name,
                                    .revision = (uint64_t)revision};
    ChangesCall *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort(); /* The outcome, which the caller waits for, is lost. */
    }
    c->fleet = f;
    c->vm = vm;
    c->asked = revision;
    c->sent_at = CaroClock_BootTime();
    CaroRpc_Call(f->rpc, CaroMembership_Get(f->membership, vm)->peer,
                 CARO_RPC_UDP, CARO_STORE_CHANGES, &args, timeout, on_changes,
                 c);
}

const CaroMembership *
CaroFleet_GetMembershipConst(const CaroFleet *f)
{
    return f->membership;
}

int
CaroFleet_CountKnown(const CaroFleet *f)
{
    int count = CaroMembership_Count(f->membership);
    int known = 0;
    for (CaroHandle vm = 0; vm < count; vm++) {
        const CaroVm *v = CaroMembership_Get(f->membership, vm);
        known += !v->has_left || v->state != CARO_MEMBER_DEAD;
    }
    return known > f->n_addresses ? known : f->n_addresses + 1;
}

bool
CaroFleet_IsJoined(const CaroFleet *f, CaroTime now)
{
    return f->has_member_list || now - f->created_at >= JOIN_WAIT_MAX;
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
