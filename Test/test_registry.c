/*
 * Tests of the copy of the store: which upstreams are kept when their
 * registrations disappear, with a stand-in of the store over loopback.
 */
#include "test.h"

#include "internal/caro_clock.h"
#include "internal/caro_registry.h"

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
    bool has_no_history; /* The next watch gets status 410. */
    const char *list;    /* The response to a list; NULL for the usual. */
    const char *watched; /* That to the next watch, likewise. */
    int n_leases;        /* Calls for a lease, which get none. */
    char watch_uri[256]; /* Of the last call for a watch. */
    long long revision;

    CaroStoreClient *client;
    CaroTargets *targets;
    CaroCounters counters;
    gsl_rng *rng;
    CaroRegistry *registry;
} Fixture;

static void
respond(struct evhttp_request *request, const char *text)
{
    struct evbuffer *out = evbuffer_new();
    evbuffer_add(out, text, strlen(text));
    evhttp_send_reply(request, 200, "OK", out);
    evbuffer_free(out);
}

/* Writes the item of an upstream's registration. */
static void
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

static void
answer_watch(Fixture *f)
{
    char text[VALUE_MAX * 6];
    if (f->watch != NULL && f->change[0] != '\0' &&
        f->state != STORE_HOLDS_ALL) {
        (void)snprintf(text, sizeof(text), "{\"events\":[%s],\"at\":%lld}",
                       f->change, f->revision);
        f->change[0] = '\0';
        respond(f->watch, text);
        f->watch = NULL;
    }
}

static void
on_watch_closed(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    Fixture *f = arg;
    f->watch = NULL;
}

static void
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
        evhttp_send_error(request, 410, "Gone");
        return;
    }
    if (strncmp(uri, "/kv-lease", 9) == 0) {
        f->n_leases++;
        respond(request, "{}");
        return;
    }
    if (strncmp(uri, "/kv-watch", 9) == 0 && f->watched != NULL) {
        respond(request, f->watched);
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
    if (strncmp(uri, "/kv-range", 9) == 0) {
        write_target(item, sizeof(item), "i-1", FIRST_REVISION);
        (void)snprintf(text, sizeof(text),
                       "{\"entries\":[%s%s],\"has_more\":false,\"at\":%d}",
                       item, f->odd_items == NULL ? "" : f->odd_items,
                       FIRST_REVISION);
        f->n_lists++;
        respond(request, f->list != NULL ? f->list : text);
        return;
    }
    evhttp_send_error(request, 404, "Not Found");
}

static int
ignore_config(void *context, const char *bytes, size_t size, int64_t revision)
{
    (void)context;
    (void)bytes;
    (void)size;
    (void)revision;
    return 0;
}

static void
ignore_confirmation(void *context, int64_t revision, CaroTime sent_at)
{
    (void)context;
    (void)revision;
    (void)sent_at;
}

static void
ignore_target(void *context, CaroHandle target)
{
    (void)context;
    (void)target;
}

static const CaroRegistryHandlers handlers = {.on_config = ignore_config,
                                              .on_config_confirmed =
                                                  ignore_confirmation,
                                              .on_target = ignore_target};

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Fixture *f = arg;
    CaroRegistry_Tick(f->registry, CaroClock_Now());
}

static void
run_for(Fixture *f, CaroTime time)
{
    struct timeval t = {.tv_sec = time / CARO_SECOND,
                        .tv_usec = time % CARO_SECOND};
    (void)event_base_loopexit(f->base, &t);
    (void)event_base_dispatch(f->base);
}

/* Starts the store and the registry, which reads the upstream i-1. */
static int
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

static int
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

static bool
is_kept(const Fixture *f)
{
    return CaroTargets_Find(f->targets, "i-1") != CARO_NO_HANDLE;
}

static void
change_other_key(Fixture *f)
{
    (void)snprintf(f->change, sizeof(f->change),
                   "{\"key\":\"other\",\"value\":\"\",\"revision\":%lld}",
                   ++f->revision);
    answer_watch(f);
}

static void
delete_target(Fixture *f)
{
    (void)snprintf(f->change, sizeof(f->change),
                   "{\"key\":\"servers/i-1\",\"revision\":%lld,"
                   "\"deleted\":true}",
                   ++f->revision);
    answer_watch(f);
}

static void
register_target(Fixture *f)
{
    write_target(f->change, sizeof(f->change), "i-1", ++f->revision);
    answer_watch(f);
}

/* Issue 22: requests went to upstreams that had left, as the reads of a large
   configuration timed out on a slow link. */
static void
test_deleted_upstream_is_removed_while_reads_time_out(void **state)
{
    Fixture *f = *state;
    assert_true(is_kept(f));
    f->state = STORE_HOLDS_READS;
    for (int i = 0; i < 10; i++) {
        change_other_key(f);
        run_for(f, 450 * MS);
    }
    assert_true(is_kept(f));
    delete_target(f);
    run_for(f, 600 * MS);
    assert_false(is_kept(f));
}

static void
test_upstream_is_kept_when_its_lease_expires_in_an_outage(void **state)
{
    Fixture *f = *state;
    f->state = STORE_HOLDS_ALL;
    run_for(f, 4000 * MS);
    assert_true(is_kept(f));
    f->state = STORE_SERVES;
    delete_target(f);
    run_for(f, 1500 * MS);
    assert_true(is_kept(f));
    register_target(f);
    run_for(f, 2500 * MS);
    assert_true(is_kept(f));
    delete_target(f);
    run_for(f, 600 * MS);
    assert_false(is_kept(f));
}

static void
test_responses_to_other_vms_show_that_a_registration_was_deleted(void **state)
{
    Fixture *f = *state;
    f->state = STORE_HOLDS_ALL;
    for (int i = 0; i < 8; i++) {
        run_for(f, 500 * MS);
        CaroTime now = CaroClock_Now();
        CaroRegistry_RecordPeerResponse(f->registry, now - 1000 * MS, now);
    }
    f->state = STORE_SERVES;
    delete_target(f);
    run_for(f, 1000 * MS);
    assert_false(is_kept(f));
}

/* The platform counts a VM as in touch 3 s after the store's last fault, and
   requests to a leaving upstream from 2 s after it left. */
static void
test_deletion_is_noticed_in_time_behind_a_lost_watch(void **state)
{
    Fixture *f = *state;
    f->state = STORE_LOSES_WATCH;
    change_other_key(f);
    while (!f->has_lost_watch) {
        run_for(f, 10 * MS);
    }
    run_for(f, 3000 * MS);
    delete_target(f);
    run_for(f, 1900 * MS);
    assert_false(is_kept(f));
}

/* Sends events to the watch, and waits until they were applied. */
static void
change_items(Fixture *f, const char *events)
{
    (void)snprintf(f->change, sizeof(f->change), "%s", events);
    f->revision++;
    answer_watch(f);
    run_for(f, 600 * MS);
}

/* An odd change does not keep the others of its response from being read, nor
   the watch from going on. */
static void
test_odd_changes_do_not_stop_the_watch(void **state)
{
    Fixture *f = *state;
    static const char *const odd[] = {
        "{\"key\":\"servers/o\",\"value\":17,\"revision\":11}",
        "{\"value\":\"aGk=\",\"revision\":11}",
        "{\"key\":\"servers/o\\u0000\",\"value\":\"\",\"revision\":11}",
        "{\"key\":\"servers/o\",\"value\":\"W1tbW1s=\",\"revision\":11}",
        "{\"key\":\"servers/\",\"value\":\"e30=\",\"revision\":11}"};
    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        char item[VALUE_MAX * 2];
        char id[8];
        char events[VALUE_MAX * 4];
        (void)snprintf(id, sizeof(id), "n-%zu", i);
        write_target(item, sizeof(item), id, f->revision + 1);
        (void)snprintf(events, sizeof(events), "%s,%s", odd[i], item);
        change_items(f, events);
        assert_int_not_equal(CaroTargets_Find(f->targets, id), CARO_NO_HANDLE);
        assert_true(is_kept(f));
    }
    assert_int_equal(f->n_lists, 1);
}

static void
test_list_with_odd_entries_is_read(void **state)
{
    Fixture *f = *state;
    f->odd_items = ",{\"key\":\"servers/o\",\"value\":17,\"revision\":3},7,"
                   "{\"key\":\"servers/p\\u0000\",\"value\":\"\"}";
    f->has_no_history = true;
    change_other_key(f);
    run_for(f, 4500 * MS);
    assert_true(f->n_lists >= 2);
    assert_true(is_kept(f));
    delete_target(f);
    run_for(f, 600 * MS);
    assert_false(is_kept(f));
}

/* Another writer's entry stands in the place of an upstream's. */
static void
test_entry_that_became_odd_names_no_upstream(void **state)
{
    Fixture *f = *state;
    char item[VALUE_MAX * 2];
    assert_true(is_kept(f));
    change_items(f, "{\"key\":\"servers/i-1\",\"value\":\"W10=\","
                    "\"revision\":11}");
    assert_false(is_kept(f));
    write_target(item, sizeof(item), "i-1", 12);
    change_items(f, item);
    assert_true(is_kept(f));
    change_items(f, "{\"key\":\"servers/i-1\",\"value\":17,"
                    "\"revision\":13}");
    assert_false(is_kept(f));
}

/* A response without the list that was asked for tells nothing; it is not an
   empty list, by which all upstreams would be gone. */
static void
test_response_without_list_removes_no_upstream(void **state)
{
    Fixture *f = *state;
    static const char *const lists[] = {"{\"has_more\":false,\"at\":20}",
                                        "{\"entries\":null,\"at\":20}",
                                        "{\"entries\":{},\"at\":20}", "{}"};
    for (size_t i = 0; i < sizeof(lists) / sizeof(lists[0]); i++) {
        int n = f->n_lists;
        f->list = lists[i];
        f->has_no_history = true;
        change_other_key(f);
        for (int step = 0; step < 40 && f->n_lists < n + 2; step++) {
            run_for(f, 50 * MS);
        }
        assert_true(is_kept(f));
        assert_true(f->n_lists >= n + 2);
        f->list = NULL;
        run_for(f, 1500 * MS);
        assert_true(is_kept(f));
    }
    f->list = "{\"entries\":[],\"at\":20}";
    f->has_no_history = true;
    change_other_key(f);
    run_for(f, 1500 * MS);
    assert_false(is_kept(f));
}

/* The changes up to the revision of such a response would be missed. */
static void
test_watch_without_list_is_repeated(void **state)
{
    Fixture *f = *state;
    f->watched = "{\"at\":90}";
    change_other_key(f);
    run_for(f, 1000 * MS);
    assert_null(f->watched);
    assert_non_null(strstr(f->watch_uri, "after="));
    assert_null(strstr(f->watch_uri, "after=90"));
}

static void
test_lease_that_was_not_granted_is_not_asked_for_at_once(void **state)
{
    Fixture *f = *state;
    CaroRegistry_SetSelf(f->registry, "vm", "127.0.0.1:1");
    run_for(f, 1500 * MS);
    assert_in_range(f->n_leases, 1, 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            test_deleted_upstream_is_removed_while_reads_time_out, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_upstream_is_kept_when_its_lease_expires_in_an_outage, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_responses_to_other_vms_show_that_a_registration_was_deleted,
            set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_deletion_is_noticed_in_time_behind_a_lost_watch, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(test_odd_changes_do_not_stop_the_watch,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_response_without_list_removes_no_upstream, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_watch_without_list_is_repeated,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_lease_that_was_not_granted_is_not_asked_for_at_once, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(test_list_with_odd_entries_is_read,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_entry_that_became_odd_names_no_upstream, set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
