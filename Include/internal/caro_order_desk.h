/*
 * NAME
 *     caro_order_desk - non-idempotent requests of the product's interface
 *
 * This VM as the arbiter of an order, as its backup, or as neither.  See
 * docs/design/orders.md.
 */
#ifndef CARO_ORDER_DESK_H
#define CARO_ORDER_DESK_H

#include "internal/caro_common.h"

typedef struct CaroOrderDesk CaroOrderDesk;

/* The outcome is borrowed during the call-back. */
typedef void (*CaroOrderDone)(void *context, const caro_order_outcome *out);

CaroOrderDesk *CaroOrderDesk_Create(const CaroCommon *common);
void CaroOrderDesk_Destroy(CaroOrderDesk *d);

/* Runs an order here or has another VM run it.  "done" is called once,
   perhaps before this returns. */
void CaroOrderDesk_Run(CaroOrderDesk *d, const caro_order_forward *order,
                       CaroOrderDone done, void *context, CaroTime now);

/* Calls of other VMs. */
void CaroOrderDesk_OnIntent(CaroOrderDesk *d, const caro_order_intent *args,
                            caro_order_outcome *out, CaroTime now);
void CaroOrderDesk_OnOutcome(CaroOrderDesk *d, const caro_order_outcome *args,
                             CaroTime now);
void CaroOrderDesk_OnDecide(CaroOrderDesk *d, const caro_order_decide *args,
                            caro_order_outcome *out, CaroTime now);
void CaroOrderDesk_OnForward(CaroOrderDesk *d, CaroRpcRequest *request,
                             const caro_order_forward *args, CaroTime now);

/* The least loaded upstream of a service but those tried, also one that has
   failed; or no handle. */
CaroHandle CaroOrderDesk_ChooseService(CaroOrderDesk *d, const char *service,
                                       const CaroHandle *tried, int n_tried);

/* Forgets records that were last used before that time. */
void CaroOrderDesk_Expire(CaroOrderDesk *d, CaroTime before);

/* Orders in work here, and records kept. */
int CaroOrderDesk_Running(const CaroOrderDesk *d);
int CaroOrderDesk_Records(const CaroOrderDesk *d);

#endif
