/*
 * Moves of deployments between versions at this VM.
 *
 * Every node computes the share from the declared times, gives samples of
 * both versions to the test, and exchanges what it saw in heartbeats.  A
 * node whose test says the new version is bad sets a flag that only ever
 * sets and rides on heartbeats too; no node sends new work there once it
 * knows the flag.  The store is needed only to write the end down.
 */
#include "internal/caro_version_moves.h"

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

struct CaroVersionMoves {
    CaroCommon common;
    CaroConfigKeeper *keeper;
    CaroVersionFlagged flagged;
    void *context;
    CaroVersionMove moves[CARO_MOVES_MAX];
    bool is_changing; /* A move's end is being written. */
    CaroTime next_write;
};

CaroVersionMoves *
CaroVersionMoves_Create(const CaroCommon *common, CaroConfigKeeper *keeper,
                        CaroVersionFlagged flagged, void *context)
{
    CaroVersionMoves *v = calloc(1, sizeof(*v));
    if (v != NULL) {
        v->common = *common;
        v->keeper = keeper;
        v->flagged = flagged;
        v->context = context;
    }
    return v;
}

void
CaroVersionMoves_Destroy(CaroVersionMoves *v)
{
    if (v == NULL) {
        return;
    }
    for (int i = 0; i < CARO_MOVES_MAX; i++) {
        CaroRollout_Destroy(v->moves[i].rollout);
    }
    free(v);
}

const CaroRolloutPace *
CaroVersionMoves_Pace(const CaroVersionMoves *v)
{
    return v->common.settings->moves_quick ? &CARO_PACE_QUICK
                                           : &CARO_PACE_CAREFUL;
}

static uint64_t
move_id(const CaroDeployment *d)
{
    uint64_t h = XXH64(d->name, strlen(d->name), 0);
    h = XXH64(d->rollout.to, strlen(d->rollout.to), h);
    return XXH64(&d->rollout.start_ms, sizeof(d->rollout.start_ms), h) | 1;
}

static CaroVersionMove *
find_move(CaroVersionMoves *v, const char *deployment)
{
    for (int i = 0; i < CARO_MOVES_MAX; i++) {
        CaroVersionMove *m = &v->moves[i];
        if (m->id != 0 && strcmp(m->deployment, deployment) == 0) {
            return m;
        }
    }
    return NULL;
}

const CaroVersionMove *
CaroVersionMoves_Find(const CaroVersionMoves *v, const char *deployment)
{
    return find_move((CaroVersionMoves *)v, deployment);
}

static void
begin_move(CaroVersionMoves *v, const CaroDeployment *d)
{
    CaroVersionMove *free_move = NULL;
    for (int i = 0; i < CARO_MOVES_MAX && free_move == NULL; i++) {
        free_move = v->moves[i].id == 0 ? &v->moves[i] : NULL;
    }
    if (free_move == NULL) {
        CaroLog_Error("rollout", "Too many moves at once. deployment=%s",
                      d->name);
        return;
    }
    memset(free_move, 0, sizeof(*free_move));
    free_move->rollout = CaroRollout_Create();
    if (free_move->rollout == NULL) {
        return;
    }
    free_move->id = move_id(d);
    free_move->plan = d->rollout;
    CARO_COPY(free_move->deployment, d->name);
    CaroDecisions_Add(v->common.decisions, CaroClock_WallMs(), "rollout",
                      d->name, "move begun",
                      "from %s to %s, by %" PRId64 " ms", d->rollout.from,
                      d->rollout.to, d->rollout.by_ms);
}

static void
end_move(CaroVersionMove *m)
{
    CaroRollout_Destroy(m->rollout);
    memset(m, 0, sizeof(*m));
}

void
CaroVersionMoves_Apply(CaroVersionMoves *v, const CaroConfig *config)
{
    for (int i = 0; i < CARO_MOVES_MAX; i++) {
        CaroVersionMove *m = &v->moves[i];
        const CaroDeployment *d =
            m->id == 0 ? NULL : CaroConfig_Deployment(config, m->deployment);
        bool is_same = d != NULL && d->rollout.state == CARO_ROLLOUT_MOVING &&
                       move_id(d) == m->id;
        if (m->id != 0 && !is_same) {
            end_move(m);
        }
    }
    for (int i = 0; i < config->n_deployments; i++) {
        const CaroDeployment *d = &config->deployments[i];
        if (d->rollout.state == CARO_ROLLOUT_MOVING &&
            find_move(v, d->name) == NULL) {
            begin_move(v, d);
        }
    }
}

static int
rank_for(const CaroVersionMoves *v, const CaroVersionMove *m)
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
CaroVersionMoves_Pick(CaroVersionMoves *v, const char *deployment,
                      CaroVersionChoice *choice, int64_t now_ms)
{
    const CaroConfig *config = CaroConfigKeeper_Get(v->keeper);
    const CaroDeployment *d = CaroConfig_Deployment(config, deployment);
    const CaroVersionMove *m = find_move(v, deployment);
    choice->is_new = false;
    if (d == NULL) {
        return;
    }
    CARO_COPY(choice->version, d->version);
    if (m == NULL) {
        return;
    }
    double share =
        CaroRollout_Share(&m->plan, CaroVersionMoves_Pace(v), now_ms);
    double own = CaroRollout_NodeShare(
        share, rank_for(v, m),
        CaroMembership_CountUsable(v->common.membership));
    double drawn = (double)(CaroRandom_Next(v->common.rng) >> 11) * 0x1.0p-53;
    choice->is_new = !CaroRollout_IsBad(m->rollout) && drawn < own;
    CARO_COPY(choice->version, choice->is_new ? m->plan.to : m->plan.from);
}

void
CaroVersionMoves_Check(CaroVersionMoves *v, const char *deployment,
                       CaroVersionChoice *choice)
{
    const CaroVersionMove *m = find_move(v, deployment);
    if (m != NULL && choice->is_new && CaroRollout_IsBad(m->rollout)) {
        CARO_COPY(choice->version, m->plan.from);
        choice->is_new = false;
    }
}

static void
give_sample(CaroVersionMove *m, const char *account, CaroVersionChoice *choice,
            bool is_bad)
{
    if (choice->is_sampled) {
        return;
    }
    choice->is_sampled = true;
    uint64_t route = XXH64(account, strlen(account), 0);
    CaroRollout_Sample(m->rollout, choice->is_new, route, is_bad,
                       CaroClock_WallMs());
}

static void
learn_usual(double *usual, double value)
{
    *usual = *usual <= 0.0 ? value : *usual + USUAL_ALPHA * (value - *usual);
}

void
CaroVersionMoves_SampleFirst(CaroVersionMoves *v, const char *deployment,
                             const char *account, CaroVersionChoice *choice,
                             CaroTime wait)
{
    CaroVersionMove *m = find_move(v, deployment);
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
CaroVersionMoves_SampleGap(CaroVersionMoves *v, const char *deployment,
                           const char *account, CaroVersionChoice *choice,
                           CaroTime gap, bool is_last)
{
    CaroVersionMove *m = find_move(v, deployment);
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
CaroVersionMoves_SampleFailure(CaroVersionMoves *v, const char *deployment,
                               const char *account, CaroVersionChoice *choice)
{
    CaroVersionMove *m = find_move(v, deployment);
    if (m != NULL) {
        give_sample(m, account, choice, true);
    }
}

int
CaroVersionMoves_Fill(const CaroVersionMoves *v,
                      caro_move_news news[CARO_MOVES_MAX])
{
    int count = 0;
    for (int i = 0; i < CARO_MOVES_MAX; i++) {
        const CaroVersionMove *m = &v->moves[i];
        if (m->id == 0) {
            continue;
        }
        CaroStakes stakes;
        CaroRollout_Export(m->rollout, &stakes);
        caro_move_news *out = &news[count++];
        out->move = m->id;
        out->is_bad = CaroRollout_IsBad(m->rollout);
        memcpy(out->logs, stakes.logs, sizeof(stakes.logs));
        out->old_all = stakes.old_all;
        out->old_bad = stakes.old_bad;
    }
    return count;
}

void
CaroVersionMoves_Take(CaroVersionMoves *v, CaroHandle vm,
                      const caro_move_news *news, int count)
{
    for (int i = 0; i < count; i++) {
        for (int j = 0; j < CARO_MOVES_MAX; j++) {
            CaroVersionMove *m = &v->moves[j];
            if (m->id == 0 || m->id != news[i].move) {
                continue;
            }
            CaroStakes stakes = {.old_all = news[i].old_all,
                                 .old_bad = news[i].old_bad};
            memcpy(stakes.logs, news[i].logs, sizeof(stakes.logs));
            CaroRollout_Import(m->rollout, vm, &stakes);
            if (news[i].is_bad) {
                CaroRollout_Flag(m->rollout);
            }
        }
    }
}

/* Logs the flag once and passes it on at once. */
static void
tell_flag(CaroVersionMoves *v, CaroVersionMove *m)
{
    char text[96];
    m->is_told = true;
    (void)CaroRollout_Evidence(m->rollout, text, sizeof(text));
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
    CaroVersionMoves *v = context;
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
write_end(CaroVersionMoves *v, CaroVersionMove *m, bool is_done)
{
    const CaroConfig *config = CaroConfigKeeper_Get(v->keeper);
    json_t *root = json_loadb(config->text, config->text_size, 0, NULL);
    json_t *d = CaroConfig_FindJson(root, "deployments", m->deployment);
    json_t *rollout = json_object_get(d, "rollout");
    if (rollout != NULL) {
        char reason[96] = "";
        if (is_done) {
            json_object_set_new(d, "version", json_string(m->plan.to));
        }
        else {
            (void)CaroRollout_Evidence(m->rollout, reason, sizeof(reason));
        }
        json_object_set_new(rollout, "state",
                            json_string(is_done ? "done" : "undone"));
        json_object_set_new(rollout, "reason", json_string(reason));
        v->is_changing = true;
        CaroDecisions_Add(v->common.decisions, CaroClock_WallMs(), "rollout",
                          m->deployment, is_done ? "done" : "undone", "%s",
                          is_done ? "the declared time has come, no fault"
                                  : reason);
        CaroConfigKeeper_Change(v->keeper, root, "rollout", on_end_written, v);
    }
    json_decref(root);
}

void
CaroVersionMoves_Tick(CaroVersionMoves *v, CaroTime now)
{
    int64_t now_ms = CaroClock_WallMs();
    for (int i = 0; i < CARO_MOVES_MAX; i++) {
        CaroVersionMove *m = &v->moves[i];
        if (m->id == 0) {
            continue;
        }
        CaroRollout_Tick(m->rollout, now_ms);
        bool is_bad = CaroRollout_IsBad(m->rollout);
        if (is_bad && !m->is_told) {
            tell_flag(v, m);
        }
        bool is_over = is_bad || now_ms >= m->plan.by_ms;
        /* Two VMs of a region write the end; the store lets one win. */
        if (is_over && !v->is_changing && now >= v->next_write &&
            CaroMembership_IsChosen(v->common.membership, "moves", 2)) {
            v->next_write = now + WRITE_RETRY;
            write_end(v, m, !is_bad);
            return;
        }
    }
}
