/*
 * A caller of a generation.
 *
 * It asks for addresses, streams, and comes back to another address with
 * the id of the last event whenever its connection ends early.  Every
 * token is checked: it must carry the generation's nonce and the next
 * index.
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
    TRIES_MAX = 60,
    RETRY_MS = 100,
    QUIET_MS = 3000, /* A caller waits so long for the next token. */
    TOKENS_LEAST = 4
};

typedef struct {
    Load *load;
    Addresses addresses;
    char account[CARO_NAME_SIZE];
    char *body;
    uint32_t tokens_max;
    char last_id[128];
    uint32_t nonce;
    uint32_t next;
    bool is_done;
    bool is_streaming; /* The connection gave a part of the answer. */
    bool is_sent_away; /* The node said to come back elsewhere. */
    bool is_refused;
    bool is_lost;
    int tries;
    CaroTime started;
    CaroTime last_token;
    double worst_gap;
    struct evhttp_connection *connection;
    struct evbuffer *text;
    struct event *retry;
    struct event *quiet;
} Caller;

static void connect_caller(Caller *c);

static void
on_release(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    evhttp_connection_free(arg);
}

static void
drop_connection(Caller *c)
{
    struct timeval at_once = {0, 0};
    if (c->connection != NULL) {
        event_base_once(c->load->base, -1, EV_TIMEOUT, on_release,
                        c->connection, &at_once);
        c->connection = NULL;
    }
}

static void
end_caller(Caller *c)
{
    Load *load = c->load;
    LoadResult *r = &load->result;
    if (c->is_done) {
        r->whole++;
        r->missing += (long)c->tokens_max - (long)c->next;
        Samples_Add(&r->worst_gap_ms, c->worst_gap);
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
    drop_connection(c);
    event_free(c->retry);
    event_free(c->quiet);
    evbuffer_free(c->text);
    free(c->body);
    free(c);
    Load_Done(load);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    connect_caller(arg);
}

static void
come_back(Caller *c, int wait_ms)
{
    c->tries++;
    if (c->tries > TRIES_MAX) {
        end_caller(c);
        return;
    }
    c->addresses.at++;
    c->load->result.reconnects++;
    struct timeval wait = {.tv_usec = wait_ms * 1000};
    event_add(c->retry, &wait);
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
    double gap = (double)(now - c->last_token) / CARO_MS;
    if (c->next == 0 && c->last_id[0] == '\0') {
        c->nonce = nonce;
        Samples_Add(&r->first_ms, (double)(now - c->started) / CARO_MS);
    }
    else {
        Samples_Add(&r->gap_ms, gap);
        c->worst_gap = gap > c->worst_gap ? gap : c->worst_gap;
    }
    c->last_token = now;
    if (nonce != c->nonce) {
        r->mixed++;
        return;
    }
    if (index < c->next) {
        r->repeated++;
        return;
    }
    r->missing += index - c->next;
    c->next = index + 1;
}

static void
take_data(Caller *c, const char *data)
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
watch_quiet(Caller *c)
{
    struct timeval wait = {.tv_sec = QUIET_MS / 1000,
                           .tv_usec = QUIET_MS % 1000 * 1000};
    event_add(c->quiet, &wait);
}

static void
take_lines(Caller *c)
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
            c->is_sent_away = true;
        }
        else if (strncmp(line, "data: ", 6) == 0) {
            take_data(c, line + 6);
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
    take_lines(c);
    watch_quiet(c);
}

static void
on_done(struct evhttp_request *req, void *arg)
{
    Caller *c = arg;
    int status = req == NULL ? 0 : evhttp_request_get_response_code(req);
    event_del(c->quiet);
    if (c->connection == NULL) {
        return; /* The caller has gone elsewhere. */
    }
    drop_connection(c);
    if (c->is_done) {
        end_caller(c);
        return;
    }
    if (status == 429 ||
        (status >= 400 && status < 500 && status != 409 && status != 410)) {
        c->is_refused = true;
        end_caller(c);
        return;
    }
    if (status == 409 || status == 410) {
        c->is_lost = true;
        end_caller(c);
        return;
    }
    if (c->is_streaming && !c->is_sent_away) {
        c->load->result.cut++;
    }
    come_back(c, status == 0 || c->is_sent_away ? 10 : RETRY_MS);
}

static void
on_quiet(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Caller *c = arg;
    drop_connection(c);
    come_back(c, 0);
}

static void
stream(Caller *c)
{
    char host[CARO_ADDRESS_SIZE];
    uint16_t port;
    const char *address = Addresses_At(&c->addresses);
    struct evhttp_request *req = evhttp_request_new(on_done, c);
    (void)CaroHttp_SplitAddress(address, host, &port);
    c->connection =
        evhttp_connection_base_new(c->load->base, NULL, host, port);
    evhttp_connection_set_timeout(c->connection, 3600);
    evhttp_connection_set_retries(c->connection, 0);
    evhttp_request_set_chunked_cb(req, on_chunk);
    evbuffer_drain(c->text, evbuffer_get_length(c->text));
    c->is_streaming = false;
    c->is_sent_away = false;
    struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
    evhttp_add_header(headers, "Host", address);
    evhttp_add_header(headers, "Connection", "close");
    if (c->last_id[0] != '\0') {
        evhttp_add_header(headers, "Last-Event-ID", c->last_id);
    }
    evbuffer_add(evhttp_request_get_output_buffer(req), c->body,
                 strlen(c->body));
    watch_quiet(c);
    (void)evhttp_make_request(c->connection, req, EVHTTP_REQ_POST,
                              "/v1/completions");
}

static void
on_addresses(void *context, int code, int status, const char *body,
             size_t size, bool is_sent, const struct evkeyvalq *headers)
{
    (void)is_sent;
    (void)headers;
    Caller *c = context;
    if (code == 0 && status == HTTP_OK) {
        Addresses_Read(&c->addresses, body, size);
    }
    if (c->addresses.n == 0) {
        come_back(c, RETRY_MS);
        return;
    }
    stream(c);
}

/* Uses the addresses it has, in turn, and asks anew when all were tried. */
static void
connect_caller(Caller *c)
{
    if (c->addresses.at < c->addresses.n) {
        stream(c);
        return;
    }
    const LoadOptions *o = c->load->options;
    if (o->direct != NULL) {
        CARO_COPY(c->addresses.list[0], o->direct);
        c->addresses.n = 1;
        c->addresses.at = 0;
        stream(c);
        return;
    }
    Addresses_Ask(c->load, c->account, on_addresses, c);
}

static char *
make_body(Caller *c)
{
    const LoadOptions *o = c->load->options;
    char *prompt = malloc((size_t)o->prompt_bytes + 1);
    if (prompt == NULL) {
        abort();
    }
    unsigned long group =
        gsl_rng_uniform_int(c->load->rng, (unsigned)o->prompt_groups);
    /* Three quarters of a prompt are shared within its group. */
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
    c->started = CaroClock_Now();
    c->last_token = c->started;
    c->tokens_max = TOKENS_LEAST + (uint32_t)gsl_ran_exponential(
                                       load->rng, o->tokens - TOKENS_LEAST);
    (void)snprintf(c->account, sizeof(c->account), "a%lu",
                   gsl_rng_uniform_int(load->rng, (unsigned)o->accounts));
    c->body = make_body(c);
    c->text = evbuffer_new();
    c->retry = evtimer_new(load->base, on_retry, c);
    c->quiet = evtimer_new(load->base, on_quiet, c);
    load->result.started++;
    load->open++;
    connect_caller(c);
}
