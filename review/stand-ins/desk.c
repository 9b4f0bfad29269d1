/*
 * desk - an order service of the platform, for the cases of the review.
 *
 *   desk --listen IP:PORT --store IP:PORT --id ID --service S --zone Z
 *        --version V --slots N --work-ms N --runs FILE [--shed X]
 *        [--refuse-s S] [--linger-ms N]
 *
 * It serves up to N requests at once.  It refuses others, and a share X of
 * all, with 503 and X-Not-Executed; while it sheds, --refuse-s adds Retry-After and
 * closes the channel after a refusal.  A request whose channel closes is
 * dropped.
 *
 * FILE gets a line when a request is read ("got"), when the work on it
 * begins ("run"), and when this server says that it leaves ("leaves"): time,
 * word, id of the request, id of the server, tenant.
 *
 * The entry in the store is written every 300 ms, by the call that the
 * project's stand-in of the store has for servers.  SIGUSR1: the server
 * leaves.  Its entry and all its answers say so, it serves on for the linger
 * time, and exits when it has finished the requests that it runs.  SIGUSR2
 * begins or ends the time in which it sheds the share X; it is sound at first.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <time.h>
#include <unistd.h>

enum { CHANNELS_MAX = 1000, INPUT_MAX = 65536 };

typedef struct {
    int fd; /* -1: the slot is free. */
    char in[INPUT_MAX];
    size_t size;
    bool is_running;
    double ends_at;
    char id[128];
    double idle_since;
} Channel;

static Channel *channels;
static const char *own_id, *service, *zone, *version, *store, *listen_at;
static int slots = 6, work_ms = 60, linger_ms = 2500;
static double refuse_s = -1.0, shed_share;
static FILE *runs;
static volatile sig_atomic_t is_leaving, is_shedding;
static double left_at;
static int running;
static long long born_ms;

static double
now_s(void)
{
    struct timespec t;
    (void)clock_gettime(CLOCK_REALTIME, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void
on_leave(int number)
{
    (void)number;
    is_leaving = 1;
}

static void
on_shed(int number)
{
    (void)number;
    is_shedding = !is_shedding;
}

static struct sockaddr_in
parse(const char *text)
{
    char host[64];
    struct sockaddr_in a = {.sin_family = AF_INET};
    const char *colon = strrchr(text, ':');
    (void)snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
    (void)inet_pton(AF_INET, host, &a.sin_addr);
    a.sin_port = htons((uint16_t)atoi(colon + 1));
    return a;
}

/* Writes the entry of this server to the store and ignores the response. */
static void
write_entry(void)
{
    char body[700];
    char head[500];
    struct sockaddr_in to = parse(store);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct timeval limit = {.tv_usec = 100000};
    if (fd < 0 || connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
        (void)close(fd);
        return;
    }
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    int n = snprintf(
        body, sizeof(body),
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
        "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\",\"born\":%lld}",
        service, listen_at, zone, version, slots,
        is_leaving ? "draining" : "ready", born_ms);
    int m = snprintf(head, sizeof(head),
                     "POST /write?key=servers/%s&ttl_ms=3600 HTTP/1.1\r\n"
                     "Host: store\r\nConnection: close\r\n"
                     "Content-Length: %d\r\n\r\n",
                     own_id, n);
    (void)!write(fd, head, (size_t)m);
    (void)!write(fd, body, (size_t)n);
    (void)!read(fd, head, sizeof(head));
    (void)close(fd);
}

/* Copies the value of a header, or an empty text. */
static void
header(const char *head, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);
    out[0] = '\0';
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, name, n) == 0 && line[2 + n] == ':') {
            const char *at = line + 3 + n;
            at += strspn(at, " ");
            size_t length = strcspn(at, "\r\n");
            (void)snprintf(out, size, "%.*s", (int)length, at);
            return;
        }
    }
}

static void
close_channel(Channel *c)
{
    running -= c->is_running;
    (void)close(c->fd);
    c->fd = -1;
    c->is_running = false;
    c->size = 0;
}

static void
answer(Channel *c, int status, const char *extra, const char *body)
{
    char out[1000];
    int n = snprintf(out, sizeof(out),
                     "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n"
                     "X-Response-Seal: %s\r\nX-Server-Load: %d,0,%d\r\n"
                     "Keep-Alive: timeout=5\r\n%s%sContent-Length: %zu\r\n"
                     "\r\n%s",
                     status, c->id, own_id, running, slots, extra,
                     is_leaving ? "Server-Leaving: 1\r\n" : "", strlen(body),
                     body);
    if (send(c->fd, out, (size_t)n, MSG_NOSIGNAL) != n) {
        close_channel(c);
    }
    c->idle_since = now_s();
}

/* Begins the request at the start of the input if it is complete. */
static void
begin(Channel *c)
{
    char text[128];
    char extra[128] = "X-Not-Executed: 1\r\n";
    c->in[c->size] = '\0';
    char *end = strstr(c->in, "\r\n\r\n");
    if (end == NULL || c->is_running) {
        return;
    }
    end[2] = '\0'; /* Ends the head for the searches. */
    header(c->in, "Content-Length", text, sizeof(text));
    size_t size = (size_t)(end + 4 - c->in) + (size_t)atoi(text);
    if (c->size < size) {
        end[2] = '\r';
        return;
    }
    char expected[128], tenant[128];
    header(c->in, "X-Attempt-Id", c->id, sizeof(c->id));
    header(c->in, "X-Expect-Instance", expected, sizeof(expected));
    header(c->in, "X-Tenant", tenant, sizeof(tenant));
    memmove(c->in, c->in + size, c->size - size);
    c->size -= size;
    (void)fprintf(runs, "%.6f got %s %s tenant=%s\n", now_s(), c->id, own_id,
                  tenant[0] == '\0' ? "-" : tenant);
    if (expected[0] != '\0' && strcmp(expected, own_id) != 0) {
        answer(c, 421, extra, "");
    }
    else if (running >= slots ||
             (is_shedding && (double)rand() / (double)RAND_MAX < shed_share)) {
        if (is_shedding && refuse_s >= 0.0) {
            (void)snprintf(extra, sizeof(extra),
                           "X-Not-Executed: 1\r\nRetry-After: %.2f\r\n"
                           "Connection: close\r\n",
                           refuse_s);
        }
        answer(c, 503, extra, "");
        if (c->fd >= 0 && is_shedding && refuse_s >= 0.0) {
            close_channel(c);
        }
    }
    else {
        running++;
        c->is_running = true;
        c->ends_at = now_s() + work_ms / 1000.0;
        (void)fprintf(runs, "%.6f run %s %s tenant=%s\n", now_s(), c->id,
                      own_id, tenant[0] == '\0' ? "-" : tenant);
        (void)fflush(runs);
    }
}

static void
accept_channel(int listener)
{
    int fd = accept(listener, NULL, NULL);
    int on = 1;
    if (fd < 0) {
        return;
    }
    for (int i = 0; i < CHANNELS_MAX; i++) {
        if (channels[i].fd < 0) {
            (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            channels[i].fd = fd;
            channels[i].size = 0;
            channels[i].idle_since = now_s();
            return;
        }
    }
    (void)close(fd);
}

static void
finish_work(Channel *c, double now)
{
    char body[200];
    if (c->fd >= 0 && c->is_running && now >= c->ends_at) {
        c->is_running = false;
        running--;
        (void)snprintf(body, sizeof(body), "ran %s at %s\n", c->id, own_id);
        answer(c, 200, "", body);
        if (c->fd >= 0) {
            begin(c);
        }
    }
    else if (c->fd >= 0 && !c->is_running && now - c->idle_since > 5.0) {
        close_channel(c);
    }
}

static int
serve(int listener)
{
    static struct pollfd fds[CHANNELS_MAX + 1];
    static int at[CHANNELS_MAX + 1];
    double next_entry = 0.0;
    for (;;) {
        double now = now_s();
        if (is_leaving && left_at == 0.0) {
            left_at = now;
            next_entry = 0.0;
            (void)fprintf(runs, "%.6f leaves - %s tenant=-\n", now, own_id);
            (void)fflush(runs);
        }
        if (now >= next_entry) {
            write_entry();
            next_entry = now + 0.3;
        }
        if (left_at != 0.0 && now - left_at > linger_ms / 1000.0 &&
            running == 0) {
            return 0;
        }
        int n = 0;
        fds[n++] = (struct pollfd){.fd = listener, .events = POLLIN};
        for (int i = 0; i < CHANNELS_MAX; i++) {
            if (channels[i].fd >= 0) {
                at[n] = i;
                fds[n++] =
                    (struct pollfd){.fd = channels[i].fd, .events = POLLIN};
            }
        }
        (void)poll(fds, (nfds_t)n, 1);
        for (int i = 1; i < n; i++) {
            Channel *c = &channels[at[i]];
            if (fds[i].revents == 0) {
                continue;
            }
            ssize_t got = recv(c->fd, c->in + c->size,
                               sizeof(c->in) - 1 - c->size, MSG_DONTWAIT);
            if (got > 0) {
                c->size += (size_t)got;
                begin(c);
            }
            else if (got == 0 || errno != EAGAIN) {
                close_channel(c);
            }
        }
        if (fds[0].revents != 0) {
            accept_channel(listener);
        }
        now = now_s();
        for (int i = 0; i < CHANNELS_MAX; i++) {
            finish_work(&channels[i], now);
        }
    }
}

static const char *
option(int argc, char **argv, const char *name, const char *fallback)
{
    for (int i = 1; i < argc; i++) {
        if (strcmp(argv[i], name) == 0) {
            return i + 1 < argc ? argv[i + 1] : "";
        }
    }
    return fallback;
}

int
main(int argc, char **argv)
{
    listen_at = option(argc, argv, "--listen", "");
    store = option(argc, argv, "--store", "");
    own_id = option(argc, argv, "--id", "i-1");
    service = option(argc, argv, "--service", "desk");
    zone = option(argc, argv, "--zone", "d1");
    version = option(argc, argv, "--version", "v1");
    slots = atoi(option(argc, argv, "--slots", "6"));
    work_ms = atoi(option(argc, argv, "--work-ms", "60"));
    linger_ms = atoi(option(argc, argv, "--linger-ms", "2500"));
    refuse_s = atof(option(argc, argv, "--refuse-s", "-1"));
    shed_share = atof(option(argc, argv, "--shed", "0"));
    srand((unsigned)getpid());
    runs = fopen(option(argc, argv, "--runs", "/dev/null"), "a");
    channels = calloc(CHANNELS_MAX, sizeof(*channels));
    struct sockaddr_in from = parse(listen_at);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    (void)setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (runs == NULL || channels == NULL ||
        bind(listener, (struct sockaddr *)&from, sizeof(from)) < 0 ||
        listen(listener, 256) < 0) {
        perror("desk");
        return 2;
    }
    (void)fcntl(listener, F_SETFL, O_NONBLOCK);
    (void)signal(SIGPIPE, SIG_IGN);
    (void)signal(SIGUSR1, on_leave);
    (void)signal(SIGUSR2, on_shed);
    for (int i = 0; i < CHANNELS_MAX; i++) {
        channels[i].fd = -1;
    }
    born_ms = (long long)(now_s() * 1000.0);
    return serve(listener);
}
