/*
 * NAME
 *     caro_channel_pool - kept channels to upstreams
 */
#ifndef CARO_CHANNEL_POOL_H
#define CARO_CHANNEL_POOL_H

#include "internal/caro_channel.h"
#include "internal/caro_targets.h"

typedef struct CaroChannelPool CaroChannelPool;

CaroChannelPool *CaroChannelPool_Create(struct event_base *base, int most);
void CaroChannelPool_Destroy(CaroChannelPool *p);

/*
 * A kept channel to the target, or a new one to the address.  A channel
 * for a request that must not run twice is taken only while it is young,
 * because the upstream may be closing an older one.  NULL when no channel
 * can be opened.
 */
CaroChannel *CaroChannelPool_Acquire(CaroChannelPool *p, CaroHandle target,
                                     const char *address, bool runs_once,
                                     CaroTime now);

/* Keeps the channel if it may carry another request, else closes it. */
void CaroChannelPool_Release(CaroChannelPool *p, CaroHandle target,
                             CaroChannel *c, CaroTime now);

/* Closes the kept channels to a target that is gone. */
void CaroChannelPool_Drop(CaroChannelPool *p, CaroHandle target);

/* Channels opened so far, and kept now. */
uint64_t CaroChannelPool_CountOpened(const CaroChannelPool *p);
int CaroChannelPool_CountIdle(const CaroChannelPool *p);

#endif
