/*
 * NAME
 *     caro_routes - routing configuration of a gateway
 *
 * Holds the routes by host and longest path prefix, the services that they
 * lead to, the client accounts by API key and the limits on callers.  An
 * object is filled once and read-only afterwards; a new configuration is a
 * new object.
 */
#ifndef CARO_ROUTES_H
#define CARO_ROUTES_H

#include "caro_error.h"
#include "internal/caro_types.h"

/* How often requests may be executed, and what is returned. */
typedef enum {
    CARO_ROUTE_IDEMPOTENT,     /* May be executed more than once. */
    CARO_ROUTE_NON_IDEMPOTENT, /* Executed at most once. */
    CARO_ROUTE_STREAM          /* The response is an event stream. */
} CaroRouteKind;

/* One service in the traffic split of a route. */
typedef struct {
    char service[CARO_NAME_SIZE]; /* As of caro_name.h. */
    int64_t weight; /* Relative to the sum of the route's weights. */
} CaroRouteShare;

/* How requests to a host and path prefix are served. */
typedef struct {
    char name[CARO_NAME_SIZE]; /* As of caro_name.h. */
    const char *host;
    const char *prefix; /* Starts and ends with a slash. */
    CaroRouteKind kind;
    CaroTime timeout;     /* Longest wait for a response. */
    CaroTime objective;   /* Response time objective. */
    CaroTime gap;         /* Objective for the time between two events. */
    int64_t attempts_max; /* Targets that one request may be sent to. */
    int64_t priority;     /* 0 is served first. */
    bool is_public;       /* No API key is required. */
    bool is_resumable;    /* Another target can resume its streams. */
    bool is_unusable;     /* Parts of it cannot be read: no request of it can
                             be served. */
    const CaroRouteShare *shares;
    int n_shares;
} CaroRoute;

/* Limits on requests and connections of callers. */
typedef struct {
    int64_t head_bytes_max;
    int64_t body_bytes_max;
    CaroTime head_timeout; /* Wait for a complete request head. */
    CaroTime idle_timeout; /* Wait for the next request of a connection. */
} CaroCallerLimits;

/* The account of a caller, found by its API key. */
typedef struct {
    const char *name;
    int64_t priority; /* Overrides that of the route; -1 when absent. */
    bool is_unusable; /* Its name cannot be sent in a header. */
} CaroClientAccount;

typedef struct CaroRoutes CaroRoutes;

/* Creates an empty configuration with default limits, or returns NULL.
   "version" is that of the operators' document.  Destroy accepts NULL. */
CaroRoutes *CaroRoutes_Create(int64_t version);
void CaroRoutes_Destroy(CaroRoutes *r);

/* Adds a copy of the route with its texts and shares, of any length and
   number.  Returns 0 or CARO_ERR_NOMEM. */
int CaroRoutes_Add(CaroRoutes *r, const CaroRoute *route);

/* Likewise of a route that was read from a text with the hash, of which
   FindBySource finds it. */
int CaroRoutes_AddFrom(CaroRoutes *r, const CaroRoute *route, uint64_t source);

/* Returns the route that was read from a text with the hash, or NULL. Borrowed
   from r. */
const CaroRoute *CaroRoutes_FindBySource(const CaroRoutes *r, uint64_t source);

/* Makes all routes that are not public ask for an API key, also when no
   account has one. */
void CaroRoutes_RequireAccounts(CaroRoutes *r);

/* Adds a copy of the account and its name; *index is its argument for AddKey.
   Returns 0 or CARO_ERR_NOMEM. */
int CaroRoutes_AddAccount(CaroRoutes *r, const CaroClientAccount *account,
                          int *index);

/* Assigns an API key to an account.  No request can present an empty key.
   Returns 0 or CARO_ERR_NOMEM. */
int CaroRoutes_AddKey(CaroRoutes *r, const char *key, int account);

/* Replaces the limits by a copy of *limits. */
void CaroRoutes_SetLimits(CaroRoutes *r, const CaroCallerLimits *limits);

/*
 * Returns the route with the longest matching path prefix among those of
 * the host, whose port is ignored, or NULL.  Borrowed from r.
 */
const CaroRoute *CaroRoutes_Find(const CaroRoutes *r, const char *host,
                                 size_t host_size, const char *path,
                                 size_t path_size);

/* Returns the account with the API key, or NULL.  Borrowed from r. */
const CaroClientAccount *CaroRoutes_FindAccount(const CaroRoutes *r,
                                                const char *key, size_t size);

/* Returns a key of the account, borrowed; NULL if there is no such account or
   it has none. */
const char *CaroRoutes_FindKeyOf(const CaroRoutes *r, const char *account);

/* Chooses a service by weight; "draw" is uniform in [0, 1).  Returns NULL for
   a route without services. */
const char *CaroRoute_ChooseService(const CaroRoute *route, double draw);

int64_t CaroRoutes_Version(const CaroRoutes *r);
int CaroRoutes_Count(const CaroRoutes *r);
bool CaroRoutes_RequiresAccounts(const CaroRoutes *r);
const CaroCallerLimits *CaroRoutes_Limits(const CaroRoutes *r);

#endif
