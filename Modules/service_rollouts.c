/*
 * Moves of services' traffic that the operator ordered.
 *
 * An outcome belongs to an order when it names its version and is younger.
 * Outcomes are written under the condition that the last one known still
 * stands; a lost answer is resolved by what the store then says.
 */
#include "internal/caro_service_rollouts.h"

#include "internal/caro_clock.h"
#include "internal/caro_rollout_schedule.h"
#include "internal/caro_log.h"
#include "internal/caro_rollout.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

enum { MOVES_MAX = 16, USUALS = 8 };
/* For the VM whose turn it is, before another does the same. */
#define TURN (700 * CARO_MS)
#define WRITE_TIMEOUT (1 * CARO_SECOND)
#define WRITE_AGAIN (300 * CARO_MS)
/* A bad version answers several times slower; this is above chance. */
#define SLOW_FACTOR 2.5
/* Weight of a new sample in the usual time. */
#define USUAL_WEIGHT 0.1

typedef struct {
    CaroServiceRollouts *moves;
    bool is_used;
    CaroRolloutRequest order;
    int64_t order_revision;
    CaroTime seen;
    bool has_outcome; /* Of this order. */
    CaroRolloutOutcome outcome;
    int64_t outcome_revision; /* 0: the store has none. */
    CaroCanaryTest *evidence;
    long requests;        /* Of this VM for the service since the order. */
    double usual[USUALS]; /* Time of the old version, by route. */
    bool is_writing;
    CaroTime next_write;
    CaroRolloutOutcome written; /* What the open write says, */
    int64_t written_for;        /* and of which order. */
} Move;

struct CaroServiceRollouts {
    CaroStoreClient *client;
    double most;
    double slack;
    bool is_changed; /* See CaroServiceRollouts_ConsumeChange. */
    int rank;
    int vms;
    Move all[MOVES_MAX];
};

CaroServiceRollouts *
CaroServiceRollouts_Create(CaroStoreClient *client, double most, double slack)
{
    CaroServiceRollouts *m = calloc(1, sizeof(*m));
    if (m != NULL) {
        m->client = client;
        m->most = most;
        m->slack = slack;
        m->vms = 1;
    }
    return m;
}

void
CaroServiceRollouts_Destroy(CaroServiceRollouts *m)
{
    if (m == NULL) {
        return;
    }
    for (int i = 0; i < MOVES_MAX; i++) {
        CaroCanaryTest_Destroy(m->all[i].evidence);
    }
    free(m);
}

void
CaroServiceRollouts_SetRank(CaroServiceRollouts *m, int rank, int vms)
{
    m->rank = rank;
    m->vms = vms;
}

static Move *
find_move(const CaroServiceRollouts *m, const char *service)
{
    for (int i = 0; i < MOVES_MAX; i++) {
        const Move *move = &m->all[i];
        if (move->is_used && strcmp(move->order.service, service) == 0) {
            return (Move *)move;
        }
    }
    return NULL;
}

static Move *
take_slot(CaroServiceRollouts *m, const char *service)
{
    for (int i = 0; i < MOVES_MAX; i++) {
        Move *move = &m->all[i];
        if (!move->is_used) {
            CaroCanaryTest_Destroy(move->evidence);
            memset(move, 0, sizeof(*move));
            move->moves = m;
            move->evidence = CaroCanaryTest_Create();
            move->is_used = move->evidence != NULL;
            CARO_COPY(move->order.service, service);
            return move->is_used ? move : NULL;
        }
    }
    return NULL;
}

void
CaroServiceRollouts_OnRequest(CaroServiceRollouts *m, const char *service,
                              const char *bytes, size_t size, int64_t revision,
                              CaroTime now)
{
    CaroRolloutRequest order;
    CaroError err;
    Move *move = find_move(m, service);
    if (bytes == NULL) {
        if (move != NULL) {
            CaroLog_Info("moves", "An order was removed. service=%s", service);
            move->is_used = false;
        }
        return;
    }
    if (move != NULL && revision <= move->order_revision) {
        return; /* The same, from a new list. */
    }
    if (CaroPlatform_ReadRolloutRequest(bytes, size, &order, &err) < 0 ||
        strcmp(order.service, service) != 0) {
        CaroLog_Error("moves", "An order cannot be read. service=%s", service);
        return;
    }
    if (move == NULL && (move = take_slot(m, service)) == NULL) {
        CaroLog_Error("moves", "No room for an order. service=%s", service);
        return;
    }
    move->order = order;
    move->order_revision = revision;
    move->seen = now;
    /* An outcome that came before the order is another order's. */
    move->has_outcome = move->has_outcome && move->outcome_revision > revision;
    move->requests = 0;
    CaroCanaryTest_Reset(move->evidence);
    CaroLog_Info("moves",
                 "An order to move traffic. service=%s version=%s "
                 "duration_ms=%lld revision=%lld",
                 service, order.version, (long long)(order.duration / CARO_MS),
                 (long long)revision);
}

static const char *
state_name(CaroRolloutOutcome state)
{
    static const char *const names[] = {
        [CARO_ROLLOUT_OUTCOME_RUNNING] = "running",
        [CARO_ROLLOUT_OUTCOME_DONE] = "done",
        [CARO_ROLLOUT_OUTCOME_ROLLED_BACK] = "undone",
    };
    return names[state];
}

void
CaroServiceRollouts_OnOutcome(CaroServiceRollouts *m, const char *service,
                              const char *bytes, size_t size, int64_t revision)
{
    char version[CARO_NAME_SIZE];
    CaroRolloutOutcome state;
    Move *move = find_move(m, service);
    if (move == NULL && bytes != NULL) {
        move = take_slot(m, service); /* Its order comes behind it. */
    }
    if (move == NULL) {
        return;
    }
    move->outcome_revision = bytes == NULL ? 0 : revision;
    move->has_outcome =
        bytes != NULL &&
        CaroPlatform_ReadRolloutOutcome(bytes, size, version, &state) == 0 &&
        revision > move->order_revision &&
        (move->order.version[0] == '\0' ||
         strcmp(version, move->order.version) == 0);
    if (move->has_outcome) {
        move->outcome = state;
        CaroLog_Info("moves",
                     "A move has an outcome. service=%s version=%s state=%s",
                     service, version, state_name(state));
    }
}

static CaroRolloutSchedule
course_of(const Move *move, CaroTime now)
{
    return (CaroRolloutSchedule){
        .is_start_recorded = move->has_outcome,
        .is_bad = CaroCanaryTest_IsBad(move->evidence),
        .elapsed = now - move->seen,
        .requests = (double)move->requests * move->moves->vms,
        .duration = move->order.duration};
}

static bool
is_over(const Move *move)
{
    return move->has_outcome && move->outcome != CARO_ROLLOUT_OUTCOME_RUNNING;
}

CaroVersionRule
CaroServiceRollouts_Pick(CaroServiceRollouts *m, const char *service,
                         double draw, const char **version, CaroTime now)
{
    Move *move = find_move(m, service);
    if (move == NULL || move->order.version[0] == '\0') {
        return CARO_VERSION_ANY;
    }
    *version = move->order.version;
    if (is_over(move)) {
        return move->outcome == CARO_ROLLOUT_OUTCOME_DONE ? CARO_VERSION_ONLY
                                                          : CARO_VERSION_NOT;
    }
    move->requests++;
    CaroRolloutSchedule c = course_of(move, now);
    double share = CaroRolloutSchedule_Share(&c, m->most, m->slack);
    return draw < share ? CARO_VERSION_ONLY : CARO_VERSION_NOT;
}

void
CaroServiceRollouts_AddSample(CaroServiceRollouts *m, const char *service,
                              const char *version, const char *route,
                              bool is_failed, CaroTime took, CaroTime now)
{
    Move *move = find_move(m, service);
    if (move == NULL || move->order.version[0] == '\0' || is_over(move)) {
        return;
    }
    bool is_new = strcmp(version, move->order.version) == 0;
    uint64_t hash = XXH64(route, strlen(route), 0);
    double *usual = &move->usual[hash % USUALS];
    bool is_slow = *usual > 0.0 && (double)took > SLOW_FACTOR * *usual;
    if (!is_new && !is_failed) {
        *usual = *usual > 0.0 ? *usual + USUAL_WEIGHT * ((double)took - *usual)
                              : (double)took;
    }
    CaroCanaryTest_AddSample(move->evidence, is_new, hash,
                             is_failed || is_slow, now / CARO_MS);
    m->is_changed = m->is_changed || is_new;
}

static uint64_t
name_move(const Move *move)
{
    return XXH64(move->order.service, strlen(move->order.service),
                 (XXH64_hash_t)move->order_revision);
}

int
CaroServiceRollouts_CollectEvidence(
    const CaroServiceRollouts *m,
    caro_rollout_evidence news[CARO_ROLLOUTS_MAX])
{
    int n = 0;
    for (int i = 0; i < MOVES_MAX && n < CARO_ROLLOUTS_MAX; i++) {
        const Move *move = &m->all[i];
        CaroCanaryStatistics stakes;
        if (!move->is_used || move->order.version[0] == '\0' ||
            is_over(move)) {
            continue;
        }
        CaroCanaryTest_Export(move->evidence, &stakes);
        caro_rollout_evidence *out = &news[n++];
        out->rollout_id = name_move(move);
        out->is_bad = CaroCanaryTest_IsBad(move->evidence);
        out->old_all = stakes.old_all;
        out->old_bad = stakes.old_bad;
        memcpy(out->logs, stakes.logs, sizeof(out->logs));
    }
    return n;
}

void
CaroServiceRollouts_ApplyEvidence(CaroServiceRollouts *m, CaroHandle vm,
                                  const caro_rollout_evidence *news, int count)
{
    for (int i = 0; i < count; i++) {
        for (int j = 0; j < MOVES_MAX; j++) {
            Move *move = &m->all[j];
            if (!move->is_used || name_move(move) != news[i].rollout_id) {
                continue;
            }
            CaroCanaryStatistics stakes = {.old_all = news[i].old_all,
                                           .old_bad = news[i].old_bad};
            memcpy(stakes.logs, news[i].logs, sizeof(stakes.logs));
            CaroCanaryTest_Import(move->evidence, vm, &stakes);
            if (news[i].is_bad) {
                CaroCanaryTest_MarkBad(move->evidence);
            }
        }
    }
}

bool
CaroServiceRollouts_ConsumeChange(CaroServiceRollouts *m)
{
    bool is_changed = m->is_changed;
    m->is_changed = false;
    return is_changed;
}

static void
on_written(void *context, int code, int status,
           const CaroStoreResponse *answer, CaroTime sent)
{
    Move *move = context;
    (void)sent;
    move->is_writing = false;
    move->next_write = CaroClock_Now() + WRITE_AGAIN;
    if (code == 0 && status == 200 &&
        move->written_for == move->order_revision) {
        move->has_outcome = true;
        move->outcome = move->written;
        move->outcome_revision = answer->at;
    }
    CaroLog_Info("moves",
                 "An outcome was written. service=%s version=%s state=%s "
                 "code=%d status=%d",
                 move->order.service, move->order.version,
                 state_name(move->written), code, status);
}

static void
write_outcome(CaroServiceRollouts *m, Move *move, CaroRolloutOutcome state,
              CaroTime now)
{
    char key[CARO_KEY_SIZE];
    char evidence[96];
    CaroStoreCall call;
    char *value = CaroPlatform_WriteRolloutOutcome(state, move->order.version);
    CaroPlatform_WriteKey(key, sizeof(key), CARO_KEY_ROLLOUT_OUTCOME,
                          move->order.service);
    int rc = value == NULL ? CARO_ERR_NOMEM
                           : CaroPlatform_CallPut(&call, key, value,
                                                  move->outcome_revision, 0);
    free(value);
    if (rc < 0) {
        CaroLog_Error("moves", "No memory for an outcome. service=%s",
                      move->order.service);
        move->next_write = now + WRITE_AGAIN;
        return;
    }
    CaroLog_Info("moves",
                 "A move takes a step. service=%s version=%s state=%s "
                 "elapsed_ms=%lld evidence=\"%s\"",
                 move->order.service, move->order.version, state_name(state),
                 (long long)((now - move->seen) / CARO_MS),
                 CaroCanaryTest_FormatEvidence(move->evidence, evidence,
                                               sizeof(evidence)));
    move->is_writing = true;
    move->written = state;
    move->written_for = move->order_revision;
    CaroStoreClient_Call(m->client, &call, WRITE_TIMEOUT, on_written, move);
}

/* VMs that follow in rank do what the first has not done in its turn. */
static bool
is_our_turn(const CaroServiceRollouts *m, CaroTime waited)
{
    return waited >= m->rank * TURN;
}

static void
tick_move(CaroServiceRollouts *m, Move *move, CaroTime now)
{
    CaroCanaryTest_Tick(move->evidence, now / CARO_MS);
    if (move->order.version[0] == '\0' || is_over(move) || move->is_writing ||
        now < move->next_write) {
        return;
    }
    CaroRolloutSchedule c = course_of(move, now);
    CaroRolloutSchedule late = c;
    switch (CaroRolloutSchedule_Next(&c)) {
    case CARO_ROLLOUT_STEP_START:
        if (is_our_turn(m, c.elapsed)) {
            write_outcome(m, move, CARO_ROLLOUT_OUTCOME_RUNNING, now);
        }
        break;
    case CARO_ROLLOUT_STEP_CONTINUE:
        break;
    case CARO_ROLLOUT_STEP_FINISH:
        late.elapsed -= m->rank * TURN;
        if (CaroRolloutSchedule_Next(&late) == CARO_ROLLOUT_STEP_FINISH) {
            write_outcome(m, move, CARO_ROLLOUT_OUTCOME_DONE, now);
        }
        break;
    case CARO_ROLLOUT_STEP_ROLL_BACK:
        write_outcome(m, move, CARO_ROLLOUT_OUTCOME_ROLLED_BACK, now);
        break;
    }
}

json_t *
CaroServiceRollouts_Dump(const CaroServiceRollouts *m)
{
    json_t *list = json_array();
    for (int i = 0; i < MOVES_MAX; i++) {
        const Move *move = &m->all[i];
        char evidence[96];
        if (move->is_used) {
            (void)json_array_append_new(
                list,
                json_pack(
                    "{s:s, s:s, s:s, s:s}", "service", move->order.service,
                    "version", move->order.version, "state",
                    move->has_outcome ? state_name(move->outcome) : "ordered",
                    "evidence",
                    CaroCanaryTest_FormatEvidence(move->evidence, evidence,
                                                  sizeof(evidence))));
        }
    }
    return list;
}

void
CaroServiceRollouts_Tick(CaroServiceRollouts *m, CaroTime now)
{
    for (int i = 0; i < MOVES_MAX; i++) {
        if (m->all[i].is_used) {
            tick_move(m, &m->all[i], now);
        }
    }
}
