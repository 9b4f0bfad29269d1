/*
 * NAME
 *     caro_gateway_http - HTTP interfaces of the gateway for readiness, the
 *     address directory, metrics, state and explanations
 */
#ifndef CARO_GATEWAY_HTTP_H
#define CARO_GATEWAY_HTTP_H

#include "caro_gateway_settings.h"
#include "internal/caro_counters.h"
#include "internal/caro_gateway_explain.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>

typedef struct CaroGatewayHttp CaroGatewayHttp;

typedef struct {
    bool (*is_ready)(void *context);
    /* Writes at most "max" addresses, borrowed, for a caller in the failure
       domain (NULL when the caller names none).  Returns the count. */
    int (*list_addresses)(void *context, const char *domain, const char **out,
                          int max);
    const CaroCounters *(*get_counters)(void *context);
    /* Writes the latency histograms as text. */
    void (*write_latency)(void *context, struct evbuffer *out);
    /* Returns the state of the process as JSON; the caller owns it. */
    json_t *(*get_state)(void *context);
    /* Explains a request that is not sent, likewise; NULL without memory. */
    json_t *(*explain)(void *context, const CaroExplainRequest *request);
} CaroGatewayHttpHandlers;

/* Listens on the readiness and directory addresses and, unless its port is 0,
   on the metrics port.  The handlers are borrowed.  Returns NULL with *err
   filled when out of memory or an address cannot be bound. */
CaroGatewayHttp *CaroGatewayHttp_Create(
    struct event_base *base, const CaroGatewaySettings *settings,
    const CaroGatewayHttpHandlers *handlers, void *context, CaroError *err);
void CaroGatewayHttp_Destroy(CaroGatewayHttp *h);

#endif
