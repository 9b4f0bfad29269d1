/*
 * NAME
 *     caro_gateway_settings - validated settings of a gateway process
 *
 * The settings are one JSON file, validated as described in
 * caro_settings.h.  All addresses are those of this VM, except for the seeds
 * and the store.  Only the host of a seed is used: all VMs listen on the
 * same ports.  Names are as of caro_name.h.
 */
#ifndef CARO_GATEWAY_SETTINGS_H
#define CARO_GATEWAY_SETTINGS_H

#include "caro_error.h"
#include "internal/caro_types.h"

enum {
    CARO_GATEWAY_SEEDS_MAX = 16 /* Seeds that a settings file may list. */
};

typedef struct {
    char vm[CARO_NAME_SIZE];                   /* Name of this VM. */
    char http_address[CARO_ADDRESS_SIZE];      /* Requests of callers. */
    char readiness_address[CARO_ADDRESS_SIZE]; /* Readiness checks. */
    char directory_address[CARO_ADDRESS_SIZE]; /* Address look-ups of
                                                  callers. */
    char host[256];              /* Address for the two ports below. */
    int64_t peer_port;           /* Port for messages between VMs. */
    int64_t metrics_port;        /* Port for metrics; 0 for none. */
    char domain[CARO_NAME_SIZE]; /* Failure domain of this VM. */
    char region[CARO_NAME_SIZE];
    char seeds[CARO_GATEWAY_SEEDS_MAX][CARO_ADDRESS_SIZE]; /* Other VMs, to
                                                              join them. */
    int n_seeds;
    char store_address[CARO_ADDRESS_SIZE]; /* The platform's store. */
    bool is_adaptive;    /* The platform's terms say that servers are short of
                            room or uneven (CaroPlatform_IsAdaptiveTerm). */
    int64_t tunnel_port; /* Of connections to upstreams for other VMs; 0 for
                            none.  Its distance from peer_port is the same at
                            all VMs. */
    int64_t memory_mb;   /* Memory of the VM, MiB. */
    int64_t descriptors; /* File descriptors that the process may open. */

    double config_age_max_ms;   /* Longest time since the configuration was
                                   last confirmed as the newest.  A revoked
                                   API key is accepted no longer than this. */
    double config_delay_max_ms; /* Longest time from the writing of a
                                   configuration until all VMs serve by it. */
    double stop_grace_s;   /* Time from the signal to stop until the kill. */
    double address_ttl_s;  /* Time for which callers may keep an address. */
    double retry_ratio;    /* Retries allowed per request. */
    double retry_slack;    /* Retries that all VMs together may send beyond
                              the ratio. */
    double retry_window_s; /* Window in which requests and retries are
                              counted. */
    double rollout_exposure_max;      /* Fraction of a service's requests
                                         that a version may receive while
                                         it is rolled out, on average. */
    double rollout_request_allowance; /* Requests that the version may
                                          receive beyond that fraction. */
} CaroGatewaySettings;

/* Reads settings from a file or from memory, with the arguments and results
   of CaroSettings_Load and CaroSettings_Parse. */
int CaroGatewaySettings_Load(const char *file, CaroGatewaySettings *settings,
                             CaroError *err);
int CaroGatewaySettings_Parse(const char *text, size_t size,
                              const char *origin,
                              CaroGatewaySettings *settings, CaroError *err);

#endif
