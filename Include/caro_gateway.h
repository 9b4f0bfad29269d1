/*
 * NAME
 *     caro_gateway - the entry VM on the users' platform
 *
 * Forwards callers' requests by the operator's routes, keeps what it needs
 * to know in step with the platform's store, and finds the other VMs.
 */
#ifndef CARO_GATEWAY_H
#define CARO_GATEWAY_H

#include "caro_gateway_settings.h"

#include <event2/event.h>

typedef struct CaroGateway CaroGateway;

/* Starts to serve on the loop; the settings are copied.  Returns NULL with
 *err filled when an address cannot be had. */
CaroGateway *CaroGateway_Create(struct event_base *base,
                                const CaroGatewaySettings *settings,
                                CaroError *err);

/* Ends all at once. */
void CaroGateway_Destroy(CaroGateway *g);

/* A planned stop: the loop ends once the running answers have. */
void CaroGateway_Stop(CaroGateway *g);

/* Takes settings that were read anew; what cannot change while it runs is
   logged and left. */
void CaroGateway_Reload(CaroGateway *g, const CaroGatewaySettings *settings);

#endif
