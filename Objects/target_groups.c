/* The targets of each service and failure domain. */
#include "internal/caro_target_groups.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ROOM_MIN = 16 };

/* A member that is avoided after a failure. */
typedef struct {
    CaroHandle member;
    CaroTime at;
    CaroTime until;
} Failure;

typedef struct {
    char service[CARO_NAME_SIZE];
    char domain[CARO_NAME_SIZE];
    CaroHandle *members;
    int n;
    int capacity;
    Failure *failures;
    int n_failures;
    int failures_capacity;
    /* The last result of FailureOfRank, for which rank, and when the first
       failure that it counts ends; a rank of 0 marks it as out of date. */
    CaroTime ranked_at;
    int rank;
    CaroTime ranked_until;
} Group;

struct CaroTargetGroups {
    Group *all;
    int n;
    int capacity;
};

CaroTargetGroups *
CaroTargetGroups_Create(void)
{
    return calloc(1, sizeof(CaroTargetGroups));
}

void
CaroTargetGroups_Destroy(CaroTargetGroups *g)
{
    if (g == NULL) {
        return;
    }
    for (int i = 0; i < g->n; i++) {
        free(g->all[i].members);
        free(g->all[i].failures);
    }
    free(g->all);
    free(g);
}

/* Makes room for one more element of an array; returns false without memory.
 */
static bool
reserve(void **array, int n, int *capacity, size_t size)
{
    if (n < *capacity) {
        return true;
    }
    int larger = *capacity == 0 ? ROOM_MIN : *capacity * 2;
    void *grown = realloc(*array, (size_t)larger * size);
    if (grown == NULL) {
        return false;
    }
    *array = grown;
    *capacity = larger;
    return true;
}

/* Returns the group, in place of an empty one if it is new, or -1. */
static int
find_or_create(CaroTargetGroups *g, const char *service, const char *domain)
{
    int at = g->n;
    for (int i = 0; i < g->n; i++) {
        const Group *group = &g->all[i];
        if (group->n > 0 && strcmp(group->service, service) == 0 &&
            strcmp(group->domain, domain) == 0) {
            return i;
        }
        if (group->n == 0 && at == g->n) {
            at = i;
        }
    }
    if (at == g->n) {
        if (!reserve((void **)&g->all, g->n, &g->capacity, sizeof(Group))) {
            return CARO_NO_HANDLE;
        }
        memset(&g->all[g->n++], 0, sizeof(Group));
    }
    Group *group = &g->all[at];
    CARO_COPY(group->service, service);
    CARO_COPY(group->domain, domain);
    group->n_failures = 0;
    group->rank = 0;
    return at;
}

int
CaroTargetGroups_Add(CaroTargetGroups *g, const char *service,
                     const char *domain, CaroHandle member)
{
    int at = find_or_create(g, service, domain);
    if (at == CARO_NO_HANDLE) {
        return at;
    }
    Group *group = &g->all[at];
    if (!reserve((void **)&group->members, group->n, &group->capacity,
                 sizeof(CaroHandle))) {
        return CARO_NO_HANDLE;
    }
    group->members[group->n++] = member;
    return at;
}

void
CaroTargetGroups_Remove(CaroTargetGroups *g, int group, CaroHandle member)
{
    Group *of = &g->all[group];
    CaroTargetGroups_ClearFailure(g, group, member);
    for (int i = 0; i < of->n; i++) {
        if (of->members[i] == member) {
            of->members[i] = of->members[--of->n];
            return;
        }
    }
    assert(false);
}

int
CaroTargetGroups_Count(const CaroTargetGroups *g)
{
    return g->n;
}

CaroTargetGroup
CaroTargetGroups_Get(const CaroTargetGroups *g, int group)
{
    const Group *of = &g->all[group];
    return (CaroTargetGroup){.service = of->service,
                             .domain = of->domain,
                             .members = of->members,
                             .n = of->n};
}

int
CaroTargetGroups_CountService(const CaroTargetGroups *g, const char *service)
{
    int n = 0;
    for (int i = 0; i < g->n; i++) {
        if (strcmp(g->all[i].service, service) == 0) {
            n += g->all[i].n;
        }
    }
    return n;
}

CaroHandle
CaroTargetGroups_GetFromLargest(const CaroTargetGroups *g)
{
    const Group *largest = NULL;
    int most = 0;
    for (int i = 0; i < g->n; i++) {
        int n = CaroTargetGroups_CountService(g, g->all[i].service);
        if (g->all[i].n > 0 && (n > most || (n == most && largest != NULL &&
                                             g->all[i].n > largest->n))) {
            most = n;
            largest = &g->all[i];
        }
    }
    return largest == NULL ? CARO_NO_HANDLE : largest->members[largest->n - 1];
}

void
CaroTargetGroups_RecordFailure(CaroTargetGroups *g, int group,
                               CaroHandle member, CaroTime at, CaroTime until)
{
    Group *of = &g->all[group];
    int i = 0;
    while (i < of->n_failures && of->failures[i].member != member) {
        i++;
    }
    if (i == of->n_failures) {
        if (!reserve((void **)&of->failures, i, &of->failures_capacity,
                     sizeof(Failure))) {
            return; /* The failure is not counted; the member is avoided. */
        }
        of->n_failures++;
    }
    of->failures[i] = (Failure){.member = member, .at = at, .until = until};
    of->rank = 0;
}

void
CaroTargetGroups_ClearFailure(CaroTargetGroups *g, int group,
                              CaroHandle member)
{
    Group *of = &g->all[group];
    for (int i = 0; i < of->n_failures; i++) {
        if (of->failures[i].member == member) {
            of->failures[i] = of->failures[--of->n_failures];
            of->rank = 0;
            return;
        }
    }
}

/* Removes failures that ended, and returns when the next one ends. */
static CaroTime
remove_ended(Group *of, CaroTime now)
{
    CaroTime next = INT64_MAX;
    for (int i = 0; i < of->n_failures;) {
        if (now >= of->failures[i].until) {
            of->failures[i] = of->failures[--of->n_failures];
            continue;
        }
        next = of->failures[i].until < next ? of->failures[i].until : next;
        i++;
    }
    return next;
}

static int
compare_latest_first(const void *a, const void *b)
{
    CaroTime at_a = ((const Failure *)a)->at;
    CaroTime at_b = ((const Failure *)b)->at;
    return (at_a < at_b) - (at_a > at_b);
}

CaroTime
CaroTargetGroups_FailureOfRank(CaroTargetGroups *g, int group, int rank,
                               CaroTime now)
{
    Group *of = &g->all[group];
    if (of->n_failures == 0) {
        return -1;
    }
    if (of->rank != rank || now >= of->ranked_until) {
        of->ranked_until = remove_ended(of, now);
        of->rank = rank;
        of->ranked_at = -1;
        if (of->n_failures >= rank) {
            qsort(of->failures, (size_t)of->n_failures, sizeof(Failure),
                  compare_latest_first);
            of->ranked_at = of->failures[rank - 1].at;
        }
    }
    return of->ranked_at;
}
