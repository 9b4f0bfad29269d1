/*
 * Membership by random probing, with indirect probes and suspicion.
 *
 * Invariants:
 *   - A statement with a higher incarnation wins; among equals the one
 *     with the greater state (alive < suspect < leaving < dead) wins.
 *   - Only a VM itself raises its incarnation, to refute a suspicion.
 *   - Members are probed in a random order, each once in a round, so that
 *     the time to the first probe of a failed VM is bounded.
 *   - A handle stays valid until its VM has been dead longest of all in a
 *     full table; only then is its entry taken for another.
 *
 * When many members fall silent at once, the silence may be our own: a
 * VM that misses answers raises its score, and waits in proportion.
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
    URGENT_FANOUT = 4,
    SCORE_MAX = 8,        /* Largest doubt about ourselves. */
    GOSSIP_FACTOR = 2,    /* Times log2(n) that news is told, and */
    TELL_PERIODS = 4,     /* for so many periods at least. */
    SUSPICION_FACTOR = 2, /* Times log2(n) periods from suspicion to death. */
    DEAD_PROBE_EVERY = 8  /* Each so many periods a dead VM is probed. */
};

typedef struct {
    CaroVm vm;
    int tellings;     /* How often the latest news was passed on. */
    bool is_told;     /* News stands to be told. */
    CaroTime news_at; /* When the latest news came. */
    CaroTime heard;
    CaroTime doubted_until; /* A message failed; see Doubt. */
    UT_hash_handle hh;      /* By name. */
} Member;

typedef struct {
    CaroHandle target;
    CaroTime sent;
    bool is_open;
    bool is_indirect;
} Probe;

struct CaroMembership {
    Member members[CARO_VMS_MAX];
    Member *by_name;
    int n_news; /* Members whose news stand to be told. */
    int n;
    CaroTime period;
    CaroTime next_probe;
    CaroTime last_tick;
    bool has_urgent_news; /* Told to a few at once, not by probes only. */
    CaroTime next_urgent;
    CaroHandle hinted; /* To be probed next, or no handle. */
    Probe probe;
    int score;
    uint64_t rng;
    CaroHandle order[CARO_VMS_MAX];
    int n_order;
    int at_order;
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
    e->tellings = 0;
    e->news_at = now;
    m->n_news += !e->is_told;
    e->is_told = true;
    if (before == state) {
        return;
    }
    e->vm.state = state;
    e->vm.since = now;
    m->has_urgent_news = true;
    CaroMembershipEvent event = {.kind = CARO_MEMBER_CHANGED, .vm = h};
    event.before = before;
    push_event(m, event);
}

/* Frees the entry of the VM that has been dead longest, in a full table. */
static CaroHandle
forget_longest_dead(CaroMembership *m)
{
    CaroHandle oldest = CARO_NO_HANDLE;
    for (CaroHandle h = 1; h < m->n; h++) {
        const Member *e = &m->members[h];
        if (e->vm.state == CARO_MEMBER_DEAD &&
            (oldest == CARO_NO_HANDLE ||
             e->vm.since < m->members[oldest].vm.since)) {
            oldest = h;
        }
    }
    if (oldest != CARO_NO_HANDLE) {
        Member *e = &m->members[oldest];
        HASH_DEL(m->by_name, e);
        m->n_news -= e->is_told;
    }
    return oldest;
}

static CaroHandle
add_member(CaroMembership *m, const CaroVm *vm, CaroTime now)
{
    CaroHandle h = m->n < CARO_VMS_MAX ? m->n : forget_longest_dead(m);
    if (h == CARO_NO_HANDLE) {
        return CARO_NO_HANDLE;
    }
    Member *e = &m->members[h];
    memset(e, 0, sizeof(*e));
    e->vm = *vm;
    e->vm.since = now;
    e->heard = now;
    e->is_told = true;
    e->news_at = now;
    m->n_news++;
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
    m->next_probe =
        now + (CaroTime)(CaroRandom_Next(&m->rng) % (uint64_t)period);
    m->probe.target = CARO_NO_HANDLE;
    m->hinted = CARO_NO_HANDLE;
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
        /* It counts as dead until it is heard; incarnation 0 is the least. */
        m->members[h].vm.incarnation = 0;
        m->members[h].vm.state = CARO_MEMBER_DEAD;
        m->members[h].is_told = false;
        m->n_news--;
    }
}

static void
fill_vm(CaroVm *vm, const caro_member_update *u)
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

/* News about this VM itself: refuted by a higher incarnation. */
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
    if (m->score < SCORE_MAX) {
        m->score++;
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
        fill_vm(&vm, u);
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
    fill_vm(&e->vm, u);
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
    if (h != CARO_SELF && m->members[h].is_told) {
        m->members[h].is_told = false;
        m->n_news--;
    }
}

void
CaroMembership_RecordHeard(CaroMembership *m, const char *name, CaroTime now)
{
    CaroHandle h = CaroMembership_Find(m, name);
    if (h == CARO_NO_HANDLE) {
        return;
    }
    m->members[h].heard = now;
    if (m->probe.is_open && m->probe.target == h) {
        m->probe.is_open = false;
        if (m->score > 0) {
            m->score--;
        }
    }
}

/* Starts a new round: all members in a random order. */
static void
shuffle_order(CaroMembership *m)
{
    m->n_order = 0;
    m->at_order = 0;
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

/* Next member to probe: the dead only now and then, to find their return. */
static CaroHandle
next_target(CaroMembership *m)
{
    bool is_for_dead = m->periods % DEAD_PROBE_EVERY == 0;
    for (int i = 0; i < 2 * m->n; i++) {
        if (m->at_order >= m->n_order) {
            shuffle_order(m);
            if (m->n_order == 0) {
                return CARO_NO_HANDLE;
            }
        }
        CaroHandle h = m->order[m->at_order++];
        bool is_dead = m->members[h].vm.state == CARO_MEMBER_DEAD;
        if (is_dead == is_for_dead) {
            return h;
        }
    }
    return is_for_dead
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
    m->probe.is_open = true;
    m->probe.is_indirect = false;
}

static void
ask_helpers(CaroMembership *m)
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

/* The probe's period ended without an answer. */
static void
fail_probe(CaroMembership *m, CaroTime now)
{
    CaroHandle h = m->probe.target;
    m->probe.is_open = false;
    if (m->members[h].vm.state == CARO_MEMBER_DEAD) {
        return;
    }
    if (m->score < SCORE_MAX) {
        m->score++;
    }
    if (m->members[h].vm.state == CARO_MEMBER_ALIVE) {
        set_state(m, h, CARO_MEMBER_SUSPECT, now);
    }
}

static void
expire_suspicions(CaroMembership *m, CaroTime now)
{
    /* A refutation needs the logarithm of the fleet in periods to spread. */
    CaroTime periods = SUSPICION_FACTOR * log2_of(m->n);
    CaroTime wait = m->period * periods * (1 + m->score / 2);
    for (CaroHandle h = 1; h < m->n; h++) {
        Member *e = &m->members[h];
        bool is_waiting = e->vm.state == CARO_MEMBER_SUSPECT ||
                          e->vm.state == CARO_MEMBER_LEAVING;
        if (is_waiting && now - e->vm.since >= wait &&
            now - e->heard >= wait) {
            set_state(m, h, CARO_MEMBER_DEAD, now);
        }
    }
}

/* After a stop of this process no wait that spans it proves anything. */
static void
forgive_pause(CaroMembership *m, CaroTime now)
{
    CaroTime pause = now - m->last_tick - m->period;
    if (pause <= 0) {
        return;
    }
    m->probe.is_open = false;
    for (CaroHandle h = 1; h < m->n; h++) {
        m->members[h].vm.since += pause;
        m->members[h].heard += pause;
    }
}

/* Passes fresh news to a few members; each that learns it does the same. */
static void
tell_urgent_news(CaroMembership *m, CaroTime now)
{
    if (!m->has_urgent_news || now < m->next_urgent) {
        return;
    }
    m->has_urgent_news = false;
    /* With more news than a message holds, haste would only cost. */
    bool is_storm = m->n_news > CARO_UPDATES_MAX;
    m->next_urgent = now + (is_storm ? m->period : m->period / 4);
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
    forgive_pause(m, now);
    m->last_tick = now;
    CaroTime patience = m->period * (1 + m->score);
    if (m->probe.is_open && !m->probe.is_indirect &&
        now - m->probe.sent >= patience / 3) {
        ask_helpers(m);
    }
    if (m->probe.is_open && now - m->probe.sent >= patience) {
        fail_probe(m, now);
    }
    expire_suspicions(m, now);
    tell_urgent_news(m, now);
    if (m->probe.is_open ||
        (now < m->next_probe && m->hinted == CARO_NO_HANDLE)) {
        return;
    }
    m->next_probe = now + m->period;
    m->periods++;
    CaroHandle h = m->hinted;
    m->hinted = CARO_NO_HANDLE;
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

/* Index of the news told least often that is not yet in the message. */
static CaroHandle
freshest_news(const CaroMembership *m, const bool *is_taken)
{
    CaroHandle best = CARO_NO_HANDLE;
    for (CaroHandle h = 1; h < m->n && m->n_news > 0; h++) {
        const Member *e = &m->members[h];
        if (!e->is_told || is_taken[h]) {
            continue;
        }
        if (best == CARO_NO_HANDLE ||
            e->tellings < m->members[best].tellings) {
            best = h;
        }
    }
    return best;
}

int
CaroMembership_CollectGossip(CaroMembership *m, CaroHandle vm,
                             caro_member_update *updates)
{
    bool is_taken[CARO_VMS_MAX] = {false};
    int most_tellings = GOSSIP_FACTOR * log2_of(m->n);
    int n = 0;
    fill_update(&m->members[CARO_SELF].vm, &updates[n++]);
    /* A VM that is held to be suspect or dead is told so, to refute it. */
    if (vm > 0 && m->members[vm].vm.incarnation > 0 &&
        m->members[vm].vm.state != CARO_MEMBER_ALIVE) {
        fill_update(&m->members[vm].vm, &updates[n++]);
        is_taken[vm] = true;
    }
    while (n < CARO_UPDATES_MAX) {
        CaroHandle h = freshest_news(m, is_taken);
        if (h == CARO_NO_HANDLE) {
            break;
        }
        Member *e = &m->members[h];
        is_taken[h] = true;
        e->tellings++;
        if (e->tellings >= most_tellings &&
            m->last_tick - e->news_at >= TELL_PERIODS * m->period) {
            e->is_told = false;
            m->n_news--;
        }
        fill_update(&e->vm, &updates[n++]);
    }
    return n;
}

int
CaroMembership_CollectAll(CaroMembership *m, caro_member_update *updates,
                          int most)
{
    int n = 0;
    for (CaroHandle h = 0; h < m->n && n < most; h++) {
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
    m->hinted = vm;
}

void
CaroMembership_Distrust(CaroMembership *m, CaroHandle vm, CaroTime until)
{
    m->members[vm].doubted_until = until;
}

bool
CaroMembership_IsTrusted(const CaroMembership *m, CaroHandle vm, CaroTime now)
{
    return CaroMembership_IsUsable(m, vm) &&
           now >= m->members[vm].doubted_until;
}

const char *
CaroMembership_StateName(caro_member_state state)
{
    static const char *const names[] = {"alive", "suspect", "leaving", "dead"};
    return names[state];
}
