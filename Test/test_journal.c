/* Tests of journals, their tables and event ids. */
#include "test.h"

#include "internal/caro_event_id.h"
#include "internal/caro_journal.h"

#include <stdio.h>
#include <string.h>

static void
test_append_and_read(void **state)
{
    (void)state;
    CaroJournalTable *t = CaroJournalTable_Create(1 << 20);
    CaroJournal *j = CaroJournalTable_Open(t, 7, 1, "{}", 2, 0);
    size_t size;
    assert_non_null(j);
    assert_int_equal(CaroJournal_Append(j, "ab", 2, 1), 0);
    assert_int_equal(CaroJournal_Append(j, "cde", 3, 2), 0);
    assert_int_equal(CaroJournal_Count(j), 2);
    assert_memory_equal(CaroJournal_Token(j, 1, &size), "cde", 3);
    assert_int_equal(size, 3);
    assert_memory_equal(CaroJournal_Text(j, 0, &size), "abcde", 5);
    assert_int_equal(size, 5);
    assert_null(CaroJournalTable_Open(t, 7, 1, "{}", 2, 0));
    CaroJournalTable_Destroy(t);
}

static void
test_merge_is_idempotent(void **state)
{
    (void)state;
    CaroJournalTable *t = CaroJournalTable_Create(1 << 20);
    CaroJournal *j = CaroJournalTable_Open(t, 7, 1, "{}", 2, 0);
    const uint32_t ends[] = {1, 2, 3};
    assert_int_equal(CaroJournal_Merge(j, "n1", 1, 0, "abc", 3, ends, 3, 1),
                     0);
    assert_int_equal(CaroJournal_Merge(j, "n1", 1, 0, "abc", 3, ends, 3, 1),
                     0);
    assert_int_equal(CaroJournal_Merge(j, "n1", 1, 2, "cd", 2, ends, 2, 1), 0);
    assert_int_equal(CaroJournal_Count(j), 4);
    size_t size;
    assert_memory_equal(CaroJournal_Text(j, 0, &size), "abcd", 4);
    CaroJournalTable_Destroy(t);
}

static void
test_merge_rejects_gaps_and_bad_offsets(void **state)
{
    (void)state;
    CaroJournalTable *t = CaroJournalTable_Create(1 << 20);
    CaroJournal *j = CaroJournalTable_Open(t, 7, 1, "{}", 2, 0);
    const uint32_t ends[] = {1};
    const uint32_t descending[] = {2, 1};
    const uint32_t beyond[] = {9};
    assert_int_equal(CaroJournal_Merge(j, "n1", 1, 3, "a", 1, ends, 1, 1),
                     CARO_ERR_STATE);
    assert_int_equal(
        CaroJournal_Merge(j, "n1", 1, 0, "ab", 2, descending, 2, 1),
        CARO_ERR_INPUT);
    assert_int_equal(CaroJournal_Merge(j, "n1", 1, 1, "a", 1, beyond, 1, 1),
                     CARO_ERR_INPUT);
    CaroJournalTable_Destroy(t);
}

/* After a takeover the previous owner must not append to the replica, and two
   owners of the same epoch must not both append. */
static void
test_other_owners_are_fenced(void **state)
{
    (void)state;
    CaroJournalTable *t = CaroJournalTable_Create(1 << 20);
    CaroJournal *j = CaroJournalTable_Open(t, 7, 1, "{}", 2, 0);
    const uint32_t ends[] = {1};
    assert_int_equal(CaroJournal_Merge(j, "n1", 1, 0, "a", 1, ends, 1, 1), 0);
    assert_int_equal(CaroJournal_Merge(j, "n2", 1, 1, "x", 1, ends, 1, 1),
                     CARO_ERR_FENCED);
    CaroJournal_Fence(j, 2);
    assert_int_equal(CaroJournal_Merge(j, "n1", 1, 1, "b", 1, ends, 1, 1),
                     CARO_ERR_FENCED);
    assert_int_equal(CaroJournal_Merge(j, "n2", 3, 1, "c", 1, ends, 1, 1), 0);
    assert_int_equal(CaroJournal_Count(j), 2);
    CaroJournalTable_Destroy(t);
}

static void
test_table_is_bounded_and_expires(void **state)
{
    (void)state;
    CaroJournalTable *t = CaroJournalTable_Create(2000);
    char text[1024] = {0};
    CaroJournal *j = CaroJournalTable_Open(t, 1, 1, "{}", 2, 10);
    assert_non_null(j);
    assert_int_equal(CaroJournal_Append(j, text, sizeof(text), 10), 0);
    assert_int_equal(CaroJournal_Append(j, text, sizeof(text), 10),
                     CARO_ERR_FULL);
    assert_null(CaroJournalTable_Open(t, 2, 1, text, sizeof(text), 10));
    assert_int_equal(CaroJournalTable_Expire(t, 20, 5), 0);
    CaroJournal_Finish(j);
    assert_int_equal(CaroJournalTable_Expire(t, 20, 5), 1);
    assert_int_equal(CaroJournalTable_Bytes(t), 0);
    CaroJournalTable_Destroy(t);
}

/* A formatted id is parsed unchanged; malformed ids are rejected. */
static void
test_event_id_format_and_parse(void **state)
{
    (void)state;
    char text[128];
    CaroEventId parsed;
    CaroEventId formatted = {
        .id = 0xfeed, .owner = "vm-1", .backup = "vm-2", .index = 4294967295u};
    CaroEventId_Format(&formatted, text, sizeof(text));
    assert_int_equal(CaroEventId_Parse(text, &parsed), 0);
    assert_memory_equal(&parsed, &formatted, sizeof(parsed));
    memset(formatted.backup, 0, sizeof(formatted.backup));
    CaroEventId_Format(&formatted, text, sizeof(text));
    assert_int_equal(CaroEventId_Parse(text, &parsed), 0);
    assert_string_equal(parsed.backup, "");
    static const char *const malformed[] = {"",
                                            "1",
                                            "000000000000feed.a.b",
                                            "000000000000feed.a.b.1x",
                                            "000000000000FEED.a.b.1",
                                            "feed.a.b.1"};
    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        assert_int_equal(CaroEventId_Parse(malformed[i], &parsed),
                         CARO_ERR_INPUT);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_append_and_read),
        cmocka_unit_test(test_merge_is_idempotent),
        cmocka_unit_test(test_merge_rejects_gaps_and_bad_offsets),
        cmocka_unit_test(test_other_owners_are_fenced),
        cmocka_unit_test(test_table_is_bounded_and_expires),
        cmocka_unit_test(test_event_id_format_and_parse),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
