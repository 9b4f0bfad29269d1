/* Clocks and randomness. */
#include "internal/caro_clock.h"

#include <openssl/rand.h>
#include <time.h>

static CaroTime
read_clock(clockid_t id)
{
    struct timespec t;
    (void)clock_gettime(id, &t);
    return (CaroTime)t.tv_sec * CARO_SECOND + t.tv_nsec / 1000;
}

CaroTime
CaroClock_Now(void)
{
    return read_clock(CLOCK_MONOTONIC);
}

CaroTime
CaroClock_BootTime(void)
{
    return read_clock(CLOCK_BOOTTIME);
}

int64_t
CaroClock_WallMs(void)
{
    return read_clock(CLOCK_REALTIME) / CARO_MS;
}

uint64_t
CaroClock_Random(void)
{
    uint64_t n = 0;
    if (RAND_bytes((unsigned char *)&n, sizeof(n)) != 1) {
        n = (uint64_t)read_clock(CLOCK_REALTIME);
    }
    return n;
}

CaroTime
CaroClock_Cpu(void)
{
    return read_clock(CLOCK_PROCESS_CPUTIME_ID);
}
