/*
 * NAME
 *     caro_http_reply - requests and responses of the product's own interfaces
 *
 * Each function that sends a response ends the call.
 */
#ifndef CARO_HTTP_REPLY_H
#define CARO_HTTP_REPLY_H

#include "internal/caro_http_server.h"

#include <jansson.h>

/* Whether a request that failed was executed; CARO_RUN_NO guarantees that it
   was not and will not be. */
typedef enum { CARO_RUN_NO, CARO_RUN_YES, CARO_RUN_UNKNOWN } CaroRun;

/* Responds with problem+json (RFC 9457), extended by the member "run". */
void CaroHttp_SendProblem(CaroCall *call, int status, CaroRun run,
                          const char *title, const char *detail_format, ...)
    __attribute__((format(printf, 5, 6)));

/* Responds with a JSON body; the value is borrowed. */
void CaroHttp_SendJson(CaroCall *call, int status, const json_t *value);

/* Responds with a text body. */
void CaroHttp_SendText(CaroCall *call, int status, const char *text);

/* Responds with a body of the media type. */
void CaroHttp_SendBytes(CaroCall *call, int status, const char *type,
                        const char *bytes, size_t size);

/* The body of the request, without a terminator; borrowed until the call is
   over. */
const char *CaroHttp_Body(const CaroCall *call, size_t *size);

/* The value of a request header, or NULL; borrowed likewise. */
const char *CaroHttp_Header(const CaroCall *call, const char *name);

bool CaroHttp_IsMethod(const CaroCall *call, const char *method);

/* The path of the target, without the query; borrowed likewise. */
CaroText CaroHttp_Path(const CaroCall *call);

/*
 * Copies the value of a query parameter, decoded.  Returns false when it
 * is absent or does not fit.
 */
bool CaroHttp_Query(const CaroCall *call, const char *name, char *out,
                    size_t size);

#endif
