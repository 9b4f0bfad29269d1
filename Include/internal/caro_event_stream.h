/*
 * NAME
 *     caro_event_stream - incremental parser of server-sent events
 *
 * Divides a stream of bytes into complete events.  Of the fields of an event
 * only "id" is interpreted.
 *
 * SOURCE
 *     WHATWG HTML, section "Server-sent events".
 */
#ifndef CARO_EVENT_STREAM_H
#define CARO_EVENT_STREAM_H

#include "internal/caro_http_reader.h"

/* Bytes that may wait for the end of an event.  A VM forwards many streams at
   the same time, and an upstream's failure may affect all of them. */
enum { CARO_EVENT_BYTES_MAX = 1 << 18 };

typedef struct CaroEventStream CaroEventStream;

/* A complete event. */
typedef struct {
    CaroText bytes; /* Includes the empty line that ends it; borrowed until
                       the next call. */
    int64_t id;     /* -1 when there is none or it is no number. */
} CaroEvent;

/* Creates a parser, or returns NULL.  Destroy accepts NULL. */
CaroEventStream *CaroEventStream_Create(void);
void CaroEventStream_Destroy(CaroEventStream *s);

/* Appends bytes.  Returns 0, CARO_ERR_FULL when more than
   CARO_EVENT_BYTES_MAX would be buffered, or CARO_ERR_NOMEM. */
int CaroEventStream_Feed(CaroEventStream *s, CaroText bytes);

/* Returns the next complete event in *event, or false when there is none. */
bool CaroEventStream_Next(CaroEventStream *s, CaroEvent *event);

/* Returns the number of bytes after the last event that Next returned: those
   of the incomplete event, once Next has returned false. */
size_t CaroEventStream_PendingBytes(const CaroEventStream *s);

/* Discards all buffered bytes, before those of another upstream are fed. */
void CaroEventStream_Reset(CaroEventStream *s);

#endif
