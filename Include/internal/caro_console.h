/*
 * NAME
 *     caro_console - HTTP handlers of the operators' commands and reports
 *
 * Operators read the state of the fleet and change the configuration through
 * any VM.  The handlers answer every request, at once or later.
 */
#ifndef CARO_CONSOLE_H
#define CARO_CONSOLE_H

#include "internal/caro_config_manager.h"
#include "internal/caro_order_coordinator.h"
#include "internal/caro_sessions.h"

typedef struct CaroConsole CaroConsole;

/* Objects that the console reads and changes; all are borrowed. */
typedef struct {
    CaroConfigManager *config_manager;
    CaroDeploymentRollouts *rollouts;
    CaroAdmissions *admissions;
    CaroSessions *sessions;
    CaroOrderCoordinator *orders;
    /* Starts the planned stop (drain) of this VM. */
    void (*drain)(void *context);
    /* Whether this VM is being drained. */
    bool (*is_draining)(const void *context);
    void *context; /* First argument of the functions. */
} CaroConsoleDeps;

/* Copies both structures.  Returns NULL when out of memory. */
CaroConsole *CaroConsole_Create(const CaroCommon *common,
                                const CaroConsoleDeps *deps);
void CaroConsole_Destroy(CaroConsole *c);

/*
 * Handle a command line, a read or write of the configuration, and a read of
 * the VM's state.  Each answers with status 401 unless the request carries
 * the token of an operator.
 */
void CaroConsole_OnCommand(CaroConsole *c, CaroCall *req, CaroTime now);
void CaroConsole_OnConfig(CaroConsole *c, CaroCall *req);
void CaroConsole_OnDump(CaroConsole *c, CaroCall *req, CaroTime now);

/* Sends the counters as text, which needs no token. */
void CaroConsole_OnCounters(CaroConsole *c, CaroCall *req);

/* Replies to another VM with the newest decisions of this one. */
void CaroConsole_OnWhy(CaroConsole *c, CaroRpcRequest *request,
                       const caro_why_args *args);

#endif
