/*
 * "carobench capacity": measures the processor time and memory of single
 * operations at three sizes each, which docs/CAPACITY.md extrapolates.
 */
#include "bench.h"

#include "internal/caro_clock.h"
#include "internal/caro_config.h"
#include "internal/caro_journal.h"
#include "internal/caro_membership.h"
#include "internal/caro_router.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static size_t
heap_bytes(void)
{
    struct mallinfo2 m = mallinfo2();
    return m.uordblks + m.hblkhd;
}

/* Returns the text of a configuration with the given numbers of upstreams and
   accounts; the caller frees it. */
static char *
create_config(int upstreams, int accounts)
{
    json_t *upstream_list = json_array();
    json_t *account_list = json_array();
    char name[32];
    char address[32];
    for (int i = 0; i < upstreams; i++) {
        (void)snprintf(name, sizeof(name), "e%d", i);
        (void)snprintf(address, sizeof(address), "10.1.%d.%d:9000", i / 250,
                       i % 250);
        json_array_append_new(
            upstream_list, json_pack("{s:s, s:s, s:s, s:s, s:s}", "name", name,
                                     "address", address, "domain", "d1",
                                     "deployment", "chat", "version", "v1"));
    }
    for (int i = 0; i < accounts; i++) {
        (void)snprintf(name, sizeof(name), "a%d", i);
        json_array_append_new(account_list, json_pack("{s:s}", "name", name));
    }
    json_t *root =
        json_pack("{s:[{s:s, s:s, s:s}], s:o, s:o}", "deployments", "name",
                  "chat", "kind", "model", "version", "v1", "upstreams",
                  upstream_list, "accounts", account_list);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
measure_config(void)
{
    static const int accounts[] = {1000, 10000, 35000};
    for (int i = 0; i < 3; i++) {
        enum { ROUNDS = 5 };
        CaroError err;
        char *text = create_config(720, accounts[i]);
        size_t before = heap_bytes();
        CaroTime start = CaroClock_Cpu();
        CaroConfig *c = NULL;
        for (int j = 0; j < ROUNDS; j++) {
            CaroConfig_Destroy(c);
            c = CaroConfig_Parse(text, strlen(text), 1, &err);
        }
        CaroTime used = (CaroClock_Cpu() - start) / ROUNDS;
        (void)printf("config     accounts %6d: %7zu bytes of text, %6lld us "
                     "to read, %8zu bytes held\n",
                     accounts[i], strlen(text), (long long)used,
                     heap_bytes() - before);
        CaroConfig_Destroy(c);
        free(text);
    }
}

static void
measure_router(void)
{
    static const int sizes[] = {20, 180, 720};
    for (int i = 0; i < 3; i++) {
        enum { ROUNDS = 20000 };
        size_t before = heap_bytes();
        CaroUpstreams *table = CaroUpstreams_Create();
        for (int j = 0; j < sizes[i]; j++) {
            CaroUpstream u = {.kind = CARO_UPSTREAM_MODEL};
            (void)snprintf(u.name, sizeof(u.name), "e%d", j);
            (void)snprintf(u.deployment, sizeof(u.deployment), "m%d", j % 9);
            (void)snprintf(u.domain, sizeof(u.domain), "d%d", j % 10);
            (void)CaroUpstreams_Put(table, &u);
        }
        size_t heap_used = heap_bytes() - before;
        CaroRouterQuery q = {.deployment = "m1",
                             .vm = "n1",
                             .subset = 24,
                             .warm = CARO_NO_HANDLE};
        uint64_t rng = 1;
        CaroTime start = CaroClock_Cpu();
        for (int j = 0; j < ROUNDS; j++) {
            q.prefix_hash = (uint64_t)j;
            (void)CaroRouter_Choose(table, &q, 0, &rng);
        }
        double us = (double)(CaroClock_Cpu() - start) / ROUNDS;
        (void)printf("router     upstreams %5d: %6.2f us a choice, %8zu bytes "
                     "held\n",
                     sizes[i], us, heap_used);
        CaroUpstreams_Destroy(table);
    }
}

static void
measure_membership(void)
{
    static const int sizes[] = {20, 100, 410};
    for (int i = 0; i < 3; i++) {
        enum { SECONDS = 60 };
        CaroVm self;
        memset(&self, 0, sizeof(self));
        CARO_COPY(self.name, "n0");
        CaroMembership *m = CaroMembership_Create(&self, 400 * CARO_MS, 1, 0);
        char names[410][CARO_NAME_SIZE];
        for (int j = 1; j < sizes[i]; j++) {
            (void)snprintf(names[j], sizeof(names[j]), "n%d", j);
            caro_member_update u = {.name = names[j],
                                    .http = "10.0.0.1:8100",
                                    .peer = "10.0.0.1:8101",
                                    .domain = "d1",
                                    .region = "r1",
                                    .incarnation = 1};
            CaroMembership_ApplyWithoutGossip(m, &u, 0);
        }
        CaroMembershipEvent e;
        CaroTime start = CaroClock_Cpu();
        for (CaroTime now = 0; now < SECONDS * CARO_SECOND;
             now += 20 * CARO_MS) {
            CaroMembership_Tick(m, now);
            while (CaroMembership_Next(m, &e)) {
                caro_member_update out[CARO_UPDATES_MAX];
                if (e.kind == CARO_SEND_PROBE) {
                    (void)CaroMembership_CollectGossip(m, e.vm, out);
                    CaroMembership_RecordHeard(
                        m, CaroMembership_Get(m, e.vm)->name, now);
                }
            }
        }
        double us = (double)(CaroClock_Cpu() - start) / SECONDS;
        (void)printf("membership VMs %4d: %6.1f us/s of decisions\n", sizes[i],
                     us);
        CaroMembership_Destroy(m);
    }
}

static void
measure_journals(void)
{
    static const int sizes[] = {100, 500, 2000};
    for (int i = 0; i < 3; i++) {
        enum { TOKENS = 312, REQUEST_BYTES = 2400 };
        char request[REQUEST_BYTES];
        memset(request, 'x', sizeof(request));
        size_t before = heap_bytes();
        CaroJournalTable *table = CaroJournalTable_Create((size_t)1 << 30);
        CaroTime start = CaroClock_Cpu();
        for (int j = 0; j < sizes[i]; j++) {
            CaroJournal *journal = CaroJournalTable_Open(
                table, (uint64_t)j, 1, request, sizeof(request), 0);
            for (int k = 0; k < TOKENS; k++) {
                (void)CaroJournal_Append(journal, " token", 6, 0);
            }
        }
        double us = (double)(CaroClock_Cpu() - start) / sizes[i];
        (void)printf(
            "journals   %4d of 2,400 bytes and 312 tokens: %7zu bytes "
            "each, %5.1f us each to fill\n",
            sizes[i], (heap_bytes() - before) / (size_t)sizes[i], us);
        CaroJournalTable_Destroy(table);
    }
}

int
Bench_RunCapacity(void)
{
    measure_config();
    measure_router();
    measure_membership();
    measure_journals();
    return 0;
}
