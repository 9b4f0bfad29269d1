/* carobloftd - daemon that runs an entry node or a gateway. */
#include "caro_gateway.h"
#include "caro_node.h"

#include "internal/caro_log.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

/* The loop is never freed, because callbacks of libevent may run after the
   node or the gateway was destroyed. */
static struct event_base *base;

static void
on_stop_signal(evutil_socket_t number, short what, void *arg)
{
    (void)number;
    (void)what;
    CaroNode_Drain(arg);
}

/* Runs a node until it has drained. */
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
    struct event *term = evsignal_new(base, SIGTERM, on_stop_signal, node);
    struct event *interrupt = evsignal_new(base, SIGINT, on_stop_signal, node);
    event_add(term, NULL);
    event_add(interrupt, NULL);
    event_base_dispatch(base);
    event_free(term);
    event_free(interrupt);
    CaroNode_Destroy(node);
    return 0;
}

/* Validates the settings of a node and, unless is_check, runs it. */
static int
run_node(const char *file, bool is_check)
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

/* Argument of the signal handlers of a gateway. */
typedef struct {
    CaroGateway *gateway;
    const char *file; /* The settings file. */
} GatewayContext;

static void
on_gateway_stop(evutil_socket_t number, short what, void *arg)
{
    (void)number;
    (void)what;
    CaroGateway_Stop(((GatewayContext *)arg)->gateway);
}

static void
on_gateway_reload(evutil_socket_t number, short what, void *arg)
{
    (void)number;
    (void)what;
    const GatewayContext *context = arg;
    static CaroGatewaySettings settings;
    CaroError err;
    if (CaroGatewaySettings_Load(context->file, &settings, &err) < 0) {
        char line[400];
        CaroLog_Error("gateway", "The settings were not reloaded. %s",
                      CaroError_Format(&err, line, sizeof(line)));
        return;
    }
    CaroGateway_Reload(context->gateway, &settings);
}

/* Validates the settings of a gateway and, unless is_check, runs it until it
   has stopped. */
static int
run_gateway(const char *file, bool is_check)
{
    static CaroGatewaySettings settings;
    static GatewayContext context;
    CaroError err;
    char line[400];
    sigset_t reload_signal;
    /* Without its handler the signal would end the process. */
    (void)sigemptyset(&reload_signal);
    (void)sigaddset(&reload_signal, SIGHUP);
    (void)sigprocmask(SIG_BLOCK, &reload_signal, NULL);
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
    context = (GatewayContext){
        .gateway = CaroGateway_Create(base, &settings, &err), .file = file};
    if (context.gateway == NULL) {
        CaroLog_Error("gateway", "The gateway cannot start. %s",
                      CaroError_Format(&err, line, sizeof(line)));
        return 1;
    }
    struct event *stop =
        evsignal_new(base, SIGTERM, on_gateway_stop, &context);
    struct event *reload =
        evsignal_new(base, SIGHUP, on_gateway_reload, &context);
    event_add(stop, NULL);
    event_add(reload, NULL);
    (void)sigprocmask(SIG_UNBLOCK, &reload_signal, NULL);
    event_base_dispatch(base);
    event_free(stop);
    event_free(reload);
    CaroGateway_Destroy(context.gateway);
    CaroLog_Stop();
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_file *settings =
        arg_file0(NULL, "settings", "FILE", "serve with these settings");
    struct arg_file *check =
        arg_file0(NULL, "check", "FILE", "only check the settings");
    struct arg_file *gateway =
        arg_file0(NULL, "gateway", "FILE", "serve the platform's interface");
    struct arg_file *check_gateway = arg_file0(
        NULL, "check-gateway", "FILE", "only check the settings of a gateway");
    struct arg_end *end = arg_end(4);
    void *table[] = {settings, check, gateway, check_gateway, end};
    int rc = 2;
    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) > 0 ||
        settings->count + check->count + gateway->count +
                check_gateway->count !=
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
        rc = run_node(is_check ? check->filename[0] : settings->filename[0],
                      is_check);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}
