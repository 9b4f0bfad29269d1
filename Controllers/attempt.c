/* What follows when an attempt at an upstream ends. */
#include "internal/caro_attempt.h"

/* Limit of attempts of any kind.  Targets of a crashed domain stay registered
   for some seconds, and each may cost one quick attempt. */
#define TRIES_MAX 24
/* An upstream could not respond in less time: a connection and a response
   across domains take some milliseconds each. */
#define TIME_LEFT_MIN (20 * CARO_MS)

const char *
CaroOutcome_Name(CaroOutcome outcome)
{
    switch (outcome) {
    case CARO_OUTCOME_UNSENT:
        return "unsent";
    case CARO_OUTCOME_NO_PATH:
        return "no-path";
    case CARO_OUTCOME_GONE:
        return "gone";
    case CARO_OUTCOME_NOT_RUN:
        return "not-run";
    case CARO_OUTCOME_NO_TARGET:
        return "no-upstream";
    case CARO_OUTCOME_LOST:
        return "lost";
    case CARO_OUTCOME_SILENT:
        return "silent";
    case CARO_OUTCOME_FAILED:
        return "failed";
    case CARO_OUTCOME_EXPIRED:
        return "expired";
    }
    return "unknown";
}

const char *
CaroRetryLimit_Name(CaroRetryLimit limit)
{
    switch (limit) {
    case CARO_RETRY_ALLOWED:
        return "allowed";
    case CARO_RETRY_UNSAFE:
        return "unsafe";
    case CARO_RETRY_NO_TIME:
        return "no-time";
    case CARO_RETRY_NO_TRIES:
        return "no-tries";
    case CARO_RETRY_NO_RUNS:
        return "no-runs";
    case CARO_RETRY_NO_BUDGET:
        return "no-budget";
    case CARO_RETRY_BARRED:
        return "barred";
    }
    return "unknown";
}

bool
CaroOutcome_CountsAsRun(CaroOutcome outcome)
{
    return outcome == CARO_OUTCOME_LOST || outcome == CARO_OUTCOME_SILENT ||
           outcome == CARO_OUTCOME_FAILED;
}

bool
CaroAttempt_IsRetryable(const CaroAttempt *a)
{
    switch (a->kind) {
    case CARO_ROUTE_IDEMPOTENT:
        return !a->has_response_begun;
    case CARO_ROUTE_STREAM:
        return a->is_resumable;
    default:
        return false;
    }
}

CaroRetryLimit
CaroAttempt_CheckRetry(const CaroAttempt *a, bool has_run, bool has_budget,
                       CaroTime now)
{
    if (a->is_barred) {
        return CARO_RETRY_BARRED;
    }
    if (has_run && !CaroAttempt_IsRetryable(a)) {
        return CARO_RETRY_UNSAFE;
    }
    if (now + TIME_LEFT_MIN >= a->deadline) {
        return CARO_RETRY_NO_TIME;
    }
    if (a->tries >= TRIES_MAX) {
        return CARO_RETRY_NO_TRIES;
    }
    if (has_run && a->runs + 1 >= a->attempts_max) {
        return CARO_RETRY_NO_RUNS;
    }
    return has_budget ? CARO_RETRY_ALLOWED : CARO_RETRY_NO_BUDGET;
}

/* Returns the step for a request that is not retried. */
static CaroStep
give_up(const CaroAttempt *a)
{
    if (a->has_response_begun) {
        return CARO_STEP_ABORT;
    }
    return a->may_have_run ? CARO_STEP_FAIL : CARO_STEP_REFUSE;
}

/* A stream whose caller already has events waits for a target and for budget,
   since a failure now would waste them. */
static bool
can_wait(const CaroAttempt *a, CaroRetryLimit limit)
{
    return a->has_response_begun && a->is_resumable &&
           (limit == CARO_RETRY_ALLOWED || limit == CARO_RETRY_NO_BUDGET);
}

/* Returns the end of a wait for the budget to resume a lost stream.  After the
   gap objective the caller gets the rest sooner from another VM, at which it
   resumes a stream that was cut. */
static CaroTime
budget_wait_end(const CaroAttempt *a)
{
    CaroTime end = a->last_event_at + a->gap;
    return a->gap > 0 && end < a->deadline ? end : a->deadline;
}

CaroStep
CaroAttempt_End(CaroAttempt *a, CaroOutcome outcome, bool has_budget,
                CaroTime now)
{
    bool has_run = CaroOutcome_CountsAsRun(outcome);
    CaroRetryLimit limit = CaroAttempt_CheckRetry(a, has_run, has_budget, now);
    a->wait_end = a->deadline;
    if (has_run) {
        a->may_have_run = true;
        a->runs++;
    }
    switch (outcome) {
    case CARO_OUTCOME_EXPIRED:
        return a->has_response_begun ? CARO_STEP_ABORT : CARO_STEP_EXPIRE;
    case CARO_OUTCOME_NO_TARGET:
        return can_wait(a, limit) ? CARO_STEP_WAIT : give_up(a);
    case CARO_OUTCOME_FAILED:
        if (limit != CARO_RETRY_ALLOWED && !a->has_response_begun) {
            return CARO_STEP_FORWARD;
        }
        break;
    case CARO_OUTCOME_UNSENT:
    case CARO_OUTCOME_NO_PATH:
    case CARO_OUTCOME_GONE:
    case CARO_OUTCOME_NOT_RUN:
        if (limit != CARO_RETRY_ALLOWED && can_wait(a, limit)) {
            return CARO_STEP_WAIT;
        }
        break;
    case CARO_OUTCOME_LOST:
    case CARO_OUTCOME_SILENT:
        break;
    }
    if (limit == CARO_RETRY_NO_BUDGET && can_wait(a, limit) &&
        now < budget_wait_end(a)) {
        a->wait_end = budget_wait_end(a);
        return CARO_STEP_WAIT;
    }
    return limit == CARO_RETRY_ALLOWED ? CARO_STEP_RETRY : give_up(a);
}
