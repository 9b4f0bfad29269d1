/*
 * A fake upstream that answers each request with bytes without end, until the
 * caller closes, or with a body in chunks, most of them malformed.  Its name
 * says which: see the table.  It prints the ids of the requests, and does not
 * register itself.
 */
#include "fake.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes that wait to be sent; more are added as they leave. */
enum {
    OUTPUT_MIN = 65536,
    HEAD_SIZE = 1024,
    /* All callers of a test connect within a second, in which this process may
       not get to accept them. */
    BACKLOG = 1024
};

#define OWN "X-Attempt-Id: %s\r\nX-Response-Seal: s\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"

#define CHUNKED "HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: chunked\r\n\r\n"

/* What is sent: a start, in which %s is the id of the request, and a text that
   is repeated; NULL for an answer that ends. */
static const struct {
    const char *name;
    const char *start;
    const char *repeated;
} kinds[] = {
    {"line", "", "abcdefgh"},
    {"status-line", "HTTP/1.1 200 ", "abcdefgh"},
    {"headers", "HTTP/1.1 200 OK\r\n" OWN, "X-More: abcdefgh\r\n"},
    {"header", "HTTP/1.1 200 OK\r\n" OWN "X-More: ", "abcdefgh"},
    {"empty-lines", "", "\r\n"},
    {"interim", "", "HTTP/1.1 102 X\r\n\r\n"},
    {"failure", "HTTP/1.1 500 X\r\nX-Attempt-Id: %s\r\n\r\n", "abcdefgh"},
    {"failure-length",
     "HTTP/1.1 500 X\r\nX-Attempt-Id: %s\r\n"
     "Content-Length: 99999999999\r\n\r\n",
     "abcdefgh"},
    {"not-found", "HTTP/1.1 404 X\r\nX-Attempt-Id: %s\r\n\r\n", "abcdefgh"},
    {"refusal",
     "HTTP/1.1 503 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n\r\n",
     "abcdefgh"},
    {"chunks",
     "HTTP/1.1 500 X\r\nX-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n"
     "\r\n",
     "8\r\nabcdefgh\r\n"},
    {"extension",
     "HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: chunked\r\n\r\n8;a=",
     "abcdefgh"},
    {"trailers",
     "HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-More: abcdefgh\r\n"},
    {"foreign",
     "HTTP/1.1 200 OK\r\nX-Attempt-Id: none\r\nX-Response-Seal: s\r\n"
     "Content-Length: 99999999999\r\n\r\n",
     "abcdefgh"},
    {"others", "",
     "HTTP/1.1 200 OK\r\nX-Attempt-Id: none\r\nX-Response-Seal: s\r\n"
     "Content-Length: 8\r\n\r\nabcdefgh"},
    {"unsealed", "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n\r\n", "abcdefgh"},
    {"success", "HTTP/1.1 200 OK\r\n" OWN "\r\n", "abcdefgh"},
    {"success-length",
     "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 99999999999\r\n\r\n",
     "abcdefgh"},
    {"comments", "HTTP/1.1 200 OK\r\n" OWN EVENTS "\r\n", ": abcdefgh\n\n"},
    {"comment", "HTTP/1.1 200 OK\r\n" OWN EVENTS "\r\n: ", "abcdefgh"},
    {"event",
     "HTTP/1.1 200 OK\r\n" OWN EVENTS "\r\nid: 1\ndata: ", "abcdefgh"},
    {"no-events", "HTTP/1.1 200 OK\r\n" OWN EVENTS "\r\n", "\n\n"},
    {"sound", CHUNKED "5;a=\"b;c\"\r\nhello\r\n0\r\nNote: a\r\n\r\n", NULL},
    {"lf-in-extension", CHUNKED "5;a\nb\r\nhello\r\n0\r\n\r\n", NULL},
    {"data-end", CHUNKED "5\r\nhelloXY0\r\n\r\n", NULL},
    {"data-end-cr", CHUNKED "5\r\nhello\rX0\r\n\r\n", NULL},
    {"two-sizes", CHUNKED "5 7\r\nhello\r\n0\r\n\r\n", NULL},
    {"trailer-lf", CHUNKED "5\r\nhello\r\n0\r\nNote: a\n\n", NULL},
    {"last-lf", CHUNKED "5\r\nhello\r\n0\r\n\n", NULL},
    {"folded-trailer", CHUNKED "5\r\nhello\r\n0\r\nNote: a\r\n b\r\n\r\n",
     NULL},
    {"refusal-data-end",
     "HTTP/1.1 503 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
     "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXY0\r\n\r\n",
     NULL},
};
enum { N_KINDS = sizeof(kinds) / sizeof(kinds[0]) };

typedef struct {
    struct event_base *base;
    int kind;
} Endless;

typedef struct {
    const Endless *fake;
    bool has_begun;
} Connection;

static void
on_write(struct bufferevent *bev, void *arg)
{
    Connection *c = arg;
    struct evbuffer *out = bufferevent_get_output(bev);
    const char *text = kinds[c->fake->kind].repeated;
    while (c->has_begun && text != NULL &&
           evbuffer_get_length(out) < OUTPUT_MIN) {
        (void)evbuffer_add(out, text, strlen(text));
    }
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    static const char header[] = "X-Attempt-Id: ";
    Connection *c = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    if (c->has_begun || evbuffer_search(in, "\r\n\r\n", 4, NULL).pos < 0) {
        return;
    }
    char head[HEAD_SIZE] = "";
    (void)evbuffer_copyout(in, head, sizeof(head) - 1);
    char *id = strstr(head, header);
    id = id == NULL ? head : id + strlen(header);
    id[strcspn(id, "\r")] = '\0';
    c->has_begun = kinds[c->fake->kind].repeated != NULL;
    evbuffer_drain(in, evbuffer_get_length(in));
    (void)printf("%s\n", id);
    (void)fflush(stdout);
    const char *start = kinds[c->fake->kind].start;
    const char *at = strstr(start, "%s");
    struct evbuffer *out = bufferevent_get_output(bev);
    if (at != NULL) {
        (void)evbuffer_add(out, start, (size_t)(at - start));
        (void)evbuffer_add(out, id, strlen(id));
        start = at + 2;
    }
    (void)evbuffer_add(out, start, strlen(start));
    on_write(bev, c);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)what;
    bufferevent_free(bev);
    free(arg);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int size, void *arg)
{
    (void)listener;
    (void)from;
    (void)size;
    const Endless *fake = arg;
    Connection *c = calloc(1, sizeof(*c));
    struct bufferevent *bev =
        bufferevent_socket_new(fake->base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (c == NULL || bev == NULL) {
        abort();
    }
    c->fake = fake;
    bufferevent_setcb(bev, on_read, on_write, on_event, c);
    (void)bufferevent_enable(bev, EV_READ | EV_WRITE);
}

int
FakeEndless_Run(const FakeOptions *options)
{
    static Endless fake = {.kind = -1};
    char host[CARO_ADDRESS_SIZE];
    uint16_t port;
    struct sockaddr_in at = {.sin_family = AF_INET};
    for (int i = 0; i < N_KINDS; i++) {
        if (strcmp(kinds[i].name, options->name) == 0) {
            fake.kind = i;
        }
    }
    if (fake.kind < 0 ||
        CaroHttp_SplitAddress(options->listen, host, &port) < 0 ||
        inet_pton(AF_INET, host, &at.sin_addr) != 1) {
        (void)fprintf(stderr, "carofake: %s at %s is no endless upstream\n",
                      options->name, options->listen);
        return 2;
    }
    at.sin_port = htons(port);
    fake.base = event_base_new();
    struct evconnlistener *listener = evconnlistener_new_bind(
        fake.base, on_accept, &fake, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        BACKLOG, (struct sockaddr *)&at, sizeof(at));
    if (listener == NULL) {
        (void)fprintf(stderr, "carofake: cannot listen at %s\n",
                      options->listen);
        return 1;
    }
    int rc = Fake_RunLoop(fake.base);
    evconnlistener_free(listener);
    event_base_free(fake.base);
    return rc;
}
