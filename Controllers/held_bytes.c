/* What a process holds for its callers, and whose connection is closed when it
   is too much. */
#include "internal/caro_held_bytes.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

enum { CONNECTIONS_START = 64 };

typedef struct {
    CaroAccountBytes held;
    UT_hash_handle hh; /* By held.account. */
} Account;

typedef struct {
    Account *account; /* NULL: the handle is free. */
    size_t bytes;
    CaroTime opened_at;
} Connection;

struct CaroHeldBytes {
    size_t bytes_max;
    size_t bytes;
    Account *accounts;
    Connection *connections;
    int n_connections; /* Handles, used or free. */
    int capacity;
    CaroHandle first_free; /* No handle below it is free. */
};

CaroHeldBytes *
CaroHeldBytes_Create(size_t bytes_max)
{
    CaroHeldBytes *h = calloc(1, sizeof(*h));
    if (h != NULL) {
        h->bytes_max = bytes_max;
    }
    return h;
}

void
CaroHeldBytes_Destroy(CaroHeldBytes *h)
{
    Account *a;
    Account *next;
    if (h == NULL) {
        return;
    }
    HASH_ITER(hh, h->accounts, a, next)
    {
        HASH_DEL(h->accounts, a);
        free(a);
    }
    free(h->connections);
    free(h);
}

void
CaroHeldBytes_SetMax(CaroHeldBytes *h, size_t bytes_max)
{
    h->bytes_max = bytes_max;
}

static Account *
get_account(CaroHeldBytes *h, const char *name)
{
    Account *a = NULL;
    HASH_FIND_STR(h->accounts, name, a);
    if (a == NULL) {
        a = calloc(1, sizeof(*a));
        if (a != NULL) {
            CARO_COPY(a->held.account, name);
            HASH_ADD_STR(h->accounts, held.account, a);
        }
    }
    return a;
}

/* Removes a connection from its account, which is freed with the last. */
static void
leave_account(CaroHeldBytes *h, Connection *c)
{
    Account *a = c->account;
    a->held.bytes -= c->bytes;
    a->held.connections--;
    c->account = NULL;
    if (a->held.connections == 0) {
        HASH_DEL(h->accounts, a);
        free(a);
    }
}

static void
enter_account(Connection *c, Account *a)
{
    a->held.bytes += c->bytes;
    a->held.connections++;
    c->account = a;
}

/* Returns a free handle, or CARO_NO_HANDLE without memory. */
static CaroHandle
find_free(CaroHeldBytes *h)
{
    for (CaroHandle i = h->first_free; i < h->n_connections; i++) {
        if (h->connections[i].account == NULL) {
            return i;
        }
    }
    if (h->n_connections == h->capacity) {
        int capacity = h->capacity == 0 ? CONNECTIONS_START : 2 * h->capacity;
        Connection *grown =
            realloc(h->connections, (size_t)capacity * sizeof(Connection));
        if (grown == NULL) {
            return CARO_NO_HANDLE;
        }
        h->connections = grown;
        h->capacity = capacity;
    }
    return h->n_connections++;
}

CaroHandle
CaroHeldBytes_Open(CaroHeldBytes *h, CaroTime now)
{
    Account *a = get_account(h, "");
    CaroHandle handle = a == NULL ? CARO_NO_HANDLE : find_free(h);
    if (handle == CARO_NO_HANDLE) {
        return CARO_NO_HANDLE;
    }
    h->first_free = handle + 1;
    h->connections[handle] = (Connection){.opened_at = now};
    enter_account(&h->connections[handle], a);
    return handle;
}

void
CaroHeldBytes_Close(CaroHeldBytes *h, CaroHandle connection)
{
    Connection *c = &h->connections[connection];
    assert(c->account != NULL);
    h->bytes -= c->bytes;
    leave_account(h, c);
    if (connection < h->first_free) {
        h->first_free = connection;
    }
}

void
CaroHeldBytes_SetAccount(CaroHeldBytes *h, CaroHandle connection,
                         const char *account)
{
    Connection *c = &h->connections[connection];
    Account *a = get_account(h, account);
    if (a != NULL && a != c->account) {
        leave_account(h, c);
        enter_account(c, a);
    }
}

void
CaroHeldBytes_Add(CaroHeldBytes *h, CaroHandle connection, ptrdiff_t change)
{
    Connection *c = &h->connections[connection];
    assert(c->account != NULL);
    assert(change >= 0 || c->bytes >= (size_t)-change);
    c->bytes += (size_t)change;
    c->account->held.bytes += (size_t)change;
    h->bytes += (size_t)change;
}

size_t
CaroHeldBytes_Total(const CaroHeldBytes *h)
{
    return h->bytes;
}

size_t
CaroHeldBytes_OfConnection(const CaroHeldBytes *h, CaroHandle connection)
{
    return h->connections[connection].bytes;
}

bool
CaroHeldBytes_IsExceeded(const CaroHeldBytes *h)
{
    return h->bytes > h->bytes_max;
}

CaroHandle
CaroHeldBytes_Choose(const CaroHeldBytes *h)
{
    const Account *largest = NULL;
    for (const Account *a = h->accounts; a != NULL; a = a->hh.next) {
        if (largest == NULL || a->held.bytes > largest->held.bytes) {
            largest = a;
        }
    }
    CaroHandle chosen = CARO_NO_HANDLE;
    for (CaroHandle i = 0; i < h->n_connections; i++) {
        const Connection *c = &h->connections[i];
        const Connection *best =
            chosen == CARO_NO_HANDLE ? NULL : &h->connections[chosen];
        bool is_candidate =
            c->account != NULL && c->account == largest && c->bytes > 0;
        if (is_candidate &&
            (best == NULL || c->bytes > best->bytes ||
             (c->bytes == best->bytes && c->opened_at > best->opened_at))) {
            chosen = i;
        }
    }
    return chosen;
}

int
CaroHeldBytes_ListAccounts(const CaroHeldBytes *h, CaroAccountBytes *out,
                           int max)
{
    int n = 0;
    for (const Account *a = h->accounts; a != NULL; a = a->hh.next) {
        int at = n < max ? n++ : max;
        /* Insertion from the end keeps the largest first. */
        while (at > 0 && out[at - 1].bytes < a->held.bytes) {
            if (at < max) {
                out[at] = out[at - 1];
            }
            at--;
        }
        if (at < max) {
            out[at] = a->held;
        }
    }
    return n;
}
