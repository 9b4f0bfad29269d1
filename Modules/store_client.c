/* Calls of the platform's store. */
#include "internal/caro_store_client.h"

#include "internal/caro_channel.h"
#include "internal/caro_clock.h"
#include "internal/caro_log.h"

#include <stdlib.h>
#include <string.h>

/* The store responds in a few milliseconds, also to a new connection. */
#define CONNECT_TIMEOUT (500 * CARO_MS)
/* A channel that has been idle for longer may have been closed by a device on
   the path. */
#define IDLE_TIME_MAX (10 * CARO_SECOND)
/* Time for a whole response.  The largest value of the store takes 1.2 s over
   the slowest link alone, and shares it. */
#define RESPONSE_TIMEOUT (8 * CARO_SECOND)
/* Time without a byte after which a response that has begun has failed. */
#define SILENCE_TIMEOUT (1 * CARO_SECOND)
/* A timeout is put off by this for a response that has arrived and not been
   read; the next iteration of the loop reads it. */
#define UNREAD_DELAY (1 * CARO_MS)

/* Bytes of a response.  A page of the store has about 1 MB. */
#define RESPONSE_BYTES_MAX ((size_t)8 << 20)

typedef struct Connection {
    CaroStoreClient *client;
    struct Connection *next;
    CaroChannel *channel;
    struct event *timer;
    struct evbuffer *body;
    int status;
    int64_t timeline; /* Of the store, by the head; negative if malformed. */
    bool is_put_off;  /* The timeout has been put off once. */
    CaroTime sent_at;
    CaroTime timeout;         /* For the first byte. */
    CaroStoreClientDone done; /* NULL while the connection is idle. */
    void *context;
} Connection;

struct CaroStoreClient {
    struct event_base *base;
    char address[CARO_ADDRESS_SIZE];
    Connection *connections;
    uint64_t calls;
};

CaroStoreClient *
CaroStoreClient_Create(struct event_base *base, const char *address)
{
    CaroStoreClient *s = calloc(1, sizeof(*s));
    if (s != NULL) {
        s->base = base;
        CARO_COPY(s->address, address);
    }
    return s;
}

static void
destroy_connection(Connection *c)
{
    for (Connection **at = &c->client->connections; *at != NULL;
         at = &(*at)->next) {
        if (*at == c) {
            *at = c->next;
            break;
        }
    }
    CaroChannel_Destroy(c->channel);
    event_free(c->timer);
    evbuffer_free(c->body);
    free(c);
}

void
CaroStoreClient_Destroy(CaroStoreClient *s)
{
    if (s == NULL) {
        return;
    }
    while (s->connections != NULL) {
        destroy_connection(s->connections);
    }
    free(s);
}

/* Closes the connection and reports that its call has failed. */
static void
fail_call(Connection *c, int code)
{
    CaroStoreClientDone done = c->done;
    void *context = c->context;
    CaroTime sent_at = c->sent_at;
    destroy_connection(c);
    done(context, code, 0, NULL, sent_at);
}

static void
set_timer(Connection *c, CaroTime wait)
{
    struct timeval t = {.tv_sec = wait / CARO_SECOND,
                        .tv_usec = wait % CARO_SECOND};
    (void)event_add(c->timer, &t);
}

/* Waits anew for the next bytes of a response that arrives, until the time for
   the whole response has passed. */
static void
extend_timeout(Connection *c)
{
    CaroTime silence =
        c->timeout < SILENCE_TIMEOUT ? c->timeout : SILENCE_TIMEOUT;
    CaroTime left =
        c->sent_at + c->timeout + RESPONSE_TIMEOUT - CaroClock_BootTime();
    left = left > 0 ? left : 0;
    c->is_put_off = false;
    set_timer(c, silence < left ? silence : left);
}

static void
on_head(void *context, const CaroHttpHead *head)
{
    Connection *c = context;
    extend_timeout(c);
    c->status = head->status;
    CaroText timeline = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_STORE_TIMELINE));
    if (CaroPlatform_ReadTimeline(timeline, &c->timeline) < 0) {
        c->timeline = -1;
    }
}

static void
on_body(void *context, CaroText bytes)
{
    Connection *c = context;
    if (evbuffer_get_length(c->body) + bytes.size > RESPONSE_BYTES_MAX) {
        CaroLog_Warn("store", "A response of the store is too long. limit=%zu",
                     RESPONSE_BYTES_MAX);
        fail_call(c, CARO_ERR_FULL);
        return;
    }
    (void)evbuffer_add(c->body, bytes.at, bytes.size);
    extend_timeout(c);
}

static void
on_idle_closed(void *context, CaroChannel *channel)
{
    (void)channel;
    destroy_connection(context);
}

static void
on_end(void *context)
{
    Connection *c = context;
    CaroStoreClientDone done = c->done;
    void *owner = c->context;
    CaroTime sent_at = c->sent_at;
    int status = c->status;
    int code = 0;
    CaroStoreResponse response;
    memset(&response, 0, sizeof(response));
    size_t size = evbuffer_get_length(c->body);
    response.timeline = c->timeline;
    if (c->timeline < 0) {
        CaroLog_Warn("store", "The store's timeline is malformed. status=%d",
                     status);
        code = CARO_ERR_INPUT;
    }
    else if (status == 200 || status == 412) {
        code = CaroPlatform_ReadStoreResponse(
            (const char *)evbuffer_pullup(c->body, -1), size, c->timeline,
            &response);
    }
    evbuffer_drain(c->body, size);
    (void)event_del(c->timer);
    c->done = NULL;
    if (CaroChannel_IsReusable(c->channel)) {
        CaroChannel_Park(c->channel, on_idle_closed, c, CaroClock_Now());
    }
    else {
        destroy_connection(c);
    }
    done(owner, code, status, &response, sent_at);
    CaroStoreResponse_Clear(&response);
}

static void
on_failure(void *context, int code, const char *reason)
{
    (void)reason;
    fail_call(context, code);
}

/* After a stall of this process the timer runs before the response is read
   that arrived in the meantime. */
static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Connection *c = arg;
    if (!c->is_put_off && CaroChannel_HasUnread(c->channel)) {
        c->is_put_off = true;
        set_timer(c, UNREAD_DELAY);
        return;
    }
    if (evbuffer_get_length(c->body) > 0) {
        CaroLog_Info(
            "store",
            "A call timed out while its response arrived. "
            "received_bytes=%zu elapsed_ms=%lld",
            evbuffer_get_length(c->body),
            (long long)((CaroClock_BootTime() - c->sent_at) / CARO_MS));
    }
    fail_call(c, CARO_ERR_TIMEOUT);
}

static const CaroChannelEvents events = {.on_head = on_head,
                                         .on_body = on_body,
                                         .on_end = on_end,
                                         .on_failure = on_failure};

static Connection *
open_connection(CaroStoreClient *s)
{
    Connection *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->client = s;
    c->channel = CaroChannel_Open(s->base, s->address, CONNECT_TIMEOUT);
    c->timer = event_new(s->base, -1, 0, on_timeout, c);
    c->body = evbuffer_new();
    if (c->channel == NULL || c->timer == NULL || c->body == NULL) {
        CaroChannel_Destroy(c->channel);
        if (c->timer != NULL) {
            event_free(c->timer);
        }
        if (c->body != NULL) {
            evbuffer_free(c->body);
        }
        free(c);
        return NULL;
    }
    c->next = s->connections;
    s->connections = c;
    return c;
}

/* Returns an idle connection that has not been idle for too long, or opens a
   new one; NULL when that fails. */
static Connection *
acquire_connection(CaroStoreClient *s)
{
    CaroTime now = CaroClock_Now();
    Connection *next;
    for (Connection *c = s->connections; c != NULL; c = next) {
        next = c->next;
        if (c->done != NULL) {
            continue;
        }
        if (now - CaroChannel_ParkedAt(c->channel) < IDLE_TIME_MAX) {
            return c;
        }
        destroy_connection(c);
    }
    return open_connection(s);
}

static void
write_call(struct evbuffer *out, const char *address,
           const CaroStoreCall *call)
{
    evbuffer_add_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", call->method,
                        call->target, address);
    if (call->body != NULL) {
        evbuffer_add_printf(out,
                            "Content-Type: application/json\r\n"
                            "Content-Length: %zu\r\n\r\n%s",
                            strlen(call->body), call->body);
    }
    else if (strcmp(call->method, "GET") != 0) {
        evbuffer_add_printf(out, "Content-Length: 0\r\n\r\n");
    }
    else {
        evbuffer_add(out, "\r\n", 2);
    }
}

typedef struct {
    CaroStoreClientDone done;
    void *context;
} UnsentCall;

static void
on_unsent_call(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    UnsentCall *u = arg;
    u->done(u->context, CARO_ERR_IO, 0, NULL, CaroClock_BootTime());
    free(u);
}

/* Reports from the event loop that a call could not be sent, so that "done" is
   not called before CaroStoreClient_Call returns. */
static void
report_unsent_call(CaroStoreClient *s, CaroStoreClientDone done, void *context)
{
    UnsentCall *u = calloc(1, sizeof(*u));
    struct timeval no_delay = {0, 0};
    if (u == NULL) {
        abort(); /* "done" has to be called, and cannot be without it. */
    }
    u->done = done;
    u->context = context;
    (void)event_base_once(s->base, -1, EV_TIMEOUT, on_unsent_call, u,
                          &no_delay);
}

void
CaroStoreClient_Call(CaroStoreClient *s, CaroStoreCall *call, CaroTime timeout,
                     CaroStoreClientDone done, void *context)
{
    Connection *c = acquire_connection(s);
    struct evbuffer *out = evbuffer_new();
    if (c == NULL || out == NULL) {
        if (out != NULL) {
            evbuffer_free(out);
        }
        CaroStoreCall_Clear(call);
        report_unsent_call(s, done, context);
        return;
    }
    s->calls++;
    c->done = done;
    c->context = context;
    c->sent_at = CaroClock_BootTime();
    c->timeout = timeout;
    c->status = 0;
    write_call(out, s->address, call);
    CaroChannel_Start(c->channel, out, false, &events, c);
    evbuffer_free(out);
    CaroStoreCall_Clear(call);
    c->is_put_off = false;
    set_timer(c, timeout);
}

uint64_t
CaroStoreClient_CountCalls(const CaroStoreClient *s)
{
    return s->calls;
}
