/*
 * Reports for operators, at most 40 columns by 20 lines.  Entries that need
 * attention come first.
 */
#include "internal/caro_console_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_reply.h"
#include "internal/caro_report.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *
CaroConsole_MemberStateWord(caro_member_state state)
{
    static const char *const words[] = {"ok", "SUSPECT", "leaving", "DEAD"};
    return words[state];
}

/* Counts the upstreams that are usable, or are not, except leaving ones. */
static int
count_upstreams(CaroConsole *c, CaroTime now, bool is_usable)
{
    int count = 0;
    for (CaroHandle h = 0; h < CaroUpstreams_Count(c->common.upstreams); h++) {
        const CaroUpstream *u = CaroUpstreams_Get(c->common.upstreams, h);
        count += !u->is_leaving && CaroUpstreams_IsUsable(c->common.upstreams,
                                                          h, now) == is_usable;
    }
    return count;
}

static void
report_status(CaroConsole *c, CaroReport *r, CaroTime now)
{
    const uint64_t *count = c->common.counters->values;
    int usable = CaroMembership_CountUsable(c->common.membership);
    int total = CaroMembership_Count(c->common.membership);
    int avoided = count_upstreams(c, now, false);
    bool is_store_unavailable =
        CaroConfigManager_IsStoreUnavailable(c->deps.config_manager);
    bool is_healthy = usable == total && avoided == 0 && !is_store_unavailable;
    CaroReport_Line(r, "%s  seen by %s", is_healthy ? "ok" : "LOOK",
                    c->common.settings->vm);
    CaroReport_Line(r, "vms    %d of %d usable", usable, total);
    CaroReport_Line(r, "up     %d usable, %d avoided",
                    count_upstreams(c, now, true), avoided);
    CaroReport_Line(r, "store  %s", is_store_unavailable ? "AWAY" : "answers");
    CaroReport_Line(r, "config rev %" PRIu64,
                    CaroConfigManager_Revision(c->deps.config_manager));
    CaroReport_Line(r, "gen    %u now, %" PRIu64 " done, %" PRIu64 " failed",
                    (unsigned)CaroSessions_Count(c->deps.sessions),
                    count[CARO_COUNT_GENERATIONS_DONE],
                    count[CARO_COUNT_GENERATIONS_FAILED]);
    CaroReport_Line(r, "resume %" PRIu64 ", taken over %" PRIu64,
                    count[CARO_COUNT_RESUMES], count[CARO_COUNT_TAKEOVERS]);
    CaroReport_Line(r, "orders %" PRIu64 " done, %" PRIu64 " unknown",
                    count[CARO_COUNT_ORDERS_DONE],
                    count[CARO_COUNT_ORDERS_UNKNOWN]);
    for (int i = 0; i < CaroAdmissions_Count(c->deps.admissions); i++) {
        const char *name;
        const CaroAdmission *a =
            CaroAdmissions_GetAt(c->deps.admissions, i, &name);
        CaroReport_Line(r, "%-10.10s %d run of %d, %d wait", name,
                        CaroAdmission_Running(a), CaroAdmission_Limit(a),
                        CaroAdmission_Waiting(a));
    }
}

static void
report_vms(CaroConsole *c, CaroReport *r)
{
    static const caro_member_state order[] = {
        CARO_MEMBER_DEAD, CARO_MEMBER_SUSPECT, CARO_MEMBER_LEAVING,
        CARO_MEMBER_ALIVE};
    for (int i = 0; i < 4; i++) {
        for (CaroHandle h = 0; h < CaroMembership_Count(c->common.membership);
             h++) {
            const CaroVm *vm = CaroMembership_Get(c->common.membership, h);
            if (vm->state == order[i]) {
                CaroReport_Line(r, "%-10.10s %-7s %s", vm->name,
                                CaroConsole_MemberStateWord(vm->state),
                                vm->http);
            }
        }
    }
}

static void
report_upstreams(CaroConsole *c, CaroReport *r, const char *deployment,
                 CaroTime now)
{
    for (int pass = 0; pass < 2; pass++) {
        for (CaroHandle h = 0; h < CaroUpstreams_Count(c->common.upstreams);
             h++) {
            const CaroUpstream *u = CaroUpstreams_Get(c->common.upstreams, h);
            bool is_usable =
                CaroUpstreams_IsUsable(c->common.upstreams, h, now);
            bool is_excluded = deployment[0] != '\0' &&
                               strcmp(u->deployment, deployment) != 0;
            if (is_usable != (pass == 1) || is_excluded) {
                continue;
            }
            const char *word = is_usable       ? "ok"
                               : u->is_leaving ? "leaving"
                                               : "AVOIDED";
            CaroReport_Line(
                r, "%-9.9s %-7s %-7.7s %-4.4s %3.0f%%", u->name, word,
                u->domain, u->version,
                100.0 * CaroUpstreams_Load(c->common.upstreams, h, now));
        }
    }
}

static void
report_deployments(CaroConsole *c, CaroReport *r)
{
    static const char *const words[] = {"", "moving", "done", "UNDONE"};
    for (int i = 0;
         CaroConfigManager_Get(c->deps.config_manager) != NULL &&
         i < CaroConfigManager_Get(c->deps.config_manager)->n_deployments;
         i++) {
        const CaroDeployment *d =
            &CaroConfigManager_Get(c->deps.config_manager)->deployments[i];
        const CaroRolloutPlan *p = &d->rollout;
        CaroReport_Line(r, "%-14.14s %-10.10s %s", d->name, d->version,
                        words[p->state]);
        if (p->state != CARO_ROLLOUT_NONE) {
            CaroReport_Line(r, "  %.12s to %.12s", p->from, p->to);
        }
        const CaroDeploymentRollout *active =
            CaroDeploymentRollouts_Find(c->deps.rollouts, d->name);
        if (p->state == CARO_ROLLOUT_RUNNING && active != NULL) {
            char text[96];
            double share = CaroRolloutPlan_Share(
                p, CaroDeploymentRollouts_Pace(c->deps.rollouts),
                CaroClock_WallMs());
            bool is_bad = CaroCanaryTest_IsBad(active->canary_test);
            CaroReport_Line(r, "  share %.1f%%%s", is_bad ? 0.0 : 100 * share,
                            is_bad ? ", taken back" : "");
            CaroReport_Line(r, "  %.38s",
                            CaroCanaryTest_FormatEvidence(active->canary_test,
                                                          text, sizeof(text)));
        }
        if (p->reason[0] != '\0') {
            CaroReport_Line(r, "  %.38s", p->reason);
        }
    }
}

enum { ACCOUNTS_SHOWN_MAX = 12 };

/* An account and the number of its sessions. */
typedef struct {
    char account[CARO_NAME_SIZE];
    int count;
} AccountCount;

typedef struct {
    AccountCount rows[ACCOUNTS_SHOWN_MAX];
    int n; /* Rows in use. */
} AccountCounts;

static void
count_account(void *context, const CaroSessionView *view)
{
    AccountCounts *top = context;
    int i = 0;
    while (i < top->n && strcmp(top->rows[i].account, view->account) != 0) {
        i++;
    }
    if (i < top->n) {
        top->rows[i].count++;
    }
    else if (top->n < ACCOUNTS_SHOWN_MAX) {
        CARO_COPY(top->rows[top->n].account, view->account);
        top->rows[top->n++].count = 1;
    }
}

static int
compare_counts(const void *a, const void *b)
{
    return ((const AccountCount *)b)->count - ((const AccountCount *)a)->count;
}

static void
report_top(CaroConsole *c, CaroReport *r)
{
    AccountCounts top = {.n = 0};
    CaroSessions_ForEach(c->deps.sessions, count_account, &top);
    qsort(top.rows, (size_t)top.n, sizeof(top.rows[0]), compare_counts);
    for (int i = 0; i < top.n; i++) {
        CaroReport_Line(r, "%-24.24s %5d now", top.rows[i].account,
                        top.rows[i].count);
    }
    if (top.n == 0) {
        CaroReport_Line(r, "no account has work on %s",
                        c->common.settings->vm);
    }
}

static void
report_help(CaroReport *r)
{
    CaroReport_Line(r, "st             the fleet in short");
    CaroReport_Line(r, "vm             VMs, worst first");
    CaroReport_Line(r, "up [DEP]       upstreams, worst first");
    CaroReport_Line(r, "dep            deployments and moves");
    CaroReport_Line(r, "mv DEP V by T  move traffic to version V");
    CaroReport_Line(r, "undo DEP       take a move back");
    CaroReport_Line(r, "why [NAME]     decisions, newest first");
    CaroReport_Line(r, "drain NAME     stop of a VM or upstream");
    CaroReport_Line(r, "top            accounts with most work");
    CaroReport_Line(r, "get, put FILE  the configuration");
    CaroReport_Line(r, "dump [VM]      the state of a process");
}

void
CaroConsole_Report(CaroConsole *c, CaroCall *req, const CaroCommand *command,
                   CaroTime now)
{
    CaroReport r;
    CaroReport_Init(&r);
    switch (command->kind) {
    case CARO_CMD_STATUS:
        report_status(c, &r, now);
        break;
    case CARO_CMD_VMS:
        report_vms(c, &r);
        break;
    case CARO_CMD_UPSTREAMS:
        report_upstreams(c, &r, command->subject, now);
        break;
    case CARO_CMD_DEPLOYMENTS:
        report_deployments(c, &r);
        break;
    case CARO_CMD_TOP:
        report_top(c, &r);
        break;
    default:
        report_help(&r);
        break;
    }
    CaroHttp_SendText(req, 200, CaroReport_End(&r));
}
