/* Tests of placement, of load reports between VMs and of the directory. */
#include "test.h"

#include "internal/caro_directory.h"
#include "internal/caro_peer_loads.h"
#include "internal/caro_placement.h"

#include <stdio.h>
#include <string.h>

#define S CARO_SECOND

enum { ENGINES = 18, VMS = 13 };

static void
put_engine(CaroTargets *t, const char *id, const char *domain, CaroTime now)
{
    CaroTargetEntry e = {.slots = 64};
    CARO_COPY(e.id, id);
    CARO_COPY(e.address, "10.0.0.1:80");
    CARO_COPY(e.domain, domain);
    CARO_COPY(e.service, "chat");
    CARO_COPY(e.version, "v1");
    assert_true(CaroTargets_Put(t, &e, now) != CARO_NO_HANDLE);
}

/* Returns the target table of one VM, with engines in three domains. */
static CaroTargets *
make_targets(void)
{
    static const char *const domains[] = {"a", "b", "c"};
    CaroTargets *t = CaroTargets_Create();
    for (int i = 0; i < ENGINES; i++) {
        char id[16];
        (void)snprintf(id, sizeof(id), "e%d", i);
        put_engine(t, id, domains[i % 3], S);
    }
    return t;
}

static CaroPlacementQuery
query_from(const char *domain)
{
    return (CaroPlacementQuery){
        .service = "chat", .domain = domain, .is_stream = true};
}

/* One VM of the simulation below. */
typedef struct {
    CaroTargets *targets;
    CaroPeerLoads *peer_loads;
    const char *domain;
    char name[8];
    uint32_t sequence;
} Vm;

static void
send_load_report(Vm *vms, int from, CaroTime now)
{
    caro_target_load loads[CARO_LOADS_MAX];
    CaroTargetFailures failures;
    caro_load_report report = {.sender = vms[from].name,
                               .boot_id = 1,
                               .sequence = ++vms[from].sequence};
    report.loads.loads_val = loads;
    report.loads.loads_len =
        (u_int)CaroPeerLoads_Collect(vms[from].targets, loads, now);
    for (int vm = 0; vm < VMS; vm++) {
        if (vm != from) {
            CaroPeerLoads_Apply(vms[vm].peer_loads, &report, &failures, now);
        }
    }
}

typedef struct {
    bool has_reports;  /* The VMs send each other load reports. */
    CaroTime interval; /* Time between the starts of two streams. */
    CaroTime duration; /* Duration of a stream, with its prefill. */
} Load;

typedef struct {
    double queued_fraction; /* Streams placed at an engine in prefill. */
    int held_max;           /* Streams and copies at one engine. */
} LoadResult;

/* Simulates streams over 13 VMs.  Each has a prefill of one second and one KV
   copy. */
static LoadResult
simulate_load(Load load)
{
    enum { STREAMS = 600, PROMPT = 8200 };
    static struct {
        int vm;
        CaroHandle engine;
        CaroHandle copy;
        CaroTime prefilled_at;
        CaroTime ends_at;
    } streams[STREAMS];
    Vm vms[VMS];
    LoadResult result = {0};
    int held[ENGINES] = {0};
    int queued = 0;
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(rng, 7);
    for (int vm = 0; vm < VMS; vm++) {
        static const char *const domains[] = {"a", "b", "c"};
        vms[vm] = (Vm){.targets = make_targets(), .domain = domains[vm % 3]};
        vms[vm].peer_loads = CaroPeerLoads_Create(vms[vm].targets);
        (void)snprintf(vms[vm].name, sizeof(vms[vm].name), "v%d", vm);
    }
    for (int i = 0; i < STREAMS; i++) {
        CaroTime now = 2 * S + i * load.interval;
        for (int j = 0; j < i; j++) {
            if (streams[j].prefilled_at != 0 &&
                now >= streams[j].prefilled_at) {
                streams[j].prefilled_at = 0;
                CaroTargets_AddPrefill(vms[streams[j].vm].targets,
                                       streams[j].engine, -PROMPT);
                if (load.has_reports) {
                    send_load_report(vms, streams[j].vm, now);
                }
            }
            if (streams[j].ends_at != 0 && now >= streams[j].ends_at) {
                streams[j].ends_at = 0;
                CaroTargets_End(vms[streams[j].vm].targets, streams[j].engine,
                                true);
                CaroTargets_EndKvCopy(vms[streams[j].vm].targets,
                                      streams[j].copy);
                held[streams[j].engine]--;
                held[streams[j].copy]--;
                if (load.has_reports) {
                    send_load_report(vms, streams[j].vm, now);
                }
            }
        }
        int vm = (int)gsl_rng_uniform_int(rng, VMS);
        CaroPlacementQuery q = query_from(vms[vm].domain);
        CaroHandle h = CaroPlacement_Choose(vms[vm].targets, &q, rng, now);
        for (int j = 0; j < i; j++) {
            if (streams[j].engine == h && streams[j].prefilled_at != 0) {
                queued++;
                break;
            }
        }
        CaroTargets_Begin(vms[vm].targets, h, true);
        CaroTargets_AddPrefill(vms[vm].targets, h, PROMPT);
        streams[i].vm = vm;
        streams[i].engine = h;
        streams[i].copy =
            CaroPlacement_ChooseKvCopy(vms[vm].targets, h, rng, now);
        CaroTargets_BeginKvCopy(vms[vm].targets, streams[i].copy);
        held[h]++;
        held[streams[i].copy]++;
        for (int j = 0; j < ENGINES; j++) {
            result.held_max =
                held[j] > result.held_max ? held[j] : result.held_max;
        }
        streams[i].prefilled_at = now + S;
        streams[i].ends_at = now + load.duration;
        if (load.has_reports) {
            send_load_report(vms, vm, now);
        }
    }
    for (int vm = 0; vm < VMS; vm++) {
        CaroPeerLoads_Destroy(vms[vm].peer_loads);
        CaroTargets_Destroy(vms[vm].targets);
    }
    gsl_rng_free(rng);
    result.queued_fraction = (double)queued / STREAMS;
    return result;
}

/* A prompt that queues behind the prefill of another gets its first event
   late.  With load reports between the VMs this hardly happens. */
static void
test_prompts_rarely_queue_with_load_reports(void **state)
{
    (void)state;
    Load load = {.interval = 200 * CARO_MS, .duration = 5 * S};
    double without = simulate_load(load).queued_fraction;
    load.has_reports = true;
    double with = simulate_load(load).queued_fraction;
    print_message(
        "prompts queued behind another: %.3f without reports, %.3f with\n",
        without, with);
    assert_true(with < 0.01);
    assert_true(without > 5.0 * with);
}

/* An engine whose memory is full preempts streams, and their callers wait for
   more than a second.  An engine holds 88,000 tokens, which is nine streams or
   copies of 8,900 tokens.  At eight streams a second, each of six seconds, an
   engine holds 5.3 of them on average. */
static void
test_memory_is_not_overcommitted(void **state)
{
    (void)state;
    Load load = {.interval = 125 * CARO_MS, .duration = 6 * S};
    int without = simulate_load(load).held_max;
    load.has_reports = true;
    int with = simulate_load(load).held_max;
    print_message("held at one engine at most: %d without reports, %d with\n",
                  without, with);
    assert_true(with <= 88000 / 8900);
}

static void
test_failed_domain_is_avoided(void **state)
{
    (void)state;
    CaroTargets *t = make_targets();
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    CaroPlacementQuery q = query_from("a");
    CaroTime now = 10 * S;
    for (int i = 0; i < 50; i++) {
        CaroHandle h = CaroPlacement_Choose(t, &q, rng, now);
        assert_string_equal(CaroTargets_GetConst(t, h)->entry.domain, "a");
    }
    /* Two of six in "a" refuse connections: the others are avoided too. */
    CaroTargets_Avoid(t, 0, CARO_TARGET_GONE, now);
    CaroTargets_Avoid(t, 3, CARO_TARGET_GONE, now);
    for (int i = 0; i < 50; i++) {
        CaroHandle h = CaroPlacement_Choose(t, &q, rng, now);
        assert_string_not_equal(CaroTargets_GetConst(t, h)->entry.domain, "a");
    }
    /* A target that started after the crash is chosen. */
    put_engine(t, "fresh", "a", now + 3 * S);
    CaroTargets_Avoid(t, 6, CARO_TARGET_GONE, now + 3 * S);
    CaroHandle h = CaroPlacement_Choose(t, &q, rng, now + 3 * S);
    assert_string_equal(CaroTargets_GetConst(t, h)->entry.id, "fresh");
    gsl_rng_free(rng);
    CaroTargets_Destroy(t);
}

static void
test_kv_copies_are_in_another_domain(void **state)
{
    (void)state;
    CaroTargets *t = make_targets();
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    for (int i = 0; i < 50; i++) {
        CaroHandle h = CaroPlacement_ChooseKvCopy(t, 0, rng, S);
        assert_string_not_equal(CaroTargets_GetConst(t, h)->entry.domain, "a");
        CaroTargets_BeginKvCopy(t, h);
    }
    gsl_rng_free(rng);
    CaroTargets_Destroy(t);
}

/* A crashed engine stays registered until its lease expires.  A stream whose
   KV copy was placed there has no copy when its own engine is lost. */
static void
test_kv_copy_avoids_suspected_targets(void **state)
{
    (void)state;
    CaroTargets *t = make_targets();
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    CaroTime now = 10 * S;
    CaroHandle dead = CaroPlacement_ChooseKvCopy(t, 0, rng, now);
    CaroTargets_RecordHeard(t, dead, now - S);
    CaroTargets_Avoid(t, dead, CARO_TARGET_FAILING, now);
    now += 4 * S; /* It is no longer avoided. */
    for (int i = 0; i < 500; i++) {
        assert_int_not_equal(CaroPlacement_ChooseKvCopy(t, 0, rng, now), dead);
    }
    /* Another VM reports events from there. */
    CaroTargets_RecordHeard(t, dead, now);
    bool is_chosen = false;
    for (int i = 0; i < 500; i++) {
        is_chosen |= CaroPlacement_ChooseKvCopy(t, 0, rng, now) == dead;
    }
    assert_true(is_chosen);
    /* If all are suspected, one of them is still chosen. */
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        CaroTargets_Avoid(t, h, CARO_TARGET_FAILING, now);
    }
    assert_int_not_equal(CaroPlacement_ChooseKvCopy(t, 0, rng, now + 3 * S),
                         CARO_NO_HANDLE);
    gsl_rng_free(rng);
    CaroTargets_Destroy(t);
}

static void
test_leaving_and_failed_targets(void **state)
{
    (void)state;
    CaroTargets *t = CaroTargets_Create();
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    CaroPlacementQuery q = query_from("a");
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, S), CARO_NO_HANDLE);
    put_engine(t, "e0", "a", S);
    CaroTargets_Get(t, 0)->entry.is_leaving = true;
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, S), CARO_NO_HANDLE);
    put_engine(t, "e1", "b", S);
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, S), 1);
    /* The only target is chosen although it failed before, but not again
       by a request that has tried it. */
    CaroTargets_Avoid(t, 1, CARO_TARGET_FAILING, S);
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, S), 1);
    q.tried[q.n_tried++] = 1;
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, S), CARO_NO_HANDLE);
    gsl_rng_free(rng);
    CaroTargets_Destroy(t);
}

/* A restart under the same id is another target: it inherits no state, and
   the old slot is freed only when nothing uses it. */
static void
test_restarted_target_is_another_target(void **state)
{
    (void)state;
    CaroTargets *t = CaroTargets_Create();
    CaroTargetEntry e = {.started_at_ms = 1000};
    CARO_COPY(e.id, "e0");
    CARO_COPY(e.address, "10.0.0.1:80");
    CARO_COPY(e.service, "chat");
    CaroHandle old = CaroTargets_Put(t, &e, S);
    CaroTargets_Begin(t, old, false);
    CaroTargets_Avoid(t, old, CARO_TARGET_GONE, S);
    assert_int_equal(CaroTargets_Put(t, &e, S), old);
    e.started_at_ms = 2000;
    CaroHandle fresh = CaroTargets_Put(t, &e, 2 * S);
    assert_int_not_equal(fresh, old);
    assert_true(CaroTarget_IsUsable(CaroTargets_GetConst(t, fresh), 2 * S));
    assert_false(CaroTargets_GetConst(t, old)->is_present);
    assert_true(CaroTargets_GetConst(t, old)->is_used);
    CaroTargets_End(t, old, false);
    assert_false(CaroTargets_GetConst(t, old)->is_used);
    CaroTargets_Destroy(t);
}

static void
test_old_load_reports_are_dropped(void **state)
{
    (void)state;
    CaroTargets *t = make_targets();
    CaroPeerLoads *b = CaroPeerLoads_Create(t);
    CaroTargetFailures failures;
    caro_target_load load = {.target = CaroTargets_GetConst(t, 2)->id_hash,
                             .streams = 3,
                             .prefill_tokens = 100,
                             .idle_ms = 300,
                             .failure = CARO_FAILURE_SILENT};
    caro_load_report report = {.sender = "v1", .boot_id = 5, .sequence = 2};
    report.loads.loads_val = &load;
    report.loads.loads_len = 1;
    CaroPeerLoads_Apply(b, &report, &failures, S);
    assert_int_equal(CaroTargets_GetConst(t, 2)->peer_streams, 3);
    assert_int_equal(failures.n, 1);
    assert_int_equal(failures.all[0].failure, CARO_TARGET_SILENT);
    assert_int_equal(CaroTargets_GetConst(t, 2)->last_heard_at,
                     S - 300 * CARO_MS);
    report.sequence = 1;
    load.streams = 9;
    CaroPeerLoads_Apply(b, &report, &failures, S);
    assert_int_equal(CaroTargets_GetConst(t, 2)->peer_streams, 3);
    assert_int_equal(failures.n, 0);
    /* A restarted sender numbers its reports from 1 again.  The report of a
       sender that has stopped sending is removed. */
    report.boot_id = 6;
    CaroPeerLoads_Apply(b, &report, &failures, 2 * S);
    assert_int_equal(CaroTargets_GetConst(t, 2)->peer_streams, 9);
    CaroPeerLoads_Tick(b, 60 * S);
    assert_int_equal(CaroTargets_GetConst(t, 2)->peer_streams, 0);
    assert_int_equal(CaroTargets_GetConst(t, 2)->peer_prefill_tokens, 0);
    CaroPeerLoads_Destroy(b);
    CaroTargets_Destroy(t);
}

/* The sums of absurd reports stay in range, and placement still chooses. */
static void
test_load_reports_beyond_all_bounds(void **state)
{
    (void)state;
    CaroTargets *t = make_targets();
    CaroPeerLoads *b = CaroPeerLoads_Create(t);
    CaroTargetFailures failures;
    caro_target_load loads[CARO_LOADS_MAX];
    static const u_int numbers[] = {0x7fffffff, 0xffffffff, 0x80000000};
    for (int i = 0; i < CARO_LOADS_MAX; i++) {
        u_int number = numbers[i % 3];
        loads[i] =
            (caro_target_load){.target = CaroTargets_GetConst(t, 2)->id_hash,
                               .streams = number,
                               .prefill_tokens = number,
                               .kv_copies = number,
                               .idle_ms = number,
                               .failure = (caro_target_failure)(i - 8)};
    }
    for (u_int i = 0; i < 400; i++) {
        char name[16];
        (void)snprintf(name, sizeof(name), "v%u", i);
        caro_load_report report = {
            .sender = name, .boot_id = 5, .sequence = 0xffffffff};
        report.loads.loads_val = loads;
        report.loads.loads_len = CARO_LOADS_MAX;
        CaroPeerLoads_Apply(b, &report, &failures, S);
    }
    const CaroTarget *target = CaroTargets_GetConst(t, 2);
    assert_true(target->peer_streams >= 0 && target->peer_kv_copies >= 0 &&
                target->peer_prefill_tokens >= 0);
    CaroPlacementQuery q = query_from("d1");
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    assert_int_not_equal(CaroPlacement_Choose(t, &q, rng, S), 2);
    (void)CaroPlacement_ChooseKvCopy(t, 0, rng, S);
    gsl_rng_free(rng);
    CaroPeerLoads_Destroy(b);
    CaroTargets_Destroy(t);
}

/* A target that restarts under its id has none of the streams reported for
   the earlier start.  Their end must not be subtracted from its count. */
static void
test_load_report_of_an_earlier_start(void **state)
{
    (void)state;
    CaroTargets *t = CaroTargets_Create();
    CaroPeerLoads *b = CaroPeerLoads_Create(t);
    CaroTargetFailures failures;
    CaroTargetEntry e = {.started_at_ms = 1000};
    CARO_COPY(e.id, "e0");
    CaroHandle h = CaroTargets_Put(t, &e, S);
    caro_target_load load = {.target = CaroTargets_GetConst(t, h)->id_hash,
                             .streams = 3};
    caro_load_report report = {.sender = "v1", .boot_id = 5, .sequence = 1};
    report.loads.loads_val = &load;
    report.loads.loads_len = 1;
    CaroPeerLoads_Apply(b, &report, &failures, S);
    e.started_at_ms = 2000;
    h = CaroTargets_Put(t, &e, S);
    assert_int_equal(CaroTargets_GetConst(t, h)->peer_streams, 0);
    report.sequence = 2;
    report.loads.loads_len = 0;
    CaroPeerLoads_Apply(b, &report, &failures, S);
    assert_int_equal(CaroTargets_GetConst(t, h)->peer_streams, 0);
    CaroPeerLoads_Destroy(b);
    CaroTargets_Destroy(t);
}

static void
add_vm(CaroMembership *m, const char *name, const char *domain,
       caro_member_state state)
{
    caro_member_update u = {.name = (char *)name,
                            .http = (char *)name,
                            .peer = (char *)name,
                            .domain = (char *)domain,
                            .region = "r",
                            .incarnation = 1,
                            .boot_id = 1,
                            .state = state};
    (void)CaroMembership_Apply(m, &u, S);
}

static void
test_directory_prefers_the_callers_domain(void **state)
{
    (void)state;
    const char *out[CARO_DIRECTORY_MAX];
    CaroVm self = {.name = "a1", .http = "a1", .domain = "a", .boot_id = 1};
    CaroMembership *m = CaroMembership_Create(&self, S, 1, S);
    add_vm(m, "a2", "a", CARO_MEMBER_ALIVE);
    add_vm(m, "b1", "b", CARO_MEMBER_ALIVE);
    add_vm(m, "b2", "b", CARO_MEMBER_LEAVING);
    assert_int_equal(CaroDirectory_List(m, "a", true, out), 2);
    /* "b" has one ready VM: too few to tolerate the loss of one. */
    assert_int_equal(CaroDirectory_List(m, "b", true, out), 3);
    assert_int_equal(CaroDirectory_List(m, "a", false, out), 2);
    assert_int_equal(CaroDirectory_List(m, NULL, true, out), 3);
    CaroMembership_Destroy(m);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_prompts_rarely_queue_with_load_reports),
        cmocka_unit_test(test_memory_is_not_overcommitted),
        cmocka_unit_test(test_failed_domain_is_avoided),
        cmocka_unit_test(test_kv_copies_are_in_another_domain),
        cmocka_unit_test(test_kv_copy_avoids_suspected_targets),
        cmocka_unit_test(test_leaving_and_failed_targets),
        cmocka_unit_test(test_restarted_target_is_another_target),
        cmocka_unit_test(test_old_load_reports_are_dropped),
        cmocka_unit_test(test_load_reports_beyond_all_bounds),
        cmocka_unit_test(test_load_report_of_an_earlier_start),
        cmocka_unit_test(test_directory_prefers_the_callers_domain),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
