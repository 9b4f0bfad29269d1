/* The course of a move of traffic to another version. */
#include "internal/caro_rollout_schedule.h"

/* Parts of the time and shares relative to the exposed one.  Their mean is
   0.76 of it: 0.6 x 0.5 + 0.25 x 1 + 0.07 x 3. */
#define TRIAL_PART 0.60
#define TRIAL_SHARE 0.5
#define WIDE_PART 0.85
#define WIDE_SHARE 1.0
#define LOAD_SHARE 3.0
/* Of the slack: VMs know each other's requests only about. */
#define SLACK_PART 0.5
#define SLACK_SHARE_MOST 0.3
/* Before that the pace of requests is not known. */
#define PACE_MIN (500 * CARO_MS)
/* The rest of the time is for the outcome to be written. */
#define FINISH_PART 0.92

static double
part_of(const CaroRolloutSchedule *c)
{
    return c->duration <= 0 ? 1.0 : (double)c->elapsed / (double)c->duration;
}

/* The share that spends a part of the slack over the whole time, at the
   pace of requests so far. */
static double
slack_share(const CaroRolloutSchedule *c, double slack)
{
    if (c->elapsed < PACE_MIN || c->requests <= 0.0) {
        return 0.0;
    }
    double expected = c->requests / (double)c->elapsed * (double)c->duration;
    double share = SLACK_PART * slack / expected;
    return share < SLACK_SHARE_MOST ? share : SLACK_SHARE_MOST;
}

double
CaroRolloutSchedule_Share(const CaroRolloutSchedule *c, double most,
                          double slack)
{
    double part = part_of(c);
    if (c->is_bad) {
        return 0.0;
    }
    double step = part < TRIAL_PART  ? TRIAL_SHARE
                  : part < WIDE_PART ? WIDE_SHARE
                                     : LOAD_SHARE;
    double share = step * most + slack_share(c, slack);
    return share < 1.0 ? share : 1.0;
}

CaroRolloutStep
CaroRolloutSchedule_Next(const CaroRolloutSchedule *c)
{
    if (c->is_bad) {
        return CARO_ROLLOUT_STEP_ROLL_BACK;
    }
    if (part_of(c) >= FINISH_PART) {
        return CARO_ROLLOUT_STEP_FINISH;
    }
    return c->is_start_recorded ? CARO_ROLLOUT_STEP_CONTINUE
                                : CARO_ROLLOUT_STEP_START;
}
