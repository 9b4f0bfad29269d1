/*
 * The callers' side of order services: orders by POST with a key, and
 * lookups by GET, which are idempotent and retried elsewhere.
 */
#include "internal/caro_order_handler.h"

#include "internal/caro_clock.h"
#include "internal/caro_http.h"
#include "internal/caro_orders.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ORDERS_PREFIX "/v1/orders/"
#define LOOKUP_TIMEOUT (1500 * CARO_MS)

enum { LOOKUP_TRIES = 3 };

struct CaroOrderHandler {
    CaroCommon common;
    CaroOrderCoordinator *desk;
};

/* A caller of an order or a lookup. */
typedef struct {
    CaroOrderHandler *front;
    struct evhttp_request *req; /* NULL when the caller left. */
    char key[CARO_KEY_SIZE];
    uint64_t digest;
    uint64_t expires_ms; /* End of the key's ticket. */
    char service[CARO_NAME_SIZE];
    char path[256];
    CaroHandle upstream;
    CaroHandle tried[LOOKUP_TRIES];
    int n_tried;
} Caller;

CaroOrderHandler *
CaroOrderHandler_Create(const CaroCommon *common, CaroOrderCoordinator *desk)
{
    CaroOrderHandler *f = calloc(1, sizeof(*f));
    if (f != NULL) {
        f->common = *common;
        f->desk = desk;
    }
    return f;
}

void
CaroOrderHandler_Destroy(CaroOrderHandler *f)
{
    free(f);
}

static void
on_caller_left(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    ((Caller *)arg)->req = NULL;
}

static Caller *
new_caller(CaroOrderHandler *f, struct evhttp_request *req)
{
    Caller *c = calloc(1, sizeof(*c));
    if (c != NULL) {
        c->front = f;
        c->req = req;
        evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                      on_caller_left, c);
    }
    return c;
}

static struct evhttp_request *
take_request(Caller *c)
{
    struct evhttp_request *req = c->req;
    if (req != NULL) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(req), NULL,
                                      NULL);
    }
    return req;
}

static void
send_body(struct evhttp_request *req, int status, const char *body,
          size_t size)
{
    struct evbuffer *out = evbuffer_new();
    if (out != NULL) {
        evbuffer_add(out, body, size);
        evhttp_add_header(evhttp_request_get_output_headers(req),
                          "Content-Type", "application/json");
        evhttp_send_reply(req, status, NULL, out);
        evbuffer_free(out);
    }
}

static void
on_order_done(void *context, const caro_order_outcome *out)
{
    Caller *c = context;
    struct evhttp_request *req = take_request(c);
    if (req == NULL) {
        free(c);
        return;
    }
    bool is_other = out->digest != 0 && out->digest != c->digest;
    if (is_other) {
        CaroHttp_Problem(req, 422, CARO_RUN_UNKNOWN,
                         "the key was used for another request",
                         "Idempotency-Key %.80s", c->key);
    }
    else if (out->state == CARO_ORDER_DONE) {
        send_body(req, (int)out->status, out->body.body_val,
                  out->body.body_len);
    }
    else if (out->state == CARO_ORDER_FENCED) {
        CaroHttp_Problem(req, 503, CARO_RUN_NO, "the order was not run",
                         "no order service or no backup answered; ask "
                         "/v1/addresses for a new ticket");
    }
    else if ((uint64_t)CaroClock_WallMs() >= c->expires_ms) {
        CaroHttp_Problem(req, 410, CARO_RUN_UNKNOWN,
                         "the ticket of the key has ended",
                         "header Idempotency-Key %.80s: records are kept "
                         "for a ticket's time only; ask /v1/addresses for a "
                         "new ticket",
                         c->key);
    }
    else {
        CaroHttp_Problem(req, 504, CARO_RUN_UNKNOWN,
                         "the outcome of the order is not known",
                         "it ran at most once; the same key never runs "
                         "again");
    }
    free(c);
}

/* Splits "/v1/orders/SERVICE/rest" into service and "/rest". */
static void
split_uri(struct evhttp_request *req, Caller *c)
{
    const char *uri = evhttp_request_get_uri(req) + strlen(ORDERS_PREFIX);
    size_t n = strcspn(uri, "/?");
    (void)snprintf(c->service, sizeof(c->service), "%.*s", (int)n, uri);
    (void)snprintf(c->path, sizeof(c->path), "%s%s", uri[n] == '/' ? "" : "/",
                   uri + n);
}

/*
 * What a refusal before any record may promise.  Another copy of an order
 * with a valid key may be in work at another node, so only an order that
 * no node would take is surely not run.
 */
static CaroRun
run_before_record(CaroOrderHandler *f, struct evhttp_request *req)
{
    CaroTicket ticket;
    const char *key = CaroHttp_Header(req, "Idempotency-Key");
    bool is_valid = key != NULL &&
                    evhttp_request_get_command(req) == EVHTTP_REQ_POST &&
                    CaroTicket_Parse(key, f->common.settings->fleet_secret,
                                     &ticket, NULL) == 0;
    return is_valid ? CARO_RUN_UNKNOWN : CARO_RUN_NO;
}

static bool
check_order(CaroOrderHandler *f, struct evhttp_request *req,
            const CaroConfig *config, const char *account, const char *service)
{
    CaroRun run = run_before_record(f, req);
    if (config == NULL) {
        CaroHttp_Problem(req, 503, run, "no configuration yet",
                         "VM %s has heard neither the store nor a peer",
                         f->common.settings->vm);
        return false;
    }
    if (CaroConfig_Account(config, account) == NULL) {
        CaroHttp_Problem(req, 403, run, "unknown account",
                         "query parameter account: found %.40s; allowed: a "
                         "configured account",
                         account);
        return false;
    }
    const CaroDeployment *d = CaroConfig_Deployment(config, service);
    if (d == NULL || d->kind != CARO_UPSTREAM_ORDERS) {
        CaroHttp_Problem(req, 404, run, "unknown order service",
                         "path: found %.40s; allowed: a deployment of kind "
                         "orders",
                         service);
        return false;
    }
    return true;
}

static void
run_order(Caller *c, const char *account, CaroTime now)
{
    struct evhttp_request *req = c->req;
    CaroOrderHandler *f = c->front;
    const char *key = CaroHttp_Header(req, "Idempotency-Key");
    CaroError err;
    CaroTicket ticket;
    if (key == NULL || strlen(key) >= CARO_KEY_SIZE) {
        CaroHttp_Problem(
            take_request(c), 400, CARO_RUN_NO, "a key is required",
            "header Idempotency-Key: found %s; allowed: a "
            "ticket of /v1/addresses and a suffix, at most "
            "%d bytes",
            key == NULL ? "nothing" : "a longer value", CARO_KEY_SIZE - 1);
        free(c);
        return;
    }
    if (CaroTicket_Parse(key, f->common.settings->fleet_secret, &ticket,
                         &err) < 0) {
        CaroHttp_Problem(take_request(c), 428, CARO_RUN_NO,
                         "the key has no valid ticket",
                         "header Idempotency-Key: %s", err.detail);
        free(c);
        return;
    }
    size_t size;
    const char *body = CaroHttp_Body(req, &size);
    caro_order_forward order;
    memset(&order, 0, sizeof(order));
    order.key = (char *)key;
    order.path = (char *)evhttp_request_get_uri(req) + strlen(ORDERS_PREFIX);
    order.account = (char *)account;
    order.body.body_val = (char *)body;
    order.body.body_len = (u_int)size;
    CARO_COPY(c->key, key);
    c->expires_ms = ticket.expires_ms;
    c->digest = CaroOrders_Digest(account, order.path, body, size);
    CaroCounters_Add(f->common.counters, CARO_COUNT_ORDERS, 1);
    CaroOrderCoordinator_Run(f->desk, &order, on_order_done, c, now);
}

static void try_lookup(Caller *c);

static void
on_lookup_answer(void *context, int code, int status, const char *body,
                 size_t size, bool is_sent, const struct evkeyvalq *headers)
{
    (void)is_sent;
    (void)headers;
    Caller *c = context;
    CaroOrderHandler *f = c->front;
    CaroUpstreams_EndAttempt(f->common.upstreams, c->upstream);
    if (c->req == NULL) {
        free(c);
        return;
    }
    if (code == 0 && status < 500) {
        CaroUpstreams_RecordSuccess(f->common.upstreams, c->upstream);
        send_body(take_request(c), status, body, size);
        free(c);
        return;
    }
    CaroUpstreams_RecordFailure(f->common.upstreams, c->upstream,
                                CaroClock_Now());
    CaroCounters_Add(f->common.counters, CARO_COUNT_LOOKUP_RETRIES, 1);
    try_lookup(c);
}

static void
try_lookup(Caller *c)
{
    CaroOrderHandler *f = c->front;
    CaroHandle h = CARO_NO_HANDLE;
    if (c->n_tried < LOOKUP_TRIES) {
        h = CaroOrderCoordinator_ChooseUpstream(f->desk, c->service, c->tried,
                                                c->n_tried);
    }
    if (h == CARO_NO_HANDLE) {
        CaroHttp_Problem(take_request(c), 503, CARO_RUN_UNKNOWN,
                         "no order service answered", "service %s, %d tries",
                         c->service, c->n_tried);
        free(c);
        return;
    }
    c->upstream = h;
    c->tried[c->n_tried++] = h;
    CaroUpstreams_BeginAttempt(f->common.upstreams, h);
    CaroHttpCall call = {
        .address = CaroUpstreams_Get(f->common.upstreams, h)->address,
        .path = c->path,
        .method = EVHTTP_REQ_GET,
        .timeout = LOOKUP_TIMEOUT};
    CaroHttp_Call(f->common.base, &call, on_lookup_answer, c);
}

void
CaroOrderHandler_Handle(CaroOrderHandler *f, struct evhttp_request *req,
                        const CaroConfig *config, CaroTime now)
{
    char account[CARO_NAME_SIZE] = "";
    Caller split;
    memset(&split, 0, sizeof(split));
    split_uri(req, &split);
    (void)CaroHttp_Query(req, "account", account, sizeof(account));
    if (!check_order(f, req, config, account, split.service)) {
        return;
    }
    Caller *c = new_caller(f, req);
    if (c == NULL) {
        CaroHttp_Problem(req, 503, run_before_record(f, req), "no memory",
                         "try another VM");
        return;
    }
    CARO_COPY(c->service, split.service);
    CARO_COPY(c->path, split.path);
    switch (evhttp_request_get_command(req)) {
    case EVHTTP_REQ_GET:
        CaroCounters_Add(f->common.counters, CARO_COUNT_LOOKUPS, 1);
        try_lookup(c);
        break;
    case EVHTTP_REQ_POST:
        run_order(c, account, now);
        break;
    default:
        CaroHttp_Problem(take_request(c), 405, CARO_RUN_NO,
                         "method not allowed",
                         "allowed: GET for lookups, POST for orders");
        free(c);
        break;
    }
}
