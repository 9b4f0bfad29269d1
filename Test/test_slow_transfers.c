/*
 * Tests of responses that take longer than a call may be silent: of the store
 * and of another VM, over a link that passes a piece at an interval.
 */
#include "test.h"

#include "internal/caro_clock.h"
#include "internal/caro_rpc.h"
#include "internal/caro_rpc_message.h"
#include "internal/caro_store_client.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT (200 * CARO_MS)
#define PIECE_INTERVAL_US 50000
#define TEXT_BYTES 8000

enum { PIECES = 16 };

typedef struct {
    struct event_base *base;
    struct evconnlistener *listener;
    struct event *timer;
    char address[CARO_ADDRESS_SIZE];
    struct bufferevent *peer;
    bool is_rpc;
    char *response;
    size_t size;
    size_t sent;
    size_t sent_max; /* The rest is never sent. */
    bool is_done;
    int code;
    size_t received; /* Bytes of the text of a configuration. */
    CaroTime started_at;
    CaroTime elapsed;
} Fixture;

static Fixture fixture;

static void
send_piece(evutil_socket_t fd, short what, void *context)
{
    Fixture *f = context;
    (void)fd;
    (void)what;
    size_t n = f->size / PIECES + 1;
    n = f->sent + n > f->sent_max ? f->sent_max - f->sent : n;
    if (f->peer != NULL && n > 0) {
        (void)bufferevent_write(f->peer, f->response + f->sent, n);
        f->sent += n;
    }
}

static void
prepare_rpc_response(Fixture *f, uint32_t xid)
{
    caro_config reply = {.revision = 7};
    size_t size = 0;
    reply.text.text_val = calloc(1, TEXT_BYTES);
    reply.text.text_len = TEXT_BYTES;
    char *record = CaroRpcMessage_EncodeReply(xid, CARO_CONFIG, &reply, &size);
    assert_non_null(record);
    uint32_t mark = htonl(0x80000000U | (uint32_t)size);
    f->size = size + sizeof(mark);
    f->response = malloc(f->size);
    memcpy(f->response, &mark, sizeof(mark));
    memcpy(f->response + sizeof(mark), record, size);
    free(record);
    free(reply.text.text_val);
}

static void
prepare_store_response(Fixture *f)
{
    char text[TEXT_BYTES];
    int n = snprintf(text, sizeof(text),
                     "HTTP/1.1 200 OK\r\nStore-Era: 2\r\n"
                     "Content-Length: 4000\r\n\r\n%-4000s",
                     "{\"at\":1234}");
    f->response = strdup(text);
    f->size = (size_t)n;
}

static void
on_request(struct bufferevent *bev, void *context)
{
    Fixture *f = context;
    struct evbuffer *in = bufferevent_get_input(bev);
    if (f->response == NULL) {
        uint32_t words[2];
        (void)evbuffer_copyout(in, words, sizeof(words));
        if (f->is_rpc) {
            prepare_rpc_response(f, ntohl(words[1]));
        }
        else {
            prepare_store_response(f);
        }
        f->sent_max = f->sent_max < f->size ? f->sent_max : f->size;
    }
    evbuffer_drain(in, evbuffer_get_length(in));
}

static void
on_connection(struct evconnlistener *listener, evutil_socket_t fd,
              struct sockaddr *address, int size, void *context)
{
    Fixture *f = context;
    (void)listener;
    (void)address;
    (void)size;
    f->peer = bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(f->peer, on_request, NULL, NULL, f);
    (void)bufferevent_enable(f->peer, EV_READ | EV_WRITE);
}

static void
finish(Fixture *f, int code)
{
    assert_false(f->is_done);
    f->is_done = true;
    f->code = code;
    f->elapsed = CaroClock_Now() - f->started_at;
    (void)event_base_loopbreak(f->base);
}

static void
on_store_done(void *context, int code, int status,
              const CaroStoreResponse *response, CaroTime sent_at)
{
    (void)status;
    (void)response;
    (void)sent_at;
    finish(context, code);
}

static void
on_rpc_done(void *context, int code, const void *result)
{
    Fixture *f = context;
    f->received = code == 0 ? ((const caro_config *)result)->text.text_len : 0;
    finish(f, code);
}

static void
ignore_call(void *context, CaroRpcRequest *request, uint32_t procedure,
            void *args)
{
    (void)context;
    (void)procedure;
    (void)args;
    CaroRpc_Ignore(request);
}

static int
set_up(void **state)
{
    Fixture *f = &fixture;
    struct sockaddr_in self = {.sin_family = AF_INET};
    socklen_t size = sizeof(self);
    struct timeval interval = {.tv_usec = PIECE_INTERVAL_US};
    memset(f, 0, sizeof(*f));
    f->base = event_base_new();
    self.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    f->listener = evconnlistener_new_bind(
        f->base, on_connection, f, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&self, sizeof(self));
    (void)getsockname(evconnlistener_get_fd(f->listener),
                      (struct sockaddr *)&self, &size);
    (void)snprintf(f->address, sizeof(f->address), "127.0.0.1:%d",
                   ntohs(self.sin_port));
    f->timer = event_new(f->base, -1, EV_PERSIST, send_piece, f);
    (void)event_add(f->timer, &interval);
    f->sent_max = SIZE_MAX;
    *state = f;
    return 0;
}

static int
tear_down(void **state)
{
    Fixture *f = *state;
    if (f->peer != NULL) {
        bufferevent_free(f->peer);
    }
    free(f->response);
    event_free(f->timer);
    evconnlistener_free(f->listener);
    event_base_free(f->base);
    return 0;
}

static void
call_store(Fixture *f)
{
    CaroStoreCall call;
    CaroStoreClient *client = CaroStoreClient_Create(f->base, f->address);
    assert_int_equal(CaroPlatform_CallGet(&call, "op/config"), 0);
    f->started_at = CaroClock_Now();
    CaroStoreClient_Call(client, &call, TIMEOUT, on_store_done, f);
    (void)event_base_dispatch(f->base);
    CaroStoreClient_Destroy(client);
}

static void
call_vm(Fixture *f)
{
    CaroError err;
    char self[CARO_ADDRESS_SIZE];
    caro_heartbeat h = {.sender = "n1"};
    (void)snprintf(self, sizeof(self), "127.0.0.2%s", strchr(f->address, ':'));
    CaroRpc *rpc = CaroRpc_Create(f->base, self, ignore_call, NULL, &err);
    assert_non_null(rpc);
    f->is_rpc = true;
    f->started_at = CaroClock_Now();
    CaroRpc_Call(rpc, f->address, CARO_RPC_TCP, CARO_CONFIG, &h, TIMEOUT,
                 on_rpc_done, f);
    (void)event_base_dispatch(f->base);
    CaroRpc_Destroy(rpc);
}

/* Guards against a value of the store that never fits in the time of a call.
 */
static void
test_response_of_the_store_that_keeps_arriving_is_complete(void **state)
{
    Fixture *f = *state;
    call_store(f);
    assert_int_equal(f->code, 0);
    assert_true(f->elapsed > TIMEOUT);
}

static void
test_response_of_the_store_that_stops_arriving_fails(void **state)
{
    Fixture *f = *state;
    f->sent_max = 600;
    call_store(f);
    assert_int_equal(f->code, CARO_ERR_TIMEOUT);
    assert_true(f->elapsed < PIECES * PIECE_INTERVAL_US + TIMEOUT);
}

/* Guards against a configuration that never fits in the time of a call. */
static void
test_reply_of_a_vm_that_keeps_arriving_is_complete(void **state)
{
    Fixture *f = *state;
    call_vm(f);
    assert_int_equal(f->code, 0);
    assert_int_equal(f->received, TEXT_BYTES);
    assert_true(f->elapsed > TIMEOUT);
}

static void
test_reply_of_a_vm_that_stops_arriving_fails(void **state)
{
    Fixture *f = *state;
    f->sent_max = TEXT_BYTES / 2;
    call_vm(f);
    assert_int_equal(f->code, CARO_ERR_TIMEOUT);
    assert_true(f->elapsed < PIECES * PIECE_INTERVAL_US + 2 * TIMEOUT);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            test_response_of_the_store_that_keeps_arriving_is_complete, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_response_of_the_store_that_stops_arriving_fails, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_reply_of_a_vm_that_keeps_arriving_is_complete, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_reply_of_a_vm_that_stops_arriving_fails, set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
