/*
 * NAME
 *     caro_config - validated configuration of an entry node
 *
 * The operators' configuration is one JSON document in the store, which all
 * entry nodes (caro_node.h) share: the deployments, their upstreams and the
 * client accounts.  Its revision is assigned by the store; a VM never
 * replaces it by one with a lower revision.
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

/* State of the latest rollout of a deployment. */
typedef enum {
    CARO_ROLLOUT_NONE,
    CARO_ROLLOUT_RUNNING,
    CARO_ROLLOUT_DONE,
    CARO_ROLLOUT_ROLLED_BACK
} CaroRolloutState;

/* A rollout that an operator requested: the traffic of a deployment shifts
   from one version to another. */
typedef struct {
    CaroRolloutState state;
    char from[CARO_NAME_SIZE];
    char to[CARO_NAME_SIZE];
    int64_t start_ms; /* Start, milliseconds of the wall clock. */
    int64_t end_ms;   /* Planned end, milliseconds of the wall clock. */
    char reason[128]; /* Why it was rolled back. */
} CaroRolloutPlan;

/* Upstreams that serve the same model or order service. */
typedef struct {
    char name[CARO_NAME_SIZE];
    CaroUpstreamKind kind;
    char version[CARO_NAME_SIZE]; /* Version that serves all requests while
                                     no rollout is running. */
    CaroRolloutPlan rollout;
} CaroDeployment;

/* A client account. */
typedef struct {
    char name[CARO_NAME_SIZE];
    int64_t weight_permille; /* Weight in fair queueing, in thousandths. */
} CaroAccount;

typedef struct {
    uint64_t revision;
    char change[65]; /* Id of the write that created this revision. */
    CaroDeployment *deployments;
    int n_deployments;
    CaroUpstream *upstreams; /* Sorted by name. */
    int n_upstreams;
    CaroAccount *accounts; /* Sorted by name. */
    int n_accounts;
    char *text; /* The document as it was read; owned, terminated. */
    size_t text_size;
} CaroConfig;

/*
 * Parses and validates a configuration.  Returns a new object that the
 * caller destroys, or NULL with *err filled: the JSON path, what was found
 * and what is allowed.
 */
CaroConfig *CaroConfig_Parse(const char *text, size_t size, uint64_t revision,
                             CaroError *err);
void CaroConfig_Destroy(CaroConfig *c);

/* Return the deployment or account with the name, borrowed, or NULL. */
const CaroDeployment *CaroConfig_Deployment(const CaroConfig *c,
                                            const char *name);
const CaroAccount *CaroConfig_Account(const CaroConfig *c, const char *name);

/* Returns the object with the name in a list of the document ("deployments",
   "upstreams"), borrowed, or NULL. */
json_t *CaroConfig_FindJson(const json_t *root, const char *list,
                            const char *name);

#endif
