/* Admission of requests to services short of room. */
#include "internal/caro_service_room.h"

#include "internal/caro_window_count.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* All VMs report to all others: each receives 200 reports a second at most. */
#define REPORT_INTERVAL_MIN (200 * CARO_MS)
#define REPORT_INTERVAL_PER_VM (5 * CARO_MS)
/* Reports of others come in more often than this. */
#define REPORTS_FRESH_TIME (400 * CARO_MS)
/* Long enough for sums over VMs to be exact to 4% at 600 a second, short
   enough to follow the loss of a server within a second. */
#define RATE_WINDOW (1 * CARO_SECOND)
/* An account has a few requests a second of all VMs. */
#define ACCOUNT_WINDOW (3 * CARO_SECOND)
/* Observations of a queue lose their weight over this time; a queue of 150 ms
   is another one by then. */
#define OBSERVATION_TTL (1 * CARO_SECOND)
/* Observations of nearly the same time are averaged. */
#define OBSERVATION_BLEND_TIME (50 * CARO_MS)
/* Recomputed at most this often; the sums change with each report. */
#define EVALUATION_INTERVAL (10 * CARO_MS)
#define LEVEL_INTERVAL (50 * CARO_MS)
/* A service is short of room from a mean wait of this part of the objective
   on, and no longer once it was below the lower one for END_DELAY. */
#define SHORT_WAIT_FRACTION 0.2
#define ROOM_WAIT_FRACTION 0.1
#define END_DELAY (2 * CARO_SECOND)
/* The wait that is aimed at: queues that are long enough to keep all slots
   busy between two corrections, and short enough for responses in time. */
#define AIMED_WAIT_FRACTION 0.3
/* A wait that differs from the aim is corrected over this time, which is twice
   the age of the observations of a queue. */
#define CORRECTION_TIME (200 * CARO_MS)
/* Likewise of a wait above the aim, behind which requests are rejected. */
#define DRAIN_TIME (130 * CARO_MS)
#define CORRECTION_MIN 0.3
#define CORRECTION_MAX 1.25
/* Corrects what lasts, as an estimate that is wrong. */
#define BIAS_TIME (4 * CARO_SECOND)
#define BIAS_MIN 0.7
#define BIAS_MAX 1.3
/* The rate of answers counts for the capacity over this time. */
#define CAPACITY_TIME (300 * CARO_MS)
/* A VM that has no report from others waits for them so long. */
#define FIRST_REPORTS_TIMEOUT (1 * CARO_SECOND)
/* Time for the way to a server and back, and for what is not known. */
#define TIME_MARGIN (10 * CARO_MS)
/* A request that all servers rejected is sent again after this: by then each
   of them has finished some. */
#define REJECTED_DELAY (15 * CARO_MS)
/* Before the first measurement. */
#define SERVICE_TIME_FRACTION 0.2
/* The service time is a low quantile of the measured ones, which include waits
   in queues. */
#define QUANTILE 0.1
#define QUANTILE_STEP 0.05
/* The longest time of callers and the shortest objective are forgotten after
   this. */
#define CALLER_TTL (20 * CARO_SECOND)
/* Weight of a server whose queue makes requests late: it is chosen only if all
   are so.  What it still runs shows when it has room again. */
#define LATE_WEIGHT 1e-6
/* What is known of queues is 50 to 100 ms old.  The smaller this is, the more
   all VMs choose the queue that was the shortest then. */
#define EVEN_WEIGHT 0.5
/* Of a new work figure of a server in the mean. */
#define RATE_WEIGHT 0.3
#define RETRY_DELAY_MIN (300 * CARO_MS)
/* Refused requests come back spread over this time for each multiple of the
   capacity that is asked for, and over RETRY_SPREAD_MAX at the most. */
#define RETRY_SPREAD (400 * CARO_MS)
#define RETRY_SPREAD_MAX (2 * CARO_SECOND)

enum {
    SERVICES_MAX = 16,
    SERVERS_MAX = 32,
    ACCOUNTS_MAX = 64,
    ALL_ACCOUNTS_MAX = 512,
    HELD_MAX = 128
};
/* A fortieth of the memory of the smallest VM. */
#define HELD_BYTES_MAX ((size_t)2 << 20)

typedef struct {
    uint32_t hash;   /* Of the target's id. */
    double wait;     /* In microseconds. */
    CaroTime at;     /* Time of the observation. */
    CaroTime own_at; /* Last one by this VM; 0 for none. */
    double own_wait;
    double rate_per_time; /* Slots x 100 / work figure. */
} Server;

typedef struct {
    uint32_t hash;
    int rank;
    bool is_used;
    double credit; /* Requests that may be sent; below 0 for held ones. */
    CaroTime used_at;
    CaroWindowCount requests;
} Account;

typedef struct {
    char name[CARO_NAME_SIZE];
    uint32_t hash;
    CaroTime used_at;
    CaroTime objective; /* Shortest of late. */
    CaroTime objective_at;
    CaroTime caller_time; /* Longest of late. */
    CaroTime caller_time_at;
    CaroWindowCount requests[CARO_ROOM_RANKS];
    CaroWindowCount answers;
    CaroWindowCount rejections;
    CaroTime rejected_at; /* Last rejection, of any VM; 0 for none. */
    Server servers[SERVERS_MAX];
    int n_servers;
    Account accounts[ACCOUNTS_MAX];
    double service_time; /* In microseconds, at a work figure of 100; 0 before
                            the first measurement. */

    bool is_short;
    bool has_change; /* Not yet returned by CaroServiceRoom_Tick. */
    CaroTime short_at;
    CaroTime queued_at; /* Last time with a long queue or a rejection. */
    CaroTime evaluated_at;
    CaroTime leveled_at;
    double wait; /* Mean of the servers. */
    double capacity;
    double own_part; /* Equal part of the capacity, of the last reports. */
    double bias;
    /* Requests a second that each account of a priority is admitted with. */
    double levels[CARO_ROOM_RANKS];
    CaroTime next_report;
} Service;

struct CaroServiceRoom {
    const CaroTargets *targets;
    gsl_rng *rng;
    CaroRoomReports *peers;
    int vms;
    Service *services[SERVICES_MAX];
    int n_services;
    CaroTime reported_at; /* Last report of another VM. */
    int held;
    size_t held_bytes;
};

CaroServiceRoom *
CaroServiceRoom_Create(const CaroTargets *targets, gsl_rng *rng)
{
    CaroServiceRoom *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return NULL;
    }
    r->targets = targets;
    r->rng = rng;
    r->vms = 1;
    r->peers = CaroRoomReports_Create();
    if (r->peers == NULL) {
        free(r);
        return NULL;
    }
    return r;
}

void
CaroServiceRoom_Destroy(CaroServiceRoom *r)
{
    if (r == NULL) {
        return;
    }
    for (int i = 0; i < r->n_services; i++) {
        free(r->services[i]);
    }
    CaroRoomReports_Destroy(r->peers);
    free(r);
}

void
CaroServiceRoom_SetVms(CaroServiceRoom *r, int vms)
{
    r->vms = vms;
}

/* --- state --- */

static Service *
find_service(const CaroServiceRoom *r, const char *name)
{
    for (int i = 0; i < r->n_services; i++) {
        if (strcmp(r->services[i]->name, name) == 0) {
            return r->services[i];
        }
    }
    return NULL;
}

static Service *
find_service_by_hash(const CaroServiceRoom *r, uint32_t hash)
{
    for (int i = 0; i < r->n_services; i++) {
        if (r->services[i]->hash == hash) {
            return r->services[i];
        }
    }
    return NULL;
}

/* Returns the state of a service whose servers send work figures, else NULL. A
   new one replaces the one that was not used for the longest time. */
static Service *
get_service(CaroServiceRoom *r, const char *name, CaroTime now)
{
    Service *s = find_service(r, name);
    if (s != NULL) {
        s->used_at = now;
        return s;
    }
    if (!CaroTargets_IsAdaptive(r->targets, name)) {
        return NULL;
    }
    if (r->n_services < SERVICES_MAX) {
        s = calloc(1, sizeof(*s));
        if (s == NULL) {
            return NULL;
        }
        r->services[r->n_services++] = s;
    }
    else {
        s = r->services[0];
        for (int i = 1; i < r->n_services; i++) {
            s = r->services[i]->used_at < s->used_at ? r->services[i] : s;
        }
        memset(s, 0, sizeof(*s));
    }
    CARO_COPY(s->name, name);
    s->hash = XXH32(name, strlen(name), 0);
    s->used_at = now;
    s->bias = 1.0;
    for (int p = 0; p < CARO_ROOM_RANKS; p++) {
        s->levels[p] = INFINITY;
    }
    return s;
}

static Server *
get_server(Service *s, uint32_t hash)
{
    Server *oldest = &s->servers[0];
    for (int i = 0; i < s->n_servers; i++) {
        if (s->servers[i].hash == hash) {
            return &s->servers[i];
        }
        oldest = s->servers[i].at < oldest->at ? &s->servers[i] : oldest;
    }
    if (s->n_servers < SERVERS_MAX) {
        oldest = &s->servers[s->n_servers++];
    }
    *oldest = (Server){.hash = hash};
    return oldest;
}

static uint32_t
hash_account(const char *account)
{
    return account == NULL ? 0 : XXH32(account, strlen(account), 0);
}

/* The longest time that callers of the service have of late is what they start
   with; one that has so much less has waited, and cannot be in time. */
static bool
has_waited(const Service *s, const CaroRoomRequest *q)
{
    return q->caller_time > 0 &&
           s->caller_time - q->caller_time > q->objective;
}

static int
rank_of(const Service *s, const CaroRoomRequest *q)
{
    int priority = q->priority < 0 ? 0
                   : q->priority < CARO_ROOM_PRIORITIES
                       ? (int)q->priority
                       : CARO_ROOM_PRIORITIES - 1;
    return 2 * priority + has_waited(s, q);
}

/* Routes to one service may have different objectives; the shortest counts. */
static void
record_caller(Service *s, const CaroRoomRequest *q, CaroTime now)
{
    if (q->caller_time >= s->caller_time ||
        now - s->caller_time_at >= CALLER_TTL) {
        s->caller_time = q->caller_time;
        s->caller_time_at = now;
    }
    if (s->objective <= 0 || q->objective <= s->objective ||
        now - s->objective_at >= CALLER_TTL) {
        s->objective = q->objective;
        s->objective_at = now;
    }
}

/* The credit of a new entry is random, so that the VMs reach whole requests at
   different times. */
static Account *
get_account(CaroServiceRoom *r, Service *s, uint32_t hash, int rank,
            CaroTime now)
{
    Account *oldest = &s->accounts[0];
    for (int i = 0; i < ACCOUNTS_MAX; i++) {
        Account *a = &s->accounts[i];
        if (a->is_used && a->hash == hash && a->rank == rank) {
            a->used_at = now;
            return a;
        }
        oldest = a->used_at < oldest->used_at ? a : oldest;
    }
    *oldest = (Account){.hash = hash,
                        .rank = rank,
                        .is_used = true,
                        .used_at = now,
                        .credit = gsl_rng_uniform(r->rng)};
    return oldest;
}

static double
service_time(const Service *s)
{
    return s->service_time > 0.0
               ? s->service_time
               : SERVICE_TIME_FRACTION * (double)s->objective;
}

/* The wait that was observed, less what its age makes of it. */
static double
present_wait(const Server *v, CaroTime now)
{
    double age = (double)(now - v->at) / (double)OBSERVATION_TTL;
    return age < 1.0 ? v->wait * (1.0 - age) : 0.0;
}

static bool
is_observed(const Server *v, CaroTime now)
{
    return v->at != 0 && now - v->at < OBSERVATION_TTL;
}

static void
observe(Server *v, double wait, CaroTime at)
{
    if (at > v->at + OBSERVATION_BLEND_TIME) {
        v->wait = wait;
        v->at = at;
    }
    else if (at > v->at - OBSERVATION_BLEND_TIME) {
        v->wait += 0.5 * (wait - v->wait);
        v->at = at > v->at ? at : v->at;
    }
}

/* Mean wait of the servers, by the requests they run in a time. */
static double
mean_wait(const Service *s, CaroTime now)
{
    double sum = 0.0;
    double weights = 0.0;
    for (int i = 0; i < s->n_servers; i++) {
        const Server *v = &s->servers[i];
        if (is_observed(v, now)) {
            double weight = v->rate_per_time > 0.0 ? v->rate_per_time : 1.0;
            sum += weight * present_wait(v, now);
            weights += weight;
        }
    }
    return weights > 0.0 ? sum / weights : 0.0;
}

static double
own_rate(const CaroWindowCount *w, CaroTime window, CaroTime now)
{
    return CaroWindowCount_Rate(w, window, now);
}

/* --- what is admitted --- */

/* Follows the rate of the answers while the servers have queues; otherwise it
   shows only that they run at least as many. */
static void
update_capacity(Service *s, double answers, double aimed_wait, double elapsed)
{
    if (s->wait >= aimed_wait) {
        double weight = elapsed / (double)CAPACITY_TIME;
        s->capacity += (answers - s->capacity) * (weight < 1.0 ? weight : 1.0);
    }
    else if (answers > s->capacity) {
        s->capacity = answers;
    }
}

/* What the service time can be at most, from the slots and the answers. */
static void
bound_service_time(Service *s, CaroTime now)
{
    double rate = 0.0;
    for (int i = 0; i < s->n_servers; i++) {
        const Server *v = &s->servers[i];
        if (is_observed(v, now)) {
            if (v->rate_per_time <= 0.0) {
                return; /* Only other VMs know its slots. */
            }
            rate += v->rate_per_time;
        }
    }
    double most = rate * (double)CARO_SECOND / s->capacity;
    if (rate > 0.0 && s->capacity > 0.0 && s->service_time > most) {
        s->service_time = most;
    }
}

/*
 * Returns the rate that, as the bound of each account, makes the accounts of
 * the priority have "part" requests a second together (max-min fairness).
 */
static double
fair_level(const CaroServiceRoom *r, const Service *s, int rank, double part,
           double requests, CaroTime now)
{
    static CaroRoomAccount all[ALL_ACCOUNTS_MAX];
    int n = CaroRoomReports_ListAccounts(r->peers, s->hash, rank, all,
                                         ALL_ACCOUNTS_MAX);
    for (int i = 0; i < ACCOUNTS_MAX; i++) {
        const Account *a = &s->accounts[i];
        if (!a->is_used || a->rank != rank) {
            continue;
        }
        int64_t own =
            (int64_t)(1000.0 * own_rate(&a->requests, ACCOUNT_WINDOW, now));
        int at = 0;
        while (at < n && all[at].account != a->hash) {
            at++;
        }
        if (at == n && n < ALL_ACCOUNTS_MAX && own > 0) {
            all[n++] = (CaroRoomAccount){a->hash, rank, 0};
        }
        if (at < n) {
            all[at].requests += own;
        }
    }
    double sum = 0.0;
    for (int i = 0; i < n; i++) {
        sum += (double)all[i].requests / 1000.0;
    }
    if (n == 0 || sum <= 0.0 || requests <= 0.0) {
        return part;
    }
    double left = part * (sum < requests ? sum / requests : 1.0);
    left = left < sum ? left : sum;
    double level = left / n;
    for (int round = 0; round < 16; round++) {
        double small = 0.0;
        int large = 0;
        for (int i = 0; i < n; i++) {
            double rate = (double)all[i].requests / 1000.0;
            small += rate <= level ? rate : 0.0;
            large += rate > level;
        }
        double next = large == 0 ? level : (left - small) / large;
        if (next <= level * 1.001) {
            break;
        }
        level = next;
    }
    return level;
}

static void
update_levels(CaroServiceRoom *r, Service *s, double total, CaroTime now)
{
    CaroRoomSums sums = CaroRoomReports_Get(r->peers, s->hash);
    for (int p = 0; p < CARO_ROOM_RANKS; p++) {
        double requests = (double)sums.requests[p] / 1000.0 +
                          own_rate(&s->requests[p], RATE_WINDOW, now);
        s->levels[p] = requests <= total ? INFINITY
                       : total <= 0.0
                           ? 0.0
                           : fair_level(r, s, p, total, requests, now);
        total = requests < total ? total - requests : 0.0;
    }
}

static void
begin_shortage(CaroServiceRoom *r, Service *s, double answers, CaroTime now)
{
    CaroTime interval = r->vms * REPORT_INTERVAL_PER_VM;
    interval = interval > REPORT_INTERVAL_MIN ? interval : REPORT_INTERVAL_MIN;
    s->is_short = true;
    s->has_change = true;
    s->short_at = now;
    s->capacity = answers;
    s->bias = 1.0;
    s->leveled_at = 0;
    /* The VMs do not all send at once. */
    s->next_report =
        now + (CaroTime)((double)interval * gsl_rng_uniform(r->rng));
}

static void
end_shortage(Service *s)
{
    s->is_short = false;
    s->has_change = true;
    for (int p = 0; p < CARO_ROOM_RANKS; p++) {
        s->levels[p] = INFINITY;
    }
}

static bool
is_limited(const Service *s)
{
    for (int p = 0; p < CARO_ROOM_RANKS; p++) {
        if (isfinite(s->levels[p])) {
            return true;
        }
    }
    return false;
}

static bool
has_first_reports(const CaroServiceRoom *r, const Service *s, CaroTime now)
{
    return r->vms <= 1 || now - s->short_at >= FIRST_REPORTS_TIMEOUT ||
           CaroRoomReports_Get(r->peers, s->hash).vms > 0;
}

static void
evaluate(CaroServiceRoom *r, Service *s, CaroTime now)
{
    if (now - s->evaluated_at < EVALUATION_INTERVAL || s->objective <= 0) {
        return;
    }
    double elapsed = (double)(now - s->evaluated_at);
    double objective = (double)s->objective;
    s->evaluated_at = now;
    CaroRoomReports_Expire(r->peers, now);
    CaroRoomSums sums = CaroRoomReports_Get(r->peers, s->hash);
    double answers = (double)sums.answers / 1000.0 +
                     own_rate(&s->answers, RATE_WINDOW, now);
    s->wait = mean_wait(s, now);
    double limit = s->is_short ? ROOM_WAIT_FRACTION : SHORT_WAIT_FRACTION;
    if (s->wait > limit * objective || s->rejected_at > s->queued_at) {
        s->queued_at = now;
        if (!s->is_short) {
            begin_shortage(r, s, answers, now);
        }
    }
    if (!s->is_short) {
        return;
    }
    double aimed_wait = AIMED_WAIT_FRACTION * objective;
    bool is_cut_off = sums.vms == 0 && r->vms > 1 && s->own_part > 0.0;
    if (is_cut_off) { /* The others go on. */
        s->capacity = s->own_part;
    }
    else {
        update_capacity(s, answers, aimed_wait, elapsed);
        /* Once no report comes in, their number falls as they expire. */
        if (now - r->reported_at < REPORTS_FRESH_TIME) {
            s->own_part = s->capacity / (sums.vms + 1);
        }
    }
    bound_service_time(s, now);
    double difference = aimed_wait - s->wait;
    double correction =
        1.0 +
        difference / (double)(difference > 0.0 ? CORRECTION_TIME : DRAIN_TIME);
    correction = fmin(fmax(correction, CORRECTION_MIN), CORRECTION_MAX);
    if (is_cut_off) { /* What it sees of queues itself is too old to take more.
                       */
        correction = fmin(correction, 1.0);
        s->bias = 1.0;
    }
    if (is_limited(s)) {
        s->queued_at = now;
        s->bias += is_cut_off ? 0.0
                              : difference / aimed_wait *
                                    fmin(elapsed / (double)BIAS_TIME, 0.1);
        s->bias = fmin(fmax(s->bias, BIAS_MIN), BIAS_MAX);
    }
    if (now - s->leveled_at >= LEVEL_INTERVAL) {
        s->leveled_at = now;
        update_levels(r, s, s->capacity * s->bias * correction, now);
    }
    if (now - s->queued_at >= END_DELAY) {
        end_shortage(s);
    }
}

/* The part of the requests of the account that is admitted. */
static double
admitted_fraction(const CaroServiceRoom *r, const Service *s, const Account *a,
                  CaroTime now)
{
    double level = s->levels[a->rank];
    if (!isfinite(level)) {
        return 1.0;
    }
    double rate =
        (double)CaroRoomReports_Account(r->peers, s->hash, a->hash, a->rank) /
            1000.0 +
        own_rate(&a->requests, ACCOUNT_WINDOW, now);
    return rate <= level ? 1.0 : level / rate;
}

/* Time for which the request can still be held and be in time. */
static CaroTime
hold_time(const Service *s, const CaroRoomRequest *q, CaroTime now)
{
    double needed = s->wait + service_time(s);
    CaroTime end = q->accepted_at + q->objective;
    end = end < q->deadline ? end : q->deadline;
    return end - now - (CaroTime)needed - TIME_MARGIN;
}

static bool
can_hold(const CaroServiceRoom *r, const CaroRoomRequest *q)
{
    return r->held < HELD_MAX && r->held_bytes + q->bytes <= HELD_BYTES_MAX;
}

static CaroRoomDecision
send_now(void)
{
    return (CaroRoomDecision){CARO_ROOM_SEND, 0};
}

static CaroRoomDecision
hold(CaroServiceRoom *r, const CaroRoomRequest *q, CaroTime wait)
{
    r->held++;
    r->held_bytes += q->bytes;
    return (CaroRoomDecision){CARO_ROOM_HOLD, wait};
}

static CaroRoomDecision
refuse(CaroServiceRoom *r, const Service *s)
{
    return (CaroRoomDecision){CARO_ROOM_REFUSE,
                              CaroServiceRoom_RetryAfter(r, s->name)};
}

CaroRoomDecision
CaroServiceRoom_Accept(CaroServiceRoom *r, const CaroRoomRequest *q,
                       CaroTime now)
{
    Service *s = q->objective > 0 ? get_service(r, q->service, now) : NULL;
    if (s == NULL) {
        return send_now();
    }
    record_caller(s, q, now);
    Account *a =
        get_account(r, s, hash_account(q->account), rank_of(s, q), now);
    CaroWindowCount_Add(&s->requests[a->rank], RATE_WINDOW, now);
    CaroWindowCount_Add(&a->requests, ACCOUNT_WINDOW, now);
    evaluate(r, s, now);
    if (!s->is_short || !has_first_reports(r, s, now)) {
        return send_now();
    }
    double fraction = admitted_fraction(r, s, a, now);
    if (fraction >= 1.0) {
        return send_now();
    }
    a->credit += fraction;
    if (a->credit >= 1.0) {
        a->credit -= 1.0;
        return send_now();
    }
    /* The next unit comes with the account's next requests. */
    double rate = fraction * own_rate(&a->requests, ACCOUNT_WINDOW, now);
    double wait =
        rate > 0.0 ? (1.0 - a->credit) * (double)CARO_SECOND / rate : INFINITY;
    if (wait > (double)hold_time(s, q, now) || !can_hold(r, q)) {
        return refuse(r, s);
    }
    a->credit -= 1.0;
    return hold(r, q, (CaroTime)wait);
}

CaroRoomDecision
CaroServiceRoom_Retry(CaroServiceRoom *r, const CaroRoomRequest *q,
                      CaroTime now)
{
    const Service *s = find_service(r, q->service);
    if (s == NULL) {
        return (CaroRoomDecision){CARO_ROOM_REFUSE, RETRY_DELAY_MIN};
    }
    return hold_time(s, q, now) > REJECTED_DELAY && can_hold(r, q)
               ? hold(r, q, REJECTED_DELAY)
               : refuse(r, s);
}

void
CaroServiceRoom_CancelHold(CaroServiceRoom *r, const CaroRoomRequest *q)
{
    r->held--;
    r->held_bytes -= q->bytes;
}

CaroRoomDecision
CaroServiceRoom_EndHold(CaroServiceRoom *r, const CaroRoomRequest *q,
                        CaroTime now)
{
    Service *s = find_service(r, q->service);
    CaroServiceRoom_CancelHold(r, q);
    if (s == NULL) {
        return now < q->deadline
                   ? send_now()
                   : (CaroRoomDecision){CARO_ROOM_REFUSE, RETRY_DELAY_MIN};
    }
    evaluate(r, s, now);
    /* After a stall of this process its response would be cut off. */
    bool has_time = now + (CaroTime)(s->wait + service_time(s)) < q->deadline;
    return has_time && s->levels[rank_of(s, q)] > 0.0 ? send_now()
                                                      : refuse(r, s);
}

/* --- servers --- */

static void
measure_service_time(Service *s, double time)
{
    if (s->service_time <= 0.0) {
        s->service_time = time;
        return;
    }
    double step = QUANTILE_STEP * s->service_time;
    s->service_time +=
        time < s->service_time ? -step * (1.0 - QUANTILE) : step * QUANTILE;
}

void
CaroServiceRoom_RecordResponse(CaroServiceRoom *r, CaroHandle target,
                               bool is_rejection, CaroTime elapsed,
                               CaroTime now)
{
    const CaroTarget *t = CaroTargets_GetConst(r->targets, target);
    Service *s = get_service(r, t->entry.service, now);
    if (s == NULL) {
        return;
    }
    if (is_rejection) {
        CaroWindowCount_Add(&s->rejections, RATE_WINDOW, now);
        s->rejected_at = now;
    }
    else {
        CaroWindowCount_Add(&s->answers, RATE_WINDOW, now);
    }
    if (t->reported_at != now || t->entry.slots <= 0) {
        return;
    }
    double work =
        t->reported_work_percent > 0 ? t->reported_work_percent / 100.0 : 1.0;
    double slots = (double)t->entry.slots;
    Server *v = get_server(s, t->id_hash);
    if (!is_rejection) {
        measure_service_time(s, (double)elapsed / work);
    }
    /* The figure changes many times a second. */
    v->rate_per_time += (v->rate_per_time > 0.0 ? RATE_WEIGHT : 1.0) *
                        (slots / work - v->rate_per_time);
    v->own_wait = t->reported_waiting / slots * service_time(s) * work;
    v->own_at = now;
    observe(v, v->own_wait, now);
    evaluate(r, s, now);
}

static bool
is_candidate(const CaroTargets *targets, CaroHandle h,
             const CaroPlacementQuery *q, CaroTime now)
{
    const CaroTarget *t = CaroTargets_GetConst(targets, h);
    for (int i = 0; i < q->n_tried; i++) {
        if (q->tried[i] == h) {
            return false;
        }
    }
    return t->is_present && CaroTarget_IsUsable(t, now) &&
           !CaroTarget_IsFull(t, now) &&
           (q->version == NULL || (strcmp(t->entry.version, q->version) ==
                                   0) != q->excludes_version);
}

/* Requests that the server runs in a time, less the more its queue approaches
   the wait that makes requests late.  All VMs know nearly the same waits: the
   one with the shortest must not get all requests. */
static double
weight_of(const Service *s, const CaroTarget *t, CaroTime now)
{
    const Server *v = NULL;
    for (int i = 0; i < s->n_servers; i++) {
        v = s->servers[i].hash == t->id_hash ? &s->servers[i] : v;
    }
    bool is_known = v != NULL && is_observed(v, now);
    double late = (double)(s->objective - TIME_MARGIN) - service_time(s);
    double wait = is_known ? present_wait(v, now) : s->wait;
    double room = late > 0.0 ? 1.0 - wait / late : 0.0;
    double rate = is_known && v->rate_per_time > 0.0 ? v->rate_per_time
                                                     : (double)t->entry.slots;
    return rate * (room > 0.0 ? EVEN_WEIGHT + room : LATE_WEIGHT);
}

CaroHandle
CaroServiceRoom_Choose(CaroServiceRoom *r, const CaroPlacementQuery *q,
                       CaroTime now)
{
    const Service *s = q->is_stream ? NULL : find_service(r, q->service);
    CaroHandle all[SERVERS_MAX];
    double weights[SERVERS_MAX];
    double sum = 0.0;
    int n = 0;
    if (s == NULL || !s->is_short) {
        return CARO_NO_HANDLE;
    }
    const CaroTargetGroups *groups = CaroTargets_Groups(r->targets);
    for (int g = 0; g < CaroTargetGroups_Count(groups); g++) {
        CaroTargetGroup group = CaroTargetGroups_Get(groups, g);
        if (group.n == 0 || strcmp(group.service, q->service) != 0) {
            continue;
        }
        for (int i = 0; i < group.n; i++) {
            if (!is_candidate(r->targets, group.members[i], q, now)) {
                continue;
            }
            if (n == SERVERS_MAX) { /* Placement by load samples them. */
                return CARO_NO_HANDLE;
            }
            all[n] = group.members[i];
            weights[n] = weight_of(
                s, CaroTargets_GetConst(r->targets, group.members[i]), now);
            sum += weights[n++];
        }
    }
    double draw = sum * gsl_rng_uniform(r->rng);
    for (int i = 0; i < n; i++) {
        draw -= weights[i];
        if (draw < 0.0 || i == n - 1) {
            return all[i];
        }
    }
    return CARO_NO_HANDLE;
}

/* --- reports --- */

bool
CaroServiceRoom_IsShort(const CaroServiceRoom *r, const char *service)
{
    const Service *s = find_service(r, service);
    return s != NULL && s->is_short;
}

CaroTime
CaroServiceRoom_RetryAfter(CaroServiceRoom *r, const char *service)
{
    CaroRoomState state;
    double excess = 1.0;
    if (CaroServiceRoom_GetState(r, service, &state, 0) &&
        state.capacity > 0.0) {
        double requests = state.waited;
        for (int p = 0; p < CARO_ROOM_PRIORITIES; p++) {
            requests += state.requests[p];
        }
        excess = requests / state.capacity;
    }
    double spread = fmin(excess * (double)RETRY_SPREAD, RETRY_SPREAD_MAX);
    return RETRY_DELAY_MIN + (CaroTime)(spread * gsl_rng_uniform(r->rng));
}

bool
CaroServiceRoom_Tick(CaroServiceRoom *r, CaroRoomState *out, CaroTime now)
{
    for (int i = 0; i < r->n_services; i++) {
        Service *s = r->services[i];
        evaluate(r, s, now);
        if (s->has_change) {
            s->has_change = false;
            return CaroServiceRoom_GetState(r, s->name, out, now);
        }
    }
    return false;
}

bool
CaroServiceRoom_GetState(const CaroServiceRoom *r, const char *service,
                         CaroRoomState *out, CaroTime now)
{
    const Service *s = find_service(r, service);
    if (s == NULL) {
        return false;
    }
    now = now > s->evaluated_at ? now : s->evaluated_at;
    CaroRoomSums sums = CaroRoomReports_Get(r->peers, s->hash);
    *out = (CaroRoomState){
        .service = s->name,
        .is_short = s->is_short,
        .capacity = s->capacity,
        .rejections = (double)sums.rejections / 1000.0 +
                      own_rate(&s->rejections, RATE_WINDOW, now),
        .wait = (CaroTime)s->wait,
        .service_time = (CaroTime)service_time(s),
        .observed_age = -1,
        .reports = sums.vms,
        .report_age = CaroRoomReports_OldestAge(r->peers, now),
        .held = r->held};
    for (int rank = 0; rank < CARO_ROOM_RANKS; rank++) {
        double rate = (double)sums.requests[rank] / 1000.0 +
                      own_rate(&s->requests[rank], RATE_WINDOW, now);
        if (rank % 2 == 1) {
            out->waited += rate;
            continue;
        }
        double level = s->levels[rank];
        out->requests[rank / 2] = rate;
        out->levels[rank / 2] = isfinite(level) ? level : -1.0;
    }
    for (int i = 0; i < s->n_servers; i++) {
        CaroTime age = now - s->servers[i].at;
        if (out->observed_age < 0 || age < out->observed_age) {
            out->observed_age = age;
        }
    }
    return true;
}

static u_int
per_1000_s(double per_s)
{
    return (u_int)(per_s * 1000.0 + 0.5);
}

static u_int
collect_servers(const Service *s, caro_room_server *out, CaroTime now)
{
    u_int n = 0;
    for (int i = 0; i < s->n_servers && n < CARO_ROOM_SERVERS_MAX; i++) {
        const Server *v = &s->servers[i];
        if (v->own_at != 0 && now - v->own_at < OBSERVATION_TTL) {
            out[n++] = (caro_room_server){
                .target = v->hash,
                .wait_us = (u_int)v->own_wait,
                .age_ms = (u_int)((now - v->own_at) / CARO_MS)};
        }
    }
    return n;
}

/* The accounts with the most requests of late, in any order. */
static u_int
collect_accounts(const Service *s, caro_room_account *out, CaroTime now)
{
    u_int n = 0;
    for (int i = 0; i < ACCOUNTS_MAX; i++) {
        const Account *a = &s->accounts[i];
        u_int rate =
            a->is_used
                ? per_1000_s(own_rate(&a->requests, ACCOUNT_WINDOW, now))
                : 0;
        u_int at = n;
        if (rate == 0) {
            continue;
        }
        if (n == CARO_ROOM_ACCOUNTS_MAX) {
            at = 0;
            for (u_int k = 1; k < n; k++) {
                at = out[k].requests_per_1000_s < out[at].requests_per_1000_s
                         ? k
                         : at;
            }
            if (out[at].requests_per_1000_s >= rate) {
                continue;
            }
        }
        else {
            n++;
        }
        out[at] = (caro_room_account){.account = a->hash,
                                      .rank = (u_int)a->rank,
                                      .requests_per_1000_s = rate};
    }
    return n;
}

static void
collect_service(const Service *s, CaroRoomReport *out, u_int at, CaroTime now)
{
    caro_service_room *to = &out->services[at];
    memset(to, 0, sizeof(*to));
    to->service = s->hash;
    for (int p = 0; p < CARO_ROOM_RANKS; p++) {
        to->requests_per_1000_s[p] =
            per_1000_s(own_rate(&s->requests[p], RATE_WINDOW, now));
    }
    to->answers_per_1000_s =
        per_1000_s(own_rate(&s->answers, RATE_WINDOW, now));
    to->rejections_per_1000_s =
        per_1000_s(own_rate(&s->rejections, RATE_WINDOW, now));
    to->servers.servers_val = out->servers[at];
    to->servers.servers_len = collect_servers(s, out->servers[at], now);
    to->accounts.accounts_val = out->accounts[at];
    to->accounts.accounts_len = collect_accounts(s, out->accounts[at], now);
}

bool
CaroServiceRoom_Collect(CaroServiceRoom *r, CaroRoomReport *out, CaroTime now)
{
    CaroTime interval = r->vms * REPORT_INTERVAL_PER_VM;
    bool is_due = false;
    u_int n = 0;
    interval = interval > REPORT_INTERVAL_MIN ? interval : REPORT_INTERVAL_MIN;
    for (int i = 0; i < r->n_services; i++) {
        is_due |=
            r->services[i]->is_short && now >= r->services[i]->next_report;
    }
    if (!is_due) {
        return false;
    }
    memset(&out->report, 0, sizeof(out->report));
    for (int i = 0; i < r->n_services && n < CARO_ROOM_SERVICES_MAX; i++) {
        Service *s = r->services[i];
        if (s->is_short) {
            s->next_report = now + interval;
            collect_service(s, out, n++, now);
        }
    }
    out->report.services.services_len = n;
    out->report.services.services_val = out->services;
    return true;
}

void
CaroServiceRoom_Apply(CaroServiceRoom *r, const caro_room_report *report,
                      CaroTime now)
{
    if (!CaroRoomReports_Apply(r->peers, report, now)) {
        return;
    }
    r->reported_at = now;
    for (u_int i = 0; i < report->services.services_len; i++) {
        const caro_service_room *in = &report->services.services_val[i];
        Service *s = find_service_by_hash(r, in->service);
        for (u_int k = 0; s != NULL && k < in->servers.servers_len; k++) {
            const caro_room_server *server = &in->servers.servers_val[k];
            CaroTime age = server->age_ms * CARO_MS;
            if (age < OBSERVATION_TTL) {
                observe(get_server(s, server->target), server->wait_us,
                        now - age);
            }
        }
        if (s != NULL && in->rejections_per_1000_s > 0 && !s->is_short) {
            s->rejected_at = now;
        }
    }
}
