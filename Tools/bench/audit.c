/*
 * "carobench audit": compares the outcomes of orders with their runs.
 *
 * No key may have run twice.  A key with the outcome "not-run" must not have
 * run; a key with the outcome "done" must have run once.
 */
#include "bench.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
    json_t *runs; /* Number of runs by key, over all services. */
    int n_responses;
} Audit;

static void
on_runs(void *context, int code, int status, const char *body, size_t size,
        bool is_sent, const CaroHttpHead *head)
{
    (void)is_sent;
    (void)head;
    Audit *audit = context;
    json_t *root = NULL;
    if (code == 0 && status == HTTP_OK) {
        root = json_loadb(body, size, 0, NULL);
    }
    const char *key;
    json_t *n;
    json_object_foreach(json_object_get(root, "by_key"), key, n)
    {
        json_int_t sum =
            json_integer_value(json_object_get(audit->runs, key)) +
            json_integer_value(n);
        json_object_set_new(audit->runs, key, json_integer(sum));
    }
    audit->n_responses += root != NULL;
    json_decref(root);
}

static int
check_order(const Audit *audit, const char *reported, const char *key)
{
    json_int_t runs = json_integer_value(json_object_get(audit->runs, key));
    bool is_wrong = runs > 1 ||
                    (strcmp(reported, "not-run") == 0 && runs != 0) ||
                    (strcmp(reported, "done") == 0 && runs != 1);
    if (is_wrong) {
        (void)printf("WRONG: told %s, ran %d times: %s\n", reported, (int)runs,
                     key);
    }
    return is_wrong;
}

int
Bench_RunAudit(const char *orders_file, char **addresses, int n)
{
    Audit audit = {.runs = json_object()};
    struct event_base *base = event_base_new();
    for (int i = 0; i < n; i++) {
        CaroHttpCall call = {.address = addresses[i],
                             .path = "/audit",
                             .method = "GET",
                             .timeout = 5 * CARO_SECOND};
        CaroHttp_Call(base, &call, on_runs, &audit);
    }
    event_base_dispatch(base);
    CaroHttp_FreeFinishedCalls(base);
    event_base_free(base);
    FILE *f = fopen(orders_file, "re");
    if (f == NULL || audit.n_responses != n) {
        (void)fprintf(stderr,
                      "carobench: %d of %d services answered, the "
                      "file %s is %s\n",
                      audit.n_responses, n, orders_file,
                      f == NULL ? "missing" : "there");
        json_decref(audit.runs);
        if (f != NULL) {
            (void)fclose(f);
        }
        return 2;
    }
    char reported[16];
    char key[CARO_KEY_SIZE];
    int lines = 0;
    int wrong = 0;
    while (fscanf(f, "%15s %191s", reported, key) == 2) {
        lines++;
        wrong += check_order(&audit, reported, key);
    }
    (void)fclose(f);
    (void)printf("audit          orders=%d ran=%d wrong=%d\n", lines,
                 (int)json_object_size(audit.runs), wrong);
    json_decref(audit.runs);
    return wrong == 0 && lines > 0 ? 0 : 1;
}
