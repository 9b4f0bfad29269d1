/* Keeps prompts that crash upstreams from them. */
#include "internal/caro_prompt_guard.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"
#include "internal/caro_platform.h"
#include "internal/caro_prompt_quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* An upstream that is heard within this time of a loss has not crashed, unless
   within the margin: bytes that it sent before may still be unread. */
#define CONFIRM_DELAY (200 * CARO_MS)
#define HEARD_MARGIN (100 * CARO_MS)
/* Between two ticks at most this counts: in a stall of this process nothing is
   heard. */
#define TICK_TIME_MAX (40 * CARO_MS)
/* A domain is lost when at least DOMAIN_LOST_MIN of its upstreams, and one in
   DOMAIN_LOST_DIVISOR, fail in this time. */
#define DOMAIN_LOSS_TIME (300 * CARO_MS)
#define DOMAIN_LOST_MIN 2
#define DOMAIN_LOST_DIVISOR 2
#define DECISION_INTERVAL (60 * CARO_MS)
/* A change is passed on in this many reports, each to REPORT_FANOUT VMs chosen
   at random: 300 VMs are reached in five steps. */
#define REPORTS_PER_CHANGE 4
#define REPORT_FANOUT 4
#define REPORT_INTERVAL (100 * CARO_MS)
/* Evidence without a change is sent to one VM at this interval, for VMs that
   started since. */
#define REPEAT_INTERVAL (400 * CARO_MS)
/* Each VM leaves the VMs of lower rank this time to write a quarantine. */
#define RANK_DELAY (500 * CARO_MS)
/* VMs that try to write a quarantine. */
#define WRITERS_MAX 6
#define WRITE_TIMEOUT (1 * CARO_SECOND)
#define WRITE_RETRY_DELAY (2 * CARO_SECOND)

enum { LOSSES_MAX = 32 };

/* A loss of this VM that is not yet confirmed as a crash. */
typedef struct {
    CaroHandle target;
    uint64_t upstream;
    uint64_t request;
    CaroPromptParts parts;
    CaroTime at;
    CaroTime waited; /* Without stalls of this process. */
} Loss;

struct CaroPromptGuard {
    CaroPromptCrashes *table;
    const CaroTargets *targets;
    CaroStoreClient *client;
    CaroCounters *counters;
    Loss losses[LOSSES_MAX]; /* In the order of their times. */
    int n_losses;
    int n_reports_due;
    CaroTime next_report;
    CaroTime next_repeat;

    bool is_writing;
    CaroTime next_write;
    CaroPromptParts writing; /* The quarantine that is being written. */
    CaroTime writing_until;
    CaroTime next_decision;
    CaroTime last_tick;
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
    g->client = client;
    g->counters = counters;
    g->table = CaroPromptCrashes_Create();
    if (g->table == NULL) {
        free(g);
        return NULL;
    }
    return g;
}

void
CaroPromptGuard_Destroy(CaroPromptGuard *g)
{
    if (g != NULL) {
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

void
CaroPromptGuard_RecordLoss(CaroPromptGuard *g, CaroHandle target,
                           const char *request_id,
                           const CaroPromptParts *parts, CaroTime now)
{
    if (parts->n == 0) {
        return;
    }
    CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_LOSSES, 1);
    if (g->n_losses == LOSSES_MAX) {
        CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_LOSSES_DROPPED, 1);
        CaroLog_Warn("guard",
                     "A loss was dropped, too many wait to be confirmed. "
                     "id=" CARO_LOG_TEXT,
                     request_id);
        return;
    }
    g->losses[g->n_losses++] = (Loss){
        .target = target,
        .upstream = upstream_hash(CaroTargets_GetConst(g->targets, target)),
        .request = XXH64(request_id, strlen(request_id), 0),
        .parts = *parts,
        .at = now};
}

void
CaroPromptGuard_RecordBegin(CaroPromptGuard *g, const CaroPromptParts *parts,
                            CaroTime now)
{
    CaroPromptCrashes_RecordBegin(g->table, parts, now);
}

void
CaroPromptGuard_Apply(CaroPromptGuard *g, const caro_prompt_report *report,
                      CaroTime now)
{
    CaroPromptCrashes_Apply(g->table, report, now);
}

/* Returns how many other upstreams the request of a loss has lost at about the
   same time.  A deadly prompt that is sent again takes one after the other. */
static int
count_lost_by_request(const CaroPromptGuard *g, const Loss *loss)
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
        count += g->losses[i].request == loss->request &&
                 g->losses[i].upstream != loss->upstream;
    }
    return count;
}

/* The upstream was lost together with others of its failure domain, as in a
   loss of power, which no prompt causes. */
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
        groups, group, lost + count_lost_by_request(g, loss), now);
    return at >= loss->at - DOMAIN_LOSS_TIME;
}

/* Records the oldest loss as a crash unless its upstream was heard since, or
   its domain was lost. */
static void
confirm_loss(CaroPromptGuard *g, CaroTime now)
{
    const Loss *loss = &g->losses[0];
    const CaroTarget *target = CaroTargets_GetConst(g->targets, loss->target);
    bool is_same = target->is_used && upstream_hash(target) == loss->upstream;
    bool is_heard = is_same && target->last_heard_at > loss->at + HEARD_MARGIN;
    if (is_same && is_domain_lost(g, loss, now)) {
        CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_LOSSES_DOMAIN, 1);
        CaroLog_Info("guard",
                     "An upstream was lost with its domain. upstream=%016llx "
                     "domain=%s",
                     (unsigned long long)loss->upstream, target->entry.domain);
    }
    else if (is_heard) {
        CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_LOSSES_HEARD, 1);
        CaroLog_Info(
            "guard",
            "An upstream was heard after a loss. upstream=%016llx "
            "request=%016llx heard_ms=%lld",
            (unsigned long long)loss->upstream,
            (unsigned long long)loss->request,
            (long long)((target->last_heard_at - loss->at) / CARO_MS));
    }
    else {
        char parts[CARO_PROMPT_PARTS_TEXT_SIZE];
        CaroCounters_Add(g->counters, CARO_COUNT_PROMPT_CRASHES, 1);
        CaroLog_Warn("guard",
                     "An upstream crashed beginning a response. "
                     "upstream=%016llx request=%016llx parts=%s",
                     (unsigned long long)loss->upstream,
                     (unsigned long long)loss->request,
                     CaroPromptParts_Format(&loss->parts, parts));
        CaroPromptCrashes_Record(g->table, loss->upstream, loss->request,
                                 &loss->parts, loss->at, now);
    }
    g->n_losses--;
    memmove(&g->losses[0], &g->losses[1],
            (size_t)g->n_losses * sizeof(g->losses[0]));
}

/* Adds the time since the last tick to the waits of the losses. */
static void
count_waits(CaroPromptGuard *g, CaroTime now)
{
    for (int i = 0; i < g->n_losses; i++) {
        Loss *loss = &g->losses[i];
        CaroTime from = loss->at > g->last_tick ? loss->at : g->last_tick;
        CaroTime time = now - from;
        loss->waited += time < TICK_TIME_MAX ? time : TICK_TIME_MAX;
    }
    g->last_tick = now;
}

static void
decide(CaroPromptGuard *g, CaroTime now)
{
    CaroPromptParts parts;
    char text[CARO_PROMPT_PARTS_TEXT_SIZE];
    int n;
    if (!CaroPromptQuarantine_Choose(g->table, now, &parts)) {
        return;
    }
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(g->table, &n);
    int n_crashes = 0;
    CaroTime first_at = now;
    for (int i = 0; i < n; i++) {
        if (CaroPromptParts_Contain(&crashes[i].parts, &parts)) {
            first_at = n_crashes == 0 ? crashes[i].at : first_at;
            n_crashes++;
        }
    }
    if (CaroPromptCrashes_AddQuarantine(
            g->table, &parts, now, now + CARO_QUARANTINE_TTL, now) != NULL) {
        CaroCounters_Add(g->counters, CARO_COUNT_QUARANTINES, 1);
        CaroTime begun_at = CaroPromptCrashes_BegunAt(g->table, parts.ids[0]);
        CaroLog_Warn("guard",
                     "Parts of prompts were put into quarantine. parts=%s "
                     "crashes=%d first_ms=%lld begun_ms=%lld",
                     CaroPromptParts_Format(&parts, text), n_crashes,
                     (long long)((now - first_at) / CARO_MS),
                     (long long)(begun_at == CARO_NEVER_BEGUN
                                     ? -1
                                     : (now - begun_at) / CARO_MS));
    }
}

void
CaroPromptGuard_OnStored(CaroPromptGuard *g, const char *bytes, size_t size,
                         int64_t wall_ms, CaroTime now)
{
    CaroPromptParts parts;
    int64_t until_ms;
    int n;
    if (bytes == NULL ||
        CaroPlatform_ReadQuarantine(bytes, size, &parts, &until_ms) < 0 ||
        until_ms <= wall_ms) {
        return;
    }
    /* Bounded, as the wall clocks of VMs may differ. */
    CaroTime left = until_ms - CARO_QUARANTINE_TTL / CARO_MS < wall_ms
                        ? (CaroTime)(until_ms - wall_ms) * CARO_MS
                        : CARO_QUARANTINE_TTL;
    /* With the time of the decision, parts that have begun since disprove it
       also when the store's copy is read again. */
    CaroTime at = now + left - CARO_QUARANTINE_TTL;
    char text[CARO_PROMPT_PARTS_TEXT_SIZE];
    if (CaroPromptCrashes_AddQuarantine(g->table, &parts, at, now + left,
                                        now) != NULL) {
        CaroLog_Info("guard", "A quarantine was read. parts=%s",
                     CaroPromptParts_Format(&parts, text));
    }
    CaroQuarantine *all = CaroPromptCrashes_Quarantines(g->table, &n);
    for (int i = 0; i < n; i++) {
        all[i].is_stored =
            all[i].is_stored || CaroPromptParts_Contain(&all[i].parts, &parts);
    }
}

void
CaroPromptGuard_OnStoreRestored(CaroPromptGuard *g)
{
    int n;
    CaroQuarantine *all = CaroPromptCrashes_Quarantines(g->table, &n);
    for (int i = 0; i < n; i++) {
        all[i].is_stored = false;
    }
}

static void
on_written(void *context, int code, int status,
           const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroPromptGuard *g = context;
    char text[CARO_PROMPT_PARTS_TEXT_SIZE];
    int n;
    (void)response;
    (void)sent_at;
    g->is_writing = false;
    CaroQuarantine *all = CaroPromptCrashes_Quarantines(g->table, &n);
    for (int i = 0; i < n; i++) {
        /* 412: another VM has written it. */
        if (code == 0 && (status == 200 || status == 412) &&
            CaroPromptParts_Contain(&g->writing, &all[i].parts) &&
            CaroPromptParts_Contain(&all[i].parts, &g->writing)) {
            all[i].is_stored = true;
        }
    }
    CaroLog_Info("guard",
                 "A write of a quarantine ended. parts=%s code=%d status=%d",
                 CaroPromptParts_Format(&g->writing, text), code, status);
}

static void
on_lease_granted(void *context, int code, int status,
                 const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroPromptGuard *g = context;
    char key[CARO_STORE_KEY_SIZE];
    char name[CARO_NAME_SIZE];
    CaroStoreCall call;
    (void)sent_at;
    g->is_writing = false;
    if (code < 0 || status != 200) {
        return;
    }
    int64_t left_ms = (g->writing_until - CaroClock_Now()) / CARO_MS;
    char *value = CaroPlatform_WriteQuarantine(
        &g->writing, (int64_t)CaroClock_WallMs() + left_ms);
    (void)snprintf(name, sizeof(name), "%016llx",
                   (unsigned long long)XXH64(
                       g->writing.ids,
                       (size_t)g->writing.n * sizeof(g->writing.ids[0]), 0));
    CaroPlatform_WriteKey(key, sizeof(key), CARO_KEY_QUARANTINE, name);
    if (value != NULL &&
        CaroPlatform_CallPut(&call, key, value, 0, response->lease) == 0) {
        g->is_writing = true;
        CaroStoreClient_Call(g->client, &call, WRITE_TIMEOUT, on_written, g);
    }
    free(value);
}

/* Writes one quarantine that is not in the store: requests a lease, and then
   creates the key under it. */
static void
write_quarantines(CaroPromptGuard *g, int rank, CaroTime now)
{
    int n;
    CaroStoreCall call;
    CaroQuarantine *all = CaroPromptCrashes_Quarantines(g->table, &n);
    if (g->client == NULL || g->is_writing || now < g->next_write ||
        rank >= WRITERS_MAX) {
        return;
    }
    for (int i = 0; i < n; i++) {
        const CaroQuarantine *q = &all[i];
        CaroTime left = q->expires_at - now;
        if (q->is_stored || q->is_lifted || left < CARO_SECOND ||
            now - q->received_at < rank * RANK_DELAY) {
            continue;
        }
        if (CaroPlatform_CallLease(&call, left) == 0) {
            g->writing = q->parts;
            g->writing_until = q->expires_at;
            g->is_writing = true;
            g->next_write = now + WRITE_RETRY_DELAY;
            CaroStoreClient_Call(g->client, &call, WRITE_TIMEOUT,
                                 on_lease_granted, g);
        }
        return;
    }
}

void
CaroPromptGuard_Tick(CaroPromptGuard *g, int rank, CaroTime now)
{
    count_waits(g, now);
    while (g->n_losses > 0 && g->losses[0].waited >= CONFIRM_DELAY) {
        confirm_loss(g, now);
    }
    if (now >= g->next_decision) {
        g->next_decision = now + DECISION_INTERVAL;
        CaroPromptCrashes_Tick(g->table, now);
        decide(g, now);
    }
    write_quarantines(g, rank, now);
}

int
CaroPromptGuard_Collect(CaroPromptGuard *g, CaroPromptReport *out,
                        CaroTime now)
{
    if (CaroPromptCrashes_ConsumeChange(g->table)) {
        g->n_reports_due = REPORTS_PER_CHANGE;
    }
    bool is_due = g->n_reports_due > 0 && now >= g->next_report;
    if (!is_due && now < g->next_repeat) {
        return 0;
    }
    g->next_repeat = now + REPEAT_INTERVAL;
    if (is_due) {
        g->n_reports_due--;
        g->next_report = now + REPORT_INTERVAL;
    }
    if (!CaroPromptCrashes_Collect(g->table, out, now)) {
        return 0;
    }
    return is_due ? REPORT_FANOUT : 1;
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
            json_pack("{s:s, s:I, s:I, s:b, s:b}", "parts",
                      CaroPromptParts_Format(&all[i].parts, text), "age_ms",
                      (json_int_t)((now - all[i].at) / CARO_MS), "left_ms",
                      (json_int_t)((all[i].expires_at - now) / CARO_MS),
                      "lifted", all[i].is_lifted, "stored", all[i].is_stored));
    }
    return list;
}
