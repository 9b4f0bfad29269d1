/*
 * NAME
 *     caro_types - basic types, units and sizes
 */
#ifndef CARO_TYPES_H
#define CARO_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A point in time or a duration, in microseconds.  Functions that make
   decisions take the current time as an argument and never read a clock, so
   that tests and simulations can run them on a virtual clock. */
typedef int64_t CaroTime;

#define CARO_MS ((CaroTime)1000)
#define CARO_SECOND ((CaroTime)1000000)

enum {
    CARO_NAME_SIZE = 32,    /* Bytes of a name with its terminator. */
    CARO_ADDRESS_SIZE = 48, /* Bytes of "ip:port" with its terminator. */
    CARO_KEY_SIZE = 192     /* Bytes of an idempotency key, likewise. */
};

/* An index into a table, or CARO_NO_HANDLE.  An entry keeps its index while
   it is in use. */
typedef int32_t CaroHandle;
#define CARO_NO_HANDLE ((CaroHandle)-1)

/* Copies a string into an array, truncated to fit and always terminated. */
#define CARO_COPY(dst, src) ((void)snprintf((dst), sizeof(dst), "%s", (src)))

#endif
