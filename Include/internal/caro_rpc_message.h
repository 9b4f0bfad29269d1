/*
 * NAME
 *     caro_rpc_message - encoding of ONC RPC calls and replies between VMs
 */
#ifndef CARO_RPC_MESSAGE_H
#define CARO_RPC_MESSAGE_H

#include "caro_peer.h"
#include "internal/caro_types.h"

/* Codecs of a procedure's arguments and result; sizes in bytes. */
typedef struct {
    xdrproc_t args;
    size_t args_size;
    xdrproc_t result;
    size_t result_size;
} CaroRpcProcedure;

/* Returns the static entry of a procedure, or NULL if there is none. */
const CaroRpcProcedure *CaroRpcMessage_Procedure(uint32_t number);

/*
 * Encode a call or a reply to one; "procedure" must be known.  Return a new
 * buffer that the caller frees, and its size in bytes; or NULL when memory is
 * short or the arguments or the result cannot be encoded.
 */
char *CaroRpcMessage_EncodeCall(uint32_t xid, uint32_t procedure,
                                const void *args, size_t *size);
char *CaroRpcMessage_EncodeReply(uint32_t xid, uint32_t procedure,
                                 const void *result, size_t *size);

#endif
