/* When a target whose lease expired is removed. */
#include "internal/caro_lease_grace.h"

/* The platform guarantees that live targets are registered again within two
   seconds of the store's recovery; 200 ms are for the change to arrive. */
#define LEASE_GRACE_MAX (2200 * CARO_MS)

CaroTime
CaroLeaseGrace_ExpiresAt(bool is_store_unavailable, CaroTime recovered_at,
                         CaroTime now)
{
    if (is_store_unavailable) {
        return now + LEASE_GRACE_MAX;
    }
    if (recovered_at != 0 && now - recovered_at < LEASE_GRACE_MAX) {
        return recovered_at + LEASE_GRACE_MAX;
    }
    return now;
}
