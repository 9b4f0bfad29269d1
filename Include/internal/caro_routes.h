/*
 * NAME
 *     caro_routes - the operator's configuration of a gateway
 *
 * Routes by host and longest path prefix, the services they lead to, the
 * accounts by API key and the limits on callers.  A value is filled once
 * and then only read; a new configuration is a new value.
 */
#ifndef CARO_ROUTES_H
#define CARO_ROUTES_H

#include "caro_error.h"
#include "internal/caro_types.h"

enum {
    CARO_HOST_SIZE = 128,   /* Bytes of a host with its terminator. */
    CARO_PREFIX_SIZE = 256, /* Bytes of a path prefix. */
    CARO_SPLIT_MAX = 8,     /* Services that one route may lead to. */
    CARO_API_KEY_SIZE = 128 /* Bytes of an API key. */
};

typedef enum {
    CARO_ROUTE_IDEMPOTENT,     /* May run more than once. */
    CARO_ROUTE_NON_IDEMPOTENT, /* Runs at most once. */
    CARO_ROUTE_STREAM          /* Answers with an event stream. */
} CaroRouteKind;

typedef struct {
    char service[CARO_NAME_SIZE];
    int64_t weight; /* Share of the traffic, relative to the others. */
} CaroRouteShare;

typedef struct {
    char name[CARO_NAME_SIZE];
    char host[CARO_HOST_SIZE];
    char prefix[CARO_PREFIX_SIZE]; /* Begins and ends with a slash. */
    CaroRouteKind kind;
    CaroTime timeout;     /* Longest wait for an answer. */
    CaroTime objective;   /* Response time that callers expect. */
    CaroTime gap;         /* Longest pause between events on time. */
    int64_t attempts_max; /* Upstreams that one request may run on. */
    int64_t priority;     /* 0 is served first. */
    bool is_public;       /* Needs no API key. */
    bool is_resumable;    /* Its stream may go on at another upstream. */
    CaroRouteShare shares[CARO_SPLIT_MAX];
    int n_shares;
} CaroRoute;

typedef struct {
    int64_t head_bytes_max;
    int64_t body_bytes_max;
    CaroTime head_timeout; /* For a caller to send its head. */
    CaroTime idle_timeout; /* For a kept connection without requests. */
} CaroCallerLimits;

typedef struct {
    char name[CARO_NAME_SIZE];
    int64_t priority; /* Goes before the route's; -1 when not given. */
} CaroClientAccount;

typedef struct CaroRoutes CaroRoutes;

/* Creates an empty configuration of the operator's version. */
CaroRoutes *CaroRoutes_Create(int64_t version);
void CaroRoutes_Destroy(CaroRoutes *r);

/* Adds a copy of the route.  Returns 0 or CARO_ERR_NOMEM. */
int CaroRoutes_Add(CaroRoutes *r, const CaroRoute *route);

/* Adds an account; *index names it for CaroRoutes_AddKey. */
int CaroRoutes_AddAccount(CaroRoutes *r, const CaroClientAccount *account,
                          int *index);

/* Gives a key to an account.  Returns 0, CARO_ERR_INPUT or _NOMEM. */
int CaroRoutes_AddKey(CaroRoutes *r, const char *key, int account);

void CaroRoutes_SetLimits(CaroRoutes *r, const CaroCallerLimits *limits);

/*
 * The route of the host (a port is ignored) with the longest prefix of
 * the path, or NULL.  Borrowed from r.
 */
const CaroRoute *CaroRoutes_Find(const CaroRoutes *r, const char *host,
                                 size_t host_size, const char *path,
                                 size_t path_size);

/* The account that holds the key, or NULL.  Borrowed from r. */
const CaroClientAccount *CaroRoutes_FindAccount(const CaroRoutes *r,
                                                const char *key, size_t size);

/* The service of one request; "draw" is uniform in [0, 1). */
const char *CaroRoute_ChooseService(const CaroRoute *route, double draw);

int64_t CaroRoutes_Version(const CaroRoutes *r);
int CaroRoutes_Count(const CaroRoutes *r);
bool CaroRoutes_HasAccounts(const CaroRoutes *r);
const CaroCallerLimits *CaroRoutes_Limits(const CaroRoutes *r);

#endif
