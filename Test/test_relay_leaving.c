/*
 * Tests of upstreams that announce in a response that they leave, with the
 * scripted upstream of relay_fixture.h.
 */
#include "relay_fixture.h"

#define LEAVING_RESPONSE(id)                                                  \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id "\r\nX-Response-Seal: s\r\n"       \
    "Server-Leaving: 1\r\nContent-Length: 4\r\n\r\nlast"

/* Reads the instance that a request was sent to. */
static void
read_instance(const char *request, char out[8])
{
    const char *at = strstr(request, "X-Expect-Instance: ");
    assert_non_null(at);
    (void)snprintf(out, 8, "%.2s", at + strlen("X-Expect-Instance: "));
}

/* Sends requests with the ids "m1" to "m4", whose responses are whole, and
   checks that none goes to the instance. */
static void
check_others_are_used(Fixture *f, const char *leaving)
{
    static const char *const responses[] = {
        RESPONSE("m1", "done"), RESPONSE("m2", "done"), RESPONSE("m3", "done"),
        RESPONSE("m4", "done")};
    int first = f->up.n_requests;
    for (int i = 0; i < 4; i++) {
        char id[8];
        char to[8];
        (void)snprintf(id, sizeof(id), "m%d", i + 1);
        script(f, RESPONSE_KEEP_OPEN, responses[i]);
        request(f, id, 3, LOOP_STEP);
        wait_for(f, "\r\n\r\ndone");
        read_instance(f->up.requests[first + i], to);
        assert_string_not_equal(to, leaving);
    }
}

/* Sends a request whose response announces that its upstream leaves, and
   returns that upstream's id. */
static void
announce(Fixture *f, const char *response, ResponseKind kind, char leaving[8])
{
    script(f, kind, response);
    request(f, "r1", 3, 3 * LOOP_STEP);
    read_instance(f->up.requests[0], leaving);
}

static void
test_leaving_upstream_gets_no_new_request(void **state)
{
    Fixture *f = *state;
    char leaving[8];
    announce(f, LEAVING_RESPONSE("r1"), RESPONSE_KEEP_OPEN, leaving);
    wait_for(f, "\r\n\r\nlast");
    assert_null(strstr(f->received, "Server-Leaving"));
    check_others_are_used(f, leaving);
    assert_true(f->up.n_closed >= 1); /* The kept channel. */
}

static void
test_failure_announces_too(void **state)
{
    Fixture *f = *state;
    char leaving[8];
    announce(f,
             "HTTP/1.1 500 X\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
             "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
             RESPONSE_KEEP_OPEN, leaving);
    check_others_are_used(f, leaving);
}

static void
test_response_that_breaks_off_announces_too(void **state)
{
    Fixture *f = *state;
    char leaving[8];
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    announce(f,
             "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
             "Server-Leaving: 1\r\nContent-Length: 9\r\n\r\nhal",
             RESPONSE_RESET, leaving);
    wait_for(f, "HTTP/1.1 502");
    run_for(f, 3200 * CARO_MS); /* Longer than the failure is avoided. */
    check_others_are_used(f, leaving);
}

static void
test_foreign_response_announces_too(void **state)
{
    Fixture *f = *state;
    char leaving[8];
    announce(f, LEAVING_RESPONSE("old") RESPONSE("r1", "mine"),
             RESPONSE_KEEP_OPEN, leaving);
    wait_for(f, "\r\n\r\nmine");
    check_others_are_used(f, leaving);
}

static void
test_entry_that_says_ready_does_not_end_the_notice(void **state)
{
    Fixture *f = *state;
    char leaving[8];
    announce(f, LEAVING_RESPONSE("r1"), RESPONSE_KEEP_OPEN, leaving);
    put_target(f, leaving);
    check_others_are_used(f, leaving);
}

static void
test_upstream_that_is_listed_again_is_still_leaving(void **state)
{
    Fixture *f = *state;
    char leaving[8];
    announce(f, LEAVING_RESPONSE("r1"), RESPONSE_KEEP_OPEN, leaving);
    CaroTargets_Remove(f->deps.targets,
                       CaroTargets_Find(f->deps.targets, leaving));
    put_target(f, leaving);
    check_others_are_used(f, leaving);
}

/* The other upstream is removed: only the new start is left. */
static void
test_new_start_of_an_upstream_is_used(void **state)
{
    Fixture *f = *state;
    char leaving[8];
    put_started(f, "t1", 1000);
    put_started(f, "t2", 1000);
    announce(f, LEAVING_RESPONSE("r1"), RESPONSE_KEEP_OPEN, leaving);
    const char *other = strcmp(leaving, "t1") == 0 ? "t2" : "t1";
    CaroTargets_Remove(f->deps.targets,
                       CaroTargets_Find(f->deps.targets, other));
    put_started(f, leaving, 2000);
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r2", "anew"));
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nanew");
}

static void
test_without_another_upstream_the_request_is_refused_at_once(void **state)
{
    Fixture *f = *state;
    char leaving[8];
    CaroTargets_Remove(f->deps.targets, 1);
    announce(f, LEAVING_RESPONSE("r1"), RESPONSE_KEEP_OPEN, leaving);
    wait_for(f, "\r\n\r\nlast");
    CaroTime sent_at = CaroClock_Now();
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 503");
    assert_non_null(strstr(f->received, "Retry-After: "));
    assert_true(CaroClock_Now() - sent_at < 200 * CARO_MS + f->stalled);
    assert_int_equal(f->up.n_requests, 1);
}

/* The request was chosen for the upstream, and its channel is still opening.
 */
static void
test_request_that_is_not_sent_yet_goes_elsewhere(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    f->is_closed_early = true;
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "done"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ndone");
    assert_int_equal(f->up.n_requests, 1);
    char to[8];
    read_instance(f->up.requests[0], to);
    CaroHandle h = CaroTargets_Find(f->deps.targets, to);
    const CaroTarget *target = CaroTargets_GetConst(f->deps.targets, h);
    assert_int_equal(target->notice.leaving, CARO_LEAVING_UNKNOWN);
}

static void
test_request_that_is_not_sent_yet_is_refused_without_another(void **state)
{
    Fixture *f = *state;
    CaroTargets_Remove(f->deps.targets, 1);
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    f->is_closed_early = true;
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "done"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 503");
    assert_int_equal(f->up.n_requests, 0);
}

static void
test_stream_of_a_leaving_upstream_runs_to_its_end(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
           "Server-Leaving: 1\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
    request(f, "r1", 3, 3 * LOOP_STEP);
    send_more(&f->up, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    wait_for(f, "data: b\n\n\r\n0\r\n\r\n");
    assert_int_equal(f->up.n_requests, 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        RELAY_TEST(test_leaving_upstream_gets_no_new_request),
        RELAY_TEST(test_failure_announces_too),
        RELAY_TEST(test_response_that_breaks_off_announces_too),
        RELAY_TEST(test_foreign_response_announces_too),
        RELAY_TEST(test_entry_that_says_ready_does_not_end_the_notice),
        RELAY_TEST(test_upstream_that_is_listed_again_is_still_leaving),
        RELAY_TEST(test_new_start_of_an_upstream_is_used),
        RELAY_TEST(
            test_without_another_upstream_the_request_is_refused_at_once),
        RELAY_TEST(test_request_that_is_not_sent_yet_goes_elsewhere),
        RELAY_TEST(
            test_request_that_is_not_sent_yet_is_refused_without_another),
        RELAY_TEST(test_stream_of_a_leaving_upstream_runs_to_its_end),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
