/*
 * Tests of the timeout between events on virtual time: engines of uneven speed
 * that process long prompts in parts between the steps of their streams,
 * become slower for fractions of a second, and fall silent.  Each run has the
 * present rule beside the constant one, with the same engines, requests and
 * faults.
 */
#include "test.h"

#include "internal/caro_event_pace.h"
#include "internal/caro_event_timeout.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define S CARO_SECOND
#define MS CARO_MS

enum {
    ENGINES = 120,
    VMS = 78,
    DOMAINS = 5,
    ENGINES_LOST = 12,  /* Of one domain, at a time. */
    STREAMS_MAX = 2048, /* At a time. */
    MEMBERS_MAX = 64,   /* Slots of an engine. */
    EVENTS = 120,       /* Of a stream. */
    EVENT_TOKENS = 5,
    PROMPT_MIN = 2000, /* The mean is 8,200. */
    PROMPT_MAX = 14400,
    CHUNK_TOKENS = 200, /* Of a prompt, in each step. */
    TOKENS_PER_MS = 8,
    SAMPLES_MAX = 65536
};

/* Step of an engine that decodes one stream, and what each other adds. */
#define STEP 6.35
#define STEP_OF_STREAM 0.02
#define CONNECT_TIME (30 * MS)
/* Between the detection at a VM and the others. */
#define REPORT_TIME (10 * MS)
#define AVOID_DELAY (400 * MS)
#define TICK (5 * MS)
/* Until each VM has seen the time of some prefills. */
#define WARM_UP (60 * S)
#define DARK_TIME (4 * S)
/* Of 100 streams, those without a KV copy. */
#define NO_COPY_PERCENT 8

typedef struct {
    double speed;
    bool has_slow_times;
    CaroTime slow_from;
    CaroTime slow_until;
    CaroTime dark_from; /* In the future: none. */
    CaroTime dark_until;
    CaroTime next_step; /* End of the present one. */
    int chunk;          /* Prompt tokens of the present step. */
    CaroTime avoided_until;
    CaroTime report_at; /* Other VMs learn of its silence; 0 for never. */
    CaroTime heard_at;
    int members[MEMBERS_MAX]; /* Streams there. */
    int n;
} Engine;

typedef struct {
    bool is_used;
    bool is_counted; /* It began behind the warm-up. */
    int vm;
    int engine;
    int copy_at; /* -1 for none. */
    int prompt;
    int prefill;     /* Tokens of the prompt yet to be processed. */
    CaroTime joined; /* Order of the prompts at the engine. */
    int tokens;      /* Since the last event. */
    int events;
    bool has_events; /* In the present run. */
    bool is_from_copy;
    CaroTime suspected_at;
    int tokens_ahead;
    bool has_prefill_ahead;
    int runs;
    int false_moves;
    CaroTime last_event;
    uint32_t others_from;
    /* Of the run that ended at a dark engine, until the next event. */
    bool left_dark;
    bool had_copy;
    CaroTime dark_event;
} Stream;

typedef struct {
    int streams;
    int falsely_moved; /* Streams with such a move. */
    int false_moves;
    int moves_between;                  /* Of them, between two events. */
    int moves_resumed;                  /* Likewise, resumed from a copy. */
    int64_t prefilled_again;            /* Tokens, by false moves. */
    int late_gaps;                      /* Gaps above 700 ms. */
    double gaps_with_copy[SAMPLES_MAX]; /* ms, from dark engines. */
    int n_with_copy;
    double gaps_without[SAMPLES_MAX];
    int n_without;
} Result;

typedef struct {
    bool is_adaptive;
    bool has_faults;
    gsl_rng *arrivals; /* The same draws in both runs. */
    gsl_rng *engines_rng;
    gsl_rng *rng;
    Engine engines[ENGINES];
    Stream streams[STREAMS_MAX];
    int n_streams; /* One more than the highest index that was in use. */
    CaroEventPace *pace[VMS];
    CaroRoute route;
    Result *result;
} World;

static CaroRoute
stream_route(void)
{
    return (CaroRoute){.kind = CARO_ROUTE_STREAM,
                       .timeout = 25 * S,
                       .objective = 4500 * MS,
                       .gap = 700 * MS};
}

static bool
is_dark(const Engine *e, CaroTime now)
{
    return now >= e->dark_from && now < e->dark_until;
}

static int
count_streams(const World *w, int engine, int vm)
{
    const Engine *e = &w->engines[engine];
    int n = 0;
    for (int i = 0; i < e->n; i++) {
        n += w->streams[e->members[i]].vm == vm;
    }
    return n;
}

/* Prompt tokens of the streams without an event, as VMs report them. */
static int
queued_tokens(const World *w, int engine)
{
    const Engine *e = &w->engines[engine];
    int tokens = 0;
    for (int i = 0; i < e->n; i++) {
        const Stream *s = &w->streams[e->members[i]];
        tokens += s->has_events || s->is_from_copy ? 0 : s->prompt;
    }
    return tokens;
}

/* The engine with the least work of four, as placement by load does, outside a
   failure domain (-1: none). */
static int
choose_engine(World *w, int other_domain, CaroTime now)
{
    int best = -1;
    int least = 0;
    for (int i = 0; i < 4 || best < 0; i++) {
        int at = (int)gsl_rng_uniform_int(w->rng, ENGINES);
        if (at % DOMAINS == other_domain || w->engines[at].n == MEMBERS_MAX ||
            now < w->engines[at].avoided_until) {
            continue;
        }
        int load = 1000 * w->engines[at].n + queued_tokens(w, at);
        if (best < 0 || load < least) {
            best = at;
            least = load;
        }
    }
    return best;
}

static void
leave_engine(World *w, const Stream *s)
{
    Engine *e = &w->engines[s->engine];
    int at = 0;
    while (e->members[at] != (int)(s - w->streams)) {
        at++;
    }
    memmove(&e->members[at], &e->members[at + 1],
            sizeof(int) * (size_t)(e->n - at - 1));
    e->n--;
}

static void
begin_run(World *w, Stream *s, int engine, bool is_from_copy, CaroTime now)
{
    s->tokens_ahead = queued_tokens(w, engine);
    s->has_prefill_ahead = s->tokens_ahead > 0;
    Engine *e = &w->engines[engine];
    e->members[e->n++] = (int)(s - w->streams);
    s->engine = engine;
    s->is_from_copy = is_from_copy;
    s->prefill = is_from_copy ? 0 : s->prompt;
    s->joined = now + CONNECT_TIME;
    s->tokens = 0;
    s->has_events = false;
    s->suspected_at = 0;
    s->last_event = now;
    s->runs++;
    s->copy_at = gsl_rng_uniform_int(w->rng, 100) < NO_COPY_PERCENT
                     ? -1
                     : choose_engine(w, engine % DOMAINS, now);
}

static CaroEventTimeoutQuery
query_of(const World *w, const Stream *s, CaroTime now)
{
    const CaroEventPace *p = w->pace[s->vm];
    uint32_t start = (uint32_t)s->engine + 1;
    CaroEventTimeoutQuery q = {.route = &w->route,
                               .has_events = s->has_events,
                               .is_target_suspected = s->suspected_at > 0,
                               .is_from_kv_copy = s->is_from_copy,
                               .has_prefill_ahead = s->has_prefill_ahead,
                               .is_first_run = s->runs == 1,
                               .has_forwarded_events = s->events > 0};
    if (w->is_adaptive) {
        q.is_adaptive = true;
        q.has_kv_copy =
            s->copy_at >= 0 && now >= w->engines[s->copy_at].avoided_until;
        q.is_kv_holder_busy =
            q.has_kv_copy && queued_tokens(w, s->copy_at) > 0;
        q.longest_interval = CaroEventPace_LongestInterval(p, start, now);
        q.us_per_token = CaroEventPace_PrefillTime(p, start, "engines");
        q.prompt_tokens = s->prompt;
        q.tokens_ahead = s->tokens_ahead;
        q.has_prefill = queued_tokens(w, s->engine) > 0;
        q.is_target_suspected =
            s->suspected_at > w->engines[s->engine].heard_at;
        q.is_preempted = CaroEventTimeout_IsOvertaken(
            CaroEventPace_Count(p, start) - s->others_from,
            count_streams(w, s->engine, s->vm));
    }
    return q;
}

static void
suspect(World *w, int engine, int vm, CaroTime now)
{
    const Engine *e = &w->engines[engine];
    for (int i = 0; i < e->n; i++) {
        Stream *s = &w->streams[e->members[i]];
        if (vm < 0 || s->vm == vm) {
            s->suspected_at = now;
        }
    }
}

static void
move(World *w, Stream *s, CaroTime now)
{
    Engine *e = &w->engines[s->engine];
    Result *r = w->result;
    int copy_at = s->has_events ? s->copy_at : -1;
    bool has_copy = copy_at >= 0 && now >= w->engines[copy_at].avoided_until &&
                    w->engines[copy_at].n < MEMBERS_MAX;
    int engine = s->engine;
    if (is_dark(e, now)) {
        if (s->has_events) {
            s->left_dark = true;
            s->had_copy = copy_at >= 0;
            s->dark_event = s->last_event;
        }
    }
    else {
        r->falsely_moved += s->is_counted && s->false_moves++ == 0;
        r->false_moves++;
        r->moves_between += s->has_events;
        r->moves_resumed += s->is_from_copy && !s->has_events;
        r->prefilled_again += has_copy ? 0 : s->prompt;
    }
    if (!CaroEventTimeout_IsPreempted(s->last_event, e->heard_at, now)) {
        e->avoided_until = now + AVOID_DELAY;
        e->report_at = now + REPORT_TIME;
        suspect(w, engine, s->vm, now);
    }
    leave_engine(w, s);
    begin_run(w, s,
              has_copy ? copy_at : choose_engine(w, engine % DOMAINS, now),
              has_copy, now);
}

static void
deliver(World *w, Stream *s, CaroTime now)
{
    Result *r = w->result;
    CaroEventPace *p = w->pace[s->vm];
    uint32_t start = (uint32_t)s->engine + 1;
    Engine *e = &w->engines[s->engine];
    CaroTime interval = now - s->last_event;
    if (s->left_dark) {
        double gap = (double)(now - s->dark_event) / (double)MS;
        if (s->had_copy) {
            assert_true(r->n_with_copy < SAMPLES_MAX);
            r->gaps_with_copy[r->n_with_copy++] = gap;
        }
        else {
            assert_true(r->n_without < SAMPLES_MAX);
            r->gaps_without[r->n_without++] = gap;
        }
        s->left_dark = false;
    }
    if (s->has_events) {
        CaroEventPace_RecordInterval(p, start, interval, now);
        r->late_gaps += interval > w->route.gap;
    }
    else if (!s->is_from_copy && !s->has_prefill_ahead) {
        CaroEventPace_RecordPrefill(p, start, "engines", s->prompt, interval,
                                    now);
    }
    e->heard_at = now;
    s->has_events = true;
    s->last_event = now;
    s->others_from = CaroEventPace_Count(p, start);
    s->tokens = 0;
    if (++s->events == EVENTS) {
        leave_engine(w, s);
        s->is_used = false;
    }
}

static Stream *
first_prompt(World *w, int engine, CaroTime now)
{
    const Engine *e = &w->engines[engine];
    Stream *first = NULL;
    for (int i = 0; i < e->n; i++) {
        Stream *s = &w->streams[e->members[i]];
        if (s->prefill > 0 && s->joined <= now &&
            (first == NULL || s->joined < first->joined)) {
            first = s;
        }
    }
    return first;
}

/* Ends the present step of the engine and begins the next one. */
static void
step_engine(World *w, int engine, CaroTime now)
{
    Engine *e = &w->engines[engine];
    if (is_dark(e, now)) {
        e->next_step = e->dark_until;
        return;
    }
    int n = 0;
    for (int i = e->n - 1; i >= 0; i--) { /* A stream that ends leaves. */
        Stream *s = &w->streams[e->members[i]];
        if (s->prefill == 0 && s->joined <= now) {
            n++;
            if (++s->tokens >= EVENT_TOKENS) {
                deliver(w, s, now);
            }
        }
    }
    Stream *first = first_prompt(w, engine, now);
    double ms = STEP + STEP_OF_STREAM * n;
    if (first != NULL) {
        int chunk =
            first->prefill < CHUNK_TOKENS ? first->prefill : CHUNK_TOKENS;
        first->prefill -= chunk;
        ms += (double)chunk / TOKENS_PER_MS;
    }
    if (e->has_slow_times) {
        if (now >= e->slow_until) {
            e->slow_from =
                now + (CaroTime)gsl_ran_exponential(w->engines_rng, 4.0 * S);
            e->slow_until =
                e->slow_from + 200 * MS +
                (CaroTime)gsl_rng_uniform_int(w->engines_rng, 600 * MS);
        }
        ms *= now >= e->slow_from ? 2.5 : 1.0;
    }
    e->next_step = now + (CaroTime)(ms / e->speed * (double)MS);
}

static void
arrive(World *w, CaroTime now)
{
    for (int i = 0; i < STREAMS_MAX; i++) {
        Stream *s = &w->streams[i];
        if (!s->is_used) {
            w->n_streams = i < w->n_streams ? w->n_streams : i + 1;
            *s = (Stream){.is_used = true,
                          .vm = (int)gsl_rng_uniform_int(w->arrivals, VMS),
                          .prompt =
                              PROMPT_MIN +
                              (int)gsl_rng_uniform_int(
                                  w->arrivals, PROMPT_MAX - PROMPT_MIN + 1)};
            s->is_counted = now >= WARM_UP;
            w->result->streams += s->is_counted;
            begin_run(w, s, choose_engine(w, -1, now), false, now);
            return;
        }
    }
    fail_msg("more than %d streams at a time", STREAMS_MAX);
}

static void
check_timeouts(World *w, CaroTime now)
{
    for (int i = 0; i < ENGINES; i++) {
        if (w->engines[i].report_at != 0 && now >= w->engines[i].report_at) {
            w->engines[i].report_at = 0;
            suspect(w, i, -1, now);
        }
    }
    for (int i = 0; i < w->n_streams; i++) {
        Stream *s = &w->streams[i];
        if (!s->is_used || now - s->last_event < 300 * MS) {
            continue;
        }
        CaroEventTimeoutQuery q = query_of(w, s, now);
        if (now >= CaroEventTimeout_Deadline(&q, s->last_event,
                                             w->engines[s->engine].heard_at)) {
            move(w, s, now);
        }
    }
}

static void
create_engines(World *w)
{
    for (int i = 0; i < ENGINES; i++) {
        w->engines[i] = (Engine){.speed = i % 4 == 0 ? 0.55 : 1.2,
                                 .has_slow_times = i % 13 < 2,
                                 .dark_from = INT64_MAX,
                                 .next_step = (CaroTime)gsl_rng_uniform_int(
                                     w->engines_rng, 10 * MS)};
    }
    for (int i = 0; i < VMS; i++) {
        w->pace[i] = CaroEventPace_Create();
        assert_non_null(w->pace[i]);
    }
}

static Result *
run(bool is_adaptive, bool has_faults, unsigned long seed, CaroTime duration)
{
    World *w = calloc(1, sizeof(*w));
    Result *r = calloc(1, sizeof(*r));
    assert_true(w != NULL && r != NULL);
    w->is_adaptive = is_adaptive;
    w->result = r;
    w->arrivals = gsl_rng_alloc(gsl_rng_taus2);
    w->engines_rng = gsl_rng_alloc(gsl_rng_taus2);
    w->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(w->arrivals, seed);
    gsl_rng_set(w->engines_rng, seed + 1);
    gsl_rng_set(w->rng, seed + 2);
    w->route = stream_route();
    create_engines(w);
    CaroTime next_arrival = 0;
    CaroTime next_fault = 3 * S;
    for (CaroTime now = 0; now < duration; now += MS) {
        while (now >= next_arrival) {
            arrive(w, now);
            next_arrival +=
                (CaroTime)gsl_ran_exponential(w->arrivals, S / 27.0);
        }
        if (has_faults && now >= next_fault) {
            int domain = (int)gsl_rng_uniform_int(w->arrivals, DOMAINS);
            for (int i = 0; i < ENGINES_LOST; i++) {
                Engine *e = &w->engines[i * DOMAINS + domain];
                e->dark_from = now;
                e->dark_until = now + DARK_TIME;
            }
            next_fault = now + 10 * S;
        }
        for (int i = 0; i < ENGINES; i++) {
            while (now >= w->engines[i].next_step) {
                step_engine(w, i, w->engines[i].next_step);
            }
        }
        if (now % TICK == 0) {
            check_timeouts(w, now);
        }
    }
    for (int i = 0; i < VMS; i++) {
        CaroEventPace_Destroy(w->pace[i]);
    }
    gsl_rng_free(w->arrivals);
    gsl_rng_free(w->engines_rng);
    gsl_rng_free(w->rng);
    free(w);
    return r;
}

static void
add_samples(double *sum, int *n, const double *samples, int n_samples)
{
    assert_true(*n + n_samples <= SAMPLES_MAX);
    memcpy(sum + *n, samples, sizeof(double) * (size_t)n_samples);
    *n += n_samples;
}

static void
add_result(Result *sum, const Result *r)
{
    sum->streams += r->streams;
    sum->falsely_moved += r->falsely_moved;
    sum->false_moves += r->false_moves;
    sum->moves_between += r->moves_between;
    sum->moves_resumed += r->moves_resumed;
    sum->prefilled_again += r->prefilled_again;
    sum->late_gaps += r->late_gaps;
    add_samples(sum->gaps_with_copy, &sum->n_with_copy, r->gaps_with_copy,
                r->n_with_copy);
    add_samples(sum->gaps_without, &sum->n_without, r->gaps_without,
                r->n_without);
}

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static double
quantile(double *samples, int n, double part)
{
    assert_true(n > 0);
    qsort(samples, (size_t)n, sizeof(double), compare);
    int at = (int)(part * n);
    return samples[at < n ? at : n - 1];
}

static void
print_result(const char *name, const Result *r)
{
    print_message("%s: %d streams, moved from healthy engines %d (%.2f%%), "
                  "between events %d, tokens prefilled again %lld\n",
                  name, r->streams, r->falsely_moved,
                  100.0 * r->falsely_moved / r->streams, r->moves_between,
                  (long long)r->prefilled_again);
}

/* Runs the rule with several seeds; the caller frees the sum of the results.
 */
static Result *
run_seeds(bool is_adaptive, bool has_faults)
{
    enum { SEEDS = 4 };
    Result *sum = calloc(1, sizeof(*sum));
    assert_non_null(sum);
    for (unsigned long seed = 1; seed <= SEEDS; seed++) {
        Result *r = run(is_adaptive, has_faults, seed * 10, 360 * S);
        add_result(sum, r);
        free(r);
    }
    return sum;
}

/* Guards against streams that leave engines which are only slow: 7% did so
   with the constant timeout, and most of their prompts were processed again.
 */
static void
test_streams_stay_at_healthy_engines(void **state)
{
    (void)state;
    Result *constant = run_seeds(false, false);
    Result *adaptive = run_seeds(true, false);
    print_result("constant", constant);
    print_result("adaptive", adaptive);
    assert_true(adaptive->falsely_moved * 100 < adaptive->streams);
    assert_true(adaptive->prefilled_again * 3 < constant->prefilled_again);
    free(constant);
    free(adaptive);
}

/* Guards against streams that wait for an engine which fell silent, in the
   loss of half a failure domain, until a resume from their KV copy is late. */
static void
test_streams_leave_silent_engines_in_time(void **state)
{
    (void)state;
    double p99[2];
    for (int i = 0; i < 2; i++) {
        Result *r = run_seeds(i == 1, true);
        print_result(i == 1 ? "adaptive" : "constant", r);
        p99[i] = quantile(r->gaps_with_copy, r->n_with_copy, 0.99);
        print_message(
            "  gaps with a copy: n=%d p50=%.0f p95=%.0f p99=%.0f; "
            "without: n=%d p50=%.0f p99=%.0f ms\n",
            r->n_with_copy, quantile(r->gaps_with_copy, r->n_with_copy, 0.5),
            quantile(r->gaps_with_copy, r->n_with_copy, 0.95), p99[i],
            r->n_without, quantile(r->gaps_without, r->n_without, 0.5),
            quantile(r->gaps_without, r->n_without, 0.99));
        free(r);
    }
    /* The simulated VMs look at their streams each TICK. */
    assert_true(p99[1] <= p99[0] + (double)TICK / (double)MS);
}

/* Guards against other timeouts for services whose targets never reported a
   processing time. */
static void
test_services_without_the_figure_keep_the_constants(void **state)
{
    (void)state;
    CaroRoute route = stream_route();
    for (int bits = 0; bits < 64; bits++) {
        CaroEventTimeoutQuery q = {.route = &route,
                                   .has_events = (bits & 1) != 0,
                                   .is_target_suspected = (bits & 2) != 0,
                                   .is_from_kv_copy = (bits & 4) != 0,
                                   .has_prefill_ahead = (bits & 8) != 0,
                                   .is_first_run = (bits & 16) != 0,
                                   .has_forwarded_events = (bits & 32) != 0,
                                   .has_kv_copy = true,
                                   .longest_interval = 300 * MS,
                                   .has_prefill = true,
                                   .prompt_tokens = 8000,
                                   .us_per_token = 150.0};
        CaroTime expected = q.has_events || q.is_target_suspected ? 315 * MS
                            : q.is_from_kv_copy                   ? 630 * MS
                            : !q.is_first_run && !q.has_forwarded_events
                                ? 25 * S
                            : q.has_prefill_ahead ? 4500 * MS
                                                  : 2700 * MS;
        assert_int_equal(CaroEventTimeout_Get(&q), expected);
        assert_int_equal(CaroEventTimeout_Rule(&q), CARO_TIMEOUT_CONSTANT);
        assert_int_equal(CaroEventTimeout_Deadline(&q, S, 0), S + expected);
    }
}

/* Guards against a timeout between events that is shorter than the constant
   one, or that leaves no time for the resume from a KV copy. */
static void
test_bounds_between_events(void **state)
{
    (void)state;
    CaroRoute route = stream_route();
    CaroEventTimeoutQuery q = {.route = &route,
                               .is_adaptive = true,
                               .has_events = true,
                               .has_kv_copy = true,
                               .longest_interval = 30 * MS};
    assert_int_equal(CaroEventTimeout_Get(&q), 315 * MS);
    q.longest_interval = 150 * MS;
    assert_int_equal(CaroEventTimeout_Get(&q), 450 * MS);
    q.longest_interval = 600 * MS;
    assert_int_equal(CaroEventTimeout_Get(&q), 550 * MS);
    q.is_kv_holder_busy = true;
    assert_int_equal(CaroEventTimeout_Get(&q), 330 * MS);
    /* Without a copy a move gains nothing within the objective. */
    q.has_kv_copy = false;
    assert_int_equal(CaroEventTimeout_Get(&q), 700 * MS);
    /* A stream that alone is silent was preempted, and another that was silent
       shows that the engine may be lost. */
    q.is_preempted = true;
    assert_int_equal(CaroEventTimeout_Get(&q), 315 * MS);
    q.is_preempted = false;
    q.is_target_suspected = true;
    assert_int_equal(CaroEventTimeout_Get(&q), 315 * MS);
    /* An objective that leaves no range. */
    q.is_target_suspected = false;
    q.has_kv_copy = true;
    route.gap = 200 * MS;
    assert_int_equal(CaroEventTimeout_Get(&q), 90 * MS);
}

/* Guards against a prompt that is given up while it is processed, and against
   one that is given up too late for another engine. */
static void
test_first_event_follows_the_prefill(void **state)
{
    (void)state;
    CaroRoute route = stream_route();
    CaroEventTimeoutQuery q = {.route = &route,
                               .is_adaptive = true,
                               .is_first_run = true,
                               .prompt_tokens = 4000,
                               .us_per_token = 150.0};
    assert_int_equal(CaroEventTimeout_Get(&q), 2700 * MS);
    q.tokens_ahead = 4000;
    assert_int_equal(CaroEventTimeout_Get(&q), 3000 * MS);
    q.tokens_ahead = 40000;
    assert_int_equal(CaroEventTimeout_Get(&q), 3600 * MS);
    q.prompt_tokens = 14400;
    assert_int_equal(CaroEventTimeout_Get(&q), 4500 * MS);
    /* At a suspected engine the wait counts from the start of the run, unless
       the engine is heard. */
    q.is_target_suspected = true;
    q.tokens_ahead = 0;
    q.prompt_tokens = 4000;
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 0),
                     10 * S + 3600 * MS);
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 14 * S),
                     14 * S + 700 * MS);
    q.us_per_token = 0.0;
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 0),
                     10 * S + 700 * MS);
    /* Unknown pace: the constants. */
    q.is_target_suspected = false;
    assert_int_equal(CaroEventTimeout_Get(&q), 2700 * MS);
}

/* Guards against a preempted stream that waits for its engine, and against a
   slow engine that passes for one that preempts. */
static void
test_only_overtaken_streams_count_as_preempted(void **state)
{
    (void)state;
    assert_false(CaroEventTimeout_IsOvertaken(0, 1));
    assert_false(CaroEventTimeout_IsOvertaken(5, 1));
    assert_false(CaroEventTimeout_IsOvertaken(1, 2));
    assert_true(CaroEventTimeout_IsOvertaken(2, 2));
    assert_false(CaroEventTimeout_IsOvertaken(3, 4));
    assert_true(CaroEventTimeout_IsOvertaken(4, 4));
}

/* Guards against intervals of a past prompt that lengthen the timeout for
   long, and against a table that grows with the number of starts. */
static void
test_pace_is_forgotten_and_bounded(void **state)
{
    (void)state;
    CaroEventPace *p = CaroEventPace_Create();
    assert_int_equal(CaroEventPace_LongestInterval(p, 7, S), 0);
    CaroEventPace_RecordInterval(p, 7, 200 * MS, S);
    CaroEventPace_RecordInterval(p, 7, 30 * MS, S + 30 * MS);
    assert_in_range(CaroEventPace_LongestInterval(p, 7, S + 30 * MS), 190 * MS,
                    200 * MS);
    assert_in_range(CaroEventPace_LongestInterval(p, 7, 2 * S), 95 * MS,
                    105 * MS);
    CaroEventPace_RecordInterval(p, 7, 110 * MS, 2 * S);
    assert_int_equal(CaroEventPace_LongestInterval(p, 7, 2 * S), 110 * MS);
    assert_int_equal(CaroEventPace_LongestInterval(p, 7, 13 * S), 0);
    assert_int_equal(CaroEventPace_Count(p, 7), 3);

    CaroEventPace_RecordPrefill(p, 8, "s", 8000, 1200 * MS, 2 * S);
    assert_in_range((int)CaroEventPace_PrefillTime(p, 8, "s"), 149, 150);
    /* Another start of the service has its mean; a short prompt says nothing,
       an outlier little. */
    assert_in_range((int)CaroEventPace_PrefillTime(p, 9, "s"), 149, 150);
    assert_true(CaroEventPace_PrefillTime(p, 9, "other") == 0.0);
    CaroEventPace_RecordPrefill(p, 8, "s", 10, S, 2 * S);
    CaroEventPace_RecordPrefill(p, 8, "s", 1000, 20 * S, 2 * S);
    assert_in_range((int)CaroEventPace_PrefillTime(p, 8, "s"), 190, 200);

    for (uint32_t start = 100; start < 20100; start++) {
        CaroEventPace_RecordInterval(p, start * 2654435761u, 50 * MS,
                                     20 * S + start);
    }
    assert_int_equal(
        CaroEventPace_LongestInterval(p, 20099u * 2654435761u, 20 * S + 20099),
        50 * MS);
    CaroEventPace_Destroy(p);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_services_without_the_figure_keep_the_constants),
        cmocka_unit_test(test_bounds_between_events),
        cmocka_unit_test(test_first_event_follows_the_prefill),
        cmocka_unit_test(test_only_overtaken_streams_count_as_preempted),
        cmocka_unit_test(test_pace_is_forgotten_and_bounded),
        cmocka_unit_test(test_streams_stay_at_healthy_engines),
        cmocka_unit_test(test_streams_leave_silent_engines_in_time),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
