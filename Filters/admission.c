/* Admits a completion, lets it wait its turn, or refuses it early. */
#include "caro_filters.h"

#include <stdlib.h>

static CaroFilterVerdict
refuse_full(CaroCompletion *c)
{
    CaroHttp_Problem(c->req, 503, CARO_RUN_NO, "journals are full",
                     "VM %s holds as many generations as it may; ask "
                     "/v1/addresses for another",
                     c->node->common.settings->vm);
    return CARO_FILTER_REFUSED;
}

static CaroSession *
open_session(CaroCompletion *c, CaroTime now)
{
    size_t size;
    const char *text = CaroHttp_Body(c->req, &size);
    return CaroNode_OpenSession(c->node, CaroClock_Random(), 1, c->body, text,
                                size, now);
}

CaroFilterVerdict
CaroFilter_Admission(CaroCompletion *c, CaroTime now)
{
    CaroNode *n = c->node;
    CaroSession *s = open_session(c, now);
    if (s == NULL) {
        return refuse_full(c);
    }
    CaroAdmission *a = CaroAdmissions_Of(n->admissions, c->deployment);
    CaroVerdict v = {.kind = CARO_REFUSED};
    CaroOffer offer = {.id = s->id,
                       .account = c->account,
                       .class = s->class,
                       .cost = s->cost,
                       .patience = n->common.settings->patience_ms * CARO_MS};
    if (a != NULL) {
        v = CaroAdmission_Offer(a, &offer, now);
    }
    if (v.kind == CARO_REFUSED) {
        CaroNode_CloseSession(s, false);
        CaroHttp_Problem(c->req, 429, CARO_RUN_NO, "too much work waits",
                         "the expected wait of account %s is %lld ms; "
                         "allowed: %lld ms",
                         c->account, (long long)(v.expected_wait / CARO_MS),
                         (long long)n->common.settings->patience_ms);
        return CARO_FILTER_REFUSED;
    }
    s->admission = a;
    CaroNode_AttachCaller(s, c->req, 0, now);
    if (v.kind == CARO_ADMITTED) {
        CaroNode_StartSession(s, now);
    }
    return CARO_FILTER_TAKEN;
}
