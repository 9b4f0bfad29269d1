/*
 * Tests of configurations that are read after another one, by the routes whose
 * text has changed: the result is that of a document that is read as a whole.
 */
#include "test.h"

#include "internal/caro_json_array.h"
#include "internal/caro_platform.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

#define ROUTE(name, prefix, more)                                             \
    "{\"name\":\"" name "\",\"host\":\"h\",\"path_prefix\":\"" prefix "\","   \
    "\"kind\":\"idempotent\",\"service\":\"s\"" more "}"

static const char *const prefixes[] = {"/a/", "/a/b/", "/c/", "/d/", "/"};

/* Compares what both find for some paths, and their other parts. */
static void
check_equal(const CaroRoutes *a, const CaroRoutes *b)
{
    assert_int_equal(CaroRoutes_Version(a), CaroRoutes_Version(b));
    assert_int_equal(CaroRoutes_Count(a), CaroRoutes_Count(b));
    assert_memory_equal(CaroRoutes_Limits(a), CaroRoutes_Limits(b),
                        sizeof(CaroCallerLimits));
    assert_int_equal(CaroRoutes_RequiresAccounts(a),
                     CaroRoutes_RequiresAccounts(b));
    for (size_t i = 0; i < sizeof(prefixes) / sizeof(prefixes[0]); i++) {
        const char *p = prefixes[i];
        const CaroRoute *x = CaroRoutes_Find(a, "h", 1, p, strlen(p));
        const CaroRoute *y = CaroRoutes_Find(b, "h", 1, p, strlen(p));
        assert_int_equal(x == NULL, y == NULL);
        if (x != NULL) {
            assert_string_equal(x->name, y->name);
            assert_string_equal(x->prefix, y->prefix);
            assert_int_equal(x->timeout, y->timeout);
            assert_int_equal(x->n_shares, y->n_shares);
            assert_int_equal(x->is_unusable, y->is_unusable);
            assert_int_equal(x->is_public, y->is_public);
        }
    }
}

/* Reads the text in both ways, after a previous configuration.  Returns the
   new one, or NULL where both fail. */
static CaroRoutes *
check_reading(const char *text, const CaroRoutes *previous)
{
    CaroRoutes *whole = NULL;
    CaroRoutes *after = NULL;
    CaroError err;
    int rc = CaroPlatform_ReadConfig(text, strlen(text), &whole, &err);
    assert_int_equal(CaroPlatform_ReadConfigAfter(text, strlen(text), previous,
                                                  &after, &err),
                     rc);
    if (rc == 0) {
        check_equal(whole, after);
        CaroRoutes_Destroy(whole);
    }
    return rc == 0 ? after : NULL;
}

/* Guards against a document that is read in another way by its parts. */
static void
test_documents_are_read_by_parts_as_a_whole(void **state)
{
    (void)state;
    static const char *const texts[] = {
        "{\"version\":3,\"routes\":[" ROUTE("r1", "/a/", "") "]}",
        "{ \"limits\" : {\"max_header_bytes\":9}, \"routes\" : [ " ROUTE(
            "r1", "/a/",
            "") " , " ROUTE("r2", "/c/",
                            ",\"timeout_ms\":7") " ] , \"version\" : 4 }",
        "{\"version\":5,\"routes\":[" ROUTE("r1", "/a/", "") "," ROUTE(
            "r9", "/a/", "") "],\"tenants\":[]}",
        "{\"version\":6,\"routes\":[],\"tenants\":[{\"name\":\"t\","
        "\"api_keys\":[\"k\"]}]}",
        "{\"version\":7,\"tenants\":[]}",
        "{\"version\":8,\"routes\":[" ROUTE("]},{\\\"", "/a/", "") "]}",
        "{\"version\":9,\"routes\":[" ROUTE(
            "r", "/a/", ",\"x\":{\"routes\":[{},[1,\"]\"]]}") "]}",
        "{\"version\":10,\"x\":{\"routes\":[1]},\"routes\":[" ROUTE(
            "r", "/d/", ",\"public\":true") "]}",
        "{\"version\":11,\"routes\":[],\"routes\":[" ROUTE("r", "/", "") "]}",
        "{\"version\":12,\"ro\\u0075tes\":[" ROUTE("r", "/", "") "]}",
        "{\"routes\":[" ROUTE("r", "/", "") "],\"ro\\u0075tes\":[]}",
        "{\"version\":13,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/a/\","
        "\"kind\":\"odd\"}]}",
        /* Documents that cannot be read. */
        "{\"version\":14,\"routes\":[{\"host\":\"h\"}]}",
        "{\"version\":15,\"routes\":[7]}", "{\"version\":16,\"routes\":{}}",
        "{\"version\":17,\"routes\":[" ROUTE("r", "/a/", "") ",]}",
        "{\"version\":18,\"routes\":[" ROUTE("r", "/a/", "") "]",
        "{\"version\":19,\"routes\":[" ROUTE("r", "/a/", ",") "]}",
        "{\"version\":20,\"routes\":[" ROUTE("r", "/a/", "") "]}x",
        "{\"version\":21,\"routes\":[" ROUTE("r\x01", "/a/", "") "]}",
        "{\"version\":22,\"routes\":[{\"host\":\"h\"", "[]", "", "{\"", "{"};
    enum { TEXTS = sizeof(texts) / sizeof(texts[0]) };
    for (int i = 0; i < TEXTS; i++) {
        CaroRoutes *previous = check_reading(texts[i], NULL);
        for (int j = 0; j < TEXTS; j++) {
            CaroRoutes_Destroy(check_reading(texts[j], previous));
        }
        CaroRoutes_Destroy(previous);
    }
}

/* Guards against parts of a text that are taken for others: each byte of a
   document is replaced in turn. */
static void
test_changed_bytes_are_read_alike(void **state)
{
    (void)state;
    static const char bytes[] = "\"{}[],:\\ 0a";
    char text[] =
        "{\"version\":3,\"routes\":[" ROUTE("r1", "/a/", "") "," ROUTE(
            "r2", "/c/", ",\"timeout_ms\":7") "],\"limits\":{}}";
    CaroRoutes *previous = check_reading(text, NULL);
    for (size_t i = 0; i < sizeof(text) - 1; i++) {
        char before = text[i];
        for (size_t j = 0; j < sizeof(bytes) - 1; j++) {
            text[i] = bytes[j];
            CaroRoutes_Destroy(check_reading(text, previous));
        }
        text[i] = before;
    }
    CaroRoutes_Destroy(previous);
}

/* Guards against a large document that is parsed anew for a small change. */
static void
test_unchanged_routes_are_known_by_their_text(void **state)
{
    (void)state;
    static char text[400000];
    static CaroJsonArray list;
    CaroRoutes *routes[2] = {NULL, NULL};
    CaroError err;
    for (int version = 0; version < 2; version++) {
        int n = snprintf(text, sizeof(text), "{\"version\":%d,\"routes\":[",
                         version);
        for (int i = 0; i < 2000; i++) {
            n += snprintf(text + n, sizeof(text) - (size_t)n,
                          "%s" ROUTE("r%d", "/p%d/", ",\"timeout_ms\":%d"),
                          i == 0 ? "" : ",", i, i, i == 7 * version ? 9 : 800);
        }
        n += snprintf(text + n, sizeof(text) - (size_t)n, "]}");
        assert_int_equal(CaroPlatform_ReadConfigAfter(text, (size_t)n,
                                                      routes[0],
                                                      &routes[version], &err),
                         0);
    }
    assert_int_equal(CaroJsonArray_Find(text, strlen(text), "routes", &list),
                     0);
    assert_int_equal(list.n, 2000);
    const CaroRoute *changed = CaroRoutes_Find(routes[1], "h", 1, "/p7/", 4);
    assert_int_equal(changed->timeout, 9 * CARO_MS);
    assert_int_equal(CaroRoutes_Find(routes[1], "h", 1, "/p0/", 4)->timeout,
                     800 * CARO_MS);
    CaroJsonArray_Clear(&list);
    CaroRoutes_Destroy(routes[0]);
    CaroRoutes_Destroy(routes[1]);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_documents_are_read_by_parts_as_a_whole),
        cmocka_unit_test(test_changed_bytes_are_read_alike),
        cmocka_unit_test(test_unchanged_routes_are_known_by_their_text),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
