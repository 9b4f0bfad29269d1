/* Admission control of each deployment. */
#include "internal/caro_admissions.h"

#include "internal/caro_limits.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limit until the first load reports: the concurrency of two small engines. */
enum { LIMIT_INITIAL = 64 };

struct CaroAdmissions {
    int queue_max;
    CaroAdmission *admissions[CARO_DEPLOYMENTS_MAX];
    char names[CARO_DEPLOYMENTS_MAX][CARO_NAME_SIZE];
    int n;
};

CaroAdmissions *
CaroAdmissions_Create(int queue_max)
{
    CaroAdmissions *all = calloc(1, sizeof(*all));
    if (all != NULL) {
        all->queue_max = queue_max;
    }
    return all;
}

void
CaroAdmissions_Destroy(CaroAdmissions *all)
{
    if (all == NULL) {
        return;
    }
    for (int i = 0; i < all->n; i++) {
        CaroAdmission_Destroy(all->admissions[i]);
    }
    free(all);
}

CaroAdmission *
CaroAdmissions_GetOrCreate(CaroAdmissions *all, const char *deployment)
{
    for (int i = 0; i < all->n; i++) {
        if (strcmp(all->names[i], deployment) == 0) {
            return all->admissions[i];
        }
    }
    if (all->n == CARO_DEPLOYMENTS_MAX) {
        return NULL;
    }
    CaroAdmission *a = CaroAdmission_Create(all->queue_max);
    if (a != NULL) {
        CaroAdmission_SetLimit(a, LIMIT_INITIAL);
        CARO_COPY(all->names[all->n], deployment);
        all->admissions[all->n++] = a;
    }
    return a;
}

int
CaroAdmissions_Count(const CaroAdmissions *all)
{
    return all->n;
}

CaroAdmission *
CaroAdmissions_GetAt(const CaroAdmissions *all, int i, const char **deployment)
{
    *deployment = all->names[i];
    return all->admissions[i];
}

void
CaroAdmissions_SetWeights(CaroAdmissions *all, const CaroConfig *config)
{
    for (int i = 0; i < config->n_deployments; i++) {
        const CaroDeployment *d = &config->deployments[i];
        if (d->kind != CARO_UPSTREAM_MODEL) {
            continue;
        }
        CaroAdmission *a = CaroAdmissions_GetOrCreate(all, d->name);
        for (int j = 0; a != NULL && j < config->n_accounts; j++) {
            const CaroAccount *account = &config->accounts[j];
            if (account->weight_permille != 1000) {
                CaroAdmission_SetWeight(a, account->name,
                                        (double)account->weight_permille /
                                            1000.0);
            }
        }
    }
}

void
CaroAdmissions_UpdateLimits(CaroAdmissions *all,
                            const CaroUpstreams *upstreams, int vms,
                            CaroTime now)
{
    for (int i = 0; i < all->n; i++) {
        int running = CaroAdmission_Running(all->admissions[i]);
        CaroAdmission_SetLimit(all->admissions[i],
                               CaroLimits_Get(upstreams, all->names[i],
                                              running, vms < 1 ? 1 : vms,
                                              now));
    }
}
