/* Tests of a channel to an upstream: when its request counts as sent. */
#include "test.h"

#include "internal/caro_channel.h"
#include "internal/caro_clock.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void
ignore_head(void *context, const CaroHttpHead *head)
{
    (void)context;
    (void)head;
}

static void
ignore_body(void *context, CaroText bytes)
{
    (void)context;
    (void)bytes;
}

static void
ignore_end(void *context)
{
    (void)context;
}

static void
ignore_failure(void *context, int code, const char *reason)
{
    (void)context;
    (void)code;
    (void)reason;
}

static const CaroChannelEvents events = {.on_head = ignore_head,
                                         .on_body = ignore_body,
                                         .on_end = ignore_end,
                                         .on_failure = ignore_failure};

static int
listen_at(char address[CARO_ADDRESS_SIZE])
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    assert_int_equal(listen(fd, 16), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    (void)snprintf(address, CARO_ADDRESS_SIZE, "127.0.0.1:%u",
                   ntohs(at.sin_port));
    return fd;
}

typedef struct {
    int listener;
    CaroChannel *other; /* Its request was just started. */
    int other_peer;
    bool has_other_byte; /* The peer has a byte of it. */
    bool is_other_sent;
} Turn;

/* Looks at the other channel within the turn of the loop that has read this
   response. */
static void
look_at_other(void *context, const CaroHttpHead *head)
{
    Turn *t = context;
    char byte;
    (void)head;
    t->other_peer = accept4(t->listener, NULL, NULL, SOCK_NONBLOCK);
    t->has_other_byte =
        t->other_peer >= 0 && recv(t->other_peer, &byte, 1, MSG_PEEK) == 1;
    t->is_other_sent = CaroChannel_IsSent(t->other);
}

static const CaroChannelEvents looking_events = {.on_head = look_at_other,
                                                 .on_body = ignore_body,
                                                 .on_end = ignore_end,
                                                 .on_failure = ignore_failure};

static CaroChannel *
start_request(struct event_base *base, const char *address,
              const CaroChannelEvents *e, void *context)
{
    struct evbuffer *request = evbuffer_new();
    (void)evbuffer_add_printf(request, "GET / HTTP/1.1\r\n\r\n");
    CaroChannel *c = CaroChannel_Open(base, address, CARO_SECOND);
    assert_non_null(c);
    CaroChannel_Start(c, request, false, e, context);
    evbuffer_free(request);
    return c;
}

/* An order that its upstream has read was taken for unsent and ran at a second
   one (review/1): the loop had written it in the turn in which it read the
   refusal of another, and had not yet reported the connection. */
static void
test_request_that_the_peer_has_is_sent(void **state)
{
    (void)state;
    enum { ROUNDS = 20, TURNS_MAX = 1000 };
    static const char response[] = "HTTP/1.1 200 OK\r\n\r\n";
    char address[CARO_ADDRESS_SIZE];
    struct event_base *base = event_base_new();
    int n_looked = 0;
    Turn t = {.listener = listen_at(address)};
    for (int i = 0; i < ROUNDS; i++) {
        int peer = -1;
        char byte;
        CaroChannel *c = start_request(base, address, &looking_events, &t);
        assert_false(CaroChannel_IsSent(c));
        bool has_byte = false;
        for (int turn = 0; turn < TURNS_MAX && !has_byte; turn++) {
            (void)event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
            if (peer < 0) {
                peer = accept4(t.listener, NULL, NULL, SOCK_NONBLOCK);
            }
            has_byte = peer >= 0 && recv(peer, &byte, 1, MSG_PEEK) == 1;
        }
        assert_true(has_byte);
        assert_true(CaroChannel_IsSent(c));
        /* Both become ready before the next turn. */
        assert_int_equal(send(peer, response, strlen(response), 0),
                         strlen(response));
        t.other_peer = -1;
        t.has_other_byte = false;
        t.other = start_request(base, address, &events, NULL);
        (void)event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        n_looked += t.has_other_byte;
        assert_true(!t.has_other_byte || t.is_other_sent);
        CaroChannel_Destroy(c);
        CaroChannel_Destroy(t.other);
        (void)close(peer);
        if (t.other_peer >= 0) {
            (void)close(t.other_peer);
        }
        (void)event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        while ((peer = accept4(t.listener, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
            (void)close(peer);
        }
    }
    assert_true(n_looked > 0);
    (void)close(t.listener);
    event_base_free(base);
}

/* A request for which no connection was made is not. */
static void
test_request_without_connection_is_not_sent(void **state)
{
    (void)state;
    char address[CARO_ADDRESS_SIZE];
    struct event_base *base = event_base_new();
    int listener = listen_at(address);
    (void)close(listener);
    CaroChannel *c = start_request(base, address, &events, NULL);
    for (int i = 0; i < 50; i++) {
        (void)event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    assert_false(CaroChannel_IsSent(c));
    CaroChannel_Destroy(c);
    event_base_free(base);
}

typedef struct {
    bool has_head;
    bool has_end;
    bool has_failure;
} Outcome;

static void
record_head(void *context, const CaroHttpHead *head)
{
    Outcome *o = context;
    (void)head;
    o->has_head = true;
}

static void
record_end(void *context)
{
    Outcome *o = context;
    o->has_end = true;
}

static void
record_failure(void *context, int code, const char *reason)
{
    Outcome *o = context;
    (void)code;
    (void)reason;
    o->has_failure = true;
}

static const CaroChannelEvents recording_events = {.on_head = record_head,
                                                   .on_body = ignore_body,
                                                   .on_end = record_end,
                                                   .on_failure =
                                                       record_failure};

/* Guards against a part of a response without a length that is taken for the
   whole when a write takes the reset and the read after it sees an end. */
static void
test_reset_while_the_request_is_written_is_no_end(void **state)
{
    (void)state;
    enum { ROUNDS = 20, REQUEST_BYTES = 8 << 20, TURNS_MAX = 100000 };
    static const char response[] = "HTTP/1.1 200 OK\r\n\r\na part";
    char address[CARO_ADDRESS_SIZE];
    struct event_base *base = event_base_new();
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    int listener = listen_at(address);
    for (int i = 0; i < ROUNDS; i++) {
        Outcome o = {.has_head = false};
        struct evbuffer *request = evbuffer_new();
        char *bytes = calloc(1, REQUEST_BYTES);
        (void)evbuffer_add(request, bytes, REQUEST_BYTES);
        free(bytes);
        CaroChannel *c = CaroChannel_Open(base, address, CARO_SECOND);
        CaroChannel_Start(c, request, false, &recording_events, &o);
        evbuffer_free(request);
        int peer = -1;
        for (int turn = 0; turn < TURNS_MAX && !o.has_head; turn++) {
            (void)event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
            if (peer < 0) {
                peer = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
                if (peer >= 0) {
                    assert_int_equal(send(peer, response, strlen(response), 0),
                                     strlen(response));
                }
            }
        }
        assert_true(o.has_head);
        /* The request fills the buffers of both ends. */
        for (int turn = 0; turn < 20; turn++) {
            (void)event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        }
        (void)setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        (void)close(peer);
        for (int turn = 0; turn < TURNS_MAX && !o.has_failure && !o.has_end;
             turn++) {
            (void)event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        }
        assert_false(o.has_end);
        assert_true(o.has_failure);
        CaroChannel_Destroy(c);
    }
    (void)close(listener);
    event_base_free(base);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_request_that_the_peer_has_is_sent),
        cmocka_unit_test(test_reset_while_the_request_is_written_is_no_end),
        cmocka_unit_test(test_request_without_connection_is_not_sent),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
