/*
 * "carobench prompts": streams whose prompts share parts, and some with a part
 * that crashes engines, through gateways.
 *
 * Requests begin at fixed rates, whether earlier ones are answered or not.
 * Each is sent on a new connection to a random gateway; one that fails is
 * tried again, a refused one after its Retry-After, until its time is over.
 * The result counts the sound requests whose first try was served, over the
 * whole run and over its second half.
 */
#include "bench.h"

#include "internal/caro_channel.h"
#include "internal/caro_clock.h"
#include "internal/caro_event_stream.h"
#include "internal/caro_platform.h"

#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

enum { FIRST_PARTS = 4, EVENTS = 30, PROMPT_TOKENS = 400, TRIES_MAX = 4 };
#define REQUEST_TIME (8 * CARO_SECOND)
#define CONNECT_TIMEOUT (1 * CARO_SECOND)
#define RETRY_DELAY (100 * CARO_MS)

typedef struct Caller {
    struct PromptLoad *load;
    CaroChannel *channel;
    CaroEventStream *events;
    struct event *timer;
    bool is_deadly;
    bool is_in_second_half;
    int tries;
    int number;
    int status;
    int64_t last_id;
    CaroTime deadline;
    CaroTime retry_after;
} Caller;

typedef struct PromptLoad {
    const PromptLoadOptions *options;
    struct event_base *base;
    gsl_rng *rng;
    CaroTime started_at;
    long n_sound;
    long n_deadly;
    int n_running;
    long sound, sound_late, first, first_late, served, refused;
} PromptLoad;

static void begin_try(Caller *c);

static void
finish(Caller *c)
{
    c->load->n_running--;
    CaroChannel_Destroy(c->channel);
    CaroEventStream_Destroy(c->events);
    event_free(c->timer);
    free(c);
}

/* Ends the try, and the request when there is no other. */
static void
end_try(Caller *c, bool is_served)
{
    PromptLoad *load = c->load;
    CaroTime now = CaroClock_Now();
    CaroTime delay = c->retry_after > 0 ? c->retry_after : RETRY_DELAY;
    struct timeval t = {.tv_sec = delay / CARO_SECOND,
                        .tv_usec = delay % CARO_SECOND};
    if (is_served && !c->is_deadly) {
        load->served++;
        load->first += c->tries == 1;
        load->first_late += c->tries == 1 && c->is_in_second_half;
    }
    if (is_served || c->tries == TRIES_MAX || now + delay >= c->deadline) {
        finish(c);
        return;
    }
    CaroChannel_Destroy(c->channel);
    c->channel = NULL;
    CaroEventStream_Reset(c->events);
    (void)event_add(c->timer, &t);
}

static void
on_head(void *context, const CaroHttpHead *head)
{
    Caller *c = context;
    CaroText wait = CaroHttpHead_Find(
        head, CaroPlatform_HeaderName(CARO_HEADER_RETRY_AFTER));
    c->status = head->status;
    c->retry_after =
        wait.at == NULL ? 0 : (CaroTime)(strtod(wait.at, NULL) * CARO_SECOND);
    c->load->refused += head->status == 503;
}

static void
on_body(void *context, CaroText bytes)
{
    Caller *c = context;
    CaroEvent event;
    if (c->status == 200) {
        (void)CaroEventStream_Feed(c->events, bytes);
        while (CaroEventStream_Next(c->events, &event)) {
            c->last_id = event.id;
        }
    }
}

static void
on_end(void *context)
{
    Caller *c = context;
    bool is_plain = c->load->options->path[1] != 's';
    end_try(c, c->status == 200 && (is_plain || c->last_id == EVENTS));
}

static void
on_failure(void *context, int code, const char *reason)
{
    (void)code;
    (void)reason;
    end_try(context, false);
}

static const CaroChannelEvents channel_events = {.on_head = on_head,
                                                 .on_body = on_body,
                                                 .on_end = on_end,
                                                 .on_failure = on_failure};

static void
write_request(const Caller *c, struct evbuffer *out)
{
    const PromptLoadOptions *o = c->load->options;
    int first = c->number % FIRST_PARTS;
    char id[64];
    (void)snprintf(id, sizeof(id), "p%s%d-%d", c->is_deadly ? "d" : "s",
                   c->number, c->tries);
    evbuffer_add_printf(
        out,
        "POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %lld\r\n"
        "%s: f%d:200,%s%s%x:200\r\n",
        o->path, id, o->host, CaroPlatform_HeaderName(CARO_HEADER_REQUEST_ID),
        id, CaroPlatform_HeaderName(CARO_HEADER_API_KEY), o->key,
        CaroPlatform_HeaderName(CARO_HEADER_TIME_LEFT),
        (long long)((c->deadline - CaroClock_Now()) / CARO_MS),
        CaroPlatform_HeaderName(CARO_HEADER_PROMPT_PARTS), first,
        c->is_deadly ? "dead:200," : "", o->has_middle_parts ? "abc:100," : "",
        c->number);
    if (o->path[1] == 's') {
        evbuffer_add_printf(out, "%s: %d,%d\r\n",
                            CaroPlatform_HeaderName(CARO_HEADER_TOKEN_COUNTS),
                            PROMPT_TOKENS, EVENTS);
    }
    if (c->last_id > 0) {
        evbuffer_add_printf(out, "%s: %lld\r\n",
                            CaroPlatform_HeaderName(CARO_HEADER_LAST_EVENT_ID),
                            (long long)c->last_id);
    }
    evbuffer_add_printf(out, "Content-Length: 0\r\n\r\n");
}

static void
begin_try(Caller *c)
{
    const PromptLoadOptions *o = c->load->options;
    const char *front = o->fronts[gsl_rng_uniform_int(
        c->load->rng, (unsigned long)o->n_fronts)];
    struct evbuffer *out = evbuffer_new();
    c->channel = CaroChannel_Open(c->load->base, front, CONNECT_TIMEOUT);
    if (c->channel == NULL || out == NULL) {
        abort(); /* Without file descriptors the load measures nothing. */
    }
    c->tries++;
    c->status = 0;
    c->retry_after = 0;
    write_request(c, out);
    CaroChannel_Start(c->channel, out, false, &channel_events, c);
    evbuffer_free(out);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    begin_try(arg);
}

static void
begin_request(PromptLoad *load, bool is_deadly, CaroTime now)
{
    Caller *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    c->load = load;
    c->is_deadly = is_deadly;
    c->number = (int)(is_deadly ? load->n_deadly++ : load->n_sound++);
    c->is_in_second_half =
        now - load->started_at >=
        (CaroTime)(load->options->seconds * (double)CARO_SECOND / 2.0);
    c->deadline = now + REQUEST_TIME;
    c->events = CaroEventStream_Create();
    c->timer = event_new(load->base, -1, 0, on_retry, c);
    load->n_running++;
    if (!is_deadly) {
        load->sound++;
        load->sound_late += c->is_in_second_half;
    }
    begin_try(c);
}

/* Begins the requests that are due. */
static void
on_turn(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    PromptLoad *load = arg;
    const PromptLoadOptions *o = load->options;
    CaroTime now = CaroClock_Now();
    double time = (double)(now - load->started_at) / (double)CARO_SECOND;
    if (time >= o->seconds) {
        if (load->n_running == 0) {
            event_base_loopbreak(load->base);
        }
        return;
    }
    while ((double)load->n_sound < time * o->sound_rate) {
        begin_request(load, false, now);
    }
    double deadly_time = time - o->deadly_after_s;
    while (deadly_time > 0.0 &&
           (double)load->n_deadly < deadly_time * o->deadly_rate) {
        for (int i = 0; i < o->deadly_burst; i++) {
            begin_request(load, true, now);
        }
    }
}

int
Bench_RunPrompts(const PromptLoadOptions *o)
{
    PromptLoad load = {.options = o, .base = event_base_new()};
    load.rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(load.rng, o->seed);
    load.started_at = CaroClock_Now();
    struct event *turn = event_new(load.base, -1, EV_PERSIST, on_turn, &load);
    struct timeval period = {.tv_usec = 10 * CARO_MS};
    (void)event_add(turn, &period);
    event_base_dispatch(load.base);
    event_free(turn);
    (void)printf("sound=%ld first_served=%ld served=%ld second_half=%ld "
                 "second_half_first_served=%ld deadly=%ld refused=%ld\n",
                 load.sound, load.first, load.served, load.sound_late,
                 load.first_late, load.n_deadly, load.refused);
    gsl_rng_free(load.rng);
    event_base_free(load.base);
    return 0;
}
