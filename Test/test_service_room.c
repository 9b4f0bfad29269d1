/*
 * Tests of admission to services short of room: fleets of VMs on virtual time,
 * whose callers ask for more than the servers run.  Each scenario also runs
 * with the rule that it replaces, choice by load and another try on each
 * rejection.
 */
#include "test.h"

#include "internal/caro_placement.h"
#include "internal/caro_service_room.h"

#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define S CARO_SECOND
#define MS CARO_MS
#define TICK_INTERVAL (20 * MS)
#define SERVICE_TIME (30 * MS)
#define WAY_TIME (1 * MS)
#define REPORT_TIME (2 * MS)
#define OBJECTIVE (150 * MS)
#define CALLER_TIMEOUT (1500 * MS)
#define ROUTE_TIMEOUT (800 * MS)
/* An upstream that is lost is removed from the table after this. */
#define LEASE_TIME (3600 * MS)
#define WARM_UP (3 * S)
/* Requests of so long a time count. */
#define MEASURED (8 * S)
/* After the loss of a server the capacity follows within a second; requests of
   the time from EVENT_SETTLING to EVENT_SETTLED after it show that. */
#define EVENT_AT (WARM_UP + 2 * S)
#define EVENT_SETTLING (1200 * MS)
#define EVENT_SETTLED (5 * S)
/* Inversions of priorities are counted in each such time. */
#define SLICE (250 * MS)
/* Requests a second that the servers run. */
#define CAPACITY 600.0

enum {
    VMS_MAX = 295,
    SERVERS = 3,
    SLOTS = 6,
    QUEUE = 24,
    PRIORITIES = 3,
    ACCOUNTS = 40,
    LARGE_ACCOUNTS = 3, /* They have 60% of the requests. */
    TRIES_MAX = 24,
    SLICES_MAX = 256
};

typedef enum {
    OBEY,   /* Callers obey Retry-After. */
    AT_ONCE /* Callers repeat at once. */
} CallerKind;

typedef struct {
    int vms;
    double load; /* Of CAPACITY. */
    CallerKind callers;
    bool has_room_rule;
    CaroTime lost_at;   /* Server 0 is lost; 0: it is not. */
    CaroTime slow_at;   /* Server 0 takes twice the time; 0: it does not. */
    CaroTime cut_at;    /* VM 0 gets and sends no reports; 0: it does. */
    bool has_no_figure; /* Servers send three figures. */
    unsigned long seed;
} Scenario;

typedef struct {
    int arrivals;
    int in_time;
    int late;
    int refused;
    int lost;
} Counts;

typedef struct {
    Counts all;
    Counts by_priority[PRIORITIES];
    Counts large; /* Of the accounts, priority 1 alone. */
    Counts small;
    int rejections;
    int inversions;
    int served;
    long reports;
    double goodput; /* A second. */
    int held;
    /* In the time after a server was lost or slowed down. */
    Counts after_event;
    int rejections_after_event;
    int sent_by_first_vm; /* To servers, at the first try. */
    int sent;
} Result;

typedef struct {
    CaroTime started_at; /* By its caller. */
    CaroTime accepted_at;
    CaroTime caller_time;
    CaroTime deadline;
    CaroTime sent_at;
    int vm;
    int server;
    int priority;
    int account;
    bool is_repeat;
    bool is_measured;
    bool is_after_event;
    int tries;
    CaroPlacementQuery query;
} Order;

typedef enum {
    EVENT_ARRIVAL,
    EVENT_REPEAT,
    EVENT_AT_SERVER,
    EVENT_RUN,
    EVENT_ANSWER,
    EVENT_REJECTED,
    EVENT_UNSENT,
    EVENT_HOLD_END,
    EVENT_TICK,
    EVENT_REPORT
} EventKind;

typedef struct {
    CaroTime at;
    long sequence;
    EventKind kind;
    int index;
    void *what;
    int running;
    int waiting;
} Event;

typedef struct {
    Order *running[SLOTS];
    int n_running;
    Order *queue[QUEUE];
    int n_queue;
    double factor;
    bool is_lost;
} Server;

typedef struct {
    CaroTargets *targets;
    CaroServiceRoom *room;
    char name[16];
    uint32_t sequence;
    bool is_cut;
} Vm;

typedef struct {
    CaroRoomReport out;
    int from;
} Delivery;

typedef struct {
    Scenario s;
    Vm vm[VMS_MAX];
    Server server[SERVERS];
    Event *heap;
    size_t n_heap;
    size_t heap_size;
    long sequence;
    CaroTime now;
    CaroTime start;
    gsl_rng *rng;
    Result result;
    int served_in[SLICES_MAX][PRIORITIES];
    int refused_in[SLICES_MAX][PRIORITIES];
} World;

static World world;

static void
push(World *w, Event e)
{
    if (w->n_heap == w->heap_size) {
        w->heap_size = w->heap_size == 0 ? 1024 : 2 * w->heap_size;
        w->heap = realloc(w->heap, w->heap_size * sizeof(*w->heap));
        assert_non_null(w->heap);
    }
    e.sequence = w->sequence++;
    size_t i = w->n_heap++;
    while (i > 0) {
        const Event *up = &w->heap[(i - 1) / 2];
        if (up->at < e.at || (up->at == e.at && up->sequence < e.sequence)) {
            break;
        }
        w->heap[i] = *up;
        i = (i - 1) / 2;
    }
    w->heap[i] = e;
}

static bool
is_before(const Event *a, const Event *b)
{
    return a->at < b->at || (a->at == b->at && a->sequence < b->sequence);
}

static Event
pop(World *w)
{
    Event top = w->heap[0];
    Event last = w->heap[--w->n_heap];
    size_t i = 0;
    for (;;) {
        size_t child = 2 * i + 1;
        if (child >= w->n_heap) {
            break;
        }
        if (child + 1 < w->n_heap &&
            is_before(&w->heap[child + 1], &w->heap[child])) {
            child++;
        }
        if (!is_before(&w->heap[child], &last)) {
            break;
        }
        w->heap[i] = w->heap[child];
        i = child;
    }
    w->heap[i] = last;
    return top;
}

static void
push_order(World *w, EventKind kind, Order *o, CaroTime at)
{
    push(w, (Event){.at = at, .kind = kind, .what = o});
}

/* --- VMs --- */

static void
start_vm(World *w, int i)
{
    static const char *const domains[] = {"a", "b", "c"};
    Vm *vm = &w->vm[i];
    *vm = (Vm){.targets = CaroTargets_Create()};
    (void)snprintf(vm->name, sizeof(vm->name), "v%d", i);
    for (int u = 0; u < SERVERS; u++) {
        CaroTargetEntry e = {.slots = SLOTS};
        (void)snprintf(e.id, sizeof(e.id), "o%d", u);
        CARO_COPY(e.address, "10.0.0.1:80");
        CARO_COPY(e.domain, domains[u]);
        CARO_COPY(e.service, "orders");
        assert_int_equal(CaroTargets_Put(vm->targets, &e, w->now), u);
    }
    vm->room = CaroServiceRoom_Create(vm->targets, w->rng);
    assert_non_null(vm->room);
    CaroServiceRoom_SetVms(vm->room, w->s.vms);
    push(w, (Event){.at = w->now +
                          (CaroTime)gsl_rng_uniform_int(w->rng, TICK_INTERVAL),
                    .kind = EVENT_TICK,
                    .index = i});
}

static CaroRoomRequest
room_request(const Order *o)
{
    static char names[ACCOUNTS][8];
    (void)snprintf(names[o->account], sizeof(names[0]), "t%d", o->account);
    return (CaroRoomRequest){.service = "orders",
                             .account = names[o->account],
                             .priority = o->priority,
                             .objective = OBJECTIVE,
                             .caller_time = o->caller_time,
                             .accepted_at = o->accepted_at,
                             .deadline = o->deadline,
                             .bytes = 300};
}

static int
slice_of(const World *w)
{
    int slice = (int)((w->now - w->start) / SLICE);
    return slice < SLICES_MAX ? slice : SLICES_MAX - 1;
}

static void
count_into(Counts *c, const Counts *what)
{
    c->arrivals += what->arrivals;
    c->in_time += what->in_time;
    c->late += what->late;
    c->refused += what->refused;
    c->lost += what->lost;
}

static void
finish(World *w, Order *o, const Counts *how)
{
    if (o->is_measured) {
        Counts c = *how;
        c.arrivals = 1;
        count_into(&w->result.all, &c);
        count_into(&w->result.by_priority[o->priority], &c);
        if (o->is_after_event) {
            count_into(&w->result.after_event, &c);
        }
        if (o->priority == 1) {
            count_into(o->account < LARGE_ACCOUNTS ? &w->result.large
                                                   : &w->result.small,
                       &c);
        }
    }
    free(o);
}

/* The VM refuses the request, which no server has run. */
static void
refuse(World *w, Order *o, CaroTime retry_after)
{
    CaroTime left = o->started_at + CALLER_TIMEOUT - w->now;
    if (o->is_measured) {
        w->refused_in[slice_of(w)][o->priority]++;
    }
    if (o->is_repeat) {
        finish(w, o, &(Counts){.refused = 1});
        return;
    }
    CaroTime delay = retry_after < left / 3 ? retry_after : left / 3;
    o->is_repeat = true;
    push_order(w, EVENT_REPEAT, o,
               w->now + 2 * WAY_TIME + (w->s.callers == AT_ONCE ? 0 : delay));
}

static void
attempt(World *w, Order *o)
{
    Vm *vm = &w->vm[o->vm];
    CaroHandle h = CARO_NO_HANDLE;
    if (o->tries < TRIES_MAX) {
        if (w->s.has_room_rule) {
            h = CaroServiceRoom_Choose(vm->room, &o->query, w->now);
        }
        if (h == CARO_NO_HANDLE) {
            h = CaroPlacement_Choose(vm->targets, &o->query, w->rng, w->now);
        }
    }
    if (h != CARO_NO_HANDLE) {
        if (o->tries++ == 0 && o->is_measured) {
            w->result.sent++;
            w->result.sent_by_first_vm += o->vm == 0;
        }
        o->server = h;
        o->sent_at = w->now;
        CaroTargets_Begin(vm->targets, h, false);
        push_order(w, EVENT_AT_SERVER, o, w->now + WAY_TIME);
        return;
    }
    if (!w->s.has_room_rule || !CaroServiceRoom_IsShort(vm->room, "orders")) {
        refuse(w, o, 300 * MS);
        return;
    }
    CaroRoomRequest q = room_request(o);
    CaroRoomDecision d = CaroServiceRoom_Retry(vm->room, &q, w->now);
    if (d.action == CARO_ROOM_HOLD) {
        o->query.n_tried = 0;
        push_order(w, EVENT_HOLD_END, o, w->now + d.wait);
    }
    else {
        refuse(w, o, d.wait);
    }
}

static void
follow(World *w, Order *o, CaroRoomDecision d)
{
    switch (d.action) {
    case CARO_ROOM_SEND:
        attempt(w, o);
        break;
    case CARO_ROOM_HOLD:
        w->result.held++;
        push_order(w, EVENT_HOLD_END, o, w->now + d.wait);
        break;
    case CARO_ROOM_REFUSE:
        refuse(w, o, d.wait);
        break;
    }
}

/* A caller's request, or its repeat, comes to a VM chosen at random. */
static void
accept_order(World *w, Order *o)
{
    static const char *const domains[] = {"a", "b", "c"};
    CaroTime end = o->started_at + CALLER_TIMEOUT;
    if (w->now >= end) {
        finish(w, o, &(Counts){.refused = 1});
        return;
    }
    o->vm = (int)gsl_rng_uniform_int(w->rng, (unsigned long)w->s.vms);
    o->accepted_at = w->now;
    o->caller_time = (end - w->now) / MS * MS;
    o->deadline = w->now + ROUTE_TIMEOUT < end ? w->now + ROUTE_TIMEOUT : end;
    o->tries = 0;
    o->query = (CaroPlacementQuery){.service = "orders",
                                    .domain = domains[o->vm % 3]};
    if (!w->s.has_room_rule) {
        attempt(w, o);
        return;
    }
    CaroRoomRequest q = room_request(o);
    follow(w, o, CaroServiceRoom_Accept(w->vm[o->vm].room, &q, w->now));
}

/* --- servers --- */

static void
run_next(World *w, int index, Order *o)
{
    Server *server = &w->server[index];
    double spread = 0.9 + 0.2 * gsl_rng_uniform(w->rng);
    server->running[server->n_running++] = o;
    push(w, (Event){.at = w->now + (CaroTime)((double)SERVICE_TIME * spread *
                                              server->factor),
                    .kind = EVENT_RUN,
                    .index = index,
                    .what = o});
}

static void
on_order_at_server(World *w, Order *o)
{
    Server *server = &w->server[o->server];
    if (server->is_lost) {
        push_order(w, EVENT_UNSENT, o, w->now + WAY_TIME);
    }
    else if (server->n_running < SLOTS) {
        run_next(w, o->server, o);
    }
    else if (server->n_queue < QUEUE) {
        server->queue[server->n_queue++] = o;
    }
    else {
        w->result.rejections += o->is_measured;
        w->result.rejections_after_event += o->is_after_event;
        push(w, (Event){.at = w->now + WAY_TIME,
                        .kind = EVENT_REJECTED,
                        .what = o,
                        .running = server->n_running,
                        .waiting = server->n_queue});
    }
}

static void
on_order_run(World *w, int index, Order *o)
{
    Server *server = &w->server[index];
    int at = 0;
    while (at < server->n_running && server->running[at] != o) {
        at++;
    }
    if (at == server->n_running) {
        return; /* It was lost with the server; its order is freed there. */
    }
    server->running[at] = server->running[--server->n_running];
    if (server->n_queue > 0) {
        Order *next = server->queue[0];
        memmove(server->queue, server->queue + 1,
                (size_t)--server->n_queue * sizeof(server->queue[0]));
        run_next(w, index, next);
    }
    push(w, (Event){.at = w->now + WAY_TIME,
                    .kind = EVENT_ANSWER,
                    .what = o,
                    .running = server->n_running,
                    .waiting = server->n_queue});
}

static void
lose_server(World *w, int index)
{
    Server *server = &w->server[index];
    server->is_lost = true;
    for (int i = 0; i < server->n_running; i++) {
        Order *o = server->running[i];
        CaroTargets_End(w->vm[o->vm].targets, index, false);
        finish(w, o, &(Counts){.lost = 1});
    }
    for (int i = 0; i < server->n_queue; i++) {
        Order *o = server->queue[i];
        CaroTargets_End(w->vm[o->vm].targets, index, false);
        finish(w, o, &(Counts){.lost = 1});
    }
    server->n_running = 0;
    server->n_queue = 0;
}

/* --- responses at the VM --- */

static void
record_response(World *w, const Event *e, bool is_rejection)
{
    Order *o = e->what;
    Vm *vm = &w->vm[o->vm];
    int work = (int)(100.0 * w->server[o->server].factor);
    CaroTargets_End(vm->targets, o->server, false);
    CaroTargets_RecordLoad(vm->targets, o->server, e->running, e->waiting,
                           w->s.has_no_figure ? 0 : work, w->now);
    if (w->s.has_room_rule) {
        CaroServiceRoom_RecordResponse(vm->room, o->server, is_rejection,
                                       w->now - o->sent_at, w->now);
    }
}

static void
on_answer(World *w, const Event *e)
{
    Order *o = e->what;
    record_response(w, e, false);
    CaroTargets_RecordSuccess(w->vm[o->vm].targets, o->server);
    CaroTime elapsed = w->now + WAY_TIME - o->started_at;
    if (o->is_measured) {
        w->served_in[slice_of(w)][o->priority]++;
    }
    if (w->now >= o->deadline) {
        finish(w, o, &(Counts){.lost = 1});
    }
    else if (elapsed <= OBJECTIVE) {
        finish(w, o, &(Counts){.in_time = 1});
    }
    else {
        finish(w, o, &(Counts){.late = 1});
    }
}

static void
try_other(World *w, Order *o, bool is_failure)
{
    Vm *vm = &w->vm[o->vm];
    if (is_failure) {
        CaroTargets_Avoid(vm->targets, o->server, CARO_TARGET_FAILING, w->now);
    }
    if (o->query.n_tried < CARO_TRIED_MAX) {
        o->query.tried[o->query.n_tried++] = o->server;
    }
    if (w->now + 20 * MS >= o->deadline) {
        refuse(w, o, 300 * MS);
        return;
    }
    attempt(w, o);
}

static void
on_rejected(World *w, const Event *e)
{
    record_response(w, e, true);
    try_other(w, e->what, !w->s.has_room_rule || w->s.has_no_figure);
}

static void
on_unsent(World *w, Order *o)
{
    CaroTargets_End(w->vm[o->vm].targets, o->server, false);
    try_other(w, o, true);
}

static void
on_hold_end(World *w, Order *o)
{
    CaroRoomRequest q = room_request(o);
    CaroRoomDecision d =
        CaroServiceRoom_EndHold(w->vm[o->vm].room, &q, w->now);
    assert_int_not_equal(d.action, CARO_ROOM_HOLD);
    follow(w, o, d);
}

static void
on_tick(World *w, int i)
{
    Vm *vm = &w->vm[i];
    CaroRoomState state;
    while (CaroServiceRoom_Tick(vm->room, &state, w->now)) {
    }
    Delivery *d = calloc(1, sizeof(*d));
    assert_non_null(d);
    if (CaroServiceRoom_Collect(vm->room, &d->out, w->now) && !vm->is_cut) {
        d->out.report.sender = vm->name;
        d->out.report.boot_id = 1;
        d->out.report.sequence = ++vm->sequence;
        d->from = i;
        w->result.reports++;
        push(w, (Event){.at = w->now + REPORT_TIME,
                        .kind = EVENT_REPORT,
                        .what = d});
    }
    else {
        free(d);
    }
    push(w, (Event){
                .at = w->now + TICK_INTERVAL, .kind = EVENT_TICK, .index = i});
}

/* One datagram in a hundred is lost. */
static void
on_report(World *w, Delivery *d)
{
    for (int i = 0; i < w->s.vms; i++) {
        if (i != d->from && !w->vm[i].is_cut &&
            gsl_rng_uniform_int(w->rng, 100) > 0) {
            CaroServiceRoom_Apply(w->vm[i].room, &d->out.report, w->now);
        }
    }
    free(d);
}

static void
on_arrival(World *w)
{
    Order *o = calloc(1, sizeof(*o));
    assert_non_null(o);
    bool is_large = gsl_rng_uniform(w->rng) < 0.6;
    o->started_at = w->now - WAY_TIME;
    o->priority = (int)gsl_rng_uniform_int(w->rng, PRIORITIES);
    o->account = (int)gsl_rng_uniform_int(
        w->rng, is_large ? LARGE_ACCOUNTS : ACCOUNTS - LARGE_ACCOUNTS);
    o->account += is_large ? 0 : LARGE_ACCOUNTS;
    CaroTime elapsed = w->now - w->start;
    o->is_measured = elapsed >= WARM_UP && elapsed < WARM_UP + MEASURED;
    o->is_after_event = elapsed >= EVENT_AT + EVENT_SETTLING &&
                        elapsed < EVENT_AT + EVENT_SETTLED;
    CaroTime next = (CaroTime)gsl_ran_exponential(
        w->rng, (double)S / (CAPACITY * w->s.load));
    push(w, (Event){.at = w->now + next, .kind = EVENT_ARRIVAL});
    accept_order(w, o);
}

static void
handle(World *w, const Event *e)
{
    switch (e->kind) {
    case EVENT_ARRIVAL:
        on_arrival(w);
        break;
    case EVENT_REPEAT:
        accept_order(w, e->what);
        break;
    case EVENT_AT_SERVER:
        on_order_at_server(w, e->what);
        break;
    case EVENT_RUN:
        on_order_run(w, e->index, e->what);
        break;
    case EVENT_ANSWER:
        on_answer(w, e);
        break;
    case EVENT_REJECTED:
        on_rejected(w, e);
        break;
    case EVENT_UNSENT:
        on_unsent(w, e->what);
        break;
    case EVENT_HOLD_END:
        on_hold_end(w, e->what);
        break;
    case EVENT_TICK:
        on_tick(w, e->index);
        break;
    case EVENT_REPORT:
        on_report(w, e->what);
        break;
    }
}

static void
discard(Event *e)
{
    switch (e->kind) {
    case EVENT_ARRIVAL:
    case EVENT_TICK:
        break;
    case EVENT_RUN: /* The order is freed with its server. */
        break;
    default:
        free(e->what);
        break;
    }
}

static void
stop_world(World *w)
{
    while (w->n_heap > 0) {
        Event e = pop(w);
        discard(&e);
    }
    for (int u = 0; u < SERVERS; u++) {
        for (int i = 0; i < w->server[u].n_running; i++) {
            free(w->server[u].running[i]);
        }
        for (int i = 0; i < w->server[u].n_queue; i++) {
            free(w->server[u].queue[i]);
        }
    }
    for (int i = 0; i < w->s.vms; i++) {
        CaroServiceRoom_Destroy(w->vm[i].room);
        CaroTargets_Destroy(w->vm[i].targets);
    }
    free(w->heap);
    gsl_rng_free(w->rng);
}

/* More urgent requests that were refused while less urgent ones were served,
   as far as they would have taken their place. */
static void
count_inversions(World *w)
{
    for (int i = 0; i < SLICES_MAX; i++) {
        int *served = w->served_in[i];
        const int *refused = w->refused_in[i];
        for (int p = 0; p < PRIORITIES; p++) {
            w->result.served += served[p];
        }
        for (int p = 0; p < PRIORITIES; p++) {
            int left = refused[p];
            for (int q = PRIORITIES - 1; q > p; q--) {
                int n = left < served[q] ? left : served[q];
                served[q] -= n;
                left -= n;
                w->result.inversions += n;
            }
        }
    }
}

static Result
run(Scenario s)
{
    World *w = &world;
    memset(w, 0, sizeof(*w));
    w->s = s;
    w->now = 100 * S;
    w->start = w->now;
    w->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(w->rng, s.seed);
    for (int u = 0; u < SERVERS; u++) {
        w->server[u].factor = 1.0;
    }
    for (int i = 0; i < s.vms; i++) {
        start_vm(w, i);
    }
    push(w, (Event){.at = w->now, .kind = EVENT_ARRIVAL});
    CaroTime end = w->start + WARM_UP + MEASURED + CALLER_TIMEOUT + S;
    while (w->heap[0].at < end) {
        Event e = pop(w);
        w->now = e.at;
        CaroTime elapsed = w->now - w->start;
        if (s.lost_at != 0 && elapsed >= s.lost_at && !w->server[0].is_lost) {
            lose_server(w, 0);
        }
        if (s.lost_at != 0 && elapsed >= s.lost_at + LEASE_TIME) {
            for (int i = 0; i < s.vms; i++) {
                if (CaroTargets_GetConst(w->vm[i].targets, 0)->is_present) {
                    CaroTargets_Remove(w->vm[i].targets, 0);
                }
            }
        }
        if (s.slow_at != 0 && elapsed >= s.slow_at) {
            w->server[0].factor = 2.0;
        }
        if (s.cut_at != 0 && elapsed >= s.cut_at) {
            w->vm[0].is_cut = true;
        }
        handle(w, &e);
    }
    count_inversions(w);
    w->result.goodput =
        (double)w->result.all.in_time * (double)S / (double)MEASURED;
    Result result = w->result;
    stop_world(w);
    return result;
}

static double
percent(int n, int of)
{
    return of == 0 ? 0.0 : 100.0 * n / of;
}

static void
print_result(const Scenario *s, const Result *r)
{
    print_message("%s vms=%d load=%.2f callers=%s: in time %.1f%% (%.0f/s) "
                  "late %.1f%% refused %.1f%% lost %.1f%% rejected %.2f%% "
                  "inversions %.1f%% reports %ld held %d;",
                  s->has_room_rule ? "admission" : "today    ", s->vms,
                  s->load, s->callers == AT_ONCE ? "at-once" : "obey",
                  percent(r->all.in_time, r->all.arrivals), r->goodput,
                  percent(r->all.late, r->all.arrivals),
                  percent(r->all.refused, r->all.arrivals),
                  percent(r->all.lost, r->all.arrivals),
                  percent(r->rejections, r->all.arrivals),
                  percent(r->inversions, r->served), r->reports, r->held);
    for (int p = 0; p < PRIORITIES; p++) {
        const Counts *c = &r->by_priority[p];
        print_message(
            " p%d %.1f/%.1f/%.1f", p, percent(c->in_time, c->arrivals),
            percent(c->late, c->arrivals), percent(c->refused, c->arrivals));
    }
    print_message("; accounts large %.1f small %.1f\n",
                  percent(r->large.in_time, r->large.arrivals),
                  percent(r->small.in_time, r->small.arrivals));
}

/* Runs the scenario with both rules. */
static Result
compare(Scenario s, Result *today)
{
    s.has_room_rule = false;
    *today = run(s);
    print_result(&s, today);
    s.has_room_rule = true;
    Result r = run(s);
    print_result(&s, &r);
    return r;
}

/* What must hold with any load. */
static void
check_order(const Result *r)
{
    /* No less urgent request is served before a more urgent one. */
    assert_true(percent(r->inversions, r->served) <= 5.0);
    for (int p = 1; p < PRIORITIES; p++) {
        const Counts *more = &r->by_priority[p - 1];
        const Counts *less = &r->by_priority[p];
        assert_true(percent(more->refused, more->arrivals) <=
                    percent(less->refused, less->arrivals) + 1.0);
    }
}

/* The goals of docs/design/hard-load.md, part 5, for one fleet. */
static void
check_goals(int vms, CallerKind callers)
{
    static const double loads[] = {0.7, 0.95, 1.5, 2.0, 3.0};
    double goodput_below = 0.0;
    for (int l = 0; l < 5; l++) {
        Result today;
        Scenario s = {
            .vms = vms, .load = loads[l], .callers = callers, .seed = 1};
        Result r = compare(s, &today);
        check_order(&r);
        if (s.load < 0.9) { /* What the servers have room for is served. */
            assert_int_equal(r.all.refused, 0);
            assert_true(percent(r.all.in_time, r.all.arrivals) >= 99.0);
        }
        else if (s.load < 1.0) {
            /* The arrivals of one run differ from the load by 2%. */
            goodput_below = s.load * CAPACITY * r.all.in_time / r.all.arrivals;
            assert_true(percent(r.all.in_time, r.all.arrivals) >=
                        percent(today.all.in_time, today.all.arrivals) - 2.0);
            assert_true(percent(r.all.refused, r.all.arrivals) <= 2.0);
        }
        else {
            assert_true(percent(r.rejections, r.all.arrivals) < 2.0);
            assert_true(r.goodput >= 0.85 * CAPACITY);
        }
        /* The most urgent third fits at twice the capacity. */
        const Counts *first = &r.by_priority[0];
        if (s.load <= 2.0) {
            assert_true(percent(first->in_time, first->arrivals) >= 95.0);
            assert_true(percent(first->refused, first->arrivals) <= 1.0);
        }
        if (s.load == 2.0) {
            assert_true(r.goodput >= goodput_below);
            /* A few large accounts do not displace small ones. */
            assert_true(percent(r.small.in_time, r.small.arrivals) >= 75.0);
        }
    }
}

static void
test_goals_of_very_small_fleet(void **state)
{
    (void)state;
    check_goals(3, OBEY);
    check_goals(3, AT_ONCE);
}

static void
test_goals_of_small_fleet(void **state)
{
    (void)state;
    check_goals(18, OBEY);
    check_goals(18, AT_ONCE);
}

static void
test_goals_of_large_fleet(void **state)
{
    (void)state;
    check_goals(100, OBEY);
    check_goals(100, AT_ONCE);
}

static void
test_goals_of_very_large_fleet(void **state)
{
    (void)state;
    check_goals(295, OBEY);
    check_goals(295, AT_ONCE);
}

/* With a third of the capacity gone every response was late. */
static void
test_capacity_follows_loss_of_server(void **state)
{
    (void)state;
    static const int fleets[] = {18, 100, 295};
    for (int f = 0; f < 3; f++) {
        Result today;
        Scenario s = {
            .vms = fleets[f], .load = 0.9, .lost_at = EVENT_AT, .seed = 1};
        Result r = compare(s, &today);
        check_order(&r);
        const Counts *after = &r.after_event;
        double seconds = (double)(EVENT_SETTLED - EVENT_SETTLING) / (double)S;
        print_message("after 1.2 s: in time %.0f/s, today %.0f/s; rejected "
                      "%.2f%%\n",
                      after->in_time / seconds,
                      today.after_event.in_time / seconds,
                      percent(r.rejections_after_event, after->arrivals));
        assert_true(after->in_time / seconds >= 0.85 * CAPACITY * 2 / 3);
        assert_true(percent(r.rejections_after_event, after->arrivals) < 2.0);
    }
}

/* A server that takes twice the time gets half the requests. */
static void
test_server_at_half_the_speed(void **state)
{
    (void)state;
    static const int fleets[] = {18, 100, 295};
    for (int f = 0; f < 3; f++) {
        Result today;
        Scenario s = {
            .vms = fleets[f], .load = 0.9, .slow_at = EVENT_AT, .seed = 1};
        Result r = compare(s, &today);
        check_order(&r);
        const Counts *after = &r.after_event;
        double seconds = (double)(EVENT_SETTLED - EVENT_SETTLING) / (double)S;
        print_message("after 1.2 s: in time %.0f/s, today %.0f/s; rejected "
                      "%.2f%%\n",
                      after->in_time / seconds,
                      today.after_event.in_time / seconds,
                      percent(r.rejections_after_event, after->arrivals));
        assert_true(after->in_time / seconds >= 0.8 * CAPACITY * 5 / 6);
        assert_true(percent(r.rejections_after_event, after->arrivals) < 2.0);
    }
}

/* A VM without reports neither stops nor takes more than its part. */
static void
test_vm_without_reports_keeps_its_part(void **state)
{
    (void)state;
    Scenario s = {.vms = 18,
                  .load = 2.0,
                  .has_room_rule = true,
                  .cut_at = 2 * S,
                  .seed = 1};
    Result r = run(s);
    double part = (double)r.sent_by_first_vm * s.vms / r.sent;
    print_result(&s, &r);
    print_message("sent by the VM without reports: %.2f of the mean\n", part);
    assert_true(part >= 0.5 && part <= 1.5);
    assert_true(percent(r.rejections, r.all.arrivals) < 2.0);
}

/* The rule must not touch services of the earlier deployments. */
static void
test_three_figures_change_nothing(void **state)
{
    (void)state;
    Scenario s = {.vms = 18, .load = 1.5, .has_no_figure = true, .seed = 1};
    Result before = run(s);
    s.has_room_rule = true;
    Result r = run(s);
    assert_int_equal(r.reports, 0);
    assert_int_equal(r.held, 0);
    assert_true(r.rejections >= 0.9 * before.rejections &&
                r.rejections <= 1.1 * before.rejections);
}

static void
test_nothing_is_sent_with_room(void **state)
{
    (void)state;
    Scenario s = {.vms = 100, .load = 0.4, .has_room_rule = true, .seed = 1};
    Result r = run(s);
    assert_int_equal(r.reports, 0);
    assert_int_equal(r.all.in_time, r.all.arrivals);
}

/* --- the reports --- */

static caro_room_report
make_report(caro_service_room *service, char *sender, unsigned int sequence)
{
    return (caro_room_report){.sender = sender,
                              .boot_id = 1,
                              .sequence = sequence,
                              .services = {1, service}};
}

/* Sums are kept by adding and taking back: what stays behind would count for
   ever. */
static void
test_sums_of_reports(void **state)
{
    (void)state;
    CaroRoomReports *r = CaroRoomReports_Create();
    caro_room_account account = {
        .account = 9, .rank = 2, .requests_per_1000_s = 700};
    caro_service_room service = {.service = 5,
                                 .requests_per_1000_s = {0, 0, 700},
                                 .answers_per_1000_s = 400,
                                 .accounts = {1, &account}};
    caro_room_report a = make_report(&service, "a", 2);
    caro_room_report b = make_report(&service, "b", 1);
    CaroTime now = 100 * S;
    assert_true(CaroRoomReports_Apply(r, &a, now));
    assert_true(CaroRoomReports_Apply(r, &b, now + S));
    assert_int_equal(CaroRoomReports_Get(r, 5).vms, 2);
    assert_int_equal(CaroRoomReports_Get(r, 5).requests[2], 1400);
    assert_int_equal(CaroRoomReports_Account(r, 5, 9, 2), 1400);
    assert_int_equal(CaroRoomReports_OldestAge(r, now + S), S);
    /* An older report is ignored, that of a new start is not. */
    a.sequence = 1;
    service.answers_per_1000_s = 100;
    assert_false(CaroRoomReports_Apply(r, &a, now + S));
    assert_int_equal(CaroRoomReports_Get(r, 5).answers, 800);
    a.boot_id = 2;
    assert_true(CaroRoomReports_Apply(r, &a, now + S));
    assert_int_equal(CaroRoomReports_Get(r, 5).answers, 500);
    /* A report counts for two seconds. */
    CaroRoomReports_Expire(r, now + 3 * S - 1);
    assert_int_equal(CaroRoomReports_Get(r, 5).vms, 2);
    CaroRoomReports_Expire(r, now + 4 * S);
    assert_int_equal(CaroRoomReports_Get(r, 5).vms, 0);
    assert_int_equal(CaroRoomReports_Get(r, 5).answers, 0);
    assert_int_equal(CaroRoomReports_Account(r, 5, 9, 2), 0);
    assert_int_equal(CaroRoomReports_OldestAge(r, now + 4 * S), -1);
    CaroRoomReports_Destroy(r);
}

/* Reports of more services and accounts than are summed must not leave sums
   that are wrong once they are gone. */
static void
test_sums_with_too_many_services(void **state)
{
    (void)state;
    enum { SENDERS = 400 };
    CaroRoomReports *r = CaroRoomReports_Create();
    caro_room_account accounts[CARO_ROOM_ACCOUNTS_MAX];
    CaroTime now = 100 * S;
    for (int round = 0; round < 2; round++) {
        for (unsigned int i = 0; i < SENDERS; i++) {
            char name[16];
            caro_service_room service = {
                .service = (i + (unsigned int)round * 7) % 40,
                .answers_per_1000_s = 1 + i,
                .accounts = {CARO_ROOM_ACCOUNTS_MAX, accounts}};
            for (unsigned int a = 0; a < CARO_ROOM_ACCOUNTS_MAX; a++) {
                accounts[a] = (caro_room_account){.account = i * 100 + a,
                                                  .requests_per_1000_s = 10};
            }
            (void)snprintf(name, sizeof(name), "v%u", i);
            caro_room_report report =
                make_report(&service, name, 1 + (unsigned int)round);
            assert_true(CaroRoomReports_Apply(r, &report, now));
        }
    }
    CaroRoomReports_Expire(r, now + 10 * S);
    for (uint32_t service = 0; service < 40; service++) {
        CaroRoomSums sums = CaroRoomReports_Get(r, service);
        CaroRoomAccount left;
        assert_int_equal(sums.vms, 0);
        assert_int_equal(sums.answers, 0);
        assert_int_equal(CaroRoomReports_ListAccounts(r, service, 0, &left, 1),
                         0);
    }
    CaroRoomReports_Destroy(r);
}

/* --- one VM --- */

typedef struct {
    CaroTargets *targets;
    CaroServiceRoom *room;
    gsl_rng *rng;
    CaroTime now;
    CaroRoomRequest q;
} One;

static void
start_one(One *one, int vms)
{
    CaroTargetEntry e = {.slots = SLOTS};
    CARO_COPY(e.id, "o");
    CARO_COPY(e.address, "10.0.0.1:80");
    CARO_COPY(e.domain, "a");
    CARO_COPY(e.service, "orders");
    *one = (One){.targets = CaroTargets_Create(),
                 .rng = gsl_rng_alloc(gsl_rng_taus2),
                 .now = 100 * S};
    gsl_rng_set(one->rng, 1);
    one->room = CaroServiceRoom_Create(one->targets, one->rng);
    CaroServiceRoom_SetVms(one->room, vms);
    assert_int_equal(CaroTargets_Put(one->targets, &e, one->now), 0);
    one->q = (CaroRoomRequest){.service = "orders",
                               .objective = OBJECTIVE,
                               .caller_time = CALLER_TIMEOUT,
                               .bytes = 1000};
}

static void
stop_one(One *one)
{
    CaroServiceRoom_Destroy(one->room);
    CaroTargets_Destroy(one->targets);
    gsl_rng_free(one->rng);
}

static CaroRoomDecision
accept_one(One *one)
{
    one->q.accepted_at = one->now;
    one->q.deadline = one->now + ROUTE_TIMEOUT;
    return CaroServiceRoom_Accept(one->room, &one->q, one->now);
}

static void
respond(One *one, int waiting, bool is_rejection)
{
    CaroTargets_RecordLoad(one->targets, 0, SLOTS, waiting, 100, one->now);
    CaroServiceRoom_RecordResponse(one->room, 0, is_rejection, SERVICE_TIME,
                                   one->now);
}

/* Runs "seconds" of requests, more than the server answers, which always has
   its queue full; returns how many were held. */
static int
overload_one(One *one, int seconds, int refused[2])
{
    int held = 0;
    for (int i = 0; i < seconds * 200; i++) {
        one->now += 5 * MS;
        if (i % 3 == 0) {
            respond(one, QUEUE, false);
        }
        CaroRoomDecision d = accept_one(one);
        held += d.action == CARO_ROOM_HOLD;
        refused[i >= 200] += d.action == CARO_ROOM_REFUSE;
        if (d.action == CARO_ROOM_REFUSE) {
            assert_true(d.wait >= 300 * MS);
        }
        if (d.action == CARO_ROOM_HOLD) {
            assert_true(d.wait < OBJECTIVE);
            CaroServiceRoom_CancelHold(one->room, &one->q);
        }
    }
    return held;
}

/* A VM that starts in a fleet sends as before until it has reports of others,
   or long enough has none. */
static void
test_start_without_reports(void **state)
{
    (void)state;
    One one;
    int refused[2] = {0, 0};
    start_one(&one, 100);
    respond(&one, 0, false);
    (void)accept_one(&one);
    (void)overload_one(&one, 3, refused);
    assert_int_equal(refused[0], 0);
    assert_true(refused[1] > 0);
    assert_true(CaroServiceRoom_IsShort(one.room, "orders"));
    stop_one(&one);
}

/* A flood of requests that are held must not take the VM's memory. */
static void
test_holds_are_bounded(void **state)
{
    (void)state;
    One one;
    int held = 0;
    start_one(&one, 1);
    respond(&one, 0, false);
    (void)accept_one(&one);
    one.q.accepted_at = one.now;
    one.q.deadline = one.now + ROUTE_TIMEOUT;
    for (int i = 0; i < 1000; i++) {
        held += CaroServiceRoom_Retry(one.room, &one.q, one.now).action ==
                CARO_ROOM_HOLD;
    }
    assert_in_range(held, 1, 128);
    for (int i = 0; i < held; i++) {
        CaroServiceRoom_CancelHold(one.room, &one.q);
    }
    one.q.bytes = (size_t)1 << 20;
    held = 0;
    for (int i = 0; i < 1000; i++) {
        held += CaroServiceRoom_Retry(one.room, &one.q, one.now).action ==
                CARO_ROOM_HOLD;
    }
    assert_int_equal(held, 2);
    stop_one(&one);
}

/* The process stalled while a request was held: an order that is sent now
   would run while its caller is told that it is late. */
static void
test_hold_that_ends_too_late(void **state)
{
    (void)state;
    One one;
    start_one(&one, 1);
    respond(&one, 0, false);
    (void)accept_one(&one);
    for (int late = 0; late <= 1; late++) {
        assert_int_equal(
            CaroServiceRoom_Retry(one.room, &one.q, one.now).action,
            CARO_ROOM_HOLD);
        CaroTime end = late ? one.q.deadline - 20 * MS : one.now + 15 * MS;
        assert_int_equal(CaroServiceRoom_EndHold(one.room, &one.q, end).action,
                         late ? CARO_ROOM_REFUSE : CARO_ROOM_SEND);
    }
    stop_one(&one);
}

/* The end of a shortage ends the reports and all refusals, and each change is
   told once. */
static void
test_changes_are_told_once(void **state)
{
    (void)state;
    One one;
    CaroRoomState s;
    CaroRoomReport out;
    start_one(&one, 1);
    respond(&one, 0, false);
    (void)accept_one(&one);
    assert_false(CaroServiceRoom_Tick(one.room, &s, one.now));
    one.now += 20 * MS;
    respond(&one, QUEUE, true);
    one.now += 20 * MS;
    assert_true(CaroServiceRoom_Tick(one.room, &s, one.now));
    assert_true(s.is_short);
    assert_true(s.observed_age == 20 * MS);
    assert_false(CaroServiceRoom_Tick(one.room, &s, one.now));
    assert_true(CaroServiceRoom_Collect(one.room, &out, one.now + S));
    for (int i = 0; i < 400; i++) {
        one.now += 20 * MS;
        respond(&one, 0, false);
        if (CaroServiceRoom_Tick(one.room, &s, one.now)) {
            assert_false(s.is_short);
            assert_int_equal(accept_one(&one).action, CARO_ROOM_SEND);
            assert_false(CaroServiceRoom_Collect(one.room, &out, one.now + S));
            stop_one(&one);
            return;
        }
    }
    fail_msg("the shortage did not end");
}

/* Routes lead to many services; the state of those that were used last is
   kept, and requests that are held for another one are sent. */
static void
test_many_services(void **state)
{
    (void)state;
    One one;
    start_one(&one, 1);
    for (int i = 0; i < 40; i++) {
        CaroTargetEntry e = {.slots = SLOTS};
        (void)snprintf(e.id, sizeof(e.id), "x%d", i);
        (void)snprintf(e.service, sizeof(e.service), "s%d", i);
        CARO_COPY(e.address, "10.0.0.1:80");
        CARO_COPY(e.domain, "a");
        CaroHandle h = CaroTargets_Put(one.targets, &e, one.now);
        one.now += 20 * MS;
        CaroTargets_RecordLoad(one.targets, h, SLOTS, QUEUE, 100, one.now);
        CaroServiceRoom_RecordResponse(one.room, h, true, SERVICE_TIME,
                                       one.now);
        one.q.service = e.service;
        (void)accept_one(&one);
        one.now += 20 * MS;
        (void)accept_one(&one);
        assert_true(CaroServiceRoom_IsShort(one.room, e.service));
        assert_int_equal(
            CaroServiceRoom_Retry(one.room, &one.q, one.now).action,
            CARO_ROOM_HOLD);
    }
    assert_false(CaroServiceRoom_IsShort(one.room, "s0"));
    one.q.service = "s0";
    assert_int_equal(CaroServiceRoom_EndHold(one.room, &one.q, one.now).action,
                     CARO_ROOM_SEND);
    stop_one(&one);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_sums_of_reports),
        cmocka_unit_test(test_sums_with_too_many_services),
        cmocka_unit_test(test_start_without_reports),
        cmocka_unit_test(test_holds_are_bounded),
        cmocka_unit_test(test_hold_that_ends_too_late),
        cmocka_unit_test(test_changes_are_told_once),
        cmocka_unit_test(test_many_services),
        cmocka_unit_test(test_nothing_is_sent_with_room),
        cmocka_unit_test(test_three_figures_change_nothing),
        cmocka_unit_test(test_vm_without_reports_keeps_its_part),
        cmocka_unit_test(test_capacity_follows_loss_of_server),
        cmocka_unit_test(test_server_at_half_the_speed),
        cmocka_unit_test(test_goals_of_very_small_fleet),
        cmocka_unit_test(test_goals_of_small_fleet),
        cmocka_unit_test(test_goals_of_large_fleet),
        cmocka_unit_test(test_goals_of_very_large_fleet),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
