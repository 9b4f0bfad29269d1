/*
 * NAME
 *     caro_store - the platform's key-value service
 *
 * Either a client of the service over HTTP (the JSON form of the etcd v3
 * interface: range, txn, lease), or a map in memory for a node that runs
 * alone.  Calls answer by call-back; a lost answer of a write is told
 * as CARO_ERR_TIMEOUT or CARO_ERR_IO, after which the caller reads back.
 */
#ifndef CARO_STORE_H
#define CARO_STORE_H

#include "caro_error.h"
#include "internal/caro_types.h"

#include <event2/event.h>

typedef struct CaroStore CaroStore;

typedef struct {
    int code;          /* 0, CARO_ERR_NOT_FOUND (no such key), CARO_ERR_STATE
                          (the compare failed), CARO_ERR_IO, ... */
    uint64_t revision; /* Revision of the key's last change. */
    const char *value; /* Borrowed during the call-back. */
    size_t size;
} CaroStoreResult;

typedef void (*CaroStoreDone)(void *context, const CaroStoreResult *result);

/* A client of the service at "address". */
CaroStore *CaroStore_CreateClient(struct event_base *base,
                                  const char *address);

/* A store in the memory of this process. */
CaroStore *CaroStore_CreateEmbedded(struct event_base *base);

void CaroStore_Destroy(CaroStore *s);

/* Reads a key. */
void CaroStore_Get(CaroStore *s, const char *key, CaroStoreDone done,
                   void *context);

/*
 * Writes a key if its revision is still "expected" (0: it must not
 * exist).  lease 0 is none.
 */
void CaroStore_Put(CaroStore *s, const char *key, const char *value,
                   size_t size, uint64_t expected, uint64_t lease,
                   CaroStoreDone done, void *context);

/* Grants a lease for ttl_s seconds; its id comes as the revision. */
void CaroStore_Grant(CaroStore *s, int ttl_s, CaroStoreDone done,
                     void *context);

/* Renews a lease; CARO_ERR_NOT_FOUND when it lapsed. */
void CaroStore_KeepAlive(CaroStore *s, uint64_t lease, CaroStoreDone done,
                         void *context);

/* Calls made so far. */
uint64_t CaroStore_CountCalls(const CaroStore *s);

#endif
