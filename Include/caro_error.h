/*
 * NAME
 *     caro_error - negative error numbers with the step and the peer
 *
 * Every fallible call of the library returns 0 or one of the negative
 * numbers below.  Calls that can say more fill a CaroError, which the
 * caller owns; it holds no pointers and needs no release.
 */
#ifndef CARO_ERROR_H
#define CARO_ERROR_H

typedef enum {
    CARO_OK = 0,
    CARO_ERR_NOMEM = -1,     /* An allocation failed. */
    CARO_ERR_INPUT = -2,     /* The input is malformed or out of range. */
    CARO_ERR_IO = -3,        /* A connection or file operation failed. */
    CARO_ERR_TIMEOUT = -4,   /* No answer came in time. */
    CARO_ERR_FULL = -5,      /* A bounded table or buffer is full. */
    CARO_ERR_NOT_FOUND = -6, /* The subject is not known here. */
    CARO_ERR_FENCED = -7,    /* A newer owner has taken over. */
    CARO_ERR_STATE = -8      /* The call does not fit the present state. */
} CaroErrorCode;

typedef struct {
    int code;         /* One of CaroErrorCode. */
    char step[32];    /* The operation that failed, as "connect". */
    char peer[64];    /* The other side, or empty. */
    char detail[256]; /* What was missing, where, for how long. */
} CaroError;

/* Fills *err (which may be NULL) and returns the code. */
int CaroError_Set(CaroError *err, int code, const char *step, const char *peer,
                  const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* Returns the name of a code, a static string. */
const char *CaroError_Name(int code);

/*
 * Writes "step peer: detail (name)" to buf, always terminated.
 * Returns buf.
 */
const char *CaroError_Format(const CaroError *err, char *buf,
                             unsigned long size);

#endif
