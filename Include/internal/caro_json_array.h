/*
 * NAME
 *     caro_json_array - the elements of a long array, without parsing them
 *
 * Finds the objects of an array that is a member of the top-level object of a
 * JSON text (RFC 8259), so that those which are known already need not be
 * parsed.  What it does not follow with certainty is left to a JSON parser.
 */
#ifndef CARO_JSON_ARRAY_H
#define CARO_JSON_ARRAY_H

#include "caro_error.h"

#include <stddef.h>

/* A part of the text, in bytes from its beginning. */
typedef struct {
    size_t from;
    size_t size;
} CaroJsonSlice;

typedef struct {
    CaroJsonSlice array; /* With its brackets. */
    CaroJsonSlice *elements;
    size_t n;
} CaroJsonArray;

/*
 * Finds the array with the key.  Returns 0, with elements that the caller
 * releases by Clear; CARO_ERR_NOT_FOUND when there is no such array, or more
 * than one, or an element is no object, or the text is malformed where that
 * shows; or CARO_ERR_NOMEM.
 */
int CaroJsonArray_Find(const char *text, size_t size, const char *key,
                       CaroJsonArray *out);
void CaroJsonArray_Clear(CaroJsonArray *a);

#endif
