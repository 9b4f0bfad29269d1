/*
 * Sessions: generations in service at this node, from their admission to
 * their end.
 *
 * A session is closed when the caller has the whole answer, when the
 * caller stays away, when another VM takes the generation over, or when no
 * attempt can go on.
 */
#include "internal/caro_session.h"

#include "internal/caro_clock.h"
#include "internal/caro_http.h"
#include "internal/caro_log.h"
#include "internal/caro_router.h"

#include <stdlib.h>
#include <string.h>

#define GENERATION_DEADLINE (3600 * CARO_SECOND)

/* Standby attempts are duplicate work: two a second and short bursts. */
#define STANDBY_BUDGET_MAX 8.0
#define STANDBY_BUDGET_PER_TICK 0.04
/* A copy outlives the time in which its owner may come back. */
#define COPY_KEEP (120 * CARO_SECOND)

enum { ATTEMPTS_MAX = 12 };

static const CaroSessionEvents events;

CaroSessions *
CaroSessions_Create(const CaroCommon *common, const CaroSessionDeps *parts)
{
    CaroSessions *all = calloc(1, sizeof(*all));
    if (all == NULL) {
        return NULL;
    }
    size_t half = (size_t)common->settings->journal_bytes_max / 2;
    all->common = *common;
    all->parts = *parts;
    all->events = &events;
    all->standby_budget = STANDBY_BUDGET_MAX;
    all->own = CaroJournalTable_Create(half);
    all->copies = CaroJournalTable_Create(half);
    if (all->own == NULL || all->copies == NULL) {
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
    CaroJournalTable_Destroy(all->own);
    CaroJournalTable_Destroy(all->copies);
    free(all);
}

void
CaroSessions_Expire(CaroSessions *all, CaroTime now)
{
    CaroTime keep = all->common.settings->journal_retention_ms * CARO_MS;
    (void)CaroJournalTable_Expire(all->own, now - keep, now - keep);
    (void)CaroJournalTable_Expire(all->copies, now - keep, now - COPY_KEEP);
}

void
CaroSessions_Drain(CaroSessions *all, CaroTime until)
{
    all->is_draining = true;
    all->drain_until = until;
}

CaroSession *
CaroSession_Open(CaroSessions *all, uint64_t id, uint32_t epoch,
                 json_t *request, const char *text, size_t size, CaroTime now)
{
    CaroSession *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return NULL;
    }
    s->journal = CaroJournalTable_Open(all->own, id, epoch, text, size, now);
    if (s->journal == NULL) {
        free(s);
        return NULL;
    }
    s->all = all;
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
    s->started = now;
    s->caller_left = now;
    HASH_ADD(hh, all->by_id, id, sizeof(s->id), s);
    return s;
}

/* The session is admitted: its attempts may start. */
void
CaroSession_Start(CaroSession *s, CaroTime now)
{
    CaroSessions *all = s->all;
    CaroGenerationLimits limits = {
        .silence_floor = all->common.settings->silence_floor_ms * CARO_MS,
        .silence_ceiling = all->common.settings->silence_ceiling_ms * CARO_MS,
        .first_token_ceiling =
            all->common.settings->first_token_ceiling_ms * CARO_MS,
        .attempts_max = ATTEMPTS_MAX};
    uint32_t count = CaroJournal_Count(s->journal);
    s->is_admitted = true;
    CaroDeploymentRollouts_Pick(all->parts.moves, s->deployment, &s->choice,
                                CaroClock_WallMs());
    s->generation = CaroGeneration_Create(&limits, count, s->tokens_max,
                                          now + GENERATION_DEADLINE, now);
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
    CaroSessions *all = s->all;
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
        CaroJournalTable_Remove(all->own, s->id);
    }
    HASH_DEL(all->by_id, s);
    CaroGeneration_Destroy(s->generation);
    json_decref(s->request);
    free(s);
}

static void
admit_waiting(CaroSessions *all, CaroTime now)
{
    for (int i = 0; i < CaroAdmissions_Count(all->parts.admissions); i++) {
        const char *deployment;
        CaroAdmission *a =
            CaroAdmissions_GetAt(all->parts.admissions, i, &deployment);
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
    CaroTime wait = s->all->common.settings->reconnect_timeout_ms * CARO_MS;
    return s->req == NULL && now - s->caller_left > wait;
}

/*
 * A leaving node hands its long generations to other VMs: it stops their
 * attempts, waits until the backup holds every token and the caller got
 * it, and sends the caller elsewhere.  May close the session.
 */
static void
hand_over(CaroSession *s)
{
    CaroSession_CancelAttempts(s);
    CaroGeneration_Destroy(s->generation);
    s->generation = NULL;
    bool is_safe = s->backup != CARO_NO_HANDLE && s->is_opened &&
                   s->acked == CaroJournal_Count(s->journal);
    if (is_safe && (s->req == NULL || s->sent == s->acked)) {
        CaroSession_SendReconnect(s);
        CaroSession_Close(s, true);
    }
}

static bool
is_to_be_handed_over(const CaroSession *s, CaroTime now)
{
    const CaroSessions *all = s->all;
    CaroTime half = all->common.settings->drain_timeout_ms * CARO_MS / 2;
    return all->is_draining && s->is_admitted && !s->is_ended &&
           now >= all->drain_until - half;
}

void
CaroSessions_Tick(CaroSessions *all, CaroTime awake, CaroTime now)
{
    all->awake = awake;
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
        else if (is_to_be_handed_over(s, now)) {
            hand_over(s);
        }
        else if (s->generation != NULL) {
            CaroSession_SuspectAttempts(s, now);
            CaroSession_Advance(s, now);
        }
    }
    admit_waiting(all, now);
}

CaroSessionResult
CaroSessions_Begin(CaroSessions *all, struct evhttp_request *req, json_t *body,
                   const char *text, size_t size, CaroTime *expected_wait,
                   CaroTime now)
{
    CaroSession *s =
        CaroSession_Open(all, CaroClock_Random(), 1, body, text, size, now);
    if (s == NULL) {
        return CARO_SESSION_JOURNAL_FULL;
    }
    CaroAdmission *a =
        CaroAdmissions_GetOrCreate(all->parts.admissions, s->deployment);
    CaroAdmissionResult v = {.kind = CARO_REFUSED};
    CaroAdmissionRequest offer = {
        .id = s->id,
        .account = s->account,
        .class = s->class,
        .cost = s->cost,
        .patience = all->common.settings->queue_wait_max_ms * CARO_MS};
    if (a != NULL) {
        v = CaroAdmission_Request(a, &offer, now);
    }
    if (v.kind == CARO_REFUSED) {
        *expected_wait = v.expected_wait;
        CaroSession_Close(s, false);
        return CARO_SESSION_REFUSED;
    }
    s->admission = a;
    CaroSession_Attach(s, req, 0, now);
    if (v.kind == CARO_ADMITTED) {
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

/* A caller that waited its turn and left does not want it any more. */
static void
on_caller_left(CaroSession *s)
{
    if (!s->is_admitted) {
        CaroSession_Close(s, CaroJournal_Count(s->journal) > 0);
    }
}

static void
on_answered(CaroSession *s)
{
    CaroSession_Close(s, true);
}

static void
on_fenced(CaroSession *s)
{
    CaroLog_Info("journal", "A newer owner took over. generation=%016llx",
                 (unsigned long long)s->id);
    CaroSession_Close(s, true);
}

static void
on_full(CaroSession *s)
{
    CaroSession_Close(s, false);
}

static void
on_failed(CaroSession *s, int code)
{
    CaroSessions *all = s->all;
    CaroCounters_Add(all->common.counters, CARO_COUNT_GENERATIONS_FAILED, 1);
    if (s->req != NULL && !s->is_answering) {
        struct evhttp_request *req = CaroSession_Detach(s);
        CaroHttp_Problem(req, 503, CARO_RUN_UNKNOWN, "no upstream could serve",
                         "deployment %s: %s after %u attempts", s->deployment,
                         CaroError_Name(code),
                         CaroGeneration_Stats(s->generation)->attempts);
    }
    CaroSession_Close(s, true);
}

static const CaroSessionEvents events = {.on_caller_left = on_caller_left,
                                         .on_answered = on_answered,
                                         .on_acked = CaroSession_Deliver,
                                         .on_fenced = on_fenced,
                                         .on_full = on_full,
                                         .on_failed = on_failed};
