/*
 * NAME
 *     caro_addresses - HTTP handler of GET /v1/addresses
 */
#ifndef CARO_ADDRESSES_H
#define CARO_ADDRESSES_H

#include "internal/caro_common.h"

#include "internal/caro_http_server.h"

/* Sends the HTTP addresses of VMs that a caller can use, how long they are
   valid, and a ticket for orders, which is empty when there is none. */
void CaroAddresses_Handle(const CaroCommon *common, CaroCall *req,
                          CaroTime now);

#endif
