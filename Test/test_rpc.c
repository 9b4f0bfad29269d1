/* Tests of the RPC transport, between a client and a server in one process. */
#include "test.h"

#include "internal/caro_rpc.h"

#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct {
    struct event_base *base;
    CaroRpc *server;
    CaroRpc *client;
    char server_address[CARO_ADDRESS_SIZE];
    char client_address[CARO_ADDRESS_SIZE];
    bool ignores_requests; /* The server sends no replies. */
    int code;
    int calls;
    uint64_t revision;
} Fixture;

static Fixture fixture;

/*
 * Finds a local address whose TCP port is free.  Another process may take it
 * before it is bound again.
 */
static void
find_free_address(char out[CARO_ADDRESS_SIZE])
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &size), 0);
    (void)close(fd);
    (void)snprintf(out, CARO_ADDRESS_SIZE, "127.0.0.1:%d",
                   ntohs(address.sin_port));
}

static void
on_request(void *context, CaroRpcRequest *request, uint32_t procedure,
           void *args)
{
    (void)context;
    if (fixture.ignores_requests) {
        CaroRpc_Ignore(request);
        return;
    }
    if (procedure == CARO_CONFIG) {
        caro_config reply;
        memset(&reply, 0, sizeof(reply));
        reply.revision = ((caro_heartbeat *)args)->config_revision + 1;
        reply.text.text_val = "text";
        reply.text.text_len = 4;
        CaroRpc_Reply(request, &reply);
        return;
    }
    CaroRpc_Reply(request, args);
}

static void
on_done(void *context, int code, const void *result)
{
    fixture.code = code;
    fixture.calls++;
    if (code == 0 && context != NULL) {
        fixture.revision = ((const caro_config *)result)->revision;
    }
    event_base_loopbreak(fixture.base);
}

static int
setup(void **state)
{
    (void)state;
    memset(&fixture, 0, sizeof(fixture));
    CaroError err;
    fixture.base = event_base_new();
    find_free_address(fixture.server_address);
    find_free_address(fixture.client_address);
    fixture.server = CaroRpc_Create(fixture.base, fixture.server_address,
                                    on_request, NULL, &err);
    fixture.client = CaroRpc_Create(fixture.base, fixture.client_address,
                                    on_request, NULL, &err);
    return fixture.server != NULL && fixture.client != NULL ? 0 : -1;
}

static int
teardown(void **state)
{
    (void)state;
    CaroRpc_Destroy(fixture.client);
    CaroRpc_Destroy(fixture.server);
    event_base_free(fixture.base);
    return 0;
}

static void
call(CaroRpcTransport transport, uint32_t procedure, uint64_t revision,
     CaroTime timeout)
{
    caro_heartbeat h = {.sender = "n1", .config_revision = revision};
    CaroRpc_Call(fixture.client, fixture.server_address, transport, procedure,
                 &h, timeout, on_done,
                 procedure == CARO_CONFIG ? &fixture : NULL);
    event_base_dispatch(fixture.base);
}

static void
test_call_over_udp_and_tcp(void **state)
{
    (void)state;
    call(CARO_RPC_UDP, CARO_HEARTBEAT, 1, CARO_SECOND);
    assert_int_equal(fixture.code, 0);
    call(CARO_RPC_TCP, CARO_CONFIG, 41, CARO_SECOND);
    assert_int_equal(fixture.code, 0);
    assert_int_equal(fixture.revision, 42);
}

static void
test_call_times_out_without_reply(void **state)
{
    (void)state;
    fixture.ignores_requests = true;
    call(CARO_RPC_UDP, CARO_HEARTBEAT, 1, 30 * CARO_MS);
    assert_int_equal(fixture.code, CARO_ERR_TIMEOUT);
    call(CARO_RPC_TCP, CARO_CONFIG, 1, 30 * CARO_MS);
    assert_int_equal(fixture.code, CARO_ERR_TIMEOUT);
    assert_int_equal(fixture.calls, 2);
}

static void
test_tcp_call_fails_when_peer_is_down(void **state)
{
    (void)state;
    fixture.ignores_requests = true;
    CaroRpc_Destroy(fixture.server);
    fixture.server = NULL;
    call(CARO_RPC_TCP, CARO_CONFIG, 1, CARO_SECOND);
    assert_int_equal(fixture.code, CARO_ERR_IO);
    assert_int_equal(fixture.calls, 1);
}

/* Guards against calls that wait behind what a dead connection did not send.
 */
static void
test_call_after_a_timeout_opens_a_new_connection(void **state)
{
    (void)state;
    struct sockaddr_storage address;
    int size = sizeof(address);
    CaroRpc_Destroy(fixture.server);
    fixture.server = NULL;
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    int on = 1;
    assert_int_equal(evutil_parse_sockaddr_port(fixture.server_address,
                                                (struct sockaddr *)&address,
                                                &size),
                     0);
    (void)setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    assert_int_equal(
        bind(listener, (struct sockaddr *)&address, (socklen_t)size), 0);
    assert_int_equal(listen(listener, 4), 0);
    for (int i = 0; i < 2; i++) {
        call(CARO_RPC_TCP, CARO_CONFIG, 1, 30 * CARO_MS);
        assert_int_equal(fixture.code, CARO_ERR_TIMEOUT);
        int fd = accept(listener, NULL, NULL);
        assert_true(fd >= 0);
        (void)close(fd);
    }
    (void)close(listener);
}

/* Guards against a connection that is given up while its peer replies. */
static void
test_slow_call_keeps_a_connection_that_receives(void **state)
{
    (void)state;
    fixture.ignores_requests = true;
    caro_heartbeat h = {.sender = "n1"};
    CaroRpc_Call(fixture.client, fixture.server_address, CARO_RPC_TCP,
                 CARO_CONFIG, &h, 300 * CARO_MS, on_done, &fixture);
    event_base_loop(fixture.base, EVLOOP_NONBLOCK);
    struct timeval wait = {.tv_usec = 50000};
    event_base_loopexit(fixture.base, &wait);
    event_base_dispatch(fixture.base);
    fixture.ignores_requests = false;
    call(CARO_RPC_TCP, CARO_CONFIG, 41, CARO_SECOND);
    assert_int_equal(fixture.code, 0);
    event_base_dispatch(fixture.base);
    assert_int_equal(fixture.code, CARO_ERR_TIMEOUT);
    call(CARO_RPC_TCP, CARO_CONFIG, 41, CARO_SECOND);
    assert_int_equal(fixture.code, 0);
    assert_int_equal(CaroRpc_CountConnections(fixture.client), 1);
}

static void
test_malformed_datagrams_are_ignored(void **state)
{
    (void)state;
    struct sockaddr_storage to;
    int size = sizeof(to);
    char datagram[512];
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    assert_int_equal(evutil_parse_sockaddr_port(fixture.server_address,
                                                (struct sockaddr *)&to, &size),
                     0);
    for (int i = 0; i < 512; i++) {
        memset(datagram, i, sizeof(datagram));
        (void)sendto(fd, datagram, (size_t)i, 0, (struct sockaddr *)&to,
                     (socklen_t)size);
    }
    (void)close(fd);
    call(CARO_RPC_UDP, CARO_HEARTBEAT, 1, CARO_SECOND);
    assert_int_equal(fixture.code, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_call_over_udp_and_tcp, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_call_times_out_without_reply,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_tcp_call_fails_when_peer_is_down,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_call_after_a_timeout_opens_a_new_connection, setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_slow_call_keeps_a_connection_that_receives, setup, teardown),
        cmocka_unit_test_setup_teardown(test_malformed_datagrams_are_ignored,
                                        setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
