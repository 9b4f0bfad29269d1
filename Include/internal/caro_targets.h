/*
 * NAME
 *     caro_targets - the upstream instances registered with the platform
 *
 * A target is one instance of an upstream, identified by its registration
 * entry in the platform's store.  The table adds what this VM measures of
 * each target: requests in flight, reported load and failures.  A handle
 * stays valid until the target is removed and this VM has neither a
 * request nor a KV copy there.
 */
#ifndef CARO_TARGETS_H
#define CARO_TARGETS_H

#include "internal/caro_target_groups.h"
#include "internal/caro_target_notices.h"
#include "internal/caro_types.h"

enum {
    /* 9 MB of a VM of 96 MB; pages of the table are used as targets are
       registered. */
    CARO_TARGETS_MAX = 16384,
    CARO_TARGET_ID_SIZE = 201 /* An id is a part of a key of the store. */
};

/* The registration entry of a target.  Names are as of caro_name.h. */
typedef struct {
    char id[CARO_TARGET_ID_SIZE];
    char address[CARO_ADDRESS_SIZE];
    char domain[CARO_NAME_SIZE];
    char service[CARO_NAME_SIZE];
    char version[CARO_NAME_SIZE];
    int64_t slots;         /* Requests that the target runs concurrently. */
    int64_t started_at_ms; /* Wall clock of its start; 0 when unknown. */
    bool is_leaving;       /* The target drains: no new requests. */
    CaroTime cold_time;    /* It is slow for so long yet, after its start. */
} CaroTargetEntry;

/* How a request of this VM failed at a target.  Higher values are stronger
   evidence that the target is down. */
typedef enum {
    CARO_TARGET_NO_FAILURE,
    CARO_TARGET_FAILING, /* Connection failed or lost, or request refused. */
    CARO_TARGET_SILENT,  /* A stream stopped sending events but stayed open. */
    CARO_TARGET_GONE     /* Its address is unused or reassigned. */
} CaroTargetFailure;

/* A slot of the table: a target and its measured state. */
typedef struct {
    CaroTargetEntry entry;
    bool is_used;            /* The slot is occupied. */
    bool is_present;         /* The registration entry exists. */
    bool is_missing;         /* The lease expired during a store outage. */
    uint32_t id_hash;        /* Identifies the target in peer messages. */
    uint32_t start_hash;     /* Likewise this start of the target alone. */
    CaroTargetNotice notice; /* What it announced in its responses. */
    int in_flight;           /* Requests of this VM in flight. */
    int streams;             /* Requests in flight that are streams. */
    int prefill_tokens;      /* Prompt tokens of this VM awaiting prefill. */
    int held_tokens;         /* Of this VM's streams and KV copies there. */
    int peer_streams;        /* Streams of other VMs. */
    int peer_prefill_tokens; /* Prompt tokens of other VMs, likewise. */
    int kv_copies;           /* KV copies kept there for this VM's streams. */
    int peer_kv_copies;      /* KV copies kept for other VMs' streams. */
    int reported_running;    /* Running requests in the last load report. */
    int reported_waiting;    /* Queued requests in the last load report. */
    int reported_work_percent; /* Processing time, 100 being the usual one; 0
                                  when the last load report had none. */
    CaroTime reported_at;    /* Arrival of the last load report; 0 if none. */
    int failures;            /* Consecutive failures. */
    CaroTime avoided_until;  /* Gets no new requests before this time. */
    CaroTime peer_loaded_at; /* Last load report of a peer that names it. */
    CaroTime full_at;        /* Its limit admitted no request then. */
    CaroTime failed_at;      /* Last failure, seen by this VM or a peer. */
    CaroTime last_heard_at; /* Last response or event, to this VM or a peer. */
    CaroTime registered_at; /* Time at which the entry was added. */
    CaroTime cold_until;    /* By the last entry with a cold_time. */
    CaroTargetFailure own_failure; /* Last failure of a stream of this VM. */
    CaroTime own_failure_at;       /* Time of own_failure; 0 if none. */
} CaroTarget;

typedef struct CaroTargets CaroTargets;

/*
 * Returns whether both entries describe the same start of an instance:
 * same address and service, and no differing start times.
 */
bool CaroTargetEntry_IsSameStart(const CaroTargetEntry *a,
                                 const CaroTargetEntry *b);

/* Creates an empty table, or returns NULL.  Destroy accepts NULL. */
CaroTargets *CaroTargets_Create(void);
void CaroTargets_Destroy(CaroTargets *t);

/*
 * Adds a target, or updates the registered one with the same id.  An
 * instance that was restarted under its id gets a new handle.  Returns
 * CARO_NO_HANDLE when the table is full.
 */
CaroHandle CaroTargets_Put(CaroTargets *t, const CaroTargetEntry *entry,
                           CaroTime now);

/* Returns the registered target with the id, or CARO_NO_HANDLE. */
CaroHandle CaroTargets_Find(const CaroTargets *t, const char *id);

/* Likewise by the hash of the id, as in messages of other VMs. */
CaroHandle CaroTargets_FindByHash(const CaroTargets *t, uint32_t id_hash);

/* Likewise by the hash of its start. */
CaroHandle CaroTargets_FindByStart(const CaroTargets *t, uint32_t start_hash);

/* Records that the target is no longer registered.  Its slot is freed once
   this VM has neither requests nor KV copies there. */
void CaroTargets_Remove(CaroTargets *t, CaroHandle h);

/* Borrowed target; h must be valid. */
CaroTarget *CaroTargets_Get(CaroTargets *t, CaroHandle h);
const CaroTarget *CaroTargets_GetConst(const CaroTargets *t, CaroHandle h);

/* Returns one more than the highest handle in use. */
CaroHandle CaroTargets_Count(const CaroTargets *t);

/* Returns the registered targets by service and failure domain, borrowed. */
CaroTargetGroups *CaroTargets_Groups(const CaroTargets *t);

/* Returns the group of a registered target. */
int CaroTargets_GroupOf(const CaroTargets *t, CaroHandle h);

/*
 * Returns a target whose place a new one of the service may take in a full
 * table: one of the service with the most targets, if it has at least two
 * more; else CARO_NO_HANDLE.
 */
CaroHandle CaroTargets_FindReplaceable(const CaroTargets *t,
                                       const char *service);

/*
 * Returns the targets, n of them, that this VM has used or read a notice of
 * since RECENT_TTL (5 s) at the least, borrowed until the next call.  Some of
 * them may be no longer in use.
 */
const CaroHandle *CaroTargets_Recent(CaroTargets *t, CaroTime now, int *n);

/* Counts the start and the end of a request of this VM.  End frees the slot
   of a removed target after its last request. */
void CaroTargets_Begin(CaroTargets *t, CaroHandle h, bool is_stream);
void CaroTargets_End(CaroTargets *t, CaroHandle h, bool is_stream);

/* Likewise for a KV copy kept at the target. */
void CaroTargets_BeginKvCopy(CaroTargets *t, CaroHandle h);
void CaroTargets_EndKvCopy(CaroTargets *t, CaroHandle h);

/* Adds to the prompt tokens awaiting prefill; "tokens" may be negative. */
void CaroTargets_AddPrefill(CaroTargets *t, CaroHandle h, int tokens);

/* Adds to the tokens of prompts and responses that this VM's streams and KV
   copies hold there; "tokens" may be negative. */
void CaroTargets_AddHeld(CaroTargets *t, CaroHandle h, int tokens);

/* Stores the load that the target reported in a response; "work_percent" is 0
   if the report had no such figure. */
void CaroTargets_RecordLoad(CaroTargets *t, CaroHandle h, int running,
                            int waiting, int work_percent, CaroTime now);

/* Makes all services adaptive, as the settings say. */
void CaroTargets_SetAdaptive(CaroTargets *t, bool is_adaptive);

/*
 * Returns whether the service's requests are placed, admitted and timed out by
 * measured times: because the settings say so, or a target of the service has
 * reported its processing time since this process started.  At most 1,024
 * services are recorded.
 */
bool CaroTargets_IsAdaptive(const CaroTargets *t, const char *service);

/* Stores the failure of a stream of this VM, for the next load reports. */
void CaroTargets_RecordFailure(CaroTargets *t, CaroHandle h,
                               CaroTargetFailure failure, CaroTime now);

/* Records that the target sent a response or an event at the time "at". */
void CaroTargets_RecordHeard(CaroTargets *t, CaroHandle h, CaroTime at);

/* Records that a response of the target, read by this VM at the time "now",
   announced that it leaves. */
void CaroTargets_RecordLeaving(CaroTargets *t, CaroHandle h, CaroTime now);

/* Likewise as read by another VM, of the start with the hash, which need not
   be registered.  Returns its handle if it was not known to leave. */
CaroHandle CaroTargets_RecordLeavingByPeer(CaroTargets *t, uint32_t start_hash,
                                           CaroTime now);

/* Likewise as another VM read in the store. */
CaroHandle CaroTargets_RecordLeavingInStore(CaroTargets *t,
                                            uint32_t start_hash, CaroTime now);

/* Records that the target wants no request before the time "until". */
void CaroTargets_RecordUnavailable(CaroTargets *t, CaroHandle h,
                                   CaroTime until);

/* Records a successful request: resets the failure count and the delay. */
void CaroTargets_RecordSuccess(CaroTargets *t, CaroHandle h);

/*
 * Counts a failure, of this VM or reported by a peer, and excludes the
 * target from new requests for a delay that grows with each consecutive
 * failure.
 */
void CaroTargets_Avoid(CaroTargets *t, CaroHandle h, CaroTargetFailure failure,
                       CaroTime now);

/* Uses all targets again that are avoided after a failure, as the failures
   were those of this VM's links. */
void CaroTargets_ForgetFailures(CaroTargets *t);

/* Returns whether the target is registered and neither drains nor announced
   that it leaves or wants no requests now. */
bool CaroTarget_IsOpen(const CaroTarget *target, CaroTime now);

/* Returns whether nothing but a doubtful notice keeps the target from being
   open (CaroTargetNotice_IsDoubtful). */
bool CaroTarget_IsDoubtful(const CaroTarget *target, CaroTime now);

/* Returns whether the target is open and is not avoided after a failure. */
bool CaroTarget_IsUsable(const CaroTarget *target, CaroTime now);

/* Returns whether its request limit was found to admit none at just this time
   (CaroRequestLimits_MarkFull). */
bool CaroTarget_IsFull(const CaroTarget *target, CaroTime now);

/*
 * Returns whether the target failed a short while ago and has sent
 * nothing since.  A crashed instance stays registered until its lease
 * expires, and usually comes back under another id.
 */
bool CaroTarget_IsSuspected(const CaroTarget *target, CaroTime now);

#endif
