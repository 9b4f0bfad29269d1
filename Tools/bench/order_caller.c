/*
 * A caller of an order.
 *
 * It takes a ticket, sends the order under the key "ticket.suffix", and
 * repeats it at other addresses under the same key until it is told that
 * the order ran, did not run, or that nobody knows.
 */
#include "bench.h"

#include "internal/caro_clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    TRIES_MAX = 12,
    RETRY_MS = 150,
    TICKET_MAX = CARO_KEY_SIZE - 10 /* Leaves room for the suffix. */
};

#define ORDER_TIMEOUT (4 * CARO_SECOND)

typedef struct {
    Load *load;
    Addresses addresses;
    char key[CARO_KEY_SIZE];
    char path[128];
    char account[CARO_NAME_SIZE];
    int tries;
    CaroTime started;
    struct event *retry;
} OrderCaller;

static void ask(OrderCaller *c);

static void
end_order(OrderCaller *c, long *counter, const char *verdict)
{
    Load *load = c->load;
    if (load->orders_log != NULL && c->key[0] != '\0') {
        (void)fprintf(load->orders_log, "%s %s\n", verdict, c->key);
    }
    (*counter)++;
    Samples_Add(&load->result.order_ms,
                (double)(CaroClock_Now() - c->started) / CARO_MS);
    event_free(c->retry);
    free(c);
    Load_Done(load);
}

static void
again(OrderCaller *c)
{
    c->tries++;
    c->addresses.at++;
    if (c->tries > TRIES_MAX) {
        end_order(c, &c->load->result.orders_unknown, "unknown");
        return;
    }
    struct timeval wait = {.tv_usec = RETRY_MS * 1000};
    event_add(c->retry, &wait);
}

static void
on_answer(void *context, int code, int status, const char *body, size_t size,
          bool is_sent, const struct evkeyvalq *headers)
{
    (void)is_sent;
    (void)headers;
    OrderCaller *c = context;
    LoadResult *r = &c->load->result;
    if (code < 0) {
        again(c);
        return;
    }
    if (status < 400) {
        end_order(c, &r->orders_done, "done");
        return;
    }
    json_t *root = json_loadb(body, size, 0, NULL);
    const char *run = json_string_value(json_object_get(root, "run"));
    bool is_not_run = run != NULL && strcmp(run, "no") == 0;
    json_decref(root);
    if (is_not_run) {
        end_order(c, &r->orders_not_run, "not-run");
    }
    else {
        end_order(c, &r->orders_unknown, "unknown");
    }
}

static void
send_order(OrderCaller *c)
{
    static const char body[] = "{\"item\":\"citronella\",\"count\":4}";
    CaroHttpCall call = {.address = Addresses_At(&c->addresses),
                         .path = c->path,
                         .method = EVHTTP_REQ_POST,
                         .body = body,
                         .size = sizeof(body) - 1,
                         .header_name = "Idempotency-Key",
                         .header_value = c->key,
                         .timeout = ORDER_TIMEOUT};
    CaroHttp_Call(c->load->base, &call, on_answer, c);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    OrderCaller *c = arg;
    if (c->addresses.n > 0) {
        send_order(c);
    }
    else {
        ask(c);
    }
}

static void
on_ticket(void *context, int code, int status, const char *body, size_t size,
          bool is_sent, const struct evkeyvalq *headers)
{
    (void)is_sent;
    (void)headers;
    OrderCaller *c = context;
    if (code == 0 && status == HTTP_OK) {
        Addresses_Read(&c->addresses, body, size);
    }
    if (c->addresses.n == 0 || c->addresses.ticket[0] == '\0') {
        c->addresses.n = 0;
        again(c);
        return;
    }
    (void)snprintf(c->key, sizeof(c->key), "%.*s.%08lx", TICKET_MAX,
                   c->addresses.ticket, gsl_rng_get(c->load->rng));
    send_order(c);
}

static void
ask(OrderCaller *c)
{
    Addresses_Ask(c->load, c->account, on_ticket, c);
}

void
OrderCaller_Start(Load *load)
{
    const LoadOptions *o = load->options;
    OrderCaller *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    c->load = load;
    c->started = CaroClock_Now();
    c->retry = evtimer_new(load->base, on_retry, c);
    (void)snprintf(c->account, sizeof(c->account), "a%lu",
                   gsl_rng_uniform_int(load->rng, (unsigned)o->accounts));
    (void)snprintf(c->path, sizeof(c->path), "/v1/orders/%s/book?account=%s",
                   o->service, c->account);
    load->result.orders++;
    load->open++;
    ask(c);
}
