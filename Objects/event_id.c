/* Event ids: "generation.owner.backup.index". */
#include "internal/caro_event_id.h"

#include "caro_error.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Text form of an empty backup. */
#define NO_BACKUP "-"

void
CaroEventId_Format(const CaroEventId *e, char *buf, size_t size)
{
    (void)snprintf(buf, size, "%016" PRIx64 ".%s.%s.%" PRIu32, e->id, e->owner,
                   e->backup[0] == '\0' ? NO_BACKUP : e->backup, e->index);
}

int
CaroEventId_Parse(const char *text, CaroEventId *e)
{
    char id[17];
    char end;
    memset(e, 0, sizeof(*e));
    if (sscanf(text, "%16[0-9a-f].%31[a-z0-9-].%31[a-z0-9-].%" SCNu32 "%c", id,
               e->owner, e->backup, &e->index, &end) != 4 ||
        strlen(id) != 16) {
        return CARO_ERR_INPUT;
    }
    e->id = strtoull(id, NULL, 16);
    if (strcmp(e->backup, NO_BACKUP) == 0) {
        e->backup[0] = '\0';
    }
    return 0;
}
