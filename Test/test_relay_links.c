/*
 * Tests of requests whose connections to upstreams fail, with the scripted
 * upstream of relay_fixture.h.
 */
#include "relay_fixture.h"

enum { DEAD_TARGETS = 8 };

/* Registers upstreams that refuse connections, beside one that serves. */
static void
put_dead_targets(Fixture *f)
{
    CaroTargets_Remove(f->deps.targets, 1);
    for (int i = 0; i < DEAD_TARGETS; i++) {
        CaroTargetEntry e = {.slots = 4};
        (void)snprintf(e.id, sizeof(e.id), "dead-%d", i);
        reserve_address(e.address);
        CARO_COPY(e.domain, "d");
        CARO_COPY(e.service, "s");
        CARO_COPY(e.version, "v1");
        assert_true(CaroTargets_Put(f->deps.targets, &e, CaroClock_Now()) !=
                    CARO_NO_HANDLE);
    }
}

/* Guards against a request that is refused for lack of retry budget although
   it has not arrived anywhere. */
static void
test_failed_connections_need_no_retry_budget(void **state)
{
    Fixture *f = *state;
    CaroRelays_SetVms(f->relays, 1000);
    f->route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    put_dead_targets(f);
    script(f, RESPONSE_KEEP_OPEN, RESPONSE("r1", "good"));
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "\r\n\r\ngood");
    assert_int_equal(f->up.n_requests, 1);
    assert_true(f->counters.values[CARO_COUNT_RELAY_RETRIES] > 0);
}

/* Guards against a budget that is not spent by what did arrive. */
static void
test_attempt_after_one_that_arrived_needs_retry_budget(void **state)
{
    Fixture *f = *state;
    CaroRelays_SetVms(f->relays, 1000);
    f->route.kind = CARO_ROUTE_IDEMPOTENT;
    script(f, RESPONSE_CLOSE, "");
    request(f, "r1", 3, LOOP_STEP);
    wait_for(f, "HTTP/1.1 502");
    assert_int_equal(f->up.n_requests, 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        RELAY_TEST(test_failed_connections_need_no_retry_budget),
        RELAY_TEST(test_attempt_after_one_that_arrived_needs_retry_budget),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
