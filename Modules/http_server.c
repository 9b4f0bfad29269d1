/*
 * The HTTP server for callers' requests.
 *
 * A connection carries one request at a time; bytes that follow it stay in
 * the input buffer, whose size is limited, until the response has been written
 * to the socket.  What all connections hold is limited as well: beyond that
 * CaroHeldBytes chooses which is closed.
 * A connection that is to be closed is first shut down for writing and read
 * for a short time, because closing a socket with unread input resets the
 * connection, and the caller could lose the response.
 */
#include "internal/caro_http_server.h"

#include "internal/caro_clock.h"
#include "internal/caro_http.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

enum {
    LISTEN_BACKLOG = 512,
    READ_AHEAD_MAX = 16384, /* Input bytes buffered after a request. */
    /* Bytes of responses that the system keeps besides those in flight. */
    SYSTEM_UNSENT_MAX = 65536,
    /* Unsent bytes of a response above which write_timeout runs. */
    WRITE_TIMED_BYTES_MIN = 16384
};
/* Time for the peer to close after the last byte was sent. */
#define LINGER_TIMEOUT (1 * CARO_SECOND)
/* Callers go by an idle limit for this long after it was lowered. */
#define IDLE_LIMIT_TTL (30 * CARO_SECOND)
/* A timeout is put off by this for bytes that have arrived and not been
   read; the next iteration of the loop reads them. */
#define UNREAD_DELAY (10 * CARO_MS)

typedef enum {
    CALL_IDLE,       /* No byte of the next request has been read. */
    CALL_HEAD,       /* A part of the head has been read. */
    CALL_BODY,       /* The head and a part of the body have been read. */
    CALL_RUNNING,    /* The handler has the request. */
    CALL_RESPONDING, /* The response has begun. */
    CALL_FLUSHING,   /* The response has ended and is being written. */
    CALL_LINGERING   /* Shut down for writing; input is discarded. */
} CallState;

/* A caller's connection, with the request that is on it. */
struct CaroCall {
    CaroHttpServer *server;
    CaroCall *next;
    CaroCall *prev;
    struct bufferevent *bev;
    struct event *timer;
    CaroHttpReader *reader;
    struct evbuffer *body;
    CaroHandle held;      /* In the server's table of held bytes. */
    size_t counted_bytes; /* Bytes of the body in the server's body_bytes. */
    CallState state;
    bool is_chunked_response; /* The response is sent in chunks. */
    bool is_unframed;         /* It ends with the connection (HTTP/1.0). */
    bool closes_connection;   /* The connection ends with the response. */
    bool is_reading;          /* read_request is on the stack. */
    bool is_put_off;          /* The timeout has been put off once. */
    bool is_reset;            /* The timer closes the connection by a reset. */
    bool has_sent;            /* Bytes were sent since the timer was set. */
    int queued;               /* Bytes in the socket when it was set. */
    CaroTime idle_since;
    char peer[CARO_ADDRESS_SIZE];
    void *owner;
    void (*on_closed)(void *context); /* See CaroCall_SetCloseHandler. */
    void *closed_context;
};

struct CaroHttpServer {
    struct event_base *base;
    struct evconnlistener *listener;
    CaroHttpServerLimits limits;
    CaroTime longer_idle_timeout; /* Before it was lowered. */
    CaroTime longer_idle_until;   /* End of its use. */
    const CaroHttpServerHandlers *handlers;
    void *context;
    CaroCall *calls; /* All connections. */
    int n_connections;
    size_t body_bytes; /* Size of all request bodies in memory. */
    CaroHeldBytes *held;
    struct event *shed_event; /* Active when too much is held. */
    bool closes_after_responses;
};

static void read_request(CaroCall *c);

static bool
is_handed_over(const CaroCall *c)
{
    return c->state == CALL_RUNNING || c->state == CALL_RESPONDING;
}

static bool
has_unsent_bytes(const CaroCall *c)
{
    return evbuffer_get_length(bufferevent_get_output(c->bev)) > 0;
}

static void
drain_body(CaroCall *c)
{
    evbuffer_drain(c->body, evbuffer_get_length(c->body));
    c->server->body_bytes -= c->counted_bytes;
    c->counted_bytes = 0;
}

static void
destroy_call(CaroCall *c)
{
    CaroHttpServer *s = c->server;
    drain_body(c);
    if (c->prev != NULL) {
        c->prev->next = c->next;
    }
    else {
        s->calls = c->next;
    }
    if (c->next != NULL) {
        c->next->prev = c->prev;
    }
    s->n_connections--;
    CaroHeldBytes_Close(s->held, c->held);
    c->held = CARO_NO_HANDLE;
    event_free(c->timer);
    if (c->is_unframed &&
        (c->state == CALL_RESPONDING || c->is_reset || has_unsent_bytes(c))) {
        /* The end of the connection would be the end of the body. */
        const struct linger no_linger = {.l_onoff = 1, .l_linger = 0};
        (void)setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER,
                         &no_linger, sizeof(no_linger));
    }
    /* A bufferevent closes its descriptor in a later turn of the loop, and
       not at all when there is none before the exit. */
    evutil_socket_t fd = bufferevent_getfd(c->bev);
    (void)bufferevent_setfd(c->bev, -1);
    bufferevent_free(c->bev);
    evutil_closesocket(fd);
    CaroHttpReader_Destroy(c->reader);
    evbuffer_free(c->body);
    free(c);
}

/* A part of a request has been read, or its response has not been sent. */
static bool
is_busy(const CaroCall *c)
{
    bool is_done = c->state == CALL_IDLE || c->state == CALL_LINGERING;
    return !is_done || has_unsent_bytes(c);
}

static void
report_disconnected(CaroCall *c)
{
    if (c->on_closed != NULL) {
        c->on_closed(c->closed_context);
    }
    else if (c->server->handlers->on_disconnected != NULL) {
        c->server->handlers->on_disconnected(c->server->context, c);
    }
}

static void
report_cut(const CaroCall *c, const char *reason)
{
    const CaroHttpServer *s = c->server;
    if (is_busy(c) && s->handlers->on_cut != NULL) {
        s->handlers->on_cut(s->context, c->peer, CaroCall_PendingBytes(c),
                            reason);
    }
}

/* Closes a connection of a caller that has not left. */
static void
close_call(CaroCall *c, const char *reason)
{
    report_cut(c, reason);
    if (is_handed_over(c)) {
        report_disconnected(c);
    }
    destroy_call(c);
}

static void
set_timer(CaroCall *c, CaroTime wait)
{
    struct timeval t = {.tv_sec = wait / CARO_SECOND,
                        .tv_usec = wait % CARO_SECOND};
    (void)event_add(c->timer, &t);
}

/* The bytes that were written to the socket and that the caller's system has
   not acknowledged. */
static int
count_queued(const CaroCall *c)
{
    int n = 0;
    return ioctl(bufferevent_getfd(c->bev), SIOCOUTQ, &n) < 0 ? 0 : n;
}

/* Starts the timeout of a caller that has to accept bytes. */
static void
set_write_timer(CaroCall *c)
{
    c->has_sent = false;
    c->queued = count_queued(c);
    set_timer(c, c->server->limits.write_timeout);
}

static CaroTime
idle_timeout(const CaroHttpServer *s, CaroTime now)
{
    return now < s->longer_idle_until &&
                   s->longer_idle_timeout > s->limits.idle_timeout
               ? s->longer_idle_timeout
               : s->limits.idle_timeout;
}

/* Enters the state and starts its timeout; CALL_BODY is entered again with
   each part of a body. */
static void
enter_state(CaroCall *c, CallState state)
{
    const CaroHttpServerLimits *l = &c->server->limits;
    c->state = state;
    c->is_put_off = false;
    switch (state) {
    case CALL_IDLE:
        c->idle_since = CaroClock_Now();
        set_timer(c, idle_timeout(c->server, c->idle_since));
        break;
    case CALL_HEAD:
    case CALL_BODY:
        set_timer(c, l->head_timeout);
        break;
    case CALL_RUNNING:
    case CALL_RESPONDING:
        (void)event_del(c->timer);
        break;
    case CALL_FLUSHING:
        set_write_timer(c);
        break;
    case CALL_LINGERING:
        set_timer(c, LINGER_TIMEOUT);
        break;
    }
}

static void
begin_linger(CaroCall *c)
{
    c->idle_since = CaroClock_Now();
    enter_state(c, CALL_LINGERING);
    (void)shutdown(bufferevent_getfd(c->bev), SHUT_WR);
    struct evbuffer *in = bufferevent_get_input(c->bev);
    evbuffer_drain(in, evbuffer_get_length(in));
}

/* Goes on once the whole response has been written: begins to close, or waits
   for the next request. */
static void
finish_flush(CaroCall *c)
{
    if (c->closes_connection) {
        begin_linger(c);
        return;
    }
    enter_state(c, CALL_IDLE);
    if (!c->is_reading) {
        /* The next request is not handled within the call that ends the
           response to this one. */
        bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }
}

/* The whole response is in the output buffer. */
static void
end_response(CaroCall *c)
{
    c->owner = NULL;
    c->on_closed = NULL;
    drain_body(c);
    if (has_unsent_bytes(c)) {
        enter_state(c, CALL_FLUSHING);
        return;
    }
    finish_flush(c);
}

static const char *
status_text(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 413:
        return "Content Too Large";
    case 417:
        return "Expectation Failed";
    case 422:
        return "Unprocessable Content";
    case 428:
        return "Precondition Required";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
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
    if (c->server->closes_after_responses) {
        c->closes_connection = true;
    }
    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                        status_text(status));
    if (headers != NULL) {
        evbuffer_add_buffer(out, headers);
    }
    if (c->closes_connection) {
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
}

/* Refuses a request before it has been read completely, and closes. */
static void
refuse(CaroCall *c, int status, const char *reason)
{
    CaroHttpServer *s = c->server;
    s->handlers->on_refused(s->context, c->peer, status, reason);
    c->closes_connection = true;
    write_head(c, status, NULL);
    if (status == 503) { /* Memory is freed as other requests end. */
        evbuffer_add_printf(bufferevent_get_output(c->bev),
                            "Retry-After: 0.2\r\n");
    }
    evbuffer_add_printf(bufferevent_get_output(c->bev),
                        "Content-Length: 0\r\n\r\n");
    drain_body(c);
    enter_state(c, CALL_FLUSHING);
}

static void
accept_head(CaroCall *c)
{
    const CaroHttpHead *head = CaroHttpReader_Head(c->reader);
    const CaroHttpServerLimits *l = &c->server->limits;
    c->closes_connection = !head->is_persistent;
    if (head->length > 0 && (size_t)head->length > l->body_bytes_max) {
        refuse(c, 413, "request body too large");
        return;
    }
    CaroText expectation = CaroHttpHead_Find(head, "expect");
    bool is_continue = CaroText_EqualsIgnoreCase(expectation, "100-continue");
    if (expectation.at != NULL && !is_continue) {
        CaroHttpFault_Record(CARO_HTTP_REQUEST, CARO_HTTP_FAULT_EXPECTATION);
        refuse(c, 417, CaroHttpFault_Text(CARO_HTTP_FAULT_EXPECTATION));
        return;
    }
    if (is_continue && head->minor_version > 0) {
        evbuffer_add_printf(bufferevent_get_output(c->bev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    enter_state(c, CALL_BODY);
}

static void
accept_body(CaroCall *c, CaroText bytes)
{
    CaroHttpServer *s = c->server;
    if (evbuffer_get_length(c->body) + bytes.size > s->limits.body_bytes_max) {
        refuse(c, 413, "request body too large");
        return;
    }
    if (s->body_bytes + bytes.size > s->limits.all_bytes_max) {
        refuse(c, 503, "limit of buffered request bodies reached");
        return;
    }
    (void)evbuffer_add(c->body, bytes.at, bytes.size);
    c->counted_bytes += bytes.size;
    s->body_bytes += bytes.size;
    enter_state(c, CALL_BODY);
}

static int
status_of_error(int code)
{
    return code == CARO_ERR_FULL ? 431 : code == CARO_ERR_NOMEM ? 503 : 400;
}

/* Reads until a request is complete or the input is used up. */
static void
read_request(CaroCall *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    c->is_reading = true;
    while (c->state <= CALL_BODY) {
        CaroHttpPiece piece;
        int code = CaroHttpReader_Next(c->reader, in, &piece);
        if (code < 0) {
            refuse(c, status_of_error(code), CaroHttpReader_Reason(c->reader));
            break;
        }
        if (piece.kind == CARO_PIECE_NONE) {
            if (c->state == CALL_IDLE && evbuffer_get_length(in) > 0) {
                enter_state(c, CALL_HEAD);
            }
            break;
        }
        if (piece.kind == CARO_PIECE_HEAD) {
            accept_head(c);
        }
        else if (piece.kind == CARO_PIECE_BODY) {
            accept_body(c, piece.body);
        }
        else {
            enter_state(c, CALL_RUNNING);
            c->server->handlers->on_request(c->server->context, c);
        }
    }
    c->is_reading = false;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    CaroCall *c = arg;
    if ((c->state == CALL_FLUSHING && c->closes_connection) ||
        c->state == CALL_LINGERING) {
        struct evbuffer *in = bufferevent_get_input(bev);
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    read_request(c);
}

static void
on_write(struct bufferevent *bev, void *arg)
{
    (void)bev;
    CaroCall *c = arg;
    if (c->state == CALL_FLUSHING && !has_unsent_bytes(c)) {
        finish_flush(c);
    }
    else if (c->state == CALL_RESPONDING) {
        (void)event_del(c->timer);
        if (c->server->handlers->on_drained != NULL) {
            c->server->handlers->on_drained(c->server->context, c);
        }
    }
}

/* Counts what the input, the body and the output of a connection hold. */
static void
on_buffer_changed(struct evbuffer *buffer,
                  const struct evbuffer_cb_info *change, void *arg)
{
    (void)buffer;
    CaroCall *c = arg;
    CaroHttpServer *s = c->server;
    if (c->held == CARO_NO_HANDLE) {
        return;
    }
    CaroHeldBytes_Add(s->held, c->held,
                      (ptrdiff_t)change->n_added -
                          (ptrdiff_t)change->n_deleted);
    if (CaroHeldBytes_IsExceeded(s->held)) {
        event_active(s->shed_event, EV_TIMEOUT, 0);
    }
}

static void
on_output_changed(struct evbuffer *output,
                  const struct evbuffer_cb_info *change, void *arg)
{
    CaroCall *c = arg;
    c->has_sent |= change->n_deleted > 0;
    on_buffer_changed(output, change, arg);
}

/* Releases what a connection holds: a request that is still arriving is
   refused, so that its caller knows that it did not run; any other connection
   is closed. */
static void
shed(CaroCall *c)
{
    CaroHttpServer *s = c->server;
    s->handlers->on_shed(s->context, c->peer,
                         CaroHeldBytes_OfConnection(s->held, c->held));
    if ((c->state == CALL_HEAD || c->state == CALL_BODY) &&
        !has_unsent_bytes(c)) {
        struct evbuffer *in = bufferevent_get_input(c->bev);
        refuse(c, 503, "limit of bytes held for callers reached");
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    close_call(c, "limit of bytes held for callers reached");
}

/* Runs from the loop, because the bytes are added within calls for a
   connection that may be the one to close. */
static void
on_shed_event(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroHttpServer *s = arg;
    while (CaroHeldBytes_IsExceeded(s->held)) {
        CaroHandle chosen = CaroHeldBytes_Choose(s->held);
        CaroCall *c = s->calls;
        while (c != NULL && c->held != chosen) {
            c = c->next;
        }
        if (c == NULL) {
            return;
        }
        shed(c);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    (void)what;
    CaroCall *c = arg;
    if (is_handed_over(c)) {
        report_disconnected(c);
    }
    destroy_call(c);
}

/* Bytes of the caller have arrived that read_request has not seen.  A timer
   may run before the read callback of the same iteration, which is deferred,
   and after a stall before the socket was read at all. */
static bool
has_unread_bytes(const CaroCall *c)
{
    char byte;
    return evbuffer_get_length(bufferevent_get_input(c->bev)) > 0 ||
           recv(bufferevent_getfd(c->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >
               0;
}

/* Sets the timer anew when the timeout was not reached.  Timers are not moved
   with each byte that is sent or with each change of the limits. */
static bool
extend_timeout(CaroCall *c)
{
    const CaroHttpServer *s = c->server;
    CaroTime now = CaroClock_Now();
    bool is_sending = c->state == CALL_RESPONDING || c->state == CALL_FLUSHING;
    /* The system takes more bytes only when many have left, which a caller
       that reads slowly does not reach within the timeout. */
    if (is_sending && (c->has_sent || count_queued(c) < c->queued)) {
        set_write_timer(c);
        return true;
    }
    if (c->state == CALL_IDLE) {
        CaroTime end = c->idle_since + idle_timeout(s, now);
        if (now < end) {
            set_timer(c, end - now);
            return true;
        }
    }
    if (c->state <= CALL_BODY && !c->is_put_off && has_unread_bytes(c)) {
        c->is_put_off = true;
        set_timer(c, UNREAD_DELAY);
        return true;
    }
    return false;
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroCall *c = arg;
    if (c->is_reset) {
        destroy_call(c);
        return;
    }
    if (extend_timeout(c)) {
        return;
    }
    if (c->state == CALL_HEAD || c->state == CALL_BODY) {
        refuse(c, 408, "timeout while reading the request");
        return;
    }
    close_call(c, "timeout while sending the response");
}

static CaroCall *
find_longest_idle(const CaroHttpServer *s)
{
    CaroCall *oldest = NULL;
    for (CaroCall *c = s->calls; c != NULL; c = c->next) {
        if (!is_busy(c) &&
            (oldest == NULL || c->idle_since < oldest->idle_since)) {
            oldest = c;
        }
    }
    return oldest;
}

/* Closes the connection that has been idle for the longest time and on which
   no request waits to be read.  Returns false when there is none. */
static bool
evict_idle(CaroHttpServer *s)
{
    CaroTime now = CaroClock_Now();
    CaroCall *c = find_longest_idle(s);
    while (c != NULL && c->state == CALL_IDLE && c->idle_since < now &&
           has_unread_bytes(c)) {
        c->idle_since = now;
        c = find_longest_idle(s);
    }
    if (c == NULL || (c->state == CALL_IDLE && has_unread_bytes(c))) {
        return false;
    }
    destroy_call(c);
    return true;
}

static CaroCall *
create_call(CaroHttpServer *s, evutil_socket_t fd)
{
    CaroCall *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->server = s;
    c->reader = CaroHttpReader_Create(true);
    c->body = evbuffer_new();
    c->timer = event_new(s->base, -1, 0, on_timer, c);
    c->bev = bufferevent_socket_new(
        s->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    c->held = CaroHeldBytes_Open(s->held, CaroClock_Now());
    if (c->reader == NULL || c->body == NULL || c->timer == NULL ||
        c->bev == NULL || c->held == CARO_NO_HANDLE) {
        goto error;
    }
    CaroHttpReader_SetHeadMax(c->reader, s->limits.head_bytes_max);
    return c;
error:
    if (c->held != CARO_NO_HANDLE) {
        CaroHeldBytes_Close(s->held, c->held);
    }
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
    CaroHttpServer *s = arg;
    char host[INET_ADDRSTRLEN] = "";
    struct sockaddr_in *in = (struct sockaddr_in *)from;
    (void)inet_ntop(AF_INET, &in->sin_addr, host, sizeof(host));
    bool is_full =
        s->n_connections >= s->limits.connections_max && !evict_idle(s);
    CaroCall *c = is_full ? NULL : create_call(s, fd);
    if (c == NULL) {
        s->handlers->on_refused(s->context, host, 0,
                                "no resources for another connection");
        evutil_closesocket(fd);
        return;
    }
    (void)snprintf(c->peer, sizeof(c->peer), "%s:%u", host,
                   ntohs(in->sin_port));
    CaroHttpReader_SetPeer(c->reader, c->peer);
    int enabled = 1;
    int unsent_max = SYSTEM_UNSENT_MAX;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_max,
                     sizeof(unsent_max));
    c->next = s->calls;
    if (s->calls != NULL) {
        s->calls->prev = c;
    }
    s->calls = c;
    s->n_connections++;
    bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
    (void)evbuffer_add_cb(bufferevent_get_output(c->bev), on_output_changed,
                          c);
    (void)evbuffer_add_cb(bufferevent_get_input(c->bev), on_buffer_changed, c);
    (void)evbuffer_add_cb(c->body, on_buffer_changed, c);
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
                            "the address is not of the form ip:port");
        return NULL;
    }
    at.sin_port = htons(port);
    CaroHttpServer *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "listen", address,
                            "no memory");
        return NULL;
    }
    s->base = base;
    s->limits = *limits;
    s->handlers = handlers;
    s->context = context;
    s->held = CaroHeldBytes_Create(limits->held_bytes_max);
    s->shed_event = event_new(base, -1, 0, on_shed_event, s);
    if (s->held == NULL || s->shed_event == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "listen", address,
                            "no memory");
        CaroHttpServer_Destroy(s);
        return NULL;
    }
    s->listener = evconnlistener_new_bind(
        base, on_accept, s, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        LISTEN_BACKLOG, (struct sockaddr *)&at, sizeof(at));
    if (s->listener == NULL) {
        (void)CaroError_Set(
            err, CARO_ERR_IO, "listen", address,
            "the address is in use or not an address of this VM");
        CaroHttpServer_Destroy(s);
        return NULL;
    }
    return s;
}

void
CaroHttpServer_Destroy(CaroHttpServer *s)
{
    if (s == NULL) {
        return;
    }
    while (s->calls != NULL) {
        CaroCall *c = s->calls;
        report_cut(c, "the server was destroyed");
        destroy_call(c);
    }
    if (s->listener != NULL) {
        evconnlistener_free(s->listener);
    }
    if (s->shed_event != NULL) {
        event_free(s->shed_event);
    }
    CaroHeldBytes_Destroy(s->held);
    free(s);
}

void
CaroHttpServer_SetLimits(CaroHttpServer *s, const CaroHttpServerLimits *limits)
{
    CaroTime now = CaroClock_Now();
    CaroTime idle = idle_timeout(s, now);
    if (idle > limits->idle_timeout) {
        s->longer_idle_timeout = idle;
        s->longer_idle_until = now + IDLE_LIMIT_TTL;
    }
    s->limits = *limits;
    CaroHeldBytes_SetMax(s->held, limits->held_bytes_max);
    for (CaroCall *c = s->calls; c != NULL; c = c->next) {
        CaroHttpReader_SetHeadMax(c->reader, limits->head_bytes_max);
    }
}

void
CaroHttpServer_CloseAfterResponses(CaroHttpServer *s)
{
    s->closes_after_responses = true;
}

void
CaroHttpServer_CloseIdle(CaroHttpServer *s)
{
    CaroCall *next;
    if (s->listener != NULL) {
        evconnlistener_free(s->listener);
        s->listener = NULL;
    }
    for (CaroCall *c = s->calls; c != NULL; c = next) {
        next = c->next;
        if (c->state == CALL_IDLE && !is_busy(c) && !has_unread_bytes(c)) {
            destroy_call(c);
        }
    }
}

const CaroHeldBytes *
CaroHttpServer_HeldBytes(const CaroHttpServer *s)
{
    return s->held;
}

int
CaroHttpServer_CountConnections(const CaroHttpServer *s)
{
    return s->n_connections;
}

int
CaroHttpServer_CountCalls(const CaroHttpServer *s)
{
    int n = 0;
    for (const CaroCall *c = s->calls; c != NULL; c = c->next) {
        n += is_busy(c);
    }
    return n;
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
CaroCall_SetAccount(CaroCall *call, const char *account)
{
    CaroHeldBytes_SetAccount(call->server->held, call->held, account);
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
CaroCall_SetCloseHandler(CaroCall *call, void (*on_closed)(void *context),
                         void *context)
{
    call->on_closed = on_closed;
    call->closed_context = context;
}

void
CaroCall_Respond(CaroCall *call, int status, struct evbuffer *headers,
                 struct evbuffer *body)
{
    struct evbuffer *out = bufferevent_get_output(call->bev);
    size_t size = body == NULL ? 0 : evbuffer_get_length(body);
    bool is_head = CaroText_Equals(CaroCall_Head(call)->method, "HEAD");
    /* A length that is not known is not stated where no body follows
       (RFC 9110, section 8.6). */
    bool has_no_length = status < 200 || status == 204 ||
                         (size == 0 && (is_head || status == 304));
    write_head(call, status, headers);
    if (!has_no_length) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n", size);
    }
    (void)evbuffer_add(out, "\r\n", 2);
    if (body != NULL && !is_head) {
        evbuffer_add_buffer(out, body);
    }
    end_response(call);
}

void
CaroCall_BeginResponse(CaroCall *call, int status, struct evbuffer *headers)
{
    struct evbuffer *out = bufferevent_get_output(call->bev);
    /* HTTP/1.0 has no chunks: the end of the connection ends the body. */
    call->is_chunked_response = CaroCall_Head(call)->minor_version > 0;
    call->is_unframed = !call->is_chunked_response;
    call->closes_connection = call->closes_connection || call->is_unframed;
    write_head(call, status, headers);
    evbuffer_add_printf(out, call->is_chunked_response
                                 ? "Transfer-Encoding: chunked\r\n\r\n"
                                 : "\r\n");
    enter_state(call, CALL_RESPONDING);
}

void
CaroCall_SendBody(CaroCall *call, const char *bytes, size_t size)
{
    struct evbuffer *out = bufferevent_get_output(call->bev);
    if (size == 0) {
        return; /* An empty chunk would end the body. */
    }
    if (call->is_chunked_response) {
        evbuffer_add_printf(out, "%zx\r\n", size);
    }
    (void)evbuffer_add(out, bytes, size);
    if (call->is_chunked_response) {
        (void)evbuffer_add(out, "\r\n", 2);
    }
    if (CaroCall_PendingBytes(call) > WRITE_TIMED_BYTES_MIN &&
        !event_pending(call->timer, EV_TIMEOUT, NULL)) {
        set_write_timer(call);
    }
}

void
CaroCall_EndResponse(CaroCall *call)
{
    if (call->is_chunked_response) {
        (void)evbuffer_add(bufferevent_get_output(call->bev), "0\r\n\r\n", 5);
    }
    end_response(call);
}

/* Closes the connection in the next turn of the loop, by a reset where its end
   would be the end of the response. */
static void
close_soon(CaroCall *c)
{
    (void)bufferevent_disable(c->bev, EV_READ | EV_WRITE);
    c->owner = NULL;
    c->on_closed = NULL;
    drain_body(c);
    enter_state(c, CALL_LINGERING);
    c->is_reset = true;
    set_timer(c, 0);
}

void
CaroCall_AbortResponse(CaroCall *call)
{
    if (call->is_unframed) {
        close_soon(call);
        return;
    }
    call->closes_connection = true;
    end_response(call);
}

void
CaroCall_Close(CaroCall *call)
{
    close_soon(call);
}

size_t
CaroCall_PendingBytes(const CaroCall *call)
{
    return evbuffer_get_length(bufferevent_get_output(call->bev));
}
