/*
 * "carobench gateway": a load on gateways through the platform interface.
 *
 * Each worker requests addresses from a directory, keeps a connection, and
 * sends streams, orders and lookups in a random order.  A stream whose
 * connection breaks is resumed on a new connection.  The text of each event
 * is checked.  At the end the targets are asked how often each order ran.
 *
 * In a soak each worker pauses for a random time and uses its connection until
 * the peer ends it, as callers do that hold an address for long; each request
 * without a proper answer is printed with its times, for Tools/soak.sh.
 */
#include "bench.h"

#include "internal/caro_channel.h"
#include "internal/caro_clock.h"
#include "internal/caro_event_stream.h"
#include "internal/caro_platform.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

enum {
    ADDRESSES_MAX = 64,
    DOMAINS = 2,
    WORKERS_MAX = 200,
    ORDERS_MAX = 20000,
    TROUBLES_MAX = 4000,
    EVENTS_PER_STREAM = 60,
    PROMPT_TOKENS = 400
};
#define CONNECT_TIMEOUT (1 * CARO_SECOND)
#define RESUME_DEADLINE (20 * CARO_SECOND) /* After the first request. */
/* Age at which addresses are requested again; also the request's timeout. */
#define ADDRESS_TTL (1 * CARO_SECOND)

/* The route's timeout and what a late answer may take beyond. */
#define ANSWER_TIMEOUT (8500 * CARO_MS)

typedef enum { WORK_STREAM, WORK_ORDER, WORK_LOOKUP, WORK_KINDS } WorkKind;

/* What the response says about an order. */
typedef enum { ORDER_RAN, ORDER_NOT_RUN, ORDER_UNKNOWN } OrderOutcome;

typedef struct GatewayLoad GatewayLoad;

/* A caller; sends one request at a time. */
typedef struct {
    GatewayLoad *load;
    int domain; /* Failure domain of the caller, from 0. */
    CaroChannel *channel;
    struct event *timer;
    CaroEventStream *events;
    char address[CARO_ADDRESS_SIZE];
    WorkKind kind;
    char id[40];
    char body[64];
    int64_t last_id; /* Id of the last event; 0: none. */
    int status;
    bool has_signature;
    CaroTime started_at;
    CaroTime sent_at;   /* The request with "id". */
    int64_t sent_at_ms; /* The same by the wall clock. */
    CaroTime stall;     /* Longest pause of this process since then. */
    bool is_kept;       /* Its connection had an earlier request. */
    CaroTime last_event_at;
    CaroTime worst_gap;
    char text[64]; /* First part of a response that is no stream. */
    size_t n_text;
} Worker;

/* A request without a proper answer, in a soak. */
typedef struct {
    char id[40];
    char address[CARO_ADDRESS_SIZE];
    WorkKind kind;
    int status; /* 0: the connection ended. */
    int64_t sent_at_ms;
    int64_t ended_at_ms;
    int64_t last_id;
    CaroTime stall; /* The request may have been written this much later. */
    bool is_kept;
} Trouble;

/* Addresses for the callers of one failure domain. */
typedef struct {
    GatewayLoad *load;
    char addresses[ADDRESSES_MAX][CARO_ADDRESS_SIZE];
    int n;
    CaroTime requested_at;
    bool is_request_pending;
} AddressList;

struct GatewayLoad {
    struct event_base *base;
    const char *const *directories;
    int n_directories;
    const char *host;
    const char *key;
    AddressList lists[DOMAINS];
    gsl_rng *rng;
    Worker workers[WORKERS_MAX];
    int n_workers;
    CaroTime ends_at;
    int n_running;
    long n_requests;
    struct {
        char id[40];
        OrderOutcome outcome;
    } orders[ORDERS_MAX];
    int n_orders;
    bool is_soak;
    int pause_ms; /* Longest pause between two requests of a worker. */
    Trouble troubles[TROUBLES_MAX];
    int n_troubles;
    CaroTime last_turn_at;
    long whole, resumes, refused, failed, wrong, plain_responses;
    Samples gap_ms;
    Samples plain_ms;
};

static void
set_timer(Worker *w, CaroTime delay)
{
    struct timeval t = {.tv_sec = delay / CARO_SECOND,
                        .tv_usec = delay % CARO_SECOND};
    (void)event_add(w->timer, &t);
}

static void
close_channel(Worker *w)
{
    CaroChannel_Destroy(w->channel);
    w->channel = NULL;
}

/* Schedules the next request of the worker. */
static void
end_work(Worker *w)
{
    GatewayLoad *load = w->load;
    double share = gsl_rng_uniform(load->rng);
    w->id[0] = '\0';
    w->last_id = 0;
    /* The square makes short pauses more frequent than long ones. */
    set_timer(w, 20 * CARO_MS + (CaroTime)(share * share * load->pause_ms *
                                           (double)CARO_MS));
}

static void
record_trouble(const Worker *w, int status)
{
    GatewayLoad *load = w->load;
    if (!load->is_soak || load->n_troubles == TROUBLES_MAX) {
        return;
    }
    Trouble *t = &load->troubles[load->n_troubles++];
    CARO_COPY(t->id, w->id);
    CARO_COPY(t->address, w->address);
    t->kind = w->kind;
    t->status = status;
    t->sent_at_ms = w->sent_at_ms;
    t->ended_at_ms = CaroClock_WallMs();
    t->last_id = w->last_id;
    t->stall = w->stall;
    t->is_kept = w->is_kept;
}

static void
record_order(Worker *w, OrderOutcome outcome)
{
    GatewayLoad *load = w->load;
    if (w->kind == WORK_ORDER && load->n_orders < ORDERS_MAX) {
        CARO_COPY(load->orders[load->n_orders].id, w->id);
        load->orders[load->n_orders++].outcome = outcome;
    }
}

static bool
check_event(Worker *w, const CaroEvent *event, CaroTime now)
{
    char expected[64];
    int64_t next = w->last_id + 1;
    int n =
        snprintf(expected, sizeof(expected), "id: %lld\ndata: %016llx\n\n",
                 (long long)next,
                 (unsigned long long)XXH64(
                     &next, sizeof(next), XXH64(w->body, strlen(w->body), 0)));
    CaroTime gap = now - w->last_event_at;
    if (w->last_id > 0 && gap > w->worst_gap) {
        w->worst_gap = gap;
    }
    w->last_event_at = now;
    w->last_id = next;
    return event->bytes.size == (size_t)n &&
           memcmp(event->bytes.at, expected, (size_t)n) == 0;
}

static void
on_head(void *context, const CaroHttpHead *head)
{
    Worker *w = context;
    w->status = head->status;
    w->has_signature =
        CaroHttpHead_Find(head, CaroPlatform_HeaderName(CARO_HEADER_SIGNATURE))
            .at != NULL;
    w->n_text = 0;
}

static void
on_body(void *context, CaroText bytes)
{
    Worker *w = context;
    if (w->kind == WORK_STREAM && w->status == 200) {
        CaroEvent event;
        (void)CaroEventStream_Feed(w->events, bytes);
        while (CaroEventStream_Next(w->events, &event)) {
            if (!check_event(w, &event, CaroClock_Now())) {
                w->load->wrong++;
                (void)printf("expected event %lld of %s, got: %.*s\n",
                             (long long)w->last_id, w->id,
                             (int)event.bytes.size, event.bytes.at);
            }
        }
        return;
    }
    for (size_t i = 0; i < bytes.size && w->n_text < sizeof(w->text) - 1;
         i++) {
        w->text[w->n_text++] = bytes.at[i];
    }
    w->text[w->n_text] = '\0';
}

static void
finish_plain(Worker *w)
{
    char expected[64];
    (void)snprintf(expected, sizeof(expected), "ran %s\n", w->id);
    if (!w->has_signature || strcmp(w->text, expected) != 0) {
        w->load->wrong++;
        (void)printf("unexpected response to %s: %s\n", w->id, w->text);
    }
    w->load->plain_responses++;
    Samples_Add(&w->load->plain_ms,
                (double)(CaroClock_Now() - w->started_at) / CARO_MS);
    record_order(w, ORDER_RAN);
}

static void
on_end(void *context)
{
    Worker *w = context;
    bool is_refused = w->status == 503 || w->status == 429;
    if (CaroClock_Now() - w->sent_at > ANSWER_TIMEOUT) {
        record_trouble(w, w->status);
    }
    if (!CaroChannel_IsReusable(w->channel)) {
        close_channel(w);
    }
    if (is_refused) {
        w->load->refused++;
        record_order(w, ORDER_NOT_RUN);
    }
    else if (w->status != 200) {
        record_trouble(w, w->status);
        w->load->failed++;
        record_order(w, w->status == 500 ? ORDER_RAN : ORDER_UNKNOWN);
    }
    else if (w->kind != WORK_STREAM) {
        finish_plain(w);
    }
    else if (w->last_id != EVENTS_PER_STREAM) {
        w->load->wrong++;
        (void)printf("%s ended without an error after event %lld\n", w->id,
                     (long long)w->last_id);
    }
    else {
        w->load->whole++;
        Samples_Add(&w->load->gap_ms, (double)w->worst_gap / CARO_MS);
    }
    if (is_refused && w->last_id > 0 && w->last_id < EVENTS_PER_STREAM &&
        CaroClock_Now() - w->started_at < RESUME_DEADLINE) {
        set_timer(w, 50 * CARO_MS); /* Resumes the stream. */
        return;
    }
    end_work(w);
}

static void
on_failure(void *context, int code, const char *reason)
{
    Worker *w = context;
    (void)code;
    (void)reason;
    if (CaroChannel_IsSent(w->channel)) {
        record_trouble(w, 0);
    }
    close_channel(w);
    if (w->kind == WORK_STREAM && w->last_id > 0 &&
        CaroClock_Now() - w->started_at < RESUME_DEADLINE) {
        w->load->resumes++;
        CaroEventStream_Reset(w->events);
        set_timer(w, 10 * CARO_MS); /* Resumes the stream. */
        return;
    }
    w->load->failed++;
    record_order(w, ORDER_UNKNOWN);
    end_work(w);
}

static const CaroChannelEvents channel_events = {.on_head = on_head,
                                                 .on_body = on_body,
                                                 .on_end = on_end,
                                                 .on_failure = on_failure};

static bool
is_listed(const AddressList *list, const char *address)
{
    for (int i = 0; i < list->n; i++) {
        if (strcmp(list->addresses[i], address) == 0) {
            return true;
        }
    }
    return false;
}

static void
on_addresses(void *context, int code, int status, const char *body,
             size_t size, bool is_sent, const CaroHttpHead *head)
{
    AddressList *list = context;
    (void)is_sent;
    (void)head;
    list->is_request_pending = false;
    json_t *root =
        code == 0 && status == 200 ? json_loadb(body, size, 0, NULL) : NULL;
    json_t *addresses = json_object_get(root, "addresses");
    size_t i;
    json_t *value;
    if (json_array_size(addresses) > 0) {
        list->n = 0;
        json_array_foreach(addresses, i, value)
        {
            if (list->n < ADDRESSES_MAX) {
                CARO_COPY(list->addresses[list->n], json_string_value(value));
                list->n++;
            }
        }
    }
    json_decref(root);
}

static void
request_addresses(GatewayLoad *load, int domain, CaroTime now)
{
    char path[160];
    AddressList *list = &load->lists[domain];
    if (list->is_request_pending || now - list->requested_at < ADDRESS_TTL) {
        return;
    }
    int i = (int)gsl_rng_uniform_int(load->rng,
                                     (unsigned long)load->n_directories);
    (void)snprintf(path, sizeof(path), "%s?name=%s&region=r1&zone=d%d",
                   CaroPlatform_AddressesPath(), load->host, domain + 1);
    CaroHttpCall call = {.address = load->directories[i],
                         .path = path,
                         .method = "GET",
                         .timeout = ADDRESS_TTL};
    list->load = load;
    list->is_request_pending = true;
    list->requested_at = now;
    CaroHttp_Call(load->base, &call, on_addresses, list);
}

static void
write_request(const Worker *w, struct evbuffer *out)
{
    static const char *const paths[] = {"/s/", "/o/", "/l/"};
    evbuffer_add_printf(
        out,
        "%s %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 8000\r\n",
        w->kind == WORK_LOOKUP ? "GET" : "POST", paths[w->kind], w->id,
        w->load->host, CaroPlatform_HeaderName(CARO_HEADER_REQUEST_ID), w->id,
        CaroPlatform_HeaderName(CARO_HEADER_API_KEY), w->load->key,
        CaroPlatform_HeaderName(CARO_HEADER_TIME_LEFT));
    if (w->kind == WORK_STREAM) {
        evbuffer_add_printf(out, "%s: %d,%d\r\n",
                            CaroPlatform_HeaderName(CARO_HEADER_TOKEN_COUNTS),
                            PROMPT_TOKENS, EVENTS_PER_STREAM);
        if (w->last_id > 0) {
            evbuffer_add_printf(
                out, "%s: %lld\r\n",
                CaroPlatform_HeaderName(CARO_HEADER_LAST_EVENT_ID),
                (long long)w->last_id);
        }
    }
    if (w->kind == WORK_LOOKUP) {
        evbuffer_add_printf(out, "\r\n");
    }
    else {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n%s",
                            strlen(w->body), w->body);
    }
}

/* Chooses new work, or resumes the stream; both with a new request id. */
static void
prepare_work(Worker *w, CaroTime now)
{
    GatewayLoad *load = w->load;
    bool is_resume = w->last_id > 0;
    (void)snprintf(w->id, sizeof(w->id), "w%ld-%016llx", ++load->n_requests,
                   (unsigned long long)gsl_rng_get(load->rng));
    if (!is_resume) {
        w->kind = (WorkKind)gsl_rng_uniform_int(load->rng, WORK_KINDS);
        (void)snprintf(w->body, sizeof(w->body), "body of %s", w->id);
        w->started_at = now;
        w->worst_gap = 0;
    }
}

static void
begin_work(Worker *w)
{
    GatewayLoad *load = w->load;
    CaroTime now = CaroClock_Now();
    if (now >= load->ends_at && w->last_id == 0) {
        close_channel(w);
        load->n_running--;
        return;
    }
    const AddressList *list = &load->lists[w->domain];
    request_addresses(load, w->domain, now);
    if (list->n == 0) {
        set_timer(w, 50 * CARO_MS);
        return;
    }
    /* The peer may have closed the connection since the last response. */
    bool is_left = !load->is_soak && !is_listed(list, w->address);
    if (w->channel != NULL &&
        (is_left || !CaroChannel_IsReusable(w->channel))) {
        close_channel(w);
    }
    w->is_kept = w->channel != NULL;
    if (w->channel == NULL) {
        CARO_COPY(w->address, list->addresses[gsl_rng_uniform_int(
                                  load->rng, (unsigned long)list->n)]);
        w->channel = CaroChannel_Open(load->base, w->address, CONNECT_TIMEOUT);
    }
    struct evbuffer *out = evbuffer_new();
    if (w->channel == NULL || out == NULL) {
        abort(); /* Without file descriptors the load measures nothing. */
    }
    prepare_work(w, now);
    w->sent_at = now;
    w->stall = 0;
    w->sent_at_ms = CaroClock_WallMs();
    CaroEventStream_Reset(w->events);
    write_request(w, out);
    CaroChannel_Start(w->channel, out, false, &channel_events, w);
    evbuffer_free(out);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    begin_work(arg);
}

/* Measures how long this process did not run; a request is written in the
   turn of the loop after the one that prepared it. */
static void
on_turn(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GatewayLoad *load = arg;
    CaroTime now = CaroClock_Now();
    CaroTime stall = load->last_turn_at == 0 ? 0 : now - load->last_turn_at;
    load->last_turn_at = now;
    for (int i = 0; i < load->n_workers; i++) {
        Worker *w = &load->workers[i];
        w->stall = stall > w->stall ? stall : w->stall;
    }
}

static void
on_end_check(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    GatewayLoad *load = arg;
    if (load->n_running == 0) {
        event_base_loopbreak(load->base);
    }
}

/* How often one target ran the order; -1 while it has not answered. */
static void
on_order_runs(void *context, int code, int status, const char *body,
              size_t size, bool is_sent, const CaroHttpHead *head)
{
    int *runs = context;
    (void)is_sent;
    (void)head;
    if (code == 0 && status == 200 && size > 0) {
        *runs = (int)strtol(body, NULL, 10);
    }
}

/* Returns how often an order ran at all targets.  One that does not answer,
   because it is frozen, is asked again. */
static int
count_runs(GatewayLoad *load, const char *id, char **targets, int n)
{
    enum { TRIES_MAX = 4 };
    char path[80];
    int runs[BENCH_NODES_MAX];
    int sum = 0;
    (void)snprintf(path, sizeof(path), "/ran?id=%s", id);
    for (int i = 0; i < n; i++) {
        runs[i] = -1;
    }
    for (int tries = 0; tries < TRIES_MAX; tries++) {
        for (int i = 0; i < n; i++) {
            CaroHttpCall call = {.address = targets[i],
                                 .path = path,
                                 .method = "GET",
                                 .timeout = CARO_SECOND};
            if (runs[i] < 0) {
                CaroHttp_Call(load->base, &call, on_order_runs, &runs[i]);
            }
        }
        event_base_dispatch(load->base);
    }
    for (int i = 0; i < n; i++) {
        sum += runs[i] < 0 ? 0 : runs[i];
    }
    return sum;
}

/* Compares the outcomes of the orders with their runs. */
static void
audit(GatewayLoad *load, char **targets, int n)
{
    int ran_twice = 0;
    int refused_but_ran = 0;
    int answered_but_not_run = 0;
    for (int i = 0; i < load->n_orders; i++) {
        int runs = count_runs(load, load->orders[i].id, targets, n);
        if (runs > 1) {
            (void)printf("order ran %d times: id=%s\n", runs,
                         load->orders[i].id);
        }
        ran_twice += runs > 1;
        refused_but_ran +=
            load->orders[i].outcome == ORDER_NOT_RUN && runs > 0;
        answered_but_not_run +=
            load->orders[i].outcome == ORDER_RAN && runs == 0;
    }
    (void)printf("orders=%d ran_twice=%d refused_but_ran=%d "
                 "answered_but_not_run=%d\n",
                 load->n_orders, ran_twice, refused_but_ran,
                 answered_but_not_run);
    load->wrong += ran_twice + refused_but_ran + answered_but_not_run;
}

static void
print_troubles(GatewayLoad *load, char **targets, int n)
{
    static const char *const kinds[] = {"stream", "order", "lookup"};
    for (int i = 0; i < load->n_troubles; i++) {
        const Trouble *t = &load->troubles[i];
        (void)printf("trouble sent=%lld ended=%lld address=%s kind=%s "
                     "status=%d runs=%d kept=%d stall=%lld last_event=%lld "
                     "id=%s\n",
                     (long long)t->sent_at_ms, (long long)t->ended_at_ms,
                     t->address, kinds[t->kind], t->status,
                     count_runs(load, t->id, targets, n), t->is_kept,
                     (long long)(t->stall / CARO_MS), (long long)t->last_id,
                     t->id);
    }
}

static void
start_workers(GatewayLoad *load)
{
    for (int i = 0; i < load->n_workers; i++) {
        Worker *w = &load->workers[i];
        w->load = load;
        w->domain = i % DOMAINS;
        w->timer = event_new(load->base, -1, 0, on_timer, w);
        w->events = CaroEventStream_Create();
        if (w->timer == NULL || w->events == NULL) {
            abort();
        }
        load->n_running++;
        set_timer(w, i * 10 * CARO_MS);
    }
}

static void
free_load(GatewayLoad *load)
{
    for (int i = 0; i < load->n_workers; i++) {
        close_channel(&load->workers[i]);
        event_free(load->workers[i].timer);
        CaroEventStream_Destroy(load->workers[i].events);
    }
    Samples_Free(&load->gap_ms);
    Samples_Free(&load->plain_ms);
    gsl_rng_free(load->rng);
    CaroHttp_FreeFinishedCalls(load->base);
    event_base_free(load->base);
}

int
Bench_RunGateway(const GatewayLoadOptions *o)
{
    static GatewayLoad load;
    load.base = event_base_new();
    load.directories = o->directories;
    load.n_directories = o->n_directories;
    load.host = o->host;
    load.key = o->key;
    load.is_soak = o->pause_ms > 0;
    load.pause_ms = o->pause_ms;
    load.n_workers = o->workers < WORKERS_MAX ? o->workers : WORKERS_MAX;
    load.rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(load.rng, o->seed);
    CaroTime start = CaroClock_Now();
    load.ends_at = start + (CaroTime)(o->seconds * (double)CARO_SECOND);
    start_workers(&load);
    struct event *end_timer =
        event_new(load.base, -1, EV_PERSIST, on_end_check, &load);
    struct timeval period = {.tv_usec = 100 * CARO_MS};
    (void)event_add(end_timer, &period);
    struct event *turn_timer =
        event_new(load.base, -1, EV_PERSIST, on_turn, &load);
    struct timeval turn = {.tv_usec = 10 * CARO_MS};
    (void)event_add(turn_timer, &turn);
    event_base_dispatch(load.base);
    event_free(turn_timer);
    event_free(end_timer);
    audit(&load, o->targets, o->n_targets);
    print_troubles(&load, o->targets, o->n_targets);
    double p99 = Samples_Quantile(&load.gap_ms, 0.99);
    (void)printf("streams=%ld gone_on=%ld plain=%ld refused=%ld failed=%ld "
                 "wrong=%ld gap_p50_ms=%.0f gap_p99_ms=%.0f "
                 "plain_p50_ms=%.0f\n",
                 load.whole, load.resumes, load.plain_responses, load.refused,
                 load.failed, load.wrong, Samples_Quantile(&load.gap_ms, 0.5),
                 p99, Samples_Quantile(&load.plain_ms, 0.5));
    int rc = load.wrong > 0 || load.whole == 0 || load.plain_responses == 0 ||
                     (o->gap_max_ms > 0 && p99 > o->gap_max_ms)
                 ? 1
                 : 0;
    free_load(&load);
    return rc;
}
