/* A revision of the store, ordered across restorations. */
#include "internal/caro_revision.h"

#include <assert.h>

bool
CaroRevision_IsValid(int64_t timeline, int64_t number)
{
    return timeline >= 0 && timeline <= CARO_TIMELINE_MAX && number >= 0 &&
           number <= CARO_REVISION_NUMBER_MAX;
}

CaroRevision
CaroRevision_Make(int64_t timeline, int64_t number)
{
    assert(CaroRevision_IsValid(timeline, number));
    return timeline << CARO_REVISION_NUMBER_BITS | number;
}

int64_t
CaroRevision_Timeline(CaroRevision revision)
{
    return revision >> CARO_REVISION_NUMBER_BITS;
}

int64_t
CaroRevision_Number(CaroRevision revision)
{
    return revision & CARO_REVISION_NUMBER_MAX;
}

bool
CaroRevision_IsSameTimeline(CaroRevision a, CaroRevision b)
{
    return CaroRevision_Timeline(a) == CaroRevision_Timeline(b);
}
