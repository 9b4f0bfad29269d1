/*
 * The operators' commands: who may give them, and those that change
 * something.  The answer to a change says "done", "not done" or "unknown",
 * and why.
 */
#include "internal/caro_console_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_http.h"
#include "internal/caro_log.h"
#include "internal/caro_report.h"

#include <openssl/evp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DRAIN_TIMEOUT (1 * CARO_SECOND)

/* A command that waits for its end. */
typedef struct {
    CaroConsole *console;
    struct evhttp_request *req; /* NULL when the operator left. */
    char what[64];              /* The change, for its record. */
    char subject[CARO_NAME_SIZE];
    char operator_name[CARO_NAME_SIZE];
} Pending;

CaroConsole *
CaroConsole_Create(const CaroCommon *common, const CaroConsoleDeps *parts)
{
    CaroConsole *c = calloc(1, sizeof(*c));
    if (c != NULL) {
        c->common = *common;
        c->parts = *parts;
    }
    return c;
}

void
CaroConsole_Destroy(CaroConsole *c)
{
    free(c);
}

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

static bool
check_operator(const CaroConsole *c, struct evhttp_request *req,
               char name[CARO_NAME_SIZE])
{
    static const char scheme[] = "Bearer ";
    const char *header = CaroHttp_Header(req, "Authorization");
    char digits[65] = "";
    if (header != NULL && strncmp(header, scheme, sizeof(scheme) - 1) == 0) {
        hash_token(header + sizeof(scheme) - 1, digits);
    }
    for (int i = 0; i < c->common.settings->n_operators; i++) {
        if (strcmp(c->common.settings->operators[i].token_sha256, digits) ==
            0) {
            (void)snprintf(name, CARO_NAME_SIZE, "%s",
                           c->common.settings->operators[i].name);
            return true;
        }
    }
    CaroHttp_Problem(req, 401, CARO_RUN_NO, "an operator's token is required",
                     "header Authorization: Bearer TOKEN");
    return false;
}

static void
on_operator_left(struct evhttp_connection *connection, void *arg)
{
    (void)connection;
    ((Pending *)arg)->req = NULL;
}

static Pending *
new_pending(CaroConsole *c, struct evhttp_request *req,
            const char *operator_name, const char *subject, const char *what)
{
    Pending *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        CaroHttp_Text(req, 503, "not done: no memory\n");
        return NULL;
    }
    p->console = c;
    p->req = req;
    CARO_COPY(p->what, what);
    CARO_COPY(p->subject, subject);
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
    CaroDecisions_Add(p->console->common.decisions, CaroClock_WallMs(),
                      "operator", p->subject, verdict, "%s by %s; %s", p->what,
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

/* Writes the configuration and answers with what became of it. */
static void
change_config(CaroConsole *c, struct evhttp_request *req, const char *subject,
              const char *what, json_t *root, const char *by)
{
    Pending *p = new_pending(c, req, by, subject, what);
    if (p != NULL) {
        CaroConfigManager_Write(c->parts.keeper, root, by, on_config_changed,
                                p);
    }
}

/* A copy of the configuration in force, to be changed; or NULL. */
static json_t *
load_config(const CaroConsole *c)
{
    if (CaroConfigManager_Get(c->parts.keeper) == NULL) {
        return NULL;
    }
    return json_loadb(CaroConfigManager_Get(c->parts.keeper)->text,
                      CaroConfigManager_Get(c->parts.keeper)->text_size, 0,
                      NULL);
}

static void
set_move(json_t *deployment, const CaroCommand *command, int64_t now_ms)
{
    json_t *from = json_object_get(deployment, "version");
    json_object_set_new(
        deployment, "rollout",
        json_pack("{s:s, s:O, s:s, s:I, s:I}", "state", "moving", "from", from,
                  "to", command->move.version, "start_ms", (json_int_t)now_ms,
                  "by_ms", (json_int_t)command->move.end_ms));
}

static void
set_undone(json_t *deployment, const char *by)
{
    char reason[64];
    json_t *rollout = json_object_get(deployment, "rollout");
    const char *state = json_string_value(json_object_get(rollout, "state"));
    if (state != NULL && strcmp(state, "done") == 0) {
        /* A move that was done is taken back to where it came from. */
        json_object_set(deployment, "version",
                        json_object_get(rollout, "from"));
    }
    (void)snprintf(reason, sizeof(reason), "undone by %s", by);
    json_object_set_new(rollout, "state", json_string("undone"));
    json_object_set_new(rollout, "reason", json_string(reason));
}

static void
run_change(CaroConsole *c, struct evhttp_request *req,
           const CaroCommand *command, const char *by)
{
    char what[64];
    int64_t now_ms = CaroClock_WallMs();
    json_t *root = load_config(c);
    json_t *d = CaroConfig_FindJson(root, "deployments", command->subject);
    if (d == NULL) {
        CaroHttp_Text(req, HTTP_OK, "not done: no such deployment; try dep\n");
        json_decref(root);
        return;
    }
    if (command->kind == CARO_CMD_UNDO &&
        json_object_get(d, "rollout") == NULL) {
        CaroHttp_Text(req, HTTP_OK, "not done: nothing moves there\n");
        json_decref(root);
        return;
    }
    if (command->kind == CARO_CMD_MOVE) {
        set_move(d, command, now_ms);
        (void)snprintf(what, sizeof(what), "mv %.20s %.20s", command->subject,
                       command->move.version);
    }
    else {
        set_undone(d, by);
        (void)snprintf(what, sizeof(what), "undo %.20s", command->subject);
    }
    change_config(c, req, command->subject, what, root, by);
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

/* An upstream leaves: no new work, what runs there ends. */
static void
drain_upstream(CaroConsole *c, struct evhttp_request *req,
               const CaroCommand *command, const char *by)
{
    char what[64];
    json_t *root = load_config(c);
    json_t *u = CaroConfig_FindJson(root, "upstreams", command->subject);
    if (u == NULL) {
        CaroHttp_Text(req, HTTP_OK,
                      "not done: no such VM or upstream;\n  try vm or up\n");
        json_decref(root);
        return;
    }
    json_object_set_new(u, "leaving", json_true());
    (void)snprintf(what, sizeof(what), "drain %.31s", command->subject);
    change_config(c, req, command->subject, what, root, by);
    json_decref(root);
}

static void
run_drain(CaroConsole *c, struct evhttp_request *req,
          const CaroCommand *command, const char *by)
{
    char what[64];
    CaroHandle vm =
        CaroMembership_Find(c->common.membership, command->subject);
    if (vm == CARO_NO_HANDLE) {
        drain_upstream(c, req, command, by);
        return;
    }
    (void)snprintf(what, sizeof(what), "drain %.31s", command->subject);
    Pending *p = new_pending(c, req, by, command->subject, what);
    if (p == NULL) {
        return;
    }
    if (vm == CARO_SELF) {
        c->parts.drain(c->parts.context);
        end_pending(p, "done", "the VM leaves; see vm");
        return;
    }
    caro_heartbeat h;
    memset(&h, 0, sizeof(h));
    h.sender = (char *)c->common.settings->vm;
    CaroRpc_Call(
        c->common.rpc, CaroMembership_Get(c->common.membership, vm)->peer,
        CARO_RPC_TCP, CARO_DRAIN, &h, DRAIN_TIMEOUT, on_drain_answer, p);
}

/* A command that waits for the configuration. */
typedef struct {
    CaroConsole *console;
    struct evhttp_request *req;
    CaroCommand command;
    char by[CARO_NAME_SIZE];
} Waiting;

static void
on_refreshed(void *context, int code)
{
    Waiting *w = context;
    if (code < 0) {
        CaroHttp_Text(w->req, HTTP_OK,
                      "unknown: an earlier change\n"
                      "  the store does not answer; this one was\n"
                      "  not begun\n");
    }
    else if (w->command.kind == CARO_CMD_DRAIN) {
        run_drain(w->console, w->req, &w->command, w->by);
    }
    else {
        run_change(w->console, w->req, &w->command, w->by);
    }
    free(w);
}

/* A change is made from the configuration that the store holds, also when
   an earlier one took effect unseen. */
static void
run_on_newest(CaroConsole *c, struct evhttp_request *req,
              const CaroCommand *command, const char *by)
{
    Waiting *w = calloc(1, sizeof(*w));
    if (w == NULL) {
        CaroHttp_Text(req, HTTP_OK, "not done: no memory\n");
        return;
    }
    w->console = c;
    w->req = req;
    w->command = *command;
    CARO_COPY(w->by, by);
    CaroConfigManager_Refresh(c->parts.keeper, on_refreshed, w);
}

void
CaroConsole_OnCommand(CaroConsole *c, struct evhttp_request *req, CaroTime now)
{
    enum { LINE_SIZE = 128 };
    char line[LINE_SIZE];
    char by[CARO_NAME_SIZE];
    size_t size;
    CaroCommand command;
    CaroError err;
    if (!check_operator(c, req, by)) {
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
    case CARO_CMD_DRAIN:
        run_on_newest(c, req, &command, by);
        break;
    case CARO_CMD_WHY:
        CaroConsole_ReportWhy(c, req, command.subject);
        break;
    default:
        CaroConsole_Report(c, req, &command, now);
        break;
    }
}

/* "GET /v1/config": the configuration in force and its revision. */
static void
send_config(CaroConsole *c, struct evhttp_request *req)
{
    json_t *root = load_config(c);
    json_t *value =
        json_pack("{s:I, s:o*}", "revision",
                  (json_int_t)CaroConfigManager_Revision(c->parts.keeper),
                  "config", root);
    CaroHttp_Json(req, HTTP_OK, value);
    json_decref(value);
}

/*
 * "POST /v1/config": a whole configuration, either alone or as GET gave it,
 * in which case it must have been made from the revision in force.
 */
static void
put_config(CaroConsole *c, struct evhttp_request *req, const char *by)
{
    size_t size;
    json_error_t at;
    const char *body = CaroHttp_Body(req, &size);
    json_t *root = json_loadb(body, size, JSON_REJECT_DUPLICATES, &at);
    json_t *config = json_object_get(root, "config");
    json_int_t revision =
        json_integer_value(json_object_get(root, "revision"));
    if (root == NULL) {
        CaroHttp_Problem(req, 400, CARO_RUN_NO, "bad configuration",
                         "line %d column %d: %s", at.line, at.column, at.text);
        return;
    }
    if (config != NULL &&
        revision != (json_int_t)CaroConfigManager_Revision(c->parts.keeper)) {
        CaroHttp_Text(req, HTTP_OK,
                      "not done: put config\n"
                      "  made from another revision; get again\n");
        json_decref(root);
        return;
    }
    change_config(c, req, "config", "put config",
                  config != NULL ? config : root, by);
    json_decref(root);
}

void
CaroConsole_OnConfig(CaroConsole *c, struct evhttp_request *req)
{
    char by[CARO_NAME_SIZE];
    if (!check_operator(c, req, by)) {
        return;
    }
    if (evhttp_request_get_command(req) == EVHTTP_REQ_GET) {
        send_config(c, req);
        return;
    }
    put_config(c, req, by);
}

void
CaroConsole_OnDump(CaroConsole *c, struct evhttp_request *req, CaroTime now)
{
    char by[CARO_NAME_SIZE];
    if (!check_operator(c, req, by)) {
        return;
    }
    json_t *value = CaroConsole_Dump(c, now);
    CaroHttp_Json(req, HTTP_OK, value);
    json_decref(value);
}
