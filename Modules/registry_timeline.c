/*
 * Timelines of the store: what a VM forgets, keeps and repeats when the store
 * was restored from an older copy.
 */
#include "internal/caro_registry_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"

/* Time after a restoration of the store in which no read confirms the
   configuration.  The operator writes again what the copy lacks as soon as the
   store is back. */
#define RESTORED_SETTLE_TIME (1 * CARO_SECOND)
/* Registrations are renewed over this time after a restoration: two writes of
   each VM, of 3,200 a second that 295 VMs may make. */
#define RESTORED_REGISTER_JITTER (1 * CARO_SECOND)
/* Lists of VMs that do not read the store, over this time. */
#define RESTORED_LIST_JITTER (500 * CARO_MS)

/* Forgets what holds for the earlier timeline only.  Upstreams and the
   configuration stay as they are until the new timeline shows others. */
static void
begin_timeline(CaroRegistry *r, int64_t timeline, CaroTime now)
{
    bool reads_store = CaroStoreRole_ReadsStore(r->readers.role);
    double jitter = reads_store ? 0.0 : gsl_rng_uniform(r->rng);
    CaroCounters_Add(r->counters, CARO_COUNT_STORE_RESTORATIONS, 1);
    CaroLog_Warn("registry",
                 "The store was restored from an older copy; it is listed "
                 "again. timeline=%lld before=%lld known_revision=%lld "
                 "config_revision=%lld",
                 (long long)timeline, (long long)r->timeline,
                 (long long)CaroRevision_Number(r->watch_revision),
                 (long long)CaroRevision_Number(r->config_revision));
    r->timeline = timeline;
    r->restored_at = CaroClock_BootTime();
    r->settled_at = r->restored_at + RESTORED_SETTLE_TIME;
    r->config_confirmed_at = 0;
    r->logged_config = 0;
    r->watch = NULL;
    r->needs_list = true;
    r->watch_backoff = BACKOFF_MIN;
    r->next_watch = now + (CaroTime)(jitter * (double)RESTORED_LIST_JITTER);
    r->next_config_read = now;
    /* Another VM may hold a lease with the same id now. */
    r->lease = 0;
    r->is_registered = false;
    r->next_register = now + (CaroTime)(gsl_rng_uniform(r->rng) *
                                        (double)RESTORED_REGISTER_JITTER);
    CaroLeaseGrace_RecordRestoration(&r->lease_grace, now);
    if (r->handlers->on_store_restored != NULL) {
        r->handlers->on_store_restored(r->context);
    }
}

bool
CaroRegistry_ObserveTimeline(CaroRegistry *r, int64_t timeline, CaroTime now)
{
    if (r->timeline < 0) {
        r->timeline = timeline;
    }
    else if (timeline > r->timeline) {
        begin_timeline(r, timeline, now);
    }
    return timeline == r->timeline;
}

void
CaroRegistry_OnStoreReturn(CaroRegistry *r)
{
    if (r->restored_at != 0 && r->answered_at < r->settled_at) {
        r->settled_at = CaroClock_BootTime() + RESTORED_SETTLE_TIME;
    }
}

CaroTime
CaroRegistry_SettleDelay(const CaroRegistry *r, CaroTime sent_at)
{
    return sent_at >= r->settled_at ? 0 : r->settled_at - sent_at;
}

int64_t
CaroRegistry_Timeline(const CaroRegistry *r)
{
    return r->timeline;
}
