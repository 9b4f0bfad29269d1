/* Tests of the engine client's connections. */
#include "test.h"

#include "internal/caro_engine.h"
#include "internal/caro_types.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { FDS_MAX = 256 };

static void
on_event(void *context, uint64_t id, uint32_t attempt,
         const CaroEngineEvent *event)
{
    (void)context;
    (void)id;
    (void)attempt;
    (void)event;
}

/* Returns the socket that is connecting to the port, or -1. */
static int
find_socket(uint16_t port)
{
    for (int fd = 0; fd < FDS_MAX; fd++) {
        struct sockaddr_in to;
        socklen_t size = sizeof(to);
        if (getpeername(fd, (struct sockaddr *)&to, &size) == 0 &&
            to.sin_family == AF_INET && to.sin_port == port) {
            return fd;
        }
    }
    return -1;
}

static int
get_option(int fd, int level, int option)
{
    int value = 0;
    socklen_t size = sizeof(value);
    assert_int_equal(getsockopt(fd, level, option, &value, &size), 0);
    return value;
}

static void
test_dead_engine_is_detected_without_a_timeout_of_the_generation(void **state)
{
    (void)state;
    struct event_base *base = event_base_new();
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(at);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(listener, (struct sockaddr *)&at, size), 0);
    assert_int_equal(listen(listener, 4), 0);
    assert_int_equal(getsockname(listener, (struct sockaddr *)&at, &size), 0);
    char address[CARO_ADDRESS_SIZE];
    (void)snprintf(address, sizeof(address), "127.0.0.1:%u",
                   ntohs(at.sin_port));
    CaroEngineRequest request = {.id = 1,
                                 .attempt = 1,
                                 .address = address,
                                 .model = "m",
                                 .version = "v",
                                 .prompt = "p",
                                 .prefix = "",
                                 .tokens_max = 1};
    CaroEngineStream *stream = CaroEngine_Open(base, &request, on_event, NULL);
    assert_non_null(stream);
    /* The options are set when the connection is established; until then the
       connect timeout of the channel detects a dead engine. */
    (void)event_base_loop(base, EVLOOP_ONCE);
    int fd = find_socket(at.sin_port);
    assert_true(fd >= 0);
    assert_int_equal(get_option(fd, SOL_SOCKET, SO_KEEPALIVE), 1);
    assert_in_range(get_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT), 1, 5000);
    CaroEngine_Cancel(stream);
    (void)event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
    (void)close(listener);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_dead_engine_is_detected_without_a_timeout_of_the_generation),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
