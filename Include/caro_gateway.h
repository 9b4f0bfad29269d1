/*
 * NAME
 *     caro_gateway - one VM of the gateway on the users' platform
 *
 * Forwards callers' requests by the operator's routes, keeps its copy of the
 * platform's store up to date, and exchanges state with the other VMs.
 */
#ifndef CARO_GATEWAY_H
#define CARO_GATEWAY_H

#include "caro_gateway_settings.h"

#include <event2/event.h>

typedef struct CaroGateway CaroGateway;

/* Starts to serve on the loop; the settings are copied.  Fills *err and
   returns NULL when out of memory or an address cannot be bound. */
CaroGateway *CaroGateway_Create(struct event_base *base,
                                const CaroGatewaySettings *settings,
                                CaroError *err);

/* Closes all connections at once. */
void CaroGateway_Destroy(CaroGateway *g);

/* Begins a planned stop: announces to the other VMs that this one is leaving,
   and ends the loop when the responses in progress have been sent, or shortly
   before the grace period of the settings is over. */
void CaroGateway_Stop(CaroGateway *g);

/* Applies settings that were read again.  Seeds, the age limit of the
   configuration and the grace period change at once; changed addresses are
   logged and need a restart. */
void CaroGateway_Reload(CaroGateway *g, const CaroGatewaySettings *settings);

#endif
