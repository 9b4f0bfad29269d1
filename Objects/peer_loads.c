/* Streams of other VMs at the upstreams. */
#include "internal/caro_peer_loads.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* A VM with streams repeats itself each 1.5 s; three are missed. */
#define NEWS_LIFE (5 * CARO_SECOND)
/* A failure is told for as long as others may still wait there. */
#define FAILURE_NEWS (500 * CARO_MS)

/* Told of an upstream that was never heard; an hour says as much. */
enum { QUIET_MOST = 3600000 };

typedef struct {
    CaroHandle target;
    uint32_t id_hash; /* The slot may hold another upstream by now. */
    int running;
    int reading;
    int copies;
} Entry;

typedef struct Sender {
    char name[CARO_NAME_SIZE];
    uint64_t boot_id;
    uint32_t number;
    CaroTime heard;
    Entry entries[CARO_LOADS_MAX];
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

/* Makes the sums anew.  A slot that now holds another start of an upstream,
   under the same id or not, has none of the old one's streams. */
static void
count_all(CaroPeerLoads *b)
{
    Sender *s;
    Sender *next;
    for (CaroHandle h = 0; h < CaroTargets_Count(b->targets); h++) {
        CaroTarget *target = CaroTargets_Get(b->targets, h);
        target->peer_streams = 0;
        target->peer_prefill_tokens = 0;
        target->peer_kv_copies = 0;
    }
    HASH_ITER(hh, b->senders, s, next)
    {
        for (int i = 0; i < s->n; i++) {
            const Entry *e = &s->entries[i];
            CaroTarget *target = CaroTargets_Get(b->targets, e->target);
            if (target->is_used && target->id_hash == e->id_hash) {
                target->peer_streams += e->running;
                target->peer_prefill_tokens += e->reading;
                target->peer_kv_copies += e->copies;
            }
        }
    }
}

static CaroHandle
find_target(const CaroPeerLoads *b, uint32_t id_hash)
{
    for (CaroHandle h = 0; h < CaroTargets_Count(b->targets); h++) {
        const CaroTarget *target = CaroTargets_GetConst(b->targets, h);
        if (target->is_used && target->is_present &&
            target->id_hash == id_hash) {
            return h;
        }
    }
    return CARO_NO_HANDLE;
}

static Sender *
find_sender(CaroPeerLoads *b, const char *name)
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
read_alarm(caro_target_failure alarm)
{
    switch (alarm) {
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
write_alarm(const CaroTarget *t, CaroTime now)
{
    if (t->own_failure_at == 0 || now - t->own_failure_at >= FAILURE_NEWS) {
        return CARO_FAILURE_NONE;
    }
    switch (t->alarm) {
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

void
CaroPeerLoads_Apply(CaroPeerLoads *b, const caro_load_report *news,
                    CaroTargetFailures *alarms, CaroTime now)
{
    alarms->n = 0;
    Sender *s = find_sender(b, news->sender);
    if (s == NULL ||
        (s->boot_id == news->boot_id && news->number <= s->number)) {
        return;
    }
    s->boot_id = news->boot_id;
    s->number = news->number;
    s->heard = now;
    s->n = 0;
    for (u_int i = 0; i < news->loads.loads_len; i++) {
        const caro_target_load *load = &news->loads.loads_val[i];
        CaroHandle h = find_target(b, load->target);
        if (h == CARO_NO_HANDLE) {
            continue;
        }
        s->entries[s->n++] = (Entry){.target = h,
                                     .id_hash = load->target,
                                     .running = (int)load->running,
                                     .reading = (int)load->reading,
                                     .copies = (int)load->copies};
        CaroTargets_RecordHeard(b->targets, h, now - load->idle_ms * CARO_MS);
        if (load->alarm != CARO_FAILURE_NONE) {
            alarms->all[alarms->n].target = h;
            alarms->all[alarms->n].alarm = read_alarm(load->alarm);
            alarms->n++;
        }
    }
    count_all(b);
}

void
CaroPeerLoads_Tick(CaroPeerLoads *b, CaroTime now)
{
    Sender *s;
    Sender *next;
    bool is_changed = false;
    HASH_ITER(hh, b->senders, s, next)
    {
        if (now - s->heard >= NEWS_LIFE) {
            HASH_DEL(b->senders, s);
            free(s);
            is_changed = true;
        }
    }
    if (is_changed) {
        count_all(b);
    }
}

static u_int
idle_ms(const CaroTarget *t, CaroTime now)
{
    CaroTime ms = (now - t->last_heard_at) / CARO_MS;
    return ms < QUIET_MOST ? (u_int)ms : QUIET_MOST;
}

int
CaroPeerLoads_Collect(const CaroTargets *targets,
                      caro_target_load loads[CARO_LOADS_MAX], CaroTime now)
{
    int n = 0;
    for (CaroHandle h = 0;
         h < CaroTargets_Count(targets) && n < CARO_LOADS_MAX; h++) {
        const CaroTarget *t = CaroTargets_GetConst(targets, h);
        caro_target_failure alarm = write_alarm(t, now);
        if (t->is_used && t->is_present &&
            (t->streams > 0 || t->copies > 0 || alarm != CARO_FAILURE_NONE)) {
            loads[n++] = (caro_target_load){.idle_ms = idle_ms(t, now),
                                            .target = t->id_hash,
                                            .running = (u_int)t->streams,
                                            .reading = (u_int)t->reading,
                                            .copies = (u_int)t->copies,
                                            .alarm = alarm};
        }
    }
    return n;
}
