/*
 * NAME
 *     caro_peer_loads - load that other VMs put on the targets
 *
 * Each VM sends its peers a load report with all of its requests in flight
 * whenever they change.  The table keeps the last report of each peer and
 * writes their sums to the table of targets.
 */
#ifndef CARO_PEER_LOADS_H
#define CARO_PEER_LOADS_H

#include "caro_peer.h"
#include "internal/caro_targets.h"

typedef struct CaroPeerLoads CaroPeerLoads;

/* Creates an empty table, or returns NULL.  "targets" is borrowed and must
   outlive it.  Destroy accepts NULL. */
CaroPeerLoads *CaroPeerLoads_Create(CaroTargets *targets);
void CaroPeerLoads_Destroy(CaroPeerLoads *b);

/* Targets at which the sender of a report has recently seen failures, and
   those that are known to leave since this report. */
typedef struct {
    struct {
        CaroHandle target;
        CaroTargetFailure failure;
    } all[CARO_LOADS_MAX];
    int n;
    CaroHandle leaving[CARO_LOADS_MAX];
    int n_leaving;
} CaroTargetFailures;

/*
 * Replaces the sender's previous report and fills *failures.  A report that
 * is older than the stored one of the same process start is ignored.
 */
void CaroPeerLoads_Apply(CaroPeerLoads *b, const caro_load_report *report,
                         CaroTargetFailures *failures, CaroTime now);

/* Removes the reports of peers that have stopped sending. */
void CaroPeerLoads_Tick(CaroPeerLoads *b, CaroTime now);

/* Fills "loads" with the load of this VM for its next report, and with what it
   lately read of targets that leave.  Returns the number of entries. */
int CaroPeerLoads_Collect(CaroTargets *targets,
                          caro_target_load loads[CARO_LOADS_MAX],
                          CaroTime now);

#endif
