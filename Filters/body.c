/*
 * Filter that validates the body of a completion request: JSON with the usual
 * members of completion interfaces, and an account.  Errors name the JSON
 * path, what was found and what is allowed.
 */
#include "caro_filters.h"

#include <stdio.h>

enum { OUTPUT_TOKENS_MAX = 65536, BAD_REQUEST = 400 };

static CaroFilterResult
refuse(CaroCompletion *c, const char *path, const char *found,
       const char *allowed)
{
    CaroHttp_SendProblem(c->req, BAD_REQUEST, CARO_RUN_NO, "bad request body",
                         "%s: found %s; allowed: %s", path, found, allowed);
    return CARO_FILTER_REFUSED;
}

static bool
has_text(const json_t *body, const char *key)
{
    return json_string_length(json_object_get(body, key)) > 0;
}

CaroFilterResult
CaroFilter_Body(CaroCompletion *c)
{
    size_t size;
    json_error_t at;
    const char *bytes = CaroHttp_Body(c->req, &size);
    c->body = json_loadb(bytes, size, JSON_REJECT_DUPLICATES, &at);
    if (c->body == NULL) {
        char where[64];
        (void)snprintf(where, sizeof(where), "line %d column %d", at.line,
                       at.column);
        return refuse(c, where, at.text, "JSON");
    }
    if (!has_text(c->body, "account")) {
        return refuse(c, "$.account", "no text", "the name of an account");
    }
    if (!has_text(c->body, "model")) {
        return refuse(c, "$.model", "no text", "the name of a deployment");
    }
    if (!has_text(c->body, "prompt")) {
        return refuse(c, "$.prompt", "no text", "a text of 1 byte or more");
    }
    const json_t *tokens = json_object_get(c->body, "max_tokens");
    json_int_t n = json_integer_value(tokens);
    if (!json_is_integer(tokens) || n < 1 || n > OUTPUT_TOKENS_MAX) {
        return refuse(c, "$.max_tokens", "no such integer",
                      "an integer from 1 to 65536");
    }
    if (!json_is_true(json_object_get(c->body, "stream"))) {
        return refuse(c, "$.stream", "no true", "true");
    }
    c->account = json_string_value(json_object_get(c->body, "account"));
    c->deployment = json_string_value(json_object_get(c->body, "model"));
    return CARO_FILTER_PASS;
}
