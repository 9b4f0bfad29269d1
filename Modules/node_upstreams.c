/*
 * Load reports of upstreams, and the limits that follow from them.
 *
 * Reports come with each answer of an engine.  Only an upstream that has
 * been silent for a while is polled, one a second, and failed ones are
 * probed more often, so the cost of polling does not grow with the fleet.
 */
#include "internal/caro_limits.h"
#include "internal/caro_node_state.h"

#include <stdlib.h>
#include <string.h>

#define PROBE_INTERVAL (250 * CARO_MS)
#define POLL_INTERVAL (1 * CARO_SECOND)
#define POLL_SILENCE (5 * CARO_SECOND)
#define POLL_TIMEOUT (1500 * CARO_MS)

typedef struct {
    CaroNode *node;
    CaroHandle upstream;
} Poll;

void
CaroNode_HeardLoad(CaroNode *n, CaroHandle h, const CaroEngineLoad *load,
                   CaroTime now)
{
    CaroUpstreams_Report(n->upstreams, h, load->running, load->waiting,
                         load->capacity, now);
    n->heard_upstream[h] = now;
}

static void
on_polled(void *context, int code, int status, const char *body, size_t size,
          bool is_sent, const struct evkeyvalq *headers)
{
    (void)body;
    (void)size;
    (void)is_sent;
    Poll *p = context;
    CaroNode *n = p->node;
    CaroTime now = CaroClock_Now();
    n->is_polling[p->upstream] = false;
    n->heard_upstream[p->upstream] = now;
    if (code < 0 || status >= 500) {
        CaroUpstreams_Failed(n->upstreams, p->upstream, now);
    }
    else {
        const char *text =
            evhttp_find_header(headers, "endpoint-load-metrics");
        CaroEngineLoad load;
        CaroUpstreams_Probed(n->upstreams, p->upstream);
        if (text != NULL && CaroEngine_ParseLoad(text, &load)) {
            CaroNode_HeardLoad(n, p->upstream, &load, now);
        }
    }
    free(p);
}

static void
poll_upstream(CaroNode *n, CaroHandle h)
{
    Poll *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        return;
    }
    p->node = n;
    p->upstream = h;
    n->is_polling[h] = true;
    CaroCounters_Add(&n->counters, CARO_COUNT_LOAD_POLLS, 1);
    CaroHttpCall call = {.address =
                             CaroUpstreams_Get(n->upstreams, h)->address,
                         .path = "/v1/load",
                         .method = EVHTTP_REQ_GET,
                         .timeout = POLL_TIMEOUT};
    CaroHttp_Call(n->base, &call, on_polled, p);
}

/* A failed upstream that may come back, or no handle. */
static CaroHandle
next_to_probe(const CaroNode *n, CaroTime now)
{
    for (CaroHandle h = 0; h < CaroUpstreams_Count(n->upstreams); h++) {
        if (!n->is_polling[h] &&
            CaroUpstreams_NeedsProbe(n->upstreams, h, now)) {
            return h;
        }
    }
    return CARO_NO_HANDLE;
}

static CaroHandle
longest_silent(const CaroNode *n, CaroTime now)
{
    CaroHandle best = CARO_NO_HANDLE;
    for (CaroHandle h = 0; h < CaroUpstreams_Count(n->upstreams); h++) {
        const CaroUpstream *u = CaroUpstreams_Get(n->upstreams, h);
        if (u->is_leaving || n->is_polling[h] ||
            now - n->heard_upstream[h] < POLL_SILENCE) {
            continue;
        }
        if (best == CARO_NO_HANDLE ||
            n->heard_upstream[h] < n->heard_upstream[best]) {
            best = h;
        }
    }
    return best;
}

void
CaroNode_TickUpstreams(CaroNode *n, CaroTime now)
{
    CaroHandle h = CARO_NO_HANDLE;
    if (now >= n->next_probe) {
        n->next_probe = now + PROBE_INTERVAL;
        h = next_to_probe(n, now);
    }
    if (h == CARO_NO_HANDLE && now >= n->next_poll) {
        n->next_poll = now + POLL_INTERVAL;
        h = longest_silent(n, now);
    }
    if (h != CARO_NO_HANDLE) {
        poll_upstream(n, h);
    }
}

void
CaroNode_UpdateLimits(CaroNode *n, CaroTime now)
{
    int vms = CaroMembership_CountUsable(n->membership);
    for (int i = 0; i < n->n_admissions; i++) {
        int running = CaroAdmission_Running(n->admissions[i]);
        CaroAdmission_SetLimit(n->admissions[i],
                               CaroLimits_Of(n->upstreams,
                                             n->admission_names[i], running,
                                             vms < 1 ? 1 : vms, now));
    }
}
