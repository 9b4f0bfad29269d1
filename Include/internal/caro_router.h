/*
 * NAME
 *     caro_router - choice of the upstream for a request
 *
 * The candidates are the VM's fixed subset of the deployment's upstreams.
 * The upstream whose cache most likely holds the prompt's prefix is chosen
 * while its load stays near the mean; otherwise the less loaded of two
 * random candidates.
 */
#ifndef CARO_ROUTER_H
#define CARO_ROUTER_H

#include "internal/caro_upstreams.h"

enum { CARO_AVOID_MAX = 8 };

typedef enum {
    CARO_ROUTER_BOUNDED_AFFINITY, /* The default. */
    CARO_ROUTER_RANDOM,           /* The rest is for comparison. */
    CARO_ROUTER_LEAST_LOADED,
    CARO_ROUTER_AFFINITY
} CaroRouterPolicy;

typedef struct {
    CaroRouterPolicy policy;
    const char *deployment;     /* Borrowed. */
    const char *version;        /* Borrowed; NULL for any. */
    const char *vm;             /* Borrowed; determines the subset. */
    int subset;                 /* Number of upstreams in the subset. */
    uint64_t prefix_hash;       /* See CaroRouter_PrefixHash. */
    bool accepts_failed;        /* Uses a failed upstream if none is left. */
    bool prefers_other_domains; /* Prefers domains of no avoided upstream. */
    CaroHandle warm; /* Upstream that caches the generation to be resumed, or
                        CARO_NO_HANDLE. */
    bool is_resume;  /* The request resumes a generation. */
    CaroHandle avoid[CARO_AVOID_MAX]; /* Upstreams that failed the request. */
    int n_avoid;
} CaroRouterQuery;

/*
 * Returns the upstream to use, or CARO_NO_HANDLE when none is usable.
 * "rng" is the caller's random state and is advanced.
 */
CaroHandle CaroRouter_Choose(const CaroUpstreams *t, const CaroRouterQuery *q,
                             CaroTime now, uint64_t *rng);

/* Returns the hash of the first bytes of a prompt.  Prompts that can share a
   cached prefix have the same hash. */
uint64_t CaroRouter_PrefixHash(const char *prompt, size_t size);

/* Advances a random state (splitmix64) and returns the next number. */
uint64_t CaroRandom_Next(uint64_t *state);

#endif
