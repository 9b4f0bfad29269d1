/*
 * Client of the platform's key-value service, and the embedded store.
 *
 * Requests follow the JSON form of the etcd v3 interface: keys and values
 * in base64, 64-bit numbers as strings.  Calls are not retried here, because
 * only the caller knows whether a write may be sent again.
 */
#include "internal/caro_store.h"

#include "internal/caro_http_client.h"

#include <inttypes.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define CALL_TIMEOUT (2 * CARO_SECOND)

typedef enum { STORE_CLIENT, STORE_EMBEDDED } StoreKind;

/* A key and its value in an embedded store. */
typedef struct Item {
    char *key;
    char *value; /* Followed by a NUL byte, which size does not count. */
    size_t size;
    uint64_t revision;
    UT_hash_handle hh;
} Item;

struct CaroStore {
    StoreKind kind;
    struct event_base *base;
    uint64_t calls; /* Number of calls made so far. */
    union {
        struct {
            char address[CARO_ADDRESS_SIZE];
        } client;
        struct {
            Item *items;       /* All items, hashed by key. */
            uint64_t revision; /* Last one given to a change or a lease. */
        } embedded;
    } u;
};

typedef enum { CALL_GET, CALL_PUT, CALL_GRANT, CALL_KEEP_ALIVE } CallKind;

/* A call whose result has not been delivered. */
typedef struct {
    CallKind kind; /* Used by a client only. */
    CaroStoreDone done;
    void *context;
    /* Used by an embedded store only: the result and its copy of the value. */
    CaroStoreResult result;
    char *value;
} StoreCall;

/* Returns the text, which the caller frees; NULL when out of memory. */
static char *
base64_encode(const char *bytes, size_t size)
{
    size_t capacity = 4 * ((size + 2) / 3) + 1;
    char *text = malloc(capacity);
    if (text != NULL) {
        (void)EVP_EncodeBlock((unsigned char *)text,
                              (const unsigned char *)bytes, (int)size);
    }
    return text;
}

/*
 * Returns the bytes, which the caller frees, followed by a NUL byte that
 * *size does not count; or NULL when out of memory or the text is not
 * base64.
 */
static char *
base64_decode(const char *text, size_t *size)
{
    size_t n = strlen(text);
    char *bytes = malloc(n + 1);
    if (bytes == NULL) {
        return NULL;
    }
    int decoded = EVP_DecodeBlock((unsigned char *)bytes,
                                  (const unsigned char *)text, (int)n);
    if (decoded < 0) {
        free(bytes);
        return NULL;
    }
    for (size_t i = n; i > 0 && text[i - 1] == '='; i--) {
        decoded--;
    }
    bytes[decoded] = '\0';
    *size = (size_t)decoded;
    return bytes;
}

/* Reads a 64-bit number, which the service sends as a string. */
static uint64_t
parse_uint64(const json_t *value)
{
    if (json_is_string(value)) {
        return strtoull(json_string_value(value), NULL, 10);
    }
    return (uint64_t)json_integer_value(value);
}

CaroStore *
CaroStore_CreateClient(struct event_base *base, const char *address)
{
    CaroStore *s = calloc(1, sizeof(*s));
    if (s != NULL) {
        s->kind = STORE_CLIENT;
        s->base = base;
        CARO_COPY(s->u.client.address, address);
    }
    return s;
}

CaroStore *
CaroStore_CreateEmbedded(struct event_base *base)
{
    CaroStore *s = calloc(1, sizeof(*s));
    if (s != NULL) {
        s->kind = STORE_EMBEDDED;
        s->base = base;
    }
    return s;
}

void
CaroStore_Destroy(CaroStore *s)
{
    if (s == NULL) {
        return;
    }
    if (s->kind == STORE_EMBEDDED) {
        Item *item;
        Item *next;
        HASH_ITER(hh, s->u.embedded.items, item, next)
        {
            HASH_DEL(s->u.embedded.items, item);
            free(item->key);
            free(item->value);
            free(item);
        }
    }
    free(s);
}

/*
 * Fills the result from a key-value object of the service.  Returns the
 * value that the result refers to; the caller frees it.
 */
static char *
parse_kv(const json_t *kv, CaroStoreResult *result)
{
    const char *text = json_string_value(json_object_get(kv, "value"));
    result->revision = parse_uint64(json_object_get(kv, "mod_revision"));
    char *value = base64_decode(text == NULL ? "" : text, &result->size);
    result->value = value;
    return value;
}

/* Fills the result from a response; returns a value as parse_kv does. */
static char *
parse_response(CallKind kind, const json_t *root, CaroStoreResult *result)
{
    switch (kind) {
    case CALL_GET: {
        const json_t *kv = json_array_get(json_object_get(root, "kvs"), 0);
        if (kv == NULL) {
            result->code = CARO_ERR_NOT_FOUND;
            return NULL;
        }
        return parse_kv(kv, result);
    }
    case CALL_PUT:
        if (!json_is_true(json_object_get(root, "succeeded"))) {
            result->code = CARO_ERR_STATE;
        }
        result->revision = parse_uint64(
            json_object_get(json_object_get(root, "header"), "revision"));
        return NULL;
    case CALL_GRANT:
        result->revision = parse_uint64(json_object_get(root, "ID"));
        return NULL;
    default: {
        const json_t *status = json_object_get(root, "result");
        if (parse_uint64(json_object_get(status, "TTL")) == 0) {
            result->code = CARO_ERR_NOT_FOUND;
        }
        return NULL;
    }
    }
}

static void
on_client_done(void *context, int code, int status, const char *body,
               size_t size, bool is_sent, const CaroHttpHead *head)
{
    (void)is_sent;
    (void)head;
    StoreCall *c = context;
    CaroStoreResult result = {.code = code};
    char *value = NULL;
    json_t *root = NULL;
    if (code == 0 && status != 200) {
        result.code = CARO_ERR_IO;
    }
    else if (code == 0) {
        root = json_loadb(body, size, 0, NULL);
        if (root == NULL) {
            result.code = CARO_ERR_INPUT;
        }
        else {
            value = parse_response(c->kind, root, &result);
        }
    }
    c->done(c->context, &result);
    json_decref(root);
    free(value);
    free(c);
}

/* Sends a request with a JSON body, which is released. */
static void
client_call(CaroStore *s, CallKind kind, const char *path, json_t *root,
            CaroStoreDone done, void *context)
{
    StoreCall *c = calloc(1, sizeof(*c));
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    if (c == NULL || text == NULL) {
        abort(); /* The callback, which must run, could not be stored. */
    }
    c->kind = kind;
    c->done = done;
    c->context = context;
    CaroHttpCall call = {.address = s->u.client.address,
                         .path = path,
                         .method = "POST",
                         .body = text,
                         .size = strlen(text),
                         .timeout = CALL_TIMEOUT};
    CaroHttp_Call(s->base, &call, on_client_done, c);
    free(text);
}

static void
on_embedded_done(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    StoreCall *c = arg;
    c->done(c->context, &c->result);
    free(c->value);
    free(c);
}

/*
 * Delivers the result from the event loop, and not before the call returns,
 * as the client does.  The value is copied.
 */
static void
embedded_deliver(CaroStore *s, CaroStoreResult result, CaroStoreDone done,
                 void *context)
{
    StoreCall *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort(); /* The callback, which must run, could not be stored. */
    }
    c->done = done;
    c->context = context;
    c->result = result;
    if (result.value != NULL) {
        c->value = malloc(result.size + 1);
        if (c->value == NULL) {
            abort();
        }
        memcpy(c->value, result.value, result.size);
        c->value[result.size] = '\0';
        c->result.value = c->value;
    }
    struct timeval no_delay = {0, 0};
    (void)event_base_once(s->base, -1, EV_TIMEOUT, on_embedded_done, c,
                          &no_delay);
}

static Item *
find_item(CaroStore *s, const char *key)
{
    Item *item;
    HASH_FIND(hh, s->u.embedded.items, key, strlen(key), item);
    return item;
}

/* Writes the key if its revision is "expected" (0: the key is absent). */
static CaroStoreResult
embedded_put(CaroStore *s, const char *key, const char *value, size_t size,
             uint64_t expected)
{
    CaroStoreResult result = {.code = 0};
    Item *item = find_item(s, key);
    if ((item == NULL ? 0 : item->revision) != expected) {
        result.code = CARO_ERR_STATE;
        return result;
    }
    char *copy = malloc(size + 1);
    if (copy == NULL) {
        result.code = CARO_ERR_NOMEM;
        return result;
    }
    memcpy(copy, value, size);
    copy[size] = '\0';
    if (item == NULL) {
        item = calloc(1, sizeof(*item));
        if (item == NULL || (item->key = strdup(key)) == NULL) {
            free(copy);
            free(item);
            result.code = CARO_ERR_NOMEM;
            return result;
        }
        HASH_ADD_KEYPTR(hh, s->u.embedded.items, item->key, strlen(item->key),
                        item);
    }
    free(item->value);
    item->value = copy;
    item->size = size;
    item->revision = ++s->u.embedded.revision;
    result.revision = item->revision;
    return result;
}

void
CaroStore_Get(CaroStore *s, const char *key, CaroStoreDone done, void *context)
{
    s->calls++;
    if (s->kind == STORE_EMBEDDED) {
        CaroStoreResult result = {.code = CARO_ERR_NOT_FOUND};
        Item *item = find_item(s, key);
        if (item != NULL) {
            result = (CaroStoreResult){.revision = item->revision,
                                       .value = item->value,
                                       .size = item->size};
        }
        embedded_deliver(s, result, done, context);
        return;
    }
    char *key64 = base64_encode(key, strlen(key));
    json_t *root = json_pack("{s:s}", "key", key64);
    free(key64);
    client_call(s, CALL_GET, "/v3/kv/range", root, done, context);
}

void
CaroStore_Put(CaroStore *s, const char *key, const char *value, size_t size,
              uint64_t expected, uint64_t lease, CaroStoreDone done,
              void *context)
{
    s->calls++;
    if (s->kind == STORE_EMBEDDED) {
        embedded_deliver(s, embedded_put(s, key, value, size, expected), done,
                         context);
        return;
    }
    char revision_text[24];
    char lease_text[24];
    char *key64 = base64_encode(key, strlen(key));
    char *value64 = base64_encode(value, size);
    (void)snprintf(revision_text, sizeof(revision_text), "%" PRIu64, expected);
    (void)snprintf(lease_text, sizeof(lease_text), "%" PRIu64, lease);
    json_t *root =
        json_pack("{s:[{s:s, s:s, s:s, s:s}], s:[{s:{s:s, s:s, s:s}}]}",
                  "compare", "key", key64, "target", "MOD", "result", "EQUAL",
                  "mod_revision", revision_text, "success", "request_put",
                  "key", key64, "value", value64, "lease", lease_text);
    free(key64);
    free(value64);
    client_call(s, CALL_PUT, "/v3/kv/txn", root, done, context);
}

void
CaroStore_Grant(CaroStore *s, int ttl_s, CaroStoreDone done, void *context)
{
    s->calls++;
    if (s->kind == STORE_EMBEDDED) {
        CaroStoreResult result = {.revision = ++s->u.embedded.revision};
        embedded_deliver(s, result, done, context);
        return;
    }
    client_call(s, CALL_GRANT, "/v3/lease/grant",
                json_pack("{s:i}", "TTL", ttl_s), done, context);
}

void
CaroStore_KeepAlive(CaroStore *s, uint64_t lease, CaroStoreDone done,
                    void *context)
{
    s->calls++;
    if (s->kind == STORE_EMBEDDED) {
        CaroStoreResult result = {.revision = lease};
        embedded_deliver(s, result, done, context);
        return;
    }
    char text[24];
    (void)snprintf(text, sizeof(text), "%" PRIu64, lease);
    client_call(s, CALL_KEEP_ALIVE, "/v3/lease/keepalive",
                json_pack("{s:s}", "ID", text), done, context);
}

uint64_t
CaroStore_CountCalls(const CaroStore *s)
{
    return s->calls;
}
