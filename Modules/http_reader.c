/*
 * Incremental reader of HTTP/1.1 messages.
 *
 * The head is checked as it arrives and taken apart once it is complete; the
 * body ends at its length, its last chunk or the end of the connection.
 */
#include "internal/caro_http_reader.h"

#include "caro_error.h"
#include "internal/caro_http_chunks.h"
#include "internal/caro_log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define REQUEST_HEAD_BYTES_MAX_DEFAULT 16384
/* Empty lines that are ignored before a request. */
#define EMPTY_LINES_MAX 8

/* How the end of the body is found. */
typedef enum {
    BODY_LENGTH,
    BODY_CHUNKS,
    BODY_UNTIL_CLOSE,
    BODY_ENDED
} BodyState;

struct CaroHttpReader {
    CaroHttpMessageKind kind;
    const char *peer;
    bool is_bodiless;   /* See CaroHttpReader_SkipBody. */
    bool is_in_message; /* The head has been read, the end has not. */
    size_t head_bytes_max;
    int n_empty_lines; /* Before the next message. */
    CaroHttpHeadScanner *scanner;
    size_t scanned; /* Bytes of the head that have been scanned. */
    CaroHttpHead head;
    BodyState body;
    uint64_t left; /* Bytes of a BODY_LENGTH that have not been read. */
    CaroHttpChunks *chunks;
    struct evbuffer *decoded; /* Data of chunks. */
    size_t returned_bytes; /* What the last piece refers to: of "decoded", */
    bool is_piece_decoded; /* or else of the input. */
    uint64_t offset;       /* Bytes of the message that have been read. */
    CaroHttpFault fault;
};

static void
begin_message(CaroHttpReader *r)
{
    CaroHttpHeadScanner_Begin(r->scanner);
    r->scanned = 0;
    r->n_empty_lines = 0;
    r->is_in_message = false;
    r->offset = 0;
    r->fault = CARO_HTTP_FAULT_NONE;
}

CaroHttpReader *
CaroHttpReader_Create(bool is_request)
{
    CaroHttpReader *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return NULL;
    }
    r->kind = is_request ? CARO_HTTP_REQUEST : CARO_HTTP_RESPONSE;
    r->scanner = CaroHttpHeadScanner_Create(r->kind);
    r->chunks = CaroHttpChunks_Create();
    r->decoded = evbuffer_new();
    if (r->scanner == NULL || r->chunks == NULL || r->decoded == NULL) {
        CaroHttpReader_Destroy(r);
        return NULL;
    }
    r->head_bytes_max = is_request ? REQUEST_HEAD_BYTES_MAX_DEFAULT
                                   : CARO_HTTP_RESPONSE_HEAD_MAX;
    r->peer = "";
    return r;
}

void
CaroHttpReader_Destroy(CaroHttpReader *r)
{
    if (r == NULL) {
        return;
    }
    CaroHttpHeadScanner_Destroy(r->scanner);
    CaroHttpChunks_Destroy(r->chunks);
    if (r->decoded != NULL) {
        evbuffer_free(r->decoded);
    }
    free(r->head.bytes);
    free(r);
}

void
CaroHttpReader_SetPeer(CaroHttpReader *r, const char *peer)
{
    r->peer = peer;
}

void
CaroHttpReader_SetHeadMax(CaroHttpReader *r, size_t bytes)
{
    if (bytes > 0) {
        r->head_bytes_max = bytes;
    }
}

void
CaroHttpReader_SkipBody(CaroHttpReader *r, bool has_no_body)
{
    r->is_bodiless = has_no_body;
}

static int
error_code(CaroHttpFault fault)
{
    return fault == CARO_HTTP_FAULT_HEAD_SIZE ? CARO_ERR_FULL
           : fault == CARO_HTTP_FAULT_MEMORY  ? CARO_ERR_NOMEM
                                              : CARO_ERR_INPUT;
}

/* Refuses the message at the byte with the given offset. */
static int
refuse(CaroHttpReader *r, CaroHttpFault fault, uint64_t offset)
{
    r->fault = fault;
    r->offset = offset;
    CaroHttpFault_Record(r->kind, fault);
    CaroLog_Info("http",
                 "A message was refused. kind=%s peer=%s cause=%s "
                 "offset=%" PRIu64,
                 r->kind == CARO_HTTP_REQUEST ? "request" : "response",
                 r->peer, CaroHttpFault_Name(fault), offset);
    return error_code(fault);
}

/* Removes empty lines before a request (RFC 9112, section 2.2).  Returns false
   when there are too many. */
static bool
skip_empty_lines(CaroHttpReader *r, struct evbuffer *in)
{
    char start[2];
    while (r->kind == CARO_HTTP_REQUEST && r->scanned == 0 &&
           evbuffer_copyout(in, start, 2) == 2 && start[0] == '\r' &&
           start[1] == '\n') {
        evbuffer_drain(in, 2);
        if (++r->n_empty_lines > EMPTY_LINES_MAX) {
            return false;
        }
    }
    return true;
}

/* Returns whether the input is the first byte of an empty line so far. */
static bool
may_be_empty_line(const CaroHttpReader *r, struct evbuffer *in)
{
    char first;
    return r->kind == CARO_HTTP_REQUEST && r->scanned == 0 &&
           evbuffer_get_length(in) == 1 &&
           evbuffer_copyout(in, &first, 1) == 1 && first == '\r';
}

/* Scans the bytes of the head that have arrived since the last call. */
static void
scan_head(CaroHttpReader *r, struct evbuffer *in)
{
    struct evbuffer_ptr from;
    struct evbuffer_iovec span;
    while (!CaroHttpHeadScanner_IsComplete(r->scanner) &&
           CaroHttpHeadScanner_Fault(r->scanner) == CARO_HTTP_FAULT_NONE &&
           evbuffer_ptr_set(in, &from, r->scanned, EVBUFFER_PTR_SET) == 0 &&
           evbuffer_peek(in, -1, &from, &span, 1) > 0 && span.iov_len > 0) {
        r->scanned += CaroHttpHeadScanner_Feed(
            r->scanner, (CaroText){span.iov_base, span.iov_len});
    }
}

static void
begin_body(CaroHttpReader *r)
{
    const CaroHttpHead *head = &r->head;
    if (head->is_chunked && !head->has_no_body) {
        r->body = BODY_CHUNKS;
        CaroHttpChunks_Begin(r->chunks, r->head_bytes_max);
    }
    else if (head->is_close_delimited) {
        r->body = BODY_UNTIL_CLOSE;
    }
    else if (head->length > 0 && !head->has_no_body) {
        r->body = BODY_LENGTH;
        r->left = (uint64_t)head->length;
    }
    else {
        r->body = BODY_ENDED;
    }
}

static int
read_head(CaroHttpReader *r, struct evbuffer *in, CaroHttpPiece *piece)
{
    if (!skip_empty_lines(r, in)) {
        return refuse(r, CARO_HTTP_FAULT_START_LINE, 0);
    }
    if (may_be_empty_line(r, in)) {
        return 0;
    }
    scan_head(r, in);
    size_t size = r->scanned;
    CaroHttpFault fault = CaroHttpHeadScanner_Fault(r->scanner);
    if (fault != CARO_HTTP_FAULT_NONE) {
        return refuse(r, fault, size);
    }
    if (size > r->head_bytes_max) {
        return refuse(r, CARO_HTTP_FAULT_HEAD_SIZE, r->head_bytes_max);
    }
    if (!CaroHttpHeadScanner_IsComplete(r->scanner)) {
        return 0;
    }
    begin_message(r);
    free(r->head.bytes);
    memset(&r->head, 0, sizeof(r->head));
    r->head.size = size;
    r->head.bytes = malloc(size + 1);
    if (r->head.bytes == NULL) {
        return refuse(r, CARO_HTTP_FAULT_MEMORY, size);
    }
    (void)evbuffer_remove(in, r->head.bytes, size);
    r->head.bytes[size] = '\0';
    size_t offset;
    fault = CaroHttpHead_Parse(&r->head, r->kind, r->is_bodiless, &offset);
    if (fault != CARO_HTTP_FAULT_NONE) {
        return refuse(r, fault, offset);
    }
    r->offset = size;
    r->is_in_message = true;
    begin_body(r);
    piece->kind = CARO_PIECE_HEAD;
    return 0;
}

/* Moves the data of the chunks in the first span of the input to "decoded". */
static int
decode_span(CaroHttpReader *r, struct evbuffer *in, CaroText span)
{
    size_t at = 0;
    if (evbuffer_expand(r->decoded, span.size) < 0) {
        return refuse(r, CARO_HTTP_FAULT_MEMORY, r->offset);
    }
    while (at < span.size && !CaroHttpChunks_IsComplete(r->chunks)) {
        CaroText data;
        at += CaroHttpChunks_Feed(
            r->chunks, (CaroText){span.at + at, span.size - at}, &data);
        CaroHttpFault fault = CaroHttpChunks_Fault(r->chunks);
        if (fault != CARO_HTTP_FAULT_NONE) {
            return refuse(r, fault, r->offset + at);
        }
        if (evbuffer_add(r->decoded, data.at, data.size) < 0) {
            return refuse(r, CARO_HTTP_FAULT_MEMORY, r->offset + at);
        }
    }
    evbuffer_drain(in, at);
    r->offset += at;
    if (CaroHttpChunks_IsComplete(r->chunks)) {
        r->body = BODY_ENDED;
    }
    return 0;
}

static int
read_chunks(CaroHttpReader *r, struct evbuffer *in, CaroHttpPiece *piece)
{
    struct evbuffer_iovec span;
    while (r->body == BODY_CHUNKS && evbuffer_get_length(r->decoded) == 0 &&
           evbuffer_peek(in, -1, NULL, &span, 1) > 0 && span.iov_len > 0) {
        int code = decode_span(r, in, (CaroText){span.iov_base, span.iov_len});
        if (code < 0) {
            return code;
        }
    }
    size_t size = evbuffer_get_length(r->decoded);
    if (size > 0) {
        piece->kind = CARO_PIECE_BODY;
        piece->body.at = (const char *)evbuffer_pullup(r->decoded, -1);
        piece->body.size = size;
        r->returned_bytes = size;
        r->is_piece_decoded = true;
    }
    return 0;
}

/* Returns the first span of the input, up to the end of the body. */
static void
read_plain(CaroHttpReader *r, struct evbuffer *in, CaroHttpPiece *piece)
{
    struct evbuffer_iovec span;
    if (evbuffer_peek(in, -1, NULL, &span, 1) <= 0 || span.iov_len == 0) {
        return;
    }
    size_t size = span.iov_len;
    if (r->body == BODY_LENGTH) {
        size = r->left < size ? (size_t)r->left : size;
        r->left -= size;
        r->body = r->left == 0 ? BODY_ENDED : BODY_LENGTH;
    }
    piece->kind = CARO_PIECE_BODY;
    piece->body = (CaroText){span.iov_base, size};
    r->returned_bytes = size;
    r->is_piece_decoded = false;
    r->offset += size;
}

static int
read_body(CaroHttpReader *r, struct evbuffer *in, CaroHttpPiece *piece)
{
    int code = 0;
    switch (r->body) {
    case BODY_CHUNKS:
        code = read_chunks(r, in, piece);
        break;
    case BODY_LENGTH:
    case BODY_UNTIL_CLOSE:
        read_plain(r, in, piece);
        break;
    case BODY_ENDED:
        break;
    }
    if (code == 0 && piece->kind == CARO_PIECE_NONE && r->body == BODY_ENDED) {
        piece->kind = CARO_PIECE_END;
        begin_message(r);
    }
    return code;
}

int
CaroHttpReader_Next(CaroHttpReader *r, struct evbuffer *in,
                    CaroHttpPiece *piece)
{
    *piece = (CaroHttpPiece){.kind = CARO_PIECE_NONE};
    if (r->fault != CARO_HTTP_FAULT_NONE) {
        return error_code(r->fault);
    }
    evbuffer_drain(r->is_piece_decoded ? r->decoded : in, r->returned_bytes);
    r->returned_bytes = 0;
    return r->is_in_message ? read_body(r, in, piece)
                            : read_head(r, in, piece);
}

int
CaroHttpReader_Finish(CaroHttpReader *r)
{
    if (!r->is_in_message || r->body == BODY_ENDED) {
        return 0;
    }
    if (r->body == BODY_UNTIL_CLOSE) {
        r->body = BODY_ENDED;
        return 0;
    }
    r->fault = CARO_HTTP_FAULT_INCOMPLETE;
    CaroHttpFault_Record(r->kind, r->fault);
    return CARO_ERR_IO;
}

const CaroHttpHead *
CaroHttpReader_Head(const CaroHttpReader *r)
{
    return &r->head;
}

CaroHttpFault
CaroHttpReader_Fault(const CaroHttpReader *r, uint64_t *offset)
{
    *offset = r->offset;
    return r->fault;
}

const char *
CaroHttpReader_Reason(const CaroHttpReader *r)
{
    return CaroHttpFault_Text(r->fault);
}

bool
CaroHttpReader_IsInMessage(const CaroHttpReader *r)
{
    return r->is_in_message;
}
