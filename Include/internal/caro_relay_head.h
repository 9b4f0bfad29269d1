/*
 * NAME
 *     caro_relay_head - heads of forwarded requests and answers
 */
#ifndef CARO_RELAY_HEAD_H
#define CARO_RELAY_HEAD_H

#include "internal/caro_http_server.h"

/* What a request carries to an upstream, besides the caller's own. */
typedef struct {
    const CaroCall *call;
    const char *target_id; /* The one upstream that may run it. */
    const char *account;   /* Empty for none. */
    CaroTime time_left;
    bool is_resumed;        /* Goes on with an answer that has begun. */
    const char *copy_to;    /* Address that keeps a copy, or NULL. */
    const char *copy_from;  /* Address whose copy it goes on from. */
    const char *request_id; /* Of the run that was copied. */
    int64_t last_event;     /* Id of the last event had; -1 none. */
} CaroRequestHead;

/* Writes head and body; the caller's body stays.  Returns 0 or
   CARO_ERR_NOMEM. */
int CaroRelayHead_WriteRequest(struct evbuffer *out, const CaroRequestHead *h);

/* What keeps a success from being the upstream's answer to the request of
   that id: a static text, or NULL when it is. */
const char *CaroRelayHead_CheckSuccess(const CaroHttpHead *head,
                                       const char *id);

/* The status promises that the request has not run and never will. */
bool CaroRelayHead_IsNotRun(int status);

/* Copies the upstream's header lines that are meant for the caller. */
void CaroRelayHead_CopyAnswer(struct evbuffer *out, const CaroHttpHead *head);

#endif
