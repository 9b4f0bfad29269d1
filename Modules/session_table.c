/* The sessions by their generation, and what operators see of them. */
#include "internal/caro_session.h"

CaroSession *
CaroSession_Find(const CaroSessions *all, uint64_t id)
{
    CaroSession *s;
    HASH_FIND(hh, all->by_id, &id, sizeof(id), s);
    return s;
}

int
CaroSessions_Count(const CaroSessions *all)
{
    return (int)HASH_COUNT(all->by_id);
}

void
CaroSessions_ForEach(const CaroSessions *all,
                     void (*visit)(void *context, const CaroSessionView *view),
                     void *context)
{
    CaroSession *s;
    CaroSession *next;
    HASH_ITER(hh, all->by_id, s, next)
    {
        CaroSessionView view = {.id = s->id,
                                .account = s->account,
                                .deployment = s->deployment,
                                .tokens = CaroJournal_Count(s->journal),
                                .acked = s->acked,
                                .sent = s->sent,
                                .is_admitted = s->is_admitted,
                                .has_caller = s->req != NULL};
        visit(context, &view);
    }
}

size_t
CaroSessions_JournalBytes(const CaroSessions *all)
{
    return CaroJournalTable_Bytes(all->own);
}

size_t
CaroSessions_ReplicaBytes(const CaroSessions *all)
{
    return CaroJournalTable_Bytes(all->copies);
}
