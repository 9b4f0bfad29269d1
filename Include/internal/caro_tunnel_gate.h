/*
 * NAME
 *     caro_tunnel_gate - connections to upstreams on behalf of other VMs
 *
 * A gate accepts a connection of another VM, which names one start of an
 * upstream, connects to it and passes bytes both ways (caro_peer.x,
 * caro_tunnel_hello).  It takes tunnels only from members, and only to
 * registered upstreams, so that no tunnel leads to another gate.
 */
#ifndef CARO_TUNNEL_GATE_H
#define CARO_TUNNEL_GATE_H

#include "caro_error.h"
#include "caro_peer.h"
#include "internal/caro_counters.h"
#include "internal/caro_membership.h"
#include "internal/caro_targets.h"

#include <event2/event.h>

typedef struct CaroTunnelGate CaroTunnelGate;

/* All are borrowed. */
typedef struct {
    struct event_base *base;
    const CaroMembership *membership;
    const CaroTargets *targets;
    CaroCounters *counters;
    uint64_t boot_id;
    int tunnels_max;
    /* Whether this VM reaches the upstreams itself and does not stop. */
    bool (*is_able)(void *context);
    void (*on_connection)(void *context, CaroHandle upstream,
                          bool is_connected);
    void *context;
} CaroTunnelGateDeps;

/* Listens at "ip:port".  Returns NULL with *err filled when out of memory or
   the address cannot be bound. */
CaroTunnelGate *CaroTunnelGate_Create(const char *address,
                                      const CaroTunnelGateDeps *deps,
                                      CaroError *err);
void CaroTunnelGate_Destroy(CaroTunnelGate *g);

/* A VM names its tunnels in use: others of it are ended. */
void CaroTunnelGate_ApplyLease(CaroTunnelGate *g,
                               const caro_tunnel_lease *lease, CaroTime now);

/* Ends the tunnels of VMs that were not heard for some time; accepts NULL. */
void CaroTunnelGate_Tick(CaroTunnelGate *g, CaroTime now);

/* Returns the number of tunnels that are open; 0 for NULL. */
int CaroTunnelGate_Count(const CaroTunnelGate *g);

#endif
