/*
 * Forwards callers' requests to upstreams.
 *
 * An attempt ends with one of the outcomes of caro_attempt.h, which also
 * decides what follows.  A plain response is buffered until it is
 * complete, so that a request whose response breaks off can still be
 * retried; a long response is forwarded as it arrives.  Of an event stream
 * only complete events are forwarded, and another upstream resumes the
 * stream after the last of them.
 */
#include "internal/caro_relay.h"

#include "internal/caro_attempt.h"
#include "internal/caro_clock.h"
#include "internal/caro_event_forwarder.h"
#include "internal/caro_event_timeout.h"
#include "internal/caro_log.h"
#include "internal/caro_platform.h"
#include "internal/caro_relay_head.h"

#include <stdio.h>
#include <stdlib.h>
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
/* A timeout is put off by this for bytes that have arrived and not been
   read; the next iteration of the loop reads them. */
#define UNREAD_DELAY (1 * CARO_MS)
/* Time by which a response is sent before the caller's own timeout. */
#define RESPONSE_MARGIN (25 * CARO_MS)
/* Retry-After of requests in quarantine, which lasts for minutes. */
#define QUARANTINE_RETRY_AFTER_S 30.0
/* Retry-After of requests for which there is no upstream; an engine that
   crashed is back in about a second. */
#define RETRY_AFTER_S 0.3

typedef struct CaroRelay CaroRelay;

/* Bytes without an event may arrive without end, and put off a timeout only so
   often. */
enum { PUT_OFFS_MAX = 3 };

/* Prompts are shorter; with the bound, sums over requests are in range. */
enum { PROMPT_TOKENS_MAX = 1 << 20 };

struct CaroRelay {
    CaroRelays *relays;
    CaroRelay *next;
    CaroRelay *prev;
    CaroCall *call;
    CaroRoute route;
    char service[CARO_NAME_SIZE];
    char account[CARO_NAME_SIZE];       /* Empty on a public route. */
    char id[CARO_KEY_SIZE];             /* Request id that the caller sent. */
    char version[CARO_NAME_SIZE];       /* Storage of query.version. */
    char failed_domain[CARO_NAME_SIZE]; /* Storage of query.failed_domain. */
    CaroTime started_at;
    CaroAttempt attempt;
    CaroPlacementQuery query;
    struct event *timer;

    /* The current attempt. */
    CaroHandle target; /* CARO_NO_HANDLE between attempts. */
    CaroChannel *channel;
    CaroTime attempt_started_at;
    CaroTime last_event_at; /* Initially the start of the attempt. */
    CaroTime failed_at;     /* Time of the head of a failure; 0 for none. */
    int put_offs;           /* Times that a timeout was put off since then. */
    bool is_paused; /* Reading is stopped because the caller is slow. */
    bool is_skipping_response; /* The response is another request's. */
    int n_foreign_responses;   /* The channel delivered them. */
    size_t foreign_bytes;      /* Bytes of their bodies. */
    bool is_not_run;           /* The response says the request was not run. */
    bool is_event_stream;      /* Events of the response are forwarded. */
    bool is_forwarding;        /* A long plain response is being forwarded. */
    bool is_close_delimited;   /* The response ends with the connection. */
    bool is_canary;           /* Restricted to the new version of a rollout. */
    bool is_over_limit;       /* Only full targets are left. */
    bool is_target_suspected; /* Another stream found the target silent. */
    bool is_silence_recorded; /* The target was recorded as silent. */
    bool has_prefill_ahead;   /* Other prompts were queued at the target. */
    int prefill_tokens; /* Pending prefill at the target; 0 after an event. */
    int prompt_tokens;  /* Prompt of the request; 0 for plain requests. */
    CaroPromptParts prompt_parts; /* None for plain requests. */
    bool is_from_kv_copy;         /* The attempt resumes from a KV copy. */
    CaroRolloutAttempt rollout_attempt;

    CaroHandle kv_copy_at; /* Target that gets a KV copy of the attempt. */
    CaroHandle resume_at;  /* Target with the KV copy for the next attempt. */
    int status;            /* Status of the upstream's response. */
    struct evbuffer *headers; /* Response headers for the caller. */
    struct evbuffer *body;    /* Buffered part of a plain response. */
    CaroEventForwarder *forwarder;
};

struct CaroRelays {
    CaroRelayDeps deps;
    CaroRelay *first;
    int n_relays;
    int vms;                /* See CaroRelays_SetVms. */
    bool has_unsent_change; /* See CaroRelays_ConsumeChange. */
};

static const CaroChannelEvents channel_events;
static void begin_attempt(CaroRelay *r, CaroTime now);
static void end_attempt(CaroRelay *r, CaroOutcome outcome, const char *reason,
                        CaroTime now);
static void handle_silence(CaroRelay *r, CaroTime now);

CaroRelays *
CaroRelays_Create(const CaroRelayDeps *deps)
{
    CaroRelays *relays = calloc(1, sizeof(*relays));
    if (relays != NULL) {
        relays->deps = *deps;
        relays->vms = 1;
    }
    return relays;
}

static bool
is_stream(const CaroRelay *r)
{
    return r->route.kind == CARO_ROUTE_STREAM;
}

/* Sets the prompt tokens that count as pending prefill at the target. */
static void
set_prefill(CaroRelay *r, int tokens)
{
    CaroTargets_AddPrefill(r->relays->deps.targets, r->target,
                           tokens - r->prefill_tokens);
    r->relays->has_unsent_change |= tokens != r->prefill_tokens;
    r->prefill_tokens = tokens;
}

/* Ends the attempt's use of its target.  A channel that is still open is
   closed, which makes the upstream stop the request. */
static void
release_target(CaroRelay *r)
{
    CaroTargets *targets = r->relays->deps.targets;
    CaroChannel_Destroy(r->channel);
    r->channel = NULL;
    if (r->target != CARO_NO_HANDLE) {
        set_prefill(r, 0);
        r->relays->has_unsent_change |= is_stream(r);
        CaroTargets_End(targets, r->target, is_stream(r));
        r->target = CARO_NO_HANDLE;
    }
}

static void
release_kv_copy(CaroRelay *r, CaroHandle *kv_copy)
{
    CaroTargets *targets = r->relays->deps.targets;
    if (*kv_copy != CARO_NO_HANDLE) {
        CaroTargets_EndKvCopy(targets, *kv_copy);
        *kv_copy = CARO_NO_HANDLE;
    }
}

static void
destroy_relay(CaroRelay *r)
{
    release_target(r);
    release_kv_copy(r, &r->kv_copy_at);
    release_kv_copy(r, &r->resume_at);
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
    free(r);
}

void
CaroRelays_Destroy(CaroRelays *relays)
{
    if (relays == NULL) {
        return;
    }
    while (relays->first != NULL) {
        destroy_relay(relays->first);
    }
    free(relays);
}

void
CaroRelays_SetVms(CaroRelays *relays, int vms)
{
    relays->vms = vms;
}

static void
add_count(CaroRelay *r, CaroCounter id)
{
    CaroCounters_Add(r->relays->deps.counters, id, 1);
}

/* Logs how the request ended, one line for each request. */
static void
log_request(const CaroRelay *r, int status, const char *reason, CaroTime now)
{
    CaroTime first = CaroEventForwarder_FirstWait(r->forwarder);
    CaroTime longest_gap = CaroEventForwarder_LongestGap(r->forwarder);
    CaroLog_Info("relay",
                 "A request ended. id=%s route=%s account=%s status=%d "
                 "ms=%lld tries=%d runs=%lld last_event=%lld first_ms=%lld "
                 "pause_ms=%lld reason=\"%s\"",
                 r->id, r->route.name, r->account, status,
                 (long long)((now - r->started_at) / CARO_MS),
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

static void
respond_with_status(CaroRelay *r, int status, const char *reason, CaroTime now)
{
    CaroCall *call = r->call;
    double retry_after_s =
        r->attempt.is_barred ? QUARANTINE_RETRY_AFTER_S : RETRY_AFTER_S;
    if (r->is_over_limit && status == 503) {
        CaroTime delay = CaroRequestLimits_Refuse(r->relays->deps.limits,
                                                  r->service, r->id, now);
        retry_after_s = (double)delay / (double)CARO_SECOND;
        add_count(r, CARO_COUNT_LIMITED);
    }
    add_count(r,
              status == 503 ? CARO_COUNT_REFUSED : CARO_COUNT_RELAYS_FAILED);
    log_request(r, status, reason, now);
    destroy_relay(r);
    CaroRelay_Refuse(call, status, status == 503 ? retry_after_s : 0.0);
}

static void
set_timer(CaroRelay *r, CaroTime at, CaroTime now)
{
    CaroTime wait = at > now ? at - now : 0;
    struct timeval t = {.tv_sec = wait / CARO_SECOND,
                        .tv_usec = wait % CARO_SECOND};
    (void)event_add(r->timer, &t);
}

static CaroEventTimeoutQuery
timeout_query(const CaroRelay *r)
{
    return (CaroEventTimeoutQuery){
        .route = &r->route,
        .has_events = CaroEventForwarder_HasEvents(r->forwarder),
        .is_target_suspected = r->is_target_suspected,
        .is_from_kv_copy = r->is_from_kv_copy,
        .has_prefill_ahead = r->has_prefill_ahead,
        .is_first_run = r->attempt.runs == 0,
        .has_forwarded_events = CaroEventForwarder_LastId(r->forwarder) >= 0};
}

/* Time at which the current attempt counts as silent. */
static CaroTime
silence_deadline(const CaroRelay *r)
{
    if (r->failed_at > 0 &&
        (r->is_not_run || CaroAttempt_IsRetryable(&r->attempt))) {
        return r->failed_at + FAILURE_BODY_TIMEOUT;
    }
    if (!CaroAttempt_IsRetryable(&r->attempt) || r->is_paused ||
        r->target == CARO_NO_HANDLE) {
        return r->attempt.deadline;
    }
    CaroEventTimeoutQuery q = timeout_query(r);
    const CaroTarget *target =
        CaroTargets_GetConst(r->relays->deps.targets, r->target);
    return CaroEventTimeout_Deadline(&q, r->last_event_at,
                                     target->last_heard_at);
}

static void
schedule_timer(CaroRelay *r, CaroTime now)
{
    CaroTime at = silence_deadline(r);
    set_timer(r, at < r->attempt.deadline ? at : r->attempt.deadline, now);
}

/* The outcome of an attempt whose response has no end; its head may have said
   that the request was not run. */
static CaroOutcome
outcome_without_end(const CaroRelay *r)
{
    if (r->is_not_run) {
        return r->status == 421 ? CARO_OUTCOME_GONE : CARO_OUTCOME_NOT_RUN;
    }
    return CARO_OUTCOME_LOST;
}

static bool
has_retry_budget(const CaroRelay *r, CaroTime now)
{
    return CaroRetryBudget_AllowsRetry(r->relays->deps.budget, r->service,
                                       r->relays->vms, now);
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
    set_timer(r, now + UNREAD_DELAY, now);
    return true;
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroRelay *r = arg;
    CaroTime now = CaroClock_Now();
    bool is_expired = now >= r->attempt.deadline;
    bool is_waiting = r->target == CARO_NO_HANDLE;
    if (!is_expired && is_waiting) {
        if (has_retry_budget(r, now)) {
            begin_attempt(r, now);
        }
        else {
            set_timer(r, now + PLACEMENT_RETRY_DELAY, now);
        }
    }
    else if (!is_expired && now < silence_deadline(r)) {
        schedule_timer(r, now);
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

static void
pause_if_caller_slow(CaroRelay *r)
{
    if (!r->is_paused && CaroCall_PendingBytes(r->call) > PENDING_BYTES_MAX) {
        r->is_paused = true;
        r->rollout_attempt.is_excused = true;
        CaroChannel_Pause(r->channel, true);
    }
}

static void
log_resume(const CaroRelay *r, CaroTime now)
{
    const CaroTargets *targets = r->relays->deps.targets;
    const CaroTarget *target = CaroTargets_GetConst(targets, r->target);
    CaroLog_Info(
        "relay",
        "A stream was resumed. id=%s upstream=%s from_copy=%d ms=%lld "
        "own=%d others=%d reading=%d copies=%d",
        r->id, target->entry.id, r->is_from_kv_copy,
        (long long)((now - r->attempt_started_at) / CARO_MS), target->streams,
        target->peer_streams,
        target->prefill_tokens + target->peer_prefill_tokens,
        target->kv_copies);
}

static void
forward_events(CaroRelay *r, CaroText bytes, CaroTime now)
{
    bool is_first = !CaroEventForwarder_HasEvents(r->forwarder);
    bool is_resuming =
        is_first && CaroEventForwarder_FirstWait(r->forwarder) >= 0;
    int n = CaroEventForwarder_Feed(r->forwarder, r->call, bytes, now);
    if (n < 0) {
        end_attempt(r, CARO_OUTCOME_LOST,
                    n == CARO_ERR_INPUT  ? "events out of order"
                    : n == CARO_ERR_FULL ? "an event is too long"
                                         : "out of memory",
                    now);
        return;
    }
    if (n > 0) {
        r->last_event_at = now;
        r->put_offs = 0;
        CaroTargets_RecordHeard(r->relays->deps.targets, r->target, now);
        CaroServiceRollouts_OnEvents(r->relays->deps.rollouts,
                                     &r->rollout_attempt, n, now);
    }
    if (n > 0 && is_resuming) {
        log_resume(r, now);
    }
    if (n > 0 && is_first) {
        CaroPromptGuard_RecordBegin(r->relays->deps.guard, &r->prompt_parts,
                                    now);
        set_prefill(r, 0);
        schedule_timer(r, now); /* Later events have a shorter timeout. */
    }
    pause_if_caller_slow(r);
}

static void
record_load(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    CaroTargetLoad load;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TARGET_LOAD));
    if (value.at != NULL && CaroPlatform_ReadLoad(value, &load) == 0) {
        CaroTargets_RecordLoad(r->relays->deps.targets, r->target,
                               (int)load.running, (int)load.waiting, now);
    }
}

/* A response without a limit ends one, unless it is a refusal, which need not
   come from the upstream's application. */
static void
record_limit(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    double limit = -1.0;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TARGET_LIMIT));
    bool is_named =
        value.at != NULL && CaroPlatform_ReadLimit(value, &limit) == 0;
    if (value.at != NULL && !is_named) {
        CaroLog_Warn("relay",
                     "A limit of an upstream is malformed. id=%s upstream=%s",
                     r->id,
                     CaroTargets_GetConst(r->relays->deps.targets, r->target)
                         ->entry.id);
    }
    if (is_named || (value.at == NULL && !r->is_not_run)) {
        CaroRequestLimits_RecordResponse(r->relays->deps.limits, r->target,
                                         limit, now);
    }
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
    record_load(r, head, now);
    r->status = head->status;
    r->is_close_delimited = head->is_close_delimited;
    r->is_not_run =
        CaroHttpHead_Find(head, CaroPlatform_HeaderName(CARO_HEADER_NOT_RUN))
                .at != NULL ||
        head->status == 421;
    record_limit(r, head, now);
    evbuffer_drain(r->headers, evbuffer_get_length(r->headers));
    CaroRelayHead_CopyResponse(r->headers, head);
    bool is_success = head->status >= 200 && head->status <= 299;
    if (r->is_not_run || head->status >= 500 ||
        CaroRelayHead_IsNotRun(head->status) ||
        (r->attempt.has_response_begun && !is_success)) {
        r->failed_at = now;
        schedule_timer(r, now);
        return;
    }
    if (!is_success) {
        return;
    }
    const char *error = CaroRelayHead_CheckSuccess(head, r->id);
    if (error != NULL) {
        end_attempt(r, CARO_OUTCOME_LOST, error, now);
    }
    else if (r->route.kind == CARO_ROUTE_STREAM) {
        begin_stream(r, now);
        schedule_timer(r, now);
    }
}

/* Buffers a plain response; begins to forward it once it is too long. */
static void
buffer_body(CaroRelay *r, CaroText bytes)
{
    (void)evbuffer_add(r->body, bytes.at, bytes.size);
    size_t size = evbuffer_get_length(r->body);
    if (size <= BUFFERED_BYTES_MAX) {
        return;
    }
    if (r->failed_at > 0) {
        end_attempt(r, outcome_without_end(r),
                    "the body of the failure is too long", CaroClock_Now());
        return;
    }
    r->is_forwarding = true;
    r->attempt.has_response_begun = true;
    r->attempt.is_resumable = false; /* No event could follow a refusal. */
    CaroCall_BeginResponse(r->call, r->status, r->headers);
    CaroCall_SendBody(r->call, (const char *)evbuffer_pullup(r->body, -1),
                      size);
    evbuffer_drain(r->body, size);
    pause_if_caller_slow(r);
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
        pause_if_caller_slow(r);
    }
    else if (!r->attempt.has_response_begun) {
        buffer_body(r, bytes);
    }
    /* Otherwise the caller already has a part of another response, and this
       is the body of an error: it is dropped. */
}

/* Returns the channel to the pool after a complete response.  A channel
   that delivered a response to another request is not reused. */
static void
release_channel(CaroRelay *r, CaroTime now)
{
    if (r->n_foreign_responses == 0) {
        CaroChannelPool_Release(r->relays->deps.pool, r->target, r->channel,
                                now);
        r->channel = NULL;
    }
}

/* Completes the caller's response with that of the upstream. */
static void
finish_relay(CaroRelay *r, const char *reason, CaroTime now)
{
    CaroCall *call = r->call;
    bool has_response_begun = r->attempt.has_response_begun;
    struct evbuffer *headers = r->headers;
    struct evbuffer *body = r->body;
    int status = r->status;
    r->headers = NULL;
    r->body = NULL;
    add_count(r, CARO_COUNT_RELAYS_DONE);
    log_request(r, status, reason, now);
    destroy_relay(r);
    if (has_response_begun) {
        CaroCall_EndResponse(call);
    }
    else {
        CaroCall_Respond(call, status, headers, body);
    }
    evbuffer_free(headers);
    evbuffer_free(body);
}

/* Tells the guard of a response that was closed before its first event. */
static void
record_loss_before_events(CaroRelay *r, CaroTime now)
{
    if (r->is_event_stream && !CaroEventForwarder_HasEvents(r->forwarder)) {
        CaroPromptGuard_RecordLoss(r->relays->deps.guard, r->target, r->id,
                                   &r->prompt_parts, now);
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
        !CaroEventForwarder_HasEvents(r->forwarder) &&
        CaroEventForwarder_LastId(r->forwarder) < 0) {
        record_loss_before_events(r, now);
        end_attempt(r, CARO_OUTCOME_LOST, "the stream ended without an event",
                    now);
        return;
    }
    if (r->is_event_stream &&
        CaroEventForwarder_HasPartialEvent(r->forwarder)) {
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
    CaroServiceRollouts_OnEnd(r->relays->deps.rollouts, &r->rollout_attempt,
                              CARO_ATTEMPT_ANSWERED, now);
    if (!is_stream(r)) {
        CaroLatency_Add(r->relays->deps.latency, CARO_LATENCY_PLAIN,
                        now - r->started_at);
    }
    finish_relay(r, "answered", now);
}

static void
on_failure(void *context, int code, const char *reason)
{
    CaroRelay *r = context;
    bool is_sent = CaroChannel_IsSent(r->channel);
    CaroTime now = CaroClock_Now();
    CaroOutcome unsent =
        code == CARO_ERR_NOT_FOUND ? CARO_OUTCOME_GONE : CARO_OUTCOME_UNSENT;
    if (is_sent && code == CARO_ERR_IO) {
        record_loss_before_events(r, now);
    }
    end_attempt(r, is_sent ? outcome_without_end(r) : unsent, reason, now);
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
        return is_stream(r) &&
                       CaroEventTimeout_IsPreempted(r->last_event_at,
                                                    target->last_heard_at, now)
                   ? CARO_TARGET_NO_FAILURE
                   : CARO_TARGET_SILENT;
    case CARO_OUTCOME_UNSENT:
    case CARO_OUTCOME_LOST:
        return CARO_TARGET_FAILING;
    case CARO_OUTCOME_NOT_RUN:
        /* A KV copy that is no longer there is not a failure. */
        return r->is_from_kv_copy ? CARO_TARGET_NO_FAILURE
                                  : CARO_TARGET_FAILING;
    default:
        return CARO_TARGET_NO_FAILURE;
    }
}

/* Records the failure of the target; the silence of an attempt only once.
   Other streams at a silent target then have a shorter timeout. */
static void
record_failure(CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    CaroTargets *targets = r->relays->deps.targets;
    CaroTargetFailure failure = failure_of(r, outcome, now);
    if (failure == CARO_TARGET_NO_FAILURE ||
        (failure == CARO_TARGET_SILENT && r->is_silence_recorded)) {
        return;
    }
    CaroTargets_Avoid(targets, r->target, failure, now);
    if (is_stream(r)) {
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
        outcome == CARO_OUTCOME_FAILED) {
        q->tried[q->n_tried++] = r->target;
    }
    if (has_run) {
        CARO_COPY(r->failed_domain, target->entry.domain);
        q->failed_domain = r->failed_domain;
    }
    release_kv_copy(r, &r->resume_at);
    if (has_run && CaroEventForwarder_HasEvents(r->forwarder) &&
        r->kv_copy_at != CARO_NO_HANDLE) {
        r->resume_at = r->kv_copy_at;
        r->kv_copy_at = CARO_NO_HANDLE;
    }
    release_kv_copy(r, &r->kv_copy_at);
}

static void
cut_relay(CaroRelay *r, const char *reason, CaroTime now)
{
    CaroCall *call = r->call;
    add_count(r, CARO_COUNT_RELAYS_CUT);
    log_request(r, 0, reason, now);
    destroy_relay(r);
    CaroCall_AbortResponse(call);
}

/* Reports a failure that the version may have caused.  A request that
   failed at the new version of a rollout is retried at another version. */
static void
add_failure_sample(CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    CaroAttemptResult result = CARO_ATTEMPT_FAILED;
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
    if (outcome == CARO_OUTCOME_LOST &&
        !CaroEventForwarder_HasEvents(r->forwarder)) {
        (void)CaroPromptParts_Format(&r->prompt_parts, parts);
    }
    CaroLog_Info(
        "relay",
        "An attempt ended. id=%s upstream=%s outcome=%s ms=%lld "
        "silent_ms=%lld has_head=%d has_events=%d from_copy=%d "
        "copy_at=%s parts=%s retry=%s reason=\"%s\"",
        r->id, CaroTargets_GetConst(targets, r->target)->entry.id,
        CaroOutcome_Name(outcome),
        (long long)((now - r->attempt_started_at) / CARO_MS),
        (long long)((now - r->last_event_at) / CARO_MS), r->is_event_stream,
        CaroEventForwarder_HasEvents(r->forwarder), r->is_from_kv_copy,
        kv_copy, parts, CaroRetryLimit_Name(limit), reason);
}

static void
end_attempt(CaroRelay *r, CaroOutcome outcome, const char *reason,
            CaroTime now)
{
    bool has_budget = has_retry_budget(r, now);
    if (r->target != CARO_NO_HANDLE) {
        record_failure(r, outcome, now);
        add_failure_sample(r, outcome, now);
        CaroRetryLimit limit = CaroAttempt_CheckRetry(
            &r->attempt, CaroOutcome_CountsAsRun(outcome), has_budget, now);
        log_attempt(r, outcome, reason, limit, now);
        prepare_next_attempt(r, outcome, now);
    }
    release_target(r);
    switch (CaroAttempt_End(&r->attempt, outcome, has_budget, now)) {
    case CARO_STEP_RETRY:
        add_count(r, CARO_COUNT_RELAY_RETRIES);
        begin_attempt(r, now);
        break;
    case CARO_STEP_WAIT:
        r->query.n_tried = 0; /* A target that failed is better than none. */
        set_timer(r, now + PLACEMENT_RETRY_DELAY, now);
        break;
    case CARO_STEP_FORWARD:
        if (CaroRelayHead_IsNotRun(r->status)) {
            respond_with_status(r, 502, reason, now);
        }
        else {
            finish_relay(r, reason, now);
        }
        break;
    case CARO_STEP_REFUSE:
        respond_with_status(r, 503, reason, now);
        break;
    case CARO_STEP_FAIL:
        respond_with_status(r, 502, reason, now);
        break;
    case CARO_STEP_EXPIRE:
        respond_with_status(r, 504, reason, now);
        break;
    case CARO_STEP_ABORT:
        cut_relay(r, reason, now);
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
    CaroRequestLimits_Update(r->relays->deps.limits, r->service, now);
    return CaroPlacement_HasUsable(r->relays->deps.targets, &q, now);
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
        end_attempt(r, CARO_OUTCOME_SILENT,
                    "the upstream sent nothing in time", now);
        return;
    }
    record_failure(r, CARO_OUTCOME_SILENT, now);
    CaroEventTimeoutQuery q = timeout_query(r);
    CaroTime next = now + CaroEventTimeout_Get(&q);
    set_timer(r, next < r->attempt.deadline ? next : r->attempt.deadline, now);
}

/* Chooses the target with the KV copy if it is usable, else any. */
static CaroHandle
choose_target(CaroRelay *r, CaroTime now)
{
    CaroTargets *targets = r->relays->deps.targets;
    CaroRequestLimits *limits = r->relays->deps.limits;
    r->is_from_kv_copy = false;
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
    CaroHandle h;
    CaroRequestLimits_Update(limits, r->service, now);
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
    r->kv_copy_at = CaroPlacement_ChooseKvCopy(targets, r->target,
                                               r->relays->deps.rng, now);
    if (r->kv_copy_at != CARO_NO_HANDLE) {
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
    schedule_timer(r, now);
}

/* A stream that has begun before is not affected by a quarantine. */
static bool
is_quarantined(const CaroRelay *r, CaroTime now)
{
    return CaroEventForwarder_FirstWait(r->forwarder) < 0 &&
           CaroPromptGuard_Refuses(r->relays->deps.guard, &r->prompt_parts,
                                   now);
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
        .is_stream = is_stream(r),
        .is_excused = (is_stream(r) && streams >= target->entry.slots) ||
                      now < target->cold_until,
        .has_wait_sample = r->is_from_kv_copy,
        .started_at = now};
}

static void
begin_attempt(CaroRelay *r, CaroTime now)
{
    CaroRelays *relays = r->relays;
    if (is_quarantined(r, now)) {
        r->attempt.is_barred = true;
        add_count(r, CARO_COUNT_QUARANTINED);
        end_attempt(r, CARO_OUTCOME_NO_TARGET,
                    "a part of the prompt is in quarantine", now);
        return;
    }
    r->is_event_stream = false;
    r->is_not_run = false;
    r->failed_at = 0;
    r->n_foreign_responses = 0;
    r->foreign_bytes = 0;
    r->is_skipping_response = false;
    r->is_forwarding = false;
    r->is_paused = false;
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
    r->has_prefill_ahead =
        target->prefill_tokens + target->peer_prefill_tokens > 0;
    begin_rollout_attempt(r, target, now);
    CaroTargets_Begin(relays->deps.targets, r->target, is_stream(r));
    relays->has_unsent_change |= is_stream(r);
    set_prefill(r, r->is_from_kv_copy ? 0 : r->prompt_tokens);
    r->is_target_suspected = false;
    r->is_silence_recorded = false;
    r->attempt_started_at = now;
    r->last_event_at = now;
    r->put_offs = 0;
    if (r->attempt.tries++ > 0) {
        CaroRetryBudget_RecordRetry(relays->deps.budget, r->service, now);
    }
    r->channel = CaroChannelPool_Acquire(
        relays->deps.pool, r->target, target->entry.address,
        !CaroAttempt_IsRetryable(&r->attempt), now);
    if (r->channel == NULL) {
        end_attempt(r, CARO_OUTCOME_UNSENT, "cannot open a connection", now);
        return;
    }
    choose_kv_copy(r, now);
    send_request(r, now);
}

/* Sets the earlier of the caller's deadline and that of the route. */
static void
set_deadline(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    int64_t ms;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TIME_LEFT));
    CaroTime route = now + r->route.timeout;
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
set_prompt(CaroRelay *r, const CaroHttpHead *head)
{
    int64_t tokens;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TOKEN_COUNTS));
    if (is_stream(r) && CaroPlatform_ReadPromptTokens(value, &tokens) == 0) {
        r->prompt_tokens =
            tokens < PROMPT_TOKENS_MAX ? (int)tokens : PROMPT_TOKENS_MAX;
    }
    if (is_stream(r)) {
        (void)CaroPlatform_ReadPromptParts(
            CaroHttpHead_Find(
                head, CaroPlatform_HeaderName(CARO_HEADER_PROMPT_PARTS)),
            &r->prompt_parts);
    }
}

static CaroRelay *
create_relay(CaroRelays *relays, CaroCall *call, const CaroRoute *route,
             CaroTime now)
{
    CaroRelay *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return NULL;
    }
    r->relays = relays;
    r->call = call;
    r->route = *route;
    r->target = CARO_NO_HANDLE;
    r->kv_copy_at = CARO_NO_HANDLE;
    r->resume_at = CARO_NO_HANDLE;
    r->timer = event_new(relays->deps.base, -1, 0, on_timer, r);
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
        r->forwarder == NULL) {
        destroy_relay(r);
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
    CaroText id = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_REQUEST_ID));
    CaroRelay *r = create_relay(relays, call, route, now);
    int64_t last_id;
    if (r == NULL || service == NULL) {
        if (r != NULL) {
            destroy_relay(r);
        }
        CaroRelay_Refuse(call, 503, RETRY_AFTER_S);
        return;
    }
    CaroCall_SetOwner(call, r);
    CARO_COPY(r->service, service);
    CARO_COPY(r->account, account == NULL ? "" : account->name);
    if (id.size == 0 || !CaroText_Copy(id, r->id, sizeof(r->id))) {
        respond_with_status(r, 400, "request id missing or too long", now);
        return;
    }
    CaroText last = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_LAST_EVENT_ID));
    if (CaroText_ToNumber(last, &last_id)) {
        CaroEventForwarder_SetLastId(r->forwarder, last_id);
    }
    r->attempt = (CaroAttempt){.kind = route->kind,
                               .is_resumable = route->is_resumable,
                               .attempts_max = route->attempts_max};
    r->query =
        (CaroPlacementQuery){.service = r->service,
                             .domain = relays->deps.domain,
                             .is_stream = route->kind == CARO_ROUTE_STREAM};
    choose_version(r, now);
    set_deadline(r, head, now);
    set_prompt(r, head);
    CaroRetryBudget_RecordRequest(relays->deps.budget, r->service, now);
    CaroRequestLimits_RecordDemand(relays->deps.limits, r->service, now);
    add_count(r, CARO_COUNT_RELAYS);
    begin_attempt(r, now);
}

void
CaroRelays_OnCallerDisconnected(CaroCall *call, CaroTime now)
{
    CaroRelay *r = CaroCall_Owner(call);
    if (r == NULL) {
        return;
    }
    add_count(r, CARO_COUNT_CALLERS_DISCONNECTED);
    log_request(r, 0, "the caller disconnected", now);
    destroy_relay(r);
}

void
CaroRelays_OnCallerDrained(CaroCall *call, CaroTime now)
{
    CaroRelay *r = CaroCall_Owner(call);
    if (r != NULL && r->is_paused && r->channel != NULL) {
        r->is_paused = false;
        r->last_event_at = now;
        CaroChannel_Pause(r->channel, false);
        schedule_timer(r, now);
    }
}

void
CaroRelays_OnTargetSuspected(CaroRelays *relays, CaroHandle target,
                             CaroTime now)
{
    for (CaroRelay *r = relays->first; r != NULL; r = r->next) {
        if (r->target == target && is_stream(r) && !r->is_target_suspected) {
            r->is_target_suspected = true;
            schedule_timer(r, now);
        }
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
        cut_relay(r, "the VM is shutting down", now);
    }
    else {
        respond_with_status(r, 502, "the VM is shutting down", now);
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
        if (r->target == CARO_NO_HANDLE || !is_quarantined(r, now)) {
            continue;
        }
        r->attempt.is_barred = true;
        add_count(r, CARO_COUNT_QUARANTINED);
        if (r->attempt.has_response_begun) {
            cut_relay(r, reason, now);
        }
        else {
            respond_with_status(r, 502, reason, now);
        }
    }
}

int
CaroRelays_Count(const CaroRelays *relays)
{
    return relays->n_relays;
}
