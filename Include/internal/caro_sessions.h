/*
 * NAME
 *     caro_sessions - the active generations of a VM
 *
 * A session connects a caller, the attempts at engines that serve it, and the
 * generation's journal, which is replicated to another VM.  Modules/session*.c
 * share internal/caro_session.h, which no other file includes.
 */
#ifndef CARO_SESSIONS_H
#define CARO_SESSIONS_H

#include "internal/caro_admissions.h"
#include "internal/caro_common.h"
#include "internal/caro_deployment_rollouts.h"
#include "internal/caro_load_poller.h"
#include "internal/caro_http_server.h"

#include <jansson.h>

typedef struct CaroSessions CaroSessions;

/* Objects that sessions use; borrowed. */
typedef struct {
    CaroAdmissions *admissions;
    CaroLoadPoller *poller;
    CaroDeploymentRollouts *rollouts;
} CaroSessionDeps;

/* The state of a session for operators' reports; borrowed. */
typedef struct {
    uint64_t id;
    const char *account;
    const char *deployment;
    uint32_t tokens; /* Tokens in the journal. */
    uint32_t acked;  /* Tokens that the backup acknowledged. */
    uint32_t sent;   /* Tokens sent to the caller. */
    bool is_admitted;
    bool has_caller;
} CaroSessionView;

typedef enum {
    CARO_SESSION_ACCEPTED,     /* The generation was started or queued. */
    CARO_SESSION_JOURNAL_FULL, /* No room for its journal. */
    CARO_SESSION_REFUSED       /* The expected wait is too long. */
} CaroSessionResult;

/* Returns a new object that the caller owns, or NULL when out of memory. */
CaroSessions *CaroSessions_Create(const CaroCommon *common,
                                  const CaroSessionDeps *deps);
void CaroSessions_Destroy(CaroSessions *all);

/* Closes all sessions and their callers' connections, for a stop of the
   process.  "all" may be NULL. */
void CaroSessions_CloseAll(CaroSessions *all);

/*
 * Starts or queues a generation.  "body" is the validated request and "text"
 * its bytes, which are copied.  The session answers "req" only when the result
 * is CARO_SESSION_ACCEPTED; otherwise the caller of this function does.
 * *expected_wait is set when the result is CARO_SESSION_REFUSED.
 */
CaroSessionResult CaroSessions_Begin(CaroSessions *all, CaroCall *req,
                                     json_t *body, const char *text,
                                     size_t size, CaroTime *expected_wait,
                                     CaroTime now);

/* Resumes the response of a caller that reconnects with the id of the last
   event it received, or answers "req" with an error. */
void CaroSessions_Reconnect(CaroSessions *all, CaroCall *req,
                            const char *event_id, CaroTime now);

/*
 * Periodic work.  "awake_time" is a monotonic time that does not advance while
 * the process is stopped, so that a pause of this VM is not taken for silence
 * of its upstreams.
 */
void CaroSessions_Tick(CaroSessions *all, CaroTime awake_time, CaroTime now);

/* Deletes journals whose retention time is over. */
void CaroSessions_Expire(CaroSessions *all, CaroTime now);

/* Starts a drain that ends at "deadline".  In its second half the generations
   that still run are handed over to other VMs. */
void CaroSessions_Drain(CaroSessions *all, CaroTime deadline);

/* Handlers of calls from other VMs, which answer the request: journal entries
   to replicate here, and the takeover of a generation. */
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

/* Bytes of the journals of generations served here, and of the replicas kept
   for other VMs. */
size_t CaroSessions_JournalBytes(const CaroSessions *all);
size_t CaroSessions_ReplicaBytes(const CaroSessions *all);

#endif
