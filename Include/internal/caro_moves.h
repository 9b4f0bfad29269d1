/*
 * NAME
 *     caro_moves - moves of services' traffic that the operator ordered
 *
 * Follows each order, picks the version of each request, takes samples of
 * how the versions do, and writes what becomes of the order.  Every VM
 * may take a version back by its own evidence; one that all VMs know by
 * its rank says that an order runs or is done, the others only when that
 * does not happen.
 */
#ifndef CARO_MOVES_H
#define CARO_MOVES_H

#include "caro_peer.h"
#include "internal/caro_platform.h"
#include "internal/caro_store_client.h"

#include <jansson.h>

typedef struct CaroMoves CaroMoves;

/* Which versions a request may go to. */
typedef enum {
    CARO_VERSION_ANY,
    CARO_VERSION_ONLY,
    CARO_VERSION_NOT
} CaroVersionRule;

/* The client is borrowed; "most" is the share that may be exposed, and
   "slack" the requests besides. */
CaroMoves *CaroMoves_Create(CaroStoreClient *client, double most,
                            double slack);
void CaroMoves_Destroy(CaroMoves *m);

/* This VM's rank among so many; the first ranks write first. */
void CaroMoves_SetRank(CaroMoves *m, int rank, int vms);

/* An order or its outcome as the store has it; bytes NULL: removed. */
void CaroMoves_OnOrder(CaroMoves *m, const char *service, const char *bytes,
                       size_t size, int64_t revision, CaroTime now);
void CaroMoves_OnOutcome(CaroMoves *m, const char *service, const char *bytes,
                         size_t size, int64_t revision);

/*
 * The rule for one request; "draw" is uniform in [0, 1).  *version is
 * borrowed until the next order.
 */
CaroVersionRule CaroMoves_Pick(CaroMoves *m, const char *service, double draw,
                               const char **version, CaroTime now);

/* A request ended at an upstream of the version after "took". */
void CaroMoves_Sample(CaroMoves *m, const char *service, const char *version,
                      const char *route, bool is_failed, CaroTime took,
                      CaroTime now);

/* Evidence for other VMs; returns the count. */
int CaroMoves_Fill(const CaroMoves *m, caro_move_news news[CARO_MOVES_MAX]);

/* Takes the evidence of the VM with that handle. */
void CaroMoves_Take(CaroMoves *m, CaroHandle vm, const caro_move_news *news,
                    int count);

/* There is new evidence since the last call. */
bool CaroMoves_TakeChange(CaroMoves *m);

/* The moves and their evidence, for reports; the caller owns it. */
json_t *CaroMoves_Dump(const CaroMoves *m);

void CaroMoves_Tick(CaroMoves *m, CaroTime now);

#endif
