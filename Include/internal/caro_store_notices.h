/*
 * NAME
 *     caro_store_notices - which upstreams leave, as some VM read in the store
 *
 * What a VM reads in the store may be late: behind a large configuration on a
 * slow link, or at a reader that is busy.  So a VM that reads of an upstream
 * that it leaves or is gone passes that on in datagrams to VMs chosen at
 * random, which do the same (rumor spreading).  A notice is a fact about one
 * start of an upstream; they are merged by union.
 *
 * SOURCE
 *     Demers et al., "Epidemic algorithms for replicated database
 *     maintenance", PODC 1987.
 */
#ifndef CARO_STORE_NOTICES_H
#define CARO_STORE_NOTICES_H

#include "caro_peer.h"
#include "internal/caro_targets.h"

/* A notice is passed on, and an upstream that is gone gets no requests, for so
   long: by then each VM has read of it itself. */
#define CARO_STORE_NOTICE_TTL (4 * CARO_SECOND)

typedef struct CaroStoreNotices CaroStoreNotices;

/* A message and its storage. */
typedef struct {
    caro_store_notices message;
    caro_store_notice notices[CARO_STORE_NOTICES_MAX];
} CaroStoreNoticesMessage;

/* The targets are borrowed.  Returns NULL when out of memory.  Destroy accepts
   NULL. */
CaroStoreNotices *CaroStoreNotices_Create(CaroTargets *targets);
void CaroStoreNotices_Destroy(CaroStoreNotices *s);

/* This VM read that the start with the hash leaves, or is gone. */
void CaroStoreNotices_Record(CaroStoreNotices *s, uint32_t start_hash,
                             bool is_gone, CaroTime now);

/* Merges the message of another VM.  Fills the targets that this VM did not
   know to leave, and returns their number. */
int CaroStoreNotices_Apply(CaroStoreNotices *s,
                           const caro_store_notices *message,
                           CaroHandle left[CARO_STORE_NOTICES_MAX],
                           CaroTime now);

/* Fills the message, except the sender, and returns to how many VMs it is to
   be sent now; 0 when none is due. */
int CaroStoreNotices_Collect(CaroStoreNotices *s, CaroStoreNoticesMessage *out,
                             CaroTime now);

#endif
