/*
 * Non-idempotent requests at this node, as arbiter, backup or neither.
 *
 * The arbiter that the ticket names records the key, has the backup
 * record the intent, and only then dispatches, once.  Any other node
 * forwards the order to the arbiter; when the arbiter is gone, the backup
 * decides.  docs/design/orders.md has the rules and why each is needed.
 */
#include "internal/caro_order_coordinator.h"

#include "internal/caro_clock.h"
#include "internal/caro_http.h"
#include "internal/caro_log.h"
#include "internal/caro_orders.h"
#include "internal/caro_router.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define INTENT_TIMEOUT (400 * CARO_MS)
#define DECIDE_WAIT (250 * CARO_MS)

enum {
    DISPATCH_TRIES = 3, /* Services tried while none was sent a byte. */
    DECIDE_TRIES = 12,
    RECORDS_MAX = 65536
};

/* Someone who waits for the outcome of a key. */
typedef struct Waiter {
    char key[CARO_KEY_SIZE];
    CaroOrderDone done;
    void *context;
    struct Waiter *prev;
    struct Waiter *next;
} Waiter;

struct CaroOrderCoordinator {
    CaroCommon common;
    CaroOrders *orders;
    Waiter *waiters;
    int n_running;
};

/* An order in work at the arbiter. */
typedef struct {
    CaroOrderCoordinator *desk;
    char key[CARO_KEY_SIZE];
    char service[CARO_NAME_SIZE];
    char path[256];
    char *body;
    size_t body_size;
    CaroHandle backup;
    uint64_t digest;
    CaroHandle upstream;
    CaroHandle tried[DISPATCH_TRIES];
    int n_tried;
} Order;

/* An order of a caller whose ticket names another VM. */
typedef struct {
    CaroOrderCoordinator *desk;
    char key[CARO_KEY_SIZE];
    CaroTicket ticket;
    uint64_t digest;
    int tries;
    CaroOrderDone done;
    void *context;
} Remote;

CaroOrderCoordinator *
CaroOrderCoordinator_Create(const CaroCommon *common)
{
    CaroOrderCoordinator *d = calloc(1, sizeof(*d));
    if (d == NULL) {
        return NULL;
    }
    d->common = *common;
    d->orders = CaroOrders_Create(RECORDS_MAX);
    if (d->orders == NULL) {
        free(d);
        return NULL;
    }
    return d;
}

void
CaroOrderCoordinator_Destroy(CaroOrderCoordinator *d)
{
    if (d != NULL) {
        CaroOrders_Destroy(d->orders);
        free(d);
    }
}

void
CaroOrderCoordinator_Expire(CaroOrderCoordinator *d, CaroTime before)
{
    (void)CaroOrders_Expire(d->orders, before);
}

int
CaroOrderCoordinator_CountRunning(const CaroOrderCoordinator *d)
{
    return d->n_running;
}

int
CaroOrderCoordinator_CountRecords(const CaroOrderCoordinator *d)
{
    return (int)CaroOrders_Count(d->orders);
}

static void
fill_outcome(const CaroOrderRecord *r, caro_order_outcome *out)
{
    memset(out, 0, sizeof(*out));
    out->key = (char *)r->key;
    out->digest = r->digest;
    out->state = CaroOrders_WireState(r);
    out->status = (u_int)r->status;
    out->body.body_val = r->body;
    out->body.body_len = (u_int)r->body_size;
}

/* Tells one waiter a state that is in no record. */
static void
tell(CaroOrderDone done, void *context, const char *key,
     caro_order_state state)
{
    caro_order_outcome out;
    memset(&out, 0, sizeof(out));
    out.key = (char *)key;
    out.state = state;
    done(context, &out);
}

static bool
is_settled(const CaroOrderRecord *r)
{
    return r->state == CARO_RECORD_DONE || r->state == CARO_RECORD_FENCED ||
           r->state == CARO_RECORD_UNKNOWN;
}

static void
tell_waiters(CaroOrderCoordinator *d, const CaroOrderRecord *r)
{
    caro_order_outcome out;
    Waiter *w;
    Waiter *next;
    DL_FOREACH_SAFE(d->waiters, w, next)
    {
        if (strcmp(w->key, r->key) != 0) {
            continue;
        }
        DL_DELETE(d->waiters, w);
        fill_outcome(r, &out);
        w->done(w->context, &out);
        free(w);
    }
}

static void
wait_for(CaroOrderCoordinator *d, const char *key, CaroOrderDone done,
         void *context)
{
    Waiter *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        tell(done, context, key, CARO_ORDER_UNKNOWN);
        return;
    }
    CARO_COPY(w->key, key);
    w->done = done;
    w->context = context;
    DL_APPEND(d->waiters, w);
}

static void
release_order(Order *o)
{
    o->desk->n_running--;
    free(o->body);
    free(o);
}

/* Settles the record, tells the backup and those who wait. */
static void
settle(Order *o, CaroRecordState state, int status, const char *body,
       size_t size)
{
    CaroOrderCoordinator *d = o->desk;
    CaroTime now = CaroClock_Now();
    CaroOrderRecord *r = CaroOrders_Find(d->orders, o->key);
    if (r != NULL) {
        (void)CaroOrders_SetOutcome(r, state, status, body, size, now);
        if (o->backup != CARO_NO_HANDLE) {
            caro_order_outcome out;
            fill_outcome(r, &out);
            CaroRpc_Call(
                d->common.rpc,
                CaroMembership_Get(d->common.membership, o->backup)->peer,
                CARO_RPC_TCP, CARO_OUTCOME, &out, INTENT_TIMEOUT, NULL, NULL);
        }
        tell_waiters(d, r);
    }
    release_order(o);
}

static void dispatch(Order *o);

static void
on_service_answer(void *context, int code, int status, const char *body,
                  size_t size, bool is_sent, const struct evkeyvalq *headers)
{
    (void)headers;
    Order *o = context;
    CaroOrderCoordinator *d = o->desk;
    CaroUpstreams_EndAttempt(d->common.upstreams, o->upstream);
    if (code == 0) {
        CaroUpstreams_RecordSuccess(d->common.upstreams, o->upstream);
        CaroCounters_Add(d->common.counters, CARO_COUNT_ORDERS_DONE, 1);
        settle(o, CARO_RECORD_DONE, status, body, size);
        return;
    }
    CaroUpstreams_RecordFailure(d->common.upstreams, o->upstream,
                                CaroClock_Now());
    if (is_sent) {
        CaroCounters_Add(d->common.counters, CARO_COUNT_ORDERS_UNKNOWN, 1);
        CaroLog_Warn(
            "orders", "An outcome is lost. key=%s service=%s", o->key,
            CaroUpstreams_Get(d->common.upstreams, o->upstream)->name);
        settle(o, CARO_RECORD_UNKNOWN, 0, "", 0);
        return;
    }
    dispatch(o);
}

CaroHandle
CaroOrderCoordinator_ChooseUpstream(CaroOrderCoordinator *d,
                                    const char *service,
                                    const CaroHandle *tried, int n_tried)
{
    CaroRouterQuery q = {.policy = CARO_ROUTER_LEAST_LOADED,
                         .accepts_failed = true,
                         .deployment = service,
                         .vm = d->common.settings->vm,
                         .subset =
                             (int)d->common.settings->upstream_subset_size};
    for (int i = 0; i < n_tried; i++) {
        q.avoid[q.n_avoid++] = tried[i];
    }
    return CaroRouter_Choose(d->common.upstreams, &q, CaroClock_Now(),
                             d->common.rng);
}

/* Sends the order to a service.  Runs only with the intent recorded. */
static void
dispatch(Order *o)
{
    CaroOrderCoordinator *d = o->desk;
    CaroOrderRecord *r = CaroOrders_Find(d->orders, o->key);
    CaroHandle h = CARO_NO_HANDLE;
    if (o->n_tried < DISPATCH_TRIES) {
        h = CaroOrderCoordinator_ChooseUpstream(d, o->service, o->tried,
                                                o->n_tried);
    }
    if (r == NULL || h == CARO_NO_HANDLE) {
        CaroCounters_Add(d->common.counters, CARO_COUNT_ORDERS_NOT_RUN, 1);
        if (r != NULL) {
            r->state = CARO_RECORD_INTENT;
        }
        settle(o, CARO_RECORD_FENCED, 0, "", 0);
        return;
    }
    r->state = CARO_RECORD_DISPATCHED;
    o->upstream = h;
    o->tried[o->n_tried++] = h;
    CaroUpstreams_BeginAttempt(d->common.upstreams, h);
    CaroHttpCall call = {
        .address = CaroUpstreams_Get(d->common.upstreams, h)->address,
        .path = o->path,
        .method = EVHTTP_REQ_POST,
        .body = o->body,
        .size = o->body_size,
        .header_name = "Idempotency-Key",
        .header_value = o->key,
        .timeout = d->common.settings->order_timeout_ms * CARO_MS};
    CaroHttp_Call(d->common.base, &call, on_service_answer, o);
}

static void
on_intent_answer(void *context, int code, const void *result)
{
    Order *o = context;
    const caro_order_outcome *out = result;
    if (code == 0 && out->state == CARO_ORDER_INTENT) {
        dispatch(o);
        return;
    }
    /* Without the backup's word the key is never dispatched here, and no
       other VM may dispatch it, so "not run" is true. */
    CaroCounters_Add(o->desk->common.counters, CARO_COUNT_ORDERS_NOT_RUN, 1);
    settle(o, CARO_RECORD_FENCED, 0, "", 0);
}

static void
send_intent(Order *o, const CaroTicket *ticket)
{
    CaroOrderCoordinator *d = o->desk;
    caro_order_intent args = {.key = o->key,
                              .digest = o->digest,
                              .backup_boot_id = ticket->backup_boot_id};
    CaroRpc_Call(d->common.rpc,
                 CaroMembership_Get(d->common.membership, o->backup)->peer,
                 CARO_RPC_TCP, CARO_INTENT, &args, INTENT_TIMEOUT,
                 on_intent_answer, o);
}

/* The path is "SERVICE/rest"; the service gets "/rest". */
static void
split_path(const char *path, char *service, size_t service_size, char *rest,
           size_t rest_size)
{
    size_t n = strcspn(path, "/?");
    (void)snprintf(service, service_size, "%.*s", (int)n, path);
    (void)snprintf(rest, rest_size, "%s%s", path[n] == '/' ? "" : "/",
                   path + n);
}

/* This node is the arbiter and the key is new. */
static void
start_order(CaroOrderCoordinator *d, const caro_order_forward *f,
            const CaroTicket *ticket, uint64_t digest, CaroOrderDone done,
            void *context, CaroTime now)
{
    Order *o = calloc(1, sizeof(*o));
    CaroOrderRecord *r = NULL;
    if (o != NULL) {
        o->body = malloc(f->body.body_len + 1);
    }
    if (o != NULL && o->body != NULL) {
        r = CaroOrders_Open(d->orders, f->key, digest, CARO_RECORD_INTENT,
                            now);
    }
    if (r == NULL) {
        /* Without a record nothing keeps another copy of this request from
           running later, so "not run" would be no promise. */
        free(o == NULL ? NULL : o->body);
        free(o);
        tell(done, context, f->key, CARO_ORDER_UNKNOWN);
        return;
    }
    o->desk = d;
    o->digest = digest;
    CARO_COPY(o->key, f->key);
    split_path(f->path, o->service, sizeof(o->service), o->path,
               sizeof(o->path));
    if (f->body.body_len > 0) {
        memcpy(o->body, f->body.body_val, f->body.body_len);
    }
    o->body_size = f->body.body_len;
    o->backup = CARO_NO_HANDLE;
    d->n_running++;
    wait_for(d, f->key, done, context);
    if (ticket->backup[0] == '\0') {
        dispatch(o); /* A node that runs alone has no backup to ask. */
        return;
    }
    o->backup = CaroMembership_Find(d->common.membership, ticket->backup);
    if (o->backup <= 0) {
        o->backup = CARO_NO_HANDLE;
        CaroCounters_Add(d->common.counters, CARO_COUNT_ORDERS_NOT_RUN, 1);
        settle(o, CARO_RECORD_FENCED, 0, "", 0);
        return;
    }
    send_intent(o, ticket);
}

/* Records outlive their ticket, so before its end none is forgotten. */
static bool
is_expired(const CaroTicket *ticket)
{
    return (uint64_t)CaroClock_WallMs() >= ticket->expires_ms;
}

static void ask_backup(Remote *m);

static void
end_remote(Remote *m, const caro_order_outcome *out)
{
    m->done(m->context, out);
    free(m);
}

static void
end_remote_unknown(Remote *m)
{
    CaroCounters_Add(m->desk->common.counters, CARO_COUNT_ORDERS_UNKNOWN, 1);
    tell(m->done, m->context, m->key, CARO_ORDER_UNKNOWN);
    free(m);
}

static void
on_ask_again(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    ask_backup(arg);
}

static void
on_decided(void *context, int code, const void *result)
{
    Remote *m = context;
    const caro_order_outcome *out = result;
    if (code == 0 && out->state != CARO_ORDER_INTENT) {
        end_remote(m, out);
        return;
    }
    /* The intent stands and the outcome may still come from an arbiter
       that only this VM cannot reach. */
    m->tries++;
    if (m->tries >= DECIDE_TRIES) {
        end_remote_unknown(m);
        return;
    }
    struct timeval wait = {.tv_usec = DECIDE_WAIT};
    (void)event_base_once(m->desk->common.base, -1, EV_TIMEOUT, on_ask_again,
                          m, &wait);
}

static void
ask_backup(Remote *m)
{
    CaroOrderCoordinator *d = m->desk;
    caro_order_decide args = {.key = m->key,
                              .digest = m->digest,
                              .backup_boot_id = m->ticket.backup_boot_id};
    if (strcmp(m->ticket.backup, d->common.settings->vm) == 0 &&
        !is_expired(&m->ticket)) {
        caro_order_outcome out;
        memset(&out, 0, sizeof(out));
        CaroOrderCoordinator_OnDecide(d, &args, &out, CaroClock_Now());
        on_decided(m, 0, &out);
        return;
    }
    CaroHandle vm =
        CaroMembership_Find(d->common.membership, m->ticket.backup);
    if (vm <= 0 || is_expired(&m->ticket)) {
        end_remote_unknown(m);
        return;
    }
    CaroRpc_Call(
        d->common.rpc, CaroMembership_Get(d->common.membership, vm)->peer,
        CARO_RPC_TCP, CARO_DECIDE, &args, INTENT_TIMEOUT, on_decided, m);
}

static void
on_forwarded(void *context, int code, const void *result)
{
    Remote *m = context;
    if (code == 0) {
        end_remote(m, result);
        return;
    }
    ask_backup(m);
}

/* The ticket names another VM: it is asked first, then its backup. */
static void
forward_order(CaroOrderCoordinator *d, const caro_order_forward *f,
              const CaroTicket *ticket, uint64_t digest, CaroOrderDone done,
              void *context)
{
    Remote *m = calloc(1, sizeof(*m));
    if (m == NULL) {
        tell(done, context, f->key, CARO_ORDER_UNKNOWN);
        return;
    }
    m->desk = d;
    m->ticket = *ticket;
    m->digest = digest;
    m->done = done;
    m->context = context;
    CARO_COPY(m->key, f->key);
    CaroCounters_Add(d->common.counters, CARO_COUNT_ORDERS_FORWARDED, 1);
    CaroHandle vm = CaroMembership_Find(d->common.membership, ticket->vm);
    bool is_same_boot =
        vm > 0 && CaroMembership_Get(d->common.membership, vm)->boot_id ==
                      ticket->vm_boot_id;
    bool is_reachable =
        is_same_boot && CaroMembership_Get(d->common.membership, vm)->state !=
                            CARO_MEMBER_DEAD;
    if (!is_reachable) {
        ask_backup(m);
        return;
    }
    CaroRpc_Call(
        d->common.rpc, CaroMembership_Get(d->common.membership, vm)->peer,
        CARO_RPC_TCP, CARO_FORWARD, f,
        d->common.settings->order_timeout_ms * CARO_MS + INTENT_TIMEOUT,
        on_forwarded, m);
}

static void
run_as_arbiter(CaroOrderCoordinator *d, const caro_order_forward *f,
               const CaroTicket *ticket, uint64_t digest, CaroOrderDone done,
               void *context, CaroTime now)
{
    caro_order_outcome out;
    CaroOrderRecord *r = CaroOrders_Find(d->orders, f->key);
    if (r != NULL && is_settled(r)) {
        fill_outcome(r, &out);
        done(context, &out);
        return;
    }
    if (r != NULL) {
        wait_for(d, f->key, done, context);
        return;
    }
    if (is_expired(ticket)) {
        /* The record of an earlier run may have been forgotten. */
        tell(done, context, f->key, CARO_ORDER_UNKNOWN);
        return;
    }
    start_order(d, f, ticket, digest, done, context, now);
}

void
CaroOrderCoordinator_Run(CaroOrderCoordinator *d, const caro_order_forward *f,
                         CaroOrderDone done, void *context, CaroTime now)
{
    CaroTicket ticket;
    uint64_t digest = CaroOrders_Digest(f->account, f->path, f->body.body_val,
                                        f->body.body_len);
    if (CaroTicket_Parse(f->key, d->common.settings->fleet_secret, &ticket,
                         NULL) < 0) {
        tell(done, context, f->key, CARO_ORDER_FENCED);
        return;
    }
    if (strcmp(ticket.vm, d->common.settings->vm) == 0 &&
        ticket.vm_boot_id == d->common.boot_id) {
        run_as_arbiter(d, f, &ticket, digest, done, context, now);
        return;
    }
    forward_order(d, f, &ticket, digest, done, context);
}

void
CaroOrderCoordinator_OnIntent(CaroOrderCoordinator *d,
                              const caro_order_intent *args,
                              caro_order_outcome *out, CaroTime now)
{
    if (args->backup_boot_id != d->common.boot_id) {
        /* A restarted backup vouches for nothing. */
        out->state = CARO_ORDER_FENCED;
        return;
    }
    CaroOrderRecord *r =
        CaroOrders_RecordIntent(d->orders, args->key, args->digest, now);
    if (r == NULL) {
        out->state = CARO_ORDER_FENCED; /* Full: the arbiter must not run. */
        return;
    }
    fill_outcome(r, out);
}

void
CaroOrderCoordinator_OnOutcome(CaroOrderCoordinator *d,
                               const caro_order_outcome *args, CaroTime now)
{
    CaroOrderRecord *r = CaroOrders_Find(d->orders, args->key);
    if (r == NULL) {
        return;
    }
    CaroRecordState state = CARO_RECORD_UNKNOWN;
    if (args->state == CARO_ORDER_DONE) {
        state = CARO_RECORD_DONE;
    }
    else if (args->state == CARO_ORDER_FENCED) {
        state = CARO_RECORD_FENCED;
    }
    (void)CaroOrders_SetOutcome(r, state, (int)args->status,
                                args->body.body_val, args->body.body_len, now);
}

void
CaroOrderCoordinator_OnDecide(CaroOrderCoordinator *d,
                              const caro_order_decide *args,
                              caro_order_outcome *out, CaroTime now)
{
    CaroOrderRecord *r = NULL;
    if (args->backup_boot_id == d->common.boot_id) {
        r = CaroOrders_FindOrFence(d->orders, args->key, args->digest, now);
    }
    if (r == NULL) {
        out->state = CARO_ORDER_UNKNOWN;
        return;
    }
    fill_outcome(r, out);
}

static void
on_forward_done(void *context, const caro_order_outcome *out)
{
    CaroRpc_Reply(context, out);
}

void
CaroOrderCoordinator_OnForward(CaroOrderCoordinator *d,
                               CaroRpcRequest *request,
                               const caro_order_forward *args, CaroTime now)
{
    CaroTicket ticket;
    bool is_ours =
        CaroTicket_Parse(args->key, d->common.settings->fleet_secret, &ticket,
                         NULL) == 0 &&
        strcmp(ticket.vm, d->common.settings->vm) == 0 &&
        ticket.vm_boot_id == d->common.boot_id;
    if (!is_ours) {
        CaroRpc_Ignore(request); /* Never forwarded twice. */
        return;
    }
    CaroOrderCoordinator_Run(d, args, on_forward_done, request, now);
}
