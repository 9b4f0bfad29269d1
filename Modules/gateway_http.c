/* HTTP interfaces of the gateway for readiness, the address directory, metrics
   state and explanations, over evhttp. */
#include "internal/caro_gateway_http.h"

#include "internal/caro_directory.h"
#include "internal/caro_http.h"
#include "internal/caro_name.h"
#include "internal/caro_platform.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { SERVERS = 3, HEAD_BYTES_MAX = 8192 };
#define REQUEST_TIMEOUT_S 5

struct CaroGatewayHttp {
    struct evhttp *servers[SERVERS];
    const CaroGatewayHttpHandlers *handlers;
    void *context;
    double address_ttl_s;
};

static void
on_ready(struct evhttp_request *req, void *arg)
{
    CaroGatewayHttp *h = arg;
    bool is_ready = h->handlers->is_ready(h->context);
    CaroHttp_SendText(req, is_ready ? HTTP_OK : HTTP_SERVUNAVAIL,
                      is_ready ? "ready\n" : "not ready\n");
}

static void
on_addresses(struct evhttp_request *req, void *arg)
{
    CaroGatewayHttp *h = arg;
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
        CaroHttp_SendText(req, HTTP_SERVUNAVAIL,
                          "no VM is known to be ready\n");
        return;
    }
    json_t *value = json_loads(text, 0, NULL);
    CaroHttp_SendJson(req, HTTP_OK, value);
    json_decref(value);
    free(text);
}

static void
on_metrics(struct evhttp_request *req, void *arg)
{
    CaroGatewayHttp *h = arg;
    const CaroCounters *c = h->handlers->get_counters(h->context);
    struct evbuffer *buf = evbuffer_new();
    if (buf == NULL) {
        evhttp_send_error(req, HTTP_INTERNAL, NULL);
        return;
    }
    for (int i = 0; i < CARO_COUNTERS; i++) {
        evbuffer_add_printf(buf, "%s %llu\n",
                            CaroCounters_Name((CaroCounter)i),
                            (unsigned long long)c->values[i]);
    }
    CaroHttpFault_WriteCounters(buf);
    h->handlers->write_latency(h->context, buf);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "text/plain");
    evhttp_send_reply(req, HTTP_OK, NULL, buf);
    evbuffer_free(buf);
}

static void
on_state(struct evhttp_request *req, void *arg)
{
    CaroGatewayHttp *h = arg;
    json_t *state = h->handlers->get_state(h->context);
    CaroHttp_SendJson(req, HTTP_OK, state);
    json_decref(state);
}

/* Reads a parameter; returns NULL if it is absent. */
static const char *
read_parameter(struct evhttp_request *req, const char *name,
               char out[HEAD_BYTES_MAX])
{
    return CaroHttp_Query(req, name, out, HEAD_BYTES_MAX) ? out : NULL;
}

/* The key is read from its usual header, so that it is in no URI. */
static void
on_where(struct evhttp_request *req, void *arg)
{
    CaroGatewayHttp *h = arg;
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
        CaroHttp_SendText(req, HTTP_BADREQUEST, "host and path are needed\n");
        return;
    }
    if (number != NULL && !CaroText_ToNumber(text, &request.tokens)) {
        CaroHttp_SendText(req, HTTP_BADREQUEST, "tokens is not a number\n");
        return;
    }
    if (request.parts != NULL &&
        CaroPlatform_ReadPromptParts(
            (CaroText){request.parts, strlen(request.parts)}, &parsed) < 0) {
        CaroHttp_SendText(req, HTTP_BADREQUEST,
                          "parts is not ID:TOKENS,...\n");
        return;
    }
    json_t *explanation = h->handlers->explain(h->context, &request);
    if (explanation == NULL) {
        evhttp_send_error(req, HTTP_INTERNAL, NULL);
        return;
    }
    CaroHttp_SendJson(req, HTTP_OK, explanation);
    json_decref(explanation);
}

static struct evhttp *
listen_at(CaroGatewayHttp *h, struct event_base *base, const char *address,
          int index, CaroError *err)
{
    char host[CARO_ADDRESS_SIZE];
    uint16_t port;
    struct evhttp *server = evhttp_new(base);
    h->servers[index] = server;
    if (server == NULL || CaroHttp_SplitAddress(address, host, &port) < 0 ||
        evhttp_bind_socket(server, host, port) < 0) {
        (void)CaroError_Set(
            err, CARO_ERR_IO, "listen", address,
            "the address is in use or does not belong to this VM");
        return NULL;
    }
    evhttp_set_timeout(server, REQUEST_TIMEOUT_S);
    evhttp_set_max_headers_size(server, HEAD_BYTES_MAX);
    evhttp_set_max_body_size(server, HEAD_BYTES_MAX);
    return server;
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
    struct evhttp *ready =
        listen_at(h, base, settings->readiness_address, 0, err);
    struct evhttp *directory =
        ready == NULL
            ? NULL
            : listen_at(h, base, settings->directory_address, 1, err);
    if (directory == NULL) {
        goto error;
    }
    evhttp_set_cb(ready, CaroPlatform_ReadyPath(), on_ready, h);
    evhttp_set_cb(directory, CaroPlatform_AddressesPath(), on_addresses, h);
    if (settings->metrics_port != 0) {
        (void)snprintf(metrics, sizeof(metrics), "%.30s:%d", settings->host,
                       (int)settings->metrics_port);
        struct evhttp *server = listen_at(h, base, metrics, 2, err);
        if (server == NULL) {
            goto error;
        }
        evhttp_set_cb(server, "/metrics", on_metrics, h);
        evhttp_set_cb(server, "/state", on_state, h);
        evhttp_set_cb(server, "/where", on_where, h);
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
    for (int i = 0; i < SERVERS; i++) {
        if (h->servers[i] != NULL) {
            evhttp_free(h->servers[i]);
        }
    }
    free(h);
}
