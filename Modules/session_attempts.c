/*
 * The attempts of a session at engines.  CaroGeneration decides, without I/O,
 * when attempts are started and cancelled; this file carries the decisions out
 * with the engine client and appends the tokens to the journal.
 */
#include "internal/caro_session.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"
#include "internal/caro_router.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_DELAY (50 * CARO_MS)

/* Returns the slot of an attempt, or -1; attempt 0 finds a free slot. */
static int
find_attempt(const CaroSession *s, uint32_t attempt)
{
    for (int i = 0; i < 2; i++) {
        if (s->attempts[i].number == attempt) {
            return i;
        }
    }
    return -1;
}

/* Frees the slot of an attempt whose stream has ended or was cancelled. */
static void
release_attempt(CaroSession *s, int i)
{
    CaroHandle h =
        CaroGeneration_GetUpstream(s->generation, s->attempts[i].number);
    if (h != CARO_NO_HANDLE) {
        CaroUpstreams_AddPrefill(s->sessions->common.upstreams, h,
                                 -s->attempts[i].prefill_tokens);
        CaroUpstreams_EndAttempt(s->sessions->common.upstreams, h);
    }
    s->attempts[i].prefill_tokens = 0;
    s->attempts[i].number = 0;
    s->attempts[i].stream = NULL;
}

static void
cancel_attempt(CaroSession *s, int i)
{
    if (s->attempts[i].stream != NULL) {
        CaroEngine_Cancel(s->attempts[i].stream);
    }
    release_attempt(s, i);
}

void
CaroSession_CancelAttempts(CaroSession *s)
{
    for (int i = 0; i < 2; i++) {
        if (s->attempts[i].number != 0) {
            cancel_attempt(s, i);
        }
    }
}

/* Records the gap before a token, or the wait for the first token, for the
   rollout's samples and for the upstream's latency. */
static void
record_token_timing(CaroSession *s, int i, CaroHandle h, CaroTime now)
{
    CaroSessions *all = s->sessions;
    uint32_t attempt = s->attempts[i].number;
    CaroTime gap = CaroGeneration_LastGap(s->generation, attempt);
    if (gap >= 0) {
        CaroDeploymentRollouts_SampleGap(
            all->deps.rollouts, s->deployment, s->account, &s->choice, gap,
            CaroJournal_Count(s->journal) + 1 >= s->tokens_max);
        CaroUpstreams_RecordTokenGap(all->common.upstreams, h, gap);
        return;
    }
    CaroUpstreams_AddPrefill(all->common.upstreams, h,
                             -s->attempts[i].prefill_tokens);
    s->attempts[i].prefill_tokens = 0;
    CaroDeploymentRollouts_SampleFirstToken(all->deps.rollouts, s->deployment,
                                            s->account, &s->choice,
                                            now - s->attempts[i].started_at);
    CaroUpstreams_RecordFirstToken(all->common.upstreams, h,
                                   now - s->attempts[i].started_at);
    CaroUpstreams_RecordSuccess(all->common.upstreams, h);
}

static void
on_token(CaroSession *s, int i, const char *text, size_t size, CaroTime now)
{
    CaroSessions *all = s->sessions;
    uint32_t attempt = s->attempts[i].number;
    CaroHandle h = CaroGeneration_GetUpstream(s->generation, attempt);
    uint32_t index = s->attempts[i].next_index++;
    if (!CaroGeneration_OnToken(s->generation, attempt, index, now,
                                all->awake_time)) {
        CaroCounters_Add(all->common.counters, CARO_COUNT_TOKENS_DROPPED, 1);
        return;
    }
    CaroUpstreams_RecordHeard(all->common.upstreams, h, now);
    if (s->attempts[i].prefill_tokens > 0) {
        CaroJournal_SetUpstream(
            s->journal, CaroUpstreams_Get(all->common.upstreams, h)->name);
    }
    record_token_timing(s, i, h, now);
    if (CaroJournal_Append(s->journal, text, size, now) < 0) {
        CaroLog_Error("generate",
                      "No room in the journals; the generation is closed. "
                      "generation=%016llx",
                      (unsigned long long)s->id);
        s->sessions->events->on_journal_full(s);
        return;
    }
    CaroSession_MarkDirty(s);
}

static void
on_stream_end(CaroSession *s, int i, bool is_complete, int status,
              CaroTime now)
{
    CaroSessions *all = s->sessions;
    uint32_t attempt = s->attempts[i].number;
    CaroHandle h = CaroGeneration_GetUpstream(s->generation, attempt);
    if (h != CARO_NO_HANDLE && !is_complete) {
        const CaroUpstream *u = CaroUpstreams_Get(all->common.upstreams, h);
        CaroLog_Warn("generate",
                     "An attempt ended before its stream was complete. "
                     "generation=%016llx upstream=%s "
                     "status=%d tokens=%u",
                     (unsigned long long)s->id, u->name, status,
                     CaroJournal_Count(s->journal));
        CaroUpstreams_RecordFailure(all->common.upstreams, h, now);
        CaroDeploymentRollouts_SampleFailure(all->deps.rollouts, s->deployment,
                                             s->account, &s->choice);
    }
    release_attempt(s, i);
    CaroGeneration_OnClosed(s->generation, attempt, is_complete, now);
    CaroSession_Advance(s, now);
}

static void
on_engine_event(void *context, uint64_t id, uint32_t attempt,
                const CaroEngineEvent *event)
{
    CaroSessions *all = context;
    CaroTime now = CaroClock_Now();
    CaroSession *s = CaroSession_Find(all, id);
    int i = s == NULL ? -1 : find_attempt(s, attempt);
    if (i < 0) {
        return;
    }
    CaroHandle h = CaroGeneration_GetUpstream(s->generation, attempt);
    switch (event->kind) {
    case CARO_ENGINE_TOKEN:
        on_token(s, i, event->u.token.text, event->u.token.size, now);
        break;
    case CARO_ENGINE_LOAD:
        if (h != CARO_NO_HANDLE) {
            CaroLoadPoller_RecordLoad(all->deps.poller, h, &event->u.load,
                                      now);
        }
        break;
    case CARO_ENGINE_END:
        s->attempts[i].stream = NULL;
        on_stream_end(s, i, event->u.end.is_complete, event->u.end.status,
                      now);
        break;
    }
}

static CaroHandle
choose_upstream(CaroSession *s, bool is_resume, CaroTime now)
{
    CaroSessions *all = s->sessions;
    CaroRouterQuery q = {
        .policy = CARO_ROUTER_BOUNDED_AFFINITY,
        .deployment = s->deployment,
        .version = s->choice.version[0] == '\0' ? NULL : s->choice.version,
        .vm = all->common.settings->vm,
        .subset = (int)all->common.settings->upstream_subset_size,
        .prefix_hash = s->prefix_hash,
        .prefers_other_domains =
            CaroGeneration_IsLastLossSilence(s->generation),
        .is_resume = is_resume};
    q.n_avoid = CaroGeneration_GetAvoided(s->generation, q.avoid);
    q.warm = CaroUpstreams_Find(all->common.upstreams,
                                CaroJournal_Upstream(s->journal));
    CaroHandle h =
        CaroRouter_Choose(all->common.upstreams, &q, now, all->common.rng);
    if (h == CARO_NO_HANDLE && q.version != NULL) {
        /* No upstream of the chosen version is usable: use any version. */
        q.version = NULL;
        h = CaroRouter_Choose(all->common.upstreams, &q, now, all->common.rng);
    }
    return h;
}

/* Short resumes have priority over long ones, so that one long prefill does
   not delay many callers of short resumes. */
static int
get_priority(const CaroSession *s, bool is_resume, int64_t prefill)
{
    if (is_resume) {
        return prefill < CARO_LONG_RESUME_TOKENS_MIN
                   ? CARO_PRIORITY_SHORT_RESUME
                   : CARO_PRIORITY_LONG_RESUME;
    }
    return s->class == CARO_CLASS_BACKGROUND ? CARO_PRIORITY_BACKGROUND
                                             : CARO_PRIORITY_INTERACTIVE;
}

/* Tokens that an engine without a prefix cache has to prefill. */
static int64_t
estimate_prefill(const CaroSession *s)
{
    return (int64_t)s->cost - s->tokens_max + CaroJournal_Count(s->journal);
}

static int
open_stream(CaroSession *s, int slot, uint32_t attempt, CaroHandle h,
            bool is_resume)
{
    CaroSessions *all = s->sessions;
    const CaroUpstream *u = CaroUpstreams_Get(all->common.upstreams, h);
    CaroEngineRequest r = {
        .id = s->id,
        .attempt = attempt,
        .address = u->address,
        .model = s->deployment,
        .version = u->version,
        .prompt = s->prompt,
        .tokens_max = s->tokens_max,
        .prefix_tokens = CaroJournal_Count(s->journal),
        .priority = get_priority(s, is_resume, estimate_prefill(s))};
    r.prefix = CaroJournal_Text(s->journal, 0, &r.prefix_size);
    s->attempts[slot].stream =
        CaroEngine_Open(all->common.base, &r, on_engine_event, all);
    if (s->attempts[slot].stream == NULL) {
        return CARO_ERR_IO;
    }
    s->attempts[slot].number = attempt;
    s->attempts[slot].next_index = r.prefix_tokens;
    s->attempts[slot].started_at = CaroClock_Now();
    return 0;
}

/* Starts the attempt that the generation decided on, or defers it by
   RETRY_DELAY when no upstream is usable or the stream cannot be opened. */
static void
start_attempt(CaroSession *s, const CaroAction *a, CaroTime now)
{
    CaroSessions *all = s->sessions;
    uint32_t attempt = a->u.start.attempt;
    int slot = find_attempt(s, 0);
    bool is_resume = a->u.start.is_resume || s->class == CARO_CLASS_RESUME;
    CaroDeploymentRollouts_RecheckVersion(all->deps.rollouts, s->deployment,
                                          &s->choice);
    CaroHandle h = choose_upstream(s, is_resume, now);
    if (h == CARO_NO_HANDLE || slot < 0 ||
        open_stream(s, slot, attempt, h, is_resume) < 0) {
        CaroGeneration_OnDeferred(s->generation, now + RETRY_DELAY);
        return;
    }
    CaroTime floor = all->common.settings->silence_floor_ms * CARO_MS;
    CaroTime ceiling = all->common.settings->silence_ceiling_ms * CARO_MS;
    CaroTime first = all->common.settings->first_token_ceiling_ms * CARO_MS;
    CaroGeneration_OnStarted(
        s->generation, attempt, h,
        CaroUpstreams_SilenceTimeout(all->common.upstreams, h, floor, ceiling),
        CaroUpstreams_FirstTokenTimeout(all->common.upstreams, h, 4 * floor,
                                        first),
        now, all->awake_time);
    CaroUpstreams_BeginAttempt(all->common.upstreams, h);
    s->attempts[slot].prefill_tokens = estimate_prefill(s);
    CaroUpstreams_AddPrefill(all->common.upstreams, h,
                             s->attempts[slot].prefill_tokens);
    if (a->u.start.is_standby) {
        CaroUpstreams_Suspect(all->common.upstreams, a->u.start.silent, now);
        all->standby_budget -= 1.0;
        CaroCounters_Add(all->common.counters, CARO_COUNT_STANDBYS, 1);
    }
    if (!a->u.start.is_resume) {
        return;
    }
    CaroCounters_Add(all->common.counters, CARO_COUNT_RESUMES, 1);
    CaroDecisions_Add(all->common.decisions, CaroClock_WallMs(), "resume",
                      CaroUpstreams_Get(all->common.upstreams, h)->name,
                      a->u.start.is_standby ? "standby attempt" : "resumed",
                      "generation %016llx, attempt %u, %u tokens so far",
                      (unsigned long long)s->id, attempt,
                      CaroJournal_Count(s->journal));
}

/* Carries out the generation's decisions until none is left.  May close the
   session. */
void
CaroSession_Advance(CaroSession *s, CaroTime now)
{
    CaroSessions *all = s->sessions;
    enum { ACTIONS_MAX = 16 };
    for (int i = 0; i < ACTIONS_MAX; i++) {
        if (CaroGeneration_HasSilentBeyondCeiling(s->generation,
                                                  all->awake_time)) {
            CaroGeneration_SetReplaceable(s->generation,
                                          choose_upstream(s, true, now) !=
                                              CARO_NO_HANDLE);
        }
        CaroAction a = CaroGeneration_Decide(
            s->generation, all->standby_budget >= 1.0, now, all->awake_time);
        switch (a.kind) {
        case CARO_ACT_NONE:
            return;
        case CARO_ACT_START:
            start_attempt(s, &a, now);
            break;
        case CARO_ACT_CANCEL: {
            int slot = find_attempt(s, a.u.cancel.attempt);
            if (a.u.cancel.is_lost) {
                CaroDeploymentRollouts_SampleFailure(
                    all->deps.rollouts, s->deployment, s->account, &s->choice);
                CaroUpstreams_RecordFailure(all->common.upstreams,
                                            a.u.cancel.upstream, now);
            }
            if (slot >= 0) {
                cancel_attempt(s, slot);
            }
            CaroGeneration_OnCancelled(s->generation, a.u.cancel.attempt);
            break;
        }
        case CARO_ACT_END:
            if (!s->is_complete) {
                s->is_complete = true;
                CaroJournal_Finish(s->journal);
                CaroSession_MarkDirty(s);
            }
            return;
        case CARO_ACT_FAIL:
            s->sessions->events->on_failed(s, a.u.fail.code);
            return;
        }
    }
}

/* Marks attempts whose upstream is suspected because another stream there
   became silent. */
void
CaroSession_SuspectAttempts(CaroSession *s, CaroTime now)
{
    for (int i = 0; i < 2; i++) {
        uint32_t attempt = s->attempts[i].number;
        CaroHandle h = CARO_NO_HANDLE;
        if (attempt != 0) {
            h = CaroGeneration_GetUpstream(s->generation, attempt);
        }
        if (h != CARO_NO_HANDLE &&
            CaroUpstreams_IsSuspected(s->sessions->common.upstreams, h, now)) {
            CaroGeneration_Suspect(s->generation, attempt);
        }
    }
}
