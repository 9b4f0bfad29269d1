/*
 * NAME
 *     simulation - state that the files of the simulator share
 *
 * SYNOPSIS
 *     simulation.c         generations, VMs and the event loop
 *     simulation_engine.c  emulated engines
 *     simulation_faults.c  injected faults, and callers that reconnect
 *     simulation_heap.c    pending events, ordered by time
 */
#ifndef SIMULATION_H
#define SIMULATION_H

#include "decisions.h"

#include "internal/caro_engine.h"

#define MS CARO_MS

/* An engine's step takes the base time and what each sequence and each
   prompt token add to it. */
#define STEP_BASE_TIME (18 * MS)
#define STEP_TIME_PER_SEQUENCE 250     /* Microseconds. */
#define STEP_TIME_PER_PREFILL_TOKEN 20 /* Microseconds. */

#define VM_TICK_INTERVAL (20 * MS)
#define START_RETRY_DELAY (50 * MS) /* When no engine has room. */
#define JOURNAL_FLUSH_DELAY (2 * MS)
#define CALLER_EVENT_TIMEOUT (3 * CARO_SECOND)
#define QUEUE_WAIT_MAX (2 * CARO_SECOND)
#define TAKEOVER_TIMEOUT (400 * MS)
#define FREEZE_DURATION (10 * CARO_SECOND)
#define PARTITION_DURATION (20 * CARO_SECOND)
/* Until a killed engine, or a killed or frozen VM, is up again. */
#define RESTART_DELAY (30 * CARO_SECOND)

/* Attempts that a VM may start beside a silent one. */
#define STANDBY_BUDGET_MAX 8.0
#define STANDBY_BUDGET_PER_TICK 0.04

enum {
    BATCH_MAX = 32,                 /* Streams that an engine runs at once. */
    STEP_PREFILL_TOKENS_MAX = 2048, /* Keeps a full step below 68 ms. */
    PROMPT_PREFIXES = 48,           /* Distinct prefixes of prompts. */
    PREFIX_TOKENS = 400,
    CACHED_PREFIXES_MAX = 8, /* Prefixes that an engine caches. */
    SUFFIX_TOKENS_MEAN = 200,
    RESPONSE_TOKENS_MEAN = 200,
    LONG_RESPONSE_TOKENS_MEAN = 3000,
    STREAMS_MAX = 512,
    ATTEMPTS_MAX = 12
};

#define LONG_RESPONSE_FRACTION 0.04

typedef enum {
    EVENT_ARRIVAL,         /* A caller sends a new generation. */
    EVENT_ENGINE_STEP,     /* An engine finishes a step. */
    EVENT_TOKEN,           /* A token reaches its VM. */
    EVENT_STREAM_CLOSED,   /* The end of a stream reaches its VM. */
    EVENT_VM_TICK,         /* The periodic timer of a VM. */
    EVENT_FAULT,           /* The next fault is injected. */
    EVENT_ENGINE_RESTART,  /* A killed engine is up again. */
    EVENT_CALLER_RECONNECT /* A caller reaches another VM. */
} EventKind;

/* A pending event. */
typedef struct {
    CaroTime at;
    uint64_t sequence; /* Orders events with equal times by creation. */
    EventKind kind;
    int subject;      /* Index of the engine or VM that it concerns. */
    uint32_t attempt; /* Set for TOKEN and STREAM_CLOSED. */
    uint32_t nonce;
    uint32_t index; /* Index of the token in its generation. */
    bool is_complete;
    long generation;
    int epoch; /* Epoch of the generation when the event was sent. */
} Event;

/* One attempt at an engine. */
typedef struct {
    long generation;
    uint32_t attempt;
    uint32_t nonce;
    uint32_t next_token;
    uint32_t tokens_max;
    int prefill_tokens; /* Prompt tokens that are not computed yet. */
    int priority;
    bool is_running; /* In the batch of the engine. */
    bool is_extra;   /* Its prefill is repeated because of a fault. */
} Stream;

typedef struct {
    int domain;
    CaroTime down_until;        /* Killed or frozen: computes no step. */
    CaroTime partitioned_until; /* Its messages arrive after this time. */
    bool is_step_scheduled;
    Stream streams[STREAMS_MAX];
    int n_streams;
    int cached_prefixes[CACHED_PREFIXES_MAX]; /* Most recently used first. */
    int n_cached_prefixes;
    int boot_id; /* Increases each time the engine loses its memory. */
    double load_sum;
    long load_samples;
} Engine;

/* A VM: its decision state for all upstreams, and its admission. */
typedef struct {
    int domain;
    char name[CARO_NAME_SIZE];
    CaroUpstreams *upstreams;
    CaroAdmission *admission;
    CaroTime down_until;
    double standby_budget;
    uint64_t rng;
} Vm;

/* A request of a caller for a streamed response. */
typedef struct {
    CaroGeneration *decisions; /* NULL before admission and after the end. */
    int vm;
    int prefix; /* Prompts with equal numbers share their first tokens. */
    int suffix_tokens;
    uint32_t tokens; /* Length of the response. */
    uint32_t tokens_received;
    uint32_t nonce;
    int epoch; /* Increases when another VM takes the generation over. */
    bool is_finished;
    bool is_resumed;
    CaroHandle warm; /* Engine that caches the prompt, or CARO_NO_HANDLE. */
    int warm_boot_id;
    CaroTime arrived_at;
    CaroTime last_token_at;
    CaroTime interrupted_at; /* Time of the fault; -1 when not interrupted. */
    FaultKind interrupted_by;
    int64_t prefill_sent[ATTEMPTS_MAX + 1]; /* Prompt tokens, by attempt. */
} Generation;

typedef struct {
    const SimulationOptions *options;
    SimulationResult *result;
    gsl_rng *rng;
    gsl_rng *fault_rng; /* Separate, so that all policies meet the same
                           faults. */
    Event *heap;
    long heap_size;
    long heap_capacity;
    uint64_t sequence;
    CaroTime now;
    Engine engines[SIMULATION_ENGINES_MAX];
    Vm vms[SIMULATION_VMS_MAX];
    Generation *generations;
    long n_generations;
    long *unfinished; /* Indices of generations that have not ended. */
    long n_unfinished;
    double mean_tokens;
    double window_tokens; /* Tokens delivered in the current second. */
    long window_refused;
    CaroTime window_end;
    CaroTime last_refusal_at; /* After a burst; 0: none. */
} Simulation;

/* Adds an event, and removes the earliest one; equal times in the order of
   creation.  The heap must not be empty at a removal. */
void Simulation_PushEvent(Simulation *sim, Event e);
Event Simulation_PopEvent(Simulation *sim);

/* Returns the one-way delay between two failure domains. */
CaroTime Simulation_NetworkDelay(const Simulation *sim, int domain_a,
                                 int domain_b);

bool Simulation_HasRoom(const Engine *e);

/* Adds a stream for the attempt to an engine that has room. */
void Simulation_OpenStream(Simulation *sim, long id, uint32_t attempt,
                           int engine, bool is_resume);
void Simulation_CancelStream(Simulation *sim, int engine, long id,
                             uint32_t attempt);

/* Returns when a message that the engine sends now reaches the VM. */
CaroTime Simulation_ArrivalTime(const Simulation *sim, const Engine *e,
                                int vm);
void Simulation_OnEngineStep(Simulation *sim, int engine);

/* Injects a fault and schedules the next one. */
void Simulation_OnFault(Simulation *sim);

/* Resumes a generation at another VM. */
void Simulation_OnCallerReconnect(Simulation *sim, long id);

/* Starts a generation that its VM admitted. */
void Simulation_Admit(Simulation *sim, long id);

/* Subtracts the prompt tokens of an attempt from those that its VM counts as
   not yet computed by the engine, when they are computed or the attempt
   ends. */
void Simulation_FinishPrefill(Simulation *sim, Generation *g,
                              uint32_t attempt);

#endif
