/*
 * The retry budget of a deployment while domains of engines are lost, on
 * virtual time: as long as the retries of all VMs stay far below the budget of
 * the deployment, a stream that was lost may be retried, whatever the number
 * of VMs.  VMs lend each other retries; one message of 20 is lost.
 */
#include "retry_loans_fixture.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

#define S CARO_SECOND

#define MESSAGE_LOSS 0.05
/* A lost stream waits for budget for the gap objective, and tries as often as
   a relay does. */
#define WAIT (700 * CARO_MS)
#define RETRY_DELAY (40 * CARO_MS)

enum {
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
    CaroTime lost_at;
    CaroTime next_try; /* 0 unless it is lost and waits for budget. */
    int next_domain;   /* Where it is retried. */
} Stream;

/* Retries the stream if there is budget; otherwise it waits and asks other
   VMs.  Returns whether it was retried. */
static bool
try_stream(Fleet *f, Stream *s, CaroTime now)
{
    FleetVm *vm = &f->vms[s->vm];
    s->next_try = 0;
    if (CaroRetryBudget_AllowsRetry(vm->budget, FLEET_SERVICE, f->n_vms,
                                    now)) {
        CaroRetryBudget_RecordRetry(vm->budget, FLEET_SERVICE, now);
        s->domain = s->next_domain;
        return true;
    }
    if (now < s->lost_at + WAIT) {
        Fleet_Request(f, s->vm, now);
        s->next_try = now + RETRY_DELAY;
    }
    return false;
}

/* Delivers messages and tries the streams that wait.  Returns how many were
   retried. */
static int
run_until(Fleet *f, Stream *streams, int n, CaroTime from, CaroTime until)
{
    int retried = 0;
    for (CaroTime now = from; now < until; now += CARO_MS) {
        Fleet_Deliver(f, now);
        for (int i = 0; i < n; i++) {
            if (streams[i].next_try != 0 && now >= streams[i].next_try) {
                retried += try_stream(f, &streams[i], now);
            }
        }
    }
    return retried;
}

/* Plays streams that begin at random VMs; each INTERVAL_S a domain is lost,
   and the streams there are retried in another one.  Returns the fraction of
   lost streams whose retry was allowed. */
static double
play(int vms, unsigned long seed)
{
    static Stream streams[STREAMS_MAX];
    static Fleet fleet;
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    int lost = 0;
    int retried = 0;
    gsl_rng_set(rng, seed);
    Fleet_Create(&fleet, vms, 150.0, MESSAGE_LOSS, seed);
    for (int i = 0; i < STREAMS_MAX; i++) {
        CaroTime now = (CaroTime)i * S / STREAMS_PER_S;
        CaroTime next = (CaroTime)(i + 1) * S / STREAMS_PER_S;
        streams[i] =
            (Stream){.vm = (int)gsl_rng_uniform_int(rng, (unsigned long)vms),
                     .domain = (int)gsl_rng_uniform_int(rng, DOMAINS),
                     .started_at = now};
        CaroRetryBudget_RecordRequest(fleet.vms[streams[i].vm].budget,
                                      FLEET_SERVICE, now);
        if (now / S / INTERVAL_S != next / S / INTERVAL_S) {
            int domain = (int)(now / S / INTERVAL_S) % DOMAINS;
            for (int j = 0; j <= i; j++) {
                Stream *s = &streams[j];
                if (s->domain != domain ||
                    now - s->started_at > DURATION_S * S) {
                    continue;
                }
                lost++;
                s->lost_at = now;
                s->next_domain = (domain + 2) % DOMAINS;
                retried += try_stream(&fleet, s, now);
            }
        }
        retried += run_until(&fleet, streams, i + 1, now, next);
    }
    retried += run_until(&fleet, streams, STREAMS_MAX, END_S * S,
                         END_S * S + WAIT + RETRY_DELAY);
    (void)printf("vms=%d seed=%lu lost=%d retried=%d calls=%ld lent=%ld\n",
                 vms, seed, lost, retried, fleet.calls, fleet.granted);
    Fleet_Destroy(&fleet);
    gsl_rng_free(rng);
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
