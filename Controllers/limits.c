/* The limit of concurrent generations of a VM. */
#include "internal/caro_limits.h"

#include <string.h>

/* Capacity of an engine that has not reported its own. */
enum { CAPACITY_DEFAULT = 32 };

#define HEADROOM_FACTOR 1.05

int
CaroLimits_Get(const CaroUpstreams *t, const char *deployment, int running,
               int vms, CaroTime now)
{
    double capacity = 0.0;
    double free_slots = 0.0;
    for (CaroHandle h = 0; h < CaroUpstreams_Count(t); h++) {
        const CaroUpstream *u = CaroUpstreams_Get((CaroUpstreams *)t, h);
        if (strcmp(u->deployment, deployment) != 0 ||
            !CaroUpstreams_IsUsable(t, h, now)) {
            continue;
        }
        int slots = u->capacity > 0 ? u->capacity : CAPACITY_DEFAULT;
        capacity += slots;
        free_slots += CaroUpstreams_AvailableSlots(t, h, now);
    }
    double share = capacity / vms * HEADROOM_FACTOR;
    int base = (int)share + 1;
    /* Without free slots the limit must not exceed the running count, or it
       would rise by one with each request that it admits. */
    int grown = running + (int)(free_slots / vms);
    return grown > base ? grown : base;
}
