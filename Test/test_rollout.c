/* Tests of moves between versions: the share and the test. */
#include "test.h"

#include "internal/caro_rollout.h"

#include <stdio.h>

static const CaroRolloutPlan plan = {
    .state = CARO_ROLLOUT_MOVING, .start_ms = 1000, .by_ms = 101000};

static void
test_the_share_follows_the_declared_times(void **state)
{
    (void)state;
    const CaroRolloutPace *pace = &CARO_PACE_CAREFUL;
    double last = 0.0;
    assert_true(CaroRollout_Share(&plan, pace, 999) <= 0.0);
    for (int64_t t = 1000; t <= 101000; t += 500) {
        double share = CaroRollout_Share(&plan, pace, t);
        assert_true(share >= last && share < 1.0);
        last = share;
    }
    assert_true(last > 0.9);
    CaroRolloutPlan done = plan;
    done.state = CARO_ROLLOUT_DONE;
    assert_true(CaroRollout_Share(&done, pace, 0) >= 1.0);
    done.state = CARO_ROLLOUT_UNDONE;
    assert_true(CaroRollout_Share(&done, pace, 200000) <= 0.0);
}

static void
test_few_vms_bear_a_small_share(void **state)
{
    (void)state;
    double sum = 0.0;
    int bearers = 0;
    for (int rank = 0; rank < 13; rank++) {
        double own = CaroRollout_NodeShare(0.01, rank, 13);
        bearers += own > 0.0;
        sum += own;
    }
    assert_int_equal(bearers, 1);
    assert_true(sum > 0.1299 && sum < 0.1301);
}

/* Gives both versions samples, so many of 20 bad, and lets time pass. */
static bool
judge(CaroRollout *r, int old_bad, int new_bad, int rounds)
{
    int64_t now = 0;
    for (int i = 0; i < rounds * 20; i++) {
        now += 100;
        CaroRollout_Sample(r, false, (uint64_t)i, i % 20 < old_bad, now);
        CaroRollout_Sample(r, true, (uint64_t)i, i % 20 < new_bad, now);
        CaroRollout_Tick(r, now);
    }
    return CaroRollout_IsBad(r);
}

static void
test_a_failing_version_is_taken_back_and_stays_so(void **state)
{
    (void)state;
    CaroRollout *r = CaroRollout_Create();
    assert_true(judge(r, 0, 10, 10));
    assert_true(judge(r, 0, 0, 10));
    CaroRollout_Destroy(r);
}

static void
test_a_fault_of_both_is_not_blamed_on_the_new(void **state)
{
    (void)state;
    CaroRollout *r = CaroRollout_Create();
    assert_false(judge(r, 0, 0, 10));
    assert_false(judge(r, 10, 10, 10));
    assert_false(judge(r, 0, 0, 10));
    CaroRollout_Destroy(r);
}

static void
test_vms_add_what_they_saw(void **state)
{
    (void)state;
    CaroRollout *a = CaroRollout_Create();
    CaroRollout *b = CaroRollout_Create();
    CaroStakes stakes;
    /* Alone neither has seen enough. */
    assert_false(judge(a, 0, 2, 4));
    assert_false(judge(b, 0, 2, 4));
    for (int vm = 1; vm <= 8; vm++) {
        CaroRollout_Export(b, &stakes);
        CaroRollout_Import(a, vm, &stakes);
    }
    assert_true(CaroRollout_IsBad(a));
    /* What one VM says again replaces what it said. */
    CaroRollout *c = CaroRollout_Create();
    for (int i = 0; i < 8; i++) {
        CaroRollout_Import(c, 1, &stakes);
    }
    assert_false(CaroRollout_IsBad(c));
    CaroRollout_Destroy(a);
    CaroRollout_Destroy(b);
    CaroRollout_Destroy(c);
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
