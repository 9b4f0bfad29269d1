/* The text of an explanation, for a terminal of 40 columns. */
#include "internal/caro_gateway_explain.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Continuation lines are indented by this. */
enum { INDENT = 4, PARAGRAPH_SIZE = 1024 };

static void
add_line(FILE *out, const char *text, size_t size, bool is_first)
{
    (void)fprintf(out, "%*s%.*s\n", is_first ? 0 : INDENT, "", (int)size,
                  text);
}

/* Writes a paragraph, with breaks at spaces where there are any. */
static void add_paragraph(FILE *out, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_paragraph(FILE *out, const char *format, ...)
{
    char text[PARAGRAPH_SIZE];
    va_list args;
    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    for (char *c = text; *c != '\0'; c++) {
        *c = iscntrl((unsigned char)*c) ? '?' : *c;
    }
    const char *rest = text;
    bool is_first = true;
    while (*rest != '\0') {
        size_t room = CARO_EXPLAIN_LINE_MAX - (is_first ? 0 : INDENT);
        size_t size = strlen(rest);
        if (size > room) {
            size = room;
            while (size > 0 && rest[size] != ' ') {
                size--;
            }
            size = size == 0 ? room : size;
        }
        add_line(out, rest, size, is_first);
        rest += size;
        rest += *rest == ' ';
        is_first = false;
    }
}

static const char *
string_of(const json_t *object, const char *key)
{
    const char *s = json_string_value(json_object_get(object, key));
    return s == NULL ? "" : s;
}

static long long
integer_of(const json_t *object, const char *key)
{
    return (long long)json_integer_value(json_object_get(object, key));
}

static double
number_of(const json_t *object, const char *key)
{
    return json_number_value(json_object_get(object, key));
}

/* Writes an age, or that there is none, into "out". */
static const char *
age_of(const json_t *object, const char *key, char *out, size_t size)
{
    const json_t *age = json_object_get(object, key);
    if (json_is_integer(age)) {
        (void)snprintf(out, size, "%lld ms",
                       (long long)json_integer_value(age));
    }
    else {
        (void)snprintf(out, size, "none");
    }
    return out;
}

static void
add_head(FILE *out, const json_t *root)
{
    char age[32];
    const json_t *route = json_object_get(root, "route");
    if (json_is_true(json_object_get(root, "configured"))) {
        add_paragraph(out, "VM %s, config %lld, confirmed %s%s%s",
                      string_of(root, "vm"), integer_of(root, "config"),
                      age_of(root, "config_age_ms", age, sizeof(age)),
                      json_is_integer(json_object_get(root, "config_age_ms"))
                          ? " ago"
                          : "",
                      json_is_true(json_object_get(root, "config_confirmed"))
                          ? ""
                          : ", too old");
    }
    else {
        add_paragraph(out, "VM %s, no configuration yet",
                      string_of(root, "vm"));
    }
    if (!json_is_true(json_object_get(root, "upstreams_listed"))) {
        add_paragraph(out, "the upstreams are not listed yet");
    }
    if (route != NULL) {
        add_paragraph(out, "route %s, %s, timeout %lld ms, priority %lld",
                      string_of(route, "name"), string_of(route, "kind"),
                      integer_of(route, "timeout_ms"),
                      integer_of(route, "priority"));
    }
    if (json_object_get(root, "account") != NULL) {
        add_paragraph(out, "account %s", string_of(root, "account"));
    }
    if (json_object_get(root, "service") != NULL) {
        add_paragraph(out, "service %s", string_of(root, "service"));
    }
    if (json_object_get(root, "version_only") != NULL) {
        add_paragraph(out, "rollout: version %s only",
                      string_of(root, "version_only"));
    }
    if (json_object_get(root, "version_not") != NULL) {
        add_paragraph(out, "rollout: any version but %s",
                      string_of(root, "version_not"));
    }
    if (json_object_get(root, "admission") != NULL) {
        add_paragraph(out, "admission: %s", string_of(root, "admission"));
    }
}

static void
add_candidate(FILE *out, size_t number, const json_t *c, bool is_predicted)
{
    char age[32];
    char pace[32];
    const json_t *terms = json_object_get(c, "terms");
    add_paragraph(out, "%zu. %s", number, string_of(c, "id"));
    add_paragraph(out, "  domain %s, version %s%s", string_of(c, "domain"),
                  string_of(c, "version"),
                  json_is_true(json_object_get(c, "suspected")) ? ", suspected"
                                                                : "");
    (void)age_of(terms, "load_age_ms", age, sizeof(age));
    if (is_predicted) {
        add_paragraph(
            out,
            "  first event %.0f ms = queue %.0f + prefill %.0f + "
            "running %.0f + memory %.0f",
            number_of(terms, "first_event_ms"), number_of(terms, "queue_ms"),
            number_of(terms, "prefill_ms"), number_of(terms, "running_ms"),
            number_of(terms, "memory_ms"));
        add_paragraph(out,
                      "  cost %.0f ms: + event %.0f + domain %.0f + failing "
                      "%.0f + random %.0f",
                      number_of(c, "cost"), number_of(terms, "event_ms"),
                      number_of(terms, "domain_ms"),
                      number_of(terms, "failing_ms"),
                      number_of(terms, "random_ms"));
        add_paragraph(out, "  age: load %s, pace %s (%lld samples)", age,
                      age_of(terms, "pace_age_ms", pace, sizeof(pace)),
                      integer_of(terms, "pace_samples"));
    }
    else {
        add_paragraph(out,
                      "  cost %.2f = requests %.2f + prefill %.2f + copies "
                      "%.2f + domain %.2f + failing %.2f + random %.2f",
                      number_of(c, "cost"), number_of(terms, "requests"),
                      number_of(terms, "prefill"),
                      number_of(terms, "kv_copies"),
                      number_of(terms, "domain"), number_of(terms, "failing"),
                      number_of(terms, "random"));
        add_paragraph(out, "  age: load %s", age);
    }
}

static void
add_passed_over(FILE *out, const json_t *c)
{
    char left[32];
    char failure[32];
    add_paragraph(out, "- %s", string_of(c, "id"));
    (void)age_of(c, "for_ms", left, sizeof(left));
    (void)age_of(c, "failure_age_ms", failure, sizeof(failure));
    add_paragraph(
        out, "  %s%s%s%s%s%s", string_of(c, "state"),
        json_is_true(json_object_get(c, "suspected")) ? ", suspected" : "",
        json_is_integer(json_object_get(c, "for_ms")) ? ", for " : "",
        json_is_integer(json_object_get(c, "for_ms")) ? left : "",
        json_is_integer(json_object_get(c, "failure_age_ms"))
            ? ", failure age "
            : "",
        json_is_integer(json_object_get(c, "failure_age_ms")) ? failure : "");
}

static void
add_more(FILE *out, const json_t *root, const char *key, const json_t *list)
{
    long long more = integer_of(root, key) - (long long)json_array_size(list);
    if (more > 0) {
        add_paragraph(out, "%lld more", more);
    }
}

static void
add_lists(FILE *out, const json_t *root)
{
    const json_t *usable = json_object_get(root, "candidates");
    const json_t *others = json_object_get(root, "passed_over");
    bool is_predicted = strcmp(string_of(root, "rule"), "prediction") == 0;
    if (json_array_size(usable) > 0) {
        add_paragraph(out, "candidates by %s:", string_of(root, "rule"));
    }
    for (size_t i = 0; i < json_array_size(usable); i++) {
        add_candidate(out, i + 1, json_array_get(usable, i), is_predicted);
    }
    add_more(out, root, "candidates_total", usable);
    if (json_array_size(others) > 0) {
        add_paragraph(out, "passed over:");
    }
    for (size_t i = 0; i < json_array_size(others); i++) {
        add_passed_over(out, json_array_get(others, i));
    }
    add_more(out, root, "passed_over_total", others);
    if (integer_of(root, "not_looked_at") > 0) {
        add_paragraph(out, "%lld not looked at",
                      integer_of(root, "not_looked_at"));
    }
}

char *
CaroGatewayExplain_WriteText(const json_t *explanation)
{
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    if (out == NULL) {
        return NULL;
    }
    add_head(out, explanation);
    if (integer_of(explanation, "status") != 0) {
        add_paragraph(out, "%s with %lld: %s",
                      json_is_true(json_object_get(explanation, "held"))
                          ? "held, then refused"
                          : "refused",
                      integer_of(explanation, "status"),
                      string_of(explanation, "reason"));
        if (number_of(explanation, "retry_after_s") > 0.0) {
            add_paragraph(out, "retry after %.2f s",
                          number_of(explanation, "retry_after_s"));
        }
    }
    else {
        bool is_usable =
            strcmp(string_of(explanation, "target_state"), "usable") == 0;
        add_paragraph(out, "goes to %s%s%s", string_of(explanation, "target"),
                      is_usable ? "" : ", none is usable; it is ",
                      is_usable ? "" : string_of(explanation, "target_state"));
    }
    add_lists(out, explanation);
    if (fclose(out) != 0) {
        free(text);
        return NULL;
    }
    return text;
}
