/* Requests of a caller for addresses and a ticket. */
#include "bench.h"

#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT (1 * CARO_SECOND)

void
Addresses_Request(Load *load, const char *account, CaroHttpDone done,
                  void *context)
{
    const LoadOptions *o = load->options;
    unsigned long i = gsl_rng_uniform_int(load->rng, (unsigned)o->n_nodes);
    char path[96];
    (void)snprintf(path, sizeof(path), "/v1/addresses?account=%s", account);
    CaroHttpCall call = {.address = o->nodes[i],
                         .path = path,
                         .method = "GET",
                         .timeout = REQUEST_TIMEOUT};
    CaroHttp_Call(load->base, &call, done, context);
}

void
Addresses_Parse(Addresses *a, const char *body, size_t size)
{
    json_t *root = json_loadb(body, size, 0, NULL);
    const char *ticket = json_string_value(json_object_get(root, "ticket"));
    size_t i;
    json_t *item;
    memset(a, 0, sizeof(*a));
    json_array_foreach(json_object_get(root, "addresses"), i, item)
    {
        if (a->n < BENCH_ADDRESSES_MAX && json_is_string(item)) {
            CARO_COPY(a->list[a->n], json_string_value(item));
            a->n++;
        }
    }
    if (ticket != NULL) {
        CARO_COPY(a->ticket, ticket);
    }
    json_decref(root);
}

const char *
Addresses_Current(const Addresses *a)
{
    return a->list[a->position % a->n];
}
