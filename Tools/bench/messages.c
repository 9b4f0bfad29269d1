/* Cost of reading HTTP messages: bytes a second of processor time, of a stream
   in small chunks, a large body with a length, and one in large chunks. */
#include "bench.h"

#include "internal/caro_http_reader.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
    ROUNDS = 200,
    BODY_BYTES = 4 << 20,
    SMALL_CHUNK = 256,
    LARGE_CHUNK = 65536,
    READ_BYTES = 16384 /* What arrives at once. */
};

/* Writes a message whose body is in chunks of the size, or with a length if
   that is 0. */
static struct evbuffer *
write_message(size_t chunk)
{
    static char data[LARGE_CHUNK];
    struct evbuffer *out = evbuffer_new();
    memset(data, 'a', sizeof(data));
    (void)evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n");
    if (chunk == 0) {
        (void)evbuffer_add_printf(out, "Content-Length: %d\r\n\r\n",
                                  BODY_BYTES);
    }
    else {
        (void)evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
    }
    size_t step = chunk == 0 ? LARGE_CHUNK : chunk;
    for (size_t n = 0; n < BODY_BYTES; n += step) {
        if (chunk > 0) {
            (void)evbuffer_add_printf(out, "%zx\r\n", step);
        }
        (void)evbuffer_add(out, data, step);
        if (chunk > 0) {
            (void)evbuffer_add(out, "\r\n", 2);
        }
    }
    if (chunk > 0) {
        (void)evbuffer_add(out, "0\r\n\r\n", 5);
    }
    return out;
}

/* Reads the message once; returns the bytes of its body. */
static size_t
read_message(CaroHttpReader *r, const char *bytes, size_t size)
{
    struct evbuffer *in = evbuffer_new();
    CaroHttpPiece piece;
    size_t body = 0;
    for (size_t at = 0; at < size; at += READ_BYTES) {
        size_t n = size - at < READ_BYTES ? size - at : READ_BYTES;
        (void)evbuffer_add(in, bytes + at, n);
        do {
            if (CaroHttpReader_Next(r, in, &piece) < 0) {
                abort();
            }
            if (piece.kind == CARO_PIECE_BODY) {
                body += piece.body.size;
            }
        } while (piece.kind != CARO_PIECE_NONE);
    }
    evbuffer_free(in);
    return body;
}

static void
measure(const char *name, size_t chunk)
{
    struct evbuffer *message = write_message(chunk);
    size_t size = evbuffer_get_length(message);
    const char *bytes = (const char *)evbuffer_pullup(message, -1);
    CaroHttpReader *r = CaroHttpReader_Create(false);
    size_t body = 0;
    clock_t start = clock();
    for (int i = 0; i < ROUNDS; i++) {
        body += read_message(r, bytes, size);
    }
    double seconds = (double)(clock() - start) / CLOCKS_PER_SEC;
    (void)printf("%s: %.0f MB/s\n", name, (double)body / 1e6 / seconds);
    CaroHttpReader_Destroy(r);
    evbuffer_free(message);
}

int
Bench_RunMessages(void)
{
    measure("4 MB with a length", 0);
    measure("4 MB in chunks of 64 KiB", LARGE_CHUNK);
    measure("4 MB in chunks of 256 bytes", SMALL_CHUNK);
    return 0;
}
