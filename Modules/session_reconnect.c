/*
 * Callers that reconnect with the id of the last event they received.
 *
 * The id names the generation, its owner, its backup and the index of the
 * token, so that any VM can find the journal: on this VM, on the owner or on
 * the backup, tried in this order.  The VM that gets the journal becomes the
 * owner under a higher epoch, and backups refuse entries of the old owner.
 */
#include "internal/caro_session.h"

#include "internal/caro_clock.h"
#include "internal/caro_event_id.h"
#include "internal/caro_http_reply.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TAKEOVER_TIMEOUT (400 * CARO_MS)
#define RESUME_WAIT_MAX (60 * CARO_SECOND)

/* A takeover in progress. */
typedef struct {
    CaroSessions *sessions;
    CaroCall *req; /* NULL once the caller disconnected. */
    CaroEventId event;
    bool has_tried_backup;
} Takeover;

/* Attaches the caller and sends the tokens after "index", the last one it
   received. */
static void
attach(CaroSession *s, CaroCall *req, uint32_t index, CaroTime now)
{
    if (index >= CaroJournal_Count(s->journal)) {
        CaroHttp_SendProblem(req, 409, CARO_RUN_UNKNOWN, "tokens are missing",
                             "the journal of %016" PRIx64
                             " holds %u tokens, the "
                             "caller has %u; start a new request",
                             s->id, CaroJournal_Count(s->journal), index + 1);
        return;
    }
    CaroCounters_Add(s->sessions->common.counters, CARO_COUNT_RECONNECTS, 1);
    CaroSession_Attach(s, req, index + 1, now);
}

static void
reject_lost(CaroCall *req, const CaroEventId *e)
{
    CaroHttp_SendProblem(req, 410, CARO_RUN_UNKNOWN, "the generation is lost",
                         "neither its owner %s nor its backup %s has the "
                         "journal of %016" PRIx64 "; start a new request",
                         e->owner, e->backup[0] == '\0' ? "-" : e->backup,
                         e->id);
}

/* Opens a session under the next epoch from a journal of another VM, or from
   that of a session closed here.  Returns NULL when there is no room or the
   journal is invalid. */
static CaroSession *
open_from_journal(CaroSessions *all, const CaroEventId *e,
                  const caro_takeover_reply *r, CaroTime now)
{
    json_t *request =
        json_loadb(r->request.request_val, r->request.request_len, 0, NULL);
    if (request == NULL) {
        return NULL;
    }
    CaroJournalTable_Remove(all->owned, e->id);
    CaroSession *s =
        CaroSession_Open(all, e->id, r->epoch + 1, request,
                         r->request.request_val, r->request.request_len, now);
    json_decref(request);
    if (s == NULL) {
        return NULL;
    }
    if (CaroJournal_Merge(s->journal, "", r->epoch + 1, 0, r->bytes.bytes_val,
                          r->bytes.bytes_len, r->ends.ends_val,
                          r->ends.ends_len, now) < 0) {
        CaroSession_Close(s, false);
        return NULL;
    }
    CaroJournal_SetUpstream(s->journal, r->upstream);
    s->admission =
        CaroAdmissions_GetOrCreate(all->deps.admissions, s->deployment);
    s->class = CARO_CLASS_RESUME;
    return s;
}

/* Admits the session and attaches the caller.  A resumed generation is
   admitted before new work, and is started even when admission refuses it. */
static void
resume_session(CaroSession *s, CaroCall *req, uint32_t index, CaroTime now)
{
    uint64_t id = s->id;
    CaroSessions *all = s->sessions;
    if (s->admission != NULL) {
        CaroAdmissionRequest admission_request = {.id = id,
                                                  .account = s->account,
                                                  .class = CARO_CLASS_RESUME,
                                                  .cost = s->cost,
                                                  .max_wait = RESUME_WAIT_MAX};
        CaroAdmissionResult result =
            CaroAdmission_Request(s->admission, &admission_request, now);
        if (result.kind == CARO_REFUSED) {
            s->admission = NULL;
        }
        if (result.kind == CARO_QUEUED) {
            attach(s, req, index, now);
            return;
        }
    }
    CaroSession_Start(s, now);
    s = CaroSession_Find(all, id);
    if (s != NULL) {
        CaroSession_MarkDirty(s);
        attach(s, req, index, now);
    }
}

static void try_next_vm(Takeover *t);

static void
on_takeover_reply(void *context, int code, const void *result)
{
    Takeover *t = context;
    CaroSessions *all = t->sessions;
    CaroTime now = CaroClock_Now();
    const caro_takeover_reply *reply = result;
    if (code < 0 || reply->status < 0) {
        try_next_vm(t);
        return;
    }
    CaroCall *req = t->req;
    CaroSession *s = CaroSession_Find(all, t->event.id);
    if (req != NULL) {
        CaroCall_SetCloseHandler(req, NULL, NULL);
        if (s == NULL) {
            s = open_from_journal(all, &t->event, reply, now);
            CaroCounters_Add(all->common.counters, CARO_COUNT_TAKEOVERS, 1);
            CaroDecisions_Add(all->common.decisions, CaroClock_WallMs(),
                              "resume", t->event.owner,
                              "generation taken over",
                              "%016" PRIx64 ", %u tokens from the %s",
                              t->event.id, reply->ends.ends_len,
                              t->has_tried_backup ? "backup" : "owner");
            if (s == NULL) {
                CaroHttp_SendProblem(
                    req, 503, CARO_RUN_UNKNOWN, "no room for the generation",
                    "journals on %s are full", all->common.settings->vm);
            }
            else {
                resume_session(s, req, t->event.index, now);
            }
        }
        else {
            attach(s, req, t->event.index, now);
        }
    }
    free(t);
}

/* Sends a takeover request to the VM.  Returns false when the VM is unknown or
   dead. */
static bool
request_takeover(Takeover *t, const char *name)
{
    CaroSessions *all = t->sessions;
    CaroHandle vm = CaroMembership_Find(all->common.membership, name);
    if (vm <= 0 || CaroMembership_Get(all->common.membership, vm)->state ==
                       CARO_MEMBER_DEAD) {
        return false;
    }
    caro_takeover_args args = {.id = t->event.id};
    CaroRpc_Call(all->common.rpc,
                 CaroMembership_Get(all->common.membership, vm)->peer,
                 CARO_RPC_TCP, CARO_TAKEOVER, &args, TAKEOVER_TIMEOUT,
                 on_takeover_reply, t);
    return true;
}

static void
take_over_replica(Takeover *t)
{
    CaroSessions *all = t->sessions;
    caro_takeover_reply reply;
    memset(&reply, 0, sizeof(reply));
    CaroSession_TakeOver(all, t->event.id, &reply);
    if (reply.status < 0) {
        if (t->req != NULL) {
            CaroCall_SetCloseHandler(t->req, NULL, NULL);
            reject_lost(t->req, &t->event);
        }
        free(t);
        return;
    }
    on_takeover_reply(t, 0, &reply);
}

/* Called when the owner cannot be asked or has no journal: tries the backup,
   and answers with an error when that fails too. */
static void
try_next_vm(Takeover *t)
{
    if (!t->has_tried_backup) {
        t->has_tried_backup = true;
        if (strcmp(t->event.backup, t->sessions->common.settings->vm) == 0) {
            take_over_replica(t);
            return;
        }
        if (request_takeover(t, t->event.backup)) {
            return;
        }
    }
    if (t->req != NULL) {
        CaroCall_SetCloseHandler(t->req, NULL, NULL);
        reject_lost(t->req, &t->event);
    }
    free(t);
}

static void
on_caller_disconnected(void *arg)
{
    ((Takeover *)arg)->req = NULL;
}

/* Reopens a generation whose session was closed on this VM from the journal
   that is still kept.  Returns false when there is none. */
static bool
reopen_local(CaroSessions *all, CaroCall *req, const CaroEventId *e,
             CaroTime now)
{
    CaroJournal *j = CaroJournalTable_Find(all->owned, e->id);
    if (j == NULL) {
        return false;
    }
    caro_takeover_reply reply;
    memset(&reply, 0, sizeof(reply));
    size_t size;
    const char *text = CaroJournal_Request(j, &size);
    char *request = malloc(size + 1);
    uint32_t count = CaroJournal_Count(j);
    uint32_t *ends = calloc(count + 1, sizeof(*ends));
    size_t bytes;
    const char *tokens = CaroJournal_Text(j, 0, &bytes);
    char *copy = malloc(bytes + 1);
    char upstream[CARO_NAME_SIZE];
    CaroSession *s = NULL;
    if (request != NULL && ends != NULL && copy != NULL) {
        memcpy(request, text, size);
        memcpy(copy, tokens, bytes);
        if (count > 0) {
            memcpy(ends, CaroJournal_EndOffsets(j), count * sizeof(*ends));
        }
        reply.epoch = CaroJournal_Epoch(j);
        CARO_COPY(upstream, CaroJournal_Upstream(j));
        reply.upstream = upstream;
        reply.request.request_val = request;
        reply.request.request_len = (u_int)size;
        reply.bytes.bytes_val = copy;
        reply.bytes.bytes_len = (u_int)bytes;
        reply.ends.ends_val = ends;
        reply.ends.ends_len = count;
        s = open_from_journal(all, e, &reply, now);
    }
    free(request);
    free(ends);
    free(copy);
    if (s == NULL) {
        return false;
    }
    resume_session(s, req, e->index, now);
    return true;
}

void
CaroSessions_Reconnect(CaroSessions *all, CaroCall *req, const char *event_id,
                       CaroTime now)
{
    CaroEventId e;
    if (CaroEventId_Parse(event_id, &e) < 0) {
        CaroHttp_SendProblem(
            req, 400, CARO_RUN_NO, "bad Last-Event-ID",
            "found %.60s; allowed: the id of an event of this "
            "service",
            event_id);
        return;
    }
    CaroSession *s = CaroSession_Find(all, e.id);
    if (s != NULL) {
        attach(s, req, e.index, now);
        return;
    }
    if (reopen_local(all, req, &e, now)) {
        return;
    }
    Takeover *t = calloc(1, sizeof(*t));
    if (t == NULL) {
        CaroHttp_SendProblem(req, 503, CARO_RUN_UNKNOWN, "no memory",
                             "try another VM");
        return;
    }
    t->sessions = all;
    t->req = req;
    t->event = e;
    CaroCall_SetCloseHandler(req, on_caller_disconnected, t);
    if (strcmp(e.owner, all->common.settings->vm) == 0 ||
        !request_takeover(t, e.owner)) {
        try_next_vm(t);
    }
}
