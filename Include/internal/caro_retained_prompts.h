/*
 * NAME
 *     caro_retained_prompts - which parts of prompts the engines still hold
 *
 * An engine that holds the first parts of a prompt does not prefill them
 * again.  For each start of an engine the table has the parts that it probably
 * holds: those of this VM's streams that had their first event there, and
 * those that other VMs report (CARO_PROMPT_RETENTION).  An entry expires by
 * age, and by least recent use within the tokens that the engine holds.
 *
 * The table is bounded: at most 1,280 engines of 48 parts, 1.8 MB.  A wrong
 * entry costs time only.
 */
#ifndef CARO_RETAINED_PROMPTS_H
#define CARO_RETAINED_PROMPTS_H

#include "caro_peer.h"
#include "internal/caro_prompt_parts.h"
#include "internal/caro_targets.h"

typedef struct CaroRetainedPrompts CaroRetainedPrompts;

/* Returns NULL without memory.  Destroy accepts NULL. */
CaroRetainedPrompts *CaroRetainedPrompts_Create(void);
void CaroRetainedPrompts_Destroy(CaroRetainedPrompts *t);

/* Records that the prompt's first event arrived from the target, which holds
   "memory" tokens. */
void CaroRetainedPrompts_Record(CaroRetainedPrompts *t,
                                const CaroTarget *target,
                                const CaroSizedParts *parts, double memory,
                                CaroTime now);

/*
 * Returns the tokens of the prompt that the target is expected to hold: those
 * of its first parts, each times the probability that it and all before it are
 * still held.  0 when t or parts is NULL.
 */
double CaroRetainedPrompts_Expect(const CaroRetainedPrompts *t,
                                  const CaroTarget *target,
                                  const CaroSizedParts *parts, CaroTime now);

/*
 * Returns the tokens that a repeat of the prompt is expected to save through
 * its first part, when no engine is known to hold that: its tokens times the
 * fraction of recent first parts that this VM had seen before.  Otherwise 0.
 */
double CaroRetainedPrompts_RepeatTokens(const CaroRetainedPrompts *t,
                                        const CaroSizedParts *parts,
                                        CaroTime now);

/* Returns a number from 0 to 1, the same at all VMs, by which one of "n"
   engines is preferred for the first part of a prompt: above 0 for about three
   of them (rendezvous hashing). */
double CaroRetainedPrompts_Preference(const CaroTarget *target,
                                      const CaroSizedParts *parts, int n);

/* Returns the (engine, part) pairs of the table. */
int CaroRetainedPrompts_Count(const CaroRetainedPrompts *t);

/* A report with storage for its parts. */
typedef struct {
    caro_retention_report report;
    caro_retained_part parts[CARO_RETAINED_PARTS_MAX];
} CaroRetentionReport;

/* Collects pairs that were not reported often enough.  The caller sets the
   sender.  Returns false when there are none. */
bool CaroRetainedPrompts_Collect(CaroRetainedPrompts *t,
                                 CaroRetentionReport *out, CaroTime now);

/* Takes in the pairs of another VM whose engines are registered here.  Returns
   how many were valid. */
int CaroRetainedPrompts_Apply(CaroRetainedPrompts *t,
                              const CaroTargets *targets,
                              const caro_retention_report *report,
                              CaroTime now);

#endif
