/*
 * NAME
 *     caro_log - logging to standard output
 *
 * A line consists of the time in UTC, the VM, the level, the name of the part
 * that logs, and a short sentence followed by key=value pairs.  Writing never
 * blocks and is limited in rate; a later line has the number of those that
 * were dropped.
 */
#ifndef CARO_LOG_H
#define CARO_LOG_H

/* Format of a text of any length, of which a line has the first bytes, and the
   number of these. */
#define CARO_LOG_TEXT "%.128s"
enum { CARO_LOG_TEXT_MAX = 128 };

/*
 * Start and stop logging.  "vm" is copied and printed in each line.  Lines are
 * discarded while logging is stopped.
 */
void CaroLog_Start(const char *vm);
void CaroLog_Stop(void);

/* Log one line.  "part" names the part of the program; the text needs no line
   feed at the end. */
void CaroLog_Info(const char *part, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void CaroLog_Warn(const char *part, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void CaroLog_Error(const char *part, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
