/*
 * NAME
 *     caro_upstreams - configured upstreams with their load and health
 *
 * The table is filled from the operators' configuration.  The load of an
 * upstream combines the requests that this VM has in flight there with the
 * upstream's last load report, whose weight decreases with its age.
 */
#ifndef CARO_UPSTREAMS_H
#define CARO_UPSTREAMS_H

#include "caro_error.h"
#include "internal/caro_types.h"

enum { CARO_UPSTREAMS_MAX = 1024, CARO_DOMAINS_MAX = 16 };

/* Model engines serve generations, order services non-idempotent requests. */
typedef enum { CARO_UPSTREAM_MODEL, CARO_UPSTREAM_ORDERS } CaroUpstreamKind;

/* A configured upstream with its load and health. */
typedef struct {
    char name[CARO_NAME_SIZE];
    char address[CARO_ADDRESS_SIZE];
    char domain[CARO_NAME_SIZE];
    char deployment[CARO_NAME_SIZE];
    char version[CARO_NAME_SIZE];
    CaroUpstreamKind kind;
    bool is_leaving; /* Drained, or removed from the configuration. */

    int in_flight;          /* Requests of this VM in flight. */
    int reported_running;   /* Running sequences in the last load report. */
    int reported_waiting;   /* Queued requests in the last load report. */
    int capacity;           /* Concurrent sequences; 0 when unknown. */
    CaroTime reported_at;   /* Arrival of the last load report. */
    int started_since;      /* Requests of this VM since that report. */
    CaroTime avoided_until; /* Gets no new requests before this time. */
    int failures;           /* Consecutive failures. */
    bool is_probed;         /* A probe has succeeded since the last failure. */
    int64_t prefill_pending; /* Prompt tokens of this VM awaiting prefill. */
    uint64_t requests_total; /* Attempts started by this VM. */
    uint64_t failures_total; /* Attempts that ended in a failure. */
} CaroUpstream;

typedef struct CaroUpstreams CaroUpstreams;

/* Creates an empty table, or returns NULL.  Destroy accepts NULL. */
CaroUpstreams *CaroUpstreams_Create(void);
void CaroUpstreams_Destroy(CaroUpstreams *t);

/*
 * Adds an upstream, or updates the one with the same name and keeps its
 * load and health.  Names, address, kind and is_leaving are copied from *u.
 * Returns the handle, or CARO_NO_HANDLE when the table is full.
 */
CaroHandle CaroUpstreams_Put(CaroUpstreams *t, const CaroUpstream *u);

/* Enclose the Put calls of a new configuration: EndUpdate marks upstreams that
   were not put since BeginUpdate as leaving. */
void CaroUpstreams_BeginUpdate(CaroUpstreams *t);
void CaroUpstreams_EndUpdate(CaroUpstreams *t);

/* Borrowed upstream; h must be valid. */
CaroUpstream *CaroUpstreams_Get(CaroUpstreams *t, CaroHandle h);
int CaroUpstreams_Count(const CaroUpstreams *t);

/* Returns the handle of the named upstream, or CARO_NO_HANDLE. */
CaroHandle CaroUpstreams_Find(const CaroUpstreams *t, const char *name);

/* Count the start and the end of an attempt. */
void CaroUpstreams_BeginAttempt(CaroUpstreams *t, CaroHandle h);
void CaroUpstreams_EndAttempt(CaroUpstreams *t, CaroHandle h);

/* Stores a load report of the upstream. */
void CaroUpstreams_RecordLoad(CaroUpstreams *t, CaroHandle h, int running,
                              int waiting, int capacity, CaroTime now);

/*
 * A failed upstream gets no new requests for a delay that doubles with each
 * consecutive failure, and after that none until a probe has succeeded.
 * RecordSuccess resets the count; it is called when a generation receives a
 * token.
 */
void CaroUpstreams_RecordFailure(CaroUpstreams *t, CaroHandle h, CaroTime now);
void CaroUpstreams_RecordProbe(CaroUpstreams *t, CaroHandle h);
void CaroUpstreams_RecordSuccess(CaroUpstreams *t, CaroHandle h);

/* Returns whether the delay has passed and a probe is due. */
bool CaroUpstreams_NeedsProbe(const CaroUpstreams *t, CaroHandle h,
                              CaroTime now);

/* Adds to the prompt tokens awaiting prefill; negative after the prefill or
   when the attempt has ended. */
void CaroUpstreams_AddPrefill(CaroUpstreams *t, CaroHandle h, int64_t tokens);

/*
 * Suspect records that a stream of the upstream has become silent: the
 * upstream gets no new requests for a short time, or until RecordHeard
 * records a token from it.
 */
void CaroUpstreams_Suspect(CaroUpstreams *t, CaroHandle h, CaroTime now);
void CaroUpstreams_RecordHeard(CaroUpstreams *t, CaroHandle h, CaroTime now);
bool CaroUpstreams_IsSuspected(const CaroUpstreams *t, CaroHandle h,
                               CaroTime now);

/*
 * Returns the load relative to the capacity: the requests of this VM in
 * flight plus those of others in the load report, weighted by its age, plus
 * a term for this VM's prompt tokens awaiting prefill.
 */
double CaroUpstreams_Load(const CaroUpstreams *t, CaroHandle h, CaroTime now);

/*
 * Returns how many more sequences the upstream can run, by its last report
 * and the requests that this VM has started since; 0 for an old report.
 */
int CaroUpstreams_AvailableSlots(const CaroUpstreams *t, CaroHandle h,
                                 CaroTime now);

/* Returns whether the upstream accepts new requests now. */
bool CaroUpstreams_IsUsable(const CaroUpstreams *t, CaroHandle h,
                            CaroTime now);

/*
 * Returns whether at least two upstreams of the failure domain have become
 * silent or failed recently and none of the domain has sent a token since.
 */
bool CaroUpstreams_IsDomainSuspected(const CaroUpstreams *t,
                                     const char *domain, CaroTime now);

/* Add a sample of the time between two tokens, or to the first token. */
void CaroUpstreams_RecordTokenGap(CaroUpstreams *t, CaroHandle h,
                                  CaroTime gap);
void CaroUpstreams_RecordFirstToken(CaroUpstreams *t, CaroHandle h,
                                    CaroTime wait);

/*
 * Return the wait for the next or the first token after which the upstream
 * counts as silent: a multiple of the 99th percentile of its own samples,
 * limited to floor..ceiling; the ceiling while there are too few samples.
 */
CaroTime CaroUpstreams_SilenceTimeout(const CaroUpstreams *t, CaroHandle h,
                                      CaroTime floor, CaroTime ceiling);
CaroTime CaroUpstreams_FirstTokenTimeout(const CaroUpstreams *t, CaroHandle h,
                                         CaroTime floor, CaroTime ceiling);

#endif
