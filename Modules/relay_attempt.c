/*
 * Attempts at upstreams.
 *
 * An attempt ends with one of the outcomes of caro_attempt.h, which also
 * decides what follows.  A plain response is buffered until it is
 * complete, so that a request whose response breaks off can still be
 * retried; a long response is forwarded as it arrives.  Of an event stream
 * only complete events are forwarded, and another upstream resumes the
 * stream after the last of them.
 */
#include "internal/caro_relay_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_event_timeout.h"
#include "internal/caro_log.h"
#include "internal/caro_platform.h"
#include "internal/caro_relay_head.h"

#include <stdio.h>
#include <string.h>

/* A plain response longer than this is forwarded before it is complete. */
#define BUFFERED_BYTES_MAX 65536
/* Wait for the end of a response that is not forwarded anyway, so that its
   channel can be reused. */
#define FAILURE_BODY_TIMEOUT (250 * CARO_MS)
/* Responses to other requests that are skipped in an attempt. */
#define FOREIGN_RESPONSES_MAX 4
/* With more unsent bytes than this the caller counts as slow, and the
   upstream is not read. */
#define PENDING_BYTES_MAX 262144
/* Wait before a new search for an upstream, or for budget, for a stream that
   has begun. */
#define PLACEMENT_RETRY_DELAY (40 * CARO_MS)
/* Servers cut off a response that stays unread for some seconds. */
#define UNREAD_TIME_MIN (1 * CARO_SECOND)
/* Time after reading is resumed within which the end of such a connection is
   found, behind the bytes that the sockets held. */
#define UNREAD_CLOSE_TIME (1 * CARO_SECOND)
/* A gate that does not hear of the cancellation ends the request this much
   later than another attempt may begin beside it. */
#define GATE_CANCEL_TIME (200 * CARO_MS)
/* An adaptive timeout depends on other streams and engines, and may become
   shorter while a stream is silent. */
#define RECHECK_DELAY (20 * CARO_MS)
/* A timeout is put off by this for bytes that have arrived and not been
   read; the next iteration of the loop reads them. */
#define UNREAD_DELAY (1 * CARO_MS)

/* Bytes without an event may arrive without end, and put off a timeout only so
   often. */
enum { PUT_OFFS_MAX = 3 };

static const CaroChannelEvents channel_events;
static void end_attempt(CaroRelay *r, CaroOutcome outcome, const char *reason,
                        CaroTime now);
static void handle_silence(CaroRelay *r, CaroTime now);

static bool
has_adaptive_timeout(const CaroRelay *r)
{
    return CaroRelay_IsStream(r) &&
           CaroTargets_IsAdaptive(r->relays->deps.targets, r->service);
}

static bool
has_prefill(const CaroTarget *target)
{
    return target->prefill_tokens + target->peer_prefill_tokens > 0;
}

/* Events of other streams of this VM at the target since the last one of this
   stream. */
static uint32_t
events_of_others(const CaroRelay *r, const CaroTarget *target)
{
    uint32_t count =
        CaroEventPace_Count(r->relays->event_pace, target->start_hash);
    return count > r->events_at_target ? count - r->events_at_target : 0;
}

static void
add_adaptive_state(const CaroRelay *r, CaroEventTimeoutQuery *q, CaroTime now)
{
    const CaroTargets *targets = r->relays->deps.targets;
    const CaroEventPace *pace = r->relays->event_pace;
    const CaroTarget *target = CaroTargets_GetConst(targets, r->target);
    const CaroTarget *kv_holder =
        r->kv_copy_at == CARO_NO_HANDLE
            ? NULL
            : CaroTargets_GetConst(targets, r->kv_copy_at);
    q->is_adaptive = true;
    /* An event since then shows that the target was only slow. */
    q->is_target_suspected =
        r->is_target_suspected && r->suspected_at > target->last_heard_at;
    q->has_kv_copy = kv_holder != NULL && CaroTarget_IsUsable(kv_holder, now);
    q->is_kv_holder_busy = kv_holder != NULL && has_prefill(kv_holder);
    q->is_preempted = CaroEventTimeout_IsOvertaken(events_of_others(r, target),
                                                   target->streams);
    q->longest_interval =
        CaroEventPace_LongestInterval(pace, target->start_hash, now);
    q->has_prefill = has_prefill(target);
    q->prompt_tokens = r->prompt_tokens;
    q->tokens_ahead = r->tokens_ahead;
    q->us_per_token =
        CaroEventPace_PrefillTime(pace, target->start_hash, r->service);
}

static CaroEventTimeoutQuery
timeout_query(const CaroRelay *r, CaroTime now)
{
    CaroEventTimeoutQuery q = {
        .route = &r->route,
        .has_events = CaroEventForwarder_HasEvents(r->forwarder),
        .is_target_suspected = r->is_target_suspected,
        .is_from_kv_copy = r->is_from_kv_copy,
        .has_prefill_ahead = r->has_prefill_ahead,
        .is_first_run = r->attempt.runs == 0,
        .has_forwarded_events = CaroEventForwarder_LastId(r->forwarder) >= 0};
    if (has_adaptive_timeout(r)) {
        add_adaptive_state(r, &q, now);
    }
    return q;
}

/* Time at which the current attempt counts as silent, as known at "now". */
static CaroTime
silence_deadline(const CaroRelay *r, CaroTime now)
{
    if (r->failed_at > 0 &&
        (r->is_not_run || CaroAttempt_IsRetryable(&r->attempt))) {
        return r->failed_at + FAILURE_BODY_TIMEOUT;
    }
    if (!CaroAttempt_IsRetryable(&r->attempt) || r->is_paused ||
        r->target == CARO_NO_HANDLE) {
        return r->attempt.deadline;
    }
    CaroEventTimeoutQuery q = timeout_query(r, now);
    const CaroTarget *target =
        CaroTargets_GetConst(r->relays->deps.targets, r->target);
    return CaroEventTimeout_Deadline(&q, r->last_event_at,
                                     target->last_heard_at);
}

void
CaroRelay_ScheduleTimer(CaroRelay *r, CaroTime now)
{
    CaroTime at = silence_deadline(r, now);
    bool may_change = !r->is_paused && r->target != CARO_NO_HANDLE &&
                      CaroEventForwarder_HasEvents(r->forwarder) &&
                      has_adaptive_timeout(r);
    if (may_change) {
        CaroTime shortest =
            r->last_event_at + CaroEventTimeout_Shortest(&r->route);
        CaroTime check =
            shortest > now + RECHECK_DELAY ? shortest : now + RECHECK_DELAY;
        at = check < at ? check : at;
    }
    CaroRelay_SetTimer(r, at < r->attempt.deadline ? at : r->attempt.deadline,
                       now);
}

/* The outcome of an attempt whose response has no end within the bounds; its
   head may have said that the request was not run. */
static CaroOutcome
outcome_without_end(const CaroRelay *r)
{
    if (r->is_not_run) {
        return r->status == 421 ? CARO_OUTCOME_GONE : CARO_OUTCOME_NOT_RUN;
    }
    return CARO_OUTCOME_LOST;
}

/* Returns whether the caller has a part of the stream, from this VM or from
   another one. */
static bool
is_stream_begun(const CaroRelay *r)
{
    return CaroRelay_IsStream(r) &&
           (r->attempt.has_response_begun ||
            CaroEventForwarder_LastId(r->forwarder) >= 0);
}

/* The budget limits what arrives at upstreams more than once. */
static bool
has_retry_budget(const CaroRelay *r, CaroTime now)
{
    CaroRetryBudget *budget = r->relays->deps.budget;
    int vms = r->relays->vms;
    bool is_sent = r->channel != NULL && CaroChannel_IsSent(r->channel);
    if (!r->attempt.may_have_arrived && !is_sent) {
        return true;
    }
    return CaroRelay_IsStream(r) && !is_stream_begun(r)
               ? CaroRetryBudget_AllowsUnbegun(budget, r->service, vms, now)
               : CaroRetryBudget_AllowsRetry(budget, r->service, vms, now);
}

/* Asks other VMs for the retry that a stream which has begun lacks. */
static void
borrow_retry(const CaroRelay *r, CaroTime now)
{
    if (r->relays->deps.lending != NULL && is_stream_begun(r)) {
        CaroRetryLending_Request(r->relays->deps.lending, r->service, now);
    }
}

/* Puts a timeout off while bytes of the upstream wait to be read: after a
   stall of this process they would count as silence. */
static bool
put_off_timeout(CaroRelay *r, CaroTime now)
{
    if (r->channel == NULL || r->is_paused || r->put_offs == PUT_OFFS_MAX ||
        !CaroChannel_HasUnread(r->channel)) {
        return false;
    }
    r->put_offs++;
    CaroRelay_SetTimer(r, now + UNREAD_DELAY, now);
    return true;
}

void
CaroRelay_OnTimer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroRelay *r = arg;
    CaroTime now = CaroClock_Now();
    bool is_expired = now >= r->attempt.deadline;
    bool is_waiting = r->target == CARO_NO_HANDLE;
    if (r->is_awaiting_permit && !is_expired) {
        CaroRelay_SetTimer(r, r->attempt.deadline, now);
    }
    else if (r->is_delayed && !is_expired) {
        r->is_delayed = false;
        CaroRelay_BeginAttempt(r, now);
    }
    else if (r->is_held) {
        if (CaroRelay_EndHold(r, now)) {
            CaroRelay_BeginAttempt(r, now);
        }
    }
    else if (!is_expired && is_waiting) {
        if (has_retry_budget(r, now)) {
            CaroRelay_BeginAttempt(r, now);
        }
        else if (now >= r->attempt.wait_end) {
            CaroRelay_Cut(r, "no retry budget", now);
        }
        else {
            borrow_retry(r, now);
            CaroRelay_SetTimer(r, now + PLACEMENT_RETRY_DELAY, now);
        }
    }
    else if (!is_expired && now < silence_deadline(r, now)) {
        CaroRelay_ScheduleTimer(r, now);
    }
    else if (put_off_timeout(r, now)) {
        return;
    }
    else if (is_expired) {
        end_attempt(r, CARO_OUTCOME_EXPIRED, "deadline exceeded", now);
    }
    else if (r->failed_at > 0) {
        end_attempt(r, outcome_without_end(r),
                    "the body of the failure did not end", now);
    }
    else {
        handle_silence(r, now);
    }
}

/* The bytes of a response that may be kept: "most", or an equal share of the
   memory for responses while there are many requests. */
static size_t
kept_bytes_max(const CaroRelay *r, size_t most)
{
    const CaroRelays *relays = r->relays;
    size_t share = relays->deps.response_bytes_max / (size_t)relays->n_relays;
    return share < most ? share : most;
}

static void
pause_if_caller_slow(CaroRelay *r, CaroTime now)
{
    if (!r->is_paused && CaroCall_PendingBytes(r->call) >
                             kept_bytes_max(r, PENDING_BYTES_MAX)) {
        r->is_paused = true;
        r->paused_at = now;
        r->rollout_attempt.is_excused = true;
        CaroChannel_Pause(r->channel, true);
    }
}

/* Pauses that follow shortly count as one: the bytes of the sockets are read
   first, and the caller may be slow again. */
void
CaroRelay_EndPause(CaroRelay *r, CaroTime now)
{
    r->is_paused = false;
    if (now - r->paused_at >= UNREAD_TIME_MIN ||
        r->paused_at < r->unread_until) {
        r->unread_until = now + UNREAD_CLOSE_TIME;
    }
    r->last_event_at += now - r->paused_at;
    CaroChannel_Pause(r->channel, false);
    CaroRelay_ScheduleTimer(r, now);
}

/* Returns whether the upstream may have closed the connection because its
   response stayed unread. */
static bool
may_be_cut_unread(const CaroRelay *r, CaroTime now)
{
    return now < r->unread_until ||
           (r->is_paused && now - r->paused_at >= UNREAD_TIME_MIN);
}

static void
log_resume(const CaroRelay *r, CaroTime now)
{
    const CaroTargets *targets = r->relays->deps.targets;
    const CaroTarget *target = CaroTargets_GetConst(targets, r->target);
    CaroLog_Info("relay",
                 "A stream was resumed. id=" CARO_LOG_TEXT
                 " upstream=%s from_copy=%d ms=%lld "
                 "own=%d others=%d reading=%d copies=%d",
                 r->id, target->entry.id, r->is_from_kv_copy,
                 (long long)((now - r->attempt_started_at) / CARO_MS),
                 target->streams, target->peer_streams,
                 target->prefill_tokens + target->peer_prefill_tokens,
                 target->kv_copies);
}

/* Records what the arrival of an event says about the pace of its engine. */
static void
record_pace(CaroRelay *r, bool is_first, CaroTime now)
{
    CaroEventPace *pace = r->relays->event_pace;
    const CaroTarget *target =
        CaroTargets_GetConst(r->relays->deps.targets, r->target);
    if (!has_adaptive_timeout(r)) {
        return;
    }
    CaroTime interval = now - r->last_event_at;
    if (!is_first) {
        CaroEventPace_RecordInterval(pace, target->start_hash, interval, now);
        if (interval >= CaroEventTimeout_Shortest(&r->route)) {
            CaroRelay_AddCount(r, CARO_COUNT_SILENCES_ENDED);
        }
    }
    else if (!r->is_from_kv_copy && !r->has_prefill_ahead) {
        CaroEventPace_RecordPrefill(pace, target->start_hash, r->service,
                                    r->prompt_tokens,
                                    now - r->attempt_started_at, now);
    }
    r->events_at_target = CaroEventPace_Count(pace, target->start_hash);
}

static void
forward_events(CaroRelay *r, CaroText bytes, CaroTime now)
{
    bool is_first = !CaroEventForwarder_HasEvents(r->forwarder);
    bool is_resuming =
        is_first && CaroEventForwarder_FirstWait(r->forwarder) >= 0;
    int before = r->n_events;
    int n = CaroEventForwarder_Feed(r->forwarder, r->call, bytes, now);
    if (n < 0) {
        end_attempt(r, CARO_OUTCOME_LOST,
                    n == CARO_ERR_INPUT  ? "the events do not follow the last"
                    : n == CARO_ERR_FULL ? "an event is too long"
                                         : "out of memory",
                    now);
        return;
    }
    if (n > 0) {
        record_pace(r, is_first, now);
        r->last_event_at = now;
        r->put_offs = 0;
        CaroTargets_RecordHeard(r->relays->deps.targets, r->target, now);
        CaroChannelPool_RecordHeard(r->relays->deps.pool, r->channel, now);
        CaroRelay_RecordEvents(r, n, now);
        CaroServiceRollouts_OnEvents(r->relays->deps.rollouts,
                                     &r->rollout_attempt, n, now);
    }
    if (n > 0 && is_resuming) {
        log_resume(r, now);
    }
    if (n > 0) {
        CaroRelay_RecordPromptEvents(r, before, now);
    }
    if (n > 0 && is_first) {
        CaroRelay_SetPrefill(r, 0);
        CaroRelay_ScheduleTimer(
            r, now); /* Later events have a shorter timeout. */
    }
    pause_if_caller_slow(r, now);
}

static void
begin_stream(CaroRelay *r, CaroTime now)
{
    r->is_event_stream = true;
    r->last_event_at = now;
    if (!r->attempt.has_response_begun) {
        r->attempt.has_response_begun = true;
        CaroCall_BeginResponse(r->call, r->status, r->headers);
    }
}

static void
on_head(void *context, const CaroHttpHead *head)
{
    CaroRelay *r = context;
    CaroTime now = CaroClock_Now();
    CaroText id = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_REQUEST_ID));
    if (CaroRelay_RecordLeaving(r, head, now)) {
        CaroRelays_OnTargetClosed(r->relays, r->target, now);
    }
    if (id.at != NULL && !CaroText_Equals(id, r->id)) {
        r->is_skipping_response = true;
        if (++r->n_foreign_responses > FOREIGN_RESPONSES_MAX ||
            !head->is_persistent) {
            end_attempt(r, CARO_OUTCOME_LOST,
                        "the upstream answered another request", now);
        }
        return;
    }
    CaroTargets_RecordHeard(r->relays->deps.targets, r->target, now);
    CaroChannelPool_RecordHeard(r->relays->deps.pool, r->channel, now);
    if (id.at == NULL) {
        /* It may be an earlier request's, which a refusal would belie. */
        end_attempt(r, CARO_OUTCOME_LOST, "the response names no request",
                    now);
        return;
    }
    CaroRelay_RecordLoad(r, head, now);
    CaroRelay_RecordBrittle(r, head, now);
    r->status = head->status;
    r->is_close_delimited = head->is_close_delimited;
    r->is_not_run =
        CaroHttpHead_Find(head, CaroPlatform_HeaderName(CARO_HEADER_NOT_RUN))
                .at != NULL ||
        head->status == 421;
    CaroRelay_RecordLimit(r, head, now);
    if (CaroRelay_RecordUnavailable(r, head, now)) {
        CaroRelays_OnTargetClosed(r->relays, r->target, now);
    }
    CaroRelay_RecordRejection(r, head, now);
    CaroRelay_RecordRoom(r, head, now);
    evbuffer_drain(r->headers, evbuffer_get_length(r->headers));
    CaroRelayHead_CopyResponse(r->headers, head);
    bool is_success = head->status >= 200 && head->status <= 299;
    bool is_event_stream = r->route.kind == CARO_ROUTE_STREAM &&
                           CaroRelayHead_IsEventStream(head);
    /* A caller that has a part of a stream can be sent nothing but events. */
    if (r->is_not_run || head->status >= 500 ||
        CaroRelayHead_IsNotRun(head->status) ||
        (r->attempt.has_response_begun && !is_event_stream)) {
        r->failed_at = now;
        CaroRelay_ScheduleTimer(r, now);
        return;
    }
    if (!is_success) {
        return;
    }
    const char *error = CaroRelayHead_CheckSuccess(head, r->id);
    if (error == NULL && r->route.kind == CARO_ROUTE_STREAM &&
        !is_event_stream && CaroEventForwarder_LastId(r->forwarder) >= 0) {
        error = "success response without the rest of the stream";
    }
    if (error != NULL) {
        end_attempt(r, CARO_OUTCOME_LOST, error, now);
    }
    else if (is_event_stream) {
        begin_stream(r, now);
        CaroRelay_ScheduleTimer(r, now);
    }
}

/* Buffers a plain response; begins to forward it once it is too long. */
static void
buffer_body(CaroRelay *r, CaroText bytes, CaroTime now)
{
    (void)evbuffer_add(r->body, bytes.at, bytes.size);
    size_t size = evbuffer_get_length(r->body);
    if (size <= kept_bytes_max(r, BUFFERED_BYTES_MAX)) {
        return;
    }
    if (r->failed_at > 0) {
        end_attempt(r, outcome_without_end(r),
                    "the body of the failure is too long", now);
        return;
    }
    r->is_forwarding = true;
    r->attempt.has_response_begun = true;
    r->attempt.is_resumable = false; /* No event could follow a refusal. */
    CaroCall_BeginResponse(r->call, r->status, r->headers);
    CaroCall_SendBody(r->call, (const char *)evbuffer_pullup(r->body, -1),
                      size);
    evbuffer_drain(r->body, size);
    pause_if_caller_slow(r, now);
}

static void
on_body(void *context, CaroText bytes)
{
    CaroRelay *r = context;
    CaroTime now = CaroClock_Now();
    if (r->is_skipping_response) {
        r->foreign_bytes += bytes.size;
        if (r->foreign_bytes > BUFFERED_BYTES_MAX) {
            end_attempt(r, CARO_OUTCOME_LOST,
                        "the answer to another request is too long", now);
        }
        return;
    }
    if (r->is_event_stream) {
        forward_events(r, bytes, now);
    }
    else if (r->is_forwarding) {
        CaroCall_SendBody(r->call, bytes.at, bytes.size);
        pause_if_caller_slow(r, now);
    }
    else if (!r->attempt.has_response_begun) {
        buffer_body(r, bytes, now);
    }
    /* Otherwise the caller already has a part of another response, and this
       is the body of an error: it is dropped. */
}

/* Records that the target has answered an attempt and keeps the channel. */
static void
add_answered_by(CaroRelay *r)
{
    if (r->n_answered_by < ANSWERED_BY_MAX) {
        r->answered_by[r->n_answered_by] = r->target;
    }
    r->n_answered_by++;
}

/* Returns whether a kept channel to the target may have carried an attempt of
   this request.  A faulty upstream repeats responses, and one to an earlier
   attempt names the same request as that to the next. */
static bool
needs_new_channel(const CaroRelay *r)
{
    for (int i = 0; i < r->n_answered_by && i < ANSWERED_BY_MAX; i++) {
        if (r->answered_by[i] == r->target) {
            return true;
        }
    }
    return r->n_answered_by > ANSWERED_BY_MAX;
}

/* Returns the channel to the pool after a complete response.  A channel
   that delivered a response to another request is not reused, nor is that of
   an upstream that leaves. */
static void
release_channel(CaroRelay *r, CaroTime now)
{
    const CaroTarget *target =
        CaroTargets_GetConst(r->relays->deps.targets, r->target);
    if (r->n_foreign_responses == 0 &&
        target->notice.leaving == CARO_LEAVING_UNKNOWN) {
        add_answered_by(r);
        CaroChannelPool_Release(r->relays->deps.pool, r->target, r->channel,
                                now);
        r->channel = NULL;
    }
}

static void
on_end(void *context)
{
    CaroRelay *r = context;
    CaroTime now = CaroClock_Now();
    CaroTargets *targets = r->relays->deps.targets;
    if (r->is_skipping_response) {
        /* The response to this request follows on the channel. */
        struct evbuffer *empty = evbuffer_new();
        r->is_skipping_response = false;
        if (empty == NULL) {
            end_attempt(r, CARO_OUTCOME_LOST, "out of memory", now);
            return;
        }
        CaroChannel_Start(r->channel, empty, false, &channel_events, r);
        evbuffer_free(empty);
        return;
    }
    if (r->is_event_stream && r->is_close_delimited &&
        !CaroEventForwarder_HasEvents(r->forwarder)) {
        end_attempt(r, CARO_OUTCOME_LOST, "the stream ended without an event",
                    now);
        return;
    }
    if (r->is_event_stream &&
        CaroEventForwarder_HasPartialEvent(r->forwarder)) {
        r->is_cut_unread = r->is_close_delimited && may_be_cut_unread(r, now);
        end_attempt(r, CARO_OUTCOME_LOST, "the stream ended within an event",
                    now);
        return;
    }
    release_channel(r, now);
    if (r->is_not_run) {
        end_attempt(r, outcome_without_end(r),
                    "the upstream did not run the request", now);
        return;
    }
    /* A caller with a partial response can only be sent the rest of it. */
    bool lacks_rest = r->attempt.has_response_begun && !r->is_event_stream &&
                      !r->is_forwarding;
    if (r->status >= 500 || CaroRelayHead_IsNotRun(r->status) || lacks_rest) {
        end_attempt(r, CARO_OUTCOME_FAILED, "the upstream failed", now);
        return;
    }
    CaroTargets_RecordSuccess(targets, r->target);
    CaroRelay_RecordPromptFinish(r, now);
    CaroServiceRollouts_OnEnd(r->relays->deps.rollouts, &r->rollout_attempt,
                              CARO_ATTEMPT_ANSWERED, now);
    if (!CaroRelay_IsStream(r)) {
        CaroLatency_Add(r->relays->deps.latency, CARO_LATENCY_PLAIN,
                        now - r->started_at);
    }
    CaroRelay_Finish(r, "answered", now);
}

static void
on_failure(void *context, int code, const char *reason)
{
    CaroRelay *r = context;
    bool is_sent = CaroChannel_IsSent(r->channel);
    CaroTime now = CaroClock_Now();
    CaroOutcome unsent = code == CARO_ERR_NOT_FOUND ? CARO_OUTCOME_GONE
                         : code == CARO_ERR_STATE   ? CARO_OUTCOME_NO_PATH
                                                    : CARO_OUTCOME_UNSENT;
    if (is_sent && code == CARO_ERR_IO) {
        r->is_cut_unread = may_be_cut_unread(r, now);
    }
    if (code == CARO_ERR_NOT_FOUND) {
        CaroPromptLosses_RecordRefusedConnection(
            CaroPromptGuard_Losses(r->relays->deps.guard), r->target);
    }
    /* What a malformed response says is no promise: its head may belong to
       another response. */
    CaroOutcome sent =
        code == CARO_ERR_INPUT ? CARO_OUTCOME_LOST : outcome_without_end(r);
    end_attempt(r, is_sent ? sent : unsent, reason, now);
}

static const CaroChannelEvents channel_events = {.on_head = on_head,
                                                 .on_body = on_body,
                                                 .on_end = on_end,
                                                 .on_failure = on_failure};

/* The failure of the target that the outcome indicates. */
static CaroTargetFailure
failure_of(const CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    const CaroTarget *target =
        CaroTargets_GetConst(r->relays->deps.targets, r->target);
    switch (outcome) {
    case CARO_OUTCOME_GONE:
        return CARO_TARGET_GONE;
    case CARO_OUTCOME_SILENT:
        return CaroRelay_IsStream(r) &&
                       CaroEventTimeout_IsPreempted(r->last_event_at,
                                                    target->last_heard_at, now)
                   ? CARO_TARGET_NO_FAILURE
                   : CARO_TARGET_SILENT;
    case CARO_OUTCOME_LOST:
        return r->is_cut_unread ? CARO_TARGET_NO_FAILURE : CARO_TARGET_FAILING;
    case CARO_OUTCOME_UNSENT:
        return CaroTarget_IsOpen(target, now) ? CARO_TARGET_FAILING
                                              : CARO_TARGET_NO_FAILURE;
    case CARO_OUTCOME_NOT_RUN:
        /* It is no failure that a KV copy is no longer there, nor that a queue
           is full, nor that an upstream refuses what it announced to refuse.
         */
        return r->is_from_kv_copy || r->is_rejected ||
                       !CaroTarget_IsOpen(target, now)
                   ? CARO_TARGET_NO_FAILURE
                   : CARO_TARGET_FAILING;
    default:
        return CARO_TARGET_NO_FAILURE;
    }
}

/* Returns whether the attempt went over links of this VM that are known to
   fail, so that its end says nothing of the target. */
static bool
is_link_failing(const CaroRelay *r)
{
    return r->channel != NULL && !CaroChannel_IsTunneled(r->channel) &&
           !CaroChannelPool_IsDirect(r->relays->deps.pool);
}

/* Records the failure of the target; the silence of an attempt only once.
   Other streams at a silent target then have a shorter timeout. */
static void
record_failure(CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    CaroTargets *targets = r->relays->deps.targets;
    CaroTargetFailure failure = failure_of(r, outcome, now);
    if (failure == CARO_TARGET_NO_FAILURE || is_link_failing(r) ||
        (failure == CARO_TARGET_SILENT && r->is_silence_recorded)) {
        return;
    }
    CaroTargets_Avoid(targets, r->target, failure, now);
    if (CaroRelay_IsStream(r)) {
        CaroTargets_RecordFailure(targets, r->target, failure, now);
        r->relays->has_unsent_change = true;
    }
    if (failure == CARO_TARGET_SILENT) {
        r->is_silence_recorded = true;
        CaroRelays_OnTargetSuspected(r->relays, r->target, now);
    }
}

/* Prepares the next attempt: excludes the target that failed, and resumes
   from the KV copy of the attempt if there is one. */
static void
prepare_next_attempt(CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    CaroPlacementQuery *q = &r->query;
    const CaroTarget *target =
        CaroTargets_GetConst(r->relays->deps.targets, r->target);
    bool has_run =
        outcome == CARO_OUTCOME_LOST || outcome == CARO_OUTCOME_SILENT;
    if (q->n_tried == CARO_TRIED_MAX) {
        q->n_tried--; /* Targets that failed are avoided anyway. */
    }
    if (has_run || failure_of(r, outcome, now) != CARO_TARGET_NO_FAILURE ||
        outcome == CARO_OUTCOME_FAILED || r->is_rejected) {
        q->tried[q->n_tried++] = r->target;
    }
    if (has_run) {
        CARO_COPY(r->failed_domain, target->entry.domain);
        q->failed_domain = r->failed_domain;
    }
    CaroRelay_ReleaseKvCopy(r, &r->resume_at);
    if (has_run && CaroEventForwarder_HasEvents(r->forwarder) &&
        r->kv_copy_at != CARO_NO_HANDLE) {
        r->resume_at = r->kv_copy_at;
        r->kv_copy_at = CARO_NO_HANDLE;
    }
    CaroRelay_ReleaseKvCopy(r, &r->kv_copy_at);
}

void
CaroRelays_OnTargetSuspected(CaroRelays *relays, CaroHandle target,
                             CaroTime now)
{
    for (CaroRelay *r = relays->first; r != NULL; r = r->next) {
        if (r->target == target && CaroRelay_IsStream(r)) {
            bool is_first = !r->is_target_suspected;
            r->is_target_suspected = true;
            r->suspected_at = now;
            if (is_first || has_adaptive_timeout(r)) {
                CaroRelay_ScheduleTimer(r, now);
            }
        }
    }
}

/* Returns a request that was chosen for the target and not yet sent, or
   NULL. */
static CaroRelay *
find_unsent(const CaroRelays *relays, CaroHandle target)
{
    for (CaroRelay *r = relays->first; r != NULL; r = r->next) {
        if (r->target == target && r->channel != NULL &&
            !CaroChannel_IsSent(r->channel)) {
            return r;
        }
    }
    return NULL;
}

void
CaroRelays_OnTargetClosed(CaroRelays *relays, CaroHandle target, CaroTime now)
{
    const CaroTarget *t = CaroTargets_GetConst(relays->deps.targets, target);
    CaroRelay *r;
    if (t->notice.leaving != CARO_LEAVING_UNKNOWN) {
        CaroChannelPool_Drop(relays->deps.pool, target);
    }
    /* Each end of an attempt may end other requests and accept new ones. */
    while ((r = find_unsent(relays, target)) != NULL) {
        end_attempt(r, CARO_OUTCOME_UNSENT,
                    "the upstream accepts no more requests", now);
    }
}

/* Reports a failure that the version may have caused.  A request that
   failed at the new version of a rollout is retried at another version. */
static void
add_failure_sample(CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    CaroAttemptResult result = CARO_ATTEMPT_FAILED;
    if (r->is_cut_unread) {
        return;
    }
    switch (outcome) {
    case CARO_OUTCOME_SILENT:
    case CARO_OUTCOME_EXPIRED:
        result = CARO_ATTEMPT_LATE;
        break;
    case CARO_OUTCOME_LOST:
    case CARO_OUTCOME_FAILED:
        break;
    default:
        return;
    }
    CaroServiceRollouts_OnEnd(r->relays->deps.rollouts, &r->rollout_attempt,
                              result, now);
    if (r->is_canary) {
        r->query.excludes_version = true;
    }
}

static void
log_attempt(const CaroRelay *r, CaroOutcome outcome, const char *reason,
            CaroRetryLimit limit, CaroTime now)
{
    const CaroTargets *targets = r->relays->deps.targets;
    const char *kv_copy =
        r->kv_copy_at == CARO_NO_HANDLE
            ? ""
            : CaroTargets_GetConst(targets, r->kv_copy_at)->entry.id;
    char parts[CARO_PROMPT_PARTS_TEXT_SIZE] = "";
    if (outcome == CARO_OUTCOME_LOST || outcome == CARO_OUTCOME_SILENT) {
        (void)CaroPromptParts_Format(&r->prompt_parts, parts);
    }
    CaroLog_Info(
        "relay",
        "An attempt ended. id=" CARO_LOG_TEXT
        " upstream=%s outcome=%s ms=%lld "
        "silent_ms=%lld has_head=%d has_events=%d from_copy=%d "
        "copy_at=%s unread=%d events=%d parts=%s retry=%s reason=\"%s\"",
        r->id, CaroTargets_GetConst(targets, r->target)->entry.id,
        CaroOutcome_Name(outcome),
        (long long)((now - r->attempt_started_at) / CARO_MS),
        (long long)((now - r->last_event_at) / CARO_MS), r->is_event_stream,
        CaroEventForwarder_HasEvents(r->forwarder), r->is_from_kv_copy,
        kv_copy, r->is_cut_unread, r->n_events, parts,
        CaroRetryLimit_Name(limit), reason);
}

/* Returns whether the attempt may have reached its upstream. */
static bool
may_have_arrived(const CaroRelay *r, CaroOutcome outcome)
{
    bool is_unsent = r->channel != NULL && !CaroChannel_IsSent(r->channel);
    return r->target != CARO_NO_HANDLE && !is_unsent &&
           outcome != CARO_OUTCOME_UNSENT && outcome != CARO_OUTCOME_NO_PATH &&
           outcome != CARO_OUTCOME_NO_TARGET;
}

static void
end_attempt(CaroRelay *r, CaroOutcome outcome, const char *reason,
            CaroTime now)
{
    r->attempt.may_have_arrived |= may_have_arrived(r, outcome);
    if (outcome == CARO_OUTCOME_SILENT && r->channel != NULL &&
        CaroChannel_IsTunneled(r->channel)) {
        r->not_before = now + GATE_CANCEL_TIME;
    }
    bool has_budget = has_retry_budget(r, now);
    if (r->target != CARO_NO_HANDLE) {
        CaroRelay_RecordPromptEnd(r, outcome, now);
        record_failure(r, outcome, now);
        add_failure_sample(r, outcome, now);
        CaroRetryLimit limit = CaroAttempt_CheckRetry(
            &r->attempt, CaroOutcome_CountsAsRun(outcome), has_budget, now);
        log_attempt(r, outcome, reason, limit, now);
        prepare_next_attempt(r, outcome, now);
    }
    CaroRelay_ReleaseTarget(r);
    r->attempt.last_event_at = r->last_event_at;
    r->is_out_of_room |= r->is_rejected;
    r->is_rejected = false;
    if (outcome == CARO_OUTCOME_NO_TARGET && CaroRelay_HoldRejected(r, now)) {
        return;
    }
    switch (CaroAttempt_End(&r->attempt, outcome, has_budget, now)) {
    case CARO_STEP_RETRY:
        CaroRelay_AddCount(r, CARO_COUNT_RELAY_RETRIES);
        CaroRelay_BeginAttempt(r, now);
        break;
    case CARO_STEP_WAIT:
        r->query.n_tried = 0; /* A target that failed is better than none. */
        if (!has_budget) {
            borrow_retry(r, now);
        }
        CaroRelay_SetTimer(r, now + PLACEMENT_RETRY_DELAY, now);
        break;
    case CARO_STEP_FORWARD:
        if (CaroRelayHead_IsNotRun(r->status)) {
            CaroRelay_RespondStatus(r, 502, reason, now);
        }
        else {
            CaroRelay_Finish(r, reason, now);
        }
        break;
    case CARO_STEP_REFUSE:
        CaroRelay_RespondStatus(r, 503, reason, now);
        break;
    case CARO_STEP_FAIL:
        CaroRelay_RespondStatus(r, 502, reason, now);
        break;
    case CARO_STEP_EXPIRE:
        CaroRelay_RespondStatus(r, 504, reason, now);
        break;
    case CARO_STEP_ABORT:
        CaroRelay_Cut(r, reason, now);
        break;
    }
}

/* Tells whether the service has a target that was not tried, other than the
   present one, and that did not just fail or shed. */
static bool
has_other_target(const CaroRelay *r, CaroTime now)
{
    CaroPlacementQuery q = r->query;
    if (q.n_tried == CARO_TRIED_MAX) {
        q.n_tried--;
    }
    q.tried[q.n_tried++] = r->target;
    if (r->is_canary) {
        q.version = NULL;
    }
    CaroRequestLimits_MarkFull(r->relays->deps.limits, r->service, now);
    return CaroPlacement_HasUsable(r->relays->deps.targets, &q, now);
}

/* Logs why a silent stream is moved. */
static void
report_silence(const CaroRelay *r, CaroTime now)
{
    CaroEventTimeoutQuery q = timeout_query(r, now);
    CaroEventTimeoutRule rule = CaroEventTimeout_Rule(&q);
    const CaroTarget *target =
        CaroTargets_GetConst(r->relays->deps.targets, r->target);
    CaroCounters_Add(r->relays->deps.counters,
                     rule == CARO_TIMEOUT_PREEMPTED
                         ? CARO_COUNT_PREEMPTED_MOVED
                         : CARO_COUNT_SILENT_MOVED,
                     1);
    CaroLog_Info(
        "relay",
        "A silent stream is moved. id=" CARO_LOG_TEXT
        " upstream=%s rule=%s silent_ms=%lld timeout_ms=%lld heard_ms=%lld "
        "longest_ms=%lld us_per_token=%.0f ahead=%d reading=%d copy=%d "
        "copy_busy=%d suspected=%d",
        r->id, target->entry.id, CaroEventTimeoutRule_Name(rule),
        (long long)((now - r->last_event_at) / CARO_MS),
        (long long)(CaroEventTimeout_Get(&q) / CARO_MS),
        (long long)(target->last_heard_at == 0
                        ? -1
                        : (now - target->last_heard_at) / CARO_MS),
        (long long)(q.longest_interval / CARO_MS), q.us_per_token,
        q.tokens_ahead, target->prefill_tokens + target->peer_prefill_tokens,
        q.has_kv_copy, q.is_kv_holder_busy, q.is_target_suspected);
}

/* Ends a silent attempt if another can replace it.  Otherwise the upstream
   may still respond, whereas the request would be given up; the silence is
   considered again after another timeout. */
static void
handle_silence(CaroRelay *r, CaroTime now)
{
    CaroRetryLimit limit = CaroAttempt_CheckRetry(
        &r->attempt, true, has_retry_budget(r, now), now);
    if (limit == CARO_RETRY_ALLOWED && has_other_target(r, now)) {
        if (has_adaptive_timeout(r)) {
            report_silence(r, now);
        }
        end_attempt(r, CARO_OUTCOME_SILENT,
                    "the upstream sent nothing in time", now);
        return;
    }
    if (limit == CARO_RETRY_NO_BUDGET && has_other_target(r, now)) {
        borrow_retry(r, now);
    }
    record_failure(r, CARO_OUTCOME_SILENT, now);
    CaroEventTimeoutQuery q = timeout_query(r, now);
    CaroTime next = now + CaroEventTimeout_Get(&q);
    CaroRelay_SetTimer(
        r, next < r->attempt.deadline ? next : r->attempt.deadline, now);
}

/* Returns whether the permit's upstream suits the request, which may be for
   another version, or have failed there. */
static bool
is_permit_target_usable(const CaroRelay *r, CaroTime now)
{
    if (r->permit_id == 0 || r->permit_target == CARO_NO_HANDLE ||
        r->query.version != NULL ||
        !CaroTarget_IsUsable(
            CaroTargets_GetConst(r->relays->deps.targets, r->permit_target),
            now)) {
        return false;
    }
    for (int i = 0; i < r->query.n_tried; i++) {
        if (r->query.tried[i] == r->permit_target) {
            return false;
        }
    }
    return true;
}

/* Chooses the target of the permit or of the KV copy, if it is usable, else
   any. */
static CaroHandle
choose_target(CaroRelay *r, CaroTime now)
{
    CaroTargets *targets = r->relays->deps.targets;
    CaroRequestLimits *limits = r->relays->deps.limits;
    r->is_from_kv_copy = false;
    if (is_permit_target_usable(r, now) &&
        CaroRequestLimits_Take(limits, r->permit_target, r->attempt.tries > 0,
                               now)) {
        return r->permit_target;
    }
    if (r->resume_at != CARO_NO_HANDLE) {
        const CaroTarget *kv_holder =
            CaroTargets_GetConst(targets, r->resume_at);
        if (CaroTarget_IsUsable(kv_holder, now) &&
            CaroRequestLimits_Take(limits, r->resume_at, true, now)) {
            r->is_from_kv_copy = true;
            return r->resume_at;
        }
    }
    bool is_retry =
        r->attempt.tries > 0 || CaroEventForwarder_LastId(r->forwarder) >= 0;
    CaroHandle h = CARO_NO_HANDLE;
    CaroRequestLimits_MarkFull(limits, r->service, now);
    if (r->relays->deps.room != NULL) {
        h = CaroServiceRoom_Choose(r->relays->deps.room, &r->query, now);
    }
    if (h != CARO_NO_HANDLE &&
        CaroRequestLimits_Take(limits, h, is_retry, now)) {
        return h;
    }
    do { /* A target that does not admit the request is full after that. */
        h = CaroPlacement_Choose(targets, &r->query, r->relays->deps.rng, now);
    } while (h != CARO_NO_HANDLE &&
             !CaroRequestLimits_Take(limits, h, is_retry, now));
    r->is_over_limit =
        h == CARO_NO_HANDLE && CaroPlacement_HasFull(targets, &r->query, now);
    return h;
}

/* Chooses where the engine copies the stream's KV memory, from which the
   stream can be resumed after a failure. */
static void
choose_kv_copy(CaroRelay *r, CaroTime now)
{
    CaroTargets *targets = r->relays->deps.targets;
    if (r->route.kind != CARO_ROUTE_STREAM || !r->route.is_resumable) {
        return;
    }
    r->kv_copy_at = CaroPlacement_ChooseKvCopyFor(
        targets, r->target, &r->query, r->relays->deps.rng, now);
    if (r->kv_copy_at != CARO_NO_HANDLE) {
        CaroTargets_AddHeld(targets, r->kv_copy_at, r->held_tokens);
        CaroTargets_BeginKvCopy(targets, r->kv_copy_at);
    }
}

static void
send_request(CaroRelay *r, CaroTime now)
{
    const CaroTargets *targets = r->relays->deps.targets;
    const CaroTargetEntry *to =
        &CaroTargets_GetConst(targets, r->target)->entry;
    CaroRequestHead head = {
        .call = r->call,
        .target_id = to->id,
        .account = r->account,
        .time_left = r->attempt.deadline - now,
        .is_resumed = r->attempt.has_response_begun,
        .kv_copy_to =
            r->kv_copy_at == CARO_NO_HANDLE
                ? NULL
                : CaroTargets_GetConst(targets, r->kv_copy_at)->entry.address,
        .kv_copy_from = r->is_from_kv_copy ? to->address : NULL,
        .request_id = r->id,
        .last_event_id = CaroEventForwarder_LastId(r->forwarder)};
    struct evbuffer *out = evbuffer_new();
    if (out == NULL || CaroRelayHead_WriteRequest(out, &head) < 0) {
        if (out != NULL) {
            evbuffer_free(out);
        }
        end_attempt(r, CARO_OUTCOME_UNSENT, "out of memory", now);
        return;
    }
    bool is_head = CaroText_Equals(CaroCall_Head(r->call)->method, "HEAD");
    CaroChannel_Start(r->channel, out, is_head, &channel_events, r);
    evbuffer_free(out);
    CaroRelay_ScheduleTimer(r, now);
}

/* The target is chosen and does not yet count the request. */
static void
begin_rollout_attempt(CaroRelay *r, const CaroTarget *target, CaroTime now)
{
    int64_t streams = target->streams + target->peer_streams;
    r->rollout_attempt = (CaroRolloutAttempt){
        .work = {.service = r->service,
                 .route = r->route.name,
                 .prompt_tokens = r->prompt_tokens,
                 .tokens_ahead =
                     target->prefill_tokens + target->peer_prefill_tokens},
        .version = target->entry.version,
        .is_stream = CaroRelay_IsStream(r),
        .is_excused =
            (CaroRelay_IsStream(r) && streams >= target->entry.slots) ||
            now < target->cold_until,
        .has_wait_sample = r->is_from_kv_copy,
        .started_at = now};
}

static void
end_without_permit(CaroRelay *r, CaroTime now)
{
    r->is_out_of_permits = true;
    end_attempt(r, CARO_OUTCOME_NO_TARGET,
                "the upstreams are brittle and have no room", now);
}

void
CaroRelays_OnPermit(void *owner, uint64_t id, CaroHandle target,
                    CaroTime retry_after)
{
    CaroRelay *r = owner;
    CaroTime now = CaroClock_Now();
    (void)id;
    r->is_awaiting_permit = false;
    r->permit_target = target;
    r->permit_wait = retry_after;
    if (target == CARO_NO_HANDLE) {
        end_without_permit(r, now);
    }
    else {
        CaroRelay_BeginAttempt(r, now);
    }
}

void
CaroRelay_BeginAttempt(CaroRelay *r, CaroTime now)
{
    CaroRelays *relays = r->relays;
    if (now < r->not_before && now < r->attempt.deadline) {
        r->is_delayed = true;
        CaroRelay_SetTimer(r,
                           r->not_before < r->attempt.deadline
                               ? r->not_before
                               : r->attempt.deadline,
                           now);
        return;
    }
    switch (CaroRelay_AdmitPrompt(r, now)) {
    case CARO_PROMPT_ADMITTED:
    case CARO_PROMPT_PROBE:
        break;
    case CARO_PROMPT_HELD:
        return;
    case CARO_PROMPT_REFUSED:
        end_attempt(r, CARO_OUTCOME_NO_TARGET,
                    "a part of the prompt is in quarantine", now);
        return;
    }
    switch (CaroRelay_TakePermit(r, now)) {
    case CARO_PERMIT_GRANTED:
        break;
    case CARO_PERMIT_QUEUED:
        return;
    case CARO_PERMIT_DENIED:
        end_without_permit(r, now);
        return;
    }
    r->is_event_stream = false;
    r->is_not_run = false;
    r->is_rejected = false;
    r->failed_at = 0;
    r->n_foreign_responses = 0;
    r->foreign_bytes = 0;
    r->is_skipping_response = false;
    r->is_forwarding = false;
    r->is_paused = false;
    r->unread_until = 0;
    r->is_cut_unread = false;
    r->is_resume = CaroEventForwarder_LastId(r->forwarder) >= 0;
    evbuffer_drain(r->body, evbuffer_get_length(r->body));
    CaroEventForwarder_BeginAttempt(r->forwarder);
    r->target = choose_target(r, now);
    if (r->target == CARO_NO_HANDLE && r->is_canary) {
        /* The new version has no usable upstream: take any version. */
        r->query.version = NULL;
        r->target = choose_target(r, now);
    }
    if (r->target == CARO_NO_HANDLE) {
        end_attempt(r, CARO_OUTCOME_NO_TARGET,
                    r->is_over_limit ? "the upstreams' limits are used up"
                                     : "no usable upstream",
                    now);
        return;
    }
    const CaroTarget *target =
        CaroTargets_GetConst(relays->deps.targets, r->target);
    r->tokens_ahead = target->prefill_tokens + target->peer_prefill_tokens;
    r->has_prefill_ahead = r->tokens_ahead > 0;
    begin_rollout_attempt(r, target, now);
    CaroRelay_LogPrediction(r, now);
    CaroRelay_BeginPace(r);
    CaroTargets_Begin(relays->deps.targets, r->target, CaroRelay_IsStream(r));
    relays->has_unsent_change |= CaroRelay_IsStream(r);
    CaroRelay_SetPrefill(r, r->is_from_kv_copy ? 0 : r->prompt_tokens);
    r->is_target_suspected = false;
    r->is_silence_recorded = false;
    r->attempt_started_at = now;
    r->last_event_at = now;
    r->put_offs = 0;
    if (r->attempt.tries++ > 0 && r->attempt.may_have_arrived) {
        CaroRetryBudget_RecordRetry(relays->deps.budget, r->service, now);
    }
    r->channel = needs_new_channel(r)
                     ? CaroChannelPool_Open(relays->deps.pool, r->target,
                                            target->entry.address, now)
                     : CaroChannelPool_Acquire(
                           relays->deps.pool, r->target, target->entry.address,
                           !CaroAttempt_IsRetryable(&r->attempt), now);
    if (r->channel == NULL) {
        end_attempt(r, CARO_OUTCOME_NO_TARGET, "cannot open a connection",
                    now);
        return;
    }
    choose_kv_copy(r, now);
    send_request(r, now);
}
