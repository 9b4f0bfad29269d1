/*
 * NAME
 *     caro_registry - what the platform's store says, kept in step
 *
 * Lists the upstreams once and then watches; reads the configuration at a
 * steady pace, which also proves that the one in force is the newest;
 * registers this VM.  Upstreams whose entries lapse around an outage of
 * the store stay until it has been back for a while.
 */
#ifndef CARO_REGISTRY_H
#define CARO_REGISTRY_H

#include "internal/caro_store_client.h"
#include "internal/caro_targets.h"

#include <gsl/gsl_rng.h>

typedef struct CaroRegistry CaroRegistry;

typedef struct {
    /* A configuration newer than all before; 0 when it was taken. */
    int (*on_config)(void *context, const char *bytes, size_t size,
                     int64_t revision);
    /* The store held this revision when the call was sent. */
    void (*on_proof)(void *context, int64_t revision, CaroTime sent);
    /* An upstream came, changed or left (its slot may go behind this). */
    void (*on_target)(void *context, CaroHandle target);
    /* Another VM may be reached there. */
    void (*on_vm)(void *context, const char *peer);
    /* An order or an outcome of a move; bytes are NULL when deleted. */
    void (*on_order)(void *context, const char *service, const char *bytes,
                     size_t size, int64_t revision);
    void (*on_outcome)(void *context, const char *service, const char *bytes,
                       size_t size, int64_t revision);
} CaroRegistryHandlers;

/* The client, the table and the generator are borrowed. */
CaroRegistry *CaroRegistry_Create(CaroStoreClient *client,
                                  CaroTargets *targets, gsl_rng *rng,
                                  const CaroRegistryHandlers *handlers,
                                  void *context, CaroTime now);
void CaroRegistry_Destroy(CaroRegistry *r);

/* This VM's own entry: its name and where its peers reach it. */
void CaroRegistry_SetSelf(CaroRegistry *r, const char *name, const char *peer);

/* Lets time pass; call it several times a second. */
void CaroRegistry_Tick(CaroRegistry *r, CaroTime now);

/* A peer has a newer configuration: read it now. */
void CaroRegistry_ReadConfigNow(CaroRegistry *r, CaroTime now);

/* The store has not answered since then; 0 when it answers. */
CaroTime CaroRegistry_UnavailableSince(const CaroRegistry *r);

/* The list of upstreams has been read once. */
bool CaroRegistry_IsLoaded(const CaroRegistry *r);

#endif
