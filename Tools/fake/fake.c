/* Functions common to all fakes: the server socket, the event loop and its
   signal handlers, query parameters. */
#include "fake.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

struct evhttp *
Fake_Listen(struct event_base *base, const char *address)
{
    char host[CARO_ADDRESS_SIZE];
    uint16_t port;
    struct evhttp *http = evhttp_new(base);
    if (http == NULL || CaroHttp_SplitAddress(address, host, &port) < 0 ||
        evhttp_bind_socket(http, host, port) < 0) {
        (void)fprintf(stderr, "carofake: cannot listen at %s\n", address);
        return NULL;
    }
    evhttp_set_timeout(http, 3600);
    return http;
}

static void
on_signal(evutil_socket_t signal_number, short what, void *arg)
{
    (void)signal_number;
    (void)what;
    event_base_loopbreak(arg);
}

int
Fake_RunLoop(struct event_base *base)
{
    (void)signal(SIGPIPE, SIG_IGN);
    struct event *term = evsignal_new(base, SIGTERM, on_signal, base);
    struct event *interrupt = evsignal_new(base, SIGINT, on_signal, base);
    event_add(term, NULL);
    event_add(interrupt, NULL);
    event_base_dispatch(base);
    event_free(term);
    event_free(interrupt);
    return 0;
}

double
Fake_GetNumber(struct evhttp_request *req, const char *name,
               double default_value)
{
    char text[32];
    if (!Fake_Query(req, name, text, sizeof(text))) {
        return default_value;
    }
    return strtod(text, NULL);
}
