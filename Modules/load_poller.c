/*
 * Load reports of upstreams.
 *
 * An engine sends a report with each response.  Only upstreams without a
 * report for POLL_IDLE_MIN are polled, one upstream per second, and failed
 * ones are probed more often, so the cost of polling does not grow with the
 * fleet.
 */
#include "internal/caro_load_poller.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_client.h"

#include <stdlib.h>
#include <string.h>

#define PROBE_INTERVAL (250 * CARO_MS)
#define POLL_INTERVAL (1 * CARO_SECOND)
#define POLL_IDLE_MIN (5 * CARO_SECOND)
#define POLL_TIMEOUT (1500 * CARO_MS)

struct CaroLoadPoller {
    CaroCommon common;
    CaroTime next_poll_at;
    CaroTime next_probe_at;
    CaroTime
        last_report_at[CARO_UPSTREAMS_MAX]; /* Last report or end of a poll. */
    bool is_polling[CARO_UPSTREAMS_MAX];
};

typedef struct {
    CaroLoadPoller *poller;
    CaroHandle upstream;
} Poll;

CaroLoadPoller *
CaroLoadPoller_Create(const CaroCommon *common)
{
    CaroLoadPoller *p = calloc(1, sizeof(*p));
    if (p != NULL) {
        p->common = *common;
    }
    return p;
}

void
CaroLoadPoller_Destroy(CaroLoadPoller *p)
{
    free(p);
}

void
CaroLoadPoller_RecordLoad(CaroLoadPoller *p, CaroHandle h,
                          const CaroEngineLoad *load, CaroTime now)
{
    CaroUpstreams_RecordLoad(p->common.upstreams, h, load->running,
                             load->waiting, load->capacity, now);
    p->last_report_at[h] = now;
}

static void
on_polled(void *context, int code, int status, const char *body, size_t size,
          bool is_sent, const CaroHttpHead *head)
{
    (void)body;
    (void)size;
    (void)is_sent;
    Poll *poll = context;
    CaroLoadPoller *p = poll->poller;
    CaroTime now = CaroClock_Now();
    p->is_polling[poll->upstream] = false;
    p->last_report_at[poll->upstream] = now;
    if (code < 0 || status >= 500) {
        CaroUpstreams_RecordFailure(p->common.upstreams, poll->upstream, now);
    }
    else {
        const char *text = CaroHttpHead_Find(head, "endpoint-load-metrics").at;
        CaroEngineLoad load;
        CaroUpstreams_RecordProbe(p->common.upstreams, poll->upstream);
        if (text != NULL && CaroEngine_ParseLoad(text, &load)) {
            CaroLoadPoller_RecordLoad(p, poll->upstream, &load, now);
        }
    }
    free(poll);
}

static void
poll_upstream(CaroLoadPoller *p, CaroHandle h)
{
    Poll *poll = calloc(1, sizeof(*poll));
    if (poll == NULL) {
        return;
    }
    poll->poller = p;
    poll->upstream = h;
    p->is_polling[h] = true;
    CaroCounters_Add(p->common.counters, CARO_COUNT_LOAD_POLLS, 1);
    CaroHttpCall call = {
        .address = CaroUpstreams_Get(p->common.upstreams, h)->address,
        .path = "/v1/load",
        .method = "GET",
        .timeout = POLL_TIMEOUT};
    CaroHttp_Call(p->common.base, &call, on_polled, poll);
}

/* Returns a failed upstream that is due for a probe, or CARO_NO_HANDLE. */
static CaroHandle
find_probe_due(const CaroLoadPoller *p, CaroTime now)
{
    for (CaroHandle h = 0; h < CaroUpstreams_Count(p->common.upstreams); h++) {
        if (!p->is_polling[h] &&
            CaroUpstreams_NeedsProbe(p->common.upstreams, h, now)) {
            return h;
        }
    }
    return CARO_NO_HANDLE;
}

static CaroHandle
find_longest_idle(const CaroLoadPoller *p, CaroTime now)
{
    CaroHandle best = CARO_NO_HANDLE;
    for (CaroHandle h = 0; h < CaroUpstreams_Count(p->common.upstreams); h++) {
        const CaroUpstream *u = CaroUpstreams_Get(p->common.upstreams, h);
        if (u->is_leaving || p->is_polling[h] ||
            now - p->last_report_at[h] < POLL_IDLE_MIN) {
            continue;
        }
        if (best == CARO_NO_HANDLE ||
            p->last_report_at[h] < p->last_report_at[best]) {
            best = h;
        }
    }
    return best;
}

void
CaroLoadPoller_Tick(CaroLoadPoller *p, CaroTime now)
{
    CaroHandle h = CARO_NO_HANDLE;
    if (now >= p->next_probe_at) {
        p->next_probe_at = now + PROBE_INTERVAL;
        h = find_probe_due(p, now);
    }
    if (h == CARO_NO_HANDLE && now >= p->next_poll_at) {
        p->next_poll_at = now + POLL_INTERVAL;
        h = find_longest_idle(p, now);
    }
    if (h != CARO_NO_HANDLE) {
        poll_upstream(p, h);
    }
}
