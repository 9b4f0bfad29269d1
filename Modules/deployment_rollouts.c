/*
 * Rollouts of deployments from one version to another at this VM.
 *
 * Every VM computes the share of the new version from the configured times,
 * adds samples of both versions to the test, and exchanges the test's
 * statistics in heartbeats.  A VM whose test finds the new version bad sets
 * a flag that is never cleared and is sent with heartbeats too; no VM sends
 * new work to that version once it has the flag.  The store is needed only
 * to write the outcome.
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

#define WRITE_RETRY_DELAY (2 * CARO_SECOND)

/* A measurement is slow when it exceeds this multiple of the old version's
   baseline plus the constant of its kind. */
#define SLOW_FACTOR 2.0
#define SLOW_FIRST_MS 100.0
#define SLOW_GAP_MS 10.0
/* Weight of a new measurement in the moving average of a baseline. */
#define BASELINE_WEIGHT 0.05

/* The mean of this many gaps of a generation is one sample. */
enum { GAPS_PER_SAMPLE = 32 };

enum { OUTCOME_WRITERS_PER_REGION = 2 };

struct CaroDeploymentRollouts {
    CaroCommon common;
    CaroConfigManager *manager;
    CaroBadVersionFound bad_version_found;
    void *context;
    CaroDeploymentRollout rollouts[CARO_ROLLOUTS_MAX];
    bool is_writing; /* A write of an outcome is in progress. */
    CaroTime next_write_at;
};

CaroDeploymentRollouts *
CaroDeploymentRollouts_Create(const CaroCommon *common,
                              CaroConfigManager *manager,
                              CaroBadVersionFound bad_version_found,
                              void *context)
{
    CaroDeploymentRollouts *r = calloc(1, sizeof(*r));
    if (r != NULL) {
        r->common = *common;
        r->manager = manager;
        r->bad_version_found = bad_version_found;
        r->context = context;
    }
    return r;
}

void
CaroDeploymentRollouts_Destroy(CaroDeploymentRollouts *r)
{
    if (r == NULL) {
        return;
    }
    for (int i = 0; i < CARO_ROLLOUTS_MAX; i++) {
        CaroCanaryTest_Destroy(r->rollouts[i].canary_test);
    }
    free(r);
}

const CaroRolloutPace *
CaroDeploymentRollouts_Pace(const CaroDeploymentRollouts *r)
{
    return r->common.settings->has_quick_rollouts ? &CARO_PACE_QUICK
                                                  : &CARO_PACE_CAREFUL;
}

/* Never 0, which marks an unused entry of the table. */
static uint64_t
rollout_id(const CaroDeployment *d)
{
    uint64_t h = XXH64(d->name, strlen(d->name), 0);
    h = XXH64(d->rollout.to, strlen(d->rollout.to), h);
    return XXH64(&d->rollout.start_ms, sizeof(d->rollout.start_ms), h) | 1;
}

static CaroDeploymentRollout *
find_rollout(CaroDeploymentRollouts *r, const char *deployment)
{
    for (int i = 0; i < CARO_ROLLOUTS_MAX; i++) {
        CaroDeploymentRollout *rollout = &r->rollouts[i];
        if (rollout->id != 0 && strcmp(rollout->deployment, deployment) == 0) {
            return rollout;
        }
    }
    return NULL;
}

const CaroDeploymentRollout *
CaroDeploymentRollouts_Find(const CaroDeploymentRollouts *r,
                            const char *deployment)
{
    return find_rollout((CaroDeploymentRollouts *)r, deployment);
}

static void
begin_rollout(CaroDeploymentRollouts *r, const CaroDeployment *d)
{
    CaroDeploymentRollout *unused = NULL;
    for (int i = 0; i < CARO_ROLLOUTS_MAX && unused == NULL; i++) {
        unused = r->rollouts[i].id == 0 ? &r->rollouts[i] : NULL;
    }
    if (unused == NULL) {
        CaroLog_Error("rollout", "The rollout table is full. deployment=%s",
                      d->name);
        return;
    }
    memset(unused, 0, sizeof(*unused));
    unused->canary_test = CaroCanaryTest_Create();
    if (unused->canary_test == NULL) {
        return;
    }
    unused->id = rollout_id(d);
    unused->plan = d->rollout;
    CARO_COPY(unused->deployment, d->name);
    CaroDecisions_Add(r->common.decisions, CaroClock_WallMs(), "rollout",
                      d->name, "move begun",
                      "from %s to %s, by %" PRId64 " ms", d->rollout.from,
                      d->rollout.to, d->rollout.end_ms);
}

static void
end_rollout(CaroDeploymentRollout *rollout)
{
    CaroCanaryTest_Destroy(rollout->canary_test);
    memset(rollout, 0, sizeof(*rollout));
}

void
CaroDeploymentRollouts_Apply(CaroDeploymentRollouts *r,
                             const CaroConfig *config)
{
    for (int i = 0; i < CARO_ROLLOUTS_MAX; i++) {
        CaroDeploymentRollout *rollout = &r->rollouts[i];
        const CaroDeployment *d =
            rollout->id == 0
                ? NULL
                : CaroConfig_Deployment(config, rollout->deployment);
        bool is_same = d != NULL && d->rollout.state == CARO_ROLLOUT_RUNNING &&
                       rollout_id(d) == rollout->id;
        if (rollout->id != 0 && !is_same) {
            end_rollout(rollout);
        }
    }
    for (int i = 0; i < config->n_deployments; i++) {
        const CaroDeployment *d = &config->deployments[i];
        if (d->rollout.state == CARO_ROLLOUT_RUNNING &&
            find_rollout(r, d->name) == NULL) {
            begin_rollout(r, d);
        }
    }
}

/* Returns this VM's place, from 0, in an order of the usable VMs that differs
   between rollouts. */
static int
own_rank(const CaroDeploymentRollouts *r, const CaroDeploymentRollout *rollout)
{
    uint64_t own_hash = XXH64(r->common.settings->vm,
                              strlen(r->common.settings->vm), rollout->id);
    int rank = 0;
    for (CaroHandle h = 1; h < CaroMembership_Count(r->common.membership);
         h++) {
        const char *name = CaroMembership_Get(r->common.membership, h)->name;
        rank += CaroMembership_IsUsable(r->common.membership, h) &&
                XXH64(name, strlen(name), rollout->id) > own_hash;
    }
    return rank;
}

void
CaroDeploymentRollouts_ChooseVersion(CaroDeploymentRollouts *r,
                                     const char *deployment,
                                     CaroVersionChoice *choice, int64_t now_ms)
{
    const CaroConfig *config = CaroConfigManager_Get(r->manager);
    const CaroDeployment *d = CaroConfig_Deployment(config, deployment);
    const CaroDeploymentRollout *rollout = find_rollout(r, deployment);
    choice->is_new = false;
    if (d == NULL) {
        return;
    }
    CARO_COPY(choice->version, d->version);
    if (rollout == NULL) {
        return;
    }
    double share = CaroRolloutPlan_Share(
        &rollout->plan, CaroDeploymentRollouts_Pace(r), now_ms);
    double vm_share = CaroRolloutPlan_VmShare(
        share, own_rank(r, rollout),
        CaroMembership_CountUsable(r->common.membership));
    double drawn = (double)(CaroRandom_Next(r->common.rng) >> 11) * 0x1.0p-53;
    choice->is_new =
        !CaroCanaryTest_IsBad(rollout->canary_test) && drawn < vm_share;
    CARO_COPY(choice->version,
              choice->is_new ? rollout->plan.to : rollout->plan.from);
}

void
CaroDeploymentRollouts_RecheckVersion(CaroDeploymentRollouts *r,
                                      const char *deployment,
                                      CaroVersionChoice *choice)
{
    const CaroDeploymentRollout *rollout = find_rollout(r, deployment);
    if (rollout != NULL && choice->is_new &&
        CaroCanaryTest_IsBad(rollout->canary_test)) {
        CARO_COPY(choice->version, rollout->plan.from);
        choice->is_new = false;
    }
}

static void
add_sample(CaroDeploymentRollout *rollout, const char *account,
           CaroVersionChoice *choice, bool is_bad)
{
    if (choice->is_sampled) {
        return;
    }
    choice->is_sampled = true;
    uint64_t group = XXH64(account, strlen(account), 0);
    CaroCanaryTest_AddSample(rollout->canary_test, choice->is_new, group,
                             is_bad, CaroClock_WallMs());
}

static void
update_baseline(double *baseline, double value)
{
    *baseline = *baseline <= 0.0
                    ? value
                    : *baseline + BASELINE_WEIGHT * (value - *baseline);
}

void
CaroDeploymentRollouts_SampleFirstToken(CaroDeploymentRollouts *r,
                                        const char *deployment,
                                        const char *account,
                                        CaroVersionChoice *choice,
                                        CaroTime wait)
{
    CaroDeploymentRollout *rollout = find_rollout(r, deployment);
    double ms = (double)wait / CARO_MS;
    if (rollout == NULL) {
        return;
    }
    bool is_slow =
        rollout->baseline_first_ms > 0.0 &&
        ms > SLOW_FACTOR * rollout->baseline_first_ms + SLOW_FIRST_MS;
    if (!choice->is_new && !is_slow) {
        update_baseline(&rollout->baseline_first_ms, ms);
    }
    if (is_slow) {
        add_sample(rollout, account, choice, true);
    }
}

void
CaroDeploymentRollouts_SampleGap(CaroDeploymentRollouts *r,
                                 const char *deployment, const char *account,
                                 CaroVersionChoice *choice, CaroTime gap,
                                 bool is_last)
{
    CaroDeploymentRollout *rollout = find_rollout(r, deployment);
    if (rollout == NULL || choice->is_sampled) {
        return;
    }
    choice->gap_sum_ms += (double)gap / CARO_MS;
    choice->gaps++;
    if (choice->gaps < GAPS_PER_SAMPLE && !is_last) {
        return;
    }
    double mean = choice->gap_sum_ms / choice->gaps;
    bool is_slow = rollout->baseline_gap_ms > 0.0 &&
                   mean > SLOW_FACTOR * rollout->baseline_gap_ms + SLOW_GAP_MS;
    if (!choice->is_new && !is_slow) {
        update_baseline(&rollout->baseline_gap_ms, mean);
    }
    add_sample(rollout, account, choice, is_slow);
}

void
CaroDeploymentRollouts_SampleFailure(CaroDeploymentRollouts *r,
                                     const char *deployment,
                                     const char *account,
                                     CaroVersionChoice *choice)
{
    CaroDeploymentRollout *rollout = find_rollout(r, deployment);
    if (rollout != NULL) {
        add_sample(rollout, account, choice, true);
    }
}

int
CaroDeploymentRollouts_CollectEvidence(
    const CaroDeploymentRollouts *r,
    caro_rollout_evidence evidence[CARO_ROLLOUTS_MAX])
{
    int count = 0;
    for (int i = 0; i < CARO_ROLLOUTS_MAX; i++) {
        const CaroDeploymentRollout *rollout = &r->rollouts[i];
        if (rollout->id == 0) {
            continue;
        }
        CaroCanaryStatistics statistics;
        CaroCanaryTest_Export(rollout->canary_test, &statistics);
        caro_rollout_evidence *out = &evidence[count++];
        out->rollout_id = rollout->id;
        out->is_bad = CaroCanaryTest_IsBad(rollout->canary_test);
        memcpy(out->logs, statistics.logs, sizeof(statistics.logs));
        out->old_all = statistics.old_all;
        out->old_bad = statistics.old_bad;
    }
    return count;
}

void
CaroDeploymentRollouts_ApplyEvidence(CaroDeploymentRollouts *r, CaroHandle vm,
                                     const caro_rollout_evidence *evidence,
                                     int count)
{
    for (int i = 0; i < count; i++) {
        for (int j = 0; j < CARO_ROLLOUTS_MAX; j++) {
            CaroDeploymentRollout *rollout = &r->rollouts[j];
            if (rollout->id == 0 || rollout->id != evidence[i].rollout_id) {
                continue;
            }
            CaroCanaryStatistics statistics = {.old_all = evidence[i].old_all,
                                               .old_bad = evidence[i].old_bad};
            memcpy(statistics.logs, evidence[i].logs, sizeof(statistics.logs));
            CaroCanaryTest_Import(rollout->canary_test, vm, 0, &statistics);
            if (evidence[i].is_bad) {
                CaroCanaryTest_MarkBad(rollout->canary_test);
            }
        }
    }
}

/* Logs that the new version is bad, and announces it to the other VMs. */
static void
report_bad_version(CaroDeploymentRollouts *r, CaroDeploymentRollout *rollout)
{
    char text[96];
    rollout->is_bad_reported = true;
    (void)CaroCanaryTest_FormatEvidence(rollout->canary_test, text,
                                        sizeof(text));
    CaroLog_Warn("rollout",
                 "A version is rolled back. deployment=%s "
                 "version=%s evidence=\"%s\"",
                 rollout->deployment, rollout->plan.to, text);
    CaroDecisions_Add(r->common.decisions, CaroClock_WallMs(), "rollout",
                      rollout->deployment, "taken back", "%s: %s",
                      rollout->plan.to, text);
    r->bad_version_found(r->context);
}

static void
on_outcome_written(void *context, int code, uint64_t revision,
                   const char *text)
{
    CaroDeploymentRollouts *r = context;
    r->is_writing = false;
    if (code < 0) {
        CaroLog_Warn("rollout",
                     "The outcome of a rollout could not be written. "
                     "error=\"%s\"",
                     text);
        return;
    }
    CaroLog_Info("rollout",
                 "The outcome of a rollout was written. "
                 "revision=%" PRIu64,
                 revision);
}

/* Writes the state "done" or "undone" to the configuration. */
static void
write_outcome(CaroDeploymentRollouts *r, CaroDeploymentRollout *rollout,
              bool is_done)
{
    const CaroConfig *config = CaroConfigManager_Get(r->manager);
    json_t *root = json_loadb(config->text, config->text_size, 0, NULL);
    json_t *d = CaroConfig_FindJson(root, "deployments", rollout->deployment);
    json_t *rollout_json = json_object_get(d, "rollout");
    if (rollout_json != NULL) {
        char reason[96] = "";
        if (is_done) {
            json_object_set_new(d, "version", json_string(rollout->plan.to));
        }
        else {
            (void)CaroCanaryTest_FormatEvidence(rollout->canary_test, reason,
                                                sizeof(reason));
        }
        json_object_set_new(rollout_json, "state",
                            json_string(is_done ? "done" : "undone"));
        json_object_set_new(rollout_json, "reason", json_string(reason));
        r->is_writing = true;
        CaroDecisions_Add(
            r->common.decisions, CaroClock_WallMs(), "rollout",
            rollout->deployment, is_done ? "done" : "undone", "%s",
            is_done ? "the declared time has come, no fault" : reason);
        CaroConfigManager_Write(r->manager, root, "rollout",
                                on_outcome_written, r);
    }
    json_decref(root);
}

void
CaroDeploymentRollouts_Tick(CaroDeploymentRollouts *r, CaroTime now)
{
    int64_t now_ms = CaroClock_WallMs();
    for (int i = 0; i < CARO_ROLLOUTS_MAX; i++) {
        CaroDeploymentRollout *rollout = &r->rollouts[i];
        if (rollout->id == 0) {
            continue;
        }
        CaroCanaryTest_Tick(rollout->canary_test, now_ms);
        bool is_bad = CaroCanaryTest_IsBad(rollout->canary_test);
        if (is_bad && !rollout->is_bad_reported) {
            report_bad_version(r, rollout);
        }
        bool is_finished = is_bad || now_ms >= rollout->plan.end_ms;
        /* Several VMs write the outcome; the compare-and-swap of the store
           lets one write succeed. */
        if (is_finished && !r->is_writing && now >= r->next_write_at &&
            CaroMembership_IsChosen(r->common.membership, "moves",
                                    OUTCOME_WRITERS_PER_REGION)) {
            r->next_write_at = now + WRITE_RETRY_DELAY;
            write_outcome(r, rollout, !is_bad);
            return;
        }
    }
}
