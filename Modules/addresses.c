/*
 * GET /v1/addresses.
 *
 * Lists the trusted VMs in random order, so that callers are spread evenly,
 * with those in the region of this VM first.  The order ticket names the first
 * of them as arbiter, and a VM of another failure domain as its backup if
 * there is one.
 */
#include "internal/caro_addresses.h"

#include "internal/caro_clock.h"
#include "internal/caro_http_reply.h"
#include "internal/caro_orders.h"
#include "internal/caro_router.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ADDRESSES_MAX = 8 };

/* Lists the trusted VMs in random order; returns their number. */
static int
list_trusted_vms(const CaroCommon *common, CaroHandle *vms, CaroTime now)
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

/* Moves the VMs of this VM's region to the front. */
static void
sort_by_region(const CaroCommon *common, CaroHandle *vms, int count)
{
    int n_local = 0;
    for (int i = 0; i < count; i++) {
        const CaroVm *vm = CaroMembership_Get(common->membership, vms[i]);
        if (strcmp(vm->region, common->settings->region) == 0) {
            CaroHandle swap = vms[n_local];
            vms[n_local] = vms[i];
            vms[i] = swap;
            n_local++;
        }
    }
}

/* Returns the first listed VM of another failure domain than the arbiter, any
   other VM when there is none, or CARO_NO_HANDLE. */
static CaroHandle
choose_backup(const CaroCommon *common, const CaroHandle *vms, int count)
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

/* Writes the ticket, or an empty string when it does not fit. */
static void
format_ticket(const CaroCommon *common, const CaroHandle *vms, int count,
              char *buf, size_t size)
{
    CaroTicket t;
    memset(&t, 0, sizeof(t));
    const CaroVm *vm = CaroMembership_Get(common->membership, vms[0]);
    CaroHandle backup = choose_backup(common, vms, count);
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
CaroAddresses_Handle(const CaroCommon *common, CaroCall *req, CaroTime now)
{
    CaroHandle vms[CARO_VMS_MAX];
    char ticket[CARO_KEY_SIZE] = "";
    int count = list_trusted_vms(common, vms, now);
    sort_by_region(common, vms, count);
    json_t *list = json_array();
    for (int i = 0; i < count && i < ADDRESSES_MAX; i++) {
        json_array_append_new(
            list,
            json_string(CaroMembership_Get(common->membership, vms[i])->http));
    }
    if (count > 0) {
        format_ticket(common, vms, count, ticket, sizeof(ticket));
    }
    json_t *value = json_pack("{s:o, s:I, s:s}", "addresses", list, "ttl_ms",
                              (json_int_t)common->settings->address_ttl_ms,
                              "ticket", ticket);
    CaroHttp_SendJson(req, 200, value);
    json_decref(value);
}
