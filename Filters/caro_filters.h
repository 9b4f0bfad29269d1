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
    CARO_FILTER_TAKEN    /* The request is served or waits. */
} CaroFilterVerdict;

/* The parts that a completion meets; borrowed. */
typedef struct {
    const CaroCommon *common;
    const CaroConfigManager *keeper;
    CaroSessions *sessions;
    bool is_draining; /* This VM takes no new work. */
} CaroFilterParts;

/* What the filters learn of a request. */
typedef struct {
    const CaroFilterParts *parts;
    struct evhttp_request *req;
    json_t *body; /* Owned by the chain. */
    const char *account;
    const char *deployment;
} CaroCompletion;

CaroFilterVerdict CaroFilter_Drain(CaroCompletion *c);
CaroFilterVerdict CaroFilter_Body(CaroCompletion *c);
CaroFilterVerdict CaroFilter_Account(CaroCompletion *c);
CaroFilterVerdict CaroFilter_Deployment(CaroCompletion *c);
CaroFilterVerdict CaroFilter_Reconnect(CaroCompletion *c, CaroTime now);
CaroFilterVerdict CaroFilter_Admission(CaroCompletion *c, CaroTime now);

/* Passes a completion through the chain. */
void CaroFilters_Run(const CaroFilterParts *parts, struct evhttp_request *req,
                     CaroTime now);

#endif
