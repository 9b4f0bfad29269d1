/* Tests of ONC RPC over the loop, between two ends in one process. */
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
    bool is_silent; /* The server drops requests. */
    int code;
    int calls;
    uint64_t revision;
} Ends;

static Ends ends;

/* An address that nothing used a moment ago. */
static void
free_address(char out[CARO_ADDRESS_SIZE])
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    (void)close(fd);
    (void)snprintf(out, CARO_ADDRESS_SIZE, "127.0.0.1:%d", ntohs(at.sin_port));
}

static void
on_call(void *context, CaroRpcRequest *request, uint32_t procedure, void *args)
{
    (void)context;
    if (ends.is_silent) {
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
    ends.code = code;
    ends.calls++;
    if (code == 0 && context != NULL) {
        ends.revision = ((const caro_config *)result)->revision;
    }
    event_base_loopbreak(ends.base);
}

static int
setup(void **state)
{
    (void)state;
    memset(&ends, 0, sizeof(ends));
    CaroError err;
    ends.base = event_base_new();
    free_address(ends.server_address);
    free_address(ends.client_address);
    ends.server =
        CaroRpc_Create(ends.base, ends.server_address, on_call, NULL, &err);
    ends.client =
        CaroRpc_Create(ends.base, ends.client_address, on_call, NULL, &err);
    return ends.server != NULL && ends.client != NULL ? 0 : -1;
}

static int
teardown(void **state)
{
    (void)state;
    CaroRpc_Destroy(ends.client);
    CaroRpc_Destroy(ends.server);
    event_base_free(ends.base);
    return 0;
}

static void
call(CaroRpcTransport transport, uint32_t procedure, uint64_t revision,
     CaroTime timeout)
{
    caro_heartbeat h = {.sender = "n1", .config_revision = revision};
    CaroRpc_Call(ends.client, ends.server_address, transport, procedure, &h,
                 timeout, on_done, procedure == CARO_CONFIG ? &ends : NULL);
    event_base_dispatch(ends.base);
}

static void
test_calls_over_udp_and_tcp(void **state)
{
    (void)state;
    call(CARO_RPC_UDP, CARO_HEARTBEAT, 1, CARO_SECOND);
    assert_int_equal(ends.code, 0);
    call(CARO_RPC_TCP, CARO_CONFIG, 41, CARO_SECOND);
    assert_int_equal(ends.code, 0);
    assert_int_equal(ends.revision, 42);
}

static void
test_a_silent_peer_is_a_timeout(void **state)
{
    (void)state;
    ends.is_silent = true;
    call(CARO_RPC_UDP, CARO_HEARTBEAT, 1, 30 * CARO_MS);
    assert_int_equal(ends.code, CARO_ERR_TIMEOUT);
    call(CARO_RPC_TCP, CARO_CONFIG, 1, 30 * CARO_MS);
    assert_int_equal(ends.code, CARO_ERR_TIMEOUT);
    assert_int_equal(ends.calls, 2);
}

static void
test_a_lost_connection_fails_the_call(void **state)
{
    (void)state;
    ends.is_silent = true;
    CaroRpc_Destroy(ends.server);
    ends.server = NULL;
    call(CARO_RPC_TCP, CARO_CONFIG, 1, CARO_SECOND);
    assert_int_equal(ends.code, CARO_ERR_IO);
    assert_int_equal(ends.calls, 1);
}

static void
test_garbage_is_ignored(void **state)
{
    (void)state;
    struct sockaddr_storage to;
    int size = sizeof(to);
    char junk[512];
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    assert_int_equal(evutil_parse_sockaddr_port(ends.server_address,
                                                (struct sockaddr *)&to, &size),
                     0);
    for (int i = 0; i < 512; i++) {
        memset(junk, i, sizeof(junk));
        (void)sendto(fd, junk, (size_t)i, 0, (struct sockaddr *)&to,
                     (socklen_t)size);
    }
    (void)close(fd);
    call(CARO_RPC_UDP, CARO_HEARTBEAT, 1, CARO_SECOND);
    assert_int_equal(ends.code, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_calls_over_udp_and_tcp, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_a_silent_peer_is_a_timeout, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_a_lost_connection_fails_the_call,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_garbage_is_ignored, setup,
                                        teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
