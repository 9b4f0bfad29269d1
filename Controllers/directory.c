/* The VMs that a caller should use. */
#include "internal/caro_directory.h"

#include <string.h>

/* With fewer VMs in its own domain a caller gets all VMs, so that it has
   another one to turn to when a VM is lost undetected. */
#define SAME_DOMAIN_MIN 2

/* Lists the ready VMs of the domain, or of all domains if it is NULL. */
static int
list_domain(const CaroMembership *m, const char *domain, bool is_self_ready,
            const char *out[CARO_DIRECTORY_MAX])
{
    int n = 0;
    for (CaroHandle vm = 0;
         vm < CaroMembership_Count(m) && n < CARO_DIRECTORY_MAX; vm++) {
        const CaroVm *v = CaroMembership_Get(m, vm);
        bool is_ready =
            vm == CARO_SELF ? is_self_ready : CaroMembership_IsUsable(m, vm);
        if (is_ready && (domain == NULL || strcmp(v->domain, domain) == 0)) {
            out[n++] = v->http;
        }
    }
    return n;
}

int
CaroDirectory_List(const CaroMembership *m, const char *domain,
                   bool is_self_ready, const char *out[CARO_DIRECTORY_MAX])
{
    int n = list_domain(m, domain, is_self_ready, out);
    return n >= SAME_DOMAIN_MIN ? n : list_domain(m, NULL, is_self_ready, out);
}
