/* Moving averages of response times, in a hash table with open addressing. */
#include "internal/caro_usual_times.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

enum { SLOTS = 256, PROBES_MAX = 8 };

/* Bad versions respond several times slower; random variation stays below the
   factor. */
#define SLOW_FACTOR 2.5
/* Weight of a new sample in the moving average, after the first ones. */
#define WEIGHT_MIN 0.1
/* A sample counts at most this many times the average. */
#define OUTLIER_FACTOR 3.0

typedef struct {
    uint64_t key;    /* 0 for a free slot. */
    double usual_us; /* For each unit of work. */
    int n;           /* Samples, until the weight is WEIGHT_MIN. */
} Slot;

struct CaroUsualTimes {
    Slot slots[SLOTS];
};

CaroUsualTimes *
CaroUsualTimes_Create(void)
{
    return calloc(1, sizeof(CaroUsualTimes));
}

void
CaroUsualTimes_Destroy(CaroUsualTimes *t)
{
    free(t);
}

/* The route is NULL for all routes of the service. */
static uint64_t
make_key(CaroMeasure measure, const char *service, const char *route)
{
    uint64_t key = XXH64(service, strlen(service), (XXH64_hash_t)measure);
    if (route != NULL) {
        key = XXH64(route, strlen(route), key);
    }
    return key != 0 ? key : 1;
}

static const Slot *
find_slot(const CaroUsualTimes *t, uint64_t key)
{
    for (int i = 0; i < PROBES_MAX; i++) {
        const Slot *s = &t->slots[(key + (uint64_t)i) % SLOTS];
        if (s->key == key) {
            return s;
        }
    }
    return NULL;
}

/* Returns the slot of the key, or takes a free one or that of another key. */
static Slot *
take_slot(CaroUsualTimes *t, uint64_t key)
{
    Slot *s = (Slot *)find_slot(t, key);
    for (int i = 0; i < PROBES_MAX && s == NULL; i++) {
        Slot *candidate = &t->slots[(key + (uint64_t)i) % SLOTS];
        s = candidate->key == 0 ? candidate : NULL;
    }
    s = s != NULL ? s : &t->slots[key % SLOTS];
    if (s->key != key) {
        *s = (Slot){.key = key};
    }
    return s;
}

static void
add_sample(Slot *s, double value)
{
    if (s->n > 0 && value > OUTLIER_FACTOR * s->usual_us) {
        value = OUTLIER_FACTOR * s->usual_us;
    }
    double weight = 1.0 / (s->n + 1.0);
    if (weight < WEIGHT_MIN) {
        weight = WEIGHT_MIN;
    }
    else {
        s->n++;
    }
    s->usual_us += weight * (value - s->usual_us);
}

void
CaroUsualTimes_Add(CaroUsualTimes *t, CaroMeasure measure,
                   const CaroWork *work, CaroTime duration)
{
    double units = measure == CARO_MEASURE_WAIT
                       ? (double)work->prompt_tokens + work->tokens_ahead
                       : 1.0;
    double value = (double)duration / units;
    add_sample(take_slot(t, make_key(measure, work->service, work->route)),
               value);
    add_sample(take_slot(t, make_key(measure, work->service, NULL)), value);
}

CaroTime
CaroUsualTimes_Limit(const CaroUsualTimes *t, CaroMeasure measure,
                     const CaroWork *work)
{
    const Slot *s =
        find_slot(t, make_key(measure, work->service, work->route));
    if (s == NULL) {
        s = find_slot(t, make_key(measure, work->service, NULL));
    }
    if (s == NULL) {
        return 0;
    }
    /* Prompts ahead may have been read in part already, so that their time
       is an upper bound and needs no factor. */
    double units = measure == CARO_MEASURE_WAIT
                       ? SLOW_FACTOR * work->prompt_tokens + work->tokens_ahead
                       : SLOW_FACTOR;
    return (CaroTime)(units * s->usual_us);
}
