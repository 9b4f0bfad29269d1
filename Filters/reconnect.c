/* Filter that reconnects a caller to its generation. */
#include "caro_filters.h"

CaroFilterResult
CaroFilter_Reconnect(CaroCompletion *c, CaroTime now)
{
    const char *id = CaroHttp_Header(c->req, "Last-Event-ID");
    if (id == NULL) {
        return CARO_FILTER_PASS;
    }
    CaroSessions_Reconnect(c->deps->sessions, c->req, id, now);
    return CARO_FILTER_HANDLED;
}
