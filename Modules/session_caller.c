/*
 * The caller's connection of a session: sends tokens as server-sent events and
 * handles disconnects and reconnects.
 */
#include "internal/caro_session.h"

#include "internal/caro_clock.h"
#include "internal/caro_event_id.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <stdlib.h>

enum { EVENT_ID_BYTES_MAX = 256 };

CaroCall *
CaroSession_Detach(CaroSession *s)
{
    CaroCall *req = s->req;
    CaroCall_SetCloseHandler(req, NULL, NULL);
    s->req = NULL;
    s->is_response_started = false;
    s->disconnected_at = CaroClock_Now();
    return req;
}

static void
on_connection_closed(void *arg)
{
    CaroSession *s = arg;
    s->req = NULL;
    s->is_response_started = false;
    s->disconnected_at = CaroClock_Now();
    s->sessions->events->on_caller_disconnected(s);
}

/* Closes the caller's connection without ending the response. */
void
CaroSession_DropCaller(CaroSession *s)
{
    if (s->req != NULL) {
        CaroCall_Close(CaroSession_Detach(s));
    }
}

/* The response head is sent with the first token, so that a request without
   one can still be answered with an error status. */
static void
start_response(CaroSession *s)
{
    struct evbuffer *headers = evbuffer_new();
    if (headers != NULL) {
        (void)evbuffer_add_printf(headers,
                                  "Content-Type: text/event-stream\r\n"
                                  "Cache-Control: no-store\r\n");
    }
    CaroCall_BeginResponse(s->req, 200, headers);
    if (headers != NULL) {
        evbuffer_free(headers);
    }
    s->is_response_started = true;
}

void
CaroSession_Attach(CaroSession *s, CaroCall *req, uint32_t from, CaroTime now)
{
    CaroSession_DropCaller(s);
    s->req = req;
    s->caller_sent = from;
    CaroCall_SetCloseHandler(req, on_connection_closed, s);
    CaroSession_Deliver(s, now);
}

static void
format_id(const CaroSession *s, uint32_t index, char *buf, size_t size)
{
    CaroEventId e = {.id = s->id, .index = index};
    CARO_COPY(e.owner, s->sessions->common.settings->vm);
    if (s->backup != CARO_NO_HANDLE) {
        CARO_COPY(e.backup,
                  CaroMembership_Get(s->sessions->common.membership, s->backup)
                      ->name);
    }
    CaroEventId_Format(&e, buf, size);
}

static void
add_token(CaroSession *s, uint32_t index, struct evbuffer *out)
{
    char id[EVENT_ID_BYTES_MAX];
    size_t size;
    const char *text = CaroJournal_Token(s->journal, index, &size);
    json_t *string = json_stringn_nocheck(text, size);
    char *quoted = json_dumps(string, JSON_ENCODE_ANY);
    format_id(s, index, id, sizeof(id));
    evbuffer_add_printf(out,
                        "id: %s\ndata: {\"choices\":[{\"index\":0,"
                        "\"text\":%s}]}\n\n",
                        id, quoted == NULL ? "\"\"" : quoted);
    free(quoted);
    json_decref(string);
}

static void
send_events(CaroCall *call, struct evbuffer *events)
{
    CaroCall_SendBody(call, (const char *)evbuffer_pullup(events, -1),
                      evbuffer_get_length(events));
}

static void
finish_response(CaroSession *s, struct evbuffer *out)
{
    uint32_t count = CaroJournal_Count(s->journal);
    evbuffer_add_printf(out,
                        "data: {\"choices\":[{\"index\":0,\"text\":\"\","
                        "\"finish_reason\":\"length\"}],\"usage\":"
                        "{\"completion_tokens\":%u}}\n\ndata: [DONE]\n\n",
                        count);
    CaroCall *req = CaroSession_Detach(s);
    send_events(req, out);
    CaroCall_EndResponse(req);
    CaroCounters_Add(s->sessions->common.counters, CARO_COUNT_GENERATIONS_DONE,
                     1);
    s->sessions->events->on_response_complete(s);
}

/* More than caller_buffer_bytes_max bytes are buffered because the caller
   reads too slowly. */
static bool
is_caller_slow(const CaroSession *s)
{
    return CaroCall_PendingBytes(s->req) >
           (size_t)s->sessions->common.settings->caller_buffer_bytes_max;
}

/* Sends the caller the tokens that the backup has acknowledged, and ends the
   response after the last one.  May close the session. */
void
CaroSession_Deliver(CaroSession *s, CaroTime now)
{
    (void)now;
    CaroSessions *all = s->sessions;
    if (s->req == NULL) {
        return;
    }
    if (is_caller_slow(s)) {
        CaroCounters_Add(all->common.counters, CARO_COUNT_CALLERS_SLOW, 1);
        CaroSession_DropCaller(s);
        return;
    }
    struct evbuffer *out = evbuffer_new();
    if (out == NULL) {
        return;
    }
    bool is_fully_acked =
        s->is_complete && s->backup_acked == CaroJournal_Count(s->journal);
    if (!s->is_response_started &&
        (s->caller_sent < s->backup_acked || is_fully_acked)) {
        start_response(s);
    }
    while (s->caller_sent < s->backup_acked) {
        add_token(s, s->caller_sent, out);
        s->caller_sent++;
        CaroCounters_Add(all->common.counters, CARO_COUNT_TOKENS, 1);
    }
    if (is_fully_acked) {
        finish_response(s, out);
    }
    else if (evbuffer_get_length(out) > 0) {
        send_events(s->req, out);
    }
    evbuffer_free(out);
}

/* Asks the caller to reconnect, with an event, and ends the response
   properly. */
void
CaroSession_SendReconnect(CaroSession *s)
{
    if (s->req == NULL) {
        return;
    }
    if (!s->is_response_started) {
        start_response(s);
    }
    struct evbuffer *out = evbuffer_new();
    CaroCall *req = CaroSession_Detach(s);
    evbuffer_add_printf(out, "event: reconnect\ndata: {}\n\n");
    send_events(req, out);
    CaroCall_EndResponse(req);
    evbuffer_free(out);
}
