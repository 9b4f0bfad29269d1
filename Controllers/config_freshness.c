/* When the configuration was last confirmed to be the newest. */
#include "internal/caro_config_freshness.h"

/* A tenth of the limit is left for reading a request and sending it to an
   upstream: 500 ms of the sites' 5 s, far above what either takes. */
#define HANDLING_DIVISOR 10

void
CaroConfigFreshness_Record(CaroConfigFreshness *f, CaroRevision revision,
                           CaroTime sent)
{
    if (revision > f->revision ||
        (revision == f->revision && sent > f->confirmed_at)) {
        f->revision = revision;
        f->confirmed_at = sent;
    }
}

void
CaroConfigFreshness_RecordPeer(CaroConfigFreshness *f, CaroRevision revision,
                               CaroTime age, CaroTime asked)
{
    /* A confirmation of another revision does not apply to this one. */
    if (age >= 0 && revision == f->revision && asked - age > f->confirmed_at) {
        f->confirmed_at = asked - age;
    }
}

bool
CaroConfigFreshness_IsFresh(const CaroConfigFreshness *f,
                            CaroTime revocation_max, CaroTime now)
{
    return f->confirmed_at != 0 &&
           now - f->confirmed_at <
               revocation_max - revocation_max / HANDLING_DIVISOR;
}

CaroTime
CaroConfigFreshness_Age(const CaroConfigFreshness *f, CaroTime now)
{
    return f->confirmed_at == 0 ? -1 : now - f->confirmed_at;
}
