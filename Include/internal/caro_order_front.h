/*
 * NAME
 *     caro_order_front - the callers' side of order services
 */
#ifndef CARO_ORDER_FRONT_H
#define CARO_ORDER_FRONT_H

#include "internal/caro_config.h"
#include "internal/caro_order_desk.h"

#include <event2/http.h>

typedef struct CaroOrderFront CaroOrderFront;

/* The desk is borrowed. */
CaroOrderFront *CaroOrderFront_Create(const CaroCommon *common,
                                      CaroOrderDesk *desk);
void CaroOrderFront_Destroy(CaroOrderFront *f);

/* Answers an order or a lookup; "config" may be NULL before the first. */
void CaroOrderFront_Take(CaroOrderFront *f, struct evhttp_request *req,
                         const CaroConfig *config, CaroTime now);

#endif
