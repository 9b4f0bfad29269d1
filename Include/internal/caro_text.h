/*
 * NAME
 *     caro_text - borrowed ranges of bytes
 */
#ifndef CARO_TEXT_H
#define CARO_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A borrowed range of bytes, without a terminator. */
typedef struct {
    const char *at;
    size_t size;
} CaroText;

bool CaroText_Equals(CaroText text, const char *word);

bool CaroText_StartsWith(CaroText text, const char *prefix);

/* Ignores the case of ASCII letters. */
bool CaroText_EqualsIgnoreCase(CaroText text, const char *word);

/* Reads a decimal number of digits alone, at most 18, into *n.  Returns false
   for any other text. */
bool CaroText_ToNumber(CaroText text, int64_t *n);

/* Copies as much as fits, with a terminator.  Returns false when the text
   was cut. */
bool CaroText_Copy(CaroText text, char *out, size_t size);

/* Returns the text without the spaces and tabs at both ends. */
CaroText CaroText_Trim(CaroText text);

/*
 * Removes the next element of a list separated by commas from *list and stores
 * it, trimmed and possibly empty, in *element.  Returns false at the end.
 */
bool CaroText_NextElement(CaroText *list, CaroText *element);

#endif
