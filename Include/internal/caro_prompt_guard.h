/*
 * NAME
 *     caro_prompt_guard - keeps prompts that crash upstreams from them
 *
 * Collects what this VM's requests show, merges what the other VMs report,
 * decides which parts of prompts to put into quarantine, and has that written
 * to the platform's store, so that VMs that start all at once know it.
 */
#ifndef CARO_PROMPT_GUARD_H
#define CARO_PROMPT_GUARD_H

#include "internal/caro_prompt_losses.h"
#include "internal/caro_prompt_reports.h"
#include "internal/caro_store_client.h"

#include <jansson.h>

typedef struct CaroPromptGuard CaroPromptGuard;

/* What may be done with a request at this time. */
typedef enum {
    CARO_PROMPT_ADMITTED,
    CARO_PROMPT_PROBE,  /* Admitted, for one attempt, in spite of a
                           quarantine; ends with CaroPromptGuard_EndProbe. */
    CARO_PROMPT_HELD,   /* To be asked again later: a decision is near, or
                           this VM has yet to hear the others. */
    CARO_PROMPT_REFUSED /* A part of the prompt is in quarantine. */
} CaroPromptAdmission;

/* The targets and the counters are borrowed; so is the client, which may be
   NULL: then nothing is stored.  Returns NULL when out of memory. */
CaroPromptGuard *CaroPromptGuard_Create(const CaroTargets *targets,
                                        CaroStoreClient *client,
                                        CaroCounters *counters);
void CaroPromptGuard_Destroy(CaroPromptGuard *g);

/* Returns whether requests with these parts are in quarantine. */
bool CaroPromptGuard_Refuses(const CaroPromptGuard *g,
                             const CaroPromptParts *parts, CaroTime now);

/* Returns what may be done with an attempt of a request; "boot_now" is the
   present time of a clock that also counts while the machine is suspended. */
CaroPromptAdmission CaroPromptGuard_Admit(CaroPromptGuard *g,
                                          const CaroPromptParts *parts,
                                          CaroTime boot_now, CaroTime now);

/* A probe has ended; "has_passed" tells whether its response got far enough.
 */
void CaroPromptGuard_EndProbe(CaroPromptGuard *g, const CaroPromptParts *parts,
                              bool has_passed, CaroTime now);

/* Returns whether quarantines were added since the last call. */
bool CaroPromptGuard_ConsumeQuarantine(CaroPromptGuard *g);

/* Records a new request. */
void CaroPromptGuard_RecordRequest(CaroPromptGuard *g,
                                   const CaroPromptParts *parts, CaroTime now);

/* The attempts that were lost, borrowed. */
CaroPromptLosses *CaroPromptGuard_Losses(CaroPromptGuard *g);

/* A response has got so many events from one upstream. */
void CaroPromptGuard_RecordEvents(CaroPromptGuard *g,
                                  const CaroPromptParts *parts,
                                  uint32_t events, CaroTime now);

/* A response was received whole. */
void CaroPromptGuard_RecordFinish(CaroPromptGuard *g,
                                  const CaroPromptParts *parts, CaroTime now);

/* Merges the evidence of another VM, or that of an earlier version. */
void CaroPromptGuard_Apply(CaroPromptGuard *g,
                           const caro_prompt_evidence *evidence, CaroTime now);
void CaroPromptGuard_ApplyOld(CaroPromptGuard *g,
                              const caro_prompt_report *report, CaroTime now);

/* Likewise the answer to the query of CaroPromptGuard_ConsumeQuery. */
void CaroPromptGuard_OnQueryReply(CaroPromptGuard *g,
                                  const caro_prompt_evidence *evidence,
                                  CaroTime now);

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

/* Fills the message, except the sender, and returns to how many other VMs it
   is to be sent now; 0 when none is due. */
int CaroPromptGuard_Collect(CaroPromptGuard *g, CaroPromptEvidence *out,
                            CaroTime now);

/* Fills the message, except the sender, for a VM that asks. */
void CaroPromptGuard_CollectReply(CaroPromptGuard *g, CaroPromptEvidence *out,
                                  CaroTime now);

/* Likewise in the form of earlier versions.  Returns whether there is anything
   to report. */
bool CaroPromptGuard_CollectOld(CaroPromptGuard *g, CaroPromptReport *out,
                                CaroTime now);

/* Returns whether other VMs are to be asked for their evidence, once after
   each time that this VM did not run; "has_peers" tells whether there are any.
 */
bool CaroPromptGuard_ConsumeQuery(CaroPromptGuard *g, bool has_peers,
                                  CaroTime now);

/* Returns the quarantines for the report of the state, in new memory. */
json_t *CaroPromptGuard_Dump(CaroPromptGuard *g, CaroTime now);

#endif
