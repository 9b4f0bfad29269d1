/* Tests of the latency histograms. */
#include "test.h"

#include "internal/caro_latency.h"

#include <string.h>

static void
test_quantiles(void **state)
{
    (void)state;
    CaroLatency *l = CaroLatency_Create();
    assert_true(CaroLatency_Quantile(l, CARO_LATENCY_GAP, 0.5) == 0.0);
    for (int i = 1; i <= 1000; i++) {
        CaroLatency_Add(l, CARO_LATENCY_GAP, i * CARO_MS);
    }
    double p50 = CaroLatency_Quantile(l, CARO_LATENCY_GAP, 0.5);
    double p99 = CaroLatency_Quantile(l, CARO_LATENCY_GAP, 0.99);
    assert_true(p50 >= 500.0 && p50 <= 600.0);
    assert_true(p99 >= 990.0 && p99 <= 1200.0);
    CaroLatency_Destroy(l);
}

static void
test_samples_out_of_range_are_counted(void **state)
{
    (void)state;
    CaroLatency *l = CaroLatency_Create();
    struct evbuffer *out = evbuffer_new();
    CaroLatency_Add(l, CARO_LATENCY_FIRST_EVENT, -5);
    CaroLatency_Add(l, CARO_LATENCY_FIRST_EVENT, 0);
    CaroLatency_Add(l, CARO_LATENCY_FIRST_EVENT, 3600 * CARO_SECOND);
    CaroLatency_Write(l, out);
    (void)evbuffer_add(out, "", 1);
    assert_non_null(strstr((char *)evbuffer_pullup(out, -1),
                           "stream_first_event_ms_count 3\n"));
    evbuffer_free(out);
    CaroLatency_Destroy(l);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_quantiles),
        cmocka_unit_test(test_samples_out_of_range_are_counted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
