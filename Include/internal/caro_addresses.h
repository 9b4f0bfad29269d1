/*
 * NAME
 *     caro_addresses - the answer to "which address" of the product's own
 *     interface
 */
#ifndef CARO_ADDRESSES_H
#define CARO_ADDRESSES_H

#include "internal/caro_common.h"

#include <event2/http.h>

/* Answers with usable VMs and a ticket for orders. */
void CaroAddresses_Handle(const CaroCommon *common, struct evhttp_request *req,
                          CaroTime now);

#endif
