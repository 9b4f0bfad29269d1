/*
 * NAME
 *     caro_clock - the system's clocks and random numbers
 *
 * Only modules that do input and output, and programs, call these functions.
 * Decision logic takes the time as an argument, so that it is deterministic.
 */
#ifndef CARO_CLOCK_H
#define CARO_CLOCK_H

#include "internal/caro_types.h"

/* Monotonic time, without time in which the VM was suspended. */
CaroTime CaroClock_Now(void);

/* Monotonic time, with time in which the VM was suspended. */
CaroTime CaroClock_BootTime(void);

/* Wall-clock time in milliseconds since 1970, UTC. */
int64_t CaroClock_WallMs(void);

/* A random number; from the wall clock if the system's generator fails. */
uint64_t CaroClock_Random(void);

/* CPU time that this process has used. */
CaroTime CaroClock_Cpu(void);

#endif
