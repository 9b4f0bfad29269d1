/* What placement learns from the attempts of streams, and its log.  Only
   services whose servers send a work_percent are placed by it. */
#include "internal/caro_relay_private.h"

#include "internal/caro_log.h"
#include "internal/caro_platform.h"

/* A prompt of which more is expected to be held at its engine is no sample of
   the engine's speed: it would show the engine too slow if the parts are not
   held.  With 0.05, services whose prompts all share a part had no samples,
   and one engine got 2.5 times the mean load (Test/test_retained_prompts.c).
 */
#define SAMPLE_RETAINED_FRACTION 0.25

/* Events after which the time between them is a sample. */
enum { EVENTS_MIN = 16 };

static bool
is_predicted(const CaroRelay *r)
{
    return CaroPlacement_IsPredicted(r->relays->deps.targets, &r->query);
}

static const CaroTarget *
target_of(const CaroRelay *r)
{
    return CaroTargets_GetConst(r->relays->deps.targets, r->target);
}

static void
add_count(const CaroRelay *r, CaroCounter id)
{
    CaroCounters_Add(r->relays->deps.counters, id, 1);
}

void
CaroRelay_BeginPace(CaroRelay *r)
{
    CaroTargets_AddHeld(r->relays->deps.targets, r->target, r->held_tokens);
    r->first_event_at = 0;
    r->n_events = 0;
}

void
CaroRelay_RecordEvents(CaroRelay *r, int n, CaroTime now)
{
    bool is_first = r->first_event_at == 0;
    r->n_events += n;
    if (!is_first) {
        return;
    }
    CaroEnginePace *pace = r->relays->deps.pace;
    r->first_event_at = now;
    if (!is_predicted(r)) {
        return;
    }
    CaroEnginePace_RecordHeld(
        pace, target_of(r),
        CaroPlacement_HeldTokens(r->relays->deps.targets, r->target, now),
        now);
    if (!r->is_from_kv_copy) {
        CaroRetainedPrompts_Record(
            r->relays->deps.retained, target_of(r), &r->sized_parts,
            CaroEnginePace_Get(pace, target_of(r), now).memory, now);
    }
    if (!r->is_from_kv_copy && !r->has_prefill_ahead &&
        r->retained_tokens <= SAMPLE_RETAINED_FRACTION * r->prompt_tokens &&
        CaroEnginePace_RecordFirstEvent(
            pace, target_of(r), r->prompt_tokens - (int)r->retained_tokens,
            now - r->attempt_started_at, now)) {
        add_count(r, CARO_COUNT_PACE_SAMPLES);
    }
}

void
CaroRelay_RecordRejection(CaroRelay *r, const CaroHttpHead *head, CaroTime now)
{
    CaroTargetLoad load;
    CaroText value = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_TARGET_LOAD));
    /* A target that is limited, leaves or wants no requests for some time has
       another reason. */
    if (!r->is_not_run || r->is_from_kv_copy || head->status != 503 ||
        !CaroTarget_IsOpen(target_of(r), now) || !is_predicted(r) ||
        CaroRequestLimits_Get(r->relays->deps.limits, r->target) >= 0.0 ||
        value.at == NULL || CaroPlatform_ReadLoad(value, &load) < 0 ||
        load.running + load.waiting >= load.slots) {
        return;
    }
    double held =
        CaroPlacement_HeldTokens(r->relays->deps.targets, r->target, now) -
        r->held_tokens;
    if (CaroEnginePace_RecordRejection(r->relays->deps.pace, target_of(r),
                                       held, now)) {
        add_count(r, CARO_COUNT_MEMORY_LIMITS);
        CaroLog_Info(
            "relay",
            "An upstream rejected a prompt with slots free. "
            "id=" CARO_LOG_TEXT
            " upstream=%s running=%lld slots=%lld held=%.0f "
            "memory=%.0f",
            r->id, target_of(r)->entry.id, (long long)load.running,
            (long long)load.slots, held,
            CaroEnginePace_Get(r->relays->deps.pace, target_of(r), now)
                .memory);
    }
}

void
CaroRelay_EndPace(CaroRelay *r, CaroTime now)
{
    if (r->n_events >= EVENTS_MIN && is_predicted(r)) {
        CaroEnginePace_RecordEvents(
            r->relays->deps.pace, target_of(r),
            (now - r->first_event_at) / (r->n_events - 1), now);
    }
    CaroTargets_AddHeld(r->relays->deps.targets, r->target, -r->held_tokens);
}

static long long
to_ms(CaroTime time)
{
    return time < 0 ? -1 : (long long)(time / CARO_MS);
}

void
CaroRelay_LogPrediction(CaroRelay *r, CaroTime now)
{
    r->retained_tokens = 0.0;
    if (!is_predicted(r) || r->is_from_kv_copy) {
        return;
    }
    CaroPrediction p = CaroPlacement_Predict(r->relays->deps.targets,
                                             r->target, &r->query, now);
    add_count(r, CARO_COUNT_PREDICTED);
    if (!p.has_memory) {
        add_count(r, CARO_COUNT_PREDICTED_OVER_MEMORY);
    }
    r->retained_tokens = p.retained_tokens;
    if (p.retained_tokens > 0.0) {
        add_count(r, CARO_COUNT_PLACED_BY_RETENTION);
        CaroCounters_Add(r->relays->deps.counters, CARO_COUNT_RETAINED_TOKENS,
                         (uint64_t)p.retained_tokens);
    }
    CaroLog_Info(
        "relay",
        "An upstream was chosen. id=" CARO_LOG_TEXT
        " upstream=%s predicted_ms=%.0f queue_ms=%.0f "
        "prefill_ms=%.0f running_ms=%.0f memory_ms=%.0f saved_ms=%.0f "
        "event_ms=%.0f "
        "queued=%.0f retained=%.0f held=%.0f memory=%.0f token_us=%.0f "
        "usual_us=%.0f samples=%d pace_age_ms=%lld load_age_ms=%lld",
        r->id, target_of(r)->entry.id, p.first_event_ms, p.queue_ms,
        p.prefill_ms, p.running_ms, p.memory_ms, p.saved_ms, p.event_ms,
        p.queued_tokens, p.retained_tokens, p.held_tokens, p.pace.memory,
        p.pace.prefill_us, p.pace.usual_us, p.pace.samples, to_ms(p.pace.age),
        to_ms(p.load_age));
}
