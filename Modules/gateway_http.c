/* HTTP interfaces of the gateway for readiness, the address directory,
   metrics, state and explanations. */
#include "internal/caro_gateway_http.h"

#include "internal/caro_directory.h"
#include "internal/caro_http_reply.h"
#include "internal/caro_log.h"
#include "internal/caro_name.h"
#include "internal/caro_platform.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bounds of each address, all requests together. */
enum {
    HEAD_BYTES_MAX = 8192,
    BODY_BYTES_MAX = 8192,
    ALL_BODY_BYTES_MAX = 65536,
    HELD_BYTES_MAX = 4 << 20, /* Some responses have a large state. */
    CONNECTIONS_MAX = 1024    /* All callers may ask at one moment. */
};
#define REQUEST_TIMEOUT (5 * CARO_SECOND)

typedef enum {
    ADDRESS_READINESS,
    ADDRESS_DIRECTORY,
    ADDRESS_METRICS,
    ADDRESSES
} AddressKind;

/* A listener and what it serves. */
typedef struct {
    CaroGatewayHttp *http;
    AddressKind kind;
    CaroHttpServer *server; /* NULL: not served. */
} Address;

struct CaroGatewayHttp {
    Address addresses[ADDRESSES];
    const CaroGatewayHttpHandlers *handlers;
    void *context;
    double address_ttl_s;
};

static void
send_readiness(CaroGatewayHttp *h, CaroCall *req)
{
    bool is_ready = h->handlers->is_ready(h->context);
    CaroHttp_SendText(req, is_ready ? 200 : 503,
                      is_ready ? "ready\n" : "not ready\n");
}

static void
send_addresses(CaroGatewayHttp *h, CaroCall *req)
{
    const char *addresses[CARO_DIRECTORY_MAX];
    char wanted[HEAD_BYTES_MAX];
    char domain[CARO_NAME_SIZE];
    bool has_domain = CaroHttp_Query(req, CaroPlatform_DomainParameter(),
                                     wanted, sizeof(wanted));
    CaroName_Set(domain, has_domain ? wanted : NULL);
    int n = h->handlers->list_addresses(h->context, has_domain ? domain : NULL,
                                        addresses, CARO_DIRECTORY_MAX);
    char *text =
        n == 0 ? NULL
               : CaroPlatform_WriteAddresses(addresses, n, h->address_ttl_s);
    if (text == NULL) {
        CaroHttp_SendText(req, 503, "no VM is known to be ready\n");
        return;
    }
    json_t *value = json_loads(text, 0, NULL);
    CaroHttp_SendJson(req, 200, value);
    json_decref(value);
    free(text);
}

static void
send_metrics(CaroGatewayHttp *h, CaroCall *req)
{
    const CaroCounters *c = h->handlers->get_counters(h->context);
    struct evbuffer *buf = evbuffer_new();
    if (buf == NULL) {
        CaroHttp_SendText(req, 500, "no memory\n");
        return;
    }
    for (int i = 0; i < CARO_COUNTERS; i++) {
        evbuffer_add_printf(buf, "%s %llu\n",
                            CaroCounters_Name((CaroCounter)i),
                            (unsigned long long)c->values[i]);
    }
    CaroHttpFault_WriteCounters(buf);
    h->handlers->write_latency(h->context, buf);
    CaroHttp_SendBytes(req, 200, "text/plain",
                       (const char *)evbuffer_pullup(buf, -1),
                       evbuffer_get_length(buf));
    evbuffer_free(buf);
}

static void
send_state(CaroGatewayHttp *h, CaroCall *req)
{
    json_t *state = h->handlers->get_state(h->context);
    CaroHttp_SendJson(req, 200, state);
    json_decref(state);
}

/* Reads a parameter; returns NULL if it is absent. */
static const char *
read_parameter(CaroCall *req, const char *name, char out[HEAD_BYTES_MAX])
{
    return CaroHttp_Query(req, name, out, HEAD_BYTES_MAX) ? out : NULL;
}

/* The key is read from its usual header, so that it is in no URI. */
static void
send_explanation(CaroGatewayHttp *h, CaroCall *req)
{
    char host[HEAD_BYTES_MAX];
    char path[HEAD_BYTES_MAX];
    char account[HEAD_BYTES_MAX];
    char tokens[HEAD_BYTES_MAX];
    char parts[HEAD_BYTES_MAX];
    CaroPromptParts parsed;
    CaroExplainRequest request = {
        .host = read_parameter(req, "host", host),
        .path = read_parameter(req, "path", path),
        .account = read_parameter(req, "account", account),
        .parts = read_parameter(req, "parts", parts),
        .key = CaroHttp_Header(req,
                               CaroPlatform_HeaderName(CARO_HEADER_API_KEY))};
    const char *number = read_parameter(req, "tokens", tokens);
    CaroText text = {number, number == NULL ? 0 : strlen(number)};
    if (request.host == NULL || request.path == NULL) {
        CaroHttp_SendText(req, 400, "host and path are needed\n");
        return;
    }
    if (number != NULL && !CaroText_ToNumber(text, &request.tokens)) {
        CaroHttp_SendText(req, 400, "tokens is not a number\n");
        return;
    }
    if (request.parts != NULL &&
        CaroPlatform_ReadPromptParts(
            (CaroText){request.parts, strlen(request.parts)}, &parsed) < 0) {
        CaroHttp_SendText(req, 400, "parts is not ID:TOKENS,...\n");
        return;
    }
    json_t *explanation = h->handlers->explain(h->context, &request);
    if (explanation == NULL) {
        CaroHttp_SendText(req, 500, "no memory\n");
        return;
    }
    CaroHttp_SendJson(req, 200, explanation);
    json_decref(explanation);
}

static void
on_request(void *context, CaroCall *req)
{
    const Address *a = context;
    CaroText path = CaroHttp_Path(req);
    switch (a->kind) {
    case ADDRESS_READINESS:
        if (CaroText_Equals(path, CaroPlatform_ReadyPath())) {
            send_readiness(a->http, req);
            return;
        }
        break;
    case ADDRESS_DIRECTORY:
        if (CaroText_Equals(path, CaroPlatform_AddressesPath())) {
            send_addresses(a->http, req);
            return;
        }
        break;
    case ADDRESS_METRICS:
        if (CaroText_Equals(path, "/metrics")) {
            send_metrics(a->http, req);
            return;
        }
        if (CaroText_Equals(path, "/state")) {
            send_state(a->http, req);
            return;
        }
        if (CaroText_Equals(path, "/where")) {
            send_explanation(a->http, req);
            return;
        }
        break;
    case ADDRESSES:
        break;
    }
    CaroHttp_SendText(req, 404, "no such path\n");
}

static void
on_refused(void *context, const char *peer, int status, const char *reason)
{
    (void)context;
    CaroLog_Info("http",
                 "A connection was refused. peer=%s status=%d reason=\"%s\"",
                 peer, status, reason);
}

static void
on_shed(void *context, const char *peer, size_t held)
{
    (void)context;
    CaroLog_Info("http", "A connection was shed. peer=%s held_bytes=%zu", peer,
                 held);
}

static const CaroHttpServerHandlers server_handlers = {
    .on_request = on_request, .on_refused = on_refused, .on_shed = on_shed};

/* Returns whether the address is served; sets *err if it is not. */
static bool
listen_at(CaroGatewayHttp *h, struct event_base *base, const char *address,
          AddressKind kind, CaroError *err)
{
    static const CaroHttpServerLimits limits = {
        .held_bytes_max = HELD_BYTES_MAX,
        .head_bytes_max = HEAD_BYTES_MAX,
        .body_bytes_max = BODY_BYTES_MAX,
        .all_bytes_max = ALL_BODY_BYTES_MAX,
        .connections_max = CONNECTIONS_MAX,
        .head_timeout = REQUEST_TIMEOUT,
        .idle_timeout = REQUEST_TIMEOUT,
        .write_timeout = REQUEST_TIMEOUT};
    Address *a = &h->addresses[kind];
    *a = (Address){.http = h, .kind = kind};
    a->server = CaroHttpServer_Create(base, address, &limits, &server_handlers,
                                      a, err);
    return a->server != NULL;
}

CaroGatewayHttp *
CaroGatewayHttp_Create(struct event_base *base,
                       const CaroGatewaySettings *settings,
                       const CaroGatewayHttpHandlers *handlers, void *context,
                       CaroError *err)
{
    /* Callers that keep an address for longer than this may use that of a VM
       that has stopped. */
    const double ttl_max_s = 2.0;
    char metrics[CARO_ADDRESS_SIZE];
    CaroGatewayHttp *h = calloc(1, sizeof(*h));
    if (h == NULL) {
        (void)CaroError_Set(err, CARO_ERR_NOMEM, "listen",
                            settings->readiness_address, "no memory");
        return NULL;
    }
    h->handlers = handlers;
    h->context = context;
    h->address_ttl_s = settings->address_ttl_s < ttl_max_s
                           ? settings->address_ttl_s
                           : ttl_max_s;
    if (!listen_at(h, base, settings->readiness_address, ADDRESS_READINESS,
                   err) ||
        !listen_at(h, base, settings->directory_address, ADDRESS_DIRECTORY,
                   err)) {
        goto error;
    }
    if (settings->metrics_port != 0) {
        (void)snprintf(metrics, sizeof(metrics), "%.30s:%d", settings->host,
                       (int)settings->metrics_port);
        if (!listen_at(h, base, metrics, ADDRESS_METRICS, err)) {
            goto error;
        }
    }
    return h;
error:
    CaroGatewayHttp_Destroy(h);
    return NULL;
}

void
CaroGatewayHttp_Destroy(CaroGatewayHttp *h)
{
    if (h == NULL) {
        return;
    }
    for (int i = 0; i < ADDRESSES; i++) {
        CaroHttpServer_Destroy(h->addresses[i].server);
    }
    free(h);
}
