/*
 * "carobench membership": the membership's own functions at fleet sizes,
 * on a virtual clock with a table of delays and losses.
 *
 * Each VM is a CaroMembership.  Messages wait in a ring of time slots of
 * one millisecond.  The revision of the configuration rides along, so its
 * spread is measured as well.
 */
#include "bench.h"

#include "internal/caro_membership.h"
#include "internal/caro_router.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS CARO_MS
#define PERIOD (400 * MS)
#define TICK (20 * MS)

enum {
    FLEET_MAX = 512,
    SLOTS = 4096, /* Milliseconds that a message may wait. */
    REGIONS = 3,
    DOMAINS = 10,
    RPC_BYTES = 68, /* RPC, UDP and IP headers of a message. */
    CONFIG_FANOUT = 4
};

/* Bounds of the target. */
#define BYTES_MOST 4096.0
#define UNLISTED_MOST_MS 2000.0
#define CONFIG_MOST_MS 4000.0

typedef enum { HEARTBEAT, ANSWER, INDIRECT, RELAYED, CONFIG_FETCH } Kind;

typedef struct Message {
    Kind kind;
    int from;
    int to;
    int target;   /* Of INDIRECT and RELAYED. */
    int relay_to; /* Who asked for a relayed probe, or -1. */
    uint64_t revision;
    int n;
    caro_member_update updates[CARO_UPDATES_MAX];
    struct Message *next;
} Message;

typedef struct {
    int n;
    CaroMembership *vms[FLEET_MAX];
    CaroVm self[FLEET_MAX];
    bool is_down[FLEET_MAX];
    uint64_t revision[FLEET_MAX];
    bool is_fetching[FLEET_MAX];
    uint64_t bytes[FLEET_MAX];
    Message *slots[SLOTS];
    CaroTime now;
    uint64_t rng;
    double loss;
    bool are_regions_cut;
    bool has_one_way_cuts;
    long suspicions; /* Of VMs that were up. */
    long deaths;     /* Of VMs that were up. */
    uint64_t messages;
} Fleet;

static int
region_of(int vm)
{
    return vm % DOMAINS % REGIONS;
}

static CaroTime
delay_of(Fleet *f, int a, int b)
{
    CaroTime jitter = (CaroTime)(CaroRandom_Next(&f->rng) % 500);
    if (region_of(a) != region_of(b)) {
        return 15 * MS + jitter;
    }
    return (a % DOMAINS == b % DOMAINS ? 100 : 1500) + jitter;
}

static bool
is_lost(Fleet *f, int a, int b)
{
    double drawn = (double)(CaroRandom_Next(&f->rng) >> 11) * 0x1.0p-53;
    if (f->are_regions_cut && region_of(a) != region_of(b)) {
        return true;
    }
    /* One in fifty pairs hears in one direction only. */
    if (f->has_one_way_cuts && a < b && (a * 31 + b) % 50 == 0) {
        return true;
    }
    return drawn < f->loss;
}

static size_t
size_of(const Message *m)
{
    caro_heartbeat h = {.sender = "n000", .config_revision = m->revision};
    h.updates.updates_len = (u_int)m->n;
    h.updates.updates_val = (caro_member_update *)m->updates;
    return RPC_BYTES + xdr_sizeof((xdrproc_t)xdr_caro_heartbeat, &h);
}

static void
post(Fleet *f, Message *m)
{
    size_t size = size_of(m);
    f->bytes[m->from] += size;
    f->messages++;
    if (is_lost(f, m->from, m->to)) {
        free(m);
        return;
    }
    f->bytes[m->to] += size;
    CaroTime at = (f->now + delay_of(f, m->from, m->to)) / MS + 1;
    Message **slot = &f->slots[at % SLOTS];
    m->next = *slot;
    *slot = m;
}

static Message *
new_message(Fleet *f, Kind kind, int from, int to)
{
    Message *m = calloc(1, sizeof(*m));
    if (m == NULL) {
        abort();
    }
    m->kind = kind;
    m->from = from;
    m->to = to;
    m->target = -1;
    m->relay_to = -1;
    m->revision = f->revision[from];
    CaroHandle h = CaroMembership_Find(f->vms[from], f->self[to].name);
    m->n = CaroMembership_Gossip(f->vms[from], h, m->updates);
    /* The strings of updates live in the sender's table, which is never
       freed during a run, and change only with a VM's own settings. */
    return m;
}

static void
announce(Fleet *f, int vm)
{
    for (int i = 0; i < CONFIG_FANOUT; i++) {
        int to = (int)(CaroRandom_Next(&f->rng) % (uint64_t)f->n);
        if (to != vm) {
            post(f, new_message(f, HEARTBEAT, vm, to));
        }
    }
}

static int
index_of(const Fleet *f, const char *name)
{
    (void)f;
    return (int)strtol(name + 1, NULL, 10);
}

static void
drain_events(Fleet *f, int vm)
{
    CaroMembershipEvent e;
    while (CaroMembership_Next(f->vms[vm], &e)) {
        int to = index_of(f, CaroMembership_Get(f->vms[vm], e.vm)->name);
        if (e.kind == CARO_SEND_PROBE) {
            post(f, new_message(f, HEARTBEAT, vm, to));
        }
        else if (e.kind == CARO_SEND_INDIRECT) {
            Message *m = new_message(f, INDIRECT, vm, to);
            m->target =
                index_of(f, CaroMembership_Get(f->vms[vm], e.target)->name);
            post(f, m);
        }
        else if (!f->is_down[to]) {
            caro_member_state state =
                CaroMembership_Get(f->vms[vm], e.vm)->state;
            f->suspicions += state == CARO_MEMBER_SUSPECT;
            f->deaths += state == CARO_MEMBER_DEAD;
        }
    }
}

static void
take_news(Fleet *f, const Message *m)
{
    CaroMembership *vm = f->vms[m->to];
    for (int i = 0; i < m->n; i++) {
        (void)CaroMembership_Apply(vm, &m->updates[i], f->now);
    }
    CaroMembership_RecordHeard(vm, f->self[m->from].name, f->now);
    if (m->revision > f->revision[m->to] && !f->is_fetching[m->to]) {
        f->is_fetching[m->to] = true;
        post(f, new_message(f, CONFIG_FETCH, m->to, m->from));
    }
}

static void
deliver(Fleet *f, const Message *m)
{
    if (f->is_down[m->to]) {
        return;
    }
    Message *reply;
    switch (m->kind) {
    case HEARTBEAT:
        take_news(f, m);
        reply = new_message(f, ANSWER, m->to, m->from);
        reply->relay_to = m->relay_to;
        post(f, reply);
        break;
    case ANSWER:
        take_news(f, m);
        if (m->relay_to >= 0) {
            reply = new_message(f, RELAYED, m->to, m->relay_to);
            reply->target = m->from;
            post(f, reply);
        }
        break;
    case INDIRECT:
        take_news(f, m);
        reply = new_message(f, HEARTBEAT, m->to, m->target);
        reply->relay_to = m->from;
        post(f, reply);
        break;
    case RELAYED:
        take_news(f, m);
        CaroMembership_RecordHeard(f->vms[m->to], f->self[m->target].name,
                                   f->now);
        break;
    case CONFIG_FETCH:
        /* The answer comes a round trip later; its loss is a retry. */
        f->is_fetching[m->from] = false;
        if (f->revision[m->to] > f->revision[m->from]) {
            f->revision[m->from] = f->revision[m->to];
            announce(f, m->from);
        }
        break;
    }
    drain_events(f, m->to);
}

static void
run_for(Fleet *f, CaroTime duration)
{
    CaroTime end = f->now + duration;
    while (f->now < end) {
        f->now += MS;
        Message **slot = &f->slots[f->now / MS % SLOTS];
        while (*slot != NULL) {
            Message *m = *slot;
            *slot = m->next;
            deliver(f, m);
            free(m);
        }
        for (int i = 0; i < f->n; i++) {
            bool is_due = (f->now / MS + i) % (TICK / MS) == 0;
            if (is_due && !f->is_down[i]) {
                CaroMembership_Tick(f->vms[i], f->now);
                drain_events(f, i);
            }
        }
        /* A fetch that was lost is tried again after a second. */
        if (f->now % CARO_SECOND == 0) {
            memset(f->is_fetching, 0, sizeof(f->is_fetching));
        }
    }
}

static double
mean_bytes(Fleet *f, CaroTime duration)
{
    double sum = 0.0;
    for (int i = 0; i < f->n; i++) {
        sum += (double)f->bytes[i];
    }
    return sum / f->n / ((double)duration / CARO_SECOND);
}

/* VMs that are up and take "vm" for usable, as a count. */
static int
count_believers(const Fleet *f, int vm)
{
    int count = 0;
    for (int i = 0; i < f->n; i++) {
        if (f->is_down[i] || i == vm) {
            continue;
        }
        CaroHandle h = CaroMembership_Find(f->vms[i], f->self[vm].name);
        count += h != CARO_NO_HANDLE && CaroMembership_IsUsable(f->vms[i], h);
    }
    return count;
}

/* Runs until no VM that is up lists those that are down (or, with
   "is_listed", until all list all); returns the time in milliseconds. */
static double
run_until_settled(Fleet *f, bool is_listed, CaroTime most)
{
    CaroTime start = f->now;
    while (f->now - start < most) {
        run_for(f, f->n > 100 ? 100 * MS : 20 * MS);
        bool is_settled = true;
        for (int i = 0; i < f->n && is_settled; i++) {
            int count = count_believers(f, i);
            is_settled =
                f->is_down[i] ? count == 0 : (!is_listed || count == f->n - 1);
        }
        if (is_settled) {
            break;
        }
    }
    return (double)(f->now - start) / MS;
}

static Fleet *
create_fleet(int n)
{
    Fleet *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        abort();
    }
    f->n = n;
    f->rng = 99;
    f->loss = 0.005;
    for (int i = 0; i < n; i++) {
        CaroVm *vm = &f->self[i];
        (void)snprintf(vm->name, sizeof(vm->name), "n%03d", i);
        (void)snprintf(vm->http, sizeof(vm->http), "10.0.%d.%d:8100", i / 250,
                       i % 250);
        (void)snprintf(vm->peer, sizeof(vm->peer), "10.0.%d.%d:8101", i / 250,
                       i % 250);
        (void)snprintf(vm->domain, sizeof(vm->domain), "d%d", i % DOMAINS);
        (void)snprintf(vm->region, sizeof(vm->region), "r%d", region_of(i));
        vm->incarnation = 1000;
        vm->boot_id = (uint64_t)i;
        f->vms[i] = CaroMembership_Create(vm, PERIOD, (uint64_t)i + 1, 0);
    }
    caro_member_update *all = calloc((size_t)n, sizeof(*all));
    for (int i = 0; i < n; i++) {
        (void)CaroMembership_All(f->vms[i], &all[i], 1);
    }
    for (int i = 0; i < n; i++) {
        for (int j = 0; j < n; j++) {
            CaroMembership_ApplyWithoutGossip(f->vms[i], &all[j], 0);
        }
        CaroMembershipEvent e;
        while (CaroMembership_Next(f->vms[i], &e)) {
            continue;
        }
    }
    free(all);
    run_for(f, 20 * CARO_SECOND);
    f->suspicions = 0;
    f->deaths = 0;
    return f;
}

static void
free_fleet(Fleet *f)
{
    for (int i = 0; i < SLOTS; i++) {
        while (f->slots[i] != NULL) {
            Message *m = f->slots[i];
            f->slots[i] = m->next;
            free(m);
        }
    }
    for (int i = 0; i < f->n; i++) {
        CaroMembership_Destroy(f->vms[i]);
    }
    free(f);
}

static void
measure_steady(Fleet *f)
{
    memset(f->bytes, 0, sizeof(f->bytes));
    run_for(f, 30 * CARO_SECOND);
    double bytes = mean_bytes(f, 30 * CARO_SECOND);
    (void)printf("  steady        %6.0f bytes/s a VM, false suspicions %ld, "
                 "false deaths %ld\n",
                 bytes, f->suspicions, f->deaths);
    Bench_Check(bytes <= BYTES_MOST, "bytes of membership");
    Bench_Check(f->deaths == 0, "a VM that was up was declared dead");
}

static void
measure_config(Fleet *f)
{
    CaroTime start = f->now;
    bool is_everywhere = false;
    f->revision[0] = 42;
    announce(f, 0);
    while (!is_everywhere && f->now - start < 20 * CARO_SECOND) {
        run_for(f, 10 * MS);
        is_everywhere = true;
        for (int i = 0; i < f->n; i++) {
            is_everywhere = is_everywhere && f->revision[i] == 42;
        }
    }
    double ms = (double)(f->now - start) / MS;
    (void)printf("  configuration in force on all after %.0f ms\n", ms);
    Bench_Check(ms <= CONFIG_MOST_MS, "a configuration in force everywhere");
}

static void
measure_losses(Fleet *f)
{
    f->is_down[1] = true;
    double one = run_until_settled(f, false, 20 * CARO_SECOND);
    (void)printf("  one dead      unlisted everywhere after %5.0f ms\n", one);
    Bench_Check(one <= UNLISTED_MOST_MS, "a dead VM in answers");
    run_for(f, 10 * CARO_SECOND);
    f->deaths = 0;
    for (int i = 0; i < f->n; i += 3) {
        f->is_down[i] = true;
    }
    memset(f->bytes, 0, sizeof(f->bytes));
    double third = run_until_settled(f, false, 60 * CARO_SECOND);
    CaroTime storm = (CaroTime)third * MS;
    (void)printf("  a third dead  unlisted everywhere after %5.0f ms, false "
                 "deaths %ld, %.0f bytes/s a VM\n",
                 third, f->deaths, mean_bytes(f, storm));
    Bench_Check(f->deaths == 0, "a VM that was up was declared dead");
    for (int i = 0; i < f->n; i++) {
        f->is_down[i] = false;
    }
    /* They return as after a long pause, with their old views. */
    double back = run_until_settled(f, true, 120 * CARO_SECOND);
    (void)printf("  all return    listed everywhere after   %5.0f ms\n", back);
    Bench_Check(back < 60000.0, "returned VMs are listed");
}

static void
measure_leave(Fleet *f)
{
    CaroTime start = f->now;
    CaroMembership_Leave(f->vms[2], f->now);
    drain_events(f, 2);
    announce(f, 2);
    announce(f, 2);
    while (count_believers(f, 2) > 0 && f->now - start < 20 * CARO_SECOND) {
        run_for(f, 10 * MS);
    }
    double ms = (double)(f->now - start) / MS;
    (void)printf("  one leaves    unlisted everywhere after %5.0f ms\n", ms);
    Bench_Check(ms <= UNLISTED_MOST_MS, "a leaving VM in answers");
}

static void
measure_cuts(Fleet *f)
{
    f->has_one_way_cuts = true;
    f->deaths = 0;
    run_for(f, 30 * CARO_SECOND);
    (void)printf("  one-way cuts  in 1 of 50 pairs: false deaths %ld\n",
                 f->deaths);
    Bench_Check(f->deaths == 0, "one-way cuts killed a VM");
    f->has_one_way_cuts = false;
    run_for(f, 10 * CARO_SECOND);
    f->are_regions_cut = true;
    run_for(f, 60 * CARO_SECOND);
    int own = 0;
    int all = 0;
    for (int i = 0; i < f->n; i++) {
        for (int j = 0; j < f->n; j++) {
            if (i != j && region_of(i) == region_of(j)) {
                CaroHandle h = CaroMembership_Find(f->vms[i], f->self[j].name);
                own += CaroMembership_IsUsable(f->vms[i], h);
                all++;
            }
        }
    }
    f->are_regions_cut = false;
    double healed = run_until_settled(f, true, 120 * CARO_SECOND);
    (void)printf("  regions cut   60 s: %.2f%% of the own region stay listed; "
                 "healed after %.0f ms\n",
                 100.0 * own / all, healed);
    Bench_Check(own == all, "a region cut removed VMs of the own region");
    Bench_Check(healed < 60000.0, "the fleet heals after a region cut");
}

int
Bench_RunMembership(int argc, char **argv)
{
    static const int sizes[] = {13, 20, 100, 200, 410};
    int only = argc > 1 ? (int)strtol(argv[1], NULL, 10) : 0;
    for (int i = 0; i < 5; i++) {
        if (only != 0 && sizes[i] != only) {
            continue;
        }
        (void)printf("%d VMs, period %lld ms, loss 0.5%%\n", sizes[i],
                     (long long)(PERIOD / MS));
        Fleet *f = create_fleet(sizes[i]);
        measure_steady(f);
        measure_config(f);
        measure_leave(f);
        free_fleet(f);
        f = create_fleet(sizes[i]);
        measure_losses(f);
        free_fleet(f);
        f = create_fleet(sizes[i]);
        measure_cuts(f);
        free_fleet(f);
    }
    return Bench_FinishChecks();
}
