/*
 * NAME
 *     caro_placement - choice of the target for a request or a KV copy
 *
 * Many VMs choose targets from load reports that are out of date.  A VM
 * therefore gives its own counts precedence over reports, and a random term
 * keeps VMs from all choosing the same target.  A target of another failure
 * domain is chosen only when the difference in load exceeds the cost of
 * crossing domains.
 *
 * Streams of a service whose targets report a work_percent
 * (CaroTargets_IsAdaptive) go to the target with the lowest predicted time
 * to the first event; docs/design/placement.md has the reasons.
 */
#ifndef CARO_PLACEMENT_H
#define CARO_PLACEMENT_H

#include "internal/caro_engine_pace.h"
#include "internal/caro_retained_prompts.h"

#include <gsl/gsl_rng.h>

enum { CARO_TRIED_MAX = 8 };

typedef struct {
    const char *service;
    const char *version;   /* NULL for any. */
    bool excludes_version; /* Any version but "version". */
    const char *domain;    /* Failure domain of this VM. */
    bool is_stream;
    CaroHandle tried[CARO_TRIED_MAX]; /* Targets to exclude. */
    int n_tried;
    const char *failed_domain; /* Domain of a failed attempt, or NULL. */
    CaroEnginePace *pace;      /* NULL: all targets have the same pace. */
    const CaroRetainedPrompts *retained; /* NULL: nothing is held. */
    const CaroSizedParts *parts;         /* Of the prompt; or NULL. */
    int prompt_tokens;                   /* To be prefilled. */
    int held_tokens; /* Of the prompt and the expected response. */
    /* Whether each target is full, by handle; NULL: as marked in the table
       (CaroTarget_IsFull). */
    const bool *full;
} CaroPlacementQuery;

/* Sets the tokens of a stream's prompt and expected response. */
void CaroPlacementQuery_SetPrompt(CaroPlacementQuery *q, int64_t tokens);

/* The predicted time to the first event of a stream at a target, its terms and
   what they were computed from. */
typedef struct {
    double first_event_ms;  /* Sum of the next four terms, less saved_ms. */
    double queue_ms;        /* Prefill of the prompts ahead. */
    double prefill_ms;      /* Prefill of the request's own prompt. */
    double running_ms;      /* Delay by the streams that run there. */
    double memory_ms;       /* Wait for memory, or the cost of a preemption. */
    double saved_ms;        /* Prefill of what is held there. */
    double event_ms;        /* Time between the events after the first. */
    double queued_tokens;   /* Prompt tokens ahead. */
    double retained_tokens; /* Of the prompt, expected to be held there. */
    double held_tokens;     /* Of streams and KV copies there. */
    bool has_memory;        /* The request fits in the engine's memory. */
    double work_factor;     /* Momentary factor of the time per token. */
    CaroTime load_age;      /* Of the last load report of the target itself or
                               of a VM that uses it; -1 for none. */
    CaroPaceEstimate pace;
} CaroPrediction;

/* Returns the prediction for one candidate. */
CaroPrediction CaroPlacement_Predict(const CaroTargets *t, CaroHandle h,
                                     const CaroPlacementQuery *q,
                                     CaroTime now);

/* The load of a target and its terms, in running requests. */
typedef struct {
    double load;       /* Sum of the three terms that follow. */
    double requests;   /* In flight here, and reported. */
    double prefill;    /* Prompts that await prefill. */
    double kv_copies;  /* KV copies kept there. */
    CaroTime load_age; /* As of CaroPrediction. */
} CaroLoadTerms;

CaroLoadTerms CaroPlacement_LoadTerms(const CaroTarget *target, CaroTime now);

/* What choosing a target costs: in ms by prediction, else in running
   requests. */
typedef struct {
    double cost; /* Sum of all terms. */
    double domain;
    double failing; /* Its domain has just lost other targets. */
    double repeat;  /* Below 0: prompts that begin alike prefer it. */
    double random;
    bool is_predicted;
    CaroPrediction prediction; /* Terms first_event_ms and event_ms. */
    CaroLoadTerms load;        /* Term load; without a prediction. */
} CaroPlacementCost;

/* Whether a target is considered for a request, or why it is passed over. */
typedef enum {
    CARO_CANDIDATE_USABLE,
    CARO_CANDIDATE_AVOIDED,  /* It failed; chosen if none is usable. */
    CARO_CANDIDATE_DOUBTFUL, /* A doubtful notice says that it leaves; the last
                                choice. */
    CARO_CANDIDATE_LEAVING,
    CARO_CANDIDATE_UNAVAILABLE, /* It wants no requests now. */
    CARO_CANDIDATE_FULL,
    CARO_CANDIDATE_TRIED,
    CARO_CANDIDATE_OTHER_VERSION,
    CARO_CANDIDATE_UNREGISTERED
} CaroCandidateState;

CaroCandidateState CaroPlacement_Judge(const CaroTargets *t, CaroHandle h,
                                       const CaroPlacementQuery *q,
                                       CaroTime now);

typedef struct {
    CaroHandle target;
    CaroCandidateState state;
    CaroPlacementCost cost; /* Of usable ones. */
} CaroCandidate;

enum { CARO_CANDIDATES_MAX = 2048 };

/* The candidates of a choice, in the order in which they were looked at. Those
   beyond the maximum are only counted. */
typedef struct {
    CaroCandidate all[CARO_CANDIDATES_MAX];
    int n;
    int n_omitted;
    int n_unsampled; /* Members of large groups outside the sample. */
} CaroPlacementTrace;

/* Returns the tokens of streams and KV copies at a target, as far as known. */
double CaroPlacement_HeldTokens(const CaroTargets *t, CaroHandle h,
                                CaroTime now);

/* Returns whether the query's target is chosen by prediction. */
bool CaroPlacement_IsPredicted(const CaroTargets *t,
                               const CaroPlacementQuery *q);

/* Tells whether a target of the service is left to try that is neither avoided
   nor full. */
bool CaroPlacement_HasUsable(const CaroTargets *t, const CaroPlacementQuery *q,
                             CaroTime now);

/* Tells whether a target of the service is full. */
bool CaroPlacement_HasFull(const CaroTargets *t, const CaroPlacementQuery *q,
                           CaroTime now);

/* Returns when the first target of the service accepts requests again if all
   of them want none now, else 0. */
CaroTime CaroPlacement_AvailableAt(const CaroTargets *t,
                                   const CaroPlacementQuery *q, CaroTime now);

/*
 * Returns CARO_NO_HANDLE when no target of the service is left to try, apart
 * from full ones and those that want no requests.  A target of which a
 * doubtful notice says that it leaves is the last choice.
 */
CaroHandle CaroPlacement_Choose(const CaroTargets *t,
                                const CaroPlacementQuery *q, gsl_rng *rng,
                                CaroTime now);

/* Likewise, and fills the trace unless it is NULL. */
CaroHandle CaroPlacement_ChooseTraced(const CaroTargets *t,
                                      const CaroPlacementQuery *q,
                                      gsl_rng *rng, CaroTime now,
                                      CaroPlacementTrace *trace);

/*
 * Returns the target that keeps a KV copy of a stream running at "source":
 * one of the same service and version in another failure domain, or
 * CARO_NO_HANDLE.
 */
CaroHandle CaroPlacement_ChooseKvCopy(const CaroTargets *t, CaroHandle source,
                                      gsl_rng *rng, CaroTime now);

/* Likewise for the query, whose service may be placed by prediction: a target
   that is slow or has no memory left is then avoided. */
CaroHandle CaroPlacement_ChooseKvCopyFor(const CaroTargets *t,
                                         CaroHandle source,
                                         const CaroPlacementQuery *q,
                                         gsl_rng *rng, CaroTime now);

#endif
