/*
 * NAME
 *     drive - what the parts of the driver share
 */
#ifndef DRIVE_H
#define DRIVE_H

#include "decisions.h"

#include "internal/caro_engine.h"

#define MS CARO_MS
#define STEP_BASE (18 * MS)
#define STEP_SEQUENCE 250 /* Microseconds a running sequence adds. */
#define STEP_PREFILL 20   /* Microseconds a prompt token adds. */
#define NODE_TICK (20 * MS)
#define RETRY_WAIT (50 * MS)
#define FLUSH_WAIT (2 * MS)
#define CALLER_PATIENCE (3 * CARO_SECOND)
#define PATIENCE (2 * CARO_SECOND)
#define TAKE_TIMEOUT (400 * MS)
#define FROZEN_TIME (10 * CARO_SECOND)
#define CUT_TIME (20 * CARO_SECOND)
#define DEAD_TIME (30 * CARO_SECOND)
#define STANDBY_MAX 8.0
#define STANDBY_PER_TICK 0.04

enum {
    BATCH = 32,
    PREFILL_PER_STEP = 2048, /* Keeps a full step below 68 ms. */
    HEADS = 48,              /* Prompts that share a head. */
    HEAD_TOKENS = 400,
    HEADS_CACHED = 8, /* Heads an engine keeps. */
    TAIL_TOKENS = 200,
    ANSWER_TOKENS = 200,
    LONG_TOKENS = 3000,
    STREAMS_MAX = 512,
    ATTEMPTS_MAX = 12
};

#define LONG_SHARE 0.04

typedef enum {
    EVENT_ARRIVAL,
    EVENT_STEP,   /* Of an engine. */
    EVENT_TOKEN,  /* Reaches its node. */
    EVENT_CLOSED, /* A stream's end reaches its node. */
    EVENT_TICK,   /* Of a node. */
    EVENT_FAULT,
    EVENT_HEAL,
    EVENT_RECONNECT /* A caller reaches another node. */
} EventKind;

typedef struct {
    CaroTime at;
    uint64_t order; /* Ties are broken by age. */
    EventKind kind;
    int who;          /* Engine, node or fault. */
    uint32_t attempt; /* For TOKEN and CLOSED. */
    uint32_t nonce;
    uint32_t index;
    bool is_whole;
    long generation;
    int epoch; /* Of the generation, when the words were sent. */
} Event;

/* A stream at an engine. */
typedef struct {
    long generation;
    uint32_t attempt;
    uint32_t nonce;
    uint32_t next;
    uint32_t most;
    int prefill;
    int priority;
    bool is_running;
    bool is_extra; /* What it reads is read because of a loss. */
} Stream;

typedef struct {
    int domain;
    CaroTime down_until; /* Dead or frozen: no steps. */
    CaroTime cut_until;  /* Its words arrive after that. */
    bool is_step_due;
    Stream streams[STREAMS_MAX];
    int n;
    int heads[HEADS_CACHED]; /* Most recent first. */
    int n_heads;
    int boot_id; /* Rises with each loss of its memory. */
    double load_sum;
    long load_count;
} Engine;

typedef struct {
    int domain;
    char name[CARO_NAME_SIZE];
    CaroUpstreams *upstreams;
    CaroAdmission *admission;
    CaroTime down_until;
    double standby_budget;
    uint64_t rng;
} Node;

typedef struct {
    CaroGeneration *g; /* NULL before admission and after the end. */
    int node;
    int head;
    int tail;
    uint32_t tokens;
    uint32_t count;
    uint32_t nonce;
    int epoch; /* Rises when another node takes it over. */
    bool is_over;
    bool is_resumed;
    CaroHandle warm; /* Engine that caches it, or no handle. */
    int warm_boot;
    CaroTime arrived;
    CaroTime last_token;
    CaroTime lost_at; /* -1 when nothing is lost. */
    FaultKind lost_by;
    int64_t prefill[ATTEMPTS_MAX + 1]; /* Sent to be read, by attempt. */
} Generation;

typedef struct {
    const DriveOptions *o;
    DriveResult *r;
    gsl_rng *rng;
    gsl_rng *fault_rng; /* So that policies meet the same faults. */
    Event *heap;
    long n_heap;
    long heap_capacity;
    uint64_t order;
    CaroTime now;
    Engine engines[DRIVE_ENGINES_MAX];
    Node nodes[DRIVE_NODES_MAX];
    Generation *generations;
    long n_generations;
    long *open; /* Generations in work. */
    long n_open;
    double mean_tokens;
    double window_tokens;
    long window_refused;
    CaroTime window_end;
    CaroTime settled_at;
} Drive;

/* drive_heap.c: events by time; ties by age. */
void Drive_Push(Drive *d, Event e);
Event Drive_Pop(Drive *d);

/* drive_engine.c: emulated engines. */
CaroTime Drive_Delay(const Drive *d, int domain_a, int domain_b);
bool Drive_HasRoom(const Engine *e);
void Drive_OpenStream(Drive *d, long id, uint32_t attempt, int engine,
                      bool is_resume);
void Drive_CancelStream(Drive *d, int engine, long id, uint32_t attempt);
CaroTime Drive_ArrivalTime(const Drive *d, const Engine *e, int node);
void Drive_OnStep(Drive *d, int engine);

/* drive_faults.c: losses, and callers that come back. */
void Drive_OnFault(Drive *d);
void Drive_OnReconnect(Drive *d, long id);

/* drive.c: generations. */
void Drive_Admit(Drive *d, long id);
void Drive_SettlePrefill(Drive *d, Generation *g, uint32_t attempt);

#endif
