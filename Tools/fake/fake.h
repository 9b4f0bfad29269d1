/*
 * NAME
 *     fake - small stand-ins for the systems around carobloft
 *
 * Each serves its published interface on one address until SIGTERM and
 * takes faults by POST /fault?name=value.  They are for tests and trials.
 */
#ifndef FAKE_H
#define FAKE_H

#include "internal/caro_http.h"

typedef struct {
    const char *listen;   /* "ip:port". */
    const char *name;     /* Shown in answers. */
    const char *load;     /* Store: file for the configuration key. */
    int step_us;          /* Engine: time of a step without sequences. */
    int sequence_us;      /* Engine: added for each running sequence. */
    int prefill_us;       /* Engine: added for each uncached token. */
    int batch;            /* Engine: sequences that run at once. */
    int token_bytes;      /* Engine: bytes added to each token's text. */
    int cache_blocks;     /* Engine: blocks of its prefix cache. */
    int work_ms;          /* Orders, target: time of one order. */
    const char *registry; /* Target: the platform's store. */
    const char *domain;   /* Target: its failure domain. */
    const char *service;  /* Target: what it serves. */
    const char *version;  /* Target: of its software. */
} FakeOptions;

/* Each runs its stand-in; returns an exit status. */
int FakeEngine_Run(const FakeOptions *options);
int FakeOrders_Run(const FakeOptions *options);
int FakeStore_Run(const FakeOptions *options);
int FakeRegistry_Run(const FakeOptions *options);
int FakeTarget_Run(const FakeOptions *options);

/* Binds an evhttp server; returns NULL with a message on stderr. */
struct evhttp *Fake_Serve(struct event_base *base, const char *address);

/* Runs the loop until SIGTERM or SIGINT. */
int Fake_Loop(struct event_base *base);

/* Number of a fault's query parameter, or "absent" when not given. */
double Fake_Number(struct evhttp_request *req, const char *name,
                   double absent);

#endif
