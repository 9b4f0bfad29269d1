/*
 * NAME
 *     caro_store - the platform's key-value service
 *
 * A store is either a client of the service over HTTP (the JSON form of the
 * etcd v3 interface: range, txn, lease), or a map in memory for a VM that
 * runs alone.  Results are delivered by callback.  After CARO_ERR_IO or
 * CARO_ERR_INPUT a write may have been applied; the caller has to read the
 * key to find out.
 */
#ifndef CARO_STORE_H
#define CARO_STORE_H

#include "caro_error.h"
#include "internal/caro_types.h"

#include <event2/event.h>

typedef struct CaroStore CaroStore;

/* The result of a call; borrowed during the callback. */
typedef struct {
    int code;          /* 0, CARO_ERR_NOT_FOUND (no such key or lease),
                          CARO_ERR_STATE (the key's revision is another),
                          CARO_ERR_IO (no response, or an HTTP error),
                          CARO_ERR_INPUT (malformed response) or
                          CARO_ERR_NOMEM. */
    uint64_t revision; /* Revision of the key's last change, or lease id. */
    const char *value; /* Value read by CaroStore_Get. */
    size_t size;       /* Bytes of the value. */
} CaroStoreResult;

/* Called once for each call, and not before the call has returned. */
typedef void (*CaroStoreDone)(void *context, const CaroStoreResult *result);

/*
 * Creates a client of the service at "address" ("ip:port"), which is copied.
 * Returns NULL when out of memory.
 */
CaroStore *CaroStore_CreateClient(struct event_base *base,
                                  const char *address);

/*
 * Creates a store in the memory of this process, in which leases never
 * expire.  Returns NULL when out of memory.
 */
CaroStore *CaroStore_CreateEmbedded(struct event_base *base);

void CaroStore_Destroy(CaroStore *s);

/* Reads a key: its value and revision. */
void CaroStore_Get(CaroStore *s, const char *key, CaroStoreDone done,
                   void *context);

/*
 * Writes a key if its revision is "expected" (0: the key must not exist).
 * With a lease other than 0 the key is deleted when the lease expires.
 */
void CaroStore_Put(CaroStore *s, const char *key, const char *value,
                   size_t size, uint64_t expected, uint64_t lease,
                   CaroStoreDone done, void *context);

/* Grants a lease for ttl_s seconds; its id is the result's revision. */
void CaroStore_Grant(CaroStore *s, int ttl_s, CaroStoreDone done,
                     void *context);

/* Renews a lease.  The code is CARO_ERR_NOT_FOUND when it has expired. */
void CaroStore_KeepAlive(CaroStore *s, uint64_t lease, CaroStoreDone done,
                         void *context);

/* Number of calls made so far. */
uint64_t CaroStore_CountCalls(const CaroStore *s);

#endif
