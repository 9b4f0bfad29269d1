/*
 * NAME
 *     caro_load_board - streams of other VMs at the upstreams
 *
 * Each VM tells the others all that it has in flight whenever that
 * changes; the board keeps the last word of each, and the sums stand in
 * the table of upstreams.
 */
#ifndef CARO_LOAD_BOARD_H
#define CARO_LOAD_BOARD_H

#include "caro_peer.h"
#include "internal/caro_targets.h"

typedef struct CaroLoadBoard CaroLoadBoard;

/* The table is borrowed. */
CaroLoadBoard *CaroLoadBoard_Create(CaroTargets *targets);
void CaroLoadBoard_Destroy(CaroLoadBoard *b);

/* Upstreams at which the sender of a message has just seen failures. */
typedef struct {
    struct {
        CaroHandle target;
        CaroTargetAlarm alarm;
    } all[CARO_LOADS_MAX];
    int n;
} CaroLoadAlarms;

/* Takes a message; an older one of the same boot is dropped. */
void CaroLoadBoard_Take(CaroLoadBoard *b, const caro_load_news *news,
                        CaroLoadAlarms *alarms, CaroTime now);

/* Forgets VMs that have not been heard of for a while. */
void CaroLoadBoard_Tick(CaroLoadBoard *b, CaroTime now);

/* What this VM has to tell; returns the count. */
int CaroLoadBoard_Fill(const CaroTargets *targets,
                       caro_target_load loads[CARO_LOADS_MAX], CaroTime now);

#endif
