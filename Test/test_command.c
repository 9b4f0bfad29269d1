/* Tests of the parser of the operators' command language. */
#include "test.h"

#include "internal/caro_command.h"

#include <string.h>

enum { HOUR_MS = 3600000 };

static CaroCommand command;
static CaroError err;

static int
parse(const char *line)
{
    return CaroCommand_Parse(line, (int64_t)100 * 24 * HOUR_MS, &command,
                             &err);
}

static void
test_commands_and_prefixes(void **state)
{
    (void)state;
    assert_int_equal(parse("st"), 0);
    assert_int_equal(command.kind, CARO_CMD_STATUS);
    assert_int_equal(parse("  w   chat\n"), 0);
    assert_int_equal(command.kind, CARO_CMD_WHY);
    assert_string_equal(command.subject, "chat");
    assert_int_equal(parse("dr vm7"), 0);
    assert_int_equal(command.kind, CARO_CMD_DRAIN);
}

static void
test_times(void **state)
{
    (void)state;
    int64_t day = (int64_t)100 * 24 * HOUR_MS;
    assert_int_equal(parse("mv chat v2 by 17:30"), 0);
    assert_int_equal(command.move.end_ms, day + 17 * HOUR_MS + HOUR_MS / 2);
    assert_int_equal(parse("mv chat v2 by 00:00"), 0);
    assert_int_equal(command.move.end_ms, day + 24 * HOUR_MS);
    assert_int_equal(parse("mv chat v2 by +2h"), 0);
    assert_int_equal(command.move.end_ms, day + 2 * HOUR_MS);
    assert_int_equal(parse("mv chat v2 by 25:00"), CARO_ERR_INPUT);
    assert_int_equal(parse("mv chat v2 by +2x"), CARO_ERR_INPUT);
    assert_int_equal(parse("mv chat v2 by +-2h"), CARO_ERR_INPUT);
}

static void
check_refused(const char *line, const char *expected)
{
    assert_int_equal(parse(line), CARO_ERR_INPUT);
    if (strstr(err.detail, expected) == NULL) {
        fail_msg("\"%s\": the error \"%s\" lacks \"%s\"", line, err.detail,
                 expected);
    }
}

static void
test_errors_say_what_was_expected(void **state)
{
    (void)state;
    check_refused("", "try help");
    check_refused("d", "may be dep or drain");
    check_refused("undp chat", "nearest is: undo DEPLOYMENT");
    check_refused("mv chat", "expected: mv DEPLOYMENT VERSION by TIME");
    check_refused("mv chat v2 at 17:30", "expected by");
    check_refused("drain VM7", "a name has a-z");
    check_refused("a b c d e f g h", "too many");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_commands_and_prefixes),
        cmocka_unit_test(test_times),
        cmocka_unit_test(test_errors_say_what_was_expected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
