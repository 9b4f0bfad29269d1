/*
 * The table of procedures between VMs, and the encoding of calls and replies
 * with the codecs of libtirpc and rpcgen.
 */
#include "internal/caro_rpc_message.h"

#include <stdlib.h>
#include <string.h>

#define PROCEDURE(args, result)                                               \
    {                                                                         \
        (xdrproc_t) xdr_##args, sizeof(args), (xdrproc_t)xdr_##result,        \
            sizeof(result)                                                    \
    }

/* By procedure number. */
static const CaroRpcProcedure procedures[] = {
    [CARO_HEARTBEAT] = PROCEDURE(caro_heartbeat, caro_heartbeat),
    [CARO_INDIRECT_PROBE] = PROCEDURE(caro_indirect_probe, caro_heartbeat),
    [CARO_MEMBERS] = PROCEDURE(caro_heartbeat, caro_members),
    [CARO_JOURNAL] = PROCEDURE(caro_journal_batch, caro_journal_acks),
    [CARO_TAKEOVER] = PROCEDURE(caro_takeover_args, caro_takeover_reply),
    [CARO_INTENT] = PROCEDURE(caro_order_intent, caro_order_outcome),
    [CARO_OUTCOME] = PROCEDURE(caro_order_outcome, caro_order_outcome),
    [CARO_FORWARD] = PROCEDURE(caro_order_forward, caro_order_outcome),
    [CARO_DECIDE] = PROCEDURE(caro_order_decide, caro_order_outcome),
    [CARO_CONFIG] = PROCEDURE(caro_heartbeat, caro_config),
    [CARO_DRAIN] = PROCEDURE(caro_heartbeat, caro_heartbeat),
    [CARO_WHY] = PROCEDURE(caro_why_args, caro_why_reply),
    [CARO_LOAD_REPORT] = PROCEDURE(caro_load_report, caro_load_report),
    [CARO_PROMPT_REPORT] = PROCEDURE(caro_prompt_report, caro_prompt_report),
    [CARO_LIMIT_REPORT] = PROCEDURE(caro_limit_report, caro_limit_report),
    [CARO_STORE_CHANGES] =
        PROCEDURE(caro_store_changes_args, caro_store_changes),
    [CARO_RETRY_LOAN] = PROCEDURE(caro_retry_loan, caro_retry_grant),
    [CARO_PACE_REPORT] = PROCEDURE(caro_pace_report, caro_pace_report),
    [CARO_ROOM_REPORT] = PROCEDURE(caro_room_report, caro_room_report),
    [CARO_PROMPT_RETENTION] =
        PROCEDURE(caro_retention_report, caro_retention_report),
    [CARO_PACKED_CONFIG] = PROCEDURE(caro_config_args, caro_packed_config),
    [CARO_SLOT_PERMIT] = PROCEDURE(caro_permit_args, caro_permit),
    [CARO_BRITTLE_NOTICE] =
        PROCEDURE(caro_brittle_notice, caro_brittle_notice),
    [CARO_PROMPT_EVIDENCE] =
        PROCEDURE(caro_prompt_evidence, caro_prompt_evidence),
    [CARO_STORE_NOTICES] = PROCEDURE(caro_store_notices, caro_store_notices),
    [CARO_TUNNEL_LEASE] = PROCEDURE(caro_tunnel_lease, caro_tunnel_lease),
    [CARO_PROMPT_QUERY] = PROCEDURE(caro_prompt_query, caro_prompt_evidence),
};

enum { N_PROCEDURES = sizeof(procedures) / sizeof(procedures[0]) };

const CaroRpcProcedure *
CaroRpcMessage_Procedure(uint32_t number)
{
    /* Some numbers below the highest are not in use. */
    if (number == 0 || number >= N_PROCEDURES ||
        procedures[number].args == NULL) {
        return NULL;
    }
    return &procedures[number];
}

char *
CaroRpcMessage_EncodeCall(uint32_t xid, uint32_t procedure, const void *args,
                          size_t *size)
{
    struct rpc_msg msg;
    memset(&msg, 0, sizeof(msg));
    msg.rm_xid = xid;
    msg.rm_direction = CALL;
    msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    msg.rm_call.cb_prog = CARO_PEER;
    msg.rm_call.cb_vers = CARO_PEER_V1;
    msg.rm_call.cb_proc = procedure;
    enum { CALL_HEADER_BYTES_MAX = 64 };
    const CaroRpcProcedure *p = &procedures[procedure];
    size_t capacity =
        CALL_HEADER_BYTES_MAX + xdr_sizeof(p->args, (void *)args);
    char *buf = malloc(capacity);
    if (buf == NULL) {
        return NULL;
    }
    XDR xdr;
    xdrmem_create(&xdr, buf, (u_int)capacity, XDR_ENCODE);
    if (!xdr_callmsg(&xdr, &msg) || !p->args(&xdr, (void *)args)) {
        free(buf);
        return NULL;
    }
    *size = xdr_getpos(&xdr);
    return buf;
}

char *
CaroRpcMessage_EncodeReply(uint32_t xid, uint32_t procedure,
                           const void *result, size_t *size)
{
    const CaroRpcProcedure *p = &procedures[procedure];
    struct rpc_msg msg;
    memset(&msg, 0, sizeof(msg));
    msg.rm_xid = xid;
    msg.rm_direction = REPLY;
    msg.rm_reply.rp_stat = MSG_ACCEPTED;
    msg.acpted_rply.ar_stat = SUCCESS;
    msg.acpted_rply.ar_results.where = (caddr_t)result;
    msg.acpted_rply.ar_results.proc = p->result;
    enum { REPLY_HEADER_BYTES_MAX = 64 };
    size_t capacity =
        REPLY_HEADER_BYTES_MAX + xdr_sizeof(p->result, (void *)result);
    char *buf = malloc(capacity);
    if (buf == NULL) {
        return NULL;
    }
    XDR xdr;
    xdrmem_create(&xdr, buf, (u_int)capacity, XDR_ENCODE);
    if (!xdr_replymsg(&xdr, &msg)) {
        free(buf);
        return NULL;
    }
    *size = xdr_getpos(&xdr);
    return buf;
}
