/*
 * NAME
 *     caro_request_check - whether a request is served, and the response
 *     if it is not
 *
 * Requests that cannot be served are refused at once.  A VM whose
 * configuration may be out of date answers that it cannot serve, never that
 * a key or a route is unknown.  So does one that knows of a configuration that
 * it cannot read, since the one before it no longer holds.
 */
#ifndef CARO_REQUEST_CHECK_H
#define CARO_REQUEST_CHECK_H

#include "internal/caro_http_reader.h"
#include "internal/caro_routes.h"

/* A request whose head has been read, and the state of the VM. */
typedef struct {
    const CaroRoutes *routes; /* NULL before the first configuration. */
    bool has_target_list;     /* The registry's targets have been read. */
    bool lacks_config;        /* A newer one is known and has not arrived in
                                 time. */
    bool is_config_fresh;     /* Confirmed recently to be the newest. */
    bool has_unusable_config; /* There is a newer one that this VM could not
                                 read.  What it allows is not known. */
    bool is_stopping;
    CaroTime time_to_exit;   /* Of a VM that is stopping; 0 and less: none. */
    CaroTime caller_timeout; /* How long the caller waits; 0 if unknown. */
    CaroTime uptime;         /* Time since the start of the process. */
    CaroText host;
    CaroText path; /* Path without the query. */
    CaroText key;  /* API key; "at" is NULL when the request has none. */
} CaroRequestCheckQuery;

typedef struct {
    int status; /* HTTP status of the refusal; 0 if the request is served. */
    const char *reason;
    double retry_after_s;    /* 0 for none. */
    bool should_check_again; /* The process has just started and its first
                                reads are running: hold the request and check
                                it again shortly instead of refusing it. */
    const CaroRoute *route;
    const CaroClientAccount *account; /* NULL on a public route. */
} CaroRequestCheckResult;

/* The pointers of the result are borrowed from q->routes. */
CaroRequestCheckResult CaroRequestCheck_Run(const CaroRequestCheckQuery *q);

#endif
