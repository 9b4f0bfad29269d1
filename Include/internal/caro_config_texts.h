/*
 * NAME
 *     caro_config_texts - the latest configurations as the operators wrote
 * them
 *
 * Keeps the texts of the last configurations in force, so that another VM can
 * be sent the newest as its difference from the one that it has: a zstd frame
 * whose prefix is the older text (RFC 8878; ZSTD_CCtx_refPrefix).  Frames are
 * kept until the next text is added, as many VMs ask for the same one.
 */
#ifndef CARO_CONFIG_TEXTS_H
#define CARO_CONFIG_TEXTS_H

#include "caro_error.h"
#include "caro_peer.h"
#include "internal/caro_revision.h"

typedef struct CaroConfigTexts CaroConfigTexts;

/* Returns an empty object, or NULL when out of memory.  Destroy accepts
   NULL. */
CaroConfigTexts *CaroConfigTexts_Create(void);
void CaroConfigTexts_Destroy(CaroConfigTexts *t);

/* Adds a copy of the text as the newest.  Returns 0 or CARO_ERR_NOMEM, and
   then changes nothing. */
int CaroConfigTexts_Add(CaroConfigTexts *t, const char *bytes, size_t size,
                        CaroRevision revision);

/* Sets the revision of the newest text, which was written again. */
void CaroConfigTexts_SetRevision(CaroConfigTexts *t, CaroRevision revision);

/* Returns the newest text, terminated and borrowed until the next Add, and its
   size in bytes; NULL for none. */
const char *CaroConfigTexts_Newest(const CaroConfigTexts *t, size_t *size);

/* Fills *out with the newest text for a VM that has the one with the revision
   "base", 0 for none; the bytes are borrowed until the next Add.  Returns 0,
   CARO_ERR_STATE when there is no text, or CARO_ERR_NOMEM. */
int CaroConfigTexts_Pack(CaroConfigTexts *t, CaroRevision base,
                         caro_packed_config *out);

/* Returns the text in *text, to be freed, and its size in *size.  Returns 0,
   CARO_ERR_STATE when the text that the frame is based on is not kept, or
   CARO_ERR_INPUT or CARO_ERR_NOMEM. */
int CaroConfigTexts_Unpack(const CaroConfigTexts *t,
                           const caro_packed_config *packed, char **text,
                           size_t *size);

#endif
