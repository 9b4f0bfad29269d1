/*
 * NAME
 *     caro_upstream_paths - opens channels to upstreams, directly or by a gate
 *
 * Follows CaroUpstreamLinks, to which it reports how connections end, and
 * tries direct connections when that asks for them.
 */
#ifndef CARO_UPSTREAM_PATHS_H
#define CARO_UPSTREAM_PATHS_H

#include "caro_peer.h"
#include "internal/caro_channel.h"
#include "internal/caro_counters.h"
#include "internal/caro_membership.h"
#include "internal/caro_targets.h"
#include "internal/caro_upstream_links.h"

typedef struct CaroUpstreamPaths CaroUpstreamPaths;

/* All are borrowed.  A gate listens at its peer port plus "port_offset". */
typedef struct {
    struct event_base *base;
    const CaroMembership *membership;
    CaroTargets *targets;
    CaroCounters *counters;
    gsl_rng *rng;
    const char *vm;
    uint64_t boot_id;
    int port_offset;
} CaroUpstreamPathsDeps;

/* Returns NULL when out of memory.  Destroy, Tick and State accept NULL, for a
   VM whose channels are all direct. */
CaroUpstreamPaths *CaroUpstreamPaths_Create(const CaroUpstreamPathsDeps *deps);
void CaroUpstreamPaths_Destroy(CaroUpstreamPaths *p);

/* Opens a channel to the upstream.  Returns NULL when there is no way to it
   now, or without memory or a free descriptor. */
CaroChannel *CaroUpstreamPaths_Open(CaroUpstreamPaths *p, CaroHandle upstream,
                                    const char *address,
                                    CaroTime connect_timeout, CaroTime now);

/* This VM has connected to an upstream for another one, or failed to. */
void CaroUpstreamPaths_RecordDirect(CaroUpstreamPaths *p, CaroHandle upstream,
                                    bool is_connected);

/* Records that bytes of an upstream arrived on a channel. */
void CaroUpstreamPaths_RecordHeard(CaroUpstreamPaths *p,
                                   const CaroChannel *channel, CaroTime now);

/* Tries a direct connection if one is due; "n_waiting" is the number of
   requests in progress.  Returns whether the state has changed since the last
   call; idle channels are then out of date. */
bool CaroUpstreamPaths_Tick(CaroUpstreamPaths *p, int n_waiting, CaroTime now);

/* Names the tunnels in use through a gate. */
typedef struct {
    CaroHandle gate;
    caro_tunnel_lease lease;
    u_int tunnels[CARO_TUNNELS_MAX];
} CaroTunnelLease;

/* Fills a lease that is due, except the sender, and returns true; to be called
   until it returns false.  Accepts NULL. */
bool CaroUpstreamPaths_CollectLease(CaroUpstreamPaths *p, CaroTunnelLease *out,
                                    CaroTime now);

CaroLinksState CaroUpstreamPaths_State(const CaroUpstreamPaths *p);

#endif
