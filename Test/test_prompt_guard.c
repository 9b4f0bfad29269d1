/*
 * Tests of the quarantine of parts of prompts: fleets of VMs that exchange
 * datagrams on virtual time, of which some are lost, doubled and reordered.
 */
#include "test.h"

#include "internal/caro_platform.h"
#include "internal/caro_prompt_guard.h"
#include "internal/caro_prompt_quarantine.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP (20 * CARO_MS)
#define FIRST_EVENT_WAIT (1 * CARO_SECOND)
#define CONTACT (3 * CARO_SECOND)
#define TRANSIT_MAX (60 * CARO_MS)
#define LOSS_FRACTION 0.1
#define DOUBLE_FRACTION 0.1

/* Wall clock of the tests, and the end of a quarantine that begins then. */
#define WALL_MS ((int64_t)1000)
#define END_MS (WALL_MS + CARO_QUARANTINE_TTL / CARO_MS)

enum {
    VMS_MAX = 300,
    MESSAGES_MAX = 65536,
    MESSAGE_BYTES_MAX = 8192, /* Largest datagram between VMs. */
    REQUESTS_MAX = 4096,
    ATTEMPTS_MAX = 5,
    DEADLY_MAX = 2
};

/* Parts of the prompts; sound requests of the route begin with ROUTE_PART. */
enum { ROUTE_PART = 1, DEADLY_PART = 100, RARE_PART = 1000 };

typedef struct {
    CaroTime due_at;
    int to;
    size_t size;
    char *bytes;
} Message;

typedef struct {
    int vm;
    int attempts;
    CaroTime answer_at; /* When the attempt begins or crashes; 0: unused. */
    CaroPromptParts parts;
    char id[32];
} Request;

typedef struct {
    int n_vms;
    CaroPromptGuard *guards[VMS_MAX];
    CaroCounters counters;
    CaroTargets *targets;
    gsl_rng *rng;
    CaroTime now;
    Message messages[MESSAGES_MAX];
    int n_messages;
    Request requests[REQUESTS_MAX];
    uint64_t deadly[DEADLY_MAX];
    CaroTime fifth_at[DEADLY_MAX];
    int crashes[DEADLY_MAX];
    int late[DEADLY_MAX]; /* Attempts later than CONTACT after the fifth. */
    int others; /* Deadly prompts have so many first parts besides one. */
    int n_requests;
    int n_upstreams;
    int n_sound_refused;
    int n_sound_begun;
} Fleet;

static void
create_guards(Fleet *f)
{
    for (int i = 0; i < f->n_vms; i++) {
        CaroPromptGuard_Destroy(f->guards[i]);
        f->guards[i] = CaroPromptGuard_Create(f->targets, NULL, &f->counters);
        assert_non_null(f->guards[i]);
    }
}

static Fleet *
create_fleet(int n_vms, unsigned long seed)
{
    Fleet *f = calloc(1, sizeof(*f));
    assert_non_null(f);
    f->n_vms = n_vms;
    f->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(f->rng, seed);
    f->targets = CaroTargets_Create();
    f->now = 1000 * CARO_SECOND;
    create_guards(f);
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

static int
choose_vm(Fleet *f)
{
    return (int)gsl_rng_uniform_int(f->rng, (unsigned long)f->n_vms);
}

static void
post(Fleet *f, int to, const char *bytes, size_t size)
{
    assert_true(f->n_messages < MESSAGES_MAX);
    Message *m = &f->messages[f->n_messages++];
    m->to = to;
    m->size = size;
    m->bytes = malloc(size);
    memcpy(m->bytes, bytes, size);
    m->due_at =
        f->now + (CaroTime)(gsl_rng_uniform(f->rng) * (double)TRANSIT_MAX);
}

static void
send_reports(Fleet *f, int vm)
{
    static char bytes[MESSAGE_BYTES_MAX];
    CaroPromptEvidence out;
    XDR xdr;
    int fanout = CaroPromptGuard_Collect(f->guards[vm], &out, f->now);
    if (fanout == 0) {
        return;
    }
    out.evidence.sender = "vm";
    xdrmem_create(&xdr, bytes, sizeof(bytes), XDR_ENCODE);
    assert_true(xdr_caro_prompt_evidence(&xdr, &out.evidence));
    for (int i = 0; i < fanout; i++) {
        int to = choose_vm(f);
        int copies = gsl_rng_uniform(f->rng) < LOSS_FRACTION     ? 0
                     : gsl_rng_uniform(f->rng) < DOUBLE_FRACTION ? 2
                                                                 : 1;
        for (int c = 0; c < copies && to != vm; c++) {
            post(f, to, bytes, xdr_getpos(&xdr));
        }
    }
}

static void
deliver_messages(Fleet *f)
{
    for (int i = f->n_messages - 1; i >= 0; i--) {
        Message m = f->messages[i];
        caro_prompt_evidence report;
        XDR xdr;
        if (m.due_at > f->now) {
            continue;
        }
        f->messages[i] = f->messages[--f->n_messages];
        memset(&report, 0, sizeof(report));
        xdrmem_create(&xdr, m.bytes, (u_int)m.size, XDR_DECODE);
        assert_true(xdr_caro_prompt_evidence(&xdr, &report));
        CaroPromptGuard_Apply(f->guards[m.to], &report, f->now);
        xdr_free((xdrproc_t)xdr_caro_prompt_evidence, &report);
        free(m.bytes);
    }
}

static CaroHandle
start_upstream(Fleet *f)
{
    CaroTargetEntry e = {.slots = 64};
    (void)snprintf(e.id, sizeof(e.id), "i-%d", f->n_upstreams++);
    CARO_COPY(e.address, "10.0.0.1:1");
    CARO_COPY(e.service, "s");
    return CaroTargets_Put(f->targets, &e, f->now);
}

static void
record_loss(Fleet *f, CaroHandle h, const Request *r, CaroTime now)
{
    CaroPromptAttempt attempt = {.target = h,
                                 .has_head = true,
                                 .request_id = r->id,
                                 .parts = &r->parts,
                                 .started_at = now};
    CaroPromptLosses_RecordClose(CaroPromptGuard_Losses(f->guards[r->vm]),
                                 &attempt, now);
}

/* The upstream crashes after the head of the response. */
static void
crash_upstream(Fleet *f, CaroHandle h, const Request *r)
{
    record_loss(f, h, r, f->now);
    CaroTargets_Remove(f->targets, h);
}

/* Returns the deadly part of the request, or -1. */
static int
find_deadly(const Fleet *f, const CaroPromptParts *parts)
{
    for (int i = 0; i < DEADLY_MAX; i++) {
        if (f->deadly[i] != 0 && CaroPromptParts_Has(parts, f->deadly[i])) {
            return i;
        }
    }
    return -1;
}

/* Begins the next attempt of the request, or ends it. */
static void
begin_attempt(Fleet *f, Request *r)
{
    int deadly = find_deadly(f, &r->parts);
    if (CaroPromptGuard_Refuses(f->guards[r->vm], &r->parts, f->now)) {
        f->n_sound_refused += deadly < 0;
        r->answer_at = 0;
        return;
    }
    if (r->attempts++ == ATTEMPTS_MAX) {
        r->answer_at = 0;
        return;
    }
    if (deadly >= 0 && f->fifth_at[deadly] != 0 &&
        f->now > f->fifth_at[deadly] + CONTACT) {
        f->late[deadly]++;
    }
    r->answer_at = f->now + (CaroTime)((0.7 + 0.6 * gsl_rng_uniform(f->rng)) *
                                       (double)FIRST_EVENT_WAIT);
}

static Request *
accept_request(Fleet *f, uint64_t first, uint64_t second)
{
    for (int i = 0; i < REQUESTS_MAX; i++) {
        Request *r = &f->requests[i];
        if (r->answer_at == 0) {
            *r = (Request){.vm = choose_vm(f)};
            (void)snprintf(r->id, sizeof(r->id), "r%d", f->n_requests++);
            CaroPromptParts_Add(&r->parts, first);
            if (second != 0) {
                CaroPromptParts_Add(&r->parts, second);
            }
            CaroPromptGuard_RecordRequest(f->guards[r->vm], &r->parts, f->now);
            begin_attempt(f, r);
            return r;
        }
    }
    fail_msg("too many requests");
    return NULL;
}

static void
answer_requests(Fleet *f)
{
    for (int i = 0; i < REQUESTS_MAX; i++) {
        Request *r = &f->requests[i];
        if (r->answer_at == 0 || r->answer_at > f->now) {
            continue;
        }
        int deadly = find_deadly(f, &r->parts);
        if (deadly < 0) {
            CaroPromptGuard_RecordEvents(f->guards[r->vm], &r->parts,
                                         CARO_PROMPT_PROGRESS_MIN, f->now);
            f->n_sound_begun++;
            r->answer_at = 0;
            continue;
        }
        if (++f->crashes[deadly] == 5) {
            f->fifth_at[deadly] = f->now;
        }
        crash_upstream(f, start_upstream(f), r);
        begin_attempt(f, r);
    }
}

/* Runs with sound requests of the route and with deadly ones, a second. */
static void
run(Fleet *f, CaroTime duration, double sound, double deadly)
{
    CaroTime end = f->now + duration;
    double step_s = (double)STEP / (double)CARO_SECOND;
    while (f->now < end) {
        f->now += STEP;
        if (gsl_rng_uniform(f->rng) < sound * step_s) {
            (void)accept_request(f, ROUTE_PART,
                                 RARE_PART + gsl_rng_uniform_int(f->rng, 50));
        }
        for (int d = 0; d < DEADLY_MAX; d++) {
            if (f->deadly[d] != 0 &&
                gsl_rng_uniform(f->rng) < deadly * step_s) {
                uint64_t rare = RARE_PART + gsl_rng_uniform_int(f->rng, 50);
                uint64_t first =
                    ROUTE_PART +
                    gsl_rng_uniform_int(f->rng, 1 + (unsigned long)f->others);
                (void)accept_request(
                    f, first,
                    f->deadly[d] == ROUTE_PART ? rare : f->deadly[d]);
            }
        }
        answer_requests(f);
        deliver_messages(f);
        for (int i = 0; i < f->n_vms; i++) {
            CaroPromptGuard_Tick(f->guards[i], i, f->now);
            send_reports(f, i);
        }
    }
}

static bool
is_refused_by_all(const Fleet *f, uint64_t first, uint64_t second)
{
    CaroPromptParts parts = {.n = 0};
    CaroPromptParts_Add(&parts, first);
    CaroPromptParts_Add(&parts, second);
    for (int i = 0; i < f->n_vms; i++) {
        if (!CaroPromptGuard_Refuses(f->guards[i], &parts, f->now)) {
            return false;
        }
    }
    return true;
}

static const struct {
    int n_vms;
    double sound;
    double deadly;
} loads[] = {{13, 0.9, 0.6},
             {13, 1.5, 0.08},
             {21, 1.0, 1.5},
             {120, 8.0, 5.0},
             {300, 20.0, 15.0}};
enum { N_LOADS = sizeof(loads) / sizeof(loads[0]), SEEDS = 3 };

static void
test_deadly_part_crashes_no_more_engines(void **state)
{
    (void)state;
    for (int i = 0; i < N_LOADS; i++) {
        for (unsigned long seed = 1; seed <= SEEDS; seed++) {
            Fleet *f = create_fleet(loads[i].n_vms, seed);
            run(f, 5 * CARO_SECOND, loads[i].sound, 0.0);
            f->deadly[0] = DEADLY_PART;
            run(f, 40 * CARO_SECOND, loads[i].sound, loads[i].deadly);
            assert_true(f->crashes[0] >= 3);
            assert_int_equal(f->late[0], 0);
            assert_int_equal(f->n_sound_refused, 0);
            assert_true(is_refused_by_all(f, ROUTE_PART, DEADLY_PART));
            destroy_fleet(f);
        }
    }
}

static void
test_deadly_part_from_the_start_spares_the_route(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 10; seed++) {
        Fleet *f = create_fleet(20, seed);
        f->deadly[0] = DEADLY_PART;
        run(f, 40 * CARO_SECOND, 0.9, 1.0);
        assert_int_equal(f->late[0], 0);
        assert_int_equal(f->n_sound_refused, 0);
        /* Also with another part before it. */
        assert_true(is_refused_by_all(f, ROUTE_PART + 1, DEADLY_PART));
        destroy_fleet(f);
    }
}

/* None of the first parts has sound requests: first one, then ten of them. */
static void
test_deadly_part_behind_different_first_parts(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 10; seed++) {
        Fleet *f = create_fleet(20, seed);
        f->deadly[0] = DEADLY_PART;
        run(f, 10 * CARO_SECOND, 0.0, 1.0);
        assert_true(is_refused_by_all(f, ROUTE_PART, DEADLY_PART));
        f->others = 10;
        run(f, 40 * CARO_SECOND, 0.0, 1.0);
        assert_true(f->late[0] <= 3);
        assert_true(is_refused_by_all(f, ROUTE_PART + 99, DEADLY_PART));
        assert_false(is_refused_by_all(f, ROUTE_PART, DEADLY_PART + 1));
        destroy_fleet(f);
    }
}

static void
test_two_deadly_parts_at_once(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 10; seed++) {
        Fleet *f = create_fleet(20, seed);
        run(f, 5 * CARO_SECOND, 2.0, 0.0);
        f->deadly[0] = DEADLY_PART;
        f->deadly[1] = DEADLY_PART + 1;
        run(f, 40 * CARO_SECOND, 1.0, 0.7);
        assert_int_equal(f->late[0], 0);
        assert_int_equal(f->late[1], 0);
        assert_int_equal(f->n_sound_refused, 0);
        destroy_fleet(f);
    }
}

static void
test_first_part_of_a_route_is_deadly(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 5; seed++) {
        Fleet *f = create_fleet(20, seed);
        f->deadly[0] = ROUTE_PART;
        run(f, 40 * CARO_SECOND, 0.0, 2.0);
        assert_int_equal(f->late[0], 0);
        assert_true(is_refused_by_all(f, ROUTE_PART, RARE_PART + 99));
        assert_false(is_refused_by_all(f, ROUTE_PART + 1, RARE_PART + 1));
        destroy_fleet(f);
    }
}

static void
test_part_that_began_before_becomes_deadly(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 5; seed++) {
        Fleet *f = create_fleet(20, seed);
        run(f, 30 * CARO_SECOND, 10.0, 0.0);
        f->deadly[0] = ROUTE_PART;
        run(f, 40 * CARO_SECOND, 0.0, 2.0);
        assert_true(is_refused_by_all(f, ROUTE_PART, RARE_PART + 99));
        assert_true(f->late[0] <= 3);
        destroy_fleet(f);
    }
}

static void
test_all_vms_lose_their_memory(void **state)
{
    (void)state;
    CaroPromptParts parts = {.ids = {DEADLY_PART}, .n = 1};
    char *stored = CaroPlatform_WriteQuarantine(&(CaroStoredQuarantine){
        .parts = parts, .until_ms = END_MS, .has_probes = true});
    Fleet *f = create_fleet(20, 1);
    run(f, 5 * CARO_SECOND, 2.0, 0.0);
    f->deadly[0] = DEADLY_PART;
    run(f, 20 * CARO_SECOND, 1.0, 1.0);
    int crashes = f->crashes[0];
    memset(f->requests, 0, sizeof(f->requests));
    create_guards(f);
    for (int i = 0; i < f->n_vms; i++) {
        CaroPromptGuard_OnStored(f->guards[i], stored, strlen(stored), WALL_MS,
                                 f->now);
    }
    run(f, 20 * CARO_SECOND, 1.0, 1.0);
    assert_int_equal(f->crashes[0], crashes);
    /* A VM that starts without the store learns it from the others. */
    CaroPromptGuard_Destroy(f->guards[3]);
    f->guards[3] = CaroPromptGuard_Create(f->targets, NULL, &f->counters);
    run(f, CONTACT, 1.0, 0.0);
    assert_true(is_refused_by_all(f, ROUTE_PART, DEADLY_PART));
    assert_int_equal(f->n_sound_refused, 0);
    free(stored);
    destroy_fleet(f);
}

/* Racks of a third of 80 engines lose power at once, each under a request that
   has just got the head of its response and is sent again. */
static void
test_rack_crashes_do_not_shut_out_sound_parts(void **state)
{
    (void)state;
    Fleet *f = create_fleet(106, 1);
    for (uint64_t round = 0; round < 30; round++) {
        for (uint64_t i = 0; i < 27; i++) {
            Request *r = accept_request(f, ROUTE_PART + i % 2,
                                        RARE_PART + 27 * round + i);
            crash_upstream(f, start_upstream(f), r);
        }
        run(f, 2 * CARO_SECOND, 3.0, 0.0);
    }
    assert_int_equal(f->n_sound_refused, 0);
    assert_int_equal(f->counters.values[CARO_COUNT_QUARANTINES], 0);
    destroy_fleet(f);
}

static void
test_engines_that_reset_requests_do_not_shut_out_sound_parts(void **state)
{
    (void)state;
    Fleet *f = create_fleet(13, 1);
    CaroHandle grey[5];
    for (int i = 0; i < 5; i++) {
        grey[i] = start_upstream(f);
    }
    /* A request that five engines reset, which go on with others. */
    Request r = {.vm = 1, .id = "x"};
    CaroPromptParts_Add(&r.parts, ROUTE_PART);
    CaroPromptParts_Add(&r.parts, RARE_PART + 99);
    for (int i = 0; i < 5; i++) {
        record_loss(f, grey[i], &r, f->now);
        CaroTime until = f->now + 700 * CARO_MS;
        while (f->now < until) {
            for (int j = 0; j < 5; j++) {
                CaroTargets_RecordHeard(f->targets, grey[j], f->now);
            }
            run(f, 50 * CARO_MS, 1.0, 0.0);
        }
    }
    run(f, 5 * CARO_SECOND, 1.0, 0.0);
    assert_int_equal(f->counters.values[CARO_COUNT_QUARANTINES], 0);
    destroy_fleet(f);
}

/* One upstream that closes many requests of a part is one event. */
static void
test_one_engine_that_closes_all_does_not_shut_out_sound_parts(void **state)
{
    (void)state;
    Fleet *f = create_fleet(13, 1);
    CaroHandle h = start_upstream(f);
    for (int i = 0; i < 20; i++) {
        Request r = {.vm = choose_vm(f)};
        (void)snprintf(r.id, sizeof(r.id), "x%d", i);
        CaroPromptParts_Add(&r.parts, RARE_PART);
        record_loss(f, h, &r, f->now);
        run(f, 500 * CARO_MS, 0.0, 0.0);
    }
    run(f, 5 * CARO_SECOND, 0.0, 0.0);
    assert_int_equal(f->counters.values[CARO_COUNT_QUARANTINES], 0);
    destroy_fleet(f);
}

/* A flapping engine crashes under each of the first two attempts. */
static void
test_rare_part_that_begins_at_the_third_attempt(void **state)
{
    (void)state;
    Fleet *f = create_fleet(13, 1);
    for (uint64_t i = 0; i < 40; i++) {
        Request r = {.vm = choose_vm(f)};
        (void)snprintf(r.id, sizeof(r.id), "x%d", (int)i);
        CaroPromptParts_Add(&r.parts, ROUTE_PART);
        CaroPromptParts_Add(&r.parts, RARE_PART + i);
        for (int j = 0; j < 2; j++) {
            crash_upstream(f, start_upstream(f), &r);
            run(f, CARO_SECOND, 0.5, 0.0);
        }
        CaroPromptGuard_RecordEvents(f->guards[r.vm], &r.parts,
                                     CARO_PROMPT_PROGRESS_MIN, f->now);
    }
    assert_int_equal(f->counters.values[CARO_COUNT_QUARANTINES], 0);
    destroy_fleet(f);
}

static void
test_quarantine_is_lifted_when_its_parts_begin(void **state)
{
    (void)state;
    Fleet *f = create_fleet(20, 1);
    CaroPromptParts parts = {.ids = {DEADLY_PART}, .n = 1};
    char *stored = CaroPlatform_WriteQuarantine(&(CaroStoredQuarantine){
        .parts = parts, .until_ms = END_MS, .has_probes = true});
    CaroPromptGuard_OnStored(f->guards[0], stored, strlen(stored), WALL_MS,
                             f->now);
    run(f, CONTACT, 1.0, 0.0);
    assert_true(is_refused_by_all(f, ROUTE_PART, DEADLY_PART));
    CaroPromptGuard_RecordEvents(f->guards[5], &parts,
                                 CARO_PROMPT_PROGRESS_MIN, f->now);
    run(f, CONTACT, 1.0, 0.0);
    for (int i = 0; i < f->n_vms; i++) {
        assert_false(CaroPromptGuard_Refuses(f->guards[i], &parts, f->now));
    }
    run(f, 10 * CARO_SECOND, 1.0, 0.0);
    assert_false(CaroPromptGuard_Refuses(f->guards[0], &parts, f->now));
    free(stored);
    destroy_fleet(f);
}

static void
test_quarantine_expires(void **state)
{
    (void)state;
    CaroCounters counters = {0};
    CaroTargets *targets = CaroTargets_Create();
    CaroPromptGuard *g = CaroPromptGuard_Create(targets, NULL, &counters);
    CaroPromptParts parts = {.ids = {DEADLY_PART}, .n = 1};
    char *stored = CaroPlatform_WriteQuarantine(&(CaroStoredQuarantine){
        .parts = parts, .until_ms = END_MS, .has_probes = true});
    CaroPromptGuard_OnStored(g, stored, strlen(stored), WALL_MS, CARO_SECOND);
    CaroTime last = CARO_SECOND + CARO_QUARANTINE_TTL - 1;
    assert_true(CaroPromptGuard_Refuses(g, &parts, last));
    assert_false(CaroPromptGuard_Refuses(g, &parts, last + 1));
    /* What is read again lives no longer, also with a clock far behind. */
    CaroTime end = last + 1;
    CaroPromptGuard_Tick(g, 0, end);
    CaroPromptGuard_OnStored(g, stored, strlen(stored), END_MS, end);
    assert_false(CaroPromptGuard_Refuses(g, &parts, end));
    CaroPromptGuard_OnStored(g, stored, strlen(stored), END_MS - 10, end);
    assert_true(CaroPromptGuard_Refuses(g, &parts, end));
    end += 10 * CARO_MS;
    assert_false(CaroPromptGuard_Refuses(g, &parts, end));
    CaroPromptGuard_Tick(g, 0, end + CARO_SECOND);
    CaroPromptGuard_OnStored(g, stored, strlen(stored), -END_MS, end);
    assert_true(CaroPromptGuard_Refuses(g, &parts, end));
    assert_false(
        CaroPromptGuard_Refuses(g, &parts, end + CARO_QUARANTINE_TTL));
    free(stored);
    CaroPromptGuard_Destroy(g);
    CaroTargets_Destroy(targets);
}

static void
test_bad_reports_and_stored_values(void **state)
{
    (void)state;
    CaroCounters counters = {0};
    CaroTargets *targets = CaroTargets_Create();
    CaroPromptGuard *g = CaroPromptGuard_Create(targets, NULL, &counters);
    CaroTime now = 5 * CARO_SECOND;
    CaroPromptParts none = {.n = 0};
    char too_many[(CARO_PROMPT_PARTS_MAX + 1) * 17 + 64];
    size_t at = (size_t)sprintf(too_many, "{\"parts\":\"");
    for (int i = 0; i <= CARO_PROMPT_PARTS_MAX; i++) {
        at += (size_t)sprintf(too_many + at, "%s%016x", i == 0 ? "" : ",", i);
    }
    (void)sprintf(too_many + at, "\",\"until_ms\":9000}");
    const char *const values[] = {
        "",
        "{",
        "[]",
        "{}",
        "{\"parts\":1}",
        "{\"parts\":\"\",\"until_ms\":9000}",
        "{\"parts\":\"0000000000000001\"}",
        "{\"parts\":\"0000000000000001\",\"until_ms\":\"9000\"}",
        "{\"parts\":\"0000000000000001\",\"until_ms\":-9}",
        "{\"parts\":\"xyz\",\"until_ms\":9000}",
        "{\"parts\":\"0000000000000001,\",\"until_ms\":9000}",
        too_many};
    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
        CaroPromptGuard_OnStored(g, values[i], strlen(values[i]), WALL_MS,
                                 now);
    }
    CaroPromptGuard_OnStored(g, NULL, 0, WALL_MS, now);
    caro_prompt_crash crash = {.upstream = 1, .age_ms = UINT32_MAX};
    caro_prompt_begin begin = {.part = 1, .age_ms = UINT32_MAX};
    u_quad_t parts[2] = {7, 7};
    caro_quarantine quarantines[2] = {
        {.age_ms = 0, .left_ms = UINT32_MAX},
        {.parts = {.parts_len = 2, .parts_val = parts}, .left_ms = 0}};
    caro_prompt_report report = {
        .sender = "x",
        .crashes = {.crashes_len = 1, .crashes_val = &crash},
        .begins = {.begins_len = 1, .begins_val = &begin},
        .quarantines = {.quarantines_len = 2, .quarantines_val = quarantines}};
    CaroPromptGuard_ApplyOld(g, &report, now);
    json_t *all = CaroPromptGuard_Dump(g, now);
    assert_int_equal(json_array_size(all), 0);
    json_decref(all);
    assert_false(CaroPromptGuard_Refuses(g, &none, now));
    CaroPromptGuard_Destroy(g);
    CaroTargets_Destroy(targets);
}

/* Many crashes of different parts leave the tables bounded and useful. */
static void
test_more_crashes_than_the_table_holds(void **state)
{
    (void)state;
    Fleet *f = create_fleet(3, 1);
    for (uint64_t i = 0; i < 300; i++) {
        Request r = {.vm = 0};
        (void)snprintf(r.id, sizeof(r.id), "x%d", (int)i);
        CaroPromptParts_Add(&r.parts, RARE_PART + i);
        crash_upstream(f, start_upstream(f), &r);
        run(f, 50 * CARO_MS, 0.0, 0.0);
    }
    assert_int_equal(f->counters.values[CARO_COUNT_QUARANTINES], 0);
    f->deadly[0] = DEADLY_PART;
    run(f, 20 * CARO_SECOND, 1.0, 1.0);
    assert_int_equal(f->late[0], 0);
    assert_true(is_refused_by_all(f, ROUTE_PART, DEADLY_PART));
    destroy_fleet(f);
}

static void
apply_quarantine(CaroPromptGuard *g, CaroTime age, CaroTime now)
{
    u_quad_t part = DEADLY_PART;
    caro_quarantine q = {.parts = {.parts_len = 1, .parts_val = &part},
                         .age_ms = (u_int)(age / CARO_MS),
                         .left_ms = 500000};
    caro_prompt_report report = {
        .sender = "x",
        .quarantines = {.quarantines_len = 1, .quarantines_val = &q}};
    CaroPromptGuard_ApplyOld(g, &report, now);
}

/* The monotonic clock of a VM that has just booted is younger than the
   quarantine that another VM reports. */
static void
test_quarantine_older_than_the_clock_of_this_vm(void **state)
{
    (void)state;
    CaroCounters counters = {0};
    CaroTargets *targets = CaroTargets_Create();
    CaroPromptGuard *g = CaroPromptGuard_Create(targets, NULL, &counters);
    CaroPromptParts parts = {.ids = {DEADLY_PART}, .n = 1};
    CaroTime now = 20 * CARO_SECOND;
    apply_quarantine(g, 60 * CARO_SECOND, now);
    assert_true(CaroPromptGuard_Refuses(g, &parts, now));
    CaroPromptGuard_Tick(g, 0, now);
    assert_true(CaroPromptGuard_Refuses(g, &parts, now));
    CaroPromptGuard_Destroy(g);
    CaroTargets_Destroy(targets);
}

static void
test_crash_older_than_the_clock_of_this_vm(void **state)
{
    (void)state;
    CaroPromptCrashes *t = CaroPromptCrashes_Create();
    CaroPromptParts parts = {.ids = {DEADLY_PART}, .n = 1};
    CaroTime now = 20 * CARO_SECOND;
    int n;
    CaroPromptCrash crash = {.upstream = 1,
                             .request = 1,
                             .parts = parts,
                             .at = now - 30 * CARO_SECOND};
    CaroPromptCrashes_Record(t, &crash, now);
    (void)CaroPromptCrashes_List(t, &n);
    assert_int_equal(n, 1);
    CaroPromptCrashes_Destroy(t);
}

/* A quarantine that a begin has lifted stays lifted when a VM reads the
   store's copy of it again in a new list. */
static void
test_lifted_quarantine_is_not_renewed_by_its_stored_copy(void **state)
{
    (void)state;
    Fleet *f = create_fleet(20, 1);
    CaroPromptParts parts = {.ids = {DEADLY_PART}, .n = 1};
    char *stored = CaroPlatform_WriteQuarantine(&(CaroStoredQuarantine){
        .parts = parts, .until_ms = END_MS, .has_probes = true});
    CaroPromptGuard_OnStored(f->guards[0], stored, strlen(stored), WALL_MS,
                             f->now);
    run(f, CONTACT, 1.0, 0.0);
    CaroPromptGuard_RecordEvents(f->guards[5], &parts,
                                 CARO_PROMPT_PROGRESS_MIN, f->now);
    run(f, CONTACT, 1.0, 0.0);
    assert_false(CaroPromptGuard_Refuses(f->guards[0], &parts, f->now));
    CaroPromptGuard_OnStored(f->guards[0], stored, strlen(stored),
                             WALL_MS + 6000, f->now);
    run(f, CONTACT, 1.0, 0.0);
    int n_refusing = 0;
    for (int i = 0; i < f->n_vms; i++) {
        n_refusing += CaroPromptGuard_Refuses(f->guards[i], &parts, f->now);
    }
    assert_int_equal(n_refusing, 0);
    free(stored);
    destroy_fleet(f);
}

/* After a stall of this process the tick runs before the bytes are read that
   show that the upstream did not crash. */
static void
test_own_stall_is_not_a_crash_of_the_upstream(void **state)
{
    (void)state;
    CaroCounters counters = {0};
    CaroTargets *targets = CaroTargets_Create();
    CaroPromptGuard *g = CaroPromptGuard_Create(targets, NULL, &counters);
    CaroPromptParts parts = {.ids = {DEADLY_PART}, .n = 1};
    CaroTargetEntry e = {.slots = 4};
    CaroTime now = 1000 * CARO_SECOND;
    CARO_COPY(e.id, "t1");
    CaroHandle h = CaroTargets_Put(targets, &e, now);
    CaroPromptGuard_Tick(g, 0, now);
    CaroPromptAttempt attempt = {
        .target = h, .request_id = "r1", .parts = &parts, .started_at = now};
    CaroPromptLosses_RecordClose(CaroPromptGuard_Losses(g), &attempt, now);
    now += 400 * CARO_MS;
    CaroPromptGuard_Tick(g, 0, now);
    CaroTargets_RecordHeard(targets, h, now);
    CaroPromptGuard_Tick(g, 0, now + STEP);
    assert_int_equal(counters.values[CARO_COUNT_PROMPT_CRASHES], 0);
    CaroPromptGuard_Destroy(g);
    CaroTargets_Destroy(targets);
}

/* "different-first-parts" runs a test that is known to fail, see
   bench_prompt_parts.sh. */
int
main(int argc, char **argv)
{
    const struct CMUnitTest known_red[] = {
        cmocka_unit_test(test_deadly_part_behind_different_first_parts),
    };
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_deadly_part_crashes_no_more_engines),
        cmocka_unit_test(test_deadly_part_from_the_start_spares_the_route),
        cmocka_unit_test(test_two_deadly_parts_at_once),
        cmocka_unit_test(test_first_part_of_a_route_is_deadly),
        cmocka_unit_test(test_part_that_began_before_becomes_deadly),
        cmocka_unit_test(test_all_vms_lose_their_memory),
        cmocka_unit_test(test_rack_crashes_do_not_shut_out_sound_parts),
        cmocka_unit_test(
            test_engines_that_reset_requests_do_not_shut_out_sound_parts),
        cmocka_unit_test(
            test_one_engine_that_closes_all_does_not_shut_out_sound_parts),
        cmocka_unit_test(test_rare_part_that_begins_at_the_third_attempt),
        cmocka_unit_test(test_quarantine_is_lifted_when_its_parts_begin),
        cmocka_unit_test(test_quarantine_expires),
        cmocka_unit_test(test_bad_reports_and_stored_values),
        cmocka_unit_test(test_more_crashes_than_the_table_holds),
        cmocka_unit_test(test_quarantine_older_than_the_clock_of_this_vm),
        cmocka_unit_test(test_crash_older_than_the_clock_of_this_vm),
        cmocka_unit_test(
            test_lifted_quarantine_is_not_renewed_by_its_stored_copy),
        cmocka_unit_test(test_own_stall_is_not_a_crash_of_the_upstream),
    };
    if (argc > 1 && strcmp(argv[1], "different-first-parts") == 0) {
        return cmocka_run_group_tests(known_red, NULL, NULL);
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
