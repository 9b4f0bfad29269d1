/* The dump of a node's state as JSON, and its counters as text. */
#include "internal/caro_node_state.h"

#include <inttypes.h>
#include <stdio.h>

static json_t *
dump_members(CaroNode *n)
{
    json_t *list = json_array();
    for (CaroHandle h = 0; h < CaroMembership_Count(n->common.membership);
         h++) {
        const CaroVm *vm = CaroMembership_Get(n->common.membership, h);
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:I}", "vm", vm->name,
                            "state", CaroNode_StateWord(vm->state), "domain",
                            vm->domain, "http", vm->http, "incarnation",
                            (json_int_t)vm->incarnation));
    }
    return list;
}

static json_t *
dump_upstreams(CaroNode *n, CaroTime now)
{
    json_t *list = json_array();
    for (CaroHandle h = 0; h < CaroUpstreams_Count(n->common.upstreams); h++) {
        const CaroUpstream *u = CaroUpstreams_Get(n->common.upstreams, h);
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:b, s:i, s:f, s:I, s:I}", "name",
                      u->name, "deployment", u->deployment, "version",
                      u->version, "usable",
                      CaroUpstreams_IsUsable(n->common.upstreams, h, now),
                      "in_flight", u->in_flight, "load",
                      CaroUpstreams_Load(n->common.upstreams, h, now),
                      "requests", (json_int_t)u->requests_total, "failures",
                      (json_int_t)u->failures_total));
    }
    return list;
}

static void
dump_session(void *context, const CaroSessionView *view)
{
    enum { SHOWN = 1000 };
    json_t *list = context;
    char id[20];
    if (json_array_size(list) == SHOWN) {
        return;
    }
    (void)snprintf(id, sizeof(id), "%016" PRIx64, view->id);
    json_array_append_new(
        list, json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:b, s:b}", "id", id,
                        "account", view->account, "deployment",
                        view->deployment, "tokens", (int)view->tokens, "acked",
                        (int)view->acked, "sent", (int)view->sent, "admitted",
                        view->is_admitted, "caller", view->has_caller));
}

void
CaroNode_OnDump(CaroNode *n, struct evhttp_request *req, CaroTime now)
{
    char by[CARO_NAME_SIZE];
    if (!CaroNode_CheckOperator(n, req, by)) {
        return;
    }
    json_t *sessions = json_array();
    CaroSessions_Each(n->sessions, dump_session, sessions);
    json_t *value = json_pack(
        "{s:s, s:I, s:b, s:o, s:o, s:o, s:I, s:I, s:i, s:I}", "vm",
        n->common.settings->vm, "config_revision",
        (json_int_t)CaroConfigKeeper_Revision(n->keeper), "draining",
        n->is_draining, "members", dump_members(n), "upstreams",
        dump_upstreams(n, now), "sessions", sessions, "journal_bytes",
        (json_int_t)CaroSessions_JournalBytes(n->sessions), "copy_bytes",
        (json_int_t)CaroSessions_CopyBytes(n->sessions), "order_records",
        CaroOrderDesk_Records(n->orders), "cpu_us",
        (json_int_t)CaroClock_Cpu());
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
                   CaroRpc_UdpBytes(n->common.rpc),
                   CaroRpc_TcpBytes(n->common.rpc), CaroClock_Cpu());
    CaroHttp_Text(req, HTTP_OK, text);
}
