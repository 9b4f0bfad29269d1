/* The configuration by which a gateway serves. */
#include "internal/caro_active_config.h"

#include "internal/caro_log.h"
#include "internal/caro_platform.h"

#include <stdlib.h>
#include <string.h>

/* Configurations in quick succession that are not yet in force here; of more
   the first ones count. */
enum { ANNOUNCEMENTS_MAX = 8 };

typedef struct {
    CaroRevision revision;
    CaroTime first_at;
    CaroTime last_at;
} Announcement;

struct CaroActiveConfig {
    CaroCounters *counters;
    CaroRoutes *routes; /* NULL before the first configuration. */
    CaroConfigTexts *texts;
    CaroConfigFreshness freshness;
    CaroRevision rejected_revision; /* Highest that could not be read. */
    /* Last of a later timeline with an older version, and when it was first
       read; last of an earlier timeline that was examined. */
    CaroRevision superseded_revision;
    CaroTime superseded_at;
    CaroRevision earlier_revision;
    /* Those that other VMs have; a revision of 0 marks a free place. */
    Announcement announced[ANNOUNCEMENTS_MAX];
};

CaroActiveConfig *
CaroActiveConfig_Create(CaroCounters *counters)
{
    CaroActiveConfig *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->counters = counters;
    c->texts = CaroConfigTexts_Create();
    if (c->texts == NULL) {
        free(c);
        return NULL;
    }
    return c;
}

void
CaroActiveConfig_Destroy(CaroActiveConfig *c)
{
    if (c != NULL) {
        CaroRoutes_Destroy(c->routes);
        CaroConfigTexts_Destroy(c->texts);
        free(c);
    }
}

/* Records a configuration that could not be read.  It is logged once; the
   registry reads it again and again. */
static void
reject(CaroActiveConfig *c, CaroRevision revision, const char *source,
       const CaroError *err)
{
    if (revision <= c->rejected_revision) {
        return;
    }
    c->rejected_revision = revision;
    CaroCounters_Add(c->counters, CARO_COUNT_CONFIG_REJECTED, 1);
    CaroLog_Error("config",
                  "A configuration was rejected; requests are refused until "
                  "there is another one. revision=%lld timeline=%lld "
                  "in_force=%lld source=%s at=%s reason=\"%s\"",
                  (long long)CaroRevision_Number(revision),
                  (long long)CaroRevision_Timeline(revision),
                  (long long)CaroRevision_Number(c->freshness.revision),
                  source, err->peer, err->detail);
}

/* Returns whether the version of a configuration, and not its revision, says
   whether it is newer than the one in force. */
static bool
is_other_timeline(const CaroActiveConfig *c, CaroRevision revision)
{
    return c->routes != NULL &&
           !CaroRevision_IsSameTimeline(revision, c->freshness.revision);
}

/* Handles a configuration of a later timeline with an older version.  Returns
   whether the store has shown it for so long that it will not be replaced. */
static bool
is_rewrite_overdue(CaroActiveConfig *c, const CaroRoutes *routes,
                   CaroRevision revision, CaroTime now)
{
    if (revision != c->superseded_revision) {
        c->superseded_revision = revision;
        c->superseded_at = now;
        CaroCounters_Add(c->counters, CARO_COUNT_CONFIG_SUPERSEDED, 1);
        CaroLog_Warn("config",
                     "The restored store has an older configuration; the one "
                     "in force is kept until the operator writes it again. "
                     "version=%lld in_force=%lld revision=%lld timeline=%lld",
                     (long long)CaroRoutes_Version(routes),
                     (long long)CaroRoutes_Version(c->routes),
                     (long long)CaroRevision_Number(revision),
                     (long long)CaroRevision_Timeline(revision));
    }
    return now - c->superseded_at >= CARO_CONFIG_REWRITE_TIMEOUT;
}

/* Compares a configuration of another timeline with the one in force.  Returns
   the outcome; CARO_CONFIG_APPLIED if it is to be put in force. */
static int
compare_versions(CaroActiveConfig *c, const CaroRoutes *routes,
                 CaroRevision revision, CaroTime now)
{
    int64_t version = CaroRoutes_Version(routes);
    int64_t present = CaroRoutes_Version(c->routes);
    if (revision < c->freshness.revision) {
        c->earlier_revision = revision;
        if (version <= present) {
            return CARO_CONFIG_KNOWN;
        }
        /* The store had lost it when the present one was confirmed. */
        c->freshness.confirmed_at = 0;
        return CARO_CONFIG_APPLIED;
    }
    if (version > present) {
        return CARO_CONFIG_APPLIED;
    }
    if (version < present && !is_rewrite_overdue(c, routes, revision, now)) {
        return CARO_CONFIG_SUPERSEDED;
    }
    if (version < present) {
        /* VMs that still have the lost one do not bring it back. */
        c->earlier_revision = c->freshness.revision;
        return CARO_CONFIG_APPLIED;
    }
    c->freshness.revision = revision;
    CaroConfigTexts_SetRevision(c->texts, revision);
    CaroLog_Info("config",
                 "The configuration in force was written again to the "
                 "restored store. version=%lld revision=%lld timeline=%lld",
                 (long long)version, (long long)CaroRevision_Number(revision),
                 (long long)CaroRevision_Timeline(revision));
    return CARO_CONFIG_KNOWN;
}

/* Puts a configuration in force, whose text is copied. */
static int
put_in_force(CaroActiveConfig *c, const char *bytes, size_t size,
             CaroRoutes *routes, CaroRevision revision, const char *source,
             CaroError *err)
{
    if (CaroConfigTexts_Add(c->texts, bytes, size, revision) < 0) {
        return CaroError_Set(err, CARO_ERR_NOMEM, "document", "configuration",
                             "out of memory");
    }
    CaroRoutes_Destroy(c->routes);
    c->routes = routes;
    /* When the older revision was confirmed, nothing newer than it existed;
       so nothing newer than this revision did, and the time still holds. */
    c->freshness.revision = revision;
    CaroCounters_Add(c->counters, CARO_COUNT_CONFIG_APPLIED, 1);
    CaroLog_Info(
        "config",
        "A configuration was applied. version=%lld revision=%lld "
        "timeline=%lld routes=%d bytes=%zu idle_ms=%lld source=%s",
        (long long)CaroRoutes_Version(routes),
        (long long)CaroRevision_Number(revision),
        (long long)CaroRevision_Timeline(revision), CaroRoutes_Count(routes),
        size, (long long)(CaroRoutes_Limits(routes)->idle_timeout / CARO_MS),
        source);
    return CARO_CONFIG_APPLIED;
}

int
CaroActiveConfig_Apply(CaroActiveConfig *c, const char *bytes, size_t size,
                       CaroRevision revision, const char *source, CaroTime now)
{
    CaroRoutes *routes = NULL;
    CaroError err;
    bool is_other = is_other_timeline(c, revision);
    if (!is_other && revision <= c->freshness.revision) {
        return CARO_CONFIG_KNOWN;
    }
    int rc =
        CaroPlatform_ReadConfigAfter(bytes, size, c->routes, &routes, &err);
    if (rc >= 0 && is_other) {
        rc = compare_versions(c, routes, revision, now);
        if (rc != CARO_CONFIG_APPLIED) {
            CaroRoutes_Destroy(routes);
            return rc;
        }
    }
    if (rc >= 0) {
        rc = put_in_force(c, bytes, size, routes, revision, source, &err);
    }
    if (rc < 0) {
        reject(c, revision, source, &err);
        CaroRoutes_Destroy(routes);
    }
    return rc;
}

bool
CaroActiveConfig_Wants(const CaroActiveConfig *c, CaroRevision revision)
{
    if (revision < c->freshness.revision) {
        return is_other_timeline(c, revision) &&
               revision > c->earlier_revision;
    }
    return revision > c->freshness.revision &&
           revision > c->superseded_revision;
}

/* One of an earlier timeline may be newer, but the VM that announced it may
   have left that timeline, so that it never arrives. */
static bool
is_lacking(const CaroActiveConfig *c, const Announcement *a, CaroTime now)
{
    return a->revision > c->freshness.revision &&
           CaroActiveConfig_Wants(c, a->revision) &&
           now - a->last_at < CARO_CONFIG_ANNOUNCEMENT_TTL;
}

void
CaroActiveConfig_RecordAnnounced(CaroActiveConfig *c, CaroRevision revision,
                                 CaroTime now)
{
    Announcement *place = NULL;
    if (revision < c->freshness.revision ||
        !CaroActiveConfig_Wants(c, revision)) {
        return;
    }
    for (int i = 0; i < ANNOUNCEMENTS_MAX; i++) {
        Announcement *a = &c->announced[i];
        if (!is_lacking(c, a, now)) {
            a->revision = 0;
            place = a;
        }
        else if (a->revision == revision) {
            a->last_at = now;
            return;
        }
    }
    if (place != NULL) {
        *place = (Announcement){revision, now, now};
    }
}

CaroTime
CaroActiveConfig_LackingTime(const CaroActiveConfig *c, CaroTime now)
{
    CaroTime longest = 0;
    for (int i = 0; i < ANNOUNCEMENTS_MAX; i++) {
        const Announcement *a = &c->announced[i];
        if (is_lacking(c, a, now) && now - a->first_at > longest) {
            longest = now - a->first_at;
        }
    }
    return longest;
}

const CaroRoutes *
CaroActiveConfig_Routes(const CaroActiveConfig *c)
{
    return c->routes;
}

const char *
CaroActiveConfig_Text(const CaroActiveConfig *c, size_t *size)
{
    return CaroConfigTexts_Newest(c->texts, size);
}

CaroConfigTexts *
CaroActiveConfig_Texts(CaroActiveConfig *c)
{
    return c->texts;
}

CaroConfigFreshness *
CaroActiveConfig_Freshness(CaroActiveConfig *c)
{
    return &c->freshness;
}

const CaroConfigFreshness *
CaroActiveConfig_FreshnessConst(const CaroActiveConfig *c)
{
    return &c->freshness;
}

CaroRevision
CaroActiveConfig_RejectedRevision(const CaroActiveConfig *c)
{
    return c->rejected_revision > c->freshness.revision ? c->rejected_revision
                                                        : 0;
}
