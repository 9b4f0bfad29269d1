/* caro - command line client of the operators' console. */
#include "internal/caro_http.h"

#include <argtable2.h>
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
            bool is_sent, const struct evkeyvalq *headers)
{
    (void)is_sent;
    (void)headers;
    Response *response = context;
    response->code = code;
    response->status = status;
    response->body = strndup(body, size);
    event_base_loopexit(response->base, NULL);
}

/* Sends a request and runs the loop until it is complete. */
static Response
call(struct event_base *base, const char *address, const char *path,
     enum evhttp_cmd_type method, const char *body, const char *bearer)
{
    Response response = {.base = base};
    CaroHttpCall c = {.address = address,
                      .path = path,
                      .method = method,
                      .body = body,
                      .size = body == NULL ? 0 : strlen(body),
                      .header_name = "Authorization",
                      .header_value = bearer,
                      .timeout = CALL_TIMEOUT};
    CaroHttp_Call(base, &c, on_response, &response);
    event_base_dispatch(base);
    return response;
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
        call(base, address, "/v1/command", EVHTTP_REQ_POST, line, bearer);
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
    Response response =
        call(base, address, "/v1/config", EVHTTP_REQ_GET, NULL, bearer);
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
        call(base, address, "/v1/config", EVHTTP_REQ_POST, text, bearer);
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
    Response response =
        call(base, address, "/v1/state", EVHTTP_REQ_GET, NULL, bearer);
    if (response.code == 0 && response.status == HTTP_OK && vm != NULL) {
        bool is_found = find_vm(response.body, vm, vm_address);
        free(response.body);
        if (!is_found) {
            (void)fprintf(stderr, "caro: no VM %s; try caro vm\n", vm);
            return 1;
        }
        response =
            call(base, vm_address, "/v1/state", EVHTTP_REQ_GET, NULL, bearer);
        address = vm_address;
    }
    int rc = print_response(&response, address);
    free(response.body);
    return rc;
}

int
main(int argc, char **argv)
{
    struct arg_str *at =
        arg_str0(NULL, "at", "IP:PORT", "any node; or set CARO_AT");
    struct arg_str *words =
        arg_strn(NULL, NULL, "WORD", 1, 8,
                 "a command; try help, dump [VM], get, put FILE");
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
