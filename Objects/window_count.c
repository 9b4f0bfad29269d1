/* Number of events in a sliding window of time. */
#include "internal/caro_window_count.h"

void
CaroWindowCount_Add(CaroWindowCount *w, CaroTime window, CaroTime now)
{
    int64_t slice = now / (window / CARO_WINDOW_SLICES);
    int at = (int)(slice % (CARO_WINDOW_SLICES + 1));
    if (w->slices[at] != slice) {
        w->slices[at] = slice;
        w->counts[at] = 0;
    }
    w->counts[at]++;
}

int
CaroWindowCount_Sum(const CaroWindowCount *w, CaroTime window, CaroTime now)
{
    int64_t oldest = now / (window / CARO_WINDOW_SLICES) - CARO_WINDOW_SLICES;
    int sum = 0;
    for (int i = 0; i <= CARO_WINDOW_SLICES; i++) {
        if (w->slices[i] >= oldest) {
            sum += w->counts[i];
        }
    }
    return sum;
}

double
CaroWindowCount_Rate(const CaroWindowCount *w, CaroTime window, CaroTime now)
{
    CaroTime slice = window / CARO_WINDOW_SLICES;
    CaroTime covered = slice * CARO_WINDOW_SLICES + now % slice;
    return (double)CaroWindowCount_Sum(w, window, now) * (double)CARO_SECOND /
           (double)covered;
}
