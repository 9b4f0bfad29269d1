/*
 * NAME
 *     caro_store_readers - which VMs read the store, and when
 *
 * Handles the calls of hundreds of VMs to the store, which are billed: in
 * fleets of more than 40 VMs two of each failure domain read it, and the
 * others ask one of them for changes.  A VM whose readers are dead, frozen,
 * cut off from it or from the store, or behind, reads the store itself for
 * some seconds.  Without I/O: the owner passes the time, the readers of its
 * domain and their replies, and makes the calls.  Times are those of a clock
 * that also runs in suspend.
 */
#ifndef CARO_STORE_READERS_H
#define CARO_STORE_READERS_H

#include "internal/caro_types.h"

enum { CARO_STORE_READERS = 2 };

/* Timeout of a call to a reader. */
#define CARO_STORE_READER_TIMEOUT (200 * CARO_MS)

typedef enum {
    /* A small fleet, or one whose members are not known yet. */
    CARO_STORE_DIRECT,
    CARO_STORE_READER,
    /* Asks a reader, and makes no calls to the store. */
    CARO_STORE_FOLLOWER,
    /* Reads the store since its readers do not serve it. */
    CARO_STORE_FALLBACK
} CaroStoreRole;

/* Why the role is what it is, for logs. */
typedef enum {
    CARO_ROLE_START,
    CARO_ROLE_SMALL_FLEET,
    CARO_ROLE_CHOSEN,
    CARO_ROLE_NOT_CHOSEN,   /* Others are readers; none has replied yet. */
    CARO_ROLE_READER_READY, /* A reader replied with recent ages. */
    CARO_ROLE_NO_ANSWER,    /* The readers did not reply. */
    CARO_ROLE_READER_OLD,   /* They had no recent answer from the store. */
    CARO_ROLE_CHANGES_OLD   /* No complete reply for too long. */
} CaroStoreRoleCause;

/* The fleet as this VM knows it. */
typedef struct {
    /* The members are known, and the first list and a configuration have been
       read. */
    bool is_ready;
    int n_vms;
    CaroHandle readers[CARO_STORE_READERS]; /* CARO_NO_HANDLE for none. */
    bool is_reader;                         /* This VM is one of them. */
} CaroStoreReadersView;

/* What a reply to a call tells; ages are as of the reply, -1 for never. */
typedef struct {
    CaroTime sent_at; /* Sending of the call. */
    CaroTime answer_age;
    CaroTime log_age;
    bool is_complete; /* The reply continues what this VM knows. */
    bool has_more;    /* More changes can be fetched at once. */
} CaroStoreReaderReply;

typedef struct {
    CaroStoreRole role;
    CaroStoreRoleCause cause;
    CaroTime role_since;
    uint64_t random; /* State of the generator. */
    CaroHandle readers[CARO_STORE_READERS];
    int current;              /* Index of the reader that is asked. */
    bool is_other;            /* It is asked because the first one failed. */
    int n_failures;           /* Failed calls to it in a row. */
    CaroHandle called;        /* Reader with a call in progress. */
    CaroTime called_at;       /* Sending of the last call. */
    CaroTime next_call;       /* The next call is due. */
    CaroTime last_answer_age; /* Ages in the last reply, for logs. */
    CaroTime last_log_age;
} CaroStoreReaders;

/* "seed" makes VMs differ in the reader that they ask first and in delays. */
void CaroStoreReaders_Init(CaroStoreReaders *s, uint64_t seed);

/*
 * Determines the role of this VM.  "complete_at" is the last time at which
 * this VM is known to have had all changes, 0 for none.  Returns whether the
 * role has changed.
 */
bool CaroStoreReaders_Update(CaroStoreReaders *s,
                             const CaroStoreReadersView *view,
                             CaroTime complete_at, CaroTime now);

/* Returns the reader to call now, which counts as called; CARO_NO_HANDLE for
   none. */
CaroHandle CaroStoreReaders_NextCall(CaroStoreReaders *s, CaroTime now);

/*
 * A call to a reader has ended with a valid reply, or without one.  Returns
 * whether the role has changed.  *is_recent tells whether the reader had
 * recent contact with the store; the ages of a reply hold in any case.
 */
bool CaroStoreReaders_OnReply(CaroStoreReaders *s, CaroHandle reader,
                              const CaroStoreReaderReply *reply,
                              bool *is_recent, CaroTime now);
bool CaroStoreReaders_OnFailure(CaroStoreReaders *s, CaroHandle reader,
                                CaroTime now);

/* Returns whether a VM in the role watches the store and reads the
   configuration. */
bool CaroStoreRole_ReadsStore(CaroStoreRole role);

/* Returns the pause of a watch after changes. */
CaroTime CaroStoreRole_WatchDelay(CaroStoreRole role);

/* Returns the pause before the next read of the configuration after one that
   the store answered in "elapsed". */
CaroTime CaroStoreRole_ConfigDelay(CaroStoreRole role, CaroTime elapsed);

/* Return words for logs. */
const char *CaroStoreRole_Name(CaroStoreRole role);
const char *CaroStoreRoleCause_Name(CaroStoreRoleCause cause);

#endif
