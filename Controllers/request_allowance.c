/* One VM's part of a request limit. */
#include "internal/caro_request_allowance.h"

#include <math.h>

/* After a pause all VMs together may send what accrues in this time at once.
   The platform allows one and a half times the limit in 4 s, 2 s more. */
#define ACCRUED_TTL (1 * CARO_SECOND)
/* An overdraft beyond this is not made up for. */
#define TAKEN_MIN (-2.0)
/* Keeps what several requests at once have taken from adding up. */
#define TAKEN_MAX 2.0

void
CaroRequestAllowance_Start(CaroRequestAllowance *a, double phase, CaroTime now)
{
    *a = (CaroRequestAllowance){.taken = phase, .accrued_at = now};
}

static void
decay(CaroRequestAllowance *a, CaroTime now)
{
    double elapsed = (double)(now - a->accrued_at);
    a->accrued *= exp(-elapsed / (double)ACCRUED_TTL);
    a->accrued_at = now;
}

void
CaroRequestAllowance_Add(CaroRequestAllowance *a, double part, CaroTime now)
{
    decay(a, now);
    a->accrued += part < 1.0 ? part : 1.0;
}

bool
CaroRequestAllowance_Take(CaroRequestAllowance *a, CaroTime now)
{
    decay(a, now);
    a->taken += a->accrued;
    a->taken = a->taken < TAKEN_MAX ? a->taken : TAKEN_MAX;
    a->accrued = 0.0;
    if (a->taken < 1.0) {
        return false;
    }
    a->taken -= 1.0;
    return true;
}

void
CaroRequestAllowance_Overdraw(CaroRequestAllowance *a)
{
    a->taken = a->taken - 1.0 > TAKEN_MIN ? a->taken - 1.0 : TAKEN_MIN;
}
