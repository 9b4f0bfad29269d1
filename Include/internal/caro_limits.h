/*
 * NAME
 *     caro_limits - how many generations a VM may run at once
 */
#ifndef CARO_LIMITS_H
#define CARO_LIMITS_H

#include "internal/caro_upstreams.h"

/*
 * Returns the limit of a VM for a deployment.  "running" generations run at
 * this VM now, and "vms" usable VMs share the engines.  The limit is the
 * greater of two: the VM's share of the capacity with some headroom, and its
 * running generations with its share of the free slots.  The second lets a
 * VM with uneven arrivals use engines that would otherwise be idle.
 */
int CaroLimits_Get(const CaroUpstreams *t, const char *deployment, int running,
                   int vms, CaroTime now);

#endif
