/*
 * Non-idempotent requests (orders) on this VM, as arbiter, backup or neither.
 *
 * The arbiter that the ticket names records the key, has the backup record
 * the intent, and only then dispatches the order, once.  Any other VM
 * forwards the order to the arbiter; when the arbiter does not answer, the
 * backup decides the outcome.  docs/design/orders.md has the rules and the
 * reason for each.
 */
#include "internal/caro_order_coordinator.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_client.h"
#include "internal/caro_log.h"
#include "internal/caro_orders.h"
#include "internal/caro_router.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define PEER_CALL_TIMEOUT (400 * CARO_MS)
#define DECIDE_RETRY_DELAY (250 * CARO_MS)

enum {
    /* Upstreams tried in turn while no byte of the order has been sent. */
    DISPATCH_ATTEMPTS_MAX = 3,
    DECIDE_ATTEMPTS_MAX = 12,
    RECORDS_MAX = 65536
};

/* A pending callback for the outcome of a key. */
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

/* A running order on its arbiter. */
typedef struct {
    CaroOrderCoordinator *coordinator;
    char key[CARO_KEY_SIZE];
    char service[CARO_NAME_SIZE];
    char path[256];
    char *body;
    size_t body_size;
    CaroHandle backup;
    uint64_t digest;
    CaroHandle upstream;
    CaroHandle tried[DISPATCH_ATTEMPTS_MAX];
    int n_tried;
} Order;

/* An order that a caller sent here and whose ticket names another VM as
   arbiter. */
typedef struct {
    CaroOrderCoordinator *coordinator;
    char key[CARO_KEY_SIZE];
    CaroTicket ticket;
    uint64_t digest;
    int attempts;
    CaroOrderDone done;
    void *context;
} RemoteOrder;

CaroOrderCoordinator *
CaroOrderCoordinator_Create(const CaroCommon *common)
{
    CaroOrderCoordinator *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->common = *common;
    c->orders = CaroOrders_Create(RECORDS_MAX);
    if (c->orders == NULL) {
        free(c);
        return NULL;
    }
    return c;
}

void
CaroOrderCoordinator_Destroy(CaroOrderCoordinator *c)
{
    if (c != NULL) {
        CaroOrders_Destroy(c->orders);
        free(c);
    }
}

void
CaroOrderCoordinator_Expire(CaroOrderCoordinator *c, CaroTime before)
{
    (void)CaroOrders_Expire(c->orders, before);
}

int
CaroOrderCoordinator_CountRunning(const CaroOrderCoordinator *c)
{
    return c->n_running;
}

int
CaroOrderCoordinator_CountRecords(const CaroOrderCoordinator *c)
{
    return (int)CaroOrders_Count(c->orders);
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

/* Reports an outcome for which there is no record. */
static void
report_state(CaroOrderDone done, void *context, const char *key,
             caro_order_state state)
{
    caro_order_outcome out;
    memset(&out, 0, sizeof(out));
    out.key = (char *)key;
    out.state = state;
    done(context, &out);
}

static bool
is_final(const CaroOrderRecord *r)
{
    return r->state == CARO_RECORD_DONE || r->state == CARO_RECORD_FENCED ||
           r->state == CARO_RECORD_UNKNOWN;
}

static void
notify_waiters(CaroOrderCoordinator *c, const CaroOrderRecord *r)
{
    caro_order_outcome out;
    Waiter *w;
    Waiter *next;
    DL_FOREACH_SAFE(c->waiters, w, next)
    {
        if (strcmp(w->key, r->key) != 0) {
            continue;
        }
        DL_DELETE(c->waiters, w);
        fill_outcome(r, &out);
        w->done(w->context, &out);
        free(w);
    }
}

static void
add_waiter(CaroOrderCoordinator *c, const char *key, CaroOrderDone done,
           void *context)
{
    Waiter *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        report_state(done, context, key, CARO_ORDER_UNKNOWN);
        return;
    }
    CARO_COPY(w->key, key);
    w->done = done;
    w->context = context;
    DL_APPEND(c->waiters, w);
}

static void
release_order(Order *o)
{
    o->coordinator->n_running--;
    free(o->body);
    free(o);
}

/* Stores the outcome, sends it to the backup and calls the waiters. */
static void
finish_order(Order *o, CaroRecordState state, int status, const char *body,
             size_t size)
{
    CaroOrderCoordinator *c = o->coordinator;
    CaroTime now = CaroClock_Now();
    CaroOrderRecord *r = CaroOrders_Find(c->orders, o->key);
    if (r != NULL) {
        (void)CaroOrders_SetOutcome(r, state, status, body, size, now);
        if (o->backup != CARO_NO_HANDLE) {
            caro_order_outcome out;
            fill_outcome(r, &out);
            CaroRpc_Call(
                c->common.rpc,
                CaroMembership_Get(c->common.membership, o->backup)->peer,
                CARO_RPC_TCP, CARO_OUTCOME, &out, PEER_CALL_TIMEOUT, NULL,
                NULL);
        }
        notify_waiters(c, r);
    }
    release_order(o);
}

static void dispatch(Order *o);

static void
on_service_response(void *context, int code, int status, const char *body,
                    size_t size, bool is_sent, const CaroHttpHead *head)
{
    (void)head;
    Order *o = context;
    CaroOrderCoordinator *c = o->coordinator;
    CaroUpstreams_EndAttempt(c->common.upstreams, o->upstream);
    if (code == 0) {
        CaroUpstreams_RecordSuccess(c->common.upstreams, o->upstream);
        CaroCounters_Add(c->common.counters, CARO_COUNT_ORDERS_DONE, 1);
        finish_order(o, CARO_RECORD_DONE, status, body, size);
        return;
    }
    CaroUpstreams_RecordFailure(c->common.upstreams, o->upstream,
                                CaroClock_Now());
    /* A request that was sent may have run, so it is not sent again. */
    if (is_sent) {
        CaroCounters_Add(c->common.counters, CARO_COUNT_ORDERS_UNKNOWN, 1);
        CaroLog_Warn(
            "orders",
            "No response from the order service; the outcome is "
            "unknown. key=%s service=%s",
            o->key, CaroUpstreams_Get(c->common.upstreams, o->upstream)->name);
        finish_order(o, CARO_RECORD_UNKNOWN, 0, "", 0);
        return;
    }
    dispatch(o);
}

CaroHandle
CaroOrderCoordinator_ChooseUpstream(CaroOrderCoordinator *c,
                                    const char *service,
                                    const CaroHandle *tried, int n_tried)
{
    CaroRouterQuery q = {.policy = CARO_ROUTER_LEAST_LOADED,
                         .accepts_failed = true,
                         .deployment = service,
                         .vm = c->common.settings->vm,
                         .subset =
                             (int)c->common.settings->upstream_subset_size};
    for (int i = 0; i < n_tried; i++) {
        q.avoid[q.n_avoid++] = tried[i];
    }
    return CaroRouter_Choose(c->common.upstreams, &q, CaroClock_Now(),
                             c->common.rng);
}

/* Sends the order to an upstream.  The backup must have recorded the intent
   before, if there is a backup. */
static void
dispatch(Order *o)
{
    CaroOrderCoordinator *c = o->coordinator;
    CaroOrderRecord *r = CaroOrders_Find(c->orders, o->key);
    CaroHandle h = CARO_NO_HANDLE;
    if (o->n_tried < DISPATCH_ATTEMPTS_MAX) {
        h = CaroOrderCoordinator_ChooseUpstream(c, o->service, o->tried,
                                                o->n_tried);
    }
    if (r == NULL || h == CARO_NO_HANDLE) {
        CaroCounters_Add(c->common.counters, CARO_COUNT_ORDERS_NOT_RUN, 1);
        if (r != NULL) {
            r->state = CARO_RECORD_INTENT;
        }
        finish_order(o, CARO_RECORD_FENCED, 0, "", 0);
        return;
    }
    r->state = CARO_RECORD_DISPATCHED;
    o->upstream = h;
    o->tried[o->n_tried++] = h;
    CaroUpstreams_BeginAttempt(c->common.upstreams, h);
    CaroHttpCall call = {
        .address = CaroUpstreams_Get(c->common.upstreams, h)->address,
        .path = o->path,
        .method = "POST",
        .body = o->body,
        .size = o->body_size,
        .header_name = "Idempotency-Key",
        .header_value = o->key,
        .timeout = c->common.settings->order_timeout_ms * CARO_MS};
    CaroHttp_Call(c->common.base, &call, on_service_response, o);
}

static void
on_intent_reply(void *context, int code, const void *result)
{
    Order *o = context;
    const caro_order_outcome *out = result;
    if (code == 0 && out->state == CARO_ORDER_INTENT) {
        dispatch(o);
        return;
    }
    /* The backup did not confirm the intent, so this VM never dispatches the
       key, and no other VM may: it is certain that the order is not run. */
    CaroCounters_Add(o->coordinator->common.counters,
                     CARO_COUNT_ORDERS_NOT_RUN, 1);
    finish_order(o, CARO_RECORD_FENCED, 0, "", 0);
}

static void
send_intent(Order *o, const CaroTicket *ticket)
{
    CaroOrderCoordinator *c = o->coordinator;
    caro_order_intent args = {.key = o->key,
                              .digest = o->digest,
                              .backup_boot_id = ticket->backup_boot_id};
    CaroRpc_Call(c->common.rpc,
                 CaroMembership_Get(c->common.membership, o->backup)->peer,
                 CARO_RPC_TCP, CARO_INTENT, &args, PEER_CALL_TIMEOUT,
                 on_intent_reply, o);
}

/* Splits the path "SERVICE/rest" into "SERVICE" and "/rest", which is the
   path sent to the service. */
static void
split_path(const char *path, char *service, size_t service_size, char *rest,
           size_t rest_size)
{
    size_t n = strcspn(path, "/?");
    (void)snprintf(service, service_size, "%.*s", (int)n, path);
    (void)snprintf(rest, rest_size, "%s%s", path[n] == '/' ? "" : "/",
                   path + n);
}

/* Starts a new order as its arbiter. */
static void
start_order(CaroOrderCoordinator *c, const caro_order_forward *forward,
            const CaroTicket *ticket, uint64_t digest, CaroOrderDone done,
            void *context, CaroTime now)
{
    Order *o = calloc(1, sizeof(*o));
    CaroOrderRecord *r = NULL;
    if (o != NULL) {
        o->body = malloc(forward->body.body_len + 1);
    }
    if (o != NULL && o->body != NULL) {
        r = CaroOrders_Open(c->orders, forward->key, digest,
                            CARO_RECORD_INTENT, now);
    }
    if (r == NULL) {
        /* Without a record a duplicate of this request could still run later,
           so FENCED (never run) must not be reported. */
        free(o == NULL ? NULL : o->body);
        free(o);
        report_state(done, context, forward->key, CARO_ORDER_UNKNOWN);
        return;
    }
    o->coordinator = c;
    o->digest = digest;
    CARO_COPY(o->key, forward->key);
    split_path(forward->path, o->service, sizeof(o->service), o->path,
               sizeof(o->path));
    if (forward->body.body_len > 0) {
        memcpy(o->body, forward->body.body_val, forward->body.body_len);
    }
    o->body_size = forward->body.body_len;
    o->backup = CARO_NO_HANDLE;
    c->n_running++;
    add_waiter(c, forward->key, done, context);
    if (ticket->backup[0] == '\0') {
        dispatch(o); /* A VM without peers has no backup. */
        return;
    }
    o->backup = CaroMembership_Find(c->common.membership, ticket->backup);
    if (o->backup <= 0) {
        o->backup = CARO_NO_HANDLE;
        CaroCounters_Add(c->common.counters, CARO_COUNT_ORDERS_NOT_RUN, 1);
        finish_order(o, CARO_RECORD_FENCED, 0, "", 0);
        return;
    }
    send_intent(o, ticket);
}

/* Records are kept longer than their ticket is valid, so while the ticket
   has not expired, a missing record means that the key was not used. */
static bool
is_expired(const CaroTicket *ticket)
{
    return (uint64_t)CaroClock_WallMs() >= ticket->expires_ms;
}

static void request_decision(RemoteOrder *remote);

static void
finish_remote(RemoteOrder *remote, const caro_order_outcome *out)
{
    remote->done(remote->context, out);
    free(remote);
}

static void
finish_remote_unknown(RemoteOrder *remote)
{
    CaroCounters_Add(remote->coordinator->common.counters,
                     CARO_COUNT_ORDERS_UNKNOWN, 1);
    report_state(remote->done, remote->context, remote->key,
                 CARO_ORDER_UNKNOWN);
    free(remote);
}

static void
on_decide_retry(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    request_decision(arg);
}

static void
on_decision(void *context, int code, const void *result)
{
    RemoteOrder *remote = context;
    const caro_order_outcome *out = result;
    if (code == 0 && out->state != CARO_ORDER_INTENT) {
        finish_remote(remote, out);
        return;
    }
    /* The intent is recorded without an outcome yet.  The arbiter may be
       unreachable from this VM only and may still report one. */
    remote->attempts++;
    if (remote->attempts >= DECIDE_ATTEMPTS_MAX) {
        finish_remote_unknown(remote);
        return;
    }
    struct timeval wait = {.tv_usec = DECIDE_RETRY_DELAY};
    (void)event_base_once(remote->coordinator->common.base, -1, EV_TIMEOUT,
                          on_decide_retry, remote, &wait);
}

/* Asks the backup, which may be this VM, to decide the outcome. */
static void
request_decision(RemoteOrder *remote)
{
    CaroOrderCoordinator *c = remote->coordinator;
    caro_order_decide args = {.key = remote->key,
                              .digest = remote->digest,
                              .backup_boot_id = remote->ticket.backup_boot_id};
    if (strcmp(remote->ticket.backup, c->common.settings->vm) == 0 &&
        !is_expired(&remote->ticket)) {
        caro_order_outcome out;
        memset(&out, 0, sizeof(out));
        CaroOrderCoordinator_OnDecide(c, &args, &out, CaroClock_Now());
        on_decision(remote, 0, &out);
        return;
    }
    CaroHandle vm =
        CaroMembership_Find(c->common.membership, remote->ticket.backup);
    if (vm <= 0 || is_expired(&remote->ticket)) {
        finish_remote_unknown(remote);
        return;
    }
    CaroRpc_Call(c->common.rpc,
                 CaroMembership_Get(c->common.membership, vm)->peer,
                 CARO_RPC_TCP, CARO_DECIDE, &args, PEER_CALL_TIMEOUT,
                 on_decision, remote);
}

static void
on_forwarded(void *context, int code, const void *result)
{
    RemoteOrder *remote = context;
    if (code == 0) {
        finish_remote(remote, result);
        return;
    }
    request_decision(remote);
}

/* Forwards the order to the arbiter that the ticket names; when that fails,
   asks the backup. */
static void
forward_order(CaroOrderCoordinator *c, const caro_order_forward *forward,
              const CaroTicket *ticket, uint64_t digest, CaroOrderDone done,
              void *context)
{
    RemoteOrder *remote = calloc(1, sizeof(*remote));
    if (remote == NULL) {
        report_state(done, context, forward->key, CARO_ORDER_UNKNOWN);
        return;
    }
    remote->coordinator = c;
    remote->ticket = *ticket;
    remote->digest = digest;
    remote->done = done;
    remote->context = context;
    CARO_COPY(remote->key, forward->key);
    CaroCounters_Add(c->common.counters, CARO_COUNT_ORDERS_FORWARDED, 1);
    CaroHandle vm = CaroMembership_Find(c->common.membership, ticket->vm);
    bool is_same_boot =
        vm > 0 && CaroMembership_Get(c->common.membership, vm)->boot_id ==
                      ticket->vm_boot_id;
    bool is_reachable =
        is_same_boot && CaroMembership_Get(c->common.membership, vm)->state !=
                            CARO_MEMBER_DEAD;
    if (!is_reachable) {
        request_decision(remote);
        return;
    }
    CaroRpc_Call(
        c->common.rpc, CaroMembership_Get(c->common.membership, vm)->peer,
        CARO_RPC_TCP, CARO_FORWARD, forward,
        c->common.settings->order_timeout_ms * CARO_MS + PEER_CALL_TIMEOUT,
        on_forwarded, remote);
}

static void
run_as_arbiter(CaroOrderCoordinator *c, const caro_order_forward *forward,
               const CaroTicket *ticket, uint64_t digest, CaroOrderDone done,
               void *context, CaroTime now)
{
    caro_order_outcome out;
    CaroOrderRecord *r = CaroOrders_Find(c->orders, forward->key);
    if (r != NULL && is_final(r)) {
        fill_outcome(r, &out);
        done(context, &out);
        return;
    }
    if (r != NULL) {
        add_waiter(c, forward->key, done, context);
        return;
    }
    if (is_expired(ticket)) {
        /* The record of an earlier run may have expired. */
        report_state(done, context, forward->key, CARO_ORDER_UNKNOWN);
        return;
    }
    start_order(c, forward, ticket, digest, done, context, now);
}

void
CaroOrderCoordinator_Run(CaroOrderCoordinator *c,
                         const caro_order_forward *forward, CaroOrderDone done,
                         void *context, CaroTime now)
{
    CaroTicket ticket;
    uint64_t digest =
        CaroOrders_Digest(forward->account, forward->path,
                          forward->body.body_val, forward->body.body_len);
    if (CaroTicket_Parse(forward->key, c->common.settings->fleet_secret,
                         &ticket, NULL) < 0) {
        report_state(done, context, forward->key, CARO_ORDER_FENCED);
        return;
    }
    if (strcmp(ticket.vm, c->common.settings->vm) == 0 &&
        ticket.vm_boot_id == c->common.boot_id) {
        run_as_arbiter(c, forward, &ticket, digest, done, context, now);
        return;
    }
    forward_order(c, forward, &ticket, digest, done, context);
}

void
CaroOrderCoordinator_OnIntent(CaroOrderCoordinator *c,
                              const caro_order_intent *args,
                              caro_order_outcome *out, CaroTime now)
{
    if (args->backup_boot_id != c->common.boot_id) {
        /* A restarted backup has lost its records, so it cannot confirm. */
        out->state = CARO_ORDER_FENCED;
        return;
    }
    CaroOrderRecord *r =
        CaroOrders_RecordIntent(c->orders, args->key, args->digest, now);
    if (r == NULL) {
        /* The table is full; the arbiter must not dispatch the order. */
        out->state = CARO_ORDER_FENCED;
        return;
    }
    fill_outcome(r, out);
}

void
CaroOrderCoordinator_OnOutcome(CaroOrderCoordinator *c,
                               const caro_order_outcome *args, CaroTime now)
{
    CaroOrderRecord *r = CaroOrders_Find(c->orders, args->key);
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
CaroOrderCoordinator_OnDecide(CaroOrderCoordinator *c,
                              const caro_order_decide *args,
                              caro_order_outcome *out, CaroTime now)
{
    CaroOrderRecord *r = NULL;
    if (args->backup_boot_id == c->common.boot_id) {
        r = CaroOrders_FindOrFence(c->orders, args->key, args->digest, now);
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
CaroOrderCoordinator_OnForward(CaroOrderCoordinator *c,
                               CaroRpcRequest *request,
                               const caro_order_forward *args, CaroTime now)
{
    CaroTicket ticket;
    bool is_arbiter =
        CaroTicket_Parse(args->key, c->common.settings->fleet_secret, &ticket,
                         NULL) == 0 &&
        strcmp(ticket.vm, c->common.settings->vm) == 0 &&
        ticket.vm_boot_id == c->common.boot_id;
    if (!is_arbiter) {
        CaroRpc_Ignore(request); /* An order is forwarded only once. */
        return;
    }
    CaroOrderCoordinator_Run(c, args, on_forward_done, request, now);
}
