/*
 * NAME
 *     caro_settings - validated settings of an entry node
 *
 * An entry node (caro_node.h) has its settings in one JSON file.  Every key is
 * validated: an unknown key, a value of a wrong type or out of range, and two
 * VMs with the same address are refused with the JSON path, what was found and
 * what is allowed.  docs/operators.md describes the keys.
 */
#ifndef CARO_SETTINGS_H
#define CARO_SETTINGS_H

#include "caro_error.h"
#include "internal/caro_types.h"

enum {
    CARO_SEEDS_MAX = 64,    /* VMs that a settings file may list. */
    CARO_OPERATORS_MAX = 16 /* Operators that a settings file may list. */
};

/* A VM that a starting process contacts to join the fleet. */
typedef struct {
    char name[CARO_NAME_SIZE];
    char http[CARO_ADDRESS_SIZE]; /* Address for HTTP. */
    char peer[CARO_ADDRESS_SIZE]; /* Address for messages between VMs. */
    char domain[CARO_NAME_SIZE];  /* Failure domain. */
    char region[CARO_NAME_SIZE];
} CaroSeed;

/* An operator who may use the console. */
typedef struct {
    char name[CARO_NAME_SIZE];
    char token_sha256[65]; /* Hexadecimal SHA-256 digest of the token. */
} CaroOperator;

typedef struct {
    char vm[CARO_NAME_SIZE];      /* Name of this VM. */
    char http[CARO_ADDRESS_SIZE]; /* Address for HTTP. */
    char peer[CARO_ADDRESS_SIZE]; /* Address for messages between VMs. */
    char domain[CARO_NAME_SIZE];  /* Failure domain of this VM. */
    char region[CARO_NAME_SIZE];
    char fleet_secret[65]; /* Key that signs order tickets; equal on all
                              VMs. */

    CaroSeed seeds[CARO_SEEDS_MAX];
    int n_seeds;
    CaroOperator operators[CARO_OPERATORS_MAX];
    int n_operators;

    bool is_platform_embedded; /* The store is part of this process. */
    char platform_store[CARO_ADDRESS_SIZE]; /* Address of the store. */
    char platform_config_file[256]; /* Initial configuration of an embedded
                                       store. */

    int64_t body_bytes_max;          /* Bytes of a request body. */
    int64_t header_timeout_ms;       /* Time for a caller to send a request. */
    int64_t caller_buffer_bytes_max; /* Unsent bytes buffered per caller. */
    int64_t journal_bytes_max;       /* Memory of all journals and replicas. */
    int64_t journal_retention_ms;    /* Time that a journal is kept after its
                                        generation ended, for reconnects. */
    int64_t journal_flush_delay_ms;  /* Longest delay of tokens that are
                                        batched for the backup. */
    int64_t reconnect_timeout_ms;    /* Time that a generation runs without
                                        its caller. */
    int64_t silence_floor_ms;        /* Lower bound of the timeout for the
                                        next token. */
    int64_t silence_ceiling_ms;      /* Upper bound of the timeout for the next
                                        token. */
    int64_t first_token_ceiling_ms;  /* Upper bound of the timeout for a first
                                        token. */
    int64_t heartbeat_interval_ms;   /* Protocol period of the membership. */
    int64_t address_ttl_ms;          /* Time that callers keep an address. */
    int64_t ticket_ttl_ms;           /* Validity of an order ticket. */
    int64_t order_timeout_ms;        /* Wait for a response of an order
                                        service. */
    int64_t drain_timeout_ms;        /* Longest duration of a drain. */
    int64_t queue_wait_max_ms;       /* Expected wait for admission above which
                                        a request is refused. */
    int64_t upstream_subset_size;    /* Upstreams of one deployment that a VM
                                        uses. */
    int64_t queue_max;               /* Requests waiting for admission, per
                                        deployment. */
    bool has_quick_rollouts;         /* Rollouts use CARO_PACE_QUICK, not
                                        CARO_PACE_CAREFUL. */
} CaroSettings;

/*
 * Reads and validates a settings file.  Returns 0; CARO_ERR_INPUT with the
 * file, the JSON path, what was found and what is allowed in *err; or
 * CARO_ERR_IO.
 */
int CaroSettings_Load(const char *file, CaroSettings *settings,
                      CaroError *err);

/* Does the same with text in memory; errors name it by "origin". */
int CaroSettings_Parse(const char *text, size_t size, const char *origin,
                       CaroSettings *settings, CaroError *err);

#endif
