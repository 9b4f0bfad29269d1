/*
 * NAME
 *     caro_prompt_losses - attempts that upstreams may have ended by crashing
 *
 * Confirms that an upstream crashed under the attempts of this VM, and records
 * that as evidence.  A closed connection counts unless the upstream is heard
 * again shortly after; silence counts if the upstream turns out to have
 * crashed.
 */
#ifndef CARO_PROMPT_LOSSES_H
#define CARO_PROMPT_LOSSES_H

#include "internal/caro_counters.h"
#include "internal/caro_prompt_crashes.h"
#include "internal/caro_targets.h"

typedef struct CaroPromptLosses CaroPromptLosses;

/* An attempt at an upstream. */
typedef struct {
    CaroHandle target;
    const char *request_id;
    const CaroPromptParts *parts;
    bool has_head;   /* The head of its response has arrived. */
    uint32_t events; /* Of its response so far. */
    CaroTime started_at;
} CaroPromptAttempt;

/* All are borrowed.  Returns NULL when out of memory.  Destroy accepts NULL.
 */
CaroPromptLosses *CaroPromptLosses_Create(const CaroTargets *targets,
                                          CaroPromptCrashes *table,
                                          CaroCounters *counters);
void CaroPromptLosses_Destroy(CaroPromptLosses *l);

/* The target closed the connection before the response was complete. */
void CaroPromptLosses_RecordClose(CaroPromptLosses *l,
                                  const CaroPromptAttempt *attempt,
                                  CaroTime now);

/* The attempt was given up while its target was silent. */
void CaroPromptLosses_RecordSilence(CaroPromptLosses *l,
                                    const CaroPromptAttempt *attempt,
                                    CaroTime now);

/* The target refused a connection. */
void CaroPromptLosses_RecordRefusedConnection(CaroPromptLosses *l,
                                              CaroHandle target);

/* Returns how many upstreams closed connections of attempts with the part that
   are not yet confirmed as crashes. */
int CaroPromptLosses_CountUnconfirmed(const CaroPromptLosses *l,
                                      uint64_t part);

/* Drops the recorded crashes of upstreams that this VM has heard since.
   Returns whether there were any. */
bool CaroPromptLosses_RefuteCrashes(CaroPromptLosses *l);

/* Confirms losses. */
void CaroPromptLosses_Tick(CaroPromptLosses *l, CaroTime now);

#endif
