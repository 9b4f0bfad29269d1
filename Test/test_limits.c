/* Tests of the limit of concurrent generations of a VM. */
#include "test.h"

#include "internal/caro_limits.h"

#include <stdio.h>

static CaroUpstreams *
create(int running)
{
    CaroUpstreams *t = CaroUpstreams_Create();
    for (int i = 0; i < 4; i++) {
        CaroUpstream u = {.kind = CARO_UPSTREAM_MODEL};
        (void)snprintf(u.name, sizeof(u.name), "e%d", i);
        CARO_COPY(u.deployment, "chat");
        CaroHandle h = CaroUpstreams_Put(t, &u);
        CaroUpstreams_RecordLoad(t, h, running, 0, 32, 0);
    }
    return t;
}

/* Four engines of 32 slots and two VMs: 64 each, plus headroom. */
static void
test_limit_is_a_share_of_the_capacity(void **state)
{
    (void)state;
    CaroUpstreams *t = create(32);
    int limit = CaroLimits_Get(t, "chat", 10, 2, 0);
    assert_true(limit >= 64 && limit <= 70);
    CaroUpstreams_Destroy(t);
}

/* With full engines the limit must not rise with the running count. */
static void
test_limit_does_not_rise_without_free_slots(void **state)
{
    (void)state;
    CaroUpstreams *t = create(32);
    int running = 60;
    for (int tick = 0; tick < 1000; tick++) {
        int limit = CaroLimits_Get(t, "chat", running, 2, 0);
        running = limit > running ? running + 1 : running;
    }
    assert_true(running <= 70);
    CaroUpstreams_Destroy(t);
}

static void
test_busy_vm_uses_free_slots(void **state)
{
    (void)state;
    CaroUpstreams *t = create(20);
    assert_true(CaroLimits_Get(t, "chat", 80, 2, 0) > 80);
    /* An old report does not count as free slots. */
    assert_int_equal(CaroLimits_Get(t, "chat", 80, 2, 60 * CARO_SECOND), 80);
    CaroUpstreams_Destroy(t);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_limit_is_a_share_of_the_capacity),
        cmocka_unit_test(test_limit_does_not_rise_without_free_slots),
        cmocka_unit_test(test_busy_vm_uses_free_slots),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
