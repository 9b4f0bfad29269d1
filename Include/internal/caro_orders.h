/*
 * NAME
 *     caro_orders - at-most-once execution of non-idempotent requests
 *
 * The idempotency key of an order starts with a ticket that names two VMs
 * with the boot_id of each: the arbiter, which alone may dispatch the order,
 * and its backup, which records the intent before the dispatch.  Both keep
 * their records in this table.  docs/design/orders.md describes the
 * protocol, Tools/models/orders.pml is its checked model.
 */
#ifndef CARO_ORDERS_H
#define CARO_ORDERS_H

#include "caro_error.h"
#include "caro_peer.h"
#include "internal/caro_types.h"

/* The signed head of an idempotency key. */
typedef struct {
    char vm[CARO_NAME_SIZE]; /* The arbiter. */
    uint64_t vm_boot_id;
    char backup[CARO_NAME_SIZE]; /* Empty when no other VM was available. */
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
 * Parses the ticket at the head of a key.  Returns 0, CARO_ERR_NOT_FOUND when
 * the key has no ticket, or CARO_ERR_INPUT when the signature is wrong.
 */
int CaroTicket_Parse(const char *key, const char *secret, CaroTicket *ticket,
                     CaroError *err);

/* State of an order, as known to its arbiter or its backup. */
typedef enum {
    CARO_RECORD_INTENT,     /* Recorded; no dispatch is known. */
    CARO_RECORD_DISPATCHED, /* Sent to the order service. */
    CARO_RECORD_DONE,       /* The outcome is known. */
    CARO_RECORD_FENCED,     /* Not dispatched, and never will be. */
    CARO_RECORD_UNKNOWN     /* Dispatched, but the outcome is lost. */
} CaroRecordState;

/* The record of one order. */
typedef struct {
    char key[CARO_KEY_SIZE];
    uint64_t digest; /* Hash of account, path and body. */
    CaroRecordState state;
    int status; /* HTTP status of the outcome; 0 without one. */
    char *body; /* Owned by the record; NULL without an outcome. */
    size_t body_size;
    CaroTime updated_at;
} CaroOrderRecord;

typedef struct CaroOrders CaroOrders;

/* Creates an empty table, or returns NULL.  Destroy accepts NULL. */
CaroOrders *CaroOrders_Create(int records_max);
void CaroOrders_Destroy(CaroOrders *t);

/* Returns the borrowed record of the key, or NULL. */
CaroOrderRecord *CaroOrders_Find(CaroOrders *t, const char *key);

/* Adds a record, borrowed.  Returns NULL when the table is full, the key is
   too long or already recorded, or an allocation fails. */
CaroOrderRecord *CaroOrders_Open(CaroOrders *t, const char *key,
                                 uint64_t digest, CaroRecordState state,
                                 CaroTime now);

/*
 * The rules of the backup.  RecordIntent returns the existing record of the
 * key, which may be fenced, or records the intent.  FindOrFence returns the
 * existing record, or fences the key permanently when there is none.  Both
 * return NULL when the table is full, which the sender must treat as a
 * missing response.
 */
CaroOrderRecord *CaroOrders_RecordIntent(CaroOrders *t, const char *key,
                                         uint64_t digest, CaroTime now);
CaroOrderRecord *CaroOrders_FindOrFence(CaroOrders *t, const char *key,
                                        uint64_t digest, CaroTime now);

/* Stores an outcome; a record that is DONE or FENCED stays as it is.  The body
   is copied.  Returns 0 or CARO_ERR_NOMEM. */
int CaroOrders_SetOutcome(CaroOrderRecord *r, CaroRecordState state,
                          int status, const char *body, size_t size,
                          CaroTime now);

/* Removes records last updated before "before"; returns their number. */
int CaroOrders_Expire(CaroOrders *t, CaroTime before);
int CaroOrders_Count(const CaroOrders *t);

/* Returns the state of a record as sent in peer messages. */
caro_order_state CaroOrders_WireState(const CaroOrderRecord *r);

/* Returns a digest that detects the use of one key for two requests. */
uint64_t CaroOrders_Digest(const char *account, const char *path,
                           const char *body, size_t size);

#endif
