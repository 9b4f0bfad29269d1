/* When an upstream whose entry lapsed is taken as gone. */
#include "internal/caro_lease_grace.h"

/* The platform promises living upstreams' entries back within two seconds
   of the store's return; 200 ms are for the news to arrive. */
#define RETURN_MOST (2200 * CARO_MS)

CaroTime
CaroLeaseGrace_ExpiresAt(bool is_away, CaroTime regained_at, CaroTime now)
{
    if (is_away) {
        return now + RETURN_MOST;
    }
    if (regained_at != 0 && now - regained_at < RETURN_MOST) {
        return regained_at + RETURN_MOST;
    }
    return now;
}
