/*
 * The routes of a node, and the answer to "which address".
 *
 * Addresses are the usable VMs in a random order, those of the caller's
 * region first, so that callers spread evenly.  The order ticket names
 * the first of them as arbiter, with a backup in another domain.
 */
#include "../Filters/caro_filters.h"
#include "internal/caro_node_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ADDRESSES_MAX = 8 };

/* A random order of the trusted VMs; returns how many. */
static int
list_vms(CaroNode *n, CaroHandle *vms, CaroTime now)
{
    int count = 0;
    for (CaroHandle h = 0; h < CaroMembership_Count(n->common.membership);
         h++) {
        if (CaroMembership_IsTrusted(n->common.membership, h, now)) {
            vms[count++] = h;
        }
    }
    for (int i = count - 1; i > 0; i--) {
        int j = (int)(CaroRandom_Next(n->common.rng) % (uint64_t)(i + 1));
        CaroHandle swap = vms[i];
        vms[i] = vms[j];
        vms[j] = swap;
    }
    return count;
}

/* Moves the VMs of this node's region to the front. */
static void
order_by_region(CaroNode *n, CaroHandle *vms, int count)
{
    int front = 0;
    for (int i = 0; i < count; i++) {
        const CaroVm *vm = CaroMembership_Get(n->common.membership, vms[i]);
        if (strcmp(vm->region, n->common.settings->region) == 0) {
            CaroHandle swap = vms[front];
            vms[front] = vms[i];
            vms[i] = swap;
            front++;
        }
    }
}

/* The first listed VM of another domain than the arbiter's, or any. */
static CaroHandle
backup_of(CaroNode *n, const CaroHandle *vms, int count)
{
    const CaroVm *first = CaroMembership_Get(n->common.membership, vms[0]);
    for (int i = 1; i < count; i++) {
        const CaroVm *vm = CaroMembership_Get(n->common.membership, vms[i]);
        if (strcmp(vm->domain, first->domain) != 0) {
            return vms[i];
        }
    }
    return count > 1 ? vms[1] : CARO_NO_HANDLE;
}

static void
make_ticket(CaroNode *n, const CaroHandle *vms, int count, char *buf,
            size_t size)
{
    CaroTicket t;
    memset(&t, 0, sizeof(t));
    const CaroVm *vm = CaroMembership_Get(n->common.membership, vms[0]);
    CaroHandle backup = backup_of(n, vms, count);
    CARO_COPY(t.vm, vm->name);
    t.vm_boot = vm->boot;
    if (backup != CARO_NO_HANDLE) {
        const CaroVm *b = CaroMembership_Get(n->common.membership, backup);
        CARO_COPY(t.backup, b->name);
        t.backup_boot = b->boot;
    }
    t.expires_ms =
        (uint64_t)(CaroClock_WallMs() + n->common.settings->ticket_ttl_ms);
    if (CaroTicket_Format(&t, n->common.settings->fleet_secret, buf, size) <
        0) {
        buf[0] = '\0';
    }
}

static void
on_addresses(CaroNode *n, struct evhttp_request *req, CaroTime now)
{
    CaroHandle vms[CARO_VMS_MAX];
    char ticket[CARO_KEY_SIZE] = "";
    int count = list_vms(n, vms, now);
    order_by_region(n, vms, count);
    json_t *list = json_array();
    for (int i = 0; i < count && i < ADDRESSES_MAX; i++) {
        json_array_append_new(
            list, json_string(
                      CaroMembership_Get(n->common.membership, vms[i])->http));
    }
    if (count > 0) {
        make_ticket(n, vms, count, ticket, sizeof(ticket));
    }
    json_t *value = json_pack("{s:o, s:I, s:s}", "addresses", list, "ttl_ms",
                              (json_int_t)n->common.settings->address_ttl_ms,
                              "ticket", ticket);
    CaroHttp_Json(req, HTTP_OK, value);
    json_decref(value);
}

static bool
is_method(struct evhttp_request *req, enum evhttp_cmd_type method,
          const char *name)
{
    if (evhttp_request_get_command(req) == method) {
        return true;
    }
    CaroHttp_Problem(req, 405, CARO_RUN_NO, "method not allowed",
                     "allowed: %s", name);
    return false;
}

void
CaroNode_OnHttp(struct evhttp_request *req, void *context)
{
    CaroNode *n = context;
    CaroTime now = CaroClock_Now();
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    path = path == NULL ? "" : path;
    if (strcmp(path, "/v1/completions") == 0) {
        if (is_method(req, EVHTTP_REQ_POST, "POST")) {
            CaroFilterParts parts = {.common = &n->common,
                                     .keeper = n->keeper,
                                     .sessions = n->sessions,
                                     .is_draining = n->is_draining};
            CaroFilters_Run(&parts, req, now);
        }
    }
    else if (strncmp(path, "/v1/orders/", 11) == 0) {
        CaroOrderFront_Take(n->order_front, req,
                            CaroConfigKeeper_Get(n->keeper), now);
    }
    else if (strcmp(path, "/v1/addresses") == 0) {
        if (is_method(req, EVHTTP_REQ_GET, "GET")) {
            on_addresses(n, req, now);
        }
    }
    else if (strcmp(path, "/v1/command") == 0) {
        if (is_method(req, EVHTTP_REQ_POST, "POST")) {
            CaroNode_OnCommand(n, req, now);
        }
    }
    else if (strcmp(path, "/v1/config") == 0) {
        CaroNode_OnConfig(n, req);
    }
    else if (strcmp(path, "/v1/state") == 0) {
        CaroNode_OnDump(n, req, now);
    }
    else if (strcmp(path, "/v1/counters") == 0) {
        CaroNode_OnCounters(n, req);
    }
    else {
        CaroHttp_Problem(req, 404, CARO_RUN_NO, "no such path",
                         "found %.80s; docs/operators.md lists the paths",
                         path);
    }
}
