/* Tests of the reader of the operators' configuration: an error names its
   JSON path and the value. */
#include "test.h"

#include "internal/caro_config.h"

#include <string.h>

static const char valid_config[] =
    "{\"change\":\"c1\",\"deployments\":[{\"name\":\"chat\",\"kind\":"
    "\"model\",\"version\":\"v1\"}],\"upstreams\":[{\"name\":\"e1\","
    "\"address\":\"127.0.0.1:9\",\"domain\":\"d1\",\"deployment\":\"chat\","
    "\"version\":\"v1\"}],\"accounts\":[{\"name\":\"b\"},{\"name\":\"a\"}]}";

static void
check_refused(const char *text, const char *expected)
{
    CaroError err;
    assert_null(CaroConfig_Parse(text, strlen(text), 1, &err));
    if (strstr(err.detail, expected) == NULL) {
        fail_msg("the error \"%s\" lacks \"%s\"", err.detail, expected);
    }
}

static void
test_valid_config(void **state)
{
    (void)state;
    CaroError err;
    CaroConfig *c =
        CaroConfig_Parse(valid_config, strlen(valid_config), 9, &err);
    assert_non_null(c);
    assert_int_equal(c->revision, 9);
    assert_non_null(CaroConfig_Account(c, "a"));
    assert_non_null(CaroConfig_Account(c, "b"));
    assert_null(CaroConfig_Account(c, "c"));
    assert_non_null(CaroConfig_Deployment(c, "chat"));
    CaroConfig_Destroy(c);
}

static void
test_errors_name_path_and_value(void **state)
{
    (void)state;
    check_refused("{}", "$.deployments: found nothing");
    check_refused("{\"deployments\":[{\"name\":\"x\",\"kind\":\"cat\","
                  "\"version\":\"v\"}],\"upstreams\":[],\"accounts\":[]}",
                  "$.deployments[0].kind: found cat");
    check_refused("{\"deployments\":[],\"upstreams\":[{\"name\":\"e\","
                  "\"address\":\"127.0.0.1:9\",\"domain\":\"d\","
                  "\"deployment\":\"no\",\"version\":\"v\"}],"
                  "\"accounts\":[]}",
                  "$.upstreams[0].deployment: found no;");
    check_refused("{\"deployments\":[],\"upstreams\":[],\"accounts\":["
                  "{\"name\":\"a\"},{\"name\":\"a\"}]}",
                  "$.accounts.name: found a;");
    check_refused("{\"deployments\":[{\"name\":\"x\",\"kind\":\"model\","
                  "\"version\":\"v\",\"rollout\":{\"state\":\"moving\","
                  "\"from\":\"v\",\"to\":\"w\",\"start_ms\":1,\"by_ms\":2}"
                  "}],\"upstreams\":[],\"accounts\":[]}",
                  "$.deployments[0].rollout.to: found w;");
    check_refused("{\"deployments\":[{\"name\":\"x\",\"kind\":\"model\","
                  "\"version\":\"v\",\"rollout\":{\"state\":\"moving\","
                  "\"from\":\"v\",\"to\":\"w\",\"start_ms\":5,\"by_ms\":2}"
                  "}],\"upstreams\":[],\"accounts\":[]}",
                  "$.deployments[0].rollout.by_ms");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_valid_config),
        cmocka_unit_test(test_errors_name_path_and_value),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
