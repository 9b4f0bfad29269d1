/*
 * NAME
 *     caro_config_manager - the operators' configuration at a VM
 *
 * Reads the configuration from the store or receives it from peers, applies
 * the newest revision, and writes changes to the store.
 */
#ifndef CARO_CONFIG_MANAGER_H
#define CARO_CONFIG_MANAGER_H

#include "internal/caro_common.h"
#include "internal/caro_config.h"
#include "internal/caro_store.h"

#include <jansson.h>

typedef struct CaroConfigManager CaroConfigManager;

/* Called when a newer configuration is in force; the previous one has been
   freed. */
typedef void (*CaroConfigApplied)(void *context, const CaroConfig *config,
                                  CaroTime now);

/* Returns NULL when the store client cannot be created. */
CaroConfigManager *CaroConfigManager_Create(const CaroCommon *common,
                                            CaroConfigApplied applied,
                                            void *context, CaroTime now);
void CaroConfigManager_Destroy(CaroConfigManager *m);

/* Returns the configuration in force, borrowed until the next is applied;
   NULL when there is none yet. */
const CaroConfig *CaroConfigManager_Get(const CaroConfigManager *m);

/* Returns the revision of the configuration in force; 0 when there is none
   yet. */
uint64_t CaroConfigManager_Revision(const CaroConfigManager *m);

/* Returns whether the last read of the store failed. */
bool CaroConfigManager_IsStoreUnavailable(const CaroConfigManager *m);

/* Starts the read of the store that is due; to be called several times a
   second. */
void CaroConfigManager_Tick(CaroConfigManager *m, CaroTime now);

/* Applies a configuration received from the store or another VM; one that is
   not newer is ignored, and an invalid one is logged. */
void CaroConfigManager_Apply(CaroConfigManager *m, const char *text,
                             size_t size, uint64_t revision);

/*
 * Writes a configuration to the store, if the revision in force here is
 * still the newest.  The root gets the member "change" and stays the
 * caller's.  "done" is called with 0 and the new revision; with
 * CARO_ERR_STATE when another change was written first; with CARO_ERR_INPUT
 * and the reason when it is invalid; with CARO_ERR_TIMEOUT when it is not
 * known whether it takes effect; or with CARO_ERR_NOMEM.  "done" may be
 * called before this returns.
 */
typedef void (*CaroConfigWriteDone)(void *context, int code, uint64_t revision,
                                    const char *text);
void CaroConfigManager_Write(CaroConfigManager *m, json_t *root,
                             const char *by, CaroConfigWriteDone done,
                             void *context);

/*
 * To be called before a change is computed from the configuration in force.
 * When the outcome of an earlier write of this VM is not known, reads the
 * store first; otherwise does nothing.  "done" is called with 0 or
 * CARO_ERR_TIMEOUT, possibly before this returns.
 */
typedef void (*CaroRefreshDone)(void *context, int code);
void CaroConfigManager_Refresh(CaroConfigManager *m, CaroRefreshDone done,
                               void *context);

#endif
