/*
 * Tests of forwarding, with an upstream that sends scripted bytes: responses
 * that are early, doubled, meant for another request, without a length or
 * cut, and callers that disconnect or do not read.
 */
#include "relay_fixture.h"

#include "http_grammar.h"

static void
test_headers_and_body_are_forwarded(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    request(f, "r1", 10, LOOP_STEP);
    wait_for(f, "HTTP/1.1 200");
    assert_non_null(strstr(f->received, "X-Response-Seal: s-r1\r\n"));
    assert_non_null(strstr(f->received, "\r\n\r\ngood"));
    const char *sent = f->up.requests[0];
    assert_non_null(strstr(sent, "POST /p/r1 HTTP/1.1\r\n"));
    assert_non_null(strstr(sent, "X-Attempt-Id: r1\r\n"));
    assert_non_null(strstr(sent, "X-Expect-Instance: t"));
    assert_non_null(strstr(sent, "\r\n\r\nxxxxxxxxxx"));
    /* Headers that only the gateway may set are not copied. */
    assert_null(strstr(sent, "X-Hold"));
    assert_null(strstr(sent, "Kv-From"));
    assert_null(strstr(sent, "X-Tenant"));
}

/* What is sent is by the grammar, whatever the framing in which it came;
   extensions, trailers and headers that Connection lists do not pass. */
static void
test_messages_are_framed_anew(void **state)
{
    Fixture *f = *state;
    static GrammarResult sent;
    static const char text[] =
        "POST http://a/p/r1?q HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: r1\r\n"
        "X-Deadline-Ms: 4000\r\nConnection: X-Own\r\nConnection: X-Two\r\n"
        "X-Own: 1\r\nX-Two: 2\r\nX-Kept:\t\xe4 3 \r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "3;a=\"0\"\r\nabc\r\n0003\r\ndef\r\n0\r\nNote: n\r\n\r\n";
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s-r1\r\n"
           "Connection: X-Hop\r\nX-Hop: 1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n"
           "2;b=c\r\ngo\r\n02\r\nod\r\n00\r\nNote: m\r\n\r\n");
    send_text(f, text);
    wait_for(f, "good");
    const char *request = f->up.requests[0];
    grammar_read(true, request, strlen(request), &sent);
    assert_int_equal(sent.verdict, GRAMMAR_MESSAGE);
    assert_int_equal(sent.size, strlen(request));
    assert_int_equal(sent.body_size, 6);
    assert_memory_equal(sent.body, "abcdef", 6);
    assert_non_null(strstr(request, "POST /p/r1?q HTTP/1.1\r\n"));
    assert_non_null(strstr(request, "X-Kept: \xe4 3\r\n"));
    assert_null(strstr(request, "X-Own"));
    assert_null(strstr(request, "X-Two"));
    assert_null(strstr(request, "Note"));
    grammar_read(false, f->received, strlen(f->received), &sent);
    assert_int_equal(sent.verdict, GRAMMAR_MESSAGE);
    assert_int_equal(sent.size, strlen(f->received));
    assert_memory_equal(sent.body, "good", 4);
    assert_null(strstr(f->received, "X-Hop"));
    assert_null(strstr(f->received, "Note"));
}

/* A response without a body states no length that nobody knows. */
static void
test_response_that_has_no_body_has_no_length(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 204 X\r\nX-Attempt-Id: r1\r\n"
           "X-Response-Seal: s-r1\r\n\r\n");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 204");
    assert_null(strstr(f->received, "Content-Length"));
}

/* After an early response the upstream still expects the rest of the body:
   the next request must not be sent on that channel, where it would be read
   as a part of the body.  The body is larger than the socket buffers. */
static void
test_response_before_end_of_request(void **state)
{
    Fixture *f = *state;
    /* With a single upstream its channel is the one that could be reused. */
    CaroTargets_Remove(f->deps.targets, 1);
    script(f, RESPONSE_EARLY, RESPONSE("r1", "soon"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r2", "next"));
    request(f, "r1", 16 << 20, LOOP_STEP);
    wait_for(f, "\r\n\r\nsoon");
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nnext");
    assert_non_null(strstr(f->up.requests[1], "POST /p/r2 HTTP/1.1\r\n"));
}

static void
test_foreign_response_is_skipped(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_KEEP_OPEN,
           RESPONSE("old", "late") RESPONSE("r1", "mine"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r2", "also"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nmine");
    assert_null(strstr(f->received, "late"));
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nalso");
}

/* A response to another request breaks off; the retry must not skip the
   response of the next upstream. */
static void
test_foreign_response_breaks_off(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script(f, RESPONSE_RESET,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nX-Response-Seal: s\r\n"
           "Content-Length: 9\r\n\r\nhal");
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "mine"));
    request(f, "r1", 0, LOOP_STEP);
    wait_for(f, "\r\n\r\nmine");
}

static void
test_bytes_after_response(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_KEEP_OPEN,
           RESPONSE("r1", "mine") "HTTP/1.1 200 OK\r\n\r\nx");
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r2", "next"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nmine");
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nnext");
    assert_true(f->up.n_connections >= 2);
}

#define UNFRAMED_RESPONSE(id, body)                                           \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id                                    \
    "\r\nX-Response-Seal: s\r\n\r\n" body

static void
test_response_without_length(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_CLOSE, UNFRAMED_RESPONSE("r1", "whole"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\nwhole");
    assert_non_null(strstr(f->received, "Content-Length: 5\r\n"));
}

/* A cut response is not forwarded.  The order may have run, so it is not
   retried, and the caller receives 502. */
static void
test_cut_response_to_order(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script(f, RESPONSE_RESET, UNFRAMED_RESPONSE("r1", "ha"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "more"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 502");
    assert_int_equal(f->up.n_requests, 1);
}

static void
test_cut_response_to_idempotent_request(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script(f, RESPONSE_CLOSE,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
           "X-Response-Seal: s\r\nContent-Length: 9\r\n\r\nhal");
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "full"));
    request(f, "r1", 0, LOOP_STEP);
    wait_for(f, "\r\n\r\nfull");
    assert_null(strstr(f->received, "hal"));
}

/* A success response without a signature or with an empty one, or with an
   encoded body, is not accepted as the upstream's. */
static void
test_invalid_success_response(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
           "Content-Length: 4\r\n\r\nfake");
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
           "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfake");
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal:\r\n"
           "Content-Length: 4\r\n\r\nfake");
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "real"));
    f->route.attempts_max = 5;
    put_target(f, "t3");
    put_target(f, "t4");
    request(f, "r1", 0, LOOP_STEP);
    wait_for(f, "\r\n\r\nreal");
    assert_null(strstr(f->received, "fake"));
}

/* A status that guarantees "not run" is forwarded only together with the
   upstream's header that says so; otherwise the outcome is unknown. */
static void
test_not_run_status_without_header(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 503 X\r\nX-Attempt-Id: r2\r\nX-Not-Executed: 1\r\n"
           "Content-Length: 0\r\n\r\n");
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r2", "done"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 502");
    /* With the header the order is sent to another upstream. */
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ndone");
}

static void
test_stream_cut_within_event(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_CLOSE,
           STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n"
                             "9\r\nid: 2\ndat\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: b\n\n\r\n"
                             "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n0\r\n\r\n");
    assert_non_null(strstr(f->up.requests[1], "Last-Event-Id: 1\r\n"));
    assert_non_null(strstr(f->received,
                           "f\r\nid: 1\ndata: a\n\n\r\n"
                           "f\r\nid: 2\ndata: b\n\n\r\n"
                           "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n"));
}

/* A stream that is not resumable is cut, so that the caller sees that it is
   incomplete. */
static void
test_stream_that_is_not_resumable(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    script(f, RESPONSE_CLOSE, STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "id: 1\n");
    for (int i = 0; i < 100 && !f->is_closed; i++) {
        run_for(f, LOOP_STEP);
    }
    assert_null(strstr(f->received, "\r\n0\r\n"));
    assert_true(f->is_closed);
    assert_int_equal(f->up.n_requests, 1);
}

/* An upstream that repeats events instead of resuming after the last one is
   not accepted; its events are not forwarded. */
static void
test_stream_that_starts_over(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_CLOSE, STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 1\ndata: z\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    put_target(f, "t3");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n0\r\n\r\n");
    assert_null(strstr(f->received, "data: z"));
    assert_non_null(strstr(f->received, "data: b\n\n\r\n0\r\n\r\n"));
}

/* An error response of the next upstream is neither forwarded nor taken as
   the end of a stream that has begun. */
static void
test_error_instead_of_rest_of_stream(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_CLOSE, STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 500 X\r\nX-Attempt-Id: r1\r\nContent-Length: 4\r\n"
           "\r\noops");
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 404 X\r\nX-Attempt-Id: r1\r\nContent-Length: 4\r\n"
           "\r\nnone");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    put_target(f, "t3");
    put_target(f, "t4");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n0\r\n\r\n");
    assert_null(strstr(f->received, "oops"));
    assert_null(strstr(f->received, "none"));
    assert_non_null(strstr(f->received, "data: b\n\n\r\n0\r\n\r\n"));
}

/* The stream of a silent engine is resumed elsewhere within the route's
   objective for the gap between events, and its channel is closed, so that the
   request does not run twice at the same time. */
static void
test_silent_stream_is_resumed(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    CaroTime sent_at = CaroClock_Now();
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "data: b\n\n\r\n0\r\n\r\n");
    /* The objective for the gap, and one step of the loop. */
    assert_true(CaroClock_Now() - sent_at < f->route.gap + LOOP_STEP);
    assert_true(f->up.n_closed >= 1);
}

/* Engines prefill prompts one after the other.  A stream that waits for its
   first event stays at an engine that responds to other requests, because
   moving it would have the prompt prefilled twice.  It is moved when the
   engine sends nothing at all. */
static void
test_busy_engine_keeps_stream(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    f->route.objective = 400 * CARO_MS;
    script(f, RESPONSE_NONE, "");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, LOOP_STEP);
    for (int i = 0; i < 50; i++) {
        CaroTime now = CaroClock_Now();
        CaroTargets_RecordHeard(f->deps.targets, 0, now);
        CaroTargets_RecordHeard(f->deps.targets, 1, now);
        run_for(f, LOOP_STEP);
    }
    assert_int_equal(f->up.n_requests, 1);
    wait_for(f, "data: a\n\n\r\n0\r\n\r\n");
    assert_int_equal(f->up.n_requests, 2);
}

/* Sends a request with two parts of a prompt and a part of its own. */
static void
request_prompt(Fixture *f, const char *id, const char *parts)
{
    char head[256];
    (void)snprintf(head, sizeof(head),
                   "POST /p/%s HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: %s\r\n"
                   "X-Prompt-Prefix: %s,%s:10\r\nContent-Length: 0\r\n\r\n",
                   id, id, parts, "e0");
    f->n_received = 0;
    f->received[0] = '\0';
    send_text(f, head);
    run_for(f, LOOP_STEP);
}

/* Runs the guard as the tick of the gateway does. */
static void
run_guard(Fixture *f, CaroTime wait)
{
    CaroTime end = CaroClock_Now() + wait;
    while (CaroClock_Now() < end) {
        run_for(f, LOOP_STEP);
        CaroPromptGuard_Tick(f->deps.guard, 0, CaroClock_Now());
    }
}

static void
test_prompt_part_that_crashes_engines_is_refused(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    f->route.attempts_max = 3;
    put_target(f, "t3");
    for (int i = 0; i < 3; i++) {
        script(f, RESPONSE_CLOSE, STREAM_HEAD("r1"));
    }
    request_prompt(f, "r1", "a1:200,b2:50");
    run_guard(f, 1200 * CARO_MS);
    assert_int_equal(f->up.n_requests, 3);
    /* Another request with the parts gets no engine. */
    bufferevent_free(f->caller);
    f->caller = NULL;
    script(f, RESPONSE_CLOSE, STREAM_HEAD("r2"));
    request_prompt(f, "r2", "a1:200,b2:50");
    wait_for(f, "HTTP/1.1 503");
    assert_non_null(strstr(f->received, "Retry-After: 30"));
    assert_int_equal(f->up.n_requests, 3);
    assert_int_equal(f->counters.values[CARO_COUNT_QUARANTINED], 1);
}

static void
test_prompt_in_quarantine_is_not_sent_again(void **state)
{
    Fixture *f = *state;
    CaroPromptParts parts;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_NONE, "");
    script(f, RESPONSE_CLOSE, STREAM_HEAD("r1"));
    request_prompt(f, "r1", "a1:200");
    run_for(f, 5 * LOOP_STEP);
    assert_int_equal(f->up.n_requests, 1);
    assert_int_equal(
        CaroPlatform_ReadPromptParts((CaroText){"a1:1,e0:1", 9}, &parts), 0);
    char *stored = CaroPlatform_WriteQuarantine(&(CaroStoredQuarantine){
        .parts = parts, .until_ms = 60000, .has_probes = true});
    CaroPromptGuard_OnStored(f->deps.guard, stored, strlen(stored), 0,
                             CaroClock_Now());
    free(stored);
    /* The engine never responds: the attempt ends by the timeout. */
    wait_for(f, "HTTP/1.1 502");
    assert_int_equal(f->up.n_requests, 1);
}

static void
test_prompt_in_quarantine_is_taken_from_its_engine(void **state)
{
    Fixture *f = *state;
    CaroPromptParts parts;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_NONE, "");
    request_prompt(f, "r1", "a1:200");
    run_for(f, 5 * LOOP_STEP);
    assert_int_equal(f->up.n_requests, 1);
    assert_int_equal(
        CaroPlatform_ReadPromptParts((CaroText){"a1:1,e0:1", 9}, &parts), 0);
    char *stored = CaroPlatform_WriteQuarantine(&(CaroStoredQuarantine){
        .parts = parts, .until_ms = 60000, .has_probes = true});
    CaroPromptGuard_OnStored(f->deps.guard, stored, strlen(stored), 0,
                             CaroClock_Now());
    free(stored);
    assert_true(CaroPromptGuard_ConsumeQuarantine(f->deps.guard));
    CaroRelays_EndQuarantined(f->relays, CaroClock_Now());
    run_for(f, 5 * LOOP_STEP);
    assert_non_null(strstr(f->received, "HTTP/1.1 502"));
    assert_int_equal(f->up.n_closed, 1);
}

static void
test_stream_that_ends_with_its_connection_before_an_event(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_CLOSE,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
           "Content-Type: text/event-stream\r\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "data: a\n\n\r\n0\r\n\r\n");
    assert_int_equal(f->up.n_requests, 2);
}

/* An engine that preempts one stream while it serves others is not silent:
   the stream is resumed elsewhere, and the engine stays usable. */
static void
test_preempted_stream_is_resumed(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, LOOP_STEP);
    for (int i = 0; i < 100 && f->up.n_requests < 2; i++) {
        CaroTime now = CaroClock_Now();
        CaroTargets_RecordHeard(f->deps.targets, 0, now);
        CaroTargets_RecordHeard(f->deps.targets, 1, now);
        run_for(f, LOOP_STEP);
    }
    wait_for(f, "data: b\n\n\r\n0\r\n\r\n");
    for (CaroHandle h = 0; h < 2; h++) {
        const CaroTarget *target = CaroTargets_GetConst(f->deps.targets, h);
        assert_int_equal(target->own_failure, CARO_TARGET_NO_FAILURE);
        assert_true(CaroTarget_IsUsable(target, CaroClock_Now()));
    }
}

/* Serves a stream whose engine stays silent for "silence" after its first
   event, and then sends the rest. */
static void
serve_stream_with_silence(Fixture *f, CaroTime silence)
{
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: c\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "id: 1\n");
    run_for(f, silence);
}

static void
finish_silent_stream(Fixture *f)
{
    assert_false(f->is_closed);
    assert_int_equal(f->up.n_requests, 1);
    send_more(&f->up, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    wait_for(f, "data: b\n\n\r\n0\r\n\r\n");
}

static void
test_silent_stream_on_its_last_run_is_not_cut(void **state)
{
    Fixture *f = *state;
    f->route.attempts_max = 1;
    serve_stream_with_silence(f, f->route.gap);
    finish_silent_stream(f);
}

static void
test_silent_stream_without_retry_budget_is_not_cut(void **state)
{
    Fixture *f = *state;
    CaroRelays_SetVms(f->relays, 1000);
    serve_stream_with_silence(f, f->route.gap);
    finish_silent_stream(f);
}

static void
test_silent_stream_without_another_upstream_is_not_cut(void **state)
{
    Fixture *f = *state;
    CaroTargets_Remove(f->deps.targets,
                       CaroTargets_Find(f->deps.targets, "t2"));
    serve_stream_with_silence(f, f->route.gap);
    finish_silent_stream(f);
}

static void
test_silent_stream_is_resumed_when_retry_budget_returns(void **state)
{
    enum { OTHER_REQUESTS = 4 };
    Fixture *f = *state;
    CaroRelays_SetVms(f->relays, 1000);
    serve_stream_with_silence(f, f->route.gap);
    assert_false(f->is_closed);
    assert_int_equal(f->up.n_requests, 1);
    for (int i = 0; i < OTHER_REQUESTS; i++) {
        CaroRetryBudget_RecordRequest(f->deps.budget, "s", CaroClock_Now());
    }
    wait_for(f, "data: c\n\n\r\n0\r\n\r\n");
    assert_int_equal(f->up.n_requests, 2);
}

/* Begins a stream whose upstream closes the connection after an event, at a VM
   without retry budget. */
static void
lose_stream_without_budget(Fixture *f)
{
    CaroRelays_SetVms(f->relays, 1000);
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_CLOSE, STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: c\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "id: 1\n");
    run_for(f, f->route.gap / 2);
    assert_false(f->is_closed);
    assert_int_equal(f->up.n_requests, 1);
}

/* Guards against the cut of a stream whose VM has no budget for some
   milliseconds. */
static void
test_lost_stream_is_resumed_when_retries_are_borrowed(void **state)
{
    Fixture *f = *state;
    lose_stream_without_budget(f);
    CaroTime now = CaroClock_Now();
    CaroRetryBudget_Borrow(f->deps.budget, "s", 1, now, now);
    wait_for(f, "data: c\n\n\r\n0\r\n\r\n");
    assert_int_equal(f->up.n_requests, 2);
}

/* Its caller resumes it elsewhere rather than wait until the deadline. */
static void
test_lost_stream_without_budget_is_cut_after_its_gap(void **state)
{
    Fixture *f = *state;
    lose_stream_without_budget(f);
    run_for(f, f->route.gap);
    assert_true(f->is_closed);
    assert_int_equal(CaroRelays_Count(f->relays), 0);
    assert_int_equal(f->up.n_requests, 1);
}

/* The silence of a kept attempt is a failure of its target all the same, once
   and not each time that the attempt is considered. */
static void
test_target_of_kept_silent_stream_is_avoided(void **state)
{
    Fixture *f = *state;
    CaroRelays_SetVms(f->relays, 1000);
    serve_stream_with_silence(f, f->route.gap);
    int failures = 0;
    for (CaroHandle h = 0; h < 2; h++) {
        failures += CaroTargets_GetConst(f->deps.targets, h)->failures;
    }
    assert_int_equal(failures, 1);
    finish_silent_stream(f);
}

static void
test_stream_waits_for_budget_when_its_next_upstream_is_full(void **state)
{
    enum { OTHER_REQUESTS = 4 };
    Fixture *f = *state;
    CaroRelays_SetVms(f->relays, 1000);
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    CaroRetryBudget_RecordRequest(f->deps.budget, "s", CaroClock_Now());
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n"
           "Content-Length: 0\r\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: c\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, f->route.gap);
    assert_false(f->is_closed);
    assert_int_equal(f->up.n_requests, 2);
    for (int i = 0; i < OTHER_REQUESTS; i++) {
        CaroRetryBudget_RecordRequest(f->deps.budget, "s", CaroClock_Now());
    }
    wait_for(f, "data: c\n\n\r\n0\r\n\r\n");
    assert_int_equal(f->up.n_requests, 3);
}

static void
test_late_idempotent_request_on_its_last_run_is_not_given_up(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    f->route.objective = 100 * CARO_MS;
    f->route.attempts_max = 1;
    script(f, RESPONSE_NONE, "");
    request(f, "r1", 3, 5 * f->route.objective);
    assert_int_equal(f->n_received, 0);
    send_more(&f->up, RESPONSE("r1", "late"));
    wait_for(f, "\r\n\r\nlate");
}

/* Sends the rest of a response, and then stalls the process. */
static void
send_and_stall(Fixture *f, const char *rest, CaroTime stall)
{
    assert_non_null(f->up.newest);
    int fd = bufferevent_getfd(f->up.newest->bev);
    assert_int_equal(send(fd, rest, strlen(rest), 0), strlen(rest));
    (void)usleep((useconds_t)stall);
}

static void
test_own_stall_is_not_silence_of_the_upstream(void **state)
{
    Fixture *f = *state;
    serve_stream_with_silence(f, 0);
    send_and_stall(f, "f\r\nid: 2\ndata: b\n\n\r\n", f->route.gap);
    run_for(f, LOOP_STEP);
    assert_int_equal(f->up.n_requests, 1);
    send_more(&f->up, "f\r\nid: 3\ndata: d\n\n\r\n0\r\n\r\n");
    wait_for(f, "data: b\n\n\r\nf\r\nid: 3\ndata: d\n\n\r\n0\r\n\r\n");
    assert_int_equal(f->up.n_requests, 1);
}

static void
test_response_that_arrived_in_own_stall_is_not_given_up(void **state)
{
    Fixture *f = *state;
    f->route.timeout = 200 * CARO_MS;
    script(f, RESPONSE_NONE, "");
    request(f, "r1", 3, LOOP_STEP);
    send_and_stall(f, RESPONSE("r1", "kept"), f->route.timeout);
    wait_for(f, "HTTP/1.1 ");
    run_for(f, LOOP_STEP);
    assert_non_null(strstr(f->received, "\r\n\r\nkept"));
}

static void
test_own_stall_is_not_a_connect_timeout(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    f->stall = 500 * CARO_MS;
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "once"));
    request(f, "r1", 3, f->stall);
    wait_for(f, "HTTP/1.1 ");
    run_for(f, LOOP_STEP);
    assert_non_null(strstr(f->received, "\r\n\r\nonce"));
}

/* An upstream whose bytes never make an event is silent, however many. */
static void
test_bytes_without_event_do_not_defer_silence(void **state)
{
    Fixture *f = *state;
    serve_stream_with_silence(f, 0);
    for (int i = 0; i < 100 && f->up.n_requests < 2; i++) {
        send_and_stall(f, "2\r\n: \r\n", LOOP_STEP);
        run_for(f, LOOP_STEP / 4);
    }
    wait_for(f, "data: c\n\n\r\n0\r\n\r\n");
}

static void
test_late_request_is_not_moved_when_the_other_upstreams_shed(void **state)
{
    Fixture *f = *state;
    CaroHandle other = CaroTargets_Find(f->deps.targets, "t2");
    CaroTargets_Avoid(f->deps.targets, other, CARO_TARGET_GONE,
                      CaroClock_Now());
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    f->route.objective = 100 * CARO_MS;
    script(f, RESPONSE_NONE, "");
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n"
           "Content-Length: 0\r\n\r\n");
    request(f, "r1", 3, 5 * f->route.objective);
    assert_int_equal(f->n_received, 0);
    assert_int_equal(f->up.n_requests, 1);
    send_more(&f->up, RESPONSE("r1", "late"));
    wait_for(f, "\r\n\r\nlate");
}

#define LIMITED_RESPONSE(id, limit)                                           \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id "\r\nX-Response-Seal: s\r\n"       \
    "Server-Limit: " limit "\r\nContent-Length: 4\r\n\r\ngood"

/* Requests a second that t1 takes; below 0 for no limit. */
static double
get_limit(const Fixture *f)
{
    return CaroRequestLimits_Get(f->deps.limits,
                                 CaroTargets_Find(f->deps.targets, "t1"));
}

static void
test_limit_is_read_and_not_forwarded(void **state)
{
    Fixture *f = *state;
    CaroTargets_Remove(f->deps.targets,
                       CaroTargets_Find(f->deps.targets, "t2"));
    script(f, RESPONSE_KEEP_OPEN, LIMITED_RESPONSE("r1", "100.5"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ngood");
    assert_null(strstr(f->received, "Server-Limit"));
    assert_true(get_limit(f) == 100.5);
    /* Neither a refusal nor a malformed limit ends it. */
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 503 X\r\nX-Attempt-Id: r2\r\nX-Not-Executed: 1\r\n"
           "Content-Length: 0\r\n\r\n");
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 503");
    assert_true(get_limit(f) == 100.5);
    script(f, RESPONSE_KEEP_OPEN, LIMITED_RESPONSE("r3", "many"));
    request(f, "r3", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ngood");
    assert_true(get_limit(f) == 100.5);
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r4", "good"));
    request(f, "r4", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ngood");
    assert_true(get_limit(f) < 0.0);
}

/* Many requests and a limit of 0: none is left for the next one. */
static void
use_limits_up(Fixture *f)
{
    enum { OTHER_REQUESTS = 1000 };
    CaroTime now = CaroClock_Now();
    for (int i = 0; i < OTHER_REQUESTS; i++) {
        CaroRequestLimits_RecordDemand(f->deps.limits, "s", now);
    }
    for (CaroHandle h = 0; h < CaroTargets_Count(f->deps.targets); h++) {
        CaroRequestLimits_RecordResponse(f->deps.limits, h, 0.0, now);
        while (CaroRequestLimits_Take(f->deps.limits, h, true, now)) {
        }
    }
}

static void
test_request_over_all_limits_is_refused_at_once(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    use_limits_up(f);
    CaroTime start = CaroClock_Now();
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 503");
    assert_true(CaroClock_Now() - start < 500 * CARO_MS + f->stalled);
    assert_non_null(strstr(f->received, "Retry-After: "));
    assert_int_equal(f->up.n_requests, 0);
    assert_int_equal(f->counters.values[CARO_COUNT_LIMITED], 1);
}

static void
test_request_goes_where_there_is_room(void **state)
{
    Fixture *f = *state;
    use_limits_up(f);
    CaroHandle free = CaroTargets_Find(f->deps.targets, "t2");
    CaroRequestLimits_RecordResponse(f->deps.limits, free, -1.0,
                                     CaroClock_Now());
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ngood");
    assert_non_null(strstr(f->up.requests[0], "X-Expect-Instance: t2"));
}

static void
test_late_request_is_not_moved_when_the_others_are_over_their_limit(
    void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    f->route.objective = 100 * CARO_MS;
    script(f, RESPONSE_NONE, "");
    request(f, "r1", 3, LOOP_STEP);
    use_limits_up(f);
    run_for(f, 5 * f->route.objective);
    assert_int_equal(f->n_received, 0);
    assert_int_equal(f->up.n_requests, 1);
    send_more(&f->up, RESPONSE("r1", "late"));
    wait_for(f, "\r\n\r\nlate");
}

/* A stream that has begun waits until an upstream takes it. */
static void
test_stream_waits_while_all_upstreams_are_over_their_limit(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: c\n\n\r\n0\r\n\r\n");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "id: 1\n");
    use_limits_up(f);
    Connection *c = f->up.newest;
    reset_connection(c->bev);
    free_connection(c);
    run_for(f, 10 * LOOP_STEP);
    assert_false(f->is_closed);
    assert_int_equal(f->up.n_requests, 1);
    for (CaroHandle h = 0; h < 2; h++) {
        CaroRequestLimits_RecordResponse(f->deps.limits, h, -1.0,
                                         CaroClock_Now());
    }
    wait_for(f, "data: c\n\n\r\n0\r\n\r\n");
}

static void
test_caller_disconnects(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_NONE, "");
    request(f, "r1", 3, LOOP_STEP);
    for (int i = 0; i < 100 && f->up.n_requests == 0; i++) {
        run_for(f, LOOP_STEP);
    }
    assert_int_equal(f->up.n_requests, 1);
    CaroTime disconnected_at = CaroClock_Now();
    bufferevent_free(f->caller);
    f->caller = NULL;
    run_for(f, 500 * CARO_MS);
    assert_int_equal(f->up.n_closed, 1);
    assert_true(f->up.closed_at - disconnected_at < 500 * CARO_MS);
    assert_int_equal(CaroRelays_Count(f->relays), 0);
}

/* The upstream is not read any further while the caller does not read. */
static void
test_caller_does_not_read(void **state)
{
    Fixture *f = *state;
    static char filler[16384];
    memset(filler, 'y', sizeof(filler));
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
           "Content-Length: 67108864\r\n\r\n");
    f->up.filler = filler;
    f->up.filler_size = sizeof(filler);
    request(f, "r1", 3, LOOP_STEP);
    (void)bufferevent_disable(f->caller, EV_READ);
    size_t before = SIZE_MAX;
    for (int i = 0; i < 50 && f->up.filler_sent != before; i++) {
        before = f->up.filler_sent;
        run_for(f, 10 * LOOP_STEP);
    }
    assert_int_equal(f->up.filler_sent, before);
    /* The socket buffers of both sides and the relay's own limit. */
    assert_true(before < ((size_t)32 << 20));
}

static void
test_channel_to_removed_target_is_not_used_for_the_next(void **state)
{
    Fixture *f = *state;
    CaroTargets *targets = f->deps.targets;
    CaroTargets_Remove(targets, 1);
    script(f, RESPONSE_NONE, "");
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r2", "wrong"));
    request(f, "r1", 3, LOOP_STEP);
    for (int i = 0; i < 100 && f->up.n_requests == 0; i++) {
        run_for(f, LOOP_STEP);
    }
    /* The target is removed while it runs the request, which then ends. */
    CaroTargets_Remove(targets, 0);
    const char *text = RESPONSE("r1", "good");
    (void)bufferevent_write(f->up.latest, text, strlen(text));
    wait_for(f, "\r\n\r\ngood");
    CaroTargetEntry e = {.slots = 4};
    CARO_COPY(e.id, "t9");
    reserve_address(e.address);
    CARO_COPY(e.domain, "d");
    CARO_COPY(e.service, "s");
    CARO_COPY(e.version, "v1");
    assert_int_equal(CaroTargets_Put(targets, &e, CaroClock_Now()), 0);
    request(f, "r2", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 503");
    assert_int_equal(f->up.n_requests, 1);
}

/* --- bytes without end --- */

/* Has the upstream answer the next request with a start and then the bytes,
   again and again.  Afterwards other connections get the second response. */
static void
script_endless(Fixture *f, const char *start, const char *bytes)
{
    script(f, RESPONSE_KEEP_OPEN, start);
    f->up.filler = bytes;
    f->up.filler_size = strlen(bytes);
    f->up.filler_connection = 1;
}

static void
test_endless_interim_responses(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script_endless(f, "HTTP/1.1 100 Continue\r\n\r\n",
                   "HTTP/1.1 100 Continue\r\n\r\n");
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    CaroTime sent_at = CaroClock_Now();
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ngood");
    assert_true(CaroClock_Now() - sent_at < f->route.objective / 2);
}

static const char *
filler(void)
{
    static char text[16384];
    memset(text, 'y', sizeof(text) - 1);
    return text;
}

/* Sends a request and checks that it is answered within half of its
   objective, and that less was read than a VM's memory has room for. */
static void
check_answered_soon(Fixture *f, const char *answer)
{
    CaroTime sent_at = CaroClock_Now();
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, answer);
    assert_true(CaroClock_Now() - sent_at < f->route.objective / 2);
    assert_true(f->up.filler_sent < ((size_t)32 << 20));
    assert_null(strstr(f->received, "yyyy"));
}

#define FAILURE_WITHOUT_END                                                   \
    "HTTP/1.1 500 X\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n\r\n"

static void
test_endless_body_of_failure(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script_endless(f, FAILURE_WITHOUT_END, filler());
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    check_answered_soon(f, "\r\n\r\ngood");
}

static void
test_endless_body_of_failure_of_order(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script_endless(f, FAILURE_WITHOUT_END, filler());
    check_answered_soon(f, "HTTP/1.1 502");
    assert_int_equal(f->up.n_requests, 1);
}

static void
test_endless_body_of_response_not_run(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script_endless(
        f, "HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n\r\n",
        filler());
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    check_answered_soon(f, "\r\n\r\ngood");
}

static void
test_body_of_failure_that_stops(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script(f, RESPONSE_KEEP_OPEN, FAILURE_WITHOUT_END "half");
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    check_answered_soon(f, "\r\n\r\ngood");
}

/* The body of a failure that is not retried is as long as the upstream's. */
static void
test_long_body_of_refusal_is_forwarded(void **state)
{
    Fixture *f = *state;
    static char text[100000];
    int n = snprintf(text, sizeof(text),
                     "HTTP/1.1 404 X\r\nX-Attempt-Id: r1\r\n"
                     "Content-Length: 80000\r\n\r\n");
    memset(text + n, 'y', 80000);
    (void)snprintf(text + n + 79997, 4, "end");
    script(f, RESPONSE_KEEP_OPEN, text);
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "yyend");
}

static void
test_endless_foreign_response(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script_endless(f,
                   "HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\n"
                   "X-Response-Seal: s\r\nContent-Length: 99999999\r\n\r\n",
                   filler());
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    check_answered_soon(f, "\r\n\r\ngood");
}

static void
test_endless_foreign_responses(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script_endless(f, RESPONSE("old", "late"), RESPONSE("old", "late"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    check_answered_soon(f, "\r\n\r\ngood");
}

/* Nothing can follow a response that ends with its connection. */
static void
test_foreign_response_without_length(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    script(f, RESPONSE_KEEP_OPEN, UNFRAMED_RESPONSE("old", "whose"));
    check_answered_soon(f, "HTTP/1.1 502");
}

#define UNFRAMED_STREAM                                                       \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"           \
    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"

static void
check_stream_is_resumed_in_time(Fixture *f, const char *bytes)
{
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    f->up.has_slow_filler = true;
    script_endless(f, UNFRAMED_STREAM, bytes);
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    CaroTime sent_at = CaroClock_Now();
    request(f, "r1", 3, LOOP_STEP);
    for (int i = 0; i < 100 && f->up.n_requests < 2; i++) {
        f->n_received = 0;
        if (f->up.filled != NULL) {
            (void)bufferevent_write(f->up.filled, bytes, strlen(bytes));
        }
        run_for(f, LOOP_STEP);
    }
    assert_int_equal(f->up.n_requests, 2);
    assert_true(CaroClock_Now() - sent_at < f->route.gap + LOOP_STEP);
    assert_non_null(strstr(f->up.requests[1], "Last-Event-Id: 1\r\n"));
}

static void
test_endless_comments_in_stream(void **state)
{
    check_stream_is_resumed_in_time(*state, ": still here\n\n");
}

static void
test_endless_empty_lines_in_stream(void **state)
{
    check_stream_is_resumed_in_time(*state, "\n\n");
}

static void
test_endless_events_without_id(void **state)
{
    check_stream_is_resumed_in_time(*state, "data: x\n\n");
}

static void
test_endless_event(void **state)
{
    check_stream_is_resumed_in_time(*state, "data: y\n");
}

static void
test_stream_without_length_that_ends_within_event(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_CLOSE, UNFRAMED_STREAM "id: 2\ndata: half\n");
    script(f, RESPONSE_CLOSE,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
           "\r\nid: 2\ndata: b\n\n");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "data: b\n\n\r\n0\r\n\r\n");
    assert_null(strstr(f->received, "half"));
}

/* What an upstream sent in one piece is cut where the connection was reset,
   which the caller must see. */
static void
test_reset_stream_without_length_is_not_complete(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    script(f, RESPONSE_RESET, UNFRAMED_STREAM);
    request(f, "r1", 3, LOOP_STEP);
    for (int i = 0; i < 100 && !f->is_closed &&
                    strstr(f->received, "HTTP/1.1 502") == NULL;
         i++) {
        run_for(f, LOOP_STEP);
    }
    assert_null(strstr(f->received, "\r\n0\r\n"));
    assert_true(f->is_closed || strstr(f->received, "HTTP/1.1 502") != NULL);
}

/* A success without an end reaches its caller until the deadline and does not
   look complete then. */
static void
test_endless_success_is_cut_at_the_deadline(void **state)
{
    Fixture *f = *state;
    f->route.timeout = CARO_SECOND;
    script_endless(f, UNFRAMED_RESPONSE("r1", "begin"), filler());
    CaroTime sent_at = CaroClock_Now();
    request(f, "r1", 3, LOOP_STEP);
    for (int i = 0; i < 150 && f->up.n_closed == 0; i++) {
        f->n_received = 0;
        run_for(f, LOOP_STEP);
    }
    assert_int_equal(f->up.n_closed, 1);
    assert_true(f->up.closed_at - sent_at <
                f->route.timeout + 5 * LOOP_STEP + f->stalled);
    assert_null(strstr(f->received, "\r\n0\r\n\r\n"));
}

/* A close that has arrived and was not yet read is no reason to lose an
   order: it can be sent on a new connection. */
static void
test_order_is_not_sent_on_a_channel_whose_close_has_arrived(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    CaroTargets_Remove(f->deps.targets,
                       CaroTargets_Find(f->deps.targets, "t2"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r2", "also"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ngood");
    static const char next[] =
        "POST /p/r2 HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: r2\r\n"
        "Content-Length: 0\r\n\r\n";
    f->n_received = 0;
    f->received[0] = '\0';
    assert_int_equal(send(bufferevent_getfd(f->caller), next, strlen(next), 0),
                     strlen(next));
    Connection *c = f->up.newest;
    bufferevent_free(c->bev);
    free_connection(c);
    wait_for(f, "HTTP/1.1 ");
    assert_non_null(strstr(f->received, "\r\n\r\nalso"));
}

static void
send_with_headers(Fixture *f, const char *id, const char *headers)
{
    char head[512];
    (void)snprintf(head, sizeof(head),
                   "POST /p/%s HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: %s\r\n%s"
                   "Content-Length: 0\r\n\r\n",
                   id, id, headers);
    f->n_received = 0;
    f->received[0] = '\0';
    send_text(f, head);
    run_for(f, LOOP_STEP);
}

static void
test_time_of_caller_beyond_all_bounds(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    send_with_headers(f, "r1", "X-Deadline-Ms: 999999999999999999\r\n");
    wait_for(f, "\r\n\r\ngood");
}

static void
test_prompt_tokens_beyond_all_bounds(void **state)
{
    Fixture *f = *state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_NONE, "");
    send_with_headers(f, "r1", "X-Token-Usage: 4294967295,1\r\n");
    run_for(f, 5 * LOOP_STEP);
    assert_int_equal(f->up.n_requests, 1);
    for (CaroHandle h = 0; h < 2; h++) {
        assert_true(CaroTargets_GetConst(f->deps.targets, h)->prefill_tokens >=
                    0);
    }
}

static void
test_idle_timeout_of_upstream_beyond_all_bounds(void **state)
{
    Fixture *f = *state;
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s-r1\r\n"
           "Keep-Alive: timeout=9223372036854775807\r\n"
           "Content-Length: 4\r\n\r\ngood");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ngood");
}

/* A long refusal of a caller's stream says nothing against its upstream. */
static void
test_long_body_of_refusal_of_stream_is_not_retried(void **state)
{
    Fixture *f = *state;
    static char text[100000];
    int n = snprintf(text, sizeof(text),
                     "HTTP/1.1 404 X\r\nX-Attempt-Id: r1\r\n"
                     "Content-Length: 80000\r\n\r\n");
    memset(text + n, 'y', 80000);
    (void)snprintf(text + n + 79997, 4, "end");
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    script(f, RESPONSE_KEEP_OPEN, text);
    script(f, RESPONSE_KEEP_OPEN, text);
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 ");
    assert_int_equal(f->up.n_requests, 1);
    assert_non_null(strstr(f->received, "HTTP/1.1 404"));
}

/* All requests end at a stop: a kept silent stream, one that waits for budget
   with no target, and one whose failure does not end. */
static void
test_stop_ends_streams_in_every_state(void **state)
{
    Fixture *f = *state;
    CaroRelays_SetVms(f->relays, 1000);
    serve_stream_with_silence(f, 2 * f->route.gap);
    CaroTime now = CaroClock_Now();
    CaroRelays_OnTargetSuspected(f->relays, 0, now);
    CaroRelays_OnTargetSuspected(f->relays, 1, now);
    CaroRelays_CheckOverdue(f->relays, now);
    CaroRelays_EndQuarantined(f->relays, now);
    run_for(f, LOOP_STEP);
    assert_int_equal(CaroRelays_Count(f->relays), 1);
    CaroRelays_CutStreams(f->relays, now);
    CaroRelays_CutAll(f->relays, now);
    assert_int_equal(CaroRelays_Count(f->relays), 0);
    run_for(f, 3 * LOOP_STEP);
    assert_true(f->is_closed);
}

static void
test_stream_that_waits_meets_all_calls(void **state)
{
    Fixture *f = *state;
    CaroPromptParts parts;
    CaroRelays_SetVms(f->relays, 1000);
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    CaroRetryBudget_RecordRequest(f->deps.budget, "s", CaroClock_Now());
    script(f, RESPONSE_KEEP_OPEN,
           STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 503 X\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n\r\n"
           "never ends");
    send_with_headers(f, "r1",
                      "X-Prompt-Prefix: a1:200,e0:10\r\n"
                      "X-Deadline-Ms: 2500\r\n");
    run_for(f, f->route.gap + 400 * CARO_MS);
    assert_int_equal(f->up.n_requests, 2);
    CaroTime now = CaroClock_Now();
    assert_int_equal(
        CaroPlatform_ReadPromptParts((CaroText){"a1:1,e0:1", 9}, &parts), 0);
    char *stored = CaroPlatform_WriteQuarantine(&(CaroStoredQuarantine){
        .parts = parts, .until_ms = 60000, .has_probes = true});
    CaroPromptGuard_OnStored(f->deps.guard, stored, strlen(stored), 0, now);
    free(stored);
    CaroRelays_EndQuarantined(f->relays, now);
    CaroRelays_OnTargetSuspected(f->relays, 0, now);
    CaroRelays_OnTargetSuspected(f->relays, CARO_NO_HANDLE, now);
    CaroRelays_CheckOverdue(f->relays, now);
    assert_int_equal(CaroRelays_Count(f->relays), 1);
    assert_false(f->is_closed);
    /* Without budget it waits until its deadline, and is then cut. */
    run_for(f, 2500 * CARO_MS);
    assert_int_equal(CaroRelays_Count(f->relays), 0);
    assert_true(f->is_closed);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        RELAY_TEST(test_headers_and_body_are_forwarded),
        RELAY_TEST(test_messages_are_framed_anew),
        RELAY_TEST(test_response_that_has_no_body_has_no_length),
        RELAY_TEST(test_response_before_end_of_request),
        RELAY_TEST(test_foreign_response_is_skipped),
        RELAY_TEST(test_foreign_response_breaks_off),
        RELAY_TEST(test_bytes_after_response),
        RELAY_TEST(test_response_without_length),
        RELAY_TEST(test_cut_response_to_order),
        RELAY_TEST(test_cut_response_to_idempotent_request),
        RELAY_TEST(test_invalid_success_response),
        RELAY_TEST(test_not_run_status_without_header),
        RELAY_TEST(test_stream_cut_within_event),
        RELAY_TEST(test_stream_that_is_not_resumable),
        RELAY_TEST(test_stream_that_starts_over),
        RELAY_TEST(test_error_instead_of_rest_of_stream),
        RELAY_TEST(test_silent_stream_is_resumed),
        RELAY_TEST(test_busy_engine_keeps_stream),
        RELAY_TEST(test_preempted_stream_is_resumed),
        RELAY_TEST(test_silent_stream_on_its_last_run_is_not_cut),
        RELAY_TEST(test_silent_stream_without_retry_budget_is_not_cut),
        RELAY_TEST(test_silent_stream_without_another_upstream_is_not_cut),
        RELAY_TEST(test_silent_stream_is_resumed_when_retry_budget_returns),
        RELAY_TEST(test_lost_stream_is_resumed_when_retries_are_borrowed),
        RELAY_TEST(test_lost_stream_without_budget_is_cut_after_its_gap),
        RELAY_TEST(test_target_of_kept_silent_stream_is_avoided),
        RELAY_TEST(
            test_stream_waits_for_budget_when_its_next_upstream_is_full),
        RELAY_TEST(
            test_late_idempotent_request_on_its_last_run_is_not_given_up),
        RELAY_TEST(test_own_stall_is_not_silence_of_the_upstream),
        RELAY_TEST(test_response_that_arrived_in_own_stall_is_not_given_up),
        RELAY_TEST(test_own_stall_is_not_a_connect_timeout),
        RELAY_TEST(test_bytes_without_event_do_not_defer_silence),
        RELAY_TEST(test_prompt_part_that_crashes_engines_is_refused),
        RELAY_TEST(test_prompt_in_quarantine_is_not_sent_again),
        RELAY_TEST(test_prompt_in_quarantine_is_taken_from_its_engine),
        RELAY_TEST(test_stream_that_ends_with_its_connection_before_an_event),
        RELAY_TEST(
            test_late_request_is_not_moved_when_the_other_upstreams_shed),
        RELAY_TEST(test_limit_is_read_and_not_forwarded),
        RELAY_TEST(test_request_over_all_limits_is_refused_at_once),
        RELAY_TEST(test_request_goes_where_there_is_room),
        RELAY_TEST(
            test_late_request_is_not_moved_when_the_others_are_over_their_limit),
        RELAY_TEST(test_stream_waits_while_all_upstreams_are_over_their_limit),
        RELAY_TEST(test_caller_disconnects),
        RELAY_TEST(test_caller_does_not_read),
        RELAY_TEST(test_channel_to_removed_target_is_not_used_for_the_next),
        RELAY_TEST(test_endless_interim_responses),
        RELAY_TEST(test_endless_body_of_failure),
        RELAY_TEST(test_endless_body_of_failure_of_order),
        RELAY_TEST(test_endless_body_of_response_not_run),
        RELAY_TEST(test_body_of_failure_that_stops),
        RELAY_TEST(test_long_body_of_refusal_is_forwarded),
        RELAY_TEST(test_endless_foreign_response),
        RELAY_TEST(test_endless_foreign_responses),
        RELAY_TEST(test_foreign_response_without_length),
        RELAY_TEST(test_endless_comments_in_stream),
        RELAY_TEST(test_endless_empty_lines_in_stream),
        RELAY_TEST(test_endless_events_without_id),
        RELAY_TEST(test_endless_event),
        RELAY_TEST(test_stream_without_length_that_ends_within_event),
        RELAY_TEST(test_reset_stream_without_length_is_not_complete),
        RELAY_TEST(test_endless_success_is_cut_at_the_deadline),
        RELAY_TEST(
            test_order_is_not_sent_on_a_channel_whose_close_has_arrived),
        RELAY_TEST(test_time_of_caller_beyond_all_bounds),
        RELAY_TEST(test_prompt_tokens_beyond_all_bounds),
        RELAY_TEST(test_idle_timeout_of_upstream_beyond_all_bounds),
        RELAY_TEST(test_long_body_of_refusal_of_stream_is_not_retried),
        RELAY_TEST(test_stop_ends_streams_in_every_state),
        RELAY_TEST(test_stream_that_waits_meets_all_calls),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
