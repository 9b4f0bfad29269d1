/* What a request tells of its prompt, and whether the prompt may be sent. */
#include "internal/caro_relay_private.h"

#include "internal/caro_clock.h"

/* A request that is held asks again after this time. */
#define HELD_RETRY_DELAY (40 * CARO_MS)

static CaroPromptGuard *
guard_of(const CaroRelay *r)
{
    return r->relays->deps.guard;
}

CaroPromptAdmission
CaroRelay_AdmitPrompt(CaroRelay *r, CaroTime now)
{
    CaroPromptAdmission admission = CaroPromptGuard_Admit(
        guard_of(r), &r->prompt_parts, CaroClock_BootTime(), now);
    switch (admission) {
    case CARO_PROMPT_ADMITTED:
        break;
    case CARO_PROMPT_PROBE:
        r->is_probe = true;
        r->attempt.is_barred = true; /* From any further attempt. */
        break;
    case CARO_PROMPT_HELD:
        r->is_delayed = true;
        CaroRelay_SetTimer(r,
                           now + HELD_RETRY_DELAY < r->attempt.deadline
                               ? now + HELD_RETRY_DELAY
                               : r->attempt.deadline,
                           now);
        break;
    case CARO_PROMPT_REFUSED:
        r->attempt.is_barred = true;
        CaroRelay_AddCount(r, CARO_COUNT_QUARANTINED);
        break;
    }
    return admission;
}

bool
CaroRelay_IsQuarantined(const CaroRelay *r, CaroTime now)
{
    bool is_safe = CaroAttempt_IsRetryable(&r->attempt);
    return is_safe && !r->is_probe && r->n_events == 0 &&
           CaroPromptGuard_Refuses(guard_of(r), &r->prompt_parts, now);
}

void
CaroRelay_RecordPromptEvents(CaroRelay *r, int before, CaroTime now)
{
    int step = CARO_PROMPT_PROGRESS_MIN;
    while (step <= before) {
        step *= 2;
    }
    if (r->n_events >= step) {
        CaroPromptGuard_RecordEvents(guard_of(r), &r->prompt_parts,
                                     (uint32_t)r->n_events, now);
    }
}

static void
end_probe(CaroRelay *r, bool has_passed, CaroTime now)
{
    if (r->is_probe) {
        r->is_probe = false;
        CaroPromptGuard_EndProbe(guard_of(r), &r->prompt_parts, has_passed,
                                 now);
    }
}

void
CaroRelay_RecordPromptFinish(CaroRelay *r, CaroTime now)
{
    if (r->status < 200 || r->status > 299) {
        return;
    }
    /* The rest of a stream is not the whole work on its prompt. */
    if (r->is_resume) {
        CaroPromptGuard_RecordEvents(guard_of(r), &r->prompt_parts,
                                     (uint32_t)r->n_events, now);
    }
    else {
        CaroPromptGuard_RecordFinish(guard_of(r), &r->prompt_parts, now);
    }
    end_probe(r, true, now);
}

void
CaroRelay_RecordPromptEnd(CaroRelay *r, CaroOutcome outcome, CaroTime now)
{
    CaroPromptAttempt attempt = {.target = r->target,
                                 .request_id = r->id,
                                 .parts = &r->prompt_parts,
                                 .has_head = r->is_event_stream,
                                 .events = (uint32_t)r->n_events,
                                 .started_at = r->attempt_started_at};
    switch (outcome) {
    case CARO_OUTCOME_LOST:
        if (r->channel != NULL && !r->is_cut_unread &&
            CaroChannel_IsClosedByUpstream(r->channel)) {
            CaroPromptLosses_RecordClose(CaroPromptGuard_Losses(guard_of(r)),
                                         &attempt, now);
        }
        end_probe(r, false, now);
        break;
    case CARO_OUTCOME_SILENT:
    case CARO_OUTCOME_EXPIRED:
        CaroPromptLosses_RecordSilence(CaroPromptGuard_Losses(guard_of(r)),
                                       &attempt, now);
        end_probe(r, false, now);
        break;
    case CARO_OUTCOME_UNSENT:
    case CARO_OUTCOME_NO_PATH:
    case CARO_OUTCOME_GONE:
    case CARO_OUTCOME_NOT_RUN:
    case CARO_OUTCOME_NO_TARGET:
    case CARO_OUTCOME_FAILED:
        break;
    }
}

void
CaroRelay_RecordPromptCancelled(CaroRelay *r, CaroTime now)
{
    if (r->target != CARO_NO_HANDLE && r->channel != NULL &&
        CaroChannel_IsSent(r->channel)) {
        CaroRelay_RecordPromptEnd(r, CARO_OUTCOME_EXPIRED, now);
    }
}
