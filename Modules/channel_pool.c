/* Kept channels to upstreams. */
#include "internal/caro_channel_pool.h"

#include <stdlib.h>

/* Upstreams of one deployment are some milliseconds away; a connection
   that takes longer met a full queue or a dead VM. */
#define CONNECT_TIMEOUT (300 * CARO_MS)
/* Of an upstream that does not say how long it keeps idle channels. */
#define IDLE_DEFAULT (3 * CARO_SECOND)
/* For the upstream's close to arrive before we send. */
#define IDLE_MARGIN (400 * CARO_MS)

typedef struct Kept {
    CaroChannelPool *pool;
    struct Kept *next;
    CaroHandle target;
    CaroChannel *channel;
} Kept;

struct CaroChannelPool {
    struct event_base *base;
    Kept *kept; /* The youngest first. */
    int n;
    int most;
    uint64_t opened;
};

CaroChannelPool *
CaroChannelPool_Create(struct event_base *base, int most)
{
    CaroChannelPool *p = calloc(1, sizeof(*p));
    if (p != NULL) {
        p->base = base;
        p->most = most;
    }
    return p;
}

/* Takes the entry out of the list; its channel is the caller's. */
static CaroChannel *
unlink_kept(CaroChannelPool *p, Kept **at)
{
    Kept *k = *at;
    CaroChannel *c = k->channel;
    *at = k->next;
    p->n--;
    free(k);
    return c;
}

void
CaroChannelPool_Destroy(CaroChannelPool *p)
{
    if (p == NULL) {
        return;
    }
    while (p->kept != NULL) {
        CaroChannel_Destroy(unlink_kept(p, &p->kept));
    }
    free(p);
}

static void
on_closed(void *context, CaroChannel *c)
{
    CaroChannelPool *p = context;
    for (Kept **at = &p->kept; *at != NULL; at = &(*at)->next) {
        if ((*at)->channel == c) {
            CaroChannel_Destroy(unlink_kept(p, at));
            return;
        }
    }
}

/* How long a kept channel may have been idle for the next request. */
static CaroTime
idle_most(const CaroChannel *c, bool runs_once)
{
    CaroTime told = CaroChannel_IdleLimit(c);
    CaroTime most = (told > 0 ? told : IDLE_DEFAULT) - IDLE_MARGIN;
    return runs_once ? most / 2 : most;
}

CaroChannel *
CaroChannelPool_Acquire(CaroChannelPool *p, CaroHandle target,
                        const char *address, bool runs_once, CaroTime now)
{
    Kept **at = &p->kept;
    while (*at != NULL) {
        const CaroChannel *c = (*at)->channel;
        CaroTime idle = now - CaroChannel_ParkedAt(c);
        if (idle >= idle_most(c, false)) {
            CaroChannel_Destroy(unlink_kept(p, at));
        }
        else if ((*at)->target == target && idle < idle_most(c, runs_once)) {
            return unlink_kept(p, at);
        }
        else {
            at = &(*at)->next;
        }
    }
    p->opened++;
    return CaroChannel_Open(p->base, address, CONNECT_TIMEOUT);
}

void
CaroChannelPool_Release(CaroChannelPool *p, CaroHandle target, CaroChannel *c,
                        CaroTime now)
{
    Kept *k = NULL;
    if (CaroChannel_IsReusable(c) && p->n < p->most) {
        k = calloc(1, sizeof(*k));
    }
    if (k == NULL) {
        CaroChannel_Destroy(c);
        return;
    }
    k->pool = p;
    k->target = target;
    k->channel = c;
    k->next = p->kept;
    p->kept = k;
    p->n++;
    CaroChannel_Park(c, on_closed, p, now);
}

void
CaroChannelPool_Drop(CaroChannelPool *p, CaroHandle target)
{
    Kept **at = &p->kept;
    while (*at != NULL) {
        if ((*at)->target == target) {
            CaroChannel_Destroy(unlink_kept(p, at));
        }
        else {
            at = &(*at)->next;
        }
    }
}

uint64_t
CaroChannelPool_CountOpened(const CaroChannelPool *p)
{
    return p->opened;
}

int
CaroChannelPool_CountIdle(const CaroChannelPool *p)
{
    return p->n;
}
