/*
 * Authentication of operators, and the commands that change something.
 *
 * The answer to a change begins with "done", "not done" or "unknown" and
 * gives the reason.  It is "unknown" when this change or an earlier one may
 * have taken effect.
 */
#include "internal/caro_console_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_reply.h"
#include "internal/caro_log.h"
#include "internal/caro_report.h"

#include <openssl/evp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DRAIN_TIMEOUT (1 * CARO_SECOND)

/* A command whose outcome has not been reported to the operator. */
typedef struct {
    CaroConsole *console;
    CaroCall *req;    /* NULL after the operator disconnected. */
    char summary[64]; /* Shown in the answer, decisions and log. */
    char subject[CARO_NAME_SIZE];
    char operator_name[CARO_NAME_SIZE];
} PendingCommand;

CaroConsole *
CaroConsole_Create(const CaroCommon *common, const CaroConsoleDeps *deps)
{
    CaroConsole *c = calloc(1, sizeof(*c));
    if (c != NULL) {
        c->common = *common;
        c->deps = *deps;
    }
    return c;
}

void
CaroConsole_Destroy(CaroConsole *c)
{
    free(c);
}

/* Writes the SHA-256 digest of a token as lower-case hexadecimal digits. */
static void
hash_token(const char *token, char hex[65])
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int n = 0;
    (void)EVP_Digest(token, strlen(token), digest, &n, EVP_sha256(), NULL);
    for (unsigned int i = 0; i < n && i < 32; i++) {
        (void)snprintf(hex + (size_t)2 * i, 3, "%02x", digest[i]);
    }
}

/*
 * Looks up the operator whose token the request carries.  Answers with status
 * 401 and returns false when there is none.
 */
static bool
authenticate_operator(const CaroConsole *c, CaroCall *req,
                      char name[CARO_NAME_SIZE])
{
    static const char scheme[] = "Bearer ";
    const char *header = CaroHttp_Header(req, "Authorization");
    char hex[65] = "";
    if (header != NULL && strncmp(header, scheme, sizeof(scheme) - 1) == 0) {
        hash_token(header + sizeof(scheme) - 1, hex);
    }
    for (int i = 0; i < c->common.settings->n_operators; i++) {
        if (strcmp(c->common.settings->operators[i].token_sha256, hex) == 0) {
            (void)snprintf(name, CARO_NAME_SIZE, "%s",
                           c->common.settings->operators[i].name);
            return true;
        }
    }
    CaroHttp_SendProblem(req, 401, CARO_RUN_NO,
                         "an operator's token is required",
                         "header Authorization: Bearer TOKEN");
    return false;
}

static void
on_operator_disconnected(void *arg)
{
    ((PendingCommand *)arg)->req = NULL;
}

/* Answers the request itself and returns NULL when out of memory. */
static PendingCommand *
create_pending(CaroConsole *c, CaroCall *req, const char *operator_name,
               const char *subject, const char *summary)
{
    PendingCommand *p = calloc(1, sizeof(*p));
    if (p == NULL) {
        CaroHttp_SendText(req, 503, "not done: no memory\n");
        return NULL;
    }
    p->console = c;
    p->req = req;
    CARO_COPY(p->summary, summary);
    CARO_COPY(p->subject, subject);
    CARO_COPY(p->operator_name, operator_name);
    CaroCall_SetCloseHandler(req, on_operator_disconnected, p);
    return p;
}

/* Records the outcome of a command, answers the request, and releases p. */
static void
finish_pending(PendingCommand *p, const char *outcome, const char *detail)
{
    CaroReport r;
    CaroDecisions_Add(p->console->common.decisions, CaroClock_WallMs(),
                      "operator", p->subject, outcome, "%s by %s; %s",
                      p->summary, p->operator_name, detail);
    CaroLog_Info("operator",
                 "Operator command finished. what=\"%s\" by=%s verdict=%s",
                 p->summary, p->operator_name, outcome);
    if (p->req != NULL) {
        CaroCall_SetCloseHandler(p->req, NULL, NULL);
        CaroReport_Init(&r);
        CaroReport_Line(&r, "%s: %s", outcome, p->summary);
        for (size_t at = 0; at < strlen(detail);
             at += CARO_REPORT_COLUMNS - 2) {
            CaroReport_Line(&r, "  %.38s", detail + at);
        }
        CaroHttp_SendText(p->req, 200, CaroReport_End(&r));
    }
    free(p);
}

static void
on_config_written(void *context, int code, uint64_t revision, const char *text)
{
    char detail[160];
    PendingCommand *p = context;
    if (code == 0) {
        (void)snprintf(detail, sizeof(detail), "rev %" PRIu64, revision);
        finish_pending(p, "done", detail);
        return;
    }
    (void)snprintf(detail, sizeof(detail), "%s", text);
    finish_pending(p, code == CARO_ERR_TIMEOUT ? "unknown" : "not done",
                   detail);
}

/* Writes the configuration and answers with the outcome. */
static void
write_config(CaroConsole *c, CaroCall *req, const char *subject,
             const char *summary, json_t *root, const char *operator_name)
{
    PendingCommand *p =
        create_pending(c, req, operator_name, subject, summary);
    if (p != NULL) {
        CaroConfigManager_Write(c->deps.config_manager, root, operator_name,
                                on_config_written, p);
    }
}

/*
 * Returns a copy of the configuration in force, which the caller releases, or
 * NULL when there is none.
 */
static json_t *
load_config(const CaroConsole *c)
{
    if (CaroConfigManager_Get(c->deps.config_manager) == NULL) {
        return NULL;
    }
    return json_loadb(CaroConfigManager_Get(c->deps.config_manager)->text,
                      CaroConfigManager_Get(c->deps.config_manager)->text_size,
                      0, NULL);
}

/* Adds a rollout that starts now to the JSON of a deployment. */
static void
set_rollout(json_t *deployment, const CaroCommand *command, int64_t now_ms)
{
    json_t *from = json_object_get(deployment, "version");
    json_object_set_new(
        deployment, "rollout",
        json_pack("{s:s, s:O, s:s, s:I, s:I}", "state", "moving", "from", from,
                  "to", command->move.version, "start_ms", (json_int_t)now_ms,
                  "by_ms", (json_int_t)command->move.end_ms));
}

/* Marks the rollout in the JSON of a deployment as rolled back. */
static void
set_rolled_back(json_t *deployment, const char *operator_name)
{
    char reason[64];
    json_t *rollout = json_object_get(deployment, "rollout");
    const char *state = json_string_value(json_object_get(rollout, "state"));
    if (state != NULL && strcmp(state, "done") == 0) {
        /* A completed rollout has changed the version, which is restored. */
        json_object_set(deployment, "version",
                        json_object_get(rollout, "from"));
    }
    (void)snprintf(reason, sizeof(reason), "undone by %s", operator_name);
    json_object_set_new(rollout, "state", json_string("undone"));
    json_object_set_new(rollout, "reason", json_string(reason));
}

/* Starts a rollout or rolls one back (commands "mv" and "undo"). */
static void
change_rollout(CaroConsole *c, CaroCall *req, const CaroCommand *command,
               const char *operator_name)
{
    char summary[64];
    int64_t now_ms = CaroClock_WallMs();
    json_t *root = load_config(c);
    json_t *deployment =
        CaroConfig_FindJson(root, "deployments", command->subject);
    if (deployment == NULL) {
        CaroHttp_SendText(req, 200, "not done: no such deployment; try dep\n");
        json_decref(root);
        return;
    }
    if (command->kind == CARO_CMD_UNDO &&
        json_object_get(deployment, "rollout") == NULL) {
        CaroHttp_SendText(req, 200, "not done: nothing moves there\n");
        json_decref(root);
        return;
    }
    if (command->kind == CARO_CMD_MOVE) {
        set_rollout(deployment, command, now_ms);
        (void)snprintf(summary, sizeof(summary), "mv %.20s %.20s",
                       command->subject, command->move.version);
    }
    else {
        set_rolled_back(deployment, operator_name);
        (void)snprintf(summary, sizeof(summary), "undo %.20s",
                       command->subject);
    }
    write_config(c, req, command->subject, summary, root, operator_name);
    json_decref(root);
}

static void
on_drain_reply(void *context, int code, const void *result)
{
    (void)result;
    if (code == 0) {
        finish_pending(context, "done", "the VM leaves; see vm");
        return;
    }
    finish_pending(context, "unknown", "the VM did not answer within 1 s");
}

/*
 * Marks an upstream as leaving: it gets no new requests, and those in flight
 * are finished.
 */
static void
drain_upstream(CaroConsole *c, CaroCall *req, const CaroCommand *command,
               const char *operator_name)
{
    char summary[64];
    json_t *root = load_config(c);
    json_t *upstream =
        CaroConfig_FindJson(root, "upstreams", command->subject);
    if (upstream == NULL) {
        CaroHttp_SendText(
            req, 200, "not done: no such VM or upstream;\n  try vm or up\n");
        json_decref(root);
        return;
    }
    json_object_set_new(upstream, "leaving", json_true());
    (void)snprintf(summary, sizeof(summary), "drain %.31s", command->subject);
    write_config(c, req, command->subject, summary, root, operator_name);
    json_decref(root);
}

/* Drains a VM, or else the upstream of that name. */
static void
drain_subject(CaroConsole *c, CaroCall *req, const CaroCommand *command,
              const char *operator_name)
{
    char summary[64];
    CaroHandle vm =
        CaroMembership_Find(c->common.membership, command->subject);
    if (vm == CARO_NO_HANDLE) {
        drain_upstream(c, req, command, operator_name);
        return;
    }
    (void)snprintf(summary, sizeof(summary), "drain %.31s", command->subject);
    PendingCommand *p =
        create_pending(c, req, operator_name, command->subject, summary);
    if (p == NULL) {
        return;
    }
    if (vm == CARO_SELF) {
        c->deps.drain(c->deps.context);
        finish_pending(p, "done", "the VM leaves; see vm");
        return;
    }
    caro_heartbeat h;
    memset(&h, 0, sizeof(h));
    h.sender = (char *)c->common.settings->vm;
    CaroRpc_Call(
        c->common.rpc, CaroMembership_Get(c->common.membership, vm)->peer,
        CARO_RPC_TCP, CARO_DRAIN, &h, DRAIN_TIMEOUT, on_drain_reply, p);
}

/* A command that runs after the configuration has been refreshed. */
typedef struct {
    CaroConsole *console;
    CaroCall *req;
    CaroCommand command;
    char operator_name[CARO_NAME_SIZE];
} DeferredCommand;

static void
on_refreshed(void *context, int code)
{
    DeferredCommand *deferred = context;
    if (code < 0) {
        CaroHttp_SendText(deferred->req, 200,
                          "unknown: an earlier change\n"
                          "  the store does not answer; this one was\n"
                          "  not begun\n");
    }
    else if (deferred->command.kind == CARO_CMD_DRAIN) {
        drain_subject(deferred->console, deferred->req, &deferred->command,
                      deferred->operator_name);
    }
    else {
        change_rollout(deferred->console, deferred->req, &deferred->command,
                       deferred->operator_name);
    }
    free(deferred);
}

/*
 * Refreshes the configuration from the store, then runs a change.  Without
 * the refresh the change could be based on a configuration that lacks an
 * earlier change whose result was lost.
 */
static void
run_after_refresh(CaroConsole *c, CaroCall *req, const CaroCommand *command,
                  const char *operator_name)
{
    DeferredCommand *deferred = calloc(1, sizeof(*deferred));
    if (deferred == NULL) {
        CaroHttp_SendText(req, 200, "not done: no memory\n");
        return;
    }
    deferred->console = c;
    deferred->req = req;
    deferred->command = *command;
    CARO_COPY(deferred->operator_name, operator_name);
    CaroConfigManager_Refresh(c->deps.config_manager, on_refreshed, deferred);
}

void
CaroConsole_OnCommand(CaroConsole *c, CaroCall *req, CaroTime now)
{
    enum { LINE_SIZE = 128 };
    char line[LINE_SIZE];
    char operator_name[CARO_NAME_SIZE];
    size_t size;
    CaroCommand command;
    CaroError err;
    if (!authenticate_operator(c, req, operator_name)) {
        return;
    }
    const char *body = CaroHttp_Body(req, &size);
    (void)snprintf(line, sizeof(line), "%.*s", (int)size, body);
    if (CaroCommand_Parse(line, CaroClock_WallMs(), &command, &err) < 0) {
        CaroReport r;
        CaroReport_Init(&r);
        CaroReport_Line(&r, "not understood");
        CaroReport_Line(&r, "%s", err.detail);
        CaroHttp_SendText(req, 400, CaroReport_End(&r));
        return;
    }
    switch (command.kind) {
    case CARO_CMD_MOVE:
    case CARO_CMD_UNDO:
    case CARO_CMD_DRAIN:
        run_after_refresh(c, req, &command, operator_name);
        break;
    case CARO_CMD_WHY:
        CaroConsole_ReportWhy(c, req, command.subject);
        break;
    default:
        CaroConsole_Report(c, req, &command, now);
        break;
    }
}

/* "GET /v1/config": sends the configuration in force and its revision. */
static void
send_config(CaroConsole *c, CaroCall *req)
{
    json_t *root = load_config(c);
    json_t *value = json_pack(
        "{s:I, s:o*}", "revision",
        (json_int_t)CaroConfigManager_Revision(c->deps.config_manager),
        "config", root);
    CaroHttp_SendJson(req, 200, value);
    json_decref(value);
}

/*
 * "POST /v1/config": replaces the whole configuration.  The body is either
 * the configuration alone, or the object that GET sends, with the
 * configuration and its revision.  That revision has to be the one in force.
 */
static void
put_config(CaroConsole *c, CaroCall *req, const char *operator_name)
{
    size_t size;
    json_error_t at;
    const char *body = CaroHttp_Body(req, &size);
    json_t *root = json_loadb(body, size, JSON_REJECT_DUPLICATES, &at);
    json_t *config = json_object_get(root, "config");
    json_int_t revision =
        json_integer_value(json_object_get(root, "revision"));
    if (root == NULL) {
        CaroHttp_SendProblem(req, 400, CARO_RUN_NO, "bad configuration",
                             "line %d column %d: %s", at.line, at.column,
                             at.text);
        return;
    }
    if (config != NULL && revision != (json_int_t)CaroConfigManager_Revision(
                                          c->deps.config_manager)) {
        CaroHttp_SendText(req, 200,
                          "not done: put config\n"
                          "  made from another revision; get again\n");
        json_decref(root);
        return;
    }
    write_config(c, req, "config", "put config",
                 config != NULL ? config : root, operator_name);
    json_decref(root);
}

void
CaroConsole_OnConfig(CaroConsole *c, CaroCall *req)
{
    char operator_name[CARO_NAME_SIZE];
    if (!authenticate_operator(c, req, operator_name)) {
        return;
    }
    if (CaroHttp_IsMethod(req, "GET")) {
        send_config(c, req);
        return;
    }
    put_config(c, req, operator_name);
}

void
CaroConsole_OnDump(CaroConsole *c, CaroCall *req, CaroTime now)
{
    char operator_name[CARO_NAME_SIZE];
    if (!authenticate_operator(c, req, operator_name)) {
        return;
    }
    json_t *value = CaroConsole_Dump(c, now);
    CaroHttp_SendJson(req, 200, value);
    json_decref(value);
}
