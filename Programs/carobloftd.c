/* carobloftd: the entry node. */
#include "caro_gateway.h"
#include "caro_node.h"

#include "internal/caro_log.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

/* The loop outlives the node: late call-backs of libevent find it. */
static struct event_base *base;

static void
on_terminate(evutil_socket_t number, short what, void *arg)
{
    (void)number;
    (void)what;
    CaroNode_Drain(arg);
}

static int
serve(const CaroSettings *settings)
{
    CaroError err;
    char line[400];
    base = event_base_new();
    CaroNode *node = CaroNode_Create(base, settings, &err);
    if (node == NULL) {
        (void)fprintf(stderr, "carobloftd: %s\n",
                      CaroError_Format(&err, line, sizeof(line)));
        return 1;
    }
    struct event *term = evsignal_new(base, SIGTERM, on_terminate, node);
    struct event *interrupt = evsignal_new(base, SIGINT, on_terminate, node);
    event_add(term, NULL);
    event_add(interrupt, NULL);
    event_base_dispatch(base);
    event_free(term);
    event_free(interrupt);
    CaroNode_Destroy(node);
    return 0;
}

/* Checks the settings and serves, or only checks. */
static int
run_file(const char *file, bool is_check)
{
    static CaroSettings settings;
    CaroError err;
    char line[400];
    if (CaroSettings_Load(file, &settings, &err) < 0) {
        (void)fprintf(stderr, "carobloftd: %s\n",
                      CaroError_Format(&err, line, sizeof(line)));
        return 2;
    }
    if (is_check) {
        (void)printf("the settings of VM %s are good\n", settings.vm);
        return 0;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    CaroLog_Start(settings.vm);
    int rc = serve(&settings);
    CaroLog_Stop();
    return rc;
}

/* What the signals of a gateway act on. */
typedef struct {
    CaroGateway *gateway;
    const char *file; /* Of the settings. */
} GatewayRun;

static void
on_gateway_stop(evutil_socket_t number, short what, void *arg)
{
    (void)number;
    (void)what;
    CaroGateway_Stop(((GatewayRun *)arg)->gateway);
}

static void
on_gateway_reload(evutil_socket_t number, short what, void *arg)
{
    (void)number;
    (void)what;
    const GatewayRun *run = arg;
    static CaroGatewaySettings settings;
    CaroError err;
    if (CaroGatewaySettings_Load(run->file, &settings, &err) < 0) {
        char line[400];
        CaroLog_Error("gateway", "The settings stay as they were. %s",
                      CaroError_Format(&err, line, sizeof(line)));
        return;
    }
    CaroGateway_Reload(run->gateway, &settings);
}

static int
run_gateway(const char *file, bool is_check)
{
    static CaroGatewaySettings settings;
    static GatewayRun run;
    CaroError err;
    char line[400];
    if (CaroGatewaySettings_Load(file, &settings, &err) < 0) {
        (void)fprintf(stderr, "carobloftd: %s\n",
                      CaroError_Format(&err, line, sizeof(line)));
        return 2;
    }
    if (is_check) {
        (void)printf("the settings of gateway %s are good\n", settings.vm);
        return 0;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    CaroLog_Start(settings.vm);
    base = event_base_new();
    run = (GatewayRun){.gateway = CaroGateway_Create(base, &settings, &err),
                       .file = file};
    if (run.gateway == NULL) {
        CaroLog_Error("gateway", "It cannot start. %s",
                      CaroError_Format(&err, line, sizeof(line)));
        return 1;
    }
    struct event *stop = evsignal_new(base, SIGTERM, on_gateway_stop, &run);
    struct event *reload = evsignal_new(base, SIGHUP, on_gateway_reload, &run);
    event_add(stop, NULL);
    event_add(reload, NULL);
    event_base_dispatch(base);
    event_free(stop);
    event_free(reload);
    CaroGateway_Destroy(run.gateway);
    CaroLog_Stop();
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_file *run =
        arg_file0(NULL, "settings", "FILE", "serve with these settings");
    struct arg_file *check =
        arg_file0(NULL, "check", "FILE", "only check the settings");
    struct arg_file *gateway =
        arg_file0(NULL, "gateway", "FILE", "serve the platform's interface");
    struct arg_file *check_gateway = arg_file0(
        NULL, "check-gateway", "FILE", "only check the settings of a gateway");
    struct arg_end *end = arg_end(4);
    void *table[] = {run, check, gateway, check_gateway, end};
    int rc = 2;
    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) > 0 ||
        run->count + check->count + gateway->count + check_gateway->count !=
            1) {
        arg_print_errors(stderr, end, "carobloftd");
        (void)fprintf(stderr, "usage: carobloftd");
        arg_print_syntax(stderr, table, "\n");
    }
    else if (gateway->count + check_gateway->count > 0) {
        bool is_check = check_gateway->count > 0;
        rc = run_gateway(is_check ? check_gateway->filename[0]
                                  : gateway->filename[0],
                         is_check);
    }
    else {
        bool is_check = check->count > 0;
        rc = run_file(is_check ? check->filename[0] : run->filename[0],
                      is_check);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}
