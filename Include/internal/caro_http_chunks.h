/*
 * NAME
 *     caro_http_chunks - decoder of the transfer coding "chunked"
 *
 * The decoder accepts what the grammar of the coding has and nothing else:
 * each line ends with CR LF, extensions and trailers have their full syntax.
 * Extensions and trailers are checked and discarded.
 *
 * SOURCE
 *     RFC 9112, section 7.1.
 */
#ifndef CARO_HTTP_CHUNKS_H
#define CARO_HTTP_CHUNKS_H

#include "internal/caro_http_fault.h"
#include "internal/caro_text.h"

/* Digits of a chunk size, with leading zeros. */
enum { CARO_HTTP_CHUNK_DIGITS_MAX = 16 };

typedef struct CaroHttpChunks CaroHttpChunks;

/* Creates a decoder; NULL without memory. */
CaroHttpChunks *CaroHttpChunks_Create(void);
void CaroHttpChunks_Destroy(CaroHttpChunks *d);

/*
 * Prepares for the next body.  "bytes_max" limits the bytes of all extensions
 * of a body, and those of its trailer section.
 */
void CaroHttpChunks_Begin(CaroHttpChunks *d, size_t bytes_max);

/*
 * Consumes bytes up to the end of the body or of the first run of data among
 * them, which *data then refers to; it is empty when there is none.  Returns
 * how many bytes were consumed; of a byte that is refused, those before it.
 */
size_t CaroHttpChunks_Feed(CaroHttpChunks *d, CaroText bytes, CaroText *data);

/* Whether the body has ended; no byte is consumed after that. */
bool CaroHttpChunks_IsComplete(const CaroHttpChunks *d);

/* CARO_HTTP_FAULT_NONE, or why the body was refused. */
CaroHttpFault CaroHttpChunks_Fault(const CaroHttpChunks *d);

#endif
