/*
 * NAME
 *     caro_rollout_schedule - the course of a move of traffic to another
 * version
 *
 * Answers versions that turn out bad early, late or under load: the share
 * of the new version grows in steps whose mean, if it is never found bad,
 * stays below the share that may be exposed, and the move is done shortly
 * before its time is over.
 */
#ifndef CARO_ROLLOUT_SCHEDULE_H
#define CARO_ROLLOUT_SCHEDULE_H

#include "internal/caro_types.h"

typedef enum {
    CARO_ROLLOUT_STEP_START, /* The order is new: say that it runs. */
    CARO_ROLLOUT_STEP_CONTINUE,
    CARO_ROLLOUT_STEP_FINISH,   /* Say that it is done. */
    CARO_ROLLOUT_STEP_ROLL_BACK /* Say that it is taken back. */
} CaroRolloutStep;

typedef struct {
    bool is_start_recorded; /* It was said that it runs. */
    bool is_bad;            /* The evidence speaks against the version. */
    CaroTime elapsed;       /* Since the order was seen. */
    CaroTime duration;      /* That the operator allows. */
    double requests;        /* Of all VMs since then, about. */
} CaroRolloutSchedule;

/*
 * Of all requests, for the new version; on the mean "most" may be exposed,
 * and "slack" requests besides, which let a service with few requests be
 * judged at all.
 */
double CaroRolloutSchedule_Share(const CaroRolloutSchedule *c, double most,
                                 double slack);

CaroRolloutStep CaroRolloutSchedule_Next(const CaroRolloutSchedule *c);

#endif
