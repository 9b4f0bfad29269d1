/*
 * NAME
 *     caro_version_moves - moves of deployments between versions
 *
 * The share of each version at this VM, samples of both, and what other
 * VMs saw of them.
 */
#ifndef CARO_VERSION_MOVES_H
#define CARO_VERSION_MOVES_H

#include "internal/caro_common.h"
#include "internal/caro_config_keeper.h"
#include "internal/caro_rollout.h"

typedef struct CaroVersionMoves CaroVersionMoves;

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
    CaroRollout *rollout;
    double first_ms; /* Usual wait for a first token, of the old version. */
    double gap_ms;   /* Usual gap between tokens, of the old version. */
    bool is_told;    /* The flag was logged. */
} CaroVersionMove;

/* A version was found bad here; the other VMs are to hear of it at once. */
typedef void (*CaroVersionFlagged)(void *context);

/* The keeper is borrowed. */
CaroVersionMoves *CaroVersionMoves_Create(const CaroCommon *common,
                                          CaroConfigKeeper *keeper,
                                          CaroVersionFlagged flagged,
                                          void *context);
void CaroVersionMoves_Destroy(CaroVersionMoves *v);

void CaroVersionMoves_Apply(CaroVersionMoves *v, const CaroConfig *config);
void CaroVersionMoves_Tick(CaroVersionMoves *v, CaroTime now);

const CaroRolloutPace *CaroVersionMoves_Pace(const CaroVersionMoves *v);
/* NULL when none is in work. */
const CaroVersionMove *CaroVersionMoves_Find(const CaroVersionMoves *v,
                                             const char *deployment);

/* The version that a new generation is served by. */
void CaroVersionMoves_Pick(CaroVersionMoves *v, const char *deployment,
                           CaroVersionChoice *choice, int64_t now_ms);
/* A resume stays with its version unless that was taken back. */
void CaroVersionMoves_Check(CaroVersionMoves *v, const char *deployment,
                            CaroVersionChoice *choice);

/* What a generation of the account saw: the wait for its first token, a
   gap (the last one or not), a failed attempt. */
void CaroVersionMoves_SampleFirst(CaroVersionMoves *v, const char *deployment,
                                  const char *account,
                                  CaroVersionChoice *choice, CaroTime wait);
void CaroVersionMoves_SampleGap(CaroVersionMoves *v, const char *deployment,
                                const char *account, CaroVersionChoice *choice,
                                CaroTime gap, bool is_last);
void CaroVersionMoves_SampleFailure(CaroVersionMoves *v,
                                    const char *deployment,
                                    const char *account,
                                    CaroVersionChoice *choice);

/* News for other VMs, and from one; returns the count. */
int CaroVersionMoves_Fill(const CaroVersionMoves *v,
                          caro_move_news news[CARO_MOVES_MAX]);
void CaroVersionMoves_Take(CaroVersionMoves *v, CaroHandle vm,
                           const caro_move_news *news, int count);

#endif
