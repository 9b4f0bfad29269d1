/*
 * A registry with a stand-in of the store over loopback, for the tests of
 * both. The stand-in lists one upstream, i-1, and holds watches until a
 * change.
 */
#ifndef CARO_REGISTRY_FIXTURE_H
#define CARO_REGISTRY_FIXTURE_H

#include "internal/caro_clock.h"
#include "internal/caro_registry.h"
#include "internal/caro_store_log.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS CARO_MS
#define TICK_INTERVAL (20 * MS)

enum { HELD_MAX = 64, VALUE_MAX = 512, FIRST_REVISION = 10 };

typedef enum {
    STORE_SERVES,
    STORE_HOLDS_READS, /* Watches alone are answered. */
    STORE_LOSES_WATCH, /* The next watch is never answered. */
    STORE_HOLDS_ALL
} StoreState;

typedef struct {
    struct event_base *base;
    struct evhttp *http;
    struct event *tick;
    char address[CARO_ADDRESS_SIZE];
    StoreState state;
    struct evhttp_request *watch; /* Held until a change. */
    bool has_lost_watch;
    char change[VALUE_MAX * 4]; /* Events of the next response to a watch. */
    const char *odd_items;      /* Stand in lists behind the upstream's. */
    int n_lists;
    bool has_no_history;   /* The next watch gets status 410. */
    const char *list;      /* The response to a list; NULL for the usual. */
    const char *watched;   /* That to the next watch, likewise. */
    int n_leases;          /* Calls for a lease. */
    const char *lease;     /* The response; NULL for none granted. */
    int n_writes;          /* All of them succeed. */
    char watch_uri[256];   /* Of the last call for a watch. */
    char watched_uri[256]; /* Of that which got "watched". */
    long long revision;
    long long era;      /* In each response; 0 for none. */
    const char *config; /* The response to a read of the configuration. */
    int n_config_reads;
    int n_revision_reads;
    /* What the handlers were called with. */
    CaroTime confirmed_at;
    int n_restorations;
    CaroRevision listed;
    int config_outcome; /* Returned for each configuration. */

    CaroStoreClient *client;
    CaroTargets *targets;
    CaroCounters counters;
    gsl_rng *rng;
    CaroRegistry *registry;
} Fixture;

static inline void
respond(Fixture *f, struct evhttp_request *request, int status,
        const char *text)
{
    struct evbuffer *out = evbuffer_new();
    char era[24];
    (void)snprintf(era, sizeof(era), "%lld", f->era);
    if (f->era != 0) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Store-Era", era);
    }
    evbuffer_add(out, text, strlen(text));
    evhttp_send_reply(request, status, "", out);
    evbuffer_free(out);
}

/* Writes the item of an upstream's registration. */
static inline void
write_target(char *out, size_t size, const char *id, long long revision)
{
    char text[VALUE_MAX / 2];
    char value[VALUE_MAX];
    int n = snprintf(text, sizeof(text),
                     "{\"service\":\"pool\",\"address\":\"10.0.0.1:80\","
                     "\"zone\":\"z\",\"version\":\"v1\",\"slots\":6,"
                     "\"state\":\"ready\",\"born\":17}");
    (void)EVP_EncodeBlock((unsigned char *)value, (unsigned char *)text, n);
    (void)snprintf(out, size,
                   "{\"key\":\"servers/%s\",\"value\":\"%s\","
                   "\"revision\":%lld,\"created_at\":1,\"lease\":7}",
                   id, value, revision);
}

static inline void
answer_watch(Fixture *f)
{
    char text[VALUE_MAX * 6];
    if (f->watch != NULL && f->change[0] != '\0' &&
        f->state != STORE_HOLDS_ALL) {
        (void)snprintf(text, sizeof(text), "{\"events\":[%s],\"at\":%lld}",
                       f->change, f->revision);
        f->change[0] = '\0';
        respond(f, f->watch, 200, text);
        f->watch = NULL;
    }
}

static inline void
on_watch_closed(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    Fixture *f = arg;
    f->watch = NULL;
}

static inline void
on_call(struct evhttp_request *request, void *arg)
{
    Fixture *f = arg;
    const char *uri = evhttp_request_get_uri(request);
    char item[VALUE_MAX * 2];
    char text[VALUE_MAX * 6];
    if (f->state == STORE_LOSES_WATCH && strncmp(uri, "/kv-watch", 9) == 0) {
        f->state = STORE_SERVES;
        f->has_lost_watch = true;
        return;
    }
    if (strncmp(uri, "/kv-watch", 9) == 0 && f->has_no_history) {
        f->has_no_history = false;
        respond(f, request, 410, "{}");
        return;
    }
    if (strncmp(uri, "/kv-lease", 9) == 0) {
        f->n_leases++;
        respond(f, request, 200, f->lease == NULL ? "{}" : f->lease);
        return;
    }
    if (strncmp(uri, "/kv-txn", 7) == 0) {
        f->n_writes++;
        respond(f, request, 200, "{\"revision\":1}");
        return;
    }
    if (strncmp(uri, "/kv-watch", 9) == 0 && f->watched != NULL) {
        (void)snprintf(f->watched_uri, sizeof(f->watched_uri), "%s", uri);
        respond(f, request, 200, f->watched);
        f->watched = NULL;
        return;
    }
    if (strncmp(uri, "/kv-watch", 9) == 0) {
        f->watch = request;
        (void)snprintf(f->watch_uri, sizeof(f->watch_uri), "%s", uri);
        evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                      on_watch_closed, f);
        answer_watch(f);
        return;
    }
    if (f->state != STORE_SERVES) {
        return; /* The caller's timeout closes the connection. */
    }
    if (strncmp(uri, "/kv-key", 7) == 0) {
        f->n_config_reads++;
        if (f->config != NULL) {
            respond(f, request, 200, f->config);
            return;
        }
    }
    if (strncmp(uri, "/kv-range", 9) == 0 && strstr(uri, "none") != NULL) {
        f->n_revision_reads++;
        (void)snprintf(text, sizeof(text),
                       "{\"entries\":[],\"has_more\":false,\"at\":%lld}",
                       f->revision);
        respond(f, request, 200, text);
        return;
    }
    if (strncmp(uri, "/kv-range", 9) == 0) {
        write_target(item, sizeof(item), "i-1", FIRST_REVISION);
        (void)snprintf(text, sizeof(text),
                       "{\"entries\":[%s%s],\"has_more\":false,\"at\":%d}",
                       item, f->odd_items == NULL ? "" : f->odd_items,
                       FIRST_REVISION);
        f->n_lists++;
        respond(f, request, 200, f->list != NULL ? f->list : text);
        return;
    }
    respond(f, request, 404, "{}");
}

static inline int
on_config(void *context, const char *bytes, size_t size, CaroRevision revision)
{
    const Fixture *f = context;
    (void)bytes;
    (void)size;
    (void)revision;
    return f->config_outcome;
}

static inline void
on_config_confirmed(void *context, CaroRevision revision, CaroTime sent_at)
{
    Fixture *f = context;
    (void)revision;
    f->confirmed_at = sent_at;
}

static inline void
ignore_target(void *context, CaroHandle target)
{
    (void)context;
    (void)target;
}

static inline void
on_store_restored(void *context)
{
    Fixture *f = context;
    f->n_restorations++;
}

static inline void
on_listed(void *context, CaroRevision revision)
{
    Fixture *f = context;
    f->listed = revision;
}

static const CaroRegistryHandlers handlers = {
    .on_config = on_config,
    .on_config_confirmed = on_config_confirmed,
    .on_target = ignore_target,
    .on_store_restored = on_store_restored,
    .on_listed = on_listed};

static inline void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Fixture *f = arg;
    CaroRegistry_Tick(f->registry, CaroClock_Now());
}

static inline void
run_for(Fixture *f, CaroTime time)
{
    struct timeval t = {.tv_sec = time / CARO_SECOND,
                        .tv_usec = time % CARO_SECOND};
    (void)event_base_loopexit(f->base, &t);
    (void)event_base_dispatch(f->base);
}

/* Starts the store and the registry, which reads the upstream i-1. */
static inline int
set_up(void **state)
{
    Fixture *f = calloc(1, sizeof(*f));
    struct timeval interval = {.tv_usec = TICK_INTERVAL};
    f->base = event_base_new();
    f->http = evhttp_new(f->base);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(f->http, "127.0.0.1", 0);
    struct sockaddr_in self;
    socklen_t size = sizeof(self);
    (void)getsockname(evhttp_bound_socket_get_fd(bound),
                      (struct sockaddr *)&self, &size);
    (void)snprintf(f->address, sizeof(f->address), "127.0.0.1:%d",
                   ntohs(self.sin_port));
    evhttp_set_gencb(f->http, on_call, f);
    f->revision = FIRST_REVISION;
    f->client = CaroStoreClient_Create(f->base, f->address);
    f->targets = CaroTargets_Create();
    f->rng = gsl_rng_alloc(gsl_rng_taus2);
    f->registry = CaroRegistry_Create(f->client, f->targets, &f->counters,
                                      f->rng, &handlers, f, CaroClock_Now());
    f->tick = event_new(f->base, -1, EV_PERSIST, on_tick, f);
    (void)event_add(f->tick, &interval);
    run_for(f, 300 * MS);
    *state = f;
    return 0;
}

static inline int
tear_down(void **state)
{
    Fixture *f = *state;
    event_free(f->tick);
    CaroRegistry_Destroy(f->registry);
    CaroStoreClient_Destroy(f->client);
    CaroTargets_Destroy(f->targets);
    gsl_rng_free(f->rng);
    evhttp_free(f->http);
    event_base_free(f->base);
    free(f);
    return 0;
}

static inline bool
is_kept(const Fixture *f)
{
    return CaroTargets_Find(f->targets, "i-1") != CARO_NO_HANDLE;
}

static inline void
change_other_key(Fixture *f)
{
    (void)snprintf(f->change, sizeof(f->change),
                   "{\"key\":\"other\",\"value\":\"\",\"revision\":%lld}",
                   ++f->revision);
    answer_watch(f);
}

static inline void
delete_target(Fixture *f)
{
    (void)snprintf(f->change, sizeof(f->change),
                   "{\"key\":\"servers/i-1\",\"revision\":%lld,"
                   "\"deleted\":true}",
                   ++f->revision);
    answer_watch(f);
}

static inline void
register_target(Fixture *f)
{
    write_target(f->change, sizeof(f->change), "i-1", ++f->revision);
    answer_watch(f);
}

#endif
