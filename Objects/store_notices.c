/* Which upstreams leave, as some VM read in the store. */
#include "internal/caro_store_notices.h"

#include <stdlib.h>
#include <string.h>

/* What is new is sent in this many messages, each to NOTICES_FANOUT VMs: 300
   VMs are reached in five steps. */
enum { MESSAGES_PER_NOTICE = 3, NOTICES_FANOUT = 4 };
#define MESSAGE_INTERVAL (80 * CARO_MS)

typedef struct {
    uint32_t start_hash;
    bool is_gone;
    CaroTime at; /* 0: the entry is free. */
    int n_sent;
} Notice;

struct CaroStoreNotices {
    CaroTargets *targets;
    Notice all[CARO_STORE_NOTICES_MAX]; /* The oldest is replaced. */
    CaroTime next_message;
};

CaroStoreNotices *
CaroStoreNotices_Create(CaroTargets *targets)
{
    CaroStoreNotices *s = calloc(1, sizeof(*s));
    if (s != NULL) {
        s->targets = targets;
    }
    return s;
}

void
CaroStoreNotices_Destroy(CaroStoreNotices *s)
{
    free(s);
}

/* Returns whether the notice was not known. */
static bool
add_notice(CaroStoreNotices *s, uint32_t start_hash, bool is_gone, CaroTime at,
           CaroTime now)
{
    Notice *place = &s->all[0];
    if (now - at >= CARO_STORE_NOTICE_TTL) {
        return false;
    }
    for (int i = 0; i < CARO_STORE_NOTICES_MAX; i++) {
        Notice *n = &s->all[i];
        if (n->at != 0 && n->start_hash == start_hash &&
            n->is_gone == is_gone) {
            return false;
        }
        place = n->at < place->at ? n : place;
    }
    *place = (Notice){.start_hash = start_hash, .is_gone = is_gone, .at = at};
    return true;
}

void
CaroStoreNotices_Record(CaroStoreNotices *s, uint32_t start_hash, bool is_gone,
                        CaroTime now)
{
    (void)add_notice(s, start_hash, is_gone, now, now);
}

/* Tells the table of targets; returns the target if that is new there. */
static CaroHandle
apply_notice(CaroStoreNotices *s, const Notice *n)
{
    if (!n->is_gone) {
        return CaroTargets_RecordLeavingInStore(s->targets, n->start_hash,
                                                n->at);
    }
    CaroHandle h = CaroTargets_FindByStart(s->targets, n->start_hash);
    if (h != CARO_NO_HANDLE) {
        CaroTargets_RecordUnavailable(s->targets, h,
                                      n->at + CARO_STORE_NOTICE_TTL);
    }
    return h;
}

int
CaroStoreNotices_Apply(CaroStoreNotices *s, const caro_store_notices *message,
                       CaroHandle left[CARO_STORE_NOTICES_MAX], CaroTime now)
{
    int count = 0;
    for (u_int i = 0; i < message->notices.notices_len; i++) {
        const caro_store_notice *in = &message->notices.notices_val[i];
        Notice n = {.start_hash = in->start,
                    .is_gone = in->is_gone != 0,
                    .at = now - (CaroTime)in->age_ms * CARO_MS};
        if (add_notice(s, n.start_hash, n.is_gone, n.at, now)) {
            CaroHandle h = apply_notice(s, &n);
            if (h != CARO_NO_HANDLE) {
                left[count++] = h;
            }
        }
    }
    return count;
}

int
CaroStoreNotices_Collect(CaroStoreNotices *s, CaroStoreNoticesMessage *out,
                         CaroTime now)
{
    caro_store_notices *m = &out->message;
    memset(m, 0, sizeof(*m));
    m->notices.notices_val = out->notices;
    if (now < s->next_message) {
        return 0;
    }
    for (int i = 0; i < CARO_STORE_NOTICES_MAX; i++) {
        Notice *n = &s->all[i];
        if (n->at == 0 || now - n->at >= CARO_STORE_NOTICE_TTL) {
            n->at = 0;
            continue;
        }
        if (n->n_sent < MESSAGES_PER_NOTICE) {
            n->n_sent++;
            out->notices[m->notices.notices_len++] = (caro_store_notice){
                .start = n->start_hash,
                .is_gone = n->is_gone,
                .age_ms = now > n->at ? (u_int)((now - n->at) / CARO_MS) : 0};
        }
    }
    if (m->notices.notices_len == 0) {
        return 0;
    }
    s->next_message = now + MESSAGE_INTERVAL;
    return NOTICES_FANOUT;
}
