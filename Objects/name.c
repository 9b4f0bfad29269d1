/* Names of any length as identities of a fixed size. */
#include "internal/caro_name.h"

#include <assert.h>
#include <ctype.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <string.h>

/* An identity with a digest: PREFIX_SIZE characters, a tilde, two hexadecimal
   digits for each of DIGEST_BYTES. */
enum { PREFIX_SIZE = 6, DIGEST_BYTES = 12 };

/* Returns whether the name is a word that fits and does not look like an
   identity with a digest. */
static bool
is_own_identity(const char *name, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (!isgraph((unsigned char)name[i])) {
            return false;
        }
    }
    return size < CARO_NAME_SIZE - 1 ||
           (size == CARO_NAME_SIZE - 1 && name[PREFIX_SIZE] != '~');
}

void
CaroName_Set(char out[CARO_NAME_SIZE], const char *name)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    size_t size = name == NULL ? 0 : strlen(name);
    if (size == 0 || is_own_identity(name, size)) {
        (void)snprintf(out, CARO_NAME_SIZE, "%s", size == 0 ? "" : name);
        return;
    }
    (void)SHA256((const unsigned char *)name, size, digest);
    for (size_t i = 0; i < PREFIX_SIZE; i++) {
        bool is_visible = i < size && isgraph((unsigned char)name[i]);
        out[i] = '_';
        if (is_visible) {
            out[i] = name[i];
        }
    }
    out[PREFIX_SIZE] = '~';
    static_assert(PREFIX_SIZE + 1 + 2 * DIGEST_BYTES == CARO_NAME_SIZE - 1,
                  "an identity with a digest fills the array");
    for (int i = 0; i < DIGEST_BYTES; i++) {
        (void)snprintf(out + PREFIX_SIZE + 1 + 2 * i, 3, "%02x", digest[i]);
    }
}
