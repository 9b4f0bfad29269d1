/*
 * NAME
 *     caro_request_check - whether a request is served, and if not, the answer
 *
 * Answers requests that cannot be served: they are refused at once.  A
 * VM that may not know the newest configuration says that it cannot serve,
 * never that a key or a route is unknown.
 */
#ifndef CARO_REQUEST_CHECK_H
#define CARO_REQUEST_CHECK_H

#include "internal/caro_http_reader.h"
#include "internal/caro_routes.h"

/* What is known when a request has been read. */
typedef struct {
    const CaroRoutes *routes; /* NULL before the first configuration. */
    bool is_listed;           /* The upstreams have been listed. */
    bool is_config_fresh;     /* The configuration is proven the newest. */
    bool is_stopping;
    CaroTime age; /* Of the process. */
    CaroText host;
    CaroText path; /* Without the query. */
    CaroText key;  /* at is NULL when the request has none. */
} CaroRequestCheckQuery;

typedef struct {
    int status; /* 0: it is served. */
    const char *reason;
    double retry_after_s;    /* 0 for none. */
    bool should_check_again; /* Judge again in a moment instead: the process
                     has just started and its first reads run. */
    const CaroRoute *route;
    const CaroClientAccount *account; /* NULL on a public route. */
} CaroRequestCheckResult;

/* The verdict borrows from q->routes. */
CaroRequestCheckResult CaroRequestCheck_Run(const CaroRequestCheckQuery *q);

#endif
