/*
 * ONC RPC calls and answers over libevent.
 *
 * A call is open from CaroRpc_Call until its answer, its timeout or the
 * loss of its connection, whichever is first; its call-back runs exactly
 * once.  TCP connections are made on the first call to a peer and kept.
 */
#include "internal/caro_rpc.h"

#include "internal/caro_clock.h"
#include "internal/caro_rpc_message.h"

#include <assert.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

enum {
    DATAGRAM_MAX = 8192,
    RECORD_MAX = 8 << 20,
    LAST_FRAGMENT = 1 << 31,
    SWEEP_MS = 10,      /* Interval of the check for timeouts. */
    UDP_READS_MAX = 64, /* Datagrams taken in one turn of the loop. */
    DECODED_MAX = 256   /* Bytes of the largest top-level structure. */
};

/* One TCP connection, made or accepted. */
typedef struct Link {
    CaroRpc *rpc;
    uint64_t serial; /* Names the connection in requests. */
    char peer[CARO_ADDRESS_SIZE];
    bool is_outgoing;
    struct bufferevent *bev;
    struct evbuffer *record; /* Fragments of the record being read. */
    UT_hash_handle hh;       /* Outgoing links, by peer. */
    UT_hash_handle hh_serial;
} Link;

typedef struct Call {
    uint32_t xid;
    uint32_t procedure;
    uint64_t link_serial; /* 0 for UDP. */
    CaroTime deadline;
    CaroRpcDone done;
    void *context;
    UT_hash_handle hh;
} Call;

struct CaroRpcRequest {
    CaroRpc *rpc;
    uint32_t xid;
    uint32_t procedure;
    uint64_t link_serial; /* 0 for UDP. */
    struct sockaddr_in from;
};

struct CaroRpc {
    struct event_base *base;
    CaroRpcHandler handler;
    void *context;
    evutil_socket_t udp;
    struct event *udp_event;
    struct event *sweep_event;
    struct evconnlistener *listener;
    Link *by_peer;
    Link *by_serial;
    Call *calls;
    uint32_t next_xid;
    uint64_t next_serial;
    uint64_t udp_bytes;
    uint64_t tcp_bytes;
};

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
    int size = sizeof(*out);
    return evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &size) ==
               0 &&
           out->sin_family == AF_INET;
}

/* Ends a call: the call-back runs after the call left the table. */
static void
finish_call(CaroRpc *rpc, Call *call, int code, const void *result)
{
    HASH_DEL(rpc->calls, call);
    if (call->done != NULL) {
        call->done(call->context, code, result);
    }
    free(call);
}

static void
fail_calls_of(CaroRpc *rpc, uint64_t serial)
{
    bool is_any = true;
    /* A call-back may open or end calls, so the search starts anew. */
    while (is_any) {
        Call *call;
        Call *next;
        is_any = false;
        HASH_ITER(hh, rpc->calls, call, next)
        {
            if (call->link_serial == serial) {
                finish_call(rpc, call, CARO_ERR_IO, NULL);
                is_any = true;
                break;
            }
        }
    }
}

static void
link_close(Link *link)
{
    CaroRpc *rpc = link->rpc;
    uint64_t serial = link->serial;
    if (link->is_outgoing) {
        HASH_DELETE(hh, rpc->by_peer, link);
    }
    HASH_DELETE(hh_serial, rpc->by_serial, link);
    bufferevent_free(link->bev);
    evbuffer_free(link->record);
    free(link);
    fail_calls_of(rpc, serial);
}

static void
send_record(Link *link, const char *buf, size_t size)
{
    uint32_t mark = htonl((uint32_t)LAST_FRAGMENT | (uint32_t)size);
    struct evbuffer *out = bufferevent_get_output(link->bev);
    evbuffer_add(out, &mark, sizeof(mark));
    evbuffer_add(out, buf, size);
    link->rpc->tcp_bytes += size + sizeof(mark);
}

static void
send_datagram(CaroRpc *rpc, const struct sockaddr_in *to, const char *buf,
              size_t size)
{
    /* A lost datagram is covered by the caller's timeout. */
    ssize_t n = sendto(rpc->udp, buf, size, 0, (const struct sockaddr *)to,
                       sizeof(*to));
    if (n > 0) {
        rpc->udp_bytes += (uint64_t)n;
    }
}

/* Decodes the result of a call and ends it. */
static void
take_reply(CaroRpc *rpc, char *buf, size_t size, uint64_t link_serial)
{
    XDR xdr;
    struct rpc_msg msg;
    memset(&msg, 0, sizeof(msg));
    msg.acpted_rply.ar_results.proc = (xdrproc_t)(void (*)(void))xdr_void;
    xdrmem_create(&xdr, buf, (u_int)size, XDR_DECODE);
    bool is_good = xdr_replymsg(&xdr, &msg);
    bool is_accepted = is_good && msg.rm_reply.rp_stat == MSG_ACCEPTED &&
                       msg.acpted_rply.ar_stat == SUCCESS;
    if (is_good && msg.rm_reply.rp_stat == MSG_ACCEPTED &&
        msg.acpted_rply.ar_verf.oa_base != NULL) {
        free(msg.acpted_rply.ar_verf.oa_base);
    }
    uint32_t xid = msg.rm_xid;
    Call *call;
    HASH_FIND(hh, rpc->calls, &xid, sizeof(xid), call);
    if (call == NULL || call->link_serial != link_serial) {
        return; /* The answer came after the timeout, or is not ours. */
    }
    if (!is_accepted) {
        finish_call(rpc, call, CARO_ERR_STATE, NULL);
        return;
    }
    const CaroRpcProcedure *p = CaroRpcMessage_Procedure(call->procedure);
    union {
        char bytes[DECODED_MAX];
        max_align_t align;
    } result;
    assert(p->result_size <= sizeof(result));
    memset(&result, 0, sizeof(result));
    bool is_decoded = p->result(&xdr, &result);
    finish_call(rpc, call, is_decoded ? 0 : CARO_ERR_INPUT,
                is_decoded ? &result : NULL);
    xdr_free(p->result, &result);
}

static void
take_call(CaroRpc *rpc, char *buf, size_t size, uint64_t link_serial,
          const struct sockaddr_in *from)
{
    XDR xdr;
    struct rpc_msg msg;
    memset(&msg, 0, sizeof(msg));
    xdrmem_create(&xdr, buf, (u_int)size, XDR_DECODE);
    bool is_good = xdr_callmsg(&xdr, &msg);
    free(msg.rm_call.cb_cred.oa_base);
    free(msg.rm_call.cb_verf.oa_base);
    uint32_t procedure = (uint32_t)msg.rm_call.cb_proc;
    const CaroRpcProcedure *p = CaroRpcMessage_Procedure(procedure);
    if (!is_good || p == NULL || msg.rm_call.cb_prog != CARO_PEER ||
        msg.rm_call.cb_vers != CARO_PEER_V1) {
        return;
    }

    union {
        char bytes[DECODED_MAX];
        max_align_t align;
    } args;
    assert(p->args_size <= sizeof(args));
    memset(&args, 0, sizeof(args));
    CaroRpcRequest *request = calloc(1, sizeof(*request));
    if (request != NULL && p->args(&xdr, &args)) {
        request->rpc = rpc;
        request->xid = msg.rm_xid;
        request->procedure = procedure;
        request->link_serial = link_serial;
        if (from != NULL) {
            request->from = *from;
        }
        rpc->handler(rpc->context, request, procedure, &args);
    }
    else {
        free(request);
    }
    xdr_free(p->args, &args);
}

/* The second word of a message is its direction. */
static void
take_message(CaroRpc *rpc, char *buf, size_t size, uint64_t link_serial,
             const struct sockaddr_in *from)
{
    enum { MESSAGE_MIN = 8 };
    uint32_t direction;
    if (size < MESSAGE_MIN) {
        return;
    }
    memcpy(&direction, buf + sizeof(direction), sizeof(direction));
    if (ntohl(direction) == CALL) {
        take_call(rpc, buf, size, link_serial, from);
    }
    else {
        take_reply(rpc, buf, size, link_serial);
    }
}

/* Takes one whole record; returns false when there is none. */
static bool
read_fragment(Link *link, bool *is_broken)
{
    struct evbuffer *in = bufferevent_get_input(link->bev);
    uint32_t mark;
    if (evbuffer_copyout(in, &mark, sizeof(mark)) < (ssize_t)sizeof(mark)) {
        return false;
    }
    mark = ntohl(mark);
    size_t size = mark & ~(uint32_t)LAST_FRAGMENT;
    if (size + evbuffer_get_length(link->record) > RECORD_MAX) {
        *is_broken = true;
        return false;
    }
    if (evbuffer_get_length(in) < size + sizeof(mark)) {
        return false;
    }
    evbuffer_drain(in, sizeof(mark));
    evbuffer_remove_buffer(in, link->record, size);
    link->rpc->tcp_bytes += size + sizeof(mark);
    return true;
}

static void
on_link_read(struct bufferevent *bev, void *arg)
{
    (void)bev;
    Link *link = arg;
    CaroRpc *rpc = link->rpc;
    uint64_t serial = link->serial;
    bool is_broken = false;
    while (read_fragment(link, &is_broken)) {
        size_t size = evbuffer_get_length(link->record);
        char *buf = (char *)evbuffer_pullup(link->record, -1);
        if (buf != NULL) {
            take_message(rpc, buf, size, serial, NULL);
        }
        /* A handler may have closed the link. */
        Link *same;
        HASH_FIND(hh_serial, rpc->by_serial, &serial, sizeof(serial), same);
        if (same == NULL) {
            return;
        }
        evbuffer_drain(link->record, size);
    }
    if (is_broken) {
        link_close(link);
    }
}

static void
on_link_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        link_close(arg);
    }
}

static Link *
link_create(CaroRpc *rpc, evutil_socket_t fd, const char *peer)
{
    Link *link = calloc(1, sizeof(*link));
    if (link == NULL) {
        return NULL;
    }
    link->rpc = rpc;
    link->serial = ++rpc->next_serial;
    link->is_outgoing = peer != NULL;
    link->bev = bufferevent_socket_new(rpc->base, fd, BEV_OPT_CLOSE_ON_FREE);
    link->record = evbuffer_new();
    if (link->bev == NULL || link->record == NULL) {
        if (link->bev != NULL) {
            bufferevent_free(link->bev);
        }
        if (link->record != NULL) {
            evbuffer_free(link->record);
        }
        free(link);
        return NULL;
    }
    bufferevent_setcb(link->bev, on_link_read, NULL, on_link_event, link);
    bufferevent_enable(link->bev, EV_READ | EV_WRITE);
    if (peer != NULL) {
        CARO_COPY(link->peer, peer);
        HASH_ADD(hh, rpc->by_peer, peer, strlen(link->peer), link);
    }
    HASH_ADD(hh_serial, rpc->by_serial, serial, sizeof(link->serial), link);
    return link;
}

static void
set_no_delay(evutil_socket_t fd)
{
    int on = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static Link *
link_to(CaroRpc *rpc, const char *peer)
{
    Link *link;
    HASH_FIND(hh, rpc->by_peer, peer, strlen(peer), link);
    if (link != NULL) {
        return link;
    }
    struct sockaddr_in to;
    if (!parse_address(peer, &to)) {
        return NULL;
    }
    evutil_socket_t fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    evutil_make_socket_nonblocking(fd);
    set_no_delay(fd);
    link = link_create(rpc, fd, peer);
    if (link == NULL) {
        evutil_closesocket(fd);
        return NULL;
    }
    uint64_t serial = link->serial;
    if (bufferevent_socket_connect(link->bev, (struct sockaddr *)&to,
                                   sizeof(to)) < 0) {
        HASH_FIND(hh_serial, rpc->by_serial, &serial, sizeof(serial), link);
        if (link != NULL) {
            link_close(link);
        }
        return NULL;
    }
    return link;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int size, void *arg)
{
    (void)listener;
    (void)from;
    (void)size;
    set_no_delay(fd);
    if (link_create(arg, fd, NULL) == NULL) {
        evutil_closesocket(fd);
    }
}

static void
on_datagram(evutil_socket_t fd, short what, void *arg)
{
    (void)what;
    CaroRpc *rpc = arg;
    char buf[DATAGRAM_MAX];
    for (int i = 0; i < UDP_READS_MAX; i++) {
        struct sockaddr_in from;
        socklen_t from_size = sizeof(from);
        ssize_t n = recvfrom(fd, buf, sizeof(buf), 0, (struct sockaddr *)&from,
                             &from_size);
        if (n < 0) {
            return;
        }
        rpc->udp_bytes += (uint64_t)n;
        take_message(rpc, buf, (size_t)n, 0, &from);
    }
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroRpc *rpc = arg;
    CaroTime now = CaroClock_Now();
    bool is_any = true;
    while (is_any) {
        Call *call;
        Call *next;
        is_any = false;
        HASH_ITER(hh, rpc->calls, call, next)
        {
            if (now >= call->deadline) {
                finish_call(rpc, call, CARO_ERR_TIMEOUT, NULL);
                is_any = true;
                break;
            }
        }
    }
}

CaroRpc *
CaroRpc_Create(struct event_base *base, const char *address,
               CaroRpcHandler handler, void *context, CaroError *err)
{
    struct sockaddr_in at;
    CaroRpc *rpc = calloc(1, sizeof(*rpc));
    if (rpc == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "rpc", address, "no memory");
        return NULL;
    }
    rpc->base = base;
    rpc->handler = handler;
    rpc->context = context;
    rpc->next_xid = (uint32_t)CaroClock_Random();
    rpc->udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (!parse_address(address, &at) || rpc->udp < 0 ||
        bind(rpc->udp, (struct sockaddr *)&at, sizeof(at)) < 0) {
        (void)CaroError_Set(err, CARO_ERR_IO, "bind udp", address, "%s",
                            strerror(errno));
        goto error;
    }
    evutil_make_socket_nonblocking(rpc->udp);
    rpc->listener = evconnlistener_new_bind(
        base, on_accept, rpc,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
        (struct sockaddr *)&at, sizeof(at));
    if (rpc->listener == NULL) {
        (void)CaroError_Set(err, CARO_ERR_IO, "bind tcp", address, "%s",
                            strerror(errno));
        goto error;
    }
    rpc->udp_event =
        event_new(base, rpc->udp, EV_READ | EV_PERSIST, on_datagram, rpc);
    rpc->sweep_event = event_new(base, -1, EV_PERSIST, on_sweep, rpc);
    struct timeval interval = {.tv_usec = SWEEP_MS * 1000};
    if (rpc->udp_event == NULL || rpc->sweep_event == NULL ||
        event_add(rpc->udp_event, NULL) < 0 ||
        event_add(rpc->sweep_event, &interval) < 0) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "rpc", address, "no events");
        goto error;
    }
    return rpc;
error:
    CaroRpc_Destroy(rpc);
    return NULL;
}

void
CaroRpc_Destroy(CaroRpc *rpc)
{
    if (rpc == NULL) {
        return;
    }
    Link *link;
    Link *next_link;
    HASH_ITER(hh_serial, rpc->by_serial, link, next_link)
    {
        link_close(link);
    }
    fail_calls_of(rpc, 0);
    if (rpc->listener != NULL) {
        evconnlistener_free(rpc->listener);
    }
    if (rpc->udp_event != NULL) {
        event_free(rpc->udp_event);
    }
    if (rpc->sweep_event != NULL) {
        event_free(rpc->sweep_event);
    }
    if (rpc->udp >= 0) {
        evutil_closesocket(rpc->udp);
    }
    free(rpc);
}

void
CaroRpc_Call(CaroRpc *rpc, const char *peer, CaroRpcTransport transport,
             uint32_t procedure, const void *args, CaroTime timeout,
             CaroRpcDone done, void *context)
{
    assert(CaroRpcMessage_Procedure(procedure) != NULL);
    Call *call = calloc(1, sizeof(*call));
    if (call == NULL) {
        abort(); /* The promise to call back cannot be kept without it. */
    }
    call->xid = rpc->next_xid++;
    call->procedure = procedure;
    call->done = done;
    call->context = context;
    call->deadline = CaroClock_Now() + timeout;
    size_t size = 0;
    char *buf = CaroRpcMessage_EncodeCall(call->xid, procedure, args, &size);
    Link *link = NULL;
    struct sockaddr_in to;
    if (transport == CARO_RPC_TCP) {
        link = link_to(rpc, peer);
        call->link_serial = link == NULL ? 0 : link->serial;
    }
    HASH_ADD(hh, rpc->calls, xid, sizeof(call->xid), call);
    if (buf != NULL && link != NULL) {
        send_record(link, buf, size);
    }
    else if (buf != NULL && transport == CARO_RPC_UDP &&
             parse_address(peer, &to)) {
        send_datagram(rpc, &to, buf, size);
    }
    else {
        call->deadline = 0;
    }
    free(buf);
}

void
CaroRpc_Reply(CaroRpcRequest *request, const void *result)
{
    CaroRpc *rpc = request->rpc;
    size_t size = 0;
    char *buf = CaroRpcMessage_EncodeReply(request->xid, request->procedure,
                                           result, &size);
    if (buf != NULL && request->link_serial == 0) {
        send_datagram(rpc, &request->from, buf, size);
    }
    else if (buf != NULL) {
        Link *link;
        HASH_FIND(hh_serial, rpc->by_serial, &request->link_serial,
                  sizeof(request->link_serial), link);
        if (link != NULL) {
            send_record(link, buf, size);
        }
    }
    free(buf);
    free(request);
}

void
CaroRpc_Ignore(CaroRpcRequest *request)
{
    free(request);
}

uint64_t
CaroRpc_UdpBytes(const CaroRpc *rpc)
{
    return rpc->udp_bytes;
}

uint64_t
CaroRpc_TcpBytes(const CaroRpc *rpc)
{
    return rpc->tcp_bytes;
}
