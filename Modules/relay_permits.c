/* Permits of requests to brittle upstreams. */
#include "internal/caro_relay_private.h"

#include "internal/caro_platform.h"

/* A request waits for a permit for this part of its objective, so that it is
   still answered in time, and of the time that its caller has left. */
#define WAIT_FRACTION 0.5
#define TIME_LEFT_FRACTION 0.3

static CaroTime
wait_max(const CaroRelay *r, CaroTime now)
{
    double wait = WAIT_FRACTION * (double)r->route.objective;
    double left = TIME_LEFT_FRACTION * (double)(r->attempt.deadline - now);
    return (CaroTime)(wait < left ? wait : left);
}

CaroPermitOutcome
CaroRelay_TakePermit(CaroRelay *r, CaroTime now)
{
    CaroSlotPermits *permits = r->relays->deps.permits;
    if (r->permit_id != 0 || permits == NULL ||
        !CaroSlotPermits_IsNeeded(permits, r->service, now)) {
        return CARO_PERMIT_GRANTED;
    }
    CaroPermitOutcome outcome = CaroSlotPermits_Acquire(
        permits, r->service, r, wait_max(r, now), r->attempt.deadline - now,
        &r->permit_id, &r->permit_target, &r->permit_wait, now);
    if (outcome == CARO_PERMIT_QUEUED) {
        r->is_awaiting_permit = true;
        CaroRelay_SetTimer(r, r->attempt.deadline, now);
    }
    else if (outcome == CARO_PERMIT_DENIED) {
        r->permit_id = 0;
    }
    return outcome;
}

void
CaroRelay_RecordBrittle(const CaroRelay *r, const CaroHttpHead *head,
                        CaroTime now)
{
    int rejections_max = -1;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TARGET_BRITTLE));
    if (r->relays->deps.permits == NULL ||
        (value.at != NULL &&
         CaroPlatform_ReadBrittle(value, &rejections_max) < 0)) {
        return;
    }
    CaroSlotPermits_RecordResponse(r->relays->deps.permits, r->service,
                                   rejections_max, now);
}
