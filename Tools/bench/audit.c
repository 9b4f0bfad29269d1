/*
 * The check of orders: what callers were told against what ran.
 *
 * No key may have run twice.  A key whose caller was told "not run" must
 * not have run; one that was told "done" must have run once.
 */
#include "bench.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
    json_t *runs; /* Runs by key, over all services. */
    int answers;
} Audit;

static void
on_audit(void *context, int code, int status, const char *body, size_t size,
         bool is_sent, const struct evkeyvalq *headers)
{
    (void)is_sent;
    (void)headers;
    Audit *a = context;
    json_t *root = NULL;
    if (code == 0 && status == HTTP_OK) {
        root = json_loadb(body, size, 0, NULL);
    }
    const char *key;
    json_t *n;
    json_object_foreach(json_object_get(root, "by_key"), key, n)
    {
        json_int_t sum = json_integer_value(json_object_get(a->runs, key)) +
                         json_integer_value(n);
        json_object_set_new(a->runs, key, json_integer(sum));
    }
    a->answers += root != NULL;
    json_decref(root);
}

static int
check_line(const Audit *a, const char *verdict, const char *key)
{
    json_int_t runs = json_integer_value(json_object_get(a->runs, key));
    bool is_wrong = runs > 1 ||
                    (strcmp(verdict, "not-run") == 0 && runs != 0) ||
                    (strcmp(verdict, "done") == 0 && runs != 1);
    if (is_wrong) {
        (void)printf("WRONG: told %s, ran %d times: %s\n", verdict, (int)runs,
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
                             .method = EVHTTP_REQ_GET,
                             .timeout = 5 * CARO_SECOND};
        CaroHttp_Call(base, &call, on_audit, &audit);
    }
    event_base_dispatch(base);
    CaroHttp_FreeFinishedCalls(base);
    event_base_free(base);
    FILE *f = fopen(orders_file, "re");
    if (f == NULL || audit.answers != n) {
        (void)fprintf(stderr,
                      "carobench: %d of %d services answered, the "
                      "file %s is %s\n",
                      audit.answers, n, orders_file,
                      f == NULL ? "missing" : "there");
        json_decref(audit.runs);
        if (f != NULL) {
            (void)fclose(f);
        }
        return 2;
    }
    char verdict[16];
    char key[CARO_KEY_SIZE];
    int lines = 0;
    int wrong = 0;
    while (fscanf(f, "%15s %191s", verdict, key) == 2) {
        lines++;
        wrong += check_line(&audit, verdict, key);
    }
    (void)fclose(f);
    (void)printf("audit          orders=%d ran=%d wrong=%d\n", lines,
                 (int)json_object_size(audit.runs), wrong);
    json_decref(audit.runs);
    return wrong == 0 && lines > 0 ? 0 : 1;
}
