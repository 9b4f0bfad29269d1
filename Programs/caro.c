/* caro - command line client of the operators' console, and of the metrics
   address of gateways. */
#include "internal/caro_gateway_explain.h"
#include "internal/caro_http_client.h"
#include "internal/caro_platform.h"

#include <argtable2.h>
#include <event2/http.h>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netdb.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT (10 * CARO_SECOND)

enum { LINE_SIZE = 256 };

/* Result of an HTTP request. */
typedef struct {
    struct event_base *base;
    int code; /* 0, or negative when there is no response. */
    int status;
    char *body; /* Owned, terminated. */
} Response;

static void
on_response(void *context, int code, int status, const char *body, size_t size,
            bool is_sent, const CaroHttpHead *head)
{
    (void)is_sent;
    (void)head;
    Response *response = context;
    response->code = code;
    response->status = status;
    response->body = strndup(body, size);
    event_base_loopexit(response->base, NULL);
}

/* Sends a request and runs the loop until it is complete. */
static Response
run_call(struct event_base *base, const CaroHttpCall *c)
{
    Response response = {.base = base};
    CaroHttp_Call(base, c, on_response, &response);
    event_base_dispatch(base);
    return response;
}

static Response
call(struct event_base *base, const char *address, const char *path,
     const char *method, const char *body, const char *bearer)
{
    CaroHttpCall c = {.address = address,
                      .path = path,
                      .method = method,
                      .body = body,
                      .size = body == NULL ? 0 : strlen(body),
                      .header_name = "Authorization",
                      .header_value = bearer,
                      .timeout = CALL_TIMEOUT};
    return run_call(base, &c);
}

static int
print_response(const Response *response, const char *address)
{
    if (response->code < 0) {
        (void)fprintf(stderr, "caro: no response from %s within %lld s\n",
                      address, (long long)(CALL_TIMEOUT / CARO_SECOND));
        return 1;
    }
    (void)fputs(response->body, stdout);
    size_t n = strlen(response->body);
    if (n == 0 || response->body[n - 1] != '\n') {
        (void)putchar('\n');
    }
    return response->status < 400 ? 0 : 1;
}

static int
run_command(struct event_base *base, const char *address, const char *line,
            const char *bearer)
{
    Response response =
        call(base, address, "/v1/command", "POST", line, bearer);
    int rc = print_response(&response, address);
    free(response.body);
    return rc;
}

/* Finds the HTTP address of a VM in the member list of another VM's state. */
static bool
find_vm(const char *state, const char *vm, char out[CARO_ADDRESS_SIZE])
{
    json_t *root = json_loads(state, 0, NULL);
    size_t i;
    json_t *member;
    bool is_found = false;
    json_array_foreach(json_object_get(root, "members"), i, member)
    {
        const char *name = json_string_value(json_object_get(member, "vm"));
        const char *http = json_string_value(json_object_get(member, "http"));
        if (name != NULL && http != NULL && strcmp(name, vm) == 0) {
            (void)snprintf(out, CARO_ADDRESS_SIZE, "%s", http);
            is_found = true;
        }
    }
    json_decref(root);
    return is_found;
}

/* Prints the current configuration in the form that "put" reads. */
static int
run_get(struct event_base *base, const char *address, const char *bearer)
{
    Response response = call(base, address, "/v1/config", "GET", NULL, bearer);
    json_t *root =
        response.code == 0 ? json_loads(response.body, 0, NULL) : NULL;
    int rc = 0;
    if (response.status == HTTP_OK && root != NULL) {
        (void)json_dumpf(root, stdout, JSON_INDENT(2));
        (void)putchar('\n');
    }
    else {
        rc = print_response(&response, address);
    }
    json_decref(root);
    free(response.body);
    return rc;
}

/* Replaces the configuration by that in a file. */
static int
run_put(struct event_base *base, const char *address, const char *file,
        const char *bearer)
{
    json_error_t at;
    json_t *root = file == NULL
                       ? NULL
                       : json_load_file(file, JSON_REJECT_DUPLICATES, &at);
    if (root == NULL) {
        (void)fprintf(stderr,
                      "caro: put requires a file with valid JSON%s%s\n",
                      file == NULL ? "" : ": ", file == NULL ? "" : at.text);
        return 2;
    }
    char *text = json_dumps(root, JSON_COMPACT);
    Response response =
        call(base, address, "/v1/config", "POST", text, bearer);
    int rc = print_response(&response, address);
    free(response.body);
    free(text);
    json_decref(root);
    return rc;
}

/* Prints the state of a VM, or of the VM at the address when vm is NULL. */
static int
run_dump(struct event_base *base, const char *address, const char *vm,
         const char *bearer)
{
    char vm_address[CARO_ADDRESS_SIZE];
    Response response = call(base, address, "/v1/state", "GET", NULL, bearer);
    if (response.code == 0 && response.status == HTTP_OK && vm != NULL) {
        bool is_found = find_vm(response.body, vm, vm_address);
        free(response.body);
        if (!is_found) {
            (void)fprintf(stderr, "caro: no VM %s; try caro vm\n", vm);
            return 1;
        }
        response = call(base, vm_address, "/v1/state", "GET", NULL, bearer);
        address = vm_address;
    }
    int rc = print_response(&response, address);
    free(response.body);
    return rc;
}

/* Writes a text in lines of at most CARO_EXPLAIN_LINE_MAX bytes. */
static void
print_folded(FILE *out, const char *text)
{
    int column = 0;
    for (const char *c = text; *c != '\0'; c++) {
        if (*c != '\n' && column == CARO_EXPLAIN_LINE_MAX) {
            (void)fputc('\n', out);
            column = 0;
        }
        (void)fputc(*c, out);
        column = *c == '\n' ? 0 : column + 1;
    }
}

static void
print_where_usage(struct arg_end *end)
{
    char *errors = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&errors, &size);
    if (out != NULL) {
        arg_print_errors(out, end, "caro");
        (void)fclose(out);
        print_folded(stderr, errors);
        free(errors);
    }
    (void)fprintf(stderr, "usage: caro where\n"
                          "  --gateway HOST:PORT --host HOST\n"
                          "  --path PATH [--key KEY]\n"
                          "  [--account NAME] [--tokens N]\n"
                          "  [--parts ID:TOKENS,...]\n"
                          "  [--method M] [--json]\n");
}

/* Resolves "host:port" to "ip:port"; returns whether it could. */
static bool
resolve(const char *address, char out[CARO_ADDRESS_SIZE])
{
    struct addrinfo hints = {.ai_family = AF_INET,
                             .ai_socktype = SOCK_STREAM,
                             .ai_flags = AI_NUMERICSERV};
    struct addrinfo *found = NULL;
    char name[NI_MAXHOST];
    char ip[INET_ADDRSTRLEN];
    char port[sizeof("65535")];
    const char *colon = strrchr(address, ':');
    if (colon == NULL || (size_t)(colon - address) >= sizeof(name)) {
        return false;
    }
    (void)snprintf(name, sizeof(name), "%.*s", (int)(colon - address),
                   address);
    if (getaddrinfo(name, colon + 1, &hints, &found) != 0) {
        return false;
    }
    bool is_named =
        getnameinfo(found->ai_addr, found->ai_addrlen, ip, sizeof(ip), port,
                    sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV) == 0;
    freeaddrinfo(found);
    (void)snprintf(out, CARO_ADDRESS_SIZE, "%s:%s", is_named ? ip : "",
                   is_named ? port : "");
    return is_named;
}

/* Adds a parameter to a URI. */
static void
add_parameter(struct evbuffer *uri, const char *name, const char *value)
{
    char *encoded = evhttp_uriencode(value, -1, 0);
    if (encoded != NULL) {
        evbuffer_add_printf(uri, "&%s=%s", name, encoded);
        free(encoded);
    }
}

/* Prints an explanation; returns 0 if the request would be sent. */
static int
print_explanation(const Response *response, const char *address, bool is_json)
{
    if (response->code < 0) {
        (void)fprintf(stderr, "caro: no response from\n%.39s\n", address);
        return 1;
    }
    json_t *root = json_loads(response->body, 0, NULL);
    if (response->status != HTTP_OK || !json_is_object(root)) {
        (void)fprintf(stderr, "caro: status %d, not a gateway's\n%.39s\n",
                      response->status, address);
        json_decref(root);
        return 1;
    }
    char *text = is_json ? json_dumps(root, JSON_INDENT(1))
                         : CaroGatewayExplain_WriteText(root);
    int status = (int)json_integer_value(json_object_get(root, "status"));
    if (text != NULL) {
        (void)printf("%s%s", text, is_json ? "\n" : "");
        (void)fflush(stdout);
    }
    if (status != 0) {
        (void)fprintf(stderr, "caro: the request would be refused\n");
    }
    int rc = status == 0 && text != NULL ? 0 : 1;
    free(text);
    json_decref(root);
    return rc;
}

/* Returns what is wrong with the arguments of "where", or NULL. */
static const char *
find_bad_argument(const char *host, const char *path, const char *parts,
                  int tokens, const char *method)
{
    CaroPromptParts parsed;
    CaroText list = {parts, strlen(parts)};
    return host[0] == '\0'     ? "--host is empty"
           : path[0] != '/'    ? "--path must begin with a slash"
           : tokens < 0        ? "--tokens is below 0"
           : method[0] == '\0' ? "--method is empty"
           : CaroPlatform_ReadPromptParts(list, &parsed) < 0
               ? "--parts is not ID:TOKENS,..."
               : NULL;
}

static int
ask_where(const char *gateway, struct evbuffer *uri, const char *key,
          bool is_json)
{
    struct event_base *base = event_base_new();
    (void)evbuffer_add(uri, "", 1);
    CaroHttpCall c = {
        .address = gateway,
        .path = (const char *)evbuffer_pullup(uri, -1),
        .method = "GET",
        .header_name =
            key == NULL ? NULL : CaroPlatform_HeaderName(CARO_HEADER_API_KEY),
        .header_value = key,
        .timeout = CALL_TIMEOUT};
    Response response = run_call(base, &c);
    int rc = print_explanation(&response, gateway, is_json);
    free(response.body);
    CaroHttp_FreeFinishedCalls(base);
    event_base_free(base);
    return rc;
}

/* "caro where" asks a gateway where a request would go, and why. */
static int
run_where(int argc, char **argv)
{
    struct arg_str *gateway = arg_str1(NULL, "gateway", "HOST:PORT", "");
    struct arg_str *host = arg_str1(NULL, "host", "HOST", "");
    struct arg_str *path = arg_str1(NULL, "path", "PATH", "");
    struct arg_str *key = arg_str0(NULL, "key", "KEY", "");
    struct arg_str *account = arg_str0(NULL, "account", "NAME", "");
    struct arg_int *tokens = arg_int0(NULL, "tokens", "N", "");
    struct arg_str *parts = arg_str0(NULL, "parts", "ID:TOKENS,...", "");
    struct arg_str *method = arg_str0(NULL, "method", "M", "");
    struct arg_lit *json = arg_lit0(NULL, "json", "");
    struct arg_end *end = arg_end(4);
    void *table[] = {gateway, host,  path,   key,  account,
                     tokens,  parts, method, json, end};
    int rc = 2;
    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) > 0) {
        print_where_usage(end);
        arg_freetable(table, sizeof(table) / sizeof(table[0]));
        return rc;
    }
    char address[CARO_ADDRESS_SIZE];
    const char *reason = find_bad_argument(
        host->sval[0], path->sval[0], parts->count > 0 ? parts->sval[0] : "",
        tokens->count > 0 ? tokens->ival[0] : 0,
        method->count > 0 ? method->sval[0] : "GET");
    if (reason == NULL && !resolve(gateway->sval[0], address)) {
        reason = "--gateway names no HOST:PORT";
    }
    struct evbuffer *uri = evbuffer_new();
    if (reason != NULL || uri == NULL) {
        (void)fprintf(stderr, "caro: %s\n",
                      reason == NULL ? "no memory" : reason);
    }
    else {
        evbuffer_add_printf(uri, "/where?tokens=%d",
                            tokens->count > 0 ? tokens->ival[0] : 0);
        add_parameter(uri, "host", host->sval[0]);
        add_parameter(uri, "path", path->sval[0]);
        if (account->count > 0) {
            add_parameter(uri, "account", account->sval[0]);
        }
        if (parts->count > 0) {
            add_parameter(uri, "parts", parts->sval[0]);
        }
        rc = ask_where(address, uri, key->count > 0 ? key->sval[0] : NULL,
                       json->count > 0);
    }
    if (uri != NULL) {
        evbuffer_free(uri);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}

int
main(int argc, char **argv)
{
    if (argc > 1 && strcmp(argv[1], "where") == 0) {
        (void)signal(SIGPIPE, SIG_IGN);
        return run_where(argc - 1, argv + 1);
    }
    struct arg_str *at =
        arg_str0(NULL, "at", "IP:PORT", "any node; or set CARO_AT");
    struct arg_str *words =
        arg_strn(NULL, NULL, "WORD", 1, 8,
                 "a command; try help, dump [VM], get, put FILE, where");
    struct arg_end *end = arg_end(4);
    void *table[] = {at, words, end};
    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "caro");
        (void)fprintf(stderr, "usage: caro");
        arg_print_syntax(stderr, table, "\n");
        arg_freetable(table, sizeof(table) / sizeof(table[0]));
        return 2;
    }
    const char *address = at->count > 0 ? at->sval[0] : getenv("CARO_AT");
    const char *token = getenv("CARO_TOKEN");
    if (address == NULL || token == NULL) {
        (void)fprintf(stderr, "caro: %s\n",
                      address == NULL
                          ? "no node named; give --at or set CARO_AT"
                          : "no token; set CARO_TOKEN");
        arg_freetable(table, sizeof(table) / sizeof(table[0]));
        return 2;
    }
    char line[LINE_SIZE] = "";
    char bearer[LINE_SIZE];
    size_t used = 0;
    for (int i = 0; i < words->count && used < sizeof(line); i++) {
        used += (size_t)snprintf(line + used, sizeof(line) - used, "%s%s",
                                 i == 0 ? "" : " ", words->sval[i]);
    }
    (void)snprintf(bearer, sizeof(bearer), "Bearer %s", token);
    (void)signal(SIGPIPE, SIG_IGN);
    struct event_base *base = event_base_new();
    int rc;
    if (strcmp(words->sval[0], "dump") == 0) {
        rc = run_dump(base, address, words->count > 1 ? words->sval[1] : NULL,
                      bearer);
    }
    else if (strcmp(words->sval[0], "get") == 0) {
        rc = run_get(base, address, bearer);
    }
    else if (strcmp(words->sval[0], "put") == 0) {
        rc = run_put(base, address, words->count > 1 ? words->sval[1] : NULL,
                     bearer);
    }
    else {
        rc = run_command(base, address, line, bearer);
    }
    CaroHttp_FreeFinishedCalls(base);
    event_base_free(base);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}
