/*
 * Tests of odd entries in the store, which another writer left: they name no
 * upstream, and all others are read as before.
 */
#include "test.h"

#include "internal/caro_platform.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
read_target_as(const char *id, const char *text, CaroTargetEntry *e)
{
    CaroError err;
    return CaroPlatform_ReadTarget(id, text, strlen(text), e, &err);
}

/* Reads a registration with the address and further members. */
static int
read_target(const char *address, const char *members, CaroTargetEntry *e)
{
    char text[2048];
    (void)snprintf(text, sizeof(text),
                   "{\"service\":\"s\",\"zone\":\"z\",\"version\":\"v\","
                   "\"state\":\"ready\",\"address\":\"%s\"%s}",
                   address, members);
    return read_target_as("i-1", text, e);
}

/* Items that cannot be read, between two that can.  Those that have a key tell
   that nothing can be read there; the others are left out. */
static void
test_unreadable_items_do_not_affect_others(void **state)
{
    (void)state;
    enum { WITHOUT_KEY = 8 };
    static const char *const items[] = {
        "7",
        "null",
        "[]",
        "\"servers/x\"",
        "{}",
        "{\"value\":\"aGk=\",\"revision\":5}",
        "{\"key\":17,\"value\":\"aGk=\",\"revision\":5}",
        "{\"key\":\"servers/x\\u0000y\",\"value\":\"aGk=\",\"revision\":5}",
        "{\"key\":\"servers/x\",\"value\":17,\"revision\":5}",
        "{\"key\":\"servers/x\",\"value\":null,\"revision\":5}",
        "{\"key\":\"servers/x\",\"value\":{},\"revision\":5}",
        "{\"key\":\"servers/x\",\"revision\":5}",
        "{\"key\":\"servers/x\",\"revision\":5,\"deleted\":\"yes\"}",
        "{\"key\":\"servers/x\",\"value\":\"a\\u0000k=\",\"revision\":5}",
    };
    for (size_t i = 0; i < sizeof(items) / sizeof(items[0]); i++) {
        char text[1024];
        CaroStoreResponse r;
        int n = snprintf(text, sizeof(text),
                         "{\"entries\":[{\"key\":\"servers/a\",\"value\":"
                         "\"aGk=\",\"revision\":4},%s,{\"key\":\"servers/b\","
                         "\"value\":\"aGk=\",\"revision\":6}],"
                         "\"has_more\":true,\"at\":9}",
                         items[i]);
        assert_int_equal(
            CaroPlatform_ReadStoreResponse(text, (size_t)n, 0, &r), 0);
        bool has_key = i >= WITHOUT_KEY;
        assert_int_equal(r.n_items, has_key ? 3 : 2);
        assert_int_equal(r.n_unreadable, has_key ? 0 : 1);
        assert_string_equal(r.items[0].key, "servers/a");
        if (has_key) {
            assert_string_equal(r.items[1].key, "servers/x");
            assert_non_null(r.items[1].value);
            assert_int_equal(r.items[1].size, 0);
        }
        assert_string_equal(r.items[r.n_items - 1].key, "servers/b");
        assert_true(r.has_more);
        assert_int_equal(r.revision, 9);
        CaroStoreResponse_Clear(&r);
    }
}

static void
test_long_keys_and_empty_values(void **state)
{
    (void)state;
    char key[201];
    char text[1024];
    CaroStoreResponse r;
    CaroTargetEntry e;
    CaroError err;
    memset(key, 'k', sizeof(key) - 1);
    key[sizeof(key) - 1] = '\0';
    memcpy(key, "servers/", 8);
    int n = snprintf(text, sizeof(text),
                     "{\"entries\":[{\"key\":\"%s\",\"value\":\"\","
                     "\"revision\":4}],\"at\":9}",
                     key);
    assert_int_equal(CaroPlatform_ReadStoreResponse(text, (size_t)n, 0, &r),
                     0);
    assert_int_equal(r.n_items, 1);
    assert_string_equal(r.items[0].key, key);
    assert_int_equal(r.items[0].size, 0);
    assert_true(
        CaroPlatform_ReadTarget(key + 8, r.items[0].value, 0, &e, &err) < 0);
    CaroStoreResponse_Clear(&r);
}

static void
test_addresses_that_name_no_upstream(void **state)
{
    (void)state;
    CaroTargetEntry e;
    static const char *const invalid[] = {
        "10.0.0.1:0",    "10.0.0.1:65536", "10.0.0.1:99999999999999999999",
        "10.0.0.1:-1",   "10.0.0.1:80x",   "10.0.0.1:+80",
        "10.0.0.1:",     "10.0.0.1",       ":80",
        "host:80",       "10.0.0.256:80",  "10.0.0.1:8 0",
        "10.0.0.1\\n:80"};
    assert_int_equal(read_target("10.0.0.1:65535", "", &e), 0);
    assert_int_equal(read_target("10.0.0.1:1", "", &e), 0);
    for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        assert_true(read_target(invalid[i], "", &e) < 0);
        char vm[128];
        char peer[CARO_ADDRESS_SIZE];
        int n = snprintf(vm, sizeof(vm), "{\"peer\":\"%s\"}", invalid[i]);
        assert_true(CaroPlatform_ReadVm(vm, (size_t)n, peer) < 0);
    }
}

/* Ids become header values, and names are logged. */
static void
test_ids_and_names_that_are_no_words(void **state)
{
    (void)state;
    CaroTargetEntry e;
    static const char entry[] =
        "{\"service\":\"s\",\"zone\":\"z\",\"version\":\"v\","
        "\"state\":\"ready\",\"address\":\"10.0.0.1:80\"}";
    static const char *const ids[] = {"", "a b", "a\r\nX-Hold: 1", "\x7f",
                                      "\xc3\xa9"};
    assert_int_equal(read_target_as("i-7f3a.91_c2", entry, &e), 0);
    for (size_t i = 0; i < sizeof(ids) / sizeof(ids[0]); i++) {
        assert_true(read_target_as(ids[i], entry, &e) < 0);
    }
    assert_true(read_target_as("i-1",
                               "{\"service\":\"s\\r\\nt\",\"zone\":\"z\","
                               "\"version\":\"v\",\"state\":\"ready\","
                               "\"address\":\"10.0.0.1:80\"}",
                               &e) < 0);
    assert_true(read_target_as("i-1",
                               "{\"service\":\"s\",\"zone\":\"z\","
                               "\"version\":\"v\\u0000w\",\"state\":\"ready\","
                               "\"address\":\"10.0.0.1:80\"}",
                               &e) < 0);
}

/* Numbers out of range overflow nothing; one that is no number of 64 bits
   makes the entry unreadable or counts as its bound. */
static void
test_numbers_out_of_range(void **state)
{
    (void)state;
    static const char *const numbers[] = {"1e300",
                                          "-1e300",
                                          "9223372036854775807",
                                          "-9223372036854775808",
                                          "9223372036854775808",
                                          "123456789012345678901234567890",
                                          "1e999",
                                          "-1",
                                          "0.5",
                                          "\"6\"",
                                          "null",
                                          "[6]",
                                          "true"};
    static const char *const names[] = {"slots", "born", "cold_remaining_ms"};
    for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
        for (size_t j = 0; j < sizeof(names) / sizeof(names[0]); j++) {
            CaroTargetEntry e;
            char members[128];
            (void)snprintf(members, sizeof(members), ",\"%s\":%s", names[j],
                           numbers[i]);
            if (read_target("10.0.0.1:80", members, &e) == 0) {
                assert_in_range(e.slots, 0, 1000000);
                assert_true(e.started_at_ms >= 0);
                assert_in_range(e.cold_time, 0, 86400 * CARO_SECOND);
            }
        }
    }
    CaroTargetEntry e;
    assert_int_equal(read_target("10.0.0.1:80", ",\"born\":1764916537123", &e),
                     0);
    assert_int_equal(e.started_at_ms, 1764916537123);
}

static void
test_nesting(void **state)
{
    (void)state;
    static const int depths[] = {10, 2000, 2047, 2048, 2049, 100000, 1000000};
    for (size_t i = 0; i < sizeof(depths) / sizeof(depths[0]); i++) {
        size_t depth = (size_t)depths[i];
        char *text = malloc(2 * depth + 256);
        assert_non_null(text);
        int n = sprintf(text,
                        "{\"service\":\"s\",\"zone\":\"z\",\"version\":\"v\","
                        "\"state\":\"ready\",\"address\":\"10.0.0.1:80\","
                        "\"more\":");
        memset(text + n, '[', depth);
        memset(text + n + depth, ']', depth);
        memcpy(text + n + 2 * depth, "}", 2);
        CaroTargetEntry e;
        (void)read_target_as("i-1", text, &e);
        free(text);
    }
}

/* A value of an entry takes a hundred times its bytes in memory: 340,000 of
   them took a gateway to 86 MB. */
static void
test_entry_of_many_values_is_not_parsed(void **state)
{
    (void)state;
    enum { VALUES = 340000 };
    static const char head[] =
        "{\"service\":\"s\",\"zone\":\"z\",\"version\":\"v\","
        "\"state\":\"ready\",\"address\":\"10.0.0.1:80\",\"more\":[";
    static const char *const values[] = {"{}", "[]", "0", "\"\""};
    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
        char *text = malloc(sizeof(head) + (size_t)VALUES * 4);
        assert_non_null(text);
        char *at = text + sprintf(text, "%s", head);
        for (int j = 0; j < VALUES; j++) {
            at += sprintf(at, "%s%s", j == 0 ? "" : ",", values[i]);
        }
        (void)sprintf(at, "]}");
        CaroTargetEntry e;
        CaroError err;
        assert_true(
            CaroPlatform_ReadTarget("i-1", text, strlen(text), &e, &err) < 0);
        assert_non_null(strstr(err.detail, "values"));
        free(text);
    }
}

static void
test_rollout_request_with_an_absurd_duration(void **state)
{
    (void)state;
    static const char *const durations[] = {"1e300", "-1e300", "-5", "1e18"};
    for (size_t i = 0; i < sizeof(durations) / sizeof(durations[0]); i++) {
        CaroRolloutRequest request;
        CaroError err;
        char text[128];
        int n = snprintf(text, sizeof(text),
                         "{\"service\":\"s\",\"target\":\"v2\","
                         "\"duration_s\":%s}",
                         durations[i]);
        if (CaroPlatform_ReadRolloutRequest(text, (size_t)n, &request, &err) ==
            0) {
            assert_in_range(request.duration, 0, 30 * 86400 * CARO_SECOND);
            CaroRolloutRequest_Clear(&request);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_unreadable_items_do_not_affect_others),
        cmocka_unit_test(test_long_keys_and_empty_values),
        cmocka_unit_test(test_addresses_that_name_no_upstream),
        cmocka_unit_test(test_ids_and_names_that_are_no_words),
        cmocka_unit_test(test_numbers_out_of_range),
        cmocka_unit_test(test_nesting),
        cmocka_unit_test(test_entry_of_many_values_is_not_parsed),
        cmocka_unit_test(test_rollout_request_with_an_absurd_duration),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
