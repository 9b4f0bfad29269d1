/* Ring buffer of controller decisions. */
#include "internal/caro_decisions.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

struct CaroDecisions {
    CaroDecision *ring;
    int size;
    int count;
    int next;
};

CaroDecisions *
CaroDecisions_Create(int size)
{
    CaroDecisions *d = calloc(1, sizeof(*d));
    if (d == NULL) {
        return NULL;
    }
    d->ring = calloc((size_t)size, sizeof(*d->ring));
    if (d->ring == NULL) {
        free(d);
        return NULL;
    }
    d->size = size;
    return d;
}

void
CaroDecisions_Destroy(CaroDecisions *d)
{
    if (d != NULL) {
        free(d->ring);
        free(d);
    }
}

void
CaroDecisions_Add(CaroDecisions *d, int64_t wall_ms, const char *part,
                  const char *subject, const char *action,
                  const char *cause_format, ...)
{
    CaroDecision *e = &d->ring[d->next];
    e->wall_ms = wall_ms;
    CARO_COPY(e->part, part);
    CARO_COPY(e->subject, subject);
    CARO_COPY(e->action, action);
    va_list args;
    va_start(args, cause_format);
    (void)vsnprintf(e->cause, sizeof(e->cause), cause_format, args);
    va_end(args);
    d->next = (d->next + 1) % d->size;
    if (d->count < d->size) {
        d->count++;
    }
}

const CaroDecision *
CaroDecisions_Get(const CaroDecisions *d, int age)
{
    if (age < 0 || age >= d->count) {
        return NULL;
    }
    int index = (d->next - 1 - age + 2 * d->size) % d->size;
    return &d->ring[index];
}
