/*
 * Tests of names and lists of any length in what operators and upstreams
 * write, one byte or entry below, at and past each limit that was fixed
 * before, and of what a configuration that cannot be read in part allows.
 */
#include "test.h"

#include "caro_gateway_settings.h"
#include "internal/caro_name.h"
#include "internal/caro_platform.h"
#include "internal/caro_request_check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { TEXT_SIZE = 1 << 20 };

/* Sizes around the former limits, and one far beyond. */
static const int sizes[] = {1,   31,  32,  33,  63,  64,  127,  128,
                            129, 192, 255, 256, 257, 300, 5000, 100000};
enum { N_SIZES = sizeof(sizes) / sizeof(sizes[0]) };

/* Returns a name of that many bytes, which differs in the last one. */
static const char *
make_name(int size, char last)
{
    static char names[4][TEXT_SIZE];
    static int next;
    char *name = names[next++ % 4];
    memset(name, 'n', (size_t)size);
    name[size - 1] = last;
    name[size] = '\0';
    return name;
}

static CaroText
text_of(const char *s)
{
    return (CaroText){s, s == NULL ? 0 : strlen(s)};
}

static void
test_identities_differ_where_names_do(void **state)
{
    (void)state;
    char a[CARO_NAME_SIZE];
    char b[CARO_NAME_SIZE];
    for (int i = 0; i < N_SIZES; i++) {
        CaroName_Set(a, make_name(sizes[i], 'a'));
        CaroName_Set(b, make_name(sizes[i], 'b'));
        assert_string_not_equal(a, b);
        CaroName_Set(b, make_name(sizes[i], 'a'));
        assert_string_equal(a, b);
        CaroName_Set(b, make_name(sizes[i] + 1, 'a'));
        assert_string_not_equal(a, b);
    }
    CaroName_Set(a, make_name(CARO_NAME_SIZE - 1, 'a'));
    assert_string_equal(a, make_name(CARO_NAME_SIZE - 1, 'a'));
    /* The identity of a long name is not that of a short one. */
    CaroName_Set(a, make_name(300, 'a'));
    CaroName_Set(b, a);
    assert_string_not_equal(a, b);
    CaroName_Set(a, "");
    assert_string_equal(a, "");
    CaroName_Set(a, NULL);
    assert_string_equal(a, "");
    /* Characters that a log line or a message cannot hold. */
    CaroName_Set(a, "two words\r\n");
    CaroName_Set(b, "two words\r");
    assert_string_not_equal(a, b);
    assert_null(strpbrk(a, " \r\n"));
    CaroName_Set(a, "\xc5\xbd");
    CaroName_Set(b, "\xc5\xbe");
    assert_string_not_equal(a, b);
}

static CaroRoutes *
read_config(const char *text)
{
    CaroRoutes *r = NULL;
    CaroError err;
    int rc = CaroPlatform_ReadConfig(text, strlen(text), &r, &err);
    return rc < 0 ? NULL : r;
}

/* One configuration in which each text has the size. */
static void
check_config_with_texts(int size)
{
    static char text[TEXT_SIZE * 2];
    static char path[TEXT_SIZE];
    char name[CARO_NAME_SIZE];
    char *wanted = strdup(make_name(size, 'w'));
    assert_non_null(wanted);
    (void)snprintf(
        text, sizeof(text),
        "{\"version\":2,\"routes\":[{\"name\":\"%s\",\"host\":\"%s\","
        "\"path_prefix\":\"/%s/\",\"kind\":\"idempotent\","
        "\"service\":\"%s\"},{\"name\":\"x\",\"host\":\"%s\","
        "\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"service\":\"x\"}],"
        "\"tenants\":[{\"name\":\"%s\",\"api_keys\":[\"%s\"]},"
        "{\"name\":\"x\",\"api_keys\":[\"%s\"]}]}",
        wanted, wanted, wanted, wanted, wanted, wanted, wanted,
        make_name(size, 'x'));
    CaroRoutes *r = read_config(text);
    assert_non_null(r);
    (void)snprintf(path, sizeof(path), "/%s/1", wanted);
    const CaroRoute *route =
        CaroRoutes_Find(r, wanted, strlen(wanted), path, strlen(path));
    assert_non_null(route);
    CaroName_Set(name, wanted);
    assert_string_equal(CaroRoute_ChooseService(route, 0.5), name);
    assert_string_equal(route->name, name);
    /* A path that differs in the last byte of the prefix is another route's.
     */
    path[size] = 'x';
    route = CaroRoutes_Find(r, wanted, strlen(wanted), path, strlen(path));
    assert_string_equal(CaroRoute_ChooseService(route, 0.5), "x");
    wanted[size - 1] = 'y';
    assert_null(
        CaroRoutes_Find(r, wanted, strlen(wanted), path, strlen(path)));
    assert_null(CaroRoutes_FindAccount(r, wanted, strlen(wanted)));
    wanted[size - 1] = 'w';
    assert_string_equal(
        CaroRoutes_FindAccount(r, wanted, strlen(wanted))->name, wanted);
    assert_string_equal(
        CaroRoutes_FindAccount(r, make_name(size, 'x'), strlen(wanted))->name,
        "x");
    CaroRoutes_Destroy(r);
    free(wanted);
}

/* A configuration is not rejected because of a long name (review/4). */
static void
test_config_with_long_texts(void **state)
{
    (void)state;
    for (int i = 0; i < N_SIZES; i++) {
        check_config_with_texts(sizes[i]);
    }
}

static void
test_config_with_many_services_in_a_split(void **state)
{
    (void)state;
    static char text[TEXT_SIZE];
    static const int counts[] = {7, 8, 9, 16, 100, 1000};
    for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        size_t n =
            (size_t)snprintf(text, sizeof(text),
                             "{\"routes\":[{\"name\":\"r\",\"host\":\"h\","
                             "\"path_prefix\":\"/\",\"kind\":\"idempotent\","
                             "\"traffic_split\":[");
        for (int j = 0; j < counts[i]; j++) {
            n += (size_t)snprintf(text + n, sizeof(text) - n,
                                  "%s{\"service\":\"s%d\",\"weight\":"
                                  "9007199254740992}",
                                  j == 0 ? "" : ",", j);
        }
        (void)snprintf(text + n, sizeof(text) - n, "]}]}");
        CaroRoutes *r = read_config(text);
        assert_non_null(r);
        const CaroRoute *route = CaroRoutes_Find(r, "h", 1, "/x", 2);
        char last[CARO_NAME_SIZE];
        (void)snprintf(last, sizeof(last), "s%d", counts[i] - 1);
        assert_int_equal(route->n_shares, counts[i]);
        assert_string_equal(CaroRoute_ChooseService(route, 0.0), "s0");
        assert_string_equal(CaroRoute_ChooseService(route, 0.99999), last);
        CaroRoutes_Destroy(r);
    }
}

static int
check_status(const CaroRoutes *r, const char *path, const char *key)
{
    CaroRequestCheckQuery q = {.routes = r,
                               .has_target_list = true,
                               .is_config_fresh = true,
                               .host = text_of("h"),
                               .path = text_of(path),
                               .key = text_of(key)};
    return CaroRequestCheck_Run(&q).status;
}

/* One route or account that cannot be read does not take the others with it,
   and its own requests are refused as not executed. */
static void
test_unusable_parts_of_a_config(void **state)
{
    (void)state;
    CaroRoutes *r = read_config(
        "{\"routes\":["
        "{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/a/\","
        "\"kind\":\"idempotent\",\"service\":\"s\"},"
        "{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/a/b/\","
        "\"kind\":\"unheard of\",\"service\":\"s\",\"public\":true},"
        "{\"name\":\"c\",\"host\":\"h\",\"path_prefix\":\"/a/c/\","
        "\"kind\":\"idempotent\",\"public\":true},"
        "{\"name\":\"d\",\"host\":\"h\",\"path_prefix\":\"/a/d/\","
        "\"kind\":\"idempotent\",\"traffic_split\":[],\"public\":true},"
        "{\"name\":\"e\",\"host\":\"h\",\"path_prefix\":\"/a/e/\","
        "\"kind\":\"idempotent\",\"traffic_split\":[{\"service\":\"s\","
        "\"weight\":1},{\"weight\":1}],\"public\":true},"
        "{\"name\":\"f\",\"host\":\"h\",\"path_prefix\":\"/a/f/\","
        "\"kind\":\"idempotent\",\"service\":\"s\","
        "\"traffic_split\":7,\"public\":true}],"
        "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"]},"
        "{\"name\":\"t\\r\\nX-Hold: 1\",\"api_keys\":[\"k2\"]},"
        "{\"api_keys\":[\"k3\"]},{\"name\":\" t\",\"api_keys\":[\"k4\"]},"
        "{\"name\":\"\\u017d t\",\"api_keys\":[\"k5\"]}]}");
    assert_non_null(r);
    assert_int_equal(check_status(r, "/a/x", "k1"), 0);
    assert_int_equal(check_status(r, "/a/x", "k5"), 0);
    assert_int_equal(check_status(r, "/a/b/x", NULL), 503);
    assert_int_equal(check_status(r, "/a/c/x", NULL), 503);
    assert_int_equal(check_status(r, "/a/d/x", NULL), 503);
    assert_int_equal(check_status(r, "/a/e/x", NULL), 503);
    assert_int_equal(check_status(r, "/a/f/x", NULL), 503);
    assert_int_equal(check_status(r, "/a/x", "k2"), 503);
    assert_int_equal(check_status(r, "/a/x", "k3"), 503);
    assert_int_equal(check_status(r, "/a/x", "k4"), 503);
    assert_int_equal(check_status(r, "/a/x", "k6"), 401);
    CaroRoutes_Destroy(r);
    /* Routes or keys that cannot be told apart. */
    assert_null(read_config("{\"routes\":[{\"host\":\"h\"}]}"));
    assert_null(read_config("{\"routes\":[7]}"));
    assert_null(read_config("{\"routes\":7}"));
    assert_null(read_config("{\"routes\":[],\"tenants\":[{\"name\":\"t\","
                            "\"api_keys\":\"k\"}]}"));
    assert_null(read_config("{\"routes\":[],\"tenants\":[{\"name\":\"t\","
                            "\"api_keys\":[1]}]}"));
    assert_null(read_config("{\"routes\":[],\"tenants\":null}"));
}

/* A VM that knows of a newer configuration which it cannot read serves
   nothing by the older one. */
static void
test_superseded_config_serves_nothing(void **state)
{
    (void)state;
    CaroRoutes *r = read_config(
        "{\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/\","
        "\"kind\":\"idempotent\",\"service\":\"s\",\"public\":true}]}");
    CaroRequestCheckQuery q = {.routes = r,
                               .has_target_list = true,
                               .is_config_fresh = true,
                               .host = text_of("h"),
                               .path = text_of("/x")};
    assert_int_equal(CaroRequestCheck_Run(&q).status, 0);
    q.has_unusable_config = true;
    CaroRequestCheckResult result = CaroRequestCheck_Run(&q);
    assert_int_equal(result.status, 503);
    assert_true(result.retry_after_s > 0.0);
    q.host = text_of("other");
    assert_int_equal(CaroRequestCheck_Run(&q).status, 503);
    CaroRoutes_Destroy(r);
}

static void
test_negative_limits_are_none(void **state)
{
    (void)state;
    CaroRoutes *r = read_config("{\"routes\":[],\"limits\":{"
                                "\"max_header_bytes\":-1,"
                                "\"max_body_bytes\":-9}}");
    assert_int_equal(CaroRoutes_Limits(r)->head_bytes_max, 0);
    assert_int_equal(CaroRoutes_Limits(r)->body_bytes_max, 0);
    CaroRoutes_Destroy(r);
}

static void
test_registration_with_long_names(void **state)
{
    (void)state;
    static char text[TEXT_SIZE];
    for (int i = 0; i < N_SIZES; i++) {
        CaroTargetEntry e;
        CaroError err;
        char name[CARO_NAME_SIZE];
        const char *s = make_name(sizes[i], 's');
        const char *z = make_name(sizes[i], 'z');
        const char *v = make_name(sizes[i], 'v');
        (void)snprintf(text, sizeof(text),
                       "{\"service\":\"%s\",\"address\":\"10.0.0.1:80\","
                       "\"zone\":\"%s\",\"version\":\"%s\",\"slots\":6,"
                       "\"state\":\"ready\"}",
                       s, z, v);
        assert_int_equal(
            CaroPlatform_ReadTarget("i-1", text, strlen(text), &e, &err), 0);
        CaroName_Set(name, s);
        assert_string_equal(e.service, name);
        CaroName_Set(name, z);
        assert_string_equal(e.domain, name);
        CaroName_Set(name, v);
        assert_string_equal(e.version, name);
        /* The key of the registration has 200 bytes at most. */
        const char *id = make_name(sizes[i], 'i');
        int rc = CaroPlatform_ReadTarget(id, text, strlen(text), &e, &err);
        assert_true(rc == 0 || sizes[i] > 200 - (int)strlen("servers/"));
        if (rc == 0) {
            assert_string_equal(e.id, id);
        }
    }
}

/* The outcome of a rollout names the version as the operators did. */
static void
test_rollout_of_a_long_version(void **state)
{
    (void)state;
    static char text[TEXT_SIZE];
    for (int i = 0; i < N_SIZES; i++) {
        CaroRolloutRequest request;
        CaroRolloutOutcome outcome;
        CaroError err;
        char version[CARO_NAME_SIZE];
        const char *target = make_name(sizes[i], 'v');
        (void)snprintf(text, sizeof(text),
                       "{\"service\":\"%s\",\"target\":\"%s\","
                       "\"duration_s\":12}",
                       make_name(sizes[i], 's'), target);
        assert_int_equal(CaroPlatform_ReadRolloutRequest(text, strlen(text),
                                                         &request, &err),
                         0);
        assert_string_equal(request.version_text, target);
        char *value = CaroPlatform_WriteRolloutOutcome(
            CARO_ROLLOUT_OUTCOME_DONE, request.version_text);
        assert_non_null(value);
        assert_non_null(strstr(value, target));
        assert_int_equal(CaroPlatform_ReadRolloutOutcome(value, strlen(value),
                                                         version, &outcome),
                         0);
        assert_string_equal(version, request.version);
        free(value);
        CaroRolloutRequest_Clear(&request);
    }
}

static void
test_settings_with_long_names(void **state)
{
    (void)state;
    static char text[TEXT_SIZE];
    for (int i = 0; i < N_SIZES; i++) {
        CaroGatewaySettings s;
        CaroError err;
        char name[CARO_NAME_SIZE];
        const char *domain = make_name(sizes[i], 'd');
        (void)snprintf(
            text, sizeof(text),
            "{\"vm\":\"%s\",\"front\":\"10.0.0.1:1\","
            "\"ready\":\"10.0.0.1:2\",\"directory\":\"10.0.0.1:3\","
            "\"host\":\"10.0.0.1\",\"domain\":\"%s\",\"region\":\"R 1\","
            "\"seeds\":[],\"store\":{\"address\":\"10.0.0.2:1\"}}",
            make_name(sizes[i], 'v'), domain);
        assert_int_equal(
            CaroGatewaySettings_Parse(text, strlen(text), "test", &s, &err),
            0);
        /* It equals the domain of upstreams and of callers by the same name.
         */
        CaroName_Set(name, domain);
        assert_string_equal(s.domain, name);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_identities_differ_where_names_do),
        cmocka_unit_test(test_config_with_long_texts),
        cmocka_unit_test(test_config_with_many_services_in_a_split),
        cmocka_unit_test(test_unusable_parts_of_a_config),
        cmocka_unit_test(test_superseded_config_serves_nothing),
        cmocka_unit_test(test_negative_limits_are_none),
        cmocka_unit_test(test_registration_with_long_names),
        cmocka_unit_test(test_rollout_of_a_long_version),
        cmocka_unit_test(test_settings_with_long_names),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
