/* A stream's events on their way to the caller. */
#include "internal/caro_event_forwarder.h"

#include "internal/caro_event_stream.h"

#include <stdlib.h>

struct CaroEventForwarder {
    CaroLatency *latency;
    CaroEventStream *events;
    CaroTime started;
    CaroTime passed_at; /* Last event of any run; 0 none. */
    CaroTime first;     /* Wait for the first event; -1 none. */
    CaroTime pause;     /* Longest wait from one event to the next. */
    int64_t last_id;
    bool has_events;
};

CaroEventForwarder *
CaroEventForwarder_Create(CaroLatency *latency, CaroTime started)
{
    CaroEventForwarder *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        return NULL;
    }
    s->latency = latency;
    s->started = started;
    s->last_id = -1;
    s->first = -1;
    s->events = CaroEventStream_Create();
    if (s->events == NULL) {
        free(s);
        return NULL;
    }
    return s;
}

void
CaroEventForwarder_Destroy(CaroEventForwarder *s)
{
    if (s != NULL) {
        CaroEventStream_Destroy(s->events);
        free(s);
    }
}

void
CaroEventForwarder_SetLastId(CaroEventForwarder *s, int64_t id)
{
    s->last_id = id;
}

void
CaroEventForwarder_BeginRun(CaroEventForwarder *s)
{
    CaroEventStream_Reset(s->events);
    s->has_events = false;
}

/* How long the caller waited for this event. */
static void
note_wait(CaroEventForwarder *s, CaroTime now)
{
    CaroTime wait = now - (s->passed_at == 0 ? s->started : s->passed_at);
    if (s->passed_at == 0) {
        s->first = wait;
        CaroLatency_Add(s->latency, CARO_LATENCY_FIRST_EVENT, wait);
    }
    else {
        s->pause = wait > s->pause ? wait : s->pause;
        CaroLatency_Add(s->latency,
                        s->has_events ? CARO_LATENCY_GAP
                                      : CARO_LATENCY_UPSTREAM_CHANGE,
                        wait);
    }
    s->passed_at = now;
}

int
CaroEventForwarder_Feed(CaroEventForwarder *s, CaroCall *call, CaroText bytes,
                        CaroTime now)
{
    CaroEvent event;
    int n = 0;
    int rc = CaroEventStream_Feed(s->events, bytes);
    if (rc < 0) {
        return rc;
    }
    while (CaroEventStream_Next(s->events, &event)) {
        if (event.id >= 0) {
            if (event.id <= s->last_id) {
                return CARO_ERR_INPUT;
            }
            s->last_id = event.id;
        }
        note_wait(s, now);
        s->has_events = true;
        n++;
        CaroCall_Send(call, event.bytes.at, event.bytes.size);
    }
    return n;
}

bool
CaroEventForwarder_IsInside(const CaroEventForwarder *s)
{
    return CaroEventStream_Rest(s->events) > 0;
}

bool
CaroEventForwarder_HasEvents(const CaroEventForwarder *s)
{
    return s->has_events;
}

int64_t
CaroEventForwarder_LastId(const CaroEventForwarder *s)
{
    return s->last_id;
}

CaroTime
CaroEventForwarder_First(const CaroEventForwarder *s)
{
    return s->first;
}

CaroTime
CaroEventForwarder_LongestPause(const CaroEventForwarder *s)
{
    return s->pause;
}
