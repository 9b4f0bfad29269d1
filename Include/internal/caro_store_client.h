/*
 * NAME
 *     caro_store_client - calls of the platform's store
 *
 * Channels are kept; one whose answer is late is closed, because nothing
 * more comes on it.  A call is never repeated here: whether it may be is
 * for the caller to decide.
 */
#ifndef CARO_STORE_CLIENT_H
#define CARO_STORE_CLIENT_H

#include "internal/caro_platform.h"

#include <event2/event.h>

typedef struct CaroStoreClient CaroStoreClient;

/*
 * Outcome of a call: code 0 with the status and, for 200 and 412, the
 * answer, borrowed; or a negative code, after which a write may have taken
 * effect.  "sent" is when the call began, on the clock that counts
 * suspensions.
 */
typedef void (*CaroStoreClientDone)(void *context, int code, int status,
                                    const CaroStoreResponse *answer,
                                    CaroTime sent);

CaroStoreClient *CaroStoreClient_Create(struct event_base *base,
                                        const char *address);

/* Open calls are dropped without a call-back. */
void CaroStoreClient_Destroy(CaroStoreClient *s);

/* Makes the call, whose texts are released. */
void CaroStoreClient_Call(CaroStoreClient *s, CaroStoreCall *call,
                          CaroTime timeout, CaroStoreClientDone done,
                          void *context);

/* Calls made so far. */
uint64_t CaroStoreClient_Calls(const CaroStoreClient *s);

#endif
