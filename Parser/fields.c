/*
 * Validation of JSON objects by tables of fields.
 *
 * Describing objects by tables keeps type, range and default value of a key
 * on one line, and gives all errors the same form.
 */
#include "internal/caro_fields.h"

#include "internal/caro_name.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *
type_name(const json_t *value)
{
    switch (json_typeof(value)) {
    case JSON_OBJECT:
        return "an object";
    case JSON_ARRAY:
        return "an array";
    case JSON_STRING:
        return "a string";
    case JSON_INTEGER:
        return "an integer";
    case JSON_REAL:
        return "a fraction";
    case JSON_TRUE:
    case JSON_FALSE:
        return "a boolean";
    default:
        return "null";
    }
}

int
CaroFields_Fail(CaroFieldReader *r, const char *path, const char *key,
                const char *found, const char *allowed)
{
    return CaroError_Set(r->err, CARO_ERR_INPUT, r->step, r->origin,
                         "%s%s%s: found %.60s; allowed: %s", path,
                         key[0] == '\0' || key[0] == '[' ? "" : ".", key,
                         found, allowed);
}

static bool
is_name(const char *s)
{
    size_t n = strlen(s);
    return n > 0 && n < CARO_NAME_SIZE &&
           strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == n;
}

static bool
is_address(const char *s)
{
    const char *colon = strrchr(s, ':');
    char host[CARO_ADDRESS_SIZE];
    if (colon == NULL || (size_t)(colon - s) >= sizeof(host) ||
        strlen(s) >= CARO_ADDRESS_SIZE) {
        return false;
    }
    (void)snprintf(host, sizeof(host), "%.*s", (int)(colon - s), s);
    struct in_addr ip;
    char *end;
    long port = strtol(colon + 1, &end, 10);
    return inet_pton(AF_INET, host, &ip) == 1 && *end == '\0' && port > 0 &&
           port < 65536;
}

static bool
is_hex64(const char *s)
{
    return strlen(s) == 64 && strspn(s, "0123456789abcdef") == 64;
}

static int
read_string(CaroFieldReader *r, const char *path, const CaroField *f,
            const json_t *value, char *out)
{
    const char *s = json_string_value(value);
    if (s == NULL) {
        return CaroFields_Fail(r, path, f->key, type_name(value), "a string");
    }
    switch (f->kind) {
    case CARO_FIELD_NAME:
        if (!is_name(s)) {
            return CaroFields_Fail(r, path, f->key, s,
                                   "1 to 31 of a-z, 0-9 and the hyphen");
        }
        break;
    case CARO_FIELD_IDENTITY:
        if (s[0] == '\0') {
            return CaroFields_Fail(r, path, f->key, "an empty string",
                                   "a string of 1 byte or more");
        }
        CaroName_Set(out, s);
        return 0;
    case CARO_FIELD_ADDRESS:
        if (!is_address(s)) {
            return CaroFields_Fail(
                r, path, f->key, s,
                "an IPv4 number and a port, as 10.0.0.1:8100");
        }
        break;
    case CARO_FIELD_HEX64:
        if (!is_hex64(s)) {
            return CaroFields_Fail(r, path, f->key, s,
                                   "64 hexadecimal digits");
        }
        break;
    default:
        if (strlen(s) > 255) {
            return CaroFields_Fail(r, path, f->key, "a longer string",
                                   "at most 255 bytes");
        }
        break;
    }
    memcpy(out, s, strlen(s) + 1);
    return 0;
}

static int
read_integer(CaroFieldReader *r, const char *path, const CaroField *f,
             const json_t *value, int64_t *out)
{
    char found[32];
    char allowed[64];
    (void)snprintf(allowed, sizeof(allowed), "an integer from %lld to %lld",
                   (long long)f->min, (long long)f->max);
    if (!json_is_integer(value)) {
        return CaroFields_Fail(r, path, f->key, type_name(value), allowed);
    }
    int64_t n = json_integer_value(value);
    if (n < f->min || n > f->max) {
        (void)snprintf(found, sizeof(found), "%lld", (long long)n);
        return CaroFields_Fail(r, path, f->key, found, allowed);
    }
    *out = n;
    return 0;
}

static int
read_real(CaroFieldReader *r, const char *path, const CaroField *f,
          const json_t *value, double *out)
{
    char found[32];
    char allowed[64];
    (void)snprintf(allowed, sizeof(allowed), "a number from %lld to %lld",
                   (long long)f->min, (long long)f->max);
    if (!json_is_number(value)) {
        return CaroFields_Fail(r, path, f->key, type_name(value), allowed);
    }
    double n = json_number_value(value);
    if (n < (double)f->min || n > (double)f->max) {
        (void)snprintf(found, sizeof(found), "%g", n);
        return CaroFields_Fail(r, path, f->key, found, allowed);
    }
    *out = n;
    return 0;
}

static int
read_field(CaroFieldReader *r, const char *path, const CaroField *f,
           const json_t *value, void *out)
{
    char *field = (char *)out + f->offset;
    switch (f->kind) {
    case CARO_FIELD_INTEGER:
        return read_integer(r, path, f, value, (int64_t *)field);
    case CARO_FIELD_REAL:
        return read_real(r, path, f, value, (double *)field);
    case CARO_FIELD_BOOL:
        if (!json_is_boolean(value)) {
            return CaroFields_Fail(r, path, f->key, type_name(value),
                                   "true or false");
        }
        *(bool *)field = json_is_true(value);
        return 0;
    case CARO_FIELD_NESTED:
        return 0;
    default:
        return read_string(r, path, f, value, field);
    }
}

static const CaroField *
find_field(const CaroField *fields, const char *key)
{
    for (const CaroField *f = fields; f->key != NULL; f++) {
        if (strcmp(f->key, key) == 0) {
            return f;
        }
    }
    return NULL;
}

int
CaroFields_ReadObject(CaroFieldReader *r, const char *path,
                      const CaroField *fields, const json_t *object, void *out)
{
    if (!json_is_object(object)) {
        return CaroFields_Fail(r, path, "", type_name(object), "an object");
    }
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)object, key, value)
    {
        const CaroField *f = find_field(fields, key);
        if (f == NULL) {
            return CaroFields_Fail(r, path, key, "an unknown key",
                                   "the keys listed in docs/operators.md");
        }
        int rc = read_field(r, path, f, value, out);
        if (rc < 0) {
            return rc;
        }
    }
    for (const CaroField *f = fields; f->key != NULL; f++) {
        bool is_missing = json_object_get(object, f->key) == NULL;
        if (is_missing && f->is_required) {
            return CaroFields_Fail(r, path, f->key, "nothing",
                                   "a value; it is required");
        }
        if (is_missing && f->kind == CARO_FIELD_INTEGER) {
            *(int64_t *)((char *)out + f->offset) = f->default_value;
        }
        if (is_missing && f->kind == CARO_FIELD_REAL) {
            *(double *)((char *)out + f->offset) = (double)f->default_value;
        }
    }
    return 0;
}

int
CaroFields_ReadArray(CaroFieldReader *r, const char *path,
                     const CaroField *fields, const json_t *array, void *out,
                     size_t size, int max)
{
    if (array == NULL) {
        return 0;
    }
    if (!json_is_array(array)) {
        return CaroFields_Fail(r, path, "", type_name(array), "an array");
    }
    int n = (int)json_array_size(array);
    if (n > max) {
        char allowed[48];
        (void)snprintf(allowed, sizeof(allowed), "at most %d entries", max);
        return CaroFields_Fail(r, path, "", "a longer array", allowed);
    }
    for (int i = 0; i < n; i++) {
        char at[64];
        (void)snprintf(at, sizeof(at), "%s[%d]", path, i);
        int rc = CaroFields_ReadObject(r, at, fields,
                                       json_array_get(array, (size_t)i),
                                       (char *)out + (size_t)i * size);
        if (rc < 0) {
            return rc;
        }
    }
    return n;
}

char *
CaroFields_ReadFile(const char *file, size_t *size, CaroError *err)
{
    enum { FILE_BYTES_MAX = 1 << 20 };
    FILE *f = fopen(file, "rb");
    if (f == NULL) {
        (void)CaroError_Set(err, CARO_ERR_IO, "settings", file,
                            "the file cannot be opened");
        return NULL;
    }
    char *text = malloc(FILE_BYTES_MAX);
    if (text == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "settings", file,
                            "no memory to read the file");
    }
    else {
        *size = fread(text, 1, FILE_BYTES_MAX, f);
    }
    (void)fclose(f);
    return text;
}
