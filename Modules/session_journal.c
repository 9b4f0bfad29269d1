/*
 * Replication of journals to backup VMs.
 *
 * A session with journal data that its backup lacks is dirty.  When the first
 * session becomes dirty, a flush is scheduled journal_flush_delay_ms later; it
 * sends the data of all dirty sessions, grouped by backup, one message per
 * backup.  A token is delivered to the caller once the backup has acknowledged
 * it.  When a backup fails, another one is chosen and is sent the whole
 * journal; delivery waits until it acknowledges.  When there is no other VM,
 * tokens are delivered without replication and counted as unprotected.
 */
#include "internal/caro_session.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BATCH_TIMEOUT (250 * CARO_MS)
#define DISTRUST_TTL (3 * CARO_SECOND)

enum { BATCH_SESSIONS_MAX = 512 };

/* A message with the entries of up to BATCH_SESSIONS_MAX sessions, sent to one
   backup and not yet answered. */
typedef struct {
    CaroSessions *sessions;
    CaroHandle backup;
    int n;
    uint64_t ids[BATCH_SESSIONS_MAX];
} PendingBatch;

/* Delivers tokens without replication because there is no backup. */
static void
deliver_unprotected(CaroSession *s, CaroTime now)
{
    uint32_t count = CaroJournal_Count(s->journal);
    if (count > s->backup_acked) {
        CaroCounters_Add(s->sessions->common.counters, CARO_COUNT_UNPROTECTED,
                         count - s->backup_acked);
        s->backup_acked = count;
    }
    s->sessions->events->on_acked(s, now);
}

static void
on_batch_failed(PendingBatch *m, CaroTime now)
{
    CaroSessions *all = m->sessions;
    CaroMembership_Distrust(all->common.membership, m->backup,
                            now + DISTRUST_TTL);
    CaroMembership_ProbeNext(all->common.membership, m->backup);
    for (int i = 0; i < m->n; i++) {
        CaroSession *s = CaroSession_Find(all, m->ids[i]);
        if (s != NULL && s->backup == m->backup) {
            CaroSession_ReplaceBackup(s, now);
        }
    }
}

static void
apply_ack(CaroSession *s, const caro_journal_ack *ack, CaroTime now)
{
    switch (ack->status) {
    case 0:
        if (ack->count > s->backup_acked &&
            ack->count <= CaroJournal_Count(s->journal)) {
            s->backup_acked = ack->count;
        }
        s->sessions->events->on_acked(s, now);
        break;
    case CARO_ERR_FENCED:
        s->sessions->events->on_fenced(s);
        break;
    case CARO_ERR_STATE:
        /* The backup lacks the beginning of the journal, for example after a
           restart; send all of it again. */
        s->backup_sent = 0;
        s->has_sent_request = false;
        CaroSession_MarkDirty(s);
        break;
    default:
        CaroSession_ReplaceBackup(s, now);
        break;
    }
}

static void
on_batch_reply(void *context, int code, const void *result)
{
    PendingBatch *m = context;
    CaroSessions *all = m->sessions;
    CaroTime now = CaroClock_Now();
    const caro_journal_acks *acks = result;
    if (code < 0) {
        on_batch_failed(m, now);
        free(m);
        return;
    }
    for (u_int i = 0; i < acks->acks.acks_len; i++) {
        CaroSession *s = CaroSession_Find(all, acks->acks.acks_val[i].id);
        if (s != NULL && s->backup == m->backup) {
            apply_ack(s, &acks->acks.acks_val[i], now);
        }
    }
    free(m);
}

/* Builds the entry with the part of the journal that was not sent yet.  The
   caller frees e->ends; the rest is borrowed from the journal. */
static void
build_entry(CaroSession *s, caro_journal_entry *e)
{
    size_t size;
    uint32_t count = CaroJournal_Count(s->journal);
    memset(e, 0, sizeof(*e));
    e->id = s->id;
    e->epoch = CaroJournal_Epoch(s->journal);
    e->base = s->backup_sent;
    e->upstream = (char *)CaroJournal_Upstream(s->journal);
    if (!s->has_sent_request) {
        e->request.request_val =
            (char *)CaroJournal_Request(s->journal, &size);
        e->request.request_len = (u_int)size;
        s->has_sent_request = true;
    }
    e->bytes.bytes_val =
        (char *)CaroJournal_Text(s->journal, s->backup_sent, &size);
    e->bytes.bytes_len = (u_int)size;
    e->ends.ends_len = count - s->backup_sent;
    e->ends.ends_val = calloc(e->ends.ends_len + 1, sizeof(u_int));
    if (e->ends.ends_val == NULL) {
        abort(); /* There is no recovery without memory for a message. */
    }
    const uint32_t *ends = CaroJournal_EndOffsets(s->journal);
    uint32_t start = s->backup_sent == 0 ? 0 : ends[s->backup_sent - 1];
    for (uint32_t i = 0; i < e->ends.ends_len; i++) {
        e->ends.ends_val[i] = ends[s->backup_sent + i] - start;
    }
    s->backup_sent = count;
    e->finished = s->is_complete;
}

/* Sends the new journal data of the sessions to their backup, in one
   message. */
static void
send_batch(CaroSessions *all, CaroHandle backup, CaroSession **sessions,
           int count)
{
    caro_journal_entry *entries = calloc((size_t)count, sizeof(*entries));
    PendingBatch *m = calloc(1, sizeof(*m));
    if (entries == NULL || m == NULL) {
        abort(); /* There is no recovery without memory for a message. */
    }
    m->sessions = all;
    m->backup = backup;
    m->n = count;
    caro_journal_batch batch;
    batch.sender = (char *)all->common.settings->vm;
    batch.entries.entries_len = (u_int)count;
    batch.entries.entries_val = entries;
    for (int i = 0; i < count; i++) {
        m->ids[i] = sessions[i]->id;
        build_entry(sessions[i], &entries[i]);
    }
    uint64_t before = CaroRpc_TcpBytes(all->common.rpc);
    CaroRpc_Call(all->common.rpc,
                 CaroMembership_Get(all->common.membership, backup)->peer,
                 CARO_RPC_TCP, CARO_JOURNAL, &batch, BATCH_TIMEOUT,
                 on_batch_reply, m);
    CaroCounters_Add(all->common.counters, CARO_COUNT_JOURNAL_BATCHES, 1);
    CaroCounters_Add(all->common.counters, CARO_COUNT_JOURNAL_BYTES,
                     CaroRpc_TcpBytes(all->common.rpc) - before);
    for (int i = 0; i < count; i++) {
        free(entries[i].ends.ends_val);
    }
    free(entries);
}

/* Removes up to BATCH_SESSIONS_MAX sessions with this backup from the dirty
   list; returns their number. */
static int
pop_dirty(CaroSessions *all, CaroHandle backup, CaroSession **out)
{
    int count = 0;
    CaroSession **link = &all->dirty;
    while (*link != NULL && count < BATCH_SESSIONS_MAX) {
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
    CaroSession *sessions[BATCH_SESSIONS_MAX];
    CaroTime now = CaroClock_Now();
    all->is_flush_pending = false;
    while (all->dirty != NULL) {
        CaroHandle backup = all->dirty->backup;
        int count = pop_dirty(all, backup, sessions);
        if (backup != CARO_NO_HANDLE) {
            send_batch(all, backup, sessions, count);
            continue;
        }
        /* A session may be closed while another one is delivered, so each is
           looked up again by its id. */
        uint64_t ids[BATCH_SESSIONS_MAX];
        for (int i = 0; i < count; i++) {
            ids[i] = sessions[i]->id;
        }
        for (int i = 0; i < count; i++) {
            CaroSession *s = CaroSession_Find(all, ids[i]);
            if (s != NULL) {
                deliver_unprotected(s, now);
            }
        }
    }
}

void
CaroSession_MarkDirty(CaroSession *s)
{
    CaroSessions *all = s->sessions;
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
    CaroSession **link = &s->sessions->dirty;
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
    CaroSessions *all = s->sessions;
    s->backup =
        CaroMembership_ChooseBackup(all->common.membership, s->id, now);
    s->backup_sent = 0;
    s->has_sent_request = false;
    CaroCounters_Add(all->common.counters, CARO_COUNT_BACKUPS_REPLACED, 1);
    CaroSession_MarkDirty(s);
}

/* Applies a journal entry of another VM to the replica kept here.  Returns 0
   or the error of the entry; *count is the number of tokens held. */
static int
apply_entry(CaroSessions *all, const char *owner, const caro_journal_entry *e,
            uint32_t *count, CaroTime now)
{
    CaroJournal *j = CaroJournalTable_Find(all->replicas, e->id);
    if (j == NULL) {
        if (e->request.request_len == 0) {
            return CARO_ERR_STATE;
        }
        j = CaroJournalTable_Open(all->replicas, e->id, e->epoch,
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
        ack->status = apply_entry(all, batch->sender, e, &count, now);
        ack->count = count;
    }
    CaroRpc_Reply(request, &reply);
    free(reply.acks.acks_val);
}

static void
fill_takeover_reply(const CaroJournal *j, caro_takeover_reply *reply)
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

/* Returns the journal of a generation served here, or its replica.  A replica
   is fenced: further entries from the previous owner are refused. */
void
CaroSession_HandOver(CaroSessions *all, uint64_t id,
                     caro_takeover_reply *reply)
{
    CaroJournal *j = CaroJournalTable_Find(all->owned, id);
    if (j == NULL) {
        j = CaroJournalTable_Find(all->replicas, id);
        if (j == NULL) {
            reply->status = CARO_ERR_NOT_FOUND;
            return;
        }
        CaroJournal_Fence(j, CaroJournal_Epoch(j) + 1);
    }
    fill_takeover_reply(j, reply);
}
