/* Calls of the platform's store. */
#include "internal/caro_store_client.h"

#include "internal/caro_channel.h"
#include "internal/caro_clock.h"
#include "internal/caro_log.h"

#include <stdlib.h>
#include <string.h>

/* The store answers in some milliseconds; a connection is as quick. */
#define CONNECT_TIMEOUT (500 * CARO_MS)
/* A kept channel idle for longer may have been closed on the way. */
#define IDLE_MOST (10 * CARO_SECOND)

typedef struct Line {
    CaroStoreClient *client;
    struct Line *next;
    CaroChannel *channel;
    struct event *timer;
    struct evbuffer *body;
    int status;
    CaroTime sent;
    CaroStoreClientDone done; /* NULL while idle. */
    void *context;
} Line;

struct CaroStoreClient {
    struct event_base *base;
    char address[CARO_ADDRESS_SIZE];
    Line *lines;
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
destroy_line(Line *l)
{
    for (Line **at = &l->client->lines; *at != NULL; at = &(*at)->next) {
        if (*at == l) {
            *at = l->next;
            break;
        }
    }
    CaroChannel_Destroy(l->channel);
    event_free(l->timer);
    evbuffer_free(l->body);
    free(l);
}

void
CaroStoreClient_Destroy(CaroStoreClient *s)
{
    if (s == NULL) {
        return;
    }
    while (s->lines != NULL) {
        destroy_line(s->lines);
    }
    free(s);
}

/* Reports a call that has no answer, and closes its channel. */
static void
fail_line(Line *l, int code)
{
    CaroStoreClientDone done = l->done;
    void *context = l->context;
    CaroTime sent = l->sent;
    destroy_line(l);
    done(context, code, 0, NULL, sent);
}

static void
on_head(void *context, const CaroHttpHead *head)
{
    Line *l = context;
    l->status = head->status;
}

static void
on_body(void *context, CaroText bytes)
{
    Line *l = context;
    (void)evbuffer_add(l->body, bytes.at, bytes.size);
}

static void
on_parked_closed(void *context, CaroChannel *channel)
{
    (void)channel;
    destroy_line(context);
}

static void
on_end(void *context)
{
    Line *l = context;
    CaroStoreClientDone done = l->done;
    void *owner = l->context;
    CaroTime sent = l->sent;
    int status = l->status;
    int code = 0;
    CaroStoreResponse answer;
    memset(&answer, 0, sizeof(answer));
    size_t size = evbuffer_get_length(l->body);
    if (status == 200 || status == 412) {
        code = CaroPlatform_ReadStoreResponse(
            (const char *)evbuffer_pullup(l->body, -1), size, &answer);
    }
    evbuffer_drain(l->body, size);
    (void)event_del(l->timer);
    l->done = NULL;
    if (CaroChannel_IsReusable(l->channel)) {
        CaroChannel_Park(l->channel, on_parked_closed, l, CaroClock_Now());
    }
    else {
        destroy_line(l);
    }
    done(owner, code, status, &answer, sent);
    CaroStoreResponse_Clear(&answer);
}

static void
on_failure(void *context, int code, const char *reason)
{
    (void)reason;
    fail_line(context, code);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    fail_line(arg, CARO_ERR_TIMEOUT);
}

static const CaroChannelEvents events = {.on_head = on_head,
                                         .on_body = on_body,
                                         .on_end = on_end,
                                         .on_failure = on_failure};

static Line *
create_line(CaroStoreClient *s)
{
    Line *l = calloc(1, sizeof(*l));
    if (l == NULL) {
        return NULL;
    }
    l->client = s;
    l->channel = CaroChannel_Open(s->base, s->address, CONNECT_TIMEOUT);
    l->timer = event_new(s->base, -1, 0, on_timeout, l);
    l->body = evbuffer_new();
    if (l->channel == NULL || l->timer == NULL || l->body == NULL) {
        CaroChannel_Destroy(l->channel);
        if (l->timer != NULL) {
            event_free(l->timer);
        }
        if (l->body != NULL) {
            evbuffer_free(l->body);
        }
        free(l);
        return NULL;
    }
    l->next = s->lines;
    s->lines = l;
    return l;
}

/* An idle line whose channel is young enough, or a new one. */
static Line *
take_line(CaroStoreClient *s)
{
    CaroTime now = CaroClock_Now();
    Line *next;
    for (Line *l = s->lines; l != NULL; l = next) {
        next = l->next;
        if (l->done != NULL) {
            continue;
        }
        if (now - CaroChannel_ParkedAt(l->channel) < IDLE_MOST) {
            return l;
        }
        destroy_line(l);
    }
    return create_line(s);
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
} Unmade;

static void
on_unmade(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Unmade *u = arg;
    u->done(u->context, CARO_ERR_IO, 0, NULL, CaroClock_BootTime());
    free(u);
}

/* Reports from the loop that no channel could be opened. */
static void
report_unmade(CaroStoreClient *s, CaroStoreClientDone done, void *context)
{
    Unmade *u = calloc(1, sizeof(*u));
    struct timeval at_once = {0, 0};
    if (u == NULL) {
        abort(); /* The promise to call back cannot be kept without it. */
    }
    u->done = done;
    u->context = context;
    (void)event_base_once(s->base, -1, EV_TIMEOUT, on_unmade, u, &at_once);
}

void
CaroStoreClient_Call(CaroStoreClient *s, CaroStoreCall *call, CaroTime timeout,
                     CaroStoreClientDone done, void *context)
{
    Line *l = take_line(s);
    struct evbuffer *out = evbuffer_new();
    if (l == NULL || out == NULL) {
        if (out != NULL) {
            evbuffer_free(out);
        }
        CaroStoreCall_Clear(call);
        report_unmade(s, done, context);
        return;
    }
    s->calls++;
    l->done = done;
    l->context = context;
    l->sent = CaroClock_BootTime();
    l->status = 0;
    write_call(out, s->address, call);
    CaroChannel_Start(l->channel, out, false, &events, l);
    evbuffer_free(out);
    CaroStoreCall_Clear(call);
    struct timeval t = {.tv_sec = timeout / CARO_SECOND,
                        .tv_usec = timeout % CARO_SECOND};
    (void)event_add(l->timer, &t);
}

uint64_t
CaroStoreClient_Calls(const CaroStoreClient *s)
{
    return s->calls;
}
