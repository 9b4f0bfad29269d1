/*
 * NAME
 *     caro_config_freshness - how long ago the configuration was proven the
 * newest
 *
 * Answers cuts from the store: a VM that cannot know of a revoked key in
 * time serves no keys.  A proof is dated by the sending of the call that
 * showed it; a peer hands its proof on with its age.  Times are those of
 * a clock that counts suspensions.
 */
#ifndef CARO_CONFIG_FRESHNESS_H
#define CARO_CONFIG_FRESHNESS_H

#include "internal/caro_types.h"

typedef struct {
    int64_t revision; /* Of the configuration; 0 before the first. */
    CaroTime at;      /* When it was proven; 0 never. */
} CaroConfigFreshness;

/* A call sent at "sent" showed this revision to be the newest. */
void CaroConfigFreshness_Record(CaroConfigFreshness *p, int64_t revision,
                                CaroTime sent);

/* A peer, asked at "asked", says that it holds a proof of that age. */
void CaroConfigFreshness_RecordPeer(CaroConfigFreshness *p, int64_t revision,
                                    CaroTime age, CaroTime asked);

/* "bound" is the longest time that a revoked key may still be served. */
bool CaroConfigFreshness_IsFresh(const CaroConfigFreshness *p, CaroTime bound,
                                 CaroTime now);

/* Age for a peer; -1 without a proof. */
CaroTime CaroConfigFreshness_Age(const CaroConfigFreshness *p, CaroTime now);

#endif
