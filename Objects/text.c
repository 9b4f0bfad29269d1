/* Borrowed ranges of bytes. */
#include "internal/caro_text.h"

#include <string.h>
#include <strings.h>

bool
CaroText_Equals(CaroText text, const char *word)
{
    return text.size == strlen(word) &&
           (text.size == 0 || memcmp(text.at, word, text.size) == 0);
}

bool
CaroText_StartsWith(CaroText text, const char *prefix)
{
    size_t size = strlen(prefix);
    return text.size >= size && memcmp(text.at, prefix, size) == 0;
}

bool
CaroText_EqualsIgnoreCase(CaroText text, const char *word)
{
    return text.size == strlen(word) &&
           (text.size == 0 || strncasecmp(text.at, word, text.size) == 0);
}

bool
CaroText_ToNumber(CaroText text, int64_t *n)
{
    enum { DIGITS_MAX = 18 };
    if (text.size == 0 || text.size > DIGITS_MAX) {
        return false;
    }
    int64_t value = 0;
    for (size_t i = 0; i < text.size; i++) {
        if (text.at[i] < '0' || text.at[i] > '9') {
            return false;
        }
        value = value * 10 + (text.at[i] - '0');
    }
    *n = value;
    return true;
}

bool
CaroText_Copy(CaroText text, char *out, size_t size)
{
    size_t n = text.size < size - 1 ? text.size : size - 1;
    if (n > 0) {
        memcpy(out, text.at, n);
    }
    out[n] = '\0';
    return n == text.size;
}

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

CaroText
CaroText_Trim(CaroText text)
{
    while (text.size > 0 && is_blank(text.at[0])) {
        text.at++;
        text.size--;
    }
    while (text.size > 0 && is_blank(text.at[text.size - 1])) {
        text.size--;
    }
    return text;
}

bool
CaroText_NextElement(CaroText *list, CaroText *element)
{
    if (list->at == NULL) {
        return false;
    }
    const char *comma = memchr(list->at, ',', list->size);
    size_t size = comma == NULL ? list->size : (size_t)(comma - list->at);
    *element = CaroText_Trim((CaroText){list->at, size});
    if (comma == NULL) {
        *list = (CaroText){NULL, 0};
    }
    else {
        *list = (CaroText){comma + 1, list->size - size - 1};
    }
    return true;
}
