/*
 * NAME
 *     caro_config_manager - the operators' configuration at a VM
 *
 * Reads it from the store or from peers, keeps the newest, and changes it.
 */
#ifndef CARO_CONFIG_MANAGER_H
#define CARO_CONFIG_MANAGER_H

#include "internal/caro_common.h"
#include "internal/caro_config.h"
#include "internal/caro_store.h"

#include <jansson.h>

typedef struct CaroConfigManager CaroConfigManager;

/* A newer configuration is in force; the one before is gone. */
typedef void (*CaroConfigApplied)(void *context, const CaroConfig *config,
                                  CaroTime now);

CaroConfigManager *CaroConfigManager_Create(const CaroCommon *common,
                                            CaroConfigApplied applied,
                                            void *context, CaroTime now);
void CaroConfigManager_Destroy(CaroConfigManager *k);

/* The configuration in force, borrowed until the next; NULL before the
   first. */
const CaroConfig *CaroConfigManager_Get(const CaroConfigManager *k);

/* Its revision; 0 before the first. */
uint64_t CaroConfigManager_Revision(const CaroConfigManager *k);

/* The store has not answered the last read. */
bool CaroConfigManager_IsStoreUnavailable(const CaroConfigManager *k);

void CaroConfigManager_Tick(CaroConfigManager *k, CaroTime now);

/* Another VM sent its configuration; one that is not newer is ignored. */
void CaroConfigManager_Apply(CaroConfigManager *k, const char *text,
                             size_t size, uint64_t revision);

/*
 * Writes a configuration, which stays the caller's.  "done" gets 0 and
 * the revision; CARO_ERR_STATE when another change came first,
 * CARO_ERR_INPUT with the reason, or CARO_ERR_TIMEOUT when it may or may
 * not take effect.  It may run before the call returns.
 */
typedef void (*CaroConfigWriteDone)(void *context, int code, uint64_t revision,
                                    const char *text);
void CaroConfigManager_Write(CaroConfigManager *k, json_t *root,
                             const char *by, CaroConfigWriteDone done,
                             void *context);

/*
 * Brings the configuration up to the store's before a change, when an
 * earlier change of this VM may have taken effect unseen.  "done" gets 0
 * or CARO_ERR_TIMEOUT; it may run before the call returns.
 */
typedef void (*CaroRefreshDone)(void *context, int code);
void CaroConfigManager_Refresh(CaroConfigManager *k, CaroRefreshDone done,
                               void *context);

#endif
