/*
 * NAME
 *     caro_prompt_quarantine - which parts of prompts crash upstreams
 *
 * Attribution by elimination.  The suspects of a crash are the parts of the
 * requests that were in progress at the upstream, without those with which
 * some response has got beyond the point of the crash: a part that crashes
 * every upstream is in all of its crashes and never gets there, the parts of
 * bystanders do at one of the next attempts.
 *
 * Crashes of several upstreams of one failure domain at one moment are one
 * event, as when it loses power; crashes of one request follow one another and
 * are not.
 */
#ifndef CARO_PROMPT_QUARANTINE_H
#define CARO_PROMPT_QUARANTINE_H

#include "internal/caro_prompt_crashes.h"

/* What the evidence is sufficient for. */
typedef enum {
    CARO_VERDICT_NONE,
    CARO_VERDICT_PENDING, /* It would be, unless other VMs still tell of a
                             response that got further. */
    CARO_VERDICT_QUARANTINE
} CaroPromptVerdict;

/* The parts to put into quarantine, and what the decision rests on. */
typedef struct {
    CaroPromptParts parts;
    uint64_t suspect;  /* The part of most events. */
    int events;        /* Crashes that count, each moment once. */
    int needed;        /* Of them. */
    int crashes;       /* Upstreams that crashed under the part. */
    int other_crashes; /* Others of the service in the same time. */
    int requests;      /* Different requests, 2 for more than one. */
    bool has_heads; /* All ended between the head of the response and its first
                       event, a short time of a request's life. */
    uint32_t progress_min; /* Events of the responses before the crashes. */
    uint32_t progress_max;
    bool has_passed; /* Responses got further before the first crash. */
    CaroTime first_at;
    CaroTime settled_at; /* When the last event that is needed was learned. */
} CaroPromptChoice;

/*
 * Chooses the parts to put into quarantine: the suspect of most events with
 * all suspects that occur in each of its crashes.  A part with which responses
 * got further before is chosen only if no other part explains the crashes.
 */
CaroPromptVerdict CaroPromptQuarantine_Choose(const CaroPromptCrashes *t,
                                              CaroPromptChoice *choice,
                                              CaroTime now);

/* Returns how many upstreams crashed under the part, which no response has got
   beyond. */
int CaroPromptQuarantine_CountCrashes(const CaroPromptCrashes *t,
                                      uint64_t part);

#endif
