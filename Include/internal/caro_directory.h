/*
 * NAME
 *     caro_directory - the VMs that a caller should use
 *
 * Answers callers that keep an address for a while and choose among the
 * given ones at random: those of the caller's failure domain, and others
 * only where it has too few to bear a loss.
 */
#ifndef CARO_DIRECTORY_H
#define CARO_DIRECTORY_H

#include "internal/caro_membership.h"

enum { CARO_DIRECTORY_MAX = 64 };

/*
 * Fills the addresses, borrowed from the membership.  is_self_ready tells
 * whether this VM may be among them.  Returns the count.
 */
int CaroDirectory_List(const CaroMembership *m, const char *domain,
                       bool is_self_ready,
                       const char *out[CARO_DIRECTORY_MAX]);

#endif
