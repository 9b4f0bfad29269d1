/*
 * Tests of what follows when an upstream closes a connection that this VM does
 * not read because its caller is slow.
 */
#include "relay_fixture.h"

#define LONG_STREAM                                                           \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"           \
    "Content-Type: text/event-stream\r\nContent-Length: 67108864\r\n\r\n"
#define LONG_BODY                                                             \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"           \
    "Content-Length: 67108864\r\n\r\n"

enum { EVENT_SIZE = 16384 };

/* Begins a long response and stops reading it at the caller; returns when the
   upstream can write no more. */
static void
fill(Fixture *f, const char *head)
{
    static char event[EVENT_SIZE + 1];
    memset(event, 'y', EVENT_SIZE);
    memcpy(event, "data: ", 6);
    memcpy(event + EVENT_SIZE - 2, "\n\n", 2);
    script(f, RESPONSE_KEEP_OPEN, head);
    f->up.filler = event;
    f->up.filler_size = EVENT_SIZE;
    request(f, "r1", 3, LOOP_STEP);
    (void)bufferevent_disable(f->caller, EV_READ);
    size_t before = SIZE_MAX;
    for (int i = 0; i < 50 && f->up.filler_sent != before; i++) {
        before = f->up.filler_sent;
        run_for(f, 4 * LOOP_STEP);
    }
    assert_int_equal(f->up.filler_sent, before);
}

static void
close_upstream(Fixture *f)
{
    Connection *c = f->up.newest;
    assert_non_null(c);
    f->up.filler = NULL;
    bufferevent_free(c->bev);
    free_connection(c);
}

static void
read_again(Fixture *f)
{
    (void)bufferevent_enable(f->caller, EV_READ);
    for (int i = 0; i < 50 && !f->is_closed; i++) {
        run_for(f, LOOP_STEP);
    }
    assert_true(f->is_closed);
}

/* Failures of all targets, as other VMs and the placement learn of them. */
static int
count_failures(const Fixture *f)
{
    int n = 0;
    for (CaroHandle h = 0; h < CaroTargets_Count(f->deps.targets); h++) {
        const CaroTarget *t = CaroTargets_GetConst(f->deps.targets, h);
        n += t->failures > 0 || t->avoided_until > 0 || t->own_failure_at > 0;
    }
    return n;
}

/* Guards against an upstream that is avoided, and reported as failing, because
   a caller did not read its response. */
static void
test_unread_stream_is_no_failure(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    fill(f, LONG_STREAM);
    run_for(f, 1100 * CARO_MS);
    close_upstream(f);
    read_again(f);
    assert_int_equal(count_failures(f), 0);
}

/* Likewise of a response that is no stream. */
static void
test_unread_response_is_no_failure(void **state)
{
    Fixture *f = *state;
    fill(f, LONG_BODY);
    run_for(f, 1100 * CARO_MS);
    close_upstream(f);
    read_again(f);
    assert_int_equal(count_failures(f), 0);
}

/* Guards against failures that are excused by a short pause before them. */
static void
test_failure_after_a_short_pause_counts(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    CaroTime from = CaroClock_Now();
    fill(f, LONG_STREAM);
    close_upstream(f);
    (void)bufferevent_enable(f->caller, EV_READ);
    if (CaroClock_Now() - from < 900 * CARO_MS) {
        read_again(f);
        assert_int_equal(count_failures(f), 1);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        RELAY_TEST(test_unread_stream_is_no_failure),
        RELAY_TEST(test_unread_response_is_no_failure),
        RELAY_TEST(test_failure_after_a_short_pause_counts),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
