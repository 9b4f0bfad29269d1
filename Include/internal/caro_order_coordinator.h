/*
 * NAME
 *     caro_order_coordinator - non-idempotent requests of the product's
 * interface
 *
 * This VM as the arbiter of an order, as its backup, or as neither.  See
 * docs/design/orders.md.
 */
#ifndef CARO_ORDER_COORDINATOR_H
#define CARO_ORDER_COORDINATOR_H

#include "internal/caro_common.h"

typedef struct CaroOrderCoordinator CaroOrderCoordinator;

/* The outcome is borrowed during the call-back. */
typedef void (*CaroOrderDone)(void *context, const caro_order_outcome *out);

CaroOrderCoordinator *CaroOrderCoordinator_Create(const CaroCommon *common);
void CaroOrderCoordinator_Destroy(CaroOrderCoordinator *d);

/* Runs an order here or has another VM run it.  "done" is called once,
   perhaps before this returns. */
void CaroOrderCoordinator_Run(CaroOrderCoordinator *d,
                              const caro_order_forward *order,
                              CaroOrderDone done, void *context, CaroTime now);

/* Calls of other VMs. */
void CaroOrderCoordinator_OnIntent(CaroOrderCoordinator *d,
                                   const caro_order_intent *args,
                                   caro_order_outcome *out, CaroTime now);
void CaroOrderCoordinator_OnOutcome(CaroOrderCoordinator *d,
                                    const caro_order_outcome *args,
                                    CaroTime now);
void CaroOrderCoordinator_OnDecide(CaroOrderCoordinator *d,
                                   const caro_order_decide *args,
                                   caro_order_outcome *out, CaroTime now);
void CaroOrderCoordinator_OnForward(CaroOrderCoordinator *d,
                                    CaroRpcRequest *request,
                                    const caro_order_forward *args,
                                    CaroTime now);

/* The least loaded upstream of a service but those tried, also one that has
   failed; or no handle. */
CaroHandle CaroOrderCoordinator_ChooseUpstream(CaroOrderCoordinator *d,
                                               const char *service,
                                               const CaroHandle *tried,
                                               int n_tried);

/* Forgets records that were last used before that time. */
void CaroOrderCoordinator_Expire(CaroOrderCoordinator *d, CaroTime before);

/* Orders in work here, and records kept. */
int CaroOrderCoordinator_CountRunning(const CaroOrderCoordinator *d);
int CaroOrderCoordinator_CountRecords(const CaroOrderCoordinator *d);

#endif
