/* What the head of a response says about its upstream: load, limit, notices.
 */
#include "internal/caro_relay_private.h"

#include "internal/caro_log.h"
#include "internal/caro_platform.h"

/* Longest time for which an upstream is taken at its word that it wants no
   requests. */
#define UNAVAILABLE_S_MAX 3600.0

/* Characters of a malformed header that are logged. */
enum { LOGGED_VALUE_MAX = 40 };

void
CaroRelay_RecordLoad(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    CaroTargetLoad load;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TARGET_LOAD));
    if (value.at != NULL && CaroPlatform_ReadLoad(value, &load) == 0) {
        CaroTargets_RecordLoad(r->relays->deps.targets, r->target,
                               (int)load.running, (int)load.waiting,
                               (int)load.work_percent, now);
    }
}

void
CaroRelay_RecordLimit(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    double limit = -1.0;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TARGET_LIMIT));
    bool is_named =
        value.at != NULL && CaroPlatform_ReadLimit(value, &limit) == 0;
    if (value.at != NULL && !is_named) {
        CaroLog_Warn("relay",
                     "A limit of an upstream is malformed. id=" CARO_LOG_TEXT
                     " upstream=%s",
                     r->id,
                     CaroTargets_GetConst(r->relays->deps.targets, r->target)
                         ->entry.id);
    }
    if (is_named || (value.at == NULL && !r->is_not_run)) {
        CaroRequestLimits_RecordResponse(r->relays->deps.limits, r->target,
                                         limit, now);
    }
}

bool
CaroRelay_RecordLeaving(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TARGET_LEAVING));
    if (value.at == NULL || head->status == 421 ||
        !CaroPlatform_ReadLeaving(value)) {
        return false;
    }
    CaroTargets *targets = r->relays->deps.targets;
    const CaroTarget *target = CaroTargets_GetConst(targets, r->target);
    bool is_new = target->notice.leaving != CARO_LEAVING_BY_SELF;
    CaroTargets_RecordLeaving(targets, r->target, now);
    if (is_new) {
        CaroLog_Info("relay",
                     "An upstream announced that it leaves. upstream=%s "
                     "id=" CARO_LOG_TEXT " "
                     "status=%d registered_as=%s",
                     target->entry.id, r->id, head->status,
                     target->entry.is_leaving ? "leaving" : "ready");
        CaroRelay_AddCount(r, CARO_COUNT_TARGETS_LEAVING);
        r->relays->has_unsent_change = true;
    }
    return is_new;
}

bool
CaroRelay_RecordUnavailable(CaroRelay *r, const CaroHttpHead *head,
                            CaroTime now)
{
    double seconds;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_RETRY_AFTER));
    if (value.at == NULL || head->status != 503) {
        return false;
    }
    CaroTargets *targets = r->relays->deps.targets;
    const CaroTarget *target = CaroTargets_GetConst(targets, r->target);
    if (CaroPlatform_ReadRetryAfter(value, &seconds) < 0) {
        CaroLog_Warn("relay",
                     "The time of an upstream's refusal is malformed. "
                     "upstream=%s id=" CARO_LOG_TEXT " value=\"%.*s\"",
                     target->entry.id, r->id,
                     (int)(value.size < LOGGED_VALUE_MAX ? value.size
                                                         : LOGGED_VALUE_MAX),
                     value.at);
        return false;
    }
    bool is_bounded = seconds > UNAVAILABLE_S_MAX;
    CaroTime wait = (CaroTime)((is_bounded ? UNAVAILABLE_S_MAX : seconds) *
                               (double)CARO_SECOND);
    if (wait <= 0 || now + wait <= target->notice.unavailable_until) {
        return false;
    }
    CaroTargets_RecordUnavailable(targets, r->target, now + wait);
    CaroLog_Info("relay",
                 "An upstream wants no requests for some time. upstream=%s "
                 "id=" CARO_LOG_TEXT " ms=%lld is_bounded=%d",
                 target->entry.id, r->id, (long long)(wait / CARO_MS),
                 is_bounded);
    CaroRelay_AddCount(r, CARO_COUNT_TARGETS_UNAVAILABLE);
    return true;
}

void
CaroRelay_RecordRoom(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    const CaroRelayDeps *deps = &r->relays->deps;
    const CaroTarget *target = CaroTargets_GetConst(deps->targets, r->target);
    r->is_rejected = false;
    if (deps->room == NULL || CaroRelay_IsStream(r) ||
        !CaroTargets_IsAdaptive(deps->targets, r->service)) {
        return;
    }
    /* A server that leaves or wants no requests rejects for that reason. */
    r->is_rejected =
        r->is_not_run && head->status == 503 && CaroTarget_IsOpen(target, now);
    if (r->is_rejected) {
        CaroRelay_AddCount(r, CARO_COUNT_ROOM_REJECTED);
    }
    if (r->is_rejected || (!r->is_not_run && head->status < 500)) {
        CaroServiceRoom_RecordResponse(deps->room, r->target, r->is_rejected,
                                       now - r->attempt_started_at, now);
    }
}
