/*
 * NAME
 *     caro_placement - choice of the target for a request or a KV copy
 *
 * Many VMs choose targets from load reports that are out of date.  A VM
 * therefore gives its own counts precedence over reports, and a random term
 * keeps VMs from all choosing the same target.  A target of another failure
 * domain is chosen only when the difference in load exceeds the cost of
 * crossing domains.
 */
#ifndef CARO_PLACEMENT_H
#define CARO_PLACEMENT_H

#include "internal/caro_targets.h"

#include <gsl/gsl_rng.h>

enum { CARO_TRIED_MAX = 8 };

typedef struct {
    const char *service;
    const char *version;   /* NULL for any. */
    bool excludes_version; /* Any version but "version". */
    const char *domain;    /* Failure domain of this VM. */
    bool is_stream;
    CaroHandle tried[CARO_TRIED_MAX]; /* Targets to exclude. */
    int n_tried;
    const char *failed_domain; /* Domain of a failed attempt, or NULL. */
} CaroPlacementQuery;

/* Tells whether a target of the service is left to try that is neither avoided
   nor full. */
bool CaroPlacement_HasUsable(const CaroTargets *t, const CaroPlacementQuery *q,
                             CaroTime now);

/* Tells whether a target of the service is full. */
bool CaroPlacement_HasFull(const CaroTargets *t, const CaroPlacementQuery *q,
                           CaroTime now);

/* Returns when the first target of the service accepts requests again if all
   of them want none now, else 0. */
CaroTime CaroPlacement_AvailableAt(const CaroTargets *t,
                                   const CaroPlacementQuery *q, CaroTime now);

/*
 * Returns CARO_NO_HANDLE when no target of the service is left to try, apart
 * from full ones and those that want no requests.  A target of which a
 * doubtful notice says that it leaves is the last choice.
 */
CaroHandle CaroPlacement_Choose(const CaroTargets *t,
                                const CaroPlacementQuery *q, gsl_rng *rng,
                                CaroTime now);

/*
 * Returns the target that keeps a KV copy of a stream running at "source":
 * one of the same service and version in another failure domain, or
 * CARO_NO_HANDLE.
 */
CaroHandle CaroPlacement_ChooseKvCopy(const CaroTargets *t, CaroHandle source,
                                      gsl_rng *rng, CaroTime now);

#endif
