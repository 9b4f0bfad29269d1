/*
 * NAME
 *     decisions - simulates the decision functions on a virtual clock
 *
 * SYNOPSIS
 *     An event loop calls the library's own decisions (generation, router,
 *     admission, limits) against emulated engines with network delays,
 *     losses and injected faults.  It uses no network and no other process;
 *     hours of traffic take seconds.  All random numbers come from the seed,
 *     so equal options give equal runs.
 */
#ifndef DECISIONS_H
#define DECISIONS_H

#include "bench.h"

#include "internal/caro_admission.h"
#include "internal/caro_generation.h"
#include "internal/caro_limits.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

enum {
    SIMULATION_ENGINES_MAX = 64,
    SIMULATION_VMS_MAX = 32,
    SIMULATION_DOMAINS = 3 /* Failure domains. */
};

/* Faults that a simulation injects. */
typedef enum {
    FAULT_ENGINE_KILLED,      /* Loses its memory, then restarts. */
    FAULT_ENGINE_FROZEN,      /* Stops computing, then resumes. */
    FAULT_ENGINE_PARTITIONED, /* Its messages are delayed. */
    FAULT_VM_KILLED,
    FAULT_VM_FROZEN,
    FAULT_BOTH_KILLED,        /* An engine and a VM at the same time. */
    FAULT_DOMAIN_PARTITIONED, /* All engines of a failure domain. */
    FAULT_KINDS
} FaultKind;

/* Parameters of a simulation. */
typedef struct {
    const char *name;
    int engines;
    int vms;
    CaroTime domain_delay;   /* One way, between failure domains. */
    CaroTime caller_delay;   /* One way, between callers and VMs. */
    double load;             /* Arrivals as a fraction of the capacity. */
    double burst_factor;     /* Multiplies the arrivals during a burst. */
    CaroTime burst_start;    /* Start of the burst. */
    CaroTime burst_end;      /* End of the burst; 0: no burst. */
    CaroTime fault_interval; /* Time between faults; 0: no faults. */
    int only_fault;          /* A FaultKind, or -1 for each kind other than
                                FAULT_DOMAIN_PARTITIONED. */
    long generations;        /* Arrivals in total. */
    unsigned long seed;
    CaroRouterPolicy policy;
} SimulationOptions;

/* Measurements of a simulation. */
typedef struct {
    long started;
    long whole;   /* Generations that ended as complete. */
    long refused; /* Generations that admission refused. */
    long failed;
    long wrong_tokens; /* Tokens missing, repeated or mixed. */
    long fault_counts[FAULT_KINDS];
    Samples resume_ms[FAULT_KINDS]; /* From a fault to the next token. */
    Samples first_ms;               /* From the arrival to the first token. */
    Samples gap_ms;                 /* Between tokens of a generation. */
    double tokens_computed;         /* Prompt and output tokens of engines. */
    double tokens_extra; /* Discarded tokens and repeated prefill. */
    double tokens_delivered;
    double prompt_tokens_uncached; /* Prompt tokens not in a cache. */
    double prompt_tokens;
    double engine_load_max; /* Mean load of the busiest engine, 0 to 1. */
    double engine_load_mean;
    double goodput[3]; /* Tokens a second before and during a burst; the
                          third element is not used. */
    double recovery_s; /* From the end of the burst to the end of the last
                          second with a refusal. */
} SimulationResult;

/* Runs a simulation.  The caller frees the samples of the result. */
void Simulation_Run(const SimulationOptions *options,
                    SimulationResult *result);

/* Returns the name of a fault in reports; static. */
const char *FaultKind_Name(FaultKind kind);

#endif
