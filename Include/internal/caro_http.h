/*
 * NAME
 *     caro_http - helpers over evhttp for servers and clients
 */
#ifndef CARO_HTTP_H
#define CARO_HTTP_H

#include "caro_error.h"
#include "internal/caro_types.h"

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

/* Whether a refused request ran; "no" is a promise. */
typedef enum { CARO_RUN_NO, CARO_RUN_YES, CARO_RUN_UNKNOWN } CaroRun;

/* Sends problem+json (RFC 9457) with the member "run". */
void CaroHttp_Problem(struct evhttp_request *req, int status, CaroRun run,
                      const char *title, const char *detail_format, ...)
    __attribute__((format(printf, 5, 6)));

/* Sends a JSON body; the value stays the caller's. */
void CaroHttp_Json(struct evhttp_request *req, int status,
                   const json_t *value);

/* Sends a text body. */
void CaroHttp_Text(struct evhttp_request *req, int status, const char *text);

/*
 * Borrowed bytes of the request's body, valid as long as the request.
 */
const char *CaroHttp_Body(struct evhttp_request *req, size_t *size);

/* Splits "ip:port"; returns 0 or CARO_ERR_INPUT. */
int CaroHttp_SplitAddress(const char *address, char host[CARO_ADDRESS_SIZE],
                          uint16_t *port);

/* Borrowed value of a request header, or NULL. */
const char *CaroHttp_Header(struct evhttp_request *req, const char *name);

/*
 * Copies the value of a query parameter, decoded.  Returns false when it
 * is absent or does not fit.
 */
bool CaroHttp_Query(struct evhttp_request *req, const char *name, char *out,
                    size_t size);

/*
 * One request, one answer on a connection of its own.  "done" runs
 * exactly once, never before the call returns; body is borrowed during
 * it.  With a negative code there is no answer; is_sent tells whether a
 * byte of the request may have reached the peer.
 */
typedef void (*CaroHttpDone)(void *context, int code, int status,
                             const char *body, size_t size, bool is_sent,
                             const struct evkeyvalq *headers);

typedef struct {
    const char *address; /* "ip:port". */
    const char *path;
    enum evhttp_cmd_type method;
    const char *body; /* May be NULL. */
    size_t size;
    const char *header_name; /* One extra header, may be NULL. */
    const char *header_value;
    CaroTime timeout;
} CaroHttpCall;

void CaroHttp_Call(struct event_base *base, const CaroHttpCall *call,
                   CaroHttpDone done, void *context);

/* Lets ended calls release what they hold, before the loop is freed. */
void CaroHttp_FreeFinishedCalls(struct event_base *base);

#endif
