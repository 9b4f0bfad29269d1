/*
 * Rollouts of services to a new version, as the operator requests them.
 *
 * An outcome belongs to a rollout request when it names the request's
 * version and its revision is higher.  An outcome is written with a
 * compare-and-swap against the last outcome that this VM knows of; when the
 * response is lost, the watch of the store shows whether it was written.
 *
 * A store restored from an older copy may lack an outcome or have an older
 * one.  What this VM knows holds, and is written again.  A request that the
 * operator writes again in the new timeline is the same request.
 */
#include "internal/caro_service_rollouts.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"
#include "internal/caro_name.h"
#include "internal/caro_rollout.h"
#include "internal/caro_rollout_schedule.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

enum { ROLLOUTS_MAX = 16, EVIDENCE_SIZE = 160 };
/* The pace of a stream is judged after so many events or so much time.  The
   engine is slower while it reads other prompts, but hardly all this time. */
#define PACE_EVENTS_MAX (5 * CARO_PACE_EVENTS)
#define PACE_TIME_MAX (3 * CARO_SECOND)
/* A sample of the new version is held for at most this fraction of the time
   of the rollout. */
#define HOLD_FRACTION 0.1
/* Delay between one rank and the next, so that a VM acts only when those of
   lower rank have not. */
#define RANK_DELAY (700 * CARO_MS)
#define WRITE_TIMEOUT (1 * CARO_SECOND)
#define WRITE_RETRY_DELAY (300 * CARO_MS)

typedef struct {
    CaroServiceRollouts *owner;
    bool is_used;
    char service[CARO_STORE_KEY_SIZE]; /* As in the keys of the store. */
    CaroRolloutRequest request;
    CaroRevision request_revision;
    CaroTime request_seen_at;
    bool has_outcome; /* This request has an outcome. */
    /* The restored store lacks the outcome. */
    bool is_outcome_lost;
    CaroRolloutOutcome outcome;
    CaroRevision outcome_revision; /* 0 when the store has no outcome. */
    CaroCanaryTest *test;
    /* Requests of this VM for the service since the rollout request. */
    long n_requests;
    bool is_writing;
    CaroTime next_write;
    /* Outcome of the write in progress, and the revision of the request that
       it belongs to. */
    CaroRolloutOutcome pending_outcome;
    CaroRevision pending_revision;
} Rollout;

struct CaroServiceRollouts {
    CaroStoreClient *client;
    CaroUsualTimes *usual_times; /* Of versions that are not in question. */
    double exposure_max;
    double request_allowance;
    bool is_list_due;       /* The store was restored and not listed yet. */
    CaroTime restored_at;   /* Last restoration; 0 for none. */
    bool has_unsent_change; /* Cleared by CaroServiceRollouts_ConsumeChange. */
    int rank;
    int n_vms;
    Rollout rollouts[ROLLOUTS_MAX];
};

CaroServiceRollouts *
CaroServiceRollouts_Create(CaroStoreClient *client, double exposure_max,
                           double request_allowance)
{
    CaroServiceRollouts *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return NULL;
    }
    r->client = client;
    r->exposure_max = exposure_max;
    r->request_allowance = request_allowance;
    r->n_vms = 1;
    r->usual_times = CaroUsualTimes_Create();
    if (r->usual_times == NULL) {
        free(r);
        return NULL;
    }
    return r;
}

void
CaroServiceRollouts_Destroy(CaroServiceRollouts *r)
{
    if (r == NULL) {
        return;
    }
    for (int i = 0; i < ROLLOUTS_MAX; i++) {
        CaroCanaryTest_Destroy(r->rollouts[i].test);
        CaroRolloutRequest_Clear(&r->rollouts[i].request);
    }
    CaroUsualTimes_Destroy(r->usual_times);
    free(r);
}

void
CaroServiceRollouts_SetRank(CaroServiceRollouts *r, int rank, int n_vms)
{
    r->rank = rank;
    r->n_vms = n_vms;
}

/* The name of the service is as of caro_name.h. */
static Rollout *
find_rollout(const CaroServiceRollouts *r, const char *service)
{
    for (int i = 0; i < ROLLOUTS_MAX; i++) {
        const Rollout *rollout = &r->rollouts[i];
        if (rollout->is_used &&
            strcmp(rollout->request.service, service) == 0) {
            return (Rollout *)rollout;
        }
    }
    return NULL;
}

/* The name of the service is as in the keys of the store. */
static Rollout *
alloc_rollout(CaroServiceRollouts *r, const char *service)
{
    for (int i = 0; i < ROLLOUTS_MAX; i++) {
        Rollout *rollout = &r->rollouts[i];
        if (!rollout->is_used) {
            CaroCanaryTest_Destroy(rollout->test);
            CaroRolloutRequest_Clear(&rollout->request);
            memset(rollout, 0, sizeof(*rollout));
            rollout->owner = r;
            rollout->test = CaroCanaryTest_Create();
            rollout->is_used = rollout->test != NULL;
            CARO_COPY(rollout->service, service);
            CaroName_Set(rollout->request.service, service);
            return rollout->is_used ? rollout : NULL;
        }
    }
    return NULL;
}

/* Returns whether the operator has only written the known request again, after
   the store was restored from an older copy. */
static bool
is_written_again(const Rollout *rollout, const CaroRolloutRequest *request,
                 CaroRevision revision)
{
    return rollout->request.version[0] != '\0' &&
           !CaroRevision_IsSameTimeline(revision, rollout->request_revision) &&
           strcmp(request->version, rollout->request.version) == 0 &&
           request->duration == rollout->request.duration;
}

void
CaroServiceRollouts_OnRequest(CaroServiceRollouts *r, const char *service,
                              const char *bytes, size_t size,
                              CaroRevision revision, CaroTime now)
{
    CaroRolloutRequest request;
    CaroError err;
    char name[CARO_NAME_SIZE];
    CaroName_Set(name, service);
    Rollout *rollout = find_rollout(r, name);
    if (bytes == NULL) {
        if (rollout != NULL) {
            CaroLog_Info("moves", "A rollout request was deleted. service=%s",
                         service);
            rollout->is_used = false;
        }
        return;
    }
    if (rollout != NULL && revision <= rollout->request_revision) {
        return; /* Already known; it was read again by a new list. */
    }
    if (CaroPlatform_ReadRolloutRequest(bytes, size, &request, &err) < 0) {
        CaroLog_Error("moves", "A rollout request is malformed. service=%s",
                      service);
        return;
    }
    bool is_own = strcmp(request.service, name) == 0;
    if (is_own && rollout == NULL) {
        rollout = alloc_rollout(r, service);
    }
    if (!is_own || rollout == NULL) {
        CaroLog_Error("moves", "A rollout request is ignored: %s. service=%s",
                      is_own ? "the table is full"
                             : "it is for another service",
                      service);
        CaroRolloutRequest_Clear(&request);
        return;
    }
    if (is_written_again(rollout, &request, revision)) {
        /* An outcome has to follow its request. */
        rollout->is_outcome_lost =
            rollout->has_outcome && rollout->outcome_revision < revision;
        rollout->request_revision = revision;
        CaroRolloutRequest_Clear(&request);
        CaroLog_Info("moves",
                     "A rollout request was written again to the restored "
                     "store. service=%s version=%s revision=%lld",
                     service, rollout->request.version,
                     (long long)CaroRevision_Number(revision));
        return;
    }
    rollout->is_outcome_lost = false;
    CaroRolloutRequest_Clear(&rollout->request);
    rollout->request = request;
    rollout->request_revision = revision;
    rollout->request_seen_at = now;
    /* An outcome of a lower revision belongs to an earlier request. */
    rollout->has_outcome =
        rollout->has_outcome && rollout->outcome_revision > revision;
    rollout->n_requests = 0;
    CaroCanaryTest_Reset(rollout->test);
    CaroCanaryTest_SetHoldMax(
        rollout->test,
        (int64_t)(HOLD_FRACTION * (double)request.duration) / CARO_MS);
    CaroLog_Info("moves",
                 "A rollout was requested. service=%s version=%s "
                 "duration_ms=%lld revision=%lld",
                 service, request.version,
                 (long long)(request.duration / CARO_MS),
                 (long long)CaroRevision_Number(revision));
}

static const char *
outcome_name(CaroRolloutOutcome outcome)
{
    static const char *const names[] = {
        [CARO_ROLLOUT_OUTCOME_RUNNING] = "running",
        [CARO_ROLLOUT_OUTCOME_DONE] = "done",
        [CARO_ROLLOUT_OUTCOME_ROLLED_BACK] = "undone",
    };
    return names[outcome];
}

/* Returns whether what a later timeline of the store has is older than the
   outcome that this VM knows of the same request. */
static bool
is_outcome_older(const Rollout *rollout, const char *bytes, size_t size,
                 CaroRevision revision)
{
    char version[CARO_NAME_SIZE];
    CaroRolloutOutcome outcome;
    bool is_known =
        rollout->has_outcome && rollout->request.version[0] != '\0' &&
        (rollout->is_outcome_lost ||
         !CaroRevision_IsSameTimeline(revision, rollout->outcome_revision));
    if (!is_known) {
        return false;
    }
    return bytes == NULL ||
           CaroPlatform_ReadRolloutOutcome(bytes, size, version, &outcome) <
               0 ||
           strcmp(version, rollout->request.version) != 0 ||
           (outcome == CARO_ROLLOUT_OUTCOME_RUNNING &&
            rollout->outcome != CARO_ROLLOUT_OUTCOME_RUNNING);
}

void
CaroServiceRollouts_OnStoreRestored(CaroServiceRollouts *r, CaroTime now)
{
    r->is_list_due = true;
    r->restored_at = now;
}

void
CaroServiceRollouts_OnListed(CaroServiceRollouts *r, CaroRevision revision)
{
    r->is_list_due = false;
    for (int i = 0; i < ROLLOUTS_MAX; i++) {
        Rollout *rollout = &r->rollouts[i];
        if (rollout->is_used && rollout->outcome_revision != 0 &&
            !CaroRevision_IsSameTimeline(rollout->outcome_revision,
                                         revision)) {
            rollout->outcome_revision = 0;
            rollout->is_outcome_lost = rollout->has_outcome;
        }
    }
}

void
CaroServiceRollouts_OnOutcome(CaroServiceRollouts *r, const char *service,
                              const char *bytes, size_t size,
                              CaroRevision revision)
{
    char version[CARO_NAME_SIZE];
    char name[CARO_NAME_SIZE];
    CaroRolloutOutcome outcome;
    CaroName_Set(name, service);
    Rollout *rollout = find_rollout(r, name);
    if (rollout == NULL && bytes != NULL) {
        rollout = alloc_rollout(
            r, service); /* Its request may follow it in the list. */
    }
    if (rollout == NULL) {
        return;
    }
    if (bytes == NULL && rollout->request.version[0] == '\0') {
        rollout->is_used = false; /* Neither a request nor an outcome. */
        return;
    }
    if (is_outcome_older(rollout, bytes, size, revision)) {
        rollout->outcome_revision = bytes == NULL ? 0 : revision;
        rollout->is_outcome_lost = true;
        return;
    }
    rollout->is_outcome_lost = false;
    rollout->outcome_revision = bytes == NULL ? 0 : revision;
    rollout->has_outcome =
        bytes != NULL &&
        CaroPlatform_ReadRolloutOutcome(bytes, size, version, &outcome) == 0 &&
        revision > rollout->request_revision &&
        (rollout->request.version[0] == '\0' ||
         strcmp(version, rollout->request.version) == 0);
    if (rollout->has_outcome) {
        rollout->outcome = outcome;
        CaroLog_Info(
            "moves",
            "A rollout outcome was read. service=%s version=%s state=%s",
            service, version, outcome_name(outcome));
    }
}

/* Estimates the requests of all VMs since the rollout request.  Callers are
   spread unevenly, so that one VM's count alone is a bad estimate; samples of
   the old version, at least one for each answered request, are known of
   many. */
static double
estimate_requests(const Rollout *rollout)
{
    double samples = CaroCanaryTest_OldSamplesPerVm(rollout->test);
    double per_vm = samples < 0.0 ? (double)rollout->n_requests : samples;
    return per_vm * rollout->owner->n_vms;
}

static CaroRolloutSchedule
make_schedule(const Rollout *rollout, CaroTime now)
{
    return (CaroRolloutSchedule){.is_start_recorded = rollout->has_outcome,
                                 .is_bad = CaroCanaryTest_IsBad(rollout->test),
                                 .is_supported =
                                     CaroCanaryTest_IsSupported(rollout->test),
                                 .elapsed = now - rollout->request_seen_at,
                                 .requests = estimate_requests(rollout),
                                 .duration = rollout->request.duration};
}

static bool
is_finished(const Rollout *rollout)
{
    return rollout->has_outcome &&
           rollout->outcome != CARO_ROLLOUT_OUTCOME_RUNNING;
}

static CaroVersionRule
choose_version(const CaroServiceRollouts *r, const Rollout *rollout,
               double draw, CaroTime now)
{
    if (is_finished(rollout)) {
        return rollout->outcome == CARO_ROLLOUT_OUTCOME_DONE
                   ? CARO_VERSION_ONLY
                   : CARO_VERSION_NOT;
    }
    CaroRolloutSchedule schedule = make_schedule(rollout, now);
    double share = CaroRolloutSchedule_Share(&schedule, r->exposure_max,
                                             r->request_allowance);
    return draw < share ? CARO_VERSION_ONLY : CARO_VERSION_NOT;
}

CaroVersionRule
CaroServiceRollouts_ChooseVersion(CaroServiceRollouts *r, const char *service,
                                  double draw, const char **version,
                                  CaroTime now)
{
    Rollout *rollout = find_rollout(r, service);
    if (rollout == NULL || rollout->request.version[0] == '\0') {
        return CARO_VERSION_ANY;
    }
    *version = rollout->request.version;
    if (!is_finished(rollout)) {
        rollout->n_requests++;
    }
    return choose_version(r, rollout, draw, now);
}

CaroVersionRule
CaroServiceRollouts_PeekVersion(const CaroServiceRollouts *r,
                                const char *service, double draw,
                                const char **version, CaroTime now)
{
    const Rollout *rollout = find_rollout(r, service);
    if (rollout == NULL || rollout->request.version[0] == '\0') {
        return CARO_VERSION_ANY;
    }
    *version = rollout->request.version;
    Rollout counted = *rollout;
    counted.n_requests++;
    return choose_version(r, &counted, draw, now);
}

/* Returns the rollout of the service that has no outcome, or NULL. */
static Rollout *
find_active_rollout(const CaroServiceRollouts *r, const char *service)
{
    Rollout *rollout = find_rollout(r, service);
    return rollout == NULL || rollout->request.version[0] == '\0' ||
                   is_finished(rollout)
               ? NULL
               : rollout;
}

bool
CaroServiceRollouts_IsActive(const CaroServiceRollouts *r)
{
    for (int i = 0; i < ROLLOUTS_MAX; i++) {
        const Rollout *rollout = &r->rollouts[i];
        if (rollout->is_used && rollout->request.version[0] != '\0' &&
            !is_finished(rollout)) {
            return true;
        }
    }
    return false;
}

static void
add_sample(CaroServiceRollouts *r, CaroRolloutAttempt *a, const char *reason,
           bool is_bad, CaroTime duration, CaroTime limit, CaroTime now)
{
    Rollout *rollout = find_active_rollout(r, a->work.service);
    if (rollout == NULL || a->is_bad) {
        return;
    }
    bool is_new = strcmp(a->version, rollout->request.version) == 0;
    a->is_bad = is_bad;
    CaroCanaryTest_AddSample(rollout->test, is_new,
                             XXH64(a->work.route, strlen(a->work.route), 0),
                             is_bad, now / CARO_MS);
    CaroLog_Info("moves",
                 "A rollout sample was taken. service=%s version=%s route=%s "
                 "measure=%s bad=%d ms=%lld limit_ms=%lld prompt=%d ahead=%d",
                 a->work.service, a->version, a->work.route, reason, is_bad,
                 (long long)(duration / CARO_MS), (long long)(limit / CARO_MS),
                 a->work.prompt_tokens, a->work.tokens_ahead);
}

/* Returns whether the version is one that the service has used before, not
   one that is being tried or was rolled back. */
static bool
is_established(const CaroServiceRollouts *r, const CaroRolloutAttempt *a)
{
    const Rollout *rollout = find_rollout(r, a->work.service);
    return rollout == NULL ||
           strcmp(a->version, rollout->request.version) != 0 ||
           (is_finished(rollout) &&
            rollout->outcome == CARO_ROLLOUT_OUTCOME_DONE);
}

static const char *
measure_name(CaroMeasure measure)
{
    static const char *const names[] = {[CARO_MEASURE_RESPONSE] = "response",
                                        [CARO_MEASURE_WAIT] = "wait",
                                        [CARO_MEASURE_PACE] = "pace"};
    return names[measure];
}

/* Judges a duration of the attempt, which is complete, and adds it to what is
   usual. */
static void
judge(CaroServiceRollouts *r, CaroRolloutAttempt *a, CaroMeasure measure,
      bool is_sampled, CaroTime duration, CaroTime now)
{
    CaroTime limit = CaroUsualTimes_Limit(r->usual_times, measure, &a->work);
    bool is_slow = limit > 0 && duration > limit;
    if (is_established(r, a)) {
        CaroUsualTimes_Add(r->usual_times, measure, &a->work, duration);
    }
    if (!is_sampled && !(is_slow && a->is_excused)) {
        add_sample(r, a, measure_name(measure), is_slow, duration, limit, now);
    }
}

/* Judges the pace so far; a run that is incomplete counts when there is no
   other. */
static void
judge_pace(CaroServiceRollouts *r, CaroRolloutAttempt *a, CaroTime now)
{
    CaroTime pace =
        a->shortest_run != 0 ? a->shortest_run : now - a->run_started_at;
    judge(r, a, CARO_MEASURE_PACE, false, pace, now);
    a->has_pace_sample = true;
}

/* Counts "n" events after the first. */
static void
add_events(CaroRolloutAttempt *a, int n, CaroTime now)
{
    int runs = a->n_events / CARO_PACE_EVENTS;
    a->n_events += n;
    if (a->n_events / CARO_PACE_EVENTS > runs) {
        CaroTime run = now - a->run_started_at;
        a->run_started_at = now;
        if (a->shortest_run == 0 || run < a->shortest_run) {
            a->shortest_run = run > 0 ? run : 1;
        }
    }
}

void
CaroServiceRollouts_OnEvents(CaroServiceRollouts *r, CaroRolloutAttempt *a,
                             int n, CaroTime now)
{
    if (n > 0 && a->first_event_at == 0) {
        a->first_event_at = now;
        a->run_started_at = now;
        n--;
        if (a->work.prompt_tokens > 0) {
            judge(r, a, CARO_MEASURE_WAIT, a->has_wait_sample,
                  now - a->started_at, now);
        }
        a->has_wait_sample = true;
    }
    add_events(a, n, now);
    if (!a->has_pace_sample && a->n_events >= PACE_EVENTS_MAX) {
        judge_pace(r, a, now);
    }
}

/* Adds the sample of an attempt that was given up after a timeout.  While
   other prompts were ahead of it, a timeout is no sign that it was slow. */
static void
add_late_sample(CaroServiceRollouts *r, CaroRolloutAttempt *a, CaroTime now)
{
    CaroTime duration = now - a->started_at;
    CaroTime limit =
        a->is_stream
            ? CaroUsualTimes_Limit(r->usual_times, CARO_MEASURE_WAIT, &a->work)
            : 0;
    bool has_time_left = a->first_event_at == 0 && a->work.tokens_ahead > 0 &&
                         duration <= limit;
    if (!a->is_excused && !has_time_left) {
        add_sample(r, a, "timeout", true, duration, limit, now);
    }
}

void
CaroServiceRollouts_OnEnd(CaroServiceRollouts *r, CaroRolloutAttempt *a,
                          CaroAttemptResult result, CaroTime now)
{
    switch (result) {
    case CARO_ATTEMPT_ANSWERED:
        if (!a->is_stream) {
            judge(r, a, CARO_MEASURE_RESPONSE, false, now - a->started_at,
                  now);
        }
        else if (!a->has_pace_sample && a->shortest_run != 0) {
            judge_pace(r, a, now);
        }
        break;
    case CARO_ATTEMPT_FAILED:
        add_sample(r, a, "failure", true, now - a->started_at, 0, now);
        break;
    case CARO_ATTEMPT_LATE:
        add_late_sample(r, a, now);
        break;
    }
}

void
CaroServiceRollouts_CheckOverdue(CaroServiceRollouts *r, CaroRolloutAttempt *a,
                                 CaroTime now)
{
    if (a->is_bad || find_active_rollout(r, a->work.service) == NULL) {
        return;
    }
    if (a->first_event_at != 0) {
        if (!a->has_pace_sample && now - a->first_event_at > PACE_TIME_MAX) {
            judge_pace(r, a, now);
        }
        return;
    }
    CaroMeasure measure =
        a->is_stream ? CARO_MEASURE_WAIT : CARO_MEASURE_RESPONSE;
    CaroTime elapsed = now - a->started_at;
    if (a->is_excused ||
        (a->is_stream && (a->has_wait_sample || a->work.prompt_tokens == 0))) {
        return;
    }
    CaroTime limit = CaroUsualTimes_Limit(r->usual_times, measure, &a->work);
    if (limit > 0 && elapsed > limit) {
        add_sample(r, a, measure_name(measure), true, elapsed, limit, now);
        a->has_wait_sample = true;
    }
}

static uint64_t
rollout_id(const Rollout *rollout)
{
    return XXH64(rollout->request.service, strlen(rollout->request.service),
                 (XXH64_hash_t)rollout->request_revision);
}

int
CaroServiceRollouts_CollectEvidence(
    const CaroServiceRollouts *r,
    caro_rollout_evidence evidence[CARO_ROLLOUTS_MAX])
{
    int n = 0;
    for (int i = 0; i < ROLLOUTS_MAX && n < CARO_ROLLOUTS_MAX; i++) {
        const Rollout *rollout = &r->rollouts[i];
        CaroCanaryStatistics statistics;
        if (!rollout->is_used || rollout->request.version[0] == '\0' ||
            is_finished(rollout)) {
            continue;
        }
        CaroCanaryTest_Export(rollout->test, &statistics);
        caro_rollout_evidence *out = &evidence[n++];
        out->rollout_id = rollout_id(rollout);
        out->is_bad = CaroCanaryTest_IsBad(rollout->test);
        out->old_all = statistics.old_all;
        out->old_bad = statistics.old_bad;
        memcpy(out->logs, statistics.logs, sizeof(out->logs));
    }
    return n;
}

void
CaroServiceRollouts_ApplyEvidence(CaroServiceRollouts *r, CaroHandle vm,
                                  uint64_t boot_id,
                                  const caro_rollout_evidence *evidence,
                                  int count)
{
    for (int i = 0; i < count; i++) {
        for (int j = 0; j < ROLLOUTS_MAX; j++) {
            Rollout *rollout = &r->rollouts[j];
            if (!rollout->is_used ||
                rollout_id(rollout) != evidence[i].rollout_id) {
                continue;
            }
            CaroCanaryStatistics statistics = {.old_all = evidence[i].old_all,
                                               .old_bad = evidence[i].old_bad};
            memcpy(statistics.logs, evidence[i].logs, sizeof(statistics.logs));
            CaroCanaryTest_Import(rollout->test, vm, boot_id, &statistics);
            if (evidence[i].is_bad) {
                CaroCanaryTest_MarkBad(rollout->test);
            }
        }
    }
}

bool
CaroServiceRollouts_ConsumeChange(CaroServiceRollouts *r)
{
    bool has_change = r->has_unsent_change;
    r->has_unsent_change = false;
    return has_change;
}

static void
on_outcome_written(void *context, int code, int status,
                   const CaroStoreResponse *response, CaroTime sent_at)
{
    Rollout *rollout = context;
    (void)sent_at;
    rollout->is_writing = false;
    rollout->next_write = CaroClock_Now() + WRITE_RETRY_DELAY;
    if (code == 0 && status == 200 &&
        rollout->pending_revision == rollout->request_revision &&
        CaroRevision_IsSameTimeline(response->revision,
                                    rollout->request_revision)) {
        rollout->has_outcome = true;
        rollout->is_outcome_lost = false;
        rollout->outcome = rollout->pending_outcome;
        rollout->outcome_revision = response->revision;
    }
    CaroLog_Info("moves",
                 "A write of a rollout outcome ended. service=%s "
                 "version=%s state=%s code=%d status=%d",
                 rollout->request.service, rollout->request.version,
                 outcome_name(rollout->pending_outcome), code, status);
}

static void
write_outcome(CaroServiceRollouts *r, Rollout *rollout,
              CaroRolloutOutcome outcome, CaroTime now)
{
    char key[CARO_STORE_KEY_SIZE];
    char evidence[EVIDENCE_SIZE];
    CaroStoreCall call;
    char *value = CaroPlatform_WriteRolloutOutcome(
        outcome, rollout->request.version_text);
    CaroPlatform_WriteKey(key, sizeof(key), CARO_KEY_ROLLOUT_OUTCOME,
                          rollout->service);
    int rc = value == NULL
                 ? CARO_ERR_NOMEM
                 : CaroPlatform_CallPut(&call, key, value,
                                        rollout->outcome_revision, 0);
    free(value);
    if (rc < 0) {
        CaroLog_Error("moves",
                      "Out of memory writing a rollout outcome. service=%s",
                      rollout->request.service);
        rollout->next_write = now + WRITE_RETRY_DELAY;
        return;
    }
    CaroLog_Info("moves",
                 "Writing a rollout outcome. service=%s version=%s state=%s "
                 "elapsed_ms=%lld evidence=\"%s\"",
                 rollout->request.service, rollout->request.version,
                 outcome_name(outcome),
                 (long long)((now - rollout->request_seen_at) / CARO_MS),
                 CaroCanaryTest_FormatEvidence(rollout->test, evidence,
                                               sizeof(evidence)));
    rollout->is_writing = true;
    rollout->pending_outcome = outcome;
    rollout->pending_revision = rollout->request_revision;
    CaroStoreClient_Call(r->client, &call, WRITE_TIMEOUT, on_outcome_written,
                         rollout);
}

/* Returns whether this VM has waited long enough for all VMs of lower rank
   to act first. */
static bool
is_rank_delay_over(const CaroServiceRollouts *r, CaroTime waited)
{
    return waited >= r->rank * RANK_DELAY;
}

static void
tick_rollout(CaroServiceRollouts *r, Rollout *rollout, CaroTime now)
{
    if (CaroCanaryTest_Tick(rollout->test, now / CARO_MS)) {
        r->has_unsent_change = true;
    }
    if (rollout->request.version[0] == '\0' || rollout->is_writing ||
        now < rollout->next_write || r->is_list_due) {
        return;
    }
    if (rollout->is_outcome_lost) {
        if (is_rank_delay_over(r, now - r->restored_at)) {
            write_outcome(r, rollout, rollout->outcome, now);
        }
        return;
    }
    if (is_finished(rollout)) {
        return;
    }
    CaroRolloutSchedule schedule = make_schedule(rollout, now);
    CaroRolloutSchedule delayed = schedule;
    delayed.elapsed -= r->rank * RANK_DELAY;
    switch (CaroRolloutSchedule_Next(&schedule)) {
    case CARO_ROLLOUT_STEP_START:
        if (is_rank_delay_over(r, schedule.elapsed)) {
            write_outcome(r, rollout, CARO_ROLLOUT_OUTCOME_RUNNING, now);
        }
        break;
    case CARO_ROLLOUT_STEP_CONTINUE:
        break;
    case CARO_ROLLOUT_STEP_FINISH:
        if (CaroRolloutSchedule_Next(&delayed) == CARO_ROLLOUT_STEP_FINISH) {
            write_outcome(r, rollout, CARO_ROLLOUT_OUTCOME_DONE, now);
        }
        break;
    case CARO_ROLLOUT_STEP_ROLL_BACK:
        /* A version that was found bad is rolled back without delay. */
        if (CaroRolloutSchedule_Next(&delayed) ==
            CARO_ROLLOUT_STEP_ROLL_BACK) {
            write_outcome(r, rollout, CARO_ROLLOUT_OUTCOME_ROLLED_BACK, now);
        }
        break;
    }
}

json_t *
CaroServiceRollouts_Dump(const CaroServiceRollouts *r)
{
    json_t *list = json_array();
    for (int i = 0; i < ROLLOUTS_MAX; i++) {
        const Rollout *rollout = &r->rollouts[i];
        char evidence[EVIDENCE_SIZE];
        if (rollout->is_used) {
            (void)json_array_append_new(
                list,
                json_pack("{s:s, s:s, s:s, s:s}", "service",
                          rollout->request.service, "version",
                          rollout->request.version, "state",
                          rollout->has_outcome ? outcome_name(rollout->outcome)
                                               : "ordered",
                          "evidence",
                          CaroCanaryTest_FormatEvidence(
                              rollout->test, evidence, sizeof(evidence))));
        }
    }
    return list;
}

void
CaroServiceRollouts_Tick(CaroServiceRollouts *r, CaroTime now)
{
    for (int i = 0; i < ROLLOUTS_MAX; i++) {
        if (r->rollouts[i].is_used) {
            tick_rollout(r, &r->rollouts[i], now);
        }
    }
}
