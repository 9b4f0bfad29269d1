/*
 * The caller's side of a session: server-sent events out, and connections
 * that come and go.
 */
#include "internal/caro_session.h"

#include "internal/caro_clock.h"
#include "internal/caro_event_id.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <stdlib.h>

enum { SSE_LINE_MAX = 256 };

/* Takes the request from the session, which no longer hears of it. */
struct evhttp_request *
CaroSession_Detach(CaroSession *s)
{
    struct evhttp_request *req = s->req;
    evhttp_connection_set_closecb(evhttp_request_get_connection(req), NULL,
                                  NULL);
    s->req = NULL;
    s->is_answering = false;
    s->caller_left = CaroClock_Now();
    return req;
}

static void
on_caller_closed(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    CaroSession *s = arg;
    s->req = NULL;
    s->is_answering = false;
    s->caller_left = CaroClock_Now();
    s->all->events->on_caller_left(s);
}

/* Closes the caller's connection in the middle of an answer. */
void
CaroSession_DropCaller(CaroSession *s)
{
    if (s->req != NULL) {
        struct evhttp_request *req = CaroSession_Detach(s);
        evhttp_connection_free(evhttp_request_get_connection(req));
    }
}

/* The head of the answer goes out with the first token, so that a
   request that gets none can still be refused. */
static void
start_answer(CaroSession *s)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(s->req);
    evhttp_add_header(headers, "Content-Type", "text/event-stream");
    evhttp_add_header(headers, "Cache-Control", "no-store");
    evhttp_send_reply_start(s->req, HTTP_OK, "OK");
    struct evhttp_connection *c = evhttp_request_get_connection(s->req);
    bufferevent_enable(evhttp_connection_get_bufferevent(c), EV_READ);
    s->is_answering = true;
}

void
CaroSession_Attach(CaroSession *s, struct evhttp_request *req, uint32_t from,
                   CaroTime now)
{
    CaroSession_DropCaller(s);
    s->req = req;
    s->sent = from;
    struct evhttp_connection *c = evhttp_request_get_connection(req);
    evhttp_connection_set_closecb(c, on_caller_closed, s);
    /* The header timeout was for the request; a long answer has none. */
    enum { ANSWER_TIMEOUT_S = 3600 };
    evhttp_connection_set_timeout(c, ANSWER_TIMEOUT_S);
    /* evhttp stops reading while it answers; a close is seen by reading. */
    bufferevent_enable(evhttp_connection_get_bufferevent(c), EV_READ);
    CaroSession_Deliver(s, now);
}

static void
format_id(const CaroSession *s, uint32_t index, char *buf, size_t size)
{
    CaroEventId e = {.id = s->id, .index = index};
    CARO_COPY(e.owner, s->all->common.settings->vm);
    if (s->backup != CARO_NO_HANDLE) {
        CARO_COPY(
            e.backup,
            CaroMembership_Get(s->all->common.membership, s->backup)->name);
    }
    CaroEventId_Format(&e, buf, size);
}

static void
add_token(CaroSession *s, uint32_t index, struct evbuffer *out)
{
    char id[SSE_LINE_MAX];
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
finish_answer(CaroSession *s, struct evbuffer *out)
{
    uint32_t count = CaroJournal_Count(s->journal);
    evbuffer_add_printf(out,
                        "data: {\"choices\":[{\"index\":0,\"text\":\"\","
                        "\"finish_reason\":\"length\"}],\"usage\":"
                        "{\"completion_tokens\":%u}}\n\ndata: [DONE]\n\n",
                        count);
    struct evhttp_request *req = CaroSession_Detach(s);
    evhttp_send_reply_chunk(req, out);
    evhttp_send_reply_end(req);
    CaroCounters_Add(s->all->common.counters, CARO_COUNT_GENERATIONS_DONE, 1);
    s->all->events->on_answered(s);
}

static bool
is_caller_slow(const CaroSession *s)
{
    struct evhttp_connection *c = evhttp_request_get_connection(s->req);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(c);
    size_t unsent = evbuffer_get_length(bufferevent_get_output(bev));
    return unsent > (size_t)s->all->common.settings->caller_buffer_bytes_max;
}

/* Sends the caller what the backup holds.  May close the session. */
void
CaroSession_Deliver(CaroSession *s, CaroTime now)
{
    (void)now;
    CaroSessions *all = s->all;
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
    bool is_whole = s->is_ended && s->acked == CaroJournal_Count(s->journal);
    if (!s->is_answering && (s->sent < s->acked || is_whole)) {
        start_answer(s);
    }
    while (s->sent < s->acked) {
        add_token(s, s->sent, out);
        s->sent++;
        CaroCounters_Add(all->common.counters, CARO_COUNT_TOKENS, 1);
    }
    if (is_whole) {
        finish_answer(s, out);
    }
    else if (evbuffer_get_length(out) > 0) {
        evhttp_send_reply_chunk(s->req, out);
    }
    evbuffer_free(out);
}

/* Ends the answer in good order and tells the caller to come back. */
void
CaroSession_SendReconnect(CaroSession *s)
{
    if (s->req == NULL) {
        return;
    }
    if (!s->is_answering) {
        start_answer(s);
    }
    struct evbuffer *out = evbuffer_new();
    struct evhttp_request *req = CaroSession_Detach(s);
    evbuffer_add_printf(out, "event: reconnect\ndata: {}\n\n");
    evhttp_send_reply_chunk(req, out);
    evhttp_send_reply_end(req);
    evbuffer_free(out);
}
