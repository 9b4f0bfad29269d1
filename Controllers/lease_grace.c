/* When a target whose registration is missing is removed. */
#include "internal/caro_lease_grace.h"

/* The platform guarantees that live targets are registered again within two
   seconds of the store's recovery; 200 ms are for the change to arrive. */
#define LEASE_GRACE_MAX (2200 * CARO_MS)
/* Targets renew their leases every 1.2 s, and a lease expires after three such
   intervals: at the earliest two after the last renewal that was possible. */
#define OUTAGE_MIN (2400 * CARO_MS)

/* A response that becomes known late may show that the store responded in
   the middle of what looked like an outage. */
static void
narrow_outage(CaroLeaseGrace *g, CaroTime at)
{
    if (at <= g->outage_start || at >= g->outage_end) {
        return;
    }
    if (at - g->outage_start > g->outage_end - at) {
        g->outage_end = at;
    }
    else {
        g->outage_start = at;
    }
    if (g->outage_end - g->outage_start < OUTAGE_MIN) {
        g->recovered_at = 0;
    }
}

void
CaroLeaseGrace_RecordResponse(CaroLeaseGrace *g, CaroTime at, CaroTime now)
{
    if (at <= g->responded_at) {
        narrow_outage(g, at);
        return;
    }
    if (g->responded_at != 0 && at - g->responded_at >= OUTAGE_MIN) {
        g->outage_start = g->responded_at;
        g->outage_end = at;
        g->recovered_at = now;
    }
    g->responded_at = at;
}

void
CaroLeaseGrace_RecordRestoration(CaroLeaseGrace *g, CaroTime now)
{
    g->restored_at = now;
}

bool
CaroLeaseGrace_Keeps(const CaroLeaseGrace *g, CaroTime now)
{
    bool is_outage =
        g->responded_at != 0 && now - g->responded_at >= OUTAGE_MIN;
    bool has_recovered =
        g->recovered_at != 0 && now - g->recovered_at < LEASE_GRACE_MAX;
    bool was_restored =
        g->restored_at != 0 && now - g->restored_at < LEASE_GRACE_MAX;
    return is_outage || has_recovered || was_restored;
}
