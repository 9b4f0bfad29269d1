/*
 * Tests of what a VM does without links to the upstreams, on virtual time:
 * when it notices, through which VM it goes, and when it goes directly again.
 */
#include "test.h"

#include "internal/caro_upstream_links.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS CARO_MS
#define S CARO_SECOND
#define CONNECT_TIMEOUT (300 * MS)

enum { VMS_MAX = 295, DOMAINS = 3 };

static CaroMembership *
make_members(int self, int n)
{
    CaroVm vm = {.incarnation = 1, .state = CARO_MEMBER_ALIVE};
    (void)snprintf(vm.name, sizeof(vm.name), "vm-%d", self);
    (void)snprintf(vm.domain, sizeof(vm.domain), "d%d", self % DOMAINS);
    CaroMembership *m = CaroMembership_Create(&vm, S, 1, S);
    for (int i = 0; i < n; i++) {
        char name[CARO_NAME_SIZE];
        char domain[CARO_NAME_SIZE];
        caro_member_update u = {.name = name,
                                .http = "10.0.0.1:1",
                                .peer = "10.0.0.1:2",
                                .domain = domain,
                                .region = "r",
                                .incarnation = 1,
                                .boot_id = (uint64_t)i + 1};
        (void)snprintf(name, sizeof(name), "vm-%d", i);
        (void)snprintf(domain, sizeof(domain), "d%d", i % DOMAINS);
        if (i != self) {
            (void)CaroMembership_Apply(m, &u, S);
        }
    }
    return m;
}

static gsl_rng *
make_rng(unsigned long seed)
{
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(rng, seed);
    return rng;
}

static void
cut(CaroUpstreamLinks *l, CaroTime now)
{
    for (CaroHandle h = 0; h < 3; h++) {
        (void)CaroUpstreamLinks_RecordDirect(l, h, false, now);
    }
    assert_int_equal(CaroUpstreamLinks_State(l), CARO_LINKS_DIRECT);
    assert_true(CaroUpstreamLinks_IsProbeDue(l, false, now, now));
    CaroUpstreamLinks_BeginProbes(l, 2);
    assert_false(CaroUpstreamLinks_RecordProbe(l, 8, false, now));
    assert_true(CaroUpstreamLinks_RecordProbe(l, 9, false, now));
    assert_int_equal(CaroUpstreamLinks_State(l), CARO_LINKS_TUNNELED);
}

/* Guards against a detour because of one upstream that is down. */
static void
test_upstream_that_is_down_changes_nothing(void **state)
{
    (void)state;
    gsl_rng *rng = make_rng(1);
    CaroUpstreamLinks *l = CaroUpstreamLinks_Create(rng);
    for (int i = 0; i < 20; i++) {
        assert_false(CaroUpstreamLinks_RecordDirect(l, 7, false, S));
    }
    assert_true(CaroUpstreamLinks_IsProbeDue(l, false, S, S));
    CaroUpstreamLinks_BeginProbes(l, 1);
    assert_false(CaroUpstreamLinks_RecordProbe(l, 7, false, S));
    assert_false(CaroUpstreamLinks_RecordDirect(l, 8, false, S));
    assert_false(CaroUpstreamLinks_RecordDirect(l, 9, true, S));
    assert_false(CaroUpstreamLinks_RecordDirect(l, 10, false, S));
    assert_int_equal(CaroUpstreamLinks_State(l), CARO_LINKS_DIRECT);
    CaroUpstreamLinks_Destroy(l);
    gsl_rng_free(rng);
}

/* Guards against a detour, or refusals, because one service is down. */
static void
test_service_that_is_down_changes_nothing(void **state)
{
    (void)state;
    gsl_rng *rng = make_rng(1);
    CaroUpstreamLinks *l = CaroUpstreamLinks_Create(rng);
    for (CaroTime now = S; now < 9 * S; now += 100 * MS) {
        (void)CaroUpstreamLinks_RecordDirect(l, (CaroHandle)(now / S), false,
                                             now);
        if (CaroUpstreamLinks_IsProbeDue(l, true, now, now)) {
            CaroUpstreamLinks_BeginProbes(l, 2);
            (void)CaroUpstreamLinks_RecordProbe(l, 20, false, now);
            (void)CaroUpstreamLinks_RecordProbe(l, 21, true, now);
        }
        assert_int_equal(CaroUpstreamLinks_State(l), CARO_LINKS_DIRECT);
    }
    CaroUpstreamLinks_Destroy(l);
    gsl_rng_free(rng);
}

static void
test_links_are_used_again_after_two_connections(void **state)
{
    (void)state;
    gsl_rng *rng = make_rng(1);
    CaroUpstreamLinks *l = CaroUpstreamLinks_Create(rng);
    cut(l, S);
    assert_false(CaroUpstreamLinks_RecordDirect(l, 4, true, S));
    assert_false(CaroUpstreamLinks_RecordDirect(l, 5, false, S));
    assert_false(CaroUpstreamLinks_RecordDirect(l, 4, true, S));
    assert_true(CaroUpstreamLinks_RecordDirect(l, 6, true, S));
    assert_int_equal(CaroUpstreamLinks_State(l), CARO_LINKS_DIRECT);
    CaroUpstreamLinks_Destroy(l);
    gsl_rng_free(rng);
}

/* Guards against a VM whose requests all wait on dead channels, so that none
   of them tries a connection. */
static void
test_silence_is_tried_while_requests_wait(void **state)
{
    (void)state;
    gsl_rng *rng = make_rng(1);
    CaroUpstreamLinks *l = CaroUpstreamLinks_Create(rng);
    assert_false(CaroUpstreamLinks_IsProbeDue(l, false, S, 9 * S));
    assert_false(CaroUpstreamLinks_IsProbeDue(l, true, S, S + 700 * MS));
    int n = 0;
    for (CaroTime now = S; now < 2 * S; now += 20 * MS) {
        n += CaroUpstreamLinks_IsProbeDue(l, true, S, now);
    }
    assert_int_equal(n, 1);
    cut(l, 3 * S);
    for (CaroTime now = 3 * S; now < 5 * S; now += 20 * MS) {
        n += CaroUpstreamLinks_IsProbeDue(l, false, now, now);
    }
    assert_in_range(n, 7, 9);
    CaroUpstreamLinks_Destroy(l);
    gsl_rng_free(rng);
}

static void
test_gate_is_believed_after_a_connection(void **state)
{
    (void)state;
    gsl_rng *rng = make_rng(1);
    CaroMembership *m = make_members(0, 6);
    CaroUpstreamLinks *l = CaroUpstreamLinks_Create(rng);
    cut(l, S);
    CaroHandle vm = CaroUpstreamLinks_ChooseGate(l, m, S);
    assert_true(vm > 0);
    assert_false(CaroUpstreamLinks_IsCredible(l, vm));
    (void)CaroUpstreamLinks_RecordGate(l, vm, CARO_GATE_CONNECTED, S);
    assert_true(CaroUpstreamLinks_IsCredible(l, vm));
    (void)CaroUpstreamLinks_RecordGate(l, vm, CARO_GATE_FAILED, S);
    assert_false(CaroUpstreamLinks_IsCredible(l, vm));
    (void)CaroUpstreamLinks_RecordGate(l, vm, CARO_GATE_FAILED, S);
    for (int i = 0; i < 20; i++) {
        assert_int_not_equal(CaroUpstreamLinks_ChooseGate(l, m, S), vm);
    }
    CaroUpstreamLinks_Destroy(l);
    CaroMembership_Destroy(m);
    gsl_rng_free(rng);
}

/* Guards against requests that wait for a way although none is left. */
static void
test_without_any_gate_there_is_no_way_until_one_is_due(void **state)
{
    (void)state;
    gsl_rng *rng = make_rng(1);
    CaroMembership *m = make_members(0, 6);
    CaroUpstreamLinks *l = CaroUpstreamLinks_Create(rng);
    CaroHandle vm;
    cut(l, S);
    while ((vm = CaroUpstreamLinks_ChooseGate(l, m, S)) != CARO_NO_HANDLE) {
        (void)CaroUpstreamLinks_RecordGate(l, vm, CARO_GATE_UNABLE, S);
    }
    assert_int_equal(CaroUpstreamLinks_State(l), CARO_LINKS_NONE);
    assert_int_equal(CaroUpstreamLinks_ChooseGate(l, m, S + 100 * MS),
                     CARO_NO_HANDLE);
    vm = CaroUpstreamLinks_ChooseGate(l, m, 4 * S);
    assert_true(vm > 0);
    assert_int_equal(CaroUpstreamLinks_ChooseGate(l, m, 4 * S),
                     CARO_NO_HANDLE);
    assert_true(
        CaroUpstreamLinks_RecordGate(l, vm, CARO_GATE_CONNECTED, 4 * S));
    assert_int_equal(CaroUpstreamLinks_State(l), CARO_LINKS_TUNNELED);
    CaroUpstreamLinks_Destroy(l);
    CaroMembership_Destroy(m);
    gsl_rng_free(rng);
}

typedef struct {
    CaroUpstreamLinks *links;
    CaroMembership *members;
    bool is_cut;
    CaroTime next_request;
    CaroTime heard_at;
} SimVm;

typedef struct {
    int served; /* Requests that began 3 s after the cut, or later. */
    int failed;
    int detours; /* Channels through a gate of VMs that were not cut off. */
} SimResult;

/* Plays one request: attempts at upstreams chosen at random until one is
   reached or 1.5 s have passed.  The outcomes are known at once, with their
   time added to that of the request. */
static bool
play_request(SimVm *vms, SimVm *vm, gsl_rng *rng, bool is_silent, CaroTime now,
             SimResult *result)
{
    for (CaroTime at = now; at < now + 1500 * MS;) {
        CaroHandle upstream = (CaroHandle)gsl_rng_uniform_int(rng, 40);
        if (CaroUpstreamLinks_State(vm->links) == CARO_LINKS_DIRECT) {
            (void)CaroUpstreamLinks_RecordDirect(vm->links, upstream,
                                                 !vm->is_cut, at);
            if (!vm->is_cut) {
                return true;
            }
            at += is_silent ? CONNECT_TIMEOUT : MS;
            continue;
        }
        result->detours += !vm->is_cut;
        CaroHandle gate =
            CaroUpstreamLinks_ChooseGate(vm->links, vm->members, at);
        if (gate == CARO_NO_HANDLE) {
            return false;
        }
        const CaroVm *member = CaroMembership_Get(vm->members, gate);
        SimVm *at_gate = &vms[atoi(member->name + 3)];
        bool is_able =
            CaroUpstreamLinks_State(at_gate->links) == CARO_LINKS_DIRECT;
        bool is_connected = is_able && !at_gate->is_cut;
        if (is_able) {
            (void)CaroUpstreamLinks_RecordDirect(at_gate->links, upstream,
                                                 is_connected, at);
        }
        (void)CaroUpstreamLinks_RecordGate(vm->links, gate,
                                           is_connected ? CARO_GATE_CONNECTED
                                           : is_able    ? CARO_GATE_FAILED
                                                        : CARO_GATE_UNABLE,
                                           at);
        if (is_connected) {
            return true;
        }
        at += is_able && is_silent ? CONNECT_TIMEOUT : 2 * MS;
    }
    return false;
}

static SimResult
play_cut(int n, double share, bool is_domain, bool is_silent,
         unsigned long seed)
{
    static SimVm vms[VMS_MAX];
    gsl_rng *rng = make_rng(seed);
    SimResult result = {0, 0, 0};
    for (int i = 0; i < n; i++) {
        vms[i] = (SimVm){.links = CaroUpstreamLinks_Create(rng),
                         .members = make_members(i, n),
                         .next_request = S + 10 * i * MS};
        vms[i].is_cut =
            is_domain ? i % DOMAINS == 0 : gsl_rng_uniform(rng) < share;
    }
    vms[1].is_cut = false; /* Without any gate none could be served. */
    for (CaroTime now = S; now < 9 * S; now += 10 * MS) {
        for (int i = 0; i < n; i++) {
            SimVm *vm = &vms[i];
            if (CaroUpstreamLinks_IsProbeDue(vm->links, true, S, now)) {
                CaroUpstreamLinks_BeginProbes(vm->links, 2);
                for (int probe = 0; probe < 2; probe++) {
                    (void)CaroUpstreamLinks_RecordProbe(
                        vm->links, (CaroHandle)gsl_rng_uniform_int(rng, 40),
                        !vm->is_cut, now);
                }
            }
            if (now < vm->next_request) {
                continue;
            }
            vm->next_request =
                now + (CaroTime)(gsl_rng_uniform(rng) * 400.0) * MS;
            bool is_served =
                play_request(vms, vm, rng, is_silent, now, &result);
            if (vm->is_cut && now >= 4 * S) {
                result.served += is_served;
                result.failed += !is_served;
            }
        }
    }
    for (int i = 0; i < n; i++) {
        CaroUpstreamLinks_Destroy(vms[i].links);
        CaroMembership_Destroy(vms[i].members);
    }
    gsl_rng_free(rng);
    return result;
}

/* Guards against callers that are served worse because their VM has lost its
   links; they count from 3 s after the cut on. */
static void
test_requests_of_vms_that_are_cut_off_are_served(void **state)
{
    (void)state;
    static const int sizes[] = {13, 78, VMS_MAX};
    for (int i = 0; i < 3; i++) {
        for (unsigned long seed = 1; seed <= 4; seed++) {
            for (int kind = 0; kind < 6; kind++) {
                static const double shares[] = {0.15, 0.6, 0.9};
                SimResult r =
                    play_cut(sizes[i], shares[kind / 2], kind >= 4 && seed > 2,
                             kind % 2 == 0, seed);
                if (r.served + r.failed == 0) {
                    continue; /* None was cut off. */
                }
                if (r.failed > 0) {
                    print_message("vms=%d kind=%d seed=%lu served=%d "
                                  "failed=%d\n",
                                  sizes[i], kind, seed, r.served, r.failed);
                }
                assert_true(r.failed <= 10 + (r.served + r.failed) / 50);
                assert_int_equal(r.detours, 0);
            }
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_upstream_that_is_down_changes_nothing),
        cmocka_unit_test(test_service_that_is_down_changes_nothing),
        cmocka_unit_test(test_links_are_used_again_after_two_connections),
        cmocka_unit_test(test_silence_is_tried_while_requests_wait),
        cmocka_unit_test(test_gate_is_believed_after_a_connection),
        cmocka_unit_test(
            test_without_any_gate_there_is_no_way_until_one_is_due),
        cmocka_unit_test(test_requests_of_vms_that_are_cut_off_are_served),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
