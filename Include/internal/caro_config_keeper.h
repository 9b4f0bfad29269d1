/*
 * NAME
 *     caro_config_keeper - the operators' configuration at a VM
 *
 * Reads it from the store or from peers, keeps the newest, and changes it.
 */
#ifndef CARO_CONFIG_KEEPER_H
#define CARO_CONFIG_KEEPER_H

#include "internal/caro_common.h"
#include "internal/caro_config.h"
#include "internal/caro_store.h"

#include <jansson.h>

typedef struct CaroConfigKeeper CaroConfigKeeper;

/* A newer configuration is in force; the one before is gone. */
typedef void (*CaroConfigApplied)(void *context, const CaroConfig *config,
                                  CaroTime now);

CaroConfigKeeper *CaroConfigKeeper_Create(const CaroCommon *common,
                                          CaroConfigApplied applied,
                                          void *context, CaroTime now);
void CaroConfigKeeper_Destroy(CaroConfigKeeper *k);

/* The configuration in force, borrowed until the next; NULL before the
   first. */
const CaroConfig *CaroConfigKeeper_Get(const CaroConfigKeeper *k);

/* Its revision; 0 before the first. */
uint64_t CaroConfigKeeper_Revision(const CaroConfigKeeper *k);

/* The store has not answered the last read. */
bool CaroConfigKeeper_IsStoreAway(const CaroConfigKeeper *k);

void CaroConfigKeeper_Tick(CaroConfigKeeper *k, CaroTime now);

/* Another VM sent its configuration; one that is not newer is ignored. */
void CaroConfigKeeper_Take(CaroConfigKeeper *k, const char *text, size_t size,
                           uint64_t revision);

/*
 * Writes a configuration, which stays the caller's.  "done" gets 0 and
 * the revision; CARO_ERR_STATE when another change came first,
 * CARO_ERR_INPUT with the reason, or CARO_ERR_TIMEOUT when it may or may
 * not take effect.  It may run before the call returns.
 */
typedef void (*CaroChangeDone)(void *context, int code, uint64_t revision,
                               const char *text);
void CaroConfigKeeper_Change(CaroConfigKeeper *k, json_t *root, const char *by,
                             CaroChangeDone done, void *context);

/*
 * Brings the configuration up to the store's before a change, when an
 * earlier change of this VM may have taken effect unseen.  "done" gets 0
 * or CARO_ERR_TIMEOUT; it may run before the call returns.
 */
typedef void (*CaroRefreshDone)(void *context, int code);
void CaroConfigKeeper_Refresh(CaroConfigKeeper *k, CaroRefreshDone done,
                              void *context);

#endif
