/* Logging through log4c, with a layout and an appender of this project. */
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

/* Returns the line in a static buffer, as log4c expects of a layout. */
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    (void)layout;
    static char line[LINE_SIZE + 128];
    int64_t wall_ms = CaroClock_WallMs();
    time_t seconds = (time_t)(wall_ms / 1000);
    struct tm utc;
    char time_text[32];
    (void)gmtime_r(&seconds, &utc);
    (void)strftime(time_text, sizeof(time_text), "%Y-%m-%dT%H:%M:%S", &utc);
    (void)snprintf(line, sizeof(line), "%s.%03dZ %s %s %s\n", time_text,
                   (int)(wall_ms % 1000), vm_name,
                   log4c_priority_to_string(event->evt_priority),
                   event->evt_msg);
    return line;
}

/*
 * A token bucket limits the rate of lines, and a line whose write would block
 * is dropped, because a slow reader of the log must not delay requests.  The
 * rate allows ten lines for each of the 30 requests per second that a VM
 * serves at the users' sites.
 */
#define LINES_PER_SECOND 300.0
#define LINES_BURST_MAX 1500.0

static struct {
    double tokens;
    CaroTime refilled_at;
    uint64_t dropped; /* Lines since the last notice of dropped lines. */
} rate_limit = {.tokens = LINES_BURST_MAX};

/* Whether a line may be written now; if so, consumes a token. */
static bool
consume_write_token(CaroTime now)
{
    struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
    double elapsed =
        (double)(now - rate_limit.refilled_at) / (double)CARO_SECOND;
    rate_limit.refilled_at = now;
    rate_limit.tokens += elapsed * LINES_PER_SECOND;
    if (rate_limit.tokens > LINES_BURST_MAX) {
        rate_limit.tokens = LINES_BURST_MAX;
    }
    if (rate_limit.tokens < 1.0 || poll(&out, 1, 0) != 1) {
        return false;
    }
    rate_limit.tokens -= 1.0;
    return true;
}

/* Writes a line to standard output, preceded by the count of dropped ones. */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    char notice[96];
    if (!consume_write_token(CaroClock_Now())) {
        rate_limit.dropped++;
        return 0;
    }
    if (rate_limit.dropped > 0) {
        int n = snprintf(notice, sizeof(notice),
                         "%s WARN log: Lines were dropped. count=%llu\n",
                         vm_name, (unsigned long long)rate_limit.dropped);
        rate_limit.dropped = 0;
        /* If the notice is lost, it counts as a dropped line itself. */
        if (write(STDOUT_FILENO, notice, (size_t)n) < 0) {
            rate_limit.dropped = 1;
        }
    }
    size_t size = strlen(event->evt_rendered_msg);
    if (write(STDOUT_FILENO, event->evt_rendered_msg, size) < 0) {
        rate_limit.dropped++;
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
