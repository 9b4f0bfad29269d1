/* Admission of plain requests to services short of room. */
#include "internal/caro_relay_private.h"

/* Does what was decided on a request without a target.  Returns whether it is
   to be sent now. */
static bool
follow(CaroRelay *r, CaroRoomDecision d, CaroTime now)
{
    switch (d.action) {
    case CARO_ROOM_SEND:
        return true;
    case CARO_ROOM_HOLD:
        r->held_bytes = CaroRelay_RoomRequest(r).bytes;
        r->is_held = true;
        CaroRelay_AddCount(r, CARO_COUNT_ROOM_HELD);
        CaroRelay_SetTimer(r, now + d.wait, now);
        return false;
    case CARO_ROOM_REFUSE:
        r->is_out_of_room = true;
        r->room_wait = d.wait;
        CaroRelay_RespondStatus(r, 503, "the service is short of room", now);
        return false;
    }
    return false;
}

bool
CaroRelay_Admit(CaroRelay *r, CaroTime now)
{
    CaroServiceRoom *room = r->relays->deps.room;
    if (room == NULL || CaroRelay_IsStream(r)) {
        return true;
    }
    CaroRoomRequest q = CaroRelay_RoomRequest(r);
    return follow(r, CaroServiceRoom_Accept(room, &q, now), now);
}

/* A request that was sent before counts as a retry when it is sent again. */
static bool
may_retry(const CaroRelay *r, CaroTime now)
{
    bool has_budget = CaroRetryBudget_AllowsRetry(
        r->relays->deps.budget, r->service, r->relays->vms, now);
    return r->attempt.tries == 0 ||
           CaroAttempt_CheckRetry(&r->attempt, false, has_budget, now) ==
               CARO_RETRY_ALLOWED;
}

bool
CaroRelay_HoldRejected(CaroRelay *r, CaroTime now)
{
    CaroServiceRoom *room = r->relays->deps.room;
    if (!r->is_out_of_room || r->attempt.may_have_run || room == NULL ||
        !may_retry(r, now)) {
        return false;
    }
    CaroRoomRequest q = CaroRelay_RoomRequest(r);
    CaroRoomDecision d = CaroServiceRoom_Retry(room, &q, now);
    if (d.action != CARO_ROOM_HOLD) {
        r->room_wait = d.wait;
        return false;
    }
    r->is_out_of_room = false;
    r->query.n_tried = 0;
    return !follow(r, d, now);
}

bool
CaroRelay_EndHold(CaroRelay *r, CaroTime now)
{
    CaroRoomRequest q = CaroRelay_RoomRequest(r);
    r->is_held = false;
    CaroRoomDecision d =
        CaroServiceRoom_EndHold(r->relays->deps.room, &q, now);
    if (!may_retry(r, now)) {
        d = (CaroRoomDecision){.action = CARO_ROOM_REFUSE};
    }
    return follow(r, d, now);
}
