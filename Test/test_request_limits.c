/*
 * Tests of request limits: fleets of VMs on virtual time, whose limited
 * upstreams count what arrives.
 */
#include "test.h"

#include "internal/caro_placement.h"
#include "internal/caro_request_allowance.h"
#include "internal/caro_request_limits.h"

#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define S CARO_SECOND
#define MS CARO_MS
#define STEP (5 * MS)
#define TICK_INTERVAL (20 * MS)
/* A request runs for so long; the response names the limit. */
#define RESPONSE_TIME (40 * MS)
#define REPORT_TIME (5 * MS)
/* The platform counts from so long after the first response with a limit. */
#define CONTACT (3 * S)
#define WINDOW (4 * S)

enum {
    VMS_MAX = 300,
    UPSTREAMS_MAX = 300,
    ARRIVALS_MAX = 60000,
    REPORTS_MAX = 4096,
    RESPONSES_MAX = 4096
};

typedef struct {
    CaroTargets *targets;
    CaroRequestLimits *limits;
    char name[16];
    uint64_t boot_id;
    uint32_t sequence;
    double rate; /* Requests a second of its callers. */
    bool is_cut; /* Exchanges no reports. */
    int sent;
    int refused;
} Vm;

typedef struct {
    double limit; /* Below 0 for none. */
    CaroTime limited_at;
    int first; /* First arrival in the window. */
    int n;
    int window_max;
    double most; /* Of a window, relative to what the platform allows. */
    CaroTime arrivals[ARRIVALS_MAX];
} Upstream;

typedef struct {
    CaroTime at;
    int from;
    CaroLimitReport out;
} Delivery;

typedef struct {
    CaroTime at;
    int vm;
    int upstream;
    double limit;
    uint64_t boot_id;
} Response;

typedef struct {
    int vms;
    int upstreams;
    Vm vm[VMS_MAX];
    Upstream up[UPSTREAMS_MAX];
    Delivery deliveries[REPORTS_MAX];
    int first_delivery;
    int n_deliveries;
    Response responses[RESPONSES_MAX];
    int first_response;
    int n_responses;
    long reports;
    CaroTime now;
    gsl_rng *rng;
} Fleet;

static Fleet fleet;

static void
start_vm(Fleet *f, int i)
{
    static const char *const domains[] = {"a", "b", "c"};
    Vm *vm = &f->vm[i];
    vm->targets = CaroTargets_Create();
    vm->boot_id++;
    vm->sequence = 0;
    for (int u = 0; u < f->upstreams; u++) {
        CaroTargetEntry e = {.slots = 6};
        (void)snprintf(e.id, sizeof(e.id), "o%d", u);
        CARO_COPY(e.address, "10.0.0.1:80");
        CARO_COPY(e.domain, domains[u % 3]);
        CARO_COPY(e.service, "orders");
        assert_int_equal(CaroTargets_Put(vm->targets, &e, f->now), u);
    }
    vm->limits = CaroRequestLimits_Create(vm->targets, f->rng);
    assert_non_null(vm->limits);
    CaroRequestLimits_SetVms(vm->limits, f->vms);
}

static void
stop_vm(Vm *vm)
{
    CaroRequestLimits_Destroy(vm->limits);
    CaroTargets_Destroy(vm->targets);
}

/* All VMs get an equal part of "demand" requests a second. */
static Fleet *
start_fleet(int vms, int upstreams, double demand, unsigned long seed)
{
    Fleet *f = &fleet;
    memset(f, 0, sizeof(*f));
    f->vms = vms;
    f->upstreams = upstreams;
    f->now = 100 * S;
    f->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(f->rng, seed);
    for (int u = 0; u < upstreams; u++) {
        f->up[u].limit = -1.0;
    }
    for (int i = 0; i < vms; i++) {
        (void)snprintf(f->vm[i].name, sizeof(f->vm[i].name), "v%d", i);
        f->vm[i].rate = demand / vms;
        start_vm(f, i);
    }
    return f;
}

static void
stop_fleet(Fleet *f)
{
    for (int i = 0; i < f->vms; i++) {
        stop_vm(&f->vm[i]);
    }
    gsl_rng_free(f->rng);
}

static void
set_limits(Fleet *f, int first, int end, double limit)
{
    for (int u = first; u < end; u++) {
        f->up[u].limit = limit;
        f->up[u].limited_at = f->now;
        f->up[u].first = f->up[u].n;
        f->up[u].window_max = 0;
        f->up[u].most = 0.0;
    }
}

static void
record_arrival(Fleet *f, int u)
{
    Upstream *up = &f->up[u];
    assert_true(up->n < ARRIVALS_MAX);
    up->arrivals[up->n++] = f->now;
    while (f->now - up->arrivals[up->first] >= WINDOW) {
        up->first++;
    }
    if (up->limit >= 0.0 && f->now - up->limited_at >= CONTACT) {
        int from = up->first;
        while (up->arrivals[from] < up->limited_at + CONTACT) {
            from++;
        }
        int n = up->n - from;
        double allowed = 1.5 * up->limit * (double)WINDOW / S + 5.0;
        up->window_max = n > up->window_max ? n : up->window_max;
        up->most = n / allowed > up->most ? n / allowed : up->most;
    }
}

/* Places a request as a gateway does. */
static void
send_request(Fleet *f, int i)
{
    static const char *const domains[] = {"a", "b", "c"};
    Vm *vm = &f->vm[i];
    CaroPlacementQuery q = {.service = "orders", .domain = domains[i % 3]};
    CaroHandle h;
    CaroRequestLimits_RecordDemand(vm->limits, "orders", f->now);
    CaroRequestLimits_MarkFull(vm->limits, "orders", f->now);
    do {
        h = CaroPlacement_Choose(vm->targets, &q, f->rng, f->now);
    } while (h != CARO_NO_HANDLE &&
             !CaroRequestLimits_Take(vm->limits, h, false, f->now));
    if (h == CARO_NO_HANDLE) {
        vm->refused++;
        return;
    }
    vm->sent++;
    record_arrival(f, h);
    CaroTargets_Begin(vm->targets, h, false);
    assert_true(f->n_responses < RESPONSES_MAX);
    f->responses[(f->first_response + f->n_responses++) % RESPONSES_MAX] =
        (Response){.at = f->now + RESPONSE_TIME,
                   .vm = i,
                   .upstream = h,
                   .limit = f->up[h].limit,
                   .boot_id = vm->boot_id};
}

static void
deliver_responses(Fleet *f)
{
    while (f->n_responses > 0 &&
           f->responses[f->first_response].at <= f->now) {
        const Response *r = &f->responses[f->first_response];
        Vm *vm = &f->vm[r->vm];
        if (vm->boot_id == r->boot_id) {
            CaroTargets_End(vm->targets, r->upstream, false);
            CaroRequestLimits_RecordResponse(vm->limits, r->upstream, r->limit,
                                             f->now);
        }
        f->first_response = (f->first_response + 1) % RESPONSES_MAX;
        f->n_responses--;
    }
}

static void
deliver_reports(Fleet *f)
{
    while (f->n_deliveries > 0 &&
           f->deliveries[f->first_delivery].at <= f->now) {
        Delivery *d = &f->deliveries[f->first_delivery];
        d->out.report.limits.limits_val = d->out.limits;
        d->out.report.demands.demands_val = d->out.demands;
        for (int i = 0; i < f->vms; i++) {
            if (i != d->from && !f->vm[i].is_cut) {
                CaroRequestLimits_Apply(f->vm[i].limits, &d->out.report,
                                        f->now);
            }
        }
        f->first_delivery = (f->first_delivery + 1) % REPORTS_MAX;
        f->n_deliveries--;
    }
}

static void
collect_reports(Fleet *f)
{
    for (int i = 0; i < f->vms; i++) {
        Vm *vm = &f->vm[i];
        assert_true(f->n_deliveries < REPORTS_MAX);
        Delivery *d = &f->deliveries[(f->first_delivery + f->n_deliveries) %
                                     REPORTS_MAX];
        if (!CaroRequestLimits_Collect(vm->limits, &d->out, f->now) ||
            vm->is_cut) {
            continue;
        }
        d->out.report.sender = vm->name;
        d->out.report.boot_id = vm->boot_id;
        d->out.report.sequence = ++vm->sequence;
        d->at = f->now + REPORT_TIME;
        d->from = i;
        f->n_deliveries++;
        f->reports++;
    }
}

static void
run_for(Fleet *f, CaroTime duration)
{
    CaroTime end = f->now + duration;
    for (; f->now < end; f->now += STEP) {
        deliver_responses(f);
        deliver_reports(f);
        for (int i = 0; i < f->vms; i++) {
            unsigned int n = gsl_ran_poisson(
                f->rng, f->vm[i].rate * (double)STEP / (double)S);
            for (; n > 0; n--) {
                f->now++; /* No two requests come at the same time. */
                send_request(f, i);
            }
        }
        f->now -= f->now % STEP;
        if (f->now % TICK_INTERVAL == 0) {
            collect_reports(f);
        }
    }
}

static int
count_refused(const Fleet *f)
{
    int refused = 0;
    for (int i = 0; i < f->vms; i++) {
        refused += f->vm[i].refused;
    }
    return refused;
}

static int
count_arrivals(const Fleet *f, int u, CaroTime since)
{
    int n = 0;
    for (int i = f->up[u].n - 1; i >= 0 && f->up[u].arrivals[i] >= since;
         i--) {
        n++;
    }
    return n;
}

/* Checks the upstreams in [0, end): none gets more than the platform allows,
   and all together get "least" of their limits since then. */
static void
check_limits(const Fleet *f, int end, double least, CaroTime since)
{
    double most = 0.0;
    double allowance = 0.0;
    int arrived = 0;
    for (int u = 0; u < end; u++) {
        most = f->up[u].most > most ? f->up[u].most : most;
        allowance += f->up[u].limit * (double)(f->now - since) / S;
        arrived += count_arrivals(f, u, since);
    }
    print_message("most of what is allowed in 4 s: %.2f; arrived: %.3f of "
                  "the limits; refused: %d; reports: %ld\n",
                  most, arrived / allowance, count_refused(f), f->reports);
    assert_true(most <= 1.0);
    assert_true(arrived >= least * allowance);
}

/* What is asked for exceeds the limits of all upstreams. */
static void
check_overload(int vms, int upstreams, double demand, double limit,
               unsigned long seed)
{
    Fleet *f = start_fleet(vms, upstreams, demand, seed);
    run_for(f, 5 * S);
    assert_int_equal(count_refused(f), 0);
    set_limits(f, 0, upstreams, limit);
    run_for(f, CONTACT);
    CaroTime since = f->now;
    run_for(f, 25 * S);
    check_limits(f, upstreams, 0.9, since);
    stop_fleet(f);
}

static void
test_overload_of_small_fleet_keeps_and_uses_limits(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 5; seed++) {
        check_overload(13, 3, 22.0, 2.6, seed);
    }
    check_overload(21, 3, 79.0, 6.5, 6);
}

static void
test_overload_of_large_fleet_keeps_and_uses_limits(void **state)
{
    (void)state;
    check_overload(117, 7, 276.0, 8.0, 1);
    check_overload(295, 6, 462.0, 6.6, 2);
    /* A VM has one request in two seconds. */
    check_overload(295, 3, 150.0, 9.0, 3);
}

/* A few VMs have nearly all callers, and others every five seconds. */
static void
test_parts_follow_callers_that_move(void **state)
{
    (void)state;
    enum { VMS = 100, BUSY = 8 };
    Fleet *f = start_fleet(VMS, 3, 0.0, 1);
    CaroTime since = 0;
    for (int round = 0; round < 7; round++) {
        for (int i = 0; i < VMS; i++) {
            bool is_busy = i / BUSY == round;
            f->vm[i].rate = is_busy ? 60.0 / BUSY : 6.0 / VMS;
        }
        run_for(f, 5 * S);
        if (round == 0) {
            set_limits(f, 0, 3, 5.0);
            run_for(f, CONTACT);
            since = f->now;
        }
    }
    check_limits(f, 3, 0.9, since);
    stop_fleet(f);
}

static void
test_bursts_keep_limits(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 3; seed++) {
        int vms = seed == 3 ? 250 : 20;
        Fleet *f = start_fleet(vms, 3, 0.0, seed);
        set_limits(f, 0, 3, 4.0);
        for (int round = 0; round < 6; round++) {
            double demand = round % 2 == 0 ? 10.0 : 90.0;
            CaroTime since = f->now;
            for (int i = 0; i < vms; i++) {
                f->vm[i].rate = demand / vms;
            }
            run_for(f, 6 * S);
            check_limits(f, 3, round % 2 == 0 ? 0.0 : 0.9, since);
        }
        stop_fleet(f);
    }
}

/* Most requests go to the upstream without a limit, until it is lost. */
static void
test_loss_of_the_upstream_without_limit(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 4; seed++) {
        int vms = seed > 2 ? 250 : 20;
        Fleet *f = start_fleet(vms, 3, 60.0, seed);
        set_limits(f, 0, 2, 4.0);
        run_for(f, 12 * S);
        assert_int_equal(count_refused(f), 0);
        for (int i = 0; i < vms; i++) {
            CaroTargets_Remove(f->vm[i].targets, 2);
        }
        run_for(f, WINDOW);
        CaroTime since = f->now;
        run_for(f, 30 * S);
        check_limits(f, 2, 0.9, since);
        stop_fleet(f);
    }
}

/* The limits of all engines together exceed what is asked for. */
static void
test_no_request_is_refused_while_there_is_room(void **state)
{
    (void)state;
    Fleet *f = start_fleet(117, 280, 72.0, 1);
    run_for(f, 5 * S);
    set_limits(f, 0, 200, 0.4);
    CaroTime since = f->now;
    run_for(f, 25 * S);
    check_limits(f, 200, 0.0, since);
    assert_int_equal(count_refused(f), 0);
    stop_fleet(f);
    f = start_fleet(20, 3, 9.0, 2);
    set_limits(f, 0, 3, 6.0);
    run_for(f, 25 * S);
    check_limits(f, 3, 0.0, since);
    assert_int_equal(count_refused(f), 0);
    stop_fleet(f);
}

static void
test_limit_ends_when_no_response_names_it(void **state)
{
    (void)state;
    Fleet *f = start_fleet(117, 3, 150.0, 1);
    set_limits(f, 0, 3, 0.0); /* It admits nearly nothing. */
    run_for(f, 10 * S);
    set_limits(f, 0, 3, -1.0);
    run_for(f, 5 * S);
    int refused = count_refused(f);
    run_for(f, 5 * S);
    assert_int_equal(count_refused(f), refused);
    for (int i = 0; i < f->vms; i++) {
        for (int u = 0; u < 3; u++) {
            assert_true(CaroRequestLimits_Get(f->vm[i].limits, u) < 0.0);
        }
    }
    stop_fleet(f);
}

/* VMs without contact to others keep about the part that they had. */
static void
test_vms_that_are_cut_off_neither_burst_nor_starve(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 3; seed++) {
        int vms = seed == 3 ? 250 : 20;
        Fleet *f = start_fleet(vms, 3, 5.0 * vms, seed);
        set_limits(f, 0, 3, 0.5 * vms);
        run_for(f, 8 * S);
        int cut = vms * 3 / 10;
        int before = 0;
        for (int i = 0; i < cut; i++) {
            f->vm[i].is_cut = true;
            before += f->vm[i].sent;
        }
        CaroTime since = f->now;
        run_for(f, 20 * S);
        int sent = -before;
        double part = 0.0;
        for (int i = 0; i < cut; i++) {
            sent += f->vm[i].sent;
            part += 0.3 * 20.0 * f->vm[i].rate;
        }
        print_message("VMs that are cut off sent %d, their part is %.0f\n",
                      sent, part);
        assert_in_range(sent, (int)(0.5 * part), (int)(1.5 * part));
        check_limits(f, 3, 0.9, since);
        stop_fleet(f);
    }
}

/* All VMs are restarted one after the other, and then many at once. */
static void
test_restarted_vms_keep_limits(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 3; seed++) {
        int vms = seed == 3 ? 250 : 20;
        Fleet *f = start_fleet(vms, 3, 60.0, seed);
        set_limits(f, 0, 3, 4.0);
        run_for(f, 5 * S);
        CaroTime since = f->now;
        for (int i = 0; i < vms; i++) {
            stop_vm(&f->vm[i]);
            start_vm(f, i);
            run_for(f, 10 * S / vms);
        }
        for (int i = 0; i < vms / 4; i++) {
            stop_vm(&f->vm[i]);
            start_vm(f, i);
        }
        run_for(f, 10 * S);
        check_limits(f, 3, 0.9, since);
        stop_fleet(f);
    }
}

/* Each refusal names a time behind those that were refused before. */
static void
test_refused_requests_return_one_after_the_other(void **state)
{
    (void)state;
    Fleet *f = start_fleet(1, 1, 8.0, 1);
    CaroRequestLimits *l = f->vm[0].limits;
    set_limits(f, 0, 1, 2.0);
    run_for(f, 10 * S);
    f->vm[0].rate = 0.0;
    CaroTime first = CaroRequestLimits_Refuse(l, "orders", "r1", f->now);
    CaroTime second = CaroRequestLimits_Refuse(l, "orders", "r2", f->now);
    assert_in_range(first, 300 * MS, 500 * MS);
    assert_in_range(second - first, 490 * MS, 510 * MS);
    for (int i = 0; i < 100; i++) {
        first = CaroRequestLimits_Refuse(l, "orders", "r", f->now);
    }
    assert_int_equal(first, 10 * S);
    stop_fleet(f);
}

static void
test_retries_go_before_new_requests(void **state)
{
    (void)state;
    Fleet *f = start_fleet(1, 1, 20.0, 1);
    CaroRequestLimits *l = f->vm[0].limits;
    set_limits(f, 0, 1, 2.0);
    run_for(f, 10 * S);
    int admitted = 0;
    for (int i = 0; i < 100; i++) {
        admitted += CaroRequestLimits_Take(l, 0, true, f->now);
    }
    assert_in_range(admitted, 1, 8);
    f->up[0].first = f->up[0].n;
    stop_fleet(f);
}

/* A restarted upstream has no limit until a response names it. */
static void
test_limit_of_an_earlier_start(void **state)
{
    (void)state;
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    CaroTargets *t = CaroTargets_Create();
    CaroRequestLimits *l = CaroRequestLimits_Create(t, rng);
    CaroTargetEntry e = {.started_at_ms = 1000};
    CARO_COPY(e.id, "o1");
    CARO_COPY(e.service, "orders");
    CaroHandle old = CaroTargets_Put(t, &e, S);
    CaroRequestLimits_RecordResponse(l, old, 3.0, 2 * S);
    assert_true(CaroRequestLimits_Get(l, old) == 3.0);
    e.started_at_ms = 5000;
    CaroHandle h = CaroTargets_Put(t, &e, 5 * S);
    assert_true(CaroRequestLimits_Get(l, h) < 0.0);
    /* Another VM's news of the earlier start comes late. */
    caro_target_limit news = {.target = CaroTargets_GetConst(t, h)->id_hash,
                              .sent = 4,
                              .has_news = true,
                              .is_limited = true,
                              .requests_per_1000_s = 3000,
                              .age_ms = 900};
    caro_limit_report report = {.sender = "v1", .boot_id = 1, .sequence = 1};
    report.limits.limits_val = &news;
    report.limits.limits_len = 1;
    CaroRequestLimits_Apply(l, &report, 5500 * MS);
    assert_true(CaroRequestLimits_Get(l, h) < 0.0);
    news.age_ms = 100;
    CaroRequestLimits_Apply(l, &report, 5600 * MS);
    assert_true(CaroRequestLimits_Get(l, h) < 0.0); /* The same report. */
    report.sequence = 2;
    CaroRequestLimits_Apply(l, &report, 5600 * MS);
    assert_true(CaroRequestLimits_Get(l, h) == 3.0);
    CaroRequestLimits_Destroy(l);
    CaroTargets_Destroy(t);
    gsl_rng_free(rng);
}

static void
test_report_beyond_all_bounds(void **state)
{
    (void)state;
    Fleet *f = start_fleet(1, 1, 20.0, 1);
    CaroRequestLimits *l = f->vm[0].limits;
    const CaroTarget *t = CaroTargets_GetConst(f->vm[0].targets, 0);
    caro_target_limit news[CARO_LIMITS_MAX];
    for (int i = 0; i < CARO_LIMITS_MAX; i++) {
        news[i] = (caro_target_limit){.target = t->id_hash,
                                      .sent = UINT32_MAX,
                                      .has_news = true,
                                      .is_limited = true,
                                      .requests_per_1000_s = UINT32_MAX,
                                      .age_ms = i == 0 ? UINT32_MAX : 0};
    }
    caro_service_demand demand = {.service = 7,
                                  .requests_per_1000_s = UINT32_MAX};
    caro_limit_report report = {.boot_id = 1, .sequence = 1};
    report.limits.limits_val = news;
    report.limits.limits_len = CARO_LIMITS_MAX;
    report.demands.demands_val = &demand;
    report.demands.demands_len = 1;
    char name[CARO_NAME_SIZE];
    for (int i = 0; i < 20; i++) {
        (void)snprintf(name, sizeof(name), "v%d", i);
        report.sender = name;
        CaroRequestLimits_Apply(l, &report, f->now);
    }
    assert_false(CaroRequestLimits_Take(l, 0, true, f->now));
    /* The senders withdraw what they said. */
    report.sequence = 2;
    report.limits.limits_len = 0;
    report.demands.demands_len = 0;
    for (int i = 0; i < 20; i++) {
        (void)snprintf(name, sizeof(name), "v%d", i);
        CaroRequestLimits_Apply(l, &report, f->now);
    }
    assert_true(CaroRequestLimits_Take(l, 0, true, f->now));
    stop_fleet(f);
}

/* More services than the table holds: the limited one keeps its entry. */
static void
test_many_services(void **state)
{
    (void)state;
    Fleet *f = start_fleet(1, 1, 20.0, 1);
    set_limits(f, 0, 1, 2.0);
    for (int i = 0; i < 200; i++) {
        char name[CARO_NAME_SIZE];
        (void)snprintf(name, sizeof(name), "other%d", i);
        CaroRequestLimits_RecordDemand(f->vm[0].limits, name, f->now);
        run_for(f, 100 * MS);
    }
    check_limits(f, 1, 0.9, f->now - 15 * S);
    stop_fleet(f);
}

static void
test_allowance_is_not_saved(void **state)
{
    (void)state;
    CaroRequestAllowance a;
    CaroRequestAllowance_Start(&a, 0.0, 0);
    CaroTime now = 0;
    for (int i = 0; i < 1000; i++) {
        now += 100 * MS;
        CaroRequestAllowance_Add(&a, 0.1, now);
    }
    /* What accrues in a second: one request. */
    int sent = 0;
    for (int i = 0; i < 10; i++) {
        sent += CaroRequestAllowance_Take(&a, now);
    }
    assert_in_range(sent, 0, 1);
    for (int i = 0; i < 1000; i++) {
        now += 100 * MS;
        CaroRequestAllowance_Add(&a, 0.1, now);
        sent += CaroRequestAllowance_Take(&a, now);
    }
    assert_in_range(sent, 99, 102);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_overload_of_small_fleet_keeps_and_uses_limits),
        cmocka_unit_test(test_overload_of_large_fleet_keeps_and_uses_limits),
        cmocka_unit_test(test_parts_follow_callers_that_move),
        cmocka_unit_test(test_bursts_keep_limits),
        cmocka_unit_test(test_loss_of_the_upstream_without_limit),
        cmocka_unit_test(test_no_request_is_refused_while_there_is_room),
        cmocka_unit_test(test_limit_ends_when_no_response_names_it),
        cmocka_unit_test(test_vms_that_are_cut_off_neither_burst_nor_starve),
        cmocka_unit_test(test_restarted_vms_keep_limits),
        cmocka_unit_test(test_refused_requests_return_one_after_the_other),
        cmocka_unit_test(test_retries_go_before_new_requests),
        cmocka_unit_test(test_limit_of_an_earlier_start),
        cmocka_unit_test(test_report_beyond_all_bounds),
        cmocka_unit_test(test_many_services),
        cmocka_unit_test(test_allowance_is_not_saved),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
