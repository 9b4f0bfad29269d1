/*
 * NAME
 *     caro_settings - the checked settings of one process
 *
 * Settings are one JSON file.  Every key is checked: an unknown key, a
 * wrong type, a value out of range or two VMs with one address is
 * refused with the JSON path, what was found and what is allowed.
 * docs/operators.md lists the keys.
 */
#ifndef CARO_SETTINGS_H
#define CARO_SETTINGS_H

#include "caro_error.h"
#include "internal/caro_types.h"

enum {
    CARO_SEEDS_MAX = 64,    /* VMs that a settings file may list. */
    CARO_OPERATORS_MAX = 16 /* Operators that a settings file may list. */
};

/* A VM that a starting process asks for the membership. */
typedef struct {
    char name[CARO_NAME_SIZE];
    char http[CARO_ADDRESS_SIZE];
    char peer[CARO_ADDRESS_SIZE];
    char domain[CARO_NAME_SIZE];
    char region[CARO_NAME_SIZE];
} CaroSeed;

typedef struct {
    char name[CARO_NAME_SIZE];
    char token_sha256[65]; /* Hexadecimal digest of the token. */
} CaroOperator;

typedef struct {
    char vm[CARO_NAME_SIZE];
    char http[CARO_ADDRESS_SIZE];
    char peer[CARO_ADDRESS_SIZE];
    char domain[CARO_NAME_SIZE];
    char region[CARO_NAME_SIZE];
    char fleet_secret[65]; /* Signs order tickets; equal on all VMs. */

    CaroSeed seeds[CARO_SEEDS_MAX];
    int n_seeds;
    CaroOperator operators[CARO_OPERATORS_MAX];
    int n_operators;

    bool is_platform_embedded;
    char platform_store[CARO_ADDRESS_SIZE];
    char platform_config_file[256]; /* File that fills an embedded store. */

    int64_t body_bytes_max;          /* Bytes of a caller's request body. */
    int64_t header_timeout_ms;       /* For a caller to send its request. */
    int64_t caller_buffer_bytes_max; /* Unsent bytes held for one caller. */
    int64_t journal_bytes_max;       /* Journals and copies, in all. */
    int64_t journal_retention_ms;    /* After the end, for a reconnect. */
    int64_t journal_flush_delay_ms;  /* Longest wait of a batch of tokens. */
    int64_t reconnect_timeout_ms;    /* A generation without its caller. */
    int64_t silence_floor_ms;        /* Shortest gap that counts as silence. */
    int64_t silence_ceiling_ms;      /* Longest gap before a resume. */
    int64_t first_token_ceiling_ms;  /* Longest wait for a first token. */
    int64_t heartbeat_interval_ms;   /* Protocol period of the membership. */
    int64_t address_ttl_ms;          /* How long callers keep an address. */
    int64_t ticket_ttl_ms;           /* How long an order ticket holds. */
    int64_t order_timeout_ms;        /* For an order service to answer. */
    int64_t drain_timeout_ms;        /* Longest planned stop. */
    int64_t queue_wait_max_ms;       /* Longest expected wait in a queue. */
    int64_t upstream_subset_size;    /* Upstreams of one model a VM uses. */
    int64_t queue_max;               /* Requests waiting for admission. */
    bool has_quick_rollouts;         /* Pace of moves: quick, or careful. */
} CaroSettings;

/*
 * Reads and checks a settings file into *settings, which the caller
 * owns.  Returns 0, or CARO_ERR_INPUT with the file, the JSON path, what
 * was found and what is allowed in *err, or CARO_ERR_IO.
 */
int CaroSettings_Load(const char *file, CaroSettings *settings,
                      CaroError *err);

/* The same from text in memory; "origin" names it in errors. */
int CaroSettings_Parse(const char *text, size_t size, const char *origin,
                       CaroSettings *settings, CaroError *err);

#endif
