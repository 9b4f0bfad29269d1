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
#include "internal/caro_fleet.h"
#include "internal/caro_http.h"
#include "internal/caro_load_poller.h"
#include "internal/caro_log.h"
#include "internal/caro_membership.h"
#include "internal/caro_order_front.h"
#include "internal/caro_orders.h"
#include "internal/caro_router.h"
#include "internal/caro_rpc.h"
#include "internal/caro_sessions.h"
#include "internal/caro_upstreams.h"
#include "internal/caro_version_moves.h"

struct CaroNode {
    CaroCommon common;
    CaroSettings settings; /* common borrows it, */
    uint64_t rng;          /* this */
    CaroCounters counters; /* and this. */
    struct evhttp *http;
    struct event *tick_event;
    gsl_rng *generator; /* Of the fleet. */
    CaroFleet *fleet;
    CaroOrderDesk *orders;
    CaroOrderFront *order_front;
    CaroLoadPoller *poller;
    CaroAdmissions *admissions;
    CaroConfigKeeper *keeper;
    CaroVersionMoves *moves;
    CaroSessions *sessions;

    CaroTime awake;     /* Clock that stops while the process is stopped. */
    CaroTime last_tick; /* On the monotonic clock. */
    CaroTime next_slow_tick;

    bool is_draining;
    CaroTime drain_until;
    CaroTime idle_since; /* While draining; 0 when it has work. */
};

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
