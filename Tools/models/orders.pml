/*
 * Model of the protocol for non-idempotent requests (orders), for the Spin
 * model checker.
 *
 * The model covers one idempotency key.  Only the arbiter dispatches the
 * order, after the backup has recorded the intent.  An asker (any other VM)
 * asks the backup to decide when it considers the arbiter dead.  Channels
 * lose, delay, duplicate and reorder messages.  The arbiter may pause at any
 * step (an interleaving) and crash; the backup may crash and restart with an
 * empty memory and a new boot number.
 *
 * Properties: the order is executed at most once, and a "not run" reported to
 * anyone holds at that time and afterwards.
 *
 * Each rule has a macro that removes it; the check must then fail:
 *   NO_INTENT       the arbiter dispatches without the backup's confirmation
 *   NO_FENCE        the backup reports "not run" without recording a fence
 *   NO_BOOT         a restarted backup decides without a record of what it
 *                   confirmed before the restart
 *   NO_SELF_FENCE   the arbiter, after a timeout, reports "not run" and may
 *                   still dispatch when the confirmation arrives late
 */

mtype = { NONE, INTENT, FENCED, DONE };
mtype = { M_INTENT, M_RECORDED, M_FENCED };

/* Channels from the arbiter to the backup and back. */
chan to_backup = [3] of { mtype, byte };   /* Kind, backup's boot. */
chan to_arbiter = [4] of { mtype };

byte runs = 0;
bool told_not_run = false;
byte boot = 1;           /* The backup's boot; the ticket contains boot 1. */
mtype record = NONE;     /* The backup's record. */
bool is_arbiter_dead = false;

inline dispatch() {
    runs++;
    assert(runs <= 1);
    assert(!told_not_run);
}

inline tell_not_run() {
    told_not_run = true;
    assert(runs == 0);
}

proctype Arbiter() {
    bool is_fenced = false;
    bool is_sent = false;
    byte tries = 0;

#ifdef NO_INTENT
    dispatch();
    goto over;
#endif
    to_backup ! M_INTENT, 1;
again:
    if
    :: to_arbiter ? M_RECORDED ->
        if
        :: !is_fenced && !is_sent -> is_sent = true; dispatch()
        :: else -> skip
        fi
    :: to_arbiter ? M_FENCED ->
        is_fenced = true;
        if
        :: !is_sent -> tell_not_run()
        :: else -> skip
        fi
    :: !is_sent && !is_fenced ->
        /* Timeout: the arbiter fences the key, then reports "not run". */
#ifndef NO_SELF_FENCE
        is_fenced = true;
#endif
        tell_not_run()
    :: is_arbiter_dead = true; goto over  /* Crash. */
    fi;
    tries++;
    if
    :: tries < 3 -> goto again
    :: else -> skip
    fi;
over:
    skip
}

proctype Backup() {
    byte wanted;
    do
    :: to_backup ? M_INTENT, wanted ->
        atomic {
            if
#ifndef NO_BOOT
            :: wanted != boot -> to_arbiter ! M_FENCED
            :: wanted == boot && record == NONE ->
                record = INTENT; to_arbiter ! M_RECORDED
            :: wanted == boot && record == INTENT -> to_arbiter ! M_RECORDED
            :: wanted == boot && record == FENCED -> to_arbiter ! M_FENCED
#else
            :: record == NONE -> record = INTENT; to_arbiter ! M_RECORDED
            :: record == INTENT -> to_arbiter ! M_RECORDED
            :: record == FENCED -> to_arbiter ! M_FENCED
#endif
            fi
        }
    :: boot < 2 ->
        /* The backup crashes and restarts with an empty memory. */
        atomic { boot++; record = NONE }
    :: timeout -> break
    od
}

/* Another VM that considers the arbiter dead, correctly or not. */
proctype Asker() {
    atomic {
        if
#ifndef NO_BOOT
        :: boot != 1 -> skip              /* "unknown" */
        :: boot == 1 && record == NONE ->
#else
        :: record == NONE ->
#endif
#ifndef NO_FENCE
            record = FENCED;
#endif
            tell_not_run()
        :: record == INTENT && boot == 1 -> skip       /* "unknown" */
        :: record == FENCED && boot == 1 -> tell_not_run()
        fi
    }
}

/* The network loses, duplicates and reorders messages in transit. */
proctype Network() {
    mtype kind;
    byte b;
    byte left = 4;
    do
    :: left == 0 -> break
    :: left > 0 -> break
    :: left > 0 && len(to_backup) > 0 ->
        atomic {
            to_backup ? kind, b;
            left--;
            if
            :: skip                                      /* Lost. */
            :: to_backup ! kind, b                       /* Reordered. */
            :: len(to_backup) == 0 ->                    /* Duplicated. */
                to_backup ! kind, b; to_backup ! kind, b
            fi
        }
    :: left > 0 && len(to_arbiter) > 0 ->
        atomic {
            to_arbiter ? kind;
            left--;
            if
            :: skip
            :: to_arbiter ! kind
            :: len(to_arbiter) == 0 -> to_arbiter ! kind; to_arbiter ! kind
            fi
        }
    od
}

init {
    atomic {
        run Arbiter();
        run Backup();
        run Asker();
        run Asker();
        run Network()
    }
}
