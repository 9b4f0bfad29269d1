/*
 * NAME
 *     caro_registry_private - state shared by the parts of the registry
 *
 * For Modules/registry*.c only.  registry.c makes the calls to the store,
 * registry_items.c applies what they return, registry_changes.c exchanges
 * changes with other VMs, and registry_timeline.c handles a store that was
 * restored.
 */
#ifndef CARO_REGISTRY_PRIVATE_H
#define CARO_REGISTRY_PRIVATE_H

#include "internal/caro_lease_grace.h"
#include "internal/caro_registry.h"
#include "internal/caro_store_log.h"
#include "internal/caro_store_readers.h"

/* Upstreams whose leaving is remembered for the case that the store is
   restored from a copy in which they are registered: all that one change of a
   version may replace in the seconds that a copy is old. */
enum { CARO_REGISTRY_DEPARTED = 256 };

/* The one in use, and earlier ones that have not timed out yet. */
enum { CARO_REGISTRY_WATCHES = 4 };

/* First delay before a failed call to the store is repeated. */
#define BACKOFF_MIN (100 * CARO_MS)

/* A watch in progress. */
typedef struct {
    CaroRegistry *registry;
    bool is_open;
    CaroRevision revision; /* It asks for the changes after this one. */
    CaroTime started_at;   /* By BootTime. */
} CaroRegistryWatch;

struct CaroRegistry {
    CaroStoreClient *client;
    CaroTargets *targets;
    CaroCounters *counters;
    gsl_rng *rng;
    const CaroRegistryHandlers *handlers;
    void *context;

    int64_t timeline; /* Of the store; -1 before its first response. */
    /* When this VM learnt of a restoration, by BootTime; 0 for none. */
    CaroTime restored_at;
    CaroTime settled_at; /* Reads sent from then on confirm, by BootTime. */
    /* Of the store when it was first listed after that; 0 before. */
    CaroRevision restored_revision;
    bool is_listing;
    bool is_loaded;
    bool needs_list;
    CaroTime list_sent_at; /* Sending of its first page, by BootTime. */
    /* The last one that was sent is used; an earlier one may be open. */
    CaroRegistryWatch watches[CARO_REGISTRY_WATCHES];
    CaroRegistryWatch *watch;    /* NULL while none is used. */
    CaroRevision list_revision;  /* Revision of the list's first page. */
    CaroRevision watch_revision; /* The next watch asks for later changes. */
    uint32_t list_sequence;
    /* Sequence number of the last list that contained the target. */
    uint32_t last_list[CARO_TARGETS_MAX];
    CaroTime next_watch;
    CaroTime watch_backoff;
    CaroRevision malformed_revision; /* Highest of a malformed registration. */
    CaroRevision logged_revision; /* Of those that an earlier response had. */
    bool has_missing;             /* False only if no target is missing. */
    /* Hashes of the starts that were removed last; a ring. */
    uint32_t departed[CARO_REGISTRY_DEPARTED];
    uint32_t n_departed;

    bool is_reading_config;
    CaroTime next_config_read;
    CaroTime config_backoff;
    CaroRevision config_revision;
    size_t config_bytes; /* Of the last one that arrived. */
    /* The newest in the log, which may be omitted there. */
    CaroRevision logged_config;

    CaroStoreReaders readers;
    CaroStoreReadersView view;
    CaroStoreLog *log;
    CaroTime answered_at;         /* Sending of the last successful read, by
                                     BootTime; 0 before. */
    CaroTime config_confirmed_at; /* Of the last that found config_revision to
                                     be the newest, likewise. */
    /* The highest revision that a reader reported; 0 for none.  While this VM
       lacks it, wanted_since is when it first lacked one. */
    CaroRevision wanted_config;
    CaroTime wanted_since;
    CaroRevision peer_config;   /* Highest revision that a peer's call gave. */
    CaroRevision seen_config;   /* Highest revision that a read gave. */
    CaroTime unavailable_since; /* 0 while reads of this VM succeed. */
    CaroLeaseGrace lease_grace;

    char name[CARO_NAME_SIZE];
    char peer[CARO_ADDRESS_SIZE];
    int64_t lease; /* 0 while none is held. */
    bool is_registered;
    bool is_registering;
    CaroTime next_register;
};

/* Applies all items of a response.  A list repeats what was read before. */
void CaroRegistry_ApplyItems(CaroRegistry *r,
                             const CaroStoreResponse *response, CaroTime now);

/* Removes a target whose registration is missing, or marks it as missing
   during an outage of the store and for the grace period after it. */
void CaroRegistry_HandleMissingTarget(CaroRegistry *r, CaroHandle h,
                                      const char *cause, CaroTime now);

/* Removes missing targets that did not register again within the grace
   period, or whose outage turned out to be none. */
void CaroRegistry_RemoveExpiredTargets(CaroRegistry *r, CaroTime now);

/* Applies a configuration that was read, unless one as new is in force. */
void CaroRegistry_ApplyConfig(CaroRegistry *r, const CaroStoreItem *item);

/* Records that the log has reached a change of the configuration. */
void CaroRegistry_RecordLoggedConfig(CaroRegistry *r, CaroRevision revision);

/* Compares a timeline that the store or a reader reported with the known one;
   a later one makes the store be listed anew.  Returns false for an earlier
   one, whose message has to be dropped. */
bool CaroRegistry_ObserveTimeline(CaroRegistry *r, int64_t timeline,
                                  CaroTime now);

/* The store responds again after an outage.  One that began before the
   restoration had settled puts off what the operator writes again. */
void CaroRegistry_OnStoreReturn(CaroRegistry *r);

/* Returns how long after a call that was sent at "sent_at", by BootTime, a
   read can confirm the configuration; 0 when this one can. */
CaroTime CaroRegistry_SettleDelay(const CaroRegistry *r, CaroTime sent_at);

/* Determines this VM's role, and makes the calls due that a new one needs. */
void CaroRegistry_UpdateRole(CaroRegistry *r, CaroTime now);

/* Returns whether a reader reported a configuration that did not arrive from a
   peer in time, so that it has to be read from the store. */
bool CaroRegistry_LacksConfig(const CaroRegistry *r, CaroTime now);

#endif
