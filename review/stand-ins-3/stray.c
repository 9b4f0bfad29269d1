/*
 * Sends one datagram to the internal port of a machine: a heartbeat in the
 * form of Protocol/caro_peer.x, in which one field of one member update, its
 * state, is STATE.  The protocol defines 0 to 3.
 *
 *   stray IP:PORT STATE
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static unsigned char out[1024];
static size_t n;

static void
add_number(uint32_t number)
{
    number = htonl(number);
    memcpy(out + n, &number, 4);
    n += 4;
}

static void
add_long(uint64_t number)
{
    add_number((uint32_t)(number >> 32));
    add_number((uint32_t)number);
}

static void
add_text(const char *text)
{
    size_t size = strlen(text);
    add_number((uint32_t)size);
    memcpy(out + n, text, size);
    n += (size + 3) / 4 * 4;
}

int
main(int argc, char **argv)
{
    char ip[64];
    struct sockaddr_in to = {.sin_family = AF_INET};
    if (argc != 3 || strrchr(argv[1], ':') == NULL) {
        fprintf(stderr, "usage: stray IP:PORT STATE\n");
        return 2;
    }
    snprintf(ip, sizeof(ip), "%.*s", (int)(strrchr(argv[1], ':') - argv[1]),
             argv[1]);
    to.sin_port = htons((unsigned short)atoi(strrchr(argv[1], ':') + 1));
    if (inet_pton(AF_INET, ip, &to.sin_addr) != 1) {
        return 2;
    }
    add_number(1);          /* Number of the call. */
    add_number(0);          /* A call, */
    add_number(2);          /* of ONC RPC version 2, */
    add_number(0x20079410); /* of the program CARO_PEER, */
    add_number(1);          /* version 1: */
    add_number(1);          /* CARO_HEARTBEAT. */
    add_long(0);            /* No credentials, */
    add_long(0);            /* no verifier. */
    add_text("edge-stray"); /* Sender. */
    add_long(0);            /* Revision of its configuration. */
    add_long((uint64_t)-1); /* Never confirmed. */
    add_number(0);          /* No evidence on rollouts. */
    add_number(1);          /* One member update: */
    add_text("edge-stray");
    add_text("127.0.0.1:1");
    add_text("127.0.0.1:2");
    add_text("zone-a");
    add_text("region");
    add_long(1); /* Incarnation. */
    add_long(1); /* Boot. */
    add_number((uint32_t)strtoul(argv[2], NULL, 10));
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    return sendto(fd, out, n, 0, (struct sockaddr *)&to, sizeof(to)) ==
                   (ssize_t)n
               ? 0
               : 2;
}
