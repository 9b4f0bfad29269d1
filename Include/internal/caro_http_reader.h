/*
 * NAME
 *     caro_http_reader - incremental reader of HTTP/1.1 messages
 *
 * Messages are read by the grammar of HTTP and by nothing more lenient, since
 * another parser on the way could find a different end of a message and take
 * part of its body for a request (request smuggling).
 * docs/design/http-messages.md lists what is accepted, refused and dropped.
 *
 * A refused message is counted and logged with its peer, cause and offset.
 *
 * SOURCE
 *     RFC 9112.
 */
#ifndef CARO_HTTP_READER_H
#define CARO_HTTP_READER_H

#include "internal/caro_http_head.h"
#include "internal/caro_types.h"

#include <event2/buffer.h>

enum { CARO_HTTP_RESPONSE_HEAD_MAX = 32768 }; /* Bytes of a response head. */

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

/* Sets the address of the peer for the log; borrowed, "" at first. */
void CaroHttpReader_SetPeer(CaroHttpReader *r, const char *peer);

/* Sets the largest size of the next heads, of all chunk extensions of a body
   and of its trailer section; 0 changes nothing. */
void CaroHttpReader_SetHeadMax(CaroHttpReader *r, size_t bytes);

/* Sets whether the next responses lack a body, as those to HEAD requests. */
void CaroHttpReader_SkipBody(CaroHttpReader *r, bool has_no_body);

/*
 * Reads the next piece from "in".  Its bytes are removed from there by the
 * next call at the latest, which has to be made with the same buffer.  Returns
 * 0, CARO_ERR_INPUT when the message is malformed, CARO_ERR_FULL when the head
 * is too large, or CARO_ERR_NOMEM; nothing can be read after an error.  After
 * CARO_PIECE_END the next message begins.
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

/* Why the message was refused, CARO_HTTP_FAULT_NONE if it was not, and in
 *offset how many of its bytes were read. */
CaroHttpFault CaroHttpReader_Fault(const CaroHttpReader *r, uint64_t *offset);

/* The reason of the last error, a static text. */
const char *CaroHttpReader_Reason(const CaroHttpReader *r);

/* The head of a message has been read, but not its end. */
bool CaroHttpReader_IsInMessage(const CaroHttpReader *r);

#endif
