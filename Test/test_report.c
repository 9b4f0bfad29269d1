/* Tests of text reports and of the log of decisions. */
#include "test.h"

#include "internal/caro_decisions.h"
#include "internal/caro_report.h"

#include <string.h>

static void
test_report_fits_the_screen(void **state)
{
    (void)state;
    CaroReport r;
    CaroReport_Init(&r);
    for (int i = 0; i < 100; i++) {
        CaroReport_Line(&r, "%060d", i);
    }
    const char *text = CaroReport_End(&r);
    int lines = 0;
    for (const char *p = text; *p != '\0'; p = strchr(p, '\n') + 1) {
        assert_true(strchr(p, '\n') - p <= CARO_REPORT_COLUMNS);
        lines++;
    }
    assert_int_equal(lines, CARO_REPORT_LINES);
    assert_non_null(strstr(text, "... 81 more lines"));
}

static void
test_decisions_keep_the_newest(void **state)
{
    (void)state;
    CaroDecisions *d = CaroDecisions_Create(3);
    for (int i = 0; i < 5; i++) {
        CaroDecisions_Add(d, i, "part", "subject", "action", "cause %d", i);
    }
    assert_string_equal(CaroDecisions_Get(d, 0)->cause, "cause 4");
    assert_string_equal(CaroDecisions_Get(d, 2)->cause, "cause 2");
    assert_null(CaroDecisions_Get(d, 3));
    CaroDecisions_Destroy(d);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_report_fits_the_screen),
        cmocka_unit_test(test_decisions_keep_the_newest),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
