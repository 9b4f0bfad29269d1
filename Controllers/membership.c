/*
 * Membership by random probing, with indirect probes and suspicion.
 *
 * Invariants:
 *   - An update with a higher incarnation wins; among equals the one with
 *     the greater state (alive < suspect < leaving < dead) wins.
 *   - Only a VM itself raises its incarnation, to refute a suspicion.
 *   - Members are probed in a random order, each once in a round, so that
 *     the time to the first probe of a failed VM is bounded.
 *   - A handle stays valid until its VM has been dead longest of all in a
 *     full table; only then is its entry reused for another VM.
 *
 * If many members seem to fail at once, the fault may be at this VM.  Each
 * missing answer therefore raises this VM's health score, and its timeouts
 * grow in proportion to the score.
 */
#include "internal/caro_membership.h"

#include "internal/caro_router.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

enum {
    EVENTS_MAX = 4096,
    URGENT_FANOUT = 4, /* Members that get an urgent update at once. */
    HEALTH_SCORE_MAX = 8,
    /* An update is sent at least GOSSIP_FACTOR * log2(n) times, and for at
       least GOSSIP_PERIODS_MIN periods. */
    GOSSIP_FACTOR = 2,
    GOSSIP_PERIODS_MIN = 4,
    /* A suspected VM is declared dead after SUSPICION_FACTOR * log2(n)
       periods. */
    SUSPICION_FACTOR = 2,
    DEAD_PROBE_INTERVAL = 8 /* Periods between two probes of dead VMs. */
};

typedef struct {
    CaroVm vm;
    int times_sent;         /* How often its latest update was sent. */
    bool is_gossip_pending; /* Its latest update is still to be gossiped. */
    CaroTime updated_at;    /* When that update came. */
    CaroTime last_heard_at;
    CaroTime distrusted_until; /* See CaroMembership_Distrust. */
    UT_hash_handle hh;         /* By name. */
} Member;

typedef struct {
    CaroHandle target;
    CaroTime sent;
    bool is_pending;
    bool is_indirect; /* Other VMs were asked to probe as well. */
} Probe;

struct CaroMembership {
    Member members[CARO_VMS_MAX];
    Member *by_name;
    int n_gossip_pending; /* Members with updates still to be gossiped. */
    int n;
    CaroTime period;
    CaroTime next_probe_at;
    CaroTime last_tick;
    bool has_urgent_update; /* To be sent at once, not only with probes. */
    CaroTime next_urgent_send_at;
    CaroHandle requested_probe; /* Set by ProbeNext, or CARO_NO_HANDLE. */
    Probe probe;
    int health_score; /* 0 while this VM gets all answers in time. */
    uint64_t rng;
    CaroHandle order[CARO_VMS_MAX]; /* Members to probe in this round. */
    int n_order;
    int next_in_order;
    uint32_t periods;
    CaroMembershipEvent events[EVENTS_MAX];
    uint32_t first_event;
    uint32_t n_events;
};

static void
push_event(CaroMembership *m, CaroMembershipEvent event)
{
    if (m->n_events == EVENTS_MAX) {
        return;
    }
    m->events[(m->first_event + m->n_events) % EVENTS_MAX] = event;
    m->n_events++;
}

static int
log2_of(int n)
{
    int bits = 1;
    while (n > 1) {
        n /= 2;
        bits++;
    }
    return bits;
}

static void
set_state(CaroMembership *m, CaroHandle h, caro_member_state state,
          CaroTime now)
{
    Member *e = &m->members[h];
    caro_member_state before = e->vm.state;
    e->times_sent = 0;
    e->updated_at = now;
    m->n_gossip_pending += !e->is_gossip_pending;
    e->is_gossip_pending = true;
    if (before == state) {
        return;
    }
    e->vm.state = state;
    e->vm.state_since = now;
    if (state == CARO_MEMBER_LEAVING || state == CARO_MEMBER_ALIVE) {
        e->vm.has_left = state == CARO_MEMBER_LEAVING;
    }
    m->has_urgent_update = true;
    CaroMembershipEvent event = {.kind = CARO_MEMBER_CHANGED, .vm = h};
    event.before = before;
    push_event(m, event);
}

/* Frees the entry of the VM that has been dead longest.  Returns its handle,
   or CARO_NO_HANDLE if none is dead. */
static CaroHandle
evict_longest_dead(CaroMembership *m)
{
    CaroHandle oldest = CARO_NO_HANDLE;
    for (CaroHandle h = 1; h < m->n; h++) {
        const Member *e = &m->members[h];
        if (e->vm.state == CARO_MEMBER_DEAD &&
            (oldest == CARO_NO_HANDLE ||
             e->vm.state_since < m->members[oldest].vm.state_since)) {
            oldest = h;
        }
    }
    if (oldest != CARO_NO_HANDLE) {
        Member *e = &m->members[oldest];
        HASH_DEL(m->by_name, e);
        m->n_gossip_pending -= e->is_gossip_pending;
    }
    return oldest;
}

static CaroHandle
add_member(CaroMembership *m, const CaroVm *vm, CaroTime now)
{
    CaroHandle h = m->n < CARO_VMS_MAX ? m->n : evict_longest_dead(m);
    if (h == CARO_NO_HANDLE) {
        return CARO_NO_HANDLE;
    }
    Member *e = &m->members[h];
    memset(e, 0, sizeof(*e));
    e->vm = *vm;
    e->vm.state_since = now;
    e->last_heard_at = now;
    e->is_gossip_pending = true;
    e->updated_at = now;
    m->n_gossip_pending++;
    HASH_ADD_STR(m->by_name, vm.name, e);
    if (h == m->n) {
        m->n++;
    }
    return h;
}

CaroMembership *
CaroMembership_Create(const CaroVm *self, CaroTime period, uint64_t seed,
                      CaroTime now)
{
    CaroMembership *m = calloc(1, sizeof(*m));
    if (m == NULL) {
        return NULL;
    }
    m->period = period;
    m->rng = seed;
    m->last_tick = now;
    m->next_probe_at =
        now + (CaroTime)(CaroRandom_Next(&m->rng) % (uint64_t)period);
    m->probe.target = CARO_NO_HANDLE;
    m->requested_probe = CARO_NO_HANDLE;
    (void)add_member(m, self, now);
    return m;
}

void
CaroMembership_Destroy(CaroMembership *m)
{
    if (m != NULL) {
        HASH_CLEAR(hh, m->by_name);
    }
    free(m);
}

void
CaroMembership_AddSeed(CaroMembership *m, const CaroVm *vm, CaroTime now)
{
    if (CaroMembership_Find(m, vm->name) != CARO_NO_HANDLE) {
        return;
    }
    CaroHandle h = add_member(m, vm, now);
    if (h != CARO_NO_HANDLE) {
        /* It counts as dead until an update about it arrives.  Any
           update exceeds incarnation 0. */
        m->members[h].vm.incarnation = 0;
        m->members[h].vm.state = CARO_MEMBER_DEAD;
        m->members[h].is_gossip_pending = false;
        m->n_gossip_pending--;
    }
}

static void
set_vm(CaroVm *vm, const caro_member_update *u)
{
    if (strcmp(vm->name, u->name) != 0) {
        CARO_COPY(vm->name, u->name);
    }
    CARO_COPY(vm->http, u->http);
    CARO_COPY(vm->peer, u->peer);
    CARO_COPY(vm->domain, u->domain);
    CARO_COPY(vm->region, u->region);
    vm->incarnation = u->incarnation;
    vm->boot_id = u->boot_id;
    vm->state = u->state;
}

/* Refutes an update about this VM itself with a higher incarnation. */
static bool
apply_to_self(CaroMembership *m, const caro_member_update *u, CaroTime now)
{
    Member *self = &m->members[CARO_SELF];
    if (u->incarnation < self->vm.incarnation ||
        (u->incarnation == self->vm.incarnation &&
         u->state <= self->vm.state)) {
        return false;
    }
    self->vm.incarnation = u->incarnation + 1;
    set_state(m, CARO_SELF, self->vm.state, now);
    if (m->health_score < HEALTH_SCORE_MAX) {
        m->health_score++;
    }
    return true;
}

bool
CaroMembership_Apply(CaroMembership *m, const caro_member_update *u,
                     CaroTime now)
{
    CaroHandle h = CaroMembership_Find(m, u->name);
    if (h == CARO_SELF) {
        return apply_to_self(m, u, now);
    }
    if (h == CARO_NO_HANDLE) {
        CaroVm vm;
        memset(&vm, 0, sizeof(vm));
        set_vm(&vm, u);
        h = add_member(m, &vm, now);
        if (h == CARO_NO_HANDLE) {
            return false;
        }
        CaroMembershipEvent event = {.kind = CARO_MEMBER_CHANGED, .vm = h};
        event.before = CARO_MEMBER_DEAD;
        push_event(m, event);
        return true;
    }
    Member *e = &m->members[h];
    bool is_newer = u->incarnation > e->vm.incarnation;
    bool is_worse =
        u->incarnation == e->vm.incarnation && u->state > e->vm.state;
    if (!is_newer && !is_worse) {
        return false;
    }
    caro_member_state before = e->vm.state;
    set_vm(&e->vm, u);
    e->vm.state = before;
    set_state(m, h, u->state, now);
    return true;
}

void
CaroMembership_ApplyWithoutGossip(CaroMembership *m,
                                  const caro_member_update *u, CaroTime now)
{
    if (!CaroMembership_Apply(m, u, now)) {
        return;
    }
    CaroHandle h = CaroMembership_Find(m, u->name);
    if (h != CARO_SELF && m->members[h].is_gossip_pending) {
        m->members[h].is_gossip_pending = false;
        m->n_gossip_pending--;
    }
}

void
CaroMembership_RecordHeard(CaroMembership *m, const char *name, CaroTime now)
{
    CaroHandle h = CaroMembership_Find(m, name);
    if (h == CARO_NO_HANDLE) {
        return;
    }
    m->members[h].last_heard_at = now;
    if (m->probe.is_pending && m->probe.target == h) {
        m->probe.is_pending = false;
        if (m->health_score > 0) {
            m->health_score--;
        }
    }
}

/* Starts a new round: all members in a random order. */
static void
shuffle_order(CaroMembership *m)
{
    m->n_order = 0;
    m->next_in_order = 0;
    for (CaroHandle h = 1; h < m->n; h++) {
        m->order[m->n_order++] = h;
    }
    for (int i = m->n_order - 1; i > 0; i--) {
        int j = (int)(CaroRandom_Next(&m->rng) % (uint64_t)(i + 1));
        CaroHandle swap = m->order[i];
        m->order[i] = m->order[j];
        m->order[j] = swap;
    }
}

/* Returns the next member to probe.  Dead members are probed at a longer
   interval, to detect their return. */
static CaroHandle
next_target(CaroMembership *m)
{
    bool probes_dead = m->periods % DEAD_PROBE_INTERVAL == 0;
    for (int i = 0; i < 2 * m->n; i++) {
        if (m->next_in_order >= m->n_order) {
            shuffle_order(m);
            if (m->n_order == 0) {
                return CARO_NO_HANDLE;
            }
        }
        CaroHandle h = m->order[m->next_in_order++];
        bool is_dead = m->members[h].vm.state == CARO_MEMBER_DEAD;
        if (is_dead == probes_dead) {
            return h;
        }
    }
    return probes_dead
               ? CARO_NO_HANDLE
               : m->order[CaroRandom_Next(&m->rng) % (uint64_t)m->n_order];
}

static void
send_probe(CaroMembership *m, CaroHandle h, CaroTime now)
{
    CaroMembershipEvent event = {.kind = CARO_SEND_PROBE, .vm = h};
    push_event(m, event);
    m->probe.target = h;
    m->probe.sent = now;
    m->probe.is_pending = true;
    m->probe.is_indirect = false;
}

static void
request_indirect_probes(CaroMembership *m)
{
    int wanted = CARO_INDIRECT_PROBERS_MAX;
    for (int tries = 0; tries < 8 * CARO_INDIRECT_PROBERS_MAX && wanted > 0;
         tries++) {
        CaroHandle h = (CaroHandle)(CaroRandom_Next(&m->rng) % (uint64_t)m->n);
        if (h == CARO_SELF || h == m->probe.target ||
            m->members[h].vm.state == CARO_MEMBER_DEAD) {
            continue;
        }
        CaroMembershipEvent event = {.kind = CARO_SEND_INDIRECT_PROBE,
                                     .vm = h};
        event.target = m->probe.target;
        push_event(m, event);
        wanted--;
    }
    m->probe.is_indirect = true;
}

/* Handles a probe that got no answer within its timeout. */
static void
fail_probe(CaroMembership *m, CaroTime now)
{
    CaroHandle h = m->probe.target;
    m->probe.is_pending = false;
    if (m->members[h].vm.state == CARO_MEMBER_DEAD) {
        return;
    }
    if (m->health_score < HEALTH_SCORE_MAX) {
        m->health_score++;
    }
    if (m->members[h].vm.state == CARO_MEMBER_ALIVE) {
        set_state(m, h, CARO_MEMBER_SUSPECT, now);
    }
}

static void
expire_suspicions(CaroMembership *m, CaroTime now)
{
    /* A refutation takes a number of periods to spread that grows with the
       logarithm of the fleet size. */
    CaroTime periods = SUSPICION_FACTOR * log2_of(m->n);
    CaroTime timeout = m->period * periods * (1 + m->health_score / 2);
    for (CaroHandle h = 1; h < m->n; h++) {
        Member *e = &m->members[h];
        bool may_expire = e->vm.state == CARO_MEMBER_SUSPECT ||
                          e->vm.state == CARO_MEMBER_LEAVING;
        if (may_expire && now - e->vm.state_since >= timeout &&
            now - e->last_heard_at >= timeout) {
            set_state(m, h, CARO_MEMBER_DEAD, now);
        }
    }
}

/* Excludes a suspension of this process from all waits, since missing answers
   prove nothing while it lasts. */
static void
exclude_own_pause(CaroMembership *m, CaroTime now)
{
    CaroTime pause = now - m->last_tick - m->period;
    if (pause <= 0) {
        return;
    }
    m->probe.is_pending = false;
    for (CaroHandle h = 1; h < m->n; h++) {
        m->members[h].vm.state_since += pause;
        m->members[h].last_heard_at += pause;
    }
}

/* Sends new updates to a few members at once; each of these does the same. */
static void
send_urgent_updates(CaroMembership *m, CaroTime now)
{
    if (!m->has_urgent_update || now < m->next_urgent_send_at) {
        return;
    }
    m->has_urgent_update = false;
    /* With more updates than a message holds, sending sooner does not make
       them spread faster. */
    bool has_backlog = m->n_gossip_pending > CARO_UPDATES_MAX;
    m->next_urgent_send_at = now + (has_backlog ? m->period : m->period / 4);
    int wanted = URGENT_FANOUT;
    for (int tries = 0; tries < 8 * URGENT_FANOUT && wanted > 0; tries++) {
        CaroHandle h = (CaroHandle)(CaroRandom_Next(&m->rng) % (uint64_t)m->n);
        if (h != CARO_SELF && m->members[h].vm.state == CARO_MEMBER_ALIVE) {
            CaroMembershipEvent event = {.kind = CARO_SEND_PROBE, .vm = h};
            push_event(m, event);
            wanted--;
        }
    }
}

void
CaroMembership_Tick(CaroMembership *m, CaroTime now)
{
    exclude_own_pause(m, now);
    m->last_tick = now;
    CaroTime timeout = m->period * (1 + m->health_score);
    if (m->probe.is_pending && !m->probe.is_indirect &&
        now - m->probe.sent >= timeout / 3) {
        request_indirect_probes(m);
    }
    if (m->probe.is_pending && now - m->probe.sent >= timeout) {
        fail_probe(m, now);
    }
    expire_suspicions(m, now);
    send_urgent_updates(m, now);
    if (m->probe.is_pending ||
        (now < m->next_probe_at && m->requested_probe == CARO_NO_HANDLE)) {
        return;
    }
    m->next_probe_at = now + m->period;
    m->periods++;
    CaroHandle h = m->requested_probe;
    m->requested_probe = CARO_NO_HANDLE;
    if (h == CARO_NO_HANDLE) {
        h = next_target(m);
    }
    if (h != CARO_NO_HANDLE) {
        send_probe(m, h, now);
    }
}

bool
CaroMembership_Next(CaroMembership *m, CaroMembershipEvent *event)
{
    if (m->n_events == 0) {
        return false;
    }
    *event = m->events[m->first_event];
    m->first_event = (m->first_event + 1) % EVENTS_MAX;
    m->n_events--;
    return true;
}

static void
fill_update(const CaroVm *vm, caro_member_update *u)
{
    u->name = (char *)vm->name;
    u->http = (char *)vm->http;
    u->peer = (char *)vm->peer;
    u->domain = (char *)vm->domain;
    u->region = (char *)vm->region;
    u->incarnation = vm->incarnation;
    u->boot_id = vm->boot_id;
    u->state = vm->state;
}

/* Returns the member whose update was sent least often and is not yet in the
   message, or CARO_NO_HANDLE. */
static CaroHandle
find_least_sent(const CaroMembership *m, const bool *is_included)
{
    CaroHandle best = CARO_NO_HANDLE;
    for (CaroHandle h = 1; h < m->n && m->n_gossip_pending > 0; h++) {
        const Member *e = &m->members[h];
        if (!e->is_gossip_pending || is_included[h]) {
            continue;
        }
        if (best == CARO_NO_HANDLE ||
            e->times_sent < m->members[best].times_sent) {
            best = h;
        }
    }
    return best;
}

int
CaroMembership_CollectGossip(CaroMembership *m, CaroHandle vm,
                             caro_member_update *updates)
{
    bool is_included[CARO_VMS_MAX] = {false};
    int sends_min = GOSSIP_FACTOR * log2_of(m->n);
    int n = 0;
    fill_update(&m->members[CARO_SELF].vm, &updates[n++]);
    /* A VM that counts as suspect or dead gets that update, so that it can
       refute it. */
    if (vm > 0 && m->members[vm].vm.incarnation > 0 &&
        m->members[vm].vm.state != CARO_MEMBER_ALIVE) {
        fill_update(&m->members[vm].vm, &updates[n++]);
        is_included[vm] = true;
    }
    while (n < CARO_UPDATES_MAX) {
        CaroHandle h = find_least_sent(m, is_included);
        if (h == CARO_NO_HANDLE) {
            break;
        }
        Member *e = &m->members[h];
        is_included[h] = true;
        e->times_sent++;
        if (e->times_sent >= sends_min &&
            m->last_tick - e->updated_at >= GOSSIP_PERIODS_MIN * m->period) {
            e->is_gossip_pending = false;
            m->n_gossip_pending--;
        }
        fill_update(&e->vm, &updates[n++]);
    }
    return n;
}

int
CaroMembership_CollectAll(CaroMembership *m, caro_member_update *updates,
                          int updates_max)
{
    int n = 0;
    for (CaroHandle h = 0; h < m->n && n < updates_max; h++) {
        if (m->members[h].vm.incarnation > 0) {
            fill_update(&m->members[h].vm, &updates[n++]);
        }
    }
    return n;
}

void
CaroMembership_Leave(CaroMembership *m, CaroTime now)
{
    m->members[CARO_SELF].vm.incarnation++;
    set_state(m, CARO_SELF, CARO_MEMBER_LEAVING, now);
}

int
CaroMembership_Count(const CaroMembership *m)
{
    return m->n;
}

const CaroVm *
CaroMembership_Get(const CaroMembership *m, CaroHandle vm)
{
    assert(vm >= 0 && vm < m->n);
    return &m->members[vm].vm;
}

CaroHandle
CaroMembership_Find(const CaroMembership *m, const char *name)
{
    Member *e;
    HASH_FIND_STR(m->by_name, name, e);
    return e == NULL ? CARO_NO_HANDLE : (CaroHandle)(e - m->members);
}

int
CaroMembership_Rank(const CaroMembership *m)
{
    int rank = 0;
    const char *own = m->members[CARO_SELF].vm.name;
    for (CaroHandle vm = 1; vm < m->n; vm++) {
        if (CaroMembership_IsUsable(m, vm) &&
            strcmp(m->members[vm].vm.name, own) < 0) {
            rank++;
        }
    }
    return rank;
}

bool
CaroMembership_IsUsable(const CaroMembership *m, CaroHandle vm)
{
    return m->members[vm].vm.state == CARO_MEMBER_ALIVE;
}

void
CaroMembership_ProbeNext(CaroMembership *m, CaroHandle vm)
{
    m->requested_probe = vm;
}

void
CaroMembership_Distrust(CaroMembership *m, CaroHandle vm, CaroTime until)
{
    m->members[vm].distrusted_until = until;
}

bool
CaroMembership_IsTrusted(const CaroMembership *m, CaroHandle vm, CaroTime now)
{
    return CaroMembership_IsUsable(m, vm) &&
           now >= m->members[vm].distrusted_until;
}

const char *
CaroMembership_StateName(caro_member_state state)
{
    static const char *const names[] = {"alive", "suspect", "leaving", "dead"};
    return names[state];
}
