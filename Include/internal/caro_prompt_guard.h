/*
 * NAME
 *     caro_prompt_guard - keeps prompts that crash upstreams from them
 *
 * Collects what this VM's requests show, merges what the other VMs report,
 * decides which parts of prompts to put into quarantine, and writes that to
 * the platform's store, so that VMs that start all at once know it.
 */
#ifndef CARO_PROMPT_GUARD_H
#define CARO_PROMPT_GUARD_H

#include "internal/caro_counters.h"
#include "internal/caro_prompt_crashes.h"
#include "internal/caro_store_client.h"

#include <jansson.h>

typedef struct CaroPromptGuard CaroPromptGuard;

/* The targets and the counters are borrowed; so is the client, which may be
   NULL: then nothing is stored.  Returns NULL when out of memory. */
CaroPromptGuard *CaroPromptGuard_Create(const CaroTargets *targets,
                                        CaroStoreClient *client,
                                        CaroCounters *counters);
void CaroPromptGuard_Destroy(CaroPromptGuard *g);

/* Returns whether requests with these parts are in quarantine. */
bool CaroPromptGuard_Refuses(const CaroPromptGuard *g,
                             const CaroPromptParts *parts, CaroTime now);

/* Returns whether quarantines were added since the last call. */
bool CaroPromptGuard_ConsumeQuarantine(CaroPromptGuard *g);

/*
 * The target closed the connection of the request after the head of its
 * response and before the first event.  It counts as a crash unless the target
 * is heard again shortly after.
 */
void CaroPromptGuard_RecordLoss(CaroPromptGuard *g, CaroHandle target,
                                const char *request_id,
                                const CaroPromptParts *parts, CaroTime now);

/* The first event of a response arrived. */
void CaroPromptGuard_RecordBegin(CaroPromptGuard *g,
                                 const CaroPromptParts *parts, CaroTime now);

/* Merges the report of another VM. */
void CaroPromptGuard_Apply(CaroPromptGuard *g,
                           const caro_prompt_report *report, CaroTime now);

/* The store was restored from an older copy: quarantines in force that it does
   not list are written again. */
void CaroPromptGuard_OnStoreRestored(CaroPromptGuard *g);

/* The store has this quarantine; "bytes" is NULL when the key was deleted, and
   "wall_ms" is the present time of the wall clock. */
void CaroPromptGuard_OnStored(CaroPromptGuard *g, const char *bytes,
                              size_t size, int64_t wall_ms, CaroTime now);

/* Decides, and writes to the store what VMs of lower rank have not written;
   "rank" is this VM's among the VMs. */
void CaroPromptGuard_Tick(CaroPromptGuard *g, int rank, CaroTime now);

/* Fills the report, except the sender, and returns to how many other VMs it is
   to be sent now; 0 when none is due. */
int CaroPromptGuard_Collect(CaroPromptGuard *g, CaroPromptReport *out,
                            CaroTime now);

/* Returns the quarantines for the report of the state, in new memory. */
json_t *CaroPromptGuard_Dump(CaroPromptGuard *g, CaroTime now);

#endif
