/*
 * NAME
 *     caro_targets - the upstreams that registered themselves
 *
 * Entries come from the platform's registry and carry what this VM sees
 * of them: requests in flight, reported load, failures.  A handle stays
 * valid while the VM has a request or a copy at the upstream.
 */
#ifndef CARO_TARGETS_H
#define CARO_TARGETS_H

#include "internal/caro_types.h"

enum { CARO_TARGETS_MAX = 1024, CARO_TARGET_ID_SIZE = 64 };

/* What an upstream says of itself in the registry. */
typedef struct {
    char id[CARO_TARGET_ID_SIZE]; /* Of one start of the upstream. */
    char address[CARO_ADDRESS_SIZE];
    char domain[CARO_NAME_SIZE];
    char service[CARO_NAME_SIZE];
    char version[CARO_NAME_SIZE];
    int64_t slots;         /* Requests it runs at once. */
    int64_t started_at_ms; /* Wall clock of its start; 0 when not told. */
    bool is_leaving;       /* Takes no new requests. */
} CaroTargetEntry;

/* How a request of this VM failed at an upstream, by growing certainty. */
typedef enum {
    CARO_TARGET_NO_FAILURE,
    CARO_TARGET_FAILING, /* It broke off, refused or could not be reached. */
    CARO_TARGET_SILENT,  /* It stopped in the middle. */
    CARO_TARGET_GONE     /* Another has its address, or nobody. */
} CaroTargetFailure;

typedef struct {
    CaroTargetEntry entry;
    bool is_used;            /* The slot holds an upstream. */
    bool is_present;         /* It is in the registry. */
    bool is_missing;         /* Lapsed around an outage of the registry. */
    uint32_t id_hash;        /* Names it in messages between VMs. */
    int in_flight;           /* Requests of this VM. */
    int streams;             /* Those that are streams. */
    int reading;             /* Prompt tokens of streams without an event. */
    int peer_streams;        /* Streams of other VMs. */
    int peer_prefill_tokens; /* Prompt tokens of those without an event. */
    int copies;              /* Copies of this VM's streams it keeps. */
    int peer_kv_copies;      /* Copies of other VMs' streams. */
    int running;             /* Last report. */
    int waiting;             /* Last report. */
    CaroTime reported_at;    /* When the last report came. */
    int failures;            /* Failures in a row. */
    CaroTime avoided_until;
    CaroTime failed_at;      /* Last failure, here or told by others. */
    CaroTime last_heard_at;  /* Its last answer or event, likewise. */
    CaroTime registered_at;  /* When this entry came. */
    CaroTargetFailure alarm; /* The last failure that this VM saw, */
    CaroTime own_failure_at; /* and when. */
} CaroTarget;

typedef struct CaroTargets CaroTargets;

/* Both are of one start of the upstream. */
bool CaroTargetEntry_IsSameStart(const CaroTargetEntry *a,
                                 const CaroTargetEntry *b);

CaroTargets *CaroTargets_Create(void);
void CaroTargets_Destroy(CaroTargets *t);

/*
 * Adds the upstream or updates the one of its id.  An upstream that
 * started anew under its id gets a new handle.  Returns CARO_NO_HANDLE
 * when the table is full.
 */
CaroHandle CaroTargets_Put(CaroTargets *t, const CaroTargetEntry *entry,
                           CaroTime now);

CaroHandle CaroTargets_Find(const CaroTargets *t, const char *id);

/* The upstream left the registry; its slot is free once nothing runs. */
void CaroTargets_Remove(CaroTargets *t, CaroHandle h);

CaroTarget *CaroTargets_Get(CaroTargets *t, CaroHandle h);
const CaroTarget *CaroTargets_GetConst(const CaroTargets *t, CaroHandle h);

/* One above the highest handle in use. */
CaroHandle CaroTargets_Count(const CaroTargets *t);

/* A request of this VM begins or ends there; the slot of an upstream that
   was removed is free with the last of them. */
void CaroTargets_Begin(CaroTargets *t, CaroHandle h, bool is_stream);
void CaroTargets_End(CaroTargets *t, CaroHandle h, bool is_stream);

/* The same for a copy that is kept there. */
void CaroTargets_BeginKvCopy(CaroTargets *t, CaroHandle h);
void CaroTargets_EndKvCopy(CaroTargets *t, CaroHandle h);

/* Prompt tokens that are to be read there, more or fewer. */
void CaroTargets_AddPrefill(CaroTargets *t, CaroHandle h, int tokens);

/* What the upstream told of its load. */
void CaroTargets_RecordLoad(CaroTargets *t, CaroHandle h, int running,
                            int waiting, CaroTime now);

/* A stream of this VM failed there, which other VMs are to be told. */
void CaroTargets_RecordFailure(CaroTargets *t, CaroHandle h,
                               CaroTargetFailure alarm, CaroTime now);

/* It sent an answer or an event, at that time. */
void CaroTargets_RecordHeard(CaroTargets *t, CaroHandle h, CaroTime at);

/* The upstream answered well. */
void CaroTargets_RecordSuccess(CaroTargets *t, CaroHandle h);

/* It failed, here or as another VM says: it is left alone for a while. */
void CaroTargets_Avoid(CaroTargets *t, CaroHandle h, CaroTargetFailure alarm,
                       CaroTime now);

/* May take a new request now. */
bool CaroTarget_IsUsable(const CaroTarget *target, CaroTime now);

/*
 * Nothing has been heard of it since it failed a short while ago.  An
 * upstream that crashed stays registered until its entry lapses, and mostly
 * comes back under another id.
 */
bool CaroTarget_IsSuspected(const CaroTarget *target, CaroTime now);

#endif
