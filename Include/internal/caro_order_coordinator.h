/*
 * NAME
 *     caro_order_coordinator - runs non-idempotent requests (orders) at most
 *     once
 *
 * An order's idempotency key names two VMs: the arbiter, which alone may
 * dispatch the order to a service, and the backup, which records the intent
 * before the dispatch.  This type implements both roles, and that of any
 * other VM that receives the order from a caller.  docs/design/orders.md has
 * the protocol.
 */
#ifndef CARO_ORDER_COORDINATOR_H
#define CARO_ORDER_COORDINATOR_H

#include "internal/caro_common.h"

typedef struct CaroOrderCoordinator CaroOrderCoordinator;

/* Reports the outcome, which is borrowed during the callback. */
typedef void (*CaroOrderDone)(void *context, const caro_order_outcome *out);

/* Returns a new object that the caller owns, or NULL when out of memory. */
CaroOrderCoordinator *CaroOrderCoordinator_Create(const CaroCommon *common);
void CaroOrderCoordinator_Destroy(CaroOrderCoordinator *c);

/* Runs an order on this VM, or forwards it to the arbiter that its key names.
   "done" is called exactly once, possibly before this function returns. */
void CaroOrderCoordinator_Run(CaroOrderCoordinator *c,
                              const caro_order_forward *forward,
                              CaroOrderDone done, void *context, CaroTime now);

/*
 * Handlers of calls from other VMs.  OnIntent and OnDecide set *out, whose key
 * and body are borrowed from the order's record.  OnForward replies when the
 * outcome is known, and not at all when this VM is not the arbiter.
 */
void CaroOrderCoordinator_OnIntent(CaroOrderCoordinator *c,
                                   const caro_order_intent *args,
                                   caro_order_outcome *out, CaroTime now);
void CaroOrderCoordinator_OnOutcome(CaroOrderCoordinator *c,
                                    const caro_order_outcome *args,
                                    CaroTime now);
void CaroOrderCoordinator_OnDecide(CaroOrderCoordinator *c,
                                   const caro_order_decide *args,
                                   caro_order_outcome *out, CaroTime now);
void CaroOrderCoordinator_OnForward(CaroOrderCoordinator *c,
                                    CaroRpcRequest *request,
                                    const caro_order_forward *args,
                                    CaroTime now);

/* Returns the least loaded upstream of an order service that is not in
   "tried", or CARO_NO_HANDLE.  Recently failed upstreams are eligible. */
CaroHandle CaroOrderCoordinator_ChooseUpstream(CaroOrderCoordinator *c,
                                               const char *service,
                                               const CaroHandle *tried,
                                               int n_tried);

/* Deletes order records that were last used before that time. */
void CaroOrderCoordinator_Expire(CaroOrderCoordinator *c, CaroTime before);

/* Number of orders that this VM runs as the arbiter. */
int CaroOrderCoordinator_CountRunning(const CaroOrderCoordinator *c);
/* Number of order records held, as the arbiter or as the backup. */
int CaroOrderCoordinator_CountRecords(const CaroOrderCoordinator *c);

#endif
