/*
 * NAME
 *     caro_limits - how many generations a VM may run at once
 */
#ifndef CARO_LIMITS_H
#define CARO_LIMITS_H

#include "internal/caro_upstreams.h"

/*
 * The limit of a VM for a deployment, of which it runs "running" now and
 * which "vms" usable VMs share: its share of the capacity and some more,
 * or what it runs and its share of what is free, whichever is greater, so
 * that uneven arrivals do not leave engines idle.
 */
int CaroLimits_Get(const CaroUpstreams *t, const char *deployment, int running,
                   int vms, CaroTime now);

#endif
