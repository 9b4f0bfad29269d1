/*
 * A fake of the key-value service that a node uses: the part of the JSON
 * gateway of etcd v3 that carobloft calls.
 *
 * Faults: down (connections are closed without a response), slow_ms (delay
 * of each response), lose (fraction of responses lost after the call took
 * effect).
 */
#include "fake.h"

#include "internal/caro_clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include <openssl/evp.h>

typedef struct Item {
    char *key;   /* In base64, as received. */
    char *value; /* In base64, as received. */
    uint64_t revision;
    uint64_t lease;
    UT_hash_handle hh;
} Item;

typedef struct Lease {
    uint64_t id;
    int ttl_s;
    CaroTime expires_at;
    UT_hash_handle hh;
} Lease;

typedef struct {
    struct event_base *base;
    Item *items;
    Lease *leases;
    uint64_t revision;
    uint64_t reads;
    uint64_t writes;
    bool is_down;
    double response_loss_rate;
    double response_delay_ms;
} Store;

typedef struct {
    Store *store;
    struct evhttp_request *req;
    json_t *response;
} DelayedResponse;

/* The string member of an object, or "" when there is none. */
static const char *
get_string(const json_t *object, const char *key)
{
    const char *s = json_string_value(json_object_get(object, key));
    return s == NULL ? "" : s;
}

/* etcd writes 64-bit integers as JSON strings. */
static json_t *
json_uint64(uint64_t n)
{
    char text[24];
    (void)snprintf(text, sizeof(text), "%" PRIu64, n);
    return json_string(text);
}

static json_t *
response_header(const Store *s)
{
    return json_pack("{s:o}", "revision", json_uint64(s->revision));
}

static void
drop_connection(struct evhttp_request *req)
{
    evhttp_connection_free(evhttp_request_get_connection(req));
}

static void
on_response_due(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    DelayedResponse *d = arg;
    Fake_SendJson(d->req, HTTP_OK, d->response);
    json_decref(d->response);
    free(d);
}

/* Sends a response, at once or after the configured delay, or drops it by
   closing the connection.  Takes ownership of the value. */
static void
send_response(Store *s, struct evhttp_request *req, json_t *value)
{
    double sample = (double)(CaroClock_Random() >> 11) / 9007199254740992.0;
    if (sample < s->response_loss_rate) {
        json_decref(value);
        drop_connection(req);
        return;
    }
    if (s->response_delay_ms <= 0.0) {
        Fake_SendJson(req, HTTP_OK, value);
        json_decref(value);
        return;
    }
    DelayedResponse *d = calloc(1, sizeof(*d));
    if (d == NULL) {
        abort();
    }
    d->store = s;
    d->req = req;
    d->response = value;
    struct timeval t = {.tv_sec = (time_t)(s->response_delay_ms / 1000.0)};
    t.tv_usec =
        (suseconds_t)((s->response_delay_ms - 1000.0 * (double)t.tv_sec) *
                      1000.0);
    event_base_once(s->base, -1, EV_TIMEOUT, on_response_due, d, &t);
}

/* Removes expired leases and their items. */
static void
expire_leases(Store *s)
{
    CaroTime now = CaroClock_Now();
    Lease *lease;
    Lease *next_lease;
    HASH_ITER(hh, s->leases, lease, next_lease)
    {
        if (now < lease->expires_at) {
            continue;
        }
        Item *item;
        Item *next;
        HASH_ITER(hh, s->items, item, next)
        {
            if (item->lease == lease->id) {
                HASH_DEL(s->items, item);
                s->revision++;
                free(item->key);
                free(item->value);
                free(item);
            }
        }
        HASH_DEL(s->leases, lease);
        free(lease);
    }
}

static Item *
find_item(Store *s, const char *key)
{
    Item *item;
    HASH_FIND(hh, s->items, key, strlen(key), item);
    return item;
}

static void
put_item(Store *s, const char *key, const char *value, uint64_t lease)
{
    Item *item = find_item(s, key);
    if (item == NULL) {
        item = calloc(1, sizeof(*item));
        if (item == NULL || (item->key = strdup(key)) == NULL) {
            abort();
        }
        HASH_ADD_KEYPTR(hh, s->items, item->key, strlen(item->key), item);
    }
    free(item->value);
    item->value = strdup(value);
    item->lease = lease;
    item->revision = ++s->revision;
}

static json_t *
do_range(Store *s, const json_t *body)
{
    Item *item = find_item(s, get_string(body, "key"));
    s->reads++;
    if (item == NULL) {
        return json_pack("{s:o}", "header", response_header(s));
    }
    return json_pack("{s:o, s:[{s:s, s:s, s:o}], s:s}", "header",
                     response_header(s), "kvs", "key", item->key, "value",
                     item->value, "mod_revision", json_uint64(item->revision),
                     "count", "1");
}

static json_t *
do_txn(Store *s, const json_t *body)
{
    json_t *compare = json_array_get(json_object_get(body, "compare"), 0);
    json_t *put = json_object_get(
        json_array_get(json_object_get(body, "success"), 0), "request_put");
    uint64_t expected =
        strtoull(get_string(compare, "mod_revision"), NULL, 10);
    Item *item = find_item(s, get_string(compare, "key"));
    bool is_equal = (item == NULL ? 0 : item->revision) == expected;
    s->writes++;
    if (is_equal) {
        put_item(s, get_string(put, "key"), get_string(put, "value"),
                 strtoull(get_string(put, "lease"), NULL, 10));
    }
    return json_pack("{s:o, s:b}", "header", response_header(s), "succeeded",
                     is_equal);
}

static json_t *
do_grant(Store *s, const json_t *body)
{
    Lease *lease = calloc(1, sizeof(*lease));
    if (lease == NULL) {
        abort();
    }
    s->writes++;
    lease->id = CaroClock_Random() >> 1;
    lease->ttl_s = (int)json_integer_value(json_object_get(body, "TTL"));
    lease->expires_at = CaroClock_Now() + lease->ttl_s * CARO_SECOND;
    HASH_ADD(hh, s->leases, id, sizeof(lease->id), lease);
    return json_pack("{s:o, s:i}", "ID", json_uint64(lease->id), "TTL",
                     lease->ttl_s);
}

static json_t *
do_keep_alive(Store *s, const json_t *body)
{
    uint64_t id = strtoull(get_string(body, "ID"), NULL, 10);
    Lease *lease;
    HASH_FIND(hh, s->leases, &id, sizeof(id), lease);
    s->writes++;
    int ttl_s = 0;
    if (lease != NULL) {
        lease->expires_at = CaroClock_Now() + lease->ttl_s * CARO_SECOND;
        ttl_s = lease->ttl_s;
    }
    return json_pack("{s:{s:o, s:i}}", "result", "ID", json_uint64(id), "TTL",
                     ttl_s);
}

static void
on_call(struct evhttp_request *req, void *arg)
{
    Store *s = arg;
    if (s->is_down) {
        drop_connection(req);
        return;
    }
    expire_leases(s);
    size_t size;
    const char *body = Fake_Body(req, &size);
    json_t *root = json_loadb(body, size, 0, NULL);
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    json_t *value = NULL;
    if (strcmp(path, "/v3/kv/range") == 0) {
        value = do_range(s, root);
    }
    else if (strcmp(path, "/v3/kv/txn") == 0) {
        value = do_txn(s, root);
    }
    else if (strcmp(path, "/v3/lease/grant") == 0) {
        value = do_grant(s, root);
    }
    else if (strcmp(path, "/v3/lease/keepalive") == 0) {
        value = do_keep_alive(s, root);
    }
    json_decref(root);
    if (value == NULL) {
        evhttp_send_error(req, HTTP_NOTFOUND, NULL);
        return;
    }
    send_response(s, req, value);
}

static void
on_fault(struct evhttp_request *req, void *arg)
{
    Store *s = arg;
    s->is_down = Fake_GetNumber(req, "down", s->is_down ? 1.0 : 0.0) > 0.0;
    s->response_loss_rate = Fake_GetNumber(req, "lose", s->response_loss_rate);
    s->response_delay_ms =
        Fake_GetNumber(req, "slow_ms", s->response_delay_ms);
    char text[96];
    (void)snprintf(text, sizeof(text),
                   "reads %" PRIu64 " writes %" PRIu64 "\n", s->reads,
                   s->writes);
    Fake_SendText(req, HTTP_OK, text);
}

/* Writes the contents of a JSON file to the configuration key.  Returns 0, or
   -1 when the file is not valid JSON. */
static int
load_config(Store *s, const char *file)
{
    json_t *root = json_load_file(file, 0, NULL);
    char *text = json_dumps(root, JSON_COMPACT);
    if (text == NULL) {
        (void)fprintf(stderr, "carofake: %s is not JSON\n", file);
        return -1;
    }
    size_t size = strlen(text);
    char *value64 = malloc(4 * ((size + 2) / 3) + 1);
    char key64[64];
    static const char key[] = "carobloft/config";
    if (value64 == NULL) {
        abort();
    }
    EVP_EncodeBlock((unsigned char *)value64, (unsigned char *)text,
                    (int)size);
    EVP_EncodeBlock((unsigned char *)key64, (const unsigned char *)key,
                    (int)strlen(key));
    put_item(s, key64, value64, 0);
    free(value64);
    free(text);
    json_decref(root);
    return 0;
}

int
FakeStore_Run(const FakeOptions *options)
{
    Store store = {.revision = 0};
    store.base = event_base_new();
    struct evhttp *http = Fake_Listen(store.base, options->listen);
    if (http == NULL || (options->config_file != NULL &&
                         load_config(&store, options->config_file) < 0)) {
        return 1;
    }
    evhttp_set_cb(http, "/fault", on_fault, &store);
    evhttp_set_gencb(http, on_call, &store);
    int rc = Fake_RunLoop(store.base);
    evhttp_free(http);
    event_base_free(store.base);
    return rc;
}
