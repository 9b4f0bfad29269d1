/*
 * NAME
 *     caro_rollout - share of a new version and canary test of its quality
 *
 * The share of the new version of a deployment is a pure function of the
 * configured times; caro_rollout_schedule.h has that of a service.
 * The canary test compares samples, good or bad, of the new version with
 * those of the old version at the same time.  It is a sequential test: for a
 * version that is no worse than the old one, the probability to be found bad
 * at any time of a rollout is at most CARO_CANARY_FALSE_POSITIVE_RATE,
 * however often the test is evaluated.
 *
 * SOURCE
 *     J. Ville, 1939 (the inequality); G. Shafer, "Testing by betting",
 *     2021 (the test as a bet against the old version's rate).
 */
#ifndef CARO_ROLLOUT_H
#define CARO_ROLLOUT_H

#include "internal/caro_config.h"

/* Test statistics that two VMs exchange. */
enum { CARO_CANARY_STATISTICS_MAX = 4 };

/* Groups of accounts that are tested separately. */
enum { CARO_CANARY_GROUPS_MAX = 8 };

#define CARO_CANARY_FALSE_POSITIVE_RATE 0.001

typedef struct CaroCanaryTest CaroCanaryTest;

/* How the share grows over the time of a rollout. */
typedef struct {
    double canary_share;    /* Share at the start. */
    double canary_fraction; /* Fraction of the time at that share. */
    double full_fraction;   /* Fraction of the time before the full share. */
} CaroRolloutPace;

/* For sites that prefer a safe rollback to a fast rollout, such as Fiaccole.
 */
extern const CaroRolloutPace CARO_PACE_CAREFUL;
/* For sites that prefer a fast rollout, such as Krovograd. */
extern const CaroRolloutPace CARO_PACE_QUICK;

CaroCanaryTest *CaroCanaryTest_Create(void);
void CaroCanaryTest_Destroy(CaroCanaryTest *t);

/* Discards all evidence, because another rollout starts. */
void CaroCanaryTest_Reset(CaroCanaryTest *t);

/* Sets the longest time that a sample of the new version waits for samples of
   the old one after it; at most a minute, which Reset restores. */
void CaroCanaryTest_SetHoldMax(CaroCanaryTest *t, int64_t hold_max_ms);

/*
 * Adds one sample, taken at a wall time.  "group" is any number, such as a
 * hash of the account, and is reduced to one of the groups.
 */
void CaroCanaryTest_AddSample(CaroCanaryTest *t, bool is_new, uint64_t group,
                              bool is_bad, int64_t now_ms);

/* Evaluates the samples that have been held long enough; call it often.
   Returns whether there were any. */
bool CaroCanaryTest_Tick(CaroCanaryTest *t, int64_t now_ms);

/* The evidence of one VM, for the other VMs. */
typedef struct {
    /* Natural logarithms of the test statistics, in thousandths. */
    int32_t logs[CARO_CANARY_STATISTICS_MAX];
    uint32_t old_all; /* Samples of the old version. */
    uint32_t old_bad; /* Bad ones among them. */
} CaroCanaryStatistics;

void CaroCanaryTest_Export(const CaroCanaryTest *t, CaroCanaryStatistics *out);

/*
 * Applies what the VM with the handle exported last; it replaces the
 * previous import from that start of the VM, and adds to those from earlier
 * ones.
 */
void CaroCanaryTest_Import(CaroCanaryTest *t, int vm, uint64_t boot_id,
                           const CaroCanaryStatistics *in);

/* The new version is worse and must be rolled back.  Stays true. */
bool CaroCanaryTest_IsBad(const CaroCanaryTest *t);

/* Samples of the old version at each VM, on the mean of those VMs that are
   known; -1 when there are too few. */
double CaroCanaryTest_OldSamplesPerVm(const CaroCanaryTest *t);

/*
 * The evidence of all VMs is in favour of the new version: its samples fit the
 * old version's rate better than a higher one.  Without samples of the new
 * version this is only true if there are also too few of the old one to expect
 * any.
 */
bool CaroCanaryTest_IsSupported(const CaroCanaryTest *t);

/* Another VM or an operator found the new version bad. */
void CaroCanaryTest_MarkBad(CaroCanaryTest *t);

/* Writes the sample counts of both versions as text.  Returns buf. */
const char *CaroCanaryTest_FormatEvidence(const CaroCanaryTest *t, char *buf,
                                          size_t size);

/* Returns the share of the fleet's requests for the new version, 0 to 1. */
double CaroRolloutPlan_Share(const CaroRolloutPlan *plan,
                             const CaroRolloutPace *pace, int64_t now_ms);

/*
 * Returns the fraction of its requests that the VM of the given rank sends
 * to the new version.  A small share is concentrated on few VMs, so that
 * each of them has enough samples for a test of its own.
 */
double CaroRolloutPlan_VmShare(double share, int rank, int vms);

#endif
