/*
 * NAME
 *     caro_fields - JSON objects checked against tables of fields
 */
#ifndef CARO_FIELDS_H
#define CARO_FIELDS_H

#include "caro_error.h"
#include "internal/caro_types.h"

#include <jansson.h>

typedef enum {
    CARO_FIELD_NAME,    /* char[CARO_NAME_SIZE], a-z 0-9 and hyphens. */
    CARO_FIELD_ADDRESS, /* char[CARO_ADDRESS_SIZE], "ip:port". */
    CARO_FIELD_TEXT,    /* char[256]. */
    CARO_FIELD_HEX64,   /* char[65], 64 hexadecimal digits. */
    CARO_FIELD_INTEGER, /* int64_t between low and high. */
    CARO_FIELD_REAL,    /* double between low and high. */
    CARO_FIELD_BOOL,    /* bool. */
    CARO_FIELD_NESTED   /* Read by a table of its own; nothing stored. */
} CaroFieldKind;

typedef struct {
    const char *key;
    CaroFieldKind kind;
    size_t offset; /* Within the structure that is filled. */
    bool is_required;
    int64_t low;
    int64_t high;
    int64_t initial; /* Value of an absent number. */
} CaroField;

#define CARO_FIELDS_END                                                       \
    {                                                                         \
        NULL, CARO_FIELD_BOOL, 0, false, 0, 0, 0                              \
    }

typedef struct {
    const char *origin; /* File or sender, for errors; borrowed. */
    const char *step;   /* What is read, for errors; borrowed. */
    CaroError *err;     /* Filled on failure; may be NULL. */
} CaroFieldReader;

/* Words an error: path, what was found, what is allowed. */
int CaroFields_Fail(CaroFieldReader *r, const char *path, const char *key,
                    const char *found, const char *allowed);

/*
 * Checks one object against its table and stores every field in *out.
 * Returns 0 or CARO_ERR_INPUT.
 */
int CaroFields_ReadObject(CaroFieldReader *r, const char *path,
                          const CaroField *fields, const json_t *object,
                          void *out);

/*
 * Reads an array of objects of one shape into out[], "size" bytes each.
 * An absent array is empty.  Returns the count or CARO_ERR_INPUT.
 */
int CaroFields_ReadArray(CaroFieldReader *r, const char *path,
                         const CaroField *fields, const json_t *array,
                         void *out, size_t size, int most);

/* The bytes of a file of at most 1 MiB; the caller frees them.  Returns
   NULL with *err filled. */
char *CaroFields_ReadFile(const char *file, size_t *size, CaroError *err);

#endif
