/*
 * Tests of what targets announce in their responses, on virtual time: which
 * targets are used, and what VMs report to each other.
 */
#include "test.h"

#include "internal/caro_peer_loads.h"
#include "internal/caro_placement.h"

#include <stdio.h>
#include <string.h>

#define S CARO_SECOND

static CaroHandle
put(CaroTargets *t, const char *id, const char *domain, int64_t started_at_ms,
    CaroTime now)
{
    CaroTargetEntry e = {.slots = 8, .started_at_ms = started_at_ms};
    CARO_COPY(e.id, id);
    CARO_COPY(e.address, "10.0.0.1:80");
    CARO_COPY(e.domain, domain);
    CARO_COPY(e.service, "chat");
    CARO_COPY(e.version, "v1");
    return CaroTargets_Put(t, &e, now);
}

typedef struct {
    CaroTargets *targets;
    CaroPeerLoads *peer_loads;
    gsl_rng *rng;
    CaroPlacementQuery query;
    uint32_t sequence;
} Vm;

static void
start_vm(Vm *vm)
{
    *vm = (Vm){.targets = CaroTargets_Create(),
               .rng = gsl_rng_alloc(gsl_rng_taus2),
               .query = {.service = "chat", .domain = "d1"}};
    vm->peer_loads = CaroPeerLoads_Create(vm->targets);
}

static void
stop_vm(Vm *vm)
{
    CaroPeerLoads_Destroy(vm->peer_loads);
    CaroTargets_Destroy(vm->targets);
    gsl_rng_free(vm->rng);
}

static CaroHandle
choose(Vm *vm, CaroTime now)
{
    return CaroPlacement_Choose(vm->targets, &vm->query, vm->rng, now);
}

/* Sends the report of a VM to another one.  Returns how many targets the
   receiver learns to be leaving. */
static int
report(Vm *from, Vm *to, CaroTime now)
{
    caro_target_load loads[CARO_LOADS_MAX];
    CaroTargetFailures failures;
    caro_load_report out = {
        .sender = "from", .boot_id = 1, .sequence = ++from->sequence};
    out.loads.loads_val = loads;
    out.loads.loads_len =
        (u_int)CaroPeerLoads_Collect(from->targets, loads, now);
    assert_true(out.loads.loads_len <= CARO_LOADS_MAX);
    CaroPeerLoads_Apply(to->peer_loads, &out, &failures, now);
    return failures.n_leaving;
}

static void
test_leaving_target_gets_neither_requests_nor_kv_copies(void **state)
{
    (void)state;
    Vm vm;
    start_vm(&vm);
    CaroHandle a = put(vm.targets, "a", "d1", 1, S);
    CaroHandle b = put(vm.targets, "b", "d2", 1, S);
    CaroHandle c = put(vm.targets, "c", "d2", 1, S);
    CaroTargets_RecordLeaving(vm.targets, b, S);
    for (int i = 0; i < 100; i++) {
        assert_int_not_equal(choose(&vm, S + i * CARO_MS), b);
        assert_int_equal(CaroPlacement_ChooseKvCopy(vm.targets, a, vm.rng, S),
                         c);
    }
    assert_false(
        CaroTarget_IsUsable(CaroTargets_GetConst(vm.targets, b), 2 * S));
    /* A failure of the others does not make it a choice. */
    CaroTargets_Avoid(vm.targets, a, CARO_TARGET_FAILING, S);
    CaroTargets_Avoid(vm.targets, c, CARO_TARGET_FAILING, S);
    assert_int_not_equal(choose(&vm, S), b);
    stop_vm(&vm);
}

static void
test_notice_is_reported_and_not_passed_on(void **state)
{
    (void)state;
    Vm vms[3];
    CaroHandle h[3];
    for (int i = 0; i < 3; i++) {
        start_vm(&vms[i]);
        put(vms[i].targets, "a", "d1", 1, S);
        h[i] = put(vms[i].targets, "b", "d1", 1, S);
    }
    CaroTargets_RecordLeaving(vms[0].targets, h[0], 2 * S);
    assert_int_equal(report(&vms[0], &vms[1], 2 * S), 1);
    assert_int_equal(report(&vms[0], &vms[1], 2 * S), 0); /* Known by now. */
    assert_int_equal(report(&vms[1], &vms[2], 2 * S), 0);
    for (int i = 0; i < 50; i++) {
        assert_int_not_equal(choose(&vms[1], 2 * S + i * CARO_MS), h[1]);
    }
    for (int i = 0; i < 3; i++) {
        stop_vm(&vms[i]);
    }
}

/* A report may be older than the next start of the target, or arrive before
   the registration is listed. */
static void
test_report_applies_to_one_start(void **state)
{
    (void)state;
    Vm from;
    Vm to;
    start_vm(&from);
    start_vm(&to);
    CaroHandle h = put(from.targets, "a", "d1", 1, S);
    CaroTargets_RecordLeaving(from.targets, h, S);
    CaroHandle anew = put(to.targets, "a", "d1", 2, S);
    assert_int_equal(report(&from, &to, S), 0);
    assert_int_equal(choose(&to, S), anew);
    put(to.targets, "b", "d1", 1, S);
    CaroHandle old = put(to.targets, "a", "d1", 1, 2 * S);
    for (int i = 0; i < 50; i++) {
        assert_int_not_equal(choose(&to, 2 * S + i * CARO_MS), old);
    }
    stop_vm(&from);
    stop_vm(&to);
}

/* All upstreams of a service seem to leave at once, which may be false. */
static void
test_last_choice_when_all_seem_to_leave(void **state)
{
    (void)state;
    Vm from;
    Vm to;
    start_vm(&from);
    start_vm(&to);
    for (int i = 0; i < 3; i++) {
        char id[8];
        (void)snprintf(id, sizeof(id), "t%d", i);
        CaroTargets_RecordLeaving(from.targets,
                                  put(from.targets, id, "d1", 1, S), S);
        put(to.targets, id, "d1", 1, S);
    }
    assert_int_equal(report(&from, &to, S), 3);
    /* The VM that read it obeys, the other one finds out for itself. */
    assert_int_equal(choose(&from, S), CARO_NO_HANDLE);
    CaroHandle h = choose(&to, S);
    assert_int_not_equal(h, CARO_NO_HANDLE);
    CaroTargets_RecordLeaving(to.targets, h, S);
    assert_int_not_equal(choose(&to, S), h);
    /* A target with a true notice is gone long before. */
    assert_int_equal(choose(&from, 59 * S), CARO_NO_HANDLE);
    assert_int_not_equal(choose(&from, 62 * S), CARO_NO_HANDLE);
    /* Any target without a notice is preferred. */
    h = put(from.targets, "t9", "d1", 1, 62 * S);
    CaroTargets_Avoid(from.targets, h, CARO_TARGET_FAILING, 62 * S);
    assert_int_equal(choose(&from, 62 * S), h);
    stop_vm(&from);
    stop_vm(&to);
}

static void
test_unavailable_targets(void **state)
{
    (void)state;
    Vm vm;
    start_vm(&vm);
    CaroHandle a = put(vm.targets, "a", "d1", 1, S);
    CaroHandle b = put(vm.targets, "b", "d1", 1, S);
    CaroHandle c = put(vm.targets, "c", "d1", 1, S);
    assert_int_equal(CaroPlacement_AvailableAt(vm.targets, &vm.query, S), 0);
    CaroTargets_RecordUnavailable(vm.targets, a, 9 * S);
    CaroTargets_RecordUnavailable(vm.targets, b, 5 * S);
    CaroTargets_RecordUnavailable(vm.targets, b, 3 * S); /* The later holds. */
    assert_int_equal(choose(&vm, 2 * S), c);
    assert_int_equal(CaroPlacement_AvailableAt(vm.targets, &vm.query, 2 * S),
                     0);
    CaroTargets_RecordLeaving(vm.targets, c, 2 * S);
    assert_int_equal(choose(&vm, 2 * S), CARO_NO_HANDLE);
    assert_int_equal(CaroPlacement_AvailableAt(vm.targets, &vm.query, 2 * S),
                     5 * S);
    assert_int_equal(choose(&vm, 5 * S), b);
    /* Not even as the oldest failure. */
    CaroTargets_Avoid(vm.targets, b, CARO_TARGET_FAILING, 5 * S);
    CaroTargets_Avoid(vm.targets, a, CARO_TARGET_FAILING, 4 * S);
    assert_int_equal(choose(&vm, 5 * S), b);
    /* It belongs to one start. */
    CaroHandle anew = put(vm.targets, "a", "d1", 2, 6 * S);
    assert_true(
        CaroTarget_IsUsable(CaroTargets_GetConst(vm.targets, anew), 6 * S));
    stop_vm(&vm);
}

static void
test_notices_of_many_removed_targets(void **state)
{
    (void)state;
    enum { N = 1000, KEPT = 200 };
    Vm vm;
    start_vm(&vm);
    for (int i = 0; i < N; i++) {
        char id[16];
        (void)snprintf(id, sizeof(id), "t%d", i);
        CaroHandle h = put(vm.targets, id, "d1", 1, S);
        CaroTargets_RecordLeaving(vm.targets, h, S);
        CaroTargets_Remove(vm.targets, h);
    }
    for (int i = N - KEPT; i < N; i++) {
        char id[16];
        (void)snprintf(id, sizeof(id), "t%d", i);
        CaroHandle h = put(vm.targets, id, "d1", 1, S);
        assert_false(
            CaroTarget_IsOpen(CaroTargets_GetConst(vm.targets, h), S));
    }
    assert_int_equal(choose(&vm, S), CARO_NO_HANDLE);
    stop_vm(&vm);
}

/* A target that is still in use when it is removed, as by a stream that runs
   to its end, keeps its notice for the next listing. */
static void
test_notice_of_a_target_that_is_in_use(void **state)
{
    (void)state;
    Vm vm;
    start_vm(&vm);
    CaroHandle old = put(vm.targets, "a", "d1", 1, S);
    CaroTargets_Begin(vm.targets, old, true);
    CaroTargets_Remove(vm.targets, old);
    CaroTargets_RecordLeaving(vm.targets, old, S);
    CaroHandle anew = put(vm.targets, "a", "d1", 1, S);
    assert_int_not_equal(old, anew);
    assert_int_equal(choose(&vm, S), CARO_NO_HANDLE);
    CaroTargets_End(vm.targets, old, true);
    assert_int_equal(choose(&vm, S), CARO_NO_HANDLE);
    stop_vm(&vm);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_leaving_target_gets_neither_requests_nor_kv_copies),
        cmocka_unit_test(test_notice_is_reported_and_not_passed_on),
        cmocka_unit_test(test_report_applies_to_one_start),
        cmocka_unit_test(test_last_choice_when_all_seem_to_leave),
        cmocka_unit_test(test_unavailable_targets),
        cmocka_unit_test(test_notices_of_many_removed_targets),
        cmocka_unit_test(test_notice_of_a_target_that_is_in_use),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
