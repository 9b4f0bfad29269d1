/* Pending events of the simulator in a binary heap. */
#include "simulation.h"

#include <stdlib.h>

static bool
is_before(const Event *a, const Event *b)
{
    return a->at < b->at || (a->at == b->at && a->sequence < b->sequence);
}

void
Simulation_PushEvent(Simulation *sim, Event e)
{
    if (sim->heap_size == sim->heap_capacity) {
        sim->heap_capacity =
            sim->heap_capacity == 0 ? 4096 : 2 * sim->heap_capacity;
        sim->heap =
            realloc(sim->heap, (size_t)sim->heap_capacity * sizeof(Event));
        if (sim->heap == NULL) {
            abort();
        }
    }
    e.sequence = sim->sequence++;
    long i = sim->heap_size++;
    while (i > 0 && is_before(&e, &sim->heap[(i - 1) / 2])) {
        sim->heap[i] = sim->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    sim->heap[i] = e;
}

Event
Simulation_PopEvent(Simulation *sim)
{
    Event top = sim->heap[0];
    Event last = sim->heap[--sim->heap_size];
    long i = 0;
    while (2 * i + 1 < sim->heap_size) {
        long child = 2 * i + 1;
        if (child + 1 < sim->heap_size &&
            is_before(&sim->heap[child + 1], &sim->heap[child])) {
            child++;
        }
        if (!is_before(&sim->heap[child], &last)) {
            break;
        }
        sim->heap[i] = sim->heap[child];
        i = child;
    }
    sim->heap[i] = last;
    return top;
}
