/*
 * Parser of the operators' command language.
 *
 * The first word of a line is matched against the verbs by prefix.  The
 * error for an ambiguous word names two verbs that match; the error for an
 * unknown word names the verb with the smallest edit distance.
 */
#include "internal/caro_command.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { WORDS_MAX = 6, WORD_SIZE = 64, MINUTE_MS = 60000, DAY_MS = 86400000 };

/* A command of the language. */
typedef struct {
    const char *name;
    CaroCommandKind kind;
    int args_min; /* Words after the verb. */
    int args_max;
    const char *usage;
} Verb;

static const Verb verbs[] = {
    {"st", CARO_CMD_STATUS, 0, 0, "st"},
    {"vm", CARO_CMD_VMS, 0, 0, "vm"},
    {"up", CARO_CMD_UPSTREAMS, 0, 1, "up [DEPLOYMENT]"},
    {"dep", CARO_CMD_DEPLOYMENTS, 0, 0, "dep"},
    {"mv", CARO_CMD_MOVE, 4, 4, "mv DEPLOYMENT VERSION by TIME"},
    {"undo", CARO_CMD_UNDO, 1, 1, "undo DEPLOYMENT"},
    {"why", CARO_CMD_WHY, 0, 1, "why [NAME]"},
    {"drain", CARO_CMD_DRAIN, 1, 1, "drain VM"},
    {"top", CARO_CMD_TOP, 0, 1, "top [accounts]"},
    {"help", CARO_CMD_HELP, 0, 0, "help"},
};

enum { N_VERBS = sizeof(verbs) / sizeof(verbs[0]) };

/* The words of a line. */
typedef struct {
    char words[WORDS_MAX][WORD_SIZE];
    int n;
} Words;

static int
split_words(const char *line, Words *w, CaroError *err)
{
    w->n = 0;
    while (*line != '\0') {
        while (isspace((unsigned char)*line)) {
            line++;
        }
        size_t size = strcspn(line, " \t\r\n");
        if (size == 0) {
            break;
        }
        if (w->n == WORDS_MAX || size >= WORD_SIZE) {
            return CaroError_Set(err, CARO_ERR_INPUT, "command", NULL,
                                 "found too many or too long words; "
                                 "try help");
        }
        memcpy(w->words[w->n], line, size);
        w->words[w->n][size] = '\0';
        w->n++;
        line += size;
    }
    return 0;
}

static int
min_int(int a, int b)
{
    return a < b ? a : b;
}

/* Returns the Levenshtein distance of the first LENGTH_MAX bytes of two
   words. */
static int
edit_distance(const char *a, const char *b)
{
    enum { LENGTH_MAX = 16 };
    int row[LENGTH_MAX + 1];
    int n = min_int((int)strlen(a), LENGTH_MAX);
    int m = min_int((int)strlen(b), LENGTH_MAX);
    for (int j = 0; j <= m; j++) {
        row[j] = j;
    }
    for (int i = 1; i <= n; i++) {
        int diagonal = row[0];
        row[0] = i;
        for (int j = 1; j <= m; j++) {
            int above = row[j];
            int replaced = diagonal + (a[i - 1] != b[j - 1]);
            row[j] = min_int(replaced, min_int(above, row[j - 1]) + 1);
            diagonal = above;
        }
    }
    return row[m];
}

static const Verb *
nearest_verb(const char *word)
{
    const Verb *best = &verbs[0];
    for (int i = 1; i < N_VERBS; i++) {
        if (edit_distance(word, verbs[i].name) <
            edit_distance(word, best->name)) {
            best = &verbs[i];
        }
    }
    return best;
}

/* Returns the verb that equals the word, or the only one that begins with it;
   otherwise NULL with *err filled. */
static const Verb *
find_verb(const char *word, CaroError *err)
{
    const Verb *found = NULL;
    for (int i = 0; i < N_VERBS; i++) {
        if (strcmp(verbs[i].name, word) == 0) {
            return &verbs[i];
        }
        if (strncmp(verbs[i].name, word, strlen(word)) != 0) {
            continue;
        }
        if (found != NULL) {
            (void)CaroError_Set(err, CARO_ERR_INPUT, "command", NULL,
                                "%.20s may be %s or %s", word, found->name,
                                verbs[i].name);
            return NULL;
        }
        found = &verbs[i];
    }
    if (found == NULL) {
        (void)CaroError_Set(err, CARO_ERR_INPUT, "command", NULL,
                            "found %.20s; nearest is: %s", word,
                            nearest_verb(word)->usage);
    }
    return found;
}

/* Parses a time: "HH:MM" is the next such time in UTC; "+90s", "+15m" or "+2h"
   is relative to now_ms. */
static bool
parse_time(const char *text, int64_t now_ms, int64_t *out)
{
    int hour;
    int minute;
    char end;
    long n;
    char unit;
    if (sscanf(text, "+%9ld%c%c", &n, &unit, &end) == 2 && n > 0) {
        int64_t scale = unit == 's'   ? 1000
                        : unit == 'm' ? MINUTE_MS
                        : unit == 'h' ? 60 * MINUTE_MS
                                      : 0;
        *out = now_ms + n * scale;
        return scale > 0;
    }
    if (sscanf(text, "%2d:%2d%c", &hour, &minute, &end) != 2 || hour < 0 ||
        hour > 23 || minute < 0 || minute > 59) {
        return false;
    }
    int64_t day = now_ms / DAY_MS * DAY_MS;
    *out = day + (hour * 60 + minute) * (int64_t)MINUTE_MS;
    if (*out <= now_ms) {
        *out += DAY_MS;
    }
    return true;
}

static int
parse_name(const char *word, char out[CARO_NAME_SIZE], CaroError *err)
{
    size_t n = strlen(word);
    if (n >= CARO_NAME_SIZE ||
        strspn(word, "abcdefghijklmnopqrstuvwxyz0123456789-") != n) {
        return CaroError_Set(err, CARO_ERR_INPUT, "command", NULL,
                             "found %.20s; a name has a-z, 0-9 and -", word);
    }
    (void)snprintf(out, CARO_NAME_SIZE, "%s", word);
    return 0;
}

static int
parse_move(const Words *w, int64_t now_ms, CaroCommand *c, CaroError *err)
{
    if (strcmp(w->words[3], "by") != 0) {
        return CaroError_Set(err, CARO_ERR_INPUT, "command", NULL,
                             "found %.20s; expected by", w->words[3]);
    }
    if (!parse_time(w->words[4], now_ms, &c->move.end_ms)) {
        return CaroError_Set(err, CARO_ERR_INPUT, "command", NULL,
                             "found %.20s; expected 17:30 or +15m",
                             w->words[4]);
    }
    return parse_name(w->words[2], c->move.version, err);
}

int
CaroCommand_Parse(const char *line, int64_t now_ms, CaroCommand *command,
                  CaroError *err)
{
    Words w;
    memset(command, 0, sizeof(*command));
    int rc = split_words(line, &w, err);
    if (rc < 0) {
        return rc;
    }
    if (w.n == 0) {
        return CaroError_Set(err, CARO_ERR_INPUT, "command", NULL,
                             "found nothing; try help");
    }
    const Verb *verb = find_verb(w.words[0], err);
    if (verb == NULL) {
        return CARO_ERR_INPUT;
    }
    command->kind = verb->kind;
    if (w.n - 1 < verb->args_min || w.n - 1 > verb->args_max) {
        return CaroError_Set(err, CARO_ERR_INPUT, "command", NULL,
                             "expected: %s", verb->usage);
    }
    if (w.n > 1) {
        rc = parse_name(w.words[1], command->subject, err);
        if (rc < 0) {
            return rc;
        }
    }
    return verb->kind == CARO_CMD_MOVE ? parse_move(&w, now_ms, command, err)
                                       : 0;
}
