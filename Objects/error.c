/* Error codes, and errors with operation and peer. */
#include "caro_error.h"

#include <stdarg.h>
#include <stdio.h>

int
CaroError_Set(CaroError *err, int code, const char *step, const char *peer,
              const char *format, ...)
{
    if (err == NULL) {
        return code;
    }
    err->code = code;
    (void)snprintf(err->step, sizeof(err->step), "%s", step);
    (void)snprintf(err->peer, sizeof(err->peer), "%s",
                   peer == NULL ? "" : peer);
    va_list args;
    va_start(args, format);
    (void)vsnprintf(err->detail, sizeof(err->detail), format, args);
    va_end(args);
    return code;
}

const char *
CaroError_Name(int code)
{
    switch (code) {
    case CARO_OK:
        return "ok";
    case CARO_ERR_NOMEM:
        return "out of memory";
    case CARO_ERR_INPUT:
        return "bad input";
    case CARO_ERR_IO:
        return "input/output error";
    case CARO_ERR_TIMEOUT:
        return "timeout";
    case CARO_ERR_FULL:
        return "full";
    case CARO_ERR_NOT_FOUND:
        return "not found";
    case CARO_ERR_FENCED:
        return "fenced";
    case CARO_ERR_STATE:
        return "wrong state";
    default:
        return "unknown error";
    }
}

const char *
CaroError_Format(const CaroError *err, char *buf, unsigned long size)
{
    const char *space = err->peer[0] == '\0' ? "" : " ";
    (void)snprintf(buf, size, "%s%s%s: %s (%s)", err->step, space, err->peer,
                   err->detail, CaroError_Name(err->code));
    return buf;
}
