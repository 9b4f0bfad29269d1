/*
 * NAME
 *     caro_rollout - a move of traffic to another version, and its end
 *
 * The share of the new version is a pure function of the declared times.
 * Evidence is a row of samples, good or bad, of the new version beside
 * the old one at the same time.  A sequential test says when the new one
 * is worse; its chance to say so of a version that is not is at most
 * CARO_CANARY_FALSE_POSITIVE_RATE for a whole move, however often it is asked.
 *
 * SOURCE
 *     J. Ville, 1939 (the inequality); G. Shafer, "Testing by betting",
 *     2021 (the test as a bet against the old version's rate).
 */
#ifndef CARO_ROLLOUT_H
#define CARO_ROLLOUT_H

#include "internal/caro_config.h"

enum {
    CARO_CANARY_STATISTICS_MAX =
        4 /* Numbers that two VMs exchange of a test. */
};

enum { CARO_CANARY_GROUPS_MAX = 8 /* Groups of accounts judged apart. */ };

#define CARO_CANARY_FALSE_POSITIVE_RATE 0.001

typedef struct CaroCanaryTest CaroCanaryTest;

/* How to weigh speed against care. */
typedef struct {
    double canary;          /* Share at the start. */
    double canary_fraction; /* Part of the time spent at that share. */
    double full_fraction;   /* Part of the time after which the share is 1. */
} CaroRolloutPace;

/* Fiaccole weighs taking bad versions back more, Krovograd pace. */
extern const CaroRolloutPace CARO_PACE_CAREFUL;
extern const CaroRolloutPace CARO_PACE_QUICK;

CaroCanaryTest *CaroCanaryTest_Create(void);
void CaroCanaryTest_Destroy(CaroCanaryTest *r);

/* Forgets all evidence: another move begins. */
void CaroCanaryTest_Reset(CaroCanaryTest *r);

/* One sample at a wall time; route is any number, as a hash of the
   account. */
void CaroCanaryTest_AddSample(CaroCanaryTest *r, bool is_new, uint64_t route,
                              bool is_bad, int64_t now_ms);

/* Judges the samples that have waited long enough; call it often. */
void CaroCanaryTest_Tick(CaroCanaryTest *r, int64_t now_ms);

/* What a VM has seen, for others. */
typedef struct {
    int32_t logs[CARO_CANARY_STATISTICS_MAX]; /* Logarithms of its stakes,
                                                 thousandths. */
    uint32_t old_all;                         /* Samples of the old version. */
    uint32_t old_bad;
} CaroCanaryStatistics;

/* Import takes what the VM with the handle exported last. */
void CaroCanaryTest_Export(const CaroCanaryTest *r, CaroCanaryStatistics *out);
void CaroCanaryTest_Import(CaroCanaryTest *r, int vm,
                           const CaroCanaryStatistics *in);

/* The new version is worse: take it back.  Never becomes false. */
bool CaroCanaryTest_IsBad(const CaroCanaryTest *r);

/* Another VM or an operator says that it is bad. */
void CaroCanaryTest_MarkBad(CaroCanaryTest *r);

/* Text for people: samples and rates of both.  Returns buf. */
const char *CaroCanaryTest_FormatEvidence(const CaroCanaryTest *r, char *buf,
                                          size_t size);

/* Share of the fleet's requests for the new version, 0 to 1. */
double CaroRolloutPlan_Share(const CaroRolloutPlan *plan,
                             const CaroRolloutPace *pace, int64_t now_ms);

/*
 * The part of its requests that the VM of the given rank sends to the new
 * version.  A small share is borne by few VMs, so that one VM sees enough
 * to judge by itself.
 */
double CaroRolloutPlan_VmShare(double share, int rank, int vms);

#endif
