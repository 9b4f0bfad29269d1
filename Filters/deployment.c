/* Filter that refuses deployments that are not configured or serve no
   model. */
#include "caro_filters.h"

CaroFilterResult
CaroFilter_Deployment(CaroCompletion *c)
{
    const CaroDeployment *d = CaroConfig_Deployment(
        CaroConfigManager_Get(c->deps->config_manager), c->deployment);
    if (d == NULL || d->kind != CARO_UPSTREAM_MODEL) {
        CaroHttp_SendProblem(c->req, 404, CARO_RUN_NO, "unknown deployment",
                             "$.model: found %.40s; allowed: a deployment of "
                             "kind model",
                             c->deployment);
        return CARO_FILTER_REFUSED;
    }
    return CARO_FILTER_PASS;
}
