/*
 * NAME
 *     caro_http_fault - why a message of HTTP/1.1 is refused
 *
 * Each cause has a counter of its own for requests and one for responses,
 * which belong to the process, as the log does.
 */
#ifndef CARO_HTTP_FAULT_H
#define CARO_HTTP_FAULT_H

#include <event2/buffer.h>
#include <stdint.h>

/* X(ID, NAME, TEXT): NAME is part of the counter's name, and TEXT is the
   reason in the log. */
#define CARO_HTTP_FAULT_LIST(X)                                               \
    X(NONE, "none", "")                                                       \
    X(START_LINE, "start_line", "the start line is malformed")                \
    X(TARGET, "target", "the request target is malformed or ambiguous")       \
    X(VERSION, "version", "unsupported HTTP version")                         \
    X(STATUS, "status", "the status is not one of HTTP")                      \
    X(LINE_END, "line_end", "a line of the head does not end with CR LF")     \
    X(FIELD_NAME, "field_name", "a header name is not a token")               \
    X(FIELD_VALUE, "field_value", "control character in a header value")      \
    X(FOLDED, "folded_line", "folded header line")                            \
    X(HOST, "host", "Host is missing or malformed")                           \
    X(REPEATED, "repeated_field", "a header that may occur once is repeated") \
    X(CONNECTION, "connection", "Connection is malformed or not allowed")     \
    X(LENGTH, "content_length", "Content-Length is not a number")             \
    X(CODING, "transfer_coding", "unsupported transfer coding")               \
    X(LENGTH_AND_CODING, "length_and_coding",                                 \
      "Content-Length together with Transfer-Encoding")                       \
    X(BODY, "unexpected_body", "the status does not allow a body")            \
    X(UPGRADE, "upgrade", "protocol upgrade is not supported")                \
    X(EXPECTATION, "expectation", "the expectation is not supported")         \
    X(HEAD_SIZE, "head_size", "message head too large")                       \
    X(CHUNK_SIZE, "chunk_size", "the size of a chunk is malformed")           \
    X(CHUNK_EXTENSION, "chunk_extension", "a chunk extension is malformed")   \
    X(CHUNK_END, "chunk_end", "no CR LF behind the data of a chunk")          \
    X(EXTENSION_SIZE, "extension_size", "chunk extensions too large")         \
    X(TRAILER, "trailer", "a trailer field is malformed")                     \
    X(TRAILER_SIZE, "trailer_size", "trailer section too large")              \
    X(INCOMPLETE, "incomplete", "the connection was closed within a message") \
    X(MEMORY, "memory", "out of memory")

typedef enum {
#define X(id, name, text) CARO_HTTP_FAULT_##id,
    CARO_HTTP_FAULT_LIST(X)
#undef X
        CARO_HTTP_FAULTS
} CaroHttpFault;

typedef enum {
    CARO_HTTP_REQUEST,
    CARO_HTTP_RESPONSE,
    CARO_HTTP_MESSAGE_KINDS
} CaroHttpMessageKind;

/* Static texts: the short name of a cause, and its reason. */
const char *CaroHttpFault_Name(CaroHttpFault fault);
const char *CaroHttpFault_Text(CaroHttpFault fault);

/* Counts a refused message. */
void CaroHttpFault_Record(CaroHttpMessageKind kind, CaroHttpFault fault);

/* How many messages this process has refused. */
uint64_t CaroHttpFault_Count(CaroHttpMessageKind kind, CaroHttpFault fault);

/* Appends a line "NAME value" for each counter. */
void CaroHttpFault_WriteCounters(struct evbuffer *out);

#endif
