/*
 * Client of a model engine.
 *
 * A stream owns its connection: cancelling the stream closes the connection,
 * and the engine then frees the sequence.
 */
#include "internal/caro_engine.h"

#include "internal/caro_channel.h"
#include "internal/caro_log.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* CaroGeneration detects silent engines much earlier; this timeout only
   closes connections that nothing else closes. */
#define STREAM_TIMEOUT (600 * CARO_SECOND)
/* An engine that cannot be reached within this is dead. */
#define CONNECT_TIMEOUT (3 * CARO_SECOND)
/* Bytes of a line of a response and of all. */
#define LINE_BYTES_MAX 262144
#define STREAM_BYTES_MAX (16 << 20)

struct CaroEngineStream {
    CaroChannel *channel;
    struct event *timer;
    struct evbuffer *input; /* Received and not yet parsed. */
    CaroEngineHandler handler;
    void *context;
    uint64_t id;
    uint32_t attempt;
    int status;           /* Of the response; 0 before its head. */
    size_t body_bytes;    /* Received in all. */
    bool is_closed;       /* Cancelled, or END was reported. */
    bool has_done_marker; /* [DONE] was received. */
};

static void
destroy_stream(CaroEngineStream *s)
{
    CaroChannel_Destroy(s->channel);
    if (s->timer != NULL) {
        event_free(s->timer);
    }
    if (s->input != NULL) {
        evbuffer_free(s->input);
    }
    free(s);
}

/* Also releases a stream that was closed. */
static void on_timeout(evutil_socket_t fd, short what, void *arg);

/* The stream may be in use by a caller on the stack. */
static void
schedule_release(CaroEngineStream *s)
{
    struct timeval no_delay = {0, 0};
    (void)event_add(s->timer, &no_delay);
}

bool
CaroEngine_ParseLoad(const char *text, CaroEngineLoad *load)
{
    json_t *root = json_loads(text, 0, NULL);
    json_t *metrics = json_object_get(root, "named_metrics");
    bool is_valid = json_is_object(metrics);
    if (is_valid) {
        load->running =
            (int)json_number_value(json_object_get(metrics, "running"));
        load->waiting =
            (int)json_number_value(json_object_get(metrics, "waiting"));
        load->capacity =
            (int)json_number_value(json_object_get(metrics, "capacity"));
    }
    json_decref(root);
    return is_valid;
}

/* Parses the data of one server-sent event, a chunk of the completion. */
static void
parse_data(CaroEngineStream *s, const char *data, size_t size)
{
    json_t *root = json_loadb(data, size, 0, NULL);
    json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
    json_t *text = json_object_get(choice, "text");
    if (json_is_string(text) && json_string_length(text) > 0) {
        CaroEngineEvent e = {.kind = CARO_ENGINE_TOKEN};
        e.u.token.text = json_string_value(text);
        e.u.token.size = json_string_length(text);
        s->handler(s->context, s->id, s->attempt, &e);
    }
    json_decref(root);
}

static void
parse_lines(CaroEngineStream *s)
{
    static const char field[] = "data: ";
    size_t prefix = sizeof(field) - 1;
    while (!s->is_closed) {
        size_t size;
        char *line = evbuffer_readln(s->input, &size, EVBUFFER_EOL_CRLF);
        if (line == NULL) {
            return;
        }
        if (size > prefix && memcmp(line, field, prefix) == 0) {
            if (strcmp(line + prefix, "[DONE]") == 0) {
                s->has_done_marker = true;
            }
            else {
                parse_data(s, line + prefix, size - prefix);
            }
        }
        free(line);
    }
}

static void
report_end(CaroEngineStream *s, int status, bool is_complete)
{
    CaroEngineEvent e = {.kind = CARO_ENGINE_END};
    e.u.end.status = status;
    e.u.end.is_complete = is_complete;
    s->is_closed = true;
    s->handler(s->context, s->id, s->attempt, &e);
    schedule_release(s);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroEngineStream *s = arg;
    if (s->is_closed) {
        destroy_stream(s);
        return;
    }
    report_end(s, s->status, false);
}

static void
on_head(void *context, const CaroHttpHead *head)
{
    CaroEngineStream *s = context;
    CaroEngineEvent e = {.kind = CARO_ENGINE_LOAD};
    const char *text = CaroHttpHead_Find(head, "endpoint-load-metrics").at;
    s->status = head->status;
    if (!s->is_closed && text != NULL &&
        CaroEngine_ParseLoad(text, &e.u.load)) {
        s->handler(s->context, s->id, s->attempt, &e);
    }
}

static void
on_body(void *context, CaroText bytes)
{
    CaroEngineStream *s = context;
    if (s->is_closed) {
        return;
    }
    s->body_bytes += bytes.size;
    (void)evbuffer_add(s->input, bytes.at, bytes.size);
    parse_lines(s);
    bool is_line_long = evbuffer_get_length(s->input) > LINE_BYTES_MAX;
    if (!s->is_closed && (is_line_long || s->body_bytes > STREAM_BYTES_MAX)) {
        CaroLog_Warn("engine", "A %s is too long. limit=%d",
                     is_line_long ? "line of a stream" : "stream",
                     is_line_long ? LINE_BYTES_MAX : STREAM_BYTES_MAX);
        report_end(s, s->status, false);
    }
}

static void
on_end(void *context)
{
    CaroEngineStream *s = context;
    if (!s->is_closed) {
        report_end(s, s->status, s->has_done_marker && s->status == 200);
    }
}

static void
on_failure(void *context, int code, const char *reason)
{
    (void)code;
    (void)reason;
    CaroEngineStream *s = context;
    if (!s->is_closed) {
        report_end(s, s->status, false);
    }
}

static const CaroChannelEvents channel_events = {.on_head = on_head,
                                                 .on_body = on_body,
                                                 .on_end = on_end,
                                                 .on_failure = on_failure};

static char *
build_body(const CaroEngineRequest *r)
{
    json_t *root = json_pack(
        "{s:s, s:s, s:s, s:s%, s:I, s:I, s:b, s:i}", "model", r->model,
        "version", r->version, "prompt", r->prompt, "prefix", r->prefix,
        r->prefix_size, "prefix_tokens", (json_int_t)r->prefix_tokens,
        "max_tokens", (json_int_t)r->tokens_max, "stream", 1, "priority",
        r->priority);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

/* Sends the request on a channel of its own; returns false without memory or
   with a malformed address. */
static bool
send_request(CaroEngineStream *s, struct event_base *base,
             const CaroEngineRequest *request)
{
    char *body = build_body(request);
    struct evbuffer *out = evbuffer_new();
    if (body != NULL && out != NULL) {
        (void)evbuffer_add_printf(out,
                                  "POST /v1/completions HTTP/1.1\r\n"
                                  "Host: %s\r\nConnection: close\r\n"
                                  "Content-Type: application/json\r\n"
                                  "Content-Length: %zu\r\n\r\n",
                                  request->address, strlen(body));
        (void)evbuffer_add(out, body, strlen(body));
        s->channel = CaroChannel_Open(base, request->address, CONNECT_TIMEOUT);
    }
    if (s->channel != NULL) {
        CaroChannel_Start(s->channel, out, false, &channel_events, s);
    }
    free(body);
    if (out != NULL) {
        evbuffer_free(out);
    }
    return s->channel != NULL;
}

CaroEngineStream *
CaroEngine_Open(struct event_base *base, const CaroEngineRequest *request,
                CaroEngineHandler handler, void *context)
{
    CaroEngineStream *s = calloc(1, sizeof(*s));
    struct timeval timeout = {.tv_sec = STREAM_TIMEOUT / CARO_SECOND};
    if (s == NULL) {
        return NULL;
    }
    s->handler = handler;
    s->context = context;
    s->id = request->id;
    s->attempt = request->attempt;
    s->input = evbuffer_new();
    s->timer = event_new(base, -1, 0, on_timeout, s);
    if (s->input == NULL || s->timer == NULL ||
        !send_request(s, base, request)) {
        destroy_stream(s);
        return NULL;
    }
    (void)event_add(s->timer, &timeout);
    return s;
}

void
CaroEngine_Cancel(CaroEngineStream *stream)
{
    stream->is_closed = true;
    schedule_release(stream);
}
