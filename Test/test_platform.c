/* Tests of the platform's formats, the parser of event streams and the
   settings of a gateway. */
#include "test.h"

#include "caro_gateway_settings.h"
#include "internal/caro_event_stream.h"
#include "internal/caro_platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static const char config[] =
    "{\"version\":7,\"new_field\":1,\"routes\":["
    "{\"name\":\"r1\",\"host\":\"a.example\",\"path_prefix\":\"/x/\","
    "\"kind\":\"streaming\",\"timeout_ms\":25000,\"target_latency_ms\":4500,"
    "\"priority\":1,\"traffic_split\":[{\"service\":\"s1\",\"weight\":90},"
    "{\"service\":\"s2\",\"weight\":10}],\"max_attempts\":5,"
    "\"resumable\":true,\"target_gap_ms\":700},"
    "{\"name\":\"r2\",\"host\":\"a.example\",\"path_prefix\":\"/y/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":1200,\"service\":\"s2\","
    "\"public\":true}],"
    "\"limits\":{\"max_header_bytes\":1000,\"idle_timeout_ms\":2000},"
    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"]}]}";

static void
test_config(void **state)
{
    (void)state;
    CaroRoutes *r;
    CaroError err;
    assert_int_equal(CaroPlatform_ReadConfig(config, strlen(config), &r, &err),
                     0);
    assert_int_equal(CaroRoutes_Version(r), 7);
    const CaroRoute *route = CaroRoutes_Find(r, "a.example", 9, "/x/1", 4);
    assert_int_equal(route->kind, CARO_ROUTE_STREAM);
    assert_true(route->is_resumable && !route->is_public);
    assert_int_equal(route->gap, 700 * CARO_MS);
    assert_int_equal(route->attempts_max, 5);
    assert_string_equal(CaroRoute_ChooseService(route, 0.89), "s1");
    assert_string_equal(CaroRoute_ChooseService(route, 0.91), "s2");
    route = CaroRoutes_Find(r, "a.example", 9, "/y/1", 4);
    assert_int_equal(route->kind, CARO_ROUTE_NON_IDEMPOTENT);
    assert_true(route->is_public);
    assert_string_equal(CaroRoutes_FindAccount(r, "k2", 2)->name, "t1");
    assert_null(CaroRoutes_FindAccount(r, "k3", 2));
    assert_int_equal(CaroRoutes_Limits(r)->head_bytes_max, 1000);
    assert_int_equal(CaroRoutes_Limits(r)->idle_timeout, 2 * CARO_SECOND);
    CaroRoutes_Destroy(r);
    static const char no_host[] =
        "{\"version\":8,\"routes\":[{\"name\":\"r\"}]}";
    assert_true(CaroPlatform_ReadConfig(no_host, strlen(no_host), &r, &err) <
                0);
    assert_string_equal(err.peer, "host");
    assert_true(CaroPlatform_ReadConfig("[]", 2, &r, &err) < 0);
}

static int
read_target(const char *text, CaroTargetEntry *e)
{
    CaroError err;
    return CaroPlatform_ReadTarget("i-1", text, strlen(text), e, &err);
}

static void
test_target_registration(void **state)
{
    (void)state;
    CaroTargetEntry e;
    assert_int_equal(
        read_target("{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
                    "\"zone\":\"z\",\"version\":\"v1\",\"slots\":6,"
                    "\"state\":\"draining\",\"born\":17,"
                    "\"cold_remaining_ms\":1500,\"more\":[]}",
                    &e),
        0);
    assert_true(e.is_leaving);
    assert_int_equal(e.started_at_ms, 17);
    assert_int_equal(e.cold_time, 1500 * CARO_MS);
    /* Documents that are no registration of a target. */
    static const char *const invalid[] = {
        "",
        "no json",
        "[]",
        "{}",
        "{\"service\":1,\"address\":\"a\",\"zone\":\"z\","
        "\"version\":\"v\",\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\","
        "\"version\":\"v\",\"state\":\"asleep\"}",
        "{\"service\":\"s\",\"zone\":\"z\",\"version\":\"v\","
        "\"state\":\"ready\"}",
    };
    for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        assert_true(read_target(invalid[i], &e) < 0);
    }
}

static void
test_store_calls_and_responses(void **state)
{
    (void)state;
    CaroStoreResponse response;
    static const char events[] =
        "{\"events\":[{\"key\":\"servers/i\",\"value\":\"aGk=\","
        "\"revision\":4,\"created_at\":4,\"lease\":0},"
        "{\"key\":\"servers/j\",\"revision\":5,\"deleted\":true}],"
        "\"at\":9}";
    assert_int_equal(
        CaroPlatform_ReadStoreResponse(events, strlen(events), 0, &response),
        0);
    assert_int_equal(response.n_items, 2);
    assert_string_equal(response.items[0].value, "hi");
    assert_int_equal(response.items[0].size, 2);
    assert_null(response.items[1].value);
    assert_int_equal(response.revision, 9);
    CaroStoreResponse_Clear(&response);
    static const char single[] =
        "{\"key\":\"k\",\"value\":\"\",\"revision\":3,\"at\":8}";
    assert_int_equal(
        CaroPlatform_ReadStoreResponse(single, strlen(single), 0, &response),
        0);
    assert_int_equal(response.n_items, 1);
    assert_int_equal(response.items[0].size, 0);
    CaroStoreResponse_Clear(&response);
    assert_true(CaroPlatform_ReadStoreResponse("<html>", 6, 0, &response) < 0);
    const char *rest;
    assert_int_equal(CaroPlatform_KeyKind("servers/i-1", &rest),
                     CARO_KEY_TARGET);
    assert_string_equal(rest, "i-1");
    assert_int_equal(CaroPlatform_KeyKind("op/config", &rest),
                     CARO_KEY_CONFIG);
    assert_int_equal(CaroPlatform_KeyKind("op/config2", &rest),
                     CARO_KEY_OTHER);
    CaroStoreCall call;
    assert_int_equal(CaroPlatform_CallPut(&call, "k", "hi", 4, 77), 0);
    assert_string_equal(call.body,
                        "{\"expected_revision\":[{\"key\":\"k\","
                        "\"revision\":4}],\"puts\":[{\"key\":\"k\","
                        "\"value\":\"aGk=\",\"lease\":77}],\"remove\":[]}");
    CaroStoreCall_Clear(&call);
}

/* Guards against a load report that is lost, or read with a figure that it
   does not have, because its fourth figure is absent or odd. */
static void
test_fourth_figure_of_the_load(void **state)
{
    (void)state;
    static const struct {
        const char *value;
        int64_t work_percent;
    } cases[] = {{"3,1,8,182", 182}, {"3,1,8", 0},
                 {"3,1,8,", 0},      {"3,1,8,x", 0},
                 {"3,1,8,-5", 0},    {"3,1,8,100,7", 100},
                 {"3,1,8,0", 0},     {"3,1,8,999999999999", 1000000}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CaroTargetLoad load;
        CaroText value = {cases[i].value, strlen(cases[i].value)};
        assert_int_equal(CaroPlatform_ReadLoad(value, &load), 0);
        assert_int_equal(load.running, 3);
        assert_int_equal(load.waiting, 1);
        assert_int_equal(load.slots, 8);
        assert_int_equal(load.work_percent, cases[i].work_percent);
    }
}

static void
test_headers(void **state)
{
    (void)state;
    CaroTargetLoad load;
    int64_t tokens;
    CaroText t = {"3,0,8", 5};
    assert_int_equal(CaroPlatform_ReadLoad(t, &load), 0);
    assert_int_equal(load.slots, 8);
    assert_int_equal(load.work_percent, 0);
    t = (CaroText){"3,0,8,250", 9};
    assert_int_equal(CaroPlatform_ReadLoad(t, &load), 0);
    assert_int_equal(load.slots, 8);
    assert_int_equal(load.work_percent, 250);
    /* A malformed fourth figure must not hide the other three. */
    t = (CaroText){"3,0,8,x", 7};
    assert_int_equal(CaroPlatform_ReadLoad(t, &load), 0);
    assert_int_equal(load.waiting, 0);
    assert_int_equal(load.work_percent, 0);
    t = (CaroText){"3,x,8", 5};
    assert_true(CaroPlatform_ReadLoad(t, &load) < 0);
    t = (CaroText){"1460,80", 7};
    assert_int_equal(CaroPlatform_ReadPromptTokens(t, &tokens), 0);
    assert_int_equal(tokens, 1460);
    t = (CaroText){"x-ATTEMPT-id", 12};
    assert_int_equal(CaroPlatform_HeaderId(t), CARO_HEADER_REQUEST_ID);
}

static void
test_limit(void **state)
{
    (void)state;
    static const struct {
        const char *text;
        double per_s;
    } valid[] = {{"2", 2.0},    {"0", 0.0},  {"1.300", 1.3},
                 {"12.", 12.0}, {".5", 0.5}, {"99999", 99999.0}};
    static const char *const invalid[] = {"",
                                          ".",
                                          "-1",
                                          "+2",
                                          "1e3",
                                          "2,5",
                                          "1.2.3",
                                          "nan",
                                          "0x10",
                                          "2 ",
                                          "1234567890123456789"};
    double per_s = -1.0;
    for (size_t i = 0; i < sizeof(valid) / sizeof(valid[0]); i++) {
        CaroText t = {.at = valid[i].text, .size = strlen(valid[i].text)};
        assert_int_equal(CaroPlatform_ReadLimit(t, &per_s), 0);
        assert_true(per_s > valid[i].per_s - 1e-9 &&
                    per_s < valid[i].per_s + 1e-9);
    }
    for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        CaroText t = {.at = invalid[i], .size = strlen(invalid[i])};
        assert_true(CaroPlatform_ReadLimit(t, &per_s) < 0);
    }
}

/* Only complete events are returned, however the bytes are divided. */
static void
test_event_stream_returns_complete_events(void **state)
{
    (void)state;
    static const char text[] = "id: 1\ndata: a\n\nid:2\ndata: b\n\n"
                               "data: none\n\nid: 3\r\ndata: c\r\n\r\nid: 4";
    for (size_t step = 1; step < sizeof(text); step++) {
        CaroEventStream *s = CaroEventStream_Create();
        int64_t ids[8];
        int n = 0;
        for (size_t from = 0; from < sizeof(text) - 1; from += step) {
            size_t size = sizeof(text) - 1 - from;
            CaroText chunk = {text + from, size < step ? size : step};
            CaroEvent event;
            assert_int_equal(CaroEventStream_Feed(s, chunk), 0);
            while (CaroEventStream_Next(s, &event)) {
                ids[n++] = event.id;
            }
        }
        assert_int_equal(n, 4);
        assert_int_equal(ids[0], 1);
        assert_int_equal(ids[1], 2);
        assert_int_equal(ids[2], -1);
        assert_int_equal(ids[3], 3);
        assert_int_equal(CaroEventStream_PendingBytes(s), 5);
        CaroEventStream_Destroy(s);
    }
}

/* Reading takes time in proportion to the bytes, in which a gateway does
   nothing else. */
static void
test_event_stream_time_is_linear(void **state)
{
    (void)state;
    enum { SIZE = 65536, PIECE = 16, LIMIT_S = 1 };
    static char bytes[SIZE];
    CaroEventStream *s = CaroEventStream_Create();
    CaroEvent event;
    int n = 0;
    clock_t from = clock();
    memset(bytes, '\n', sizeof(bytes));
    assert_int_equal(CaroEventStream_Feed(s, (CaroText){bytes, SIZE}), 0);
    while (CaroEventStream_Next(s, &event)) {
        n++;
    }
    assert_int_equal(n, SIZE / 2);
    memset(bytes, 'y', sizeof(bytes));
    while (CaroEventStream_Feed(s, (CaroText){bytes, PIECE}) == 0) {
        assert_false(CaroEventStream_Next(s, &event));
    }
    assert_true(clock() - from < LIMIT_S * CLOCKS_PER_SEC);
    CaroEventStream_Destroy(s);
}

static const char valid_settings[] =
    "{\"vm\":\"v1\",\"front\":\"10.0.0.1:80\",\"ready\":\"10.0.0.1:81\","
    "\"directory\":\"10.0.0.1:82\",\"host\":\"10.0.0.1\",\"peer_port\":7340,"
    "\"domain\":\"d\",\"region\":\"r\",\"seeds\":[\"10.0.0.2:83\"],"
    "\"store\":{\"address\":\"10.0.0.9:80\"},\"bounds\":{\"grace_s\":8.5}}";

static void
test_gateway_settings(void **state)
{
    (void)state;
    CaroGatewaySettings s;
    CaroError err;
    assert_int_equal(CaroGatewaySettings_Parse(valid_settings,
                                               strlen(valid_settings), "f", &s,
                                               &err),
                     0);
    assert_true(s.stop_grace_s == 8.5);
    assert_int_equal(s.n_seeds, 1);
    assert_true(s.config_age_max_ms == 5000);
    static const struct {
        const char *text;
        const char *path;
    } invalid[] = {
        {"{", "line 1"},
        {"{\"vm\":3}", "$.vm"},
        {"{\"vm\":\"v1\",\"frunt\":\"x\"}", "$.frunt"},
    };
    for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        assert_true(CaroGatewaySettings_Parse(invalid[i].text,
                                              strlen(invalid[i].text), "f", &s,
                                              &err) < 0);
        assert_non_null(strstr(err.detail, invalid[i].path));
        assert_string_equal(err.peer, "f");
    }
}

/* Guards against parts for scarce room that act, or do not, whatever the
   platform's terms say. */
static void
test_terms_make_a_gateway_adaptive(void **state)
{
    (void)state;
    static const struct {
        const char *terms;
        bool is_adaptive;
    } cases[] = {
        {"[]", false},
        {"[\"base\",\"retry\"]", false},
        {"[\"base\",\"pressure\",7]", true},
    };
    char text[1024];
    CaroGatewaySettings s;
    CaroError err;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        (void)snprintf(text, sizeof(text), "{\"terms\":%s,%s", cases[i].terms,
                       valid_settings + 1);
        assert_int_equal(
            CaroGatewaySettings_Parse(text, strlen(text), "f", &s, &err), 0);
        assert_true(s.is_adaptive == cases[i].is_adaptive);
    }
    (void)snprintf(text, sizeof(text), "{\"terms\":3,%s", valid_settings + 1);
    assert_true(CaroGatewaySettings_Parse(text, strlen(text), "f", &s, &err) <
                0);
    assert_non_null(strstr(err.detail, "terms"));
}

/* The platform gives each bound as a whole number or as a fraction. */
static void
test_bound_that_is_a_fraction_is_accepted(void **state)
{
    (void)state;
    static const char *const keys[] = {
        "proof_ms",    "grace_s",        "address_ttl_s",
        "retry_slack", "retry_window_s", "move_slack",
    };
    for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
        char text[1024];
        CaroGatewaySettings s;
        CaroError err;
        int n = snprintf(text, sizeof(text), "%s", valid_settings);
        (void)snprintf(strstr(text, "\"bounds\""), sizeof(text) - (size_t)n,
                       "\"bounds\":{\"%s\":120.25}}", keys[i]);
        assert_int_equal(
            CaroGatewaySettings_Parse(text, strlen(text), "f", &s, &err), 0);
    }
    static const char ratios[] = "\"bounds\":{\"retry_ratio\":0.75,"
                                 "\"move_share\":0.125}}";
    char text[1024];
    CaroGatewaySettings s;
    CaroError err;
    (void)snprintf(text, sizeof(text), "%s", valid_settings);
    (void)snprintf(strstr(text, "\"bounds\""), sizeof(ratios), "%s", ratios);
    assert_int_equal(
        CaroGatewaySettings_Parse(text, strlen(text), "f", &s, &err), 0);
    assert_true(s.retry_ratio == 0.75 && s.rollout_exposure_max == 0.125);
}

static void
test_prompt_parts(void **state)
{
    (void)state;
    static const char *const malformed[] = {
        "a1",       "a1:",       ":5",    "a1:5,,b2:6", "a1:5,b2", "xyz:5,a:1",
        "a1:x,b:1", "a1 :5,b:1", ",a1:5", "a1:-5x,b:1", "a1;5,b:1"};
    CaroPromptParts a;
    CaroPromptParts b;
    CaroText text = {"5c1e07A2:800,91bd3f06:410,e4402b7d:250", 38};
    assert_int_equal(CaroPlatform_ReadPromptParts(text, &a), 0);
    assert_int_equal(a.n, 2);
    text = (CaroText){"91bd3f06:1, 5c1e07a2:2, 77:250", 30};
    assert_int_equal(CaroPlatform_ReadPromptParts(text, &b), 0);
    assert_int_equal(b.n, 2);
    assert_true(a.ids[0] == b.ids[1] && a.ids[1] == b.ids[0]);
    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        text = (CaroText){malformed[i], strlen(malformed[i])};
        assert_int_equal(CaroPlatform_ReadPromptParts(text, &a),
                         CARO_ERR_INPUT);
        assert_int_equal(a.n, 0);
    }
    text = (CaroText){NULL, 0};
    assert_int_equal(CaroPlatform_ReadPromptParts(text, &a), 0);
    assert_int_equal(a.n, 0);
    char many[1024] = "";
    for (int i = 0; i < 40; i++) {
        (void)snprintf(many + strlen(many), sizeof(many) - strlen(many),
                       "%x:1,", i);
    }
    many[strlen(many) - 1] = '\0';
    text = (CaroText){many, strlen(many)};
    assert_int_equal(CaroPlatform_ReadPromptParts(text, &a), 0);
    assert_int_equal(a.n, CARO_PROMPT_PARTS_MAX);
}

/* Guards against parts that are out of order, without the last one, or of a
   size that overflows. */
static void
test_sized_parts(void **state)
{
    (void)state;
    CaroSizedParts a;
    CaroPromptParts b;
    CaroText text = {"5c1e07A2:800, 91bd3f06:410,e4402b7d:99999999999", 47};
    assert_int_equal(CaroPlatform_ReadSizedParts(text, &a), 0);
    assert_int_equal(CaroPlatform_ReadPromptParts(text, &b), 0);
    assert_int_equal(a.n, 3);
    assert_int_equal(b.n, 2);
    assert_true(a.ids[0] == b.ids[0] && a.ids[1] == b.ids[1]);
    assert_int_equal(a.tokens[0], 800);
    assert_int_equal(a.tokens[1], 410);
    assert_int_equal(a.tokens[2], 1 << 20);
    text = (CaroText){"a1:5,b2", 7};
    assert_int_equal(CaroPlatform_ReadSizedParts(text, &a), CARO_ERR_INPUT);
    assert_int_equal(a.n, 0);
    text = (CaroText){NULL, 0};
    assert_int_equal(CaroPlatform_ReadSizedParts(text, &a), 0);
    assert_int_equal(a.n, 0);
    char many[1024] = "";
    for (int i = 0; i < 40; i++) {
        (void)snprintf(many + strlen(many), sizeof(many) - strlen(many),
                       "%x:%d,", i, i);
    }
    text = (CaroText){many, strlen(many)};
    assert_int_equal(CaroPlatform_ReadSizedParts(text, &a), 0);
    assert_int_equal(a.n, CARO_SIZED_PARTS_MAX);
    assert_int_equal(a.tokens[3], 3);
}

static void
test_quarantine_documents(void **state)
{
    (void)state;
    CaroStoredQuarantine a = {.parts = {.ids = {1, UINT64_MAX}, .n = 2},
                              .until_ms = 77,
                              .has_probes = true,
                              .probes = 3,
                              .events = 8};
    CaroStoredQuarantine b;
    const char *rest;
    char key[CARO_KEY_SIZE];
    char *text = CaroPlatform_WriteQuarantine(&a);
    assert_non_null(text);
    assert_int_equal(CaroPlatform_ReadQuarantine(text, strlen(text), &b), 0);
    assert_int_equal(b.until_ms, 77);
    assert_true(b.parts.n == 2 && CaroPromptParts_Contain(&a.parts, &b.parts));
    assert_true(b.has_probes && b.probes == 3 && b.events == 8);
    free(text);
    /* As versions write it that do not probe. */
    static const char old[] =
        "{\"parts\":\"0000000000000001\",\"until_ms\":7}";
    assert_int_equal(CaroPlatform_ReadQuarantine(old, strlen(old), &b), 0);
    assert_true(b.until_ms == 7 && b.parts.n == 1 && !b.has_probes);
    CaroPlatform_WriteKey(key, sizeof(key), CARO_KEY_QUARANTINE, "ab");
    assert_int_equal(CaroPlatform_KeyKind(key, &rest), CARO_KEY_QUARANTINE);
    assert_string_equal(rest, "ab");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_config),
        cmocka_unit_test(test_limit),
        cmocka_unit_test(test_target_registration),
        cmocka_unit_test(test_store_calls_and_responses),
        cmocka_unit_test(test_headers),
        cmocka_unit_test(test_fourth_figure_of_the_load),
        cmocka_unit_test(test_event_stream_returns_complete_events),
        cmocka_unit_test(test_event_stream_time_is_linear),
        cmocka_unit_test(test_gateway_settings),
        cmocka_unit_test(test_terms_make_a_gateway_adaptive),
        cmocka_unit_test(test_bound_that_is_a_fraction_is_accepted),
        cmocka_unit_test(test_prompt_parts),
        cmocka_unit_test(test_sized_parts),
        cmocka_unit_test(test_quarantine_documents),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
