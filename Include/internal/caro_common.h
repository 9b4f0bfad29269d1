/*
 * NAME
 *     caro_common - objects shared by the parts of a node
 *
 * The objects do not depend on any part.  The node creates and owns them;
 * each part keeps a copy of this structure, whose objects outlive it.
 */
#ifndef CARO_COMMON_H
#define CARO_COMMON_H

#include "caro_settings.h"
#include "internal/caro_counters.h"
#include "internal/caro_decisions.h"
#include "internal/caro_membership.h"
#include "internal/caro_rpc.h"
#include "internal/caro_upstreams.h"

#include <event2/event.h>

typedef struct {
    struct event_base *base;
    const CaroSettings *settings;
    uint64_t boot_id; /* Random id of this process start. */
    uint64_t *rng;    /* State of CaroRandom_Next. */
    CaroRpc *rpc;
    CaroMembership *membership;
    CaroUpstreams *upstreams;
    CaroCounters *counters;
    CaroDecisions *decisions;
} CaroCommon;

#endif
