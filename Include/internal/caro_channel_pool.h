/*
 * NAME
 *     caro_channel_pool - idle channels to upstreams, for reuse
 */
#ifndef CARO_CHANNEL_POOL_H
#define CARO_CHANNEL_POOL_H

#include "internal/caro_channel.h"
#include "internal/caro_targets.h"
#include "internal/caro_upstream_paths.h"

typedef struct CaroChannelPool CaroChannelPool;

/* Keeps at most "idle_max" idle channels.  Returns NULL without memory. */
CaroChannelPool *CaroChannelPool_Create(struct event_base *base, int idle_max);
void CaroChannelPool_Destroy(CaroChannelPool *p);

/* New channels are opened by these paths, which are borrowed.  Without them,
   all are direct. */
void CaroChannelPool_SetPaths(CaroChannelPool *p, CaroUpstreamPaths *paths);

/* Whether new channels are direct. */
bool CaroChannelPool_IsDirect(const CaroChannelPool *p);

/* Bytes of an upstream arrived on a channel. */
void CaroChannelPool_RecordHeard(CaroChannelPool *p, const CaroChannel *c,
                                 CaroTime now);

/*
 * Returns an idle channel to the target, or opens one to the address.  A
 * request that must not run twice ("is_at_most_once") is given only a
 * channel that has been idle for a short time, because the upstream may be
 * closing an older one.  The channel is the caller's, until it is released
 * or destroyed.  Returns NULL when no channel can be opened.
 */
CaroChannel *CaroChannelPool_Acquire(CaroChannelPool *p, CaroHandle target,
                                     const char *address, bool is_at_most_once,
                                     CaroTime now);

/* Opens a channel to the target, also where an idle one is kept.  Returns NULL
   when none can be opened. */
CaroChannel *CaroChannelPool_Open(CaroChannelPool *p, CaroHandle target,
                                  const char *address, CaroTime now);

/* Keeps the channel if it is reusable and there is room, else destroys it. */
void CaroChannelPool_Release(CaroChannelPool *p, CaroHandle target,
                             CaroChannel *c, CaroTime now);

/* Closes the idle channels to a target that is gone. */
void CaroChannelPool_Drop(CaroChannelPool *p, CaroHandle target);

/* Closes all idle channels, as the way to the upstreams has changed. */
void CaroChannelPool_DropAll(CaroChannelPool *p);

/* Channels opened so far, and channels that are idle now. */
uint64_t CaroChannelPool_CountOpened(const CaroChannelPool *p);
int CaroChannelPool_CountIdle(const CaroChannelPool *p);

#endif
