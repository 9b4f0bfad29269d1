/*
 * NAME
 *     fake - fakes of the systems that carobloft depends on, for tests
 *
 * Each fake serves the published interface of one system on one address
 * until SIGTERM or SIGINT.  A request to /fault?name=value, by any method,
 * injects a fault; a rate, factor or switch stays in force until it is set
 * to another value.
 */
#ifndef FAKE_H
#define FAKE_H

#include "fake_http.h"
#include "internal/caro_http.h"

typedef struct {
    const char *listen;      /* "ip:port". */
    const char *name;        /* Shown in responses. */
    const char *config_file; /* Store: file with the initial configuration. */
    int step_us;             /* Engine: duration of an empty step. */
    int sequence_us;       /* Engine: step time added per running sequence. */
    int prefill_us;        /* Engine: step time added per prefilled token. */
    int batch;             /* Engine: maximum of running sequences. */
    int token_bytes;       /* Engine: padding of each token's text. */
    int cache_blocks;      /* Engine: capacity of the prefix cache. */
    int work_ms;           /* Orders, target: duration of a request. */
    const char *registry;  /* Target: address of the platform's store. */
    const char *domain;    /* Target: failure domain it reports. */
    const char *service;   /* Target: service it registers for. */
    const char *version;   /* Target: software version it reports. */
    const char *crash;     /* Target: how a deadly request ends it; or NULL. */
    const char *crash_log; /* Target: file of deadly requests and crashes. */
    int restart_ms;        /* Target: it starts again so long after a crash;
                              -1: it does not. */
    bool keeps_name;       /* Target: it does so under the same name. */
} FakeOptions;

/* Each of these runs one fake until it is stopped and returns the exit status
   of the process. */
int FakeEngine_Run(const FakeOptions *options);
int FakeOrders_Run(const FakeOptions *options);
int FakeStore_Run(const FakeOptions *options);
int FakeRegistry_Run(const FakeOptions *options);
int FakeTarget_Run(const FakeOptions *options);
int FakeEndless_Run(const FakeOptions *options);

/* Runs targets in child processes, one after the other: each time one crashes
   another start follows.  Returns when this process is told to stop; a child
   ends with it. */
int FakeRestart_Run(const FakeOptions *options);

/* Binds an evhttp server to "ip:port".  On an error, prints a message to
   stderr and returns NULL. */
struct evhttp *Fake_Listen(struct event_base *base, const char *address);

/* Runs the event loop until SIGTERM or SIGINT; returns 0. */
int Fake_RunLoop(struct event_base *base);

/* The numeric value of a query parameter, or default_value when the parameter
   is absent. */
double Fake_GetNumber(struct evhttp_request *req, const char *name,
                      double default_value);

#endif
