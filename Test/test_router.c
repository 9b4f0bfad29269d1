/* Tests of the router and of the table of upstreams. */
#include "test.h"

#include "internal/caro_router.h"

#include <stdio.h>

static CaroUpstreams *
create(int n)
{
    CaroUpstreams *t = CaroUpstreams_Create();
    for (int i = 0; i < n; i++) {
        CaroUpstream u = {.kind = CARO_UPSTREAM_MODEL};
        (void)snprintf(u.name, sizeof(u.name), "e%d", i);
        (void)snprintf(u.domain, sizeof(u.domain), "d%d", i % 3);
        CARO_COPY(u.deployment, "chat");
        CARO_COPY(u.version, "v1");
        assert_int_equal(CaroUpstreams_Put(t, &u), i);
    }
    return t;
}

static CaroRouterQuery
query(uint64_t hash)
{
    CaroRouterQuery q = {.deployment = "chat", .vm = "n1", .subset = 128};
    q.prefix_hash = hash;
    q.warm = CARO_NO_HANDLE;
    return q;
}

static void
test_same_prefix_same_upstream(void **state)
{
    (void)state;
    CaroUpstreams *t = create(20);
    uint64_t rng = 1;
    CaroRouterQuery q = query(77);
    CaroHandle first = CaroRouter_Choose(t, &q, 0, &rng);
    q.vm = "n2"; /* With full subsets every VM prefers the same. */
    assert_int_equal(CaroRouter_Choose(t, &q, 0, &rng), first);
    CaroUpstreams_Destroy(t);
}

static void
test_loaded_preferred_upstream_is_not_chosen(void **state)
{
    (void)state;
    CaroUpstreams *t = create(20);
    uint64_t rng = 1;
    CaroRouterQuery q = query(77);
    CaroHandle first = CaroRouter_Choose(t, &q, 0, &rng);
    for (int i = 0; i < 16; i++) {
        CaroUpstreams_BeginAttempt(t, first);
    }
    assert_int_not_equal(CaroRouter_Choose(t, &q, 0, &rng), first);
    CaroUpstreams_Destroy(t);
}

static void
test_failed_and_leaving_upstreams_get_no_requests(void **state)
{
    (void)state;
    CaroUpstreams *t = create(3);
    uint64_t rng = 1;
    CaroRouterQuery q = query(1);
    CaroUpstreams_RecordFailure(t, 0, 0);
    CaroUpstreams_Get(t, 1)->is_leaving = true;
    for (int i = 0; i < 50; i++) {
        assert_int_equal(CaroRouter_Choose(t, &q, 1, &rng), 2);
    }
    q.avoid[q.n_avoid++] = 2;
    assert_int_equal(CaroRouter_Choose(t, &q, 1, &rng), CARO_NO_HANDLE);
    /* After its delay and an answered probe the failed one is used again. */
    assert_int_equal(CaroRouter_Choose(t, &q, CARO_SECOND, &rng),
                     CARO_NO_HANDLE);
    assert_true(CaroUpstreams_NeedsProbe(t, 0, CARO_SECOND));
    CaroUpstreams_RecordProbe(t, 0);
    assert_int_equal(CaroRouter_Choose(t, &q, CARO_SECOND, &rng), 0);
    CaroUpstreams_Destroy(t);
}

static void
test_resume_goes_to_the_warm_or_least_loaded_upstream(void **state)
{
    (void)state;
    CaroUpstreams *t = create(6);
    uint64_t rng = 1;
    CaroRouterQuery q = query(1);
    q.is_resume = true;
    q.warm = 4;
    assert_int_equal(CaroRouter_Choose(t, &q, 0, &rng), 4);
    CaroUpstreams_RecordFailure(t, 4, 0);
    for (CaroHandle h = 0; h < 6; h++) {
        CaroUpstreams_AddPrefill(t, h, h == 2 ? 100 : 8000);
    }
    assert_int_equal(CaroRouter_Choose(t, &q, 1, &rng), 2);
    CaroUpstreams_Destroy(t);
}

static void
test_suspected_domain_is_avoided(void **state)
{
    (void)state;
    CaroUpstreams *t = create(30);
    uint64_t rng = 1;
    for (CaroHandle h = 0; h < 30; h++) {
        CaroUpstreams_RecordHeard(t, h, 0);
    }
    /* One failure does not make a domain suspected; two failures without any
       token from the domain do. */
    CaroUpstreams_RecordFailure(t, 0, 1);
    assert_false(CaroUpstreams_IsDomainSuspected(t, "d0", 1));
    CaroUpstreams_Suspect(t, 3, 1);
    assert_true(CaroUpstreams_IsDomainSuspected(t, "d0", 1));
    /* A token of another upstream of the domain clears the suspicion. */
    CaroUpstreams_RecordHeard(t, 9, 2);
    assert_false(CaroUpstreams_IsDomainSuspected(t, "d0", 2));
    CaroUpstreams_RecordFailure(t, 6, 3);
    CaroUpstreams_RecordFailure(t, 9, 3);
    CaroUpstreams_RecordFailure(t, 0, 3 * CARO_SECOND);
    CaroUpstreams_RecordFailure(t, 3, 3 * CARO_SECOND);
    assert_false(CaroUpstreams_IsDomainSuspected(t, "d1", 1));
    for (uint64_t i = 0; i < 200; i++) {
        CaroRouterQuery q = query(i);
        CaroHandle h = CaroRouter_Choose(t, &q, 3 * CARO_SECOND + 1, &rng);
        assert_int_not_equal(h % 3, 0);
    }
    CaroUpstreams_Destroy(t);
}

static void
test_subsets_are_fixed_and_cover_all_upstreams(void **state)
{
    (void)state;
    CaroUpstreams *t = create(80);
    int seen[80] = {0};
    uint64_t rng = 1;
    for (int vm = 0; vm < 60; vm++) {
        char name[16];
        int own[80] = {0};
        int distinct = 0;
        (void)snprintf(name, sizeof(name), "n%d", vm);
        for (uint64_t i = 0; i < 300; i++) {
            CaroRouterQuery q = query(i);
            q.vm = name;
            q.subset = 12;
            CaroHandle h = CaroRouter_Choose(t, &q, 0, &rng);
            distinct += own[h]++ == 0;
            seen[h]++;
        }
        assert_true(distinct <= 12);
    }
    for (int i = 0; i < 80; i++) {
        assert_true(seen[i] > 0);
    }
    CaroUpstreams_Destroy(t);
}

static void
test_silence_timeout_follows_the_gaps_of_the_upstream(void **state)
{
    (void)state;
    CaroUpstreams *t = create(2);
    CaroTime floor = 300 * CARO_MS;
    CaroTime ceiling = 1200 * CARO_MS;
    assert_int_equal(CaroUpstreams_SilenceTimeout(t, 0, floor, ceiling),
                     ceiling);
    for (int i = 0; i < 1000; i++) {
        CaroUpstreams_RecordTokenGap(t, 0, 20 * CARO_MS);
        CaroUpstreams_RecordTokenGap(t, 1, 150 * CARO_MS);
    }
    assert_int_equal(CaroUpstreams_SilenceTimeout(t, 0, floor, ceiling),
                     floor);
    CaroTime slow = CaroUpstreams_SilenceTimeout(t, 1, floor, ceiling);
    assert_true(slow > 600 * CARO_MS && slow <= ceiling);
    CaroUpstreams_Destroy(t);
}

static void
test_old_load_reports_lose_weight(void **state)
{
    (void)state;
    CaroUpstreams *t = create(1);
    CaroUpstreams_RecordLoad(t, 0, 16, 0, 32, 0);
    assert_true(CaroUpstreams_Load(t, 0, 0) > 0.49);
    assert_true(CaroUpstreams_Load(t, 0, 2 * CARO_SECOND) < 0.26);
    assert_true(CaroUpstreams_Load(t, 0, 10 * CARO_SECOND) < 0.01);
    CaroUpstreams_Destroy(t);
}

static void
test_new_upstreams_replace_removed_ones(void **state)
{
    (void)state;
    CaroUpstreams *t = CaroUpstreams_Create();
    for (int i = 0; i < 3 * CARO_UPSTREAMS_MAX; i++) {
        CaroUpstream u = {.kind = CARO_UPSTREAM_MODEL};
        (void)snprintf(u.name, sizeof(u.name), "u%d", i);
        CaroUpstreams_BeginUpdate(t);
        assert_int_not_equal(CaroUpstreams_Put(t, &u), CARO_NO_HANDLE);
        CaroUpstreams_EndUpdate(t);
    }
    assert_int_equal(CaroUpstreams_Count(t), CARO_UPSTREAMS_MAX);
    CaroUpstreams_Destroy(t);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_same_prefix_same_upstream),
        cmocka_unit_test(test_loaded_preferred_upstream_is_not_chosen),
        cmocka_unit_test(test_failed_and_leaving_upstreams_get_no_requests),
        cmocka_unit_test(
            test_resume_goes_to_the_warm_or_least_loaded_upstream),
        cmocka_unit_test(test_suspected_domain_is_avoided),
        cmocka_unit_test(test_subsets_are_fixed_and_cover_all_upstreams),
        cmocka_unit_test(
            test_silence_timeout_follows_the_gaps_of_the_upstream),
        cmocka_unit_test(test_new_upstreams_replace_removed_ones),
        cmocka_unit_test(test_old_load_reports_lose_weight),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
