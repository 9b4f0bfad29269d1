/* Tests of the gateway's decisions on single requests. */
#include "test.h"

#include "internal/caro_attempt.h"
#include "internal/caro_rollout_schedule.h"
#include "internal/caro_request_check.h"
#include "internal/caro_lease_grace.h"
#include "internal/caro_event_timeout.h"
#include "internal/caro_platform.h"
#include "internal/caro_config_freshness.h"
#include "internal/caro_retry_budget.h"

#include <stdio.h>
#include <string.h>

#define S CARO_SECOND

static CaroAttempt
attempt_of(CaroRouteKind kind, bool is_resumable)
{
    return (CaroAttempt){.kind = kind,
                         .is_resumable = is_resumable,
                         .attempts_max = 2,
                         .deadline = 10 * S};
}

static void
test_an_order_runs_at_most_once(void **state)
{
    (void)state;
    CaroAttempt a = attempt_of(CARO_ROUTE_NON_IDEMPOTENT, false);
    /* What surely did not run is sent again, as often as it takes. */
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_UNSENT, true, S),
                     CARO_STEP_RETRY);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_NOT_RUN, true, S),
                     CARO_STEP_RETRY);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_GONE, true, S),
                     CARO_STEP_RETRY);
    /* Without an upstream it is refused, and that is true. */
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_NO_TARGET, true, S),
                     CARO_STEP_REFUSE);
    /* Lost on the way: it may have run, so nothing is promised. */
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_LOST, true, S),
                     CARO_STEP_FAIL);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_NOT_RUN, false, S),
                     CARO_STEP_FAIL);
    a = attempt_of(CARO_ROUTE_NON_IDEMPOTENT, false);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_FAILED, true, S),
                     CARO_STEP_FORWARD);
    a = attempt_of(CARO_ROUTE_NON_IDEMPOTENT, false);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_EXPIRED, true, 10 * S),
                     CARO_STEP_EXPIRE);
}

static void
test_a_lookup_is_repeated_within_its_attempts(void **state)
{
    (void)state;
    CaroAttempt a = attempt_of(CARO_ROUTE_IDEMPOTENT, false);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_FAILED, true, S),
                     CARO_STEP_RETRY);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_FAILED, true, S),
                     CARO_STEP_FORWARD);
    a = attempt_of(CARO_ROUTE_IDEMPOTENT, false);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_LOST, false, S),
                     CARO_STEP_FAIL);
    a = attempt_of(CARO_ROUTE_IDEMPOTENT, false);
    a.has_response_begun = true;
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_LOST, true, S),
                     CARO_STEP_ABORT);
}

static void
test_a_stream_goes_on_only_if_it_may(void **state)
{
    (void)state;
    CaroAttempt a = attempt_of(CARO_ROUTE_STREAM, true);
    a.has_response_begun = true;
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_SILENT, true, S),
                     CARO_STEP_RETRY);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_NO_TARGET, true, S),
                     CARO_STEP_WAIT);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_LOST, true, S),
                     CARO_STEP_ABORT);
    a = attempt_of(CARO_ROUTE_STREAM, false);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_LOST, true, S),
                     CARO_STEP_FAIL);
    /* Entries of a domain that crashed refuse quickly, one by one. */
    a = attempt_of(CARO_ROUTE_STREAM, true);
    a.has_response_begun = true;
    for (a.tries = 1; a.tries < 20; a.tries++) {
        assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_GONE, true, S),
                         CARO_STEP_RETRY);
    }
}

static CaroRoutes *
make_routes(void)
{
    CaroRoutes *r = CaroRoutes_Create(7);
    CaroRoute route = {.kind = CARO_ROUTE_STREAM, .n_shares = 1};
    CaroClientAccount account = {.name = "yard", .priority = 1};
    int index;
    CARO_COPY(route.host, "A.example");
    CARO_COPY(route.prefix, "/x/");
    CARO_COPY(route.name, "short");
    assert_int_equal(CaroRoutes_Add(r, &route), 0);
    CARO_COPY(route.prefix, "/x/long/");
    CARO_COPY(route.name, "long");
    assert_int_equal(CaroRoutes_Add(r, &route), 0);
    CARO_COPY(route.prefix, "/open/");
    CARO_COPY(route.name, "open");
    route.is_public = true;
    assert_int_equal(CaroRoutes_Add(r, &route), 0);
    assert_int_equal(CaroRoutes_AddAccount(r, &account, &index), 0);
    assert_int_equal(CaroRoutes_AddKey(r, "key-1", index), 0);
    return r;
}

static CaroText
text_of(const char *s)
{
    return (CaroText){s, s == NULL ? 0 : strlen(s)};
}

static CaroRequestCheckResult
judge(const CaroRoutes *r, const char *path, const char *key,
      bool is_config_fresh)
{
    CaroRequestCheckQuery q = {.routes = r,
                               .is_listed = true,
                               .is_config_fresh = is_config_fresh,
                               .host = text_of("a.Example:80"),
                               .path = text_of(path),
                               .key = text_of(key)};
    return CaroRequestCheck_Run(&q);
}

static void
test_entry_of_a_proven_configuration(void **state)
{
    (void)state;
    CaroRoutes *r = make_routes();
    assert_int_equal(judge(r, "/x/1", "key-1", true).status, 0);
    assert_string_equal(judge(r, "/x/1", "key-1", true).route->name, "short");
    assert_string_equal(judge(r, "/x/long/1", "key-1", true).route->name,
                        "long");
    assert_string_equal(judge(r, "/x/long", "key-1", true).route->name,
                        "short");
    assert_string_equal(judge(r, "/x/1", "key-1", true).account->name, "yard");
    assert_int_equal(judge(r, "/x/1", "key-2", true).status, 401);
    assert_int_equal(judge(r, "/x/1", NULL, true).status, 401);
    assert_int_equal(judge(r, "/y/1", "key-1", true).status, 404);
    assert_int_equal(judge(r, "/open/1", NULL, true).status, 0);
    CaroRoutes_Destroy(r);
}

/* A VM that may not know the newest configuration denies nothing. */
static void
test_entry_without_a_proof(void **state)
{
    (void)state;
    CaroRoutes *r = make_routes();
    assert_int_equal(judge(r, "/x/1", "key-1", false).status, 503);
    assert_int_equal(judge(r, "/x/1", "key-2", false).status, 503);
    assert_int_equal(judge(r, "/y/1", "key-1", false).status, 503);
    assert_true(judge(r, "/y/1", "key-1", false).retry_after_s > 0.0);
    assert_int_equal(judge(r, "/open/1", NULL, false).status, 0);
    assert_int_equal(judge(NULL, "/x/1", "key-1", true).status, 503);
    CaroRequestCheckQuery stopping = {.routes = r,
                                      .is_listed = true,
                                      .is_config_fresh = true,
                                      .is_stopping = true,
                                      .host = text_of("a.example"),
                                      .path = text_of("/open/1")};
    assert_int_equal(CaroRequestCheck_Run(&stopping).status, 503);
    CaroRoutes_Destroy(r);
}

/* Callers of a VM that was killed come to one that has just started: they
   wait for its first reads, but not for long. */
static void
test_entry_in_the_first_moment(void **state)
{
    (void)state;
    CaroRequestCheckQuery q = {.host = text_of("a.example"),
                               .path = text_of("/x/1"),
                               .age = 20 * CARO_MS};
    assert_true(CaroRequestCheck_Run(&q).should_check_again);
    q.age = 300 * CARO_MS;
    assert_false(CaroRequestCheck_Run(&q).should_check_again);
    assert_int_equal(CaroRequestCheck_Run(&q).status, 503);
    q.age = 20 * CARO_MS;
    q.is_stopping = true;
    assert_false(CaroRequestCheck_Run(&q).should_check_again);
}

static void
test_a_proof_ages_from_the_sending_of_its_call(void **state)
{
    (void)state;
    CaroConfigFreshness p = {0};
    assert_false(CaroConfigFreshness_IsFresh(&p, 5 * S, S));
    CaroConfigFreshness_Record(&p, 3, 10 * S);
    assert_true(CaroConfigFreshness_IsFresh(&p, 5 * S, 14 * S));
    /* Some of the bound is kept for the request itself. */
    assert_false(
        CaroConfigFreshness_IsFresh(&p, 5 * S, 14 * S + 600 * CARO_MS));
    /* A later answer of an earlier call does not make it younger. */
    CaroConfigFreshness_Record(&p, 3, 9 * S);
    assert_int_equal(p.at, 10 * S);
    /* A peer's proof is as old as the question and its own age. */
    CaroConfigFreshness_RecordPeer(&p, 3, 2 * S, 20 * S);
    assert_int_equal(p.at, 18 * S);
    /* Of another revision, or none, it says nothing here. */
    CaroConfigFreshness_RecordPeer(&p, 4, 0, 30 * S);
    CaroConfigFreshness_RecordPeer(&p, 3, -1, 30 * S);
    assert_int_equal(p.at, 18 * S);
    CaroConfigFreshness_Record(&p, 2, 40 * S);
    assert_int_equal(p.revision, 3);
}

/* However peers pass it on, a proof is never younger than the read it
   began with: all chains of three hops with all delays of a small grid. */
static void
test_a_proof_passed_on_is_never_too_young(void **state)
{
    (void)state;
    for (int read = 0; read < 3; read++) {
        for (int hops = 0; hops < 4 * 4 * 4 * 4 * 4 * 4; hops++) {
            CaroConfigFreshness holder = {.revision = 1, .at = 10 * S + read};
            CaroTime now = 11 * S;
            int rest = hops;
            for (int hop = 0; hop < 3; hop++) {
                CaroTime asked = now;
                CaroTime answered = asked + rest % 4 * S; /* On the way. */
                rest /= 4;
                CaroTime age = CaroConfigFreshness_Age(&holder, answered);
                CaroConfigFreshness next = {.revision = 1};
                CaroConfigFreshness_RecordPeer(&next, 1, age, asked);
                now = answered + rest % 4 * S; /* And back. */
                rest /= 4;
                holder = next;
            }
            assert_true(holder.at <= 10 * S + read);
        }
    }
}

static void
test_entries_that_lapse_in_an_outage_wait(void **state)
{
    (void)state;
    /* In calm times an entry that is removed is gone at once. */
    assert_int_equal(CaroLeaseGrace_ExpiresAt(false, 0, 50 * S), 50 * S);
    assert_int_equal(CaroLeaseGrace_ExpiresAt(false, 40 * S, 50 * S), 50 * S);
    /* Around an outage it is waited for, for two seconds and a little. */
    CaroTime at = CaroLeaseGrace_ExpiresAt(false, 49 * S, 50 * S);
    assert_true(at >= 51 * S && at <= 49 * S + 2500 * CARO_MS);
    assert_true(CaroLeaseGrace_ExpiresAt(true, 0, 50 * S) >= 52 * S);
}

/* 13 VMs repeat all they may, in bursts; the deployment's bound holds. */
static void
test_the_retry_budget_holds_over_all_vms(void **state)
{
    (void)state;
    enum { VMS = 13, STEP_MS = 100, STEPS = 600, WINDOW = 100 };
    static int requests[STEPS];
    static int repeats[STEPS];
    CaroRetryBudget *budgets[VMS];
    memset(requests, 0, sizeof(requests));
    memset(repeats, 0, sizeof(repeats));
    for (int vm = 0; vm < VMS; vm++) {
        budgets[vm] = CaroRetryBudget_Create(0.8, 325.0, 10 * S);
    }
    for (int step = 0; step < STEPS; step++) {
        CaroTime now = S + step * STEP_MS * CARO_MS;
        int load = step / 150 % 2 == 0 ? 1 : 5;
        for (int vm = 0; vm < VMS; vm++) {
            for (int i = 0; i < load; i++) {
                CaroRetryBudget_RecordRequest(budgets[vm], "desk", now);
                requests[step]++;
            }
            while (
                CaroRetryBudget_AllowsRetry(budgets[vm], "desk", VMS, now)) {
                CaroRetryBudget_RecordRetry(budgets[vm], "desk", now);
                repeats[step]++;
            }
        }
    }
    for (int from = 0; from + WINDOW <= STEPS; from++) {
        int all = 0;
        int again = 0;
        for (int i = from; i < from + WINDOW; i++) {
            all += requests[i];
            again += repeats[i];
        }
        /* Of this window or the one before it, whichever has more. */
        int before = 0;
        for (int i = from - WINDOW; i < from; i++) {
            before += i < 0 ? 0 : requests[i];
        }
        int most = all > before ? all : before;
        assert_true(again <= 0.8 * most + 325.0);
    }
    /* One service's repeats are not another's. */
    assert_true(
        CaroRetryBudget_AllowsRetry(budgets[0], "other", VMS, 100 * S));
    for (int vm = 0; vm < VMS; vm++) {
        CaroRetryBudget_Destroy(budgets[vm]);
    }
}

/* As the sites have them. */
static CaroRoute
stream_route(void)
{
    return (CaroRoute){.kind = CARO_ROUTE_STREAM,
                       .timeout = 25 * S,
                       .objective = 4500 * CARO_MS,
                       .gap = 700 * CARO_MS};
}

/* What others at an engine get says whether it is busy or lost. */
static void
test_patience_with_engines_that_are_heard(void **state)
{
    (void)state;
    CaroRoute route = stream_route();
    CaroEventTimeoutQuery q = {.route = &route, .is_first = true};
    CaroTime wait = CaroEventTimeout_Get(&q);
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 0), 10 * S + wait);
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 12 * S),
                     12 * S + wait);
    /* Once it streams, only its own events count: a pause is a pause. */
    q.has_events = true;
    wait = CaroEventTimeout_Get(&q);
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 12 * S),
                     10 * S + wait);
    /* A plain request is no turn in a queue of prompts. */
    route.kind = CARO_ROUTE_IDEMPOTENT;
    q.has_events = false;
    wait = CaroEventTimeout_Get(&q);
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 12 * S),
                     10 * S + wait);

    CaroTime now = 10 * S + 315 * CARO_MS;
    assert_true(CaroEventTimeout_IsPreempted(10 * S, now - 50 * CARO_MS, now));
    /* The others' last events are as old as its own: the engine is lost. */
    assert_false(CaroEventTimeout_IsPreempted(10 * S, 10 * S, now));
    assert_false(
        CaroEventTimeout_IsPreempted(10 * S, 10 * S + 20 * CARO_MS, now));
}

/* A pause over 700 ms is late: an engine that falls silent is left early
   enough for another to go on, a busy one is not left. */
static void
test_patience_with_engines(void **state)
{
    (void)state;
    CaroRoute route = stream_route();
    CaroEventTimeoutQuery q = {.route = &route, .is_first = true};
    assert_true(CaroEventTimeout_Get(&q) < route.objective);
    q.has_prefill_ahead = true;
    assert_int_equal(CaroEventTimeout_Get(&q), route.objective);
    /* Once another VM saw it fall silent, it is only waited for as between
       two events. */
    q.is_target_suspected = true;
    assert_true(CaroEventTimeout_Get(&q) <= 350 * CARO_MS);
    q.is_target_suspected = false;
    q.has_events = true;
    assert_true(CaroEventTimeout_Get(&q) <= 350 * CARO_MS);
    /* Five tokens beside a prompt that is read take 150 ms. */
    assert_true(CaroEventTimeout_Get(&q) >= 2 * 150 * CARO_MS);
    /* A second wait for a first event would only add to the load. */
    q = (CaroEventTimeoutQuery){.route = &route};
    assert_int_equal(CaroEventTimeout_Get(&q), route.timeout);
    route.gap = 0;
    q.is_target_suspected = true;
    assert_true(CaroEventTimeout_Get(&q) > 0);
    route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    assert_int_equal(CaroEventTimeout_Get(&q), route.timeout);
}

/* Of a version that is never found bad, the requests it gets before its
   time is over stay below what may be exposed. */
static void
test_a_course_exposes_no_more_than_it_may(void **state)
{
    (void)state;
    static const double mosts[] = {0.02, 0.1, 0.3};
    for (size_t i = 0; i < 3; i++) {
        double sum = 0.0;
        CaroRolloutSchedule c = {.is_start_recorded = true,
                                 .duration = 10 * S};
        int steps = 0;
        for (c.elapsed = 0; c.elapsed < c.duration; c.elapsed += 10000) {
            if (CaroRolloutSchedule_Next(&c) == CARO_ROLLOUT_STEP_CONTINUE) {
                /* 22 requests a second, as the order services have. */
                c.requests = 22.0 * (double)c.elapsed / CARO_SECOND;
                sum += CaroRolloutSchedule_Share(&c, mosts[i], 50.0);
            }
            steps++;
        }
        assert_true(sum / steps * 220.0 <= mosts[i] * 220.0 + 50.0);
        assert_true(sum / steps * 220.0 >= 20.0);
    }
}

static void
test_a_course_ends_in_its_time(void **state)
{
    (void)state;
    CaroRolloutSchedule c = {.duration = 10 * S};
    assert_int_equal(CaroRolloutSchedule_Next(&c), CARO_ROLLOUT_STEP_START);
    c.is_start_recorded = true;
    assert_int_equal(CaroRolloutSchedule_Next(&c), CARO_ROLLOUT_STEP_CONTINUE);
    c.elapsed = 9500 * CARO_MS;
    assert_int_equal(CaroRolloutSchedule_Next(&c), CARO_ROLLOUT_STEP_FINISH);
    c.is_bad = true;
    assert_int_equal(CaroRolloutSchedule_Next(&c),
                     CARO_ROLLOUT_STEP_ROLL_BACK);
    assert_true(CaroRolloutSchedule_Share(&c, 0.1, 50.0) == 0.0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_an_order_runs_at_most_once),
        cmocka_unit_test(test_a_lookup_is_repeated_within_its_attempts),
        cmocka_unit_test(test_a_stream_goes_on_only_if_it_may),
        cmocka_unit_test(test_entry_of_a_proven_configuration),
        cmocka_unit_test(test_entry_without_a_proof),
        cmocka_unit_test(test_entry_in_the_first_moment),
        cmocka_unit_test(test_a_proof_ages_from_the_sending_of_its_call),
        cmocka_unit_test(test_a_proof_passed_on_is_never_too_young),
        cmocka_unit_test(test_entries_that_lapse_in_an_outage_wait),
        cmocka_unit_test(test_patience_with_engines),
        cmocka_unit_test(test_patience_with_engines_that_are_heard),
        cmocka_unit_test(test_a_course_exposes_no_more_than_it_may),
        cmocka_unit_test(test_a_course_ends_in_its_time),
        cmocka_unit_test(test_the_retry_budget_holds_over_all_vms),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
