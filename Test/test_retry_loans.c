/*
 * Loans of retries between VMs: each VM keeps to its share, a loan counts at
 * the lender before it can be used, and few calls are made.  On virtual time,
 * all VMs together never exceed the deployment's retry budget while messages
 * are lost and VMs crash, start and are cut off.
 *
 * "test_retry_loans rule FIRST LAST" plays the seeds of that range.
 */
#include "retry_loans_fixture.h"

#include <stdio.h>
#include <stdlib.h>

#define S CARO_SECOND
#define SLACK 150.0

static CaroRetryBudget *
create_budget(double slack, int requests, CaroTime now)
{
    CaroRetryBudget *b =
        CaroRetryBudget_Create(FLEET_RATIO, slack, FLEET_WINDOW);
    assert_non_null(b);
    for (int i = 0; i < requests; i++) {
        CaroRetryBudget_RecordRequest(b, FLEET_SERVICE, now);
    }
    return b;
}

static int
lend(CaroRetryBudget *b, int retries, CaroTime now)
{
    return CaroRetryBudget_Lend(b, CaroRetryBudget_HashService(FLEET_SERVICE),
                                retries, 1, now);
}

/* Makes all retries that are allowed. */
static int
retry_all(CaroRetryBudget *b, int vms, CaroTime now)
{
    int n = 0;
    while (CaroRetryBudget_AllowsRetry(b, FLEET_SERVICE, vms, now)) {
        CaroRetryBudget_RecordRetry(b, FLEET_SERVICE, now);
        n++;
    }
    return n;
}

/* Guards against retries that both the lender and the borrower make. */
static void
test_lent_retries_count_at_the_lender(void **state)
{
    (void)state;
    /* 0.8 x (0.8 x 100 + 10) = 72, of which 14.4 are kept. */
    CaroRetryBudget *b = create_budget(10.0, 100, S);
    assert_int_equal(lend(b, 20, S), 20);
    assert_int_equal(lend(b, 1000, S), 37);
    assert_int_equal(lend(b, 1, S), 0);
    assert_int_equal(retry_all(b, 1, S), 15);
    assert_int_equal(CaroRetryBudget_Lend(b, 1234, 1, 1, S), 0);
    CaroRetryBudget_Destroy(b);
}

/* A retry lent at 2 s may be made at 3 s, and counts with those that the
   lender makes until 13 s. */
static void
test_lent_retries_count_for_window_and_life_of_a_loan(void **state)
{
    (void)state;
    CaroRetryBudget *b = create_budget(100.0, 0, S);
    CaroRetryBudget_RecordRequest(b, FLEET_SERVICE, 2 * S);
    int lent = lend(b, 1000, 2 * S);
    assert_true(lent >= 60);
    /* 80 of the slack, of which a retry counts. */
    assert_true(retry_all(b, 1, 12999 * CARO_MS) <= 80 - lent + 1);
    assert_true(retry_all(b, 1, 15 * S) >= lent);
    CaroRetryBudget_Destroy(b);
}

/* Guards against use of a loan after the time for which the lender counts
   it. */
static void
test_borrowed_retries_expire(void **state)
{
    (void)state;
    CaroRetryBudget *b = create_budget(0.0, 0, S);
    CaroRetryBudget_Borrow(b, FLEET_SERVICE, 2, S, S + 100 * CARO_MS);
    CaroRetryBudget_RecordRetry(b, FLEET_SERVICE, S + 200 * CARO_MS);
    assert_true(
        CaroRetryBudget_AllowsRetry(b, FLEET_SERVICE, 1, 2 * S - CARO_MS));
    assert_int_equal(CaroRetryBudget_ConsumeExpired(b, 2 * S - CARO_MS), 0);
    assert_false(CaroRetryBudget_AllowsRetry(b, FLEET_SERVICE, 1, 2 * S));
    assert_int_equal(CaroRetryBudget_ConsumeExpired(b, 2 * S), 1);
    /* The reply to a call that was sent more than a second before. */
    CaroRetryBudget_Borrow(b, FLEET_SERVICE, 3, S, 2 * S);
    assert_false(CaroRetryBudget_AllowsRetry(b, FLEET_SERVICE, 1, 2 * S));
    assert_int_equal(CaroRetryBudget_ConsumeExpired(b, 2 * S), 3);
    CaroRetryBudget_Destroy(b);
}

/* Borrowed retries are not charged to the borrower, and not lent again. */
static void
test_borrowed_retries_are_used_first_and_not_lent(void **state)
{
    (void)state;
    CaroRetryBudget *b = create_budget(0.0, 10, S);
    assert_int_equal(retry_all(b, 1, S), 6);
    CaroRetryBudget_Borrow(b, FLEET_SERVICE, 5, S, S);
    assert_int_equal(lend(b, 5, S), 0);
    assert_false(CaroRetryBudget_AllowsUnbegun(b, FLEET_SERVICE, 1, S));
    assert_int_equal(retry_all(b, 1, S), 5);
    CaroRetryBudget_Destroy(b);
}

static void
test_stream_that_has_not_begun_leaves_the_last_part(void **state)
{
    (void)state;
    /* 0.8 x 0.8 x 100 = 64, of which 12.8 are for streams that have begun. */
    CaroRetryBudget *b = create_budget(0.0, 100, S);
    int n = 0;
    while (CaroRetryBudget_AllowsUnbegun(b, FLEET_SERVICE, 1, S)) {
        CaroRetryBudget_RecordRetry(b, FLEET_SERVICE, S);
        n++;
    }
    assert_int_equal(n, 51);
    assert_int_equal(retry_all(b, 1, S), 13);
    CaroRetryBudget_Destroy(b);
}

/* Guards against a second use of the slack by a VM that crashed. */
static void
test_vm_that_starts_takes_a_fifth_of_its_slack(void **state)
{
    (void)state;
    CaroRetryBudget *b = create_budget(100.0, 0, S);
    CaroRetryBudget_Start(b, S);
    assert_int_equal(retry_all(b, 4, S), 5);
    assert_int_equal(retry_all(b, 4, 13 * S), 5);
    assert_int_equal(retry_all(b, 4, 15 * S), 15);
    CaroRetryBudget_Destroy(b);
}

static void
test_slack_of_vms_that_left_is_held_for_a_window(void **state)
{
    (void)state;
    CaroRetryBudget *b = create_budget(100.0, 0, S);
    assert_int_equal(CaroRetryBudget_HoldVms(b, 10, 20 * S), 10);
    for (int s = 21; s < 32; s++) {
        assert_int_equal(CaroRetryBudget_HoldVms(b, 4, s * S), 10);
    }
    assert_int_equal(CaroRetryBudget_HoldVms(b, 4, 60 * S), 10);
    assert_int_equal(CaroRetryBudget_HoldVms(b, 4, 80 * S), 4);
    assert_int_equal(CaroRetryBudget_HoldVms(b, 12, 81 * S), 12);
    CaroRetryBudget_Destroy(b);
}

/* Guards against a call for each stream of a lost failure domain. */
static void
test_requests_of_a_second_are_asked_for_together(void **state)
{
    (void)state;
    CaroRetryLoans *l = CaroRetryLoans_Create();
    assert_non_null(l);
    CaroLoanRound first = CaroRetryLoans_Request(l, FLEET_SERVICE, S);
    assert_int_equal(first.vms, 1);
    assert_int_equal(first.retries, 1);
    for (int i = 0; i < 50; i++) {
        assert_int_equal(CaroRetryLoans_Request(l, FLEET_SERVICE, S).vms, 0);
    }
    CaroRetryLoans_RecordAnswer(l, FLEET_SERVICE, first.id + 1);
    assert_int_equal(CaroRetryLoans_Request(l, FLEET_SERVICE, S).vms, 0);
    CaroRetryLoans_RecordAnswer(l, FLEET_SERVICE, first.id);
    CaroLoanRound second = CaroRetryLoans_Request(l, FLEET_SERVICE, S);
    assert_int_equal(second.vms, 2);
    assert_int_equal(second.retries, 32);
    /* No answer: the next round begins after some time. */
    assert_int_equal(
        CaroRetryLoans_Request(l, FLEET_SERVICE, S + 50 * CARO_MS).vms, 0);
    assert_int_equal(
        CaroRetryLoans_Request(l, FLEET_SERVICE, S + 150 * CARO_MS).vms, 4);
    /* Another service, and a later second, begin with one VM. */
    assert_int_equal(CaroRetryLoans_Request(l, "other", S).vms, 1);
    assert_int_equal(CaroRetryLoans_Request(l, FLEET_SERVICE, 3 * S).vms, 1);
    CaroRetryLoans_Destroy(l);
}

static void
test_calls_of_a_second_are_limited(void **state)
{
    (void)state;
    CaroRetryLoans *l = CaroRetryLoans_Create();
    int calls = 0;
    assert_non_null(l);
    for (int ms = 0; ms < 1000; ms++) {
        CaroLoanRound r =
            CaroRetryLoans_Request(l, FLEET_SERVICE, S + ms * CARO_MS);
        calls += r.vms;
        for (int i = 0; i < r.vms; i++) {
            CaroRetryLoans_RecordAnswer(l, FLEET_SERVICE, r.id);
        }
    }
    assert_int_equal(calls, 32);
    CaroRetryLoans_Destroy(l);
}

/* --- the rule --- */

enum {
    STEP_MS = 50,
    STEPS = 1200,
    WINDOW_STEPS = 200,
    /* Between two starts of a VM at least; see docs/design/retry-budget.md. */
    RESTART_STEPS = 300,
    DOWN_STEPS = 20
};

typedef struct {
    Fleet fleet;
    int started_at[FLEET_VMS_MAX];
    int requests[STEPS];
    int retries[STEPS];
    double most; /* Of the budget that was used in a window. */
} Play;

static int
choose(Fleet *f, int n)
{
    return (int)gsl_rng_uniform_int(f->rng, (unsigned long)n);
}

/* Crashes and starts VMs, at times all that did not start shortly before, and
   divides the fleet or joins it again. */
static void
disturb(Play *p, int step)
{
    Fleet *f = &p->fleet;
    CaroTime now = S + step * STEP_MS * CARO_MS;
    bool has_power = gsl_rng_uniform(f->rng) >= 0.005;
    for (int vm = 0; vm < f->n_vms; vm++) {
        FleetVm *v = &f->vms[vm];
        if (!v->is_up && step - p->started_at[vm] >= DOWN_STEPS) {
            Fleet_StartVm(f, vm);
            CaroRetryBudget_Start(v->budget, now);
            p->started_at[vm] = step;
        }
        else if (v->is_up && step - p->started_at[vm] >= RESTART_STEPS &&
                 (!has_power || gsl_rng_uniform(f->rng) < 0.001)) {
            v->is_up = false;
            p->started_at[vm] = step;
        }
    }
    if (gsl_rng_uniform(f->rng) < 0.01) {
        /* One VM alone, a part of any size, or none. */
        int kind = choose(f, 3);
        int alone = choose(f, f->n_vms);
        int part = choose(f, f->n_vms);
        for (int vm = 0; vm < f->n_vms; vm++) {
            f->vms[vm].side = kind == 0   ? vm == alone
                              : kind == 1 ? vm < part
                                          : 0;
        }
    }
}

/* In no window of 10 s there are more retries than the budget of its requests
   or of the window before it, whichever has more. */
static void
check_windows(Play *p, int last)
{
    int all[2] = {0, 0};
    int retries = 0;
    if (last + 1 < WINDOW_STEPS) {
        return;
    }
    for (int i = 0; i < 2 * WINDOW_STEPS && i <= last; i++) {
        all[i / WINDOW_STEPS] += p->requests[last - i];
        retries += i < WINDOW_STEPS ? p->retries[last - i] : 0;
    }
    int requests = all[0] > all[1] ? all[0] : all[1];
    double used = retries / (FLEET_RATIO * requests + p->fleet.slack);
    p->most = used > p->most ? used : p->most;
    assert_true(used <= 1.0);
}

static void
play_rule(int vms, double slack, unsigned long seed)
{
    static Play p;
    memset(&p, 0, sizeof(p));
    Fleet *f = &p.fleet;
    Fleet_Create(f, vms, slack, 0.1, seed);
    long all = 0;
    for (int step = 0; step < STEPS; step++) {
        CaroTime now = S + step * STEP_MS * CARO_MS;
        double rate = step / 300 % 2 == 0 ? 0.02 : 0.1;
        Fleet_Deliver(f, now);
        disturb(&p, step);
        for (int vm = 0; vm < vms; vm++) {
            FleetVm *v = &f->vms[vm];
            if (!v->is_up) {
                continue;
            }
            /* All VMs are known from the store, whatever can be reached. */
            v->vms = CaroRetryBudget_HoldVms(v->budget, vms, now);
            if (gsl_rng_uniform(f->rng) < rate) {
                CaroRetryBudget_RecordRequest(v->budget, FLEET_SERVICE, now);
                p.requests[step]++;
            }
            /* From time to time VMs save budget up and lend it. */
            if ((step / 100 + vm) % 3 != 0) {
                p.retries[step] += retry_all(v->budget, v->vms, now);
                Fleet_Request(f, vm, now);
            }
        }
        all += p.retries[step];
        check_windows(&p, step);
    }
    (void)printf("vms=%d slack=%.0f seed=%lu retries=%ld lent=%ld "
                 "most=%.3f\n",
                 vms, slack, seed, all, f->granted, p.most);
    assert_true(f->granted > 0);
    Fleet_Destroy(f);
}

static void
check_rule(unsigned long first, unsigned long last)
{
    static const int sizes[] = {3, 13, 100, 295};
    for (unsigned long seed = first; seed <= last; seed++) {
        for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
            play_rule(sizes[i], SLACK, seed);
            play_rule(sizes[i], 350.0, seed);
        }
    }
}

/* Guards against a budget that is used twice: by lender and borrower, before
   and after a crash, or on both sides of a partition. */
static void
test_no_window_exceeds_the_budget_of_the_deployment(void **state)
{
    (void)state;
    check_rule(1, 3);
}

int
main(int argc, char **argv)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lent_retries_count_at_the_lender),
        cmocka_unit_test(
            test_lent_retries_count_for_window_and_life_of_a_loan),
        cmocka_unit_test(test_borrowed_retries_expire),
        cmocka_unit_test(test_borrowed_retries_are_used_first_and_not_lent),
        cmocka_unit_test(test_stream_that_has_not_begun_leaves_the_last_part),
        cmocka_unit_test(test_vm_that_starts_takes_a_fifth_of_its_slack),
        cmocka_unit_test(test_slack_of_vms_that_left_is_held_for_a_window),
        cmocka_unit_test(test_requests_of_a_second_are_asked_for_together),
        cmocka_unit_test(test_calls_of_a_second_are_limited),
        cmocka_unit_test(test_no_window_exceeds_the_budget_of_the_deployment),
    };
    if (argc == 4 && strcmp(argv[1], "rule") == 0) {
        check_rule(strtoul(argv[2], NULL, 10), strtoul(argv[3], NULL, 10));
        return 0;
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}
