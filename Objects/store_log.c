/* The recent changes of the store at a VM. */
#include "internal/caro_store_log.h"

#include <stdlib.h>
#include <string.h>

enum {
    CHANGES_MAX = 4096,
    BYTES_MAX = 1 << 20,
    REPLY_BYTES_MAX = 6144,
    /* Encoded bytes of a change without its key and value: two lengths, the
       revision and two flags, and the padding of the key and the value. */
    CHANGE_BYTES = 4 + 4 + 8 + 4 + 4 + 3 + 3,
    READS_MAX = 4
};

typedef struct {
    char *key;
    char *value; /* NULL when the key was deleted or the value is omitted. */
    size_t size;
    CaroRevision revision;
    bool is_deleted;
} Change;

struct CaroStoreLog {
    Change changes[CHANGES_MAX]; /* A ring. */
    int first;
    int n;
    size_t bytes;
    CaroRevision start;    /* The changes are complete after this revision, */
    CaroRevision revision; /* up to this one. */
    /* Reads that reported a later revision, the oldest first. */
    struct {
        CaroRevision revision;
        CaroTime sent_at;
    } reads[READS_MAX];
    int n_reads;
    CaroTime complete_at;
};

CaroStoreLog *
CaroStoreLog_Create(void)
{
    return calloc(1, sizeof(CaroStoreLog));
}

static size_t
encoded_size(size_t key_size, size_t value_size)
{
    return CHANGE_BYTES + key_size + value_size;
}

static size_t
change_size(const Change *c)
{
    return encoded_size(strlen(c->key), c->value == NULL ? 0 : c->size);
}

static const Change *
get_change(const CaroStoreLog *l, int i)
{
    return &l->changes[(l->first + i) % CHANGES_MAX];
}

static void
drop_first(CaroStoreLog *l)
{
    Change *c = &l->changes[l->first];
    l->bytes -= change_size(c);
    l->start = c->revision;
    free(c->key);
    free(c->value);
    l->first = (l->first + 1) % CHANGES_MAX;
    l->n--;
}

void
CaroStoreLog_Destroy(CaroStoreLog *l)
{
    while (l != NULL && l->n > 0) {
        drop_first(l);
    }
    free(l);
}

/* Sets the revision that the log has reached, and evaluates the reads that
   waited for it. */
static void
set_revision(CaroStoreLog *l, CaroRevision revision)
{
    int n = 0;
    l->revision = revision;
    for (int i = 0; i < l->n_reads; i++) {
        if (l->reads[i].revision <= revision) {
            CaroStoreLog_RecordComplete(l, l->reads[i].sent_at);
        }
        else {
            l->reads[n++] = l->reads[i];
        }
    }
    l->n_reads = n;
}

void
CaroStoreLog_Reset(CaroStoreLog *l, CaroRevision revision)
{
    while (l->n > 0) {
        drop_first(l);
    }
    l->start = revision;
    set_revision(l, revision);
}

static bool
are_in_order(const CaroStoreItem *items, int n, CaroRevision revision)
{
    CaroRevision last = 0;
    for (int i = 0; i < n; i++) {
        if (items[i].revision < last || items[i].revision > revision ||
            strlen(items[i].key) > CARO_STORE_KEY_MAX) {
            return false;
        }
        last = items[i].revision;
    }
    return true;
}

/* Copies a change to the end of the log; returns false without memory. */
static bool
append_change(CaroStoreLog *l, const CaroStoreItem *item)
{
    Change c = {.revision = item->revision,
                .is_deleted = item->value == NULL && !item->is_omitted};
    c.key = strdup(item->key);
    bool is_omitted =
        c.is_deleted || item->is_omitted ||
        encoded_size(strlen(item->key), item->size) > REPLY_BYTES_MAX;
    if (!is_omitted) {
        c.size = item->size;
        c.value = malloc(item->size + 1);
    }
    if (c.key == NULL || (!is_omitted && c.value == NULL)) {
        free(c.key);
        free(c.value);
        return false;
    }
    if (!is_omitted) {
        memcpy(c.value, item->value, item->size);
    }
    size_t size = change_size(&c);
    while (l->n == CHANGES_MAX || (l->n > 0 && l->bytes + size > BYTES_MAX)) {
        drop_first(l);
    }
    l->changes[(l->first + l->n) % CHANGES_MAX] = c;
    l->n++;
    l->bytes += size;
    return true;
}

void
CaroStoreLog_Append(CaroStoreLog *l, const CaroStoreItem *items, int n_items,
                    CaroRevision revision)
{
    if (revision <= l->revision) {
        return;
    }
    if (!are_in_order(items, n_items, revision)) {
        CaroStoreLog_Reset(l, revision);
        return;
    }
    for (int i = 0; i < n_items; i++) {
        if (items[i].revision > l->revision && !append_change(l, &items[i])) {
            CaroStoreLog_Reset(l, revision);
            return;
        }
    }
    set_revision(l, revision);
}

CaroRevision
CaroStoreLog_Revision(const CaroStoreLog *l)
{
    return l->revision;
}

CaroRevision
CaroStoreLog_Start(const CaroStoreLog *l)
{
    return l->start;
}

/* Returns the first change after a revision, or the end. */
static int
find_after(const CaroStoreLog *l, CaroRevision after)
{
    int low = 0;
    int high = l->n;
    while (low < high) {
        int middle = (low + high) / 2;
        if (get_change(l, middle)->revision > after) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}

static void
fill_change(const Change *c, caro_store_change *out)
{
    out->key = c->key;
    out->revision = (uint64_t)c->revision;
    out->is_deleted = c->is_deleted;
    out->is_omitted = !c->is_deleted && c->value == NULL;
    out->value.value_val = c->value;
    out->value.value_len = c->value == NULL ? 0 : (u_int)c->size;
}

void
CaroStoreLog_Collect(const CaroStoreLog *l, CaroRevision after,
                     caro_store_change changes[CARO_CHANGES_MAX],
                     caro_store_changes *reply)
{
    size_t bytes = 0;
    int n = 0;
    int n_whole = 0; /* Changes of revisions that fit completely. */
    int at = find_after(l, after);
    reply->changes.changes_val = changes;
    reply->changes.changes_len = 0;
    reply->revision = (uint64_t)l->revision;
    reply->reaches_back = after >= l->start;
    reply->has_more = false;
    if (!reply->reaches_back) {
        return;
    }
    for (; at + n < l->n; n++) {
        const Change *c = get_change(l, at + n);
        bytes += change_size(c);
        if (n > 0 && c->revision > get_change(l, at + n - 1)->revision) {
            n_whole = n;
        }
        if (n == CARO_CHANGES_MAX || bytes > REPLY_BYTES_MAX) {
            reply->has_more = true;
            break;
        }
        fill_change(c, &changes[n]);
    }
    if (!reply->has_more) {
        n_whole = n;
    }
    else if (n_whole == 0) {
        /* The changes of one revision do not fit in a reply. */
        reply->reaches_back = false;
        reply->has_more = false;
    }
    else {
        reply->revision = changes[n_whole - 1].revision;
    }
    reply->changes.changes_len = (u_int)n_whole;
}

void
CaroStoreLog_RecordRead(CaroStoreLog *l, CaroRevision revision,
                        CaroTime sent_at)
{
    if (revision <= l->revision) {
        CaroStoreLog_RecordComplete(l, sent_at);
        return;
    }
    /* The oldest are kept, as the log reaches them first. */
    if (l->n_reads < READS_MAX) {
        l->reads[l->n_reads].revision = revision;
        l->reads[l->n_reads].sent_at = sent_at;
        l->n_reads++;
    }
}

void
CaroStoreLog_RecordComplete(CaroStoreLog *l, CaroTime at)
{
    if (at > l->complete_at) {
        l->complete_at = at;
    }
}

CaroTime
CaroStoreLog_CompleteAt(const CaroStoreLog *l)
{
    return l->complete_at;
}

CaroTime
CaroStoreLog_BehindSince(const CaroStoreLog *l)
{
    return l->n_reads == 0 ? 0 : l->reads[0].sent_at;
}
