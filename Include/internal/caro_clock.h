/*
 * NAME
 *     caro_clock - clocks and randomness of the real world
 *
 * Only adapters and programs read these; functions that decide take the
 * time as an argument.
 */
#ifndef CARO_CLOCK_H
#define CARO_CLOCK_H

#include "internal/caro_types.h"

/* Monotonic time. */
CaroTime CaroClock_Now(void);

/* The same, but it also counts the time that the VM was suspended. */
CaroTime CaroClock_BootTime(void);

/* Milliseconds since 1970. */
int64_t CaroClock_WallMs(void);

/* A random number from the system. */
uint64_t CaroClock_Random(void);

/* Processor time that this process has used. */
CaroTime CaroClock_Cpu(void);

#endif
