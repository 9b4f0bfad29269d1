/*
 * NAME
 *     caro_log - log lines with a fixed prefix for each part
 *
 * A line is a time, a level, the part and a short sentence followed by
 * key=value pairs.  log4c carries them to standard output, at a bounded
 *     pace and without blocking; lines left out are counted in the next.
 */
#ifndef CARO_LOG_H
#define CARO_LOG_H

/* Sets logging up; "vm" is printed in each line. */
void CaroLog_Start(const char *vm);
void CaroLog_Stop(void);

void CaroLog_Info(const char *part, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void CaroLog_Warn(const char *part, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void CaroLog_Error(const char *part, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
