/*
 * A fake upstream instance of the platform.  It serves a request with the
 * header X-Token-Usage as an engine does, by a stream of events, and any
 * other as a plain service does.  It keeps its registration in the store
 * alive, and reports at GET /ran?id=ID how often a request was executed, and
 * at GET /account the client account that the last request came with.
 *
 * Faults: lose (fraction of plain requests whose response is lost after
 * execution), fail (fraction of plain requests answered with status 500),
 * torn (fraction of streams that end in the middle of an event), leave=1
 * (the instance is registered as draining), announce=1 (responses say that the
 * instance leaves, its registration does not), refuse (fraction of requests
 * that are refused), repeat (fraction of requests before whose response the
 * last refusal on the connection is written once more, every other time
 * without its id), resume=S (a request for the rest of a stream is answered
 * with the status S and a text, every other time in chunks; 0 ends that).
 *
 * With unavailable=S it refuses all requests for S seconds and says so in
 * them; /fault then tells how many of them arrived later than
 * UNAVAILABLE_SETTLE after the first.  With announce=1 it tells how many
 * requests began later than ANNOUNCE_SETTLE after the first response that said
 * so.
 *
 * With limit=R it names a limit of R requests a second in its responses; 0
 * ends that.  /fault then tells how many requests arrived since LIMIT_SETTLE
 * after it was first named, in what time, and the most of them in
 * LIMIT_WINDOW.
 *
 * With slots=S it runs S plain requests at once, lets queue=Q wait, and
 * rejects others.  With brittle=N its responses say so, and it falls over for
 * FALL_DURATION when it rejects more than N requests in a second: requests are
 * dropped and its registration is not renewed.  /fault tells how often it fell
 * and how many requests it rejected.
 *
 * A request whose prompt has the part "dead" crashes the process in the way
 * that --crash names, see Crash.  --crash-log names a file that gets a line
 * for each such request and each crash.  fake_restart.c starts it again.
 */
#include "fake.h"

#include "internal/caro_clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uthash.h>

#include <xxhash.h>

#define HEARTBEAT_INTERVAL (300 * CARO_MS)
#define REGISTRATION_TTL_MS 1000
/* As the platform judges a limit of requests. */
#define LIMIT_SETTLE (3 * CARO_SECOND)
#define LIMIT_WINDOW (4 * CARO_SECOND)

/* Requests that are under way when the first response says so. */
#define UNAVAILABLE_SETTLE (500 * CARO_MS)
#define ANNOUNCE_SETTLE (500 * CARO_MS)

#define FALL_DURATION (3 * CARO_SECOND)
#define REJECTION_WINDOW (1 * CARO_SECOND)

enum { ARRIVALS_MAX = 8192, REJECTIONS_MAX = 1024 };

#define DEADLY_PART "dead:"

/* What a request has of its response when it crashes the process. */
typedef enum {
    CRASH_NEVER,
    CRASH_WITHOUT_HEAD,
    CRASH_AFTER_HEAD,
    CRASH_IN_EVENT,
    CRASH_AFTER_EVENTS,
    CRASH_HANGING /* The process does nothing until it ends. */
} CrashKind;

typedef struct {
    CrashKind kind;
    int events;     /* Before the crash. */
    CaroTime delay; /* From then, or from the request, to the crash. */
} Crash;

/* The last refusal on the connection from a port. */
typedef struct Refusal {
    int port;
    char id[512];
    UT_hash_handle hh;
} Refusal;

/* Number of executions of one request id. */
typedef struct Run {
    char *id;
    int count;
    UT_hash_handle hh;
} Run;

typedef struct {
    struct event_base *base;
    const FakeOptions *options;
    Crash crash;
    Run *runs;
    double response_loss_rate;
    double fail_rate;
    double torn_stream_rate;
    bool is_draining;
    int running;        /* Requests in progress. */
    long requests_run;  /* Requests executed. */
    char account[1024]; /* Of the last of them; empty for none. */
    int64_t started_at_ms;
    double limit; /* Requests a second; 0 for none. */
    CaroTime limited_at;
    CaroTime arrivals[ARRIVALS_MAX]; /* The last ones in the window. */
    long n_arrivals;                 /* Since LIMIT_SETTLE. */
    long window_max;
    double refuse_rate;
    double repeat_rate;
    int resume_status; /* Of resumes; 0 to serve them. */
    long n_resume_errors;
    Refusal *refusals;
    long n_repeats;
    bool is_announcing;
    CaroTime announced_at; /* First response that said so; 0 before. */
    CaroTime unavailable_until;
    CaroTime unavailable_since; /* First refusal that said so; 0 before. */
    long n_late;                /* Requests against what was announced. */
    int slots;                  /* 0: all requests run at once. */
    int queue;                  /* Plain requests that may wait. */
    int n_busy;                 /* Slots in use. */
    int n_waiting;
    struct PendingRequest *first_waiting;
    int brittle; /* Rejections a second that it bears; 0 for not brittle. */
    CaroTime rejected_at[REJECTIONS_MAX]; /* The last ones; a ring. */
    long n_rejected;
    long n_falls;
    CaroTime down_until;
} Target;

/* A request in progress. */
typedef struct PendingRequest {
    Target *target;
    struct PendingRequest *next_waiting;
    bool is_waiting;
    bool has_slot;
    struct evhttp_request *req; /* NULL after the caller disconnected. */
    struct event *timer;
    bool is_stream;
    bool is_torn;    /* Ends in the middle of an event. */
    bool is_deadly;  /* Crashes the process. */
    uint64_t seed;   /* Hash of the body; determines the events' text. */
    int n_sent;      /* Events of this run. */
    int64_t sent_id; /* Id of the last event sent. */
    int64_t last_id; /* Id of the stream's last event. */
    char id[512];
} PendingRequest;

/* Returns a random number in [0, 1). */
static double
draw_uniform(void)
{
    return (double)(CaroClock_Random() >> 11) / 9007199254740992.0;
}

static void
set_timer(PendingRequest *r, CaroTime delay)
{
    struct timeval t = {.tv_sec = delay / CARO_SECOND,
                        .tv_usec = delay % CARO_SECOND};
    (void)event_add(r->timer, &t);
}

/* Starts the first request that waits. */
static void
start_waiting(Target *t)
{
    PendingRequest *r = t->first_waiting;
    if (r != NULL && t->n_busy < t->slots) {
        t->first_waiting = r->next_waiting;
        t->n_waiting--;
        t->n_busy++;
        r->is_waiting = false;
        r->has_slot = true;
        set_timer(r, t->options->work_ms * CARO_MS);
    }
}

static void
leave_queue(PendingRequest *r)
{
    Target *t = r->target;
    if (r->has_slot) {
        t->n_busy--;
        start_waiting(t);
    }
    for (PendingRequest **at = &t->first_waiting; r->is_waiting && *at != NULL;
         at = &(*at)->next_waiting) {
        if (*at == r) {
            *at = r->next_waiting;
            t->n_waiting--;
            return;
        }
    }
}

static void
free_request(PendingRequest *r)
{
    leave_queue(r);
    r->target->running--;
    if (r->req != NULL) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(r->req),
                                      NULL, NULL);
    }
    event_free(r->timer);
    free(r);
}

/* The timer of a deadly request that has reached its point ends the process.
 */
static bool
is_crash_due(const PendingRequest *r)
{
    switch (r->target->crash.kind) {
    case CRASH_NEVER:
        return false;
    case CRASH_WITHOUT_HEAD:
    case CRASH_HANGING:
    case CRASH_AFTER_HEAD:
        return true;
    case CRASH_IN_EVENT:
        return r->n_sent > 0;
    case CRASH_AFTER_EVENTS:
        return r->n_sent >= r->target->crash.events;
    }
    return false;
}

static void
on_caller_closed(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    PendingRequest *r = arg;
    r->req = NULL;
    if (r->is_deadly && is_crash_due(r)) {
        return; /* It crashes the process all the same. */
    }
    free_request(r);
}

static void
add_announcement(Target *t, struct evkeyvalq *out)
{
    if (t->is_announcing) {
        t->announced_at =
            t->announced_at == 0 ? CaroClock_Now() : t->announced_at;
        evhttp_add_header(out, "Server-Leaving", "1");
    }
}

static void
add_brittle(const Target *t, struct evkeyvalq *out)
{
    char text[16];
    if (t->brittle > 0) {
        (void)snprintf(text, sizeof(text), "%d", t->brittle);
        evhttp_add_header(out, "Server-Brittle", text);
    }
}

static void
add_headers(const PendingRequest *r)
{
    char load[64];
    struct evkeyvalq *out = evhttp_request_get_output_headers(r->req);
    (void)snprintf(load, sizeof(load), "%d,0,64", r->target->running);
    evhttp_add_header(out, "X-Attempt-Id", r->id);
    evhttp_add_header(out, "X-Response-Seal", r->target->options->name);
    evhttp_add_header(out, "X-Server-Load", load);
    evhttp_add_header(out, "Keep-Alive", "timeout=5");
    if (r->target->limit > 0.0) {
        (void)snprintf(load, sizeof(load), "%.3f", r->target->limit);
        evhttp_add_header(out, "Server-Limit", load);
    }
    add_announcement(r->target, out);
    add_brittle(r->target, out);
}

static void
record_arrival(Target *t, CaroTime now)
{
    if (t->limit <= 0.0 || now - t->limited_at < LIMIT_SETTLE) {
        return;
    }
    t->arrivals[t->n_arrivals++ % ARRIVALS_MAX] = now;
    long n = 0;
    while (n < t->n_arrivals && n < ARRIVALS_MAX &&
           now - t->arrivals[(t->n_arrivals - 1 - n) % ARRIVALS_MAX] <
               LIMIT_WINDOW) {
        n++;
    }
    t->window_max = n > t->window_max ? n : t->window_max;
}

static void
record_run(Target *t, const char *id)
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
    t->requests_run++;
}

static void
drop_request(PendingRequest *r)
{
    struct evhttp_connection *c = evhttp_request_get_connection(r->req);
    free_request(r);
    evhttp_connection_free(c);
}

static void
finish_plain(PendingRequest *r)
{
    Target *t = r->target;
    record_run(t, r->id);
    if (draw_uniform() < t->response_loss_rate) {
        drop_request(r);
        return;
    }
    struct evhttp_request *req = r->req;
    bool is_failed = draw_uniform() < t->fail_rate;
    char text[640];
    add_headers(r);
    (void)snprintf(text, sizeof(text), "ran %s\n", r->id);
    free_request(r);
    Fake_SendText(req, is_failed ? HTTP_INTERNAL : HTTP_OK, text);
}

/* Appends a line to the file of crashes. */
static void
log_crash(const Target *t, const char *what, const char *id)
{
    FILE *f = fopen(t->options->crash_log, "a");
    if (f != NULL) {
        (void)fprintf(f, "%lld %s %s %s\n", (long long)CaroClock_WallMs(),
                      what, t->options->name, id);
        (void)fclose(f);
    }
}

/* Parses "KIND:DELAY_MS[:EVENTS]". */
static int
parse_crash(const char *text, Crash *crash)
{
    static const char *const names[] = {
        [CRASH_NEVER] = "never",         [CRASH_WITHOUT_HEAD] = "no-head",
        [CRASH_AFTER_HEAD] = "head",     [CRASH_IN_EVENT] = "in-event",
        [CRASH_AFTER_EVENTS] = "events", [CRASH_HANGING] = "hanging"};
    char name[16];
    int delay_ms;
    crash->events = 1;
    if (sscanf(text, "%15[^:]:%d:%d", name, &delay_ms, &crash->events) < 2) {
        return CARO_ERR_INPUT;
    }
    crash->delay = delay_ms * CARO_MS;
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strcmp(name, names[i]) == 0) {
            crash->kind = (CrashKind)i;
            return 0;
        }
    }
    return CARO_ERR_INPUT;
}

/* Ends the process as a crash does: the system closes its connections. */
static void
end_process(const PendingRequest *r)
{
    log_crash(r->target, "crash", r->id);
    _exit(1);
}

/* Returns whether the request has reached the point from which its crash is
   timed, and starts that. */
static bool
begin_crash(PendingRequest *r)
{
    const Crash *crash = &r->target->crash;
    bool is_due = crash->kind == CRASH_AFTER_EVENTS
                      ? r->n_sent >= crash->events
                      : crash->kind == CRASH_AFTER_HEAD;
    if (!r->is_deadly || !is_due) {
        return false;
    }
    set_timer(r, crash->delay);
    return true;
}

static void
send_event(PendingRequest *r)
{
    if (begin_crash(r)) {
        return;
    }
    struct evbuffer *buf = evbuffer_new();
    r->sent_id++;
    r->n_sent++;
    evbuffer_add_printf(
        buf, "id: %lld\ndata: %016llx\n\n", (long long)r->sent_id,
        (unsigned long long)XXH64(&r->sent_id, sizeof(r->sent_id), r->seed));
    if (r->is_torn && r->sent_id > r->last_id / 2) {
        struct evbuffer *half = evbuffer_new();
        evbuffer_remove_buffer(buf, half, 9);
        evhttp_send_reply_chunk(r->req, half);
        evbuffer_free(half);
        evbuffer_free(buf);
        if (r->is_deadly) {
            set_timer(r, r->target->crash.delay);
            return;
        }
        drop_request(r);
        return;
    }
    evhttp_send_reply_chunk(r->req, buf);
    evbuffer_free(buf);
    if (begin_crash(r)) {
        return;
    }
    if (r->sent_id >= r->last_id) {
        struct evhttp_request *req = r->req;
        free_request(r);
        evhttp_send_reply_end(req);
        return;
    }
    set_timer(r, r->target->options->step_us);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    PendingRequest *r = arg;
    if (r->is_deadly && is_crash_due(r)) {
        end_process(r);
    }
    if (!r->is_stream) {
        finish_plain(r);
        return;
    }
    if (r->target->running > 0 && r->sent_id < r->last_id) {
        send_event(r);
    }
}

/* Responds with a status and marks the request as not executed. */
static void
reject(Target *t, struct evhttp_request *req, int status)
{
    struct evkeyvalq *out = evhttp_request_get_output_headers(req);
    const char *id = Fake_Header(req, "X-Attempt-Id");
    if (id != NULL) {
        evhttp_add_header(out, "X-Attempt-Id", id);
    }
    evhttp_add_header(out, "X-Not-Executed", "1");
    evhttp_add_header(out, "X-Instance-Id", t->options->name);
    add_announcement(t, out);
    add_brittle(t, out);
    Fake_SendText(req, status, "");
}

/* Rejects a request for lack of room, which may make the instance fall. */
static void
reject_for_room(Target *t, struct evhttp_request *req, CaroTime now)
{
    reject(t, req, HTTP_SERVUNAVAIL);
    t->rejected_at[t->n_rejected++ % REJECTIONS_MAX] = now;
    long first = t->n_rejected - 1 - t->brittle;
    if (t->brittle > 0 && first >= 0 && t->brittle < REJECTIONS_MAX &&
        now - t->rejected_at[first % REJECTIONS_MAX] < REJECTION_WINDOW) {
        t->n_falls++;
        t->n_rejected = 0;
        t->down_until = now + FALL_DURATION;
    }
}

static bool
has_room(const Target *t)
{
    return t->slots == 0 || t->n_busy < t->slots || t->n_waiting < t->queue;
}

static int
port_of(struct evhttp_request *req)
{
    char *address;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(req), &address,
                               &port);
    return port;
}

static void
refuse(Target *t, struct evhttp_request *req, const char *id)
{
    int port = port_of(req);
    Refusal *refusal;
    HASH_FIND_INT(t->refusals, &port, refusal);
    if (refusal == NULL) {
        refusal = calloc(1, sizeof(*refusal));
        if (refusal == NULL) {
            abort();
        }
        refusal->port = port;
        HASH_ADD_INT(t->refusals, port, refusal);
    }
    CARO_COPY(refusal->id, id);
    reject(t, req, HTTP_SERVUNAVAIL);
}

/* Writes the last refusal on the connection once more. */
static void
repeat_refusal(Target *t, struct evhttp_request *req)
{
    int port = port_of(req);
    Refusal *refusal;
    HASH_FIND_INT(t->refusals, &port, refusal);
    if (refusal == NULL) {
        return;
    }
    struct evbuffer *out = bufferevent_get_output(
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(req)));
    evbuffer_add_printf(out, "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n");
    if (t->n_repeats++ % 2 == 0) {
        evbuffer_add_printf(out, "X-Attempt-Id: %s\r\n", refusal->id);
    }
    evbuffer_add_printf(out, "Content-Length: 0\r\n\r\n");
}

/* Refuses the request if the instance wants none now, and says for how long.
 */
static bool
refuse_while_unavailable(Target *t, struct evhttp_request *req, CaroTime now)
{
    char seconds[32];
    if (now >= t->unavailable_until) {
        return false;
    }
    if (t->unavailable_since == 0) {
        t->unavailable_since = now;
    }
    t->n_late += now - t->unavailable_since > UNAVAILABLE_SETTLE;
    (void)snprintf(seconds, sizeof(seconds), "%.3f",
                   (double)(t->unavailable_until - now) / (double)CARO_SECOND);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Retry-After",
                      seconds);
    reject(t, req, HTTP_SERVUNAVAIL);
    return true;
}

/* Answers the request for the rest of a stream with a text. */
static void
fail_resume(PendingRequest *r)
{
    Target *t = r->target;
    struct evhttp_request *req = r->req;
    int status = t->resume_status;
    struct evbuffer *text = evbuffer_new();
    bool has_body = status != 204 && status != 302;
    if (has_body) {
        evbuffer_add_printf(text, "HTTP/1.1 500 X\r\n\r\nno such stream\n\n");
    }
    record_run(t, r->id);
    add_headers(r);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "text/plain");
    free_request(r);
    if (t->n_resume_errors++ % 2 == 0 || !has_body) {
        evhttp_send_reply(req, status, "X", text);
    }
    else {
        evhttp_send_reply_start(req, status, "X");
        evhttp_send_reply_chunk(req, text);
        evhttp_send_reply_end(req);
    }
    evbuffer_free(text);
}

static void
start_stream(PendingRequest *r, const char *tokens)
{
    int64_t prompt = strtoll(tokens, NULL, 10);
    const char *comma = strchr(tokens, ',');
    const char *last = Fake_Header(r->req, "Last-Event-Id");
    const char *from = Fake_Header(r->req, "Kv-From");
    r->is_stream = true;
    r->last_id = comma == NULL ? 1 : strtoll(comma + 1, NULL, 10);
    r->sent_id = last == NULL ? 0 : strtoll(last, NULL, 10);
    r->is_torn = draw_uniform() < r->target->torn_stream_rate;
    if (last != NULL && r->target->resume_status != 0) {
        fail_resume(r);
        return;
    }
    record_run(r->target, r->id);
    if (r->is_deadly && r->target->crash.kind == CRASH_WITHOUT_HEAD) {
        set_timer(r, r->target->crash.delay);
        return;
    }
    add_headers(r);
    evhttp_add_header(evhttp_request_get_output_headers(r->req),
                      "Content-Type", "text/event-stream");
    evhttp_send_reply_start(r->req, HTTP_OK, NULL);
    if (begin_crash(r)) {
        return;
    }
    if (r->is_deadly && r->target->crash.kind == CRASH_IN_EVENT) {
        r->is_torn = true;
        r->last_id = 0; /* The first event is torn. */
        send_event(r);
        return;
    }
    if (r->sent_id >= r->last_id) {
        struct evhttp_request *req = r->req;
        free_request(r);
        evhttp_send_reply_end(req);
        return;
    }
    /* With a copy of the KV memory there is no prefill. */
    set_timer(r, from != NULL ? r->target->options->step_us
                              : prompt * r->target->options->prefill_us);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
    Target *t = arg;
    const char *expected_instance = Fake_Header(req, "X-Expect-Instance");
    const char *id = Fake_Header(req, "X-Attempt-Id");
    const char *tokens = Fake_Header(req, "X-Token-Usage");
    size_t size;
    if (expected_instance == NULL ||
        strcmp(expected_instance, t->options->name) != 0) {
        reject(t, req, 421);
        return;
    }
    if (id == NULL || Fake_Header(req, "X-Api-Key") != NULL ||
        Fake_Header(req, "X-Deadline-Ms") == NULL) {
        reject(t, req, HTTP_BADREQUEST);
        return;
    }
    CaroTime now = CaroClock_Now();
    if (now < t->down_until) {
        evhttp_connection_free(evhttp_request_get_connection(req));
        return;
    }
    if (tokens == NULL && !has_room(t)) {
        reject_for_room(t, req, now);
        return;
    }
    record_arrival(t, now);
    if (refuse_while_unavailable(t, req, now)) {
        return;
    }
    t->n_late +=
        t->announced_at != 0 && now - t->announced_at > ANNOUNCE_SETTLE;
    if (draw_uniform() < t->repeat_rate) {
        repeat_refusal(t, req);
    }
    if (draw_uniform() < t->refuse_rate) {
        refuse(t, req, id);
        return;
    }
    PendingRequest *r = calloc(1, sizeof(*r));
    if (r == NULL) {
        abort();
    }
    const char *body = Fake_Body(req, &size);
    const char *account = Fake_Header(req, "X-Tenant");
    CARO_COPY(t->account, account == NULL ? "" : account);
    r->target = t;
    r->req = req;
    r->seed = XXH64(body, size, 0);
    r->timer = event_new(t->base, -1, 0, on_timer, r);
    CARO_COPY(r->id, id);
    t->running++;
    evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                  on_caller_closed, r);
    const char *parts = Fake_Header(req, "X-Prompt-Prefix");
    r->is_deadly = t->crash.kind != CRASH_NEVER && parts != NULL &&
                   strstr(parts, DEADLY_PART) != NULL;
    if (r->is_deadly) {
        log_crash(t, "try", id);
    }
    if (r->is_deadly && t->crash.kind == CRASH_HANGING) {
        (void)usleep((useconds_t)t->crash.delay);
        end_process(r);
    }
    if (r->is_deadly && tokens == NULL) {
        r->has_slot = false;
        set_timer(r, t->crash.delay);
        return;
    }
    if (tokens != NULL) {
        start_stream(r, tokens);
    }
    else if (t->slots == 0 || t->n_busy < t->slots) {
        r->has_slot = t->slots > 0;
        t->n_busy += r->has_slot;
        set_timer(r, t->options->work_ms * CARO_MS);
    }
    else {
        PendingRequest **at = &t->first_waiting;
        while (*at != NULL) {
            at = &(*at)->next_waiting;
        }
        *at = r;
        r->is_waiting = true;
        t->n_waiting++;
    }
}

static void
on_ran(struct evhttp_request *req, void *arg)
{
    Target *t = arg;
    char id[128] = "";
    char text[32];
    Run *run;
    (void)Fake_Query(req, "id", id, sizeof(id));
    HASH_FIND(hh, t->runs, id, strlen(id), run);
    (void)snprintf(text, sizeof(text), "%d\n", run == NULL ? 0 : run->count);
    Fake_SendText(req, HTTP_OK, text);
}

static void
on_account(struct evhttp_request *req, void *arg)
{
    Target *t = arg;
    Fake_SendText(req, HTTP_OK, t->account);
}

static void
on_fault(struct evhttp_request *req, void *arg)
{
    Target *t = arg;
    char text[288];
    double limit = Fake_GetNumber(req, "limit", t->limit);
    CaroTime now = CaroClock_Now();
    if (limit != t->limit) {
        t->limit = limit;
        t->limited_at = now;
        t->n_arrivals = 0;
        t->window_max = 0;
    }
    t->response_loss_rate = Fake_GetNumber(req, "lose", t->response_loss_rate);
    t->fail_rate = Fake_GetNumber(req, "fail", t->fail_rate);
    t->torn_stream_rate = Fake_GetNumber(req, "torn", t->torn_stream_rate);
    t->is_draining = Fake_GetNumber(req, "leave", t->is_draining) > 0.0;
    t->refuse_rate = Fake_GetNumber(req, "refuse", t->refuse_rate);
    t->repeat_rate = Fake_GetNumber(req, "repeat", t->repeat_rate);
    t->resume_status = (int)Fake_GetNumber(req, "resume", t->resume_status);
    t->slots = (int)Fake_GetNumber(req, "slots", t->slots);
    t->queue = (int)Fake_GetNumber(req, "queue", t->queue);
    t->brittle = (int)Fake_GetNumber(req, "brittle", t->brittle);
    t->is_announcing = Fake_GetNumber(req, "announce", t->is_announcing) > 0.0;
    double unavailable_s = Fake_GetNumber(req, "unavailable", 0.0);
    if (unavailable_s > 0.0) {
        t->unavailable_until =
            now + (CaroTime)(unavailable_s * (double)CARO_SECOND);
        t->unavailable_since = 0;
    }
    (void)snprintf(text, sizeof(text),
                   "running %d\ntotal %ld\narrived %ld\nin_ms %lld\n"
                   "window_max %ld\nlate %ld\nrepeats %ld\n"
                   "falls %ld\nrejected %ld\n",
                   t->running, t->requests_run, t->n_arrivals,
                   (long long)((now - t->limited_at - LIMIT_SETTLE) / CARO_MS),
                   t->window_max, t->n_late, t->n_repeats, t->n_falls,
                   t->n_rejected);
    Fake_SendText(req, HTTP_OK, text);
}

static void
on_registered(void *context, int code, int status, const char *body,
              size_t size, bool is_sent, const CaroHttpHead *head)
{
    (void)context;
    (void)code;
    (void)status;
    (void)body;
    (void)size;
    (void)is_sent;
    (void)head;
}

static void
on_heartbeat(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Target *t = arg;
    char path[512];
    char registration[2048];
    (void)snprintf(path, sizeof(path), "/write?key=servers/%s&ttl_ms=%d",
                   t->options->name, REGISTRATION_TTL_MS);
    if (CaroClock_Now() < t->down_until) {
        return;
    }
    int n = snprintf(
        registration, sizeof(registration),
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
        "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\",\"born\":%lld}",
        t->options->service, t->options->listen, t->options->domain,
        t->options->version, t->slots > 0 ? t->slots : 64,
        t->is_draining ? "draining" : "ready", (long long)t->started_at_ms);
    CaroHttpCall call = {.address = t->options->registry,
                         .path = path,
                         .method = "POST",
                         .body = registration,
                         .size = (size_t)n,
                         .timeout = HEARTBEAT_INTERVAL};
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
    if (options->crash != NULL && parse_crash(options->crash, &t.crash) < 0) {
        (void)fprintf(stderr,
                      "carofake: --crash: found %s; expected "
                      "KIND:DELAY_MS[:EVENTS]\n",
                      options->crash);
        return 2;
    }
    t.options = options;
    t.started_at_ms = CaroClock_WallMs();
    t.base = event_base_new();
    struct evhttp *http = Fake_Listen(t.base, options->listen);
    struct event *heartbeat =
        event_new(t.base, -1, EV_PERSIST, on_heartbeat, &t);
    struct timeval period = {.tv_usec = HEARTBEAT_INTERVAL};
    if (http == NULL || heartbeat == NULL) {
        return 1;
    }
    (void)event_add(heartbeat, &period);
    on_heartbeat(-1, 0, &t);
    evhttp_set_cb(http, "/ran", on_ran, &t);
    evhttp_set_cb(http, "/account", on_account, &t);
    evhttp_set_cb(http, "/fault", on_fault, &t);
    evhttp_set_gencb(http, on_request, &t);
    int rc = Fake_RunLoop(t.base);
    event_free(heartbeat);
    evhttp_free(http);
    event_base_free(t.base);
    return rc;
}
