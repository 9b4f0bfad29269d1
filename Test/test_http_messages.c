/*
 * Tests of what a message is: a table of forms, each read whole and in any two
 * parts, and messages with a few random changes that are compared with the
 * grammar.  ROUNDS sets how many of these, SEED their seed.
 */
#include "test.h"

#include "caro_error.h"
#include "http_grammar.h"
#include "internal/caro_http_reader.h"

#include <gsl/gsl_rng.h>

enum { ROUNDS_DEFAULT = 40000, SEED_DEFAULT = 1, TEXT_MAX = 4096 };

/* What the reader makes of a text. */
typedef struct {
    Verdict verdict;
    char body[GRAMMAR_BODY_MAX];
    size_t body_size;
    size_t rest; /* Bytes left in the input. */
    CaroHttpFault fault;
} Reading;

/* Reads one message of a text that arrives in parts ending at the offsets. */
static void
read_parts(bool is_request, const char *text, size_t size, const size_t *ends,
           int n_ends, Reading *out)
{
    CaroHttpReader *r = CaroHttpReader_Create(is_request);
    struct evbuffer *in = evbuffer_new();
    size_t at = 0;
    int code = 0;
    uint64_t offset;
    CaroHttpPiece piece = {.kind = CARO_PIECE_NONE};
    *out = (Reading){.verdict = GRAMMAR_INCOMPLETE};
    for (int i = 0; i <= n_ends && piece.kind != CARO_PIECE_END; i++) {
        size_t end = i == n_ends ? size : ends[i];
        (void)evbuffer_add(in, text + at, end - at);
        at = end;
        do {
            code = CaroHttpReader_Next(r, in, &piece);
            if (code == 0 && piece.kind == CARO_PIECE_BODY) {
                assert_true(out->body_size + piece.body.size <=
                            GRAMMAR_BODY_MAX);
                memcpy(out->body + out->body_size, piece.body.at,
                       piece.body.size);
                out->body_size += piece.body.size;
            }
        } while (code == 0 && piece.kind != CARO_PIECE_NONE &&
                 piece.kind != CARO_PIECE_END);
        if (code < 0) {
            break;
        }
    }
    bool ends_by_close = code == 0 && piece.kind == CARO_PIECE_NONE &&
                         CaroHttpReader_IsInMessage(r) &&
                         CaroHttpReader_Head(r)->is_close_delimited;
    out->rest = evbuffer_get_length(in) + (size - at);
    out->fault = CaroHttpReader_Fault(r, &offset);
    out->verdict = code < 0 ? GRAMMAR_REFUSED
                   : piece.kind == CARO_PIECE_END || ends_by_close
                       ? GRAMMAR_MESSAGE
                       : GRAMMAR_INCOMPLETE;
    assert_true(offset <= size);
    evbuffer_free(in);
    CaroHttpReader_Destroy(r);
}

static void
read_whole(bool is_request, const char *text, size_t size, Reading *out)
{
    read_parts(is_request, text, size, NULL, 0, out);
}

/* A form of the framing of a body in chunks, with "hello" as its data. */
typedef struct {
    const char *text;
    size_t size;
} Form;

#define FORM(text)                                                            \
    {                                                                         \
        text, sizeof(text) - 1                                                \
    }

static const Form sound_forms[] = {
    FORM("5\r\nhello\r\n0\r\n\r\n"),
    FORM("2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"),
    FORM("5;a\r\nhello\r\n0\r\n\r\n"),
    FORM("5;a=b;c=d\r\nhello\r\n0;e\r\n\r\n"),
    FORM("5 ; a = b\r\nhello\r\n0\r\n\r\n"),
    FORM("5;a=\"b;c \\\" d\"\r\nhello\r\n0\r\n\r\n"),
    FORM("5;a=\"\x80\xff\\\x80\"\r\nhello\r\n0\r\n\r\n"),
    FORM("0005\r\nhello\r\n000\r\n\r\n"),
    FORM("0000000000000005\r\nhello\r\n0\r\n\r\n"),
    FORM("1\r\nh\r\n4\r\nello\r\n0\r\nNote: a\r\n\r\n"),
    FORM("5\r\nhello\r\n0\r\nNote:\r\nNote: \t b c \r\n\r\n"),
    FORM("5\r\nhello\r\n0\r\nNote: \x80\xff\r\n\r\n"),
    FORM("5\r\nhello\r\n0\r\nContent-Length: 9\r\n\r\n"),
};

static const Form unsound_forms[] = {
    FORM("5\nhello\r\n0\r\n\r\n"),
    FORM("5;\nhello\r\n0\r\n\r\n"),
    FORM("5;a\nb\r\nhello\r\n0\r\n\r\n"),
    FORM("5;a=\"\n\"\r\nhello\r\n0\r\n\r\n"),
    FORM("5;a\0b\r\nhello\r\n0\r\n\r\n"),
    FORM("5;a\vb\r\nhello\r\n0\r\n\r\n"),
    FORM("5;a=\"b\r\nhello\r\n0\r\n\r\n"),
    FORM("5;\r\nhello\r\n0\r\n\r\n"),
    FORM("5;a=\r\nhello\r\n0\r\n\r\n"),
    FORM("5;a \r\nhello\r\n0\r\n\r\n"),
    FORM("5\rXhello\r\n0\r\n\r\n"),
    FORM("5\r\r\nhello\r\n0\r\n\r\n"),
    FORM("5\r\nhelloXY0\r\n\r\n"),
    FORM("5\r\nhello\rX0\r\n\r\n"),
    FORM("5\r\nhello\n0\r\n\r\n"),
    FORM("5\r\nhello0\r\n\r\n"),
    FORM("5\r\nhello\n\r0\r\n\r\n"),
    FORM("5 \r\nhello\r\n0\r\n\r\n"),
    FORM("5\t\r\nhello\r\n0\r\n\r\n"),
    FORM("5 5\r\nhello\r\n0\r\n\r\n"),
    FORM(" 5\r\nhello\r\n0\r\n\r\n"),
    FORM("0x5\r\nhello\r\n0\r\n\r\n"),
    FORM("+5\r\nhello\r\n0\r\n\r\n"),
    FORM("-5\r\nhello\r\n0\r\n\r\n"),
    FORM("0_5\r\nhello\r\n0\r\n\r\n"),
    FORM("\r\nhello\r\n0\r\n\r\n"),
    FORM(";a\r\nhello\r\n0\r\n\r\n"),
    FORM("00000000000000005\r\nhello\r\n0\r\n\r\n"),
    FORM("10000000000000005\r\nhello\r\n0\r\n\r\n"),
    FORM("5\r\nhello\r\n0\r\n\n"),
    FORM("5\r\nhello\r\n0\n\r\n"),
    FORM("5\r\nhello\r\n0\r\n\rX"),
    FORM("5\r\nhello\r\n0\r\nNote: a\n\n"),
    FORM("5\r\nhello\r\n0\r\nNote: a\r\n\n"),
    FORM("5\r\nhello\r\n0\r\nNote: a\n\r\n"),
    FORM("5\r\nhello\r\n0\r\nNote: a\r\n b\r\n\r\n"),
    FORM("5\r\nhello\r\n0\r\nNote : a\r\n\r\n"),
    FORM("5\r\nhello\r\n0\r\n: a\r\n\r\n"),
    FORM("5\r\nhello\r\n0\r\nNote\r\n\r\n"),
    FORM("5\r\nhello\r\n0\r\nNote: a\0\r\n\r\n"),
    FORM("5\r\nhello\r\n0\r\nNote: a\rb\r\n\r\n"),
};

static const char *const chunked_heads[] = {
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
};

#define NEXT_REQUEST "POST /inner HTTP/1.1\r\nHost: a\r\n\r\n"

/* Reads the form as the body of a request or a response, whole, cut at each
   byte, and byte by byte. */
static void
check_form(bool is_request, const Form *form, bool is_sound)
{
    static char text[TEXT_MAX];
    static Reading reading;
    size_t ends[TEXT_MAX];
    size_t head = strlen(chunked_heads[is_request]);
    size_t rest = strlen(NEXT_REQUEST);
    size_t size = head + form->size + rest;
    memcpy(text, chunked_heads[is_request], head);
    memcpy(text + head, form->text, form->size);
    memcpy(text + head + form->size, NEXT_REQUEST, rest);
    for (size_t i = 0; i < size; i++) {
        ends[i] = i + 1;
    }
    for (size_t cut = 0; cut <= size; cut++) {
        if (cut == size) {
            read_parts(is_request, text, size, ends, (int)size, &reading);
        }
        else {
            read_parts(is_request, text, size, &cut, 1, &reading);
        }
        if ((reading.verdict == GRAMMAR_MESSAGE) != is_sound ||
            (!is_sound && reading.verdict != GRAMMAR_REFUSED)) {
            fail_msg("form \"%s\", %s, cut at %zu: verdict %d", form->text,
                     is_request ? "request" : "response", cut,
                     (int)reading.verdict);
        }
        if (is_sound) {
            assert_int_equal(reading.body_size, 5);
            assert_memory_equal(reading.body, "hello", 5);
            assert_int_equal(reading.rest, rest);
        }
    }
}

/* Guards against a request that runs although its text stands inside the body
   of another one, and against a broken response that is taken for whole. */
static void
test_unsound_chunks_are_refused(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(unsound_forms) / sizeof(Form); i++) {
        check_form(true, &unsound_forms[i], false);
        check_form(false, &unsound_forms[i], false);
    }
}

static void
test_sound_chunks_are_accepted(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(sound_forms) / sizeof(Form); i++) {
        check_form(true, &sound_forms[i], true);
        check_form(false, &sound_forms[i], true);
    }
}

#define HOST "Host: a\r\n"

typedef struct {
    const char *text;
    CaroHttpFault fault;
} HeadForm;

static const HeadForm request_heads[] = {
    {"GET / HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_NONE},
    {"GET / HTTP/1.2\r\n" HOST, CARO_HTTP_FAULT_NONE},
    {"GET / HTTP/1.0\r\n", CARO_HTTP_FAULT_NONE},
    {"GET http://A/x?y HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_NONE},
    {"GET HTTP://a HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_NONE},
    {"OPTIONS * HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_NONE},
    {"M-SEARCH /x%2Fy;a=b,c@:!$&'()*+~ HTTP/1.1\r\n" HOST,
     CARO_HTTP_FAULT_NONE},
    {"GET /?a[]={\"b|c\"}&<^`> HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_NONE},
    {"GET /a.b/..c/...?x=../.. HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_NONE},
    {"POST / HTTP/1.1\r\n" HOST "Content-Length:\t0\t\r\n",
     CARO_HTTP_FAULT_NONE},
    {"POST / HTTP/1.1\r\n" HOST "Content-Length: 00\r\n",
     CARO_HTTP_FAULT_NONE},
    {"GET / HTTP/1.1\r\nHost: [::1]:80\r\n", CARO_HTTP_FAULT_NONE},
    {"GET / HTTP/1.1\r\n" HOST "Accept: a\r\nAccept: b\r\nX:\r\n",
     CARO_HTTP_FAULT_NONE},
    {"GET / HTTP/1.1\r\n" HOST "Connection: close, , X-Own\r\n",
     CARO_HTTP_FAULT_NONE},
    {"GET  / HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_START_LINE},
    {"GET /  HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_START_LINE},
    {"GET / http/1.1\r\n" HOST, CARO_HTTP_FAULT_START_LINE},
    {"GET / HTTP/1.10\r\n" HOST, CARO_HTTP_FAULT_START_LINE},
    {"GET / HTTP/1.1 \r\n" HOST, CARO_HTTP_FAULT_START_LINE},
    {"G(T / HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_START_LINE},
    {"GET /\t HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_START_LINE},
    {"GET /\x80 HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_START_LINE},
    {"GET / HTTP/2.0\r\n" HOST, CARO_HTTP_FAULT_VERSION},
    {"GET / HTTP/0.9\r\n" HOST, CARO_HTTP_FAULT_VERSION},
    {"GET /#y HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /?a#y HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /a\\b HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /a|b HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /%2 HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /%zz HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /?%2 HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /o/../l/x HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /l/%2e%2E/o/x HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /l/.%2e%2fo/x HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /l/..;a/o/x HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /l/..%5co HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET /l/. HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET x HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET * HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"CONNECT a:80 HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET http://b/ HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET http://x@a/ HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET https://a/ HTTP/1.1\r\n" HOST, CARO_HTTP_FAULT_TARGET},
    {"GET / HTTP/1.1\r\n", CARO_HTTP_FAULT_HOST},
    {"GET / HTTP/1.1\r\nHost: a, b\r\n", CARO_HTTP_FAULT_HOST},
    {"GET / HTTP/1.1\r\nHost: x@a\r\n", CARO_HTTP_FAULT_HOST},
    {"GET / HTTP/1.1\r\nHost: a/b\r\n", CARO_HTTP_FAULT_HOST},
    {"GET / HTTP/1.1\r\n" HOST HOST, CARO_HTTP_FAULT_REPEATED},
    {"GET / HTTP/1.1\r\n" HOST "X-Api-Key: a\r\nx-api-key: a\r\n",
     CARO_HTTP_FAULT_REPEATED},
    {"GET / HTTP/1.1\r\n" HOST "X-Attempt-Id: a\r\nX-Attempt-Id: b\r\n",
     CARO_HTTP_FAULT_REPEATED},
    {"GET / HTTP/1.1\r\n" HOST "X-Deadline-Ms: 1\r\nX-Deadline-Ms: 2\r\n",
     CARO_HTTP_FAULT_REPEATED},
    {"GET / HTTP/1.1\r\n" HOST "Content-Length: 0\r\nContent-Length: 0\r\n",
     CARO_HTTP_FAULT_REPEATED},
    {"GET / HTTP/1.1\r\n" HOST "Connection: close, content-length\r\n",
     CARO_HTTP_FAULT_CONNECTION},
    {"GET / HTTP/1.1\r\n" HOST "Connection: a\r\nConnection: X-Api-Key\r\n",
     CARO_HTTP_FAULT_CONNECTION},
    {"GET / HTTP/1.1\r\n" HOST "Content-Length: +2\r\n",
     CARO_HTTP_FAULT_LENGTH},
    {"GET / HTTP/1.1\r\n" HOST "Content-Length: 0x2\r\n",
     CARO_HTTP_FAULT_LENGTH},
    {"GET / HTTP/1.1\r\n" HOST "Content-Length: 2, 2\r\n",
     CARO_HTTP_FAULT_LENGTH},
    {"GET / HTTP/1.1\r\n" HOST "Content-Length:\r\n", CARO_HTTP_FAULT_LENGTH},
    {"GET / HTTP/1.1\r\n" HOST "Transfer-Encoding: gzip, chunked\r\n",
     CARO_HTTP_FAULT_CODING},
    {"GET / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked, chunked\r\n",
     CARO_HTTP_FAULT_CODING},
    {"GET / HTTP/1.1\r\n" HOST "Transfer-Encoding:\r\n",
     CARO_HTTP_FAULT_CODING},
    {"GET / HTTP/1.0\r\n" HOST "Transfer-Encoding: chunked\r\n",
     CARO_HTTP_FAULT_CODING},
    {"GET / HTTP/1.1\r\n" HOST
     "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
     CARO_HTTP_FAULT_LENGTH_AND_CODING},
    {"GET / HTTP/1.1\r\n" HOST "Content-Length : 2\r\n",
     CARO_HTTP_FAULT_FIELD_NAME},
    {"GET / HTTP/1.1\r\n" HOST ": 2\r\n", CARO_HTTP_FAULT_FIELD_NAME},
    {"GET / HTTP/1.1\r\n" HOST "X\r\n", CARO_HTTP_FAULT_FIELD_NAME},
    {"GET / HTTP/1.1\r\n" HOST "X: a\v\r\n", CARO_HTTP_FAULT_FIELD_VALUE},
    {"GET / HTTP/1.1\r\n" HOST "X: a\r\n b\r\n", CARO_HTTP_FAULT_FOLDED},
    {"GET / HTTP/1.1\r\n" HOST "X: a\n", CARO_HTTP_FAULT_LINE_END},
    {"GET / HTTP/1.1\n" HOST, CARO_HTTP_FAULT_LINE_END},
    {"GET / HTTP/1.1\r\n" HOST "X: a\rY: b\r\n", CARO_HTTP_FAULT_LINE_END},
    {"GET / HTTP/1.1\r\n" HOST "Connection: upgrade\r\nUpgrade: h2c\r\n",
     CARO_HTTP_FAULT_UPGRADE},
};

static const HeadForm response_heads[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", CARO_HTTP_FAULT_NONE},
    {"HTTP/1.1 200\r\nContent-Length: 0\r\n", CARO_HTTP_FAULT_NONE},
    {"HTTP/1.1 200 \r\nContent-Length: 0\r\n", CARO_HTTP_FAULT_NONE},
    {"HTTP/1.0 200 \xff\r\nContent-Length: 0\r\n", CARO_HTTP_FAULT_NONE},
    {"HTTP/1.1 304 X\r\nContent-Length: 5\r\n", CARO_HTTP_FAULT_NONE},
    {"HTTP/1.1 204 X\r\nContent-Length: 0\r\n", CARO_HTTP_FAULT_NONE},
    {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: Server-Limit\r\n"
     "Server-Limit: 2\r\n",
     CARO_HTTP_FAULT_NONE},
    {"HTTP/1.1 204 X\r\nContent-Length: 5\r\n", CARO_HTTP_FAULT_BODY},
    {"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n", CARO_HTTP_FAULT_BODY},
    {"HTTP/1.1 103 X\r\nContent-Length: 5\r\n", CARO_HTTP_FAULT_BODY},
    {"HTTP/1.1 101 X\r\n", CARO_HTTP_FAULT_UPGRADE},
    {"HTTP/1.1 099 X\r\n", CARO_HTTP_FAULT_STATUS},
    {"HTTP/1.1 600 X\r\n", CARO_HTTP_FAULT_STATUS},
    {"HTTP/1.1 2000 X\r\n", CARO_HTTP_FAULT_STATUS},
    {"HTTP/1.1 20 X\r\n", CARO_HTTP_FAULT_STATUS},
    {"HTTP/1.1  200 X\r\n", CARO_HTTP_FAULT_STATUS},
    {"HTTP/2.0 200 X\r\n", CARO_HTTP_FAULT_VERSION},
    {"\r\nHTTP/1.1 200 X\r\n", CARO_HTTP_FAULT_START_LINE},
    {"http/1.1 200 X\r\n", CARO_HTTP_FAULT_START_LINE},
    {"HTTP/1.1 200 X\r\nContent-Length: 0\r\nX-Response-Seal: a\r\n"
     "X-Response-Seal: b\r\n",
     CARO_HTTP_FAULT_REPEATED},
    {"HTTP/1.1 200 X\r\nContent-Length: 0\r\nX-Attempt-Id: a\r\n"
     "X-Attempt-Id: a\r\n",
     CARO_HTTP_FAULT_REPEATED},
    {"HTTP/1.1 200 X\r\nConnection: transfer-encoding\r\n"
     "Transfer-Encoding: chunked\r\n",
     CARO_HTTP_FAULT_CONNECTION},
};

static void
check_heads(bool is_request, const HeadForm *forms, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        char text[TEXT_MAX];
        static Reading reading;
        (void)snprintf(text, sizeof(text), "%s\r\n", forms[i].text);
        size_t size = strlen(text);
        for (size_t cut = 0; cut < size; cut++) {
            read_parts(is_request, text, size, &cut, 1, &reading);
            if (reading.fault != forms[i].fault) {
                fail_msg("head \"%s\", cut at %zu: %s instead of %s",
                         forms[i].text, cut, CaroHttpFault_Name(reading.fault),
                         CaroHttpFault_Name(forms[i].fault));
            }
        }
    }
}

static void
test_heads_are_read_by_the_grammar(void **state)
{
    (void)state;
    check_heads(true, request_heads, sizeof(request_heads) / sizeof(HeadForm));
    check_heads(false, response_heads,
                sizeof(response_heads) / sizeof(HeadForm));
}

/* Target and host of a request in absolute-form are those that it names. */
static void
test_absolute_target_is_reduced_to_its_path(void **state)
{
    (void)state;
    static const char *const targets[][2] = {
        {"http://a/x?y=z", "/x?y=z"}, {"http://a", "/"}, {"/x", "/x"}};
    for (size_t i = 0; i < 3; i++) {
        char text[128];
        CaroHttpPiece piece;
        CaroHttpReader *r = CaroHttpReader_Create(true);
        struct evbuffer *in = evbuffer_new();
        (void)snprintf(text, sizeof(text), "GET %s HTTP/1.1\r\n" HOST "\r\n",
                       targets[i][0]);
        (void)evbuffer_add(in, text, strlen(text));
        assert_int_equal(CaroHttpReader_Next(r, in, &piece), 0);
        assert_true(
            CaroText_Equals(CaroHttpReader_Head(r)->target, targets[i][1]));
        evbuffer_free(in);
        CaroHttpReader_Destroy(r);
    }
}

/* Extensions and trailers are bounded over a whole body. */
static void
test_extensions_and_trailers_are_bounded(void **state)
{
    (void)state;
    static const struct {
        const char *start;
        const char *repeated;
        CaroHttpFault fault;
    } endless[] = {
        {"5;a=", "b", CARO_HTTP_FAULT_EXTENSION_SIZE},
        {"", "1;abcdefgh\r\nx\r\n", CARO_HTTP_FAULT_EXTENSION_SIZE},
        {"0\r\n", "Note: a\r\n", CARO_HTTP_FAULT_TRAILER_SIZE},
        {"0\r\nNote: ", "a", CARO_HTTP_FAULT_TRAILER_SIZE},
        {"", "0", CARO_HTTP_FAULT_CHUNK_SIZE},
    };
    for (size_t i = 0; i < sizeof(endless) / sizeof(endless[0]); i++) {
        CaroHttpReader *r = CaroHttpReader_Create(true);
        struct evbuffer *in = evbuffer_new();
        CaroHttpPiece piece;
        uint64_t offset;
        size_t sent = 0;
        int code = 0;
        CaroHttpReader_SetHeadMax(r, 512);
        (void)evbuffer_add(in, chunked_heads[1], strlen(chunked_heads[1]));
        (void)evbuffer_add(in, endless[i].start, strlen(endless[i].start));
        while (code == 0 && sent < 1 << 20) {
            (void)evbuffer_add(in, endless[i].repeated,
                               strlen(endless[i].repeated));
            sent += strlen(endless[i].repeated);
            do {
                code = CaroHttpReader_Next(r, in, &piece);
            } while (code == 0 && piece.kind != CARO_PIECE_NONE);
        }
        assert_int_equal(CaroHttpReader_Fault(r, &offset), endless[i].fault);
        assert_true(offset <= 512 * 3);
        /* Nothing is read behind an error. */
        (void)evbuffer_add(in, NEXT_REQUEST, strlen(NEXT_REQUEST));
        assert_true(CaroHttpReader_Next(r, in, &piece) < 0);
        evbuffer_free(in);
        CaroHttpReader_Destroy(r);
    }
}

static void
test_refused_messages_are_counted_by_cause(void **state)
{
    (void)state;
    static Reading reading;
    const char *text = "GET /.. HTTP/1.1\r\n" HOST "\r\n";
    uint64_t before =
        CaroHttpFault_Count(CARO_HTTP_REQUEST, CARO_HTTP_FAULT_TARGET);
    read_whole(true, text, strlen(text), &reading);
    assert_int_equal(
        CaroHttpFault_Count(CARO_HTTP_REQUEST, CARO_HTTP_FAULT_TARGET),
        before + 1);
    struct evbuffer *out = evbuffer_new();
    CaroHttpFault_WriteCounters(out);
    assert_true(
        evbuffer_search(out, "requests_malformed_target ", 26, NULL).pos >= 0);
    evbuffer_free(out);
}

/* --- random messages --- */

static const gsl_rng *rng;

static size_t
draw(size_t n)
{
    return (size_t)gsl_rng_uniform_int(rng, (unsigned long)n);
}

#define PICK(list) (list[draw(sizeof(list) / sizeof((list)[0]))])

static size_t
append(char *text, size_t n, const char *more)
{
    size_t size = strlen(more);
    memcpy(text + n, more, size + 1);
    return n + size;
}

static size_t
append_chunks(char *text, size_t n)
{
    static const char *const lines[] = {
        "3\r\nabc\r\n",
        "a\r\n0\r\n\r\nGET /\r\n",
        "03;x\r\nabc\r\n",
        "2;x=y\r\n\r\n\r\n",
        "1 ; x = \"y\\\"z\"\r\na\r\n",
        "4;q=\"\x85;\t\"\r\n\n\n\r\r\r\n",
    };
    static const char *const trailers[] = {"Note: a\r\n", "Note:\r\n",
                                           "X-Y: \tb \xfc\r\n"};
    for (size_t i = draw(4); i > 0; i--) {
        n = append(text, n, PICK(lines));
    }
    n = append(text, n, draw(3) == 0 ? "00;z\r\n" : "0\r\n");
    for (size_t i = draw(3); i > 0; i--) {
        n = append(text, n, PICK(trailers));
    }
    return append(text, n, "\r\n");
}

/* Writes a sound message. */
static size_t
generate(bool is_request, char *text)
{
    static const char *const requests[] = {
        "POST /o/x HTTP/1.1\r\nHost: a\r\n",
        "GET /l/x%2Fy?z=[1] HTTP/1.1\r\nHost: a:80\r\n",
        "PUT http://a/b HTTP/1.1\r\nHost: a\r\n",
        "\r\nPOST / HTTP/1.0\r\nHost:a\r\n",
        "OPTIONS * HTTP/1.1\r\nHost: a\r\n"};
    static const char *const responses[] = {
        "HTTP/1.1 200 OK\r\n", "HTTP/1.1 404\r\n", "HTTP/1.0 500 \r\n",
        "HTTP/1.1 304 X\r\n", "HTTP/1.1 204 X\r\n"};
    static const char *const fields[] = {
        "Accept: a,b\r\n", "X-Own:\r\n", "X-Attempt-Id: 1\r\n",
        "Connection: keep-alive\r\n", "X-Text: \t \xe4 \r\n"};
    const char *start = is_request ? PICK(requests) : PICK(responses);
    size_t n = append(text, 0, start);
    for (size_t i = draw(3); i > 0; i--) {
        n = append(text, n, PICK(fields));
    }
    bool is_old = strstr(start, "/1.0") != NULL;
    bool has_none =
        strstr(start, " 304 ") != NULL || strstr(start, " 204 ") != NULL;
    switch (draw(is_old || has_none ? 2 : 4)) {
    case 0:
        return append(text, n, "\r\n");
    case 1:
        return append(text, n,
                      has_none ? "Content-Length: 0\r\n\r\n"
                               : "Content-Length:3\r\n\r\nabc");
    default:
        n = append(text, n, "Transfer-Encoding: chunked\r\n\r\n");
        return append_chunks(text, n);
    }
}

/* Changes one place of the text; returns its new size. */
static size_t
mutate(char *text, size_t size)
{
    static const char bytes[] =
        "\r\n\r\n \t:;=\"\\\0\v0129afAxX,%/.#?\x80\x7f+-";
    size_t at = draw(size);
    char c = bytes[draw(sizeof(bytes) - 1)];
    size_t n = 1 + draw(8);
    n = n < size - at ? n : size - at;
    switch (draw(7)) {
    case 0: /* Removes a byte. */
        memmove(text + at, text + at + 1, size - at - 1);
        return size - 1;
    case 1: /* Inserts a byte. */
        memmove(text + at + 1, text + at, size - at);
        text[at] = c;
        return size + 1;
    case 2: /* Repeats some bytes. */
        memmove(text + at + n, text + at, size - at);
        return size + n;
    case 3: { /* Swaps two bytes. */
        size_t other = draw(size);
        char t = text[at];
        text[at] = text[other];
        text[other] = t;
        return size;
    }
    case 4: { /* Repeats or removes a line. */
        char *line = memchr(text + at, '\n', size - at);
        size_t from = line == NULL ? at : (size_t)(line + 1 - text);
        char *end =
            from < size ? memchr(text + from, '\n', size - from) : NULL;
        size_t length = end == NULL ? 0 : (size_t)(end + 1 - text) - from;
        if (draw(2) == 0) {
            memmove(text + from, text + from + length, size - from - length);
            return size - length;
        }
        memmove(text + from + length, text + from, size - from);
        return size + length;
    }
    case 5: { /* Adds a line. */
        static const char *const lines[] = {"Content-Length: 3\r\n",
                                            "Transfer-Encoding: chunked\r\n",
                                            "Host: b\r\n",
                                            " folded\r\n",
                                            "Connection: close, Host\r\n",
                                            "0\r\n",
                                            "\r\n"};
        const char *more = PICK(lines);
        char *line = memchr(text + at, '\n', size - at);
        at = line == NULL ? at : (size_t)(line + 1 - text);
        memmove(text + at + strlen(more), text + at, size - at);
        memcpy(text + at, more, strlen(more));
        return size + strlen(more);
    }
    default:
        text[at] = c;
        return size;
    }
}

static void
print_text(const char *text, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        unsigned char c = (unsigned char)text[i];
        if (c >= ' ' && c < 0x7f) {
            (void)fputc(c, stderr);
        }
        else {
            (void)fprintf(stderr, c == '\n' ? "\\n\n" : "\\x%02x", c);
        }
    }
    (void)fputc('\n', stderr);
}

/* Reader and grammar accept the same messages, with the same body and the same
   rest, whatever the parts in which the bytes arrive. */
static void
compare(bool is_request, const char *text, size_t size, long round)
{
    static GrammarResult expected;
    static Reading got;
    size_t ends[8];
    int n_ends = 0;
    size_t at = 0;
    while (n_ends < 8 && at < size && draw(4) != 0) {
        at += draw(size - at + 1);
        ends[n_ends++] = at;
    }
    grammar_read(is_request, text, size, &expected);
    read_parts(is_request, text, size, ends, n_ends, &got);
    bool is_same =
        expected.verdict == GRAMMAR_MESSAGE
            ? got.verdict == GRAMMAR_MESSAGE &&
                  got.body_size == expected.body_size &&
                  memcmp(got.body, expected.body, got.body_size) == 0 &&
                  (got.rest == size - expected.size)
            : got.verdict != GRAMMAR_MESSAGE &&
                  (expected.verdict != GRAMMAR_REFUSED ||
                   got.verdict == GRAMMAR_REFUSED);
    if (!is_same) {
        print_text(text, size);
        fail_msg("round %ld, %s: grammar %d, reader %d (%s), bodies of %zu "
                 "and %zu bytes, rests of %zu and %zu",
                 round, is_request ? "request" : "response",
                 (int)expected.verdict, (int)got.verdict,
                 CaroHttpFault_Name(got.fault), expected.body_size,
                 got.body_size, size - expected.size, got.rest);
    }
}

static long
setting(const char *name, long default_value)
{
    const char *text = getenv(name);
    return text == NULL ? default_value : atol(text);
}

static void
test_changed_messages_are_read_by_the_grammar(void **state)
{
    (void)state;
    static char text[TEXT_MAX];
    gsl_rng *generator = gsl_rng_alloc(gsl_rng_taus2);
    long rounds = setting("ROUNDS", ROUNDS_DEFAULT);
    gsl_rng_set(generator, (unsigned long)setting("SEED", SEED_DEFAULT));
    rng = generator;
    for (long i = 0; i < rounds; i++) {
        bool is_request = draw(2) == 0;
        size_t size = generate(is_request, text);
        for (size_t n = draw(4); n > 0; n--) {
            size = mutate(text, size);
        }
        /* The lines that follow complete what a change left open. */
        size = size + strlen(NEXT_REQUEST);
        memcpy(text + size - strlen(NEXT_REQUEST), NEXT_REQUEST,
               strlen(NEXT_REQUEST));
        compare(is_request, text, size, i);
    }
    gsl_rng_free(generator);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_unsound_chunks_are_refused),
        cmocka_unit_test(test_sound_chunks_are_accepted),
        cmocka_unit_test(test_heads_are_read_by_the_grammar),
        cmocka_unit_test(test_absolute_target_is_reduced_to_its_path),
        cmocka_unit_test(test_extensions_and_trailers_are_bounded),
        cmocka_unit_test(test_refused_messages_are_counted_by_cause),
        cmocka_unit_test(test_changed_messages_are_read_by_the_grammar),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
