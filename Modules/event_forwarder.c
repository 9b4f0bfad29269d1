/* Forwards the events of a stream to the caller. */
#include "internal/caro_event_forwarder.h"

#include "internal/caro_event_stream.h"

#include <stdlib.h>

struct CaroEventForwarder {
    CaroLatency *latency;
    CaroEventStream *events;
    CaroTime started_at;
    CaroTime last_event_at; /* In any attempt; 0 before the first event. */
    CaroTime first_wait;    /* See CaroEventForwarder_FirstWait. */
    CaroTime longest_gap;   /* See CaroEventForwarder_LongestGap. */
    int64_t last_id;
    bool has_events; /* An event of the current attempt was forwarded. */
    bool needs_ids;  /* Only events with an id count. */
};

CaroEventForwarder *
CaroEventForwarder_Create(CaroLatency *latency, bool needs_ids,
                          CaroTime started_at)
{
    CaroEventForwarder *f = calloc(1, sizeof(*f));
    if (f == NULL) {
        return NULL;
    }
    f->latency = latency;
    f->needs_ids = needs_ids;
    f->started_at = started_at;
    f->last_id = -1;
    f->first_wait = -1;
    f->events = CaroEventStream_Create();
    if (f->events == NULL) {
        free(f);
        return NULL;
    }
    return f;
}

void
CaroEventForwarder_Destroy(CaroEventForwarder *f)
{
    if (f != NULL) {
        CaroEventStream_Destroy(f->events);
        free(f);
    }
}

void
CaroEventForwarder_SetLastId(CaroEventForwarder *f, int64_t id)
{
    f->last_id = id;
}

void
CaroEventForwarder_BeginAttempt(CaroEventForwarder *f)
{
    CaroEventStream_Reset(f->events);
    f->has_events = false;
}

/* Records the caller's wait for the event that is about to be sent. */
static void
record_wait(CaroEventForwarder *f, CaroTime now)
{
    CaroTime wait =
        now - (f->last_event_at == 0 ? f->started_at : f->last_event_at);
    if (f->last_event_at == 0) {
        f->first_wait = wait;
        CaroLatency_Add(f->latency, CARO_LATENCY_FIRST_EVENT, wait);
    }
    else {
        f->longest_gap = wait > f->longest_gap ? wait : f->longest_gap;
        CaroLatency_Add(f->latency,
                        f->has_events ? CARO_LATENCY_GAP
                                      : CARO_LATENCY_UPSTREAM_CHANGE,
                        wait);
    }
    f->last_event_at = now;
}

/* Returns whether all lines of the text are comments or empty. */
static bool
is_comment(CaroText text)
{
    bool is_line_start = true;
    for (size_t i = 0; i < text.size; i++) {
        char c = text.at[i];
        if (is_line_start && c != ':' && c != '\r' && c != '\n') {
            return false;
        }
        is_line_start = c == '\n';
    }
    return true;
}

int
CaroEventForwarder_Feed(CaroEventForwarder *f, CaroCall *call, CaroText bytes,
                        CaroTime now)
{
    CaroEvent event;
    int n = 0;
    int rc = CaroEventStream_Feed(f->events, bytes);
    if (rc < 0) {
        return rc;
    }
    while (CaroEventStream_Next(f->events, &event)) {
        bool is_resuming = f->needs_ids && f->last_id >= 0 && !f->has_events;
        if (is_resuming && event.id < 0) {
            if (!is_comment(event.bytes)) {
                return CARO_ERR_INPUT;
            }
            continue;
        }
        if (event.id >= 0) {
            if (event.id <= f->last_id) {
                return CARO_ERR_INPUT;
            }
            f->last_id = event.id;
        }
        if (event.id >= 0 || !f->needs_ids) {
            record_wait(f, now);
            f->has_events = true;
            n++;
        }
        CaroCall_SendBody(call, event.bytes.at, event.bytes.size);
    }
    return n;
}

bool
CaroEventForwarder_HasPartialEvent(const CaroEventForwarder *f)
{
    return CaroEventStream_PendingBytes(f->events) > 0;
}

bool
CaroEventForwarder_HasEvents(const CaroEventForwarder *f)
{
    return f->has_events;
}

int64_t
CaroEventForwarder_LastId(const CaroEventForwarder *f)
{
    return f->last_id;
}

CaroTime
CaroEventForwarder_FirstWait(const CaroEventForwarder *f)
{
    return f->first_wait;
}

CaroTime
CaroEventForwarder_LongestGap(const CaroEventForwarder *f)
{
    return f->longest_gap;
}
