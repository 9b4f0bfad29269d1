/* Reader of the settings of an entry node: tables of fields, and rules that
   concern more than one field. */
#include "caro_settings.h"

#include "internal/caro_fields.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INTEGER(key, field, min, max, default_value)                          \
    {                                                                         \
        key, CARO_FIELD_INTEGER, offsetof(CaroSettings, field), false, min,   \
            max, default_value                                                \
    }

static const CaroField top_fields[] = {
    {"vm", CARO_FIELD_NAME, offsetof(CaroSettings, vm), true, 0, 0, 0},
    {"http", CARO_FIELD_ADDRESS, offsetof(CaroSettings, http), true, 0, 0, 0},
    {"peer", CARO_FIELD_ADDRESS, offsetof(CaroSettings, peer), true, 0, 0, 0},
    {"domain", CARO_FIELD_NAME, offsetof(CaroSettings, domain), true, 0, 0, 0},
    {"region", CARO_FIELD_NAME, offsetof(CaroSettings, region), true, 0, 0, 0},
    {"fleet_secret", CARO_FIELD_HEX64, offsetof(CaroSettings, fleet_secret),
     true, 0, 0, 0},
    {"platform", CARO_FIELD_NESTED, 0, true, 0, 0, 0},
    {"vms", CARO_FIELD_NESTED, 0, false, 0, 0, 0},
    {"operators", CARO_FIELD_NESTED, 0, false, 0, 0, 0},
    {"limits", CARO_FIELD_NESTED, 0, false, 0, 0, 0},
    {"timing", CARO_FIELD_NESTED, 0, false, 0, 0, 0},
    {"moves", CARO_FIELD_NESTED, 0, false, 0, 0, 0},
    CARO_FIELDS_END,
};

static const CaroField platform_fields[] = {
    {"embedded", CARO_FIELD_BOOL, offsetof(CaroSettings, is_platform_embedded),
     false, 0, 0, 0},
    {"store", CARO_FIELD_ADDRESS, offsetof(CaroSettings, platform_store),
     false, 0, 0, 0},
    {"config", CARO_FIELD_TEXT, offsetof(CaroSettings, platform_config_file),
     false, 0, 0, 0},
    CARO_FIELDS_END,
};

static const CaroField limit_fields[] = {
    INTEGER("body_bytes", body_bytes_max, 1024, 900000, 262144),
    INTEGER("caller_buffer_bytes", caller_buffer_bytes_max, 4096, 16777216,
            262144),
    INTEGER("journal_bytes", journal_bytes_max, 65536, 4294967296, 67108864),
    INTEGER("upstream_subset", upstream_subset_size, 2, 128, 24),
    INTEGER("queue", queue_max, 0, 100000, 512),
    CARO_FIELDS_END,
};

static const CaroField timing_fields[] = {
    INTEGER("header_timeout_ms", header_timeout_ms, 100, 600000, 10000),
    INTEGER("journal_keep_ms", journal_retention_ms, 1000, 600000, 30000),
    INTEGER("journal_flush_ms", journal_flush_delay_ms, 1, 100, 2),
    INTEGER("reconnect_ms", reconnect_timeout_ms, 1000, 600000, 5000),
    INTEGER("silence_floor_ms", silence_floor_ms, 50, 5000, 300),
    INTEGER("silence_ceiling_ms", silence_ceiling_ms, 100, 5000, 1200),
    INTEGER("first_token_ms", first_token_ceiling_ms, 100, 60000, 4000),
    INTEGER("heartbeat_ms", heartbeat_interval_ms, 50, 10000, 400),
    INTEGER("address_ttl_ms", address_ttl_ms, 100, 600000, 2000),
    INTEGER("ticket_ttl_ms", ticket_ttl_ms, 1000, 3600000, 600000),
    INTEGER("order_timeout_ms", order_timeout_ms, 100, 600000, 10000),
    INTEGER("drain_ms", drain_timeout_ms, 100, 3600000, 20000),
    INTEGER("patience_ms", queue_wait_max_ms, 10, 600000, 2000),
    CARO_FIELDS_END,
};

static const CaroField rollout_fields[] = {
    {"quick", CARO_FIELD_BOOL, offsetof(CaroSettings, has_quick_rollouts),
     false, 0, 0, 0},
    CARO_FIELDS_END,
};

static const CaroField seed_fields[] = {
    {"vm", CARO_FIELD_NAME, offsetof(CaroSeed, name), true, 0, 0, 0},
    {"http", CARO_FIELD_ADDRESS, offsetof(CaroSeed, http), true, 0, 0, 0},
    {"peer", CARO_FIELD_ADDRESS, offsetof(CaroSeed, peer), true, 0, 0, 0},
    {"domain", CARO_FIELD_NAME, offsetof(CaroSeed, domain), true, 0, 0, 0},
    {"region", CARO_FIELD_NAME, offsetof(CaroSeed, region), true, 0, 0, 0},
    CARO_FIELDS_END,
};

static const CaroField operator_fields[] = {
    {"name", CARO_FIELD_NAME, offsetof(CaroOperator, name), true, 0, 0, 0},
    {"token_sha256", CARO_FIELD_HEX64, offsetof(CaroOperator, token_sha256),
     true, 0, 0, 0},
    CARO_FIELDS_END,
};

static bool
shares_address(const CaroSeed *a, const CaroSeed *b)
{
    return strcmp(a->http, b->http) == 0 || strcmp(a->peer, b->peer) == 0 ||
           strcmp(a->http, b->peer) == 0 || strcmp(a->peer, b->http) == 0;
}

static int
check_seeds(CaroFieldReader *r, const CaroSettings *s)
{
    for (int i = 0; i < s->n_seeds; i++) {
        for (int j = 0; j < i; j++) {
            char path[32];
            (void)snprintf(path, sizeof(path), "$.vms[%d]", i);
            if (strcmp(s->seeds[i].name, s->seeds[j].name) == 0) {
                return CaroFields_Fail(r, path, "vm", s->seeds[i].name,
                                       "a name that no other VM has");
            }
            if (shares_address(&s->seeds[i], &s->seeds[j])) {
                return CaroFields_Fail(r, path, "http", s->seeds[i].http,
                                       "addresses that no other VM has");
            }
        }
    }
    return 0;
}

static int
check_platform_and_timing(CaroFieldReader *r, const CaroSettings *s)
{
    if (!s->is_platform_embedded && s->platform_store[0] == '\0') {
        return CaroFields_Fail(r, "$.platform", "store", "nothing",
                               "an address, or \"embedded\": true");
    }
    if (s->silence_floor_ms > s->silence_ceiling_ms) {
        return CaroFields_Fail(r, "$.timing", "silence_floor_ms",
                               "a value above silence_ceiling_ms",
                               "at most silence_ceiling_ms");
    }
    return 0;
}

static int
read_settings(CaroFieldReader *r, const json_t *root, CaroSettings *s)
{
    json_t *empty = json_object();
    json_t *limits = json_object_get(root, "limits");
    json_t *timing = json_object_get(root, "timing");
    json_t *rollouts = json_object_get(root, "moves");
    int rc = CaroFields_ReadObject(r, "$", top_fields, root, s);
    if (rc < 0) {
        goto error;
    }
    rc = CaroFields_ReadObject(r, "$.platform", platform_fields,
                               json_object_get(root, "platform"), s);
    if (rc < 0) {
        goto error;
    }
    rc = CaroFields_ReadObject(r, "$.limits", limit_fields,
                               limits == NULL ? empty : limits, s);
    if (rc < 0) {
        goto error;
    }
    rc = CaroFields_ReadObject(r, "$.timing", timing_fields,
                               timing == NULL ? empty : timing, s);
    if (rc < 0) {
        goto error;
    }
    rc = CaroFields_ReadObject(r, "$.moves", rollout_fields,
                               rollouts == NULL ? empty : rollouts, s);
    if (rc < 0) {
        goto error;
    }
    rc = CaroFields_ReadArray(r, "$.vms", seed_fields,
                              json_object_get(root, "vms"), s->seeds,
                              sizeof(CaroSeed), CARO_SEEDS_MAX);
    if (rc < 0) {
        goto error;
    }
    s->n_seeds = rc;
    rc = CaroFields_ReadArray(r, "$.operators", operator_fields,
                              json_object_get(root, "operators"), s->operators,
                              sizeof(CaroOperator), CARO_OPERATORS_MAX);
    if (rc < 0) {
        goto error;
    }
    s->n_operators = rc;
    rc = check_seeds(r, s);
    if (rc == 0) {
        rc = check_platform_and_timing(r, s);
    }
error:
    json_decref(empty);
    return rc;
}

int
CaroSettings_Parse(const char *text, size_t size, const char *origin,
                   CaroSettings *settings, CaroError *err)
{
    memset(settings, 0, sizeof(*settings));
    CaroFieldReader r = {.origin = origin, .step = "settings", .err = err};
    json_error_t at;
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &at);
    if (root == NULL) {
        return CaroError_Set(err, CARO_ERR_INPUT, "settings", origin,
                             "line %d column %d: %s", at.line, at.column,
                             at.text);
    }
    int rc = read_settings(&r, root, settings);
    json_decref(root);
    return rc;
}

int
CaroSettings_Load(const char *file, CaroSettings *settings, CaroError *err)
{
    size_t size;
    char *text = CaroFields_ReadFile(file, &size, err);
    if (text == NULL) {
        return CARO_ERR_IO;
    }
    int rc = CaroSettings_Parse(text, size, file, settings, err);
    free(text);
    return rc;
}
