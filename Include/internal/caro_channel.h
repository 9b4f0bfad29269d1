/*
 * NAME
 *     caro_channel - a connection to an upstream, kept for many requests
 *
 * One request at a time.  Events come from the loop, never from within
 * CaroChannel_Start; a channel may be destroyed in any of them.
 */
#ifndef CARO_CHANNEL_H
#define CARO_CHANNEL_H

#include "internal/caro_http_reader.h"

#include <event2/event.h>

typedef struct CaroChannel CaroChannel;

/*
 * What becomes of a request.  After on_end or on_failure the request is
 * over.  Heads and bytes are borrowed during the call.
 */
typedef struct {
    void (*on_head)(void *context, const CaroHttpHead *head);
    void (*on_body)(void *context, CaroText bytes);
    void (*on_end)(void *context);
    /* "code" is negative; "reason" is a static text. */
    void (*on_failure)(void *context, int code, const char *reason);
} CaroChannelEvents;

/* Begins to connect.  Returns NULL when the address is bad or no
   descriptor is to be had. */
CaroChannel *CaroChannel_Open(struct event_base *base, const char *address,
                              CaroTime connect_timeout);

/* Closes at once; the upstream sees the request cancelled. */
void CaroChannel_Destroy(CaroChannel *c);

/*
 * Sends the request, whose bytes are taken from the buffer.  is_head
 * tells that the answer has no body.
 */
void CaroChannel_Start(CaroChannel *c, struct evbuffer *request, bool is_head,
                       const CaroChannelEvents *events, void *context);

/* A byte of the request may have reached the upstream. */
bool CaroChannel_IsSent(const CaroChannel *c);

/* Stops reading while the reader of the answer is slow. */
void CaroChannel_Pause(CaroChannel *c, bool is_paused);

/*
 * After on_end: may carry another request.  Not so when the peer said it
 * closes, when it answered before it had the whole request, or when bytes
 * stand behind its answer.
 */
bool CaroChannel_IsReusable(const CaroChannel *c);

/*
 * Gives an idle channel a watcher: "on_closed" when the peer closes it or
 * sends bytes that nobody asked for.  The watcher destroys the channel.
 */
void CaroChannel_Park(CaroChannel *c,
                      void (*on_closed)(void *context, CaroChannel *c),
                      void *context, CaroTime now);

/* When it was parked, and how long the peer keeps it idle (0 unknown). */
CaroTime CaroChannel_ParkedAt(const CaroChannel *c);
CaroTime CaroChannel_IdleLimit(const CaroChannel *c);

#endif
