/*
 * NAME
 *     caro_upstream_links - whether this VM reaches the upstreams itself
 *
 * Decides from the outcomes of connections whether new channels go to the
 * upstreams directly, through another VM (the gate), or nowhere.  When
 * a connection has failed, one is tried to an upstream of each service; the
 * links are cut when all of these fail too, and three upstreams in a row were
 * not reached.  So upstreams of one service that are all down change nothing.
 * Times are by CaroClock_Now.
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

/* Connections to "n" upstreams are tried, one of each service; their outcomes
   follow by RecordProbe. */
void CaroUpstreamLinks_BeginProbes(CaroUpstreamLinks *l, int n);

/* Likewise of a connection that was made to see whether it succeeds. */
bool CaroUpstreamLinks_RecordProbe(CaroUpstreamLinks *l, CaroHandle upstream,
                                   bool is_connected, CaroTime now);

/* Returns whether a direct connection succeeded in the last seconds, so that
   it is worth another one when no gate is left. */
bool CaroUpstreamLinks_IsDirectPossible(const CaroUpstreamLinks *l,
                                        CaroTime now);

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
 * Returns whether direct connections are to be tried now, only to see whether
 * they succeed: while the state is not DIRECT, after connections that failed,
 * and when no upstream was heard directly since "heard_at" although requests
 * are in progress ("is_waiting").
 */
bool CaroUpstreamLinks_IsProbeDue(CaroUpstreamLinks *l, bool is_waiting,
                                  CaroTime heard_at, CaroTime now);

#endif
