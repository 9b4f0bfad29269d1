/* The limit of generations of a VM, from the load of the upstreams. */
#include "internal/caro_limits.h"

#include <string.h>

enum { CAPACITY_ASSUMED = 32 /* Of an engine that has not reported. */ };

#define LIMIT_HEADROOM 1.05

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
        int slots = u->capacity > 0 ? u->capacity : CAPACITY_ASSUMED;
        capacity += slots;
        free_slots += CaroUpstreams_AvailableSlots(t, h, now);
    }
    double share = capacity / vms * LIMIT_HEADROOM;
    int least = (int)share + 1;
    /* Without anything free the limit must not follow what runs, or it
       would rise by one with each request that it admits. */
    int grown = running + (int)(free_slots / vms);
    return grown > least ? grown : least;
}
