/*
 * NAME
 *     caro_store_client - calls of the platform's store
 *
 * Connections are kept and reused.  One whose response is late is closed,
 * as the late response would be taken for that of the next call.  A call is
 * never retried here; the caller knows whether it may be.
 */
#ifndef CARO_STORE_CLIENT_H
#define CARO_STORE_CLIENT_H

#include "internal/caro_platform.h"

#include <event2/event.h>

typedef struct CaroStoreClient CaroStoreClient;

/*
 * Result of a call.  "code" is 0 when the store responded, with the HTTP
 * status and, for 200 and 412, the parsed response, borrowed.  A negative code
 * means that there is no valid response; a write may have taken effect then.
 * "sent_at" is when the call was sent, by CaroClock_BootTime.
 */
typedef void (*CaroStoreClientDone)(void *context, int code, int status,
                                    const CaroStoreResponse *response,
                                    CaroTime sent_at);

/* Returns NULL when out of memory.  Connections are opened by calls. */
CaroStoreClient *CaroStoreClient_Create(struct event_base *base,
                                        const char *address);

/* Drops the calls in progress without their callbacks. */
void CaroStoreClient_Destroy(CaroStoreClient *s);

/* Sends the call and frees its texts.  "done" is called once, never before
   this returns. */
void CaroStoreClient_Call(CaroStoreClient *s, CaroStoreCall *call,
                          CaroTime timeout, CaroStoreClientDone done,
                          void *context);

/* Returns the number of calls sent so far. */
uint64_t CaroStoreClient_CountCalls(const CaroStoreClient *s);

#endif
