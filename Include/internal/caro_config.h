/*
 * NAME
 *     caro_config - the operators' configuration, checked
 *
 * The configuration is one JSON value in the platform's store: the
 * deployments, their upstreams and the client accounts.  Its revision is
 * the store's; a lower revision is never applied.
 */
#ifndef CARO_CONFIG_H
#define CARO_CONFIG_H

#include "caro_error.h"
#include "internal/caro_upstreams.h"

#include <jansson.h>

enum {
    CARO_DEPLOYMENTS_MAX = 64,
    CARO_ACCOUNTS_MAX = 65536,
    CARO_CONFIG_UPSTREAMS_MAX = CARO_UPSTREAMS_MAX
};

typedef enum {
    CARO_ROLLOUT_NONE,
    CARO_ROLLOUT_RUNNING,
    CARO_ROLLOUT_DONE,
    CARO_ROLLOUT_ROLLED_BACK
} CaroRolloutState;

/* A declared move of traffic to another version. */
typedef struct {
    CaroRolloutState state;
    char from[CARO_NAME_SIZE];
    char to[CARO_NAME_SIZE];
    int64_t start_ms; /* Wall clock. */
    int64_t end_ms;   /* Wall clock; declared end of the move. */
    char reason[128]; /* Why it was undone. */
} CaroRolloutPlan;

typedef struct {
    char name[CARO_NAME_SIZE];
    CaroUpstreamKind kind;
    char version[CARO_NAME_SIZE]; /* Version in force outside a move. */
    CaroRolloutPlan rollout;
} CaroDeployment;

typedef struct {
    char name[CARO_NAME_SIZE];
    int64_t weight_permille; /* Share against other accounts; 1000 is 1. */
} CaroAccount;

typedef struct {
    uint64_t revision;
    char change[65]; /* Identifies the change that wrote it. */
    CaroDeployment *deployments;
    int n_deployments;
    CaroUpstream *upstreams;
    int n_upstreams;
    CaroAccount *accounts; /* Sorted by name. */
    int n_accounts;
    char *text; /* The JSON as it was read, owned. */
    size_t text_size;
} CaroConfig;

/*
 * Reads and checks a configuration.  Returns a new object that the
 * caller owns, or NULL with *err filled (JSON path, found, allowed).
 */
CaroConfig *CaroConfig_Parse(const char *text, size_t size, uint64_t revision,
                             CaroError *err);
void CaroConfig_Destroy(CaroConfig *c);

/* Borrowed, or NULL. */
const CaroDeployment *CaroConfig_Deployment(const CaroConfig *c,
                                            const char *name);
const CaroAccount *CaroConfig_Account(const CaroConfig *c, const char *name);

/* The object of that name in a list ("deployments", "upstreams"), borrowed,
   or NULL. */
json_t *CaroConfig_FindJson(const json_t *root, const char *list,
                            const char *name);

#endif
