/*
 * Tests of notices of upstreams that leave: they reach all VMs by datagrams of
 * which some are lost, and outlast what a VM reads late.
 */
#include "test.h"

#include "internal/caro_store_notices.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define S CARO_SECOND
#define MS CARO_MS
#define STEP (20 * MS)
#define TRANSIT (60 * MS)

enum { VMS_MAX = 295, MESSAGES_MAX = 20000 };

typedef struct {
    CaroTime due_at;
    int to;
    u_int n;
    caro_store_notice notices[8];
} Message;

typedef struct {
    int n_vms;
    CaroTargets *targets[VMS_MAX];
    CaroStoreNotices *vms[VMS_MAX];
    Message messages[MESSAGES_MAX];
    int n_messages;
    CaroTime now;
    gsl_rng *rng;
} Fleet;

static CaroHandle
put_target(CaroTargets *t, bool is_leaving, CaroTime now)
{
    CaroTargetEntry e = {
        .slots = 4, .started_at_ms = 5, .is_leaving = is_leaving};
    CARO_COPY(e.id, "t1");
    CARO_COPY(e.address, "10.0.0.1:1");
    CARO_COPY(e.domain, "d");
    CARO_COPY(e.service, "s");
    CARO_COPY(e.version, "v1");
    return CaroTargets_Put(t, &e, now);
}

static Fleet *
create_fleet(int n_vms, unsigned long seed)
{
    Fleet *f = calloc(1, sizeof(*f));
    f->n_vms = n_vms;
    f->now = 1000 * S;
    f->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(f->rng, seed);
    for (int i = 0; i < n_vms; i++) {
        f->targets[i] = CaroTargets_Create();
        f->vms[i] = CaroStoreNotices_Create(f->targets[i]);
        (void)put_target(f->targets[i], false, f->now);
    }
    return f;
}

static void
destroy_fleet(Fleet *f)
{
    for (int i = 0; i < f->n_vms; i++) {
        CaroStoreNotices_Destroy(f->vms[i]);
        CaroTargets_Destroy(f->targets[i]);
    }
    gsl_rng_free(f->rng);
    free(f);
}

static uint32_t
start_hash(const Fleet *f)
{
    return CaroTargets_GetConst(f->targets[0], 0)->start_hash;
}

static void
deliver(Fleet *f)
{
    CaroHandle left[CARO_STORE_NOTICES_MAX];
    for (int i = f->n_messages - 1; i >= 0; i--) {
        Message m = f->messages[i];
        if (m.due_at <= f->now) {
            caro_store_notices in = {
                .notices = {.notices_len = m.n, .notices_val = m.notices}};
            f->messages[i] = f->messages[--f->n_messages];
            (void)CaroStoreNotices_Apply(f->vms[m.to], &in, left, f->now);
        }
    }
}

static void
step(Fleet *f)
{
    CaroStoreNoticesMessage out;
    f->now += STEP;
    deliver(f);
    for (int i = 0; i < f->n_vms; i++) {
        int fanout = CaroStoreNotices_Collect(f->vms[i], &out, f->now);
        for (int k = 0; k < fanout; k++) {
            if (gsl_rng_uniform(f->rng) < 0.1) {
                continue;
            }
            assert_true(f->n_messages < MESSAGES_MAX);
            Message *m = &f->messages[f->n_messages++];
            m->due_at = f->now + TRANSIT;
            m->to = (int)gsl_rng_uniform_int(f->rng, (unsigned long)f->n_vms);
            m->n = out.message.notices.notices_len;
            assert_true(m->n <= 8);
            memcpy(m->notices, out.notices, m->n * sizeof(m->notices[0]));
        }
    }
}

static int
count_open(const Fleet *f)
{
    int n = 0;
    for (int i = 0; i < f->n_vms; i++) {
        n += CaroTarget_IsOpen(CaroTargets_GetConst(f->targets[i], 0), f->now);
    }
    return n;
}

/* Guards against a VM that uses an upstream which leaves, because what it
   reads in the store is seconds late. */
static void
test_one_vm_that_reads_it_tells_all(void **state)
{
    (void)state;
    static const int sizes[] = {13, 106, 295};
    for (int i = 0; i < 3; i++) {
        for (unsigned long seed = 1; seed <= 10; seed++) {
            Fleet *f = create_fleet(sizes[i], seed);
            (void)put_target(f->targets[0], true, f->now);
            CaroStoreNotices_Record(f->vms[0], start_hash(f), false, f->now);
            for (CaroTime end = f->now + S; f->now < end;) {
                step(f);
            }
            assert_int_equal(count_open(f), 0);
            destroy_fleet(f);
        }
    }
}

/* Guards against an older entry that is read after the notice. */
static void
test_late_entry_does_not_undo_a_notice(void **state)
{
    (void)state;
    Fleet *f = create_fleet(2, 1);
    CaroStoreNotices_Record(f->vms[0], start_hash(f), false, f->now);
    for (int i = 0; i < 20; i++) {
        step(f);
    }
    (void)put_target(f->targets[1], false, f->now);
    assert_false(
        CaroTarget_IsOpen(CaroTargets_GetConst(f->targets[1], 0), f->now));
    destroy_fleet(f);
}

/* Guards against an upstream that is left out for good because its
   registration was deleted and has come back. */
static void
test_upstream_that_was_gone_is_open_again(void **state)
{
    (void)state;
    Fleet *f = create_fleet(2, 1);
    CaroStoreNotices_Record(f->vms[0], start_hash(f), true, f->now);
    CaroTime at = f->now;
    for (int i = 0; i < 20; i++) {
        step(f);
    }
    const CaroTarget *t = CaroTargets_GetConst(f->targets[1], 0);
    assert_false(CaroTarget_IsOpen(t, f->now));
    assert_true(CaroTarget_IsOpen(t, at + CARO_STORE_NOTICE_TTL + TRANSIT));
    destroy_fleet(f);
}

/* Guards against notices that go round without end. */
static void
test_notices_end(void **state)
{
    (void)state;
    Fleet *f = create_fleet(13, 1);
    CaroStoreNotices_Record(f->vms[0], start_hash(f), false, f->now);
    for (CaroTime end = f->now + 2 * S; f->now < end;) {
        step(f);
    }
    assert_int_equal(f->n_messages, 0);
    destroy_fleet(f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_one_vm_that_reads_it_tells_all),
        cmocka_unit_test(test_late_entry_does_not_undo_a_notice),
        cmocka_unit_test(test_upstream_that_was_gone_is_open_again),
        cmocka_unit_test(test_notices_end),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
