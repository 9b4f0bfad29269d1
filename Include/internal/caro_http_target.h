/*
 * NAME
 *     caro_http_target - targets of HTTP/1.1 requests
 *
 * The gateway chooses a route by the bytes of a path.  A reader behind it may
 * decode percent-encodings, merge slashes and resolve dot segments first, and
 * then find another path.
 *
 * SOURCE
 *     RFC 9112, section 3.2; RFC 3986, sections 3.3, 5.2.4 and 6.2.2.
 */
#ifndef CARO_HTTP_TARGET_H
#define CARO_HTTP_TARGET_H

#include "internal/caro_text.h"

/* Whether the text may be the value of a header Host, which may be empty. */
bool CaroHttpTarget_IsHost(CaroText host);

/*
 * Checks a target in origin-form, or in absolute-form for the same host, and
 * reduces it to path and query.  Returns false when it is malformed, names
 * another host, or its path has dot segments, encoded or not.
 */
bool CaroHttpTarget_Parse(CaroText *target, CaroText host);

/* Whether a path, without a query, may be read as another one by a reader that
   decodes percent-encodings and merges slashes. */
bool CaroHttpTarget_HasOtherForm(CaroText path);

/* Writes that other form of the path, of at most path.size bytes, to "out".
   Returns its size. */
size_t CaroHttpTarget_WriteOtherForm(CaroText path, char *out);

#endif
