/*
 * NAME
 *     caro_engine - one streamed attempt at a model engine
 *
 * The engine speaks the widely used completions interface: POST
 * /v1/completions, answered by server-sent events.  A resumed stream
 * carries the text so far in "prefix" and continues behind it.
 */
#ifndef CARO_ENGINE_H
#define CARO_ENGINE_H

#include "internal/caro_http.h"

/* Priorities told to engines; lower is served first. */
enum {
    CARO_PRIORITY_SHORT_RESUME = 0,
    CARO_PRIORITY_LONG_RESUME = 1,
    CARO_PRIORITY_INTERACTIVE = 2,
    CARO_PRIORITY_BACKGROUND = 3,
    CARO_PRIORITIES = 4
};

/* A resume that reads so many tokens or more gives way to shorter ones. */
enum { CARO_LONG_RESUME_TOKENS_MIN = 4096 };

typedef struct CaroEngineStream CaroEngineStream;

typedef struct {
    int running;
    int waiting;
    int capacity;
} CaroEngineLoad;

typedef enum {
    CARO_ENGINE_TOKEN, /* One token; text is borrowed. */
    CARO_ENGINE_LOAD,  /* A load report in the head of the answer. */
    CARO_ENGINE_END    /* The stream ended; is_whole when by [DONE]. */
} CaroEngineEventKind;

typedef struct {
    CaroEngineEventKind kind;
    union {
        struct {
            const char *text;
            size_t size;
        } token;
        CaroEngineLoad load;
        struct {
            bool is_whole;
            int status; /* HTTP status, or 0 without an answer. */
        } end;
    } u;
} CaroEngineEvent;

/* END comes exactly once and last, unless the stream is cancelled. */
typedef void (*CaroEngineHandler)(void *context, uint64_t id, uint32_t attempt,
                                  const CaroEngineEvent *event);

typedef struct {
    uint64_t id; /* Generation and attempt, given to the handler. */
    uint32_t attempt;
    const char *address;
    const char *model;
    const char *version;
    const char *prompt;
    const char *prefix; /* Text so far, may be empty. */
    size_t prefix_size;
    uint32_t prefix_tokens;
    uint32_t tokens_max; /* Of the whole answer. */
    int priority;        /* Lower is served first. */
} CaroEngineRequest;

/*
 * Opens a stream.  Returns a new object that is released by Cancel, or
 * after END by itself; or NULL when it could not be opened.
 */
CaroEngineStream *CaroEngine_Open(struct event_base *base,
                                  const CaroEngineRequest *request,
                                  CaroEngineHandler handler, void *context);

/* Closes the connection; no event follows.  Allowed inside the handler. */
void CaroEngine_Cancel(CaroEngineStream *stream);

/* Reads a load report ("endpoint-load-metrics", JSON). */
bool CaroEngine_ParseLoad(const char *text, CaroEngineLoad *load);

#endif
