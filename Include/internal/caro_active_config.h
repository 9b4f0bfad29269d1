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
#include "internal/caro_config_texts.h"
#include "internal/caro_counters.h"
#include "internal/caro_routes.h"

typedef struct CaroActiveConfig CaroActiveConfig;

/* Creates one without a configuration, or returns NULL.  The counters are
   borrowed.  Destroy accepts NULL. */
CaroActiveConfig *CaroActiveConfig_Create(CaroCounters *counters);
void CaroActiveConfig_Destroy(CaroActiveConfig *c);

/* Outcome of CaroActiveConfig_Apply; errors are negative. */
enum {
    CARO_CONFIG_KNOWN = 0, /* It is in force, or an older one than that. */
    CARO_CONFIG_APPLIED = 1,
    CARO_CONFIG_SUPERSEDED = 2 /* The store has lost the one in force. */
};

/*
 * Puts a configuration in force unless it is older than the present one or
 * the same.  Within a timeline of the store (caro_revision.h) the revision
 * decides.  Across timelines the operator's version does: a store restored
 * from an older copy shows an older configuration until the operator has
 * written the newest again.  One that it still shows
 * CARO_CONFIG_REWRITE_TIMEOUT after it was first read, at "now" by
 * CaroClock_BootTime, is put in force.  "source" says where it comes from, for
 * the log.  Returns an outcome, or CARO_ERR_INPUT or CARO_ERR_NOMEM when it
 * could not be read.
 */
int CaroActiveConfig_Apply(CaroActiveConfig *c, const char *bytes, size_t size,
                           CaroRevision revision, const char *source,
                           CaroTime now);

#define CARO_CONFIG_REWRITE_TIMEOUT (10 * CARO_SECOND)

/* Returns whether a configuration with the revision, which another VM has in
   force, was not examined yet. */
bool CaroActiveConfig_Wants(const CaroActiveConfig *c, CaroRevision revision);

/* Another VM has the configuration with the revision in force. */
void CaroActiveConfig_RecordAnnounced(CaroActiveConfig *c,
                                      CaroRevision revision, CaroTime now);

/*
 * Returns for how long this VM has known of a newer configuration than that in
 * force, by the first of those that it still lacks; 0 for none, and when no VM
 * has announced it for CARO_CONFIG_ANNOUNCEMENT_TTL.
 */
CaroTime CaroActiveConfig_LackingTime(const CaroActiveConfig *c, CaroTime now);

#define CARO_CONFIG_ANNOUNCEMENT_TTL (3 * CARO_SECOND)

/* Returns the routes, borrowed until the next Apply; NULL before the first
   configuration. */
const CaroRoutes *CaroActiveConfig_Routes(const CaroActiveConfig *c);

/* Returns the text, borrowed likewise, and its size; NULL before the first. */
const char *CaroActiveConfig_Text(const CaroActiveConfig *c, size_t *size);

/* Returns the texts of the last configurations in force, borrowed. */
CaroConfigTexts *CaroActiveConfig_Texts(CaroActiveConfig *c);

/* Returns the revision and the time of its confirmation, borrowed. */
CaroConfigFreshness *CaroActiveConfig_Freshness(CaroActiveConfig *c);
const CaroConfigFreshness *
CaroActiveConfig_FreshnessConst(const CaroActiveConfig *c);

/* Returns the revision of a newer configuration that could not be read, or
   0. */
CaroRevision CaroActiveConfig_RejectedRevision(const CaroActiveConfig *c);

#endif
