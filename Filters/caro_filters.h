/*
 * NAME
 *     caro_filters - the chain that a completion passes
 *
 * Each filter returns a verdict and knows its neighbours only by it.  A
 * filter that refuses has sent the answer.
 */
#ifndef CARO_FILTERS_H
#define CARO_FILTERS_H

#include "internal/caro_config_manager.h"
#include "internal/caro_http.h"
#include "internal/caro_sessions.h"

typedef enum {
    CARO_FILTER_PASS,
    CARO_FILTER_REFUSED, /* An answer was sent. */
    CARO_FILTER_HANDLED  /* The request is served or waits. */
} CaroFilterResult;

/* The parts that a completion meets; borrowed. */
typedef struct {
    const CaroCommon *common;
    const CaroConfigManager *keeper;
    CaroSessions *sessions;
    bool is_draining; /* This VM takes no new work. */
} CaroFilterDeps;

/* What the filters learn of a request. */
typedef struct {
    const CaroFilterDeps *parts;
    struct evhttp_request *req;
    json_t *body; /* Owned by the chain. */
    const char *account;
    const char *deployment;
} CaroCompletion;

CaroFilterResult CaroFilter_Drain(CaroCompletion *c);
CaroFilterResult CaroFilter_Body(CaroCompletion *c);
CaroFilterResult CaroFilter_Account(CaroCompletion *c);
CaroFilterResult CaroFilter_Deployment(CaroCompletion *c);
CaroFilterResult CaroFilter_Reconnect(CaroCompletion *c, CaroTime now);
CaroFilterResult CaroFilter_Admission(CaroCompletion *c, CaroTime now);

/* Passes a completion through the chain. */
void CaroFilters_Run(const CaroFilterDeps *parts, struct evhttp_request *req,
                     CaroTime now);

#endif
