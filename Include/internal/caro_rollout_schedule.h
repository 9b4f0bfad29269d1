/*
 * NAME
 *     caro_rollout_schedule - share of the new version over the time of a
 *     rollout of a service
 *
 * Limits the harm of a version that turns out to be bad early, late or only
 * under load.  The share of the new version grows in stages.  Its mean, for
 * a version that is never found bad, stays below the share that may be
 * exposed.  The rollout is finished shortly before its time ends, if the
 * evidence is in favour of the new version, and rolled back a little later if
 * it isn't by then.
 */
#ifndef CARO_ROLLOUT_SCHEDULE_H
#define CARO_ROLLOUT_SCHEDULE_H

#include "internal/caro_types.h"

/* The next action for a rollout. */
typedef enum {
    CARO_ROLLOUT_STEP_START, /* The request is new: record that it runs. */
    CARO_ROLLOUT_STEP_CONTINUE,
    CARO_ROLLOUT_STEP_FINISH,   /* Record that the rollout is done. */
    CARO_ROLLOUT_STEP_ROLL_BACK /* Record that it is rolled back. */
} CaroRolloutStep;

/* The state of a rollout. */
typedef struct {
    bool is_start_recorded; /* The store has the outcome "running". */
    bool is_bad;            /* The canary test found the version bad. */
    bool is_supported;      /* The evidence is in favour of the version. */
    CaroTime elapsed;       /* Since the request was first seen. */
    CaroTime duration;      /* Time that the operator allows. */
    double requests;        /* Estimate for all VMs since the start. */
} CaroRolloutSchedule;

/*
 * Returns the fraction of all requests that goes to the new version.
 * "exposure_max" limits its mean over the rollout.  "request_allowance" is a
 * number of requests that may be exposed besides, so that a service with few
 * requests gets enough samples for the canary test.
 */
double CaroRolloutSchedule_Share(const CaroRolloutSchedule *s,
                                 double exposure_max,
                                 double request_allowance);

CaroRolloutStep CaroRolloutSchedule_Next(const CaroRolloutSchedule *s);

#endif
