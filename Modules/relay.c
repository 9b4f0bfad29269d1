/*
 * Callers' requests, forwarded to upstreams.
 *
 * An attempt ends in one of the outcomes of caro_attempt.h, which says
 * what follows.  A plain answer is held until it is whole, so that a
 * failure on the way can still be repeated; a long one is passed on as it
 * comes.  Of an event stream only whole events are passed on, and another
 * upstream continues behind the last of them.
 */
#include "internal/caro_relay.h"

#include "internal/caro_attempt.h"
#include "internal/caro_clock.h"
#include "internal/caro_log.h"
#include "internal/caro_event_timeout.h"
#include "internal/caro_platform.h"
#include "internal/caro_relay_head.h"
#include "internal/caro_event_forwarder.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A plain answer above this is passed on before it is whole. */
#define HELD_MOST 65536
/* Above this a caller is slow, and its upstream is not read. */
#define PENDING_MOST 262144
/* A look for an upstream, while a stream that has begun has none. */
#define LOOK_AGAIN (40 * CARO_MS)
/* An answer must leave before the caller's patience ends. */
#define ANSWER_MARGIN (25 * CARO_MS)
/* Suggested to callers that found no upstream; engines that crash are back
   in about a second. */
#define RETRY_AFTER_S 0.3

typedef struct CaroRelay CaroRelay;

struct CaroRelay {
    CaroRelays *all;
    CaroRelay *next;
    CaroRelay *prev;
    CaroCall *call;
    CaroRoute route;
    char service[CARO_NAME_SIZE];
    char account[CARO_NAME_SIZE];       /* Empty on a public route. */
    char id[CARO_KEY_SIZE];             /* Of the caller's attempt. */
    char version[CARO_NAME_SIZE];       /* Of the query; may be empty. */
    char failed_domain[CARO_NAME_SIZE]; /* Where an upstream was lost. */
    CaroTime started;
    CaroAttempt attempt;
    CaroPlacementQuery query;
    struct event *timer;

    CaroHandle target; /* Of the present attempt, or no handle. */
    CaroChannel *channel;
    CaroTime attempt_started;
    CaroTime last_event; /* Or the start of the attempt. */
    bool is_paused;      /* The caller is slow. */
    bool is_skipping;    /* An answer that belongs to another request. */
    bool is_soiled;      /* The channel gave such an answer. */
    bool is_refusal;     /* The upstream says that it did not run. */
    bool is_event_stream;
    bool is_passing;          /* A long plain answer, as it comes. */
    bool is_on_trial;         /* It goes to a version that may prove bad. */
    bool is_target_suspected; /* Others found the upstream silent. */
    bool has_prefill_ahead;   /* Other prompts were to be read there first. */
    int reading;              /* Prompt tokens, until the first event. */
    int prompt;               /* Prompt tokens of the request. */
    bool is_going_on;         /* The attempt goes on from a copy. */

    CaroHandle copy_at;  /* Keeps a copy of the present run. */
    CaroHandle go_on_at; /* The next attempt goes on from a copy. */
    int status;
    struct evbuffer *headers; /* Of the upstream's answer. */
    struct evbuffer *body;    /* Held part of the answer. */
    CaroEventForwarder *pass;
};

struct CaroRelays {
    CaroRelayDeps parts;
    CaroRelay *first;
    int n;
    int vms;
    bool is_changed; /* See CaroRelays_ConsumeChange. */
};

static const CaroChannelEvents channel_events;
static void begin_attempt(CaroRelay *r, CaroTime now);
static void end_attempt(CaroRelay *r, CaroOutcome outcome, const char *reason,
                        CaroTime now);

CaroRelays *
CaroRelays_Create(const CaroRelayDeps *parts)
{
    CaroRelays *all = calloc(1, sizeof(*all));
    if (all != NULL) {
        all->parts = *parts;
        all->vms = 1;
    }
    return all;
}

static bool
is_stream(const CaroRelay *r)
{
    return r->route.kind == CARO_ROUTE_STREAM;
}

/* Prompt tokens that the present upstream has to read before an event. */
static void
set_reading(CaroRelay *r, int tokens)
{
    CaroTargets_AddPrefill(r->all->parts.targets, r->target,
                           tokens - r->reading);
    r->all->is_changed |= tokens != r->reading;
    r->reading = tokens;
}

/* Gives back what the present attempt holds; its channel is closed, so
   that the upstream stops. */
static void
leave_target(CaroRelay *r)
{
    CaroTargets *targets = r->all->parts.targets;
    CaroChannel_Destroy(r->channel);
    r->channel = NULL;
    if (r->target != CARO_NO_HANDLE) {
        set_reading(r, 0);
        r->all->is_changed |= is_stream(r);
        CaroTargets_End(targets, r->target, is_stream(r));
        r->target = CARO_NO_HANDLE;
    }
}

static void
leave_copy(CaroRelay *r, CaroHandle *copy)
{
    CaroTargets *targets = r->all->parts.targets;
    if (*copy != CARO_NO_HANDLE) {
        CaroTargets_EndKvCopy(targets, *copy);
        *copy = CARO_NO_HANDLE;
    }
}

static void
destroy_relay(CaroRelay *r)
{
    leave_target(r);
    leave_copy(r, &r->copy_at);
    leave_copy(r, &r->go_on_at);
    if (r->prev != NULL) {
        r->prev->next = r->next;
    }
    else {
        r->all->first = r->next;
    }
    if (r->next != NULL) {
        r->next->prev = r->prev;
    }
    r->all->n--;
    if (r->timer != NULL) {
        event_free(r->timer);
    }
    if (r->headers != NULL) {
        evbuffer_free(r->headers);
    }
    if (r->body != NULL) {
        evbuffer_free(r->body);
    }
    CaroEventForwarder_Destroy(r->pass);
    free(r);
}

void
CaroRelays_Destroy(CaroRelays *all)
{
    if (all == NULL) {
        return;
    }
    while (all->first != NULL) {
        destroy_relay(all->first);
    }
    free(all);
}

void
CaroRelays_SetVms(CaroRelays *all, int vms)
{
    all->vms = vms;
}

static void
count(CaroRelay *r, CaroCounter id)
{
    CaroCounters_Add(r->all->parts.counters, id, 1);
}

/* The one line that tells how a request ended. */
static void
log_end(const CaroRelay *r, int status, const char *reason, CaroTime now)
{
    CaroTime first = CaroEventForwarder_First(r->pass);
    CaroTime pause = CaroEventForwarder_LongestPause(r->pass);
    CaroLog_Info("relay",
                 "A request ended. id=%s route=%s account=%s status=%d "
                 "ms=%lld tries=%d runs=%lld last_event=%lld first_ms=%lld "
                 "pause_ms=%lld reason=\"%s\"",
                 r->id, r->route.name, r->account, status,
                 (long long)((now - r->started) / CARO_MS), r->attempt.tries,
                 (long long)r->attempt.runs,
                 (long long)CaroEventForwarder_LastId(r->pass),
                 (long long)(first < 0 ? -1 : first / CARO_MS),
                 (long long)(pause / CARO_MS), reason);
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
    CaroCall_Answer(call, status, headers, NULL);
    if (headers != NULL) {
        evbuffer_free(headers);
    }
}

static void
answer_here(CaroRelay *r, int status, const char *reason, CaroTime now)
{
    CaroCall *call = r->call;
    count(r, status == 503 ? CARO_COUNT_REFUSED : CARO_COUNT_RELAYS_FAILED);
    log_end(r, status, reason, now);
    destroy_relay(r);
    CaroRelay_Refuse(call, status, status == 503 ? RETRY_AFTER_S : 0.0);
}

static void
set_timer(CaroRelay *r, CaroTime at, CaroTime now)
{
    CaroTime wait = at > now ? at - now : 0;
    struct timeval t = {.tv_sec = wait / CARO_SECOND,
                        .tv_usec = wait % CARO_SECOND};
    (void)event_add(r->timer, &t);
}

/* When the present attempt counts as silent. */
static CaroTime
silent_at(const CaroRelay *r)
{
    if (!CaroAttempt_IsRetryable(&r->attempt) || r->is_paused ||
        r->target == CARO_NO_HANDLE) {
        return r->attempt.deadline;
    }
    CaroEventTimeoutQuery q = {
        .route = &r->route,
        .has_events = CaroEventForwarder_HasEvents(r->pass),
        .is_target_suspected = r->is_target_suspected,
        .is_from_kv_copy = r->is_going_on,
        .has_prefill_ahead = r->has_prefill_ahead,
        .is_first = r->attempt.runs == 0,
        .has_forwarded_events = CaroEventForwarder_LastId(r->pass) >= 0};
    const CaroTarget *target =
        CaroTargets_GetConst(r->all->parts.targets, r->target);
    return CaroEventTimeout_Deadline(&q, r->last_event, target->last_heard_at);
}

static void
schedule(CaroRelay *r, CaroTime now)
{
    CaroTime at = silent_at(r);
    set_timer(r, at < r->attempt.deadline ? at : r->attempt.deadline, now);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroRelay *r = arg;
    CaroTime now = CaroClock_Now();
    if (now >= r->attempt.deadline) {
        end_attempt(r, CARO_OUTCOME_EXPIRED, "its time is over", now);
    }
    else if (r->target == CARO_NO_HANDLE) {
        begin_attempt(r, now);
    }
    else if (now >= silent_at(r)) {
        end_attempt(r, CARO_OUTCOME_SILENT, "the upstream is silent", now);
    }
    else {
        schedule(r, now);
    }
}

/* Stops reading the upstream while the caller is slow. */
static void
pace_upstream(CaroRelay *r)
{
    if (!r->is_paused && CaroCall_Pending(r->call) > PENDING_MOST) {
        r->is_paused = true;
        CaroChannel_Pause(r->channel, true);
    }
}

/* A stream goes on at another upstream. */
static void
log_change(const CaroRelay *r, CaroTime now)
{
    const CaroTargets *targets = r->all->parts.targets;
    const CaroTarget *target = CaroTargets_GetConst(targets, r->target);
    CaroLog_Info("relay",
                 "A stream goes on. id=%s upstream=%s from_copy=%d ms=%lld "
                 "own=%d others=%d reading=%d copies=%d",
                 r->id, target->entry.id, r->is_going_on,
                 (long long)((now - r->attempt_started) / CARO_MS),
                 target->streams, target->peer_streams,
                 target->reading + target->peer_prefill_tokens,
                 target->copies);
}

static void
pass_events(CaroRelay *r, CaroText bytes, CaroTime now)
{
    bool is_first = !CaroEventForwarder_HasEvents(r->pass);
    bool goes_on = is_first && CaroEventForwarder_First(r->pass) >= 0;
    int n = CaroEventForwarder_Feed(r->pass, r->call, bytes, now);
    if (n < 0) {
        end_attempt(r, CARO_OUTCOME_LOST, "events out of order", now);
        return;
    }
    if (n > 0) {
        r->last_event = now;
        CaroTargets_RecordHeard(r->all->parts.targets, r->target, now);
    }
    if (n > 0 && goes_on) {
        log_change(r, now);
    }
    if (n > 0 && is_first) {
        set_reading(r, 0);
        schedule(r, now); /* The next event is due much sooner. */
    }
    pace_upstream(r);
}

static void
note_load(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    CaroTargetLoad load;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TARGET_LOAD));
    if (value.at != NULL && CaroPlatform_ReadLoad(value, &load) == 0) {
        CaroTargets_RecordLoad(r->all->parts.targets, r->target,
                               (int)load.running, (int)load.waiting, now);
    }
}

static void
begin_stream(CaroRelay *r, CaroTime now)
{
    r->is_event_stream = true;
    r->last_event = now;
    if (!r->attempt.has_response_begun) {
        r->attempt.has_response_begun = true;
        CaroCall_Begin(r->call, r->status, r->headers);
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
        r->is_skipping = true;
        r->is_soiled = true;
        return;
    }
    CaroTargets_RecordHeard(r->all->parts.targets, r->target, now);
    note_load(r, head, now);
    r->status = head->status;
    r->is_refusal =
        CaroHttpHead_Find(head, CaroPlatform_HeaderName(CARO_HEADER_NOT_RUN))
                .at != NULL ||
        head->status == 421;
    evbuffer_drain(r->headers, evbuffer_get_length(r->headers));
    CaroRelayHead_CopyAnswer(r->headers, head);
    if (r->is_refusal || head->status < 200 || head->status > 299) {
        return;
    }
    const char *fault = CaroRelayHead_CheckSuccess(head, r->id);
    if (fault != NULL) {
        end_attempt(r, CARO_OUTCOME_LOST, fault, now);
    }
    else if (r->route.kind == CARO_ROUTE_STREAM) {
        begin_stream(r, now);
        schedule(r, now);
    }
}

/* Keeps a plain answer until it is whole, or passes a long one on. */
static void
hold_body(CaroRelay *r, CaroText bytes)
{
    (void)evbuffer_add(r->body, bytes.at, bytes.size);
    size_t size = evbuffer_get_length(r->body);
    if (size <= HELD_MOST || r->is_refusal || r->status >= 300) {
        return;
    }
    r->is_passing = true;
    r->attempt.has_response_begun = true;
    CaroCall_Begin(r->call, r->status, r->headers);
    CaroCall_Send(r->call, (const char *)evbuffer_pullup(r->body, -1), size);
    evbuffer_drain(r->body, size);
    pace_upstream(r);
}

static void
on_body(void *context, CaroText bytes)
{
    CaroRelay *r = context;
    CaroTime now = CaroClock_Now();
    if (r->is_skipping) {
        return;
    }
    if (r->is_event_stream) {
        pass_events(r, bytes, now);
    }
    else if (r->is_passing) {
        CaroCall_Send(r->call, bytes.at, bytes.size);
        pace_upstream(r);
    }
    else if (!r->attempt.has_response_begun) {
        hold_body(r, bytes);
    }
    /* Else it is the body of a failure, and the caller has a part of an
       answer already: it is dropped. */
}

/* Returns the channel of an answer that ended well. */
static void
keep_channel(CaroRelay *r, CaroTime now)
{
    if (!r->is_soiled) {
        CaroChannelPool_Release(r->all->parts.pool, r->target, r->channel,
                                now);
        r->channel = NULL;
    }
}

/* How the present attempt went, for the move of its service. */
static void
sample_attempt(CaroRelay *r, bool is_failed, CaroTime now)
{
    const CaroTarget *target =
        CaroTargets_GetConst(r->all->parts.targets, r->target);
    CaroServiceRollouts_AddSample(r->all->parts.moves, r->service,
                                  target->entry.version, r->route.name,
                                  is_failed, now - r->attempt_started, now);
}

/* The upstream's answer is whole: the caller gets it. */
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
    count(r, CARO_COUNT_RELAYS_DONE);
    log_end(r, status, reason, now);
    destroy_relay(r);
    if (has_response_begun) {
        CaroCall_End(call);
    }
    else {
        CaroCall_Answer(call, status, headers, body);
    }
    evbuffer_free(headers);
    evbuffer_free(body);
}

static void
on_end(void *context)
{
    CaroRelay *r = context;
    CaroTime now = CaroClock_Now();
    CaroTargets *targets = r->all->parts.targets;
    if (r->is_skipping) {
        /* Ours comes behind it. */
        struct evbuffer *nothing = evbuffer_new();
        r->is_skipping = false;
        if (nothing == NULL) {
            end_attempt(r, CARO_OUTCOME_LOST, "no memory", now);
            return;
        }
        CaroChannel_Start(r->channel, nothing, false, &channel_events, r);
        evbuffer_free(nothing);
        return;
    }
    if (r->is_event_stream && CaroEventForwarder_IsInside(r->pass)) {
        end_attempt(r, CARO_OUTCOME_LOST, "the stream ended in an event", now);
        return;
    }
    keep_channel(r, now);
    if (r->is_refusal) {
        end_attempt(
            r, r->status == 421 ? CARO_OUTCOME_GONE : CARO_OUTCOME_NOT_RUN,
            "the upstream refused", now);
        return;
    }
    /* Behind a part of an answer only its rest is one. */
    bool is_other =
        r->attempt.has_response_begun && !r->is_event_stream && !r->is_passing;
    if (r->status >= 500 || CaroRelayHead_IsNotRun(r->status) || is_other) {
        end_attempt(r, CARO_OUTCOME_FAILED, "the upstream failed", now);
        return;
    }
    CaroTargets_RecordSuccess(targets, r->target);
    sample_attempt(r, false, now);
    if (!is_stream(r)) {
        CaroLatency_Add(r->all->parts.latency, CARO_LATENCY_PLAIN,
                        now - r->started);
    }
    finish_relay(r, "answered", now);
}

static void
on_failure(void *context, int code, const char *reason)
{
    CaroRelay *r = context;
    bool is_sent = CaroChannel_IsSent(r->channel);
    CaroOutcome unsent =
        code == CARO_ERR_NOT_FOUND ? CARO_OUTCOME_GONE : CARO_OUTCOME_UNSENT;
    end_attempt(r, is_sent ? CARO_OUTCOME_LOST : unsent, reason,
                CaroClock_Now());
}

static const CaroChannelEvents channel_events = {.on_head = on_head,
                                                 .on_body = on_body,
                                                 .on_end = on_end,
                                                 .on_failure = on_failure};

/* What an outcome says of the upstream. */
static CaroTargetFailure
alarm_of(const CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    const CaroTarget *target =
        CaroTargets_GetConst(r->all->parts.targets, r->target);
    switch (outcome) {
    case CARO_OUTCOME_GONE:
        return CARO_TARGET_GONE;
    case CARO_OUTCOME_SILENT:
        return is_stream(r) && CaroEventTimeout_IsPreempted(
                                   r->last_event, target->last_heard_at, now)
                   ? CARO_TARGET_NO_FAILURE
                   : CARO_TARGET_SILENT;
    case CARO_OUTCOME_UNSENT:
    case CARO_OUTCOME_LOST:
        return CARO_TARGET_FAILING;
    case CARO_OUTCOME_NOT_RUN:
        /* That it has no copy is no fault. */
        return r->is_going_on ? CARO_TARGET_NO_FAILURE : CARO_TARGET_FAILING;
    default:
        return CARO_TARGET_NO_FAILURE;
    }
}

static void
blame_target(CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    CaroTargets *targets = r->all->parts.targets;
    CaroTargetFailure alarm = alarm_of(r, outcome, now);
    if (alarm == CARO_TARGET_NO_FAILURE) {
        return;
    }
    CaroTargets_Avoid(targets, r->target, alarm, now);
    if (is_stream(r)) {
        CaroTargets_RecordFailure(targets, r->target, alarm, now);
        r->all->is_changed = true;
    }
}

/* Prepares the next attempt: not where the last one failed, and from the
   copy of the run if there is one. */
static void
turn_away(CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    CaroPlacementQuery *q = &r->query;
    const CaroTarget *target =
        CaroTargets_GetConst(r->all->parts.targets, r->target);
    bool has_run =
        outcome == CARO_OUTCOME_LOST || outcome == CARO_OUTCOME_SILENT;
    if (q->n_tried == CARO_TRIED_MAX) {
        q->n_tried--; /* Those that failed are avoided besides. */
    }
    if (has_run || alarm_of(r, outcome, now) != CARO_TARGET_NO_FAILURE ||
        outcome == CARO_OUTCOME_FAILED) {
        q->tried[q->n_tried++] = r->target;
    }
    if (has_run) {
        CARO_COPY(r->failed_domain, target->entry.domain);
        q->failed_domain = r->failed_domain;
    }
    leave_copy(r, &r->go_on_at);
    if (has_run && CaroEventForwarder_HasEvents(r->pass) &&
        r->copy_at != CARO_NO_HANDLE) {
        r->go_on_at = r->copy_at;
        r->copy_at = CARO_NO_HANDLE;
    }
    leave_copy(r, &r->copy_at);
}

static void
cut_relay(CaroRelay *r, const char *reason, CaroTime now)
{
    CaroCall *call = r->call;
    count(r, CARO_COUNT_RELAYS_CUT);
    log_end(r, 0, reason, now);
    destroy_relay(r);
    CaroCall_Break(call);
}

/* A failure that may be the version's; a request that failed at a version
   on trial is repeated at the one in force. */
static void
sample_failure(CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    switch (outcome) {
    case CARO_OUTCOME_LOST:
    case CARO_OUTCOME_SILENT:
    case CARO_OUTCOME_FAILED:
    case CARO_OUTCOME_EXPIRED:
        sample_attempt(r, true, now);
        if (r->is_on_trial) {
            r->query.excludes_version = true;
        }
        break;
    default:
        break;
    }
}

static void
log_attempt(const CaroRelay *r, CaroOutcome outcome, const char *reason,
            CaroTime now)
{
    const CaroTargets *targets = r->all->parts.targets;
    const char *copy =
        r->copy_at == CARO_NO_HANDLE
            ? ""
            : CaroTargets_GetConst(targets, r->copy_at)->entry.id;
    CaroLog_Info("relay",
                 "An attempt ended. id=%s upstream=%s outcome=%s ms=%lld "
                 "silent_ms=%lld has_events=%d from_copy=%d copy_at=%s "
                 "reason=\"%s\"",
                 r->id, CaroTargets_GetConst(targets, r->target)->entry.id,
                 CaroOutcome_Name(outcome),
                 (long long)((now - r->attempt_started) / CARO_MS),
                 (long long)((now - r->last_event) / CARO_MS),
                 CaroEventForwarder_HasEvents(r->pass), r->is_going_on, copy,
                 reason);
}

static void
end_attempt(CaroRelay *r, CaroOutcome outcome, const char *reason,
            CaroTime now)
{
    CaroRelays *all = r->all;
    bool is_silent = r->target != CARO_NO_HANDLE &&
                     alarm_of(r, outcome, now) == CARO_TARGET_SILENT;
    if (r->target != CARO_NO_HANDLE) {
        blame_target(r, outcome, now);
        sample_failure(r, outcome, now);
        log_attempt(r, outcome, reason, now);
        turn_away(r, outcome, now);
    }
    CaroHandle left = r->target;
    leave_target(r);
    if (is_silent) {
        CaroRelays_OnTargetSuspected(all, left, now);
    }
    bool has_budget = CaroRetryBudget_AllowsRetry(all->parts.budget,
                                                  r->service, all->vms, now);
    switch (CaroAttempt_End(&r->attempt, outcome, has_budget, now)) {
    case CARO_STEP_RETRY:
        count(r, CARO_COUNT_RELAY_RETRIES);
        begin_attempt(r, now);
        break;
    case CARO_STEP_WAIT:
        r->query.n_tried = 0; /* Any upstream is better than none. */
        set_timer(r, now + LOOK_AGAIN, now);
        break;
    case CARO_STEP_FORWARD:
        if (CaroRelayHead_IsNotRun(r->status)) {
            answer_here(r, 502, reason, now);
        }
        else {
            finish_relay(r, reason, now);
        }
        break;
    case CARO_STEP_REFUSE:
        answer_here(r, 503, reason, now);
        break;
    case CARO_STEP_FAIL:
        answer_here(r, 502, reason, now);
        break;
    case CARO_STEP_EXPIRE:
        answer_here(r, 504, reason, now);
        break;
    case CARO_STEP_ABORT:
        cut_relay(r, reason, now);
        break;
    }
}

/* The upstream of the next attempt: the one with the copy, or any. */
static CaroHandle
choose_target(CaroRelay *r, CaroTime now)
{
    CaroTargets *targets = r->all->parts.targets;
    r->is_going_on = false;
    if (r->go_on_at != CARO_NO_HANDLE) {
        const CaroTarget *holder = CaroTargets_GetConst(targets, r->go_on_at);
        if (CaroTarget_IsUsable(holder, now)) {
            r->is_going_on = true;
            return r->go_on_at;
        }
    }
    return CaroPlacement_Choose(targets, &r->query, r->all->parts.rng, now);
}

/* A copy of a stream's memory, for its next upstream to go on from. */
static void
choose_copy(CaroRelay *r, CaroTime now)
{
    CaroTargets *targets = r->all->parts.targets;
    if (r->route.kind != CARO_ROUTE_STREAM || !r->route.is_resumable) {
        return;
    }
    r->copy_at =
        CaroPlacement_ChooseKvCopy(targets, r->target, r->all->parts.rng, now);
    if (r->copy_at != CARO_NO_HANDLE) {
        CaroTargets_BeginKvCopy(targets, r->copy_at);
    }
}

static void
send_request(CaroRelay *r, CaroTime now)
{
    const CaroTargets *targets = r->all->parts.targets;
    const CaroTargetEntry *to =
        &CaroTargets_GetConst(targets, r->target)->entry;
    CaroRequestHead head = {
        .call = r->call,
        .target_id = to->id,
        .account = r->account,
        .time_left = r->attempt.deadline - now,
        .is_resumed = r->attempt.has_response_begun,
        .copy_to =
            r->copy_at == CARO_NO_HANDLE
                ? NULL
                : CaroTargets_GetConst(targets, r->copy_at)->entry.address,
        .copy_from = r->is_going_on ? to->address : NULL,
        .request_id = r->id,
        .last_event = CaroEventForwarder_LastId(r->pass)};
    struct evbuffer *out = evbuffer_new();
    if (out == NULL || CaroRelayHead_WriteRequest(out, &head) < 0) {
        if (out != NULL) {
            evbuffer_free(out);
        }
        end_attempt(r, CARO_OUTCOME_UNSENT, "no memory for a request", now);
        return;
    }
    bool is_head = CaroText_Equals(CaroCall_Head(r->call)->method, "HEAD");
    CaroChannel_Start(r->channel, out, is_head, &channel_events, r);
    evbuffer_free(out);
    schedule(r, now);
}

static void
begin_attempt(CaroRelay *r, CaroTime now)
{
    CaroRelays *all = r->all;
    r->is_event_stream = false;
    r->is_refusal = false;
    r->is_soiled = false;
    r->is_skipping = false;
    r->is_passing = false;
    r->is_paused = false;
    evbuffer_drain(r->body, evbuffer_get_length(r->body));
    CaroEventForwarder_BeginRun(r->pass);
    r->target = choose_target(r, now);
    if (r->target == CARO_NO_HANDLE && r->is_on_trial) {
        /* The version has no upstream to take. */
        r->query.version = NULL;
        r->target = choose_target(r, now);
    }
    if (r->target == CARO_NO_HANDLE) {
        end_attempt(r, CARO_OUTCOME_NO_TARGET, "no upstream to send it to",
                    now);
        return;
    }
    const CaroTarget *target =
        CaroTargets_GetConst(all->parts.targets, r->target);
    r->has_prefill_ahead = target->reading + target->peer_prefill_tokens > 0;
    CaroTargets_Begin(all->parts.targets, r->target, is_stream(r));
    all->is_changed |= is_stream(r);
    set_reading(r, r->is_going_on ? 0 : r->prompt);
    r->is_target_suspected = false;
    r->attempt_started = now;
    r->last_event = now;
    if (r->attempt.tries++ > 0) {
        CaroRetryBudget_RecordRetry(all->parts.budget, r->service, now);
    }
    r->channel = CaroChannelPool_Acquire(
        all->parts.pool, r->target, target->entry.address,
        !CaroAttempt_IsRetryable(&r->attempt), now);
    if (r->channel == NULL) {
        end_attempt(r, CARO_OUTCOME_UNSENT, "no channel can be opened", now);
        return;
    }
    choose_copy(r, now);
    send_request(r, now);
}

/* Time that the caller and the route allow. */
static void
set_deadline(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    int64_t ms;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TIME_LEFT));
    CaroTime route = now + r->route.timeout;
    CaroTime caller = CaroText_ToNumber(value, &ms)
                          ? now + ms * CARO_MS - ANSWER_MARGIN
                          : route;
    r->attempt.deadline = caller < route ? caller : route;
}

static void
choose_version(CaroRelay *r, CaroTime now)
{
    const CaroRelayDeps *parts = &r->all->parts;
    const char *version = NULL;
    CaroVersionRule rule = CaroServiceRollouts_Pick(
        parts->moves, r->service, gsl_rng_uniform(parts->rng), &version, now);
    if (rule != CARO_VERSION_ANY) {
        CARO_COPY(r->version, version);
        r->query.version = r->version;
        r->query.excludes_version = rule == CARO_VERSION_NOT;
        r->is_on_trial = rule == CARO_VERSION_ONLY;
    }
}

static void
set_prompt(CaroRelay *r, const CaroHttpHead *head)
{
    int64_t tokens;
    CaroText value =
        CaroHttpHead_Find(head, CaroPlatform_HeaderName(CARO_HEADER_TOKENS));
    if (is_stream(r) && CaroPlatform_ReadPromptTokens(value, &tokens) == 0) {
        r->prompt = (int)tokens;
    }
}

static CaroRelay *
create_relay(CaroRelays *all, CaroCall *call, const CaroRoute *route,
             CaroTime now)
{
    CaroRelay *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return NULL;
    }
    r->all = all;
    r->call = call;
    r->route = *route;
    r->target = CARO_NO_HANDLE;
    r->copy_at = CARO_NO_HANDLE;
    r->go_on_at = CARO_NO_HANDLE;
    r->timer = event_new(all->parts.base, -1, 0, on_timer, r);
    r->headers = evbuffer_new();
    r->body = evbuffer_new();
    r->started = now;
    r->pass = CaroEventForwarder_Create(all->parts.latency, now);
    r->next = all->first;
    if (all->first != NULL) {
        all->first->prev = r;
    }
    all->first = r;
    all->n++;
    if (r->timer == NULL || r->headers == NULL || r->body == NULL ||
        r->pass == NULL) {
        destroy_relay(r);
        return NULL;
    }
    return r;
}

void
CaroRelays_Accept(CaroRelays *all, CaroCall *call, const CaroRoute *route,
                  const CaroClientAccount *account, CaroTime now)
{
    const CaroHttpHead *head = CaroCall_Head(call);
    const char *service =
        CaroRoute_ChooseService(route, gsl_rng_uniform(all->parts.rng));
    CaroText id = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_REQUEST_ID));
    CaroRelay *r = create_relay(all, call, route, now);
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
        answer_here(r, 400, "the request's id is missing or too long", now);
        return;
    }
    CaroText last = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_LAST_EVENT));
    if (CaroText_ToNumber(last, &last_id)) {
        CaroEventForwarder_SetLastId(r->pass, last_id);
    }
    r->attempt = (CaroAttempt){.kind = route->kind,
                               .is_resumable = route->is_resumable,
                               .attempts_max = route->attempts_max};
    r->query =
        (CaroPlacementQuery){.service = r->service,
                             .domain = all->parts.domain,
                             .is_stream = route->kind == CARO_ROUTE_STREAM};
    choose_version(r, now);
    set_deadline(r, head, now);
    set_prompt(r, head);
    CaroRetryBudget_RecordRequest(all->parts.budget, r->service, now);
    count(r, CARO_COUNT_RELAYS);
    begin_attempt(r, now);
}

void
CaroRelays_OnCallerDisconnected(CaroCall *call, CaroTime now)
{
    CaroRelay *r = CaroCall_Owner(call);
    if (r == NULL) {
        return;
    }
    count(r, CARO_COUNT_CALLERS_DISCONNECTED);
    log_end(r, 0, "the caller left", now);
    destroy_relay(r);
}

void
CaroRelays_OnCallerDrained(CaroCall *call, CaroTime now)
{
    CaroRelay *r = CaroCall_Owner(call);
    if (r != NULL && r->is_paused && r->channel != NULL) {
        r->is_paused = false;
        r->last_event = now;
        CaroChannel_Pause(r->channel, false);
        schedule(r, now);
    }
}

void
CaroRelays_OnTargetSuspected(CaroRelays *all, CaroHandle target, CaroTime now)
{
    for (CaroRelay *r = all->first; r != NULL; r = r->next) {
        if (r->target == target && is_stream(r) && !r->is_target_suspected) {
            r->is_target_suspected = true;
            schedule(r, now);
        }
    }
}

bool
CaroRelays_ConsumeChange(CaroRelays *all)
{
    bool is_changed = all->is_changed;
    all->is_changed = false;
    return is_changed;
}

void
CaroRelays_CutStreams(CaroRelays *all, CaroTime now)
{
    CaroRelay *next;
    for (CaroRelay *r = all->first; r != NULL; r = next) {
        next = r->next;
        if (r->route.kind == CARO_ROUTE_STREAM && r->route.is_resumable) {
            if (r->attempt.has_response_begun) {
                cut_relay(r, "this VM stops", now);
            }
            else {
                answer_here(r, 502, "this VM stops", now);
            }
        }
    }
}

int
CaroRelays_Count(const CaroRelays *all)
{
    return all->n;
}
