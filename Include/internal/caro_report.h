/*
 * NAME
 *     caro_report - text reports for a screen of 40 columns and 20 lines
 */
#ifndef CARO_REPORT_H
#define CARO_REPORT_H

#include "internal/caro_types.h"

enum { CARO_REPORT_COLUMNS = 40, CARO_REPORT_LINES = 20 };

struct CaroReport {
    char text[(CARO_REPORT_COLUMNS + 1) * CARO_REPORT_LINES + 1];
    size_t size;
    int lines;
    int hidden; /* Lines omitted because the report is full. */
};

typedef struct CaroReport CaroReport;

/* Initializes an empty report. */
void CaroReport_Init(CaroReport *r);

/* Appends one line, truncated to 40 columns.  After 19 lines, further ones are
   only counted. */
void CaroReport_Line(CaroReport *r, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Ends the report with the number of omitted lines, if any.  Returns the text,
   borrowed from *r. */
const char *CaroReport_End(CaroReport *r);

#endif
