/*
 * NAME
 *     caro_upstreams - the upstreams a VM uses, their load and health
 *
 * The table is filled from the operators' configuration.  Load is what
 * this VM has in flight plus what the upstream last reported, which
 * counts for less as it grows old.
 */
#ifndef CARO_UPSTREAMS_H
#define CARO_UPSTREAMS_H

#include "caro_error.h"
#include "internal/caro_types.h"

enum { CARO_UPSTREAMS_MAX = 1024, CARO_DOMAINS_MAX = 16 };

typedef enum { CARO_UPSTREAM_MODEL, CARO_UPSTREAM_ORDERS } CaroUpstreamKind;

typedef struct {
    char name[CARO_NAME_SIZE];
    char address[CARO_ADDRESS_SIZE];
    char domain[CARO_NAME_SIZE];
    char deployment[CARO_NAME_SIZE];
    char version[CARO_NAME_SIZE];
    CaroUpstreamKind kind;
    bool is_leaving;

    int in_flight;           /* Requests of this VM at the upstream. */
    int reported_running;    /* Last load report. */
    int reported_waiting;    /* Last load report. */
    int capacity;            /* Sequences it runs at once; 0 unknown. */
    CaroTime reported_at;    /* Time of the last load report. */
    int started_since;       /* Requests of this VM since the report. */
    CaroTime avoided_until;  /* After a failure, no new work before. */
    int failures;            /* Failures in a row. */
    bool is_probed;          /* It answered a probe after its failure. */
    int64_t prefill_pending; /* Tokens sent there to be read, no answer. */
    uint64_t requests_total; /* Attempts started here. */
    uint64_t failures_total; /* Attempts that ended in a failure. */
} CaroUpstream;

typedef struct CaroUpstreams CaroUpstreams;

/* Creates an empty table, or returns NULL. */
CaroUpstreams *CaroUpstreams_Create(void);
void CaroUpstreams_Destroy(CaroUpstreams *t);

/*
 * Adds an upstream, or updates the one of the same name and keeps its
 * load.  The text fields of *u are copied.  Returns its handle, or
 * CARO_NO_HANDLE when the table is full.
 */
CaroHandle CaroUpstreams_Put(CaroUpstreams *t, const CaroUpstream *u);

/* Marks entries whose names are absent from the new configuration. */
void CaroUpstreams_BeginUpdate(CaroUpstreams *t);
void CaroUpstreams_EndUpdate(CaroUpstreams *t);

/* Borrowed entry; h must be valid. */
CaroUpstream *CaroUpstreams_Get(CaroUpstreams *t, CaroHandle h);
int CaroUpstreams_Count(const CaroUpstreams *t);

/* Handle of the named upstream, or CARO_NO_HANDLE. */
CaroHandle CaroUpstreams_Find(const CaroUpstreams *t, const char *name);

/* An attempt starts; balances with Done. */
void CaroUpstreams_BeginAttempt(CaroUpstreams *t, CaroHandle h);
void CaroUpstreams_EndAttempt(CaroUpstreams *t, CaroHandle h);

/* Takes a load report in. */
void CaroUpstreams_RecordLoad(CaroUpstreams *t, CaroHandle h, int running,
                              int waiting, int capacity, CaroTime now);

/*
 * A failed upstream gets no work for a time that doubles with each
 * failure in a row, and then none before it has answered a probe.
 * Succeeded ends the row: a generation was given a token.
 */
void CaroUpstreams_RecordFailure(CaroUpstreams *t, CaroHandle h, CaroTime now);
void CaroUpstreams_RecordProbe(CaroUpstreams *t, CaroHandle h);
void CaroUpstreams_RecordSuccess(CaroUpstreams *t, CaroHandle h);

/* The upstream waits for a probe. */
bool CaroUpstreams_NeedsProbe(const CaroUpstreams *t, CaroHandle h,
                              CaroTime now);

/* Prompt tokens sent to be read (positive), or read or given up. */
void CaroUpstreams_AddPrefill(CaroUpstreams *t, CaroHandle h, int64_t tokens);

/*
 * A stream of the upstream fell silent: it gets no new work for a short
 * while, unless it is heard again before.
 */
void CaroUpstreams_Suspect(CaroUpstreams *t, CaroHandle h, CaroTime now);
void CaroUpstreams_RecordHeard(CaroUpstreams *t, CaroHandle h, CaroTime now);
bool CaroUpstreams_IsSuspected(const CaroUpstreams *t, CaroHandle h,
                               CaroTime now);

/*
 * Own count in flight plus the report, faded with its age, as a share of
 * the capacity, and the prompt tokens this VM waits for.
 */
double CaroUpstreams_Load(const CaroUpstreams *t, CaroHandle h, CaroTime now);

/*
 * Sequences that the upstream could still run at once, by its last report
 * and what this VM started since; 0 when the report is old.
 */
int CaroUpstreams_AvailableSlots(const CaroUpstreams *t, CaroHandle h,
                                 CaroTime now);

/* New work may go there now. */
bool CaroUpstreams_IsUsable(const CaroUpstreams *t, CaroHandle h,
                            CaroTime now);

/*
 * Two upstreams of the domain or more fell silent or failed a short time
 * ago, and none of the domain has been heard since.
 */
bool CaroUpstreams_IsDomainSuspected(const CaroUpstreams *t,
                                     const char *domain, CaroTime now);

/* One observed gap between tokens, or wait for a first token. */
void CaroUpstreams_RecordTokenGap(CaroUpstreams *t, CaroHandle h,
                                  CaroTime gap);
void CaroUpstreams_RecordFirstToken(CaroUpstreams *t, CaroHandle h,
                                    CaroTime wait);

/*
 * The gap after which the upstream counts as silent: a multiple of its
 * own 99th percentile between floor and ceiling.
 */
CaroTime CaroUpstreams_SilenceTimeout(const CaroUpstreams *t, CaroHandle h,
                                      CaroTime floor, CaroTime ceiling);
CaroTime CaroUpstreams_FirstTokenTimeout(const CaroUpstreams *t, CaroHandle h,
                                         CaroTime floor, CaroTime ceiling);

#endif
