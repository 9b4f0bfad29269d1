/* What other VMs report of services short of room. */
#include "internal/caro_room_reports.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* The analyzer takes the bytes of a structure for undefined in uthash's own
   function. */
#define HASH_FUNCTION(key, size, hash)                                        \
    do {                                                                      \
        (hash) = XXH32((key), (size), 0);                                     \
    } while (0)
#include <uthash.h>

/* One report of the largest deployment, sent each 1.5 s, may come late. */
#define ROOM_REPORT_TTL (2 * CARO_SECOND)
/* Senders are looked through for old reports at most this often. */
#define EXPIRE_INTERVAL (100 * CARO_MS)

/* More services than these at a time are not summed. */
enum { SERVICES_MAX = 16 };
/* Accounts beyond that are not told apart. */
enum { ACCOUNTS_MAX = 2048 };
/* More than any VM has; with the bound, sums over all VMs are in range. */
enum { RATE_MAX = 1 << 30 };

typedef struct {
    uint32_t service;
    uint32_t account;
    uint32_t rank;
} AccountKey;

typedef struct Account {
    AccountKey key;
    int64_t requests;
    int reporters;
    UT_hash_handle hh;
} Account;

typedef struct {
    uint32_t hash;
    CaroRoomSums sums;
} Service;

/* One VM's report of one service. */
typedef struct {
    uint32_t hash;
    uint32_t requests[CARO_ROOM_RANKS];
    uint32_t answers;
    uint32_t rejections;
    caro_room_account accounts[CARO_ROOM_ACCOUNTS_MAX];
    int n_accounts;
    bool is_summed; /* The sums of a service include it. */
} Part;

typedef struct Sender {
    char name[CARO_NAME_SIZE];
    uint64_t boot_id;
    uint32_t sequence;
    CaroTime received_at;
    Part parts[CARO_ROOM_SERVICES_MAX];
    int n_parts;
    UT_hash_handle hh;
} Sender;

struct CaroRoomReports {
    Sender *senders;
    Account *accounts;
    Service services[SERVICES_MAX];
    int n_services;
    CaroTime expired_at;
};

CaroRoomReports *
CaroRoomReports_Create(void)
{
    return calloc(1, sizeof(CaroRoomReports));
}

static Service *
find_service(CaroRoomReports *r, uint32_t hash)
{
    for (int i = 0; i < r->n_services; i++) {
        if (r->services[i].hash == hash) {
            return &r->services[i];
        }
    }
    return NULL;
}

/* Returns the entry of the service; a new one takes the place of one that no
   VM reports.  NULL when there is none. */
static Service *
get_service(CaroRoomReports *r, uint32_t hash)
{
    Service *s = find_service(r, hash);
    for (int i = 0; s == NULL && i < r->n_services; i++) {
        if (r->services[i].sums.vms == 0) {
            s = &r->services[i];
            *s = (Service){.hash = hash};
        }
    }
    if (s == NULL && r->n_services < SERVICES_MAX) {
        s = &r->services[r->n_services++];
        *s = (Service){.hash = hash};
    }
    return s;
}

/* Returns false when the account has no place in the sums. */
static bool
add_account(CaroRoomReports *r, uint32_t service, const caro_room_account *of,
            int sign)
{
    AccountKey key = {service, of->account, of->rank};
    Account *a;
    HASH_FIND(hh, r->accounts, &key, sizeof(key), a);
    if (a == NULL) {
        if (sign < 0 || HASH_COUNT(r->accounts) >= ACCOUNTS_MAX ||
            (a = calloc(1, sizeof(*a))) == NULL) {
            return false;
        }
        a->key = key;
        HASH_ADD(hh, r->accounts, key, sizeof(key), a);
    }
    a->requests += sign * (int64_t)of->requests_per_1000_s;
    a->reporters += sign;
    if (a->reporters <= 0) {
        HASH_DEL(r->accounts, a);
        free(a);
    }
    return true;
}

static void
add_part(CaroRoomReports *r, Part *part, int sign)
{
    Service *s =
        sign > 0 ? get_service(r, part->hash) : find_service(r, part->hash);
    part->is_summed = sign > 0 ? s != NULL : part->is_summed;
    if (s == NULL || !part->is_summed) {
        return;
    }
    s->sums.vms += sign;
    for (int p = 0; p < CARO_ROOM_RANKS; p++) {
        s->sums.requests[p] += sign * (int64_t)part->requests[p];
    }
    s->sums.answers += sign * (int64_t)part->answers;
    s->sums.rejections += sign * (int64_t)part->rejections;
    for (int i = 0; i < part->n_accounts; i++) {
        /* What was not added must not be taken back. */
        if (!add_account(r, part->hash, &part->accounts[i], sign)) {
            part->accounts[i--] = part->accounts[--part->n_accounts];
        }
    }
}

static void
add_sender(CaroRoomReports *r, Sender *sender, int sign)
{
    for (int i = 0; i < sender->n_parts; i++) {
        add_part(r, &sender->parts[i], sign);
    }
}

static void
remove_sender(CaroRoomReports *r, Sender *s)
{
    add_sender(r, s, -1);
    HASH_DEL(r->senders, s);
    free(s);
}

void
CaroRoomReports_Destroy(CaroRoomReports *r)
{
    Sender *s;
    Sender *next;
    if (r == NULL) {
        return;
    }
    HASH_ITER(hh, r->senders, s, next)
    {
        remove_sender(r, s);
    }
    free(r);
}

static uint32_t
bounded(u_int rate)
{
    return rate < RATE_MAX ? rate : RATE_MAX;
}

/* A service may stand in a report once; others are left out, so that sums can
   be taken back exactly. */
static void
read_report(const caro_room_report *report, Sender *s)
{
    s->n_parts = 0;
    for (u_int i = 0; i < report->services.services_len; i++) {
        const caro_service_room *in = &report->services.services_val[i];
        bool is_repeated = false;
        for (int k = 0; k < s->n_parts; k++) {
            is_repeated |= s->parts[k].hash == in->service;
        }
        if (is_repeated) {
            continue;
        }
        Part *part = &s->parts[s->n_parts++];
        memset(part, 0, sizeof(*part));
        part->hash = in->service;
        for (int p = 0; p < CARO_ROOM_RANKS; p++) {
            part->requests[p] = bounded(in->requests_per_1000_s[p]);
        }
        part->answers = bounded(in->answers_per_1000_s);
        part->rejections = bounded(in->rejections_per_1000_s);
        for (u_int a = 0; a < in->accounts.accounts_len; a++) {
            caro_room_account account = in->accounts.accounts_val[a];
            account.requests_per_1000_s = bounded(account.requests_per_1000_s);
            part->accounts[part->n_accounts++] = account;
        }
    }
}

bool
CaroRoomReports_Apply(CaroRoomReports *r, const caro_room_report *report,
                      CaroTime now)
{
    Sender *s;
    HASH_FIND(hh, r->senders, report->sender, strlen(report->sender), s);
    if (s == NULL) {
        if ((s = calloc(1, sizeof(*s))) == NULL) {
            return false;
        }
        CARO_COPY(s->name, report->sender);
        HASH_ADD_KEYPTR(hh, r->senders, s->name, strlen(s->name), s);
    }
    else if (s->boot_id == report->boot_id &&
             report->sequence <= s->sequence) {
        return false;
    }
    add_sender(r, s, -1);
    s->boot_id = report->boot_id;
    s->sequence = report->sequence;
    s->received_at = now;
    read_report(report, s);
    add_sender(r, s, 1);
    return true;
}

void
CaroRoomReports_Expire(CaroRoomReports *r, CaroTime now)
{
    Sender *s;
    Sender *next;
    if (now - r->expired_at < EXPIRE_INTERVAL) {
        return;
    }
    r->expired_at = now;
    HASH_ITER(hh, r->senders, s, next)
    {
        if (now - s->received_at >= ROOM_REPORT_TTL) {
            remove_sender(r, s);
        }
    }
}

CaroRoomSums
CaroRoomReports_Get(const CaroRoomReports *r, uint32_t service)
{
    for (int i = 0; i < r->n_services; i++) {
        if (r->services[i].hash == service) {
            return r->services[i].sums;
        }
    }
    return (CaroRoomSums){0};
}

int
CaroRoomReports_ListAccounts(const CaroRoomReports *r, uint32_t service,
                             int rank, CaroRoomAccount *out, int max)
{
    int n = 0;
    for (const Account *a = r->accounts; a != NULL && n < max;
         a = a->hh.next) {
        if (a->key.service == service && a->key.rank == (uint32_t)rank) {
            out[n++] = (CaroRoomAccount){a->key.account, rank, a->requests};
        }
    }
    return n;
}

int64_t
CaroRoomReports_Account(const CaroRoomReports *r, uint32_t service,
                        uint32_t account, int rank)
{
    AccountKey key = {service, account, (uint32_t)rank};
    const Account *a;
    HASH_FIND(hh, r->accounts, &key, sizeof(key), a);
    return a == NULL ? 0 : a->requests;
}

CaroTime
CaroRoomReports_OldestAge(const CaroRoomReports *r, CaroTime now)
{
    CaroTime oldest = -1;
    for (const Sender *s = r->senders; s != NULL; s = s->hh.next) {
        CaroTime age = now - s->received_at;
        oldest = age > oldest ? age : oldest;
    }
    return oldest;
}
