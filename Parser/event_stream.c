/* Whole events out of a stream of bytes. */
#include "internal/caro_event_stream.h"

#include "caro_error.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

struct CaroEventStream {
    struct evbuffer *in;
    size_t lent; /* Bytes of the event that was handed out. */
};

CaroEventStream *
CaroEventStream_Create(void)
{
    CaroEventStream *s = calloc(1, sizeof(*s));
    if (s != NULL && (s->in = evbuffer_new()) == NULL) {
        free(s);
        return NULL;
    }
    return s;
}

void
CaroEventStream_Destroy(CaroEventStream *s)
{
    if (s != NULL) {
        evbuffer_free(s->in);
        free(s);
    }
}

static void
take_back(CaroEventStream *s)
{
    evbuffer_drain(s->in, s->lent);
    s->lent = 0;
}

int
CaroEventStream_Feed(CaroEventStream *s, CaroText bytes)
{
    take_back(s);
    if (evbuffer_get_length(s->in) + bytes.size > CARO_EVENT_BYTES_MAX) {
        return CARO_ERR_FULL;
    }
    return evbuffer_add(s->in, bytes.at, bytes.size) < 0 ? CARO_ERR_NOMEM : 0;
}

/* The number behind "id:" in one of the event's lines. */
static int64_t
find_id(CaroText event)
{
    size_t from = 0;
    while (from < event.size) {
        const char *line = event.at + from;
        const char *end = memchr(line, '\n', event.size - from);
        size_t size = end == NULL ? event.size - from : (size_t)(end - line);
        size_t trimmed = size > 0 && line[size - 1] == '\r' ? size - 1 : size;
        if (trimmed > 3 && memcmp(line, "id:", 3) == 0) {
            size_t skip = line[3] == ' ' ? 4 : 3;
            int64_t id;
            CaroText digits = {line + skip, trimmed - skip};
            return CaroText_ToNumber(digits, &id) ? id : -1;
        }
        from += size + 1;
    }
    return -1;
}

bool
CaroEventStream_Next(CaroEventStream *s, CaroEvent *event)
{
    take_back(s);
    struct evbuffer_ptr end = evbuffer_search(s->in, "\n\n", 2, NULL);
    struct evbuffer_ptr other = evbuffer_search(s->in, "\n\r\n", 3, NULL);
    size_t size;
    if (end.pos >= 0 && (other.pos < 0 || end.pos < other.pos)) {
        size = (size_t)end.pos + 2;
    }
    else if (other.pos >= 0) {
        size = (size_t)other.pos + 3;
    }
    else {
        return false;
    }
    event->bytes.at = (const char *)evbuffer_pullup(s->in, (ev_ssize_t)size);
    event->bytes.size = size;
    event->id = find_id(event->bytes);
    s->lent = size;
    return true;
}

size_t
CaroEventStream_PendingBytes(const CaroEventStream *s)
{
    return evbuffer_get_length(s->in) - s->lent;
}

void
CaroEventStream_Reset(CaroEventStream *s)
{
    evbuffer_drain(s->in, evbuffer_get_length(s->in));
    s->lent = 0;
}
