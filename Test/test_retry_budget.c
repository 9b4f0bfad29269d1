/*
 * The retry budget of a deployment while domains of engines are lost, on
 * virtual time: as long as the retries of all VMs stay far below the budget of
 * the deployment, a stream that was lost may be retried, whatever the number
 * of VMs.
 */
#include "test.h"

#include "internal/caro_retry_budget.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

#define S CARO_SECOND

enum {
    VMS_MAX = 410,
    DOMAINS = 5,
    STREAMS_PER_S = 133,
    DURATION_S = 6, /* Of a stream. */
    INTERVAL_S = 7, /* Between the losses of two domains. */
    END_S = 63,
    STREAMS_MAX = STREAMS_PER_S * END_S
};

typedef struct {
    int vm;
    int domain; /* Of its engine. */
    CaroTime started_at;
} Stream;

/* Plays streams that begin at random VMs; each INTERVAL_S a domain is lost,
   and the streams there are retried in another one.  Returns the fraction of
   lost streams whose retry was allowed. */
static double
play(int vms, unsigned long seed)
{
    static Stream streams[STREAMS_MAX];
    static CaroRetryBudget *budgets[VMS_MAX];
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    int lost = 0;
    int retried = 0;
    gsl_rng_set(rng, seed);
    for (int i = 0; i < vms; i++) {
        budgets[i] = CaroRetryBudget_Create(0.8, 150.0, 10 * S);
        assert_non_null(budgets[i]);
    }
    for (int i = 0; i < STREAMS_MAX; i++) {
        CaroTime now = (CaroTime)i * S / STREAMS_PER_S;
        CaroTime next = (CaroTime)(i + 1) * S / STREAMS_PER_S;
        streams[i] =
            (Stream){.vm = (int)gsl_rng_uniform_int(rng, (unsigned long)vms),
                     .domain = (int)gsl_rng_uniform_int(rng, DOMAINS),
                     .started_at = now};
        CaroRetryBudget_RecordRequest(budgets[streams[i].vm], "pool", now);
        if (now / S / INTERVAL_S == next / S / INTERVAL_S) {
            continue;
        }
        int domain = (int)(now / S / INTERVAL_S) % DOMAINS;
        for (int j = 0; j <= i; j++) {
            Stream *s = &streams[j];
            if (s->domain != domain || now - s->started_at > DURATION_S * S) {
                continue;
            }
            lost++;
            if (CaroRetryBudget_AllowsRetry(budgets[s->vm], "pool", vms,
                                            now)) {
                CaroRetryBudget_RecordRetry(budgets[s->vm], "pool", now);
                s->domain = (domain + 2) % DOMAINS;
                retried++;
            }
        }
    }
    for (int i = 0; i < vms; i++) {
        CaroRetryBudget_Destroy(budgets[i]);
    }
    gsl_rng_free(rng);
    (void)printf("vms=%d seed=%lu lost=%d retried=%d\n", vms, seed, lost,
                 retried);
    return (double)retried / lost;
}

/* All retries together are a fifth of the budget, 0.8 x 1,330 + 150 in 10 s.
 */
static void
check_lost_streams_are_retried(int vms)
{
    for (unsigned long seed = 1; seed <= 5; seed++) {
        assert_true(play(vms, seed) >= 0.99);
    }
}

static void
test_lost_streams_are_retried_at_18_vms(void **state)
{
    (void)state;
    check_lost_streams_are_retried(18);
}

static void
test_lost_streams_are_retried_at_100_vms(void **state)
{
    (void)state;
    check_lost_streams_are_retried(100);
}

static void
test_lost_streams_are_retried_at_295_vms(void **state)
{
    (void)state;
    check_lost_streams_are_retried(295);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lost_streams_are_retried_at_18_vms),
        cmocka_unit_test(test_lost_streams_are_retried_at_100_vms),
        cmocka_unit_test(test_lost_streams_are_retried_at_295_vms),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
