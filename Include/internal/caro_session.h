/*
 * NAME
 *     caro_session - one active generation; private to Modules/session*.c
 *
 * session_caller.c (the caller's connection), session_attempts.c (attempts at
 * engines) and session_journal.c (replication of the journal) do not call
 * session.c, which calls them.  They report events to it through the callbacks
 * in CaroSessionEvents, so that the files form layers.
 */
#ifndef CARO_SESSION_H
#define CARO_SESSION_H

#include "internal/caro_engine.h"
#include "internal/caro_generation.h"
#include "internal/caro_journal.h"
#include "internal/caro_sessions.h"

#include <uthash.h>

typedef struct CaroSession CaroSession;

/* Callbacks of session.c.  Each may close the session. */
typedef struct {
    /* The caller closed its connection. */
    void (*on_caller_disconnected)(CaroSession *s);
    /* The complete response was written to the caller's connection. */
    void (*on_response_complete)(CaroSession *s);
    /* More tokens may be delivered: the backup acknowledged them, or there is
       no backup. */
    void (*on_acked)(CaroSession *s, CaroTime now);
    /* The backup refused the journal because another VM took the generation
       over. */
    void (*on_fenced)(CaroSession *s);
    /* The journal could not store a token. */
    void (*on_journal_full)(CaroSession *s);
    /* The generation failed and is not attempted again; "code" is
       CARO_ERR_TIMEOUT or CARO_ERR_NOT_FOUND. */
    void (*on_failed)(CaroSession *s, int code);
} CaroSessionEvents;

struct CaroSessions {
    CaroCommon common;
    CaroSessionDeps deps;
    const CaroSessionEvents *events;
    CaroJournalTable *owned;    /* Journals of generations served here. */
    CaroJournalTable *replicas; /* Journals kept as the backup of other VMs. */
    CaroSession *by_id;
    /* List of the sessions with journal data that their backup lacks. */
    CaroSession *dirty;
    struct event *flush_event;
    bool is_flush_pending;
    CaroTime awake_time;   /* As of the last CaroSessions_Tick. */
    double standby_budget; /* Standby attempts that may start now. */
    bool is_draining;
    CaroTime drain_deadline;
};

struct CaroSession {
    CaroSessions *sessions;
    uint64_t id;
    CaroJournal *journal;       /* Borrowed from sessions->owned. */
    CaroGeneration *generation; /* NULL before admission and once the session
                                   is being handed over. */
    CaroCall *req;              /* NULL while no caller is connected. */
    bool is_response_started;   /* The response head was sent. */
    json_t *request;            /* Owned; the strings below borrow from it. */
    const char *account;
    const char *deployment;
    const char *prompt;
    CaroVersionChoice choice;
    uint32_t tokens_max;
    CaroClass class;
    uint64_t prefix_hash;
    bool is_admitted;
    CaroAdmission *admission; /* Borrowed. */
    double cost;              /* Estimated prompt tokens plus tokens_max. */
    uint32_t caller_sent;     /* Tokens sent to the caller. */
    uint32_t backup_sent;     /* Tokens sent to the backup. */
    uint32_t backup_acked;    /* Tokens that the backup acknowledged, or all
                                 tokens when there is no backup. */
    bool has_sent_request; /* The caller's request was sent to the backup. */
    CaroHandle backup;     /* CARO_NO_HANDLE when there is no other VM. */
    bool is_dirty;
    CaroSession *next_dirty;
    bool is_complete; /* All tokens are in the journal. */
    CaroTime started_at;
    CaroTime disconnected_at; /* Time of the last disconnect, or of opening. */
    struct {
        uint32_t number; /* Number of the attempt; 0 when the slot is free. */
        CaroEngineStream *stream;
        uint32_t next_index;    /* Index of the next token of the stream. */
        int64_t prefill_tokens; /* Counted in the upstream's load until the
                                   first token; 0 after it. */
        CaroTime started_at;
    } attempts[2];
    UT_hash_handle hh;
};

/*
 * session.c, called by session_reconnect.c.  Open returns NULL when memory is
 * short or the journal table is full.  Start begins the first attempt of an
 * admitted session and may close it.  TakeOver closes the session, if there is
 * one, and hands over its journal.
 */
CaroSession *CaroSession_Open(CaroSessions *all, uint64_t id, uint32_t epoch,
                              json_t *request, const char *text, size_t size,
                              CaroTime now);
void CaroSession_Start(CaroSession *s, CaroTime now);
void CaroSession_Close(CaroSession *s, bool keeps_journal);
void CaroSession_TakeOver(CaroSessions *all, uint64_t id,
                          caro_takeover_reply *reply);

/* session_table.c: borrowed session of the generation, or NULL. */
CaroSession *CaroSession_Find(const CaroSessions *all, uint64_t id);

/*
 * session_journal.c: replication of journals to backups.  MarkDirty schedules
 * the new part of the journal to be sent; ClearDirty removes the session from
 * the schedule.  HandOver fills the reply with the journal, which stays
 * borrowed, or sets its status to CARO_ERR_NOT_FOUND.
 */
void CaroSession_MarkDirty(CaroSession *s);
void CaroSession_ClearDirty(CaroSession *s);
void CaroSession_ReplaceBackup(CaroSession *s, CaroTime now);
void CaroSession_HandOver(CaroSessions *all, uint64_t id,
                          caro_takeover_reply *reply);

/*
 * session_attempts.c: attempts at engines.  Advance carries out the actions
 * that the generation decides on and may close the session.  SuspectAttempts
 * marks attempts at suspected upstreams.
 */
void CaroSession_Advance(CaroSession *s, CaroTime now);
void CaroSession_SuspectAttempts(CaroSession *s, CaroTime now);
void CaroSession_CancelAttempts(CaroSession *s);

/* session_caller.c: the caller's connection.  Attach and Deliver may close the
   session.  Attach sends the tokens from index "from" on. */
void CaroSession_Attach(CaroSession *s, CaroCall *req, uint32_t from,
                        CaroTime now);
void CaroSession_Deliver(CaroSession *s, CaroTime now);
void CaroSession_DropCaller(CaroSession *s);
void CaroSession_SendReconnect(CaroSession *s);
/* Removes the caller's request from the session and returns it; the session
   gets no more events of its connection. */
CaroCall *CaroSession_Detach(CaroSession *s);

#endif
