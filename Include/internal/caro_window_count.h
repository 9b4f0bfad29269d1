/*
 * NAME
 *     caro_window_count - number of events in a sliding window of time
 *
 * The window is divided into slices.  The sum covers all slices of the window
 * and the part of the present one, up to a slice more than the window.
 */
#ifndef CARO_WINDOW_COUNT_H
#define CARO_WINDOW_COUNT_H

#include "internal/caro_types.h"

enum { CARO_WINDOW_SLICES = 10 };

/* Zero-initialized. */
typedef struct {
    /* Slice number that each position holds. */
    int64_t slices[CARO_WINDOW_SLICES + 1];
    int counts[CARO_WINDOW_SLICES + 1];
} CaroWindowCount;

/* Counts an event.  "window" has to be the same in all calls. */
void CaroWindowCount_Add(CaroWindowCount *w, CaroTime window, CaroTime now);

/* Returns the number of events in the window. */
int CaroWindowCount_Sum(const CaroWindowCount *w, CaroTime window,
                        CaroTime now);

/* Returns the number of events a second in the window. */
double CaroWindowCount_Rate(const CaroWindowCount *w, CaroTime window,
                            CaroTime now);

#endif
