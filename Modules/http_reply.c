/* Requests and responses of the product's own interfaces. */
#include "internal/caro_http_reply.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *
run_name(CaroRun run)
{
    switch (run) {
    case CARO_RUN_NO:
        return "no";
    case CARO_RUN_YES:
        return "yes";
    default:
        return "unknown";
    }
}

void
CaroHttp_SendBytes(CaroCall *call, int status, const char *type,
                   const char *bytes, size_t size)
{
    struct evbuffer *headers = evbuffer_new();
    struct evbuffer *body = evbuffer_new();
    if (headers == NULL || body == NULL ||
        evbuffer_add(body, bytes, size) < 0) {
        CaroCall_Respond(call, 500, NULL, NULL);
    }
    else {
        (void)evbuffer_add_printf(headers, "Content-Type: %s\r\n", type);
        CaroCall_Respond(call, status, headers, body);
    }
    if (headers != NULL) {
        evbuffer_free(headers);
    }
    if (body != NULL) {
        evbuffer_free(body);
    }
}

static void
send_text(CaroCall *call, int status, const char *type, const char *text)
{
    CaroHttp_SendBytes(call, status, type, text, strlen(text));
}

void
CaroHttp_SendProblem(CaroCall *call, int status, CaroRun run,
                     const char *title, const char *detail_format, ...)
{
    char detail[512];
    va_list args;
    va_start(args, detail_format);
    (void)vsnprintf(detail, sizeof(detail), detail_format, args);
    va_end(args);
    json_t *value = json_pack("{s:s, s:i, s:s, s:s}", "title", title, "status",
                              status, "detail", detail, "run", run_name(run));
    if (value == NULL) { /* The detail is not valid UTF-8. */
        value = json_pack("{s:s, s:i, s:s}", "title", title, "status", status,
                          "run", run_name(run));
    }
    char *text = json_dumps(value, JSON_COMPACT);
    send_text(call, status, "application/problem+json",
              text == NULL ? "{}" : text);
    free(text);
    json_decref(value);
}

void
CaroHttp_SendJson(CaroCall *call, int status, const json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    send_text(call, status, "application/json", text == NULL ? "{}" : text);
    free(text);
}

void
CaroHttp_SendText(CaroCall *call, int status, const char *text)
{
    send_text(call, status, "text/plain; charset=utf-8", text);
}

const char *
CaroHttp_Body(const CaroCall *call, size_t *size)
{
    struct evbuffer *body = CaroCall_Body(call);
    *size = evbuffer_get_length(body);
    const char *bytes = (const char *)evbuffer_pullup(body, -1);
    return bytes == NULL ? "" : bytes;
}

const char *
CaroHttp_Header(const CaroCall *call, const char *name)
{
    return CaroHttpHead_Find(CaroCall_Head(call), name).at;
}

bool
CaroHttp_IsMethod(const CaroCall *call, const char *method)
{
    return CaroText_Equals(CaroCall_Head(call)->method, method);
}

CaroText
CaroHttp_Path(const CaroCall *call)
{
    CaroText target = CaroCall_Head(call)->target;
    return (CaroText){target.at, strcspn(target.at, "?")};
}

bool
CaroHttp_Query(const CaroCall *call, const char *name, char *out, size_t size)
{
    CaroText target = CaroCall_Head(call)->target;
    const char *query = memchr(target.at, '?', target.size);
    struct evkeyvalq params;
    if (query == NULL || evhttp_parse_query_str(query + 1, &params) != 0) {
        return false;
    }
    const char *value = evhttp_find_header(&params, name);
    bool is_found = value != NULL && strlen(value) < size;
    if (is_found) {
        (void)snprintf(out, size, "%s", value);
    }
    evhttp_clear_headers(&params);
    return is_found;
}
