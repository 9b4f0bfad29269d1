/*
 * NAME
 *     caro_rpc_message - procedures between nodes and their encoding
 */
#ifndef CARO_RPC_MESSAGE_H
#define CARO_RPC_MESSAGE_H

#include "caro_peer.h"
#include "internal/caro_types.h"

/* How a procedure's arguments and result are encoded. */
typedef struct {
    xdrproc_t args;
    size_t args_size;
    xdrproc_t result;
    size_t result_size;
} CaroRpcProcedure;

/* Static description of a procedure, or NULL for an unknown number. */
const CaroRpcProcedure *CaroRpcMessage_Procedure(uint32_t number);

/*
 * Encode a call, or the answer to one.  Return a new buffer that the
 * caller frees, and its size; or NULL when it cannot be encoded.
 */
char *CaroRpcMessage_EncodeCall(uint32_t xid, uint32_t procedure,
                                const void *args, size_t *size);
char *CaroRpcMessage_EncodeReply(uint32_t xid, uint32_t procedure,
                                 const void *result, size_t *size);

#endif
