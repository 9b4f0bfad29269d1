/* Tests of configurations sent as their difference from an older one. */
#include "test.h"

#include "internal/caro_config_texts.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ROUTES = 4000, ROUTE_BYTES = 220, TEXT_BYTES = ROUTES * ROUTE_BYTES };

static char text[TEXT_BYTES + 1];

/* Writes a text of many routes with random names; the timeout is that of the
   first one. */
static size_t
write_text(int n_routes, int timeout)
{
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    size_t size = 0;
    for (int i = 0; i < n_routes; i++) {
        size += (size_t)snprintf(
            text + size, sizeof(text) - size,
            "{\"name\":\"r%08lx\",\"host\":\"a.example\",\"path_prefix\":"
            "\"/%08lx/\",\"service\":\"pool\",\"kind\":\"idempotent\","
            "\"timeout_ms\":%d,\"max_attempts\":2,\"priority\":2}",
            gsl_rng_get(rng), gsl_rng_get(rng), i == 0 ? timeout : 800);
    }
    gsl_rng_free(rng);
    return size;
}

/* Sends the newest text of one object to a VM with another, which has the
   revision "base".  Returns the bytes of the frame. */
static size_t
check_sent(CaroConfigTexts *from, const CaroConfigTexts *to, CaroRevision base)
{
    caro_packed_config packed;
    char *out;
    size_t size;
    size_t expected;
    assert_int_equal(CaroConfigTexts_Pack(from, base, &packed), 0);
    assert_int_equal(CaroConfigTexts_Unpack(to, &packed, &out, &size), 0);
    const char *newest = CaroConfigTexts_Newest(from, &expected);
    assert_int_equal(size, expected);
    assert_memory_equal(out, newest, size + 1);
    free(out);
    return packed.frame.frame_len;
}

/* Guards against links that are filled by text which the other VM has. */
static void
test_small_change_of_a_large_text_is_small(void **state)
{
    (void)state;
    CaroConfigTexts *from = CaroConfigTexts_Create();
    CaroConfigTexts *to = CaroConfigTexts_Create();
    size_t size = write_text(ROUTES, 800);
    assert_int_equal(CaroConfigTexts_Add(from, text, size, 7), 0);
    assert_int_equal(CaroConfigTexts_Add(to, text, size, 7), 0);
    assert_true(check_sent(from, to, 0) < size / 8);
    size = write_text(ROUTES, 900);
    assert_int_equal(CaroConfigTexts_Add(from, text, size, 9), 0);
    assert_true(check_sent(from, to, 7) < 1000);
    /* Again, and to one that has none of these. */
    assert_true(check_sent(from, to, 7) < 1000);
    assert_true(check_sent(from, to, 8) < size / 8);
    CaroConfigTexts_Destroy(from);
    CaroConfigTexts_Destroy(to);
}

static void
test_text_that_grows_is_sent_as_what_was_added(void **state)
{
    (void)state;
    CaroConfigTexts *from = CaroConfigTexts_Create();
    CaroConfigTexts *to = CaroConfigTexts_Create();
    for (int i = 1; i <= 4; i++) {
        size_t size = write_text(ROUTES * i / 4, 800);
        assert_int_equal(CaroConfigTexts_Add(from, text, size, i), 0);
        assert_true(check_sent(from, to, i - 1) < TEXT_BYTES / 4 / 6);
        assert_int_equal(CaroConfigTexts_Add(to, text, size, i), 0);
    }
    CaroConfigTexts_Destroy(from);
    CaroConfigTexts_Destroy(to);
}

static void
test_frame_based_on_an_unknown_text_is_refused(void **state)
{
    (void)state;
    caro_packed_config packed;
    char *out;
    size_t size = write_text(100, 800);
    CaroConfigTexts *from = CaroConfigTexts_Create();
    CaroConfigTexts *to = CaroConfigTexts_Create();
    assert_int_equal(CaroConfigTexts_Pack(from, 0, &packed), CARO_ERR_STATE);
    assert_int_equal(CaroConfigTexts_Add(from, text, size, 7), 0);
    size = write_text(100, 900);
    assert_int_equal(CaroConfigTexts_Add(from, text, size, 9), 0);
    assert_int_equal(CaroConfigTexts_Pack(from, 7, &packed), 0);
    assert_int_equal(CaroConfigTexts_Unpack(to, &packed, &out, &size),
                     CARO_ERR_STATE);
    /* Another text with the same revision. */
    assert_int_equal(CaroConfigTexts_Add(to, "other", 5, 7), 0);
    assert_int_equal(CaroConfigTexts_Unpack(to, &packed, &out, &size),
                     CARO_ERR_INPUT);
    CaroConfigTexts_Destroy(from);
    CaroConfigTexts_Destroy(to);
}

static void
test_malformed_frames_are_refused(void **state)
{
    (void)state;
    CaroConfigTexts *t = CaroConfigTexts_Create();
    char *out;
    size_t size = write_text(100, 800);
    caro_packed_config packed;
    assert_int_equal(CaroConfigTexts_Add(t, text, size, 7), 0);
    assert_int_equal(CaroConfigTexts_Pack(t, 0, &packed), 0);
    for (u_int i = 0; i < packed.frame.frame_len; i++) {
        caro_packed_config cut = packed;
        cut.frame.frame_len = i;
        assert_int_equal(CaroConfigTexts_Unpack(t, &cut, &out, &size),
                         CARO_ERR_INPUT);
    }
    caro_packed_config huge = packed;
    huge.size = UINT32_MAX;
    assert_int_equal(CaroConfigTexts_Unpack(t, &huge, &out, &size),
                     CARO_ERR_INPUT);
    caro_packed_config other = packed;
    other.size--;
    assert_int_equal(CaroConfigTexts_Unpack(t, &other, &out, &size),
                     CARO_ERR_INPUT);
    CaroConfigTexts_Destroy(t);
}

static void
test_text_that_cannot_be_compressed_fits(void **state)
{
    (void)state;
    CaroConfigTexts *t = CaroConfigTexts_Create();
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    char *random = malloc(CARO_CONFIG_MAX);
    for (int i = 0; i < CARO_CONFIG_MAX; i++) {
        random[i] = (char)gsl_rng_get(rng);
    }
    assert_int_equal(CaroConfigTexts_Add(t, random, CARO_CONFIG_MAX, 7), 0);
    assert_true(check_sent(t, t, 0) <= CARO_CONFIG_FRAME_MAX);
    free(random);
    gsl_rng_free(rng);
    CaroConfigTexts_Destroy(t);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_small_change_of_a_large_text_is_small),
        cmocka_unit_test(test_text_that_grows_is_sent_as_what_was_added),
        cmocka_unit_test(test_frame_based_on_an_unknown_text_is_refused),
        cmocka_unit_test(test_malformed_frames_are_refused),
        cmocka_unit_test(test_text_that_cannot_be_compressed_fits),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
