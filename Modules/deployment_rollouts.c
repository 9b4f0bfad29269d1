/*
 * Moves of deployments between versions at this VM.
 *
 * Every node computes the share from the declared times, gives samples of
 * both versions to the test, and exchanges what it saw in heartbeats.  A
 * node whose test says the new version is bad sets a flag that only ever
 * sets and rides on heartbeats too; no node sends new work there once it
 * knows the flag.  The store is needed only to write the end down.
 */
#include "internal/caro_deployment_rollouts.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"
#include "internal/caro_router.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define WRITE_RETRY (2 * CARO_SECOND)

/* A sample is bad when it is slower than the old version by so much. */
#define SLOW_FACTOR 2.0
#define SLOW_FIRST_MS 100.0
#define SLOW_GAP_MS 10.0
#define USUAL_ALPHA 0.05

enum { GAPS_JUDGED = 32 /* Gaps of a generation that are one sample. */ };

struct CaroDeploymentRollouts {
    CaroCommon common;
    CaroConfigManager *keeper;
    CaroBadVersionFound flagged;
    void *context;
    CaroDeploymentRollout moves[CARO_ROLLOUTS_MAX];
    bool is_changing; /* A move's end is being written. */
    CaroTime next_write;
};

CaroDeploymentRollouts *
CaroDeploymentRollouts_Create(const CaroCommon *common,
                              CaroConfigManager *keeper,
                              CaroBadVersionFound flagged, void *context)
{
    CaroDeploymentRollouts *v = calloc(1, sizeof(*v));
    if (v != NULL) {
        v->common = *common;
        v->keeper = keeper;
        v->flagged = flagged;
        v->context = context;
    }
    return v;
}

void
CaroDeploymentRollouts_Destroy(CaroDeploymentRollouts *v)
{
    if (v == NULL) {
        return;
    }
    for (int i = 0; i < CARO_ROLLOUTS_MAX; i++) {
        CaroCanaryTest_Destroy(v->moves[i].rollout);
    }
    free(v);
}

const CaroRolloutPace *
CaroDeploymentRollouts_Pace(const CaroDeploymentRollouts *v)
{
    return v->common.settings->has_quick_rollouts ? &CARO_PACE_QUICK
                                                  : &CARO_PACE_CAREFUL;
}

static uint64_t
move_id(const CaroDeployment *d)
{
    uint64_t h = XXH64(d->name, strlen(d->name), 0);
    h = XXH64(d->rollout.to, strlen(d->rollout.to), h);
    return XXH64(&d->rollout.start_ms, sizeof(d->rollout.start_ms), h) | 1;
}

static CaroDeploymentRollout *
find_move(CaroDeploymentRollouts *v, const char *deployment)
{
    for (int i = 0; i < CARO_ROLLOUTS_MAX; i++) {
        CaroDeploymentRollout *m = &v->moves[i];
        if (m->id != 0 && strcmp(m->deployment, deployment) == 0) {
            return m;
        }
    }
    return NULL;
}

const CaroDeploymentRollout *
CaroDeploymentRollouts_Find(const CaroDeploymentRollouts *v,
                            const char *deployment)
{
    return find_move((CaroDeploymentRollouts *)v, deployment);
}

static void
begin_move(CaroDeploymentRollouts *v, const CaroDeployment *d)
{
    CaroDeploymentRollout *free_move = NULL;
    for (int i = 0; i < CARO_ROLLOUTS_MAX && free_move == NULL; i++) {
        free_move = v->moves[i].id == 0 ? &v->moves[i] : NULL;
    }
    if (free_move == NULL) {
        CaroLog_Error("rollout", "Too many moves at once. deployment=%s",
                      d->name);
        return;
    }
    memset(free_move, 0, sizeof(*free_move));
    free_move->rollout = CaroCanaryTest_Create();
    if (free_move->rollout == NULL) {
        return;
    }
    free_move->id = move_id(d);
    free_move->plan = d->rollout;
    CARO_COPY(free_move->deployment, d->name);
    CaroDecisions_Add(v->common.decisions, CaroClock_WallMs(), "rollout",
                      d->name, "move begun",
                      "from %s to %s, by %" PRId64 " ms", d->rollout.from,
                      d->rollout.to, d->rollout.end_ms);
}

static void
end_move(CaroDeploymentRollout *m)
{
    CaroCanaryTest_Destroy(m->rollout);
    memset(m, 0, sizeof(*m));
}

void
CaroDeploymentRollouts_Apply(CaroDeploymentRollouts *v,
                             const CaroConfig *config)
{
    for (int i = 0; i < CARO_ROLLOUTS_MAX; i++) {
        CaroDeploymentRollout *m = &v->moves[i];
        const CaroDeployment *d =
            m->id == 0 ? NULL : CaroConfig_Deployment(config, m->deployment);
        bool is_same = d != NULL && d->rollout.state == CARO_ROLLOUT_RUNNING &&
                       move_id(d) == m->id;
        if (m->id != 0 && !is_same) {
            end_move(m);
        }
    }
    for (int i = 0; i < config->n_deployments; i++) {
        const CaroDeployment *d = &config->deployments[i];
        if (d->rollout.state == CARO_ROLLOUT_RUNNING &&
            find_move(v, d->name) == NULL) {
            begin_move(v, d);
        }
    }
}

static int
rank_for(const CaroDeploymentRollouts *v, const CaroDeploymentRollout *m)
{
    uint64_t own =
        XXH64(v->common.settings->vm, strlen(v->common.settings->vm), m->id);
    int rank = 0;
    for (CaroHandle h = 1; h < CaroMembership_Count(v->common.membership);
         h++) {
        const char *name = CaroMembership_Get(v->common.membership, h)->name;
        rank += CaroMembership_IsUsable(v->common.membership, h) &&
                XXH64(name, strlen(name), m->id) > own;
    }
    return rank;
}

void
CaroDeploymentRollouts_Pick(CaroDeploymentRollouts *v, const char *deployment,
                            CaroVersionChoice *choice, int64_t now_ms)
{
    const CaroConfig *config = CaroConfigManager_Get(v->keeper);
    const CaroDeployment *d = CaroConfig_Deployment(config, deployment);
    const CaroDeploymentRollout *m = find_move(v, deployment);
    choice->is_new = false;
    if (d == NULL) {
        return;
    }
    CARO_COPY(choice->version, d->version);
    if (m == NULL) {
        return;
    }
    double share = CaroRolloutPlan_Share(
        &m->plan, CaroDeploymentRollouts_Pace(v), now_ms);
    double own = CaroRolloutPlan_VmShare(
        share, rank_for(v, m),
        CaroMembership_CountUsable(v->common.membership));
    double drawn = (double)(CaroRandom_Next(v->common.rng) >> 11) * 0x1.0p-53;
    choice->is_new = !CaroCanaryTest_IsBad(m->rollout) && drawn < own;
    CARO_COPY(choice->version, choice->is_new ? m->plan.to : m->plan.from);
}

void
CaroDeploymentRollouts_RecheckVersion(CaroDeploymentRollouts *v,
                                      const char *deployment,
                                      CaroVersionChoice *choice)
{
    const CaroDeploymentRollout *m = find_move(v, deployment);
    if (m != NULL && choice->is_new && CaroCanaryTest_IsBad(m->rollout)) {
        CARO_COPY(choice->version, m->plan.from);
        choice->is_new = false;
    }
}

static void
give_sample(CaroDeploymentRollout *m, const char *account,
            CaroVersionChoice *choice, bool is_bad)
{
    if (choice->is_sampled) {
        return;
    }
    choice->is_sampled = true;
    uint64_t route = XXH64(account, strlen(account), 0);
    CaroCanaryTest_AddSample(m->rollout, choice->is_new, route, is_bad,
                             CaroClock_WallMs());
}

static void
learn_usual(double *usual, double value)
{
    *usual = *usual <= 0.0 ? value : *usual + USUAL_ALPHA * (value - *usual);
}

void
CaroDeploymentRollouts_SampleFirst(CaroDeploymentRollouts *v,
                                   const char *deployment, const char *account,
                                   CaroVersionChoice *choice, CaroTime wait)
{
    CaroDeploymentRollout *m = find_move(v, deployment);
    double ms = (double)wait / CARO_MS;
    if (m == NULL) {
        return;
    }
    bool is_slow =
        m->first_ms > 0.0 && ms > SLOW_FACTOR * m->first_ms + SLOW_FIRST_MS;
    if (!choice->is_new && !is_slow) {
        learn_usual(&m->first_ms, ms);
    }
    if (is_slow) {
        give_sample(m, account, choice, true);
    }
}

void
CaroDeploymentRollouts_SampleGap(CaroDeploymentRollouts *v,
                                 const char *deployment, const char *account,
                                 CaroVersionChoice *choice, CaroTime gap,
                                 bool is_last)
{
    CaroDeploymentRollout *m = find_move(v, deployment);
    if (m == NULL || choice->is_sampled) {
        return;
    }
    choice->gap_sum_ms += (double)gap / CARO_MS;
    choice->gaps++;
    if (choice->gaps < GAPS_JUDGED && !is_last) {
        return;
    }
    double mean = choice->gap_sum_ms / choice->gaps;
    bool is_slow =
        m->gap_ms > 0.0 && mean > SLOW_FACTOR * m->gap_ms + SLOW_GAP_MS;
    if (!choice->is_new && !is_slow) {
        learn_usual(&m->gap_ms, mean);
    }
    give_sample(m, account, choice, is_slow);
}

void
CaroDeploymentRollouts_SampleFailure(CaroDeploymentRollouts *v,
                                     const char *deployment,
                                     const char *account,
                                     CaroVersionChoice *choice)
{
    CaroDeploymentRollout *m = find_move(v, deployment);
    if (m != NULL) {
        give_sample(m, account, choice, true);
    }
}

int
CaroDeploymentRollouts_CollectEvidence(
    const CaroDeploymentRollouts *v,
    caro_rollout_evidence news[CARO_ROLLOUTS_MAX])
{
    int count = 0;
    for (int i = 0; i < CARO_ROLLOUTS_MAX; i++) {
        const CaroDeploymentRollout *m = &v->moves[i];
        if (m->id == 0) {
            continue;
        }
        CaroCanaryStatistics stakes;
        CaroCanaryTest_Export(m->rollout, &stakes);
        caro_rollout_evidence *out = &news[count++];
        out->rollout_id = m->id;
        out->is_bad = CaroCanaryTest_IsBad(m->rollout);
        memcpy(out->logs, stakes.logs, sizeof(stakes.logs));
        out->old_all = stakes.old_all;
        out->old_bad = stakes.old_bad;
    }
    return count;
}

void
CaroDeploymentRollouts_ApplyEvidence(CaroDeploymentRollouts *v, CaroHandle vm,
                                     const caro_rollout_evidence *news,
                                     int count)
{
    for (int i = 0; i < count; i++) {
        for (int j = 0; j < CARO_ROLLOUTS_MAX; j++) {
            CaroDeploymentRollout *m = &v->moves[j];
            if (m->id == 0 || m->id != news[i].rollout_id) {
                continue;
            }
            CaroCanaryStatistics stakes = {.old_all = news[i].old_all,
                                           .old_bad = news[i].old_bad};
            memcpy(stakes.logs, news[i].logs, sizeof(stakes.logs));
            CaroCanaryTest_Import(m->rollout, vm, &stakes);
            if (news[i].is_bad) {
                CaroCanaryTest_MarkBad(m->rollout);
            }
        }
    }
}

/* Logs the flag once and passes it on at once. */
static void
tell_flag(CaroDeploymentRollouts *v, CaroDeploymentRollout *m)
{
    char text[96];
    m->is_told = true;
    (void)CaroCanaryTest_FormatEvidence(m->rollout, text, sizeof(text));
    CaroLog_Warn("rollout",
                 "A version is taken back. deployment=%s "
                 "version=%s evidence=\"%s\"",
                 m->deployment, m->plan.to, text);
    CaroDecisions_Add(v->common.decisions, CaroClock_WallMs(), "rollout",
                      m->deployment, "taken back", "%s: %s", m->plan.to, text);
    v->flagged(v->context);
}

static void
on_end_written(void *context, int code, uint64_t revision, const char *text)
{
    CaroDeploymentRollouts *v = context;
    v->is_changing = false;
    if (code < 0) {
        CaroLog_Warn("rollout",
                     "The end of a move is not written. "
                     "error=\"%s\"",
                     text);
        return;
    }
    CaroLog_Info("rollout", "The end of a move is written. revision=%" PRIu64,
                 revision);
}

/* Writes "done" or "undone" into the configuration. */
static void
write_end(CaroDeploymentRollouts *v, CaroDeploymentRollout *m, bool is_done)
{
    const CaroConfig *config = CaroConfigManager_Get(v->keeper);
    json_t *root = json_loadb(config->text, config->text_size, 0, NULL);
    json_t *d = CaroConfig_FindJson(root, "deployments", m->deployment);
    json_t *rollout = json_object_get(d, "rollout");
    if (rollout != NULL) {
        char reason[96] = "";
        if (is_done) {
            json_object_set_new(d, "version", json_string(m->plan.to));
        }
        else {
            (void)CaroCanaryTest_FormatEvidence(m->rollout, reason,
                                                sizeof(reason));
        }
        json_object_set_new(rollout, "state",
                            json_string(is_done ? "done" : "undone"));
        json_object_set_new(rollout, "reason", json_string(reason));
        v->is_changing = true;
        CaroDecisions_Add(v->common.decisions, CaroClock_WallMs(), "rollout",
                          m->deployment, is_done ? "done" : "undone", "%s",
                          is_done ? "the declared time has come, no fault"
                                  : reason);
        CaroConfigManager_Write(v->keeper, root, "rollout", on_end_written, v);
    }
    json_decref(root);
}

void
CaroDeploymentRollouts_Tick(CaroDeploymentRollouts *v, CaroTime now)
{
    int64_t now_ms = CaroClock_WallMs();
    for (int i = 0; i < CARO_ROLLOUTS_MAX; i++) {
        CaroDeploymentRollout *m = &v->moves[i];
        if (m->id == 0) {
            continue;
        }
        CaroCanaryTest_Tick(m->rollout, now_ms);
        bool is_bad = CaroCanaryTest_IsBad(m->rollout);
        if (is_bad && !m->is_told) {
            tell_flag(v, m);
        }
        bool is_over = is_bad || now_ms >= m->plan.end_ms;
        /* Two VMs of a region write the end; the store lets one win. */
        if (is_over && !v->is_changing && now >= v->next_write &&
            CaroMembership_IsChosen(v->common.membership, "moves", 2)) {
            v->next_write = now + WRITE_RETRY;
            write_end(v, m, !is_bad);
            return;
        }
    }
}
