/*
 * NAME
 *     caro_active_config - the configuration by which a gateway serves
 *
 * Holds the newest configuration that could be read, its text for other VMs,
 * and when it was last confirmed as the newest.  A newer one that could not
 * be read ends what it allowed.
 */
#ifndef CARO_ACTIVE_CONFIG_H
#define CARO_ACTIVE_CONFIG_H

#include "internal/caro_config_freshness.h"
#include "internal/caro_counters.h"
#include "internal/caro_routes.h"

typedef struct CaroActiveConfig CaroActiveConfig;

/* Creates one without a configuration, or returns NULL.  The counters are
   borrowed.  Destroy accepts NULL. */
CaroActiveConfig *CaroActiveConfig_Create(CaroCounters *counters);
void CaroActiveConfig_Destroy(CaroActiveConfig *c);

/*
 * Puts a configuration in force unless it is older than the present one or
 * the same.  "source" says where it comes from, for the log.  Returns 1 when
 * it is in force now, 0 when it is not newer, or CARO_ERR_INPUT or
 * CARO_ERR_NOMEM when it could not be read.
 */
int CaroActiveConfig_Apply(CaroActiveConfig *c, const char *bytes, size_t size,
                           int64_t revision, const char *source);

/* Returns the routes, borrowed until the next Apply; NULL before the first
   configuration. */
const CaroRoutes *CaroActiveConfig_Routes(const CaroActiveConfig *c);

/* Returns the text, borrowed likewise, and its size; NULL before the first. */
const char *CaroActiveConfig_Text(const CaroActiveConfig *c, size_t *size);

/* Returns the revision and the time of its confirmation, borrowed. */
CaroConfigFreshness *CaroActiveConfig_Freshness(CaroActiveConfig *c);
const CaroConfigFreshness *
CaroActiveConfig_FreshnessConst(const CaroActiveConfig *c);

/* Returns the revision of a newer configuration that could not be read, or
   0. */
int64_t CaroActiveConfig_RejectedRevision(const CaroActiveConfig *c);

#endif
