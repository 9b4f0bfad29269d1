/* Which VMs read the store, and when. */
#include "internal/caro_store_readers.h"

/* Fleets up to this size read the store at every VM. */
enum { DIRECT_VMS_MAX = 40, FAILURES_MAX = 2 };
#define CALL_INTERVAL (400 * CARO_MS)
/* A reader reads each second, and the store answers in 4 ms, or in some
   hundred ms when it is slow. */
#define ANSWER_AGE_MAX (1300 * CARO_MS)
/* The log of a healthy reader lags its last read by two answers of the store.
   The bound leaves 1 s of the 3 s within which a change takes effect, for the
   other reader and a call to the store. */
#define LOG_AGE_MAX (1900 * CARO_MS)
#define COMPLETE_AGE_MAX (2200 * CARO_MS)
#define FALLBACK_DURATION_MIN (3 * CARO_SECOND)
#define FALLBACK_JITTER_MAX (2 * CARO_SECOND)

/* Calls per second of a VM in a fallback: at most 0.56 watches, 0.38 reads and
   0.05 renewals of its lease, less than one together.  A read that times out
   and its repetition still end in the 4.5 s for which a confirmation holds. */
#define FALLBACK_WATCH_DELAY (1800 * CARO_MS)
#define FALLBACK_CONFIG_INTERVAL (2600 * CARO_MS)
#define READER_CONFIG_INTERVAL (1 * CARO_SECOND)
/* Two fifths of the 5 s within which a revoked key has to be refused. */
#define DIRECT_CONFIG_INTERVAL (2 * CARO_SECOND)
/* Wait after a watch that returned changes, so that changes close together
   are fetched by one call; a fifth of the 2 s within which a change has to
   take effect. */
#define WATCH_DELAY (400 * CARO_MS)

/* Returns a random time below the maximum (xorshift64*). */
static CaroTime
random_time(CaroStoreReaders *s, CaroTime max)
{
    s->random ^= s->random >> 12;
    s->random ^= s->random << 25;
    s->random ^= s->random >> 27;
    return (CaroTime)((s->random * 0x2545f4914f6cdd1dULL >> 11) %
                      (uint64_t)max);
}

void
CaroStoreReaders_Init(CaroStoreReaders *s, uint64_t seed)
{
    *s = (CaroStoreReaders){.role = CARO_STORE_DIRECT,
                            .cause = CARO_ROLE_START,
                            .random = seed | 1,
                            .called = CARO_NO_HANDLE,
                            .last_answer_age = -1,
                            .last_log_age = -1};
    for (int i = 0; i < CARO_STORE_READERS; i++) {
        s->readers[i] = CARO_NO_HANDLE;
    }
    s->current = (int)random_time(s, CARO_STORE_READERS);
}

static bool
set_role(CaroStoreReaders *s, CaroStoreRole role, CaroStoreRoleCause cause,
         CaroTime now)
{
    bool has_changed = s->role != role;
    s->role = role;
    s->cause = cause;
    s->n_failures = 0;
    s->is_other = false;
    if (has_changed) {
        s->role_since = now;
    }
    return has_changed;
}

/* Reads the store from now on; a reader is asked again after some seconds. */
static bool
fall_back(CaroStoreReaders *s, CaroStoreRoleCause cause, CaroTime now)
{
    s->next_call =
        now + FALLBACK_DURATION_MIN + random_time(s, FALLBACK_JITTER_MAX);
    return set_role(s, CARO_STORE_FALLBACK, cause, now);
}

static void
set_readers(CaroStoreReaders *s, const CaroStoreReadersView *view)
{
    CaroHandle before = s->readers[s->current];
    for (int i = 0; i < CARO_STORE_READERS; i++) {
        s->readers[i] = view->readers[i];
    }
    /* The reader that is asked may have moved to another place. */
    for (int i = 0; i < CARO_STORE_READERS; i++) {
        if (s->readers[i] == before) {
            s->current = i;
        }
    }
    if (s->readers[s->current] == CARO_NO_HANDLE) {
        s->current = 0;
    }
    if (s->readers[s->current] != before) {
        s->n_failures = 0;
    }
}

bool
CaroStoreReaders_Update(CaroStoreReaders *s, const CaroStoreReadersView *view,
                        CaroTime complete_at, CaroTime now)
{
    set_readers(s, view);
    if (!view->is_ready || view->n_vms <= DIRECT_VMS_MAX) {
        return set_role(
            s, CARO_STORE_DIRECT,
            view->is_ready ? CARO_ROLE_SMALL_FLEET : CARO_ROLE_START, now);
    }
    if (view->is_reader) {
        return set_role(s, CARO_STORE_READER, CARO_ROLE_CHOSEN, now);
    }
    if (s->role == CARO_STORE_DIRECT || s->role == CARO_STORE_READER) {
        /* It reads the store until a reader has replied. */
        s->next_call = now;
        return set_role(s, CARO_STORE_FALLBACK, CARO_ROLE_NOT_CHOSEN, now);
    }
    if (s->role == CARO_STORE_FOLLOWER &&
        now - complete_at > COMPLETE_AGE_MAX) {
        return fall_back(s, CARO_ROLE_CHANGES_OLD, now);
    }
    return false;
}

CaroHandle
CaroStoreReaders_NextCall(CaroStoreReaders *s, CaroTime now)
{
    if (s->role != CARO_STORE_FOLLOWER && s->role != CARO_STORE_FALLBACK) {
        return CARO_NO_HANDLE;
    }
    if (s->called != CARO_NO_HANDLE || now < s->next_call ||
        s->readers[s->current] == CARO_NO_HANDLE) {
        return CARO_NO_HANDLE;
    }
    s->called = s->readers[s->current];
    s->called_at = now;
    return s->called;
}

/* A call failed, or the reader has no recent contact with the store, which
   another call to it does not change. */
static bool
handle_failure(CaroStoreReaders *s, CaroStoreRoleCause cause, CaroTime now)
{
    int other = 1 - s->current;
    bool has_other = s->readers[other] != CARO_NO_HANDLE;
    if (s->role == CARO_STORE_FALLBACK) {
        s->current = has_other ? other : s->current;
        return fall_back(s, cause, now);
    }
    if (s->role != CARO_STORE_FOLLOWER) {
        return false;
    }
    s->n_failures++;
    if (!s->is_other && cause == CARO_ROLE_NO_ANSWER &&
        s->n_failures < FAILURES_MAX) {
        s->next_call = s->called_at + CARO_STORE_READER_TIMEOUT;
        return false;
    }
    s->current = has_other ? other : s->current;
    if (!s->is_other && has_other) {
        s->is_other = true;
        s->n_failures = 0;
        s->next_call = now;
        return false;
    }
    return fall_back(s, cause, now);
}

/* Returns whether the call that ended is the one in progress to a reader that
   still is one. */
static bool
end_call(CaroStoreReaders *s, CaroHandle reader)
{
    bool is_current = s->called == reader && s->readers[s->current] == reader;
    if (s->called == reader) {
        s->called = CARO_NO_HANDLE;
    }
    return is_current;
}

bool
CaroStoreReaders_OnReply(CaroStoreReaders *s, CaroHandle reader,
                         const CaroStoreReaderReply *reply, bool *is_recent,
                         CaroTime now)
{
    CaroTime elapsed = now - reply->sent_at;
    *is_recent = reply->answer_age >= 0 && reply->log_age >= 0 &&
                 reply->answer_age + elapsed <= ANSWER_AGE_MAX &&
                 reply->log_age + elapsed <= LOG_AGE_MAX;
    if (!end_call(s, reader)) {
        return false;
    }
    s->last_answer_age = reply->answer_age;
    s->last_log_age = reply->log_age;
    if (!*is_recent) {
        return handle_failure(s, CARO_ROLE_READER_OLD, now);
    }
    if (s->role == CARO_STORE_FALLBACK && !reply->is_complete) {
        return handle_failure(s, CARO_ROLE_CHANGES_OLD, now);
    }
    s->n_failures = 0;
    s->is_other = false;
    s->next_call = reply->has_more ? now : s->called_at + CALL_INTERVAL;
    /* The change of role waits for the last part of a long reply. */
    return s->role == CARO_STORE_FALLBACK && !reply->has_more &&
           set_role(s, CARO_STORE_FOLLOWER, CARO_ROLE_READER_READY, now);
}

bool
CaroStoreReaders_OnFailure(CaroStoreReaders *s, CaroHandle reader,
                           CaroTime now)
{
    return end_call(s, reader) && handle_failure(s, CARO_ROLE_NO_ANSWER, now);
}

bool
CaroStoreRole_ReadsStore(CaroStoreRole role)
{
    return role != CARO_STORE_FOLLOWER;
}

CaroTime
CaroStoreRole_WatchDelay(CaroStoreRole role)
{
    return role == CARO_STORE_FALLBACK ? FALLBACK_WATCH_DELAY : WATCH_DELAY;
}

CaroTime
CaroStoreRole_ConfigDelay(CaroStoreRole role, CaroTime elapsed)
{
    if (role != CARO_STORE_READER) {
        return role == CARO_STORE_FALLBACK ? FALLBACK_CONFIG_INTERVAL
                                           : DIRECT_CONFIG_INTERVAL;
    }
    /* An age counts from the sending of a read until the next answer, so the
       pause leaves out the time of both. */
    CaroTime delay = READER_CONFIG_INTERVAL - 2 * elapsed;
    return delay > 0 ? delay : 0;
}

const char *
CaroStoreRole_Name(CaroStoreRole role)
{
    static const char *const names[] = {"direct", "reader", "follower",
                                        "fallback"};
    return names[role];
}

const char *
CaroStoreRoleCause_Name(CaroStoreRoleCause cause)
{
    static const char *const names[] = {
        "starting",
        "the fleet is small",
        "chosen",
        "others are readers",
        "a reader replied",
        "the readers do not reply",
        "the readers' contact with the store is old",
        "the last complete reply is old"};
    return names[cause];
}
