/*
 * NAME
 *     caro_http - addresses and socket options of HTTP connections
 */
#ifndef CARO_HTTP_H
#define CARO_HTTP_H

#include "internal/caro_types.h"

#include <event2/util.h>

/* Splits "ip:port"; returns 0 or CARO_ERR_INPUT. */
int CaroHttp_SplitAddress(const char *address, char host[CARO_ADDRESS_SIZE],
                          uint16_t *port);

/*
 * Has the TCP connection end within three to four seconds when its peer no
 * longer answers.  Errors are ignored: a connection without the options works,
 * but a dead peer is detected later.
 */
void CaroHttp_DetectDeadPeer(evutil_socket_t fd);

#endif
