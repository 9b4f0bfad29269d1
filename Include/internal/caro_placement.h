/*
 * NAME
 *     caro_placement - the upstream for a request, and for a copy of it
 *
 * Answers the load of many VMs that place from stale reports: own counts
 * go before reports, a random part keeps VMs from choosing alike, and an
 * upstream of another failure domain is taken only when it has more room
 * than the crossing costs.
 */
#ifndef CARO_PLACEMENT_H
#define CARO_PLACEMENT_H

#include "internal/caro_targets.h"

#include <gsl/gsl_rng.h>

enum { CARO_TRIED_MAX = 8 };

typedef struct {
    const char *service;
    const char *version;   /* NULL for any. */
    bool excludes_version; /* Any but that one. */
    const char *domain;    /* Of this VM. */
    bool is_stream;
    CaroHandle tried[CARO_TRIED_MAX]; /* Not to be taken again. */
    int n_tried;
    const char *failed_domain; /* Where an upstream was lost, or NULL. */
} CaroPlacementQuery;

/* Returns CARO_NO_HANDLE when the service has no upstream to take. */
CaroHandle CaroPlacement_Choose(const CaroTargets *t,
                                const CaroPlacementQuery *q, gsl_rng *rng,
                                CaroTime now);

/* The upstream, outside the domain of "runs_at", that keeps a copy. */
CaroHandle CaroPlacement_ChooseKvCopy(const CaroTargets *t, CaroHandle runs_at,
                                      gsl_rng *rng, CaroTime now);

#endif
