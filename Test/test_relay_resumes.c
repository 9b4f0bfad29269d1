/*
 * Tests of what an upstream may answer in place of the rest of a stream that
 * has begun: the caller gets events alone, each once, and no end of the stream
 * before its last event.
 */
#include "relay_fixture.h"

#define EVENT(id, data) "f\r\nid: " id "\ndata: " data "\n\n\r\n"
#define END "0\r\n\r\n"
#define SEALED "X-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
#define STREAM_TYPE "Content-Type: text/event-stream\r\n"

/* An answer to the resume of a stream.  All bodies have the word "foreign". */
typedef struct {
    ResponseKind kind;
    const char *bytes;
} Answer;

static const Answer answers[] = {
    {RESPONSE_KEEP_OPEN, "HTTP/1.1 500 X\r\nX-Attempt-Id: r1\r\n"
                         "Content-Length: 9\r\n\r\nforeign\n\n"},
    {RESPONSE_KEEP_OPEN, "HTTP/1.1 500 X\r\nX-Attempt-Id: r1\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"
                         "9\r\nforeign\n\n\r\n0\r\n\r\n"},
    {RESPONSE_CLOSE, "HTTP/1.1 502 X\r\nX-Attempt-Id: r1\r\n\r\nforeign\n\n"},
    {RESPONSE_KEEP_OPEN,
     "HTTP/1.1 502 X\r\nX-Attempt-Id: r1\r\n\r\nforeign\n\n"},
    {RESPONSE_KEEP_OPEN, "HTTP/1.1 404 X\r\nX-Attempt-Id: r1\r\n"
                         "Content-Length: 9\r\n\r\nforeign\n\n"},
    {RESPONSE_KEEP_OPEN, "HTTP/1.1 302 X\r\nX-Attempt-Id: r1\r\n"
                         "Location: /foreign\r\nContent-Length: 0\r\n\r\n"},
    {RESPONSE_KEEP_OPEN, "HTTP/1.1 204 X\r\n" SEALED "\r\n"},
    {RESPONSE_KEEP_OPEN,
     "HTTP/1.1 202 X\r\n" SEALED STREAM_TYPE "Content-Length: 0\r\n\r\n"},
    {RESPONSE_KEEP_OPEN, "HTTP/1.1 206 X\r\n" SEALED STREAM_TYPE
                         "Content-Length: 23\r\n\r\nid: 2\ndata: foreign\n\n"},
    {RESPONSE_KEEP_OPEN,
     "HTTP/1.1 200 X\r\n" SEALED "Content-Type: text/plain\r\n"
     "Content-Length: 9\r\n\r\nforeign\n\n"},
    {RESPONSE_KEEP_OPEN,
     "HTTP/1.1 200 X\r\n" SEALED "Content-Type: text/html\r\n"
     "Transfer-Encoding: chunked\r\n\r\n"
     "9\r\nforeign\n\n\r\n0\r\n\r\n"},
    {RESPONSE_KEEP_OPEN, "HTTP/1.1 200 X\r\n" SEALED "Content-Length: 9\r\n"
                         "\r\nforeign\n\n"},
    {RESPONSE_KEEP_OPEN, "HTTP/1.1 200 X\r\n" SEALED STREAM_TYPE
                         "Content-Length: 9\r\n\r\nforeign\n\n"},
    {RESPONSE_KEEP_OPEN,
     "HTTP/1.1 200 X\r\n" SEALED STREAM_TYPE "Content-Length: 46\r\n\r\n"
     "HTTP/1.1 500 X\r\nContent-Length: 7\r\n\r\nforeign"},
    {RESPONSE_KEEP_OPEN, "HTTP/1.1 200 X\r\n" SEALED STREAM_TYPE
                         "Content-Length: 15\r\n\r\ndata: foreign\n\n"},
    {RESPONSE_CLOSE, "HTTP/1.1 200 X\r\n" SEALED STREAM_TYPE "\r\n"},
    {RESPONSE_CLOSE,
     "HTTP/1.1 200 X\r\n" SEALED STREAM_TYPE "\r\n: foreign\n\n"},
    {RESPONSE_RESET, "HTTP/1.1 200 X\r\n" SEALED "Content-Ty"},
    {RESPONSE_CLOSE, "HTTP/1.1 500 X\r\nX-Attempt-Id: r1\r\n"
                     "Content-Length: 90\r\n\r\nforeign\n\n"},
    {RESPONSE_KEEP_OPEN, "HTTP/1.1 200 X\r\nX-Attempt-Id: r1\r\n" STREAM_TYPE
                         "Content-Length: 15\r\n\r\ndata: foreign\n\n"},
    {RESPONSE_KEEP_OPEN, "foreign\n\n"},
};
enum { N_ANSWERS = sizeof(answers) / sizeof(answers[0]) };

static Fixture *
start(void)
{
    void *state;
    assert_int_equal(setup(&state), 0);
    Fixture *f = state;
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    f->route.attempts_max = 3;
    put_target(f, "t3");
    put_target(f, "t4");
    return f;
}

static void
stop(Fixture *f)
{
    void *state = f;
    assert_int_equal(teardown(&state), 0);
}

static void
wait_until_closed(Fixture *f)
{
    for (int i = 0; i < 150 && !f->is_closed; i++) {
        run_for(f, LOOP_STEP);
    }
    assert_true(f->is_closed);
}

/* Asserts that the body received begins so; the texts name the answer. */
static void
assert_body(const Fixture *f, const char *body, const char *answer)
{
    const char *at = strstr(f->received, "\r\n\r\n");
    if (at == NULL || strcmp(at + 4, body) != 0) {
        print_error("behind the answer:\n%s\nthe caller got:\n%s\n", answer,
                    f->received);
        fail();
    }
}

/* Another upstream has the rest of the stream. */
static void
test_stream_goes_on_behind_each_answer(void **state)
{
    (void)state;
    for (int i = 0; i < N_ANSWERS; i++) {
        Fixture *f = start();
        script(f, RESPONSE_RESET, STREAM_HEAD("r1") EVENT("1", "a"));
        script(f, answers[i].kind, answers[i].bytes);
        script(f, RESPONSE_KEEP_OPEN,
               STREAM_HEAD("r1") EVENT("2", "b") EVENT("3", "c") END);
        request(f, "r1", 3, LOOP_STEP);
        wait_for(f, "\r\n" END);
        assert_body(f, EVENT("1", "a") EVENT("2", "b") EVENT("3", "c") END,
                    answers[i].bytes);
        assert_non_null(strstr(f->up.requests[2], "Last-Event-Id: 1\r\n"));
        stop(f);
    }
}

/* No upstream has the rest: the caller's connection is closed, which is no end
   of a response in chunks. */
static void
test_stream_without_its_rest_does_not_look_complete(void **state)
{
    (void)state;
    for (int i = 0; i < N_ANSWERS; i++) {
        Fixture *f = start();
        script(f, RESPONSE_RESET, STREAM_HEAD("r1") EVENT("1", "a"));
        script(f, answers[i].kind, answers[i].bytes);
        script(f, answers[i].kind, answers[i].bytes);
        request(f, "r1", 3, LOOP_STEP);
        wait_until_closed(f);
        assert_body(f, EVENT("1", "a"), answers[i].bytes);
        stop(f);
    }
}

/* A response to an HTTP/1.0 caller ends with its connection, so that one that
   breaks off has to be reset. */
static void
test_cut_response_to_an_http_1_0_caller_is_reset(void **state)
{
    (void)state;
    static const bool is_resumable[] = {true, false};
    for (int i = 0; i < 2; i++) {
        Fixture *f = start();
        f->route.is_resumable = is_resumable[i];
        for (int j = 0; j < 3; j++) {
            script(f, RESPONSE_CLOSE,
                   STREAM_HEAD("r1") "f\r\nid: 1\ndata: a\n\n\r\n");
        }
        send_text(f, "POST /p/r1 HTTP/1.0\r\nHost: a\r\nX-Attempt-Id: r1\r\n"
                     "X-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n");
        wait_until_closed(f);
        assert_true(f->is_reset);
        stop(f);
    }
}

/* Sends the bytes in three pieces, some steps of the loop apart. */
static void
send_in_pieces(Fixture *f, const char *bytes)
{
    size_t size = strlen(bytes);
    size_t from = 0;
    for (size_t i = 1; i <= 3; i++) {
        char piece[512];
        size_t to = size * i / 3;
        (void)snprintf(piece, sizeof(piece), "%.*s", (int)(to - from),
                       bytes + from);
        if (f->up.newest == NULL) {
            return; /* The first pieces were enough to refuse the answer. */
        }
        send_more(&f->up, piece);
        run_for(f, 2 * LOOP_STEP);
        from = to;
    }
}

static void
test_stream_goes_on_behind_answers_in_pieces(void **state)
{
    (void)state;
    for (int i = 0; i < N_ANSWERS; i++) {
        if (answers[i].kind != RESPONSE_KEEP_OPEN) {
            continue;
        }
        Fixture *f = start();
        script(f, RESPONSE_RESET, STREAM_HEAD("r1") EVENT("1", "a"));
        script(f, RESPONSE_NONE, "");
        script(f, RESPONSE_KEEP_OPEN,
               STREAM_HEAD("r1") EVENT("2", "b") EVENT("3", "c") END);
        request(f, "r1", 3, LOOP_STEP);
        while (f->up.n_requests < 2) {
            run_for(f, LOOP_STEP);
        }
        send_in_pieces(f, answers[i].bytes);
        wait_for(f, "\r\n" END);
        assert_body(f, EVENT("1", "a") EVENT("2", "b") EVENT("3", "c") END,
                    answers[i].bytes);
        stop(f);
    }
}

/* A resume may be complete without an event when the last one had arrived, and
   may begin with comments. */
static void
test_resume_without_more_events_ends_the_stream(void **state)
{
    (void)state;
    static const char *const complete[] = {
        STREAM_HEAD("r1") END,
        STREAM_HEAD("r1") "4\r\n: x\n\r\n1\r\n\n\r\n" END,
        "HTTP/1.1 200 X\r\n" SEALED STREAM_TYPE "Content-Length: 0\r\n\r\n",
    };
    for (size_t i = 0; i < sizeof(complete) / sizeof(complete[0]); i++) {
        Fixture *f = start();
        script(f, RESPONSE_RESET, STREAM_HEAD("r1") EVENT("1", "a"));
        script(f, RESPONSE_KEEP_OPEN, complete[i]);
        request(f, "r1", 3, LOOP_STEP);
        wait_for(f, "\r\n" END);
        assert_body(f, EVENT("1", "a") END, complete[i]);
        stop(f);
    }
}

/* Returns whether the answer is a failure by its status. */
static bool
is_failure(const Answer *a)
{
    return strncmp(a->bytes, "HTTP/1.1 2", 10) != 0 &&
           strncmp(a->bytes, "HTTP/1.1 ", 9) == 0;
}

/* A caller that asks for the rest of a stream with the id of its last event
   gets events, or a status that is no success. */
static void
test_answers_to_a_resume_of_the_caller(void **state)
{
    (void)state;
    for (int i = 0; i < N_ANSWERS; i++) {
        Fixture *f = start();
        f->more_headers = "Last-Event-Id: 1\r\n";
        for (int j = 0; j < 3; j++) {
            script(f, answers[i].kind, answers[i].bytes);
        }
        request(f, "r1", 3, LOOP_STEP);
        wait_for(f, "\r\n\r\n");
        run_for(f, 2 * LOOP_STEP);
        bool is_success = strncmp(f->received, "HTTP/1.1 2", 10) == 0;
        bool is_foreign = strstr(f->received, "foreign") != NULL;
        if ((is_success && strstr(f->received, "\r\n" END) != NULL) ||
            (is_foreign && !is_failure(&answers[i]))) {
            print_error("behind the answer:\n%s\nthe caller got:\n%s\n",
                        answers[i].bytes, f->received);
            fail();
        }
        stop(f);
    }
}

/* Before the first event, a success of another kind is the upstream's own
   response, and a failure is followed by another attempt. */
static void
test_answers_before_the_first_event(void **state)
{
    (void)state;
    Fixture *f = start();
    script(f, RESPONSE_KEEP_OPEN,
           "HTTP/1.1 200 X\r\n" SEALED "Content-Type: text/plain\r\n"
           "Content-Length: 9\r\n\r\none\n\ntwo\n");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "two\n");
    assert_non_null(strstr(f->received, "Content-Length: 9\r\n"));
    assert_body(f, "one\n\ntwo\n", "text/plain");
    stop(f);
    f = start();
    script(f, RESPONSE_KEEP_OPEN, "HTTP/1.1 204 X\r\n" SEALED "\r\n");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 204");
    assert_int_equal(f->up.n_requests, 1);
    stop(f);
    f = start();
    script(f, RESPONSE_KEEP_OPEN, answers[0].bytes);
    script(f, RESPONSE_CLOSE, answers[2].bytes);
    script(f, RESPONSE_KEEP_OPEN, STREAM_HEAD("r1") EVENT("1", "a") END);
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n" END);
    assert_body(f, EVENT("1", "a") END, "two failures");
    stop(f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stream_goes_on_behind_each_answer),
        cmocka_unit_test(test_stream_without_its_rest_does_not_look_complete),
        cmocka_unit_test(test_cut_response_to_an_http_1_0_caller_is_reset),
        cmocka_unit_test(test_stream_goes_on_behind_answers_in_pieces),
        cmocka_unit_test(test_resume_without_more_events_ends_the_stream),
        cmocka_unit_test(test_answers_to_a_resume_of_the_caller),
        cmocka_unit_test(test_answers_before_the_first_event),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
