/*
 * A node: its parts put together, and its timers.
 *
 * One loop on one thread.  The fast tick drives sessions, membership and
 * admission; the slow tick drives what may lag by a second.
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

#define TICK (20 * CARO_MS)
#define SLOW_TICK (500 * CARO_MS)
#define PAUSE_MIN (250 * CARO_MS) /* A longer tick means we were stopped. */
#define LINGER (500 * CARO_MS)

enum {
    DECISIONS_KEPT = 512,
    HEADER_BYTES_MAX = 16384,
    /* Of the largest body that is allowed.  evhttp resets a connection whose
       body is larger than its own limit while the caller still sends, and the
       reset may overtake the answer; up to this a caller gets its 413. */
    BODY_READ = 4
};

struct CaroNode {
    CaroCommon common;
    CaroSettings settings; /* common borrows it, */
    uint64_t rng;          /* this */
    CaroCounters counters; /* and this. */
    struct evhttp *http;
    struct event *tick_event;
    gsl_rng *generator; /* Of the fleet. */
    CaroFleet *fleet;
    CaroOrderCoordinator *orders;
    CaroOrderHandler *order_front;
    CaroConsole *console;
    CaroLoadPoller *poller;
    CaroAdmissions *admissions;
    CaroConfigManager *keeper;
    CaroDeploymentRollouts *moves;
    CaroSessions *sessions;

    CaroTime awake;     /* Clock that stops while the process is stopped. */
    CaroTime last_tick; /* On the monotonic clock. */
    CaroTime next_slow_tick;

    bool is_draining;
    CaroTime drain_until;
    CaroTime idle_since; /* While draining; 0 when it has work. */
};

/* The awake clock gains no more in one tick than a late tick would. */
static void
advance_clocks(CaroNode *n, CaroTime now)
{
    CaroTime passed = now - n->last_tick;
    if (passed > PAUSE_MIN) {
        CaroCounters_Add(n->common.counters, CARO_COUNT_PAUSES, 1);
        CaroLog_Warn("node", "This process was stopped. ms=%lld",
                     (long long)(passed / CARO_MS));
        passed = TICK;
    }
    n->awake += passed;
    n->last_tick = now;
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
    CaroTime ticket = n->common.settings->ticket_ttl_ms * CARO_MS;
    CaroSessions_Expire(n->sessions, now);
    CaroOrderCoordinator_Expire(n->orders, now - 2 * ticket);
    update_limits(n, now);
    CaroConfigManager_Tick(n->keeper, now);
}

/* An idle node lingers, so that its last words leave the sockets and other
   nodes can still fetch what it holds. */
static bool
is_drained(CaroNode *n, CaroTime now)
{
    bool is_idle = CaroSessions_Count(n->sessions) == 0 &&
                   CaroOrderCoordinator_CountRunning(n->orders) == 0;
    if (!n->is_draining) {
        return false;
    }
    if (!is_idle) {
        n->idle_since = 0;
    }
    else if (n->idle_since == 0) {
        n->idle_since = now;
    }
    bool is_over = n->idle_since != 0 && now - n->idle_since >= LINGER;
    return is_over || now >= n->drain_until + LINGER;
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
    CaroSessions_Tick(n->sessions, n->awake, now);
    CaroLoadPoller_Tick(n->poller, now);
    CaroDeploymentRollouts_Tick(n->moves, now);
    if (now >= n->next_slow_tick) {
        n->next_slow_tick = now + SLOW_TICK;
        slow_tick(n, now);
    }
    if (is_drained(n, now)) {
        CaroLog_Info("node", "Drained; the process ends.");
        event_base_loopbreak(n->common.base);
    }
}

static void
fill_self(const CaroNode *n, CaroVm *self)
{
    memset(self, 0, sizeof(*self));
    CARO_COPY(self->name, n->common.settings->vm);
    CARO_COPY(self->http, n->common.settings->http);
    CARO_COPY(self->peer, n->common.settings->peer);
    CARO_COPY(self->domain, n->common.settings->domain);
    CARO_COPY(self->region, n->common.settings->region);
    /* Starts of one VM are ordered by the wall clock; a VM whose clock was
       set back learns its old incarnation from the others and exceeds it. */
    self->incarnation = (uint64_t)CaroClock_WallMs();
    self->boot_id = n->common.boot_id;
    self->state = CARO_MEMBER_ALIVE;
}

static int
create_tables(CaroNode *n)
{
    n->generator = gsl_rng_alloc(gsl_rng_taus2);
    n->common.upstreams = CaroUpstreams_Create();
    n->common.decisions = CaroDecisions_Create(DECISIONS_KEPT);
    bool is_good = n->generator != NULL && n->common.upstreams != NULL &&
                   n->common.decisions != NULL;
    return is_good ? 0 : CARO_ERR_NOMEM;
}

/* A newer configuration: the parts take from it what is theirs. */
static void
on_config(void *context, const CaroConfig *config, CaroTime now)
{
    enum { CONFIG_FANOUT = 4 };
    CaroNode *n = context;
    CaroAdmissions_SetWeights(n->admissions, config);
    CaroDeploymentRollouts_Apply(n->moves, config);
    update_limits(n, now);
    CaroFleet_Announce(n->fleet, CONFIG_FANOUT);
}

static void
on_version_flagged(void *context)
{
    enum { FLAG_FANOUT = 4 };
    CaroNode *n = context;
    CaroFleet_Announce(n->fleet, FLAG_FANOUT);
}

static void
on_drain_asked(void *context)
{
    CaroNode_Drain(context);
}

static bool
is_draining(const void *context)
{
    return ((const CaroNode *)context)->is_draining;
}

/* What needs the RPC as well. */
static int
create_parts(CaroNode *n, CaroTime now)
{
    n->keeper = CaroConfigManager_Create(&n->common, on_config, n, now);
    n->moves = CaroDeploymentRollouts_Create(&n->common, n->keeper,
                                             on_version_flagged, n);
    n->admissions = CaroAdmissions_Create((int)n->settings.queue_max);
    n->poller = CaroLoadPoller_Create(&n->common);
    n->orders = CaroOrderCoordinator_Create(&n->common);
    n->order_front = CaroOrderHandler_Create(&n->common, n->orders);
    CaroSessionDeps parts = {
        .admissions = n->admissions, .poller = n->poller, .moves = n->moves};
    n->sessions = CaroSessions_Create(&n->common, &parts);
    CaroConsoleDeps shown = {.keeper = n->keeper,
                             .moves = n->moves,
                             .admissions = n->admissions,
                             .sessions = n->sessions,
                             .orders = n->orders,
                             .drain = on_drain_asked,
                             .is_draining = is_draining,
                             .context = n};
    n->console = CaroConsole_Create(&n->common, &shown);
    bool is_good = n->console != NULL && n->sessions != NULL &&
                   n->keeper != NULL && n->moves != NULL &&
                   n->admissions != NULL && n->poller != NULL &&
                   n->orders != NULL && n->order_front != NULL;
    return is_good ? 0 : CARO_ERR_NOMEM;
}

/* This interface serves no revocable keys: its proofs have no age. */
static CaroConfigFreshness
get_config_freshness(void *context)
{
    const CaroNode *n = context;
    return (CaroConfigFreshness){
        .revision = (int64_t)CaroConfigManager_Revision(n->keeper)};
}

static bool
get_config(void *context, const char **bytes, size_t *size, int64_t *revision)
{
    const CaroNode *n = context;
    const CaroConfig *config = CaroConfigManager_Get(n->keeper);
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
    CaroConfigManager_Apply(n->keeper, bytes, size, (uint64_t)revision);
}

static int
collect_evidence(void *context, caro_rollout_evidence news[CARO_ROLLOUTS_MAX])
{
    const CaroNode *n = context;
    return CaroDeploymentRollouts_CollectEvidence(n->moves, news);
}

static void
on_evidence(void *context, CaroHandle vm, const caro_rollout_evidence *news,
            int count)
{
    CaroNode *n = context;
    CaroDeploymentRollouts_ApplyEvidence(n->moves, vm, news, count);
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

/* A call of another VM, for the part it concerns. */
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
        CaroOrderCoordinator_OnIntent(n->orders, args, &outcome, now);
        CaroRpc_Reply(request, &outcome);
        break;
    case CARO_OUTCOME:
        CaroOrderCoordinator_OnOutcome(n->orders, args, now);
        CaroRpc_Reply(request, &outcome);
        break;
    case CARO_FORWARD:
        CaroOrderCoordinator_OnForward(n->orders, request, args, now);
        break;
    case CARO_DECIDE:
        CaroOrderCoordinator_OnDecide(n->orders, args, &outcome, now);
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
    .get_config_freshness = get_config_freshness,
    .get_config = get_config,
    .on_config = on_peer_config,
    .collect_evidence = collect_evidence,
    .on_evidence = on_evidence,
    .on_changed = on_vm_changed,
    .on_call = on_call,
};

static int
create_fleet(CaroNode *n, CaroTime now, CaroError *err)
{
    CaroVm self;
    fill_self(n, &self);
    CaroFleetOptions options = {
        .heartbeat = n->settings.heartbeat_interval_ms * CARO_MS,
        .counters = &n->counters};
    n->fleet = CaroFleet_Create(n->common.base, &self, &options, n->generator,
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
is_method(struct evhttp_request *req, enum evhttp_cmd_type method,
          const char *name)
{
    if (evhttp_request_get_command(req) == method) {
        return true;
    }
    CaroHttp_Problem(req, 405, CARO_RUN_NO, "method not allowed",
                     "allowed: %s", name);
    return false;
}

static bool
is_body_allowed(const CaroNode *n, struct evhttp_request *req)
{
    size_t size = evbuffer_get_length(evhttp_request_get_input_buffer(req));
    if (size <= (size_t)n->settings.body_bytes_max) {
        return true;
    }
    CaroHttp_Problem(req, 413, CARO_RUN_NO, "the body is too large",
                     "found %zu bytes; allowed: %lld", size,
                     (long long)n->settings.body_bytes_max);
    return false;
}

static void
on_http(struct evhttp_request *req, void *context)
{
    CaroNode *n = context;
    CaroTime now = CaroClock_Now();
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    path = path == NULL ? "" : path;
    if (!is_body_allowed(n, req)) {
        return;
    }
    if (strcmp(path, "/v1/completions") == 0) {
        if (is_method(req, EVHTTP_REQ_POST, "POST")) {
            CaroFilterDeps parts = {.common = &n->common,
                                    .config_manager = n->keeper,
                                    .sessions = n->sessions,
                                    .is_draining = n->is_draining};
            CaroFilters_Run(&parts, req, now);
        }
    }
    else if (strncmp(path, "/v1/orders/", 11) == 0) {
        CaroOrderHandler_Handle(n->order_front, req,
                                CaroConfigManager_Get(n->keeper), now);
    }
    else if (strcmp(path, "/v1/addresses") == 0) {
        if (is_method(req, EVHTTP_REQ_GET, "GET")) {
            CaroAddresses_Handle(&n->common, req, now);
        }
    }
    else if (strcmp(path, "/v1/command") == 0) {
        if (is_method(req, EVHTTP_REQ_POST, "POST")) {
            CaroConsole_OnCommand(n->console, req, now);
        }
    }
    else if (strcmp(path, "/v1/config") == 0) {
        CaroConsole_OnConfig(n->console, req);
    }
    else if (strcmp(path, "/v1/state") == 0) {
        CaroConsole_OnDump(n->console, req, now);
    }
    else if (strcmp(path, "/v1/counters") == 0) {
        CaroConsole_OnCounters(n->console, req);
    }
    else {
        CaroHttp_Problem(req, 404, CARO_RUN_NO, "no such path",
                         "found %.80s; docs/operators.md lists the paths",
                         path);
    }
}

static int
serve_http(CaroNode *n, CaroError *err)
{
    char host[CARO_ADDRESS_SIZE];
    uint16_t port;
    const char *address = n->common.settings->http;
    n->http = evhttp_new(n->common.base);
    if (n->http == NULL) {
        return CaroError_Set(err, CARO_ERR_NOMEM, "http", address,
                             "no memory");
    }
    evhttp_set_max_body_size(n->http,
                             BODY_READ * n->common.settings->body_bytes_max);
    evhttp_set_max_headers_size(n->http, HEADER_BYTES_MAX);
    struct timeval timeout = {
        .tv_sec = n->common.settings->header_timeout_ms / 1000,
        .tv_usec = n->common.settings->header_timeout_ms % 1000 * 1000};
    evhttp_set_timeout_tv(n->http, &timeout);
    evhttp_set_gencb(n->http, on_http, n);
    if (CaroHttp_SplitAddress(address, host, &port) < 0 ||
        evhttp_bind_socket(n->http, host, port) < 0) {
        return CaroError_Set(err, CARO_ERR_IO, "listen http", address,
                             "the address is taken or not of this VM");
    }
    return 0;
}

static int
start_timers(CaroNode *n)
{
    struct timeval tick = {.tv_usec = TICK};
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
    n->last_tick = now;
    if (create_tables(n) < 0) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "tables", settings->vm,
                            "no memory");
        goto error;
    }
    gsl_rng_set(n->generator, (unsigned long)CaroClock_Random());
    if (create_fleet(n, now, err) < 0 || serve_http(n, err) < 0) {
        goto error;
    }
    if (create_parts(n, now) < 0 || start_timers(n) < 0) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "parts and timers",
                            settings->vm, "no memory");
        goto error;
    }
    CaroConfigManager_Tick(n->keeper, now);
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
    n->drain_until = now + n->common.settings->drain_timeout_ms * CARO_MS;
    CaroLog_Info("node", "Draining. most_ms=%lld",
                 (long long)n->common.settings->drain_timeout_ms);
    CaroDecisions_Add(n->common.decisions, CaroClock_WallMs(), "drain",
                      n->common.settings->vm, "leaving",
                      "a planned stop was asked");
    CaroSessions_Drain(n->sessions, n->drain_until);
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
    /* Calls that are open fail when the fleet goes, which the parts hear. */
    CaroSessions_CloseAll(n->sessions);
    if (n->http != NULL) {
        evhttp_free(n->http);
    }
    CaroFleet_Destroy(n->fleet);
    CaroConsole_Destroy(n->console);
    CaroSessions_Destroy(n->sessions);
    CaroOrderHandler_Destroy(n->order_front);
    CaroOrderCoordinator_Destroy(n->orders);
    CaroDeploymentRollouts_Destroy(n->moves);
    CaroConfigManager_Destroy(n->keeper);
    CaroLoadPoller_Destroy(n->poller);
    CaroAdmissions_Destroy(n->admissions);
    CaroUpstreams_Destroy(n->common.upstreams);
    CaroDecisions_Destroy(n->common.decisions);
    if (n->generator != NULL) {
        gsl_rng_free(n->generator);
    }
    free(n);
}
