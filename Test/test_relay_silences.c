/*
 * Tests of when a stream leaves an upstream that is silent, with a gap
 * objective of 700 ms.
 */
#include "relay_fixture.h"

#define EVENT(id, data) "f\r\nid: " id "\ndata: " data "\n\n\r\n"
#define END "0\r\n\r\n"
#define HEAD_WITH_LOAD(id, load)                                              \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id                                    \
    "\r\nX-Response-Seal: s\r\nX-Server-Load: " load                          \
    "\r\nContent-Type: text/event-stream\r\n"                                 \
    "Transfer-Encoding: chunked\r\n\r\n"

static int
setup_streams(void **state)
{
    int rc = setup(state);
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    return rc;
}

#define SILENCE_TEST(test)                                                    \
    cmocka_unit_test_setup_teardown(test, setup_streams, teardown)

/* Guards against streams without a KV copy that leave a slow engine, where the
   prefill elsewhere takes longer than the rest of the objective. */
static void
test_slow_engine_keeps_a_stream_without_copy(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_KEEP_OPEN,
           HEAD_WITH_LOAD("r1", "1,0,4,182") EVENT("1", "a"));
    request(f, "r1", 3, 550 * CARO_MS);
    send_more(&f->up, EVENT("2", "b") END);
    wait_for(f, "\r\n" END);
    assert_non_null(strstr(f->received, "data: b"));
    assert_int_equal(f->up.n_requests, 1);
    assert_int_equal(f->counters.values[CARO_COUNT_SILENCES_ENDED], 1);
    assert_int_equal(f->counters.values[CARO_COUNT_SILENT_MOVED], 0);
}

/* Guards against an engine that is silent for longer than the objective and
   keeps its stream. */
static void
test_silent_engine_loses_a_stream_without_copy(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_KEEP_OPEN,
           HEAD_WITH_LOAD("r1", "1,0,4,182") EVENT("1", "a"));
    script(f, RESPONSE_KEEP_OPEN,
           HEAD_WITH_LOAD("r1", "1,0,4,100") EVENT("2", "b") END);
    CaroTime from = CaroClock_Now();
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n" END);
    assert_true(CaroClock_Now() - from >= 700 * CARO_MS);
    assert_int_equal(f->up.n_requests, 2);
    assert_int_equal(f->counters.values[CARO_COUNT_SILENT_MOVED], 1);
}

/* Guards against a stream with a KV copy that waits so long that its resume is
   late: nothing is known of the pace, and the holder of the copy is idle. */
static void
test_stream_with_copy_leaves_in_time(void **state)
{
    Fixture *f = *state;
    CaroTargetEntry e = {.slots = 4};
    CARO_COPY(e.id, "other-domain");
    CARO_COPY(e.address, f->up.address);
    CARO_COPY(e.domain, "e");
    CARO_COPY(e.service, "s");
    CARO_COPY(e.version, "v1");
    (void)CaroTargets_Put(f->deps.targets, &e, CaroClock_Now());
    script(f, RESPONSE_KEEP_OPEN,
           HEAD_WITH_LOAD("r1", "1,0,4,182") EVENT("1", "a"));
    script(f, RESPONSE_KEEP_OPEN,
           HEAD_WITH_LOAD("r1", "1,0,4,100") EVENT("2", "b") END);
    request(f, "r1", 3, 300 * CARO_MS);
    assert_int_equal(f->up.n_requests, 1);
    run_for(f, 320 * CARO_MS);
    if (f->stalled < 50 * CARO_MS) {
        assert_int_equal(f->up.n_requests, 2);
    }
    wait_for(f, "\r\n" END);
    assert_non_null(strstr(f->up.requests[1], "Kv-From: "));
}

/* Guards against a change for services that report three figures. */
static void
test_services_without_the_figure_keep_the_constant(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_KEEP_OPEN,
           HEAD_WITH_LOAD("r1", "1,0,4") EVENT("1", "a"));
    script(f, RESPONSE_KEEP_OPEN,
           HEAD_WITH_LOAD("r1", "1,0,4") EVENT("2", "b") END);
    CaroTime from = CaroClock_Now();
    request(f, "r1", 3, 270 * CARO_MS);
    assert_int_equal(f->up.n_requests, 1);
    wait_for(f, "\r\n" END);
    CaroTime wait = CaroClock_Now() - from;
    assert_true(wait >= 315 * CARO_MS);
    assert_true(wait - f->stalled < 500 * CARO_MS);
    assert_int_equal(f->up.n_requests, 2);
}

/* Guards against a stream that waits at an engine which preempted it: another
   one there goes on. */
static void
test_preempted_stream_leaves_early(void **state)
{
    Fixture *f = *state;
    CaroTargets_Remove(f->deps.targets,
                       CaroTargets_Find(f->deps.targets, "t2"));
    script(f, RESPONSE_KEEP_OPEN,
           HEAD_WITH_LOAD("r1", "1,0,4,100") EVENT("1", "a"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "data: a");
    struct bufferevent *first = f->caller;
    f->caller = NULL;
    script(f, RESPONSE_KEEP_OPEN,
           HEAD_WITH_LOAD("r2", "2,0,4,100") EVENT("1", "x"));
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "data: x");
    put_target(f, "t2");
    script(f, RESPONSE_KEEP_OPEN,
           HEAD_WITH_LOAD("r1", "1,0,4,100") EVENT("2", "b") END);
    Connection *second = f->up.newest;
    for (int i = 0; i < 12; i++) { /* 480 ms, shorter than the objective. */
        run_for(f, 2 * LOOP_STEP);
        char event[64];
        (void)snprintf(event, sizeof(event), "f\r\nid: %d\ndata: y\n\n\r\n",
                       i % 8 + 2);
        if (i < 8) {
            assert_int_equal(
                bufferevent_write(second->bev, event, strlen(event)), 0);
        }
    }
    if (f->stalled < 100 * CARO_MS) {
        assert_int_equal(f->up.n_requests, 3);
        assert_int_equal(f->counters.values[CARO_COUNT_PREEMPTED_MOVED], 1);
    }
    bufferevent_free(first);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        SILENCE_TEST(test_slow_engine_keeps_a_stream_without_copy),
        SILENCE_TEST(test_silent_engine_loses_a_stream_without_copy),
        SILENCE_TEST(test_stream_with_copy_leaves_in_time),
        SILENCE_TEST(test_services_without_the_figure_keep_the_constant),
        SILENCE_TEST(test_preempted_stream_leaves_early),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
