/* Keeps prompts that crash upstreams from them. */
#include "internal/caro_prompt_guard.h"

#include "internal/caro_log.h"
#include "internal/caro_prompt_quarantine.h"
#include "internal/caro_quarantine_store.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* An upstream that is heard within this time of a loss has not crashed, unless
   within the margin: bytes that it sent before may still be unread. */
#define CONFIRM_DELAY (200 * CARO_MS)
#define HEARD_MARGIN (100 * CARO_MS)
/* Time in which an upstream that was silent to a request is found to have
   crashed: its registration ends, or another loss shows it.  It may serve
   others meanwhile. */
#define SILENCE_TTL (10 * CARO_SECOND)
/* Parts that have passed less than this before a crash are no suspects. */
#define PASSED_RECENTLY (500 * CARO_MS)
/* Between two ticks at most this counts: in a stall of this process nothing is
   heard. */
#define TICK_TIME_MAX (40 * CARO_MS)
/* After a longer stall this VM may have missed a quarantine. */
#define STALL_MIN (500 * CARO_MS)
/* Wait for the other VMs' evidence, from when there are some. */
#define QUERY_TIMEOUT (1 * CARO_SECOND)
/* A domain is lost when at least DOMAIN_LOST_MIN of its upstreams, and one in
   DOMAIN_LOST_DIVISOR, fail in this time. */
#define DOMAIN_LOSS_TIME (300 * CARO_MS)
#define DOMAIN_LOST_MIN 2
#define DOMAIN_LOST_DIVISOR 2
#define DECISION_INTERVAL (60 * CARO_MS)
/* Interval without new evidence, for what depends on time alone. */
#define RECHECK_INTERVAL (1 * CARO_SECOND)
/* A change is passed on in this many reports, each to REPORT_FANOUT VMs chosen
   at random: 300 VMs are reached in five steps. */
#define REPORTS_PER_CHANGE 4
#define REPORT_FANOUT 4
#define REPORT_INTERVAL (100 * CARO_MS)
/* Evidence without a change is sent to one VM at this interval, for VMs that
   started since; less often when it is older than REPEAT_TIME. */
#define REPEAT_INTERVAL (400 * CARO_MS)
#define REPEAT_TIME (60 * CARO_SECOND)
#define LATE_REPEAT_INTERVAL (2 * CARO_SECOND)
/* Time from a decision to the first probe; each failed one multiplies it. */
#define PROBE_DELAY (120 * CARO_SECOND)
#define PROBE_DELAY_MAX (72000 * CARO_SECOND)

enum {
    LOSSES_MAX = 512,
    /* Upstreams lost under a part, some of them not yet confirmed, after which
       other requests with it wait for that. */
    UNCONFIRMED_CRASHES_MAX = 2,
    PROBE_DELAY_FACTOR = 5
};

/* How an attempt of this VM was lost. */
typedef enum { LOSS_CLOSED, LOSS_SILENT } LossKind;

/* A loss that is not yet confirmed as a crash. */
typedef struct {
    LossKind kind;
    CaroHandle target;
    bool is_refused; /* The upstream refused a connection since. */
    CaroPromptCrash crash;
    CaroTime started_at;
    CaroTime waited;  /* Without stalls of this process. */
    CaroTime stalled; /* The time of these. */
} Loss;

struct CaroPromptGuard {
    CaroPromptCrashes *table;
    const CaroTargets *targets;
    CaroQuarantineStore *store; /* NULL: nothing is stored. */
    CaroCounters *counters;
    Loss losses[LOSSES_MAX];
    int n_losses;
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
    g->targets = targets;
    g->counters = counters;
    g->table = CaroPromptCrashes_Create();
    if (g->table == NULL) {
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

/* Identifies one start of an upstream in messages. */
static uint64_t
upstream_hash(const CaroTarget *target)
{
    return XXH64(target->entry.id, strlen(target->entry.id),
                 (XXH64_hash_t)target->entry.started_at_ms);
}

static uint64_t
request_hash(const char *id)
{
    return XXH64(id, strlen(id), 0);
}

/* Returns a hash that is 0 only for an empty name. */
static uint32_t
name_hash(const char *name)
{
    uint32_t hash = (uint32_t)XXH64(name, strlen(name), 0);
    return name[0] == '\0' ? 0 : hash == 0 ? 1 : hash;
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

/* Returns how many upstreams are lost under the part by losses that are not
   yet confirmed. */
static int
count_unconfirmed(const CaroPromptGuard *g, uint64_t part)
{
    int count = 0;
    for (int i = 0; i < g->n_losses; i++) {
        const Loss *loss = &g->losses[i];
        bool is_counted = loss->kind != LOSS_CLOSED ||
                          !CaroPromptParts_Has(&loss->crash.parts, part);
        for (int j = 0; j < i && !is_counted; j++) {
            is_counted = g->losses[j].crash.upstream == loss->crash.upstream &&
                         CaroPromptParts_Has(&g->losses[j].crash.parts, part);
        }
        count += !is_counted;
    }
    return count;
}

/* Returns whether a part is suspect by losses that are being confirmed, which
   takes a moment. */
static bool
awaits_confirmation(const CaroPromptGuard *g, const CaroPromptParts *parts)
{
    for (int i = 0; i < parts->n && g->n_losses > 0; i++) {
        int unconfirmed = count_unconfirmed(g, parts->ids[i]);
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

/* Returns an unconfirmed loss of the kind at the upstream of a request with
   the same parts, or NULL. */
static Loss *
find_loss(CaroPromptGuard *g, LossKind kind, const CaroPromptCrash *crash)
{
    for (int i = 0; i < g->n_losses; i++) {
        const CaroPromptCrash *c = &g->losses[i].crash;
        if (g->losses[i].kind == kind && c->upstream == crash->upstream &&
            CaroPromptParts_Contain(&c->parts, &crash->parts) &&
            CaroPromptParts_Contain(&crash->parts, &c->parts)) {
            return &g->losses[i];
        }
    }
    return NULL;
}

static void
add_loss(CaroPromptGuard *g, LossKind kind, const CaroPromptAttempt *attempt,
         CaroTime now)
{
    const CaroTarget *target =
        CaroTargets_GetConst(g->targets, attempt->target);
    bool is_leaving = target->entry.is_leaving ||
                      target->notice.leaving != CARO_LEAVING_UNKNOWN;
    CaroPromptCrash crash = {.upstream = upstream_hash(target),
                             .request = request_hash(attempt->request_id),
                             .service = name_hash(target->entry.service),
                             .domain = name_hash(target->entry.domain),
                             .has_head = attempt->has_head,
                             .events = attempt->events,
                             .parts = *attempt->parts,
                             .at = now};
    CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_LOSSES, 1);
    Loss *known = find_loss(g, kind, &crash);
    if (known != NULL) {
        known->crash.events = crash.events < known->crash.events
                                  ? crash.events
                                  : known->crash.events;
        return;
    }
    if (is_leaving || g->n_losses == LOSSES_MAX) {
        CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_LOSSES_DROPPED, 1);
        CaroLog_Info("guard",
                     "A loss is no evidence. id=" CARO_LOG_TEXT
                     " reason=\"%s\"",
                     attempt->request_id,
                     is_leaving ? "the upstream leaves"
                                : "too many wait to be confirmed");
        return;
    }
    g->losses[g->n_losses++] = (Loss){.kind = kind,
                                      .target = attempt->target,
                                      .crash = crash,
                                      .started_at = attempt->started_at};
}

void
CaroPromptGuard_RecordLoss(CaroPromptGuard *g,
                           const CaroPromptAttempt *attempt, CaroTime now)
{
    add_loss(g, LOSS_CLOSED, attempt, now);
}

void
CaroPromptGuard_RecordSilence(CaroPromptGuard *g,
                              const CaroPromptAttempt *attempt, CaroTime now)
{
    if (attempt->parts->n > 0) {
        add_loss(g, LOSS_SILENT, attempt, now);
    }
}

void
CaroPromptGuard_RecordRefusedConnection(CaroPromptGuard *g, CaroHandle target)
{
    uint64_t upstream =
        upstream_hash(CaroTargets_GetConst(g->targets, target));
    for (int i = 0; i < g->n_losses; i++) {
        Loss *loss = &g->losses[i];
        loss->is_refused |= loss->crash.upstream == upstream;
    }
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

/* Returns how many other upstreams the request of a loss has lost at about the
   same time.  A deadly prompt that is sent again takes one after the other. */
static int
count_lost_by_request(const CaroPromptGuard *g, const CaroPromptCrash *loss)
{
    int n;
    int count = 0;
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(g->table, &n);
    for (int i = 0; i < n; i++) {
        count += crashes[i].request == loss->request &&
                 crashes[i].upstream != loss->upstream &&
                 crashes[i].at >= loss->at - DOMAIN_LOSS_TIME;
    }
    for (int i = 0; i < g->n_losses; i++) {
        const CaroPromptCrash *c = &g->losses[i].crash;
        count += c->request == loss->request && c->upstream != loss->upstream;
    }
    return count;
}

/* The upstream was lost together with others of its failure domain, as in a
   loss of power. */
static bool
is_domain_lost(const CaroPromptGuard *g, const Loss *loss, CaroTime now)
{
    CaroTargetGroups *groups = CaroTargets_Groups(g->targets);
    int group = CaroTargets_GroupOf(g->targets, loss->target);
    if (group == CARO_NO_HANDLE) {
        return false;
    }
    int all = CaroTargetGroups_Get(groups, group).n;
    int lost = (all + DOMAIN_LOST_DIVISOR - 1) / DOMAIN_LOST_DIVISOR;
    lost = lost > DOMAIN_LOST_MIN ? lost : DOMAIN_LOST_MIN;
    CaroTime at = CaroTargetGroups_FailureOfRank(
        groups, group, lost + count_lost_by_request(g, &loss->crash), now);
    return at >= loss->crash.at - DOMAIN_LOSS_TIME;
}

/* Leaves out the parts with which responses got further just before. */
static void
remove_proven_parts(const CaroPromptGuard *g, CaroPromptCrash *crash)
{
    CaroPromptParts kept = {.n = 0};
    for (int i = 0; i < crash->parts.n; i++) {
        CaroTime passed_at = CaroPromptCrashes_PassedAt(
            g->table, crash->parts.ids[i], crash->events);
        if (passed_at == CARO_NEVER_PASSED ||
            passed_at < crash->at - PASSED_RECENTLY) {
            CaroPromptParts_Add(&kept, crash->parts.ids[i]);
        }
    }
    crash->parts = kept;
}

/* Returns the target of the loss, or NULL when this start of it is no longer
   registered. */
static const CaroTarget *
registered_target(const CaroPromptGuard *g, const Loss *loss)
{
    const CaroTarget *target = CaroTargets_GetConst(g->targets, loss->target);
    return target->is_used && upstream_hash(target) == loss->crash.upstream
               ? target
               : NULL;
}

static bool
is_heard_since(const CaroPromptGuard *g, const Loss *loss)
{
    const CaroTarget *target = registered_target(g, loss);
    return target != NULL && target->last_heard_at >
                                 loss->crash.at + HEARD_MARGIN + loss->stalled;
}

static void
record_crash(CaroPromptGuard *g, const Loss *loss, CaroTime now)
{
    char parts[CARO_PROMPT_PARTS_TEXT_SIZE];
    CaroPromptCrash crash = loss->crash;
    crash.is_domain_lost =
        registered_target(g, loss) != NULL && is_domain_lost(g, loss, now);
    remove_proven_parts(g, &crash);
    CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_CRASHES, 1);
    CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_LOSSES_DOMAIN,
                     crash.is_domain_lost ? 1 : 0);
    CaroLog_Warn("guard",
                 "An upstream crashed under a request. upstream=%016llx "
                 "request=%016llx events=%u silent=%d domain_lost=%d parts=%s",
                 (unsigned long long)crash.upstream,
                 (unsigned long long)crash.request, crash.events,
                 loss->kind == LOSS_SILENT, crash.is_domain_lost,
                 CaroPromptParts_Format(&crash.parts, parts));
    CaroPromptCrashes_Record(g->table, &crash, now);
}

/* Returns whether a crash of the upstream since the attempt began is known. */
static bool
has_crashed(const CaroPromptGuard *g, const Loss *loss)
{
    int n;
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(g->table, &n);
    for (int i = n - 1; i >= 0 && crashes[i].at >= loss->started_at; i--) {
        if (crashes[i].upstream == loss->crash.upstream) {
            return true;
        }
    }
    const CaroTarget *target = registered_target(g, loss);
    return loss->is_refused || target == NULL ||
           (!target->is_present && !target->is_missing);
}

/* Decides about a loss.  Returns false while it is to wait. */
static bool
settle_loss(CaroPromptGuard *g, const Loss *loss, CaroTime now)
{
    if (loss->waited < CONFIRM_DELAY) {
        return false;
    }
    if (loss->kind == LOSS_CLOSED && is_heard_since(g, loss)) {
        CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_LOSSES_HEARD, 1);
        CaroLog_Info("guard",
                     "An upstream was heard after a loss. upstream=%016llx "
                     "request=%016llx",
                     (unsigned long long)loss->crash.upstream,
                     (unsigned long long)loss->crash.request);
        return true;
    }
    switch (loss->kind) {
    case LOSS_CLOSED:
        break;
    case LOSS_SILENT:
        if (!has_crashed(g, loss)) {
            return loss->waited >= SILENCE_TTL;
        }
        break;
    }
    record_crash(g, loss, now);
    return true;
}

static void
settle_losses(CaroPromptGuard *g, CaroTime now)
{
    int n = 0;
    for (int i = 0; i < g->n_losses; i++) {
        if (!settle_loss(g, &g->losses[i], now)) {
            g->losses[n++] = g->losses[i];
        }
    }
    g->n_losses = n;
}

/* Adds the time since the last tick to the waits of the losses. */
static void
count_waits(CaroPromptGuard *g, CaroTime now)
{
    for (int i = 0; i < g->n_losses; i++) {
        Loss *loss = &g->losses[i];
        CaroTime at = loss->crash.at;
        CaroTime time = now - (at > g->last_tick ? at : g->last_tick);
        CaroTime counted = time < TICK_TIME_MAX ? time : TICK_TIME_MAX;
        loss->waited += counted;
        loss->stalled += time - counted;
    }
    g->last_tick = now;
}

/* Drops the crashes of upstreams that this VM has heard since.  Returns
   whether there were any. */
static bool
refute_crashes(CaroPromptGuard *g)
{
    bool has_refuted = false;
    int count = CaroTargets_Count(g->targets);
    for (CaroHandle h = 0; h < count; h++) {
        const CaroTarget *target = CaroTargets_GetConst(g->targets, h);
        int n;
        if (!target->is_used || target->last_heard_at == 0) {
            continue;
        }
        uint64_t upstream = upstream_hash(target);
        const CaroPromptCrash *c = CaroPromptCrashes_List(g->table, &n);
        while (n > 0 && (c->upstream != upstream ||
                         target->last_heard_at <= c->at + CONFIRM_DELAY)) {
            c++;
            n--;
        }
        if (n > 0) {
            CaroLog_Info("guard",
                         "An upstream was heard after its crash. upstream=%s",
                         target->entry.id);
            CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_LOSSES_HEARD, 1);
            CaroPromptCrashes_Refute(g->table, upstream);
            has_refuted = true;
        }
    }
    return has_refuted;
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
    if (verdict == CARO_VERDICT_QUARANTINE && refute_crashes(g)) {
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
    count_waits(g, now);
    settle_losses(g, now);
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

int
CaroPromptGuard_Collect(CaroPromptGuard *g, CaroPromptEvidence *out,
                        CaroTime now)
{
    if (CaroPromptCrashes_ConsumeChange(g->table)) {
        g->n_reports_due = REPORTS_PER_CHANGE;
        g->changed_at = now;
    }
    bool is_due = g->n_reports_due > 0 && now >= g->next_report;
    if (!is_due && now < g->next_repeat) {
        return 0;
    }
    g->next_repeat =
        now + (now - g->changed_at < REPEAT_TIME ? REPEAT_INTERVAL
                                                 : LATE_REPEAT_INTERVAL);
    if (is_due) {
        g->n_reports_due--;
        g->next_report = now + REPORT_INTERVAL;
    }
    if (!CaroPromptReports_Collect(g->table, out, &g->turn, now)) {
        return 0;
    }
    return is_due ? REPORT_FANOUT : 1;
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
