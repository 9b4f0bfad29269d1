/*
 * NAME
 *     caro_order_handler - HTTP requests of callers to order services
 *
 * Handles /v1/orders/SERVICE/...: orders by POST, which run at most once, and
 * lookups by GET, which are idempotent and retried at other upstreams.
 */
#ifndef CARO_ORDER_HANDLER_H
#define CARO_ORDER_HANDLER_H

#include "internal/caro_config.h"
#include "internal/caro_order_coordinator.h"

#include "internal/caro_http_server.h"

typedef struct CaroOrderHandler CaroOrderHandler;

/* Returns a new object that the caller owns, or NULL when out of memory.
   The coordinator is borrowed. */
CaroOrderHandler *CaroOrderHandler_Create(const CaroCommon *common,
                                          CaroOrderCoordinator *coordinator);
void CaroOrderHandler_Destroy(CaroOrderHandler *handler);

/* Handles an order or a lookup and answers it, now or later.  "config" is
   NULL while this VM has no configuration. */
void CaroOrderHandler_Handle(CaroOrderHandler *handler, CaroCall *req,
                             const CaroConfig *config, CaroTime now);

#endif
