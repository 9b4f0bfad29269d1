/*
 * A fake model engine with continuous batching.
 *
 * In each step, every running sequence that has finished its prefill emits
 * one token.  A step takes longer the more sequences run and the more
 * uncached prompt tokens are prefilled in it.  The text of a token consists
 * of the nonce of its generation and its index, so that a caller can detect
 * a token that is missing, repeated or from another generation.  A new
 * generation has a random nonce; a resumed one takes the nonce and the next
 * index from the prefix in its request.
 *
 * Faults: slow (factor on the step time), fail (probability of an error
 * response), cut (probability per token that the connection is closed),
 * freeze_ms (no step for that time), die=1 (the process exits).
 */
#include "fake.h"

#include "internal/caro_clock.h"
#include "internal/caro_engine.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

enum {
    BYTES_PER_TOKEN = 4,
    BLOCK_BYTES = 128,           /* Unit of the prefix cache. */
    PREFILL_PER_STEP_MAX = 2048, /* In tokens. */
    NONCE_DIGITS = 8,
    PADDING_MAX = 4096,
    CACHED_GENERATIONS_MAX = 256
};

/* A request that is running or waits for a place in the batch. */
typedef struct Sequence {
    struct Engine *engine;
    struct evhttp_request *req;
    uint32_t nonce;
    uint32_t next_index;   /* Index of the next token. */
    uint32_t tokens_max;   /* The sequence ends before this index. */
    int prefill_remaining; /* In tokens. */
    int priority;
    bool is_running;
    struct Sequence *prev;
    struct Sequence *list_next;
} Sequence;

/* A generation whose tokens are cached: it is resumed without a prefill. */
typedef struct CachedGeneration {
    uint32_t nonce;
    uint32_t tokens;
    UT_hash_handle hh; /* In order of last use, oldest first. */
} CachedGeneration;

/* A cached block of a prompt. */
typedef struct Block {
    uint64_t hash;     /* Covers the preceding blocks as well. */
    UT_hash_handle hh; /* In order of last use, oldest first. */
} Block;

typedef struct Engine {
    const FakeOptions *options;
    struct event_base *base;
    struct event *step;
    Sequence *sequences;
    int n_running;
    int n_waiting;
    Block *cache;
    CachedGeneration *cached_generations;
    double step_time_factor; /* Multiplies the duration of a step. */
    double fail_rate;        /* Probability of an error response. */
    double cut_rate;         /* Probability, per token, that the connection is
                                closed after it. */
    CaroTime frozen_until;
    bool is_step_pending;
    uint64_t prefill_total;
    uint64_t prefill_cached;
    uint64_t tokens_total;
    uint64_t requests_total;
    uint64_t cancelled_total;
} Engine;

/* Returns a random number in [0, 1). */
static double
draw_uniform(void)
{
    return (double)(CaroClock_Random() >> 11) / 9007199254740992.0;
}

/* Marks a block as the most recently used, adding it when it is absent and
   evicting the least recently used one when the cache is full.  Returns
   whether the block was cached. */
static bool
touch_block(Engine *e, uint64_t hash)
{
    Block *b;
    HASH_FIND(hh, e->cache, &hash, sizeof(hash), b);
    bool is_hit = b != NULL;
    if (is_hit) {
        HASH_DEL(e->cache, b);
    }
    else {
        b = calloc(1, sizeof(*b));
        if (b == NULL) {
            return false;
        }
        b->hash = hash;
    }
    HASH_ADD(hh, e->cache, hash, sizeof(b->hash), b);
    if ((int)HASH_COUNT(e->cache) > e->options->cache_blocks) {
        Block *oldest = e->cache;
        HASH_DEL(e->cache, oldest);
        free(oldest);
    }
    return is_hit;
}

/* Counts the tokens of prompt and prefix that need a prefill, and caches the
   blocks of the prompt.  Only leading blocks count as cached. */
static int
count_uncached(Engine *e, const char *prompt, const char *prefix)
{
    size_t size = strlen(prompt);
    size_t cached = 0;
    uint64_t hash = 0;
    for (size_t at = 0; at + BLOCK_BYTES <= size; at += BLOCK_BYTES) {
        hash = XXH64(prompt + at, BLOCK_BYTES, hash);
        if (touch_block(e, hash) && cached == at) {
            cached = at + BLOCK_BYTES;
        }
    }
    e->prefill_cached += cached / BYTES_PER_TOKEN;
    size_t left = size - cached;
    /* A token of this engine is longer than BYTES_PER_TOKEN (8 hex digits, a
       dot and the index), but costs the prefill time of one token. */
    for (const char *p = prefix; *p != '\0'; p++) {
        left += *p == ' ' ? BYTES_PER_TOKEN : 0;
    }
    return (int)(left / BYTES_PER_TOKEN) + 1;
}

static void
schedule_step(Engine *e, CaroTime delay)
{
    struct timeval t = {.tv_sec = delay / CARO_SECOND,
                        .tv_usec = delay % CARO_SECOND};
    e->is_step_pending = true;
    event_add(e->step, &t);
}

/* Marks the generation of an ended sequence as cached up to its last token,
   and evicts the least recently used generation above the maximum. */
static void
cache_generation(Engine *e, const Sequence *s)
{
    CachedGeneration *c;
    HASH_FIND(hh, e->cached_generations, &s->nonce, sizeof(s->nonce), c);
    if (c != NULL) {
        HASH_DEL(e->cached_generations, c);
    }
    else {
        c = calloc(1, sizeof(*c));
        if (c == NULL) {
            return;
        }
        c->nonce = s->nonce;
    }
    c->tokens = s->next_index;
    HASH_ADD(hh, e->cached_generations, nonce, sizeof(c->nonce), c);
    if (HASH_COUNT(e->cached_generations) > CACHED_GENERATIONS_MAX) {
        CachedGeneration *oldest = e->cached_generations;
        HASH_DEL(e->cached_generations, oldest);
        free(oldest);
    }
}

static void
free_sequence(Sequence *s)
{
    Engine *e = s->engine;
    if (s->is_running) {
        e->n_running--;
    }
    else {
        e->n_waiting--;
    }
    DL_DELETE2(e->sequences, s, prev, list_next);
    cache_generation(e, s);
    free(s);
}

static void
on_caller_closed(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    Sequence *s = arg;
    s->engine->cancelled_total++;
    free_sequence(s);
}

static void
send_text(struct evhttp_request *req, const char *text)
{
    struct evbuffer *buf = evbuffer_new();
    evbuffer_add(buf, text, strlen(text));
    evhttp_send_reply_chunk(req, buf);
    evbuffer_free(buf);
}

static void
finish_sequence(Sequence *s)
{
    struct evhttp_request *req = s->req;
    evhttp_connection_set_closecb(evhttp_request_get_connection(req), NULL,
                                  NULL);
    free_sequence(s);
    send_text(req, "data: {\"choices\":[{\"index\":0,\"text\":\"\","
                   "\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n");
    evhttp_send_reply_end(req);
}

/* Closes the connection in the middle of the stream, as a crash does. */
static void
cut_sequence(Sequence *s)
{
    struct evhttp_connection *c = evhttp_request_get_connection(s->req);
    evhttp_connection_set_closecb(c, NULL, NULL);
    free_sequence(s);
    evhttp_connection_free(c);
}

static void
send_token(Sequence *s)
{
    static char padding[PADDING_MAX + 1];
    char text[PADDING_MAX + 160];
    int pad = s->engine->options->token_bytes;
    memset(padding, 'x', PADDING_MAX);
    (void)snprintf(text, sizeof(text),
                   "data: {\"choices\":[{\"index\":0,\"text\":\""
                   " %08" PRIx32 ".%" PRIu32 "%.*s\"}]}\n\n",
                   s->nonce, s->next_index,
                   pad < PADDING_MAX ? pad : PADDING_MAX, padding);
    s->next_index++;
    s->engine->tokens_total++;
    send_text(s->req, text);
    if (s->next_index >= s->tokens_max) {
        finish_sequence(s);
    }
    else if (s->engine->cut_rate > 0.0 &&
             draw_uniform() < s->engine->cut_rate) {
        cut_sequence(s);
    }
}

/* Fills the batch with waiting sequences, lowest priority number first and in
   order of arrival within a priority. */
static void
admit_waiting(Engine *e)
{
    while (e->n_running < e->options->batch && e->n_waiting > 0) {
        Sequence *best = NULL;
        Sequence *s;
        DL_FOREACH2(e->sequences, s, list_next)
        {
            if (!s->is_running &&
                (best == NULL || s->priority < best->priority)) {
                best = s;
            }
        }
        if (best == NULL) {
            return;
        }
        best->is_running = true;
        e->n_running++;
        e->n_waiting--;
    }
}

static void
send_tokens(Engine *e)
{
    Sequence *s;
    Sequence *next;
    DL_FOREACH_SAFE2(e->sequences, s, next, list_next)
    {
        if (s->is_running && s->prefill_remaining == 0) {
            send_token(s);
        }
    }
}

/* Prefills running sequences of one priority, up to a budget in tokens.
   Returns the number of tokens prefilled. */
static int
prefill_sequences(Engine *e, int priority, int budget)
{
    int left = budget;
    Sequence *s;
    DL_FOREACH2(e->sequences, s, list_next)
    {
        if (!s->is_running || s->priority != priority) {
            continue;
        }
        int n = s->prefill_remaining < left ? s->prefill_remaining : left;
        s->prefill_remaining -= n;
        left -= n;
    }
    return budget - left;
}

static void
on_step(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Engine *e = arg;
    CaroTime now = CaroClock_Now();
    e->is_step_pending = false;
    if (now < e->frozen_until) {
        schedule_step(e, e->frozen_until - now);
        return;
    }
    admit_waiting(e);
    send_tokens(e);
    int n_prefilled = 0;
    for (int priority = 0; priority < CARO_PRIORITIES; priority++) {
        n_prefilled +=
            prefill_sequences(e, priority, PREFILL_PER_STEP_MAX - n_prefilled);
    }
    e->prefill_total += (uint64_t)n_prefilled;
    if (e->n_running + e->n_waiting > 0) {
        double us = e->options->step_us +
                    (double)e->options->sequence_us * e->n_running +
                    (double)e->options->prefill_us * n_prefilled;
        schedule_step(e, (CaroTime)(us * e->step_time_factor));
    }
}

static void
add_load_header(Engine *e, struct evhttp_request *req)
{
    char text[128];
    (void)snprintf(text, sizeof(text),
                   "{\"named_metrics\":{\"running\":%d,\"waiting\":%d,"
                   "\"capacity\":%d}}",
                   e->n_running, e->n_waiting, e->options->batch);
    evhttp_add_header(evhttp_request_get_output_headers(req),
                      "endpoint-load-metrics", text);
}

/* Takes the nonce and the next index from the last token of the prefix.
   Without a prefix, draws a new nonce and starts at index 0. */
static void
set_nonce_and_index(Sequence *s, const char *prefix)
{
    const char *last = strrchr(prefix, ' ');
    unsigned int nonce;
    unsigned int index;
    if (last != NULL && sscanf(last, " %8x.%u", &nonce, &index) == 2) {
        s->nonce = nonce;
        s->next_index = index + 1;
        return;
    }
    s->nonce = (uint32_t)CaroClock_Random();
    s->next_index = 0;
}

static void
on_completion(struct evhttp_request *req, void *arg)
{
    Engine *e = arg;
    size_t size;
    const char *body = Fake_Body(req, &size);
    json_t *root = json_loadb(body, size, 0, NULL);
    const char *prompt = json_string_value(json_object_get(root, "prompt"));
    const char *prefix = json_string_value(json_object_get(root, "prefix"));
    e->requests_total++;
    if (prompt == NULL) {
        Fake_SendText(req, 400, "bad request\n");
        json_decref(root);
        return;
    }
    if (draw_uniform() < e->fail_rate) {
        Fake_SendText(req, 500, "engine error\n");
        json_decref(root);
        return;
    }
    Sequence *s = calloc(1, sizeof(*s));
    if (s == NULL) {
        abort();
    }
    s->engine = e;
    s->req = req;
    s->priority = (int)json_integer_value(json_object_get(root, "priority"));
    s->tokens_max =
        (uint32_t)json_integer_value(json_object_get(root, "max_tokens"));
    prefix = prefix == NULL ? "" : prefix;
    set_nonce_and_index(s, prefix);
    s->prefill_remaining = count_uncached(e, prompt, prefix);
    CachedGeneration *known;
    HASH_FIND(hh, e->cached_generations, &s->nonce, sizeof(s->nonce), known);
    if (known != NULL && known->tokens >= s->next_index) {
        e->prefill_cached += (uint64_t)s->prefill_remaining;
        s->prefill_remaining = 1;
    }
    json_decref(root);
    DL_APPEND2(e->sequences, s, prev, list_next);
    e->n_waiting++;
    add_load_header(e, req);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "text/event-stream");
    struct evhttp_connection *c = evhttp_request_get_connection(req);
    evhttp_connection_set_closecb(c, on_caller_closed, s);
    evhttp_send_reply_start(req, HTTP_OK, "OK");
    /* evhttp stops reading while a response is sent, but the closing of the
       connection is only detected by reading. */
    bufferevent_enable(evhttp_connection_get_bufferevent(c), EV_READ);
    if (!e->is_step_pending) {
        schedule_step(e, e->options->step_us);
    }
}

static void
on_load(struct evhttp_request *req, void *arg)
{
    Engine *e = arg;
    add_load_header(e, req);
    json_t *value = json_pack(
        "{s:s, s:i, s:i, s:i, s:I, s:I, s:I, s:I, s:I}", "name",
        e->options->name, "running", e->n_running, "waiting", e->n_waiting,
        "capacity", e->options->batch, "prefill_tokens",
        (json_int_t)e->prefill_total, "cached_tokens",
        (json_int_t)e->prefill_cached, "tokens", (json_int_t)e->tokens_total,
        "requests", (json_int_t)e->requests_total, "cancelled",
        (json_int_t)e->cancelled_total);
    Fake_SendJson(req, HTTP_OK, value);
    json_decref(value);
}

static void
on_fault(struct evhttp_request *req, void *arg)
{
    Engine *e = arg;
    e->step_time_factor = Fake_GetNumber(req, "slow", e->step_time_factor);
    e->fail_rate = Fake_GetNumber(req, "fail", e->fail_rate);
    e->cut_rate = Fake_GetNumber(req, "cut", e->cut_rate);
    double freeze_ms = Fake_GetNumber(req, "freeze_ms", 0.0);
    if (freeze_ms > 0.0) {
        e->frozen_until = CaroClock_Now() + (CaroTime)freeze_ms * CARO_MS;
    }
    if (Fake_GetNumber(req, "die", 0.0) > 0.0) {
        _exit(1);
    }
    Fake_SendText(req, HTTP_OK, "ok\n");
}

int
FakeEngine_Run(const FakeOptions *options)
{
    Engine engine = {.options = options, .step_time_factor = 1.0};
    engine.base = event_base_new();
    engine.step = evtimer_new(engine.base, on_step, &engine);
    struct evhttp *http = Fake_Listen(engine.base, options->listen);
    if (http == NULL) {
        return 1;
    }
    evhttp_set_cb(http, "/v1/completions", on_completion, &engine);
    evhttp_set_cb(http, "/v1/load", on_load, &engine);
    evhttp_set_cb(http, "/fault", on_fault, &engine);
    int rc = Fake_RunLoop(engine.base);
    evhttp_free(http);
    event_free(engine.step);
    event_base_free(engine.base);
    return rc;
}
