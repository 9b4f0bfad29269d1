/* Checks that the deployment is configured and serves models. */
#include "caro_filters.h"

CaroFilterResult
CaroFilter_Deployment(CaroCompletion *c)
{
    const CaroDeployment *d = CaroConfig_Deployment(
        CaroConfigManager_Get(c->parts->keeper), c->deployment);
    if (d == NULL || d->kind != CARO_UPSTREAM_MODEL) {
        CaroHttp_Problem(c->req, 404, CARO_RUN_NO, "unknown deployment",
                         "$.model: found %.40s; allowed: a deployment of "
                         "kind model",
                         c->deployment);
        return CARO_FILTER_REFUSED;
    }
    return CARO_FILTER_PASS;
}
