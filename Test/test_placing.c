/* Tests of placing, of the load that VMs tell each other, and of the
   directory. */
#include "test.h"

#include "internal/caro_directory.h"
#include "internal/caro_peer_loads.h"
#include "internal/caro_placement.h"

#include <stdio.h>
#include <string.h>

#define S CARO_SECOND

enum { ENGINES = 18, VMS = 13 };

static void
put_engine(CaroTargets *t, const char *id, const char *domain, CaroTime now)
{
    CaroTargetEntry e = {.slots = 64};
    CARO_COPY(e.id, id);
    CARO_COPY(e.address, "10.0.0.1:80");
    CARO_COPY(e.domain, domain);
    CARO_COPY(e.service, "chat");
    CARO_COPY(e.version, "v1");
    assert_true(CaroTargets_Put(t, &e, now) != CARO_NO_HANDLE);
}

/* Three domains of engines, seen by one VM. */
static CaroTargets *
make_targets(void)
{
    static const char *const domains[] = {"a", "b", "c"};
    CaroTargets *t = CaroTargets_Create();
    for (int i = 0; i < ENGINES; i++) {
        char id[16];
        (void)snprintf(id, sizeof(id), "e%d", i);
        put_engine(t, id, domains[i % 3], S);
    }
    return t;
}

static CaroPlacementQuery
query_from(const char *domain)
{
    return (CaroPlacementQuery){
        .service = "chat", .domain = domain, .is_stream = true};
}

/* Of one VM in the load below. */
typedef struct {
    CaroTargets *targets;
    CaroPeerLoads *board;
    const char *domain;
    char name[8];
    uint32_t number;
} Vm;

static void
tell_others(Vm *vms, int from, CaroTime now)
{
    caro_target_load loads[CARO_LOADS_MAX];
    CaroTargetFailures alarms;
    caro_load_report news = {
        .sender = vms[from].name, .boot_id = 1, .number = ++vms[from].number};
    news.loads.loads_val = loads;
    news.loads.loads_len =
        (u_int)CaroPeerLoads_Collect(vms[from].targets, loads, now);
    for (int vm = 0; vm < VMS; vm++) {
        if (vm != from) {
            CaroPeerLoads_Apply(vms[vm].board, &news, &alarms, now);
        }
    }
}

typedef struct {
    bool is_told;    /* The VMs tell each other their loads. */
    CaroTime every;  /* Between two streams. */
    CaroTime length; /* Of a stream, its prompt's reading included. */
} Load;

typedef struct {
    double met;    /* Part that met an engine reading another prompt. */
    int held_most; /* Streams and copies at one engine. */
} LoadResult;

/* Streams over 13 VMs, each read for a second and kept twice. */
static LoadResult
play_load(Load load)
{
    enum { STREAMS = 600, PROMPT = 8200 };
    static struct {
        int vm;
        CaroHandle engine;
        CaroHandle copy;
        CaroTime read_at;
        CaroTime ends_at;
    } streams[STREAMS];
    Vm vms[VMS];
    LoadResult result = {0};
    int held[ENGINES] = {0};
    int met = 0;
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(rng, 7);
    for (int vm = 0; vm < VMS; vm++) {
        static const char *const domains[] = {"a", "b", "c"};
        vms[vm] = (Vm){.targets = make_targets(), .domain = domains[vm % 3]};
        vms[vm].board = CaroPeerLoads_Create(vms[vm].targets);
        (void)snprintf(vms[vm].name, sizeof(vms[vm].name), "v%d", vm);
    }
    for (int i = 0; i < STREAMS; i++) {
        CaroTime now = 2 * S + i * load.every;
        for (int j = 0; j < i; j++) {
            if (streams[j].read_at != 0 && now >= streams[j].read_at) {
                streams[j].read_at = 0;
                CaroTargets_AddPrefill(vms[streams[j].vm].targets,
                                       streams[j].engine, -PROMPT);
                if (load.is_told) {
                    tell_others(vms, streams[j].vm, now);
                }
            }
            if (streams[j].ends_at != 0 && now >= streams[j].ends_at) {
                streams[j].ends_at = 0;
                CaroTargets_End(vms[streams[j].vm].targets, streams[j].engine,
                                true);
                CaroTargets_EndKvCopy(vms[streams[j].vm].targets,
                                      streams[j].copy);
                held[streams[j].engine]--;
                held[streams[j].copy]--;
                if (load.is_told) {
                    tell_others(vms, streams[j].vm, now);
                }
            }
        }
        int vm = (int)gsl_rng_uniform_int(rng, VMS);
        CaroPlacementQuery q = query_from(vms[vm].domain);
        CaroHandle h = CaroPlacement_Choose(vms[vm].targets, &q, rng, now);
        for (int j = 0; j < i; j++) {
            if (streams[j].engine == h && streams[j].read_at != 0) {
                met++;
                break;
            }
        }
        CaroTargets_Begin(vms[vm].targets, h, true);
        CaroTargets_AddPrefill(vms[vm].targets, h, PROMPT);
        streams[i].vm = vm;
        streams[i].engine = h;
        streams[i].copy =
            CaroPlacement_ChooseKvCopy(vms[vm].targets, h, rng, now);
        CaroTargets_BeginKvCopy(vms[vm].targets, streams[i].copy);
        held[h]++;
        held[streams[i].copy]++;
        for (int j = 0; j < ENGINES; j++) {
            result.held_most =
                held[j] > result.held_most ? held[j] : result.held_most;
        }
        streams[i].read_at = now + S;
        streams[i].ends_at = now + load.length;
        if (load.is_told) {
            tell_others(vms, vm, now);
        }
    }
    for (int vm = 0; vm < VMS; vm++) {
        CaroPeerLoads_Destroy(vms[vm].board);
        CaroTargets_Destroy(vms[vm].targets);
    }
    gsl_rng_free(rng);
    result.met = (double)met / STREAMS;
    return result;
}

/* Callers whose prompt waits behind another get their first event late;
   with each VM telling its load this hardly happens. */
static void
test_prompts_do_not_meet(void **state)
{
    (void)state;
    Load load = {.every = 200 * CARO_MS, .length = 5 * S};
    double alone = play_load(load).met;
    load.is_told = true;
    double told = play_load(load).met;
    print_message("prompts that met another: alone %.3f, told %.3f\n", alone,
                  told);
    assert_true(told < 0.01);
    assert_true(alone > 5.0 * told);
}

/* An engine whose memory is full sets streams aside, and their callers wait
   for more than a second.  The engines hold 88,000 tokens, which are nine
   streams or copies of 8,900.  At eight streams a second, each running for
   six, they hold 5.3 in the mean. */
static void
test_memory_is_not_overcommitted(void **state)
{
    (void)state;
    Load load = {.every = 125 * CARO_MS, .length = 6 * S};
    int alone = play_load(load).held_most;
    load.is_told = true;
    int told = play_load(load).held_most;
    print_message("held at one engine at most: alone %d, told %d\n", alone,
                  told);
    assert_true(told <= 88000 / 8900);
}

static void
test_a_lost_domain_is_left(void **state)
{
    (void)state;
    CaroTargets *t = make_targets();
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    CaroPlacementQuery q = query_from("a");
    CaroTime now = 10 * S;
    for (int i = 0; i < 50; i++) {
        CaroHandle h = CaroPlacement_Choose(t, &q, rng, now);
        assert_string_equal(CaroTargets_GetConst(t, h)->entry.domain, "a");
    }
    /* Two of six in "a" refuse connections: the rest are left, too. */
    CaroTargets_Avoid(t, 0, CARO_TARGET_GONE, now);
    CaroTargets_Avoid(t, 3, CARO_TARGET_GONE, now);
    for (int i = 0; i < 50; i++) {
        CaroHandle h = CaroPlacement_Choose(t, &q, rng, now);
        assert_string_not_equal(CaroTargets_GetConst(t, h)->entry.domain, "a");
    }
    /* One that started after the crash is taken. */
    put_engine(t, "fresh", "a", now + 3 * S);
    CaroTargets_Avoid(t, 6, CARO_TARGET_GONE, now + 3 * S);
    CaroHandle h = CaroPlacement_Choose(t, &q, rng, now + 3 * S);
    assert_string_equal(CaroTargets_GetConst(t, h)->entry.id, "fresh");
    gsl_rng_free(rng);
    CaroTargets_Destroy(t);
}

static void
test_copies_are_kept_in_another_domain(void **state)
{
    (void)state;
    CaroTargets *t = make_targets();
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    for (int i = 0; i < 50; i++) {
        CaroHandle h = CaroPlacement_ChooseKvCopy(t, 0, rng, S);
        assert_string_not_equal(CaroTargets_GetConst(t, h)->entry.domain, "a");
        CaroTargets_BeginKvCopy(t, h);
    }
    gsl_rng_free(rng);
    CaroTargets_Destroy(t);
}

/* An engine that crashed stays listed until its entry lapses.  A stream
   whose copy lies there has none when its own engine is lost. */
static void
test_a_copy_is_kept_where_life_was_seen(void **state)
{
    (void)state;
    CaroTargets *t = make_targets();
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    CaroTime now = 10 * S;
    CaroHandle dead = CaroPlacement_ChooseKvCopy(t, 0, rng, now);
    CaroTargets_RecordHeard(t, dead, now - S);
    CaroTargets_Avoid(t, dead, CARO_TARGET_FAILING, now);
    now += 4 * S; /* It is no longer avoided. */
    for (int i = 0; i < 500; i++) {
        assert_int_not_equal(CaroPlacement_ChooseKvCopy(t, 0, rng, now), dead);
    }
    /* Another VM tells that it has events from there. */
    CaroTargets_RecordHeard(t, dead, now);
    bool is_taken = false;
    for (int i = 0; i < 500; i++) {
        is_taken |= CaroPlacement_ChooseKvCopy(t, 0, rng, now) == dead;
    }
    assert_true(is_taken);
    /* For want of a better one any is taken. */
    for (CaroHandle h = 0; h < CaroTargets_Count(t); h++) {
        CaroTargets_Avoid(t, h, CARO_TARGET_FAILING, now);
    }
    assert_int_not_equal(CaroPlacement_ChooseKvCopy(t, 0, rng, now + 3 * S),
                         CARO_NO_HANDLE);
    gsl_rng_free(rng);
    CaroTargets_Destroy(t);
}

static void
test_leaving_and_unknown_upstreams(void **state)
{
    (void)state;
    CaroTargets *t = CaroTargets_Create();
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    CaroPlacementQuery q = query_from("a");
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, S), CARO_NO_HANDLE);
    put_engine(t, "e0", "a", S);
    CaroTargets_Get(t, 0)->entry.is_leaving = true;
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, S), CARO_NO_HANDLE);
    put_engine(t, "e1", "b", S);
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, S), 1);
    /* The only one is taken though it failed, but not where it did. */
    CaroTargets_Avoid(t, 1, CARO_TARGET_FAILING, S);
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, S), 1);
    q.tried[q.n_tried++] = 1;
    assert_int_equal(CaroPlacement_Choose(t, &q, rng, S), CARO_NO_HANDLE);
    gsl_rng_free(rng);
    CaroTargets_Destroy(t);
}

/* A restart under the same id is another upstream: nothing of the old one
   is believed of it, and the old slot lives as long as it is in use. */
static void
test_an_upstream_that_started_anew(void **state)
{
    (void)state;
    CaroTargets *t = CaroTargets_Create();
    CaroTargetEntry e = {.started_at_ms = 1000};
    CARO_COPY(e.id, "e0");
    CARO_COPY(e.address, "10.0.0.1:80");
    CARO_COPY(e.service, "chat");
    CaroHandle old = CaroTargets_Put(t, &e, S);
    CaroTargets_Begin(t, old, false);
    CaroTargets_Avoid(t, old, CARO_TARGET_GONE, S);
    assert_int_equal(CaroTargets_Put(t, &e, S), old);
    e.started_at_ms = 2000;
    CaroHandle fresh = CaroTargets_Put(t, &e, 2 * S);
    assert_int_not_equal(fresh, old);
    assert_true(CaroTarget_IsUsable(CaroTargets_GetConst(t, fresh), 2 * S));
    assert_false(CaroTargets_GetConst(t, old)->is_present);
    assert_true(CaroTargets_GetConst(t, old)->is_used);
    CaroTargets_End(t, old, false);
    assert_false(CaroTargets_GetConst(t, old)->is_used);
    CaroTargets_Destroy(t);
}

static void
test_old_news_are_dropped(void **state)
{
    (void)state;
    CaroTargets *t = make_targets();
    CaroPeerLoads *b = CaroPeerLoads_Create(t);
    CaroTargetFailures alarms;
    caro_target_load load = {.target = CaroTargets_GetConst(t, 2)->id_hash,
                             .running = 3,
                             .reading = 100,
                             .idle_ms = 300,
                             .alarm = CARO_FAILURE_SILENT};
    caro_load_report news = {.sender = "v1", .boot_id = 5, .number = 2};
    news.loads.loads_val = &load;
    news.loads.loads_len = 1;
    CaroPeerLoads_Apply(b, &news, &alarms, S);
    assert_int_equal(CaroTargets_GetConst(t, 2)->peer_streams, 3);
    assert_int_equal(alarms.n, 1);
    assert_int_equal(alarms.all[0].alarm, CARO_TARGET_SILENT);
    assert_int_equal(CaroTargets_GetConst(t, 2)->last_heard_at,
                     S - 300 * CARO_MS);
    news.number = 1;
    load.running = 9;
    CaroPeerLoads_Apply(b, &news, &alarms, S);
    assert_int_equal(CaroTargets_GetConst(t, 2)->peer_streams, 3);
    assert_int_equal(alarms.n, 0);
    /* Another start of the VM begins anew; a silent VM is forgotten. */
    news.boot_id = 6;
    CaroPeerLoads_Apply(b, &news, &alarms, 2 * S);
    assert_int_equal(CaroTargets_GetConst(t, 2)->peer_streams, 9);
    CaroPeerLoads_Tick(b, 60 * S);
    assert_int_equal(CaroTargets_GetConst(t, 2)->peer_streams, 0);
    assert_int_equal(CaroTargets_GetConst(t, 2)->peer_prefill_tokens, 0);
    CaroPeerLoads_Destroy(b);
    CaroTargets_Destroy(t);
}

/* An upstream that starts anew under its id has none of the streams that
   were told of it; their end must not be taken from its count. */
static void
test_news_of_an_earlier_start(void **state)
{
    (void)state;
    CaroTargets *t = CaroTargets_Create();
    CaroPeerLoads *b = CaroPeerLoads_Create(t);
    CaroTargetFailures alarms;
    CaroTargetEntry e = {.started_at_ms = 1000};
    CARO_COPY(e.id, "e0");
    CaroHandle h = CaroTargets_Put(t, &e, S);
    caro_target_load load = {.target = CaroTargets_GetConst(t, h)->id_hash,
                             .running = 3};
    caro_load_report news = {.sender = "v1", .boot_id = 5, .number = 1};
    news.loads.loads_val = &load;
    news.loads.loads_len = 1;
    CaroPeerLoads_Apply(b, &news, &alarms, S);
    e.started_at_ms = 2000;
    h = CaroTargets_Put(t, &e, S);
    assert_int_equal(CaroTargets_GetConst(t, h)->peer_streams, 0);
    news.number = 2;
    news.loads.loads_len = 0;
    CaroPeerLoads_Apply(b, &news, &alarms, S);
    assert_int_equal(CaroTargets_GetConst(t, h)->peer_streams, 0);
    CaroPeerLoads_Destroy(b);
    CaroTargets_Destroy(t);
}

static void
add_vm(CaroMembership *m, const char *name, const char *domain,
       caro_member_state state)
{
    caro_member_update u = {.name = (char *)name,
                            .http = (char *)name,
                            .peer = (char *)name,
                            .domain = (char *)domain,
                            .region = "r",
                            .incarnation = 1,
                            .boot_id = 1,
                            .state = state};
    (void)CaroMembership_Apply(m, &u, S);
}

static void
test_the_directory_prefers_the_callers_domain(void **state)
{
    (void)state;
    const char *out[CARO_DIRECTORY_MAX];
    CaroVm self = {.name = "a1", .http = "a1", .domain = "a", .boot_id = 1};
    CaroMembership *m = CaroMembership_Create(&self, S, 1, S);
    add_vm(m, "a2", "a", CARO_MEMBER_ALIVE);
    add_vm(m, "b1", "b", CARO_MEMBER_ALIVE);
    add_vm(m, "b2", "b", CARO_MEMBER_LEAVING);
    assert_int_equal(CaroDirectory_List(m, "a", true, out), 2);
    /* "b" has one that is ready: too few to bear a loss. */
    assert_int_equal(CaroDirectory_List(m, "b", true, out), 3);
    assert_int_equal(CaroDirectory_List(m, "a", false, out), 2);
    assert_int_equal(CaroDirectory_List(m, NULL, true, out), 3);
    CaroMembership_Destroy(m);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_prompts_do_not_meet),
        cmocka_unit_test(test_memory_is_not_overcommitted),
        cmocka_unit_test(test_a_lost_domain_is_left),
        cmocka_unit_test(test_copies_are_kept_in_another_domain),
        cmocka_unit_test(test_a_copy_is_kept_where_life_was_seen),
        cmocka_unit_test(test_leaving_and_unknown_upstreams),
        cmocka_unit_test(test_an_upstream_that_started_anew),
        cmocka_unit_test(test_old_news_are_dropped),
        cmocka_unit_test(test_news_of_an_earlier_start),
        cmocka_unit_test(test_the_directory_prefers_the_callers_domain),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
