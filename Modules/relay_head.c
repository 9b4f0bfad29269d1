/*
 * Heads of forwarded requests and responses.
 *
 * Hop-by-hop headers are not forwarded, and headers that only the gateway
 * may set are never copied from a caller's request.
 */
#include "internal/caro_relay_head.h"

#include "internal/caro_platform.h"

#include <stdlib.h>
#include <string.h>

static bool
is_hop_by_hop(CaroText name)
{
    static const char *const names[] = {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "expect",
    };
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (CaroText_EqualsIgnoreCase(name, names[i])) {
            return true;
        }
    }
    return false;
}

/* The header is set by the gateway, or is meant for the gateway alone. */
static bool
is_gateway_header(CaroHeaderId id)
{
    switch (id) {
    case CARO_HEADER_TIME_LEFT:
    case CARO_HEADER_LAST_EVENT_ID:
    case CARO_HEADER_ACCOUNT:
    case CARO_HEADER_API_KEY:
    case CARO_HEADER_EXPECTED_TARGET:
    case CARO_HEADER_PRIORITY:
    case CARO_HEADER_KV_COPY_TO:
    case CARO_HEADER_KV_COPY_FROM:
    case CARO_HEADER_KV_FETCH_FROM:
    case CARO_HEADER_KV_PIN_TIME:
    case CARO_HEADER_RESERVATION:
        return true;
    default:
        return false;
    }
}

static void
add_header_line(struct evbuffer *out, CaroText name, CaroText value)
{
    (void)evbuffer_add(out, name.at, name.size);
    (void)evbuffer_add(out, ": ", 2);
    (void)evbuffer_add(out, value.at, value.size);
    (void)evbuffer_add(out, "\r\n", 2);
}

static void
copy_request_headers(struct evbuffer *out, const CaroHttpHead *head)
{
    for (int i = 0; i < head->n_headers; i++) {
        const CaroHttpHeader *h = &head->headers[i];
        CaroHeaderId id = CaroPlatform_HeaderId(h->name);
        /* A Connection header cannot remove a header that the gateway uses. */
        bool is_stripped = id == CARO_HEADER_OTHER &&
                           CaroHttpHead_IsListedInConnection(head, h->name);
        if (!is_hop_by_hop(h->name) && !is_gateway_header(id) &&
            !is_stripped) {
            add_header_line(out, h->name, h->value);
        }
    }
}

static void
add_header(struct evbuffer *out, CaroHeaderId id, const char *value)
{
    evbuffer_add_printf(out, "%s: %s\r\n", CaroPlatform_HeaderName(id), value);
}

static void
add_number_header(struct evbuffer *out, CaroHeaderId id, int64_t value)
{
    evbuffer_add_printf(out, "%s: %lld\r\n", CaroPlatform_HeaderName(id),
                        (long long)value);
}

int
CaroRelayHead_WriteRequest(struct evbuffer *out, const CaroRequestHead *h)
{
    /* Upstreams admit the rest of a stream that has begun before new work. */
    enum { PRIORITY_RESUMED = 1 };
    const CaroHttpHead *head = CaroCall_Head(h->call);
    struct evbuffer *body = CaroCall_Body(h->call);
    size_t size = evbuffer_get_length(body);
    (void)evbuffer_add(out, head->method.at, head->method.size);
    (void)evbuffer_add(out, " ", 1);
    (void)evbuffer_add(out, head->target.at, head->target.size);
    (void)evbuffer_add(out, " HTTP/1.1\r\n", 11);
    copy_request_headers(out, head);
    add_number_header(out, CARO_HEADER_TIME_LEFT, h->time_left / CARO_MS);
    add_header(out, CARO_HEADER_EXPECTED_TARGET, h->target_id);
    if (h->account != NULL) {
        add_header(out, CARO_HEADER_ACCOUNT, h->account);
    }
    if (h->is_resumed) {
        add_number_header(out, CARO_HEADER_PRIORITY, PRIORITY_RESUMED);
    }
    if (h->last_event_id >= 0) {
        add_number_header(out, CARO_HEADER_LAST_EVENT_ID, h->last_event_id);
    }
    if (h->kv_copy_to != NULL) {
        add_header(out, CARO_HEADER_KV_COPY_TO, h->kv_copy_to);
    }
    if (h->kv_copy_from != NULL) {
        char *name =
            CaroPlatform_WriteKvCopyName(h->kv_copy_from, h->request_id);
        if (name == NULL) {
            return CARO_ERR_NOMEM;
        }
        add_header(out, CARO_HEADER_KV_COPY_FROM, name);
        free(name);
    }
    bool had_body = head->is_chunked || head->length >= 0;
    if (size > 0 || had_body) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n", size);
    }
    (void)evbuffer_add(out, "\r\n", 2);
    /* The body is referenced, not moved: a retry needs it again. */
    return size == 0                                      ? 0
           : evbuffer_add_buffer_reference(out, body) < 0 ? CARO_ERR_NOMEM
                                                          : 0;
}

void
CaroRelayHead_CopyResponse(struct evbuffer *out, const CaroHttpHead *head)
{
    for (int i = 0; i < head->n_headers; i++) {
        const CaroHttpHeader *h = &head->headers[i];
        CaroHeaderId id = CaroPlatform_HeaderId(h->name);
        bool is_stripped = id == CARO_HEADER_OTHER &&
                           CaroHttpHead_IsListedInConnection(head, h->name);
        if (!is_hop_by_hop(h->name) && id != CARO_HEADER_TARGET_LOAD &&
            id != CARO_HEADER_TARGET_LIMIT &&
            id != CARO_HEADER_TARGET_LEAVING && !is_stripped) {
            add_header_line(out, h->name, h->value);
        }
    }
}

const char *
CaroRelayHead_CheckSuccess(const CaroHttpHead *head, const char *id)
{
    const char *signature = CaroPlatform_HeaderName(CARO_HEADER_SIGNATURE);
    const char *request_id = CaroPlatform_HeaderName(CARO_HEADER_REQUEST_ID);
    if (CaroHttpHead_Find(head, signature).size == 0) {
        return "success response without a signature";
    }
    if (!CaroText_Equals(CaroHttpHead_Find(head, request_id), id)) {
        return "success response without the request id";
    }
    if (CaroHttpHead_Find(head, "content-encoding").at != NULL) {
        return "success response with an encoded body";
    }
    return NULL;
}

bool
CaroRelayHead_IsEventStream(const CaroHttpHead *head)
{
    CaroText type = CaroHttpHead_Find(head, "content-type");
    size_t size = 0; /* Of the type without its parameters. */
    while (size < type.size && type.at[size] != ';' && type.at[size] != ' ') {
        size++;
    }
    CaroText name = {type.at, size};
    return head->status == 200 &&
           (type.at == NULL ||
            CaroText_EqualsIgnoreCase(name, "text/event-stream"));
}

bool
CaroRelayHead_IsNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}
