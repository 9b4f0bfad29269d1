/*
 * NAME
 *     caro_node_state - what the parts of a node share
 *
 * The node's parts are the files Modules/node_*.c.  Each owns some of the
 * state below; the others read it or call the functions here.
 */
#ifndef CARO_NODE_STATE_H
#define CARO_NODE_STATE_H

#include "caro_node.h"
#include "internal/caro_admissions.h"
#include "internal/caro_clock.h"
#include "internal/caro_command.h"
#include "internal/caro_common.h"
#include "internal/caro_config_keeper.h"
#include "internal/caro_counters.h"
#include "internal/caro_decisions.h"
#include "internal/caro_engine.h"
#include "internal/caro_generation.h"
#include "internal/caro_http.h"
#include "internal/caro_journal.h"
#include "internal/caro_load_poller.h"
#include "internal/caro_log.h"
#include "internal/caro_membership.h"
#include "internal/caro_order_front.h"
#include "internal/caro_orders.h"
#include "internal/caro_router.h"
#include "internal/caro_rpc.h"
#include "internal/caro_upstreams.h"
#include "internal/caro_version_moves.h"

#include <uthash.h>

typedef struct CaroSession CaroSession;

struct CaroNode {
    CaroCommon common;
    CaroSettings settings; /* common borrows it, */
    uint64_t rng;          /* this */
    CaroCounters counters; /* and this. */
    struct evhttp *http;
    struct event *tick_event;
    struct event *flush_event;
    CaroJournalTable *own;    /* Generations served here. */
    CaroJournalTable *copies; /* Kept for other VMs. */
    CaroOrderDesk *orders;
    CaroOrderFront *order_front;
    CaroLoadPoller *poller;
    CaroAdmissions *admissions;
    CaroConfigKeeper *keeper;
    CaroVersionMoves *moves;
    CaroSession *sessions; /* By generation id. */
    CaroSession *dirty;    /* With tokens to ship; see node_journal.c. */
    bool is_flush_pending;

    CaroTime awake;     /* Clock that stops while the process is stopped. */
    CaroTime last_tick; /* On the monotonic clock. */
    CaroTime next_slow_tick;

    bool is_draining;
    CaroTime drain_until;
    CaroTime idle_since;   /* While draining; 0 when it has work. */
    double standby_budget; /* Duplicate attempts that may start now. */
};

/* One generation in service at this node. */
struct CaroSession {
    CaroNode *node;
    uint64_t id;
    CaroJournal *journal; /* Borrowed from node->own. */
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

/* node_peer.c: heartbeats and requests of other VMs. */
void CaroNode_OnPeerCall(void *context, CaroRpcRequest *request,
                         uint32_t procedure, void *args);
void CaroNode_SendMembershipEvents(CaroNode *n);
void CaroNode_Announce(CaroNode *n, int fanout);
void CaroNode_JoinSeeds(CaroNode *n);

/* node_journal.c: copies of journals at backups. */
void CaroNode_MarkDirty(CaroSession *s);
void CaroNode_Unmark(CaroSession *s);
void CaroNode_ReplaceBackup(CaroSession *s, CaroTime now);
void CaroNode_TakeBatch(CaroNode *n, const caro_journal_batch *batch,
                        caro_journal_acks *acks, CaroTime now);
void CaroNode_TakeOver(CaroNode *n, uint64_t id, caro_take_reply *reply,
                       CaroTime now);

/* node_session.c: generations in service. */
CaroSession *CaroNode_OpenSession(CaroNode *n, uint64_t id, uint32_t epoch,
                                  json_t *request, const char *text,
                                  size_t size, CaroTime now);
void CaroNode_StartSession(CaroSession *s, CaroTime now);
void CaroNode_Advance(CaroSession *s, CaroTime now);
void CaroNode_Deliver(CaroSession *s, CaroTime now);
void CaroNode_AttachCaller(CaroSession *s, struct evhttp_request *req,
                           uint32_t from, CaroTime now);
void CaroNode_CloseSession(CaroSession *s, bool keeps_journal);
CaroSession *CaroNode_FindSession(CaroNode *n, uint64_t id);
void CaroNode_TickSessions(CaroNode *n, CaroTime now);
void CaroNode_AdmitWaiting(CaroNode *n, CaroTime now);

/* node_generate.c: the attempts of a session. */
void CaroNode_CancelAttempts(CaroSession *s);
void CaroNode_SuspectAttempts(CaroSession *s, CaroTime now);

/* node_caller.c: the caller of a session. */
void CaroNode_DropCaller(CaroSession *s);
void CaroNode_SendReconnect(CaroSession *s);
struct evhttp_request *CaroNode_DetachCaller(CaroSession *s);

/* node_reconnect.c: callers that come back, perhaps from another VM. */
void CaroNode_Reconnect(CaroNode *n, struct evhttp_request *req,
                        const char *event_id, CaroTime now);
void CaroNode_FormatEventId(const CaroSession *s, uint32_t index, char *buf,
                            size_t size);

/* node_http.c: routes of callers and operators. */
void CaroNode_OnHttp(struct evhttp_request *req, void *context);

/* node_why.c, node_reports.c, node_dump.c, node_operator.c: operators. */
const char *CaroNode_StateWord(caro_member_state state);
void CaroNode_AskWhy(CaroNode *n, struct evhttp_request *req,
                     const char *subject);
void CaroNode_OnWhy(CaroNode *n, CaroRpcRequest *request,
                    const caro_why_args *args);
void CaroNode_RunReport(CaroNode *n, struct evhttp_request *req,
                        const CaroCommand *c, CaroTime now);
void CaroNode_OnCommand(CaroNode *n, struct evhttp_request *req, CaroTime now);
void CaroNode_OnConfig(CaroNode *n, struct evhttp_request *req);
void CaroNode_OnDump(CaroNode *n, struct evhttp_request *req, CaroTime now);
void CaroNode_OnCounters(CaroNode *n, struct evhttp_request *req);
bool CaroNode_CheckOperator(CaroNode *n, struct evhttp_request *req,
                            char name[CARO_NAME_SIZE]);

#endif
