/*
 * "carobench load": an open-loop load.  Arrivals follow their own schedule
 * and do not wait for responses.
 */
#include "bench.h"

#include <gsl/gsl_randist.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

typedef enum { ARRIVAL_GENERATION, ARRIVAL_ORDER } ArrivalKind;

/* A Poisson process of arrivals. */
typedef struct {
    Load *load;
    ArrivalKind kind;
    double rate;
    struct event *timer;
} Arrivals;

static void
schedule_arrival(Arrivals *a)
{
    double delay = gsl_ran_exponential(a->load->rng, 1.0 / a->rate);
    struct timeval t = {.tv_sec = (time_t)delay};
    t.tv_usec = (suseconds_t)((delay - (double)t.tv_sec) * 1e6);
    event_add(a->timer, &t);
}

static void
on_arrival(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Arrivals *a = arg;
    if (a->load->are_arrivals_over) {
        return;
    }
    schedule_arrival(a);
    switch (a->kind) {
    case ARRIVAL_GENERATION:
        Caller_Start(a->load);
        break;
    case ARRIVAL_ORDER:
        OrderCaller_Start(a->load);
        break;
    }
}

void
Load_OnFinished(Load *load)
{
    load->n_unfinished--;
    if (load->are_arrivals_over && load->n_unfinished == 0) {
        event_base_loopbreak(load->base);
    }
}

static void
on_arrivals_end(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Load *load = arg;
    load->are_arrivals_over = true;
    if (load->n_unfinished == 0) {
        event_base_loopbreak(load->base);
    }
}

static void
start_arrivals(Arrivals *a, Load *load, ArrivalKind kind, double rate)
{
    a->load = load;
    a->kind = kind;
    a->rate = rate;
    a->timer = evtimer_new(load->base, on_arrival, a);
    if (rate > 0.0) {
        schedule_arrival(a);
    }
}

static void
print_samples(const char *name, Samples *s)
{
    (void)printf("%-14s n=%zu p50=%.1f p95=%.1f p99=%.1f max=%.1f ms\n", name,
                 s->n, Samples_Quantile(s, 0.5), Samples_Quantile(s, 0.95),
                 Samples_Quantile(s, 0.99), Samples_Quantile(s, 1.0));
}

static void
print_result(LoadResult *r)
{
    (void)printf("generations    started=%ld whole=%ld refused=%ld lost=%ld "
                 "given_up=%ld\n",
                 r->started, r->whole, r->refused, r->lost, r->given_up);
    (void)printf("tokens         all=%ld missing=%ld repeated=%ld mixed=%ld\n",
                 r->tokens, r->missing, r->repeated, r->mixed);
    (void)printf("reconnects     %ld cut=%ld\n", r->reconnects, r->cut);
    print_samples("first_token", &r->first_ms);
    print_samples("gap", &r->gap_ms);
    print_samples("worst_gap", &r->worst_gap_ms);
    if (r->orders > 0) {
        (void)printf("orders         all=%ld done=%ld not_run=%ld "
                     "unknown=%ld\n",
                     r->orders, r->orders_done, r->orders_not_run,
                     r->orders_unknown);
        print_samples("order", &r->order_ms);
    }
}

static void
write_json(const char *file, LoadResult *r)
{
    json_t *value = json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, "
        "s:o, "
        "s:I, s:I, s:I, s:I, s:o}",
        "cut", (json_int_t)r->cut, "started", (json_int_t)r->started, "whole",
        (json_int_t)r->whole, "refused", (json_int_t)r->refused, "lost",
        (json_int_t)r->lost, "given_up", (json_int_t)r->given_up, "tokens",
        (json_int_t)r->tokens, "missing", (json_int_t)r->missing, "repeated",
        (json_int_t)r->repeated, "mixed", (json_int_t)r->mixed, "reconnects",
        (json_int_t)r->reconnects, "first_ms", Samples_Json(&r->first_ms),
        "gap_ms", Samples_Json(&r->gap_ms), "worst_gap_ms",
        Samples_Json(&r->worst_gap_ms), "orders", (json_int_t)r->orders,
        "orders_done", (json_int_t)r->orders_done, "orders_not_run",
        (json_int_t)r->orders_not_run, "orders_unknown",
        (json_int_t)r->orders_unknown, "order_ms", Samples_Json(&r->order_ms));
    if (json_dump_file(value, file, JSON_INDENT(2)) < 0) {
        (void)fprintf(stderr, "carobench: cannot write %s\n", file);
    }
    json_decref(value);
}

int
Bench_RunLoad(const LoadOptions *options)
{
    Load load = {.options = options};
    Arrivals generations;
    Arrivals orders;
    load.base = event_base_new();
    load.rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(load.rng, options->seed);
    if (options->orders_file != NULL) {
        load.orders_log = fopen(options->orders_file, "we");
    }
    (void)signal(SIGPIPE, SIG_IGN);
    start_arrivals(&generations, &load, ARRIVAL_GENERATION, options->rate);
    start_arrivals(&orders, &load, ARRIVAL_ORDER,
                   options->service == NULL ? 0.0 : options->order_rate);
    struct event *end_timer = evtimer_new(load.base, on_arrivals_end, &load);
    struct timeval t = {.tv_sec = (time_t)options->seconds};
    t.tv_usec = (suseconds_t)((options->seconds - (double)t.tv_sec) * 1e6);
    event_add(end_timer, &t);
    event_base_dispatch(load.base);
    if (load.orders_log != NULL) {
        (void)fclose(load.orders_log);
    }
    print_result(&load.result);
    if (options->json_file != NULL) {
        write_json(options->json_file, &load.result);
    }
    LoadResult *r = &load.result;
    bool has_failed = r->missing != 0 || r->repeated != 0 || r->mixed != 0 ||
                      r->given_up != 0;
    Samples_Free(&r->first_ms);
    Samples_Free(&r->gap_ms);
    Samples_Free(&r->worst_gap_ms);
    Samples_Free(&r->order_ms);
    event_free(generations.timer);
    event_free(orders.timer);
    event_free(end_timer);
    gsl_rng_free(load.rng);
    CaroHttp_FreeFinishedCalls(load.base);
    event_base_free(load.base);
    return has_failed ? 1 : 0;
}

int
Bench_RunOneOrder(const LoadOptions *options)
{
    Load load = {.options = options, .are_arrivals_over = true};
    load.base = event_base_new();
    load.rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(load.rng, options->seed);
    (void)signal(SIGPIPE, SIG_IGN);
    OrderCaller_Start(&load);
    event_base_dispatch(load.base);
    LoadResult *r = &load.result;
    (void)printf("order          done=%ld not_run=%ld unknown=%ld\n",
                 r->orders_done, r->orders_not_run, r->orders_unknown);
    Samples_Free(&r->order_ms);
    gsl_rng_free(load.rng);
    CaroHttp_FreeFinishedCalls(load.base);
    event_base_free(load.base);
    return r->orders_done == 1 ? 0 : 1;
}
