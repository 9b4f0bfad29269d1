/*
 * A caller of a generation.
 *
 * It requests addresses and a stream.  When the connection ends early, it
 * reconnects to another address with the id of the last event.  Each token
 * must have the generation's nonce and the next index.
 */
#include "bench.h"

#include "internal/caro_clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    RECONNECTS_MAX = 60,
    RETRY_DELAY_MS = 100,
    EVENT_TIMEOUT_MS = 3000, /* For the next token. */
    TOKENS_MIN = 4
};

typedef struct {
    Load *load;
    Addresses addresses;
    char account[CARO_NAME_SIZE];
    char *body;
    uint32_t tokens_max;
    char last_id[128];
    uint32_t nonce;
    uint32_t next_token;
    bool is_done;
    bool is_streaming; /* The connection delivered a part of the response. */
    bool has_reconnect_event; /* The VM asked for a reconnect elsewhere. */
    bool is_refused;
    bool is_lost;
    int reconnects;
    CaroTime started_at;
    CaroTime last_token_at;
    double worst_gap_ms;
    struct evhttp_connection *connection;
    struct evbuffer *text;
    struct event *retry_timer;
    struct event *event_timer;
} Caller;

static void connect_or_request_addresses(Caller *c);

static void
on_free_connection(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    evhttp_connection_free(arg);
}

/* Frees the connection later, from the event loop, because its own callbacks
   call this. */
static void
close_connection(Caller *c)
{
    struct timeval at_once = {0, 0};
    if (c->connection != NULL) {
        event_base_once(c->load->base, -1, EV_TIMEOUT, on_free_connection,
                        c->connection, &at_once);
        c->connection = NULL;
    }
}

static void
finish_caller(Caller *c)
{
    Load *load = c->load;
    LoadResult *r = &load->result;
    if (c->is_done) {
        r->whole++;
        r->missing += (long)c->tokens_max - (long)c->next_token;
        Samples_Add(&r->worst_gap_ms, c->worst_gap_ms);
    }
    else if (c->is_refused) {
        r->refused++;
    }
    else if (c->is_lost) {
        r->lost++;
    }
    else {
        r->given_up++;
    }
    close_connection(c);
    event_free(c->retry_timer);
    event_free(c->event_timer);
    evbuffer_free(c->text);
    free(c->body);
    free(c);
    Load_OnFinished(load);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    connect_or_request_addresses(arg);
}

static void
reconnect_later(Caller *c, int delay_ms)
{
    c->reconnects++;
    if (c->reconnects > RECONNECTS_MAX) {
        finish_caller(c);
        return;
    }
    c->addresses.position++;
    c->load->result.reconnects++;
    struct timeval delay = {.tv_usec = delay_ms * 1000};
    event_add(c->retry_timer, &delay);
}

static void
check_token(Caller *c, const char *text)
{
    LoadResult *r = &c->load->result;
    unsigned int nonce;
    unsigned int index;
    CaroTime now = CaroClock_Now();
    if (sscanf(text, " %8x.%u", &nonce, &index) != 2) {
        return;
    }
    r->tokens++;
    double gap_ms = (double)(now - c->last_token_at) / CARO_MS;
    if (c->next_token == 0 && c->last_id[0] == '\0') {
        c->nonce = nonce;
        Samples_Add(&r->first_ms, (double)(now - c->started_at) / CARO_MS);
    }
    else {
        Samples_Add(&r->gap_ms, gap_ms);
        c->worst_gap_ms = gap_ms > c->worst_gap_ms ? gap_ms : c->worst_gap_ms;
    }
    c->last_token_at = now;
    if (nonce != c->nonce) {
        r->mixed++;
        return;
    }
    if (index < c->next_token) {
        r->repeated++;
        return;
    }
    r->missing += index - c->next_token;
    c->next_token = index + 1;
}

static void
handle_data(Caller *c, const char *data)
{
    json_t *root = json_loads(data, 0, NULL);
    json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
    const char *text = json_string_value(json_object_get(choice, "text"));
    if (text != NULL && text[0] != '\0') {
        check_token(c, text);
    }
    json_decref(root);
}

static void
restart_event_timer(Caller *c)
{
    struct timeval delay = {.tv_sec = EVENT_TIMEOUT_MS / 1000,
                            .tv_usec = EVENT_TIMEOUT_MS % 1000 * 1000};
    event_add(c->event_timer, &delay);
}

static void
handle_lines(Caller *c)
{
    char *line;
    char id[sizeof(c->last_id)] = "";
    while ((line = evbuffer_readln(c->text, NULL, EVBUFFER_EOL_LF)) != NULL) {
        if (strncmp(line, "id: ", 4) == 0) {
            (void)snprintf(id, sizeof(id), "%s", line + 4);
        }
        else if (strcmp(line, "data: [DONE]") == 0) {
            c->is_done = true;
        }
        else if (strcmp(line, "event: reconnect") == 0) {
            c->has_reconnect_event = true;
        }
        else if (strncmp(line, "data: ", 6) == 0) {
            handle_data(c, line + 6);
            if (id[0] != '\0') {
                (void)snprintf(c->last_id, sizeof(c->last_id), "%s", id);
            }
        }
        free(line);
    }
}

static void
on_chunk(struct evhttp_request *req, void *arg)
{
    Caller *c = arg;
    if (evhttp_request_get_response_code(req) != HTTP_OK) {
        return;
    }
    c->is_streaming = true;
    evbuffer_add_buffer(c->text, evhttp_request_get_input_buffer(req));
    handle_lines(c);
    restart_event_timer(c);
}

static void
on_done(struct evhttp_request *req, void *arg)
{
    Caller *c = arg;
    int status = req == NULL ? 0 : evhttp_request_get_response_code(req);
    event_del(c->event_timer);
    if (c->connection == NULL) {
        return; /* The caller uses another connection. */
    }
    close_connection(c);
    if (c->is_done) {
        finish_caller(c);
        return;
    }
    if (status == 429 ||
        (status >= 400 && status < 500 && status != 409 && status != 410)) {
        c->is_refused = true;
        finish_caller(c);
        return;
    }
    if (status == 409 || status == 410) {
        c->is_lost = true;
        finish_caller(c);
        return;
    }
    if (c->is_streaming && !c->has_reconnect_event) {
        c->load->result.cut++;
    }
    reconnect_later(c, status == 0 || c->has_reconnect_event ? 10
                                                             : RETRY_DELAY_MS);
}

static void
on_event_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Caller *c = arg;
    close_connection(c);
    reconnect_later(c, 0);
}

static void
send_request(Caller *c)
{
    char host[CARO_ADDRESS_SIZE];
    uint16_t port;
    const char *address = Addresses_Current(&c->addresses);
    struct evhttp_request *req = evhttp_request_new(on_done, c);
    (void)CaroHttp_SplitAddress(address, host, &port);
    c->connection =
        evhttp_connection_base_new(c->load->base, NULL, host, port);
    evhttp_connection_set_timeout(c->connection, 3600);
    evhttp_connection_set_retries(c->connection, 0);
    evhttp_request_set_chunked_cb(req, on_chunk);
    evbuffer_drain(c->text, evbuffer_get_length(c->text));
    c->is_streaming = false;
    c->has_reconnect_event = false;
    struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
    evhttp_add_header(headers, "Host", address);
    evhttp_add_header(headers, "Connection", "close");
    if (c->last_id[0] != '\0') {
        evhttp_add_header(headers, "Last-Event-ID", c->last_id);
    }
    evbuffer_add(evhttp_request_get_output_buffer(req), c->body,
                 strlen(c->body));
    restart_event_timer(c);
    (void)evhttp_make_request(c->connection, req, EVHTTP_REQ_POST,
                              "/v1/completions");
}

static void
on_addresses(void *context, int code, int status, const char *body,
             size_t size, bool is_sent, const CaroHttpHead *head)
{
    (void)is_sent;
    (void)head;
    Caller *c = context;
    if (code == 0 && status == HTTP_OK) {
        Addresses_Parse(&c->addresses, body, size);
    }
    if (c->addresses.n == 0) {
        reconnect_later(c, RETRY_DELAY_MS);
        return;
    }
    send_request(c);
}

/* Tries the known addresses in turn, then requests new ones. */
static void
connect_or_request_addresses(Caller *c)
{
    if (c->addresses.position < c->addresses.n) {
        send_request(c);
        return;
    }
    const LoadOptions *o = c->load->options;
    if (o->direct != NULL) {
        CARO_COPY(c->addresses.list[0], o->direct);
        c->addresses.n = 1;
        c->addresses.position = 0;
        send_request(c);
        return;
    }
    Addresses_Request(c->load, c->account, on_addresses, c);
}

static char *
create_body(Caller *c)
{
    const LoadOptions *o = c->load->options;
    char *prompt = malloc((size_t)o->prompt_bytes + 1);
    if (prompt == NULL) {
        abort();
    }
    unsigned long group =
        gsl_rng_uniform_int(c->load->rng, (unsigned)o->prompt_groups);
    /* All prompts of a group have the same first three quarters. */
    for (int i = 0; i < o->prompt_bytes; i++) {
        unsigned long own = gsl_rng_uniform_int(c->load->rng, 26);
        bool is_shared = i < o->prompt_bytes * 3 / 4;
        prompt[i] =
            (char)('a' + (is_shared ? (group * 7 + (unsigned)i) % 26 : own));
    }
    prompt[o->prompt_bytes] = '\0';
    json_t *root = json_pack("{s:s, s:s, s:s, s:i, s:b}", "account",
                             c->account, "model", o->model, "prompt", prompt,
                             "max_tokens", (int)c->tokens_max, "stream", 1);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    free(prompt);
    return text;
}

void
Caller_Start(Load *load)
{
    const LoadOptions *o = load->options;
    Caller *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    c->load = load;
    c->started_at = CaroClock_Now();
    c->last_token_at = c->started_at;
    c->tokens_max = TOKENS_MIN + (uint32_t)gsl_ran_exponential(
                                     load->rng, o->tokens - TOKENS_MIN);
    (void)snprintf(c->account, sizeof(c->account), "a%lu",
                   gsl_rng_uniform_int(load->rng, (unsigned)o->accounts));
    c->body = create_body(c);
    c->text = evbuffer_new();
    c->retry_timer = evtimer_new(load->base, on_retry, c);
    c->event_timer = evtimer_new(load->base, on_event_timeout, c);
    load->result.started++;
    load->n_unfinished++;
    connect_or_request_addresses(c);
}
