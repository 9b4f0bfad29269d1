/*
 * NAME
 *     caro_deployment_rollouts - moves of deployments between versions
 *
 * The share of each version at this VM, samples of both, and what other
 * VMs saw of them.
 */
#ifndef CARO_DEPLOYMENT_ROLLOUTS_H
#define CARO_DEPLOYMENT_ROLLOUTS_H

#include "internal/caro_common.h"
#include "internal/caro_config_manager.h"
#include "internal/caro_rollout.h"

typedef struct CaroDeploymentRollouts CaroDeploymentRollouts;

/* What a generation has to do with a move. */
typedef struct {
    char version[CARO_NAME_SIZE]; /* Of its attempts; empty for any. */
    bool is_new;                  /* Of a move that was in work. */
    bool is_sampled;              /* It gave its sample. */
    double gap_sum_ms;
    uint32_t gaps;
} CaroVersionChoice;

/* A move in work here. */
typedef struct {
    uint64_t id; /* Names the move in heartbeats; 0 when free. */
    char deployment[CARO_NAME_SIZE];
    CaroRolloutPlan plan;
    CaroCanaryTest *rollout;
    double first_ms; /* Usual wait for a first token, of the old version. */
    double gap_ms;   /* Usual gap between tokens, of the old version. */
    bool is_told;    /* The flag was logged. */
} CaroDeploymentRollout;

/* A version was found bad here; the other VMs are to hear of it at once. */
typedef void (*CaroBadVersionFound)(void *context);

/* The keeper is borrowed. */
CaroDeploymentRollouts *
CaroDeploymentRollouts_Create(const CaroCommon *common,
                              CaroConfigManager *keeper,
                              CaroBadVersionFound flagged, void *context);
void CaroDeploymentRollouts_Destroy(CaroDeploymentRollouts *v);

void CaroDeploymentRollouts_Apply(CaroDeploymentRollouts *v,
                                  const CaroConfig *config);
void CaroDeploymentRollouts_Tick(CaroDeploymentRollouts *v, CaroTime now);

const CaroRolloutPace *
CaroDeploymentRollouts_Pace(const CaroDeploymentRollouts *v);
/* NULL when none is in work. */
const CaroDeploymentRollout *
CaroDeploymentRollouts_Find(const CaroDeploymentRollouts *v,
                            const char *deployment);

/* The version that a new generation is served by. */
void CaroDeploymentRollouts_Pick(CaroDeploymentRollouts *v,
                                 const char *deployment,
                                 CaroVersionChoice *choice, int64_t now_ms);
/* A resume stays with its version unless that was taken back. */
void CaroDeploymentRollouts_RecheckVersion(CaroDeploymentRollouts *v,
                                           const char *deployment,
                                           CaroVersionChoice *choice);

/* What a generation of the account saw: the wait for its first token, a
   gap (the last one or not), a failed attempt. */
void CaroDeploymentRollouts_SampleFirst(CaroDeploymentRollouts *v,
                                        const char *deployment,
                                        const char *account,
                                        CaroVersionChoice *choice,
                                        CaroTime wait);
void CaroDeploymentRollouts_SampleGap(CaroDeploymentRollouts *v,
                                      const char *deployment,
                                      const char *account,
                                      CaroVersionChoice *choice, CaroTime gap,
                                      bool is_last);
void CaroDeploymentRollouts_SampleFailure(CaroDeploymentRollouts *v,
                                          const char *deployment,
                                          const char *account,
                                          CaroVersionChoice *choice);

/* News for other VMs, and from one; returns the count. */
int CaroDeploymentRollouts_CollectEvidence(
    const CaroDeploymentRollouts *v,
    caro_rollout_evidence news[CARO_ROLLOUTS_MAX]);
void CaroDeploymentRollouts_ApplyEvidence(CaroDeploymentRollouts *v,
                                          CaroHandle vm,
                                          const caro_rollout_evidence *news,
                                          int count);

#endif
