/*
 * Tests of upstreams that refuse a request and say for how long they want no
 * other, with the scripted upstream of relay_fixture.h.
 */
#include "relay_fixture.h"

#define REFUSAL(id, retry_after)                                              \
    "HTTP/1.1 503 X\r\nX-Attempt-Id: " id "\r\nX-Not-Executed: 1\r\n"         \
    "Retry-After: " retry_after "\r\nContent-Length: 0\r\n\r\n"

static void
keep_one_target(Fixture *f)
{
    CaroTargets_Remove(f->deps.targets, 1);
}

/* Sends a request to the only upstream, which refuses it. */
static void
refuse(Fixture *f, const char *response)
{
    script(f, RESPONSE_KEEP_OPEN, response);
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 503");
}

/* Sends requests every 100 ms and returns how many reached the upstream. */
static int
count_arrivals(Fixture *f, CaroTime wait)
{
    int before = f->up.n_requests;
    CaroTime end = CaroClock_Now() + wait;
    for (int i = 0; CaroClock_Now() < end; i++) {
        char id[16];
        (void)snprintf(id, sizeof(id), "n%d", i);
        request(f, id, 0, 100 * CARO_MS);
    }
    return f->up.n_requests - before;
}

static void
test_no_request_is_sent_before_the_time(void **state)
{
    Fixture *f = *state;
    keep_one_target(f);
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    refuse(f, REFUSAL("r1", "1.5"));
    CaroTime refused_at = CaroClock_Now();
    for (int i = 0; i < 6; i++) {
        script(f, RESPONSE_NONE, "");
    }
    assert_int_equal(count_arrivals(f, 1300 * CARO_MS), 0);
    run_for(f, refused_at + 1600 * CARO_MS - CaroClock_Now());
    script(f, RESPONSE_NONE, "");
    request(f, "r9", 0, 3 * LOOP_STEP);
    assert_int_equal(f->up.n_requests, 2);
}

/* The refusal names the time at which the upstream serves again. */
static void
test_refusal_at_once_with_a_true_time(void **state)
{
    Fixture *f = *state;
    keep_one_target(f);
    refuse(f, REFUSAL("r1", "20"));
    CaroTime sent_at = CaroClock_Now();
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 503");
    assert_true(CaroClock_Now() - sent_at < 200 * CARO_MS + f->stalled);
    const char *value = strstr(f->received, "Retry-After: ");
    assert_non_null(value);
    double seconds = strtod(value + strlen("Retry-After: "), NULL);
    assert_true(seconds > 18.0 && seconds < 26.0);
}

static void
test_request_goes_to_another_upstream(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script(f, RESPONSE_KEEP_OPEN, REFUSAL("r1", "2"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "done"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r2", "also"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ndone");
    run_for(f, 800 * CARO_MS); /* Longer than a refusal is avoided. */
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nalso");
    char first[8];
    char third[8];
    (void)snprintf(first, sizeof(first), "%.2s",
                   strstr(f->up.requests[0], "X-Expect-Instance: ") + 19);
    (void)snprintf(third, sizeof(third), "%.2s",
                   strstr(f->up.requests[2], "X-Expect-Instance: ") + 19);
    assert_string_not_equal(first, third);
}

static void
test_relisted_upstream_is_still_unavailable(void **state)
{
    Fixture *f = *state;
    keep_one_target(f);
    refuse(f, REFUSAL("r1", "5"));
    CaroTargets_Remove(f->deps.targets, 0);
    put_target(f, "t1");
    script(f, RESPONSE_NONE, "");
    assert_int_equal(count_arrivals(f, 700 * CARO_MS), 0);
}

/* A stream that has begun waits for its only upstream, as other requests. */
static void
test_stream_that_has_begun_is_not_resumed_before_the_time(void **state)
{
    Fixture *f = *state;
    keep_one_target(f);
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    f->route.attempts_max = 8;
    script(f, RESPONSE_CLOSE, STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN, REFUSAL("r1", "1"));
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, 3 * LOOP_STEP);
    for (int i = 0; i < 100 && f->up.n_requests < 2; i++) {
        run_for(f, LOOP_STEP);
    }
    CaroTime refused_at = CaroClock_Now();
    assert_int_equal(f->up.n_requests, 2);
    while (CaroClock_Now() < refused_at + 900 * CARO_MS) {
        run_for(f, LOOP_STEP);
        assert_int_equal(f->up.n_requests, 2);
    }
    wait_for(f, "data: b\n\n\r\n0\r\n\r\n");
}

/* Values that name no time: the upstream is avoided as after any refusal, and
   then used again. */
static void
test_values_without_a_time(void **state)
{
    Fixture *f = *state;
    static const char *const refusals[] = {
        REFUSAL("r1", "0"), REFUSAL("r1", "-5"), REFUSAL("r1", "soon"),
        REFUSAL("r1", ""), REFUSAL("r1", "Wed, 21 Oct 2065 07:28:00 GMT")};
    keep_one_target(f);
    for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
        f->up.n_responses = 0;
        f->up.next_response = 0;
        f->up.n_requests = 0;
        script(f, RESPONSE_KEEP_OPEN, refusals[i]);
        request(f, "r1", 3, LOOP_STEP);
        wait_for(f, "HTTP/1.1 503");
        script(f, RESPONSE_KEEP_OPEN, RESPONSE("r2", "done"));
        request(f, "r2", 3, LOOP_STEP);
        wait_for(f, "\r\n\r\ndone");
    }
}

static void
test_absurd_times(void **state)
{
    Fixture *f = *state;
    static const char *const refusals[] = {
        REFUSAL("r1", "1000000000"), REFUSAL("r1", "99999999999999999"),
        REFUSAL("r1", "99999999999999999999999999999999999")};
    keep_one_target(f);
    for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
        CaroTargets_Remove(f->deps.targets, 0);
        char id[8];
        (void)snprintf(id, sizeof(id), "a%zu", i);
        put_target(f, id);
        f->up.n_responses = 0;
        f->up.next_response = 0;
        f->up.n_requests = 0;
        refuse(f, refusals[i]);
        script(f, RESPONSE_NONE, "");
        request(f, "r2", 0, LOOP_STEP);
        wait_for(f, "HTTP/1.1 503");
        assert_int_equal(f->up.n_requests, 1);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        RELAY_TEST(test_no_request_is_sent_before_the_time),
        RELAY_TEST(test_refusal_at_once_with_a_true_time),
        RELAY_TEST(test_request_goes_to_another_upstream),
        RELAY_TEST(test_relisted_upstream_is_still_unavailable),
        RELAY_TEST(test_stream_that_has_begun_is_not_resumed_before_the_time),
        RELAY_TEST(test_values_without_a_time),
        RELAY_TEST(test_absurd_times),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
