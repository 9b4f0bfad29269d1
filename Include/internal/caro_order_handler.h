/*
 * NAME
 *     caro_order_handler - the callers' side of order services
 */
#ifndef CARO_ORDER_HANDLER_H
#define CARO_ORDER_HANDLER_H

#include "internal/caro_config.h"
#include "internal/caro_order_coordinator.h"

#include <event2/http.h>

typedef struct CaroOrderHandler CaroOrderHandler;

/* The desk is borrowed. */
CaroOrderHandler *CaroOrderHandler_Create(const CaroCommon *common,
                                          CaroOrderCoordinator *desk);
void CaroOrderHandler_Destroy(CaroOrderHandler *f);

/* Answers an order or a lookup; "config" may be NULL before the first. */
void CaroOrderHandler_Handle(CaroOrderHandler *f, struct evhttp_request *req,
                             const CaroConfig *config, CaroTime now);

#endif
