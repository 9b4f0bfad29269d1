/* Whether a request is served, and if not, the answer. */
#include "internal/caro_request_check.h"

/* A VM that starts has its configuration and the upstreams' list within
   this: two answers of the store and the spread of a fleet's first calls. */
#define START_RETRY_S 0.1
/* While its first reads run a VM keeps requests instead: callers whose VM
   was killed come to one that has just started, and have no third try. */
#define START_HOLD (250 * CARO_MS)
/* Another VM can serve at once; the caller only has to ask for one. */
#define ELSEWHERE_RETRY_S 0.05
static CaroRequestCheckResult
refuse(int status, double retry_after_s, const char *reason)
{
    return (CaroRequestCheckResult){
        .status = status, .reason = reason, .retry_after_s = retry_after_s};
}

CaroRequestCheckResult
CaroRequestCheck_Run(const CaroRequestCheckQuery *q)
{
    CaroRequestCheckResult verdict = {.status = 0, .reason = "served"};
    if (q->routes == NULL || !q->is_listed) {
        verdict = refuse(503, START_RETRY_S, "no configuration yet");
        verdict.should_check_again = q->age < START_HOLD && !q->is_stopping;
        return verdict;
    }
    if (q->host.size == 0 || q->path.size == 0 || q->path.at[0] != '/') {
        return refuse(400, 0.0, "no host or no path");
    }
    verdict.route = CaroRoutes_Find(q->routes, q->host.at, q->host.size,
                                    q->path.at, q->path.size);
    if (verdict.route == NULL) {
        return q->is_config_fresh ? refuse(404, 0.0, "no route leads there")
                                  : refuse(503, ELSEWHERE_RETRY_S,
                                           "the configuration is not proven");
    }
    if (!verdict.route->is_public && CaroRoutes_HasAccounts(q->routes)) {
        if (!q->is_config_fresh) {
            return refuse(503, ELSEWHERE_RETRY_S,
                          "the configuration is not proven");
        }
        verdict.account =
            CaroRoutes_FindAccount(q->routes, q->key.at, q->key.size);
        if (verdict.account == NULL) {
            return refuse(401, 0.0, "the key is unknown");
        }
    }
    /* A generation takes about as long as the grace between a stop and the
       kill: one that began now would be cut. */
    if (q->is_stopping && verdict.route->kind == CARO_ROUTE_STREAM) {
        return refuse(503, ELSEWHERE_RETRY_S, "this VM stops");
    }
    return verdict;
}
