/* Tests of order records and tickets. */
#include "test.h"

#include "internal/caro_orders.h"

#include <stdio.h>
#include <string.h>

static void
test_fence_is_permanent(void **state)
{
    (void)state;
    CaroOrders *t = CaroOrders_Create(10);
    CaroOrderRecord *r = CaroOrders_FindOrFence(t, "k", 1, 0);
    assert_int_equal(r->state, CARO_RECORD_FENCED);
    /* A delayed intent of the arbiter arrives after the fence. */
    r = CaroOrders_RecordIntent(t, "k", 1, 1);
    assert_int_equal(r->state, CARO_RECORD_FENCED);
    assert_int_equal(
        CaroOrders_SetOutcome(r, CARO_RECORD_DONE, 200, "x", 1, 2), 0);
    assert_int_equal(r->state, CARO_RECORD_FENCED);
    CaroOrders_Destroy(t);
}

static void
test_recorded_intent_is_not_fenced(void **state)
{
    (void)state;
    CaroOrders *t = CaroOrders_Create(10);
    (void)CaroOrders_RecordIntent(t, "k", 1, 0);
    CaroOrderRecord *r = CaroOrders_FindOrFence(t, "k", 1, 1);
    assert_int_equal(CaroOrders_WireState(r), CARO_ORDER_INTENT);
    assert_int_equal(
        CaroOrders_SetOutcome(r, CARO_RECORD_DONE, 201, "ok", 2, 2), 0);
    r = CaroOrders_FindOrFence(t, "k", 1, 3);
    assert_int_equal(r->state, CARO_RECORD_DONE);
    assert_int_equal(r->status, 201);
    assert_string_equal(r->body, "ok");
    /* A later message does not change a known outcome. */
    (void)CaroOrders_SetOutcome(r, CARO_RECORD_UNKNOWN, 0, "", 0, 4);
    assert_int_equal(r->state, CARO_RECORD_DONE);
    CaroOrders_Destroy(t);
}

/* A fence in a peer message has no body: a null pointer of size 0. */
static void
test_outcome_without_body(void **state)
{
    (void)state;
    CaroOrders *t = CaroOrders_Create(10);
    CaroOrderRecord *r = CaroOrders_RecordIntent(t, "k", 1, 0);
    assert_int_equal(
        CaroOrders_SetOutcome(r, CARO_RECORD_FENCED, 0, NULL, 0, 1), 0);
    assert_int_equal(r->state, CARO_RECORD_FENCED);
    assert_int_equal(r->body_size, 0);
    CaroOrders_Destroy(t);
}

static void
test_table_is_bounded_and_expires(void **state)
{
    (void)state;
    CaroOrders *t = CaroOrders_Create(1);
    assert_non_null(CaroOrders_RecordIntent(t, "a", 1, 0));
    assert_null(CaroOrders_RecordIntent(t, "b", 1, 0));
    assert_null(CaroOrders_FindOrFence(t, "b", 1, 0));
    assert_int_equal(CaroOrders_Expire(t, 1), 1);
    assert_non_null(CaroOrders_RecordIntent(t, "b", 1, 0));
    CaroOrders_Destroy(t);
}

static void
test_ticket_format_and_parse(void **state)
{
    (void)state;
    CaroTicket t = {.vm = "n1",
                    .vm_boot_id = 0xabc,
                    .backup = "n2",
                    .backup_boot_id = 0xdef,
                    .expires_ms = 123456};
    CaroTicket parsed;
    CaroError err;
    char buf[CARO_KEY_SIZE];
    assert_int_equal(CaroTicket_Format(&t, "secret", buf, sizeof(buf)), 0);
    strcat(buf, ".mine-1");
    assert_int_equal(CaroTicket_Parse(buf, "secret", &parsed, &err), 0);
    assert_string_equal(parsed.vm, "n1");
    assert_string_equal(parsed.backup, "n2");
    assert_int_equal(parsed.vm_boot_id, 0xabc);
    assert_int_equal(parsed.backup_boot_id, 0xdef);
    assert_int_equal(parsed.expires_ms, 123456);
    assert_int_equal(CaroTicket_Parse(buf, "other", &parsed, &err),
                     CARO_ERR_INPUT);
    buf[1] = '3'; /* Names another VM. */
    assert_int_equal(CaroTicket_Parse(buf, "secret", &parsed, &err),
                     CARO_ERR_INPUT);
    assert_int_equal(CaroTicket_Parse("plain-key", "secret", &parsed, &err),
                     CARO_ERR_NOT_FOUND);
    assert_int_equal(CaroTicket_Parse(".....", "secret", &parsed, &err),
                     CARO_ERR_INPUT);
}

static void
test_digest_distinguishes_requests(void **state)
{
    (void)state;
    uint64_t a = CaroOrders_Digest("x", "/p", "body", 4);
    assert_true(a != CaroOrders_Digest("x", "/p", "bodz", 4));
    assert_true(a != CaroOrders_Digest("y", "/p", "body", 4));
    assert_true(a == CaroOrders_Digest("x", "/p", "body", 4));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_fence_is_permanent),
        cmocka_unit_test(test_recorded_intent_is_not_fenced),
        cmocka_unit_test(test_outcome_without_body),
        cmocka_unit_test(test_table_is_bounded_and_expires),
        cmocka_unit_test(test_ticket_format_and_parse),
        cmocka_unit_test(test_digest_distinguishes_requests),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
