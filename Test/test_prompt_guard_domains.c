/* Tests of the quarantine of parts of prompts beside losses of whole failure
   domains: a part that all prompts share must not be taken for their cause. */
#include "test.h"

#include "internal/caro_prompt_guard.h"

#include <stdio.h>
#include <string.h>

#define S CARO_SECOND

enum { DOMAINS = 3, ENGINES = 2, SHARED_PART = 1, OWN_PART = 100 };

typedef struct {
    CaroTargets *targets;
    CaroPromptGuard *guard;
    CaroCounters counters;
    CaroHandle engines[DOMAINS][ENGINES];
    CaroTime now;
    int n_requests;
} Fixture;

static Fixture *
set_up(void)
{
    Fixture *f = calloc(1, sizeof(*f));
    f->now = 1000 * S;
    f->targets = CaroTargets_Create();
    f->guard = CaroPromptGuard_Create(f->targets, NULL, &f->counters);
    for (int d = 0; d < DOMAINS; d++) {
        for (int i = 0; i < ENGINES; i++) {
            CaroTargetEntry e = {.slots = 16, .started_at_ms = 1};
            (void)snprintf(e.id, sizeof(e.id), "e%d-%d", d, i);
            (void)snprintf(e.address, sizeof(e.address), "10.0.%d.%d:1", d, i);
            (void)snprintf(e.domain, sizeof(e.domain), "d%d", d);
            CARO_COPY(e.service, "chat");
            f->engines[d][i] = CaroTargets_Put(f->targets, &e, f->now);
        }
    }
    return f;
}

static void
tear_down(Fixture *f)
{
    CaroPromptGuard_Destroy(f->guard);
    CaroTargets_Destroy(f->targets);
    free(f);
}

static CaroPromptParts
prompt(int own_part)
{
    CaroPromptParts parts = {.n = 0};
    CaroPromptParts_Add(&parts, SHARED_PART);
    CaroPromptParts_Add(&parts, (uint64_t)own_part);
    return parts;
}

/* An engine is lost between the head and the first event of a response to the
   request with the number. */
static void
lose_by(Fixture *f, int domain, int engine, int number)
{
    char id[16];
    CaroHandle h = f->engines[domain][engine];
    CaroPromptParts parts = prompt(OWN_PART + number);
    (void)snprintf(id, sizeof(id), "r%d", number);
    CaroPromptAttempt attempt = {
        .target = h, .request_id = id, .parts = &parts, .started_at = f->now};
    CaroPromptLosses_RecordClose(CaroPromptGuard_Losses(f->guard), &attempt,
                                 f->now);
    CaroTargets_Avoid(f->targets, h, CARO_TARGET_FAILING, f->now);
}

static void
lose(Fixture *f, int domain, int engine)
{
    lose_by(f, domain, engine, f->n_requests++);
}

static void
run_for(Fixture *f, CaroTime time)
{
    for (CaroTime end = f->now + time; f->now < end;) {
        f->now += 20 * CARO_MS;
        CaroPromptGuard_Tick(f->guard, 0, f->now);
    }
}

/* Guards against a quarantine of the part that all prompts share after the
   domains were lost one after the other (review/2). */
static void
test_lost_domains_put_nothing_into_quarantine(void **state)
{
    (void)state;
    Fixture *f = set_up();
    for (int d = 0; d < DOMAINS; d++) {
        lose(f, d, 0);
        run_for(f, 40 * CARO_MS);
        lose(f, d, 1);
        run_for(f, 360 * CARO_MS);
    }
    run_for(f, 2 * S);
    CaroPromptParts parts = prompt(OWN_PART - 1);
    assert_false(CaroPromptGuard_Refuses(f->guard, &parts, f->now));
    tear_down(f);
}

/* Guards against a deadly part that is no longer found: it takes one engine of
   each domain. */
static void
test_single_engines_still_count(void **state)
{
    (void)state;
    Fixture *f = set_up();
    for (int d = 0; d < DOMAINS; d++) {
        lose(f, d, 0);
        run_for(f, 400 * CARO_MS);
    }
    run_for(f, 2 * S);
    CaroPromptParts parts = prompt(OWN_PART - 1);
    assert_true(CaroPromptGuard_Refuses(f->guard, &parts, f->now));
    tear_down(f);
}

/* Guards against a deadly request that is sent again at once and takes all
   engines of its domain, one after the other, for a loss of the domain. */
static void
test_one_request_that_takes_a_domain_counts(void **state)
{
    (void)state;
    Fixture *f = set_up();
    for (int d = 0; d < DOMAINS; d++) {
        for (int i = 0; i < ENGINES; i++) {
            lose_by(f, d, i, 7);
            run_for(f, 20 * CARO_MS);
        }
    }
    run_for(f, 2 * S);
    CaroPromptParts parts = prompt(OWN_PART + 7);
    assert_true(CaroPromptGuard_Refuses(f->guard, &parts, f->now));
    tear_down(f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_lost_domains_put_nothing_into_quarantine),
        cmocka_unit_test(test_single_engines_still_count),
        cmocka_unit_test(test_one_request_that_takes_a_domain_counts),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
