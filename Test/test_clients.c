/*
 * Tests of the clients of the store, of order services and of engines, with a
 * server that sends bytes without end, over loopback.
 */
#include "test.h"

#include "internal/caro_clock.h"
#include "internal/caro_engine.h"
#include "internal/caro_http_client.h"
#include "internal/caro_store_client.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALL_TIMEOUT (1 * CARO_SECOND)
/* A third of the memory of a small VM. */
#define SENT_MAX ((size_t)32 << 20)

typedef struct {
    struct event_base *base;
    struct evconnlistener *listener;
    char address[CARO_ADDRESS_SIZE];
    const char *start;  /* Sent when a request arrives. */
    const char *filler; /* Sent after it, again and again. */
    CaroTime interval;  /* Between the fillers; 0: as fast as possible. */
    struct bufferevent *connection;
    struct event *timer;
    size_t n_sent;
    bool is_closed;
    int n_done;
    int code;
    int status;
} Fixture;

static void
send_filler(Fixture *f)
{
    struct evbuffer *out = bufferevent_get_output(f->connection);
    size_t size = strlen(f->filler);
    do {
        (void)evbuffer_add(out, f->filler, size);
        f->n_sent += size;
    } while (f->interval == 0 && evbuffer_get_length(out) < 65536 &&
             f->n_sent < 4 * SENT_MAX);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    send_filler(arg);
}

static void
on_written(struct bufferevent *bev, void *arg)
{
    (void)bev;
    Fixture *f = arg;
    if (f->n_sent > 0 && f->interval == 0 && f->n_sent < 4 * SENT_MAX) {
        send_filler(f);
    }
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    Fixture *f = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    evbuffer_drain(in, evbuffer_get_length(in));
    (void)bufferevent_write(bev, f->start, strlen(f->start));
    send_filler(f);
    if (f->interval > 0) {
        struct timeval t = {.tv_usec = f->interval};
        (void)event_add(f->timer, &t);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)what;
    Fixture *f = arg;
    (void)event_del(f->timer);
    bufferevent_free(bev);
    f->connection = NULL;
    f->is_closed = true;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int size, void *arg)
{
    (void)listener;
    (void)from;
    (void)size;
    Fixture *f = arg;
    assert_null(f->connection);
    f->connection = bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(f->connection, on_read, on_written, on_event, f);
    bufferevent_setwatermark(f->connection, EV_WRITE, 32768, 0);
    (void)bufferevent_enable(f->connection, EV_READ | EV_WRITE);
}

static int
setup(void **state)
{
    Fixture *f = calloc(1, sizeof(*f));
    assert_non_null(f);
    f->base = event_base_new();
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    f->listener =
        evconnlistener_new_bind(f->base, on_accept, f, LEV_OPT_CLOSE_ON_FREE,
                                4, (struct sockaddr *)&at, sizeof(at));
    assert_non_null(f->listener);
    socklen_t size = sizeof(at);
    assert_int_equal(getsockname(evconnlistener_get_fd(f->listener),
                                 (struct sockaddr *)&at, &size),
                     0);
    (void)snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
                   ntohs(at.sin_port));
    f->timer = event_new(f->base, -1, EV_PERSIST, on_timer, f);
    *state = f;
    return 0;
}

static int
teardown(void **state)
{
    Fixture *f = *state;
    if (f->connection != NULL) {
        bufferevent_free(f->connection);
    }
    event_free(f->timer);
    evconnlistener_free(f->listener);
    event_base_free(f->base);
    free(f);
    return 0;
}

static const char *
long_text(void)
{
    static char text[16384];
    memset(text, 'y', sizeof(text) - 1);
    return text;
}

/* Runs until the call has ended and the server's connection is closed, for at
   most four times the timeout of calls. */
static CaroTime
wait_for_end(Fixture *f)
{
    enum { STEPS_MAX = 400 };
    CaroTime started_at = CaroClock_Now();
    struct timeval step = {.tv_usec = CALL_TIMEOUT / 100};
    for (int i = 0; i < STEPS_MAX && (f->n_done == 0 || !f->is_closed); i++) {
        (void)event_base_loopexit(f->base, &step);
        (void)event_base_dispatch(f->base);
    }
    assert_int_equal(f->n_done, 1);
    assert_true(f->is_closed);
    assert_true(f->n_sent < SENT_MAX);
    return CaroClock_Now() - started_at;
}

/* --- the store --- */

static void
on_store_done(void *context, int code, int status,
              const CaroStoreResponse *response, CaroTime sent_at)
{
    (void)response;
    (void)sent_at;
    Fixture *f = context;
    f->n_done++;
    f->code = code;
    f->status = status;
}

static void
test_store_response_without_end(void **state)
{
    Fixture *f = *state;
    f->start = "HTTP/1.1 200 OK\r\n\r\n";
    f->filler = long_text();
    CaroStoreClient *s = CaroStoreClient_Create(f->base, f->address);
    CaroStoreCall call;
    assert_int_equal(CaroPlatform_CallLease(&call, CARO_SECOND), 0);
    CaroStoreClient_Call(s, &call, 8 * CALL_TIMEOUT, on_store_done, f);
    CaroTime took = wait_for_end(f);
    assert_true(f->code < 0);
    assert_true(took < 4 * CALL_TIMEOUT);
    CaroStoreClient_Destroy(s);
}

/* --- calls through evhttp --- */

static void
on_http_done(void *context, int code, int status, const char *body,
             size_t size, bool is_sent, const CaroHttpHead *head)
{
    (void)body;
    (void)size;
    (void)is_sent;
    (void)head;
    Fixture *f = context;
    f->n_done++;
    f->code = code;
    f->status = status;
}

static void
check_http_call(Fixture *f, CaroTime timeout)
{
    CaroHttpCall call = {.address = f->address,
                         .path = "/",
                         .method = "GET",
                         .timeout = timeout};
    CaroHttp_Call(f->base, &call, on_http_done, f);
    CaroTime took = wait_for_end(f);
    assert_true(f->code < 0);
    assert_true(took < 2 * CALL_TIMEOUT);
}

static void
test_http_response_without_end(void **state)
{
    Fixture *f = *state;
    f->start = "HTTP/1.1 200 OK\r\n\r\n";
    f->filler = long_text();
    check_http_call(f, 8 * CALL_TIMEOUT);
}

static void
test_http_head_without_end(void **state)
{
    Fixture *f = *state;
    f->start = "HTTP/1.1 200 OK\r\n";
    f->filler = "A: bcdefghijklmnopqrstuvwxyz\r\n";
    check_http_call(f, 8 * CALL_TIMEOUT);
}

static void
test_http_response_that_trickles(void **state)
{
    Fixture *f = *state;
    f->start = "HTTP/1.1 200 OK\r\n\r\n";
    f->filler = "y";
    f->interval = CALL_TIMEOUT / 10;
    check_http_call(f, CALL_TIMEOUT);
}

/* --- engines --- */

static void
on_engine_event(void *context, uint64_t id, uint32_t attempt,
                const CaroEngineEvent *e)
{
    (void)id;
    (void)attempt;
    Fixture *f = context;
    if (e->kind == CARO_ENGINE_END) {
        f->n_done++;
        f->code = e->u.end.is_complete ? 0 : -1;
    }
}

static void
check_engine(Fixture *f)
{
    CaroEngineRequest request = {.address = f->address,
                                 .model = "m",
                                 .version = "v1",
                                 .prompt = "p",
                                 .prefix = "",
                                 .tokens_max = 8};
    assert_non_null(CaroEngine_Open(f->base, &request, on_engine_event, f));
    (void)wait_for_end(f);
    assert_int_equal(f->code, -1);
}

static void
test_engine_line_without_end(void **state)
{
    Fixture *f = *state;
    f->start = "HTTP/1.1 200 OK\r\n\r\ndata: ";
    f->filler = long_text();
    check_engine(f);
}

static void
test_engine_chunk_without_end(void **state)
{
    Fixture *f = *state;
    f->start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "7ffffff0\r\n";
    f->filler = long_text();
    check_engine(f);
}

static void
test_engine_head_without_end(void **state)
{
    Fixture *f = *state;
    f->start = "HTTP/1.1 200 OK\r\n";
    f->filler = "A: bcdefghijklmnopqrstuvwxyz\r\n";
    check_engine(f);
}

#define CLIENT_TEST(test)                                                     \
    cmocka_unit_test_setup_teardown(test, setup, teardown)

/* A response that arrived while this process stalled is not a timeout. */
static void
test_store_response_that_arrived_in_own_stall(void **state)
{
    Fixture *f = *state;
    CaroStoreClient *client = CaroStoreClient_Create(f->base, f->address);
    CaroStoreCall call;
    f->start = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    f->filler = "";
    f->interval = CARO_SECOND / 2;
    assert_int_equal(CaroPlatform_CallRange(&call, "", ""), 0);
    CaroStoreClient_Call(client, &call, CALL_TIMEOUT / 5, on_store_done, f);
    /* The request has reached the server; its response is in the socket. */
    for (int i = 0; i < 20 && f->connection == NULL; i++) {
        (void)event_base_loop(f->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        (void)usleep(1000);
    }
    assert_non_null(f->connection);
    bufferevent_disable(f->connection, EV_READ);
    for (int i = 0; i < 20; i++) {
        (void)event_base_loop(f->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        (void)usleep(1000);
    }
    assert_int_equal(f->n_done, 0);
    assert_int_equal(
        send(bufferevent_getfd(f->connection), f->start, strlen(f->start), 0),
        strlen(f->start));
    (void)usleep(CALL_TIMEOUT / 5);
    for (int i = 0; i < 20 && f->n_done == 0; i++) {
        (void)event_base_loop(f->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        (void)usleep(1000);
    }
    assert_int_equal(f->n_done, 1);
    assert_int_not_equal(f->code, CARO_ERR_TIMEOUT);
    CaroStoreClient_Destroy(client);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        CLIENT_TEST(test_store_response_without_end),
        CLIENT_TEST(test_http_response_without_end),
        CLIENT_TEST(test_http_head_without_end),
        CLIENT_TEST(test_http_response_that_trickles),
        CLIENT_TEST(test_engine_line_without_end),
        CLIENT_TEST(test_engine_chunk_without_end),
        CLIENT_TEST(test_engine_head_without_end),
        CLIENT_TEST(test_store_response_that_arrived_in_own_stall),
    };
    (void)signal(SIGPIPE, SIG_IGN);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
