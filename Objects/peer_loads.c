/* Load that other VMs put on the targets. */
#include "internal/caro_peer_loads.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* A VM with streams sends a report every 1.5 s; three may be lost. */
#define LOAD_REPORT_TTL (5 * CARO_SECOND)
/* Reports repeat a failure while other VMs may still wait at the target. */
#define FAILURE_REPORT_TTL (500 * CARO_MS)

/* An announcement is reported for so long, since each report may be lost and
   reaches a part of a large fleet only. */
#define LEAVING_REPORT_TTL (4 * CARO_SECOND)

enum {
    /* Longest idle time in a report, an hour.  It is also reported for a
       target that has sent nothing yet. */
    IDLE_MS_MAX = 3600000,
    /* Announcements in one report. */
    LEAVING_MAX = 16,
    /* Bounds of a number in a report, and of a sum over reports. */
    REPORTED_MAX = 1 << 24,
    SUM_MAX = 1 << 28
};

/* Load of a peer at one target. */
typedef struct {
    CaroHandle target;
    uint32_t start_hash; /* Detects that the slot holds another by now. */
    int streams;
    int prefill_tokens;
    int kv_copies;
} PeerLoad;

/* The last report of a peer. */
typedef struct Sender {
    char name[CARO_NAME_SIZE];
    uint64_t boot_id;
    uint32_t sequence;
    CaroTime received_at;
    PeerLoad loads[CARO_LOADS_MAX];
    int n;
    UT_hash_handle hh;
} Sender;

struct CaroPeerLoads {
    CaroTargets *targets;
    Sender *senders;
};

CaroPeerLoads *
CaroPeerLoads_Create(CaroTargets *targets)
{
    CaroPeerLoads *b = calloc(1, sizeof(*b));
    if (b != NULL) {
        b->targets = targets;
    }
    return b;
}

void
CaroPeerLoads_Destroy(CaroPeerLoads *b)
{
    Sender *s;
    Sender *next;
    if (b == NULL) {
        return;
    }
    HASH_ITER(hh, b->senders, s, next)
    {
        HASH_DEL(b->senders, s);
        free(s);
    }
    free(b);
}

/* Adds a number to a sum and returns what was added, which is less at the
   bound. */
static int
add(int *sum, int number)
{
    int added = number < SUM_MAX - *sum ? number : SUM_MAX - *sum;
    *sum += added;
    return added;
}

static void
add_load(CaroPeerLoads *b, Sender *s, PeerLoad load)
{
    CaroTarget *target = CaroTargets_Get(b->targets, load.target);
    load.start_hash = target->start_hash;
    load.streams = add(&target->peer_streams, load.streams);
    load.prefill_tokens =
        add(&target->peer_prefill_tokens, load.prefill_tokens);
    load.kv_copies = add(&target->peer_kv_copies, load.kv_copies);
    s->loads[s->n++] = load;
}

/* Subtracts the loads of a sender.  A slot that now holds another instance, or
   the same one after a restart, has none of the streams of its predecessor. */
static void
subtract_loads(CaroPeerLoads *b, Sender *s)
{
    for (int i = 0; i < s->n; i++) {
        const PeerLoad *e = &s->loads[i];
        CaroTarget *target = CaroTargets_Get(b->targets, e->target);
        if (target->is_used && target->start_hash == e->start_hash) {
            target->peer_streams -= e->streams;
            target->peer_prefill_tokens -= e->prefill_tokens;
            target->peer_kv_copies -= e->kv_copies;
        }
    }
    s->n = 0;
}

static Sender *
get_or_create_sender(CaroPeerLoads *b, const char *name)
{
    Sender *s;
    HASH_FIND(hh, b->senders, name, strlen(name), s);
    if (s == NULL && (s = calloc(1, sizeof(*s))) != NULL) {
        CARO_COPY(s->name, name);
        HASH_ADD_KEYPTR(hh, b->senders, s->name, strlen(s->name), s);
    }
    return s;
}

static CaroTargetFailure
failure_from_peer(caro_target_failure failure)
{
    switch (failure) {
    case CARO_FAILURE_GONE:
        return CARO_TARGET_GONE;
    case CARO_FAILURE_SILENT:
        return CARO_TARGET_SILENT;
    case CARO_FAILURE_FAILING:
        return CARO_TARGET_FAILING;
    default:
        return CARO_TARGET_NO_FAILURE;
    }
}

static caro_target_failure
failure_to_report(const CaroTarget *t, CaroTime now)
{
    if (t->own_failure_at == 0 ||
        now - t->own_failure_at >= FAILURE_REPORT_TTL) {
        return CARO_FAILURE_NONE;
    }
    switch (t->own_failure) {
    case CARO_TARGET_GONE:
        return CARO_FAILURE_GONE;
    case CARO_TARGET_SILENT:
        return CARO_FAILURE_SILENT;
    case CARO_TARGET_FAILING:
        return CARO_FAILURE_FAILING;
    default:
        return CARO_FAILURE_NONE;
    }
}

static int
bounded(u_int number)
{
    return number < REPORTED_MAX ? (int)number : REPORTED_MAX;
}

void
CaroPeerLoads_Apply(CaroPeerLoads *b, const caro_load_report *report,
                    CaroTargetFailures *failures, CaroTime now)
{
    failures->n = 0;
    failures->n_leaving = 0;
    Sender *s = get_or_create_sender(b, report->sender);
    if (s == NULL ||
        (s->boot_id == report->boot_id && report->sequence <= s->sequence)) {
        return;
    }
    s->boot_id = report->boot_id;
    s->sequence = report->sequence;
    s->received_at = now;
    subtract_loads(b, s);
    for (u_int i = 0; i < report->loads.loads_len; i++) {
        const caro_target_load *load = &report->loads.loads_val[i];
        if (load->failure == CARO_FAILURE_LEAVING) {
            CaroHandle left =
                CaroTargets_RecordLeavingByPeer(b->targets, load->target, now);
            if (left != CARO_NO_HANDLE) {
                failures->leaving[failures->n_leaving++] = left;
            }
            continue;
        }
        CaroHandle h = CaroTargets_FindByHash(b->targets, load->target);
        if (h == CARO_NO_HANDLE) {
            continue;
        }
        add_load(b, s,
                 (PeerLoad){.target = h,
                            .streams = bounded(load->streams),
                            .prefill_tokens = bounded(load->prefill_tokens),
                            .kv_copies = bounded(load->kv_copies)});
        CaroTargets_Get(b->targets, h)->peer_loaded_at = now;
        CaroTargets_RecordHeard(b->targets, h, now - load->idle_ms * CARO_MS);
        if (load->failure != CARO_FAILURE_NONE) {
            failures->all[failures->n].target = h;
            failures->all[failures->n].failure =
                failure_from_peer(load->failure);
            failures->n++;
        }
    }
}

void
CaroPeerLoads_Tick(CaroPeerLoads *b, CaroTime now)
{
    Sender *s;
    Sender *next;
    HASH_ITER(hh, b->senders, s, next)
    {
        if (now - s->received_at >= LOAD_REPORT_TTL) {
            subtract_loads(b, s);
            HASH_DEL(b->senders, s);
            free(s);
        }
    }
}

static u_int
idle_ms(const CaroTarget *t, CaroTime now)
{
    CaroTime ms = (now - t->last_heard_at) / CARO_MS;
    return ms < IDLE_MS_MAX ? (u_int)ms : IDLE_MS_MAX;
}

/* Collects what this VM read of targets that leave. */
static int
collect_leaving(const CaroTargets *targets, const CaroHandle *recent,
                int n_recent, caro_target_load loads[CARO_LOADS_MAX],
                CaroTime now)
{
    int n = 0;
    for (int i = 0; i < n_recent && n < LEAVING_MAX; i++) {
        const CaroTarget *t = CaroTargets_GetConst(targets, recent[i]);
        if (t->is_used && t->notice.leaving == CARO_LEAVING_BY_SELF &&
            now - t->notice.leaving_at < LEAVING_REPORT_TTL) {
            loads[n++] = (caro_target_load){.target = t->start_hash,
                                            .failure = CARO_FAILURE_LEAVING};
        }
    }
    return n;
}

int
CaroPeerLoads_Collect(CaroTargets *targets,
                      caro_target_load loads[CARO_LOADS_MAX], CaroTime now)
{
    int n_recent;
    const CaroHandle *recent = CaroTargets_Recent(targets, now, &n_recent);
    int n = collect_leaving(targets, recent, n_recent, loads, now);
    for (int i = 0; i < n_recent && n < CARO_LOADS_MAX; i++) {
        const CaroTarget *t = CaroTargets_GetConst(targets, recent[i]);
        caro_target_failure failure = failure_to_report(t, now);
        if (t->is_used && t->is_present &&
            (t->streams > 0 || t->kv_copies > 0 ||
             failure != CARO_FAILURE_NONE)) {
            loads[n++] =
                (caro_target_load){.idle_ms = idle_ms(t, now),
                                   .target = t->id_hash,
                                   .streams = (u_int)t->streams,
                                   .prefill_tokens = (u_int)t->prefill_tokens,
                                   .kv_copies = (u_int)t->kv_copies,
                                   .failure = failure};
        }
    }
    return n;
}
