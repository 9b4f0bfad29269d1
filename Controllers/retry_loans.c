/* When to ask other VMs for retries, and for how many. */
#include "internal/caro_retry_loans.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    SERVICES_MAX = 64,
    ROUND_VMS_MAX = 4,
    ROUND_RETRIES_MAX = 32, /* For each VM that is asked. */
    /* Calls of a VM per second and service; all VMs of a deployment without
       budget ask at the same time. */
    CALLS_MAX = 32
};
/* Later rounds ask for more than the streams that wait, since VMs refuse and
   datagrams are lost. */
#define LATER_ROUND_FACTOR 2
/* A round ends with the last answer or after this. */
#define ROUND_TIMEOUT (100 * CARO_MS)
/* The first round after this begins with one VM again. */
#define CALM_TIME (1 * CARO_SECOND)

typedef struct {
    char service[CARO_NAME_SIZE];
    int waiting;        /* Requests since the last round. */
    int rounds;         /* Since the last calm time. */
    int open;           /* Calls of the last round without an answer. */
    uint32_t id;        /* Of the last round; 0 for none. */
    CaroTime began_at;  /* The last round. */
    CaroTime second_at; /* Start of the second in which "calls" are counted. */
    int calls;
} ServiceLoans;

struct CaroRetryLoans {
    ServiceLoans services[SERVICES_MAX];
    int n;
};

CaroRetryLoans *
CaroRetryLoans_Create(void)
{
    return calloc(1, sizeof(CaroRetryLoans));
}

void
CaroRetryLoans_Destroy(CaroRetryLoans *l)
{
    free(l);
}

/* Returns the state of the service, or NULL. */
static ServiceLoans *
find_service(CaroRetryLoans *l, const char *service)
{
    for (int i = 0; i < l->n; i++) {
        if (strcmp(l->services[i].service, service) == 0) {
            return &l->services[i];
        }
    }
    return NULL;
}

static int
min_int(int a, int b)
{
    return a < b ? a : b;
}

/* Sizes the next round for the requests that wait. */
static void
begin_round(ServiceLoans *s, CaroLoanRound *out, CaroTime now)
{
    bool is_first = s->rounds == 0;
    int vms =
        is_first ? 1 : min_int(1 << min_int(s->rounds, 8), ROUND_VMS_MAX);
    out->vms = min_int(vms, CALLS_MAX - s->calls);
    int retries = is_first ? 1 : LATER_ROUND_FACTOR * s->waiting;
    out->retries =
        min_int((retries + out->vms - 1) / out->vms, ROUND_RETRIES_MAX);
    out->id = ++s->id;
    s->rounds++;
    s->began_at = now;
    s->open = out->vms;
    s->calls += out->vms;
    s->waiting = 0;
}

CaroLoanRound
CaroRetryLoans_Request(CaroRetryLoans *l, const char *service, CaroTime now)
{
    CaroLoanRound out = {0};
    ServiceLoans *s = find_service(l, service);
    if (s == NULL && l->n == SERVICES_MAX) {
        return out;
    }
    if (s == NULL) {
        s = &l->services[l->n++];
        CARO_COPY(s->service, service);
    }
    if (now - s->began_at >= CALM_TIME) {
        s->rounds = 0;
        s->waiting = 0;
    }
    if (now - s->second_at >= CARO_SECOND) {
        s->second_at = now;
        s->calls = 0;
    }
    s->waiting++;
    bool is_open =
        s->rounds > 0 && s->open > 0 && now - s->began_at < ROUND_TIMEOUT;
    if (!is_open && s->calls < CALLS_MAX) {
        begin_round(s, &out, now);
    }
    return out;
}

void
CaroRetryLoans_RecordAnswer(CaroRetryLoans *l, const char *service,
                            uint32_t id)
{
    ServiceLoans *s = find_service(l, service);
    if (s != NULL && s->id == id && s->open > 0) {
        s->open--;
    }
}
