/*
 * NAME
 *     bench - load, checks and measurements
 */
#ifndef BENCH_H
#define BENCH_H

#include "internal/caro_http.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>

enum { BENCH_NODES_MAX = 64, BENCH_ADDRESSES_MAX = 8 };

/* Samples of one measure, in milliseconds. */
typedef struct {
    double *values;
    size_t n;
    size_t capacity;
} Samples;

void Samples_Add(Samples *s, double value);

/* Quantile q of the samples, 0 without any; sorts them. */
double Samples_Quantile(Samples *s, double q);
void Samples_Free(Samples *s);

/* {"n", "p50", "p95", "p99", "max"} of the samples. */
json_t *Samples_Json(Samples *s);

typedef struct {
    const char *nodes[BENCH_NODES_MAX]; /* Asked for addresses. */
    int n_nodes;
    const char *model;
    const char *service; /* NULL: no orders. */
    const char *direct;  /* Address to use without asking; NULL: ask. */
    int accounts;        /* Named a0, a1, ... */
    double rate;         /* Generations a second. */
    double order_rate;   /* Orders a second. */
    double seconds;      /* Of arrivals; the answers are awaited. */
    int prompt_bytes;
    int prompt_groups; /* Prompts that share their head. */
    int tokens;        /* Mean of the answers' lengths. */
    unsigned long seed;
    const char *json_file;   /* NULL: none. */
    const char *orders_file; /* Verdict of each key; NULL: none. */
} LoadOptions;

/* What the checks of a load found. */
typedef struct {
    long started;
    long whole;
    long refused; /* Said not run. */
    long lost;    /* Told that the generation is lost. */
    long given_up;
    long missing;  /* Tokens. */
    long repeated; /* Tokens. */
    long mixed;    /* Tokens of another generation. */
    long reconnects;
    long cut; /* Answers that ended in their middle without a word. */
    long tokens;
    long orders;
    long orders_done;
    long orders_not_run;
    long orders_unknown;
    Samples first_ms;
    Samples gap_ms;
    Samples worst_gap_ms; /* Of each generation. */
    Samples order_ms;
} LoadResult;

/* The load and what it shares. */
typedef struct {
    struct event_base *base;
    const LoadOptions *options;
    LoadResult result;
    gsl_rng *rng;
    int open;       /* Generations and orders without an end. */
    bool is_closed; /* No more arrivals. */
    FILE *orders_log;
} Load;

/* Runs a load; returns an exit status, 1 when a promise was broken. */
int Bench_RunLoad(const LoadOptions *options);

/* Books one order; returns an exit status. */
int Bench_RunOneOrder(const LoadOptions *options);

/* The answer to "which address", and how far a caller went through it. */
typedef struct {
    char list[BENCH_ADDRESSES_MAX][CARO_ADDRESS_SIZE];
    int n;
    int at;
    char ticket[CARO_KEY_SIZE];
} Addresses;

/* Asks a node drawn by lot. */
void Addresses_Ask(Load *load, const char *account, CaroHttpDone done,
                   void *context);

/* Takes an answer in; n stays 0 when it is none. */
void Addresses_Read(Addresses *a, const char *body, size_t size);

/* The address to use now, borrowed; n must not be 0. */
const char *Addresses_At(const Addresses *a);

/* One generation or order starts; the load's arrivals call these. */
void Caller_Start(Load *load);
void OrderCaller_Start(Load *load);

/* An arrival reached its end. */
void Load_Done(Load *load);

/*
 * Compares what callers were told of their orders with what the services
 * at the addresses ran; returns an exit status.
 */
int Bench_RunAudit(const char *orders_file, char **addresses, int n);

/* A load on gateways, as callers of the users' platform make it. */
typedef struct {
    const char *const *directories; /* Asked for addresses. */
    int n_directories;
    char **targets; /* Asked what they ran. */
    int n_targets;
    const char *host;
    const char *key;
    int workers;
    double seconds;
    unsigned long seed;
    int gap_max_ms; /* Bound on the worst gaps' p99; 0 for none. */
} GatewayLoadOptions;

/* Returns an exit status, 1 when something was wrong. */
int Bench_RunGateway(const GatewayLoadOptions *options);

/* Relays bytes until SIGTERM, then prints its processor time. */
int Bench_RunRelay(const char *listen, const char *to);

/* Counts and prints a bound that does not hold. */
void Bench_Check(bool is_good, const char *what);

/* Prints how many did not; returns an exit status. */
int Bench_Verdict(void);

/* Measurements of the decisions alone, on a virtual clock. */
int Bench_RunDecisions(int argc, char **argv);
int Bench_RunMembership(int argc, char **argv);
int Bench_RunCapacity(void);
int Bench_RunRollouts(int argc, char **argv);

#endif
