/*
 * NAME
 *     caro_prompt_crashes - evidence on parts of prompts that crash upstreams
 *
 * Three bounded tables.  Crashes: requests whose upstream closed the
 * connection after the head of the response and before its first event.
 * Begins: when a response to a prompt with the part last had its first event,
 * which a part that crashes upstreams never has.  Quarantines: sets of parts;
 * requests with all parts of a set are refused.
 *
 * VMs exchange the tables.  All entries are facts that are merged by set
 * union, so messages may be lost, doubled and reordered; times are sent as
 * ages, because the clocks of VMs differ.
 */
#ifndef CARO_PROMPT_CRASHES_H
#define CARO_PROMPT_CRASHES_H

#include "caro_peer.h"
#include "internal/caro_prompt_parts.h"

enum {
    CARO_PROMPT_CRASHES_MAX = 64,    /* The oldest yield. */
    CARO_PROMPT_QUARANTINES_MAX = 16 /* Likewise. */
};

/* A crash counts for this long. */
#define CARO_PROMPT_CRASH_TTL (120 * CARO_SECOND)
/* Time of the last begin of a part that has not begun.  Other times may be
   negative: they are before the start of this VM's clock. */
#define CARO_NEVER_BEGUN INT64_MIN
/* Life of a quarantine. */
#define CARO_QUARANTINE_TTL (600 * CARO_SECOND)

typedef struct {
    uint64_t upstream; /* Hash of the start of the upstream. */
    uint64_t request;  /* Hash of the request's id. */
    CaroPromptParts parts;
    CaroTime at;
    CaroTime received_at; /* Time at which this VM learned of it. */
} CaroPromptCrash;

typedef struct {
    CaroPromptParts parts;
    CaroTime at; /* Time of the decision. */
    CaroTime expires_at;
    CaroTime received_at; /* Time at which this VM learned of it. */
    bool is_lifted;       /* All of its parts have begun since. */
    bool is_stored;       /* The platform's store has it. */
} CaroQuarantine;

typedef struct CaroPromptCrashes CaroPromptCrashes;

/* Returns NULL when out of memory.  Destroy accepts NULL. */
CaroPromptCrashes *CaroPromptCrashes_Create(void);
void CaroPromptCrashes_Destroy(CaroPromptCrashes *t);

/* Records a crash; has no effect when it is known, too old, without parts, or
   explained by a quarantine. */
void CaroPromptCrashes_Record(CaroPromptCrashes *t, uint64_t upstream,
                              uint64_t request, const CaroPromptParts *parts,
                              CaroTime at, CaroTime now);

/* Records the first event of a response. */
void CaroPromptCrashes_RecordBegin(CaroPromptCrashes *t,
                                   const CaroPromptParts *parts, CaroTime now);

/* Returns when a response to a prompt with the part last began, or
   CARO_NEVER_BEGUN. */
CaroTime CaroPromptCrashes_BegunAt(const CaroPromptCrashes *t, uint64_t part);

/* The crashes, in the order of their times; borrowed until the next change. */
const CaroPromptCrash *CaroPromptCrashes_List(const CaroPromptCrashes *t,
                                              int *n);

/*
 * Adds a quarantine that ends at "expires_at" and drops the crashes that it
 * explains.  Returns it, or NULL when one that covers it exists or was
 * lifted.
 */
CaroQuarantine *CaroPromptCrashes_AddQuarantine(CaroPromptCrashes *t,
                                                const CaroPromptParts *parts,
                                                CaroTime at,
                                                CaroTime expires_at,
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

/*
 * Drops what has expired; takes parts that have begun since out of the
 * quarantines, and lifts a quarantine whose parts have all begun.
 */
void CaroPromptCrashes_Tick(CaroPromptCrashes *t, CaroTime now);

/* A report and the storage that it points to. */
typedef struct {
    caro_prompt_report report;
    caro_prompt_crash crashes[CARO_CRASHES_MAX];
    caro_prompt_begin begins[CARO_BEGINS_MAX];
    caro_quarantine quarantines[CARO_QUARANTINES_MAX];
} CaroPromptReport;

/* Fills the report, except the sender, with the quarantines, the newest
   crashes, and the begins of the parts of both.  It points into the table.
   Returns whether there is anything to report. */
bool CaroPromptCrashes_Collect(CaroPromptCrashes *t, CaroPromptReport *out,
                               CaroTime now);

/* Merges the report of another VM. */
void CaroPromptCrashes_Apply(CaroPromptCrashes *t,
                             const caro_prompt_report *report, CaroTime now);

/* Returns whether something was learned since the last call that other VMs may
   not know, and clears the mark. */
bool CaroPromptCrashes_ConsumeChange(CaroPromptCrashes *t);

#endif
