/*
 * NAME
 *     caro_config_freshness - when the configuration was last confirmed to
 *     be the newest
 *
 * Handles a VM that is cut off from the store: it stops serving requests
 * with API keys once it might miss the revocation of a key.  A confirmation is
 * dated by the sending of the call that gave it, and a peer passes its
 * confirmation on with its age.  Times are those of a clock that also runs
 * while the machine is suspended.
 */
#ifndef CARO_CONFIG_FRESHNESS_H
#define CARO_CONFIG_FRESHNESS_H

#include "internal/caro_revision.h"

typedef struct {
    CaroRevision revision; /* Of the configuration; 0 before the first. */
    CaroTime confirmed_at; /* Last confirmation; 0 if there was none. */
} CaroConfigFreshness;

/* Records that a call sent at "sent" found the revision to be the newest. */
void CaroConfigFreshness_Record(CaroConfigFreshness *f, CaroRevision revision,
                                CaroTime sent);

/*
 * Records the confirmation that a peer reported.  "age" is its age at the
 * peer, -1 for none; "asked" is when the peer was asked.
 */
void CaroConfigFreshness_RecordPeer(CaroConfigFreshness *f,
                                    CaroRevision revision, CaroTime age,
                                    CaroTime asked);

/*
 * Tells whether requests with API keys may be served.  "revocation_max" is the
 * longest time that a revoked key may still be served.
 */
bool CaroConfigFreshness_IsFresh(const CaroConfigFreshness *f,
                                 CaroTime revocation_max, CaroTime now);

/* Returns the age of the confirmation; -1 if there is none. */
CaroTime CaroConfigFreshness_Age(const CaroConfigFreshness *f, CaroTime now);

#endif
