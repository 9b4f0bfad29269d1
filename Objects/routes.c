/*
 * Routing configuration of a gateway.
 *
 * The routes of a host are found by their prefix in a hash table.  A look-up
 * tries the lengths that prefixes of the host have, the longest first.
 */
#include "internal/caro_routes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <uthash.h>

/* Limits until the first configuration sets its own. */
#define HEAD_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT 4194304
#define HEAD_TIMEOUT_DEFAULT (3 * CARO_SECOND)
#define IDLE_TIMEOUT_DEFAULT (15 * CARO_SECOND)

typedef struct RouteNode {
    CaroRoute route; /* Owns its texts and shares. */
    size_t prefix_size;
    uint64_t source; /* Hash of the text that it was read from; 0 for none. */
    UT_hash_handle hh;        /* By the prefix. */
    UT_hash_handle hh_source; /* By the source, if there is one. */
} RouteNode;

typedef struct Host {
    RouteNode *routes;
    size_t *prefix_sizes; /* Those that occur, in descending order. */
    int n_prefix_sizes;
    UT_hash_handle hh;
    char name[]; /* In lower case, without a port. */
} Host;

typedef struct Key {
    int account;
    UT_hash_handle hh;
    char text[];
} Key;

struct CaroRoutes {
    int64_t version;
    Host *hosts;
    RouteNode *sources; /* Routes with a source. */
    char *name_buffer;  /* Holds the longest name of a host. */
    size_t name_size_max;
    Key *keys;
    CaroClientAccount *accounts;
    int n_accounts;
    bool requires_accounts;
    int n_routes;
    CaroCallerLimits limits;
};

/* Removes a route from the table of sources. */
static void
forget_source(CaroRoutes *r, RouteNode *node)
{
    if (node->source != 0) {
        HASH_DELETE(hh_source, r->sources, node);
        node->source = 0;
    }
}

CaroRoutes *
CaroRoutes_Create(int64_t version)
{
    CaroRoutes *r = calloc(1, sizeof(*r));
    if (r != NULL) {
        r->version = version;
        r->limits = (CaroCallerLimits){.head_bytes_max = HEAD_BYTES_DEFAULT,
                                       .body_bytes_max = BODY_BYTES_DEFAULT,
                                       .head_timeout = HEAD_TIMEOUT_DEFAULT,
                                       .idle_timeout = IDLE_TIMEOUT_DEFAULT};
    }
    return r;
}

static void
destroy_node(RouteNode *node)
{
    if (node != NULL) {
        free((char *)node->route.host);
        free((char *)node->route.prefix);
        free((CaroRouteShare *)node->route.shares);
        free(node);
    }
}

void
CaroRoutes_Destroy(CaroRoutes *r)
{
    if (r == NULL) {
        return;
    }
    Host *host;
    Host *next_host;
    HASH_ITER(hh, r->hosts, host, next_host)
    {
        HASH_DEL(r->hosts, host);
        RouteNode *node;
        RouteNode *next_node;
        HASH_ITER(hh, host->routes, node, next_node)
        {
            HASH_DEL(host->routes, node);
            forget_source(r, node);
            destroy_node(node);
        }
        free(host->prefix_sizes);
        free(host);
    }
    free(r->name_buffer);
    Key *key;
    Key *next_key;
    HASH_ITER(hh, r->keys, key, next_key)
    {
        HASH_DEL(r->keys, key);
        free(key);
    }
    for (int i = 0; i < r->n_accounts; i++) {
        free((char *)r->accounts[i].name);
    }
    free(r->accounts);
    free(r);
}

/* Returns the size of a host name without its port. */
static size_t
host_name_size(const char *host, size_t size)
{
    const char *colon = memchr(host, ':', size);
    return colon == NULL ? size : (size_t)(colon - host);
}

static void
copy_in_lower_case(char *out, const char *text, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        char c = text[i];
        out[i] = (char)(c >= 'A' && c <= 'Z' ? c + 'a' - 'A' : c);
    }
}

static Host *
find_host(const CaroRoutes *r, const char *host, size_t host_size)
{
    Host *found = NULL;
    size_t size = host_name_size(host, host_size);
    if (r->hosts != NULL && size <= r->name_size_max) {
        copy_in_lower_case(r->name_buffer, host, size);
        HASH_FIND(hh, r->hosts, r->name_buffer, size, found);
    }
    return found;
}

static Host *
add_host(CaroRoutes *r, const char *host)
{
    size_t size = host_name_size(host, strlen(host));
    if (r->name_buffer == NULL || size > r->name_size_max) {
        char *buffer = realloc(r->name_buffer, size + 1);
        if (buffer == NULL) {
            return NULL;
        }
        r->name_buffer = buffer;
        r->name_size_max = size;
    }
    Host *added = calloc(1, sizeof(*added) + size + 1);
    if (added != NULL) {
        copy_in_lower_case(added->name, host, size);
        HASH_ADD_KEYPTR(hh, r->hosts, added->name, size, added);
    }
    return added;
}

/* Returns a copy of the route with its texts and shares, or NULL. */
static RouteNode *
copy_route(const CaroRoute *route)
{
    size_t size = (size_t)route->n_shares * sizeof(*route->shares);
    RouteNode *node = calloc(1, sizeof(*node));
    if (node == NULL) {
        return NULL;
    }
    CaroRouteShare *shares = malloc(size + 1);
    node->route = *route;
    node->route.host = strdup(route->host);
    node->route.prefix = strdup(route->prefix);
    node->route.shares = shares;
    if (node->route.host == NULL || node->route.prefix == NULL ||
        shares == NULL) {
        destroy_node(node);
        return NULL;
    }
    if (size > 0) {
        memcpy(shares, route->shares, size);
    }
    node->prefix_size = strlen(route->prefix);
    return node;
}

/* Adds a length to those that prefixes of the host have. */
static int
add_prefix_size(Host *host, size_t size)
{
    int at = 0;
    while (at < host->n_prefix_sizes && host->prefix_sizes[at] > size) {
        at++;
    }
    if (at < host->n_prefix_sizes && host->prefix_sizes[at] == size) {
        return 0;
    }
    size_t *all = realloc(host->prefix_sizes,
                          ((size_t)host->n_prefix_sizes + 1) * sizeof(*all));
    if (all == NULL) {
        return CARO_ERR_NOMEM;
    }
    host->prefix_sizes = all;
    memmove(all + at + 1, all + at,
            (size_t)(host->n_prefix_sizes - at) * sizeof(*all));
    all[at] = size;
    host->n_prefix_sizes++;
    return 0;
}

static RouteNode *
find_prefix(const Host *host, const char *path, size_t size)
{
    RouteNode *found;
    HASH_FIND(hh, host->routes, path, size, found);
    return found;
}

int
CaroRoutes_Add(CaroRoutes *r, const CaroRoute *route)
{
    return CaroRoutes_AddFrom(r, route, 0);
}

const CaroRoute *
CaroRoutes_FindBySource(const CaroRoutes *r, uint64_t source)
{
    const RouteNode *node;
    HASH_FIND(hh_source, r->sources, &source, sizeof(source), node);
    return node == NULL ? NULL : &node->route;
}

int
CaroRoutes_AddFrom(CaroRoutes *r, const CaroRoute *route, uint64_t source)
{
    Host *host = find_host(r, route->host, strlen(route->host));
    if (host == NULL) {
        host = add_host(r, route->host);
    }
    RouteNode *node = host == NULL ? NULL : copy_route(route);
    if (node == NULL || add_prefix_size(host, node->prefix_size) < 0) {
        destroy_node(node);
        return CARO_ERR_NOMEM;
    }
    RouteNode *same = find_prefix(host, node->route.prefix, node->prefix_size);
    if (same != NULL) {
        HASH_DEL(host->routes, same);
        forget_source(r, same);
        destroy_node(same);
    }
    HASH_ADD_KEYPTR(hh, host->routes, node->route.prefix, node->prefix_size,
                    node);
    if (source != 0 && CaroRoutes_FindBySource(r, source) == NULL) {
        node->source = source;
        HASH_ADD(hh_source, r->sources, source, sizeof(node->source), node);
    }
    r->n_routes++;
    return 0;
}

void
CaroRoutes_RequireAccounts(CaroRoutes *r)
{
    r->requires_accounts = true;
}

int
CaroRoutes_AddAccount(CaroRoutes *r, const CaroClientAccount *account,
                      int *index)
{
    CaroClientAccount *all = realloc(r->accounts, ((size_t)r->n_accounts + 1) *
                                                      sizeof(*r->accounts));
    if (all == NULL) {
        return CARO_ERR_NOMEM;
    }
    r->accounts = all;
    r->requires_accounts = true;
    char *name = strdup(account->name);
    if (name == NULL) {
        return CARO_ERR_NOMEM;
    }
    *index = r->n_accounts++;
    r->accounts[*index] = *account;
    r->accounts[*index].name = name;
    return 0;
}

int
CaroRoutes_AddKey(CaroRoutes *r, const char *text, int account)
{
    size_t size = strlen(text);
    if (size == 0) {
        return 0;
    }
    Key *key = calloc(1, sizeof(*key) + size + 1);
    if (key == NULL) {
        return CARO_ERR_NOMEM;
    }
    memcpy(key->text, text, size);
    key->account = account;
    HASH_ADD_KEYPTR(hh, r->keys, key->text, size, key);
    return 0;
}

void
CaroRoutes_SetLimits(CaroRoutes *r, const CaroCallerLimits *limits)
{
    r->limits = *limits;
}

const CaroRoute *
CaroRoutes_Find(const CaroRoutes *r, const char *host, size_t host_size,
                const char *path, size_t path_size)
{
    const Host *found = find_host(r, host, host_size);
    if (found == NULL) {
        return NULL;
    }
    for (int i = 0; i < found->n_prefix_sizes; i++) {
        size_t size = found->prefix_sizes[i];
        const RouteNode *n =
            size <= path_size ? find_prefix(found, path, size) : NULL;
        if (n != NULL) {
            return &n->route;
        }
    }
    return NULL;
}

const CaroClientAccount *
CaroRoutes_FindAccount(const CaroRoutes *r, const char *text, size_t size)
{
    Key *key;
    HASH_FIND(hh, r->keys, text, size, key);
    return key == NULL ? NULL : &r->accounts[key->account];
}

const char *
CaroRoutes_FindKeyOf(const CaroRoutes *r, const char *account)
{
    for (const Key *key = r->keys; key != NULL; key = key->hh.next) {
        if (strcmp(r->accounts[key->account].name, account) == 0) {
            return key->text;
        }
    }
    return NULL;
}

const char *
CaroRoute_ChooseService(const CaroRoute *route, double draw)
{
    double sum = 0.0;
    for (int i = 0; i < route->n_shares; i++) {
        sum += (double)route->shares[i].weight;
    }
    double at = draw * sum;
    for (int i = 0; i < route->n_shares; i++) {
        at -= (double)route->shares[i].weight;
        if (at < 0.0) {
            return route->shares[i].service;
        }
    }
    return route->n_shares == 0 ? NULL : route->shares[0].service;
}

int64_t
CaroRoutes_Version(const CaroRoutes *r)
{
    return r->version;
}

int
CaroRoutes_Count(const CaroRoutes *r)
{
    return r->n_routes;
}

bool
CaroRoutes_RequiresAccounts(const CaroRoutes *r)
{
    return r->requires_accounts;
}

const CaroCallerLimits *
CaroRoutes_Limits(const CaroRoutes *r)
{
    return &r->limits;
}
