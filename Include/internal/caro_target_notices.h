/*
 * NAME
 *     caro_target_notices - what targets announced in their responses
 *
 * A target announces that it leaves, or that it wants no request of this VM
 * before a time.  A notice belongs to one start of the target: it outlives the
 * registration entry, which may be deleted and listed again, and does not
 * apply to another start under the same id or address.
 */
#ifndef CARO_TARGET_NOTICES_H
#define CARO_TARGET_NOTICES_H

#include "internal/caro_types.h"

/* Who read that a target leaves.  Higher values are the stronger evidence. */
typedef enum {
    CARO_LEAVING_UNKNOWN,
    CARO_LEAVING_BY_PEER,  /* Another VM, which reported it. */
    CARO_LEAVING_IN_STORE, /* Another VM, in the store. */
    CARO_LEAVING_BY_SELF   /* This VM. */
} CaroLeavingSource;

/* All notices of one start of a target; zero for none. */
typedef struct {
    CaroLeavingSource leaving;
    CaroTime leaving_at;        /* Time of the last such response. */
    CaroTime unavailable_until; /* It wants no request before that time. */
} CaroTargetNotice;

/* Adds what "from" says to *notice. */
void CaroTargetNotice_Merge(CaroTargetNotice *notice,
                            const CaroTargetNotice *from);

/*
 * Returns whether a target that is leaving may be used when no other is left:
 * this VM has not read the notice itself, or the target is still registered so
 * long after it that it was wrong.
 */
bool CaroTargetNotice_IsDoubtful(const CaroTargetNotice *notice, CaroTime now);

/* Notices of targets that are not registered; the oldest are forgotten. */
typedef struct CaroTargetNotices CaroTargetNotices;

/* Returns NULL without memory.  Destroy accepts NULL. */
CaroTargetNotices *CaroTargetNotices_Create(void);
void CaroTargetNotices_Destroy(CaroTargetNotices *n);

/* Adds a notice of the start with the hash; an empty one is ignored. */
void CaroTargetNotices_Add(CaroTargetNotices *n, uint32_t start_hash,
                           const CaroTargetNotice *notice);

/* Removes and returns the notice of the start; an empty one if there is
   none. */
CaroTargetNotice CaroTargetNotices_Take(CaroTargetNotices *n,
                                        uint32_t start_hash);

#endif
