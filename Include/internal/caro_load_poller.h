/*
 * NAME
 *     caro_load_poller - load reports of upstreams
 *
 * Requests load reports from upstreams that send no responses: an idle
 * upstream is polled at intervals, and a failed one is probed until it
 * responds.
 */
#ifndef CARO_LOAD_POLLER_H
#define CARO_LOAD_POLLER_H

#include "internal/caro_common.h"
#include "internal/caro_engine.h"

typedef struct CaroLoadPoller CaroLoadPoller;

/* Returns NULL when out of memory. */
CaroLoadPoller *CaroLoadPoller_Create(const CaroCommon *common);
void CaroLoadPoller_Destroy(CaroLoadPoller *p);

/* Sends the poll or probe that is due; to be called several times a
   second. */
void CaroLoadPoller_Tick(CaroLoadPoller *p, CaroTime now);

/* Records a load report that an upstream sent with a response. */
void CaroLoadPoller_RecordLoad(CaroLoadPoller *p, CaroHandle h,
                               const CaroEngineLoad *load, CaroTime now);

#endif
