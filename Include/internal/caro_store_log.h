/*
 * NAME
 *     caro_store_log - the recent changes of the store at a VM
 *
 * Holds the last 4,096 changes or 1 MB, so that a reader of the store can
 * tell other VMs what has changed after the revision that they know.  It also
 * holds when it was last known to be complete: when a read of the store was
 * sent that reported a revision which the log has reached.
 */
#ifndef CARO_STORE_LOG_H
#define CARO_STORE_LOG_H

#include "caro_peer.h"
#include "internal/caro_platform.h"

typedef struct CaroStoreLog CaroStoreLog;

/* Returns an empty log from revision 0, or NULL when out of memory. */
CaroStoreLog *CaroStoreLog_Create(void);
void CaroStoreLog_Destroy(CaroStoreLog *l);

/* Empties the log; it begins after the revision. */
void CaroStoreLog_Reset(CaroStoreLog *l, CaroRevision revision);

/*
 * Adds the changes of a response, which is complete up to "revision", and
 * copies them.  Changes at or below the log's revision are skipped.  When they
 * are not in the store's order or cannot be kept, the log is reset to begin
 * after "revision".  A value that does not fit in a reply is omitted.
 */
void CaroStoreLog_Append(CaroStoreLog *l, const CaroStoreItem *items,
                         int n_items, CaroRevision revision);

/* Returns the revision up to which the log has all changes, and the one after
   which it begins. */
CaroRevision CaroStoreLog_Revision(const CaroStoreLog *l);
CaroRevision CaroStoreLog_Start(const CaroStoreLog *l);

/*
 * Fills the changes after a revision, the revision up to which they are
 * complete, whether the log reaches back, and whether there are more.  The
 * changes are whole revisions with at most 6 KB in total; they are borrowed
 * until the log changes.
 */
void CaroStoreLog_Collect(const CaroStoreLog *l, CaroRevision after,
                          caro_store_change changes[CARO_CHANGES_MAX],
                          caro_store_changes *reply);

/* A read of the store that was sent at "sent_at" reported this revision of the
   whole store. */
void CaroStoreLog_RecordRead(CaroStoreLog *l, CaroRevision revision,
                             CaroTime sent_at);

/* The log had all changes that the store had at the time "at", as far as
   another VM's log shows that it equals. */
void CaroStoreLog_RecordComplete(CaroStoreLog *l, CaroTime at);

/* Returns the last time at which the log was known to have all changes; 0 for
   none. */
CaroTime CaroStoreLog_CompleteAt(const CaroStoreLog *l);

/* Returns when the oldest read was sent whose revision the log has not
   reached; 0 for none.  A watch that does not deliver the changes soon after
   it no longer works. */
CaroTime CaroStoreLog_BehindSince(const CaroStoreLog *l);

#endif
