/*
 * NAME
 *     caro_engine - client of a model engine: one streamed completion
 *
 * The engine has the widely used completions interface: POST /v1/completions,
 * answered by server-sent events.  A request that resumes a generation has the
 * text generated so far in "prefix"; the engine continues after it.
 */
#ifndef CARO_ENGINE_H
#define CARO_ENGINE_H

#include "internal/caro_types.h"

#include <event2/event.h>
#include <jansson.h>

/* Priorities sent to engines; lower values are served first. */
enum {
    CARO_PRIORITY_SHORT_RESUME = 0,
    CARO_PRIORITY_LONG_RESUME = 1,
    CARO_PRIORITY_INTERACTIVE = 2,
    CARO_PRIORITY_BACKGROUND = 3,
    CARO_PRIORITIES = 4
};

/* A resume with a prefill of at least this many tokens has
   CARO_PRIORITY_LONG_RESUME. */
enum { CARO_LONG_RESUME_TOKENS_MIN = 4096 };

typedef struct CaroEngineStream CaroEngineStream;

/* A load report of an engine. */
typedef struct {
    int running;  /* Sequences that run. */
    int waiting;  /* Sequences in its queue. */
    int capacity; /* Sequences that it runs at once; 0 when unknown. */
} CaroEngineLoad;

typedef enum {
    CARO_ENGINE_TOKEN, /* One token; the text is borrowed. */
    CARO_ENGINE_LOAD,  /* A load report in the response head. */
    CARO_ENGINE_END    /* The stream ended. */
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
            bool is_complete; /* Ended by [DONE], with status 200. */
            int status;       /* HTTP status, or 0 without a response. */
        } end;
    } u;
} CaroEngineEvent;

/* Receives the events of a stream.  END is always the last event, and is
   absent only when the stream is cancelled. */
typedef void (*CaroEngineHandler)(void *context, uint64_t id, uint32_t attempt,
                                  const CaroEngineEvent *event);

typedef struct {
    uint64_t id;      /* Generation, passed to the handler. */
    uint32_t attempt; /* Passed to the handler. */
    const char *address;
    const char *model;
    const char *version;
    const char *prompt;
    const char *prefix; /* Text generated so far; may be empty. */
    size_t prefix_size;
    uint32_t prefix_tokens;
    uint32_t tokens_max; /* Limit for the whole generation, with prefix. */
    int priority;        /* CARO_PRIORITY_*. */
} CaroEngineRequest;

/*
 * Starts a request; its strings are copied.  Returns a new object, which
 * Cancel releases and which is released by itself after END; or NULL when
 * memory is short, the address is invalid or the request cannot be started.
 */
CaroEngineStream *CaroEngine_Open(struct event_base *base,
                                  const CaroEngineRequest *request,
                                  CaroEngineHandler handler, void *context);

/* Closes the connection and releases the stream; no event follows.  May be
   called in the handler, but not after END. */
void CaroEngine_Cancel(CaroEngineStream *stream);

/* Parses a load report, the JSON value of header endpoint-load-metrics.
   Returns false when it is invalid. */
bool CaroEngine_ParseLoad(const char *text, CaroEngineLoad *load);

#endif
