/*
 * NAME
 *     caro_quarantine_store - quarantines in the platform's store
 *
 * Writes the quarantines that other VMs have not written, so that VMs that
 * start all at once know them, and writes them again before their lease ends.
 * A probe, one request that is sent in spite of a quarantine, needs a key that
 * only one VM of the deployment can create.
 */
#ifndef CARO_QUARANTINE_STORE_H
#define CARO_QUARANTINE_STORE_H

#include "internal/caro_prompt_crashes.h"
#include "internal/caro_store_client.h"

typedef struct CaroQuarantineStore CaroQuarantineStore;

/* The table and the client are borrowed.  Returns NULL when out of memory. */
CaroQuarantineStore *CaroQuarantineStore_Create(CaroPromptCrashes *table,
                                                CaroStoreClient *client);
void CaroQuarantineStore_Destroy(CaroQuarantineStore *s);

/* The store has this quarantine; "wall_ms" is the present time of the wall
   clock. */
void CaroQuarantineStore_OnStored(CaroPromptCrashes *table, const char *bytes,
                                  size_t size, int64_t wall_ms, CaroTime now);

/* Writes what VMs of lower rank have not written. */
void CaroQuarantineStore_Tick(CaroQuarantineStore *s, int rank, CaroTime now);

/* Requests the permit for the next probe of the quarantine, unless a call is
   in progress. */
void CaroQuarantineStore_RequestProbe(CaroQuarantineStore *s,
                                      const CaroQuarantine *q, CaroTime now);

/* Takes the permit for a probe of a quarantine with these parts, if this VM
   has one. */
bool CaroQuarantineStore_TakeProbe(CaroQuarantineStore *s,
                                   const CaroPromptParts *parts, CaroTime now);

#endif
