/*
 * NAME
 *     fake_http - requests and responses of the fakes, over evhttp
 */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include "caro_error.h"
#include "internal/caro_http_client.h"

#include <event2/http.h>
#include <jansson.h>

/* Responds with a JSON body; the value is borrowed. */
void Fake_SendJson(struct evhttp_request *req, int status,
                   const json_t *value);

/* Responds with a text body. */
void Fake_SendText(struct evhttp_request *req, int status, const char *text);

/* The body of the request, without a terminator; borrowed as long as the
   request exists. */
const char *Fake_Body(struct evhttp_request *req, size_t *size);

/* The value of a request header, or NULL; borrowed likewise. */
const char *Fake_Header(struct evhttp_request *req, const char *name);

/* Copies the value of a query parameter, decoded.  Returns false when it is
   absent or does not fit. */
bool Fake_Query(struct evhttp_request *req, const char *name, char *out,
                size_t size);

#endif
