/* The dump of a VM's state as JSON, and its counters as text. */
#include "internal/caro_console_private.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_reply.h"

#include <inttypes.h>
#include <stdio.h>

static json_t *
dump_members(const CaroConsole *c)
{
    json_t *list = json_array();
    for (CaroHandle h = 0; h < CaroMembership_Count(c->common.membership);
         h++) {
        const CaroVm *vm = CaroMembership_Get(c->common.membership, h);
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:I}", "vm", vm->name,
                            "state", CaroConsole_MemberStateWord(vm->state),
                            "domain", vm->domain, "http", vm->http,
                            "incarnation", (json_int_t)vm->incarnation));
    }
    return list;
}

static json_t *
dump_upstreams(const CaroConsole *c, CaroTime now)
{
    json_t *list = json_array();
    for (CaroHandle h = 0; h < CaroUpstreams_Count(c->common.upstreams); h++) {
        const CaroUpstream *u = CaroUpstreams_Get(c->common.upstreams, h);
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:b, s:i, s:f, s:I, s:I}", "name",
                      u->name, "deployment", u->deployment, "version",
                      u->version, "usable",
                      CaroUpstreams_IsUsable(c->common.upstreams, h, now),
                      "in_flight", u->in_flight, "load",
                      CaroUpstreams_Load(c->common.upstreams, h, now),
                      "requests", (json_int_t)u->requests_total, "failures",
                      (json_int_t)u->failures_total));
    }
    return list;
}

/* Appends a session to the list, up to SESSIONS_SHOWN_MAX. */
static void
dump_session(void *context, const CaroSessionView *view)
{
    enum { SESSIONS_SHOWN_MAX = 1000 };
    json_t *list = context;
    char id[20];
    if (json_array_size(list) == SESSIONS_SHOWN_MAX) {
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

json_t *
CaroConsole_Dump(const CaroConsole *c, CaroTime now)
{
    json_t *sessions = json_array();
    CaroSessions_ForEach(c->deps.sessions, dump_session, sessions);
    return json_pack(
        "{s:s, s:I, s:b, s:o, s:o, s:o, s:I, s:I, s:i, s:I}", "vm",
        c->common.settings->vm, "config_revision",
        (json_int_t)CaroConfigManager_Revision(c->deps.config_manager),
        "draining", c->deps.is_draining(c->deps.context), "members",
        dump_members(c), "upstreams", dump_upstreams(c, now), "sessions",
        sessions, "journal_bytes",
        (json_int_t)CaroSessions_JournalBytes(c->deps.sessions), "copy_bytes",
        (json_int_t)CaroSessions_ReplicaBytes(c->deps.sessions),
        "order_records", CaroOrderCoordinator_CountRecords(c->deps.orders),
        "cpu_us", (json_int_t)CaroClock_Cpu());
}

void
CaroConsole_OnCounters(CaroConsole *c, CaroCall *req)
{
    struct evbuffer *out = evbuffer_new();
    if (out == NULL) {
        CaroHttp_SendText(req, 503, "no memory\n");
        return;
    }
    for (int i = 0; i < CARO_COUNTERS; i++) {
        (void)evbuffer_add_printf(out, "%s %" PRIu64 "\n",
                                  CaroCounters_Name((CaroCounter)i),
                                  c->common.counters->values[i]);
    }
    CaroHttpFault_WriteCounters(out);
    (void)evbuffer_add_printf(out,
                              "udp_bytes %" PRIu64 "\ntcp_peer_bytes %" PRIu64
                              "\ncpu_us %" PRId64 "\n",
                              CaroRpc_UdpBytes(c->common.rpc),
                              CaroRpc_TcpBytes(c->common.rpc),
                              CaroClock_Cpu());
    CaroHttp_SendBytes(req, 200, "text/plain; charset=utf-8",
                       (const char *)evbuffer_pullup(out, -1),
                       evbuffer_get_length(out));
    evbuffer_free(out);
}
