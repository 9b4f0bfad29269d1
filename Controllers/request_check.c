/* Whether a request is served, and the response if it is not. */
#include "internal/caro_request_check.h"

#include "internal/caro_http_target.h"

#include <stdlib.h>

/* Retry-After of a VM that is starting.  It has its configuration and the
   list of targets within this time, which covers two responses of the store
   and the spread of a fleet's first calls. */
#define START_RETRY_DELAY_S 0.1
/* A VM holds requests for this long after its start while its first reads
   run.  Callers whose VM was killed may reach one that has just started, and
   do not try a third. */
#define START_HOLD_MAX (250 * CARO_MS)
/* Retry-After while a configuration cannot be read: an operator has to write
   another one. */
#define UNUSABLE_CONFIG_RETRY_DELAY_S 1.0
/* Retry-After of a VM that cannot serve while another can at once; the caller
   only has to look up its address. */
#define OTHER_VM_RETRY_DELAY_S 0.05

static CaroRequestCheckResult
refuse(int status, double retry_after_s, const char *reason)
{
    return (CaroRequestCheckResult){
        .status = status, .reason = reason, .retry_after_s = retry_after_s};
}

/* The longest time in which the request has its final response. */
static CaroTime
time_limit(const CaroRequestCheckQuery *q, const CaroRoute *route)
{
    return q->caller_timeout > 0 && q->caller_timeout < route->timeout
               ? q->caller_timeout
               : route->timeout;
}

/* Returns whether a reader that decodes the path or merges its slashes would
   choose another route, with other limits and another number of attempts. */
static bool
is_route_ambiguous(const CaroRequestCheckQuery *q, const CaroRoute *route)
{
    if (!CaroHttpTarget_HasOtherForm(q->path)) {
        return false;
    }
    char *other = malloc(q->path.size);
    if (other == NULL) {
        return true;
    }
    size_t size = CaroHttpTarget_WriteOtherForm(q->path, other);
    bool is_other = CaroRoutes_Find(q->routes, q->host.at, q->host.size, other,
                                    size) != route;
    free(other);
    return is_other;
}

CaroRequestCheckResult
CaroRequestCheck_Run(const CaroRequestCheckQuery *q)
{
    CaroRequestCheckResult result = {.status = 0, .reason = "served"};
    if (q->routes == NULL || !q->has_target_list) {
        result = refuse(503, START_RETRY_DELAY_S, "no configuration yet");
        result.should_check_again =
            q->uptime < START_HOLD_MAX && !q->is_stopping;
        return result;
    }
    if (q->has_unusable_config) {
        return refuse(503, UNUSABLE_CONFIG_RETRY_DELAY_S,
                      "a newer configuration cannot be read");
    }
    if (q->lacks_config) {
        return refuse(503, OTHER_VM_RETRY_DELAY_S,
                      "a newer configuration has not arrived");
    }
    if (q->host.size == 0 || q->path.size == 0 || q->path.at[0] != '/') {
        return refuse(400, 0.0, "the request has no host or no path");
    }
    result.route = CaroRoutes_Find(q->routes, q->host.at, q->host.size,
                                   q->path.at, q->path.size);
    if (result.route == NULL) {
        return q->is_config_fresh
                   ? refuse(404, 0.0, "no route matches the host and path")
                   : refuse(503, OTHER_VM_RETRY_DELAY_S,
                            "the configuration may be out of date");
    }
    if (is_route_ambiguous(q, result.route)) {
        return refuse(400, 0.0, "the path matches another route when decoded");
    }
    if (result.route->is_unusable) {
        return refuse(503, UNUSABLE_CONFIG_RETRY_DELAY_S,
                      "the route cannot be read");
    }
    if (!result.route->is_public && CaroRoutes_RequiresAccounts(q->routes)) {
        if (!q->is_config_fresh) {
            return refuse(503, OTHER_VM_RETRY_DELAY_S,
                          "the configuration may be out of date");
        }
        result.account =
            CaroRoutes_FindAccount(q->routes, q->key.at, q->key.size);
        if (result.account == NULL) {
            return refuse(401, 0.0, "the API key is unknown");
        }
        if (result.account->is_unusable) {
            return refuse(503, UNUSABLE_CONFIG_RETRY_DELAY_S,
                          "the account's name cannot be read");
        }
    }
    /* A generation takes about as long as the grace period between a stop
       and the kill: one that started now would be truncated, and so would
       another request whose time ends after the exit. */
    if (q->is_stopping && (result.route->kind == CARO_ROUTE_STREAM ||
                           time_limit(q, result.route) > q->time_to_exit)) {
        return refuse(503, OTHER_VM_RETRY_DELAY_S, "this VM is stopping");
    }
    return result;
}
