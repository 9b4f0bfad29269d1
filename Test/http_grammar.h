/*
 * NAME
 *     http_grammar - a checker of HTTP/1.1 messages, written from the grammar
 *
 * The rules of RFC 9112 and RFC 9110 stand here as regular expressions over
 * whole lines, and share nothing with the reader that is tested.  The checker
 * differs from the grammar where docs/design/http-messages.md says so.
 */
#ifndef HTTP_GRAMMAR_H
#define HTTP_GRAMMAR_H

#include <assert.h>
#include <regex.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

typedef enum { GRAMMAR_REFUSED, GRAMMAR_INCOMPLETE, GRAMMAR_MESSAGE } Verdict;

enum { GRAMMAR_BODY_MAX = 8192, GRAMMAR_FIELDS_MAX = 64 };

typedef struct {
    Verdict verdict;
    char body[GRAMMAR_BODY_MAX];
    size_t body_size;
    size_t size; /* Bytes of the message. */
} GrammarResult;

#define G_TOKEN "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
#define G_TEXT "[\t -~\x80-\xff]*"
#define G_QUOTED "\"([]\t !#-[^-~\x80-\xff]|[\\][\t -~\x80-\xff])*\""
#define G_BWS "[ \t]*"
#define G_CHUNK_EXT                                                           \
    "(" G_BWS ";" G_BWS G_TOKEN "(" G_BWS "=" G_BWS "(" G_TOKEN "|" G_QUOTED  \
    "))?)*"
#define G_PCT "%[0-9A-Fa-f][0-9A-Fa-f]"
/* Beyond the grammar of a query: " < > [ ] ^ ` { | }. */
#define G_TARGET                                                              \
    "/([[:alnum:]._~!$&'()*+,;=:@/-]|" G_PCT                                  \
    ")*([?]([]\"<>^`{|}[[:alnum:]._~!$&'()*+,;=:@/?-]|" G_PCT ")*)?"

/* The rules, each compiled once. */
typedef enum {
    RULE_REQUEST_LINE,
    RULE_STATUS_LINE,
    RULE_FIELD_LINE,
    RULE_CHUNK_LINE,
    RULE_TARGET,
    RULE_DOT_SEGMENT,
    RULE_HOST,
    RULE_LENGTH,
    RULE_OPTIONS,
    RULES
} Rule;

static const char *const grammar_rules[RULES] = {
    [RULE_REQUEST_LINE] = "^" G_TOKEN " [!-~]+ HTTP/1\\.[0-9]$",
    /* Beyond the grammar: the space behind the status may be missing. */
    [RULE_STATUS_LINE] = "^HTTP/1\\.[0-9] [1-5][0-9][0-9]( " G_TEXT ")?$",
    [RULE_FIELD_LINE] = "^" G_TOKEN ":" G_TEXT "$",
    [RULE_CHUNK_LINE] = "^[0-9A-Fa-f]{1,16}" G_CHUNK_EXT "$",
    [RULE_TARGET] = "^" G_TARGET "$",
    [RULE_DOT_SEGMENT] = "(/|%2[fF]|%5[cC])([.]|%2[eE]){1,2}"
                         "(/|%2[fF]|%5[cC]|;|%3[bB]|$)",
    [RULE_HOST] = "^[][[:alnum:]._~!$&'()*+,;=:%-]*$",
    [RULE_LENGTH] = "^[0-9]{1,18}$",
    [RULE_OPTIONS] = "^(" G_TOKEN ")?(" G_BWS "," G_BWS "(" G_TOKEN ")?)*$",
};

static bool
grammar_matches(Rule rule, const char *text, size_t size)
{
    static regex_t compiled[RULES];
    static bool is_compiled[RULES];
    if (!is_compiled[rule]) {
        int code = regcomp(&compiled[rule], grammar_rules[rule],
                           REG_EXTENDED | REG_NOSUB);
        if (code != 0) {
            (void)fprintf(stderr, "rule %d does not compile\n", (int)rule);
            abort();
        }
        is_compiled[rule] = true;
    }
    if (memchr(text, '\0', size) != NULL) {
        return false;
    }
    char *copy = strndup(text, size);
    bool is_match = regexec(&compiled[rule], copy, 0, NULL, 0) == 0;
    free(copy);
    return is_match;
}

/* A line without its CR LF.  Returns GRAMMAR_MESSAGE, _INCOMPLETE without a
   line feed, or _REFUSED without a carriage return before it. */
static Verdict
grammar_line(const char *text, size_t size, size_t *at, const char **line,
             size_t *line_size)
{
    const char *lf = memchr(text + *at, '\n', size - *at);
    if (lf == NULL) {
        return GRAMMAR_INCOMPLETE;
    }
    *line = text + *at;
    *line_size = (size_t)(lf - *line);
    *at += *line_size + 1;
    if (*line_size == 0 || (*line)[*line_size - 1] != '\r') {
        return GRAMMAR_REFUSED;
    }
    (*line_size)--;
    return GRAMMAR_MESSAGE;
}

typedef struct {
    const char *name;
    size_t name_size;
    char value[512];
} GrammarField;

typedef struct {
    GrammarField fields[GRAMMAR_FIELDS_MAX];
    int n;
} GrammarFields;

static const GrammarField *
grammar_field(const GrammarFields *f, const char *name, int *count)
{
    const GrammarField *found = NULL;
    *count = 0;
    for (int i = 0; i < f->n; i++) {
        if (strlen(name) == f->fields[i].name_size &&
            strncasecmp(name, f->fields[i].name, strlen(name)) == 0) {
            found = (*count)++ == 0 ? &f->fields[i] : found;
        }
    }
    return found;
}

/* Reads field lines up to the empty one; "f" is NULL for trailers. */
static Verdict
grammar_fields(const char *text, size_t size, size_t *at, GrammarFields *f)
{
    const char *line;
    size_t n;
    Verdict v;
    if (f != NULL) {
        f->n = 0;
    }
    while ((v = grammar_line(text, size, at, &line, &n)) == GRAMMAR_MESSAGE &&
           n > 0) {
        if (!grammar_matches(RULE_FIELD_LINE, line, n) ||
            (f != NULL && f->n == GRAMMAR_FIELDS_MAX)) {
            return GRAMMAR_REFUSED;
        }
        if (f == NULL) {
            continue;
        }
        GrammarField *field = &f->fields[f->n++];
        field->name = line;
        field->name_size = strcspn(line, ":");
        const char *from = line + field->name_size + 1;
        const char *to = line + n;
        while (from < to && (*from == ' ' || *from == '\t')) {
            from++;
        }
        while (to > from && (to[-1] == ' ' || to[-1] == '\t')) {
            to--;
        }
        (void)snprintf(field->value, sizeof(field->value), "%.*s",
                       (int)(to - from), from);
    }
    return v;
}

static Verdict
grammar_chunked(const char *text, size_t size, size_t *at, GrammarResult *r)
{
    const char *line;
    size_t n;
    for (;;) {
        Verdict v = grammar_line(text, size, at, &line, &n);
        if (v != GRAMMAR_MESSAGE) {
            return v;
        }
        if (!grammar_matches(RULE_CHUNK_LINE, line, n)) {
            return GRAMMAR_REFUSED;
        }
        unsigned long long bytes = strtoull(line, NULL, 16);
        if (bytes == 0) {
            return grammar_fields(text, size, at, NULL);
        }
        if (size - *at < bytes) {
            return GRAMMAR_INCOMPLETE;
        }
        assert(r->body_size + bytes <= GRAMMAR_BODY_MAX);
        memcpy(r->body + r->body_size, text + *at, bytes);
        r->body_size += bytes;
        *at += bytes;
        if (size - *at < 2) {
            return size - *at == 1 && text[*at] != '\r' ? GRAMMAR_REFUSED
                                                        : GRAMMAR_INCOMPLETE;
        }
        if (memcmp(text + *at, "\r\n", 2) != 0) {
            return GRAMMAR_REFUSED;
        }
        *at += 2;
    }
}

/* Whether a comma-separated list has the element, in any case. */
static bool
grammar_lists(const char *list, const char *element)
{
    size_t n = strlen(element);
    for (const char *at = list;; at++) {
        at += strspn(at, " \t");
        if (strncasecmp(at, element, n) == 0 &&
            strchr(", \t", at[n]) != NULL) {
            return true;
        }
        at += strcspn(at, ",");
        if (*at == '\0') {
            return false;
        }
    }
}

/* Fields that may occur once; a request may not list those from the third on
   in Connection, a response may not list the third to the fifth. */
static const char *const grammar_single[] = {"authorization",
                                             "expect",
                                             "host",
                                             "content-length",
                                             "transfer-encoding",
                                             "x-attempt-id",
                                             "x-deadline-ms",
                                             "last-event-id",
                                             "x-response-seal",
                                             "x-tenant",
                                             "x-api-key",
                                             "x-expect-instance",
                                             "x-server-load",
                                             "server-limit",
                                             "server-brittle",
                                             "server-leaving",
                                             "x-not-executed",
                                             "x-request-priority",
                                             "x-token-usage",
                                             "x-prompt-prefix",
                                             "x-kv-backup",
                                             "kv-from",
                                             "kv-fetch",
                                             "x-pin-ms",
                                             "x-hold",
                                             "retry-after",
                                             "store-era",
                                             "content-type",
                                             "idempotency-key"};
enum {
    GRAMMAR_SINGLE = sizeof(grammar_single) / sizeof(grammar_single[0]),
    GRAMMAR_NEEDED = 2,
    GRAMMAR_NEEDED_OF_RESPONSE = 5,
    GRAMMAR_NEEDED_OF_REQUEST = GRAMMAR_SINGLE - 2
};

static bool
grammar_is_connection(const GrammarField *f)
{
    return f->name_size == strlen("connection") &&
           strncasecmp(f->name, "connection", f->name_size) == 0;
}

/* Whether a field Connection lists the option. */
static bool
grammar_has_option(const GrammarFields *f, const char *option)
{
    for (int i = 0; i < f->n; i++) {
        if (grammar_is_connection(&f->fields[i]) &&
            grammar_lists(f->fields[i].value, option)) {
            return true;
        }
    }
    return false;
}

static bool
grammar_has_sound_fields(const GrammarFields *f, bool is_request)
{
    int count;
    int end =
        is_request ? GRAMMAR_NEEDED_OF_REQUEST : GRAMMAR_NEEDED_OF_RESPONSE;
    for (int i = 0; i < f->n; i++) {
        if (grammar_is_connection(&f->fields[i]) &&
            !grammar_matches(RULE_OPTIONS, f->fields[i].value,
                             strlen(f->fields[i].value))) {
            return false;
        }
    }
    for (int i = 0; i < GRAMMAR_SINGLE; i++) {
        (void)grammar_field(f, grammar_single[i], &count);
        if (count > 1) {
            return false;
        }
        if (i >= GRAMMAR_NEEDED && i < end &&
            grammar_has_option(f, grammar_single[i])) {
            return false;
        }
    }
    (void)grammar_field(f, "upgrade", &count);
    return !is_request || count == 0 || !grammar_has_option(f, "upgrade");
}

static bool
grammar_has_sound_request(const char *line, size_t n, const GrammarFields *f)
{
    int count;
    const char *target = memchr(line, ' ', n);
    const char *version = line + n - strlen("HTTP/1.1");
    const GrammarField *host = grammar_field(f, "host", &count);
    target++;
    size_t size = (size_t)(version - 1 - target);
    if (version[7] != '0' && host == NULL) {
        return false;
    }
    if (host != NULL &&
        !grammar_matches(RULE_HOST, host->value, strlen(host->value))) {
        return false;
    }
    if (strncmp(line, "OPTIONS * ", 10) == 0) {
        return true;
    }
    if (target[0] != '/') {
        size_t authority = host == NULL ? 0 : strlen(host->value);
        if (authority == 0 || size < 7 + authority ||
            strncasecmp(target, "http://", 7) != 0 ||
            strncasecmp(target + 7, host->value, authority) != 0) {
            return false;
        }
        target += 7 + authority;
        size -= 7 + authority;
        if (size == 0) {
            return true;
        }
    }
    const char *query = memchr(target, '?', size);
    size_t path = query == NULL ? size : (size_t)(query - target);
    return grammar_matches(RULE_TARGET, target, size) &&
           !grammar_matches(RULE_DOT_SEGMENT, target, path);
}

/* Reads one message from the text; a response is one to a GET request. */
static void
grammar_read(bool is_request, const char *text, size_t size, GrammarResult *r)
{
    enum { EMPTY_LINES = 8 };
    static GrammarFields fields;
    const char *line = NULL;
    size_t at = 0;
    size_t n = 0;
    int n_empty = 0;
    int count;
    r->body_size = 0;
    do {
        r->verdict = grammar_line(text, size, &at, &line, &n);
    } while (r->verdict == GRAMMAR_MESSAGE && is_request && n == 0 &&
             ++n_empty <= EMPTY_LINES);
    if (r->verdict != GRAMMAR_MESSAGE) {
        return;
    }
    r->verdict = GRAMMAR_REFUSED;
    if (!grammar_matches(is_request ? RULE_REQUEST_LINE : RULE_STATUS_LINE,
                         line, n)) {
        return;
    }
    Verdict v = grammar_fields(text, size, &at, &fields);
    if (v != GRAMMAR_MESSAGE) {
        r->verdict = v;
        return;
    }
    const GrammarField *coding =
        grammar_field(&fields, "transfer-encoding", &count);
    const GrammarField *length =
        grammar_field(&fields, "content-length", &count);
    int minor = is_request ? line[n - 1] - '0' : line[7] - '0';
    int status = is_request ? 0 : atoi(line + 9);
    bool has_no_body =
        !is_request && (status < 200 || status == 204 || status == 304);
    if (!grammar_has_sound_fields(&fields, is_request) || status == 101 ||
        (is_request && !grammar_has_sound_request(line, n, &fields)) ||
        (coding != NULL && (minor == 0 || length != NULL ||
                            strcasecmp(coding->value, "chunked") != 0)) ||
        (length != NULL && !grammar_matches(RULE_LENGTH, length->value,
                                            strlen(length->value)))) {
        return;
    }
    long long bytes = length == NULL ? 0 : atoll(length->value);
    if (has_no_body && status != 304 && (coding != NULL || bytes > 0)) {
        return;
    }
    r->verdict = GRAMMAR_MESSAGE;
    if (coding != NULL && !has_no_body) {
        r->verdict = grammar_chunked(text, size, &at, r);
    }
    else if (!has_no_body && (length != NULL || !is_request)) {
        /* Without a length the body of a response ends with the text. */
        size_t left = size - at;
        r->verdict = length != NULL && (unsigned long long)bytes > left
                         ? GRAMMAR_INCOMPLETE
                         : GRAMMAR_MESSAGE;
        size_t got = length == NULL ? left : (size_t)bytes;
        if (r->verdict == GRAMMAR_MESSAGE) {
            assert(got <= GRAMMAR_BODY_MAX);
            memcpy(r->body, text + at, got);
            r->body_size = got;
            at += got;
        }
    }
    r->size = at;
}

#endif
