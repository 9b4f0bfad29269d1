/*
 * NAME
 *     caro_journal - the tokens of a generation, and bounded tables of them
 *
 * A journal holds the caller's request and every token so far, so that
 * the generation can go on at another engine or another VM.  A table
 * holds the journals a VM owns, or the copies it keeps for others.
 */
#ifndef CARO_JOURNAL_H
#define CARO_JOURNAL_H

#include "caro_error.h"
#include "internal/caro_types.h"

typedef struct CaroJournal CaroJournal;
typedef struct CaroJournalTable CaroJournalTable;

/* Creates an empty table that holds at most bytes_max bytes. */
CaroJournalTable *CaroJournalTable_Create(size_t bytes_max);

/* Destroys the table and its journals; table may be NULL. */
void CaroJournalTable_Destroy(CaroJournalTable *table);

/*
 * Opens a journal for a request, whose bytes are copied.
 * Returns a borrowed pointer, valid until Remove or Expire, or NULL when
 * the id stands already, memory is short or the table is full.
 */
CaroJournal *CaroJournalTable_Open(CaroJournalTable *table, uint64_t id,
                                   uint32_t epoch, const char *request,
                                   size_t size, CaroTime now);

/* Returns a borrowed pointer, or NULL. */
CaroJournal *CaroJournalTable_Find(const CaroJournalTable *table, uint64_t id);

/* Removes one journal; an unknown id is allowed. */
void CaroJournalTable_Remove(CaroJournalTable *table, uint64_t id);

/*
 * Removes finished journals untouched since finished_before and all
 * untouched since all_before; returns how many.
 */
int CaroJournalTable_Expire(CaroJournalTable *table, CaroTime finished_before,
                            CaroTime all_before);

size_t CaroJournalTable_Bytes(const CaroJournalTable *table);
size_t CaroJournalTable_Count(const CaroJournalTable *table);

/* Appends one token.  Returns 0, CARO_ERR_NOMEM or CARO_ERR_FULL. */
int CaroJournal_Append(CaroJournal *j, const char *text, size_t size,
                       CaroTime now);

/*
 * Appends the tokens base..base+n-1 as far as they are new; "ends" holds
 * the end offset of each within text.  Idempotent.  Returns 0, or
 * CARO_ERR_STATE when tokens before base are missing, CARO_ERR_INPUT when
 * offsets are not ascending, CARO_ERR_FENCED for an older epoch, or for
 * another owner of the same epoch.
 */
int CaroJournal_Merge(CaroJournal *j, const char *owner, uint32_t epoch,
                      uint32_t base, const char *text, size_t size,
                      const uint32_t *ends, uint32_t n, CaroTime now);

/* Number of tokens held. */
uint32_t CaroJournal_Count(const CaroJournal *j);

/* Borrowed bytes of the tokens from "first" on; *size is their length. */
const char *CaroJournal_Text(const CaroJournal *j, uint32_t first,
                             size_t *size);

/* Borrowed bytes of one token. */
const char *CaroJournal_Token(const CaroJournal *j, uint32_t index,
                              size_t *size);

/* Borrowed bytes of the request. */
const char *CaroJournal_Request(const CaroJournal *j, size_t *size);

/* End offset of each token within the whole text, borrowed. */
const uint32_t *CaroJournal_EndOffsets(const CaroJournal *j);

uint64_t CaroJournal_Id(const CaroJournal *j);
uint32_t CaroJournal_Epoch(const CaroJournal *j);

/* Raises the epoch: appends of the earlier owner are refused from now. */
void CaroJournal_Fence(CaroJournal *j, uint32_t epoch);

/* Upstream that served it last; empty at first.  Borrowed. */
void CaroJournal_SetUpstream(CaroJournal *j, const char *name);
const char *CaroJournal_Upstream(const CaroJournal *j);

/* The journal is in use: it does not expire yet. */
void CaroJournal_Touch(CaroJournal *j, CaroTime now);

/* The generation is complete; no token follows. */
void CaroJournal_Finish(CaroJournal *j);
bool CaroJournal_IsFinished(const CaroJournal *j);

#endif
