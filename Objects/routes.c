/*
 * Routing configuration of a gateway.
 *
 * The routes of a host form a list sorted by descending prefix length, so
 * that the first match is the longest.
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
    CaroRoute route;
    size_t prefix_size;
    struct RouteNode *next; /* Same host; the prefix is not longer. */
} RouteNode;

typedef struct Host {
    char name[CARO_HOST_SIZE];
    RouteNode *routes;
    UT_hash_handle hh;
} Host;

typedef struct Key {
    char text[CARO_API_KEY_SIZE];
    int account;
    UT_hash_handle hh;
} Key;

struct CaroRoutes {
    int64_t version;
    Host *hosts;
    Key *keys;
    CaroClientAccount *accounts;
    int n_accounts;
    int n_routes;
    CaroCallerLimits limits;
};

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
        while (host->routes != NULL) {
            RouteNode *node = host->routes;
            host->routes = node->next;
            free(node);
        }
        free(host);
    }
    Key *key;
    Key *next_key;
    HASH_ITER(hh, r->keys, key, next_key)
    {
        HASH_DEL(r->keys, key);
        free(key);
    }
    free(r->accounts);
    free(r);
}

/* Copies a host name in lower case, without its port.  Returns its length. */
static size_t
normalize_host(char out[CARO_HOST_SIZE], const char *host, size_t size)
{
    size_t n = 0;
    while (n < size && n < CARO_HOST_SIZE - 1 && host[n] != ':') {
        char c = host[n];
        out[n++] = (char)(c >= 'A' && c <= 'Z' ? c + 'a' - 'A' : c);
    }
    out[n] = '\0';
    return n;
}

int
CaroRoutes_Add(CaroRoutes *r, const CaroRoute *route)
{
    char name[CARO_HOST_SIZE];
    size_t size = normalize_host(name, route->host, strlen(route->host));
    Host *host;
    HASH_FIND(hh, r->hosts, name, size, host);
    if (host == NULL) {
        host = calloc(1, sizeof(*host));
        if (host == NULL) {
            return CARO_ERR_NOMEM;
        }
        CARO_COPY(host->name, name);
        HASH_ADD_KEYPTR(hh, r->hosts, host->name, size, host);
    }
    RouteNode *node = calloc(1, sizeof(*node));
    if (node == NULL) {
        return CARO_ERR_NOMEM;
    }
    node->route = *route;
    node->prefix_size = strlen(route->prefix);
    RouteNode **at = &host->routes;
    while (*at != NULL && (*at)->prefix_size > node->prefix_size) {
        at = &(*at)->next;
    }
    node->next = *at;
    *at = node;
    r->n_routes++;
    return 0;
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
    *index = r->n_accounts++;
    r->accounts[*index] = *account;
    return 0;
}

int
CaroRoutes_AddKey(CaroRoutes *r, const char *text, int account)
{
    size_t size = strlen(text);
    if (size == 0 || size >= CARO_API_KEY_SIZE) {
        return CARO_ERR_INPUT;
    }
    Key *key = calloc(1, sizeof(*key));
    if (key == NULL) {
        return CARO_ERR_NOMEM;
    }
    CARO_COPY(key->text, text);
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
    char name[CARO_HOST_SIZE];
    size_t size = normalize_host(name, host, host_size);
    Host *found;
    HASH_FIND(hh, r->hosts, name, size, found);
    if (found == NULL) {
        return NULL;
    }
    for (const RouteNode *n = found->routes; n != NULL; n = n->next) {
        if (n->prefix_size <= path_size &&
            memcmp(n->route.prefix, path, n->prefix_size) == 0) {
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
CaroRoute_ChooseService(const CaroRoute *route, double draw)
{
    int64_t sum = 0;
    for (int i = 0; i < route->n_shares; i++) {
        sum += route->shares[i].weight;
    }
    double at = draw * (double)sum;
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
CaroRoutes_HasAccounts(const CaroRoutes *r)
{
    return r->n_accounts > 0;
}

const CaroCallerLimits *
CaroRoutes_Limits(const CaroRoutes *r)
{
    return &r->limits;
}
