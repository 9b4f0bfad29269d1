/*
 * HTTP/1.1 messages read piece by piece.
 *
 * A head is collected whole, checked, and only then given to http_parser,
 * whose call-backs thus see each name and value in one piece.
 */
#include "internal/caro_http_reader.h"

#include "caro_error.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEAD_MAX_DEFAULT 16384

struct CaroHttpReader {
    http_parser parser;
    bool is_request;
    bool skips_body;
    bool is_inside;   /* The head was read, the end was not. */
    bool is_complete; /* http_parser saw the end of the message. */
    size_t head_max;
    CaroHttpHead head;
    struct evbuffer *body; /* Read and not yet handed out. */
    size_t lent;           /* Bytes of the body to drop on the next call. */
    const char *reason;
};

static CaroHttpReader *
reader_of(http_parser *p)
{
    return p->data;
}

static int
on_url(http_parser *p, const char *at, size_t size)
{
    reader_of(p)->head.target = (CaroText){at, size};
    return 0;
}

static int
on_field(http_parser *p, const char *at, size_t size)
{
    CaroHttpHead *head = &reader_of(p)->head;
    if (head->n_headers == CARO_HTTP_HEADERS_MAX) {
        return 1;
    }
    head->headers[head->n_headers++] = (CaroHttpHeader){.name = {at, size}};
    return 0;
}

static int
on_value(http_parser *p, const char *at, size_t size)
{
    CaroHttpHead *head = &reader_of(p)->head;
    head->headers[head->n_headers - 1].value = (CaroText){at, size};
    return 0;
}

static int
on_head_end(http_parser *p)
{
    CaroHttpReader *r = reader_of(p);
    r->is_inside = true;
    return r->skips_body ? 1 : 0;
}

static int
on_body(http_parser *p, const char *at, size_t size)
{
    return evbuffer_add(reader_of(p)->body, at, size) < 0 ? 1 : 0;
}

static int
on_end(http_parser *p)
{
    reader_of(p)->is_complete = true;
    /* Bytes behind the message stay in the input. */
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings callbacks = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head_end,
    .on_body = on_body,
    .on_message_complete = on_end,
};

static void
begin_message(CaroHttpReader *r)
{
    http_parser_init(&r->parser, r->is_request ? HTTP_REQUEST : HTTP_RESPONSE);
    r->parser.data = r;
    r->is_inside = false;
    r->is_complete = false;
    free(r->head.bytes);
    memset(&r->head, 0, sizeof(r->head));
}

CaroHttpReader *
CaroHttpReader_Create(bool is_request)
{
    CaroHttpReader *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return NULL;
    }
    r->body = evbuffer_new();
    if (r->body == NULL) {
        free(r);
        return NULL;
    }
    r->is_request = is_request;
    r->head_max = is_request ? HEAD_MAX_DEFAULT : CARO_HTTP_RESPONSE_HEAD_MAX;
    r->reason = "";
    begin_message(r);
    return r;
}

void
CaroHttpReader_Destroy(CaroHttpReader *r)
{
    if (r == NULL) {
        return;
    }
    evbuffer_free(r->body);
    free(r->head.bytes);
    free(r);
}

void
CaroHttpReader_SetHeadMax(CaroHttpReader *r, size_t bytes)
{
    if (bytes > 0) {
        r->head_max = bytes;
    }
}

void
CaroHttpReader_SkipBody(CaroHttpReader *r, bool skips)
{
    r->skips_body = skips;
}

static int
refuse(CaroHttpReader *r, int code, const char *reason)
{
    r->reason = reason;
    return code;
}

static bool
is_token_char(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Lines end with CR LF, none is folded, each name is a token. */
static const char *
check_lines(const char *bytes, size_t size)
{
    bool is_name = false; /* Not in the start line. */
    for (size_t i = 0; i < size; i++) {
        char c = bytes[i];
        if (c == '\n') {
            if (i == 0 || bytes[i - 1] != '\r') {
                return "a bare line feed in the head";
            }
            is_name = true;
            if (i + 1 < size &&
                (bytes[i + 1] == ' ' || bytes[i + 1] == '\t')) {
                return "a folded header line";
            }
        }
        else if (c == '\r') {
            if (i + 1 >= size || bytes[i + 1] != '\n') {
                return "a bare carriage return in the head";
            }
        }
        else if (is_name) {
            if (c == ':') {
                is_name = false;
            }
            else if (!is_token_char(c)) {
                return "a header name that is no token";
            }
        }
        else if (c != '\t' && ((unsigned char)c < 0x20 || c == 0x7f)) {
            return "a control character in the head";
        }
    }
    return NULL;
}

/* One way only to find the end of the body. */
static const char *
check_framing(const CaroHttpReader *r)
{
    int lengths = 0;
    int codings = 0;
    for (int i = 0; i < r->head.n_headers; i++) {
        const CaroHttpHeader *h = &r->head.headers[i];
        int64_t n;
        if (CaroText_EqualsIgnoreCase(h->name, "content-length")) {
            lengths++;
            if (!CaroText_ToNumber(h->value, &n)) {
                return "a content length that is no number";
            }
        }
        else if (CaroText_EqualsIgnoreCase(h->name, "transfer-encoding")) {
            codings++;
            if (!CaroText_EqualsIgnoreCase(h->value, "chunked")) {
                return "a transfer coding other than chunked";
            }
        }
    }
    if (lengths > 1 || codings > 1) {
        return "two lengths or two transfer codings";
    }
    if (lengths > 0 && codings > 0) {
        return "a length beside a transfer coding";
    }
    if (r->parser.upgrade) {
        return "a request for another protocol";
    }
    if (r->parser.http_major != 1 ||
        (codings > 0 && r->parser.http_minor == 0)) {
        return "a version of HTTP that is not spoken here";
    }
    return NULL;
}

static void
fill_head(CaroHttpReader *r)
{
    CaroHttpHead *head = &r->head;
    if (r->is_request) {
        const char *space = strchr(head->bytes, ' ');
        head->method = (CaroText){head->bytes, (size_t)(space - head->bytes)};
    }
    else {
        head->status = (int)r->parser.status_code;
    }
    CaroText length = CaroHttpHead_Find(head, "content-length");
    head->length = -1;
    if (length.at != NULL) {
        (void)CaroText_ToNumber(length, &head->length);
    }
    head->is_chunked = CaroHttpHead_Find(head, "transfer-encoding").at != NULL;
    head->is_keepable = http_should_keep_alive(&r->parser) != 0;
    head->is_unbounded = !r->is_request && !head->is_chunked &&
                         head->length < 0 && !r->is_complete;
}

/* Runs http_parser; returns how many bytes it took, or -1. */
static ssize_t
run_parser(CaroHttpReader *r, const char *bytes, size_t size)
{
    size_t n = http_parser_execute(&r->parser, &callbacks, bytes, size);
    enum http_errno e = HTTP_PARSER_ERRNO(&r->parser);
    if (e == HPE_PAUSED) {
        http_parser_pause(&r->parser, 0);
        return (ssize_t)n;
    }
    if (e != HPE_OK || r->parser.upgrade) {
        r->reason = e != HPE_OK ? http_errno_description(e)
                                : "a request for another protocol";
        return -1;
    }
    return (ssize_t)n;
}

static int
take_head(CaroHttpReader *r, struct evbuffer *in, CaroHttpPiece *piece)
{
    /* Empty lines before a message are to be passed over. */
    char peek[2];
    while (evbuffer_copyout(in, peek, 2) == 2 && peek[0] == '\r' &&
           peek[1] == '\n') {
        evbuffer_drain(in, 2);
    }
    size_t have = evbuffer_get_length(in);
    if (have == 0) {
        return 0;
    }
    struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
    size_t size = end.pos < 0 ? have : (size_t)end.pos + 4;
    if (size > r->head_max) {
        return refuse(r, CARO_ERR_FULL, "a head that is too large");
    }
    if (end.pos < 0) {
        /* A head ended by bare line feeds would be waited for in vain. */
        if (evbuffer_search(in, "\n\n", 2, NULL).pos >= 0) {
            return refuse(r, CARO_ERR_INPUT, "a bare line feed in the head");
        }
        return 0;
    }
    begin_message(r);
    r->head.bytes = malloc(size + 1);
    if (r->head.bytes == NULL) {
        return refuse(r, CARO_ERR_NOMEM, "no memory for a head");
    }
    (void)evbuffer_remove(in, r->head.bytes, size);
    r->head.bytes[size] = '\0';
    const char *fault = check_lines(r->head.bytes, size);
    if (fault != NULL) {
        return refuse(r, CARO_ERR_INPUT, fault);
    }
    if (run_parser(r, r->head.bytes, size) < 0) {
        return CARO_ERR_INPUT;
    }
    fault = check_framing(r);
    if (fault != NULL) {
        return refuse(r, CARO_ERR_INPUT, fault);
    }
    fill_head(r);
    piece->kind = CARO_PIECE_HEAD;
    return 0;
}

static int
take_body(CaroHttpReader *r, struct evbuffer *in, CaroHttpPiece *piece)
{
    struct evbuffer_iovec span;
    while (!r->is_complete && evbuffer_get_length(r->body) == 0 &&
           evbuffer_peek(in, -1, NULL, &span, 1) > 0 && span.iov_len > 0) {
        ssize_t n = run_parser(r, span.iov_base, span.iov_len);
        if (n < 0) {
            return CARO_ERR_INPUT;
        }
        evbuffer_drain(in, (size_t)n);
    }
    size_t size = evbuffer_get_length(r->body);
    if (size > 0) {
        piece->kind = CARO_PIECE_BODY;
        piece->body.at = (const char *)evbuffer_pullup(r->body, -1);
        piece->body.size = size;
        r->lent = size;
    }
    else if (r->is_complete) {
        piece->kind = CARO_PIECE_END;
        r->is_inside = false;
        r->is_complete = false;
    }
    return 0;
}

int
CaroHttpReader_Next(CaroHttpReader *r, struct evbuffer *in,
                    CaroHttpPiece *piece)
{
    *piece = (CaroHttpPiece){.kind = CARO_PIECE_NONE};
    evbuffer_drain(r->body, r->lent);
    r->lent = 0;
    return r->is_inside ? take_body(r, in, piece) : take_head(r, in, piece);
}

int
CaroHttpReader_Finish(CaroHttpReader *r)
{
    if (!r->is_inside || r->is_complete) {
        return 0;
    }
    (void)http_parser_execute(&r->parser, &callbacks, NULL, 0);
    if (!r->is_complete) {
        r->reason = "the connection ended within a message";
        return CARO_ERR_IO;
    }
    return 0;
}

const CaroHttpHead *
CaroHttpReader_Head(const CaroHttpReader *r)
{
    return &r->head;
}

const char *
CaroHttpReader_Reason(const CaroHttpReader *r)
{
    return r->reason;
}

bool
CaroHttpReader_IsInside(const CaroHttpReader *r)
{
    return r->is_inside;
}

CaroText
CaroHttpHead_Find(const CaroHttpHead *head, const char *name)
{
    for (int i = 0; i < head->n_headers; i++) {
        if (CaroText_EqualsIgnoreCase(head->headers[i].name, name)) {
            return head->headers[i].value;
        }
    }
    return (CaroText){NULL, 0};
}

bool
CaroText_Equals(CaroText text, const char *word)
{
    return text.size == strlen(word) &&
           (text.size == 0 || memcmp(text.at, word, text.size) == 0);
}

bool
CaroText_EqualsIgnoreCase(CaroText text, const char *word)
{
    return text.size == strlen(word) &&
           (text.size == 0 || strncasecmp(text.at, word, text.size) == 0);
}

bool
CaroText_ToNumber(CaroText text, int64_t *n)
{
    enum { DIGITS_MAX = 18 };
    if (text.size == 0 || text.size > DIGITS_MAX) {
        return false;
    }
    int64_t value = 0;
    for (size_t i = 0; i < text.size; i++) {
        if (text.at[i] < '0' || text.at[i] > '9') {
            return false;
        }
        value = value * 10 + (text.at[i] - '0');
    }
    *n = value;
    return true;
}

bool
CaroText_Copy(CaroText text, char *out, size_t size)
{
    size_t n = text.size < size - 1 ? text.size : size - 1;
    if (n > 0) {
        memcpy(out, text.at, n);
    }
    out[n] = '\0';
    return n == text.size;
}
