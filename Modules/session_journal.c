/*
 * Copies of journals at backups.
 *
 * A session with new tokens is dirty.  A few milliseconds after the first
 * one becomes dirty, all dirty sessions are grouped by backup and shipped,
 * one message a backup.  A token is given to the caller when its backup
 * has acknowledged it.  When a backup fails, another is chosen and gets
 * the whole journal; until it answers, the tokens wait.  Without any other
 * VM the tokens go out unprotected and are counted.
 */
#include "internal/caro_session.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHIP_TIMEOUT (250 * CARO_MS)
#define DOUBT_TIME (3 * CARO_SECOND)

enum { SHIP_MAX = 512 /* Sessions in one message. */ };

/* One message on its way. */
typedef struct {
    CaroSessions *all;
    CaroHandle backup;
    int n;
    uint64_t ids[SHIP_MAX];
} Shipment;

static void
unprotect(CaroSession *s, CaroTime now)
{
    uint32_t count = CaroJournal_Count(s->journal);
    if (count > s->acked) {
        CaroCounters_Add(s->all->common.counters, CARO_COUNT_UNPROTECTED,
                         count - s->acked);
        s->acked = count;
    }
    s->all->events->on_acked(s, now);
}

static void
ship_failed(Shipment *m, CaroTime now)
{
    CaroSessions *all = m->all;
    CaroMembership_Distrust(all->common.membership, m->backup,
                            now + DOUBT_TIME);
    CaroMembership_ProbeNext(all->common.membership, m->backup);
    for (int i = 0; i < m->n; i++) {
        CaroSession *s = CaroSession_Find(all, m->ids[i]);
        if (s != NULL && s->backup == m->backup) {
            CaroSession_ReplaceBackup(s, now);
        }
    }
}

static void
take_ack(CaroSession *s, const caro_journal_ack *ack, CaroTime now)
{
    switch (ack->status) {
    case 0:
        if (ack->count > s->acked &&
            ack->count <= CaroJournal_Count(s->journal)) {
            s->acked = ack->count;
        }
        s->all->events->on_acked(s, now);
        break;
    case CARO_ERR_FENCED:
        s->all->events->on_fenced(s);
        break;
    case CARO_ERR_STATE:
        /* The backup started anew; it gets the whole journal again. */
        s->shipped = 0;
        s->is_opened = false;
        CaroSession_MarkDirty(s);
        break;
    default:
        CaroSession_ReplaceBackup(s, now);
        break;
    }
}

static void
on_shipped(void *context, int code, const void *result)
{
    Shipment *m = context;
    CaroSessions *all = m->all;
    CaroTime now = CaroClock_Now();
    const caro_journal_acks *acks = result;
    if (code < 0) {
        ship_failed(m, now);
        free(m);
        return;
    }
    for (u_int i = 0; i < acks->acks.acks_len; i++) {
        CaroSession *s = CaroSession_Find(all, acks->acks.acks_val[i].id);
        if (s != NULL && s->backup == m->backup) {
            take_ack(s, &acks->acks.acks_val[i], now);
        }
    }
    free(m);
}

static void
fill_entry(CaroSession *s, caro_journal_entry *e)
{
    size_t size;
    uint32_t count = CaroJournal_Count(s->journal);
    memset(e, 0, sizeof(*e));
    e->id = s->id;
    e->epoch = CaroJournal_Epoch(s->journal);
    e->base = s->shipped;
    e->upstream = (char *)CaroJournal_Upstream(s->journal);
    if (!s->is_opened) {
        e->request.request_val =
            (char *)CaroJournal_Request(s->journal, &size);
        e->request.request_len = (u_int)size;
        s->is_opened = true;
    }
    e->bytes.bytes_val =
        (char *)CaroJournal_Text(s->journal, s->shipped, &size);
    e->bytes.bytes_len = (u_int)size;
    e->ends.ends_len = count - s->shipped;
    e->ends.ends_val = calloc(e->ends.ends_len + 1, sizeof(u_int));
    if (e->ends.ends_val == NULL) {
        abort(); /* A node without memory for a message cannot go on. */
    }
    const uint32_t *ends = CaroJournal_EndOffsets(s->journal);
    uint32_t start = s->shipped == 0 ? 0 : ends[s->shipped - 1];
    for (uint32_t i = 0; i < e->ends.ends_len; i++) {
        e->ends.ends_val[i] = ends[s->shipped + i] - start;
    }
    s->shipped = count;
    e->finished = s->is_ended;
}

/* Ships up to SHIP_MAX dirty sessions of one backup. */
static void
ship_to(CaroSessions *all, CaroHandle backup, CaroSession **sessions,
        int count)
{
    caro_journal_entry *entries = calloc((size_t)count, sizeof(*entries));
    Shipment *m = calloc(1, sizeof(*m));
    if (entries == NULL || m == NULL) {
        abort(); /* A node without memory for a message cannot go on. */
    }
    m->all = all;
    m->backup = backup;
    m->n = count;
    caro_journal_batch batch;
    batch.sender = (char *)all->common.settings->vm;
    batch.entries.entries_len = (u_int)count;
    batch.entries.entries_val = entries;
    for (int i = 0; i < count; i++) {
        m->ids[i] = sessions[i]->id;
        fill_entry(sessions[i], &entries[i]);
    }
    uint64_t before = CaroRpc_TcpBytes(all->common.rpc);
    CaroRpc_Call(all->common.rpc,
                 CaroMembership_Get(all->common.membership, backup)->peer,
                 CARO_RPC_TCP, CARO_JOURNAL, &batch, SHIP_TIMEOUT, on_shipped,
                 m);
    CaroCounters_Add(all->common.counters, CARO_COUNT_JOURNAL_BATCHES, 1);
    CaroCounters_Add(all->common.counters, CARO_COUNT_JOURNAL_BYTES,
                     CaroRpc_TcpBytes(all->common.rpc) - before);
    for (int i = 0; i < count; i++) {
        free(entries[i].ends.ends_val);
    }
    free(entries);
}

/* Takes the sessions of one backup out of the list of dirty ones. */
static int
take_dirty_of(CaroSessions *all, CaroHandle backup, CaroSession **out)
{
    int count = 0;
    CaroSession **link = &all->dirty;
    while (*link != NULL && count < SHIP_MAX) {
        CaroSession *s = *link;
        if (s->backup != backup) {
            link = &s->next_dirty;
            continue;
        }
        *link = s->next_dirty;
        s->next_dirty = NULL;
        s->is_dirty = false;
        out[count++] = s;
    }
    return count;
}

static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    CaroSessions *all = arg;
    CaroSession *sessions[SHIP_MAX];
    CaroTime now = CaroClock_Now();
    all->is_flush_pending = false;
    while (all->dirty != NULL) {
        CaroHandle backup = all->dirty->backup;
        int count = take_dirty_of(all, backup, sessions);
        if (backup != CARO_NO_HANDLE) {
            ship_to(all, backup, sessions, count);
            continue;
        }
        uint64_t ids[SHIP_MAX];
        for (int i = 0; i < count; i++) {
            ids[i] = sessions[i]->id;
        }
        for (int i = 0; i < count; i++) {
            CaroSession *s = CaroSession_Find(all, ids[i]);
            if (s != NULL) {
                unprotect(s, now);
            }
        }
    }
}

void
CaroSession_MarkDirty(CaroSession *s)
{
    CaroSessions *all = s->all;
    if (!s->is_dirty) {
        s->is_dirty = true;
        s->next_dirty = all->dirty;
        all->dirty = s;
    }
    if (all->is_flush_pending) {
        return;
    }
    if (all->flush_event == NULL) {
        all->flush_event = evtimer_new(all->common.base, on_flush, all);
    }
    struct timeval wait = {
        .tv_usec = all->common.settings->journal_flush_delay_ms * CARO_MS};
    event_add(all->flush_event, &wait);
    all->is_flush_pending = true;
}

void
CaroSession_ClearDirty(CaroSession *s)
{
    CaroSession **link = &s->all->dirty;
    while (*link != NULL && *link != s) {
        link = &(*link)->next_dirty;
    }
    if (*link == s) {
        *link = s->next_dirty;
    }
    s->is_dirty = false;
}

void
CaroSession_ReplaceBackup(CaroSession *s, CaroTime now)
{
    CaroSessions *all = s->all;
    s->backup =
        CaroMembership_ChooseBackup(all->common.membership, s->id, now);
    s->shipped = 0;
    s->is_opened = false;
    CaroCounters_Add(all->common.counters, CARO_COUNT_BACKUPS_REPLACED, 1);
    CaroSession_MarkDirty(s);
}

static int
take_entry(CaroSessions *all, const char *owner, const caro_journal_entry *e,
           uint32_t *count, CaroTime now)
{
    CaroJournal *j = CaroJournalTable_Find(all->copies, e->id);
    if (j == NULL) {
        if (e->request.request_len == 0) {
            return CARO_ERR_STATE;
        }
        j = CaroJournalTable_Open(all->copies, e->id, e->epoch,
                                  e->request.request_val,
                                  e->request.request_len, now);
        if (j == NULL) {
            return CARO_ERR_FULL;
        }
    }
    int rc = CaroJournal_Merge(j, owner, e->epoch, e->base, e->bytes.bytes_val,
                               e->bytes.bytes_len, e->ends.ends_val,
                               e->ends.ends_len, now);
    *count = CaroJournal_Count(j);
    if (rc == 0) {
        CaroJournal_SetUpstream(j, e->upstream);
    }
    if (rc == 0 && e->finished) {
        CaroJournal_Finish(j);
    }
    return rc;
}

void
CaroSessions_OnJournalBatch(CaroSessions *all, CaroRpcRequest *request,
                            const caro_journal_batch *batch, CaroTime now)
{
    u_int n = batch->entries.entries_len;
    caro_journal_acks reply;
    reply.acks.acks_len = n;
    reply.acks.acks_val = calloc(n + 1, sizeof(caro_journal_ack));
    if (reply.acks.acks_val == NULL) {
        CaroRpc_Ignore(request);
        return;
    }
    for (u_int i = 0; i < n; i++) {
        const caro_journal_entry *e = &batch->entries.entries_val[i];
        caro_journal_ack *ack = &reply.acks.acks_val[i];
        uint32_t count = 0;
        ack->id = e->id;
        ack->status = take_entry(all, batch->sender, e, &count, now);
        ack->count = count;
    }
    CaroRpc_Reply(request, &reply);
    free(reply.acks.acks_val);
}

static void
fill_take_reply(const CaroJournal *j, caro_takeover_reply *reply)
{
    size_t size;
    reply->request.request_val = (char *)CaroJournal_Request(j, &size);
    reply->request.request_len = (u_int)size;
    reply->bytes.bytes_val = (char *)CaroJournal_Text(j, 0, &size);
    reply->bytes.bytes_len = (u_int)size;
    reply->ends.ends_val = (u_int *)CaroJournal_EndOffsets(j);
    reply->ends.ends_len = CaroJournal_Count(j);
    reply->finished = CaroJournal_IsFinished(j);
    reply->epoch = CaroJournal_Epoch(j);
    reply->upstream = (char *)CaroJournal_Upstream(j);
}

/* From the owner, or from the backup, which refuses the old owner from now
   on. */
void
CaroSession_HandOver(CaroSessions *all, uint64_t id,
                     caro_takeover_reply *reply)
{
    CaroJournal *j = CaroJournalTable_Find(all->own, id);
    if (j == NULL) {
        j = CaroJournalTable_Find(all->copies, id);
        if (j == NULL) {
            reply->status = CARO_ERR_NOT_FOUND;
            return;
        }
        CaroJournal_Fence(j, CaroJournal_Epoch(j) + 1);
    }
    fill_take_reply(j, reply);
}
