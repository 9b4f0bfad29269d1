/*
 * NAME
 *     caro_deployment_rollouts - rollouts of deployments from one version to
 *     another
 *
 * Chooses the version of each generation at this VM by the share that the
 * new version has at the time, samples both versions, and exchanges the
 * evidence with the other VMs.
 */
#ifndef CARO_DEPLOYMENT_ROLLOUTS_H
#define CARO_DEPLOYMENT_ROLLOUTS_H

#include "internal/caro_common.h"
#include "internal/caro_config_manager.h"
#include "internal/caro_rollout.h"

typedef struct CaroDeploymentRollouts CaroDeploymentRollouts;

/* The version chosen for a generation, and its sample in progress. */
typedef struct {
    char version[CARO_NAME_SIZE]; /* Version to use; empty for any. */
    bool is_new;       /* The version is the new one of a running rollout. */
    bool is_sampled;   /* The generation has given its sample. */
    double gap_sum_ms; /* Sum of the gaps between tokens so far. */
    uint32_t gaps;     /* Number of gaps in gap_sum_ms. */
} CaroVersionChoice;

/* A running rollout. */
typedef struct {
    uint64_t id; /* Identifies the rollout in heartbeats; 0 when unused. */
    char deployment[CARO_NAME_SIZE];
    CaroRolloutPlan plan;
    CaroCanaryTest *canary_test;
    /* Moving averages over the old version; 0 before the first sample. */
    double baseline_first_ms; /* Wait for the first token. */
    double baseline_gap_ms;   /* Gap between tokens. */
    bool is_bad_reported;     /* The bad version has been reported here. */
} CaroDeploymentRollout;

/* Called once per rollout when the new version is found to be bad, here or by
   another VM; to be announced to the other VMs at once. */
typedef void (*CaroBadVersionFound)(void *context);

/* The manager is borrowed.  Returns NULL when out of memory. */
CaroDeploymentRollouts *CaroDeploymentRollouts_Create(
    const CaroCommon *common, CaroConfigManager *manager,
    CaroBadVersionFound bad_version_found, void *context);
void CaroDeploymentRollouts_Destroy(CaroDeploymentRollouts *r);

/* Starts and ends rollouts as a new configuration says. */
void CaroDeploymentRollouts_Apply(CaroDeploymentRollouts *r,
                                  const CaroConfig *config);

/* Runs the tests and writes outcomes; to be called several times a second. */
void CaroDeploymentRollouts_Tick(CaroDeploymentRollouts *r, CaroTime now);

/* Returns the pace that the settings choose; static. */
const CaroRolloutPace *
CaroDeploymentRollouts_Pace(const CaroDeploymentRollouts *r);

/* Returns the running rollout of the deployment, borrowed; NULL for none. */
const CaroDeploymentRollout *
CaroDeploymentRollouts_Find(const CaroDeploymentRollouts *r,
                            const char *deployment);

/* Chooses the version of a new generation. */
void CaroDeploymentRollouts_ChooseVersion(CaroDeploymentRollouts *r,
                                          const char *deployment,
                                          CaroVersionChoice *choice,
                                          int64_t now_ms);

/* To be called before a generation is resumed: it keeps its version unless
   that has been found bad, and is changed to the old version then. */
void CaroDeploymentRollouts_RecheckVersion(CaroDeploymentRollouts *r,
                                           const char *deployment,
                                           CaroVersionChoice *choice);

/* Add measurements of a generation of the account: its wait for the first
   token, a gap between tokens ("is_last" for the last one), or a failed
   attempt.  A generation gives at most one sample to the test. */
void CaroDeploymentRollouts_SampleFirstToken(CaroDeploymentRollouts *r,
                                             const char *deployment,
                                             const char *account,
                                             CaroVersionChoice *choice,
                                             CaroTime wait);
void CaroDeploymentRollouts_SampleGap(CaroDeploymentRollouts *r,
                                      const char *deployment,
                                      const char *account,
                                      CaroVersionChoice *choice, CaroTime gap,
                                      bool is_last);
void CaroDeploymentRollouts_SampleFailure(CaroDeploymentRollouts *r,
                                          const char *deployment,
                                          const char *account,
                                          CaroVersionChoice *choice);

/* Collects this VM's evidence for the other VMs; returns the count. */
int CaroDeploymentRollouts_CollectEvidence(
    const CaroDeploymentRollouts *r,
    caro_rollout_evidence evidence[CARO_ROLLOUTS_MAX]);

/* Applies evidence received from the VM with that handle. */
void
CaroDeploymentRollouts_ApplyEvidence(CaroDeploymentRollouts *r, CaroHandle vm,
                                     const caro_rollout_evidence *evidence,
                                     int count);

#endif
