/*
 * Sessions: generations in service at this node.
 *
 * A session joins the pure decisions of CaroGeneration to the engine
 * client, the journal and the caller.  It is closed when the caller has
 * the whole answer, when the caller stays away, when another VM takes the
 * generation over, or when no attempt can go on.
 */
#include "internal/caro_node_state.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_WAIT (50 * CARO_MS)
#define GENERATION_DEADLINE (3600 * CARO_SECOND)

enum { ATTEMPTS_MAX = 12, SSE_LINE_MAX = 256 };

static int
find_attempt(const CaroSession *s, uint32_t attempt)
{
    for (int i = 0; i < 2; i++) {
        if (s->attempts[i].attempt == attempt) {
            return i;
        }
    }
    return -1;
}

/* Frees the slot of an attempt whose stream is gone already. */
static void
release_attempt(CaroSession *s, int i)
{
    CaroHandle h =
        CaroGeneration_UpstreamOf(s->generation, s->attempts[i].attempt);
    if (h != CARO_NO_HANDLE) {
        CaroUpstreams_AddPrefill(s->node->upstreams, h,
                                 -s->attempts[i].prefill);
        CaroUpstreams_Done(s->node->upstreams, h);
    }
    s->attempts[i].prefill = 0;
    s->attempts[i].attempt = 0;
    s->attempts[i].stream = NULL;
}

static void
cancel_attempt(CaroSession *s, int i)
{
    if (s->attempts[i].stream != NULL) {
        CaroEngine_Cancel(s->attempts[i].stream);
    }
    release_attempt(s, i);
}

static void
observe_token(CaroSession *s, int i, CaroHandle h, CaroTime now)
{
    CaroNode *n = s->node;
    uint32_t attempt = s->attempts[i].attempt;
    CaroTime gap = CaroGeneration_LastGap(s->generation, attempt);
    if (gap >= 0) {
        CaroNode_SampleGap(s, gap);
        CaroUpstreams_ObserveGap(n->upstreams, h, gap);
        return;
    }
    CaroUpstreams_AddPrefill(n->upstreams, h, -s->attempts[i].prefill);
    s->attempts[i].prefill = 0;
    CaroNode_SampleFirst(s, now - s->attempts[i].started);
    CaroUpstreams_ObserveFirst(n->upstreams, h, now - s->attempts[i].started);
    CaroUpstreams_Succeeded(n->upstreams, h);
}

static void
on_token(CaroSession *s, int i, const char *text, size_t size, CaroTime now)
{
    CaroNode *n = s->node;
    uint32_t attempt = s->attempts[i].attempt;
    CaroHandle h = CaroGeneration_UpstreamOf(s->generation, attempt);
    uint32_t index = s->attempts[i].next_index++;
    if (!CaroGeneration_OnToken(s->generation, attempt, index, now,
                                n->awake)) {
        CaroCounters_Add(&n->counters, CARO_COUNT_TOKENS_DROPPED, 1);
        return;
    }
    CaroUpstreams_Heard(n->upstreams, h, now);
    if (s->attempts[i].prefill > 0) {
        CaroJournal_SetUpstream(s->journal,
                                CaroUpstreams_Get(n->upstreams, h)->name);
    }
    observe_token(s, i, h, now);
    if (CaroJournal_Append(s->journal, text, size, now) < 0) {
        CaroLog_Error("generate", "A journal is full. generation=%016llx",
                      (unsigned long long)s->id);
        CaroNode_CloseSession(s, false);
        return;
    }
    CaroNode_MarkDirty(s);
}

static void
on_end(CaroSession *s, int i, bool is_whole, int status, CaroTime now)
{
    CaroNode *n = s->node;
    uint32_t attempt = s->attempts[i].attempt;
    CaroHandle h = CaroGeneration_UpstreamOf(s->generation, attempt);
    if (h != CARO_NO_HANDLE && !is_whole) {
        const CaroUpstream *u = CaroUpstreams_Get(n->upstreams, h);
        CaroLog_Warn("generate",
                     "An attempt was lost. generation=%016llx upstream=%s "
                     "status=%d tokens=%u",
                     (unsigned long long)s->id, u->name, status,
                     CaroJournal_Count(s->journal));
        CaroUpstreams_Failed(n->upstreams, h, now);
        CaroNode_SampleFailure(s);
    }
    release_attempt(s, i);
    CaroGeneration_OnClosed(s->generation, attempt, is_whole, now);
    CaroNode_Advance(s, now);
}

static void
on_engine_event(void *context, uint64_t id, uint32_t attempt,
                const CaroEngineEvent *event)
{
    CaroNode *n = context;
    CaroTime now = CaroClock_Now();
    CaroSession *s = CaroNode_FindSession(n, id);
    int i = s == NULL ? -1 : find_attempt(s, attempt);
    if (i < 0) {
        return;
    }
    CaroHandle h = CaroGeneration_UpstreamOf(s->generation, attempt);
    switch (event->kind) {
    case CARO_ENGINE_TOKEN:
        on_token(s, i, event->u.token.text, event->u.token.size, now);
        break;
    case CARO_ENGINE_LOAD:
        if (h != CARO_NO_HANDLE) {
            CaroNode_HeardLoad(n, h, &event->u.load, now);
        }
        break;
    case CARO_ENGINE_END:
        s->attempts[i].stream = NULL;
        on_end(s, i, event->u.end.is_whole, event->u.end.status, now);
        break;
    }
}

static CaroHandle
choose_upstream(CaroSession *s, bool is_resume, CaroTime now)
{
    CaroNode *n = s->node;
    CaroRouteQuery q = {.policy = CARO_ROUTE_BOUNDED_AFFINITY,
                        .deployment = s->deployment,
                        .version = s->version[0] == '\0' ? NULL : s->version,
                        .vm = n->settings.vm,
                        .subset = (int)n->settings.upstream_subset,
                        .prefix_hash = s->prefix_hash,
                        .leaves_domain =
                            CaroGeneration_IsLossSilent(s->generation),
                        .is_resume = is_resume};
    q.n_avoid = CaroGeneration_Avoid(s->generation, q.avoid);
    q.warm =
        CaroUpstreams_Find(n->upstreams, CaroJournal_Upstream(s->journal));
    CaroHandle h = CaroRouter_Choose(n->upstreams, &q, now, &n->rng);
    if (h == CARO_NO_HANDLE && q.version != NULL) {
        /* Another version is better than none. */
        q.version = NULL;
        h = CaroRouter_Choose(n->upstreams, &q, now, &n->rng);
    }
    return h;
}

/* Short resumes go before long ones, so that one long reading does not
   hold up the callers of many short ones. */
static int
priority_of(const CaroSession *s, bool is_resume, int64_t prefill)
{
    if (is_resume) {
        return prefill < CARO_LONG_RESUME_TOKENS ? CARO_PRIORITY_SHORT_RESUME
                                                 : CARO_PRIORITY_LONG_RESUME;
    }
    return s->class == CARO_CLASS_BACKGROUND ? CARO_PRIORITY_BACKGROUND
                                             : CARO_PRIORITY_INTERACTIVE;
}

/* Tokens that an engine without a cache would read for the session. */
static int64_t
prefill_of(const CaroSession *s)
{
    return (int64_t)s->cost - s->tokens_max + CaroJournal_Count(s->journal);
}

static int
open_stream(CaroSession *s, int slot, uint32_t attempt, CaroHandle h,
            bool is_resume)
{
    CaroNode *n = s->node;
    const CaroUpstream *u = CaroUpstreams_Get(n->upstreams, h);
    CaroEngineRequest r = {.id = s->id,
                           .attempt = attempt,
                           .address = u->address,
                           .model = s->deployment,
                           .version = u->version,
                           .prompt = s->prompt,
                           .tokens_max = s->tokens_max,
                           .prefix_tokens = CaroJournal_Count(s->journal),
                           .priority =
                               priority_of(s, is_resume, prefill_of(s))};
    r.prefix = CaroJournal_Text(s->journal, 0, &r.prefix_size);
    s->attempts[slot].stream =
        CaroEngine_Open(n->base, &r, on_engine_event, n);
    if (s->attempts[slot].stream == NULL) {
        return CARO_ERR_IO;
    }
    s->attempts[slot].attempt = attempt;
    s->attempts[slot].next_index = r.prefix_tokens;
    s->attempts[slot].started = CaroClock_Now();
    return 0;
}

/* Starts the attempt that was decided, or puts it off for a moment. */
static void
start_attempt(CaroSession *s, const CaroAction *a, CaroTime now)
{
    CaroNode *n = s->node;
    uint32_t attempt = a->u.start.attempt;
    int slot = find_attempt(s, 0);
    bool is_resume = a->u.start.is_resume || s->class == CARO_CLASS_RESUME;
    CaroNode_CheckVersion(s);
    CaroHandle h = choose_upstream(s, is_resume, now);
    if (h == CARO_NO_HANDLE || slot < 0 ||
        open_stream(s, slot, attempt, h, is_resume) < 0) {
        CaroGeneration_Deferred(s->generation, now + RETRY_WAIT);
        return;
    }
    CaroTime floor = n->settings.silence_floor_ms * CARO_MS;
    CaroTime ceiling = n->settings.silence_ceiling_ms * CARO_MS;
    CaroTime first = n->settings.first_token_ms * CARO_MS;
    CaroGeneration_Started(
        s->generation, attempt, h,
        CaroUpstreams_SilenceAfter(n->upstreams, h, floor, ceiling),
        CaroUpstreams_FirstTokenAfter(n->upstreams, h, 4 * floor, first), now,
        n->awake);
    CaroUpstreams_Started(n->upstreams, h);
    s->attempts[slot].prefill = prefill_of(s);
    CaroUpstreams_AddPrefill(n->upstreams, h, s->attempts[slot].prefill);
    if (a->u.start.is_standby) {
        CaroUpstreams_Doubt(n->upstreams, a->u.start.silent, now);
        n->standby_budget -= 1.0;
        CaroCounters_Add(&n->counters, CARO_COUNT_STANDBYS, 1);
    }
    if (!a->u.start.is_resume) {
        return;
    }
    CaroCounters_Add(&n->counters, CARO_COUNT_RESUMES, 1);
    CaroDecisions_Add(n->decisions, CaroClock_WallMs(), "resume",
                      CaroUpstreams_Get(n->upstreams, h)->name,
                      a->u.start.is_standby ? "standby attempt" : "resumed",
                      "generation %016llx, attempt %u, %u tokens so far",
                      (unsigned long long)s->id, attempt,
                      CaroJournal_Count(s->journal));
}

/* Takes the request from the session, which no longer hears of it. */
static struct evhttp_request *
detach_caller(CaroSession *s)
{
    struct evhttp_request *req = s->req;
    evhttp_connection_set_closecb(evhttp_request_get_connection(req), NULL,
                                  NULL);
    s->req = NULL;
    s->is_answering = false;
    s->caller_left = CaroClock_Now();
    return req;
}

static void
fail_session(CaroSession *s, int code)
{
    CaroNode *n = s->node;
    CaroCounters_Add(&n->counters, CARO_COUNT_GENERATIONS_FAILED, 1);
    if (s->req != NULL && !s->is_answering) {
        struct evhttp_request *req = detach_caller(s);
        CaroHttp_Problem(req, 503, CARO_RUN_UNKNOWN, "no upstream could serve",
                         "deployment %s: %s after %u attempts", s->deployment,
                         CaroError_Name(code),
                         CaroGeneration_Stats(s->generation)->attempts);
    }
    CaroNode_CloseSession(s, true);
}

/* Carries out decisions until none is left.  May close the session. */
void
CaroNode_Advance(CaroSession *s, CaroTime now)
{
    CaroNode *n = s->node;
    enum { ACTIONS_MAX = 16 };
    for (int i = 0; i < ACTIONS_MAX; i++) {
        CaroAction a = CaroGeneration_Decide(
            s->generation, n->standby_budget >= 1.0, now, n->awake);
        switch (a.kind) {
        case CARO_ACT_NONE:
            return;
        case CARO_ACT_START:
            start_attempt(s, &a, now);
            break;
        case CARO_ACT_CANCEL: {
            int slot = find_attempt(s, a.u.cancel.attempt);
            if (a.u.cancel.is_lost) {
                CaroNode_SampleFailure(s);
                CaroUpstreams_Failed(n->upstreams, a.u.cancel.upstream, now);
            }
            if (slot >= 0) {
                cancel_attempt(s, slot);
            }
            CaroGeneration_Cancelled(s->generation, a.u.cancel.attempt);
            break;
        }
        case CARO_ACT_END:
            if (!s->is_ended) {
                s->is_ended = true;
                CaroJournal_Finish(s->journal);
                CaroNode_MarkDirty(s);
            }
            return;
        case CARO_ACT_FAIL:
            fail_session(s, a.u.fail.code);
            return;
        }
    }
}

CaroSession *
CaroNode_FindSession(CaroNode *n, uint64_t id)
{
    CaroSession *s;
    HASH_FIND(hh, n->sessions, &id, sizeof(id), s);
    return s;
}

CaroAdmission *
CaroNode_AdmissionOf(CaroNode *n, const char *deployment)
{
    for (int i = 0; i < n->n_admissions; i++) {
        if (strcmp(n->admission_names[i], deployment) == 0) {
            return n->admissions[i];
        }
    }
    if (n->n_admissions == CARO_DEPLOYMENTS_MAX) {
        return NULL;
    }
    CaroAdmission *a = CaroAdmission_Create((int)n->settings.queue_max);
    if (a != NULL) {
        enum { LIMIT_START = 64 /* Until the first load reports. */ };
        CaroAdmission_SetLimit(a, LIMIT_START);
        CARO_COPY(n->admission_names[n->n_admissions], deployment);
        n->admissions[n->n_admissions++] = a;
    }
    return a;
}

CaroSession *
CaroNode_OpenSession(CaroNode *n, uint64_t id, uint32_t epoch, json_t *request,
                     const char *text, size_t size, CaroTime now)
{
    CaroSession *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return NULL;
    }
    s->journal = CaroJournalTable_Open(n->own, id, epoch, text, size, now);
    if (s->journal == NULL) {
        free(s);
        return NULL;
    }
    s->node = n;
    s->id = id;
    s->request = json_incref(request);
    s->account = json_string_value(json_object_get(request, "account"));
    s->deployment = json_string_value(json_object_get(request, "model"));
    s->prompt = json_string_value(json_object_get(request, "prompt"));
    s->tokens_max =
        (uint32_t)json_integer_value(json_object_get(request, "max_tokens"));
    s->class = json_is_true(json_object_get(request, "background"))
                   ? CARO_CLASS_BACKGROUND
                   : CARO_CLASS_INTERACTIVE;
    enum { BYTES_PER_TOKEN = 4 };
    size_t prompt_size = strlen(s->prompt);
    s->cost = (double)s->tokens_max + (double)prompt_size / BYTES_PER_TOKEN;
    s->prefix_hash = CaroRouter_PrefixHash(s->prompt, prompt_size);
    s->backup = CaroMembership_ChooseBackup(n->membership, id, now);
    s->started = now;
    s->caller_left = now;
    HASH_ADD(hh, n->sessions, id, sizeof(s->id), s);
    return s;
}

/* The session is admitted: its attempts may start. */
void
CaroNode_StartSession(CaroSession *s, CaroTime now)
{
    CaroNode *n = s->node;
    CaroGenerationLimits limits = {
        .silence_floor = n->settings.silence_floor_ms * CARO_MS,
        .silence_ceiling = n->settings.silence_ceiling_ms * CARO_MS,
        .first_token = n->settings.first_token_ms * CARO_MS,
        .attempts_max = ATTEMPTS_MAX};
    uint32_t count = CaroJournal_Count(s->journal);
    s->is_admitted = true;
    CaroNode_PickVersion(s, CaroClock_WallMs());
    s->generation = CaroGeneration_Create(&limits, count, s->tokens_max,
                                          now + GENERATION_DEADLINE, now);
    if (s->generation == NULL) {
        CaroNode_CloseSession(s, false);
        return;
    }
    CaroCounters_Add(&n->counters, CARO_COUNT_GENERATIONS, 1);
    CaroNode_Advance(s, now);
}

static void
on_caller_closed(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    CaroSession *s = arg;
    s->req = NULL;
    s->is_answering = false;
    s->caller_left = CaroClock_Now();
    if (!s->is_admitted) {
        CaroNode_CloseSession(s, CaroJournal_Count(s->journal) > 0);
    }
}

/* Closes the caller's connection in the middle of an answer. */
static void
drop_caller(CaroSession *s)
{
    if (s->req != NULL) {
        struct evhttp_request *req = detach_caller(s);
        evhttp_connection_free(evhttp_request_get_connection(req));
    }
}

void
CaroNode_AttachCaller(CaroSession *s, struct evhttp_request *req,
                      uint32_t from, CaroTime now)
{
    drop_caller(s);
    s->req = req;
    s->sent = from;
    struct evhttp_connection *c = evhttp_request_get_connection(req);
    evhttp_connection_set_closecb(c, on_caller_closed, s);
    /* The header timeout was for the request; a long answer has none. */
    enum { ANSWER_TIMEOUT_S = 3600 };
    evhttp_connection_set_timeout(c, ANSWER_TIMEOUT_S);
    /* evhttp stops reading while it answers; a close is seen by reading. */
    bufferevent_enable(evhttp_connection_get_bufferevent(c), EV_READ);
    CaroNode_Deliver(s, now);
}

/* The head of the answer goes out with the first token, so that a
   request that gets none can still be refused. */
static void
start_answer(CaroSession *s)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(s->req);
    evhttp_add_header(headers, "Content-Type", "text/event-stream");
    evhttp_add_header(headers, "Cache-Control", "no-store");
    evhttp_send_reply_start(s->req, HTTP_OK, "OK");
    struct evhttp_connection *c = evhttp_request_get_connection(s->req);
    bufferevent_enable(evhttp_connection_get_bufferevent(c), EV_READ);
    s->is_answering = true;
}

static void
add_token(CaroSession *s, uint32_t index, struct evbuffer *out)
{
    char id[SSE_LINE_MAX];
    size_t size;
    const char *text = CaroJournal_Token(s->journal, index, &size);
    json_t *string = json_stringn_nocheck(text, size);
    char *quoted = json_dumps(string, JSON_ENCODE_ANY);
    CaroNode_FormatEventId(s, index, id, sizeof(id));
    evbuffer_add_printf(out,
                        "id: %s\ndata: {\"choices\":[{\"index\":0,"
                        "\"text\":%s}]}\n\n",
                        id, quoted == NULL ? "\"\"" : quoted);
    free(quoted);
    json_decref(string);
}

static void
finish_answer(CaroSession *s, struct evbuffer *out)
{
    uint32_t count = CaroJournal_Count(s->journal);
    evbuffer_add_printf(out,
                        "data: {\"choices\":[{\"index\":0,\"text\":\"\","
                        "\"finish_reason\":\"length\"}],\"usage\":"
                        "{\"completion_tokens\":%u}}\n\ndata: [DONE]\n\n",
                        count);
    struct evhttp_request *req = detach_caller(s);
    evhttp_send_reply_chunk(req, out);
    evhttp_send_reply_end(req);
    CaroCounters_Add(&s->node->counters, CARO_COUNT_GENERATIONS_DONE, 1);
    CaroNode_CloseSession(s, true);
}

static bool
is_caller_slow(const CaroSession *s)
{
    struct evhttp_connection *c = evhttp_request_get_connection(s->req);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(c);
    size_t unsent = evbuffer_get_length(bufferevent_get_output(bev));
    return unsent > (size_t)s->node->settings.caller_buffer_max;
}

/* Sends the caller what the backup holds.  May close the session. */
void
CaroNode_Deliver(CaroSession *s, CaroTime now)
{
    (void)now;
    CaroNode *n = s->node;
    if (s->req == NULL) {
        return;
    }
    if (is_caller_slow(s)) {
        CaroCounters_Add(&n->counters, CARO_COUNT_CALLERS_SLOW, 1);
        drop_caller(s);
        return;
    }
    struct evbuffer *out = evbuffer_new();
    if (out == NULL) {
        return;
    }
    bool is_whole = s->is_ended && s->acked == CaroJournal_Count(s->journal);
    if (!s->is_answering && (s->sent < s->acked || is_whole)) {
        start_answer(s);
    }
    while (s->sent < s->acked) {
        add_token(s, s->sent, out);
        s->sent++;
        CaroCounters_Add(&n->counters, CARO_COUNT_TOKENS, 1);
    }
    if (is_whole) {
        finish_answer(s, out);
    }
    else if (evbuffer_get_length(out) > 0) {
        evhttp_send_reply_chunk(s->req, out);
    }
    evbuffer_free(out);
}

void
CaroNode_CloseSession(CaroSession *s, bool keeps_journal)
{
    CaroNode *n = s->node;
    drop_caller(s);
    for (int i = 0; i < 2; i++) {
        if (s->attempts[i].attempt != 0) {
            cancel_attempt(s, i);
        }
    }
    CaroNode_Unmark(s);
    if (s->admission != NULL && s->is_admitted) {
        CaroAdmission_Release(s->admission, s->cost, CaroClock_Now());
    }
    else if (s->admission != NULL) {
        CaroAdmission_Withdraw(s->admission, s->id);
    }
    if (!keeps_journal) {
        CaroJournalTable_Remove(n->own, s->id);
    }
    HASH_DEL(n->sessions, s);
    CaroGeneration_Destroy(s->generation);
    json_decref(s->request);
    free(s);
}

void
CaroNode_AdmitWaiting(CaroNode *n, CaroTime now)
{
    for (int i = 0; i < n->n_admissions; i++) {
        uint64_t id;
        while (CaroAdmission_Next(n->admissions[i], &id, now)) {
            CaroSession *s = CaroNode_FindSession(n, id);
            if (s != NULL) {
                CaroNode_StartSession(s, now);
            }
        }
    }
}

static bool
is_abandoned(const CaroSession *s, CaroTime now)
{
    CaroTime wait = s->node->settings.reconnect_ms * CARO_MS;
    return s->req == NULL && now - s->caller_left > wait;
}

/* Ends the answer in good order and tells the caller to come back. */
static void
send_reconnect(CaroSession *s)
{
    if (s->req == NULL) {
        return;
    }
    if (!s->is_answering) {
        start_answer(s);
    }
    struct evbuffer *out = evbuffer_new();
    struct evhttp_request *req = detach_caller(s);
    evbuffer_add_printf(out, "event: reconnect\ndata: {}\n\n");
    evhttp_send_reply_chunk(req, out);
    evhttp_send_reply_end(req);
    evbuffer_free(out);
}

/*
 * A leaving node hands its long generations to other VMs: it stops their
 * attempts, waits until the backup holds every token and the caller got
 * it, and sends the caller elsewhere.  May close the session.
 */
static void
hand_over(CaroSession *s)
{
    for (int i = 0; i < 2; i++) {
        if (s->attempts[i].attempt != 0) {
            cancel_attempt(s, i);
        }
    }
    CaroGeneration_Destroy(s->generation);
    s->generation = NULL;
    bool is_safe = s->backup != CARO_NO_HANDLE && s->is_opened &&
                   s->acked == CaroJournal_Count(s->journal);
    if (is_safe && (s->req == NULL || s->sent == s->acked)) {
        send_reconnect(s);
        CaroNode_CloseSession(s, true);
    }
}

static bool
is_to_be_handed_over(const CaroSession *s, CaroTime now)
{
    const CaroNode *n = s->node;
    CaroTime half = n->settings.drain_ms * CARO_MS / 2;
    return n->is_draining && s->is_admitted && !s->is_ended &&
           now >= n->drain_until - half;
}

/* Silence of an upstream towards one generation warns the others. */
static void
suspect_attempts(CaroSession *s, CaroTime now)
{
    for (int i = 0; i < 2; i++) {
        uint32_t attempt = s->attempts[i].attempt;
        CaroHandle h = CARO_NO_HANDLE;
        if (attempt != 0) {
            h = CaroGeneration_UpstreamOf(s->generation, attempt);
        }
        if (h != CARO_NO_HANDLE &&
            CaroUpstreams_IsDoubted(s->node->upstreams, h, now)) {
            CaroGeneration_Suspect(s->generation, attempt);
        }
    }
}

void
CaroNode_TickSessions(CaroNode *n, CaroTime now)
{
    CaroSession *s;
    CaroSession *next;
    HASH_ITER(hh, n->sessions, s, next)
    {
        CaroJournal_Touch(s->journal, now);
        if (is_abandoned(s, now)) {
            CaroNode_CloseSession(s, true);
        }
        else if (is_to_be_handed_over(s, now)) {
            hand_over(s);
        }
        else if (s->generation != NULL) {
            suspect_attempts(s, now);
            CaroNode_Advance(s, now);
        }
    }
}
