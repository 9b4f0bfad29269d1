/* Where a request would go now, and why. */
#include "internal/caro_gateway_explain.h"

#include "internal/caro_platform.h"

#include <stdlib.h>
#include <string.h>

/* Entries of the lists in an explanation. */
enum { LISTED_MAX = 20 };

/* A request on its way through the decisions. */
typedef struct {
    const CaroExplainState *state;
    CaroPlacementQuery query;
    bool *full; /* By target. */
    gsl_rng *rng;
    bool has_allowance;
    CaroPlacementTrace *trace;
    CaroTime now;
} Explanation;

static CaroText
text_of(const char *s)
{
    return s == NULL ? (CaroText){0} : (CaroText){s, strlen(s)};
}

static json_t *
age_ms(CaroTime age)
{
    return age < 0 ? json_null() : json_integer(age / CARO_MS);
}

static const char *
kind_name(CaroRouteKind kind)
{
    switch (kind) {
    case CARO_ROUTE_STREAM:
        return "stream";
    case CARO_ROUTE_NON_IDEMPOTENT:
        return "order";
    case CARO_ROUTE_IDEMPOTENT:
    default:
        return "idempotent";
    }
}

static const char *
state_name(CaroCandidateState state)
{
    switch (state) {
    case CARO_CANDIDATE_USABLE:
        return "usable";
    case CARO_CANDIDATE_AVOIDED:
        return "avoided";
    case CARO_CANDIDATE_DOUBTFUL:
        return "may be leaving";
    case CARO_CANDIDATE_LEAVING:
        return "leaving";
    case CARO_CANDIDATE_UNAVAILABLE:
        return "unavailable";
    case CARO_CANDIDATE_FULL:
        return "full";
    case CARO_CANDIDATE_TRIED:
        return "tried";
    case CARO_CANDIDATE_OTHER_VERSION:
        return "other version";
    case CARO_CANDIDATE_UNREGISTERED:
    default:
        return "not registered";
    }
}

/* --- the decisions --- */

static void
mark_full(Explanation *e, bool is_all)
{
    const CaroTargets *targets = e->state->targets;
    for (CaroHandle h = 0; h < CaroTargets_Count(targets); h++) {
        const CaroTarget *t = CaroTargets_GetConst(targets, h);
        bool is_limited = t->is_used && t->is_present &&
                          !t->entry.is_leaving &&
                          strcmp(t->entry.service, e->query.service) == 0 &&
                          CaroRequestLimits_Get(e->state->limits, h) >= 0.0;
        e->full[h] =
            is_limited &&
            (is_all || CaroRequestLimits_IsOver(e->state->limits, h, e->now));
    }
}

/* As choose_target in relay_attempt.c for a first attempt. */
static CaroHandle
choose_target(Explanation *e)
{
    mark_full(e, false);
    CaroHandle h = CaroPlacement_ChooseTraced(e->state->targets, &e->query,
                                              e->rng, e->now, e->trace);
    if (h != CARO_NO_HANDLE && !e->has_allowance &&
        CaroRequestLimits_Get(e->state->limits, h) >= 0.0) {
        mark_full(e, true);
        h = CaroPlacement_ChooseTraced(e->state->targets, &e->query, e->rng,
                                       e->now, e->trace);
    }
    return h;
}

static json_t *
describe_cost(const CaroPlacementCost *c)
{
    const CaroPrediction *p = &c->prediction;
    if (c->is_predicted) {
        return json_pack(
            "{s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:o, s:o, s:i}",
            "first_event_ms", p->first_event_ms, "queue_ms", p->queue_ms,
            "prefill_ms", p->prefill_ms, "running_ms", p->running_ms,
            "memory_ms", p->memory_ms, "event_ms", p->event_ms, "domain_ms",
            c->domain, "failing_ms", c->failing, "random_ms", c->random,
            "load_age_ms", age_ms(p->load_age), "pace_age_ms",
            age_ms(p->pace.age), "pace_samples", p->pace.samples);
    }
    return json_pack("{s:f, s:f, s:f, s:f, s:f, s:f, s:o}", "requests",
                     c->load.requests, "prefill", c->load.prefill, "kv_copies",
                     c->load.kv_copies, "domain", c->domain, "failing",
                     c->failing, "random", c->random, "load_age_ms",
                     age_ms(c->load.load_age));
}

static json_t *
describe_candidate(const Explanation *e, const CaroCandidate *c)
{
    const CaroTarget *t = CaroTargets_GetConst(e->state->targets, c->target);
    CaroTime avoided = t->avoided_until - e->now;
    CaroTime unavailable = t->notice.unavailable_until - e->now;
    CaroTime left = c->state == CARO_CANDIDATE_AVOIDED       ? avoided
                    : c->state == CARO_CANDIDATE_UNAVAILABLE ? unavailable
                                                             : -1;
    json_t *out = json_pack("{s:s, s:s, s:s, s:s, s:b}", "id", t->entry.id,
                            "domain", t->entry.domain, "version",
                            t->entry.version, "state", state_name(c->state),
                            "suspected", CaroTarget_IsSuspected(t, e->now));
    if (c->state == CARO_CANDIDATE_USABLE) {
        (void)json_object_set_new(out, "cost", json_real(c->cost.cost));
        (void)json_object_set_new(out, "terms", describe_cost(&c->cost));
    }
    else {
        (void)json_object_set_new(out, "for_ms", age_ms(left));
        (void)json_object_set_new(
            out, "failure_age_ms",
            age_ms(t->failed_at == 0 ? -1 : e->now - t->failed_at));
    }
    return out;
}

static int
compare_candidates(const void *left, const void *right)
{
    const CaroCandidate *a = left;
    const CaroCandidate *b = right;
    if (a->state != b->state) {
        return a->state < b->state ? -1 : 1;
    }
    return a->cost.cost < b->cost.cost   ? -1
           : a->cost.cost > b->cost.cost ? 1
                                         : 0;
}

static void
add_candidates(const Explanation *e, json_t *out)
{
    CaroPlacementTrace *trace = e->trace;
    json_t *usable = json_array();
    json_t *others = json_array();
    int n_usable = 0;
    qsort(trace->all, (size_t)trace->n, sizeof(trace->all[0]),
          compare_candidates);
    for (int i = 0; i < trace->n; i++) {
        bool is_usable = trace->all[i].state == CARO_CANDIDATE_USABLE;
        json_t *list = is_usable ? usable : others;
        n_usable += is_usable;
        if (json_array_size(list) < LISTED_MAX) {
            (void)json_array_append_new(list,
                                        describe_candidate(e, &trace->all[i]));
        }
    }
    (void)json_object_set_new(out, "candidates", usable);
    (void)json_object_set_new(out, "candidates_total", json_integer(n_usable));
    (void)json_object_set_new(out, "passed_over", others);
    (void)json_object_set_new(out, "passed_over_total",
                              json_integer(trace->n - n_usable));
    (void)json_object_set_new(
        out, "not_looked_at",
        json_integer(trace->n_omitted + trace->n_unsampled));
}

static void
set_refusal(json_t *out, int status, const char *reason, double retry_after_s)
{
    (void)json_object_set_new(out, "status", json_integer(status));
    (void)json_object_set_new(out, "reason", json_string(reason));
    (void)json_object_set_new(out, "retry_after_s", json_real(retry_after_s));
}

static void
explain_placement(Explanation *e, CaroVersionRule rule, json_t *out)
{
    CaroHandle h = choose_target(e);
    if (h == CARO_NO_HANDLE && rule == CARO_VERSION_ONLY) {
        /* The new version has no usable upstream: any version is taken. */
        e->query.version = NULL;
        h = choose_target(e);
    }
    bool is_over_limit =
        h == CARO_NO_HANDLE &&
        CaroPlacement_HasFull(e->state->targets, &e->query, e->now);
    CaroTime available_at =
        CaroPlacement_AvailableAt(e->state->targets, &e->query, e->now);
    (void)json_object_set_new(
        out, "admission",
        json_string(is_over_limit ? "limits used up" : "admitted"));
    (void)json_object_set_new(
        out, "rule",
        json_string(CaroPlacement_IsPredicted(e->state->targets, &e->query)
                        ? "prediction"
                        : "load"));
    if (h == CARO_NO_HANDLE) {
        set_refusal(out, 503,
                    is_over_limit ? "the upstreams' limits are used up"
                                  : "no usable upstream",
                    available_at == 0 ? 0.0
                                      : (double)(available_at - e->now) /
                                            (double)CARO_SECOND);
    }
    else {
        (void)json_object_set_new(
            out, "target",
            json_string(CaroTargets_GetConst(e->state->targets, h)->entry.id));
        (void)json_object_set_new(
            out, "target_state",
            json_string(state_name(CaroPlacement_Judge(e->state->targets, h,
                                                       &e->query, e->now))));
    }
    add_candidates(e, out);
}

static bool
is_quarantined(const CaroExplainState *s, const CaroExplainRequest *request,
               CaroTime now)
{
    CaroPromptParts parts = {0};
    return CaroPlatform_ReadPromptParts(text_of(request->parts), &parts) ==
               0 &&
           CaroPromptGuard_Refuses(s->guard, &parts, now);
}

/* The steps of CaroRelays_Accept and of a first attempt, with the draws in the
   same order. */
static void
explain_route(Explanation *e, const CaroRoute *route,
              const CaroExplainRequest *request, json_t *out)
{
    const CaroExplainState *s = e->state;
    const char *service =
        CaroRoute_ChooseService(route, gsl_rng_uniform(e->rng));
    if (service == NULL) {
        set_refusal(out, 503, "the route has no service", 0.0);
        return;
    }
    (void)json_object_set_new(out, "service", json_string(service));
    e->query =
        (CaroPlacementQuery){.service = service,
                             .domain = s->domain,
                             .is_stream = route->kind == CARO_ROUTE_STREAM,
                             .pace = s->pace,
                             .full = e->full};
    const char *version = NULL;
    CaroVersionRule rule = CaroServiceRollouts_PeekVersion(
        s->rollouts, service, gsl_rng_uniform(e->rng), &version, e->now);
    if (rule != CARO_VERSION_ANY) {
        e->query.version = version;
        e->query.excludes_version = rule == CARO_VERSION_NOT;
        (void)json_object_set_new(
            out, rule == CARO_VERSION_NOT ? "version_not" : "version_only",
            json_string(version));
    }
    if (e->query.is_stream) {
        CaroPlacementQuery_SetPrompt(&e->query, request->tokens);
    }
    e->has_allowance =
        CaroRequestLimits_HasAllowance(s->limits, service, e->rng, e->now);
    if (is_quarantined(s, request, e->now)) {
        (void)json_object_set_new(out, "admission", json_string("quarantine"));
        set_refusal(out, 503, "a part of the prompt is in quarantine", 0.0);
        return;
    }
    CaroPaceMedians medians = CaroEnginePace_SaveMedians(s->pace, service);
    explain_placement(e, rule, out);
    CaroEnginePace_RestoreMedians(s->pace, service, &medians);
}

static void
explain_accepted(const CaroExplainState *s, const CaroRoute *route,
                 const CaroExplainRequest *request, json_t *out, CaroTime now)
{
    Explanation e = {.state = s, .now = now};
    e.rng = gsl_rng_clone(s->rng);
    e.full =
        calloc((size_t)CaroTargets_Count(s->targets) + 1, sizeof(e.full[0]));
    e.trace = calloc(1, sizeof(*e.trace));
    if (e.rng == NULL || e.full == NULL || e.trace == NULL) {
        set_refusal(out, 500, "no memory for the explanation", 0.0);
    }
    else {
        explain_route(&e, route, request, out);
    }
    free(e.trace);
    free(e.full);
    if (e.rng != NULL) {
        gsl_rng_free(e.rng);
    }
}

json_t *
CaroGatewayExplain_Run(const CaroExplainState *s,
                       const CaroRequestCheckQuery *check,
                       const CaroExplainRequest *request, CaroTime now)
{
    CaroRequestCheckQuery query = *check;
    const char *key = request->key;
    if (request->account != NULL) {
        key = query.routes == NULL
                  ? NULL
                  : CaroRoutes_FindKeyOf(query.routes, request->account);
    }
    query.host = text_of(request->host);
    query.path = text_of(request->path);
    const char *end = memchr(request->path, '?', query.path.size);
    if (end != NULL) {
        query.path.size = (size_t)(end - request->path);
    }
    query.key = text_of(key);
    CaroRequestCheckResult result = CaroRequestCheck_Run(&query);
    json_t *out = json_pack("{s:s, s:i, s:b, s:b, s:b, s:o}", "vm", s->vm,
                            "status", 0, "configured", query.routes != NULL,
                            "config_confirmed", query.is_config_fresh,
                            "upstreams_listed", query.has_target_list,
                            "config_age_ms", age_ms(s->config_age));
    if (out == NULL) {
        return NULL;
    }
    if (query.routes != NULL) {
        (void)json_object_set_new(
            out, "config", json_integer(CaroRoutes_Version(query.routes)));
    }
    if (result.route != NULL) {
        (void)json_object_set_new(
            out, "route",
            json_pack("{s:s, s:s, s:I, s:I}", "name", result.route->name,
                      "kind", kind_name(result.route->kind), "timeout_ms",
                      (json_int_t)(result.route->timeout / CARO_MS),
                      "priority", (json_int_t)result.route->priority));
    }
    if (result.account != NULL) {
        (void)json_object_set_new(out, "account",
                                  json_string(result.account->name));
    }
    if (result.status == 0 && result.route != NULL) {
        explain_accepted(s, result.route, request, out, now);
    }
    else {
        set_refusal(out, result.status, result.reason, result.retry_after_s);
        (void)json_object_set_new(out, "held",
                                  json_boolean(result.should_check_again));
    }
    return out;
}
