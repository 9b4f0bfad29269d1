/* Why a message of HTTP/1.1 is refused, and how often. */
#include "internal/caro_http_fault.h"

#include <assert.h>
#include <inttypes.h>

static const char *const names[CARO_HTTP_FAULTS] = {
#define X(id, name, text) name,
    CARO_HTTP_FAULT_LIST(X)
#undef X
};

static const char *const texts[CARO_HTTP_FAULTS] = {
#define X(id, name, text) text,
    CARO_HTTP_FAULT_LIST(X)
#undef X
};

static uint64_t counts[CARO_HTTP_MESSAGE_KINDS][CARO_HTTP_FAULTS];

const char *
CaroHttpFault_Name(CaroHttpFault fault)
{
    assert(fault >= 0 && fault < CARO_HTTP_FAULTS);
    return names[fault];
}

const char *
CaroHttpFault_Text(CaroHttpFault fault)
{
    assert(fault >= 0 && fault < CARO_HTTP_FAULTS);
    return texts[fault];
}

void
CaroHttpFault_Record(CaroHttpMessageKind kind, CaroHttpFault fault)
{
    assert(fault > CARO_HTTP_FAULT_NONE && fault < CARO_HTTP_FAULTS);
    counts[kind][fault]++;
}

uint64_t
CaroHttpFault_Count(CaroHttpMessageKind kind, CaroHttpFault fault)
{
    return counts[kind][fault];
}

void
CaroHttpFault_WriteCounters(struct evbuffer *out)
{
    static const char *const kinds[CARO_HTTP_MESSAGE_KINDS] = {
        [CARO_HTTP_REQUEST] = "requests",
        [CARO_HTTP_RESPONSE] = "responses",
    };
    for (int kind = 0; kind < CARO_HTTP_MESSAGE_KINDS; kind++) {
        for (int f = CARO_HTTP_FAULT_NONE + 1; f < CARO_HTTP_FAULTS; f++) {
            (void)evbuffer_add_printf(out, "%s_malformed_%s %" PRIu64 "\n",
                                      kinds[kind], names[f], counts[kind][f]);
        }
    }
}
