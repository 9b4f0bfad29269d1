/*
 * NAME
 *     caro_event_stream - whole events out of a stream of bytes
 *
 * SOURCE
 *     WHATWG HTML, section "Server-sent events".
 */
#ifndef CARO_EVENT_STREAM_H
#define CARO_EVENT_STREAM_H

#include "internal/caro_http_reader.h"

enum { CARO_EVENT_BYTES_MAX = 1 << 20 };

typedef struct CaroEventStream CaroEventStream;

typedef struct {
    CaroText bytes; /* With the empty line that ends it; borrowed until the
                       next call. */
    int64_t id;     /* -1 when the event has none. */
} CaroEvent;

CaroEventStream *CaroEventStream_Create(void);
void CaroEventStream_Destroy(CaroEventStream *s);

/* Returns 0, CARO_ERR_FULL when an event is too long, CARO_ERR_NOMEM. */
int CaroEventStream_Feed(CaroEventStream *s, CaroText bytes);

/* Takes the next whole event; false when there is none. */
bool CaroEventStream_Next(CaroEventStream *s, CaroEvent *event);

/* Bytes of an event that has not ended. */
size_t CaroEventStream_PendingBytes(const CaroEventStream *s);

/* Drops what has not ended, before another upstream's bytes. */
void CaroEventStream_Reset(CaroEventStream *s);

#endif
