/*
 * The answer to "which address".
 *
 * Addresses are the usable VMs in a random order, those of the caller's
 * region first, so that callers spread evenly.  The order ticket names
 * the first of them as arbiter, with a backup in another domain.
 */
#include "internal/caro_addresses.h"

#include "internal/caro_clock.h"
#include "internal/caro_http.h"
#include "internal/caro_orders.h"
#include "internal/caro_router.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ADDRESSES_MAX = 8 };

/* A random order of the trusted VMs; returns how many. */
static int
list_vms(const CaroCommon *common, CaroHandle *vms, CaroTime now)
{
    int count = 0;
    for (CaroHandle h = 0; h < CaroMembership_Count(common->membership); h++) {
        if (CaroMembership_IsTrusted(common->membership, h, now)) {
            vms[count++] = h;
        }
    }
    for (int i = count - 1; i > 0; i--) {
        int j = (int)(CaroRandom_Next(common->rng) % (uint64_t)(i + 1));
        CaroHandle swap = vms[i];
        vms[i] = vms[j];
        vms[j] = swap;
    }
    return count;
}

/* Moves the VMs of this node's region to the front. */
static void
order_by_region(const CaroCommon *common, CaroHandle *vms, int count)
{
    int front = 0;
    for (int i = 0; i < count; i++) {
        const CaroVm *vm = CaroMembership_Get(common->membership, vms[i]);
        if (strcmp(vm->region, common->settings->region) == 0) {
            CaroHandle swap = vms[front];
            vms[front] = vms[i];
            vms[i] = swap;
            front++;
        }
    }
}

/* The first listed VM of another domain than the arbiter's, or any. */
static CaroHandle
backup_of(const CaroCommon *common, const CaroHandle *vms, int count)
{
    const CaroVm *first = CaroMembership_Get(common->membership, vms[0]);
    for (int i = 1; i < count; i++) {
        const CaroVm *vm = CaroMembership_Get(common->membership, vms[i]);
        if (strcmp(vm->domain, first->domain) != 0) {
            return vms[i];
        }
    }
    return count > 1 ? vms[1] : CARO_NO_HANDLE;
}

static void
make_ticket(const CaroCommon *common, const CaroHandle *vms, int count,
            char *buf, size_t size)
{
    CaroTicket t;
    memset(&t, 0, sizeof(t));
    const CaroVm *vm = CaroMembership_Get(common->membership, vms[0]);
    CaroHandle backup = backup_of(common, vms, count);
    CARO_COPY(t.vm, vm->name);
    t.vm_boot_id = vm->boot_id;
    if (backup != CARO_NO_HANDLE) {
        const CaroVm *b = CaroMembership_Get(common->membership, backup);
        CARO_COPY(t.backup, b->name);
        t.backup_boot_id = b->boot_id;
    }
    t.expires_ms =
        (uint64_t)(CaroClock_WallMs() + common->settings->ticket_ttl_ms);
    if (CaroTicket_Format(&t, common->settings->fleet_secret, buf, size) < 0) {
        buf[0] = '\0';
    }
}

void
CaroAddresses_Handle(const CaroCommon *common, struct evhttp_request *req,
                     CaroTime now)
{
    CaroHandle vms[CARO_VMS_MAX];
    char ticket[CARO_KEY_SIZE] = "";
    int count = list_vms(common, vms, now);
    order_by_region(common, vms, count);
    json_t *list = json_array();
    for (int i = 0; i < count && i < ADDRESSES_MAX; i++) {
        json_array_append_new(
            list,
            json_string(CaroMembership_Get(common->membership, vms[i])->http));
    }
    if (count > 0) {
        make_ticket(common, vms, count, ticket, sizeof(ticket));
    }
    json_t *value = json_pack("{s:o, s:I, s:s}", "addresses", list, "ttl_ms",
                              (json_int_t)common->settings->address_ttl_ms,
                              "ticket", ticket);
    CaroHttp_Json(req, HTTP_OK, value);
    json_decref(value);
}
