/*
 * Transport of ONC RPC calls and replies over libevent.
 *
 * A call is pending from CaroRpc_Call until its reply, its timeout or the
 * loss of its connection, whichever comes first.  Its callback runs exactly
 * once.  A TCP connection is opened by the first call to a peer and reused.
 * When a call on it times out and nothing was received since the call was
 * sent, it may be dead while the system goes on sending at growing intervals;
 * later calls then use another one, and it is closed after its last call.
 * A call does not time out while a record keeps arriving on its connection.
 */
#include "internal/caro_rpc.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"
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

/* Time for a call whose record keeps arriving.  The largest one takes 7 s over
   a link of 10 Mbit/s; a configuration of 1 MB takes 0.9 s alone. */
#define RECORD_TIMEOUT (8 * CARO_SECOND)

enum {
    DATAGRAM_BYTES_MAX = 8192,
    RECORD_BYTES_MAX = 8 << 20,
    LAST_FRAGMENT_BIT = 1 << 31,
    TIMEOUT_CHECK_INTERVAL_MS = 10,
    /* Datagrams read per event, so that other events are not delayed. */
    UDP_READS_MAX = 64,
    DECODED_BYTES_MAX = 256 /* Largest argument or result structure. */
};

/* A TCP connection, opened to a peer or accepted from one. */
typedef struct Connection {
    CaroRpc *rpc;
    uint64_t id; /* Unique in this process, never 0. */
    char peer[CARO_ADDRESS_SIZE];
    bool is_outgoing;
    struct bufferevent *bev;
    struct evbuffer *record; /* Record that is being handled. */
    CaroTime received_at;    /* Last bytes from the peer; 0 for none. */
    bool is_retired;         /* No longer in by_peer. */
    UT_hash_handle hh;       /* In by_peer, if is_outgoing. */
    UT_hash_handle hh_id;    /* In by_id. */
} Connection;

/* A call to a peer that has not finished. */
typedef struct Call {
    uint32_t xid; /* Key in the table of calls. */
    uint32_t procedure;
    uint64_t connection_id; /* 0: UDP, or no connection could be opened. */
    CaroTime sent_at;
    CaroTime timeout;
    CaroTime deadline; /* 0: sending failed; times out at the next check. */
    CaroRpcDone done;
    void *context;
    UT_hash_handle hh;
} Call;

struct CaroRpcRequest {
    CaroRpc *rpc;
    uint32_t xid;
    uint32_t procedure;
    uint64_t connection_id; /* 0 for UDP. */
    struct sockaddr_in sender;
};

struct CaroRpc {
    struct event_base *base;
    CaroRpcHandler handler;
    void *context;
    evutil_socket_t udp;
    struct event *udp_event;
    struct event *timeout_event;
    struct evconnlistener *listener;
    Connection *by_peer; /* Outgoing connections by the peer's address. */
    Connection *by_id;   /* All connections. */
    Call *calls;         /* Pending calls by xid. */
    uint32_t next_xid;
    uint64_t next_connection_id;
    uint64_t udp_bytes; /* Bytes sent and received over UDP. */
    uint64_t tcp_bytes; /* The same over TCP, with record marks. */
};

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
    int size = sizeof(*out);
    return evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &size) ==
               0 &&
           out->sin_family == AF_INET;
}

/*
 * Removes a call from the table, then invokes its callback, which may make
 * new calls.  Releases the call.
 */
static void
finish_call(CaroRpc *rpc, Call *call, int code, const void *result)
{
    HASH_DEL(rpc->calls, call);
    if (call->done != NULL) {
        call->done(call->context, code, result);
    }
    free(call);
}

/* Fails the pending calls of a connection (0: those that have none). */
static void
fail_calls(CaroRpc *rpc, uint64_t id)
{
    bool has_finished_call = true;
    /* A callback may change the table, so each search starts at its head. */
    while (has_finished_call) {
        Call *call;
        Call *next;
        has_finished_call = false;
        HASH_ITER(hh, rpc->calls, call, next)
        {
            if (call->connection_id == id) {
                finish_call(rpc, call, CARO_ERR_IO, NULL);
                has_finished_call = true;
                break;
            }
        }
    }
}

/* Closes and releases a connection, then fails its pending calls. */
static void
connection_close(Connection *conn)
{
    CaroRpc *rpc = conn->rpc;
    uint64_t id = conn->id;
    if (conn->is_outgoing && !conn->is_retired) {
        HASH_DELETE(hh, rpc->by_peer, conn);
    }
    HASH_DELETE(hh_id, rpc->by_id, conn);
    bufferevent_free(conn->bev);
    evbuffer_free(conn->record);
    free(conn);
    fail_calls(rpc, id);
}

/* Returns the connection with the id, or NULL if it was closed. */
static Connection *
find_connection(const CaroRpc *rpc, uint64_t id)
{
    Connection *conn;
    HASH_FIND(hh_id, rpc->by_id, &id, sizeof(id), conn);
    return conn;
}

/* Closes a retired connection that has no pending calls. */
static void
close_if_retired(CaroRpc *rpc, uint64_t id)
{
    Connection *conn = find_connection(rpc, id);
    if (conn == NULL || !conn->is_retired) {
        return;
    }
    for (const Call *call = rpc->calls; call != NULL; call = call->hh.next) {
        if (call->connection_id == id) {
            return;
        }
    }
    connection_close(conn);
}

/* Queues a message as a record of a single fragment. */
static void
send_record(Connection *conn, const char *buf, size_t size)
{
    uint32_t mark = htonl((uint32_t)LAST_FRAGMENT_BIT | (uint32_t)size);
    struct evbuffer *out = bufferevent_get_output(conn->bev);
    evbuffer_add(out, &mark, sizeof(mark));
    evbuffer_add(out, buf, size);
    conn->rpc->tcp_bytes += size + sizeof(mark);
}

static void
send_datagram(CaroRpc *rpc, const struct sockaddr_in *to, const char *buf,
              size_t size)
{
    /* An error is not reported: the call times out as for a lost datagram. */
    ssize_t n = sendto(rpc->udp, buf, size, 0, (const struct sockaddr *)to,
                       sizeof(*to));
    if (n > 0) {
        rpc->udp_bytes += (uint64_t)n;
    }
}

/* Decodes a reply and finishes the call that it belongs to. */
static void
handle_reply(CaroRpc *rpc, char *buf, size_t size, uint64_t connection_id)
{
    XDR xdr;
    struct rpc_msg msg;
    memset(&msg, 0, sizeof(msg));
    msg.acpted_rply.ar_results.proc = (xdrproc_t)(void (*)(void))xdr_void;
    xdrmem_create(&xdr, buf, (u_int)size, XDR_DECODE);
    bool is_valid = xdr_replymsg(&xdr, &msg);
    bool is_accepted = is_valid && msg.rm_reply.rp_stat == MSG_ACCEPTED &&
                       msg.acpted_rply.ar_stat == SUCCESS;
    if (is_valid && msg.rm_reply.rp_stat == MSG_ACCEPTED &&
        msg.acpted_rply.ar_verf.oa_base != NULL) {
        free(msg.acpted_rply.ar_verf.oa_base);
    }
    uint32_t xid = msg.rm_xid;
    Call *call;
    HASH_FIND(hh, rpc->calls, &xid, sizeof(xid), call);
    if (call == NULL || call->connection_id != connection_id) {
        return; /* The call timed out, or the xid is unknown here. */
    }
    if (!is_accepted) {
        finish_call(rpc, call, CARO_ERR_STATE, NULL);
        return;
    }
    const CaroRpcProcedure *p = CaroRpcMessage_Procedure(call->procedure);
    union {
        char bytes[DECODED_BYTES_MAX];
        max_align_t align;
    } result;
    assert(p->result_size <= sizeof(result));
    memset(&result, 0, sizeof(result));
    bool is_decoded = p->result(&xdr, &result);
    finish_call(rpc, call, is_decoded ? 0 : CARO_ERR_INPUT,
                is_decoded ? &result : NULL);
    xdr_free(p->result, &result);
}

/* Decodes a call and passes it to the handler; a malformed one is dropped. */
static void
handle_call(CaroRpc *rpc, char *buf, size_t size, uint64_t connection_id,
            const struct sockaddr_in *sender)
{
    XDR xdr;
    struct rpc_msg msg;
    memset(&msg, 0, sizeof(msg));
    xdrmem_create(&xdr, buf, (u_int)size, XDR_DECODE);
    bool is_valid = xdr_callmsg(&xdr, &msg);
    free(msg.rm_call.cb_cred.oa_base);
    free(msg.rm_call.cb_verf.oa_base);
    uint32_t procedure = (uint32_t)msg.rm_call.cb_proc;
    const CaroRpcProcedure *p = CaroRpcMessage_Procedure(procedure);
    if (!is_valid || p == NULL || msg.rm_call.cb_prog != CARO_PEER ||
        msg.rm_call.cb_vers != CARO_PEER_V1) {
        return;
    }

    union {
        char bytes[DECODED_BYTES_MAX];
        max_align_t align;
    } args;
    assert(p->args_size <= sizeof(args));
    memset(&args, 0, sizeof(args));
    CaroRpcRequest *request = calloc(1, sizeof(*request));
    if (request != NULL && p->args(&xdr, &args)) {
        request->rpc = rpc;
        request->xid = msg.rm_xid;
        request->procedure = procedure;
        request->connection_id = connection_id;
        if (sender != NULL) {
            request->sender = *sender;
        }
        rpc->handler(rpc->context, request, procedure, &args);
    }
    else {
        free(request);
    }
    xdr_free(p->args, &args);
}

/* Dispatches a message on its second word, the direction: call or reply. */
static void
handle_message(CaroRpc *rpc, char *buf, size_t size, uint64_t connection_id,
               const struct sockaddr_in *sender)
{
    enum { MESSAGE_BYTES_MIN = 8 };
    uint32_t direction;
    if (size < MESSAGE_BYTES_MIN) {
        return;
    }
    memcpy(&direction, buf + sizeof(direction), sizeof(direction));
    if (ntohl(direction) == CALL) {
        handle_call(rpc, buf, size, connection_id, sender);
    }
    else {
        handle_reply(rpc, buf, size, connection_id);
    }
}

/*
 * Moves one fragment from the connection's input to its record.  Returns
 * false when no whole fragment has arrived, or when the record would exceed
 * RECORD_BYTES_MAX; then *is_too_large is set.  The last-fragment bit is not
 * evaluated, because peers send each record as a single fragment.
 */
static bool
read_fragment(Connection *conn, bool *is_too_large)
{
    struct evbuffer *in = bufferevent_get_input(conn->bev);
    uint32_t mark;
    if (evbuffer_copyout(in, &mark, sizeof(mark)) < (ssize_t)sizeof(mark)) {
        return false;
    }
    mark = ntohl(mark);
    size_t size = mark & ~(uint32_t)LAST_FRAGMENT_BIT;
    if (size + evbuffer_get_length(conn->record) > RECORD_BYTES_MAX) {
        *is_too_large = true;
        return false;
    }
    if (evbuffer_get_length(in) < size + sizeof(mark)) {
        return false;
    }
    evbuffer_drain(in, sizeof(mark));
    evbuffer_remove_buffer(in, conn->record, size);
    conn->rpc->tcp_bytes += size + sizeof(mark);
    return true;
}

static void
on_connection_read(struct bufferevent *bev, void *arg)
{
    (void)bev;
    Connection *conn = arg;
    CaroRpc *rpc = conn->rpc;
    uint64_t id = conn->id;
    bool is_too_large = false;
    conn->received_at = CaroClock_Now();
    while (read_fragment(conn, &is_too_large)) {
        size_t size = evbuffer_get_length(conn->record);
        char *buf = (char *)evbuffer_pullup(conn->record, -1);
        if (buf != NULL) {
            handle_message(rpc, buf, size, id, NULL);
        }
        /* A callback may have closed the connection. */
        if (find_connection(rpc, id) == NULL) {
            return;
        }
        evbuffer_drain(conn->record, size);
    }
    if (is_too_large) {
        connection_close(conn);
        return;
    }
    close_if_retired(rpc, id);
}

static void
on_connection_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        connection_close(arg);
    }
}

/*
 * Adds a connection on a socket, which it owns from then on.  "peer" is the
 * address of an outgoing connection and NULL for an accepted one.  Returns
 * NULL when out of memory.
 */
static Connection *
connection_create(CaroRpc *rpc, evutil_socket_t fd, const char *peer)
{
    Connection *conn = calloc(1, sizeof(*conn));
    if (conn == NULL) {
        return NULL;
    }
    conn->rpc = rpc;
    conn->id = ++rpc->next_connection_id;
    conn->is_outgoing = peer != NULL;
    conn->bev = bufferevent_socket_new(rpc->base, fd, BEV_OPT_CLOSE_ON_FREE);
    conn->record = evbuffer_new();
    if (conn->bev == NULL || conn->record == NULL) {
        if (conn->bev != NULL) {
            bufferevent_free(conn->bev);
        }
        if (conn->record != NULL) {
            evbuffer_free(conn->record);
        }
        free(conn);
        return NULL;
    }
    bufferevent_setcb(conn->bev, on_connection_read, NULL, on_connection_event,
                      conn);
    bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
    if (peer != NULL) {
        CARO_COPY(conn->peer, peer);
        HASH_ADD(hh, rpc->by_peer, peer, strlen(conn->peer), conn);
    }
    HASH_ADD(hh_id, rpc->by_id, id, sizeof(conn->id), conn);
    return conn;
}

static void
set_no_delay(evutil_socket_t fd)
{
    int on = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/*
 * Returns the outgoing connection to a peer; opens one if there is none.
 * Returns NULL when the address is invalid or no connection can be opened.
 */
static Connection *
connection_get_or_open(CaroRpc *rpc, const char *peer)
{
    Connection *conn;
    HASH_FIND(hh, rpc->by_peer, peer, strlen(peer), conn);
    if (conn != NULL) {
        return conn;
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
    conn = connection_create(rpc, fd, peer);
    if (conn == NULL) {
        evutil_closesocket(fd);
        return NULL;
    }
    uint64_t id = conn->id;
    if (bufferevent_socket_connect(conn->bev, (struct sockaddr *)&to,
                                   sizeof(to)) < 0) {
        conn = find_connection(rpc, id);
        if (conn != NULL) {
            connection_close(conn);
        }
        return NULL;
    }
    return conn;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *sender, int size, void *arg)
{
    (void)listener;
    (void)sender;
    (void)size;
    set_no_delay(fd);
    if (connection_create(arg, fd, NULL) == NULL) {
        evutil_closesocket(fd);
    }
}

static void
on_datagram(evutil_socket_t fd, short what, void *arg)
{
    (void)what;
    CaroRpc *rpc = arg;
    char buf[DATAGRAM_BYTES_MAX];
    for (int i = 0; i < UDP_READS_MAX; i++) {
        struct sockaddr_in sender;
        socklen_t sender_size = sizeof(sender);
        ssize_t n = recvfrom(fd, buf, sizeof(buf), 0,
                             (struct sockaddr *)&sender, &sender_size);
        if (n < 0) {
            return;
        }
        rpc->udp_bytes += (uint64_t)n;
        handle_message(rpc, buf, (size_t)n, 0, &sender);
    }
}

/* Returns when a call times out.  One whose connection has received part of a
   record waits for the rest as long as bytes arrive. */
static CaroTime
call_deadline(const CaroRpc *rpc, const Call *call)
{
    const Connection *conn = find_connection(rpc, call->connection_id);
    if (call->deadline == 0 || conn == NULL ||
        conn->received_at < call->sent_at ||
        evbuffer_get_length(bufferevent_get_input(conn->bev)) == 0) {
        return call->deadline;
    }
    CaroTime silent_at = conn->received_at + call->timeout;
    CaroTime late_at = call->deadline + RECORD_TIMEOUT;
    CaroTime extended = silent_at < late_at ? silent_at : late_at;
    return extended > call->deadline ? extended : call->deadline;
}

/* Logs a timeout during which part of a record has arrived. */
static void
log_partial_record(const CaroRpc *rpc, const Call *call, CaroTime now)
{
    const Connection *conn = find_connection(rpc, call->connection_id);
    size_t size = conn == NULL
                      ? 0
                      : evbuffer_get_length(bufferevent_get_input(conn->bev));
    if (size > 0) {
        CaroLog_Info("rpc",
                     "A call timed out while its reply arrived. peer=%s "
                     "received_bytes=%zu elapsed_ms=%lld",
                     conn->peer, size,
                     (long long)((now - call->sent_at) / CARO_MS));
    }
}

/* Makes later calls to the peer use another connection if this one was silent
   during the call. */
static void
retire_if_silent(CaroRpc *rpc, const Call *call)
{
    Connection *conn = find_connection(rpc, call->connection_id);
    if (conn != NULL && conn->is_outgoing && !conn->is_retired &&
        conn->received_at < call->sent_at) {
        conn->is_retired = true;
        HASH_DELETE(hh, rpc->by_peer, conn);
    }
}

/* Fails the calls whose deadline has passed. */
static void
on_timeout_check(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroRpc *rpc = arg;
    CaroTime now = CaroClock_Now();
    bool has_finished_call = true;
    while (has_finished_call) {
        Call *call;
        Call *next;
        has_finished_call = false;
        HASH_ITER(hh, rpc->calls, call, next)
        {
            if (now >= call->deadline && now >= call_deadline(rpc, call)) {
                uint64_t id = call->connection_id;
                log_partial_record(rpc, call, now);
                retire_if_silent(rpc, call);
                finish_call(rpc, call, CARO_ERR_TIMEOUT, NULL);
                close_if_retired(rpc, id);
                has_finished_call = true;
                break;
            }
        }
    }
}

CaroRpc *
CaroRpc_Create(struct event_base *base, const char *address,
               CaroRpcHandler handler, void *context, CaroError *err)
{
    struct sockaddr_in local;
    CaroRpc *rpc = calloc(1, sizeof(*rpc));
    if (rpc == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "rpc", address,
                            "out of memory");
        return NULL;
    }
    rpc->base = base;
    rpc->handler = handler;
    rpc->context = context;
    rpc->next_xid = (uint32_t)CaroClock_Random();
    rpc->udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (!parse_address(address, &local) || rpc->udp < 0 ||
        bind(rpc->udp, (struct sockaddr *)&local, sizeof(local)) < 0) {
        (void)CaroError_Set(err, CARO_ERR_IO, "bind udp", address, "%s",
                            strerror(errno));
        goto error;
    }
    evutil_make_socket_nonblocking(rpc->udp);
    rpc->listener = evconnlistener_new_bind(
        base, on_accept, rpc,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
        (struct sockaddr *)&local, sizeof(local));
    if (rpc->listener == NULL) {
        (void)CaroError_Set(err, CARO_ERR_IO, "bind tcp", address, "%s",
                            strerror(errno));
        goto error;
    }
    rpc->udp_event =
        event_new(base, rpc->udp, EV_READ | EV_PERSIST, on_datagram, rpc);
    rpc->timeout_event =
        event_new(base, -1, EV_PERSIST, on_timeout_check, rpc);
    struct timeval interval = {.tv_usec = TIMEOUT_CHECK_INTERVAL_MS * 1000};
    if (rpc->udp_event == NULL || rpc->timeout_event == NULL ||
        event_add(rpc->udp_event, NULL) < 0 ||
        event_add(rpc->timeout_event, &interval) < 0) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "rpc", address,
                            "cannot create or add events");
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
    Connection *conn;
    Connection *next;
    HASH_ITER(hh_id, rpc->by_id, conn, next)
    {
        connection_close(conn);
    }
    fail_calls(rpc, 0);
    if (rpc->listener != NULL) {
        evconnlistener_free(rpc->listener);
    }
    if (rpc->udp_event != NULL) {
        event_free(rpc->udp_event);
    }
    if (rpc->timeout_event != NULL) {
        event_free(rpc->timeout_event);
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
        abort(); /* The callback, which must run, could not be stored. */
    }
    call->xid = rpc->next_xid++;
    call->procedure = procedure;
    call->done = done;
    call->context = context;
    call->sent_at = CaroClock_Now();
    call->timeout = timeout;
    call->deadline = call->sent_at + timeout;
    size_t size = 0;
    char *buf = CaroRpcMessage_EncodeCall(call->xid, procedure, args, &size);
    Connection *conn = NULL;
    struct sockaddr_in to;
    if (transport == CARO_RPC_TCP) {
        conn = connection_get_or_open(rpc, peer);
        call->connection_id = conn == NULL ? 0 : conn->id;
    }
    HASH_ADD(hh, rpc->calls, xid, sizeof(call->xid), call);
    if (buf != NULL && conn != NULL) {
        send_record(conn, buf, size);
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
    if (buf != NULL && request->connection_id == 0) {
        send_datagram(rpc, &request->sender, buf, size);
    }
    else if (buf != NULL) {
        Connection *conn = find_connection(rpc, request->connection_id);
        if (conn != NULL) {
            send_record(conn, buf, size);
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

uint64_t
CaroRpc_CountConnections(const CaroRpc *rpc)
{
    return rpc->next_connection_id;
}
