/* Filter that refuses new generations while the VM drains. */
#include "caro_filters.h"

CaroFilterResult
CaroFilter_Drain(CaroCompletion *c)
{
    if (!c->deps->is_draining) {
        return CARO_FILTER_PASS;
    }
    CaroHttp_SendProblem(c->req, 503, CARO_RUN_NO, "this VM is leaving",
                         "VM %s takes no new work; ask /v1/addresses",
                         c->deps->common->settings->vm);
    return CARO_FILTER_REFUSED;
}
