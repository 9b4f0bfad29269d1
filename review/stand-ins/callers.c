/*
 * callers - clients of the platform that send orders, for the review's cases.
 *
 *   callers --to IP:PORT[,IP:PORT...] --host H --path P --key K --clients N
 *           --seconds S --pause-ms N --deadline-ms N --answers FILE
 *           [--wave-ms N] [--prefix TEXT] [--new-channels]
 *           [--tokens N --events N --shared HEX] [--warm-up PATH]
 *
 * Each client sends one request at a time on a channel that it keeps, or on
 * a new one, and pauses for a random time up to twice --pause-ms.  With
 * --wave-ms all clients send within 2 ms of each multiple of that time.  With
 * --tokens the requests are streams with a prompt of so many tokens, of which
 * the first 200 are a part that all of them share; the word in the place of
 * the body then tells whether the stream is whole.  With --warm-up a new
 * channel first carries an order on that path, which is not recorded.  FILE gets
 * a line for each: time sent, time answered, id, status (0: the channel
 * ended), body or "-".  The status of an answer and not its retry matters
 * here: clients do not retry.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <math.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { ADDRESSES_MAX = 16, CLIENTS_MAX = 400 };

static struct sockaddr_in addresses[ADDRESSES_MAX];
static int n_addresses;
static const char *host, *path, *key, *prefix, *shared, *warm_up;
static int tokens, events; /* Of a stream; 0 for an order. */
static int pause_ms, wave_ms, deadline_ms;
static double ends_at;
static bool opens_new;
static FILE *answers;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static double
now_s(void)
{
    struct timespec t;
    (void)clock_gettime(CLOCK_REALTIME, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static int
open_channel(unsigned *seed)
{
    int on = 1;
    struct timeval limit = {.tv_sec = deadline_ms / 1000 + 1};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    const struct sockaddr_in *to =
        &addresses[(int)(rand_r(seed) % (unsigned)n_addresses)];
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) < 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

/* Reads a chunked stream whose first bytes are in "in" to its end.  Tells in
   "body" whether it is whole and how many events came. */
static void
read_stream(int fd, char *in, size_t n, size_t in_size, char *body,
            size_t size)
{
    char tail[8] = "";
    int events = 0;
    for (;;) {
        for (size_t i = 0; i < n; i++) {
            (void)memmove(tail, tail + 1, 6);
            tail[6] = in[i];
            events += memcmp(tail + 3, "\nid:", 4) == 0;
            if (memcmp(tail, "\r\n0\r\n\r\n", 7) == 0) {
                (void)snprintf(body, size, "whole events=%d", events);
                return;
            }
        }
        ssize_t got = recv(fd, in, in_size, 0);
        if (got <= 0) {
            (void)snprintf(body, size, "cut events=%d", events);
            return;
        }
        n = (size_t)got;
    }
}

/* Reads one response.  Returns its status, or 0; *keeps tells whether the
   channel stays open. */
static int
read_answer(int fd, char *body, size_t size, bool *keeps)
{
    char in[16384];
    size_t n = 0;
    *keeps = false;
    for (;;) {
        ssize_t got = recv(fd, in + n, sizeof(in) - 1 - n, 0);
        if (got <= 0) {
            return 0;
        }
        n += (size_t)got;
        in[n] = '\0';
        char *end = strstr(in, "\r\n\r\n");
        char *length = strcasestr(in, "\r\nContent-Length:");
        char *coding = strcasestr(in, "\r\nTransfer-Encoding: chunked");
        if (end != NULL && coding != NULL && coding < end) {
            int status = atoi(in + 9);
            *keeps = strcasestr(in, "\r\nConnection: close") == NULL;
            /* The line end before the first chunk serves its search. */
            size_t from = (size_t)(end + 2 - in);
            memmove(in, in + from, n - from);
            read_stream(fd, in, n - from, sizeof(in), body, size);
            *keeps = *keeps && strncmp(body, "whole", 5) == 0;
            return status;
        }
        if (end == NULL || length == NULL || length > end) {
            continue;
        }
        size_t whole = (size_t)(end + 4 - in) + (size_t)atoi(length + 17);
        if (n >= whole) {
            (void)snprintf(body, size, "%.*s", (int)strcspn(end + 4, "\n"),
                           end + 4);
            end[2] = '\0';
            *keeps = strcasestr(in, "\r\nConnection: close") == NULL;
            return atoi(in + 9);
        }
    }
}

/* Sends an order and reads its answer, so that the channel is a kept one. */
static void
use_channel(int fd, long number, int i)
{
    char out[512];
    char body[64];
    bool keeps;
    int n = snprintf(out, sizeof(out),
                     "POST %s HTTP/1.1\r\nHost: %s\r\n"
                     "X-Attempt-Id: w%d-%ld-%d\r\nX-Deadline-Ms: 3000\r\n"
                     "X-Api-Key: %s\r\nContent-Length: 0\r\n\r\n",
                     warm_up, host, (int)getpid(), number, i, key);
    if (send(fd, out, (size_t)n, MSG_NOSIGNAL) == n) {
        (void)read_answer(fd, body, sizeof(body), &keeps);
    }
}

static void *
run_client(void *arg)
{
    long number = (long)arg;
    unsigned seed = (unsigned)number * 7919u + (unsigned)getpid();
    int fd = -1;
    for (int i = 0; now_s() < ends_at; i++) {
        char id[64];
        char out[1024];
        char body[256] = "";
        (void)snprintf(id, sizeof(id), "%s%d-%ld-%d", prefix, (int)getpid(),
                       number, i);
        int n = snprintf(out, sizeof(out),
                         "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
                         "X-Deadline-Ms: %d\r\n%s%s%s",
                         path, host, id, deadline_ms,
                         key[0] == '\0' ? "" : "X-Api-Key: ", key,
                         key[0] == '\0' ? "" : "\r\n");
        if (tokens > 0) {
            n += snprintf(out + n, sizeof(out) - (size_t)n,
                          "X-Model: m\r\nX-Token-Usage: %d,%d\r\n"
                          "X-Prompt-Prefix: %s:200,%08x%08lx:%d\r\n",
                          tokens, events, shared, (unsigned)getpid(),
                          number * 4096 + i, tokens - 200);
        }
        n += snprintf(out + n, sizeof(out) - (size_t)n,
                      "Content-Length: 5\r\n\r\norder");
        if (fd < 0) {
            fd = open_channel(&seed);
            if (fd >= 0 && warm_up[0] != '\0') {
                use_channel(fd, number, i);
            }
        }
        double sent_at = now_s();
        bool keeps = false;
        int status = 0;
        if (fd >= 0 && send(fd, out, (size_t)n, MSG_NOSIGNAL) == n) {
            status = read_answer(fd, body, sizeof(body), &keeps);
        }
        if (fd >= 0 && (!keeps || opens_new)) {
            (void)close(fd);
            fd = -1;
        }
        (void)pthread_mutex_lock(&lock);
        (void)fprintf(answers, "%.6f answered %.6f %s %d %s\n", sent_at,
                      now_s(), id, status, body[0] == '\0' ? "-" : body);
        (void)pthread_mutex_unlock(&lock);
        if (wave_ms > 0) {
            double wave = (double)wave_ms / 1000.0;
            double wait = wave - fmod(now_s(), wave);
            (void)usleep((useconds_t)(wait * 1e6) +
                         (useconds_t)(rand_r(&seed) % 2000u));
        }
        else if (pause_ms > 0) {
            (void)usleep((useconds_t)(rand_r(&seed) %
                                      (unsigned)(2000 * pause_ms)));
        }
    }
    if (fd >= 0) {
        (void)close(fd);
    }
    return NULL;
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
    static pthread_t threads[CLIENTS_MAX];
    char *list = strdup(option(argc, argv, "--to", ""));
    for (char *at = strtok(list, ","); at != NULL && n_addresses < ADDRESSES_MAX;
         at = strtok(NULL, ",")) {
        char *colon = strrchr(at, ':');
        *colon = '\0';
        addresses[n_addresses].sin_family = AF_INET;
        (void)inet_pton(AF_INET, at, &addresses[n_addresses].sin_addr);
        addresses[n_addresses++].sin_port = htons((uint16_t)atoi(colon + 1));
    }
    host = option(argc, argv, "--host", "desk.example");
    path = option(argc, argv, "--path", "/o/1");
    key = option(argc, argv, "--key", "");
    prefix = option(argc, argv, "--prefix", "q");
    warm_up = option(argc, argv, "--warm-up", "");
    shared = option(argc, argv, "--shared", "5c1e07a2");
    tokens = atoi(option(argc, argv, "--tokens", "0"));
    events = atoi(option(argc, argv, "--events", "40"));
    pause_ms = atoi(option(argc, argv, "--pause-ms", "50"));
    wave_ms = atoi(option(argc, argv, "--wave-ms", "0"));
    deadline_ms = atoi(option(argc, argv, "--deadline-ms", "3000"));
    opens_new = option(argc, argv, "--new-channels", NULL) != NULL;
    int clients = atoi(option(argc, argv, "--clients", "10"));
    ends_at = now_s() + atof(option(argc, argv, "--seconds", "5"));
    answers = fopen(option(argc, argv, "--answers", "/dev/null"), "a");
    if (answers == NULL || n_addresses == 0 || clients > CLIENTS_MAX) {
        (void)fprintf(stderr, "callers: bad options\n");
        return 2;
    }
    for (long i = 0; i < clients; i++) {
        (void)pthread_create(&threads[i], NULL, run_client, (void *)i);
    }
    for (int i = 0; i < clients; i++) {
        (void)pthread_join(threads[i], NULL);
    }
    (void)fclose(answers);
    free(list);
    return 0;
}
