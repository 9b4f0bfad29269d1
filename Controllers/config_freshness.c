/* How long ago the configuration was proven the newest. */
#include "internal/caro_config_freshness.h"

/* Of the bound, to read a request and to hand it to an upstream: a tenth,
   500 ms of the sites' 5 s, far above what either takes. */
#define ACT_PART 10

void
CaroConfigFreshness_Record(CaroConfigFreshness *p, int64_t revision,
                           CaroTime sent)
{
    if (revision > p->revision || (revision == p->revision && sent > p->at)) {
        p->revision = revision;
        p->at = sent;
    }
}

void
CaroConfigFreshness_RecordPeer(CaroConfigFreshness *p, int64_t revision,
                               CaroTime age, CaroTime asked)
{
    /* A proof of another revision says nothing of the one held here. */
    if (age >= 0 && revision == p->revision && asked - age > p->at) {
        p->at = asked - age;
    }
}

bool
CaroConfigFreshness_IsFresh(const CaroConfigFreshness *p, CaroTime bound,
                            CaroTime now)
{
    return p->at != 0 && now - p->at < bound - bound / ACT_PART;
}

CaroTime
CaroConfigFreshness_Age(const CaroConfigFreshness *p, CaroTime now)
{
    return p->at == 0 ? -1 : now - p->at;
}
