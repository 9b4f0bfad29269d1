/*
 * NAME
 *     caro_load_poller - load reports of upstreams
 *
 * Answers upstreams of which nothing is heard: one that has been silent
 * for a while is polled, one that failed is probed until it is back.
 */
#ifndef CARO_LOAD_POLLER_H
#define CARO_LOAD_POLLER_H

#include "internal/caro_common.h"
#include "internal/caro_engine.h"

typedef struct CaroLoadPoller CaroLoadPoller;

CaroLoadPoller *CaroLoadPoller_Create(const CaroCommon *common);
void CaroLoadPoller_Destroy(CaroLoadPoller *p);

void CaroLoadPoller_Tick(CaroLoadPoller *p, CaroTime now);

/* An upstream told its load beside an answer. */
void CaroLoadPoller_RecordLoad(CaroLoadPoller *p, CaroHandle h,
                               const CaroEngineLoad *load, CaroTime now);

#endif
