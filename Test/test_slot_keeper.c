/*
 * Tests of permits for requests to brittle upstreams, on virtual time: what
 * the upstreams have at once, and what callers are told.
 */
#include "test.h"

#include "internal/caro_slot_keeper.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define MS CARO_MS
#define S CARO_SECOND

enum { SERVERS = 3, SLOTS = 4, REQUESTS_MAX = 20000 };

static CaroHandle
put(CaroTargets *t, int i, int generation)
{
    CaroTargetEntry e = {.slots = SLOTS, .started_at_ms = generation};
    (void)snprintf(e.id, sizeof(e.id), "s%d-%d", i, generation);
    (void)snprintf(e.address, sizeof(e.address), "10.0.0.%d:80", i + 1);
    CARO_COPY(e.domain, "d");
    CARO_COPY(e.service, "orders");
    CARO_COPY(e.version, "v1");
    return CaroTargets_Put(t, &e, S);
}

static CaroPermitRequest
make_request(uint64_t id, CaroTime wait_max)
{
    return (CaroPermitRequest){.id = id,
                               .service = XXH32("orders", 6, 0),
                               .wait_max = wait_max,
                               .ttl = 1500 * MS,
                               .rejections_max = 5};
}

typedef struct {
    CaroTargets *targets;
    CaroSlotKeeper *keeper;
    gsl_rng *rng;
    struct {
        CaroTime ends_at; /* 0: has no permit. */
        CaroTime asked_at;
    } all[REQUESTS_MAX];
    int n;
    int running[SERVERS];
    int most; /* At one upstream at once. */
    int served;
    int denied;
    CaroTime longest_wait;
} Play;

static void
begin(Play *p, const CaroPermit *permit, CaroTime now)
{
    CaroHandle h = CaroTargets_FindByStart(p->targets, permit->start_hash);
    assert_in_range(h, 0, SERVERS - 1);
    p->running[h]++;
    p->most = p->running[h] > p->most ? p->running[h] : p->most;
    int i = (int)permit->id - 1;
    p->all[i].ends_at =
        now + (CaroTime)gsl_ran_exponential(p->rng, 50.0 * (double)MS) + MS;
    CaroTime wait = now - p->all[i].asked_at;
    p->longest_wait = wait > p->longest_wait ? wait : p->longest_wait;
}

static void
end_requests(Play *p, CaroTime now)
{
    for (int i = 0; i < p->n; i++) {
        if (p->all[i].ends_at == 0 || p->all[i].ends_at > now) {
            continue;
        }
        p->all[i].ends_at = 0;
        CaroPermitRequest q = make_request((uint64_t)i + 1, 0);
        CaroPermit known = CaroSlotKeeper_Request(p->keeper, &q, now);
        assert_int_equal(known.outcome, CARO_PERMIT_GRANTED);
        p->running[CaroTargets_FindByStart(p->targets, known.start_hash)]--;
        CaroSlotKeeper_Return(p->keeper, (uint64_t)i + 1, false, now);
        p->served++;
    }
}

/* Plays a load for 10 s; returns what the room would serve. */
static double
play(Play *p, double load, unsigned long seed)
{
    double room = SERVERS * SLOTS / 0.051;
    memset(p, 0, sizeof(*p));
    p->targets = CaroTargets_Create();
    p->keeper = CaroSlotKeeper_Create(p->targets);
    p->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(p->rng, seed);
    for (int i = 0; i < SERVERS; i++) {
        (void)put(p->targets, i, 1);
    }
    for (CaroTime now = S; now < 11 * S; now += MS) {
        CaroPermit out;
        end_requests(p, now);
        while (CaroSlotKeeper_Next(p->keeper, &out, now)) {
            if (out.outcome == CARO_PERMIT_GRANTED) {
                begin(p, &out, now);
            }
            else {
                p->denied++;
            }
        }
        unsigned n = gsl_ran_poisson(p->rng, load * room / 1000.0);
        for (unsigned i = 0; i < n && p->n < REQUESTS_MAX; i++) {
            p->all[p->n++].asked_at = now;
            CaroPermitRequest q = make_request((uint64_t)p->n, 75 * MS);
            out = CaroSlotKeeper_Request(p->keeper, &q, now);
            if (out.outcome == CARO_PERMIT_GRANTED) {
                begin(p, &out, now);
            }
            p->denied += out.outcome == CARO_PERMIT_DENIED;
        }
    }
    CaroSlotKeeper_Destroy(p->keeper);
    CaroTargets_Destroy(p->targets);
    gsl_rng_free(p->rng);
    return room;
}

/* Guards against upstreams that fall over because VMs press them. */
static void
test_upstreams_never_have_more_than_they_run(void **state)
{
    (void)state;
    static Play p;
    static const double loads[] = {0.5, 0.8, 1.2, 2.0, 4.0};
    for (int i = 0; i < 5; i++) {
        for (unsigned long seed = 1; seed <= 3; seed++) {
            double room = play(&p, loads[i], seed);
            double least = loads[i] < 1.0 ? 0.85 * loads[i] : 0.85;
            print_message("load=%.1f served=%.2f of the room denied=%d "
                          "most=%d longest_wait_ms=%lld\n",
                          loads[i], p.served / 10.0 / room, p.denied, p.most,
                          (long long)(p.longest_wait / MS));
            assert_true(p.most <= SLOTS);
            assert_true(p.served / 10.0 / room >= least);
            assert_true(p.longest_wait <= 75 * MS);
        }
    }
}

/* Guards against a new keeper that gives out what an earlier one has given. */
static void
test_keeper_begins_with_half_of_the_places(void **state)
{
    (void)state;
    CaroTargets *t = CaroTargets_Create();
    CaroSlotKeeper *k = CaroSlotKeeper_Create(t);
    int n = 0;
    (void)put(t, 0, 1);
    for (uint64_t id = 1; id <= 10; id++) {
        CaroPermitRequest q = make_request(id, 0);
        n += CaroSlotKeeper_Request(k, &q, S).outcome == CARO_PERMIT_GRANTED;
    }
    assert_int_equal(n, SLOTS / 2);
    for (uint64_t id = 11; id <= 20; id++) {
        CaroPermitRequest q = make_request(id, 0);
        n += CaroSlotKeeper_Request(k, &q, S + 600 * MS).outcome ==
             CARO_PERMIT_GRANTED;
    }
    assert_int_equal(n, SLOTS);
    CaroSlotKeeper_Destroy(k);
    CaroTargets_Destroy(t);
}

/* Guards against permits that are lost with the VM that had them. */
static void
test_permits_end_by_themselves(void **state)
{
    (void)state;
    CaroTargets *t = CaroTargets_Create();
    CaroSlotKeeper *k = CaroSlotKeeper_Create(t);
    (void)put(t, 0, 1);
    for (uint64_t id = 1; id <= 10; id++) {
        CaroPermitRequest q = make_request(id, 0);
        (void)CaroSlotKeeper_Request(k, &q, S + (CaroTime)id * 200 * MS);
    }
    assert_int_equal(CaroSlotKeeper_CountPermits(k), SLOTS);
    CaroPermitRequest q = make_request(11, 0);
    assert_int_equal(CaroSlotKeeper_Request(k, &q, 5 * S).outcome,
                     CARO_PERMIT_GRANTED);
    assert_int_equal(CaroSlotKeeper_CountPermits(k), 1);
    CaroSlotKeeper_Destroy(k);
    CaroTargets_Destroy(t);
}

/* Guards against rejections by VMs of earlier versions that add up. */
static void
test_upstream_that_rejects_gets_less_and_then_nothing(void **state)
{
    (void)state;
    CaroTargets *t = CaroTargets_Create();
    CaroSlotKeeper *k = CaroSlotKeeper_Create(t);
    CaroTime now = S;
    uint64_t id = 1;
    (void)put(t, 0, 1);
    CaroPermitRequest first = make_request(id++, 0);
    (void)CaroSlotKeeper_Request(k, &first, now);
    CaroSlotKeeper_Return(k, 1, true, now += S);
    for (int i = 0; i < SLOTS; i++) {
        CaroPermitRequest q = make_request(id++, 0);
        assert_int_equal(CaroSlotKeeper_Request(k, &q, now).outcome,
                         i < SLOTS - 1 ? CARO_PERMIT_GRANTED
                                       : CARO_PERMIT_DENIED);
    }
    for (uint64_t i = 2; i <= 4; i++) {
        CaroSlotKeeper_Return(k, i, true, now);
    }
    CaroPermitRequest q = make_request(id++, 0);
    CaroPermit out = CaroSlotKeeper_Request(k, &q, now);
    assert_int_equal(out.outcome, CARO_PERMIT_DENIED);
    assert_true(out.retry_after > 0);
    assert_int_equal(CaroSlotKeeper_Request(k, &q, now + S).outcome,
                     CARO_PERMIT_GRANTED);
    CaroSlotKeeper_Destroy(k);
    CaroTargets_Destroy(t);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_upstreams_never_have_more_than_they_run),
        cmocka_unit_test(test_keeper_begins_with_half_of_the_places),
        cmocka_unit_test(test_permits_end_by_themselves),
        cmocka_unit_test(
            test_upstream_that_rejects_gets_less_and_then_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
