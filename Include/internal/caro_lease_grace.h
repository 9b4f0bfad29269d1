/*
 * NAME
 *     caro_lease_grace - when a target whose registration is missing is
 *     removed
 *
 * In an outage of the store leases expire although their targets are alive;
 * these register again soon after the store has recovered.  Without an outage
 * a missing registration was deleted, and the target is leaving.  An outage
 * is a time in which the store is not known to have responded to any VM: a
 * VM with a slow link, or one that the store turns away, has none.
 */
#ifndef CARO_LEASE_GRACE_H
#define CARO_LEASE_GRACE_H

#include "internal/caro_types.h"

/* Responses of the store, to this VM or to others.  Zero-initialized. */
typedef struct {
    CaroTime responded_at; /* Time of the last one; 0 for none. */
    /* The last outage: the responses before and after it, and when the latter
       became known here; 0 for none. */
    CaroTime outage_start;
    CaroTime outage_end;
    CaroTime recovered_at;
    CaroTime restored_at; /* Last restoration of the store; 0 for none. */
} CaroLeaseGrace;

/* Records that the store responded to some VM at the time "at", which may be
   earlier than others that were recorded. */
void CaroLeaseGrace_RecordResponse(CaroLeaseGrace *g, CaroTime at,
                                   CaroTime now);

/* Records that the store was restored from an older copy, in which targets
   that are alive may be missing. */
void CaroLeaseGrace_RecordRestoration(CaroLeaseGrace *g, CaroTime now);

/* Returns whether a target whose registration is missing may be alive, and
   is kept for now. */
bool CaroLeaseGrace_Keeps(const CaroLeaseGrace *g, CaroTime now);

#endif
