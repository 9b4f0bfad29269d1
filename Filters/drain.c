/* Refuses new work at a leaving node. */
#include "caro_filters.h"

CaroFilterResult
CaroFilter_Drain(CaroCompletion *c)
{
    if (!c->parts->is_draining) {
        return CARO_FILTER_PASS;
    }
    CaroHttp_Problem(c->req, 503, CARO_RUN_NO, "this VM is leaving",
                     "VM %s takes no new work; ask /v1/addresses",
                     c->parts->common->settings->vm);
    return CARO_FILTER_REFUSED;
}
