/*
 * The command "why": the newest decisions of the VMs about a subject.
 *
 * The VM that receives the command queries up to PEERS_QUERIED_MAX peers in
 * parallel, adds its own decisions, and answers when all of them have replied
 * or timed out.  A decision that several VMs made is shown once.
 */
#include "internal/caro_console_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_reply.h"
#include "internal/caro_report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define QUERY_TIMEOUT (500 * CARO_MS)

enum {
    PEERS_QUERIED_MAX = 32,
    ROWS_MAX = (PEERS_QUERIED_MAX + 1) * CARO_WHY_MAX,
    DECISIONS_SHOWN_MAX = 6 /* Three lines each, of 20 in a report. */
};

/* A decision and the VM that made it. */
typedef struct {
    char vm[CARO_NAME_SIZE];
    CaroDecision decision;
} DecisionRow;

/* A command that waits for the replies of peers. */
typedef struct {
    CaroConsole *console;
    CaroCall *req; /* NULL after the operator disconnected. */
    char subject[CARO_NAME_SIZE];
    int pending;    /* Peers whose reply is outstanding. */
    int unanswered; /* Peers that failed or did not reply in time. */
    DecisionRow rows[ROWS_MAX];
    int n_rows;
} WhyQuery;

/* An empty subject matches every decision; any other one matches the
   decisions that have it as their subject or part. */
static bool
matches_subject(const CaroDecision *d, const char *subject)
{
    return subject[0] == '\0' || strcmp(d->subject, subject) == 0 ||
           strcmp(d->part, subject) == 0;
}

/*
 * Finds this VM's decisions about the subject, newest first.  Returns their
 * number; the decisions are borrowed.
 */
static int
find_own_decisions(const CaroConsole *c, const char *subject,
                   const CaroDecision *found[CARO_WHY_MAX])
{
    const CaroDecision *d;
    int count = 0;
    for (int age = 0; count < CARO_WHY_MAX; age++) {
        d = CaroDecisions_Get(c->common.decisions, age);
        if (d == NULL) {
            break;
        }
        if (matches_subject(d, subject)) {
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
    int count = find_own_decisions(c, args->subject, found);
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

/*
 * Whether a decision with the same subject and action, at most
 * DUPLICATE_WINDOW_MS apart, is already listed.
 */
static bool
is_duplicate(const WhyQuery *q, const CaroDecision *d)
{
    enum { DUPLICATE_WINDOW_MS = 3000 };
    for (int i = 0; i < q->n_rows; i++) {
        const CaroDecision *other = &q->rows[i].decision;
        if (strcmp(other->subject, d->subject) == 0 &&
            strcmp(other->action, d->action) == 0 &&
            llabs(other->wall_ms - d->wall_ms) <= DUPLICATE_WINDOW_MS) {
            return true;
        }
    }
    return false;
}

static void
add_row(WhyQuery *q, const char *vm, const CaroDecision *d)
{
    if (q->n_rows == ROWS_MAX || is_duplicate(q, d)) {
        return;
    }
    CARO_COPY(q->rows[q->n_rows].vm, vm);
    q->rows[q->n_rows].decision = *d;
    q->n_rows++;
}

/* Orders the newest first. */
static int
compare_rows(const void *a, const void *b)
{
    int64_t x = ((const DecisionRow *)a)->decision.wall_ms;
    int64_t y = ((const DecisionRow *)b)->decision.wall_ms;
    return (x < y) - (x > y);
}

static void
add_decision(CaroReport *r, const DecisionRow *row)
{
    const CaroDecision *d = &row->decision;
    time_t seconds = (time_t)(d->wall_ms / 1000);
    struct tm utc;
    char text[16];
    (void)gmtime_r(&seconds, &utc);
    (void)strftime(text, sizeof(text), "%H:%M:%S", &utc);
    CaroReport_Line(r, "%s %.16s (%.10s)", text, d->subject, row->vm);
    CaroReport_Line(r, "  %s", d->action);
    CaroReport_Line(r, "  %.38s", d->cause);
}

/* Sends the report, unless the operator disconnected, and releases q. */
static void
send_report(WhyQuery *q)
{
    CaroReport r;
    CaroReport_Init(&r);
    qsort(q->rows, (size_t)q->n_rows, sizeof(q->rows[0]), compare_rows);
    for (int i = 0; i < q->n_rows && i < DECISIONS_SHOWN_MAX; i++) {
        add_decision(&r, &q->rows[i]);
    }
    if (q->n_rows == 0) {
        CaroReport_Line(&r, "no decision is kept about %.14s",
                        q->subject[0] == '\0' ? "anything" : q->subject);
    }
    if (q->unanswered > 0) {
        CaroReport_Line(&r, "%d VMs did not answer", q->unanswered);
    }
    if (q->req != NULL) {
        CaroCall_SetCloseHandler(q->req, NULL, NULL);
        CaroHttp_SendText(q->req, 200, CaroReport_End(&r));
    }
    free(q);
}

static void
on_reply(void *context, int code, const void *result)
{
    WhyQuery *q = context;
    const caro_why_reply *reply = result;
    q->pending--;
    q->unanswered += code < 0;
    for (u_int i = 0; code == 0 && i < reply->decisions.decisions_len; i++) {
        const caro_decision *in = &reply->decisions.decisions_val[i];
        CaroDecision d = {.wall_ms = in->wall_ms};
        CARO_COPY(d.part, in->part);
        CARO_COPY(d.subject, in->subject);
        CARO_COPY(d.action, in->action);
        CARO_COPY(d.cause, in->cause);
        add_row(q, reply->vm, &d);
    }
    if (q->pending == 0) {
        send_report(q);
    }
}

static void
on_operator_disconnected(void *arg)
{
    ((WhyQuery *)arg)->req = NULL;
}

static void
query_peers(WhyQuery *q)
{
    CaroConsole *c = q->console;
    caro_why_args args = {.subject = q->subject};
    for (CaroHandle h = 1; h < CaroMembership_Count(c->common.membership);
         h++) {
        if (q->pending == PEERS_QUERIED_MAX) {
            return;
        }
        if (CaroMembership_IsUsable(c->common.membership, h)) {
            q->pending++;
            CaroRpc_Call(c->common.rpc,
                         CaroMembership_Get(c->common.membership, h)->peer,
                         CARO_RPC_TCP, CARO_WHY, &args, QUERY_TIMEOUT,
                         on_reply, q);
        }
    }
}

void
CaroConsole_ReportWhy(CaroConsole *c, CaroCall *req, const char *subject)
{
    const CaroDecision *found[CARO_WHY_MAX];
    WhyQuery *q = calloc(1, sizeof(*q));
    if (q == NULL) {
        CaroHttp_SendText(req, 503, "no memory\n");
        return;
    }
    q->console = c;
    q->req = req;
    CARO_COPY(q->subject, subject);
    CaroCall_SetCloseHandler(req, on_operator_disconnected, q);
    int count = find_own_decisions(c, subject, found);
    for (int i = 0; i < count; i++) {
        add_row(q, c->common.settings->vm, found[i]);
    }
    query_peers(q);
    if (q->pending == 0) {
        send_report(q);
    }
}
