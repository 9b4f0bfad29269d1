/* Event counters of a process. */
#include "internal/caro_counters.h"

#include <assert.h>

static const char *const names[CARO_COUNTERS] = {
#define X(id, name) name,
    CARO_COUNTER_LIST(X)
#undef X
};

void
CaroCounters_Add(CaroCounters *c, CaroCounter id, uint64_t n)
{
    assert(id >= 0 && id < CARO_COUNTERS);
    c->values[id] += n;
}

const char *
CaroCounters_Name(CaroCounter id)
{
    assert(id >= 0 && id < CARO_COUNTERS);
    return names[id];
}
