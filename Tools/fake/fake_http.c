/* Requests and responses of the fakes, which are served by evhttp. */
#include "fake_http.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
send_bytes(struct evhttp_request *req, int status, const char *type,
           const char *text)
{
    struct evbuffer *buf = evbuffer_new();
    if (buf == NULL) {
        evhttp_send_error(req, HTTP_INTERNAL, NULL);
        return;
    }
    evbuffer_add(buf, text, strlen(text));
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      type);
    evhttp_send_reply(req, status, NULL, buf);
    evbuffer_free(buf);
}

void
Fake_SendJson(struct evhttp_request *req, int status, const json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    send_bytes(req, status, "application/json", text == NULL ? "{}" : text);
    free(text);
}

void
Fake_SendText(struct evhttp_request *req, int status, const char *text)
{
    send_bytes(req, status, "text/plain; charset=utf-8", text);
}

const char *
Fake_Body(struct evhttp_request *req, size_t *size)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    *size = evbuffer_get_length(in);
    const char *bytes = (const char *)evbuffer_pullup(in, -1);
    return bytes == NULL ? "" : bytes;
}

const char *
Fake_Header(struct evhttp_request *req, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

bool
Fake_Query(struct evhttp_request *req, const char *name, char *out,
           size_t size)
{
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
    struct evkeyvalq params;
    if (query == NULL || evhttp_parse_query_str(query, &params) != 0) {
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
