/* Attempts that upstreams may have ended by crashing. */
#include "internal/caro_prompt_losses.h"

#include "internal/caro_log.h"

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
/* A domain is lost when at least DOMAIN_LOST_MIN of its upstreams, and one in
   DOMAIN_LOST_DIVISOR, fail in this time. */
#define DOMAIN_LOSS_TIME (300 * CARO_MS)
#define DOMAIN_LOST_MIN 2
#define DOMAIN_LOST_DIVISOR 2

enum { LOSSES_MAX = 512 };

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

struct CaroPromptLosses {
    const CaroTargets *targets;
    CaroPromptCrashes *table;
    CaroCounters *counters;
    Loss all[LOSSES_MAX];
    int n;
    CaroTime last_tick;
};

CaroPromptLosses *
CaroPromptLosses_Create(const CaroTargets *targets, CaroPromptCrashes *table,
                        CaroCounters *counters)
{
    CaroPromptLosses *l = calloc(1, sizeof(*l));
    if (l != NULL) {
        l->targets = targets;
        l->table = table;
        l->counters = counters;
    }
    return l;
}

void
CaroPromptLosses_Destroy(CaroPromptLosses *l)
{
    free(l);
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

/* Returns an unconfirmed loss of the kind at the upstream of a request with
   the same parts, or NULL. */
static Loss *
find_loss(CaroPromptLosses *l, LossKind kind, const CaroPromptCrash *crash)
{
    for (int i = 0; i < l->n; i++) {
        const CaroPromptCrash *c = &l->all[i].crash;
        if (l->all[i].kind == kind && c->upstream == crash->upstream &&
            CaroPromptParts_Equal(&c->parts, &crash->parts)) {
            return &l->all[i];
        }
    }
    return NULL;
}

static void
add_loss(CaroPromptLosses *l, LossKind kind, const CaroPromptAttempt *attempt,
         CaroTime now)
{
    const CaroTarget *target =
        CaroTargets_GetConst(l->targets, attempt->target);
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
    CaroCounters_Add(l->counters, CARO_COUNT_PROMPT_LOSSES, 1);
    Loss *known = find_loss(l, kind, &crash);
    if (known != NULL) {
        known->crash.events = crash.events < known->crash.events
                                  ? crash.events
                                  : known->crash.events;
        return;
    }
    if (is_leaving || l->n == LOSSES_MAX) {
        CaroCounters_Add(l->counters, CARO_COUNT_PROMPT_LOSSES_DROPPED, 1);
        CaroLog_Info("guard",
                     "A loss is no evidence. id=" CARO_LOG_TEXT
                     " reason=\"%s\"",
                     attempt->request_id,
                     is_leaving ? "the upstream leaves"
                                : "too many wait to be confirmed");
        return;
    }
    l->all[l->n++] = (Loss){.kind = kind,
                            .target = attempt->target,
                            .crash = crash,
                            .started_at = attempt->started_at};
}

void
CaroPromptLosses_RecordClose(CaroPromptLosses *l,
                             const CaroPromptAttempt *attempt, CaroTime now)
{
    add_loss(l, LOSS_CLOSED, attempt, now);
}

void
CaroPromptLosses_RecordSilence(CaroPromptLosses *l,
                               const CaroPromptAttempt *attempt, CaroTime now)
{
    if (attempt->parts->n > 0) {
        add_loss(l, LOSS_SILENT, attempt, now);
    }
}

void
CaroPromptLosses_RecordRefusedConnection(CaroPromptLosses *l,
                                         CaroHandle target)
{
    uint64_t upstream =
        upstream_hash(CaroTargets_GetConst(l->targets, target));
    for (int i = 0; i < l->n; i++) {
        Loss *loss = &l->all[i];
        loss->is_refused |= loss->crash.upstream == upstream;
    }
}

/* Returns how many upstreams are lost under the part by losses that are not
   yet confirmed. */
int
CaroPromptLosses_CountUnconfirmed(const CaroPromptLosses *l, uint64_t part)
{
    int count = 0;
    for (int i = 0; i < l->n; i++) {
        const Loss *loss = &l->all[i];
        bool is_counted = loss->kind != LOSS_CLOSED ||
                          !CaroPromptParts_Has(&loss->crash.parts, part);
        for (int j = 0; j < i && !is_counted; j++) {
            is_counted = l->all[j].crash.upstream == loss->crash.upstream &&
                         CaroPromptParts_Has(&l->all[j].crash.parts, part);
        }
        count += !is_counted;
    }
    return count;
}

/* Returns how many other upstreams the request of a loss has lost at about the
   same time.  A deadly prompt that is sent again takes one after the other. */
static int
count_lost_by_request(const CaroPromptLosses *l, const CaroPromptCrash *loss)
{
    int n;
    int count = 0;
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(l->table, &n);
    for (int i = 0; i < n; i++) {
        count += crashes[i].request == loss->request &&
                 crashes[i].upstream != loss->upstream &&
                 crashes[i].at >= loss->at - DOMAIN_LOSS_TIME;
    }
    for (int i = 0; i < l->n; i++) {
        const CaroPromptCrash *c = &l->all[i].crash;
        count += c->request == loss->request && c->upstream != loss->upstream;
    }
    return count;
}

/* The upstream was lost together with others of its failure domain, as in a
   loss of power. */
static bool
is_domain_lost(const CaroPromptLosses *l, const Loss *loss, CaroTime now)
{
    CaroTargetGroups *groups = CaroTargets_Groups(l->targets);
    int group = CaroTargets_GroupOf(l->targets, loss->target);
    if (group == CARO_NO_HANDLE) {
        return false;
    }
    int all = CaroTargetGroups_Get(groups, group).n;
    int lost = (all + DOMAIN_LOST_DIVISOR - 1) / DOMAIN_LOST_DIVISOR;
    lost = lost > DOMAIN_LOST_MIN ? lost : DOMAIN_LOST_MIN;
    CaroTime at = CaroTargetGroups_FailureOfRank(
        groups, group, lost + count_lost_by_request(l, &loss->crash), now);
    return at >= loss->crash.at - DOMAIN_LOSS_TIME;
}

/* Leaves out the parts with which responses got further just before. */
static void
remove_proven_parts(const CaroPromptLosses *l, CaroPromptCrash *crash)
{
    CaroPromptParts kept = {.n = 0};
    for (int i = 0; i < crash->parts.n; i++) {
        CaroTime passed_at = CaroPromptCrashes_PassedAt(
            l->table, crash->parts.ids[i], crash->events);
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
registered_target(const CaroPromptLosses *l, const Loss *loss)
{
    const CaroTarget *target = CaroTargets_GetConst(l->targets, loss->target);
    return target->is_used && upstream_hash(target) == loss->crash.upstream
               ? target
               : NULL;
}

static bool
is_heard_since(const CaroPromptLosses *l, const Loss *loss)
{
    const CaroTarget *target = registered_target(l, loss);
    return target != NULL && target->last_heard_at >
                                 loss->crash.at + HEARD_MARGIN + loss->stalled;
}

static void
record_crash(CaroPromptLosses *l, const Loss *loss, CaroTime now)
{
    char parts[CARO_PROMPT_PARTS_TEXT_SIZE];
    CaroPromptCrash crash = loss->crash;
    crash.is_domain_lost =
        registered_target(l, loss) != NULL && is_domain_lost(l, loss, now);
    remove_proven_parts(l, &crash);
    CaroCounters_Add(l->counters, CARO_COUNT_PROMPT_CRASHES, 1);
    CaroCounters_Add(l->counters, CARO_COUNT_PROMPT_LOSSES_DOMAIN,
                     crash.is_domain_lost ? 1 : 0);
    CaroLog_Warn("guard",
                 "An upstream crashed under a request. upstream=%016llx "
                 "request=%016llx events=%u silent=%d domain_lost=%d parts=%s",
                 (unsigned long long)crash.upstream,
                 (unsigned long long)crash.request, crash.events,
                 loss->kind == LOSS_SILENT, crash.is_domain_lost,
                 CaroPromptParts_Format(&crash.parts, parts));
    CaroPromptCrashes_Record(l->table, &crash, now);
}

/* Returns whether a crash of the upstream since the attempt began is known. */
static bool
has_crashed(const CaroPromptLosses *l, const Loss *loss)
{
    int n;
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(l->table, &n);
    for (int i = n - 1; i >= 0 && crashes[i].at >= loss->started_at; i--) {
        if (crashes[i].upstream == loss->crash.upstream) {
            return true;
        }
    }
    const CaroTarget *target = registered_target(l, loss);
    return loss->is_refused || target == NULL ||
           (!target->is_present && !target->is_missing);
}

/* Decides about a loss.  Returns false while it is to wait. */
static bool
settle_loss(CaroPromptLosses *l, const Loss *loss, CaroTime now)
{
    if (loss->waited < CONFIRM_DELAY) {
        return false;
    }
    if (loss->kind == LOSS_CLOSED && is_heard_since(l, loss)) {
        CaroCounters_Add(l->counters, CARO_COUNT_PROMPT_LOSSES_HEARD, 1);
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
        if (!has_crashed(l, loss)) {
            return loss->waited >= SILENCE_TTL;
        }
        break;
    }
    record_crash(l, loss, now);
    return true;
}

static void
settle_losses(CaroPromptLosses *l, CaroTime now)
{
    int n = 0;
    for (int i = 0; i < l->n; i++) {
        if (!settle_loss(l, &l->all[i], now)) {
            l->all[n++] = l->all[i];
        }
    }
    l->n = n;
}

/* Adds the time since the last tick to the waits of the losses. */
static void
count_waits(CaroPromptLosses *l, CaroTime now)
{
    for (int i = 0; i < l->n; i++) {
        Loss *loss = &l->all[i];
        CaroTime at = loss->crash.at;
        CaroTime time = now - (at > l->last_tick ? at : l->last_tick);
        CaroTime counted = time < TICK_TIME_MAX ? time : TICK_TIME_MAX;
        loss->waited += counted;
        loss->stalled += time - counted;
    }
    l->last_tick = now;
}

/* Drops the crashes of upstreams that this VM has heard since.  Returns
   whether there were any. */
bool
CaroPromptLosses_RefuteCrashes(CaroPromptLosses *l)
{
    bool has_refuted = false;
    int count = CaroTargets_Count(l->targets);
    for (CaroHandle h = 0; h < count; h++) {
        const CaroTarget *target = CaroTargets_GetConst(l->targets, h);
        int n;
        if (!target->is_used || target->last_heard_at == 0) {
            continue;
        }
        uint64_t upstream = upstream_hash(target);
        const CaroPromptCrash *c = CaroPromptCrashes_List(l->table, &n);
        while (n > 0 && (c->upstream != upstream ||
                         target->last_heard_at <= c->at + CONFIRM_DELAY)) {
            c++;
            n--;
        }
        if (n > 0) {
            CaroLog_Info("guard",
                         "An upstream was heard after its crash. upstream=%s",
                         target->entry.id);
            CaroCounters_Add(l->counters, CARO_COUNT_PROMPT_LOSSES_HEARD, 1);
            CaroPromptCrashes_Refute(l->table, upstream);
            has_refuted = true;
        }
    }
    return has_refuted;
}

void
CaroPromptLosses_Tick(CaroPromptLosses *l, CaroTime now)
{
    count_waits(l, now);
    settle_losses(l, now);
}
