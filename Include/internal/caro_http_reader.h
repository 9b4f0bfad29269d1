/*
 * NAME
 *     caro_http_reader - HTTP/1.1 messages read piece by piece
 *
 * The grammar is http_parser's.  Before a head reaches it, the framing is
 * checked more strictly than that library does: a bare line feed, a folded
 * line, a name that is no token, a second length, a length that is not all
 * digits, a length beside a transfer coding, and any coding but "chunked"
 * are refused, because another reader could take them differently and run
 * part of a body as a request.
 *
 * SOURCE
 *     RFC 9112, sections 2.2, 5.1, 5.2, 6.1, 6.3.
 */
#ifndef CARO_HTTP_READER_H
#define CARO_HTTP_READER_H

#include "internal/caro_types.h"

#include <event2/buffer.h>

enum {
    CARO_HTTP_HEADERS_MAX = 64,         /* Headers of one head. */
    CARO_HTTP_RESPONSE_HEAD_MAX = 32768 /* Bytes of an upstream's head. */
};

/* Bytes that are not terminated; borrowed. */
typedef struct {
    const char *at;
    size_t size;
} CaroText;

typedef struct {
    CaroText name;
    CaroText value;
} CaroHttpHeader;

/* One head.  The texts are borrowed from "bytes". */
typedef struct {
    char *bytes;
    CaroText method; /* Of a request. */
    CaroText target; /* Of a request. */
    int status;      /* Of a response. */
    CaroHttpHeader headers[CARO_HTTP_HEADERS_MAX];
    int n_headers;
    int64_t length;    /* Of the body; -1 when not given. */
    bool is_chunked;   /* The body comes in chunks. */
    bool is_keepable;  /* The connection may carry another message. */
    bool is_unbounded; /* The body ends with the connection. */
} CaroHttpHead;

typedef enum {
    CARO_PIECE_NONE, /* More bytes are needed. */
    CARO_PIECE_HEAD,
    CARO_PIECE_BODY,
    CARO_PIECE_END
} CaroPieceKind;

typedef struct {
    CaroPieceKind kind;
    CaroText body; /* Borrowed until the next call. */
} CaroHttpPiece;

typedef struct CaroHttpReader CaroHttpReader;

CaroHttpReader *CaroHttpReader_Create(bool is_request);
void CaroHttpReader_Destroy(CaroHttpReader *r);

/* Bounds the next head; 0 leaves the bound as it is. */
void CaroHttpReader_SetHeadMax(CaroHttpReader *r, size_t bytes);

/* The next response answers a HEAD request and has no body. */
void CaroHttpReader_SkipBody(CaroHttpReader *r, bool skips);

/*
 * Takes the next piece from "in".  Returns 0, CARO_ERR_INPUT when the
 * bytes are no message, CARO_ERR_FULL when the head is too large, or
 * CARO_ERR_NOMEM.  After CARO_PIECE_END the next message begins.
 */
int CaroHttpReader_Next(CaroHttpReader *r, struct evbuffer *in,
                        CaroHttpPiece *piece);

/*
 * The peer closed its side.  Returns 0 when that ends a message (the next
 * piece is CARO_PIECE_END) or falls between two, else CARO_ERR_IO.
 */
int CaroHttpReader_Finish(CaroHttpReader *r);

/* The head of the message being read; borrowed until the next message. */
const CaroHttpHead *CaroHttpReader_Head(const CaroHttpReader *r);

/* What was wrong, a static text. */
const char *CaroHttpReader_Reason(const CaroHttpReader *r);

/* A message has begun and not ended. */
bool CaroHttpReader_IsInside(const CaroHttpReader *r);

/* The first header of the name (any case), or a text without bytes. */
CaroText CaroHttpHead_Find(const CaroHttpHead *head, const char *name);

bool CaroText_Equals(CaroText text, const char *word);
/* The same without regard to case. */
bool CaroText_EqualsIgnoreCase(CaroText text, const char *word);
/* All digits and within int64_t, into *n. */
bool CaroText_ToNumber(CaroText text, int64_t *n);
/* Copies as much as fits, terminated.  Returns false when cut. */
bool CaroText_Copy(CaroText text, char *out, size_t size);

#endif
