/* Tests of revisions across restorations of the store. */
#include "test.h"

#include "internal/caro_platform.h"
#include "internal/caro_revision.h"

#include <string.h>

static void
test_later_timeline_is_above_each_earlier_revision(void **state)
{
    (void)state;
    static const int64_t numbers[] = {0, 1, 39, CARO_REVISION_NUMBER_MAX};
    static const int64_t timelines[] = {0, 1, 2, CARO_TIMELINE_MAX};
    for (int i = 0; i < 16; i++) {
        for (int j = 0; j < 16; j++) {
            CaroRevision a =
                CaroRevision_Make(timelines[i / 4], numbers[i % 4]);
            CaroRevision b =
                CaroRevision_Make(timelines[j / 4], numbers[j % 4]);
            assert_int_equal(a < b, i < j);
            assert_int_equal(CaroRevision_IsSameTimeline(a, b),
                             i / 4 == j / 4);
        }
        CaroRevision r = CaroRevision_Make(timelines[i / 4], numbers[i % 4]);
        assert_true(r >= 0);
        assert_int_equal(CaroRevision_Timeline(r), timelines[i / 4]);
        assert_int_equal(CaroRevision_Number(r), numbers[i % 4]);
    }
    assert_int_equal(CaroRevision_Make(0, 39), 39);
    assert_false(CaroRevision_IsValid(0, -1));
    assert_false(CaroRevision_IsValid(-1, 0));
    assert_false(CaroRevision_IsValid(0, CARO_REVISION_NUMBER_MAX + 1));
    assert_false(CaroRevision_IsValid(CARO_TIMELINE_MAX + 1, 0));
}

static void
test_head_tells_the_timeline(void **state)
{
    (void)state;
    static const struct {
        const char *text; /* NULL for no header. */
        int64_t timeline; /* -1: malformed. */
    } cases[] = {{NULL, 0},   {"1", 0},   {"2", 1},           {"9", 8},
                 {"0", 0},    {"", -1},   {"x", -1},          {"-1", -1},
                 {"1.5", -1}, {"2 ", -1}, {"99999999999", -1}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        int64_t timeline = -1;
        CaroText text = {
            .at = cases[i].text,
            .size = cases[i].text == NULL ? 0 : strlen(cases[i].text)};
        int rc = CaroPlatform_ReadTimeline(text, &timeline);
        assert_int_equal(rc < 0 ? -1 : timeline, cases[i].timeline);
    }
}

/* The store knows numbers alone. */
static void
test_calls_have_the_number_of_a_revision(void **state)
{
    (void)state;
    CaroStoreCall call;
    CaroRevision revision = CaroRevision_Make(2, 41);
    assert_int_equal(CaroPlatform_CallWatch(&call, "", revision, CARO_SECOND),
                     0);
    assert_non_null(strstr(call.target, "after=41&"));
    CaroStoreCall_Clear(&call);
    assert_int_equal(CaroPlatform_CallPut(&call, "k", "v", revision, 0), 0);
    assert_non_null(strstr(call.body, "\"revision\":41"));
    CaroStoreCall_Clear(&call);
    CaroStoreResponse response;
    static const char text[] = "{\"entries\":[{\"key\":\"a\",\"value\":\"\","
                               "\"revision\":7},{\"key\":\"b\",\"value\":"
                               "\"\",\"revision\":-7}],\"at\":9}";
    assert_int_equal(
        CaroPlatform_ReadStoreResponse(text, strlen(text), 2, &response), 0);
    assert_int_equal(response.n_items, 1);
    assert_int_equal(response.n_unreadable, 1);
    assert_int_equal(response.items[0].revision, CaroRevision_Make(2, 7));
    assert_int_equal(response.revision, CaroRevision_Make(2, 9));
    CaroStoreResponse_Clear(&response);
    static const char odd[] = "{\"entries\":[],\"at\":-1}";
    assert_int_equal(
        CaroPlatform_ReadStoreResponse(odd, strlen(odd), 0, &response),
        CARO_ERR_INPUT);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_later_timeline_is_above_each_earlier_revision),
        cmocka_unit_test(test_head_tells_the_timeline),
        cmocka_unit_test(test_calls_have_the_number_of_a_revision),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
