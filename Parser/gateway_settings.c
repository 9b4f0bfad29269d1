/* Reader of the settings of a gateway. */
#include "caro_gateway_settings.h"

#include "internal/caro_fields.h"
#include "internal/caro_http.h"
#include "internal/caro_platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OFFSET(field) offsetof(CaroGatewaySettings, field)
#define REQUIRED_TEXT(key, kind, field)                                       \
    {                                                                         \
        key, kind, OFFSET(field), true, 0, 0, 0                               \
    }
#define INTEGER(key, field, min, max, default_value)                          \
    {                                                                         \
        key, CARO_FIELD_INTEGER, OFFSET(field), false, min, max,              \
            default_value                                                     \
    }
#define REAL(key, field, min, max, default_value)                             \
    {                                                                         \
        key, CARO_FIELD_REAL, OFFSET(field), false, min, max, default_value   \
    }

static const CaroField top_fields[] = {
    REQUIRED_TEXT("vm", CARO_FIELD_IDENTITY, vm),
    REQUIRED_TEXT("front", CARO_FIELD_ADDRESS, http_address),
    REQUIRED_TEXT("ready", CARO_FIELD_ADDRESS, readiness_address),
    REQUIRED_TEXT("directory", CARO_FIELD_ADDRESS, directory_address),
    REQUIRED_TEXT("host", CARO_FIELD_TEXT, host),
    INTEGER("peer_port", peer_port, 1, 65535, 7340),
    INTEGER("tunnel_port", tunnel_port, 0, 65535, 0),
    INTEGER("metrics_port", metrics_port, 0, 65535, 0),
    REQUIRED_TEXT("domain", CARO_FIELD_IDENTITY, domain),
    REQUIRED_TEXT("region", CARO_FIELD_IDENTITY, region),
    {"seeds", CARO_FIELD_NESTED, 0, true, 0, 0, 0},
    {"terms", CARO_FIELD_NESTED, 0, false, 0, 0, 0},
    {"store", CARO_FIELD_NESTED, 0, true, 0, 0, 0},
    {"limits", CARO_FIELD_NESTED, 0, false, 0, 0, 0},
    {"bounds", CARO_FIELD_NESTED, 0, false, 0, 0, 0},
    CARO_FIELDS_END,
};

static const CaroField store_fields[] = {
    REQUIRED_TEXT("address", CARO_FIELD_ADDRESS, store_address),
    CARO_FIELDS_END,
};

static const CaroField limit_fields[] = {
    INTEGER("memory_mb", memory_mb, 32, 1048576, 96),
    INTEGER("descriptors", descriptors, 256, 1048576, 1024),
    CARO_FIELDS_END,
};

static const CaroField bound_fields[] = {
    REAL("proof_ms", config_age_max_ms, 100, 600000, 5000),
    REAL("config_delay_ms", config_delay_max_ms, 100, 600000, 3000),
    REAL("grace_s", stop_grace_s, 1, 3600, 8),
    REAL("address_ttl_s", address_ttl_s, 0, 3600, 2),
    REAL("retry_ratio", retry_ratio, 0, 10, 0),
    REAL("retry_slack", retry_slack, 0, 1000000, 100),
    REAL("retry_window_s", retry_window_s, 1, 3600, 10),
    REAL("move_share", rollout_exposure_max, 0, 1, 0),
    REAL("move_slack", rollout_request_allowance, 0, 1000000, 0),
    CARO_FIELDS_END,
};

static int
read_seeds(CaroFieldReader *r, const json_t *list, CaroGatewaySettings *s)
{
    size_t i;
    json_t *value;
    if (!json_is_array(list) ||
        json_array_size(list) > CARO_GATEWAY_SEEDS_MAX) {
        return CaroFields_Fail(r, "$", "seeds",
                               "no array, or one with too many items",
                               "an array of at most 16 addresses");
    }
    json_array_foreach(list, i, value)
    {
        const char *text = json_string_value(value);
        char host[CARO_ADDRESS_SIZE];
        uint16_t port;
        if (text == NULL || strlen(text) >= CARO_ADDRESS_SIZE ||
            CaroHttp_SplitAddress(text, host, &port) < 0) {
            return CaroFields_Fail(r, "$.seeds", "",
                                   "a value that is no address",
                                   "addresses such as 10.0.0.1:8100");
        }
        CARO_COPY(s->seeds[s->n_seeds], text);
        s->n_seeds++;
    }
    return 0;
}

/* Reads the names of the platform's terms, of which there may be none. Unknown
   ones are ignored. */
static int
read_terms(CaroFieldReader *r, const json_t *list, CaroGatewaySettings *s)
{
    size_t i;
    json_t *value;
    if (list != NULL && !json_is_array(list)) {
        return CaroFields_Fail(r, "$", "terms", "no array",
                               "an array of names");
    }
    json_array_foreach(list, i, value)
    {
        const char *term = json_string_value(value);
        s->is_adaptive |= term != NULL && CaroPlatform_IsAdaptiveTerm(term);
    }
    return 0;
}

/* Reads an object of the file.  One that is absent is read like an empty one,
   which sets the default values. */
static int
read_section(CaroFieldReader *r, const json_t *root, const char *key,
             const CaroField *fields, CaroGatewaySettings *s)
{
    char path[32];
    json_t *section = json_object_get(root, key);
    json_t *object = section == NULL ? json_object() : json_incref(section);
    (void)snprintf(path, sizeof(path), "$.%s", key);
    int rc = CaroFields_ReadObject(r, path, fields, object, s);
    json_decref(object);
    return rc;
}

int
CaroGatewaySettings_Parse(const char *text, size_t size, const char *origin,
                          CaroGatewaySettings *s, CaroError *err)
{
    memset(s, 0, sizeof(*s));
    CaroFieldReader r = {.origin = origin, .step = "settings", .err = err};
    json_error_t at;
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &at);
    if (root == NULL) {
        return CaroError_Set(err, CARO_ERR_INPUT, "settings", origin,
                             "line %d column %d: %s", at.line, at.column,
                             at.text);
    }
    int rc = CaroFields_ReadObject(&r, "$", top_fields, root, s);
    if (rc == 0) {
        rc = read_seeds(&r, json_object_get(root, "seeds"), s);
    }
    if (rc == 0) {
        rc = read_terms(&r, json_object_get(root, "terms"), s);
    }
    if (rc == 0) {
        rc = read_section(&r, root, "store", store_fields, s);
    }
    if (rc == 0) {
        rc = read_section(&r, root, "limits", limit_fields, s);
    }
    if (rc == 0) {
        rc = read_section(&r, root, "bounds", bound_fields, s);
    }
    json_decref(root);
    return rc;
}

int
CaroGatewaySettings_Load(const char *file, CaroGatewaySettings *settings,
                         CaroError *err)
{
    size_t size;
    char *text = CaroFields_ReadFile(file, &size, err);
    if (text == NULL) {
        return CARO_ERR_IO;
    }
    int rc = CaroGatewaySettings_Parse(text, size, file, settings, err);
    free(text);
    return rc;
}
