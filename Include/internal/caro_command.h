/*
 * NAME
 *     caro_command - parser of the operators' command language
 *
 * Grammar/operator.ebnf defines the grammar.
 */
#ifndef CARO_COMMAND_H
#define CARO_COMMAND_H

#include "caro_error.h"
#include "internal/caro_types.h"

typedef enum {
    CARO_CMD_STATUS,
    CARO_CMD_VMS,
    CARO_CMD_UPSTREAMS,
    CARO_CMD_DEPLOYMENTS,
    CARO_CMD_MOVE,
    CARO_CMD_UNDO,
    CARO_CMD_WHY,
    CARO_CMD_DRAIN,
    CARO_CMD_TOP,
    CARO_CMD_HELP
} CaroCommandKind;

/* A parsed command. */
typedef struct {
    CaroCommandKind kind;
    char subject[CARO_NAME_SIZE]; /* The first word after the verb, such as
                                     a deployment or a VM; empty when there
                                     is none. */
    struct {
        char version[CARO_NAME_SIZE];
        int64_t end_ms; /* Planned end, milliseconds of the wall clock. */
    } move;             /* Set for CARO_CMD_MOVE only. */
} CaroCommand;

/*
 * Parses a line; times are relative to now_ms of the wall clock.  Returns 0,
 * or CARO_ERR_INPUT with what was found and what was expected, or the most
 * similar command, in err->detail.
 */
int CaroCommand_Parse(const char *line, int64_t now_ms, CaroCommand *command,
                      CaroError *err);

#endif
