/*
 * Sessions: the active generations of this VM, from admission to the end.
 *
 * A session is closed when the caller has the complete response, when the
 * caller does not reconnect in time, when another VM takes the generation
 * over, or when the generation fails.
 */
#include "internal/caro_session.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_reply.h"
#include "internal/caro_log.h"
#include "internal/caro_router.h"

#include <stdlib.h>
#include <string.h>

#define GENERATION_DURATION_MAX (3600 * CARO_SECOND)

/* Standby attempts duplicate work, so they are limited by a token bucket: two
   per second (0.04 per 20 ms tick) and bursts of eight. */
#define STANDBY_BUDGET_MAX 8.0
#define STANDBY_BUDGET_PER_TICK 0.04
/* An unfinished replica is kept longer than the time within which its owner
   may come back. */
#define REPLICA_TTL (120 * CARO_SECOND)

enum { ATTEMPTS_MAX = 12 };

static const CaroSessionEvents events;

CaroSessions *
CaroSessions_Create(const CaroCommon *common, const CaroSessionDeps *deps)
{
    CaroSessions *all = calloc(1, sizeof(*all));
    if (all == NULL) {
        return NULL;
    }
    size_t table_bytes_max = (size_t)common->settings->journal_bytes_max / 2;
    all->common = *common;
    all->deps = *deps;
    all->events = &events;
    all->standby_budget = STANDBY_BUDGET_MAX;
    all->owned = CaroJournalTable_Create(table_bytes_max);
    all->replicas = CaroJournalTable_Create(table_bytes_max);
    if (all->owned == NULL || all->replicas == NULL) {
        CaroSessions_Destroy(all);
        return NULL;
    }
    return all;
}

void
CaroSessions_CloseAll(CaroSessions *all)
{
    CaroSession *s;
    CaroSession *next;
    if (all == NULL) {
        return;
    }
    HASH_ITER(hh, all->by_id, s, next)
    {
        CaroSession_Close(s, false);
    }
}

void
CaroSessions_Destroy(CaroSessions *all)
{
    if (all == NULL) {
        return;
    }
    CaroSessions_CloseAll(all);
    if (all->flush_event != NULL) {
        event_free(all->flush_event);
    }
    CaroJournalTable_Destroy(all->owned);
    CaroJournalTable_Destroy(all->replicas);
    free(all);
}

void
CaroSessions_Expire(CaroSessions *all, CaroTime now)
{
    CaroTime retention = all->common.settings->journal_retention_ms * CARO_MS;
    (void)CaroJournalTable_Expire(all->owned, now - retention,
                                  now - retention);
    (void)CaroJournalTable_Expire(all->replicas, now - retention,
                                  now - REPLICA_TTL);
}

void
CaroSessions_Drain(CaroSessions *all, CaroTime deadline)
{
    all->is_draining = true;
    all->drain_deadline = deadline;
}

CaroSession *
CaroSession_Open(CaroSessions *all, uint64_t id, uint32_t epoch,
                 json_t *request, const char *text, size_t size, CaroTime now)
{
    CaroSession *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return NULL;
    }
    s->journal = CaroJournalTable_Open(all->owned, id, epoch, text, size, now);
    if (s->journal == NULL) {
        free(s);
        return NULL;
    }
    s->sessions = all;
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
    s->backup = CaroMembership_ChooseBackup(all->common.membership, id, now);
    s->started_at = now;
    s->disconnected_at = now;
    HASH_ADD(hh, all->by_id, id, sizeof(s->id), s);
    return s;
}

/* Starts the first attempt of a session that was admitted. */
void
CaroSession_Start(CaroSession *s, CaroTime now)
{
    CaroSessions *all = s->sessions;
    CaroGenerationLimits limits = {
        .silence_floor = all->common.settings->silence_floor_ms * CARO_MS,
        .silence_ceiling = all->common.settings->silence_ceiling_ms * CARO_MS,
        .first_token_ceiling =
            all->common.settings->first_token_ceiling_ms * CARO_MS,
        .attempts_max = ATTEMPTS_MAX};
    uint32_t count = CaroJournal_Count(s->journal);
    s->is_admitted = true;
    CaroDeploymentRollouts_ChooseVersion(all->deps.rollouts, s->deployment,
                                         &s->choice, CaroClock_WallMs());
    s->generation = CaroGeneration_Create(&limits, count, s->tokens_max,
                                          now + GENERATION_DURATION_MAX, now);
    if (s->generation == NULL) {
        CaroSession_Close(s, false);
        return;
    }
    CaroCounters_Add(all->common.counters, CARO_COUNT_GENERATIONS, 1);
    CaroSession_Advance(s, now);
}

void
CaroSession_Close(CaroSession *s, bool keeps_journal)
{
    CaroSessions *all = s->sessions;
    CaroSession_DropCaller(s);
    CaroSession_CancelAttempts(s);
    CaroSession_ClearDirty(s);
    if (s->admission != NULL && s->is_admitted) {
        CaroAdmission_Release(s->admission, s->cost, CaroClock_Now());
    }
    else if (s->admission != NULL) {
        CaroAdmission_Withdraw(s->admission, s->id);
    }
    if (!keeps_journal) {
        CaroJournalTable_Remove(all->owned, s->id);
    }
    HASH_DEL(all->by_id, s);
    CaroGeneration_Destroy(s->generation);
    json_decref(s->request);
    free(s);
}

static void
admit_queued(CaroSessions *all, CaroTime now)
{
    for (int i = 0; i < CaroAdmissions_Count(all->deps.admissions); i++) {
        const char *deployment;
        CaroAdmission *a =
            CaroAdmissions_GetAt(all->deps.admissions, i, &deployment);
        uint64_t id;
        while (CaroAdmission_Next(a, &id, now)) {
            CaroSession *s = CaroSession_Find(all, id);
            if (s != NULL) {
                CaroSession_Start(s, now);
            }
        }
    }
}

static bool
is_abandoned(const CaroSession *s, CaroTime now)
{
    CaroTime wait =
        s->sessions->common.settings->reconnect_timeout_ms * CARO_MS;
    return s->req == NULL && now - s->disconnected_at > wait;
}

/*
 * Hands a generation over to another VM during a drain: stops its attempts,
 * waits until the backup has acknowledged every token and the caller has been
 * sent them, and then has the caller reconnect to another VM.  Called on each
 * tick until it closes the session.
 */
static void
hand_over(CaroSession *s)
{
    CaroSession_CancelAttempts(s);
    CaroGeneration_Destroy(s->generation);
    s->generation = NULL;
    bool is_replicated = s->backup != CARO_NO_HANDLE && s->has_sent_request &&
                         s->backup_acked == CaroJournal_Count(s->journal);
    if (is_replicated &&
        (s->req == NULL || s->caller_sent == s->backup_acked)) {
        CaroSession_SendReconnect(s);
        CaroSession_Close(s, true);
    }
}

static bool
should_hand_over(const CaroSession *s, CaroTime now)
{
    const CaroSessions *all = s->sessions;
    CaroTime hand_over_time =
        all->common.settings->drain_timeout_ms * CARO_MS / 2;
    return all->is_draining && s->is_admitted && !s->is_complete &&
           now >= all->drain_deadline - hand_over_time;
}

void
CaroSessions_Tick(CaroSessions *all, CaroTime awake_time, CaroTime now)
{
    all->awake_time = awake_time;
    all->standby_budget += STANDBY_BUDGET_PER_TICK;
    if (all->standby_budget > STANDBY_BUDGET_MAX) {
        all->standby_budget = STANDBY_BUDGET_MAX;
    }
    CaroSession *s;
    CaroSession *next;
    HASH_ITER(hh, all->by_id, s, next)
    {
        CaroJournal_Touch(s->journal, now);
        if (is_abandoned(s, now)) {
            CaroSession_Close(s, true);
        }
        else if (should_hand_over(s, now)) {
            hand_over(s);
        }
        else if (s->generation != NULL) {
            CaroSession_SuspectAttempts(s, now);
            CaroSession_Advance(s, now);
        }
    }
    admit_queued(all, now);
}

CaroSessionResult
CaroSessions_Begin(CaroSessions *all, CaroCall *req, json_t *body,
                   const char *text, size_t size, CaroTime *expected_wait,
                   CaroTime now)
{
    CaroSession *s =
        CaroSession_Open(all, CaroClock_Random(), 1, body, text, size, now);
    if (s == NULL) {
        return CARO_SESSION_JOURNAL_FULL;
    }
    CaroAdmission *a =
        CaroAdmissions_GetOrCreate(all->deps.admissions, s->deployment);
    CaroAdmissionResult result = {.kind = CARO_REFUSED};
    CaroAdmissionRequest admission_request = {
        .id = s->id,
        .account = s->account,
        .class = s->class,
        .cost = s->cost,
        .max_wait = all->common.settings->queue_wait_max_ms * CARO_MS};
    if (a != NULL) {
        result = CaroAdmission_Request(a, &admission_request, now);
    }
    if (result.kind == CARO_REFUSED) {
        *expected_wait = result.expected_wait;
        CaroSession_Close(s, false);
        return CARO_SESSION_REFUSED;
    }
    s->admission = a;
    CaroSession_Attach(s, req, 0, now);
    if (result.kind == CARO_ADMITTED) {
        CaroSession_Start(s, now);
    }
    return CARO_SESSION_ACCEPTED;
}

void
CaroSession_TakeOver(CaroSessions *all, uint64_t id,
                     caro_takeover_reply *reply)
{
    CaroSession *s = CaroSession_Find(all, id);
    if (s != NULL) {
        CaroSession_Close(s, true);
    }
    CaroSession_HandOver(all, id, reply);
}

void
CaroSessions_OnTakeover(CaroSessions *all, CaroRpcRequest *request,
                        const caro_takeover_args *args)
{
    caro_takeover_reply reply = {.upstream = ""};
    CaroSession_TakeOver(all, args->id, &reply);
    CaroRpc_Reply(request, &reply);
}

/* A queued request is withdrawn when its caller disconnects; an admitted one
   keeps running so that the caller can reconnect. */
static void
on_caller_disconnected(CaroSession *s)
{
    if (!s->is_admitted) {
        CaroSession_Close(s, CaroJournal_Count(s->journal) > 0);
    }
}

static void
on_response_complete(CaroSession *s)
{
    CaroSession_Close(s, true);
}

static void
on_fenced(CaroSession *s)
{
    CaroLog_Info("journal",
                 "Another VM took the generation over. generation=%016llx",
                 (unsigned long long)s->id);
    CaroSession_Close(s, true);
}

static void
on_journal_full(CaroSession *s)
{
    CaroSession_Close(s, false);
}

static void
on_failed(CaroSession *s, int code)
{
    CaroSessions *all = s->sessions;
    CaroCounters_Add(all->common.counters, CARO_COUNT_GENERATIONS_FAILED, 1);
    if (s->req != NULL && !s->is_response_started) {
        CaroCall *req = CaroSession_Detach(s);
        CaroHttp_SendProblem(req, 503, CARO_RUN_UNKNOWN,
                             "no upstream could serve",
                             "deployment %s: %s after %u attempts",
                             s->deployment, CaroError_Name(code),
                             CaroGeneration_Stats(s->generation)->attempts);
    }
    CaroSession_Close(s, true);
}

static const CaroSessionEvents events = {
    .on_caller_disconnected = on_caller_disconnected,
    .on_response_complete = on_response_complete,
    .on_acked = CaroSession_Deliver,
    .on_fenced = on_fenced,
    .on_journal_full = on_journal_full,
    .on_failed = on_failed};
