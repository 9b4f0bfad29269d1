/* Decoder of the transfer coding "chunked", a state machine over bytes. */
#include "internal/caro_http_chunks.h"

#include "internal/caro_http_chars.h"

#include <stdlib.h>

/* What the next byte belongs to. */
typedef enum {
    CHUNK_SIZE_FIRST,       /* First digit of a size. */
    CHUNK_SIZE,             /* Rest of the size. */
    CHUNK_EXT_BLANK,        /* Blanks before ";". */
    CHUNK_EXT_NAME_FIRST,   /* Blanks, or the first byte of a name. */
    CHUNK_EXT_NAME,         /* Rest of the name. */
    CHUNK_EXT_EQUALS_BLANK, /* Blanks behind a name: before "=" or ";". */
    CHUNK_EXT_VALUE_FIRST,  /* Blanks, or the first byte of a value. */
    CHUNK_EXT_TOKEN,        /* Rest of a value that is a token. */
    CHUNK_EXT_QUOTED,       /* Rest of a quoted value. */
    CHUNK_EXT_ESCAPED,      /* Byte behind a backslash. */
    CHUNK_EXT_VALUE_END,    /* Behind a quoted value. */
    CHUNK_SIZE_LF,          /* Line feed that ends the line of the size. */
    CHUNK_DATA,
    CHUNK_DATA_CR,
    CHUNK_DATA_LF,
    TRAILER_START, /* First byte of a line. */
    TRAILER_NAME,
    TRAILER_VALUE,
    TRAILER_LF,
    TRAILER_END_LF, /* Line feed of the empty line that ends the body. */
    CHUNKS_COMPLETE
} ChunkState;

struct CaroHttpChunks {
    ChunkState state;
    int n_digits;
    uint64_t left; /* Data bytes of the chunk that have not been read. */
    size_t bytes_max;
    size_t extension_bytes;
    size_t trailer_bytes;
    CaroHttpFault fault;
};

CaroHttpChunks *
CaroHttpChunks_Create(void)
{
    return calloc(1, sizeof(CaroHttpChunks));
}

void
CaroHttpChunks_Destroy(CaroHttpChunks *d)
{
    free(d);
}

void
CaroHttpChunks_Begin(CaroHttpChunks *d, size_t bytes_max)
{
    *d = (CaroHttpChunks){.state = CHUNK_SIZE_FIRST, .bytes_max = bytes_max};
}

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

static CaroHttpFault
read_size_digit(CaroHttpChunks *d, char c)
{
    int value = CaroHttpChar_HexValue(c);
    if (value < 0 || d->n_digits == CARO_HTTP_CHUNK_DIGITS_MAX) {
        return CARO_HTTP_FAULT_CHUNK_SIZE;
    }
    d->n_digits++;
    d->left = d->left * 16 + (uint64_t)value;
    d->state = CHUNK_SIZE;
    return CARO_HTTP_FAULT_NONE;
}

/* Reads a byte where the line may end or another extension may begin. */
static CaroHttpFault
read_after_extension(CaroHttpChunks *d, char c, ChunkState blank)
{
    if (c == '\r') {
        d->state = CHUNK_SIZE_LF;
    }
    else if (c == ';') {
        d->state = CHUNK_EXT_NAME_FIRST;
    }
    else if (is_blank(c)) {
        d->state = blank;
    }
    else {
        return CARO_HTTP_FAULT_CHUNK_EXTENSION;
    }
    return CARO_HTTP_FAULT_NONE;
}

/* Reads a byte behind the size.  Blanks are allowed around ";" and "=" only
   (RFC 9112, section 7.1.1), so that a line does not end with them. */
static CaroHttpFault
read_extension(CaroHttpChunks *d, char c)
{
    if (++d->extension_bytes > d->bytes_max) {
        return CARO_HTTP_FAULT_EXTENSION_SIZE;
    }
    switch (d->state) {
    case CHUNK_EXT_BLANK:
        if (c == ';') {
            d->state = CHUNK_EXT_NAME_FIRST;
            return CARO_HTTP_FAULT_NONE;
        }
        break;
    case CHUNK_EXT_NAME_FIRST:
        if (CaroHttpChar_IsToken(c)) {
            d->state = CHUNK_EXT_NAME;
            return CARO_HTTP_FAULT_NONE;
        }
        break;
    case CHUNK_EXT_NAME:
    case CHUNK_EXT_EQUALS_BLANK:
        if (c == '=') {
            d->state = CHUNK_EXT_VALUE_FIRST;
            return CARO_HTTP_FAULT_NONE;
        }
        if (d->state == CHUNK_EXT_NAME) {
            return CaroHttpChar_IsToken(c)
                       ? CARO_HTTP_FAULT_NONE
                       : read_after_extension(d, c, CHUNK_EXT_EQUALS_BLANK);
        }
        if (c == ';') {
            d->state = CHUNK_EXT_NAME_FIRST;
            return CARO_HTTP_FAULT_NONE;
        }
        break;
    case CHUNK_EXT_VALUE_FIRST:
        if (c == '"') {
            d->state = CHUNK_EXT_QUOTED;
            return CARO_HTTP_FAULT_NONE;
        }
        if (CaroHttpChar_IsToken(c)) {
            d->state = CHUNK_EXT_TOKEN;
            return CARO_HTTP_FAULT_NONE;
        }
        break;
    case CHUNK_EXT_TOKEN:
        return CaroHttpChar_IsToken(c)
                   ? CARO_HTTP_FAULT_NONE
                   : read_after_extension(d, c, CHUNK_EXT_BLANK);
    case CHUNK_EXT_QUOTED:
        if (c == '"') {
            d->state = CHUNK_EXT_VALUE_END;
            return CARO_HTTP_FAULT_NONE;
        }
        if (c == '\\') {
            d->state = CHUNK_EXT_ESCAPED;
            return CARO_HTTP_FAULT_NONE;
        }
        return CaroHttpChar_IsQuotedText(c) ? CARO_HTTP_FAULT_NONE
                                            : CARO_HTTP_FAULT_CHUNK_EXTENSION;
    case CHUNK_EXT_ESCAPED:
        d->state = CHUNK_EXT_QUOTED;
        return CaroHttpChar_IsFieldText(c) ? CARO_HTTP_FAULT_NONE
                                           : CARO_HTTP_FAULT_CHUNK_EXTENSION;
    default: /* CHUNK_EXT_VALUE_END */
        return read_after_extension(d, c, CHUNK_EXT_BLANK);
    }
    return is_blank(c) ? CARO_HTTP_FAULT_NONE
                       : CARO_HTTP_FAULT_CHUNK_EXTENSION;
}

/* Reads the byte behind the digits of a size. */
static CaroHttpFault
end_size(CaroHttpChunks *d, char c)
{
    if (CaroHttpChar_HexValue(c) >= 0) {
        return read_size_digit(d, c);
    }
    if (c != '\r' && c != ';' && !is_blank(c)) {
        return CARO_HTTP_FAULT_CHUNK_SIZE;
    }
    if (c != '\r' && ++d->extension_bytes > d->bytes_max) {
        return CARO_HTTP_FAULT_EXTENSION_SIZE;
    }
    return read_after_extension(d, c, CHUNK_EXT_BLANK);
}

static CaroHttpFault
read_trailer(CaroHttpChunks *d, char c)
{
    if (++d->trailer_bytes > d->bytes_max) {
        return CARO_HTTP_FAULT_TRAILER_SIZE;
    }
    switch (d->state) {
    case TRAILER_START:
        if (c == '\r') {
            d->state = TRAILER_END_LF;
            return CARO_HTTP_FAULT_NONE;
        }
        d->state = TRAILER_NAME;
        return CaroHttpChar_IsToken(c) ? CARO_HTTP_FAULT_NONE
                                       : CARO_HTTP_FAULT_TRAILER;
    case TRAILER_NAME:
        if (c == ':') {
            d->state = TRAILER_VALUE;
            return CARO_HTTP_FAULT_NONE;
        }
        return CaroHttpChar_IsToken(c) ? CARO_HTTP_FAULT_NONE
                                       : CARO_HTTP_FAULT_TRAILER;
    case TRAILER_VALUE:
        if (c == '\r') {
            d->state = TRAILER_LF;
            return CARO_HTTP_FAULT_NONE;
        }
        return CaroHttpChar_IsFieldText(c) ? CARO_HTTP_FAULT_NONE
                                           : CARO_HTTP_FAULT_TRAILER;
    default: /* TRAILER_LF */
        d->state = TRAILER_START;
        return c == '\n' ? CARO_HTTP_FAULT_NONE : CARO_HTTP_FAULT_TRAILER;
    }
}

/* Enters the state if the byte is the expected one. */
static CaroHttpFault
expect(CaroHttpChunks *d, char c, char expected, ChunkState next,
       CaroHttpFault fault)
{
    d->state = next;
    return c == expected ? CARO_HTTP_FAULT_NONE : fault;
}

static CaroHttpFault
read_byte(CaroHttpChunks *d, char c)
{
    switch (d->state) {
    case CHUNK_SIZE_FIRST:
        d->n_digits = 0;
        d->left = 0;
        return read_size_digit(d, c);
    case CHUNK_SIZE:
        return end_size(d, c);
    case CHUNK_SIZE_LF:
        return expect(d, c, '\n', d->left > 0 ? CHUNK_DATA : TRAILER_START,
                      CARO_HTTP_FAULT_CHUNK_SIZE);
    case CHUNK_DATA_CR:
        return expect(d, c, '\r', CHUNK_DATA_LF, CARO_HTTP_FAULT_CHUNK_END);
    case CHUNK_DATA_LF:
        return expect(d, c, '\n', CHUNK_SIZE_FIRST, CARO_HTTP_FAULT_CHUNK_END);
    case TRAILER_START:
    case TRAILER_NAME:
    case TRAILER_VALUE:
    case TRAILER_LF:
        return read_trailer(d, c);
    case TRAILER_END_LF:
        return expect(d, c, '\n', CHUNKS_COMPLETE, CARO_HTTP_FAULT_TRAILER);
    default:
        return read_extension(d, c);
    }
}

size_t
CaroHttpChunks_Feed(CaroHttpChunks *d, CaroText bytes, CaroText *data)
{
    *data = (CaroText){NULL, 0};
    size_t i = 0;
    while (i < bytes.size && d->fault == CARO_HTTP_FAULT_NONE &&
           d->state != CHUNKS_COMPLETE) {
        if (d->state == CHUNK_DATA) {
            size_t n = bytes.size - i;
            n = d->left < n ? (size_t)d->left : n;
            *data = (CaroText){bytes.at + i, n};
            d->left -= n;
            if (d->left == 0) {
                d->state = CHUNK_DATA_CR;
            }
            return i + n;
        }
        d->fault = read_byte(d, bytes.at[i]);
        if (d->fault == CARO_HTTP_FAULT_NONE) {
            i++;
        }
    }
    return i;
}

bool
CaroHttpChunks_IsComplete(const CaroHttpChunks *d)
{
    return d->state == CHUNKS_COMPLETE && d->fault == CARO_HTTP_FAULT_NONE;
}

CaroHttpFault
CaroHttpChunks_Fault(const CaroHttpChunks *d)
{
    return d->fault;
}
