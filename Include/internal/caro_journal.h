/*
 * NAME
 *     caro_journal - journals of generations, in tables of bounded size
 *
 * A journal holds the caller's request and all tokens so far, so that
 * another engine or another VM can resume the generation.  A table holds
 * either the journals that a VM owns or the replicas that it keeps as a
 * backup for other VMs.
 */
#ifndef CARO_JOURNAL_H
#define CARO_JOURNAL_H

#include "caro_error.h"
#include "internal/caro_types.h"

typedef struct CaroJournal CaroJournal;
typedef struct CaroJournalTable CaroJournalTable;

/* Creates an empty table limited to bytes_max bytes, or returns NULL. */
CaroJournalTable *CaroJournalTable_Create(size_t bytes_max);

/* Destroys the table and its journals; table may be NULL. */
void CaroJournalTable_Destroy(CaroJournalTable *table);

/*
 * Opens a journal for a request, whose bytes are copied.
 * Returns a borrowed pointer, valid until Remove or Expire, or NULL when
 * the id is already in use, an allocation fails or the table is full.
 */
CaroJournal *CaroJournalTable_Open(CaroJournalTable *table, uint64_t id,
                                   uint32_t epoch, const char *request,
                                   size_t size, CaroTime now);

/* Returns the borrowed journal with the id, or NULL. */
CaroJournal *CaroJournalTable_Find(const CaroJournalTable *table, uint64_t id);

/* Removes one journal; an unknown id is ignored. */
void CaroJournalTable_Remove(CaroJournalTable *table, uint64_t id);

/*
 * Removes finished journals last used before finished_before and others
 * last used before all_before.  Returns the number removed.
 */
int CaroJournalTable_Expire(CaroJournalTable *table, CaroTime finished_before,
                            CaroTime all_before);

/* Return the bytes held by the journals, and the number of journals. */
size_t CaroJournalTable_Bytes(const CaroJournalTable *table);
size_t CaroJournalTable_Count(const CaroJournalTable *table);

/* Appends one token.  Returns 0, CARO_ERR_NOMEM or CARO_ERR_FULL. */
int CaroJournal_Append(CaroJournal *j, const char *text, size_t size,
                       CaroTime now);

/*
 * Merges the tokens base..base+n-1 into the journal and appends those that
 * it lacks; "ends" holds the end offset of each token within text.
 * Idempotent.  Returns 0, CARO_ERR_STATE when tokens before base are
 * missing, CARO_ERR_INPUT when offsets are not ascending or exceed size,
 * CARO_ERR_FENCED for an older epoch or for another owner of the same
 * epoch, or an error of Append.
 */
int CaroJournal_Merge(CaroJournal *j, const char *owner, uint32_t epoch,
                      uint32_t base, const char *text, size_t size,
                      const uint32_t *ends, uint32_t n, CaroTime now);

/* Returns the number of tokens. */
uint32_t CaroJournal_Count(const CaroJournal *j);

/* Returns the borrowed bytes of all tokens from index "first", and their
   length in *size. */
const char *CaroJournal_Text(const CaroJournal *j, uint32_t first,
                             size_t *size);

/* Returns the borrowed bytes of one token, and their length in *size. */
const char *CaroJournal_Token(const CaroJournal *j, uint32_t index,
                              size_t *size);

/* Returns the borrowed bytes of the request, and their length in *size. */
const char *CaroJournal_Request(const CaroJournal *j, size_t *size);

/* Returns the borrowed end offsets of all tokens within the whole text. */
const uint32_t *CaroJournal_EndOffsets(const CaroJournal *j);

/* Return the id of the generation, and the epoch of its owner. */
uint64_t CaroJournal_Id(const CaroJournal *j);
uint32_t CaroJournal_Epoch(const CaroJournal *j);

/* Raises the epoch, so that merges from the previous owner are refused. */
void CaroJournal_Fence(CaroJournal *j, uint32_t epoch);

/* The upstream that last served the generation; initially empty.  Borrowed. */
void CaroJournal_SetUpstream(CaroJournal *j, const char *name);
const char *CaroJournal_Upstream(const CaroJournal *j);

/* Records a use, which postpones the expiry. */
void CaroJournal_Touch(CaroJournal *j, CaroTime now);

/* Marks the generation as complete; no tokens follow. */
void CaroJournal_Finish(CaroJournal *j);
bool CaroJournal_IsFinished(const CaroJournal *j);

#endif
