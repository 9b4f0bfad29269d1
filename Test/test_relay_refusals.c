/*
 * Tests of refusals that are not of this request, or of an earlier attempt of
 * it, with the scripted upstream of relay_fixture.h: none may be taken to say
 * that the request was not run.
 */
#include "relay_fixture.h"

#define REFUSAL(id)                                                           \
    "HTTP/1.1 503 X\r\nX-Attempt-Id: " id "\r\nX-Not-Executed: 1\r\n"         \
    "Content-Length: 0\r\n\r\n"
#define REFUSAL_WITHOUT_ID(status)                                            \
    "HTTP/1.1 " status " X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

/* A refusal that names no request may be an earlier one's. */
static void
test_refusal_without_an_id_is_not_believed(void **state)
{
    Fixture *f = *state;
    static const char *const refusals[] = {
        REFUSAL_WITHOUT_ID("503"), REFUSAL_WITHOUT_ID("421"),
        REFUSAL_WITHOUT_ID("429"), REFUSAL_WITHOUT_ID("400")};
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
        int before = f->up.n_requests;
        script(f, RESPONSE_KEEP_OPEN, refusals[i]);
        request(f, "r1", 3, LOOP_STEP);
        wait_for(f, "HTTP/1.1 502");
        assert_int_equal(f->up.n_requests, before + 1);
    }
}

/* Nor is a failure that names none given to the caller. */
static void
test_failure_without_an_id_is_not_forwarded(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 500 X\r\nX-Response-Seal: s\r\nContent-Length: 4\r\n"
           "\r\noops");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 502");
    assert_null(strstr(f->received, "oops"));
    assert_null(strstr(f->received, "X-Response-Seal"));
}

/* An earlier refusal is written once more on a kept connection, behind the
   next request on it. */
static void
test_refusal_of_an_earlier_request_on_a_kept_channel(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    CaroTargets_Remove(f->deps.targets, 1);
    script(f, RESPONSE_KEEP_OPEN, REFUSAL("r1"));
    script(f, RESPONSE_KEEP_OPEN, REFUSAL("r1") RESPONSE("r2", "mine"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 503");
    run_for(f, 500 * CARO_MS);
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nmine");
    assert_int_equal(f->up.n_requests, 2);
}

/* The repeated refusal names the request that waits, since an earlier attempt
   of it was refused on that channel: another attempt at the upstream needs
   another channel. */
static void
test_attempt_after_a_refusal_gets_a_channel_of_its_own(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    f->route.attempts_max = 8;
    CaroTargets_Remove(f->deps.targets, 1);
    script(f, RESPONSE_CLOSE, STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN, REFUSAL("r1"));
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, 3 * LOOP_STEP);
    wait_for(f, "data: b\n\n\r\n0\r\n\r\n");
    assert_int_equal(f->up.n_requests, 3);
    assert_int_equal(f->up.n_connections, 3);
}

/* Bytes that nobody asked for have arrived and were not read when the next
   request is to be sent. */
static void
test_channel_with_unasked_bytes_is_not_used(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    CaroTargets_Remove(f->deps.targets, 1);
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "mine"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r2", "also"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nmine");
    send_more(&f->up, REFUSAL("r2"));
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nalso");
    assert_int_equal(f->up.n_connections, 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        RELAY_TEST(test_refusal_without_an_id_is_not_believed),
        RELAY_TEST(test_failure_without_an_id_is_not_forwarded),
        RELAY_TEST(test_refusal_of_an_earlier_request_on_a_kept_channel),
        RELAY_TEST(test_attempt_after_a_refusal_gets_a_channel_of_its_own),
        RELAY_TEST(test_channel_with_unasked_bytes_is_not_used),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
