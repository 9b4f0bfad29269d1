/* Whether this VM reaches the upstreams itself. */
#include "internal/caro_upstream_links.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* Consecutive failed connections, to different upstreams, with those of a
       round of probes. */
    FAILURES_MAX = 3,
    /* Consecutive direct connections after which the links count as sound. */
    SUCCESSES_MIN = 2,
    GATE_FAILURES_MAX = 3,
    /* Failed gates in a row after which other domains are asked first. */
    NEAR_GATE_FAILURES_MAX = 2,
    /* Gates in use, so that the load of a domain spreads over several. */
    GATES = 2
};

#define PROBE_INTERVAL (250 * CARO_MS)
/* Without a byte from any upstream for this long, the links are tried. */
#define SILENCE_MAX (800 * CARO_MS)
#define CONNECTED_TTL (2 * CARO_SECOND)
#define GATE_RETRY_INTERVAL (250 * CARO_MS)
#define UNABLE_GATE_REST_TIME (2 * CARO_SECOND)
#define LOST_GATE_REST_TIME (10 * CARO_SECOND)

struct CaroUpstreamLinks {
    gsl_rng *rng;
    CaroLinksState state;
    CaroHandle failed[FAILURES_MAX]; /* Since the last success. */
    int n_failed;
    int n_succeeded;       /* Since the last failure. */
    CaroTime connected_at; /* Last direct connection; 0 for none. */
    int n_probes;          /* Of the present round; 0 for none. */
    int n_probes_failed;
    CaroTime next_probe;
    CaroHandle gates[GATES]; /* CARO_NO_HANDLE for none. */
    int n_gate_failures;     /* Since the last success. */
    CaroTime next_gate_try;  /* In the state NONE. */
    CaroTime unfit_until[CARO_VMS_MAX];
    bool has_failed[CARO_VMS_MAX]; /* The last connection of the gate did. */
};

CaroUpstreamLinks *
CaroUpstreamLinks_Create(gsl_rng *rng)
{
    CaroUpstreamLinks *l = calloc(1, sizeof(*l));
    if (l != NULL) {
        l->rng = rng;
        for (int i = 0; i < GATES; i++) {
            l->gates[i] = CARO_NO_HANDLE;
        }
    }
    return l;
}

void
CaroUpstreamLinks_Destroy(CaroUpstreamLinks *l)
{
    free(l);
}

CaroLinksState
CaroUpstreamLinks_State(const CaroUpstreamLinks *l)
{
    return l->state;
}

const char *
CaroLinksState_Name(CaroLinksState state)
{
    switch (state) {
    case CARO_LINKS_DIRECT:
        return "direct";
    case CARO_LINKS_TUNNELED:
        return "tunneled";
    case CARO_LINKS_NONE:
        return "none";
    }
    return "unknown";
}

static bool
set_state(CaroUpstreamLinks *l, CaroLinksState state)
{
    bool has_changed = l->state != state;
    l->state = state;
    return has_changed;
}

static void
add_failed(CaroUpstreamLinks *l, CaroHandle upstream)
{
    for (int i = 0; i < l->n_failed; i++) {
        if (l->failed[i] == upstream) {
            return;
        }
    }
    if (l->n_failed < FAILURES_MAX) {
        l->failed[l->n_failed++] = upstream;
    }
}

static bool
record_success(CaroUpstreamLinks *l, CaroTime now)
{
    l->n_failed = 0;
    l->n_probes = 0;
    l->n_succeeded++;
    l->connected_at = now;
    return l->n_succeeded >= SUCCESSES_MIN && set_state(l, CARO_LINKS_DIRECT);
}

bool
CaroUpstreamLinks_RecordDirect(CaroUpstreamLinks *l, CaroHandle upstream,
                               bool is_connected, CaroTime now)
{
    if (is_connected) {
        return record_success(l, now);
    }
    bool is_first = l->n_failed == 0;
    l->n_succeeded = 0;
    add_failed(l, upstream);
    if (is_first && l->state == CARO_LINKS_DIRECT) {
        l->next_probe = now;
    }
    return false;
}

void
CaroUpstreamLinks_BeginProbes(CaroUpstreamLinks *l, int n)
{
    l->n_probes = n;
    l->n_probes_failed = 0;
}

bool
CaroUpstreamLinks_RecordProbe(CaroUpstreamLinks *l, CaroHandle upstream,
                              bool is_connected, CaroTime now)
{
    if (is_connected) {
        return record_success(l, now);
    }
    l->n_succeeded = 0;
    l->n_probes_failed++;
    add_failed(l, upstream);
    if (l->state != CARO_LINKS_DIRECT || l->n_failed < FAILURES_MAX ||
        l->n_probes == 0 || l->n_probes_failed < l->n_probes) {
        return false;
    }
    l->n_probes = 0;
    l->n_gate_failures = 0;
    l->next_probe = now + PROBE_INTERVAL;
    return set_state(l, CARO_LINKS_TUNNELED);
}

bool
CaroUpstreamLinks_IsDirectPossible(const CaroUpstreamLinks *l, CaroTime now)
{
    return l->connected_at != 0 && now - l->connected_at < CONNECTED_TTL;
}

static bool
is_kept(const CaroUpstreamLinks *l, CaroHandle vm)
{
    for (int i = 0; i < GATES; i++) {
        if (l->gates[i] == vm) {
            return true;
        }
    }
    return false;
}

static void
keep_gate(CaroUpstreamLinks *l, CaroHandle vm)
{
    int free_place = -1;
    for (int i = 0; i < GATES; i++) {
        free_place = l->gates[i] == CARO_NO_HANDLE ? i : free_place;
    }
    if (free_place >= 0 && !is_kept(l, vm)) {
        l->gates[free_place] = vm;
    }
}

bool
CaroUpstreamLinks_IsCredible(const CaroUpstreamLinks *l, CaroHandle vm)
{
    return is_kept(l, vm) && !l->has_failed[vm];
}

bool
CaroUpstreamLinks_RecordGate(CaroUpstreamLinks *l, CaroHandle vm,
                             CaroGateOutcome outcome, CaroTime now)
{
    bool is_credible = CaroUpstreamLinks_IsCredible(l, vm);
    l->has_failed[vm] = outcome != CARO_GATE_CONNECTED;
    if (outcome == CARO_GATE_FAILED && is_credible) {
        return false;
    }
    if (outcome == CARO_GATE_CONNECTED) {
        l->n_gate_failures = 0;
        keep_gate(l, vm);
        return l->state == CARO_LINKS_NONE &&
               set_state(l, CARO_LINKS_TUNNELED);
    }
    l->unfit_until[vm] =
        now + (outcome == CARO_GATE_LOST ? LOST_GATE_REST_TIME
                                         : UNABLE_GATE_REST_TIME);
    for (int i = 0; i < GATES; i++) {
        l->gates[i] = l->gates[i] == vm ? CARO_NO_HANDLE : l->gates[i];
    }
    l->n_gate_failures++;
    return false;
}

static bool
is_fit(const CaroUpstreamLinks *l, const CaroMembership *m, CaroHandle vm,
       CaroTime now)
{
    return vm != CARO_SELF && CaroMembership_IsUsable(m, vm) &&
           now >= l->unfit_until[vm];
}

/* Returns a fit VM chosen at random, of this VM's domain or of the others. */
static CaroHandle
draw_gate(const CaroUpstreamLinks *l, const CaroMembership *m,
          bool is_own_domain, CaroTime now)
{
    const char *domain = CaroMembership_Get(m, CARO_SELF)->domain;
    CaroHandle chosen = CARO_NO_HANDLE;
    unsigned long n = 0;
    for (CaroHandle vm = 0; vm < CaroMembership_Count(m); vm++) {
        bool is_near = strcmp(CaroMembership_Get(m, vm)->domain, domain) == 0;
        if (is_near == is_own_domain && is_fit(l, m, vm, now) &&
            gsl_rng_uniform_int(l->rng, ++n) == 0) {
            chosen = vm;
        }
    }
    return chosen;
}

CaroHandle
CaroUpstreamLinks_ChooseGate(CaroUpstreamLinks *l, const CaroMembership *m,
                             CaroTime now)
{
    if (l->state == CARO_LINKS_NONE) {
        if (now < l->next_gate_try) {
            return CARO_NO_HANDLE;
        }
        l->next_gate_try = now + GATE_RETRY_INTERVAL;
    }
    /* A place that is still free draws another VM. */
    CaroHandle kept = l->gates[gsl_rng_uniform_int(l->rng, GATES)];
    if (kept != CARO_NO_HANDLE && is_fit(l, m, kept, now)) {
        return kept;
    }
    bool is_near_first = l->n_gate_failures < NEAR_GATE_FAILURES_MAX;
    CaroHandle vm = draw_gate(l, m, is_near_first, now);
    vm = vm == CARO_NO_HANDLE ? draw_gate(l, m, !is_near_first, now) : vm;
    bool is_without = vm == CARO_NO_HANDLE;
    if (is_without && l->state == CARO_LINKS_TUNNELED &&
        l->n_gate_failures >= GATE_FAILURES_MAX) {
        l->next_gate_try = now + GATE_RETRY_INTERVAL;
        (void)set_state(l, CARO_LINKS_NONE);
    }
    return vm;
}

bool
CaroUpstreamLinks_IsProbeDue(CaroUpstreamLinks *l, bool is_waiting,
                             CaroTime heard_at, CaroTime now)
{
    bool is_doubtful =
        l->n_failed > 0 || (is_waiting && now - heard_at >= SILENCE_MAX);
    if ((l->state == CARO_LINKS_DIRECT && !is_doubtful) ||
        now < l->next_probe) {
        return false;
    }
    l->next_probe = now + PROBE_INTERVAL;
    return true;
}
