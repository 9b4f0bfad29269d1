/* The heap of events of the driver. */
#include "drive.h"

#include <stdlib.h>

static bool
is_before(const Event *a, const Event *b)
{
    return a->at < b->at || (a->at == b->at && a->order < b->order);
}

void
Drive_Push(Drive *d, Event e)
{
    if (d->n_heap == d->heap_capacity) {
        d->heap_capacity = d->heap_capacity == 0 ? 4096 : 2 * d->heap_capacity;
        d->heap = realloc(d->heap, (size_t)d->heap_capacity * sizeof(Event));
        if (d->heap == NULL) {
            abort();
        }
    }
    e.order = d->order++;
    long i = d->n_heap++;
    while (i > 0 && is_before(&e, &d->heap[(i - 1) / 2])) {
        d->heap[i] = d->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    d->heap[i] = e;
}

Event
Drive_Pop(Drive *d)
{
    Event top = d->heap[0];
    Event last = d->heap[--d->n_heap];
    long i = 0;
    while (2 * i + 1 < d->n_heap) {
        long child = 2 * i + 1;
        if (child + 1 < d->n_heap &&
            is_before(&d->heap[child + 1], &d->heap[child])) {
            child++;
        }
        if (!is_before(&d->heap[child], &last)) {
            break;
        }
        d->heap[i] = d->heap[child];
        i = child;
    }
    d->heap[i] = last;
    return top;
}
