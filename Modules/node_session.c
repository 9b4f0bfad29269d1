/*
 * Sessions: generations in service at this node, from their admission to
 * their end.
 *
 * A session is closed when the caller has the whole answer, when the
 * caller stays away, when another VM takes the generation over, or when no
 * attempt can go on.
 */
#include "internal/caro_node_state.h"

#include <stdlib.h>
#include <string.h>

#define GENERATION_DEADLINE (3600 * CARO_SECOND)

enum { ATTEMPTS_MAX = 12 };

CaroSession *
CaroNode_FindSession(CaroNode *n, uint64_t id)
{
    CaroSession *s;
    HASH_FIND(hh, n->sessions, &id, sizeof(id), s);
    return s;
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
    s->backup = CaroMembership_ChooseBackup(n->common.membership, id, now);
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
        .silence_floor = n->common.settings->silence_floor_ms * CARO_MS,
        .silence_ceiling = n->common.settings->silence_ceiling_ms * CARO_MS,
        .first_token = n->common.settings->first_token_ms * CARO_MS,
        .attempts_max = ATTEMPTS_MAX};
    uint32_t count = CaroJournal_Count(s->journal);
    s->is_admitted = true;
    CaroVersionMoves_Pick(n->moves, s->deployment, &s->choice,
                          CaroClock_WallMs());
    s->generation = CaroGeneration_Create(&limits, count, s->tokens_max,
                                          now + GENERATION_DEADLINE, now);
    if (s->generation == NULL) {
        CaroNode_CloseSession(s, false);
        return;
    }
    CaroCounters_Add(n->common.counters, CARO_COUNT_GENERATIONS, 1);
    CaroNode_Advance(s, now);
}

void
CaroNode_CloseSession(CaroSession *s, bool keeps_journal)
{
    CaroNode *n = s->node;
    CaroNode_DropCaller(s);
    CaroNode_CancelAttempts(s);
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
    for (int i = 0; i < CaroAdmissions_Count(n->admissions); i++) {
        const char *deployment;
        CaroAdmission *a = CaroAdmissions_At(n->admissions, i, &deployment);
        uint64_t id;
        while (CaroAdmission_Next(a, &id, now)) {
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
    CaroTime wait = s->node->common.settings->reconnect_ms * CARO_MS;
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
    CaroNode_CancelAttempts(s);
    CaroGeneration_Destroy(s->generation);
    s->generation = NULL;
    bool is_safe = s->backup != CARO_NO_HANDLE && s->is_opened &&
                   s->acked == CaroJournal_Count(s->journal);
    if (is_safe && (s->req == NULL || s->sent == s->acked)) {
        CaroNode_SendReconnect(s);
        CaroNode_CloseSession(s, true);
    }
}

static bool
is_to_be_handed_over(const CaroSession *s, CaroTime now)
{
    const CaroNode *n = s->node;
    CaroTime half = n->common.settings->drain_ms * CARO_MS / 2;
    return n->is_draining && s->is_admitted && !s->is_ended &&
           now >= n->drain_until - half;
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
            CaroNode_SuspectAttempts(s, now);
            CaroNode_Advance(s, now);
        }
    }
}
