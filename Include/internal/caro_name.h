/*
 * NAME
 *     caro_name - names of any length as identities of a fixed size
 *
 * The platform and the operators give services, versions, failure domains,
 * routes and VMs names of any length.  Parts that only compare names keep them
 * in CARO_NAME_SIZE bytes.  Where a name itself has to be sent, its text is
 * kept as well.
 */
#ifndef CARO_NAME_H
#define CARO_NAME_H

#include "internal/caro_types.h"

/*
 * Stores the identity of a name.  A word of visible ASCII characters that fits
 * is its own identity.  Another name is represented by its first characters
 * and 96 bits of its SHA-256 digest, so that different names have different
 * identities, and no identity has characters that a log line or a message
 * could not hold.  NULL and an empty name give an empty identity.
 */
void CaroName_Set(char out[CARO_NAME_SIZE], const char *name);

#endif
