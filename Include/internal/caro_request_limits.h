/*
 * NAME
 *     caro_request_limits - limits of the requests a second that upstreams
 *     take
 *
 * A limit holds for all VMs together.  They report to each other the limits
 * that responses named, the requests of their callers for each service, and
 * what they sent to limited upstreams; no VM divides the limit.
 *
 * Two rules admit a request.  Each VM sends the limited upstreams of a service
 * the ratio of their limits to all requests for the service, of its own
 * requests (caro_request_allowance.h): a part that follows the callers.  And
 * an upstream that is known to have had as many requests as it takes gets no
 * more, however they were distributed.  Retries and streams that have begun
 * pass the first rule, since giving them up would waste more than a new
 * request.
 *
 * A limit is in force from the response that names it to the first one that
 * does not; of what the VMs saw the latest counts.
 */
#ifndef CARO_REQUEST_LIMITS_H
#define CARO_REQUEST_LIMITS_H

#include "internal/caro_limit_reports.h"

#include <gsl/gsl_rng.h>

typedef struct CaroRequestLimits CaroRequestLimits;

/* A report, and what it points to. */
typedef struct {
    caro_limit_report report; /* The sender's fields are not filled in. */
    caro_target_limit limits[CARO_LIMITS_MAX];
    caro_service_demand demands[CARO_DEMANDS_MAX];
} CaroLimitReport;

/* "targets" and "rng" are borrowed.  Returns NULL when out of memory. */
CaroRequestLimits *CaroRequestLimits_Create(CaroTargets *targets,
                                            gsl_rng *rng);
void CaroRequestLimits_Destroy(CaroRequestLimits *l);

/* Number of VMs in the deployment, for the time before their reports. */
void CaroRequestLimits_SetVms(CaroRequestLimits *l, int vms);

/* A caller's request for the service came in. */
void CaroRequestLimits_RecordDemand(CaroRequestLimits *l, const char *service,
                                    CaroTime now);

/* A response of the target named a limit, in requests a second; or none, with
   "limit" below 0. */
void CaroRequestLimits_RecordResponse(CaroRequestLimits *l, CaroHandle target,
                                      double limit, CaroTime now);

/* Marks the service's targets that take no more requests now as full
   (CaroTarget_IsFull).  The mark holds for the time "now" alone, that is, for
   the placement of one request. */
void CaroRequestLimits_MarkFull(CaroRequestLimits *l, const char *service,
                                CaroTime now);

/*
 * Tells whether a request may be sent to the target now, and counts it as
 * sent.  Otherwise the targets that do not admit it are marked as full.
 * "is_retry" is set for a request that was sent before, and for a stream that
 * has begun.
 */
bool CaroRequestLimits_Take(CaroRequestLimits *l, CaroHandle target,
                            bool is_retry, CaroTime now);

/* Returns whether the limit of the target leaves no room for a request of this
   VM now, as MarkFull would mark it. */
bool CaroRequestLimits_IsOver(const CaroRequestLimits *l, CaroHandle target,
                              CaroTime now);

/* Returns whether this VM's part of the service's limits admits a first
   attempt of a request that came in now and is not recorded.  "rng" takes the
   place of the object's own, and of a service without requests draws its
   phase. */
bool CaroRequestLimits_HasAllowance(const CaroRequestLimits *l,
                                    const char *service, gsl_rng *rng,
                                    CaroTime now);

/* Logs the refusal of a request that no target admits.  Returns after which
   time this VM can probably send another one, behind those that were refused
   before. */
CaroTime CaroRequestLimits_Refuse(CaroRequestLimits *l, const char *service,
                                  const char *id, CaroTime now);

/* Fills *out and returns true when a report is due. */
bool CaroRequestLimits_Collect(CaroRequestLimits *l, CaroLimitReport *out,
                               CaroTime now);

/* Applies another VM's report. */
void CaroRequestLimits_Apply(CaroRequestLimits *l,
                             const caro_limit_report *report, CaroTime now);

/* Returns the limit of the target in requests a second; below 0 for none. */
double CaroRequestLimits_Get(const CaroRequestLimits *l, CaroHandle target);

#endif
