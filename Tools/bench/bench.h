/*
 * NAME
 *     bench - load generators, checks and measurements of carobench
 *
 * SYNOPSIS
 *     Each Bench_Run function is a command of carobench.  It prints its
 *     results to the standard output and returns the exit status; 0 is
 *     success.
 */
#ifndef BENCH_H
#define BENCH_H

#include "internal/caro_http.h"
#include "internal/caro_http_client.h"

#include <event2/http.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <stdio.h>

enum { BENCH_NODES_MAX = 64, BENCH_ADDRESSES_MAX = 8 };

/* Samples of one quantity, mostly in milliseconds; all zero is empty. */
typedef struct {
    double *values;
    size_t n;
    size_t capacity;
} Samples;

void Samples_Add(Samples *s, double value);

/* Returns quantile q, 0 to 1, of the samples, or 0 without samples.  Sorts
   them. */
double Samples_Quantile(Samples *s, double q);
void Samples_Free(Samples *s);

/* Returns {"n", "p50", "p95", "p99", "max"}; the caller owns it. */
json_t *Samples_Json(Samples *s);

/* Parameters of a load of generations and orders. */
typedef struct {
    const char *nodes[BENCH_NODES_MAX]; /* VMs that are asked for addresses. */
    int n_nodes;
    const char *model;
    const char *service; /* Order service; NULL: no orders. */
    const char *direct;  /* Address for all requests; NULL: ask the VMs. */
    int accounts;        /* Client accounts, named a0, a1, ... */
    double rate;         /* Generations a second. */
    double order_rate;   /* Orders a second. */
    double seconds;      /* Duration of the arrivals; open requests are then
                            awaited. */
    int prompt_bytes;
    int prompt_groups; /* Prompts of one group share their first part. */
    int tokens;        /* Mean length of the responses. */
    unsigned long seed;
    const char *json_file;   /* Gets the result; NULL: none. */
    const char *orders_file; /* Gets outcome and key of each order, for
                                Bench_RunAudit; NULL: none. */
} LoadOptions;

/* Counts and measurements of a load. */
typedef struct {
    long started;
    long whole;    /* Generations with a complete response. */
    long refused;  /* Generations reported as not run. */
    long lost;     /* Generations reported as lost. */
    long given_up; /* Generations with too many reconnects. */
    long missing;  /* Tokens that were not received. */
    long repeated; /* Tokens that were received more than once. */
    long mixed;    /* Tokens of another generation. */
    long reconnects;
    long cut; /* Responses that ended early without a reconnect event. */
    long tokens;
    long orders;
    long orders_done;
    long orders_not_run;
    long orders_unknown;
    Samples first_ms;
    Samples gap_ms;
    Samples worst_gap_ms; /* The longest gap of each generation. */
    Samples order_ms;
} LoadResult;

/* A running load, shared by all its callers. */
typedef struct {
    struct event_base *base;
    const LoadOptions *options;
    LoadResult result;
    gsl_rng *rng;
    int n_unfinished; /* Generations and orders that have not ended. */
    bool are_arrivals_over;
    FILE *orders_log;
} Load;

/* Runs a load.  Returns 1 when a token was missing, repeated or mixed, or a
   caller gave up. */
int Bench_RunLoad(const LoadOptions *options);

/* Sends one order.  Returns 0 when it was done. */
int Bench_RunOneOrder(const LoadOptions *options);

/* A VM's response to /v1/addresses, and the caller's position in it. */
typedef struct {
    char list[BENCH_ADDRESSES_MAX][CARO_ADDRESS_SIZE];
    int n;
    int position;
    char ticket[CARO_KEY_SIZE];
} Addresses;

/* Requests addresses from a random VM. */
void Addresses_Request(Load *load, const char *account, CaroHttpDone done,
                       void *context);

/* Parses a response; n is 0 when it has no addresses. */
void Addresses_Parse(Addresses *a, const char *body, size_t size);

/* Returns the address to use now, borrowed.  n must not be 0. */
const char *Addresses_Current(const Addresses *a);

/* Start one generation or one order. */
void Caller_Start(Load *load);
void OrderCaller_Start(Load *load);

/* Called once for each generation or order that ended. */
void Load_OnFinished(Load *load);

/* Compares the outcomes that callers of orders got with the runs that the n
   order services at the addresses report. */
int Bench_RunAudit(const char *orders_file, char **addresses, int n);

/* Parameters of a load on gateways, through the platform interface. */
typedef struct {
    const char *const *directories; /* VMs that are asked for addresses. */
    int n_directories;
    char **targets; /* Targets that are asked which orders they ran. */
    int n_targets;
    const char *host;
    const char *key; /* API key of the requests. */
    int workers;
    double seconds;
    unsigned long seed;
    int gap_max_ms; /* Bound on the 99th percentile of each stream's longest
                       gap; 0: none. */
    int pause_ms;   /* Longest pause between requests; 0: no soak. */
} GatewayLoadOptions;

/* Returns 1 when a response, event or order was wrong, the bound was
   exceeded, or no stream or plain request completed. */
int Bench_RunGateway(const GatewayLoadOptions *options);

typedef struct {
    const char *const *fronts; /* Addresses of the gateways. */
    int n_fronts;
    const char *host;
    const char *key;
    const char *path; /* Prefix of a route; "/s/" for streams. */
    double seconds;
    double sound_rate;     /* Requests a second. */
    double deadly_rate;    /* Likewise. */
    int deadly_burst;      /* So many deadly requests at a moment. */
    double deadly_after_s; /* Time without deadly requests. */
    bool has_middle_parts; /* One more part that all prompts share. */
    unsigned long seed;
} PromptLoadOptions;

/* Prints the counts of requests; returns 0. */
int Bench_RunPrompts(const PromptLoadOptions *options);

/* Relays bytes between two addresses until SIGTERM, then prints the processor
   time used. */
int Bench_RunRelay(const char *listen, const char *to);

/* Prints and counts a bound that is not met. */
void Bench_Check(bool is_met, const char *what);

/* Prints the number of bounds not met; returns the exit status. */
int Bench_FinishChecks(void);

/* Measurements of the decision functions on a virtual clock (decisions,
   membership, rollouts) and of their processor time and memory
   (capacity). */
int Bench_RunDecisions(int argc, char **argv);
int Bench_RunMembership(int argc, char **argv);
int Bench_RunCapacity(void);
int Bench_RunRollouts(int argc, char **argv);

/* Sends the text of a request, without the empty line behind it, from many
   connections for some seconds; "kind" is "unread", "slow" or "silent". */
int Bench_RunCrowd(const char *address, const char *kind, int count,
                   int seconds, const char *request);

/* Processor time of reading HTTP messages. */
int Bench_RunMessages(void);

#endif
