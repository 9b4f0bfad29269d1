/*
 * Tests of the connections of callers: which of them are closed, when, and
 * what becomes of the requests and responses on them.  The server and its
 * callers run in one process, over loopback.
 */
#include "test.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST "GET /p/a HTTP/1.1\r\nHost: a\r\n\r\n"
#define LOOP_STEP (5 * CARO_MS)

typedef struct {
    struct event_base *base;
    CaroHttpServer *server;
    CaroHttpServerLimits limits;
    char address[CARO_ADDRESS_SIZE];
    size_t response_bytes; /* Body of each response. */
    bool is_stream;        /* The body is sent in chunks, without an end. */
    int n_requests;
    int n_disconnected;
    int n_cut;
    int n_shed;
    size_t most_pending; /* Unsent bytes when a request was handed over. */
    CaroTime stalled;    /* Sum of what run_for ran too long. */
} Fixture;

/* A caller's connection. */
typedef struct {
    int fd;
    char received[512]; /* The first bytes received. */
    size_t n_received;
    bool is_closed;
} Caller;

static void
run_for(Fixture *f, CaroTime wait)
{
    CaroTime end = CaroClock_Now() + wait;
    struct timeval t = {.tv_sec = wait / CARO_SECOND,
                        .tv_usec = wait % CARO_SECOND};
    (void)event_base_loopexit(f->base, &t);
    (void)event_base_dispatch(f->base);
    f->stalled += CaroClock_Now() > end ? CaroClock_Now() - end : 0;
}

/* Lets time pass in which the server does not run. */
static void
stall(CaroTime wait)
{
    (void)usleep((useconds_t)wait);
}

static void
on_request(void *context, CaroCall *call)
{
    Fixture *f = context;
    f->n_requests++;
    size_t pending = CaroCall_PendingBytes(call);
    f->most_pending = pending > f->most_pending ? pending : f->most_pending;
    char *bytes = calloc(1, f->response_bytes + 1);
    assert_non_null(bytes);
    if (f->is_stream) {
        CaroCall_BeginResponse(call, 200, NULL);
        CaroCall_SendBody(call, bytes, f->response_bytes);
    }
    else {
        struct evbuffer *body = evbuffer_new();
        (void)evbuffer_add(body, bytes, f->response_bytes);
        CaroCall_Respond(call, 200, NULL, body);
        evbuffer_free(body);
    }
    free(bytes);
}

static void
on_disconnected(void *context, CaroCall *call)
{
    (void)call;
    ((Fixture *)context)->n_disconnected++;
}

static void
on_drained(void *context, CaroCall *call)
{
    (void)context;
    (void)call;
}

static void
on_refused(void *context, const char *peer, int status, const char *reason)
{
    (void)context;
    (void)peer;
    (void)status;
    (void)reason;
}

static void
on_cut(void *context, const char *peer, size_t unsent, const char *reason)
{
    (void)peer;
    (void)unsent;
    (void)reason;
    ((Fixture *)context)->n_cut++;
}

static void
on_shed(void *context, const char *peer, size_t held)
{
    (void)peer;
    (void)held;
    ((Fixture *)context)->n_shed++;
}

static const CaroHttpServerHandlers handlers = {.on_request = on_request,
                                                .on_disconnected =
                                                    on_disconnected,
                                                .on_drained = on_drained,
                                                .on_refused = on_refused,
                                                .on_cut = on_cut,
                                                .on_shed = on_shed};

/* Finds a free port: binds it once, then leaves it to the server. */
static void
reserve_address(char out[CARO_ADDRESS_SIZE])
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    (void)snprintf(out, CARO_ADDRESS_SIZE, "127.0.0.1:%u", ntohs(at.sin_port));
    (void)close(fd);
}

static void
start_server(Fixture *f)
{
    CaroError err;
    f->server = CaroHttpServer_Create(f->base, f->address, &f->limits,
                                      &handlers, f, &err);
    assert_non_null(f->server);
}

static int
setup(void **state)
{
    Fixture *f = calloc(1, sizeof(*f));
    assert_non_null(f);
    f->base = event_base_new();
    f->response_bytes = 4;
    f->limits = (CaroHttpServerLimits){.held_bytes_max = 64 << 20,
                                       .head_bytes_max = 8192,
                                       .body_bytes_max = 1 << 20,
                                       .all_bytes_max = 4 << 20,
                                       .connections_max = 16,
                                       .head_timeout = CARO_SECOND,
                                       .idle_timeout = 100 * CARO_MS,
                                       .write_timeout = 500 * CARO_MS};
    reserve_address(f->address);
    *state = f;
    return 0;
}

static int
teardown(void **state)
{
    Fixture *f = *state;
    CaroHttpServer_Destroy(f->server);
    run_for(f, LOOP_STEP);
    event_base_free(f->base);
    free(f);
    return 0;
}

/* Connects without waiting for the server to accept. */
static void
begin_connection(const Fixture *f, Caller *c, int receive_buffer)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons((uint16_t)atoi(strchr(f->address, ':') + 1));
    *c = (Caller){.fd = socket(AF_INET, SOCK_STREAM, 0)};
    if (receive_buffer > 0) {
        assert_int_equal(setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF,
                                    &receive_buffer, sizeof(receive_buffer)),
                         0);
    }
    assert_int_equal(connect(c->fd, (struct sockaddr *)&at, sizeof(at)), 0);
}

static void
connect_caller(Fixture *f, Caller *c, int receive_buffer)
{
    int n = CaroHttpServer_CountConnections(f->server);
    begin_connection(f, c, receive_buffer);
    while (CaroHttpServer_CountConnections(f->server) == n) {
        run_for(f, LOOP_STEP);
    }
}

static void
send_text(const Caller *c, const char *text)
{
    size_t size = strlen(text);
    assert_int_equal(send(c->fd, text, size, MSG_NOSIGNAL), size);
}

/* Receives at most "max" bytes of what has arrived. */
static void
receive(Caller *c, size_t max)
{
    static char bytes[1 << 16];
    ssize_t n = recv(c->fd, bytes, max < sizeof(bytes) ? max : sizeof(bytes),
                     MSG_DONTWAIT);
    if (n <= 0) {
        c->is_closed |= n == 0 || (errno != EAGAIN && errno != EINTR);
        return;
    }
    for (ssize_t i = 0; i < n; i++) {
        if (c->n_received + (size_t)i < sizeof(c->received) - 1) {
            c->received[c->n_received + (size_t)i] = bytes[i];
        }
    }
    c->n_received += (size_t)n;
}

static void
run_and_receive(Fixture *f, Caller *c, CaroTime wait)
{
    CaroTime end = CaroClock_Now() + wait;
    while (CaroClock_Now() < end && !c->is_closed) {
        run_for(f, LOOP_STEP);
        receive(c, SIZE_MAX);
    }
}

static bool
has_response(const Caller *c, const char *status)
{
    char line[32];
    (void)snprintf(line, sizeof(line), "HTTP/1.1 %s ", status);
    return strncmp(c->received, line, strlen(line)) == 0;
}

/* Runs until the whole response has been received, for at most 5 s. */
static void
wait_for_response(Fixture *f, Caller *c)
{
    CaroTime end = CaroClock_Now() + 5 * CARO_SECOND;
    while (CaroClock_Now() < end && !c->is_closed &&
           strstr(c->received, "\r\n\r\n") == NULL) {
        run_for(f, LOOP_STEP);
        receive(c, SIZE_MAX);
    }
}

/* --- idle connections --- */

static void
test_request_that_arrives_as_the_idle_timer_expires_is_answered(void **state)
{
    Fixture *f = *state;
    Caller c;
    start_server(f);
    connect_caller(f, &c, 0);
    stall(150 * CARO_MS);
    send_text(&c, REQUEST);
    wait_for_response(f, &c);
    assert_true(has_response(&c, "200"));
    (void)close(c.fd);
}

static void
test_rest_of_request_that_arrives_as_the_head_timer_expires_is_read(
    void **state)
{
    Fixture *f = *state;
    Caller c;
    f->limits.head_timeout = 100 * CARO_MS;
    start_server(f);
    connect_caller(f, &c, 0);
    send_text(&c, "GET /p/a HT");
    run_for(f, 20 * CARO_MS);
    stall(150 * CARO_MS);
    send_text(&c, "TP/1.1\r\nHost: a\r\n\r\n");
    wait_for_response(f, &c);
    assert_true(has_response(&c, "200"));
    (void)close(c.fd);
}

static void
test_connection_without_requests_is_closed_after_the_idle_timeout(void **state)
{
    Fixture *f = *state;
    Caller c;
    start_server(f);
    CaroTime connected_at = CaroClock_Now();
    connect_caller(f, &c, 0);
    run_and_receive(f, &c, 2 * CARO_SECOND);
    CaroTime kept_for = CaroClock_Now() - connected_at;
    assert_true(c.is_closed);
    assert_true(kept_for >= f->limits.idle_timeout);
    assert_true(kept_for < 6 * f->limits.idle_timeout + f->stalled);
    assert_int_equal(f->n_cut, 0);
    (void)close(c.fd);
}

static void
test_connection_with_a_request_is_not_closed_for_a_new_one(void **state)
{
    Fixture *f = *state;
    Caller first;
    Caller second;
    f->limits.connections_max = 1;
    f->limits.idle_timeout = 5 * CARO_SECOND;
    start_server(f);
    connect_caller(f, &first, 0);
    send_text(&first, REQUEST);
    begin_connection(f, &second, 0);
    wait_for_response(f, &first);
    assert_true(has_response(&first, "200"));
    (void)close(first.fd);
    (void)close(second.fd);
}

static void
test_connection_with_an_unread_request_is_not_closed_for_a_new_one(
    void **state)
{
    Fixture *f = *state;
    Caller first;
    Caller second;
    f->limits.connections_max = 1;
    f->limits.idle_timeout = 5 * CARO_SECOND;
    start_server(f);
    connect_caller(f, &first, 0);
    begin_connection(f, &second, 0);
    send_text(&first, REQUEST);
    wait_for_response(f, &first);
    assert_true(has_response(&first, "200"));
    (void)close(first.fd);
    (void)close(second.fd);
}

static void
test_idle_connection_is_kept_when_the_idle_limit_is_raised(void **state)
{
    Fixture *f = *state;
    Caller c;
    start_server(f);
    connect_caller(f, &c, 0);
    f->limits.idle_timeout = 2 * CARO_SECOND;
    CaroHttpServer_SetLimits(f->server, &f->limits);
    run_and_receive(f, &c, 300 * CARO_MS);
    assert_false(c.is_closed);
    send_text(&c, REQUEST);
    wait_for_response(f, &c);
    assert_true(has_response(&c, "200"));
    (void)close(c.fd);
}

static void
test_caller_may_go_by_the_idle_limit_before_it_was_lowered(void **state)
{
    Fixture *f = *state;
    Caller c;
    f->limits.idle_timeout = 2 * CARO_SECOND;
    start_server(f);
    f->limits.idle_timeout = 100 * CARO_MS;
    CaroHttpServer_SetLimits(f->server, &f->limits);
    connect_caller(f, &c, 0);
    run_and_receive(f, &c, 300 * CARO_MS);
    assert_false(c.is_closed);
    send_text(&c, REQUEST);
    wait_for_response(f, &c);
    assert_true(has_response(&c, "200"));
    (void)close(c.fd);
}

static void
test_idle_time_begins_when_the_response_has_been_sent(void **state)
{
    Fixture *f = *state;
    Caller c;
    f->response_bytes = 32 << 20;
    start_server(f);
    connect_caller(f, &c, 16384);
    send_text(&c, REQUEST);
    /* The response takes longer than the idle timeout. */
    for (int i = 0; i < 60 && !c.is_closed; i++) {
        run_for(f, LOOP_STEP);
        receive(&c, 65536);
    }
    assert_false(c.is_closed);
    const char *end = strstr(c.received, "\r\n\r\n");
    assert_non_null(end);
    size_t size = (size_t)(end + 4 - c.received) + f->response_bytes;
    while (!c.is_closed && c.n_received < size) {
        run_for(f, CARO_MS / 4);
        receive(&c, SIZE_MAX);
    }
    assert_int_equal(c.n_received, size);
    (void)close(c.fd);
}

/* --- callers that read slowly --- */

static void
test_caller_that_reads_slowly_is_not_disconnected(void **state)
{
    Fixture *f = *state;
    Caller c;
    f->response_bytes = 32 << 20;
    f->is_stream = true;
    start_server(f);
    connect_caller(f, &c, 16384);
    send_text(&c, REQUEST);
    CaroTime end = CaroClock_Now() + 1500 * CARO_MS;
    while (CaroClock_Now() < end) {
        run_for(f, LOOP_STEP);
        receive(&c, 65536);
    }
    assert_false(c.is_closed);
    assert_int_equal(f->n_disconnected, 0);
    assert_true(c.n_received < f->response_bytes);
    (void)close(c.fd);
}

static void
test_caller_that_reads_nothing_is_disconnected(void **state)
{
    Fixture *f = *state;
    Caller c;
    f->response_bytes = 32 << 20;
    f->is_stream = true;
    start_server(f);
    connect_caller(f, &c, 16384);
    send_text(&c, REQUEST);
    CaroTime sent_at = CaroClock_Now();
    while (f->n_disconnected == 0 &&
           CaroClock_Now() - sent_at < 10 * CARO_SECOND) {
        run_for(f, LOOP_STEP);
    }
    CaroTime kept_for = CaroClock_Now() - sent_at;
    assert_int_equal(f->n_disconnected, 1);
    assert_true(kept_for >= f->limits.write_timeout);
    assert_true(kept_for < 3 * f->limits.write_timeout + f->stalled);
    assert_int_equal(f->n_cut, 1);
    (void)close(c.fd);
}

/* --- the end of the server --- */

/* Closes what is idle until no connection is left, as a planned stop does. */
static void
close_server(Fixture *f, Caller *c, CaroTime wait)
{
    CaroTime end = CaroClock_Now() + wait;
    do {
        CaroHttpServer_CloseIdle(f->server);
        run_for(f, LOOP_STEP);
        receive(c, SIZE_MAX);
    } while (CaroHttpServer_CountConnections(f->server) > 0 &&
             CaroClock_Now() < end);
    receive(c, SIZE_MAX);
}

static void
test_request_that_arrives_before_the_exit_is_answered(void **state)
{
    Fixture *f = *state;
    Caller c;
    Caller late;
    f->limits.idle_timeout = 5 * CARO_SECOND;
    start_server(f);
    connect_caller(f, &c, 0);
    CaroHttpServer_CloseAfterResponses(f->server);
    send_text(&c, REQUEST);
    assert_int_equal(CaroHttpServer_CountCalls(f->server), 0);
    CaroHttpServer_CloseIdle(f->server);
    wait_for_response(f, &c);
    assert_true(has_response(&c, "200"));
    assert_non_null(strstr(c.received, "Connection: close"));
    late.fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons((uint16_t)atoi(strchr(f->address, ':') + 1));
    assert_int_equal(connect(late.fd, (struct sockaddr *)&at, sizeof(at)), -1);
    (void)close(late.fd);
    (void)close(c.fd);
}

static void
test_unsent_response_keeps_its_connection_before_the_exit(void **state)
{
    Fixture *f = *state;
    Caller c;
    f->limits.idle_timeout = 5 * CARO_SECOND;
    f->response_bytes = 8 << 20;
    start_server(f);
    connect_caller(f, &c, 16384);
    send_text(&c, REQUEST);
    run_for(f, 50 * CARO_MS);
    assert_int_equal(CaroHttpServer_CountCalls(f->server), 1);
    close_server(f, &c, 10 * CARO_SECOND);
    assert_int_equal(CaroHttpServer_CountConnections(f->server), 0);
    CaroTime end = CaroClock_Now() + 2 * CARO_SECOND;
    while (!c.is_closed && CaroClock_Now() < end) {
        receive(&c, SIZE_MAX);
    }
    assert_true(c.n_received > f->response_bytes);
    (void)close(c.fd);
}

static void
test_idle_connection_is_closed_before_the_exit(void **state)
{
    Fixture *f = *state;
    Caller c;
    f->limits.idle_timeout = 5 * CARO_SECOND;
    start_server(f);
    connect_caller(f, &c, 0);
    close_server(f, &c, CARO_SECOND);
    assert_int_equal(CaroHttpServer_CountConnections(f->server), 0);
    assert_true(c.is_closed);
    (void)close(c.fd);
}

/* The process may be held up between the last turn of its loop and its exit,
   and a request that comes meanwhile would have no answer until then. */
static void
test_closed_connection_ends_before_the_next_turn_of_the_loop(void **state)
{
    Fixture *f = *state;
    Caller c;
    f->limits.idle_timeout = 5 * CARO_SECOND;
    start_server(f);
    connect_caller(f, &c, 0);
    send_text(&c, REQUEST);
    wait_for_response(f, &c);
    CaroHttpServer_CloseIdle(f->server);
    for (int i = 0; i < 10 && !c.is_closed; i++) {
        stall(5 * CARO_MS);
        receive(&c, SIZE_MAX);
    }
    assert_true(c.is_closed);
    (void)close(c.fd);
}

/* Guards against memory that is used up by a caller that sends requests behind
   each other and does not read (review case 7). */
static void
test_requests_behind_an_unread_response_are_not_read(void **state)
{
    enum { REQUESTS = 4000 };
    Fixture *f = *state;
    Caller c;
    int n_sent = 0;
    f->response_bytes = 4096;
    f->limits.write_timeout = 60 * CARO_SECOND;
    start_server(f);
    connect_caller(f, &c, 65536);
    for (int i = 0; i < REQUESTS; i++) {
        size_t size = strlen(REQUEST);
        ssize_t n = send(c.fd, REQUEST, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n != (ssize_t)size) {
            break;
        }
        n_sent++;
        if (i % 100 == 0) {
            run_for(f, CARO_MS);
        }
    }
    run_for(f, 20 * CARO_MS);
    assert_int_equal(f->most_pending, 0);
    assert_true(CaroHeldBytes_Total(CaroHttpServer_HeldBytes(f->server)) <=
                2 * 16384 + f->response_bytes + 1024);
    /* All of them are answered once the caller reads. */
    while (f->n_requests < n_sent) {
        run_for(f, CARO_MS);
        receive(&c, SIZE_MAX);
        assert_false(c.is_closed);
    }
    (void)close(c.fd);
}

static void
test_response_that_nobody_reads_is_ended(void **state)
{
    Fixture *f = *state;
    Caller c;
    f->response_bytes = 8 << 20;
    f->limits.write_timeout = 100 * CARO_MS;
    start_server(f);
    connect_caller(f, &c, 4096);
    send_text(&c, REQUEST);
    run_for(f, 400 * CARO_MS);
    assert_int_equal(CaroHttpServer_CountConnections(f->server), 0);
    assert_int_equal(f->n_cut, 1);
    (void)close(c.fd);
}

/* The connection that holds the most is closed, and the others are served. */
static void
test_connection_that_holds_the_most_is_shed(void **state)
{
    Fixture *f = *state;
    Caller slow;
    Caller sound;
    f->limits.held_bytes_max = 4 << 20;
    f->limits.write_timeout = 5 * CARO_SECOND;
    f->limits.idle_timeout = 5 * CARO_SECOND;
    start_server(f);
    connect_caller(f, &slow, 4096);
    f->response_bytes = 16 << 20;
    send_text(&slow, REQUEST);
    run_for(f, 20 * CARO_MS);
    f->response_bytes = 4;
    connect_caller(f, &sound, 0);
    send_text(&sound, REQUEST);
    wait_for_response(f, &sound);
    assert_true(has_response(&sound, "200"));
    assert_int_equal(f->n_shed, 1);
    assert_int_equal(CaroHttpServer_CountConnections(f->server), 1);
    (void)close(slow.fd);
    (void)close(sound.fd);
}

/* A request that is still arriving when it is shed is told that it did not
   run. */
static void
test_request_that_is_shed_is_refused(void **state)
{
    Fixture *f = *state;
    Caller c;
    f->limits.held_bytes_max = 1000;
    start_server(f);
    connect_caller(f, &c, 0);
    send_text(&c, "POST /p/a HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 5000\r\n\r\n");
    for (int i = 0; i < 8; i++) {
        send_text(&c,
                  "0123456789012345678901234567890123456789012345678901234"
                  "56789012345678901234567890123456789012345678901234567890"
                  "1234567890123456789012345678901234567890123456789012345");
        run_for(f, CARO_MS);
    }
    wait_for_response(f, &c);
    assert_true(has_response(&c, "503"));
    assert_int_equal(f->n_requests, 0);
    assert_int_equal(f->n_shed, 1);
    (void)close(c.fd);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
        TEST(test_request_that_arrives_as_the_idle_timer_expires_is_answered),
        TEST(
            test_rest_of_request_that_arrives_as_the_head_timer_expires_is_read),
        TEST(
            test_connection_without_requests_is_closed_after_the_idle_timeout),
        TEST(test_connection_with_a_request_is_not_closed_for_a_new_one),
        TEST(
            test_connection_with_an_unread_request_is_not_closed_for_a_new_one),
        TEST(test_idle_connection_is_kept_when_the_idle_limit_is_raised),
        TEST(test_caller_may_go_by_the_idle_limit_before_it_was_lowered),
        TEST(test_idle_time_begins_when_the_response_has_been_sent),
        TEST(test_caller_that_reads_slowly_is_not_disconnected),
        TEST(test_caller_that_reads_nothing_is_disconnected),
        TEST(test_request_that_arrives_before_the_exit_is_answered),
        TEST(test_unsent_response_keeps_its_connection_before_the_exit),
        TEST(test_idle_connection_is_closed_before_the_exit),
        TEST(test_closed_connection_ends_before_the_next_turn_of_the_loop),
#undef TEST
        cmocka_unit_test_setup_teardown(
            test_requests_behind_an_unread_response_are_not_read, setup,
            teardown),
        cmocka_unit_test_setup_teardown(
            test_response_that_nobody_reads_is_ended, setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_connection_that_holds_the_most_is_shed, setup, teardown),
        cmocka_unit_test_setup_teardown(test_request_that_is_shed_is_refused,
                                        setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
