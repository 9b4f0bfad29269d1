/* Idle channels to upstreams, for reuse. */
#include "internal/caro_channel_pool.h"

#include <stdlib.h>
#include <string.h>

/* Upstreams of a deployment are a few milliseconds away; a connection
   attempt that takes longer has met a full accept queue or a dead VM. */
#define CONNECT_TIMEOUT (300 * CARO_MS)
/* Idle timeout assumed for an upstream that announces none. */
#define IDLE_TIMEOUT_DEFAULT (3 * CARO_SECOND)
/* A channel is given up this long before the upstream would close it, so
   that no request is sent on a connection that is being closed. */
#define IDLE_MARGIN (400 * CARO_MS)

typedef struct IdleChannel {
    CaroChannelPool *pool;
    struct IdleChannel *next;
    CaroHandle target;
    CaroChannel *channel;
} IdleChannel;

struct CaroChannelPool {
    struct event_base *base;
    IdleChannel *idle; /* The most recently used first. */
    int n_idle;
    int idle_max;
    uint64_t n_opened;
    CaroUpstreamPaths *paths; /* NULL: channels are direct. */
};

CaroChannelPool *
CaroChannelPool_Create(struct event_base *base, int idle_max)
{
    CaroChannelPool *p = calloc(1, sizeof(*p));
    if (p != NULL) {
        p->base = base;
        p->idle_max = idle_max;
    }
    return p;
}

/* Removes the entry from the list; the channel passes to the caller. */
static CaroChannel *
unlink_idle(CaroChannelPool *p, IdleChannel **at)
{
    IdleChannel *entry = *at;
    CaroChannel *c = entry->channel;
    *at = entry->next;
    p->n_idle--;
    free(entry);
    return c;
}

void
CaroChannelPool_Destroy(CaroChannelPool *p)
{
    if (p == NULL) {
        return;
    }
    CaroChannelPool_DropAll(p);
    free(p);
}

static void
on_closed(void *context, CaroChannel *c)
{
    CaroChannelPool *p = context;
    for (IdleChannel **at = &p->idle; *at != NULL; at = &(*at)->next) {
        if ((*at)->channel == c) {
            CaroChannel_Destroy(unlink_idle(p, at));
            return;
        }
    }
}

/* Longest time that a channel may have been idle before its next use. */
static CaroTime
idle_time_max(const CaroChannel *c, bool is_at_most_once)
{
    CaroTime announced = CaroChannel_IdleTimeout(c);
    CaroTime timeout =
        (announced > 0 ? announced : IDLE_TIMEOUT_DEFAULT) - IDLE_MARGIN;
    return is_at_most_once ? timeout / 2 : timeout;
}

CaroChannel *
CaroChannelPool_Acquire(CaroChannelPool *p, CaroHandle target,
                        const char *address, bool is_at_most_once,
                        CaroTime now)
{
    IdleChannel **at = &p->idle;
    while (*at != NULL) {
        const CaroChannel *c = (*at)->channel;
        CaroTime idle = now - CaroChannel_ParkedAt(c);
        /* The handle of a removed target may since have another target, and
           bytes or a close may have arrived that were not read yet. */
        bool is_stale = (*at)->target == target &&
                        (strcmp(CaroChannel_Address(c), address) != 0 ||
                         CaroChannel_HasUnread(c));
        if (is_stale || idle >= idle_time_max(c, false)) {
            CaroChannel_Destroy(unlink_idle(p, at));
        }
        else if ((*at)->target == target &&
                 idle < idle_time_max(c, is_at_most_once)) {
            return unlink_idle(p, at);
        }
        else {
            at = &(*at)->next;
        }
    }
    return CaroChannelPool_Open(p, target, address, now);
}

CaroChannel *
CaroChannelPool_Open(CaroChannelPool *p, CaroHandle target,
                     const char *address, CaroTime now)
{
    p->n_opened++;
    if (p->paths != NULL) {
        return CaroUpstreamPaths_Open(p->paths, target, address,
                                      CONNECT_TIMEOUT, now);
    }
    return CaroChannel_Open(p->base, address, CONNECT_TIMEOUT);
}

void
CaroChannelPool_Release(CaroChannelPool *p, CaroHandle target, CaroChannel *c,
                        CaroTime now)
{
    IdleChannel *entry = NULL;
    if (CaroChannel_IsReusable(c) && p->n_idle < p->idle_max) {
        entry = calloc(1, sizeof(*entry));
    }
    if (entry == NULL) {
        CaroChannel_Destroy(c);
        return;
    }
    entry->pool = p;
    entry->target = target;
    entry->channel = c;
    entry->next = p->idle;
    p->idle = entry;
    p->n_idle++;
    CaroChannel_Park(c, on_closed, p, now);
}

void
CaroChannelPool_Drop(CaroChannelPool *p, CaroHandle target)
{
    IdleChannel **at = &p->idle;
    while (*at != NULL) {
        if ((*at)->target == target) {
            CaroChannel_Destroy(unlink_idle(p, at));
        }
        else {
            at = &(*at)->next;
        }
    }
}

void
CaroChannelPool_DropAll(CaroChannelPool *p)
{
    while (p->idle != NULL) {
        CaroChannel_Destroy(unlink_idle(p, &p->idle));
    }
}

void
CaroChannelPool_SetPaths(CaroChannelPool *p, CaroUpstreamPaths *paths)
{
    p->paths = paths;
}

bool
CaroChannelPool_IsDirect(const CaroChannelPool *p)
{
    return p->paths == NULL ||
           CaroUpstreamPaths_State(p->paths) == CARO_LINKS_DIRECT;
}

void
CaroChannelPool_RecordHeard(CaroChannelPool *p, const CaroChannel *c,
                            CaroTime now)
{
    if (p->paths != NULL && c != NULL) {
        CaroUpstreamPaths_RecordHeard(p->paths, c, now);
    }
}

uint64_t
CaroChannelPool_CountOpened(const CaroChannelPool *p)
{
    return p->n_opened;
}

int
CaroChannelPool_CountIdle(const CaroChannelPool *p)
{
    return p->n_idle;
}
