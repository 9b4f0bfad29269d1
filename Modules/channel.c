/* A connection to an upstream, kept for many requests. */
#include "internal/caro_channel.h"

#include "caro_error.h"
#include "internal/caro_http.h"

#include <arpa/inet.h>
#include <assert.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Bytes read ahead of the reader of an answer. */
#define READ_AHEAD_MAX 65536
/* A dead peer is found within the second that the smallest keep-alive
   interval allows, and the unsent is given up after three. */
#define KEEP_ALIVE_S 1
#define UNSENT_MOST_MS 3000

typedef enum {
    CHANNEL_CONNECTING,
    CHANNEL_IDLE,
    CHANNEL_BUSY,
    CHANNEL_PARKED
} ChannelState;

struct CaroChannel {
    struct bufferevent *bev;
    CaroHttpReader *reader;
    ChannelState state;
    bool is_connected;
    bool is_started;   /* A request was handed over. */
    bool is_clean;     /* The last answer ended well; see IsKeepable. */
    bool is_destroyed; /* Freed when the call-backs have returned. */
    int depth;         /* Call-backs that are running. */
    const CaroChannelEvents *events;
    void *context;
    void (*on_closed)(void *context, CaroChannel *c);
    CaroTime parked_at;
    CaroTime idle_limit;
};

static void
release(CaroChannel *c)
{
    bufferevent_free(c->bev);
    CaroHttpReader_Destroy(c->reader);
    free(c);
}

/* Call-backs may destroy the channel; it stays until the last returns. */
static void
enter(CaroChannel *c)
{
    c->depth++;
}

static void
leave(CaroChannel *c)
{
    c->depth--;
    if (c->depth == 0 && c->is_destroyed) {
        release(c);
    }
}

static void
fail(CaroChannel *c, int code, const char *reason)
{
    enter(c);
    if (c->state == CHANNEL_PARKED) {
        c->on_closed(c->context, c);
    }
    else if (c->is_started) {
        c->is_started = false;
        c->is_clean = false;
        c->events->on_failure(c->context, code, reason);
    }
    leave(c);
}

static void
finish(CaroChannel *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    struct evbuffer *out = bufferevent_get_output(c->bev);
    const CaroHttpHead *head = CaroHttpReader_Head(c->reader);
    c->is_clean = head->is_keepable && evbuffer_get_length(in) == 0 &&
                  evbuffer_get_length(out) == 0;
    c->is_started = false;
    c->state = CHANNEL_IDLE;
    c->events->on_end(c->context);
}

/* "Keep-Alive: timeout=N" */
static void
read_idle_limit(CaroChannel *c, const CaroHttpHead *head)
{
    CaroText value = CaroHttpHead_Find(head, "keep-alive");
    static const char word[] = "timeout=";
    size_t skip = sizeof(word) - 1;
    for (size_t i = 0; i + skip < value.size; i++) {
        if (strncasecmp(value.at + i, word, skip) == 0) {
            c->idle_limit =
                strtol(value.at + i + skip, NULL, 10) * CARO_SECOND;
            return;
        }
    }
}

static void
read_pieces(CaroChannel *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    while (!c->is_destroyed && c->is_started) {
        CaroHttpPiece piece;
        if (CaroHttpReader_Next(c->reader, in, &piece) < 0) {
            fail(c, CARO_ERR_INPUT, CaroHttpReader_Reason(c->reader));
            return;
        }
        const CaroHttpHead *head = CaroHttpReader_Head(c->reader);
        bool is_interim = head->status >= 100 && head->status < 200;
        switch (piece.kind) {
        case CARO_PIECE_NONE:
            return;
        case CARO_PIECE_HEAD:
            if (!is_interim) {
                read_idle_limit(c, head);
                c->events->on_head(c->context, head);
            }
            break;
        case CARO_PIECE_BODY:
            c->events->on_body(c->context, piece.body);
            break;
        case CARO_PIECE_END:
            if (!is_interim) {
                finish(c);
            }
            break;
        }
    }
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    CaroChannel *c = arg;
    if (c->state == CHANNEL_PARKED) {
        fail(c, CARO_ERR_INPUT, "bytes that nobody asked for");
        return;
    }
    enter(c);
    read_pieces(c);
    if (!c->is_destroyed && !c->is_started &&
        evbuffer_get_length(bufferevent_get_input(bev)) > 0) {
        c->is_clean = false;
    }
    leave(c);
}

static void
on_closed(CaroChannel *c, short what)
{
    enter(c);
    if (c->state != CHANNEL_PARKED) {
        read_pieces(c);
    }
    if (c->is_destroyed) {
        leave(c);
        return;
    }
    c->is_clean = false;
    bool is_end = (what & BEV_EVENT_EOF) != 0 && c->is_started &&
                  CaroHttpReader_IsInside(c->reader) &&
                  CaroHttpReader_Finish(c->reader) == 0;
    if (is_end) {
        read_pieces(c);
    }
    else {
        fail(c, CARO_ERR_IO,
             (what & BEV_EVENT_EOF) != 0 ? "the upstream closed"
                                         : "the connection broke");
    }
    leave(c);
}

static void
set_options(struct bufferevent *bev)
{
    int fd = bufferevent_getfd(bev);
    int on = 1;
    int interval = KEEP_ALIVE_S;
    int most = UNSENT_MOST_MS;
    /* Without them the channel still works, only slower to notice. */
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval,
                     sizeof(interval));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
                     sizeof(interval));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &on, sizeof(on));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &most, sizeof(most));
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    CaroChannel *c = arg;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        c->is_connected = true;
        set_options(bev);
        bufferevent_set_timeouts(bev, NULL, NULL);
        c->state = c->is_started ? CHANNEL_BUSY : CHANNEL_IDLE;
        return;
    }
    if (!c->is_connected) {
        bool is_late = (what & BEV_EVENT_TIMEOUT) != 0;
        fail(c, is_late ? CARO_ERR_TIMEOUT : CARO_ERR_NOT_FOUND,
             is_late ? "no connection in time" : "the connection is refused");
        return;
    }
    on_closed(c, what);
}

CaroChannel *
CaroChannel_Open(struct event_base *base, const char *address,
                 CaroTime connect_timeout)
{
    char host[CARO_ADDRESS_SIZE];
    struct sockaddr_in to = {.sin_family = AF_INET};
    uint16_t port;
    if (CaroHttp_SplitAddress(address, host, &port) < 0 ||
        inet_pton(AF_INET, host, &to.sin_addr) != 1) {
        return NULL;
    }
    to.sin_port = htons(port);
    CaroChannel *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->reader = CaroHttpReader_Create(false);
    c->bev = bufferevent_socket_new(
        base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    if (c->reader == NULL || c->bev == NULL) {
        goto error;
    }
    bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
    bufferevent_setwatermark(c->bev, EV_READ, 0, READ_AHEAD_MAX);
    struct timeval most = {.tv_sec = connect_timeout / CARO_SECOND,
                           .tv_usec = connect_timeout % CARO_SECOND};
    bufferevent_set_timeouts(c->bev, &most, &most);
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
    free(c);
    return NULL;
}

void
CaroChannel_Destroy(CaroChannel *c)
{
    if (c == NULL) {
        return;
    }
    c->is_destroyed = true;
    if (c->depth == 0) {
        release(c);
    }
}

void
CaroChannel_Start(CaroChannel *c, struct evbuffer *request, bool is_head,
                  const CaroChannelEvents *events, void *context)
{
    assert(!c->is_started);
    c->events = events;
    c->context = context;
    c->is_started = true;
    c->is_clean = false;
    c->state = c->is_connected ? CHANNEL_BUSY : CHANNEL_CONNECTING;
    CaroHttpReader_SkipBody(c->reader, is_head);
    (void)bufferevent_write_buffer(c->bev, request);
}

bool
CaroChannel_IsSent(const CaroChannel *c)
{
    return c->is_connected;
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
    return c->is_clean;
}

void
CaroChannel_Park(CaroChannel *c, void (*closed)(void *context, CaroChannel *c),
                 void *context, CaroTime now)
{
    c->state = CHANNEL_PARKED;
    c->on_closed = closed;
    c->context = context;
    c->parked_at = now;
}

CaroTime
CaroChannel_ParkedAt(const CaroChannel *c)
{
    return c->parked_at;
}

CaroTime
CaroChannel_IdleLimit(const CaroChannel *c)
{
    return c->idle_limit;
}
