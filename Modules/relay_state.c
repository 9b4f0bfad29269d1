/* What a request holds while it is forwarded, and how it ends. */
#include "internal/caro_relay_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"
#include "internal/caro_platform.h"

#include <stdlib.h>

/* Retry-After of requests in quarantine, which lasts for minutes. */
#define QUARANTINE_RETRY_AFTER_S 30.0
/* Callers that wait for the same upstreams return over so long a time. */
#define RETURN_SPREAD_S 1.0

bool
CaroRelay_IsStream(const CaroRelay *r)
{
    return r->route.kind == CARO_ROUTE_STREAM;
}

void
CaroRelay_SetPrefill(CaroRelay *r, int tokens)
{
    CaroTargets_AddPrefill(r->relays->deps.targets, r->target,
                           tokens - r->prefill_tokens);
    r->relays->has_unsent_change |= tokens != r->prefill_tokens;
    r->prefill_tokens = tokens;
}

void
CaroRelay_ReturnPermit(CaroRelay *r, CaroTime now)
{
    if (r->permit_id != 0) {
        uint64_t id = r->permit_id;
        r->permit_id = 0;
        r->is_awaiting_permit = false;
        CaroSlotPermits_Release(r->relays->deps.permits, id, r->is_rejected,
                                now);
    }
}

void
CaroRelay_ReleaseTarget(CaroRelay *r)
{
    CaroTargets *targets = r->relays->deps.targets;
    CaroRelay_ReturnPermit(r, CaroClock_Now());
    CaroChannel_Destroy(r->channel);
    r->channel = NULL;
    if (r->target != CARO_NO_HANDLE) {
        CaroRelay_SetPrefill(r, 0);
        CaroRelay_EndPace(r, r->last_event_at);
        r->relays->has_unsent_change |= CaroRelay_IsStream(r);
        CaroTargets_End(targets, r->target, CaroRelay_IsStream(r));
        r->target = CARO_NO_HANDLE;
    }
}

void
CaroRelay_ReleaseKvCopy(CaroRelay *r, CaroHandle *kv_copy)
{
    CaroTargets *targets = r->relays->deps.targets;
    if (*kv_copy != CARO_NO_HANDLE) {
        CaroTargets_AddHeld(targets, *kv_copy, -r->held_tokens);
        CaroTargets_EndKvCopy(targets, *kv_copy);
        *kv_copy = CARO_NO_HANDLE;
    }
}

CaroRoomRequest
CaroRelay_RoomRequest(const CaroRelay *r)
{
    struct evbuffer *body = CaroCall_Body(r->call);
    return (CaroRoomRequest){.service = r->service,
                             .account = r->account,
                             .priority = r->priority,
                             .objective = r->route.objective,
                             .caller_time = r->caller_time,
                             .accepted_at = r->started_at,
                             .deadline = r->attempt.deadline,
                             .bytes = r->is_held ? r->held_bytes
                                      : body == NULL
                                          ? 0
                                          : evbuffer_get_length(body)};
}

void
CaroRelay_CancelHold(CaroRelay *r)
{
    if (r->is_held) {
        CaroRoomRequest q = CaroRelay_RoomRequest(r);
        r->is_held = false;
        CaroServiceRoom_CancelHold(r->relays->deps.room, &q);
    }
}

void
CaroRelay_Destroy(CaroRelay *r)
{
    CaroRelay_CancelHold(r);
    CaroRelay_ReleaseTarget(r);
    CaroRelay_ReleaseKvCopy(r, &r->kv_copy_at);
    CaroRelay_ReleaseKvCopy(r, &r->resume_at);
    if (r->prev != NULL) {
        r->prev->next = r->next;
    }
    else {
        r->relays->first = r->next;
    }
    if (r->next != NULL) {
        r->next->prev = r->prev;
    }
    r->relays->n_relays--;
    if (r->timer != NULL) {
        event_free(r->timer);
    }
    if (r->headers != NULL) {
        evbuffer_free(r->headers);
    }
    if (r->body != NULL) {
        evbuffer_free(r->body);
    }
    CaroEventForwarder_Destroy(r->forwarder);
    free(r->account);
    free(r->id);
    free(r);
}

void
CaroRelay_AddCount(CaroRelay *r, CaroCounter id)
{
    CaroCounters_Add(r->relays->deps.counters, id, 1);
}

void
CaroRelay_LogEnd(const CaroRelay *r, int status, const char *reason,
                 CaroTime now)
{
    CaroTime first = CaroEventForwarder_FirstWait(r->forwarder);
    CaroTime longest_gap = CaroEventForwarder_LongestGap(r->forwarder);
    CaroLog_Info("relay",
                 "A request ended. id=" CARO_LOG_TEXT
                 " route=%s account=" CARO_LOG_TEXT " status=%d "
                 "ms=%lld tries=%d runs=%lld last_event=%lld first_ms=%lld "
                 "pause_ms=%lld reason=\"%s\"",
                 r->id, r->route.name, r->account == NULL ? "" : r->account,
                 status, (long long)((now - r->started_at) / CARO_MS),
                 r->attempt.tries, (long long)r->attempt.runs,
                 (long long)CaroEventForwarder_LastId(r->forwarder),
                 (long long)(first < 0 ? -1 : first / CARO_MS),
                 (long long)(longest_gap / CARO_MS), reason);
}

void
CaroRelay_Refuse(CaroCall *call, int status, double retry_after_s)
{
    struct evbuffer *headers = evbuffer_new();
    if (headers != NULL && retry_after_s > 0.0) {
        evbuffer_add_printf(headers, "%s: %.2f\r\n",
                            CaroPlatform_HeaderName(CARO_HEADER_RETRY_AFTER),
                            retry_after_s);
    }
    CaroCall_Respond(call, status, headers, NULL);
    if (headers != NULL) {
        evbuffer_free(headers);
    }
}

/* Time after which the caller may come back.  When the upstreams said from
   when on they want requests again, callers return spread over some time
   behind that. */
static double
retry_after_s(const CaroRelay *r, CaroTime now)
{
    const CaroRelayDeps *deps = &r->relays->deps;
    if (r->attempt.is_barred) {
        return QUARANTINE_RETRY_AFTER_S;
    }
    CaroTime at = CaroPlacement_AvailableAt(deps->targets, &r->query, now);
    return at == 0 ? CARO_RELAY_RETRY_AFTER_S
                   : (double)(at - now) / (double)CARO_SECOND +
                         RETURN_SPREAD_S * gsl_rng_uniform(deps->rng);
}

CaroTime
CaroRelay_RefuseForRoom(CaroRelay *r, CaroTime now)
{
    CaroRoomState s;
    if (r->room_wait == 0) {
        r->room_wait =
            CaroServiceRoom_RetryAfter(r->relays->deps.room, r->service);
    }
    CaroRelay_AddCount(r, CARO_COUNT_ROOM_REFUSED);
    if (!CaroServiceRoom_GetState(r->relays->deps.room, r->service, &s, now)) {
        return r->room_wait;
    }
    CaroLog_Info(
        "room",
        "A request was refused for lack of room. id=" CARO_LOG_TEXT
        " service=%s priority=%lld tries=%d ms=%lld wait_ms=%lld "
        "observed_age_ms=%lld capacity_per_s=%.1f "
        "requests_per_s=%.1f/%.1f/%.1f/%.1f waited_per_s=%.1f "
        "account_per_s=%.2f/%.2f/%.2f/%.2f rejections_per_s=%.1f reports=%d "
        "report_age_ms=%lld held=%d retry_ms=%lld",
        r->id, r->service, (long long)r->priority, r->attempt.tries,
        (long long)((now - r->started_at) / CARO_MS),
        (long long)(s.wait / CARO_MS), (long long)(s.observed_age / CARO_MS),
        s.capacity, s.requests[0], s.requests[1], s.requests[2], s.requests[3],
        s.waited, s.levels[0], s.levels[1], s.levels[2], s.levels[3],
        s.rejections, s.reports, (long long)(s.report_age / CARO_MS), s.held,
        (long long)(r->room_wait / CARO_MS));
    return r->room_wait;
}

void
CaroRelay_RespondStatus(CaroRelay *r, int status, const char *reason,
                        CaroTime now)
{
    CaroCall *call = r->call;
    double wait_s = status == 503 ? retry_after_s(r, now) : 0.0;
    if (r->is_out_of_room && status == 503) {
        wait_s = (double)CaroRelay_RefuseForRoom(r, now) / (double)CARO_SECOND;
    }
    else if (r->is_out_of_permits && status == 503) {
        wait_s = (double)r->permit_wait / (double)CARO_SECOND;
    }
    else if (r->is_over_limit && status == 503) {
        CaroTime delay = CaroRequestLimits_Refuse(r->relays->deps.limits,
                                                  r->service, r->id, now);
        wait_s = (double)delay / (double)CARO_SECOND;
        CaroRelay_AddCount(r, CARO_COUNT_LIMITED);
    }
    CaroRelay_AddCount(r, status == 503 ? CARO_COUNT_REFUSED
                                        : CARO_COUNT_RELAYS_FAILED);
    CaroRelay_LogEnd(r, status, reason, now);
    CaroRelay_Destroy(r);
    CaroRelay_Refuse(call, status, wait_s);
}

void
CaroRelay_SetTimer(CaroRelay *r, CaroTime at, CaroTime now)
{
    CaroTime wait = at > now ? at - now : 0;
    struct timeval t = {.tv_sec = wait / CARO_SECOND,
                        .tv_usec = wait % CARO_SECOND};
    (void)event_add(r->timer, &t);
}

void
CaroRelay_Cut(CaroRelay *r, const char *reason, CaroTime now)
{
    CaroCall *call = r->call;
    CaroRelay_AddCount(r, CARO_COUNT_RELAYS_CUT);
    CaroRelay_LogEnd(r, 0, reason, now);
    CaroRelay_Destroy(r);
    CaroCall_AbortResponse(call);
}

/* Completes the caller's response with that of the upstream. */
void
CaroRelay_Finish(CaroRelay *r, const char *reason, CaroTime now)
{
    CaroCall *call = r->call;
    bool has_response_begun = r->attempt.has_response_begun;
    struct evbuffer *headers = r->headers;
    struct evbuffer *body = r->body;
    int status = r->status;
    r->headers = NULL;
    r->body = NULL;
    CaroRelay_AddCount(r, CARO_COUNT_RELAYS_DONE);
    CaroRelay_LogEnd(r, status, reason, now);
    CaroRelay_Destroy(r);
    if (has_response_begun) {
        CaroCall_EndResponse(call);
    }
    else {
        CaroCall_Respond(call, status, headers, body);
    }
    evbuffer_free(headers);
    evbuffer_free(body);
}
