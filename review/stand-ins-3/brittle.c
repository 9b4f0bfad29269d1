/*
 * A server of a plain service that becomes brittle, as the news pages describe
 * it: it says so in all its answers from BRITTLE_S seconds after its start;
 * from 3 s later it lets only TIGHT requests wait, and falls over when it has to
 * turn more than N requests away in a second for want of room.  It is back
 * after 3 s.
 *
 *   brittle LOG IP:PORT INSTANCE WORK_MS SLOTS QUEUE BRITTLE_S N TIGHT
 *
 * LOG gets a line "TIME_MS INSTANCE WHAT ID": WHAT is "ran", "rejected", "other"
 * (421, for another instance), "lost" (at work as the server fell) or "fall".
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

enum { HEAD_MAX = 16384, DOWN_MS = 3000, SETTLE_MS = 3000, WINDOW_MS = 1000 };
enum { REJECTIONS = 4096 };

static const char *instance;
static int work_ms, slots, queue_max, n_max, tight;
static long long start_ms, brittle_ms, down_until;
static int busy, waiting, falls;
static long long rejected[REJECTIONS];
static int n_rejected;
static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t freed = PTHREAD_COND_INITIALIZER;

static long long
now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* The lock is held. */
static void
note(const char *what, const char *id)
{
    fprintf(record, "%lld %s %s %s\n", now_ms(), instance, what, id);
    fflush(record);
}

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

/* Counts a rejection; the server falls over at one too many. */
static void
reject(const char *id)
{
    long long now = now_ms();
    int n = 0;
    note("rejected", id);
    rejected[n_rejected++ % REJECTIONS] = now;
    for (int i = n_rejected - 1; i >= 0 && n_rejected - i < REJECTIONS &&
                                 now - rejected[i % REJECTIONS] < WINDOW_MS;
         i--) {
        n++;
    }
    if (now >= brittle_ms + SETTLE_MS && n > n_max) {
        char text[32];
        falls++;
        n_rejected = 0;
        down_until = now + DOWN_MS;
        snprintf(text, sizeof(text), "%d", falls);
        note("fall", text);
        pthread_cond_broadcast(&freed);
    }
}

/* Takes a slot, or waits for one.  Returns 0 if the request is turned away, -1
   if the server is down. */
static int
take_slot(const char *id)
{
    int most = now_ms() >= brittle_ms + SETTLE_MS ? tight : queue_max;
    if (now_ms() < down_until) {
        return -1;
    }
    if (busy >= slots && waiting >= most) {
        reject(id);
        return 0;
    }
    if (busy >= slots) {
        waiting++;
        while (busy >= slots && now_ms() >= down_until) {
            pthread_cond_wait(&freed, &lock);
        }
        waiting--;
        if (now_ms() < down_until) {
            return -1;
        }
    }
    busy++;
    return 1;
}

/* Returns 0 if the channel closed. */
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
    char says[64];
    while (read_request(fd, head)) {
        int is_mine = header(head, "X-Expect-Instance", wanted,
                             sizeof(wanted)) == 0 ||
                      strcmp(wanted, instance) == 0;
        int n;
        header(head, "X-Attempt-Id", id, sizeof(id));
        pthread_mutex_lock(&lock);
        int taken = is_mine ? take_slot(id) : 0;
        if (!is_mine) {
            note("other", id);
        }
        pthread_mutex_unlock(&lock);
        if (taken < 0) {
            break;
        }
        says[0] = '\0';
        if (now_ms() >= brittle_ms) {
            snprintf(says, sizeof(says), "Server-Brittle: %d\r\n", n_max);
        }
        if (taken == 0) {
            n = snprintf(answer, sizeof(answer),
                         "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n"
                         "X-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n",
                         is_mine ? "503 Service Unavailable"
                                 : "421 Misdirected Request",
                         id, says);
        }
        else {
            int is_whole = work(fd);
            pthread_mutex_lock(&lock);
            busy--;
            is_whole = is_whole && now_ms() >= down_until;
            note(is_whole ? "ran" : "lost", id);
            pthread_cond_signal(&freed);
            pthread_mutex_unlock(&lock);
            if (!is_whole) {
                break;
            }
            n = snprintf(answer, sizeof(answer),
                         "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                         "X-Response-Seal: %s-%s\r\n%s"
                         "X-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=5\r\n"
                         "Content-Length: 3\r\n\r\nok\n",
                         id, instance, id, says, busy, waiting, slots);
        }
        if (write(fd, answer, (size_t)n) != n) {
            break;
        }
    }
    free(head);
    close(fd);
    return NULL;
}

static int
open_listener(const struct sockaddr_in *at)
{
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (const struct sockaddr *)at, sizeof(*at)) < 0 ||
        listen(fd, 1024) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int
main(int argc, char **argv)
{
    char host[64];
    int on = 1;
    if (argc != 10 || strrchr(argv[2], ':') == NULL) {
        fprintf(stderr, "usage: brittle LOG IP:PORT INSTANCE WORK_MS SLOTS "
                        "QUEUE BRITTLE_S N TIGHT\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    record = fopen(argv[1], "a");
    instance = argv[3];
    work_ms = atoi(argv[4]);
    slots = atoi(argv[5]);
    queue_max = atoi(argv[6]);
    start_ms = now_ms();
    brittle_ms = start_ms + (long long)(atof(argv[7]) * 1000.0);
    n_max = atoi(argv[8]);
    tight = atoi(argv[9]);
    snprintf(host, sizeof(host), "%.*s",
             (int)(strrchr(argv[2], ':') - argv[2]), argv[2]);
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_port = htons((unsigned short)atoi(strrchr(argv[2], ':') + 1));
    if (record == NULL || inet_pton(AF_INET, host, &at.sin_addr) != 1) {
        return 2;
    }
    int listener = open_listener(&at);
    if (listener < 0) {
        perror("brittle");
        return 2;
    }
    for (;;) {
        struct pollfd p = {.fd = listener, .events = POLLIN};
        pthread_mutex_lock(&lock);
        int is_down = now_ms() < down_until;
        pthread_mutex_unlock(&lock);
        if (is_down && listener >= 0) {
            close(listener);
            listener = -1;
        }
        if (!is_down && listener < 0) {
            listener = open_listener(&at);
        }
        if (listener < 0) {
            usleep(10000);
            continue;
        }
        if (poll(&p, 1, 10) <= 0) {
            continue;
        }
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
