/*
 * NAME
 *     caro_console_private - declarations private to Modules/console*.c
 */
#ifndef CARO_CONSOLE_PRIVATE_H
#define CARO_CONSOLE_PRIVATE_H

#include "internal/caro_command.h"
#include "internal/caro_console.h"

struct CaroConsole {
    CaroCommon common;
    CaroConsoleDeps deps;
};

/* console_reports.c: the state of a member as reports and dumps show it. */
const char *CaroConsole_MemberStateWord(caro_member_state state);

/* Answers with the report that the command asks for. */
void CaroConsole_Report(CaroConsole *c, CaroCall *req,
                        const CaroCommand *command, CaroTime now);

/* console_dump.c: the state as JSON, which the caller releases. */
json_t *CaroConsole_Dump(const CaroConsole *c, CaroTime now);

/* console_why.c: answers with the decisions of the VMs about a subject. */
void CaroConsole_ReportWhy(CaroConsole *c, CaroCall *req, const char *subject);

#endif
