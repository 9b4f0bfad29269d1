/*
 * Clients of streams, for review/6.
 *
 *   streams SECONDS PER_SECOND PROMPT_TOKENS SHARED_TOKENS HOST:PORT...
 *
 * Sends a request for a stream at a fixed pace, each on a new channel and to the
 * next of the addresses, and prints a line when it ends:
 *
 *   SENT_MS ID STATUS EVENTS whole|cut
 *
 * SENT_MS is the time of day in ms; STATUS is 0 when there was no answer.  All
 * prompts share their first part; the second is the request's own.  A stream
 * whose channel broke, or that could not be sent, is sent once more a second
 * later, as the rest of it if there were events; other answers are final.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { STREAMS_MAX = 1024, ANSWER_MAX = 65536, OUTPUT_EVENTS = 60 };
#define TIME_LIMIT_MS 25000
#define RETRY_DELAY_MS 1000

typedef struct {
    int fd; /* -1: the entry is free, or waits for retry_ms. */
    int is_sent;
    int number;
    int last_event; /* Of the try before; 0 for none. */
    int is_retry;
    long long retry_ms; /* 0 for none. */
    long long sent_ms;
    char id[32];
    size_t size;
    char answer[ANSWER_MAX];
} Stream;

static Stream streams[STREAMS_MAX];

static long long
now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static void
finish(Stream *s)
{
    int status = 0;
    int events = 0;
    s->answer[s->size] = '\0';
    (void)sscanf(s->answer, "HTTP/1.1 %d", &status);
    for (const char *p = s->answer; (p = strstr(p, "id: ")) != NULL; p += 4) {
        events += p > s->answer && p[-1] == '\n';
    }
    int is_whole =
        s->size >= 5 && memcmp(s->answer + s->size - 5, "0\r\n\r\n", 5) == 0;
    printf("%lld %s %d %d %s\n", s->sent_ms, s->id, status, events,
           is_whole ? "whole" : "cut");
    fflush(stdout);
    close(s->fd);
    s->fd = -1;
    if (!s->is_retry && !is_whole && (status == 0 || status == 200)) {
        s->retry_ms = now_ms() + RETRY_DELAY_MS;
        s->last_event = events;
    }
}

static Stream *
find_free(void)
{
    Stream *s = streams;
    while (s < streams + STREAMS_MAX && (s->fd >= 0 || s->retry_ms != 0)) {
        s++;
    }
    if (s == streams + STREAMS_MAX) {
        exit(2);
    }
    return s;
}

static void
begin(Stream *s, const char *address, int number, int is_retry)
{
    char host[64];
    int port;
    if (sscanf(address, "%63[^:]:%d", host, &port) != 2) {
        exit(2);
    }
    s->number = number;
    s->is_retry = is_retry;
    s->last_event = is_retry ? s->last_event : 0;
    s->retry_ms = 0;
    s->sent_ms = now_ms();
    s->size = 0;
    s->is_sent = 0;
    (void)snprintf(s->id, sizeof(s->id), "stream-%d%s", number,
                   is_retry ? "-again" : "");
    s->fd = socket(AF_INET, SOCK_STREAM, 0);
    if (s->fd < 0) {
        exit(2);
    }
    (void)fcntl(s->fd, F_SETFL, O_NONBLOCK);
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((unsigned short)port)};
    (void)inet_pton(AF_INET, host, &to.sin_addr);
    if (connect(s->fd, (struct sockaddr *)&to, sizeof(to)) < 0 &&
        errno != EINPROGRESS) {
        finish(s);
    }
}

static void
send_request(Stream *s, int prompt, int shared)
{
    char out[512];
    char last[48] = "";
    if (s->last_event > 0) {
        (void)snprintf(last, sizeof(last), "Last-Event-Id: %d\r\n",
                       s->last_event);
    }
    int size = snprintf(
        out, sizeof(out),
        "POST /s/x HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: %s\r\n"
        "X-Model: m\r\nX-Token-Usage: %d,%d\r\n"
        "X-Prompt-Prefix: 5c1e07a2:%d,%x:%d\r\nX-Deadline-Ms: %d\r\n"
        "X-Api-Key: key-1\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n",
        s->id, prompt, OUTPUT_EVENTS, shared, 0x10000 + (unsigned)s->number,
        prompt - shared, TIME_LIMIT_MS, last);
    s->is_sent = 1;
    if (write(s->fd, out, (size_t)size) != size) {
        finish(s);
    }
}

static void
receive(Stream *s)
{
    ssize_t n = read(s->fd, s->answer + s->size, ANSWER_MAX - 1 - s->size);
    if (n > 0) {
        s->size += (size_t)n;
    }
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR) ||
        s->size == ANSWER_MAX - 1) {
        finish(s);
    }
}

int
main(int argc, char **argv)
{
    if (argc < 6) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    long long start = now_ms();
    long long end = start + (long long)(atof(argv[1]) * 1000);
    double interval = 1000 / atof(argv[2]);
    int number = 0;
    int n_open = 0;
    int n_waiting = 1;
    for (int i = 0; i < STREAMS_MAX; i++) {
        streams[i].fd = -1;
    }
    while (now_ms() < end || n_open > 0 || n_waiting > 0) {
        struct pollfd fds[STREAMS_MAX];
        Stream *by_fd[STREAMS_MAX];
        n_open = 0;
        n_waiting = 0;
        long long now = now_ms();
        if (now < end && now >= start + (long long)(number * interval)) {
            begin(find_free(), argv[5 + number % (argc - 5)], number, 0);
            number++;
        }
        for (int i = 0; i < STREAMS_MAX; i++) {
            Stream *s = &streams[i];
            if (s->fd < 0 && s->retry_ms != 0) {
                n_waiting++;
                if (now >= s->retry_ms) {
                    /* At the next address, as clients do. */
                    begin(s, argv[5 + (s->number + 1) % (argc - 5)], s->number,
                          1);
                }
            }
            if (s->fd >= 0 && now - s->sent_ms > TIME_LIMIT_MS) {
                finish(s);
            }
            if (s->fd >= 0) {
                fds[n_open] = (struct pollfd){
                    .fd = s->fd, .events = s->is_sent ? POLLIN : POLLOUT};
                by_fd[n_open++] = s;
            }
        }
        (void)poll(fds, (nfds_t)n_open, 5);
        for (int i = 0; i < n_open; i++) {
            if (fds[i].revents != 0 && by_fd[i]->is_sent) {
                receive(by_fd[i]);
            }
            else if ((fds[i].revents & (POLLERR | POLLHUP)) != 0) {
                finish(by_fd[i]);
            }
            else if ((fds[i].revents & POLLOUT) != 0) {
                send_request(by_fd[i], atoi(argv[3]), atoi(argv[4]));
            }
        }
    }
    return 0;
}
