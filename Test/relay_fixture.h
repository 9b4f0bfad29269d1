/*
 * NAME
 *     relay_fixture - a gateway's relays between a caller and an upstream
 *
 * The upstream sends scripted bytes, the caller writes requests and keeps what
 * it receives.  Everything runs in one process, over loopback.
 */
#ifndef RELAY_FIXTURE_H
#define RELAY_FIXTURE_H

#include "test.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_server.h"
#include "internal/caro_platform.h"
#include "internal/caro_relay.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOOP_STEP (20 * CARO_MS)

typedef enum {
    RESPONSE_KEEP_OPEN, /* Sent after the whole request was read. */
    RESPONSE_EARLY,     /* Sent as soon as the request head was read. */
    RESPONSE_CLOSE,     /* Then the connection is closed. */
    RESPONSE_RESET,     /* Then the connection is reset. */
    RESPONSE_NONE       /* Nothing is sent. */
} ResponseKind;

typedef struct {
    ResponseKind kind;
    const char *bytes;
} ScriptedResponse;

enum { RESPONSES_MAX = 8, REQUESTS_MAX = 8, REQUEST_SIZE = 4096 };

typedef struct Connection Connection;

typedef struct {
    struct event_base *base;
    struct evconnlistener *listener;
    char address[CARO_ADDRESS_SIZE];
    ScriptedResponse responses[RESPONSES_MAX];
    int n_responses;
    int next_response;
    char requests[REQUESTS_MAX][REQUEST_SIZE]; /* In order of arrival. */
    int n_requests;
    int n_connections;
    Connection *newest; /* NULL once it is closed. */
    int n_closed;
    CaroTime closed_at;
    const char *filler; /* Sent repeatedly after a response. */
    size_t filler_size;
    size_t filler_sent;
    int filler_connection;      /* The only one that gets it; 0: all do. */
    bool has_slow_filler;       /* It is sent once in a step of the loop. */
    struct bufferevent *filled; /* Gets the slow filler. */
    struct bufferevent *latest; /* Of the last request. */
} Upstream;

/* A connection that the upstream accepted. */
struct Connection {
    Upstream *upstream;
    int number; /* In order of arrival, from 1. */
    bool has_responded;
    struct bufferevent *bev;
};

typedef struct {
    struct event_base *base;
    Upstream up;
    CaroRelayDeps deps;
    CaroCounters counters;
    CaroRelays *relays;
    CaroHttpServer *server;
    CaroRoute route;
    struct bufferevent *caller;
    char received[1 << 17];
    size_t n_received;
    bool is_closed;
    bool is_reset; /* By a reset, which no caller takes for an end. */
    char server_address[CARO_ADDRESS_SIZE];
    CaroTime stall;   /* The process stalls so long behind each request. */
    CaroTime stalled; /* Sum of what run_for ran too long. */
    /* The upstream of the next request announces, while its channel opens,
       that it leaves. */
    bool is_closed_early;
    const char *more_headers; /* Of the caller's requests; NULL for none. */
} Fixture;

static inline void
run_for(Fixture *f, CaroTime wait)
{
    CaroTime end = CaroClock_Now() + wait;
    struct timeval t = {.tv_sec = wait / CARO_SECOND,
                        .tv_usec = wait % CARO_SECOND};
    (void)event_base_loopexit(f->base, &t);
    (void)event_base_dispatch(f->base);
    f->stalled += CaroClock_Now() > end ? CaroClock_Now() - end : 0;
}

/* Runs until the caller has received the text, for at most six seconds. */
static inline void
wait_for(Fixture *f, const char *text)
{
    enum { STEPS_MAX = 300 };
    for (int i = 0; i < STEPS_MAX && strstr(f->received, text) == NULL; i++) {
        run_for(f, LOOP_STEP);
    }
    assert_non_null(strstr(f->received, text));
}

/* --- the upstream --- */

static inline void
reset_connection(struct bufferevent *bev)
{
    struct linger hard = {.l_onoff = 1, .l_linger = 0};
    (void)setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &hard,
                     sizeof(hard));
    bufferevent_free(bev);
}

static inline void
free_connection(Connection *c)
{
    if (c->upstream->newest == c) {
        c->upstream->newest = NULL;
    }
    free(c);
}

/* Sends more of a response on the upstream's newest connection. */
static inline void
send_more(Upstream *u, const char *bytes)
{
    size_t size = strlen(bytes);
    assert_non_null(u->newest);
    assert_int_equal(bufferevent_write(u->newest->bev, bytes, size), 0);
}

static inline void
send_filler(struct bufferevent *bev, void *arg)
{
    Connection *c = arg;
    Upstream *u = c->upstream;
    struct evbuffer *out = bufferevent_get_output(bev);
    bool is_filled = u->filler_connection == 0 ||
                     (u->filler_connection == c->number && c->has_responded);
    while (u->filler != NULL && is_filled &&
           evbuffer_get_length(out) < 65536 &&
           u->filler_sent < ((size_t)64 << 20)) {
        (void)evbuffer_add(out, u->filler, u->filler_size);
        u->filler_sent += u->filler_size;
    }
}

static inline void
send_response(Connection *c, const ScriptedResponse *r)
{
    if (r->kind == RESPONSE_NONE) {
        return;
    }
    size_t size = strlen(r->bytes);
    assert_int_equal(send(bufferevent_getfd(c->bev), r->bytes, size, 0), size);
    c->has_responded = true;
    if (r->kind == RESPONSE_KEEP_OPEN) {
        send_filler(c->bev, c);
    }
    if (c->upstream->filler_connection == c->number) {
        c->upstream->filled = c->bev;
    }
    if (r->kind == RESPONSE_CLOSE || r->kind == RESPONSE_RESET) {
        if (r->kind == RESPONSE_RESET) {
            reset_connection(c->bev);
        }
        else {
            bufferevent_free(c->bev);
        }
        free_connection(c);
    }
}

static inline void
on_upstream_read(struct bufferevent *bev, void *arg)
{
    Connection *c = arg;
    Upstream *u = c->upstream;
    struct evbuffer *in = bufferevent_get_input(bev);
    struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
    if (end.pos < 0 || u->next_response >= u->n_responses ||
        u->n_requests >= REQUESTS_MAX) {
        return;
    }
    char text[REQUEST_SIZE] = "";
    (void)evbuffer_copyout(in, text, sizeof(text) - 1);
    const char *length = strstr(text, "Content-Length: ");
    size_t body = length == NULL ? 0 : strtoul(length + 16, NULL, 10);
    size_t whole = (size_t)end.pos + 4 + body;
    const ScriptedResponse *r = &u->responses[u->next_response];
    if (evbuffer_get_length(in) < whole && r->kind != RESPONSE_EARLY) {
        return;
    }
    u->next_response++;
    CARO_COPY(u->requests[u->n_requests], text);
    u->n_requests++;
    evbuffer_drain(in, whole);
    u->latest = bev;
    send_response(c, r);
}

static inline void
on_upstream_event(struct bufferevent *bev, short what, void *arg)
{
    (void)what;
    Connection *c = arg;
    c->upstream->n_closed++;
    c->upstream->closed_at = CaroClock_Now();
    if (c->upstream->filled == bev) {
        c->upstream->filled = NULL;
    }
    bufferevent_free(bev);
    free_connection(c);
}

static inline void
on_upstream_accept(struct evconnlistener *listener, evutil_socket_t fd,
                   struct sockaddr *from, int size, void *arg)
{
    (void)listener;
    (void)from;
    (void)size;
    Upstream *u = arg;
    Connection *c = calloc(1, sizeof(*c));
    assert_non_null(c);
    c->upstream = u;
    c->bev = bufferevent_socket_new(u->base, fd, BEV_OPT_CLOSE_ON_FREE);
    c->number = ++u->n_connections;
    u->newest = c;
    bufferevent_setcb(c->bev, on_upstream_read, send_filler, on_upstream_event,
                      c);
    bufferevent_setwatermark(c->bev, EV_WRITE, 32768, 0);
    (void)bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

static inline void
read_address(evutil_socket_t fd, char out[CARO_ADDRESS_SIZE])
{
    struct sockaddr_in at;
    socklen_t size = sizeof(at);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    (void)snprintf(out, CARO_ADDRESS_SIZE, "127.0.0.1:%u", ntohs(at.sin_port));
}

/* Finds a free port: binds it once, then leaves it to the server. */
static inline void
reserve_address(char out[CARO_ADDRESS_SIZE])
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    read_address(fd, out);
    (void)evutil_closesocket(fd);
}

/* --- the gateway --- */

static inline void
close_upstream_in_use(Fixture *f)
{
    CaroTime now = CaroClock_Now();
    for (CaroHandle h = 0; h < CaroTargets_Count(f->deps.targets); h++) {
        if (CaroTargets_GetConst(f->deps.targets, h)->in_flight > 0) {
            CaroTargets_RecordLeaving(f->deps.targets, h, now);
            CaroRelays_OnTargetClosed(f->relays, h, now);
            return;
        }
    }
}

static inline void
on_request(void *context, CaroCall *call)
{
    Fixture *f = context;
    CaroRelays_Accept(f->relays, call, &f->route, NULL, CaroClock_Now());
    if (f->is_closed_early) {
        f->is_closed_early = false;
        close_upstream_in_use(f);
    }
    (void)usleep((useconds_t)f->stall);
}

static inline void
on_disconnected(void *context, CaroCall *call)
{
    (void)context;
    CaroRelays_OnCallerDisconnected(call, CaroClock_Now());
}

static inline void
on_drained(void *context, CaroCall *call)
{
    (void)context;
    CaroRelays_OnCallerDrained(call, CaroClock_Now());
}

static inline void
on_refused(void *context, const char *peer, int status, const char *reason)
{
    (void)context;
    (void)peer;
    (void)status;
    (void)reason;
}

static inline void
on_cut(void *context, const char *peer, size_t unsent, const char *reason)
{
    (void)context;
    (void)peer;
    (void)unsent;
    (void)reason;
}

static inline void
on_shed(void *context, const char *peer, size_t held)
{
    (void)context;
    (void)peer;
    (void)held;
}

static const CaroHttpServerHandlers handlers = {.on_request = on_request,
                                                .on_disconnected =
                                                    on_disconnected,
                                                .on_drained = on_drained,
                                                .on_refused = on_refused,
                                                .on_cut = on_cut,
                                                .on_shed = on_shed};

static inline void
put_started(Fixture *f, const char *id, int64_t started_at_ms)
{
    CaroTargetEntry e = {.slots = 4, .started_at_ms = started_at_ms};
    CARO_COPY(e.id, id);
    CARO_COPY(e.address, f->up.address);
    CARO_COPY(e.domain, "d");
    CARO_COPY(e.service, "s");
    CARO_COPY(e.version, "v1");
    (void)CaroTargets_Put(f->deps.targets, &e, CaroClock_Now());
}

static inline void
put_target(Fixture *f, const char *id)
{
    put_started(f, id, 0);
}

static inline int
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
    f->deps = (CaroRelayDeps){
        .base = f->base,
        .targets = CaroTargets_Create(),
        .pool = CaroChannelPool_Create(f->base, 16),
        .budget = CaroRetryBudget_Create(0.8, 100.0, 10 * CARO_SECOND),
        .rollouts = CaroServiceRollouts_Create(NULL, 0.0, 0.0),
        .counters = &f->counters,
        .latency = CaroLatency_Create(),
        .pace = CaroEnginePace_Create(),
        .retained = CaroRetainedPrompts_Create(),
        .rng = gsl_rng_alloc(gsl_rng_taus2),
        .domain = "d",
        .response_bytes_max = 24 << 20};
    f->deps.guard =
        CaroPromptGuard_Create(f->deps.targets, NULL, &f->counters);
    f->deps.limits = CaroRequestLimits_Create(f->deps.targets, f->deps.rng);
    f->deps.room = CaroServiceRoom_Create(f->deps.targets, f->deps.rng);
    f->relays = CaroRelays_Create(&f->deps);
    static const CaroRouteShare shares[] = {{.service = "s", .weight = 1}};
    f->route = (CaroRoute){.name = "r",
                           .timeout = 3 * CARO_SECOND,
                           .objective = 2 * CARO_SECOND,
                           .gap = 700 * CARO_MS,
                           .attempts_max = 4,
                           .n_shares = 1,
                           .shares = shares};
    CaroHttpServerLimits limits = {.held_bytes_max = 128 << 20,
                                   .head_bytes_max = 8192,
                                   .body_bytes_max = 32 << 20,
                                   .all_bytes_max = 64 << 20,
                                   .connections_max = 16,
                                   .head_timeout = CARO_SECOND,
                                   .idle_timeout = 5 * CARO_SECOND,
                                   .write_timeout = 5 * CARO_SECOND};
    reserve_address(f->server_address);
    f->server = CaroHttpServer_Create(f->base, f->server_address, &limits,
                                      &handlers, f, &err);
    assert_non_null(f->server);
    put_target(f, "t1");
    put_target(f, "t2");
    *state = f;
    return 0;
}

static inline int
teardown(void **state)
{
    Fixture *f = *state;
    if (f->caller != NULL) {
        bufferevent_free(f->caller);
    }
    CaroRelays_Destroy(f->relays);
    CaroHttpServer_Destroy(f->server);
    CaroChannelPool_Destroy(f->deps.pool);
    evconnlistener_free(f->up.listener);
    run_for(f, 2 * LOOP_STEP); /* The upstream frees its connections. */
    CaroPromptGuard_Destroy(f->deps.guard);
    CaroEnginePace_Destroy(f->deps.pace);
    CaroRetainedPrompts_Destroy(f->deps.retained);
    CaroRequestLimits_Destroy(f->deps.limits);
    CaroServiceRoom_Destroy(f->deps.room);
    CaroTargets_Destroy(f->deps.targets);
    CaroRetryBudget_Destroy(f->deps.budget);
    CaroServiceRollouts_Destroy(f->deps.rollouts);
    CaroLatency_Destroy(f->deps.latency);
    gsl_rng_free(f->deps.rng);
    event_base_free(f->base);
    free(f);
    return 0;
}

/* --- the caller --- */

static inline void
on_caller_read(struct bufferevent *bev, void *arg)
{
    Fixture *f = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    size_t room = sizeof(f->received) - 1 - f->n_received;
    int n = evbuffer_remove(in, f->received + f->n_received, room);
    f->n_received += n > 0 ? (size_t)n : 0;
    f->received[f->n_received] = '\0';
}

static inline void
on_caller_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    Fixture *f = arg;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        f->is_closed = true;
        f->is_reset = (what & BEV_EVENT_ERROR) != 0;
    }
}

static inline void
send_text(Fixture *f, const char *text)
{
    if (f->caller == NULL) {
        struct sockaddr_in at = {.sin_family = AF_INET};
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port =
            htons((uint16_t)atoi(strchr(f->server_address, ':') + 1));
        f->caller = bufferevent_socket_new(f->base, -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(f->caller, on_caller_read, NULL, on_caller_event, f);
        (void)bufferevent_enable(f->caller, EV_READ | EV_WRITE);
        assert_int_equal(bufferevent_socket_connect(
                             f->caller, (struct sockaddr *)&at, sizeof(at)),
                         0);
    }
    (void)bufferevent_write(f->caller, text, strlen(text));
}

/* Sends a request with the id and a body of that size, then runs the loop
   for "wait". */
static inline void
request(Fixture *f, const char *id, size_t body, CaroTime wait)
{
    char head[256];
    (void)snprintf(head, sizeof(head),
                   "POST /p/%s HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: %s\r\n"
                   "X-Deadline-Ms: 2500\r\nX-Hold: mine\r\n"
                   "Kv-From: other\r\nX-Tenant: other\r\n"
                   "%sContent-Length: %zu\r\n\r\n",
                   id, id, f->more_headers == NULL ? "" : f->more_headers,
                   body);
    f->n_received = 0;
    f->received[0] = '\0';
    send_text(f, head);
    char *filler = calloc(1, body + 1);
    assert_non_null(filler);
    memset(filler, 'x', body);
    send_text(f, filler);
    free(filler);
    run_for(f, wait);
}

static inline void
script(Fixture *f, ResponseKind kind, const char *bytes)
{
    assert_true(f->up.n_responses < RESPONSES_MAX);
    f->up.responses[f->up.n_responses++] = (ScriptedResponse){kind, bytes};
}

#define RESPONSE(id, body)                                                    \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id "\r\nX-Response-Seal: s-" id       \
    "\r\nContent-Length: 4\r\n\r\n" body

#define STREAM_HEAD(id)                                                       \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id                                    \
    "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"           \
    "Transfer-Encoding: chunked\r\n\r\n"

#define RELAY_TEST(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

#endif
