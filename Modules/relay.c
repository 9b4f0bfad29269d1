/* Requests of callers from their acceptance on, as a set. */
#include "internal/caro_relay_private.h"

#include "internal/caro_platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time by which a response is sent before the caller's own timeout. */
#define RESPONSE_MARGIN (25 * CARO_MS)

/* A day; longer times of callers do not count. */
#define CALLER_TIME_MAX_MS ((int64_t)86400000)

CaroRelays *
CaroRelays_Create(const CaroRelayDeps *deps)
{
    CaroRelays *relays = calloc(1, sizeof(*relays));
    if (relays == NULL) {
        return NULL;
    }
    relays->deps = *deps;
    relays->vms = 1;
    relays->event_pace = CaroEventPace_Create();
    if (relays->event_pace == NULL) {
        free(relays);
        return NULL;
    }
    return relays;
}

void
CaroRelays_Destroy(CaroRelays *relays)
{
    if (relays == NULL) {
        return;
    }
    while (relays->first != NULL) {
        CaroRelay_Destroy(relays->first);
    }
    CaroEventPace_Destroy(relays->event_pace);
    free(relays);
}

void
CaroRelays_SetVms(CaroRelays *relays, int vms)
{
    relays->vms = vms;
}

/* Sets the earlier of the caller's deadline and that of the route. */
static void
set_deadline(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    int64_t ms;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TIME_LEFT));
    CaroTime route = now + r->route.timeout;
    if (CaroText_ToNumber(value, &ms) && ms < CALLER_TIME_MAX_MS) {
        r->caller_time = ms * CARO_MS;
    }
    bool is_shorter = CaroText_ToNumber(value, &ms) &&
                      ms < (r->route.timeout + RESPONSE_MARGIN) / CARO_MS;
    CaroTime caller =
        is_shorter ? now + ms * CARO_MS - RESPONSE_MARGIN : route;
    r->attempt.deadline = caller < route ? caller : route;
}

static void
choose_version(CaroRelay *r, CaroTime now)
{
    const CaroRelayDeps *deps = &r->relays->deps;
    const char *version = NULL;
    CaroVersionRule rule = CaroServiceRollouts_ChooseVersion(
        deps->rollouts, r->service, gsl_rng_uniform(deps->rng), &version, now);
    if (rule != CARO_VERSION_ANY) {
        CARO_COPY(r->version, version);
        r->query.version = r->version;
        r->query.excludes_version = rule == CARO_VERSION_NOT;
        r->is_canary = rule == CARO_VERSION_ONLY;
    }
}

static void
set_prompt(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    int64_t tokens = 0;
    CaroText parts = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_PROMPT_PARTS));
    (void)CaroPlatform_ReadPromptParts(parts, &r->prompt_parts);
    if (r->prompt_parts.n > 0) {
        CaroPromptGuard_RecordRequest(r->relays->deps.guard, &r->prompt_parts,
                                      now);
    }
    if (CaroRelay_IsStream(r)) {
        CaroText value = CaroHttpHead_Find(
            head, CaroPlatform_HeaderName(CARO_HEADER_TOKEN_COUNTS));
        if (CaroPlatform_ReadPromptTokens(value, &tokens) < 0) {
            tokens = 0;
        }
        CaroPlacementQuery_SetPrompt(&r->query, tokens);
        r->prompt_tokens = r->query.prompt_tokens;
        r->held_tokens = r->query.held_tokens;
        (void)CaroPlatform_ReadSizedParts(parts, &r->sized_parts);
    }
}

static CaroRelay *
create_relay(CaroRelays *relays, CaroCall *call, const CaroRoute *route,
             const CaroClientAccount *account, CaroTime now)
{
    CaroText id = CaroHttpHead_Find(
        CaroCall_Head(call), CaroPlatform_HeaderName(CARO_HEADER_REQUEST_ID));
    CaroRelay *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return NULL;
    }
    r->relays = relays;
    r->call = call;
    r->route = *route;
    r->route.host = NULL;
    r->route.prefix = NULL;
    r->route.shares = NULL;
    r->route.n_shares = 0;
    r->account = account == NULL ? NULL : strdup(account->name);
    r->id = strndup(id.at == NULL ? "" : id.at, id.size);
    r->target = CARO_NO_HANDLE;
    r->kv_copy_at = CARO_NO_HANDLE;
    r->resume_at = CARO_NO_HANDLE;
    r->timer = event_new(relays->deps.base, -1, 0, CaroRelay_OnTimer, r);
    r->headers = evbuffer_new();
    r->body = evbuffer_new();
    r->started_at = now;
    r->forwarder = CaroEventForwarder_Create(relays->deps.latency,
                                             route->is_resumable, now);
    r->next = relays->first;
    if (relays->first != NULL) {
        relays->first->prev = r;
    }
    relays->first = r;
    relays->n_relays++;
    if (r->timer == NULL || r->headers == NULL || r->body == NULL ||
        r->forwarder == NULL || r->id == NULL ||
        (account != NULL && r->account == NULL)) {
        CaroRelay_Destroy(r);
        return NULL;
    }
    return r;
}

void
CaroRelays_Accept(CaroRelays *relays, CaroCall *call, const CaroRoute *route,
                  const CaroClientAccount *account, CaroTime now)
{
    const CaroHttpHead *head = CaroCall_Head(call);
    const char *service =
        CaroRoute_ChooseService(route, gsl_rng_uniform(relays->deps.rng));
    CaroRelay *r = create_relay(relays, call, route, account, now);
    int64_t last_id;
    if (r == NULL || service == NULL) {
        if (r != NULL) {
            CaroRelay_Destroy(r);
        }
        CaroRelay_Refuse(call, 503, CARO_RELAY_RETRY_AFTER_S);
        return;
    }
    CaroCall_SetOwner(call, r);
    CARO_COPY(r->service, service);
    if (r->id[0] == '\0') {
        CaroRelay_RespondStatus(r, 400, "request id missing", now);
        return;
    }
    CaroText last = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_LAST_EVENT_ID));
    if (CaroText_ToNumber(last, &last_id)) {
        CaroEventForwarder_SetLastId(r->forwarder, last_id);
    }
    r->attempt = (CaroAttempt){.kind = route->kind,
                               .is_resumable = route->is_resumable,
                               .attempts_max = route->attempts_max,
                               .gap = route->gap};
    r->query =
        (CaroPlacementQuery){.service = r->service,
                             .domain = relays->deps.domain,
                             .is_stream = route->kind == CARO_ROUTE_STREAM,
                             .pace = relays->deps.pace,
                             .retained = relays->deps.retained,
                             .parts = &r->sized_parts};
    choose_version(r, now);
    set_deadline(r, head, now);
    set_prompt(r, head, now);
    CaroRetryBudget_RecordRequest(relays->deps.budget, r->service, now);
    CaroRequestLimits_RecordDemand(relays->deps.limits, r->service, now);
    CaroRelay_AddCount(r, CARO_COUNT_RELAYS);
    r->priority = account != NULL && account->priority >= 0 ? account->priority
                                                            : route->priority;
    if (CaroRelay_Admit(r, now)) {
        CaroRelay_BeginAttempt(r, now);
    }
}

void
CaroRelays_OnCallerDisconnected(CaroCall *call, CaroTime now)
{
    CaroRelay *r = CaroCall_Owner(call);
    if (r == NULL) {
        return;
    }
    CaroRelay_AddCount(r, CARO_COUNT_CALLERS_DISCONNECTED);
    CaroRelay_RecordPromptCancelled(r, now);
    CaroRelay_LogEnd(r, 0, "the caller disconnected", now);
    CaroRelay_Destroy(r);
}

void
CaroRelays_OnCallerDrained(CaroCall *call, CaroTime now)
{
    CaroRelay *r = CaroCall_Owner(call);
    if (r != NULL && r->is_paused && r->channel != NULL) {
        CaroRelay_EndPause(r, now);
    }
}

void
CaroRelays_CheckOverdue(CaroRelays *relays, CaroTime now)
{
    CaroServiceRollouts *rollouts = relays->deps.rollouts;
    if (!CaroServiceRollouts_IsActive(rollouts)) {
        return;
    }
    for (CaroRelay *r = relays->first; r != NULL; r = r->next) {
        if (r->target != CARO_NO_HANDLE) {
            CaroServiceRollouts_CheckOverdue(rollouts, &r->rollout_attempt,
                                             now);
        }
    }
}

bool
CaroRelays_ConsumeChange(CaroRelays *relays)
{
    bool is_changed = relays->has_unsent_change;
    relays->has_unsent_change = false;
    return is_changed;
}

static void
end_for_shutdown(CaroRelay *r, CaroTime now)
{
    if (r->attempt.has_response_begun) {
        CaroRelay_Cut(r, "the VM is shutting down", now);
    }
    else {
        bool is_unsent =
            r->is_held || (r->is_delayed && !r->attempt.may_have_arrived);
        CaroRelay_RespondStatus(r, is_unsent ? 503 : 502,
                                "the VM is shutting down", now);
    }
}

void
CaroRelays_CutStreams(CaroRelays *relays, CaroTime now)
{
    CaroRelay *next;
    for (CaroRelay *r = relays->first; r != NULL; r = next) {
        next = r->next;
        if (r->route.kind == CARO_ROUTE_STREAM && r->route.is_resumable) {
            end_for_shutdown(r, now);
        }
    }
}

void
CaroRelays_CutAll(CaroRelays *relays, CaroTime now)
{
    CaroRelay *next;
    for (CaroRelay *r = relays->first; r != NULL; r = next) {
        next = r->next;
        end_for_shutdown(r, now);
    }
}

void
CaroRelays_EndQuarantined(CaroRelays *relays, CaroTime now)
{
    static const char reason[] = "a part of the prompt is in quarantine";
    CaroRelay *next;
    for (CaroRelay *r = relays->first; r != NULL; r = next) {
        next = r->next;
        if (r->target == CARO_NO_HANDLE || !CaroRelay_IsQuarantined(r, now)) {
            continue;
        }
        r->attempt.is_barred = true;
        CaroRelay_AddCount(r, CARO_COUNT_QUARANTINED);
        if (r->attempt.has_response_begun) {
            CaroRelay_Cut(r, reason, now);
        }
        else {
            CaroRelay_RespondStatus(r, 502, reason, now);
        }
    }
}

int
CaroRelays_Count(const CaroRelays *relays)
{
    return relays->n_relays;
}
