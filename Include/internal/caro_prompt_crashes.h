/*
 * NAME
 *     caro_prompt_crashes - evidence on parts of prompts that crash upstreams
 *
 * Bounded tables.  Crashes: requests that were in progress at an upstream when
 * it crashed, with the parts that may have caused that.  Progress: how far
 * responses to prompts with a part have got; a part that crashes upstreams
 * never gets beyond the point at which it does.  Quarantines: sets of parts;
 * requests with all parts of a set are refused.
 *
 * VMs exchange the tables (caro_prompt_reports.h).  All entries are facts that
 * are merged by set union, so messages may be lost, doubled and reordered.
 */
#ifndef CARO_PROMPT_CRASHES_H
#define CARO_PROMPT_CRASHES_H

#include "caro_peer.h"
#include "internal/caro_prompt_parts.h"

enum {
    CARO_PROMPT_CRASHES_MAX = 512, /* The oldest yield. */
    CARO_QUARANTINES_KEPT_MAX = CARO_PROMPT_QUARANTINES_MAX,
    /* A response with fewer events says nothing of its prompt. */
    CARO_PROMPT_PROGRESS_MIN = 5
};

/* A crash counts for this long. */
#define CARO_PROMPT_CRASH_TTL (1800 * CARO_SECOND)
/* Time of what has never happened.  Other times may be negative: they are
   before the start of this VM's clock. */
#define CARO_NEVER_PASSED INT64_MIN
/* Life of a quarantine after the decision or its last failed probe. */
#define CARO_QUARANTINE_TTL (86400 * CARO_SECOND)

/* A request that was in progress at an upstream when it crashed.  Without
   parts it only says that the upstream crashed. */
typedef struct {
    uint64_t upstream;   /* Hash of the start of the upstream. */
    uint64_t request;    /* Hash of the request's id. */
    uint32_t service;    /* Hash; 0 when unknown. */
    uint32_t domain;     /* Hash of the failure domain; 0 when unknown. */
    bool is_domain_lost; /* Most of the domain's upstreams failed with it. */
    bool has_head;       /* The head of the response had arrived. */
    uint32_t events;     /* Of the response, before the crash. */
    CaroPromptParts parts;
    CaroTime at;
    CaroTime received_at; /* Time at which this VM learned of it. */
} CaroPromptCrash;

typedef struct {
    CaroPromptParts parts;
    CaroTime at;     /* Time of the decision or of the last failed probe. */
    int probes;      /* Failed probes. */
    uint32_t events; /* Most events of a response before a crash. */
    CaroTime expires_at;
    CaroTime received_at;  /* Time at which this VM learned of it. */
    CaroTime stored_until; /* The platform's store has it until then. */
    bool is_lifted;        /* Responses with all of its parts passed since. */
} CaroQuarantine;

typedef struct CaroPromptCrashes CaroPromptCrashes;

/* Returns NULL when out of memory.  Destroy accepts NULL. */
CaroPromptCrashes *CaroPromptCrashes_Create(void);
void CaroPromptCrashes_Destroy(CaroPromptCrashes *t);

/* Records a crash, of which "received_at" is set; has no effect when it is
   known, too old, or all of its parts have passed long since. */
void CaroPromptCrashes_Record(CaroPromptCrashes *t,
                              const CaroPromptCrash *crash, CaroTime now);

/* Drops the crashes of an upstream that turned out to be alive. */
void CaroPromptCrashes_Refute(CaroPromptCrashes *t, uint64_t upstream);

/* Records a new request with the parts. */
void CaroPromptCrashes_RecordRequest(CaroPromptCrashes *t,
                                     const CaroPromptParts *parts,
                                     CaroTime now);

/* Returns whether at least half of this VM's recent requests have the part, or
   too few are known. */
bool CaroPromptCrashes_IsCommon(const CaroPromptCrashes *t, uint64_t part);

/* Records that a response to a prompt with the parts has got "events" events
   from one upstream, or has been received whole. */
void CaroPromptCrashes_RecordEvents(CaroPromptCrashes *t,
                                    const CaroPromptParts *parts,
                                    uint32_t events, CaroTime now);
void CaroPromptCrashes_RecordFinish(CaroPromptCrashes *t,
                                    const CaroPromptParts *parts,
                                    CaroTime now);

/*
 * Returns when a response to a prompt with the part last got beyond the point
 * of a crash after "events" events, or CARO_NEVER_PASSED.  The events of a
 * crashing upstream arrive in part, so the point is taken as up to
 * 2 * events + 4.
 */
CaroTime CaroPromptCrashes_PassedAt(const CaroPromptCrashes *t, uint64_t part,
                                    uint32_t events);

/* The crashes, in the order of their times; borrowed until the next change. */
const CaroPromptCrash *CaroPromptCrashes_List(const CaroPromptCrashes *t,
                                              int *n);

/*
 * Adds a quarantine by its parts, "at", "probes" and "events".  One with the
 * same parts takes over the later failed probe.  Returns it, or NULL when one
 * that covers it exists, it has expired or responses have passed since.
 */
CaroQuarantine *CaroPromptCrashes_AddQuarantine(CaroPromptCrashes *t,
                                                const CaroQuarantine *q,
                                                CaroTime now);

/* Returns the quarantine that holds for a prompt with the parts, or NULL. */
const CaroQuarantine *
CaroPromptCrashes_FindQuarantine(const CaroPromptCrashes *t,
                                 const CaroPromptParts *parts, CaroTime now);

/* Returns whether quarantines were added since the last call. */
bool CaroPromptCrashes_ConsumeQuarantine(CaroPromptCrashes *t);

/* The quarantines, also those that were lifted. */
CaroQuarantine *CaroPromptCrashes_Quarantines(CaroPromptCrashes *t, int *n);
const CaroQuarantine *
CaroPromptCrashes_QuarantinesConst(const CaroPromptCrashes *t, int *n);

/* A probe of the quarantine has crashed an upstream, or did not get far. */
void CaroPromptCrashes_FailProbe(CaroPromptCrashes *t,
                                 const CaroPromptParts *parts, CaroTime now);

/*
 * Drops what has expired; takes parts that have passed since out of the
 * quarantines, and lifts a quarantine whose parts have all passed.
 */
void CaroPromptCrashes_Tick(CaroPromptCrashes *t, CaroTime now);

/* Merges what another VM knows of the progress of a part; times may be
   CARO_NEVER_PASSED. */
void CaroPromptCrashes_MergeProgress(CaroPromptCrashes *t, uint64_t part,
                                     CaroTime finished_at, uint32_t events,
                                     CaroTime events_at, CaroTime now);

/* Returns whether progress of the part is known, and stores it. */
bool CaroPromptCrashes_GetProgress(const CaroPromptCrashes *t, uint64_t part,
                                   CaroTime *finished_at, uint32_t *events,
                                   CaroTime *events_at);

/* Returns whether something was learned since the last call that other VMs may
   not know, and clears the mark. */
bool CaroPromptCrashes_ConsumeChange(CaroPromptCrashes *t);

/* Likewise whether the evidence has changed since the last decision. */
bool CaroPromptCrashes_ConsumeEvidence(CaroPromptCrashes *t);

#endif
