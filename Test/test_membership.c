/* Tests of the membership's rules. */
#include "test.h"

#include "internal/caro_membership.h"

#include <stdio.h>
#include <string.h>

#define PERIOD (400 * CARO_MS)

static CaroVm
vm_named(const char *name)
{
    CaroVm vm;
    memset(&vm, 0, sizeof(vm));
    CARO_COPY(vm.name, name);
    CARO_COPY(vm.domain, "d1");
    CARO_COPY(vm.region, "r1");
    vm.incarnation = 10;
    return vm;
}

static caro_member_update
update(const char *name, uint64_t incarnation, caro_member_state state)
{
    caro_member_update u = {.name = (char *)name,
                            .http = "",
                            .peer = "",
                            .domain = "d2",
                            .region = "r1",
                            .incarnation = incarnation,
                            .state = state};
    return u;
}

static CaroMembership *
create(void)
{
    CaroVm self = vm_named("n1");
    return CaroMembership_Create(&self, PERIOD, 7, 0);
}

static caro_member_state
state_of(const CaroMembership *m, const char *name)
{
    return CaroMembership_Get(m, CaroMembership_Find(m, name))->state;
}

static bool
apply(CaroMembership *m, const char *name, uint64_t incarnation,
      caro_member_state state)
{
    caro_member_update u = update(name, incarnation, state);
    return CaroMembership_Apply(m, &u, 0);
}

static void
test_higher_incarnation_then_worse_state_wins(void **state)
{
    (void)state;
    CaroMembership *m = create();
    assert_true(apply(m, "n2", 5, CARO_MEMBER_ALIVE));
    assert_false(apply(m, "n2", 5, CARO_MEMBER_ALIVE));
    assert_true(apply(m, "n2", 5, CARO_MEMBER_SUSPECT));
    assert_false(apply(m, "n2", 5, CARO_MEMBER_ALIVE));
    assert_false(apply(m, "n2", 4, CARO_MEMBER_DEAD));
    assert_true(apply(m, "n2", 6, CARO_MEMBER_ALIVE));
    assert_true(apply(m, "n2", 6, CARO_MEMBER_DEAD));
    assert_int_equal(state_of(m, "n2"), CARO_MEMBER_DEAD);
    CaroMembership_Destroy(m);
}

static void
test_a_vm_refutes_its_own_death(void **state)
{
    (void)state;
    CaroMembership *m = create();
    assert_true(apply(m, "n1", 10, CARO_MEMBER_DEAD));
    const CaroVm *self = CaroMembership_Get(m, CARO_SELF);
    assert_int_equal(self->state, CARO_MEMBER_ALIVE);
    assert_int_equal(self->incarnation, 11);
    /* A VM whose clock was set back exceeds what is known of it. */
    assert_true(apply(m, "n1", 500, CARO_MEMBER_ALIVE));
    assert_int_equal(self->incarnation, 501);
    CaroMembership_Destroy(m);
}

/* Lets time pass; answers no probe.  Returns the probes to "name". */
static int
run(CaroMembership *m, CaroTime *now, CaroTime duration, const char *name)
{
    int probes = 0;
    CaroTime end = *now + duration;
    while (*now < end) {
        CaroMembershipEvent e;
        *now += 20 * CARO_MS;
        CaroMembership_Tick(m, *now);
        while (CaroMembership_Next(m, &e)) {
            probes += e.kind == CARO_SEND_PROBE &&
                      strcmp(CaroMembership_Get(m, e.vm)->name, name) == 0;
        }
    }
    return probes;
}

static void
test_a_silent_vm_is_suspected_then_dead(void **state)
{
    (void)state;
    CaroMembership *m = create();
    CaroTime now = 0;
    (void)apply(m, "n2", 5, CARO_MEMBER_ALIVE);
    assert_true(run(m, &now, 3 * PERIOD, "n2") > 0);
    assert_int_equal(state_of(m, "n2"), CARO_MEMBER_SUSPECT);
    assert_false(CaroMembership_IsUsable(m, 1));
    (void)run(m, &now, 60 * PERIOD, "n2");
    assert_int_equal(state_of(m, "n2"), CARO_MEMBER_DEAD);
    /* A dead VM is still asked now and then, to find its return. */
    assert_true(run(m, &now, 60 * PERIOD, "n2") > 0);
    CaroMembership_Destroy(m);
}

static void
test_own_pause_blames_nobody(void **state)
{
    (void)state;
    CaroMembership *m = create();
    CaroTime now = 0;
    (void)apply(m, "n2", 5, CARO_MEMBER_ALIVE);
    CaroMembershipEvent e;
    CaroMembership_Tick(m, now);
    (void)run(m, &now, PERIOD, "n2");
    while (CaroMembership_Next(m, &e)) {
        continue;
    }
    caro_member_state before = state_of(m, "n2");
    now += 60 * CARO_SECOND; /* This process was stopped. */
    CaroMembership_Tick(m, now);
    assert_int_equal(state_of(m, "n2"), before);
    CaroMembership_Destroy(m);
}

static void
test_the_backup_is_in_another_domain(void **state)
{
    (void)state;
    CaroMembership *m = create();
    for (int i = 2; i < 8; i++) {
        char name[16];
        (void)snprintf(name, sizeof(name), "n%d", i);
        caro_member_update u = update(name, 5, CARO_MEMBER_ALIVE);
        u.domain = i % 2 == 0 ? "d1" : "d2";
        (void)CaroMembership_Apply(m, &u, 0);
    }
    int used[8] = {0};
    for (uint64_t id = 0; id < 300; id++) {
        CaroHandle h = CaroMembership_ChooseBackup(m, id, 0);
        assert_string_equal(CaroMembership_Get(m, h)->domain, "d2");
        used[h]++;
    }
    /* n3, n5 and n7 share the work. */
    assert_true(used[2] > 50 && used[4] > 50 && used[6] > 50);
    CaroMembership_Distrust(m, 2, CARO_SECOND);
    for (uint64_t id = 0; id < 100; id++) {
        assert_int_not_equal(CaroMembership_ChooseBackup(m, id, 0), 2);
    }
    CaroMembership_Destroy(m);
}

static void
test_gossip_tells_itself_and_the_accused(void **state)
{
    (void)state;
    CaroMembership *m = create();
    caro_member_update out[CARO_UPDATES_MAX];
    (void)apply(m, "n2", 5, CARO_MEMBER_DEAD);
    int n = CaroMembership_CollectGossip(m, 1, out);
    assert_true(n >= 2);
    assert_string_equal(out[0].name, "n1");
    assert_string_equal(out[1].name, "n2");
    assert_int_equal(out[1].state, CARO_MEMBER_DEAD);
    CaroMembership_Destroy(m);
}

/* VMs are replaced under new names for ever; the table must not fill up. */
static void
test_new_names_displace_the_longest_dead(void **state)
{
    (void)state;
    CaroMembership *m = create();
    char name[16];
    for (int i = 0; i < 3 * CARO_VMS_MAX; i++) {
        (void)snprintf(name, sizeof(name), "vm%d", i);
        caro_member_update u = update(name, 5, CARO_MEMBER_ALIVE);
        assert_true(CaroMembership_Apply(m, &u, i));
        u.state = CARO_MEMBER_DEAD;
        assert_true(CaroMembership_Apply(m, &u, i));
    }
    assert_int_equal(CaroMembership_Count(m), CARO_VMS_MAX);
    assert_int_not_equal(CaroMembership_Find(m, name), CARO_NO_HANDLE);
    assert_int_equal(CaroMembership_Find(m, "vm0"), CARO_NO_HANDLE);
    CaroMembership_Destroy(m);
}

static bool
tells_of(CaroMembership *m, const char *name, caro_member_state state)
{
    caro_member_update updates[CARO_UPDATES_MAX];
    int n = CaroMembership_CollectGossip(m, CARO_NO_HANDLE, updates);
    for (int i = 0; i < n; i++) {
        if (strcmp(updates[i].name, name) == 0 && updates[i].state == state) {
            return true;
        }
    }
    return false;
}

/* News that breaks is told to many within milliseconds.  A VM that none of
   these messages reached asks somebody within a period, and has to find
   that it is still told; otherwise it lists the lost VM until its death. */
static void
test_news_outlasts_its_first_moment(void **state)
{
    (void)state;
    enum { FLEET = 13, FIRST_MOMENT = 40 };
    CaroMembership *m = create();
    char name[16];
    for (int i = 2; i <= FLEET; i++) {
        (void)snprintf(name, sizeof(name), "n%d", i);
        assert_true(apply(m, name, 1, CARO_MEMBER_ALIVE));
    }
    assert_true(apply(m, "n5", 1, CARO_MEMBER_SUSPECT));
    for (int i = 0; i < FIRST_MOMENT; i++) {
        (void)tells_of(m, "n5", CARO_MEMBER_SUSPECT);
    }
    CaroMembership_Tick(m, 2 * PERIOD);
    assert_true(tells_of(m, "n5", CARO_MEMBER_SUSPECT));
    /* In the end all have been told. */
    CaroMembership_Tick(m, 7 * PERIOD);
    for (int i = 0; i < FIRST_MOMENT; i++) {
        (void)tells_of(m, "n5", CARO_MEMBER_SUSPECT);
    }
    assert_false(tells_of(m, "n5", CARO_MEMBER_SUSPECT));
    CaroMembership_Destroy(m);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_higher_incarnation_then_worse_state_wins),
        cmocka_unit_test(test_a_vm_refutes_its_own_death),
        cmocka_unit_test(test_a_silent_vm_is_suspected_then_dead),
        cmocka_unit_test(test_news_outlasts_its_first_moment),
        cmocka_unit_test(test_own_pause_blames_nobody),
        cmocka_unit_test(test_the_backup_is_in_another_domain),
        cmocka_unit_test(test_new_names_displace_the_longest_dead),
        cmocka_unit_test(test_gossip_tells_itself_and_the_accused),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
