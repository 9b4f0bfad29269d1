/* The parts of a prompt that requests may share. */
#include "internal/caro_prompt_parts.h"

#include "caro_error.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
CaroPromptParts_Has(const CaroPromptParts *parts, uint64_t id)
{
    for (int i = 0; i < parts->n; i++) {
        if (parts->ids[i] == id) {
            return true;
        }
    }
    return false;
}

bool
CaroPromptParts_Contain(const CaroPromptParts *all,
                        const CaroPromptParts *some)
{
    for (int i = 0; i < some->n; i++) {
        if (!CaroPromptParts_Has(all, some->ids[i])) {
            return false;
        }
    }
    return true;
}

bool
CaroPromptParts_Equal(const CaroPromptParts *a, const CaroPromptParts *b)
{
    return CaroPromptParts_Contain(a, b) && CaroPromptParts_Contain(b, a);
}

void
CaroPromptParts_Add(CaroPromptParts *parts, uint64_t id)
{
    if (parts->n < CARO_PROMPT_PARTS_MAX && !CaroPromptParts_Has(parts, id)) {
        parts->ids[parts->n++] = id;
    }
}

void
CaroPromptParts_Append(CaroPromptParts *parts, uint64_t id)
{
    enum { HALF = CARO_PROMPT_PARTS_MAX / 2 };
    if (parts->n == CARO_PROMPT_PARTS_MAX && !CaroPromptParts_Has(parts, id)) {
        parts->n--;
        memmove(&parts->ids[HALF], &parts->ids[HALF + 1],
                (size_t)(parts->n - HALF) * sizeof(parts->ids[0]));
    }
    CaroPromptParts_Add(parts, id);
}

const char *
CaroPromptParts_Format(const CaroPromptParts *parts,
                       char out[CARO_PROMPT_PARTS_TEXT_SIZE])
{
    size_t at = 0;
    out[0] = '\0';
    for (int i = 0; i < parts->n; i++) {
        at += (size_t)snprintf(out + at, CARO_PROMPT_PARTS_TEXT_SIZE - at,
                               "%s%016" PRIx64, i == 0 ? "" : ",",
                               parts->ids[i]);
    }
    return out;
}

int
CaroPromptParts_Parse(const char *text, CaroPromptParts *parts)
{
    enum { DIGITS = 16 };
    memset(parts, 0, sizeof(*parts));
    for (;;) {
        char number[DIGITS + 1] = "";
        size_t size = strspn(text, "0123456789abcdef");
        if (size != DIGITS || parts->n == CARO_PROMPT_PARTS_MAX) {
            return CARO_ERR_INPUT;
        }
        memcpy(number, text, size);
        parts->ids[parts->n++] = strtoull(number, NULL, 16);
        text += size;
        if (*text == '\0') {
            return 0;
        }
        if (*text++ != ',') {
            return CARO_ERR_INPUT;
        }
    }
}
