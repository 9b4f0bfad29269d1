/* Loans of retries between the VMs. */
#include "internal/caro_retry_lending.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"
#include "internal/caro_retry_loans.h"

#include <stdlib.h>

/* VMs with a tenth of a core answer late while a domain fails. */
#define LOAN_TIMEOUT (400 * CARO_MS)

enum {
    /* A caller in the network cannot ask for more. */
    LOAN_RETRIES_MAX = 64,
    /* Random choices of a VM for each that is asked. */
    CHOICES_MAX = 8
};

struct CaroRetryLending {
    CaroRetryBudget *budget;
    CaroRetryLoans *loans;
    CaroCounters *counters;
    CaroFleet *fleet;
    gsl_rng *rng;
    const char *name;
    int vms; /* By which the allowance is divided. */
};

/* A call to another VM for a loan. */
typedef struct {
    CaroRetryLending *lending;
    char service[CARO_NAME_SIZE];
    char vm[CARO_NAME_SIZE];
    uint32_t round;
    int retries;
    CaroTime sent_at;
} LoanCall;

CaroRetryLending *
CaroRetryLending_Create(CaroRetryBudget *budget, CaroCounters *counters,
                        gsl_rng *rng, const char *name)
{
    CaroRetryLending *l = calloc(1, sizeof(*l));
    CaroRetryLoans *loans = CaroRetryLoans_Create();
    if (l == NULL || loans == NULL) {
        free(l);
        CaroRetryLoans_Destroy(loans);
        return NULL;
    }
    l->budget = budget;
    l->loans = loans;
    l->counters = counters;
    l->rng = rng;
    l->name = name;
    l->vms = CARO_VMS_MAX;
    return l;
}

void
CaroRetryLending_Destroy(CaroRetryLending *l)
{
    if (l != NULL) {
        CaroRetryLoans_Destroy(l->loans);
        free(l);
    }
}

void
CaroRetryLending_SetFleet(CaroRetryLending *l, CaroFleet *fleet)
{
    l->fleet = fleet;
}

int
CaroRetryLending_Tick(CaroRetryLending *l, CaroTime now)
{
    CaroCounters_Add(l->counters, CARO_COUNT_RETRIES_EXPIRED,
                     (uint64_t)CaroRetryBudget_ConsumeExpired(l->budget, now));
    l->vms = CaroRetryBudget_HoldVms(l->budget, CaroFleet_CountKnown(l->fleet),
                                     now);
    return l->vms;
}

static void
on_reply(void *context, int code, const void *result)
{
    LoanCall *call = context;
    CaroRetryLending *l = call->lending;
    CaroTime now = CaroClock_Now();
    CaroRetryLoans_RecordAnswer(l->loans, call->service, call->round);
    if (code == 0) {
        unsigned granted = ((const caro_retry_grant *)result)->retries;
        int borrowed =
            granted < (unsigned)call->retries ? (int)granted : call->retries;
        CaroRetryBudget_Borrow(l->budget, call->service, borrowed,
                               call->sent_at, now);
        CaroCounters_Add(l->counters, CARO_COUNT_RETRIES_BORROWED,
                         (uint64_t)borrowed);
        if (borrowed > 0) {
            CaroLog_Info("relay",
                         "Retries were borrowed. service=%s vm=%s asked=%d "
                         "granted=%d ms=%lld",
                         call->service, call->vm, call->retries, borrowed,
                         (long long)((now - call->sent_at) / CARO_MS));
        }
    }
    free(call);
}

/* Returns a random usable VM other than this one, or CARO_NO_HANDLE. */
static CaroHandle
choose_vm(const CaroRetryLending *l, const CaroMembership *membership)
{
    int count = CaroMembership_Count(membership);
    for (int i = 0; i < CHOICES_MAX && count > 1; i++) {
        CaroHandle vm = 1 + (CaroHandle)gsl_rng_uniform_int(
                                l->rng, (unsigned long)count - 1);
        if (CaroMembership_IsUsable(membership, vm)) {
            return vm;
        }
    }
    return CARO_NO_HANDLE;
}

static void
ask(CaroRetryLending *l, const char *service, const CaroLoanRound *round,
    CaroTime now)
{
    const CaroMembership *membership = CaroFleet_GetMembershipConst(l->fleet);
    CaroHandle vm = choose_vm(l, membership);
    LoanCall *call = vm == CARO_NO_HANDLE ? NULL : calloc(1, sizeof(*call));
    if (call == NULL) {
        CaroRetryLoans_RecordAnswer(l->loans, service, round->id);
        return;
    }
    call->lending = l;
    CARO_COPY(call->service, service);
    CARO_COPY(call->vm, CaroMembership_Get(membership, vm)->name);
    call->round = round->id;
    call->retries = round->retries;
    call->sent_at = now;
    caro_retry_loan args = {.sender = (char *)l->name,
                            .service = CaroRetryBudget_HashService(service),
                            .retries = (u_int)round->retries};
    CaroRpc_Call(CaroFleet_Rpc(l->fleet),
                 CaroMembership_Get(membership, vm)->peer, CARO_RPC_UDP,
                 CARO_RETRY_LOAN, &args, LOAN_TIMEOUT, on_reply, call);
}

void
CaroRetryLending_Request(CaroRetryLending *l, const char *service,
                         CaroTime now)
{
    if (l->fleet == NULL) {
        return;
    }
    CaroLoanRound round = CaroRetryLoans_Request(l->loans, service, now);
    for (int i = 0; i < round.vms; i++) {
        ask(l, service, &round, now);
    }
}

void
CaroRetryLending_OnCall(CaroRetryLending *l, CaroRpcRequest *request,
                        const caro_retry_loan *args, CaroTime now)
{
    int retries = args->retries < LOAN_RETRIES_MAX ? (int)args->retries
                                                   : LOAN_RETRIES_MAX;
    int granted =
        CaroRetryBudget_Lend(l->budget, args->service, retries, l->vms, now);
    CaroCounters_Add(l->counters,
                     granted > 0 ? CARO_COUNT_RETRIES_LENT
                                 : CARO_COUNT_RETRY_LOANS_REFUSED,
                     granted > 0 ? (uint64_t)granted : 1);
    caro_retry_grant reply = {.retries = (u_int)granted};
    CaroRpc_Reply(request, &reply);
}
