/*
 * The protocol of non-idempotent requests, for the Spin model checker.
 *
 * One key.  The arbiter alone dispatches, after the backup recorded the
 * intent.  An asker (any other VM) asks the backup to decide when it takes
 * the arbiter for dead.  Channels lose, delay, duplicate and reorder.  The
 * arbiter may pause at any step (an interleaving) and crash; the backup
 * may crash and return with an empty memory and another boot.
 *
 * Checked: the order runs at most once, and "not run" told to anyone is
 * true now and later.
 *
 * Each rule has a macro that removes it; the check must then fail:
 *   NO_INTENT       dispatch without the backup's word
 *   NO_FENCE        the backup says "not run" without recording a fence
 *   NO_BOOT         a restarted backup vouches for what it does not know
 *   NO_SELF_FENCE   the arbiter, after a timeout, says "not run" and may
 *                   still dispatch when the word comes late
 */

mtype = { NONE, INTENT, FENCED, DONE };
mtype = { M_INTENT, M_RECORDED, M_FENCED };

/* Messages from arbiter to backup and back; a slot each way. */
chan to_backup = [3] of { mtype, byte };   /* kind, backup's boot */
chan to_arbiter = [4] of { mtype };

byte runs = 0;
bool told_not_run = false;
byte boot = 1;           /* The backup's boot; the ticket names boot 1. */
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
        /* Timeout: the key is fenced here, then "not run" is told. */
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
        /* Crash and return with nothing. */
        atomic { boot++; record = NONE }
    :: timeout -> break
    od
}

/* Another VM that takes the arbiter for dead, rightly or not. */
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

/* The network: loses, duplicates and reorders what is on its way. */
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
            :: skip                                      /* lost */
            :: to_backup ! kind, b                       /* later */
            :: len(to_backup) == 0 ->                    /* twice */
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
