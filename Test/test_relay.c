/*
 * Tests of forwarding against an upstream that sends scripted bytes: early,
 * doubled, foreign, unframed and cut answers, callers that leave or do not
 * read.  All in one process, over loopback.
 */
#include "test.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_server.h"
#include "internal/caro_relay.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define STEP (20 * CARO_MS)

typedef enum {
    REPLY_KEEP,  /* Sent behind the whole request. */
    REPLY_EARLY, /* Sent as soon as the head is there. */
    REPLY_CLOSE, /* The connection ends with it. */
    REPLY_RESET, /* The connection is reset behind it. */
    REPLY_NEVER  /* Nothing comes. */
} ReplyKind;

typedef struct {
    ReplyKind kind;
    const char *bytes;
} Reply;

enum { REPLIES_MAX = 8, SEEN_MAX = 8, TEXT_MAX = 4096 };

typedef struct Peer Peer;

typedef struct {
    struct event_base *base;
    struct evconnlistener *listener;
    char address[CARO_ADDRESS_SIZE];
    Reply replies[REPLIES_MAX];
    int n_replies;
    int at_reply;
    char seen[SEEN_MAX][TEXT_MAX]; /* Requests, as they came. */
    int n_seen;
    int connections;
    int closed;
    CaroTime closed_at;
    const char *filler; /* Sent again and again behind the script. */
    size_t filler_size;
    size_t filler_sent;
} Upstream;

/* A connection of the upstream. */
struct Peer {
    Upstream *upstream;
    struct bufferevent *bev;
};

typedef struct {
    struct event_base *base;
    Upstream up;
    CaroRelayDeps parts;
    CaroCounters counters;
    CaroRelays *relays;
    CaroHttpServer *front;
    CaroRoute route;
    struct bufferevent *caller;
    char got[1 << 16];
    size_t n_got;
    bool is_cut;
    char front_address[CARO_ADDRESS_SIZE];
} Fixture;

static void
run_for(Fixture *f, CaroTime wait)
{
    struct timeval t = {.tv_sec = wait / CARO_SECOND,
                        .tv_usec = wait % CARO_SECOND};
    (void)event_base_loopexit(f->base, &t);
    (void)event_base_dispatch(f->base);
}

/* Runs until the caller has the text, for at most some seconds. */
static void
wait_for(Fixture *f, const char *text)
{
    enum { TURNS = 300 };
    for (int i = 0; i < TURNS && strstr(f->got, text) == NULL; i++) {
        run_for(f, STEP);
    }
    assert_non_null(strstr(f->got, text));
}

/* --- the upstream --- */

static void
reset_connection(struct bufferevent *bev)
{
    struct linger hard = {.l_onoff = 1, .l_linger = 0};
    (void)setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &hard,
                     sizeof(hard));
    bufferevent_free(bev);
}

static void
send_filler(struct bufferevent *bev, void *arg)
{
    Peer *p = arg;
    Upstream *u = p->upstream;
    struct evbuffer *out = bufferevent_get_output(bev);
    while (u->filler != NULL && evbuffer_get_length(out) < 65536 &&
           u->filler_sent < ((size_t)64 << 20)) {
        (void)evbuffer_add(out, u->filler, u->filler_size);
        u->filler_sent += u->filler_size;
    }
}

static void
send_reply(Peer *p, const Reply *r)
{
    if (r->kind == REPLY_NEVER) {
        return;
    }
    size_t size = strlen(r->bytes);
    assert_int_equal(send(bufferevent_getfd(p->bev), r->bytes, size, 0), size);
    if (r->kind == REPLY_CLOSE || r->kind == REPLY_RESET) {
        if (r->kind == REPLY_RESET) {
            reset_connection(p->bev);
        }
        else {
            bufferevent_free(p->bev);
        }
        free(p);
    }
}

static void
on_upstream_read(struct bufferevent *bev, void *arg)
{
    Peer *p = arg;
    Upstream *u = p->upstream;
    struct evbuffer *in = bufferevent_get_input(bev);
    struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
    if (end.pos < 0 || u->at_reply >= u->n_replies || u->n_seen >= SEEN_MAX) {
        return;
    }
    char text[TEXT_MAX] = "";
    (void)evbuffer_copyout(in, text, sizeof(text) - 1);
    const char *length = strstr(text, "Content-Length: ");
    size_t body = length == NULL ? 0 : strtoul(length + 16, NULL, 10);
    size_t whole = (size_t)end.pos + 4 + body;
    const Reply *r = &u->replies[u->at_reply];
    if (evbuffer_get_length(in) < whole && r->kind != REPLY_EARLY) {
        return;
    }
    u->at_reply++;
    CARO_COPY(u->seen[u->n_seen], text);
    u->n_seen++;
    evbuffer_drain(in, whole);
    send_reply(p, r);
}

static void
on_upstream_event(struct bufferevent *bev, short what, void *arg)
{
    (void)what;
    Peer *p = arg;
    p->upstream->closed++;
    p->upstream->closed_at = CaroClock_Now();
    bufferevent_free(bev);
    free(p);
}

static void
on_upstream_accept(struct evconnlistener *listener, evutil_socket_t fd,
                   struct sockaddr *from, int size, void *arg)
{
    (void)listener;
    (void)from;
    (void)size;
    Upstream *u = arg;
    Peer *p = calloc(1, sizeof(*p));
    assert_non_null(p);
    p->upstream = u;
    p->bev = bufferevent_socket_new(u->base, fd, BEV_OPT_CLOSE_ON_FREE);
    u->connections++;
    bufferevent_setcb(p->bev, on_upstream_read, send_filler, on_upstream_event,
                      p);
    bufferevent_setwatermark(p->bev, EV_WRITE, 32768, 0);
    (void)bufferevent_enable(p->bev, EV_READ | EV_WRITE);
}

static void
read_address(evutil_socket_t fd, char out[CARO_ADDRESS_SIZE])
{
    struct sockaddr_in at;
    socklen_t size = sizeof(at);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    (void)snprintf(out, CARO_ADDRESS_SIZE, "127.0.0.1:%u", ntohs(at.sin_port));
}

/* A free port: bound once, then left to the front. */
static void
reserve_address(char out[CARO_ADDRESS_SIZE])
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    read_address(fd, out);
    (void)evutil_closesocket(fd);
}

/* --- the gateway's side --- */

static void
on_request(void *context, CaroCall *call)
{
    Fixture *f = context;
    CaroRelays_Accept(f->relays, call, &f->route, NULL, CaroClock_Now());
}

static void
on_disconnected(void *context, CaroCall *call)
{
    (void)context;
    CaroRelays_OnCallerDisconnected(call, CaroClock_Now());
}

static void
on_drained(void *context, CaroCall *call)
{
    (void)context;
    CaroRelays_OnCallerDrained(call, CaroClock_Now());
}

static void
on_refused(void *context, const char *peer, int status, const char *reason)
{
    (void)context;
    (void)peer;
    (void)status;
    (void)reason;
}

static const CaroHttpServerHandlers handlers = {.on_request = on_request,
                                                .on_disconnected =
                                                    on_disconnected,
                                                .on_drained = on_drained,
                                                .on_refused = on_refused};

static void
put_target(Fixture *f, const char *id)
{
    CaroTargetEntry e = {.slots = 4};
    CARO_COPY(e.id, id);
    CARO_COPY(e.address, f->up.address);
    CARO_COPY(e.domain, "d");
    CARO_COPY(e.service, "s");
    CARO_COPY(e.version, "v1");
    (void)CaroTargets_Put(f->parts.targets, &e, CaroClock_Now());
}

static int
setup(void **state)
{
    CaroError err;
    Fixture *f = calloc(1, sizeof(*f));
    assert_non_null(f);
    f->base = event_base_new();
    f->up.base = f->base;
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    f->up.listener = evconnlistener_new_bind(
        f->base, on_upstream_accept, &f->up, LEV_OPT_CLOSE_ON_FREE, 16,
        (struct sockaddr *)&at, sizeof(at));
    assert_non_null(f->up.listener);
    read_address(evconnlistener_get_fd(f->up.listener), f->up.address);
    f->parts = (CaroRelayDeps){
        .base = f->base,
        .targets = CaroTargets_Create(),
        .pool = CaroChannelPool_Create(f->base, 16),
        .budget = CaroRetryBudget_Create(0.8, 100.0, 10 * CARO_SECOND),
        .moves = CaroServiceRollouts_Create(NULL, 0.0, 0.0),
        .counters = &f->counters,
        .latency = CaroLatency_Create(),
        .rng = gsl_rng_alloc(gsl_rng_taus2),
        .domain = "d"};
    f->relays = CaroRelays_Create(&f->parts);
    f->route = (CaroRoute){.name = "r",
                           .timeout = 3 * CARO_SECOND,
                           .objective = 2 * CARO_SECOND,
                           .gap = 700 * CARO_MS,
                           .attempts_max = 4,
                           .n_shares = 1,
                           .shares = {{.service = "s", .weight = 1}}};
    CaroHttpServerLimits limits = {.head_bytes_max = 8192,
                                   .body_bytes_max = 32 << 20,
                                   .all_bytes_max = 64 << 20,
                                   .connections_max = 16,
                                   .head_timeout = CARO_SECOND,
                                   .idle_timeout = 5 * CARO_SECOND,
                                   .write_timeout = 5 * CARO_SECOND};
    reserve_address(f->front_address);
    f->front = CaroHttpServer_Create(f->base, f->front_address, &limits,
                                     &handlers, f, &err);
    assert_non_null(f->front);
    put_target(f, "t1");
    put_target(f, "t2");
    *state = f;
    return 0;
}

static int
teardown(void **state)
{
    Fixture *f = *state;
    if (f->caller != NULL) {
        bufferevent_free(f->caller);
    }
    CaroRelays_Destroy(f->relays);
    CaroHttpServer_Destroy(f->front);
    CaroChannelPool_Destroy(f->parts.pool);
    evconnlistener_free(f->up.listener);
    run_for(f, 2 * STEP); /* The upstream sees its connections close. */
    CaroTargets_Destroy(f->parts.targets);
    CaroRetryBudget_Destroy(f->parts.budget);
    CaroServiceRollouts_Destroy(f->parts.moves);
    CaroLatency_Destroy(f->parts.latency);
    gsl_rng_free(f->parts.rng);
    event_base_free(f->base);
    free(f);
    return 0;
}

/* --- the caller --- */

static void
on_caller_read(struct bufferevent *bev, void *arg)
{
    Fixture *f = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    size_t room = sizeof(f->got) - 1 - f->n_got;
    int n = evbuffer_remove(in, f->got + f->n_got, room);
    f->n_got += n > 0 ? (size_t)n : 0;
    f->got[f->n_got] = '\0';
}

static void
on_caller_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    Fixture *f = arg;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        f->is_cut = true;
    }
}

static void
send_text(Fixture *f, const char *text)
{
    if (f->caller == NULL) {
        struct sockaddr_in at = {.sin_family = AF_INET};
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons((uint16_t)atoi(strchr(f->front_address, ':') + 1));
        f->caller = bufferevent_socket_new(f->base, -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(f->caller, on_caller_read, NULL, on_caller_event, f);
        (void)bufferevent_enable(f->caller, EV_READ | EV_WRITE);
        assert_int_equal(bufferevent_socket_connect(
                             f->caller, (struct sockaddr *)&at, sizeof(at)),
                         0);
    }
    (void)bufferevent_write(f->caller, text, strlen(text));
}

/* Sends a request with the id and a body of so many bytes, and waits. */
static void
request(Fixture *f, const char *id, size_t body, CaroTime wait)
{
    char head[256];
    (void)snprintf(head, sizeof(head),
                   "POST /p/%s HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: %s\r\n"
                   "X-Deadline-Ms: 2500\r\nX-Hold: mine\r\n"
                   "Kv-From: other\r\nX-Tenant: other\r\n"
                   "Content-Length: %zu\r\n\r\n",
                   id, id, body);
    f->n_got = 0;
    f->got[0] = '\0';
    send_text(f, head);
    char *filler = calloc(1, body + 1);
    assert_non_null(filler);
    memset(filler, 'x', body);
    send_text(f, filler);
    free(filler);
    run_for(f, wait);
}

static void
script(Fixture *f, ReplyKind kind, const char *bytes)
{
    assert_true(f->up.n_replies < REPLIES_MAX);
    f->up.replies[f->up.n_replies++] = (Reply){kind, bytes};
}

#define ANSWER(id, body)                                                      \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id "\r\nX-Response-Seal: s-" id       \
    "\r\nContent-Length: 4\r\n\r\n" body

static void
test_headers_and_body_pass(void **state)
{
    Fixture *f = *state;
    script(f, REPLY_KEEP, ANSWER("r1", "good"));
    request(f, "r1", 10, STEP);
    wait_for(f, "HTTP/1.1 200");
    assert_non_null(strstr(f->got, "X-Response-Seal: s-r1\r\n"));
    assert_non_null(strstr(f->got, "\r\n\r\ngood"));
    const char *seen = f->up.seen[0];
    assert_non_null(strstr(seen, "POST /p/r1 HTTP/1.1\r\n"));
    assert_non_null(strstr(seen, "X-Attempt-Id: r1\r\n"));
    assert_non_null(strstr(seen, "X-Expect-Instance: t"));
    assert_non_null(strstr(seen, "\r\n\r\nxxxxxxxxxx"));
    /* What is the gateway's to set is not a caller's. */
    assert_null(strstr(seen, "X-Hold"));
    assert_null(strstr(seen, "Kv-From"));
    assert_null(strstr(seen, "X-Tenant"));
}

/* The rest of a body is owed to a channel whose answer came early: the next
   request must not be put where it is due.  The body is larger than what
   the sockets take. */
static void
test_an_early_answer(void **state)
{
    Fixture *f = *state;
    /* One upstream, so that its channel is the one to be kept. */
    CaroTargets_Remove(f->parts.targets, 1);
    script(f, REPLY_EARLY, ANSWER("r1", "soon"));
    script(f, REPLY_KEEP, ANSWER("r2", "next"));
    request(f, "r1", 16 << 20, STEP);
    wait_for(f, "\r\n\r\nsoon");
    request(f, "r2", 3, STEP);
    wait_for(f, "\r\n\r\nnext");
    assert_non_null(strstr(f->up.seen[1], "POST /p/r2 HTTP/1.1\r\n"));
}

static void
test_an_answer_of_another_request(void **state)
{
    Fixture *f = *state;
    script(f, REPLY_KEEP, ANSWER("old", "late") ANSWER("r1", "mine"));
    script(f, REPLY_KEEP, ANSWER("r2", "also"));
    request(f, "r1", 3, STEP);
    wait_for(f, "\r\n\r\nmine");
    assert_null(strstr(f->got, "late"));
    request(f, "r2", 3, STEP);
    wait_for(f, "\r\n\r\nalso");
}

/* A foreign answer that breaks off leaves nothing behind for the next
   upstream's. */
static void
test_a_foreign_answer_that_breaks_off(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script(f, REPLY_RESET,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nX-Response-Seal: s\r\n"
           "Content-Length: 9\r\n\r\nhal");
    script(f, REPLY_KEEP, ANSWER("r1", "mine"));
    request(f, "r1", 0, STEP);
    wait_for(f, "\r\n\r\nmine");
}

static void
test_bytes_behind_an_answer(void **state)
{
    Fixture *f = *state;
    script(f, REPLY_KEEP, ANSWER("r1", "mine") "HTTP/1.1 200 OK\r\n\r\nx");
    script(f, REPLY_KEEP, ANSWER("r2", "next"));
    request(f, "r1", 3, STEP);
    wait_for(f, "\r\n\r\nmine");
    request(f, "r2", 3, STEP);
    wait_for(f, "\r\n\r\nnext");
    assert_true(f->up.connections >= 2);
}

#define UNFRAMED(id, body)                                                    \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id                                    \
    "\r\nX-Response-Seal: s\r\n\r\n" body

static void
test_an_answer_without_a_length(void **state)
{
    Fixture *f = *state;
    script(f, REPLY_CLOSE, UNFRAMED("r1", "whole"));
    request(f, "r1", 3, STEP);
    wait_for(f, "\r\n\r\nwhole");
    assert_non_null(strstr(f->got, "Content-Length: 5\r\n"));
}

/* Cut short it is no answer; the order may have run, which is said. */
static void
test_a_cut_answer_of_an_order(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script(f, REPLY_RESET, UNFRAMED("r1", "ha"));
    script(f, REPLY_KEEP, ANSWER("r1", "more"));
    request(f, "r1", 3, STEP);
    wait_for(f, "HTTP/1.1 502");
    assert_int_equal(f->up.n_seen, 1);
}

static void
test_a_cut_answer_of_a_lookup(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script(f, REPLY_CLOSE,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
           "X-Response-Seal: s\r\nContent-Length: 9\r\n\r\nhal");
    script(f, REPLY_KEEP, ANSWER("r1", "full"));
    request(f, "r1", 0, STEP);
    wait_for(f, "\r\n\r\nfull");
    assert_null(strstr(f->got, "hal"));
}

/* A success that is not signed, or is encoded, is not the upstream's. */
static void
test_a_success_that_is_none(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script(f, REPLY_KEEP,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
           "Content-Length: 4\r\n\r\nfake");
    script(f, REPLY_KEEP,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
           "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfake");
    script(f, REPLY_KEEP, ANSWER("r1", "real"));
    put_target(f, "t3");
    request(f, "r1", 0, STEP);
    wait_for(f, "\r\n\r\nreal");
}

/* A status that promises "not run" is passed only with the upstream's own
   word for it. */
static void
test_a_false_promise(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script(f, REPLY_KEEP,
           "HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n");
    script(f, REPLY_KEEP,
           "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
           "\r\n");
    script(f, REPLY_KEEP, ANSWER("r2", "done"));
    request(f, "r1", 3, STEP);
    wait_for(f, "HTTP/1.1 502");
    /* With it the order is sent on. */
    request(f, "r2", 3, STEP);
    wait_for(f, "\r\n\r\ndone");
}

#define STREAM(id)                                                            \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id                                    \
    "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"           \
    "Transfer-Encoding: chunked\r\n\r\n"

static void
test_a_stream_cut_in_an_event(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, REPLY_CLOSE,
           STREAM("r1") "f\r\nid: 1\ndata: a\n\n\r\n"
                        "9\r\nid: 2\ndat\r\n");
    script(f, REPLY_KEEP,
           STREAM("r1") "f\r\nid: 2\ndata: b\n\n\r\n"
                        "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, STEP);
    wait_for(f, "\r\n0\r\n\r\n");
    assert_non_null(strstr(f->up.seen[1], "Last-Event-Id: 1\r\n"));
    assert_non_null(strstr(f->got, "f\r\nid: 1\ndata: a\n\n\r\n"
                                   "f\r\nid: 2\ndata: b\n\n\r\n"
                                   "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n"));
}

/* What may not go on is cut, so that it does not look whole. */
static void
test_a_stream_that_may_not_go_on(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    script(f, REPLY_CLOSE, STREAM("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    request(f, "r1", 3, STEP);
    wait_for(f, "id: 1\n");
    for (int i = 0; i < 100 && !f->is_cut; i++) {
        run_for(f, STEP);
    }
    assert_null(strstr(f->got, "\r\n0\r\n"));
    assert_true(f->is_cut);
    assert_int_equal(f->up.n_seen, 1);
}

/* Events of a run that does not go on where the last one broke off. */
static void
test_a_stream_that_starts_over(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, REPLY_CLOSE, STREAM("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, REPLY_KEEP, STREAM("r1") "f\r\nid: 1\ndata: z\n\n\r\n");
    script(f, REPLY_KEEP, STREAM("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    put_target(f, "t3");
    request(f, "r1", 3, STEP);
    wait_for(f, "\r\n0\r\n\r\n");
    assert_null(strstr(f->got, "data: z"));
    assert_non_null(strstr(f->got, "data: b\n\n\r\n0\r\n\r\n"));
}

/* What a second upstream answers in place of the rest is neither passed on
   nor taken as the end. */
static void
test_a_failure_in_place_of_the_rest(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, REPLY_CLOSE, STREAM("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, REPLY_KEEP,
           "HTTP/1.1 500 X\r\nX-Attempt-Id: r1\r\nContent-Length: 4\r\n"
           "\r\noops");
    script(f, REPLY_KEEP,
           "HTTP/1.1 404 X\r\nX-Attempt-Id: r1\r\nContent-Length: 4\r\n"
           "\r\nnone");
    script(f, REPLY_KEEP, STREAM("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    put_target(f, "t3");
    put_target(f, "t4");
    request(f, "r1", 3, STEP);
    wait_for(f, "\r\n0\r\n\r\n");
    assert_null(strstr(f->got, "oops"));
    assert_null(strstr(f->got, "none"));
    assert_non_null(strstr(f->got, "data: b\n\n\r\n0\r\n\r\n"));
}

/* A silent engine is left within the pause that is still on time, and its
   channel is closed, so that the run is not at work twice. */
static void
test_a_stream_that_falls_silent(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, REPLY_KEEP, STREAM("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, REPLY_KEEP, STREAM("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    CaroTime sent = CaroClock_Now();
    request(f, "r1", 3, STEP);
    wait_for(f, "data: b\n\n\r\n0\r\n\r\n");
    /* The longest pause that is on time, and one step of the loop. */
    assert_true(CaroClock_Now() - sent < f->route.gap + STEP);
    assert_true(f->up.closed >= 1);
}

/* Prompts are read one after the other.  An engine that is heard to serve
   others is not left for being slow to begin, which would have the prompt
   read twice; one of which nothing is heard is. */
static void
test_a_busy_engine_is_not_left(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    f->route.objective = 400 * CARO_MS;
    script(f, REPLY_NEVER, "");
    script(f, REPLY_KEEP, STREAM("r1") "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, STEP);
    for (int i = 0; i < 50; i++) {
        CaroTime now = CaroClock_Now();
        CaroTargets_RecordHeard(f->parts.targets, 0, now);
        CaroTargets_RecordHeard(f->parts.targets, 1, now);
        run_for(f, STEP);
    }
    assert_int_equal(f->up.n_seen, 1);
    wait_for(f, "data: a\n\n\r\n0\r\n\r\n");
    assert_int_equal(f->up.n_seen, 2);
}

/* An engine that sets one stream aside while others there go on is not
   silent: the stream goes on elsewhere, and the engine keeps the others. */
static void
test_a_stream_that_alone_falls_silent(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, REPLY_KEEP, STREAM("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, REPLY_KEEP, STREAM("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, STEP);
    for (int i = 0; i < 100 && f->up.n_seen < 2; i++) {
        CaroTime now = CaroClock_Now();
        CaroTargets_RecordHeard(f->parts.targets, 0, now);
        CaroTargets_RecordHeard(f->parts.targets, 1, now);
        run_for(f, STEP);
    }
    wait_for(f, "data: b\n\n\r\n0\r\n\r\n");
    for (CaroHandle h = 0; h < 2; h++) {
        const CaroTarget *target = CaroTargets_GetConst(f->parts.targets, h);
        assert_int_equal(target->alarm, CARO_TARGET_NO_FAILURE);
        assert_true(CaroTarget_IsUsable(target, CaroClock_Now()));
    }
}

static void
test_a_caller_that_leaves(void **state)
{
    Fixture *f = *state;
    script(f, REPLY_NEVER, "");
    request(f, "r1", 3, STEP);
    for (int i = 0; i < 100 && f->up.n_seen == 0; i++) {
        run_for(f, STEP);
    }
    assert_int_equal(f->up.n_seen, 1);
    CaroTime left = CaroClock_Now();
    bufferevent_free(f->caller);
    f->caller = NULL;
    run_for(f, 500 * CARO_MS);
    assert_int_equal(f->up.closed, 1);
    assert_true(f->up.closed_at - left < 500 * CARO_MS);
    assert_int_equal(CaroRelays_Count(f->relays), 0);
}

/* The upstream is not read on for a caller that does not read. */
static void
test_a_caller_that_does_not_read(void **state)
{
    Fixture *f = *state;
    static char filler[16384];
    memset(filler, 'y', sizeof(filler));
    script(f, REPLY_KEEP,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
           "Content-Length: 67108864\r\n\r\n");
    f->up.filler = filler;
    f->up.filler_size = sizeof(filler);
    request(f, "r1", 3, STEP);
    (void)bufferevent_disable(f->caller, EV_READ);
    run_for(f, 20 * STEP);
    size_t before = f->up.filler_sent;
    run_for(f, 10 * STEP);
    assert_int_equal(f->up.filler_sent, before);
    /* What the sockets of both sides hold, and the bound of the relay. */
    assert_true(before < ((size_t)32 << 20));
}

#define RELAY_TEST(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        RELAY_TEST(test_headers_and_body_pass),
        RELAY_TEST(test_an_early_answer),
        RELAY_TEST(test_an_answer_of_another_request),
        RELAY_TEST(test_a_foreign_answer_that_breaks_off),
        RELAY_TEST(test_bytes_behind_an_answer),
        RELAY_TEST(test_an_answer_without_a_length),
        RELAY_TEST(test_a_cut_answer_of_an_order),
        RELAY_TEST(test_a_cut_answer_of_a_lookup),
        RELAY_TEST(test_a_success_that_is_none),
        RELAY_TEST(test_a_false_promise),
        RELAY_TEST(test_a_stream_cut_in_an_event),
        RELAY_TEST(test_a_stream_that_may_not_go_on),
        RELAY_TEST(test_a_stream_that_starts_over),
        RELAY_TEST(test_a_failure_in_place_of_the_rest),
        RELAY_TEST(test_a_stream_that_falls_silent),
        RELAY_TEST(test_a_busy_engine_is_not_left),
        RELAY_TEST(test_a_stream_that_alone_falls_silent),
        RELAY_TEST(test_a_caller_that_leaves),
        RELAY_TEST(test_a_caller_that_does_not_read),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
