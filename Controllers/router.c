/*
 * The choice of an upstream.
 *
 * A VM uses a fixed subset of a deployment's upstreams, chosen by
 * rendezvous hashing over (VM, upstream): a change of the fleet moves few
 * pairs, and an engine holds connections of a few VMs only.  Within the
 * subset the prompt's prefix names a favourite by rendezvous hashing
 * again, so that all VMs that use an engine send it the same prefixes.
 *
 * Upstreams of a suspected domain are used only when there are no others.
 */
#include "internal/caro_router.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* The favourite is kept while its load is at most this above the mean. */
#define AFFINITY_BOUND 0.25
#define AFFINITY_SLACK 0.10
#define RESUME_SPREAD 0.2
#define WARM_LOAD_MOST 1.25
/* Load that a resume takes on to leave the domain of a failure. */
#define NEAR_PENALTY 0.5
#define PREFIX_BYTES 512

typedef struct {
    CaroHandle handles[CARO_UPSTREAMS_MAX];
    int n;
} Candidates;

uint64_t
CaroRandom_Next(uint64_t *state)
{
    *state += 0x9e3779b97f4a7c15ULL;
    uint64_t z = *state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

uint64_t
CaroRouter_PrefixHash(const char *prompt, size_t size)
{
    return XXH64(prompt, size < PREFIX_BYTES ? size : PREFIX_BYTES, 0);
}

static uint64_t
rank_of(const char *name, uint64_t seed)
{
    return XXH64(name, strlen(name), seed);
}

static bool
is_avoided(const CaroRouterQuery *q, CaroHandle h)
{
    for (int i = 0; i < q->n_avoid; i++) {
        if (q->avoid[i] == h) {
            return true;
        }
    }
    return false;
}

/* Keeps the best "subset" by rank, in order, by insertion. */
static void
insert_ranked(Candidates *c, uint64_t *ranks, int most, CaroHandle h,
              uint64_t rank)
{
    int at = c->n;
    if (most <= 0) {
        return;
    }
    if (at == most) {
        if (ranks[at - 1] >= rank) {
            return;
        }
        at--;
    }
    else {
        c->n++;
    }
    while (at > 0 && ranks[at - 1] < rank) {
        ranks[at] = ranks[at - 1];
        c->handles[at] = c->handles[at - 1];
        at--;
    }
    ranks[at] = rank;
    c->handles[at] = h;
}

static void
collect_subset(const CaroUpstreams *t, const CaroRouterQuery *q, Candidates *c)
{
    enum { SUBSET_MAX = 128 };
    uint64_t ranks[SUBSET_MAX];
    uint64_t seed = rank_of(q->vm, 0);
    int most = q->subset < SUBSET_MAX ? q->subset : SUBSET_MAX;
    c->n = 0;
    for (CaroHandle h = 0; h < CaroUpstreams_Count(t); h++) {
        const CaroUpstream *u = CaroUpstreams_Get((CaroUpstreams *)t, h);
        bool is_other =
            strcmp(u->deployment, q->deployment) != 0 ||
            (q->version != NULL && strcmp(u->version, q->version) != 0);
        if (u->is_leaving || is_other) {
            continue;
        }
        insert_ranked(c, ranks, most, h, rank_of(u->name, seed));
    }
}

/* Verdicts on domains, each looked up once in a choice. */
typedef struct {
    const char *names[CARO_DOMAINS_MAX];
    bool verdicts[CARO_DOMAINS_MAX];
    int n;
} Suspicions;

static bool
is_suspected(const CaroUpstreams *t, const char *domain, CaroTime now,
             Suspicions *known)
{
    for (int i = 0; i < known->n; i++) {
        if (strcmp(known->names[i], domain) == 0) {
            return known->verdicts[i];
        }
    }
    bool verdict = CaroUpstreams_IsDomainSuspected(t, domain, now);
    if (known->n < CARO_DOMAINS_MAX) {
        known->names[known->n] = domain;
        known->verdicts[known->n] = verdict;
        known->n++;
    }
    return verdict;
}

/* Drops the unusable; drops suspected domains unless nothing is left. */
static void
filter_usable(const CaroUpstreams *t, const CaroRouterQuery *q, CaroTime now,
              Candidates *c)
{
    Candidates good = {.n = 0};
    Candidates rest = {.n = 0};
    Suspicions known = {.n = 0};
    for (int i = 0; i < c->n; i++) {
        CaroHandle h = c->handles[i];
        if (is_avoided(q, h) || !CaroUpstreams_IsUsable(t, h, now)) {
            continue;
        }
        const CaroUpstream *u = CaroUpstreams_Get((CaroUpstreams *)t, h);
        if (is_suspected(t, u->domain, now, &known)) {
            rest.handles[rest.n++] = h;
        }
        else {
            good.handles[good.n++] = h;
        }
    }
    *c = good.n > 0 ? good : rest;
}

static CaroHandle
choose_favourite(const CaroUpstreams *t, const Candidates *c, uint64_t hash)
{
    CaroHandle best = CARO_NO_HANDLE;
    uint64_t best_rank = 0;
    for (int i = 0; i < c->n; i++) {
        const CaroUpstream *u =
            CaroUpstreams_Get((CaroUpstreams *)t, c->handles[i]);
        uint64_t rank = rank_of(u->name, hash);
        if (best == CARO_NO_HANDLE || rank > best_rank) {
            best = c->handles[i];
            best_rank = rank;
        }
    }
    return best;
}

static CaroHandle
choose_least(const CaroUpstreams *t, const Candidates *c, CaroTime now)
{
    CaroHandle best = c->handles[0];
    for (int i = 1; i < c->n; i++) {
        if (CaroUpstreams_Load(t, c->handles[i], now) <
            CaroUpstreams_Load(t, best, now)) {
            best = c->handles[i];
        }
    }
    return best;
}

static CaroHandle
choose_of_two(const CaroUpstreams *t, const Candidates *c, CaroTime now,
              uint64_t *rng)
{
    CaroHandle a = c->handles[CaroRandom_Next(rng) % (uint64_t)c->n];
    CaroHandle b = c->handles[CaroRandom_Next(rng) % (uint64_t)c->n];
    return CaroUpstreams_Load(t, a, now) <= CaroUpstreams_Load(t, b, now) ? a
                                                                          : b;
}

static CaroHandle
choose_bounded(const CaroUpstreams *t, const Candidates *c, uint64_t hash,
               CaroTime now, uint64_t *rng)
{
    double sum = 0.0;
    for (int i = 0; i < c->n; i++) {
        sum += CaroUpstreams_Load(t, c->handles[i], now);
    }
    double bound = sum / c->n * (1.0 + AFFINITY_BOUND) + AFFINITY_SLACK;
    CaroHandle h = choose_favourite(t, c, hash);
    if (CaroUpstreams_Load(t, h, now) <= bound) {
        return h;
    }
    return choose_of_two(t, c, now, rng);
}

/* The upstream shares a domain with one that failed the generation. */
static bool
is_near_failure(const CaroUpstreams *t, const CaroRouterQuery *q, CaroHandle h)
{
    const CaroUpstream *u = CaroUpstreams_Get((CaroUpstreams *)t, h);
    for (int i = 0; i < q->n_avoid; i++) {
        const CaroUpstream *failed =
            CaroUpstreams_Get((CaroUpstreams *)t, q->avoid[i]);
        if (strcmp(failed->domain, u->domain) == 0) {
            return true;
        }
    }
    return false;
}

/* The upstream that served the generation before still caches it, and is
   no busier than a new reading elsewhere would be worth. */
static bool
is_warm_usable(const CaroUpstreams *t, const CaroRouterQuery *q,
               const Candidates *c, CaroTime now)
{
    for (int i = 0; i < c->n; i++) {
        if (c->handles[i] == q->warm) {
            return CaroUpstreams_Load(t, q->warm, now) < WARM_LOAD_MOST;
        }
    }
    return false;
}

/*
 * A resume reads prompt and answer anew, so it goes where least waits to
 * be read.  After a mass loss many VMs choose at the same time from the
 * same reports; the small random part keeps them apart.
 */
static CaroHandle
choose_for_resume(const CaroUpstreams *t, const CaroRouterQuery *q,
                  const Candidates *c, CaroTime now, uint64_t *rng)
{
    CaroHandle best = CARO_NO_HANDLE;
    double best_load = 0.0;
    if (is_warm_usable(t, q, c, now)) {
        return q->warm;
    }
    for (int i = 0; i < c->n; i++) {
        CaroHandle h = c->handles[i];
        double load = CaroUpstreams_Load(t, h, now);
        double part = (double)(CaroRandom_Next(rng) >> 11) * 0x1.0p-53;
        load += RESUME_SPREAD * part;
        if (q->prefers_other_domains && is_near_failure(t, q, h)) {
            load += NEAR_PENALTY;
        }
        if (best == CARO_NO_HANDLE || load < best_load) {
            best = h;
            best_load = load;
        }
    }
    return best;
}

/* The upstream whose failure is the oldest, of those not tried yet. */
static CaroHandle
choose_failed(const CaroUpstreams *t, const CaroRouterQuery *q,
              const Candidates *c)
{
    CaroHandle best = CARO_NO_HANDLE;
    CaroTime best_until = 0;
    for (int i = 0; i < c->n; i++) {
        CaroHandle h = c->handles[i];
        const CaroUpstream *u = CaroUpstreams_Get((CaroUpstreams *)t, h);
        if (is_avoided(q, h)) {
            continue;
        }
        if (best == CARO_NO_HANDLE || u->avoided_until < best_until) {
            best = h;
            best_until = u->avoided_until;
        }
    }
    return best;
}

CaroHandle
CaroRouter_Choose(const CaroUpstreams *t, const CaroRouterQuery *q,
                  CaroTime now, uint64_t *rng)
{
    Candidates c;
    collect_subset(t, q, &c);
    Candidates all = c;
    filter_usable(t, q, now, &c);
    if (c.n == 0) {
        return q->accepts_failed ? choose_failed(t, q, &all) : CARO_NO_HANDLE;
    }
    if (q->is_resume && q->policy == CARO_ROUTER_BOUNDED_AFFINITY) {
        return choose_for_resume(t, q, &c, now, rng);
    }
    switch (q->policy) {
    case CARO_ROUTER_RANDOM:
        return c.handles[CaroRandom_Next(rng) % (uint64_t)c.n];
    case CARO_ROUTER_LEAST_LOADED:
        return choose_least(t, &c, now);
    case CARO_ROUTER_AFFINITY:
        return choose_favourite(t, &c, q->prefix_hash);
    default:
        return choose_bounded(t, &c, q->prefix_hash, now, rng);
    }
}
