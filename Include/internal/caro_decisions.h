/*
 * NAME
 *     caro_decisions - log of recent controller decisions
 *
 * Decisions are kept with their time, subject, action and cause in a ring
 * buffer of fixed size.  The command "caro why SUBJECT" prints them.
 */
#ifndef CARO_DECISIONS_H
#define CARO_DECISIONS_H

#include "internal/caro_types.h"

/* One decision of a controller. */
typedef struct {
    int64_t wall_ms;  /* Wall clock, since 1970. */
    char part[16];    /* Controller, such as "rollout". */
    char subject[40]; /* Deployment, VM, upstream or generation. */
    char action[40];  /* The action taken. */
    char cause[96];   /* The reason, with its evidence. */
} CaroDecision;

typedef struct CaroDecisions CaroDecisions;

/* Creates a log of the last "size" decisions, or returns NULL.  Destroy
   accepts NULL. */
CaroDecisions *CaroDecisions_Create(int size);
void CaroDecisions_Destroy(CaroDecisions *d);

/* Records a decision.  The texts are copied, truncated to the field sizes. */
void CaroDecisions_Add(CaroDecisions *d, int64_t wall_ms, const char *part,
                       const char *subject, const char *action,
                       const char *cause_format, ...)
    __attribute__((format(printf, 6, 7)));

/* Returns the borrowed decision at "age", where 0 is the newest, or NULL when
   there is none as old. */
const CaroDecision *CaroDecisions_Get(const CaroDecisions *d, int age);

#endif
