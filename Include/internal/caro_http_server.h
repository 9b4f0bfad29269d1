/*
 * NAME
 *     caro_http_server - the listener for callers' requests
 *
 * A call is one request together with its response.  It is passed to the
 * handler when the request has been read completely; the handler responds
 * at once or later, in one piece or in parts.  When the caller disconnects
 * before the response has ended, on_disconnected runs and the call is
 * destroyed.
 */
#ifndef CARO_HTTP_SERVER_H
#define CARO_HTTP_SERVER_H

#include "caro_error.h"
#include "internal/caro_held_bytes.h"
#include "internal/caro_http_reader.h"

#include <event2/event.h>

typedef struct CaroHttpServer CaroHttpServer;
typedef struct CaroCall CaroCall;

typedef struct {
    size_t held_bytes_max;  /* Of all connections together: requests that were
                               read and responses that were not sent. */
    size_t head_bytes_max;  /* Head of one request. */
    size_t body_bytes_max;  /* Body of one request. */
    size_t all_bytes_max;   /* Bodies of all requests together. */
    int connections_max;    /* Beyond it the longest idle one is closed. */
    CaroTime head_timeout;  /* To read a head, or the next part of a body. */
    CaroTime idle_timeout;  /* Wait for the next request. */
    CaroTime write_timeout; /* For the caller to accept the next bytes of a
                               response; up to twice that. */
} CaroHttpServerLimits;

/* Each but on_request, on_refused and on_shed may be NULL. */
typedef struct {
    /* A request has been read completely. */
    void (*on_request)(void *context, CaroCall *call);
    /* The caller disconnected, or read too slowly, before the response had
       ended. */
    void (*on_disconnected)(void *context, CaroCall *call);
    /* All bytes of a response in progress have been written to the socket;
       see CaroCall_PendingBytes. */
    void (*on_drained)(void *context, CaroCall *call);
    /* The server refused a request (with the status) or a connection (with
       status 0) itself; "reason" is a static text. */
    void (*on_refused)(void *context, const char *peer, int status,
                       const char *reason);
    /* The server closes a connection on which a part of a request has been
       read, or a response has not been sent completely: "unsent" bytes of it
       are in memory.  "reason" is a static text. */
    void (*on_cut)(void *context, const char *peer, size_t unsent,
                   const char *reason);
    /* The server closes the connection, or refuses the request that arrives on
       it, because all connections hold too many bytes, of which this one holds
       "held". */
    void (*on_shed)(void *context, const char *peer, size_t held);
} CaroHttpServerHandlers;

/*
 * Listens at "address" ("ip:port").  The handlers have to outlive the
 * server.  Returns NULL with *err set when the address is malformed or
 * cannot be bound.
 */
CaroHttpServer *CaroHttpServer_Create(struct event_base *base,
                                      const char *address,
                                      const CaroHttpServerLimits *limits,
                                      const CaroHttpServerHandlers *handlers,
                                      void *context, CaroError *err);

/* Closes all connections, without calling on_disconnected. */
void CaroHttpServer_Destroy(CaroHttpServer *s);

/*
 * Sets the limits, also of the connections that are open.  The idle timeout
 * before it stays in force for 30 s if it is longer, because callers may
 * still go by it.
 */
void CaroHttpServer_SetLimits(CaroHttpServer *s,
                              const CaroHttpServerLimits *limits);

/* From now on each response closes its connection. */
void CaroHttpServer_CloseAfterResponses(CaroHttpServer *s);

/*
 * Accepts no more connections, and closes those without a request and without
 * unsent bytes of a response.  To be called repeatedly before the server is
 * destroyed, so that requests that have just arrived are answered.
 */
void CaroHttpServer_CloseIdle(CaroHttpServer *s);

/* Open connections, and those among them with a request of which a part has
   been read or with a response that has not been sent. */
int CaroHttpServer_CountConnections(const CaroHttpServer *s);
int CaroHttpServer_CountCalls(const CaroHttpServer *s);

/* What the connections hold; borrowed. */
const CaroHeldBytes *CaroHttpServer_HeldBytes(const CaroHttpServer *s);

/* The head of the request; borrowed until the call is over. */
const CaroHttpHead *CaroCall_Head(const CaroCall *call);
/* The body of the request; borrowed, and not to be changed. */
struct evbuffer *CaroCall_Body(const CaroCall *call);
/* Address "ip:port" of the caller; borrowed. */
const char *CaroCall_Peer(const CaroCall *call);

/* Counts the bytes that the connection holds for the client account from now
   on; copied. */
void CaroCall_SetAccount(CaroCall *call, const char *account);

/* A pointer of the handler's own; NULL at first. */
void CaroCall_SetOwner(CaroCall *call, void *owner);
void *CaroCall_Owner(const CaroCall *call);

/*
 * Has "on_closed" called instead of on_disconnected when the caller
 * disconnects before the response has ended; NULL undoes that.  The end of the
 * response does so, too.
 */
void CaroCall_SetCloseHandler(CaroCall *call, void (*on_closed)(void *context),
                              void *context);

/*
 * Sends a complete response and ends the call.  "headers" holds complete
 * header lines; both buffers may be NULL, and their bytes are moved out.
 */
void CaroCall_Respond(CaroCall *call, int status, struct evbuffer *headers,
                      struct evbuffer *body);

/* Begins a response whose body is sent in parts. */
void CaroCall_BeginResponse(CaroCall *call, int status,
                            struct evbuffer *headers);
void CaroCall_SendBody(CaroCall *call, const char *bytes, size_t size);
/* Ends the response and the call. */
void CaroCall_EndResponse(CaroCall *call);
/* Closes the connection without the end of the response, so that the caller
   sees that it is incomplete; ends the call. */
void CaroCall_AbortResponse(CaroCall *call);

/* Closes the connection without sending what is left of the response; ends the
   call. */
void CaroCall_Close(CaroCall *call);

/* Bytes of the response that have not been written to the socket. */
size_t CaroCall_PendingBytes(const CaroCall *call);

#endif
