/* Recent intervals between events and prefill times, by starts of upstreams,
   in a hash table with open addressing. */
#include "internal/caro_event_pace.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* 48 KB; a VM has streams at some dozens of engines at a time. */
enum { SLOTS = 1024, PROBES_MAX = 8 };

/* A prompt of another request slows an engine down for one to two seconds; its
   intervals are forgotten about as quickly. */
#define HALF_LIFE (1 * CARO_SECOND)
/* The pace of an engine may have changed since. */
#define INTERVAL_TTL (10 * CARO_SECOND)
/* Below this the time to connect and to decode outweighs the prefill. */
enum { PREFILL_TOKENS_MIN = 1000 };
/* Weight of a new prefill time in the moving average. */
#define PREFILL_WEIGHT 0.3
/* A prefill time counts at most this many times the average, as another VM's
   prompt that is not yet known here may have been ahead. */
#define PREFILL_OUTLIER_FACTOR 2.0

typedef struct {
    uint32_t key;     /* 0 for a free slot. */
    uint32_t count;   /* Intervals recorded. */
    CaroTime used_at; /* Last record. */
    CaroTime longest; /* As of longest_at. */
    CaroTime longest_at;
    CaroTime interval_at; /* Last interval. */
    double us_per_token;  /* 0 if unknown. */
} Slot;

struct CaroEventPace {
    Slot slots[SLOTS];
};

CaroEventPace *
CaroEventPace_Create(void)
{
    return calloc(1, sizeof(CaroEventPace));
}

void
CaroEventPace_Destroy(CaroEventPace *p)
{
    free(p);
}

/* Services have slots of their own among those of starts. */
static uint32_t
hash_service(const char *service)
{
    return XXH32(service, strlen(service), 1);
}

static uint32_t
key_of(uint32_t start_hash)
{
    return start_hash != 0 ? start_hash : 1;
}

static const Slot *
find_slot(const CaroEventPace *p, uint32_t key)
{
    for (uint32_t i = 0; i < PROBES_MAX; i++) {
        const Slot *s = &p->slots[(key + i) % SLOTS];
        if (s->key == key) {
            return s;
        }
    }
    return NULL;
}

/* Returns the slot of the start, or takes a free one or the one that was used
   longest ago. */
static Slot *
take_slot(CaroEventPace *p, uint32_t start_hash, CaroTime now)
{
    uint32_t key = key_of(start_hash);
    Slot *s = (Slot *)find_slot(p, key);
    if (s == NULL) {
        s = &p->slots[key % SLOTS];
        for (uint32_t i = 1; i < PROBES_MAX && s->key != 0; i++) {
            Slot *other = &p->slots[(key + i) % SLOTS];
            if (other->key == 0 || other->used_at < s->used_at) {
                s = other;
            }
        }
        *s = (Slot){.key = key};
    }
    s->used_at = now;
    return s;
}

static CaroTime
decayed_longest(const Slot *s, CaroTime now)
{
    if (s->longest == 0 || now - s->interval_at > INTERVAL_TTL) {
        return 0;
    }
    return (
        CaroTime)((double)s->longest *
                  exp2(-(double)(now - s->longest_at) / (double)HALF_LIFE));
}

void
CaroEventPace_RecordInterval(CaroEventPace *p, uint32_t start_hash,
                             CaroTime interval, CaroTime now)
{
    Slot *s = take_slot(p, start_hash, now);
    if (interval >= decayed_longest(s, now)) {
        s->longest = interval;
        s->longest_at = now;
    }
    s->interval_at = now;
    s->count++;
}

static void
record_prefill(Slot *s, double us_per_token)
{
    if (s->us_per_token == 0.0) {
        s->us_per_token = us_per_token;
        return;
    }
    double sample =
        fmin(us_per_token, PREFILL_OUTLIER_FACTOR * s->us_per_token);
    s->us_per_token += PREFILL_WEIGHT * (sample - s->us_per_token);
}

void
CaroEventPace_RecordPrefill(CaroEventPace *p, uint32_t start_hash,
                            const char *service, int tokens, CaroTime wait,
                            CaroTime now)
{
    if (tokens < PREFILL_TOKENS_MIN || wait <= 0) {
        return;
    }
    double sample = (double)wait / (double)tokens;
    record_prefill(take_slot(p, start_hash, now), sample);
    record_prefill(take_slot(p, hash_service(service), now), sample);
}

CaroTime
CaroEventPace_LongestInterval(const CaroEventPace *p, uint32_t start_hash,
                              CaroTime now)
{
    const Slot *s = find_slot(p, key_of(start_hash));
    return s == NULL ? 0 : decayed_longest(s, now);
}

double
CaroEventPace_PrefillTime(const CaroEventPace *p, uint32_t start_hash,
                          const char *service)
{
    const Slot *s = find_slot(p, key_of(start_hash));
    if (s == NULL || s->us_per_token == 0.0) {
        s = find_slot(p, key_of(hash_service(service)));
    }
    return s == NULL ? 0.0 : s->us_per_token;
}

uint32_t
CaroEventPace_Count(const CaroEventPace *p, uint32_t start_hash)
{
    const Slot *s = find_slot(p, key_of(start_hash));
    return s == NULL ? 0 : s->count;
}
