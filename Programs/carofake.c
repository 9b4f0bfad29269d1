/* carofake - stand-ins for engines, order services, targets and stores. */
#include "../Tools/fake/fake.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

static int
run_kind(const char *kind, const FakeOptions *options)
{
    if (strcmp(kind, "engine") == 0) {
        return FakeEngine_Run(options);
    }
    if (strcmp(kind, "orders") == 0) {
        return FakeOrders_Run(options);
    }
    if (strcmp(kind, "store") == 0) {
        return FakeStore_Run(options);
    }
    if (strcmp(kind, "registry") == 0) {
        return FakeRegistry_Run(options);
    }
    if (strcmp(kind, "target") == 0) {
        return options->restart_ms < 0 ? FakeTarget_Run(options)
                                       : FakeRestart_Run(options);
    }
    if (strcmp(kind, "endless") == 0) {
        return FakeEndless_Run(options);
    }
    (void)fprintf(stderr,
                  "carofake: found %s; allowed: engine, orders, store, "
                  "registry, target, endless\n",
                  kind);
    return 2;
}

int
main(int argc, char **argv)
{
    struct arg_str *kind =
        arg_str1(NULL, NULL, "KIND",
                 "engine, orders, store, registry, target or endless");
    struct arg_str *listen =
        arg_str1(NULL, "listen", "IP:PORT", "address to serve");
    struct arg_str *name = arg_str0(NULL, "name", "NAME", "name in responses");
    struct arg_str *load =
        arg_str0(NULL, "load", "FILE", "configuration a store starts with");
    struct arg_int *step =
        arg_int0(NULL, "step-us", "N", "engine: time of a step");
    struct arg_int *sequence =
        arg_int0(NULL, "sequence-us", "N", "engine: time a sequence adds");
    struct arg_int *prefill =
        arg_int0(NULL, "prefill-us", "N", "engine: time a prompt token adds");
    struct arg_int *batch =
        arg_int0(NULL, "batch", "N", "engine: sequences at once");
    struct arg_int *cache =
        arg_int0(NULL, "cache", "N", "engine: blocks of its prefix cache");
    struct arg_int *token =
        arg_int0(NULL, "token-bytes", "N", "engine: bytes added to a token");
    struct arg_int *work =
        arg_int0(NULL, "work-ms", "N", "orders: time of one order");
    struct arg_str *registry =
        arg_str0(NULL, "registry", "IP:PORT", "target: the platform's store");
    struct arg_str *domain =
        arg_str0(NULL, "domain", "NAME", "target: its failure domain");
    struct arg_str *service =
        arg_str0(NULL, "service", "NAME", "target: service that it runs");
    struct arg_str *version =
        arg_str0(NULL, "version", "NAME", "target: version of its software");
    struct arg_str *crash =
        arg_str0(NULL, "crash", "KIND:MS[:EVENTS]",
                 "target: how a prompt with the part dead ends it");
    struct arg_str *crash_log = arg_str0(
        NULL, "crash-log", "FILE", "target: records such requests there");
    struct arg_int *restart = arg_int0(
        NULL, "restart-ms", "N", "target: it starts again after a crash");
    struct arg_lit *keep_name =
        arg_lit0(NULL, "keep-name", "target: it does so under its name");
    struct arg_end *end = arg_end(8);
    void *table[] = {kind,  token,     listen,  name,      load,
                     step,  sequence,  prefill, batch,     cache,
                     work,  registry,  domain,  service,   version,
                     crash, crash_log, restart, keep_name, end};
    FakeOptions options = {.name = "fake",
                           .step_us = 5000,
                           .sequence_us = 100,
                           .prefill_us = 20,
                           .batch = 32,
                           .cache_blocks = 4096,
                           .work_ms = 20,
                           .domain = "d1",
                           .service = "chat",
                           .version = "v1",
                           .crash_log = "/dev/null",
                           .restart_ms = -1};
    if (arg_nullcheck(table) != 0) {
        return 1;
    }
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "carofake");
        (void)fprintf(stderr, "usage: carofake");
        arg_print_syntax(stderr, table, "\n");
        arg_freetable(table, sizeof(table) / sizeof(table[0]));
        return 2;
    }
    options.listen = listen->sval[0];
    options.name = name->count > 0 ? name->sval[0] : options.name;
    options.config_file = load->count > 0 ? load->sval[0] : NULL;
    options.step_us = step->count > 0 ? step->ival[0] : options.step_us;
    options.sequence_us =
        sequence->count > 0 ? sequence->ival[0] : options.sequence_us;
    options.prefill_us =
        prefill->count > 0 ? prefill->ival[0] : options.prefill_us;
    options.batch = batch->count > 0 ? batch->ival[0] : options.batch;
    options.cache_blocks =
        cache->count > 0 ? cache->ival[0] : options.cache_blocks;
    options.token_bytes = token->count > 0 ? token->ival[0] : 0;
    options.work_ms = work->count > 0 ? work->ival[0] : options.work_ms;
    options.registry = registry->count > 0 ? registry->sval[0] : NULL;
    options.domain = domain->count > 0 ? domain->sval[0] : options.domain;
    options.service = service->count > 0 ? service->sval[0] : options.service;
    options.version = version->count > 0 ? version->sval[0] : options.version;
    options.crash = crash->count > 0 ? crash->sval[0] : NULL;
    options.crash_log =
        crash_log->count > 0 ? crash_log->sval[0] : options.crash_log;
    options.restart_ms =
        restart->count > 0 ? restart->ival[0] : options.restart_ms;
    options.keeps_name = keep_name->count > 0;
    int rc = run_kind(kind->sval[0], &options);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}
