/*
 * NAME
 *     caro_node - the server process of one VM, with the product's own
 *     interface
 *
 * A node lists the addresses that callers can use, serves completions and
 * orders, keeps replicas of other VMs' journals and order records, and handles
 * operators' commands.  All nodes have the same role.
 */
#ifndef CARO_NODE_H
#define CARO_NODE_H

#include "caro_error.h"
#include "caro_settings.h"

#include <event2/event.h>

typedef struct CaroNode CaroNode;

/*
 * Creates a node that serves on the event loop.  The settings are copied.
 * Returns a new object that the caller owns, or NULL with *err set.
 */
CaroNode *CaroNode_Create(struct event_base *base,
                          const CaroSettings *settings, CaroError *err);

/* Starts a planned stop: the event loop is left when all work has ended, or
   soon after drain_timeout_ms. */
void CaroNode_Drain(CaroNode *node);

/* Stops at once; node may be NULL. */
void CaroNode_Destroy(CaroNode *node);

#endif
