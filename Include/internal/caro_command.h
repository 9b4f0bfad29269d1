/*
 * NAME
 *     caro_command - one line of the operators' language
 *
 * Grammar/operator.ebnf has the grammar.
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

typedef struct {
    CaroCommandKind kind;
    char subject[CARO_NAME_SIZE]; /* Of UPSTREAMS, MOVE, UNDO, WHY, DRAIN;
                                     empty when left out. */
    struct {
        char version[CARO_NAME_SIZE];
        int64_t end_ms; /* Wall clock. */
    } move;             /* Of MOVE only. */
} CaroCommand;

/*
 * Parses a line at wall time now_ms.  Returns 0, or CARO_ERR_INPUT with
 * what was expected and the nearest command in err->detail.
 */
int CaroCommand_Parse(const char *line, int64_t now_ms, CaroCommand *command,
                      CaroError *err);

#endif
