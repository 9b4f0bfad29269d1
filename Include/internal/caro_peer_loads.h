/*
 * NAME
 *     caro_peer_loads - streams of other VMs at the upstreams
 *
 * Each VM tells the others all that it has in flight whenever that
 * changes; the board keeps the last word of each, and the sums stand in
 * the table of upstreams.
 */
#ifndef CARO_PEER_LOADS_H
#define CARO_PEER_LOADS_H

#include "caro_peer.h"
#include "internal/caro_targets.h"

typedef struct CaroPeerLoads CaroPeerLoads;

/* The table is borrowed. */
CaroPeerLoads *CaroPeerLoads_Create(CaroTargets *targets);
void CaroPeerLoads_Destroy(CaroPeerLoads *b);

/* Upstreams at which the sender of a message has just seen failures. */
typedef struct {
    struct {
        CaroHandle target;
        CaroTargetFailure alarm;
    } all[CARO_LOADS_MAX];
    int n;
} CaroTargetFailures;

/* Takes a message; an older one of the same boot_id is dropped. */
void CaroPeerLoads_Apply(CaroPeerLoads *b, const caro_load_report *news,
                         CaroTargetFailures *alarms, CaroTime now);

/* Forgets VMs that have not been heard of for a while. */
void CaroPeerLoads_Tick(CaroPeerLoads *b, CaroTime now);

/* What this VM has to tell; returns the count. */
int CaroPeerLoads_Collect(const CaroTargets *targets,
                          caro_target_load loads[CARO_LOADS_MAX],
                          CaroTime now);

#endif
