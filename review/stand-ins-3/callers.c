/*
 * Clients that keep their channel for many requests.
 *
 *   callers LOG IP:PORT HOST KEY PATH COUNT SECONDS PAUSE_MS PREFIX
 *
 * Each of COUNT clients sends one request after the other, PAUSE_MS after the
 * answer to the last one, or when an answer's Retry-After says, and opens a new
 * channel when its own has ended.  LOG
 * gets a line "SENT_MS END_MS ID NUMBER OUTCOME" for each request: NUMBER is
 * that of the request on its channel, from 1, OUTCOME the status of a whole
 * answer, "closed" when the channel ended without one, "late" when there was
 * none within 4 s, or "none" when no channel could be opened.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>
#include <errno.h>

static int pause_ms;

enum { ANSWER_MAX = 65536, DEADLINE_MS = 2500, WAIT_S = 4 };

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct sockaddr_in to;
static const char *host, *key, *path, *prefix;
static long long end_at;

static long long
now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int
open_channel(void)
{
    int on = 1;
    struct timeval wait = {.tv_sec = WAIT_S};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Reads a whole answer.  Returns its status, 0 if the channel ended before, or
   -1 if it did not come in time; *keeps tells whether the channel is kept,
   *wait_ms for how long Retry-After asks to wait, a third of the time at most. */
static int
read_answer(int fd, int *keeps, int *wait_ms)
{
    static __thread char text[ANSWER_MAX];
    size_t n = 0;
    char *end = NULL;
    *keeps = 0;
    *wait_ms = pause_ms;
    for (;;) {
        text[n] = '\0';
        if (end == NULL && (end = strstr(text, "\r\n\r\n")) != NULL) {
            end += 4;
        }
        if (end != NULL) {
            const char *length = strcasestr(text, "\r\nContent-Length:");
            size_t body = length == NULL || length > end
                              ? 0
                              : strtoul(length + 17, NULL, 10);
            if (n >= (size_t)(end - text) + body) {
                const char *close_at = strcasestr(text, "\r\nConnection: close");
                *keeps = close_at == NULL || close_at > end;
                const char *retry = strcasestr(text, "\r\nRetry-After:");
                if (retry != NULL && retry < end) {
                    double ms = 1000.0 * atof(retry + 14);
                    *wait_ms = ms < DEADLINE_MS / 3 ? (int)ms : DEADLINE_MS / 3;
                }
                return atoi(text + 9);
            }
        }
        ssize_t got = n + 1 < sizeof(text)
                          ? read(fd, text + n, sizeof(text) - 1 - n)
                          : 0;
        if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return -1;
        }
        if (got <= 0) {
            return 0;
        }
        n += (size_t)got;
    }
}

static void *
call(void *arg)
{
    int number = (int)(long)arg;
    int fd = -1;
    int on_channel = 0;
    for (int i = 0; now_ms() < end_at; i++) {
        char id[128];
        char request[1024];
        char outcome[32] = "none";
        int keeps = 0;
        int wait_ms = 100;
        if (fd < 0) {
            fd = open_channel();
            on_channel = 0;
        }
        snprintf(id, sizeof(id), "%s-%d-%d", prefix, number, i);
        int n = snprintf(request, sizeof(request),
                         "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
                         "X-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n"
                         "Content-Length: 5\r\n\r\norder",
                         path, host, id, DEADLINE_MS, key);
        long long sent = now_ms();
        if (fd >= 0) {
            on_channel++;
            int status = write(fd, request, (size_t)n) == n
                             ? read_answer(fd, &keeps, &wait_ms)
                             : 0;
            snprintf(outcome, sizeof(outcome),
                     status > 0   ? "%d"
                     : status < 0 ? "late"
                                  : "closed",
                     status);
        }
        pthread_mutex_lock(&record_lock);
        fprintf(record, "%lld %lld %s %d %s\n", sent, now_ms(), id, on_channel,
                outcome);
        fflush(record);
        pthread_mutex_unlock(&record_lock);
        if (!keeps) {
            if (fd >= 0) {
                close(fd);
            }
            fd = -1;
        }
        usleep((useconds_t)wait_ms * 1000);
    }
    if (fd >= 0) {
        close(fd);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    char ip[64];
    if (argc != 10 || strrchr(argv[2], ':') == NULL) {
        fprintf(stderr, "usage: callers LOG IP:PORT HOST KEY PATH COUNT "
                        "SECONDS PAUSE_MS PREFIX\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    record = fopen(argv[1], "a");
    snprintf(ip, sizeof(ip), "%.*s", (int)(strrchr(argv[2], ':') - argv[2]),
             argv[2]);
    to.sin_family = AF_INET;
    to.sin_port = htons((unsigned short)atoi(strrchr(argv[2], ':') + 1));
    if (record == NULL || inet_pton(AF_INET, ip, &to.sin_addr) != 1) {
        return 2;
    }
    host = argv[3];
    key = argv[4];
    path = argv[5];
    int count = atoi(argv[6]);
    end_at = now_ms() + (long long)(atof(argv[7]) * 1000.0);
    pause_ms = atoi(argv[8]);
    prefix = argv[9];
    pthread_t *threads = calloc((size_t)count, sizeof(*threads));
    for (int i = 0; i < count; i++) {
        pthread_create(&threads[i], NULL, call, (void *)(long)i);
    }
    for (int i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
    }
    return 0;
}
