/*
 * "carobench membership": simulates the membership protocol at several fleet
 * sizes, on a virtual clock with network delays and losses.
 *
 * Each VM is a CaroMembership.  Messages in transit are in a ring of time
 * slots of one millisecond.  Messages also carry the revision of the
 * configuration, so the time until all VMs have it is measured, too.
 */
#include "bench.h"

#include "internal/caro_membership.h"
#include "internal/caro_router.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS CARO_MS
#define PROBE_INTERVAL (400 * MS)
#define TICK_INTERVAL (20 * MS)

enum {
    FLEET_MAX = 512,
    DELAY_SLOTS = 4096, /* Longest delay of a message, in milliseconds. */
    REGIONS = 3,
    DOMAINS = 10,
    HEADER_BYTES = 68, /* RPC, UDP and IP headers of one message. */
    CONFIG_FANOUT = 4  /* VMs that get a change at once. */
};

/* Bounds of the performance target. */
#define BYTES_PER_SECOND_MAX 4096.0
#define UNLIST_MS_MAX 2000.0
#define CONFIG_SPREAD_MS_MAX 4000.0

typedef enum {
    MESSAGE_HEARTBEAT,
    MESSAGE_REPLY,
    MESSAGE_INDIRECT_PROBE,
    MESSAGE_INDIRECT_REPLY,
    MESSAGE_CONFIG_FETCH
} MessageKind;

typedef struct Message {
    MessageKind kind;
    int from;
    int to;
    int target;       /* VM that an indirect probe is about, or -1. */
    int requested_by; /* VM that asked for an indirect probe, or -1. */
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
    Message *slots[DELAY_SLOTS];
    CaroTime now;
    uint64_t rng;
    double loss_rate;
    bool are_regions_partitioned;
    bool has_one_way_losses; /* In some pairs, one direction is lost. */
    long false_suspicions;   /* VMs that were up and were suspected. */
    long false_deaths;       /* VMs that were up and were declared dead. */
    uint64_t messages;
} Fleet;

static int
vm_region(int vm)
{
    return vm % DOMAINS % REGIONS;
}

static CaroTime
draw_delay(Fleet *f, int a, int b)
{
    CaroTime jitter = (CaroTime)(CaroRandom_Next(&f->rng) % 500);
    if (vm_region(a) != vm_region(b)) {
        return 15 * MS + jitter;
    }
    return (a % DOMAINS == b % DOMAINS ? 100 : 1500) + jitter;
}

static bool
draw_is_lost(Fleet *f, int a, int b)
{
    double random = (double)(CaroRandom_Next(&f->rng) >> 11) * 0x1.0p-53;
    if (f->are_regions_partitioned && vm_region(a) != vm_region(b)) {
        return true;
    }
    /* In one of fifty pairs, messages pass in one direction only. */
    if (f->has_one_way_losses && a < b && (a * 31 + b) % 50 == 0) {
        return true;
    }
    return random < f->loss_rate;
}

static size_t
message_bytes(const Message *m)
{
    caro_heartbeat h = {.sender = "n000", .config_revision = m->revision};
    h.updates.updates_len = (u_int)m->n;
    h.updates.updates_val = (caro_member_update *)m->updates;
    return HEADER_BYTES + xdr_sizeof((xdrproc_t)xdr_caro_heartbeat, &h);
}

static void
send_message(Fleet *f, Message *m)
{
    size_t size = message_bytes(m);
    f->bytes[m->from] += size;
    f->messages++;
    if (draw_is_lost(f, m->from, m->to)) {
        free(m);
        return;
    }
    f->bytes[m->to] += size;
    CaroTime at = (f->now + draw_delay(f, m->from, m->to)) / MS + 1;
    Message **slot = &f->slots[at % DELAY_SLOTS];
    m->next = *slot;
    *slot = m;
}

static Message *
create_message(Fleet *f, MessageKind kind, int from, int to)
{
    Message *m = calloc(1, sizeof(*m));
    if (m == NULL) {
        abort();
    }
    m->kind = kind;
    m->from = from;
    m->to = to;
    m->target = -1;
    m->requested_by = -1;
    m->revision = f->revision[from];
    CaroHandle h = CaroMembership_Find(f->vms[from], f->self[to].name);
    m->n = CaroMembership_CollectGossip(f->vms[from], h, m->updates);
    /* The updates point to strings in the sender's table.  It is not freed
       during a run, and its strings change only with a VM's settings. */
    return m;
}

/* Sends heartbeats to a few random VMs, to spread a change at once. */
static void
send_heartbeats(Fleet *f, int vm)
{
    for (int i = 0; i < CONFIG_FANOUT; i++) {
        int to = (int)(CaroRandom_Next(&f->rng) % (uint64_t)f->n);
        if (to != vm) {
            send_message(f, create_message(f, MESSAGE_HEARTBEAT, vm, to));
        }
    }
}

static int
vm_index(const Fleet *f, const char *name)
{
    (void)f;
    return (int)strtol(name + 1, NULL, 10);
}

/* Carries out what a VM's membership asks for, and counts the VMs that it
   suspects or declares dead wrongly. */
static void
handle_events(Fleet *f, int vm)
{
    CaroMembershipEvent e;
    while (CaroMembership_Next(f->vms[vm], &e)) {
        int to = vm_index(f, CaroMembership_Get(f->vms[vm], e.vm)->name);
        if (e.kind == CARO_SEND_PROBE) {
            send_message(f, create_message(f, MESSAGE_HEARTBEAT, vm, to));
        }
        else if (e.kind == CARO_SEND_INDIRECT_PROBE) {
            Message *m = create_message(f, MESSAGE_INDIRECT_PROBE, vm, to);
            m->target =
                vm_index(f, CaroMembership_Get(f->vms[vm], e.target)->name);
            send_message(f, m);
        }
        else if (!f->is_down[to]) {
            caro_member_state state =
                CaroMembership_Get(f->vms[vm], e.vm)->state;
            f->false_suspicions += state == CARO_MEMBER_SUSPECT;
            f->false_deaths += state == CARO_MEMBER_DEAD;
        }
    }
}

static void
apply_message(Fleet *f, const Message *m)
{
    CaroMembership *vm = f->vms[m->to];
    for (int i = 0; i < m->n; i++) {
        (void)CaroMembership_Apply(vm, &m->updates[i], f->now);
    }
    CaroMembership_RecordHeard(vm, f->self[m->from].name, f->now);
    if (m->revision > f->revision[m->to] && !f->is_fetching[m->to]) {
        f->is_fetching[m->to] = true;
        send_message(f,
                     create_message(f, MESSAGE_CONFIG_FETCH, m->to, m->from));
    }
}

static void
deliver_message(Fleet *f, const Message *m)
{
    if (f->is_down[m->to]) {
        return;
    }
    Message *reply;
    switch (m->kind) {
    case MESSAGE_HEARTBEAT:
        apply_message(f, m);
        reply = create_message(f, MESSAGE_REPLY, m->to, m->from);
        reply->requested_by = m->requested_by;
        send_message(f, reply);
        break;
    case MESSAGE_REPLY:
        apply_message(f, m);
        if (m->requested_by >= 0) {
            reply = create_message(f, MESSAGE_INDIRECT_REPLY, m->to,
                                   m->requested_by);
            reply->target = m->from;
            send_message(f, reply);
        }
        break;
    case MESSAGE_INDIRECT_PROBE:
        apply_message(f, m);
        reply = create_message(f, MESSAGE_HEARTBEAT, m->to, m->target);
        reply->requested_by = m->from;
        send_message(f, reply);
        break;
    case MESSAGE_INDIRECT_REPLY:
        apply_message(f, m);
        CaroMembership_RecordHeard(f->vms[m->to], f->self[m->target].name,
                                   f->now);
        break;
    case MESSAGE_CONFIG_FETCH:
        /* The response is applied at once, without a message of its own. */
        f->is_fetching[m->from] = false;
        if (f->revision[m->to] > f->revision[m->from]) {
            f->revision[m->from] = f->revision[m->to];
            send_heartbeats(f, m->from);
        }
        break;
    }
    handle_events(f, m->to);
}

static void
run_for(Fleet *f, CaroTime duration)
{
    CaroTime end = f->now + duration;
    while (f->now < end) {
        f->now += MS;
        Message **slot = &f->slots[f->now / MS % DELAY_SLOTS];
        while (*slot != NULL) {
            Message *m = *slot;
            *slot = m->next;
            deliver_message(f, m);
            free(m);
        }
        for (int i = 0; i < f->n; i++) {
            bool is_due = (f->now / MS + i) % (TICK_INTERVAL / MS) == 0;
            if (is_due && !f->is_down[i]) {
                CaroMembership_Tick(f->vms[i], f->now);
                handle_events(f, i);
            }
        }
        /* Each second, fetches that were lost may be repeated. */
        if (f->now % CARO_SECOND == 0) {
            memset(f->is_fetching, 0, sizeof(f->is_fetching));
        }
    }
}

static double
mean_bytes_per_second(Fleet *f, CaroTime duration)
{
    double sum = 0.0;
    for (int i = 0; i < f->n; i++) {
        sum += (double)f->bytes[i];
    }
    return sum / f->n / ((double)duration / CARO_SECOND);
}

/* Returns how many other VMs that are up list the VM as usable. */
static int
count_listing_vms(const Fleet *f, int vm)
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

/* Runs until no VM that is up lists one that is down and, with
   needs_all_listed, until all list all others that are up.  Stops after
   duration_max; returns the time taken in milliseconds. */
static double
run_until_converged(Fleet *f, bool needs_all_listed, CaroTime duration_max)
{
    CaroTime start = f->now;
    while (f->now - start < duration_max) {
        run_for(f, f->n > 100 ? 100 * MS : 20 * MS);
        bool is_converged = true;
        for (int i = 0; i < f->n && is_converged; i++) {
            int count = count_listing_vms(f, i);
            is_converged = f->is_down[i]
                               ? count == 0
                               : (!needs_all_listed || count == f->n - 1);
        }
        if (is_converged) {
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
    f->loss_rate = 0.005;
    for (int i = 0; i < n; i++) {
        CaroVm *vm = &f->self[i];
        (void)snprintf(vm->name, sizeof(vm->name), "n%03d", i);
        (void)snprintf(vm->http, sizeof(vm->http), "10.0.%d.%d:8100", i / 250,
                       i % 250);
        (void)snprintf(vm->peer, sizeof(vm->peer), "10.0.%d.%d:8101", i / 250,
                       i % 250);
        (void)snprintf(vm->domain, sizeof(vm->domain), "d%d", i % DOMAINS);
        (void)snprintf(vm->region, sizeof(vm->region), "r%d", vm_region(i));
        vm->incarnation = 1000;
        vm->boot_id = (uint64_t)i;
        f->vms[i] =
            CaroMembership_Create(vm, PROBE_INTERVAL, (uint64_t)i + 1, 0);
    }
    caro_member_update *updates = calloc((size_t)n, sizeof(*updates));
    for (int i = 0; i < n; i++) {
        (void)CaroMembership_CollectAll(f->vms[i], &updates[i], 1);
    }
    for (int i = 0; i < n; i++) {
        for (int j = 0; j < n; j++) {
            CaroMembership_ApplyWithoutGossip(f->vms[i], &updates[j], 0);
        }
        CaroMembershipEvent e;
        while (CaroMembership_Next(f->vms[i], &e)) {
            continue;
        }
    }
    free(updates);
    run_for(f, 20 * CARO_SECOND);
    f->false_suspicions = 0;
    f->false_deaths = 0;
    return f;
}

static void
free_fleet(Fleet *f)
{
    for (int i = 0; i < DELAY_SLOTS; i++) {
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
    double bytes = mean_bytes_per_second(f, 30 * CARO_SECOND);
    (void)printf("  steady        %6.0f bytes/s a VM, false suspicions %ld, "
                 "false deaths %ld\n",
                 bytes, f->false_suspicions, f->false_deaths);
    Bench_Check(bytes <= BYTES_PER_SECOND_MAX, "bytes of membership");
    Bench_Check(f->false_deaths == 0, "a VM that was up was declared dead");
}

static void
measure_config(Fleet *f)
{
    CaroTime start = f->now;
    bool is_everywhere = false;
    f->revision[0] = 42;
    send_heartbeats(f, 0);
    while (!is_everywhere && f->now - start < 20 * CARO_SECOND) {
        run_for(f, 10 * MS);
        is_everywhere = true;
        for (int i = 0; i < f->n; i++) {
            is_everywhere = is_everywhere && f->revision[i] == 42;
        }
    }
    double ms = (double)(f->now - start) / MS;
    (void)printf("  configuration in force on all after %.0f ms\n", ms);
    Bench_Check(ms <= CONFIG_SPREAD_MS_MAX,
                "a configuration in force everywhere");
}

static void
measure_losses(Fleet *f)
{
    f->is_down[1] = true;
    double one_ms = run_until_converged(f, false, 20 * CARO_SECOND);
    (void)printf("  one dead      unlisted everywhere after %5.0f ms\n",
                 one_ms);
    Bench_Check(one_ms <= UNLIST_MS_MAX, "a dead VM in answers");
    run_for(f, 10 * CARO_SECOND);
    f->false_deaths = 0;
    for (int i = 0; i < f->n; i += 3) {
        f->is_down[i] = true;
    }
    memset(f->bytes, 0, sizeof(f->bytes));
    double third_ms = run_until_converged(f, false, 60 * CARO_SECOND);
    CaroTime duration = (CaroTime)third_ms * MS;
    (void)printf("  a third dead  unlisted everywhere after %5.0f ms, false "
                 "deaths %ld, %.0f bytes/s a VM\n",
                 third_ms, f->false_deaths,
                 mean_bytes_per_second(f, duration));
    Bench_Check(f->false_deaths == 0, "a VM that was up was declared dead");
    for (int i = 0; i < f->n; i++) {
        f->is_down[i] = false;
    }
    /* The VMs return as after a long pause, with their old member tables. */
    double relist_ms = run_until_converged(f, true, 120 * CARO_SECOND);
    (void)printf("  all return    listed everywhere after   %5.0f ms\n",
                 relist_ms);
    Bench_Check(relist_ms < 60000.0, "returned VMs are listed");
}

static void
measure_leave(Fleet *f)
{
    CaroTime start = f->now;
    CaroMembership_Leave(f->vms[2], f->now);
    handle_events(f, 2);
    send_heartbeats(f, 2);
    send_heartbeats(f, 2);
    while (count_listing_vms(f, 2) > 0 && f->now - start < 20 * CARO_SECOND) {
        run_for(f, 10 * MS);
    }
    double ms = (double)(f->now - start) / MS;
    (void)printf("  one leaves    unlisted everywhere after %5.0f ms\n", ms);
    Bench_Check(ms <= UNLIST_MS_MAX, "a leaving VM in answers");
}

static void
measure_partitions(Fleet *f)
{
    f->has_one_way_losses = true;
    f->false_deaths = 0;
    run_for(f, 30 * CARO_SECOND);
    (void)printf("  one-way cuts  in 1 of 50 pairs: false deaths %ld\n",
                 f->false_deaths);
    Bench_Check(f->false_deaths == 0, "one-way cuts killed a VM");
    f->has_one_way_losses = false;
    run_for(f, 10 * CARO_SECOND);
    f->are_regions_partitioned = true;
    run_for(f, 60 * CARO_SECOND);
    int own_listed = 0;
    int own_total = 0;
    for (int i = 0; i < f->n; i++) {
        for (int j = 0; j < f->n; j++) {
            if (i != j && vm_region(i) == vm_region(j)) {
                CaroHandle h = CaroMembership_Find(f->vms[i], f->self[j].name);
                own_listed += CaroMembership_IsUsable(f->vms[i], h);
                own_total++;
            }
        }
    }
    f->are_regions_partitioned = false;
    double healed_ms = run_until_converged(f, true, 120 * CARO_SECOND);
    (void)printf("  regions cut   60 s: %.2f%% of the own region stay listed; "
                 "healed after %.0f ms\n",
                 100.0 * own_listed / own_total, healed_ms);
    Bench_Check(own_listed == own_total,
                "a region cut removed VMs of the own region");
    Bench_Check(healed_ms < 60000.0, "the fleet heals after a region cut");
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
                     (long long)(PROBE_INTERVAL / MS));
        Fleet *f = create_fleet(sizes[i]);
        measure_steady(f);
        measure_config(f);
        measure_leave(f);
        free_fleet(f);
        f = create_fleet(sizes[i]);
        measure_losses(f);
        free_fleet(f);
        f = create_fleet(sizes[i]);
        measure_partitions(f);
        free_fleet(f);
    }
    return Bench_FinishChecks();
}
