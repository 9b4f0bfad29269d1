/*
 * The listener for callers' requests.
 *
 * A connection carries one request at a time; what follows it waits in
 * the input, bounded, until the answer has ended.  A connection that is to
 * close is shut for writing and drained for a moment, because closing it
 * with bytes unread would reset it and could lose the answer.
 */
#include "internal/caro_http_server.h"

#include "internal/caro_clock.h"
#include "internal/caro_http.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
    BACKLOG = 512,
    READ_AHEAD_MAX = 65536, /* Input that waits behind a request. */
    WRITE_LOW = 16384       /* Below it a slow caller may go on. */
};
/* For the peer to close after our last byte. */
#define LINGER (1 * CARO_SECOND)

typedef enum {
    CALL_IDLE,      /* No byte of the next request has come. */
    CALL_HEAD,      /* A part of the head. */
    CALL_BODY,      /* The head, and a part of the body. */
    CALL_RUNNING,   /* Handed over, not answered. */
    CALL_ANSWERING, /* The answer has begun. */
    CALL_FLUSHING,  /* The last answer leaves, then the connection ends. */
    CALL_LINGERING  /* Shut for writing; input is dropped. */
} CallState;

struct CaroCall {
    CaroHttpServer *front;
    CaroCall *next;
    CaroCall *prev;
    struct bufferevent *bev;
    struct event *timer;
    CaroHttpReader *reader;
    struct evbuffer *body;
    size_t counted; /* Bytes of the body in the front's sum. */
    CallState state;
    bool is_chunking; /* The answer is sent in chunks. */
    bool is_last;     /* The connection ends with this answer. */
    bool is_advancing;
    CaroTime idle_since;
    char peer[CARO_ADDRESS_SIZE];
    void *owner;
};

struct CaroHttpServer {
    struct event_base *base;
    struct evconnlistener *listener;
    CaroHttpServerLimits limits;
    const CaroHttpServerHandlers *handlers;
    void *context;
    CaroCall *calls;
    int n_calls;
    int n_running;
    size_t bytes; /* Of all bodies that are held. */
    bool is_closing;
};

static void advance(CaroCall *c);

static bool
is_handed_over(const CaroCall *c)
{
    return c->state == CALL_RUNNING || c->state == CALL_ANSWERING;
}

static void
drop_body(CaroCall *c)
{
    evbuffer_drain(c->body, evbuffer_get_length(c->body));
    c->front->bytes -= c->counted;
    c->counted = 0;
}

static void
destroy_call(CaroCall *c)
{
    CaroHttpServer *f = c->front;
    drop_body(c);
    if (is_handed_over(c)) {
        f->n_running--;
    }
    if (c->prev != NULL) {
        c->prev->next = c->next;
    }
    else {
        f->calls = c->next;
    }
    if (c->next != NULL) {
        c->next->prev = c->prev;
    }
    f->n_calls--;
    event_free(c->timer);
    bufferevent_free(c->bev);
    CaroHttpReader_Destroy(c->reader);
    evbuffer_free(c->body);
    free(c);
}

static void
set_timer(CaroCall *c, CaroTime wait)
{
    struct timeval t = {.tv_sec = wait / CARO_SECOND,
                        .tv_usec = wait % CARO_SECOND};
    (void)event_add(c->timer, &t);
}

/* Each state has its own bound, counted from its last progress. */
static void
enter_state(CaroCall *c, CallState state)
{
    const CaroHttpServerLimits *l = &c->front->limits;
    c->state = state;
    switch (state) {
    case CALL_IDLE:
        c->idle_since = CaroClock_Now();
        set_timer(c, l->idle_timeout);
        break;
    case CALL_HEAD:
    case CALL_BODY:
        set_timer(c, l->head_timeout);
        break;
    case CALL_RUNNING:
    case CALL_ANSWERING:
        (void)event_del(c->timer);
        break;
    case CALL_FLUSHING:
        set_timer(c, l->write_timeout);
        break;
    case CALL_LINGERING:
        set_timer(c, LINGER);
        break;
    }
}

static void
begin_linger(CaroCall *c)
{
    enter_state(c, CALL_LINGERING);
    (void)shutdown(bufferevent_getfd(c->bev), SHUT_WR);
    struct evbuffer *in = bufferevent_get_input(c->bev);
    evbuffer_drain(in, evbuffer_get_length(in));
}

/* The answer is in the output; what comes next? */
static void
end_answer(CaroCall *c)
{
    c->front->n_running--;
    c->owner = NULL;
    drop_body(c);
    if (!c->is_last) {
        enter_state(c, CALL_IDLE);
        if (!c->is_advancing) {
            advance(c);
        }
        return;
    }
    enter_state(c, CALL_FLUSHING);
    if (evbuffer_get_length(bufferevent_get_output(c->bev)) == 0) {
        begin_linger(c);
    }
}

static const char *
status_text(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Answer";
    }
}

static void
write_head(CaroCall *c, int status, struct evbuffer *headers)
{
    struct evbuffer *out = bufferevent_get_output(c->bev);
    if (c->front->is_closing) {
        c->is_last = true;
    }
    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                        status_text(status));
    if (headers != NULL) {
        evbuffer_add_buffer(out, headers);
    }
    if (c->is_last) {
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
}

/* Refuses what was not read whole, and closes. */
static void
refuse(CaroCall *c, int status, const char *reason)
{
    CaroHttpServer *f = c->front;
    f->handlers->on_refused(f->context, c->peer, status, reason);
    c->is_last = true;
    write_head(c, status, NULL);
    if (status == 503) { /* Not run; room comes as other bodies go. */
        evbuffer_add_printf(bufferevent_get_output(c->bev),
                            "Retry-After: 0.2\r\n");
    }
    evbuffer_add_printf(bufferevent_get_output(c->bev),
                        "Content-Length: 0\r\n\r\n");
    drop_body(c);
    enter_state(c, CALL_FLUSHING);
}

static void
take_head(CaroCall *c)
{
    const CaroHttpHead *head = CaroHttpReader_Head(c->reader);
    const CaroHttpServerLimits *l = &c->front->limits;
    c->is_last = !head->is_keepable;
    if (head->length > 0 && (size_t)head->length > l->body_bytes_max) {
        refuse(c, 413, "a body that is too large");
        return;
    }
    if (CaroText_EqualsIgnoreCase(CaroHttpHead_Find(head, "expect"),
                                  "100-continue")) {
        evbuffer_add_printf(bufferevent_get_output(c->bev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    enter_state(c, CALL_BODY);
}

static void
take_body(CaroCall *c, CaroText bytes)
{
    CaroHttpServer *f = c->front;
    if (evbuffer_get_length(c->body) + bytes.size > f->limits.body_bytes_max) {
        refuse(c, 413, "a body that is too large");
        return;
    }
    if (f->bytes + bytes.size > f->limits.all_bytes_max) {
        refuse(c, 503, "no room for another body");
        return;
    }
    (void)evbuffer_add(c->body, bytes.at, bytes.size);
    c->counted += bytes.size;
    f->bytes += bytes.size;
    enter_state(c, CALL_BODY);
}

static int
refusal_of(int code)
{
    return code == CARO_ERR_FULL ? 431 : code == CARO_ERR_NOMEM ? 503 : 400;
}

/* Reads on until a request is whole or the input is used up. */
static void
advance(CaroCall *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    c->is_advancing = true;
    while (c->state <= CALL_BODY) {
        CaroHttpPiece piece;
        int code = CaroHttpReader_Next(c->reader, in, &piece);
        if (code < 0) {
            refuse(c, refusal_of(code), CaroHttpReader_Reason(c->reader));
            break;
        }
        if (piece.kind == CARO_PIECE_NONE) {
            if (c->state == CALL_IDLE && evbuffer_get_length(in) > 0) {
                enter_state(c, CALL_HEAD);
            }
            break;
        }
        if (piece.kind == CARO_PIECE_HEAD) {
            take_head(c);
        }
        else if (piece.kind == CARO_PIECE_BODY) {
            take_body(c, piece.body);
        }
        else {
            enter_state(c, CALL_RUNNING);
            c->front->n_running++;
            c->front->handlers->on_request(c->front->context, c);
        }
    }
    c->is_advancing = false;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    CaroCall *c = arg;
    if (c->state == CALL_FLUSHING || c->state == CALL_LINGERING) {
        struct evbuffer *in = bufferevent_get_input(bev);
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    advance(c);
}

static void
on_write(struct bufferevent *bev, void *arg)
{
    CaroCall *c = arg;
    size_t left = evbuffer_get_length(bufferevent_get_output(bev));
    if (c->state == CALL_FLUSHING && left == 0) {
        begin_linger(c);
    }
    else if (c->state == CALL_ANSWERING) {
        (void)event_del(c->timer);
        c->front->handlers->on_drained(c->front->context, c);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    (void)what;
    CaroCall *c = arg;
    if (is_handed_over(c)) {
        c->front->handlers->on_disconnected(c->front->context, c);
    }
    destroy_call(c);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroCall *c = arg;
    if (c->state == CALL_HEAD || c->state == CALL_BODY) {
        refuse(c, 408, "the request did not come in time");
        return;
    }
    if (is_handed_over(c)) {
        c->front->handlers->on_disconnected(c->front->context, c);
    }
    destroy_call(c);
}

/* Makes room by closing the connection that has been idle for longest. */
static bool
evict_idle(CaroHttpServer *f)
{
    CaroCall *oldest = NULL;
    for (CaroCall *c = f->calls; c != NULL; c = c->next) {
        bool is_idle = c->state == CALL_IDLE || c->state == CALL_LINGERING;
        if (is_idle &&
            (oldest == NULL || c->idle_since < oldest->idle_since)) {
            oldest = c;
        }
    }
    if (oldest == NULL) {
        return false;
    }
    destroy_call(oldest);
    return true;
}

static CaroCall *
create_call(CaroHttpServer *f, evutil_socket_t fd)
{
    CaroCall *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->front = f;
    c->reader = CaroHttpReader_Create(true);
    c->body = evbuffer_new();
    c->timer = event_new(f->base, -1, 0, on_timer, c);
    c->bev = bufferevent_socket_new(
        f->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    if (c->reader == NULL || c->body == NULL || c->timer == NULL ||
        c->bev == NULL) {
        goto error;
    }
    CaroHttpReader_SetHeadMax(c->reader, f->limits.head_bytes_max);
    return c;
error:
    CaroHttpReader_Destroy(c->reader);
    if (c->body != NULL) {
        evbuffer_free(c->body);
    }
    if (c->timer != NULL) {
        event_free(c->timer);
    }
    free(c);
    return NULL;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int size, void *arg)
{
    (void)listener;
    (void)size;
    CaroHttpServer *f = arg;
    char host[INET_ADDRSTRLEN] = "";
    struct sockaddr_in *in = (struct sockaddr_in *)from;
    (void)inet_ntop(AF_INET, &in->sin_addr, host, sizeof(host));
    bool is_full = f->n_calls >= f->limits.connections_max && !evict_idle(f);
    CaroCall *c = is_full ? NULL : create_call(f, fd);
    if (c == NULL) {
        f->handlers->on_refused(f->context, host, 0,
                                "no room for another connection");
        evutil_closesocket(fd);
        return;
    }
    (void)snprintf(c->peer, sizeof(c->peer), "%s:%u", host,
                   ntohs(in->sin_port));
    int on = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    c->next = f->calls;
    if (f->calls != NULL) {
        f->calls->prev = c;
    }
    f->calls = c;
    f->n_calls++;
    bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
    bufferevent_setwatermark(c->bev, EV_READ, 0, READ_AHEAD_MAX);
    bufferevent_setwatermark(c->bev, EV_WRITE, 0, 0);
    (void)bufferevent_enable(c->bev, EV_READ | EV_WRITE);
    enter_state(c, CALL_IDLE);
}

CaroHttpServer *
CaroHttpServer_Create(struct event_base *base, const char *address,
                      const CaroHttpServerLimits *limits,
                      const CaroHttpServerHandlers *handlers, void *context,
                      CaroError *err)
{
    char host[CARO_ADDRESS_SIZE];
    struct sockaddr_in at = {.sin_family = AF_INET};
    uint16_t port;
    if (CaroHttp_SplitAddress(address, host, &port) < 0 ||
        inet_pton(AF_INET, host, &at.sin_addr) != 1) {
        (void)CaroError_Set(err, CARO_ERR_INPUT, "listen", address,
                            "the address is no ip:port");
        return NULL;
    }
    at.sin_port = htons(port);
    CaroHttpServer *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "listen", address,
                            "no memory");
        return NULL;
    }
    f->base = base;
    f->limits = *limits;
    f->handlers = handlers;
    f->context = context;
    f->listener = evconnlistener_new_bind(
        base, on_accept, f, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
        (struct sockaddr *)&at, sizeof(at));
    if (f->listener == NULL) {
        (void)CaroError_Set(err, CARO_ERR_IO, "listen", address,
                            "the address is taken or not of this VM");
        free(f);
        return NULL;
    }
    return f;
}

void
CaroHttpServer_Destroy(CaroHttpServer *f)
{
    if (f == NULL) {
        return;
    }
    while (f->calls != NULL) {
        destroy_call(f->calls);
    }
    evconnlistener_free(f->listener);
    free(f);
}

void
CaroHttpServer_SetLimits(CaroHttpServer *f, const CaroHttpServerLimits *limits)
{
    f->limits = *limits;
    for (CaroCall *c = f->calls; c != NULL; c = c->next) {
        CaroHttpReader_SetHeadMax(c->reader, limits->head_bytes_max);
    }
}

void
CaroHttpServer_CloseAfterResponses(CaroHttpServer *f)
{
    f->is_closing = true;
}

int
CaroHttpServer_CountConnections(const CaroHttpServer *f)
{
    return f->n_calls;
}

int
CaroHttpServer_CountCalls(const CaroHttpServer *f)
{
    return f->n_running;
}

const CaroHttpHead *
CaroCall_Head(const CaroCall *call)
{
    return CaroHttpReader_Head(call->reader);
}

struct evbuffer *
CaroCall_Body(const CaroCall *call)
{
    return call->body;
}

const char *
CaroCall_Peer(const CaroCall *call)
{
    return call->peer;
}

void
CaroCall_SetOwner(CaroCall *call, void *owner)
{
    call->owner = owner;
}

void *
CaroCall_Owner(const CaroCall *call)
{
    return call->owner;
}

void
CaroCall_Answer(CaroCall *call, int status, struct evbuffer *headers,
                struct evbuffer *body)
{
    struct evbuffer *out = bufferevent_get_output(call->bev);
    size_t size = body == NULL ? 0 : evbuffer_get_length(body);
    write_head(call, status, headers);
    evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n", size);
    bool is_head = CaroText_Equals(CaroCall_Head(call)->method, "HEAD");
    if (body != NULL && !is_head) {
        evbuffer_add_buffer(out, body);
    }
    end_answer(call);
}

void
CaroCall_Begin(CaroCall *call, int status, struct evbuffer *headers)
{
    struct evbuffer *out = bufferevent_get_output(call->bev);
    /* HTTP/1.0 has no chunks; there the end is the connection's. */
    const char *bytes = CaroCall_Head(call)->bytes;
    call->is_chunking = strstr(bytes, "HTTP/1.0\r\n") == NULL;
    call->is_last = call->is_last || !call->is_chunking;
    write_head(call, status, headers);
    evbuffer_add_printf(out, call->is_chunking
                                 ? "Transfer-Encoding: chunked\r\n\r\n"
                                 : "\r\n");
    enter_state(call, CALL_ANSWERING);
}

void
CaroCall_Send(CaroCall *call, const char *bytes, size_t size)
{
    struct evbuffer *out = bufferevent_get_output(call->bev);
    if (size == 0) {
        return; /* An empty chunk would end the answer. */
    }
    if (call->is_chunking) {
        evbuffer_add_printf(out, "%zx\r\n", size);
    }
    (void)evbuffer_add(out, bytes, size);
    if (call->is_chunking) {
        (void)evbuffer_add(out, "\r\n", 2);
    }
    if (CaroCall_Pending(call) > WRITE_LOW &&
        !event_pending(call->timer, EV_TIMEOUT, NULL)) {
        set_timer(call, call->front->limits.write_timeout);
    }
}

void
CaroCall_End(CaroCall *call)
{
    if (call->is_chunking) {
        (void)evbuffer_add(bufferevent_get_output(call->bev), "0\r\n\r\n", 5);
    }
    end_answer(call);
}

void
CaroCall_Break(CaroCall *call)
{
    call->is_last = true;
    end_answer(call);
}

size_t
CaroCall_Pending(const CaroCall *call)
{
    return evbuffer_get_length(bufferevent_get_output(call->bev));
}
