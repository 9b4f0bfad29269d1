/*
 * Reader of the operators' configuration.
 *
 * In addition to types and ranges it validates what concerns more than one
 * field: names are unique, an upstream belongs to a configured deployment,
 * and the new version of a running rollout is run by an upstream.
 */
#include "internal/caro_config.h"

#include "internal/caro_fields.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Values as the tables of fields store them, before they are validated and
   copied to the configuration. */
typedef struct {
    char change[256];
} TopFields;

typedef struct {
    char name[CARO_NAME_SIZE];
    char kind[CARO_NAME_SIZE];
    char version[CARO_NAME_SIZE];
} DeploymentFields;

typedef struct {
    char state[CARO_NAME_SIZE];
    char from[CARO_NAME_SIZE];
    char to[CARO_NAME_SIZE];
    int64_t start_ms;
    int64_t end_ms;
    char reason[256];
} RolloutFields;

typedef struct {
    char name[CARO_NAME_SIZE];
    char address[CARO_ADDRESS_SIZE];
    char domain[CARO_NAME_SIZE];
    char deployment[CARO_NAME_SIZE];
    char version[CARO_NAME_SIZE];
    bool leaving;
} UpstreamFields;

#define FIELD(type, key, kind, field, is_required)                            \
    {                                                                         \
        key, kind, offsetof(type, field), is_required, 0, 0, 0                \
    }

static const CaroField top_fields[] = {
    FIELD(TopFields, "change", CARO_FIELD_TEXT, change, false),
    {"deployments", CARO_FIELD_NESTED, 0, true, 0, 0, 0},
    {"upstreams", CARO_FIELD_NESTED, 0, true, 0, 0, 0},
    {"accounts", CARO_FIELD_NESTED, 0, true, 0, 0, 0},
    CARO_FIELDS_END,
};

static const CaroField deployment_fields[] = {
    FIELD(DeploymentFields, "name", CARO_FIELD_NAME, name, true),
    FIELD(DeploymentFields, "kind", CARO_FIELD_NAME, kind, true),
    FIELD(DeploymentFields, "version", CARO_FIELD_NAME, version, true),
    {"rollout", CARO_FIELD_NESTED, 0, false, 0, 0, 0},
    CARO_FIELDS_END,
};

static const CaroField rollout_fields[] = {
    FIELD(RolloutFields, "state", CARO_FIELD_NAME, state, true),
    FIELD(RolloutFields, "from", CARO_FIELD_NAME, from, true),
    FIELD(RolloutFields, "to", CARO_FIELD_NAME, to, true),
    {"start_ms", CARO_FIELD_INTEGER, offsetof(RolloutFields, start_ms), true,
     0, INT64_MAX, 0},
    {"by_ms", CARO_FIELD_INTEGER, offsetof(RolloutFields, end_ms), true, 0,
     INT64_MAX, 0},
    FIELD(RolloutFields, "reason", CARO_FIELD_TEXT, reason, false),
    CARO_FIELDS_END,
};

static const CaroField upstream_fields[] = {
    FIELD(UpstreamFields, "name", CARO_FIELD_NAME, name, true),
    FIELD(UpstreamFields, "address", CARO_FIELD_ADDRESS, address, true),
    FIELD(UpstreamFields, "domain", CARO_FIELD_NAME, domain, true),
    FIELD(UpstreamFields, "deployment", CARO_FIELD_NAME, deployment, true),
    FIELD(UpstreamFields, "version", CARO_FIELD_NAME, version, true),
    FIELD(UpstreamFields, "leaving", CARO_FIELD_BOOL, leaving, false),
    CARO_FIELDS_END,
};

static const CaroField account_fields[] = {
    FIELD(CaroAccount, "name", CARO_FIELD_NAME, name, true),
    {"weight_permille", CARO_FIELD_INTEGER,
     offsetof(CaroAccount, weight_permille), false, 1, 1000000, 1000},
    CARO_FIELDS_END,
};

static int
read_rollout(CaroFieldReader *r, const char *path, const json_t *object,
             CaroRolloutPlan *plan)
{
    static const char *const states[] = {"none", "moving", "done", "undone"};
    RolloutFields f;
    memset(&f, 0, sizeof(f));
    int rc = CaroFields_ReadObject(r, path, rollout_fields, object, &f);
    if (rc < 0) {
        return rc;
    }
    int state = -1;
    for (int i = 0; i < 4; i++) {
        if (strcmp(f.state, states[i]) == 0) {
            state = i;
        }
    }
    if (state < 0) {
        return CaroFields_Fail(r, path, "state", f.state,
                               "none, moving, done or undone");
    }
    if (f.end_ms < f.start_ms) {
        return CaroFields_Fail(r, path, "by_ms", "a time before start_ms",
                               "a time after start_ms");
    }
    plan->state = (CaroRolloutState)state;
    CARO_COPY(plan->from, f.from);
    CARO_COPY(plan->to, f.to);
    plan->start_ms = f.start_ms;
    plan->end_ms = f.end_ms;
    (void)snprintf(plan->reason, sizeof(plan->reason), "%.127s", f.reason);
    return 0;
}

static int
read_deployments(CaroFieldReader *r, const json_t *array, CaroConfig *c)
{
    DeploymentFields *f = calloc(CARO_DEPLOYMENTS_MAX, sizeof(*f));
    c->deployments = calloc(CARO_DEPLOYMENTS_MAX, sizeof(*c->deployments));
    if (f == NULL || c->deployments == NULL) {
        free(f);
        return CARO_ERR_NOMEM;
    }
    int rc = CaroFields_ReadArray(r, "$.deployments", deployment_fields, array,
                                  f, sizeof(*f), CARO_DEPLOYMENTS_MAX);
    for (int i = 0; i < rc; i++) {
        char path[48];
        CaroDeployment *d = &c->deployments[i];
        (void)snprintf(path, sizeof(path), "$.deployments[%d]", i);
        if (CaroConfig_Deployment(c, f[i].name) != NULL) {
            rc = CaroFields_Fail(r, path, "name", f[i].name,
                                 "a name that no other deployment has");
            break;
        }
        bool is_model = strcmp(f[i].kind, "model") == 0;
        if (!is_model && strcmp(f[i].kind, "orders") != 0) {
            rc =
                CaroFields_Fail(r, path, "kind", f[i].kind, "model or orders");
            break;
        }
        CARO_COPY(d->name, f[i].name);
        CARO_COPY(d->version, f[i].version);
        d->kind = is_model ? CARO_UPSTREAM_MODEL : CARO_UPSTREAM_ORDERS;
        c->n_deployments = i + 1;
        const json_t *rollout =
            json_object_get(json_array_get(array, (size_t)i), "rollout");
        if (rollout != NULL) {
            char rollout_path[64];
            (void)snprintf(rollout_path, sizeof(rollout_path), "%s.rollout",
                           path);
            int error = read_rollout(r, rollout_path, rollout, &d->rollout);
            if (error < 0) {
                rc = error;
                break;
            }
        }
    }
    free(f);
    return rc < 0 ? rc : 0;
}

static int
compare_upstreams(const void *a, const void *b)
{
    return strcmp(((const CaroUpstream *)a)->name,
                  ((const CaroUpstream *)b)->name);
}

static int
read_upstreams(CaroFieldReader *r, const json_t *array, CaroConfig *c)
{
    UpstreamFields *f = calloc(CARO_CONFIG_UPSTREAMS_MAX, sizeof(*f));
    c->upstreams = calloc(CARO_CONFIG_UPSTREAMS_MAX, sizeof(*c->upstreams));
    if (f == NULL || c->upstreams == NULL) {
        free(f);
        return CARO_ERR_NOMEM;
    }
    int rc = CaroFields_ReadArray(r, "$.upstreams", upstream_fields, array, f,
                                  sizeof(*f), CARO_CONFIG_UPSTREAMS_MAX);
    for (int i = 0; i < rc; i++) {
        CaroUpstream *u = &c->upstreams[i];
        const CaroDeployment *d = CaroConfig_Deployment(c, f[i].deployment);
        if (d == NULL) {
            char path[48];
            (void)snprintf(path, sizeof(path), "$.upstreams[%d]", i);
            rc = CaroFields_Fail(r, path, "deployment", f[i].deployment,
                                 "the name of a declared deployment");
            break;
        }
        CARO_COPY(u->name, f[i].name);
        CARO_COPY(u->address, f[i].address);
        CARO_COPY(u->domain, f[i].domain);
        CARO_COPY(u->deployment, f[i].deployment);
        CARO_COPY(u->version, f[i].version);
        u->kind = d->kind;
        u->is_leaving = f[i].leaving;
        c->n_upstreams = i + 1;
    }
    free(f);
    if (rc < 0) {
        return rc;
    }
    qsort(c->upstreams, (size_t)c->n_upstreams, sizeof(*c->upstreams),
          compare_upstreams);
    for (int i = 1; i < c->n_upstreams; i++) {
        if (strcmp(c->upstreams[i - 1].name, c->upstreams[i].name) == 0) {
            return CaroFields_Fail(r, "$.upstreams", "name",
                                   c->upstreams[i].name,
                                   "a name that no other upstream has");
        }
    }
    return 0;
}

static int
compare_accounts(const void *a, const void *b)
{
    return strcmp(((const CaroAccount *)a)->name,
                  ((const CaroAccount *)b)->name);
}

static int
read_accounts(CaroFieldReader *r, const json_t *array, CaroConfig *c)
{
    size_t n = json_array_size(array);
    if (n > CARO_ACCOUNTS_MAX) {
        n = CARO_ACCOUNTS_MAX;
    }
    c->accounts = calloc(n + 1, sizeof(*c->accounts));
    if (c->accounts == NULL) {
        return CARO_ERR_NOMEM;
    }
    int rc = CaroFields_ReadArray(r, "$.accounts", account_fields, array,
                                  c->accounts, sizeof(*c->accounts),
                                  CARO_ACCOUNTS_MAX);
    if (rc < 0) {
        return rc;
    }
    c->n_accounts = rc;
    qsort(c->accounts, (size_t)rc, sizeof(*c->accounts), compare_accounts);
    for (int i = 1; i < rc; i++) {
        if (strcmp(c->accounts[i - 1].name, c->accounts[i].name) == 0) {
            return CaroFields_Fail(r, "$.accounts", "name",
                                   c->accounts[i].name,
                                   "a name that no other account has");
        }
    }
    return 0;
}

/* The new version of a running rollout must be run by an upstream. */
static int
check_rollouts(CaroFieldReader *r, const CaroConfig *c)
{
    for (int i = 0; i < c->n_deployments; i++) {
        const CaroDeployment *d = &c->deployments[i];
        bool is_valid = d->rollout.state != CARO_ROLLOUT_RUNNING;
        for (int j = 0; j < c->n_upstreams && !is_valid; j++) {
            const CaroUpstream *u = &c->upstreams[j];
            is_valid = strcmp(u->deployment, d->name) == 0 &&
                       strcmp(u->version, d->rollout.to) == 0;
        }
        if (!is_valid) {
            char path[64];
            (void)snprintf(path, sizeof(path), "$.deployments[%d].rollout", i);
            return CaroFields_Fail(r, path, "to", d->rollout.to,
                                   "a version that an upstream of the "
                                   "deployment runs");
        }
    }
    return 0;
}

static int
read_config(CaroFieldReader *r, const json_t *root, CaroConfig *c)
{
    TopFields top;
    memset(&top, 0, sizeof(top));
    int rc = CaroFields_ReadObject(r, "$", top_fields, root, &top);
    if (rc < 0) {
        return rc;
    }
    (void)snprintf(c->change, sizeof(c->change), "%.64s", top.change);
    rc = read_deployments(r, json_object_get(root, "deployments"), c);
    if (rc < 0) {
        return rc;
    }
    rc = read_upstreams(r, json_object_get(root, "upstreams"), c);
    if (rc < 0) {
        return rc;
    }
    rc = read_accounts(r, json_object_get(root, "accounts"), c);
    if (rc < 0) {
        return rc;
    }
    return check_rollouts(r, c);
}

CaroConfig *
CaroConfig_Parse(const char *text, size_t size, uint64_t revision,
                 CaroError *err)
{
    CaroFieldReader r = {.origin = "", .step = "config", .err = err};
    json_error_t at;
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &at);
    if (root == NULL) {
        (void)CaroError_Set(err, CARO_ERR_INPUT, "config", NULL,
                            "line %d column %d: %s", at.line, at.column,
                            at.text);
        return NULL;
    }
    CaroConfig *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        goto error;
    }
    c->revision = revision;
    c->text = malloc(size + 1);
    if (c->text == NULL) {
        goto error;
    }
    memcpy(c->text, text, size);
    c->text[size] = '\0';
    c->text_size = size;
    if (read_config(&r, root, c) < 0) {
        goto error;
    }
    json_decref(root);
    return c;
error:
    json_decref(root);
    CaroConfig_Destroy(c);
    return NULL;
}

void
CaroConfig_Destroy(CaroConfig *c)
{
    if (c == NULL) {
        return;
    }
    free(c->deployments);
    free(c->upstreams);
    free(c->accounts);
    free(c->text);
    free(c);
}

const CaroDeployment *
CaroConfig_Deployment(const CaroConfig *c, const char *name)
{
    for (int i = 0; i < c->n_deployments; i++) {
        if (strcmp(c->deployments[i].name, name) == 0) {
            return &c->deployments[i];
        }
    }
    return NULL;
}

const CaroAccount *
CaroConfig_Account(const CaroConfig *c, const char *name)
{
    int low = 0;
    int high = c->n_accounts - 1;
    while (low <= high) {
        int mid = (low + high) / 2;
        int comparison = strcmp(name, c->accounts[mid].name);
        if (comparison == 0) {
            return &c->accounts[mid];
        }
        if (comparison < 0) {
            high = mid - 1;
        }
        else {
            low = mid + 1;
        }
    }
    return NULL;
}

json_t *
CaroConfig_FindJson(const json_t *root, const char *list, const char *name)
{
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(root, list), i, item)
    {
        const char *s = json_string_value(json_object_get(item, "name"));
        if (s != NULL && strcmp(s, name) == 0) {
            return item;
        }
    }
    return NULL;
}
