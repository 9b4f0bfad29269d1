/* What follows when an attempt at an upstream ends. */
#include "internal/caro_attempt.h"

/* Attempts of any kind; a bound on work.  Entries of a domain that crashed
   stay listed for some seconds, and each may cost one quick attempt. */
#define TRIES_MAX 24
/* With less time left an upstream could not answer: a connection and an
   answer across domains take some milliseconds each. */
#define USEFUL_MIN (20 * CARO_MS)

const char *
CaroOutcome_Name(CaroOutcome outcome)
{
    switch (outcome) {
    case CARO_OUTCOME_UNSENT:
        return "unsent";
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

/* The status that is true of a request that is given up. */
static CaroStep
give_up(const CaroAttempt *a)
{
    if (a->has_response_begun) {
        return CARO_STEP_ABORT;
    }
    return a->may_have_run ? CARO_STEP_FAIL : CARO_STEP_REFUSE;
}

CaroStep
CaroAttempt_End(CaroAttempt *a, CaroOutcome outcome, bool has_budget,
                CaroTime now)
{
    bool is_useful = now + USEFUL_MIN < a->deadline && a->tries < TRIES_MAX;
    switch (outcome) {
    case CARO_OUTCOME_EXPIRED:
        return a->has_response_begun ? CARO_STEP_ABORT : CARO_STEP_EXPIRE;
    case CARO_OUTCOME_UNSENT:
    case CARO_OUTCOME_GONE:
    case CARO_OUTCOME_NOT_RUN:
        return is_useful && has_budget ? CARO_STEP_RETRY : give_up(a);
    case CARO_OUTCOME_NO_TARGET:
        /* A stream that has begun waits: its caller would lose more. */
        return is_useful && a->has_response_begun && a->is_resumable
                   ? CARO_STEP_WAIT
                   : give_up(a);
    case CARO_OUTCOME_LOST:
    case CARO_OUTCOME_SILENT:
    case CARO_OUTCOME_FAILED:
        a->may_have_run = true;
        a->runs++;
        if (is_useful && has_budget && CaroAttempt_IsRetryable(a) &&
            a->runs < a->attempts_max) {
            return CARO_STEP_RETRY;
        }
        return outcome == CARO_OUTCOME_FAILED && !a->has_response_begun
                   ? CARO_STEP_FORWARD
                   : give_up(a);
    }
    return give_up(a);
}
