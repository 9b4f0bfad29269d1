/* Tests of the settings reader: an error names its JSON path. */
#include "test.h"

#include "caro_settings.h"

#include <stdio.h>
#include <string.h>

#define SECRET                                                                \
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

#define HEAD                                                                  \
    "{\"vm\":\"n1\",\"http\":\"127.0.0.1:80\",\"peer\":\"127.0.0.1:81\","     \
    "\"domain\":\"d1\",\"region\":\"r1\",\"fleet_secret\":\"" SECRET "\""

static CaroSettings settings;
static CaroError err;

static int
parse(const char *text)
{
    return CaroSettings_Parse(text, strlen(text), "test", &settings, &err);
}

static void
check_refused(const char *text, const char *path, const char *found)
{
    assert_int_equal(parse(text), CARO_ERR_INPUT);
    if (strstr(err.detail, path) == NULL ||
        strstr(err.detail, found) == NULL) {
        fail_msg("the error \"%s\" lacks \"%s\" or \"%s\"", err.detail, path,
                 found);
    }
}

static void
test_valid_settings_and_defaults(void **state)
{
    (void)state;
    assert_int_equal(parse(HEAD ",\"platform\":{\"embedded\":true}}"), 0);
    assert_string_equal(settings.vm, "n1");
    assert_true(settings.is_platform_embedded);
    assert_int_equal(settings.heartbeat_interval_ms, 400);
    assert_false(settings.has_quick_rollouts);
    assert_int_equal(parse(HEAD ",\"platform\":{\"embedded\":true},"
                                "\"moves\":{\"quick\":true}}"),
                     0);
    assert_true(settings.has_quick_rollouts);
}

static void
test_errors_name_path_and_value(void **state)
{
    (void)state;
    check_refused(HEAD "}", "$.platform", "nothing");
    check_refused(HEAD ",\"platform\":{}}", "$.platform.store", "nothing");
    check_refused(HEAD ",\"platform\":{\"embedded\":1}}",
                  "$.platform.embedded", "an integer");
    check_refused(HEAD ",\"platform\":{\"embedded\":true},\"colour\":1}",
                  "$.colour", "an unknown key");
    check_refused(HEAD ",\"platform\":{\"embedded\":true},"
                       "\"timing\":{\"heartbeat_ms\":1}}",
                  "$.timing.heartbeat_ms",
                  "found 1; allowed: an integer "
                  "from 50 to 10000");
    check_refused(HEAD ",\"platform\":{\"embedded\":true},"
                       "\"timing\":{\"heartbeat_ms\":\"x\"}}",
                  "$.timing.heartbeat_ms", "a string");
    check_refused(HEAD ",\"platform\":{\"embedded\":true},"
                       "\"moves\":{\"quick\":3}}",
                  "$.moves.quick", "an integer");
    check_refused("{\"vm\":\"Big One\"}", "$.vm", "Big One");
    check_refused("[1", "line 1", "");
    check_refused(HEAD ",\"platform\":{\"store\":\"host:1\"}}",
                  "$.platform.store", "host:1");
}

static void
test_two_vms_with_one_address_are_refused(void **state)
{
    (void)state;
    check_refused(HEAD ",\"platform\":{\"embedded\":true},\"vms\":["
                       "{\"vm\":\"n1\",\"http\":\"10.0.0.1:80\",\"peer\":"
                       "\"10.0.0.1:81\",\"domain\":\"d\",\"region\":\"r\"},"
                       "{\"vm\":\"n2\",\"http\":\"10.0.0.1:80\",\"peer\":"
                       "\"10.0.0.2:81\",\"domain\":\"d\",\"region\":\"r\"}]}",
                  "$.vms[1].http", "10.0.0.1:80");
}

static void
test_error_names_missing_file(void **state)
{
    (void)state;
    assert_int_equal(CaroSettings_Load("/no/such/file", &settings, &err),
                     CARO_ERR_IO);
    assert_string_equal(err.peer, "/no/such/file");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_valid_settings_and_defaults),
        cmocka_unit_test(test_errors_name_path_and_value),
        cmocka_unit_test(test_two_vms_with_one_address_are_refused),
        cmocka_unit_test(test_error_names_missing_file),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
