/*
 * NAME
 *     caro_attempt - what follows when an attempt at an upstream ends
 *
 * Limits the load on failing upstreams.  A request is retried where that is
 * safe and can still meet its deadline.  Otherwise the caller at once gets
 * a status that tells truthfully whether the request may have run.
 */
#ifndef CARO_ATTEMPT_H
#define CARO_ATTEMPT_H

#include "internal/caro_routes.h"

/* How an attempt ended. */
typedef enum {
    CARO_OUTCOME_UNSENT,    /* No byte can have reached the upstream. */
    CARO_OUTCOME_NO_PATH,   /* Likewise, for lack of a VM that connects. */
    CARO_OUTCOME_GONE,      /* The upstream no longer exists. */
    CARO_OUTCOME_NOT_RUN,   /* The upstream states that it did not run. */
    CARO_OUTCOME_NO_TARGET, /* No upstream is available. */
    CARO_OUTCOME_LOST,      /* The response was truncated or malformed. */
    CARO_OUTCOME_SILENT,    /* The upstream sent nothing within the timeout. */
    CARO_OUTCOME_FAILED,    /* The upstream responded with a failure. */
    CARO_OUTCOME_EXPIRED    /* The request's deadline has passed. */
} CaroOutcome;

/* What to do with the request next. */
typedef enum {
    CARO_STEP_RETRY,   /* Send it to another upstream now. */
    CARO_STEP_WAIT,    /* Try again after a short delay, once there is budget,
                          until "wait_end". */
    CARO_STEP_FORWARD, /* Forward the upstream's failure response. */
    CARO_STEP_REFUSE,  /* Refuse it: it has not run and will not run. */
    CARO_STEP_FAIL,    /* Respond that its outcome is unknown. */
    CARO_STEP_EXPIRE,  /* Respond that its deadline has passed. */
    CARO_STEP_ABORT    /* Truncate the response that has begun. */
} CaroStep;

/* What keeps a request from another attempt. */
typedef enum {
    CARO_RETRY_ALLOWED,   /* Nothing does. */
    CARO_RETRY_UNSAFE,    /* It may have run and must not run twice. */
    CARO_RETRY_NO_TIME,   /* Too little time is left. */
    CARO_RETRY_NO_TRIES,  /* The limit of attempts of any kind is reached. */
    CARO_RETRY_NO_RUNS,   /* The limit of runs is reached. */
    CARO_RETRY_NO_BUDGET, /* The deployment's retry budget is used up. */
    CARO_RETRY_BARRED     /* A part of its prompt is in quarantine. */
} CaroRetryLimit;

/* One request across its attempts. */
typedef struct {
    CaroRouteKind kind;
    bool is_resumable;
    bool has_response_begun; /* The caller has a part of the response. */
    bool may_have_arrived;   /* A byte of it may have reached an upstream. */
    bool may_have_run;       /* Some upstream may have run the request. */
    int64_t runs;            /* Attempts in which it may have run. */
    int64_t attempts_max;    /* Limit of "runs". */
    int tries;               /* Attempts, whether the request ran or not. */
    CaroTime deadline;
    CaroTime gap;           /* Objective between two events; 0 for none. */
    CaroTime last_event_at; /* For CaroAttempt_End; see "wait_end". */
    CaroTime wait_end;      /* Set with CARO_STEP_WAIT. */
    bool is_barred;         /* No further attempt may be made. */
} CaroAttempt;

/* Return a word for logs. */
const char *CaroOutcome_Name(CaroOutcome outcome);
const char *CaroRetryLimit_Name(CaroRetryLimit limit);

/* The request may run again, or be resumed behind its last event. */
bool CaroAttempt_IsRetryable(const CaroAttempt *a);

/*
 * Returns what keeps the request from another attempt after the present one.
 * "has_run" tells whether the present one counts as a run, "has_budget"
 * whether the deployment's retry budget allows one more retry.
 */
CaroRetryLimit CaroAttempt_CheckRetry(const CaroAttempt *a, bool has_run,
                                      bool has_budget, CaroTime now);

/* Tells whether an attempt with the outcome counts as a run. */
bool CaroOutcome_CountsAsRun(CaroOutcome outcome);

/* Counts the outcome and returns the next step; see CaroAttempt_CheckRetry. */
CaroStep CaroAttempt_End(CaroAttempt *a, CaroOutcome outcome, bool has_budget,
                         CaroTime now);

#endif
