/*
 * Loans of retries between two VMs in one process, over the network: the
 * borrower can use what the lender counts, and a VM without an answer uses its
 * own share.
 */
#include "test.h"

#include "internal/caro_clock.h"
#include "internal/caro_retry_lending.h"

#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SERVICE "pool"
#define STEP (10 * CARO_MS)

enum { STEPS_MAX = 300 };

typedef struct {
    char name[CARO_NAME_SIZE];
    CaroVm self;
    CaroCounters counters;
    CaroRetryBudget *budget;
    CaroRetryLending *lending;
    CaroFleet *fleet;
    int calls;
    bool ignores_calls;
} Vm;

typedef struct {
    struct event_base *base;
    gsl_rng *rng;
    Vm vms[2];
} Fixture;

static CaroConfigFreshness
get_config_freshness(void *context)
{
    (void)context;
    return (CaroConfigFreshness){0};
}

static bool
get_config(void *context, const char **bytes, size_t *size, int64_t *revision)
{
    (void)context;
    (void)bytes;
    (void)size;
    (void)revision;
    return false;
}

static void
on_config(void *context, const char *bytes, size_t size, int64_t revision)
{
    (void)context;
    (void)bytes;
    (void)size;
    (void)revision;
}

static void
on_retry_loan(void *context, CaroRpcRequest *request,
              const caro_retry_loan *args)
{
    Vm *v = context;
    v->calls++;
    if (v->ignores_calls) {
        CaroRpc_Ignore(request);
        return;
    }
    CaroRetryLending_OnCall(v->lending, request, args, CaroClock_Now());
}

static const CaroFleetHandlers handlers = {.get_config_freshness =
                                               get_config_freshness,
                                           .get_config = get_config,
                                           .on_config = on_config,
                                           .on_retry_loan = on_retry_loan};

static void
find_free_address(char out[CARO_ADDRESS_SIZE])
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &size), 0);
    (void)close(fd);
    (void)snprintf(out, CARO_ADDRESS_SIZE, "127.0.0.1:%d",
                   ntohs(address.sin_port));
}

static void
run(Fixture *f, int steps)
{
    for (int i = 0; i < steps; i++) {
        struct timeval pause = {.tv_usec = STEP};
        CaroTime now = CaroClock_Now();
        for (int vm = 0; vm < 2; vm++) {
            CaroFleet_Tick(f->vms[vm].fleet, now);
            (void)CaroRetryLending_Tick(f->vms[vm].lending, now);
        }
        (void)event_base_loopexit(f->base, &pause);
        (void)event_base_dispatch(f->base);
    }
}

static uint64_t
count(const Fixture *f, int vm, CaroCounter id)
{
    return f->vms[vm].counters.values[id];
}

static int
setup(void **state)
{
    static Fixture f;
    CaroTime now = CaroClock_Now();
    CaroError err;
    memset(&f, 0, sizeof(f));
    f.base = event_base_new();
    f.rng = gsl_rng_alloc(gsl_rng_taus2);
    for (int i = 0; i < 2; i++) {
        Vm *v = &f.vms[i];
        (void)snprintf(v->name, sizeof(v->name), "vm%d", i);
        CARO_COPY(v->self.name, v->name);
        CARO_COPY(v->self.domain, "d");
        CARO_COPY(v->self.region, "r");
        find_free_address(v->self.peer);
        CARO_COPY(v->self.http, v->self.peer);
        v->self.incarnation = 1;
        v->self.boot_id = (uint64_t)i + 1;
        v->budget = CaroRetryBudget_Create(0.8, 0.0, 10 * CARO_SECOND);
        v->lending =
            CaroRetryLending_Create(v->budget, &v->counters, f.rng, v->name);
        CaroFleetOptions options = {.heartbeat_interval = 100 * CARO_MS,
                                    .counters = &v->counters};
        v->fleet = CaroFleet_Create(f.base, &v->self, &options, f.rng,
                                    &handlers, v, now, &err);
        assert_non_null(v->budget);
        assert_non_null(v->lending);
        assert_non_null(v->fleet);
        CaroRetryLending_SetFleet(v->lending, v->fleet);
    }
    for (int i = 0; i < 2; i++) {
        CaroFleet_AddAddress(f.vms[i].fleet, f.vms[1 - i].self.peer);
    }
    for (int i = 0; i < STEPS_MAX; i++) {
        run(&f, 1);
        if (CaroMembership_CountUsable(
                CaroFleet_GetMembershipConst(f.vms[0].fleet)) == 2) {
            break;
        }
    }
    assert_int_equal(CaroFleet_CountKnown(f.vms[0].fleet), 2);
    /* 0.8 x 0.8 x 20 = 12.8 retries, of which 2.56 are kept. */
    for (int i = 0; i < 20; i++) {
        CaroRetryBudget_RecordRequest(f.vms[1].budget, SERVICE, now);
    }
    *state = &f;
    return 0;
}

static int
teardown(void **state)
{
    Fixture *f = *state;
    for (int i = 0; i < 2; i++) {
        CaroFleet_Destroy(f->vms[i].fleet);
        CaroRetryLending_Destroy(f->vms[i].lending);
        CaroRetryBudget_Destroy(f->vms[i].budget);
    }
    gsl_rng_free(f->rng);
    event_base_free(f->base);
    return 0;
}

static bool
allows(Fixture *f, int vm)
{
    return CaroRetryBudget_AllowsRetry(f->vms[vm].budget, SERVICE, 2,
                                       CaroClock_Now());
}

static void
test_retries_are_borrowed_and_expire(void **state)
{
    Fixture *f = *state;
    assert_false(allows(f, 0));
    CaroRetryLending_Request(f->vms[0].lending, SERVICE, CaroClock_Now());
    CaroRetryLending_Request(f->vms[0].lending, SERVICE, CaroClock_Now());
    run(f, 10);
    assert_int_equal(f->vms[1].calls, 1);
    assert_true(allows(f, 0));
    assert_int_equal(count(f, 1, CARO_COUNT_RETRIES_LENT), 1);
    assert_int_equal(count(f, 0, CARO_COUNT_RETRIES_BORROWED), 1);
    /* Further requests ask for more; the first loan is not used. */
    for (int i = 0; i < 50; i++) {
        CaroRetryLending_Request(f->vms[0].lending, SERVICE, CaroClock_Now());
    }
    run(f, 10);
    assert_true(count(f, 1, CARO_COUNT_RETRIES_LENT) <= 10);
    assert_true(count(f, 0, CARO_COUNT_RETRIES_BORROWED) >= 2);
    run(f, 120);
    assert_false(allows(f, 0));
    assert_int_equal(count(f, 0, CARO_COUNT_RETRIES_EXPIRED),
                     count(f, 0, CARO_COUNT_RETRIES_BORROWED));
}

static void
test_lender_without_budget_refuses(void **state)
{
    Fixture *f = *state;
    CaroTime now = CaroClock_Now();
    while (CaroRetryBudget_AllowsRetry(f->vms[1].budget, SERVICE, 2, now)) {
        CaroRetryBudget_RecordRetry(f->vms[1].budget, SERVICE, now);
    }
    CaroRetryLending_Request(f->vms[0].lending, SERVICE, now);
    run(f, 10);
    assert_false(allows(f, 0));
    assert_int_equal(count(f, 1, CARO_COUNT_RETRY_LOANS_REFUSED), 1);
    assert_int_equal(count(f, 0, CARO_COUNT_RETRIES_BORROWED), 0);
}

/* As a VM of an older version does.  The open call ends with the fleet. */
static void
test_vm_without_answer_uses_its_own_share(void **state)
{
    Fixture *f = *state;
    f->vms[1].ignores_calls = true;
    CaroRetryLending_Request(f->vms[0].lending, SERVICE, CaroClock_Now());
    run(f, 60);
    assert_int_equal(f->vms[1].calls, 1);
    assert_false(allows(f, 0));
    for (int i = 0; i < 2; i++) {
        CaroRetryBudget_RecordRequest(f->vms[0].budget, SERVICE,
                                      CaroClock_Now());
    }
    assert_true(allows(f, 0));
    CaroRetryLending_Request(f->vms[0].lending, SERVICE, CaroClock_Now());
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_retries_are_borrowed_and_expire,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(test_lender_without_budget_refuses,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(
            test_vm_without_answer_uses_its_own_share, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
