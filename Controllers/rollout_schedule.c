/* The share of the new version over the time of a rollout. */
#include "internal/caro_rollout_schedule.h"

/* Each stage ends at a fraction of the rollout's time and multiplies the
   largest exposure by a factor.  The mean of the stages is at most 0.91 of
   that exposure: 0.6 x 0.5 + 0.25 x 1 + 0.12 x 3, if the end is late. */
#define TRIAL_END_FRACTION 0.60
#define TRIAL_FACTOR 0.5
#define WIDE_END_FRACTION 0.85
#define WIDE_FACTOR 1.0
#define LOAD_FACTOR 3.0
/* Fraction of the request allowance that is spent.  The rest is a margin,
   since VMs know each other's request counts only approximately. */
#define ALLOWANCE_FRACTION 0.5
#define ALLOWANCE_SHARE_MAX 0.45
/* The rate of requests is unknown before this much of the rollout. */
#define RATE_TIME_MIN (500 * CARO_MS)
/* The rest of the time is for writing the outcome. */
#define FINISH_FRACTION 0.92
/* Time until which missing evidence is awaited. */
#define GIVE_UP_FRACTION 0.97

static double
elapsed_fraction(const CaroRolloutSchedule *s)
{
    return s->duration <= 0 ? 1.0 : (double)s->elapsed / (double)s->duration;
}

/* Returns the share that spends ALLOWANCE_FRACTION of the allowance over the
   whole rollout at the rate of requests so far. */
static double
allowance_share(const CaroRolloutSchedule *s, double request_allowance)
{
    if (s->elapsed < RATE_TIME_MIN || s->requests <= 0.0) {
        return 0.0;
    }
    double expected = s->requests / (double)s->elapsed * (double)s->duration;
    double share = ALLOWANCE_FRACTION * request_allowance / expected;
    return share < ALLOWANCE_SHARE_MAX ? share : ALLOWANCE_SHARE_MAX;
}

double
CaroRolloutSchedule_Share(const CaroRolloutSchedule *s, double exposure_max,
                          double request_allowance)
{
    double fraction = elapsed_fraction(s);
    if (s->is_bad) {
        return 0.0;
    }
    double factor = fraction < TRIAL_END_FRACTION  ? TRIAL_FACTOR
                    : fraction < WIDE_END_FRACTION ? WIDE_FACTOR
                                                   : LOAD_FACTOR;
    double share =
        factor * exposure_max + allowance_share(s, request_allowance);
    return share < 1.0 ? share : 1.0;
}

CaroRolloutStep
CaroRolloutSchedule_Next(const CaroRolloutSchedule *s)
{
    if (s->is_bad) {
        return CARO_ROLLOUT_STEP_ROLL_BACK;
    }
    if (elapsed_fraction(s) >= FINISH_FRACTION && s->is_supported) {
        return CARO_ROLLOUT_STEP_FINISH;
    }
    if (elapsed_fraction(s) >= GIVE_UP_FRACTION) {
        return CARO_ROLLOUT_STEP_ROLL_BACK;
    }
    return s->is_start_recorded ? CARO_ROLLOUT_STEP_CONTINUE
                                : CARO_ROLLOUT_STEP_START;
}
