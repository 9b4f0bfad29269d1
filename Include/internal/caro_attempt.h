/*
 * NAME
 *     caro_attempt - what follows when an attempt at an upstream ends
 *
 * Answers the load of failing upstreams: a request is repeated where that
 * is safe and still of use, and else answered at once with the status that
 * is true of it.
 */
#ifndef CARO_ATTEMPT_H
#define CARO_ATTEMPT_H

#include "internal/caro_routes.h"

/* How an attempt ended. */
typedef enum {
    CARO_OUTCOME_UNSENT,    /* No byte can have reached the upstream. */
    CARO_OUTCOME_GONE,      /* The upstream is no longer there. */
    CARO_OUTCOME_NOT_RUN,   /* The upstream said that it did not run. */
    CARO_OUTCOME_NO_TARGET, /* There is no upstream to send it to. */
    CARO_OUTCOME_LOST,      /* The answer broke off or was no answer. */
    CARO_OUTCOME_SILENT,    /* Nothing came for too long. */
    CARO_OUTCOME_FAILED,    /* The upstream answered with a failure. */
    CARO_OUTCOME_EXPIRED    /* The request's time is over. */
} CaroOutcome;

typedef enum {
    CARO_STEP_RETRY,   /* Send it to another upstream now. */
    CARO_STEP_WAIT,    /* Look for an upstream again in a moment. */
    CARO_STEP_FORWARD, /* Pass the upstream's failure on. */
    CARO_STEP_REFUSE,  /* Refuse; it has not run and will not. */
    CARO_STEP_FAIL,    /* Answer that the outcome is not known. */
    CARO_STEP_EXPIRE,  /* Answer that time ran out. */
    CARO_STEP_ABORT    /* The answer has begun: cut it. */
} CaroStep;

/* One request across its attempts. */
typedef struct {
    CaroRouteKind kind;
    bool is_resumable;
    bool has_response_begun; /* The caller has a part of the answer. */
    bool may_have_run;       /* At some upstream. */
    int64_t runs;            /* Upstreams that may have run it. */
    int64_t attempts_max;    /* The most of them. */
    int tries;               /* Attempts, whether run or not. */
    CaroTime deadline;
} CaroAttempt;

/* A word for logs. */
const char *CaroOutcome_Name(CaroOutcome outcome);

/* The request may run a second time, or go on where it broke off. */
bool CaroAttempt_IsRetryable(const CaroAttempt *a);

/*
 * Counts the outcome and says what follows.  has_budget tells whether the
 * deployment's retry budget allows one more.
 */
CaroStep CaroAttempt_End(CaroAttempt *a, CaroOutcome outcome, bool has_budget,
                         CaroTime now);

#endif
