/* Limits of the requests a second that upstreams take. */
#include "internal/caro_request_limits.h"

#include "internal/caro_log.h"
#include "internal/caro_request_allowance.h"
#include "internal/caro_window_count.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* The platform counts the requests of each 4 s. */
#define LIMIT_WINDOW (4 * CARO_SECOND)
/* Long enough for a few requests of each VM, short enough to follow callers
   that move to another VM. */
#define DEMAND_WINDOW (2 * CARO_SECOND)
/* All VMs report to all others: at the interval per VM each receives 200
   reports a second at the most. */
#define REPORT_INTERVAL_MIN (400 * CARO_MS)
#define REPORT_INTERVAL_PER_VM (5 * CARO_MS)
/* What was sent is reported after this delay while all VMs together send so
   few requests a second to limited targets. */
#define SENT_REPORT_DELAY (50 * CARO_MS)
#define SENT_REPORT_RATE_MAX 200
/* For so long a VM repeats what a response to it said of a limit. */
#define NEWS_TTL (5 * CARO_SECOND)
/* A limit below this gets as many; without any request no response could end
   it.  The platform allows 5 requests in 4 s at a limit of 0. */
#define RATE_MIN 0.5
/* Of the requests of LIMIT_WINDOW.  The platform allows 1.5 times the limit
   and 5 requests; what others have just sent is not reported yet. */
#define SENT_MAX_RATIO 1.2
#define SENT_SLACK 3.0
#define RETRY_DELAY_MIN (300 * CARO_MS)
#define RETRY_DELAY_MAX (10 * CARO_SECOND)

enum { SERVICES_MAX = 64 };

typedef struct {
    /* The start of the target to which this belongs. */
    uint32_t id_hash;
    CaroTime registered_at;
    bool is_limited;
    double limit;             /* Requests a second of all VMs. */
    CaroTime said_at;         /* The response that said so, of any VM. */
    CaroTime own_response_at; /* The last one of this VM; 0 for none. */
    CaroWindowCount sent;
} TargetLimit;

/* Requests for a service, and this VM's allowance for its limited targets. */
typedef struct {
    char name[CARO_NAME_SIZE];
    uint32_t hash;
    CaroTime used_at;
    CaroWindowCount requests;
    CaroRequestAllowance allowance;
    CaroTime free_at; /* See CaroRequestLimits_Refuse. */
} ServiceDemand;

struct CaroRequestLimits {
    CaroTargets *targets;
    gsl_rng *rng;
    CaroLimitReports *peers;
    int vms;
    bool has_limits; /* False only if no target is limited. */
    TargetLimit all[CARO_TARGETS_MAX];
    ServiceDemand services[SERVICES_MAX];
    int n_services;
    CaroTime last_report;
    bool has_reported;         /* Others have a report of this VM. */
    int reported_sent;         /* Sum of the last report over all targets. */
    CaroHandle next_collected; /* First target of the next report. */
};

CaroRequestLimits *
CaroRequestLimits_Create(CaroTargets *targets, gsl_rng *rng)
{
    CaroRequestLimits *l = calloc(1, sizeof(*l));
    if (l == NULL) {
        return NULL;
    }
    l->targets = targets;
    l->rng = rng;
    l->vms = 1;
    l->peers = CaroLimitReports_Create(targets);
    if (l->peers == NULL) {
        free(l);
        return NULL;
    }
    return l;
}

void
CaroRequestLimits_Destroy(CaroRequestLimits *l)
{
    if (l != NULL) {
        CaroLimitReports_Destroy(l->peers);
        free(l);
    }
}

void
CaroRequestLimits_SetVms(CaroRequestLimits *l, int vms)
{
    l->vms = vms;
}

/* Returns the state of the target, cleared if the slot held another. */
static TargetLimit *
get_limit(CaroRequestLimits *l, CaroHandle h)
{
    const CaroTarget *target = CaroTargets_GetConst(l->targets, h);
    TargetLimit *t = &l->all[h];
    if (t->id_hash != target->id_hash ||
        t->registered_at != target->registered_at) {
        memset(t, 0, sizeof(*t));
        t->id_hash = target->id_hash;
        t->registered_at = target->registered_at;
    }
    return t;
}

/* Returns the state of the target if it is one of the service that is limited
   and may get requests, else NULL. */
static const TargetLimit *
get_limited(const CaroRequestLimits *l, CaroHandle h, const char *service)
{
    const CaroTarget *target = CaroTargets_GetConst(l->targets, h);
    return CaroRequestLimits_Get(l, h) >= 0.0 && target->is_used &&
                   target->is_present && !target->entry.is_leaving &&
                   strcmp(target->entry.service, service) == 0
               ? &l->all[h]
               : NULL;
}

/* Returns the service's entry; a new one replaces the one that was not used
   for the longest time. */
static ServiceDemand *
get_service(CaroRequestLimits *l, const char *name, CaroTime now)
{
    ServiceDemand *s = &l->services[0];
    for (int i = 0; i < l->n_services; i++) {
        if (strcmp(l->services[i].name, name) == 0) {
            l->services[i].used_at = now;
            return &l->services[i];
        }
        if (l->services[i].used_at < s->used_at) {
            s = &l->services[i];
        }
    }
    if (l->n_services < SERVICES_MAX) {
        s = &l->services[l->n_services++];
    }
    memset(s, 0, sizeof(*s));
    CARO_COPY(s->name, name);
    s->hash = XXH32(name, strlen(name), 0);
    s->used_at = now;
    CaroRequestAllowance_Start(&s->allowance, gsl_rng_uniform(l->rng), now);
    return s;
}

/* Requests a second that all callers make for the service.  VMs that have not
   reported are taken to have as many as the others on average. */
static double
total_demand(const CaroRequestLimits *l, const ServiceDemand *s, CaroTime now)
{
    double known = CaroWindowCount_Rate(&s->requests, DEMAND_WINDOW, now) +
                   CaroLimitReports_Demand(l->peers, s->hash);
    int reporting = CaroLimitReports_CountVms(l->peers) + 1;
    int vms = l->vms > reporting ? l->vms : reporting;
    return known * vms / reporting;
}

/* Requests a second that the limited targets of the service take from all
   VMs: those that are usable, or all if none is. */
static double
total_limit(const CaroRequestLimits *l, const ServiceDemand *s, CaroTime now)
{
    double usable = 0.0;
    double all = 0.0;
    for (CaroHandle h = 0; h < CaroTargets_Count(l->targets); h++) {
        const TargetLimit *t = get_limited(l, h, s->name);
        if (t != NULL) {
            const CaroTarget *target = CaroTargets_GetConst(l->targets, h);
            double rate = t->limit > RATE_MIN ? t->limit : RATE_MIN;
            all += rate;
            usable += CaroTarget_IsUsable(target, now) ? rate : 0.0;
        }
    }
    return usable > 0.0 ? usable : all;
}

static void
record_demand(const CaroRequestLimits *l, ServiceDemand *s, CaroTime now)
{
    CaroWindowCount_Add(&s->requests, DEMAND_WINDOW, now);
    if (l->has_limits) {
        double part = total_limit(l, s, now) / total_demand(l, s, now);
        CaroRequestAllowance_Add(&s->allowance, part, now);
    }
}

void
CaroRequestLimits_RecordDemand(CaroRequestLimits *l, const char *service,
                               CaroTime now)
{
    record_demand(l, get_service(l, service, now), now);
}

static void
set_limit(CaroRequestLimits *l, CaroHandle h, double limit, const char *source,
          CaroTime at, CaroTime now)
{
    TargetLimit *t = get_limit(l, h);
    const char *id = CaroTargets_GetConst(l->targets, h)->entry.id;
    if (at <= t->said_at || at < t->registered_at) {
        return;
    }
    t->said_at = at;
    if (limit < 0.0) {
        if (t->is_limited) {
            CaroLog_Info("limits",
                         "An upstream no longer limits its requests. id=%s "
                         "source=%s age_ms=%lld",
                         id, source, (long long)((now - at) / CARO_MS));
        }
        t->is_limited = false;
        return;
    }
    if (!t->is_limited || limit != t->limit) {
        CaroLog_Info("limits",
                     "An upstream limits its requests. id=%s per_s=%.3f "
                     "source=%s age_ms=%lld",
                     id, limit, source, (long long)((now - at) / CARO_MS));
    }
    t->is_limited = true;
    t->limit = limit;
    l->has_limits = true;
}

void
CaroRequestLimits_RecordResponse(CaroRequestLimits *l, CaroHandle target,
                                 double limit, CaroTime now)
{
    TargetLimit *t = get_limit(l, target);
    bool was_limited = t->is_limited;
    set_limit(l, target, limit, "response", now, now);
    if (t->is_limited || was_limited) {
        t->own_response_at = now;
    }
}

/* Tells whether the requests of all VMs in the last seconds leave no room for
   another. */
static bool
is_over_limit(const CaroRequestLimits *l, CaroHandle h, const TargetLimit *t,
              CaroTime now)
{
    double window = (double)LIMIT_WINDOW / (double)CARO_SECOND;
    int sent = CaroWindowCount_Sum(&t->sent, LIMIT_WINDOW, now) +
               CaroLimitReports_Sent(l->peers, h);
    return sent + 1 > SENT_MAX_RATIO * window * t->limit + SENT_SLACK;
}

void
CaroRequestLimits_MarkFull(CaroRequestLimits *l, const char *service,
                           CaroTime now)
{
    for (CaroHandle h = 0; l->has_limits && h < CaroTargets_Count(l->targets);
         h++) {
        const TargetLimit *t = get_limited(l, h, service);
        if (t != NULL) {
            CaroTargets_Get(l->targets, h)->full_at =
                is_over_limit(l, h, t, now) ? now : 0;
        }
    }
}

/* No limited target of the service admits the present request. */
static void
set_all_full(CaroRequestLimits *l, const char *service, CaroTime now)
{
    for (CaroHandle h = 0; h < CaroTargets_Count(l->targets); h++) {
        if (get_limited(l, h, service) != NULL) {
            CaroTargets_Get(l->targets, h)->full_at = now;
        }
    }
}

bool
CaroRequestLimits_Take(CaroRequestLimits *l, CaroHandle target, bool is_retry,
                       CaroTime now)
{
    TargetLimit *t = get_limit(l, target);
    CaroTarget *entry = CaroTargets_Get(l->targets, target);
    if (t->is_limited) {
        ServiceDemand *s = get_service(l, entry->entry.service, now);
        if (is_over_limit(l, target, t, now)) {
            entry->full_at = now;
            return false;
        }
        if (is_retry) {
            CaroRequestAllowance_Overdraw(&s->allowance);
        }
        else if (!CaroRequestAllowance_Take(&s->allowance, now)) {
            set_all_full(l, s->name, now);
            return false;
        }
    }
    CaroWindowCount_Add(&t->sent, LIMIT_WINDOW, now);
    return true;
}

bool
CaroRequestLimits_IsOver(const CaroRequestLimits *l, CaroHandle target,
                         CaroTime now)
{
    return CaroRequestLimits_Get(l, target) >= 0.0 &&
           is_over_limit(l, target, &l->all[target], now);
}

bool
CaroRequestLimits_HasAllowance(const CaroRequestLimits *l, const char *service,
                               gsl_rng *rng, CaroTime now)
{
    ServiceDemand s = {.hash = XXH32(service, strlen(service), 0)};
    bool is_known = false;
    CARO_COPY(s.name, service);
    for (int i = 0; i < l->n_services && !is_known; i++) {
        if (strcmp(l->services[i].name, service) == 0) {
            s = l->services[i];
            is_known = true;
        }
    }
    if (!is_known) {
        CaroRequestAllowance_Start(&s.allowance, gsl_rng_uniform(rng), now);
    }
    record_demand(l, &s, now);
    return CaroRequestAllowance_Take(&s.allowance, now);
}

CaroTime
CaroRequestLimits_Refuse(CaroRequestLimits *l, const char *service,
                         const char *id, CaroTime now)
{
    ServiceDemand *s = get_service(l, service, now);
    double limit = total_limit(l, s, now);
    double demand = total_demand(l, s, now);
    double own = CaroWindowCount_Rate(&s->requests, DEMAND_WINDOW, now);
    double rate = demand > 0.0 ? limit * own / demand : 0.0;
    CaroTime next = s->free_at > now ? s->free_at : now;
    next = rate > 0.0 ? next + (CaroTime)((double)CARO_SECOND / rate) : next;
    s->free_at = next < now + RETRY_DELAY_MAX ? next : now + RETRY_DELAY_MAX;
    CaroTime delay = s->free_at - now;
    delay = delay > RETRY_DELAY_MIN ? delay : RETRY_DELAY_MIN;
    CaroLog_Info("limits",
                 "A request was refused because of limits. id=" CARO_LOG_TEXT
                 " service=%s "
                 "limit_per_s=%.3f demand_per_s=%.3f own_per_s=%.3f vms=%d "
                 "reports=%d retry_ms=%lld",
                 id, service, limit, demand, own, l->vms,
                 CaroLimitReports_CountVms(l->peers),
                 (long long)(delay / CARO_MS));
    return delay;
}

static bool
has_news(const TargetLimit *t, CaroTime now)
{
    return t->own_response_at != 0 && now - t->own_response_at < NEWS_TTL;
}

/* A report that has no room for all targets goes on where the last ended. */
static void
collect_limits(CaroRequestLimits *l, CaroLimitReport *out, CaroTime now)
{
    u_int n = 0;
    CaroHandle count = CaroTargets_Count(l->targets);
    CaroHandle first = l->next_collected < count ? l->next_collected : 0;
    l->has_limits = false;
    l->reported_sent = 0;
    for (CaroHandle i = 0; i < count; i++) {
        CaroHandle h = (first + i) % count;
        const CaroTarget *target = CaroTargets_GetConst(l->targets, h);
        const TargetLimit *t = get_limit(l, h);
        int sent = CaroWindowCount_Sum(&t->sent, LIMIT_WINDOW, now);
        bool is_news = has_news(t, now);
        bool is_present = target->is_used && target->is_present;
        l->has_limits |= is_present && t->is_limited;
        l->reported_sent += t->is_limited ? sent : 0;
        if (!is_present || (!is_news && !(t->is_limited && sent > 0)) ||
            n == CARO_LIMITS_MAX) {
            continue;
        }
        l->next_collected = h + 1;
        out->limits[n++] = (caro_target_limit){
            .target = t->id_hash,
            .sent = (u_int)sent,
            .has_news = is_news,
            .is_limited = t->is_limited,
            .requests_per_1000_s = (u_int)(t->limit * 1000.0 + 0.5),
            .age_ms =
                is_news ? (u_int)((now - t->own_response_at) / CARO_MS) : 0};
    }
    out->report.limits.limits_len = n;
    out->report.limits.limits_val = out->limits;
}

/* Tells whether a target of the service is limited. */
static bool
is_service_limited(CaroRequestLimits *l, const char *service)
{
    for (CaroHandle h = 0; h < CaroTargets_Count(l->targets); h++) {
        if (get_limited(l, h, service) != NULL) {
            return true;
        }
    }
    return false;
}

static void
collect_demands(CaroRequestLimits *l, CaroLimitReport *out, CaroTime now)
{
    u_int n = 0;
    for (int i = 0; i < l->n_services && n < CARO_DEMANDS_MAX; i++) {
        const ServiceDemand *s = &l->services[i];
        if (l->has_limits && is_service_limited(l, s->name)) {
            double rate =
                CaroWindowCount_Rate(&s->requests, DEMAND_WINDOW, now);
            out->demands[n++] = (caro_service_demand){
                .service = s->hash,
                .requests_per_1000_s = (u_int)(rate * 1000.0 + 0.5)};
        }
    }
    out->report.demands.demands_len = n;
    out->report.demands.demands_val = out->demands;
}

/* Tells whether what this VM sent to limited targets in LIMIT_WINDOW differs
   from its last report, and all VMs together send few enough requests to
   report each of them. */
static bool
has_unreported(CaroRequestLimits *l, CaroTime now)
{
    int own = 0;
    int all = 0;
    for (CaroHandle h = 0; l->has_limits && h < CaroTargets_Count(l->targets);
         h++) {
        const TargetLimit *t = get_limit(l, h);
        if (t->is_limited) {
            own += CaroWindowCount_Sum(&t->sent, LIMIT_WINDOW, now);
            all += CaroLimitReports_Sent(l->peers, h);
        }
    }
    return own != l->reported_sent &&
           own + all <= SENT_REPORT_RATE_MAX * (LIMIT_WINDOW / CARO_SECOND);
}

static bool
is_report_due(CaroRequestLimits *l, CaroTime now)
{
    CaroTime elapsed = now - l->last_report;
    CaroTime interval = l->vms * REPORT_INTERVAL_PER_VM;
    if (interval < REPORT_INTERVAL_MIN) {
        interval = REPORT_INTERVAL_MIN;
    }
    return elapsed >= interval ||
           (elapsed >= SENT_REPORT_DELAY && has_unreported(l, now));
}

bool
CaroRequestLimits_Collect(CaroRequestLimits *l, CaroLimitReport *out,
                          CaroTime now)
{
    if (!is_report_due(l, now)) {
        return false;
    }
    l->last_report = now;
    memset(&out->report, 0, sizeof(out->report));
    CaroLimitReports_Expire(l->peers);
    collect_limits(l, out, now);
    collect_demands(l, out, now);
    bool had_reported = l->has_reported;
    l->has_reported = l->has_limits || out->report.limits.limits_len > 0;
    /* A VM without requests reports too, since others take one that does not
       to have as many as they have.  The last report is empty. */
    return l->has_reported || had_reported;
}

void
CaroRequestLimits_Apply(CaroRequestLimits *l, const caro_limit_report *report,
                        CaroTime now)
{
    if (!CaroLimitReports_Apply(l->peers, report, now)) {
        return;
    }
    for (u_int i = 0; i < report->limits.limits_len; i++) {
        const caro_target_limit *limit = &report->limits.limits_val[i];
        CaroHandle h = CaroTargets_FindByHash(l->targets, limit->target);
        if (limit->has_news && h != CARO_NO_HANDLE) {
            double per_s = (double)limit->requests_per_1000_s / 1000.0;
            set_limit(l, h, limit->is_limited ? per_s : -1.0, report->sender,
                      now - limit->age_ms * CARO_MS, now);
        }
    }
}

double
CaroRequestLimits_Get(const CaroRequestLimits *l, CaroHandle target)
{
    const TargetLimit *t = &l->all[target];
    const CaroTarget *at = CaroTargets_GetConst(l->targets, target);
    return t->is_limited && t->id_hash == at->id_hash &&
                   t->registered_at == at->registered_at
               ? t->limit
               : -1.0;
}
