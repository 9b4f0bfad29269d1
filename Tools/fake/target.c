/*
 * A stand-in for an upstream of the platform: an engine that streams
 * events, or a plain service, by the request.  It registers itself, and
 * answers GET /ran?id=ID with how often it ran a request.
 *
 * Faults: lose (share of plain requests whose answer is lost after they
 * ran), fail (share that fail), torn (share of streams that break off in an
 * event), leave=1 (its entry says that it leaves).
 */
#include "fake.h"

#include "internal/caro_clock.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include <xxhash.h>

#define HEARTBEAT (300 * CARO_MS)
#define ENTRY_TTL_MS 1000

typedef struct Run {
    char *id;
    int count;
    UT_hash_handle hh;
} Run;

typedef struct {
    struct event_base *base;
    const FakeOptions *options;
    Run *runs;
    double lose_rate;
    double fail_rate;
    double torn_rate;
    bool is_leaving;
    int running;
    long total; /* Requests that ran. */
    int64_t started_at_ms;
} Target;

/* A request in work. */
typedef struct {
    Target *target;
    struct evhttp_request *req; /* NULL when its caller left. */
    struct event *timer;
    bool is_stream;
    bool is_torn;
    uint64_t seed; /* Of the events' text: a hash of the body. */
    int64_t at;    /* Last event sent. */
    int64_t last;
    char id[128];
} Work;

static double
draw(void)
{
    return (double)(CaroClock_Random() >> 11) / 9007199254740992.0;
}

static void
set_timer(Work *w, CaroTime wait)
{
    struct timeval t = {.tv_sec = wait / CARO_SECOND,
                        .tv_usec = wait % CARO_SECOND};
    (void)event_add(w->timer, &t);
}

static void
free_work(Work *w)
{
    w->target->running--;
    if (w->req != NULL) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(w->req),
                                      NULL, NULL);
    }
    event_free(w->timer);
    free(w);
}

static void
on_caller_closed(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    Work *w = arg;
    w->req = NULL;
    free_work(w);
}

static void
add_headers(const Work *w)
{
    char load[64];
    struct evkeyvalq *out = evhttp_request_get_output_headers(w->req);
    (void)snprintf(load, sizeof(load), "%d,0,64", w->target->running);
    evhttp_add_header(out, "X-Attempt-Id", w->id);
    evhttp_add_header(out, "X-Response-Seal", w->target->options->name);
    evhttp_add_header(out, "X-Server-Load", load);
    evhttp_add_header(out, "Keep-Alive", "timeout=5");
}

static void
count_run(Target *t, const char *id)
{
    Run *run;
    HASH_FIND(hh, t->runs, id, strlen(id), run);
    if (run == NULL) {
        run = calloc(1, sizeof(*run));
        if (run == NULL || (run->id = strdup(id)) == NULL) {
            abort();
        }
        HASH_ADD_KEYPTR(hh, t->runs, run->id, strlen(run->id), run);
    }
    run->count++;
    t->total++;
}

static void
drop(Work *w)
{
    struct evhttp_connection *c = evhttp_request_get_connection(w->req);
    free_work(w);
    evhttp_connection_free(c);
}

static void
finish_plain(Work *w)
{
    Target *t = w->target;
    count_run(t, w->id);
    if (draw() < t->lose_rate) {
        drop(w);
        return;
    }
    struct evhttp_request *req = w->req;
    bool is_failed = draw() < t->fail_rate;
    char text[192];
    add_headers(w);
    (void)snprintf(text, sizeof(text), "ran %s\n", w->id);
    free_work(w);
    CaroHttp_Text(req, is_failed ? HTTP_INTERNAL : HTTP_OK, text);
}

static void
send_event(Work *w)
{
    struct evbuffer *buf = evbuffer_new();
    w->at++;
    evbuffer_add_printf(
        buf, "id: %lld\ndata: %016llx\n\n", (long long)w->at,
        (unsigned long long)XXH64(&w->at, sizeof(w->at), w->seed));
    if (w->is_torn && w->at > w->last / 2) {
        struct evbuffer *half = evbuffer_new();
        evbuffer_remove_buffer(buf, half, 9);
        evhttp_send_reply_chunk(w->req, half);
        evbuffer_free(half);
        evbuffer_free(buf);
        drop(w);
        return;
    }
    evhttp_send_reply_chunk(w->req, buf);
    evbuffer_free(buf);
    if (w->at >= w->last) {
        struct evhttp_request *req = w->req;
        free_work(w);
        evhttp_send_reply_end(req);
        return;
    }
    set_timer(w, w->target->options->step_us);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Work *w = arg;
    if (!w->is_stream) {
        finish_plain(w);
        return;
    }
    if (w->target->running > 0 && w->at < w->last) {
        send_event(w);
    }
}

/* An answer with a status alone, for what does not run. */
static void
refuse(Target *t, struct evhttp_request *req, int status)
{
    struct evkeyvalq *out = evhttp_request_get_output_headers(req);
    evhttp_add_header(out, "X-Not-Executed", "1");
    evhttp_add_header(out, "X-Instance-Id", t->options->name);
    CaroHttp_Text(req, status, "");
}

static void
start_stream(Work *w, const char *tokens)
{
    int64_t prompt = strtoll(tokens, NULL, 10);
    const char *comma = strchr(tokens, ',');
    const char *last = CaroHttp_Header(w->req, "Last-Event-Id");
    const char *from = CaroHttp_Header(w->req, "Kv-From");
    w->is_stream = true;
    w->last = comma == NULL ? 1 : strtoll(comma + 1, NULL, 10);
    w->at = last == NULL ? 0 : strtoll(last, NULL, 10);
    w->is_torn = draw() < w->target->torn_rate;
    count_run(w->target, w->id);
    add_headers(w);
    evhttp_add_header(evhttp_request_get_output_headers(w->req),
                      "Content-Type", "text/event-stream");
    evhttp_send_reply_start(w->req, HTTP_OK, NULL);
    if (w->at >= w->last) {
        struct evhttp_request *req = w->req;
        free_work(w);
        evhttp_send_reply_end(req);
        return;
    }
    /* What was copied need not be read again. */
    set_timer(w, from != NULL ? w->target->options->step_us
                              : prompt * w->target->options->prefill_us);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
    Target *t = arg;
    const char *wanted = CaroHttp_Header(req, "X-Expect-Instance");
    const char *id = CaroHttp_Header(req, "X-Attempt-Id");
    const char *tokens = CaroHttp_Header(req, "X-Token-Usage");
    size_t size;
    if (wanted == NULL || strcmp(wanted, t->options->name) != 0) {
        refuse(t, req, 421);
        return;
    }
    if (id == NULL || CaroHttp_Header(req, "X-Api-Key") != NULL ||
        CaroHttp_Header(req, "X-Deadline-Ms") == NULL) {
        refuse(t, req, HTTP_BADREQUEST);
        return;
    }
    Work *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        abort();
    }
    const char *body = CaroHttp_Body(req, &size);
    w->target = t;
    w->req = req;
    w->seed = XXH64(body, size, 0);
    w->timer = event_new(t->base, -1, 0, on_timer, w);
    CARO_COPY(w->id, id);
    t->running++;
    evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                  on_caller_closed, w);
    if (tokens != NULL) {
        start_stream(w, tokens);
    }
    else {
        set_timer(w, t->options->work_ms * CARO_MS);
    }
}

static void
on_ran(struct evhttp_request *req, void *arg)
{
    Target *t = arg;
    char id[128] = "";
    char text[32];
    Run *run;
    (void)CaroHttp_Query(req, "id", id, sizeof(id));
    HASH_FIND(hh, t->runs, id, strlen(id), run);
    (void)snprintf(text, sizeof(text), "%d\n", run == NULL ? 0 : run->count);
    CaroHttp_Text(req, HTTP_OK, text);
}

static void
on_fault(struct evhttp_request *req, void *arg)
{
    Target *t = arg;
    char text[64];
    t->lose_rate = Fake_Number(req, "lose", t->lose_rate);
    t->fail_rate = Fake_Number(req, "fail", t->fail_rate);
    t->torn_rate = Fake_Number(req, "torn", t->torn_rate);
    t->is_leaving = Fake_Number(req, "leave", t->is_leaving) > 0.0;
    (void)snprintf(text, sizeof(text), "running %d\ntotal %ld\n", t->running,
                   t->total);
    CaroHttp_Text(req, HTTP_OK, text);
}

static void
on_registered(void *context, int code, int status, const char *body,
              size_t size, bool is_sent, const struct evkeyvalq *headers)
{
    (void)context;
    (void)code;
    (void)status;
    (void)body;
    (void)size;
    (void)is_sent;
    (void)headers;
}

static void
on_heartbeat(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Target *t = arg;
    char path[160];
    char entry[512];
    (void)snprintf(path, sizeof(path), "/write?key=servers/%s&ttl_ms=%d",
                   t->options->name, ENTRY_TTL_MS);
    int n = snprintf(
        entry, sizeof(entry),
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
        "\"version\":\"%s\",\"slots\":64,\"state\":\"%s\",\"born\":%lld}",
        t->options->service, t->options->listen, t->options->domain,
        t->options->version, t->is_leaving ? "draining" : "ready",
        (long long)t->started_at_ms);
    CaroHttpCall call = {.address = t->options->registry,
                         .path = path,
                         .method = EVHTTP_REQ_POST,
                         .body = entry,
                         .size = (size_t)n,
                         .timeout = HEARTBEAT};
    CaroHttp_Call(t->base, &call, on_registered, NULL);
}

int
FakeTarget_Run(const FakeOptions *options)
{
    static Target t;
    if (options->registry == NULL) {
        (void)fprintf(stderr, "carofake: a target needs --registry\n");
        return 2;
    }
    t.options = options;
    t.started_at_ms = CaroClock_WallMs();
    t.base = event_base_new();
    struct evhttp *http = Fake_Serve(t.base, options->listen);
    struct event *beat = event_new(t.base, -1, EV_PERSIST, on_heartbeat, &t);
    struct timeval period = {.tv_usec = HEARTBEAT};
    if (http == NULL || beat == NULL) {
        return 1;
    }
    (void)event_add(beat, &period);
    on_heartbeat(-1, 0, &t);
    evhttp_set_cb(http, "/ran", on_ran, &t);
    evhttp_set_cb(http, "/fault", on_fault, &t);
    evhttp_set_gencb(http, on_request, &t);
    int rc = Fake_Loop(t.base);
    event_free(beat);
    evhttp_free(http);
    event_base_free(t.base);
    return rc;
}
