/*
 * Tests of a small fleet on virtual time while the store is restored from
 * older copies: registries and configurations of VMs that exchange them, with
 * a store and an operator of the test's own.
 */
#include "test.h"

#include "internal/caro_active_config.h"
#include "internal/caro_clock.h"
#include "internal/caro_registry.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS CARO_MS
#define S CARO_SECOND
#define STEP (10 * MS)
#define HEARTBEAT_INTERVAL (400 * MS)
#define REVOCATION_MAX (5 * S)
#define REWRITE_DELAY_MAX (500 * MS)
#define RUN_TIME (40 * S)
#define QUIET_TIME (10 * S) /* Without faults and changes, at the end. */

enum { VMS = 6, CALLS_MAX = 64, WRITES_MAX = 256, SEEDS = 300 };

typedef struct {
    bool is_used;
    int vm;
    CaroTime sent_at;
    CaroTime due; /* Of the response, or of the end of a watch. */
    CaroTime deadline;
    bool is_watch;
    long long after;
    char target[160];
    CaroStoreClientDone done;
    void *context;
} Call;

typedef struct {
    CaroRegistry *registry;
    CaroActiveConfig *config;
    CaroTargets *targets;
    CaroCounters counters;
    bool is_cut; /* From the store. */
    CaroTime booted_at;
    CaroTime next_heartbeat;
    int64_t version; /* Highest that was in force since its start. */
} Vm;

/* The store has one key, the configuration; a write's revision is its index
   and 1. */
typedef struct {
    Vm vms[VMS];
    Call calls[CALLS_MAX];
    int64_t versions[WRITES_MAX];
    int n_writes;
    int64_t timeline;
    bool is_down;
    int n_copied;
    /* The operator. */
    int64_t version;
    CaroTime acked_at[WRITES_MAX]; /* By version. */
    CaroTime rewrite_at;           /* 0 for nothing to write again. */
    CaroTime restored_at;
    gsl_rng *rng;
    CaroTime now;
    int calling; /* The VM whose registry is being ticked. */
} Fleet;

static Fleet fleet;

/* Virtual clocks in place of the machine's. */
CaroTime
CaroClock_Now(void)
{
    return fleet.now;
}

CaroTime
CaroClock_BootTime(void)
{
    return fleet.now;
}

int64_t
CaroClock_WallMs(void)
{
    return fleet.now / MS;
}

static bool
draw(Fleet *f, double probability)
{
    return gsl_rng_uniform(f->rng) < probability;
}

static CaroTime
draw_time(Fleet *f, CaroTime max)
{
    return (CaroTime)(gsl_rng_uniform(f->rng) * (double)max);
}

/* Takes the place of the client of the store. */
void
CaroStoreClient_Call(CaroStoreClient *s, CaroStoreCall *call, CaroTime timeout,
                     CaroStoreClientDone done, void *context)
{
    Fleet *f = &fleet;
    (void)s;
    int i = 0;
    while (f->calls[i].is_used) {
        i++;
        assert_true(i < CALLS_MAX);
    }
    const char *after = strstr(call->target, "&after=");
    const char *wait = strstr(call->target, "wait_ms=");
    f->calls[i] =
        (Call){.is_used = true,
               .vm = f->calling,
               .sent_at = f->now,
               .due = f->now + 4 * MS + draw_time(f, 30 * MS),
               .deadline = f->now + timeout,
               .is_watch = wait != NULL,
               .after = after == NULL ? 0 : strtoll(after + 7, NULL, 10),
               .done = done,
               .context = context};
    if (wait != NULL) {
        f->calls[i].due = f->now + strtoll(wait + 8, NULL, 10) * MS;
    }
    (void)snprintf(f->calls[i].target, sizeof(f->calls[i].target), "%s",
                   call->target);
    CaroStoreCall_Clear(call);
}

static const char *
config_text(int64_t version)
{
    static char text[256];
    (void)snprintf(text, sizeof(text),
                   "{\"version\":%lld,\"routes\":[{\"name\":\"r\",\"host\":"
                   "\"h\",\"path_prefix\":\"/\",\"kind\":\"idempotent\","
                   "\"service\":\"s\"}]}",
                   (long long)version);
    return text;
}

/* Responds to a call with the state of the store now. */
static void
respond(Fleet *f, Call *c)
{
    char key[] = "op/config";
    char value[256];
    CaroStoreItem item = {.key = key, .value = value};
    CaroStoreResponse r = {.timeline = f->timeline,
                           .revision =
                               CaroRevision_Make(f->timeline, f->n_writes + 1),
                           .has_store_revision = true,
                           .items = &item};
    int status = 200;
    (void)snprintf(
        value, sizeof(value), "%s",
        config_text(f->n_writes > 0 ? f->versions[f->n_writes - 1] : 0));
    item.size = strlen(value);
    item.revision = r.revision;
    if (c->is_watch && c->after > f->n_writes + 1) {
        status = 410;
    }
    else if (strncmp(c->target, "/kv-lease", 9) == 0) {
        r.lease = 1;
    }
    else if (strncmp(c->target, "/kv-", 4) == 0) {
        bool has_changed = !c->is_watch || c->after < f->n_writes + 1;
        r.has_list = true;
        r.n_items = f->n_writes > 0 && has_changed;
    }
    c->is_used = false;
    c->done(c->context, 0, status, &r, c->sent_at);
}

static void
step_calls(Fleet *f)
{
    for (int i = 0; i < CALLS_MAX; i++) {
        Call *c = &f->calls[i];
        if (!c->is_used) {
            continue;
        }
        f->calling = c->vm;
        bool is_lost = f->is_down || f->vms[c->vm].is_cut;
        bool has_events = c->is_watch && (c->after != f->n_writes + 1);
        if (is_lost && f->now >= c->deadline) {
            c->is_used = false;
            c->done(c->context, CARO_ERR_TIMEOUT, 0, NULL, c->sent_at);
        }
        else if (!is_lost && (f->now >= c->due || has_events)) {
            respond(f, c);
        }
    }
}

static int
on_config(void *context, const char *bytes, size_t size, CaroRevision revision)
{
    Vm *vm = context;
    int rc = CaroActiveConfig_Apply(vm->config, bytes, size, revision, "store",
                                    fleet.now);
    return rc == CARO_CONFIG_APPLIED ? 0 : rc;
}

static void
on_config_confirmed(void *context, CaroRevision revision, CaroTime sent_at)
{
    Vm *vm = context;
    CaroConfigFreshness_Record(CaroActiveConfig_Freshness(vm->config),
                               revision, sent_at);
}

static const CaroRegistryHandlers handlers = {
    .on_config = on_config, .on_config_confirmed = on_config_confirmed};

static void
start_vm(Fleet *f, int i)
{
    Vm *vm = &f->vms[i];
    memset(vm, 0, sizeof(*vm));
    f->calling = i;
    vm->config = CaroActiveConfig_Create(&vm->counters);
    vm->targets = CaroTargets_Create();
    vm->booted_at = f->now;
    vm->registry =
        CaroRegistry_Create((CaroStoreClient *)vm, vm->targets, &vm->counters,
                            f->rng, &handlers, vm, f->now);
}

static void
stop_vm(Fleet *f, int i)
{
    for (int c = 0; c < CALLS_MAX; c++) {
        f->calls[c].is_used &= f->calls[c].vm != i;
    }
    CaroRegistry_Destroy(f->vms[i].registry);
    CaroActiveConfig_Destroy(f->vms[i].config);
    CaroTargets_Destroy(f->vms[i].targets);
}

/* A VM probes another: both learn each other's revision, and the one that
   probed a confirmation. */
static void
exchange(Fleet *f, Vm *from, Vm *to)
{
    size_t size;
    const char *text = CaroActiveConfig_Text(to->config, &size);
    CaroConfigFreshness seen = *CaroActiveConfig_FreshnessConst(to->config);
    if (text != NULL && CaroActiveConfig_Wants(from->config, seen.revision) &&
        CaroActiveConfig_Apply(from->config, text, size, seen.revision, "peer",
                               f->now) >= 0) {
        CaroRegistry_RecordPeerConfig(from->registry, seen.revision);
    }
    CaroConfigFreshness_RecordPeer(
        CaroActiveConfig_Freshness(from->config), seen.revision,
        CaroConfigFreshness_Age(&seen, f->now), f->now);
}

static void
write_version(Fleet *f)
{
    if (!f->is_down) {
        f->versions[f->n_writes++] = f->version;
        f->rewrite_at = 0;
        if (f->acked_at[f->version] == 0) {
            f->acked_at[f->version] = f->now;
        }
    }
}

/* Changes, cuts, restarts, outages and restorations. */
static void
step_world(Fleet *f)
{
    double step_s = (double)STEP / (double)S;
    if (f->rewrite_at != 0 && f->now >= f->rewrite_at) {
        write_version(f);
    }
    if (f->now >= RUN_TIME - QUIET_TIME) {
        f->is_down = false;
        for (int i = 0; i < VMS; i++) {
            f->vms[i].is_cut = false;
        }
        return;
    }
    if (f->rewrite_at == 0 && !f->is_down && draw(f, 0.5 * step_s)) {
        f->version++;
        write_version(f);
    }
    if (draw(f, 0.3 * step_s)) {
        f->n_copied = f->n_writes;
    }
    if (!f->is_down && draw(f, 0.1 * step_s)) {
        if (f->rewrite_at == 0) {
            /* Nobody reads it before the outage. */
            f->version++;
            write_version(f);
        }
        f->is_down = true;
    }
    else if (f->is_down && draw(f, 0.25 * step_s)) {
        f->is_down = false;
        if (draw(f, 0.7) && f->n_copied <= f->n_writes) {
            f->n_writes = f->n_copied;
            f->timeline++;
            f->restored_at = f->now;
            f->rewrite_at = f->now + draw_time(f, REWRITE_DELAY_MAX);
        }
    }
    for (int i = 0; i < VMS; i++) {
        Vm *vm = &f->vms[i];
        vm->is_cut ^= draw(f, (vm->is_cut ? 0.3 : 0.15) * step_s);
        if (draw(f, 0.01 * step_s)) {
            stop_vm(f, i);
            start_vm(f, i);
        }
    }
}

static void
check_vm(const Fleet *f, Vm *vm, uint64_t seed)
{
    const CaroRoutes *routes = CaroActiveConfig_Routes(vm->config);
    if (routes == NULL) {
        return;
    }
    int64_t version = CaroRoutes_Version(routes);
    if (version < vm->version) {
        fail_msg("seed %llu: version %lld came back after %lld at %lld ms",
                 (unsigned long long)seed, (long long)version,
                 (long long)vm->version, (long long)(f->now / MS));
    }
    vm->version = version;
    /* One that started beside the copy may not know better. */
    if (vm->booted_at + S > f->restored_at &&
        f->now < f->restored_at + REVOCATION_MAX) {
        return;
    }
    if (CaroConfigFreshness_IsFresh(
            CaroActiveConfig_FreshnessConst(vm->config), REVOCATION_MAX,
            f->now) &&
        version < f->version && f->acked_at[version + 1] != 0 &&
        f->now - f->acked_at[version + 1] > REVOCATION_MAX) {
        fail_msg("seed %llu: version %lld is served as the newest at %lld ms, "
                 "%lld was acknowledged at %lld",
                 (unsigned long long)seed, (long long)version,
                 (long long)(f->now / MS), (long long)(version + 1),
                 (long long)(f->acked_at[version + 1] / MS));
    }
}

/* Guards against an acknowledged version that comes back older, one that is
   served as the newest after its successor's time, and VMs that do not agree
   after a restoration. */
static void
test_fleet_recovers_from_restorations(void **state)
{
    (void)state;
    Fleet *f = &fleet;
    int64_t n_restorations = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        memset(f, 0, sizeof(*f));
        f->now = S;
        f->rng = gsl_rng_alloc(gsl_rng_taus2);
        gsl_rng_set(f->rng, seed);
        f->version = 1;
        write_version(f);
        for (int i = 0; i < VMS; i++) {
            start_vm(f, i);
        }
        for (; f->now < RUN_TIME; f->now += STEP) {
            step_world(f);
            step_calls(f);
            for (int i = 0; i < VMS; i++) {
                Vm *vm = &f->vms[i];
                f->calling = i;
                CaroRegistry_Tick(vm->registry, f->now);
                if (f->now >= vm->next_heartbeat) {
                    int other = (int)gsl_rng_uniform_int(f->rng, VMS - 1) + 1;
                    vm->next_heartbeat = f->now + HEARTBEAT_INTERVAL;
                    exchange(f, vm, &f->vms[(i + other) % VMS]);
                }
                check_vm(f, vm, seed);
            }
        }
        n_restorations += f->timeline;
        for (int i = 0; i < VMS; i++) {
            assert_int_equal(f->vms[i].version, f->version);
            assert_true(CaroConfigFreshness_IsFresh(
                CaroActiveConfig_FreshnessConst(f->vms[i].config),
                REVOCATION_MAX, f->now));
            stop_vm(f, i);
        }
        gsl_rng_free(f->rng);
    }
    print_message("%lld restorations in %d runs\n", (long long)n_restorations,
                  SEEDS);
    assert_true(n_restorations > SEEDS / 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_fleet_recovers_from_restorations),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
