/* Targets of HTTP/1.1 requests. */
#include "internal/caro_http_target.h"

#include "internal/caro_http_chars.h"

#include <string.h>
#include <strings.h>

bool
CaroHttpTarget_IsHost(CaroText host)
{
    for (size_t i = 0; i < host.size; i++) {
        if (!CaroHttpChar_IsHost(host.at[i])) {
            return false;
        }
    }
    return true;
}

/* Returns the character at the place, decoded, and in *size how many bytes it
   takes; a malformed encoding stands for itself. */
static char
decode(CaroText text, size_t at, size_t *size)
{
    *size = 1;
    if (text.at[at] == '%' && at + 2 < text.size) {
        int high = CaroHttpChar_HexValue(text.at[at + 1]);
        int low = CaroHttpChar_HexValue(text.at[at + 2]);
        if (high >= 0 && low >= 0) {
            *size = 3;
            return (char)(high * 16 + low);
        }
    }
    return text.at[at];
}

static bool
is_separator(char c)
{
    return c == '/' || c == '\\';
}

/* Returns whether a segment is "." or "..", as some readers find it: decoded,
   and without the parameters behind ";". */
static bool
has_dot_segment(CaroText path)
{
    size_t n_dots = 0;
    size_t size;
    bool is_dots = false; /* The segment so far consists of dots. */
    bool is_ended = true; /* By ";". */
    for (size_t i = 0; i < path.size; i += size) {
        char c = decode(path, i, &size);
        if (is_separator(c)) {
            if (is_dots && n_dots > 0 && n_dots <= 2) {
                return true;
            }
            n_dots = 0;
            is_dots = true;
            is_ended = false;
        }
        else if (c == ';') {
            is_ended = true;
        }
        else if (!is_ended) {
            is_dots = is_dots && c == '.';
            n_dots++;
        }
    }
    return is_dots && n_dots > 0 && n_dots <= 2;
}

/* Checks the characters and the percent-encodings. */
static bool
is_path_and_query(CaroText target)
{
    bool is_query = false;
    for (size_t i = 0; i < target.size; i++) {
        char c = target.at[i];
        size_t size;
        if (c == '%') {
            (void)decode(target, i, &size);
            if (size == 1) {
                return false;
            }
        }
        else if (c == '?') {
            is_query = true;
        }
        else if (is_query ? !CaroHttpChar_IsQuery(c)
                          : !CaroHttpChar_IsPath(c)) {
            return false;
        }
    }
    return true;
}

/* Removes scheme and host of a target in absolute-form. */
static bool
strip_origin(CaroText *target, CaroText host)
{
    static const char scheme[] = "http://";
    size_t skip = sizeof(scheme) - 1;
    if (target->size < skip || strncasecmp(target->at, scheme, skip) != 0) {
        return false;
    }
    target->at += skip;
    target->size -= skip;
    const char *slash = memchr(target->at, '/', target->size);
    size_t size = slash == NULL ? target->size : (size_t)(slash - target->at);
    if (size == 0 || size != host.size ||
        strncasecmp(target->at, host.at, size) != 0) {
        return false;
    }
    *target = slash == NULL ? (CaroText){"/", 1}
                            : (CaroText){slash, target->size - size};
    return true;
}

bool
CaroHttpTarget_Parse(CaroText *target, CaroText host)
{
    if (target->at[0] != '/' && !strip_origin(target, host)) {
        return false;
    }
    const char *query = memchr(target->at, '?', target->size);
    CaroText path = {target->at, query == NULL ? target->size
                                               : (size_t)(query - target->at)};
    return is_path_and_query(*target) && !has_dot_segment(path);
}

bool
CaroHttpTarget_HasOtherForm(CaroText path)
{
    for (size_t i = 0; i < path.size; i++) {
        if (path.at[i] == '%' ||
            (i > 0 && path.at[i] == '/' && path.at[i - 1] == '/')) {
            return true;
        }
    }
    return false;
}

size_t
CaroHttpTarget_WriteOtherForm(CaroText path, char *out)
{
    size_t n = 0;
    size_t size;
    for (size_t i = 0; i < path.size; i += size) {
        char c = decode(path, i, &size);
        c = is_separator(c) ? '/' : c;
        if (c != '/' || n == 0 || out[n - 1] != '/') {
            out[n++] = c;
        }
    }
    return n;
}
