/*
 * NAME
 *     caro_service_rollouts - moves of services' traffic that the operator
 * ordered
 *
 * Follows each order, picks the version of each request, takes samples of
 * how the versions do, and writes what becomes of the order.  Every VM
 * may take a version back by its own evidence; one that all VMs know by
 * its rank says that an order runs or is done, the others only when that
 * does not happen.
 */
#ifndef CARO_SERVICE_ROLLOUTS_H
#define CARO_SERVICE_ROLLOUTS_H

#include "caro_peer.h"
#include "internal/caro_platform.h"
#include "internal/caro_store_client.h"

#include <jansson.h>

typedef struct CaroServiceRollouts CaroServiceRollouts;

/* Which versions a request may go to. */
typedef enum {
    CARO_VERSION_ANY,
    CARO_VERSION_ONLY,
    CARO_VERSION_NOT
} CaroVersionRule;

/* The client is borrowed; "most" is the share that may be exposed, and
   "slack" the requests besides. */
CaroServiceRollouts *CaroServiceRollouts_Create(CaroStoreClient *client,
                                                double most, double slack);
void CaroServiceRollouts_Destroy(CaroServiceRollouts *m);

/* This VM's rank among so many; the first ranks write first. */
void CaroServiceRollouts_SetRank(CaroServiceRollouts *m, int rank, int vms);

/* An order or its outcome as the store has it; bytes NULL: removed. */
void CaroServiceRollouts_OnRequest(CaroServiceRollouts *m, const char *service,
                                   const char *bytes, size_t size,
                                   int64_t revision, CaroTime now);
void CaroServiceRollouts_OnOutcome(CaroServiceRollouts *m, const char *service,
                                   const char *bytes, size_t size,
                                   int64_t revision);

/*
 * The rule for one request; "draw" is uniform in [0, 1).  *version is
 * borrowed until the next order.
 */
CaroVersionRule CaroServiceRollouts_Pick(CaroServiceRollouts *m,
                                         const char *service, double draw,
                                         const char **version, CaroTime now);

/* A request ended at an upstream of the version after "took". */
void CaroServiceRollouts_AddSample(CaroServiceRollouts *m, const char *service,
                                   const char *version, const char *route,
                                   bool is_failed, CaroTime took,
                                   CaroTime now);

/* Evidence for other VMs; returns the count. */
int CaroServiceRollouts_CollectEvidence(
    const CaroServiceRollouts *m,
    caro_rollout_evidence news[CARO_ROLLOUTS_MAX]);

/* Takes the evidence of the VM with that handle. */
void CaroServiceRollouts_ApplyEvidence(CaroServiceRollouts *m, CaroHandle vm,
                                       const caro_rollout_evidence *news,
                                       int count);

/* There is new evidence since the last call. */
bool CaroServiceRollouts_ConsumeChange(CaroServiceRollouts *m);

/* The moves and their evidence, for reports; the caller owns it. */
json_t *CaroServiceRollouts_Dump(const CaroServiceRollouts *m);

void CaroServiceRollouts_Tick(CaroServiceRollouts *m, CaroTime now);

#endif
