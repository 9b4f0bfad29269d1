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
    size_t searched_size; /* Bytes after them that hold no end of an event. */
    bool is_line_empty;   /* Their last line has no byte so far. */
    char last_byte;       /* Of them. */
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

/* Returns the size of the first event in the buffer, or 0.  Each byte is
   looked at once. */
static size_t
find_end(CaroEventStream *s)
{
    struct evbuffer_ptr from;
    struct evbuffer_iovec span;
    while (evbuffer_ptr_set(s->buffer, &from, s->searched_size,
                            EVBUFFER_PTR_SET) == 0 &&
           evbuffer_peek(s->buffer, -1, &from, &span, 1) > 0 &&
           span.iov_len > 0) {
        const char *bytes = span.iov_base;
        for (size_t i = 0; i < span.iov_len; i++) {
            char c = bytes[i];
            s->searched_size++;
            if (c == '\n' && s->is_line_empty) {
                return s->searched_size;
            }
            s->is_line_empty =
                c == '\n' || (c == '\r' && s->last_byte == '\n');
            s->last_byte = c;
        }
    }
    return 0;
}

static void
begin_event(CaroEventStream *s)
{
    s->searched_size = 0;
    s->is_line_empty = false;
    s->last_byte = '\0';
}

bool
CaroEventStream_Next(CaroEventStream *s, CaroEvent *event)
{
    discard_returned_event(s);
    size_t size = find_end(s);
    if (size == 0) {
        return false;
    }
    begin_event(s);
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
    begin_event(s);
}
