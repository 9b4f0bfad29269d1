/*
 * NAME
 *     caro_service_rollouts - rollouts of services to a new version, as the
 *     operator requests them
 *
 * Follows each rollout request in the store, chooses the version rule of
 * each request, collects samples of both versions, and writes the outcome
 * of the rollout to the store.  Every VM may roll a version back on its own
 * evidence.  The start and the end of a rollout are written by the VM of
 * the lowest rank; a VM of a higher rank writes them only when this has not
 * happened within a delay that grows with its rank.
 */
#ifndef CARO_SERVICE_ROLLOUTS_H
#define CARO_SERVICE_ROLLOUTS_H

#include "caro_peer.h"
#include "internal/caro_platform.h"
#include "internal/caro_store_client.h"
#include "internal/caro_usual_times.h"

#include <jansson.h>

typedef struct CaroServiceRollouts CaroServiceRollouts;

/* Versions that a request may be sent to. */
typedef enum {
    CARO_VERSION_ANY,  /* No rollout restricts the request. */
    CARO_VERSION_ONLY, /* Only upstreams of the named version. */
    CARO_VERSION_NOT   /* Only upstreams of other versions. */
} CaroVersionRule;

/*
 * The client is borrowed.  "exposure_max" is the mean share of requests,
 * 0 to 1, that may be sent to an unproven version, and "request_allowance"
 * the number of requests that may be sent there beyond it.  Returns NULL
 * when out of memory.
 */
CaroServiceRollouts *CaroServiceRollouts_Create(CaroStoreClient *client,
                                                double exposure_max,
                                                double request_allowance);
void CaroServiceRollouts_Destroy(CaroServiceRollouts *r);

/* Sets this VM's rank, from 0, among n_vms usable VMs.  Lower ranks write
   outcomes first. */
void CaroServiceRollouts_SetRank(CaroServiceRollouts *r, int rank, int n_vms);

/* Applies a rollout request or an outcome read from the store.  "bytes" is
   NULL when the key was deleted. */
void CaroServiceRollouts_OnRequest(CaroServiceRollouts *r, const char *service,
                                   const char *bytes, size_t size,
                                   CaroRevision revision, CaroTime now);
void CaroServiceRollouts_OnOutcome(CaroServiceRollouts *r, const char *service,
                                   const char *bytes, size_t size,
                                   CaroRevision revision);

/*
 * The store was restored from an older copy, at "now": outcomes that this VM
 * knows may be missing there, or older ones may be in their place.  Nothing is
 * written until OnListed, which ends the reading of a list up to a revision at
 * least; then the outcomes that the store lacks are written again.
 */
void CaroServiceRollouts_OnStoreRestored(CaroServiceRollouts *r, CaroTime now);
void CaroServiceRollouts_OnListed(CaroServiceRollouts *r,
                                  CaroRevision revision);

/*
 * Chooses the version rule of one request; "draw" is uniform in [0, 1).
 * Unless the rule is CARO_VERSION_ANY, *version is set to the version that
 * it names, borrowed until the next rollout request.
 */
CaroVersionRule CaroServiceRollouts_ChooseVersion(CaroServiceRollouts *r,
                                                  const char *service,
                                                  double draw,
                                                  const char **version,
                                                  CaroTime now);

/* Likewise, without counting the request. */
CaroVersionRule CaroServiceRollouts_PeekVersion(const CaroServiceRollouts *r,
                                                const char *service,
                                                double draw,
                                                const char **version,
                                                CaroTime now);

/*
 * An attempt of a request at an upstream, as the rollout of its service sees
 * it.  The caller sets the upper fields at the start; the names are borrowed.
 */
typedef struct {
    CaroWork work;
    const char *version; /* Of the upstream. */
    bool is_stream;
    bool is_excused; /* It may be slow for another reason than its version. */
    bool has_wait_sample; /* The wait was judged, or isn't measured. */
    CaroTime started_at;

    bool has_pace_sample;
    bool is_bad;             /* A bad sample was taken: take no other. */
    CaroTime first_event_at; /* 0 before the first event. */
    int n_events;            /* Events after the first. */
    CaroTime run_started_at; /* Start of the current CARO_PACE_EVENTS. */
    CaroTime shortest_run;   /* Of CARO_PACE_EVENTS events; 0 for none. */
} CaroRolloutAttempt;

/* How an attempt ended. */
typedef enum {
    CARO_ATTEMPT_ANSWERED,
    CARO_ATTEMPT_FAILED,
    CARO_ATTEMPT_LATE /* Given up after a timeout. */
} CaroAttemptResult;

/* Records that the attempt, a stream, has received "n" events. */
void CaroServiceRollouts_OnEvents(CaroServiceRollouts *r,
                                  CaroRolloutAttempt *a, int n, CaroTime now);

/* Records the end of the attempt. */
void CaroServiceRollouts_OnEnd(CaroServiceRollouts *r, CaroRolloutAttempt *a,
                               CaroAttemptResult result, CaroTime now);

/* Returns whether there is a rollout without an outcome. */
bool CaroServiceRollouts_IsActive(const CaroServiceRollouts *r);

/* Takes a bad sample if the attempt is in progress for longer than usual; to
   be called often while a rollout is active. */
void CaroServiceRollouts_CheckOverdue(CaroServiceRollouts *r,
                                      CaroRolloutAttempt *a, CaroTime now);

/* Collects this VM's evidence for the other VMs; returns the count. */
int CaroServiceRollouts_CollectEvidence(
    const CaroServiceRollouts *r,
    caro_rollout_evidence evidence[CARO_ROLLOUTS_MAX]);

/* Applies evidence received from the VM with that handle; boot_id tells its
   starts apart. */
void CaroServiceRollouts_ApplyEvidence(CaroServiceRollouts *r, CaroHandle vm,
                                       uint64_t boot_id,
                                       const caro_rollout_evidence *evidence,
                                       int count);

/* Returns whether there is evidence that was added since the last call, and
   clears the mark. */
bool CaroServiceRollouts_ConsumeChange(CaroServiceRollouts *r);

/* The rollouts and their evidence as a JSON array, for reports; the caller
   owns it. */
json_t *CaroServiceRollouts_Dump(const CaroServiceRollouts *r);

/* Runs the tests and writes the outcomes that are due; to be called several
   times a second. */
void CaroServiceRollouts_Tick(CaroServiceRollouts *r, CaroTime now);

#endif
