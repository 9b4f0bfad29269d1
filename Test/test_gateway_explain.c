/* Tests of explanations: against the decision that follows, each refusal, and
   that no state of the VM changes. */
#include "test.h"

#include "internal/caro_gateway_explain.h"
#include "internal/caro_platform.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define S CARO_SECOND
#define WALL_MS ((int64_t)1000)

enum { TARGETS = 24, ROUNDS = 200 };

static const CaroRouteShare shares[] = {{.service = "chat", .weight = 2},
                                        {.service = "chat2", .weight = 1}};
static const CaroRouteShare order_share = {.service = "desk", .weight = 1};

typedef struct {
    CaroRoutes *routes;
    CaroTargets *targets;
    CaroServiceRollouts *rollouts;
    CaroRequestLimits *limits;
    CaroPromptGuard *guard;
    CaroEnginePace *pace;
    CaroCounters counters;
    gsl_rng *rng;
    gsl_rng *other; /* Draws of the test. */
    CaroTime now;
    CaroRequestCheckQuery check;
} Vm;

static CaroHandle
put_target(Vm *vm, int number, const char *service, const char *version)
{
    CaroTargetEntry e = {.slots = 16, .started_at_ms = 1};
    (void)snprintf(e.id, sizeof(e.id), "%s-%d", service, number);
    CARO_COPY(e.address, "10.0.0.1:80");
    CARO_COPY(e.domain, number % 3 == 0 ? "a" : "b");
    CARO_COPY(e.service, service);
    CARO_COPY(e.version, version);
    CaroHandle h = CaroTargets_Put(vm->targets, &e, S);
    assert_true(h != CARO_NO_HANDLE);
    return h;
}

static CaroRoutes *
make_routes(void)
{
    CaroRoutes *r = CaroRoutes_Create(7);
    CaroRoute route = {.host = "a.example",
                       .prefix = "/s/",
                       .kind = CARO_ROUTE_STREAM,
                       .timeout = 8 * S,
                       .shares = shares,
                       .n_shares = 2};
    CaroClientAccount account = {.name = "yard", .priority = -1};
    int index;
    CARO_COPY(route.name, "r-s");
    assert_int_equal(CaroRoutes_Add(r, &route), 0);
    route.prefix = "/o/";
    route.kind = CARO_ROUTE_NON_IDEMPOTENT;
    route.shares = &order_share;
    route.n_shares = 1;
    CARO_COPY(route.name, "r-o");
    assert_int_equal(CaroRoutes_Add(r, &route), 0);
    route.prefix = "/bad/";
    route.is_unusable = true;
    CARO_COPY(route.name, "r-b");
    assert_int_equal(CaroRoutes_Add(r, &route), 0);
    assert_int_equal(CaroRoutes_AddAccount(r, &account, &index), 0);
    assert_int_equal(CaroRoutes_AddKey(r, "key-1", index), 0);
    return r;
}

static Vm *
make_vm(unsigned long seed)
{
    Vm *vm = calloc(1, sizeof(*vm));
    vm->rng = gsl_rng_alloc(gsl_rng_taus2);
    vm->other = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(vm->rng, seed);
    gsl_rng_set(vm->other, seed + 1000);
    vm->now = 10 * S;
    vm->routes = make_routes();
    vm->targets = CaroTargets_Create();
    vm->rollouts = CaroServiceRollouts_Create(NULL, 0.3, 50);
    vm->limits = CaroRequestLimits_Create(vm->targets, vm->rng);
    vm->guard = CaroPromptGuard_Create(vm->targets, NULL, &vm->counters);
    vm->pace = CaroEnginePace_Create();
    vm->check = (CaroRequestCheckQuery){.routes = vm->routes,
                                        .has_target_list = true,
                                        .is_config_fresh = true,
                                        .uptime = 100 * S};
    return vm;
}

static void
destroy_vm(Vm *vm)
{
    CaroEnginePace_Destroy(vm->pace);
    CaroPromptGuard_Destroy(vm->guard);
    CaroRequestLimits_Destroy(vm->limits);
    CaroServiceRollouts_Destroy(vm->rollouts);
    CaroTargets_Destroy(vm->targets);
    CaroRoutes_Destroy(vm->routes);
    gsl_rng_free(vm->other);
    gsl_rng_free(vm->rng);
    free(vm);
}

/* --- what an explanation must not change --- */

typedef struct {
    void *bytes[6];
    size_t sizes[6];
    CaroTarget *targets;
    int n_targets;
    CaroPaceMedians medians[3];
    json_t *rollouts;
} Snapshot;

static const char *const services[] = {"chat", "chat2", "desk"};

static Snapshot
take_snapshot(const Vm *vm)
{
    /* The objects are one block of memory each, which is copied whole. */
    const void *const blocks[] = {vm->limits, vm->rollouts, vm->guard,
                                  vm->pace};
    Snapshot s = {.n_targets = CaroTargets_Count(vm->targets)};
    for (int i = 0; i < 4; i++) {
        s.sizes[i] = malloc_usable_size((void *)blocks[i]);
        s.bytes[i] = malloc(s.sizes[i]);
        memcpy(s.bytes[i], blocks[i], s.sizes[i]);
    }
    s.sizes[4] = gsl_rng_size(vm->rng);
    s.bytes[4] = malloc(s.sizes[4]);
    memcpy(s.bytes[4], gsl_rng_state(vm->rng), s.sizes[4]);
    s.sizes[5] = sizeof(vm->counters);
    s.bytes[5] = malloc(s.sizes[5]);
    memcpy(s.bytes[5], &vm->counters, s.sizes[5]);
    s.targets = calloc((size_t)s.n_targets + 1, sizeof(CaroTarget));
    for (CaroHandle h = 0; h < s.n_targets; h++) {
        memcpy(&s.targets[h], CaroTargets_GetConst(vm->targets, h),
               sizeof(CaroTarget));
    }
    for (int i = 0; i < 3; i++) {
        s.medians[i] = CaroEnginePace_SaveMedians(vm->pace, services[i]);
    }
    s.rollouts = CaroServiceRollouts_Dump(vm->rollouts);
    return s;
}

static void
check_unchanged(const Vm *vm, Snapshot *before)
{
    Snapshot after = take_snapshot(vm);
    assert_int_equal(after.n_targets, before->n_targets);
    assert_memory_equal(after.targets, before->targets,
                        (size_t)after.n_targets * sizeof(CaroTarget));
    for (int i = 0; i < 6; i++) {
        assert_int_equal(after.sizes[i], before->sizes[i]);
        assert_memory_equal(after.bytes[i], before->bytes[i], after.sizes[i]);
        free(after.bytes[i]);
        free(before->bytes[i]);
    }
    for (int i = 0; i < 3; i++) {
        const CaroPaceMedians *a = &after.medians[i];
        const CaroPaceMedians *b = &before->medians[i];
        assert_int_equal(a->is_known, b->is_known);
        assert_int_equal(a->is_median_known, b->is_median_known);
        assert_int_equal(a->median_at, b->median_at);
        assert_int_equal(a->n_memory, b->n_memory);
        assert_true(a->prefill_us == b->prefill_us);
        assert_true(a->event_us == b->event_us);
        assert_true(a->memory == b->memory);
    }
    assert_true(json_equal(after.rollouts, before->rollouts));
    json_decref(after.rollouts);
    json_decref(before->rollouts);
    free(after.targets);
    free(before->targets);
}

static json_t *
explain(const Vm *vm, const CaroExplainRequest *request)
{
    CaroExplainState state = {.vm = "g1",
                              .domain = "a",
                              .targets = vm->targets,
                              .rollouts = vm->rollouts,
                              .limits = vm->limits,
                              .guard = vm->guard,
                              .pace = vm->pace,
                              .rng = vm->rng,
                              .config_age = 12 * CARO_MS};
    Snapshot before = take_snapshot(vm);
    json_t *out = CaroGatewayExplain_Run(&state, &vm->check, request, vm->now);
    assert_non_null(out);
    check_unchanged(vm, &before);
    return out;
}

static const char *
string_of(const json_t *object, const char *key)
{
    const char *s = json_string_value(json_object_get(object, key));
    return s == NULL ? "" : s;
}

static int
status_of(const json_t *explanation)
{
    return (int)json_integer_value(json_object_get(explanation, "status"));
}

/* --- the decision itself --- */

static CaroHandle
choose(Vm *vm, const CaroPlacementQuery *q)
{
    CaroHandle h;
    CaroRequestLimits_MarkFull(vm->limits, q->service, vm->now);
    do {
        h = CaroPlacement_Choose(vm->targets, q, vm->rng, vm->now);
    } while (h != CARO_NO_HANDLE &&
             !CaroRequestLimits_Take(vm->limits, h, false, vm->now));
    return h;
}

/* Decides as relay.c and relay_attempt.c do for a first attempt. */
static CaroHandle
decide(Vm *vm, const CaroExplainRequest *request)
{
    CaroRequestCheckQuery query = vm->check;
    query.host = (CaroText){request->host, strlen(request->host)};
    query.path = (CaroText){request->path, strlen(request->path)};
    query.key = (CaroText){request->key, strlen(request->key)};
    CaroRequestCheckResult result = CaroRequestCheck_Run(&query);
    assert_int_equal(result.status, 0);
    const char *version = NULL;
    CaroPlacementQuery q = {
        .service =
            CaroRoute_ChooseService(result.route, gsl_rng_uniform(vm->rng)),
        .domain = "a",
        .is_stream = result.route->kind == CARO_ROUTE_STREAM,
        .pace = vm->pace};
    CaroVersionRule rule = CaroServiceRollouts_ChooseVersion(
        vm->rollouts, q.service, gsl_rng_uniform(vm->rng), &version, vm->now);
    if (rule != CARO_VERSION_ANY) {
        q.version = version;
        q.excludes_version = rule == CARO_VERSION_NOT;
    }
    if (q.is_stream) {
        CaroPlacementQuery_SetPrompt(&q, request->tokens);
    }
    CaroRequestLimits_RecordDemand(vm->limits, q.service, vm->now);
    CaroHandle h = choose(vm, &q);
    if (h == CARO_NO_HANDLE && rule == CARO_VERSION_ONLY) {
        q.version = NULL;
        h = choose(vm, &q);
    }
    return h;
}

/* Changes the state of the VM as traffic does. */
static void
play_traffic(Vm *vm, CaroHandle chosen, int tokens, bool has_work_figure)
{
    CaroHandle h = (CaroHandle)gsl_rng_uniform_int(vm->other, TARGETS);
    int running = (int)gsl_rng_uniform_int(vm->other, 12);
    int waiting = (int)gsl_rng_uniform_int(vm->other, 3);
    CaroTargets_RecordLoad(vm->targets, h, running, waiting,
                           has_work_figure ? 80 + 10 * running : 0, vm->now);
    if (gsl_rng_uniform_int(vm->other, 10) == 0) {
        CaroTargets_Avoid(vm->targets, h, CARO_TARGET_FAILING, vm->now);
    }
    if (gsl_rng_uniform_int(vm->other, 10) == 0) {
        CaroRequestLimits_RecordResponse(vm->limits, h, 1.0 + running,
                                         vm->now);
    }
    if (gsl_rng_uniform_int(vm->other, 20) == 0) {
        CaroRequestLimits_RecordResponse(vm->limits, h, -1.0, vm->now);
    }
    if (gsl_rng_uniform_int(vm->other, 20) == 0) {
        CaroTargets_RecordUnavailable(vm->targets, h, vm->now + S);
    }
    if (chosen != CARO_NO_HANDLE) {
        const CaroTarget *t = CaroTargets_GetConst(vm->targets, chosen);
        CaroTargets_Begin(vm->targets, chosen, true);
        CaroTargets_AddPrefill(vm->targets, chosen, tokens);
        (void)CaroEnginePace_RecordFirstEvent(
            vm->pace, t, 4000, (400 + 50 * running) * CARO_MS, vm->now);
    }
    vm->now +=
        20 * CARO_MS + (CaroTime)gsl_rng_uniform_int(vm->other, 200) * CARO_MS;
}

static void
compare_with_decisions(unsigned long seed, bool has_work_figure,
                       bool is_rollout_done)
{
    Vm *vm = make_vm(seed);
    const char *request =
        "{\"service\":\"chat\",\"target\":\"v2\",\"duration_s\":20}";
    int n_refused = 0;
    int n_predicted = 0;
    int n_restricted = 0;
    for (int i = 0; i < TARGETS; i++) {
        (void)put_target(vm, i, services[i % 3], i % 4 == 0 ? "v2" : "v1");
    }
    CaroServiceRollouts_OnRequest(vm->rollouts, "chat", request,
                                  strlen(request), 1, vm->now);
    if (is_rollout_done) {
        char *outcome =
            CaroPlatform_WriteRolloutOutcome(CARO_ROLLOUT_OUTCOME_DONE, "v2");
        CaroServiceRollouts_OnOutcome(vm->rollouts, "chat", outcome,
                                      strlen(outcome), 2);
        free(outcome);
    }
    for (int i = 0; i < ROUNDS; i++) {
        bool is_order = gsl_rng_uniform_int(vm->other, 3) == 0;
        CaroExplainRequest r = {
            .host = "a.example",
            .path = is_order ? "/o/1" : "/s/1",
            .key = "key-1",
            .tokens = (int64_t)gsl_rng_uniform_int(vm->other, 14400)};
        json_t *out = explain(vm, &r);
        CaroHandle h = decide(vm, &r);
        if (h == CARO_NO_HANDLE) {
            assert_int_equal(status_of(out), 503);
            n_refused++;
        }
        else {
            const json_t *first =
                json_array_get(json_object_get(out, "candidates"), 0);
            const char *id = CaroTargets_GetConst(vm->targets, h)->entry.id;
            assert_int_equal(status_of(out), 0);
            assert_string_equal(string_of(out, "target"), id);
            if (first != NULL) {
                assert_string_equal(string_of(first, "id"), id);
            }
        }
        n_predicted += strcmp(string_of(out, "rule"), "prediction") == 0;
        n_restricted += json_object_get(out, "version_only") != NULL;
        json_decref(out);
        play_traffic(vm, h, (int)r.tokens, has_work_figure);
    }
    /* The rounds cover the branches that they are meant for. */
    assert_int_equal(n_predicted > ROUNDS / 4, has_work_figure);
    assert_true(!is_rollout_done || n_restricted > ROUNDS / 8);
    assert_true(n_refused < ROUNDS / 2);
    destroy_vm(vm);
}

/* Guards against an explanation that differs from what is decided next, by the
   order of draws or by a rule of its own, and against one that changes state:
   explain() compares the tables, the counters and the generator. */
static void
test_explanation_is_the_next_decision(void **state)
{
    (void)state;
    for (unsigned long seed = 1; seed <= 2; seed++) {
        compare_with_decisions(seed, false, false);
        compare_with_decisions(seed, true, false);
        compare_with_decisions(seed, true, true);
    }
}

/* Guards against an explanation that counts a request in the allowance of a
   limited service: the tenth would then say something else. */
static void
test_repeated_explanations_are_alike(void **state)
{
    (void)state;
    Vm *vm = make_vm(5);
    CaroHandle h = put_target(vm, 0, "desk", "v1");
    CaroExplainRequest r = {
        .host = "a.example", .path = "/o/1", .key = "key-1"};
    CaroRequestLimits_RecordResponse(vm->limits, h, 0.1, vm->now);
    json_t *first = explain(vm, &r);
    for (int i = 0; i < 100 && status_of(first) == 0; i++) {
        assert_int_equal(decide(vm, &r), h);
        vm->now += CARO_MS;
        json_decref(first);
        first = explain(vm, &r);
    }
    assert_int_equal(status_of(first), 503);
    assert_string_equal(string_of(first, "admission"), "limits used up");
    assert_string_equal(
        string_of(json_array_get(json_object_get(first, "passed_over"), 0),
                  "state"),
        "full");
    for (int i = 0; i < 10; i++) {
        json_t *next = explain(vm, &r);
        assert_true(json_equal(first, next));
        json_decref(next);
    }
    json_decref(first);
    assert_int_equal(decide(vm, &r), CARO_NO_HANDLE);
    destroy_vm(vm);
}

static void
check_refusal(const Vm *vm, const CaroExplainRequest *r, int status,
              const char *reason)
{
    json_t *out = explain(vm, r);
    assert_int_equal(status_of(out), status);
    assert_string_equal(string_of(out, "reason"), reason);
    char *text = CaroGatewayExplain_WriteText(out);
    assert_non_null(strstr(text, "refused"));
    free(text);
    json_decref(out);
}

/* Guards against a refusal that is explained as another, or not at all. */
static void
test_refusals(void **state)
{
    (void)state;
    Vm *vm = make_vm(6);
    CaroExplainRequest r = {
        .host = "a.example", .path = "/s/1?x=1", .key = "key-1"};
    check_refusal(vm, &r, 503, "no usable upstream");
    (void)put_target(vm, 0, "chat", "v1");
    (void)put_target(vm, 1, "chat2", "v1");
    json_t *out = explain(vm, &r);
    assert_int_equal(status_of(out), 0);
    assert_string_equal(string_of(out, "account"), "yard");
    assert_string_equal(string_of(json_object_get(out, "route"), "name"),
                        "r-s");
    json_decref(out);

    r.host = "b.example";
    check_refusal(vm, &r, 404, "no route matches the host and path");
    vm->check.is_config_fresh = false;
    check_refusal(vm, &r, 503, "the configuration may be out of date");
    r.host = "a.example";
    check_refusal(vm, &r, 503, "the configuration may be out of date");
    vm->check.is_config_fresh = true;
    r.key = "key-2";
    check_refusal(vm, &r, 401, "the API key is unknown");
    r.key = NULL;
    check_refusal(vm, &r, 401, "the API key is unknown");
    r.account = "nobody";
    check_refusal(vm, &r, 401, "the API key is unknown");
    r.account = "yard";
    out = explain(vm, &r);
    assert_int_equal(status_of(out), 0);
    json_decref(out);
    r.path = "/bad/1";
    check_refusal(vm, &r, 503, "the route cannot be read");
    r.path = "";
    check_refusal(vm, &r, 400, "the request has no host or no path");
    r.path = "/s/1";
    vm->check.is_stopping = true;
    check_refusal(vm, &r, 503, "this VM is stopping");
    vm->check.is_stopping = false;
    vm->check.has_unusable_config = true;
    check_refusal(vm, &r, 503, "a newer configuration cannot be read");
    vm->check.has_unusable_config = false;
    vm->check.has_target_list = false;
    check_refusal(vm, &r, 503, "no configuration yet");
    vm->check.uptime = 0;
    out = explain(vm, &r);
    assert_true(json_is_true(json_object_get(out, "held")));
    json_decref(out);
    vm->check.routes = NULL;
    check_refusal(vm, &r, 503, "no configuration yet");
    destroy_vm(vm);
}

static void
test_quarantine(void **state)
{
    (void)state;
    Vm *vm = make_vm(7);
    const char *list = "ab12:4000,cd:10";
    CaroPromptParts parts;
    CaroExplainRequest r = {
        .host = "a.example", .path = "/s/1", .key = "key-1", .parts = list};
    (void)put_target(vm, 0, "chat", "v1");
    (void)put_target(vm, 1, "chat2", "v1");
    assert_int_equal(
        CaroPlatform_ReadPromptParts((CaroText){list, strlen(list)}, &parts),
        0);
    char *stored = CaroPlatform_WriteQuarantine(&(CaroStoredQuarantine){
        .parts = parts, .until_ms = WALL_MS + 10000, .has_probes = true});
    CaroPromptGuard_OnStored(vm->guard, stored, strlen(stored), WALL_MS,
                             vm->now);
    free(stored);
    check_refusal(vm, &r, 503, "a part of the prompt is in quarantine");
    r.parts = "ef:4000,cd:10";
    json_t *out = explain(vm, &r);
    assert_int_equal(status_of(out), 0);
    json_decref(out);
    destroy_vm(vm);
}

static const char *
state_of(const json_t *out, const char *id)
{
    size_t i;
    json_t *c;
    json_array_foreach(json_object_get(out, "passed_over"), i, c)
    {
        if (strcmp(string_of(c, "id"), id) == 0) {
            return string_of(c, "state");
        }
    }
    return "";
}

/* Guards against a target that is passed over for a reason that is not told.
 */
static void
test_passed_over(void **state)
{
    (void)state;
    Vm *vm = make_vm(8);
    CaroHandle h[7];
    char *outcome =
        CaroPlatform_WriteRolloutOutcome(CARO_ROLLOUT_OUTCOME_DONE, "v2");
    const char *request =
        "{\"service\":\"desk\",\"target\":\"v2\",\"duration_s\":20}";
    CaroExplainRequest r = {
        .host = "a.example", .path = "/o/1", .key = "key-1"};
    for (int i = 0; i < 6; i++) {
        h[i] = put_target(vm, i, "desk", i == 0 ? "v1" : "v2");
    }
    CaroServiceRollouts_OnRequest(vm->rollouts, "desk", request,
                                  strlen(request), 1, vm->now);
    CaroServiceRollouts_OnOutcome(vm->rollouts, "desk", outcome,
                                  strlen(outcome), 2);
    free(outcome);
    CaroTargets_Get(vm->targets, h[1])->entry.is_leaving = true;
    CaroTargets_RecordUnavailable(vm->targets, h[2], vm->now + 2 * S);
    CaroTargets_Avoid(vm->targets, h[3], CARO_TARGET_SILENT, vm->now);
    CaroRequestLimits_RecordResponse(vm->limits, h[4], 0.0, vm->now);
    for (int i = 0; i < 4; i++) { /* More than the limit allows. */
        (void)CaroRequestLimits_Take(vm->limits, h[4], true, vm->now);
    }
    json_t *out = explain(vm, &r);
    assert_string_equal(string_of(out, "target"), "desk-5");
    assert_string_equal(string_of(out, "version_only"), "v2");
    assert_string_equal(state_of(out, "desk-0"), "other version");
    assert_string_equal(state_of(out, "desk-1"), "leaving");
    assert_string_equal(state_of(out, "desk-2"), "unavailable");
    assert_string_equal(state_of(out, "desk-3"), "avoided");
    assert_string_equal(state_of(out, "desk-4"), "full");
    char *text = CaroGatewayExplain_WriteText(out);
    assert_non_null(strstr(text, "avoided, suspected, for"));
    free(text);
    json_decref(out);
    CaroPlacementQuery q = {
        .service = "desk", .domain = "a", .tried = {h[5]}, .n_tried = 1};
    assert_int_equal(CaroPlacement_Judge(vm->targets, h[5], &q, vm->now),
                     CARO_CANDIDATE_TRIED);
    CaroTargets_Remove(vm->targets, h[0]);
    destroy_vm(vm);
}

/* Guards against a target that is chosen as a last resort and explained as if
   it were usable. */
static void
test_avoided_target_is_the_last_resort(void **state)
{
    (void)state;
    Vm *vm = make_vm(9);
    CaroHandle h = put_target(vm, 0, "desk", "v1");
    CaroExplainRequest r = {
        .host = "a.example", .path = "/o/1", .key = "key-1"};
    CaroTargets_Avoid(vm->targets, h, CARO_TARGET_SILENT, vm->now);
    json_t *out = explain(vm, &r);
    assert_int_equal(status_of(out), 0);
    assert_string_equal(string_of(out, "target"), "desk-0");
    assert_string_equal(string_of(out, "target_state"), "avoided");
    json_decref(out);
    destroy_vm(vm);
}

/* Guards against a refusal that is explained where a request falls back to
   another version, since the new one has no usable upstream. */
static void
test_fallback_to_another_version(void **state)
{
    (void)state;
    Vm *vm = make_vm(11);
    char *outcome =
        CaroPlatform_WriteRolloutOutcome(CARO_ROLLOUT_OUTCOME_DONE, "v2");
    const char *request =
        "{\"service\":\"desk\",\"target\":\"v2\",\"duration_s\":20}";
    CaroExplainRequest r = {
        .host = "a.example", .path = "/o/1", .key = "key-1"};
    CaroHandle h = put_target(vm, 0, "desk", "v1");
    CaroServiceRollouts_OnRequest(vm->rollouts, "desk", request,
                                  strlen(request), 1, vm->now);
    CaroServiceRollouts_OnOutcome(vm->rollouts, "desk", outcome,
                                  strlen(outcome), 2);
    free(outcome);
    json_t *out = explain(vm, &r);
    assert_int_equal(status_of(out), 0);
    assert_string_equal(string_of(out, "target"), "desk-0");
    assert_int_equal(decide(vm, &r), h);
    json_decref(out);
    destroy_vm(vm);
}

/* The terms of a candidate add up to its cost. */
static void
check_terms(const json_t *out)
{
    static const char *const predicted[] = {
        "queue_ms", "prefill_ms", "running_ms", "memory_ms",
        "event_ms", "domain_ms",  "failing_ms", "random_ms"};
    static const char *const by_load[] = {"requests", "prefill", "kv_copies",
                                          "domain",   "failing", "random"};
    bool is_predicted = strcmp(string_of(out, "rule"), "prediction") == 0;
    size_t i;
    json_t *c;
    json_array_foreach(json_object_get(out, "candidates"), i, c)
    {
        double sum = 0.0;
        for (int k = 0; k < (is_predicted ? 8 : 6); k++) {
            const json_t *term =
                json_object_get(json_object_get(c, "terms"),
                                is_predicted ? predicted[k] : by_load[k]);
            assert_non_null(term);
            sum += json_number_value(term);
        }
        assert_float_equal(sum, json_number_value(json_object_get(c, "cost")),
                           1e-6);
    }
}

/* Guards against lines that a terminal of 40 columns breaks, and against terms
   that leave out a part of the cost. */
static void
test_text_and_terms(void **state)
{
    (void)state;
    Vm *vm = make_vm(10);
    CaroExplainRequest r = {
        .host = "a.example", .path = "/s/1", .key = "key-1", .tokens = 14400};
    for (int i = 0; i < 60; i++) {
        CaroTargetEntry e = {.slots = 16, .started_at_ms = 1};
        memset(e.id, 'x', CARO_TARGET_ID_SIZE - 1);
        (void)snprintf(e.id, 8, "%07d", i);
        e.id[7] = 'x';
        CARO_COPY(e.address, "10.0.0.1:80");
        CARO_COPY(e.domain, "a-domain-with-a-name-of-31-byte");
        CARO_COPY(e.service, i % 2 == 0 ? "chat" : "chat2");
        CARO_COPY(e.version, "v1");
        CaroHandle h = CaroTargets_Put(vm->targets, &e, S);
        CaroTargets_AddPrefill(vm->targets, h, 1000 * i);
        if (i % 5 == 0) {
            CaroTargets_Avoid(vm->targets, h, CARO_TARGET_SILENT, vm->now);
        }
    }
    for (int k = 0; k < 2; k++) {
        json_t *out = explain(vm, &r);
        assert_string_equal(string_of(out, "rule"),
                            k == 0 ? "load" : "prediction");
        check_terms(out);
        char *text = CaroGatewayExplain_WriteText(out);
        for (const char *line = text; *line != '\0';) {
            size_t size = strcspn(line, "\n");
            assert_true(size <= CARO_EXPLAIN_LINE_MAX);
            line += size + 1;
        }
        assert_non_null(strstr(text, "more"));
        free(text);
        json_decref(out);
        CaroTargets_RecordLoad(vm->targets, 0, 1, 0, 120, vm->now);
        CaroTargets_RecordLoad(vm->targets, 1, 1, 0, 120, vm->now);
    }
    destroy_vm(vm);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_explanation_is_the_next_decision),
        cmocka_unit_test(test_repeated_explanations_are_alike),
        cmocka_unit_test(test_refusals),
        cmocka_unit_test(test_quarantine),
        cmocka_unit_test(test_passed_over),
        cmocka_unit_test(test_avoided_target_is_the_last_resort),
        cmocka_unit_test(test_fallback_to_another_version),
        cmocka_unit_test(test_text_and_terms),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
