/*
 * One VM of the gateway on the users' platform: creates its parts and
 * connects them.
 *
 * The parts report their events to the handlers of this file, which call the
 * other parts.
 */
#include "caro_gateway.h"

#include "internal/caro_active_config.h"
#include "internal/caro_channel_pool.h"
#include "internal/caro_clock.h"
#include "internal/caro_directory.h"
#include "internal/caro_fleet.h"
#include "internal/caro_gateway_http.h"
#include "internal/caro_http.h"
#include "internal/caro_http_reply.h"
#include "internal/caro_http_server.h"
#include "internal/caro_log.h"
#include "internal/caro_peer_loads.h"
#include "internal/caro_peer_reports.h"
#include "internal/caro_platform.h"
#include "internal/caro_prompt_guard.h"
#include "internal/caro_registry.h"
#include "internal/caro_relay.h"
#include "internal/caro_request_check.h"
#include "internal/caro_request_limits.h"
#include "internal/caro_retry_lending.h"
#include "internal/caro_service_rollouts.h"
#include "internal/caro_service_room.h"
#include "internal/caro_slot_permits.h"
#include "internal/caro_store_notices.h"
#include "internal/caro_tunnel_gate.h"
#include "internal/caro_upstream_paths.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Fraction of the VM's memory for the bodies of requests. */
#define BODY_MEMORY_FRACTION 0.25
/* Of the memory, for all that connections of callers hold, with the bodies. */
#define HELD_MEMORY_FRACTION 0.4
/* Likewise for responses that callers have not taken. */
#define RESPONSE_MEMORY_FRACTION 0.25
/* Fractions of the file descriptors for tunnels of other VMs, as a limit of
   their number, for callers, and for idle channels to upstreams; the rest is
   for busy channels, peers, the store and files. */
#define TUNNELS_FRACTION 0.125
#define CALLER_DESCRIPTORS_FRACTION 0.5
#define IDLE_CHANNELS_FRACTION 0.2
/* A caller that accepts no byte for this long is disconnected. */
#define WRITE_TIMEOUT (10 * CARO_SECOND)
#define TICK_INTERVAL (20 * CARO_MS)
/* Each VM sends one probe per interval; short enough for the directory to omit
   a failed VM within two seconds. */
#define HEARTBEAT_INTERVAL (400 * CARO_MS)
/* Two parts of a partitioned fleet find each other again within this time. */
#define REJOIN_INTERVAL (7 * CARO_SECOND)
/* Unchanged loads are sent again at this interval, as a datagram may have
   been lost. */
/* Time without a request before the exit, so that the last responses are
   sent. */
#define STOP_IDLE_MIN (500 * CARO_MS)
/* Callers use an address for about this long after the directory has removed
   it, and would find a closed port. */
#define STOP_DURATION_MIN (2500 * CARO_MS)
/* The remaining streams are cut, then all connections are closed, and then the
   process exits, this long before the end of the grace period, when it would
   be killed. */
#define CUT_MARGIN (700 * CARO_MS)
#define CLOSE_MARGIN (450 * CARO_MS)
#define EXIT_MARGIN (200 * CARO_MS)
/* Wait for callers to take the last responses and to close. */
#define CLOSE_TIMEOUT (CLOSE_MARGIN - EXIT_MARGIN)
/* Interval at which the readers of the store are chosen anew, which costs a
   hash of each VM's name. */
#define READERS_INTERVAL (100 * CARO_MS)
/* The route's timeout is shorter: a day. */
#define CALLER_TIMEOUT_MAX_MS ((int64_t)86400000)

/* Part of the bound on the delay of a configuration for which a VM goes on
   serving by an older one after it has learnt of it.  The rest is for the way
   of the announcement. */
#define LACKING_FRACTION (1.0 / 3)

/* Calls that wait for the first reads of the store after the start; calls
   beyond that are refused. */
enum { PENDING_CALLS_MAX = 64 };

struct CaroGateway {
    struct event_base *base;
    CaroGatewaySettings settings;
    gsl_rng *rng;
    CaroCounters counters;
    CaroLatency *latency;
    CaroTargets *targets;
    CaroChannelPool *pool;
    CaroRetryBudget *budget;
    CaroRetryLending *lending;
    CaroPeerLoads *peer_loads;
    CaroEnginePace *pace;
    CaroRetainedPrompts *retained;
    CaroServiceRollouts *rollouts;
    CaroPromptGuard *guard;
    CaroRequestLimits *limits;
    CaroServiceRoom *room;
    CaroSlotPermits *permits;
    CaroRelays *relays;
    CaroHttpServer *http_server;
    CaroStoreClient *store;
    CaroRegistry *registry;
    CaroFleet *fleet;
    CaroUpstreamPaths *paths;
    CaroTunnelGate *tunnel_gate;
    CaroStoreNotices *store_notices;
    CaroPeerReports *peer_reports;
    CaroGatewayHttp *status_http;
    struct event *tick;

    CaroActiveConfig *config;
    bool was_config_fresh;
    bool lacked_config;

    uint64_t boot_id;
    CaroTime next_readers;
    CaroTime started_at;
    /* Calls received before the first reads of the store. */
    CaroCall *pending_calls[PENDING_CALLS_MAX];
    int n_pending_calls;
    CaroTime stop_requested_at; /* 0 while serving. */
    /* Start of the time without calls during a stop; 0 with calls. */
    CaroTime idle_since;
    CaroTime closing_since; /* Start of the closing of all connections. */
};

static bool
is_config_fresh(const CaroGateway *g)
{
    return CaroConfigFreshness_IsFresh(
        CaroActiveConfig_FreshnessConst(g->config),
        (CaroTime)(g->settings.config_age_max_ms * (double)CARO_MS),
        CaroClock_BootTime());
}

/* Time since the configuration was confirmed as the newest; -1 before. */
static CaroTime
config_age(const CaroGateway *g)
{
    return CaroConfigFreshness_Age(CaroActiveConfig_FreshnessConst(g->config),
                                   CaroClock_BootTime());
}

/* Returns whether a newer configuration than that in force has been known for
   so long that requests could be served by the older one too late. */
static bool
lacks_config(const CaroGateway *g, CaroTime now)
{
    double limit_ms = LACKING_FRACTION * g->settings.config_delay_max_ms;
    return CaroActiveConfig_LackingTime(g->config, now) >
           (CaroTime)(limit_ms * (double)CARO_MS);
}

static bool
is_ready(void *context)
{
    const CaroGateway *g = context;
    return CaroActiveConfig_Routes(g->config) != NULL &&
           CaroRegistry_IsLoaded(g->registry) && g->stop_requested_at == 0 &&
           CaroUpstreamPaths_State(g->paths) != CARO_LINKS_NONE &&
           is_config_fresh(g) && !lacks_config(g, CaroClock_Now()) &&
           CaroActiveConfig_RejectedRevision(g->config) == 0;
}

/* --- callers --- */

/* End of the time in which requests can be at work; 0 without a stop. */
static CaroTime
work_end(const CaroGateway *g)
{
    CaroTime grace =
        (CaroTime)(g->settings.stop_grace_s * (double)CARO_SECOND);
    return g->closing_since != 0 ? g->closing_since
           : g->stop_requested_at != 0
               ? g->stop_requested_at + grace - CLOSE_MARGIN
               : 0;
}

/* The state of the VM, without a request. */
static CaroRequestCheckQuery
make_vm_query(const CaroGateway *g, CaroTime now)
{
    return (CaroRequestCheckQuery){
        .routes = CaroActiveConfig_Routes(g->config),
        .has_target_list = CaroRegistry_IsLoaded(g->registry),
        .lacks_config = lacks_config(g, now),
        .is_config_fresh = is_config_fresh(g),
        .has_unusable_config =
            CaroActiveConfig_RejectedRevision(g->config) != 0,
        .is_stopping = g->stop_requested_at != 0,
        .time_to_exit = work_end(g) - now,
        .uptime = now - g->started_at};
}

static CaroRequestCheckQuery
make_check_query(const CaroGateway *g, const CaroHttpHead *head, CaroTime now)
{
    int64_t ms = 0;
    (void)CaroText_ToNumber(
        CaroHttpHead_Find(head,
                          CaroPlatform_HeaderName(CARO_HEADER_TIME_LEFT)),
        &ms);
    ms = ms < CALLER_TIMEOUT_MAX_MS ? ms : CALLER_TIMEOUT_MAX_MS;
    CaroText path = head->target;
    const char *query = memchr(path.at, '?', path.size);
    if (query != NULL) {
        path.size = (size_t)(query - path.at);
    }
    CaroRequestCheckQuery q = make_vm_query(g, now);
    q.caller_timeout = ms * CARO_MS;
    q.host = CaroHttpHead_Find(head, "host");
    q.path = path;
    q.key =
        CaroHttpHead_Find(head, CaroPlatform_HeaderName(CARO_HEADER_API_KEY));
    return q;
}

static void
refuse_request(CaroGateway *g, CaroCall *call,
               const CaroRequestCheckResult *result)
{
    CaroText id = CaroHttpHead_Find(
        CaroCall_Head(call), CaroPlatform_HeaderName(CARO_HEADER_REQUEST_ID));
    const CaroRoutes *routes = CaroActiveConfig_Routes(g->config);
    CaroCounters_Add(&g->counters,
                     result->status == 401   ? CARO_COUNT_UNAUTHORIZED
                     : result->status == 404 ? CARO_COUNT_NO_ROUTE
                     : result->status == 503 ? CARO_COUNT_REFUSED
                                             : CARO_COUNT_MALFORMED,
                     1);
    CaroLog_Info(
        "entry",
        "A request was refused. id=%.*s status=%d config=%lld "
        "proof_age_ms=%lld reason=\"%s\"",
        (int)(id.size < CARO_LOG_TEXT_MAX ? id.size : CARO_LOG_TEXT_MAX),
        id.at == NULL ? "" : id.at, result->status,
        (long long)(routes == NULL ? 0 : CaroRoutes_Version(routes)),
        (long long)(config_age(g) / CARO_MS), result->reason);
    CaroRelay_Refuse(call, result->status, result->retry_after_s);
}

/* Accepts or refuses the call.  Returns false when it has to be checked again
   later and there is room to keep it. */
static bool
check_call(CaroGateway *g, CaroCall *call, bool has_room, CaroTime now)
{
    CaroRequestCheckQuery query =
        make_check_query(g, CaroCall_Head(call), now);
    CaroRequestCheckResult result = CaroRequestCheck_Run(&query);
    if (result.should_check_again && has_room) {
        return false;
    }
    if (result.status != 0) {
        refuse_request(g, call, &result);
    }
    else {
        CaroCall_SetAccount(
            call, result.account == NULL ? "" : result.account->name);
        CaroRelays_Accept(g->relays, call, result.route, result.account, now);
    }
    return true;
}

static void
on_request(void *context, CaroCall *call)
{
    CaroGateway *g = context;
    bool has_room = g->n_pending_calls < PENDING_CALLS_MAX;
    CaroCounters_Add(&g->counters, CARO_COUNT_REQUESTS, 1);
    if (!check_call(g, call, has_room, CaroClock_Now())) {
        g->pending_calls[g->n_pending_calls++] = call;
    }
}

/* Checks again the calls that were received before the first reads of the
   store. */
static void
check_pending_calls(CaroGateway *g, CaroTime now)
{
    int n = g->n_pending_calls;
    g->n_pending_calls = 0;
    for (int i = 0; i < n; i++) {
        if (!check_call(g, g->pending_calls[i], true, now)) {
            g->pending_calls[g->n_pending_calls++] = g->pending_calls[i];
        }
    }
}

static void
on_call_disconnected(void *context, CaroCall *call)
{
    CaroGateway *g = context;
    for (int i = 0; i < g->n_pending_calls; i++) {
        if (g->pending_calls[i] == call) {
            g->pending_calls[i] = g->pending_calls[--g->n_pending_calls];
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

static void
on_cut(void *context, const char *peer, size_t unsent, const char *reason)
{
    CaroGateway *g = context;
    CaroCounters_Add(&g->counters, CARO_COUNT_CONNECTIONS_CUT, 1);
    CaroLog_Info("front",
                 "A connection was closed before its response was sent. "
                 "peer=%s unsent=%zu reason=\"%s\"",
                 peer, unsent, reason);
}

static void
on_shed(void *context, const char *peer, size_t held)
{
    CaroGateway *g = context;
    const CaroHeldBytes *all = CaroHttpServer_HeldBytes(g->http_server);
    CaroAccountBytes largest = {.account = ""};
    (void)CaroHeldBytes_ListAccounts(all, &largest, 1);
    CaroCounters_Add(&g->counters, CARO_COUNT_CONNECTIONS_SHED, 1);
    CaroLog_Warn("front",
                 "A connection was shed. peer=%s held_bytes=%zu "
                 "held_by_account=%zu account=%s held_by_all=%zu",
                 peer, held, largest.bytes, largest.account,
                 CaroHeldBytes_Total(all));
}

static const CaroHttpServerHandlers http_server_handlers = {
    .on_request = on_request,
    .on_disconnected = on_call_disconnected,
    .on_drained = on_drained,
    .on_refused = on_refused,
    .on_cut = on_cut,
    .on_shed = on_shed};

static double
memory_bytes(const CaroGatewaySettings *s)
{
    return (double)s->memory_mb * 1048576.0;
}

static CaroHttpServerLimits
http_server_limits(const CaroGateway *g, const CaroCallerLimits *l)
{
    double memory = memory_bytes(&g->settings);
    double callers =
        CALLER_DESCRIPTORS_FRACTION * (double)g->settings.descriptors;
    return (CaroHttpServerLimits){
        .held_bytes_max = (size_t)(HELD_MEMORY_FRACTION * memory),
        .head_bytes_max = (size_t)l->head_bytes_max,
        .body_bytes_max = (size_t)l->body_bytes_max,
        .all_bytes_max = (size_t)(BODY_MEMORY_FRACTION * memory),
        .connections_max = (int)callers,
        .head_timeout = l->head_timeout,
        .idle_timeout = l->idle_timeout,
        .write_timeout = WRITE_TIMEOUT};
}

/* --- configuration --- */

/* Applies a configuration from the store or a peer; see
   CaroActiveConfig_Apply. */
static int
apply_config(CaroGateway *g, const char *bytes, size_t size,
             CaroRevision revision, const char *source)
{
    int rc = CaroActiveConfig_Apply(g->config, bytes, size, revision, source,
                                    CaroClock_BootTime());
    if (rc == CARO_CONFIG_APPLIED) {
        CaroHttpServerLimits limits = http_server_limits(
            g, CaroRoutes_Limits(CaroActiveConfig_Routes(g->config)));
        CaroHttpServer_SetLimits(g->http_server, &limits);
    }
    return rc;
}

static int
on_config(void *context, const char *bytes, size_t size, CaroRevision revision)
{
    int rc = apply_config(context, bytes, size, revision, "store");
    return rc == CARO_CONFIG_APPLIED ? 0 : rc;
}

static void
on_config_confirmed(void *context, CaroRevision revision, CaroTime sent_at)
{
    CaroGateway *g = context;
    CaroConfigFreshness_Record(CaroActiveConfig_Freshness(g->config), revision,
                               sent_at);
}

static void
on_target_left(void *context, uint32_t start_hash, bool is_gone)
{
    CaroGateway *g = context;
    CaroStoreNotices_Record(g->store_notices, start_hash, is_gone,
                            CaroClock_Now());
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
                 "An upstream was registered. id=%s service=%s address=%s "
                 "domain=%s version=%s leaving=%d cold_ms=%lld",
                 target->entry.id, target->entry.service,
                 target->entry.address, target->entry.domain,
                 target->entry.version, target->entry.is_leaving,
                 (long long)(target->entry.cold_time / CARO_MS));
}

static void
on_vm(void *context, const char *peer)
{
    CaroGateway *g = context;
    CaroFleet_AddAddress(g->fleet, peer);
}

static void
on_rollout_request(void *context, const char *service, const char *bytes,
                   size_t size, CaroRevision revision)
{
    CaroGateway *g = context;
    CaroServiceRollouts_OnRequest(g->rollouts, service, bytes, size, revision,
                                  CaroClock_Now());
}

static void
on_rollout_outcome(void *context, const char *service, const char *bytes,
                   size_t size, CaroRevision revision)
{
    CaroGateway *g = context;
    CaroServiceRollouts_OnOutcome(g->rollouts, service, bytes, size, revision);
}

static void
on_quarantine(void *context, const char *bytes, size_t size)
{
    CaroGateway *g = context;
    CaroPromptGuard_OnStored(g->guard, bytes, size,
                             (int64_t)CaroClock_WallMs(), CaroClock_Now());
}

static void
on_store_restored(void *context)
{
    CaroGateway *g = context;
    CaroPromptGuard_OnStoreRestored(g->guard);
    CaroServiceRollouts_OnStoreRestored(g->rollouts, CaroClock_Now());
}

static void
on_listed(void *context, CaroRevision revision)
{
    CaroGateway *g = context;
    CaroServiceRollouts_OnListed(g->rollouts, revision);
}

static const CaroRegistryHandlers registry_handlers = {
    .on_store_restored = on_store_restored,
    .on_listed = on_listed,
    .on_config = on_config,
    .on_config_confirmed = on_config_confirmed,
    .on_target = on_target,
    .on_target_left = on_target_left,
    .on_vm = on_vm,
    .on_rollout_request = on_rollout_request,
    .on_rollout_outcome = on_rollout_outcome,
    .on_quarantine = on_quarantine,
};

/* --- the other VMs --- */

static CaroConfigFreshness
get_config_freshness(void *context)
{
    const CaroGateway *g = context;
    return *CaroActiveConfig_FreshnessConst(g->config);
}

static void
on_peer_freshness(void *context, CaroRevision revision, CaroTime age,
                  CaroTime probed_at)
{
    CaroGateway *g = context;
    CaroConfigFreshness *freshness = CaroActiveConfig_Freshness(g->config);
    CaroTime previous_at = freshness->confirmed_at;
    CaroTime now = CaroClock_Now();
    if (age >= 0) {
        CaroTime elapsed = CaroClock_BootTime() - probed_at;
        CaroRegistry_RecordPeerResponse(g->registry, now - elapsed - age, now);
    }
    CaroConfigFreshness_RecordPeer(freshness, revision, age, probed_at);
    if (freshness->confirmed_at != previous_at) {
        CaroCounters_Add(&g->counters, CARO_COUNT_CONFIG_CONFIRMED_BY_PEERS,
                         1);
    }
}

static bool
wants_config(void *context, CaroRevision revision)
{
    CaroGateway *g = context;
    CaroActiveConfig_RecordAnnounced(g->config, revision, CaroClock_Now());
    return CaroActiveConfig_Wants(g->config, revision);
}

static bool
get_config(void *context, const char **bytes, size_t *size,
           CaroRevision *revision)
{
    const CaroGateway *g = context;
    *bytes = CaroActiveConfig_Text(g->config, size);
    *revision = CaroActiveConfig_FreshnessConst(g->config)->revision;
    return *bytes != NULL;
}

static void
on_peer_config(void *context, const char *bytes, size_t size,
               CaroRevision revision)
{
    CaroGateway *g = context;
    int rc = apply_config(g, bytes, size, revision, "peer");
    if (rc >= 0) {
        CaroRegistry_RecordPeerConfig(g->registry, revision);
    }
    if (rc == CARO_CONFIG_APPLIED) {
        CaroRegistry_RecordConfigInForce(g->registry, revision, size);
    }
}

static bool
pack_config(void *context, CaroRevision base, caro_packed_config *out)
{
    CaroGateway *g = context;
    return CaroConfigTexts_Pack(CaroActiveConfig_Texts(g->config), base,
                                out) == 0;
}

static int
on_packed_config(void *context, const caro_packed_config *packed)
{
    CaroGateway *g = context;
    char *text;
    size_t size;
    int rc = CaroConfigTexts_Unpack(CaroActiveConfig_Texts(g->config), packed,
                                    &text, &size);
    if (rc < 0) {
        return rc;
    }
    on_peer_config(g, text, size, (CaroRevision)packed->revision);
    free(text);
    return 0;
}

/* Sends the call to a reader of the store that is due. */
static void
ask_reader(CaroGateway *g)
{
    CaroHandle reader = CaroRegistry_NextReader(g->registry);
    if (reader != CARO_NO_HANDLE) {
        CaroFleet_RequestStoreChanges(g->fleet, reader,
                                      CaroRegistry_Revision(g->registry),
                                      CARO_STORE_READER_TIMEOUT);
    }
}

static void
on_store_changes(void *context, CaroHandle vm, CaroRevision asked,
                 CaroTime sent_at, const caro_store_changes *reply)
{
    CaroGateway *g = context;
    int rc = CaroRegistry_ApplyChanges(g->registry, vm, asked, sent_at, reply);
    if (rc < 0) {
        return;
    }
    /* After the changes, as a confirmation holds for its revision only. */
    CaroActiveConfig_RecordAnnounced(
        g->config, (CaroRevision)reply->config_revision, CaroClock_Now());
    on_peer_freshness(g, (CaroRevision)reply->config_revision,
                      reply->config_age, sent_at);
    if (rc > 0) {
        CaroFleet_FetchConfig(g->fleet, vm);
    }
    if (reply->has_more) {
        ask_reader(g);
    }
}

static bool
collect_store_changes(void *context, CaroRevision after,
                      caro_store_change changes[CARO_CHANGES_MAX],
                      caro_store_changes *reply)
{
    CaroGateway *g = context;
    return CaroRegistry_CollectChanges(g->registry, after, changes, reply);
}

/* Chooses the readers of the store in this failure domain, and asks one. */
static void
tick_readers(CaroGateway *g, CaroTime now)
{
    if (now >= g->next_readers) {
        const CaroMembership *m = CaroFleet_GetMembershipConst(g->fleet);
        CaroStoreReadersView view = {.is_ready =
                                         CaroFleet_IsJoined(g->fleet, now),
                                     .n_vms = CaroMembership_CountUsable(m)};
        int n = CaroMembership_ChooseInDomain(m, "store", view.readers,
                                              CARO_STORE_READERS);
        for (int i = 0; i < CARO_STORE_READERS; i++) {
            view.readers[i] = i < n ? view.readers[i] : CARO_NO_HANDLE;
            view.is_reader |= view.readers[i] == CARO_SELF;
        }
        g->next_readers = now + READERS_INTERVAL;
        CaroRegistry_SetView(g->registry, &view);
    }
    ask_reader(g);
}

static void
on_load_report(void *context, const caro_load_report *report)
{
    CaroGateway *g = context;
    CaroPeerReports_ApplyLoad(g->peer_reports, report, CaroClock_Now());
}

static void
on_pace_report(void *context, const caro_pace_report *report)
{
    CaroGateway *g = context;
    CaroPeerReports_ApplyPace(g->peer_reports, report, CaroClock_Now());
}

static void
on_retention_report(void *context, const caro_retention_report *report)
{
    CaroGateway *g = context;
    CaroPeerReports_ApplyRetention(g->peer_reports, report, CaroClock_Now());
}

static void
on_prompt_report(void *context, const caro_prompt_report *report)
{
    CaroGateway *g = context;
    CaroPromptGuard_ApplyOld(g->guard, report, CaroClock_Now());
}

static void
on_store_notices(void *context, const caro_store_notices *notices)
{
    CaroGateway *g = context;
    CaroHandle left[CARO_STORE_NOTICES_MAX];
    CaroTime now = CaroClock_Now();
    int n = CaroStoreNotices_Apply(g->store_notices, notices, left, now);
    for (int i = 0; i < n; i++) {
        CaroCounters_Add(&g->counters, CARO_COUNT_STORE_NOTICES, 1);
        CaroLog_Info("registry",
                     "Another VM read in the store that an upstream leaves. "
                     "upstream=%s vm=%s",
                     CaroTargets_GetConst(g->targets, left[i])->entry.id,
                     notices->sender);
        CaroRelays_OnTargetClosed(g->relays, left[i], now);
    }
}

static void
on_tunnel_lease(void *context, const caro_tunnel_lease *lease)
{
    CaroGateway *g = context;
    CaroTunnelGate_ApplyLease(g->tunnel_gate, lease, CaroClock_Now());
}

static void
on_prompt_evidence(void *context, const caro_prompt_evidence *evidence)
{
    CaroGateway *g = context;
    CaroPromptGuard_Apply(g->guard, evidence, CaroClock_Now());
}

static void
on_prompt_query(void *context, CaroRpcRequest *request)
{
    CaroGateway *g = context;
    CaroPromptEvidence out;
    CaroPromptGuard_CollectReply(g->guard, &out, CaroClock_Now());
    out.evidence.sender = g->settings.vm;
    CaroRpc_Reply(request, &out.evidence);
}

static void
on_prompt_reply(void *context, const caro_prompt_evidence *evidence)
{
    CaroGateway *g = context;
    CaroPromptGuard_OnQueryReply(g->guard, evidence, CaroClock_Now());
}

static void
on_limit_report(void *context, const caro_limit_report *report)
{
    CaroGateway *g = context;
    CaroRequestLimits_Apply(g->limits, report, CaroClock_Now());
}

static void
on_retry_loan(void *context, CaroRpcRequest *request,
              const caro_retry_loan *args)
{
    CaroGateway *g = context;
    CaroRetryLending_OnCall(g->lending, request, args, CaroClock_Now());
}

static void
on_room_report(void *context, const caro_room_report *report)
{
    CaroGateway *g = context;
    CaroServiceRoom_Apply(g->room, report, CaroClock_Now());
}

static void
on_permit_call(void *context, CaroRpcRequest *request,
               const caro_permit_args *args)
{
    CaroGateway *g = context;
    CaroSlotPermits_OnCall(g->permits, request, args, CaroClock_Now());
}

static void
on_brittle_notice(void *context, const caro_brittle_notice *notice)
{
    CaroGateway *g = context;
    CaroSlotPermits_ApplyNotice(g->permits, notice, CaroClock_Now());
}

static const CaroFleetHandlers fleet_handlers = {
    .on_permit_call = on_permit_call,
    .on_brittle_notice = on_brittle_notice,
    .on_retry_loan = on_retry_loan,
    .on_room_report = on_room_report,
    .on_limit_report = on_limit_report,
    .on_pace_report = on_pace_report,
    .on_retention_report = on_retention_report,
    .on_prompt_report = on_prompt_report,
    .on_store_notices = on_store_notices,
    .on_tunnel_lease = on_tunnel_lease,
    .on_prompt_evidence = on_prompt_evidence,
    .on_prompt_query = on_prompt_query,
    .on_prompt_reply = on_prompt_reply,
    .on_load_report = on_load_report,
    .get_config_freshness = get_config_freshness,
    .on_peer_freshness = on_peer_freshness,
    .wants_config = wants_config,
    .get_config = get_config,
    .on_config = on_peer_config,
    .pack_config = pack_config,
    .on_packed_config = on_packed_config,
    .collect_store_changes = collect_store_changes,
    .on_store_changes = on_store_changes,
};

/* --- readiness, directory, reports --- */

static int
list_addresses(void *context, const char *domain, const char **out, int max)
{
    CaroGateway *g = context;
    assert(max == CARO_DIRECTORY_MAX);
    (void)max;
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
        CaroStoreClient_CountCalls(g->store);
    g->counters.values[CARO_COUNT_CALLER_BYTES] =
        CaroHeldBytes_Total(CaroHttpServer_HeldBytes(g->http_server));
    g->counters.values[CARO_COUNT_LINKS_STATE] =
        CaroUpstreamPaths_State(g->paths);
    g->counters.values[CARO_COUNT_STORE_READER] =
        CaroRegistry_Role(g->registry) == CARO_STORE_READER;
    int64_t timeline = CaroRegistry_Timeline(g->registry);
    g->counters.values[CARO_COUNT_STORE_TIMELINE] =
        timeline < 0 ? 0 : (uint64_t)timeline;
    CaroTime now = CaroClock_Now();
    CaroTime lacking = CaroActiveConfig_LackingTime(g->config, now);
    CaroTime unread = CaroRegistry_ConfigLackingTime(g->registry, now);
    g->counters.values[CARO_COUNT_CONFIG_LACKING_MS] =
        (uint64_t)((lacking > unread ? lacking : unread) / CARO_MS);
    return &g->counters;
}

static void
write_latency(void *context, struct evbuffer *out)
{
    const CaroGateway *g = context;
    CaroLatency_Write(g->latency, out);
}

/* Time for which the upstream still wants no requests. */
static json_int_t
unavailable_ms(const CaroTarget *t)
{
    CaroTime left = t->notice.unavailable_until - CaroClock_Now();
    return left > 0 ? (json_int_t)(left / CARO_MS) : 0;
}

/* The client accounts whose connections hold the most. */
static json_t *
dump_accounts(const CaroGateway *g)
{
    enum { ACCOUNTS_SHOWN_MAX = 8 };
    CaroAccountBytes held[ACCOUNTS_SHOWN_MAX];
    json_t *list = json_array();
    int n = CaroHeldBytes_ListAccounts(
        CaroHttpServer_HeldBytes(g->http_server), held, ACCOUNTS_SHOWN_MAX);
    for (int i = 0; i < n; i++) {
        (void)json_array_append_new(
            list, json_pack("{s:s, s:I, s:i}", "account", held[i].account,
                            "held_bytes", (json_int_t)held[i].bytes,
                            "connections", held[i].connections));
    }
    return list;
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
                json_pack("{s:s, s:s, s:s, s:b, s:b, s:I, s:i, s:i, s:i, "
                          "s:i, s:f}",
                          "id", t->entry.id, "service", t->entry.service,
                          "domain", t->entry.domain, "present", t->is_present,
                          "leaving",
                          t->entry.is_leaving ||
                              t->notice.leaving != CARO_LEAVING_UNKNOWN,
                          "unavailable_ms", unavailable_ms(t), "in_flight",
                          t->in_flight, "copies", t->kv_copies, "running",
                          t->reported_running, "failures", t->failures,
                          "limit_per_s", CaroRequestLimits_Get(g->limits, h)));
        }
    }
    return json_pack(
        "{s:s, s:b, s:s, s:i, s:s, s:I, s:I, s:I, s:I, s:I, s:i, s:i, s:i, "
        "s:i, s:I, s:o, s:o, s:o, s:o}",
        "vm", g->settings.vm, "ready", is_ready(g), "upstream_links",
        CaroLinksState_Name(CaroUpstreamPaths_State(g->paths)), "tunnels_for",
        CaroTunnelGate_Count(g->tunnel_gate), "store_role",
        CaroStoreRole_Name(CaroRegistry_Role(g->registry)), "store_revision",
        (json_int_t)CaroRevision_Number(CaroRegistry_Revision(g->registry)),
        "store_timeline", (json_int_t)CaroRegistry_Timeline(g->registry),
        "config_revision",
        (json_int_t)CaroRevision_Number(
            CaroActiveConfig_FreshnessConst(g->config)->revision),
        "config_rejected",
        (json_int_t)CaroRevision_Number(
            CaroActiveConfig_RejectedRevision(g->config)),
        "proof_age_ms", (json_int_t)(config_age(g) / CARO_MS), "vms",
        CaroMembership_CountUsable(CaroFleet_GetMembershipConst(g->fleet)),
        "requests", CaroRelays_Count(g->relays), "connections",
        CaroHttpServer_CountConnections(g->http_server), "channels_kept",
        CaroChannelPool_CountIdle(g->pool), "channels_opened",
        (json_int_t)CaroChannelPool_CountOpened(g->pool), "callers",
        dump_accounts(g), "upstreams", targets, "moves",
        CaroServiceRollouts_Dump(g->rollouts), "quarantines",
        CaroPromptGuard_Dump(g->guard, CaroClock_Now()));
}

static json_t *
explain(void *context, const CaroExplainRequest *request)
{
    const CaroGateway *g = context;
    CaroTime now = CaroClock_Now();
    CaroExplainState state = {.vm = g->settings.vm,
                              .domain = g->settings.domain,
                              .targets = g->targets,
                              .rollouts = g->rollouts,
                              .limits = g->limits,
                              .guard = g->guard,
                              .pace = g->pace,
                              .rng = g->rng,
                              .config_age = config_age(g)};
    CaroRequestCheckQuery query = make_vm_query(g, now);
    return CaroGatewayExplain_Run(&state, &query, request, now);
}

static const CaroGatewayHttpHandlers http_handlers = {
    .is_ready = is_ready,
    .list_addresses = list_addresses,
    .get_counters = get_counters,
    .write_latency = write_latency,
    .get_state = get_state,
    .explain = explain,
};

/* --- time --- */

/* Answers or closes what is left, and ends the loop when nothing is. */
static void
tick_closing(CaroGateway *g, CaroTime now)
{
    CaroHttpServer_CloseIdle(g->http_server);
    int n = CaroHttpServer_CountConnections(g->http_server);
    if (n == 0 || now - g->closing_since >= CLOSE_TIMEOUT) {
        CaroLog_Info("gateway", "Stopped. ms=%lld requests=%d connections=%d",
                     (long long)((now - g->stop_requested_at) / CARO_MS),
                     CaroHttpServer_CountCalls(g->http_server), n);
        event_base_loopbreak(g->base);
    }
}

/* Closes the connections when no request has been in progress for some time,
   or just before the grace period ends. */
static void
tick_stop(CaroGateway *g, CaroTime now)
{
    CaroTime elapsed = now - g->stop_requested_at;
    CaroTime grace =
        (CaroTime)(g->settings.stop_grace_s * (double)CARO_SECOND);
    if (CaroHttpServer_CountCalls(g->http_server) > 0) {
        g->idle_since = 0;
    }
    else if (g->idle_since == 0) {
        g->idle_since = now;
    }
    if (elapsed >= grace - CUT_MARGIN) {
        CaroRelays_CutStreams(g->relays, now);
    }
    bool is_idle = g->idle_since != 0 && now - g->idle_since >= STOP_IDLE_MIN;
    if (g->closing_since == 0 && ((is_idle && elapsed >= STOP_DURATION_MIN) ||
                                  elapsed >= grace - CLOSE_MARGIN)) {
        g->closing_since = now;
        CaroRelays_CutAll(g->relays, now);
    }
    if (g->closing_since != 0) {
        tick_closing(g, now);
    }
}

/* Names the tunnels in use to their gates, and ends those of other VMs that
   are not. */
static void
tick_tunnels(CaroGateway *g, CaroTime now)
{
    static CaroTunnelLease out; /* It is large, and there is one thread. */
    while (CaroUpstreamPaths_CollectLease(g->paths, &out, now)) {
        CaroFleet_SendTunnelLease(g->fleet, out.gate, &out.lease);
    }
    CaroTunnelGate_Tick(g->tunnel_gate, now);
}

/* Tells other VMs which upstreams leave. */
static void
send_store_notices(CaroGateway *g, CaroTime now)
{
    CaroStoreNoticesMessage out;
    int fanout = CaroStoreNotices_Collect(g->store_notices, &out, now);
    if (fanout > 0) {
        CaroFleet_SendStoreNotices(g->fleet, &out.message, fanout);
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
    check_pending_calls(g, now);
    CaroFleet_Tick(g->fleet, now);
    tick_readers(g, now);
    CaroPeerLoads_Tick(g->peer_loads, now);
    CaroServiceRollouts_SetRank(
        g->rollouts,
        CaroMembership_Rank(CaroFleet_GetMembershipConst(g->fleet)),
        CaroMembership_CountUsable(CaroFleet_GetMembershipConst(g->fleet)));
    CaroRelays_CheckOverdue(g->relays, now);
    CaroSlotPermits_Tick(g->permits, now);
    CaroServiceRollouts_Tick(g->rollouts, now);
    CaroPeerReports_Tick(g->peer_reports, now);
    CaroRelays_SetVms(g->relays, CaroRetryLending_Tick(g->lending, now));
    if (CaroUpstreamPaths_Tick(g->paths, CaroRelays_Count(g->relays), now)) {
        CaroChannelPool_DropAll(g->pool);
        CaroTargets_ForgetFailures(g->targets);
    }
    tick_tunnels(g, now);
    send_store_notices(g, now);
    bool is_fresh = is_config_fresh(g);
    if (is_fresh != g->was_config_fresh) {
        g->was_config_fresh = is_fresh;
        CaroLog_Info(
            "config", "%s revision=%lld age_ms=%lld",
            is_fresh
                ? "The configuration is confirmed as the newest."
                : "The configuration is no longer confirmed as the newest.",
            (long long)CaroRevision_Number(
                CaroActiveConfig_FreshnessConst(g->config)->revision),
            (long long)(config_age(g) / CARO_MS));
    }
    bool is_lacking = lacks_config(g, now);
    if (is_lacking != g->lacked_config) {
        g->lacked_config = is_lacking;
        CaroLog_Warn("config", "%s revision=%lld lacking_ms=%lld",
                     is_lacking ? "A newer configuration has not arrived; "
                                  "requests are refused."
                                : "The missing configuration has arrived.",
                     (long long)CaroRevision_Number(
                         CaroActiveConfig_FreshnessConst(g->config)->revision),
                     (long long)(CaroActiveConfig_LackingTime(g->config, now) /
                                 CARO_MS));
    }
    if (g->stop_requested_at != 0) {
        tick_stop(g, now);
    }
}

/* --- assembly --- */

static void
describe_self(const CaroGateway *g, CaroVm *self)
{
    const CaroGatewaySettings *s = &g->settings;
    memset(self, 0, sizeof(*self));
    CARO_COPY(self->name, s->vm);
    CARO_COPY(self->http, s->http_address);
    (void)snprintf(self->peer, sizeof(self->peer), "%.30s:%d", s->host,
                   (int)s->peer_port);
    CARO_COPY(self->domain, s->domain);
    CARO_COPY(self->region, s->region);
    /* The wall clock orders the starts of one VM; a VM whose clock was set
       back receives its old incarnation from the others and exceeds it. */
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
    g->config = CaroActiveConfig_Create(&g->counters);
    g->latency = CaroLatency_Create();
    g->targets = CaroTargets_Create();
    g->peer_loads =
        g->targets == NULL ? NULL : CaroPeerLoads_Create(g->targets);
    g->pace = CaroEnginePace_Create();
    g->retained = CaroRetainedPrompts_Create();
    g->pool = CaroChannelPool_Create(
        g->base, (int)(IDLE_CHANNELS_FRACTION * (double)s->descriptors));
    g->budget = CaroRetryBudget_Create(
        s->retry_ratio, s->retry_slack,
        (CaroTime)(s->retry_window_s * (double)CARO_SECOND));
    g->lending = g->budget == NULL || g->rng == NULL
                     ? NULL
                     : CaroRetryLending_Create(g->budget, &g->counters, g->rng,
                                               g->settings.vm);
    g->store = CaroStoreClient_Create(g->base, s->store_address);
    g->rollouts =
        g->store == NULL
            ? NULL
            : CaroServiceRollouts_Create(g->store, s->rollout_exposure_max,
                                         s->rollout_request_allowance);
    g->store_notices = CaroStoreNotices_Create(g->targets);
    g->guard = CaroPromptGuard_Create(g->targets, g->store, &g->counters);
    g->limits = g->targets == NULL || g->rng == NULL
                    ? NULL
                    : CaroRequestLimits_Create(g->targets, g->rng);
    g->room =
        g->limits == NULL ? NULL : CaroServiceRoom_Create(g->targets, g->rng);
    g->permits = g->targets == NULL
                     ? NULL
                     : CaroSlotPermits_Create(g->targets, &g->counters,
                                              CaroRelays_OnPermit);
    if (g->permits == NULL || g->config == NULL || g->guard == NULL ||
        g->store_notices == NULL || g->room == NULL || g->rng == NULL ||
        g->latency == NULL || g->peer_loads == NULL || g->pace == NULL ||
        g->retained == NULL || g->pool == NULL || g->lending == NULL ||
        g->rollouts == NULL) {
        return CARO_ERR_NOMEM;
    }
    CaroRetryBudget_Start(g->budget, now);
    CaroTargets_SetAdaptive(g->targets, s->is_adaptive);
    gsl_rng_set(g->rng, (unsigned long)CaroClock_Random());
    CaroRelayDeps deps = {
        .base = g->base,
        .targets = g->targets,
        .pool = g->pool,
        .budget = g->budget,
        .lending = g->lending,
        .rollouts = g->rollouts,
        .counters = &g->counters,
        .latency = g->latency,
        .guard = g->guard,
        .limits = g->limits,
        .pace = g->pace,
        .room = g->room,
        .retained = g->retained,
        .permits = g->permits,
        .rng = g->rng,
        .domain = g->settings.domain,
        .response_bytes_max =
            (size_t)(RESPONSE_MEMORY_FRACTION * memory_bytes(s))};
    g->relays = CaroRelays_Create(&deps);
    g->registry = CaroRegistry_Create(g->store, g->targets, &g->counters,
                                      g->rng, &registry_handlers, g, now);
    return g->relays == NULL || g->registry == NULL ? CARO_ERR_NOMEM : 0;
}

static bool
is_able_gate(void *context)
{
    const CaroGateway *g = context;
    return g->stop_requested_at == 0 &&
           CaroUpstreamPaths_State(g->paths) == CARO_LINKS_DIRECT;
}

static void
on_gate_connection(void *context, CaroHandle upstream, bool is_connected)
{
    const CaroGateway *g = context;
    CaroUpstreamPaths_RecordDirect(g->paths, upstream, is_connected);
}

/* Creates the ways to the upstreams, through other VMs and for them. */
static int
start_paths(CaroGateway *g, CaroError *err)
{
    char address[CARO_ADDRESS_SIZE];
    int port = (int)g->settings.tunnel_port;
    const CaroMembership *m = CaroFleet_GetMembershipConst(g->fleet);
    CaroUpstreamPathsDeps paths = {.base = g->base,
                                   .membership = m,
                                   .targets = g->targets,
                                   .counters = &g->counters,
                                   .rng = g->rng,
                                   .vm = g->settings.vm,
                                   .boot_id = g->boot_id,
                                   .port_offset =
                                       port - (int)g->settings.peer_port};
    CaroTunnelGateDeps gate = {
        .base = g->base,
        .membership = m,
        .targets = g->targets,
        .counters = &g->counters,
        .boot_id = g->boot_id,
        .tunnels_max =
            (int)(TUNNELS_FRACTION * (double)g->settings.descriptors),
        .is_able = is_able_gate,
        .on_connection = on_gate_connection,
        .context = g};
    if (port == 0) {
        return 0;
    }
    (void)snprintf(address, sizeof(address), "%.30s:%d", g->settings.host,
                   port);
    g->paths = CaroUpstreamPaths_Create(&paths);
    if (g->paths == NULL) {
        return CaroError_Set(err, CARO_ERR_NOMEM, "paths", address,
                             "no memory");
    }
    CaroChannelPool_SetPaths(g->pool, g->paths);
    g->tunnel_gate = CaroTunnelGate_Create(address, &gate, err);
    return g->tunnel_gate == NULL ? CARO_ERR_IO : 0;
}

static int
start_reports(CaroGateway *g)
{
    CaroPeerReportsDeps deps = {.fleet = g->fleet,
                                .targets = g->targets,
                                .peer_loads = g->peer_loads,
                                .pace = g->pace,
                                .retained = g->retained,
                                .rollouts = g->rollouts,
                                .guard = g->guard,
                                .limits = g->limits,
                                .room = g->room,
                                .relays = g->relays,
                                .counters = &g->counters,
                                .vm = g->settings.vm,
                                .boot_id = g->boot_id};
    g->peer_reports = CaroPeerReports_Create(&deps);
    return g->peer_reports == NULL ? CARO_ERR_NOMEM : 0;
}

static int
start_tick(CaroGateway *g)
{
    struct timeval tick = {.tv_usec = TICK_INTERVAL};
    g->tick = event_new(g->base, -1, EV_PERSIST, on_tick, g);
    return g->tick == NULL || event_add(g->tick, &tick) < 0 ? CARO_ERR_NOMEM
                                                            : 0;
}

CaroGateway *
CaroGateway_Create(struct event_base *base,
                   const CaroGatewaySettings *settings, CaroError *err)
{
    CaroVm self;
    CaroCallerLimits default_limits = {0};
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
    default_limits = *CaroRoutes_Limits(empty);
    CaroRoutes_Destroy(empty);
    g->base = base;
    g->settings = *settings;
    g->boot_id = CaroClock_Random();
    g->started_at = now;
    if (create_tables(g, now) < 0) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "tables", settings->vm,
                            "no memory");
        goto error;
    }
    describe_self(g, &self);
    CaroHttpServerLimits limits = http_server_limits(g, &default_limits);
    g->http_server = CaroHttpServer_Create(
        base, settings->http_address, &limits, &http_server_handlers, g, err);
    CaroFleetOptions fleet_options = {.heartbeat_interval = HEARTBEAT_INTERVAL,
                                      .rejoin_interval = REJOIN_INTERVAL,
                                      .counters = &g->counters};
    g->fleet = g->http_server == NULL
                   ? NULL
                   : CaroFleet_Create(base, &self, &fleet_options, g->rng,
                                      &fleet_handlers, g, now, err);
    CaroRetryLending_SetFleet(g->lending, g->fleet);
    CaroSlotPermits_SetFleet(g->permits, g->fleet, settings->vm);
    g->status_http =
        g->fleet == NULL
            ? NULL
            : CaroGatewayHttp_Create(base, settings, &http_handlers, g, err);
    if (g->status_http == NULL || start_paths(g, err) < 0) {
        goto error;
    }
    if (start_reports(g) < 0 || start_tick(g) < 0) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "timers", settings->vm,
                            "no memory");
        goto error;
    }
    CaroRegistry_SetSelf(g->registry, self.name, self.peer);
    add_seeds(g);
    CaroLog_Info("gateway",
                 "Started. front=%s peer=%s domain=%s store=%s boot=%016llx",
                 settings->http_address, self.peer, settings->domain,
                 settings->store_address, (unsigned long long)self.boot_id);
    return g;
error:
    CaroGateway_Destroy(g);
    return NULL;
}

void
CaroGateway_Stop(CaroGateway *g)
{
    CaroTime now = CaroClock_Now();
    if (g->stop_requested_at != 0) {
        return;
    }
    g->stop_requested_at = now;
    CaroLog_Info("gateway", "A stop was requested. grace_s=%g requests=%d",
                 g->settings.stop_grace_s, CaroRelays_Count(g->relays));
    CaroHttpServer_CloseAfterResponses(g->http_server);
    CaroFleet_Leave(g->fleet, now);
}

void
CaroGateway_Reload(CaroGateway *g, const CaroGatewaySettings *settings)
{
    bool has_new_address =
        strcmp(settings->http_address, g->settings.http_address) != 0 ||
        strcmp(settings->store_address, g->settings.store_address) != 0;
    g->settings.n_seeds = settings->n_seeds;
    memcpy(g->settings.seeds, settings->seeds, sizeof(settings->seeds));
    g->settings.config_age_max_ms = settings->config_age_max_ms;
    g->settings.config_delay_max_ms = settings->config_delay_max_ms;
    CaroTargets_SetAdaptive(g->targets, settings->is_adaptive);
    g->settings.stop_grace_s = settings->stop_grace_s;
    add_seeds(g);
    CaroLog_Info(
        "gateway", "The settings were reloaded. seeds=%d%s", settings->n_seeds,
        has_new_address ? " left=\"changed addresses need a restart\"" : "");
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
    CaroTunnelGate_Destroy(g->tunnel_gate);
    CaroHttpServer_Destroy(g->http_server);
    CaroGatewayHttp_Destroy(g->status_http);
    CaroFleet_Destroy(g->fleet);
    CaroPeerReports_Destroy(g->peer_reports);
    CaroRegistry_Destroy(g->registry);
    CaroStoreClient_Destroy(g->store);
    CaroChannelPool_Destroy(g->pool);
    CaroUpstreamPaths_Destroy(g->paths);
    CaroRetryLending_Destroy(g->lending);
    CaroRetryBudget_Destroy(g->budget);
    CaroPeerLoads_Destroy(g->peer_loads);
    CaroEnginePace_Destroy(g->pace);
    CaroRetainedPrompts_Destroy(g->retained);
    CaroServiceRollouts_Destroy(g->rollouts);
    CaroStoreNotices_Destroy(g->store_notices);
    CaroPromptGuard_Destroy(g->guard);
    CaroRequestLimits_Destroy(g->limits);
    CaroServiceRoom_Destroy(g->room);
    CaroSlotPermits_Destroy(g->permits);
    CaroLatency_Destroy(g->latency);
    CaroTargets_Destroy(g->targets);
    CaroActiveConfig_Destroy(g->config);
    if (g->rng != NULL) {
        gsl_rng_free(g->rng);
    }
    free(g);
}
