/* Log lines by log4c, in a layout of this project. */
#include "internal/caro_log.h"

#include "internal/caro_clock.h"
#include "internal/caro_types.h"

#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum { LINE_SIZE = 1024 };

static char vm_name[CARO_NAME_SIZE] = "-";
static log4c_category_t *root_category;
static log4c_layout_t *line_layout;
static log4c_appender_t *line_appender;

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    (void)layout;
    static char line[LINE_SIZE + 128];
    int64_t wall = CaroClock_WallMs();
    time_t seconds = (time_t)(wall / 1000);
    struct tm parts;
    char time_text[32];
    (void)gmtime_r(&seconds, &parts);
    (void)strftime(time_text, sizeof(time_text), "%Y-%m-%dT%H:%M:%S", &parts);
    (void)snprintf(line, sizeof(line), "%s.%03dZ %s %s %s\n", time_text,
                   (int)(wall % 1000), vm_name,
                   log4c_priority_to_string(event->evt_priority),
                   event->evt_msg);
    return line;
}

/* Lines leave at a bounded pace, and one that would block is dropped: a
   reader of logs must not hold up a request.  The pace is ten lines for
   each of the 30 requests a second that a VM of the sites serves. */
#define LINES_PER_SECOND 300.0
#define LINES_BURST 1500.0

static struct {
    double tokens;
    CaroTime last;
    uint64_t dropped;
} pace = {.tokens = LINES_BURST};

static bool
may_write(CaroTime now)
{
    struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
    double passed = (double)(now - pace.last) / (double)CARO_SECOND;
    pace.last = now;
    pace.tokens += passed * LINES_PER_SECOND;
    if (pace.tokens > LINES_BURST) {
        pace.tokens = LINES_BURST;
    }
    if (pace.tokens < 1.0 || poll(&out, 1, 0) != 1) {
        return false;
    }
    pace.tokens -= 1.0;
    return true;
}

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    char note[96];
    if (!may_write(CaroClock_Now())) {
        pace.dropped++;
        return 0;
    }
    if (pace.dropped > 0) {
        int n = snprintf(note, sizeof(note),
                         "%s WARN log: Lines were left out. count=%llu\n",
                         vm_name, (unsigned long long)pace.dropped);
        pace.dropped = 0;
        /* A line lost here is one among those left out. */
        if (write(STDOUT_FILENO, note, (size_t)n) < 0) {
            pace.dropped = 1;
        }
    }
    size_t size = strlen(event->evt_rendered_msg);
    if (write(STDOUT_FILENO, event->evt_rendered_msg, size) < 0) {
        pace.dropped++;
    }
    return 0;
}

static const log4c_layout_type_t layout_type = {.name = "carobloft",
                                                .format = format_line};
static const log4c_appender_type_t appender_type = {.name = "carobloft",
                                                    .append = append_line};

void
CaroLog_Start(const char *vm)
{
    CARO_COPY(vm_name, vm);
    (void)log4c_init();
    (void)log4c_layout_type_set(&layout_type);
    (void)log4c_appender_type_set(&appender_type);
    line_layout = log4c_layout_get("carobloft.line");
    (void)log4c_layout_set_type(line_layout, &layout_type);
    line_appender = log4c_appender_get("carobloft.stdout");
    (void)log4c_appender_set_type(line_appender, &appender_type);
    (void)log4c_appender_set_layout(line_appender, line_layout);
    root_category = log4c_category_get("carobloft");
    (void)log4c_category_set_priority(root_category, LOG4C_PRIORITY_INFO);
    (void)log4c_category_set_additivity(root_category, 0);
    (void)log4c_category_set_appender(root_category, line_appender);
}

void
CaroLog_Stop(void)
{
    root_category = NULL;
    (void)log4c_fini();
}

static void
write_line(int priority, const char *part, const char *format, va_list args)
{
    char text[LINE_SIZE];
    if (root_category == NULL) {
        return;
    }
    (void)vsnprintf(text, sizeof(text), format, args);
    log4c_category_log(root_category, priority, "%s: %s", part, text);
}

void
CaroLog_Info(const char *part, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    write_line(LOG4C_PRIORITY_INFO, part, format, args);
    va_end(args);
}

void
CaroLog_Warn(const char *part, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    write_line(LOG4C_PRIORITY_WARN, part, format, args);
    va_end(args);
}

void
CaroLog_Error(const char *part, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    write_line(LOG4C_PRIORITY_ERROR, part, format, args);
    va_end(args);
}
