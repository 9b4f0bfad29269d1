/*
 * NAME
 *     caro_revision - a revision of the store, ordered across restorations
 *
 * The store numbers its changes.  When it is restored from an older copy it
 * continues after the number of the copy and gives the later numbers out
 * again; this begins a new timeline, as a recovery to a point in time does in
 * databases.  A CaroRevision has the timeline in its upper bits, so that
 * revisions compare as integers: each one of a later timeline is above all of
 * earlier ones.  In the first timeline, 0, it equals the store's number, which
 * is what VMs of versions without timelines send.
 */
#ifndef CARO_REVISION_H
#define CARO_REVISION_H

#include "internal/caro_types.h"

typedef int64_t CaroRevision;

enum { CARO_REVISION_NUMBER_BITS = 48 };
#define CARO_REVISION_NUMBER_MAX                                              \
    (((int64_t)1 << CARO_REVISION_NUMBER_BITS) - 1)
#define CARO_TIMELINE_MAX                                                     \
    (((int64_t)1 << (63 - CARO_REVISION_NUMBER_BITS)) - 1)

/* Returns whether the numbers are within their ranges, from 0. */
bool CaroRevision_IsValid(int64_t timeline, int64_t number);

/* Combines valid numbers. */
CaroRevision CaroRevision_Make(int64_t timeline, int64_t number);

int64_t CaroRevision_Timeline(CaroRevision revision);

/* Returns the number that the store gave. */
int64_t CaroRevision_Number(CaroRevision revision);

/* Returns whether both are of one timeline. */
bool CaroRevision_IsSameTimeline(CaroRevision a, CaroRevision b);

#endif
