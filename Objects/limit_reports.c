/* What other VMs send to limited upstreams. */
#include "internal/caro_limit_reports.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Three reports of the largest deployment may be lost. */
#define LIMIT_REPORT_TTL (5 * CARO_SECOND)

/* Services with limited targets, summed over all senders. */
enum { SERVICES_MAX = 64 };
/* More than any VM sends; with the bounds, sums over all VMs are in range. */
enum { SENT_MAX = 1 << 14, RATE_MAX = 1 << 30 };

typedef struct {
    CaroHandle target;
    uint32_t id_hash;
    int sent;
} PeerUse;

typedef struct {
    uint32_t service_hash;
    int64_t per_1000_s;
} Demand;

/* The last report of a peer. */
typedef struct Sender {
    char name[CARO_NAME_SIZE];
    uint64_t boot_id;
    uint32_t sequence;
    CaroTime received_at;
    PeerUse uses[CARO_LIMITS_MAX];
    int n_uses;
    Demand demands[CARO_DEMANDS_MAX];
    int n_demands;
    UT_hash_handle hh;
} Sender;

struct CaroLimitReports {
    const CaroTargets *targets;
    Sender *senders;
    CaroTime last_received_at;
    /* Sums over all senders, by target.  The hash tells whether a sum belongs
       to the target that has the handle now. */
    PeerUse sums[CARO_TARGETS_MAX];
    Demand demands[SERVICES_MAX];
    int n_demands;
};

CaroLimitReports *
CaroLimitReports_Create(const CaroTargets *targets)
{
    CaroLimitReports *r = calloc(1, sizeof(*r));
    if (r != NULL) {
        r->targets = targets;
    }
    return r;
}

static void
add_use(CaroLimitReports *r, const PeerUse *use, int sign)
{
    PeerUse *sum = &r->sums[use->target];
    if (sum->id_hash != use->id_hash) {
        if (sign < 0) {
            return;
        }
        *sum = (PeerUse){.id_hash = use->id_hash};
    }
    sum->sent += sign * use->sent;
    sum->sent = sum->sent > 0 ? sum->sent : 0;
}

static void
add_demand(CaroLimitReports *r, const Demand *demand, int sign)
{
    int i = 0;
    while (i < r->n_demands &&
           r->demands[i].service_hash != demand->service_hash) {
        i++;
    }
    if (i == r->n_demands) {
        if (i == SERVICES_MAX) {
            return;
        }
        r->demands[r->n_demands++] =
            (Demand){.service_hash = demand->service_hash};
    }
    r->demands[i].per_1000_s += sign * demand->per_1000_s;
}

static void
add_sender(CaroLimitReports *r, const Sender *s, int sign)
{
    for (int i = 0; i < s->n_uses; i++) {
        add_use(r, &s->uses[i], sign);
    }
    for (int i = 0; i < s->n_demands; i++) {
        add_demand(r, &s->demands[i], sign);
    }
}

static void
remove_sender(CaroLimitReports *r, Sender *s)
{
    add_sender(r, s, -1);
    HASH_DEL(r->senders, s);
    free(s);
}

void
CaroLimitReports_Destroy(CaroLimitReports *r)
{
    Sender *s;
    Sender *next;
    if (r == NULL) {
        return;
    }
    HASH_ITER(hh, r->senders, s, next)
    {
        remove_sender(r, s);
    }
    free(r);
}

static Sender *
get_or_create_sender(CaroLimitReports *r, const char *name)
{
    Sender *s;
    HASH_FIND(hh, r->senders, name, strlen(name), s);
    if (s == NULL && (s = calloc(1, sizeof(*s))) != NULL) {
        CARO_COPY(s->name, name);
        HASH_ADD_KEYPTR(hh, r->senders, s->name, strlen(s->name), s);
    }
    return s;
}

static void
read_report(const CaroLimitReports *r, const caro_limit_report *report,
            Sender *s)
{
    s->n_uses = 0;
    for (u_int i = 0; i < report->limits.limits_len; i++) {
        const caro_target_limit *limit = &report->limits.limits_val[i];
        CaroHandle h = CaroTargets_FindByHash(r->targets, limit->target);
        if (h != CARO_NO_HANDLE && limit->sent > 0) {
            s->uses[s->n_uses++] =
                (PeerUse){.target = h,
                          .id_hash = limit->target,
                          .sent = (int)(limit->sent < SENT_MAX ? limit->sent
                                                               : SENT_MAX)};
        }
    }
    s->n_demands = 0;
    for (u_int i = 0; i < report->demands.demands_len; i++) {
        const caro_service_demand *demand = &report->demands.demands_val[i];
        s->demands[s->n_demands++] =
            (Demand){.service_hash = demand->service,
                     .per_1000_s = demand->requests_per_1000_s < RATE_MAX
                                       ? demand->requests_per_1000_s
                                       : RATE_MAX};
    }
}

bool
CaroLimitReports_Apply(CaroLimitReports *r, const caro_limit_report *report,
                       CaroTime now)
{
    Sender *s = get_or_create_sender(r, report->sender);
    if (s == NULL ||
        (s->boot_id == report->boot_id && report->sequence <= s->sequence)) {
        return false;
    }
    add_sender(r, s, -1);
    s->boot_id = report->boot_id;
    s->sequence = report->sequence;
    s->received_at = now;
    r->last_received_at = now;
    read_report(r, report, s);
    add_sender(r, s, 1);
    return true;
}

void
CaroLimitReports_Expire(CaroLimitReports *r)
{
    Sender *s;
    Sender *next;
    HASH_ITER(hh, r->senders, s, next)
    {
        if (r->last_received_at - s->received_at >= LIMIT_REPORT_TTL) {
            remove_sender(r, s);
        }
    }
}

int
CaroLimitReports_Sent(const CaroLimitReports *r, CaroHandle target)
{
    const PeerUse *sum = &r->sums[target];
    return sum->id_hash == CaroTargets_GetConst(r->targets, target)->id_hash
               ? sum->sent
               : 0;
}

double
CaroLimitReports_Demand(const CaroLimitReports *r, uint32_t service_hash)
{
    for (int i = 0; i < r->n_demands; i++) {
        if (r->demands[i].service_hash == service_hash) {
            return (double)r->demands[i].per_1000_s / 1000.0;
        }
    }
    return 0.0;
}

int
CaroLimitReports_CountVms(const CaroLimitReports *r)
{
    return (int)HASH_COUNT(r->senders);
}
