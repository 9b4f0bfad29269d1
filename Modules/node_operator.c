/*
 * The operators' side of a node: commands, the dump and the counters.
 *
 * Each report is at most 40 columns and 20 lines, the worst first.  The
 * answer to a change says "done", "not done" or "unknown", and why.
 */
#include "internal/caro_node_state.h"

#include "internal/caro_command.h"
#include "internal/caro_report.h"

#include <openssl/evp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DRAIN_TIMEOUT (1 * CARO_SECOND)

/* A command that waits for its end. */
typedef struct {
    CaroNode *node;
    struct evhttp_request *req; /* NULL when the operator left. */
    char what[64];              /* The change, for its record. */
    char subject[CARO_NAME_SIZE];
    char operator_name[CARO_NAME_SIZE];
} Pending;

static void
hash_token(const char *token, char digits[65])
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int n = 0;
    (void)EVP_Digest(token, strlen(token), digest, &n, EVP_sha256(), NULL);
    for (unsigned int i = 0; i < n && i < 32; i++) {
        (void)snprintf(digits + (size_t)2 * i, 3, "%02x", digest[i]);
    }
}

bool
CaroNode_CheckOperator(CaroNode *n, struct evhttp_request *req,
                       char name[CARO_NAME_SIZE])
{
    static const char scheme[] = "Bearer ";
    const char *header = CaroHttp_Header(req, "Authorization");
    char digits[65] = "";
    if (header != NULL && strncmp(header, scheme, sizeof(scheme) - 1) == 0) {
        hash_token(header + sizeof(scheme) - 1, digits);
    }
    for (int i = 0; i < n->settings.n_operators; i++) {
        if (strcmp(n->settings.operators[i].token_sha256, digits) == 0) {
            (void)snprintf(name, CARO_NAME_SIZE, "%s",
                           n->settings.operators[i].name);
            return true;
        }
    }
    CaroHttp_Problem(req, 401, CARO_RUN_NO, "an operator's token is required",
                     "header Authorization: Bearer TOKEN");
    return false;
}

static const char *
state_word(caro_member_state state)
{
    static const char *const words[] = {"ok", "SUSPECT", "leaving", "DEAD"};
    return words[state];
}

static int
count_upstreams(CaroNode *n, CaroTime now, bool is_usable)
{
    int count = 0;
    for (CaroHandle h = 0; h < CaroUpstreams_Count(n->upstreams); h++) {
        const CaroUpstream *u = CaroUpstreams_Get(n->upstreams, h);
        count += !u->is_leaving &&
                 CaroUpstreams_IsUsable(n->upstreams, h, now) == is_usable;
    }
    return count;
}

static void
report_status(CaroNode *n, CaroReport *r, CaroTime now)
{
    const uint64_t *c = n->counters.values;
    int usable = CaroMembership_CountUsable(n->membership);
    int all = CaroMembership_Count(n->membership);
    int bad = count_upstreams(n, now, false);
    bool is_store_away = n->store_backoff != 0;
    bool is_well = usable == all && bad == 0 && !is_store_away;
    CaroReport_Line(r, "%s  seen by %s", is_well ? "ok" : "LOOK",
                    n->settings.vm);
    CaroReport_Line(r, "vms    %d of %d usable", usable, all);
    CaroReport_Line(r, "up     %d usable, %d avoided",
                    count_upstreams(n, now, true), bad);
    CaroReport_Line(r, "store  %s", is_store_away ? "AWAY" : "answers");
    CaroReport_Line(r, "config rev %" PRIu64, CaroNode_ConfigRevision(n));
    CaroReport_Line(r, "gen    %u now, %" PRIu64 " done, %" PRIu64 " failed",
                    HASH_COUNT(n->sessions), c[CARO_COUNT_GENERATIONS_DONE],
                    c[CARO_COUNT_GENERATIONS_FAILED]);
    CaroReport_Line(r, "resume %" PRIu64 ", taken over %" PRIu64,
                    c[CARO_COUNT_RESUMES], c[CARO_COUNT_TAKEOVERS]);
    CaroReport_Line(r, "orders %" PRIu64 " done, %" PRIu64 " unknown",
                    c[CARO_COUNT_ORDERS_DONE], c[CARO_COUNT_ORDERS_UNKNOWN]);
    for (int i = 0; i < n->n_admissions; i++) {
        CaroReport_Line(r, "%-10.10s %d run of %d, %d wait",
                        n->admission_names[i],
                        CaroAdmission_Running(n->admissions[i]),
                        CaroAdmission_Limit(n->admissions[i]),
                        CaroAdmission_Waiting(n->admissions[i]));
    }
}

static void
report_vms(CaroNode *n, CaroReport *r)
{
    static const caro_member_state order[] = {
        CARO_MEMBER_DEAD, CARO_MEMBER_SUSPECT, CARO_MEMBER_LEAVING,
        CARO_MEMBER_ALIVE};
    for (int i = 0; i < 4; i++) {
        for (CaroHandle h = 0; h < CaroMembership_Count(n->membership); h++) {
            const CaroVm *vm = CaroMembership_Get(n->membership, h);
            if (vm->state == order[i]) {
                CaroReport_Line(r, "%-10.10s %-7s %-8.8s %s", vm->name,
                                state_word(vm->state), vm->domain, vm->http);
            }
        }
    }
}

static void
report_upstreams(CaroNode *n, CaroReport *r, const char *deployment,
                 CaroTime now)
{
    for (int pass = 0; pass < 2; pass++) {
        for (CaroHandle h = 0; h < CaroUpstreams_Count(n->upstreams); h++) {
            const CaroUpstream *u = CaroUpstreams_Get(n->upstreams, h);
            bool is_usable = CaroUpstreams_IsUsable(n->upstreams, h, now);
            bool is_other = deployment[0] != '\0' &&
                            strcmp(u->deployment, deployment) != 0;
            if (is_usable != (pass == 1) || is_other) {
                continue;
            }
            const char *word = is_usable       ? "ok"
                               : u->is_leaving ? "leaving"
                                               : "AVOIDED";
            CaroReport_Line(r, "%-9.9s %-7s %-7.7s %-4.4s %3.0f%%", u->name,
                            word, u->domain, u->version,
                            100.0 * CaroUpstreams_Load(n->upstreams, h, now));
        }
    }
}

static void
report_deployments(CaroNode *n, CaroReport *r)
{
    static const char *const words[] = {"", "moving", "done", "UNDONE"};
    for (int i = 0; n->config != NULL && i < n->config->n_deployments; i++) {
        const CaroDeployment *d = &n->config->deployments[i];
        const CaroRolloutPlan *p = &d->rollout;
        CaroReport_Line(r, "%-14.14s %-10.10s %s", d->name, d->version,
                        words[p->state]);
        if (p->state != CARO_ROLLOUT_NONE) {
            CaroReport_Line(r, "  %.12s to %.12s", p->from, p->to);
        }
        const CaroMove *move = CaroNode_FindMove(n, d->name);
        if (p->state == CARO_ROLLOUT_MOVING && move != NULL) {
            char text[96];
            double share =
                CaroRollout_Share(p, &CARO_PACE_CAREFUL, CaroClock_WallMs());
            bool is_bad = CaroRollout_IsBad(move->rollout);
            CaroReport_Line(r, "  share %.1f%%%s", is_bad ? 0.0 : 100 * share,
                            is_bad ? ", taken back" : "");
            CaroReport_Line(
                r, "  %.38s",
                CaroRollout_Evidence(move->rollout, text, sizeof(text)));
        }
        if (p->reason[0] != '\0') {
            CaroReport_Line(r, "  %.38s", p->reason);
        }
    }
}

static void
report_why(CaroNode *n, CaroReport *r, const char *subject)
{
    enum { SHOWN = 6 };
    const CaroDecision *d;
    int shown = 0;
    for (int i = 0; (d = CaroDecisions_Get(n->decisions, i)) != NULL; i++) {
        bool is_match = subject[0] == '\0' ||
                        strcmp(d->subject, subject) == 0 ||
                        strcmp(d->part, subject) == 0;
        if (!is_match || shown == SHOWN) {
            continue;
        }
        time_t seconds = (time_t)(d->wall_ms / 1000);
        struct tm parts;
        char text[16];
        (void)gmtime_r(&seconds, &parts);
        (void)strftime(text, sizeof(text), "%H:%M:%S", &parts);
        CaroReport_Line(r, "%s %s", text, d->subject);
        CaroReport_Line(r, "  %s", d->action);
        CaroReport_Line(r, "  %.38s", d->cause);
        shown++;
    }
    if (shown == 0) {
        CaroReport_Line(r, "no decision is kept about %.14s",
                        subject[0] == '\0' ? "anything" : subject);
    }
}

static void
report_top(CaroNode *n, CaroReport *r)
{
    enum { SHOWN = 12 };
    typedef struct {
        const char *account;
        int count;
    } Row;
    Row rows[SHOWN];
    int count = 0;
    CaroSession *s;
    CaroSession *next;
    HASH_ITER(hh, n->sessions, s, next)
    {
        int i = 0;
        while (i < count && strcmp(rows[i].account, s->account) != 0) {
            i++;
        }
        if (i < count) {
            rows[i].count++;
        }
        else if (count < SHOWN) {
            rows[count++] = (Row){s->account, 1};
        }
    }
    for (int i = 0; i < count; i++) {
        for (int j = i + 1; j < count; j++) {
            if (rows[j].count > rows[i].count) {
                Row swap = rows[i];
                rows[i] = rows[j];
                rows[j] = swap;
            }
        }
        CaroReport_Line(r, "%-24.24s %5d now", rows[i].account, rows[i].count);
    }
    if (count == 0) {
        CaroReport_Line(r, "no account has work on %s", n->settings.vm);
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
    CaroReport_Line(r, "drain VM       planned stop of a VM");
    CaroReport_Line(r, "top            accounts with most work");
}

static void
on_operator_left(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    ((Pending *)arg)->req = NULL;
}

static Pending *
new_pending(CaroNode *n, struct evhttp_request *req, const char *operator_name,
            const CaroCommand *command, const char *what)
{
    Pending *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        CaroHttp_Text(req, 503, "not done: no memory\n");
        return NULL;
    }
    p->node = n;
    p->req = req;
    CARO_COPY(p->what, what);
    CARO_COPY(p->subject, command->subject);
    CARO_COPY(p->operator_name, operator_name);
    evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                  on_operator_left, p);
    return p;
}

/* Answers and records a change that ended. */
static void
end_pending(Pending *p, const char *verdict, const char *detail)
{
    CaroReport r;
    CaroDecisions_Add(p->node->decisions, CaroClock_WallMs(), "operator",
                      p->subject, verdict, "%s by %s; %s", p->what,
                      p->operator_name, detail);
    CaroLog_Info("operator", "A command ended. what=\"%s\" by=%s verdict=%s",
                 p->what, p->operator_name, verdict);
    if (p->req != NULL) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(p->req),
                                      NULL, NULL);
        CaroReport_Init(&r);
        CaroReport_Line(&r, "%s: %s", verdict, p->what);
        for (size_t at = 0; at < strlen(detail);
             at += CARO_REPORT_COLUMNS - 2) {
            CaroReport_Line(&r, "  %.38s", detail + at);
        }
        CaroHttp_Text(p->req, HTTP_OK, CaroReport_End(&r));
    }
    free(p);
}

static void
on_config_changed(void *context, int code, uint64_t revision, const char *text)
{
    char detail[160];
    Pending *p = context;
    if (code == 0) {
        (void)snprintf(detail, sizeof(detail), "rev %" PRIu64, revision);
        end_pending(p, "done", detail);
        return;
    }
    (void)snprintf(detail, sizeof(detail), "%s", text);
    end_pending(p, code == CARO_ERR_TIMEOUT ? "unknown" : "not done", detail);
}

static json_t *
find_deployment(json_t *root, const char *name)
{
    size_t i;
    json_t *d;
    json_array_foreach(json_object_get(root, "deployments"), i, d)
    {
        const char *s = json_string_value(json_object_get(d, "name"));
        if (s != NULL && strcmp(s, name) == 0) {
            return d;
        }
    }
    return NULL;
}

static void
set_move(json_t *deployment, const CaroCommand *command, int64_t now_ms)
{
    json_t *from = json_object_get(deployment, "version");
    json_object_set_new(
        deployment, "rollout",
        json_pack("{s:s, s:O, s:s, s:I, s:I}", "state", "moving", "from", from,
                  "to", command->move.version, "start_ms", (json_int_t)now_ms,
                  "by_ms", (json_int_t)command->move.by_ms));
}

static void
set_undone(json_t *deployment, const char *by)
{
    char reason[64];
    json_t *rollout = json_object_get(deployment, "rollout");
    (void)snprintf(reason, sizeof(reason), "undone by %s", by);
    json_object_set_new(rollout, "state", json_string("undone"));
    json_object_set_new(rollout, "reason", json_string(reason));
}

static void
run_change(CaroNode *n, struct evhttp_request *req, const CaroCommand *c,
           const char *by)
{
    char what[64];
    int64_t now_ms = CaroClock_WallMs();
    json_t *root =
        n->config == NULL
            ? NULL
            : json_loadb(n->config->text, n->config->text_size, 0, NULL);
    json_t *d = find_deployment(root, c->subject);
    if (d == NULL) {
        CaroHttp_Text(req, HTTP_OK, "not done: no such deployment; try dep\n");
        json_decref(root);
        return;
    }
    if (c->kind == CARO_CMD_UNDO && json_object_get(d, "rollout") == NULL) {
        CaroHttp_Text(req, HTTP_OK, "not done: nothing moves there\n");
        json_decref(root);
        return;
    }
    if (c->kind == CARO_CMD_MOVE) {
        set_move(d, c, now_ms);
        (void)snprintf(what, sizeof(what), "mv %.20s %.20s", c->subject,
                       c->move.version);
    }
    else {
        set_undone(d, by);
        (void)snprintf(what, sizeof(what), "undo %.20s", c->subject);
    }
    Pending *p = new_pending(n, req, by, c, what);
    if (p != NULL) {
        CaroNode_ChangeConfig(n, root, by, on_config_changed, p);
    }
    json_decref(root);
}

static void
on_drain_answer(void *context, int code, const void *result)
{
    (void)result;
    if (code == 0) {
        end_pending(context, "done", "the VM leaves; see vm");
        return;
    }
    end_pending(context, "unknown", "the VM did not answer within 1 s");
}

static void
run_drain(CaroNode *n, struct evhttp_request *req, const CaroCommand *c,
          const char *by)
{
    char what[64];
    CaroHandle vm = CaroMembership_Find(n->membership, c->subject);
    if (vm == CARO_NO_HANDLE) {
        CaroHttp_Text(req, HTTP_OK, "not done: no such VM; try vm\n");
        return;
    }
    (void)snprintf(what, sizeof(what), "drain %.31s", c->subject);
    Pending *p = new_pending(n, req, by, c, what);
    if (p == NULL) {
        return;
    }
    if (vm == CARO_SELF) {
        CaroNode_Drain(n);
        end_pending(p, "done", "the VM leaves; see vm");
        return;
    }
    caro_heartbeat h;
    memset(&h, 0, sizeof(h));
    h.sender = n->settings.vm;
    CaroRpc_Call(n->rpc, CaroMembership_Get(n->membership, vm)->peer,
                 CARO_RPC_TCP, CARO_DRAIN, &h, DRAIN_TIMEOUT, on_drain_answer,
                 p);
}

static void
run_report(CaroNode *n, struct evhttp_request *req, const CaroCommand *c,
           CaroTime now)
{
    CaroReport r;
    CaroReport_Init(&r);
    switch (c->kind) {
    case CARO_CMD_STATUS:
        report_status(n, &r, now);
        break;
    case CARO_CMD_VMS:
        report_vms(n, &r);
        break;
    case CARO_CMD_UPSTREAMS:
        report_upstreams(n, &r, c->subject, now);
        break;
    case CARO_CMD_DEPLOYMENTS:
        report_deployments(n, &r);
        break;
    case CARO_CMD_WHY:
        report_why(n, &r, c->subject);
        break;
    case CARO_CMD_TOP:
        report_top(n, &r);
        break;
    default:
        report_help(&r);
        break;
    }
    CaroHttp_Text(req, HTTP_OK, CaroReport_End(&r));
}

void
CaroNode_OnCommand(CaroNode *n, struct evhttp_request *req, CaroTime now)
{
    enum { LINE_SIZE = 128 };
    char line[LINE_SIZE];
    char by[CARO_NAME_SIZE];
    size_t size;
    CaroCommand command;
    CaroError err;
    if (!CaroNode_CheckOperator(n, req, by)) {
        return;
    }
    const char *body = CaroHttp_Body(req, &size);
    (void)snprintf(line, sizeof(line), "%.*s", (int)size, body);
    if (CaroCommand_Parse(line, CaroClock_WallMs(), &command, &err) < 0) {
        CaroReport r;
        CaroReport_Init(&r);
        CaroReport_Line(&r, "not understood");
        CaroReport_Line(&r, "%s", err.detail);
        CaroHttp_Text(req, 400, CaroReport_End(&r));
        return;
    }
    switch (command.kind) {
    case CARO_CMD_MOVE:
    case CARO_CMD_UNDO:
        run_change(n, req, &command, by);
        break;
    case CARO_CMD_DRAIN:
        run_drain(n, req, &command, by);
        break;
    default:
        run_report(n, req, &command, now);
        break;
    }
}

static json_t *
dump_members(CaroNode *n)
{
    json_t *list = json_array();
    for (CaroHandle h = 0; h < CaroMembership_Count(n->membership); h++) {
        const CaroVm *vm = CaroMembership_Get(n->membership, h);
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:s, s:I}", "vm", vm->name, "state",
                      state_word(vm->state), "domain", vm->domain, "http",
                      vm->http, "incarnation", (json_int_t)vm->incarnation));
    }
    return list;
}

static json_t *
dump_upstreams(CaroNode *n, CaroTime now)
{
    json_t *list = json_array();
    for (CaroHandle h = 0; h < CaroUpstreams_Count(n->upstreams); h++) {
        const CaroUpstream *u = CaroUpstreams_Get(n->upstreams, h);
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:b, s:i, s:f, s:I, s:I}", "name",
                            u->name, "deployment", u->deployment, "version",
                            u->version, "usable",
                            CaroUpstreams_IsUsable(n->upstreams, h, now),
                            "in_flight", u->in_flight, "load",
                            CaroUpstreams_Load(n->upstreams, h, now),
                            "requests", (json_int_t)u->requests_total,
                            "failures", (json_int_t)u->failures_total));
    }
    return list;
}

static json_t *
dump_sessions(CaroNode *n)
{
    enum { SHOWN = 1000 };
    json_t *list = json_array();
    CaroSession *s;
    CaroSession *next;
    int shown = 0;
    HASH_ITER(hh, n->sessions, s, next)
    {
        char id[20];
        if (shown++ == SHOWN) {
            break;
        }
        (void)snprintf(id, sizeof(id), "%016" PRIx64, s->id);
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:b, s:b}", "id", id,
                      "account", s->account, "deployment", s->deployment,
                      "tokens", (int)CaroJournal_Count(s->journal), "acked",
                      (int)s->acked, "sent", (int)s->sent, "admitted",
                      s->is_admitted, "caller", s->req != NULL));
    }
    return list;
}

void
CaroNode_OnDump(CaroNode *n, struct evhttp_request *req, CaroTime now)
{
    char by[CARO_NAME_SIZE];
    if (!CaroNode_CheckOperator(n, req, by)) {
        return;
    }
    json_t *value = json_pack(
        "{s:s, s:I, s:b, s:o, s:o, s:o, s:I, s:I, s:i, s:I}", "vm",
        n->settings.vm, "config_revision",
        (json_int_t)CaroNode_ConfigRevision(n), "draining", n->is_draining,
        "members", dump_members(n), "upstreams", dump_upstreams(n, now),
        "sessions", dump_sessions(n), "journal_bytes",
        (json_int_t)CaroJournalTable_Bytes(n->own), "copy_bytes",
        (json_int_t)CaroJournalTable_Bytes(n->copies), "order_records",
        CaroOrders_Count(n->orders), "cpu_us", (json_int_t)CaroClock_Cpu());
    CaroHttp_Json(req, HTTP_OK, value);
    json_decref(value);
}

void
CaroNode_OnCounters(CaroNode *n, struct evhttp_request *req)
{
    enum { TEXT_SIZE = 8192 };
    char text[TEXT_SIZE];
    size_t at = 0;
    for (int i = 0; i < CARO_COUNTERS; i++) {
        at += (size_t)snprintf(
            text + at, sizeof(text) - at, "%s %" PRIu64 "\n",
            CaroCounters_Name((CaroCounter)i), n->counters.values[i]);
    }
    (void)snprintf(text + at, sizeof(text) - at,
                   "udp_bytes %" PRIu64 "\ntcp_peer_bytes %" PRIu64
                   "\ncpu_us %" PRId64 "\n",
                   CaroRpc_UdpBytes(n->rpc), CaroRpc_TcpBytes(n->rpc),
                   CaroClock_Cpu());
    CaroHttp_Text(req, HTTP_OK, text);
}
