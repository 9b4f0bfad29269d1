/*
 * NAME
 *     caro_prompt_parts - the parts of a prompt that requests may share
 *
 * A prompt is a sequence of parts.  A part is known by a hash of its id; the
 * last part of a prompt belongs to one request or session and is left out.
 */
#ifndef CARO_PROMPT_PARTS_H
#define CARO_PROMPT_PARTS_H

#include "internal/caro_types.h"

enum {
    /* As CARO_PROMPT_LOSS_PARTS_MAX of the messages.  Of a longer prompt the
       first and the last half of these are known. */
    CARO_PROMPT_PARTS_MAX = 32,
    /* Bytes of a formatted list of parts with its terminator. */
    CARO_PROMPT_PARTS_TEXT_SIZE = CARO_PROMPT_PARTS_MAX * 17 + 1
};

/* Hashes of parts, in the order of the prompt. */
typedef struct {
    uint64_t ids[CARO_PROMPT_PARTS_MAX];
    int n;
} CaroPromptParts;

/* The parts with their tokens, up to the last: of a prompt with more, the
   first ones. */
enum { CARO_SIZED_PARTS_MAX = 16 };

typedef struct {
    uint64_t ids[CARO_SIZED_PARTS_MAX];
    int tokens[CARO_SIZED_PARTS_MAX];
    int n;
} CaroSizedParts;

/* Returns whether the part is among the parts. */
bool CaroPromptParts_Has(const CaroPromptParts *parts, uint64_t id);

/* Returns whether all parts of "some" are among the parts of "all". */
bool CaroPromptParts_Contain(const CaroPromptParts *all,
                             const CaroPromptParts *some);

/* Returns whether both have the same parts, in any order. */
bool CaroPromptParts_Equal(const CaroPromptParts *a, const CaroPromptParts *b);

/* Adds a part unless it is there or there is no room. */
void CaroPromptParts_Add(CaroPromptParts *parts, uint64_t id);

/* Likewise, but when there is no room the part takes the place of the oldest
   in the second half. */
void CaroPromptParts_Append(CaroPromptParts *parts, uint64_t id);

/* Formats the parts as hexadecimal numbers with commas; returns "out". */
const char *CaroPromptParts_Format(const CaroPromptParts *parts,
                                   char out[CARO_PROMPT_PARTS_TEXT_SIZE]);

/* Parses what CaroPromptParts_Format wrote.  Returns 0, or CARO_ERR_INPUT when
   it is malformed, empty or too long. */
int CaroPromptParts_Parse(const char *text, CaroPromptParts *parts);

#endif
