/* Connections to upstreams on behalf of other VMs. */
#include "internal/caro_tunnel_gate.h"

#include "caro_peer.h"
#include "internal/caro_clock.h"
#include "internal/caro_http.h"
#include "internal/caro_log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* As for a direct channel. */
#define CONNECT_TIMEOUT_US 300000
/* Time for the first record, and for the last bytes to be taken. */
#define HELLO_TIMEOUT_S 1
#define FLUSH_TIMEOUT_S 2
/* A VM that is not heard for this time may have sent its requests elsewhere.
 */
#define LEASE_TTL (500 * CARO_MS)
/* A lease that is on its way does not name a tunnel that is younger. */
#define LEASE_TRANSIT_MAX (200 * CARO_MS)
/* Of a longer time between two ticks the rest is a stall of this process, in
   which nothing is heard. */
#define TICK_TIME_MAX (100 * CARO_MS)
/* Bytes that wait for one end, above which the other is not read. */
#define PENDING_BYTES_MAX 65536

typedef struct Tunnel {
    CaroTunnelGate *gate;
    struct Tunnel *next;
    struct bufferevent *vm;
    struct bufferevent *upstream; /* NULL before the first record. */
    char peer[CARO_ADDRESS_SIZE]; /* IP address of the VM. */
    CaroHandle target;            /* The upstream. */
    CaroHandle sender;            /* The VM, after the first record. */
    uint32_t number; /* By which it names the tunnel; 0 if it does not. */
    CaroTime accepted_at;
    CaroTime leased_at; /* When it last named it, or opened it. */
    bool is_open;       /* It has accepted. */
    bool is_ending;     /* What waits for the VM is its last. */
} Tunnel;

struct CaroTunnelGate {
    CaroTunnelGateDeps deps;
    struct evconnlistener *listener;
    Tunnel *tunnels;
    int n;
    CaroTime last_tick;
};

static void
destroy_tunnel(Tunnel *t)
{
    CaroTunnelGate *g = t->gate;
    for (Tunnel **at = &g->tunnels; *at != NULL; at = &(*at)->next) {
        if (*at == t) {
            *at = t->next;
            break;
        }
    }
    g->n--;
    bufferevent_free(t->vm);
    if (t->upstream != NULL) {
        bufferevent_free(t->upstream);
    }
    free(t);
}

static void
on_flushed(struct bufferevent *bev, void *arg)
{
    (void)bev;
    destroy_tunnel(arg);
}

static void
on_vm_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    (void)what;
    /* The VM closes a channel to cancel its request. */
    destroy_tunnel(arg);
}

/* Closes the tunnel after the bytes that wait for the VM. */
static void
end_tunnel(Tunnel *t)
{
    struct timeval timeout = {.tv_sec = FLUSH_TIMEOUT_S};
    if (t->upstream != NULL) {
        bufferevent_free(t->upstream);
        t->upstream = NULL;
    }
    t->is_ending = true;
    bufferevent_setcb(t->vm, NULL, on_flushed, on_vm_event, t);
    bufferevent_setwatermark(t->vm, EV_WRITE, 0, 0);
    bufferevent_set_timeouts(t->vm, &timeout, &timeout);
}

static void
send_status(Tunnel *t, caro_tunnel_status status)
{
    unsigned char byte = (unsigned char)status;
    (void)bufferevent_write(t->vm, &byte, 1);
    if (status != CARO_TUNNEL_OPEN) {
        end_tunnel(t);
    }
}

/* Moves the upstream's bytes to the VM in frames. */
static void
pass_frames(Tunnel *t)
{
    struct evbuffer *in = bufferevent_get_input(t->upstream);
    struct evbuffer *out = bufferevent_get_output(t->vm);
    size_t left;
    while ((left = evbuffer_get_length(in)) > 0) {
        size_t n = left < CARO_TUNNEL_FRAME_MAX ? left : CARO_TUNNEL_FRAME_MAX;
        uint16_t size = htons((uint16_t)n);
        (void)evbuffer_add(out, &size, sizeof(size));
        (void)evbuffer_remove_buffer(in, out, n);
    }
}

static void
on_upstream_read(struct bufferevent *bev, void *arg)
{
    Tunnel *t = arg;
    pass_frames(t);
    if (evbuffer_get_length(bufferevent_get_output(t->vm)) >
        PENDING_BYTES_MAX) {
        (void)bufferevent_disable(bev, EV_READ);
    }
}

static void
on_vm_drained(struct bufferevent *bev, void *arg)
{
    Tunnel *t = arg;
    (void)bev;
    if (t->upstream != NULL) {
        (void)bufferevent_enable(t->upstream, EV_READ);
    }
}

static void
on_vm_read(struct bufferevent *bev, void *arg)
{
    Tunnel *t = arg;
    struct evbuffer *out = bufferevent_get_output(t->upstream);
    (void)bufferevent_read_buffer(bev, out);
    if (evbuffer_get_length(out) > PENDING_BYTES_MAX) {
        (void)bufferevent_disable(bev, EV_READ);
    }
}

static void
on_upstream_drained(struct bufferevent *bev, void *arg)
{
    Tunnel *t = arg;
    (void)bev;
    (void)bufferevent_enable(t->vm, EV_READ);
}

static void
on_upstream_event(struct bufferevent *bev, short what, void *arg)
{
    Tunnel *t = arg;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        int on = 1;
        (void)setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
                         sizeof(on));
        CaroHttp_DetectDeadPeer(bufferevent_getfd(bev));
        bufferevent_set_timeouts(bev, NULL, NULL);
        t->is_open = true;
        t->gate->deps.on_connection(t->gate->deps.context, t->target, true);
        send_status(t, CARO_TUNNEL_OPEN);
        on_vm_read(t->vm, t);
        return;
    }
    if (!t->is_open) {
        t->gate->deps.on_connection(t->gate->deps.context, t->target, false);
        send_status(t, (what & BEV_EVENT_TIMEOUT) != 0 ? CARO_TUNNEL_TIMED_OUT
                                                       : CARO_TUNNEL_REFUSED);
        return;
    }
    pass_frames(t);
    /* Both at once: a write took a reset. */
    bool is_end = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == BEV_EVENT_EOF;
    uint16_t end = htons(is_end ? 0 : CARO_TUNNEL_BROKEN);
    (void)bufferevent_write(t->vm, &end, sizeof(end));
    end_tunnel(t);
}

/* Returns whether the sender is the member that it names and knows both boot
   ids. */
static bool
is_from_member(const Tunnel *t, const caro_tunnel_hello *hello)
{
    const CaroMembership *m = t->gate->deps.membership;
    CaroHandle vm = CaroMembership_Find(m, hello->sender);
    if (vm == CARO_NO_HANDLE || vm == CARO_SELF) {
        return false;
    }
    const CaroVm *member = CaroMembership_Get(m, vm);
    size_t size = strlen(t->peer);
    return member->boot_id == hello->sender_boot_id &&
           hello->gate_boot_id == t->gate->deps.boot_id &&
           strncmp(member->peer, t->peer, size) == 0 &&
           member->peer[size] == ':';
}

/* Returns the registered upstream that is meant, or CARO_NO_HANDLE. */
static CaroHandle
find_upstream(const Tunnel *t, const caro_tunnel_hello *hello)
{
    const CaroTargets *targets = t->gate->deps.targets;
    CaroHandle h = CaroTargets_FindByStart(targets, hello->upstream);
    return h != CARO_NO_HANDLE &&
                   CaroTargets_GetConst(targets, h)->is_present &&
                   strcmp(CaroTargets_GetConst(targets, h)->entry.address,
                          hello->address) == 0
               ? h
               : CARO_NO_HANDLE;
}

static void
connect_upstream(Tunnel *t, const char *address)
{
    struct timeval timeout = {.tv_usec = CONNECT_TIMEOUT_US};
    struct sockaddr_storage to;
    int size = sizeof(to);
    t->upstream =
        bufferevent_socket_new(t->gate->deps.base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (t->upstream == NULL ||
        evutil_parse_sockaddr_port(address, (struct sockaddr *)&to, &size) <
            0) {
        send_status(t, CARO_TUNNEL_UNABLE);
        return;
    }
    bufferevent_setcb(t->upstream, on_upstream_read, on_upstream_drained,
                      on_upstream_event, t);
    bufferevent_setwatermark(t->upstream, EV_READ, 0, PENDING_BYTES_MAX);
    bufferevent_set_timeouts(t->upstream, &timeout, &timeout);
    (void)bufferevent_enable(t->upstream, EV_READ | EV_WRITE);
    bufferevent_setcb(t->vm, on_vm_read, on_vm_drained, on_vm_event, t);
    bufferevent_set_timeouts(t->vm, NULL, NULL);
    /* Read again when the upstream has accepted; a failure is reported from
       the loop. */
    if (bufferevent_socket_connect(t->upstream, (struct sockaddr *)&to, size) <
        0) {
        send_status(t, CARO_TUNNEL_REFUSED);
    }
}

static void
accept_hello(Tunnel *t, const caro_tunnel_hello *hello, uint32_t number)
{
    const CaroTunnelGateDeps *d = &t->gate->deps;
    CaroHandle upstream = find_upstream(t, hello);
    bool is_member = is_from_member(t, hello);
    bool is_able = d->is_able(d->context);
    if (!is_member || upstream == CARO_NO_HANDLE || !is_able ||
        t->gate->n > d->tunnels_max) {
        CaroCounters_Add(d->counters, CARO_COUNT_TUNNELS_REFUSED, 1);
        CaroLog_Info("tunnel",
                     "A tunnel was refused. peer=%s sender=%s reason=\"%s\"",
                     t->peer, is_member ? hello->sender : "",
                     !is_member                   ? "the sender is no member"
                     : upstream == CARO_NO_HANDLE ? "no such upstream"
                     : !is_able ? "this VM does not reach the upstreams"
                                : "there are too many");
        send_status(t, CARO_TUNNEL_UNABLE);
        return;
    }
    CaroCounters_Add(d->counters, CARO_COUNT_TUNNELS_TAKEN, 1);
    t->target = upstream;
    t->sender = CaroMembership_Find(d->membership, hello->sender);
    t->number = number;
    connect_upstream(t, hello->address);
}

static void
on_hello(struct bufferevent *bev, void *arg)
{
    Tunnel *t = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    uint32_t size;
    char record[CARO_TUNNEL_HELLO_MAX];
    if (evbuffer_copyout(in, &size, sizeof(size)) < (ssize_t)sizeof(size)) {
        return;
    }
    size = ntohl(size);
    if (size > sizeof(record)) {
        destroy_tunnel(t);
        return;
    }
    if (evbuffer_get_length(in) < sizeof(size) + size) {
        return;
    }
    evbuffer_drain(in, sizeof(size));
    (void)evbuffer_remove(in, record, size);
    caro_tunnel_hello hello;
    XDR xdr;
    memset(&hello, 0, sizeof(hello));
    xdrmem_create(&xdr, record, size, XDR_DECODE);
    if (xdr_caro_tunnel_hello(&xdr, &hello)) {
        u_int number = 0;
        if (xdr_getpos(&xdr) < size && !xdr_u_int(&xdr, &number)) {
            number = 0;
        }
        accept_hello(t, &hello, number);
    }
    else {
        send_status(t, CARO_TUNNEL_UNABLE);
    }
    xdr_free((xdrproc_t)xdr_caro_tunnel_hello, &hello);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *arg)
{
    CaroTunnelGate *g = arg;
    struct timeval timeout = {.tv_sec = HELLO_TIMEOUT_S};
    int on = 1;
    (void)listener;
    (void)size;
    Tunnel *t = calloc(1, sizeof(*t));
    if (t == NULL) {
        evutil_closesocket(fd);
        return;
    }
    t->vm = bufferevent_socket_new(g->deps.base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (t->vm == NULL) {
        evutil_closesocket(fd);
        free(t);
        return;
    }
    (void)evutil_inet_ntop(AF_INET,
                           &((struct sockaddr_in *)(void *)address)->sin_addr,
                           t->peer, sizeof(t->peer));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    CaroHttp_DetectDeadPeer(fd);
    t->gate = g;
    t->accepted_at = CaroClock_Now();
    t->leased_at = t->accepted_at;
    t->next = g->tunnels;
    g->tunnels = t;
    g->n++;
    bufferevent_setcb(t->vm, on_hello, NULL, on_vm_event, t);
    bufferevent_setwatermark(t->vm, EV_READ, 0, PENDING_BYTES_MAX);
    bufferevent_set_timeouts(t->vm, &timeout, NULL);
    (void)bufferevent_enable(t->vm, EV_READ | EV_WRITE);
}

CaroTunnelGate *
CaroTunnelGate_Create(const char *address, const CaroTunnelGateDeps *deps,
                      CaroError *err)
{
    struct sockaddr_storage at;
    int size = sizeof(at);
    CaroTunnelGate *g = calloc(1, sizeof(*g));
    if (g == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "tunnels", address,
                            "out of memory");
        return NULL;
    }
    g->deps = *deps;
    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&at, &size) ==
        0) {
        g->listener = evconnlistener_new_bind(
            deps->base, on_accept, g,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
            -1, (struct sockaddr *)&at, size);
    }
    if (g->listener == NULL) {
        (void)CaroError_Set(err, CARO_ERR_IO, "bind tunnels", address, "%s",
                            strerror(errno));
        free(g);
        return NULL;
    }
    return g;
}

void
CaroTunnelGate_Destroy(CaroTunnelGate *g)
{
    if (g == NULL) {
        return;
    }
    while (g->tunnels != NULL) {
        destroy_tunnel(g->tunnels);
    }
    evconnlistener_free(g->listener);
    free(g);
}

/* Cancels the request of a tunnel whose VM has left it. */
static void
end_left_tunnel(Tunnel *t, const char *reason, CaroTime now)
{
    CaroTunnelGate *g = t->gate;
    CaroCounters_Add(g->deps.counters, CARO_COUNT_TUNNELS_LEFT, 1);
    CaroLog_Info(
        "tunnel",
        "A tunnel was ended. vm=%s tunnel=%u leased_ms=%lld reason=\"%s\"",
        CaroMembership_Get(g->deps.membership, t->sender)->name, t->number,
        (long long)((now - t->leased_at) / CARO_MS), reason);
    destroy_tunnel(t);
}

static bool
is_named(const caro_tunnel_lease *lease, uint32_t number)
{
    for (u_int i = 0; i < lease->tunnels.tunnels_len; i++) {
        if (lease->tunnels.tunnels_val[i] == number) {
            return true;
        }
    }
    return false;
}

void
CaroTunnelGate_ApplyLease(CaroTunnelGate *g, const caro_tunnel_lease *lease,
                          CaroTime now)
{
    CaroHandle vm =
        g == NULL ? CARO_NO_HANDLE
                  : CaroMembership_Find(g->deps.membership, lease->sender);
    if (vm == CARO_NO_HANDLE ||
        CaroMembership_Get(g->deps.membership, vm)->boot_id !=
            lease->sender_boot_id) {
        return;
    }
    Tunnel *next;
    for (Tunnel *t = g->tunnels; t != NULL; t = next) {
        next = t->next;
        if (t->number == 0 || t->sender != vm) {
            continue;
        }
        if (is_named(lease, t->number) || lease->is_partial) {
            t->leased_at = now;
        }
        else if (now - t->accepted_at > LEASE_TRANSIT_MAX) {
            end_left_tunnel(t, "the VM does not use it", now);
        }
    }
}

void
CaroTunnelGate_Tick(CaroTunnelGate *g, CaroTime now)
{
    if (g == NULL) {
        return;
    }
    CaroTime time = g->last_tick == 0 ? 0 : now - g->last_tick;
    CaroTime stall = time > TICK_TIME_MAX ? time - TICK_TIME_MAX : 0;
    g->last_tick = now;
    Tunnel *next;
    for (Tunnel *t = g->tunnels; t != NULL; t = next) {
        next = t->next;
        t->leased_at += stall;
        if (t->number != 0 && now - t->leased_at > LEASE_TTL) {
            end_left_tunnel(t, "the VM is not heard", now);
        }
    }
}

int
CaroTunnelGate_Count(const CaroTunnelGate *g)
{
    return g == NULL ? 0 : g->n;
}
