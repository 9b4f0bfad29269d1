/*
 * Tests of the guard on virtual time with engines that serve many streams at
 * once and crash under a prompt in different ways: each crash takes the
 * streams of bystanders with it, which are sent again.  VMs exchange
 * datagrams, of which some are lost and doubled.
 */
#include "test.h"

#include "internal/caro_prompt_guard.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP (20 * CARO_MS)
#define CONTACT (3 * CARO_SECOND)
#define RESTART_DELAY (2 * CARO_SECOND)
#define EVENT_INTERVAL (40 * CARO_MS)
#define PREFILL (200 * CARO_MS)
#define SILENCE_TIMEOUT (1 * CARO_SECOND)
#define TRANSIT_MAX (60 * CARO_MS)
#define LOSS_FRACTION 0.1

enum {
    VMS_MAX = 300,
    ENGINES_MAX = 120,
    STREAMS_MAX = 8192,
    MESSAGES_MAX = 65536,
    DOMAINS = 3,
    EVENTS = 50,
    ATTEMPTS_MAX = 5,
    FIRST_PARTS = 4
};

enum { FIRST_PART = 1, DEADLY_PART = 100, RARE_PART = 1000 };

typedef enum {
    SHAPE_HEAD,      /* After the head of the response. */
    SHAPE_NO_HEAD,   /* Soon after the request. */
    SHAPE_ONE_EVENT, /* After the first event. */
    SHAPE_SOME_EVENTS,
    SHAPE_SILENCE, /* After some seconds without an event. */
    SHAPES
} Shape;

typedef struct {
    CaroHandle target;
    int domain;
    int n_starts;
    CaroTime back_at; /* 0: it serves. */
} Engine;

typedef struct {
    bool is_used;
    bool is_deadly;
    int vm;
    int engine; /* -1: none. */
    int attempts;
    int events;       /* Of the attempt. */
    int left;         /* Events that the stream still lacks. */
    bool is_given_up; /* The VM has left the silent engine. */
    CaroTime due_at;
    CaroTime started_at;
    CaroPromptParts parts;
    char id[24];
} Stream;

typedef struct {
    CaroTime due_at;
    int to;
    u_int size;
    char *bytes;
} Message;

typedef struct {
    int n_vms;
    CaroPromptGuard *guards[VMS_MAX];
    bool is_stopped[VMS_MAX];
    CaroCounters counters;
    CaroTargets *targets;
    gsl_rng *rng;
    CaroTime now;
    Engine engines[ENGINES_MAX];
    int n_engines;
    Stream streams[STREAMS_MAX];
    Message messages[MESSAGES_MAX];
    int n_messages;
    Shape shape;
    bool has_rare_parts; /* Sound prompts have a second part, of many. */
    int n_requests;
    int crashes;
    CaroTime fifth_at;
    int tries;
    int late;
    int n_sound;
    int n_sound_refused;
} Fleet;

static double
uniform(Fleet *f)
{
    return gsl_rng_uniform(f->rng);
}

static int
choose(Fleet *f, int n)
{
    return (int)gsl_rng_uniform_int(f->rng, (unsigned long)n);
}

static void
start_engine(Fleet *f, int i)
{
    Engine *e = &f->engines[i];
    CaroTargetEntry entry = {.slots = 64, .started_at_ms = ++e->n_starts};
    (void)snprintf(entry.id, sizeof(entry.id), "e%d-%d", i, e->n_starts);
    (void)snprintf(entry.address, sizeof(entry.address), "10.0.0.%d:1", i);
    (void)snprintf(entry.domain, sizeof(entry.domain), "d%d", e->domain);
    CARO_COPY(entry.service, "chat");
    e->target = CaroTargets_Put(f->targets, &entry, f->now);
    e->back_at = 0;
}

static Fleet *
create_fleet(int n_vms, int n_engines, Shape shape, unsigned long seed)
{
    Fleet *f = calloc(1, sizeof(*f));
    assert_non_null(f);
    f->n_vms = n_vms;
    f->n_engines = n_engines;
    f->shape = shape;
    f->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(f->rng, seed);
    f->targets = CaroTargets_Create();
    f->now = 1000 * CARO_SECOND;
    for (int i = 0; i < n_vms; i++) {
        f->guards[i] = CaroPromptGuard_Create(f->targets, NULL, &f->counters);
    }
    for (int i = 0; i < n_engines; i++) {
        f->engines[i].domain = i % DOMAINS;
        start_engine(f, i);
    }
    return f;
}

static void
destroy_fleet(Fleet *f)
{
    for (int i = 0; i < f->n_vms; i++) {
        CaroPromptGuard_Destroy(f->guards[i]);
    }
    for (int i = 0; i < f->n_messages; i++) {
        free(f->messages[i].bytes);
    }
    CaroTargets_Destroy(f->targets);
    gsl_rng_free(f->rng);
    free(f);
}

static CaroPromptAttempt
attempt_of(const Fleet *f, const Stream *s)
{
    return (CaroPromptAttempt){.target = f->engines[s->engine].target,
                               .request_id = s->id,
                               .parts = &s->parts,
                               .has_head = f->shape != SHAPE_NO_HEAD &&
                                           f->shape != SHAPE_SILENCE,
                               .events = (uint32_t)s->events,
                               .started_at = s->started_at};
}

/* Time from the request, or from the last event before it, to the crash. */
static CaroTime
crash_delay(const Fleet *f)
{
    return f->shape == SHAPE_SILENCE ? 3 * CARO_SECOND : 50 * CARO_MS;
}

static int
events_before_crash(const Fleet *f)
{
    return f->shape == SHAPE_ONE_EVENT     ? 1
           : f->shape == SHAPE_SOME_EVENTS ? 8
                                           : 0;
}

static void
end_stream(Fleet *f, Stream *s, bool is_refused)
{
    s->is_used = false;
    f->n_sound_refused += is_refused && !s->is_deadly;
}

/* Begins the next attempt, or waits, or ends the stream. */
static void
begin_attempt(Fleet *f, Stream *s)
{
    CaroTime now = f->now;
    s->engine = -1;
    switch (CaroPromptGuard_Admit(f->guards[s->vm], &s->parts, now, now)) {
    case CARO_PROMPT_REFUSED:
        end_stream(f, s, true);
        return;
    case CARO_PROMPT_HELD:
        s->due_at = now + 40 * CARO_MS;
        return;
    case CARO_PROMPT_ADMITTED:
    case CARO_PROMPT_PROBE:
        break;
    }
    if (s->attempts == ATTEMPTS_MAX) {
        end_stream(f, s, false);
        return;
    }
    int i = choose(f, f->n_engines);
    for (int tries = 0; f->engines[i].back_at != 0; tries++) {
        i = (i + 1) % f->n_engines;
        if (tries == f->n_engines) {
            s->due_at = now + 100 * CARO_MS;
            return;
        }
    }
    s->engine = i;
    s->attempts++;
    s->events = 0;
    s->is_given_up = false;
    s->started_at = now;
    s->due_at = now + PREFILL;
    if (s->is_deadly) {
        f->tries++;
        f->late += f->fifth_at != 0 && now > f->fifth_at + CONTACT;
        if (events_before_crash(f) == 0) {
            s->due_at =
                now + crash_delay(f) + (f->shape == SHAPE_HEAD ? PREFILL : 0);
        }
    }
}

static void
accept_stream(Fleet *f, bool is_deadly, int vm)
{
    for (int i = 0; i < STREAMS_MAX; i++) {
        Stream *s = &f->streams[i];
        if (s->is_used) {
            continue;
        }
        *s = (Stream){
            .is_used = true, .is_deadly = is_deadly, .vm = vm, .left = EVENTS};
        (void)snprintf(s->id, sizeof(s->id), "r%d", f->n_requests++);
        CaroPromptParts_Add(&s->parts,
                            FIRST_PART + (uint64_t)choose(f, FIRST_PARTS));
        if (is_deadly) {
            CaroPromptParts_Add(&s->parts, DEADLY_PART);
        }
        else if (f->has_rare_parts) {
            CaroPromptParts_Add(&s->parts,
                                RARE_PART + (uint64_t)(f->n_requests / 3));
        }
        f->n_sound += !is_deadly;
        CaroPromptGuard_RecordRequest(f->guards[vm], &s->parts, f->now);
        begin_attempt(f, s);
        return;
    }
    fail_msg("too many streams");
}

static int
running_vm(Fleet *f)
{
    int vm = choose(f, f->n_vms);
    while (f->is_stopped[vm]) {
        vm = (vm + 1) % f->n_vms;
    }
    return vm;
}

/* The engine ends with all of its streams. */
static void
crash_engine(Fleet *f, int engine)
{
    CaroHandle target = f->engines[engine].target;
    CaroTargets_Avoid(f->targets, target, CARO_TARGET_FAILING, f->now);
    f->engines[engine].back_at = f->now + RESTART_DELAY;
    for (int i = 0; i < STREAMS_MAX; i++) {
        Stream *s = &f->streams[i];
        if (s->is_used && s->engine == engine && !s->is_given_up) {
            CaroPromptAttempt a = attempt_of(f, s);
            CaroPromptLosses_RecordClose(
                CaroPromptGuard_Losses(f->guards[s->vm]), &a, f->now);
        }
    }
    CaroTargets_Remove(f->targets, target);
    for (int i = 0; i < STREAMS_MAX; i++) {
        Stream *s = &f->streams[i];
        if (s->is_used && s->engine == engine) {
            if (s->is_given_up) {
                s->is_used = false;
            }
            else {
                begin_attempt(f, s);
            }
        }
    }
}

static void
count_crash(Fleet *f)
{
    if (++f->crashes == 5) {
        f->fifth_at = f->now;
    }
}

/* The VM leaves a silent engine, at which the request goes on, and tries
   another. */
static void
give_up_silent(Fleet *f, Stream *s)
{
    CaroPromptAttempt a = attempt_of(f, s);
    CaroPromptLosses_RecordSilence(CaroPromptGuard_Losses(f->guards[s->vm]),
                                   &a, f->now);
    s->is_given_up = true;
    for (int i = 0; i < STREAMS_MAX; i++) {
        Stream *next = &f->streams[i];
        if (!next->is_used) {
            *next = *s;
            begin_attempt(f, next);
            return;
        }
    }
    fail_msg("too many streams");
}

static void
step_stream(Fleet *f, Stream *s)
{
    CaroPromptGuard *g = f->guards[s->vm];
    bool is_silent = s->is_deadly && f->shape == SHAPE_SILENCE;
    if (s->engine >= 0 && is_silent && !s->is_given_up &&
        f->now - s->started_at >= SILENCE_TIMEOUT) {
        give_up_silent(f, s);
    }
    if (f->now < s->due_at) {
        return;
    }
    if (s->engine < 0) {
        begin_attempt(f, s);
        return;
    }
    if (s->is_deadly && s->events >= events_before_crash(f)) {
        count_crash(f);
        crash_engine(f, s->engine);
        return;
    }
    s->events++;
    s->left--;
    s->due_at = f->now + EVENT_INTERVAL;
    CaroTargets_RecordHeard(f->targets, f->engines[s->engine].target, f->now);
    if (s->events % CARO_PROMPT_PROGRESS_MIN == 0) {
        CaroPromptGuard_RecordEvents(g, &s->parts, (uint32_t)s->events,
                                     f->now);
    }
    if (s->is_deadly && s->events >= events_before_crash(f)) {
        s->due_at = f->now + crash_delay(f);
    }
    else if (s->left == 0) {
        if (s->events == EVENTS) {
            CaroPromptGuard_RecordFinish(g, &s->parts, f->now);
        }
        s->is_used = false;
    }
}

static void
post(Fleet *f, int to, const char *bytes, u_int size)
{
    if (uniform(f) < LOSS_FRACTION) {
        return;
    }
    assert_true(f->n_messages < MESSAGES_MAX);
    Message *m = &f->messages[f->n_messages++];
    *m = (Message){.to = to,
                   .size = size,
                   .bytes = malloc(size),
                   .due_at = f->now + (CaroTime)(uniform(f) * TRANSIT_MAX)};
    memcpy(m->bytes, bytes, size);
}

static u_int
encode(CaroPromptEvidence *out, char *bytes, u_int size)
{
    XDR xdr;
    out->evidence.sender = "vm";
    xdrmem_create(&xdr, bytes, size, XDR_ENCODE);
    assert_true(xdr_caro_prompt_evidence(&xdr, &out->evidence));
    return xdr_getpos(&xdr);
}

static void
tick_vm(Fleet *f, int vm)
{
    static CaroPromptEvidence out;
    static char bytes[8192];
    CaroPromptGuard_Tick(f->guards[vm], vm, f->now);
    if (CaroPromptGuard_ConsumeQuery(f->guards[vm], f->n_vms > 1, f->now)) {
        int peer = (vm + 1) % f->n_vms;
        CaroPromptGuard_CollectReply(f->guards[peer], &out, f->now);
        out.evidence.sender = "vm";
        CaroPromptGuard_OnQueryReply(f->guards[vm], &out.evidence, f->now);
    }
    int fanout = CaroPromptGuard_Collect(f->guards[vm], &out, f->now);
    if (fanout > 0) {
        u_int size = encode(&out, bytes, sizeof(bytes));
        for (int i = 0; i < fanout; i++) {
            post(f, choose(f, f->n_vms), bytes, size);
        }
    }
}

static void
deliver_messages(Fleet *f)
{
    for (int i = f->n_messages - 1; i >= 0; i--) {
        Message m = f->messages[i];
        caro_prompt_evidence evidence;
        XDR xdr;
        if (m.due_at > f->now || f->is_stopped[m.to]) {
            continue;
        }
        f->messages[i] = f->messages[--f->n_messages];
        memset(&evidence, 0, sizeof(evidence));
        xdrmem_create(&xdr, m.bytes, m.size, XDR_DECODE);
        assert_true(xdr_caro_prompt_evidence(&xdr, &evidence));
        CaroPromptGuard_Apply(f->guards[m.to], &evidence, f->now);
        xdr_free((xdrproc_t)xdr_caro_prompt_evidence, &evidence);
        free(m.bytes);
    }
}

static void
step(Fleet *f)
{
    f->now += STEP;
    for (int i = 0; i < f->n_engines; i++) {
        if (f->engines[i].back_at != 0 && f->now >= f->engines[i].back_at) {
            start_engine(f, i);
        }
    }
    for (int i = 0; i < STREAMS_MAX; i++) {
        if (f->streams[i].is_used && !f->is_stopped[f->streams[i].vm]) {
            step_stream(f, &f->streams[i]);
        }
    }
    deliver_messages(f);
    for (int i = 0; i < f->n_vms; i++) {
        if (!f->is_stopped[i]) {
            tick_vm(f, i);
        }
    }
}

/* Runs with sound and deadly streams a second, and engines that crash by
   chance. */
static void
run(Fleet *f, CaroTime duration, double sound, double deadly, double chance)
{
    double step_s = (double)STEP / (double)CARO_SECOND;
    for (CaroTime end = f->now + duration; f->now < end;) {
        step(f);
        for (double n = sound * step_s; uniform(f) < n; n -= 1.0) {
            accept_stream(f, false, running_vm(f));
        }
        for (double n = deadly * step_s; uniform(f) < n; n -= 1.0) {
            accept_stream(f, true, running_vm(f));
        }
        int i = choose(f, f->n_engines);
        if (uniform(f) < chance * step_s && f->engines[i].back_at == 0) {
            crash_engine(f, i);
        }
    }
}

static const struct {
    int vms;
    int engines;
    double sound;
    double deadly;
} sizes[] = {
    {13, 21, 20.0, 2.0}, {106, 80, 60.0, 4.0}, {295, 120, 100.0, 6.0}};
enum { SIZES = sizeof(sizes) / sizeof(sizes[0]), SEEDS = 3 };

/* Guards against a deadly part that is found by one way to crash only. */
static void
test_each_shape_is_found_at_each_size(void **state)
{
    (void)state;
    for (int i = 0; i < SIZES * SHAPES * SEEDS; i++) {
        int size = i / (SHAPES * SEEDS);
        Fleet *f = create_fleet(sizes[size].vms, sizes[size].engines,
                                (Shape)(i / SEEDS % SHAPES),
                                (unsigned long)(i % SEEDS + 1));
        run(f, 4 * CARO_SECOND, sizes[size].sound, 0.0, 0.0);
        run(f, 16 * CARO_SECOND, sizes[size].sound, sizes[size].deadly, 0.0);
        print_message("vms=%d shape=%d seed=%d tries=%d crashes=%d late=%d "
                      "quarantines=%d sound_refused=%d\n",
                      f->n_vms, (int)f->shape, i % SEEDS + 1, f->tries,
                      f->crashes, f->late,
                      (int)f->counters.values[CARO_COUNT_QUARANTINES],
                      f->n_sound_refused);
        assert_true(f->crashes >= 3);
        assert_int_equal(f->late, 0);
        assert_int_equal(f->n_sound_refused, 0);
        destroy_fleet(f);
    }
}

/* Guards against a rare part of a bystander that is taken for the cause. */
static void
test_rare_parts_beside_a_deadly_one(void **state)
{
    (void)state;
    for (int i = 0; i < SHAPES * SEEDS; i++) {
        Fleet *f = create_fleet(106, 80, (Shape)(i / SEEDS),
                                (unsigned long)(i % SEEDS + 1));
        f->has_rare_parts = true;
        run(f, 4 * CARO_SECOND, 60.0, 0.0, 0.0);
        run(f, 16 * CARO_SECOND, 60.0, 4.0, 0.0);
        print_message("rare: shape=%d seed=%d tries=%d crashes=%d late=%d "
                      "quarantines=%d sound_refused=%d\n",
                      (int)f->shape, i % SEEDS + 1, f->tries, f->crashes,
                      f->late, (int)f->counters.values[CARO_COUNT_QUARANTINES],
                      f->n_sound_refused);
        assert_int_equal(f->late, 0);
        assert_int_equal(f->n_sound_refused, 0);
        destroy_fleet(f);
    }
}

/* Guards against a quarantine of a sound part while engines crash by chance.
 */
static void
test_crashes_by_chance_put_nothing_into_quarantine(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 10; seed++) {
        Fleet *f = create_fleet(13, 12, SHAPE_HEAD, seed);
        f->has_rare_parts = true;
        run(f, 60 * CARO_SECOND, 30.0, 0.0, 0.6);
        assert_int_equal(f->counters.values[CARO_COUNT_QUARANTINES], 0);
        destroy_fleet(f);
    }
}

/* Guards against a new series of crashes after ten minutes. */
static void
test_quarantine_outlasts_an_hour_of_requests(void **state)
{
    (void)state;
    Fleet *f = create_fleet(13, 12, SHAPE_HEAD, 1);
    run(f, 4 * CARO_SECOND, 5.0, 0.0, 0.0);
    run(f, 3600 * CARO_SECOND, 1.0, 1.0, 0.0);
    assert_int_equal(f->late, 0);
    assert_true(f->crashes < 10);
    assert_int_equal(f->n_sound_refused, 0);
    destroy_fleet(f);
}

/* Guards against a VM that sends what waited in its sockets while it was
   stopped. */
static void
test_vm_that_was_stopped_asks_before_it_sends(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 5; seed++) {
        Fleet *f = create_fleet(13, 12, SHAPE_NO_HEAD, seed);
        run(f, 4 * CARO_SECOND, 10.0, 0.0, 0.0);
        f->is_stopped[5] = true;
        run(f, 12 * CARO_SECOND, 10.0, 2.0, 0.0);
        int tries = f->tries;
        /* It reads what waited before its timers run. */
        f->is_stopped[5] = false;
        for (int i = 0; i < 30; i++) {
            accept_stream(f, true, 5);
        }
        run(f, 3 * CARO_SECOND, 10.0, 0.0, 0.0);
        assert_int_equal(f->tries, tries);
        destroy_fleet(f);
    }
}

/* Guards against domains that lose power one after the other, at the start of
   a deployment: nothing has passed, and every prompt shares a part. */
static void
test_lost_domains_at_the_start(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 10; seed++) {
        Fleet *f = create_fleet(13, 12, SHAPE_HEAD, seed);
        f->has_rare_parts = seed % 2 == 0;
        run(f, 150 * CARO_MS, 60.0, 0.0, 0.0);
        for (int d = 0; d < DOMAINS; d++) {
            for (int i = d; i < f->n_engines; i += DOMAINS) {
                crash_engine(f, i);
                run(f, STEP, 60.0, 0.0, 0.0);
            }
            run(f, 300 * CARO_MS, 60.0, 0.0, 0.0);
        }
        run(f, 5 * CARO_SECOND, 20.0, 0.0, 0.0);
        assert_int_equal(f->counters.values[CARO_COUNT_QUARANTINES], 0);
        destroy_fleet(f);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_each_shape_is_found_at_each_size),
        cmocka_unit_test(test_rare_parts_beside_a_deadly_one),
        cmocka_unit_test(test_crashes_by_chance_put_nothing_into_quarantine),
        cmocka_unit_test(test_quarantine_outlasts_an_hour_of_requests),
        cmocka_unit_test(test_vm_that_was_stopped_asks_before_it_sends),
        cmocka_unit_test(test_lost_domains_at_the_start),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
