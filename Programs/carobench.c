/* carobench - load generators and benchmarks. */
#include "../Tools/bench/bench.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* "carobench load" runs a load on entry nodes. */
static int
run_load(int argc, char **argv)
{
    struct arg_str *nodes =
        arg_strn(NULL, "node", "IP:PORT", 1, BENCH_NODES_MAX,
                 "VM to request addresses from");
    struct arg_str *model =
        arg_str0(NULL, "model", "NAME", "deployment of models");
    struct arg_str *service =
        arg_str0(NULL, "service", "NAME", "deployment of orders");
    struct arg_int *accounts =
        arg_int0(NULL, "accounts", "N", "accounts a0 to a(N-1)");
    struct arg_dbl *rate = arg_dbl0(NULL, "rate", "N", "generations a second");
    struct arg_dbl *order_rate =
        arg_dbl0(NULL, "order-rate", "N", "orders a second");
    struct arg_dbl *seconds =
        arg_dbl0(NULL, "seconds", "N", "duration of the arrivals");
    struct arg_int *prompt =
        arg_int0(NULL, "prompt-bytes", "N", "size of a prompt");
    struct arg_int *groups = arg_int0(
        NULL, "prompt-groups", "N", "groups of prompts with a common prefix");
    struct arg_int *tokens =
        arg_int0(NULL, "tokens", "N", "mean length of a response");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed of the load");
    struct arg_str *json = arg_str0(NULL, "json", "FILE", "result as JSON");
    struct arg_str *direct =
        arg_str0(NULL, "direct", "IP:PORT", "use this address, request none");
    struct arg_str *orders_file = arg_str0(NULL, "orders-file", "FILE",
                                           "file for the outcomes of orders");
    struct arg_end *end = arg_end(8);
    void *table[] = {direct,   orders_file, nodes,      model,   service,
                     accounts, rate,        order_rate, seconds, prompt,
                     groups,   tokens,      seed,       json,    end};
    LoadOptions o = {.model = "chat",
                     .accounts = 10,
                     .rate = 10.0,
                     .order_rate = 0.0,
                     .seconds = 10.0,
                     .prompt_bytes = 1024,
                     .prompt_groups = 16,
                     .tokens = 100,
                     .seed = 1};
    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "carobench load");
        (void)fprintf(stderr, "usage: carobench load");
        arg_print_syntax(stderr, table, "\n");
        arg_freetable(table, sizeof(table) / sizeof(table[0]));
        return 2;
    }
    for (int i = 0; i < nodes->count; i++) {
        o.nodes[o.n_nodes++] = nodes->sval[i];
    }
    o.model = model->count > 0 ? model->sval[0] : o.model;
    o.service = service->count > 0 ? service->sval[0] : NULL;
    o.accounts = accounts->count > 0 ? accounts->ival[0] : o.accounts;
    o.rate = rate->count > 0 ? rate->dval[0] : o.rate;
    o.order_rate = order_rate->count > 0 ? order_rate->dval[0] : 0.0;
    o.seconds = seconds->count > 0 ? seconds->dval[0] : o.seconds;
    o.prompt_bytes = prompt->count > 0 ? prompt->ival[0] : o.prompt_bytes;
    o.prompt_groups = groups->count > 0 ? groups->ival[0] : o.prompt_groups;
    o.tokens = tokens->count > 0 ? tokens->ival[0] : o.tokens;
    o.seed = seed->count > 0 ? (unsigned long)seed->ival[0] : o.seed;
    o.orders_file = orders_file->count > 0 ? orders_file->sval[0] : NULL;
    o.direct = direct->count > 0 ? direct->sval[0] : NULL;
    o.json_file = json->count > 0 ? json->sval[0] : NULL;
    int rc = Bench_RunLoad(&o);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}

/* "carobench gateway" runs a load on gateways of the users' platform. */
static int
run_gateway(int argc, char **argv)
{
    struct arg_str *directories =
        arg_strn(NULL, "directory", "IP:PORT", 1, BENCH_NODES_MAX,
                 "VM to request addresses from");
    struct arg_str *targets =
        arg_strn(NULL, "target", "IP:PORT", 1, BENCH_NODES_MAX,
                 "asked which orders ran");
    struct arg_str *host =
        arg_str1(NULL, "host", "NAME", "host name of the routes");
    struct arg_str *key =
        arg_str1(NULL, "key", "KEY", "API key of an account");
    struct arg_int *workers =
        arg_int0(NULL, "workers", "N", "concurrent callers");
    struct arg_dbl *seconds =
        arg_dbl0(NULL, "seconds", "S", "duration of new requests");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed of the load");
    struct arg_int *gap =
        arg_int0(NULL, "gap-most-ms", "N", "limit of the p99 of longest gaps");
    struct arg_int *pause =
        arg_int0(NULL, "soak-pause-ms", "N",
                 "soak: longest pause between a caller's requests");
    struct arg_end *end = arg_end(4);
    void *table[] = {directories, targets, host, key,   workers,
                     seconds,     seed,    gap,  pause, end};
    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "carobench gateway");
        arg_freetable(table, sizeof(table) / sizeof(table[0]));
        return 2;
    }
    GatewayLoadOptions o = {
        .directories = directories->sval,
        .n_directories = directories->count,
        .targets = (char **)targets->sval,
        .n_targets = targets->count,
        .host = host->sval[0],
        .key = key->sval[0],
        .workers = workers->count > 0 ? workers->ival[0] : 12,
        .seconds = seconds->count > 0 ? seconds->dval[0] : 5.0,
        .seed = seed->count > 0 ? (unsigned long)seed->ival[0] : 1,
        .gap_max_ms = gap->count > 0 ? gap->ival[0] : 0,
        .pause_ms = pause->count > 0 ? pause->ival[0] : 0};
    int rc = Bench_RunGateway(&o);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}

/* "carobench prompts" sends prompts with parts, of which one is deadly. */
static int
run_prompts(int argc, char **argv)
{
    struct arg_str *fronts =
        arg_strn(NULL, "front", "IP:PORT", 1, BENCH_NODES_MAX, "gateway");
    struct arg_str *host =
        arg_str1(NULL, "host", "NAME", "host name of the routes");
    struct arg_str *key =
        arg_str1(NULL, "key", "KEY", "API key of an account");
    struct arg_str *path =
        arg_str0(NULL, "path", "PREFIX", "prefix of the route, /s/");
    struct arg_dbl *seconds = arg_dbl0(NULL, "seconds", "S", "duration");
    struct arg_dbl *sound =
        arg_dbl0(NULL, "sound", "N", "sound requests a second");
    struct arg_dbl *deadly =
        arg_dbl0(NULL, "deadly", "N", "deadly requests a second");
    struct arg_int *burst =
        arg_int0(NULL, "burst", "N", "deadly requests at a moment");
    struct arg_dbl *after =
        arg_dbl0(NULL, "deadly-after", "S", "time before the first of them");
    struct arg_lit *middle =
        arg_lit0(NULL, "middle-part", "all prompts share one more part");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed of the load");
    struct arg_end *end = arg_end(4);
    void *table[] = {fronts, host,  key,   path,   seconds, sound,
                     deadly, burst, after, middle, seed,    end};
    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "carobench prompts");
        arg_freetable(table, sizeof(table) / sizeof(table[0]));
        return 2;
    }
    PromptLoadOptions o = {
        .fronts = fronts->sval,
        .n_fronts = fronts->count,
        .host = host->sval[0],
        .key = key->sval[0],
        .path = path->count > 0 ? path->sval[0] : "/s/",
        .seconds = seconds->count > 0 ? seconds->dval[0] : 10.0,
        .sound_rate = sound->count > 0 ? sound->dval[0] : 20.0,
        .deadly_rate = deadly->count > 0 ? deadly->dval[0] : 2.0,
        .deadly_burst = burst->count > 0 ? burst->ival[0] : 1,
        .deadly_after_s = after->count > 0 ? after->dval[0] : 2.0,
        .has_middle_parts = middle->count > 0,
        .seed = seed->count > 0 ? (unsigned long)seed->ival[0] : 1};
    int rc = Bench_RunPrompts(&o);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}

/* Status of the last response; 0 when there was none. */
static int response_status;

static void
on_response(void *context, int code, int status, const char *body, size_t size,
            bool is_sent, const CaroHttpHead *head)
{
    (void)is_sent;
    (void)head;
    (void)context;
    response_status = code < 0 ? 0 : status;
    (void)fwrite(body, 1, size, stdout);
    (void)putchar('\n');
}

/* "carobench get ADDRESS PATH" prints the body of a response. */
static int
run_get(int argc, char **argv)
{
    if (argc != 3) {
        (void)fprintf(stderr, "usage: carobench get IP:PORT PATH\n");
        return 2;
    }
    struct event_base *base = event_base_new();
    CaroHttpCall call = {.address = argv[1],
                         .path = argv[2],
                         .method = "GET",
                         .timeout = 5 * CARO_SECOND};
    CaroHttp_Call(base, &call, on_response, NULL);
    event_base_dispatch(base);
    CaroHttp_FreeFinishedCalls(base);
    event_base_free(base);
    if (response_status != HTTP_OK) {
        (void)fprintf(stderr, "carobench get: %s%s: status %d%s\n", argv[1],
                      argv[2], response_status,
                      response_status == 0 ? ", no response" : "");
        return 1;
    }
    return 0;
}

static void
on_call_response(void *context, int code, int status, const char *body,
                 size_t size, bool is_sent, const CaroHttpHead *head)
{
    (void)printf("%d ", code < 0 ? 0 : status);
    on_response(context, code, status, body, size, is_sent, head);
}

/* Returns a body of "count" bytes, for an argument "#N".  The caller frees
   it. */
static char *
make_filler(const char *count)
{
    size_t n = (size_t)strtoul(count, NULL, 10);
    char *body = malloc(n + 1);
    if (body != NULL) {
        memset(body, 'x', n);
        body[n] = '\0';
    }
    return body;
}

/* "carobench call ADDRESS METHOD PATH BODY [HEADER VALUE]" prints the status
   and the body of a response. */
static int
run_call(int argc, char **argv)
{
    if (argc != 5 && argc != 7) {
        (void)fprintf(stderr, "usage: carobench call IP:PORT METHOD PATH "
                              "BODY [HEADER VALUE]\n");
        return 2;
    }
    char *filler = argv[4][0] == '#' ? make_filler(argv[4] + 1) : NULL;
    const char *body = filler == NULL ? argv[4] : filler;
    struct event_base *base = event_base_new();
    bool is_get = strcmp(argv[2], "GET") == 0;
    CaroHttpCall call = {.address = argv[1],
                         .path = argv[3],
                         .method = is_get ? "GET" : "POST",
                         .body = is_get ? NULL : body,
                         .size = strlen(body),
                         .header_name = argc == 7 ? argv[5] : NULL,
                         .header_value = argc == 7 ? argv[6] : NULL,
                         .timeout = 10 * CARO_SECOND};
    CaroHttp_Call(base, &call, on_call_response, NULL);
    event_base_dispatch(base);
    CaroHttp_FreeFinishedCalls(base);
    event_base_free(base);
    free(filler);
    return response_status < 400 ? 0 : 1;
}

/* "carobench order" sends one order. */
static int
run_order(int argc, char **argv)
{
    struct arg_str *nodes =
        arg_strn(NULL, "node", "IP:PORT", 1, BENCH_NODES_MAX,
                 "VM to request addresses from");
    struct arg_str *service =
        arg_str1(NULL, "service", "NAME", "deployment of orders");
    struct arg_end *end = arg_end(4);
    void *table[] = {nodes, service, end};
    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "carobench order");
        arg_freetable(table, sizeof(table) / sizeof(table[0]));
        return 2;
    }
    LoadOptions o = {.service = service->sval[0], .accounts = 10};
    for (int i = 0; i < nodes->count; i++) {
        o.nodes[o.n_nodes++] = nodes->sval[i];
    }
    int rc = Bench_RunOneOrder(&o);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}

int
main(int argc, char **argv)
{
    const char *command = argc > 1 ? argv[1] : "";
    if (strcmp(command, "load") == 0) {
        return run_load(argc - 1, argv + 1);
    }
    if (strcmp(command, "gateway") == 0) {
        return run_gateway(argc - 1, argv + 1);
    }
    if (strcmp(command, "prompts") == 0) {
        return run_prompts(argc - 1, argv + 1);
    }
    if (strcmp(command, "capacity") == 0) {
        return Bench_RunCapacity();
    }
    if (strcmp(command, "crowd") == 0 && argc == 7) {
        return Bench_RunCrowd(argv[2], argv[3], atoi(argv[4]), atoi(argv[5]),
                              argv[6]);
    }
    if (strcmp(command, "messages") == 0) {
        return Bench_RunMessages();
    }
    if (strcmp(command, "relay") == 0 && argc == 4) {
        return Bench_RunRelay(argv[2], argv[3]);
    }
    if (strcmp(command, "audit") == 0 && argc > 3) {
        return Bench_RunAudit(argv[2], argv + 3, argc - 3);
    }
    if (strcmp(command, "order") == 0) {
        return run_order(argc - 1, argv + 1);
    }
    if (strcmp(command, "get") == 0) {
        return run_get(argc - 1, argv + 1);
    }
    if (strcmp(command, "decisions") == 0) {
        return Bench_RunDecisions(argc - 1, argv + 1);
    }
    if (strcmp(command, "membership") == 0) {
        return Bench_RunMembership(argc - 1, argv + 1);
    }
    if (strcmp(command, "rollouts") == 0) {
        return Bench_RunRollouts(argc - 1, argv + 1);
    }
    if (strcmp(command, "call") == 0) {
        return run_call(argc - 1, argv + 1);
    }
    (void)fprintf(
        stderr, "usage: carobench load|gateway|order|audit|get|call|"
                "decisions|membership|rollouts|capacity|messages|crowd|relay|"
                "prompts [FLAGS]\n");
    return 2;
}
