/* Filter that refuses accounts that are not configured. */
#include "caro_filters.h"

CaroFilterResult
CaroFilter_Account(CaroCompletion *c)
{
    const CaroFilterDeps *deps = c->deps;
    if (CaroConfigManager_Get(deps->config_manager) == NULL) {
        CaroHttp_SendProblem(c->req, 503, CARO_RUN_NO, "no configuration yet",
                             "VM %s has heard neither the store nor a peer",
                             deps->common->settings->vm);
        return CARO_FILTER_REFUSED;
    }
    if (CaroConfig_Account(CaroConfigManager_Get(deps->config_manager),
                           c->account) == NULL) {
        CaroHttp_SendProblem(c->req, 403, CARO_RUN_NO, "unknown account",
                             "$.account: found %.40s; allowed: a configured "
                             "account",
                             c->account);
        return CARO_FILTER_REFUSED;
    }
    return CARO_FILTER_PASS;
}
