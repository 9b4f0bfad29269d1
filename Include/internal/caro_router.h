/*
 * NAME
 *     caro_router - which upstream gets a request
 *
 * Candidates are the VM's fixed subset of the deployment's upstreams.
 * The upstream that most likely caches the prompt's prefix is taken while
 * its load stays near the mean; otherwise the less loaded of two.
 */
#ifndef CARO_ROUTER_H
#define CARO_ROUTER_H

#include "internal/caro_upstreams.h"

enum { CARO_AVOID_MAX = 8 };

typedef enum {
    CARO_ROUTER_BOUNDED_AFFINITY, /* The product's policy. */
    CARO_ROUTER_RANDOM,           /* Baselines for comparison. */
    CARO_ROUTER_LEAST_LOADED,
    CARO_ROUTER_AFFINITY
} CaroRouterPolicy;

typedef struct {
    CaroRouterPolicy policy;
    const char *deployment;     /* Borrowed. */
    const char *version;        /* Borrowed; NULL for any. */
    const char *vm;             /* Borrowed; selects the subset. */
    int subset;                 /* Size of the subset. */
    uint64_t prefix_hash;       /* Hash of the prompt's head. */
    bool accepts_failed;        /* A failed upstream is better than none. */
    bool prefers_other_domains; /* Prefers other domains than the failures'. */
    CaroHandle warm; /* Caches a resumed generation, or no handle. */
    bool is_resume;  /* Its caller waits in the middle of an answer. */
    CaroHandle avoid[CARO_AVOID_MAX]; /* Upstreams that failed it. */
    int n_avoid;
} CaroRouterQuery;

/*
 * Returns the upstream to use, or CARO_NO_HANDLE when none is usable.
 * "rng" is the caller's random state and is advanced.
 */
CaroHandle CaroRouter_Choose(const CaroUpstreams *t, const CaroRouterQuery *q,
                             CaroTime now, uint64_t *rng);

/* Hash of the first bytes of a prompt, which prefix caches share. */
uint64_t CaroRouter_PrefixHash(const char *prompt, size_t size);

/* Advances a random state (splitmix64) and returns the next number. */
uint64_t CaroRandom_Next(uint64_t *state);

#endif
