/*
 * NAME
 *     caro_session - one generation in service; private to Modules/session*.c
 *
 * The caller's side, the attempts and the copies of the journal each know
 * the session but none of the others above them: session.c, which does,
 * hears of what happens there through CaroSessionEvents.
 */
#ifndef CARO_SESSION_H
#define CARO_SESSION_H

#include "internal/caro_engine.h"
#include "internal/caro_generation.h"
#include "internal/caro_journal.h"
#include "internal/caro_sessions.h"

#include <uthash.h>

typedef struct CaroSession CaroSession;

/* Each may close the session. */
typedef struct {
    /* The caller closed its connection. */
    void (*on_caller_left)(CaroSession *s);
    /* The caller has the whole answer. */
    void (*on_answered)(CaroSession *s);
    /* The backup holds more of the journal, or there is no backup. */
    void (*on_acked)(CaroSession *s, CaroTime now);
    /* A newer owner serves the generation. */
    void (*on_fenced)(CaroSession *s);
    /* The journal has no room. */
    void (*on_full)(CaroSession *s);
    /* No attempt can go on. */
    void (*on_failed)(CaroSession *s, int code);
} CaroSessionEvents;

struct CaroSessions {
    CaroCommon common;
    CaroSessionDeps parts;
    const CaroSessionEvents *events;
    CaroJournalTable *own;    /* Generations served here. */
    CaroJournalTable *copies; /* Kept for other VMs. */
    CaroSession *by_id;
    CaroSession *dirty; /* With tokens to ship; see session_journal.c. */
    struct event *flush_event;
    bool is_flush_pending;
    CaroTime awake;        /* At the last tick. */
    double standby_budget; /* Duplicate attempts that may start now. */
    bool is_draining;
    CaroTime drain_until;
};

struct CaroSession {
    CaroSessions *all;
    uint64_t id;
    CaroJournal *journal; /* Borrowed from all->own. */
    CaroGeneration *generation;
    struct evhttp_request *req; /* The caller, or NULL while it is away. */
    bool is_answering;          /* The head of the answer was sent. */
    json_t *request;            /* Owned; strings below borrow from it. */
    const char *account;
    const char *deployment;
    const char *prompt;
    CaroVersionChoice choice;
    uint32_t tokens_max;
    CaroClass class;
    uint64_t prefix_hash;
    bool is_admitted;
    CaroAdmission *admission; /* Borrowed. */
    double cost;
    uint32_t sent;     /* Tokens the caller was sent. */
    uint32_t shipped;  /* Tokens handed to the backup's connection. */
    uint32_t acked;    /* Tokens the backup holds. */
    bool is_opened;    /* The backup was sent the request. */
    CaroHandle backup; /* CARO_NO_HANDLE: unprotected. */
    bool is_dirty;
    CaroSession *next_dirty;
    bool is_ended; /* All tokens are in the journal. */
    CaroTime started;
    CaroTime caller_left;
    struct {
        uint32_t attempt; /* 0 when free. */
        CaroEngineStream *stream;
        uint32_t next_index;
        int64_t prefill; /* Tokens it was sent to read, until the first. */
        CaroTime started;
    } attempts[2];
    UT_hash_handle hh;
};

/* session.c, for callers that come back. */
CaroSession *CaroSession_Open(CaroSessions *all, uint64_t id, uint32_t epoch,
                              json_t *request, const char *text, size_t size,
                              CaroTime now);
void CaroSession_Start(CaroSession *s, CaroTime now);
void CaroSession_Close(CaroSession *s, bool keeps_journal);
void CaroSession_TakeOver(CaroSessions *all, uint64_t id,
                          caro_takeover_reply *reply);

/* session_table.c: the session of a generation, or NULL. */
CaroSession *CaroSession_Find(const CaroSessions *all, uint64_t id);

/* session_journal.c: copies of journals at backups. */
void CaroSession_MarkDirty(CaroSession *s);
void CaroSession_ClearDirty(CaroSession *s);
void CaroSession_ReplaceBackup(CaroSession *s, CaroTime now);
void CaroSession_HandOver(CaroSessions *all, uint64_t id,
                          caro_takeover_reply *reply);

/* session_attempts.c: attempts at engines.  Both may close the session. */
void CaroSession_Advance(CaroSession *s, CaroTime now);
void CaroSession_SuspectAttempts(CaroSession *s, CaroTime now);
void CaroSession_CancelAttempts(CaroSession *s);

/* session_caller.c: the caller.  Attach and Deliver may close the session. */
void CaroSession_Attach(CaroSession *s, struct evhttp_request *req,
                        uint32_t from, CaroTime now);
void CaroSession_Deliver(CaroSession *s, CaroTime now);
void CaroSession_DropCaller(CaroSession *s);
void CaroSession_SendReconnect(CaroSession *s);
/* Takes the request from the session, which no longer hears of it. */
struct evhttp_request *CaroSession_Detach(CaroSession *s);

#endif
