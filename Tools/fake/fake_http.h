/*
 * NAME
 *     fake_http - requests and responses of the fakes, which are served by
 * evhttp
 */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include "internal/caro_http_client.h"
#include "internal/caro_http_reply.h"

#include <event2/http.h>
#include <jansson.h>

/* As the functions of caro_http_reply.h. */
void Fake_SendProblem(struct evhttp_request *req, int status, CaroRun run,
                      const char *title, const char *detail_format, ...)
    __attribute__((format(printf, 5, 6)));

/* Responds with a JSON body; the value is borrowed. */
void Fake_SendJson(struct evhttp_request *req, int status,
                   const json_t *value);

/* Responds with a text body. */
void Fake_SendText(struct evhttp_request *req, int status, const char *text);

/* The body of the request, without a terminator; borrowed as long as the
   request exists. */
const char *Fake_Body(struct evhttp_request *req, size_t *size);

const char *Fake_Header(struct evhttp_request *req, const char *name);
bool Fake_Query(struct evhttp_request *req, const char *name, char *out,
                size_t size);

#endif
