/*
 * A fake order service.
 *
 * It executes every order it receives, without deduplication, and counts
 * the executions per idempotency key.  GET /audit reports these counts, so
 * that a test detects an order that was executed twice.
 *
 * Faults: work_ms (duration of an order), lose (fraction of orders whose
 * response is lost after execution), die=1 (the process exits).
 */
#include "fake.h"

#include "internal/caro_clock.h"

#include <event2/bufferevent.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>
#include <string.h>
#include <uthash.h>

/* Number of executions of the orders with one idempotency key. */
typedef struct KeyRuns {
    char key[CARO_KEY_SIZE];
    int runs;
    UT_hash_handle hh;
} KeyRuns;

typedef struct {
    const FakeOptions *options;
    struct event_base *base;
    KeyRuns *runs_by_key;
    int n_runs;
    double work_ms;
    double response_loss_rate; /* Of responses after execution. */
} Orders;

/* An order that was counted as executed and awaits its response. */
typedef struct {
    Orders *orders;
    struct evhttp_request *req; /* NULL after the caller disconnected. */
    struct event *timer;
    int number; /* Sequence number of the execution. */
} PendingOrder;

static void
on_caller_closed(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    ((PendingOrder *)arg)->req = NULL;
}

static void
on_finished(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    PendingOrder *order = arg;
    if (order->req != NULL) {
        struct evhttp_connection *c =
            evhttp_request_get_connection(order->req);
        evhttp_connection_set_closecb(c, NULL, NULL);
        double drawn = (double)(CaroClock_Random() >> 11) / 9007199254740992.0;
        if (drawn < order->orders->response_loss_rate) {
            evhttp_connection_free(c);
        }
        else {
            json_t *value =
                json_pack("{s:s, s:i}", "booked", order->orders->options->name,
                          "number", order->number);
            Fake_SendJson(order->req, 201, value);
            json_decref(value);
        }
    }
    event_free(order->timer);
    free(order);
}

static void
record_run(Orders *o, const char *key)
{
    KeyRuns *k;
    HASH_FIND_STR(o->runs_by_key, key, k);
    if (k == NULL) {
        k = calloc(1, sizeof(*k));
        if (k == NULL) {
            abort();
        }
        CARO_COPY(k->key, key);
        HASH_ADD_STR(o->runs_by_key, key, k);
    }
    k->runs++;
    o->n_runs++;
}

static void
on_order(struct evhttp_request *req, void *arg)
{
    Orders *o = arg;
    if (evhttp_request_get_command(req) == EVHTTP_REQ_GET) {
        json_t *value =
            json_pack("{s:s, s:s, s:i}", "service", o->options->name, "path",
                      evhttp_request_get_uri(req), "stock", 40);
        Fake_SendJson(req, HTTP_OK, value);
        json_decref(value);
        return;
    }
    const char *key = Fake_Header(req, "Idempotency-Key");
    record_run(o, key == NULL ? "" : key);
    PendingOrder *order = calloc(1, sizeof(*order));
    if (order == NULL) {
        abort();
    }
    order->orders = o;
    order->req = req;
    order->number = o->n_runs;
    order->timer = evtimer_new(o->base, on_finished, order);
    struct evhttp_connection *c = evhttp_request_get_connection(req);
    evhttp_connection_set_closecb(c, on_caller_closed, order);
    bufferevent_enable(evhttp_connection_get_bufferevent(c), EV_READ);
    struct timeval t = {.tv_sec = (time_t)(o->work_ms / 1000.0)};
    t.tv_usec =
        (suseconds_t)((o->work_ms - 1000.0 * (double)t.tv_sec) * 1000.0);
    event_add(order->timer, &t);
}

/* Reports the number of executions, of keys and of keys executed more than
   once, and the executions of each key. */
static void
on_audit(struct evhttp_request *req, void *arg)
{
    Orders *o = arg;
    int doubled = 0;
    KeyRuns *k;
    KeyRuns *next;
    json_t *keys = json_object();
    HASH_ITER(hh, o->runs_by_key, k, next)
    {
        doubled += k->runs > 1;
        json_object_set_new(keys, k->key, json_integer(k->runs));
    }
    json_t *value = json_pack("{s:i, s:i, s:i, s:o}", "runs", o->n_runs,
                              "keys", (int)HASH_COUNT(o->runs_by_key),
                              "doubled", doubled, "by_key", keys);
    Fake_SendJson(req, HTTP_OK, value);
    json_decref(value);
}

static void
on_fault(struct evhttp_request *req, void *arg)
{
    Orders *o = arg;
    o->work_ms = Fake_GetNumber(req, "work_ms", o->work_ms);
    o->response_loss_rate = Fake_GetNumber(req, "lose", o->response_loss_rate);
    if (Fake_GetNumber(req, "die", 0.0) > 0.0) {
        _exit(1);
    }
    Fake_SendText(req, HTTP_OK, "ok\n");
}

int
FakeOrders_Run(const FakeOptions *options)
{
    Orders orders = {.options = options, .work_ms = options->work_ms};
    orders.base = event_base_new();
    struct evhttp *http = Fake_Listen(orders.base, options->listen);
    if (http == NULL) {
        return 1;
    }
    evhttp_set_cb(http, "/audit", on_audit, &orders);
    evhttp_set_cb(http, "/fault", on_fault, &orders);
    evhttp_set_gencb(http, on_order, &orders);
    int rc = Fake_RunLoop(orders.base);
    evhttp_free(http);
    KeyRuns *k;
    KeyRuns *next;
    HASH_ITER(hh, orders.runs_by_key, k, next)
    {
        HASH_DEL(orders.runs_by_key, k);
        free(k);
    }
    event_base_free(orders.base);
    return rc;
}
