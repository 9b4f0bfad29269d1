/*
 * A node: creates its components, connects them and runs their timers.
 *
 * Everything runs in one event loop on one thread.  The fast tick drives the
 * membership, sessions and their admission, load polling and rollouts; the
 * slow tick drives what may be delayed by a second.
 */
#include "caro_node.h"

#include "../Filters/caro_filters.h"
#include "internal/caro_addresses.h"
#include "internal/caro_clock.h"
#include "internal/caro_console.h"
#include "internal/caro_fleet.h"
#include "internal/caro_log.h"
#include "internal/caro_order_handler.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL (20 * CARO_MS)
#define SLOW_TICK_INTERVAL (500 * CARO_MS)
/* A longer time between ticks means that the process was stopped. */
#define PROCESS_PAUSE_MIN (250 * CARO_MS)
#define LINGER_DELAY (500 * CARO_MS)

enum {
    DECISIONS_MAX = 512,
    HEADER_BYTES_MAX = 16384,
    /* Bodies of up to this many times body_bytes_max are read and answered
       with 413 and the limit; longer ones with 413 alone. */
    BODY_READ_FACTOR = 4,
    ALL_BODY_BYTES_MAX = 64 << 20,
    HELD_BYTES_MAX = 128 << 20,
    CONNECTIONS_MAX = 4096,
    PATH_SHOWN_MAX = 80
};
#define WRITE_TIMEOUT (10 * CARO_SECOND)

struct CaroNode {
    CaroCommon common;
    CaroSettings settings; /* Borrowed by common. */
    uint64_t rng;          /* Borrowed by common. */
    CaroCounters counters; /* Borrowed by common. */
    CaroHttpServer *http_server;
    struct event *tick_event;
    gsl_rng *fleet_rng; /* Borrowed by the fleet. */
    CaroFleet *fleet;
    CaroOrderCoordinator *order_coordinator;
    CaroOrderHandler *order_handler;
    CaroConsole *console;
    CaroLoadPoller *poller;
    CaroAdmissions *admissions;
    CaroConfigManager *config_manager;
    CaroDeploymentRollouts *rollouts;
    CaroSessions *sessions;

    CaroTime awake_time;   /* Monotonic time without pauses of the process. */
    CaroTime last_tick_at; /* Monotonic time. */
    CaroTime next_slow_tick_at;

    bool is_draining;
    CaroTime drain_deadline;
    CaroTime idle_since; /* Set while draining; 0 while there is work. */
};

/* Advances the awake time by the time since the last tick, or by one tick
   interval when the process was stopped in between. */
static void
advance_clocks(CaroNode *n, CaroTime now)
{
    CaroTime elapsed = now - n->last_tick_at;
    if (elapsed > PROCESS_PAUSE_MIN) {
        CaroCounters_Add(n->common.counters, CARO_COUNT_PAUSES, 1);
        CaroLog_Warn("node",
                     "The process was stopped between two ticks. ms=%lld",
                     (long long)(elapsed / CARO_MS));
        elapsed = TICK_INTERVAL;
    }
    n->awake_time += elapsed;
    n->last_tick_at = now;
}

static void
update_limits(CaroNode *n, CaroTime now)
{
    CaroAdmissions_UpdateLimits(
        n->admissions, n->common.upstreams,
        CaroMembership_CountUsable(n->common.membership), now);
}

static void
slow_tick(CaroNode *n, CaroTime now)
{
    CaroTime ticket_ttl = n->common.settings->ticket_ttl_ms * CARO_MS;
    CaroSessions_Expire(n->sessions, now);
    CaroOrderCoordinator_Expire(n->order_coordinator, now - 2 * ticket_ttl);
    update_limits(n, now);
    CaroConfigManager_Tick(n->config_manager, now);
}

/* A drained node keeps running for LINGER_DELAY, so that buffered responses
   are sent and other VMs can still fetch the journals it holds. */
static bool
is_drained(CaroNode *n, CaroTime now)
{
    bool is_idle =
        CaroSessions_Count(n->sessions) == 0 &&
        CaroOrderCoordinator_CountRunning(n->order_coordinator) == 0;
    if (!n->is_draining) {
        return false;
    }
    if (!is_idle) {
        n->idle_since = 0;
    }
    else if (n->idle_since == 0) {
        n->idle_since = now;
    }
    bool has_lingered =
        n->idle_since != 0 && now - n->idle_since >= LINGER_DELAY;
    return has_lingered || now >= n->drain_deadline + LINGER_DELAY;
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroNode *n = arg;
    CaroTime now = CaroClock_Now();
    advance_clocks(n, now);
    CaroFleet_Tick(n->fleet, now);
    CaroSessions_Tick(n->sessions, n->awake_time, now);
    CaroLoadPoller_Tick(n->poller, now);
    CaroDeploymentRollouts_Tick(n->rollouts, now);
    if (now >= n->next_slow_tick_at) {
        n->next_slow_tick_at = now + SLOW_TICK_INTERVAL;
        slow_tick(n, now);
    }
    if (is_drained(n, now)) {
        CaroLog_Info("node", "The drain is complete; leaving the event loop.");
        event_base_loopbreak(n->common.base);
    }
}

static void
init_self(const CaroNode *n, CaroVm *self)
{
    memset(self, 0, sizeof(*self));
    CARO_COPY(self->name, n->common.settings->vm);
    CARO_COPY(self->http, n->common.settings->http);
    CARO_COPY(self->peer, n->common.settings->peer);
    CARO_COPY(self->domain, n->common.settings->domain);
    CARO_COPY(self->region, n->common.settings->region);
    /* The wall clock orders the incarnations of one VM.  A VM whose clock was
       set back learns its previous incarnation from the others and chooses a
       higher one. */
    self->incarnation = (uint64_t)CaroClock_WallMs();
    self->boot_id = n->common.boot_id;
    self->state = CARO_MEMBER_ALIVE;
}

static int
create_tables(CaroNode *n)
{
    n->fleet_rng = gsl_rng_alloc(gsl_rng_taus2);
    n->common.upstreams = CaroUpstreams_Create();
    n->common.decisions = CaroDecisions_Create(DECISIONS_MAX);
    bool is_created = n->fleet_rng != NULL && n->common.upstreams != NULL &&
                      n->common.decisions != NULL;
    return is_created ? 0 : CARO_ERR_NOMEM;
}

/* Applies a newer configuration to the components and announces it. */
static void
on_config(void *context, const CaroConfig *config, CaroTime now)
{
    enum { CONFIG_FANOUT = 4 };
    CaroNode *n = context;
    CaroAdmissions_SetWeights(n->admissions, config);
    CaroDeploymentRollouts_Apply(n->rollouts, config);
    update_limits(n, now);
    CaroFleet_Announce(n->fleet, CONFIG_FANOUT);
}

static void
on_bad_version(void *context)
{
    enum { BAD_VERSION_FANOUT = 4 };
    CaroNode *n = context;
    CaroFleet_Announce(n->fleet, BAD_VERSION_FANOUT);
}

static void
on_drain_requested(void *context)
{
    CaroNode_Drain(context);
}

static bool
is_draining(const void *context)
{
    return ((const CaroNode *)context)->is_draining;
}

/* Creates the components that need the RPC of the fleet. */
static int
create_components(CaroNode *n, CaroTime now)
{
    n->config_manager =
        CaroConfigManager_Create(&n->common, on_config, n, now);
    n->rollouts = CaroDeploymentRollouts_Create(&n->common, n->config_manager,
                                                on_bad_version, n);
    n->admissions = CaroAdmissions_Create((int)n->settings.queue_max);
    n->poller = CaroLoadPoller_Create(&n->common);
    n->order_coordinator = CaroOrderCoordinator_Create(&n->common);
    n->order_handler =
        CaroOrderHandler_Create(&n->common, n->order_coordinator);
    CaroSessionDeps deps = {.admissions = n->admissions,
                            .poller = n->poller,
                            .rollouts = n->rollouts};
    n->sessions = CaroSessions_Create(&n->common, &deps);
    CaroConsoleDeps console_deps = {.config_manager = n->config_manager,
                                    .rollouts = n->rollouts,
                                    .admissions = n->admissions,
                                    .sessions = n->sessions,
                                    .orders = n->order_coordinator,
                                    .drain = on_drain_requested,
                                    .is_draining = is_draining,
                                    .context = n};
    n->console = CaroConsole_Create(&n->common, &console_deps);
    bool is_created = n->console != NULL && n->sessions != NULL &&
                      n->config_manager != NULL && n->rollouts != NULL &&
                      n->admissions != NULL && n->poller != NULL &&
                      n->order_coordinator != NULL && n->order_handler != NULL;
    return is_created ? 0 : CARO_ERR_NOMEM;
}

/* This interface has no revocable keys, so only the revision is reported,
   without the time at which it was confirmed to be the newest. */
static CaroConfigFreshness
own_config_freshness(void *context)
{
    const CaroNode *n = context;
    return (CaroConfigFreshness){
        .revision = (int64_t)CaroConfigManager_Revision(n->config_manager)};
}

static bool
get_config(void *context, const char **bytes, size_t *size, int64_t *revision)
{
    const CaroNode *n = context;
    const CaroConfig *config = CaroConfigManager_Get(n->config_manager);
    if (config == NULL) {
        return false;
    }
    *bytes = config->text;
    *size = config->text_size;
    *revision = (int64_t)config->revision;
    return true;
}

static void
on_peer_config(void *context, const char *bytes, size_t size, int64_t revision)
{
    CaroNode *n = context;
    CaroConfigManager_Apply(n->config_manager, bytes, size,
                            (uint64_t)revision);
}

static int
collect_own_evidence(void *context,
                     caro_rollout_evidence evidence[CARO_ROLLOUTS_MAX])
{
    const CaroNode *n = context;
    return CaroDeploymentRollouts_CollectEvidence(n->rollouts, evidence);
}

static void
on_peer_evidence(void *context, CaroHandle vm,
                 const caro_rollout_evidence *evidence, int count)
{
    CaroNode *n = context;
    CaroDeploymentRollouts_ApplyEvidence(n->rollouts, vm, evidence, count);
}

static void
on_vm_changed(void *context, const CaroVm *vm, caro_member_state before)
{
    CaroNode *n = context;
    CaroDecisions_Add(
        n->common.decisions, CaroClock_WallMs(), "member", vm->name,
        CaroMembership_StateName(vm->state), "was %s, incarnation %llu",
        CaroMembership_StateName(before), (unsigned long long)vm->incarnation);
}

/* Dispatches a call of another VM to the component that handles it. */
static void
on_call(void *context, CaroRpcRequest *request, uint32_t procedure, void *args)
{
    CaroNode *n = context;
    CaroTime now = CaroClock_Now();
    caro_order_outcome outcome = {.key = ""};
    switch (procedure) {
    case CARO_JOURNAL:
        CaroSessions_OnJournalBatch(n->sessions, request, args, now);
        break;
    case CARO_TAKEOVER:
        CaroSessions_OnTakeover(n->sessions, request, args);
        break;
    case CARO_INTENT:
        CaroOrderCoordinator_OnIntent(n->order_coordinator, args, &outcome,
                                      now);
        CaroRpc_Reply(request, &outcome);
        break;
    case CARO_OUTCOME:
        CaroOrderCoordinator_OnOutcome(n->order_coordinator, args, now);
        CaroRpc_Reply(request, &outcome);
        break;
    case CARO_FORWARD:
        CaroOrderCoordinator_OnForward(n->order_coordinator, request, args,
                                       now);
        break;
    case CARO_DECIDE:
        CaroOrderCoordinator_OnDecide(n->order_coordinator, args, &outcome,
                                      now);
        CaroRpc_Reply(request, &outcome);
        break;
    case CARO_DRAIN:
        CaroNode_Drain(n);
        CaroFleet_ReplyWithHeartbeat(n->fleet, request,
                                     ((caro_heartbeat *)args)->sender);
        break;
    case CARO_WHY:
        CaroConsole_OnWhy(n->console, request, args);
        break;
    default:
        CaroRpc_Ignore(request);
        break;
    }
}

static const CaroFleetHandlers fleet_handlers = {
    .get_config_freshness = own_config_freshness,
    .get_config = get_config,
    .on_config = on_peer_config,
    .collect_evidence = collect_own_evidence,
    .on_evidence = on_peer_evidence,
    .on_changed = on_vm_changed,
    .on_call = on_call,
};

static int
create_fleet(CaroNode *n, CaroTime now, CaroError *err)
{
    CaroVm self;
    init_self(n, &self);
    CaroFleetOptions options = {
        .heartbeat_interval = n->settings.heartbeat_interval_ms * CARO_MS,
        .counters = &n->counters};
    n->fleet = CaroFleet_Create(n->common.base, &self, &options, n->fleet_rng,
                                &fleet_handlers, n, now, err);
    if (n->fleet == NULL) {
        return CARO_ERR_IO;
    }
    n->common.rpc = CaroFleet_Rpc(n->fleet);
    n->common.membership = CaroFleet_GetMembership(n->fleet);
    for (int i = 0; i < n->settings.n_seeds; i++) {
        const CaroSeed *seed = &n->settings.seeds[i];
        CaroVm vm = {.incarnation = 0};
        CARO_COPY(vm.name, seed->name);
        CARO_COPY(vm.http, seed->http);
        CARO_COPY(vm.peer, seed->peer);
        CARO_COPY(vm.domain, seed->domain);
        CARO_COPY(vm.region, seed->region);
        CaroFleet_AddSeed(n->fleet, &vm, now);
    }
    return 0;
}

static bool
is_method(CaroCall *req, const char *method)
{
    if (CaroHttp_IsMethod(req, method)) {
        return true;
    }
    CaroHttp_SendProblem(req, 405, CARO_RUN_NO, "method not allowed",
                         "allowed: %s", method);
    return false;
}

static bool
is_body_allowed(const CaroNode *n, CaroCall *req)
{
    size_t size = evbuffer_get_length(CaroCall_Body(req));
    if (size <= (size_t)n->settings.body_bytes_max) {
        return true;
    }
    CaroHttp_SendProblem(req, 413, CARO_RUN_NO, "the body is too large",
                         "found %zu bytes; allowed: %lld", size,
                         (long long)n->settings.body_bytes_max);
    return false;
}

static void
on_http(void *context, CaroCall *req)
{
    CaroNode *n = context;
    CaroTime now = CaroClock_Now();
    CaroText path = CaroHttp_Path(req);
    if (!is_body_allowed(n, req)) {
        return;
    }
    if (CaroText_Equals(path, "/v1/completions")) {
        if (is_method(req, "POST")) {
            CaroFilterDeps deps = {.common = &n->common,
                                   .config_manager = n->config_manager,
                                   .sessions = n->sessions,
                                   .is_draining = n->is_draining};
            CaroFilters_Run(&deps, req, now);
        }
    }
    else if (CaroText_StartsWith(path, "/v1/orders/")) {
        CaroOrderHandler_Handle(n->order_handler, req,
                                CaroConfigManager_Get(n->config_manager), now);
    }
    else if (CaroText_Equals(path, "/v1/addresses")) {
        if (is_method(req, "GET")) {
            CaroAddresses_Handle(&n->common, req, now);
        }
    }
    else if (CaroText_Equals(path, "/v1/command")) {
        if (is_method(req, "POST")) {
            CaroConsole_OnCommand(n->console, req, now);
        }
    }
    else if (CaroText_Equals(path, "/v1/config")) {
        CaroConsole_OnConfig(n->console, req);
    }
    else if (CaroText_Equals(path, "/v1/state")) {
        CaroConsole_OnDump(n->console, req, now);
    }
    else if (CaroText_Equals(path, "/v1/counters")) {
        CaroConsole_OnCounters(n->console, req);
    }
    else {
        CaroHttp_SendProblem(
            req, 404, CARO_RUN_NO, "no such path",
            "found %.*s; docs/operators.md lists the paths",
            (int)(path.size < PATH_SHOWN_MAX ? path.size : PATH_SHOWN_MAX),
            path.at);
    }
}

static void
on_refused(void *context, const char *peer, int status, const char *reason)
{
    (void)context;
    CaroLog_Info("node",
                 "A connection was refused. peer=%s status=%d reason=\"%s\"",
                 peer, status, reason);
}

static void
on_cut(void *context, const char *peer, size_t unsent, const char *reason)
{
    CaroNode *n = context;
    CaroCounters_Add(n->common.counters, CARO_COUNT_CONNECTIONS_CUT, 1);
    CaroLog_Info("node",
                 "A connection was closed before its response was sent. "
                 "peer=%s unsent=%zu reason=\"%s\"",
                 peer, unsent, reason);
}

static void
on_shed(void *context, const char *peer, size_t held)
{
    CaroNode *n = context;
    CaroCounters_Add(n->common.counters, CARO_COUNT_CONNECTIONS_SHED, 1);
    CaroLog_Warn("node", "A connection was shed. peer=%s held_bytes=%zu", peer,
                 held);
}

static const CaroHttpServerHandlers http_handlers = {.on_request = on_http,
                                                     .on_refused = on_refused,
                                                     .on_cut = on_cut,
                                                     .on_shed = on_shed};

static int
serve_http(CaroNode *n, CaroError *err)
{
    const CaroSettings *s = n->common.settings;
    CaroTime timeout = s->header_timeout_ms * CARO_MS;
    CaroHttpServerLimits limits = {.held_bytes_max = HELD_BYTES_MAX,
                                   .head_bytes_max = HEADER_BYTES_MAX,
                                   .body_bytes_max = BODY_READ_FACTOR *
                                                     (size_t)s->body_bytes_max,
                                   .all_bytes_max = ALL_BODY_BYTES_MAX,
                                   .connections_max = CONNECTIONS_MAX,
                                   .head_timeout = timeout,
                                   .idle_timeout = timeout,
                                   .write_timeout = WRITE_TIMEOUT};
    n->http_server = CaroHttpServer_Create(n->common.base, s->http, &limits,
                                           &http_handlers, n, err);
    return n->http_server == NULL ? CARO_ERR_IO : 0;
}

static int
start_timers(CaroNode *n)
{
    struct timeval tick = {.tv_usec = TICK_INTERVAL};
    n->tick_event = event_new(n->common.base, -1, EV_PERSIST, on_tick, n);
    if (n->tick_event == NULL || event_add(n->tick_event, &tick) < 0) {
        return CARO_ERR_NOMEM;
    }
    return 0;
}

CaroNode *
CaroNode_Create(struct event_base *base, const CaroSettings *settings,
                CaroError *err)
{
    CaroNode *n = calloc(1, sizeof(*n));
    if (n == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "node", settings->vm,
                            "no memory");
        return NULL;
    }
    CaroTime now = CaroClock_Now();
    n->settings = *settings;
    n->common.base = base;
    n->common.settings = &n->settings;
    n->common.counters = &n->counters;
    n->common.rng = &n->rng;
    n->common.boot_id = CaroClock_Random();
    n->rng = CaroClock_Random();
    n->last_tick_at = now;
    if (create_tables(n) < 0) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "tables", settings->vm,
                            "no memory");
        goto error;
    }
    gsl_rng_set(n->fleet_rng, (unsigned long)CaroClock_Random());
    if (create_fleet(n, now, err) < 0 || serve_http(n, err) < 0) {
        goto error;
    }
    if (create_components(n, now) < 0 || start_timers(n) < 0) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "components and timers",
                            settings->vm, "no memory");
        goto error;
    }
    CaroConfigManager_Tick(n->config_manager, now);
    CaroLog_Info("node", "Serving. http=%s peer=%s domain=%s boot=%016llx",
                 settings->http, settings->peer, settings->domain,
                 (unsigned long long)n->common.boot_id);
    return n;
error:
    CaroNode_Destroy(n);
    return NULL;
}

void
CaroNode_Drain(CaroNode *n)
{
    if (n->is_draining) {
        return;
    }
    CaroTime now = CaroClock_Now();
    n->is_draining = true;
    n->drain_deadline = now + n->common.settings->drain_timeout_ms * CARO_MS;
    CaroLog_Info("node", "Draining. most_ms=%lld",
                 (long long)n->common.settings->drain_timeout_ms);
    CaroDecisions_Add(n->common.decisions, CaroClock_WallMs(), "drain",
                      n->common.settings->vm, "leaving",
                      "a planned stop was asked");
    CaroSessions_Drain(n->sessions, n->drain_deadline);
    CaroFleet_Leave(n->fleet, now);
}

void
CaroNode_Destroy(CaroNode *n)
{
    if (n == NULL) {
        return;
    }
    if (n->tick_event != NULL) {
        event_free(n->tick_event);
    }
    /* Destroying the fleet fails the pending calls, whose callbacks use the
       components; these are destroyed after it. */
    CaroSessions_CloseAll(n->sessions);
    CaroHttpServer_Destroy(n->http_server);
    CaroFleet_Destroy(n->fleet);
    CaroConsole_Destroy(n->console);
    CaroSessions_Destroy(n->sessions);
    CaroOrderHandler_Destroy(n->order_handler);
    CaroOrderCoordinator_Destroy(n->order_coordinator);
    CaroDeploymentRollouts_Destroy(n->rollouts);
    CaroConfigManager_Destroy(n->config_manager);
    CaroLoadPoller_Destroy(n->poller);
    CaroAdmissions_Destroy(n->admissions);
    CaroUpstreams_Destroy(n->common.upstreams);
    CaroDecisions_Destroy(n->common.decisions);
    if (n->fleet_rng != NULL) {
        gsl_rng_free(n->fleet_rng);
    }
    free(n);
}
