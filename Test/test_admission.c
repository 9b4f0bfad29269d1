/* Tests of admission: fairness, classes, early refusal. */
#include "test.h"

#include "internal/caro_admission.h"

static CaroAdmissionResult
offer(CaroAdmission *a, uint64_t id, const char *account, CaroClass class,
      CaroTime now)
{
    CaroAdmissionRequest o = {.id = id,
                              .account = account,
                              .class = class,
                              .cost = 100.0,
                              .patience = 2 * CARO_SECOND};
    return CaroAdmission_Request(a, &o, now);
}

static void
test_limit_and_queue(void **state)
{
    (void)state;
    CaroAdmission *a = CaroAdmission_Create(2);
    uint64_t id;
    CaroAdmission_SetLimit(a, 1);
    assert_int_equal(offer(a, 1, "x", CARO_CLASS_INTERACTIVE, 0).kind,
                     CARO_ADMITTED);
    assert_int_equal(offer(a, 2, "x", CARO_CLASS_INTERACTIVE, 0).kind,
                     CARO_QUEUED);
    assert_int_equal(offer(a, 3, "x", CARO_CLASS_INTERACTIVE, 0).kind,
                     CARO_QUEUED);
    assert_int_equal(offer(a, 4, "x", CARO_CLASS_INTERACTIVE, 0).kind,
                     CARO_REFUSED);
    assert_false(CaroAdmission_Next(a, &id, 0));
    CaroAdmission_Release(a, 100.0, CARO_SECOND);
    assert_true(CaroAdmission_Next(a, &id, CARO_SECOND));
    assert_int_equal(id, 2);
    CaroAdmission_Withdraw(a, 3);
    assert_int_equal(CaroAdmission_Waiting(a), 0);
    CaroAdmission_Destroy(a);
}

/* One account floods; the other's request is served next but one. */
static void
test_a_large_account_delays_itself(void **state)
{
    (void)state;
    CaroAdmission *a = CaroAdmission_Create(1000);
    uint64_t id = 0;
    CaroAdmission_SetLimit(a, 1);
    for (uint64_t i = 1; i <= 100; i++) {
        (void)offer(a, i, "large", CARO_CLASS_INTERACTIVE, 0);
    }
    assert_int_equal(offer(a, 500, "small", CARO_CLASS_INTERACTIVE, 0).kind,
                     CARO_QUEUED);
    int before = 0;
    while (id != 500) {
        CaroAdmission_Release(a, 100.0, 0);
        assert_true(CaroAdmission_Next(a, &id, 0));
        before++;
    }
    assert_true(before <= 2);
    CaroAdmission_Destroy(a);
}

static void
test_resumes_go_before_new_work(void **state)
{
    (void)state;
    CaroAdmission *a = CaroAdmission_Create(10);
    uint64_t id;
    CaroAdmission_SetLimit(a, 1);
    (void)offer(a, 1, "x", CARO_CLASS_INTERACTIVE, 0);
    (void)offer(a, 2, "x", CARO_CLASS_BACKGROUND, 0);
    (void)offer(a, 3, "x", CARO_CLASS_INTERACTIVE, 0);
    (void)offer(a, 4, "y", CARO_CLASS_RESUME, 0);
    const uint64_t order[] = {4, 3, 2};
    for (int i = 0; i < 3; i++) {
        CaroAdmission_Release(a, 100.0, 0);
        assert_true(CaroAdmission_Next(a, &id, 0));
        assert_int_equal(id, order[i]);
    }
    CaroAdmission_Destroy(a);
}

/* At 100 tokens a second, 3 waiting requests of 100 mean 3 s. */
static void
test_long_expected_wait_is_refused_early(void **state)
{
    (void)state;
    CaroAdmission *a = CaroAdmission_Create(1000);
    uint64_t id;
    CaroAdmission_SetLimit(a, 1);
    (void)offer(a, 1, "x", CARO_CLASS_INTERACTIVE, 0);
    CaroAdmission_Release(a, 0.0, 0);
    (void)offer(a, 2, "x", CARO_CLASS_INTERACTIVE, 0);
    (void)offer(a, 3, "x", CARO_CLASS_INTERACTIVE, 0);
    CaroAdmission_Release(a, 100.0, CARO_SECOND);
    assert_true(CaroAdmission_Next(a, &id, CARO_SECOND));
    for (uint64_t i = 10; i < 12; i++) {
        assert_int_equal(
            offer(a, i, "x", CARO_CLASS_INTERACTIVE, CARO_SECOND).kind,
            CARO_QUEUED);
    }
    CaroAdmissionResult v = {.kind = CARO_QUEUED};
    for (uint64_t i = 12; i < 20 && v.kind == CARO_QUEUED; i++) {
        v = offer(a, i, "x", CARO_CLASS_INTERACTIVE, CARO_SECOND);
    }
    assert_int_equal(v.kind, CARO_REFUSED);
    assert_true(v.expected_wait > 2 * CARO_SECOND);
    assert_true(CaroAdmission_Waiting(a) <= 4);
    CaroAdmission_Destroy(a);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_limit_and_queue),
        cmocka_unit_test(test_a_large_account_delays_itself),
        cmocka_unit_test(test_resumes_go_before_new_work),
        cmocka_unit_test(test_long_expected_wait_is_refused_early),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
