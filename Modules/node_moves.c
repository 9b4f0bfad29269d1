/*
 * Moves of traffic between versions at this node.
 *
 * Every node computes the share from the declared times, gives samples of
 * both versions to the test, and exchanges what it saw in heartbeats.  A
 * node whose test says the new version is bad sets a flag that only ever
 * sets and rides on heartbeats too; no node sends new work there once it
 * knows the flag.  The store is needed only to write the end down.
 */
#include "internal/caro_node_state.h"

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

const CaroRolloutPace *
CaroNode_Pace(const CaroNode *n)
{
    return n->common.settings->moves_quick ? &CARO_PACE_QUICK
                                           : &CARO_PACE_CAREFUL;
}

static uint64_t
move_id(const CaroDeployment *d)
{
    uint64_t h = XXH64(d->name, strlen(d->name), 0);
    h = XXH64(d->rollout.to, strlen(d->rollout.to), h);
    return XXH64(&d->rollout.start_ms, sizeof(d->rollout.start_ms), h) | 1;
}

static CaroMove *
find_move(CaroNode *n, const char *deployment)
{
    for (int i = 0; i < CARO_MOVES_MAX; i++) {
        CaroMove *m = &n->moves[i];
        if (m->id != 0 && strcmp(m->deployment, deployment) == 0) {
            return m;
        }
    }
    return NULL;
}

const CaroMove *
CaroNode_FindMove(const CaroNode *n, const char *deployment)
{
    return find_move((CaroNode *)n, deployment);
}

static void
begin_move(CaroNode *n, const CaroDeployment *d)
{
    CaroMove *free_move = NULL;
    for (int i = 0; i < CARO_MOVES_MAX && free_move == NULL; i++) {
        free_move = n->moves[i].id == 0 ? &n->moves[i] : NULL;
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
    CaroDecisions_Add(n->common.decisions, CaroClock_WallMs(), "rollout",
                      d->name, "move begun",
                      "from %s to %s, by %" PRId64 " ms", d->rollout.from,
                      d->rollout.to, d->rollout.by_ms);
}

static void
end_move(CaroMove *m)
{
    CaroRollout_Destroy(m->rollout);
    memset(m, 0, sizeof(*m));
}

void
CaroNode_ApplyMoves(CaroNode *n)
{
    for (int i = 0; i < CARO_MOVES_MAX; i++) {
        CaroMove *m = &n->moves[i];
        const CaroDeployment *d =
            m->id == 0 ? NULL
                       : CaroConfig_Deployment(n->config, m->deployment);
        bool is_same = d != NULL && d->rollout.state == CARO_ROLLOUT_MOVING &&
                       move_id(d) == m->id;
        if (m->id != 0 && !is_same) {
            end_move(m);
        }
    }
    for (int i = 0; i < n->config->n_deployments; i++) {
        const CaroDeployment *d = &n->config->deployments[i];
        if (d->rollout.state == CARO_ROLLOUT_MOVING &&
            find_move(n, d->name) == NULL) {
            begin_move(n, d);
        }
    }
}

static int
rank_for(const CaroNode *n, const CaroMove *m)
{
    uint64_t own =
        XXH64(n->common.settings->vm, strlen(n->common.settings->vm), m->id);
    int rank = 0;
    for (CaroHandle h = 1; h < CaroMembership_Count(n->common.membership);
         h++) {
        const char *name = CaroMembership_Get(n->common.membership, h)->name;
        rank += CaroMembership_IsUsable(n->common.membership, h) &&
                XXH64(name, strlen(name), m->id) > own;
    }
    return rank;
}

/* The version that a new session is served by. */
void
CaroNode_PickVersion(CaroSession *s, int64_t now_ms)
{
    CaroNode *n = s->node;
    const CaroDeployment *d = CaroConfig_Deployment(n->config, s->deployment);
    const CaroMove *m = find_move(n, s->deployment);
    s->is_new_version = false;
    if (d == NULL) {
        return;
    }
    CARO_COPY(s->version, d->version);
    if (m == NULL) {
        return;
    }
    double share = CaroRollout_Share(&m->plan, CaroNode_Pace(n), now_ms);
    double own = CaroRollout_NodeShare(
        share, rank_for(n, m),
        CaroMembership_CountUsable(n->common.membership));
    double drawn = (double)(CaroRandom_Next(n->common.rng) >> 11) * 0x1.0p-53;
    s->is_new_version = !CaroRollout_IsBad(m->rollout) && drawn < own;
    CARO_COPY(s->version, s->is_new_version ? m->plan.to : m->plan.from);
}

/* A resume stays with its version unless that was taken back. */
void
CaroNode_CheckVersion(CaroSession *s)
{
    const CaroMove *m = find_move(s->node, s->deployment);
    if (m != NULL && s->is_new_version && CaroRollout_IsBad(m->rollout)) {
        CARO_COPY(s->version, m->plan.from);
        s->is_new_version = false;
    }
}

static void
give_sample(CaroSession *s, CaroMove *m, bool is_bad)
{
    if (s->is_sampled) {
        return;
    }
    s->is_sampled = true;
    uint64_t route = XXH64(s->account, strlen(s->account), 0);
    CaroRollout_Sample(m->rollout, s->is_new_version, route, is_bad,
                       CaroClock_WallMs());
}

static void
learn_usual(double *usual, double value)
{
    *usual = *usual <= 0.0 ? value : *usual + USUAL_ALPHA * (value - *usual);
}

void
CaroNode_SampleFirst(CaroSession *s, CaroTime wait)
{
    CaroMove *m = find_move(s->node, s->deployment);
    double ms = (double)wait / CARO_MS;
    if (m == NULL) {
        return;
    }
    bool is_slow =
        m->first_ms > 0.0 && ms > SLOW_FACTOR * m->first_ms + SLOW_FIRST_MS;
    if (!s->is_new_version && !is_slow) {
        learn_usual(&m->first_ms, ms);
    }
    if (is_slow) {
        give_sample(s, m, true);
    }
}

void
CaroNode_SampleGap(CaroSession *s, CaroTime gap)
{
    CaroMove *m = find_move(s->node, s->deployment);
    if (m == NULL || s->is_sampled) {
        return;
    }
    s->gap_sum_ms += (double)gap / CARO_MS;
    s->gaps++;
    bool is_last = CaroJournal_Count(s->journal) + 1 >= s->tokens_max;
    if (s->gaps < GAPS_JUDGED && !is_last) {
        return;
    }
    double mean = s->gap_sum_ms / s->gaps;
    bool is_slow =
        m->gap_ms > 0.0 && mean > SLOW_FACTOR * m->gap_ms + SLOW_GAP_MS;
    if (!s->is_new_version && !is_slow) {
        learn_usual(&m->gap_ms, mean);
    }
    give_sample(s, m, is_slow);
}

void
CaroNode_SampleFailure(CaroSession *s)
{
    CaroMove *m = find_move(s->node, s->deployment);
    if (m != NULL) {
        give_sample(s, m, true);
    }
}

int
CaroNode_FillMoves(CaroNode *n, caro_move_news *news)
{
    int count = 0;
    for (int i = 0; i < CARO_MOVES_MAX; i++) {
        const CaroMove *m = &n->moves[i];
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
CaroNode_TakeMoves(CaroNode *n, CaroHandle vm, const caro_move_news *news,
                   int count)
{
    for (int i = 0; i < count; i++) {
        for (int j = 0; j < CARO_MOVES_MAX; j++) {
            CaroMove *m = &n->moves[j];
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
tell_flag(CaroNode *n, CaroMove *m)
{
    enum { FLAG_FANOUT = 4 };
    char text[96];
    m->is_told = true;
    (void)CaroRollout_Evidence(m->rollout, text, sizeof(text));
    CaroLog_Warn("rollout",
                 "A version is taken back. deployment=%s "
                 "version=%s evidence=\"%s\"",
                 m->deployment, m->plan.to, text);
    CaroDecisions_Add(n->common.decisions, CaroClock_WallMs(), "rollout",
                      m->deployment, "taken back", "%s: %s", m->plan.to, text);
    CaroNode_Announce(n, FLAG_FANOUT);
}

static void
on_end_written(void *context, int code, uint64_t revision, const char *text)
{
    CaroNode *n = context;
    n->is_changing = false;
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
write_end(CaroNode *n, CaroMove *m, bool is_done)
{
    json_t *root = json_loadb(n->config->text, n->config->text_size, 0, NULL);
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
        n->is_changing = true;
        CaroDecisions_Add(n->common.decisions, CaroClock_WallMs(), "rollout",
                          m->deployment, is_done ? "done" : "undone", "%s",
                          is_done ? "the declared time has come, no fault"
                                  : reason);
        CaroNode_ChangeConfig(n, root, "rollout", on_end_written, n);
    }
    json_decref(root);
}

void
CaroNode_TickMoves(CaroNode *n, CaroTime now)
{
    int64_t now_ms = CaroClock_WallMs();
    for (int i = 0; i < CARO_MOVES_MAX; i++) {
        CaroMove *m = &n->moves[i];
        if (m->id == 0) {
            continue;
        }
        CaroRollout_Tick(m->rollout, now_ms);
        bool is_bad = CaroRollout_IsBad(m->rollout);
        if (is_bad && !m->is_told) {
            tell_flag(n, m);
        }
        bool is_over = is_bad || now_ms >= m->plan.by_ms;
        /* Two VMs of a region write the end; the store lets one win. */
        if (is_over && !n->is_changing && now >= n->next_move_write &&
            CaroMembership_IsChosen(n->common.membership, "moves", 2)) {
            n->next_move_write = now + WRITE_RETRY;
            write_end(n, m, !is_bad);
            return;
        }
    }
}
