/*
 * NAME
 *     caro_console_parts - the console; private to Modules/console*.c
 */
#ifndef CARO_CONSOLE_PRIVATE_H
#define CARO_CONSOLE_PRIVATE_H

#include "internal/caro_command.h"
#include "internal/caro_console.h"

struct CaroConsole {
    CaroCommon common;
    CaroConsoleDeps parts;
};

/* console_reports.c */
const char *CaroConsole_MemberStateWord(caro_member_state state);
void CaroConsole_Report(CaroConsole *c, struct evhttp_request *req,
                        const CaroCommand *command, CaroTime now);

/* console_dump.c: the state as JSON, the caller's. */
json_t *CaroConsole_Dump(const CaroConsole *c, CaroTime now);

/* console_why.c: decisions about a subject, asked of all VMs. */
void CaroConsole_ReportWhy(CaroConsole *c, struct evhttp_request *req,
                           const char *subject);

#endif
