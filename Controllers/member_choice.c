/*
 * Choices among the members, by rendezvous hashing: the same set of VMs
 * always gives the same choice, and a change of the fleet changes few
 * choices.
 */
#include "internal/caro_membership.h"

#include <assert.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Returns a preference, the highest first: another domain of the same region,
   then another region. */
static int
backup_class(const CaroVm *self, const CaroVm *vm)
{
    bool is_same_domain = strcmp(self->domain, vm->domain) == 0;
    bool is_same_region = strcmp(self->region, vm->region) == 0;
    if (!is_same_domain && is_same_region) {
        return 3;
    }
    return is_same_domain ? 1 : 2;
}

CaroHandle
CaroMembership_ChooseBackup(const CaroMembership *m, uint64_t id, CaroTime now)
{
    const CaroVm *self = CaroMembership_Get(m, CARO_SELF);
    CaroHandle best = CARO_NO_HANDLE;
    int best_class = 0;
    uint64_t best_rank = 0;
    for (CaroHandle h = 1; h < CaroMembership_Count(m); h++) {
        const CaroVm *vm = CaroMembership_Get(m, h);
        if (!CaroMembership_IsTrusted(m, h, now)) {
            continue;
        }
        int class = backup_class(self, vm);
        uint64_t rank = XXH64(vm->name, strlen(vm->name), id);
        if (class > best_class || (class == best_class && rank > best_rank)) {
            best = h;
            best_class = class;
            best_rank = rank;
        }
    }
    return best;
}

bool
CaroMembership_IsChosen(const CaroMembership *m, const char *role,
                        int chosen_max)
{
    const CaroVm *self = CaroMembership_Get(m, CARO_SELF);
    uint64_t seed = XXH64(role, strlen(role), 0);
    uint64_t own = XXH64(self->name, strlen(self->name), seed);
    int n_before = 0;
    for (CaroHandle h = 1; h < CaroMembership_Count(m); h++) {
        const CaroVm *vm = CaroMembership_Get(m, h);
        if (CaroMembership_IsUsable(m, h) &&
            strcmp(vm->region, self->region) == 0 &&
            XXH64(vm->name, strlen(vm->name), seed) > own) {
            n_before++;
        }
    }
    return n_before < chosen_max;
}

/* Inserts the VM in the order of the ranks, the highest first, and drops the
   last one when there is no room. */
static int
insert_ranked(CaroHandle *chosen, uint64_t *ranks, int n, int chosen_max,
              CaroHandle vm, uint64_t rank)
{
    int at = n;
    while (at > 0 && ranks[at - 1] < rank) {
        at--;
    }
    if (at == chosen_max) {
        return n;
    }
    n = n < chosen_max ? n + 1 : n;
    for (int i = n - 1; i > at; i--) {
        chosen[i] = chosen[i - 1];
        ranks[i] = ranks[i - 1];
    }
    chosen[at] = vm;
    ranks[at] = rank;
    return n;
}

/* Fills the first usable VMs for the role, of the domain or of all. */
static int
choose_ranked(const CaroMembership *m, const char *role, const char *domain,
              CaroHandle *chosen, int chosen_max)
{
    enum { CHOSEN_MAX = 8 };
    uint64_t ranks[CHOSEN_MAX];
    uint64_t seed = XXH64(role, strlen(role), 0);
    int n = 0;
    assert(chosen_max <= CHOSEN_MAX);
    for (CaroHandle h = 0; h < CaroMembership_Count(m); h++) {
        const CaroVm *vm = CaroMembership_Get(m, h);
        if (CaroMembership_IsUsable(m, h) &&
            (domain == NULL || strcmp(vm->domain, domain) == 0)) {
            uint64_t rank = XXH64(vm->name, strlen(vm->name), seed);
            n = insert_ranked(chosen, ranks, n, chosen_max, h, rank);
        }
    }
    return n;
}

int
CaroMembership_ChooseInDomain(const CaroMembership *m, const char *role,
                              CaroHandle *chosen, int chosen_max)
{
    return choose_ranked(m, role, CaroMembership_Get(m, CARO_SELF)->domain,
                         chosen, chosen_max);
}

int
CaroMembership_ChooseOfAll(const CaroMembership *m, const char *role,
                           CaroHandle *chosen, int chosen_max)
{
    return choose_ranked(m, role, NULL, chosen, chosen_max);
}

int
CaroMembership_CountUsable(const CaroMembership *m)
{
    int n = 0;
    for (CaroHandle h = 0; h < CaroMembership_Count(m); h++) {
        n += CaroMembership_IsUsable(m, h);
    }
    return n;
}
