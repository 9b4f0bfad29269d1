/*
 * A caller of an order.
 *
 * It requests a ticket, sends the order with the idempotency key
 * "ticket.suffix", and retries with the same key at other addresses until a
 * response says that the order ran, that it did not run, or that the outcome
 * is unknown.
 */
#include "bench.h"

#include "internal/caro_clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    RETRIES_MAX = 12,
    RETRY_DELAY_MS = 150,
    /* Leaves space for the suffix in the key. */
    TICKET_CHARS_MAX = CARO_KEY_SIZE - 10
};

#define ORDER_TIMEOUT (4 * CARO_SECOND)

typedef struct {
    Load *load;
    Addresses addresses;
    char key[CARO_KEY_SIZE];
    char path[128];
    char account[CARO_NAME_SIZE];
    int retries;
    CaroTime started_at;
    struct event *retry_timer;
} OrderCaller;

static void request_ticket(OrderCaller *c);

static void
finish_order(OrderCaller *c, long *counter, const char *outcome)
{
    Load *load = c->load;
    if (load->orders_log != NULL && c->key[0] != '\0') {
        (void)fprintf(load->orders_log, "%s %s\n", outcome, c->key);
    }
    (*counter)++;
    Samples_Add(&load->result.order_ms,
                (double)(CaroClock_Now() - c->started_at) / CARO_MS);
    event_free(c->retry_timer);
    free(c);
    Load_OnFinished(load);
}

static void
retry_later(OrderCaller *c)
{
    c->retries++;
    c->addresses.position++;
    if (c->retries > RETRIES_MAX) {
        finish_order(c, &c->load->result.orders_unknown, "unknown");
        return;
    }
    struct timeval delay = {.tv_usec = RETRY_DELAY_MS * 1000};
    event_add(c->retry_timer, &delay);
}

static void
on_response(void *context, int code, int status, const char *body, size_t size,
            bool is_sent, const CaroHttpHead *head)
{
    (void)is_sent;
    (void)head;
    OrderCaller *c = context;
    LoadResult *r = &c->load->result;
    if (code < 0) {
        retry_later(c);
        return;
    }
    if (status < 400) {
        finish_order(c, &r->orders_done, "done");
        return;
    }
    json_t *root = json_loadb(body, size, 0, NULL);
    const char *run = json_string_value(json_object_get(root, "run"));
    bool is_not_run = run != NULL && strcmp(run, "no") == 0;
    json_decref(root);
    if (is_not_run) {
        finish_order(c, &r->orders_not_run, "not-run");
    }
    else {
        finish_order(c, &r->orders_unknown, "unknown");
    }
}

static void
send_order(OrderCaller *c)
{
    static const char body[] = "{\"item\":\"citronella\",\"count\":4}";
    CaroHttpCall call = {.address = Addresses_Current(&c->addresses),
                         .path = c->path,
                         .method = "POST",
                         .body = body,
                         .size = sizeof(body) - 1,
                         .header_name = "Idempotency-Key",
                         .header_value = c->key,
                         .timeout = ORDER_TIMEOUT};
    CaroHttp_Call(c->load->base, &call, on_response, c);
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
        request_ticket(c);
    }
}

static void
on_ticket(void *context, int code, int status, const char *body, size_t size,
          bool is_sent, const CaroHttpHead *head)
{
    (void)is_sent;
    (void)head;
    OrderCaller *c = context;
    if (code == 0 && status == HTTP_OK) {
        Addresses_Parse(&c->addresses, body, size);
    }
    if (c->addresses.n == 0 || c->addresses.ticket[0] == '\0') {
        c->addresses.n = 0;
        retry_later(c);
        return;
    }
    (void)snprintf(c->key, sizeof(c->key), "%.*s.%08lx", TICKET_CHARS_MAX,
                   c->addresses.ticket, gsl_rng_get(c->load->rng));
    send_order(c);
}

static void
request_ticket(OrderCaller *c)
{
    Addresses_Request(c->load, c->account, on_ticket, c);
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
    c->started_at = CaroClock_Now();
    c->retry_timer = evtimer_new(load->base, on_retry, c);
    (void)snprintf(c->account, sizeof(c->account), "a%lu",
                   gsl_rng_uniform_int(load->rng, (unsigned)o->accounts));
    (void)snprintf(c->path, sizeof(c->path), "/v1/orders/%s/book?account=%s",
                   o->service, c->account);
    load->result.orders++;
    load->n_unfinished++;
    request_ticket(c);
}
