/*
 * NAME
 *     caro_filters - filter chain for completion requests
 *
 * A filter validates one aspect of a request, or serves it.  Its result
 * decides whether the next filter runs.  Filters do not call each other.
 */
#ifndef CARO_FILTERS_H
#define CARO_FILTERS_H

#include "internal/caro_config_manager.h"
#include "internal/caro_http_reply.h"
#include "internal/caro_sessions.h"

/* Result of a filter. */
typedef enum {
    CARO_FILTER_PASS,    /* The next filter runs. */
    CARO_FILTER_REFUSED, /* A response with the error was sent. */
    CARO_FILTER_HANDLED  /* The request was accepted or answered. */
} CaroFilterResult;

/* Objects that the filters use; borrowed. */
typedef struct {
    const CaroCommon *common;
    const CaroConfigManager *config_manager;
    CaroSessions *sessions;
    bool is_draining; /* This VM accepts no new generations. */
} CaroFilterDeps;

/* A completion request while the filters run. */
typedef struct {
    const CaroFilterDeps *deps;
    CaroCall *req;
    json_t *body;        /* Set by the body filter; owned by the chain. */
    const char *account; /* Borrowed from the body, as the deployment. */
    const char *deployment;
} CaroCompletion;

/* Refuses new generations while this VM drains. */
CaroFilterResult CaroFilter_Drain(CaroCompletion *c);

/* Parses and validates the body. */
CaroFilterResult CaroFilter_Body(CaroCompletion *c);

/* Checks that the account is configured. */
CaroFilterResult CaroFilter_Account(CaroCompletion *c);

/* Checks that the deployment is configured and serves a model. */
CaroFilterResult CaroFilter_Deployment(CaroCompletion *c);

/* Reconnects a caller that sends the id of its last event. */
CaroFilterResult CaroFilter_Reconnect(CaroCompletion *c, CaroTime now);

/* Starts or queues a new generation, or refuses it. */
CaroFilterResult CaroFilter_Admission(CaroCompletion *c, CaroTime now);

/* Runs the filters on a request, which is answered then or later. */
void CaroFilters_Run(const CaroFilterDeps *deps, CaroCall *req, CaroTime now);

#endif
