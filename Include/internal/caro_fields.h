/*
 * NAME
 *     caro_fields - validation of JSON objects by tables of fields
 *
 * A table describes the keys of one object: type, range and default value.
 * Reading an object validates it and stores its values in a C structure.
 * The first error is reported with the JSON path, what was found and what is
 * allowed.
 */
#ifndef CARO_FIELDS_H
#define CARO_FIELDS_H

#include "caro_error.h"
#include "internal/caro_types.h"

#include <jansson.h>

/* The type of a JSON value, and the C type in which it is stored. */
typedef enum {
    CARO_FIELD_NAME,     /* char[CARO_NAME_SIZE]; a-z, 0-9 and hyphens. */
    CARO_FIELD_IDENTITY, /* char[CARO_NAME_SIZE]; the identity of any string
                            that is not empty (caro_name.h). */
    CARO_FIELD_ADDRESS,  /* char[CARO_ADDRESS_SIZE]; "ip:port". */
    CARO_FIELD_TEXT,     /* char[256]; any string that fits. */
    CARO_FIELD_HEX64,    /* char[65]; 64 hexadecimal digits. */
    CARO_FIELD_INTEGER,  /* int64_t; an integer from min to max. */
    CARO_FIELD_REAL,     /* double; a number from min to max. */
    CARO_FIELD_BOOL,     /* bool. */
    CARO_FIELD_NESTED /* An object or array that the caller reads with a table
                         of its own; nothing is stored. */
} CaroFieldKind;

/* One key of an object. */
typedef struct {
    const char *key; /* NULL ends a table. */
    CaroFieldKind kind;
    size_t offset; /* Offset in the structure that is filled. */
    bool is_required;
    int64_t min;           /* Smallest allowed number. */
    int64_t max;           /* Largest allowed number. */
    int64_t default_value; /* Value of a number that is absent; other types
                              are left unchanged. */
} CaroField;

/* The last entry of a table. */
#define CARO_FIELDS_END                                                       \
    {                                                                         \
        NULL, CARO_FIELD_BOOL, 0, false, 0, 0, 0                              \
    }

/* Where the errors of a document are reported. */
typedef struct {
    const char *origin; /* File or sender that errors name; borrowed. */
    const char *step;   /* Operation that errors name; borrowed. */
    CaroError *err;     /* Filled on failure; may be NULL. */
} CaroFieldReader;

/* Fills the error with the path and key, what was found and what is allowed.
   Returns CARO_ERR_INPUT. */
int CaroFields_Fail(CaroFieldReader *r, const char *path, const char *key,
                    const char *found, const char *allowed);

/*
 * Validates an object and stores its fields in *out.  Unknown keys and
 * missing required ones are errors.  Returns 0 or CARO_ERR_INPUT.
 */
int CaroFields_ReadObject(CaroFieldReader *r, const char *path,
                          const CaroField *fields, const json_t *object,
                          void *out);

/*
 * Reads an array of objects with the same table into the array "out", whose
 * elements have "size" bytes.  An absent (NULL) array counts as empty.
 * Returns the number of objects or CARO_ERR_INPUT.
 */
int CaroFields_ReadArray(CaroFieldReader *r, const char *path,
                         const CaroField *fields, const json_t *array,
                         void *out, size_t size, int max);

/* Reads the first MiB of a file.  Returns the bytes, without a terminator,
   which the caller frees, or NULL with *err filled. */
char *CaroFields_ReadFile(const char *file, size_t *size, CaroError *err);

#endif
