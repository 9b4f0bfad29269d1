/* Tests of the gateway's small rules: attempts, request checks, freshness,
   timeouts, rollout schedules and retry budgets. */
#include "test.h"

#include "internal/caro_attempt.h"
#include "internal/caro_config_freshness.h"
#include "internal/caro_event_timeout.h"
#include "internal/caro_lease_grace.h"
#include "internal/caro_platform.h"
#include "internal/caro_request_check.h"
#include "internal/caro_retry_budget.h"
#include "internal/caro_rollout_schedule.h"

#include <stdio.h>
#include <string.h>

#define S CARO_SECOND

static CaroAttempt
make_attempt(CaroRouteKind kind, bool is_resumable)
{
    return (CaroAttempt){.kind = kind,
                         .is_resumable = is_resumable,
                         .attempts_max = 2,
                         .deadline = 10 * S};
}

static void
test_order_runs_at_most_once(void **state)
{
    (void)state;
    CaroAttempt a = make_attempt(CARO_ROUTE_NON_IDEMPOTENT, false);
    /* A request that certainly did not run is retried; such attempts do not
       count as runs. */
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_UNSENT, true, S),
                     CARO_STEP_RETRY);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_NOT_RUN, true, S),
                     CARO_STEP_RETRY);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_GONE, true, S),
                     CARO_STEP_RETRY);
    /* Without an upstream it is refused, since it has not run. */
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_NO_TARGET, true, S),
                     CARO_STEP_REFUSE);
    /* After a lost response it may have run, so its outcome is unknown. */
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_LOST, true, S),
                     CARO_STEP_FAIL);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_NOT_RUN, false, S),
                     CARO_STEP_FAIL);
    a = make_attempt(CARO_ROUTE_NON_IDEMPOTENT, false);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_FAILED, true, S),
                     CARO_STEP_FORWARD);
    a = make_attempt(CARO_ROUTE_NON_IDEMPOTENT, false);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_EXPIRED, true, 10 * S),
                     CARO_STEP_EXPIRE);
}

static void
test_idempotent_request_is_retried_within_its_attempts(void **state)
{
    (void)state;
    CaroAttempt a = make_attempt(CARO_ROUTE_IDEMPOTENT, false);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_FAILED, true, S),
                     CARO_STEP_RETRY);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_FAILED, true, S),
                     CARO_STEP_FORWARD);
    a = make_attempt(CARO_ROUTE_IDEMPOTENT, false);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_LOST, false, S),
                     CARO_STEP_FAIL);
    a = make_attempt(CARO_ROUTE_IDEMPOTENT, false);
    a.has_response_begun = true;
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_LOST, true, S),
                     CARO_STEP_ABORT);
}

static void
test_only_resumable_stream_is_resumed(void **state)
{
    (void)state;
    CaroAttempt a = make_attempt(CARO_ROUTE_STREAM, true);
    a.has_response_begun = true;
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_SILENT, true, S),
                     CARO_STEP_RETRY);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_NO_TARGET, true, S),
                     CARO_STEP_WAIT);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_LOST, true, S),
                     CARO_STEP_ABORT);
    a = make_attempt(CARO_ROUTE_STREAM, false);
    assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_LOST, true, S),
                     CARO_STEP_FAIL);
    /* Targets of a crashed domain refuse connections one after the other. */
    a = make_attempt(CARO_ROUTE_STREAM, true);
    a.has_response_begun = true;
    for (a.tries = 1; a.tries < 20; a.tries++) {
        assert_int_equal(CaroAttempt_End(&a, CARO_OUTCOME_GONE, true, S),
                         CARO_STEP_RETRY);
    }
}

static void
test_stream_that_has_begun_waits_for_retry_budget(void **state)
{
    (void)state;
    CaroOutcome unserved[] = {CARO_OUTCOME_UNSENT, CARO_OUTCOME_GONE,
                              CARO_OUTCOME_NOT_RUN};
    for (size_t i = 0; i < sizeof(unserved) / sizeof(*unserved); i++) {
        CaroAttempt a = make_attempt(CARO_ROUTE_STREAM, true);
        a.has_response_begun = true;
        a.runs = 1;
        assert_int_equal(CaroAttempt_End(&a, unserved[i], false, S),
                         CARO_STEP_WAIT);
        assert_int_equal(CaroAttempt_End(&a, unserved[i], true, 10 * S),
                         CARO_STEP_ABORT);
    }
}

/* Guards against the cut of a lost stream while the deployment has budget that
   this VM lacks; a wait that ends after the gap objective helps no caller. */
static void
test_lost_stream_waits_for_retry_budget_up_to_its_gap(void **state)
{
    (void)state;
    CaroOutcome lost[] = {CARO_OUTCOME_LOST, CARO_OUTCOME_SILENT,
                          CARO_OUTCOME_FAILED};
    for (size_t i = 0; i < sizeof(lost) / sizeof(*lost); i++) {
        CaroAttempt a = make_attempt(CARO_ROUTE_STREAM, true);
        a.has_response_begun = true;
        a.attempts_max = 4;
        a.gap = 700 * CARO_MS;
        a.last_event_at = S;
        assert_int_equal(
            CaroAttempt_End(&a, lost[i], false, S + 300 * CARO_MS),
            CARO_STEP_WAIT);
        assert_int_equal(a.wait_end, S + 700 * CARO_MS);
        assert_int_equal(
            CaroAttempt_End(&a, lost[i], false, S + 700 * CARO_MS),
            CARO_STEP_ABORT);
        a.last_event_at = 9500 * CARO_MS;
        assert_int_equal(CaroAttempt_End(&a, lost[i], false, 9600 * CARO_MS),
                         CARO_STEP_WAIT);
        assert_int_equal(a.wait_end, a.deadline);
        /* Its last run: no budget could help. */
        assert_int_equal(CaroAttempt_End(&a, lost[i], false, 9600 * CARO_MS),
                         CARO_STEP_ABORT);
        /* Nothing has begun that could be lost. */
        a = make_attempt(CARO_ROUTE_STREAM, true);
        a.gap = 700 * CARO_MS;
        a.last_event_at = S;
        assert_int_equal(CaroAttempt_End(&a, lost[i], false, S),
                         lost[i] == CARO_OUTCOME_FAILED ? CARO_STEP_FORWARD
                                                        : CARO_STEP_FAIL);
    }
}

static const CaroRouteShare one_share = {.service = "s", .weight = 1};

static CaroRoutes *
make_routes(void)
{
    CaroRoutes *r = CaroRoutes_Create(7);
    CaroRoute route = {
        .kind = CARO_ROUTE_STREAM, .shares = &one_share, .n_shares = 1};
    CaroClientAccount account = {.name = "yard", .priority = 1};
    int index;
    route.host = "A.example";
    route.prefix = "/x/";
    CARO_COPY(route.name, "short");
    assert_int_equal(CaroRoutes_Add(r, &route), 0);
    route.prefix = "/x/long/";
    CARO_COPY(route.name, "long");
    assert_int_equal(CaroRoutes_Add(r, &route), 0);
    route.prefix = "/open/";
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
check(const CaroRoutes *r, const char *path, const char *key,
      bool is_config_fresh)
{
    CaroRequestCheckQuery q = {.routes = r,
                               .has_target_list = true,
                               .is_config_fresh = is_config_fresh,
                               .host = text_of("a.Example:80"),
                               .path = text_of(path),
                               .key = text_of(key)};
    return CaroRequestCheck_Run(&q);
}

/* A list of accounts that is there and empty closes all routes that are not
   public; without the list they are open (review/3). */
static void
test_empty_list_of_accounts_admits_no_key(void **state)
{
    (void)state;
    static const char routes[] =
        "\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","
        "\"path_prefix\":\"/x/\",\"kind\":\"idempotent\","
        "\"service\":\"s\"},{\"name\":\"p\",\"host\":\"a.example\","
        "\"path_prefix\":\"/p/\",\"kind\":\"idempotent\","
        "\"service\":\"s\",\"public\":true}]";
    static const struct {
        const char *tenants;
        int status; /* Of a route that is not public, for any key. */
    } cases[] = {
        {"", 0},
        {",\"tenants\":[]", 401},
        {",\"tenants\":[{\"name\":\"t\"}]", 401},
        {",\"tenants\":[{\"name\":\"t\",\"api_keys\":[]}]", 401},
        {",\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"\"]}]", 401},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        static const char *const keys[] = {NULL, "", "key-1"};
        char text[1024];
        CaroRoutes *r;
        CaroError err;
        int n = snprintf(text, sizeof(text), "{\"version\":2,%s%s}", routes,
                         cases[i].tenants);
        assert_int_equal(CaroPlatform_ReadConfig(text, (size_t)n, &r, &err),
                         0);
        for (size_t j = 0; j < sizeof(keys) / sizeof(keys[0]); j++) {
            assert_int_equal(check(r, "/x/1", keys[j], true).status,
                             cases[i].status);
            assert_int_equal(check(r, "/p/1", keys[j], true).status, 0);
        }
        CaroRoutes_Destroy(r);
    }
}

static void
test_request_check_with_fresh_configuration(void **state)
{
    (void)state;
    CaroRoutes *r = make_routes();
    assert_int_equal(check(r, "/x/1", "key-1", true).status, 0);
    assert_string_equal(check(r, "/x/1", "key-1", true).route->name, "short");
    assert_string_equal(check(r, "/x/long/1", "key-1", true).route->name,
                        "long");
    assert_string_equal(check(r, "/x/long", "key-1", true).route->name,
                        "short");
    assert_string_equal(check(r, "/x/1", "key-1", true).account->name, "yard");
    assert_int_equal(check(r, "/x/1", "key-2", true).status, 401);
    assert_int_equal(check(r, "/x/1", NULL, true).status, 401);
    assert_int_equal(check(r, "/y/1", "key-1", true).status, 404);
    assert_int_equal(check(r, "/open/1", NULL, true).status, 0);
    CaroRoutes_Destroy(r);
}

/* A VM whose configuration may be out of date rejects no key or route as
   unknown. */
static void
test_request_check_with_stale_configuration(void **state)
{
    (void)state;
    CaroRoutes *r = make_routes();
    assert_int_equal(check(r, "/x/1", "key-1", false).status, 503);
    assert_int_equal(check(r, "/x/1", "key-2", false).status, 503);
    assert_int_equal(check(r, "/y/1", "key-1", false).status, 503);
    assert_true(check(r, "/y/1", "key-1", false).retry_after_s > 0.0);
    assert_int_equal(check(r, "/open/1", NULL, false).status, 0);
    assert_int_equal(check(NULL, "/x/1", "key-1", true).status, 503);
    CaroRequestCheckQuery stopping = {.routes = r,
                                      .has_target_list = true,
                                      .is_config_fresh = true,
                                      .is_stopping = true,
                                      .host = text_of("a.example"),
                                      .path = text_of("/open/1")};
    assert_int_equal(CaroRequestCheck_Run(&stopping).status, 503);
    CaroRoutes_Destroy(r);
}

static void
test_request_that_may_outlast_a_stop_is_refused_at_once(void **state)
{
    (void)state;
    CaroRoutes *r = CaroRoutes_Create(7);
    CaroRoute route = {.kind = CARO_ROUTE_IDEMPOTENT,
                       .timeout = 2 * CARO_SECOND,
                       .shares = &one_share,
                       .n_shares = 1};
    route.host = "a.example";
    route.prefix = "/x/";
    assert_int_equal(CaroRoutes_Add(r, &route), 0);
    CaroRequestCheckQuery q = {.routes = r,
                               .has_target_list = true,
                               .is_config_fresh = true,
                               .is_stopping = true,
                               .time_to_exit = 2 * CARO_SECOND,
                               .host = text_of("a.example"),
                               .path = text_of("/x/1")};
    assert_int_equal(CaroRequestCheck_Run(&q).status, 0);
    q.time_to_exit--;
    assert_int_equal(CaroRequestCheck_Run(&q).status, 503);
    assert_true(CaroRequestCheck_Run(&q).retry_after_s > 0.0);
    q.caller_timeout = CARO_SECOND;
    assert_int_equal(CaroRequestCheck_Run(&q).status, 0);
    q.is_stopping = false;
    q.time_to_exit = 0;
    assert_int_equal(CaroRequestCheck_Run(&q).status, 0);
    CaroRoutes_Destroy(r);
}

/* Callers whose VM was killed may reach one that has just started.  Their
   requests are held during its first reads, for a limited time. */
static void
test_request_check_just_after_start(void **state)
{
    (void)state;
    CaroRequestCheckQuery q = {.host = text_of("a.example"),
                               .path = text_of("/x/1"),
                               .uptime = 20 * CARO_MS};
    assert_true(CaroRequestCheck_Run(&q).should_check_again);
    q.uptime = 300 * CARO_MS;
    assert_false(CaroRequestCheck_Run(&q).should_check_again);
    assert_int_equal(CaroRequestCheck_Run(&q).status, 503);
    q.uptime = 20 * CARO_MS;
    q.is_stopping = true;
    assert_false(CaroRequestCheck_Run(&q).should_check_again);
}

static void
test_freshness_counts_from_the_sending_of_the_call(void **state)
{
    (void)state;
    CaroConfigFreshness f = {0};
    assert_false(CaroConfigFreshness_IsFresh(&f, 5 * S, S));
    CaroConfigFreshness_Record(&f, 3, 10 * S);
    assert_true(CaroConfigFreshness_IsFresh(&f, 5 * S, 14 * S));
    /* A part of the limit is reserved for handling the request. */
    assert_false(
        CaroConfigFreshness_IsFresh(&f, 5 * S, 14 * S + 600 * CARO_MS));
    /* A late response to an earlier call does not refresh it. */
    CaroConfigFreshness_Record(&f, 3, 9 * S);
    assert_int_equal(f.confirmed_at, 10 * S);
    /* A peer's confirmation is dated by the time of the query, minus the age
       that the peer reports. */
    CaroConfigFreshness_RecordPeer(&f, 3, 2 * S, 20 * S);
    assert_int_equal(f.confirmed_at, 18 * S);
    /* One of another revision, or none at all, is ignored. */
    CaroConfigFreshness_RecordPeer(&f, 4, 0, 30 * S);
    CaroConfigFreshness_RecordPeer(&f, 3, -1, 30 * S);
    assert_int_equal(f.confirmed_at, 18 * S);
    CaroConfigFreshness_Record(&f, 2, 40 * S);
    assert_int_equal(f.revision, 3);
}

/* However peers relay it, a confirmation never appears newer than the read
   that gave it.  The test tries all chains of three hops with all delays of a
   small grid. */
static void
test_relayed_freshness_is_never_too_new(void **state)
{
    (void)state;
    for (int read = 0; read < 3; read++) {
        for (int hops = 0; hops < 4 * 4 * 4 * 4 * 4 * 4; hops++) {
            CaroConfigFreshness holder = {.revision = 1,
                                          .confirmed_at = 10 * S + read};
            CaroTime now = 11 * S;
            int rest = hops;
            for (int hop = 0; hop < 3; hop++) {
                CaroTime asked = now;
                CaroTime answered =
                    asked + rest % 4 * S; /* Delay of the query. */
                rest /= 4;
                CaroTime age = CaroConfigFreshness_Age(&holder, answered);
                CaroConfigFreshness next = {.revision = 1};
                CaroConfigFreshness_RecordPeer(&next, 1, age, asked);
                now = answered + rest % 4 * S; /* Delay of the response. */
                rest /= 4;
                holder = next;
            }
            assert_true(holder.confirmed_at <= 10 * S + read);
        }
    }
}

static void
test_leases_that_expire_in_an_outage_get_a_grace_period(void **state)
{
    (void)state;
    CaroLeaseGrace g = {0};
    /* Without an outage a missing target is removed at once. */
    assert_false(CaroLeaseGrace_Keeps(&g, 50 * S));
    CaroLeaseGrace_RecordResponse(&g, 40 * S, 40 * S);
    assert_false(CaroLeaseGrace_Keeps(&g, 41 * S));
    /* It is kept in an outage in which its lease may expire, and for a little
       over two seconds after it. */
    assert_true(CaroLeaseGrace_Keeps(&g, 43 * S));
    assert_true(CaroLeaseGrace_Keeps(&g, 49 * S));
    CaroLeaseGrace_RecordResponse(&g, 49 * S, 49 * S);
    assert_true(CaroLeaseGrace_Keeps(&g, 51 * S));
    CaroLeaseGrace_RecordResponse(&g, 51 * S, 51 * S);
    assert_false(CaroLeaseGrace_Keeps(&g, 51500 * CARO_MS));
    /* Again after a later outage. */
    CaroLeaseGrace_RecordResponse(&g, 60 * S, 60 * S);
    assert_true(CaroLeaseGrace_Keeps(&g, 61 * S));
}

static void
test_responses_of_the_store_to_other_vms_refute_an_outage(void **state)
{
    (void)state;
    CaroLeaseGrace g = {0};
    CaroLeaseGrace_RecordResponse(&g, 40 * S, 40 * S);
    for (int i = 1; i < 10; i++) {
        /* Each is 1.5 s old when a peer tells of it. */
        CaroLeaseGrace_RecordResponse(&g, (40 + i) * S - 1500 * CARO_MS,
                                      (40 + i) * S);
        assert_false(CaroLeaseGrace_Keeps(&g, (40 + i) * S + 800 * CARO_MS));
    }
    /* What looks like an outage of 4 s was none: a peer tells so later. */
    CaroLeaseGrace_RecordResponse(&g, 60 * S, 60 * S);
    CaroLeaseGrace_RecordResponse(&g, 64 * S, 64 * S);
    assert_true(CaroLeaseGrace_Keeps(&g, 64100 * CARO_MS));
    CaroLeaseGrace_RecordResponse(&g, 62 * S, 64200 * CARO_MS);
    assert_false(CaroLeaseGrace_Keeps(&g, 64300 * CARO_MS));
    /* An outage of 9 s of which a second is refuted remains one. */
    CaroLeaseGrace_RecordResponse(&g, 73 * S, 73 * S);
    CaroLeaseGrace_RecordResponse(&g, 65 * S, 73100 * CARO_MS);
    assert_true(CaroLeaseGrace_Keeps(&g, 73200 * CARO_MS));
}

/* 13 VMs make every retry they may, in bursts.  Together they stay within the
   deployment's budget. */
static void
test_retry_budget_holds_across_all_vms(void **state)
{
    (void)state;
    enum { VMS = 13, STEP_MS = 100, STEPS = 600, WINDOW = 100 };
    static int requests[STEPS];
    static int retries[STEPS];
    CaroRetryBudget *budgets[VMS];
    memset(requests, 0, sizeof(requests));
    memset(retries, 0, sizeof(retries));
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
                retries[step]++;
            }
        }
    }
    for (int from = 0; from + WINDOW <= STEPS; from++) {
        int all = 0;
        int retried = 0;
        for (int i = from; i < from + WINDOW; i++) {
            all += requests[i];
            retried += retries[i];
        }
        /* The limit follows this window or the one before it, whichever has
           more requests. */
        int before = 0;
        for (int i = from - WINDOW; i < from; i++) {
            before += i < 0 ? 0 : requests[i];
        }
        int requests_max = all > before ? all : before;
        assert_true(retried <= 0.8 * requests_max + 325.0);
    }
    /* The retries of one service do not count for another. */
    assert_true(
        CaroRetryBudget_AllowsRetry(budgets[0], "other", VMS, 100 * S));
    for (int vm = 0; vm < VMS; vm++) {
        CaroRetryBudget_Destroy(budgets[vm]);
    }
}

/* A route with the timeouts that the sites use. */
static CaroRoute
stream_route(void)
{
    return (CaroRoute){.kind = CARO_ROUTE_STREAM,
                       .timeout = 25 * S,
                       .objective = 4500 * CARO_MS,
                       .gap = 700 * CARO_MS};
}

/* Events of other streams show whether an engine is busy or lost. */
static void
test_event_timeout_with_events_of_other_streams(void **state)
{
    (void)state;
    CaroRoute route = stream_route();
    CaroEventTimeoutQuery q = {.route = &route, .is_first_run = true};
    CaroTime wait = CaroEventTimeout_Get(&q);
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 0), 10 * S + wait);
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 12 * S),
                     12 * S + wait);
    /* Once a stream has events, only its own events restart the wait. */
    q.has_events = true;
    wait = CaroEventTimeout_Get(&q);
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 12 * S),
                     10 * S + wait);
    /* A plain request does not wait behind prompts in a prefill queue. */
    route.kind = CARO_ROUTE_IDEMPOTENT;
    q.has_events = false;
    wait = CaroEventTimeout_Get(&q);
    assert_int_equal(CaroEventTimeout_Deadline(&q, 10 * S, 12 * S),
                     10 * S + wait);

    CaroTime now = 10 * S + 315 * CARO_MS;
    assert_true(CaroEventTimeout_IsPreempted(10 * S, now - 50 * CARO_MS, now));
    /* If all streams stopped at the same time, the engine is lost. */
    assert_false(CaroEventTimeout_IsPreempted(10 * S, 10 * S, now));
    assert_false(
        CaroEventTimeout_IsPreempted(10 * S, 10 * S + 20 * CARO_MS, now));
}

/* A gap over 700 ms is late.  A silent engine is given up early enough for
   another to resume the stream; a busy one is not given up. */
static void
test_event_timeout_of_silent_and_busy_engines(void **state)
{
    (void)state;
    CaroRoute route = stream_route();
    CaroEventTimeoutQuery q = {.route = &route, .is_first_run = true};
    assert_true(CaroEventTimeout_Get(&q) < route.objective);
    q.has_prefill_ahead = true;
    assert_int_equal(CaroEventTimeout_Get(&q), route.objective);
    /* Once another VM reported it silent, the timeout is that between two
       events. */
    q.is_target_suspected = true;
    assert_true(CaroEventTimeout_Get(&q) <= 350 * CARO_MS);
    q.is_target_suspected = false;
    q.has_events = true;
    assert_true(CaroEventTimeout_Get(&q) <= 350 * CARO_MS);
    /* Five tokens take 150 ms while the engine prefills a prompt. */
    assert_true(CaroEventTimeout_Get(&q) >= 2 * 150 * CARO_MS);
    /* Giving up a second wait for a first event would only add load. */
    q = (CaroEventTimeoutQuery){.route = &route};
    assert_int_equal(CaroEventTimeout_Get(&q), route.timeout);
    route.gap = 0;
    q.is_target_suspected = true;
    assert_true(CaroEventTimeout_Get(&q) > 0);
    route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    assert_int_equal(CaroEventTimeout_Get(&q), route.timeout);
}

/* A version that is never found bad gets no more requests during its rollout
   than may be exposed. */
static void
test_rollout_schedule_stays_within_its_exposure(void **state)
{
    (void)state;
    static const double exposures[] = {0.02, 0.1, 0.3};
    for (size_t i = 0; i < 3; i++) {
        double sum = 0.0;
        CaroRolloutSchedule s = {.is_start_recorded = true,
                                 .duration = 10 * S};
        int steps = 0;
        for (s.elapsed = 0; s.elapsed < s.duration; s.elapsed += 10000) {
            if (CaroRolloutSchedule_Next(&s) == CARO_ROLLOUT_STEP_CONTINUE) {
                /* 22 requests a second, the rate of the order services. */
                s.requests = 22.0 * (double)s.elapsed / CARO_SECOND;
                sum += CaroRolloutSchedule_Share(&s, exposures[i], 50.0);
            }
            steps++;
        }
        assert_true(sum / steps * 220.0 <= exposures[i] * 220.0 + 50.0);
        assert_true(sum / steps * 220.0 >= 20.0);
    }
}

static void
test_rollout_schedule_ends_in_time(void **state)
{
    (void)state;
    CaroRolloutSchedule s = {.duration = 10 * S};
    assert_int_equal(CaroRolloutSchedule_Next(&s), CARO_ROLLOUT_STEP_START);
    s.is_start_recorded = true;
    assert_int_equal(CaroRolloutSchedule_Next(&s), CARO_ROLLOUT_STEP_CONTINUE);
    s.elapsed = 9500 * CARO_MS;
    assert_int_equal(CaroRolloutSchedule_Next(&s), CARO_ROLLOUT_STEP_CONTINUE);
    s.is_supported = true;
    assert_int_equal(CaroRolloutSchedule_Next(&s), CARO_ROLLOUT_STEP_FINISH);
    s.elapsed = 9700 * CARO_MS;
    assert_int_equal(CaroRolloutSchedule_Next(&s), CARO_ROLLOUT_STEP_FINISH);
    s.is_supported = false;
    assert_int_equal(CaroRolloutSchedule_Next(&s),
                     CARO_ROLLOUT_STEP_ROLL_BACK);
    s.is_supported = true;
    s.is_bad = true;
    assert_int_equal(CaroRolloutSchedule_Next(&s),
                     CARO_ROLLOUT_STEP_ROLL_BACK);
    assert_true(CaroRolloutSchedule_Share(&s, 0.1, 50.0) == 0.0);
}

/* Guards against a 404 or 401 by a configuration that is known to be old. */
static void
test_vm_that_lacks_a_known_configuration_serves_nothing(void **state)
{
    (void)state;
    CaroRoutes *r = CaroRoutes_Create(1);
    CaroRequestCheckQuery q = {.routes = r,
                               .has_target_list = true,
                               .is_config_fresh = true,
                               .host = text_of("a.example"),
                               .path = text_of("/x")};
    assert_int_equal(CaroRequestCheck_Run(&q).status, 404);
    q.lacks_config = true;
    CaroRequestCheckResult result = CaroRequestCheck_Run(&q);
    assert_int_equal(result.status, 503);
    assert_true(result.retry_after_s > 0);
    CaroRoutes_Destroy(r);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_vm_that_lacks_a_known_configuration_serves_nothing),
        cmocka_unit_test(test_order_runs_at_most_once),
        cmocka_unit_test(
            test_idempotent_request_is_retried_within_its_attempts),
        cmocka_unit_test(test_only_resumable_stream_is_resumed),
        cmocka_unit_test(test_stream_that_has_begun_waits_for_retry_budget),
        cmocka_unit_test(
            test_lost_stream_waits_for_retry_budget_up_to_its_gap),
        cmocka_unit_test(test_empty_list_of_accounts_admits_no_key),
        cmocka_unit_test(test_request_check_with_fresh_configuration),
        cmocka_unit_test(test_request_check_with_stale_configuration),
        cmocka_unit_test(
            test_request_that_may_outlast_a_stop_is_refused_at_once),
        cmocka_unit_test(test_request_check_just_after_start),
        cmocka_unit_test(test_freshness_counts_from_the_sending_of_the_call),
        cmocka_unit_test(test_relayed_freshness_is_never_too_new),
        cmocka_unit_test(
            test_leases_that_expire_in_an_outage_get_a_grace_period),
        cmocka_unit_test(
            test_responses_of_the_store_to_other_vms_refute_an_outage),
        cmocka_unit_test(test_event_timeout_of_silent_and_busy_engines),
        cmocka_unit_test(test_event_timeout_with_events_of_other_streams),
        cmocka_unit_test(test_rollout_schedule_stays_within_its_exposure),
        cmocka_unit_test(test_rollout_schedule_ends_in_time),
        cmocka_unit_test(test_retry_budget_holds_across_all_vms),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
