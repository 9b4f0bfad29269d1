/* Addresses and socket options of HTTP connections. */
#include "internal/caro_http.h"

#include "caro_error.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Keep-alive probes at the smallest interval that TCP allows, one second,
   detect a dead peer; the connection is given up when bytes remain
   unacknowledged for three seconds. */
#define KEEP_ALIVE_INTERVAL_S 1
#define UNACKED_TIMEOUT_MS 3000
int
CaroHttp_SplitAddress(const char *address, char host[CARO_ADDRESS_SIZE],
                      uint16_t *port)
{
    const char *colon = strrchr(address, ':');
    if (colon == NULL || colon - address >= CARO_ADDRESS_SIZE) {
        return CARO_ERR_INPUT;
    }
    (void)snprintf(host, CARO_ADDRESS_SIZE, "%.*s", (int)(colon - address),
                   address);
    *port = (uint16_t)strtoul(colon + 1, NULL, 10);
    return 0;
}

void
CaroHttp_DetectDeadPeer(evutil_socket_t fd)
{
    int on = 1;
    int interval_s = KEEP_ALIVE_INTERVAL_S;
    int unacked_ms = UNACKED_TIMEOUT_MS;
    (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s,
                     sizeof(interval_s));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
                     sizeof(interval_s));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &on, sizeof(on));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
                     sizeof(unacked_ms));
}
