/*
 * "why": the newest decisions about a subject, gathered from the VMs.
 *
 * The node that is asked asks others at the same time, adds its own, and
 * answers when all have answered or the time is over.  What several VMs
 * decided alike is shown once.
 */
#include "internal/caro_console_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_http.h"
#include "internal/caro_report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ASK_TIMEOUT (500 * CARO_MS)

enum {
    ASKED_MAX = 32,
    ROWS_MAX = (ASKED_MAX + 1) * CARO_WHY_MAX,
    SHOWN = 6 /* Of three lines each. */
};

typedef struct {
    char vm[CARO_NAME_SIZE];
    CaroDecision decision;
} Row;

/* One question on its way. */
typedef struct {
    CaroConsole *console;
    struct evhttp_request *req; /* NULL when the operator left. */
    char subject[CARO_NAME_SIZE];
    int open;
    int silent; /* VMs that did not answer. */
    Row rows[ROWS_MAX];
    int n_rows;
} Gather;

static bool
is_match(const CaroDecision *d, const char *subject)
{
    return subject[0] == '\0' || strcmp(d->subject, subject) == 0 ||
           strcmp(d->part, subject) == 0;
}

/* The newest matches of this node; returns how many. */
static int
collect_own(const CaroConsole *c, const char *subject,
            const CaroDecision *found[CARO_WHY_MAX])
{
    const CaroDecision *d;
    int count = 0;
    for (int age = 0; count < CARO_WHY_MAX; age++) {
        d = CaroDecisions_Get(c->common.decisions, age);
        if (d == NULL) {
            break;
        }
        if (is_match(d, subject)) {
            found[count++] = d;
        }
    }
    return count;
}

void
CaroConsole_OnWhy(CaroConsole *c, CaroRpcRequest *request,
                  const caro_why_args *args)
{
    const CaroDecision *found[CARO_WHY_MAX];
    caro_decision out[CARO_WHY_MAX];
    int count = collect_own(c, args->subject, found);
    for (int i = 0; i < count; i++) {
        out[i].wall_ms = found[i]->wall_ms;
        out[i].part = (char *)found[i]->part;
        out[i].subject = (char *)found[i]->subject;
        out[i].action = (char *)found[i]->action;
        out[i].cause = (char *)found[i]->cause;
    }
    caro_why_reply reply = {.vm = (char *)c->common.settings->vm};
    reply.decisions.decisions_len = (u_int)count;
    reply.decisions.decisions_val = out;
    CaroRpc_Reply(request, &reply);
}

/* Whether another VM decided the same a moment before or after. */
static bool
is_known(const Gather *g, const CaroDecision *d)
{
    enum { SAME_MS = 3000 };
    for (int i = 0; i < g->n_rows; i++) {
        const CaroDecision *other = &g->rows[i].decision;
        if (strcmp(other->subject, d->subject) == 0 &&
            strcmp(other->action, d->action) == 0 &&
            llabs(other->wall_ms - d->wall_ms) <= SAME_MS) {
            return true;
        }
    }
    return false;
}

static void
add_row(Gather *g, const char *vm, const CaroDecision *d)
{
    if (g->n_rows == ROWS_MAX || is_known(g, d)) {
        return;
    }
    CARO_COPY(g->rows[g->n_rows].vm, vm);
    g->rows[g->n_rows].decision = *d;
    g->n_rows++;
}

static int
compare_rows(const void *a, const void *b)
{
    int64_t x = ((const Row *)a)->decision.wall_ms;
    int64_t y = ((const Row *)b)->decision.wall_ms;
    return (x < y) - (x > y);
}

static void
add_lines(CaroReport *r, const Row *row)
{
    const CaroDecision *d = &row->decision;
    time_t seconds = (time_t)(d->wall_ms / 1000);
    struct tm parts;
    char text[16];
    (void)gmtime_r(&seconds, &parts);
    (void)strftime(text, sizeof(text), "%H:%M:%S", &parts);
    CaroReport_Line(r, "%s %.16s (%.10s)", text, d->subject, row->vm);
    CaroReport_Line(r, "  %s", d->action);
    CaroReport_Line(r, "  %.38s", d->cause);
}

static void
answer(Gather *g)
{
    CaroReport r;
    CaroReport_Init(&r);
    qsort(g->rows, (size_t)g->n_rows, sizeof(g->rows[0]), compare_rows);
    for (int i = 0; i < g->n_rows && i < SHOWN; i++) {
        add_lines(&r, &g->rows[i]);
    }
    if (g->n_rows == 0) {
        CaroReport_Line(&r, "no decision is kept about %.14s",
                        g->subject[0] == '\0' ? "anything" : g->subject);
    }
    if (g->silent > 0) {
        CaroReport_Line(&r, "%d VMs did not answer", g->silent);
    }
    if (g->req != NULL) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(g->req),
                                      NULL, NULL);
        CaroHttp_Text(g->req, HTTP_OK, CaroReport_End(&r));
    }
    free(g);
}

static void
on_reply(void *context, int code, const void *result)
{
    Gather *g = context;
    const caro_why_reply *reply = result;
    g->open--;
    g->silent += code < 0;
    for (u_int i = 0; code == 0 && i < reply->decisions.decisions_len; i++) {
        const caro_decision *in = &reply->decisions.decisions_val[i];
        CaroDecision d = {.wall_ms = in->wall_ms};
        CARO_COPY(d.part, in->part);
        CARO_COPY(d.subject, in->subject);
        CARO_COPY(d.action, in->action);
        CARO_COPY(d.cause, in->cause);
        add_row(g, reply->vm, &d);
    }
    if (g->open == 0) {
        answer(g);
    }
}

static void
on_operator_left(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    ((Gather *)arg)->req = NULL;
}

static void
ask_others(Gather *g)
{
    CaroConsole *c = g->console;
    caro_why_args args = {.subject = g->subject};
    for (CaroHandle h = 1; h < CaroMembership_Count(c->common.membership);
         h++) {
        if (g->open == ASKED_MAX) {
            return;
        }
        if (CaroMembership_IsUsable(c->common.membership, h)) {
            g->open++;
            CaroRpc_Call(c->common.rpc,
                         CaroMembership_Get(c->common.membership, h)->peer,
                         CARO_RPC_TCP, CARO_WHY, &args, ASK_TIMEOUT, on_reply,
                         g);
        }
    }
}

void
CaroConsole_ReportWhy(CaroConsole *c, struct evhttp_request *req,
                      const char *subject)
{
    const CaroDecision *found[CARO_WHY_MAX];
    Gather *g = calloc(1, sizeof(*g));
    if (g == NULL) {
        CaroHttp_Text(req, 503, "no memory\n");
        return;
    }
    g->console = c;
    g->req = req;
    CARO_COPY(g->subject, subject);
    evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                  on_operator_left, g);
    int count = collect_own(c, subject, found);
    for (int i = 0; i < count; i++) {
        add_row(g, c->common.settings->vm, found[i]);
    }
    ask_others(g);
    if (g->open == 0) {
        answer(g);
    }
}
