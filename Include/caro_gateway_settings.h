/*
 * NAME
 *     caro_gateway_settings - the checked settings of one gateway
 *
 * One JSON file, checked as caro_settings.h says.  Addresses are those of
 * this VM; seeds are addresses of other VMs, of which only the host
 * counts, because all VMs use the same ports.
 */
#ifndef CARO_GATEWAY_SETTINGS_H
#define CARO_GATEWAY_SETTINGS_H

#include "caro_error.h"
#include "internal/caro_types.h"

enum { CARO_GATEWAY_SEEDS_MAX = 16 };

typedef struct {
    char vm[CARO_NAME_SIZE];
    char front[CARO_ADDRESS_SIZE];     /* Callers' requests. */
    char ready[CARO_ADDRESS_SIZE];     /* Readiness. */
    char directory[CARO_ADDRESS_SIZE]; /* Which address to use. */
    char host[256];                    /* For the ports below. */
    int64_t peer_port;                 /* Messages between VMs. */
    int64_t metrics_port;              /* Counters; 0 for none. */
    char domain[CARO_NAME_SIZE];
    char region[CARO_NAME_SIZE];
    char seeds[CARO_GATEWAY_SEEDS_MAX][CARO_ADDRESS_SIZE];
    int n_seeds;
    char store[CARO_ADDRESS_SIZE];
    int64_t memory_mb;   /* Of the VM. */
    int64_t descriptors; /* Of the process. */

    int64_t config_age_max_ms;   /* A revoked key is served no longer. */
    double stop_grace_s;         /* From the stop signal to the kill. */
    double address_ttl_s;        /* Callers may keep an address. */
    double retry_ratio;          /* Of the requests that may be repeated. */
    int64_t retry_slack;         /* Repeats besides, of all VMs. */
    double retry_window_s;       /* The window of both. */
    double rollout_exposure_max; /* Of requests for a version on trial, */
    int64_t rollout_request_allowance; /* and requests besides. */
} CaroGatewaySettings;

/* As CaroSettings_Load and CaroSettings_Parse. */
int CaroGatewaySettings_Load(const char *file, CaroGatewaySettings *settings,
                             CaroError *err);
int CaroGatewaySettings_Parse(const char *text, size_t size,
                              const char *origin,
                              CaroGatewaySettings *settings, CaroError *err);

#endif
