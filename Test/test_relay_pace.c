/* Tests of what placement learns from forwarded streams, with the scripted
   upstream of relay_fixture.h. */
#include "relay_fixture.h"

#define LOADED_HEAD(id, load)                                                 \
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id                                    \
    "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"           \
    "X-Server-Load: " load "\r\nTransfer-Encoding: chunked\r\n\r\n"
#define REJECTION(id, load)                                                   \
    "HTTP/1.1 503 X\r\nX-Attempt-Id: " id "\r\nX-Not-Executed: 1\r\n"         \
    "X-Server-Load: " load "\r\nContent-Length: 0\r\n\r\n"
#define EVENT(id) "f\r\nid: " id "\ndata: x\n\n\r\n"
#define END "0\r\n\r\n"

static void
start_streams(Fixture *f)
{
    CaroTargetEntry e = {.slots = 8};
    CARO_COPY(e.id, "far");
    CARO_COPY(e.address, f->up.address);
    CARO_COPY(e.domain, "other");
    CARO_COPY(e.service, "s");
    CARO_COPY(e.version, "v1");
    assert_true(CaroTargets_Put(f->deps.targets, &e, CaroClock_Now()) !=
                CARO_NO_HANDLE);
    f->route.kind = CARO_ROUTE_STREAM;
    f->route.is_resumable = true;
    f->more_headers = "X-Token-Usage: 8000,80\r\n";
}

static int
held_tokens(const Fixture *f)
{
    int held = 0;
    for (CaroHandle h = 0; h < CaroTargets_Count(f->deps.targets); h++) {
        held += CaroTargets_GetConst(f->deps.targets, h)->held_tokens;
    }
    return held;
}

/* One stream with a prefill of 150 ms. */
static void
serve_stream(Fixture *f, const char *id, const char *head)
{
    script(f, RESPONSE_KEEP_OPEN, head);
    request(f, id, 3, 150 * CARO_MS);
    assert_true(held_tokens(f) >= 8000);
    send_more(&f->up, EVENT("1"));
    send_more(&f->up, EVENT("2") END);
    wait_for(f, "\r\n" END);
    run_for(f, LOOP_STEP);
}

/* Guards against samples of another unit or of a plain service, and against
   tokens that stay counted after a stream. */
static void
test_first_event_is_a_sample(void **state)
{
    Fixture *f = *state;
    start_streams(f);
    serve_stream(f, "r1", LOADED_HEAD("r1", "1,0,8"));
    assert_int_equal(f->counters.values[CARO_COUNT_PACE_SAMPLES], 0);
    assert_int_equal(held_tokens(f), 0);
    serve_stream(f, "r2", LOADED_HEAD("r2", "1,0,8,100"));
    assert_int_equal(f->counters.values[CARO_COUNT_PACE_SAMPLES], 1);
    assert_int_equal(f->counters.values[CARO_COUNT_PREDICTED], 0);
    serve_stream(f, "r3", LOADED_HEAD("r3", "1,0,8,100"));
    assert_int_equal(f->counters.values[CARO_COUNT_PACE_SAMPLES], 2);
    assert_int_equal(f->counters.values[CARO_COUNT_PREDICTED], 1);
    assert_int_equal(held_tokens(f), 0);
    /* 150 ms for 8,000 tokens: at most 19 us each, and more on a machine that
       is busy. */
    CaroPaceReport out;
    assert_true(CaroEnginePace_Collect(f->deps.pace, &out, CaroClock_Now()));
    assert_int_equal(out.report.samples.samples_len, 2);
    assert_true(out.samples[0].prefill_ns > 10000);
    assert_true(out.samples[0].prefill_ns < 125000);
}

/* Guards against rejections for other reasons that count as a lack of memory.
 */
static void
test_rejection_with_free_slots_shows_memory(void **state)
{
    Fixture *f = *state;
    static const struct {
        const char *load;
        const char *rejection;
        int held;
        uint64_t limits;
    } cases[] = {{"no slot is free", REJECTION("r2", "8,0,8,100"), 50000, 0},
                 {"it is empty", REJECTION("r2", "0,0,8,100"), 0, 0},
                 {"slots are free", REJECTION("r2", "3,0,8,100"), 50000, 1}};
    start_streams(f);
    serve_stream(f, "r1", LOADED_HEAD("r1", "1,0,8,100"));
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        for (CaroHandle h = 0; h < CaroTargets_Count(f->deps.targets); h++) {
            CaroTargets_AddHeld(f->deps.targets, h, cases[i].held);
        }
        script(f, RESPONSE_KEEP_OPEN, cases[i].rejection);
        script(f, RESPONSE_KEEP_OPEN,
               LOADED_HEAD("r2", "3,0,8,100") EVENT("1") END);
        request(f, "r2", 3, LOOP_STEP);
        wait_for(f, "\r\n" END);
        print_message("%s\n", cases[i].load);
        assert_int_equal(f->counters.values[CARO_COUNT_MEMORY_LIMITS],
                         cases[i].limits);
        for (CaroHandle h = 0; h < CaroTargets_Count(f->deps.targets); h++) {
            CaroTargets_AddHeld(f->deps.targets, h, -cases[i].held);
            CaroTargets_RecordSuccess(f->deps.targets, h);
        }
        run_for(f, LOOP_STEP);
        assert_int_equal(held_tokens(f), 0);
    }
}

/* Guards against prompts whose parts are not recorded, or are for a service
   with three figures, and against samples of speed of prompts that were mostly
   held. */
static void
test_first_event_shows_retained_parts(void **state)
{
    Fixture *f = *state;
    start_streams(f);
    f->more_headers = "X-Token-Usage: 8000,80\r\n"
                      "X-Prompt-Prefix: a1:6000,e0:2000\r\n";
    serve_stream(f, "r1", LOADED_HEAD("r1", "1,0,8"));
    assert_int_equal(CaroRetainedPrompts_Count(f->deps.retained), 0);
    serve_stream(f, "r2", LOADED_HEAD("r2", "1,0,8,100"));
    assert_int_equal(CaroRetainedPrompts_Count(f->deps.retained), 2);
    assert_int_equal(f->counters.values[CARO_COUNT_PACE_SAMPLES], 1);
    assert_int_equal(f->counters.values[CARO_COUNT_PLACED_BY_RETENTION], 0);
    /* The other upstream would prefill all of it. */
    serve_stream(f, "r3", LOADED_HEAD("r3", "1,0,8,100"));
    assert_int_equal(CaroRetainedPrompts_Count(f->deps.retained), 2);
    assert_int_equal(f->counters.values[CARO_COUNT_PLACED_BY_RETENTION], 1);
    assert_true(f->counters.values[CARO_COUNT_RETAINED_TOKENS] > 7000);
    assert_int_equal(f->counters.values[CARO_COUNT_PACE_SAMPLES], 1);
    /* Also the last part is reported, as it is large. */
    CaroRetentionReport out;
    assert_true(
        CaroRetainedPrompts_Collect(f->deps.retained, &out, CaroClock_Now()));
    assert_int_equal(out.report.parts.parts_len, 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        RELAY_TEST(test_first_event_is_a_sample),
        RELAY_TEST(test_first_event_shows_retained_parts),
        RELAY_TEST(test_rejection_with_free_slots_shows_memory),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
