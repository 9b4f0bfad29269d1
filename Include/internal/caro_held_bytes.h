/*
 * NAME
 *     caro_held_bytes - what a process holds for its callers
 *
 * Each connection holds bytes: requests that were read in part, and responses
 * that were not sent.  The bytes are counted for a connection, for the client
 * account it last used, and for the process.  When the process holds too many,
 * a connection is chosen to be closed: the one that holds the most, and of
 * equals the youngest, of the account that holds the most.  A caller that
 * reads what it is sent holds little, and is not chosen for another's sake.
 */
#ifndef CARO_HELD_BYTES_H
#define CARO_HELD_BYTES_H

#include "internal/caro_types.h"

#include <stddef.h>

typedef struct CaroHeldBytes CaroHeldBytes;

/* What an account holds in all its connections. */
typedef struct {
    char account[CARO_NAME_SIZE]; /* "" where no account is known. */
    size_t bytes;
    int connections;
} CaroAccountBytes;

/* Creates an empty table; NULL without memory. */
CaroHeldBytes *CaroHeldBytes_Create(size_t bytes_max);
void CaroHeldBytes_Destroy(CaroHeldBytes *h);

void CaroHeldBytes_SetMax(CaroHeldBytes *h, size_t bytes_max);

/* Adds a connection that holds nothing, without an account.  Returns its
   handle, or CARO_NO_HANDLE without memory. */
CaroHandle CaroHeldBytes_Open(CaroHeldBytes *h, CaroTime now);

/* Removes a connection with all that it holds. */
void CaroHeldBytes_Close(CaroHeldBytes *h, CaroHandle connection);

/* Counts what the connection holds for this account from now on.  Without
   memory it stays counted as before. */
void CaroHeldBytes_SetAccount(CaroHeldBytes *h, CaroHandle connection,
                              const char *account);

/* Adds to what the connection holds; "change" may be negative. */
void CaroHeldBytes_Add(CaroHeldBytes *h, CaroHandle connection,
                       ptrdiff_t change);

size_t CaroHeldBytes_Total(const CaroHeldBytes *h);
size_t CaroHeldBytes_OfConnection(const CaroHeldBytes *h,
                                  CaroHandle connection);

/* Whether the process holds more than the maximum. */
bool CaroHeldBytes_IsExceeded(const CaroHeldBytes *h);

/* Returns the connection to be closed next; CARO_NO_HANDLE when none holds
   anything. */
CaroHandle CaroHeldBytes_Choose(const CaroHeldBytes *h);

/* Copies the accounts that hold the most, the first one first, at most "max"
   of them.  Returns their number. */
int CaroHeldBytes_ListAccounts(const CaroHeldBytes *h, CaroAccountBytes *out,
                               int max);

#endif
