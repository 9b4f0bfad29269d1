/*
 * Records of non-idempotent requests.
 *
 * Invariants: a fenced record stays fenced; a record with an outcome keeps
 * it; a key has at most one record.
 */
#include "internal/caro_orders.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

typedef struct Entry {
    CaroOrderRecord record;
    UT_hash_handle hh;
} Entry;

struct CaroOrders {
    Entry *entries;
    int records_max;
};

CaroOrders *
CaroOrders_Create(int records_max)
{
    CaroOrders *t = calloc(1, sizeof(*t));
    if (t != NULL) {
        t->records_max = records_max;
    }
    return t;
}

static void
remove_entry(CaroOrders *t, Entry *e)
{
    HASH_DEL(t->entries, e);
    free(e->record.body);
    free(e);
}

void
CaroOrders_Destroy(CaroOrders *t)
{
    if (t == NULL) {
        return;
    }
    Entry *e;
    Entry *next;
    HASH_ITER(hh, t->entries, e, next)
    {
        remove_entry(t, e);
    }
    free(t);
}

CaroOrderRecord *
CaroOrders_Find(CaroOrders *t, const char *key)
{
    Entry *e;
    HASH_FIND(hh, t->entries, key, strlen(key), e);
    return e == NULL ? NULL : &e->record;
}

CaroOrderRecord *
CaroOrders_Open(CaroOrders *t, const char *key, uint64_t digest,
                CaroRecordState state, CaroTime now)
{
    if (strlen(key) >= CARO_KEY_SIZE || CaroOrders_Find(t, key) != NULL ||
        CaroOrders_Count(t) >= t->records_max) {
        return NULL;
    }
    Entry *e = calloc(1, sizeof(*e));
    if (e == NULL) {
        return NULL;
    }
    CARO_COPY(e->record.key, key);
    e->record.digest = digest;
    e->record.state = state;
    e->record.updated_at = now;
    HASH_ADD_KEYPTR(hh, t->entries, e->record.key, strlen(e->record.key), e);
    return &e->record;
}

CaroOrderRecord *
CaroOrders_RecordIntent(CaroOrders *t, const char *key, uint64_t digest,
                        CaroTime now)
{
    CaroOrderRecord *r = CaroOrders_Find(t, key);
    if (r != NULL) {
        return r;
    }
    return CaroOrders_Open(t, key, digest, CARO_RECORD_INTENT, now);
}

CaroOrderRecord *
CaroOrders_FindOrFence(CaroOrders *t, const char *key, uint64_t digest,
                       CaroTime now)
{
    CaroOrderRecord *r = CaroOrders_Find(t, key);
    if (r != NULL) {
        return r;
    }
    return CaroOrders_Open(t, key, digest, CARO_RECORD_FENCED, now);
}

int
CaroOrders_SetOutcome(CaroOrderRecord *r, CaroRecordState state, int status,
                      const char *body, size_t size, CaroTime now)
{
    if (r->state == CARO_RECORD_FENCED || r->state == CARO_RECORD_DONE) {
        return 0;
    }
    char *copy = malloc(size + 1);
    if (copy == NULL) {
        return CARO_ERR_NOMEM;
    }
    if (size > 0) { /* An empty body may be a null pointer. */
        memcpy(copy, body, size);
    }
    copy[size] = '\0';
    free(r->body);
    r->body = copy;
    r->body_size = size;
    r->status = status;
    r->state = state;
    r->updated_at = now;
    return 0;
}

int
CaroOrders_Expire(CaroOrders *t, CaroTime before)
{
    Entry *e;
    Entry *next;
    int n = 0;
    HASH_ITER(hh, t->entries, e, next)
    {
        if (e->record.updated_at < before) {
            remove_entry(t, e);
            n++;
        }
    }
    return n;
}

int
CaroOrders_Count(const CaroOrders *t)
{
    return (int)HASH_COUNT(t->entries);
}

caro_order_state
CaroOrders_WireState(const CaroOrderRecord *r)
{
    switch (r->state) {
    case CARO_RECORD_DONE:
        return CARO_ORDER_DONE;
    case CARO_RECORD_FENCED:
        return CARO_ORDER_FENCED;
    case CARO_RECORD_UNKNOWN:
        return CARO_ORDER_UNKNOWN;
    default:
        return CARO_ORDER_INTENT;
    }
}

uint64_t
CaroOrders_Digest(const char *account, const char *path, const char *body,
                  size_t size)
{
    uint64_t h = XXH64(account, strlen(account), 0);
    h = XXH64(path, strlen(path), h);
    return XXH64(body, size, h);
}
