/*
 * Tests of the bounds on what a process holds for its callers, on virtual
 * time: thousands of callers that send without reading, read slowly, or do
 * neither, beside callers that read.
 */
#include "test.h"

#include "internal/caro_held_bytes.h"

#include <stdio.h>

enum { CALLERS_MAX = 1100, SOUND_CALLERS = 20 };

static void
test_bytes_are_counted_by_connection_account_and_process(void **state)
{
    (void)state;
    CaroHeldBytes *h = CaroHeldBytes_Create(100);
    CaroAccountBytes accounts[2];
    CaroHandle a = CaroHeldBytes_Open(h, 1);
    CaroHandle b = CaroHeldBytes_Open(h, 2);
    CaroHeldBytes_Add(h, a, 30);
    CaroHeldBytes_Add(h, b, 60);
    CaroHeldBytes_SetAccount(h, b, "yard");
    assert_int_equal(CaroHeldBytes_Total(h), 90);
    assert_int_equal(CaroHeldBytes_OfConnection(h, a), 30);
    assert_false(CaroHeldBytes_IsExceeded(h));
    assert_int_equal(CaroHeldBytes_ListAccounts(h, accounts, 2), 2);
    assert_string_equal(accounts[0].account, "yard");
    assert_int_equal(accounts[0].bytes, 60);
    assert_int_equal(accounts[1].bytes, 30);
    CaroHeldBytes_Add(h, a, -10);
    CaroHeldBytes_Close(h, b);
    assert_int_equal(CaroHeldBytes_Total(h), 20);
    assert_int_equal(CaroHeldBytes_Open(h, 3), b);
    assert_int_equal(CaroHeldBytes_ListAccounts(h, accounts, 2), 1);
    CaroHeldBytes_Destroy(h);
}

static void
test_the_youngest_of_equals_of_the_largest_account_is_chosen(void **state)
{
    (void)state;
    CaroHeldBytes *h = CaroHeldBytes_Create(10);
    CaroHandle alone = CaroHeldBytes_Open(h, 1);
    CaroHandle first = CaroHeldBytes_Open(h, 2);
    CaroHandle second = CaroHeldBytes_Open(h, 3);
    assert_int_equal(CaroHeldBytes_Choose(h), CARO_NO_HANDLE);
    CaroHeldBytes_SetAccount(h, alone, "a");
    CaroHeldBytes_SetAccount(h, first, "b");
    CaroHeldBytes_SetAccount(h, second, "b");
    CaroHeldBytes_Add(h, alone, 50);
    CaroHeldBytes_Add(h, first, 40);
    CaroHeldBytes_Add(h, second, 40);
    assert_int_equal(CaroHeldBytes_Choose(h), second);
    CaroHeldBytes_Add(h, first, 1);
    assert_int_equal(CaroHeldBytes_Choose(h), first);
    CaroHeldBytes_Close(h, first);
    assert_int_equal(CaroHeldBytes_Choose(h), alone);
    CaroHeldBytes_Destroy(h);
}

/* How a caller behaves, in bytes that it adds to and takes from what is held
   for it in a step of 10 ms. */
typedef struct {
    const char *name;
    ptrdiff_t added;
    ptrdiff_t taken;
    ptrdiff_t most; /* Bound of one connection. */
} Behaviour;

/* Plays 20 s with callers of one account that behave so, beside sound callers
   of another, which are closed at no time; no more is held than allowed. */
static void
play(const Behaviour *b, int callers)
{
    enum { BYTES_MAX = 1 << 20, STEPS = 2000 };
    static CaroHandle handles[CALLERS_MAX];
    CaroHandle sound[SOUND_CALLERS];
    CaroHeldBytes *h = CaroHeldBytes_Create(BYTES_MAX);
    for (int i = 0; i < callers; i++) {
        handles[i] = CaroHeldBytes_Open(h, i);
        CaroHeldBytes_SetAccount(h, handles[i], "slow");
    }
    for (int i = 0; i < SOUND_CALLERS; i++) {
        sound[i] = CaroHeldBytes_Open(h, CALLERS_MAX + i);
        CaroHeldBytes_SetAccount(h, sound[i], "sound");
    }
    for (CaroTime now = 0; now < STEPS; now++) {
        for (int i = 0; i < SOUND_CALLERS; i++) {
            /* A response of 4 KB that is read in the next step. */
            CaroHeldBytes_Add(h, sound[i], now % 2 == 0 ? 4096 : -4096);
        }
        for (int i = 0; i < callers; i++) {
            ptrdiff_t held =
                (ptrdiff_t)CaroHeldBytes_OfConnection(h, handles[i]);
            ptrdiff_t left = held + b->added - b->taken;
            left = left < 0 ? 0 : left > b->most ? b->most : left;
            CaroHeldBytes_Add(h, handles[i], left - held);
            while (CaroHeldBytes_IsExceeded(h)) {
                CaroHandle chosen = CaroHeldBytes_Choose(h);
                for (int k = 0; k < SOUND_CALLERS; k++) {
                    assert_int_not_equal(chosen, sound[k]);
                }
                CaroHeldBytes_Close(h, chosen);
                CaroHandle again = CaroHeldBytes_Open(h, CALLERS_MAX + now);
                assert_int_equal(again, chosen);
                CaroHeldBytes_SetAccount(h, again, "slow");
            }
        }
        assert_true(CaroHeldBytes_Total(h) <= BYTES_MAX);
    }
    CaroHeldBytes_Destroy(h);
}

/* Guards against a process that is ended for its memory because of callers
   that do not read, with the requests of all others. */
static void
test_callers_that_read_are_served_beside_any_number_that_do_not(void **state)
{
    (void)state;
    static const Behaviour behaviours[] = {
        {"sends without reading", 16384, 0, 16384 + 262144},
        {"reads slowly", 4096, 200, 262144},
        {"does neither", 300, 0, 300},
    };
    static const int callers[] = {1, 100, 1000};
    for (size_t i = 0; i < 3; i++) {
        for (size_t k = 0; k < 3; k++) {
            play(&behaviours[i], callers[k]);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_bytes_are_counted_by_connection_account_and_process),
        cmocka_unit_test(
            test_the_youngest_of_equals_of_the_largest_account_is_chosen),
        cmocka_unit_test(
            test_callers_that_read_are_served_beside_any_number_that_do_not),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
