/*
 * NAME
 *     caro_lease_grace - when an upstream whose entry lapsed is taken as gone
 *
 * Answers outages of the store, in which entries lapse though their
 * upstreams live: these are back soon after the store is.
 */
#ifndef CARO_LEASE_GRACE_H
#define CARO_LEASE_GRACE_H

#include "internal/caro_types.h"

/*
 * The time from which an entry that is missing now counts as gone.
 * is_away: the store does not answer; regained_at: when it last answered
 * again after an outage, 0 never.
 */
CaroTime CaroLeaseGrace_ExpiresAt(bool is_away, CaroTime regained_at,
                                  CaroTime now);

#endif
