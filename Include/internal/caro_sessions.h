/*
 * NAME
 *     caro_sessions - generations in service at a VM
 *
 * A session joins a caller, attempts at engines and a journal whose copy
 * another VM keeps.  Modules/session*.c are one part; its files share
 * internal/caro_session.h, which nothing else includes.
 */
#ifndef CARO_SESSIONS_H
#define CARO_SESSIONS_H

#include "internal/caro_admissions.h"
#include "internal/caro_common.h"
#include "internal/caro_load_poller.h"
#include "internal/caro_deployment_rollouts.h"

#include <event2/http.h>
#include <jansson.h>

typedef struct CaroSessions CaroSessions;

/* The other parts that sessions use; borrowed. */
typedef struct {
    CaroAdmissions *admissions;
    CaroLoadPoller *poller;
    CaroDeploymentRollouts *moves;
} CaroSessionDeps;

/* A session as operators see it; borrowed. */
typedef struct {
    uint64_t id;
    const char *account;
    const char *deployment;
    uint32_t tokens; /* In the journal. */
    uint32_t acked;  /* Tokens that the backup holds. */
    uint32_t sent;   /* Tokens that the caller was sent. */
    bool is_admitted;
    bool has_caller;
} CaroSessionView;

typedef enum {
    CARO_SESSION_ACCEPTED,     /* It is served or waits its turn. */
    CARO_SESSION_JOURNAL_FULL, /* The journals are full. */
    CARO_SESSION_REFUSED       /* Too much work waits. */
} CaroSessionResult;

CaroSessions *CaroSessions_Create(const CaroCommon *common,
                                  const CaroSessionDeps *parts);
void CaroSessions_Destroy(CaroSessions *all);

/* Closes all, as a stop of the process does. */
void CaroSessions_CloseAll(CaroSessions *all);

/*
 * Begins a generation.  "body" is the checked request and "text" its
 * bytes; the caller's request is the session's only when it is taken.
 * *expected_wait is set when it is refused.
 */
CaroSessionResult CaroSessions_Begin(CaroSessions *all,
                                     struct evhttp_request *req, json_t *body,
                                     const char *text, size_t size,
                                     CaroTime *expected_wait, CaroTime now);

/* A caller comes back with the id of the last event it has.  It is always
   answered. */
void CaroSessions_Reconnect(CaroSessions *all, struct evhttp_request *req,
                            const char *event_id, CaroTime now);

/* "awake" is a clock that stops while the process is stopped. */
void CaroSessions_Tick(CaroSessions *all, CaroTime awake, CaroTime now);

/* Forgets journals that are kept long enough. */
void CaroSessions_Expire(CaroSessions *all, CaroTime now);

/* This VM leaves at that time: long generations go elsewhere before. */
void CaroSessions_Drain(CaroSessions *all, CaroTime until);

/* Calls of other VMs: journals to keep, a generation they take over. */
void CaroSessions_OnJournalBatch(CaroSessions *all, CaroRpcRequest *request,
                                 const caro_journal_batch *batch,
                                 CaroTime now);
void CaroSessions_OnTakeover(CaroSessions *all, CaroRpcRequest *request,
                             const caro_takeover_args *args);

int CaroSessions_Count(const CaroSessions *all);
void CaroSessions_ForEach(const CaroSessions *all,
                          void (*visit)(void *context,
                                        const CaroSessionView *view),
                          void *context);
/* Bytes of journals of sessions here, and of copies for other VMs. */
size_t CaroSessions_JournalBytes(const CaroSessions *all);
size_t CaroSessions_ReplicaBytes(const CaroSessions *all);

#endif
