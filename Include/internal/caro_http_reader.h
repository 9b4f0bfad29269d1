/*
 * NAME
 *     caro_http_reader - incremental reader of HTTP/1.1 messages
 *
 * The messages are parsed by http_parser.  The framing is checked more
 * strictly than that library does: a bare line feed, a folded line, a name
 * that is not a token, a second Content-Length, one that is not all digits,
 * one together with a transfer coding, and any coding but "chunked" are
 * refused.  Another parser on the way could find a different end of such a
 * message and take part of its body for a request (request smuggling).
 *
 * SOURCE
 *     RFC 9112, sections 2.2, 5.1, 5.2, 6.1, 6.3.
 */
#ifndef CARO_HTTP_READER_H
#define CARO_HTTP_READER_H

#include "internal/caro_types.h"

#include <event2/buffer.h>

enum {
    CARO_HTTP_HEADERS_MAX = 64,         /* Header lines of one head. */
    CARO_HTTP_RESPONSE_HEAD_MAX = 32768 /* Bytes of a response head. */
};

/* A borrowed range of bytes, without a terminator. */
typedef struct {
    const char *at;
    size_t size;
} CaroText;

typedef struct {
    CaroText name;
    CaroText value;
} CaroHttpHeader;

/* The head of a message.  The texts point into "bytes". */
typedef struct {
    char *bytes;     /* The head as it was read, with a terminator. */
    CaroText method; /* Empty in a response. */
    CaroText target; /* Empty in a response. */
    int status;      /* 0 in a request. */
    CaroHttpHeader headers[CARO_HTTP_HEADERS_MAX];
    int n_headers;
    int64_t length;     /* Content-Length; -1 when absent. */
    bool is_chunked;    /* The body has the transfer coding "chunked". */
    bool is_persistent; /* The connection may be used for another message. */
    bool is_close_delimited; /* The body ends when the connection closes. */
} CaroHttpHead;

/* Parts of a message, in the order in which they are read. */
typedef enum {
    CARO_PIECE_NONE, /* More bytes are needed. */
    CARO_PIECE_HEAD, /* The complete head; see CaroHttpReader_Head. */
    CARO_PIECE_BODY, /* A part of the body. */
    CARO_PIECE_END   /* The message is complete. */
} CaroPieceKind;

typedef struct {
    CaroPieceKind kind;
    CaroText body; /* Borrowed until the next call. */
} CaroHttpPiece;

typedef struct CaroHttpReader CaroHttpReader;

/* Creates a reader of requests or responses; NULL without memory. */
CaroHttpReader *CaroHttpReader_Create(bool is_request);
void CaroHttpReader_Destroy(CaroHttpReader *r);

/* Sets the largest size of the next heads; 0 changes nothing. */
void CaroHttpReader_SetHeadMax(CaroHttpReader *r, size_t bytes);

/* Sets whether the next responses lack a body, as those to HEAD requests. */
void CaroHttpReader_SkipBody(CaroHttpReader *r, bool has_no_body);

/*
 * Reads the next piece and removes its bytes from "in".  Returns 0,
 * CARO_ERR_INPUT when the message is malformed, CARO_ERR_FULL when the head
 * is too large, or CARO_ERR_NOMEM.  After CARO_PIECE_END the next message
 * begins.
 */
int CaroHttpReader_Next(CaroHttpReader *r, struct evbuffer *in,
                        CaroHttpPiece *piece);

/*
 * To be called when the peer has closed the connection.  Returns 0 when that
 * ends the message (the next piece is CARO_PIECE_END) or when no message had
 * begun, and CARO_ERR_IO when the message is incomplete.
 */
int CaroHttpReader_Finish(CaroHttpReader *r);

/* The head of the message that is being read; borrowed until the next
   message begins. */
const CaroHttpHead *CaroHttpReader_Head(const CaroHttpReader *r);

/* The reason of the last error, a static text. */
const char *CaroHttpReader_Reason(const CaroHttpReader *r);

/* The head of a message has been read, but not its end. */
bool CaroHttpReader_IsInMessage(const CaroHttpReader *r);

/* The value of the first header with the name, in any case; "at" is NULL
   when there is none. */
CaroText CaroHttpHead_Find(const CaroHttpHead *head, const char *name);

bool CaroText_Equals(CaroText text, const char *word);
/* Ignores the case of ASCII letters. */
bool CaroText_EqualsIgnoreCase(CaroText text, const char *word);
/* Reads a decimal number of digits alone, at most 18, into *n.  Returns false
   for any other text. */
bool CaroText_ToNumber(CaroText text, int64_t *n);
/* Copies as much as fits, with a terminator.  Returns false when the text
   was cut. */
bool CaroText_Copy(CaroText text, char *out, size_t size);

#endif
