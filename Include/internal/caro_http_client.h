/*
 * NAME
 *     caro_http_client - single calls to other HTTP servers
 */
#ifndef CARO_HTTP_CLIENT_H
#define CARO_HTTP_CLIENT_H

#include "internal/caro_http_head.h"
#include "internal/caro_types.h"

#include <event2/event.h>

/*
 * Completion callback of CaroHttp_Call.  It runs exactly once, never before
 * CaroHttp_Call has returned; body and head are borrowed during it.  "code" is
 * 0, or CARO_ERR_TIMEOUT or _IO when there is no response, with a NULL head;
 * "is_sent" says whether a byte of the request may have reached the peer.
 */
typedef void (*CaroHttpDone)(void *context, int code, int status,
                             const char *body, size_t size, bool is_sent,
                             const CaroHttpHead *head);

typedef struct {
    const char *address; /* "ip:port". */
    const char *path;    /* With the query, encoded. */
    const char *method;
    const char *body;        /* JSON text, or NULL. */
    size_t size;             /* Size of the body in bytes. */
    const char *header_name; /* One additional header, or NULL. */
    const char *header_value;
    CaroTime timeout; /* Of the whole call. */
} CaroHttpCall;

/* Sends one request on a connection of its own, without retries.  The texts
   are copied. */
void CaroHttp_Call(struct event_base *base, const CaroHttpCall *call,
                   CaroHttpDone done, void *context);

/* Runs the loop so that calls that have ended free their memory.  To be
   called before the loop is freed. */
void CaroHttp_FreeFinishedCalls(struct event_base *base);

#endif
