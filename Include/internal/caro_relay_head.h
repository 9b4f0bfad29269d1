/*
 * NAME
 *     caro_relay_head - heads of forwarded requests and responses
 */
#ifndef CARO_RELAY_HEAD_H
#define CARO_RELAY_HEAD_H

#include "internal/caro_http_server.h"

/* One attempt of a caller's request, as it is sent to an upstream.  The
   texts are borrowed. */
typedef struct {
    const CaroCall *call;
    const char *target_id;    /* Id of the only instance that may run it. */
    const char *account;      /* Name of the client account, or NULL. */
    CaroTime time_left;       /* Time until the deadline of the request. */
    bool is_resumed;          /* The caller has a part of the response. */
    const char *kv_copy_to;   /* Address to copy KV memory to, or NULL. */
    const char *kv_copy_from; /* Address with a KV copy, or NULL. */
    const char *request_id;   /* Id of the request; names the KV copy. */
    int64_t last_event_id;    /* Id of the last event sent; -1 for none. */
} CaroRequestHead;

/*
 * Writes head and body of the request.  The body is shared with the call,
 * which keeps it for a retry.  Returns 0 or CARO_ERR_NOMEM.
 */
int CaroRelayHead_WriteRequest(struct evbuffer *out, const CaroRequestHead *h);

/*
 * Checks that a success response is the upstream's own response to the
 * request with the id: it is signed, names the id and is not encoded.
 * Returns NULL, or a static text that says what is wrong.
 */
const char *CaroRelayHead_CheckSuccess(const CaroHttpHead *head,
                                       const char *id);

/* Returns whether the body is a series of events: status 200 and, if the type
   is named, text/event-stream. */
bool CaroRelayHead_IsEventStream(const CaroHttpHead *head);

/* Whether the status guarantees that the request has not run and will not. */
bool CaroRelayHead_IsNotRun(int status);

/* Copies the header lines of the response that are meant for the caller. */
void CaroRelayHead_CopyResponse(struct evbuffer *out,
                                const CaroHttpHead *head);

#endif
