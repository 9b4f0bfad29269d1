/*
 * NAME
 *     caro_lease_grace - when a target whose lease expired is removed
 *
 * Handles outages of the store, in which leases expire although their
 * targets are alive.  Such targets register again soon after the store has
 * recovered.
 */
#ifndef CARO_LEASE_GRACE_H
#define CARO_LEASE_GRACE_H

#include "internal/caro_types.h"

/*
 * Returns the time from which a registration that is missing now counts as
 * removed.  "recovered_at" is when the store last answered again after an
 * outage; 0 if there was none.
 */
CaroTime CaroLeaseGrace_ExpiresAt(bool is_store_unavailable,
                                  CaroTime recovered_at, CaroTime now);

#endif
