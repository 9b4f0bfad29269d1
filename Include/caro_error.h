/*
 * NAME
 *     caro_error - error codes, and errors with operation and peer
 *
 * Functions that can fail return 0 or one of the negative codes below.
 * Some also fill a CaroError, which the caller owns; it holds no pointers
 * and needs no release.
 */
#ifndef CARO_ERROR_H
#define CARO_ERROR_H

typedef enum {
    CARO_OK = 0,
    CARO_ERR_NOMEM = -1,     /* An allocation failed. */
    CARO_ERR_INPUT = -2,     /* The input is malformed or out of range. */
    CARO_ERR_IO = -3,        /* A connection or file operation failed. */
    CARO_ERR_TIMEOUT = -4,   /* No response arrived in time. */
    CARO_ERR_FULL = -5,      /* A bounded table or buffer is full. */
    CARO_ERR_NOT_FOUND = -6, /* The requested object is unknown. */
    CARO_ERR_FENCED = -7,    /* Another owner has taken over. */
    CARO_ERR_STATE = -8      /* The call is invalid in the current state. */
} CaroErrorCode;

/* A failure, with the failed operation and the remote side. */
typedef struct {
    int code;         /* A CaroErrorCode. */
    char step[32];    /* The failed operation, such as "connect". */
    char peer[64];    /* Name or address of the remote side, or empty. */
    char detail[256]; /* What is missing or wrong, where, for how long. */
} CaroError;

/* Fills *err, which may be NULL, and returns the code. */
int CaroError_Set(CaroError *err, int code, const char *step, const char *peer,
                  const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* Returns the static name of a code. */
const char *CaroError_Name(int code);

/* Writes "step peer: detail (name)" to buf, always terminated; returns buf. */
const char *CaroError_Format(const CaroError *err, char *buf,
                             unsigned long size);

#endif
