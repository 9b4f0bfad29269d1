/*
 * Tests of rollouts and quarantines after the store was restored from an older
 * copy, which lacks what the VMs wrote since.
 */
#include "test.h"

#include "internal/caro_prompt_guard.h"
#include "internal/caro_service_rollouts.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUEST "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":10}"
#define STEP (20 * CARO_MS)
/* The operator's request and the VMs' outcome before the restoration. */
enum { REQUEST_REVISION = 20, OUTCOME_REVISION = 30 };

/* The last write, in place of the client of the store. */
static struct {
    int n;
    char body[1024];
    char value[256];
    CaroStoreClientDone done;
    void *context;
} written;

void
CaroStoreClient_Call(CaroStoreClient *s, CaroStoreCall *call, CaroTime timeout,
                     CaroStoreClientDone done, void *context)
{
    (void)s;
    (void)timeout;
    json_t *root = json_loads(call->body, 0, NULL);
    const char *value = json_string_value(json_object_get(
        json_array_get(json_object_get(root, "puts"), 0), "value"));
    (void)snprintf(written.body, sizeof(written.body), "%s", call->body);
    memset(written.value, 0, sizeof(written.value));
    if (value != NULL) {
        assert_true(EVP_DecodeBlock((unsigned char *)written.value,
                                    (const unsigned char *)value,
                                    (int)strlen(value)) > 0);
    }
    written.n++;
    written.done = done;
    written.context = context;
    json_decref(root);
    CaroStoreCall_Clear(call);
}

static void
on_request(CaroServiceRollouts *r, CaroRevision revision, CaroTime now)
{
    CaroServiceRollouts_OnRequest(r, "s", REQUEST, strlen(REQUEST), revision,
                                  now);
}

static void
on_outcome(CaroServiceRollouts *r, CaroRolloutOutcome outcome,
           CaroRevision revision)
{
    char *text = CaroPlatform_WriteRolloutOutcome(outcome, "v2");
    CaroServiceRollouts_OnOutcome(r, "s", text, strlen(text), revision);
    free(text);
}

/* A VM that knows of a rollout which was rolled back. */
static CaroServiceRollouts *
create_rolled_back(void)
{
    CaroServiceRollouts *r = CaroServiceRollouts_Create(NULL, 0.1, 50.0);
    memset(&written, 0, sizeof(written));
    on_request(r, REQUEST_REVISION, CARO_SECOND);
    on_outcome(r, CARO_ROLLOUT_OUTCOME_ROLLED_BACK, OUTCOME_REVISION);
    CaroServiceRollouts_Tick(r, 2 * CARO_SECOND);
    assert_int_equal(written.n, 0);
    return r;
}

static bool
uses_new_version(CaroServiceRollouts *r, CaroTime now)
{
    const char *version;
    return CaroServiceRollouts_ChooseVersion(r, "s", 0.0, &version, now) !=
           CARO_VERSION_NOT;
}

/* Guards against a bad version that gets requests again because the store has
   lost that it was rolled back. */
static void
test_lost_outcome_is_kept_and_written_again(void **state)
{
    (void)state;
    CaroServiceRollouts *r = create_rolled_back();
    CaroTime now = 3 * CARO_SECOND;
    CaroServiceRollouts_OnStoreRestored(r, now);
    CaroServiceRollouts_Tick(r, now);
    assert_int_equal(written.n, 0); /* The list may have it. */
    on_request(r, CaroRevision_Make(1, REQUEST_REVISION), now);
    CaroServiceRollouts_OnListed(r, CaroRevision_Make(1, 25));
    assert_false(uses_new_version(r, now));
    CaroServiceRollouts_Tick(r, now + STEP);
    assert_int_equal(written.n, 1);
    assert_non_null(strstr(written.body, "\"revision\":0"));
    char version[CARO_NAME_SIZE];
    CaroRolloutOutcome outcome;
    assert_int_equal(CaroPlatform_ReadRolloutOutcome(written.value,
                                                     strlen(written.value),
                                                     version, &outcome),
                     0);
    assert_int_equal(outcome, CARO_ROLLOUT_OUTCOME_ROLLED_BACK);
    CaroStoreResponse response = {.revision = CaroRevision_Make(1, 26)};
    written.done(written.context, 0, 200, &response, 0);
    /* The next write is delayed by real time. */
    for (int i = 0; i < 10; i++) {
        CaroServiceRollouts_Tick(r, now + i * CARO_SECOND);
    }
    assert_int_equal(written.n, 1);
    assert_false(uses_new_version(r, now));
    CaroServiceRollouts_Destroy(r);
}

/* Guards against an outcome of the copy in the place of a later one, and
   against a write under the condition of a revision of before. */
static void
test_older_outcome_of_the_copy_is_replaced(void **state)
{
    (void)state;
    CaroServiceRollouts *r = create_rolled_back();
    CaroTime now = 3 * CARO_SECOND;
    CaroServiceRollouts_OnStoreRestored(r, now);
    on_request(r, CaroRevision_Make(1, REQUEST_REVISION), now);
    on_outcome(r, CARO_ROLLOUT_OUTCOME_RUNNING, CaroRevision_Make(1, 22));
    CaroServiceRollouts_OnListed(r, CaroRevision_Make(1, 25));
    assert_false(uses_new_version(r, now));
    CaroServiceRollouts_Tick(r, now + STEP);
    assert_int_equal(written.n, 1);
    assert_non_null(strstr(written.body, "\"revision\":22"));
    CaroServiceRollouts_Destroy(r);
}

/* Guards against a request that counts as new because the operator has
   written it again, and against an outcome in front of it, which VMs that
   start would take for one of an earlier request. */
static void
test_request_that_is_written_again_is_the_same(void **state)
{
    (void)state;
    CaroServiceRollouts *r = create_rolled_back();
    CaroTime now = 3 * CARO_SECOND;
    CaroServiceRollouts_OnStoreRestored(r, now);
    on_outcome(r, CARO_ROLLOUT_OUTCOME_ROLLED_BACK, CaroRevision_Make(1, 22));
    CaroServiceRollouts_OnListed(r, CaroRevision_Make(1, 22));
    CaroServiceRollouts_Tick(r, now);
    assert_int_equal(written.n, 0);
    on_request(r, CaroRevision_Make(1, 24), now);
    assert_false(uses_new_version(r, now));
    CaroServiceRollouts_Tick(r, now + STEP);
    assert_int_equal(written.n, 1);
    assert_non_null(strstr(written.body, "\"revision\":22"));
    /* In one timeline the operator asks again. */
    CaroServiceRollouts_OnRequest(r, "s", REQUEST, strlen(REQUEST),
                                  CaroRevision_Make(1, 40), now);
    assert_true(uses_new_version(r, now + STEP));
    CaroServiceRollouts_Destroy(r);
}

/* Guards against a quarantine that VMs which start later do not know. */
static void
test_quarantine_is_written_again(void **state)
{
    (void)state;
    enum { WALL_MS = 1000000 };
    CaroCounters counters = {0};
    CaroPromptParts parts = {.n = 1, .ids = {7}};
    CaroTargets *targets = CaroTargets_Create();
    CaroPromptGuard *g = CaroPromptGuard_Create(
        targets, (CaroStoreClient *)&written, &counters);
    char *stored = CaroPlatform_WriteQuarantine(&(CaroStoredQuarantine){
        .parts = parts,
        .until_ms = WALL_MS + CARO_QUARANTINE_TTL / CARO_MS,
        .has_probes = true});
    memset(&written, 0, sizeof(written));
    CaroPromptGuard_OnStored(g, stored, strlen(stored), WALL_MS, CARO_SECOND);
    CaroPromptGuard_Tick(g, 0, 2 * CARO_SECOND);
    assert_int_equal(written.n, 0);
    CaroPromptGuard_OnStoreRestored(g);
    CaroPromptGuard_Tick(g, 0, 3 * CARO_SECOND);
    assert_int_equal(written.n, 1);
    assert_non_null(strstr(written.body, "ttl_ms"));
    free(stored);
    CaroPromptGuard_Destroy(g);
    CaroTargets_Destroy(targets);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lost_outcome_is_kept_and_written_again),
        cmocka_unit_test(test_older_outcome_of_the_copy_is_replaced),
        cmocka_unit_test(test_request_that_is_written_again_is_the_same),
        cmocka_unit_test(test_quarantine_is_written_again),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
