/*
 * A fake of the platform's store: the items, ranges, watches, leases and
 * conditional writes that the gateway uses.  In place of the operator and
 * the upstreams, tests write by POST /write?key=K&ttl_ms=N.
 *
 * Faults: down (connections are closed without a response), deaf (calls get
 * no response), lose (fraction of writes whose response is lost after they
 * took effect), forget=1 (the history so far is compacted: watches from an
 * earlier revision get status 410), odd=1 (lists and watches contain entries
 * that cannot be read), copy=1 (keeps a copy of the items, the leases and the
 * revision), restore=1 (goes back to the copy and begins a new era).
 */
#include "fake.h"

#include "internal/caro_clock.h"

#include <event2/buffer.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

enum { HISTORY_MAX = 100000 };
#define TICK_INTERVAL (50 * CARO_MS)

/* A current item, or the history's record of one change. */
typedef struct Item {
    char *key;
    char *value64; /* Base64; NULL in the history for a deletion. */
    int64_t revision;
    int64_t lease;
    CaroTime expires_at; /* 0 when the item has no time to live. */
    UT_hash_handle hh;
} Item;

typedef struct Lease {
    int64_t id;
    CaroTime ttl;
    CaroTime expires_at;
    UT_hash_handle hh;
} Lease;

/* A long poll for the changes below a key prefix. */
typedef struct Watch {
    struct evhttp_request *req;
    char *prefix;
    int64_t after_revision;
    CaroTime deadline;
    struct Watch *next;
} Watch;

typedef struct {
    struct event_base *base;
    Item *items;
    Lease *leases;
    Watch *watches;
    Item *history; /* Array, oldest first. */
    int n_history;
    int64_t compacted_revision; /* Watches from before it fail. */
    int64_t revision;
    int64_t era; /* In each response; rises with each restoration. */
    /* The copy: all items, leases and the revision at its time. */
    Item *copied_items;
    Lease *copied_leases;
    int64_t copied_revision;
    uint64_t calls;
    bool is_down;
    bool is_unresponsive;
    bool has_odd_entries;
    double response_loss_rate;
} Registry;

static json_t *
item_json(const Item *item)
{
    if (item->value64 == NULL) {
        return json_pack("{s:s, s:I, s:b}", "key", item->key, "revision",
                         (json_int_t)item->revision, "deleted", 1);
    }
    return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
                     item->value64, "revision", (json_int_t)item->revision,
                     "created_at", (json_int_t)item->revision, "lease",
                     (json_int_t)item->lease);
}

static void
reply(const Registry *r, struct evhttp_request *req, int status, json_t *value)
{
    char era[24];
    (void)snprintf(era, sizeof(era), "%lld", (long long)r->era);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Store-Era",
                      era);
    Fake_SendJson(req, status, value);
    json_decref(value);
}

/* Adds entries that cannot be read to a list of items. */
static void
add_odd_entries(const Registry *r, json_t *items)
{
    if (r->has_odd_entries) {
        (void)json_array_append_new(items, json_integer(7));
        (void)json_array_append_new(
            items, json_pack("{s:s, s:i, s:I}", "key", "servers/odd", "value",
                             17, "revision", (json_int_t)r->revision));
        (void)json_array_append_new(items, json_pack("{s:i}", "revision", 1));
    }
}

/* Responds to a watch when it has events, when its deadline has passed or when
   its revision is compacted.  Returns whether it responded. */
static bool
try_respond_to_watch(Registry *r, const Watch *w, CaroTime now)
{
    if (w->after_revision < r->compacted_revision ||
        w->after_revision > r->revision) {
        reply(r, w->req, 410, json_object());
        return true;
    }
    json_t *events = json_array();
    for (int i = 0; i < r->n_history; i++) {
        const Item *item = &r->history[i];
        if (item->revision > w->after_revision &&
            strncmp(item->key, w->prefix, strlen(w->prefix)) == 0) {
            (void)json_array_append_new(events, item_json(item));
        }
    }
    if (json_array_size(events) == 0 && now < w->deadline) {
        json_decref(events);
        return false;
    }
    add_odd_entries(r, events);
    reply(r, w->req, 200,
          json_pack("{s:o, s:I}", "events", events, "at",
                    (json_int_t)r->revision));
    return true;
}

static void
respond_to_watches(Registry *r, CaroTime now)
{
    Watch **at = &r->watches;
    while (*at != NULL && !r->is_unresponsive) {
        Watch *w = *at;
        if (try_respond_to_watch(r, w, now)) {
            *at = w->next;
            free(w->prefix);
            free(w);
        }
        else {
            at = &w->next;
        }
    }
}

static void
append_history(Registry *r, const char *key, const char *value64)
{
    if (r->n_history < HISTORY_MAX) {
        r->history[r->n_history++] =
            (Item){.key = strdup(key),
                   .value64 = value64 == NULL ? NULL : strdup(value64),
                   .revision = r->revision};
    }
}

static Item *
find_item(Registry *r, const char *key)
{
    Item *item;
    HASH_FIND(hh, r->items, key, strlen(key), item);
    return item;
}

/* Writes an item.  Writing the current value with a time to live only extends
   the time to live, without a new revision. */
static void
put_item(Registry *r, const char *key, const char *value64, int64_t lease,
         CaroTime expires_at)
{
    Item *item = find_item(r, key);
    if (item != NULL && expires_at != 0 &&
        strcmp(item->value64, value64) == 0) {
        item->expires_at = expires_at;
        return;
    }
    if (item == NULL) {
        item = calloc(1, sizeof(*item));
        if (item == NULL || (item->key = strdup(key)) == NULL) {
            abort();
        }
        HASH_ADD_KEYPTR(hh, r->items, item->key, strlen(item->key), item);
    }
    free(item->value64);
    item->value64 = strdup(value64);
    item->revision = ++r->revision;
    item->lease = lease;
    item->expires_at = expires_at;
    append_history(r, key, value64);
}

static void
free_item(Item **table, Item *item)
{
    HASH_DEL(*table, item);
    free(item->key);
    free(item->value64);
    free(item);
}

static void
remove_item(Registry *r, Item *item)
{
    r->revision++;
    append_history(r, item->key, NULL);
    free_item(&r->items, item);
}

/* Replaces the items and leases of one place by copies of another's. */
static void
copy_state(Item **items, Lease **leases, const Item *from_items,
           const Lease *from_leases)
{
    Item *item;
    Item *next;
    Lease *lease;
    Lease *next_lease;
    HASH_ITER(hh, *items, item, next)
    {
        free_item(items, item);
    }
    HASH_ITER(hh, *leases, lease, next_lease)
    {
        HASH_DEL(*leases, lease);
        free(lease);
    }
    for (const Item *from = from_items; from != NULL; from = from->hh.next) {
        item = calloc(1, sizeof(*item));
        if (item == NULL) {
            abort();
        }
        *item = *from;
        item->key = strdup(from->key);
        item->value64 = strdup(from->value64);
        HASH_ADD_KEYPTR(hh, *items, item->key, strlen(item->key), item);
    }
    for (const Lease *from = from_leases; from != NULL; from = from->hh.next) {
        lease = calloc(1, sizeof(*lease));
        if (lease == NULL) {
            abort();
        }
        *lease = *from;
        HASH_ADD(hh, *leases, id, sizeof(lease->id), lease);
    }
}

static void
restore_copy(Registry *r, CaroTime now)
{
    copy_state(&r->items, &r->leases, r->copied_items, r->copied_leases);
    for (Lease *lease = r->leases; lease != NULL; lease = lease->hh.next) {
        lease->expires_at = now + lease->ttl;
    }
    while (r->n_history > 0 &&
           r->history[r->n_history - 1].revision > r->copied_revision) {
        r->n_history--;
        free(r->history[r->n_history].key);
        free(r->history[r->n_history].value64);
    }
    r->revision = r->copied_revision;
    r->era++;
}

/* Removes items whose lease or time to live has ended, and ended leases. */
static void
remove_expired(Registry *r, CaroTime now)
{
    Item *item;
    Item *next;
    Lease *lease;
    Lease *next_lease;
    HASH_ITER(hh, r->items, item, next)
    {
        HASH_FIND(hh, r->leases, &item->lease, sizeof(item->lease), lease);
        bool is_lease_expired =
            item->lease != 0 && (lease == NULL || now >= lease->expires_at);
        if (is_lease_expired ||
            (item->expires_at != 0 && now >= item->expires_at)) {
            remove_item(r, item);
        }
    }
    HASH_ITER(hh, r->leases, lease, next_lease)
    {
        if (now >= lease->expires_at) {
            HASH_DEL(r->leases, lease);
            free(lease);
        }
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Registry *r = arg;
    CaroTime now = CaroClock_Now();
    remove_expired(r, now);
    respond_to_watches(r, now);
}

static void
drop_connection(struct evhttp_request *req)
{
    evhttp_connection_free(evhttp_request_get_connection(req));
}

/* Counts a call and applies the faults that occur before it takes effect.
   Returns true when the call must not be handled. */
static bool
inject_fault(Registry *r, struct evhttp_request *req)
{
    r->calls++;
    if (r->is_down) {
        drop_connection(req);
        return true;
    }
    return r->is_unresponsive; /* The caller runs into its timeout. */
}

static void
on_get(struct evhttp_request *req, void *arg)
{
    Registry *r = arg;
    char key[256];
    if (inject_fault(r, req)) {
        return;
    }
    Item *item =
        Fake_Query(req, "key", key, sizeof(key)) ? find_item(r, key) : NULL;
    json_t *value = item == NULL ? json_object() : item_json(item);
    (void)json_object_set_new(value, "at", json_integer(r->revision));
    reply(r, req, item == NULL ? 404 : 200, value);
}

static int
compare_keys(const Item *a, const Item *b)
{
    return strcmp(a->key, b->key);
}

static void
on_range(struct evhttp_request *req, void *arg)
{
    Registry *r = arg;
    char prefix[256] = "";
    char after_key[256] = "";
    Item *item;
    Item *next;
    if (inject_fault(r, req)) {
        return;
    }
    (void)Fake_Query(req, "path_prefix", prefix, sizeof(prefix));
    (void)Fake_Query(req, "after", after_key, sizeof(after_key));
    HASH_SORT(r->items, compare_keys);
    json_t *entries = json_array();
    enum { PAGE_ITEMS = 5 }; /* Small, so that tests read several. */
    bool has_more = false;
    HASH_ITER(hh, r->items, item, next)
    {
        if (strncmp(item->key, prefix, strlen(prefix)) == 0 &&
            strcmp(item->key, after_key) > 0) {
            if (json_array_size(entries) == PAGE_ITEMS) {
                has_more = true;
                break;
            }
            (void)json_array_append_new(entries, item_json(item));
        }
    }
    if (!has_more) { /* The next page begins behind the last key. */
        add_odd_entries(r, entries);
    }
    reply(r, req, 200,
          json_pack("{s:o, s:b, s:I}", "entries", entries, "has_more",
                    has_more, "at", (json_int_t)r->revision));
}

static void
on_watch(struct evhttp_request *req, void *arg)
{
    Registry *r = arg;
    char prefix[256] = "";
    CaroTime now = CaroClock_Now();
    if (inject_fault(r, req)) {
        return;
    }
    (void)Fake_Query(req, "path_prefix", prefix, sizeof(prefix));
    Watch *w = calloc(1, sizeof(*w));
    if (w == NULL || (w->prefix = strdup(prefix)) == NULL) {
        abort();
    }
    w->req = req;
    w->after_revision = (int64_t)Fake_GetNumber(req, "after", 0.0);
    w->deadline =
        now + (CaroTime)Fake_GetNumber(req, "wait_ms", 0.0) * CARO_MS;
    w->next = r->watches;
    r->watches = w;
    respond_to_watches(r, now);
}

/* Responds to a write, or closes the connection when the response is to be
   lost.  Takes ownership of the value. */
static void
reply_write(Registry *r, struct evhttp_request *req, int status, json_t *value)
{
    double sample = (double)(CaroClock_Random() >> 11) / 9007199254740992.0;
    if (sample < r->response_loss_rate) {
        json_decref(value);
        drop_connection(req);
        return;
    }
    reply(r, req, status, value);
}

static bool
has_expected_revisions(Registry *r, const json_t *rows)
{
    size_t i;
    json_t *row;
    json_array_foreach(rows, i, row)
    {
        Item *item =
            find_item(r, json_string_value(json_object_get(row, "key")));
        int64_t revision =
            json_integer_value(json_object_get(row, "revision"));
        if ((item == NULL ? 0 : item->revision) != revision) {
            return false;
        }
    }
    return true;
}

static void
on_txn(struct evhttp_request *req, void *arg)
{
    Registry *r = arg;
    size_t size;
    size_t i;
    json_t *put;
    if (inject_fault(r, req)) {
        return;
    }
    const char *body = Fake_Body(req, &size);
    json_t *root = json_loadb(body, size, 0, NULL);
    if (!has_expected_revisions(r,
                                json_object_get(root, "expected_revision"))) {
        reply_write(r, req, 412, json_pack("{s:[]}", "entries"));
        json_decref(root);
        return;
    }
    json_array_foreach(json_object_get(root, "puts"), i, put)
    {
        int64_t id = json_integer_value(json_object_get(put, "lease"));
        Lease *lease;
        HASH_FIND(hh, r->leases, &id, sizeof(id), lease);
        if (id != 0 && lease == NULL) {
            reply_write(r, req, 404, json_object());
            json_decref(root);
            return;
        }
        put_item(r, json_string_value(json_object_get(put, "key")),
                 json_string_value(json_object_get(put, "value")), id, 0);
    }
    json_decref(root);
    reply_write(r, req, 200,
                json_pack("{s:I}", "revision", (json_int_t)r->revision));
    respond_to_watches(r, CaroClock_Now());
}

static void
on_lease(struct evhttp_request *req, void *arg)
{
    Registry *r = arg;
    size_t size;
    if (inject_fault(r, req)) {
        return;
    }
    const char *body = Fake_Body(req, &size);
    json_t *root = json_loadb(body, size, 0, NULL);
    Lease *lease = calloc(1, sizeof(*lease));
    if (lease == NULL) {
        abort();
    }
    lease->id = ++r->revision;
    lease->ttl = json_integer_value(json_object_get(root, "ttl_ms")) * CARO_MS;
    lease->expires_at = CaroClock_Now() + lease->ttl;
    HASH_ADD(hh, r->leases, id, sizeof(lease->id), lease);
    json_decref(root);
    reply_write(r, req, 200,
                json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id,
                          "ttl_ms", (json_int_t)(lease->ttl / CARO_MS)));
}

static void
keep_lease_alive(Registry *r, struct evhttp_request *req, const char *id_text)
{
    int64_t id = strtoll(id_text, NULL, 10);
    Lease *lease;
    HASH_FIND(hh, r->leases, &id, sizeof(id), lease);
    if (lease == NULL) {
        reply(r, req, 404, json_object());
        return;
    }
    lease->expires_at = CaroClock_Now() + lease->ttl;
    reply(r, req, 200,
          json_pack("{s:I}", "ttl_ms", (json_int_t)(lease->ttl / CARO_MS)));
}

static void
on_other(struct evhttp_request *req, void *arg)
{
    static const char keep[] = "/kv-keep/";
    Registry *r = arg;
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    if (inject_fault(r, req)) {
        return;
    }
    if (strncmp(path, keep, sizeof(keep) - 1) == 0) {
        keep_lease_alive(r, req, path + sizeof(keep) - 1);
        return;
    }
    evhttp_send_error(req, HTTP_NOTFOUND, NULL);
}

/* Handles a write by the operator or an upstream. */
static void
on_write(struct evhttp_request *req, void *arg)
{
    Registry *r = arg;
    char key[256];
    size_t size;
    CaroTime now = CaroClock_Now();
    if (r->is_down || !Fake_Query(req, "key", key, sizeof(key))) {
        drop_connection(req);
        return;
    }
    const char *body = Fake_Body(req, &size);
    char *value64 = malloc(4 * ((size + 2) / 3) + 1);
    if (value64 == NULL) {
        abort();
    }
    (void)EVP_EncodeBlock((unsigned char *)value64,
                          (const unsigned char *)body, (int)size);
    CaroTime ttl = (CaroTime)Fake_GetNumber(req, "ttl_ms", 0.0) * CARO_MS;
    put_item(r, key, value64, 0, ttl == 0 ? 0 : now + ttl);
    free(value64);
    Fake_SendText(req, HTTP_OK, "written\n");
    respond_to_watches(r, now);
}

static void
on_fault(struct evhttp_request *req, void *arg)
{
    Registry *r = arg;
    char text[64];
    r->is_down = Fake_GetNumber(req, "down", r->is_down) > 0.0;
    r->is_unresponsive = Fake_GetNumber(req, "deaf", r->is_unresponsive) > 0.0;
    r->response_loss_rate = Fake_GetNumber(req, "lose", r->response_loss_rate);
    r->has_odd_entries = Fake_GetNumber(req, "odd", r->has_odd_entries) > 0.0;
    if (Fake_GetNumber(req, "forget", 0.0) > 0.0) {
        r->compacted_revision = r->revision;
    }
    if (Fake_GetNumber(req, "copy", 0.0) > 0.0) {
        copy_state(&r->copied_items, &r->copied_leases, r->items, r->leases);
        r->copied_revision = r->revision;
    }
    if (Fake_GetNumber(req, "restore", 0.0) > 0.0) {
        restore_copy(r, CaroClock_Now());
        respond_to_watches(r, CaroClock_Now());
    }
    (void)snprintf(text, sizeof(text), "calls %llu\n",
                   (unsigned long long)r->calls);
    Fake_SendText(req, HTTP_OK, text);
}

int
FakeRegistry_Run(const FakeOptions *options)
{
    static Registry r;
    r.revision = 1;
    r.era = 1;
    r.base = event_base_new();
    r.history = calloc(HISTORY_MAX, sizeof(*r.history));
    struct evhttp *http = Fake_Listen(r.base, options->listen);
    struct event *tick = event_new(r.base, -1, EV_PERSIST, on_tick, &r);
    struct timeval period = {.tv_usec = TICK_INTERVAL};
    if (http == NULL || tick == NULL || r.history == NULL) {
        return 1;
    }
    (void)event_add(tick, &period);
    evhttp_set_cb(http, "/kv-key", on_get, &r);
    evhttp_set_cb(http, "/kv-range", on_range, &r);
    evhttp_set_cb(http, "/kv-watch", on_watch, &r);
    evhttp_set_cb(http, "/kv-txn", on_txn, &r);
    evhttp_set_cb(http, "/kv-lease", on_lease, &r);
    evhttp_set_cb(http, "/write", on_write, &r);
    evhttp_set_cb(http, "/fault", on_fault, &r);
    evhttp_set_gencb(http, on_other, &r);
    int rc = Fake_RunLoop(r.base);
    event_free(tick);
    evhttp_free(http);
    event_base_free(r.base);
    return rc;
}
