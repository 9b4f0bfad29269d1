/*
 * NAME
 *     caro_gateway_http - readiness, directory, counters and state
 */
#ifndef CARO_GATEWAY_HTTP_H
#define CARO_GATEWAY_HTTP_H

#include "caro_gateway_settings.h"
#include "internal/caro_counters.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>

typedef struct CaroGatewayHttp CaroGatewayHttp;

typedef struct {
    bool (*is_ready)(void *context);
    /* Addresses for a caller of the domain (NULL when it names none);
       returns the count, 0 when none is known.  Borrowed. */
    int (*list_addresses)(void *context, const char *domain, const char **out,
                          int most);
    const CaroCounters *(*get_counters)(void *context);
    /* Writes the latency histograms as text. */
    void (*write_latency)(void *context, struct evbuffer *out);
    /* The state of the process; the caller owns the value. */
    json_t *(*get_state)(void *context);
} CaroGatewayHttpHandlers;

/* Listens on the readiness, directory and metrics addresses. */
CaroGatewayHttp *CaroGatewayHttp_Create(
    struct event_base *base, const CaroGatewaySettings *settings,
    const CaroGatewayHttpHandlers *handlers, void *context, CaroError *err);
void CaroGatewayHttp_Destroy(CaroGatewayHttp *h);

#endif
