/* Filter that starts a generation, queues it, or refuses it when the expected
   wait is too long. */
#include "caro_filters.h"

static CaroFilterResult
refuse_journal_full(CaroCompletion *c)
{
    CaroHttp_SendProblem(c->req, 503, CARO_RUN_NO, "journals are full",
                         "VM %s holds as many generations as it may; ask "
                         "/v1/addresses for another",
                         c->deps->common->settings->vm);
    return CARO_FILTER_REFUSED;
}

CaroFilterResult
CaroFilter_Admission(CaroCompletion *c, CaroTime now)
{
    size_t size;
    CaroTime expected_wait = 0;
    const char *text = CaroHttp_Body(c->req, &size);
    switch (CaroSessions_Begin(c->deps->sessions, c->req, c->body, text, size,
                               &expected_wait, now)) {
    case CARO_SESSION_JOURNAL_FULL:
        return refuse_journal_full(c);
    case CARO_SESSION_REFUSED:
        CaroHttp_SendProblem(
            c->req, 429, CARO_RUN_NO, "too much work waits",
            "the expected wait of account %s is %lld ms; allowed: %lld ms",
            c->account, (long long)(expected_wait / CARO_MS),
            (long long)c->deps->common->settings->queue_wait_max_ms);
        return CARO_FILTER_REFUSED;
    case CARO_SESSION_ACCEPTED:
        break;
    }
    return CARO_FILTER_HANDLED;
}
