/*
 * "carobench relay": copies bytes between callers and one address, the least
 * work that a process between callers and engines does.  The processor time
 * of a VM is compared with that of this relay.
 */
#include "bench.h"

#include "internal/caro_clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct {
    struct event_base *base;
    struct sockaddr_in to;
} Relay;

/* One of two connections that are joined; the other one is peer, which is
   NULL after it closed. */
typedef struct Side {
    struct bufferevent *bev;
    struct Side *peer;
} Side;

static void
on_read(struct bufferevent *bev, void *arg)
{
    Side *s = arg;
    if (s->peer != NULL) {
        (void)bufferevent_write_buffer(s->peer->bev,
                                       bufferevent_get_input(bev));
    }
}

static void
on_output_empty(struct bufferevent *bev, void *arg)
{
    Side *s = arg;
    if (s->peer == NULL &&
        evbuffer_get_length(bufferevent_get_output(bev)) == 0) {
        bufferevent_free(bev);
        free(s);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    Side *s = arg;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    Side *peer = s->peer;
    if (peer != NULL) {
        peer->peer = NULL;
        on_output_empty(peer->bev, peer);
    }
    bufferevent_free(bev);
    free(s);
}

static Side *
create_side(struct event_base *base, evutil_socket_t fd)
{
    Side *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        abort();
    }
    s->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(s->bev, on_read, on_output_empty, on_event, s);
    bufferevent_enable(s->bev, EV_READ | EV_WRITE);
    return s;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int size, void *arg)
{
    (void)listener;
    (void)from;
    (void)size;
    Relay *r = arg;
    Side *a = create_side(r->base, fd);
    Side *b = create_side(r->base, -1);
    a->peer = b;
    b->peer = a;
    (void)bufferevent_socket_connect(b->bev, (struct sockaddr *)&r->to,
                                     sizeof(r->to));
}

static void
on_stop(evutil_socket_t signal_number, short what, void *arg)
{
    (void)signal_number;
    (void)what;
    (void)printf("cpu_us %lld\n", (long long)CaroClock_Cpu());
    event_base_loopbreak(arg);
}

int
Bench_RunRelay(const char *listen, const char *to)
{
    Relay relay;
    struct sockaddr_in listen_address;
    int listen_size = sizeof(listen_address);
    int to_size = sizeof(relay.to);
    if (evutil_parse_sockaddr_port(listen, (struct sockaddr *)&listen_address,
                                   &listen_size) < 0 ||
        evutil_parse_sockaddr_port(to, (struct sockaddr *)&relay.to,
                                   &to_size) < 0) {
        (void)fprintf(stderr, "carobench: relay needs two addresses\n");
        return 2;
    }
    relay.base = event_base_new();
    (void)signal(SIGPIPE, SIG_IGN);
    struct evconnlistener *listener = evconnlistener_new_bind(
        relay.base, on_accept, &relay,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        (struct sockaddr *)&listen_address, sizeof(listen_address));
    struct event *stop =
        evsignal_new(relay.base, SIGTERM, on_stop, relay.base);
    if (listener == NULL) {
        (void)fprintf(stderr, "carobench: cannot listen at %s\n", listen);
        return 1;
    }
    event_add(stop, NULL);
    event_base_dispatch(relay.base);
    event_free(stop);
    evconnlistener_free(listener);
    event_base_free(relay.base);
    return 0;
}
