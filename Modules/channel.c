/* A persistent HTTP connection to an upstream. */
#include "internal/caro_channel.h"

#include "caro_error.h"
#include "caro_peer.h"
#include "internal/caro_http.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Bytes of a response that are read ahead of its receiver. */
#define READ_AHEAD_MAX 65536
#define IDLE_TIMEOUT_MAX_S 86400
#define INTERIM_RESPONSES_MAX 16 /* Ignored before a response. */

typedef enum {
    CHANNEL_CONNECTING,
    CHANNEL_IDLE,
    CHANNEL_BUSY,  /* A request is in progress. */
    CHANNEL_PARKED /* See CaroChannel_Park. */
} ChannelState;

struct CaroChannel {
    char address[CARO_ADDRESS_SIZE]; /* Of the peer. */
    struct bufferevent *bev;
    CaroHttpReader *reader;
    ChannelState state;
    bool is_connected; /* As libevent or the gate has reported. */
    CaroChannelPath path;
    bool is_tunneled;
    /* Of a tunnel: the request until the gate has connected, and the bytes of
       the upstream without frames; NULL otherwise. */
    struct evbuffer *held;
    struct evbuffer *unframed;
    size_t request_size;        /* Bytes of the request. */
    bool has_request;           /* A request is in progress. */
    bool is_reusable;           /* See CaroChannel_IsReusable. */
    bool is_closed_by_upstream; /* See CaroChannel_IsClosedByUpstream. */
    bool is_destroyed;  /* To be freed when the callbacks have returned. */
    int callback_depth; /* Callbacks that are running. */
    int n_interim;      /* Interim responses to the request. */
    const CaroChannelEvents *events;
    void *context;
    void (*on_idle_closed)(void *context, CaroChannel *c);
    CaroTime parked_at;
    CaroTime idle_timeout; /* Announced by the peer; 0 for none. */
};

static void
free_channel(CaroChannel *c)
{
    bufferevent_free(c->bev);
    CaroHttpReader_Destroy(c->reader);
    if (c->held != NULL) {
        evbuffer_free(c->held);
    }
    if (c->unframed != NULL) {
        evbuffer_free(c->unframed);
    }
    free(c);
}

/* The bytes of the upstream. */
static struct evbuffer *
input_of(const CaroChannel *c)
{
    return c->is_tunneled ? c->unframed : bufferevent_get_input(c->bev);
}

static bool
report_outcome(const CaroChannel *c, CaroConnectOutcome outcome)
{
    return c->path.on_outcome == NULL ||
           c->path.on_outcome(c->path.context, c->path.upstream, c->path.vm,
                              outcome);
}

/* Callbacks may destroy the channel; it is freed when the last returns. */
static void
begin_callback(CaroChannel *c)
{
    c->callback_depth++;
}

static void
end_callback(CaroChannel *c)
{
    c->callback_depth--;
    if (c->callback_depth == 0 && c->is_destroyed) {
        free_channel(c);
    }
}

static void
report_failure(CaroChannel *c, int code, const char *reason)
{
    begin_callback(c);
    if (c->state == CHANNEL_PARKED) {
        c->on_idle_closed(c->context, c);
    }
    else if (c->has_request) {
        c->has_request = false;
        c->is_reusable = false;
        c->events->on_failure(c->context, code, reason);
    }
    end_callback(c);
}

static void
finish_response(CaroChannel *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    struct evbuffer *out = bufferevent_get_output(c->bev);
    const CaroHttpHead *head = CaroHttpReader_Head(c->reader);
    c->is_reusable = head->is_persistent && evbuffer_get_length(in) == 0 &&
                     evbuffer_get_length(input_of(c)) == 0 &&
                     evbuffer_get_length(out) == 0;
    c->has_request = false;
    c->state = CHANNEL_IDLE;
    c->events->on_end(c->context);
}

/* Reads the header "Keep-Alive: timeout=N". */
static void
read_idle_timeout(CaroChannel *c, const CaroHttpHead *head)
{
    CaroText value = CaroHttpHead_Find(head, "keep-alive");
    static const char parameter[] = "timeout=";
    size_t skip = sizeof(parameter) - 1;
    for (size_t i = 0; i + skip < value.size; i++) {
        if (strncasecmp(value.at + i, parameter, skip) == 0) {
            long seconds = strtol(value.at + i + skip, NULL, 10);
            c->idle_timeout =
                (seconds < IDLE_TIMEOUT_MAX_S ? seconds : IDLE_TIMEOUT_MAX_S) *
                CARO_SECOND;
            return;
        }
    }
}

static void
read_pieces(CaroChannel *c)
{
    struct evbuffer *in = input_of(c);
    while (!c->is_destroyed && c->has_request) {
        CaroHttpPiece piece;
        if (CaroHttpReader_Next(c->reader, in, &piece) < 0) {
            report_failure(c, CARO_ERR_INPUT,
                           CaroHttpReader_Reason(c->reader));
            return;
        }
        const CaroHttpHead *head = CaroHttpReader_Head(c->reader);
        bool is_interim = head->status >= 100 && head->status < 200;
        switch (piece.kind) {
        case CARO_PIECE_NONE:
            return;
        case CARO_PIECE_HEAD:
            if (!is_interim) {
                read_idle_timeout(c, head);
                c->events->on_head(c->context, head);
            }
            else if (++c->n_interim > INTERIM_RESPONSES_MAX) {
                report_failure(c, CARO_ERR_INPUT,
                               "too many interim responses");
                return;
            }
            break;
        case CARO_PIECE_BODY:
            c->events->on_body(c->context, piece.body);
            break;
        case CARO_PIECE_END:
            if (!is_interim) {
                finish_response(c);
            }
            break;
        }
    }
}

/* A write that takes a reset leaves an end to the read after it, and both may
   be reported at once. */
static bool
is_end(short what)
{
    return (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == BEV_EVENT_EOF;
}

static void
handle_close(CaroChannel *c, short what)
{
    begin_callback(c);
    if (c->state != CHANNEL_PARKED) {
        read_pieces(c);
    }
    if (c->is_destroyed) {
        end_callback(c);
        return;
    }
    c->is_reusable = false;
    bool is_complete = is_end(what) && c->has_request &&
                       CaroHttpReader_IsInMessage(c->reader) &&
                       CaroHttpReader_Finish(c->reader) == 0;
    if (is_complete) {
        read_pieces(c);
    }
    else {
        report_failure(c, CARO_ERR_IO,
                       is_end(what) ? "the upstream closed the connection"
                                    : "the connection broke");
    }
    end_callback(c);
}

/* Reads the outcome of the gate's connection. */
static void
read_tunnel_status(CaroChannel *c)
{
    unsigned char status = 0;
    (void)bufferevent_read(c->bev, &status, 1);
    switch (status) {
    case CARO_TUNNEL_OPEN:
        c->is_connected = true;
        bufferevent_set_timeouts(c->bev, NULL, NULL);
        c->state = c->has_request ? CHANNEL_BUSY : CHANNEL_IDLE;
        (void)bufferevent_write_buffer(c->bev, c->held);
        (void)report_outcome(c, CARO_CONNECT_DONE);
        break;
    case CARO_TUNNEL_REFUSED:
        report_failure(c,
                       report_outcome(c, CARO_CONNECT_REFUSED)
                           ? CARO_ERR_NOT_FOUND
                           : CARO_ERR_STATE,
                       "connection refused, through a gate");
        break;
    case CARO_TUNNEL_TIMED_OUT:
        report_failure(c,
                       report_outcome(c, CARO_CONNECT_TIMED_OUT)
                           ? CARO_ERR_TIMEOUT
                           : CARO_ERR_STATE,
                       "connect timeout, through a gate");
        break;
    case CARO_TUNNEL_UNABLE:
        (void)report_outcome(c, CARO_CONNECT_GATE_UNABLE);
        report_failure(c, CARO_ERR_STATE, "the gate is unable");
        break;
    default:
        (void)report_outcome(c, CARO_CONNECT_GATE_LOST);
        report_failure(c, CARO_ERR_STATE, "the gate sent no status");
        break;
    }
}

/* Moves the bytes of complete frames.  Returns the event that a frame without
   bytes stands for; 0 for none. */
static short
read_frames(CaroChannel *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    uint16_t size;
    while (evbuffer_copyout(in, &size, sizeof(size)) == sizeof(size)) {
        size = ntohs(size);
        if (size == 0 || size > CARO_TUNNEL_FRAME_MAX) {
            evbuffer_drain(in, evbuffer_get_length(in));
            return size == 0 ? BEV_EVENT_EOF : BEV_EVENT_ERROR;
        }
        if (evbuffer_get_length(in) < sizeof(size) + size) {
            return 0;
        }
        evbuffer_drain(in, sizeof(size));
        (void)evbuffer_remove_buffer(in, c->unframed, size);
    }
    return 0;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    CaroChannel *c = arg;
    short event = 0;
    (void)bev;
    if (c->state == CHANNEL_PARKED) {
        report_failure(c, CARO_ERR_INPUT,
                       "unsolicited bytes on an idle connection");
        return;
    }
    begin_callback(c);
    if (!c->is_connected && c->is_tunneled) {
        read_tunnel_status(c);
    }
    if (c->is_tunneled && !c->is_destroyed && c->is_connected) {
        event = read_frames(c);
    }
    read_pieces(c);
    if (!c->is_destroyed && !c->has_request &&
        evbuffer_get_length(input_of(c)) > 0) {
        c->is_reusable = false;
    }
    if (!c->is_destroyed && event != 0) {
        c->is_closed_by_upstream = true;
        handle_close(c, event);
    }
    end_callback(c);
}

static void
set_options(struct bufferevent *bev)
{
    int fd = bufferevent_getfd(bev);
    int on = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    CaroHttp_DetectDeadPeer(fd);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    CaroChannel *c = arg;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        set_options(bev);
        if (c->is_tunneled) {
            return; /* The gate has yet to connect. */
        }
        c->is_connected = true;
        bufferevent_set_timeouts(bev, NULL, NULL);
        c->state = c->has_request ? CHANNEL_BUSY : CHANNEL_IDLE;
        (void)report_outcome(c, CARO_CONNECT_DONE);
        return;
    }
    if (!c->is_connected && c->is_tunneled) {
        (void)report_outcome(c, CARO_CONNECT_GATE_LOST);
        report_failure(c, CARO_ERR_STATE, "no connection to the gate");
        return;
    }
    if (!c->is_connected) {
        bool is_timeout = (what & BEV_EVENT_TIMEOUT) != 0;
        (void)report_outcome(c, is_timeout ? CARO_CONNECT_TIMED_OUT
                                           : CARO_CONNECT_REFUSED);
        report_failure(c, is_timeout ? CARO_ERR_TIMEOUT : CARO_ERR_NOT_FOUND,
                       is_timeout ? "connect timeout" : "connection refused");
        return;
    }
    /* The system reports a timeout when the link is dead. */
    int error = EVUTIL_SOCKET_ERROR();
    c->is_closed_by_upstream =
        !c->is_tunneled &&
        ((what & BEV_EVENT_EOF) != 0 || error == ECONNRESET || error == EPIPE);
    /* A gate that is killed closes its connections as if all were sent. */
    handle_close(c, c->is_tunneled ? BEV_EVENT_ERROR : what);
}

CaroChannel *
CaroChannel_Open(struct event_base *base, const char *address,
                 CaroTime connect_timeout)
{
    const CaroChannelPath direct = {.gate = NULL};
    return CaroChannel_OpenPath(base, address, connect_timeout, &direct);
}

/* Prepares a tunnel.  Returns false without memory. */
static bool
begin_tunnel(CaroChannel *c)
{
    c->is_tunneled = true;
    c->held = evbuffer_new();
    c->unframed = evbuffer_new();
    return c->held != NULL && c->unframed != NULL &&
           bufferevent_write(c->bev, c->path.hello, c->path.hello_size) == 0;
}

CaroChannel *
CaroChannel_OpenPath(struct event_base *base, const char *address,
                     CaroTime connect_timeout, const CaroChannelPath *path)
{
    const char *peer = path->gate == NULL ? address : path->gate;
    char host[CARO_ADDRESS_SIZE];
    struct sockaddr_in to = {.sin_family = AF_INET};
    uint16_t port;
    if (CaroHttp_SplitAddress(peer, host, &port) < 0 ||
        inet_pton(AF_INET, host, &to.sin_addr) != 1) {
        return NULL;
    }
    to.sin_port = htons(port);
    CaroChannel *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    CARO_COPY(c->address, address);
    c->path = *path;
    c->reader = CaroHttpReader_Create(false);
    c->bev = bufferevent_socket_new(
        base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    if (c->reader != NULL) {
        CaroHttpReader_SetPeer(c->reader, c->address);
    }
    if (c->reader == NULL || c->bev == NULL ||
        (path->gate != NULL && !begin_tunnel(c))) {
        goto error;
    }
    c->path.hello = NULL; /* It was borrowed. */
    c->path.gate = NULL;
    bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
    bufferevent_setwatermark(c->bev, EV_READ, 0, READ_AHEAD_MAX);
    struct timeval timeout = {.tv_sec = connect_timeout / CARO_SECOND,
                              .tv_usec = connect_timeout % CARO_SECOND};
    bufferevent_set_timeouts(c->bev, &timeout, &timeout);
    if (bufferevent_enable(c->bev, EV_READ | EV_WRITE) < 0 ||
        bufferevent_socket_connect(c->bev, (struct sockaddr *)&to,
                                   sizeof(to)) < 0) {
        goto error;
    }
    return c;
error:
    if (c->bev != NULL) {
        bufferevent_free(c->bev);
    }
    CaroHttpReader_Destroy(c->reader);
    if (c->held != NULL) {
        evbuffer_free(c->held);
    }
    if (c->unframed != NULL) {
        evbuffer_free(c->unframed);
    }
    free(c);
    return NULL;
}

void
CaroChannel_Destroy(CaroChannel *c)
{
    if (c == NULL) {
        return;
    }
    if (!c->is_destroyed && c->path.on_closed != NULL) {
        c->path.on_closed(c->path.context, c->path.tunnel);
    }
    c->is_destroyed = true;
    if (c->callback_depth == 0) {
        free_channel(c);
    }
}

void
CaroChannel_Start(CaroChannel *c, struct evbuffer *request, bool is_head,
                  const CaroChannelEvents *events, void *context)
{
    assert(!c->has_request);
    c->events = events;
    c->context = context;
    c->has_request = true;
    c->is_reusable = false;
    c->n_interim = 0;
    c->request_size = evbuffer_get_length(request);
    c->state = c->is_connected ? CHANNEL_BUSY : CHANNEL_CONNECTING;
    CaroHttpReader_SkipBody(c->reader, is_head);
    if (c->is_tunneled && !c->is_connected) {
        (void)evbuffer_add_buffer(c->held, request);
        return;
    }
    (void)bufferevent_write_buffer(c->bev, request);
}

bool
CaroChannel_IsTunneled(const CaroChannel *c)
{
    return c->is_tunneled;
}

bool
CaroChannel_IsSent(const CaroChannel *c)
{
    if (c->is_tunneled) {
        return c->is_connected;
    }
    /* libevent writes as soon as the connection is there, and reports that
       later in the same turn of the loop, behind what other channels read. */
    return c->is_connected ||
           evbuffer_get_length(bufferevent_get_output(c->bev)) <
               c->request_size;
}

bool
CaroChannel_IsClosedByUpstream(const CaroChannel *c)
{
    return c->is_closed_by_upstream;
}

bool
CaroChannel_HasUnread(const CaroChannel *c)
{
    struct pollfd fd = {.fd = bufferevent_getfd(c->bev), .events = POLLIN};
    return c->is_connected &&
           (evbuffer_get_length(bufferevent_get_input(c->bev)) > 0 ||
            evbuffer_get_length(input_of(c)) > 0 || poll(&fd, 1, 0) > 0);
}

void
CaroChannel_Pause(CaroChannel *c, bool is_paused)
{
    if (is_paused) {
        (void)bufferevent_disable(c->bev, EV_READ);
    }
    else {
        (void)bufferevent_enable(c->bev, EV_READ);
    }
}

bool
CaroChannel_IsReusable(const CaroChannel *c)
{
    return c->is_reusable;
}

void
CaroChannel_Park(CaroChannel *c,
                 void (*on_closed)(void *context, CaroChannel *c),
                 void *context, CaroTime now)
{
    c->state = CHANNEL_PARKED;
    c->on_idle_closed = on_closed;
    c->context = context;
    c->parked_at = now;
}

const char *
CaroChannel_Address(const CaroChannel *c)
{
    return c->address;
}

CaroTime
CaroChannel_ParkedAt(const CaroChannel *c)
{
    return c->parked_at;
}

CaroTime
CaroChannel_IdleTimeout(const CaroChannel *c)
{
    return c->idle_timeout;
}
