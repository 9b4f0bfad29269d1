/*
 * Tests of requests to a service that is short of room, with the scripted
 * upstream of relay_fixture.h: what is refused was never sent or was rejected,
 * what is held ends with its caller, and servers that send three load figures
 * are served as before.
 */
#include "relay_fixture.h"

#define REJECTION(id, load)                                                   \
    "HTTP/1.1 503 X\r\nX-Attempt-Id: " id "\r\nX-Not-Executed: 1\r\n"         \
    "X-Server-Load: " load "\r\nContent-Length: 0\r\n\r\n"

static uint64_t
count_of(const Fixture *f, CaroCounter id)
{
    return f->counters.values[id];
}

static int
held(const Fixture *f)
{
    CaroRoomState s;
    return CaroServiceRoom_GetState(f->deps.room, "s", &s, CaroClock_Now())
               ? s.held
               : 0;
}

/* A request that all servers rejected was refused although the next one, a
   moment later, was served. */
static void
test_rejected_request_is_held_and_sent_again(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script(f, RESPONSE_KEEP_OPEN, REJECTION("r1", "4,24,4,100"));
    script(f, RESPONSE_KEEP_OPEN, REJECTION("r1", "4,24,4,100"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "mine"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nmine");
    assert_int_equal(f->up.n_requests, 3);
    assert_int_equal(count_of(f, CARO_COUNT_ROOM_REJECTED), 2);
    assert_int_equal(count_of(f, CARO_COUNT_ROOM_HELD), 1);
    assert_int_equal(count_of(f, CARO_COUNT_ROOM_REFUSED), 0);
    assert_int_equal(held(f), 0);
}

/* A request that would be late must not wait, and the refusal has to say when
   to come back. */
static void
test_rejected_request_that_would_be_late_is_refused(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    f->route.objective = 15 * CARO_MS;
    script(f, RESPONSE_KEEP_OPEN, REJECTION("r1", "4,24,4,100"));
    script(f, RESPONSE_KEEP_OPEN, REJECTION("r1", "4,24,4,100"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 503");
    const char *retry_after = strstr(f->received, "Retry-After: ");
    assert_non_null(retry_after);
    assert_true(strtod(retry_after + 13, NULL) >= 0.3);
    assert_int_equal(f->up.n_requests, 2);
    assert_int_equal(count_of(f, CARO_COUNT_ROOM_REFUSED), 1);
    assert_int_equal(held(f), 0);
}

/* Rejections of a server say that its queue is full; the usual delay after a
   failure would keep the VM from a server that has room a moment later. */
static void
test_rejecting_servers_are_not_avoided(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script(f, RESPONSE_KEEP_OPEN, REJECTION("r1", "4,24,4,100"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "mine"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nmine");
    for (CaroHandle h = 0; h < CaroTargets_Count(f->deps.targets); h++) {
        assert_true(CaroTarget_IsUsable(
            CaroTargets_GetConst(f->deps.targets, h), CaroClock_Now()));
    }
}

static void
test_servers_with_three_figures_are_served_as_before(void **state)
{
    Fixture *f = *state;
    CaroRoomReport out;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script(f, RESPONSE_KEEP_OPEN, REJECTION("r1", "4,24,4"));
    script(f, RESPONSE_KEEP_OPEN, REJECTION("r1", "4,24,4"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 503");
    assert_int_equal(f->up.n_requests, 2);
    assert_int_equal(count_of(f, CARO_COUNT_ROOM_REJECTED), 0);
    assert_int_equal(count_of(f, CARO_COUNT_ROOM_HELD), 0);
    assert_int_equal(count_of(f, CARO_COUNT_ROOM_REFUSED), 0);
    assert_false(CaroServiceRoom_IsShort(f->deps.room, "s"));
    assert_false(CaroServiceRoom_Collect(f->deps.room, &out,
                                         CaroClock_Now() + CARO_SECOND));
}

/* Both servers reject all the time, so that the request is held again and
   again when its caller leaves. */
static void
begin_hold(Fixture *f)
{
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    for (int i = 0; i < RESPONSES_MAX; i++) {
        script(f, RESPONSE_KEEP_OPEN, REJECTION("r1", "4,24,4,100"));
    }
    request(f, "r1", 3, CARO_MS);
    for (int i = 0; i < 500 && held(f) == 0; i++) {
        run_for(f, CARO_MS);
    }
    assert_int_equal(held(f), 1);
}

static void
test_hold_ends_with_its_caller(void **state)
{
    Fixture *f = *state;
    begin_hold(f);
    int sent = f->up.n_requests;
    bufferevent_free(f->caller);
    f->caller = NULL;
    for (int i = 0; i < 100 && CaroRelays_Count(f->relays) > 0; i++) {
        run_for(f, CARO_MS);
    }
    assert_int_equal(held(f), 0);
    assert_int_equal(CaroRelays_Count(f->relays), 0);
    run_for(f, 50 * CARO_MS);
    assert_in_range(f->up.n_requests, sent, sent + 2);
}

/* What is sent again after a hold is a retry, of which the deployment has no
   more than its budget. */
static void
test_held_request_keeps_the_retry_budget(void **state)
{
    Fixture *f = *state;
    begin_hold(f);
    int sent = f->up.n_requests;
    CaroTime now = CaroClock_Now();
    while (CaroRetryBudget_AllowsRetry(f->deps.budget, "s", 1, now)) {
        CaroRetryBudget_RecordRetry(f->deps.budget, "s", now);
    }
    wait_for(f, "HTTP/1.1 503");
    assert_non_null(strstr(f->received, "Retry-After: "));
    assert_int_equal(f->up.n_requests, sent);
    assert_int_equal(held(f), 0);
}

/* A VM that stops told the caller of a request that no server had taken that
   its outcome is unknown. */
static void
test_held_request_is_refused_at_shutdown(void **state)
{
    Fixture *f = *state;
    begin_hold(f);
    CaroRelays_CutAll(f->relays, CaroClock_Now());
    assert_int_equal(held(f), 0);
    wait_for(f, "HTTP/1.1 503");
}

#define ROOM_TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        ROOM_TEST(test_rejected_request_is_held_and_sent_again),
        ROOM_TEST(test_rejected_request_that_would_be_late_is_refused),
        ROOM_TEST(test_rejecting_servers_are_not_avoided),
        ROOM_TEST(test_servers_with_three_figures_are_served_as_before),
        ROOM_TEST(test_hold_ends_with_its_caller),
        ROOM_TEST(test_held_request_keeps_the_retry_budget),
        ROOM_TEST(test_held_request_is_refused_at_shutdown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
