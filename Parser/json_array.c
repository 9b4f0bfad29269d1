/* The elements of a long array, without parsing them. */
#include "internal/caro_json_array.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    const char *text;
    size_t size;
    size_t at;
} Scan;

static void
skip_space(Scan *s)
{
    while (s->at < s->size &&
           (s->text[s->at] == ' ' || s->text[s->at] == '\n' ||
            s->text[s->at] == '\r' || s->text[s->at] == '\t')) {
        s->at++;
    }
}

static bool
skip_byte(Scan *s, char byte)
{
    skip_space(s);
    if (s->at < s->size && s->text[s->at] == byte) {
        s->at++;
        return true;
    }
    return false;
}

/* Moves behind the string that begins here. */
static bool
skip_string(Scan *s)
{
    if (!skip_byte(s, '"')) {
        return false;
    }
    while (s->at < s->size && s->text[s->at] != '"') {
        s->at += s->text[s->at] == '\\' ? 2 : 1;
    }
    return skip_byte(s, '"');
}

/* Moves behind the value that begins here: brackets are counted, other values
   end before a comma or a bracket. */
static bool
skip_value(Scan *s)
{
    int depth = 0;
    skip_space(s);
    size_t from = s->at;
    while (s->at < s->size) {
        switch (s->text[s->at]) {
        case '"':
            if (!skip_string(s)) {
                return false;
            }
            break;
        case '{':
        case '[':
            depth++;
            s->at++;
            break;
        case '}':
        case ']':
            if (depth == 0) {
                return s->at > from;
            }
            depth--;
            s->at++;
            break;
        case ',':
            if (depth == 0) {
                return s->at > from;
            }
            s->at++;
            break;
        default:
            s->at++;
            break;
        }
        if (depth == 0 && s->at < s->size && s->at > from &&
            (s->text[s->at - 1] == '}' || s->text[s->at - 1] == ']')) {
            return true;
        }
    }
    return false;
}

static int
add_element(CaroJsonArray *a, size_t *capacity, size_t from, size_t end)
{
    if (a->n == *capacity) {
        size_t more = *capacity == 0 ? 64 : 2 * *capacity;
        CaroJsonSlice *grown = realloc(a->elements, more * sizeof(*grown));
        if (grown == NULL) {
            return CARO_ERR_NOMEM;
        }
        a->elements = grown;
        *capacity = more;
    }
    a->elements[a->n++] = (CaroJsonSlice){from, end - from};
    return 0;
}

/* Reads the array that begins here. */
static int
find_elements(Scan *s, CaroJsonArray *out)
{
    size_t capacity = 0;
    skip_space(s);
    out->array.from = s->at;
    if (!skip_byte(s, '[')) {
        return CARO_ERR_NOT_FOUND;
    }
    bool is_empty = skip_byte(s, ']');
    while (!is_empty) {
        skip_space(s);
        size_t from = s->at;
        if (from >= s->size || s->text[from] != '{' || !skip_value(s)) {
            return CARO_ERR_NOT_FOUND;
        }
        if (add_element(out, &capacity, from, s->at) < 0) {
            return CARO_ERR_NOMEM;
        }
        if (skip_byte(s, ']')) {
            break;
        }
        if (!skip_byte(s, ',')) {
            return CARO_ERR_NOT_FOUND;
        }
    }
    out->array.size = s->at - out->array.from;
    return 0;
}

int
CaroJsonArray_Find(const char *text, size_t size, const char *key,
                   CaroJsonArray *out)
{
    Scan s = {text, size, 0};
    bool is_found = false;
    int rc = skip_byte(&s, '{') ? 0 : CARO_ERR_NOT_FOUND;
    memset(out, 0, sizeof(*out));
    while (rc == 0) {
        skip_space(&s);
        size_t from = s.at;
        if (!skip_string(&s)) {
            rc = CARO_ERR_NOT_FOUND;
            break;
        }
        /* A key with an escape may be the same one; the parser decides. */
        size_t key_size = s.at - from - 2;
        bool is_key = key_size == strlen(key) &&
                      memcmp(text + from + 1, key, key_size) == 0;
        bool is_escaped = memchr(text + from, '\\', key_size + 1) != NULL;
        if (!skip_byte(&s, ':') || is_escaped || (is_key && is_found)) {
            rc = CARO_ERR_NOT_FOUND;
            break;
        }
        is_found |= is_key;
        rc = is_key           ? find_elements(&s, out)
             : skip_value(&s) ? 0
                              : CARO_ERR_NOT_FOUND;
        if (rc == 0 && !skip_byte(&s, ',')) {
            rc = skip_byte(&s, '}') && is_found ? 0 : CARO_ERR_NOT_FOUND;
            break;
        }
    }
    if (rc < 0) {
        CaroJsonArray_Clear(out);
    }
    return rc;
}

void
CaroJsonArray_Clear(CaroJsonArray *a)
{
    free(a->elements);
    memset(a, 0, sizeof(*a));
}
