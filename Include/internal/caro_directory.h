/*
 * NAME
 *     caro_directory - the VMs that a caller should use
 *
 * Callers keep an address for a while and choose at random among those they
 * were given.  They get the VMs of their own failure domain, and all others
 * only when that domain has too few VMs to tolerate the loss of one.
 */
#ifndef CARO_DIRECTORY_H
#define CARO_DIRECTORY_H

#include "internal/caro_membership.h"

enum { CARO_DIRECTORY_MAX = 64 };

/*
 * Fills "out" with addresses, which are borrowed from the membership, and
 * returns their count.  "domain" is the caller's failure domain, or NULL for
 * any; "is_self_ready" tells whether this VM may be among them.
 */
int CaroDirectory_List(const CaroMembership *m, const char *domain,
                       bool is_self_ready,
                       const char *out[CARO_DIRECTORY_MAX]);

#endif
