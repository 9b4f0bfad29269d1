/*
 * NAME
 *     caro_limit_reports - what other VMs send to limited upstreams
 *
 * Keeps the last report of each VM, and the sums over all of them.  A VM that
 * stops reporting is forgotten once others have reported for some seconds
 * without it.  When all stop at once, this VM is cut off, and their last
 * reports stay in force: it must not take the whole limit for itself.
 */
#ifndef CARO_LIMIT_REPORTS_H
#define CARO_LIMIT_REPORTS_H

#include "caro_peer.h"
#include "internal/caro_targets.h"

typedef struct CaroLimitReports CaroLimitReports;

/* "targets" is borrowed.  Returns NULL when out of memory. */
CaroLimitReports *CaroLimitReports_Create(const CaroTargets *targets);
void CaroLimitReports_Destroy(CaroLimitReports *r);

/* Replaces the sender's previous report.  Returns false and ignores it when it
   is older than that. */
bool CaroLimitReports_Apply(CaroLimitReports *r,
                            const caro_limit_report *report, CaroTime now);

/* Forgets VMs that have stopped reporting. */
void CaroLimitReports_Expire(CaroLimitReports *r);

/* Requests that the other VMs sent to the target in the last seconds. */
int CaroLimitReports_Sent(const CaroLimitReports *r, CaroHandle target);

/* Requests a second that callers of the other VMs make for the service. */
double CaroLimitReports_Demand(const CaroLimitReports *r,
                               uint32_t service_hash);

/* Number of VMs with a report. */
int CaroLimitReports_CountVms(const CaroLimitReports *r);

#endif
