/*
 * NAME
 *     caro_http_head - heads of HTTP/1.1 messages
 *
 * A head is checked byte by byte as it arrives, and taken apart once it is
 * complete.  docs/design/http-messages.md says what is refused.
 *
 * SOURCE
 *     RFC 9112, sections 2 to 6; RFC 9110, sections 5, 7 and 15.
 */
#ifndef CARO_HTTP_HEAD_H
#define CARO_HTTP_HEAD_H

#include "internal/caro_http_fault.h"
#include "internal/caro_text.h"

enum { CARO_HTTP_HEADERS_MAX = 64 }; /* Header lines of one head. */

typedef struct {
    CaroText name;
    CaroText value; /* Without blanks at its ends. */
} CaroHttpHeader;

/* The head of a message.  The texts point into "bytes"; each has a terminator
   behind it. */
typedef struct {
    char *bytes; /* The head as it was read, with a terminator. */
    size_t size;
    CaroText method;   /* Empty in a response. */
    CaroText target;   /* Path and query, or "*"; empty in a response. */
    int minor_version; /* Of HTTP/1. */
    int status;        /* 0 in a request. */
    CaroHttpHeader headers[CARO_HTTP_HEADERS_MAX];
    int n_headers;
    int64_t length;     /* Content-Length; -1 when absent. */
    bool is_chunked;    /* The body has the transfer coding "chunked". */
    bool is_persistent; /* The connection may be used for another message. */
    bool is_close_delimited; /* The body ends when the connection closes. */
    bool has_no_body;        /* None follows, whatever the headers say. */
} CaroHttpHead;

/* Checks the lines of a head. */
typedef struct CaroHttpHeadScanner CaroHttpHeadScanner;

/* Creates a scanner; NULL without memory. */
CaroHttpHeadScanner *CaroHttpHeadScanner_Create(CaroHttpMessageKind kind);
void CaroHttpHeadScanner_Destroy(CaroHttpHeadScanner *s);

/* Prepares for the next head. */
void CaroHttpHeadScanner_Begin(CaroHttpHeadScanner *s);

/*
 * Checks bytes up to the end of the head.  Returns how many belong to it; of a
 * byte that is refused, those before it.
 */
size_t CaroHttpHeadScanner_Feed(CaroHttpHeadScanner *s, CaroText bytes);

/* Whether the head is complete, which ends with an empty line. */
bool CaroHttpHeadScanner_IsComplete(const CaroHttpHeadScanner *s);

/* CARO_HTTP_FAULT_NONE, or why the head was refused. */
CaroHttpFault CaroHttpHeadScanner_Fault(const CaroHttpHeadScanner *s);

/*
 * Takes apart a head that the scanner has checked: fills in *head, of which
 * "bytes" and "size" are set.  With "is_bodiless" a response has no body, as
 * one to a HEAD request.  Returns CARO_HTTP_FAULT_NONE, or why the head is
 * refused and in *offset where.
 */
CaroHttpFault CaroHttpHead_Parse(CaroHttpHead *head, CaroHttpMessageKind kind,
                                 bool is_bodiless, size_t *offset);

/* The value of the first header with the name, in any case; "at" is NULL
   when there is none. */
CaroText CaroHttpHead_Find(const CaroHttpHead *head, const char *name);

/* Whether a header Connection of the message lists the name (RFC 9110,
   section 7.6.1). */
bool CaroHttpHead_IsListedInConnection(const CaroHttpHead *head,
                                       CaroText name);

#endif
