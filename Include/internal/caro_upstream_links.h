/*
 * NAME
 *     caro_upstream_links - whether this VM reaches the upstreams itself
 *
 * Decides from the outcomes of connections whether new channels go to the
 * upstreams directly, through another VM (the gate), or nowhere.  Upstreams
 * that are down look the same from all VMs; links that are cut do not, as a
 * gate then reaches the upstreams.  Times are by CaroClock_Now.
 */
#ifndef CARO_UPSTREAM_LINKS_H
#define CARO_UPSTREAM_LINKS_H

#include "internal/caro_membership.h"

#include <gsl/gsl_rng.h>

typedef struct CaroUpstreamLinks CaroUpstreamLinks;

typedef enum {
    CARO_LINKS_DIRECT,
    CARO_LINKS_TUNNELED, /* Direct connections fail. */
    CARO_LINKS_NONE      /* Gates do so too. */
} CaroLinksState;

typedef enum {
    CARO_GATE_CONNECTED,
    CARO_GATE_FAILED, /* The upstream did not accept its connection. */
    CARO_GATE_UNABLE, /* It takes no tunnel. */
    CARO_GATE_LOST    /* It does not answer, as a VM of an earlier version. */
} CaroGateOutcome;

/* The generator is borrowed.  Returns NULL when out of memory; Destroy accepts
   NULL. */
CaroUpstreamLinks *CaroUpstreamLinks_Create(gsl_rng *rng);
void CaroUpstreamLinks_Destroy(CaroUpstreamLinks *l);

CaroLinksState CaroUpstreamLinks_State(const CaroUpstreamLinks *l);

/* Returns a word for logs and reports. */
const char *CaroLinksState_Name(CaroLinksState state);

/* A direct connection to the upstream was established, or failed.  Returns
   whether the state has changed. */
bool CaroUpstreamLinks_RecordDirect(CaroUpstreamLinks *l, CaroHandle upstream,
                                    bool is_connected, CaroTime now);

/* A tunnel through the VM was opened, or not.  Returns whether the state has
   changed. */
bool CaroUpstreamLinks_RecordGate(CaroUpstreamLinks *l, CaroHandle vm,
                                  CaroGateOutcome outcome, CaroTime now);

/* Returns whether a connection that the gate could not establish tells of the
   upstream: the last one through the gate succeeded.  A gate may be cut off
   itself and not know it yet. */
bool CaroUpstreamLinks_IsCredible(const CaroUpstreamLinks *l, CaroHandle vm);

/*
 * Returns the VM through which the next channel goes: one that worked, or any
 * usable one that has not failed in the last seconds, of this VM's failure
 * domain unless gates have just failed.  Returns CARO_NO_HANDLE when there is
 * none, or in the state NONE until a gate is due to be tried again.
 */
CaroHandle CaroUpstreamLinks_ChooseGate(CaroUpstreamLinks *l,
                                        const CaroMembership *m, CaroTime now);

/*
 * Returns whether a direct connection is to be tried now, only to see whether
 * it succeeds: while the state is not DIRECT, and when no upstream was heard
 * directly since "heard_at" although requests are in progress ("is_waiting").
 */
bool CaroUpstreamLinks_IsProbeDue(CaroUpstreamLinks *l, bool is_waiting,
                                  CaroTime heard_at, CaroTime now);

#endif
