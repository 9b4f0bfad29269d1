/*
 * Single calls to other HTTP servers.
 *
 * A call has a connection of its own and is not repeated.  It is then known
 * whether any byte was sent: none before the connection is established.
 */
#include "internal/caro_http_client.h"

#include "caro_error.h"
#include "internal/caro_channel.h"

#include <event2/buffer.h>
#include <stdlib.h>

/* Bytes of the body of a response. */
#define RESPONSE_BODY_MAX (8 << 20)

typedef struct {
    CaroChannel *channel; /* NULL if none could be opened. */
    struct event *timer;  /* Limits the whole call. */
    struct evbuffer *body;
    const CaroHttpHead *head; /* Of the response, once it has arrived. */
    CaroHttpDone done;
    void *context;
} Call;

static void
destroy_call(Call *c)
{
    CaroChannel_Destroy(c->channel);
    if (c->timer != NULL) {
        event_free(c->timer);
    }
    if (c->body != NULL) {
        evbuffer_free(c->body);
    }
    free(c);
}

static void
fail(Call *c, int code)
{
    CaroHttpDone done = c->done;
    void *context = c->context;
    bool is_sent = c->channel != NULL && CaroChannel_IsSent(c->channel);
    destroy_call(c);
    done(context, code, 0, "", 0, is_sent, NULL);
}

static void
on_head(void *context, const CaroHttpHead *head)
{
    ((Call *)context)->head = head;
}

static void
on_body(void *context, CaroText bytes)
{
    Call *c = context;
    if (evbuffer_get_length(c->body) + bytes.size > RESPONSE_BODY_MAX) {
        fail(c, CARO_ERR_IO);
        return;
    }
    (void)evbuffer_add(c->body, bytes.at, bytes.size);
}

static void
on_end(void *context)
{
    Call *c = context;
    size_t size = evbuffer_get_length(c->body);
    const char *body = (const char *)evbuffer_pullup(c->body, -1);
    (void)event_del(c->timer);
    c->done(c->context, 0, c->head->status, body == NULL ? "" : body, size,
            true, c->head);
    destroy_call(c);
}

static void
on_failure(void *context, int code, const char *reason)
{
    (void)reason;
    fail(context, code == CARO_ERR_TIMEOUT ? code : CARO_ERR_IO);
}

static const CaroChannelEvents channel_events = {.on_head = on_head,
                                                 .on_body = on_body,
                                                 .on_end = on_end,
                                                 .on_failure = on_failure};

/* The time for the call is over, or it has not begun. */
static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Call *c = arg;
    fail(c, c->channel == NULL ? CARO_ERR_IO : CARO_ERR_TIMEOUT);
}

static struct evbuffer *
write_request(const CaroHttpCall *call)
{
    struct evbuffer *out = evbuffer_new();
    if (out == NULL) {
        return NULL;
    }
    (void)evbuffer_add_printf(out,
                              "%s %s HTTP/1.1\r\nHost: %s\r\n"
                              "Connection: close\r\n",
                              call->method, call->path, call->address);
    if (call->header_name != NULL && call->header_value != NULL) {
        (void)evbuffer_add_printf(out, "%s: %s\r\n", call->header_name,
                                  call->header_value);
    }
    if (call->body != NULL) {
        (void)evbuffer_add_printf(out,
                                  "Content-Type: application/json\r\n"
                                  "Content-Length: %zu\r\n",
                                  call->size);
    }
    (void)evbuffer_add(out, "\r\n", 2);
    if (call->body != NULL && evbuffer_add(out, call->body, call->size) < 0) {
        evbuffer_free(out);
        return NULL;
    }
    return out;
}

void
CaroHttp_Call(struct event_base *base, const CaroHttpCall *call,
              CaroHttpDone done, void *context)
{
    Call *c = calloc(1, sizeof(*c));
    struct evbuffer *request = write_request(call);
    struct timeval timeout = {.tv_sec = call->timeout / CARO_SECOND,
                              .tv_usec = call->timeout % CARO_SECOND};
    struct timeval no_delay = {0, 0};
    if (c != NULL) {
        c->done = done;
        c->context = context;
        c->body = evbuffer_new();
        c->timer = event_new(base, -1, 0, on_timeout, c);
    }
    if (c == NULL || request == NULL || c->body == NULL || c->timer == NULL) {
        abort(); /* "done" is guaranteed to run, which needs memory. */
    }
    c->channel = CaroChannel_Open(base, call->address, call->timeout);
    if (c->channel != NULL) {
        CaroChannel_Start(c->channel, request, false, &channel_events, c);
    }
    (void)event_add(c->timer, c->channel == NULL ? &no_delay : &timeout);
    evbuffer_free(request);
}

void
CaroHttp_FreeFinishedCalls(struct event_base *base)
{
    enum { LOOP_RUNS = 4 };
    for (int i = 0; i < LOOP_RUNS; i++) {
        (void)event_base_loop(base, EVLOOP_NONBLOCK);
    }
}
