/* What targets announced in their responses. */
#include "internal/caro_target_notices.h"

#include <stdlib.h>

/* A target that leaves is gone some seconds after it said so, and its entry
   with it. */
#define LEAVING_TTL (60 * CARO_SECOND)

enum { NOTICES_MAX = 256 };

typedef struct {
    uint32_t start_hash;
    CaroTargetNotice notice;
} Slot;

struct CaroTargetNotices {
    Slot slots[NOTICES_MAX]; /* Unused ones have an empty notice. */
    int next;                /* The slot that was written first. */
};

static bool
is_empty(const CaroTargetNotice *notice)
{
    return notice->leaving == CARO_LEAVING_UNKNOWN &&
           notice->unavailable_until == 0;
}

void
CaroTargetNotice_Merge(CaroTargetNotice *notice, const CaroTargetNotice *from)
{
    if (from->leaving > notice->leaving) {
        notice->leaving = from->leaving;
        notice->leaving_at = from->leaving_at;
    }
    else if (from->leaving == notice->leaving &&
             from->leaving_at > notice->leaving_at) {
        notice->leaving_at = from->leaving_at;
    }
    if (from->unavailable_until > notice->unavailable_until) {
        notice->unavailable_until = from->unavailable_until;
    }
}

bool
CaroTargetNotice_IsDoubtful(const CaroTargetNotice *notice, CaroTime now)
{
    return notice->leaving == CARO_LEAVING_BY_PEER ||
           (notice->leaving >= CARO_LEAVING_IN_STORE &&
            now - notice->leaving_at >= LEAVING_TTL);
}

CaroTargetNotices *
CaroTargetNotices_Create(void)
{
    return calloc(1, sizeof(CaroTargetNotices));
}

void
CaroTargetNotices_Destroy(CaroTargetNotices *n)
{
    free(n);
}

static Slot *
find_slot(CaroTargetNotices *n, uint32_t start_hash)
{
    for (int i = 0; i < NOTICES_MAX; i++) {
        Slot *slot = &n->slots[i];
        if (slot->start_hash == start_hash && !is_empty(&slot->notice)) {
            return slot;
        }
    }
    return NULL;
}

void
CaroTargetNotices_Add(CaroTargetNotices *n, uint32_t start_hash,
                      const CaroTargetNotice *notice)
{
    if (is_empty(notice)) {
        return;
    }
    Slot *slot = find_slot(n, start_hash);
    if (slot != NULL) {
        CaroTargetNotice_Merge(&slot->notice, notice);
        return;
    }
    n->slots[n->next] = (Slot){.start_hash = start_hash, .notice = *notice};
    n->next = (n->next + 1) % NOTICES_MAX;
}

CaroTargetNotice
CaroTargetNotices_Take(CaroTargetNotices *n, uint32_t start_hash)
{
    Slot *slot = find_slot(n, start_hash);
    CaroTargetNotice notice = {0};
    if (slot != NULL) {
        notice = slot->notice;
        slot->notice = (CaroTargetNotice){0};
    }
    return notice;
}
