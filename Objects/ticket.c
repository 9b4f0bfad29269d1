/*
 * Order tickets: "vm.boot_id.backup.boot_id.expiry.mac", with each boot_id
 * and the expiry in hexadecimal.  The MAC is a truncated HMAC-SHA256 with
 * the fleet secret, so that a caller cannot choose the arbiter.
 */
#include "internal/caro_orders.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    MAC_BYTES = 12,
    MAC_DIGITS = 2 * MAC_BYTES,
    TICKET_PARTS = 5 /* Parts before the MAC. */
};

static void
sign(const char *text, size_t size, const char *secret,
     char digits[MAC_DIGITS + 1])
{
    unsigned char mac[EVP_MAX_MD_SIZE];
    unsigned int n = 0;
    (void)HMAC(EVP_sha256(), secret, (int)strlen(secret),
               (const unsigned char *)text, size, mac, &n);
    for (int i = 0; i < MAC_BYTES; i++) {
        (void)snprintf(digits + 2 * i, 3, "%02x", mac[i]);
    }
}

int
CaroTicket_Format(const CaroTicket *t, const char *secret, char *buf,
                  size_t size)
{
    char mac[MAC_DIGITS + 1];
    int n =
        snprintf(buf, size, "%s.%" PRIx64 ".%s.%" PRIx64 ".%" PRIx64, t->vm,
                 t->vm_boot_id, t->backup[0] == '\0' ? "-" : t->backup,
                 t->backup_boot_id, t->expires_ms);
    if (n < 0 || (size_t)n + MAC_DIGITS + 2 > size) {
        return CARO_ERR_FULL;
    }
    sign(buf, (size_t)n, secret, mac);
    (void)snprintf(buf + n, size - (size_t)n, ".%s", mac);
    return 0;
}

static void
copy_name(char out[CARO_NAME_SIZE], const char *part)
{
    size_t n = strcspn(part, ".");
    if (n >= CARO_NAME_SIZE) {
        n = CARO_NAME_SIZE - 1;
    }
    memcpy(out, part, n);
    out[n] = '\0';
}

int
CaroTicket_Parse(const char *key, const char *secret, CaroTicket *ticket,
                 CaroError *err)
{
    const char *parts[TICKET_PARTS + 1];
    const char *p = key;
    for (int i = 0; i <= TICKET_PARTS; i++) {
        parts[i] = p;
        p = strchr(p, '.');
        if (p == NULL) {
            if (i == TICKET_PARTS) {
                break;
            }
            return CaroError_Set(err, CARO_ERR_NOT_FOUND, "ticket", NULL,
                                 "the key carries no ticket; ask "
                                 "/v1/addresses for one");
        }
        p++;
    }
    char mac[MAC_DIGITS + 1];
    const char *given_mac = parts[TICKET_PARTS];
    size_t signed_size = (size_t)(given_mac - key) - 1;
    sign(key, signed_size, secret, mac);
    if (strlen(given_mac) < MAC_DIGITS ||
        CRYPTO_memcmp(mac, given_mac, MAC_DIGITS) != 0 ||
        (given_mac[MAC_DIGITS] != '.' && given_mac[MAC_DIGITS] != '\0')) {
        return CaroError_Set(err, CARO_ERR_INPUT, "ticket", NULL,
                             "the ticket's signature does not match");
    }
    memset(ticket, 0, sizeof(*ticket));
    copy_name(ticket->vm, parts[0]);
    ticket->vm_boot_id = strtoull(parts[1], NULL, 16);
    copy_name(ticket->backup, parts[2]);
    ticket->backup_boot_id = strtoull(parts[3], NULL, 16);
    ticket->expires_ms = strtoull(parts[4], NULL, 16);
    if (strcmp(ticket->backup, "-") == 0) {
        ticket->backup[0] = '\0';
    }
    return 0;
}
