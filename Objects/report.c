/* Text reports for small screens. */
#include "internal/caro_report.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void
CaroReport_Init(CaroReport *r)
{
    memset(r, 0, sizeof(*r));
}

static void
append(CaroReport *r, const char *line)
{
    size_t n = strlen(line);
    if (n > CARO_REPORT_COLUMNS) {
        n = CARO_REPORT_COLUMNS;
    }
    memcpy(r->text + r->size, line, n);
    r->size += n;
    r->text[r->size++] = '\n';
    r->text[r->size] = '\0';
    r->lines++;
}

void
CaroReport_Line(CaroReport *r, const char *format, ...)
{
    char line[256];
    if (r->lines >= CARO_REPORT_LINES - 1) {
        r->hidden++;
        return;
    }
    va_list args;
    va_start(args, format);
    (void)vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    append(r, line);
}

const char *
CaroReport_End(CaroReport *r)
{
    if (r->hidden > 0) {
        char line[48];
        (void)snprintf(line, sizeof(line), "... %d more lines", r->hidden);
        append(r, line);
    }
    return r->text;
}
