/* Samples and their quantiles, and the count of bounds that are not met. */
#include "bench.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <stdio.h>
#include <stdlib.h>

void
Samples_Add(Samples *s, double value)
{
    if (s->n == s->capacity) {
        size_t capacity = s->capacity == 0 ? 1024 : 2 * s->capacity;
        double *values = realloc(s->values, capacity * sizeof(*values));
        if (values == NULL) {
            abort();
        }
        s->values = values;
        s->capacity = capacity;
    }
    s->values[s->n++] = value;
}

double
Samples_Quantile(Samples *s, double q)
{
    if (s->n == 0) {
        return 0.0;
    }
    gsl_sort(s->values, 1, s->n);
    return gsl_stats_quantile_from_sorted_data(s->values, 1, s->n, q);
}

void
Samples_Free(Samples *s)
{
    free(s->values);
    s->values = NULL;
    s->n = 0;
    s->capacity = 0;
}

json_t *
Samples_Json(Samples *s)
{
    return json_pack(
        "{s:I, s:f, s:f, s:f, s:f}", "n", (json_int_t)s->n, "p50",
        Samples_Quantile(s, 0.5), "p95", Samples_Quantile(s, 0.95), "p99",
        Samples_Quantile(s, 0.99), "max", Samples_Quantile(s, 1.0));
}

static int failed_checks;

void
Bench_Check(bool is_met, const char *what)
{
    if (!is_met) {
        (void)printf("BROKEN: %s\n", what);
        failed_checks++;
    }
}

int
Bench_FinishChecks(void)
{
    (void)printf("bounds broken: %d\n", failed_checks);
    return failed_checks == 0 ? 0 : 1;
}
