/*
 * NAME
 *     caro_rpc - ONC RPC between the processes, on one libevent loop
 *
 * The message codecs are libtirpc's (xdr_callmsg, xdr_replymsg) and those
 * that rpcgen wrote; only the transport is here, because libtirpc's own
 * clients block.  UDP carries one message a datagram; TCP carries records
 * as RFC 5531 section 11 says.
 */
#ifndef CARO_RPC_H
#define CARO_RPC_H

#include "caro_error.h"
#include "caro_peer.h"
#include "internal/caro_types.h"

#include <event2/event.h>

typedef struct CaroRpc CaroRpc;
typedef struct CaroRpcRequest CaroRpcRequest;

typedef enum { CARO_RPC_UDP, CARO_RPC_TCP } CaroRpcTransport;

/*
 * Outcome of a call: code 0 and the decoded result, borrowed during the
 * call-back; or a negative code and NULL.
 */
typedef void (*CaroRpcDone)(void *context, int code, const void *result);

/*
 * A request from a peer; args are borrowed during the call-back.  The
 * handler answers with CaroRpc_Reply at once or later, or drops the
 * request with CaroRpc_Ignore.
 */
typedef void (*CaroRpcHandler)(void *context, CaroRpcRequest *request,
                               uint32_t procedure, void *args);

/*
 * Binds UDP and TCP at "address" ("ip:port").  Returns a new object that
 * the caller owns, or NULL with *err filled.
 */
CaroRpc *CaroRpc_Create(struct event_base *base, const char *address,
                        CaroRpcHandler handler, void *context, CaroError *err);

/* Fails the open calls with CARO_ERR_IO and releases everything. */
void CaroRpc_Destroy(CaroRpc *rpc);

/*
 * Calls a procedure of the peer.  "args" are encoded before it returns.
 * "done" (may be NULL) is called exactly once, never before this returns.
 */
void CaroRpc_Call(CaroRpc *rpc, const char *peer, CaroRpcTransport transport,
                  uint32_t procedure, const void *args, CaroTime timeout,
                  CaroRpcDone done, void *context);

/* Answers a request, which is released. */
void CaroRpc_Reply(CaroRpcRequest *request, const void *result);

/* Drops a request without an answer. */
void CaroRpc_Ignore(CaroRpcRequest *request);

/* Bytes sent and received so far, for the counters. */
uint64_t CaroRpc_UdpBytes(const CaroRpc *rpc);
uint64_t CaroRpc_TcpBytes(const CaroRpc *rpc);

#endif
