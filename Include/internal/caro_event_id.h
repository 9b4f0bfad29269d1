/*
 * NAME
 *     caro_event_id - the id of an event of a generation
 *
 * Names the generation, the VM that served it, the VM that keeps its copy,
 * and the token, so that any VM can find the journal.
 */
#ifndef CARO_EVENT_ID_H
#define CARO_EVENT_ID_H

#include "internal/caro_types.h"

typedef struct {
    uint64_t id;
    char owner[CARO_NAME_SIZE];
    char backup[CARO_NAME_SIZE]; /* Empty for none. */
    uint32_t index;
} CaroEventId;

void CaroEventId_Format(const CaroEventId *e, char *buf, size_t size);

/* CARO_ERR_INPUT when it is not the id of an event of this service. */
int CaroEventId_Parse(const char *text, CaroEventId *e);

#endif
