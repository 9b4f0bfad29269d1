/*
 * NAME
 *     caro_registry - the state of the platform's store, kept up to date
 *
 * Lists the store and then watches it for changes; reads the
 * configuration at a fixed interval, which also confirms that the one in
 * force is the newest; and registers this VM under a lease.  Upstream
 * instances whose leases expire during an outage of the store, or shortly
 * after it, are kept for a grace period.
 *
 * A store that was restored from an older copy begins a new timeline
 * (caro_revision.h).  It is listed anew, and for a short time no read confirms
 * the configuration: what the operator had written since is not in the copy,
 * and is written again.
 */
#ifndef CARO_REGISTRY_H
#define CARO_REGISTRY_H

#include "caro_peer.h"
#include "internal/caro_counters.h"
#include "internal/caro_store_client.h"
#include "internal/caro_store_readers.h"
#include "internal/caro_targets.h"

#include <gsl/gsl_rng.h>

typedef struct CaroRegistry CaroRegistry;

/* Texts passed to a handler are borrowed for the call. */
typedef struct {
    /* A configuration newer than all before was read.  Returns 0 when it, or
       a later one, is in force; it is offered again by the next read
       otherwise. */
    int (*on_config)(void *context, const char *bytes, size_t size,
                     CaroRevision revision);
    /* This revision was the newest when the store answered a call that was
       sent at "sent_at", by CaroClock_BootTime. */
    void (*on_config_confirmed)(void *context, CaroRevision revision,
                                CaroTime sent_at);
    /* An upstream instance was added, changed or is about to be removed; in
       the last case its slot may be reused after the call. */
    void (*on_target)(void *context, CaroHandle target);
    /* The store said of a start of an upstream, by its hash, that it leaves,
       or that it is gone; may be NULL. */
    void (*on_target_left)(void *context, uint32_t start_hash, bool is_gone);
    /* Another VM is registered with this peer address. */
    void (*on_vm)(void *context, const char *peer);
    /* A rollout request or its outcome was read; "bytes" is NULL when the
       key was deleted. */
    void (*on_rollout_request)(void *context, const char *service,
                               const char *bytes, size_t size,
                               CaroRevision revision);
    void (*on_rollout_outcome)(void *context, const char *service,
                               const char *bytes, size_t size,
                               CaroRevision revision);
    /* A quarantine of parts of prompts was read; likewise. */
    void (*on_quarantine)(void *context, const char *bytes, size_t size);
    /* The store was restored from an older copy.  What this VM wrote there may
       be missing; a list follows.  May be NULL. */
    void (*on_store_restored)(void *context);
    /* A list was read completely, up to a revision at least.  May be NULL. */
    void (*on_listed)(void *context, CaroRevision revision);
} CaroRegistryHandlers;

/* The client, the table, the counters, the generator and the handlers are
   borrowed.  Returns NULL when out of memory. */
CaroRegistry *CaroRegistry_Create(CaroStoreClient *client,
                                  CaroTargets *targets, CaroCounters *counters,
                                  gsl_rng *rng,
                                  const CaroRegistryHandlers *handlers,
                                  void *context, CaroTime now);
void CaroRegistry_Destroy(CaroRegistry *r);

/* Sets what this VM registers: its name and its peer address ("ip:port").
   Nothing is registered before that. */
void CaroRegistry_SetSelf(CaroRegistry *r, const char *name, const char *peer);

/* Sends the calls that are due and removes expired upstream instances; to be
   called several times a second. */
void CaroRegistry_Tick(CaroRegistry *r, CaroTime now);

/* Makes the next read of the configuration due at once, as when a peer has a
   newer one; has no effect during an outage of the store. */
void CaroRegistry_ReadConfigNow(CaroRegistry *r, CaroTime now);

/* The store responded to another VM at the time "at".  An upstream that is
   deleted while the store responds is not kept for a grace period. */
void CaroRegistry_RecordPeerResponse(CaroRegistry *r, CaroTime at,
                                     CaroTime now);

/*
 * In a large fleet a few VMs read the store, and the others ask them for
 * changes (caro_store_readers.h).  The owner sets what it knows of the fleet
 * (is_ready: the members are known), sends the call that NextReader asks for,
 * and passes on its outcome, also for a call without a reply.
 */
void CaroRegistry_SetView(CaroRegistry *r, const CaroStoreReadersView *view);

/* Returns the reader to call now with CaroRegistry_Revision; CARO_NO_HANDLE
   for none. */
CaroHandle CaroRegistry_NextReader(CaroRegistry *r);
CaroRevision CaroRegistry_Revision(const CaroRegistry *r);

/*
 * Applies the reply of a reader, NULL for none, to a call with the revision
 * "asked" that was sent at "sent_at", by CaroClock_BootTime.  Returns
 * CARO_ERR_INPUT for a reply that is dropped, or whether the reader has a
 * newer configuration, which is to be fetched from it.
 */
int CaroRegistry_ApplyChanges(CaroRegistry *r, CaroHandle reader,
                              CaroRevision asked, CaroTime sent_at,
                              const caro_store_changes *reply);

/* A configuration that a peer sent was examined; it need not be fetched
   again. */
void CaroRegistry_RecordPeerConfig(CaroRegistry *r, CaroRevision revision);

/* A configuration of "size" bytes is in force that did not come from the
   store. */
void CaroRegistry_RecordConfigInForce(CaroRegistry *r, CaroRevision revision,
                                      size_t size);

/* Returns for how long this VM has known of a configuration that it lacks; 0
   while it lacks none.  "now" is by CaroClock_Now. */
CaroTime CaroRegistry_ConfigLackingTime(const CaroRegistry *r, CaroTime now);

/* Fills the reply to another VM that knows a revision; its texts are borrowed
   until the registry's next call.  Returns false when this VM does not read
   the store. */
bool CaroRegistry_CollectChanges(CaroRegistry *r, CaroRevision after,
                                 caro_store_change changes[CARO_CHANGES_MAX],
                                 caro_store_changes *reply);

/* Returns what this VM does now. */
CaroStoreRole CaroRegistry_Role(const CaroRegistry *r);

/* Returns the timeline of the store, -1 before its first response. */
int64_t CaroRegistry_Timeline(const CaroRegistry *r);

/* Returns whether a list has been read completely since the start. */
bool CaroRegistry_IsLoaded(const CaroRegistry *r);

#endif
