/* Tests of the table of targets with thousands of them: what is registered
   last is found and used, and a choice does not cost more with their number.
 */
#include "test.h"

#include "internal/caro_peer_loads.h"
#include "internal/caro_placement.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define S CARO_SECOND

static CaroHandle
put(CaroTargets *t, int number, const char *service, const char *domain)
{
    CaroTargetEntry e = {.slots = 16, .started_at_ms = 1};
    (void)snprintf(e.id, sizeof(e.id), "%s-%d", service, number);
    (void)snprintf(e.address, sizeof(e.address), "10.0.%d.%d:80", number / 250,
                   number % 250);
    CARO_COPY(e.domain, domain);
    CARO_COPY(e.service, service);
    CARO_COPY(e.version, "v1");
    return CaroTargets_Put(t, &e, S);
}

static CaroTargets *
make_targets(int n)
{
    static const char *const domains[] = {"a", "b", "c"};
    CaroTargets *t = CaroTargets_Create();
    for (int i = 0; i < n; i++) {
        assert_true(put(t, i, "engines", domains[i % 3]) != CARO_NO_HANDLE);
    }
    return t;
}

/* Guards against a table that is full before the last service registers: of
   3,000 targets the last three were left out. */
static void
test_service_that_registers_last_is_used(void **state)
{
    (void)state;
    CaroTargets *t = make_targets(3000);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    int chosen[3] = {0};
    CaroHandle h[3];
    for (int i = 0; i < 3; i++) {
        static const char *const domains[] = {"a", "b", "c"};
        h[i] = put(t, i, "orders", domains[i]);
        assert_true(h[i] != CARO_NO_HANDLE);
        assert_int_equal(CaroTargets_Find(t, i == 0   ? "orders-0"
                                             : i == 1 ? "orders-1"
                                                      : "orders-2"),
                         h[i]);
    }
    CaroPlacementQuery q = {.service = "orders", .domain = "a"};
    for (int i = 0; i < 30; i++) {
        CaroHandle at = CaroPlacement_Choose(t, &q, rng, 2 * S);
        assert_true(at >= h[0] && at <= h[2]);
        CaroTargets_Begin(t, at, false);
        chosen[at - h[0]]++;
    }
    assert_true(chosen[0] > 5 && chosen[1] > 5 && chosen[2] > 5);
    CaroTargets_Destroy(t);
    gsl_rng_free(rng);
}

/* Guards against a service that is shut out by a larger one once the table is
   full. */
static void
test_full_table_is_shared_among_services(void **state)
{
    (void)state;
    CaroTargets *t = make_targets(CARO_TARGETS_MAX);
    assert_int_equal(put(t, 0, "orders", "a"), CARO_NO_HANDLE);
    for (int i = 0; i < 3; i++) {
        CaroHandle replaced = CaroTargets_FindReplaceable(t, "orders");
        assert_true(replaced != CARO_NO_HANDLE);
        CaroTargets_Remove(t, replaced);
        assert_true(put(t, i, "orders", "a") != CARO_NO_HANDLE);
    }
    /* The largest service itself replaces nothing. */
    assert_int_equal(CaroTargets_FindReplaceable(t, "engines"),
                     CARO_NO_HANDLE);
    CaroTargets_Destroy(t);
}

/* Guards against samples that miss the targets that can be used. */
static void
test_last_usable_target_is_found(void **state)
{
    (void)state;
    enum { N = 3000 };
    CaroTargets *t = make_targets(N);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    CaroPlacementQuery q = {
        .service = "engines", .domain = "a", .is_stream = true};
    for (CaroHandle h = 0; h < N; h++) {
        if (h != 1234) {
            CaroTargets_Avoid(t, h, CARO_TARGET_FAILING, 2 * S);
        }
    }
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, 2 * S + 1), 1234);
    assert_true(CaroPlacement_HasUsable(t, &q, 2 * S + 1));
    CaroTargets_Avoid(t, 1234, CARO_TARGET_FAILING, 2 * S + 1);
    assert_false(CaroPlacement_HasUsable(t, &q, 2 * S + 2));
    /* All are avoided: the oldest failure is the best. */
    assert_true(CaroPlacement_Choose(t, &q, rng, 2 * S + 2) != 1234);
    CaroTargets_Destroy(t);
    gsl_rng_free(rng);
}

/* Guards against sums of reports that differ from the reports when targets
   restart between two of them. */
static void
test_loads_of_peers_after_restarts(void **state)
{
    (void)state;
    CaroTargets *t = make_targets(30);
    CaroPeerLoads *loads = CaroPeerLoads_Create(t);
    CaroTargetFailures failures;
    caro_target_load load = {.target = CaroTargets_GetConst(t, 4)->id_hash,
                             .streams = 3,
                             .prefill_tokens = 100};
    caro_load_report report = {.sender = "v1", .boot_id = 1, .sequence = 1};
    report.loads.loads_val = &load;
    report.loads.loads_len = 1;
    CaroPeerLoads_Apply(loads, &report, &failures, 2 * S);
    assert_int_equal(CaroTargets_GetConst(t, 4)->peer_streams, 3);
    CaroTargetEntry again = CaroTargets_GetConst(t, 4)->entry;
    again.started_at_ms = 2;
    CaroHandle h = CaroTargets_Put(t, &again, 3 * S);
    assert_int_equal(CaroTargets_GetConst(t, h)->peer_streams, 0);
    report.sequence = 2;
    load.streams = 1;
    CaroPeerLoads_Apply(loads, &report, &failures, 3 * S);
    assert_int_equal(CaroTargets_GetConst(t, h)->peer_streams, 1);
    CaroPeerLoads_Tick(loads, 10 * S);
    assert_int_equal(CaroTargets_GetConst(t, h)->peer_streams, 0);
    assert_int_equal(CaroTargets_GetConst(t, h)->peer_prefill_tokens, 0);
    CaroPeerLoads_Destroy(loads);
    CaroTargets_Destroy(t);
}

/* Processor time of one choice, in ns, with failures in each domain. */
static double
choice_ns(int n)
{
    enum { CHOICES = 2000 };
    CaroTargets *t = make_targets(n);
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    CaroPlacementQuery q = {
        .service = "engines", .domain = "a", .is_stream = true};
    struct timespec from;
    struct timespec to;
    for (CaroHandle h = 0; h < n; h += 7) {
        CaroTargets_Avoid(t, h, CARO_TARGET_FAILING, 2 * S);
    }
    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &from);
    for (int i = 0; i < CHOICES; i++) {
        CaroTime now = 2 * S + i;
        CaroHandle h = CaroPlacement_Choose(t, &q, rng, now);
        CaroTargets_Begin(t, h, true);
        (void)CaroPlacement_ChooseKvCopy(t, h, rng, now);
    }
    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &to);
    CaroTargets_Destroy(t);
    gsl_rng_free(rng);
    return ((double)(to.tv_sec - from.tv_sec) * 1e9 +
            (double)(to.tv_nsec - from.tv_nsec)) /
           CHOICES;
}

/* Guards against a choice whose cost grows with the number of targets.  The
   bound is the growth of the logarithm, 1.6, and as much again for caches. */
static void
test_cost_of_choice_does_not_grow(void **state)
{
    (void)state;
    double at_300 = choice_ns(300);
    double at_1000 = choice_ns(1000);
    double at_3000 = choice_ns(3000);
    double at_10000 = choice_ns(10000);
    (void)printf("ns a choice: 300: %.0f, 1,000: %.0f, 3,000: %.0f, "
                 "10,000: %.0f\n",
                 at_300, at_1000, at_3000, at_10000);
    assert_true(at_10000 < 3.2 * at_300);
}

/* Guards against new rules that apply to services whose targets never reported
   a processing time, or that end when the target that did is removed. */
static void
test_services_that_report_their_processing_time(void **state)
{
    (void)state;
    CaroTargets *t = CaroTargets_Create();
    CaroHandle a = put(t, 0, "a", "d");
    CaroHandle b = put(t, 0, "b", "d");
    CaroTargets_RecordLoad(t, a, 1, 2, 0, S);
    assert_false(CaroTargets_IsAdaptive(t, "a"));
    CaroTargets_RecordLoad(t, b, 1, 2, 182, S);
    assert_int_equal(CaroTargets_GetConst(t, b)->reported_work_percent, 182);
    CaroTargets_RecordLoad(t, b, 1, 2, 0, S);
    assert_int_equal(CaroTargets_GetConst(t, b)->reported_work_percent, 0);
    CaroTargets_Remove(t, b);
    assert_true(CaroTargets_IsAdaptive(t, "b"));
    assert_false(CaroTargets_IsAdaptive(t, "a"));
    /* More services than are recorded. */
    for (int i = 0; i < 1100; i++) {
        char service[CARO_NAME_SIZE];
        (void)snprintf(service, sizeof(service), "s%d", i);
        CaroTargets_RecordLoad(t, put(t, i, service, "d"), 1, 2, 100, S);
    }
    assert_true(CaroTargets_IsAdaptive(t, "b"));
    assert_false(CaroTargets_IsAdaptive(t, "a"));
    CaroTargets_Destroy(t);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_service_that_registers_last_is_used),
        cmocka_unit_test(test_full_table_is_shared_among_services),
        cmocka_unit_test(test_last_usable_target_is_found),
        cmocka_unit_test(test_loads_of_peers_after_restarts),
        cmocka_unit_test(test_services_that_report_their_processing_time),
        cmocka_unit_test(test_cost_of_choice_does_not_grow),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
