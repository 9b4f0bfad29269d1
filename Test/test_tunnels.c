/*
 * Tests of channels through a gate, over loopback: a VM whose links are cut,
 * the gate, and an upstream whose response is written by hand.
 */
#include "test.h"

#include "caro_peer.h"
#include "internal/caro_clock.h"
#include "internal/caro_tunnel_gate.h"
#include "internal/caro_upstream_paths.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MS CARO_MS

enum { BODY_BYTES = 600000, GATE_BOOT = 22, VM_BOOT = 11 };

typedef enum { END_KEPT, END_CLOSED, END_RESET, END_GATE_LOST } End;

typedef struct {
    struct event_base *base;
    struct evconnlistener *upstream;
    struct bufferevent *connection; /* At the upstream. */
    bool is_connection_closed;
    size_t received; /* Bytes of requests. */
    End end;
    bool has_length;
    bool holds_response;
    char upstream_address[CARO_ADDRESS_SIZE];
    char gate_address[CARO_ADDRESS_SIZE];
    CaroCounters counters;
    CaroTargets *targets; /* The same table at both VMs. */
    CaroMembership *at_vm;
    CaroMembership *at_gate;
    CaroTunnelGate *gate;
    bool is_gate_able;
    int gate_connections;
    CaroUpstreamPaths *paths;
    gsl_rng *rng;
    CaroHandle target;
    /* What the channel's owner was told. */
    CaroChannel *channel;
    int status;
    size_t body;
    bool has_end;
    int failure; /* 0 for none. */
} Fixture;

static void
on_connection_end(struct bufferevent *bev, short what, void *context)
{
    Fixture *f = context;
    (void)what;
    f->is_connection_closed = true;
    f->connection = NULL;
    bufferevent_free(bev);
}

static void
on_response_sent(struct bufferevent *bev, void *context)
{
    Fixture *f = context;
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    if (f->end == END_RESET) {
        (void)setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
                         sizeof(reset));
    }
    if (f->end == END_CLOSED || f->end == END_RESET) {
        f->connection = NULL;
        bufferevent_free(bev);
    }
    if (f->end == END_GATE_LOST) {
        CaroTunnelGate_Destroy(f->gate);
        f->gate = NULL;
    }
}

static void
respond(Fixture *f)
{
    char *body = calloc(1, BODY_BYTES);
    struct evbuffer *out = bufferevent_get_output(f->connection);
    bufferevent_setcb(f->connection, NULL, on_response_sent, on_connection_end,
                      f);
    (void)evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n");
    if (f->has_length) {
        (void)evbuffer_add_printf(out, "Content-Length: %d\r\n", BODY_BYTES);
    }
    (void)evbuffer_add_printf(out, "\r\n");
    (void)evbuffer_add(out, body, BODY_BYTES);
    free(body);
}

static void
on_upstream_request(struct bufferevent *bev, void *context)
{
    Fixture *f = context;
    struct evbuffer *in = bufferevent_get_input(bev);
    f->received += evbuffer_get_length(in);
    bool is_whole = evbuffer_search(in, "\r\n\r\n", 4, NULL).pos >= 0;
    evbuffer_drain(in, evbuffer_get_length(in));
    if (is_whole && !f->holds_response) {
        respond(f);
    }
}

static void
on_upstream_accept(struct evconnlistener *listener, evutil_socket_t fd,
                   struct sockaddr *address, int size, void *context)
{
    Fixture *f = context;
    (void)listener;
    (void)address;
    (void)size;
    f->connection = bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(f->connection, on_upstream_request, NULL,
                      on_connection_end, f);
    (void)bufferevent_enable(f->connection, EV_READ | EV_WRITE);
}

static struct evconnlistener *
listen_at(Fixture *f, char address[CARO_ADDRESS_SIZE])
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    struct evconnlistener *l = evconnlistener_new_bind(
        f->base, on_upstream_accept, f, LEV_OPT_CLOSE_ON_FREE, 16,
        (struct sockaddr *)&at, sizeof(at));
    (void)getsockname(evconnlistener_get_fd(l), (struct sockaddr *)&at, &size);
    (void)snprintf(address, CARO_ADDRESS_SIZE, "127.0.0.1:%d",
                   ntohs(at.sin_port));
    return l;
}

static bool
is_able(void *context)
{
    const Fixture *f = context;
    return f->is_gate_able;
}

static void
on_gate_connection(void *context, CaroHandle upstream, bool is_connected)
{
    Fixture *f = context;
    assert_int_equal(upstream, f->target);
    f->gate_connections += is_connected;
}

static CaroVm
make_vm(const char *name, const char *peer, uint64_t boot_id)
{
    CaroVm vm = {
        .incarnation = 1, .boot_id = boot_id, .state = CARO_MEMBER_ALIVE};
    CARO_COPY(vm.name, name);
    CARO_COPY(vm.peer, peer);
    CARO_COPY(vm.http, peer);
    CARO_COPY(vm.domain, "d");
    CARO_COPY(vm.region, "r");
    return vm;
}

static CaroMembership *
make_members(const CaroVm *self, const CaroVm *other)
{
    CaroMembership *m = CaroMembership_Create(self, CARO_SECOND, 1, 0);
    caro_member_update u = {.name = (char *)other->name,
                            .http = (char *)other->http,
                            .peer = (char *)other->peer,
                            .domain = (char *)other->domain,
                            .region = (char *)other->region,
                            .incarnation = 1,
                            .boot_id = other->boot_id};
    (void)CaroMembership_Apply(m, &u, 0);
    return m;
}

static void
put_target(Fixture *f)
{
    CaroTargetEntry e = {.slots = 4, .started_at_ms = 5};
    CARO_COPY(e.id, "t1");
    CARO_COPY(e.address, f->upstream_address);
    CARO_COPY(e.domain, "d");
    CARO_COPY(e.service, "s");
    CARO_COPY(e.version, "v1");
    f->target = CaroTargets_Put(f->targets, &e, CaroClock_Now());
}

static void
run_for(Fixture *f, CaroTime time)
{
    struct timeval t = {.tv_sec = time / CARO_SECOND,
                        .tv_usec = time % CARO_SECOND};
    (void)event_base_loopexit(f->base, &t);
    (void)event_base_dispatch(f->base);
}

/* Lets the probe of the links fail: the upstream is registered at a port where
   nobody listens. */
static void
cut_link(Fixture *f)
{
    char address[CARO_ADDRESS_SIZE];
    CaroTarget *target = CaroTargets_Get(f->targets, f->target);
    CARO_COPY(address, target->entry.address);
    CARO_COPY(target->entry.address, "127.0.0.1:1");
    for (int i = 0;
         i < 50 && CaroUpstreamPaths_State(f->paths) != CARO_LINKS_TUNNELED;
         i++) {
        (void)CaroUpstreamPaths_Tick(f->paths, 1, CaroClock_Now());
        run_for(f, 10 * MS);
    }
    CARO_COPY(target->entry.address, address);
}

/* Creates the paths of the VM, whose links are cut, with a boot id that the
   gate may not know. */
static void
make_paths(Fixture *f, uint64_t boot_id)
{
    CaroUpstreamPathsDeps deps = {.base = f->base,
                                  .membership = f->at_vm,
                                  .targets = f->targets,
                                  .counters = &f->counters,
                                  .rng = f->rng,
                                  .vm = "vm",
                                  .boot_id = boot_id};
    CaroUpstreamPaths_Destroy(f->paths);
    f->paths = CaroUpstreamPaths_Create(&deps);
    for (CaroHandle h = 0; h < 3; h++) {
        CaroUpstreamPaths_RecordDirect(f->paths, h, false);
    }
    cut_link(f);
    assert_int_equal(CaroUpstreamPaths_State(f->paths), CARO_LINKS_TUNNELED);
}

static int
set_up(void **state)
{
    Fixture *f = calloc(1, sizeof(*f));
    CaroError err;
    f->base = event_base_new();
    f->rng = gsl_rng_alloc(gsl_rng_taus2);
    f->upstream = listen_at(f, f->upstream_address);
    evconnlistener_free(listen_at(f, f->gate_address));
    f->targets = CaroTargets_Create();
    put_target(f);
    CaroVm vm = make_vm("vm", "127.0.0.1:1", VM_BOOT);
    CaroVm gate = make_vm("gate", f->gate_address, GATE_BOOT);
    f->at_vm = make_members(&vm, &gate);
    f->at_gate = make_members(&gate, &vm);
    f->is_gate_able = true;
    CaroTunnelGateDeps deps = {.base = f->base,
                               .membership = f->at_gate,
                               .targets = f->targets,
                               .counters = &f->counters,
                               .boot_id = GATE_BOOT,
                               .tunnels_max = 4,
                               .is_able = is_able,
                               .on_connection = on_gate_connection,
                               .context = f};
    f->gate = CaroTunnelGate_Create(f->gate_address, &deps, &err);
    assert_non_null(f->gate);
    make_paths(f, VM_BOOT);
    f->has_length = true;
    *state = f;
    return 0;
}

static int
tear_down(void **state)
{
    Fixture *f = *state;
    CaroChannel_Destroy(f->channel);
    CaroUpstreamPaths_Destroy(f->paths);
    CaroTunnelGate_Destroy(f->gate);
    if (f->connection != NULL) {
        bufferevent_free(f->connection);
    }
    evconnlistener_free(f->upstream);
    CaroMembership_Destroy(f->at_vm);
    CaroMembership_Destroy(f->at_gate);
    CaroTargets_Destroy(f->targets);
    gsl_rng_free(f->rng);
    event_base_free(f->base);
    free(f);
    return 0;
}

static void
on_head(void *context, const CaroHttpHead *head)
{
    Fixture *f = context;
    f->status = head->status;
}

static void
on_body(void *context, CaroText bytes)
{
    Fixture *f = context;
    f->body += bytes.size;
}

static void
on_end(void *context)
{
    Fixture *f = context;
    f->has_end = true;
    (void)event_base_loopbreak(f->base);
}

static void
on_failure(void *context, int code, const char *reason)
{
    Fixture *f = context;
    (void)reason;
    f->failure = code;
    (void)event_base_loopbreak(f->base);
}

static const CaroChannelEvents events = {.on_head = on_head,
                                         .on_body = on_body,
                                         .on_end = on_end,
                                         .on_failure = on_failure};

/* Sends a request with a body through the gate, and waits for its end. */
static void
request(Fixture *f, size_t body_bytes)
{
    struct evbuffer *out = evbuffer_new();
    char *body = calloc(1, body_bytes + 1);
    f->has_end = false;
    f->failure = 0;
    f->body = 0;
    (void)evbuffer_add(out, body, body_bytes);
    free(body);
    (void)evbuffer_add_printf(out, "\r\n\r\n");
    if (f->channel == NULL) {
        f->channel =
            CaroUpstreamPaths_Open(f->paths, f->target, f->upstream_address,
                                   300 * MS, CaroClock_Now());
    }
    assert_non_null(f->channel);
    CaroChannel_Start(f->channel, out, false, &events, f);
    evbuffer_free(out);
    run_for(f, 2000 * MS);
}

static void
test_response_passes_whole_and_the_channel_is_used_again(void **state)
{
    Fixture *f = *state;
    for (int i = 0; i < 2; i++) {
        request(f, BODY_BYTES);
        assert_int_equal(f->failure, 0);
        assert_true(f->has_end);
        assert_int_equal(f->status, 200);
        assert_int_equal(f->body, BODY_BYTES);
        assert_true(CaroChannel_IsReusable(f->channel));
        bufferevent_setcb(f->connection, on_upstream_request, NULL,
                          on_connection_end, f);
    }
    assert_true(CaroChannel_IsTunneled(f->channel));
    assert_int_equal(f->received, 2 * (BODY_BYTES + 4));
    assert_int_equal(f->gate_connections, 1);
}

/* Guards against a part of a response that is taken for the whole. */
static void
test_only_the_upstreams_own_close_ends_a_response(void **state)
{
    Fixture *f = *state;
    static const End ends[] = {END_CLOSED, END_RESET, END_GATE_LOST};
    f->has_length = false;
    for (int i = 0; i < 3; i++) {
        f->end = ends[i];
        request(f, 10);
        assert_int_equal(f->has_end, ends[i] == END_CLOSED);
        assert_int_equal(f->failure == CARO_ERR_IO, ends[i] != END_CLOSED);
        CaroChannel_Destroy(f->channel);
        f->channel = NULL;
    }
}

/* Guards against work that goes on for a caller who has left. */
static void
test_closed_channel_closes_the_upstreams_connection(void **state)
{
    Fixture *f = *state;
    f->holds_response = true;
    request(f, 10);
    assert_false(f->is_connection_closed);
    CaroChannel_Destroy(f->channel);
    f->channel = NULL;
    run_for(f, 200 * MS);
    assert_true(f->is_connection_closed);
    assert_int_equal(CaroTunnelGate_Count(f->gate), 0);
}

/* Guards against strangers that use the way between VMs. */
static void
test_only_members_are_served(void **state)
{
    Fixture *f = *state;
    make_paths(f, VM_BOOT + 1);
    request(f, 10);
    assert_int_equal(f->failure, CARO_ERR_STATE);
    assert_int_equal(f->received, 0);
    assert_int_equal(f->counters.values[CARO_COUNT_TUNNELS_REFUSED], 1);
}

/* Guards against tunnels to anything but upstreams, other gates included. */
static void
test_only_registered_upstreams_are_reached(void **state)
{
    Fixture *f = *state;
    f->channel = CaroUpstreamPaths_Open(f->paths, f->target, "127.0.0.1:9",
                                        300 * MS, CaroClock_Now());
    request(f, 10);
    assert_int_equal(f->failure, CARO_ERR_STATE);
    assert_int_equal(f->received, 0);
    assert_int_equal(f->gate_connections, 0);
}

/* Guards against a detour that ends at another VM without links. */
static void
test_gate_without_links_says_so_at_once(void **state)
{
    Fixture *f = *state;
    f->is_gate_able = false;
    CaroTime started = CaroClock_Now();
    request(f, 10);
    assert_int_equal(f->failure, CARO_ERR_STATE);
    assert_false(CaroChannel_IsSent(f->channel));
    assert_true(CaroClock_Now() - started < 200 * MS);
    /* There is no other VM. */
    assert_null(CaroUpstreamPaths_Open(
        f->paths, f->target, f->upstream_address, 300 * MS, CaroClock_Now()));
}

/* Guards against bytes of strangers that stop a gate or leave tunnels open. */
static void
test_malformed_first_records_are_dropped(void **state)
{
    Fixture *f = *state;
    static const char *const records[] = {
        "", "GET / HTTP/1.1\r\n\r\n", "\0\0\0\4abcd",
        "\0\0\1\0aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"};
    static const size_t sizes[] = {0, 18, 8, 48};
    struct sockaddr_storage to;
    for (int i = 0; i < 4; i++) {
        int size = sizeof(to);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        assert_int_equal(
            evutil_parse_sockaddr_port(CaroMembership_Get(f->at_vm, 1)->peer,
                                       (struct sockaddr *)&to, &size),
            0);
        assert_int_equal(connect(fd, (struct sockaddr *)&to, (socklen_t)size),
                         0);
        assert_int_equal(send(fd, records[i], sizes[i], 0), sizes[i]);
        run_for(f, i == 3 ? 1200 * MS : 50 * MS);
        (void)close(fd);
    }
    run_for(f, 1200 * MS);
    assert_int_equal(CaroTunnelGate_Count(f->gate), 0);
    request(f, 10);
    assert_true(f->has_end);
}

/* Lets the VM and the gate run; leases pass if "has_link". */
static void
run_with_leases(Fixture *f, CaroTime time, bool has_link)
{
    static CaroTunnelLease out;
    CaroTime end = CaroClock_Now() + time;
    while (CaroClock_Now() < end && !f->is_connection_closed) {
        run_for(f, 10 * MS);
        CaroTime now = CaroClock_Now();
        while (CaroUpstreamPaths_CollectLease(f->paths, &out, now)) {
            out.lease.sender = "vm";
            if (has_link) {
                CaroTunnelGate_ApplyLease(f->gate, &out.lease, now);
            }
        }
        CaroTunnelGate_Tick(f->gate, now);
    }
}

/* Begins a request that the upstream does not answer. */
static void
begin_request(Fixture *f)
{
    struct evbuffer *out = evbuffer_new();
    f->holds_response = true;
    (void)evbuffer_add_printf(out, "GET / HTTP/1.1\r\n\r\n");
    f->channel = CaroUpstreamPaths_Open(
        f->paths, f->target, f->upstream_address, 300 * MS, CaroClock_Now());
    CaroChannel_Start(f->channel, out, false, &events, f);
    evbuffer_free(out);
    run_with_leases(f, 300 * MS, true);
    assert_int_equal(f->gate_connections, 1);
    assert_false(f->is_connection_closed);
}

/* Destroys the channel so that the gate gets no close: the socket stays open
   by another descriptor, which is returned. */
static int
lose_channel(Fixture *f)
{
    struct sockaddr_in peer;
    struct sockaddr_in gate;
    socklen_t size;
    int copy = -1;
    gate.sin_port =
        htons((uint16_t)strtoul(strchr(f->gate_address, ':') + 1, NULL, 10));
    for (int fd = 3; fd < 256 && copy < 0; fd++) {
        size = sizeof(peer);
        if (getpeername(fd, (struct sockaddr *)&peer, &size) == 0 &&
            peer.sin_family == AF_INET && peer.sin_port == gate.sin_port) {
            copy = dup(fd);
        }
    }
    assert_true(copy >= 0);
    CaroChannel_Destroy(f->channel);
    f->channel = NULL;
    return copy;
}

/* Guards against a request that goes on at its upstream while the VM has sent
   it elsewhere, as the gate never got the close. */
static void
test_gate_cancels_a_request_whose_close_got_lost(void **state)
{
    Fixture *f = *state;
    begin_request(f);
    int copy = lose_channel(f);
    run_with_leases(f, 400 * MS, true);
    assert_true(f->is_connection_closed);
    assert_int_equal(f->counters.values[CARO_COUNT_TUNNELS_LEFT], 1);
    (void)close(copy);
}

/* Likewise when nothing of the VM arrives any more. */
static void
test_gate_cancels_the_requests_of_a_vm_that_is_cut_off(void **state)
{
    Fixture *f = *state;
    begin_request(f);
    int copy = lose_channel(f);
    run_with_leases(f, 620 * MS, false);
    assert_true(f->is_connection_closed);
    (void)close(copy);
}

/* Guards against a request that is cancelled while its VM waits for it. */
static void
test_leases_keep_a_tunnel(void **state)
{
    Fixture *f = *state;
    begin_request(f);
    run_with_leases(f, 1500 * MS, true);
    assert_false(f->is_connection_closed);
}

/* Guards against tunnels of a version that names none, which end at once. */
static void
test_tunnel_without_a_number_needs_no_lease(void **state)
{
    Fixture *f = *state;
    char record[CARO_TUNNEL_HELLO_MAX];
    uint32_t size;
    XDR xdr;
    caro_tunnel_hello hello = {
        .sender = "vm",
        .sender_boot_id = VM_BOOT,
        .gate_boot_id = GATE_BOOT,
        .upstream = CaroTargets_GetConst(f->targets, f->target)->start_hash,
        .address = f->upstream_address};
    struct sockaddr_in gate = {.sin_family = AF_INET};
    gate.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    gate.sin_port =
        htons((uint16_t)strtoul(strchr(f->gate_address, ':') + 1, NULL, 10));
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&gate, sizeof(gate)), 0);
    xdrmem_create(&xdr, record + sizeof(size), sizeof(record) - sizeof(size),
                  XDR_ENCODE);
    assert_true(xdr_caro_tunnel_hello(&xdr, &hello));
    size = htonl(xdr_getpos(&xdr));
    memcpy(record, &size, sizeof(size));
    size_t bytes = sizeof(size) + xdr_getpos(&xdr);
    assert_int_equal(write(fd, record, bytes), bytes);
    run_with_leases(f, 900 * MS, false);
    assert_int_equal(f->gate_connections, 1);
    assert_false(f->is_connection_closed);
    (void)close(fd);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            test_response_passes_whole_and_the_channel_is_used_again, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_only_the_upstreams_own_close_ends_a_response, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_closed_channel_closes_the_upstreams_connection, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(test_only_members_are_served, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(
            test_only_registered_upstreams_are_reached, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_gate_without_links_says_so_at_once, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_malformed_first_records_are_dropped, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_gate_cancels_a_request_whose_close_got_lost, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_gate_cancels_the_requests_of_a_vm_that_is_cut_off, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(test_leases_keep_a_tunnel, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(
            test_tunnel_without_a_number_needs_no_lease, set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
