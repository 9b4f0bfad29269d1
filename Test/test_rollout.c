/* Tests of moves between versions: the share and the test. */
#include "test.h"

#include "internal/caro_rollout.h"

#include <stdio.h>

static const CaroRolloutPlan plan = {
    .state = CARO_ROLLOUT_RUNNING, .start_ms = 1000, .end_ms = 101000};

static void
test_the_share_follows_the_declared_times(void **state)
{
    (void)state;
    const CaroRolloutPace *pace = &CARO_PACE_CAREFUL;
    double last = 0.0;
    assert_true(CaroRolloutPlan_Share(&plan, pace, 999) <= 0.0);
    for (int64_t t = 1000; t <= 101000; t += 500) {
        double share = CaroRolloutPlan_Share(&plan, pace, t);
        assert_true(share >= last && share < 1.0);
        last = share;
    }
    assert_true(last > 0.9);
    CaroRolloutPlan done = plan;
    done.state = CARO_ROLLOUT_DONE;
    assert_true(CaroRolloutPlan_Share(&done, pace, 0) >= 1.0);
    done.state = CARO_ROLLOUT_ROLLED_BACK;
    assert_true(CaroRolloutPlan_Share(&done, pace, 200000) <= 0.0);
}

static void
test_few_vms_bear_a_small_share(void **state)
{
    (void)state;
    double sum = 0.0;
    int bearers = 0;
    for (int rank = 0; rank < 13; rank++) {
        double own = CaroRolloutPlan_VmShare(0.01, rank, 13);
        bearers += own > 0.0;
        sum += own;
    }
    assert_int_equal(bearers, 1);
    assert_true(sum > 0.1299 && sum < 0.1301);
}

/* Gives both versions samples, so many of 20 bad, and lets time pass. */
static bool
judge(CaroCanaryTest *r, int old_bad, int new_bad, int rounds)
{
    int64_t now = 0;
    for (int i = 0; i < rounds * 20; i++) {
        now += 100;
        CaroCanaryTest_AddSample(r, false, (uint64_t)i, i % 20 < old_bad, now);
        CaroCanaryTest_AddSample(r, true, (uint64_t)i, i % 20 < new_bad, now);
        CaroCanaryTest_Tick(r, now);
    }
    return CaroCanaryTest_IsBad(r);
}

static void
test_a_failing_version_is_taken_back_and_stays_so(void **state)
{
    (void)state;
    CaroCanaryTest *r = CaroCanaryTest_Create();
    assert_true(judge(r, 0, 10, 10));
    assert_true(judge(r, 0, 0, 10));
    CaroCanaryTest_Destroy(r);
}

static void
test_a_fault_of_both_is_not_blamed_on_the_new(void **state)
{
    (void)state;
    CaroCanaryTest *r = CaroCanaryTest_Create();
    assert_false(judge(r, 0, 0, 10));
    assert_false(judge(r, 10, 10, 10));
    assert_false(judge(r, 0, 0, 10));
    CaroCanaryTest_Destroy(r);
}

static void
test_vms_add_what_they_saw(void **state)
{
    (void)state;
    CaroCanaryTest *a = CaroCanaryTest_Create();
    CaroCanaryTest *b = CaroCanaryTest_Create();
    CaroCanaryStatistics stakes;
    /* Alone neither has seen enough. */
    assert_false(judge(a, 0, 2, 4));
    assert_false(judge(b, 0, 2, 4));
    for (int vm = 1; vm <= 8; vm++) {
        CaroCanaryTest_Export(b, &stakes);
        CaroCanaryTest_Import(a, vm, &stakes);
    }
    assert_true(CaroCanaryTest_IsBad(a));
    /* What one VM says again replaces what it said. */
    CaroCanaryTest *c = CaroCanaryTest_Create();
    for (int i = 0; i < 8; i++) {
        CaroCanaryTest_Import(c, 1, &stakes);
    }
    assert_false(CaroCanaryTest_IsBad(c));
    CaroCanaryTest_Destroy(a);
    CaroCanaryTest_Destroy(b);
    CaroCanaryTest_Destroy(c);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_the_share_follows_the_declared_times),
        cmocka_unit_test(test_few_vms_bear_a_small_share),
        cmocka_unit_test(test_a_failing_version_is_taken_back_and_stays_so),
        cmocka_unit_test(test_a_fault_of_both_is_not_blamed_on_the_new),
        cmocka_unit_test(test_vms_add_what_they_saw),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
