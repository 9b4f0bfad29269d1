/* The configuration by which a gateway serves. */
#include "internal/caro_active_config.h"

#include "internal/caro_log.h"
#include "internal/caro_platform.h"

#include <stdlib.h>
#include <string.h>

struct CaroActiveConfig {
    CaroCounters *counters;
    CaroRoutes *routes; /* NULL before the first configuration. */
    char *text;         /* As the operators wrote it. */
    size_t size;
    CaroConfigFreshness freshness;
    int64_t rejected_revision; /* Highest that could not be read. */
};

CaroActiveConfig *
CaroActiveConfig_Create(CaroCounters *counters)
{
    CaroActiveConfig *c = calloc(1, sizeof(*c));
    if (c != NULL) {
        c->counters = counters;
    }
    return c;
}

void
CaroActiveConfig_Destroy(CaroActiveConfig *c)
{
    if (c != NULL) {
        CaroRoutes_Destroy(c->routes);
        free(c->text);
        free(c);
    }
}

/* Records a configuration that could not be read.  It is logged once; the
   registry reads it again and again. */
static void
reject(CaroActiveConfig *c, int64_t revision, const char *source,
       const CaroError *err)
{
    if (revision <= c->rejected_revision) {
        return;
    }
    c->rejected_revision = revision;
    CaroCounters_Add(c->counters, CARO_COUNT_CONFIG_REJECTED, 1);
    CaroLog_Error("config",
                  "A configuration was rejected; requests are refused until "
                  "there is another one. revision=%lld in_force=%lld "
                  "source=%s at=%s reason=\"%s\"",
                  (long long)revision, (long long)c->freshness.revision,
                  source, err->peer, err->detail);
}

int
CaroActiveConfig_Apply(CaroActiveConfig *c, const char *bytes, size_t size,
                       int64_t revision, const char *source)
{
    CaroRoutes *routes = NULL;
    char *text = NULL;
    CaroError err;
    if (revision <= c->freshness.revision) {
        return 0;
    }
    int rc = CaroPlatform_ReadConfig(bytes, size, &routes, &err);
    if (rc < 0) {
        goto error;
    }
    text = malloc(size + 1);
    if (text == NULL) {
        rc = CaroError_Set(&err, CARO_ERR_NOMEM, "document", "configuration",
                           "out of memory");
        goto error;
    }
    memcpy(text, bytes, size);
    text[size] = '\0';
    free(c->text);
    c->text = text;
    c->size = size;
    CaroRoutes_Destroy(c->routes);
    c->routes = routes;
    /* When the older revision was confirmed, nothing newer than it existed;
       so nothing newer than this revision did, and the time still holds. */
    c->freshness.revision = revision;
    CaroCounters_Add(c->counters, CARO_COUNT_CONFIG_APPLIED, 1);
    CaroLog_Info(
        "config",
        "A configuration was applied. version=%lld revision=%lld "
        "routes=%d idle_ms=%lld source=%s",
        (long long)CaroRoutes_Version(routes), (long long)revision,
        CaroRoutes_Count(routes),
        (long long)(CaroRoutes_Limits(routes)->idle_timeout / CARO_MS),
        source);
    return 1;
error:
    reject(c, revision, source, &err);
    CaroRoutes_Destroy(routes);
    return rc;
}

const CaroRoutes *
CaroActiveConfig_Routes(const CaroActiveConfig *c)
{
    return c->routes;
}

const char *
CaroActiveConfig_Text(const CaroActiveConfig *c, size_t *size)
{
    *size = c->size;
    return c->text;
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

int64_t
CaroActiveConfig_RejectedRevision(const CaroActiveConfig *c)
{
    return c->rejected_revision > c->freshness.revision ? c->rejected_revision
                                                        : 0;
}
