/* Tests of the configuration by which a gateway serves: what one that is
   newer, older, or cannot be read changes. */
#include "test.h"

#include "internal/caro_active_config.h"

#include <string.h>

#define ROUTE                                                                 \
    "\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","       \
    "\"kind\":\"idempotent\",\"service\":\"s\"}]}"

static int
apply(CaroActiveConfig *c, const char *text, int64_t revision)
{
    return CaroActiveConfig_Apply(c, text, strlen(text), revision, "test");
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

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_newer_configuration_replaces_older),
        cmocka_unit_test(test_unreadable_configuration_supersedes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
