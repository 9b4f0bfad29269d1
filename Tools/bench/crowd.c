/*
 * A crowd of callers that do not behave: each sends requests behind each other
 * and does not read, or reads slowly, or sends the beginning of a request and
 * does nothing more.  A connection that is closed is opened again.
 */
#include "bench.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define READ_INTERVAL_MS 200

enum { UNSENT_MIN = 65536, SLOW_READ_BYTES = 4000 };

typedef enum { CROWD_UNREAD, CROWD_SLOW, CROWD_SILENT } CrowdKind;

typedef struct {
    struct event_base *base;
    CrowdKind kind;
    struct sockaddr_in to;
    char request[512];
    long opened;
    size_t sent; /* Bytes. */
} Crowd;

typedef struct {
    Crowd *crowd;
    struct bufferevent *bev;
    struct event *timer;
} Member;

static void connect_member(Member *m);

static void
on_write(struct bufferevent *bev, void *arg)
{
    Member *m = arg;
    struct evbuffer *out = bufferevent_get_output(bev);
    const char *text = m->crowd->request;
    size_t size = strlen(text);
    if (m->crowd->kind == CROWD_SILENT) {
        return;
    }
    while (evbuffer_get_length(out) < UNSENT_MIN) {
        (void)evbuffer_add(out, text, size);
        m->crowd->sent += size;
    }
}

/* Closed: connects again at the next tick. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    Member *m = arg;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        if (m->crowd->kind == CROWD_SILENT) {
            (void)bufferevent_write(bev, m->crowd->request,
                                    strlen(m->crowd->request) / 2);
        }
        on_write(bev, m);
        return;
    }
    bufferevent_free(bev);
    m->bev = NULL;
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    char bytes[SLOW_READ_BYTES];
    Member *m = arg;
    (void)fd;
    (void)what;
    if (m->bev == NULL) {
        connect_member(m);
    }
    else if (m->crowd->kind == CROWD_SLOW) {
        (void)recv(bufferevent_getfd(m->bev), bytes, sizeof(bytes),
                   MSG_DONTWAIT);
    }
}

static void
connect_member(Member *m)
{
    m->bev = bufferevent_socket_new(m->crowd->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m->bev, NULL, on_write, on_event, m);
    (void)bufferevent_enable(m->bev, EV_WRITE);
    (void)bufferevent_disable(m->bev, EV_READ);
    (void)bufferevent_socket_connect(m->bev, (struct sockaddr *)&m->crowd->to,
                                     sizeof(m->crowd->to));
    m->crowd->opened++;
}

int
Bench_RunCrowd(const char *address, const char *kind, int count, int seconds,
               const char *request)
{
    static Crowd crowd;
    char host[CARO_ADDRESS_SIZE];
    uint16_t port;
    struct timeval tick = {.tv_usec = READ_INTERVAL_MS * 1000};
    struct timeval end = {.tv_sec = seconds};
    crowd.kind = strcmp(kind, "unread") == 0 ? CROWD_UNREAD
                 : strcmp(kind, "slow") == 0 ? CROWD_SLOW
                                             : CROWD_SILENT;
    (void)snprintf(crowd.request, sizeof(crowd.request), "%s\r\n\r\n",
                   request);
    crowd.to.sin_family = AF_INET;
    if (CaroHttp_SplitAddress(address, host, &port) < 0 ||
        inet_pton(AF_INET, host, &crowd.to.sin_addr) != 1) {
        return 2;
    }
    crowd.to.sin_port = htons(port);
    crowd.base = event_base_new();
    Member *members = calloc((size_t)count, sizeof(Member));
    for (int i = 0; i < count; i++) {
        members[i].crowd = &crowd;
        members[i].timer =
            event_new(crowd.base, -1, EV_PERSIST, on_tick, &members[i]);
        (void)event_add(members[i].timer, &tick);
        connect_member(&members[i]);
    }
    (void)event_base_loopexit(crowd.base, &end);
    (void)event_base_dispatch(crowd.base);
    (void)printf("%d callers (%s), %ld connections opened, %zu kB sent\n",
                 count, kind, crowd.opened, crowd.sent / 1024);
    for (int i = 0; i < count; i++) {
        event_free(members[i].timer);
        if (members[i].bev != NULL) {
            bufferevent_free(members[i].bev);
        }
    }
    free(members);
    event_base_free(crowd.base);
    return 0;
}
