/*
 * NAME
 *     caro_event_id - event ids of generations
 *
 * The id of an event holds the generation, its owner and backup VM, and the
 * index of the token, so that any VM can find the journal when the caller
 * reconnects.
 */
#ifndef CARO_EVENT_ID_H
#define CARO_EVENT_ID_H

#include "internal/caro_types.h"

typedef struct {
    uint64_t id;                 /* Id of the generation. */
    char owner[CARO_NAME_SIZE];  /* VM that served the event. */
    char backup[CARO_NAME_SIZE]; /* VM that keeps the replica; may be empty. */
    uint32_t index;              /* Index of the token. */
} CaroEventId;

/* Writes the text form to buf, always terminated. */
void CaroEventId_Format(const CaroEventId *e, char *buf, size_t size);

/* Parses the text form.  Returns 0 or CARO_ERR_INPUT. */
int CaroEventId_Parse(const char *text, CaroEventId *e);

#endif
