/*
 * NAME
 *     caro_http_server - the listener for callers' requests
 *
 * A call is one request, read whole before it is handed over.  The
 * handler answers it at once or later, whole or bit by bit; a caller that
 * leaves before the end is told by on_disconnected, after which the call is
 * gone.
 */
#ifndef CARO_HTTP_SERVER_H
#define CARO_HTTP_SERVER_H

#include "caro_error.h"
#include "internal/caro_http_reader.h"

#include <event2/event.h>

typedef struct CaroHttpServer CaroHttpServer;
typedef struct CaroCall CaroCall;

typedef struct {
    size_t head_bytes_max;
    size_t body_bytes_max;  /* Of one request. */
    size_t all_bytes_max;   /* Of the bodies of all requests. */
    int connections_max;    /* Above it the longest idle one is closed. */
    CaroTime head_timeout;  /* For a head, and between parts of a body. */
    CaroTime idle_timeout;  /* Between requests. */
    CaroTime write_timeout; /* For a caller to take what was answered. */
} CaroHttpServerLimits;

typedef struct {
    /* A request was read whole. */
    void (*on_request)(void *context, CaroCall *call);
    /* The caller closed before the answer ended. */
    void (*on_disconnected)(void *context, CaroCall *call);
    /* What CaroCall_Send gave has left; see CaroCall_Pending. */
    void (*on_drained)(void *context, CaroCall *call);
    /* A request was refused here; "reason" is a static text. */
    void (*on_refused)(void *context, const char *peer, int status,
                       const char *reason);
} CaroHttpServerHandlers;

/* Listens at "address" ("ip:port").  The handlers must outlive it. */
CaroHttpServer *CaroHttpServer_Create(struct event_base *base,
                                      const char *address,
                                      const CaroHttpServerLimits *limits,
                                      const CaroHttpServerHandlers *handlers,
                                      void *context, CaroError *err);

/* Closes all connections, without calls of on_disconnected. */
void CaroHttpServer_Destroy(CaroHttpServer *f);

void CaroHttpServer_SetLimits(CaroHttpServer *f,
                              const CaroHttpServerLimits *limits);

/* From now on each answer says that the connection closes. */
void CaroHttpServer_CloseAfterResponses(CaroHttpServer *f);

int CaroHttpServer_CountConnections(const CaroHttpServer *f);
int CaroHttpServer_CountCalls(const CaroHttpServer *f);

const CaroHttpHead *CaroCall_Head(const CaroCall *call);
/* The body; borrowed, and left as it is. */
struct evbuffer *CaroCall_Body(const CaroCall *call);
const char *CaroCall_Peer(const CaroCall *call);

/* The handler's own pointer. */
void CaroCall_SetOwner(CaroCall *call, void *owner);
void *CaroCall_Owner(const CaroCall *call);

/*
 * Answers whole; "headers" holds complete lines or is NULL, and the body
 * may be NULL.  Bytes of both buffers are taken.  The call is over.
 */
void CaroCall_Answer(CaroCall *call, int status, struct evbuffer *headers,
                     struct evbuffer *body);

/* Begins an answer whose body comes in parts. */
void CaroCall_Begin(CaroCall *call, int status, struct evbuffer *headers);
void CaroCall_Send(CaroCall *call, const char *bytes, size_t size);
/* Ends it; the call is over. */
void CaroCall_End(CaroCall *call);
/* Cuts it, so that it does not look complete; the call is over. */
void CaroCall_Break(CaroCall *call);

/* Bytes that the caller has not taken yet. */
size_t CaroCall_Pending(const CaroCall *call);

#endif
