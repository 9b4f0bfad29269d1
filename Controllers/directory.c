/* The VMs that a caller should use. */
#include "internal/caro_directory.h"

#include <string.h>

/* With fewer in its own domain a caller also gets the others: one VM that
   is lost unseen must leave it another to turn to. */
#define NEAR_MIN 2

static int
list_where(const CaroMembership *m, const char *domain, bool is_self_ready,
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
    int n = list_where(m, domain, is_self_ready, out);
    return n >= NEAR_MIN ? n : list_where(m, NULL, is_self_ready, out);
}
