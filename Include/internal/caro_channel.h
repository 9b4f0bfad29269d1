/*
 * NAME
 *     caro_channel - a persistent HTTP connection to an upstream
 *
 * A channel carries one request at a time.  Its callbacks run from the
 * event loop, never from within CaroChannel_Start; a channel may be
 * destroyed in any of them.
 */
#ifndef CARO_CHANNEL_H
#define CARO_CHANNEL_H

#include "internal/caro_common.h"
#include "internal/caro_http_reader.h"

#include <event2/event.h>

typedef struct CaroChannel CaroChannel;

/*
 * Callbacks of one request.  on_head runs when the head of the response has
 * been read, on_body for each part of the body, and then once either on_end
 * or on_failure, after which the request is over.  Heads and bytes are
 * borrowed during the callback.
 */
typedef struct {
    void (*on_head)(void *context, const CaroHttpHead *head);
    void (*on_body)(void *context, CaroText bytes);
    void (*on_end)(void *context);
    /* "code" is CARO_ERR_NOT_FOUND (connection refused), _TIMEOUT (not
       connected in time), _STATE (a gate did not connect), _INPUT (malformed
       response) or _IO (connection broke); "reason" is a static text. */
    void (*on_failure)(void *context, int code, const char *reason);
} CaroChannelEvents;

/*
 * Begins to connect to "ip:port".  Returns NULL when the address is
 * malformed, or without memory or a free descriptor.
 */
CaroChannel *CaroChannel_Open(struct event_base *base, const char *address,
                              CaroTime connect_timeout);

typedef enum {
    CARO_CONNECT_DONE,
    CARO_CONNECT_TIMED_OUT,
    CARO_CONNECT_REFUSED,
    CARO_CONNECT_GATE_UNABLE, /* The gate takes no tunnel for this VM. */
    CARO_CONNECT_GATE_LOST    /* It does not answer as a gate does. */
} CaroConnectOutcome;

/* How a channel reaches its upstream.  "on_outcome" is called once, unless the
   channel is destroyed before; it must not destroy the channel.  It returns
   whether a failed connection of a gate tells of the upstream. */
typedef struct {
    const char *gate;  /* "ip:port" of a VM that opens the connection; NULL for
                          a direct one. */
    const void *hello; /* First bytes on the connection to the gate. */
    size_t hello_size;
    bool (*on_outcome)(void *context, CaroHandle upstream, CaroHandle vm,
                       CaroConnectOutcome outcome);
    /* The channel through a gate is closed; NULL for none. */
    void (*on_closed)(void *context, uint32_t tunnel);
    void *context;
    CaroHandle upstream;
    CaroHandle vm;   /* The gate. */
    uint32_t tunnel; /* Number of the tunnel. */
} CaroChannelPath;

/* Likewise by a path, which is copied. */
CaroChannel *CaroChannel_OpenPath(struct event_base *base, const char *address,
                                  CaroTime connect_timeout,
                                  const CaroChannelPath *path);

/* Whether the channel goes through a gate. */
bool CaroChannel_IsTunneled(const CaroChannel *c);

/* Closes the connection at once, which cancels a request in progress. */
void CaroChannel_Destroy(CaroChannel *c);

/*
 * Sends the request, which is moved out of the buffer.  With "is_head" the
 * response is one to a HEAD request and has no body.  "events" is borrowed.
 * An empty buffer only waits for the next response on the channel.
 */
void CaroChannel_Start(CaroChannel *c, struct evbuffer *request, bool is_head,
                       const CaroChannelEvents *events, void *context);

/* Whether a byte of the request may have reached the upstream. */
bool CaroChannel_IsSent(const CaroChannel *c);

/* Whether the upstream's own system closed the connection: neither the gate of
   a tunnel nor a dead link did. */
bool CaroChannel_IsClosedByUpstream(const CaroChannel *c);

/* Whether bytes of the response, or its end, have arrived that no callback has
   reported yet. */
bool CaroChannel_HasUnread(const CaroChannel *c);

/* Stops or resumes reading, for a receiver of the response that is slow. */
void CaroChannel_Pause(CaroChannel *c, bool is_paused);

/*
 * Whether the channel may carry another request after on_end.  It may not
 * when the peer announced that it closes, when it responded before it had
 * received the whole request, or when bytes follow its response.
 */
bool CaroChannel_IsReusable(const CaroChannel *c);

/*
 * Keeps an idle channel for later requests.  "on_closed" runs when the
 * peer closes it or sends unsolicited bytes, and has to destroy it.
 */
void CaroChannel_Park(CaroChannel *c,
                      void (*on_closed)(void *context, CaroChannel *c),
                      void *context, CaroTime now);

/* The peer's address, "ip:port"; borrowed. */
const char *CaroChannel_Address(const CaroChannel *c);

/* When the channel was parked, and how long the peer keeps idle connections
   according to its Keep-Alive header (0 when it sent none). */
CaroTime CaroChannel_ParkedAt(const CaroChannel *c);
CaroTime CaroChannel_IdleTimeout(const CaroChannel *c);

#endif
