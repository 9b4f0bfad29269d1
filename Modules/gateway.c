/*
 * The entry VM on the users' platform: its parts put together.
 *
 * The parts do not know each other; what one tells goes through here.
 */
#include "caro_gateway.h"

#include "internal/caro_channel_pool.h"
#include "internal/caro_clock.h"
#include "internal/caro_directory.h"
#include "internal/caro_request_check.h"
#include "internal/caro_fleet.h"
#include "internal/caro_http_server.h"
#include "internal/caro_gateway_http.h"
#include "internal/caro_http.h"
#include "internal/caro_peer_loads.h"
#include "internal/caro_log.h"
#include "internal/caro_service_rollouts.h"
#include "internal/caro_platform.h"
#include "internal/caro_registry.h"
#include "internal/caro_relay.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Of the VM's memory, for the bodies of requests. */
#define BODY_PART 0.25
/* Of the descriptors, for callers; the rest is for upstreams, peers, the
   store and files. */
#define CALLERS_PART 0.5
#define KEPT_PART 0.2
/* A caller that takes nothing for so long has left. */
#define WRITE_TIMEOUT (10 * CARO_SECOND)
#define TICK (20 * CARO_MS)
/* Probes of one VM follow each other at this period, so that one that is
   gone is out of the directory's answers within two seconds. */
#define HEARTBEAT (400 * CARO_MS)
/* Two parts of a fleet that lost each other meet again within this. */
#define JOIN_AGAIN (7 * CARO_SECOND)
/* News of loads that a lost datagram held are told again. */
#define NEWS_PERIOD (1500 * CARO_MS)
/* For the answers of the last requests to leave. */
#define STOP_IDLE (500 * CARO_MS)
/* Callers keep an address for about this long after the directory has
   dropped it, and would meet a closed port. */
#define STOP_MIN (2500 * CARO_MS)
/* Before the kill, streams that still run are cut, and then the rest. */
#define CUT_BEFORE (700 * CARO_MS)
#define EXIT_BEFORE (250 * CARO_MS)

/* Calls kept in the first moment; what comes beyond is refused. */
enum { WAITING_MAX = 64 };

struct CaroGateway {
    struct event_base *base;
    CaroGatewaySettings settings;
    gsl_rng *rng;
    CaroCounters counters;
    CaroLatency *latency;
    CaroTargets *targets;
    CaroChannelPool *pool;
    CaroRetryBudget *budget;
    CaroPeerLoads *board;
    CaroServiceRollouts *moves;
    CaroRelays *relays;
    CaroHttpServer *front;
    CaroStoreClient *store;
    CaroRegistry *registry;
    CaroFleet *fleet;
    CaroGatewayHttp *http;
    struct event *tick;

    CaroRoutes *routes; /* NULL before the first configuration. */
    char *config;       /* Its bytes, for peers. */
    size_t config_size;
    CaroConfigFreshness proof;
    bool was_proven;

    uint64_t boot_id;
    uint32_t news_number;
    CaroTime next_news;
    CaroTime started;
    CaroCall *waiting[WAITING_MAX]; /* Since before the first reads. */
    int n_waiting;
    CaroTime stop_at; /* When the stop was asked; 0 while serving. */
    CaroTime idle_since;
};

static bool
is_config_fresh(const CaroGateway *g)
{
    return CaroConfigFreshness_IsFresh(&g->proof,
                                       g->settings.config_age_max_ms * CARO_MS,
                                       CaroClock_BootTime());
}

static bool
is_ready(void *context)
{
    const CaroGateway *g = context;
    return g->routes != NULL && CaroRegistry_IsLoaded(g->registry) &&
           g->stop_at == 0 && is_config_fresh(g);
}

/* --- callers --- */

static CaroRequestCheckQuery
describe_request(const CaroGateway *g, const CaroHttpHead *head)
{
    CaroText path = head->target;
    const char *query = memchr(path.at, '?', path.size);
    if (query != NULL) {
        path.size = (size_t)(query - path.at);
    }
    return (CaroRequestCheckQuery){
        .routes = g->routes,
        .has_target_list = CaroRegistry_IsLoaded(g->registry),
        .is_config_fresh = is_config_fresh(g),
        .is_stopping = g->stop_at != 0,
        .uptime = CaroClock_Now() - g->started,
        .host = CaroHttpHead_Find(head, "host"),
        .path = path,
        .key = CaroHttpHead_Find(
            head, CaroPlatform_HeaderName(CARO_HEADER_API_KEY))};
}

static void
refuse_request(CaroGateway *g, CaroCall *call, const CaroRequestCheckResult *v)
{
    CaroText id = CaroHttpHead_Find(
        CaroCall_Head(call), CaroPlatform_HeaderName(CARO_HEADER_REQUEST_ID));
    CaroCounters_Add(&g->counters,
                     v->status == 401   ? CARO_COUNT_UNAUTHORIZED
                     : v->status == 404 ? CARO_COUNT_NO_ROUTE
                     : v->status == 503 ? CARO_COUNT_REFUSED
                                        : CARO_COUNT_MALFORMED,
                     1);
    CaroLog_Info(
        "entry",
        "A request was refused. id=%.*s status=%d config=%lld "
        "proof_age_ms=%lld reason=\"%s\"",
        (int)id.size, id.at == NULL ? "" : id.at, v->status,
        (long long)(g->routes == NULL ? 0 : CaroRoutes_Version(g->routes)),
        (long long)(CaroConfigFreshness_Age(&g->proof, CaroClock_BootTime()) /
                    CARO_MS),
        v->reason);
    CaroRelay_Refuse(call, v->status, v->retry_after_s);
}

/* Serves, refuses, or keeps the call for a moment; false when it is kept. */
static bool
judge_call(CaroGateway *g, CaroCall *call, bool has_room, CaroTime now)
{
    CaroRequestCheckQuery q = describe_request(g, CaroCall_Head(call));
    CaroRequestCheckResult v = CaroRequestCheck_Run(&q);
    if (v.should_check_again && has_room) {
        return false;
    }
    if (v.status != 0) {
        refuse_request(g, call, &v);
    }
    else {
        CaroRelays_Accept(g->relays, call, v.route, v.account, now);
    }
    return true;
}

static void
on_request(void *context, CaroCall *call)
{
    CaroGateway *g = context;
    bool has_room = g->n_waiting < WAITING_MAX;
    CaroCounters_Add(&g->counters, CARO_COUNT_REQUESTS, 1);
    if (!judge_call(g, call, has_room, CaroClock_Now())) {
        g->waiting[g->n_waiting++] = call;
    }
}

/* Judges again the calls that came before the first reads were done. */
static void
judge_waiting(CaroGateway *g, CaroTime now)
{
    int n = g->n_waiting;
    g->n_waiting = 0;
    for (int i = 0; i < n; i++) {
        if (!judge_call(g, g->waiting[i], true, now)) {
            g->waiting[g->n_waiting++] = g->waiting[i];
        }
    }
}

static void
on_disconnected(void *context, CaroCall *call)
{
    CaroGateway *g = context;
    for (int i = 0; i < g->n_waiting; i++) {
        if (g->waiting[i] == call) {
            g->waiting[i] = g->waiting[--g->n_waiting];
            return;
        }
    }
    CaroRelays_OnCallerDisconnected(call, CaroClock_Now());
}

static void
on_drained(void *context, CaroCall *call)
{
    (void)context;
    CaroRelays_OnCallerDrained(call, CaroClock_Now());
}

static void
on_refused(void *context, const char *peer, int status, const char *reason)
{
    CaroGateway *g = context;
    CaroCounters_Add(&g->counters, CARO_COUNT_MALFORMED, 1);
    CaroLog_Info("front",
                 "A connection was refused. peer=%s status=%d reason=\"%s\"",
                 peer, status, reason);
}

static const CaroHttpServerHandlers front_handlers = {
    .on_request = on_request,
    .on_disconnected = on_disconnected,
    .on_drained = on_drained,
    .on_refused = on_refused};

static CaroHttpServerLimits
front_limits(const CaroGateway *g, const CaroCallerLimits *l)
{
    double memory = (double)g->settings.memory_mb * 1048576.0;
    double callers = CALLERS_PART * (double)g->settings.descriptors;
    return (CaroHttpServerLimits){.head_bytes_max = (size_t)l->head_bytes_max,
                                  .body_bytes_max = (size_t)l->body_bytes_max,
                                  .all_bytes_max =
                                      (size_t)(BODY_PART * memory),
                                  .connections_max = (int)callers,
                                  .head_timeout = l->head_timeout,
                                  .idle_timeout = l->idle_timeout,
                                  .write_timeout = WRITE_TIMEOUT};
}

/* --- configuration --- */

/* Takes a configuration from the store or a peer, never an older one. */
static int
apply_config(CaroGateway *g, const char *bytes, size_t size, int64_t revision,
             const char *source)
{
    CaroRoutes *routes;
    CaroError err;
    if (revision <= g->proof.revision) {
        return 0;
    }
    if (CaroPlatform_ReadConfig(bytes, size, &routes, &err) < 0) {
        CaroLog_Error("config",
                      "A configuration cannot be used. revision=%lld "
                      "source=%s at=%s reason=\"%s\"",
                      (long long)revision, source, err.peer, err.detail);
        return err.code;
    }
    char *copy = malloc(size + 1);
    if (copy == NULL) {
        CaroRoutes_Destroy(routes);
        return CARO_ERR_NOMEM;
    }
    memcpy(copy, bytes, size);
    copy[size] = '\0';
    free(g->config);
    g->config = copy;
    g->config_size = size;
    CaroRoutes_Destroy(g->routes);
    g->routes = routes;
    /* Nothing newer than an older revision stood when that was proven, so
       nothing newer than this one did. */
    g->proof = (CaroConfigFreshness){.revision = revision,
                                     .confirmed_at = g->proof.confirmed_at};
    CaroHttpServerLimits limits = front_limits(g, CaroRoutes_Limits(routes));
    CaroHttpServer_SetLimits(g->front, &limits);
    CaroCounters_Add(&g->counters, CARO_COUNT_CONFIG_APPLIED, 1);
    CaroLog_Info("config",
                 "A configuration is in force. version=%lld revision=%lld "
                 "routes=%d source=%s",
                 (long long)CaroRoutes_Version(routes), (long long)revision,
                 CaroRoutes_Count(routes), source);
    return 0;
}

static int
on_config(void *context, const char *bytes, size_t size, int64_t revision)
{
    return apply_config(context, bytes, size, revision, "store");
}

static void
on_proof(void *context, int64_t revision, CaroTime sent)
{
    CaroGateway *g = context;
    CaroConfigFreshness_Record(&g->proof, revision, sent);
}

static void
on_target(void *context, CaroHandle h)
{
    CaroGateway *g = context;
    const CaroTarget *target = CaroTargets_GetConst(g->targets, h);
    if (!target->is_present) {
        CaroChannelPool_Drop(g->pool, h);
        return;
    }
    CaroLog_Info("registry",
                 "An upstream is known. id=%s service=%s address=%s "
                 "domain=%s version=%s leaving=%d",
                 target->entry.id, target->entry.service,
                 target->entry.address, target->entry.domain,
                 target->entry.version, target->entry.is_leaving);
}

static void
on_vm(void *context, const char *peer)
{
    CaroGateway *g = context;
    CaroFleet_AddAddress(g->fleet, peer);
}

static void
on_order(void *context, const char *service, const char *bytes, size_t size,
         int64_t revision)
{
    CaroGateway *g = context;
    CaroServiceRollouts_OnRequest(g->moves, service, bytes, size, revision,
                                  CaroClock_Now());
}

static void
on_outcome(void *context, const char *service, const char *bytes, size_t size,
           int64_t revision)
{
    CaroGateway *g = context;
    CaroServiceRollouts_OnOutcome(g->moves, service, bytes, size, revision);
}

static const CaroRegistryHandlers registry_handlers = {
    .on_config = on_config,
    .on_proof = on_proof,
    .on_target = on_target,
    .on_vm = on_vm,
    .on_order = on_order,
    .on_outcome = on_outcome,
};

/* --- the other VMs --- */

static CaroConfigFreshness
get_config_freshness(void *context)
{
    const CaroGateway *g = context;
    return g->proof;
}

static void
on_peer_proof(void *context, int64_t revision, CaroTime age, CaroTime asked)
{
    CaroGateway *g = context;
    CaroTime before = g->proof.confirmed_at;
    CaroConfigFreshness_RecordPeer(&g->proof, revision, age, asked);
    if (g->proof.confirmed_at != before) {
        CaroCounters_Add(&g->counters, CARO_COUNT_CONFIG_CONFIRMED_BY_PEERS,
                         1);
    }
}

static bool
get_config(void *context, const char **bytes, size_t *size, int64_t *revision)
{
    const CaroGateway *g = context;
    *bytes = g->config;
    *size = g->config_size;
    *revision = g->proof.revision;
    return g->config != NULL;
}

static void
on_peer_config(void *context, const char *bytes, size_t size, int64_t revision)
{
    (void)apply_config(context, bytes, size, revision, "peer");
}

static void
on_load_report(void *context, const caro_load_report *news)
{
    CaroGateway *g = context;
    CaroTime now = CaroClock_Now();
    CaroTargetFailures alarms;
    CaroHandle vm = CaroMembership_Find(CaroFleet_GetMembershipConst(g->fleet),
                                        news->sender);
    if (vm != CARO_NO_HANDLE) {
        CaroServiceRollouts_ApplyEvidence(g->moves, vm,
                                          news->evidence.evidence_val,
                                          (int)news->evidence.evidence_len);
    }
    CaroPeerLoads_Apply(g->board, news, &alarms, now);
    for (int i = 0; i < alarms.n; i++) {
        CaroHandle h = alarms.all[i].target;
        CaroTargets_Avoid(g->targets, h, alarms.all[i].failure, now);
        if (alarms.all[i].failure == CARO_TARGET_SILENT) {
            CaroRelays_OnTargetSuspected(g->relays, h, now);
        }
    }
}

/* Tells the others what this VM has in flight, when that changed and now
   and then. */
static void
spread_loads(CaroGateway *g, CaroTime now)
{
    caro_target_load loads[CARO_LOADS_MAX];
    caro_rollout_evidence moves[CARO_ROLLOUTS_MAX];
    bool has_evidence = CaroServiceRollouts_ConsumeChange(g->moves);
    bool is_changed = CaroRelays_ConsumeChange(g->relays) || has_evidence;
    if (!is_changed && now < g->next_news) {
        return;
    }
    caro_load_report news = {.sender = g->settings.vm,
                             .boot_id = g->boot_id,
                             .sequence = ++g->news_number};
    news.loads.loads_val = loads;
    news.loads.loads_len =
        (u_int)CaroPeerLoads_Collect(g->targets, loads, now);
    news.evidence.evidence_val = moves;
    news.evidence.evidence_len =
        (u_int)CaroServiceRollouts_CollectEvidence(g->moves, moves);
    g->next_news = now + NEWS_PERIOD;
    if (is_changed || news.loads.loads_len > 0 ||
        news.evidence.evidence_len > 0) {
        CaroFleet_SendLoadReport(g->fleet, &news);
    }
}

static const CaroFleetHandlers fleet_handlers = {
    .on_load_report = on_load_report,
    .get_config_freshness = get_config_freshness,
    .on_proof = on_peer_proof,
    .get_config = get_config,
    .on_config = on_peer_config,
};

/* --- readiness, directory, reports --- */

static int
list_addresses(void *context, const char *domain, const char **out, int most)
{
    CaroGateway *g = context;
    assert(most == CARO_DIRECTORY_MAX);
    (void)most;
    if (!CaroFleet_IsJoined(g->fleet, CaroClock_Now())) {
        return 0;
    }
    return CaroDirectory_List(CaroFleet_GetMembershipConst(g->fleet), domain,
                              is_ready(g), out);
}

static const CaroCounters *
get_counters(void *context)
{
    CaroGateway *g = context;
    g->counters.values[CARO_COUNT_STORE_CALLS] =
        CaroStoreClient_Calls(g->store);
    return &g->counters;
}

static void
write_latency(void *context, struct evbuffer *out)
{
    const CaroGateway *g = context;
    CaroLatency_Write(g->latency, out);
}

static json_t *
get_state(void *context)
{
    CaroGateway *g = context;
    json_t *targets = json_array();
    for (CaroHandle h = 0; h < CaroTargets_Count(g->targets); h++) {
        const CaroTarget *t = CaroTargets_GetConst(g->targets, h);
        if (t->is_used) {
            (void)json_array_append_new(
                targets,
                json_pack("{s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:i, s:i}",
                          "id", t->entry.id, "service", t->entry.service,
                          "domain", t->entry.domain, "present", t->is_present,
                          "leaving", t->entry.is_leaving, "in_flight",
                          t->in_flight, "copies", t->kv_copies, "running",
                          t->reported_running, "failures", t->failures));
        }
    }
    return json_pack(
        "{s:s, s:b, s:I, s:I, s:i, s:i, s:i, s:i, s:I, s:o, s:o}", "vm",
        g->settings.vm, "ready", is_ready(g), "config_revision",
        (json_int_t)g->proof.revision, "proof_age_ms",
        (json_int_t)(CaroConfigFreshness_Age(&g->proof, CaroClock_BootTime()) /
                     CARO_MS),
        "vms",
        CaroMembership_CountUsable(CaroFleet_GetMembershipConst(g->fleet)),
        "requests", CaroRelays_Count(g->relays), "connections",
        CaroHttpServer_CountConnections(g->front), "channels_kept",
        CaroChannelPool_CountIdle(g->pool), "channels_opened",
        (json_int_t)CaroChannelPool_CountOpened(g->pool), "upstreams", targets,
        "moves", CaroServiceRollouts_Dump(g->moves));
}

static const CaroGatewayHttpHandlers http_handlers = {
    .is_ready = is_ready,
    .list_addresses = list_addresses,
    .get_counters = get_counters,
    .write_latency = write_latency,
    .get_state = get_state,
};

/* --- time --- */

/* Ends the loop when nothing runs any more, or just before the kill. */
static void
tick_stop(CaroGateway *g, CaroTime now)
{
    CaroTime passed = now - g->stop_at;
    CaroTime grace =
        (CaroTime)(g->settings.stop_grace_s * (double)CARO_SECOND);
    if (CaroHttpServer_CountCalls(g->front) > 0) {
        g->idle_since = 0;
    }
    else if (g->idle_since == 0) {
        g->idle_since = now;
    }
    if (passed >= grace - CUT_BEFORE) {
        CaroRelays_CutStreams(g->relays, now);
    }
    bool is_idle = g->idle_since != 0 && now - g->idle_since >= STOP_IDLE;
    if ((is_idle && passed >= STOP_MIN) || passed >= grace - EXIT_BEFORE) {
        CaroLog_Info("gateway", "Stopped. ms=%lld requests=%d",
                     (long long)(passed / CARO_MS),
                     CaroRelays_Count(g->relays));
        event_base_loopbreak(g->base);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroGateway *g = arg;
    CaroTime now = CaroClock_Now();
    CaroRegistry_Tick(g->registry, now);
    judge_waiting(g, now);
    CaroFleet_Tick(g->fleet, now);
    CaroPeerLoads_Tick(g->board, now);
    CaroServiceRollouts_SetRank(
        g->moves, CaroMembership_Rank(CaroFleet_GetMembershipConst(g->fleet)),
        CaroMembership_CountUsable(CaroFleet_GetMembershipConst(g->fleet)));
    CaroServiceRollouts_Tick(g->moves, now);
    spread_loads(g, now);
    CaroRelays_SetVms(g->relays, CaroMembership_CountUsable(
                                     CaroFleet_GetMembershipConst(g->fleet)));
    bool proven = is_config_fresh(g);
    if (proven != g->was_proven) {
        g->was_proven = proven;
        CaroLog_Info("config", "%s revision=%lld age_ms=%lld",
                     proven ? "The configuration is proven the newest."
                            : "The configuration is no longer proven.",
                     (long long)g->proof.revision,
                     (long long)(CaroConfigFreshness_Age(
                                     &g->proof, CaroClock_BootTime()) /
                                 CARO_MS));
    }
    if (g->stop_at != 0) {
        tick_stop(g, now);
    }
}

/* --- assembly --- */

static void
fill_self(const CaroGateway *g, CaroVm *self)
{
    const CaroGatewaySettings *s = &g->settings;
    memset(self, 0, sizeof(*self));
    CARO_COPY(self->name, s->vm);
    CARO_COPY(self->http, s->front);
    (void)snprintf(self->peer, sizeof(self->peer), "%.30s:%d", s->host,
                   (int)s->peer_port);
    CARO_COPY(self->domain, s->domain);
    CARO_COPY(self->region, s->region);
    /* Starts of one VM are ordered by the wall clock; a VM whose clock was
       set back learns its old incarnation from the others and exceeds it. */
    self->incarnation = (uint64_t)CaroClock_WallMs();
    self->boot_id = g->boot_id;
    self->state = CARO_MEMBER_ALIVE;
}

static void
add_seeds(CaroGateway *g)
{
    for (int i = 0; i < g->settings.n_seeds; i++) {
        char host[CARO_ADDRESS_SIZE];
        char peer[CARO_ADDRESS_SIZE];
        uint16_t port;
        if (CaroHttp_SplitAddress(g->settings.seeds[i], host, &port) == 0) {
            (void)snprintf(peer, sizeof(peer), "%.30s:%d", host,
                           (int)g->settings.peer_port);
            CaroFleet_AddAddress(g->fleet, peer);
        }
    }
}

static int
create_tables(CaroGateway *g, CaroTime now)
{
    const CaroGatewaySettings *s = &g->settings;
    g->rng = gsl_rng_alloc(gsl_rng_taus2);
    g->latency = CaroLatency_Create();
    g->targets = CaroTargets_Create();
    g->board = g->targets == NULL ? NULL : CaroPeerLoads_Create(g->targets);
    g->pool = CaroChannelPool_Create(
        g->base, (int)(KEPT_PART * (double)s->descriptors));
    g->budget = CaroRetryBudget_Create(
        s->retry_ratio, (double)s->retry_slack,
        (CaroTime)(s->retry_window_s * (double)CARO_SECOND));
    g->store = CaroStoreClient_Create(g->base, s->store);
    g->moves =
        g->store == NULL
            ? NULL
            : CaroServiceRollouts_Create(g->store, s->rollout_exposure_max,
                                         (double)s->rollout_request_allowance);
    if (g->rng == NULL || g->latency == NULL || g->board == NULL ||
        g->pool == NULL || g->budget == NULL || g->moves == NULL) {
        return CARO_ERR_NOMEM;
    }
    gsl_rng_set(g->rng, (unsigned long)CaroClock_Random());
    CaroRelayDeps parts = {.base = g->base,
                           .targets = g->targets,
                           .pool = g->pool,
                           .budget = g->budget,
                           .rollouts = g->moves,
                           .counters = &g->counters,
                           .latency = g->latency,
                           .rng = g->rng,
                           .domain = g->settings.domain};
    g->relays = CaroRelays_Create(&parts);
    g->registry = CaroRegistry_Create(g->store, g->targets, g->rng,
                                      &registry_handlers, g, now);
    return g->relays == NULL || g->registry == NULL ? CARO_ERR_NOMEM : 0;
}

static int
start_tick(CaroGateway *g)
{
    struct timeval tick = {.tv_usec = TICK};
    g->tick = event_new(g->base, -1, EV_PERSIST, on_tick, g);
    return g->tick == NULL || event_add(g->tick, &tick) < 0 ? CARO_ERR_NOMEM
                                                            : 0;
}

CaroGateway *
CaroGateway_Create(struct event_base *base,
                   const CaroGatewaySettings *settings, CaroError *err)
{
    CaroVm self;
    CaroCallerLimits first = {0};
    CaroTime now = CaroClock_Now();
    CaroGateway *g = calloc(1, sizeof(*g));
    CaroRoutes *empty = CaroRoutes_Create(0);
    if (g == NULL || empty == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "gateway", settings->vm,
                            "no memory");
        free(g);
        CaroRoutes_Destroy(empty);
        return NULL;
    }
    first = *CaroRoutes_Limits(empty);
    CaroRoutes_Destroy(empty);
    g->base = base;
    g->settings = *settings;
    g->boot_id = CaroClock_Random();
    g->started = now;
    if (create_tables(g, now) < 0) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "tables", settings->vm,
                            "no memory");
        goto error;
    }
    fill_self(g, &self);
    CaroHttpServerLimits limits = front_limits(g, &first);
    g->front = CaroHttpServer_Create(base, settings->front, &limits,
                                     &front_handlers, g, err);
    CaroFleetOptions fleet_options = {.heartbeat = HEARTBEAT,
                                      .rejoin_interval = JOIN_AGAIN,
                                      .counters = &g->counters};
    g->fleet = g->front == NULL
                   ? NULL
                   : CaroFleet_Create(base, &self, &fleet_options, g->rng,
                                      &fleet_handlers, g, now, err);
    g->http =
        g->fleet == NULL
            ? NULL
            : CaroGatewayHttp_Create(base, settings, &http_handlers, g, err);
    if (g->http == NULL) {
        goto error;
    }
    if (start_tick(g) < 0) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "timers", settings->vm,
                            "no memory");
        goto error;
    }
    CaroRegistry_SetSelf(g->registry, self.name, self.peer);
    add_seeds(g);
    CaroLog_Info("gateway",
                 "Started. front=%s peer=%s domain=%s store=%s boot=%016llx",
                 settings->front, self.peer, settings->domain, settings->store,
                 (unsigned long long)self.boot_id);
    return g;
error:
    CaroGateway_Destroy(g);
    return NULL;
}

void
CaroGateway_Stop(CaroGateway *g)
{
    CaroTime now = CaroClock_Now();
    if (g->stop_at != 0) {
        return;
    }
    g->stop_at = now;
    CaroLog_Info("gateway", "A stop was asked. grace_s=%g requests=%d",
                 g->settings.stop_grace_s, CaroRelays_Count(g->relays));
    CaroHttpServer_CloseAfterResponses(g->front);
    CaroFleet_Leave(g->fleet, now);
}

void
CaroGateway_Reload(CaroGateway *g, const CaroGatewaySettings *settings)
{
    bool is_moved = strcmp(settings->front, g->settings.front) != 0 ||
                    strcmp(settings->store, g->settings.store) != 0;
    g->settings.n_seeds = settings->n_seeds;
    memcpy(g->settings.seeds, settings->seeds, sizeof(settings->seeds));
    g->settings.config_age_max_ms = settings->config_age_max_ms;
    g->settings.stop_grace_s = settings->stop_grace_s;
    add_seeds(g);
    CaroLog_Info(
        "gateway", "Settings were read anew. seeds=%d%s", settings->n_seeds,
        is_moved ? " left=\"addresses change at the next start\"" : "");
}

void
CaroGateway_Destroy(CaroGateway *g)
{
    if (g == NULL) {
        return;
    }
    if (g->tick != NULL) {
        event_free(g->tick);
    }
    CaroRelays_Destroy(g->relays);
    CaroHttpServer_Destroy(g->front);
    CaroGatewayHttp_Destroy(g->http);
    CaroFleet_Destroy(g->fleet);
    CaroRegistry_Destroy(g->registry);
    CaroStoreClient_Destroy(g->store);
    CaroChannelPool_Destroy(g->pool);
    CaroRetryBudget_Destroy(g->budget);
    CaroPeerLoads_Destroy(g->board);
    CaroServiceRollouts_Destroy(g->moves);
    CaroLatency_Destroy(g->latency);
    CaroTargets_Destroy(g->targets);
    CaroRoutes_Destroy(g->routes);
    free(g->config);
    if (g->rng != NULL) {
        gsl_rng_free(g->rng);
    }
    free(g);
}
