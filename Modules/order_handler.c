/*
 * HTTP requests of callers to order services: orders by POST with an
 * idempotency key, and lookups by GET, which are idempotent and retried at
 * other upstreams.
 */
#include "internal/caro_order_handler.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_client.h"
#include "internal/caro_http_reply.h"
#include "internal/caro_orders.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ORDERS_PREFIX "/v1/orders/"
#define LOOKUP_TIMEOUT (1500 * CARO_MS)

enum { LOOKUP_ATTEMPTS_MAX = 3 };

struct CaroOrderHandler {
    CaroCommon common;
    CaroOrderCoordinator *coordinator;
};

/* An order or a lookup whose response has not been sent. */
typedef struct {
    CaroOrderHandler *handler;
    CaroCall *req; /* NULL once the caller disconnected. */
    char key[CARO_KEY_SIZE];
    uint64_t digest;
    uint64_t expires_ms; /* Wall-clock time at which the ticket expires. */
    char service[CARO_NAME_SIZE];
    char path[256];
    CaroHandle upstream;
    CaroHandle tried[LOOKUP_ATTEMPTS_MAX];
    int n_tried;
} PendingRequest;

CaroOrderHandler *
CaroOrderHandler_Create(const CaroCommon *common,
                        CaroOrderCoordinator *coordinator)
{
    CaroOrderHandler *handler = calloc(1, sizeof(*handler));
    if (handler != NULL) {
        handler->common = *common;
        handler->coordinator = coordinator;
    }
    return handler;
}

void
CaroOrderHandler_Destroy(CaroOrderHandler *handler)
{
    free(handler);
}

static void
on_caller_disconnected(void *arg)
{
    ((PendingRequest *)arg)->req = NULL;
}

static PendingRequest *
create_pending(CaroOrderHandler *handler, CaroCall *req)
{
    PendingRequest *p = calloc(1, sizeof(*p));
    if (p != NULL) {
        p->handler = handler;
        p->req = req;
        CaroCall_SetCloseHandler(req, on_caller_disconnected, p);
    }
    return p;
}

/* Removes the close callback and returns the request, or NULL. */
static CaroCall *
detach_request(PendingRequest *p)
{
    CaroCall *req = p->req;
    if (req != NULL) {
        CaroCall_SetCloseHandler(req, NULL, NULL);
    }
    return req;
}

static void
send_body(CaroCall *req, int status, const char *body, size_t size)
{
    CaroHttp_SendBytes(req, status, "application/json", body, size);
}

static void
on_order_done(void *context, const caro_order_outcome *out)
{
    PendingRequest *p = context;
    CaroCall *req = detach_request(p);
    if (req == NULL) {
        free(p);
        return;
    }
    bool is_key_reused = out->digest != 0 && out->digest != p->digest;
    if (is_key_reused) {
        CaroHttp_SendProblem(req, 422, CARO_RUN_UNKNOWN,
                             "the key was used for another request",
                             "Idempotency-Key %.80s", p->key);
    }
    else if (out->state == CARO_ORDER_DONE) {
        send_body(req, (int)out->status, out->body.body_val,
                  out->body.body_len);
    }
    else if (out->state == CARO_ORDER_FENCED) {
        CaroHttp_SendProblem(req, 503, CARO_RUN_NO, "the order was not run",
                             "no order service or no backup answered; ask "
                             "/v1/addresses for a new ticket");
    }
    else if ((uint64_t)CaroClock_WallMs() >= p->expires_ms) {
        CaroHttp_SendProblem(
            req, 410, CARO_RUN_UNKNOWN, "the ticket of the key has ended",
            "header Idempotency-Key %.80s: records are kept "
            "for a ticket's time only; ask /v1/addresses for a "
            "new ticket",
            p->key);
    }
    else {
        CaroHttp_SendProblem(req, 504, CARO_RUN_UNKNOWN,
                             "the outcome of the order is not known",
                             "it ran at most once; the same key never runs "
                             "again");
    }
    free(p);
}

/* Splits "/v1/orders/SERVICE/rest" into "SERVICE" and "/rest". */
static void
split_uri(CaroCall *req, PendingRequest *p)
{
    const char *uri = CaroCall_Head(req)->target.at + strlen(ORDERS_PREFIX);
    size_t n = strcspn(uri, "/?");
    (void)snprintf(p->service, sizeof(p->service), "%.*s", (int)n, uri);
    (void)snprintf(p->path, sizeof(p->path), "%s%s", uri[n] == '/' ? "" : "/",
                   uri + n);
}

/*
 * The run status of a request that is refused before its record is looked up.
 * A duplicate of an order with a valid key may be running on another VM, so
 * only a request that every VM refuses is certain not to have run.
 */
static CaroRun
run_without_record(CaroOrderHandler *handler, CaroCall *req)
{
    CaroTicket ticket;
    const char *key = CaroHttp_Header(req, "Idempotency-Key");
    bool is_valid =
        key != NULL && CaroHttp_IsMethod(req, "POST") &&
        CaroTicket_Parse(key, handler->common.settings->fleet_secret, &ticket,
                         NULL) == 0;
    return is_valid ? CARO_RUN_UNKNOWN : CARO_RUN_NO;
}

static bool
check_account_and_service(CaroOrderHandler *handler, CaroCall *req,
                          const CaroConfig *config, const char *account,
                          const char *service)
{
    CaroRun run = run_without_record(handler, req);
    if (config == NULL) {
        CaroHttp_SendProblem(req, 503, run, "no configuration yet",
                             "VM %s has heard neither the store nor a peer",
                             handler->common.settings->vm);
        return false;
    }
    if (CaroConfig_Account(config, account) == NULL) {
        CaroHttp_SendProblem(
            req, 403, run, "unknown account",
            "query parameter account: found %.40s; allowed: a "
            "configured account",
            account);
        return false;
    }
    const CaroDeployment *d = CaroConfig_Deployment(config, service);
    if (d == NULL || d->kind != CARO_UPSTREAM_ORDERS) {
        CaroHttp_SendProblem(
            req, 404, run, "unknown order service",
            "path: found %.40s; allowed: a deployment of kind "
            "orders",
            service);
        return false;
    }
    return true;
}

static void
run_order(PendingRequest *p, const char *account, CaroTime now)
{
    CaroCall *req = p->req;
    CaroOrderHandler *handler = p->handler;
    const char *key = CaroHttp_Header(req, "Idempotency-Key");
    CaroError err;
    CaroTicket ticket;
    if (key == NULL || strlen(key) >= CARO_KEY_SIZE) {
        CaroHttp_SendProblem(
            detach_request(p), 400, CARO_RUN_NO, "a key is required",
            "header Idempotency-Key: found %s; allowed: a "
            "ticket of /v1/addresses and a suffix, at most "
            "%d bytes",
            key == NULL ? "nothing" : "a longer value", CARO_KEY_SIZE - 1);
        free(p);
        return;
    }
    if (CaroTicket_Parse(key, handler->common.settings->fleet_secret, &ticket,
                         &err) < 0) {
        CaroHttp_SendProblem(detach_request(p), 428, CARO_RUN_NO,
                             "the key has no valid ticket",
                             "header Idempotency-Key: %s", err.detail);
        free(p);
        return;
    }
    size_t size;
    const char *body = CaroHttp_Body(req, &size);
    caro_order_forward order;
    memset(&order, 0, sizeof(order));
    order.key = (char *)key;
    order.path = (char *)CaroCall_Head(req)->target.at + strlen(ORDERS_PREFIX);
    order.account = (char *)account;
    order.body.body_val = (char *)body;
    order.body.body_len = (u_int)size;
    CARO_COPY(p->key, key);
    p->expires_ms = ticket.expires_ms;
    p->digest = CaroOrders_Digest(account, order.path, body, size);
    CaroCounters_Add(handler->common.counters, CARO_COUNT_ORDERS, 1);
    CaroOrderCoordinator_Run(handler->coordinator, &order, on_order_done, p,
                             now);
}

static void send_lookup(PendingRequest *p);

static void
on_lookup_response(void *context, int code, int status, const char *body,
                   size_t size, bool is_sent, const CaroHttpHead *head)
{
    (void)is_sent;
    (void)head;
    PendingRequest *p = context;
    CaroOrderHandler *handler = p->handler;
    CaroUpstreams_EndAttempt(handler->common.upstreams, p->upstream);
    if (p->req == NULL) {
        free(p);
        return;
    }
    if (code == 0 && status < 500) {
        CaroUpstreams_RecordSuccess(handler->common.upstreams, p->upstream);
        send_body(detach_request(p), status, body, size);
        free(p);
        return;
    }
    CaroUpstreams_RecordFailure(handler->common.upstreams, p->upstream,
                                CaroClock_Now());
    CaroCounters_Add(handler->common.counters, CARO_COUNT_LOOKUP_RETRIES, 1);
    send_lookup(p);
}

static void
send_lookup(PendingRequest *p)
{
    CaroOrderHandler *handler = p->handler;
    CaroHandle h = CARO_NO_HANDLE;
    if (p->n_tried < LOOKUP_ATTEMPTS_MAX) {
        h = CaroOrderCoordinator_ChooseUpstream(
            handler->coordinator, p->service, p->tried, p->n_tried);
    }
    if (h == CARO_NO_HANDLE) {
        CaroHttp_SendProblem(detach_request(p), 503, CARO_RUN_UNKNOWN,
                             "no order service answered",
                             "service %s, %d tries", p->service, p->n_tried);
        free(p);
        return;
    }
    p->upstream = h;
    p->tried[p->n_tried++] = h;
    CaroUpstreams_BeginAttempt(handler->common.upstreams, h);
    CaroHttpCall call = {
        .address = CaroUpstreams_Get(handler->common.upstreams, h)->address,
        .path = p->path,
        .method = "GET",
        .timeout = LOOKUP_TIMEOUT};
    CaroHttp_Call(handler->common.base, &call, on_lookup_response, p);
}

void
CaroOrderHandler_Handle(CaroOrderHandler *handler, CaroCall *req,
                        const CaroConfig *config, CaroTime now)
{
    char account[CARO_NAME_SIZE] = "";
    PendingRequest parsed;
    memset(&parsed, 0, sizeof(parsed));
    split_uri(req, &parsed);
    (void)CaroHttp_Query(req, "account", account, sizeof(account));
    if (!check_account_and_service(handler, req, config, account,
                                   parsed.service)) {
        return;
    }
    PendingRequest *p = create_pending(handler, req);
    if (p == NULL) {
        CaroHttp_SendProblem(req, 503, run_without_record(handler, req),
                             "no memory", "try another VM");
        return;
    }
    CARO_COPY(p->service, parsed.service);
    CARO_COPY(p->path, parsed.path);
    if (CaroHttp_IsMethod(req, "GET")) {
        CaroCounters_Add(handler->common.counters, CARO_COUNT_LOOKUPS, 1);
        send_lookup(p);
    }
    else if (CaroHttp_IsMethod(req, "POST")) {
        run_order(p, account, now);
    }
    else {
        CaroHttp_SendProblem(detach_request(p), 405, CARO_RUN_NO,
                             "method not allowed",
                             "allowed: GET for lookups, POST for orders");
        free(p);
    }
}
