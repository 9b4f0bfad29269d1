/*
 * NAME
 *     caro_orders - at most one run of a non-idempotent request
 *
 * An order's idempotency key starts with a ticket that names two VMs and
 * the boot_id of each: the arbiter, which alone may dispatch the key, and
 * its backup, which records the intent before the dispatch.  The records
 * of both roles are of this type; docs/design/orders.md has the rules
 * and Tools/models/orders.pml the checked model.
 */
#ifndef CARO_ORDERS_H
#define CARO_ORDERS_H

#include "caro_error.h"
#include "caro_peer.h"
#include "internal/caro_types.h"

/* The signed part of a key that names its arbiter. */
typedef struct {
    char vm[CARO_NAME_SIZE];
    uint64_t vm_boot_id;
    char backup[CARO_NAME_SIZE]; /* Empty when there was no other VM. */
    uint64_t backup_boot_id;
    uint64_t expires_ms; /* Wall clock, since 1970. */
} CaroTicket;

/*
 * Writes the ticket and its signature to buf ("vm.boot_id.backup.boot_id.
 * expiry.mac"), always terminated.  Returns 0 or CARO_ERR_FULL.
 */
int CaroTicket_Format(const CaroTicket *ticket, const char *secret, char *buf,
                      size_t size);

/*
 * Reads the ticket at the head of a key.  Returns 0; CARO_ERR_NOT_FOUND when
 * the key carries no ticket; CARO_ERR_INPUT when its signature is wrong.
 */
int CaroTicket_Parse(const char *key, const char *secret, CaroTicket *ticket,
                     CaroError *err);

typedef enum {
    CARO_RECORD_INTENT,     /* Recorded; not dispatched as far as known. */
    CARO_RECORD_DISPATCHED, /* Handed to the order service. */
    CARO_RECORD_DONE,       /* The outcome is known. */
    CARO_RECORD_FENCED,     /* Never dispatched, now or later. */
    CARO_RECORD_UNKNOWN     /* Dispatched, and its outcome is lost. */
} CaroRecordState;

typedef struct {
    char key[CARO_KEY_SIZE];
    uint64_t digest; /* Of account, path and body. */
    CaroRecordState state;
    int status; /* HTTP status of the outcome. */
    char *body; /* Owned by the record; NULL before the outcome. */
    size_t body_size;
    CaroTime touched;
} CaroOrderRecord;

typedef struct CaroOrders CaroOrders;

CaroOrders *CaroOrders_Create(int records_max);
void CaroOrders_Destroy(CaroOrders *t);

/* Borrowed record or NULL. */
CaroOrderRecord *CaroOrders_Find(CaroOrders *t, const char *key);

/* New borrowed record, or NULL when the table is full or key stands. */
CaroOrderRecord *CaroOrders_Open(CaroOrders *t, const char *key,
                                 uint64_t digest, CaroRecordState state,
                                 CaroTime now);

/*
 * The backup's rules.  Intent: recorded unless the key is fenced.
 * Decide: a key without intent is fenced for ever; with one, the outcome
 * or UNKNOWN.  Both return the record, or NULL when the table is full,
 * which the sender must take as no answer.
 */
CaroOrderRecord *CaroOrders_RecordIntent(CaroOrders *t, const char *key,
                                         uint64_t digest, CaroTime now);
CaroOrderRecord *CaroOrders_FindOrFence(CaroOrders *t, const char *key,
                                        uint64_t digest, CaroTime now);

/* Stores an outcome; body is copied.  Returns 0 or CARO_ERR_NOMEM. */
int CaroOrders_SetOutcome(CaroOrderRecord *r, CaroRecordState state,
                          int status, const char *body, size_t size,
                          CaroTime now);

/* Forgets records untouched since "before"; returns how many. */
int CaroOrders_Expire(CaroOrders *t, CaroTime before);
int CaroOrders_Count(const CaroOrders *t);

/* What a caller may be told of a record. */
caro_order_state CaroOrders_WireState(const CaroOrderRecord *r);

/* Digest that detects one key used for two requests. */
uint64_t CaroOrders_Digest(const char *account, const char *path,
                           const char *body, size_t size);

#endif
