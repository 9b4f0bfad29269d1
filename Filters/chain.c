/* Runs the filters of completion requests in order. */
#include "caro_filters.h"

typedef enum {
    STAGE_BODY,
    STAGE_ACCOUNT,
    STAGE_DEPLOYMENT,
    STAGE_RECONNECT,
    STAGE_DRAIN,
    STAGE_ADMISSION,
    STAGE_COUNT
} Stage;

static CaroFilterResult
run_stage(Stage stage, CaroCompletion *c, CaroTime now)
{
    switch (stage) {
    case STAGE_BODY:
        return CaroFilter_Body(c);
    case STAGE_ACCOUNT:
        return CaroFilter_Account(c);
    case STAGE_DEPLOYMENT:
        return CaroFilter_Deployment(c);
    case STAGE_RECONNECT:
        return CaroFilter_Reconnect(c, now);
    case STAGE_DRAIN:
        return CaroFilter_Drain(c);
    default:
        return CaroFilter_Admission(c, now);
    }
}

void
CaroFilters_Run(const CaroFilterDeps *deps, CaroCall *req, CaroTime now)
{
    CaroCompletion c = {.deps = deps, .req = req};
    CaroCounters_Add(deps->common->counters, CARO_COUNT_REQUESTS, 1);
    for (int stage = 0; stage < STAGE_COUNT; stage++) {
        CaroFilterResult result = run_stage((Stage)stage, &c, now);
        if (result == CARO_FILTER_REFUSED) {
            CaroCounters_Add(deps->common->counters, CARO_COUNT_REFUSED, 1);
        }
        if (result != CARO_FILTER_PASS) {
            break;
        }
    }
    json_decref(c.body);
}
