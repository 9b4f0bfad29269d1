/*
 * Journals of generations.
 *
 * Invariants: ends[] is ascending and ends[count - 1] is the length of the
 * text; the epoch never decreases; the bytes of a table are the sum over
 * its journals and exceed the limit by no more than one token.
 */
#include "internal/caro_journal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

struct CaroJournal {
    uint64_t id;
    uint32_t epoch;
    char owner[CARO_NAME_SIZE]; /* VM that appends to a replica, or empty. */
    char upstream[CARO_NAME_SIZE];
    uint32_t count;
    uint32_t ends_capacity;
    uint32_t *ends;
    char *text;
    size_t text_capacity;
    char *request;
    size_t request_size;
    bool is_finished;
    CaroTime last_used_at;
    CaroJournalTable *table;
    UT_hash_handle hh;
};

struct CaroJournalTable {
    CaroJournal *journals;
    size_t bytes;
    size_t bytes_max;
};

static size_t
text_size(const CaroJournal *j)
{
    return j->count == 0 ? 0 : j->ends[j->count - 1];
}

static void
journal_free(CaroJournal *j)
{
    free(j->ends);
    free(j->text);
    free(j->request);
    free(j);
}

/* Grows the buffers by doubling and adds the difference to the table's
   bytes. */
static int
reserve(CaroJournal *j, size_t text_needed, uint32_t ends_needed)
{
    enum { TEXT_BYTES_MIN = 256, ENDS_MIN = 32 };
    CaroJournalTable *t = j->table;
    if (text_needed > j->text_capacity) {
        size_t n = j->text_capacity == 0 ? TEXT_BYTES_MIN : j->text_capacity;
        while (n < text_needed) {
            n *= 2;
        }
        if (t->bytes + n - j->text_capacity > t->bytes_max) {
            return CARO_ERR_FULL;
        }
        char *p = realloc(j->text, n);
        if (p == NULL) {
            return CARO_ERR_NOMEM;
        }
        j->text = p;
        t->bytes += n - j->text_capacity;
        j->text_capacity = n;
    }
    if (ends_needed > j->ends_capacity) {
        uint32_t n = j->ends_capacity == 0 ? ENDS_MIN : j->ends_capacity;
        while (n < ends_needed) {
            n *= 2;
        }
        uint32_t *p = realloc(j->ends, n * sizeof(*p));
        if (p == NULL) {
            return CARO_ERR_NOMEM;
        }
        j->ends = p;
        t->bytes += (n - j->ends_capacity) * sizeof(*p);
        j->ends_capacity = n;
    }
    return 0;
}

static size_t
journal_bytes(const CaroJournal *j)
{
    return sizeof(*j) + j->request_size + j->text_capacity +
           j->ends_capacity * sizeof(*j->ends);
}

CaroJournalTable *
CaroJournalTable_Create(size_t bytes_max)
{
    CaroJournalTable *t = calloc(1, sizeof(*t));
    if (t != NULL) {
        t->bytes_max = bytes_max;
    }
    return t;
}

void
CaroJournalTable_Destroy(CaroJournalTable *table)
{
    if (table == NULL) {
        return;
    }
    CaroJournal *j;
    CaroJournal *next;
    HASH_ITER(hh, table->journals, j, next)
    {
        HASH_DEL(table->journals, j);
        journal_free(j);
    }
    free(table);
}

CaroJournal *
CaroJournalTable_Open(CaroJournalTable *table, uint64_t id, uint32_t epoch,
                      const char *request, size_t size, CaroTime now)
{
    if (CaroJournalTable_Find(table, id) != NULL ||
        table->bytes + sizeof(CaroJournal) + size > table->bytes_max) {
        return NULL;
    }
    CaroJournal *j = calloc(1, sizeof(*j));
    if (j == NULL) {
        return NULL;
    }
    j->request = malloc(size + 1);
    if (j->request == NULL) {
        free(j);
        return NULL;
    }
    memcpy(j->request, request, size);
    j->request[size] = '\0';
    j->request_size = size;
    j->id = id;
    j->epoch = epoch;
    j->last_used_at = now;
    j->table = table;
    HASH_ADD(hh, table->journals, id, sizeof(j->id), j);
    table->bytes += journal_bytes(j);
    return j;
}

CaroJournal *
CaroJournalTable_Find(const CaroJournalTable *table, uint64_t id)
{
    CaroJournal *j;
    HASH_FIND(hh, table->journals, &id, sizeof(id), j);
    return j;
}

void
CaroJournalTable_Remove(CaroJournalTable *table, uint64_t id)
{
    CaroJournal *j = CaroJournalTable_Find(table, id);
    if (j == NULL) {
        return;
    }
    HASH_DEL(table->journals, j);
    assert(table->bytes >= journal_bytes(j));
    table->bytes -= journal_bytes(j);
    journal_free(j);
}

int
CaroJournalTable_Expire(CaroJournalTable *table, CaroTime finished_before,
                        CaroTime all_before)
{
    CaroJournal *j;
    CaroJournal *next;
    int n = 0;
    HASH_ITER(hh, table->journals, j, next)
    {
        CaroTime before = j->is_finished ? finished_before : all_before;
        if (j->last_used_at < before) {
            CaroJournalTable_Remove(table, j->id);
            n++;
        }
    }
    return n;
}

size_t
CaroJournalTable_Bytes(const CaroJournalTable *table)
{
    return table->bytes;
}

size_t
CaroJournalTable_Count(const CaroJournalTable *table)
{
    return HASH_COUNT(table->journals);
}

int
CaroJournal_Append(CaroJournal *j, const char *text, size_t size, CaroTime now)
{
    size_t start = text_size(j);
    int rc = reserve(j, start + size, j->count + 1);
    if (rc < 0) {
        return rc;
    }
    memcpy(j->text + start, text, size);
    j->ends[j->count] = (uint32_t)(start + size);
    j->count++;
    j->last_used_at = now;
    return 0;
}

int
CaroJournal_Merge(CaroJournal *j, const char *owner, uint32_t epoch,
                  uint32_t base, const char *text, size_t size,
                  const uint32_t *ends, uint32_t n, CaroTime now)
{
    bool is_other_owner = j->owner[0] != '\0' && strcmp(j->owner, owner) != 0;
    if (epoch < j->epoch || (epoch == j->epoch && is_other_owner)) {
        return CARO_ERR_FENCED;
    }
    if (base > j->count) {
        return CARO_ERR_STATE;
    }
    uint32_t start = 0;
    for (uint32_t i = 0; i < n; i++) {
        if (ends[i] < start || ends[i] > size) {
            return CARO_ERR_INPUT;
        }
        if (base + i >= j->count) {
            int rc = CaroJournal_Append(j, text + start, ends[i] - start, now);
            if (rc < 0) {
                return rc;
            }
        }
        start = ends[i];
    }
    j->epoch = epoch;
    j->last_used_at = now;
    CARO_COPY(j->owner, owner);
    return 0;
}

uint32_t
CaroJournal_Count(const CaroJournal *j)
{
    return j->count;
}

const char *
CaroJournal_Text(const CaroJournal *j, uint32_t first, size_t *size)
{
    assert(first <= j->count);
    size_t start = first == 0 ? 0 : j->ends[first - 1];
    *size = text_size(j) - start;
    return j->text == NULL ? "" : j->text + start;
}

const char *
CaroJournal_Token(const CaroJournal *j, uint32_t index, size_t *size)
{
    assert(index < j->count);
    size_t start = index == 0 ? 0 : j->ends[index - 1];
    *size = j->ends[index] - start;
    return j->text + start;
}

const char *
CaroJournal_Request(const CaroJournal *j, size_t *size)
{
    *size = j->request_size;
    return j->request;
}

const uint32_t *
CaroJournal_EndOffsets(const CaroJournal *j)
{
    return j->ends;
}

uint64_t
CaroJournal_Id(const CaroJournal *j)
{
    return j->id;
}

uint32_t
CaroJournal_Epoch(const CaroJournal *j)
{
    return j->epoch;
}

void
CaroJournal_Fence(CaroJournal *j, uint32_t epoch)
{
    assert(epoch >= j->epoch);
    j->epoch = epoch;
    j->owner[0] = '\0';
}

void
CaroJournal_SetUpstream(CaroJournal *j, const char *name)
{
    CARO_COPY(j->upstream, name);
}

const char *
CaroJournal_Upstream(const CaroJournal *j)
{
    return j->upstream;
}

void
CaroJournal_Touch(CaroJournal *j, CaroTime now)
{
    j->last_used_at = now;
}

void
CaroJournal_Finish(CaroJournal *j)
{
    j->is_finished = true;
}

bool
CaroJournal_IsFinished(const CaroJournal *j)
{
    return j->is_finished;
}
