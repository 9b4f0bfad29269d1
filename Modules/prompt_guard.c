/* Keeps prompts that crash upstreams from them. */
#include "internal/caro_prompt_guard.h"

#include "internal/caro_log.h"
#include "internal/caro_prompt_quarantine.h"
#include "internal/caro_quarantine_store.h"

#include <stdlib.h>

/* After a longer stall this VM may have missed a quarantine. */
#define STALL_MIN (500 * CARO_MS)
/* Wait for the other VMs' evidence, from when there are some. */
#define QUERY_TIMEOUT (1 * CARO_SECOND)
#define DECISION_INTERVAL (60 * CARO_MS)
/* Interval without new evidence, for what depends on time alone. */
#define RECHECK_INTERVAL (1 * CARO_SECOND)
/* A change is passed on in this many reports, each to REPORT_FANOUT VMs chosen
   at random: 300 VMs are reached in five steps. */
#define REPORTS_PER_CHANGE 4
#define REPORT_FANOUT 4
#define REPORT_INTERVAL (100 * CARO_MS)
/* All evidence is sent to one VM at this interval, as messages get lost; when
   there was no change for REPEAT_TIME, the quarantines alone are a reason. */
#define REPEAT_INTERVAL (1 * CARO_SECOND)
#define REPEAT_TIME (10 * CARO_SECOND)
#define LATE_REPEAT_INTERVAL (4 * CARO_SECOND)
/* Time from a decision to the first probe; each failed one multiplies it. */
#define PROBE_DELAY (120 * CARO_SECOND)
#define PROBE_DELAY_MAX (72000 * CARO_SECOND)

enum {
    /* Upstreams lost under a part, some of them not yet confirmed, after which
       other requests with it wait for that. */
    UNCONFIRMED_CRASHES_MAX = 2,
    PROBE_DELAY_FACTOR = 5
};

struct CaroPromptGuard {
    CaroPromptCrashes *table;
    CaroQuarantineStore *store; /* NULL: nothing is stored. */
    CaroCounters *counters;
    CaroPromptLosses *losses;
    int n_reports_due;
    int turn; /* Of CaroPromptReports_Collect. */
    CaroTime next_report;
    CaroTime next_repeat;
    CaroTime changed_at;

    CaroPromptParts pending; /* Parts about to be put into quarantine. */
    bool has_pending;
    CaroTime next_decision;
    CaroTime next_recheck;
    CaroTime last_tick;
    CaroTime boot_offset; /* Of the clock that counts while suspended. */
    bool has_boot_offset;

    bool
        is_behind; /* Other VMs may know quarantines that this one does not. */
    bool has_peers;
    CaroTime behind_until; /* 0: no other VM was asked yet. */
};

CaroPromptGuard *
CaroPromptGuard_Create(const CaroTargets *targets, CaroStoreClient *client,
                       CaroCounters *counters)
{
    CaroPromptGuard *g = calloc(1, sizeof(*g));
    if (g == NULL) {
        return NULL;
    }
    g->counters = counters;
    g->table = CaroPromptCrashes_Create();
    g->losses = g->table == NULL
                    ? NULL
                    : CaroPromptLosses_Create(targets, g->table, counters);
    if (g->losses == NULL) {
        goto error;
    }
    if (client != NULL) {
        g->store = CaroQuarantineStore_Create(g->table, client);
        if (g->store == NULL) {
            goto error;
        }
    }
    g->is_behind = true;
    return g;
error:
    CaroPromptGuard_Destroy(g);
    return NULL;
}

void
CaroPromptGuard_Destroy(CaroPromptGuard *g)
{
    if (g != NULL) {
        CaroQuarantineStore_Destroy(g->store);
        CaroPromptLosses_Destroy(g->losses);
        CaroPromptCrashes_Destroy(g->table);
        free(g);
    }
}

bool
CaroPromptGuard_Refuses(const CaroPromptGuard *g, const CaroPromptParts *parts,
                        CaroTime now)
{
    return CaroPromptCrashes_FindQuarantine(g->table, parts, now) != NULL;
}

bool
CaroPromptGuard_ConsumeQuarantine(CaroPromptGuard *g)
{
    return CaroPromptCrashes_ConsumeQuarantine(g->table);
}

/* Starts to wait for what other VMs know. */
static void
fall_behind(CaroPromptGuard *g)
{
    g->is_behind = true;
    g->behind_until = 0;
}

/* Notices that this process did not run. */
static void
notice_stall(CaroPromptGuard *g, CaroTime now)
{
    if (g->last_tick != 0 && now - g->last_tick >= STALL_MIN &&
        !g->is_behind) {
        CaroLog_Info("guard",
                     "This VM did not run and asks for quarantines. ms=%lld",
                     (long long)((now - g->last_tick) / CARO_MS));
        fall_behind(g);
    }
}

/* Notices that the machine was suspended. */
static void
notice_suspension(CaroPromptGuard *g, CaroTime boot_now, CaroTime now)
{
    CaroTime offset = boot_now - now;
    if (g->has_boot_offset && offset - g->boot_offset >= STALL_MIN) {
        fall_behind(g);
    }
    g->boot_offset = offset;
    g->has_boot_offset = true;
}

/* Returns whether no response with the part is known to have passed. */
static bool
is_unproven(const CaroPromptGuard *g, uint64_t part)
{
    return CaroPromptCrashes_PassedAt(g->table, part, 0) == CARO_NEVER_PASSED;
}

static bool
has_unproven_part(const CaroPromptGuard *g, const CaroPromptParts *parts)
{
    for (int i = 0; i < parts->n; i++) {
        if (is_unproven(g, parts->ids[i])) {
            return true;
        }
    }
    return false;
}

/* Returns whether a part is suspect by losses that are being confirmed, which
   takes a moment. */
static bool
awaits_confirmation(const CaroPromptGuard *g, const CaroPromptParts *parts)
{
    for (int i = 0; i < parts->n; i++) {
        int unconfirmed =
            CaroPromptLosses_CountUnconfirmed(g->losses, parts->ids[i]);
        if (unconfirmed > 0 && is_unproven(g, parts->ids[i]) &&
            unconfirmed + CaroPromptQuarantine_CountCrashes(g->table,
                                                            parts->ids[i]) >=
                UNCONFIRMED_CRASHES_MAX) {
            return true;
        }
    }
    return false;
}

static CaroTime
probe_at(const CaroQuarantine *q)
{
    CaroTime delay = PROBE_DELAY;
    for (int i = 0; i < q->probes && delay < PROBE_DELAY_MAX; i++) {
        delay *= PROBE_DELAY_FACTOR;
    }
    return q->at + (delay < PROBE_DELAY_MAX ? delay : PROBE_DELAY_MAX);
}

/* Returns whether the request is to be sent as a probe of the quarantine. */
static bool
take_probe(CaroPromptGuard *g, const CaroQuarantine *q, CaroTime now)
{
    char text[CARO_PROMPT_PARTS_TEXT_SIZE];
    if (g->store == NULL || now < probe_at(q)) {
        return false;
    }
    if (!CaroQuarantineStore_TakeProbe(g->store, &q->parts, now)) {
        CaroQuarantineStore_RequestProbe(g->store, q, now);
        return false;
    }
    CaroCounters_Add(g->counters, CARO_COUNT_QUARANTINE_PROBES, 1);
    CaroLog_Info("guard", "A quarantine is probed. parts=%s probes=%d",
                 CaroPromptParts_Format(&q->parts, text), q->probes);
    return true;
}

CaroPromptAdmission
CaroPromptGuard_Admit(CaroPromptGuard *g, const CaroPromptParts *parts,
                      CaroTime boot_now, CaroTime now)
{
    if (parts->n == 0) {
        return CARO_PROMPT_ADMITTED;
    }
    notice_stall(g, now);
    notice_suspension(g, boot_now, now);
    const CaroQuarantine *q =
        CaroPromptCrashes_FindQuarantine(g->table, parts, now);
    if (q != NULL) {
        return take_probe(g, q, now) ? CARO_PROMPT_PROBE : CARO_PROMPT_REFUSED;
    }
    bool is_held =
        (g->is_behind && g->has_peers && has_unproven_part(g, parts)) ||
        (g->has_pending && CaroPromptParts_Contain(parts, &g->pending)) ||
        awaits_confirmation(g, parts);
    if (is_held) {
        CaroCounters_Add(g->counters, CARO_COUNT_PROMPTS_HELD, 1);
    }
    return is_held ? CARO_PROMPT_HELD : CARO_PROMPT_ADMITTED;
}

void
CaroPromptGuard_EndProbe(CaroPromptGuard *g, const CaroPromptParts *parts,
                         bool has_passed, CaroTime now)
{
    char text[CARO_PROMPT_PARTS_TEXT_SIZE];
    const CaroQuarantine *q =
        CaroPromptCrashes_FindQuarantine(g->table, parts, now);
    if (q == NULL) {
        return; /* It was lifted. */
    }
    CaroLog_Info("guard", "A probe of a quarantine ended. parts=%s passed=%d",
                 CaroPromptParts_Format(&q->parts, text), has_passed);
    if (!has_passed) {
        CaroPromptParts failed = q->parts;
        CaroPromptCrashes_FailProbe(g->table, &failed, now);
    }
}

void
CaroPromptGuard_RecordRequest(CaroPromptGuard *g, const CaroPromptParts *parts,
                              CaroTime now)
{
    CaroPromptCrashes_RecordRequest(g->table, parts, now);
}

CaroPromptLosses *
CaroPromptGuard_Losses(CaroPromptGuard *g)
{
    return g->losses;
}

void
CaroPromptGuard_RecordEvents(CaroPromptGuard *g, const CaroPromptParts *parts,
                             uint32_t events, CaroTime now)
{
    CaroPromptCrashes_RecordEvents(g->table, parts, events, now);
}

void
CaroPromptGuard_RecordFinish(CaroPromptGuard *g, const CaroPromptParts *parts,
                             CaroTime now)
{
    CaroPromptCrashes_RecordFinish(g->table, parts, now);
}

void
CaroPromptGuard_Apply(CaroPromptGuard *g, const caro_prompt_evidence *evidence,
                      CaroTime now)
{
    CaroPromptReports_Apply(g->table, evidence, now);
}

void
CaroPromptGuard_OnQueryReply(CaroPromptGuard *g,
                             const caro_prompt_evidence *evidence,
                             CaroTime now)
{
    CaroPromptReports_Apply(g->table, evidence, now);
    g->is_behind = false;
}

void
CaroPromptGuard_ApplyOld(CaroPromptGuard *g, const caro_prompt_report *report,
                         CaroTime now)
{
    CaroPromptReports_ApplyOld(g->table, report, now);
}

static void
log_quarantine(const CaroPromptGuard *g, const CaroPromptChoice *c,
               CaroTime now)
{
    char text[CARO_PROMPT_PARTS_TEXT_SIZE];
    CaroCounters_Add(g->counters, CARO_COUNT_QUARANTINES, 1);
    CaroLog_Warn("guard",
                 "Parts of prompts were put into quarantine. parts=%s "
                 "events=%d needed=%d crashes=%d other_crashes=%d requests=%s "
                 "progress=%u..%u passed_before=%d first_ms=%lld",
                 CaroPromptParts_Format(&c->parts, text), c->events, c->needed,
                 c->crashes, c->other_crashes, c->requests < 2 ? "1" : "many",
                 c->progress_min, c->progress_max, c->has_passed,
                 (long long)((now - c->first_at) / CARO_MS));
}

static void
decide(CaroPromptGuard *g, CaroTime now)
{
    CaroPromptChoice choice;
    CaroPromptVerdict verdict =
        CaroPromptQuarantine_Choose(g->table, &choice, now);
    if (verdict == CARO_VERDICT_QUARANTINE &&
        CaroPromptLosses_RefuteCrashes(g->losses)) {
        verdict = CaroPromptQuarantine_Choose(g->table, &choice, now);
    }
    g->has_pending = verdict == CARO_VERDICT_PENDING;
    g->pending = choice.parts;
    if (verdict == CARO_VERDICT_QUARANTINE) {
        CaroQuarantine q = {
            .parts = choice.parts, .at = now, .events = choice.progress_max};
        if (CaroPromptCrashes_AddQuarantine(g->table, &q, now) != NULL) {
            log_quarantine(g, &choice, now);
        }
    }
}

void
CaroPromptGuard_OnStored(CaroPromptGuard *g, const char *bytes, size_t size,
                         int64_t wall_ms, CaroTime now)
{
    CaroQuarantineStore_OnStored(g->table, bytes, size, wall_ms, now);
}

void
CaroPromptGuard_OnStoreRestored(CaroPromptGuard *g)
{
    int n;
    CaroQuarantine *all = CaroPromptCrashes_Quarantines(g->table, &n);
    for (int i = 0; i < n; i++) {
        all[i].stored_until = 0;
    }
}

bool
CaroPromptGuard_ConsumeQuery(CaroPromptGuard *g, bool has_peers, CaroTime now)
{
    g->has_peers = has_peers;
    if (!g->is_behind || !has_peers) {
        return false;
    }
    if (g->behind_until == 0) {
        g->behind_until = now + QUERY_TIMEOUT;
        return true;
    }
    g->is_behind = now < g->behind_until;
    return false;
}

void
CaroPromptGuard_Tick(CaroPromptGuard *g, int rank, CaroTime now)
{
    notice_stall(g, now);
    g->last_tick = now;
    CaroPromptLosses_Tick(g->losses, now);
    if (now >= g->next_decision) {
        g->next_decision = now + DECISION_INTERVAL;
        CaroPromptCrashes_Tick(g->table, now);
        bool has_new = CaroPromptCrashes_ConsumeEvidence(g->table);
        if (has_new || g->has_pending || now >= g->next_recheck) {
            g->next_recheck = now + RECHECK_INTERVAL;
            decide(g, now);
        }
    }
    if (g->store != NULL) {
        CaroQuarantineStore_Tick(g->store, rank, now);
    }
}

static bool
has_quarantine(const CaroPromptGuard *g)
{
    int n;
    (void)CaroPromptCrashes_QuarantinesConst(g->table, &n);
    return n > 0;
}

int
CaroPromptGuard_Collect(CaroPromptGuard *g, CaroPromptEvidence *out,
                        CaroTime now)
{
    if (CaroPromptCrashes_ConsumeChange(g->table)) {
        g->n_reports_due = REPORTS_PER_CHANGE;
        g->changed_at = now;
    }
    if (g->n_reports_due > 0 && now >= g->next_report) {
        g->n_reports_due--;
        g->next_report = now + REPORT_INTERVAL;
        return CaroPromptReports_CollectNews(g->table, out, now)
                   ? REPORT_FANOUT
                   : 0;
    }
    bool is_late = now - g->changed_at >= REPEAT_TIME;
    if (now < g->next_repeat || (is_late && !has_quarantine(g))) {
        return 0;
    }
    g->next_repeat = now + (is_late ? LATE_REPEAT_INTERVAL : REPEAT_INTERVAL);
    return CaroPromptReports_Collect(g->table, out, &g->turn, now) ? 1 : 0;
}

void
CaroPromptGuard_CollectReply(CaroPromptGuard *g, CaroPromptEvidence *out,
                             CaroTime now)
{
    (void)CaroPromptReports_Collect(g->table, out, &g->turn, now);
}

bool
CaroPromptGuard_CollectOld(CaroPromptGuard *g, CaroPromptReport *out,
                           CaroTime now)
{
    return CaroPromptReports_CollectOld(g->table, out, now);
}

json_t *
CaroPromptGuard_Dump(CaroPromptGuard *g, CaroTime now)
{
    int n;
    json_t *list = json_array();
    const CaroQuarantine *all = CaroPromptCrashes_Quarantines(g->table, &n);
    for (int i = 0; i < n; i++) {
        char text[CARO_PROMPT_PARTS_TEXT_SIZE];
        (void)json_array_append_new(
            list,
            json_pack("{s:s, s:I, s:I, s:I, s:i, s:b, s:b}", "parts",
                      CaroPromptParts_Format(&all[i].parts, text), "age_ms",
                      (json_int_t)((now - all[i].at) / CARO_MS), "left_ms",
                      (json_int_t)((all[i].expires_at - now) / CARO_MS),
                      "probe_ms",
                      (json_int_t)((probe_at(&all[i]) - now) / CARO_MS),
                      "failed_probes", all[i].probes, "lifted",
                      all[i].is_lifted, "stored", all[i].stored_until > now));
    }
    return list;
}
