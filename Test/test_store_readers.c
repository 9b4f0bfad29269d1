/*
 * Tests of the VMs that read the store for the others, on virtual time: the
 * calls to the store, and how late the slowest VM knows a change, while
 * readers are killed, frozen, cut off, refused or behind.
 */
#include "test.h"

#include "internal/caro_membership.h"
#include "internal/caro_rpc_message.h"
#include "internal/caro_store_log.h"
#include "internal/caro_store_readers.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS CARO_MS
#define S CARO_SECOND
#define STEP (10 * MS)
#define ROUND_TRIP (10 * MS)
#define STORE_TIMEOUT (1 * S)
#define WATCH_WAIT (3 * S)
#define WATCH_TIMEOUT (3700 * MS)
#define RENEW_INTERVAL (20 * S)
/* The membership omits a VM that does not answer after this time. */
#define OMIT_DELAY (3 * S)
#define FAULT_AT (30 * S)
#define FAULT_END (50 * S)
#define END (60 * S)
/* The bounds of the page; an age beyond 4.5 s stops the serving of keys. */
#define CHANGE_MAX (3 * S)
#define FRESHNESS_MAX (4500 * MS)

enum { VMS_MAX = 300, DOMAINS = 3, CHANGES_MAX = 400 };

typedef enum {
    FAULT_NONE,
    FAULT_KILLED,
    FAULT_FROZEN,      /* For 8 s. */
    FAULT_STORE_CUT,   /* Calls to the store time out. */
    FAULT_PEERS_CUT,   /* No message passes. */
    FAULT_REPLIES_CUT, /* Only those to the VM pass. */
    FAULT_REFUSED,     /* The store answers with an error. */
    FAULT_WATCH_DEAD,  /* Watches are never answered, reads are. */
    FAULT_WATCH_LOST,  /* The watch in progress is not; later ones are. */
    FAULTS
} Fault;

typedef enum { OF_ONE_READER, OF_DOMAIN, OF_ALL_READERS, OF_PAIRS } Extent;

typedef struct {
    CaroStoreReaders s;
    CaroStoreLog *log;
    int domain;
    Fault fault; /* In force; FAULT_NONE otherwise. */
    CaroTime restarted_at;
    bool is_cut_from_readers;
    bool is_watching;
    bool is_watch_dead;
    int64_t watched;
    CaroTime watch_at;    /* Start of the watch in progress, or of the next. */
    CaroTime replaced_at; /* Start of a watch that was replaced; 0 for none. */
    bool is_reading;
    CaroTime read_at;
    CaroTime answered_at;
    CaroTime confirmed_at;
    CaroHandle called;
    CaroTime called_at;
    CaroTime list_at; /* 0 while none is needed. */
    CaroTime renew_at;
    int64_t known; /* Changes whose delay was recorded. */
    int calls;
    int calls_in_fault; /* Those from its start to its end. */
} Vm;

typedef struct {
    Vm vms[VMS_MAX];
    int n;
    bool is_large; /* False: all VMs read the store, as before. */
    CaroStoreItem changes[CHANGES_MAX]; /* The revision is the index + 1. */
    CaroTime changed_at[CHANGES_MAX];
    int n_changes;
    gsl_rng *rng;
    double loss;
    CaroTime round_trip; /* Of a call to the store. */
    CaroTime now;
    CaroTime slowest;
    CaroTime oldest_confirmation;
} Fleet;

static Fleet fleet;

static int64_t
store_revision(const Fleet *f, CaroTime at)
{
    int64_t n = 0;
    while (n < f->n_changes && f->changed_at[n] <= at) {
        n++;
    }
    return n;
}

static bool
is_running(const Vm *vm)
{
    return vm->fault != FAULT_KILLED && vm->fault != FAULT_FROZEN;
}

static bool
is_omitted(const Fleet *f, const Vm *vm)
{
    return (!is_running(vm) || vm->fault == FAULT_PEERS_CUT ||
            vm->fault == FAULT_REPLIES_CUT) &&
           f->now >= FAULT_AT + OMIT_DELAY;
}

static bool
is_lost(Fleet *f)
{
    return gsl_rng_uniform(f->rng) < f->loss;
}

static bool
is_cut(const Fleet *f, const Vm *from, const Vm *to)
{
    (void)f;
    return !is_running(to) || from->fault == FAULT_PEERS_CUT ||
           to->fault == FAULT_PEERS_CUT || to->fault == FAULT_REPLIES_CUT ||
           from->fault == FAULT_REPLIES_CUT || from->is_cut_from_readers;
}

/* The first two VMs of the domain that the membership lists. */
static CaroStoreReadersView
make_view(const Fleet *f, const Vm *self)
{
    CaroStoreReadersView view = {.is_ready = f->is_large, .n_vms = f->n};
    int n = 0;
    for (int i = 0; i < CARO_STORE_READERS; i++) {
        view.readers[i] = CARO_NO_HANDLE;
    }
    for (int i = self->domain; i < f->n && n < CARO_STORE_READERS;
         i += DOMAINS) {
        if (!is_omitted(f, &f->vms[i]) || &f->vms[i] == self) {
            view.is_reader |= &f->vms[i] == self;
            view.readers[n++] = i;
        }
    }
    return view;
}

static void
step_watch(Fleet *f, Vm *vm)
{
    bool is_failing =
        vm->fault == FAULT_STORE_CUT || vm->fault == FAULT_REFUSED;
    if (!vm->is_watching) {
        if (CaroStoreRole_ReadsStore(vm->s.role) && f->now >= vm->watch_at) {
            vm->is_watching = true;
            vm->is_watch_dead = vm->fault == FAULT_WATCH_DEAD || is_failing;
            vm->watched = CaroStoreLog_Revision(vm->log);
            vm->watch_at = f->now;
            vm->calls++;
        }
        return;
    }
    if (!CaroStoreRole_ReadsStore(vm->s.role)) {
        vm->is_watching = false;
        vm->watch_at = f->now;
        return;
    }
    CaroTime open = f->now - vm->watch_at;
    int64_t revision = store_revision(f, f->now);
    if (vm->is_watch_dead || is_failing) {
        vm->is_watch_dead = true; /* Its connection is not used again. */
        if (open >= WATCH_TIMEOUT ||
            (vm->fault == FAULT_REFUSED && open >= ROUND_TRIP)) {
            vm->is_watching = false;
            vm->watch_at = f->now + 800 * MS;
        }
    }
    else if (open >= f->round_trip && revision > vm->watched) {
        CaroStoreLog_Append(vm->log, &f->changes[vm->watched],
                            (int)(revision - vm->watched), revision);
        vm->is_watching = false;
        vm->watch_at = f->now + CaroStoreRole_WatchDelay(vm->s.role);
    }
    else if (open >= WATCH_WAIT) {
        vm->is_watching = false;
        vm->watch_at = f->now;
    }
}

/* The answer to a watch that was replaced is used if it comes first. */
static void
step_replaced_watch(Fleet *f, Vm *vm)
{
    int64_t revision = store_revision(f, f->now);
    if (vm->replaced_at != 0 && f->now - vm->replaced_at >= f->round_trip &&
        revision > vm->watched) {
        vm->replaced_at = 0;
        if (CaroStoreLog_Revision(vm->log) == vm->watched) {
            CaroStoreLog_Append(vm->log, &f->changes[vm->watched],
                                (int)(revision - vm->watched), revision);
        }
    }
}

/* As the registry does: a reader ends the pause of a watch that is behind, and
   a watch that does not deliver is replaced after 500 ms. */
static void
check_watch(Fleet *f, Vm *vm)
{
    CaroTime behind_since = CaroStoreLog_BehindSince(vm->log);
    if (behind_since == 0) {
        return;
    }
    if (vm->is_watching && f->now - vm->watch_at > 500 * MS &&
        f->now - behind_since > 500 * MS) {
        if (!vm->is_watch_dead && vm->replaced_at == 0) {
            vm->replaced_at = vm->watch_at;
        }
        vm->is_watching = false;
        vm->watch_at = f->now;
    }
    else if (!vm->is_watching && vm->s.role == CARO_STORE_READER &&
             vm->fault != FAULT_REFUSED) {
        vm->watch_at = f->now;
    }
}

static void
step_read(Fleet *f, Vm *vm)
{
    if (!vm->is_reading) {
        if (CaroStoreRole_ReadsStore(vm->s.role) && f->now >= vm->read_at) {
            vm->is_reading = true;
            vm->read_at = f->now;
            vm->calls++;
        }
        return;
    }
    CaroTime open = f->now - vm->read_at;
    if (vm->fault == FAULT_STORE_CUT || vm->fault == FAULT_REFUSED) {
        if (open >= STORE_TIMEOUT ||
            (vm->fault == FAULT_REFUSED && open >= ROUND_TRIP)) {
            vm->is_reading = false;
            vm->read_at = f->now + 800 * MS;
        }
        return;
    }
    if (open >= f->round_trip) {
        vm->is_reading = false;
        vm->answered_at = vm->read_at;
        vm->confirmed_at = vm->read_at;
        if (vm->s.role != CARO_STORE_DIRECT) {
            CaroStoreLog_RecordRead(vm->log, store_revision(f, vm->read_at),
                                    vm->read_at);
        }
        vm->read_at = f->now + CaroStoreRole_ConfigDelay(vm->s.role, open);
    }
}

static void
step_list(Fleet *f, Vm *vm)
{
    if (vm->list_at != 0 && f->now >= vm->list_at) {
        vm->list_at = 0;
        vm->calls++;
        CaroStoreLog_Reset(vm->log, store_revision(f, f->now));
        CaroStoreLog_RecordComplete(vm->log, f->now);
    }
}

static CaroTime
age_of(CaroTime at, CaroTime now)
{
    return at == 0 ? -1 : now - at;
}

/* Applies a reader's reply as the registry does. */
static void
apply_reply(Fleet *f, Vm *vm, const Vm *reader)
{
    caro_store_change changes[CARO_CHANGES_MAX];
    caro_store_changes reply;
    int64_t asked = CaroStoreLog_Revision(vm->log);
    bool is_recent;
    CaroStoreLog_Collect(reader->log, asked, changes, &reply);
    if ((int64_t)reply.revision < asked) {
        CaroStoreReaders_OnFailure(&vm->s, vm->called, f->now);
        return;
    }
    CaroStoreReaderReply r = {
        .sent_at = vm->called_at,
        .answer_age = age_of(reader->answered_at, f->now),
        .log_age = age_of(CaroStoreLog_CompleteAt(reader->log), f->now),
        .is_complete = reply.reaches_back,
        .has_more = reply.has_more};
    if (reply.reaches_back) {
        assert_true((int64_t)reply.revision <= f->n_changes);
        CaroStoreLog_Append(vm->log, &f->changes[asked],
                            (int)reply.changes.changes_len,
                            (int64_t)reply.revision);
        if (!reply.has_more && r.log_age >= 0) {
            CaroStoreLog_RecordComplete(vm->log, vm->called_at - r.log_age);
        }
    }
    else if (vm->list_at == 0 && vm->s.role == CARO_STORE_FOLLOWER) {
        vm->list_at =
            f->now + (CaroTime)(gsl_rng_uniform(f->rng) * 0.5 * (double)S);
    }
    CaroTime confirmed_at =
        vm->called_at - age_of(reader->confirmed_at, f->now);
    if (reader->confirmed_at != 0 && confirmed_at > vm->confirmed_at) {
        vm->confirmed_at = confirmed_at;
    }
    CaroStoreReaders_OnReply(&vm->s, vm->called, &r, &is_recent, f->now);
}

static void
step_call(Fleet *f, Vm *vm)
{
    if (vm->called == CARO_NO_HANDLE) {
        vm->called = CaroStoreReaders_NextCall(&vm->s, f->now);
        vm->called_at = f->now;
        return;
    }
    const Vm *reader = &f->vms[vm->called];
    CaroTime open = f->now - vm->called_at;
    if (open == ROUND_TRIP && !is_cut(f, vm, reader) && !is_lost(f) &&
        CaroStoreRole_ReadsStore(reader->s.role)) {
        apply_reply(f, vm, reader);
        vm->called = CARO_NO_HANDLE;
    }
    else if (open >= CARO_STORE_READER_TIMEOUT) {
        CaroStoreReaders_OnFailure(&vm->s, vm->called, f->now);
        vm->called = CARO_NO_HANDLE;
    }
}

/* Records how late changes arrived, and checks that nothing claims to be more
   recent than it is. */
static void
check(Fleet *f, Vm *vm)
{
    int64_t revision = CaroStoreLog_Revision(vm->log);
    assert_true(revision >= vm->known); /* It never goes back. */
    assert_true(store_revision(f, CaroStoreLog_CompleteAt(vm->log)) <=
                revision);
    /* A VM that reaches neither the store nor a reader is no subject. */
    bool is_subject = vm->fault == FAULT_NONE ||
                      vm->fault == FAULT_PEERS_CUT ||
                      vm->fault == FAULT_REPLIES_CUT;
    for (; vm->known < revision; vm->known++) {
        CaroTime from = f->changed_at[vm->known];
        from = from > vm->restarted_at ? from : vm->restarted_at;
        if (is_subject && f->now - from > f->slowest) {
            f->slowest = f->now - from;
        }
    }
    if (is_subject && vm->restarted_at == 0 &&
        f->now - vm->confirmed_at > f->oldest_confirmation) {
        f->oldest_confirmation = f->now - vm->confirmed_at;
    }
}

static void
step_vm(Fleet *f, Vm *vm)
{
    if (!is_running(vm)) {
        return;
    }
    CaroStoreReadersView view = make_view(f, vm);
    CaroStoreRole before = vm->s.role;
    CaroStoreReaders_Update(&vm->s, &view, CaroStoreLog_CompleteAt(vm->log),
                            f->now);
    if (vm->s.role != before && !vm->is_watching &&
        (before == CARO_STORE_FOLLOWER || vm->s.role == CARO_STORE_READER)) {
        vm->watch_at = f->now;
    }
    if (vm->s.role != before && !vm->is_reading) {
        vm->read_at = f->now;
    }
    check_watch(f, vm);
    step_replaced_watch(f, vm);
    step_watch(f, vm);
    step_read(f, vm);
    step_list(f, vm);
    before = vm->s.role;
    step_call(f, vm);
    if (vm->s.role != before && before == CARO_STORE_FOLLOWER) {
        vm->watch_at = f->now;
        vm->read_at = f->now;
    }
    if (f->now >= vm->renew_at) {
        vm->renew_at += RENEW_INTERVAL;
        vm->calls++;
    }
    check(f, vm);
}

static void
set_up_fleet(Fleet *f, int n, bool is_large, unsigned long seed)
{
    memset(f, 0, sizeof(*f));
    f->n = n;
    f->is_large = is_large;
    f->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(f->rng, seed);
    f->loss = 0.005;
    f->round_trip = ROUND_TRIP;
    /* Two changes per second, at random times. */
    CaroTime at = 0;
    while (f->n_changes < CHANGES_MAX) {
        at += (CaroTime)(-0.5 * (double)S * log(gsl_rng_uniform_pos(f->rng)));
        if (at > END - 4 * S) {
            break;
        }
        f->changed_at[f->n_changes] = at;
        f->changes[f->n_changes] =
            (CaroStoreItem){.key = "servers/i-1",
                            .value = "{}",
                            .size = 2,
                            .revision = f->n_changes + 1};
        f->n_changes++;
    }
    for (int i = 0; i < n; i++) {
        Vm *vm = &f->vms[i];
        vm->log = CaroStoreLog_Create();
        vm->domain = i % DOMAINS;
        vm->called = CARO_NO_HANDLE;
        CaroStoreReaders_Init(&vm->s, gsl_rng_get(f->rng));
        vm->read_at = (CaroTime)gsl_rng_uniform_int(f->rng, 4) * STEP;
        vm->renew_at =
            (CaroTime)(gsl_rng_uniform(f->rng) * (double)RENEW_INTERVAL);
    }
}

static void
tear_down_fleet(Fleet *f)
{
    for (int i = 0; i < f->n; i++) {
        CaroStoreLog_Destroy(f->vms[i].log);
    }
    gsl_rng_free(f->rng);
}

/* The first six VMs are the readers of the three domains. */
static void
set_fault(Fleet *f, Fault fault, Extent extent)
{
    for (int i = 0; i < f->n; i++) {
        Vm *vm = &f->vms[i];
        bool is_reader = i < CARO_STORE_READERS * DOMAINS;
        vm->calls_in_fault = -vm->calls;
        if (extent == OF_PAIRS) {
            vm->is_cut_from_readers = !is_reader && i % 2 == 0;
        }
        else if (fault == FAULT_WATCH_LOST) {
            vm->is_watch_dead |= is_reader && extent == OF_ALL_READERS;
        }
        else if (is_reader && (extent == OF_ALL_READERS ||
                               (extent == OF_DOMAIN && i % DOMAINS == 0) ||
                               (extent == OF_ONE_READER && i == 0))) {
            vm->fault = fault;
        }
    }
}

static void
end_fault(Fleet *f, Fault fault)
{
    for (int i = 0; i < f->n; i++) {
        Vm *vm = &f->vms[i];
        vm->is_cut_from_readers = false;
        vm->calls_in_fault += vm->calls;
        if (vm->fault != FAULT_NONE && vm->fault == fault &&
            fault != FAULT_KILLED) {
            vm->fault = FAULT_NONE;
            vm->restarted_at = f->now;
            vm->is_watch_dead = true;
        }
    }
}

static int
count_calls(const Fleet *f)
{
    int calls = 0;
    for (int i = 0; i < f->n; i++) {
        calls += f->vms[i].calls;
    }
    return calls;
}

/* Returns the calls per second to the store from 10 s to 30 s. */
static double
play(Fleet *f, Fault fault, Extent extent)
{
    int start = 0;
    int steady = 0;
    CaroTime end = fault == FAULT_FROZEN ? FAULT_AT + 8 * S : FAULT_END;
    for (f->now = STEP; f->now < END; f->now += STEP) {
        if (f->now == 10 * S) {
            start = count_calls(f);
        }
        if (f->now == FAULT_AT) {
            steady = count_calls(f) - start;
            f->slowest = 0;
            f->oldest_confirmation = 0;
            set_fault(f, fault, extent);
        }
        if (f->now == end) {
            end_fault(f, fault);
        }
        for (int i = 0; i < f->n; i++) {
            step_vm(f, &f->vms[i]);
        }
    }
    for (int i = 0; i < f->n; i++) {
        /* Every VM that runs knows every change in the end. */
        assert_true(!is_running(&f->vms[i]) ||
                    f->vms[i].known == f->n_changes);
    }
    return steady / 20.0;
}

/* Guards against a store that has to answer every VM of a large fleet, and
   against other calls of small fleets. */
static void
test_calls_without_faults(void **state)
{
    (void)state;
    static const int sizes[] = {20, 40, 41, 100, 295};
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        double rate[2];
        CaroTime slowest[2];
        CaroTime oldest[2];
        for (int is_large = 0; is_large < 2; is_large++) {
            set_up_fleet(&fleet, sizes[i], is_large == 1, 5);
            rate[is_large] = play(&fleet, FAULT_NONE, OF_ONE_READER);
            slowest[is_large] = fleet.slowest;
            oldest[is_large] = fleet.oldest_confirmation;
            tear_down_fleet(&fleet);
        }
        print_message("%3d VMs: calls per second %6.1f before, %6.1f after; "
                      "slowest change %4d and %4d ms; oldest confirmation "
                      "%4d and %4d ms\n",
                      sizes[i], rate[0], rate[1], (int)(slowest[0] / MS),
                      (int)(slowest[1] / MS), (int)(oldest[0] / MS),
                      (int)(oldest[1] / MS));
        assert_true(slowest[1] <= CHANGE_MAX && oldest[1] <= FRESHNESS_MAX);
        if (sizes[i] <= 40) {
            assert_true(rate[0] == rate[1]);
        }
        if (sizes[i] >= 100) {
            assert_true(rate[1] < 0.25 * rate[0]);
        }
    }
}

/* Guards against VMs that all turn to the store when it is slow, and make it
   slower. */
static void
test_slow_store_has_no_more_calls(void **state)
{
    (void)state;
    for (CaroTime round_trip = 200 * MS; round_trip <= 600 * MS;
         round_trip += 200 * MS) {
        set_up_fleet(&fleet, 100, true, 5);
        fleet.round_trip = round_trip;
        double rate = play(&fleet, FAULT_NONE, OF_ONE_READER);
        print_message("store answers in %d ms: %.1f calls per second, slowest "
                      "change %d ms, oldest confirmation %d ms\n",
                      (int)(round_trip / MS), rate, (int)(fleet.slowest / MS),
                      (int)(fleet.oldest_confirmation / MS));
        assert_true(rate < 35.0);
        assert_true(fleet.slowest <= CHANGE_MAX);
        assert_true(fleet.oldest_confirmation <= FRESHNESS_MAX);
        tear_down_fleet(&fleet);
    }
}

/* Guards against VMs that miss a change, or serve a revoked key, as long as
   their readers fail in any way that the store itself does not share. */
static void
test_changes_arrive_in_time_under_faults(void **state)
{
    (void)state;
    static const char *const names[] = {
        "none",        "killed",  "frozen",     "store cut", "peers cut",
        "replies cut", "refused", "watch dead", "watch lost"};
    static const char *const extents[] = {"one reader", "a domain's", "all",
                                          "half of the VMs from theirs"};
    static const int sizes[] = {41, 100, 295};
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        for (int fault = FAULT_KILLED; fault <= FAULTS; fault++) {
            for (int extent = 0; extent < OF_PAIRS; extent++) {
                bool is_pairs = fault == FAULTS;
                Extent e = is_pairs ? OF_PAIRS : (Extent)extent;
                set_up_fleet(&fleet, sizes[i], true,
                             (unsigned long)(fault * 10 + extent));
                (void)play(&fleet, is_pairs ? FAULT_NONE : (Fault)fault, e);
                print_message("%3d VMs, %s, %s: slowest change %d ms, oldest "
                              "confirmation %d ms\n",
                              sizes[i], is_pairs ? "cut" : names[fault],
                              extents[e], (int)(fleet.slowest / MS),
                              (int)(fleet.oldest_confirmation / MS));
                assert_true(fleet.slowest <= CHANGE_MAX);
                assert_true(fleet.oldest_confirmation <= FRESHNESS_MAX);
                tear_down_fleet(&fleet);
                if (is_pairs) {
                    break;
                }
            }
        }
    }
}

/* Guards against a burst of calls by hundreds of VMs that lose their readers
   at once, and against VMs that switch back at the same time. */
static void
test_calls_when_all_readers_fail(void **state)
{
    (void)state;
    static const Fault faults[] = {FAULT_KILLED, FAULT_STORE_CUT,
                                   FAULT_REFUSED, FAULT_REPLIES_CUT};
    for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        set_up_fleet(&fleet, 295, true, 3);
        (void)play(&fleet, faults[i], OF_ALL_READERS);
        int calls = 0;
        for (int v = CARO_STORE_READERS * DOMAINS; v < fleet.n; v++) {
            calls += fleet.vms[v].calls_in_fault;
        }
        double rate = calls / (double)((FAULT_END - FAULT_AT) / S) /
                      (double)(fleet.n - CARO_STORE_READERS * DOMAINS);
        print_message("fault %d: %.2f calls per second per VM\n",
                      (int)faults[i], rate);
        assert_true(rate <= 1.0);
        tear_down_fleet(&fleet);
    }
}

/* --- the decision --- */

static CaroStoreReadersView
large_view(void)
{
    return (CaroStoreReadersView){
        .is_ready = true, .n_vms = 100, .readers = {7, 9}};
}

/* Makes a follower at the time 1 s; returns its first reader. */
static CaroHandle
make_follower(CaroStoreReaders *s, CaroStoreReadersView *view)
{
    bool is_recent;
    CaroStoreReaderReply reply = {
        .sent_at = S, .answer_age = 0, .log_age = 0, .is_complete = true};
    *view = large_view();
    CaroStoreReaders_Init(s, 4);
    assert_true(CaroStoreReaders_Update(s, view, S, S));
    assert_int_equal(s->role, CARO_STORE_FALLBACK);
    CaroHandle first = CaroStoreReaders_NextCall(s, S);
    assert_true(CaroStoreReaders_OnReply(s, first, &reply, &is_recent, S));
    assert_int_equal(s->role, CARO_STORE_FOLLOWER);
    return first;
}

/* Guards against a fallback on a single lost datagram, and against one that
   comes late when both readers are silent. */
static void
test_fallback_after_two_silent_calls_and_the_other_reader(void **state)
{
    (void)state;
    CaroStoreReaders s;
    CaroStoreReadersView view;
    CaroHandle first = make_follower(&s, &view);
    CaroTime now = S + 400 * MS;
    for (int i = 0; i < 2; i++) {
        assert_int_equal(CaroStoreReaders_NextCall(&s, now), first);
        now += CARO_STORE_READER_TIMEOUT;
        assert_false(CaroStoreReaders_OnFailure(&s, first, now));
    }
    CaroHandle other = CaroStoreReaders_NextCall(&s, now);
    assert_int_equal(other, 16 - first);
    now += CARO_STORE_READER_TIMEOUT;
    assert_true(CaroStoreReaders_OnFailure(&s, other, now));
    assert_int_equal(s.role, CARO_STORE_FALLBACK);
    assert_int_equal(now, 2 * S);
    /* A reader is asked again after 3 to 5 s. */
    assert_int_equal(CaroStoreReaders_NextCall(&s, now + 3 * S - 1),
                     CARO_NO_HANDLE);
    assert_int_not_equal(CaroStoreReaders_NextCall(&s, now + 5 * S),
                         CARO_NO_HANDLE);
}

/* Guards against replies of a reader that has lost the store: they come in
   time and tell old state. */
static void
test_old_answers_cause_a_fallback(void **state)
{
    (void)state;
    CaroStoreReaders s;
    CaroStoreReadersView view;
    bool is_recent;
    const CaroTime old[][2] = {
        {1301 * MS, 0}, {0, 1901 * MS}, {-1, 0}, {0, -1}};
    for (size_t i = 0; i < sizeof(old) / sizeof(old[0]); i++) {
        CaroHandle first = make_follower(&s, &view);
        CaroTime now = S + 400 * MS;
        CaroStoreReaderReply reply = {.sent_at = now,
                                      .answer_age = old[i][0],
                                      .log_age = old[i][1],
                                      .is_complete = true};
        assert_int_equal(CaroStoreReaders_NextCall(&s, now), first);
        assert_false(
            CaroStoreReaders_OnReply(&s, first, &reply, &is_recent, now));
        assert_false(is_recent);
        CaroHandle other = CaroStoreReaders_NextCall(&s, now);
        assert_int_equal(other, 16 - first);
        assert_true(
            CaroStoreReaders_OnReply(&s, other, &reply, &is_recent, now));
        assert_int_equal(s.role, CARO_STORE_FALLBACK);
    }
}

/* Guards against a VM that waits for its readers after it was suspended, and
   against one that is a reader for itself alone. */
static void
test_role_follows_fleet_and_age(void **state)
{
    (void)state;
    CaroStoreReaders s;
    CaroStoreReadersView view;
    (void)make_follower(&s, &view);
    assert_false(CaroStoreReaders_Update(&s, &view, S, S + 2200 * MS));
    assert_true(CaroStoreReaders_Update(&s, &view, S, S + 2201 * MS));
    assert_int_equal(s.role, CARO_STORE_FALLBACK);
    view.is_reader = true;
    assert_true(CaroStoreReaders_Update(&s, &view, S, 4 * S));
    assert_int_equal(s.role, CARO_STORE_READER);
    view.n_vms = 40;
    assert_true(CaroStoreReaders_Update(&s, &view, S, 4 * S));
    assert_int_equal(s.role, CARO_STORE_DIRECT);
    view.n_vms = 41;
    view.is_ready = false;
    assert_false(CaroStoreReaders_Update(&s, &view, S, 4 * S));
}

/* Guards against VMs of one domain that choose different readers, and readers
   that are not usable. */
static void
test_members_choose_the_same_readers(void **state)
{
    (void)state;
    enum { N = 12 };
    char chosen[N][2 * CARO_NAME_SIZE];
    for (int self = 0; self < N; self++) {
        CaroMembership *m = NULL;
        for (int i = 0; i < N; i++) {
            int at = (self + i) % N; /* The order of joining differs. */
            CaroVm vm = {.incarnation = 1, .boot_id = 1};
            (void)snprintf(vm.name, sizeof(vm.name), "v%d", at);
            (void)snprintf(vm.peer, sizeof(vm.peer), "10.0.0.%d:1", at);
            CARO_COPY(vm.http, vm.peer);
            CARO_COPY(vm.domain, at % 2 == 0 ? "even" : "odd");
            CARO_COPY(vm.region, "r");
            caro_member_update u = {.name = vm.name,
                                    .http = vm.http,
                                    .peer = vm.peer,
                                    .domain = vm.domain,
                                    .region = vm.region,
                                    .incarnation = 1,
                                    .boot_id = 1,
                                    .state = at == 3 ? CARO_MEMBER_DEAD
                                                     : CARO_MEMBER_ALIVE};
            if (m == NULL) {
                m = CaroMembership_Create(&vm, S, 1, S);
            }
            else {
                (void)CaroMembership_Apply(m, &u, S);
            }
        }
        CaroHandle two[2];
        assert_int_equal(CaroMembership_ChooseInDomain(m, "store", two, 2), 2);
        (void)snprintf(chosen[self], sizeof(chosen[self]), "%s %s",
                       CaroMembership_Get(m, two[0])->name,
                       CaroMembership_Get(m, two[1])->name);
        if (self != 3) { /* It does not count itself as dead. */
            assert_null(strstr(chosen[self], "v3"));
        }
        assert_string_equal(CaroMembership_Get(m, two[0])->domain,
                            CaroMembership_Get(m, CARO_SELF)->domain);
        if (self >= 2 && self != 3) {
            assert_string_equal(chosen[self], chosen[self % 2]);
        }
        CaroMembership_Destroy(m);
    }
}

/* --- the log --- */

static void
append(CaroStoreLog *l, int64_t revision, size_t size)
{
    char *value = calloc(1, size + 1);
    CaroStoreItem item = {.key = "servers/i-1",
                          .value = value,
                          .size = size,
                          .revision = revision};
    CaroStoreLog_Append(l, &item, 1, revision);
    free(value);
}

/* Guards against a log that claims to reach back further than it does, or that
   grows without bound. */
static void
test_log_is_bounded_and_tells_its_start(void **state)
{
    (void)state;
    static caro_store_change changes[CARO_CHANGES_MAX];
    caro_store_changes reply;
    CaroStoreLog *l = CaroStoreLog_Create();
    CaroStoreLog_Reset(l, 100);
    for (int64_t i = 101; i <= 5100; i++) {
        append(l, i, 20);
    }
    assert_int_equal(CaroStoreLog_Start(l), 5100 - 4096);
    CaroStoreLog_Collect(l, 5100 - 4097, changes, &reply);
    assert_false(reply.reaches_back);
    assert_int_equal(reply.changes.changes_len, 0);
    int64_t known = 5100 - 4096;
    while (known < 5100) {
        CaroStoreLog_Collect(l, known, changes, &reply);
        assert_true(reply.reaches_back);
        assert_int_equal(changes[0].revision, known + 1);
        assert_int_equal(reply.has_more, reply.revision < 5100);
        assert_true((int64_t)reply.revision > known);
        known = (int64_t)reply.revision;
    }
    /* 1 MB of values. */
    for (int64_t i = 5101; i <= 5500; i++) {
        append(l, i, 5000);
    }
    assert_in_range(CaroStoreLog_Start(l), 5500 - 210, 5500 - 200);
    /* A reader that is behind the asking VM says so. */
    CaroStoreLog_Collect(l, 5600, changes, &reply);
    assert_int_equal(reply.revision, 5500);
    CaroStoreLog_Destroy(l);
}

/* Guards against datagrams that are too long, revisions that are torn in two
   replies, and changes out of order. */
static void
test_replies_hold_whole_revisions(void **state)
{
    (void)state;
    static caro_store_change changes[CARO_CHANGES_MAX];
    caro_store_changes reply;
    char value[2000] = "";
    CaroStoreItem items[4];
    CaroStoreLog *l = CaroStoreLog_Create();
    for (int i = 0; i < 4; i++) {
        items[i] = (CaroStoreItem){.key = "servers/i-1",
                                   .value = value,
                                   .size = sizeof(value),
                                   .revision = i < 2 ? 5 : 6};
    }
    CaroStoreLog_Append(l, items, 4, 7);
    CaroStoreLog_Collect(l, 0, changes, &reply);
    assert_int_equal(reply.changes.changes_len, 2);
    assert_int_equal(reply.revision, 5);
    assert_true(reply.has_more);
    CaroStoreLog_Collect(l, 5, changes, &reply);
    assert_int_equal(reply.changes.changes_len, 2);
    assert_int_equal(reply.revision, 7);
    assert_false(reply.has_more);
    /* Four of one revision do not fit: the asking VM has to list. */
    for (int i = 0; i < 4; i++) {
        items[i].revision = 8;
    }
    CaroStoreLog_Append(l, items, 4, 8);
    CaroStoreLog_Collect(l, 7, changes, &reply);
    assert_false(reply.reaches_back);
    /* A value that never fits is omitted. */
    append(l, 9, 7000);
    CaroStoreLog_Collect(l, 8, changes, &reply);
    assert_int_equal(reply.changes.changes_len, 1);
    assert_true(changes[0].is_omitted);
    assert_int_equal(changes[0].value.value_len, 0);
    /* Changes that the log knows are skipped; others out of order reset it. */
    CaroStoreLog_Append(l, items, 4, 9);
    assert_int_equal(CaroStoreLog_Revision(l), 9);
    assert_int_equal(CaroStoreLog_Start(l), 0);
    items[0].revision = 11;
    items[1].revision = 10;
    CaroStoreLog_Append(l, items, 2, 11);
    assert_int_equal(CaroStoreLog_Start(l), 11);
    CaroStoreLog_Destroy(l);
}

/* Guards against a watch that is dead while the reads succeed: the log must
   not count as complete at a read that reported a later revision. */
static void
test_log_is_complete_when_it_reaches_what_reads_report(void **state)
{
    (void)state;
    CaroStoreLog *l = CaroStoreLog_Create();
    CaroStoreLog_Reset(l, 10);
    assert_int_equal(CaroStoreLog_CompleteAt(l), 0);
    CaroStoreLog_RecordRead(l, 10, S);
    assert_int_equal(CaroStoreLog_CompleteAt(l), S);
    CaroStoreLog_RecordRead(l, 11, 2 * S);
    CaroStoreLog_RecordRead(l, 12, 3 * S);
    for (int64_t i = 13; i < 20; i++) {
        CaroStoreLog_RecordRead(l, i, i * S);
    }
    assert_int_equal(CaroStoreLog_CompleteAt(l), S);
    assert_int_equal(CaroStoreLog_BehindSince(l), 2 * S);
    append(l, 11, 1);
    assert_int_equal(CaroStoreLog_CompleteAt(l), 2 * S);
    assert_int_equal(CaroStoreLog_BehindSince(l), 3 * S);
    append(l, 30, 1);
    assert_int_equal(CaroStoreLog_BehindSince(l), 0);
    CaroStoreLog_Destroy(l);
}

/* Guards against a crash on a call of a number that is not in use here: a
   known one has both codecs. */
static void
test_unused_procedures_are_unknown(void **state)
{
    (void)state;
    for (uint32_t i = 0; i < 256; i++) {
        const CaroRpcProcedure *p = CaroRpcMessage_Procedure(i);
        assert_true(p == NULL || (p->args != NULL && p->result != NULL &&
                                  p->args_size > 0 && p->result_size > 0));
        assert_true((p != NULL) ==
                    (i >= CARO_HEARTBEAT && i <= CARO_STORE_NOTICES));
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_calls_without_faults),
        cmocka_unit_test(test_slow_store_has_no_more_calls),
        cmocka_unit_test(test_changes_arrive_in_time_under_faults),
        cmocka_unit_test(test_calls_when_all_readers_fail),
        cmocka_unit_test(
            test_fallback_after_two_silent_calls_and_the_other_reader),
        cmocka_unit_test(test_old_answers_cause_a_fallback),
        cmocka_unit_test(test_role_follows_fleet_and_age),
        cmocka_unit_test(test_members_choose_the_same_readers),
        cmocka_unit_test(test_log_is_bounded_and_tells_its_start),
        cmocka_unit_test(test_replies_hold_whole_revisions),
        cmocka_unit_test(
            test_log_is_complete_when_it_reaches_what_reads_report),
        cmocka_unit_test(test_unused_procedures_are_unknown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
