/*
 * A server of a plain service, as the pages describe it: one request at a time
 * on a channel, a request for another instance gets 421 and is not run, and a
 * request whose channel closes is dropped.
 *
 *   desk LOG IP:PORT INSTANCE WORK_MS
 *
 * LOG gets a line "TIME_MS INSTANCE WHAT ID KEY": WHAT is "arrive", "ran",
 * "dropped" (its channel closed while it was at work) or "other" (421).
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { HEAD_MAX = 16384 };

static const char *instance;
static int work_ms;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static long long
now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
note(const char *what, const char *id)
{
    pthread_mutex_lock(&record_lock);
    fprintf(record, "%lld %s %s %s\n", now_ms(), instance, what, id);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

/* Copies the value of a header; returns 0 if there is none. */
static int
header(const char *head, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);
    out[0] = '\0';
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, name, n) == 0 && line[2 + n] == ':') {
            const char *at = line + 3 + n;
            while (*at == ' ') {
                at++;
            }
            snprintf(out, size, "%.*s", (int)strcspn(at, "\r"), at);
            return 1;
        }
    }
    return 0;
}

/* Reads a request with its body.  Returns 0 at the end of the channel. */
static int
read_request(int fd, char *head)
{
    char text[64];
    size_t n = 0;
    char *end = NULL;
    while (end == NULL) {
        ssize_t got = n + 1 < HEAD_MAX ? read(fd, head + n, HEAD_MAX - 1 - n) : 0;
        if (got <= 0) {
            return 0;
        }
        n += (size_t)got;
        head[n] = '\0';
        end = strstr(head, "\r\n\r\n");
    }
    size_t had = n - (size_t)(end + 4 - head);
    end[2] = '\0';
    size_t length = header(head, "Content-Length", text, sizeof(text))
                        ? (size_t)strtoul(text, NULL, 10)
                        : 0;
    while (had < length) {
        char rest[4096];
        size_t want = length - had < sizeof(rest) ? length - had : sizeof(rest);
        ssize_t got = read(fd, rest, want);
        if (got <= 0) {
            return 0;
        }
        had += (size_t)got;
    }
    return 1;
}

/* Works on a request.  Returns 0 if the channel closes meanwhile. */
static int
work(int fd)
{
    struct pollfd p = {.fd = fd, .events = POLLIN};
    long long end = now_ms() + work_ms;
    for (long long left; (left = end - now_ms()) > 0;) {
        char c;
        if (poll(&p, 1, (int)left) > 0) {
            if (recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) {
                return 0;
            }
            usleep(1000);
        }
    }
    return 1;
}

static void *
serve(void *arg)
{
    int fd = (int)(long)arg;
    char *head = malloc(HEAD_MAX);
    char id[256];
    char wanted[256];
    char answer[1024];
    while (read_request(fd, head)) {
        int is_mine = header(head, "X-Expect-Instance", wanted,
                             sizeof(wanted)) == 0 ||
                      strcmp(wanted, instance) == 0;
        header(head, "X-Attempt-Id", id, sizeof(id));
        int n;
        if (!is_mine) {
            note("other", id);
            n = snprintf(answer, sizeof(answer),
                         "HTTP/1.1 421 Misdirected Request\r\n"
                         "X-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n",
                         id);
        }
        else {
            note("arrive", id);
            if (!work(fd)) {
                note("dropped", id);
                break;
            }
            note("ran", id);
            n = snprintf(answer, sizeof(answer),
                         "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                         "X-Response-Seal: %s-%s\r\nX-Instance-Id: %s\r\n"
                         "Keep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\n"
                         "ok\n",
                         id, instance, id, instance);
        }
        if (write(fd, answer, (size_t)n) != n) {
            break;
        }
    }
    free(head);
    close(fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    char host[64];
    int on = 1;
    if (argc != 5 || strrchr(argv[2], ':') == NULL) {
        fprintf(stderr, "usage: desk LOG IP:PORT INSTANCE WORK_MS\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    record = fopen(argv[1], "a");
    instance = argv[3];
    work_ms = atoi(argv[4]);
    snprintf(host, sizeof(host), "%.*s",
             (int)(strrchr(argv[2], ':') - argv[2]), argv[2]);
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_port = htons((unsigned short)atoi(strrchr(argv[2], ':') + 1));
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (record == NULL || inet_pton(AF_INET, host, &at.sin_addr) != 1 ||
        bind(listener, (struct sockaddr *)&at, sizeof(at)) < 0 ||
        listen(listener, 512) < 0) {
        perror("desk");
        return 2;
    }
    for (;;) {
        pthread_t thread;
        int fd = accept(listener, NULL, NULL);
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (pthread_create(&thread, NULL, serve, (void *)(long)fd) == 0) {
            pthread_detach(thread);
        }
        else {
            close(fd);
        }
    }
}
