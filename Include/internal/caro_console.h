/*
 * NAME
 *     caro_console - what operators ask of a VM and change through it
 */
#ifndef CARO_CONSOLE_H
#define CARO_CONSOLE_H

#include "internal/caro_config_manager.h"
#include "internal/caro_order_coordinator.h"
#include "internal/caro_sessions.h"

#include <event2/http.h>

typedef struct CaroConsole CaroConsole;

/* The parts that reports show; borrowed. */
typedef struct {
    CaroConfigManager *keeper;
    CaroDeploymentRollouts *moves;
    CaroAdmissions *admissions;
    CaroSessions *sessions;
    CaroOrderCoordinator *orders;
    /* Starts a planned stop of this VM. */
    void (*drain)(void *context);
    bool (*is_draining)(const void *context);
    void *context;
} CaroConsoleDeps;

CaroConsole *CaroConsole_Create(const CaroCommon *common,
                                const CaroConsoleDeps *parts);
void CaroConsole_Destroy(CaroConsole *c);

/* Each checks the operator's token and answers the request. */
void CaroConsole_OnCommand(CaroConsole *c, struct evhttp_request *req,
                           CaroTime now);
void CaroConsole_OnConfig(CaroConsole *c, struct evhttp_request *req);
void CaroConsole_OnDump(CaroConsole *c, struct evhttp_request *req,
                        CaroTime now);

/* Counters need no token. */
void CaroConsole_OnCounters(CaroConsole *c, struct evhttp_request *req);

/* Another VM asks for decisions. */
void CaroConsole_OnWhy(CaroConsole *c, CaroRpcRequest *request,
                       const caro_why_args *args);

#endif
