/* Checks that the account is configured. */
#include "caro_filters.h"

CaroFilterResult
CaroFilter_Account(CaroCompletion *c)
{
    const CaroFilterDeps *parts = c->parts;
    if (CaroConfigManager_Get(parts->keeper) == NULL) {
        CaroHttp_Problem(c->req, 503, CARO_RUN_NO, "no configuration yet",
                         "VM %s has heard neither the store nor a peer",
                         parts->common->settings->vm);
        return CARO_FILTER_REFUSED;
    }
    if (CaroConfig_Account(CaroConfigManager_Get(parts->keeper), c->account) ==
        NULL) {
        CaroHttp_Problem(c->req, 403, CARO_RUN_NO, "unknown account",
                         "$.account: found %.40s; allowed: a configured "
                         "account",
                         c->account);
        return CARO_FILTER_REFUSED;
    }
    return CARO_FILTER_PASS;
}
