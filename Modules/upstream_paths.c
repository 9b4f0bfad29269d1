/* Opens channels to upstreams, directly or by a gate. */
#include "internal/caro_upstream_paths.h"

#include "caro_peer.h"
#include "internal/caro_clock.h"
#include "internal/caro_http.h"
#include "internal/caro_log.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A tunnel takes a connection to the gate and one from there. */
#define GATE_MARGIN (200 * CARO_MS)
#define PROBE_TIMEOUT (300 * CARO_MS)
/* Interval at which a gate is told which tunnels are in use. */
#define LEASE_INTERVAL (100 * CARO_MS)

/* Two rounds of connections to an upstream of each service. */
enum { SERVICES_MAX = 16, PROBES_MAX = 2 * SERVICES_MAX };

/* A channel through a gate. */
typedef struct {
    uint32_t number; /* 0: the entry is free. */
    CaroHandle gate;
} Tunnel;

struct CaroUpstreamPaths {
    CaroUpstreamPathsDeps deps;
    CaroUpstreamLinks *links;
    bool has_changed; /* Since the last Tick. */
    CaroTime heard_at;
    /* Connections that only show whether they succeed. */
    CaroChannel *probes[PROBES_MAX];
    CaroTime probed_at[PROBES_MAX];

    Tunnel *tunnels;
    int tunnels_capacity;
    uint32_t last_tunnel; /* Number of the last one that was opened. */
    bool is_lease_due[CARO_VMS_MAX]; /* By the gate. */
    CaroTime next_lease;
};

CaroUpstreamPaths *
CaroUpstreamPaths_Create(const CaroUpstreamPathsDeps *deps)
{
    CaroUpstreamPaths *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        return NULL;
    }
    p->deps = *deps;
    p->links = CaroUpstreamLinks_Create(deps->rng);
    if (p->links == NULL) {
        free(p);
        return NULL;
    }
    return p;
}

void
CaroUpstreamPaths_Destroy(CaroUpstreamPaths *p)
{
    if (p == NULL) {
        return;
    }
    for (int i = 0; i < PROBES_MAX; i++) {
        CaroChannel_Destroy(p->probes[i]);
    }
    CaroUpstreamLinks_Destroy(p->links);
    free(p->tunnels);
    free(p);
}

/* Returns the number of a new tunnel through the gate, or 0 without memory. */
static uint32_t
add_tunnel(CaroUpstreamPaths *p, CaroHandle gate)
{
    int i = 0;
    while (i < p->tunnels_capacity && p->tunnels[i].number != 0) {
        i++;
    }
    if (i == p->tunnels_capacity) {
        int capacity = i == 0 ? 16 : 2 * i;
        Tunnel *all = realloc(p->tunnels, (size_t)capacity * sizeof(*all));
        if (all == NULL) {
            return 0;
        }
        memset(&all[i], 0, (size_t)(capacity - i) * sizeof(*all));
        p->tunnels = all;
        p->tunnels_capacity = capacity;
    }
    p->last_tunnel += p->last_tunnel == UINT32_MAX ? 2 : 1;
    p->tunnels[i] = (Tunnel){.number = p->last_tunnel, .gate = gate};
    return p->last_tunnel;
}

/* The gate is told at once, as the close of the connection may get lost. */
static void
on_tunnel_closed(void *context, uint32_t number)
{
    CaroUpstreamPaths *p = context;
    for (int i = 0; i < p->tunnels_capacity; i++) {
        if (p->tunnels[i].number == number) {
            p->tunnels[i].number = 0;
            p->is_lease_due[p->tunnels[i].gate] = true;
            return;
        }
    }
}

bool
CaroUpstreamPaths_CollectLease(CaroUpstreamPaths *p, CaroTunnelLease *out,
                               CaroTime now)
{
    if (p == NULL) {
        return false;
    }
    if (now >= p->next_lease) {
        p->next_lease = now + LEASE_INTERVAL;
        for (int i = 0; i < p->tunnels_capacity; i++) {
            if (p->tunnels[i].number != 0) {
                p->is_lease_due[p->tunnels[i].gate] = true;
            }
        }
    }
    CaroHandle gate = 0;
    while (gate < CARO_VMS_MAX && !p->is_lease_due[gate]) {
        gate++;
    }
    if (gate == CARO_VMS_MAX) {
        return false;
    }
    p->is_lease_due[gate] = false;
    out->gate = gate;
    out->lease = (caro_tunnel_lease){.sender_boot_id = p->deps.boot_id};
    out->lease.tunnels.tunnels_val = out->tunnels;
    for (int i = 0; i < p->tunnels_capacity; i++) {
        u_int *n = &out->lease.tunnels.tunnels_len;
        if (p->tunnels[i].number == 0 || p->tunnels[i].gate != gate) {
            continue;
        }
        if (*n == CARO_TUNNELS_MAX) {
            out->lease.is_partial = true;
            break;
        }
        out->tunnels[(*n)++] = p->tunnels[i].number;
    }
    return true;
}

static void
log_state(CaroUpstreamPaths *p)
{
    CaroLinksState state = CaroUpstreamLinks_State(p->links);
    p->has_changed = true;
    CaroCounters_Add(p->deps.counters, CARO_COUNT_LINKS_CHANGES, 1);
    CaroLog_Warn("links", "%s state=%s",
                 state == CARO_LINKS_DIRECT
                     ? "The upstreams are reached directly again."
                 : state == CARO_LINKS_TUNNELED
                     ? "The upstreams are not reached directly; channels go "
                       "through other VMs."
                     : "No VM reaches the upstreams for this one.",
                 CaroLinksState_Name(state));
}

static bool
on_direct_outcome(void *context, CaroHandle upstream, CaroHandle vm,
                  CaroConnectOutcome outcome)
{
    CaroUpstreamPaths *p = context;
    CaroTime now = CaroClock_Now();
    bool is_connected = outcome == CARO_CONNECT_DONE;
    (void)vm;
    p->heard_at = is_connected ? now : p->heard_at;
    if (CaroUpstreamLinks_RecordDirect(p->links, upstream, is_connected,
                                       now)) {
        log_state(p);
    }
    return true;
}

static bool
on_probe_outcome(void *context, CaroHandle upstream, CaroHandle vm,
                 CaroConnectOutcome outcome)
{
    CaroUpstreamPaths *p = context;
    CaroTime now = CaroClock_Now();
    bool is_connected = outcome == CARO_CONNECT_DONE;
    (void)vm;
    p->heard_at = is_connected ? now : p->heard_at;
    if (CaroUpstreamLinks_RecordProbe(p->links, upstream, is_connected, now)) {
        log_state(p);
    }
    return true;
}

static CaroGateOutcome
gate_outcome(CaroConnectOutcome outcome)
{
    switch (outcome) {
    case CARO_CONNECT_DONE:
        return CARO_GATE_CONNECTED;
    case CARO_CONNECT_TIMED_OUT:
    case CARO_CONNECT_REFUSED:
        return CARO_GATE_FAILED;
    case CARO_CONNECT_GATE_UNABLE:
        return CARO_GATE_UNABLE;
    case CARO_CONNECT_GATE_LOST:
        break;
    }
    return CARO_GATE_LOST;
}

static bool
on_tunnel_outcome(void *context, CaroHandle upstream, CaroHandle vm,
                  CaroConnectOutcome outcome)
{
    CaroUpstreamPaths *p = context;
    (void)upstream;
    bool is_credible = CaroUpstreamLinks_IsCredible(p->links, vm);
    CaroGateOutcome gate = gate_outcome(outcome);
    if (gate != CARO_GATE_CONNECTED && !is_credible) {
        CaroCounters_Add(p->deps.counters, CARO_COUNT_GATES_FAILED, 1);
    }
    if (CaroUpstreamLinks_RecordGate(p->links, vm, gate, CaroClock_Now())) {
        log_state(p);
    }
    return is_credible;
}

static CaroChannel *
open_direct(CaroUpstreamPaths *p, CaroHandle upstream, const char *address,
            CaroTime connect_timeout)
{
    CaroChannelPath path = {.on_outcome = on_direct_outcome,
                            .context = p,
                            .upstream = upstream,
                            .vm = CARO_NO_HANDLE};
    return CaroChannel_OpenPath(p->deps.base, address, connect_timeout, &path);
}

/* Begins a connection that only shows whether it succeeds. */
static void
open_probe(CaroUpstreamPaths *p, CaroHandle upstream, CaroTime now)
{
    CaroChannelPath path = {.on_outcome = on_probe_outcome,
                            .context = p,
                            .upstream = upstream,
                            .vm = CARO_NO_HANDLE};
    int place = 0;
    while (place < PROBES_MAX && p->probes[place] != NULL) {
        place++;
    }
    if (place < PROBES_MAX) {
        CaroCounters_Add(p->deps.counters, CARO_COUNT_LINK_PROBES, 1);
        p->probed_at[place] = now;
        p->probes[place] = CaroChannel_OpenPath(
            p->deps.base,
            CaroTargets_GetConst(p->deps.targets, upstream)->entry.address,
            PROBE_TIMEOUT, &path);
    }
}

/* Writes the first record of a tunnel.  Returns its bytes, 0 on failure. */
static size_t
write_hello(const CaroUpstreamPaths *p, const CaroVm *gate,
            CaroHandle upstream, const char *address, uint32_t tunnel,
            char out[CARO_TUNNEL_HELLO_MAX])
{
    XDR xdr;
    caro_tunnel_hello hello = {
        .sender = (char *)p->deps.vm,
        .sender_boot_id = p->deps.boot_id,
        .gate_boot_id = gate->boot_id,
        .upstream =
            CaroTargets_GetConst(p->deps.targets, upstream)->start_hash,
        .address = (char *)address};
    uint32_t size;
    xdrmem_create(&xdr, out + sizeof(size),
                  CARO_TUNNEL_HELLO_MAX - sizeof(size), XDR_ENCODE);
    u_int number = tunnel;
    if (!xdr_caro_tunnel_hello(&xdr, &hello) || !xdr_u_int(&xdr, &number)) {
        return 0;
    }
    size = htonl(xdr_getpos(&xdr));
    memcpy(out, &size, sizeof(size));
    return sizeof(size) + xdr_getpos(&xdr);
}

static CaroChannel *
open_tunnel(CaroUpstreamPaths *p, CaroHandle upstream, const char *address,
            CaroTime connect_timeout, CaroTime now)
{
    char hello[CARO_TUNNEL_HELLO_MAX];
    char host[CARO_ADDRESS_SIZE];
    char at[CARO_ADDRESS_SIZE];
    uint16_t port;
    CaroLinksState before = CaroUpstreamLinks_State(p->links);
    CaroHandle vm =
        CaroUpstreamLinks_ChooseGate(p->links, p->deps.membership, now);
    if (CaroUpstreamLinks_State(p->links) != before) {
        log_state(p);
    }
    if (vm == CARO_NO_HANDLE) {
        return CaroUpstreamLinks_IsDirectPossible(p->links, now)
                   ? open_direct(p, upstream, address, connect_timeout)
                   : NULL;
    }
    const CaroVm *gate = CaroMembership_Get(p->deps.membership, vm);
    uint32_t tunnel = add_tunnel(p, vm);
    size_t size = tunnel == 0
                      ? 0
                      : write_hello(p, gate, upstream, address, tunnel, hello);
    if (size == 0 || CaroHttp_SplitAddress(gate->peer, host, &port) < 0) {
        on_tunnel_closed(p, tunnel);
        return NULL;
    }
    (void)snprintf(at, sizeof(at), "%.30s:%d", host,
                   (int)port + p->deps.port_offset);
    CaroChannelPath path = {.gate = at,
                            .hello = hello,
                            .hello_size = size,
                            .on_outcome = on_tunnel_outcome,
                            .on_closed = on_tunnel_closed,
                            .context = p,
                            .upstream = upstream,
                            .vm = vm,
                            .tunnel = tunnel};
    CaroCounters_Add(p->deps.counters, CARO_COUNT_TUNNELS_OPENED, 1);
    CaroChannel *channel = CaroChannel_OpenPath(
        p->deps.base, address, connect_timeout + GATE_MARGIN, &path);
    if (channel == NULL) {
        on_tunnel_closed(p, tunnel);
    }
    return channel;
}

void
CaroUpstreamPaths_RecordDirect(CaroUpstreamPaths *p, CaroHandle upstream,
                               bool is_connected)
{
    (void)on_direct_outcome(p, upstream, CARO_NO_HANDLE,
                            is_connected ? CARO_CONNECT_DONE
                                         : CARO_CONNECT_TIMED_OUT);
}

CaroChannel *
CaroUpstreamPaths_Open(CaroUpstreamPaths *p, CaroHandle upstream,
                       const char *address, CaroTime connect_timeout,
                       CaroTime now)
{
    return CaroUpstreamLinks_State(p->links) == CARO_LINKS_DIRECT
               ? open_direct(p, upstream, address, connect_timeout)
               : open_tunnel(p, upstream, address, connect_timeout, now);
}

void
CaroUpstreamPaths_RecordHeard(CaroUpstreamPaths *p, const CaroChannel *channel,
                              CaroTime now)
{
    if (!CaroChannel_IsTunneled(channel)) {
        p->heard_at = now;
    }
}

/* Chooses an upstream of each service at random.  Returns their number. */
static int
choose_of_each_service(const CaroUpstreamPaths *p, CaroTime now,
                       CaroHandle chosen[SERVICES_MAX])
{
    const CaroTargets *targets = p->deps.targets;
    unsigned long seen[SERVICES_MAX];
    int n = 0;
    for (CaroHandle h = 0; h < CaroTargets_Count(targets); h++) {
        const CaroTarget *t = CaroTargets_GetConst(targets, h);
        int i = 0;
        if (!t->is_used || !CaroTarget_IsOpen(t, now)) {
            continue;
        }
        while (i < n &&
               strcmp(CaroTargets_GetConst(targets, chosen[i])->entry.service,
                      t->entry.service) != 0) {
            i++;
        }
        if (i == n && n < SERVICES_MAX) {
            chosen[n] = h;
            seen[n++] = 0;
        }
        if (i < n && gsl_rng_uniform_int(p->deps.rng, ++seen[i]) == 0) {
            chosen[i] = h;
        }
    }
    return n;
}

/* Tries to connect to an upstream of each service, or of one of them to see
   whether the links are back. */
static void
probe(CaroUpstreamPaths *p, CaroTime now)
{
    CaroHandle chosen[SERVICES_MAX];
    int n = choose_of_each_service(p, now, chosen);
    if (n > 0 && CaroUpstreamLinks_State(p->links) != CARO_LINKS_DIRECT) {
        open_probe(p,
                   chosen[gsl_rng_uniform_int(p->deps.rng, (unsigned long)n)],
                   now);
        return;
    }
    CaroUpstreamLinks_BeginProbes(p->links, n);
    for (int i = 0; i < n; i++) {
        open_probe(p, chosen[i], now);
    }
}

static void
end_probes(CaroUpstreamPaths *p, CaroTime now)
{
    for (int i = 0; i < PROBES_MAX; i++) {
        if (p->probes[i] != NULL &&
            (CaroChannel_IsSent(p->probes[i]) ||
             now - p->probed_at[i] > PROBE_TIMEOUT + GATE_MARGIN)) {
            CaroChannel_Destroy(p->probes[i]);
            p->probes[i] = NULL;
        }
    }
}

bool
CaroUpstreamPaths_Tick(CaroUpstreamPaths *p, int n_waiting, CaroTime now)
{
    if (p == NULL) {
        return false;
    }
    end_probes(p, now);
    if (CaroUpstreamLinks_IsProbeDue(p->links, n_waiting > 0, p->heard_at,
                                     now)) {
        probe(p, now);
    }
    bool has_changed = p->has_changed;
    p->has_changed = false;
    return has_changed;
}

CaroLinksState
CaroUpstreamPaths_State(const CaroUpstreamPaths *p)
{
    return p == NULL ? CARO_LINKS_DIRECT : CaroUpstreamLinks_State(p->links);
}
