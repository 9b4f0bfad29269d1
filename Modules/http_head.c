/* Heads of HTTP/1.1 messages. */
#include "internal/caro_http_head.h"

#include "internal/caro_http_chars.h"
#include "internal/caro_http_target.h"
#include "internal/caro_platform.h"

#include <stdlib.h>
#include <string.h>

/* What the next byte of a head belongs to. */
typedef enum {
    HEAD_METHOD,
    HEAD_TARGET,
    HEAD_REQUEST_VERSION,
    HEAD_REQUEST_CR,
    HEAD_RESPONSE_VERSION,
    HEAD_STATUS,
    HEAD_REASON,
    HEAD_LF, /* Line feed of a line. */
    HEAD_LINE_START,
    HEAD_NAME,
    HEAD_VALUE,
    HEAD_END_LF, /* Line feed of the empty line. */
    HEAD_COMPLETE
} HeadState;

struct CaroHttpHeadScanner {
    CaroHttpMessageKind kind;
    HeadState state;
    size_t part_size; /* Bytes of the current part of the line. */
    CaroHttpFault fault;
};

/* The version as its digits may be: "d" stands for a digit. */
static const char version_pattern[] = "HTTP/d.d";
#define VERSION_SIZE (sizeof(version_pattern) - 1)
#define STATUS_DIGITS 3
/* Statuses of HTTP (RFC 9110, section 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599

CaroHttpHeadScanner *
CaroHttpHeadScanner_Create(CaroHttpMessageKind kind)
{
    CaroHttpHeadScanner *s = calloc(1, sizeof(*s));
    if (s != NULL) {
        s->kind = kind;
        CaroHttpHeadScanner_Begin(s);
    }
    return s;
}

void
CaroHttpHeadScanner_Destroy(CaroHttpHeadScanner *s)
{
    free(s);
}

void
CaroHttpHeadScanner_Begin(CaroHttpHeadScanner *s)
{
    s->state =
        s->kind == CARO_HTTP_REQUEST ? HEAD_METHOD : HEAD_RESPONSE_VERSION;
    s->part_size = 0;
    s->fault = CARO_HTTP_FAULT_NONE;
}

static CaroHttpFault
enter(CaroHttpHeadScanner *s, HeadState state)
{
    s->state = state;
    s->part_size = 0;
    return CARO_HTTP_FAULT_NONE;
}

static bool
is_digit(char c)
{
    return c >= '0' && c <= '9';
}

/* Reads a byte of the version; "next" follows it. */
static CaroHttpFault
read_version(CaroHttpHeadScanner *s, char c, HeadState next)
{
    char expected = version_pattern[s->part_size++];
    if (expected == 'd' ? !is_digit(c) : c != expected) {
        return CARO_HTTP_FAULT_START_LINE;
    }
    return s->part_size == VERSION_SIZE ? enter(s, next)
                                        : CARO_HTTP_FAULT_NONE;
}

/* Reads a space and the digits of the status.  The space behind them may be
   missing together with the reason: it has no meaning to any reader. */
static CaroHttpFault
read_status(CaroHttpHeadScanner *s, char c)
{
    size_t i = s->part_size++;
    if (i == 0) {
        return c == ' ' ? CARO_HTTP_FAULT_NONE : CARO_HTTP_FAULT_START_LINE;
    }
    if (i <= STATUS_DIGITS) {
        return is_digit(c) ? CARO_HTTP_FAULT_NONE : CARO_HTTP_FAULT_STATUS;
    }
    if (c == '\r') {
        return enter(s, HEAD_LF);
    }
    return c == ' ' ? enter(s, HEAD_REASON) : CARO_HTTP_FAULT_STATUS;
}

/* Reads a byte of a part that consists of the characters of a class and ends
   with "end". */
static CaroHttpFault
read_part(CaroHttpHeadScanner *s, char c, bool is_member, char end,
          HeadState next, CaroHttpFault fault)
{
    if (c == end && s->part_size > 0) {
        return enter(s, next);
    }
    s->part_size++;
    return is_member ? CARO_HTTP_FAULT_NONE : fault;
}

static CaroHttpFault
read_text(CaroHttpHeadScanner *s, char c)
{
    if (c == '\r') {
        return enter(s, HEAD_LF);
    }
    if (CaroHttpChar_IsFieldText(c)) {
        return CARO_HTTP_FAULT_NONE;
    }
    return c == '\n' ? CARO_HTTP_FAULT_LINE_END : CARO_HTTP_FAULT_FIELD_VALUE;
}

static CaroHttpFault
read_line_start(CaroHttpHeadScanner *s, char c)
{
    if (c == '\r') {
        return enter(s, HEAD_END_LF);
    }
    if (c == ' ' || c == '\t') {
        return CARO_HTTP_FAULT_FOLDED;
    }
    (void)enter(s, HEAD_NAME);
    s->part_size = 1;
    return CaroHttpChar_IsToken(c) ? CARO_HTTP_FAULT_NONE
           : c == '\n'             ? CARO_HTTP_FAULT_LINE_END
                                   : CARO_HTTP_FAULT_FIELD_NAME;
}

static CaroHttpFault
read_line_feed(CaroHttpHeadScanner *s, char c, HeadState next)
{
    return c == '\n' ? enter(s, next) : CARO_HTTP_FAULT_LINE_END;
}

static CaroHttpFault
read_byte(CaroHttpHeadScanner *s, char c)
{
    switch (s->state) {
    case HEAD_METHOD:
        return read_part(s, c, CaroHttpChar_IsToken(c), ' ', HEAD_TARGET,
                         CARO_HTTP_FAULT_START_LINE);
    case HEAD_TARGET:
        return read_part(s, c, c > ' ' && c <= '~', ' ', HEAD_REQUEST_VERSION,
                         CARO_HTTP_FAULT_START_LINE);
    case HEAD_REQUEST_VERSION:
        return read_version(s, c, HEAD_REQUEST_CR);
    case HEAD_REQUEST_CR:
        return c == '\r'   ? enter(s, HEAD_LF)
               : c == '\n' ? CARO_HTTP_FAULT_LINE_END
                           : CARO_HTTP_FAULT_START_LINE;
    case HEAD_RESPONSE_VERSION:
        return read_version(s, c, HEAD_STATUS);
    case HEAD_STATUS:
        return read_status(s, c);
    case HEAD_REASON:
    case HEAD_VALUE:
        return read_text(s, c);
    case HEAD_LF:
        return read_line_feed(s, c, HEAD_LINE_START);
    case HEAD_LINE_START:
        return read_line_start(s, c);
    case HEAD_NAME:
        return read_part(s, c, CaroHttpChar_IsToken(c), ':', HEAD_VALUE,
                         CARO_HTTP_FAULT_FIELD_NAME);
    default: /* HEAD_END_LF */
        return read_line_feed(s, c, HEAD_COMPLETE);
    }
}

size_t
CaroHttpHeadScanner_Feed(CaroHttpHeadScanner *s, CaroText bytes)
{
    size_t i = 0;
    while (i < bytes.size && s->state != HEAD_COMPLETE &&
           s->fault == CARO_HTTP_FAULT_NONE) {
        s->fault = read_byte(s, bytes.at[i]);
        if (s->fault == CARO_HTTP_FAULT_NONE) {
            i++;
        }
    }
    return i;
}

bool
CaroHttpHeadScanner_IsComplete(const CaroHttpHeadScanner *s)
{
    return s->state == HEAD_COMPLETE && s->fault == CARO_HTTP_FAULT_NONE;
}

CaroHttpFault
CaroHttpHeadScanner_Fault(const CaroHttpHeadScanner *s)
{
    return s->fault;
}

/* Writes a terminator behind a text of the head, over its separator. */
static void
terminate(CaroHttpHead *head, CaroText text)
{
    head->bytes[(size_t)(text.at - head->bytes) + text.size] = '\0';
}

/* Splits the lines.  Returns CARO_HTTP_FAULT_NONE or _HEAD_SIZE. */
static CaroHttpFault
split_lines(CaroHttpHead *head, CaroText *start_line)
{
    const char *at = head->bytes;
    const char *end = strchr(at, '\r');
    *start_line = (CaroText){at, (size_t)(end - at)};
    head->n_headers = 0;
    for (at = end + 2; *at != '\r'; at = end + 2) {
        if (head->n_headers == CARO_HTTP_HEADERS_MAX) {
            return CARO_HTTP_FAULT_HEAD_SIZE;
        }
        const char *colon = strchr(at, ':');
        end = strchr(colon, '\r');
        CaroHttpHeader *h = &head->headers[head->n_headers++];
        h->name = (CaroText){at, (size_t)(colon - at)};
        h->value =
            CaroText_Trim((CaroText){colon + 1, (size_t)(end - colon - 1)});
        terminate(head, h->name);
        terminate(head, h->value);
    }
    return CARO_HTTP_FAULT_NONE;
}

/* Headers of HTTP that may occur once and decide something here. */
static const char *const single_names[] = {
    "host",          "content-length", "transfer-encoding", "content-type",
    "authorization", "expect",         "idempotency-key"};
#define SINGLE_NAMES (sizeof(single_names) / sizeof(single_names[0]))

/* The number of a header that may occur once, below 64; -1 for another. */
static int
find_single(CaroText name)
{
    _Static_assert(SINGLE_NAMES + CARO_HEADER_COUNT <= 64, "fits a set");
    for (size_t i = 0; i < SINGLE_NAMES; i++) {
        if (CaroText_EqualsIgnoreCase(name, single_names[i])) {
            return (int)i;
        }
    }
    CaroHeaderId id = CaroPlatform_HeaderId(name);
    return id == CARO_HEADER_OTHER ? -1 : (int)SINGLE_NAMES + (int)id;
}

static CaroHttpFault
check_repeated(const CaroHttpHead *head, size_t *offset)
{
    uint64_t seen = 0;
    for (int i = 0; i < head->n_headers; i++) {
        int single = find_single(head->headers[i].name);
        uint64_t bit = single < 0 ? 0 : 1ull << single;
        if ((seen & bit) != 0) {
            *offset = (size_t)(head->headers[i].name.at - head->bytes);
            return CARO_HTTP_FAULT_REPEATED;
        }
        seen |= bit;
    }
    return CARO_HTTP_FAULT_NONE;
}

static bool
is_token(CaroText text)
{
    for (size_t i = 0; i < text.size; i++) {
        if (!CaroHttpChar_IsToken(text.at[i])) {
            return false;
        }
    }
    return true;
}

/* Returns whether a hop that removes the header, because Connection lists it,
   would change how this message is read or what is decided by it. */
static bool
is_needed_by_hop(CaroText name, CaroHttpMessageKind kind)
{
    return CaroText_EqualsIgnoreCase(name, "content-length") ||
           CaroText_EqualsIgnoreCase(name, "transfer-encoding") ||
           CaroText_EqualsIgnoreCase(name, "host") ||
           (kind == CARO_HTTP_REQUEST &&
            CaroPlatform_HeaderId(name) != CARO_HEADER_OTHER);
}

/* A place in the lists of the headers Connection; zero at first. */
typedef struct {
    int n_headers; /* Headers that have been looked at. */
    CaroText list; /* The rest of the list of the last of them. */
} OptionCursor;

/* Stores the next option, possibly empty.  Returns false at the end. */
static bool
next_option(const CaroHttpHead *head, OptionCursor *at, CaroText *option)
{
    while (!CaroText_NextElement(&at->list, option)) {
        if (at->n_headers == head->n_headers) {
            return false;
        }
        const CaroHttpHeader *h = &head->headers[at->n_headers++];
        if (CaroText_EqualsIgnoreCase(h->name, "connection")) {
            at->list = h->value;
        }
    }
    return true;
}

typedef struct {
    bool has_close;
    bool has_keep_alive;
    bool has_upgrade;
} ConnectionOptions;

static CaroHttpFault
read_connection(const CaroHttpHead *head, CaroHttpMessageKind kind,
                ConnectionOptions *options, size_t *offset)
{
    OptionCursor at = {.n_headers = 0};
    CaroText option;
    *options = (ConnectionOptions){.has_close = false};
    while (next_option(head, &at, &option)) {
        if (!is_token(option) || is_needed_by_hop(option, kind)) {
            *offset = (size_t)(option.at - head->bytes);
            return CARO_HTTP_FAULT_CONNECTION;
        }
        options->has_close |= CaroText_EqualsIgnoreCase(option, "close");
        options->has_keep_alive |=
            CaroText_EqualsIgnoreCase(option, "keep-alive");
        options->has_upgrade |= CaroText_EqualsIgnoreCase(option, "upgrade");
    }
    return CARO_HTTP_FAULT_NONE;
}

static CaroHttpFault
read_framing(CaroHttpHead *head, size_t *offset)
{
    CaroText length = CaroHttpHead_Find(head, "content-length");
    CaroText coding = CaroHttpHead_Find(head, "transfer-encoding");
    head->length = -1;
    head->is_chunked = coding.at != NULL;
    if (length.at != NULL && !CaroText_ToNumber(length, &head->length)) {
        *offset = (size_t)(length.at - head->bytes);
        return CARO_HTTP_FAULT_LENGTH;
    }
    if (coding.at == NULL) {
        return CARO_HTTP_FAULT_NONE;
    }
    *offset = (size_t)(coding.at - head->bytes);
    if (length.at != NULL) {
        return CARO_HTTP_FAULT_LENGTH_AND_CODING;
    }
    return head->minor_version > 0 &&
                   CaroText_EqualsIgnoreCase(coding, "chunked")
               ? CARO_HTTP_FAULT_NONE
               : CARO_HTTP_FAULT_CODING;
}

/* Reads the version at the given place.  A later version of HTTP/1 is read as
   HTTP/1.1 (RFC 9110, section 6.2). */
static CaroHttpFault
read_minor_version(CaroHttpHead *head, const char *version, size_t *offset)
{
    *offset = (size_t)(version - head->bytes);
    head->minor_version = version[VERSION_SIZE - 1] == '0' ? 0 : 1;
    return version[sizeof("HTTP/") - 1] == '1' ? CARO_HTTP_FAULT_NONE
                                               : CARO_HTTP_FAULT_VERSION;
}

static CaroHttpFault
parse_request_line(CaroHttpHead *head, CaroText line, size_t *offset)
{
    const char *space = memchr(line.at, ' ', line.size);
    const char *version = line.at + line.size - VERSION_SIZE;
    head->method = (CaroText){line.at, (size_t)(space - line.at)};
    head->target = (CaroText){space + 1, (size_t)(version - 1 - (space + 1))};
    terminate(head, head->method);
    terminate(head, head->target);
    CaroHttpFault fault = read_minor_version(head, version, offset);
    if (fault != CARO_HTTP_FAULT_NONE) {
        return fault;
    }
    CaroText host = CaroHttpHead_Find(head, "host");
    if ((host.at == NULL && head->minor_version > 0) ||
        !CaroHttpTarget_IsHost(host)) {
        *offset =
            host.at == NULL ? head->size : (size_t)(host.at - head->bytes);
        return CARO_HTTP_FAULT_HOST;
    }
    *offset = (size_t)(head->target.at - head->bytes);
    bool is_options = CaroText_Equals(head->method, "OPTIONS");
    return (is_options && CaroText_Equals(head->target, "*")) ||
                   CaroHttpTarget_Parse(&head->target, host)
               ? CARO_HTTP_FAULT_NONE
               : CARO_HTTP_FAULT_TARGET;
}

static CaroHttpFault
parse_status_line(CaroHttpHead *head, CaroText line, size_t *offset)
{
    CaroHttpFault fault = read_minor_version(head, line.at, offset);
    int64_t status = 0;
    if (fault != CARO_HTTP_FAULT_NONE) {
        return fault;
    }
    *offset = VERSION_SIZE + 1;
    (void)CaroText_ToNumber((CaroText){line.at + *offset, STATUS_DIGITS},
                            &status);
    head->status = (int)status;
    return status >= STATUS_MIN && status <= STATUS_MAX
               ? CARO_HTTP_FAULT_NONE
               : CARO_HTTP_FAULT_STATUS;
}

/* Decides how the body of a response ends (RFC 9112, section 6.3). */
static CaroHttpFault
find_response_end(CaroHttpHead *head, bool is_bodiless, size_t *offset)
{
    bool is_interim = head->status < 200;
    head->has_no_body = is_bodiless || is_interim || head->status == 204 ||
                        head->status == 304;
    if ((is_interim || head->status == 204) &&
        (head->is_chunked || head->length > 0)) {
        *offset = head->size;
        return CARO_HTTP_FAULT_BODY;
    }
    head->is_close_delimited =
        !head->has_no_body && !head->is_chunked && head->length < 0;
    return CARO_HTTP_FAULT_NONE;
}

CaroHttpFault
CaroHttpHead_Parse(CaroHttpHead *head, CaroHttpMessageKind kind,
                   bool is_bodiless, size_t *offset)
{
    CaroText start_line;
    ConnectionOptions options;
    CaroHttpFault fault = split_lines(head, &start_line);
    *offset = head->size;
    if (fault == CARO_HTTP_FAULT_NONE) {
        fault = check_repeated(head, offset);
    }
    if (fault == CARO_HTTP_FAULT_NONE) {
        fault = kind == CARO_HTTP_REQUEST
                    ? parse_request_line(head, start_line, offset)
                    : parse_status_line(head, start_line, offset);
    }
    if (fault == CARO_HTTP_FAULT_NONE) {
        fault = read_connection(head, kind, &options, offset);
    }
    if (fault == CARO_HTTP_FAULT_NONE) {
        fault = read_framing(head, offset);
    }
    if (fault == CARO_HTTP_FAULT_NONE && kind == CARO_HTTP_RESPONSE) {
        fault = find_response_end(head, is_bodiless, offset);
    }
    if (fault != CARO_HTTP_FAULT_NONE) {
        return fault;
    }
    *offset = head->size;
    head->is_persistent = !options.has_close && !head->is_close_delimited &&
                          (head->minor_version > 0 || options.has_keep_alive);
    bool is_upgrade = kind == CARO_HTTP_REQUEST
                          ? options.has_upgrade &&
                                CaroHttpHead_Find(head, "upgrade").at != NULL
                          : head->status == 101;
    return is_upgrade ? CARO_HTTP_FAULT_UPGRADE : CARO_HTTP_FAULT_NONE;
}

CaroText
CaroHttpHead_Find(const CaroHttpHead *head, const char *name)
{
    for (int i = 0; i < head->n_headers; i++) {
        if (CaroText_EqualsIgnoreCase(head->headers[i].name, name)) {
            return head->headers[i].value;
        }
    }
    return (CaroText){NULL, 0};
}

bool
CaroHttpHead_IsListedInConnection(const CaroHttpHead *head, CaroText name)
{
    OptionCursor at = {.n_headers = 0};
    CaroText option;
    while (next_option(head, &at, &option)) {
        if (option.size == name.size && name.size > 0 &&
            strncasecmp(option.at, name.at, name.size) == 0) {
            return true;
        }
    }
    return false;
}
