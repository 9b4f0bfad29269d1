/*
 * Simulation on virtual time of a large configuration on its way through a
 * fleet: links and processors have a speed, transfers share the link of the VM
 * that sends, and connections die in silence.  It uses the frames of
 * caro_config_texts and the refusals of caro_active_config, and checks how
 * late a VM still handles requests by the older configuration.
 */
#include "test.h"

#include "internal/caro_active_config.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS CARO_MS
#define S CARO_SECOND
#define STEP (10 * MS)
/* Of the platform: the longest time after the acknowledgement. */
#define DELAY_MAX (3 * S)
/* Of the product (docs/design/configuration-delay.md). */
#define WATCH_DELAY (400 * MS)
#define HEARTBEAT_INTERVAL (400 * MS)
#define CALL_INTERVAL (400 * MS)
#define SILENCE_TIMEOUT (1 * S)
#define STORE_READ_DELAY (500 * MS)
#define LACKING_MAX (DELAY_MAX / 3)
/* Processor time at a whole core of decoding and of reading the text. */
#define DECODE_TIME (18 * MS)
#define READ_TIME (7 * MS)

enum { VMS_MAX = 300, DOMAINS = 3, READERS = 2, ROUTES = 4250, OLD = 20, NEW };

static char texts[2][1200000];

typedef struct {
    CaroActiveConfig *config;
    double cores;
    double bytes_per_us; /* Of its link. */
    CaroTime link_free;  /* Its last transfer to another VM ends. */
    CaroTime next_heartbeat;
    CaroTime next_call;    /* To a reader. */
    CaroTime store_at;     /* The value from the store arrives; 0: none. */
    CaroTime known_at;     /* First announcement; 0 before. */
    CaroTime fetch_ends;   /* 0: none in progress. */
    bool is_fetch_dead;    /* It ends without a reply. */
    CaroTime applied_at;   /* 0 before. */
    CaroTime served_until; /* By the older one. */
} Vm;

typedef struct {
    Vm vms[VMS_MAX];
    int n;
    gsl_rng *rng;
    double dead_share; /* Of the connections between VMs. */
    size_t frame_bytes;
} Fleet;

static size_t
write_text(char *out, size_t size, int routes)
{
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    size_t n = (size_t)snprintf(out, size, "{\"version\":1,\"routes\":[");
    for (int i = 0; i < routes; i++) {
        n += (size_t)snprintf(
            out + n, size - n,
            "%s{\"name\":\"r%08lx\",\"host\":\"a.example\",\"path_prefix\":"
            "\"/%08lx/\",\"service\":\"investor-api\",\"kind\":"
            "\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":150,"
            "\"max_attempts\":2,\"priority\":2,\"public\":false}",
            i == 0 ? "" : ",", gsl_rng_get(rng), gsl_rng_get(rng));
    }
    gsl_rng_free(rng);
    return n + (size_t)snprintf(out + n, size - n, "]}");
}

/* Returns the bytes of the frame by which a VM with the older text gets the
   newer one. */
static size_t
measure_frame(size_t *size)
{
    caro_packed_config packed;
    CaroConfigTexts *t = CaroConfigTexts_Create();
    size_t before = write_text(texts[0], sizeof(texts[0]), ROUTES * 2 / 3);
    *size = write_text(texts[1], sizeof(texts[1]), ROUTES);
    assert_int_equal(CaroConfigTexts_Add(t, texts[0], before, OLD), 0);
    assert_int_equal(CaroConfigTexts_Add(t, texts[1], *size, NEW), 0);
    assert_int_equal(CaroConfigTexts_Pack(t, OLD, &packed), 0);
    size_t n = packed.frame.frame_len;
    CaroConfigTexts_Destroy(t);
    return n;
}

static CaroTime
processor_time(const Vm *vm, CaroTime at_whole_core)
{
    return (CaroTime)((double)at_whole_core / vm->cores);
}

static void
apply(Vm *vm, CaroTime now)
{
    static const char text[] = "{\"version\":2,\"routes\":[]}";
    if (vm->applied_at == 0) {
        vm->applied_at = now;
        assert_int_equal(CaroActiveConfig_Apply(vm->config, text, strlen(text),
                                                NEW, "test", now),
                         CARO_CONFIG_APPLIED);
    }
}

/* The VM hears from another one, which may have the newer one. */
static void
hear(Fleet *f, Vm *vm, Vm *from, CaroTime now)
{
    if (from->applied_at == 0 || vm->applied_at != 0) {
        return;
    }
    vm->known_at = vm->known_at == 0 ? now : vm->known_at;
    CaroActiveConfig_RecordAnnounced(vm->config, NEW, now);
    if (vm->fetch_ends != 0) {
        return;
    }
    vm->is_fetch_dead = gsl_rng_uniform(f->rng) < f->dead_share;
    if (vm->is_fetch_dead) {
        vm->fetch_ends = now + SILENCE_TIMEOUT;
        return;
    }
    double slower = from->bytes_per_us < vm->bytes_per_us ? from->bytes_per_us
                                                          : vm->bytes_per_us;
    CaroTime begins = from->link_free > now ? from->link_free : now;
    CaroTime sent = (CaroTime)((double)f->frame_bytes / slower);
    from->link_free = begins + sent;
    vm->fetch_ends = from->link_free + processor_time(vm, READ_TIME);
}

static void
step_vm(Fleet *f, int i, CaroTime value_time, CaroTime now)
{
    Vm *vm = &f->vms[i];
    if (now >= vm->next_heartbeat) {
        Vm *other = &f->vms[gsl_rng_uniform_int(f->rng, (unsigned long)f->n)];
        vm->next_heartbeat += HEARTBEAT_INTERVAL;
        hear(f, vm, other, now);
        hear(f, other, vm, now);
    }
    if (now >= vm->next_call) {
        vm->next_call += CALL_INTERVAL;
        int reader =
            i % DOMAINS + DOMAINS * (int)gsl_rng_uniform_int(f->rng, READERS);
        hear(f, vm, &f->vms[reader], now);
    }
    if (vm->fetch_ends != 0 && now >= vm->fetch_ends) {
        vm->fetch_ends = 0;
        if (!vm->is_fetch_dead) {
            apply(vm, now);
        }
    }
    if (vm->store_at == 0 && vm->known_at != 0 &&
        now - vm->known_at >= STORE_READ_DELAY) {
        vm->store_at = now + value_time;
    }
    if (vm->store_at != 0 && now >= vm->store_at) {
        apply(vm, now);
    }
    if (vm->applied_at == 0 &&
        CaroActiveConfig_LackingTime(vm->config, now) <= LACKING_MAX) {
        vm->served_until = now;
    }
}

/* Plays the time after a configuration is written at 1 s.  Returns how long
   after that a VM served by the older one. */
static CaroTime
play(int n, bool are_readers_slow, double dead_share, unsigned long seed,
     CaroTime *last_applied)
{
    static Fleet fleet;
    static const char old[] = "{\"version\":1,\"routes\":[]}";
    Fleet *f = &fleet;
    size_t size;
    CaroTime latest = 0;
    memset(f, 0, sizeof(*f));
    f->n = n;
    f->dead_share = dead_share;
    f->frame_bytes = measure_frame(&size);
    f->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(f->rng, seed);
    CaroCounters counters = {{0}};
    for (int i = 0; i < n; i++) {
        Vm *vm = &f->vms[i];
        bool is_reader = i < DOMAINS * READERS;
        bool is_fast = is_reader ? !are_readers_slow : i % 9 == 0;
        vm->cores = is_fast ? 0.5 : 0.09;
        vm->bytes_per_us = is_fast ? 25.0 : 1.25; /* 200 and 10 Mbit/s. */
        vm->config = CaroActiveConfig_Create(&counters);
        assert_int_equal(CaroActiveConfig_Apply(vm->config, old, strlen(old),
                                                OLD, "test", S),
                         CARO_CONFIG_APPLIED);
        vm->next_heartbeat =
            S + (CaroTime)(gsl_rng_uniform(f->rng) * HEARTBEAT_INTERVAL);
        vm->next_call =
            S + (CaroTime)(gsl_rng_uniform(f->rng) * CALL_INTERVAL);
        CaroTime transfer =
            (CaroTime)((double)size * 4 / 3 / vm->bytes_per_us);
        if (is_reader) {
            vm->store_at =
                S + (CaroTime)(gsl_rng_uniform(f->rng) * WATCH_DELAY) +
                transfer + processor_time(vm, DECODE_TIME + READ_TIME);
        }
    }
    *last_applied = 0;
    for (CaroTime now = S; now < 9 * S; now += STEP) {
        for (int i = 0; i < n; i++) {
            Vm *vm = &f->vms[i];
            step_vm(f, i,
                    (CaroTime)((double)size * 4 / 3 / vm->bytes_per_us) +
                        processor_time(vm, DECODE_TIME + READ_TIME),
                    now);
        }
    }
    for (int i = 0; i < n; i++) {
        assert_true(f->vms[i].applied_at != 0);
        if (f->vms[i].served_until - S > latest) {
            latest = f->vms[i].served_until - S;
        }
        if (f->vms[i].applied_at - S > *last_applied) {
            *last_applied = f->vms[i].applied_at - S;
        }
        CaroActiveConfig_Destroy(f->vms[i].config);
    }
    gsl_rng_free(f->rng);
    return latest;
}

/* Guards against a VM that handles requests by an older configuration later
   than the platform allows. */
static void
test_large_configuration_is_in_force_within_its_bound(void **state)
{
    (void)state;
    static const int sizes[] = {41, 78, 295};
    static const double dead_shares[] = {0.0, 0.3, 0.8};
    for (int i = 0; i < 3; i++) {
        for (int slow = 0; slow < 2; slow++) {
            for (int dead = 0; dead < 3; dead++) {
                CaroTime longest = 0;
                CaroTime last_applied = 0;
                for (unsigned long seed = 1; seed <= 3; seed++) {
                    CaroTime applied;
                    CaroTime served = play(sizes[i], slow == 1,
                                           dead_shares[dead], seed, &applied);
                    longest = served > longest ? served : longest;
                    last_applied =
                        applied > last_applied ? applied : last_applied;
                }
                print_message("vms=%d slow_readers=%d dead=%.1f served_ms="
                              "%lld applied_ms=%lld\n",
                              sizes[i], slow, dead_shares[dead],
                              (long long)(longest / MS),
                              (long long)(last_applied / MS));
                assert_true(longest <= DELAY_MAX);
            }
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_large_configuration_is_in_force_within_its_bound),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
