/* Tests of the configuration by which a gateway serves: what one that is
   newer, older, or cannot be read changes. */
#include "test.h"

#include "internal/caro_active_config.h"

#include <stdio.h>
#include <string.h>

#define ROUTE                                                                 \
    "\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","       \
    "\"kind\":\"idempotent\",\"service\":\"s\"}]}"

static int
apply(CaroActiveConfig *c, const char *text, int64_t revision)
{
    return CaroActiveConfig_Apply(c, text, strlen(text), revision, "test",
                                  CARO_SECOND);
}

static void
test_newer_configuration_replaces_older(void **state)
{
    (void)state;
    size_t size;
    CaroCounters counters = {0};
    CaroActiveConfig *c = CaroActiveConfig_Create(&counters);
    assert_null(CaroActiveConfig_Routes(c));
    assert_null(CaroActiveConfig_Text(c, &size));
    assert_int_equal(apply(c, "{\"version\":3," ROUTE, 10), 1);
    CaroActiveConfig_Freshness(c)->confirmed_at = CARO_SECOND;
    assert_int_equal(apply(c, "{\"version\":2," ROUTE, 9), 0);
    assert_int_equal(apply(c, "{\"version\":3," ROUTE, 10), 0);
    assert_int_equal(CaroRoutes_Version(CaroActiveConfig_Routes(c)), 3);
    assert_int_equal(apply(c, "{\"version\":7," ROUTE, 12), 1);
    assert_int_equal(CaroRoutes_Version(CaroActiveConfig_Routes(c)), 7);
    assert_string_equal(CaroActiveConfig_Text(c, &size),
                        "{\"version\":7," ROUTE);
    assert_int_equal(size, strlen("{\"version\":7," ROUTE));
    assert_int_equal(CaroActiveConfig_FreshnessConst(c)->revision, 12);
    assert_int_equal(CaroActiveConfig_FreshnessConst(c)->confirmed_at,
                     CARO_SECOND);
    assert_int_equal(counters.values[CARO_COUNT_CONFIG_APPLIED], 2);
    CaroActiveConfig_Destroy(c);
}

/* One that cannot be read is remembered until there is a newer one; another VM
   still gets the text of the last that could be. */
static void
test_unreadable_configuration_supersedes(void **state)
{
    (void)state;
    size_t size;
    CaroCounters counters = {0};
    CaroActiveConfig *c = CaroActiveConfig_Create(&counters);
    assert_true(apply(c, "", 5) < 0);
    assert_int_equal(CaroActiveConfig_RejectedRevision(c), 5);
    assert_null(CaroActiveConfig_Routes(c));
    assert_int_equal(apply(c, "{\"version\":3," ROUTE, 10), 1);
    assert_int_equal(CaroActiveConfig_RejectedRevision(c), 0);
    for (int i = 0; i < 3; i++) { /* As the registry reads it again. */
        assert_true(apply(c, "{\"routes\":7}", 12) < 0);
    }
    assert_int_equal(CaroActiveConfig_RejectedRevision(c), 12);
    assert_int_equal(counters.values[CARO_COUNT_CONFIG_REJECTED], 2);
    assert_int_equal(CaroActiveConfig_FreshnessConst(c)->revision, 10);
    assert_non_null(CaroActiveConfig_Text(c, &size));
    assert_true(apply(c, "{\"routes\":7}", 9) == 0);
    assert_int_equal(apply(c, "{\"version\":4," ROUTE, 11), 1);
    assert_int_equal(CaroActiveConfig_RejectedRevision(c), 12);
    assert_int_equal(apply(c, "{\"version\":5," ROUTE, 12), 1);
    assert_int_equal(CaroActiveConfig_RejectedRevision(c), 0);
    CaroActiveConfig_Destroy(c);
}

/* --- a store that was restored from an older copy --- */

#define VERSION(text) "{\"version\":" text "," ROUTE

static CaroActiveConfig *
create_with_version_11(CaroCounters *counters)
{
    CaroActiveConfig *c = CaroActiveConfig_Create(counters);
    assert_int_equal(apply(c, VERSION("11"), 39), CARO_CONFIG_APPLIED);
    CaroActiveConfig_Freshness(c)->confirmed_at = CARO_SECOND;
    return c;
}

static int64_t
version_of(const CaroActiveConfig *c)
{
    return CaroRoutes_Version(CaroActiveConfig_Routes(c));
}

/* Guards against a revision that was given out twice, for two contents. */
static void
test_number_given_out_again_is_another_configuration(void **state)
{
    (void)state;
    CaroCounters counters = {0};
    CaroActiveConfig *c = create_with_version_11(&counters);
    CaroRevision again = CaroRevision_Make(1, 39);
    assert_true(CaroActiveConfig_Wants(c, again));
    assert_int_equal(apply(c, VERSION("14"), again), CARO_CONFIG_APPLIED);
    assert_int_equal(version_of(c), 14);
    assert_int_equal(CaroActiveConfig_FreshnessConst(c)->revision, again);
    CaroActiveConfig_Destroy(c);
}

/* Guards against an acknowledged version that comes back older. */
static void
test_copy_does_not_bring_back_an_older_version(void **state)
{
    (void)state;
    CaroCounters counters = {0};
    CaroActiveConfig *c = create_with_version_11(&counters);
    CaroRevision copied = CaroRevision_Make(1, 25);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(apply(c, VERSION("8"), copied),
                         CARO_CONFIG_SUPERSEDED);
    }
    assert_int_equal(counters.values[CARO_COUNT_CONFIG_SUPERSEDED], 1);
    assert_int_equal(version_of(c), 11);
    assert_int_equal(CaroActiveConfig_FreshnessConst(c)->revision, 39);
    assert_false(CaroActiveConfig_Wants(c, copied));
    /* The operator writes it again. */
    CaroRevision again = CaroRevision_Make(1, 26);
    assert_int_equal(apply(c, VERSION("11"), again), CARO_CONFIG_KNOWN);
    assert_int_equal(CaroActiveConfig_FreshnessConst(c)->revision, again);
    assert_int_equal(CaroActiveConfig_FreshnessConst(c)->confirmed_at,
                     CARO_SECOND);
    assert_int_equal(apply(c, VERSION("12"), again + 1), CARO_CONFIG_APPLIED);
    /* A late copy from a VM that started beside it. */
    assert_int_equal(apply(c, VERSION("8"), copied), CARO_CONFIG_KNOWN);
    assert_int_equal(version_of(c), 12);
    CaroActiveConfig_Destroy(c);
}

/* Guards against VMs that refuse all requests because the operator does not
   write the version again that one of them had seen. */
static void
test_copy_that_stays_is_put_in_force(void **state)
{
    (void)state;
    CaroCounters counters = {0};
    CaroActiveConfig *c = create_with_version_11(&counters);
    CaroRevision copied = CaroRevision_Make(1, 25);
    CaroTime overdue = CARO_SECOND + CARO_CONFIG_REWRITE_TIMEOUT;
    assert_int_equal(apply(c, VERSION("8"), copied), CARO_CONFIG_SUPERSEDED);
    const char *text = VERSION("8");
    assert_int_equal(CaroActiveConfig_Apply(c, text, strlen(text), copied,
                                            "test", overdue - 1),
                     CARO_CONFIG_SUPERSEDED);
    assert_int_equal(
        CaroActiveConfig_Apply(c, text, strlen(text), copied, "test", overdue),
        CARO_CONFIG_APPLIED);
    assert_int_equal(version_of(c), 8);
    assert_false(CaroActiveConfig_Wants(c, 39));
    CaroActiveConfig_Destroy(c);
}

/* Guards against a VM that started beside the copy and keeps what it found
   although other VMs know better, and confirms it. */
static void
test_vm_that_started_beside_the_copy_learns_the_version_of_others(void **state)
{
    (void)state;
    CaroCounters counters = {0};
    CaroActiveConfig *c = CaroActiveConfig_Create(&counters);
    CaroRevision copied = CaroRevision_Make(1, 25);
    assert_int_equal(apply(c, VERSION("8"), copied), CARO_CONFIG_APPLIED);
    CaroConfigFreshness_Record(CaroActiveConfig_Freshness(c), copied,
                               CARO_SECOND);
    assert_true(CaroActiveConfig_Wants(c, 39));
    assert_int_equal(apply(c, VERSION("11"), 39), CARO_CONFIG_APPLIED);
    assert_int_equal(version_of(c), 11);
    assert_int_equal(CaroActiveConfig_FreshnessConst(c)->confirmed_at, 0);
    assert_int_equal(apply(c, VERSION("8"), copied), CARO_CONFIG_SUPERSEDED);
    assert_int_equal(apply(c, VERSION("11"), copied + 1), CARO_CONFIG_KNOWN);
    assert_int_equal(version_of(c), 11);
    /* An older one of the earlier timeline is examined once. */
    assert_false(CaroActiveConfig_Wants(c, 39));
    assert_false(CaroActiveConfig_Wants(c, 38));
    CaroActiveConfig_Destroy(c);
}

/* Guards against a VM that serves for seconds by a configuration although it
   knows that there is a newer one. */
static void
test_time_without_an_announced_configuration_runs_from_the_first(void **state)
{
    (void)state;
    CaroTime at = CARO_SECOND;
    CaroCounters counters = {0};
    CaroActiveConfig *c = CaroActiveConfig_Create(&counters);
    assert_int_equal(apply(c, VERSION("8"), 20), CARO_CONFIG_APPLIED);
    CaroActiveConfig_RecordAnnounced(c, 20, at);
    assert_int_equal(CaroActiveConfig_LackingTime(c, at + 1), 0);
    CaroActiveConfig_RecordAnnounced(c, 25, at);
    CaroActiveConfig_RecordAnnounced(c, 27, at + CARO_SECOND);
    CaroActiveConfig_RecordAnnounced(c, 25, at + 2 * CARO_SECOND);
    assert_int_equal(CaroActiveConfig_LackingTime(c, at + 2 * CARO_SECOND),
                     2 * CARO_SECOND);
    assert_int_equal(apply(c, VERSION("9"), 25), CARO_CONFIG_APPLIED);
    /* The other one has been known for a shorter time. */
    assert_int_equal(CaroActiveConfig_LackingTime(c, at + 3 * CARO_SECOND),
                     2 * CARO_SECOND);
    assert_int_equal(apply(c, VERSION("11"), 27), CARO_CONFIG_APPLIED);
    assert_int_equal(CaroActiveConfig_LackingTime(c, at + 3 * CARO_SECOND), 0);
    /* One that no VM has any more is not waited for without end. */
    CaroActiveConfig_RecordAnnounced(c, 30, at);
    assert_int_equal(
        CaroActiveConfig_LackingTime(c, at + CARO_CONFIG_ANNOUNCEMENT_TTL), 0);
    CaroActiveConfig_Destroy(c);
}

/* Guards against a VM that refuses requests after a restoration because
   another one still had a revision of the earlier timeline. */
static void
test_revision_of_an_earlier_timeline_is_not_lacked(void **state)
{
    (void)state;
    CaroTime at = CARO_SECOND;
    CaroCounters counters = {0};
    CaroActiveConfig *c = CaroActiveConfig_Create(&counters);
    CaroRevision restored = CaroRevision_Make(1, 25);
    assert_int_equal(apply(c, VERSION("8"), restored), CARO_CONFIG_APPLIED);
    assert_true(CaroActiveConfig_Wants(c, 39));
    CaroActiveConfig_RecordAnnounced(c, 39, at);
    assert_int_equal(CaroActiveConfig_LackingTime(c, at + 2 * CARO_SECOND), 0);
    CaroActiveConfig_RecordAnnounced(c, restored + 1, at);
    assert_int_equal(CaroActiveConfig_LackingTime(c, at + 2 * CARO_SECOND),
                     2 * CARO_SECOND);
    CaroActiveConfig_Destroy(c);
}

/* Likewise because it had itself waited for that revision before. */
static void
test_revision_that_arrived_is_not_lacked_after_a_restoration(void **state)
{
    (void)state;
    CaroTime at = CARO_SECOND;
    CaroCounters counters = {0};
    CaroActiveConfig *c = CaroActiveConfig_Create(&counters);
    assert_int_equal(apply(c, VERSION("8"), 34), CARO_CONFIG_APPLIED);
    CaroActiveConfig_RecordAnnounced(c, 35, at);
    assert_int_equal(apply(c, VERSION("9"), 35), CARO_CONFIG_APPLIED);
    assert_int_equal(apply(c, VERSION("9"), CaroRevision_Make(1, 43)),
                     CARO_CONFIG_KNOWN);
    assert_int_equal(CaroActiveConfig_LackingTime(c, at + 2 * CARO_SECOND), 0);
    CaroActiveConfig_Destroy(c);
}

/* Guards against refusals in a series of which each configuration arrives
   shortly after the next one was announced. */
static void
test_series_that_arrives_in_time_is_not_lacked_from_its_beginning(void **state)
{
    (void)state;
    CaroTime at = CARO_SECOND;
    CaroCounters counters = {0};
    CaroActiveConfig *c = CaroActiveConfig_Create(&counters);
    assert_int_equal(apply(c, VERSION("8"), 20), CARO_CONFIG_APPLIED);
    for (int64_t i = 1; i < 40; i++) {
        char text[256];
        CaroTime now = at + i * 330 * CARO_MS;
        CaroActiveConfig_RecordAnnounced(c, 20 + i, now);
        assert_true(CaroActiveConfig_LackingTime(c, now) <= 330 * CARO_MS);
        if (i > 1) {
            (void)snprintf(text, sizeof(text), "{\"version\":%lld," ROUTE,
                           (long long)(7 + i));
            assert_int_equal(apply(c, text, 19 + i), CARO_CONFIG_APPLIED);
        }
    }
    for (int64_t i = 0; i < 20; i++) { /* More than are remembered. */
        CaroActiveConfig_RecordAnnounced(c, 100 + i, at + i);
    }
    assert_true(CaroActiveConfig_LackingTime(c, at + CARO_SECOND) > 0);
    CaroActiveConfig_Destroy(c);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_newer_configuration_replaces_older),
        cmocka_unit_test(test_unreadable_configuration_supersedes),
        cmocka_unit_test(test_number_given_out_again_is_another_configuration),
        cmocka_unit_test(test_copy_does_not_bring_back_an_older_version),
        cmocka_unit_test(test_copy_that_stays_is_put_in_force),
        cmocka_unit_test(
            test_vm_that_started_beside_the_copy_learns_the_version_of_others),
        cmocka_unit_test(
            test_time_without_an_announced_configuration_runs_from_the_first),
        cmocka_unit_test(test_revision_of_an_earlier_timeline_is_not_lacked),
        cmocka_unit_test(
            test_revision_that_arrived_is_not_lacked_after_a_restoration),
        cmocka_unit_test(
            test_series_that_arrives_in_time_is_not_lacked_from_its_beginning),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
