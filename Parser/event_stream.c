/* Incremental parser of server-sent events. */
#include "internal/caro_event_stream.h"

#include "caro_error.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

struct CaroEventStream {
    struct evbuffer *buffer;
    size_t returned_size; /* Bytes of the event that Next returned last.  They
                             stay in the buffer until the next call. */
};

CaroEventStream *
CaroEventStream_Create(void)
{
    CaroEventStream *s = calloc(1, sizeof(*s));
    if (s != NULL && (s->buffer = evbuffer_new()) == NULL) {
        free(s);
        return NULL;
    }
    return s;
}

void
CaroEventStream_Destroy(CaroEventStream *s)
{
    if (s != NULL) {
        evbuffer_free(s->buffer);
        free(s);
    }
}

static void
discard_returned_event(CaroEventStream *s)
{
    evbuffer_drain(s->buffer, s->returned_size);
    s->returned_size = 0;
}

int
CaroEventStream_Feed(CaroEventStream *s, CaroText bytes)
{
    discard_returned_event(s);
    if (evbuffer_get_length(s->buffer) + bytes.size > CARO_EVENT_BYTES_MAX) {
        return CARO_ERR_FULL;
    }
    return evbuffer_add(s->buffer, bytes.at, bytes.size) < 0 ? CARO_ERR_NOMEM
                                                             : 0;
}

/* Returns the number in the first "id" field of an event, or -1. */
static int64_t
find_id(CaroText event)
{
    size_t from = 0;
    while (from < event.size) {
        const char *line = event.at + from;
        const char *end = memchr(line, '\n', event.size - from);
        size_t size = end == NULL ? event.size - from : (size_t)(end - line);
        size_t line_size =
            size > 0 && line[size - 1] == '\r' ? size - 1 : size;
        if (line_size > 3 && memcmp(line, "id:", 3) == 0) {
            size_t skip = line[3] == ' ' ? 4 : 3;
            int64_t id;
            CaroText digits = {line + skip, line_size - skip};
            return CaroText_ToNumber(digits, &id) ? id : -1;
        }
        from += size + 1;
    }
    return -1;
}

bool
CaroEventStream_Next(CaroEventStream *s, CaroEvent *event)
{
    discard_returned_event(s);
    struct evbuffer_ptr end_lf = evbuffer_search(s->buffer, "\n\n", 2, NULL);
    struct evbuffer_ptr end_crlf =
        evbuffer_search(s->buffer, "\n\r\n", 3, NULL);
    size_t size;
    if (end_lf.pos >= 0 && (end_crlf.pos < 0 || end_lf.pos < end_crlf.pos)) {
        size = (size_t)end_lf.pos + 2;
    }
    else if (end_crlf.pos >= 0) {
        size = (size_t)end_crlf.pos + 3;
    }
    else {
        return false;
    }
    event->bytes.at =
        (const char *)evbuffer_pullup(s->buffer, (ev_ssize_t)size);
    event->bytes.size = size;
    event->id = find_id(event->bytes);
    s->returned_size = size;
    return true;
}

size_t
CaroEventStream_PendingBytes(const CaroEventStream *s)
{
    return evbuffer_get_length(s->buffer) - s->returned_size;
}

void
CaroEventStream_Reset(CaroEventStream *s)
{
    evbuffer_drain(s->buffer, evbuffer_get_length(s->buffer));
    s->returned_size = 0;
}
